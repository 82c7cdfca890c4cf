package media

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"millethinge/control"
	"millethinge/internal/broker"
	"millethinge/internal/directory"
	"millethinge/internal/mailbox"
	"millethinge/internal/rtsp"
)

// CSeq values that PROTOCOL assigns to the requests, by kind.
const (
	cseqSetUp    = 1
	cseqTearDown = 2
	cseqProbe    = 3
	cseqOther    = 4
)

const (
	// tickInterval is the period of a node's maintenance.
	tickInterval = 100 * time.Millisecond
	// probeTimeout bounds the wait for a load report: a later one is of little use.
	probeTimeout = 300 * time.Millisecond
	// nodeSilenceTimeout is the silence after which a node with established sessions is
	// checked by a new connection. It also bounds the wait for the answer to a check of a connection.
	nodeSilenceTimeout = 2 * time.Second
	// nodeLostTimeout is the silence after which a node that cannot be dialled is lost.
	nodeLostTimeout = 3 * time.Second
	// redialInterval is the wait after a failed dial, where it is not retried at once.
	redialInterval = time.Second
	// maxImmediateRedials is how many dials in a row may time out and be retried at once.
	maxImmediateRedials = 3
	// lostNodeReleaseTTL is how long the releases of a lost node's sessions wait for a connection.
	lostNodeReleaseTTL = time.Minute
	// releaseTTL is how long any other release waits for a connection.
	releaseTTL = 10 * time.Second
	// maxConnsPerNode bounds the connections to one node. It exceeds how many are opened
	// between two closures of idle ones.
	maxConnsPerNode = 12
	// maxIdleConnsPerNode is how many usable connections are kept even if they are idle.
	maxIdleConnsPerNode = 2
	// idleConnTimeout is the idle time after which connections beyond those are retired.
	idleConnTimeout = 2 * time.Second
	// reusableTenths is the part of ConnIdleTimeout, in tenths, for which an idle connection
	// is used. After that the node may be closing it.
	reusableTenths = 9
	// connSuspectTimeout is the silence since a set-up after which new set-ups use another connection.
	connSuspectTimeout = 200 * time.Millisecond
	// earlyEndTTL is how long an end is kept that arrived before its session was adopted.
	earlyEndTTL = 5 * time.Second
	// endedSetUpTTL is how long a set-up that ended without an answer is remembered, in case one arrives late.
	endedSetUpTTL = 10 * time.Second
)

// errConnLimit reports that no connection may be opened, since the process holds as
// many as its descriptors allow.
var errConnLimit = errors.New("media: connection limit reached")

// node is the actor of one media node.
type node struct {
	pool    *Pool
	member  directory.Member // the latest entry in the list; guarded by pool.mu
	server  control.ServerID
	id      string
	upSince time.Time
	state   atomic.Int32 // the latest control.State in the list
	inbox   *inbox

	conns           []*conn
	dialling        bool
	attempts        map[control.SessionID]*attempt
	interrupted     []*attempt                       // set-ups whose connection broke, until a dial shows whether the node is reachable
	endedSetUps     map[control.SessionID]endedSetUp // set-ups that ended without an answer, remembered in case one arrives late
	established     map[control.SessionID]*establishedSession
	earlyEnds       map[control.SessionID]earlyEnd
	pendingReleases map[control.SessionID]pendingRelease // releases that wait for a connection
	pendingProbes   map[uint64]pendingProbe
	queuedProbes    int  // probes that wait for a connection
	setUpsHeld      bool // set-ups wait until the list has been fetched again after a process pause
	// A node repeats the end of a session on the next connection that opens. lossCount counts
	// events, such as broken connections, after which an end may be lost. lossCountAtDial is
	// its value when the dial of the newest connection began, so while lossCountAtDial <
	// lossCount another dial is needed. lossCountAtFirstMessage is its value when
	// awaitingMessage was last cleared. awaitingMessage: the newest connection was dialled
	// after a possible loss, and no message has come since.
	lossCount               int
	lossCountAtDial         int
	lossCountAtFirstMessage int
	awaitingMessage         bool
	lastAliveAt             time.Time // last sign of life: a message or an opened connection
	lastMessageAt           time.Time // zero: none yet
	redialAt                time.Time // earliest time of the next dial by maintain
	connRefused             bool      // the last dial was refused: no process listens at the address
	failedDials             int       // since the last dial that succeeded
	writeBuf                []byte
}

// attempt is a set-up: queued while conn is nil, otherwise sent and not answered yet.
type attempt struct {
	broker.Attempt
	conn   *conn
	sentAt time.Time // when its SETUP was written
}

// establishedSession is a session that is set up and playing.
type establishedSession struct {
	conn             *conn     // the connection of its set-up; nil: closed, or the session was adopted
	withoutConnSince time.Time // when that connection closed; zero: not closed, or the session was adopted
	setUpSentAt      time.Time // when its SETUP was written or it was adopted; tells sessions of successive node processes apart
}

// endedSetUp is a set-up that ended without an answer, remembered until expiresAt in case
// one arrives late.
type endedSetUp struct {
	conn      *conn
	sentAt    time.Time
	expiresAt time.Time
}

