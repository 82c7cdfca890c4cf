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

// patience bounds what a test waits for; nothing passes or fails by less.
const patience = 20 * time.Second

// serves has the test's binary be the program, with so many descriptors.
const serves = "MILLETHINGE_TEST_SERVES"

func TestMain(m *testing.M) {
	if n, err := strconv.ParseUint(os.Getenv(serves), 10, 64); err == nil {
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n}); err != nil {
			panic(err)
		}
		os.Exit((&app{os.Getenv, os.Stdin, os.Stdout, os.Stderr}).serve(logging{}))
	}
	os.Exit(m.Run())
}

const sockets = 128

// platform is the program's configuration, by its addresses, the coordinator's and node a's.
const platform = `{"name": "n0", "listen": %q, "admin": %q, "seed": "1f", "coordinator": %q, "limits": {"cores": 1, "memory_mb": 192, "sockets": %d},
	"known": {"index": 1, "updates": [{"index": 1, "endpoints": {"revision": 1, "complete": true, "members": [%s]}}]},
	"settings": {"balancers": 1, "localities": ["east"], "flavors": ["std"], "weights": "rough", "discovery": "automatic",
	"lanes": [{"name": "feed", "effect": "idempotent", "goalTimeS": 30, "worth": 1}],
	"familyInfo": {"classFloor": [0], "topByClass": [3], "scaleByClass": [1], "licenceCap": [0], "ratesKb": [1, 2, 3, 4],
	"ladderWorth": [0.2, 0.5, 0.8, 1], "places": 2, "groups": 1, "kbPerWeight": 1e9, "rackLinkKb": 1e12, "kindStreams": [1000000]},
	"feedback": {"fields": ["load_share", "x1"], "via": "none"}, "policyLimits": {"attemptsCap": 4, "probes": true, "streamsPerConn": 1}}}`

func member(id, addr, phase string) string {
	return fmt.Sprintf(`{"id": %q, "host_port": %q, "locality": "east", "flavor": "std", "cell": 0, "phase": %q, "size": 1}`, id, addr, phase)
}

// child is a process of the program. Its addresses stay over its starts.
type child struct {
	t                      *testing.T
	viewers, players, call string
	config, operator       string
	members                string
	sockets                int
	temp                   string
	cmd                    *exec.Cmd
	serving                chan struct{}
	ids                    int

	mu  sync.Mutex
	log bytes.Buffer
}

// free is an address that nobody listens at. Guard: no connection of the tests' own is
// from its host, so that none takes the port.
func free(t *testing.T) string {
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
	c := &child{t: t, sockets: sockets, temp: t.TempDir(), viewers: free(t), players: free(t), call: free(t), members: members, config: filepath.Join(t.TempDir(), "config")}
	c.operator = written(t, "operator.conf", "websocket {\n listen "+c.players+"\n}\n")
	t.Cleanup(c.kill)
	return c
}

// text is its configuration with a coordinator.
func (c *child) text(coordinator string) []byte {
	return fmt.Appendf(nil, platform, c.viewers, c.call, coordinator, c.sockets, c.members)
}

func (c *child) write(coordinator string) {
	c.t.Helper()
	if err := os.WriteFile(c.config, c.text(coordinator), 0o600); err != nil {
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
	c.cmd.Env = append(c.env(), serves+"="+strconv.Itoa(c.sockets), "TMPDIR="+c.temp, "BALANCER_ADMIN="+c.call)
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

func (c *child) said() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.log.String()
}

// await waits for what comes.
func await[T any](c *child, from <-chan T, what string) (v T) {
	c.t.Helper()
	select {
	case v = <-from:
	case <-time.After(patience):
		c.t.Fatalf("no %s; it said:\n%s", what, c.said())
	}
	return v
}

// viewer is a connection to it, on which a line is sent and one is read.
func viewer(addr string) (net.Conn, func(line string) (string, error), error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, nil, err
	}
	in := bufio.NewReader(conn)
	return conn, func(line string) (string, error) {
		conn.SetDeadline(time.Now().Add(patience))
		if _, err := io.WriteString(conn, line+"\n"); err != nil {
			return "", err
		}
		return in.ReadString('\n')
	}, nil
}

