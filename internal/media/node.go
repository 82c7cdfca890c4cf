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

// CSeq values, as PROTOCOL gives them.
const (
	cseqSetUp    = 1
	cseqTearDown = 2
	cseqProbe    = 3
	cseqOther    = 4
)

const (
	tickInterval        = 100 * time.Millisecond
	probeTimeout        = 300 * time.Millisecond // a report that is later says little
	nodeSilenceTimeout  = 2 * time.Second        // after which a node with sessions is looked at again
	nodeLostTimeout     = 3 * time.Second        // after which, with failed looks, it is lost
	redialInterval      = time.Second            // between looks at a lost node
	maxImmediateRedials = 3                      // connections in a row that time out and are followed by the next at once
	lostNodeReleaseTTL  = time.Minute            // how long its sessions' releases wait
	releaseTTL          = 10 * time.Second       // how long a release waits for a connection
	maxConnsPerNode     = 12                     // to one node; more than open between two closes as idle
	maxIdleConnsPerNode = 2                      // that are kept though nothing is open on them
	idleConnTimeout     = 2 * time.Second        // after which others are retired
	reusableTenths      = 9                      // tenths of a node's idle time, after which a connection may be closing there
	connSuspectTimeout  = 200 * time.Millisecond // without a word since a set-up, after which others take another connection
	earlyEndTTL         = 5 * time.Second        // how long an end is known that came before its session did
	abandonedSetUpTTL   = 10 * time.Second       // how long a set-up that was given up is known, for a late answer
)

// errConnLimit reports that no connection may be opened: the program holds as many
// as it may.
var errConnLimit = errors.New("media: no descriptors left")

// node is the actor of one media node.
type node struct {
	pool    *Pool
	member  directory.Member // as the list last said; the pool's, under its lock
	server  control.ServerID
	id      string
	upSince time.Time
	state   atomic.Int32 // control.State, as the list last said
	inbox   *inbox

	conns                []*conn
	dialling             bool
	attempts             map[control.SessionID]*attempt
	interrupted          []*attempt                           // set-ups on a connection that broke, till it is known whether the node did
	abandonedSetUps      map[control.SessionID]abandonedSetUp // set-ups that were given up
	established          map[control.SessionID]*establishedSession
	earlyEnds            map[control.SessionID]earlyEnd
	pendingReleases      map[control.SessionID]pendingRelease // releases without a connection to go on
	pendingProbes        map[uint64]pendingProbe
	queuedProbes         int       // probes that wait for a connection
	setUpsHeld           bool      // set-ups wait for the list to be asked again
	possibleLosses       int       // connections that may have taken an end of a session along
	coveredLosses        int       // how many of these the newest connection was begun after
	lossesAtFirstMessage int       // how many lay behind at a first word after one
	awaitingMessage      bool      // the newest was begun after one, and no word has come since
	lastAliveAt          time.Time // when the node last showed a sign of life
	lastMessageAt        time.Time // when it last said anything; zero: never
	redialAt             time.Time // when a lost node is looked at again
	connRefused          bool      // the last connection was refused: no process is there
	failedDials          int       // connections that failed since the last that came up
	writeBuf             []byte
}

// attempt is a set-up: queued while conn is nil, else out.
type attempt struct {
	broker.Attempt
	conn   *conn
	sentAt time.Time // when its SETUP was written
}

// establishedSession is a session that plays.
type establishedSession struct {
	conn             *conn     // of its set-up; nil: closed
	withoutConnSince time.Time // since when it has none; the zero time: it has one
	setUpSentAt      time.Time // when its set-up was written, by whose process it is told from a later one's
}

// abandonedSetUp is a set-up that was given up, known until a time for a late answer.
type abandonedSetUp struct {
	conn      *conn
	sentAt    time.Time
	expiresAt time.Time
}

// pendingProbe is a probe that is out.
type pendingProbe struct {
	conn      *conn
	sentAt    time.Time
	expiresAt time.Time // when it is given up
	connCheck bool      // it asks for the connection's sake: the broker hears nothing of it
}

