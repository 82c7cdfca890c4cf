package media

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"millethinge/control"
	"millethinge/internal/broker"
	"millethinge/internal/rtsp"
)

// stubConn is a connection that accepts all writes.
type stubConn struct{ net.Conn }

func (stubConn) Close() error                     { return nil }
func (stubConn) SetWriteDeadline(time.Time) error { return nil }
func (stubConn) Write(b []byte) (int, error)      { return len(b), nil }

// failingConn writes half of each message and fails.
type failingConn struct{ stubConn }

func (failingConn) Write(b []byte) (int, error) { return len(b) / 2, syscall.ECONNRESET }

// newStubConn returns a usable connection that accepts all writes.
func newStubConn() *conn {
	return &conn{Conn: stubConn{}, lastUsedAt: time.Now(), carriedMessage: true}
}

// timeOutSilently sends a set-up on c, which times out with no message.
func timeOutSilently(n *node, c *conn) {
	n.conns[1].unusable = true // so that the set-up goes on c
	n.handle(newSetUp(2))
	n.conns[1].unusable = false
	n.handle(abandonRequest{2, 1, true})
	n.maintain(time.Now())
	if n.maintain(time.Now().Add(5 * connSuspectTimeout)); c.breakCounted {
		return // too early: no message has come since, so the node may be stalled
	}
	n.handle(received{n.conns[1], message{kind: kindAnnounce, id: 1}})
	n.maintain(time.Now())
	n.maintain(time.Now().Add(2 * connSuspectTimeout))
	if c.breakCounted {
		n.handle(connClosed{c, net.ErrClosed}) // from its reader
	}
}

// A node sends the end of a session on the connection of its set-up and once more on the next
// connection that opens. So whenever a connection ends in a way that may lose an end, another
// one is dialled, even if others are open. Where nothing can be lost none is dialled, since
// each costs a handshake.
func TestReconnectAfterPossiblyLostEnd(t *testing.T) {
	for name, e := range map[string]struct {
		own  bool // the session was set up on the connection that ends
		gone bool // the session was set up on one that closed long ago
		end  func(n *node, c *conn)
		want bool // a connection is dialled
	}{
		"reset":                     {own: true, end: func(n *node, c *conn) { n.handle(connClosed{c, syscall.ECONNRESET}) }, want: true},
		"reset, session's own gone": {gone: true, end: func(n *node, c *conn) { n.handle(connClosed{c, syscall.ECONNRESET}) }, want: true},
		"reset, session on another": {end: func(n *node, c *conn) { n.handle(connClosed{c, syscall.ECONNRESET}) }},
		"closed by the node":        {own: true, end: func(n *node, c *conn) { n.handle(connClosed{c, io.EOF}) }},
		"closed within a message":   {own: true, end: func(n *node, c *conn) { n.handle(connClosed{c, io.ErrUnexpectedEOF}) }, want: true},
		"invalid message":           {own: true, end: func(n *node, c *conn) { n.handle(connClosed{c, errInvalidMessage}) }, want: true},
		"syntax error":              {own: true, end: func(n *node, c *conn) { n.handle(connClosed{c, rtsp.ErrSyntax}) }, want: true},
		"inbox full":                {own: true, end: func(n *node, c *conn) { n.handle(connClosed{c, net.ErrClosed}) }, want: true},
		"failed write": {own: true, end: func(n *node, c *conn) {
			c.Conn = failingConn{}
			n.handle(setRungRequest{1, 2})
			n.handle(connClosed{c, net.ErrClosed}) // from its reader
		}, want: true},
		"retired, not closed by the node": {own: true, end: func(n *node, c *conn) {
			c.retire(-time.Second)
			n.maintain(time.Now())
			n.handle(connClosed{c, net.ErrClosed})
		}, want: true},
		"retired, closed by the node": {own: true, end: func(n *node, c *conn) {
			c.retire(time.Hour)
			n.maintain(time.Now())
			n.handle(connClosed{c, io.EOF})
		}},
		"retired, reset by the node": {own: true, end: func(n *node, c *conn) {
			c.retire(time.Hour)
			n.handle(connClosed{c, syscall.ECONNRESET})
		}, want: true},
		"retired, session's own gone, reset": {gone: true, end: func(n *node, c *conn) {
			c.retire(time.Hour)
			n.handle(connClosed{c, syscall.ECONNRESET})
		}, want: true},
		"unresponsive":                     {own: true, end: timeOutSilently, want: true},
		"unresponsive, session's own gone": {gone: true, end: timeOutSilently, want: true},
		"unresponsive, session on another": {end: timeOutSilently},
	} {
		t.Run(name, func(t *testing.T) {
			n, _, _, _ := newTestNode(t)
			c, other := newStubConn(), newStubConn()
			n.conns = []*conn{c, other}
			n.established[1] = &establishedSession{conn: other, setUpSentAt: time.Now()}
			switch {
			case e.own:
				n.established[1].conn = c
			case e.gone:
				n.established[1].conn = nil
			}
			e.end(n, c)
			n.maintain(time.Now())
			if n.dialling != e.want {
				t.Errorf("dials a connection: %v, want %v", n.dialling, e.want)
			}
			if e.want {
				if n.lossCount != 1 {
					t.Errorf("one break counted as %d possible losses", n.lossCount)
				}
				n.handle(dialResult{conn: newStubConn(), lossCountAtStart: n.lossCount})
				if n.maintain(time.Now()); n.dialling {
					t.Error("a second connection is dialled for the same break")
				}
			}
		})
	}
}

