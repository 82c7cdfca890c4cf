package fleettest

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Direction is a direction through a relay.
type Direction int

const (
	ToTarget Direction = iota // from the side that connects
	FromTarget
)

func (w Direction) String() string { return [...]string{"out", "back"}[w] }

// Relay carries the connections of one pair, such as a manager and a node, and puts
// faults between them. It accepts at an address of its own and connects onwards for
// each connection. Each fault holds until it is taken back; a fault of one direction
// leaves the other as it is.
//
// Closing one side closes the other in the same manner: what was written before a
// close still arrives, a reset arrives as a reset.
type Relay struct {
	// Seen is told of each piece that leaves either side of the nth connection, before
	// it goes on; with none, of the side's end. It must not wait. Nil: nobody is.
	OnData func(conn int, way Direction, b []byte)

	addr       string
	dialTarget func() (net.Conn, error)

	mu            sync.Mutex
	changed       chan struct{} // closed and made anew with each change
	cut           [2]bool       // what leaves is held; no connection comes up
	delay         [2]time.Duration
	bytesPerMs    [2]int // bytes a millisecond; 0: all at once
	traps         []*trap
	refusing      bool
	closed        bool
	portHolder    int // a socket that is bound and never listens: the port stays ours
	listener      *net.TCPListener
	queueFilled   bool       // the listener's queue is kept full
	queueFillers  []net.Conn // by these
	conns         map[*relayedConn]bool
	connsAccepted int
	goroutines    sync.WaitGroup
}

// trap strikes when something passes.
type trap struct {
	direction  Direction
	token      []byte
	afterBytes int // or when so many have passed on one connection
	action     TrapAction
	remaining  int // how often it strikes yet; -1: always
	onHit      func()
}

// TrapAction is what a trap does to the connection that steps on it.
type TrapAction int

const (
	ResetBefore TrapAction = iota // what was seen is lost, and both sides see a reset
	CloseBefore                   // what was seen is lost, and both sides see an ordinary close
	Mute                          // what was seen and all after it in this direction is lost; the connection stays open
	ResetAfter                    // what was seen goes on, and both sides see a reset
)

// NewRelay returns a relay on loopback to what target connects to.
func NewRelay(target func() (net.Conn, error)) (*Relay, error) {
	r := &Relay{dialTarget: target, changed: make(chan struct{}), conns: make(map[*relayedConn]bool)}
	fd, addr, err := holdPort()
	if err != nil {
		return nil, err
	}
	r.portHolder, r.addr = fd, addr
	if err := r.listen(); err != nil {
		syscall.Close(fd)
		return nil, err
	}
	return r, nil
}

// holdPort binds a socket that never listens to a free port, which stays ours until it is
// closed. Who listens there has to share it.
func holdPort() (fd int, addr string, err error) {
	fd, err = syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, "", fmt.Errorf("fleettest: socket: %w", err)
	}
	err = firstError(syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, soReusePort, 1), syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	var name syscall.Sockaddr
	if err == nil {
		name, err = syscall.Getsockname(fd)
	}
	if err != nil {
		syscall.Close(fd)
		return 0, "", fmt.Errorf("fleettest: bind: %w", err)
	}
	return fd, fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port), nil
}

// soReusePort lets a listener share its port with the socket that holds it.
const soReusePort = 0xf

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// Addr is where the relay accepts. It stays the same whatever is done to it.
func (r *Relay) Addr() string { return r.addr }

// ConnsAccepted is how many connections have come up so far.
func (r *Relay) ConnsAccepted() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.connsAccepted
}

func (r *Relay) listen() error {
	c := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		if e := raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, soReusePort, 1) }); e != nil {
			return e
		}
		return err
	}}
	l, err := c.Listen(context.Background(), "tcp4", r.addr)
	if err != nil {
		return fmt.Errorf("fleettest: %w", err)
	}
	r.listener = l.(*net.TCPListener)
	r.goroutines.Go(func() { r.accept(r.listener) })
	return nil
}

func (r *Relay) accept(l *net.TCPListener) {
	for {
		c, err := l.AcceptTCP()
		r.mu.Lock()
		switch {
		case err == nil && r.takeQueueFiller(c):
			r.mu.Unlock()
			c.Close()
			continue
		case err != nil && os.IsTimeout(err): // cut: nothing comes up until that changes
			changed := r.changed
			if !r.cut[ToTarget] && !r.cut[FromTarget] {
				l.SetDeadline(time.Time{})
				r.mu.Unlock()
				continue
			}
			r.mu.Unlock()
			<-changed
			continue
		case err != nil:
			r.mu.Unlock()
			return
		}
		r.connsAccepted++
		k := &relayedConn{relay: r, client: c, number: r.connsAccepted}
		r.conns[k] = true
		r.mu.Unlock()
		r.goroutines.Go(k.run)
	}
}

