// Package control decides which media node, here called server, a viewer's session
// plays from, and at which rung of the rate ladder. This file and ration.go hold its
// interface; the decisions are in control.go.
package control

// ServerID identifies a media server. The number is opaque: it is only compared,
// hashed and returned in actions.
type ServerID uint64

// SessionID identifies one request of one viewer for a session. It is never reused.
type SessionID uint64

// RepeatEffect says what happens when a session is set up twice.
type RepeatEffect int

// Effects of a repeated set-up.
const (
	Idempotent   RepeatEffect = iota // may be set up again without harm
	Deduplicated                     // some servers recognise a repetition for a while; treated as AtMostOnce
	AtMostOnce                       // must never be set up twice
)

// Class describes one class of session.
type Class struct {
	RepeatEffect RepeatEffect
	StartGoalS   float64 // time from arrival within which the session should play
	Worth        float64 // worth of a second of play at a rung of worth 1
	FloorRung    int     // lowest rung at which a session may play
	TopRung      int     // highest rung of the class
	RateScale    float64 // rates of the class as a multiple of the ladder's
	MaxPerTitle  int     // sessions of one title that a manager may hold; 0: no limit
}

// LoadReporting says which messages carry load reports of servers.
type LoadReporting int

// Messages that carry load reports.
const (
	LoadReportsNone      LoadReporting = iota
	LoadReportsInAnswers               // the ends of attempts and the results of probes
	LoadReportsInProbes                // the results of probes only
)

// WeightMeaning says what the weights in the server list mean.
type WeightMeaning int

// Meanings of a weight.
const (
	WeightNone        WeightMeaning = iota // nothing: all weights are 1
	WeightSize                             // the server's size, as registered or roughly
	WeightSizePerLoad                      // the size divided by the load; it varies
)

// Settings are the figures with which a manager starts. A rate with the suffix KB is
// in kB a second.
type Settings struct {
	Classes      []Class
	TenantQuotas []float64 // by tenant, sessions a second within its quota, over all managers
	Managers     int       // how many managers there are
	Zone         int       // zone of this manager

	RatesKB           []float64 // rate of each rung of the ladder
	LadderWorth       []float64 // worth of each rung
	MaxStreamsByKind  []int     // most streams that a server of each machine kind runs
	Cells             int       // how many cells there are; the servers of a cell hold the same titles
	Racks             int       // how many racks there are; the servers of cell i are in rack i modulo Racks
	FleetLinkKB       float64   // sum of all servers' links at the start
	LinkKBPerWeight   float64   // link of a server for each unit of its weight; approximate
	RackUplinkKB      float64   // mean uplink of a rack; racks differ; 0: unknown
	FullAtUtilization float64   // link utilization at which a server refuses as full; 0: it never does
	NoteDelayS        float64   // age of a note on arrival
	RungChangeCostS   float64   // cost of a rung change, in seconds of the session's worth

	Weights         WeightMeaning
	LoadReporting   LoadReporting
	LoadFields      []string // names of the values in a load report
	SubscribeToList bool     // the server list has to be requested
	ProbesAllowed   bool

	AttemptsCap   int     // most attempts for one session
	CrossZoneCost float64 // cost of a set-up in another zone, added to the utilization of its server
	ProbeCost     float64 // cost of one probe for each session, as a part of a session's worth
	HandshakeCost float64 // cost of one new connection for each session, as a part of a session's worth

	// A server may fail if it gets too many set-ups just after its start. Over the
	// first WarmAfterS, all managers together may send it ColdSetupMultiple set-ups for
	// each stream that it has warmed up for.
	ColdSetupMultiple  float64
	StartCapacityShare float64 // share of its capacity that a server has at its start
	WarmAfterS         float64 // time from its start after which a server has all its capacity

	// In any BudgetWindowS, further attempts may number up to BudgetFree, plus
	// BudgetShare of the arrivals in it.
	BudgetWindowS float64 // 0: further attempts are not limited
	BudgetFree    float64
	BudgetShare   float64
}

// ServerState is what the server list says of a server.
type ServerState int

// States of a server.
const (
	Draining ServerState = iota // its sessions play on; it gets no new ones
	Ready
	Gone
)

// Entry is one server of the server list.
type Entry struct {
	Server      ServerID
	State       ServerState
	Cell        int
	Zone        int
	MachineKind int     // index in Settings.MaxStreamsByKind
	StartedAtS  float64 // clock time of the last start; 0: long ago
	Reenabled   bool    // an operator has just enabled it again, at this manager
	Weight      float64 // see Settings.Weights
}