// A connection can be opened to a stalled node too, and may then show no ends. After the node's
// first message one more connection is dialled, and only one.
func TestReconnectAfterNodeStall(t *testing.T) {
	n, _, _, _ := newTestNode(t)
	c, other := newStubConn(), newStubConn()
	n.conns = []*conn{c, other}
	n.established[1] = &establishedSession{conn: c}
	n.handle(connClosed{c, syscall.ECONNRESET})
	n.handle(dialResult{conn: newStubConn(), lossCountAtStart: n.lossCount})
	announce := received{other, message{kind: kindAnnounce, id: 7}}
	n.handle(announce)
	if n.maintain(time.Now()); !n.dialling {
		t.Fatal("an end may be lost on the closed connection, and no connection is dialled")
	}
	n.handle(dialResult{conn: newStubConn(), lossCountAtStart: n.lossCount})
	n.handle(announce)
	if n.maintain(time.Now()); n.dialling {
		t.Error("a connection is dialled for each message")
	}
}

// A connection that was being dialled when another broke may have been open at the node before
// it sent the end, so one more is dialled. Several breaks together need only one.
func TestConnectionBreaksDuringDial(t *testing.T) {
	n, _, _, _ := newTestNode(t)
	a, b := newStubConn(), newStubConn()
	n.conns = []*conn{a, b, newStubConn()}
	n.established[1], n.established[2] = &establishedSession{conn: a}, &establishedSession{conn: b}
	n.dialling = true // begun before the breaks
	n.handle(connClosed{a, syscall.ECONNRESET})
	n.handle(connClosed{b, syscall.ECONNRESET})
	n.handle(dialResult{conn: newStubConn(), lossCountAtStart: 0})
	if n.dialling {
		t.Fatal("dialled before the next tick")
	}
	if n.maintain(time.Now()); !n.dialling {
		t.Fatal("the end may be lost, and no connection is dialled")
	}
	n.handle(dialResult{conn: newStubConn(), lossCountAtStart: n.lossCount})
	if n.maintain(time.Now()); n.dialling {
		t.Error("a connection is dialled for each break")
	}
	// A refused dial is retried after redialInterval. A dial that timed out is retried at once,
	// but no more often than can help in time.
	n.handle(connClosed{n.conns[0], io.EOF})
	n.established[3] = &establishedSession{conn: n.conns[0]}
	n.handle(connClosed{n.conns[0], syscall.ECONNRESET})
	n.handle(dialResult{err: syscall.ECONNREFUSED})
	if n.maintain(time.Now()); n.dialling {
		t.Error("retried at once after a refusal")
	}
	if n.maintain(time.Now().Add(2 * redialInterval)); !n.dialling {
		t.Fatal("not retried after redialInterval")
	}
	n.handle(dialResult{conn: newStubConn(), lossCountAtStart: 0})
	n.maintain(time.Now().Add(2 * redialInterval))
	for i := range maxImmediateRedials {
		if n.handle(dialResult{err: syscall.ETIMEDOUT}); !n.dialling {
			t.Fatalf("not retried at once after %d time-outs", i+1)
		}
	}
	n.handle(dialResult{err: syscall.ETIMEDOUT})
	if n.maintain(time.Now()); n.dialling {
		t.Error("retried at once without end")
	}
	if n.maintain(time.Now().Add(2 * redialInterval)); !n.dialling {
		t.Error("not retried after the last time-out")
	}
}

