package fleettest

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Limits are the figures of the rules.
type Limits struct {
	AnswerGrace     time.Duration // allowed beyond a viewer's time
	AcceptAfterStop time.Duration // a manager that was asked to end still takes requests for so long
	DrainGrace      time.Duration // after a node's drain was told
	ReleaseGrace    time.Duration // after the end of a session, for its viewer to hear of it
	AttemptOverlap  time.Duration // by which two attempts may seem to be out at once, since relays run beside each other
	MinRungs        map[string]int
	WarmUp          time.Duration   // a node that started cold is warm after it
	NodeCapacity    int             // of a node
	ColdMultiple    float64         // of what it may be sent while it is cold
	InitialShare    float64         // that is warm at the start
	SetUpSlack      float64         // set-ups beyond, for chance
	Operations      OperationLimits // of what operators do
}

// DefaultLimits are those of the protocol, with what a busy machine adds.
var DefaultLimits = Limits{
	AnswerGrace: 2 * time.Second, AcceptAfterStop: 500 * time.Millisecond, DrainGrace: 2 * time.Second, ReleaseGrace: 10 * time.Second, AttemptOverlap: 250 * time.Millisecond,
	MinRungs: map[string]int{"clip": 1}, WarmUp: 3 * time.Second, NodeCapacity: 40, ColdMultiple: 3, InitialShare: 0.2, SetUpSlack: 2,
	Operations: DefaultOperationLimits,
}

// Verdict is one broken rule.
type Verdict struct {
	Rule   string
	ID     string // of the session, or empty
	Reason string
}

// session is what the record says of one id.
type session struct {
	request     *Event
	answers     []*Event
	release     *Event
	abandoned   *Event
	connClosed  *Event
	attempts    []*Event
	attemptEnds []*Event // that end attempts: Said, Withdrawn, Hung
	received    []*Event
	established []*Event
	end         *Event // Ended, Cut or Released
}

// interval is a time in which a manager didn't run, or its viewers couldn't reach it.
type interval struct{ from, to time.Time }

// Judge tells which rules were broken, by what was recorded. until is when the
// record ends; what would be due only after it is not judged.
//
// The rules: each request that a running manager took gets exactly one whole
// answer in time; a paid one runs once and is refused only if no attempt of it can
// have run; one attempt is out at a time; nothing new goes to a node that drains or
// is gone; no cold node is sent more than it bears, over all managers; no session
// under its class's floor; the end of what stood reaches its viewer; an answer
// passes unchanged. What operators do is judged by the rules of judge_ops.go; a
// manager with two processes is one manager.
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

type judge struct {
	limits       Limits
	recordEnd    time.Time
	sessions     map[string]*session
	ids          []string
	notServing   map[string][]interval // by manager: it didn't run
	stopRequests map[string][]time.Time
	viewersCut   map[string][]interval // by manager: its viewers were cut off from it
	upgrades     map[string][]*upgrade
	verdicts     []Verdict
}

func (j *judge) report(rule, id, format string, args ...any) {
	j.verdicts = append(j.verdicts, Verdict{rule, id, fmt.Sprintf(format, args...)})
}

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

// disrupted tells whether a manager didn't run, or its viewers were cut off from
// it, at any moment of a time.
func (j *judge) disrupted(manager string, from, to time.Time) bool {
	overlaps := func(intervals []interval) bool {
		return slices.ContainsFunc(intervals, func(s interval) bool { return s.from.Before(to) && from.Before(s.to) })
	}
	return overlaps(j.notServing[manager]) || overlaps(j.viewersCut[manager])
}

func (j *judge) checkAnswers(id string, s *session) {
	if s.request == nil {
		return
	}
	due := s.request.At.Add(s.request.TimeLeft + j.limits.AnswerGrace)
	for i, a := range s.answers {
		switch {
		case i > 0:
			j.report("one answer", id, "a second answer, %v", a.Outcome)
		case a.Outcome == Served && !slices.ContainsFunc(s.established, func(r *Event) bool { return r.Text == a.Text }):
			j.report("one answer", id, "served with what no node made for it: %q", a.Text)
		case a.At.After(due) && !j.disrupted(s.request.Manager, s.request.At, a.At):
			j.report("one answer", id, "answered %v after its time", a.At.Sub(due)+j.limits.AnswerGrace)
		}
	}
	abandonedEarly := s.abandoned != nil && s.abandoned.At.Before(s.request.At.Add(s.request.TimeLeft)) // it did not wait for its time
	if len(s.answers) > 0 || abandonedEarly || due.After(j.recordEnd) {
		return
	}
	if u := j.upgradeAt(s.request.Manager, s.request.At); u != nil && s.connClosed != nil && s.connClosed.Text == connNeverAnswered && len(s.attempts) == 0 {
		u.turnedBack++ // nobody had read it
		return
	}
	switch stop, requested := j.stopRequestedDuring(s); {
	case requested && s.request.At.Before(stop.Add(j.limits.AcceptAfterStop)):
		j.report("one answer", id, "none, and %s ended without giving it", s.request.Manager)
	case s.connClosed != nil && !j.disrupted(s.request.Manager, s.request.At, s.connClosed.At.Add(time.Second)):
		j.report("one answer", id, "its connection ended without one")
	case !j.disrupted(s.request.Manager, s.request.At, due):
		j.report("one answer", id, "none")
	}
}

