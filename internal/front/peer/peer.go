// Package peer is a viewer's connection as both fronts know it: an actor that
// writes what is in its mailbox, and a loop that accepts within a limit and
// closes what only takes up room.
package peer

import (
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"millethinge/internal/mailbox"
)

const (
	// paceBytes may wait for a connection's reader before no more is read from
	// it: a client that asks faster than it listens is slowed down, not closed.
	paceBytes = 64 << 10
	// mostBytes bounds all that may wait, what others cause among it, such as the
	// ends of sessions. A reader that lets more wait loses its connection.
	mostBytes = 4 << 20
	// writeTime is how long a reader may take for paceBytes.
	writeTime = 2 * time.Second
	// lingerTime and lingerBytes bound what is still read, and thrown away, of a
	// connection that is closed after an answer: a close over unread bytes would
	// reset it and take the answers along that are on their way.
	lingerTime  = 200 * time.Millisecond
	lingerBytes = 256 << 10
	// wordTime is how long a connection may take to send a whole message, and how
	// long one that is owed no answer may go without any word of ours.
	wordTime  = 2 * time.Second
	idleTime  = 30 * time.Second // without a message, and with no set-up open and no session of its standing
	watchTime = 100 * time.Millisecond
	// behindTime is how long what a client says may wait to be handled before it is taken
	// for one that may have gone, and how long all of it is to be handled until it isn't.
	behindTime = 20 * time.Millisecond
	// freshTime is how long one that has sent nothing keeps its place whatever comes.
	freshTime = 50 * time.Millisecond
	// settleTime is how long answers are waited for at the end: who gives them has
	// been asked to give them at once.
	settleTime  = 500 * time.Millisecond
	acceptAfter = 10 * time.Millisecond // an error of the listener's
)

// DefaultMaxSetups is how many set-ups may be open on one connection.
const DefaultMaxSetups = 128

// Conn is one connection. Its owner reads; what is Put is written by an actor.
type Conn struct {
	net.Conn
	Host   string // the address at the other end, without the port
	Addr   netip.Addr
	log    *zap.Logger
	out    *mailbox.Box[[]byte]
	gone   chan struct{}
	finish chan struct{}
	unread chan struct{} // closed once nobody reads any more
	bye    atomic.Pointer[[]byte]
	once   sync.Once
	ending sync.Once

	waiting atomic.Int64  // bytes that were put and are not written
	written chan struct{} // receives when some have been
	paused  atomic.Bool   // the owner waits for that before it reads on
	drained bool          // the owner's: the last Read left nothing behind

	came  time.Time
	begun atomic.Int64 // when the message under way began, after came; 0: none is
	whole atomic.Int64 // when the last whole message had come, after came
	left  atomic.Bool  // its owner reads no more: its client has closed it, or it broke
	told  atomic.Bool  // something was put
	known atomic.Bool  // a session of its stands or stood

	standing atomic.Int32 // sessions that were set up on it and stand

	gate Gate // nil: clients are always taken

	mu     sync.Mutex
	open   map[uint64]struct{} // set-ups that are owed an answer
	most   int                 // of them at once
	behind bool                // more has come than is handled
	since  time.Time           // that is so, but for moments
	until  time.Time           // it was last so
}

// Gate tells whether clients are taken. All connections ask it, at any time.
type Gate interface {
	// Takes tells what a test is answered.
	AcceptsClients() bool
	// LetsGo tells whether a connection is closed that is owed nothing and has sent
	// nothing for a time. holds: sessions that were set up on it stand.
	ClosesIdle(now time.Time, idle time.Duration, holds bool) bool
	// Refuses tells whether a new request is refused unheard.
	RefusesSetups(now time.Time) bool
}

func newConn(nc net.Conn, open int, gate Gate, log *zap.Logger) *Conn {
	host, _, _ := net.SplitHostPort(nc.RemoteAddr().String())
	if open <= 0 {
		open = DefaultMaxSetups
	}
	var addr netip.Addr
	if tcp, ok := nc.RemoteAddr().(*net.TCPAddr); ok {
		addr = tcp.AddrPort().Addr()
	}
	c := &Conn{
		Conn: nc, Host: host, Addr: addr, log: log, out: mailbox.New[[]byte](math.MaxInt), // bounded by waiting
		gone: make(chan struct{}), finish: make(chan struct{}), unread: make(chan struct{}), came: time.Now(),
		written: make(chan struct{}, 1),
		open:    make(map[uint64]struct{}), most: open, gate: gate,
	}
	c.begun.Store(1)
	return c
}