// earlyEnd is an end of a session that isn't known here.
type earlyEnd struct {
	cause     int
	expiresAt time.Time
}

type pendingRelease struct {
	cause     int
	expiresAt time.Time
}

func newNode(p *Pool, m directory.Member) *node {
	return &node{
		pool: p, member: m, server: m.Server, id: m.ID, upSince: m.Up,
		inbox:           mailbox.New[any](inboxLimit),
		attempts:        make(map[control.SessionID]*attempt),
		abandonedSetUps: make(map[control.SessionID]abandonedSetUp),
		established:     make(map[control.SessionID]*establishedSession),
		earlyEnds:       make(map[control.SessionID]earlyEnd),
		pendingReleases: make(map[control.SessionID]pendingRelease),
		pendingProbes:   make(map[uint64]pendingProbe),
		lastAliveAt:     time.Now(),
	}
}

// run is the actor's loop.
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
				n.handle(resumeSetUps{}) // the list could not be asked
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

func (n *node) finished() bool {
	return n.listedState() == control.Gone && len(n.attempts)+len(n.interrupted)+len(n.established)+len(n.pendingReleases) == 0 && !n.dialling
}

// listedAddr is where the list says that it is: at once, as its state binds. One that is gone
// may have none.
func (n *node) listedAddr() string {
	n.pool.mu.RLock()
	defer n.pool.mu.RUnlock()
	return n.member.Addr
}

func (n *node) listedState() control.ServerState { return control.ServerState(n.state.Load()) }

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

func (n *node) report(r broker.Report) {
	r.Server, r.Down = n.server, n.connRefused
	n.pool.cfg.Report(r)
}

func (n *node) endAttempt(a *attempt, status control.Status) {
	n.removeAttempt(a)
	n.report(broker.Report{Kind: broker.ReportEnded, ID: a.ID, AttemptNumber: a.Number, Status: status})
}

// reportReset ends a set-up that went down with its connection. confined: the node
// was heard of or reached since, so the fault was the connection's alone.
func (n *node) reportReset(a *attempt, nodeReachable bool) {
	n.report(broker.Report{Kind: broker.ReportEnded, ID: a.ID, AttemptNumber: a.Number, Status: control.ConnectionReset, ConnectionOnly: nodeReachable})
}

func (n *node) removeAttempt(a *attempt) {
	delete(n.attempts, a.ID)
	if a.conn != nil {
		a.conn.openSetUps--
	}
}

// Connections.

// connForSetUp returns a connection for a new set-up. One that has long been idle
// may be closing at the node: what is written there may or may not have run.
// One that has carried something goes before one that was opened for a look:
// the first use of each is a handshake's work to the node.
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

func (n *node) canSendOn(c *conn) bool {
	return !c.unusable && (c.openSetUps > 0 || time.Since(c.lastUsedAt) < n.pool.cfg.ConnIdleTimeout*reusableTenths/10)
}

// connForMessage returns any connection that can carry a message on a session.
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

// startDial begins to open a connection, if none is being opened.
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
	addr, timeout, lossesAtDial := n.listedAddr(), n.pool.cfg.ConnectTimeout, n.possibleLosses
	n.pool.group.Go(func() error {
		nc, err := (&net.Dialer{Timeout: timeout}).DialContext(n.pool.ctx, "tcp", addr)
		if err != nil {
			n.pool.openConns.Add(-1)
			n.inbox.Force(dialResult{err: err})
			return nil
		}
		c := &conn{Conn: nc, lastUsedAt: time.Now()}
		// The actor may have ended by now, and would not close it.
		defer context.AfterFunc(n.pool.ctx, func() { nc.Close() })()
		n.inbox.Force(dialResult{conn: c, addr: addr, lossesAtDial: lossesAtDial})
		// Reading waits for nothing: the actor has been told of c before.
		err = c.readMessages(n.pool.cfg.LoadFields, func(m message) bool { return n.inbox.Put(received{c, m}) })
		c.Close()
		n.pool.openConns.Add(-1)
		n.inbox.Force(connClosed{c, err})
		return nil
	})
}

