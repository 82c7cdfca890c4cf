package server

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"millethinge/internal/broker"
	"millethinge/internal/config"
	"millethinge/internal/rtsp"
)

// testTimeout bounds each wait in these tests; no result depends on a shorter time.
const testTimeout = 20 * time.Second

// classesJSON is the key lanes of platformJSON.
const classesJSON = `"lanes": [{"name": "clip", "effect": "at_most_once", "goalTimeS": 30, "worth": 2},
	{"name": "feed", "effect": "idempotent", "goalTimeS": 30, "worth": 1}]`

// platformJSON is a format for the platform's configuration file: the coordinator's address, the
// members of the list, and the number of cells.
const platformJSON = `{"name": "n0", "listen": "127.0.0.1:0", "seed": "1f", "coordinator": "%s",
	"known": {"index": 1, "updates": [{"index": 1, "endpoints": {"revision": 1, "complete": true, "members": [%s]}}]},
	"settings": {"balancers": 1, ` + classesJSON + `, "localities": ["east"], "flavors": ["std"], "weights": "rough", "discovery": "automatic",
	"familyInfo": {"classFloor": [1, 0], "topByClass": [3, 3], "scaleByClass": [1, 1], "licenceCap": [0, 0], "ratesKb": [1, 2, 3, 4],
	"ladderWorth": [0.2, 0.5, 0.8, 1], "places": %d, "groups": 1, "kbPerWeight": 1e9, "rackLinkKb": 1e12, "kindStreams": [1000000]},
	"feedback": {"fields": ["load_share", "x1"], "via": "none"}, "policyLimits": {"attemptsCap": 4, "probes": true}}}`

// memberJSON returns one member of a list of media nodes.
func memberJSON(id, addr string, cell int) string {
	return fmt.Sprintf(`{"id": %q, "host_port": %q, "locality": "east", "flavor": "std", "cell": %d, "phase": "in_service", "size": 1}`, id, addr, cell)
}

// manager is a session manager that runs in the test's process.
type manager struct {
	listeners Listeners
	signals   chan os.Signal
	reload    chan string // coordinator, or "operator " and the operator's file, that the next reload reads
	done      chan error
}

// startManager starts a manager and stops it at the end of the test.
func startManager(t *testing.T, coordinator, members string, cells int, operator string) *manager {
	t.Helper()
	return startManagerWith(t, coordinator, members, cells, operator, func(*config.Config) {})
}

// startManagerWith is startManager, but modify changes the configuration first.
func startManagerWith(t *testing.T, coordinator, members string, cells int, operator string, modify func(*config.Config)) *manager {
	t.Helper()
	cfg, err := config.ParsePlatform(fmt.Appendf(nil, platformJSON, coordinator, members, cells))
	if err == nil && operator != "" {
		cfg.Operator, err = config.ParseOperator("operator", []byte(operator), nil, cfg.Deployment())
	}
	if err != nil {
		t.Fatal(err)
	}
	modify(&cfg)
	cfg.Drain = broker.DrainTimes{AcceptFor: testTimeout, KeepFor: 900 * time.Millisecond} // long enough on a slow machine
	mgr := &manager{signals: make(chan os.Signal, 1), reload: make(chan string, 1), done: make(chan error, 1)}
	if mgr.listeners, err = Listen(cfg); err != nil {
		t.Fatal(err)
	}
	reload := func(running *config.Config) (config.Config, error) {
		input := <-mgr.reload
		if rules, ok := strings.CutPrefix(input, "operator "); ok { // a new operator's file
			next := *running
			var err error
			next.Operator, err = config.ParseOperator("operator", []byte(rules), nil, running.RunningDeployment())
			return next, err
		}
		return config.ParsePlatform(fmt.Appendf(nil, platformJSON, input, members, cells))
	}
	go func() { mgr.done <- Run(cfg, mgr.listeners, mgr.signals, reload, zap.NewNop()) }()
	t.Cleanup(func() {
		mgr.signals <- syscall.SIGTERM
		select {
		case err := <-mgr.done:
			if err != nil {
				t.Error(err)
			}
		case <-time.After(testTimeout):
			t.Error("the manager does not end after SIGTERM")
		}
	})
	return mgr
}

