package media

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"syscall"
	"time"

	"go.uber.org/zap"

	"millethinge/control"
	"millethinge/internal/broker"
	"millethinge/internal/rtsp"
)

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
	if purpose := n.dialPurpose(time.Now()); n.pool.acquireSlot(purpose) {
		n.dial()
	} else {
		n.awaitSlot(time.Now(), purpose)
	}
}

// dialPurpose returns what a connection would be opened for now.
func (n *node) dialPurpose(now time.Time) dialPurpose {
	if n.needsDialForEnds(now) {
		return dialForEnds
	}
	return dialForSetUps
}

// needsDialForEnds reports whether established sessions need another connection.
//
// Connections to a machine that is cut off stay open and silent: only a new one shows
// the failure. A new connection also carries the ends and releases that found none.
func (n *node) needsDialForEnds(now time.Time) bool {
	silent := n.isSilent(now) && !(n.pool.slotsScarce() && n.checkIsPending())
	return len(n.pendingReleases) > 0 || n.endMayBeLost() || len(n.established) > 0 && (silent || len(n.conns) == 0)
}

// isSilent reports whether the node has shown no sign of life for nodeSilenceTimeout.
func (n *node) isSilent(now time.Time) bool { return now.Sub(n.lastAliveAt) > nodeSilenceTimeout }

// checkIsPending reports whether a check was sent on a usable connection and may still be answered.
func (n *node) checkIsPending() bool {
	return slices.ContainsFunc(n.conns, func(c *conn) bool { return c.checkPending && !c.unusable })
}

// awaitSlot waits until a connection may be opened. A connection of the node itself is closed
// for it if one may be; otherwise other nodes are asked for one.
//
// Guard: a dial for ends waits as long as it takes. If it were given up, viewers would not be
// told until the connections in use close, and it is these ends that let them close.
func (n *node) awaitSlot(now time.Time, purpose dialPurpose) {
	if n.pool.cfg.connLimit() <= 0 {
		n.inbox.Force(dialResult{err: errConnLimit})
		return
	}
	n.waitingForSlot, n.slotWaitSince, n.slotPurpose = true, now, purpose
	n.pool.awaitSlot(n, purpose)
	demand := scarcity{purpose: purpose, connLimit: n.pool.cfg.connLimit(), probesDisabled: n.pool.cfg.DisableProbes}
	if c, offer := n.bestEviction(now); c != nil && demand.allows(now, offer) {
		n.evict(c, now)
		return
	}
	if !n.pool.makeRoom(now, purpose, 0) && purpose == dialForSetUps {
		n.stopWaitingForSlot()
	}
}

// stopWaitingForSlot gives a dial up that waits for a slot, unless one has just been granted.
func (n *node) stopWaitingForSlot() {
	if n.pool.cancelWait(n) {
		n.waitingForSlot = false
		n.inbox.Force(dialResult{err: errConnLimit})
	}
}

// maintainSlotWait runs on each tick while a dial waits for a slot. Set-ups don't wait for
// longer than a tick, since another node may take them.
func (n *node) maintainSlotWait(now time.Time) {
	purpose := n.dialPurpose(now)
	waitedEnough := now.Sub(n.slotWaitSince) >= tickInterval
	switch {
	case purpose == dialForSetUps && waitedEnough:
		n.stopWaitingForSlot()
		return
	case waitedEnough:
		n.failQueued(control.NotSent)
		n.resolveInterrupted(true)
	}
	if purpose != n.slotPurpose && n.pool.cancelWait(n) {
		n.slotPurpose = purpose
		n.pool.awaitSlot(n, purpose)
	}
	n.pool.makeRoom(now, purpose, now.Sub(n.slotWaitSince))
}

