package broker

import (
	"bytes"
	"time"

	"go.uber.org/zap"

	"millethinge/control"
)

// drainRetryAfter is the RetryAfter of a request that is refused because of a drain.
const drainRetryAfter = 100 * time.Millisecond

const (
	recheckInterval    = 50 * time.Millisecond // time between checks whether the client of a deferred attempt is there
	deferredRetryAfter = time.Second           // RetryAfter of a request whose attempt was still deferred at the deadline
)

// session is the state of one request from its arrival until its attempt and its session
// have ended.
type session struct {
	Request
	client        Client    // nil: the connection is lost, or the viewer has cancelled the request
	requestedAt   time.Time // when the set-up was read on the client's connection
	disconnects   uint32    // how often the player's connection was lost
	deadline      time.Time
	answered      bool  // the final answer is given, or none is needed
	finalReply    Reply // for a player that reconnects
	attemptNumber int   // of the last attempt, from 1, while package control numbers attempts from 0; 0: none yet
	server        control.ServerID
	rung          int
	inFlight      bool            // an attempt has been started and has not ended
	deferred      *control.Action // set: the attempt in flight is not sent yet, since its client has gone
	playing       bool            // the session is established
	mayHaveRun    bool            // an attempt that has ended may have run
	countedInTeam bool            // counted in its team's ledger
	unclaimed     bool            // taken over from a predecessor, and its viewer has not yet sent a request with its ID (PlayingOn): client can only deliver the session's end
	establishedAt time.Time       // zero: unknown
}

// handleRequest admits a new request, or passes a repeated one to its session. If other
// processes of this manager may hold the session, they are asked first.
func (b *Broker) handleRequest(r Request) {
	if s := b.sessions[r.ID]; s != nil {
		b.rejoin(s, r)
		return
	}
	if previous, ok := b.endedReplies[r.ID]; ok && r.PlayingOn == 0 {
		// A player that missed the final answer and asks again gets the same answer;
		// nothing is set up a second time.
		if r.Grace <= 0 {
			b.counters.CountAnswer(r.Class, previous.Kind)
		}
		repeatReply(r.Client, previous)
		return
	}
	if c := b.claims[r.ID]; c != nil {
		b.rejoinClaim(c, r)
		return
	}
	if b.mustClaim(&r) {
		b.startClaim(r)
		return
	}
	b.admitRequest(r)
}

// admitRequest admits a request that no process has handled yet, or adds a session that is
// established already.
func (b *Broker) admitRequest(r Request) {
	now := b.clock.now()
	if b.refusesNew() {
		// Guard: a request that arrives late in a drain is answered too, and at once,
		// since the program may be killed before an attempt ends. Another manager may
		// accept it.
		b.counters.CountAnswer(r.Class, ReplyRefused)
		r.Client.Deliver(Reply{Kind: ReplyRefused, ID: r.ID, Cause: CauseRefused, RetryAfter: drainRetryAfter})
		return
	}
	s := &session{Request: r, client: r.Client, requestedAt: r.ReceivedAt, deadline: r.ReceivedAt.Add(r.TimeLeft), rung: b.settings.Classes[r.Class].FloorRung}
	event := control.Event{
		Session: r.ID, Class: r.Class, Tenant: r.Team, Title: r.Title,
		HomeCell: r.Home, Copies: r.Copies, MaxRung: r.MaxRung,
	}
	if r.PlayingOn != 0 {
		if !b.nodes.AddEstablished(r.PlayingOn, r.ID) {
			b.log.Warn("established session on a node that is not on the list", zap.Uint64("node", uint64(r.PlayingOn)))
			r.Client.Deliver(Reply{Kind: ReplyEnded, ID: r.ID, Cause: CauseInterrupted})
			return
		}
		s.playing, s.answered, s.server, s.attemptNumber = true, true, r.PlayingOn, 1
		s.finalReply = Reply{Kind: ReplyFailed, ID: r.ID, Cause: CauseFailed} // for a client that requests it again
		b.sessions[r.ID] = s
		event.Kind, event.Server = control.EventEstablished, r.PlayingOn
		event.TimeLeftS = r.TimeLeft.Seconds()
		b.dispatch(event)
		return
	}
	b.sessions[r.ID] = s
	b.playersChanged = true
	b.openSetUps[r.ID] = true
	b.timers.add(s.deadline.Add(-overdueMargin), timerDeadline, r.ID, 0)
	if retryAfter, ok := b.admit(now, s); !ok {
		b.refuse(s, retryAfter)
		return
	}
	event.Kind, event.InPeak = control.EventArrival, b.requestArrived(now, &r)
	event.TimeLeftS = max(s.deadline.Sub(now)-answerMargin, 0).Seconds()
	b.dispatch(event)
}

