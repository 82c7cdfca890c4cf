package handover

import (
	"net"
	"testing"
	"time"
)

// New connections come to the younger of two listeners once they are led there, none
// that came before is lost, and to the one that is left when the other has closed.
func TestDirectToSuccessor(t *testing.T) {
	first, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	second, err := Listen(first.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if err := DirectToSuccessor(first); err != nil {
		t.Fatal(err)
	}
	expectAccepted := func(listener net.Listener, n int) {
		t.Helper()
		for range n {
			client, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			listener.(*net.TCPListener).SetDeadline(time.Now().Add(10 * time.Second))
			accepted, err := listener.Accept()
			if err != nil {
				t.Fatalf("it came to the other one: %v", err)
			}
			accepted.Close()
		}
	}
	expectAccepted(second, 64) // by hash half of them would come to the old one
	first.Close()
	expectAccepted(second, 64)
	third, err := Listen(second.Addr().String()) // it lets all come to both again
	if err != nil {
		t.Fatal(err)
	}
	if err := DirectToSuccessor(second); err != nil {
		t.Fatal(err)
	}
	expectAccepted(third, 64)
	second.Close()
	third.Close()
}
