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

	addr   string
	target func() (net.Conn, error)

	mu      sync.Mutex
	changed chan struct{} // closed and made anew with each change
	cut     [2]bool       // what leaves is held; no connection comes up
	delay   [2]time.Duration
	drip    [2]int // bytes a millisecond; 0: all at once
	traps   []*trap
	refuse  bool
	closed  bool
	holder  int // a socket that is bound and never listens: the port stays ours
	lis     *net.TCPListener
	blocked bool       // the listener's queue is kept full
	filler  []net.Conn // by these
	links   map[*link]bool
	opened  int
	group   sync.WaitGroup
}

// trap strikes when something passes.
type trap struct {
	way   Direction
	token []byte
	bytes int // or when so many have passed on one connection
	act   TrapAction
	left  int // how often it strikes yet; -1: always
	hit   func()
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
	r := &Relay{target: target, changed: make(chan struct{}), links: make(map[*link]bool)}
	fd, addr, err := hold()
	if err != nil {
		return nil, err
	}
	r.holder, r.addr = fd, addr
	if err := r.listen(); err != nil {
		syscall.Close(fd)
		return nil, err
	}
	return r, nil
}

// hold binds a socket that never listens to a free port, which stays ours until it is
// closed. Who listens there has to share it.
func hold() (fd int, addr string, err error) {
	fd, err = syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, "", fmt.Errorf("fleettest: socket: %w", err)
	}
	err = errorsOf(syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, soReusePort, 1), syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
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

func errorsOf(errs ...error) error {
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
	return r.opened
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
	r.lis = l.(*net.TCPListener)
	r.group.Go(func() { r.accept(r.lis) })
	return nil
}

func (r *Relay) accept(l *net.TCPListener) {
	for {
		c, err := l.AcceptTCP()
		r.mu.Lock()
		switch {
		case err == nil && r.isFiller(c):
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
		r.opened++
		k := &link{relay: r, near: c, number: r.opened}
		r.links[k] = true
		r.mu.Unlock()
		r.group.Go(k.run)
	}
}

// isFiller takes a connection out of those that fill the queue, if it is one.
func (r *Relay) isFiller(c net.Conn) bool {
	for i, f := range r.filler {
		if f.LocalAddr().String() == c.RemoteAddr().String() {
			f.Close()
			r.filler = append(r.filler[:i], r.filler[i+1:]...)
			return true
		}
	}
	return false
}

// change applies f and lets all that waits look again.
func (r *Relay) change(f func()) {
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
	r.change(func() {
		for _, w := range ways {
			r.cut[w] = true
		}
		r.block()
	})
}

// Heal ends a cut. What was held goes on its way.
func (r *Relay) Heal() {
	r.change(func() {
		r.cut = [2]bool{}
		if r.blocked && r.lis != nil {
			r.backlog(1 << 10)
			r.lis.SetDeadline(time.Time{})
		}
		r.blocked = false
	})
}

// block keeps connections from coming up: the listener's queue takes one, which is
// ours, and the kernel drops the first packet of all others. A connect that is
// refused or reset would tell more than a machine that is cut off does.
func (r *Relay) block() {
	if r.lis == nil || r.blocked {
		return
	}
	r.blocked = true
	r.lis.SetDeadline(time.Unix(1, 0))
	r.backlog(0)
	for range 2 { // a queue of length 0 takes one; the second makes sure that it is full
		c, err := net.DialTimeout("tcp4", r.addr, 50*time.Millisecond)
		if err != nil {
			break
		}
		r.filler = append(r.filler, c)
	}
}

// backlog sets the length of the listener's queue anew.
func (r *Relay) backlog(n int) {
	raw, err := r.lis.SyscallConn()
	if err == nil {
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), n) })
	}
}

// Refuse has connects refused, as where no process listens, and resets what is
// open. Accept ends it.
func (r *Relay) Refuse() {
	r.change(func() {
		r.refuse = true
		if r.lis != nil {
			r.lis.Close()
			r.lis, r.blocked = nil, false
		}
		r.reset()
	})
}

// StopRefusing takes connections again after Refuse.
func (r *Relay) StopRefusing() error {
	var err error
	r.change(func() {
		if r.refuse {
			r.refuse = false
			if err = r.listen(); err == nil && (r.cut[ToTarget] || r.cut[FromTarget]) {
				r.block()
			}
		}
	})
	return err
}

// Reset breaks all that is open. What is on its way is lost.
func (r *Relay) Reset() { r.change(r.reset) }

func (r *Relay) reset() {
	for k := range r.links {
		k.reset()
	}
}

// Delay has all that leaves in a direction arrive so much later, in order.
func (r *Relay) Delay(way Direction, d time.Duration) { r.change(func() { r.delay[way] = d }) }

// Throttle lets so many bytes a millisecond through in a direction; 0: all.
func (r *Relay) Throttle(way Direction, bytes int) { r.change(func() { r.drip[way] = bytes }) }

