package handover

import (
	"net"
	"testing"
	"time"
)

// New connections come to the younger of two listeners once they are led there, none
// that came before is lost, and to the one that is left when the other has closed.
func TestLeadAway(t *testing.T) {
	old, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	young, err := Listen(old.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if err := DirectToSuccessor(old); err != nil {
		t.Fatal(err)
	}
	take := func(l net.Listener, n int) {
		t.Helper()
		for range n {
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			l.(*net.TCPListener).SetDeadline(time.Now().Add(10 * time.Second))
			a, err := l.Accept()
			if err != nil {
				t.Fatalf("it came to the other one: %v", err)
			}
			a.Close()
		}
	}
	take(young, 64) // by hash half of them would come to the old one
	old.Close()
	take(young, 64)
	next, err := Listen(young.Addr().String()) // it lets all come to both again
	if err != nil {
		t.Fatal(err)
	}
	if err := DirectToSuccessor(young); err != nil {
		t.Fatal(err)
	}
	take(next, 64)
	young.Close()
	next.Close()
}
