package peer

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
)

// startServe runs Serve until the test ends, and returns where to connect.
func startServe(t *testing.T, handle func(*Conn)) func() net.Conn {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() {
		done <- Serve(ctx, l, Limits{MaxConns: 2}, zap.NewNop(), func(_ context.Context, c *Conn) { handle(c) })
	}()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
}

// A fault in handling one connection costs that one; so does a reader that
// takes nothing. The next ones are served, within the limit of two.
func TestFaultCostsOneConnection(t *testing.T) {
	slow := make(chan bool, 1)
	dial := startServe(t, func(c *Conn) {
		command, _ := bufio.NewReader(c).ReadString('\n')
		switch command {
		case "panic\n":
			panic("as asked")
		case "flood\n":
			ok := true
			for range 1 << 16 {
				ok = ok && c.Send(make([]byte, 1<<16))
			}
			slow <- ok
		default:
			c.Send([]byte("served\n"))
		}
	})
	for _, command := range []string{"panic", "flood", "a", "b", "c"} {
		c := dial()
		c.Write([]byte(command + "\n"))
		switch command {
		case "flood":
			if <-slow {
				t.Error("a reader that takes nothing holds its connection")
			}
		default:
			got, _ := bufio.NewReader(c).ReadString('\n')
			if want := map[bool]string{true: "", false: "served\n"}[command == "panic"]; got != want {
				t.Errorf("%s: got %q, want %q", command, got, want)
			}
		}
	}
}

