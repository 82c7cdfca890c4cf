package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"millethinge/internal/config"
	"millethinge/internal/front/peer"
	"millethinge/internal/standin"
)

// testTimeout bounds what a test waits for; nothing passes or fails by less.
const testTimeout = 20 * time.Second

// serveEnv has the test's binary be the program, with so many descriptors.
const serveEnv = "MILLETHINGE_TEST_SERVES"

func TestMain(m *testing.M) {
	if n, err := strconv.ParseUint(os.Getenv(serveEnv), 10, 64); err == nil {
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n}); err != nil {
			panic(err)
		}
		os.Exit((&app{os.Getenv, os.Stdin, os.Stdout, os.Stderr}).serve(logOptions{}))
	}
	os.Exit(m.Run())
}

const sockets = 128

// platformJSON is the program's configuration, by its addresses, the coordinator's and node a's.
const platformJSON = `{"name": "n0", "listen": %q, "admin": %q, "seed": "1f", "coordinator": %q, "limits": {"cores": 1, "memory_mb": 192, "sockets": %d},
	"known": {"index": 1, "updates": [{"index": 1, "endpoints": {"revision": 1, "complete": true, "members": [%s]}}]},
	"settings": {"balancers": 1, "localities": ["east"], "flavors": ["std"], "weights": "rough", "discovery": "automatic",
	"lanes": [{"name": "feed", "effect": "idempotent", "goalTimeS": 30, "worth": 1}],
	"familyInfo": {"classFloor": [0], "topByClass": [3], "scaleByClass": [1], "licenceCap": [0], "ratesKb": [1, 2, 3, 4],
	"ladderWorth": [0.2, 0.5, 0.8, 1], "places": 2, "groups": 1, "kbPerWeight": 1e9, "rackLinkKb": 1e12, "kindStreams": [1000000]},
	"feedback": {"fields": ["load_share", "x1"], "via": "none"}, "policyLimits": {"attemptsCap": 4, "probes": true, "streamsPerConn": 1}}}`

func memberJSON(id, addr, phase string) string {
	return fmt.Sprintf(`{"id": %q, "host_port": %q, "locality": "east", "flavor": "std", "cell": 0, "phase": %q, "size": 1}`, id, addr, phase)
}

// child is a process of the program. Its addresses stay over its starts.
type child struct {
	t                       *testing.T
	viewers, players, admin string
	config, operator        string
	members                 string
	sockets                 int
	temp                    string
	cmd                     *exec.Cmd
	serving                 chan struct{}
	lastID                  int

	mu  sync.Mutex
	log bytes.Buffer
}

// unusedAddr is an address that nobody listens at. Guard: no connection of the tests' own is
// from its host, so that none takes the port.
func unusedAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.2:0", 1+os.Getpid()>>8&0x7f, os.Getpid()&0xff))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
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

func newChild(t *testing.T, members string) *child {
	c := &child{t: t, sockets: sockets, temp: t.TempDir(), viewers: unusedAddr(t), players: unusedAddr(t), admin: unusedAddr(t), members: members, config: filepath.Join(t.TempDir(), "config")}
	c.operator = writeTempFile(t, "operator.conf", "websocket {\n listen "+c.players+"\n}\n")
	t.Cleanup(c.kill)
	return c
}

// configText is its configuration with a coordinator.
func (c *child) configText(coordinator string) []byte {
	return fmt.Appendf(nil, platformJSON, c.viewers, c.admin, coordinator, c.sockets, c.members)
}

func (c *child) writeConfig(coordinator string) {
	c.t.Helper()
	if err := os.WriteFile(c.config, c.configText(coordinator), 0o600); err != nil {
		c.t.Fatal(err)
	}
}

func (c *child) env() []string {
	return []string{"BALANCER_CONFIG=" + c.config, "MILLETHINGE_OPERATOR=" + c.operator}
}

func (c *child) start() {
	c.t.Helper()
	c.serving = make(chan struct{})
	c.cmd = exec.Command(os.Args[0])
	c.cmd.Env = append(c.env(), serveEnv+"="+strconv.Itoa(c.sockets), "TMPDIR="+c.temp, "BALANCER_ADMIN="+c.admin)
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := c.cmd.StderrPipe()
	if err == nil {
		err = c.cmd.Start()
	}
	if err != nil {
		c.t.Fatal(err)
	}
	serving := c.serving
	go func() {
		for in := bufio.NewScanner(out); in.Scan(); {
			c.mu.Lock()
			fmt.Fprintln(&c.log, in.Text())
			c.mu.Unlock()
			if strings.Contains(in.Text(), `"serving"`) {
				close(serving)
			}
		}
	}()
}

