// Package control decides which video server a viewer's session plays from and
// at which rung of the rate ladder. This file is its whole interface; every
// decision is in control.go.
package control

// A Server names a video server. The number is opaque: it is only compared,
// hashed and sent back.
type Server uint64

// A SessionID names one try of one viewer. It is never used again.
type SessionID uint64

// Effect says what happens when a session is set up twice.
type Effect int

const (
	Idempotent   Effect = iota // may be set up again without harm
	Deduplicated               // recognised at some servers for a while; taken as AtMostOnce
	AtMostOnce                 // must never be set up twice
)

// Class is one class of session.
type Class struct {
	Effect Effect
	GoalS  float64 // wanted playing within this time
	Worth  float64 // worth of a second at a rung of worth 1
	Floor  int     // lowest rung that may play
	Top    int     // highest rung of the class
	Scale  float64 // its rates over those of the ladder
	Seats  int     // sessions of one title that a front may hold; 0: no cap
}

// Feed says how servers report their load.
type Feed int

const (
	FeedNone    Feed = iota
	FeedAnswers      // in outcomes and probe results
	FeedProbe        // in probe results alone
)

// Weigh says what the weights in the server list mean.
type Weigh int

const (
	WeighNone Weigh = iota // all 1
	WeighSize              // the size, as registered or roughly
	WeighLive              // the size divided by what is held; varies
)

// Settings are the figures a front is told when it starts.
type Settings struct {
	Classes []Class
	Quotas  []float64 // sessions a second within each tenant's share, over all fronts
	Fronts  int       // how many there are
	Zone    int

	RatesKB     []float64 // the ladder, kB a second
	LadderWorth []float64 // what each rung earns
	KindStreams []int     // streams that each machine kind runs at most
	Cells       int
	Racks       int
	FleetKB     float64 // all links together at the start
	LinkKB      float64 // link for each unit of weight, kB a second; rough
	RackKB      float64 // mean uplink of a rack; racks differ; 0: not told
	Guard       float64 // a server refuses as full at this use of its link; 0: never
	SeeS        float64 // how late notes are
	SwitchS     float64 // a rung change costs so many seconds of worth

	Weights   Weigh
	Feed      Feed
	Fields    []string // names of the values in a load report
	Subscribe bool     // the list must be asked for
	Probes    bool

	AttemptsCap   int
	CrossZoneCost float64
	ProbeCost     float64 // of a probe for each session, in parts of a session's worth
	HandshakeCost float64 // likewise, of a connection

	FallMultiple  float64
	StartCapacity float64
	WarmAfterS    float64
	BudgetWindowS float64 // 0: further attempts are not rationed
	BudgetFree    float64
	BudgetShare   float64
}

// State is what the server list says of a server.
type State int

const (
	Draining State = iota
	Ready
	Gone
)

// Entry is one line of the server list.
type Entry struct {
	Server Server
	State  State
	Cell   int
	Zone   int
	Kind   int
	SinceS float64 // clock time of the last start; 0: long ago
	Back   bool    // an operator put it back by hand just now, at this front
	Weight float64
}

// ListKind says how a list is to be applied.
type ListKind int

const (
	ListFull ListKind = iota
	ListCached
	ListDelta
	ListFailed
)

// Status is how an attempt ended.
type Status int

const (
	OK            Status = 0
	Moot          Status = 249 // not sent
	Cancelled     Status = 250
	Reset         Status = 251 // the connection broke
	ConnectFailed Status = 252
	TimedOut      Status = 253
	Full          Status = 254 // rejected unseen
	Errored       Status = 255
)

// NoteKind is the kind of a note on a session.
type NoteKind int

const (
	NoteShare  NoteKind = 1 // share of their rates that sessions there got
	NoteRung   NoteKind = 2 // the rung in force
	NoteLink   NoteKind = 3 // what is asked of the link over what it gives
	NoteUplink NoteKind = 4 // the same of the rack's uplink
)

// EventKind says which fields of an Event are set.
type EventKind int

const (
	EvList    EventKind = iota // List, Entries
	EvArrive                   // a session to be set up
	EvOpen                     // a session under way at the start
	EvFirst                    // the viewer watches
	EvEnd                      // an attempt ended
	EvAborted                  // the viewer left, or the answer is overdue
	EvTimer                    // Token
	EvProbed                   // Server, Status, Load
	EvNote                     // Note, Value
	EvHold                     // Hold
	EvRation                   // Ration
)

// Event is one thing that a front is told.
type Event struct {
	Kind     EventKind
	Session  SessionID
	Class    int
	Tenant   int
	Title    uint64
	LeftS    float64 // time until the viewer gives up on this try
	HintS    float64 // expected length; 0: no hint
	Home     int     // first cell that holds the title
	Span     int     // how many cells hold it
	MaxRung  float64 // highest rung that the viewer can use
	Rung     int     // EvOpen: the rung in force, if it is above the class's floor
	Server   Server
	Attempt  int
	Status   Status
	Confined bool // Reset: the server is known to be there still
	Down     bool // Reset, ConnectFailed: no process listens at the server's address
	Finished bool
	Load     []float64 // in the order of Settings.Fields
	Note     NoteKind
	Value    float64
	Token    uint32
	List     ListKind
	Entries  []Entry
	Own      bool      // of an announced peak, for which room is held
	Hold     []float64 // by class, the part of each server's slots held for its Own sessions
	Ration   *Ration   // nil: none any more
}

// ActionKind says which fields of an Action are set.
type ActionKind int

const (
	ActHandOff ActionKind = iota // Session, Server, PatienceS
	ActRung                      // Session, Rung
	ActDeny                      // Session, WaitS
	ActFail                      // Session
	ActWake                      // DelayS, Token
	ActProbe                     // Server
	ActWatch                     // subscribe to list changes
	ActRemark                    // Text
	ActMove                      // Session: it ends here, and its viewer comes again
)

// Action is one thing that a front does.
type Action struct {
	Kind      ActionKind
	Session   SessionID
	Server    Server
	Rung      int
	PatienceS float64 // 0: until the viewer gives up
	DelayS    float64
	WaitS     float64 // ActDeny: how long the viewer should stay away; 0: no advice
	Token     uint32
	Text      string
}