// MessageRead tells that a message has been read, and whether a part of the next one
// has come with it.
func (c *Conn) MessageRead(more bool) {
	now := int64(time.Since(c.came)) + 1
	c.whole.Store(now)
	if !more {
		now = 0
	}
	c.begun.Store(now)
}

// Read notes when a message begins. Its owner calls it once all that was read before is
// handled.
func (c *Conn) Read(b []byte) (int, error) {
	if c.drained && c.behind { // the owner alone changes it
		c.late(false)
	}
	n, err := c.Conn.Read(b)
	if c.drained = n < len(b); !c.drained { // there may be more
		c.late(true)
	}
	if n > 0 {
		c.begun.CompareAndSwap(0, int64(time.Since(c.came))+1)
	}
	return n, err
}

// late notes that more may have come than is handled, or that all is.
func (c *Conn) late(behind bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if !c.behind && now.Sub(c.until) > behindTime {
		c.since = now
	}
	c.behind, c.until = behind, now
}

// unheard tells whether its client has been behind for so long that it may have gone. Guard:
// one that goes on sending has more under way when all that has come is handled for a
// moment. mu is held.
func (c *Conn) unheard(now time.Time) bool {
	if c.behind {
		return now.Sub(c.since) > behindTime
	}
	return c.until.Sub(c.since) > behindTime && now.Sub(c.until) <= behindTime
}

// MarkReadEnded notes that its owner reads no more, whatever ended that. The owner calls it before
// it tells others, who may ask Gone.
func (c *Conn) MarkReadEnded() { c.left.Store(true) }

// Throttle waits until the reader of what was Put has caught up. The owner calls it
// before it reads on, so that what waits for a connection is bounded by what it
// is sent, and not by what it sends. False: the connection is gone.
func (c *Conn) Throttle() bool {
	if c.waiting.Load() <= paceBytes {
		return true
	}
	c.paused.Store(true)
	c.late(true)
	c.drained = false
	for c.waiting.Load() > paceBytes {
		select {
		case <-c.written:
		case <-c.gone:
			return false
		}
	}
	if c.begun.Load() > 0 { // what is here already did not come slowly
		c.begun.Store(int64(time.Since(c.came)) + 1)
	}
	c.paused.Store(false)
	return true
}

// AcceptsClients tells what a test on this connection is answered.
func (c *Conn) AcceptsClients() bool { return c.gate == nil || c.gate.AcceptsClients() }

// OpenSetup counts a set-up as open until Answered. False: too many are, the
// connection is about to close and could not carry the answer, or clients have been
// sent away for so long that no more are heard.
func (c *Conn) OpenSetup(id uint64) bool {
	select {
	case <-c.finish:
		return false
	default:
	}
	if c.gate != nil && c.gate.RefusesSetups(time.Now()) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, same := c.open[id]; !same && len(c.open) >= c.most {
		return false
	}
	c.open[id] = struct{}{}
	return true
}

// CloseSetup ends what Opened began: the set-up is owed no answer any more, whether it has
// had it or its client has cancelled it.
func (c *Conn) CloseSetup(id uint64) {
	c.mu.Lock()
	delete(c.open, id)
	c.mu.Unlock()
}

// Gone tells whether the client has closed the connection, or waits no more for a set-up
// of that id. Guard: nor is anything begun for one that may have: while the connection is
// not read from, or more comes than is handled, a release may be among it.
func (c *Conn) Gone(id uint64) bool {
	select {
	case <-c.gone:
		return true
	default:
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_, open := c.open[id]
	return c.left.Load() || !open || c.unheard(time.Now())
}

// owes tells whether a set-up is open.
func (c *Conn) owes() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open) > 0
}

// shut lets no more set-ups open if nothing is owed: none is open, and all answers are
// written. Guard: between a look at a connection and its close a set-up may open, which
// would go down with it.
func (c *Conn) shut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) > 0 || c.waiting.Load() > 0 {
		return false
	}
	c.most = 0
	return true
}

// bar lets no more set-ups open, and tells whether any is.
func (c *Conn) bar() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.most = 0
	return len(c.open) > 0
}

// MarkHadSession marks a connection whose client has had a session.
func (c *Conn) MarkHadSession() { c.known.Store(true) }

// SessionEstablished counts a session that stands by a set-up on this connection, and Fell one that
// no longer does.
func (c *Conn) SessionEstablished() { c.standing.Add(1) }
func (c *Conn) SessionEnded()       { c.standing.Add(-1) }

// HadSession tells whether its client has had a session.
func (c *Conn) HadSession() bool { return c.known.Load() }

// drips is why a connection is closed also where set-ups are open on it.
const drips = "no whole message"

