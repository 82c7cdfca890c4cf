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

// stubConn is a connection on which nothing happens.
type stubConn struct{ net.Conn }

func (stubConn) Close() error                     { return nil }
func (stubConn) SetWriteDeadline(time.Time) error { return nil }
func (stubConn) Write(b []byte) (int, error)      { return len(b), nil }

// failingConn writes half of what it is given.
type failingConn struct{ stubConn }

func (failingConn) Write(b []byte) (int, error) { return len(b) / 2, syscall.ECONNRESET }

func newStubConn() *conn {
	return &conn{Conn: stubConn{}, lastUsedAt: time.Now(), carriedMessage: true}
}

// timeOutSilently has a set-up on c time out without a word.
func timeOutSilently(n *node, c *conn) {
	n.conns[1].unusable = true // so that it goes on c
	n.handle(newSetUp(2))
	n.conns[1].unusable = false
	n.handle(abandonRequest{2, 1, true})
	n.maintain(time.Now())
	if n.maintain(time.Now().Add(5 * connSuspectTimeout)); c.breakCounted {
		return // too soon: the node says nothing, so it may stand still
	}
	n.handle(received{n.conns[1], message{kind: kindAnnounce, id: 1}})
	n.maintain(time.Now())
	n.maintain(time.Now().Add(2 * connSuspectTimeout))
	if c.breakCounted {
		n.handle(connClosed{c, net.ErrClosed}) // its reader
	}
}

// A node says the end of a session on the connection of its set-up and once more
// on the next that opens. However a connection ends with something unread, one is
// opened, also where others are open; where nothing can be lost, none is: each
// costs a handshake.
func TestReconnectAfterPossiblyLostEnd(t *testing.T) {
	for name, e := range map[string]struct {
		own  bool // the session that stands was set up on the connection that ends
		gone bool // or on one that closed long ago
		end  func(n *node, c *conn)
		want bool
	}{
		"reset":                    {own: true, end: func(n *node, c *conn) { n.handle(connClosed{c, syscall.ECONNRESET}) }, want: true},
		"reset, its own long gone": {gone: true, end: func(n *node, c *conn) { n.handle(connClosed{c, syscall.ECONNRESET}) }, want: true},
		"reset of another's":       {end: func(n *node, c *conn) { n.handle(connClosed{c, syscall.ECONNRESET}) }},
		"the node's own close":     {own: true, end: func(n *node, c *conn) { n.handle(connClosed{c, io.EOF}) }},
		"broken off in a message":  {own: true, end: func(n *node, c *conn) { n.handle(connClosed{c, io.ErrUnexpectedEOF}) }, want: true},
		"spoilt":                   {own: true, end: func(n *node, c *conn) { n.handle(connClosed{c, errInvalidMessage}) }, want: true},
		"not to be parsed":         {own: true, end: func(n *node, c *conn) { n.handle(connClosed{c, rtsp.ErrSyntax}) }, want: true},
		"mailbox full":             {own: true, end: func(n *node, c *conn) { n.handle(connClosed{c, net.ErrClosed}) }, want: true},
		"a write that fails": {own: true, end: func(n *node, c *conn) {
			c.Conn = failingConn{}
			n.handle(setRungRequest{1, 2})
			n.handle(connClosed{c, net.ErrClosed}) // its reader
		}, want: true},
		"retired, and never closed by the node": {own: true, end: func(n *node, c *conn) {
			c.retire(-time.Second)
			n.maintain(time.Now())
			n.handle(connClosed{c, net.ErrClosed})
		}, want: true},
		"retired, and closed by the node": {own: true, end: func(n *node, c *conn) {
			c.retire(time.Hour)
			n.maintain(time.Now())
			n.handle(connClosed{c, io.EOF})
		}},
		"retired, and reset by the node": {own: true, end: func(n *node, c *conn) {
			c.retire(time.Hour)
			n.handle(connClosed{c, syscall.ECONNRESET})
		}, want: true},
		"retired with nothing of its own, and reset": {gone: true, end: func(n *node, c *conn) {
			c.retire(time.Hour)
			n.handle(connClosed{c, syscall.ECONNRESET})
		}, want: true},
		"mute":                              {own: true, end: timeOutSilently, want: true},
		"mute, and its own closed in order": {gone: true, end: timeOutSilently, want: true},
		"mute, and all have their own":      {end: timeOutSilently},
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
				t.Errorf("opens a connection: %v, want %v", n.dialling, e.want)
			}
			if e.want {
				if n.possibleLosses != 1 {
					t.Errorf("one break counted as %d", n.possibleLosses)
				}
				n.handle(dialResult{conn: newStubConn(), lossesAtDial: n.possibleLosses})
				if n.maintain(time.Now()); n.dialling {
					t.Error("a second one is opened for the same break")
				}
			}
		})
	}
}

