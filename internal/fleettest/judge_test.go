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

// faultEnv is the environment variable that makes TestMain run a scripted manager with the
// named fault instead of the tests. The judge's rules are thereby tested with processes that
// violate them.
const faultEnv = "FLEETTEST_BREAKS"

// scriptedManager is a manager that sets up each session at the first node and follows the
// protocol except for one fault.
type scriptedManager struct {
	fault      string
	nodes      []string
	mu         sync.Mutex
	nodeConns  map[string]net.Conn
	viewerConn net.Conn
	setUps     int
}

// runScriptedManager serves viewers with the given fault until the process is killed.
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
		case "no answer":
			continue
		case "crash":
			os.Exit(3)
		case "closes connection":
			conn.Close()
			return
		case "cold":
			for i := range 100 {
				s.send(0, fmt.Sprintf("%016x", count*1000+i), "feed", "1", "x")
			}
		}
		s.send(0, request.ID, request.Fields["class"], rung, request.SDP)
		switch s.fault {
		case "sent twice, not billed", "sent twice, billed":
			s.send(1, request.ID, request.Fields["class"], rung, request.SDP)
		case "refuses after sending":
			time.Sleep(20 * time.Millisecond) // so that the relay records the SETUP before the refusal
			fmt.Fprintf(conn, `{"type":"release","id":%q,"fields":{},"cause":42}`+"\n", request.ID)
		case "malformed line":
			fmt.Fprintf(conn, "{\"type\":\n")
		}
	}
}

// send writes a SETUP to the node with this index, over a connection that it opens if
// necessary.
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
			delete(s.nodeConns, addr) // so that the next set-up opens a new connection
			s.mu.Unlock()
		}()
	}
	m := rtsp.AppendRequest(nil, "SETUP", "rtsp://media/1")
	for _, h := range [][2]string{{"CSeq", "1"}, {"Session", id}, {"Call-Kind", class}, {"Answer-Within", "1000"}, {"X-Quality", rung}} {
		m = rtsp.AppendHeader(m, h[0], h[1])
	}
	c.Write(rtsp.AppendBody(m, []byte(sdp)))
}

// readNode reads what a node writes on a connection and forwards answers and releases to the
// viewer.
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
		case m.Status == 200 && string(m.Get("CSeq")) == "1" && s.fault != "refuses after sending":
			sdp := string(m.Body)
			if s.fault == "altered description" {
				sdp += "!"
			}
			line, _ := json.Marshal(Message{Type: "answer", ID: id, SDP: sdp})
			v.Write(append(line, '\n'))
			if s.fault == "second answer" {
				v.Write(append(line, '\n'))
			}
		case string(m.Method) == "TEARDOWN" && s.fault != "no release":
			line, _ := json.Marshal(Message{Type: "release", ID: id, Cause: 16})
			v.Write(append(line, '\n'))
		}
	}
}

// TestJudgeDetectsFaultsOfScriptedManagers checks that Judge reports the rule that a scripted
// manager violates, and none for a manager that follows the protocol.
func TestJudgeDetectsFaultsOfScriptedManagers(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	for fault, rule := range map[string]string{
		"none": "", "no answer": "one answer", "crash": "ended by itself", "closes connection": "one answer", "malformed line": "one answer",
		"altered description": "one answer", "second answer": "one answer", "sent twice, billed": "paid once", "refuses after sending": "paid once",
		"sent twice, not billed": "one at a time", "terms": "terms", "no release": "end told", "drains": "drains", "cold": "cold",
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
			clipShare := map[string]string{"sent twice, not billed": "0"}[fault]
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

// TestJudgeExcusesDisruptedManagers checks that a missing answer is excused if the manager was
// killed or its viewers were cut off from it, but not if it was only asked to stop.
func TestJudgeExcusesDisruptedManagers(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	request := Event{At: at(0), Kind: SetUpRequested, Manager: "m", ID: "1", Class: "feed", TimeLeft: time.Second}
	for name, e := range map[string]struct {
		events []Event
		rule   string
	}{
		"no answer":                                 {nil, "one answer"},
		"killed during the request":                 {[]Event{{At: at(500), Kind: ManagerStopped, Manager: "m"}}, ""},
		"killed before the request":                 {[]Event{{At: at(-500), Kind: ManagerStopped, Manager: "m"}}, ""},
		"another manager killed":                    {[]Event{{At: at(500), Kind: ManagerStopped, Manager: "n"}}, "one answer"},
		"paused until during the request":           {[]Event{{At: at(-500), Kind: ManagerStopped, Manager: "m"}, {At: at(500), Kind: ManagerServing, Manager: "m"}}, ""},
		"resumed before the request":                {[]Event{{At: at(-500), Kind: ManagerStopped, Manager: "m"}, {At: at(-1), Kind: ManagerServing, Manager: "m"}}, "one answer"},
		"viewers cut off":                           {[]Event{{At: at(500), Kind: ViewersCut, Manager: "m"}}, ""},
		"abandoned early":                           {[]Event{{At: at(500), Kind: SetUpAbandoned, ID: "1"}}, ""},
		"abandoned at the deadline":                 {[]Event{{At: at(1000), Kind: SetUpAbandoned, ID: "1"}}, "one answer"},
		"stop requested shortly before the request": {[]Event{{At: at(-100), Kind: ManagerStopRequested, Manager: "m"}, {At: at(800), Kind: ViewerConnClosed, ID: "1"}, {At: at(801), Kind: ManagerStopped, Manager: "m"}}, "one answer"},
		"stop requested long before the request":    {[]Event{{At: at(-900), Kind: ManagerStopRequested, Manager: "m"}, {At: at(800), Kind: ViewerConnClosed, ID: "1"}, {At: at(801), Kind: ManagerStopped, Manager: "m"}}, ""},
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
