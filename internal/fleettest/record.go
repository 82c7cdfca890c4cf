package fleettest

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// EventKind is the kind of an Event. The comments of the constants name in brackets which
// party records it, and after the colon which fields it sets beside the parties.
type EventKind uint8

// The kinds of events.
const (
	SetUpRequested       EventKind = iota // [viewer] a complete set-up request was written to Manager: Class, Billed, TimeLeft
	Answered                              // [viewer] a set-up request was answered: Outcome, Cause, Text (the description)
	ReleaseReceived                       // [viewer] an established session was released: Cause
	MoveReceived                          // [viewer] an established session was moved
	SetUpAbandoned                        // [viewer] the viewer abandoned the set-up
	MalformedMessage                      // [viewer] a message could not be parsed: Text
	ViewerConnClosed                      // [viewer] the connection closed while the set-up was open
	SetUpSent                             // [relay] Manager wrote a SETUP for Node: Class, Rung
	TeardownSent                          // [relay] Manager wrote a TEARDOWN for Node
	NodeConnClosed                        // [relay] the connection from Manager to Node that carried the set-up closed
	SetUpReceived                         // [node] a complete SETUP arrived: Class, Billed, Rung
	SessionEstablished                    // [node] the session is established: Text (the description)
	SetUpAnswered                         // [node] a SETUP was answered: Cause (the status)
	SessionEnded                          // [node] the node ended an established session and reported that: Cause
	SessionLost                           // [node] an established session was lost with its node
	SessionTornDown                       // [node] Manager tore down an established session
	NodeStarted                           // [node] Node started: Cold (it has to warm up)
	NodeStopped                           // [node] Node stopped
	ListUpdated                           // [list] the coordinator set the phase of Node for Manager: Text (the phase)
	ManagerServing                        // [process] Manager is serving: Text (empty after a fresh start)
	ManagerStopRequested                  // [process] Manager was asked to stop
	ManagerStopped                        // [process] Manager was killed or paused, or has exited: Text
	ViewersCut                            // [link] the viewers of Manager were cut off from it
	ViewersHealed                         // [link] the viewers of Manager can reach it again
	UpgradeStarted                        // [process] a successor is started for Manager
	SuccessorReady                        // [process] the successor reports that it is ready
	ProcessReplaced                       // [process] one of two processes of Manager has exited: Text
	OperatorCalled                        // [caller] a call to Manager was made: Text, Node if it names one, Cause (the status; 0: no answer), Elapsed
	MetricsRead                           // [caller] the metrics of one process of Manager were read: Figures, Process, Elapsed
	FrontSampled                          // [front] every 0.1 s: Ready, IdleConns, RecentConns
	ResourcesSampled                      // [process] resource use of all processes of Manager: Descriptors, MemoryMB
	RequestTurnedBack                     // [viewer] Manager closed or refused the connection before it read the set-up request: Text
)

var eventKindNames = [...]string{"asked", "answered", "over", "moved", "abandoned", "malformed message", "connection closed", "sent", "teardown sent",
	"node connection closed", "came", "established", "node answered", "ended", "session lost", "torn down", "node started", "node stopped",
	"list updated", "serving", "stop requested", "stopped", "viewers cut", "viewers healed", "upgrade started", "successor ready",
	"process replaced", "operator called", "metrics read", "front sampled", "resources sampled", "turned back"}

// String returns the name of k in traces and summaries.
func (k EventKind) String() string { return eventKindNames[k] }

// Outcome is the kind of answer that a viewer received.
type Outcome uint8

// The outcomes of a set-up request.
const (
	NoAnswer Outcome = iota
	Served
	Refused
	Failed
)

// String returns the name of o in traces and summaries.
func (o Outcome) String() string { return [...]string{"none", "served", "refused", "failed"}[o] }

// Event is one recorded event. Which fields are set depends on its Kind.
type Event struct {
	At          time.Time
	Kind        EventKind
	Manager     string
	Node        string
	ID          string // session ID
	Class       string
	Billed      bool
	Rung        int // -1: the message named none
	Cause       int
	Outcome     Outcome
	TimeLeft    time.Duration // that the viewer allows for the answer
	Cold        bool
	Text        string
	Elapsed     time.Duration // of a call; At is when it was answered
	Figures     *Metrics
	Process     int  // number of the process among those of its manager, counted from 1
	Ready       bool // the manager answered that it is ready for new viewers
	IdleConns   int  // viewer connections on which nothing has been open for a while
	RecentConns int  // viewer connections with a request in the last 2 s
	Descriptors int  // open file descriptors
	MemoryMB    float64
}

// String formats the event as one line of a trace.
func (e *Event) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-22s", e.At.Format("15:04:05.000"), e.Kind)
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
		fmt.Fprintf(&b, " ready %v, %d idle, %d recent", e.Ready, e.IdleConns, e.RecentConns)
	}
	if e.Cause != 0 {
		fmt.Fprintf(&b, " cause %d", e.Cause)
	}
	return b.String()
}

// Record collects the events that all parties observe.
type Record struct {
	mu      sync.Mutex
	events  []Event
	changed chan struct{}
}

// NewRecord returns an empty Record.
func NewRecord() *Record { return &Record{changed: make(chan struct{})} }

// Add appends an event. If it has no time, the current time is set.
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

// Events returns the events recorded so far, sorted by time.
func (r *Record) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := slices.Clone(r.events)
	slices.SortStableFunc(all, func(a, b Event) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	return all
}

// Count returns the number of events for which matches returns true.
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

// Summary returns the number of events of each kind, and of answers of each outcome.
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

// nextEvent returns a channel that is closed when the next event is added.
func (r *Record) nextEvent() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// SessionTrace returns the events of one session, one per line.
func SessionTrace(events []Event, id string) string {
	var b strings.Builder
	for i := range events {
		if events[i].ID == id {
			b.WriteString("    " + events[i].String() + "\n")
		}
	}
	return b.String()
}
