package peer

import (
	"bufio"
	"context"
	"net"
	"testing"

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
		done <- Serve(ctx, l, 2, zap.NewNop(), func(_ context.Context, c *Conn) { handle(c) })
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
				ok = ok && c.Put(make([]byte, 1<<16))
			}
			slow <- ok
		default:
			c.Put([]byte("served\n"))
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
		done <- Serve(ctx, l, 1, zap.NewNop(), func(_ context.Context, c *Conn) {
			c.Farewell([]byte("bye\n"))
			ready <- c
			c.Read(make([]byte, 1))
		})
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	(<-ready).Put([]byte("last\n"))
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
