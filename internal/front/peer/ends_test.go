package peer

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// closing is a connection that tells when it is being closed.
type closing struct {
	net.Conn
	tell func()
}

func (c *closing) Close() error {
	c.tell()
	return c.Conn.Close()
}

// What is being closed holds its place until its descriptor is free, and takes nothing
// more meanwhile, whoever closes it.
func TestPlaceIsHeldUntilClosed(t *testing.T) {
	for name, end := range map[string]func(*room, *Conn){
		"closed":  func(_ *room, c *Conn) { c.Close() },
		"slow":    func(_ *room, c *Conn) { c.slow("") },
		"evicted": func(r *room, _ *Conn) { r.enter(at(0)) },
	} {
		c, told := at(wordTime), false
		c.Conn = &closing{c.Conn, func() {
			told = true
			select {
			case <-c.gone:
				t.Errorf("%s: its place is free before its descriptor", name)
			default:
			}
			if c.OpenSetup(1) {
				t.Errorf("%s: a set-up opens", name)
			}
			if c.Send([]byte("x")) {
				t.Errorf("%s: an answer is taken", name)
			}
		}}
		r := &room{Limits: Limits{MaxConns: 1}, all: map[*Conn]bool{c: true}}
		if end(r, c); !told {
			t.Errorf("%s: not closed", name)
		}
		<-c.gone
	}
}

// A connection is not closed over a set-up that opens between the choice and the close,
// nor over an answer that is not written.
func TestNothingOwedIsClosed(t *testing.T) {
	owes, answered, idle := at(0), at(0), at(0)
	owes.OpenSetup(1)
	answered.waiting.Store(1)
	for name, c := range map[string]*Conn{"owes": owes, "answered": answered} {
		if c.shut() || !c.OpenSetup(2) {
			t.Errorf("%s: shut", name)
		}
		c.CloseSetup(2)
	}
	if !idle.shut() || idle.OpenSetup(1) {
		t.Error("a set-up opens on what is to be closed")
	}
	r := &room{Limits: Limits{MaxConns: 2}, all: map[*Conn]bool{owes: true, answered: true}}
	if r.enter(at(0)) || len(r.all) != 2 {
		t.Error("a place that is owed something is given away")
	}
}

// A room that another process gets half of gives its part up when the next one comes.
func TestHalfRoom(t *testing.T) {
	shared := false
	r := &room{Limits: Limits{MaxConns: 6, MaxConnsInUpgrade: 3, UpgradeInProgress: func() bool { return shared }}, all: map[*Conn]bool{}}
	for range 7 {
		r.enter(at(wordTime))
	}
	if shared = true; len(r.all) != 6 || !r.enter(at(0)) || len(r.all) != 3 {
		t.Errorf("%d places", len(r.all))
	}
}

// scripted is a listener that a test accepts for.
type scripted struct {
	came chan accepted
	done chan struct{}
}

type accepted struct {
	net.Conn
	err error
}

func script() *scripted { return &scripted{make(chan accepted), make(chan struct{})} }

func (s *scripted) Addr() net.Addr { return nil }
func (s *scripted) Close() error   { close(s.done); return nil }
func (s *scripted) Accept() (net.Conn, error) {
	select {
	case a := <-s.came:
		return a.Conn, a.err
	case <-s.done:
		return nil, net.ErrClosed
	}
}

func (s *scripted) dial() net.Conn {
	near, far := net.Pipe()
	s.came <- accepted{Conn: near}
	return far
}

// played plays against Serve in a bubble's fake time, and has it end.
func played(t *testing.T, most int, log *zap.Logger, handle func(*Conn), play func(*scripted)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		l, done := script(), make(chan error)
		go func() {
			done <- Serve(ctx, l, Limits{MaxConns: most}, log, func(_ context.Context, c *Conn) { handle(c) })
		}()
		play(l)
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// An answer to what was read before the end is written, though it is given after; what
// comes later is not taken. One that is never answered holds the end up for a moment only.
func TestEndWaitsForAnswers(t *testing.T) {
	for _, answered := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			l, opened, done := script(), make(chan *Conn), make(chan error)
			go func() {
				done <- Serve(ctx, l, Limits{MaxConns: 1}, zap.NewNop(), func(_ context.Context, c *Conn) {
					c.OpenSetup(1)
					opened <- c
					c.Read(make([]byte, 1))
				})
			}()
			far := l.dial()
			c := <-opened
			cancel()
			synctest.Wait()
			if c.OpenSetup(2) {
				t.Error("a set-up opens at the end")
			}
			want := ""
			if answered {
				want = "last"
				go func() {
					c.Send([]byte(want))
					c.CloseSetup(1)
				}()
			}
			if got, _ := io.ReadAll(far); string(got) != want {
				t.Errorf("got %q, want %q", got, want)
			}
			if err := <-done; err != nil {
				t.Error(err)
			}
		})
	}
}

// Where the machine gives no more descriptors, the connection that is missed least gives
// way, and the log tells of it once.
func TestNoDescriptorLeft(t *testing.T) {
	core, seen := observer.New(zap.WarnLevel)
	played(t, 9, zap.New(core), func(c *Conn) {
		c.Read(make([]byte, 1))
		c.Send([]byte("served"))
	}, func(l *scripted) {
		begun, idle := time.Now(), l.dial()
		synctest.Wait()
		for range 100 {
			l.came <- accepted{err: syscall.EMFILE}
		}
		if _, err := idle.Read(make([]byte, 1)); err != io.EOF || time.Since(begun) >= wordTime { // by then it would be closed as silent
			t.Error("it is kept:", err)
		}
		next := l.dial()
		next.Write([]byte{1})
		if got, _ := io.ReadAll(next); string(got) != "served" {
			t.Errorf("%q", got)
		}
		if seen.Len() != 1 {
			t.Errorf("%d lines", seen.Len())
		}
	})
}

// One that has just come keeps its place until its first request can be read, however
// many come after it.
func TestFirstRequestIsRead(t *testing.T) {
	played(t, 1, zap.NewNop(), func(c *Conn) {
		if _, err := c.Read(make([]byte, 1)); err == nil {
			c.OpenSetup(1)
			c.Send([]byte("served"))
			c.CloseSetup(1)
		}
	}, func(l *scripted) {
		for range 3 {
			one := l.dial()
			rush := make(chan net.Conn, 1)
			go func() { rush <- l.dial() }()
			time.Sleep(freshTime / 2) // on its way
			one.Write([]byte{1})
			if got, _ := io.ReadAll(one); string(got) != "served" {
				t.Errorf("%q", got)
			}
			(<-rush).Close()
		}
	})
}