func (c *child) kill() {
	if c.cmd != nil {
		c.cmd.Process.Kill()
		c.cmd.Wait()
		c.cmd = nil
	}
}

func (c *child) logged() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.log.String()
}

// waitFor waits for what comes.
func waitFor[T any](c *child, from <-chan T, what string) (v T) {
	c.t.Helper()
	select {
	case v = <-from:
	case <-time.After(testTimeout):
		c.t.Fatalf("no %s; it said:\n%s", what, c.logged())
	}
	return v
}

// dialViewer is a connection to it, on which a line is sent and one is read.
func dialViewer(addr string) (net.Conn, func(line string) (string, error), error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, nil, err
	}
	reader := bufio.NewReader(conn)
	return conn, func(line string) (string, error) {
		conn.SetDeadline(time.Now().Add(testTimeout))
		if _, err := io.WriteString(conn, line+"\n"); err != nil {
			return "", err
		}
		return reader.ReadString('\n')
	}, nil
}

// fillWithIdleClients fills its places: for viewers with clients that had a word and say no more, for
// players and callers with such that say nothing.
func (c *child) fillWithIdleClients() {
	c.t.Helper()
	for range c.sockets / 2 {
		for _, addr := range []string{c.players, c.admin, c.viewers} {
			conn, exchange, err := dialViewer(addr)
			if err != nil {
				c.t.Fatal(err)
			}
			c.t.Cleanup(func() { conn.Close() })
			if addr == c.viewers {
				if got, err := exchange(`{"type":"ping","id":"1"}`); err != nil || !strings.Contains(got, "pong") {
					c.t.Fatal(got, err)
				}
			}
		}
	}
}

const setUpLine = `{"type":"setup","id":"%016x","fields":{"class":"feed","left":"15000","key":"01","extras":"home:0;copies:1;top:3"},"sdp":"x"}` + "\n"

// setUp has a new client set a session up. Where others rush in, its connection may be
// closed before its request is read; then it goes again, as clients do.
func (c *child) setUp(retry bool) {
	c.t.Helper()
	for begin := time.Now(); ; {
		conn, exchange, err := dialViewer(c.viewers)
		if err != nil {
			c.t.Fatal(err)
		}
		c.lastID++
		got, err := exchange(strings.TrimSpace(fmt.Sprintf(setUpLine, c.lastID)))
		conn.Close()
		if err == nil && strings.Contains(got, `"answer"`) {
			return
		}
		if !retry || got != "" || time.Since(begin) > testTimeout {
			c.t.Fatalf("%q, %v; it said:\n%s", got, err, c.logged())
		}
		c.t.Log("goes again:", err)
	}
}

// isReady tells whether a caller hears that it serves.
func (c *child) isReady() bool {
	res, err := (&http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}).Get("http://" + c.admin + "/ready")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// unreachableAddr is an address on loopback that nothing is heard from.
func unreachableAddr(t *testing.T) string {
	l := loopback(t)
	closeFill, err := standin.Shy(l.(*net.TCPListener))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(closeFill)
	return l.Addr().String()
}

// coordinator is a coordinator that holds polls. Away, it ends whoever comes; it has news or
// none.
type coordinator struct {
	net.Listener
	unavailable, hasUpdate atomic.Bool
	members                string // of its second event
	polls                  chan string

	mu    sync.Mutex
	conns []net.Conn
}