func (n *node) handleDialResult(m dialResult) {
	n.dialling = false
	if m.err != nil {
		n.handleDialFailure(m.err)
		return
	}
	if m.addr != n.listedAddr() {
		// Guard: the list names another address by now, and this one may be another node's.
		n.closeConn(m.conn)
		n.startDial()
		return
	}
	n.lastAliveAt, n.failedDials, n.redialAt, n.connRefused = time.Now(), 0, time.Time{}, false
	n.conns = append(n.conns, m.conn)
	if n.coveredLosses < m.lossesAtDial {
		n.coveredLosses, n.awaitingMessage = m.lossesAtDial, m.lossesAtDial > n.lossesAtFirstMessage
	}
	n.trimConns()
	n.resolveInterrupted(true)
	n.sendQueued()
	for id, o := range n.pendingReleases {
		if n.sendTearDown(m.conn, id, o.cause) {
			delete(n.pendingReleases, id)
		}
	}
	// Guard: where the set-ups that waited fill the connection at once, a probe goes
	// on waiting. Counted down while they are counted up again, this never ended.
	queued := n.queuedProbes
	n.queuedProbes = 0
	for range queued {
		n.probe()
	}
}

// sendQueued sends the set-ups that waited.
func (n *node) sendQueued() {
	for _, a := range n.attempts {
		if a.conn == nil {
			n.sendSetUp(a)
		}
	}
}

// resolveInterrupted ends the set-ups whose connection broke, by whether the node can be
// reached since.
func (n *node) resolveInterrupted(nodeReachable bool) {
	for _, a := range n.interrupted {
		n.reportReset(a, nodeReachable)
	}
	n.interrupted = nil
}

// canRetireConns tells whether connections may be given back at all.
//
// Guard: not while a session stands. A node resets what is half closed, within 0.2 ms,
// and the end of a session whose own connection is gone goes down with it if the node has
// just said it there. That is one retired connection in tens of thousands; a soak had six
// thousand. What is left idle the node closes itself, after what it said.
func (n *node) canRetireConns() bool { return len(n.established) == 0 }

// trimConns retires the oldest connection that no set-up needs.
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

