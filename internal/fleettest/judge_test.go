package fleettest

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"millethinge/internal/rtsp"
)

// faultEnv names what rule a scripted manager breaks. TestMain runs it in place of
// the tests, so that each judge meets a process that is at fault.
const faultEnv = "FLEETTEST_BREAKS"

// scriptedManager is a manager that sets each viewer up at the first node, by the book but
// for one rule.
type scriptedManager struct {
	fault      string
	nodes      []string
	mu         sync.Mutex
	nodeConns  map[string]net.Conn
	viewerConn net.Conn
	setUps     int
}

func runScriptedManager(fault string) {
	text, err := os.ReadFile(os.Getenv("BALANCER_CONFIG"))
	if err != nil {
		panic(err)
	}
	var cfg struct{ Known listUpdates }
	if err := json.Unmarshal(text, &cfg); err != nil {
		panic(err)
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	manager := &scriptedManager{fault: fault, nodeConns: map[string]net.Conn{}}
	for _, m := range cfg.Known.Updates[0].Endpoints.Members {
		manager.nodes = append(manager.nodes, m.HostPort)
	}
	fmt.Fprintf(os.Stderr, "{\"msg\":\"serving\",\"listen\":%q}\n", l.Addr())
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go manager.serve(c)
	}
}

func (s *scriptedManager) serve(conn net.Conn) {
	scanner := bufio.NewScanner(conn)
	for scanner.Scan() {
		var request Message
		json.Unmarshal(scanner.Bytes(), &request)
		if request.Type != "setup" {
			continue
		}
		s.mu.Lock()
		s.viewerConn = conn
		s.setUps++
		count := s.setUps
		s.mu.Unlock()
		rung := "1"
		if s.fault == "terms" {
			rung = "0"
		}
		switch s.fault {
		case "silent": // no answer is given
			continue
		case "crash":
			os.Exit(3)
		case "hangs up":
			conn.Close()
			return
		case "cold":
			for i := range 100 {
				s.send(0, fmt.Sprintf("%016x", count*1000+i), "feed", "1", "x")
			}
		}
		s.send(0, request.ID, request.Fields["class"], rung, request.SDP)
		switch s.fault {
		case "two at once", "twice":
			s.send(1, request.ID, request.Fields["class"], rung, request.SDP)
		case "refuses":
			time.Sleep(20 * time.Millisecond) // so that it is seen to have left before
			fmt.Fprintf(conn, `{"type":"release","id":%q,"fields":{},"cause":42}`+"\n", request.ID)
		case "garbles":
			fmt.Fprintf(conn, "{\"type\":\n")
		}
	}
}

// send writes a SETUP to the ith node.
func (s *scriptedManager) send(index int, id, class, rung, sdp string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	addr := s.nodes[index]
	c := s.nodeConns[addr]
	if c == nil {
		var err error
		if c, err = net.Dial("tcp4", addr); err != nil {
			return
		}
		s.nodeConns[addr] = c
		go func() {
			s.readNode(c)
			s.mu.Lock()
			delete(s.nodeConns, addr) // its node is gone, or was
			s.mu.Unlock()
		}()
	}
	m := rtsp.AppendRequest(nil, "SETUP", "rtsp://media/1")
	for _, h := range [][2]string{{"CSeq", "1"}, {"Session", id}, {"Call-Kind", class}, {"Answer-Within", "1000"}, {"X-Quality", rung}} {
		m = rtsp.AppendHeader(m, h[0], h[1])
	}
	c.Write(rtsp.AppendBody(m, []byte(sdp)))
}

func (s *scriptedManager) readNode(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		var head strings.Builder
		for !strings.HasSuffix(head.String(), "\r\n\r\n") {
			l, err := reader.ReadString('\n')
			if err != nil {
				return
			}
			head.WriteString(l)
		}
		var m rtsp.Message
		var size int
		if _, rest, ok := strings.Cut(head.String(), "Content-Length: "); ok {
			fmt.Sscan(rest, &size)
		}
		body := make([]byte, size)
		for i := range body {
			body[i], _ = reader.ReadByte()
		}
		rtsp.Parse(append([]byte(head.String()), body...), &m)
		id := string(m.Get("Session"))
		s.mu.Lock()
		v := s.viewerConn
		s.mu.Unlock()
		switch {
		case m.Status == 200 && string(m.Get("CSeq")) == "1" && s.fault != "refuses":
			sdp := string(m.Body)
			if s.fault == "changes" {
				sdp += "!"
			}
			line, _ := json.Marshal(Message{Type: "answer", ID: id, SDP: sdp})
			v.Write(append(line, '\n'))
			if s.fault == "answers twice" {
				v.Write(append(line, '\n'))
			}
		case string(m.Method) == "TEARDOWN" && s.fault != "forgets":
			line, _ := json.Marshal(Message{Type: "release", ID: id, Cause: 16})
			v.Write(append(line, '\n'))
		}
	}
}