// takeQueueFiller takes a connection out of those that fill the queue, if it is one.
func (r *Relay) takeQueueFiller(c net.Conn) bool {
	for i, f := range r.queueFillers {
		if f.LocalAddr().String() == c.RemoteAddr().String() {
			f.Close()
			r.queueFillers = append(r.queueFillers[:i], r.queueFillers[i+1:]...)
			return true
		}
	}
	return false
}

// update applies f and lets all that waits look again.
func (r *Relay) update(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	f()
	close(r.changed)
	r.changed = make(chan struct{})
}

// Cut holds what leaves in a direction, and lets no new connection come up: as
// when a machine vanishes, or a cable does. Nobody is told.
func (r *Relay) Cut(ways ...Direction) {
	r.update(func() {
		for _, w := range ways {
			r.cut[w] = true
		}
		r.fillQueue()
	})
}

// Heal ends a cut. What was held goes on its way.
func (r *Relay) Heal() {
	r.update(func() {
		r.cut = [2]bool{}
		if r.queueFilled && r.listener != nil {
			r.setBacklog(1 << 10)
			r.listener.SetDeadline(time.Time{})
		}
		r.queueFilled = false
	})
}

// fillQueue keeps connections from coming up: the listener's queue takes one, which is
// ours, and the kernel drops the first packet of all others. A connect that is
// refused or reset would tell more than a machine that is cut off does.
func (r *Relay) fillQueue() {
	if r.listener == nil || r.queueFilled {
		return
	}
	r.queueFilled = true
	r.listener.SetDeadline(time.Unix(1, 0))
	r.setBacklog(0)
	for range 2 { // a queue of length 0 takes one; the second makes sure that it is full
		c, err := net.DialTimeout("tcp4", r.addr, 50*time.Millisecond)
		if err != nil {
			break
		}
		r.queueFillers = append(r.queueFillers, c)
	}
}

// setBacklog sets the length of the listener's queue anew.
func (r *Relay) setBacklog(n int) {
	raw, err := r.listener.SyscallConn()
	if err == nil {
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), n) })
	}
}

// Refuse has connects refused, as where no process listens, and resets what is
// open. Accept ends it.
func (r *Relay) Refuse() {
	r.update(func() {
		r.refusing = true
		if r.listener != nil {
			r.listener.Close()
			r.listener, r.queueFilled = nil, false
		}
		r.resetAll()
	})
}

// StopRefusing takes connections again after Refuse.
func (r *Relay) StopRefusing() error {
	var err error
	r.update(func() {
		if r.refusing {
			r.refusing = false
			if err = r.listen(); err == nil && (r.cut[ToTarget] || r.cut[FromTarget]) {
				r.fillQueue()
			}
		}
	})
	return err
}

// Reset breaks all that is open. What is on its way is lost.
func (r *Relay) Reset() { r.update(r.resetAll) }

func (r *Relay) resetAll() {
	for k := range r.conns {
		k.reset()
	}
}

// Delay has all that leaves in a direction arrive so much later, in order.
func (r *Relay) Delay(way Direction, d time.Duration) { r.update(func() { r.delay[way] = d }) }

// Throttle lets so many bytes a millisecond through in a direction; 0: all.
func (r *Relay) Throttle(way Direction, bytes int) { r.update(func() { r.bytesPerMs[way] = bytes }) }

// Trap does act to each of the next n connections on which token passes in a
// direction; with n under 0 to all. hit, if not nil, is called each time.
func (r *Relay) Trap(way Direction, token string, n int, act TrapAction, hit func()) {
	r.update(func() {
		r.traps = append(r.traps, &trap{direction: way, token: []byte(token), remaining: n, action: act, onHit: hit})
	})
}

// TrapAt is Trap at the first piece that takes a connection past so many bytes.
func (r *Relay) TrapAt(way Direction, bytes, n int, act TrapAction) {
	r.update(func() { r.traps = append(r.traps, &trap{direction: way, afterBytes: bytes, remaining: n, action: act}) })
}

// Untrap takes all traps back.
func (r *Relay) Untrap() { r.update(func() { r.traps = nil }) }

// Close ends the relay and all that is open on it.
func (r *Relay) Close() {
	r.update(func() {
		if r.listener != nil {
			r.listener.Close()
			r.listener = nil
		}
		for _, c := range r.queueFillers {
			c.Close()
		}
		r.resetAll()
		syscall.Close(r.portHolder)
	})
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.goroutines.Wait()
}