// pendingProbe is a probe that was sent and not answered yet.
type pendingProbe struct {
	conn      *conn
	sentAt    time.Time
	expiresAt time.Time // when it counts as timed out
	connCheck bool      // it checks the connection: its result is not reported to the broker
}

// earlyEnd is the end of a session that is not known here, kept until expiresAt.
type earlyEnd struct {
	cause     int
	expiresAt time.Time
}

// pendingRelease is a release that waits for a connection until expiresAt.
type pendingRelease struct {
	cause     int
	expiresAt time.Time
}

// newNode returns the actor of m. Its run method has to be started.
func newNode(p *Pool, m directory.Member) *node {
	return &node{
		pool: p, member: m, server: m.Server, id: m.ID, upSince: m.StartedAt,
		inbox:           mailbox.New[any](inboxLimit),
		attempts:        make(map[control.SessionID]*attempt),
		endedSetUps:     make(map[control.SessionID]endedSetUp),
		established:     make(map[control.SessionID]*establishedSession),
		earlyEnds:       make(map[control.SessionID]earlyEnd),
		pendingReleases: make(map[control.SessionID]pendingRelease),
		pendingProbes:   make(map[uint64]pendingProbe),
		lastAliveAt:     time.Now(),
	}
}

// run is the actor's loop. It returns when the pool's context ends, or when the node is
// off the list and nothing of it is left.
func (n *node) run() error {
	var batch []any
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	defer func() {
		for _, c := range n.conns {
			n.closeConn(c)
		}
	}()
	for {
		select {
		case <-n.pool.ctx.Done():
			return nil
		case <-tick.C:
			if now := time.Now(); !n.pool.checkPause(now) && n.setUpsHeld {
				n.handle(resumeSetUps{}) // no fresh list has come within the time that set-ups are held
			}
			n.maintain(time.Now())
			if n.finished() && n.pool.remove(n) {
				return nil
			}
		case <-n.inbox.Ready():
		}
		batch = n.inbox.Take(batch)
		for _, m := range batch {
			n.handle(m)
		}
	}
}

// finished reports whether the node is off the list and nothing of it is left to do.
func (n *node) finished() bool {
	return n.listedState() == control.Gone && len(n.attempts)+len(n.interrupted)+len(n.established)+len(n.pendingReleases) == 0 && !n.dialling
}

// listedAddr returns the node's latest address in the list. Like the state, it applies as
// soon as Pool.Apply returns. A node that is off the list may have none.
func (n *node) listedAddr() string {
	n.pool.mu.RLock()
	defer n.pool.mu.RUnlock()
	return n.member.Addr
}

// listedState returns the node's latest state in the list.
func (n *node) listedState() control.ServerState { return control.ServerState(n.state.Load()) }

// handle processes one message from the actor's inbox.
func (n *node) handle(m any) {
	switch m := m.(type) {
	case setUpRequest:
		a := &attempt{Attempt: m.Attempt}
		n.attempts[a.ID] = a
		n.sendSetUp(a)
	case abandonRequest:
		n.abandon(m)
	case adoptRequest:
		n.adopt(m)
	case releaseRequest:
		n.release(m)
	case setRungRequest:
		n.setRung(m)
	case probeRequest:
		n.probe()
	case listChange:
		n.handleListChange(m)
	case resumeSetUps:
		n.setUpsHeld = false
		n.sendQueued()
	case dialResult:
		n.handleDialResult(m)
	case connClosed:
		n.handleClosed(m)
	case received:
		n.handleMessage(m)
	}
}

// report completes r with the node and passes it to the broker.
func (n *node) report(r broker.Report) {
	r.Server, r.Down = n.server, n.connRefused
	n.pool.cfg.Report(r)
}

// endAttempt removes a and reports that it ended with status.
func (n *node) endAttempt(a *attempt, status control.Status) {
	n.removeAttempt(a)
	n.report(broker.Report{Kind: broker.ReportEnded, ID: a.ID, AttemptNumber: a.Number, Status: status})
}

// reportReset reports that a set-up ended because its connection broke. nodeReachable says
// that the node was heard from or reached since, so only the connection was at fault.
func (n *node) reportReset(a *attempt, nodeReachable bool) {
	n.report(broker.Report{Kind: broker.ReportEnded, ID: a.ID, AttemptNumber: a.Number, Status: control.ConnectionReset, ConnectionOnly: nodeReachable})
}

// removeAttempt removes a from the actor's attempts and from its connection's count.
func (n *node) removeAttempt(a *attempt) {
	delete(n.attempts, a.ID)
	if a.conn != nil {
		a.conn.openSetUps--
	}
}

// Connections.

// connForSetUp returns a connection for a new set-up, or nil. Connections that have long
// been idle are passed over: the node may be closing them, and it would stay unknown
// whether a SETUP written there has run. Connections that have carried messages are
// preferred to those opened only to check the node, since the first use of a connection
// costs the node a handshake.
func (n *node) connForSetUp() (best *conn) {
	now := time.Now()
	for i := len(n.conns) - 1; i >= 0; i-- {
		c := n.conns[i]
		if n.canSendOn(c) && c.openSetUps < n.pool.cfg.StreamsPerConn && (!c.suspect(now) || len(n.conns) >= maxConnsPerNode) &&
			(best == nil || c.carriedMessage && !best.carriedMessage) {
			best = c
		}
	}
	return best
}

