package fleettest

import (
	"fmt"
	"net"
	"slices"
	"testing"
	"time"
)

// newDatagramPeer returns a socket whose datagrams are answered, and a channel of their texts.
func newDatagramPeer(t *testing.T) (*net.UDPConn, chan string) {
	t.Helper()
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	got := make(chan string, 1000)
	go func() {
		b := make([]byte, 1000)
		for {
			n, from, err := c.ReadFromUDP(b)
			if err != nil {
				return
			}
			got <- string(b[:n])
			c.WriteToUDP(append([]byte("re "), b[:n]...), from)
		}
	}()
	return c, got
}

// receiveUntil returns the datagrams up to and including last. It fails the test if last does not
// come.
func receiveUntil(t *testing.T, got chan string, last string) (all []string) {
	t.Helper()
	for {
		select {
		case s := <-got:
			if all = append(all, s); s == last {
				return all
			}
		case <-time.After(defaultWaitTimeout):
			t.Fatalf("%q was not received after %d others", last, len(all))
		}
	}
}

// TestDatagramRelayFaults applies each fault of a datagram relay and checks which datagrams arrive
// and in which order.
func TestDatagramRelayFaults(t *testing.T) {
	peer, got := newDatagramPeer(t)
	p, err := NewDatagramRelay(1, func() string { return peer.LocalAddr().String() })
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	c, err := net.Dial("udp4", p.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	send := func(from, to int) {
		for i := from; i < to; i++ {
			fmt.Fprintf(c, "%d", i)
			if i%20 == 19 {
				time.Sleep(time.Millisecond) // so that the kernel's buffers do not overflow
			}
		}
	}
	send(0, 3)
	if all := receiveUntil(t, got, "2"); !slices.Equal(all, []string{"0", "1", "2"}) {
		t.Error(all)
	}
	b := make([]byte, 100)
	c.SetReadDeadline(time.Now().Add(defaultWaitTimeout))
	if n, err := c.Read(b); err != nil || string(b[:n]) != "re 0" {
		t.Errorf("without a fault: answer %q, %v; want re 0", b[:n], err)
	}
	p.Cut(ToTarget)
	send(3, 10)
	for p.Forwarded(ToTarget) != 3 {
		t.Fatal("a datagram passed while its direction was cut")
	}
	c.SetReadDeadline(time.Now().Add(defaultWaitTimeout))
	if n, err := c.Read(b); err != nil || string(b[:n]) != "re 1" { // the other direction is open
		t.Errorf("while cut: answer %q, %v; want re 1", b[:n], err)
	}
	time.Sleep(20 * time.Millisecond) // until the relay has read what was sent during the cut
	p.Heal()
	send(10, 11)
	if all := receiveUntil(t, got, "10"); len(all) != 1 {
		t.Errorf("received after the cut: %q; want only 10", all)
	}
	p.Lose(ToTarget, 0.3)
	send(1000, 1200)
	p.Lose(ToTarget, 0)
	send(11, 12)
	if n := len(receiveUntil(t, got, "11")); n < 100 || n > 180 {
		t.Errorf("%d of 200 datagrams were received with a loss share of 0.3", n-1)
	}
	p.Duplicate(ToTarget, 1)
	send(12, 13)
	if all := receiveUntil(t, got, "12"); len(all) != 1 {
		t.Error(all)
	}
	if all := receiveUntil(t, got, "12"); len(all) != 1 {
		t.Error("the datagram was not received twice in a row")
	}
	p.Duplicate(ToTarget, 0)
	p.Reorder(ToTarget, 1)
	send(14, 16)
	if all := receiveUntil(t, got, "14"); !slices.Equal(all, []string{"15", "14"}) {
		t.Errorf("with reordering: received %q; want 15 before 14", all)
	}
}

// TestPeerNetworkCutAndHeal checks that a cut separates exactly the named managers, in the named
// direction, for connections and datagrams.
func TestPeerNetworkCutAndHeal(t *testing.T) {
	p, err := NewPeerNetwork([]string{"m1", "m2", "m3"}, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			c.Write([]byte("m2"))
		}
	}()
	peer, got := newDatagramPeer(t)
	p.SetListenAddrs("m2", l.Addr().String(), peer.LocalAddr().String())
	reach := func(from string) bool {
		c, err := net.DialTimeout("tcp4", p.TCP[from]["m2"].Addr(), 50*time.Millisecond)
		if err != nil {
			return false
		}
		defer c.Close()
		b := make([]byte, 2)
		c.SetReadDeadline(time.Now().Add(defaultWaitTimeout))
		_, err = c.Read(b)
		return err == nil && string(b) == "m2"
	}
	if !reach("m1") || !reach("m3") {
		t.Fatal("m1 or m3 cannot reach m2 without a cut")
	}
	p.Cut([]string{"m1"}, []string{"m2", "m3"}, false)
	if reach("m1") || !reach("m3") {
		t.Error("the cut is not exactly between m1 and the others")
	}
	p.Heal([]string{"m1"}, []string{"m2", "m3"})
	if !reach("m1") {
		t.Error("m1 cannot reach m2 after Heal")
	}
	c, err := net.Dial("udp4", p.UDP["m3"]["m2"].Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, "hello")
	receiveUntil(t, got, "hello")
	p.Cut([]string{"m2"}, []string{"m3"}, true) // what m2 sends does not arrive
	fmt.Fprint(c, "again")
	receiveUntil(t, got, "again")
	if p.UDP["m3"]["m2"].Forwarded(FromTarget) > 1 {
		t.Error("an answer of m2 passed the cut")
	}
}