// rejoin assigns an existing session to the connection on which its player has reconnected
// or its viewer has repeated the set-up. A set-up in progress goes on: it is not started
// again, and its one answer goes to the new connection.
//
// Guard: a different set-up with the same ID, or one from another front, gets no access to
// the session. If it comes on the session's own connection while the set-up is open, the
// ID stands for two requests but can have only one answer, which is that the set-up failed.
func (b *Broker) rejoin(s *session, r Request) {
	switch {
	case r.PlayingOn != 0: // it names a session that this manager has already
		if s.unclaimed {
			s.client, s.unclaimed = r.Client, false
		} else if s.client != r.Client {
			r.Client.Deliver(Reply{Kind: ReplyClosed, ID: r.ID}) // the session stays with s.client
		}
	case (s.Grace > 0) != (r.Grace > 0) || !s.repeats(r):
		if s.client == r.Client && !s.answered {
			b.failSession(s)
			return
		}
		b.counters.CountAnswer(r.Class, ReplyFailed)
		r.Client.Deliver(Reply{Kind: ReplyFailed, ID: r.ID, Cause: CauseFailed})
	default:
		switch {
		case s.client == nil:
		case s.playing:
			s.client.Deliver(Reply{Kind: ReplyClosed, ID: s.ID}) // the session belongs to the new connection now
		case s.client != r.Client:
			s.client.Deliver(Reply{Kind: ReplyAbandoned, ID: s.ID})
		}
		s.client, s.requestedAt = r.Client, r.ReceivedAt
		switch action := s.deferred; {
		case s.answered:
			repeatReply(s.client, s.finalReply)
		case action != nil:
			b.sendOrDefer(b.clock.now(), s, *action)
		}
	}
}

// repeatReply answers a repeated set-up with the final reply of its session.
//
// Guard: a front does not take the end of an established session for the answer to a
// set-up, so that an open set-up with the same ID has to be closed by ReplyAbandoned.
func repeatReply(c Client, r Reply) {
	c.Deliver(r)
	if r.Kind == ReplyEnded || r.Kind == ReplyMoved {
		c.Deliver(Reply{Kind: ReplyAbandoned, ID: r.ID})
	}
}

// repeats reports whether r is the same request as s. It compares what the viewer named, not
// what the rules made of it, since the rules may have been reloaded in between.
func (s *session) repeats(r Request) bool {
	return s.PlayingOn == 0 && s.Requested == r.Requested && s.Key == r.Key && s.Home == r.Home &&
		s.Copies == r.Copies && s.MaxRung == r.MaxRung && bytes.Equal(s.Description, r.Description)
}

// handleConnectionLost abandons the open set-ups of a lost connection. Where there is a
// grace, it keeps set-ups and sessions for a player that may reconnect.
func (b *Broker) handleConnectionLost(c Client) {
	for _, s := range b.sessions {
		if s.client == c {
			b.loseClient(s)
		}
	}
	for _, claim := range b.claims {
		if claim.client == c {
			b.loseClaimClient(claim)
		}
	}
}

// loseClient handles the loss of the connection of one session's viewer.
func (b *Broker) loseClient(s *session) {
	if s.Grace > 0 {
		s.client = nil
		s.disconnects++
		b.timers.add(b.clock.now().Add(s.Grace), timerGrace, s.ID, s.disconnects)
	} else if !s.answered {
		b.abandonSession(s)
	}
}

// handleViewerEnd abandons a set-up or ends an established session.
func (b *Broker) handleViewerEnd(e ViewerEnd) {
	s := b.sessions[e.ID]
	if s == nil {
		b.forwardViewerEnd(e)
		return
	}
	if b.playersHandedOver[e.ID] {
		return // the successor releases it, as the player is at none of its connections
	}
	if s.playing {
		b.recordViewerEnd(s, e.Cause)
		b.nodes.Release(s.server, s.ID, e.Cause)
		b.endSession(s, Report{Status: control.Cancelled})
		return
	}
	if s.client == e.Client {
		s.client = nil // needs no reply, and may have sent a new request with this ID
	}
	b.abandonSession(s)
}

