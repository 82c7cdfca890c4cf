package fleettest

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Terms are the figures of the rules.
type Terms struct {
	Answer   time.Duration // allowed beyond a viewer's time
	Takes    time.Duration // a manager that was asked to end still takes requests for so long
	Drain    time.Duration // after a node's drain was told
	Told     time.Duration // after the end of a session, for its viewer to hear of it
	Overlap  time.Duration // by which two attempts may seem to be out at once, since relays run beside each other
	Floors   map[string]int
	Warm     time.Duration // a node that started cold is warm after it
	Places   int           // of a node
	Multiple float64       // of what it may be sent while it is cold
	Share    float64       // that is warm at the start
	Slack    float64       // set-ups beyond, for chance
	Ops      OpsTerms      // of what operators do
}

// DefaultTerms are those of the protocol, with what a busy machine adds.
var DefaultTerms = Terms{
	Answer: 2 * time.Second, Takes: 500 * time.Millisecond, Drain: 2 * time.Second, Told: 10 * time.Second, Overlap: 250 * time.Millisecond,
	Floors: map[string]int{"clip": 1}, Warm: 3 * time.Second, Places: 40, Multiple: 3, Share: 0.2, Slack: 2,
	Ops: DefaultOps,
}

// Verdict is one broken rule.
type Verdict struct {
	Rule string
	ID   string // of the session, or empty
	Why  string
}

// session is what the record says of one id.
type session struct {
	asked    *Event
	answers  []*Event
	over     *Event
	left     *Event
	dropped  *Event
	sent     []*Event
	ends     []*Event // that end attempts: Said, Withdrawn, Hung
	came     []*Event
	ran      []*Event
	finished *Event // Ended, Cut or Released
}

// span is a time in which a manager didn't run, or its viewers couldn't reach it.
type span struct{ from, to time.Time }

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
func Judge(events []Event, t Terms, until time.Time) []Verdict {
	j := &judge{terms: t, until: until, sessions: map[string]*session{}, away: map[string][]span{},
		apart: map[string][]span{}, ending: map[string][]time.Time{}, upgrades: map[string][]*upgrade{}}
	j.findUpgrades(events)
	j.sort(events)
	for _, id := range j.ids {
		s := j.sessions[id]
		j.answered(id, s)
		j.paidOnce(id, s)
		j.oneAtATime(id, s)
		j.floor(id, s)
		j.endTold(id, s)
	}
	j.readable(events)
	j.drains(events)
	j.cold(events)
	j.operated(events)
	j.figures(events)
	return j.found
}

type judge struct {
	terms    Terms
	until    time.Time
	sessions map[string]*session
	ids      []string
	away     map[string][]span // by manager: it didn't run
	ending   map[string][]time.Time
	apart    map[string][]span // by manager: its viewers were cut off from it
	upgrades map[string][]*upgrade
	found    []Verdict
}

func (j *judge) broken(rule, id, format string, args ...any) {
	j.found = append(j.found, Verdict{rule, id, fmt.Sprintf(format, args...)})
}

func (j *judge) sort(events []Event) {
	open := func(at map[string][]span, e *Event) {
		at[e.Manager] = append(at[e.Manager], span{from: e.At, to: j.until})
	}
	shut := func(at map[string][]span, e *Event) {
		if l := at[e.Manager]; len(l) > 0 && l[len(l)-1].to.Equal(j.until) {
			l[len(l)-1].to = e.At
		}
	}
	for i := range events {
		e := &events[i]
		switch e.Kind {
		case Running:
			shut(j.away, e)
			continue
		case Ending:
			j.ending[e.Manager] = append(j.ending[e.Manager], e.At)
			continue
		case Stopped:
			open(j.away, e)
			continue
		case Apart:
			open(j.apart, e)
			continue
		case Together:
			shut(j.apart, e)
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
		case Asked:
			s.asked = e
		case Answered:
			s.answers = append(s.answers, e)
		case Over, Moved:
			s.over = e
		case Left:
			s.left = e
		case Dropped:
			s.dropped = e
		case Sent:
			s.sent = append(s.sent, e)
		case Said, Withdrawn, Hung:
			s.ends = append(s.ends, e)
		case Came:
			s.came = append(s.came, e)
		case Ran:
			s.ran = append(s.ran, e)
		case Ended, Cut, Released:
			s.finished = e
		}
	}
}

