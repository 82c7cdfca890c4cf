package media

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"millethinge/control"
	"millethinge/internal/broker"
	"millethinge/internal/directory"
)

// forgetfulFleet plays media nodes in virtual time that forget connections instead of closing
// them when they have been idle.
type forgetfulFleet struct {
	idleTimeout time.Duration
	answerDelay time.Duration
	resets      bool // a message on a forgotten connection resets it; otherwise it is lost

	mu            sync.Mutex
	random        *rand.Rand
	nodes         map[string]*forgetfulNode // by address
	overAt        map[string]time.Time      // by session: when it came to its end
	open, maxOpen int
	dials         int
}

// forgetfulNode is one of these nodes. It sends the end of a session on the connection of its
// set-up, or else on any open one, and once more on the next that opens.
type forgetfulNode struct {
	fleet  *forgetfulFleet
	conns  map[*forgetfulConn]bool // open and not forgotten
	repeat []string                // sessions whose ends are sent again on the next connection
}

type forgetfulConn struct {
	net.Conn
	node      *forgetfulNode
	writeMu   sync.Mutex
	usedAt    time.Time
	openCount int // set-ups that are not answered yet
	forgotten bool
}

// sessionLength returns how long a session lasts.
func (f *forgetfulFleet) sessionLength() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(26+f.random.IntN(24)) * time.Second
}

func (f *forgetfulFleet) dial(_ context.Context, addr string) (net.Conn, error) {
	near, far := net.Pipe()
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[addr]
	c := &forgetfulConn{Conn: far, node: n, usedAt: time.Now()}
	n.conns[c] = true
	ends := n.repeat
	n.repeat = nil
	f.dials++
	f.open++
	f.maxOpen = max(f.maxOpen, f.open)
	go func() {
		for _, id := range ends {
			c.sendEnd(id)
		}
		c.serve()
	}()
	return &countedConn{Conn: near, fleet: f}, nil
}

// countedConn is the manager's end of a connection. It counts as open until it is closed.
type countedConn struct {
	net.Conn
	fleet *forgetfulFleet
	once  sync.Once
}

func (c *countedConn) Close() error {
	c.once.Do(func() {
		c.fleet.mu.Lock()
		defer c.fleet.mu.Unlock()
		c.fleet.open--
	})
	return c.Conn.Close()
}

// forgetIdle forgets the connections that have been idle for too long.
func (f *forgetfulFleet) forgetIdle(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		for c := range n.conns {
			if c.openCount == 0 && now.Sub(c.usedAt) > f.idleTimeout {
				c.forgotten = true
				delete(n.conns, c)
			}
		}
	}
}

func (c *forgetfulConn) send(text string) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.node.fleet.mu.Lock()
	c.usedAt = time.Now()
	c.node.fleet.mu.Unlock()
	io.WriteString(c, text)
}

func (c *forgetfulConn) sendEnd(id string) {
	c.send("TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 4\r\nSession: " + id + "\r\nReason: cause=16\r\nContent-Length: 0\r\n\r\n")
}

// serve answers requests until the connection ends.
func (c *forgetfulConn) serve() {
	f, reader := c.node.fleet, textproto.NewReader(bufio.NewReader(c))
	defer func() {
		c.Close()
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(c.node.conns, c)
	}()
	for {
		line, err := reader.ReadLine()
		if err != nil {
			return
		}
		header, err := reader.ReadMIMEHeader()
		if err != nil {
			return
		}
		length, _ := strconv.Atoi(header.Get("Content-Length"))
		if _, err := io.CopyN(io.Discard, reader.R, int64(length)); err != nil {
			return
		}
		f.mu.Lock()
		c.usedAt = time.Now()
		forgotten := c.forgotten
		f.mu.Unlock()
		switch {
		case forgotten && f.resets:
			return
		case !forgotten:
			c.answer(strings.Fields(line)[0], header.Get("Session"), header.Get("CSeq"))
		}
	}
}

func (c *forgetfulConn) answer(method, id, cseq string) {
	f := c.node.fleet
	ok := fmt.Sprintf("RTSP/1.0 200 OK\r\nCSeq: %s\r\nSession: %s\r\nContent-Length: 0\r\n\r\n", cseq, id)
	if method != "SETUP" {
		c.send(ok)
		return
	}
	f.mu.Lock()
	c.openCount++
	f.mu.Unlock()
	time.AfterFunc(f.answerDelay, func() {
		f.mu.Lock()
		c.openCount--
		f.mu.Unlock()
		c.send(ok)
		time.AfterFunc(f.sessionLength(), func() { c.endSession(id) })
	})
}

// endSession ends a session on the node's own account.
func (c *forgetfulConn) endSession(id string) {
	n, f := c.node, c.node.fleet
	f.mu.Lock()
	f.overAt[id] = time.Now()
	to := c
	if !n.conns[c] {
		to = nil
		for open := range n.conns {
			to = open
			break
		}
	}
	n.repeat = append(n.repeat, id)
	f.mu.Unlock()
	if to != nil {
		to.sendEnd(id)
	}
}