func TestFarewell(t *testing.T) {
	ready := make(chan *Conn, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() {
		done <- Serve(ctx, l, Limits{MaxConns: 1}, zap.NewNop(), func(_ context.Context, c *Conn) {
			c.SetFarewell([]byte("bye\n"))
			ready <- c
			c.Read(make([]byte, 1))
		})
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	(<-ready).Send([]byte("last\n"))
	cancel()
	reader := bufio.NewReader(c)
	for _, want := range []string{"last\n", "bye\n", ""} {
		if got, _ := reader.ReadString('\n'); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// connOfAge makes a connection that is as old as age.
func connOfAge(age time.Duration) *Conn {
	server, _ := net.Pipe()
	c := newConn(server, 0, nil, zap.NewNop())
	c.acceptedAt = time.Now().Add(-age)
	return c
}

// What says nothing, drips, or stays for good is closed; what is owed an answer
// or is in use is not.
func TestCloseReason(t *testing.T) {
	long := 9 * idleTimeout
	for name, e := range map[string]struct {
		age  time.Duration
		do   func(*Conn)
		want string
	}{
		"new":    {messageTimeout / 2, func(c *Conn) {}, ""},
		"silent": {messageTimeout * 2, func(c *Conn) {}, "no whole message"},
		"drips": {long, func(c *Conn) {
			c.lastMessage.Store(int64(long - 3*messageTimeout))
			c.messageStart.Store(int64(long - 2*messageTimeout))
		}, "no whole message"},
		"half the next":     {long, func(c *Conn) { c.Send(nil); c.MessageRead(true) }, ""},
		"drips on a set-up": {long, func(c *Conn) { c.OpenSetup(1); c.messageStart.Store(1) }, "no whole message"},
		"takes all back":    {messageTimeout * 2, func(c *Conn) { c.MessageRead(false); c.OpenSetup(1); c.CloseSetup(1) }, "nothing to answer"},
		"waits":             {messageTimeout * 2, func(c *Conn) { c.MessageRead(false); c.OpenSetup(1) }, ""},
		"waits for long":    {long, func(c *Conn) { c.lastMessage.Store(1); c.messageStart.Store(0); c.OpenSetup(1) }, ""},
		"is told":           {messageTimeout * 2, func(c *Conn) { c.MessageRead(false); c.Send(nil) }, ""},
		"stays for good":    {long, func(c *Conn) { c.lastMessage.Store(1); c.messageStart.Store(0); c.Send(nil) }, "idle"},
		"with a session":    {long, func(c *Conn) { c.lastMessage.Store(1); c.messageStart.Store(0); c.Send(nil); c.SessionEstablished() }, ""},
		"which has ended": {long, func(c *Conn) {
			c.lastMessage.Store(1)
			c.messageStart.Store(0)
			c.Send(nil)
			c.SessionEstablished()
			c.SessionEnded()
		}, "idle"},
		"in use":          {long, func(c *Conn) { c.Send(nil); c.MessageRead(false) }, ""},
		"has its session": {messageTimeout * 2, func(c *Conn) { c.MessageRead(false); c.MarkHadSession() }, ""},
	} {
		c := connOfAge(e.age)
		e.do(c)
		if got := c.closeReason(time.Now()); got != e.want {
			t.Errorf("%s: %q, want %q", name, got, e.want)
		}
	}
}

// A full room goes on taking connections: the one that is missed least goes.
func TestEvictionOrder(t *testing.T) {
	withSession, hadSession, withSetup, recent, idle, justAccepted := connOfAge(9*time.Hour), connOfAge(9*time.Hour), connOfAge(9*time.Hour), connOfAge(8*time.Hour), connOfAge(7*time.Hour), connOfAge(0)
	withSession.MarkHadSession()
	withSession.SessionEstablished()
	hadSession.MarkHadSession()
	hadSession.lastMessage.Store(int64(time.Hour)) // idle for less long than holds
	withSetup.OpenSetup(1)
	recent.lastMessage.Store(int64(7 * time.Hour))
	idle.lastMessage.Store(int64(time.Hour))
	r := &registry{Limits: Limits{MaxConns: 6}, conns: map[*Conn]bool{withSession: true, hadSession: true, withSetup: true, recent: true, idle: true, justAccepted: true}}
	for i, evicted := range []*Conn{idle, recent, justAccepted, hadSession, withSession} {
		c := connOfAge(0)
		c.OpenSetup(1)
		if !r.add(c) || r.conns[evicted] || len(r.conns) != 6 {
			t.Errorf("%d: the wrong one went", i)
		}
	}
	if r.add(connOfAge(0)) {
		t.Error("a set-up lost its connection")
	}
}

func TestMaxSetups(t *testing.T) {
	c := connOfAge(0)
	for id := range uint64(DefaultMaxSetups) {
		if !c.OpenSetup(id) {
			t.Fatal(id)
		}
	}
	if c.OpenSetup(DefaultMaxSetups) {
		t.Error("no limit")
	}
	if c.CloseSetup(1); !c.OpenSetup(DefaultMaxSetups) {
		t.Error("an answered set-up is still counted")
	}
}

// newPipedConn runs a connection's writer at one end of a pipe, in a bubble's fake time.
func newPipedConn(maxSetups int) (c *Conn, client net.Conn) {
	server, client := net.Pipe()
	c = newConn(server, maxSetups, nil, zap.NewNop())
	go c.writeLoop(context.Background())
	return c, client
}

// A set-up that comes again under the id of an open one needs no second place: refused, it
// would end the first one's too, and look as if its client had gone.
func TestRepeatedIDCountsOnce(t *testing.T) {
	server, client := net.Pipe()
	defer client.Close()
	defer server.Close()
	c := newConn(server, 1, nil, zap.NewNop())
	if !c.OpenSetup(1) || !c.OpenSetup(1) || c.OpenSetup(2) || c.Gone(1) || !c.Gone(2) {
		t.Error("the same id takes a second place, or another one none")
	}
	if c.CloseSetup(1); !c.Gone(1) || !c.OpenSetup(2) {
		t.Error("an answer frees no place")
	}
}

// A client that asks and never listens is no longer read from, and loses its
// connection once the writer's time is up: not sooner, not later.
func TestClientThatNeverReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, client := newPipedConn(0)
		defer client.Close()
		start, maxPending := time.Now(), int64(0)
		for c.Throttle() {
			c.Send(make([]byte, 1000))
			maxPending = max(maxPending, c.pendingBytes.Load())
		}
		if elapsed := time.Since(start); elapsed != writeTimeout || maxPending > throttleBytes+1000 {
			t.Errorf("closed after %v with %d bytes waiting", elapsed, maxPending)
		}
	})
}

// While a connection is not read from for long, or more comes than is handled, its client
// may have cancelled what it asked for, and so it may until all has been handled.
func TestGoneWhileInputLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, client := newPipedConn(0)
		defer client.Close()
		owner := make(chan func(), 1)
		go func() {
			for do := range owner {
				do()
			}
		}()
		step := func(name string, wait time.Duration, gone bool, do func()) {
			t.Helper()
			owner <- do
			synctest.Wait()
			if time.Sleep(wait); c.Gone(1) != gone {
				t.Errorf("%s: gone %v", name, !gone)
			}
		}
		write := func(s string) { go client.Write([]byte(s)) }
		buf := make([]byte, 4)
		read, doNothing := func() { c.Read(buf) }, func() {}
		c.OpenSetup(1)
		step("slow, and read from", 9*maxInputLag, false, func() { c.Send(make([]byte, throttleBytes+1)); read() })
		write("ask") // all of it is read before the pause
		step("not read from for a moment", maxInputLag, false, func() { c.Throttle() })
		step("for long", 1, true, doNothing)
		time.Sleep(9 * maxInputLag)
		io.ReadFull(client, make([]byte, throttleBytes+1))
		step("read from again", 1, true, doNothing)
		write("0123456789")
		step("a part of it", 1, true, read)
		step("more", 1, true, read)
		step("the rest, which may hold a release", 9*maxInputLag, true, read)
		step("handled, and more may be under way", maxInputLag, true, read)
		step("none is", 1, false, doNothing)
		write("0123456789")
		step("more than is handled", maxInputLag, false, doNothing)
		step("for long", 1, true, doNothing)
		write("0123456789")
		step("all, and more at once", maxInputLag, true, func() { read(); read(); read(); read() })
		step("all of that", 9*maxInputLag, false, func() { read(); read(); read() })
		write("0123456789")
		step("a burst", 1, false, func() { read(); read() })
		step("is no more", maxInputLag, false, doNothing)
		c.Close()
		close(owner)
	})
}