// A connection opens also to a node that stands still. Its first word after that asks for
// one more, and only one.
func TestReconnectAfterNodeStall(t *testing.T) {
	n, _, _, _ := newTestNode(t)
	c, other := newStubConn(), newStubConn()
	n.conns = []*conn{c, other}
	n.established[1] = &establishedSession{conn: c}
	n.handle(connClosed{c, syscall.ECONNRESET})
	n.handle(dialResult{conn: newStubConn(), lossesAtDial: n.possibleLosses})
	word := received{other, message{kind: kindAnnounce, id: 7}}
	n.handle(word)
	if n.maintain(time.Now()); !n.dialling {
		t.Fatal("what it said on the connection that closed is not asked for")
	}
	n.handle(dialResult{conn: newStubConn(), lossesAtDial: n.possibleLosses})
	n.handle(word)
	if n.maintain(time.Now()); n.dialling {
		t.Error("a connection a word")
	}
}

// A connection that was being opened before the break may have been open at the
// node before the end was said: it doesn't count. Several breaks together take one.
func TestConnectionBreaksDuringDial(t *testing.T) {
	n, _, _, _ := newTestNode(t)
	a, b := newStubConn(), newStubConn()
	n.conns = []*conn{a, b, newStubConn()}
	n.established[1], n.established[2] = &establishedSession{conn: a}, &establishedSession{conn: b}
	n.dialling = true // begun with no break known
	n.handle(connClosed{a, syscall.ECONNRESET})
	n.handle(connClosed{b, syscall.ECONNRESET})
	n.handle(dialResult{conn: newStubConn(), lossesAtDial: 0})
	if n.dialling {
		t.Fatal("before the next look")
	}
	if n.maintain(time.Now()); !n.dialling {
		t.Fatal("the end may be lost, and no connection is opened")
	}
	n.handle(dialResult{conn: newStubConn(), lossesAtDial: n.possibleLosses})
	if n.maintain(time.Now()); n.dialling {
		t.Error("a connection a break")
	}
	// One that is refused is tried again, a while later. One that never came up is followed
	// by the next at once, and no more often than may help in time.
	n.handle(connClosed{n.conns[0], io.EOF})
	n.established[3] = &establishedSession{conn: n.conns[0]}
	n.handle(connClosed{n.conns[0], syscall.ECONNRESET})
	n.handle(dialResult{err: syscall.ECONNREFUSED})
	if n.maintain(time.Now()); n.dialling {
		t.Error("tried again at once")
	}
	if n.maintain(time.Now().Add(2 * redialInterval)); !n.dialling {
		t.Fatal("not tried again")
	}
	n.handle(dialResult{conn: newStubConn(), lossesAtDial: 0})
	n.maintain(time.Now().Add(2 * redialInterval))
	for i := range maxImmediateRedials {
		if n.handle(dialResult{err: syscall.ETIMEDOUT}); !n.dialling {
			t.Fatalf("not tried again at once after %d that never came up", i+1)
		}
	}
	n.handle(dialResult{err: syscall.ETIMEDOUT})
	if n.maintain(time.Now()); n.dialling {
		t.Error("tried again at once for good")
	}
	if n.maintain(time.Now().Add(2 * redialInterval)); !n.dialling {
		t.Error("not tried again")
	}
}

// A program that was stopped believes a list that may be old: what is to be sent when
// it goes on waits until the list has been asked again, and then goes by it. How old it
// may be is the drain's grace of the settings.
func TestSetUpsHeldAfterProcessPause(t *testing.T) {
	for grace, held := range map[time.Duration]bool{600 * time.Millisecond: true, time.Hour: false} {
		p := NewPool(t.Context(), new(errgroup.Group), Config{DrainGrace: grace, Log: zap.NewNop()})
		now := time.Now()
		p.pauseWatch.Reset(now)
		if p.checkPause(now.Add(500*time.Millisecond)) != held {
			t.Errorf("half a second's stand with a grace of %v: held is %v", grace, !held)
		}
	}
	pauses := 0
	for name, drained := range map[string]bool{"nothing has changed": false, "it drains by now": true} {
		n, _, _, reports := newTestNode(t)
		n.pool.cfg.OnPause = func(time.Duration) { pauses++ }
		n.conns = []*conn{newStubConn()}
		n.pool.pauseWatch.Reset(time.Now().Add(-6 * time.Second))
		n.handle(newSetUp(1))
		if n.attempts[1].conn != nil || pauses == 0 {
			t.Fatalf("%s: sent by an old list, told of %d stands", name, pauses)
		}
		n.handle(dialResult{conn: newStubConn()}) // a connection changes nothing
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
		t.Errorf("told of %d stands", pauses)
	}
}

