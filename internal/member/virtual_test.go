package member

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/memberlist"
)

// wire is a network in memory: a port is a place of a slice, from 1.
type wire []*plug

// plug is a member's place at a wire. What doesn't fit into a queue is lost.
type plug struct {
	wire    *wire
	at      int
	packets chan *memberlist.Packet
	streams chan net.Conn
	off     atomic.Bool
}

func (w wire) plug(addr string) *plug {
	_, port, _ := net.SplitHostPort(addr)
	if i, err := strconv.Atoi(port); err == nil && i <= len(w) && !w[i-1].off.Load() {
		return w[i-1]
	}
	return nil
}

func (p *plug) addr() string { return fmt.Sprintf("10.0.0.1:%d", p.at) }

func (p *plug) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return net.IPv4(10, 0, 0, 1).To4(), p.at, nil
}

func (p *plug) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	if to := p.wire.plug(a.Addr); to != nil && !p.off.Load() {
		select {
		case to.packets <- &memberlist.Packet{Buf: append([]byte(nil), b...), From: &net.UDPAddr{IP: net.IPv4(10, 0, 0, 1), Port: p.at}, Timestamp: time.Now()}:
		default:
		}
	}
	return time.Now(), nil
}

func (p *plug) WriteTo(b []byte, addr string) (time.Time, error) {
	return p.WriteToAddress(b, memberlist.Address{Addr: addr})
}

func (p *plug) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	if to := p.wire.plug(a.Addr); to != nil && !p.off.Load() {
		here, there := net.Pipe()
		select {
		case to.streams <- there:
			return here, nil
		default:
		}
	}
	time.Sleep(timeout)
	return nil, context.DeadlineExceeded
}

func (p *plug) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return p.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

func (p *plug) PacketCh() <-chan *memberlist.Packet { return p.packets }
func (p *plug) StreamCh() <-chan net.Conn           { return p.streams }
func (p *plug) Shutdown() error                     { p.off.Store(true); return nil }

// TestVirtual measures a fleet of -sizes members in virtual time: what each sends, and
// how long it takes to know of all, and of one that is lost. At 8 it always runs.
func TestVirtual(t *testing.T) {
	n := max(*sizes, 8)
	began := time.Now()
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		w := make(wire, n)
		var named []ConfiguredMember
		for i := range w {
			w[i] = &plug{wire: &w, at: i + 1, packets: make(chan *memberlist.Packet, 1024), streams: make(chan net.Conn, 64)}
			named = append(named, ConfiguredMember{fmt.Sprintf("m%04d", i), "s"})
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, n)
		var all []*Swim
		for i := range w {
			c := Config{Self: Meta{Name: named[i].Name, Address: w[i].addr()}, ConfiguredMembers: named, ListenAddress: w[i].addr(), via: func() memberlist.NodeAwareTransport { return w[i] }}
			if i > 0 {
				c.JoinAddresses = []string{w[i/8].addr()}
			}
			s, err := NewSwim(c)
			if err != nil {
				t.Fatal(err)
			}
			all = append(all, s)
			go func() { done <- s.Run(ctx) }()
		}
		settle := func(what string, want int, who []*Swim) {
			from := time.Now()
			for settled := false; !settled; time.Sleep(100 * time.Millisecond) {
				settled = true
				for _, s := range who {
					s.mu.Lock()
					settled = settled && s.book.view.PresentCount == want
					s.mu.Unlock()
				}
				if time.Since(from) > 5*time.Minute {
					t.Errorf("%s: not settled", what)
					return
				}
			}
			t.Logf("%d members: %s after %v", n, what, time.Since(from))
		}
		settle("all in view", n, all)
		sent := func() (packets, bytes, streamed int64) {
			for _, s := range all {
				packets, bytes, streamed = packets+s.Traffic().DatagramsSent.Load(), bytes+s.Traffic().DatagramBytesSent.Load(), streamed+s.Traffic().ConnectionBytes.Load()
			}
			return
		}
		time.Sleep(20 * time.Second)
		p, b, s := sent()
		time.Sleep(30 * time.Second)
		p2, b2, s2 := sent()
		t.Logf("each, at rest: %.1f datagrams and %d bytes a second, and %d on connections", float64(p2-p)/30/float64(n), (b2-b)/30/int64(n), (s2-s)/30/int64(n))
		w[n-1].off.Store(true)
		settle("one lost", n-1, all[:n-1])
		cancel()
		for range all {
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
		time.Sleep(time.Minute) // memberlist's goroutines end with their next act
		t.Logf("%v of virtual time", time.Since(start))
	})
	t.Logf("played in %v", time.Since(began).Round(time.Millisecond))
}