// After a process pause the known list may be out of date: set-ups wait until it has been
// fetched again, and then follow it. How old the list may be is the setting DrainGrace.
func TestSetUpsHeldAfterProcessPause(t *testing.T) {
	for grace, held := range map[time.Duration]bool{600 * time.Millisecond: true, time.Hour: false} {
		p := NewPool(t.Context(), new(errgroup.Group), Config{DrainGrace: grace, Log: zap.NewNop()})
		now := time.Now()
		p.pauseWatch.Reset(now)
		if p.checkPause(now.Add(500*time.Millisecond)) != held {
			t.Errorf("pause of 500 ms, grace of %v: set-ups held is %v", grace, !held)
		}
	}
	pauses := 0
	for name, drained := range map[string]bool{"list unchanged": false, "node drains": true} {
		n, _, _, reports := newTestNode(t)
		n.pool.cfg.OnPause = func(time.Duration) { pauses++ }
		n.conns = []*conn{newStubConn()}
		n.pool.pauseWatch.Reset(time.Now().Add(-6 * time.Second))
		n.handle(newSetUp(1))
		if n.attempts[1].conn != nil || pauses == 0 {
			t.Fatalf("%s: sent by an old list, %d pauses reported", name, pauses)
		}
		n.handle(dialResult{conn: newStubConn()}) // a new connection changes nothing
		if n.attempts[1].conn != nil {
			t.Fatalf("%s: sent by an old list", name)
		}
		if drained {
			n.state.Store(int32(control.Draining))
		}
		n.pool.pauseWatch.Refreshed(time.Now())
		n.handle(resumeSetUps{})
		if drained {
			checkEndStatuses(t, reports, control.NotSent)
		} else if a := n.attempts[1]; a == nil || a.conn == nil {
			t.Errorf("%s: not sent", name)
		}
	}
	if pauses != 2 {
		t.Errorf("%d pauses reported, want 2", pauses)
	}
}