// stopRequestedDuring tells when the manager of a request was asked to end, where that came
// after the request or less than what it still takes before, and nothing but its
// own end disturbed it.
func (j *judge) stopRequestedDuring(s *session) (time.Time, bool) {
	manager := s.request.Manager
	for _, t := range j.stopRequests[manager] {
		if t.After(s.request.At.Add(-j.limits.AcceptAfterStop)) && t.Before(s.request.At.Add(s.request.TimeLeft)) && !j.disrupted(manager, s.request.At, t) {
			return t, true
		}
	}
	return time.Time{}, false
}

// checkMalformed wants all that a manager writes to viewers to be lines that can be read,
// but for one that its end cut short.
func (j *judge) checkMalformed(events []Event) {
	for i := range events {
		if e := &events[i]; e.Kind == MalformedMessage && !j.disrupted(e.Manager, e.At.Add(-time.Second), e.At.Add(time.Second)) {
			j.report("one answer", "", "%s wrote what can't be read: %q", e.Manager, e.Text)
		}
	}
}

// mayHaveRun tells whether an attempt can have run: it reached its node whole, and
// the node didn't say that it never ran. What was written to a node and has not come
// there counts too: the manager can't know.
func mayHaveRun(s *session, attempt *Event) bool {
	for _, e := range s.attemptEnds {
		if e.Kind == SetUpAnswered && e.Node == attempt.Node && e.At.After(attempt.At) {
			return e.Cause != 453 && e.Cause != 454
		}
	}
	return true
}

func (j *judge) checkBilledOnce(id string, s *session) {
	if s.request == nil || !s.request.Billed {
		return
	}
	if len(s.established) > 1 {
		j.report("paid once", id, "it ran %d times", len(s.established))
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

func (j *judge) checkOneAttempt(id string, s *session) {
	for i := 1; i < len(s.attempts); i++ {
		previous, next := s.attempts[i-1], s.attempts[i]
		if previous.Manager != next.Manager {
			continue // a viewer that comes again has another id
		}
		ended := slices.ContainsFunc(s.attemptEnds, func(e *Event) bool {
			return e.Node == previous.Node && !e.At.Before(previous.At) && e.At.Before(next.At.Add(j.limits.AttemptOverlap))
		})
		if !ended {
			j.report("one at a time", id, "sent to %s while its attempt at %s was out", next.Node, previous.Node)
		}
	}
}

func (j *judge) checkMinRung(id string, s *session) {
	for _, e := range s.received {
		if minRung, ok := j.limits.MinRungs[e.Class]; ok && e.Rung >= 0 && e.Rung < minRung {
			j.report("terms", id, "%s set up at rung %d on %s", e.Class, e.Rung, e.Node)
		}
	}
}

func (j *judge) checkReleaseDelivered(id string, s *session) {
	if s.request == nil || s.end == nil || s.release != nil || s.abandoned != nil && s.abandoned.At.Before(s.end.At) {
		return
	}
	served := slices.ContainsFunc(s.answers, func(a *Event) bool { return a.Outcome == Served })
	due := s.end.At.Add(j.limits.ReleaseGrace)
	if !served || due.After(j.recordEnd) || j.disrupted(s.request.Manager, s.answers[0].At, due) {
		return
	}
	j.report("end told", id, "it was over at %s (%v), and its viewer was not told", s.end.Node, s.end.Kind)
}

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
			for _, u := range j.upgrades[e.Manager] { // a new process has time to learn of it
				if learned := u.successorReady.Add(j.limits.Operations.SuccessorListTime); ok && !u.successorReady.IsZero() && since.After(u.start) && since.Before(learned) {
					since = learned
				}
			}
			if ok && e.At.Sub(since) > j.limits.DrainGrace {
				j.report("drains", e.ID, "sent to %s %v after %s was told of its end", e.Node, e.At.Sub(since).Round(time.Millisecond), e.Manager)
			}
		}
	}
}

// checkColdNodes holds what came to each node in any second after its start against what it
// bears then.
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
				j.report("cold", e.ID, "%s, up for %v, was sent %d set-ups within 1 s and bears %.1f",
					e.Node, e.At.Sub(start).Round(time.Millisecond), len(recent), limit)
				delete(started, e.Node)
			}
		}
	}
}

// coldSetUpLimit is how many set-ups within the last second a node bears that started cold
// a time ago.
func (t *Limits) coldSetUpLimit(uptime time.Duration) float64 {
	warmShare := min(t.InitialShare+(1-t.InitialShare)*float64(uptime)/float64(t.WarmUp), 1)
	return t.ColdMultiple*float64(t.NodeCapacity)/t.WarmUp.Seconds()*warmShare + t.SetUpSlack
}

// FormatVerdicts words verdicts, each with the path of its session through every viewer,
// manager, relay and node.
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
