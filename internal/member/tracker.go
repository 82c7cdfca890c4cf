package member

import (
	"cmp"
	"slices"
	"time"

	"millethinge/internal/pause"
)

// Time-outs of a Tracker.
const (
	// maxSuspicion bounds a suspicion that is neither confirmed nor cleared: by then the
	// failure detector has declared the member lost, or the member has answered.
	maxSuspicion = 30 * time.Second
	// duplicateTimeout is how long a member stays refused after it last heard of the earlier
	// started member of its name. While it participates, it contacts a member every
	// joinInterval.
	duplicateTimeout = 3 * joinInterval
)

// Status is the state of a member as another member knows it.
type Status int

// The states of a member.
const (
	StatusUnheard Status = iota // configured, and never heard of
	StatusAlive                 // present
	StatusSuspect               // present, but it does not answer probes
	StatusLost                  // it does not answer, and other members confirm that or can't be asked
	StatusLeaving               // still running, and it has announced that it leaves
	StatusLeft                  // it announced that it leaves, and is gone
)

func (s Status) String() string {
	return [...]string{"unheard", "here", "suspect", "lost", "departing", "left"}[s]
}

// Present reports whether a member of this status counts towards the quorum.
func (s Status) Present() bool { return s == StatusAlive || s == StatusSuspect }

// Meta is what a member announces about itself.
type Meta struct {
	Name    string
	Site    string
	Address string // at which other members reach it
	// StartedUnixNano is the member's start time by the clock of its machine. It identifies an
	// incarnation. Of two members with one name, the one that started later is refused; clock
	// skew may reverse the order, but all members choose the same one.
	StartedUnixNano int64
	Leaving         bool
}

// startedBefore reports whether m started before other, a member with the same name. The
// address decides between equal start times.
func (m Meta) startedBefore(other Meta) bool {
	return cmp.Or(cmp.Compare(m.StartedUnixNano, other.StartedUnixNano), cmp.Compare(m.Address, other.Address)) < 0
}

// sameIncarnation reports whether m and other are the same incarnation of the same member.
func (m Meta) sameIncarnation(other Meta) bool {
	return m.Name == other.Name && m.StartedUnixNano == other.StartedUnixNano && m.Address == other.Address
}

// ConfiguredMember is a member that the configuration names.
type ConfiguredMember struct{ Name, Site string }

// Member is a member of the fleet in a View.
type Member struct {
	Meta
	Status Status
	Since  time.Time // when Status was reached
}

// View is the membership of the fleet as one member knows it. The views of an incarnation are
// numbered from 1; numbers of different members or incarnations are not comparable.
type View struct {
	Number       int64
	Self         string
	Members      []Member // all configured members, sorted by name
	PresentCount int      // how many of them are present, itself included
	// NoQuorum is set while no majority of the configured members is present: this member may
	// be in the smaller part of a network partition. Neither half of an even fleet has a quorum.
	NoQuorum bool
	// Stale is set after a process pause until another member answers.
	Stale bool
	// RefusedAsDuplicate is set while a member of the same name that started earlier is
	// present; no other member admits this one.
	RefusedAsDuplicate bool
}

// Find returns the member with the given name, or nil.
func (v View) Find(name string) *Member {
	i, ok := slices.BinarySearchFunc(v.Members, name, func(m Member, n string) int { return cmp.Compare(m.Name, n) })
	if !ok {
		return nil
	}
	return &v.Members[i]
}

// EventKind is the kind of an Event.
type EventKind string

// Kinds of events.
const (
	EventJoined           EventKind = "joined"
	EventRestarted        EventKind = "restarted" // another incarnation of the member is present
	EventSuspected        EventKind = "suspected"
	EventSuspicionCleared EventKind = "cleared" // a suspicion ended
	EventLost             EventKind = "lost"
	EventRecovered        EventKind = "healed" // it was lost, and is present again in the same incarnation
	EventLeaving          EventKind = "leaves"
	EventLeft             EventKind = "left"
	EventUnknownMember    EventKind = "stranger" // not configured, or not readable; it is not admitted
	EventDuplicateName    EventKind = "twin"     // two members with one name: the one that started later is refused
	EventQuorumLost       EventKind = "alone"
	EventQuorumRegained   EventKind = "in-company"
	EventProcessPaused    EventKind = "stood-still"
	EventViewRefreshed    EventKind = "heard-again"
	EventSelfRefused      EventKind = "refused" // this member, as a member of its name started earlier
	EventSelfAdmitted     EventKind = "let-in"  // this member, after EventSelfRefused
)

// Event is a change of the membership, or a member that was not admitted.
type Event struct {
	Kind       EventKind
	ViewNumber int64 // number of the view that resulted
	Member     Meta
	Duplicate  Meta // of EventDuplicateName: the member that started later
}

