package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"millethinge/internal/standin"
)

// listCoordinator is a stand-in for the coordinator that holds polls. While it is down, it closes each
// connection.
type listCoordinator struct {
	*httptest.Server
	isDown atomic.Bool

	mu      sync.Mutex
	updates []string // the members of each; update 1 is the first
	changed chan struct{}
}

func startListCoordinator(t *testing.T, members ...string) *listCoordinator {
	c := &listCoordinator{changed: make(chan struct{})}
	c.publish(members...)
	c.Server = httptest.NewServer(http.HandlerFunc(c.answer))
	t.Cleanup(c.Close)
	t.Cleanup(c.down)
	return c
}

func (c *listCoordinator) addr() string { return c.Listener.Addr().String() }

func (c *listCoordinator) up() { c.isDown.Store(false) }

func (c *listCoordinator) down() {
	c.isDown.Store(true)
	c.CloseClientConnections()
}

// publish adds an update.
func (c *listCoordinator) publish(members ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updates = append(c.updates, strings.Join(members, ","))
	close(c.changed)
	c.changed = make(chan struct{})
}

// numberAnew forgets all updates.
func (c *listCoordinator) numberAnew(members ...string) {
	c.mu.Lock()
	c.updates = nil
	c.mu.Unlock()
	c.publish(members...)
}

// answer answers a poll.
func (c *listCoordinator) answer(w http.ResponseWriter, req *http.Request) {
	if c.isDown.Load() {
		panic(http.ErrAbortHandler)
	}
	follow, _ := strconv.Atoi(req.FormValue("follow"))
	wait, _ := strconv.Atoi(req.FormValue("wait_ms"))
	ctx, cancel := context.WithTimeout(req.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		c.mu.Lock()
		updates, changed := c.updates, c.changed
		c.mu.Unlock()
		if follow >= len(updates) && ctx.Err() == nil {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		var told []string
		for i := follow; i < len(updates); i++ {
			told = append(told, fmt.Sprintf(`{"index":%d,"endpoints":{"complete":%t,"members":[%s]}}`, i+1, i == 0, updates[i]))
		}
		fmt.Fprintf(w, `{"index":%d,"updates":[%s]}`, len(updates), strings.Join(told, ","))
		return
	}
}

// listNode is a stand-in media node.
type listNode struct {
	id, addr string
	counts   *standin.Counts
}

func (n *listNode) member(phase string) string { return memberJSON(n.id, n.addr, phase) }

// setUps returns how many set-ups the node has had.
func (n *listNode) setUps() (count int) {
	n.counts.WithLock(func(c *standin.Counts) { count = len(c.SetUps) })
	return count
}

// listUpgrade is a series of upgrades while the coordinator can't be reached.
type listUpgrade struct {
	t      *testing.T
	nodes  map[string]*listNode
	source *listCoordinator
	newest *child
	next   []*child // the processes that replace it, one after the other
	lastID int      // of the sessions that were set up
}

// newListUpgrade returns nodes a to d, of which a and b are in service, and three processes of a manager
// that knows these by its configuration. None is started.
func newListUpgrade(t *testing.T) *listUpgrade {
	u := &listUpgrade{t: t, nodes: make(map[string]*listNode)}
	for _, id := range []string{"a", "b", "c", "d"} {
		listener, counts := serveNode(t, "127.0.0.1:0", standin.Response{Status: 200})
		u.nodes[id] = &listNode{id, listener.Addr().String(), counts}
	}
	u.source = startListCoordinator(t, u.member("a", "in_service"), u.member("b", "in_service"))
	u.newest = newChild(t, u.source.updates[0])
	u.newest.writeConfig(u.source.addr())
	for range 2 {
		c := newChild(t, u.newest.members)
		c.viewers, c.players, c.operator, c.temp, c.config = u.newest.viewers, u.newest.players, u.newest.operator, u.newest.temp, u.newest.config
		u.next = append(u.next, c)
	}
	return u
}

// start starts the first process. The test is the one that fails from now on.
func (u *listUpgrade) start(t *testing.T) {
	u.t, u.newest.t = t, t
	for _, c := range u.next {
		c.t = t
	}
	u.startNewest()
}

func (u *listUpgrade) member(id, phase string) string { return u.nodes[id].member(phase) }

func (u *listUpgrade) startNewest() {
	u.t.Helper()
	u.newest.start()
	waitFor(u.newest, u.newest.serving, "service")
	u.waitFor("readiness", u.newest.isReady)
}

func (u *listUpgrade) waitFor(what string, done func() bool) {
	u.t.Helper()
	for begin := time.Now(); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Since(begin) > testTimeout {
			u.t.Fatalf("no %s; log:\n%s", what, u.newest.logged())
		}
	}
}

// awaitLogged waits until the newest process has logged a text.
func (u *listUpgrade) awaitLogged(text string) {
	u.t.Helper()
	u.waitFor("log of "+text, func() bool { return strings.Contains(u.newest.logged(), text) })
}

