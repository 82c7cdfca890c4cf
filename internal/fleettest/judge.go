package fleettest

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Limits holds the limits that Judge checks the record against.
type Limits struct {
	AnswerGrace     time.Duration   // by which an answer may exceed the time that the viewer allowed
	AcceptAfterStop time.Duration   // for which a manager still accepts requests after it was asked to stop
	DrainGrace      time.Duration   // after a manager was told that a node drains, until it sends no more set-ups there
	ReleaseGrace    time.Duration   // after the end of a session, until its viewer receives the release
	AttemptOverlap  time.Duration   // by which two attempts may appear to overlap, since relays record concurrently
	MinRungs        map[string]int  // by class: the lowest rung that a set-up may have
	WarmUp          time.Duration   // after a cold start, until a node is warm
	NodeCapacity    int             // streams that a warm node carries
	ColdMultiple    float64         // of NodeCapacity, whose set-ups a cold node may receive within WarmUp
	InitialShare    float64         // of its capacity that a node has at a cold start, 0 to 1
	SetUpSlack      float64         // set-ups allowed beyond that, for random variation
	Operations      OperationLimits // for calls, overrides and upgrades by operators
}

// DefaultLimits are the limits of the protocol, widened by the delays of a busy machine.
var DefaultLimits = Limits{
	AnswerGrace: 2 * time.Second, AcceptAfterStop: 500 * time.Millisecond, DrainGrace: 2 * time.Second, ReleaseGrace: 10 * time.Second, AttemptOverlap: 250 * time.Millisecond,
	MinRungs: map[string]int{"clip": 1}, WarmUp: 3 * time.Second, NodeCapacity: 40, ColdMultiple: 3, InitialShare: 0.2, SetUpSlack: 2,
	Operations: DefaultOperationLimits,
}

// Verdict describes one violation of a rule.
type Verdict struct {
	Rule   string
	ID     string // session ID; empty if the violation concerns no single session
	Reason string
}

// session holds the recorded events of one session ID.
type session struct {
	request     *Event
	answers     []*Event
	release     *Event
	abandoned   *Event
	connClosed  *Event
	attempts    []*Event
	attemptEnds []*Event // events that end an attempt: SetUpAnswered, TeardownSent, NodeConnClosed
	received    []*Event
	established []*Event
	end         *Event // SessionEnded, SessionLost or SessionTornDown
}

// interval is a time span in which a manager was not running or its viewers were cut off.
type interval struct{ from, to time.Time }

// Judge returns the rules that the recorded events violate. recordEnd is the time when the
// record ends; what would be due only after it is not judged.
//
// The rules:
//   - each request that a running manager accepted gets exactly one complete answer in time;
//   - a billed request is established at most once, and is refused only if none of its
//     attempts can have run;
//   - at most one attempt of a request is open at a time;
//   - no set-up goes to a node that drains or is gone;
//   - no cold node receives more set-ups than it can take, summed over all managers;
//   - no session is set up below the minimum rung of its class;
//   - the end of an established session is reported to its viewer;
//   - the description reaches the viewer unchanged.
//
// The rules for operations are in judge_ops.go. A manager that has two processes during an
// upgrade counts as one manager.
func Judge(events []Event, limits Limits, recordEnd time.Time) []Verdict {
	j := &judge{limits: limits, recordEnd: recordEnd, sessions: map[string]*session{}, notServing: map[string][]interval{},
		viewersCut: map[string][]interval{}, stopRequests: map[string][]time.Time{}, upgrades: map[string][]*upgrade{}}
	j.findUpgrades(events)
	j.index(events)
	for _, id := range j.ids {
		s := j.sessions[id]
		j.checkAnswers(id, s)
		j.checkBilledOnce(id, s)
		j.checkOneAttempt(id, s)
		j.checkMinRung(id, s)
		j.checkReleaseDelivered(id, s)
	}
	j.checkMalformed(events)
	j.checkDrainingNodes(events)
	j.checkColdNodes(events)
	j.checkOperations(events)
	j.checkMetrics(events)
	return j.verdicts
}

