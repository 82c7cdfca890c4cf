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

// Directions as seen from the side that opens the connections.
const (
	ToTarget   Direction = iota // from the side that connects
	FromTarget                  // to the side that connects
)

func (d Direction) String() string { return [...]string{"out", "back"}[d] }

// Relay carries the connections of one pair of parties, such as a manager and a node, and puts
// faults between them. It accepts connections at an address of its own and opens one to the target
// for each. Each fault lasts until it is ended; a fault of one direction does not affect the other.
//
// When one side closes, the relay closes the other in the same way: what was written before the
// close still arrives, and a reset arrives as a reset.
type Relay struct {
	// OnData is called with each piece of data that either side of connection number conn sends,
	// before it is forwarded, and with nil when that side ends. It must not block. It may be nil.
	OnData func(conn int, direction Direction, b []byte)

	addr       string
	dialTarget func() (net.Conn, error)

	mu            sync.Mutex
	changed       chan struct{} // closed and replaced at each change of a fault
	cut           [2]bool       // data is held and no connection is established
	delay         [2]time.Duration
	bytesPerMs    [2]int // 0: no limit
	traps         []*trap
	refusing      bool
	closed        bool
	portHolder    int // a socket that is bound and never listens, which reserves the port
	listener      *net.TCPListener
	queueFilled   bool       // the listener's accept queue is kept full
	acceptPaused  bool       // accept waits for the end of a cut
	queueFillers  []net.Conn // the connections that fill it
	conns         map[*relayedConn]bool
	connsAccepted int
	goroutines    sync.WaitGroup
}

// trap acts on a connection when certain data passes.
type trap struct {
	direction  Direction
	token      []byte // that triggers it
	afterBytes int    // triggers it instead, once so many bytes have passed on one connection
	action     TrapAction
	remaining  int // how many more times it acts; -1: no limit
	onHit      func()
}

// TrapAction is what a trap does to the connection that triggers it.
type TrapAction int

// Actions of traps.
const (
	ResetBefore TrapAction = iota // the triggering data is lost, and both sides see a reset
	CloseBefore                   // the triggering data is lost, and both sides see an ordinary close
	Mute                          // the triggering data and all after it in this direction is lost; the connection stays open
	ResetAfter                    // the triggering data is forwarded, then both sides see a reset
)

// NewRelay returns a relay that listens on loopback and opens its onward connections with target.
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

// holdPort reserves a free port by a bound socket that never listens, until the socket is closed.
// Listeners on that port have to set SO_REUSEPORT.
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

// soReusePort is SO_REUSEPORT, which lets a listener share its port with the socket that reserves
// it.
const soReusePort = 0xf

// firstError returns the first error that is not nil.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// Addr returns the address at which the relay accepts. No fault changes it.
func (r *Relay) Addr() string { return r.addr }

// ConnsAccepted returns how many connections have been accepted so far.
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
	r.listener, r.acceptPaused = l.(*net.TCPListener), false
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
		case err != nil && os.IsTimeout(err): // cut: accept nothing until that changes
			changed := r.changed
			if !r.isCut() {
				l.SetDeadline(time.Time{})
				r.mu.Unlock()
				continue
			}
			r.acceptPaused = true
			r.mu.Unlock()
			<-changed
			continue
		case err != nil:
			r.mu.Unlock()
			return
		}
		r.connsAccepted++
		rc := &relayedConn{relay: r, client: c, number: r.connsAccepted}
		r.conns[rc] = true
		r.mu.Unlock()
		r.goroutines.Go(rc.run)
	}
}

// takeQueueFiller reports whether a connection is one of the queue fillers, and if so closes and
// forgets it. r.mu must be held.
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

// update applies f to an open relay and wakes the goroutines that wait for a change.
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

// Cut holds the data of some directions and establishes no new connection, as when a machine or a
// cable vanishes: neither side is told.
func (r *Relay) Cut(directions ...Direction) {
	r.update(func() {
		for _, w := range directions {
			r.cut[w] = true
		}
	})
	r.fillQueue()
}

// isCut reports whether a direction is cut. r.mu must be held.
func (r *Relay) isCut() bool { return r.cut[ToTarget] || r.cut[FromTarget] }

