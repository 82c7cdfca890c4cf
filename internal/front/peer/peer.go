// Package peer holds what the fronts share about viewers' connections: the accept loop
// with its connection limit, the time-outs, and a goroutine for each connection that
// writes what is queued for it.
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
	// throttleBytes is how much output may be pending on a connection before reading from
	// it pauses: a client that sends requests faster than it reads the replies is slowed
	// down, not disconnected. It is also the most that one write call gets.
	throttleBytes = 64 << 10
	// maxPendingBytes bounds all output pending on a connection, including what others
	// cause, such as the ends of sessions. A connection that exceeds it is closed.
	maxPendingBytes = 4 << 20
	// writeTimeout is how long a client may take to accept throttleBytes.
	writeTimeout = 2 * time.Second
	// lingerTimeout and maxLingerBytes bound how long and how much input is still read and
	// discarded when a connection is closed after an answer: closing a socket with unread
	// input resets the connection, and answers in flight would be lost.
	lingerTimeout  = 200 * time.Millisecond
	maxLingerBytes = 256 << 10
	// messageTimeout is how long a client may take to send a complete message. It is also
	// how long a new connection is kept if it awaits no answer and nothing was sent on it.
	messageTimeout = 2 * time.Second
	idleTimeout    = 30 * time.Second // without a message, on a connection with no open set-up and no established session
	watchInterval  = 100 * time.Millisecond
	// maxInputLag is how long a client's input may wait to be handled before the client is
	// treated as possibly gone. It counts as present again once no input has been waiting
	// for as long.
	maxInputLag = 20 * time.Millisecond
	// newConnGrace is how long a new connection that has sent nothing is safe from eviction.
	newConnGrace = 50 * time.Millisecond
	// shutdownTimeout is how long Serve waits at the end for answers to open set-ups: the
	// broker has been asked to give them at once.
	shutdownTimeout  = 500 * time.Millisecond
	acceptRetryDelay = 10 * time.Millisecond // after an error of the listener
)

// DefaultMaxSetups is how many set-ups may be open on one connection if Limits.MaxSetups
// is 0.
const DefaultMaxSetups = 128

// Conn is one viewer connection. The handler given to Serve, its owner, reads from it; a
// goroutine of its own writes what was queued with Send.
type Conn struct {
	net.Conn
	Host        string     // the remote address without the port
	Addr        netip.Addr // the remote address; the zero value if it is not TCP
	log         *zap.Logger
	queue       *mailbox.Box[[]byte]   // output that is not yet written
	closed      chan struct{}          // closed once the descriptor is free
	closing     chan struct{}          // closed once nothing more may be queued
	readerDone  chan struct{}          // closed once the owner has returned
	farewell    atomic.Pointer[[]byte] // written last when the program ends; nil: nothing
	closeOnce   sync.Once
	closingOnce sync.Once

	pendingBytes  atomic.Int64  // bytes queued and not yet written
	writeProgress chan struct{} // receives after each successful write
	throttled     atomic.Bool   // the owner waits in Throttle
	inputEmpty    bool          // the last Read left nothing unread in the socket; used by the owner only

	acceptedAt   time.Time    // when the connection was accepted
	messageStart atomic.Int64 // when the incomplete message began, in ns after acceptedAt; 0: there is none
	lastMessage  atomic.Int64 // when the last complete message had been read, in ns after acceptedAt
	readEnded    atomic.Bool  // the owner reads no more: the client closed the connection, or it broke
	anySent      atomic.Bool  // something was queued for the client
	hadSession   atomic.Bool  // a session of this client is or was established

	sessions atomic.Int32 // established sessions that were set up on this connection

	gate Gate // nil: clients are always accepted

	turns   *Turns
	turn    turnState   // used by the owner only
	evicted atomic.Bool // the registry has removed it

	mu         sync.Mutex
	openSetups map[uint64]struct{} // ids of the set-ups that await an answer
	maxSetups  int                 // limit of openSetups
	lagging    bool                // more input may have arrived than was handled
	lagStart   time.Time           // since when, ignoring gaps of up to maxInputLag
	lagUpdated time.Time           // when lagging was last set
}