// judge holds the state of one call of Judge.
type judge struct {
	limits       Limits
	recordEnd    time.Time
	sessions     map[string]*session
	ids          []string
	notServing   map[string][]interval  // by manager: it was not running
	stopRequests map[string][]time.Time // by manager: when it was asked to stop
	viewersCut   map[string][]interval  // by manager: its viewers were cut off
	upgrades     map[string][]*upgrade
	verdicts     []Verdict
}

func (j *judge) report(rule, id, format string, args ...any) {
	j.verdicts = append(j.verdicts, Verdict{rule, id, fmt.Sprintf(format, args...)})
}

// index sorts the events into the sessions they belong to and collects the intervals in
// which managers were stopped or cut off.
func (j *judge) index(events []Event) {
	begin := func(intervals map[string][]interval, e *Event) {
		intervals[e.Manager] = append(intervals[e.Manager], interval{from: e.At, to: j.recordEnd})
	}
	finish := func(intervals map[string][]interval, e *Event) {
		if last := intervals[e.Manager]; len(last) > 0 && last[len(last)-1].to.Equal(j.recordEnd) {
			last[len(last)-1].to = e.At
		}
	}
	for i := range events {
		e := &events[i]
		switch e.Kind {
		case ManagerServing:
			finish(j.notServing, e)
			continue
		case ManagerStopRequested:
			j.stopRequests[e.Manager] = append(j.stopRequests[e.Manager], e.At)
			continue
		case ManagerStopped:
			begin(j.notServing, e)
			continue
		case ViewersCut:
			begin(j.viewersCut, e)
			continue
		case ViewersHealed:
			finish(j.viewersCut, e)
			continue
		}
		if e.ID == "" {
			continue
		}
		s := j.sessions[e.ID]
		if s == nil {
			s = &session{}
			j.sessions[e.ID] = s
			j.ids = append(j.ids, e.ID)
		}
		switch e.Kind {
		case SetUpRequested:
			s.request = e
		case Answered:
			s.answers = append(s.answers, e)
		case ReleaseReceived, MoveReceived:
			s.release = e
		case SetUpAbandoned:
			s.abandoned = e
		case ViewerConnClosed:
			s.connClosed = e
		case SetUpSent:
			s.attempts = append(s.attempts, e)
		case SetUpAnswered, TeardownSent, NodeConnClosed:
			s.attemptEnds = append(s.attemptEnds, e)
		case SetUpReceived:
			s.received = append(s.received, e)
		case SessionEstablished:
			s.established = append(s.established, e)
		case SessionEnded, SessionLost, SessionTornDown:
			s.end = e
		}
	}
}

// disrupted reports whether manager was not running, or its viewers were cut off from it,
// at any moment between from and to.
func (j *judge) disrupted(manager string, from, to time.Time) bool {
	overlaps := func(intervals []interval) bool {
		return slices.ContainsFunc(intervals, func(s interval) bool { return s.from.Before(to) && from.Before(s.to) })
	}
	return overlaps(j.notServing[manager]) || overlaps(j.viewersCut[manager])
}

// checkAnswers checks that a request is answered exactly once, in time and with a
// description that a node returned for it.
func (j *judge) checkAnswers(id string, s *session) {
	if s.request == nil {
		return
	}
	due := s.request.At.Add(s.request.TimeLeft + j.limits.AnswerGrace)
	for i, a := range s.answers {
		switch {
		case i > 0:
			j.report("one answer", id, "second answer: %v", a.Outcome)
		case a.Outcome == Served && !slices.ContainsFunc(s.established, func(r *Event) bool { return r.Text == a.Text }):
			j.report("one answer", id, "served with a description that no node returned for this request: %q", a.Text)
		case a.At.After(due) && !j.disrupted(s.request.Manager, s.request.At, a.At):
			j.report("one answer", id, "answered %v after the time that the viewer allowed", a.At.Sub(due)+j.limits.AnswerGrace)
		}
	}
	abandonedEarly := s.abandoned != nil && s.abandoned.At.Before(s.request.At.Add(s.request.TimeLeft))
	if len(s.answers) > 0 || abandonedEarly || due.After(j.recordEnd) {
		return
	}
	if u := j.upgradeAt(s.request.Manager, s.request.At); u != nil && s.connClosed != nil && s.connClosed.Text == connNeverAnswered && len(s.attempts) == 0 {
		u.turnedBack++ // the manager never read the request
		return
	}
	switch stop, requested := j.stopRequestedDuring(s); {
	case requested && s.request.At.Before(stop.Add(j.limits.AcceptAfterStop)):
		j.report("one answer", id, "no answer; %s stopped without giving one", s.request.Manager)
	case s.connClosed != nil && !j.disrupted(s.request.Manager, s.request.At, s.connClosed.At.Add(time.Second)):
		j.report("one answer", id, "no answer; the viewer's connection closed")
	case !j.disrupted(s.request.Manager, s.request.At, due):
		j.report("one answer", id, "no answer")
	}
}