// Heal ends a cut. Data that was held is forwarded.
func (r *Relay) Heal() {
	r.update(func() {
		r.cut = [2]bool{}
		if r.queueFilled && r.listener != nil {
			r.setBacklog(1 << 10)
			r.listener.SetDeadline(time.Time{})
		}
		r.queueFilled, r.acceptPaused = false, false
	})
}

// fillQueue keeps connections from being established while the relay is cut: one connection of the
// relay fills the accept queue, and the kernel drops the first packet of all others. Refusing or
// resetting them would tell the peer more than a machine that is cut off does.
//
// Guard: the queue is filled only once accept has stopped. An accept under way would take the
// connection that fills it.
func (r *Relay) fillQueue() {
	for r.stopAccepting() {
		time.Sleep(time.Millisecond)
	}
	r.update(r.fillStoppedQueue)
}

// stopAccepting makes accept stop, and reports whether to wait for that.
func (r *Relay) stopAccepting() (wait bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.listener == nil || r.queueFilled || !r.isCut() || r.acceptPaused {
		return false
	}
	r.listener.SetDeadline(time.Unix(1, 0))
	return true
}

// fillStoppedQueue fills the queue of a listener that is not accepted from. r.mu must be held.
func (r *Relay) fillStoppedQueue() {
	if r.listener == nil || r.queueFilled || !r.isCut() {
		return
	}
	r.queueFilled = true
	r.setBacklog(0)
	for range 2 { // a queue of length 0 takes one; the second makes sure that it is full
		c, err := net.DialTimeout("tcp4", r.addr, 50*time.Millisecond)
		if err != nil {
			break
		}
		r.queueFillers = append(r.queueFillers, c)
	}
}

// setBacklog changes the length of the accept queue.
func (r *Relay) setBacklog(n int) {
	raw, err := r.listener.SyscallConn()
	if err == nil {
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), n) })
	}
}

// Refuse refuses connections, as when no process listens, and resets the open ones. StopRefusing
// ends it.
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

// StopRefusing accepts connections again after Refuse.
func (r *Relay) StopRefusing() error {
	var err error
	r.update(func() {
		if r.refusing {
			r.refusing = false
			err = r.listen()
		}
	})
	if err == nil {
		r.fillQueue()
	}
	return err
}

// Reset resets all open connections. Data in transit is lost.
func (r *Relay) Reset() { r.update(r.resetAll) }

// resetAll is Reset with r.mu held.
func (r *Relay) resetAll() {
	for rc := range r.conns {
		rc.reset()
	}
}

// Delay delays the data of a direction by d, in order.
func (r *Relay) Delay(direction Direction, d time.Duration) {
	r.update(func() { r.delay[direction] = d })
}

// Throttle limits a direction to so many bytes a millisecond; 0: no limit.
func (r *Relay) Throttle(direction Direction, bytes int) {
	r.update(func() { r.bytesPerMs[direction] = bytes })
}

// Trap does action to each of the next n connections on which token passes in a direction; if n is
// negative, to all. hit, if not nil, is called each time. A token that is split between two reads
// is not found.
func (r *Relay) Trap(direction Direction, token string, n int, action TrapAction, hit func()) {
	r.update(func() {
		r.traps = append(r.traps, &trap{direction: direction, token: []byte(token), remaining: n, action: action, onHit: hit})
	})
}

// TrapAt is like Trap, but is triggered by the first piece of data that takes a connection past so
// many bytes.
func (r *Relay) TrapAt(direction Direction, bytes, n int, action TrapAction) {
	r.update(func() {
		r.traps = append(r.traps, &trap{direction: direction, afterBytes: bytes, remaining: n, action: action})
	})
}

// Untrap removes all traps.
func (r *Relay) Untrap() { r.update(func() { r.traps = nil }) }

// Close stops the relay and resets its connections.
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
	client *net.TCPConn // the accepted side
	server *net.TCPConn // the side opened to the target; nil until then
	ended  bool         // guarded by the relay's mutex, like muted
	muted  [2]bool
}

// reset resets both sides. The relay's mutex must be held.
func (rc *relayedConn) reset() {
	rc.ended = true
	for _, c := range []*net.TCPConn{rc.client, rc.server} {
		if c != nil {
			c.SetLinger(0)
			c.Close()
		}
	}
}