// Gate decides whether clients are served here or are to go elsewhere, as during a drain or
// an upgrade. Its methods may be called by several goroutines at once.
type Gate interface {
	// AcceptsClients reports whether clients are accepted; pings are answered with it.
	AcceptsClients() bool
	// ClosesIdle reports whether to close a connection that awaits no answer and has sent
	// nothing for the duration idle. hasSessions: established sessions were set up on it.
	ClosesIdle(now time.Time, idle time.Duration, hasSessions bool) bool
	// RefusesSetups reports whether new set-ups are refused without being looked at.
	RefusesSetups(now time.Time) bool
}

func newConn(nc net.Conn, maxSetups int, gate Gate, turns *Turns, log *zap.Logger) *Conn {
	host, _, _ := net.SplitHostPort(nc.RemoteAddr().String())
	if maxSetups <= 0 {
		maxSetups = DefaultMaxSetups
	}
	var address netip.Addr
	if tcp, ok := nc.RemoteAddr().(*net.TCPAddr); ok {
		address = tcp.AddrPort().Addr()
	}
	c := &Conn{
		Conn: nc, Host: host, Addr: address, log: log, queue: mailbox.New[[]byte](math.MaxInt), // pendingBytes bounds it
		closed: make(chan struct{}), closing: make(chan struct{}), readerDone: make(chan struct{}), acceptedAt: time.Now(),
		writeProgress: make(chan struct{}, 1),
		openSetups:    make(map[uint64]struct{}), maxSetups: maxSetups, gate: gate, turns: turns,
	}
	c.messageStart.Store(1)
	return c
}

// MessageRead records that a complete message has been read. partialNext: a part of the
// next one was read with it.
func (c *Conn) MessageRead(partialNext bool) {
	now := int64(time.Since(c.acceptedAt)) + 1
	c.lastMessage.Store(now)
	if !partialNext {
		now = 0
	}
	c.messageStart.Store(now)
}

// Read reads from the connection and records when a message begins. The owner calls it
// only once all that it has read before is handled.
func (c *Conn) Read(b []byte) (int, error) {
	c.turns.end(&c.turn)
	if c.inputEmpty && c.lagging { // needs no lock: only the owner changes lagging
		c.setLagging(false)
	}
	n, err := c.Conn.Read(b)
	if c.inputEmpty = n < len(b); !c.inputEmpty { // the socket may hold more
		c.setLagging(true)
	}
	if n > 0 {
		c.messageStart.CompareAndSwap(0, int64(time.Since(c.acceptedAt))+1)
		c.beginTurn(n)
	}
	return n, err
}

// beginTurn waits until input of this length may be handled. It may be handled until the next Read.
func (c *Conn) beginTurn(inputBytes int) {
	if c.turns.mustWait(&c.turn, inputBytes, time.Now()) {
		c.setLagging(true) // a release may follow the input that waits
		c.turns.wait(&c.turn)
	}
}

// setLagging records whether more input may have arrived than was handled.
func (c *Conn) setLagging(lagging bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if !c.lagging && now.Sub(c.lagUpdated) > maxInputLag {
		c.lagStart = now
	}
	c.lagging, c.lagUpdated = lagging, now
}

// inputLags reports whether input has waited for so long that the client may have gone.
// mu is held.
//
// Guard: that all input is handled for a moment does not end a lag: a client that goes on
// sending has more in flight.
func (c *Conn) inputLags(now time.Time) bool {
	if c.lagging {
		return now.Sub(c.lagStart) > maxInputLag
	}
	return c.lagUpdated.Sub(c.lagStart) > maxInputLag && now.Sub(c.lagUpdated) <= maxInputLag
}

// MarkReadEnded records that the owner reads no more, for whatever reason. The owner calls
// it before it notifies others, who may call Gone.
func (c *Conn) MarkReadEnded() { c.readEnded.Store(true) }

