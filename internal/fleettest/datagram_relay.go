package fleettest

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// DatagramRelay carries the datagrams of one pair of parties and puts faults between them. It
// receives at an address of its own. For each sender it forwards from a separate socket, and what
// that socket receives goes back to the sender. Which datagrams it loses, duplicates and holds back
// is drawn from a seed.
type DatagramRelay struct {
	target func() string // returns the address to forward to

	mu             sync.Mutex
	listener       *net.UDPConn
	upstreams      map[string]*net.UDPConn // by the address of the sender
	rng            *rand.Rand
	cut            [2]bool
	lossShare      [2]float64
	duplicateShare [2]float64
	reorderShare   [2]float64
	delay          [2]time.Duration
	heldBack       [2]func() // by direction: sends a datagram that the next one overtakes
	closed         bool
	forwarded      [2]int
	goroutines     sync.WaitGroup
}

// NewDatagramRelay returns a relay for datagrams to the address that target returns, which may
// change. Datagrams are lost while it is empty.
func NewDatagramRelay(seed uint64, target func() string) (*DatagramRelay, error) {
	in, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("fleettest: %w", err)
	}
	r := &DatagramRelay{target: target, listener: in, upstreams: map[string]*net.UDPConn{}, rng: rand.New(rand.NewPCG(seed, 7))}
	r.goroutines.Go(r.receive)
	return r, nil
}

// Addr returns the address at which the relay receives datagrams.
func (r *DatagramRelay) Addr() string { return r.listener.LocalAddr().String() }

// Forwarded returns how many datagrams were forwarded in a direction.
func (r *DatagramRelay) Forwarded(direction Direction) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.forwarded[direction]
}

func (r *DatagramRelay) update(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// Cut loses all datagrams of some directions until Heal.
func (r *DatagramRelay) Cut(directions ...Direction) {
	r.update(func() {
		for _, w := range directions {
			r.cut[w] = true
		}
	})
}

// Heal ends a cut.
func (r *DatagramRelay) Heal() { r.update(func() { r.cut = [2]bool{} }) }

// Lose sets the share of datagrams that are lost in a direction.
func (r *DatagramRelay) Lose(direction Direction, share float64) {
	r.update(func() { r.lossShare[direction] = share })
}

// Duplicate sets the share of datagrams that are sent twice in a direction.
func (r *DatagramRelay) Duplicate(direction Direction, share float64) {
	r.update(func() { r.duplicateShare[direction] = share })
}

// Reorder sets the share of datagrams that are sent after the one that follows them.
func (r *DatagramRelay) Reorder(direction Direction, share float64) {
	r.update(func() { r.reorderShare[direction] = share })
}

// Delay sets by how much the datagrams of a direction are delayed.
func (r *DatagramRelay) Delay(direction Direction, after time.Duration) {
	r.update(func() { r.delay[direction] = after })
}

// Close stops the relay.
func (r *DatagramRelay) Close() {
	r.update(func() {
		r.closed = true
		r.listener.Close()
		for _, o := range r.upstreams {
			o.Close()
		}
	})
	r.goroutines.Wait()
}

// receive forwards datagrams to the target until the listener is closed.
func (r *DatagramRelay) receive() {
	b := make([]byte, 64<<10)
	for {
		n, from, err := r.listener.ReadFromUDP(b)
		if err != nil {
			return
		}
		if o := r.upstreamFor(from); o != nil {
			m := append([]byte(nil), b[:n]...)
			r.forward(ToTarget, func() {
				if to, err := net.ResolveUDPAddr("udp4", r.target()); err == nil && to.Port != 0 {
					o.WriteToUDP(m, to) // like a network, the relay reports no loss
				}
			})
		}
	}
}

// upstreamFor returns the socket that forwards the datagrams of a sender, or nil if there is none
// and none can be opened.
func (r *DatagramRelay) upstreamFor(from *net.UDPAddr) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.upstreams[from.String()]
	if o != nil || r.closed {
		return o
	}
	o, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil
	}
	r.upstreams[from.String()] = o
	r.goroutines.Go(func() {
		b := make([]byte, 64<<10)
		for {
			n, _, err := o.ReadFromUDP(b)
			if err != nil {
				return
			}
			m := append([]byte(nil), b[:n]...)
			r.forward(FromTarget, func() { r.listener.WriteToUDP(m, from) })
		}
	})
	return o
}

// forward sends a datagram under the faults of the moment.
func (r *DatagramRelay) forward(direction Direction, send func()) {
	r.mu.Lock()
	if r.cut[direction] || r.rng.Float64() < r.lossShare[direction] {
		r.mu.Unlock()
		return
	}
	times := 1
	if r.rng.Float64() < r.duplicateShare[direction] {
		times = 2
	}
	before := r.heldBack[direction]
	r.heldBack[direction] = nil
	hold := before == nil && r.rng.Float64() < r.reorderShare[direction]
	delay := r.delay[direction]
	r.forwarded[direction] += times
	out := func() {
		for range times {
			send()
		}
		if before != nil {
			before()
		}
	}
	if hold {
		r.heldBack[direction] = out
	}
	r.mu.Unlock()
	switch {
	case hold:
	case delay > 0:
		time.AfterFunc(delay, out)
	default:
		out()
	}
}

// PeerNetwork is the links between managers: each ordered pair has one relay for connections and
// one for datagrams. SetListenAddrs tells it where the managers listen.
type PeerNetwork struct {
	TCP map[string]map[string]*Relay         // by the manager that connects, and the one that listens
	UDP map[string]map[string]*DatagramRelay // by the manager that sends first, and the one that listens

	mu          sync.Mutex
	listenAddrs map[string][2]string // by manager: TCP and UDP
}

// NewPeerNetwork links each manager with each other one.
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
				return nil, fmt.Errorf("%s has no listen address", b)
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

// SetListenAddrs sets where a manager listens for the others; empty: it does not listen.
func (p *PeerNetwork) SetListenAddrs(name, tcp, udp string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listenAddrs[name] = [2]string{tcp, udp}
}

// Cut cuts all relays between two groups of managers, or with oneWay only in the direction from a
// to b. Connections hold their data; datagrams are lost.
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

// Heal ends all cuts between two groups of managers.
func (p *PeerNetwork) Heal(a, b []string) {
	p.eachLink(a, b, func(t *Relay, u *DatagramRelay, _ Direction) {
		t.Heal()
		u.Heal()
	})
}

// eachLink calls do for the relays of each pair between a and b, with the direction that leads from
// a to b.
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

// Close stops all relays.
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
