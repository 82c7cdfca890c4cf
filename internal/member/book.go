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
	Unheard   Status = iota // named in the file, and never heard of
	Here                    // in view
	Suspect                 // in view, but it doesn't answer
	Lost                    // it doesn't answer, and others say so, too, or can't be asked
	Departing               // in view, and it has said that it leaves
	Gone                    // it left
)

func (s Status) String() string {
	return [...]string{"unheard", "here", "suspect", "lost", "departing", "left"}[s]
}

// InView tells whether a member of this status is counted upon.
func (s Status) InView() bool { return s == Here || s == Suspect }

// Meta is what a member tells of itself.
type Meta struct {
	Name    string
	Site    string
	Address string // at which it is reached
	// Started names one life of a member: by the clock of its machine, ns since 1970.
	// Of two under one name the one that started later is the younger; clocks that are
	// apart may turn that round, but all take the same one for it.
	Started int64
	Leaves  bool
}

// older tells whether a is the elder of two of one name.
func (m Meta) older(o Meta) bool {
	return cmp.Or(cmp.Compare(m.Started, o.Started), cmp.Compare(m.Address, o.Address)) < 0
}

// same tells whether two are one life of one member.
func (m Meta) same(o Meta) bool {
	return m.Name == o.Name && m.Started == o.Started && m.Address == o.Address
}

// Named is a member that the file names.
type Named struct{ Name, Site string }

// Member is one of a View.
type Member struct {
	Meta
	Status Status
	Since  time.Time // of the status
}

// View is who is there, as one member knows it. Views of one life are numbered from 1;
// another member's numbers mean nothing beside these.
type View struct {
	Number  int64
	Self    string
	Members []Member // all that are named, in the order of their names
	InView  int      // how many of them are counted upon
	// Alone: a majority of the named fleet is not in view, so that this may be the part
	// that was cut off. Two halves of an even fleet are both alone.
	Alone bool
	// Stale: the program stood still, and nobody has been heard since.
	Stale bool
	// Refused: an elder of the same name is there; nobody has this one in view.
	Refused bool
}

// Find returns the member of a name, or nil.
func (v View) Find(name string) *Member {
	i, ok := slices.BinarySearchFunc(v.Members, name, func(m Member, n string) int { return cmp.Compare(m.Name, n) })
	if !ok {
		return nil
	}
	return &v.Members[i]
}

// What tells what has happened.
type What string

// Events.
const (
	Joined     What = "joined"
	Restarted  What = "restarted" // under its name, in another life
	Suspected  What = "suspected"
	Cleared    What = "cleared" // of suspicion
	WasLost    What = "lost"
	Healed     What = "healed" // it was lost, and is there again in the same life
	Departs    What = "leaves"
	Left       What = "left"
	Stranger   What = "stranger" // the file doesn't name it; it is not let in
	Twin       What = "twin"     // two of one name: the younger is refused
	IsAlone    What = "alone"
	InCompany  What = "in-company"
	Stood      What = "stood-still"
	Fresh      What = "heard-again"
	WasRefused What = "refused" // this one, for an elder of its name
	LetIn      What = "let-in"  // this one, after that
)

// Event is a change of a View.
type Event struct {
	What   What
	View   int64 // the number of the view that it led to
	Member Meta
	Other  Meta // of a twin: the younger
}