// idle fills its places: for viewers with clients that had a word and say no more, for
// players and callers with such that say nothing.
func (c *child) idle() {
	c.t.Helper()
	for range c.sockets / 2 {
		for _, addr := range []string{c.players, c.call, c.viewers} {
			conn, say, err := viewer(addr)
			if err != nil {
				c.t.Fatal(err)
			}
			c.t.Cleanup(func() { conn.Close() })
			if addr == c.viewers {
				if got, err := say(`{"type":"ping","id":"1"}`); err != nil || !strings.Contains(got, "pong") {
					c.t.Fatal(got, err)
				}
			}
		}
	}
}

const setUpLine = `{"type":"setup","id":"%016x","fields":{"class":"feed","left":"15000","key":"01","extras":"home:0;copies:1;top:3"},"sdp":"x"}` + "\n"

// setUp has a new client set a session up. Where others rush in, its connection may be
// closed before its request is read; then it goes again, as clients do.
func (c *child) setUp(rush bool) {
	c.t.Helper()
	for begun := time.Now(); ; {
		conn, say, err := viewer(c.viewers)
		if err != nil {
			c.t.Fatal(err)
		}
		c.ids++
		got, err := say(strings.TrimSpace(fmt.Sprintf(setUpLine, c.ids)))
		conn.Close()
		if err == nil && strings.Contains(got, `"answer"`) {
			return
		}
		if !rush || got != "" || time.Since(begun) > patience {
			c.t.Fatalf("%q, %v; it said:\n%s", got, err, c.said())
		}
		c.t.Log("goes again:", err)
	}
}

// isReady tells whether a caller hears that it serves.
func (c *child) isReady() bool {
	res, err := (&http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}).Get("http://" + c.call + "/ready")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// shy is an address on loopback that nothing is heard from.
func shy(t *testing.T) string {
	l := loopback(t)
	end, err := standin.Shy(l.(*net.TCPListener))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(end)
	return l.Addr().String()
}

// watched is a coordinator that holds polls. Away, it ends whoever comes; it has news or
// none.
type watched struct {
	net.Listener
	away, news atomic.Bool
	members    string // of its second event
	polls      chan string

	mu  sync.Mutex
	all []net.Conn
}

func watch(t *testing.T, members string) *watched {
	w := &watched{Listener: loopback(t), members: members, polls: make(chan string, 1<<10)}
	go func() {
		for {
			conn, err := w.Accept()
			if err != nil {
				return
			}
			if w.away.Load() {
				conn.Close()
				continue
			}
			w.mu.Lock()
			w.all = append(w.all, conn)
			w.mu.Unlock()
			go w.talk(conn)
		}
	}()
	t.Cleanup(w.leave)
	return w
}

func (w *watched) talk(conn net.Conn) {
	defer conn.Close()
	for in := bufio.NewReader(conn); ; {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		w.polls <- req.FormValue("follow")
		if req.FormValue("follow") == "1" && w.news.Load() {
			text := fmt.Sprintf(`{"index":2,"updates":[{"index":2,"endpoints":{"revision":2,"members":[%s]}}]}`, w.members)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		}
	}
}

func (w *watched) leave() {
	w.away.Store(true)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, conn := range w.all {
		conn.Close()
	}
	w.all = nil
}

