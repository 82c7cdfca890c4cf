package media

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"millethinge/control"
	"millethinge/internal/broker"
	"millethinge/internal/rtsp"
)

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
		if ok && p.connCheck {
			p.conn.checkPending = false
		} else if ok {
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
		c.markResponsive() // if a check on it was answered late
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
		// would send the session's end if another process answers at the address by now. That
		// process may have set the session up.
		if !m.conn.unusable {
			n.sendTearDown(m.conn, m.id, broker.CauseInterrupted)
		}
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

// endProcess ends the established sessions of a node process that is gone and closes its
// connections. Only what is older than nextStart, when the next process started, belongs to
// it. Open set-ups end with their connection, after the messages already received on it.
func (n *node) endProcess(why string, nextStart time.Time) {
	n.cutSessions(why, nextStart)
	n.closeUnusedSince(nextStart)
}

// releaseReachable tears down the sessions of a node that is off the list where the connection of
// their set-up is open.
//
// Guard: a new process may have come up at the node's address before the list said so, and have set
// them up. Their viewers are told that they are over, so they must not stay there.
func (n *node) releaseReachable() {
	for id, s := range n.established {
		if s.conn != nil && !s.conn.unusable {
			n.sendTearDown(s.conn, id, broker.CauseInterrupted)
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

// rememberEnded remembers a set-up that ended without an answer, because it was abandoned or its
// connection broke, in case an answer arrives late.
func (n *node) rememberEnded(a *attempt) {
	n.endedSetUps[a.ID] = endedSetUp{a.conn, a.sentAt, time.Now().Add(endedSetUpTTL)}
}
