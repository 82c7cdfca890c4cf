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

// closeHook is a connection that calls onClose when it is about to be closed.
type closeHook struct {
	net.Conn
	onClose func()
}

func (c *closeHook) Close() error {
	c.onClose()
	return c.Conn.Close()
}

// A connection that is being closed counts against the limit until its descriptor is free,
// and accepts no set-up and no output meanwhile, whatever closes it.
func TestCountedUntilDescriptorIsFree(t *testing.T) {
	for name, closeConn := range map[string]func(*registry, *Conn){
		"closed":  func(_ *registry, c *Conn) { c.Close() },
		"slow":    func(_ *registry, c *Conn) { c.closeSlowReader("") },
		"evicted": func(r *registry, _ *Conn) { r.add(connOfAge(0)) },
	} {
		c, closeCalled := connOfAge(messageTimeout), false
		c.Conn = &closeHook{c.Conn, func() {
			closeCalled = true
			select {
			case <-c.closed:
				t.Errorf("%s: signalled as closed before its descriptor is free", name)
			default:
			}
			if c.OpenSetup(1) {
				t.Errorf("%s: a set-up was opened while closing", name)
			}
			if c.Send([]byte("x")) {
				t.Errorf("%s: output was accepted while closing", name)
			}
		}}
		r := &registry{Limits: Limits{MaxConns: 1}, conns: map[*Conn]bool{c: true}}
		if closeConn(r, c); !closeCalled {
			t.Errorf("%s: not closed", name)
		}
		<-c.closed
	}
}

// A connection is not evicted if a set-up opens between the choice of the connection and its
// close, or while an answer is not written yet.
func TestNotClosedWhileAnswersAreDue(t *testing.T) {
	withSetup, withOutput, idle := connOfAge(0), connOfAge(0), connOfAge(0)
	withSetup.OpenSetup(1)
	withOutput.pendingBytes.Store(1)
	for name, c := range map[string]*Conn{"open set-up": withSetup, "pending output": withOutput} {
		if c.sealIfUnused() || !c.OpenSetup(2) {
			t.Errorf("%s: further set-ups are refused", name)
		}
		c.CloseSetup(2)
	}
	if !idle.sealIfUnused() || idle.OpenSetup(1) {
		t.Error("a set-up was opened on a connection that is to be closed")
	}
	r := &registry{Limits: Limits{MaxConns: 2}, conns: map[*Conn]bool{withSetup: true, withOutput: true}}
	if r.add(connOfAge(0)) || len(r.conns) != 2 {
		t.Error("a connection with an open set-up or pending output was evicted")
	}
}

// When an upgrade lowers the limit, the surplus connections are evicted as soon as the next
// one is accepted.
func TestLimitDuringUpgrade(t *testing.T) {
	upgrading := false
	r := &registry{Limits: Limits{MaxConns: 6, MaxConnsInUpgrade: 3, UpgradeInProgress: func() bool { return upgrading }}, conns: map[*Conn]bool{}}
	for range 7 {
		r.add(connOfAge(messageTimeout))
	}
	if upgrading = true; len(r.conns) != 6 || !r.add(connOfAge(0)) || len(r.conns) != 3 {
		t.Errorf("%d connections", len(r.conns))
	}
}

// scriptedListener is a listener whose Accept returns what the test sends to accepts.
type scriptedListener struct {
	accepts chan acceptResult
	closed  chan struct{}
}

type acceptResult struct {
	net.Conn
	err error
}

func newScriptedListener() *scriptedListener {
	return &scriptedListener{make(chan acceptResult), make(chan struct{})}
}

func (s *scriptedListener) Addr() net.Addr { return nil }
func (s *scriptedListener) Close() error   { close(s.closed); return nil }
func (s *scriptedListener) Accept() (net.Conn, error) {
	select {
	case a := <-s.accepts:
		return a.Conn, a.err
	case <-s.closed:
		return nil, net.ErrClosed
	}
}

// dial has Accept return one end of a pipe, and returns the other.
func (s *scriptedListener) dial() net.Conn {
	server, client := net.Pipe()
	s.accepts <- acceptResult{Conn: server}
	return client
}

// runServe runs Serve in virtual time while run is called with its listener, and then has it
// end.
func runServe(t *testing.T, maxConns int, log *zap.Logger, handle func(*Conn), run func(*scriptedListener)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		listener, done := newScriptedListener(), make(chan error)
		go func() {
			done <- Serve(ctx, listener, Limits{MaxConns: maxConns}, log, func(_ context.Context, c *Conn) { handle(c) })
		}()
		run(listener)
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// At shutdown, Serve waits for the answers to set-ups that were opened before, and refuses
// new ones. A set-up that is never answered delays it by shutdownTimeout at most.
func TestShutdownWaitsForAnswers(t *testing.T) {
	for _, answered := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			listener, opened, done := newScriptedListener(), make(chan *Conn), make(chan error)
			go func() {
				done <- Serve(ctx, listener, Limits{MaxConns: 1}, zap.NewNop(), func(_ context.Context, c *Conn) {
					c.OpenSetup(1)
					opened <- c
					c.Read(make([]byte, 1))
				})
			}()
			client := listener.dial()
			c := <-opened
			cancel()
			synctest.Wait()
			if c.OpenSetup(2) {
				t.Error("a set-up was opened during shutdown")
			}
			want := ""
			if answered {
				want = "last"
				go func() {
					c.Send([]byte(want))
					c.CloseSetup(1)
				}()
			}
			if got, _ := io.ReadAll(client); string(got) != want {
				t.Errorf("got %q, want %q", got, want)
			}
			if err := <-done; err != nil {
				t.Error(err)
			}
		})
	}
}

// When accept fails for lack of descriptors, the connection that is the least loss is closed,
// and a repeated error is logged only once.
func TestEvictsWhenOutOfDescriptors(t *testing.T) {
	core, logs := observer.New(zap.WarnLevel)
	runServe(t, 9, zap.New(core), func(c *Conn) {
		c.Read(make([]byte, 1))
		c.Send([]byte("served"))
	}, func(listener *scriptedListener) {
		start, idle := time.Now(), listener.dial()
		synctest.Wait()
		for range 100 {
			listener.accepts <- acceptResult{err: syscall.EMFILE}
		}
		if _, err := idle.Read(make([]byte, 1)); err != io.EOF || time.Since(start) >= messageTimeout { // after messageTimeout it would be closed anyway
			t.Error("the idle connection was not evicted:", err)
		}
		next := listener.dial()
		next.Write([]byte{1})
		if got, _ := io.ReadAll(next); string(got) != "served" {
			t.Errorf("%q", got)
		}
		if logs.Len() != 1 {
			t.Errorf("%d log lines, want 1", logs.Len())
		}
	})
}

// A connection that has just been accepted is not evicted before its first request can be
// read, however many connections follow it.
func TestNewConnectionNotEvicted(t *testing.T) {
	runServe(t, 1, zap.NewNop(), func(c *Conn) {
		if _, err := c.Read(make([]byte, 1)); err == nil {
			c.OpenSetup(1)
			c.Send([]byte("served"))
			c.CloseSetup(1)
		}
	}, func(listener *scriptedListener) {
		for range 3 {
			first := listener.dial()
			second := make(chan net.Conn, 1)
			go func() { second <- listener.dial() }()
			time.Sleep(newConnGrace / 2) // the first request is still in flight
			first.Write([]byte{1})
			if got, _ := io.ReadAll(first); string(got) != "served" {
				t.Errorf("%q", got)
			}
			(<-second).Close()
		}
	})
}