// Book keeps who is there from what a carrier reports. It does no I/O and reads no
// clock: times are arguments, from one that goes on while the program stands. It is for
// one goroutine.
type Book struct {
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

// NewBook returns the Book of a member at its start. named includes itself.
func NewBook(self Meta, named []Named, now time.Time) *Book {
	b := &Book{self: self, twins: map[[2]int64]bool{}, strange: map[string]bool{}}
	b.view = View{Number: 1, Self: self.Name}
	for _, n := range named {
		m := Member{Meta: Meta{Name: n.Name, Site: n.Site}, Since: now}
		if n.Name == self.Name {
			m.Meta, m.Status = self, Here
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
func (b *Book) View() View {
	if b.copied.Number != b.view.Number {
		b.copied = b.view
		b.copied.Members = slices.Clone(b.view.Members)
	}
	return b.copied
}

// Admit tells whether a carrier is to let in a member that it hears of: the file names
// it, and it is no younger twin. It is what Alive does, without a change.
func (b *Book) Admit(m Meta) bool {
	o := b.view.Find(m.Name)
	return o != nil && !(o.Status.InView() && o.Address != m.Address && o.older(m))
}

// Alive reports that a carrier has a member among those that are there.
func (b *Book) Alive(m Meta, now time.Time) []Event {
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
	case o.Status.InView() && !o.same(m) && o.Address != m.Address:
		// The carrier has said nothing of an end of the one in view. If that is the
		// younger one, the elder takes its place.
		b.met(o.Meta, m, now)
		if o.older(m) {
			return b.done(now)
		}
	}
	was, before := o.Status, o.Meta
	o.Meta = m
	to := Here
	switch {
	case m.Leaves:
		to = Departing
	case was == Suspect && before.same(m):
		to = Suspect // hearsay; what clears it is Answered
	}
	if was != to || !before.same(m) {
		o.Status, o.Since = to, now
		switch {
		case to == Departing:
			b.tell(Departs, m)
		case was == Unheard || was == Gone && !before.same(m):
			b.tell(Joined, m)
		case !before.same(m):
			b.tell(Restarted, m)
		default:
			b.tell(Healed, m)
		}
	}
	return b.done(now)
}

// Answered reports that a member itself has answered just now.
func (b *Book) Answered(name string, now time.Time) []Event {
	if o := b.view.Find(name); o != nil && name != b.self.Name {
		b.fresh()
		if o.Status == Suspect {
			o.Status, o.Since = Here, now
			b.tell(Cleared, o.Meta)
		}
	}
	return b.done(now)
}

// Doubted reports that a member doesn't answer.
func (b *Book) Doubted(name string, now time.Time) []Event {
	if o := b.view.Find(name); o != nil && name != b.self.Name && o.Status == Here {
		o.Status, o.Since = Suspect, now
		b.tell(Suspected, o.Meta)
	}
	return b.done(now)
}

// Ended reports that a carrier no longer has a member.
func (b *Book) Ended(name string, now time.Time) []Event {
	if o := b.view.Find(name); o != nil && name != b.self.Name {
		switch o.Status {
		case Here, Suspect:
			o.Status, o.Since = Lost, now
			b.tell(WasLost, o.Meta)
		case Departing:
			o.Status, o.Since = Gone, now
			b.tell(Left, o.Meta)
		}
	}
	return b.done(now)
}

// Twins reports that a carrier heard of two of one name.
func (b *Book) Twins(one, other Meta, now time.Time) []Event {
	if b.view.Find(one.Name) == nil {
		b.stranger(one)
	} else {
		b.met(one, other, now)
	}
	return b.done(now)
}

// Strange reports one that is not to be let in, whatever its name.
func (b *Book) Strange(m Meta, now time.Time) []Event {
	b.stranger(m)
	return b.done(now)
}

// Leaves notes that this member leaves.
func (b *Book) Leaves(now time.Time) []Event {
	if o := b.view.Find(b.self.Name); o.Status != Departing {
		b.self.Leaves, o.Leaves = true, true
		o.Status, o.Since = Departing, now
		b.tell(Departs, o.Meta)
	}
	return b.done(now)
}

// Tick is to be called each 100 ms. It notices that the program stood still.
func (b *Book) Tick(now time.Time) []Event { return b.done(now) }

func (b *Book) met(one, other Meta, now time.Time) {
	if !one.older(other) {
		one, other = other, one
	}
	if other.same(b.self) {
		b.refused = now
	}
	if key := [2]int64{one.Started, other.Started}; !b.twins[key] && len(b.twins) < mostTold {
		b.twins[key] = true
		b.events = append(b.events, Event{What: Twin, Member: one, Other: other})
	}
}

func (b *Book) stranger(m Meta) {
	if key := m.Name + " " + m.Address; !b.strange[key] && len(b.strange) < mostTold {
		b.strange[key] = true
		b.events = append(b.events, Event{What: Stranger, Member: m})
	}
}

func (b *Book) fresh() {
	if b.view.Stale {
		b.view.Stale = false
		b.tell(Fresh, b.self)
	}
}

func (b *Book) tell(w What, m Meta) { b.events = append(b.events, Event{What: w, Member: m}) }

// done draws what follows from a report, numbers the view if it has changed, and
// returns what happened.
func (b *Book) done(now time.Time) []Event {
	if stood := b.watch.Heartbeat(now); stood > 0 {
		b.tell(Stood, b.self)
		b.view.Stale = len(b.view.Members) > 1
		if !b.refused.IsZero() {
			b.refused = now
		}
	}
	for i := range b.view.Members {
		if m := &b.view.Members[i]; m.Status == Suspect && now.Sub(m.Since) > suspectFor {
			m.Status, m.Since = Here, now
			b.tell(Cleared, m.Meta)
		}
	}
	if refused := !b.refused.IsZero() && now.Sub(b.refused) <= twinFor; refused != b.view.Refused {
		b.view.Refused = refused
		b.tell(map[bool]What{true: WasRefused, false: LetIn}[refused], b.self)
	}
	alone := b.view.Alone
	b.count()
	if b.view.Alone != alone {
		b.tell(map[bool]What{true: IsAlone, false: InCompany}[b.view.Alone], b.self)
	}
	events := b.events
	b.events = nil
	// What changed nothing of who is there leads to no new view.
	if slices.ContainsFunc(events, func(e Event) bool {
		return e.What != Twin && e.What != Stranger && e.What != Stood || b.view.Stale && e.What == Stood
	}) {
		b.view.Number++
	}
	for i := range events {
		events[i].View = b.view.Number
	}
	return events
}

func (b *Book) count() {
	b.view.InView = 0
	for i := range b.view.Members {
		m := &b.view.Members[i]
		// One that leaves counts itself for as long as it is there.
		if m.Status.InView() || m.Name == b.self.Name {
			b.view.InView++
		}
	}
	b.view.Alone = 2*b.view.InView <= len(b.view.Members)
}