// awaitStored waits until the stored list names a node in a phase, or does not name it if phase is "".
func (u *listUpgrade) awaitStored(id, phase string) {
	u.t.Helper()
	u.waitFor("stored list", func() bool {
		stored, _ := os.ReadFile(u.storedList())
		_, rest, found := strings.Cut(string(stored), u.nodes[id].addr)
		end := min(len(rest), 40) // the phase is a few bytes after the address
		return found == (phase != "") && (phase == "" || strings.Contains(rest[:end], phase))
	})
}

// storedList returns the path of the stored list.
func (u *listUpgrade) storedList() string {
	found, _ := filepath.Glob(filepath.Join(u.newest.temp, "millethinge-*", "list"))
	return strings.Join(found, "")
}

// drainBeforeOutage has node a drain, and then the coordinator be unreachable.
func (u *listUpgrade) drainBeforeOutage() {
	u.t.Helper()
	u.source.publish(u.member("a", "terminating"))
	u.awaitStored("a", "terminating")
	u.source.down()
}

// upgrade replaces the newest process by one with the same configuration, and ends the older one by a
// signal.
func (u *listUpgrade) upgrade(signal syscall.Signal) {
	u.t.Helper()
	older := u.startNext()
	u.end(older, signal)
}

// startNext starts the next process beside the newest one, which it returns.
func (u *listUpgrade) startNext() (older *child) {
	u.t.Helper()
	older = u.newest
	u.newest, u.next = u.next[0], u.next[1:]
	u.startNewest()
	return older
}

// end ends a process by a signal.
func (u *listUpgrade) end(older *child, signal syscall.Signal) {
	older.cmd.Process.Signal(signal)
	older.cmd.Wait()
	older.cmd = nil
}

// setUp sets up a session.
func (u *listUpgrade) setUp() {
	u.t.Helper()
	conn, err := net.Dial("tcp", u.newest.viewers)
	if err != nil {
		u.t.Fatal(err)
	}
	defer conn.Close()
	u.lastID++
	conn.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintf(conn, setUpLine, u.lastID)
	for in := bufio.NewScanner(conn); in.Scan(); {
		if strings.Contains(in.Text(), fmt.Sprintf("%016x", u.lastID)) { // ends of other sessions may come too
			if strings.Contains(in.Text(), `"answer"`) {
				return
			}
			break
		}
	}
	u.t.Fatalf("session %d is not set up; log:\n%.3000s", u.lastID, u.newest.logged())
}

// expectSetUps sets up sessions, and expects that they go to the named nodes only, and to each.
func (u *listUpgrade) expectSetUps(ids ...string) {
	u.t.Helper()
	before := make(map[string]int)
	for id, n := range u.nodes {
		before[id] = n.setUps()
	}
	for range 12 * len(ids) {
		u.setUp()
	}
	for id, n := range u.nodes {
		if got, want := n.setUps() > before[id], slices.Contains(ids, id); got != want {
			u.t.Errorf("node %s: new set-ups %t, want %t; log:\n%.3000s", id, got, want, u.newest.logged())
		}
	}
}