// Tracker maintains the View from the reports of a membership protocol. It does no I/O and
// reads no clock: times are arguments, from a clock that continues during a process pause. It
// is not safe for concurrent use.
type Tracker struct {
	self               Meta
	view               View
	snapshot           View              // copy of view for callers
	reportedDuplicates map[[2]int64]bool // by the start times of both
	reportedUnknown    map[string]bool
	duplicateSeenAt    time.Time // when an earlier started member of its name was last heard of; zero: never
	pauseDetector      pause.Detector
	pendingEvents      []Event
}

// maxReported bounds each of the sets of unknown members and duplicate names that have been
// reported and are not reported again.
const maxReported = 1000

// NewTracker returns the Tracker of a member that has just started. The configured members
// include the member itself.
func NewTracker(self Meta, configured []ConfiguredMember, now time.Time) *Tracker {
	t := &Tracker{self: self, reportedDuplicates: map[[2]int64]bool{}, reportedUnknown: map[string]bool{}}
	t.view = View{Number: 1, Self: self.Name}
	for _, n := range configured {
		m := Member{Meta: Meta{Name: n.Name, Site: n.Site}, Since: now}
		if n.Name == self.Name {
			m.Meta, m.Status = self, StatusAlive
		}
		t.view.Members = append(t.view.Members, m)
	}
	slices.SortFunc(t.view.Members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	t.pauseDetector.Reset(now)
	t.recount()
	return t
}

// View returns the current view. The caller must not modify its members. It is copied once
// for each number, since a view never changes without a new number.
func (t *Tracker) View() View {
	if t.snapshot.Number != t.view.Number {
		t.snapshot = t.view
		t.snapshot.Members = slices.Clone(t.view.Members)
	}
	return t.snapshot
}

// Admits reports whether the membership protocol may admit a member: it is configured, and no
// member of its name that started earlier is present. It decides as RecordAlive does, and
// changes nothing.
func (t *Tracker) Admits(m Meta) bool {
	known := t.view.Find(m.Name)
	return known != nil && !(known.Status.Present() && known.Address != m.Address && known.startedBefore(m))
}

// RecordAlive records that the membership protocol has m among the live members.
func (t *Tracker) RecordAlive(m Meta, now time.Time) []Event {
	known := t.view.Find(m.Name)
	switch {
	case known == nil:
		t.addUnknown(m)
		return t.finishUpdate(now)
	case m.Name == t.self.Name:
		// Guard: at its own address it is the process that was there before, as others still know it,
		// and no other member: nobody would let the new process in otherwise.
		if !m.sameIncarnation(t.self) && m.Address != t.self.Address {
			t.addDuplicate(t.self, m, now)
		}
		return t.finishUpdate(now)
	case known.Status.Present() && !known.sameIncarnation(m) && known.Address != m.Address:
		// The protocol has not reported the present member as gone. If that one started
		// later, m takes its place.
		t.addDuplicate(known.Meta, m, now)
		if known.startedBefore(m) {
			return t.finishUpdate(now)
		}
	}
	previousStatus, previous := known.Status, known.Meta
	known.Meta = m
	status := StatusAlive
	switch {
	case m.Leaving:
		status = StatusLeaving
	case previousStatus == StatusSuspect && previous.sameIncarnation(m):
		status = StatusSuspect // second-hand information; only RecordAck clears a suspicion
	}
	if previousStatus != status || !previous.sameIncarnation(m) {
		known.Status, known.Since = status, now
		switch {
		case status == StatusLeaving:
			t.addEvent(EventLeaving, m)
		case previousStatus == StatusUnheard || previousStatus == StatusLeft && !previous.sameIncarnation(m):
			t.addEvent(EventJoined, m)
		case !previous.sameIncarnation(m):
			t.addEvent(EventRestarted, m)
		default:
			t.addEvent(EventRecovered, m)
		}
	}
	return t.finishUpdate(now)
}

// RecordAck records that the member itself has answered at now.
func (t *Tracker) RecordAck(name string, now time.Time) []Event {
	if known := t.view.Find(name); known != nil && name != t.self.Name {
		t.clearStale()
		if known.Status == StatusSuspect {
			known.Status, known.Since = StatusAlive, now
			t.addEvent(EventSuspicionCleared, known.Meta)
		}
	}
	return t.finishUpdate(now)
}

// RecordSuspicion records that a member does not answer probes.
func (t *Tracker) RecordSuspicion(name string, now time.Time) []Event {
	if known := t.view.Find(name); known != nil && name != t.self.Name && known.Status == StatusAlive {
		known.Status, known.Since = StatusSuspect, now
		t.addEvent(EventSuspected, known.Meta)
	}
	return t.finishUpdate(now)
}

// RecordGone records that the membership protocol has removed a member.
func (t *Tracker) RecordGone(name string, now time.Time) []Event {
	if known := t.view.Find(name); known != nil && name != t.self.Name {
		switch known.Status {
		case StatusAlive, StatusSuspect:
			known.Status, known.Since = StatusLost, now
			t.addEvent(EventLost, known.Meta)
		case StatusLeaving:
			known.Status, known.Since = StatusLeft, now
			t.addEvent(EventLeft, known.Meta)
		}
	}
	return t.finishUpdate(now)
}

// RecordDuplicate records that the membership protocol heard of two members with one name.
func (t *Tracker) RecordDuplicate(first, second Meta, now time.Time) []Event {
	if t.view.Find(first.Name) == nil {
		t.addUnknown(first)
	} else {
		t.addDuplicate(first, second, now)
	}
	return t.finishUpdate(now)
}

// RecordUnknown records a member that must not be admitted, whatever its name.
func (t *Tracker) RecordUnknown(m Meta, now time.Time) []Event {
	t.addUnknown(m)
	return t.finishUpdate(now)
}

// RecordOwnLeave records that this member is leaving.
func (t *Tracker) RecordOwnLeave(now time.Time) []Event {
	if own := t.view.Find(t.self.Name); own.Status != StatusLeaving {
		t.self.Leaving, own.Leaving = true, true
		own.Status, own.Since = StatusLeaving, now
		t.addEvent(EventLeaving, own.Meta)
	}
	return t.finishUpdate(now)
}

// Tick must be called every 100 ms. It detects process pauses and applies time-outs.
func (t *Tracker) Tick(now time.Time) []Event { return t.finishUpdate(now) }

func (t *Tracker) addDuplicate(first, second Meta, now time.Time) {
	if !first.startedBefore(second) {
		first, second = second, first
	}
	if second.sameIncarnation(t.self) {
		t.duplicateSeenAt = now
	}
	if key := [2]int64{first.StartedUnixNano, second.StartedUnixNano}; !t.reportedDuplicates[key] && len(t.reportedDuplicates) < maxReported {
		t.reportedDuplicates[key] = true
		t.pendingEvents = append(t.pendingEvents, Event{Kind: EventDuplicateName, Member: first, Duplicate: second})
	}
}

func (t *Tracker) addUnknown(m Meta) {
	if key := m.Name + " " + m.Address; !t.reportedUnknown[key] && len(t.reportedUnknown) < maxReported {
		t.reportedUnknown[key] = true
		t.pendingEvents = append(t.pendingEvents, Event{Kind: EventUnknownMember, Member: m})
	}
}

func (t *Tracker) clearStale() {
	if t.view.Stale {
		t.view.Stale = false
		t.addEvent(EventViewRefreshed, t.self)
	}
}

func (t *Tracker) addEvent(kind EventKind, m Meta) {
	t.pendingEvents = append(t.pendingEvents, Event{Kind: kind, Member: m})
}

// finishUpdate applies the consequences of a report, numbers the view if it has changed, and
// returns the events.
func (t *Tracker) finishUpdate(now time.Time) []Event {
	if paused := t.pauseDetector.Heartbeat(now); paused > 0 {
		t.addEvent(EventProcessPaused, t.self)
		t.view.Stale = len(t.view.Members) > 1
		if !t.duplicateSeenAt.IsZero() {
			t.duplicateSeenAt = now
		}
	}
	for i := range t.view.Members {
		if m := &t.view.Members[i]; m.Status == StatusSuspect && now.Sub(m.Since) > maxSuspicion {
			m.Status, m.Since = StatusAlive, now
			t.addEvent(EventSuspicionCleared, m.Meta)
		}
	}
	if refused := !t.duplicateSeenAt.IsZero() && now.Sub(t.duplicateSeenAt) <= duplicateTimeout; refused != t.view.RefusedAsDuplicate {
		t.view.RefusedAsDuplicate = refused
		t.addEvent(map[bool]EventKind{true: EventSelfRefused, false: EventSelfAdmitted}[refused], t.self)
	}
	hadNoQuorum := t.view.NoQuorum
	t.recount()
	if t.view.NoQuorum != hadNoQuorum {
		t.addEvent(map[bool]EventKind{true: EventQuorumLost, false: EventQuorumRegained}[t.view.NoQuorum], t.self)
	}
	events := t.pendingEvents
	t.pendingEvents = nil
	// Events that do not change the membership lead to no new view.
	if slices.ContainsFunc(events, func(e Event) bool {
		return e.Kind != EventDuplicateName && e.Kind != EventUnknownMember && e.Kind != EventProcessPaused || t.view.Stale && e.Kind == EventProcessPaused
	}) {
		t.view.Number++
	}
	for i := range events {
		events[i].ViewNumber = t.view.Number
	}
	return events
}

func (t *Tracker) recount() {
	t.view.PresentCount = 0
	for i := range t.view.Members {
		m := &t.view.Members[i]
		// A leaving member counts itself until it is gone.
		if m.Status.Present() || m.Name == t.self.Name {
			t.view.PresentCount++
		}
	}
	t.view.NoQuorum = 2*t.view.PresentCount <= len(t.view.Members)
}