// canSendOn reports whether c may carry another message: it is usable, and not idle for
// so long that the node may be closing it.
func (n *node) canSendOn(c *conn) bool {
	return !c.unusable && (c.openSetUps > 0 || time.Since(c.lastUsedAt) < n.pool.cfg.ConnIdleTimeout*reusableTenths/10)
}

// connForMessage returns a connection for a message about a session: preferred, or else
// any that can carry one, or nil.
func (n *node) connForMessage(preferred *conn) *conn {
	if preferred != nil && n.canSendOn(preferred) {
		return preferred
	}
	for i := len(n.conns) - 1; i >= 0; i-- {
		if n.canSendOn(n.conns[i]) {
			return n.conns[i]
		}
	}
	return nil
}

// startDial begins to open a connection, unless one is being opened. The inbox receives
// a dialResult, and later, if the dial succeeded, the messages read and a connClosed.
func (n *node) startDial() {
	if n.dialling {
		return
	}
	n.dialling = true
	if n.pool.openConns.Add(1) > n.pool.cfg.connLimit() {
		n.pool.openConns.Add(-1)
		n.inbox.Force(dialResult{err: errConnLimit})
		return
	}
	addr, timeout, lossCountAtStart := n.listedAddr(), n.pool.cfg.ConnectTimeout, n.lossCount
	n.pool.group.Go(func() error {
		nc, err := (&net.Dialer{Timeout: timeout}).DialContext(n.pool.ctx, "tcp", addr)
		if err != nil {
			n.pool.openConns.Add(-1)
			n.inbox.Force(dialResult{err: err})
			return nil
		}
		c := &conn{Conn: nc, lastUsedAt: time.Now()}
		// The actor may have ended by now, and would then not close the connection.
		defer context.AfterFunc(n.pool.ctx, func() { nc.Close() })()
		n.inbox.Force(dialResult{conn: c, addr: addr, lossCountAtStart: lossCountAtStart})
		// Reading can start at once: the dialResult is in the inbox ahead of all messages.
		err = c.readMessages(n.pool.cfg.LoadFields, func(m message) bool { return n.inbox.Put(received{c, m}) })
		c.Close()
		n.pool.openConns.Add(-1)
		n.inbox.Force(connClosed{c, err})
		return nil
	})
}

// handleDialResult takes a new connection into use: it sends what waited for one. If the
// dial failed, what waited for it ends.
func (n *node) handleDialResult(m dialResult) {
	n.dialling = false
	if m.err != nil {
		n.handleDialFailure(m.err)
		return
	}
	if m.addr != n.listedAddr() {
		// Guard: the node's address in the list has changed since, and the one that was
		// dialled may be another node's by now.
		n.closeConn(m.conn)
		n.startDial()
		return
	}
	n.lastAliveAt, n.failedDials, n.redialAt, n.connRefused = time.Now(), 0, time.Time{}, false
	n.conns = append(n.conns, m.conn)
	if n.lossCountAtDial < m.lossCountAtStart {
		n.lossCountAtDial, n.awaitingMessage = m.lossCountAtStart, m.lossCountAtStart > n.lossCountAtFirstMessage
	}
	n.trimConns()
	n.resolveInterrupted(true)
	n.sendQueued()
	for id, r := range n.pendingReleases {
		if n.sendTearDown(m.conn, id, r.cause) {
			delete(n.pendingReleases, id)
		}
	}
	// Guard: loop over a copy of queuedProbes. If the queued set-ups fill the connection,
	// probe queues each probe again and increments queuedProbes: a loop that counted
	// queuedProbes itself down never ended.
	queued := n.queuedProbes
	n.queuedProbes = 0
	for range queued {
		n.probe()
	}
}

// sendQueued sends the set-ups that are queued, or ends those that may not be sent any more.
func (n *node) sendQueued() {
	for _, a := range n.attempts {
		if a.conn == nil {
			n.sendSetUp(a)
		}
	}
}

// resolveInterrupted ends the set-ups whose connection broke, now that it is known
// whether the node is reachable.
func (n *node) resolveInterrupted(nodeReachable bool) {
	for _, a := range n.interrupted {
		n.reportReset(a, nodeReachable)
	}
	n.interrupted = nil
}

// canRetireConns reports whether idle connections may be retired, that is half-closed.
//
// Guard: not while a session is established. A node resets a half-closed connection
// within 0.2 ms. If the node has just sent, on that connection, the end of a session whose
// own connection is closed, the reset discards it. That happens to one retired connection in
// tens of thousands; a soak test retired six thousand. Connections left idle are closed by
// the node itself, after everything that it sent on them.
func (n *node) canRetireConns() bool { return len(n.established) == 0 }

// trimConns retires the oldest connection without an open set-up if there are more than
// maxConnsPerNode.
func (n *node) trimConns() {
	if !n.canRetireConns() {
		return
	}
	live := 0
	for _, c := range n.conns {
		if !c.unusable {
			live++
		}
	}
	for _, c := range n.conns {
		if live > maxConnsPerNode && !c.unusable && c.openSetUps == 0 {
			c.retire(n.pool.cfg.ConnIdleTimeout)
			return
		}
	}
}