// A connection is suspect after a set-up until a message comes that is known to be later than
// it. An unresponsive connection that still answers a TEARDOWN is used again, and no other one
// is dialled.
func TestOnlyLaterMessageClearsSuspicion(t *testing.T) {
	receive := func(status int, id control.SessionID) func(*node, *conn) {
		return func(n *node, c *conn) { n.handle(received{c, message{status: status, id: id}}) }
	}
	sendProbe := func(n *node, c *conn) { n.handle(probeRequest{}) }
	answerProbes := func(n *node, c *conn) {
		for id := range n.pendingProbes {
			n.handle(received{c, message{kind: kindProbeAnswer, status: 200, id: control.SessionID(id)}})
		}
	}
	for name, e := range map[string]struct {
		before, after []func(*node, *conn) // before and after the set-up is written
		unresponsive  bool                 // the connection is marked unresponsive
	}{
		"nothing":                     {unresponsive: true},
		"message before":              {before: []func(*node, *conn){receive(200, 77)}, unresponsive: true},
		"message after":               {after: []func(*node, *conn){receive(200, 77)}, unresponsive: true},
		"messages before and after":   {before: []func(*node, *conn){receive(200, 77)}, after: []func(*node, *conn){receive(200, 77)}, unresponsive: true},
		"two messages after":          {after: []func(*node, *conn){receive(0, 77), receive(0, 77)}},
		"provisional answer":          {after: []func(*node, *conn){receive(100, 1)}},
		"probe sent before":           {before: []func(*node, *conn){sendProbe}, after: []func(*node, *conn){answerProbes}, unresponsive: true},
		"probe sent after":            {after: []func(*node, *conn){sendProbe, answerProbes}},
		"answer to an earlier set-up": {before: []func(*node, *conn){func(n *node, c *conn) { n.handle(newSetUp(3)) }}, after: []func(*node, *conn){receive(100, 3)}, unresponsive: true},
		"answer to a later set-up":    {after: []func(*node, *conn){func(n *node, c *conn) { n.handle(newSetUp(3)) }, receive(100, 3)}},
	} {
		t.Run(name, func(t *testing.T) {
			n, _, _, _ := newTestNode(t)
			c := newStubConn()
			other := newStubConn()
			other.openSetUps = n.pool.cfg.StreamsPerConn // full
			n.conns = []*conn{c, other}
			n.established[9] = &establishedSession{conn: c}
			for _, f := range e.before {
				f(n, c)
			}
			n.handle(newSetUp(1))
			for _, f := range e.after {
				f(n, c)
			}
			n.handle(abandonRequest{1, 1, true})
			if unresponsive := !c.unresponsiveSince.IsZero(); unresponsive != e.unresponsive || c.unusable != e.unresponsive {
				t.Errorf("unresponsive %v, unusable %v, want %v", unresponsive, c.unusable, e.unresponsive)
			}
			if !e.unresponsive {
				return
			}
			n.handle(received{other, message{kind: kindAnnounce, id: 77}})
			n.maintain(time.Now())
			n.maintain(time.Now().Add(tickInterval)) // before the answer to the TEARDOWN can have come
			receive(200, 1)(n, c)
			if n.maintain(time.Now().Add(3 * connSuspectTimeout)); c.unusable || c.breakCounted || !c.unresponsiveSince.IsZero() || n.dialling {
				t.Error("the connection is not used again, or another one is dialled")
			}
		})
	}
}

// The first connections of a restarted process bring ends of sessions that their viewers have
// not named yet. Each end is reported when its session is named, and only once.
func TestEndBeforeSessionIsAdopted(t *testing.T) {
	n, _, _, reports := newTestNode(t)
	c := newStubConn()
	n.conns = []*conn{c}
	n.handle(received{c, message{kind: kindTearDown, id: 1, cause: broker.CauseEnded}})
	checkEndStatuses(t, reports)
	n.handle(adoptRequest{1})
	n.handle(adoptRequest{2})
	checkEndStatuses(t, reports, control.OK)
	if len(n.established) != 1 {
		t.Errorf("%d sessions are established, want 1", len(n.established))
	}
	n.maintain(time.Now().Add(2 * earlyEndTTL))
	if len(n.earlyEnds) != 0 {
		t.Error("the early end was not dropped")
	}
	// The end of a session that is named during a dial may have been sent on another connection
	// since the dial began, so a second connection is dialled.
	n.handle(dialResult{conn: newStubConn(), lossCountAtStart: 0})
	n.dialling = true
	n.handle(adoptRequest{3})
	n.handle(dialResult{conn: newStubConn(), lossCountAtStart: 0})
	if n.maintain(time.Now()); !n.dialling {
		t.Error("no connection is dialled after the session was named")
	}
}

// An end that comes before its session is named is kept while another process may hand the
// session over, and for earlyEndTTL after that.
func TestEarlyEndRetention(t *testing.T) {
	for _, upgrading := range []bool{false, true} {
		n, c, _, reports := newTestNode(t)
		n.dialling, n.conns = true, []*conn{c}
		n.pool.cfg.UpgradeInProgress = func() bool { return upgrading }
		n.handle(received{c, message{kind: kindTearDown, id: 1, cause: broker.CauseEnded}})
		now := time.Now()
		n.maintain(now.Add(3 * earlyEndTTL))
		before := upgrading
		upgrading = false
		n.maintain(now.Add(4*earlyEndTTL - tickInterval))
		n.handle(adoptRequest{1})
		if before {
			checkEndStatuses(t, reports, control.OK)
		} else if checkEndStatuses(t, reports); n.established[1] == nil {
			t.Error("an early end was kept beyond earlyEndTTL")
		}
	}
}
