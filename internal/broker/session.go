package broker

import (
	"bytes"
	"time"

	"go.uber.org/zap"

	"millethinge/control"
)

// lastWait is how long a viewer should stay away from a program that ends.
const lastWait = 100 * time.Millisecond

const (
	lookTime    = 50 * time.Millisecond // between looks at a client that an attempt waits for
	unheardWait = time.Second           // for which one is sent away that was not heard in time
)

// session is one request from its arrival until all of it has ended.
type session struct {
	Request
	client   Client // nil: its player's connection is lost
	losses   uint32 // how often it was
	deadline time.Time
	answered bool // the final answer is given, or none is owed
	reply    Reply
	attempt  int // number of the last attempt
	server   control.ServerID
	rung     int
	out      bool            // an attempt is out
	paused   *control.Action // the attempt that is out has not begun: its client has gone
	playing  bool
	mayRun   bool // an earlier attempt may have run
	billed   bool
	adopted  bool      // an older process set it up; its client is only where its viewer is
	stood    time.Time // since when it plays
}

func (b *Broker) request(r Request) {
	now := b.clock.now()
	if s := b.sessions[r.ID]; s != nil {
		b.rejoin(s, r)
		return
	}
	if last, ok := b.ended[r.ID]; ok {
		// A player that lost the final answer asks again: it gets the same one,
		// and nothing is set up a second time.
		tellAgain(r.Client, last)
		return
	}
	if b.closing() {
		// Guard: a request that comes late in a drain is answered too, at once: the
		// program may be killed before an attempt ends. Another manager may take it.
		b.counts.Answered(r.Class, Refused)
		r.Client.Deliver(Reply{Kind: Refused, ID: r.ID, Cause: CauseRefused, Wait: lastWait})
		return
	}
	s := &session{Request: r, client: r.Client, deadline: r.Came.Add(r.Left), rung: b.set.Classes[r.Class].FloorRung}
	e := control.Event{
		Session: r.ID, Class: r.Class, Tenant: r.Team, Title: r.Title,
		HomeCell: r.Home, Copies: r.Span, MaxRung: r.MaxRung,
	}
	if r.Playing != 0 {
		if !b.nodes.Stands(r.Playing, r.ID) {
			b.log.Warn("a session stands at an unlisted node", zap.Uint64("node", uint64(r.Playing)))
			r.Client.Deliver(Reply{Kind: Over, ID: r.ID, Cause: CauseCut})
			return
		}
		s.playing, s.answered, s.server, s.attempt = true, true, r.Playing, 1
		s.reply = Reply{Kind: Failed, ID: r.ID, Cause: CauseFailed} // to whoever asks for it anew
		b.sessions[r.ID] = s
		e.Kind, e.Server = control.EventEstablished, r.Playing
		e.TimeLeftS = r.Left.Seconds()
		b.tell(e)
		return
	}
	b.sessions[r.ID] = s
	b.open[r.ID] = true
	b.timers.add(s.deadline.Add(-lastMargin), timerDeadline, r.ID, 0)
	if wait, ok := b.admit(now, s); !ok {
		b.refuse(s, wait)
		return
	}
	e.Kind, e.InPeak = control.EventArrival, b.arrived(now, &r)
	e.TimeLeftS = max(s.deadline.Sub(now)-answerMargin, 0).Seconds()
	b.tell(e)
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
	case r.Playing != 0: // it names what is held already
		if s.adopted {
			s.client, s.adopted = r.Client, false
		} else if s.client != r.Client {
			r.Client.Deliver(Reply{Kind: Closed, ID: r.ID}) // there
		}
	case (s.Grace > 0) != (r.Grace > 0) || !s.repeats(r):
		if s.client == r.Client && !s.answered {
			b.fail(s)
			return
		}
		b.counts.Answered(r.Class, Failed)
		r.Client.Deliver(Reply{Kind: Failed, ID: r.ID, Cause: CauseFailed})
	default:
		switch {
		case s.client == nil:
		case s.playing:
			s.client.Deliver(Reply{Kind: Closed, ID: s.ID}) // it stands by the other set-up now
		case s.client != r.Client:
			s.client.Deliver(Reply{Kind: GivenUp, ID: s.ID})
		}
		s.client = r.Client
		switch a := s.paused; {
		case s.answered:
			tellAgain(s.client, s.reply)
		case a != nil:
			b.begin(b.clock.now(), s, *a)
		}
	}
}