// With all places taken by clients that say nothing more, and no more descriptors than
// the platform gives, a coordinator that was away is followed again when it is back,
// there or elsewhere, and a new client is served by the list that it then tells.
func TestIdleClientsKeepNobodyOut(t *testing.T) {
	for name, elsewhere := range map[string]bool{"there": false, "elsewhere": true} {
		t.Run(name, func(t *testing.T) {
			gone := loopback(t).Addr().String()
			node := loopback(t)
			go (&standin.Node{Bill: standin.NewBill(), Decide: func(string, int) standin.Verdict { return standin.Verdict{Status: 200} }}).Serve(node)
			change := member("a", gone, "terminating") + "," + member("b", node.Addr().String(), "in_service")
			k := watch(t, change)
			c := newChild(t, member("a", gone, "in_service"))
			c.write(k.Addr().String())
			c.start()
			await(c, c.serving, "service")
			await(c, k.polls, "poll")
			c.idle()
			held, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", c.cmd.Process.Pid))
			if err != nil || len(held) < sockets/2 {
				t.Errorf("%d descriptors, %v", len(held), err)
			}
			t.Log("descriptors held:", len(held), "of", sockets)
			k.leave()
			back := k
			if elsewhere {
				back = watch(t, change)
				c.write(back.Addr().String())
				c.cmd.Process.Signal(syscall.SIGHUP)
			}
			back.news.Store(true)
			back.away.Store(false)
			for await(c, back.polls, "poll after the list's change") != "2" {
			}
			c.setUp(false)
			c.idle()
			c.setUp(false)
			if !c.isReady() {
				t.Error("a caller is kept out")
			}
			if strings.Contains(c.said(), "too many open files") {
				t.Errorf("want of descriptors:\n%s", c.said())
			}
		})
	}
}

// counted is a listener that knows how many connections are open.
type counted struct {
	net.Listener
	n atomic.Int32
}

type countedConn struct {
	net.Conn
	of *counted
}

func (l *counted) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.n.Add(1)
	return countedConn{c, l}, err
}

func (c countedConn) Close() error {
	c.of.n.Add(-1)
	return c.Conn.Close()
}

// With all places for viewers, players, callers and nodes taken at once no descriptor is
// wanted: the coordinator is followed elsewhere, the files are read again, and a new client
// and a caller are answered.
func TestAllPlacesAtOnce(t *testing.T) {
	for _, n := range []int{64, 96, sockets, 256} {
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			node, all := &counted{Listener: loopback(t)}, make(chan struct{})
			go (&standin.Node{Bill: standin.NewBill(), Decide: func(id string, _ int) standin.Verdict {
				if id != fmt.Sprintf("%016x", 1) { // the first one stands, so that no connection is given back
					<-all
				}
				return standin.Verdict{Status: 200}
			}}).Serve(node)
			list := member("a", node.Addr().String(), "in_service")
			k := watch(t, list)
			k.news.Store(true) // so that it is ready
			c := newChild(t, list)
			c.sockets = n
			c.write(k.Addr().String())
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
			await(c, c.serving, "service")
			for await(c, k.polls, "poll") != "2" {
			}
			c.setUp(false)
			asks, _, err := viewer(c.viewers)
			if err != nil {
				t.Fatal(err)
			}
			defer asks.Close()
			for range min(2*cfg.NodeConns(), peer.DefaultMaxSetups) { // each takes a connection and keeps it, since its session stands
				c.ids++
				fmt.Fprintf(asks, setUpLine, c.ids)
			}
			for begun := time.Now(); int(node.n.Load()) < cfg.NodeConns(); time.Sleep(time.Millisecond) {
				if time.Since(begun) > patience {
					t.Fatalf("%d of %d connections to the node; it said:\n%s", node.n.Load(), cfg.NodeConns(), c.said())
				}
			}
			close(all)
			c.idle()
			held, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", c.cmd.Process.Pid))
			t.Logf("descriptors held: %d of %d; viewers' %d, nodes' %d, %v", len(held), n, cfg.ViewerConns(), cfg.NodeConns(), err)
			k.leave()
			back := watch(t, "")
			c.write(back.Addr().String())
			c.cmd.Process.Signal(syscall.SIGHUP)
			await(c, back.polls, "poll elsewhere")
			c.setUp(false)
			if !c.isReady() {
				t.Error("a caller is kept out")
			}
			if strings.Contains(c.said(), "too many open files") {
				t.Errorf("want of descriptors:\n%.400s", c.said())
			}
		})
	}
}