// stopRequestedDuring reports whether the manager of a request was asked to stop while the
// request was open, or at most AcceptAfterStop before it came, and returns that time. It
// returns false if the manager was disrupted between the request and the stop request.
func (j *judge) stopRequestedDuring(s *session) (time.Time, bool) {
	manager := s.request.Manager
	for _, t := range j.stopRequests[manager] {
		if t.After(s.request.At.Add(-j.limits.AcceptAfterStop)) && t.Before(s.request.At.Add(s.request.TimeLeft)) && !j.disrupted(manager, s.request.At, t) {
			return t, true
		}
	}
	return time.Time{}, false
}

// checkMalformed checks that everything a manager writes to viewers is a well-formed line,
// except for a line cut off by a disruption of the manager.
func (j *judge) checkMalformed(events []Event) {
	for i := range events {
		if e := &events[i]; e.Kind == MalformedMessage && !j.disrupted(e.Manager, e.At.Add(-time.Second), e.At.Add(time.Second)) {
			j.report("one answer", "", "%s wrote a malformed message: %q", e.Manager, e.Text)
		}
	}
}

// mayHaveRun reports whether an attempt can have run: its set-up was sent, and the node
// did not answer that it never ran. A set-up that was written but did not arrive at the node
// counts as well, since the manager can't know that it got lost.
func mayHaveRun(s *session, attempt *Event) bool {
	for _, e := range s.attemptEnds {
		if e.Kind == SetUpAnswered && e.Node == attempt.Node && e.At.After(attempt.At) {
			return e.Cause != 453 && e.Cause != 454
		}
	}
	return true
}

// checkBilledOnce checks that a billed session runs at most once and is refused only if no
// attempt can have run.
func (j *judge) checkBilledOnce(id string, s *session) {
	if s.request == nil || !s.request.Billed {
		return
	}
	if len(s.established) > 1 {
		j.report("paid once", id, "established %d times", len(s.established))
	}
	for i, e := range s.attempts {
		if i > 0 && slices.ContainsFunc(s.attempts[:i], func(o *Event) bool { return mayHaveRun(s, o) }) {
			j.report("paid once", id, "sent to %s after an attempt that may have run", e.Node)
			break
		}
	}
	for _, a := range s.answers {
		if a.Outcome == Refused && slices.ContainsFunc(s.attempts, func(o *Event) bool { return o.At.Before(a.At) && mayHaveRun(s, o) }) {
			j.report("paid once", id, "refused after an attempt that may have run")
		}
	}
}

// checkOneAttempt checks that the attempts of a request don't overlap.
func (j *judge) checkOneAttempt(id string, s *session) {
	for i := 1; i < len(s.attempts); i++ {
		previous, next := s.attempts[i-1], s.attempts[i]
		if previous.Manager != next.Manager {
			continue // a retry by the viewer has a session ID of its own
		}
		ended := slices.ContainsFunc(s.attemptEnds, func(e *Event) bool {
			return e.Node == previous.Node && !e.At.Before(previous.At) && e.At.Before(next.At.Add(j.limits.AttemptOverlap))
		})
		if !ended {
			j.report("one at a time", id, "sent to %s while its attempt at %s was open", next.Node, previous.Node)
		}
	}
}

// checkMinRung checks that no session is set up below the minimum rung of its class.
func (j *judge) checkMinRung(id string, s *session) {
	for _, e := range s.received {
		if minRung, ok := j.limits.MinRungs[e.Class]; ok && e.Rung >= 0 && e.Rung < minRung {
			j.report("terms", id, "%s set up at rung %d on %s", e.Class, e.Rung, e.Node)
		}
	}
}