// A slow reader that keeps up with the stated pace stays, gets all of it in
// order, and is not blamed for what it sent and we did not read.
func TestSlowReaderIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, client := newPipedConn(0)
		c.MessageRead(true) // more has come than was read
		const n = 600
		go func() {
			for i := range n {
				if !c.Throttle() || !c.Send([]byte(strings.Repeat(string(rune('a'+i%26)), 1000))) {
					t.Error("closed at", i)
					break
				}
				c.MessageRead(true)
			}
			close(c.readerDone)
			c.CloseAfterWrites()
		}()
		go func() {
			for range 100 {
				time.Sleep(100 * time.Millisecond)
				if reason := c.closeReason(time.Now()); reason != "" && c.pendingBytes.Load() > throttleBytes {
					t.Error("to be closed:", reason)
				}
			}
		}()
		buf, got := make([]byte, 1000), 0
		for {
			if got%50 == 0 {
				time.Sleep(900 * time.Millisecond)
			}
			if _, err := io.ReadFull(client, buf); err != nil {
				break
			}
			if want := byte('a' + got%26); buf[0] != want || buf[999] != want {
				t.Fatalf("%d: %c, want %c", got, buf[0], want)
			}
			got++
		}
		if got != n {
			t.Errorf("%d of %d", got, n)
		}
		time.Sleep(10 * time.Second)
	})
}

// What others cause to be sent is bounded too.
func TestMaxPendingBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, client := newPipedConn(0)
		defer client.Close()
		n := 0
		for c.Send(make([]byte, 1<<10)) {
			n++
		}
		if n != maxPendingBytes>>10 {
			t.Errorf("%d KiB", n)
		}
	})
}

// A close over unread bytes must not take the last answer along.
func TestLingerDeliversLastAnswer(t *testing.T) {
	dial := startServe(t, func(c *Conn) {
		bufio.NewReader(c).ReadString('\n')
		c.Send([]byte("last\n"))
	})
	c := dial()
	c.Write(append([]byte("word\n"), make([]byte, maxLingerBytes/2)...))
	got, err := io.ReadAll(c)
	if string(got) != "last\n" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
}

// A connection that is about to close takes no set-up that it can't answer.
func TestNoSetupWhileClosing(t *testing.T) {
	c := connOfAge(0)
	c.CloseAfterWrites()
	if c.OpenSetup(1) {
		t.Error("a set-up opened")
	}
}