// Killed and started anew while the coordinator is silent, away or can't be reached, and
// with clients coming at the same instant, the program serves and says that it is ready.
func TestReadyWithoutCoordinator(t *testing.T) {
	silent, away := watch(t, ""), watch(t, "")
	away.away.Store(true)
	for name, coordinator := range map[string]string{
		"silent": silent.Addr().String(), "away": away.Addr().String(), "refuses": free(t), "unreachable": shy(t),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			node := loopback(t)
			go (&standin.Node{Bill: standin.NewBill(), Decide: func(string, int) standin.Verdict { return standin.Verdict{Status: 200} }}).Serve(node)
			c := newChild(t, member("a", node.Addr().String(), "in_service"))
			c.write(coordinator)
			for n := range 3 {
				begun := time.Now()
				c.start()
				var rush sync.WaitGroup
				for range sockets {
					rush.Go(func() {
						for time.Since(begun) < patience {
							if conn, _, err := viewer(c.viewers); err == nil {
								t.Cleanup(func() { conn.Close() })
								return
							}
							time.Sleep(time.Millisecond)
						}
					})
				}
				await(c, c.serving, "service")
				c.setUp(true)
				served := time.Since(begun)
				for !c.isReady() {
					if time.Since(begun) > patience {
						t.Fatalf("never ready; it said:\n%s", c.said())
					}
					time.Sleep(time.Millisecond)
				}
				t.Logf("start %d: served after %v, ready after %v", n, served.Round(time.Millisecond), time.Since(begun).Round(time.Millisecond))
				rush.Wait()
				c.kill()
			}
		})
	}
}

// SIGHUP while the first configuration is still read does not end the process.
func TestHangupAtTheStart(t *testing.T) {
	c := newChild(t, member("a", "127.0.0.1:1", "in_service"))
	if err := syscall.Mkfifo(c.config, 0o600); err != nil {
		t.Fatal(err)
	}
	k := watch(t, "")
	c.start()
	pipe, err := os.OpenFile(c.config, os.O_WRONLY, 0) // goes on once the process reads it
	if err != nil {
		t.Fatal(err)
	}
	c.cmd.Process.Signal(syscall.SIGHUP)
	pipe.Write(c.text(k.Addr().String()))
	pipe.Close() // the second look at it waits for good
	await(c, c.serving, "service")
	await(c, k.polls, "poll")
}

// Three processes of one manager: of two younger ones one takes what stands, also where
// an older one and the one between end at the same time, and what stands is cut by nobody.
func TestThreeProcesses(t *testing.T) {
	node, bill := loopback(t), standin.NewBill()
	go (&standin.Node{Bill: bill, Decide: func(string, int) standin.Verdict { return standin.Verdict{Status: 200} }}).Serve(node)
	list := member("a", node.Addr().String(), "in_service")
	k := watch(t, list)
	k.news.Store(true)
	var all [3]*child
	for i := range all {
		c := newChild(t, list)
		if i > 0 {
			c.viewers, c.players, c.operator, c.temp = all[0].viewers, all[0].players, all[0].operator, all[0].temp
		}
		c.write(k.Addr().String())
		c.start()
		await(c, c.serving, "service")
		for begun := time.Now(); !c.isReady(); time.Sleep(time.Millisecond) {
			if time.Since(begun) > patience {
				t.Fatalf("%d is never ready; it said:\n%s", i, c.said())
			}
		}
		if all[i] = c; i == 0 {
			c.setUp(false)
		}
	}
	for _, c := range all[:2] {
		c.cmd.Process.Signal(syscall.SIGTERM)
	}
	for i, want := range []int{0, 0, 1} {
		c := all[i]
		if i == 2 {
			c.cmd.Process.Signal(syscall.SIGTERM)
		}
		c.cmd.Wait()
		if got := strings.Count(c.said(), `"sessions taken over","name":"n0","sessions":1`); got != want {
			t.Errorf("%d takes it %d times; it said:\n%s", i, got, c.said())
		}
		bill.Read(func(b *standin.Bill) {
			if b.Ended["0000000000000001"] != want {
				t.Errorf("after the end of %d it is cut %d times", i, b.Ended["0000000000000001"])
			}
		})
	}
}