// run opens the onward connection and forwards until both directions have ended.
func (rc *relayedConn) run() {
	r := rc.relay
	defer func() {
		r.mu.Lock()
		delete(r.conns, rc)
		r.mu.Unlock()
	}()
	c, err := r.dialTarget()
	r.mu.Lock()
	if err != nil || rc.ended {
		rc.reset()
		r.mu.Unlock()
		if c != nil {
			c.Close()
		}
		return
	}
	rc.server = c.(*net.TCPConn)
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { rc.forward(ToTarget, rc.client, rc.server) })
	both.Go(func() { rc.forward(FromTarget, rc.server, rc.client) })
	both.Wait()
	rc.client.Close()
	rc.server.Close()
}

// chunk is the result of one read. A non-nil err means that nothing follows.
type chunk struct {
	data   []byte
	readAt time.Time
	err    error
}

// forward forwards one direction until it ends. It reads ahead while data is held, as the buffers
// of a network do, so that OnData sees data when a party writes it.
func (rc *relayedConn) forward(direction Direction, from, to *net.TCPConn) {
	r := rc.relay
	queue := make(chan chunk, 1<<12)
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			b := make([]byte, 4<<10)
			n, err := from.Read(b)
			if r.OnData != nil && n > 0 {
				r.OnData(rc.number, direction, b[:n])
			}
			if r.OnData != nil && err != nil {
				r.OnData(rc.number, direction, nil)
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
	for c := range queue {
		if passed += len(c.data); len(c.data) > 0 && !rc.forwardChunk(direction, to, c, passed) {
			return
		}
		if c.err == nil {
			continue
		}
		rc.waitWhileCut(direction)
		r.mu.Lock()
		switch {
		case rc.ended:
		case c.err == io.EOF:
			to.CloseWrite()
		default:
			rc.reset()
		}
		r.mu.Unlock()
		return
	}
}

// forwardChunk forwards a chunk under the faults of the moment. It returns false if the connection
// has ended. passed is the number of bytes up to the end of the chunk.
func (rc *relayedConn) forwardChunk(direction Direction, to *net.TCPConn, c chunk, passed int) bool {
	r, b := rc.relay, c.data
	r.mu.Lock()
	delay, bytesPerMs := r.delay[direction], r.bytesPerMs[direction]
	action, struck := rc.matchTrap(direction, b, passed)
	if struck {
		switch action {
		case ResetBefore:
			rc.reset()
		case CloseBefore:
			rc.ended = true
			rc.client.Close()
			rc.server.Close()
		case Mute:
			rc.muted[direction] = true
		}
	}
	muted, ended := rc.muted[direction], rc.ended
	r.mu.Unlock()
	if ended {
		return false
	}
	if muted {
		return true
	}
	if delay > 0 {
		time.Sleep(time.Until(c.readAt.Add(delay)))
	}
	if !rc.waitWhileCut(direction) {
		return false
	}
	for len(b) > 0 {
		n := len(b)
		if bytesPerMs > 0 {
			n = min(n, bytesPerMs)
			time.Sleep(time.Millisecond)
		}
		if _, err := to.Write(b[:n]); err != nil {
			r.mu.Lock()
			rc.reset()
			r.mu.Unlock()
			return false
		}
		b = b[n:]
	}
	if struck && action == ResetAfter {
		r.mu.Lock()
		rc.reset()
		r.mu.Unlock()
		return false
	}
	return true
}

// waitWhileCut blocks while a direction is cut. It returns false if the connection has ended.
func (rc *relayedConn) waitWhileCut(direction Direction) bool {
	r := rc.relay
	for {
		r.mu.Lock()
		cut, ended, changed := r.cut[direction] && !r.closed, rc.ended, r.changed
		r.mu.Unlock()
		if ended || !cut {
			return !ended
		}
		<-changed
	}
}

// matchTrap returns the action of the first trap that the data triggers, and whether there is one.
// The relay's mutex must be held.
func (rc *relayedConn) matchTrap(direction Direction, b []byte, passed int) (TrapAction, bool) {
	for _, t := range rc.relay.traps {
		if t.direction != direction || t.remaining == 0 {
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
