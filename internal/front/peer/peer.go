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
	// throttleBytes may wait for a connection's reader before no more is read from
	// it: a client that asks faster than it listens is slowed down, not closed.
	throttleBytes = 64 << 10
	// maxPendingBytes bounds all that may wait, what others cause among it, such as the
	// ends of sessions. A reader that lets more wait loses its connection.
	maxPendingBytes = 4 << 20
	// writeTimeout is how long a reader may take for paceBytes.
	writeTimeout = 2 * time.Second
	// lingerTimeout and lingerBytes bound what is still read, and thrown away, of a
	// connection that is closed after an answer: a close over unread bytes would
	// reset it and take the answers along that are on their way.
	lingerTimeout  = 200 * time.Millisecond
	maxLingerBytes = 256 << 10
	// messageTimeout is how long a connection may take to send a whole message, and how
	// long one that is owed no answer may go without any word of ours.
	messageTimeout = 2 * time.Second
	idleTimeout    = 30 * time.Second // without a message, and with no set-up open and no session of its standing
	watchInterval  = 100 * time.Millisecond
	// maxInputLag is how long what a client says may wait to be handled before it is taken
	// for one that may have gone, and how long all of it is to be handled until it isn't.
	maxInputLag = 20 * time.Millisecond
	// newConnGrace is how long one that has sent nothing keeps its place whatever comes.
	newConnGrace = 50 * time.Millisecond
	// shutdownTimeout is how long answers are waited for at the end: who gives them has
	// been asked to give them at once.
	shutdownTimeout  = 500 * time.Millisecond
	acceptRetryDelay = 10 * time.Millisecond // an error of the listener's
)

// DefaultMaxSetups is how many set-ups may be open on one connection.
const DefaultMaxSetups = 128

