package broker

import (
	"time"

	"millethinge/control"
	"millethinge/internal/route"
)

// Causes of replies and releases. Refusals say that trying again is harmless;
// other causes don't.
const (
	CauseEnded       = 16 // the session has come to its end
	CauseCancelled   = 31 // moved, or ended by its viewer
	CauseRefused     = 42
	CauseInterrupted = 41 // the session was cut
	CauseFailed      = 38 // the set-up failed, or may have run
)

// Request is a session to be set up, as a front read it. What it refers to is
// its own, not a slice of a read buffer.
type Request struct {
	ID    control.SessionID
	Class int
	Team  int // position behind the platform's tenants; -1: none
	// Named is what the viewer named itself, before rules gave it something else.
	Requested  struct{ Class, Team int }
	Route      route.Result // by which rule, with its budget key and labels
	Key        string       // the title as the viewer wrote it
	Title      uint64
	Home       int
	Copies     int
	MaxRung    float64
	Repeated   bool          // its viewer has asked before, for this or for what was broken off
	TimeLeft   time.Duration // from Came
	ReceivedAt time.Time     // when its last byte was read

	PlayingOn   control.ServerID // set: it plays there already; no answer is owed
	Description []byte
	Client      Client
	// Grace is how long a session outlives its client's connection. With 0 a
	// lost connection gives its open set-ups up and ends nothing that stands.
	Grace time.Duration
}

// ViewerEnd tells that a viewer has given a set-up up or ends a session.
type ViewerEnd struct {
	ID     control.SessionID
	Cause  int
	Client Client // who says so, and has nothing open under that id by now unless it has asked anew
}

// ReplyKind says what a Reply tells a viewer.
type ReplyKind uint8

const (
	ReplyServed    ReplyKind = iota // it stands, by Description
	ReplyRefused                    // trying again, after Wait, is harmless
	ReplyFailed                     // it may have run
	ReplyEnded                      // a session that stood is over
	ReplyMoved                      // a session that stood ends here; come again
	ReplyAbandoned                  // no answer is owed any more: not for the viewer's eyes
	ReplyClosed                     // a session that stood has ended and its viewer knows: likewise
)

// Reply is one message to a viewer.
type Reply struct {
	Kind        ReplyKind
	ID          control.SessionID
	Cause       int
	RetryAfter  time.Duration
	Reason      string // of a refusal or a failure, for people; may be empty
	Description []byte
}

// Client carries replies to a viewer. Its methods never wait and may be called by any
// goroutine.
type Client interface {
	// Deliver returns false if the reply can't reach the viewer any more.
	Deliver(Reply) bool
	// Gone tells whether the client has closed or has cancelled its request of that id, or
	// may have, since it can't be heard for now. It knows of all that before the broker
	// does, whose mailbox the first two take their turn in.
	Gone(control.SessionID) bool
}

// Attempt is one set-up at one media node.
type Attempt struct {
	ID          control.SessionID
	Number      int // from 1
	Class       int
	Key         string
	Rung        int
	Deadline    time.Time
	Description []byte
	Client      Client // nothing is begun for one that has gone
}

// Nodes are the media nodes. No call waits; what comes of it is told to the
// broker by Report.
type Nodes interface {
	// SetUp sends an attempt. False: the list names no such node.
	SetUp(control.ServerID, Attempt) bool
	// GiveUp ends an attempt that is out: an Ended report follows once its
	// TEARDOWN is written or it is certain that none is needed.
	Abandon(server control.ServerID, id control.SessionID, number int, timedOut bool)
	// Stands names a session that plays at a node since before the start.
	AddEstablished(control.ServerID, control.SessionID) bool
	Release(server control.ServerID, id control.SessionID, cause int)
	SetRung(server control.ServerID, id control.SessionID, rung int)
	Probe(control.ServerID)
}

// ReportKind says what a Report is.
type ReportKind uint8

const (
	ReportStarted ReportKind = iota // the session stands, by Description
	ReportEnded                     // the attempt, or the session that stood, has ended
	ReportProbed                    // Status, Load
	ReportNote                      // Note, Value
)

// Report is what a media node tells.
type Report struct {
	Kind           ReportKind
	Server         control.ServerID
	ID             control.SessionID
	AttemptNumber  int // of the attempt; 0: whichever
	Status         control.Status
	Cause          int  // of a release by the node
	ConnectionOnly bool // Reset: only the connection broke, the node is there
	Down           bool // Reset, ConnectFailed: no process listens at the node's address
	Load           []float64
	Note           control.NoteKind
	Value          float64
	Description    []byte
}

// ListUpdate is a change to the list of media nodes.
type ListUpdate struct {
	Entries []control.Entry
}
