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

// failing writes half of what it is given.
type failing struct{ stubConn }

func (failing) Write(b []byte) (int, error) { return len(b) / 2, syscall.ECONNRESET }

func stub() *conn { return &conn{Conn: stubConn{}, touched: time.Now(), used: true} }

// fallMute has a set-up on c time out without a word.
func fallMute(n *node, c *conn) {
	n.conns[1].dead = true // so that it goes on c
	n.handle(try(2))
	n.conns[1].dead = false
	n.handle(giveUp{2, 1, true})
	n.look(time.Now())
	if n.look(time.Now().Add(5 * suspectTime)); c.broke {
		return // too soon: the node says nothing, so it may stand still
	}
	n.handle(heard{n.conns[1], message{kind: noted, id: 1}})
	n.look(time.Now())
	n.look(time.Now().Add(2 * suspectTime))
	if c.broke {
		n.handle(closed{c, net.ErrClosed}) // its reader
	}
}

// A node says the end of a session on the connection of its set-up and once more
// on the next that opens. However a connection ends with something unread, one is
// opened, also where others are open; where nothing can be lost, none is: each
// costs a handshake.
func TestLostEndIsAskedFor(t *testing.T) {
	for name, e := range map[string]struct {
		own  bool // the session that stands was set up on the connection that ends
		gone bool // or on one that closed long ago
		end  func(n *node, c *conn)
		want bool
	}{
		"reset":                    {own: true, end: func(n *node, c *conn) { n.handle(closed{c, syscall.ECONNRESET}) }, want: true},
		"reset, its own long gone": {gone: true, end: func(n *node, c *conn) { n.handle(closed{c, syscall.ECONNRESET}) }, want: true},
		"reset of another's":       {end: func(n *node, c *conn) { n.handle(closed{c, syscall.ECONNRESET}) }},
		"the node's own close":     {own: true, end: func(n *node, c *conn) { n.handle(closed{c, io.EOF}) }},
		"broken off in a message":  {own: true, end: func(n *node, c *conn) { n.handle(closed{c, io.ErrUnexpectedEOF}) }, want: true},
		"spoilt":                   {own: true, end: func(n *node, c *conn) { n.handle(closed{c, errSpoilt}) }, want: true},
		"not to be parsed":         {own: true, end: func(n *node, c *conn) { n.handle(closed{c, rtsp.ErrSyntax}) }, want: true},
		"mailbox full":             {own: true, end: func(n *node, c *conn) { n.handle(closed{c, net.ErrClosed}) }, want: true},
		"a write that fails": {own: true, end: func(n *node, c *conn) {
			c.Conn = failing{}
			n.handle(setRung{1, 2})
			n.handle(closed{c, net.ErrClosed}) // its reader
		}, want: true},
		"retired, and never closed by the node": {own: true, end: func(n *node, c *conn) {
			c.retire(-time.Second)
			n.look(time.Now())
			n.handle(closed{c, net.ErrClosed})
		}, want: true},
		"retired, and closed by the node": {own: true, end: func(n *node, c *conn) {
			c.retire(time.Hour)
			n.look(time.Now())
			n.handle(closed{c, io.EOF})
		}},
		"retired, and reset by the node": {own: true, end: func(n *node, c *conn) {
			c.retire(time.Hour)
			n.handle(closed{c, syscall.ECONNRESET})
		}, want: true},
		"retired with nothing of its own, and reset": {gone: true, end: func(n *node, c *conn) {
			c.retire(time.Hour)
			n.handle(closed{c, syscall.ECONNRESET})
		}, want: true},
		"mute":                              {own: true, end: fallMute, want: true},
		"mute, and its own closed in order": {gone: true, end: fallMute, want: true},
		"mute, and all have their own":      {end: fallMute},
	} {
		t.Run(name, func(t *testing.T) {
			n, _, _, _ := bed(t)
			c, other := stub(), stub()
			n.conns = []*conn{c, other}
			n.standing[1] = &stand{conn: other, at: time.Now()}
			switch {
			case e.own:
				n.standing[1].conn = c
			case e.gone:
				n.standing[1].conn = nil
			}
			e.end(n, c)
			n.look(time.Now())
			if n.dialling != e.want {
				t.Errorf("opens a connection: %v, want %v", n.dialling, e.want)
			}
			if e.want {
				if n.breaks != 1 {
					t.Errorf("one break counted as %d", n.breaks)
				}
				n.handle(dialled{conn: stub(), breaks: n.breaks})
				if n.look(time.Now()); n.dialling {
					t.Error("a second one is opened for the same break")
				}
			}
		})
	}
}