// handleDialFailure ends what waited for the connection: nothing of it ran. Guard: the
// program's own want of descriptors is not held against the node.
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
	// Guard: it may have been open at the node, which then has said ends on it.
	if !n.connRefused {
		n.countPossibleLoss(nil)
	}
	// Guard: the caller is owed an end within a second of when the node said it, and what
	// was said may have gone down with a connection. So one that never came up is followed
	// by the next at once; what fails in no time, or goes on failing, is not.
	var netErr net.Error
	redial := errors.As(err, &netErr) && netErr.Timeout() && n.failedDials < maxImmediateRedials
	n.failedDials++
	if n.endMayBeLost() && !redial {
		n.redialAt = time.Now().Add(redialInterval)
	}
	why := fmt.Sprint("no connection: ", err)
	switch {
	case n.connRefused && len(n.conns) == 0:
		n.endProcess(why, time.Now())
		clear(n.pendingReleases)
	case time.Since(n.lastAliveAt) > nodeLostTimeout:
		n.redialAt = time.Now().Add(redialInterval)
		// The node may hold its sessions still: it is told when it can be.
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

// endProcess ends what stood at a process that is gone, by when the next one came. What is open
// ends with its connection, behind what was said on it.
func (n *node) endProcess(why string, nextStart time.Time) {
	n.cutSessions(why, nextStart)
	n.closeUnusedSince(nextStart)
}

// closeUnusedSince closes what has carried nothing since a time.
func (n *node) closeUnusedSince(since time.Time) {
	for _, c := range n.conns {
		if c.lastUsedAt.Before(since) {
			n.closeConn(c)
		}
	}
}

// cutSessions ends the sessions that stood before a time. Their node says nothing, and
// their viewers must hear of it within seconds.
func (n *node) cutSessions(why string, before time.Time) {
	if len(n.established) > 0 {
		withoutConn := time.Duration(0) // for how long the first of them has had no connection
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

// closeConn gives a connection up; its reader tells when it is gone. What the node
// had sent and nobody has read goes with it.
func (n *node) closeConn(c *conn) {
	n.countBreak(c)
	c.unusable = true
	c.Close()
}

// handleWriteError takes a connection on which a write failed.
//
// Guard: what the node has closed it closed behind its last words, such as a 453 or a 200.
// They are read to the end. Only where it reads nothing the close has to tell it.
func (n *node) handleWriteError(c *conn, err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		n.closeConn(c)
		return
	}
	n.countBreak(c)
	c.unusable, c.closeAt = true, time.Now().Add(connSuspectTimeout)
}

// countBreak counts a connection that ends otherwise than by the node's own close, if
// it may take along what the node said last.
//
// Guard: a node sends the end of a session on the connection of its set-up, or on
// any where that is gone, and once more on the next connection that opens. One
// that is lost with its connection is said again only if another is opened, also
// where others are open and busy. An end on another connection that lives is safe.
func (n *node) countBreak(c *conn) {
	if c.breakCounted {
		return
	}
	c.breakCounted = true
	n.countPossibleLoss(c)
}

// countPossibleLoss counts a break of c, or with none of any that has closed, if a session stands
// whose end may have gone with it.
func (n *node) countPossibleLoss(c *conn) {
	if n.mayCarryEnds(c) {
		n.possibleLosses++
	}
}

// mayCarryEnds tells whether the node may say the end of a session on c, or with none on
// any connection: it is the session's own, or the session has none left.
func (n *node) mayCarryEnds(c *conn) bool {
	for _, s := range n.established {
		if s.conn == nil || s.conn == c || s.conn.unusable {
			return true
		}
	}
	return false
}

// endMayBeLost tells whether the end of a session may have been lost, and no
// connection has been opened since.
func (n *node) endMayBeLost() bool {
	return n.coveredLosses < n.possibleLosses && len(n.established) > 0
}

// handleClosed ends what was open on a connection. A byte of each SETUP has left, so
// each may have run.
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
	// What a node spoilt, it sent. Else a new connection tells whether the node is
	// there still: a dying process resets its connections too.
	nodeReachable := errors.Is(m.err, errInvalidMessage) || errors.Is(m.err, rtsp.ErrSyntax) || errors.Is(m.err, os.ErrDeadlineExceeded)
	for _, a := range n.attempts {
		if a.conn != m.conn {
			continue
		}
		n.removeAttempt(a)
		n.rememberAbandoned(a)
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
		n.startDial() // releases come on the next connection that opens
	}
}

// rememberAbandoned notes a set-up that nobody waits for any more.
func (n *node) rememberAbandoned(a *attempt) {
	n.abandonedSetUps[a.ID] = abandonedSetUp{a.conn, a.sentAt, time.Now().Add(abandonedSetUpTTL)}
}

// maintain gives up late probes and looks after silent nodes.
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
	for id, o := range n.pendingReleases {
		if now.After(o.expiresAt) {
			delete(n.pendingReleases, id)
		}
	}
	for id, e := range n.earlyEnds {
		// Guard: the process that hands the session over may live on for long.
		if n.pool.cfg.upgrading() && len(n.earlyEnds) <= inboxLimit {
			n.earlyEnds[id] = earlyEnd{e.cause, now.Add(earlyEndTTL)}
		} else if now.After(e.expiresAt) {
			delete(n.earlyEnds, id)
		}
	}
	for id, g := range n.abandonedSetUps {
		if now.After(g.expiresAt) {
			delete(n.abandonedSetUps, id)
		}
	}
	excess := -maxIdleConnsPerNode
	for _, c := range n.conns {
		if !c.unusable && n.canRetireConns() {
			excess++
		}
	}
	for _, used := range []bool{false, true} { // what was opened for a look first, then the oldest
		for _, c := range n.conns {
			switch {
			case !c.closeAt.IsZero() && now.After(c.closeAt):
				n.closeConn(c)
			case !c.unresponsiveSince.IsZero() && c.openSetUps == 0 && c.closeAt.Sub(now) > connSuspectTimeout && n.lastMessageAt.After(c.unresponsiveSince) && n.mayCarryEnds(c):
				// Guard: what a node says on a mute connection is lost for as long as
				// the node takes it for open. No set-up waits on this one any more. But
				// while the node stands still it is not closed: the node may take it for
				// newly opened when it goes on, and say there what it says only once more.
				// What it then has to say first on this one has time to come.
				c.closeAt = now.Add(connSuspectTimeout)
			case c.openSetUps == 0 && !c.unusable && !c.checkPending && c.suspect(now) && n.mayCarryEnds(c):
				// Guard: a set-up on it was cancelled before any word came. Nothing waits
				// on it that could time out, so nothing else tells.
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
	// A machine that is cut off keeps its connections open and silent: only a
	// new one tells. It also brings releases that found no connection.
	nodeSilent := now.Sub(n.lastAliveAt) > nodeSilenceTimeout
	if now.After(n.redialAt) && (len(n.pendingReleases) > 0 || n.endMayBeLost() || len(n.established) > 0 && (nodeSilent || len(n.conns) == 0)) {
		n.startDial()
	}
}

func (n *node) handleListChange(m listChange) {
	switch {
	case n.listedState() == control.Gone:
		n.endProcess("off the list", time.Now())
		n.resolveInterrupted(false)
		clear(n.pendingReleases)
	case m.member.Up.After(n.upSince):
		n.upSince = m.member.Up
		n.endProcess("restarted", n.upSince)
	}
	n.sendQueued() // or ends them, where the node takes nothing new
}

// Attempts and sessions.

// sendSetUp writes a SETUP, or has it wait for a connection.
func (n *node) sendSetUp(a *attempt) {
	for {
		// Guard: the list binds up to the first byte. Nothing that was queued or
		// waited for a connection goes to a node that drains or is gone.
		now := time.Now()
		// Nor does anything begin for a client that has gone meanwhile.
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
		if written > 0 { // a part has left: it may have run
			n.removeAttempt(a)
			n.reportReset(a, false)
			return
		}
	}
}

// abandon ends an attempt. It is out until its TEARDOWN is written, or until its
// connection, whose end gives it up too, is closed.
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
		return // its end or answer is on its way to the broker
	}
	status := control.Cancelled
	switch {
	case m.timedOut && a.conn == nil:
		status = control.ConnectFailed // not a byte has left
	case m.timedOut:
		status = control.TimedOut
	}
	c := a.conn
	if c != nil {
		n.rememberAbandoned(a)
		n.sendTearDown(c, a.ID, 0)
	}
	n.endAttempt(a, status)
	if status == control.TimedOut && !c.unconfirmedSince.IsZero() && !a.sentAt.Before(c.unconfirmedSince) && !c.unusable {
		// Guard: nothing later has come since this set-up left, nor may anything more.
		// The others on it keep their chance; no new one is put there.
		c.markUnresponsive(time.Now(), n.pool.cfg.ConnIdleTimeout)
	}
}

// sendTearDown writes a TEARDOWN on c, or closes c, which says as much.
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

func (n *node) write(c *conn, b []byte) bool {
	n.writeBuf = b
	if _, err := c.writeMessage(b); err != nil {
		n.handleWriteError(c, err)
		return false
	}
	return true
}

// release ends a session that stands, on any connection or the next that opens.
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

func (n *node) setRung(m setRungRequest) {
	var preferred *conn
	if a := n.attempts[m.id]; a != nil {
		if a.Rung = m.rung; a.conn == nil {
			return // its SETUP will say so
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

// sendProbe writes a probe on c, or closes c.
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

// handleMessage takes one message of the node.
func (n *node) handleMessage(m received) {
	now := time.Now()
	n.lastAliveAt, n.lastMessageAt, m.conn.lastUsedAt = now, now, now
	n.clearSuspicion(m)
	m.conn.lastReceivedAt = now
	if n.awaitingMessage {
		// Guard: a connection opens also to a node that stands still. When it goes on it
		// may say ends first on those that closed meanwhile, and know of the new one by
		// then: only one that opens after its first word tells.
		n.awaitingMessage = false
		n.countPossibleLoss(nil)
		n.lossesAtFirstMessage = n.possibleLosses
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
	if n.dialling { // what waits may have a place by now
		n.sendQueued()
	}
}

// clearSuspicion clears the suspicion of set-ups that a word is known to be later than.
//
// Guard: a word may have been under way when a SETUP was written, such as the 200 to an
// earlier message. Taken for a sign of life, a connection that has fallen mute gets the
// next set-ups, and keeps the ends that the node says on it. What answers a message is
// later than that; a second word is taken for later than what was written before the
// first came.
func (n *node) clearSuspicion(m received) {
	c := m.conn
	if c.unconfirmedSince.IsZero() {
		return
	}
	seenUntil := c.lastReceivedAt.Add(-1) // what was written in the same instant may be later
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

// answeredRequestSentAt returns when that was written which a word answers, on its connection; zero: it
// is not known.
func (n *node) answeredRequestSentAt(m received) time.Time {
	if m.status == 0 {
		return time.Time{}
	}
	if a := n.attempts[m.id]; a != nil && a.conn == m.conn {
		return a.sentAt
	}
	if g := n.abandonedSetUps[m.id]; g.conn == m.conn {
		return g.sentAt
	}
	if p := n.pendingProbes[uint64(m.id)]; p.conn == m.conn {
		return p.sentAt
	}
	return time.Time{}
}

// handleSetUpAnswer takes a final answer to a SETUP.
func (n *node) handleSetUpAnswer(m received) {
	a := n.attempts[m.id]
	if a == nil || a.conn == nil {
		if _, wasAbandoned := n.abandonedSetUps[m.id]; wasAbandoned && m.status == 200 {
			// Guard: a late 200 to a set-up that was given up is torn down. A second
			// copy of an answer, or one to an id never asked for, does nothing.
			n.established[m.id] = &establishedSession{conn: m.conn}
			n.release(releaseRequest{m.id, 0})
		}
		return
	}
	n.removeAttempt(a)
	if listed := n.listedState() != control.Gone; m.status == 200 && (!listed || a.sentAt.Before(n.upSince)) {
		// Guard: it lay behind the word that its process is gone. Nobody would say the
		// session's end where another process answers by now.
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

// handleTearDown takes a node's TEARDOWN of a session or of a set-up.
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

// adopt takes a session that played before this program started.
//
// Guard: the node says what ended meanwhile on the first connection that opens, which may
// be a set-up's, before the viewer names the session here. And a connection that is being
// opened may have been open there before the end was said on one that closed since.
func (n *node) adopt(m adoptRequest) {
	if e, ok := n.earlyEnds[m.id]; ok {
		n.endSession(m.id, e.cause, nil)
		return
	}
	n.established[m.id] = &establishedSession{setUpSentAt: time.Now()}
	if n.dialling {
		n.countPossibleLoss(nil)
	}
	n.startDial() // notes on it need a connection
}

// endSession ends a session that stood.
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

func formatSessionID(id control.SessionID) string {
	const digits = "0123456789abcdef"
	var b [16]byte
	for i := range b {
		b[i] = digits[uint64(id)>>(60-4*i)&15]
	}
	return string(b[:])
}
