package fleettest

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// DatagramRelay carries datagrams of one pair and puts faults between them. It takes them at
// an address of its own; for each that sends there it sends onwards from an address of
// its own, and what comes back there goes back. What it loses, repeats and holds is
// drawn from a seed.
type DatagramRelay struct {
	target func() string

	mu             sync.Mutex
	listener       *net.UDPConn
	upstreams      map[string]*net.UDPConn // by who sent
	rng            *rand.Rand
	cut            [2]bool
	lossShare      [2]float64
	duplicateShare [2]float64
	reorderShare   [2]float64
	delay          [2]time.Duration
	heldBack       [2]func() // a datagram that the next one overtakes
	closed         bool
	forwarded      [2]int
	goroutines     sync.WaitGroup
}

// NewDatagramRelay returns a relay for datagrams to the address that target tells, which may
// change. An empty one loses them.
func NewDatagramRelay(seed uint64, target func() string) (*DatagramRelay, error) {
	in, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("fleettest: %w", err)
	}
	p := &DatagramRelay{target: target, listener: in, upstreams: map[string]*net.UDPConn{}, rng: rand.New(rand.NewPCG(seed, 7))}
	p.goroutines.Go(p.receive)
	return p, nil
}

// Addr is where it takes datagrams.
func (p *DatagramRelay) Addr() string { return p.listener.LocalAddr().String() }

// Forwarded is how many datagrams went on in a direction.
func (p *DatagramRelay) Forwarded(way Direction) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.forwarded[way]
}

func (p *DatagramRelay) update(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

// Cut loses all in some directions; Heal ends that.
func (p *DatagramRelay) Cut(ways ...Direction) {
	p.update(func() {
		for _, w := range ways {
			p.cut[w] = true
		}
	})
}

// Heal ends a cut.
func (p *DatagramRelay) Heal() { p.update(func() { p.cut = [2]bool{} }) }

// Lose, Repeat and Swap have a share of what passes in a direction be lost, come twice,
// or come after the one that follows. Delay has all come so much later.
func (p *DatagramRelay) Lose(way Direction, share float64) {
	p.update(func() { p.lossShare[way] = share })
}
func (p *DatagramRelay) Duplicate(way Direction, share float64) {
	p.update(func() { p.duplicateShare[way] = share })
}
func (p *DatagramRelay) Reorder(way Direction, share float64) {
	p.update(func() { p.reorderShare[way] = share })
}
func (p *DatagramRelay) Delay(way Direction, after time.Duration) {
	p.update(func() { p.delay[way] = after })
}

// Close ends it.
func (p *DatagramRelay) Close() {
	p.update(func() {
		p.closed = true
		p.listener.Close()
		for _, o := range p.upstreams {
			o.Close()
		}
	})
	p.goroutines.Wait()
}

func (p *DatagramRelay) receive() {
	b := make([]byte, 64<<10)
	for {
		n, from, err := p.listener.ReadFromUDP(b)
		if err != nil {
			return
		}
		if o := p.upstreamFor(from); o != nil {
			m := append([]byte(nil), b[:n]...)
			p.forward(ToTarget, func() {
				if to, err := net.ResolveUDPAddr("udp4", p.target()); err == nil && to.Port != 0 {
					o.WriteToUDP(m, to) // as a network, it tells nobody what it loses
				}
			})
		}
	}
}

// upstreamFor is the socket for who sent from an address.
func (p *DatagramRelay) upstreamFor(from *net.UDPAddr) *net.UDPConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.upstreams[from.String()]
	if o != nil || p.closed {
		return o
	}
	o, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil
	}
	p.upstreams[from.String()] = o
	p.goroutines.Go(func() {
		b := make([]byte, 64<<10)
		for {
			n, _, err := o.ReadFromUDP(b)
			if err != nil {
				return
			}
			m := append([]byte(nil), b[:n]...)
			p.forward(FromTarget, func() { p.listener.WriteToUDP(m, from) })
		}
	})
	return o
}