func startCoordinator(t *testing.T, members string) *coordinator {
	c := &coordinator{Listener: loopback(t), members: members, polls: make(chan string, 1<<10)}
	go func() {
		for {
			conn, err := c.Accept()
			if err != nil {
				return
			}
			if c.unavailable.Load() {
				conn.Close()
				continue
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			go c.serveConn(conn)
		}
	}()
	t.Cleanup(c.stop)
	return c
}

func (c *coordinator) serveConn(conn net.Conn) {
	defer conn.Close()
	for reader := bufio.NewReader(conn); ; {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		c.polls <- req.FormValue("follow")
		if req.FormValue("follow") == "1" && c.hasUpdate.Load() {
			text := fmt.Sprintf(`{"index":2,"updates":[{"index":2,"endpoints":{"revision":2,"members":[%s]}}]}`, c.members)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		}
	}
}

func (c *coordinator) stop() {
	c.unavailable.Store(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
	c.conns = nil
}

// With all places taken by clients that say nothing more, and no more descriptors than
// the platform gives, a coordinator that was away is followed again when it is back,
// there or elsewhere, and a new client is served by the list that it then tells.
func TestServesWithIdleClientsAtLimits(t *testing.T) {
	for name, elsewhere := range map[string]bool{"there": false, "elsewhere": true} {
		t.Run(name, func(t *testing.T) {
			unusedNode := loopback(t).Addr().String()
			node := loopback(t)
			go (&standin.Node{Bill: standin.NewBill(), Decide: func(string, int) standin.Verdict { return standin.Verdict{Status: 200} }}).Serve(node)
			update := memberJSON("a", unusedNode, "terminating") + "," + memberJSON("b", node.Addr().String(), "in_service")
			first := startCoordinator(t, update)
			c := newChild(t, memberJSON("a", unusedNode, "in_service"))
			c.writeConfig(first.Addr().String())
			c.start()
			waitFor(c, c.serving, "service")
			waitFor(c, first.polls, "poll")
			c.fillWithIdleClients()
			descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", c.cmd.Process.Pid))
			if err != nil || len(descriptors) < sockets/2 {
				t.Errorf("%d descriptors, %v", len(descriptors), err)
			}
			t.Log("descriptors held:", len(descriptors), "of", sockets)
			first.stop()
			next := first
			if elsewhere {
				next = startCoordinator(t, update)
				c.writeConfig(next.Addr().String())
				c.cmd.Process.Signal(syscall.SIGHUP)
			}
			next.hasUpdate.Store(true)
			next.unavailable.Store(false)
			for waitFor(c, next.polls, "poll after the list's change") != "2" {
			}
			c.setUp(false)
			c.fillWithIdleClients()
			c.setUp(false)
			if !c.isReady() {
				t.Error("a caller is kept out")
			}
			if strings.Contains(c.logged(), "too many open files") {
				t.Errorf("want of descriptors:\n%s", c.logged())
			}
		})
	}
}

// countingListener is a listener that knows how many connections are open.
type countingListener struct {
	net.Listener
	n atomic.Int32
}

type countingConn struct {
	net.Conn
	listener *countingListener
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.n.Add(1)
	return countingConn{c, l}, err
}

func (c countingConn) Close() error {
	c.listener.n.Add(-1)
	return c.Conn.Close()
}

// With all places for viewers, players, callers and nodes taken at once no descriptor is
// wanted: the coordinator is followed elsewhere, the files are read again, and a new client
// and a caller are answered.
func TestAllConnectionLimitsReached(t *testing.T) {
	for _, n := range []int{64, 96, sockets, 256} {
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			node, release := &countingListener{Listener: loopback(t)}, make(chan struct{})
			go (&standin.Node{Bill: standin.NewBill(), Decide: func(id string, _ int) standin.Verdict {
				if id != fmt.Sprintf("%016x", 1) { // the first one stands, so that no connection is given back
					<-release
				}
				return standin.Verdict{Status: 200}
			}}).Serve(node)
			list := memberJSON("a", node.Addr().String(), "in_service")
			first := startCoordinator(t, list)
			first.hasUpdate.Store(true) // so that it is ready
			c := newChild(t, list)
			c.sockets = n
			c.writeConfig(first.Addr().String())
			cfg, err := config.Load(func(key string) string {
				for _, e := range c.env() {
					if v, ok := strings.CutPrefix(e, key+"="); ok {
						return v
					}
				}
				return ""
			})
			if err != nil {
				t.Fatal(err)
			}
			c.start()
			waitFor(c, c.serving, "service")
			for waitFor(c, first.polls, "poll") != "2" {
			}
			c.setUp(false)
			conn, _, err := dialViewer(c.viewers)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			for range min(2*cfg.NodeConns(), peer.DefaultMaxSetups) { // each takes a connection and keeps it, since its session stands
				c.lastID++
				fmt.Fprintf(conn, setUpLine, c.lastID)
			}
			for begin := time.Now(); int(node.n.Load()) < cfg.NodeConns(); time.Sleep(time.Millisecond) {
				if time.Since(begin) > testTimeout {
					t.Fatalf("%d of %d connections to the node; it said:\n%s", node.n.Load(), cfg.NodeConns(), c.logged())
				}
			}
			close(release)
			c.fillWithIdleClients()
			descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", c.cmd.Process.Pid))
			t.Logf("descriptors held: %d of %d; viewers' %d, nodes' %d, %v", len(descriptors), n, cfg.ViewerConns(), cfg.NodeConns(), err)
			first.stop()
			next := startCoordinator(t, "")
			c.writeConfig(next.Addr().String())
			c.cmd.Process.Signal(syscall.SIGHUP)
			waitFor(c, next.polls, "poll elsewhere")
			c.setUp(false)
			if !c.isReady() {
				t.Error("a caller is kept out")
			}
			if strings.Contains(c.logged(), "too many open files") {
				t.Errorf("want of descriptors:\n%.400s", c.logged())
			}
		})
	}
}

