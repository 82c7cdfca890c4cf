package member

import (
	"cmp"
	"slices"
	"time"

	"millethinge/internal/stall"
)

// Times of a Book.
const (
	// suspectFor is the longest that a suspicion lasts that is neither confirmed nor
	// denied: by then the carrier has said that the member is lost, or it answered.
	suspectFor = 30 * time.Second
	// twinFor is how long one that met another of its name stays refused without
	// meeting it again. It asks again each joinEvery.
	twinFor = 3 * joinEvery
)

// Status is what is known of a member.
type Status int

const (
	StatusUnheard Status = iota // named in the file, and never heard of
	StatusAlive                 // in view
	StatusSuspect               // in view, but it doesn't answer
	StatusLost                  // it doesn't answer, and others say so, too, or can't be asked
	StatusLeaving               // in view, and it has said that it leaves
	StatusLeft                  // it left
)

func (s Status) String() string {
	return [...]string{"unheard", "here", "suspect", "lost", "departing", "left"}[s]
}

// Present tells whether a member of this status is counted upon.
func (s Status) Present() bool { return s == StatusAlive || s == StatusSuspect }

// Meta is what a member tells of itself.
type Meta struct {
	Name    string
	Site    string
	Address string // at which it is reached
	// Started names one life of a member: by the clock of its machine, ns since 1970.
	// Of two under one name the one that started later is the younger; clocks that are
	// apart may turn that round, but all take the same one for it.
	StartedUnixNano int64
	Leaving         bool
}

// older tells whether a is the elder of two of one name.
func (m Meta) older(o Meta) bool {
	return cmp.Or(cmp.Compare(m.StartedUnixNano, o.StartedUnixNano), cmp.Compare(m.Address, o.Address)) < 0
}

// same tells whether two are one life of one member.
func (m Meta) same(o Meta) bool {
	return m.Name == o.Name && m.StartedUnixNano == o.StartedUnixNano && m.Address == o.Address
}

// ConfiguredMember is a member that the file names.
type ConfiguredMember struct{ Name, Site string }

// Member is one of a View.
type Member struct {
	Meta
	Status Status
	Since  time.Time // of the status
}

// View is who is there, as one member knows it. Views of one life are numbered from 1;
// another member's numbers mean nothing beside these.
type View struct {
	Number       int64
	Self         string
	Members      []Member // all that are named, in the order of their names
	PresentCount int      // how many of them are counted upon
	// Alone: a majority of the named fleet is not in view, so that this may be the part
	// that was cut off. Two halves of an even fleet are both alone.
	NoQuorum bool
	// Stale: the program stood still, and nobody has been heard since.
	Stale bool
	// Refused: an elder of the same name is there; nobody has this one in view.
	RefusedAsDuplicate bool
}

// Find returns the member of a name, or nil.
func (v View) Find(name string) *Member {
	i, ok := slices.BinarySearchFunc(v.Members, name, func(m Member, n string) int { return cmp.Compare(m.Name, n) })
	if !ok {
		return nil
	}
	return &v.Members[i]
}

// EventKind tells what has happened.
type EventKind string

// Events.
const (
	EventJoined           EventKind = "joined"
	EventRestarted        EventKind = "restarted" // under its name, in another life
	EventSuspected        EventKind = "suspected"
	EventSuspicionCleared EventKind = "cleared" // of suspicion
	EventLost             EventKind = "lost"
	EventRecovered        EventKind = "healed" // it was lost, and is there again in the same life
	EventLeaving          EventKind = "leaves"
	EventLeft             EventKind = "left"
	EventUnknownMember    EventKind = "stranger" // the file doesn't name it; it is not let in
	EventDuplicateName    EventKind = "twin"     // two of one name: the younger is refused
	EventQuorumLost       EventKind = "alone"
	EventQuorumRegained   EventKind = "in-company"
	EventProcessPaused    EventKind = "stood-still"
	EventViewRefreshed    EventKind = "heard-again"
	EventSelfRefused      EventKind = "refused" // this one, for an elder of its name
	EventSelfAdmitted     EventKind = "let-in"  // this one, after that
)

// Event is a change of a View.
type Event struct {
	Kind       EventKind
	ViewNumber int64 // the number of the view that it led to
	Member     Meta
	Duplicate  Meta // of a twin: the younger
}