// disturbed tells whether a manager didn't run, or its viewers were cut off from
// it, at any moment of a time.
func (j *judge) disturbed(manager string, from, to time.Time) bool {
	hits := func(l []span) bool {
		return slices.ContainsFunc(l, func(s span) bool { return s.from.Before(to) && from.Before(s.to) })
	}
	return hits(j.away[manager]) || hits(j.apart[manager])
}

func (j *judge) answered(id string, s *session) {
	if s.asked == nil {
		return
	}
	due := s.asked.At.Add(s.asked.Left + j.terms.Answer)
	for i, a := range s.answers {
		switch {
		case i > 0:
			j.broken("one answer", id, "a second answer, %v", a.Outcome)
		case a.Outcome == Served && !slices.ContainsFunc(s.ran, func(r *Event) bool { return r.Text == a.Text }):
			j.broken("one answer", id, "served with what no node made for it: %q", a.Text)
		case a.At.After(due) && !j.disturbed(s.asked.Manager, s.asked.At, a.At):
			j.broken("one answer", id, "answered %v after its time", a.At.Sub(due)+j.terms.Answer)
		}
	}
	early := s.left != nil && s.left.At.Before(s.asked.At.Add(s.asked.Left)) // it did not wait for its time
	if len(s.answers) > 0 || early || due.After(j.until) {
		return
	}
	if u := j.during(s.asked.Manager, s.asked.At); u != nil && s.dropped != nil && s.dropped.Text == connNeverAnswered && len(s.sent) == 0 {
		u.unheard++ // nobody had read it
		return
	}
	switch end, asked := j.orderly(s); {
	case asked && s.asked.At.Before(end.Add(j.terms.Takes)):
		j.broken("one answer", id, "none, and %s ended without giving it", s.asked.Manager)
	case s.dropped != nil && !j.disturbed(s.asked.Manager, s.asked.At, s.dropped.At.Add(time.Second)):
		j.broken("one answer", id, "its connection ended without one")
	case !j.disturbed(s.asked.Manager, s.asked.At, due):
		j.broken("one answer", id, "none")
	}
}

// orderly tells when the manager of a request was asked to end, where that came
// after the request or less than what it still takes before, and nothing but its
// own end disturbed it.
func (j *judge) orderly(s *session) (time.Time, bool) {
	m := s.asked.Manager
	for _, t := range j.ending[m] {
		if t.After(s.asked.At.Add(-j.terms.Takes)) && t.Before(s.asked.At.Add(s.asked.Left)) && !j.disturbed(m, s.asked.At, t) {
			return t, true
		}
	}
	return time.Time{}, false
}

// readable wants all that a manager writes to viewers to be lines that can be read,
// but for one that its end cut short.
func (j *judge) readable(events []Event) {
	for i := range events {
		if e := &events[i]; e.Kind == Unreadable && !j.disturbed(e.Manager, e.At.Add(-time.Second), e.At.Add(time.Second)) {
			j.broken("one answer", "", "%s wrote what can't be read: %q", e.Manager, e.Text)
		}
	}
}

// mayHaveRun tells whether an attempt can have run: it reached its node whole, and
// the node didn't say that it never ran. What was written to a node and has not come
// there counts too: the manager can't know.
func mayHaveRun(s *session, sent *Event) bool {
	for _, e := range s.ends {
		if e.Kind == Said && e.Node == sent.Node && e.At.After(sent.At) {
			return e.Cause != 453 && e.Cause != 454
		}
	}
	return true
}

func (j *judge) paidOnce(id string, s *session) {
	if s.asked == nil || !s.asked.Paid {
		return
	}
	if len(s.ran) > 1 {
		j.broken("paid once", id, "it ran %d times", len(s.ran))
	}
	for i, e := range s.sent {
		if i > 0 && slices.ContainsFunc(s.sent[:i], func(o *Event) bool { return mayHaveRun(s, o) }) {
			j.broken("paid once", id, "sent to %s after an attempt that may have run", e.Node)
			break
		}
	}
	for _, a := range s.answers {
		if a.Outcome == Refused && slices.ContainsFunc(s.sent, func(o *Event) bool { return o.At.Before(a.At) && mayHaveRun(s, o) }) {
			j.broken("paid once", id, "refused after an attempt that may have run")
		}
	}
}