// tellAgain answers a set-up by how its session ended before. Guard: the end of what stood
// is no answer to a set-up, and leaves one that is open under that id as it is.
func tellAgain(c Client, r Reply) {
	c.Deliver(r)
	if r.Kind == Over || r.Kind == Moved {
		c.Deliver(Reply{Kind: GivenUp, ID: r.ID})
	}
}

// repeats tells whether r asks for the same as s did. What it named counts, not
// what rules made of it: they may have been swapped since.
func (s *session) repeats(r Request) bool {
	return s.Playing == 0 && s.Named == r.Named && s.Key == r.Key && s.Home == r.Home &&
		s.Span == r.Span && s.MaxRung == r.MaxRung && bytes.Equal(s.Description, r.Description)
}

// clientLost gives up the set-ups open on a connection that is gone, or keeps
// them for a player that may come back.
func (b *Broker) clientLost(c Client) {
	now := b.clock.now()
	for _, s := range b.sessions {
		if s.client != c {
			continue
		}
		if s.Grace > 0 {
			s.client = nil
			s.losses++
			b.timers.add(now.Add(s.Grace), timerGrace, s.ID, s.losses)
		} else if !s.answered {
			b.abandon(s)
		}
	}
}

// viewerEnd gives a set-up up or ends a session that stands.
func (b *Broker) viewerEnd(e ViewerEnd) {
	s := b.sessions[e.ID]
	if s == nil {
		return
	}
	if s.playing {
		b.known(s, e.Cause)
		b.nodes.Release(s.server, s.ID, e.Cause)
		b.over(s, Report{Status: control.Cancelled})
		return
	}
	if s.client == e.Client {
		s.client = nil // it knows, and may have asked anew under that id
	}
	b.abandon(s)
}

// abandon ends a session whose viewer waits no more. No answer is owed.
func (b *Broker) abandon(s *session) {
	if s.playing {
		b.known(s, CauseEnded)
		b.nodes.Release(s.server, s.ID, CauseEnded)
		b.over(s, Report{Status: control.Cancelled})
		return
	}
	s.answered, s.reply = true, Reply{Kind: Failed, ID: s.ID, Cause: CauseFailed}
	delete(b.open, s.ID)
	if s.client != nil {
		s.client.Deliver(Reply{Kind: GivenUp, ID: s.ID})
	}
	b.giveUp(s, false)
	b.tell(control.Event{Kind: control.EventAbandoned, Session: s.ID})
	b.forget(s)
}

// giveUp ends the attempt that is out, if one is.
func (b *Broker) giveUp(s *session, timedOut bool) {
	switch {
	case !s.out:
	case s.paused != nil:
		s.paused = nil
		b.moot(s, s.server)
	default:
		b.nodes.GiveUp(s.server, s.ID, s.attempt, timedOut)
	}
}

// overdue answers what nothing else has answered: the last guard before a
// viewer's time is up, whatever a node or the module does.
func (b *Broker) overdue(id control.SessionID) {
	s := b.sessions[id]
	if s == nil || s.answered {
		return
	}
	b.log.Warn("answered at the deadline", zap.Uint64("session", uint64(id)))
	if s.paused != nil { // nothing of this attempt has run
		b.refuse(s, unheardWait)
	}
	b.fail(s)
}

// fail answers a session that waits no longer for what is out.
func (b *Broker) fail(s *session) {
	b.answer(s, Reply{Kind: Failed, ID: s.ID, Cause: CauseFailed})
	b.giveUp(s, true)
	b.tell(control.Event{Kind: control.EventAbandoned, Session: s.ID})
	b.forget(s)
}

// handOff sends an attempt. One attempt is out at a time: the module is told
// an attempt's end only when its TEARDOWN is written, and this guards it.
func (b *Broker) handOff(now time.Time, s *session, a control.Action) {
	if s == nil || s.answered || s.out || s.playing {
		return
	}
	s.attempt++
	if s.mayRun && b.set.Classes[s.Class].RepeatEffect != control.Idempotent {
		// Guard: a paid session is sent again only if no attempt can have run.
		b.moot(s, a.Server)
		return
	}
	if s.attempt > b.set.AttemptsCap || !b.spend(now, s) {
		b.moot(s, a.Server)
		return
	}
	s.server, s.out = a.Server, true
	b.begin(now, s, a)
}