// Tracker keeps who is there from what a carrier reports. It does no I/O and reads no
// clock: times are arguments, from one that goes on while the program stands. It is for
// one goroutine.
type Tracker struct {
	self    Meta
	view    View
	copied  View              // of view, for others
	twins   map[[2]int64]bool // told already, by both lives
	strange map[string]bool
	refused time.Time // when an elder was met last; zero: none
	watch   stall.Detector
	events  []Event
}

// mostTold bounds how many strangers and twins are remembered as told.
const mostTold = 1000

// NewTracker returns the Book of a member at its start. named includes itself.
func NewTracker(self Meta, named []ConfiguredMember, now time.Time) *Tracker {
	b := &Tracker{self: self, twins: map[[2]int64]bool{}, strange: map[string]bool{}}
	b.view = View{Number: 1, Self: self.Name}
	for _, n := range named {
		m := Member{Meta: Meta{Name: n.Name, Site: n.Site}, Since: now}
		if n.Name == self.Name {
			m.Meta, m.Status = self, StatusAlive
		}
		b.view.Members = append(b.view.Members, m)
	}
	slices.SortFunc(b.view.Members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	b.watch.Reset(now)
	b.count()
	return b
}

// View is the present view. Its members are not to be changed. It is made once for each
// number: nothing of a view changes without a new one.
func (b *Tracker) View() View {
	if b.copied.Number != b.view.Number {
		b.copied = b.view
		b.copied.Members = slices.Clone(b.view.Members)
	}
	return b.copied
}

// Admits tells whether a carrier is to let in a member that it hears of: the file names
// it, and it is no younger twin. It is what Alive does, without a change.
func (b *Tracker) Admits(m Meta) bool {
	o := b.view.Find(m.Name)
	return o != nil && !(o.Status.Present() && o.Address != m.Address && o.older(m))
}

// RecordAlive reports that a carrier has a member among those that are there.
func (b *Tracker) RecordAlive(m Meta, now time.Time) []Event {
	o := b.view.Find(m.Name)
	switch {
	case o == nil:
		b.stranger(m)
		return b.done(now)
	case m.Name == b.self.Name:
		if !m.same(b.self) {
			b.met(b.self, m, now)
		}
		return b.done(now)
	case o.Status.Present() && !o.same(m) && o.Address != m.Address:
		// The carrier has said nothing of an end of the one in view. If that is the
		// younger one, the elder takes its place.
		b.met(o.Meta, m, now)
		if o.older(m) {
			return b.done(now)
		}
	}
	was, before := o.Status, o.Meta
	o.Meta = m
	to := StatusAlive
	switch {
	case m.Leaving:
		to = StatusLeaving
	case was == StatusSuspect && before.same(m):
		to = StatusSuspect // hearsay; what clears it is Answered
	}
	if was != to || !before.same(m) {
		o.Status, o.Since = to, now
		switch {
		case to == StatusLeaving:
			b.tell(EventLeaving, m)
		case was == StatusUnheard || was == StatusLeft && !before.same(m):
			b.tell(EventJoined, m)
		case !before.same(m):
			b.tell(EventRestarted, m)
		default:
			b.tell(EventRecovered, m)
		}
	}
	return b.done(now)
}

// RecordAck reports that a member itself has answered just now.
func (b *Tracker) RecordAck(name string, now time.Time) []Event {
	if o := b.view.Find(name); o != nil && name != b.self.Name {
		b.fresh()
		if o.Status == StatusSuspect {
			o.Status, o.Since = StatusAlive, now
			b.tell(EventSuspicionCleared, o.Meta)
		}
	}
	return b.done(now)
}

// RecordSuspicion reports that a member doesn't answer.
func (b *Tracker) RecordSuspicion(name string, now time.Time) []Event {
	if o := b.view.Find(name); o != nil && name != b.self.Name && o.Status == StatusAlive {
		o.Status, o.Since = StatusSuspect, now
		b.tell(EventSuspected, o.Meta)
	}
	return b.done(now)
}

// RecordGone reports that a carrier no longer has a member.
func (b *Tracker) RecordGone(name string, now time.Time) []Event {
	if o := b.view.Find(name); o != nil && name != b.self.Name {
		switch o.Status {
		case StatusAlive, StatusSuspect:
			o.Status, o.Since = StatusLost, now
			b.tell(EventLost, o.Meta)
		case StatusLeaving:
			o.Status, o.Since = StatusLeft, now
			b.tell(EventLeft, o.Meta)
		}
	}
	return b.done(now)
}

// RecordDuplicate reports that a carrier heard of two of one name.
func (b *Tracker) RecordDuplicate(one, other Meta, now time.Time) []Event {
	if b.view.Find(one.Name) == nil {
		b.stranger(one)
	} else {
		b.met(one, other, now)
	}
	return b.done(now)
}

// RecordUnknown reports one that is not to be let in, whatever its name.
func (b *Tracker) RecordUnknown(m Meta, now time.Time) []Event {
	b.stranger(m)
	return b.done(now)
}

// RecordOwnLeave notes that this member leaves.
func (b *Tracker) RecordOwnLeave(now time.Time) []Event {
	if o := b.view.Find(b.self.Name); o.Status != StatusLeaving {
		b.self.Leaving, o.Leaving = true, true
		o.Status, o.Since = StatusLeaving, now
		b.tell(EventLeaving, o.Meta)
	}
	return b.done(now)
}

// Tick is to be called each 100 ms. It notices that the program stood still.
func (b *Tracker) Tick(now time.Time) []Event { return b.done(now) }

func (b *Tracker) met(one, other Meta, now time.Time) {
	if !one.older(other) {
		one, other = other, one
	}
	if other.same(b.self) {
		b.refused = now
	}
	if key := [2]int64{one.StartedUnixNano, other.StartedUnixNano}; !b.twins[key] && len(b.twins) < mostTold {
		b.twins[key] = true
		b.events = append(b.events, Event{Kind: EventDuplicateName, Member: one, Duplicate: other})
	}
}

func (b *Tracker) stranger(m Meta) {
	if key := m.Name + " " + m.Address; !b.strange[key] && len(b.strange) < mostTold {
		b.strange[key] = true
		b.events = append(b.events, Event{Kind: EventUnknownMember, Member: m})
	}
}

func (b *Tracker) fresh() {
	if b.view.Stale {
		b.view.Stale = false
		b.tell(EventViewRefreshed, b.self)
	}
}

func (b *Tracker) tell(w EventKind, m Meta) { b.events = append(b.events, Event{Kind: w, Member: m}) }

// done draws what follows from a report, numbers the view if it has changed, and
// returns what happened.
func (b *Tracker) done(now time.Time) []Event {
	if stood := b.watch.Heartbeat(now); stood > 0 {
		b.tell(EventProcessPaused, b.self)
		b.view.Stale = len(b.view.Members) > 1
		if !b.refused.IsZero() {
			b.refused = now
		}
	}
	for i := range b.view.Members {
		if m := &b.view.Members[i]; m.Status == StatusSuspect && now.Sub(m.Since) > suspectFor {
			m.Status, m.Since = StatusAlive, now
			b.tell(EventSuspicionCleared, m.Meta)
		}
	}
	if refused := !b.refused.IsZero() && now.Sub(b.refused) <= twinFor; refused != b.view.RefusedAsDuplicate {
		b.view.RefusedAsDuplicate = refused
		b.tell(map[bool]EventKind{true: EventSelfRefused, false: EventSelfAdmitted}[refused], b.self)
	}
	alone := b.view.NoQuorum
	b.count()
	if b.view.NoQuorum != alone {
		b.tell(map[bool]EventKind{true: EventQuorumLost, false: EventQuorumRegained}[b.view.NoQuorum], b.self)
	}
	events := b.events
	b.events = nil
	// What changed nothing of who is there leads to no new view.
	if slices.ContainsFunc(events, func(e Event) bool {
		return e.Kind != EventDuplicateName && e.Kind != EventUnknownMember && e.Kind != EventProcessPaused || b.view.Stale && e.Kind == EventProcessPaused
	}) {
		b.view.Number++
	}
	for i := range events {
		events[i].ViewNumber = b.view.Number
	}
	return events
}

func (b *Tracker) count() {
	b.view.PresentCount = 0
	for i := range b.view.Members {
		m := &b.view.Members[i]
		// One that leaves counts itself for as long as it is there.
		if m.Status.Present() || m.Name == b.self.Name {
			b.view.PresentCount++
		}
	}
	b.view.NoQuorum = 2*b.view.PresentCount <= len(b.view.Members)
}