// relayedConn is one connection through a relay.
type relayedConn struct {
	relay  *Relay
	number int
	client *net.TCPConn
	server *net.TCPConn
	ended  bool // under the relay's lock
	muted  [2]bool
}

// reset is called with the relay's lock held.
func (k *relayedConn) reset() {
	k.ended = true
	for _, c := range []*net.TCPConn{k.client, k.server} {
		if c != nil {
			c.SetLinger(0)
			c.Close()
		}
	}
}

func (k *relayedConn) run() {
	r := k.relay
	defer func() {
		r.mu.Lock()
		delete(r.conns, k)
		r.mu.Unlock()
	}()
	c, err := r.dialTarget()
	r.mu.Lock()
	if err != nil || k.ended {
		k.reset()
		r.mu.Unlock()
		if c != nil {
			c.Close()
		}
		return
	}
	k.server = c.(*net.TCPConn)
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { k.forward(ToTarget, k.client, k.server) })
	both.Go(func() { k.forward(FromTarget, k.server, k.client) })
	both.Wait()
	k.client.Close()
	k.server.Close()
}

// chunk is what was read at once; end: why nothing follows.
type chunk struct {
	data   []byte
	readAt time.Time
	err    error
}

// forward passes on what leaves in one direction until that ends. It reads ahead of
// what is held, as a network's buffers do, so that what a party wrote is seen when
// it wrote it.
func (k *relayedConn) forward(way Direction, from, to *net.TCPConn) {
	r := k.relay
	queue := make(chan chunk, 1<<12)
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			b := make([]byte, 4<<10)
			n, err := from.Read(b)
			if r.OnData != nil && n > 0 {
				r.OnData(k.number, way, b[:n])
			}
			if r.OnData != nil && err != nil {
				r.OnData(k.number, way, nil)
			}
			select {
			case queue <- chunk{b[:n], time.Now(), err}:
			case <-done:
			}
			if err != nil {
				return
			}
		}
	}()
	passed := 0
	for p := range queue {
		if passed += len(p.data); len(p.data) > 0 && !k.forwardChunk(way, to, p, passed) {
			return
		}
		if p.err == nil {
			continue
		}
		k.waitWhileCut(way)
		r.mu.Lock()
		switch {
		case k.ended:
		case p.err == io.EOF:
			to.CloseWrite()
		default:
			k.reset()
		}
		r.mu.Unlock()
		return
	}
}

// forwardChunk sends a piece on by what holds at the moment. False: the link is gone.
func (k *relayedConn) forwardChunk(way Direction, to *net.TCPConn, p chunk, passed int) bool {
	r, b := k.relay, p.data
	r.mu.Lock()
	delay, drip := r.delay[way], r.bytesPerMs[way]
	act, struck := k.matchTrap(way, b, passed)
	if struck {
		switch act {
		case ResetBefore:
			k.reset()
		case CloseBefore:
			k.ended = true
			k.client.Close()
			k.server.Close()
		case Mute:
			k.muted[way] = true
		}
	}
	mute, gone := k.muted[way], k.ended
	r.mu.Unlock()
	if gone {
		return false
	}
	if mute {
		return true
	}
	if delay > 0 {
		time.Sleep(time.Until(p.readAt.Add(delay)))
	}
	if !k.waitWhileCut(way) {
		return false
	}
	for len(b) > 0 {
		n := len(b)
		if drip > 0 {
			n = min(n, drip)
			time.Sleep(time.Millisecond)
		}
		if _, err := to.Write(b[:n]); err != nil {
			r.mu.Lock()
			k.reset()
			r.mu.Unlock()
			return false
		}
		b = b[n:]
	}
	if struck && act == ResetAfter {
		r.mu.Lock()
		k.reset()
		r.mu.Unlock()
		return false
	}
	return true
}

// waitWhileCut holds while a direction is cut. False: the link is gone.
func (k *relayedConn) waitWhileCut(way Direction) bool {
	r := k.relay
	for {
		r.mu.Lock()
		cut, gone, changed := r.cut[way] && !r.closed, k.ended, r.changed
		r.mu.Unlock()
		if gone || !cut {
			return !gone
		}
		<-changed
	}
}

// matchTrap looks whether a trap strikes, with the relay's lock held.
func (k *relayedConn) matchTrap(way Direction, b []byte, passed int) (TrapAction, bool) {
	for _, t := range k.relay.traps {
		if t.direction != way || t.remaining == 0 {
			continue
		}
		if t.token != nil && !bytes.Contains(b, t.token) || t.token == nil && passed < t.afterBytes {
			continue
		}
		if t.remaining > 0 {
			t.remaining--
		}
		if t.onHit != nil {
			t.onHit()
		}
		return t.action, true
	}
	return 0, false
}