// Conn is one connection. Its owner reads; what is Put is written by an actor.
type Conn struct {
	net.Conn
	Host        string // the address at the other end, without the port
	Addr        netip.Addr
	log         *zap.Logger
	queue       *mailbox.Box[[]byte]
	closed      chan struct{}
	closing     chan struct{}
	readerDone  chan struct{} // closed once nobody reads any more
	farewell    atomic.Pointer[[]byte]
	closeOnce   sync.Once
	closingOnce sync.Once

	pendingBytes  atomic.Int64  // bytes that were put and are not written
	writeProgress chan struct{} // receives when some have been
	throttled     atomic.Bool   // the owner waits for that before it reads on
	inputEmpty    bool          // the owner's: the last Read left nothing behind

	acceptedAt   time.Time
	messageStart atomic.Int64 // when the message under way began, after came; 0: none is
	lastMessage  atomic.Int64 // when the last whole message had come, after came
	readEnded    atomic.Bool  // its owner reads no more: its client has closed it, or it broke
	anySent      atomic.Bool  // something was put
	hadSession   atomic.Bool  // a session of its stands or stood

	sessions atomic.Int32 // sessions that were set up on it and stand

	gate Gate // nil: clients are always taken

	mu         sync.Mutex
	openSetups map[uint64]struct{} // set-ups that are owed an answer
	maxSetups  int                 // of them at once
	lagging    bool                // more has come than is handled
	lagStart   time.Time           // that is so, but for moments
	lagUpdated time.Time           // it was last so
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

func newConn(nc net.Conn, maxSetups int, gate Gate, log *zap.Logger) *Conn {
	host, _, _ := net.SplitHostPort(nc.RemoteAddr().String())
	if maxSetups <= 0 {
		maxSetups = DefaultMaxSetups
	}
	var address netip.Addr
	if tcp, ok := nc.RemoteAddr().(*net.TCPAddr); ok {
		address = tcp.AddrPort().Addr()
	}
	c := &Conn{
		Conn: nc, Host: host, Addr: address, log: log, queue: mailbox.New[[]byte](math.MaxInt), // bounded by waiting
		closed: make(chan struct{}), closing: make(chan struct{}), readerDone: make(chan struct{}), acceptedAt: time.Now(),
		writeProgress: make(chan struct{}, 1),
		openSetups:    make(map[uint64]struct{}), maxSetups: maxSetups, gate: gate,
	}
	c.messageStart.Store(1)
	return c
}

// MessageRead tells that a message has been read, and whether a part of the next one
// has come with it.
func (c *Conn) MessageRead(partialNext bool) {
	now := int64(time.Since(c.acceptedAt)) + 1
	c.lastMessage.Store(now)
	if !partialNext {
		now = 0
	}
	c.messageStart.Store(now)
}

// Read notes when a message begins. Its owner calls it once all that was read before is
// handled.
func (c *Conn) Read(b []byte) (int, error) {
	if c.inputEmpty && c.lagging { // the owner alone changes it
		c.setLagging(false)
	}
	n, err := c.Conn.Read(b)
	if c.inputEmpty = n < len(b); !c.inputEmpty { // there may be more
		c.setLagging(true)
	}
	if n > 0 {
		c.messageStart.CompareAndSwap(0, int64(time.Since(c.acceptedAt))+1)
	}
	return n, err
}

// setLagging notes that more may have come than is handled, or that all is.
func (c *Conn) setLagging(lagging bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if !c.lagging && now.Sub(c.lagUpdated) > maxInputLag {
		c.lagStart = now
	}
	c.lagging, c.lagUpdated = lagging, now
}

// inputLags tells whether its client has been behind for so long that it may have gone. Guard:
// one that goes on sending has more under way when all that has come is handled for a
// moment. mu is held.
func (c *Conn) inputLags(now time.Time) bool {
	if c.lagging {
		return now.Sub(c.lagStart) > maxInputLag
	}
	return c.lagUpdated.Sub(c.lagStart) > maxInputLag && now.Sub(c.lagUpdated) <= maxInputLag
}

// MarkReadEnded notes that its owner reads no more, whatever ended that. The owner calls it before
// it tells others, who may ask Gone.
func (c *Conn) MarkReadEnded() { c.readEnded.Store(true) }

// Throttle waits until the reader of what was Put has caught up. The owner calls it
// before it reads on, so that what waits for a connection is bounded by what it
// is sent, and not by what it sends. False: the connection is gone.
func (c *Conn) Throttle() bool {
	if c.pendingBytes.Load() <= throttleBytes {
		return true
	}
	c.throttled.Store(true)
	c.setLagging(true)
	c.inputEmpty = false
	for c.pendingBytes.Load() > throttleBytes {
		select {
		case <-c.writeProgress:
		case <-c.closed:
			return false
		}
	}
	if c.messageStart.Load() > 0 { // what is here already did not come slowly
		c.messageStart.Store(int64(time.Since(c.acceptedAt)) + 1)
	}
	c.throttled.Store(false)
	return true
}

// AcceptsClients tells what a test on this connection is answered.
func (c *Conn) AcceptsClients() bool { return c.gate == nil || c.gate.AcceptsClients() }

// OpenSetup counts a set-up as open until Answered. False: too many are, the
// connection is about to close and could not carry the answer, or clients have been
// sent away for so long that no more are heard.
func (c *Conn) OpenSetup(id uint64) bool {
	select {
	case <-c.closing:
		return false
	default:
	}
	if c.gate != nil && c.gate.RefusesSetups(time.Now()) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, same := c.openSetups[id]; !same && len(c.openSetups) >= c.maxSetups {
		return false
	}
	c.openSetups[id] = struct{}{}
	return true
}

// CloseSetup ends what Opened began: the set-up is owed no answer any more, whether it has
// had it or its client has cancelled it.
func (c *Conn) CloseSetup(id uint64) {
	c.mu.Lock()
	delete(c.openSetups, id)
	c.mu.Unlock()
}

// Gone tells whether the client has closed the connection, or waits no more for a set-up
// of that id. Guard: nor is anything begun for one that may have: while the connection is
// not read from, or more comes than is handled, a release may be among it.
func (c *Conn) Gone(id uint64) bool {
	select {
	case <-c.closed:
		return true
	default:
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_, open := c.openSetups[id]
	return c.readEnded.Load() || !open || c.inputLags(time.Now())
}

// hasOpenSetups tells whether a set-up is open.
func (c *Conn) hasOpenSetups() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.openSetups) > 0
}

// sealIfUnused lets no more set-ups open if nothing is owed: none is open, and all answers are
// written. Guard: between a look at a connection and its close a set-up may open, which
// would go down with it.
func (c *Conn) sealIfUnused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.openSetups) > 0 || c.pendingBytes.Load() > 0 {
		return false
	}
	c.maxSetups = 0
	return true
}

// seal lets no more set-ups open, and tells whether any is.
func (c *Conn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxSetups = 0
	return len(c.openSetups) > 0
}

// MarkHadSession marks a connection whose client has had a session.
func (c *Conn) MarkHadSession() { c.hadSession.Store(true) }

// SessionEstablished counts a session that stands by a set-up on this connection, and Fell one that
// no longer does.
func (c *Conn) SessionEstablished() { c.sessions.Add(1) }
func (c *Conn) SessionEnded()       { c.sessions.Add(-1) }

// HadSession tells whether its client has had a session.
func (c *Conn) HadSession() bool { return c.hadSession.Load() }

// reasonIncomplete is why a connection is closed also where set-ups are open on it.
const reasonIncomplete = "no whole message"