// ListKind says how a list is to be applied.
type ListKind int

// Kinds of server lists.
const (
	ListFull   ListKind = iota // all servers; those that it lacks are gone
	ListCached                 // as ListFull, from a cache that may be out of date
	ListDelta                  // the servers that changed
	ListFailed                 // the request for the list failed
)

// Status is how an attempt or a probe ended.
type Status int

// Outcomes of an attempt or a probe. The values are those of the simulator's wire.
const (
	OK              Status = 0
	NotSent         Status = 249 // the server has received nothing of it
	Cancelled       Status = 250
	ConnectionReset Status = 251
	ConnectFailed   Status = 252
	TimedOut        Status = 253
	Full            Status = 254 // the server refused as full, without running it
	Errored         Status = 255
)

// NoteKind says what the value of a note on a session is.
type NoteKind int

// Kinds of notes.
const (
	NoteDeliveredShare    NoteKind = 1 // the share of their rates that the server's sessions got
	NoteRung              NoteKind = 2 // the rung in force
	NoteLinkUtilization   NoteKind = 3 // demand on the server's link, divided by the link's rate
	NoteUplinkUtilization NoteKind = 4 // demand on the rack's uplink, divided by the uplink's rate
)

// EventKind says what an Event tells, and which of its fields are set.
type EventKind int

// Kinds of events, with the fields that are set.
const (
	EventList         EventKind = iota // the server list: List, Entries
	EventArrival                       // a session is to be set up
	EventEstablished                   // a session was already established when the manager started
	EventStarted                       // a set-up has succeeded and the session plays
	EventAttemptEnded                  // an attempt, or the session that it established, has ended
	EventAbandoned                     // the viewer left, or the answer is overdue
	EventTimer                         // a timer has fired: Token
	EventProbeResult                   // Server, Status, Load
	EventNote                          // Note, Value
	EventHold                          // HeldShares
	EventRation                        // Ration
)

// Event is one thing that a manager is told.
type Event struct {
	Kind            EventKind
	Session         SessionID
	Class           int // index in Settings.Classes
	Tenant          int // index in Settings.TenantQuotas
	Title           uint64
	TimeLeftS       float64 // time until the viewer abandons this set-up
	ExpectedLengthS float64 // expected length of the session; 0: unknown
	HomeCell        int     // first of the cells that hold the title
	Copies          int     // how many successive cells hold it
	MaxRung         float64 // highest rung that the viewer can use
	Rung            int     // EventEstablished: the rung in force, if it is above the class's floor
	Server          ServerID
	Attempt         int // number of the attempt, from 0
	Status          Status
	ConnectionOnly  bool      // ConnectionReset: the server is known to be still there
	ProcessDown     bool      // ConnectionReset, ConnectFailed: no process listens at the server's address
	RequestFinished bool      // no further attempt is wanted
	Load            []float64 // in the order of Settings.LoadFields
	Note            NoteKind
	Value           float64 // of the note
	Token           uint32  // of the ActionSetTimer
	List            ListKind
	Entries         []Entry
	InPeak          bool      // the session belongs to an announced peak, for which slots are held
	HeldShares      []float64 // by class, the share of each server's slots held for its InPeak sessions
	Ration          *Ration   // nil: no ration any more
}

// ActionKind says what an Action orders, and which of its fields are set.
type ActionKind int

// Kinds of actions, with the fields that are set.
const (
	ActionSetUp     ActionKind = iota // send a set-up: Session, Server, SetupTimeoutS
	ActionSetRung                     // Session, Rung
	ActionRefuse                      // answer that the set-up was not run and may be repeated: Session, RetryAfterS
	ActionFail                        // answer that the set-up failed and may have run: Session
	ActionSetTimer                    // DelayS, Token
	ActionProbe                       // ask a server for its load: Server
	ActionSubscribe                   // request changes of the server list
	ActionRemark                      // Text
	ActionMove                        // end the session here, for its viewer to request it again: Session
)

// Action is one thing that a manager is to do.
type Action struct {
	Kind          ActionKind
	Session       SessionID
	Server        ServerID
	Rung          int
	SetupTimeoutS float64 // 0: until the viewer abandons the set-up
	DelayS        float64
	RetryAfterS   float64 // how long the refused viewer should stay away; 0: no advice
	Token         uint32  // returned by EventTimer
	Text          string
}
