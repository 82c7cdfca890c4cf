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

// badEnv names what rule a scripted manager breaks. TestMain runs it in place of
// the tests, so that each judge meets a process that is at fault.
const badEnv = "FLEETTEST_BREAKS"

// badManager is a manager that sets each viewer up at the first node, by the book but
// for one rule.
type badManager struct {
	breaks string
	nodes  []string
	mu     sync.Mutex
	conns  map[string]net.Conn
	viewer net.Conn
	seen   int
}

func runBad(breaks string) {
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
	b := &badManager{breaks: breaks, conns: map[string]net.Conn{}}
	for _, m := range cfg.Known.Updates[0].Endpoints.Members {
		b.nodes = append(b.nodes, m.HostPort)
	}
	fmt.Fprintf(os.Stderr, "{\"msg\":\"serving\",\"listen\":%q}\n", l.Addr())
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go b.serve(c)
	}
}

func (b *badManager) serve(c net.Conn) {
	in := bufio.NewScanner(c)
	for in.Scan() {
		var m Message
		json.Unmarshal(in.Bytes(), &m)
		if m.Type != "setup" {
			continue
		}
		b.mu.Lock()
		b.viewer = c
		b.seen++
		n := b.seen
		b.mu.Unlock()
		rung := "1"
		if b.breaks == "terms" {
			rung = "0"
		}
		switch b.breaks {
		case "silent": // no answer is given
			continue
		case "crash":
			os.Exit(3)
		case "hangs up":
			c.Close()
			return
		case "cold":
			for i := range 100 {
				b.send(0, fmt.Sprintf("%016x", n*1000+i), "feed", "1", "x")
			}
		}
		b.send(0, m.ID, m.Fields["class"], rung, m.SDP)
		switch b.breaks {
		case "two at once", "twice":
			b.send(1, m.ID, m.Fields["class"], rung, m.SDP)
		case "refuses":
			time.Sleep(20 * time.Millisecond) // so that it is seen to have left before
			fmt.Fprintf(c, `{"type":"release","id":%q,"fields":{},"cause":42}`+"\n", m.ID)
		case "garbles":
			fmt.Fprintf(c, "{\"type\":\n")
		}
	}
}

// send writes a SETUP to the ith node.
func (b *badManager) send(i int, id, class, rung, sdp string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	addr := b.nodes[i]
	c := b.conns[addr]
	if c == nil {
		var err error
		if c, err = net.Dial("tcp4", addr); err != nil {
			return
		}
		b.conns[addr] = c
		go func() {
			b.hear(c)
			b.mu.Lock()
			delete(b.conns, addr) // its node is gone, or was
			b.mu.Unlock()
		}()
	}
	m := rtsp.AppendRequest(nil, "SETUP", "rtsp://media/1")
	for _, h := range [][2]string{{"CSeq", "1"}, {"Session", id}, {"Call-Kind", class}, {"Answer-Within", "1000"}, {"X-Quality", rung}} {
		m = rtsp.AppendHeader(m, h[0], h[1])
	}
	c.Write(rtsp.AppendBody(m, []byte(sdp)))
}

func (b *badManager) hear(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		var head strings.Builder
		for !strings.HasSuffix(head.String(), "\r\n\r\n") {
			l, err := in.ReadString('\n')
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
			body[i], _ = in.ReadByte()
		}
		rtsp.Parse(append([]byte(head.String()), body...), &m)
		id := string(m.Get("Session"))
		b.mu.Lock()
		v := b.viewer
		b.mu.Unlock()
		switch {
		case m.Status == 200 && string(m.Get("CSeq")) == "1" && b.breaks != "refuses":
			sdp := string(m.Body)
			if b.breaks == "changes" {
				sdp += "!"
			}
			line, _ := json.Marshal(Message{Type: "answer", ID: id, SDP: sdp})
			v.Write(append(line, '\n'))
			if b.breaks == "answers twice" {
				v.Write(append(line, '\n'))
			}
		case string(m.Method) == "TEARDOWN" && b.breaks != "forgets":
			line, _ := json.Marshal(Message{Type: "release", ID: id, Cause: 16})
			v.Write(append(line, '\n'))
		}
	}
}