func loopback(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// participant is the connection of one participant in an exchange.
type participant struct {
	net.Conn
	reader *bufio.Reader
}

// TestExchanges plays the files of testdata against a manager. In "NAME> bytes" the
// participant NAME sends bytes; in "NAME< bytes" it must receive them next. Participants
// are viewers (v…), players (w…), media nodes (a to e), the coordinator (k) and a second
// coordinator (l). In bytes of nodes, players and coordinators, | is a line end, and * in
// expected bytes stands for a number or an address. {a} is the address of node a.
//
// "w1+ text" and "w1- text" send and expect a WebSocket text frame. "v1 close" closes the
// connection, "v1 eof" waits until the manager closes it, and "a open" waits for a new
// connection. "a*< bytes" is expected next on the connection of node a or on any new
// connection to it. "node NAME CELL" and "operator TEXT" come first: they add a node to
// the list and a line to the operator's file. "sigterm" and "sighup TEXT" send a signal;
// after the latter the manager reads TEXT as the address of its coordinator.
func TestExchanges(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no files in testdata", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			t.Parallel()
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			playExchange(t, string(text))
		})
	}
}

// playExchange plays the text of one file against a manager of its own.
func playExchange(t *testing.T, text string) {
	participants := map[string]*participant{}
	backends := map[string]net.Listener{"k": loopback(t)}
	var members, operator, addressVars []string
	for name := range strings.SplitSeq("a b c d e l", " ") {
		backends[name] = loopback(t)
		addressVars = append(addressVars, "{"+name+"}", backends[name].Addr().String())
	}
	var mgr *manager
	for i, line := range strings.Split(text, "\n") {
		line = strings.NewReplacer(addressVars...).Replace(line)
		keyword, rest, _ := strings.Cut(line, " ")
		switch {
		case line == "" || line[0] == '#':
			continue
		case keyword == "node": // NAME CELL
			name, cell, _ := strings.Cut(rest, " ")
			n, _ := strconv.Atoi(cell)
			members = append(members, memberJSON("s-"+name, backends[name].Addr().String(), n))
			continue
		case keyword == "operator":
			operator = append(operator, rest)
			continue
		case mgr == nil:
			mgr = startManager(t, backends["k"].Addr().String(), strings.Join(members, ","), 4, strings.Join(operator, "\n"))
		}
		switch {
		case keyword == "sigterm":
			mgr.signals <- syscall.SIGTERM
		case keyword == "sighup": // the rest names the coordinator in the new configuration
			mgr.reload <- rest
			mgr.signals <- syscall.SIGHUP
		case rest == "close":
			participants[keyword].Close()
			delete(participants, keyword)
		case rest == "eof": // the manager must have closed the connection
			participants[keyword].SetDeadline(time.Now().Add(testTimeout))
			if b, err := participants[keyword].reader.ReadByte(); err != io.EOF {
				t.Fatalf("line %d: %s\ngot %q, %v", i+1, line, b, err)
			}
		case rest == "open":
			participants[keyword] = accept(t, backends[keyword])
		default:
			name, direction := keyword[:len(keyword)-1], keyword[len(keyword)-1]
			name, anyConn := strings.CutSuffix(name, "*")
			part := participants[name]
			if anyConn {
				part = part.anyConn(t, backends[name])
				defer part.Close()
			}
			if part == nil {
				part = connectParticipant(t, name, mgr, backends)
				participants[name] = part
			}
			if err := part.exchange(name[0], direction, rest); err != nil {
				t.Fatalf("line %d: %s\n%v", i+1, line, err)
			}
		}
	}
	for _, part := range participants {
		part.Close()
	}
}

// accept waits for a connection of the manager.
func accept(t *testing.T, listener net.Listener) *participant {
	listener.(*net.TCPListener).SetDeadline(time.Now().Add(testTimeout))
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return &participant{conn, bufio.NewReaderSize(conn, rtsp.MaxMessageSize)}
}

// connectParticipant connects a viewer or player to the manager, or waits for the manager to
// connect to any other participant.
func connectParticipant(t *testing.T, name string, mgr *manager, backends map[string]net.Listener) *participant {
	if listener := backends[name]; listener != nil {
		return accept(t, listener)
	}
	addr := mgr.listeners.Viewers.Addr()
	if name[0] == 'w' {
		addr = mgr.listeners.Players.Addr()
	}
	conn, err := net.Dial("tcp", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	return &participant{conn, bufio.NewReader(conn)}
}

// anyConn returns a participant that reads the next message that arrives on p's connection or on
// any new connection, since the manager may open a connection to probe a node at any time.
func (p *participant) anyConn(t *testing.T, l net.Listener) *participant {
	r, w := io.Pipe()
	copyMessage := func(from io.Reader) {
		if message, err := readMessage(bufio.NewReader(from)); err == nil {
			w.Write(message)
		}
	}
	go copyMessage(p.reader)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // the test is over
			}
			t.Cleanup(func() { c.Close() })
			go copyMessage(c)
		}
	}()
	time.AfterFunc(testTimeout, func() { w.CloseWithError(os.ErrDeadlineExceeded) })
	return &participant{p.Conn, bufio.NewReader(r)}
}