// abandonSession ends a session or a set-up whose viewer no longer waits. The viewer gets no
// answer; if its connection is still known, ReplyAbandoned lets the front close its open
// set-up, and ReplyClosed its established session.
func (b *Broker) abandonSession(s *session) {
	if s.playing {
		b.recordViewerEnd(s, CauseEnded)
		b.nodes.Release(s.server, s.ID, CauseEnded)
		b.endSession(s, Report{Status: control.Cancelled})
		return
	}
	s.answered, s.finalReply = true, Reply{Kind: ReplyFailed, ID: s.ID, Cause: CauseFailed}
	delete(b.openSetUps, s.ID)
	if s.client != nil {
		s.client.Deliver(Reply{Kind: ReplyAbandoned, ID: s.ID})
	}
	b.abandonAttempt(s, false)
	b.dispatch(control.Event{Kind: control.EventAbandoned, Session: s.ID})
	b.forget(s)
}

// abandonAttempt abandons the attempt in flight, if there is one.
func (b *Broker) abandonAttempt(s *session, timedOut bool) {
	switch {
	case !s.inFlight:
	case s.deferred != nil:
		s.deferred = nil
		b.reportUnsent(s, s.server)
	default:
		b.nodes.Abandon(s.server, s.ID, s.attemptNumber, timedOut)
	}
}

// answerOverdue answers a request that is still unanswered shortly before the viewer's
// deadline, whatever a node or the decision module does.
func (b *Broker) answerOverdue(id control.SessionID) {
	if c := b.claims[id]; c != nil {
		b.expireClaim(c)
		return
	}
	s := b.sessions[id]
	if s == nil || s.answered {
		return
	}
	b.log.Warn("answered at the deadline", zap.Uint64("session", uint64(id)))
	if s.deferred != nil { // this attempt was not sent
		b.refuse(s, deferredRetryAfter)
	}
	b.failSession(s)
}

// failSession answers a request with ReplyFailed and abandons its attempt in flight.
func (b *Broker) failSession(s *session) {
	b.answer(s, Reply{Kind: ReplyFailed, ID: s.ID, Cause: CauseFailed})
	b.abandonAttempt(s, true)
	b.dispatch(control.Event{Kind: control.EventAbandoned, Session: s.ID})
	b.forget(s)
}

// startAttempt starts an attempt.
//
// Guard: a session has one attempt in flight at a time. The decision module learns of an
// attempt's end only once its TEARDOWN is written.
func (b *Broker) startAttempt(now time.Time, s *session, action control.Action) {
	if s == nil || s.answered || s.inFlight || s.playing {
		return
	}
	s.attemptNumber++
	if s.mayHaveRun && !b.repeatable(s.Class) {
		// Guard: a session that must not be set up twice gets a further attempt only if
		// no earlier one can have run.
		b.reportUnsent(s, action.Server)
		return
	}
	if s.attemptNumber > b.settings.AttemptsCap || !b.takeFurtherAttempt(now, s) {
		b.reportUnsent(s, action.Server)
		return
	}
	s.server, s.inFlight = action.Server, true
	b.sendOrDefer(now, s, action)
}

// sendOrDefer sends the attempt in flight if its client is there, and defers it otherwise.
//
// Guard: no attempt is sent for a client that has gone. An attempt that was sent before
// goes on. A deferred one waits until the player reconnects or until the loss of the
// connection, which is on its way through the mailbox, is handled. A client whose input is
// not read for a while may still want the session: it is checked again after
// recheckInterval.
func (b *Broker) sendOrDefer(now time.Time, s *session, action control.Action) {
	s.deferred = nil
	if s.client == nil || s.client.Gone(s.ID) {
		s.deferred = &action
		b.timers.add(now.Add(recheckInterval), timerRecheck, s.ID, 0)
		return
	}
	b.sendAttempt(now, s, action)
}

// recheckClient checks again whether the client of a deferred attempt is there.
func (b *Broker) recheckClient(id control.SessionID) {
	if s := b.sessions[id]; s != nil && s.deferred != nil && s.client != nil {
		b.sendOrDefer(b.clock.now(), s, *s.deferred)
	}
}

// sendAttempt passes the attempt in flight to its node.
func (b *Broker) sendAttempt(now time.Time, s *session, action control.Action) {
	attemptDeadline := s.deadline.Add(-answerMargin)
	if action.SetupTimeoutS > 0 {
		if limit := now.Add(seconds(action.SetupTimeoutS)); limit.Before(attemptDeadline) {
			attemptDeadline = limit
		}
	}
	ok := b.nodes.SetUp(action.Server, Attempt{
		ID: s.ID, Number: s.attemptNumber, Class: s.Class, Key: s.Key, Rung: s.rung,
		Deadline: attemptDeadline, Description: s.Description, Client: s.client,
	})
	if !ok {
		b.reportUnsent(s, action.Server)
		return
	}
	b.timers.add(attemptDeadline, timerAttempt, s.ID, uint32(s.attemptNumber))
}

