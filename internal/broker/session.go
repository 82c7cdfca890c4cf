package broker

import (
	"bytes"
	"time"

	"go.uber.org/zap"

	"millethinge/control"
)

// drainRetryAfter is how long a viewer should stay away from a program that ends.
const drainRetryAfter = 100 * time.Millisecond

const (
	recheckInterval    = 50 * time.Millisecond // between looks at a client that an attempt waits for
	deferredRetryAfter = time.Second           // for which one is sent away that was not heard in time
)

// session is one request from its arrival until all of it has ended.
type session struct {
	Request
	client        Client // nil: its player's connection is lost
	disconnects   uint32 // how often it was
	deadline      time.Time
	answered      bool // the final answer is given, or none is owed
	finalReply    Reply
	attemptNumber int // number of the last attempt
	server        control.ServerID
	rung          int
	inFlight      bool            // an attempt is out
	deferred      *control.Action // the attempt that is out has not begun: its client has gone
	playing       bool
	mayHaveRun    bool // an earlier attempt may have run
	countedInTeam bool
	adopted       bool      // an older process set it up; its client is only where its viewer is
	establishedAt time.Time // since when it plays
}

func (b *Broker) handleRequest(r Request) {
	now := b.clock.now()
	if s := b.sessions[r.ID]; s != nil {
		b.rejoin(s, r)
		return
	}
	if previous, ok := b.endedReplies[r.ID]; ok {
		// A player that lost the final answer asks again: it gets the same one,
		// and nothing is set up a second time.
		repeatReply(r.Client, previous)
		return
	}
	if b.refusesNew() {
		// Guard: a request that comes late in a drain is answered too, at once: the
		// program may be killed before an attempt ends. Another manager may take it.
		b.counters.CountAnswer(r.Class, ReplyRefused)
		r.Client.Deliver(Reply{Kind: ReplyRefused, ID: r.ID, Cause: CauseRefused, RetryAfter: drainRetryAfter})
		return
	}
	s := &session{Request: r, client: r.Client, deadline: r.ReceivedAt.Add(r.TimeLeft), rung: b.settings.Classes[r.Class].FloorRung}
	event := control.Event{
		Session: r.ID, Class: r.Class, Tenant: r.Team, Title: r.Title,
		HomeCell: r.Home, Copies: r.Copies, MaxRung: r.MaxRung,
	}
	if r.PlayingOn != 0 {
		if !b.nodes.AddEstablished(r.PlayingOn, r.ID) {
			b.log.Warn("a session stands at an unlisted node", zap.Uint64("node", uint64(r.PlayingOn)))
			r.Client.Deliver(Reply{Kind: ReplyEnded, ID: r.ID, Cause: CauseInterrupted})
			return
		}
		s.playing, s.answered, s.server, s.attemptNumber = true, true, r.PlayingOn, 1
		s.finalReply = Reply{Kind: ReplyFailed, ID: r.ID, Cause: CauseFailed} // to whoever asks for it anew
		b.sessions[r.ID] = s
		event.Kind, event.Server = control.EventEstablished, r.PlayingOn
		event.TimeLeftS = r.TimeLeft.Seconds()
		b.dispatch(event)
		return
	}
	b.sessions[r.ID] = s
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

// rejoin gives a running session to the connection that its player came back
// on, or that a viewer repeated its set-up on. The set-up under way goes on:
// none is begun again, and the one answer goes there.
//
// Guard: a set-up that only has the id in common, or comes from another front,
// gets nothing of the session. Where its connection is the session's own, that
// one id has two meanings and can have one answer: it failed.
func (b *Broker) rejoin(s *session, r Request) {
	switch {
	case r.PlayingOn != 0: // it names what is held already
		if s.adopted {
			s.client, s.adopted = r.Client, false
		} else if s.client != r.Client {
			r.Client.Deliver(Reply{Kind: ReplyClosed, ID: r.ID}) // there
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
			s.client.Deliver(Reply{Kind: ReplyClosed, ID: s.ID}) // it stands by the other set-up now
		case s.client != r.Client:
			s.client.Deliver(Reply{Kind: ReplyAbandoned, ID: s.ID})
		}
		s.client = r.Client
		switch action := s.deferred; {
		case s.answered:
			repeatReply(s.client, s.finalReply)
		case action != nil:
			b.sendOrDefer(b.clock.now(), s, *action)
		}
	}
}

// repeatReply answers a set-up by how its session ended before. Guard: the end of what stood
// is no answer to a set-up, and leaves one that is open under that id as it is.
func repeatReply(c Client, r Reply) {
	c.Deliver(r)
	if r.Kind == ReplyEnded || r.Kind == ReplyMoved {
		c.Deliver(Reply{Kind: ReplyAbandoned, ID: r.ID})
	}
}

// repeats tells whether r asks for the same as s did. What it named counts, not
// what rules made of it: they may have been swapped since.
func (s *session) repeats(r Request) bool {
	return s.PlayingOn == 0 && s.Requested == r.Requested && s.Key == r.Key && s.Home == r.Home &&
		s.Copies == r.Copies && s.MaxRung == r.MaxRung && bytes.Equal(s.Description, r.Description)
}

// handleConnectionLost gives up the set-ups open on a connection that is gone, or keeps
// them for a player that may come back.
func (b *Broker) handleConnectionLost(c Client) {
	now := b.clock.now()
	for _, s := range b.sessions {
		if s.client != c {
			continue
		}
		if s.Grace > 0 {
			s.client = nil
			s.disconnects++
			b.timers.add(now.Add(s.Grace), timerGrace, s.ID, s.disconnects)
		} else if !s.answered {
			b.abandonSession(s)
		}
	}
}

// handleViewerEnd gives a set-up up or ends a session that stands.
func (b *Broker) handleViewerEnd(e ViewerEnd) {
	s := b.sessions[e.ID]
	if s == nil {
		return
	}
	if s.playing {
		b.recordViewerEnd(s, e.Cause)
		b.nodes.Release(s.server, s.ID, e.Cause)
		b.endSession(s, Report{Status: control.Cancelled})
		return
	}
	if s.client == e.Client {
		s.client = nil // it knows, and may have asked anew under that id
	}
	b.abandonSession(s)
}

// abandonSession ends a session whose viewer waits no more. No answer is owed.
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

// abandonAttempt ends the attempt that is out, if one is.
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

// answerOverdue answers what nothing else has answered: the last guard before a
// viewer's time is up, whatever a node or the module does.
func (b *Broker) answerOverdue(id control.SessionID) {
	s := b.sessions[id]
	if s == nil || s.answered {
		return
	}
	b.log.Warn("answered at the deadline", zap.Uint64("session", uint64(id)))
	if s.deferred != nil { // nothing of this attempt has run
		b.refuse(s, deferredRetryAfter)
	}
	b.failSession(s)
}

// failSession answers a session that waits no longer for what is out.
func (b *Broker) failSession(s *session) {
	b.answer(s, Reply{Kind: ReplyFailed, ID: s.ID, Cause: CauseFailed})
	b.abandonAttempt(s, true)
	b.dispatch(control.Event{Kind: control.EventAbandoned, Session: s.ID})
	b.forget(s)
}

// startAttempt sends an attempt. One attempt is out at a time: the module is told
// an attempt's end only when its TEARDOWN is written, and this guards it.
func (b *Broker) startAttempt(now time.Time, s *session, action control.Action) {
	if s == nil || s.answered || s.inFlight || s.playing {
		return
	}
	s.attemptNumber++
	if s.mayHaveRun && b.settings.Classes[s.Class].RepeatEffect != control.Idempotent {
		// Guard: a paid session is sent again only if no attempt can have run.
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

// sendOrDefer has the attempt that is out begin if its client is there.
//
// Guard: nothing begins for a client that has gone. What it had begun goes on, and this
// waits for its player, who may come back, or for its loss, which is on its way here. A
// client that is not heard for a time may still want it: it is looked at again.
func (b *Broker) sendOrDefer(now time.Time, s *session, action control.Action) {
	s.deferred = nil
	if s.client == nil || s.client.Gone(s.ID) {
		s.deferred = &action
		b.timers.add(now.Add(recheckInterval), timerRecheck, s.ID, 0)
		return
	}
	b.sendAttempt(now, s, action)
}

// recheckClient looks again whether the client of an attempt that waits for it is there.
func (b *Broker) recheckClient(id control.SessionID) {
	if s := b.sessions[id]; s != nil && s.deferred != nil && s.client != nil {
		b.sendOrDefer(b.clock.now(), s, *s.deferred)
	}
}

// sendAttempt has the attempt that is out begin.
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

// reportUnsent reports an attempt that never left, after the module's present actions.
func (b *Broker) reportUnsent(s *session, server control.ServerID) {
	s.inFlight, s.server = true, server
	b.Report(Report{Kind: ReportEnded, Server: server, ID: s.ID, AttemptNumber: s.attemptNumber, Status: control.NotSent})
}

// refuse tells a viewer to come again later. The rule on paid sessions covers
// every refusal: where an attempt may have run the answer is that it failed.
func (b *Broker) refuse(s *session, retryAfter time.Duration) {
	if b.settings.Classes[s.Class].RepeatEffect != control.Idempotent && (s.mayHaveRun || s.inFlight && s.deferred == nil) {
		b.answer(s, Reply{Kind: ReplyFailed, ID: s.ID, Cause: CauseFailed})
		return
	}
	b.answer(s, Reply{Kind: ReplyRefused, ID: s.ID, Cause: CauseRefused, RetryAfter: retryAfter})
}

// answer gives the one final answer. False: it can't reach the viewer.
func (b *Broker) answer(s *session, r Reply) bool {
	if s.answered {
		return true
	}
	reached := true
	s.answered, s.finalReply = true, r
	b.counters.CountAnswer(s.Class, r.Kind)
	if ce := b.log.Check(zap.DebugLevel, "answered"); ce != nil {
		// One line a request, so that a request can be followed by its id
		// through every manager that had it.
		ce.Write(zap.Uint64("session", uint64(s.ID)), zap.Int("class", s.Class), zap.Uint8("kind", uint8(r.Kind)),
			zap.Int("cause", r.Cause), zap.Int("attempts", s.attemptNumber), zap.Uint64("node", uint64(s.server)),
			zap.Bool("mayRun", s.mayHaveRun), zap.Duration("wait", r.RetryAfter), zap.Duration("left", s.deadline.Sub(b.clock.now())))
	}
	delete(b.openSetUps, s.ID)
	if s.client != nil { // else it waits in s.reply for its player
		reached = s.client.Deliver(r) || s.Grace > 0
	}
	if r.Kind != ReplyServed {
		b.forget(s)
	}
	return reached
}

// forget drops a session that has its answer and nothing out. What a player
// may still ask for is kept a while.
func (b *Broker) forget(s *session) {
	if s.inFlight || s.playing || !s.answered {
		return
	}
	if b.sessions[s.ID] != s {
		return
	}
	delete(b.sessions, s.ID)
	b.releaseTeamSession(s)
	if s.Grace > 0 && len(b.endedReplies) < maxEndedReplies {
		b.endedReplies[s.ID] = s.finalReply
		b.timers.add(b.clock.now().Add(endedReplyRetention), timerForgetReply, s.ID, 0)
	}
}

// handleReport takes what a media node tells of an attempt or a session.
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
			// Guard: a late 200 after giving up is torn down.
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

func (b *Broker) attemptStarted(s *session, r Report) {
	if !s.inFlight || s.playing {
		return
	}
	s.inFlight = false
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
		// Its connection is gone and nobody will come back for it.
		b.nodes.Release(s.server, s.ID, CauseEnded)
		b.endSession(s, Report{Status: control.Cancelled})
	}
}

func (b *Broker) attemptEnded(s *session, r Report) {
	if s.playing {
		cause := r.Cause
		if cause == 0 {
			cause = CauseInterrupted
		}
		if cause == CauseCancelled { // the viewer knows of its own end
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
	case control.Full, control.ConnectFailed, control.NotSent: // proven not to have run
	default:
		s.mayHaveRun = true
	}
	b.dispatch(control.Event{Kind: control.EventAttemptEnded, Session: s.ID, Attempt: s.attemptNumber - 1, Server: s.server,
		Status: r.Status, ConnectionOnly: r.ConnectionOnly, ProcessDown: r.Down, RequestFinished: s.answered, Load: r.Load})
	b.forget(s)
}

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

// recordViewerEnd notes the end of a session that its viewer knows of.
func (b *Broker) recordViewerEnd(s *session, cause int) {
	if s.client != nil {
		s.client.Deliver(Reply{Kind: ReplyClosed, ID: s.ID})
	}
	s.finalReply = Reply{Kind: ReplyEnded, ID: s.ID, Cause: cause}
}

// endSession ends a session that stood, as its node's report says.
func (b *Broker) endSession(s *session, r Report) {
	s.playing = false
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
