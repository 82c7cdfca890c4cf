package fleettest

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// EventKind says what an Event is. Who records it is in brackets.
type EventKind uint8

const (
	SetUpRequested       EventKind = iota // [viewer] a set-up was written whole to Manager: Class, Paid, Left
	Answered                              // [viewer] Outcome, Text (the description)
	ReleaseReceived                       // [viewer] a session that stood was released: Cause
	MoveReceived                          // [viewer] it was moved
	SetUpAbandoned                        // [viewer] it gave the set-up up
	MalformedMessage                      // [viewer] what came can't be read: Text
	ViewerConnClosed                      // [viewer] its connection ended under the set-up
	SetUpSent                             // [relay] Manager wrote a SETUP for Node: Rung
	TeardownSent                          // [relay] Manager wrote a TEARDOWN for Node
	NodeConnClosed                        // [relay] Manager's connection to Node ended, on which the set-up was
	SetUpReceived                         // [node] a SETUP came whole: Class, Paid, Rung
	SessionEstablished                    // [node] the session stands: Text (the description)
	SetUpAnswered                         // [node] a set-up was answered: Cause (the status)
	SessionEnded                          // [node] what stood is over and was said so: Cause
	SessionLost                           // [node] what stood went down with its node
	SessionTornDown                       // [node] Manager ended what stood
	NodeStarted                           // [node] Node started; Cold: it has to warm
	NodeStopped                           // [node] Node is gone
	ListUpdated                           // [list] the coordinator holds Node's state for Manager: Text
	ManagerServing                        // [process] Manager serves
	ManagerStopRequested                  // [process] Manager was asked to end
	ManagerStopped                        // [process] Manager was killed or stopped, or has ended
	ViewersCut                            // [link] Manager's viewers were cut off from it
	ViewersHealed                         // [link] they no longer are
	UpgradeStarted                        // [process] a second process is started for Manager
	SuccessorReady                        // [process] which says that it is ready
	ProcessReplaced                       // [process] one of Manager's two processes is gone: Text
	OperatorCalled                        // [caller] a call to Manager: Text, Node if it names one, Cause (the status; 0: none), Took
	MetricsRead                           // [caller] Figures of Process, a process of Manager, after Took
	FrontSampled                          // [front] each 0.1 s: Manager takes viewers (Ready); what viewers hold: Idle, Fresh
	ResourcesSampled                      // [process] what all processes of Manager hold: Files, MB
	RequestTurnedBack                     // [viewer] a set-up to Manager was turned back unheard: Text
)

var eventKindNames = [...]string{"asked", "answered", "over", "moved", "left", "unreadable", "dropped", "sent", "withdrawn", "hung", "came",
	"ran", "said", "ended", "cut", "released", "up", "down", "told", "running", "ending", "stopped", "apart", "together",
	"renewing", "renewed", "replaced", "called", "figured", "fronted", "used", "turned back"}

func (k EventKind) String() string { return eventKindNames[k] }

// Outcome is what a viewer was answered.
type Outcome uint8

const (
	NoAnswer Outcome = iota
	Served
	Refused
	Failed
)

func (o Outcome) String() string { return [...]string{"none", "served", "refused", "failed"}[o] }

// Event is one thing that was seen to pass.
type Event struct {
	At          time.Time
	Kind        EventKind
	Manager     string
	Node        string
	ID          string // of the session
	Class       string
	Billed      bool
	Rung        int // -1: none was named
	Cause       int
	Outcome     Outcome
	TimeLeft    time.Duration
	Cold        bool
	Text        string
	Elapsed     time.Duration // of a call; At is when it was answered
	Figures     *Metrics
	Process     int  // of those of a manager, counted from 1
	Ready       bool // the front's question was answered yes
	IdleConns   int  // viewers' connections on which nothing has been open for a while
	RecentConns int  // viewers' connections with a request of the last 2 s
	Descriptors int  // open descriptors
	MemoryMB    float64
}

// String is the event as a line of a path.
func (e *Event) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-10s", e.At.Format("15:04:05.000"), e.Kind)
	for _, labelled := range [...][2]string{{"manager", e.Manager}, {"node", e.Node}, {"id", e.ID}, {"class", e.Class}, {"", e.Text}} {
		if labelled[1] != "" {
			b.WriteString(strings.TrimRight(" "+labelled[0], " ") + " " + labelled[1])
		}
	}
	if e.Kind == Answered {
		fmt.Fprintf(&b, " %v", e.Outcome)
	}
	if e.Elapsed != 0 {
		fmt.Fprintf(&b, " after %v", e.Elapsed.Round(time.Millisecond))
	}
	if e.Kind == FrontSampled {
		fmt.Fprintf(&b, " ready %v, %d idle, %d fresh", e.Ready, e.IdleConns, e.RecentConns)
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
func (r *Record) Count(matches func(*Event) bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for i := range r.events {
		if matches(&r.events[i]) {
			n++
		}
	}
	return n
}

// Summary counts what passed.
func (r *Record) Summary() string {
	counts := map[string]int{}
	for _, e := range r.Events() {
		name := e.Kind.String()
		if e.Kind == Answered {
			name = e.Outcome.String()
		}
		counts[name]++
	}
	var b strings.Builder
	for _, name := range sortedKeys(counts) {
		fmt.Fprintf(&b, "%s %d, ", name, counts[name])
	}
	return strings.TrimSuffix(b.String(), ", ")
}

// nextEvent is closed at the next event.
func (r *Record) nextEvent() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// SessionTrace is what happened to one session, a line each.
func SessionTrace(events []Event, id string) string {
	var b strings.Builder
	for i := range events {
		if events[i].ID == id {
			b.WriteString("    " + events[i].String() + "\n")
		}
	}
	return b.String()
}