// closeReason tells why a connection is to be closed by now.
func (c *Conn) closeReason(now time.Time) string {
	age := now.Sub(c.acceptedAt)
	messageStart, lastMessage := time.Duration(c.messageStart.Load()), time.Duration(c.lastMessage.Load())
	switch {
	case c.throttled.Load(): // nothing is read of it: the writer's time counts
		return ""
	case messageStart > 0 && age-messageStart > messageTimeout:
		return reasonIncomplete
	case c.hasOpenSetups():
		return ""
	case messageStart == 0 && c.gate != nil && c.gate.ClosesIdle(now, age-lastMessage, c.sessions.Load() > 0):
		return "clients are sent away"
	case !c.anySent.Load() && !c.HadSession() && age > messageTimeout:
		return "nothing to answer"
	case age-lastMessage > idleTimeout && c.sessions.Load() <= 0:
		return "idle"
	}
	return ""
}

// Send queues bytes. A reader that lets too many wait loses its connection.
func (c *Conn) Send(b []byte) bool {
	select {
	case <-c.closed:
		return false
	case <-c.closing:
		return false
	default:
	}
	if n := c.pendingBytes.Add(int64(len(b))); n > maxPendingBytes {
		c.closeSlowReader("too much waits for it")
		return false
	}
	c.anySent.Store(true)
	c.queue.Force(b)
	return true
}

// closeSlowReader closes the connection of a reader that does not keep up.
func (c *Conn) closeSlowReader(reason string) {
	c.closeOnce.Do(func() {
		c.log.Info("connection closed: its reader is slow", zap.String("from", c.Host),
			zap.String("why", reason), zap.Int64("bytes_waiting", c.pendingBytes.Load()))
		c.shutDown()
	})
}

// SetFarewell sets what is written last when the program ends.
func (c *Conn) SetFarewell(b []byte) { c.farewell.Store(&b) }

// CloseAfterWrites closes the connection once what is queued is written.
func (c *Conn) CloseAfterWrites() { c.closingOnce.Do(func() { close(c.closing) }) }

// Close ends the connection at once.
func (c *Conn) Close() error {
	c.closeOnce.Do(c.shutDown)
	return nil
}

// shutDown takes nothing more, closes the descriptor, and tells that it is free.
func (c *Conn) shutDown() {
	c.CloseAfterWrites()
	c.Conn.Close()
	close(c.closed)
}

// writeLoop is the actor that writes what was Put.
func (c *Conn) writeLoop(ctx context.Context) {
	defer c.Close()
	var batch [][]byte
	var joined []byte
	for last := false; !last; {
		select {
		case <-c.closed:
			return
		case <-c.closing:
			last = true
		case <-ctx.Done():
			last = true
		case <-c.queue.Ready():
		}
		batch = c.queue.Take(batch)
		if ctx.Err() != nil {
			last = true
			if farewell := c.farewell.Load(); farewell != nil {
				c.pendingBytes.Add(int64(len(*farewell)))
				batch = append(batch, *farewell)
			}
		}
		joined = joined[:0]
		for i, b := range batch {
			joined = append(joined, b...)
			if len(joined) < throttleBytes && i < len(batch)-1 {
				continue
			}
			if !c.writeChunks(joined) {
				return
			}
			joined = joined[:0]
		}
		if cap(joined) > 2*throttleBytes {
			joined = nil // one long burst is no reason to keep its room
		}
	}
	c.linger()
}

// writeChunks writes b in pieces, each within writeTime.
func (c *Conn) writeChunks(b []byte) bool {
	for len(b) > 0 {
		piece := b[:min(len(b), throttleBytes)]
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return false
		}
		if _, err := c.Conn.Write(piece); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				c.closeSlowReader("it took nothing in time")
			}
			return false
		}
		c.pendingBytes.Add(-int64(len(piece)))
		select {
		case c.writeProgress <- struct{}{}:
		default:
		}
		b = b[len(piece):]
	}
	return true
}

// linger closes for writing and reads on for a moment, so that the last answers
// arrive. A connection that was told nothing has none.
func (c *Conn) linger() {
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	select {
	case <-c.readerDone:
	default:
		return // its owner reads still
	}
	if !ok || !c.anySent.Load() || halfCloser.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	io.CopyN(io.Discard, c.Conn, maxLingerBytes)
}