// overdue tells why a connection is to be closed by now.
func (c *Conn) overdue(now time.Time) string {
	age := now.Sub(c.came)
	begun, whole := time.Duration(c.begun.Load()), time.Duration(c.whole.Load())
	switch {
	case c.paused.Load(): // nothing is read of it: the writer's time counts
		return ""
	case begun > 0 && age-begun > wordTime:
		return drips
	case c.owes():
		return ""
	case begun == 0 && c.gate != nil && c.gate.ClosesIdle(now, age-whole, c.standing.Load() > 0):
		return "clients are sent away"
	case !c.told.Load() && !c.HadSession() && age > wordTime:
		return "nothing to answer"
	case age-whole > idleTime && c.standing.Load() <= 0:
		return "idle"
	}
	return ""
}

// Send queues bytes. A reader that lets too many wait loses its connection.
func (c *Conn) Send(b []byte) bool {
	select {
	case <-c.gone:
		return false
	case <-c.finish:
		return false
	default:
	}
	if n := c.waiting.Add(int64(len(b))); n > mostBytes {
		c.slow("too much waits for it")
		return false
	}
	c.told.Store(true)
	c.out.Force(b)
	return true
}

// slow closes the connection of a reader that does not keep up.
func (c *Conn) slow(why string) {
	c.once.Do(func() {
		c.log.Info("connection closed: its reader is slow", zap.String("from", c.Host),
			zap.String("why", why), zap.Int64("bytes_waiting", c.waiting.Load()))
		c.end()
	})
}

// SetFarewell sets what is written last when the program ends.
func (c *Conn) SetFarewell(b []byte) { c.bye.Store(&b) }

// CloseAfterWrites closes the connection once what is queued is written.
func (c *Conn) CloseAfterWrites() { c.ending.Do(func() { close(c.finish) }) }

// Close ends the connection at once.
func (c *Conn) Close() error {
	c.once.Do(c.end)
	return nil
}

// end takes nothing more, closes the descriptor, and tells that it is free.
func (c *Conn) end() {
	c.CloseAfterWrites()
	c.Conn.Close()
	close(c.gone)
}

// write is the actor that writes what was Put.
func (c *Conn) write(ctx context.Context) {
	defer c.Close()
	var batch [][]byte
	var joined []byte
	for last := false; !last; {
		select {
		case <-c.gone:
			return
		case <-c.finish:
			last = true
		case <-ctx.Done():
			last = true
		case <-c.out.Ready():
		}
		batch = c.out.Take(batch)
		if ctx.Err() != nil {
			last = true
			if bye := c.bye.Load(); bye != nil {
				c.waiting.Add(int64(len(*bye)))
				batch = append(batch, *bye)
			}
		}
		joined = joined[:0]
		for i, b := range batch {
			joined = append(joined, b...)
			if len(joined) < paceBytes && i < len(batch)-1 {
				continue
			}
			if !c.flush(joined) {
				return
			}
			joined = joined[:0]
		}
		if cap(joined) > 2*paceBytes {
			joined = nil // one long burst is no reason to keep its room
		}
	}
	c.linger()
}

// flush writes b in pieces, each within writeTime.
func (c *Conn) flush(b []byte) bool {
	for len(b) > 0 {
		piece := b[:min(len(b), paceBytes)]
		if err := c.SetWriteDeadline(time.Now().Add(writeTime)); err != nil {
			return false
		}
		if _, err := c.Conn.Write(piece); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				c.slow("it took nothing in time")
			}
			return false
		}
		c.waiting.Add(-int64(len(piece)))
		select {
		case c.written <- struct{}{}:
		default:
		}
		b = b[len(piece):]
	}
	return true
}

// linger closes for writing and reads on for a moment, so that the last answers
// arrive. A connection that was told nothing has none.
func (c *Conn) linger() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	select {
	case <-c.unread:
	default:
		return // its owner reads still
	}
	if !ok || !c.told.Load() || half.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	io.CopyN(io.Discard, c.Conn, lingerBytes)
}

// room is the connections that are open on one listener.
type room struct {
	Limits
	mu  sync.Mutex
	all map[*Conn]bool
}

// Limits is what one listener's connections may take up.
type Limits struct {
	MaxConns          int         // connections at once
	MaxConnsInUpgrade int         // of them while Shared says so
	UpgradeInProgress func() bool // another process has its half of the descriptors; nil: none ever has
	MaxSetups         int         // set-ups open on each; 0: DefaultOpen
	Gate              Gate        // nil: clients are always taken
}

// full tells whether there is no place for one more.
func (r *room) full() bool {
	most := r.MaxConns
	if r.UpgradeInProgress != nil && r.UpgradeInProgress() {
		most = r.MaxConnsInUpgrade
	}
	return len(r.all) >= most
}

