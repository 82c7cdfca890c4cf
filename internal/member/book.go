package member

import (
	"cmp"
	"slices"
	"time"

	"millethinge/internal/stall"
)

// Times of a Book.
const (
	// maxSuspicion is the longest that a suspicion lasts that is neither confirmed nor
	// denied: by then the carrier has said that the member is lost, or it answered.
	maxSuspicion = 30 * time.Second
	// duplicateTimeout is how long one that met another of its name stays refused without
	// meeting it again. It asks again each joinEvery.
	duplicateTimeout = 3 * joinInterval
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

// startedBefore tells whether a is the elder of two of one name.
func (m Meta) startedBefore(other Meta) bool {
	return cmp.Or(cmp.Compare(m.StartedUnixNano, other.StartedUnixNano), cmp.Compare(m.Address, other.Address)) < 0
}

// sameIncarnation tells whether two are one life of one member.
func (m Meta) sameIncarnation(other Meta) bool {
	return m.Name == other.Name && m.StartedUnixNano == other.StartedUnixNano && m.Address == other.Address
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
	self               Meta
	view               View
	snapshot           View              // of view, for others
	reportedDuplicates map[[2]int64]bool // told already, by both lives
	reportedUnknown    map[string]bool
	duplicateSeenAt    time.Time // when an elder was met last; zero: none
	pauseDetector      stall.Detector
	pendingEvents      []Event
}

// maxReported bounds how many strangers and twins are remembered as told.
const maxReported = 1000

// NewTracker returns the Book of a member at its start. named includes itself.
func NewTracker(self Meta, configured []ConfiguredMember, now time.Time) *Tracker {
	b := &Tracker{self: self, reportedDuplicates: map[[2]int64]bool{}, reportedUnknown: map[string]bool{}}
	b.view = View{Number: 1, Self: self.Name}
	for _, n := range configured {
		m := Member{Meta: Meta{Name: n.Name, Site: n.Site}, Since: now}
		if n.Name == self.Name {
			m.Meta, m.Status = self, StatusAlive
		}
		b.view.Members = append(b.view.Members, m)
	}
	slices.SortFunc(b.view.Members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	b.pauseDetector.Reset(now)
	b.recount()
	return b
}

// View is the present view. Its members are not to be changed. It is made once for each
// number: nothing of a view changes without a new one.
func (b *Tracker) View() View {
	if b.snapshot.Number != b.view.Number {
		b.snapshot = b.view
		b.snapshot.Members = slices.Clone(b.view.Members)
	}
	return b.snapshot
}

// Admits tells whether a carrier is to let in a member that it hears of: the file names
// it, and it is no younger twin. It is what Alive does, without a change.
func (b *Tracker) Admits(m Meta) bool {
	known := b.view.Find(m.Name)
	return known != nil && !(known.Status.Present() && known.Address != m.Address && known.startedBefore(m))
}

// RecordAlive reports that a carrier has a member among those that are there.
func (b *Tracker) RecordAlive(m Meta, now time.Time) []Event {
	known := b.view.Find(m.Name)
	switch {
	case known == nil:
		b.addUnknown(m)
		return b.finishUpdate(now)
	case m.Name == b.self.Name:
		if !m.sameIncarnation(b.self) {
			b.addDuplicate(b.self, m, now)
		}
		return b.finishUpdate(now)
	case known.Status.Present() && !known.sameIncarnation(m) && known.Address != m.Address:
		// The carrier has said nothing of an end of the one in view. If that is the
		// younger one, the elder takes its place.
		b.addDuplicate(known.Meta, m, now)
		if known.startedBefore(m) {
			return b.finishUpdate(now)
		}
	}
	previousStatus, previous := known.Status, known.Meta
	known.Meta = m
	status := StatusAlive
	switch {
	case m.Leaving:
		status = StatusLeaving
	case previousStatus == StatusSuspect && previous.sameIncarnation(m):
		status = StatusSuspect // hearsay; what clears it is Answered
	}
	if previousStatus != status || !previous.sameIncarnation(m) {
		known.Status, known.Since = status, now
		switch {
		case status == StatusLeaving:
			b.addEvent(EventLeaving, m)
		case previousStatus == StatusUnheard || previousStatus == StatusLeft && !previous.sameIncarnation(m):
			b.addEvent(EventJoined, m)
		case !previous.sameIncarnation(m):
			b.addEvent(EventRestarted, m)
		default:
			b.addEvent(EventRecovered, m)
		}
	}
	return b.finishUpdate(now)
}

// RecordAck reports that a member itself has answered just now.
func (b *Tracker) RecordAck(name string, now time.Time) []Event {
	if known := b.view.Find(name); known != nil && name != b.self.Name {
		b.clearStale()
		if known.Status == StatusSuspect {
			known.Status, known.Since = StatusAlive, now
			b.addEvent(EventSuspicionCleared, known.Meta)
		}
	}
	return b.finishUpdate(now)
}

// RecordSuspicion reports that a member doesn't answer.
func (b *Tracker) RecordSuspicion(name string, now time.Time) []Event {
	if known := b.view.Find(name); known != nil && name != b.self.Name && known.Status == StatusAlive {
		known.Status, known.Since = StatusSuspect, now
		b.addEvent(EventSuspected, known.Meta)
	}
	return b.finishUpdate(now)
}

// RecordGone reports that a carrier no longer has a member.
func (b *Tracker) RecordGone(name string, now time.Time) []Event {
	if known := b.view.Find(name); known != nil && name != b.self.Name {
		switch known.Status {
		case StatusAlive, StatusSuspect:
			known.Status, known.Since = StatusLost, now
			b.addEvent(EventLost, known.Meta)
		case StatusLeaving:
			known.Status, known.Since = StatusLeft, now
			b.addEvent(EventLeft, known.Meta)
		}
	}
	return b.finishUpdate(now)
}

// RecordDuplicate reports that a carrier heard of two of one name.
func (b *Tracker) RecordDuplicate(first, second Meta, now time.Time) []Event {
	if b.view.Find(first.Name) == nil {
		b.addUnknown(first)
	} else {
		b.addDuplicate(first, second, now)
	}
	return b.finishUpdate(now)
}

// RecordUnknown reports one that is not to be let in, whatever its name.
func (b *Tracker) RecordUnknown(m Meta, now time.Time) []Event {
	b.addUnknown(m)
	return b.finishUpdate(now)
}

// RecordOwnLeave notes that this member leaves.
func (b *Tracker) RecordOwnLeave(now time.Time) []Event {
	if own := b.view.Find(b.self.Name); own.Status != StatusLeaving {
		b.self.Leaving, own.Leaving = true, true
		own.Status, own.Since = StatusLeaving, now
		b.addEvent(EventLeaving, own.Meta)
	}
	return b.finishUpdate(now)
}

// Tick is to be called each 100 ms. It notices that the program stood still.
func (b *Tracker) Tick(now time.Time) []Event { return b.finishUpdate(now) }

func (b *Tracker) addDuplicate(first, second Meta, now time.Time) {
	if !first.startedBefore(second) {
		first, second = second, first
	}
	if second.sameIncarnation(b.self) {
		b.duplicateSeenAt = now
	}
	if key := [2]int64{first.StartedUnixNano, second.StartedUnixNano}; !b.reportedDuplicates[key] && len(b.reportedDuplicates) < maxReported {
		b.reportedDuplicates[key] = true
		b.pendingEvents = append(b.pendingEvents, Event{Kind: EventDuplicateName, Member: first, Duplicate: second})
	}
}

func (b *Tracker) addUnknown(m Meta) {
	if key := m.Name + " " + m.Address; !b.reportedUnknown[key] && len(b.reportedUnknown) < maxReported {
		b.reportedUnknown[key] = true
		b.pendingEvents = append(b.pendingEvents, Event{Kind: EventUnknownMember, Member: m})
	}
}

func (b *Tracker) clearStale() {
	if b.view.Stale {
		b.view.Stale = false
		b.addEvent(EventViewRefreshed, b.self)
	}
}

func (b *Tracker) addEvent(kind EventKind, m Meta) {
	b.pendingEvents = append(b.pendingEvents, Event{Kind: kind, Member: m})
}

// finishUpdate draws what follows from a report, numbers the view if it has changed, and
// returns what happened.
func (b *Tracker) finishUpdate(now time.Time) []Event {
	if paused := b.pauseDetector.Heartbeat(now); paused > 0 {
		b.addEvent(EventProcessPaused, b.self)
		b.view.Stale = len(b.view.Members) > 1
		if !b.duplicateSeenAt.IsZero() {
			b.duplicateSeenAt = now
		}
	}
	for i := range b.view.Members {
		if m := &b.view.Members[i]; m.Status == StatusSuspect && now.Sub(m.Since) > maxSuspicion {
			m.Status, m.Since = StatusAlive, now
			b.addEvent(EventSuspicionCleared, m.Meta)
		}
	}
	if refused := !b.duplicateSeenAt.IsZero() && now.Sub(b.duplicateSeenAt) <= duplicateTimeout; refused != b.view.RefusedAsDuplicate {
		b.view.RefusedAsDuplicate = refused
		b.addEvent(map[bool]EventKind{true: EventSelfRefused, false: EventSelfAdmitted}[refused], b.self)
	}
	hadNoQuorum := b.view.NoQuorum
	b.recount()
	if b.view.NoQuorum != hadNoQuorum {
		b.addEvent(map[bool]EventKind{true: EventQuorumLost, false: EventQuorumRegained}[b.view.NoQuorum], b.self)
	}
	events := b.pendingEvents
	b.pendingEvents = nil
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

func (b *Tracker) recount() {
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