// registry is the connections that are open on one listener.
type registry struct {
	Limits
	mu    sync.Mutex
	conns map[*Conn]bool
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
func (r *registry) full() bool {
	limit := r.MaxConns
	if r.UpgradeInProgress != nil && r.UpgradeInProgress() {
		limit = r.MaxConnsInUpgrade
	}
	return len(r.conns) >= limit
}

// add makes room for c. A full room loses the connections that are missed
// least; if all are owed something, c can't enter.
func (r *registry) add(c *Conn) bool {
	for {
		added, wait := r.tryAdd(c)
		if wait <= 0 {
			return added
		}
		time.Sleep(wait)
	}
}

// tryAdd enters c, or tells for how long it has to wait.
func (r *registry) tryAdd(c *Conn) (added bool, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.full() { // by more than one once another process has half
		if evicted, wait := r.evictOne(); !evicted {
			return false, wait
		}
	}
	r.conns[c] = true
	return true, 0
}

// evictOne closes the connection that is missed least. False: all are owed something, or
// it has just come. Guard: in a rush each would otherwise lose its place to the next
// before its first request is read.
func (r *registry) evictOne() (evicted bool, wait time.Duration) {
	for {
		var candidate *Conn
		for other := range r.conns {
			if !other.hasOpenSetups() && other.pendingBytes.Load() == 0 && (candidate == nil || other.evictBefore(candidate)) {
				candidate = other
			}
		}
		if candidate == nil {
			return false, 0
		}
		if wait := newConnGrace - time.Since(candidate.acceptedAt); candidate.lastMessage.Load() == 0 && wait > 0 {
			return false, wait
		}
		if candidate.sealIfUnused() { // else a set-up has just come
			delete(r.conns, candidate)
			candidate.Close()
			return true, 0
		}
	}
}

// freeDescriptor makes room where the machine gives no more descriptors.
func (r *registry) freeDescriptor() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evictOne()
}

// waitForAnswers waits until no set-up is open, for settleTime at most.
func (r *registry) waitForAnswers() {
	for deadline := time.Now().Add(shutdownTimeout); time.Now().Before(deadline) && r.sealAll(); {
		time.Sleep(time.Millisecond)
	}
}

// sealAll lets no more set-ups open, and tells whether any is.
func (r *registry) sealAll() (anyOpen bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		anyOpen = c.seal() || anyOpen
	}
	return anyOpen
}

// evictBefore tells whether c is missed less than o: no session of its client's stands, or it
// has had none, or it has been idle for longer. Guard: one that has just come is missed
// most of these, since its first request is on its way.
func (c *Conn) evictBefore(other *Conn) bool {
	if active := c.sessions.Load() > 0; active != (other.sessions.Load() > 0) {
		return !active
	}
	if had := c.HadSession(); had != other.HadSession() {
		return !had
	}
	return c.lastActivity().Before(other.lastActivity())
}

// lastActivity is when it last sent a whole message, or came.
func (c *Conn) lastActivity() time.Time { return c.acceptedAt.Add(time.Duration(c.lastMessage.Load())) }

func (r *registry) remove(c *Conn) {
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

// closeOverdue closes what is overdue, until ctx ends.
func (r *registry) closeOverdue(ctx context.Context, log *zap.Logger) error {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			r.mu.Lock()
			for c := range r.conns {
				if reason := c.closeReason(now); reason == reasonIncomplete || reason != "" && c.sealIfUnused() {
					log.Debug("viewer's connection closed", zap.String("from", c.Host), zap.String("why", reason))
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
	connCtx, cancelConns := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelConns()
	group, connCtx := errgroup.WithContext(connCtx)
	r := &registry{Limits: limits, conns: make(map[*Conn]bool)}
	group.Go(func() error { return r.closeOverdue(connCtx, log) })
	lastError := ""
	for {
		nc, err := l.Accept()
		if ctx.Err() != nil {
			if err == nil {
				nc.Close()
			}
			r.waitForAnswers()
			cancelConns()
			return group.Wait()
		}
		if err != nil {
			if message := err.Error(); message != lastError { // it may go on for long
				log.Warn("accept", zap.Error(err))
				lastError = message
			}
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
				r.freeDescriptor()
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		lastError = ""
		c := newConn(nc, limits.MaxSetups, limits.Gate, log)
		// Guard: descriptors beyond the viewers' part are not held, and those who
		// say nothing or stay for good lock nobody out.
		if !r.add(c) {
			nc.Close()
			continue
		}
		group.Go(func() error { c.writeLoop(connCtx); return nil })
		group.Go(func() error {
			// It takes up its place until its last answers are out as well.
			defer func() { <-c.closed; r.remove(c) }()
			defer c.CloseAfterWrites()
			defer close(c.readerDone)
			defer func() {
				// Guard: what one peer sends costs at most its connection.
				if p := recover(); p != nil {
					log.Error("connection handler", zap.Any("panic", p), zap.Stack("stack"))
				}
			}()
			handle(connCtx, c)
			return nil
		})
	}
}