// Guards against a successor that knows less than its predecessor was told: in an upgrade while the
// coordinator can't be reached it served by the list in the configuration, and media nodes that drain
// got set-ups (review/3, issue 52). What the coordinator tells later wins.
func TestListIsHandedOverInOutage(t *testing.T) {
	for name, play := range map[string]func(u *listUpgrade){
		"each change of the list": func(u *listUpgrade) {
			u.source.publish(u.member("a", "terminating"), u.member("c", "in_service"), u.member("d", "in_service"))
			u.awaitStored("d", "in_service")
			u.source.publish(u.member("d", "terminated"))
			u.awaitStored("d", "")
			u.source.down()
			u.upgrade(syscall.SIGTERM)
			u.expectSetUps("b", "c")
			u.source.publish(u.member("a", "in_service"), u.member("b", "terminating"), u.member("c", "terminated"), u.member("d", "in_service"))
			u.source.up()
			u.awaitLogged("coordinator's list replaces the inherited one")
			u.expectSetUps("a", "d")
		},
		"the older process is killed": func(u *listUpgrade) {
			u.drainBeforeOutage()
			u.upgrade(syscall.SIGKILL)
			u.expectSetUps("b")
		},
		"the older process was killed before": func(u *listUpgrade) {
			u.drainBeforeOutage()
			u.newest.kill()
			u.startNewest()
			u.expectSetUps("b")
		},
		"a second upgrade in the outage": func(u *listUpgrade) {
			u.drainBeforeOutage()
			u.upgrade(syscall.SIGTERM)
			u.upgrade(syscall.SIGTERM)
			u.expectSetUps("b")
		},
		"the coordinator numbers anew before": func(u *listUpgrade) {
			u.source.publish(u.member("c", "in_service"))
			u.awaitStored("c", "in_service")
			u.source.down()
			u.source.numberAnew(u.member("b", "in_service"), u.member("a", "terminating"))
			u.source.up()
			u.awaitStored("a", "terminating")
			u.source.down()
			u.upgrade(syscall.SIGTERM)
			u.expectSetUps("b")
		},
		"the coordinator numbers anew after": func(u *listUpgrade) {
			u.source.publish(u.member("c", "in_service"))
			u.source.publish(u.member("d", "in_service"))
			u.awaitStored("d", "in_service")
			u.source.down()
			u.upgrade(syscall.SIGTERM)
			u.expectSetUps("a", "b", "c", "d")
			u.source.numberAnew(u.member("a", "in_service"), u.member("b", "in_service"))
			u.source.publish(u.member("a", "terminating"))
			u.source.up()
			u.awaitLogged("coordinator's list replaces the inherited one")
			u.expectSetUps("b")
		},
		"the coordinator numbers anew between": func(u *listUpgrade) {
			u.source.publish(u.member("c", "in_service"))
			u.awaitStored("c", "in_service")
			u.source.down()
			older := u.startNext()
			u.source.numberAnew(u.member("a", "in_service"), u.member("b", "terminating"))
			u.source.up()
			u.awaitLogged("coordinator's list replaces the inherited one")
			u.end(older, syscall.SIGTERM)
			u.expectSetUps("a")
		},
		"only the older process hears a change": func(u *listUpgrade) {
			u.next[0].config = filepath.Join(u.next[0].temp, "config")
			u.next[0].writeConfig(unreachableAddr(u.t))
			older := u.startNext()
			u.source.publish(u.member("a", "terminating"), u.member("c", "in_service"))
			u.awaitLogged(`"list of media nodes taken over","name":"n0","event":2`)
			u.end(older, syscall.SIGKILL)
			u.expectSetUps("b", "c")
		},
		"a node moves": func(u *listUpgrade) {
			u.source.publish(memberJSON("b", u.nodes["d"].addr, "in_service"))
			u.awaitStored("d", "in_service")
			u.source.down()
			u.upgrade(syscall.SIGTERM)
			u.expectSetUps("a", "d")
		},
		"the configuration is newer": func(u *listUpgrade) {
			u.drainBeforeOutage()
			u.newest.members = u.member("a", "in_service") + "," + u.member("c", "in_service")
			u.newest.writeConfig(u.source.addr())
			u.upgrade(syscall.SIGTERM)
			u.expectSetUps("a", "c")
		},
		"no list is handed over": func(u *listUpgrade) {
			u.drainBeforeOutage()
			if err := os.Remove(u.storedList()); err != nil {
				u.t.Fatal(err)
			}
			u.upgrade(syscall.SIGTERM)
			u.expectSetUps("a", "b")
			u.awaitLogged("no newer list of media nodes handed over")
		},
		"the stored list is cut off": func(u *listUpgrade) {
			u.drainBeforeOutage()
			if err := os.Truncate(u.storedList(), 100); err != nil {
				u.t.Fatal(err)
			}
			u.upgrade(syscall.SIGTERM)
			u.expectSetUps("a", "b")
			u.awaitLogged("handover-bad-file")
		},
		"a session at a node that joined": func(u *listUpgrade) {
			u.source.publish(u.member("a", "terminated"), u.member("b", "terminated"), u.member("c", "in_service"))
			u.awaitStored("c", "in_service")
			u.expectSetUps("c")
			u.source.down()
			u.upgrade(syscall.SIGTERM)
			u.awaitLogged(`"sessions taken over","name":"n0","sessions":12`)
		},
	} {
		u := newListUpgrade(t) // before any process runs, so that the addresses stay free
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u.start(t)
			play(u)
		})
	}
}

// Guards against the same for DNS-SD: while the DNS server can't be reached, a successor had none of the
// instances that its predecessor used by their TTL.
func TestInstancesAreHandedOverInOutage(t *testing.T) {
	u := newListUpgrade(t)
	udp, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer udp.Close()
	const service = "_rtsp._tcp.media.example"
	port := netip.MustParseAddrPort(u.nodes["c"].addr).Port()
	var server standin.DNSServer
	server.SetRecords(false, standin.ServiceRecords(service, "c", 60, port, "zone=east", "kind=std", "cell=0")...)
	go server.Serve(udp, loopback(t))
	u.newest.operator = writeTempFile(t, "operator.conf", fmt.Sprintf("dns-sd {\n server %s\n service %s\n}\n", udp.LocalAddr(), service))
	for _, c := range u.next {
		c.operator = u.newest.operator
	}
	u.start(t)
	u.waitFor("stored instance", func() bool {
		found, _ := filepath.Glob(filepath.Join(u.newest.temp, "millethinge-*", "instances"))
		stored, _ := os.ReadFile(strings.Join(found, ""))
		return strings.Contains(string(stored), u.nodes["c"].addr)
	})
	udp.Close()
	u.upgrade(syscall.SIGTERM)
	u.expectSetUps("a", "b", "c")
	u.upgrade(syscall.SIGKILL)
	u.expectSetUps("a", "b", "c")
}