// Each judge finds the rule that a scripted manager breaks, and none where it breaks
// none.
func TestJudgeDetectsFaultsOfScriptedManagers(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	for fault, rule := range map[string]string{
		"nothing": "", "silent": "one answer", "crash": "ended by itself", "hangs up": "one answer", "garbles": "one answer",
		"changes": "one answer", "answers twice": "one answer", "twice": "paid once", "refuses": "paid once",
		"two at once": "one at a time", "terms": "terms", "forgets": "end told", "drains": "drains", "cold": "cold",
	} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			acts := ""
			switch fault {
			case "drains":
				acts = "act \"a1 drains\" {\n do drain a1\n}\nact \"more come\" {\n when after 300ms\n do burst 3\n}\n"
			case "cold":
				acts = "act \"a1 starts\" {\n when after 500ms\n do kill a1\n}\nact \"more come\" {\n when after 300ms\n do start a1\n do burst 3\n}\n"
			}
			clipShare := map[string]string{"two at once": "0"}[fault]
			if clipShare == "" {
				clipShare = "1"
			}
			s, err := Parse("judge", []byte("hall a {\n managers m1\n nodes a1 a2\n}\nload {\n again 0\n clip "+clipShare+"\n left 500ms\n}\n"+
				"node {\n length 100ms 200ms\n answer 50ms 60ms\n}\nact \"viewers come\" {\n do burst 3\n}\n"+acts+
				"act \"they have gone\" {\n when after 1500ms\n do rate 0\n}\n"), nil)
			if err != nil {
				t.Fatal(err)
			}
			s.Plan.Env = []string{faultEnv + "=" + fault}
			s.Plan.Terms.AnswerGrace, s.Plan.Terms.ReleaseGrace, s.Plan.Terms.DrainGrace = 300*time.Millisecond, 300*time.Millisecond, 100*time.Millisecond
			s.Plan.Terms.AttemptOverlap = time.Millisecond
			failures, _ := s.Play(self, t.TempDir(), nil)
			text := strings.Join(failures, "\n")
			if rule == "" && text != "" || !strings.Contains(text, rule) {
				t.Errorf("wanted %q, got:\n%s", rule, text)
			}
		})
	}
}

// What excuses a manager: it was killed, or its viewers were cut off from it. What
// doesn't: that it was asked to end.
func TestJudgeExcusesDisruptedManagers(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	request := Event{At: at(0), Kind: SetUpRequested, Manager: "m", ID: "1", Class: "feed", TimeLeft: time.Second}
	for name, e := range map[string]struct {
		events []Event
		rule   string
	}{
		"nothing said":            {nil, "one answer"},
		"killed under it":         {[]Event{{At: at(500), Kind: ManagerStopped, Manager: "m"}}, ""},
		"killed before it":        {[]Event{{At: at(-500), Kind: ManagerStopped, Manager: "m"}}, ""},
		"another one killed":      {[]Event{{At: at(500), Kind: ManagerStopped, Manager: "n"}}, "one answer"},
		"stopped and gone on":     {[]Event{{At: at(-500), Kind: ManagerStopped, Manager: "m"}, {At: at(500), Kind: ManagerServing, Manager: "m"}}, ""},
		"gone on before it":       {[]Event{{At: at(-500), Kind: ManagerStopped, Manager: "m"}, {At: at(-1), Kind: ManagerServing, Manager: "m"}}, "one answer"},
		"cut off":                 {[]Event{{At: at(500), Kind: ViewersCut, Manager: "m"}}, ""},
		"its viewer left early":   {[]Event{{At: at(500), Kind: SetUpAbandoned, ID: "1"}}, ""},
		"its viewer left in time": {[]Event{{At: at(1000), Kind: SetUpAbandoned, ID: "1"}}, "one answer"},
		"asked to end, and ended": {[]Event{{At: at(-100), Kind: ManagerStopRequested, Manager: "m"}, {At: at(800), Kind: ViewerConnClosed, ID: "1"}, {At: at(801), Kind: ManagerStopped, Manager: "m"}}, "one answer"},
		"asked to end long since": {[]Event{{At: at(-900), Kind: ManagerStopRequested, Manager: "m"}, {At: at(800), Kind: ViewerConnClosed, ID: "1"}, {At: at(801), Kind: ManagerStopped, Manager: "m"}}, ""},
	} {
		r := NewRecord()
		for _, x := range append(e.events, request) {
			r.Add(x)
		}
		found := Judge(r.Events(), DefaultLimits, at(60_000))
		if (len(found) > 0) != (e.rule != "") || len(found) > 0 && found[0].Rule != e.rule {
			t.Errorf("%s: %+v", name, found)
		}
	}
}