// Trap does act to each of the next n connections on which token passes in a
// direction; with n under 0 to all. hit, if not nil, is called each time.
func (r *Relay) Trap(way Direction, token string, n int, act TrapAction, hit func()) {
	r.change(func() { r.traps = append(r.traps, &trap{way: way, token: []byte(token), left: n, act: act, hit: hit}) })
}

// TrapAt is Trap at the first piece that takes a connection past so many bytes.
func (r *Relay) TrapAt(way Direction, bytes, n int, act TrapAction) {
	r.change(func() { r.traps = append(r.traps, &trap{way: way, bytes: bytes, left: n, act: act}) })
}

// Untrap takes all traps back.
func (r *Relay) Untrap() { r.change(func() { r.traps = nil }) }

// Close ends the relay and all that is open on it.
func (r *Relay) Close() {
	r.change(func() {
		if r.lis != nil {
			r.lis.Close()
			r.lis = nil
		}
		for _, c := range r.filler {
			c.Close()
		}
		r.reset()
		syscall.Close(r.holder)
	})
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.group.Wait()
}

// link is one connection through a relay.
type link struct {
	relay  *Relay
	number int
	near   *net.TCPConn
	far    *net.TCPConn
	gone   bool // under the relay's lock
	mute   [2]bool
}

// reset is called with the relay's lock held.
func (k *link) reset() {
	k.gone = true
	for _, c := range []*net.TCPConn{k.near, k.far} {
		if c != nil {
			c.SetLinger(0)
			c.Close()
		}
	}
}

func (k *link) run() {
	r := k.relay
	defer func() {
		r.mu.Lock()
		delete(r.links, k)
		r.mu.Unlock()
	}()
	c, err := r.target()
	r.mu.Lock()
	if err != nil || k.gone {
		k.reset()
		r.mu.Unlock()
		if c != nil {
			c.Close()
		}
		return
	}
	k.far = c.(*net.TCPConn)
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { k.carry(ToTarget, k.near, k.far) })
	both.Go(func() { k.carry(FromTarget, k.far, k.near) })
	both.Wait()
	k.near.Close()
	k.far.Close()
}

// piece is what was read at once; end: why nothing follows.
type piece struct {
	b   []byte
	at  time.Time
	end error
}

// carry passes on what leaves in one direction until that ends. It reads ahead of
// what is held, as a network's buffers do, so that what a party wrote is seen when
// it wrote it.
func (k *link) carry(way Direction, from, to *net.TCPConn) {
	r := k.relay
	queue := make(chan piece, 1<<12)
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
			case queue <- piece{b[:n], time.Now(), err}:
			case <-done:
			}
			if err != nil {
				return
			}
		}
	}()
	passed := 0
	for p := range queue {
		if passed += len(p.b); len(p.b) > 0 && !k.pass(way, to, p, passed) {
			return
		}
		if p.end == nil {
			continue
		}
		k.wait(way)
		r.mu.Lock()
		switch {
		case k.gone:
		case p.end == io.EOF:
			to.CloseWrite()
		default:
			k.reset()
		}
		r.mu.Unlock()
		return
	}
}

// pass sends a piece on by what holds at the moment. False: the link is gone.
func (k *link) pass(way Direction, to *net.TCPConn, p piece, passed int) bool {
	r, b := k.relay, p.b
	r.mu.Lock()
	delay, drip := r.delay[way], r.drip[way]
	act, struck := k.strike(way, b, passed)
	if struck {
		switch act {
		case ResetBefore:
			k.reset()
		case CloseBefore:
			k.gone = true
			k.near.Close()
			k.far.Close()
		case Mute:
			k.mute[way] = true
		}
	}
	mute, gone := k.mute[way], k.gone
	r.mu.Unlock()
	if gone {
		return false
	}
	if mute {
		return true
	}
	if delay > 0 {
		time.Sleep(time.Until(p.at.Add(delay)))
	}
	if !k.wait(way) {
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

// wait holds while a direction is cut. False: the link is gone.
func (k *link) wait(way Direction) bool {
	r := k.relay
	for {
		r.mu.Lock()
		cut, gone, changed := r.cut[way] && !r.closed, k.gone, r.changed
		r.mu.Unlock()
		if gone || !cut {
			return !gone
		}
		<-changed
	}
}

// strike looks whether a trap strikes, with the relay's lock held.
func (k *link) strike(way Direction, b []byte, passed int) (TrapAction, bool) {
	for _, t := range k.relay.traps {
		if t.way != way || t.left == 0 {
			continue
		}
		if t.token != nil && !bytes.Contains(b, t.token) || t.token == nil && passed < t.bytes {
			continue
		}
		if t.left > 0 {
			t.left--
		}
		if t.hit != nil {
			t.hit()
		}
		return t.act, true
	}
	return 0, false
}