// handleDialFailure ends what waited for the connection: nothing of it has run.
//
// Guard: reaching the process's own connection limit does not count against the node.
func (n *node) handleDialFailure(err error) {
	atLimit := errors.Is(err, errConnLimit)
	n.connRefused = errors.Is(err, syscall.ECONNREFUSED)
	status := control.ConnectFailed
	if atLimit {
		status = control.NotSent
	}
	for _, a := range n.attempts {
		if a.conn == nil {
			n.endAttempt(a, status)
		}
	}
	for ; n.queuedProbes > 0; n.queuedProbes-- {
		n.report(broker.Report{Kind: broker.ReportProbed, Status: status})
	}
	n.resolveInterrupted(atLimit)
	if atLimit {
		return
	}
	// Guard: the connection may have been open at the node's side, and the node may have
	// sent ends of sessions on it.
	if !n.connRefused {
		n.countPossibleLoss(nil)
	}
	// Guard: a viewer must be told of the end of a session within a second of the node
	// sending it, and the end may have been lost with a connection. So a dial that timed
	// out is retried at once. A dial that failed at once, or that keeps timing out, is
	// retried after redialInterval.
	var netErr net.Error
	redial := errors.As(err, &netErr) && netErr.Timeout() && n.failedDials < maxImmediateRedials
	n.failedDials++
	if n.endMayBeLost() && !redial {
		n.redialAt = time.Now().Add(redialInterval)
	}
	why := fmt.Sprint("cannot connect: ", err)
	switch {
	case n.connRefused && len(n.conns) == 0:
		n.endProcess(why, time.Now())
		clear(n.pendingReleases)
	case time.Since(n.lastAliveAt) > nodeLostTimeout:
		n.redialAt = time.Now().Add(redialInterval)
		// The node may still be playing its sessions: their releases are sent once it can
		// be reached.
		until := time.Now().Add(lostNodeReleaseTTL)
		for id := range n.established {
			n.pendingReleases[id] = pendingRelease{broker.CauseInterrupted, until}
		}
		n.cutSessions(why, time.Now())
		n.closeUnusedSince(time.Now())
	}
	if redial && n.endMayBeLost() {
		n.startDial()
	}
}

// endProcess ends the established sessions of a node process that is gone and closes its
// connections. Only what is older than nextStart, when the next process started, belongs to
// it. Open set-ups end with their connection, after the messages already received on it.
func (n *node) endProcess(why string, nextStart time.Time) {
	n.cutSessions(why, nextStart)
	n.closeUnusedSince(nextStart)
}

// closeUnusedSince closes the connections that have carried nothing since the given time.
func (n *node) closeUnusedSince(since time.Time) {
	for _, c := range n.conns {
		if c.lastUsedAt.Before(since) {
			n.closeConn(c)
		}
	}
}

// cutSessions ends the sessions that were set up before the given time. Their node sends no
// end for them, and their viewers must be told within seconds.
func (n *node) cutSessions(why string, before time.Time) {
	if len(n.established) > 0 {
		withoutConn := time.Duration(0) // the longest time that any of them has been without its connection
		for _, s := range n.established {
			if !s.withoutConnSince.IsZero() {
				withoutConn = max(withoutConn, time.Since(s.withoutConnSince))
			}
		}
		n.pool.cfg.Log.Info("node lost", zap.String("node", n.id), zap.String("why", why),
			zap.Int("sessions", len(n.established)), zap.Duration("alone", withoutConn))
	}
	for id, s := range n.established {
		if s.setUpSentAt.Before(before) {
			delete(n.established, id)
			n.report(broker.Report{Kind: broker.ReportEnded, ID: id, Status: control.ConnectionReset, Cause: broker.CauseInterrupted})
		}
	}
}

// closeConn closes a connection; its reader then posts connClosed. Messages from the node that
// were not read yet are lost.
func (n *node) closeConn(c *conn) {
	n.countBreak(c)
	c.unusable = true
	c.Close()
}

// handleWriteError handles a failed write on c.
//
// Guard: a node that closed the connection did so after its last messages, such as a 453
// or a 200, so these are still read. Only if the write timed out is the
// connection closed at once: the node reads nothing, so the close has to tell it.
func (n *node) handleWriteError(c *conn, err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		n.closeConn(c)
		return
	}
	n.countBreak(c)
	c.unusable, c.closeAt = true, time.Now().Add(connSuspectTimeout)
}

// countBreak counts, once, a connection that ended in another way than by the node's own
// close, if the last messages that the node sent on it may be lost.
//
// Guard: a node sends the end of a session on the connection of its set-up, or on any
// other if that one is closed, and once more on the next connection that opens. An end that
// was lost with its connection is repeated only on a connection opened later; open
// connections do not suffice. An end sent on another connection that works is safe.
func (n *node) countBreak(c *conn) {
	if c.breakCounted {
		return
	}
	c.breakCounted = true
	n.countPossibleLoss(c)
}

// countPossibleLoss counts a break of c, or if c is nil of some connection that has closed, if
// the end of an established session may have been lost with it.
func (n *node) countPossibleLoss(c *conn) {
	if n.mayCarryEnds(c) {
		n.lossCount++
	}
}

