package broker

import (
	"time"

	"millethinge/control"
	"millethinge/internal/route"
)

// Causes of replies and releases. Only CauseRefused means that the set-up can be
// repeated without harm.
const (
	CauseEnded       = 16 // the session ended normally
	CauseCancelled   = 31 // the session was moved, or ended by its viewer
	CauseRefused     = 42 // the set-up was refused
	CauseInterrupted = 41 // an established session was interrupted
	CauseFailed      = 38 // the set-up failed, or may have run
)

// Request asks for a session to be set up, as a front read it. It owns the memory that
// it refers to: none of its slices shares a front's read buffer.
type Request struct {
	ID    control.SessionID
	Class int
	Team  int // tenant number: the platform's tenants come first, then the operator's teams; -1: none
	// Requested holds the class and team that the viewer named, before the operator's
	// rules were applied.
	Requested  struct{ Class, Team int }
	Route      route.Result // the rule that matched, with its budget key and labels
	Key        string       // the title as the viewer wrote it
	Title      uint64
	Home       int           // first cell that holds the title
	Copies     int           // number of cells that hold the title
	MaxRung    float64       // highest rung that the viewer can use
	Repeated   bool          // the viewer has asked before, for this session or for one that was interrupted
	TimeLeft   time.Duration // how long the viewer waits, counted from ReceivedAt
	ReceivedAt time.Time     // when the last byte was read

	PlayingOn   control.ServerID // the node of a session that is established already, which gets no answer; 0: none
	Description []byte
	Client      Client
	// Grace is how long a session is kept after its client's connection is lost. With 0,
	// the loss abandons the connection's open set-ups and ends no established session.
	Grace time.Duration
}

// ViewerEnd reports that a viewer cancels a set-up or ends an established session.
type ViewerEnd struct {
	ID     control.SessionID
	Cause  int
	Client Client // the sender; it has no open request with this ID any more, unless it has sent a new one
}

// ReplyKind is the kind of a Reply.
type ReplyKind uint8

// Kinds of a Reply. ReplyAbandoned and ReplyClosed only update the front's records and
// are not sent to the viewer.
const (
	ReplyServed    ReplyKind = iota // the session is established, as Description says
	ReplyRefused                    // the set-up can be repeated without harm after RetryAfter
	ReplyFailed                     // the set-up failed, or may have run
	ReplyEnded                      // an established session has ended
	ReplyMoved                      // an established session ends here; the viewer has to request it again
	ReplyAbandoned                  // the request needs no answer on this connection any more
	ReplyClosed                     // an established session has ended and its viewer knows, or another connection has it now
)

// Reply is one message about a request or a session to the client that carries it.
type Reply struct {
	Kind        ReplyKind
	ID          control.SessionID
	Cause       int
	RetryAfter  time.Duration
	Reason      string // why a request was refused or failed, for people; may be empty
	Description []byte
}

// Client carries replies to a viewer. Its methods never block and may be called from any
// goroutine.
type Client interface {
	// Deliver queues a reply, and reports whether it can still reach the viewer.
	Deliver(Reply) bool
	// Gone reports whether the client has closed its connection or has cancelled the
	// request with this ID, or may have done so because its input is not read at the
	// moment. The client knows this earlier than the broker, to which a closed connection
	// and a cancellation are passed through its mailbox.
	Gone(control.SessionID) bool
}

// Attempt is one attempt to set a session up on a media node.
type Attempt struct {
	ID          control.SessionID
	Number      int // from 1
	Class       int
	Key         string
	Rung        int
	Deadline    time.Time
	Description []byte
	Client      Client // no attempt begins once this client has gone
}

// Nodes is the set of media nodes. No method blocks; results are passed to
// Broker.Report.
type Nodes interface {
	// SetUp starts an attempt. It returns false if the node is not on the list.
	SetUp(control.ServerID, Attempt) bool
	// Abandon ends an attempt that is in flight. A ReportEnded follows once its TEARDOWN
	// is written or it is certain that none is needed.
	Abandon(server control.ServerID, id control.SessionID, number int, timedOut bool)
	// AddEstablished adds a session that was established on a node before this process
	// knew of it. It returns false if the node is not on the list.
	AddEstablished(control.ServerID, control.SessionID) bool
	// Release tears an established session down.
	Release(server control.ServerID, id control.SessionID, cause int)
	// SetRung sets the rung at which a session plays.
	SetRung(server control.ServerID, id control.SessionID, rung int)
	// Probe requests a load report from a node. A ReportProbed follows.
	Probe(control.ServerID)
}

// ReportKind is the kind of a Report.
type ReportKind uint8

// Kinds of a Report. The comments name the fields that hold the result.
const (
	ReportStarted ReportKind = iota // the session is established: Description
	ReportEnded                     // the attempt or the established session has ended: Status
	ReportProbed                    // a probe has ended: Status, Load
	ReportNote                      // a note on an established session: Note, Value
)

// Report is an event at a media node that concerns an attempt, a session or a probe.
type Report struct {
	Kind           ReportKind
	Server         control.ServerID
	ID             control.SessionID
	AttemptNumber  int // 0: any attempt
	Status         control.Status
	Cause          int       // why the node released the session; 0: not given
	ConnectionOnly bool      // with control.Reset: only the connection broke, the node can be reached
	Down           bool      // with control.Reset or control.ConnectFailed: no process listens at the node's address
	Load           []float64 // in the order of control.Settings.Fields
	Note           control.NoteKind
	Value          float64
	Description    []byte
}

// ListUpdate is a change to the list of media nodes.
type ListUpdate struct {
	Entries []control.Entry
}