// begin has the attempt that is out begin if its client is there.
//
// Guard: nothing begins for a client that has gone. What it had begun goes on, and this
// waits for its player, who may come back, or for its loss, which is on its way here. A
// client that is not heard for a time may still want it: it is looked at again.
func (b *Broker) begin(now time.Time, s *session, a control.Action) {
	s.paused = nil
	if s.client == nil || s.client.Gone(s.ID) {
		s.paused = &a
		b.timers.add(now.Add(lookTime), timerLook, s.ID, 0)
		return
	}
	b.send(now, s, a)
}

// look looks again whether the client of an attempt that waits for it is there.
func (b *Broker) look(id control.SessionID) {
	if s := b.sessions[id]; s != nil && s.paused != nil && s.client != nil {
		b.begin(b.clock.now(), s, *s.paused)
	}
}

// send has the attempt that is out begin.
func (b *Broker) send(now time.Time, s *session, a control.Action) {
	end := s.deadline.Add(-answerMargin)
	if a.SetupTimeoutS > 0 {
		if t := now.Add(seconds(a.SetupTimeoutS)); t.Before(end) {
			end = t
		}
	}
	ok := b.nodes.SetUp(a.Server, Attempt{
		ID: s.ID, Number: s.attempt, Class: s.Class, Key: s.Key, Rung: s.rung,
		Deadline: end, Description: s.Description, Client: s.client,
	})
	if !ok {
		b.moot(s, a.Server)
		return
	}
	b.timers.add(end, timerAttempt, s.ID, uint32(s.attempt))
}

// moot reports an attempt that never left, after the module's present actions.
func (b *Broker) moot(s *session, server control.ServerID) {
	s.out, s.server = true, server
	b.Report(Report{Kind: Ended, Server: server, ID: s.ID, Number: s.attempt, Status: control.NotSent})
}

// refuse tells a viewer to come again later. The rule on paid sessions covers
// every refusal: where an attempt may have run the answer is that it failed.
func (b *Broker) refuse(s *session, wait time.Duration) {
	if b.set.Classes[s.Class].RepeatEffect != control.Idempotent && (s.mayRun || s.out && s.paused == nil) {
		b.answer(s, Reply{Kind: Failed, ID: s.ID, Cause: CauseFailed})
		return
	}
	b.answer(s, Reply{Kind: Refused, ID: s.ID, Cause: CauseRefused, Wait: wait})
}

// answer gives the one final answer. False: it can't reach the viewer.
func (b *Broker) answer(s *session, r Reply) bool {
	if s.answered {
		return true
	}
	reached := true
	s.answered, s.reply = true, r
	b.counts.Answered(s.Class, r.Kind)
	if ce := b.log.Check(zap.DebugLevel, "answered"); ce != nil {
		// One line a request, so that a request can be followed by its id
		// through every manager that had it.
		ce.Write(zap.Uint64("session", uint64(s.ID)), zap.Int("class", s.Class), zap.Uint8("kind", uint8(r.Kind)),
			zap.Int("cause", r.Cause), zap.Int("attempts", s.attempt), zap.Uint64("node", uint64(s.server)),
			zap.Bool("mayRun", s.mayRun), zap.Duration("wait", r.Wait), zap.Duration("left", s.deadline.Sub(b.clock.now())))
	}
	delete(b.open, s.ID)
	if s.client != nil { // else it waits in s.reply for its player
		reached = s.client.Deliver(r) || s.Grace > 0
	}
	if r.Kind != Served {
		b.forget(s)
	}
	return reached
}

// forget drops a session that has its answer and nothing out. What a player
// may still ask for is kept a while.
func (b *Broker) forget(s *session) {
	if s.out || s.playing || !s.answered {
		return
	}
	if b.sessions[s.ID] != s {
		return
	}
	delete(b.sessions, s.ID)
	b.settle(s)
	if s.Grace > 0 && len(b.ended) < tombstones {
		b.ended[s.ID] = s.reply
		b.timers.add(b.clock.now().Add(tombstoneTime), timerForget, s.ID, 0)
	}
}