// A set-up that got no word leaves its connection in doubt until a word comes that is later
// than it. A mute one that still answers a TEARDOWN is in use again, and costs no other.
func TestOnlyLaterMessageClearsSuspicion(t *testing.T) {
	word := func(status int, id control.SessionID) func(*node, *conn) {
		return func(n *node, c *conn) { n.handle(received{c, message{status: status, id: id}}) }
	}
	asked := func(n *node, c *conn) { n.handle(probeRequest{}) }
	tested := func(n *node, c *conn) {
		for id := range n.pendingProbes {
			n.handle(received{c, message{kind: kindProbeAnswer, status: 200, id: control.SessionID(id)}})
		}
	}
	for name, e := range map[string]struct {
		before, after []func(*node, *conn) // before and after the set-up was written
		mute          bool
	}{
		"nothing":                        {mute: true},
		"a word before it":               {before: []func(*node, *conn){word(200, 77)}, mute: true},
		"a word":                         {after: []func(*node, *conn){word(200, 77)}, mute: true},
		"a word before it and one after": {before: []func(*node, *conn){word(200, 77)}, after: []func(*node, *conn){word(200, 77)}, mute: true},
		"two words":                      {after: []func(*node, *conn){word(0, 77), word(0, 77)}},
		"progress":                       {after: []func(*node, *conn){word(100, 1)}},
		"a probe before it":              {before: []func(*node, *conn){asked}, after: []func(*node, *conn){tested}, mute: true},
		"a probe after it":               {after: []func(*node, *conn){asked, tested}},
		"another's answer, asked before": {before: []func(*node, *conn){func(n *node, c *conn) { n.handle(newSetUp(3)) }}, after: []func(*node, *conn){word(100, 3)}, mute: true},
		"another's answer, asked after":  {after: []func(*node, *conn){func(n *node, c *conn) { n.handle(newSetUp(3)) }, word(100, 3)}},
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
			if mute := !c.unresponsiveSince.IsZero(); mute != e.mute || c.unusable != e.mute {
				t.Errorf("mute %v, dead %v, want %v", mute, c.unusable, e.mute)
			}
			if !e.mute {
				return
			}
			n.handle(received{other, message{kind: kindAnnounce, id: 77}})
			n.maintain(time.Now())
			n.maintain(time.Now().Add(tickInterval)) // before the answer to the TEARDOWN can have come
			word(200, 1)(n, c)
			if n.maintain(time.Now().Add(3 * connSuspectTimeout)); c.unusable || c.breakCounted || !c.unresponsiveSince.IsZero() || n.dialling {
				t.Error("not in use again")
			}
		})
	}
}

// A restarted program's first connections bring ends of sessions that their viewers have not
// named yet. They are told once they have, once.
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
		t.Errorf("%d stand", len(n.established))
	}
	n.maintain(time.Now().Add(2 * earlyEndTTL))
	if len(n.earlyEnds) != 0 {
		t.Error("kept for good")
	}
	// One that is named while a connection is being opened may have ended on another one
	// since: that connection doesn't tell, and a second one is opened.
	n.handle(dialResult{conn: newStubConn(), lossesAtDial: 0})
	n.dialling = true
	n.handle(adoptRequest{3})
	n.handle(dialResult{conn: newStubConn(), lossesAtDial: 0})
	if n.maintain(time.Now()); !n.dialling {
		t.Error("no connection is opened that was begun after it")
	}
}

// An end that comes before its session is named is known while another process may hand
// the session over, and for keepEarly after that.
func TestEarlyEndRetention(t *testing.T) {
	for _, shared := range []bool{false, true} {
		n, c, _, reports := newTestNode(t)
		n.dialling, n.conns = true, []*conn{c}
		n.pool.cfg.UpgradeInProgress = func() bool { return shared }
		n.handle(received{c, message{kind: kindTearDown, id: 1, cause: broker.CauseEnded}})
		now := time.Now()
		n.maintain(now.Add(3 * earlyEndTTL))
		before := shared
		shared = false
		n.maintain(now.Add(4*earlyEndTTL - tickInterval))
		n.handle(adoptRequest{1})
		if before {
			checkEndStatuses(t, reports, control.OK)
		} else if checkEndStatuses(t, reports); n.established[1] == nil {
			t.Error("an end is known for good")
		}
	}
}