// Guards against viewers who are never told that their sessions are over: where media nodes
// forget idle connections, these added up to the limit, after which none was opened for ends.
func TestEndsAreToldWhereNodesForgetConnections(t *testing.T) {
	const (
		releaseLimit = 8050 * time.Millisecond // from a session's end until its viewer is told
		runTime      = 150 * time.Second
	)
	for name, e := range map[string]struct {
		nodes, limit   int
		limitInUpgrade int           // limit of connections for the last 90 s; 0: the same
		interval       time.Duration // between set-ups
		answerDelay    time.Duration
		resets         bool
		noProbes       bool
		streams        int // open set-ups on one connection; 0: 32
	}{
		"reset on use":                {nodes: 16, limit: 91, interval: 666 * time.Millisecond, resets: true},
		"lost on use":                 {nodes: 16, limit: 91, interval: 666 * time.Millisecond},
		"no probes":                   {nodes: 16, limit: 91, interval: 666 * time.Millisecond, resets: true, noProbes: true},
		"as many connections":         {nodes: 16, limit: 16, interval: 100 * time.Millisecond, resets: true},
		"fewer connections":           {nodes: 23, limit: 6, interval: 100 * time.Millisecond, resets: true},
		"fewer connections, lost":     {nodes: 23, limit: 6, interval: 100 * time.Millisecond},
		"fewer connections, no probe": {nodes: 23, limit: 6, interval: 100 * time.Millisecond, noProbes: true},
		"few connections":             {nodes: 23, limit: 3, interval: 100 * time.Millisecond, resets: true},
		"many nodes":                  {nodes: 200, limit: 91, interval: 200 * time.Millisecond, resets: true},
		"many set-ups":                {nodes: 16, limit: 20, interval: 20 * time.Millisecond, answerDelay: 2 * time.Second, resets: true},
		"all held by set-ups":         {nodes: 16, limit: 8, interval: 20 * time.Millisecond, answerDelay: 2500 * time.Millisecond, resets: true, streams: 1},
		"half in an upgrade":          {nodes: 16, limit: 91, limitInUpgrade: 12, interval: 666 * time.Millisecond, resets: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := &forgetfulFleet{idleTimeout: 15 * time.Second, answerDelay: e.answerDelay, resets: e.resets, random: rand.New(rand.NewPCG(41, 2)),
					nodes: make(map[string]*forgetfulNode), overAt: make(map[string]time.Time)}
				var mu sync.Mutex
				startedIDs, toldAt := make(map[string]bool), make(map[string]time.Time)
				report := func(r broker.Report) {
					mu.Lock()
					defer mu.Unlock()
					id := formatSessionID(r.ID)
					switch {
					case r.Kind == broker.ReportStarted:
						startedIDs[id] = true
					case r.Kind == broker.ReportEnded && startedIDs[id]:
						toldAt[id] = time.Now()
					}
				}
				ctx, cancel := context.WithCancel(t.Context())
				began, random := time.Now(), rand.New(rand.NewPCG(41, 1))
				limit := max(e.limitInUpgrade, 1)
				p := NewPool(ctx, new(errgroup.Group), Config{
					ClassNames: []string{"clip"}, ConnIdleTimeout: fleet.idleTimeout, StreamsPerConn: cmp.Or(e.streams, 32), MaxConns: e.limit, DrainGrace: time.Second,
					DisableProbes: e.noProbes, Dial: fleet.dial, Report: report, Log: zap.NewNop(), MaxConnsInUpgrade: limit,
					UpgradeInProgress: func() bool { return e.limitInUpgrade > 0 && time.Since(began) > 60*time.Second },
				})
				var change directory.Change
				for i := range e.nodes {
					addr := strconv.Itoa(i)
					fleet.nodes[addr] = &forgetfulNode{fleet: fleet, conns: make(map[*forgetfulConn]bool)}
					change.Members = append(change.Members, directory.Member{Entry: control.Entry{Server: control.ServerID(i + 1), State: control.Ready}, Addr: addr, ID: addr})
				}
				p.Apply(change)
				setUps := 0
				for nextForget := time.Now(); time.Since(began) < runTime; time.Sleep(e.interval) {
					setUps++
					a := newSetUp(control.SessionID(setUps)).Attempt
					a.Deadline = time.Now().Add(3 * time.Second)
					p.SetUp(control.ServerID(random.IntN(e.nodes)+1), a)
					if !time.Now().Before(nextForget) {
						fleet.forgetIdle(time.Now())
						nextForget = time.Now().Add(100 * time.Millisecond)
					}
				}
				judgedAt := time.Now()
				cancel()
				p.group.Wait()
				synctest.Wait()
				ended, unheard, early, late, latest := 0, 0, 0, 0, time.Duration(0)
				for id, over := range fleet.overAt {
					told, ok := toldAt[id]
					switch {
					case !startedIDs[id] || judgedAt.Sub(over) < releaseLimit:
						continue
					case !ok:
						unheard++
					case told.Before(over):
						early++
					default:
						latest = max(latest, told.Sub(over))
						if told.Sub(over) > releaseLimit {
							late++
						}
					}
					ended++
				}
				t.Logf("%d set-ups, %d started, %d ended, latest told after %v; %d connections opened, %d at once at most", setUps, len(startedIDs), ended, latest, fleet.dials, fleet.maxOpen)
				if ended == 0 || unheard+early+late > 0 {
					t.Errorf("of %d ends %d were never told, %d before the end and %d later than %v", ended, unheard, early, late, releaseLimit)
				}
				if e.limitInUpgrade == 0 && fleet.maxOpen > e.limit {
					t.Errorf("%d connections were open at once; the limit is %d", fleet.maxOpen, e.limit)
				}
			})
		})
	}
}