// mayCarryEnds reports whether the node may send the end of an established session on c: it
// is the connection of the session's set-up, or that one is gone. A nil c stands for a
// connection on which none of the sessions was set up.
func (n *node) mayCarryEnds(c *conn) bool {
	for _, s := range n.established {
		if s.conn == nil || s.conn == c || s.conn.unusable {
			return true
		}
	}
	return false
}

// endMayBeLost reports whether the end of an established session may have been lost with no
// connection dialled and opened since, on which the node would repeat it.
func (n *node) endMayBeLost() bool {
	return n.lossCountAtDial < n.lossCount && len(n.established) > 0
}

// handleClosed ends the set-ups that were open on a connection. At least a byte of each
// SETUP has been written, so each may have run.
func (n *node) handleClosed(m connClosed) {
	if m.err != io.EOF {
		n.countBreak(m.conn)
	}
	m.conn.unusable = true
	for i, c := range n.conns {
		if c == m.conn {
			n.conns = append(n.conns[:i], n.conns[i+1:]...)
			break
		}
	}
	// An invalid or incomplete message shows that the node runs. Otherwise only a new
	// connection shows it: a dying process resets its connections too.
	nodeReachable := errors.Is(m.err, errInvalidMessage) || errors.Is(m.err, rtsp.ErrSyntax) || errors.Is(m.err, os.ErrDeadlineExceeded)
	for _, a := range n.attempts {
		if a.conn != m.conn {
			continue
		}
		n.removeAttempt(a)
		n.rememberEnded(a)
		if nodeReachable || n.listedState() == control.Gone {
			n.reportReset(a, nodeReachable)
		} else {
			n.interrupted = append(n.interrupted, a)
			n.startDial()
		}
	}
	orphans := 0
	for _, s := range n.established {
		if s.conn == m.conn {
			s.conn, s.withoutConnSince = nil, time.Now()
			orphans++
		}
	}
	if m.err != io.EOF && !errors.Is(m.err, net.ErrClosed) || orphans > 0 {
		n.pool.cfg.Log.Info("connection broke", zap.String("node", n.id), zap.Error(m.err),
			zap.Int("standing", orphans), zap.Int("conns", len(n.conns)), zap.Bool("live", n.connForMessage(nil) != nil))
	}
	if len(n.established) > 0 && (len(n.conns) == 0 || n.endMayBeLost()) {
		n.startDial() // the node repeats ends of sessions on the next connection that opens
	}
}

// rememberEnded remembers a set-up that ended without an answer, because it was abandoned or its
// connection broke, in case an answer arrives late.
func (n *node) rememberEnded(a *attempt) {
	n.endedSetUps[a.ID] = endedSetUp{a.conn, a.sentAt, time.Now().Add(endedSetUpTTL)}
}

// maintain runs on each tick. It drops what has expired, closes or retires connections,
// checks suspect ones, and dials a silent node.
func (n *node) maintain(now time.Time) {
	for id, p := range n.pendingProbes {
		if now.After(p.expiresAt) {
			delete(n.pendingProbes, id)
			if p.connCheck {
				if p.conn.checkPending && !p.conn.unusable {
					p.conn.markUnresponsive(now, n.pool.cfg.ConnIdleTimeout)
				}
				continue
			}
			n.report(broker.Report{Kind: broker.ReportProbed, Status: control.TimedOut})
		}
	}
	for id, r := range n.pendingReleases {
		if now.After(r.expiresAt) {
			delete(n.pendingReleases, id)
		}
	}
	for id, e := range n.earlyEnds {
		// Guard: the other process of this manager may run on for long and still hand the
		// session over.
		if n.pool.cfg.upgrading() && len(n.earlyEnds) <= inboxLimit {
			n.earlyEnds[id] = earlyEnd{e.cause, now.Add(earlyEndTTL)}
		} else if now.After(e.expiresAt) {
			delete(n.earlyEnds, id)
		}
	}
	for id, a := range n.endedSetUps {
		if now.After(a.expiresAt) {
			delete(n.endedSetUps, id)
		}
	}
	excess := -maxIdleConnsPerNode
	for _, c := range n.conns {
		if !c.unusable && n.canRetireConns() {
			excess++
		}
	}
	for _, used := range []bool{false, true} { // those opened only for a check first, then the oldest
		for _, c := range n.conns {
			switch {
			case !c.closeAt.IsZero() && now.After(c.closeAt):
				n.closeConn(c)
			case !c.unresponsiveSince.IsZero() && c.openSetUps == 0 && c.closeAt.Sub(now) > connSuspectTimeout && n.lastMessageAt.After(c.unresponsiveSince) && n.mayCarryEnds(c):
				// Guard: while the node takes an unresponsive connection for open, the ends that
				// the node sends on it are lost. So the connection is closed once no set-up is
				// open on it, but not before a message of the node has come on any connection
				// since (lastMessageAt): until then the node may be stalled. When a stalled node
				// resumes, it may see this connection as newly opened, and repeat ends on it that
				// it repeats only once. connSuspectTimeout leaves time for what the resumed node
				// sends first on this connection.
				c.closeAt = now.Add(connSuspectTimeout)
			case c.openSetUps == 0 && !c.unusable && !c.checkPending && c.suspect(now) && n.mayCarryEnds(c):
				// Guard: a set-up on this connection was cancelled before any message came.
				// Nothing is left on it that could time out, so only a check shows whether
				// the connection works.
				if !n.pool.cfg.DisableProbes {
					c.checkPending = n.sendProbe(c, true, nodeSilenceTimeout)
				} else if now.Sub(c.unconfirmedSince) > nodeSilenceTimeout {
					c.markUnresponsive(now, n.pool.cfg.ConnIdleTimeout)
				}
			case excess > 0 && c.carriedMessage == used && !c.unusable && c.openSetUps == 0 && now.Sub(c.lastUsedAt) > idleConnTimeout:
				excess--
				c.retire(n.pool.cfg.ConnIdleTimeout)
			}
		}
	}
	// Connections to a machine that is cut off stay open and silent: only a new one shows
	// the failure. A new connection also carries the ends and releases that found none.
	nodeSilent := now.Sub(n.lastAliveAt) > nodeSilenceTimeout
	if now.After(n.redialAt) && (len(n.pendingReleases) > 0 || n.endMayBeLost() || len(n.established) > 0 && (nodeSilent || len(n.conns) == 0)) {
		n.startDial()
	}
}