// report takes what a media node tells of an attempt or a session.
func (b *Broker) report(r Report) {
	for _, p := range b.parts {
		p.Reported(b.clock.now(), &r)
	}
	if r.Kind == Probed {
		b.tell(control.Event{Kind: control.EventProbeResult, Server: r.Server, Status: r.Status, ProcessDown: r.Down, Load: r.Load})
		return
	}
	s := b.sessions[r.ID]
	if s == nil || s.server != r.Server || r.Number != 0 && r.Number != s.attempt {
		if r.Kind == Started {
			// Guard: a late 200 after giving up is torn down.
			b.nodes.Release(r.Server, r.ID, CauseEnded)
		}
		return
	}
	switch r.Kind {
	case Started:
		b.started(s, r)
	case Ended:
		b.attemptEnded(s, r)
	case Noted:
		b.tell(control.Event{Kind: control.EventNote, Session: s.ID, Server: r.Server,
			Attempt: s.attempt - 1, Note: r.Note, Value: r.Value})
	}
}

func (b *Broker) started(s *session, r Report) {
	if !s.out || s.playing {
		return
	}
	s.out = false
	if s.answered {
		b.nodes.Release(r.Server, s.ID, CauseEnded)
		b.tell(control.Event{Kind: control.EventAttemptEnded, Session: s.ID, Attempt: s.attempt - 1,
			Server: s.server, Status: control.Cancelled, RequestFinished: true})
		b.forget(s)
		return
	}
	s.playing, s.stood = true, b.clock.now()
	b.tell(control.Event{Kind: control.EventStarted, Session: s.ID, Server: s.server, Attempt: s.attempt - 1})
	if !b.answer(s, Reply{Kind: Served, ID: s.ID, Description: r.Description}) {
		// Its connection is gone and nobody will come back for it.
		b.nodes.Release(s.server, s.ID, CauseEnded)
		b.over(s, Report{Status: control.Cancelled})
	}
}

func (b *Broker) attemptEnded(s *session, r Report) {
	if s.playing {
		cause := r.Cause
		if cause == 0 {
			cause = CauseCut
		}
		if cause == CauseCancelled { // the viewer knows of its own end
			b.known(s, cause)
		} else {
			b.toldOver(s, Reply{Kind: Over, ID: s.ID, Cause: cause})
		}
		b.over(s, r)
		return
	}
	if !s.out {
		return
	}
	s.out = false
	if ce := b.log.Check(zap.DebugLevel, "attempt ended"); ce != nil {
		ce.Write(zap.Uint64("session", uint64(s.ID)), zap.Int("attempt", s.attempt), zap.Uint64("node", uint64(s.server)),
			zap.Int("status", int(r.Status)), zap.Bool("answered", s.answered))
	}
	switch r.Status {
	case control.Full, control.ConnectFailed, control.NotSent: // proven not to have run
	default:
		s.mayRun = true
	}
	b.tell(control.Event{Kind: control.EventAttemptEnded, Session: s.ID, Attempt: s.attempt - 1, Server: s.server,
		Status: r.Status, ConnectionOnly: r.Confined, ProcessDown: r.Down, RequestFinished: s.answered, Load: r.Load})
	b.forget(s)
}

func (b *Broker) toldOver(s *session, r Reply) {
	if ce := b.log.Check(zap.DebugLevel, "session over"); ce != nil {
		ce.Write(zap.Uint64("session", uint64(s.ID)), zap.Uint64("node", uint64(s.server)), zap.Int("cause", r.Cause),
			zap.Duration("stood", b.clock.now().Sub(s.stood)))
	}
	s.reply = r
	if s.client != nil {
		s.client.Deliver(r)
	}
}

// known notes the end of a session that its viewer knows of.
func (b *Broker) known(s *session, cause int) {
	if s.client != nil {
		s.client.Deliver(Reply{Kind: Closed, ID: s.ID})
	}
	s.reply = Reply{Kind: Over, ID: s.ID, Cause: cause}
}

// over ends a session that stood, as its node's report says.
func (b *Broker) over(s *session, r Report) {
	s.playing = false
	if b.handed != nil {
		b.handed[s.ID] = s.reply.Cause
	}
	if now := b.clock.now(); !s.stood.IsZero() {
		for _, p := range b.parts {
			p.Over(now, s.Class, now.Sub(s.stood), r.Status != control.OK && r.Status != control.Cancelled)
		}
	}
	b.tell(control.Event{Kind: control.EventAttemptEnded, Session: s.ID, Attempt: s.attempt - 1, Server: s.server,
		Status: r.Status, ProcessDown: r.Down, RequestFinished: true, Load: r.Load})
	b.forget(s)
}