// Throttle blocks while more than throttleBytes of output are pending, and reports whether
// the connection is still open. The owner calls it before each read, so that a client can't
// make its pending output grow by sending requests and not reading the replies.
func (c *Conn) Throttle() bool {
	if c.pendingBytes.Load() <= throttleBytes {
		return true
	}
	c.turns.end(&c.turn)
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
	if c.messageStart.Load() > 0 { // the client did not send slowly: its message waited unread
		c.messageStart.Store(int64(time.Since(c.acceptedAt)) + 1)
	}
	c.throttled.Store(false)
	return true
}

// AcceptsClients reports whether clients are accepted; pings are answered with it.
func (c *Conn) AcceptsClients() bool { return c.gate == nil || c.gate.AcceptsClients() }

// OpenSetup counts a set-up as open until CloseSetup, and reports whether it may be. It may
// not if too many are open, if the connection is closing and could not carry the answer, or
// if the Gate refuses set-ups.
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

// CloseSetup ends what OpenSetup began: the set-up awaits no answer any more, because it was
// answered or its client cancelled it.
func (c *Conn) CloseSetup(id uint64) {
	c.mu.Lock()
	delete(c.openSetups, id)
	c.mu.Unlock()
}

// Gone reports whether the client has closed the connection or no longer awaits an answer
// to the set-up of that id, or may have done so.
//
// Guard: nothing is started for a client that may be gone. While the connection is not read
// from, or input arrives faster than it is handled, a release may be in the unread input.
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

// hasOpenSetups reports whether a set-up awaits an answer.
func (c *Conn) hasOpenSetups() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.openSetups) > 0
}

// sealIfUnused has further set-ups refused if none is open and all output is written, and
// reports whether it did so.
//
// Guard: a set-up may open between the decision to close a connection and the close, and
// would be lost with it.
func (c *Conn) sealIfUnused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.openSetups) > 0 || c.pendingBytes.Load() > 0 {
		return false
	}
	c.maxSetups = 0
	return true
}

// seal has further set-ups refused, and reports whether any is still open.
func (c *Conn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxSetups = 0
	return len(c.openSetups) > 0
}

// MarkHadSession records that the client has, or has had, an established session.
func (c *Conn) MarkHadSession() { c.hadSession.Store(true) }

// SessionEstablished counts a session that was set up on this connection.
func (c *Conn) SessionEstablished() { c.sessions.Add(1) }

// SessionEnded records that a session counted by SessionEstablished has ended.
func (c *Conn) SessionEnded() { c.sessions.Add(-1) }

// HadSession reports whether the client has, or has had, an established session.
func (c *Conn) HadSession() bool { return c.hadSession.Load() }

// reasonIncomplete is the one reason for which a connection is closed even while set-ups
// are open on it.
const reasonIncomplete = "no complete message in time"

// closeReason returns why the connection is due to be closed, or "" if it isn't.
func (c *Conn) closeReason(now time.Time) string {
	age := now.Sub(c.acceptedAt)
	messageStart, lastMessage := time.Duration(c.messageStart.Load()), time.Duration(c.lastMessage.Load())
	switch {
	case c.throttled.Load(): // reading is paused; writeTimeout applies instead
		return ""
	case messageStart > 0 && age-messageStart > messageTimeout:
		return reasonIncomplete
	case c.hasOpenSetups():
		return ""
	case messageStart == 0 && c.gate != nil && c.gate.ClosesIdle(now, age-lastMessage, c.sessions.Load() > 0):
		return "idle during drain or upgrade"
	case !c.anySent.Load() && !c.HadSession() && age > messageTimeout:
		return "no request to answer"
	case age-lastMessage > idleTimeout && c.sessions.Load() <= 0:
		return "idle"
	}
	return ""
}

// Send queues b for writing, and reports whether it did so. It never blocks. If more than
// maxPendingBytes are pending, it closes the connection.
func (c *Conn) Send(b []byte) bool {
	select {
	case <-c.closed:
		return false
	case <-c.closing:
		return false
	default:
	}
	if n := c.pendingBytes.Add(int64(len(b))); n > maxPendingBytes {
		c.closeSlowReader("too much output pending")
		return false
	}
	c.anySent.Store(true)
	c.queue.Force(b)
	return true
}

