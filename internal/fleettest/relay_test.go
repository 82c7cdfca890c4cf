package fleettest

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// newEchoRelay is a server that sends back what it gets, behind a relay.
func newEchoRelay(t *testing.T) *Relay {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { io.Copy(c, c); c.Close() }()
		}
	}()
	r, err := NewRelay(func() (net.Conn, error) { return net.Dial("tcp4", l.Addr().String()) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

func dialRelay(t *testing.T, r *Relay) *net.TCPConn {
	t.Helper()
	c, err := net.DialTimeout("tcp4", r.Addr(), patience)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c.(*net.TCPConn)
}

// exchange writes text and reads what comes back within d.
func exchange(c net.Conn, text string, d time.Duration) (string, error) {
	if _, err := io.WriteString(c, text); err != nil {
		return "", err
	}
	b := make([]byte, len(text))
	c.SetReadDeadline(time.Now().Add(d))
	n, err := io.ReadFull(c, b)
	return string(b[:n]), err
}

func TestRelayFaults(t *testing.T) {
	const short = 50 * time.Millisecond // for what must not come; nothing fails by being late
	r := newEchoRelay(t)
	c := dialRelay(t, r)
	if got, err := exchange(c, "hello", patience); got != "hello" {
		t.Fatal(got, err)
	}
	for _, way := range []Direction{ToTarget, FromTarget} {
		r.Cut(way)
		if got, err := exchange(c, "cut", short); got != "" || !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("cut %v: %q, %v", way, got, err)
		}
		if n, err := net.DialTimeout("tcp4", r.Addr(), short); !os.IsTimeout(err) {
			t.Errorf("cut %v: a connection came up: %v, %v", way, n, err)
		}
		r.Heal()
		b := make([]byte, 3)
		c.SetReadDeadline(time.Now().Add(patience))
		if _, err := io.ReadFull(c, b); err != nil || string(b) != "cut" {
			t.Errorf("healed %v: %q, %v", way, b, err)
		}
		if got, err := exchange(dialRelay(t, r), "new", patience); got != "new" {
			t.Errorf("healed %v: %q, %v", way, got, err)
		}
	}
	r.Refuse()
	if _, err := exchange(c, "x", patience); err == nil {
		t.Error("still open after Refuse")
	}
	if _, err := net.Dial("tcp4", r.Addr()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("not refused: %v", err)
	}
	if err := r.StopRefusing(); err != nil {
		t.Fatal(err)
	}
	if got, err := exchange(dialRelay(t, r), "again", patience); got != "again" {
		t.Errorf("%q, %v", got, err)
	}

	for _, e := range []struct {
		way  Direction
		act  TrapAction
		got  string
		fail error
	}{
		{FromTarget, ResetBefore, "", syscall.ECONNRESET},
		{ToTarget, ResetBefore, "", syscall.ECONNRESET},
		{FromTarget, CloseBefore, "", io.EOF},
		{FromTarget, Mute, "", os.ErrDeadlineExceeded},
		{FromTarget, ResetAfter, "end", nil},
	} {
		hits := 0
		r.Trap(e.way, "end", 1, e.act, func() { hits++ })
		c, other := dialRelay(t, r), dialRelay(t, r)
		if got, err := exchange(c, "fin", patience); got != "fin" {
			t.Fatal(got, err)
		}
		wait := patience
		if e.act == Mute {
			wait = short
		}
		if got, err := exchange(c, "end", wait); got != e.got || !errors.Is(err, e.fail) {
			t.Errorf("%v %v: %q, %v", e.way, e.act, got, err)
		}
		if got, err := exchange(other, "end", patience); got != "end" || hits != 1 {
			t.Errorf("%v %v: %d hits, the other got %q, %v", e.way, e.act, hits, got, err)
		}
	}
	r.TrapAt(ToTarget, 4, 1, ResetBefore)
	c = dialRelay(t, r)
	if got, err := exchange(c, "abc", patience); got != "abc" {
		t.Fatal(got, err)
	}
	if got, err := exchange(c, "d", patience); err == nil {
		t.Errorf("byte 4 passed: %q", got)
	}
}

// What is held or dripped keeps its order, and a close comes after all of it.
func TestRelayKeepsOrder(t *testing.T) {
	r := newEchoRelay(t)
	r.Delay(ToTarget, time.Millisecond)
	r.Throttle(FromTarget, 7)
	c := dialRelay(t, r)
	var want []byte
	for i := range 200 {
		want = append(want, byte(i), byte(i>>4))
	}
	go func() {
		for i := 0; i < len(want); i += 40 {
			c.Write(want[i : i+40])
		}
		c.CloseWrite()
	}()
	c.SetReadDeadline(time.Now().Add(patience))
	got, err := io.ReadAll(c)
	if err != nil || string(got) != string(want) {
		t.Errorf("got %d bytes, %v", len(got), err)
	}
}