// enter makes room for c. A full room loses the connections that are missed
// least; if all are owed something, c can't enter.
func (r *room) enter(c *Conn) bool {
	for {
		entered, wait := r.try(c)
		if wait <= 0 {
			return entered
		}
		time.Sleep(wait)
	}
}

// try enters c, or tells for how long it has to wait.
func (r *room) try(c *Conn) (entered bool, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.full() { // by more than one once another process has half
		if yielded, wait := r.yield(); !yielded {
			return false, wait
		}
	}
	r.all[c] = true
	return true, 0
}

// yield closes the connection that is missed least. False: all are owed something, or
// it has just come. Guard: in a rush each would otherwise lose its place to the next
// before its first request is read.
func (r *room) yield() (yielded bool, wait time.Duration) {
	for {
		var least *Conn
		for o := range r.all {
			if !o.owes() && o.waiting.Load() == 0 && (least == nil || o.before(least)) {
				least = o
			}
		}
		if least == nil {
			return false, 0
		}
		if wait := freshTime - time.Since(least.came); least.whole.Load() == 0 && wait > 0 {
			return false, wait
		}
		if least.shut() { // else a set-up has just come
			delete(r.all, least)
			least.Close()
			return true, 0
		}
	}
}

// want makes room where the machine gives no more descriptors.
func (r *room) want() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.yield()
}

// settle waits until no set-up is open, for settleTime at most.
func (r *room) settle() {
	for until := time.Now().Add(settleTime); time.Now().Before(until) && r.owe(); {
		time.Sleep(time.Millisecond)
	}
}

// owe lets no more set-ups open, and tells whether any is.
func (r *room) owe() (owe bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.all {
		owe = c.bar() || owe
	}
	return owe
}

// before tells whether c is missed less than o: no session of its client's stands, or it
// has had none, or it has been idle for longer. Guard: one that has just come is missed
// most of these, since its first request is on its way.
func (c *Conn) before(o *Conn) bool {
	if h := c.standing.Load() > 0; h != (o.standing.Load() > 0) {
		return !h
	}
	if k := c.HadSession(); k != o.HadSession() {
		return !k
	}
	return c.last().Before(o.last())
}

// last is when it last sent a whole message, or came.
func (c *Conn) last() time.Time { return c.came.Add(time.Duration(c.whole.Load())) }

func (r *room) leave(c *Conn) {
	r.mu.Lock()
	delete(r.all, c)
	r.mu.Unlock()
}

// watch closes what is overdue, until ctx ends.
func (r *room) watch(ctx context.Context, log *zap.Logger) error {
	tick := time.NewTicker(watchTime)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			r.mu.Lock()
			for c := range r.all {
				if why := c.overdue(now); why == drips || why != "" && c.shut() {
					log.Debug("viewer's connection closed", zap.String("from", c.Host), zap.String("why", why))
					c.CloseAfterWrites()
				}
			}
			r.mu.Unlock()
		}
	}
}

// Serve accepts until ctx ends and handles each connection until handle returns. Then
// it waits for the answers to the set-ups that are open, so whoever gives them is to
// end later.
func Serve(ctx context.Context, l net.Listener, limits Limits, log *zap.Logger, handle func(context.Context, *Conn)) error {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	live, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	group, live := errgroup.WithContext(live)
	r := &room{Limits: limits, all: make(map[*Conn]bool)}
	group.Go(func() error { return r.watch(live, log) })
	said := ""
	for {
		nc, err := l.Accept()
		if ctx.Err() != nil {
			if err == nil {
				nc.Close()
			}
			r.settle()
			end()
			return group.Wait()
		}
		if err != nil {
			if why := err.Error(); why != said { // it may go on for long
				log.Warn("accept", zap.Error(err))
				said = why
			}
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
				r.want()
			}
			time.Sleep(acceptAfter)
			continue
		}
		said = ""
		c := newConn(nc, limits.MaxSetups, limits.Gate, log)
		// Guard: descriptors beyond the viewers' part are not held, and those who
		// say nothing or stay for good lock nobody out.
		if !r.enter(c) {
			nc.Close()
			continue
		}
		group.Go(func() error { c.write(live); return nil })
		group.Go(func() error {
			// It takes up its place until its last answers are out as well.
			defer func() { <-c.gone; r.leave(c) }()
			defer c.CloseAfterWrites()
			defer close(c.unread)
			defer func() {
				// Guard: what one peer sends costs at most its connection.
				if p := recover(); p != nil {
					log.Error("connection handler", zap.Any("panic", p), zap.Stack("stack"))
				}
			}()
			handle(live, c)
			return nil
		})
	}
}