// checkReleaseDelivered checks that the viewer of an established session is told of its end.
func (j *judge) checkReleaseDelivered(id string, s *session) {
	if s.request == nil || s.end == nil || s.release != nil || s.abandoned != nil && s.abandoned.At.Before(s.end.At) {
		return
	}
	served := slices.ContainsFunc(s.answers, func(a *Event) bool { return a.Outcome == Served })
	due := s.end.At.Add(j.limits.ReleaseGrace)
	if !served || due.After(j.recordEnd) || j.disrupted(s.request.Manager, s.answers[0].At, due) {
		return
	}
	j.report("end told", id, "session is over at %s (%v), but its viewer received no release", s.end.Node, s.end.Kind)
}

// checkDrainingNodes checks that a manager sends no set-ups to a node once it has been told
// that the node drains or is gone.
func (j *judge) checkDrainingNodes(events []Event) {
	type pair struct{ manager, node string }
	drainTold := map[pair]time.Time{}
	for i := range events {
		e := &events[i]
		key := pair{e.Manager, e.Node}
		switch {
		case e.Kind == ListUpdated && e.Text == phaseInService:
			delete(drainTold, key)
		case e.Kind == ListUpdated:
			if _, ok := drainTold[key]; !ok {
				drainTold[key] = e.At
			}
		case e.Kind == SetUpSent:
			since, ok := drainTold[key]
			for _, u := range j.upgrades[e.Manager] { // a successor needs time to receive the list
				if learned := u.successorReady.Add(j.limits.Operations.SuccessorListTime); ok && !u.successorReady.IsZero() && since.After(u.start) && since.Before(learned) {
					since = learned
				}
			}
			if ok && e.At.Sub(since) > j.limits.DrainGrace {
				j.report("drains", e.ID, "sent to %s %v after the list told %s that it drains or is gone", e.Node, e.At.Sub(since).Round(time.Millisecond), e.Manager)
			}
		}
	}
}

// checkColdNodes checks that in no second after a cold start a node receives more set-ups
// than it can take at that time.
func (j *judge) checkColdNodes(events []Event) {
	started := map[string]time.Time{}
	received := map[string][]time.Time{}
	for i := range events {
		e := &events[i]
		switch {
		case e.Kind == NodeStarted && e.Cold:
			started[e.Node], received[e.Node] = e.At, nil
		case e.Kind == NodeStarted || e.Kind == NodeStopped:
			delete(started, e.Node)
		case e.Kind == SetUpReceived:
			start, ok := started[e.Node]
			if !ok || e.At.Sub(start) > j.limits.WarmUp {
				continue
			}
			recent := append(received[e.Node], e.At)
			for e.At.Sub(recent[0]) > time.Second {
				recent = recent[1:]
			}
			received[e.Node] = recent
			if limit := j.limits.coldSetUpLimit(e.At.Sub(start)); float64(len(recent)) > limit {
				j.report("cold", e.ID, "%s, up for %v, received %d set-ups within 1 s, limit %.1f",
					e.Node, e.At.Sub(start).Round(time.Millisecond), len(recent), limit)
				delete(started, e.Node)
			}
		}
	}
}

// coldSetUpLimit returns how many set-ups within the last second are allowed for a node that
// started cold and has been up for uptime.
func (l *Limits) coldSetUpLimit(uptime time.Duration) float64 {
	warmShare := min(l.InitialShare+(1-l.InitialShare)*float64(uptime)/float64(l.WarmUp), 1)
	return l.ColdMultiple*float64(l.NodeCapacity)/l.WarmUp.Seconds()*warmShare + l.SetUpSlack
}

// FormatVerdicts describes up to ten verdicts, each with the trace of its session through
// viewer, manager, relay and node.
func FormatVerdicts(verdicts []Verdict, events []Event) string {
	var b strings.Builder
	for i, verdict := range verdicts {
		if i == 10 {
			fmt.Fprintf(&b, "and %d more\n", len(verdicts)-i)
			break
		}
		fmt.Fprintf(&b, "rule %q broken: %s %s\n", verdict.Rule, verdict.ID, verdict.Reason)
		if verdict.ID != "" {
			b.WriteString(SessionTrace(events, verdict.ID))
		}
	}
	return b.String()
}