// A connection opens also to a node that stands still. Its first word after that asks for
// one more, and only one.
func TestLostEndOfANodeThatStoodStill(t *testing.T) {
	n, _, _, _ := bed(t)
	c, other := stub(), stub()
	n.conns = []*conn{c, other}
	n.standing[1] = &stand{conn: c}
	n.handle(closed{c, syscall.ECONNRESET})
	n.handle(dialled{conn: stub(), breaks: n.breaks})
	word := heard{other, message{kind: noted, id: 7}}
	n.handle(word)
	if n.look(time.Now()); !n.dialling {
		t.Fatal("what it said on the connection that closed is not asked for")
	}
	n.handle(dialled{conn: stub(), breaks: n.breaks})
	n.handle(word)
	if n.look(time.Now()); n.dialling {
		t.Error("a connection a word")
	}
}

// A connection that was being opened before the break may have been open at the
// node before the end was said: it doesn't count. Several breaks together take one.
func TestLostEndWhileDialling(t *testing.T) {
	n, _, _, _ := bed(t)
	a, b := stub(), stub()
	n.conns = []*conn{a, b, stub()}
	n.standing[1], n.standing[2] = &stand{conn: a}, &stand{conn: b}
	n.dialling = true // begun with no break known
	n.handle(closed{a, syscall.ECONNRESET})
	n.handle(closed{b, syscall.ECONNRESET})
	n.handle(dialled{conn: stub(), breaks: 0})
	if n.dialling {
		t.Fatal("before the next look")
	}
	if n.look(time.Now()); !n.dialling {
		t.Fatal("the end may be lost, and no connection is opened")
	}
	n.handle(dialled{conn: stub(), breaks: n.breaks})
	if n.look(time.Now()); n.dialling {
		t.Error("a connection a break")
	}
	// One that is refused is tried again, a while later. One that never came up is followed
	// by the next at once, and no more often than may help in time.
	n.handle(closed{n.conns[0], io.EOF})
	n.standing[3] = &stand{conn: n.conns[0]}
	n.handle(closed{n.conns[0], syscall.ECONNRESET})
	n.handle(dialled{err: syscall.ECONNREFUSED})
	if n.look(time.Now()); n.dialling {
		t.Error("tried again at once")
	}
	if n.look(time.Now().Add(2 * retryTime)); !n.dialling {
		t.Fatal("not tried again")
	}
	n.handle(dialled{conn: stub(), breaks: 0})
	n.look(time.Now().Add(2 * retryTime))
	for i := range quickTries {
		if n.handle(dialled{err: syscall.ETIMEDOUT}); !n.dialling {
			t.Fatalf("not tried again at once after %d that never came up", i+1)
		}
	}
	n.handle(dialled{err: syscall.ETIMEDOUT})
	if n.look(time.Now()); n.dialling {
		t.Error("tried again at once for good")
	}
	if n.look(time.Now().Add(2 * retryTime)); !n.dialling {
		t.Error("not tried again")
	}
}

// A program that was stopped believes a list that may be old: what is to be sent when
// it goes on waits until the list has been asked again, and then goes by it. How old it
// may be is the drain's grace of the settings.
func TestSetUpsWaitAfterAStand(t *testing.T) {
	for grace, held := range map[time.Duration]bool{600 * time.Millisecond: true, time.Hour: false} {
		p := NewPool(t.Context(), new(errgroup.Group), Config{DrainGrace: grace, Log: zap.NewNop()})
		now := time.Now()
		p.watch.Start(now)
		if p.beat(now.Add(500*time.Millisecond)) != held {
			t.Errorf("half a second's stand with a grace of %v: held is %v", grace, !held)
		}
	}
	stood := 0
	for name, drained := range map[string]bool{"nothing has changed": false, "it drains by now": true} {
		n, _, _, reports := bed(t)
		n.pool.cfg.Stalled = func(time.Duration) { stood++ }
		n.conns = []*conn{stub()}
		n.pool.watch.Start(time.Now().Add(-6 * time.Second))
		n.handle(try(1))
		if n.attempts[1].conn != nil || stood == 0 {
			t.Fatalf("%s: sent by an old list, told of %d stands", name, stood)
		}
		n.handle(dialled{conn: stub()}) // a connection changes nothing
		if n.attempts[1].conn != nil {
			t.Fatalf("%s: sent by an old list", name)
		}
		if drained {
			n.state.Store(int32(control.Draining))
		}
		n.pool.watch.Fresh(time.Now())
		n.handle(goOn{})
		if drained {
			status(t, reports, control.NotSent)
		} else if a := n.attempts[1]; a == nil || a.conn == nil {
			t.Errorf("%s: not sent", name)
		}
	}
	if stood != 2 {
		t.Errorf("told of %d stands", stood)
	}
}

