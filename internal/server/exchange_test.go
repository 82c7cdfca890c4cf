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

// patience bounds what a test waits for; nothing passes or fails by less.
const patience = 20 * time.Second

const classes = `"lanes": [{"name": "clip", "effect": "at_most_once", "goalTimeS": 30, "worth": 2},
	{"name": "feed", "effect": "idempotent", "goalTimeS": 30, "worth": 1}]`

const platform = `{"name": "n0", "listen": "127.0.0.1:0", "seed": "1f", "coordinator": "%s",
	"known": {"index": 1, "updates": [{"index": 1, "endpoints": {"revision": 1, "complete": true, "members": [%s]}}]},
	"settings": {"balancers": 1, ` + classes + `, "localities": ["east"], "flavors": ["std"], "weights": "rough", "discovery": "automatic",
	"familyInfo": {"classFloor": [1, 0], "topByClass": [3, 3], "scaleByClass": [1, 1], "licenceCap": [0, 0], "ratesKb": [1, 2, 3, 4],
	"ladderWorth": [0.2, 0.5, 0.8, 1], "places": %d, "groups": 1, "kbPerWeight": 1e9, "rackLinkKb": 1e12, "kindStreams": [1000000]},
	"feedback": {"fields": ["load_share", "x1"], "via": "none"}, "policyLimits": {"attemptsCap": 4, "probes": true}}}`

// member is one line of the list.
func member(id, addr string, cell int) string {
	return fmt.Sprintf(`{"id": %q, "host_port": %q, "locality": "east", "flavor": "std", "cell": %d, "phase": "in_service", "size": 1}`, id, addr, cell)
}

// program is a running session manager.
type program struct {
	at      Listeners
	signals chan os.Signal
	reload  chan string // what the next reload reads
	done    chan error
}

func start(t *testing.T, coordinator, members string, cells int, operator string) *program {
	t.Helper()
	return startWith(t, coordinator, members, cells, operator, func(*config.Config) {})
}

// startWith lets a test change the configuration that was read.
func startWith(t *testing.T, coordinator, members string, cells int, operator string, change func(*config.Config)) *program {
	t.Helper()
	cfg, err := config.Parse(fmt.Appendf(nil, platform, coordinator, members, cells))
	if err == nil && operator != "" {
		cfg.Operator, err = config.ParseOperator("operator", []byte(operator), nil, cfg.Deployment())
	}
	if err != nil {
		t.Fatal(err)
	}
	change(&cfg)
	cfg.Drain = broker.DrainTimes{AcceptFor: patience, KeepFor: 900 * time.Millisecond} // whatever the machine's pace
	p := &program{signals: make(chan os.Signal, 1), reload: make(chan string, 1), done: make(chan error, 1)}
	if p.at, err = Listen(cfg); err != nil {
		t.Fatal(err)
	}
	reload := func(running *config.Config) (config.Config, error) {
		text := <-p.reload
		if rules, ok := strings.CutPrefix(text, "operator "); ok { // the operator's file has changed
			next := *running
			var err error
			next.Operator, err = config.ParseOperator("operator", []byte(rules), nil, running.InUse())
			return next, err
		}
		return config.Parse(fmt.Appendf(nil, platform, text, members, cells))
	}
	go func() { p.done <- Run(cfg, p.at, p.signals, reload, zap.NewNop()) }()
	t.Cleanup(func() {
		p.signals <- syscall.SIGTERM
		select {
		case err := <-p.done:
			if err != nil {
				t.Error(err)
			}
		case <-time.After(patience):
			t.Error("no end after SIGTERM")
		}
	})
	return p
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

// actor plays one part of an exchange.
type actor struct {
	net.Conn
	in *bufio.Reader
}

// TestExchanges plays the files of testdata against the program. A line is
// "NAME> bytes" for what a part sends and "NAME< bytes" for what it must
// receive next. Parts: v… viewers, w… players, a to e media nodes, k the
// coordinator. In node's, player's and coordinator's bytes | is a line end; * in
// what is received stands for digits. "w1+ text" and "w1- text" are text frames;
// "v1 close" closes, "v1 eof" waits for
// the program to close, "a open" waits for a connection; "a*< bytes" is what node a
// receives next on that one or on any that opens. {a} is node a's address; l is a second
// coordinator.
func TestExchanges(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no exchanges", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			t.Parallel()
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			play(t, string(text))
		})
	}
}

