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

// newEchoRelay starts a server that sends back what it receives, and returns a relay to it.
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
	c, err := net.DialTimeout("tcp4", r.Addr(), defaultWaitTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c.(*net.TCPConn)
}

// exchange writes text and reads the echo within d.
func exchange(c net.Conn, text string, d time.Duration) (string, error) {
	if _, err := io.WriteString(c, text); err != nil {
		return "", err
	}
	b := make([]byte, len(text))
	c.SetReadDeadline(time.Now().Add(d))
	n, err := io.ReadFull(c, b)
	return string(b[:n]), err
}

// TestRelayFaults applies each fault of a relay and checks what both sides see of it.
func TestRelayFaults(t *testing.T) {
	const briefly = 50 * time.Millisecond // waits for what must not come; being slow cannot make the test fail
	r := newEchoRelay(t)
	c := dialRelay(t, r)
	if got, err := exchange(c, "hello", defaultWaitTimeout); got != "hello" {
		t.Fatal(got, err)
	}
	for _, direction := range []Direction{ToTarget, FromTarget} {
		r.Cut(direction)
		if got, err := exchange(c, "cut", briefly); got != "" || !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("cut %v: got %q, %v; want a timeout", direction, got, err)
		}
		if n, err := net.DialTimeout("tcp4", r.Addr(), briefly); !os.IsTimeout(err) {
			t.Errorf("cut %v: dial: %v, %v; want a timeout", direction, n, err)
		}
		r.Heal()
		b := make([]byte, 3)
		c.SetReadDeadline(time.Now().Add(defaultWaitTimeout))
		if _, err := io.ReadFull(c, b); err != nil || string(b) != "cut" {
			t.Errorf("healed %v: got %q, %v; want the data held back", direction, b, err)
		}
		if got, err := exchange(dialRelay(t, r), "new", defaultWaitTimeout); got != "new" {
			t.Errorf("healed %v: a new connection got %q, %v", direction, got, err)
		}
	}
	r.Refuse()
	if _, err := exchange(c, "x", defaultWaitTimeout); err == nil {
		t.Error("a connection is still open after Refuse")
	}
	if _, err := net.Dial("tcp4", r.Addr()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dial after Refuse: %v; want ECONNREFUSED", err)
	}
	if err := r.StopRefusing(); err != nil {
		t.Fatal(err)
	}
	if got, err := exchange(dialRelay(t, r), "again", defaultWaitTimeout); got != "again" {
		t.Errorf("after StopRefusing: got %q, %v", got, err)
	}

	for _, e := range []struct {
		direction Direction
		action    TrapAction
		want      string
		wantErr   error
	}{
		{FromTarget, ResetBefore, "", syscall.ECONNRESET},
		{ToTarget, ResetBefore, "", syscall.ECONNRESET},
		{FromTarget, CloseBefore, "", io.EOF},
		{FromTarget, Mute, "", os.ErrDeadlineExceeded},
		{FromTarget, ResetAfter, "end", nil},
	} {
		hits := 0
		r.Trap(e.direction, "end", 1, e.action, func() { hits++ })
		c, other := dialRelay(t, r), dialRelay(t, r)
		if got, err := exchange(c, "fin", defaultWaitTimeout); got != "fin" {
			t.Fatal(got, err)
		}
		wait := defaultWaitTimeout
		if e.action == Mute {
			wait = briefly
		}
		if got, err := exchange(c, "end", wait); got != e.want || !errors.Is(err, e.wantErr) {
			t.Errorf("direction %v, action %v: got %q, %v", e.direction, e.action, got, err)
		}
		if got, err := exchange(other, "end", defaultWaitTimeout); got != "end" || hits != 1 {
			t.Errorf("direction %v, action %v: %d hits; the second connection got %q, %v", e.direction, e.action, hits, got, err)
		}
	}
	r.TrapAt(ToTarget, 4, 1, ResetBefore)
	c = dialRelay(t, r)
	if got, err := exchange(c, "abc", defaultWaitTimeout); got != "abc" {
		t.Fatal(got, err)
	}
	if got, err := exchange(c, "d", defaultWaitTimeout); err == nil {
		t.Errorf("byte 4 passed a trap at 4 bytes: %q", got)
	}
}

// TestRelayKeepsOrder checks that delayed and throttled data keeps its order, and that a close
// arrives after all of it.
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
	c.SetReadDeadline(time.Now().Add(defaultWaitTimeout))
	got, err := io.ReadAll(c)
	if err != nil || string(got) != string(want) {
		t.Errorf("got %d bytes, %v; want all bytes sent, in order", len(got), err)
	}
}