// reportUnsent reports the end of an attempt that was never sent. The report is queued, so
// that the decision module learns of it after the actions that it has already returned.
func (b *Broker) reportUnsent(s *session, server control.ServerID) {
	s.inFlight, s.server = true, server
	b.Report(Report{Kind: ReportEnded, Server: server, ID: s.ID, AttemptNumber: s.attemptNumber, Status: control.NotSent})
}

// refuse answers a request with ReplyRefused.
//
// Guard: a session that must not be set up twice is never refused if an attempt may have
// run, since the viewer would repeat it: the answer is then ReplyFailed.
func (b *Broker) refuse(s *session, retryAfter time.Duration) {
	if !b.repeatable(s.Class) && (s.mayHaveRun || s.inFlight && s.deferred == nil) {
		b.answer(s, Reply{Kind: ReplyFailed, ID: s.ID, Cause: CauseFailed})
		return
	}
	b.answer(s, Reply{Kind: ReplyRefused, ID: s.ID, Cause: CauseRefused, RetryAfter: retryAfter})
}

// answer gives the one final answer to a request. It reports whether the answer can reach
// the viewer.
func (b *Broker) answer(s *session, r Reply) bool {
	if s.answered {
		return true
	}
	reached := true
	s.answered, s.finalReply = true, r
	b.playersChanged = true
	b.counters.CountAnswer(s.Class, r.Kind)
	if ce := b.log.Check(zap.DebugLevel, "answered"); ce != nil {
		// One line for each request, so that it can be traced by its ID through all
		// managers that it was sent to.
		ce.Write(zap.Uint64("session", uint64(s.ID)), zap.Int("class", s.Class), zap.Uint8("kind", uint8(r.Kind)),
			zap.Int("cause", r.Cause), zap.Int("attempts", s.attemptNumber), zap.Uint64("node", uint64(s.server)),
			zap.Bool("mayRun", s.mayHaveRun), zap.Duration("wait", r.RetryAfter), zap.Duration("left", s.deadline.Sub(b.clock.now())))
	}
	delete(b.openSetUps, s.ID)
	if s.client != nil { // otherwise finalReply is kept for the player
		reached = s.client.Deliver(r) || s.Grace > 0
	}
	if r.Kind != ReplyServed {
		b.forget(s)
	}
	return reached
}

// forget removes a session that is answered, has no attempt in flight and is not playing.
// Its final reply is kept for a while if its player may still ask for it.
func (b *Broker) forget(s *session) {
	if s.inFlight || s.playing || !s.answered {
		return
	}
	if b.sessions[s.ID] != s {
		return
	}
	delete(b.sessions, s.ID)
	b.releaseTeamSession(s)
	switch {
	case s.Grace > 0:
		b.keepReply(s.ID, s.finalReply)
	case s.mayHaveRun && !b.repeatable(s.Class):
		// Guard: a viewer may ask again under this ID after it has left. The set-up must not run
		// twice, and what it has become is not known to the viewer.
		b.keepReply(s.ID, Reply{Kind: ReplyFailed, ID: s.ID, Cause: CauseFailed})
	}
}

// repeatable reports whether set-ups of a class may run twice without harm.
func (b *Broker) repeatable(class int) bool {
	return b.settings.Classes[class].RepeatEffect == control.Idempotent
}

// keepReply keeps a final reply for a while, for a player or viewer that asks again.
func (b *Broker) keepReply(id control.SessionID, r Reply) {
	b.playersChanged = true
	if len(b.endedReplies) < maxEndedReplies {
		b.endedReplies[id] = r
		b.timers.add(b.clock.now().Add(endedReplyRetention), timerForgetReply, id, 0)
	}
}

// handleReport handles the report of a media node.
func (b *Broker) handleReport(r Report) {
	for _, p := range b.planners {
		p.NodeReported(b.clock.now(), &r)
	}
	if r.Kind == ReportProbed {
		b.dispatch(control.Event{Kind: control.EventProbeResult, Server: r.Server, Status: r.Status, ProcessDown: r.Down, Load: r.Load})
		return
	}
	s := b.sessions[r.ID]
	if s == nil || s.server != r.Server || r.AttemptNumber != 0 && r.AttemptNumber != s.attemptNumber {
		if r.Kind == ReportStarted {
			// Guard: a session that is established after its attempt was abandoned is
			// torn down.
			b.nodes.Release(r.Server, r.ID, CauseEnded)
		}
		return
	}
	switch r.Kind {
	case ReportStarted:
		b.attemptStarted(s, r)
	case ReportEnded:
		b.attemptEnded(s, r)
	case ReportNote:
		b.dispatch(control.Event{Kind: control.EventNote, Session: s.ID, Server: r.Server,
			Attempt: s.attemptNumber - 1, Note: r.Note, Value: r.Value})
	}
}

