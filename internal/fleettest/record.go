package fleettest

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Kind says what an Event is. Who records it is in brackets.
type Kind uint8

const (
	Asked      Kind = iota // [viewer] a set-up was written whole to Manager: Class, Paid, Left
	Answered               // [viewer] Outcome, Text (the description)
	Over                   // [viewer] a session that stood was released: Cause
	Moved                  // [viewer] it was moved
	Left                   // [viewer] it gave the set-up up
	Unreadable             // [viewer] what came can't be read: Text
	Dropped                // [viewer] its connection ended under the set-up
	Sent                   // [relay] Manager wrote a SETUP for Node: Rung
	Withdrawn              // [relay] Manager wrote a TEARDOWN for Node
	Hung                   // [relay] Manager's connection to Node ended, on which the set-up was
	Came                   // [node] a SETUP came whole: Class, Paid, Rung
	Ran                    // [node] the session stands: Text (the description)
	Said                   // [node] a set-up was answered: Cause (the status)
	Ended                  // [node] what stood is over and was said so: Cause
	Cut                    // [node] what stood went down with its node
	Released               // [node] Manager ended what stood
	Up                     // [node] Node started; Cold: it has to warm
	Down                   // [node] Node is gone
	Told                   // [list] the coordinator holds Node's state for Manager: Text
	Running                // [process] Manager serves
	Ending                 // [process] Manager was asked to end
	Stopped                // [process] Manager was killed or stopped, or has ended
	Apart                  // [link] Manager's viewers were cut off from it
	Together               // [link] they no longer are
	Renewing               // [process] a second process is started for Manager
	Renewed                // [process] which says that it is ready
	Replaced               // [process] one of Manager's two processes is gone: Text
	Called                 // [caller] a call to Manager: Text, Node if it names one, Cause (the status; 0: none), Took
	Figured                // [caller] Figures of Process, a process of Manager, after Took
	Fronted                // [front] each 0.1 s: Manager takes viewers (Ready); what viewers hold: Idle, Fresh
	Used                   // [process] what all processes of Manager hold: Files, MB
	TurnedBack             // [viewer] a set-up to Manager was turned back unheard: Text
)

var kindNames = [...]string{"asked", "answered", "over", "moved", "left", "unreadable", "dropped", "sent", "withdrawn", "hung", "came",
	"ran", "said", "ended", "cut", "released", "up", "down", "told", "running", "ending", "stopped", "apart", "together",
	"renewing", "renewed", "replaced", "called", "figured", "fronted", "used", "turned back"}

func (k Kind) String() string { return kindNames[k] }

// Outcome is what a viewer was answered.
type Outcome uint8

const (
	None Outcome = iota
	Served
	Refused
	Failed
)

func (o Outcome) String() string { return [...]string{"none", "served", "refused", "failed"}[o] }

// Event is one thing that was seen to pass.
type Event struct {
	At      time.Time
	Kind    Kind
	Manager string
	Node    string
	ID      string // of the session
	Class   string
	Paid    bool
	Rung    int // -1: none was named
	Cause   int
	Outcome Outcome
	Left    time.Duration
	Cold    bool
	Text    string
	Took    time.Duration // of a call; At is when it was answered
	Figures *Metrics
	Process int  // of those of a manager, counted from 1
	Ready   bool // the front's question was answered yes
	Idle    int  // viewers' connections on which nothing has been open for a while
	Fresh   int  // viewers' connections with a request of the last 2 s
	Files   int  // open descriptors
	MB      float64
}

// String is the event as a line of a path.
func (e *Event) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-10s", e.At.Format("15:04:05.000"), e.Kind)
	for _, part := range [...][2]string{{"manager", e.Manager}, {"node", e.Node}, {"id", e.ID}, {"class", e.Class}, {"", e.Text}} {
		if part[1] != "" {
			b.WriteString(strings.TrimRight(" "+part[0], " ") + " " + part[1])
		}
	}
	if e.Kind == Answered {
		fmt.Fprintf(&b, " %v", e.Outcome)
	}
	if e.Took != 0 {
		fmt.Fprintf(&b, " after %v", e.Took.Round(time.Millisecond))
	}
	if e.Kind == Fronted {
		fmt.Fprintf(&b, " ready %v, %d idle, %d fresh", e.Ready, e.Idle, e.Fresh)
	}
	if e.Cause != 0 {
		fmt.Fprintf(&b, " cause %d", e.Cause)
	}
	return b.String()
}

// Record collects what all parties see. Its events are in the order of their times.
type Record struct {
	mu      sync.Mutex
	events  []Event
	changed chan struct{}
}

// NewRecord returns an empty Record.
func NewRecord() *Record { return &Record{changed: make(chan struct{})} }

// Add notes an event; without a time it is now.
func (r *Record) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.At.IsZero() {
		e.At = time.Now()
	}
	r.events = append(r.events, e)
	close(r.changed)
	r.changed = make(chan struct{})
}

// Events returns what has been noted so far, by time.
func (r *Record) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := slices.Clone(r.events)
	slices.SortStableFunc(all, func(a, b Event) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	return all
}

// Count tells how many events fit.
func (r *Record) Count(fits func(*Event) bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for i := range r.events {
		if fits(&r.events[i]) {
			n++
		}
	}
	return n
}

// Summary counts what passed.
func (r *Record) Summary() string {
	n := map[string]int{}
	for _, e := range r.Events() {
		what := e.Kind.String()
		if e.Kind == Answered {
			what = e.Outcome.String()
		}
		n[what]++
	}
	var b strings.Builder
	for _, k := range sortedKeys(n) {
		fmt.Fprintf(&b, "%s %d, ", k, n[k])
	}
	return strings.TrimSuffix(b.String(), ", ")
}

// next is closed at the next event.
func (r *Record) next() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Path is what happened to one session, a line each.
func Path(events []Event, id string) string {
	var b strings.Builder
	for i := range events {
		if events[i].ID == id {
			b.WriteString("    " + events[i].String() + "\n")
		}
	}
	return b.String()
}
