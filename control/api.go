// Package control decides which video server a viewer's session plays from and
// at which rung of the rate ladder. This file is its whole interface; every
// decision is in control.go.
package control

// A ServerID names a video server. The number is opaque: it is only compared,
// hashed and sent back.
type ServerID uint64

// A SessionID names one try of one viewer. It is never used again.
type SessionID uint64

// RepeatEffect says what happens when a session is set up twice.
type RepeatEffect int

const (
	Idempotent   RepeatEffect = iota // may be set up again without harm
	Deduplicated                     // recognised at some servers for a while; taken as AtMostOnce
	AtMostOnce                       // must never be set up twice
)

// Class is one class of session.
type Class struct {
	RepeatEffect RepeatEffect
	StartGoalS   float64 // wanted playing within this time
	Worth        float64 // worth of a second at a rung of worth 1
	FloorRung    int     // lowest rung that may play
	TopRung      int     // highest rung of the class
	RateScale    float64 // its rates over those of the ladder
	MaxPerTitle  int     // sessions of one title that a front may hold; 0: no cap
}

// LoadReporting says how servers report their load.
type LoadReporting int

const (
	LoadReportsNone      LoadReporting = iota
	LoadReportsInAnswers               // in outcomes and probe results
	LoadReportsInProbes                // in probe results alone
)

// WeightMeaning says what the weights in the server list mean.
type WeightMeaning int

const (
	WeightNone        WeightMeaning = iota // all 1
	WeightSize                             // the size, as registered or roughly
	WeightSizePerLoad                      // the size divided by what is held; varies
)

// Settings are the figures a front is told when it starts.
type Settings struct {
	Classes      []Class
	TenantQuotas []float64 // sessions a second within each tenant's share, over all fronts
	Managers     int       // how many there are
	Zone         int

	RatesKB           []float64 // the ladder, kB a second
	LadderWorth       []float64 // what each rung earns
	MaxStreamsByKind  []int     // streams that each machine kind runs at most
	Cells             int
	Racks             int
	FleetLinkKB       float64 // all links together at the start
	LinkKBPerWeight   float64 // link for each unit of weight, kB a second; rough
	RackUplinkKB      float64 // mean uplink of a rack; racks differ; 0: not told
	FullAtUtilization float64 // a server refuses as full at this use of its link; 0: never
	NoteDelayS        float64 // how late notes are
	RungChangeCostS   float64 // a rung change costs so many seconds of worth

	Weights         WeightMeaning
	LoadReporting   LoadReporting
	LoadFields      []string // names of the values in a load report
	SubscribeToList bool     // the list must be asked for
	ProbesAllowed   bool

	AttemptsCap   int
	CrossZoneCost float64
	ProbeCost     float64 // of a probe for each session, in parts of a session's worth
	HandshakeCost float64 // likewise, of a connection

	ColdSetupMultiple  float64
	StartCapacityShare float64
	WarmAfterS         float64
	BudgetWindowS      float64 // 0: further attempts are not rationed
	BudgetFree         float64
	BudgetShare        float64
}

// ServerState is what the server list says of a server.
type ServerState int

const (
	Draining ServerState = iota
	Ready
	Gone
)

// Entry is one line of the server list.
type Entry struct {
	Server      ServerID
	State       ServerState
	Cell        int
	Zone        int
	MachineKind int
	StartedAtS  float64 // clock time of the last start; 0: long ago
	Reenabled   bool    // an operator put it back by hand just now, at this front
	Weight      float64
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
	OK              Status = 0
	NotSent         Status = 249 // not sent
	Cancelled       Status = 250
	ConnectionReset Status = 251 // the connection broke
	ConnectFailed   Status = 252
	TimedOut        Status = 253
	Full            Status = 254 // rejected unseen
	Errored         Status = 255
)

// NoteKind is the kind of a note on a session.
type NoteKind int

const (
	NoteDeliveredShare    NoteKind = 1 // share of their rates that sessions there got
	NoteRung              NoteKind = 2 // the rung in force
	NoteLinkUtilization   NoteKind = 3 // what is asked of the link over what it gives
	NoteUplinkUtilization NoteKind = 4 // the same of the rack's uplink
)

// EventKind says which fields of an Event are set.
type EventKind int

const (
	EventList         EventKind = iota // List, Entries
	EventArrival                       // a session to be set up
	EventEstablished                   // a session under way at the start
	EventStarted                       // the viewer watches
	EventAttemptEnded                  // an attempt ended
	EventAbandoned                     // the viewer left, or the answer is overdue
	EventTimer                         // Token
	EventProbeResult                   // Server, Status, Load
	EventNote                          // Note, Value
	EventHold                          // Hold
	EventRation                        // Ration
)

// Event is one thing that a front is told.
type Event struct {
	Kind            EventKind
	Session         SessionID
	Class           int
	Tenant          int
	Title           uint64
	TimeLeftS       float64 // time until the viewer gives up on this try
	ExpectedLengthS float64 // expected length; 0: no hint
	HomeCell        int     // first cell that holds the title
	Copies          int     // how many cells hold it
	MaxRung         float64 // highest rung that the viewer can use
	Rung            int     // EvOpen: the rung in force, if it is above the class's floor
	Server          ServerID
	Attempt         int
	Status          Status
	ConnectionOnly  bool // Reset: the server is known to be there still
	ProcessDown     bool // Reset, ConnectFailed: no process listens at the server's address
	RequestFinished bool
	Load            []float64 // in the order of Settings.Fields
	Note            NoteKind
	Value           float64
	Token           uint32
	List            ListKind
	Entries         []Entry
	InPeak          bool      // of an announced peak, for which room is held
	HeldShares      []float64 // by class, the part of each server's slots held for its Own sessions
	Ration          *Ration   // nil: none any more
}

// ActionKind says which fields of an Action are set.
type ActionKind int

const (
	ActionSetUp     ActionKind = iota // Session, Server, PatienceS
	ActionSetRung                     // Session, Rung
	ActionRefuse                      // Session, WaitS
	ActionFail                        // Session
	ActionSetTimer                    // DelayS, Token
	ActionProbe                       // Server
	ActionSubscribe                   // subscribe to list changes
	ActionRemark                      // Text
	ActionMove                        // Session: it ends here, and its viewer comes again
)

// Action is one thing that a front does.
type Action struct {
	Kind          ActionKind
	Session       SessionID
	Server        ServerID
	Rung          int
	SetupTimeoutS float64 // 0: until the viewer gives up
	DelayS        float64
	RetryAfterS   float64 // ActDeny: how long the viewer should stay away; 0: no advice
	Token         uint32
	Text          string
}