// attemptStarted marks a session as established and answers its request. If the request was
// answered before, it tears the session down.
func (b *Broker) attemptStarted(s *session, r Report) {
	if !s.inFlight || s.playing {
		return
	}
	s.inFlight, s.mayHaveRun = false, true
	if s.answered {
		b.nodes.Release(r.Server, s.ID, CauseEnded)
		b.dispatch(control.Event{Kind: control.EventAttemptEnded, Session: s.ID, Attempt: s.attemptNumber - 1,
			Server: s.server, Status: control.Cancelled, RequestFinished: true})
		b.forget(s)
		return
	}
	s.playing, s.establishedAt = true, b.clock.now()
	b.dispatch(control.Event{Kind: control.EventStarted, Session: s.ID, Server: s.server, Attempt: s.attemptNumber - 1})
	if !b.answer(s, Reply{Kind: ReplyServed, ID: s.ID, Description: r.Description}) {
		// The connection is lost, and there is no grace to reconnect in.
		b.nodes.Release(s.server, s.ID, CauseEnded)
		b.endSession(s, Report{Status: control.Cancelled})
	}
}

// attemptEnded handles the end of an established session or of the attempt in flight.
func (b *Broker) attemptEnded(s *session, r Report) {
	if s.playing {
		cause := r.Cause
		if cause == 0 {
			cause = CauseInterrupted
		}
		if cause == CauseCancelled { // the viewer itself ended it
			b.recordViewerEnd(s, cause)
		} else {
			b.notifyEnded(s, Reply{Kind: ReplyEnded, ID: s.ID, Cause: cause})
		}
		b.endSession(s, r)
		return
	}
	if !s.inFlight {
		return
	}
	s.inFlight = false
	if ce := b.log.Check(zap.DebugLevel, "attempt ended"); ce != nil {
		ce.Write(zap.Uint64("session", uint64(s.ID)), zap.Int("attempt", s.attemptNumber), zap.Uint64("node", uint64(s.server)),
			zap.Int("status", int(r.Status)), zap.Bool("answered", s.answered))
	}
	switch r.Status {
	case control.Full, control.ConnectFailed, control.NotSent: // the attempt provably did not run
	default:
		s.mayHaveRun = true
	}
	b.dispatch(control.Event{Kind: control.EventAttemptEnded, Session: s.ID, Attempt: s.attemptNumber - 1, Server: s.server,
		Status: r.Status, ConnectionOnly: r.ConnectionOnly, ProcessDown: r.Down, RequestFinished: s.answered, Load: r.Load})
	b.forget(s)
}

// notifyEnded keeps the final reply of an established session and delivers it.
func (b *Broker) notifyEnded(s *session, r Reply) {
	if ce := b.log.Check(zap.DebugLevel, "session over"); ce != nil {
		ce.Write(zap.Uint64("session", uint64(s.ID)), zap.Uint64("node", uint64(s.server)), zap.Int("cause", r.Cause),
			zap.Duration("stood", b.clock.now().Sub(s.establishedAt)))
	}
	s.finalReply = r
	if s.client != nil {
		s.client.Deliver(r)
	}
}

// recordViewerEnd records the final reply of an established session that its viewer has ended
// or abandoned, and tells the front with ReplyClosed that the session is over.
func (b *Broker) recordViewerEnd(s *session, cause int) {
	if s.client != nil {
		s.client.Deliver(Reply{Kind: ReplyClosed, ID: s.ID})
	}
	s.finalReply = Reply{Kind: ReplyEnded, ID: s.ID, Cause: cause}
}

// endSession ends an established session with the status of r, and tells the planners and
// the decision module.
func (b *Broker) endSession(s *session, r Report) {
	s.playing, s.mayHaveRun = false, true
	if b.endedSinceHandover != nil {
		b.endedSinceHandover[s.ID] = s.finalReply.Cause
	}
	if now := b.clock.now(); !s.establishedAt.IsZero() {
		for _, p := range b.planners {
			p.SessionEnded(now, s.Class, now.Sub(s.establishedAt), r.Status != control.OK && r.Status != control.Cancelled)
		}
	}
	b.dispatch(control.Event{Kind: control.EventAttemptEnded, Session: s.ID, Attempt: s.attemptNumber - 1, Server: s.server,
		Status: r.Status, ProcessDown: r.Down, RequestFinished: true, Load: r.Load})
	b.forget(s)
}