// forward sends a datagram by what holds at the moment.
func (p *DatagramRelay) forward(way Direction, send func()) {
	p.mu.Lock()
	if p.cut[way] || p.rng.Float64() < p.lossShare[way] {
		p.mu.Unlock()
		return
	}
	times := 1
	if p.rng.Float64() < p.duplicateShare[way] {
		times = 2
	}
	before := p.heldBack[way]
	p.heldBack[way] = nil
	hold := before == nil && p.rng.Float64() < p.reorderShare[way]
	delay := p.delay[way]
	p.forwarded[way] += times
	out := func() {
		for range times {
			send()
		}
		if before != nil {
			before()
		}
	}
	if hold {
		p.heldBack[way] = out
	}
	p.mu.Unlock()
	switch {
	case hold:
	case delay > 0:
		time.AfterFunc(delay, out)
	default:
		out()
	}
}

// PeerNetwork is the links between managers, each pair with a relay for connections and one
// for datagrams in each direction. Managers listen where SetPeer says.
type PeerNetwork struct {
	TCP map[string]map[string]*Relay // by who connects, and to whom
	UDP map[string]map[string]*DatagramRelay

	mu          sync.Mutex
	listenAddrs map[string][2]string
}

// NewPeerNetwork links managers with each other.
func NewPeerNetwork(names []string, seed uint64) (*PeerNetwork, error) {
	p := &PeerNetwork{TCP: map[string]map[string]*Relay{}, UDP: map[string]map[string]*DatagramRelay{}, listenAddrs: map[string][2]string{}}
	for i, a := range names {
		p.TCP[a], p.UDP[a] = map[string]*Relay{}, map[string]*DatagramRelay{}
		for k, b := range names {
			if a == b {
				continue
			}
			var err error
			p.TCP[a][b], err = NewRelay(func() (net.Conn, error) {
				if to := p.addrsOf(b)[0]; to != "" {
					return net.Dial("tcp4", to)
				}
				return nil, fmt.Errorf("%s listens nowhere", b)
			})
			if err == nil {
				p.UDP[a][b], err = NewDatagramRelay(seed<<16+uint64(i<<8+k), func() string { return p.addrsOf(b)[1] })
			}
			if err != nil {
				p.Close()
				return nil, err
			}
		}
	}
	return p, nil
}

func (p *PeerNetwork) addrsOf(name string) [2]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listenAddrs[name]
}

// SetListenAddrs tells where a manager listens for others; empty: nowhere.
func (p *PeerNetwork) SetListenAddrs(name, tcp, udp string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listenAddrs[name] = [2]string{tcp, udp}
}

// Cut holds or loses all between two groups of managers, or with oneWay what goes from
// a to b.
func (p *PeerNetwork) Cut(a, b []string, oneWay bool) {
	p.eachLink(a, b, func(t *Relay, u *DatagramRelay, from Direction) {
		if oneWay {
			t.Cut(from)
			u.Cut(from)
		} else {
			t.Cut(ToTarget, FromTarget)
			u.Cut(ToTarget, FromTarget)
		}
	})
}

// Heal ends all cuts between two groups.
func (p *PeerNetwork) Heal(a, b []string) {
	p.eachLink(a, b, func(t *Relay, u *DatagramRelay, _ Direction) {
		t.Heal()
		u.Heal()
	})
}

func (p *PeerNetwork) eachLink(a, b []string, do func(*Relay, *DatagramRelay, Direction)) {
	for _, x := range a {
		for _, y := range b {
			if x != y {
				do(p.TCP[x][y], p.UDP[x][y], ToTarget)
				do(p.TCP[y][x], p.UDP[y][x], FromTarget)
			}
		}
	}
}

// Close ends all links.
func (p *PeerNetwork) Close() {
	for _, l := range p.TCP {
		for _, r := range l {
			if r != nil {
				r.Close()
			}
		}
	}
	for _, l := range p.UDP {
		for _, r := range l {
			if r != nil {
				r.Close()
			}
		}
	}
}
