package handover

import (
	"net"
	"testing"
	"time"
)

// After DirectToSuccessor, all new connections must reach the younger of two listeners, and after
// the older has closed they must still reach the one that is left. The same must hold for the
// next upgrade.
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
				t.Fatalf("the connection did not reach the expected listener: %v", err)
			}
			accepted.Close()
		}
	}
	expectAccepted(second, 64) // by hash, half of them would reach the first
	first.Close()
	expectAccepted(second, 64)
	third, err := Listen(second.Addr().String()) // this spreads connections over both again
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