// dial opens a connection. A slot has been taken for it.
func (n *node) dial() {
	addr, lossCountAtStart := n.listedAddr(), n.lossCount
	n.pool.group.Go(func() error {
		nc, err := n.pool.cfg.Dial(n.pool.ctx, addr)
		if err != nil {
			n.pool.releaseSlot()
			n.inbox.Force(dialResult{err: err})
			return nil
		}
		c := &conn{Conn: nc, openedAt: time.Now(), lastUsedAt: time.Now()}
		// The actor may have ended by now, and would then not close the connection.
		defer context.AfterFunc(n.pool.ctx, func() { nc.Close() })()
		n.inbox.Force(dialResult{conn: c, addr: addr, lossCountAtStart: lossCountAtStart})
		// Reading can start at once: the dialResult is in the inbox ahead of all messages.
		err = c.readMessages(n.pool.cfg.LoadFields, func(m message) bool { return n.inbox.Put(received{c, m}) })
		c.Close()
		n.pool.releaseSlot()
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
	n.failQueued(status)
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

// failQueued ends the set-ups and probes that wait for a connection.
func (n *node) failQueued(status control.Status) {
	for _, a := range n.attempts {
		if a.conn == nil {
			n.endAttempt(a, status)
		}
	}
	for ; n.queuedProbes > 0; n.queuedProbes-- {
		n.report(broker.Report{Kind: broker.ReportProbed, Status: status})
	}
}

// closeUnusedSince closes the connections that have carried nothing since the given time.
func (n *node) closeUnusedSince(since time.Time) {
	for _, c := range n.conns {
		if c.lastUsedAt.Before(since) {
			n.closeConn(c)
		}
	}
}

// closeConn closes a connection; its reader then posts connClosed. Messages from the node that
// were not read yet are lost.
func (n *node) closeConn(c *conn) {
	n.countBreak(c)
	c.unusable, c.closed = true, true
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

// maintain runs on each tick. It drops what has expired, closes or retires connections,
// checks suspect ones, and dials a silent node.
func (n *node) maintain(now time.Time) {
	n.dropExpired(now)
	n.maintainConns(now)
	n.closeForgottenConns(now)
	n.maintainScarcity(now)
	if n.waitingForSlot {
		n.maintainSlotWait(now)
	}
	if now.After(n.redialAt) && n.needsDialForEnds(now) {
		n.startDial()
	}
}

// dropExpired drops the probes, releases, ends and set-ups whose time is over.
func (n *node) dropExpired(now time.Time) {
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
}

// maintainConns closes, retires and checks connections.
func (n *node) maintainConns(now time.Time) {
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
			case c.evicted && c.openSetUps == 0 && !c.closed:
				n.evict(c, now)
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
}

// closeForgottenConns closes the connections that the node should have closed by now, since
// they have been idle for longer than ConnIdleTimeout.
//
// Guard: a node's host may forget a connection without a sign here, and such connections would
// add up. While the node is silent it may be stalled, and may still send ends on them: it gets
// twice the time. Together with them the spare ones are closed, since one new connection then
// does for all; each of them would need another otherwise.
func (n *node) closeForgottenConns(now time.Time) {
	if !slices.ContainsFunc(n.conns, func(c *conn) bool { return n.isForgotten(c, now) }) {
		return
	}
	for _, c := range n.conns {
		spare := n.heardSinceOpened(c) && now.Sub(c.lastUsedAt) > idleConnTimeout
		if c.openSetUps == 0 && !c.unusable && (spare || n.isForgotten(c, now)) {
			c.unusable, c.closeAt = true, now.Add(connSuspectTimeout)
		}
	}
}

// isForgotten reports whether the node should have closed c by now.
func (n *node) isForgotten(c *conn, now time.Time) bool {
	if c.unusable || c.openSetUps > 0 {
		return false
	}
	closeDue := c.lastUsedAt.Add(n.pool.cfg.ConnIdleTimeout)
	if !n.lastMessageAt.After(closeDue) {
		closeDue = closeDue.Add(n.pool.cfg.ConnIdleTimeout)
	}
	return now.After(closeDue.Add(idleCloseMargin))
}