func play(t *testing.T, text string) {
	actors := map[string]*actor{}
	servers := map[string]net.Listener{"k": loopback(t)}
	var members, operator, names []string
	for name := range strings.SplitSeq("a b c d e l", " ") {
		servers[name] = loopback(t)
		names = append(names, "{"+name+"}", servers[name].Addr().String())
	}
	var p *program
	for i, l := range strings.Split(text, "\n") {
		l = strings.NewReplacer(names...).Replace(l)
		word, rest, _ := strings.Cut(l, " ")
		switch {
		case l == "" || l[0] == '#':
			continue
		case word == "node": // NAME CELL
			name, cell, _ := strings.Cut(rest, " ")
			n, _ := strconv.Atoi(cell)
			members = append(members, member("s-"+name, servers[name].Addr().String(), n))
			continue
		case word == "operator":
			operator = append(operator, rest)
			continue
		case p == nil:
			p = start(t, servers["k"].Addr().String(), strings.Join(members, ","), 4, strings.Join(operator, "\n"))
		}
		switch {
		case word == "sigterm":
			p.signals <- syscall.SIGTERM
		case word == "sighup": // with the coordinator that the file names by then
			p.reload <- rest
			p.signals <- syscall.SIGHUP
		case rest == "close":
			actors[word].Close()
			delete(actors, word)
		case rest == "eof": // the program has closed it
			actors[word].SetDeadline(time.Now().Add(patience))
			if b, err := actors[word].in.ReadByte(); err != io.EOF {
				t.Fatalf("line %d: %s\ngot %q, %v", i+1, l, b, err)
			}
		case rest == "open":
			actors[word] = accept(t, servers[word])
		default:
			name, way := word[:len(word)-1], word[len(word)-1]
			name, any := strings.CutSuffix(name, "*")
			a := actors[name]
			if any {
				a = a.any(t, servers[name])
				defer a.Close()
			}
			if a == nil {
				a = enter(t, name, p, servers)
				actors[name] = a
			}
			if err := a.step(name[0], way, rest); err != nil {
				t.Fatalf("line %d: %s\n%v", i+1, l, err)
			}
		}
	}
	for _, a := range actors {
		a.Close()
	}
}

func accept(t *testing.T, l net.Listener) *actor {
	l.(*net.TCPListener).SetDeadline(time.Now().Add(patience))
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return &actor{c, bufio.NewReaderSize(c, rtsp.MaxMessage)}
}

func enter(t *testing.T, name string, p *program, servers map[string]net.Listener) *actor {
	if l := servers[name]; l != nil {
		return accept(t, l)
	}
	addr := p.at.Viewers.Addr()
	if name[0] == 'w' {
		addr = p.at.Players.Addr()
	}
	c, err := net.Dial("tcp", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	return &actor{c, bufio.NewReader(c)}
}

// any is a part that reads what comes on a, or on a connection that opens, by whichever
// is first. The program may look at a node by a new connection at any time.
func (a *actor) any(t *testing.T, l net.Listener) *actor {
	r, w := io.Pipe()
	pass := func(from io.Reader) {
		if b, err := readHead(bufio.NewReader(from)); err == nil {
			w.Write(b)
		}
	}
	go pass(a.in)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // the test is over
			}
			t.Cleanup(func() { c.Close() })
			go pass(c)
		}
	}()
	time.AfterFunc(patience, func() { w.CloseWithError(os.ErrDeadlineExceeded) })
	return &actor{a.Conn, bufio.NewReader(r)}
}

var escapes = regexp.MustCompile(`\\x[0-9a-f]{2}`)