// A set-up that got no word leaves its connection in doubt until a word comes that is later
// than it. A mute one that still answers a TEARDOWN is in use again, and costs no other.
func TestOnlyALaterWordClears(t *testing.T) {
	word := func(status int, id control.SessionID) func(*node, *conn) {
		return func(n *node, c *conn) { n.handle(heard{c, message{status: status, id: id}}) }
	}
	asked := func(n *node, c *conn) { n.handle(probe{}) }
	tested := func(n *node, c *conn) {
		for id := range n.probes {
			n.handle(heard{c, message{kind: tested, status: 200, id: control.SessionID(id)}})
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
		"another's answer, asked before": {before: []func(*node, *conn){func(n *node, c *conn) { n.handle(try(3)) }}, after: []func(*node, *conn){word(100, 3)}, mute: true},
		"another's answer, asked after":  {after: []func(*node, *conn){func(n *node, c *conn) { n.handle(try(3)) }, word(100, 3)}},
	} {
		t.Run(name, func(t *testing.T) {
			n, _, _, _ := bed(t)
			c := stub()
			other := stub()
			other.open = n.pool.cfg.StreamsPerConn // full
			n.conns = []*conn{c, other}
			n.standing[9] = &stand{conn: c}
			for _, f := range e.before {
				f(n, c)
			}
			n.handle(try(1))
			for _, f := range e.after {
				f(n, c)
			}
			n.handle(giveUp{1, 1, true})
			if mute := !c.muteAt.IsZero(); mute != e.mute || c.dead != e.mute {
				t.Errorf("mute %v, dead %v, want %v", mute, c.dead, e.mute)
			}
			if !e.mute {
				return
			}
			n.handle(heard{other, message{kind: noted, id: 77}})
			n.look(time.Now())
			n.look(time.Now().Add(tickTime)) // before the answer to the TEARDOWN can have come
			word(200, 1)(n, c)
			if n.look(time.Now().Add(3 * suspectTime)); c.dead || c.broke || !c.muteAt.IsZero() || n.dialling {
				t.Error("not in use again")
			}
		})
	}
}

// A restarted program's first connections bring ends of sessions that their viewers have not
// named yet. They are told once they have, once.
func TestEndBeforeItsSessionIsNamed(t *testing.T) {
	n, _, _, reports := bed(t)
	c := stub()
	n.conns = []*conn{c}
	n.handle(heard{c, message{kind: ended, id: 1, cause: broker.CauseEnded}})
	status(t, reports)
	n.handle(stands{1})
	n.handle(stands{2})
	status(t, reports, control.OK)
	if len(n.standing) != 1 {
		t.Errorf("%d stand", len(n.standing))
	}
	n.look(time.Now().Add(2 * keepEarly))
	if len(n.early) != 0 {
		t.Error("kept for good")
	}
	// One that is named while a connection is being opened may have ended on another one
	// since: that connection doesn't tell, and a second one is opened.
	n.handle(dialled{conn: stub(), breaks: 0})
	n.dialling = true
	n.handle(stands{3})
	n.handle(dialled{conn: stub(), breaks: 0})
	if n.look(time.Now()); !n.dialling {
		t.Error("no connection is opened that was begun after it")
	}
}

// An end that comes before its session is named is known while another process may hand
// the session over, and for keepEarly after that.
func TestEarlyEnd(t *testing.T) {
	for _, shared := range []bool{false, true} {
		n, c, _, reports := bed(t)
		n.dialling, n.conns = true, []*conn{c}
		n.pool.cfg.Shared = func() bool { return shared }
		n.handle(heard{c, message{kind: ended, id: 1, cause: broker.CauseEnded}})
		now := time.Now()
		n.look(now.Add(3 * keepEarly))
		before := shared
		shared = false
		n.look(now.Add(4*keepEarly - tickTime))
		n.handle(stands{1})
		if before {
			status(t, reports, control.OK)
		} else if status(t, reports); n.standing[1] == nil {
			t.Error("an end is known for good")
		}
	}
}