func (j *judge) oneAtATime(id string, s *session) {
	for i := 1; i < len(s.sent); i++ {
		before, next := s.sent[i-1], s.sent[i]
		if before.Manager != next.Manager {
			continue // a viewer that comes again has another id
		}
		over := slices.ContainsFunc(s.ends, func(e *Event) bool {
			return e.Node == before.Node && !e.At.Before(before.At) && e.At.Before(next.At.Add(j.terms.Overlap))
		})
		if !over {
			j.broken("one at a time", id, "sent to %s while its attempt at %s was out", next.Node, before.Node)
		}
	}
}

func (j *judge) floor(id string, s *session) {
	for _, e := range s.came {
		if floor, ok := j.terms.Floors[e.Class]; ok && e.Rung >= 0 && e.Rung < floor {
			j.broken("terms", id, "%s set up at rung %d on %s", e.Class, e.Rung, e.Node)
		}
	}
}

func (j *judge) endTold(id string, s *session) {
	if s.asked == nil || s.finished == nil || s.over != nil || s.left != nil && s.left.At.Before(s.finished.At) {
		return
	}
	served := slices.ContainsFunc(s.answers, func(a *Event) bool { return a.Outcome == Served })
	due := s.finished.At.Add(j.terms.Told)
	if !served || due.After(j.until) || j.disturbed(s.asked.Manager, s.answers[0].At, due) {
		return
	}
	j.broken("end told", id, "it was over at %s (%v), and its viewer was not told", s.finished.Node, s.finished.Kind)
}

func (j *judge) drains(events []Event) {
	type pair struct{ manager, node string }
	told := map[pair]time.Time{}
	for i := range events {
		e := &events[i]
		at := pair{e.Manager, e.Node}
		switch {
		case e.Kind == Told && e.Text == phaseInService:
			delete(told, at)
		case e.Kind == Told:
			if _, ok := told[at]; !ok {
				told[at] = e.At
			}
		case e.Kind == Sent:
			t, ok := told[at]
			for _, u := range j.upgrades[e.Manager] { // a new process has time to learn of it
				if l := u.yes.Add(j.terms.Ops.Learns); ok && !u.yes.IsZero() && t.After(u.began) && t.Before(l) {
					t = l
				}
			}
			if ok && e.At.Sub(t) > j.terms.Drain {
				j.broken("drains", e.ID, "sent to %s %v after %s was told of its end", e.Node, e.At.Sub(t).Round(time.Millisecond), e.Manager)
			}
		}
	}
}

// cold holds what came to each node in any second after its start against what it
// bears then.
func (j *judge) cold(events []Event) {
	started := map[string]time.Time{}
	came := map[string][]time.Time{}
	for i := range events {
		e := &events[i]
		switch {
		case e.Kind == Up && e.Cold:
			started[e.Node], came[e.Node] = e.At, nil
		case e.Kind == Up || e.Kind == Down:
			delete(started, e.Node)
		case e.Kind == Came:
			at, ok := started[e.Node]
			if !ok || e.At.Sub(at) > j.terms.Warm {
				continue
			}
			l := append(came[e.Node], e.At)
			for e.At.Sub(l[0]) > time.Second {
				l = l[1:]
			}
			came[e.Node] = l
			if most := j.terms.bears(e.At.Sub(at)); float64(len(l)) > most {
				j.broken("cold", e.ID, "%s, up for %v, was sent %d set-ups within 1 s and bears %.1f",
					e.Node, e.At.Sub(at).Round(time.Millisecond), len(l), most)
				delete(started, e.Node)
			}
		}
	}
}

// bears is how many set-ups within the last second a node bears that started cold
// a time ago.
func (t *Terms) bears(since time.Duration) float64 {
	warm := min(t.Share+(1-t.Share)*float64(since)/float64(t.Warm), 1)
	return t.Multiple*float64(t.Places)/t.Warm.Seconds()*warm + t.Slack
}

// Report words verdicts, each with the path of its session through every viewer,
// manager, relay and node.
func Report(verdicts []Verdict, events []Event) string {
	var b strings.Builder
	for i, v := range verdicts {
		if i == 10 {
			fmt.Fprintf(&b, "and %d more\n", len(verdicts)-i)
			break
		}
		fmt.Fprintf(&b, "rule %q broken: %s %s\n", v.Rule, v.ID, v.Why)
		if v.ID != "" {
			b.WriteString(Path(events, v.ID))
		}
	}
	return b.String()
}