// handleListChange applies a change of the node's entry in the list: a node that is off the
// list or has restarted has lost its sessions.
func (n *node) handleListChange(m listChange) {
	switch {
	case n.listedState() == control.Gone:
		n.endProcess("off the list", time.Now())
		n.resolveInterrupted(false)
		clear(n.pendingReleases)
	case m.member.StartedAt.After(n.upSince):
		n.upSince = m.member.StartedAt
		n.endProcess("restarted", n.upSince)
	}
	n.sendQueued() // or ends them, if the node takes no new ones
}

// Attempts and sessions.

// sendSetUp writes a SETUP, or leaves it queued until there is a connection.
func (n *node) sendSetUp(a *attempt) {
	for {
		// Guard: the state in the list applies until the first byte is written. Nothing
		// that was queued or waited for a connection goes to a node that drains or is
		// off the list.
		now := time.Now()
		// Nor is a set-up begun for a client that is gone by now.
		if n.listedState() != control.Ready || now.After(a.Deadline) || a.Client.Gone(a.ID) {
			n.endAttempt(a, control.NotSent)
			return
		}
		if n.pool.checkPause(now) {
			n.setUpsHeld = true
			return
		}
		c := n.connForSetUp()
		if c == nil {
			n.startDial()
			return
		}
		remaining := max(time.Until(a.Deadline), time.Millisecond)
		session := formatSessionID(a.ID)
		b := rtsp.AppendRequest(n.writeBuf[:0], "SETUP", "rtsp://media/"+a.Key)
		b = rtsp.AppendHeader(b, "CSeq", strconv.Itoa(cseqSetUp))
		b = rtsp.AppendHeader(b, "Session", session)
		b = rtsp.AppendHeader(b, "Call-Kind", n.pool.cfg.ClassNames[a.Class])
		b = rtsp.AppendHeader(b, "Answer-Within", strconv.FormatInt(remaining.Milliseconds(), 10))
		b = rtsp.AppendHeader(b, "X-Quality", strconv.Itoa(a.Rung))
		b = rtsp.AppendBody(b, a.Description)
		n.writeBuf = b
		written, err := c.writeMessage(b)
		if err == nil {
			a.conn, a.sentAt = c, c.lastUsedAt
			c.openSetUps++
			if n.pool.cfg.OnSetUpSent != nil {
				n.pool.cfg.OnSetUpSent()
			}
			if c.unconfirmedSince.IsZero() {
				c.unconfirmedSince = a.sentAt
			}
			return
		}
		n.handleWriteError(c, err)
		if written > 0 { // a part was written, so it may have run
			n.removeAttempt(a)
			n.reportReset(a, false)
			return
		}
	}
}

// abandon ends an attempt that nobody waits for any more. If it was sent it stays open until
// its TEARDOWN is written or until its connection closes, which ends it at the node too.
func (n *node) abandon(m abandonRequest) {
	for i, a := range n.interrupted {
		if a.ID == m.id && a.Number == m.number {
			n.interrupted = slices.Delete(n.interrupted, i, i+1)
			n.reportReset(a, false)
			return
		}
	}
	a := n.attempts[m.id]
	if a == nil || a.Number != m.number {
		return // its end or its answer is already reported
	}
	status := control.Cancelled
	switch {
	case m.timedOut && a.conn == nil:
		status = control.ConnectFailed // not a byte was written
	case m.timedOut:
		status = control.TimedOut
	}
	c := a.conn
	if c != nil {
		n.rememberEnded(a)
		n.sendTearDown(c, a.ID, 0)
	}
	n.endAttempt(a, status)
	if status == control.TimedOut && !c.unconfirmedSince.IsZero() && !a.sentAt.Before(c.unconfirmedSince) && !c.unusable {
		// Guard: this SETUP is unconfirmed, and perhaps no message will come that confirms
		// it. The other set-ups on the connection may still be answered; no new one is sent
		// there.
		c.markUnresponsive(time.Now(), n.pool.cfg.ConnIdleTimeout)
	}
}