// Killed and started anew while the coordinator is silent, away or can't be reached, and
// with clients coming at the same instant, the program serves and says that it is ready.
func TestReadyWithoutCoordinator(t *testing.T) {
	silent, unavailable := startCoordinator(t, ""), startCoordinator(t, "")
	unavailable.unavailable.Store(true)
	for name, coordinator := range map[string]string{
		"silent": silent.Addr().String(), "away": unavailable.Addr().String(), "refuses": unusedAddr(t), "unreachable": unreachableAddr(t),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			node := loopback(t)
			go (&standin.Node{Bill: standin.NewBill(), Decide: func(string, int) standin.Verdict { return standin.Verdict{Status: 200} }}).Serve(node)
			c := newChild(t, memberJSON("a", node.Addr().String(), "in_service"))
			c.writeConfig(coordinator)
			for run := range 3 {
				begin := time.Now()
				c.start()
				var clients sync.WaitGroup
				for range sockets {
					clients.Go(func() {
						for time.Since(begin) < testTimeout {
							if conn, _, err := dialViewer(c.viewers); err == nil {
								t.Cleanup(func() { conn.Close() })
								return
							}
							time.Sleep(time.Millisecond)
						}
					})
				}
				waitFor(c, c.serving, "service")
				c.setUp(true)
				served := time.Since(begin)
				for !c.isReady() {
					if time.Since(begin) > testTimeout {
						t.Fatalf("never ready; it said:\n%s", c.logged())
					}
					time.Sleep(time.Millisecond)
				}
				t.Logf("start %d: served after %v, ready after %v", run, served.Round(time.Millisecond), time.Since(begin).Round(time.Millisecond))
				clients.Wait()
				c.kill()
			}
		})
	}
}

// SIGHUP while the first configuration is still read does not end the process.
func TestHangupDuringFirstConfigRead(t *testing.T) {
	c := newChild(t, memberJSON("a", "127.0.0.1:1", "in_service"))
	if err := syscall.Mkfifo(c.config, 0o600); err != nil {
		t.Fatal(err)
	}
	source := startCoordinator(t, "")
	c.start()
	pipe, err := os.OpenFile(c.config, os.O_WRONLY, 0) // goes on once the process reads it
	if err != nil {
		t.Fatal(err)
	}
	c.cmd.Process.Signal(syscall.SIGHUP)
	pipe.Write(c.configText(source.Addr().String()))
	pipe.Close() // the second look at it waits for good
	waitFor(c, c.serving, "service")
	waitFor(c, source.polls, "poll")
}

// Three processes of one manager: of two younger ones one takes what stands, also where
// an older one and the one between end at the same time, and what stands is cut by nobody.
func TestThreeProcesses(t *testing.T) {
	node, bill := loopback(t), standin.NewBill()
	go (&standin.Node{Bill: bill, Decide: func(string, int) standin.Verdict { return standin.Verdict{Status: 200} }}).Serve(node)
	list := memberJSON("a", node.Addr().String(), "in_service")
	source := startCoordinator(t, list)
	source.hasUpdate.Store(true)
	var children [3]*child
	for i := range children {
		c := newChild(t, list)
		if i > 0 {
			c.viewers, c.players, c.operator, c.temp = children[0].viewers, children[0].players, children[0].operator, children[0].temp
		}
		c.writeConfig(source.Addr().String())
		c.start()
		waitFor(c, c.serving, "service")
		for begin := time.Now(); !c.isReady(); time.Sleep(time.Millisecond) {
			if time.Since(begin) > testTimeout {
				t.Fatalf("%d is never ready; it said:\n%s", i, c.logged())
			}
		}
		if children[i] = c; i == 0 {
			c.setUp(false)
		}
	}
	for _, c := range children[:2] {
		c.cmd.Process.Signal(syscall.SIGTERM)
	}
	for i, want := range []int{0, 0, 1} {
		c := children[i]
		if i == 2 {
			c.cmd.Process.Signal(syscall.SIGTERM)
		}
		c.cmd.Wait()
		if got := strings.Count(c.logged(), `"sessions taken over","name":"n0","sessions":1`); got != want {
			t.Errorf("%d takes it %d times; it said:\n%s", i, got, c.logged())
		}
		bill.Read(func(b *standin.Bill) {
			if b.Ended["0000000000000001"] != want {
				t.Errorf("after the end of %d it is cut %d times", i, b.Ended["0000000000000001"])
			}
		})
	}
}