// closeSlowReader closes the connection because its client does not read fast enough.
func (c *Conn) closeSlowReader(reason string) {
	c.closeOnce.Do(func() {
		c.log.Info("connection closed: client reads too slowly", zap.String("from", c.Host),
			zap.String("why", reason), zap.Int64("bytes_waiting", c.pendingBytes.Load()))
		c.shutDown()
	})
}

// SetFarewell sets the bytes that are written last when the program ends.
func (c *Conn) SetFarewell(b []byte) { c.farewell.Store(&b) }

// CloseAfterWrites has the connection closed once all that is queued is written.
func (c *Conn) CloseAfterWrites() { c.closingOnce.Do(func() { close(c.closing) }) }

// Close closes the connection at once; pending output is discarded.
func (c *Conn) Close() error {
	c.closeOnce.Do(c.shutDown)
	return nil
}

// shutDown has further output refused, closes the descriptor, and then signals by closed
// that it is free.
func (c *Conn) shutDown() {
	c.CloseAfterWrites()
	c.Conn.Close()
	close(c.closed)
}

// writeLoop writes what was queued, until the connection is closed or ctx ends.
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
			joined = nil // don't keep the memory of a single burst
		}
	}
	c.linger()
}

// writeChunks writes b in pieces of up to throttleBytes, each within writeTimeout, and
// reports whether all was written.
func (c *Conn) writeChunks(b []byte) bool {
	for len(b) > 0 {
		piece := b[:min(len(b), throttleBytes)]
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return false
		}
		if _, err := c.Conn.Write(piece); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				c.closeSlowReader("write timed out")
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

// linger closes the write side and discards input for a moment, so that the last answers
// arrive. A connection on which nothing was sent has no answers in flight and needs none.
func (c *Conn) linger() {
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	select {
	case <-c.readerDone:
	default:
		return // the owner still reads
	}
	if !ok || !c.anySent.Load() || halfCloser.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	io.CopyN(io.Discard, c.Conn, maxLingerBytes)
}

// Serve accepts connections on l until ctx ends, and calls handle for each in a goroutine of
// its own; a connection is closed once handle returns and its output is written. After ctx
// has ended, Serve waits for the answers to open set-ups, so the broker that gives them has
// to stop after Serve has returned.
func Serve(ctx context.Context, l net.Listener, limits Limits, log *zap.Logger, handle func(context.Context, *Conn)) error {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	connCtx, cancelConns := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelConns()
	group, connCtx := errgroup.WithContext(connCtx)
	if limits.Turns == nil {
		limits.Turns = NewTurns()
	}
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
			if message := err.Error(); message != lastError { // log a repeated error only once
				log.Warn("accept failed", zap.Error(err))
				lastError = message
			}
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
				r.freeDescriptor()
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		lastError = ""
		r.awaitEnded(ctx)
		c := newConn(nc, limits.MaxSetups, limits.Gate, limits.Turns, log)
		// Guard: viewers' connections never use more than their share of the descriptors,
		// and silent or permanent connections can't keep new ones out.
		if !r.add(c) {
			limits.Rejections.Count(RejectedNoRoom)
			nc.Close()
			continue
		}
		r.alive.Add(1)
		group.Go(func() error { c.writeLoop(connCtx); return nil })
		group.Go(func() error {
			// The connection counts against the limit until its last answers are written.
			defer func() { <-c.closed; r.remove(c); r.alive.Add(-1) }()
			defer c.CloseAfterWrites()
			defer close(c.readerDone)
			defer c.turns.end(&c.turn)
			defer func() {
				// Guard: input from one client costs at most that client's connection.
				if p := recover(); p != nil {
					log.Error("connection handler panicked", zap.Any("panic", p), zap.Stack("stack"))
				}
			}()
			handle(connCtx, c)
			return nil
		})
	}
}