// sendTearDown writes a TEARDOWN on c and reports whether that succeeded. On failure c is
// closed, at once or after connSuspectTimeout, which also ends the session at the node.
func (n *node) sendTearDown(c *conn, id control.SessionID, cause int) bool {
	session := formatSessionID(id)
	b := rtsp.AppendRequest(n.writeBuf[:0], "TEARDOWN", "rtsp://media/"+session)
	b = rtsp.AppendHeader(b, "CSeq", strconv.Itoa(cseqTearDown))
	b = rtsp.AppendHeader(b, "Session", session)
	if cause > 0 {
		b = rtsp.AppendHeader(b, "Reason", "cause="+strconv.Itoa(cause))
	}
	return n.write(c, rtsp.AppendBody(b, nil))
}

// write writes one message on c and reports whether that succeeded.
func (n *node) write(c *conn, b []byte) bool {
	n.writeBuf = b
	if _, err := c.writeMessage(b); err != nil {
		n.handleWriteError(c, err)
		return false
	}
	return true
}

// release ends an established session: its TEARDOWN goes on any usable connection, or on
// the next that opens.
func (n *node) release(m releaseRequest) {
	s := n.established[m.id]
	if s == nil {
		return // the node has ended it
	}
	delete(n.established, m.id)
	for c := n.connForMessage(s.conn); c != nil; c = n.connForMessage(nil) {
		if n.sendTearDown(c, m.id, m.cause) {
			return
		}
	}
	if n.listedState() != control.Gone {
		n.pendingReleases[m.id] = pendingRelease{m.cause, time.Now().Add(releaseTTL)}
		n.startDial()
	}
}

// setRung moves a set-up or an established session to another rung.
func (n *node) setRung(m setRungRequest) {
	var preferred *conn
	if a := n.attempts[m.id]; a != nil {
		if a.Rung = m.rung; a.conn == nil {
			return // its SETUP will carry the rung
		}
		preferred = a.conn
	} else if s := n.established[m.id]; s != nil {
		preferred = s.conn
	} else {
		return
	}
	c := n.connForMessage(preferred)
	if c == nil {
		n.startDial()
		return
	}
	session := formatSessionID(m.id)
	b := rtsp.AppendRequest(n.writeBuf[:0], "SET_PARAMETER", "rtsp://media/"+session)
	b = rtsp.AppendHeader(b, "CSeq", strconv.Itoa(cseqOther))
	b = rtsp.AppendHeader(b, "Session", session)
	b = rtsp.AppendHeader(b, "X-Quality", strconv.Itoa(m.rung))
	n.write(c, rtsp.AppendBody(b, nil))
}

// probe asks the node for its load, or queues the request until there is a connection.
func (n *node) probe() {
	c := n.connForSetUp()
	if c == nil {
		n.queuedProbes++
		n.startDial()
		return
	}
	if !n.sendProbe(c, false, probeTimeout) {
		n.report(broker.Report{Kind: broker.ReportProbed, Status: control.ConnectionReset})
	}
}

// sendProbe writes a probe on c and reports whether that succeeded.
func (n *node) sendProbe(c *conn, connCheck bool, timeout time.Duration) bool {
	id := rand.Uint64()
	b := rtsp.AppendRequest(n.writeBuf[:0], "OPTIONS", "rtsp://media/load")
	b = rtsp.AppendHeader(b, "CSeq", strconv.Itoa(cseqProbe))
	b = rtsp.AppendHeader(b, "Session", formatSessionID(control.SessionID(id)))
	if !n.write(c, rtsp.AppendBody(b, nil)) {
		return false
	}
	n.pendingProbes[id] = pendingProbe{c, c.lastUsedAt, c.lastUsedAt.Add(timeout), connCheck}
	return true
}

// handleMessage handles one message from the node.
func (n *node) handleMessage(m received) {
	now := time.Now()
	n.lastAliveAt, n.lastMessageAt, m.conn.lastUsedAt = now, now, now
	n.clearSuspicion(m)
	m.conn.lastReceivedAt = now
	if n.awaitingMessage {
		// Guard: a dial can succeed while the node is stalled. When the node resumes, it may
		// send ends on connections that have been closed here meanwhile. It has then already
		// accepted the new connection, so it does not repeat them on it, only on one opened
		// after its first message: another one is dialled.
		n.awaitingMessage = false
		n.countPossibleLoss(nil)
		n.lossCountAtFirstMessage = n.lossCount
	}
	switch m.kind {
	case kindSetUpAnswer:
		n.handleSetUpAnswer(m)
	case kindProbeAnswer:
		p, ok := n.pendingProbes[uint64(m.id)]
		delete(n.pendingProbes, uint64(m.id))
		if ok && !p.connCheck {
			status := control.OK
			if m.status != 200 {
				status = control.Errored
			}
			n.report(broker.Report{Kind: broker.ReportProbed, Status: status, Load: m.load})
		}
	case kindTearDown:
		n.handleTearDown(m)
	case kindAnnounce:
		n.report(broker.Report{Kind: broker.ReportNote, ID: m.id, Note: m.note, Value: m.value})
	}
	if n.dialling { // an answer may have made room for a queued set-up
		n.sendQueued()
	}
}

