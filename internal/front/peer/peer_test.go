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

// serve runs Serve until the test ends, and returns where to connect.
func serve(t *testing.T, handle func(*Conn)) func() net.Conn {
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
func TestOneConnectionAtMost(t *testing.T) {
	slow := make(chan bool, 1)
	dial := serve(t, func(c *Conn) {
		word, _ := bufio.NewReader(c).ReadString('\n')
		switch word {
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
	for _, word := range []string{"panic", "flood", "a", "b", "c"} {
		c := dial()
		c.Write([]byte(word + "\n"))
		switch word {
		case "flood":
			if <-slow {
				t.Error("a reader that takes nothing holds its connection")
			}
		default:
			got, _ := bufio.NewReader(c).ReadString('\n')
			if want := map[bool]string{true: "", false: "served\n"}[word == "panic"]; got != want {
				t.Errorf("%s: got %q, want %q", word, got, want)
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
	in := bufio.NewReader(c)
	for _, want := range []string{"last\n", "bye\n", ""} {
		if got, _ := in.ReadString('\n'); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// at makes a connection that is as old as age.
func at(age time.Duration) *Conn {
	near, _ := net.Pipe()
	c := newConn(near, 0, nil, zap.NewNop())
	c.came = time.Now().Add(-age)
	return c
}

// What says nothing, drips, or stays for good is closed; what is owed an answer
// or is in use is not.
func TestOverdue(t *testing.T) {
	ever := 9 * idleTime
	for name, e := range map[string]struct {
		age  time.Duration
		do   func(*Conn)
		want string
	}{
		"new":               {wordTime / 2, func(c *Conn) {}, ""},
		"silent":            {wordTime * 2, func(c *Conn) {}, "no whole message"},
		"drips":             {ever, func(c *Conn) { c.whole.Store(int64(ever - 3*wordTime)); c.begun.Store(int64(ever - 2*wordTime)) }, "no whole message"},
		"half the next":     {ever, func(c *Conn) { c.Send(nil); c.MessageRead(true) }, ""},
		"drips on a set-up": {ever, func(c *Conn) { c.OpenSetup(1); c.begun.Store(1) }, "no whole message"},
		"takes all back":    {wordTime * 2, func(c *Conn) { c.MessageRead(false); c.OpenSetup(1); c.CloseSetup(1) }, "nothing to answer"},
		"waits":             {wordTime * 2, func(c *Conn) { c.MessageRead(false); c.OpenSetup(1) }, ""},
		"waits for long":    {ever, func(c *Conn) { c.whole.Store(1); c.begun.Store(0); c.OpenSetup(1) }, ""},
		"is told":           {wordTime * 2, func(c *Conn) { c.MessageRead(false); c.Send(nil) }, ""},
		"stays for good":    {ever, func(c *Conn) { c.whole.Store(1); c.begun.Store(0); c.Send(nil) }, "idle"},
		"with a session":    {ever, func(c *Conn) { c.whole.Store(1); c.begun.Store(0); c.Send(nil); c.SessionEstablished() }, ""},
		"which has ended": {ever, func(c *Conn) {
			c.whole.Store(1)
			c.begun.Store(0)
			c.Send(nil)
			c.SessionEstablished()
			c.SessionEnded()
		}, "idle"},
		"in use":          {ever, func(c *Conn) { c.Send(nil); c.MessageRead(false) }, ""},
		"has its session": {wordTime * 2, func(c *Conn) { c.MessageRead(false); c.MarkHadSession() }, ""},
	} {
		c := at(e.age)
		e.do(c)
		if got := c.overdue(time.Now()); got != e.want {
			t.Errorf("%s: %q, want %q", name, got, e.want)
		}
	}
}

// A full room goes on taking connections: the one that is missed least goes.
func TestFullRoom(t *testing.T) {
	holds, known, busy, asked, idle, fresh := at(9*time.Hour), at(9*time.Hour), at(9*time.Hour), at(8*time.Hour), at(7*time.Hour), at(0)
	holds.MarkHadSession()
	holds.SessionEstablished()
	known.MarkHadSession()
	known.whole.Store(int64(time.Hour)) // idle for less long than holds
	busy.OpenSetup(1)
	asked.whole.Store(int64(7 * time.Hour))
	idle.whole.Store(int64(time.Hour))
	r := &room{Limits: Limits{MaxConns: 6}, all: map[*Conn]bool{holds: true, known: true, busy: true, asked: true, idle: true, fresh: true}}
	for i, gone := range []*Conn{idle, asked, fresh, known, holds} {
		c := at(0)
		c.OpenSetup(1)
		if !r.enter(c) || r.all[gone] || len(r.all) != 6 {
			t.Errorf("%d: the wrong one went", i)
		}
	}
	if r.enter(at(0)) {
		t.Error("a set-up lost its connection")
	}
}

func TestMostOpen(t *testing.T) {
	c := at(0)
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

// piped runs a connection's writer at one end of a pipe, in a bubble's fake time.
func piped(open int) (c *Conn, far net.Conn) {
	near, far := net.Pipe()
	c = newConn(near, open, nil, zap.NewNop())
	go c.write(context.Background())
	return c, far
}

// A set-up that comes again under the id of an open one needs no second place: refused, it
// would end the first one's too, and look as if its client had gone.
func TestSameIDNeedsNoPlace(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	defer near.Close()
	c := newConn(near, 1, nil, zap.NewNop())
	if !c.OpenSetup(1) || !c.OpenSetup(1) || c.OpenSetup(2) || c.Gone(1) || !c.Gone(2) {
		t.Error("the same id takes a second place, or another one none")
	}
	if c.CloseSetup(1); !c.Gone(1) || !c.OpenSetup(2) {
		t.Error("an answer frees no place")
	}
}

// A client that asks and never listens is no longer read from, and loses its
// connection once the writer's time is up: not sooner, not later.
func TestNeverListens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, far := piped(0)
		defer far.Close()
		start, most := time.Now(), int64(0)
		for c.Throttle() {
			c.Send(make([]byte, 1000))
			most = max(most, c.waiting.Load())
		}
		if took := time.Since(start); took != writeTime || most > paceBytes+1000 {
			t.Errorf("closed after %v with %d bytes waiting", took, most)
		}
	})
}

// While a connection is not read from for long, or more comes than is handled, its client
// may have cancelled what it asked for, and so it may until all has been handled.
func TestUnheard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, far := piped(0)
		defer far.Close()
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
		say := func(s string) { go far.Write([]byte(s)) }
		buf := make([]byte, 4)
		read, look := func() { c.Read(buf) }, func() {}
		c.OpenSetup(1)
		step("slow, and read from", 9*behindTime, false, func() { c.Send(make([]byte, paceBytes+1)); read() })
		say("ask") // all of it is read before the pause
		step("not read from for a moment", behindTime, false, func() { c.Throttle() })
		step("for long", 1, true, look)
		time.Sleep(9 * behindTime)
		io.ReadFull(far, make([]byte, paceBytes+1))
		step("read from again", 1, true, look)
		say("0123456789")
		step("a part of it", 1, true, read)
		step("more", 1, true, read)
		step("the rest, which may hold a release", 9*behindTime, true, read)
		step("handled, and more may be under way", behindTime, true, read)
		step("none is", 1, false, look)
		say("0123456789")
		step("more than is handled", behindTime, false, look)
		step("for long", 1, true, look)
		say("0123456789")
		step("all, and more at once", behindTime, true, func() { read(); read(); read(); read() })
		step("all of that", 9*behindTime, false, func() { read(); read(); read() })
		say("0123456789")
		step("a burst", 1, false, func() { read(); read() })
		step("is no more", behindTime, false, look)
		c.Close()
		close(owner)
	})
}

// A slow reader that keeps up with the stated pace stays, gets all of it in
// order, and is not blamed for what it sent and we did not read.
func TestSlowReaderStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, far := piped(0)
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
			close(c.unread)
			c.CloseAfterWrites()
		}()
		go func() {
			for range 100 {
				time.Sleep(100 * time.Millisecond)
				if why := c.overdue(time.Now()); why != "" && c.waiting.Load() > paceBytes {
					t.Error("to be closed:", why)
				}
			}
		}()
		buf, got := make([]byte, 1000), 0
		for {
			if got%50 == 0 {
				time.Sleep(900 * time.Millisecond)
			}
			if _, err := io.ReadFull(far, buf); err != nil {
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
func TestTooMuchWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, far := piped(0)
		defer far.Close()
		n := 0
		for c.Send(make([]byte, 1<<10)) {
			n++
		}
		if n != mostBytes>>10 {
			t.Errorf("%d KiB", n)
		}
	})
}

// A close over unread bytes must not take the last answer along.
func TestLastAnswerArrives(t *testing.T) {
	dial := serve(t, func(c *Conn) {
		bufio.NewReader(c).ReadString('\n')
		c.Send([]byte("last\n"))
	})
	c := dial()
	c.Write(append([]byte("word\n"), make([]byte, lingerBytes/2)...))
	got, err := io.ReadAll(c)
	if string(got) != "last\n" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
}

// A connection that is about to close takes no set-up that it can't answer.
func TestNothingOpensAtTheEnd(t *testing.T) {
	c := at(0)
	c.CloseAfterWrites()
	if c.OpenSetup(1) {
		t.Error("a set-up opened")
	}
}