// Each judge finds the rule that a scripted manager breaks, and none where it breaks
// none.
func TestJudgesTellScriptedManagers(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	for breaks, rule := range map[string]string{
		"nothing": "", "silent": "one answer", "crash": "ended by itself", "hangs up": "one answer", "garbles": "one answer",
		"changes": "one answer", "answers twice": "one answer", "twice": "paid once", "refuses": "paid once",
		"two at once": "one at a time", "terms": "terms", "forgets": "end told", "drains": "drains", "cold": "cold",
	} {
		t.Run(breaks, func(t *testing.T) {
			t.Parallel()
			act := ""
			switch breaks {
			case "drains":
				act = "act \"a1 drains\" {\n do drain a1\n}\nact \"more come\" {\n when after 300ms\n do burst 3\n}\n"
			case "cold":
				act = "act \"a1 starts\" {\n when after 500ms\n do kill a1\n}\nact \"more come\" {\n when after 300ms\n do start a1\n do burst 3\n}\n"
			}
			class := map[string]string{"two at once": "0"}[breaks]
			if class == "" {
				class = "1"
			}
			s, err := Parse("judge", []byte("hall a {\n managers m1\n nodes a1 a2\n}\nload {\n again 0\n clip "+class+"\n left 500ms\n}\n"+
				"node {\n length 100ms 200ms\n answer 50ms 60ms\n}\nact \"viewers come\" {\n do burst 3\n}\n"+act+
				"act \"they have gone\" {\n when after 1500ms\n do rate 0\n}\n"), nil)
			if err != nil {
				t.Fatal(err)
			}
			s.Plan.Env = []string{badEnv + "=" + breaks}
			s.Plan.Terms.Answer, s.Plan.Terms.Told, s.Plan.Terms.Drain = 300*time.Millisecond, 300*time.Millisecond, 100*time.Millisecond
			s.Plan.Terms.Overlap = time.Millisecond
			wrong, _ := s.Play(self, t.TempDir(), nil)
			all := strings.Join(wrong, "\n")
			if rule == "" && all != "" || !strings.Contains(all, rule) {
				t.Errorf("wanted %q, got:\n%s", rule, all)
			}
		})
	}
}

// What excuses a manager: it was killed, or its viewers were cut off from it. What
// doesn't: that it was asked to end.
func TestJudgeOfDisturbedManagers(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	asked := Event{At: at(0), Kind: Asked, Manager: "m", ID: "1", Class: "feed", Left: time.Second}
	for name, e := range map[string]struct {
		events []Event
		rule   string
	}{
		"nothing said":            {nil, "one answer"},
		"killed under it":         {[]Event{{At: at(500), Kind: Stopped, Manager: "m"}}, ""},
		"killed before it":        {[]Event{{At: at(-500), Kind: Stopped, Manager: "m"}}, ""},
		"another one killed":      {[]Event{{At: at(500), Kind: Stopped, Manager: "n"}}, "one answer"},
		"stopped and gone on":     {[]Event{{At: at(-500), Kind: Stopped, Manager: "m"}, {At: at(500), Kind: Running, Manager: "m"}}, ""},
		"gone on before it":       {[]Event{{At: at(-500), Kind: Stopped, Manager: "m"}, {At: at(-1), Kind: Running, Manager: "m"}}, "one answer"},
		"cut off":                 {[]Event{{At: at(500), Kind: Apart, Manager: "m"}}, ""},
		"its viewer left early":   {[]Event{{At: at(500), Kind: Left, ID: "1"}}, ""},
		"its viewer left in time": {[]Event{{At: at(1000), Kind: Left, ID: "1"}}, "one answer"},
		"asked to end, and ended": {[]Event{{At: at(-100), Kind: Ending, Manager: "m"}, {At: at(800), Kind: Dropped, ID: "1"}, {At: at(801), Kind: Stopped, Manager: "m"}}, "one answer"},
		"asked to end long since": {[]Event{{At: at(-900), Kind: Ending, Manager: "m"}, {At: at(800), Kind: Dropped, ID: "1"}, {At: at(801), Kind: Stopped, Manager: "m"}}, ""},
	} {
		r := NewRecord()
		for _, x := range append(e.events, asked) {
			r.Add(x)
		}
		found := Judge(r.Events(), DefaultTerms, at(60_000))
		if (len(found) > 0) != (e.rule != "") || len(found) > 0 && found[0].Rule != e.rule {
			t.Errorf("%s: %+v", name, found)
		}
	}
}