// clearSuspicion updates unconfirmedSince of m's connection for the SETUPs that m confirms: those
// that the node is known to have received before it sent m. If there is one, the connection counts
// as responsive again.
//
// Guard: a message may have been on its way when a SETUP was written, such as the 200 to an
// earlier request. If it were taken for a sign of life, an unresponsive connection would get
// the next set-ups, and the ends that the node sends on it would stay lost. An answer is
// later than its request. A second message is taken to be later than what was written before
// the first one came.
func (n *node) clearSuspicion(m received) {
	c := m.conn
	if c.unconfirmedSince.IsZero() {
		return
	}
	seenUntil := c.lastReceivedAt.Add(-1) // one nanosecond: a request with the same timestamp may have been written after that message came
	if requestSentAt := n.answeredRequestSentAt(m); requestSentAt.After(seenUntil) {
		seenUntil = requestSentAt
	}
	if seenUntil.Before(c.unconfirmedSince) {
		return
	}
	c.unconfirmedSince, c.checkPending = time.Time{}, false
	for _, a := range n.attempts {
		if a.conn == c && a.sentAt.After(seenUntil) && (c.unconfirmedSince.IsZero() || a.sentAt.Before(c.unconfirmedSince)) {
			c.unconfirmedSince = a.sentAt
		}
	}
	c.markResponsive()
}

// answeredRequestSentAt returns when the request was written that m answers, if that was on
// m's connection. Zero: not known.
func (n *node) answeredRequestSentAt(m received) time.Time {
	if m.status == 0 {
		return time.Time{}
	}
	if a := n.attempts[m.id]; a != nil && a.conn == m.conn {
		return a.sentAt
	}
	if ended := n.endedSetUps[m.id]; ended.conn == m.conn {
		return ended.sentAt
	}
	if p := n.pendingProbes[uint64(m.id)]; p.conn == m.conn {
		return p.sentAt
	}
	return time.Time{}
}

// handleSetUpAnswer handles a final answer to a SETUP.
func (n *node) handleSetUpAnswer(m received) {
	a := n.attempts[m.id]
	if a == nil || a.conn == nil {
		if _, endedUnanswered := n.endedSetUps[m.id]; endedUnanswered && m.status == 200 {
			// Guard: a late 200 to a set-up that has ended is answered by a TEARDOWN. A second
			// copy of an answer, or one to an id that was never sent, does nothing.
			n.established[m.id] = &establishedSession{conn: m.conn}
			n.release(releaseRequest{m.id, 0})
		}
		return
	}
	n.removeAttempt(a)
	if listed := n.listedState() != control.Gone; m.status == 200 && (!listed || a.sentAt.Before(n.upSince)) {
		// Guard: the answer was handled after the news that its process is gone. Nobody
		// would send the session's end if another process answers at the address by now.
		n.reportReset(a, listed)
		return
	}
	if m.status == 200 {
		n.established[m.id] = &establishedSession{conn: m.conn, setUpSentAt: a.sentAt}
		n.report(broker.Report{Kind: broker.ReportStarted, ID: m.id, AttemptNumber: a.Number, Load: m.load, Description: m.description})
		return
	}
	status := control.Errored
	switch m.status {
	case 453:
		status = control.Full
	case 454:
		status = control.NotSent
	case 504:
		status = control.ConnectionReset
	}
	n.report(broker.Report{Kind: broker.ReportEnded, ID: m.id, AttemptNumber: a.Number, Status: status, Load: m.load})
}

// handleTearDown handles the node's TEARDOWN of a session or of a set-up.
func (n *node) handleTearDown(m received) {
	if a := n.attempts[m.id]; a != nil {
		n.removeAttempt(a)
		n.reportReset(a, true)
		return
	}
	if n.established[m.id] == nil {
		n.earlyEnds[m.id] = earlyEnd{m.cause, time.Now().Add(earlyEndTTL)}
		return
	}
	n.endSession(m.id, m.cause, m.load)
}

// adopt takes over a session that was established before this process started.
//
// Guard: the node sends the ends that occurred meanwhile on the first connection that opens,
// which may be a set-up's, before the viewer names the session to this process. And a
// connection that is being opened may have been open at the node before it sent the end on
// one that has closed since.
func (n *node) adopt(m adoptRequest) {
	if e, ok := n.earlyEnds[m.id]; ok {
		n.endSession(m.id, e.cause, nil)
		return
	}
	n.established[m.id] = &establishedSession{setUpSentAt: time.Now()}
	if n.dialling {
		n.countPossibleLoss(nil)
	}
	n.startDial() // the node's ANNOUNCEs about it need a connection
}

// endSession removes an established session and reports its end.
func (n *node) endSession(id control.SessionID, cause int, load []float64) {
	delete(n.established, id)
	status := control.ConnectionReset
	switch cause {
	case broker.CauseEnded:
		status = control.OK
	case broker.CauseCancelled:
		status = control.Cancelled
	}
	n.report(broker.Report{Kind: broker.ReportEnded, ID: id, Status: status, Cause: cause, Load: load})
}

// formatSessionID returns id as the 16 hexadecimal digits of the Session header.
func formatSessionID(id control.SessionID) string {
	const digits = "0123456789abcdef"
	var b [16]byte
	for i := range b {
		b[i] = digits[uint64(id)>>(60-4*i)&15]
	}
	return string(b[:])
}