var escapePattern = regexp.MustCompile(`\\x[0-9a-f]{2}`)

// unescape replaces each \xNN by the byte.
func unescape(s string) []byte {
	return escapePattern.ReplaceAllFunc([]byte(s), func(b []byte) []byte {
		n, _ := strconv.ParseUint(string(b[2:]), 16, 8)
		return []byte{byte(n)}
	})
}

// exchange sends text, or checks that it is received next, as direction says.
func (p *participant) exchange(role, direction byte, text string) error {
	if err := p.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		return err
	}
	if role == 'v' {
		text += "\n"
	} else if direction == '<' || direction == '>' {
		head, body, _ := strings.Cut(text, "||")
		text = strings.ReplaceAll(strings.ReplaceAll(text, "{len}", strconv.Itoa(len(body))), "|", "\r\n")
		if role == 'k' || role == 'l' { // the body may contain |, which stays
			text = strings.ReplaceAll(strings.ReplaceAll(head, "{len}", strconv.Itoa(len(body)))+"||", "|", "\r\n") + body
		}
	}
	switch direction {
	case '>':
		_, err := p.Write(unescape(text))
		return err
	case '+':
		_, err := p.Write(maskedTextFrame([]byte(text)))
		return err
	case '-':
		got, err := readTextFrame(p.reader)
		return matchPattern(text, got, err)
	}
	var got []byte
	var err error
	switch role {
	case 'v':
		got, err = p.reader.ReadBytes('\n')
	case 'w':
		got = make([]byte, len(unescape(text)))
		_, err = io.ReadFull(p.reader, got)
		text = string(unescape(text))
	default:
		got, err = readMessage(p.reader)
	}
	return matchPattern(text, got, err)
}

// matchPattern compares received bytes with those that are expected, in which * stands for a
// number or an address.
func matchPattern(want string, got []byte, err error) error {
	pattern := strings.ReplaceAll(regexp.QuoteMeta(strconv.QuoteToASCII(want)), `\*`, `[0-9a-f.:]+`)
	if err != nil || !regexp.MustCompile("^"+pattern+"$").MatchString(strconv.QuoteToASCII(string(got))) {
		return fmt.Errorf("got %q, %v", got, err)
	}
	return nil
}

// readMessage reads one RTSP or HTTP message.
func readMessage(reader *bufio.Reader) ([]byte, error) {
	var message []byte
	for !bytes.HasSuffix(message, []byte("\r\n\r\n")) {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			return append(message, line...), err
		}
		message = append(message, line...)
	}
	if m := regexp.MustCompile(`Content-Length: (\d+)`).FindSubmatch(message); m != nil {
		n, _ := strconv.Atoi(string(m[1]))
		body := make([]byte, n)
		_, err := io.ReadFull(reader, body)
		return append(message, body...), err
	}
	return message, nil
}

// maskedTextFrame returns a WebSocket text frame as clients send it.
func maskedTextFrame(text []byte) []byte {
	mask := []byte{0x37, 0xfa, 0x21, 0x3d}
	frame := []byte{0x81, 0x80 | 126, byte(len(text) >> 8), byte(len(text))}
	if len(text) < 126 {
		frame = []byte{0x81, 0x80 | byte(len(text))}
	}
	frame = append(frame, mask...)
	for i, c := range text {
		frame = append(frame, c^mask[i&3])
	}
	return frame
}

// readTextFrame reads a WebSocket text frame of a server and skips pings.
func readTextFrame(reader *bufio.Reader) ([]byte, error) {
	for {
		var header [2]byte
		if _, err := io.ReadFull(reader, header[:]); err != nil {
			return nil, err
		}
		n := int(header[1])
		if n == 126 {
			var extended [2]byte
			if _, err := io.ReadFull(reader, extended[:]); err != nil {
				return nil, err
			}
			n = int(extended[0])<<8 | int(extended[1])
		}
		payload := make([]byte, n)
		if _, err := io.ReadFull(reader, payload); err != nil {
			return nil, err
		}
		switch header[0] {
		case 0x81:
			return payload, nil
		case 0x89:
		default:
			return payload, fmt.Errorf("frame of unexpected type %#x", header[0])
		}
	}
}

// reply is a decoded message to a viewer.
type reply struct {
	Type   string            `json:"type"`
	ID     string            `json:"id"`
	Fields map[string]string `json:"fields"`
	Cause  int               `json:"cause"`
	SDP    string            `json:"sdp"`
}

func parseReply(b []byte) (r reply, err error) {
	err = json.Unmarshal(b, &r)
	return r, err
}