func unescape(s string) []byte {
	return escapes.ReplaceAllFunc([]byte(s), func(b []byte) []byte {
		n, _ := strconv.ParseUint(string(b[2:]), 16, 8)
		return []byte{byte(n)}
	})
}

func (a *actor) step(kind, way byte, text string) error {
	if err := a.SetDeadline(time.Now().Add(patience)); err != nil {
		return err
	}
	if kind == 'v' {
		text += "\n"
	} else if way == '<' || way == '>' {
		head, body, _ := strings.Cut(text, "||")
		text = strings.ReplaceAll(strings.ReplaceAll(text, "{len}", strconv.Itoa(len(body))), "|", "\r\n")
		if kind == 'k' || kind == 'l' { // JSON may hold no |, but the body must stay as it is
			text = strings.ReplaceAll(strings.ReplaceAll(head, "{len}", strconv.Itoa(len(body)))+"||", "|", "\r\n") + body
		}
	}
	switch way {
	case '>':
		_, err := a.Write(unescape(text))
		return err
	case '+':
		_, err := a.Write(masked([]byte(text)))
		return err
	case '-':
		got, err := readText(a.in)
		return compare(text, got, err)
	}
	var got []byte
	var err error
	switch kind {
	case 'v':
		got, err = a.in.ReadBytes('\n')
	case 'w':
		got = make([]byte, len(unescape(text)))
		_, err = io.ReadFull(a.in, got)
		text = string(unescape(text))
	default:
		got, err = readHead(a.in)
	}
	return compare(text, got, err)
}

// compare holds what came against what is wanted, in which * stands for digits.
func compare(want string, got []byte, err error) error {
	pattern := strings.ReplaceAll(regexp.QuoteMeta(strconv.QuoteToASCII(want)), `\*`, `[0-9a-f.:]+`)
	if err != nil || !regexp.MustCompile("^"+pattern+"$").MatchString(strconv.QuoteToASCII(string(got))) {
		return fmt.Errorf("got %q, %v", got, err)
	}
	return nil
}

// readHead reads one RTSP or HTTP message.
func readHead(in *bufio.Reader) ([]byte, error) {
	var b []byte
	for !bytes.HasSuffix(b, []byte("\r\n\r\n")) {
		line, err := in.ReadBytes('\n')
		if err != nil {
			return append(b, line...), err
		}
		b = append(b, line...)
	}
	if m := regexp.MustCompile(`Content-Length: (\d+)`).FindSubmatch(b); m != nil {
		n, _ := strconv.Atoi(string(m[1]))
		body := make([]byte, n)
		_, err := io.ReadFull(in, body)
		return append(b, body...), err
	}
	return b, nil
}

// masked makes a client's text frame.
func masked(text []byte) []byte {
	mask := []byte{0x37, 0xfa, 0x21, 0x3d}
	b := []byte{0x81, 0x80 | 126, byte(len(text) >> 8), byte(len(text))}
	if len(text) < 126 {
		b = []byte{0x81, 0x80 | byte(len(text))}
	}
	b = append(b, mask...)
	for i, c := range text {
		b = append(b, c^mask[i&3])
	}
	return b
}

// readText reads a server's text frame, past pings.
func readText(in *bufio.Reader) ([]byte, error) {
	for {
		var head [2]byte
		if _, err := io.ReadFull(in, head[:]); err != nil {
			return nil, err
		}
		n := int(head[1])
		if n == 126 {
			var long [2]byte
			if _, err := io.ReadFull(in, long[:]); err != nil {
				return nil, err
			}
			n = int(long[0])<<8 | int(long[1])
		}
		b := make([]byte, n)
		if _, err := io.ReadFull(in, b); err != nil {
			return nil, err
		}
		switch head[0] {
		case 0x81:
			return b, nil
		case 0x89:
		default:
			return b, fmt.Errorf("frame %#x", head[0])
		}
	}
}

// reply is a message to a viewer, for comparing.
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
