package media

import (
	"errors"
	"sync/atomic"
	"time"

	"millethinge/control"
	"millethinge/internal/broker"
	"millethinge/internal/directory"
	"millethinge/internal/mailbox"
)

// CSeq values that PROTOCOL assigns to the requests, by kind.
const (
	cseqSetUp    = 1
	cseqTearDown = 2
	cseqProbe    = 3
	cseqOther    = 4
)

const (
	// tickInterval is the period of a node's maintenance.
	tickInterval = 100 * time.Millisecond
	// probeTimeout bounds the wait for a load report: a later one is of little use.
	probeTimeout = 300 * time.Millisecond
	// nodeSilenceTimeout is the silence after which a node with established sessions is
	// checked by a new connection. It also bounds the wait for the answer to a check of a connection.
	nodeSilenceTimeout = 2 * time.Second
	// nodeLostTimeout is the silence after which a node that cannot be dialled is lost.
	nodeLostTimeout = 3 * time.Second
	// redialInterval is the wait after a failed dial, where it is not retried at once.
	redialInterval = time.Second
	// maxImmediateRedials is how many dials in a row may time out and be retried at once.
	maxImmediateRedials = 3
	// lostNodeReleaseTTL is how long the releases of a lost node's sessions wait for a connection.
	lostNodeReleaseTTL = time.Minute
	// releaseTTL is how long any other release waits for a connection.
	releaseTTL = 10 * time.Second
	// maxConnsPerNode bounds the connections to one node. It exceeds how many are opened
	// between two closures of idle ones.
	maxConnsPerNode = 12
	// maxIdleConnsPerNode is how many usable connections are kept even if they are idle.
	maxIdleConnsPerNode = 2
	// idleConnTimeout is the idle time after which connections beyond those are retired.
	idleConnTimeout = 2 * time.Second
	// reusableTenths is the part of ConnIdleTimeout, in tenths, for which an idle connection
	// is used. After that the node may be closing it.
	reusableTenths = 9
	// idleCloseMargin is how much later than ConnIdleTimeout a node may close an idle connection.
	idleCloseMargin = time.Second
	// connSuspectTimeout is the silence since a set-up after which new set-ups use another connection.
	connSuspectTimeout = 200 * time.Millisecond
	// earlyEndTTL is how long an end is kept that arrived before its session was adopted.
	earlyEndTTL = 5 * time.Second
	// endedSetUpTTL is how long a set-up that ended without an answer is remembered, in case one arrives late.
	endedSetUpTTL = 10 * time.Second
)

// errConnLimit reports that no connection may be opened, since the process holds as
// many as its descriptors allow.
var errConnLimit = errors.New("media: connection limit reached")

// node is the actor of one media node.
type node struct {
	pool    *Pool
	member  directory.Member // the latest entry in the list; guarded by pool.mu
	server  control.ServerID
	id      string
	upSince time.Time
	state   atomic.Int32 // the latest control.State in the list
	inbox   *inbox

	conns           []*conn
	dialling        bool                          // a connection is being opened, or waits for a slot
	waitingForSlot  bool                          // a connection is to be opened once a slot is free
	slotWaitSince   time.Time                     // when that wait began
	slotPurpose     dialPurpose                   // what it is for
	offer           atomic.Pointer[evictionOffer] // the connection that may be closed for others; nil: none
	attempts        map[control.SessionID]*attempt
	interrupted     []*attempt                       // set-ups whose connection broke, until a dial shows whether the node is reachable
	endedSetUps     map[control.SessionID]endedSetUp // set-ups that ended without an answer, remembered in case one arrives late
	established     map[control.SessionID]*establishedSession
	earlyEnds       map[control.SessionID]earlyEnd
	pendingReleases map[control.SessionID]pendingRelease // releases that wait for a connection
	pendingProbes   map[uint64]pendingProbe
	queuedProbes    int  // probes that wait for a connection
	setUpsHeld      bool // set-ups wait until the list has been fetched again after a process pause
	// A node repeats the end of a session on the next connection that opens. lossCount counts
	// events, such as broken connections, after which an end may be lost. lossCountAtDial is
	// its value when the dial of the newest connection began, so while lossCountAtDial <
	// lossCount another dial is needed. lossCountAtFirstMessage is its value when
	// awaitingMessage was last cleared. awaitingMessage: the newest connection was dialled
	// after a possible loss, and no message has come since.
	lossCount               int
	lossCountAtDial         int
	lossCountAtFirstMessage int
	awaitingMessage         bool
	lastAliveAt             time.Time // last sign of life: a message or an opened connection
	lastMessageAt           time.Time // zero: none yet
	redialAt                time.Time // earliest time of the next dial by maintain
	connRefused             bool      // the last dial was refused: no process listens at the address
	failedDials             int       // since the last dial that succeeded
	writeBuf                []byte
}

// attempt is a set-up: queued while conn is nil, otherwise sent and not answered yet.
type attempt struct {
	broker.Attempt
	conn   *conn
	sentAt time.Time // when its SETUP was written
}

// establishedSession is a session that is set up and playing.
type establishedSession struct {
	conn             *conn     // the connection of its set-up; nil: closed, or the session was adopted
	withoutConnSince time.Time // when that connection closed; zero: not closed, or the session was adopted
	setUpSentAt      time.Time // when its SETUP was written or it was adopted; tells sessions of successive node processes apart
}

// endedSetUp is a set-up that ended without an answer, remembered until expiresAt in case
// one arrives late.
type endedSetUp struct {
	conn      *conn
	sentAt    time.Time
	expiresAt time.Time
}

// pendingProbe is a probe that was sent and not answered yet.
type pendingProbe struct {
	conn      *conn
	sentAt    time.Time
	expiresAt time.Time // when it counts as timed out
	connCheck bool      // it checks the connection: its result is not reported to the broker
}

// earlyEnd is the end of a session that is not known here, kept until expiresAt.
type earlyEnd struct {
	cause     int
	expiresAt time.Time
}

// pendingRelease is a release that waits for a connection until expiresAt.
type pendingRelease struct {
	cause     int
	expiresAt time.Time
}

// newNode returns the actor of m. Its run method has to be started.
func newNode(p *Pool, m directory.Member) *node {
	return &node{
		pool: p, member: m, server: m.Server, id: m.ID, upSince: m.StartedAt,
		inbox:           mailbox.New[any](inboxLimit),
		attempts:        make(map[control.SessionID]*attempt),
		endedSetUps:     make(map[control.SessionID]endedSetUp),
		established:     make(map[control.SessionID]*establishedSession),
		earlyEnds:       make(map[control.SessionID]earlyEnd),
		pendingReleases: make(map[control.SessionID]pendingRelease),
		pendingProbes:   make(map[uint64]pendingProbe),
		lastAliveAt:     time.Now(),
	}
}

// run is the actor's loop. It returns when the pool's context ends, or when the node is
// off the list and nothing of it is left.
func (n *node) run() error {
	var batch []any
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	defer func() {
		for _, c := range n.conns {
			n.closeConn(c)
		}
	}()
	for {
		select {
		case <-n.pool.ctx.Done():
			return nil
		case <-tick.C:
			if now := time.Now(); !n.pool.checkPause(now) && n.setUpsHeld {
				n.handle(resumeSetUps{}) // no fresh list has come within the time that set-ups are held
			}
			n.maintain(time.Now())
			if n.finished() && n.pool.remove(n) {
				return nil
			}
		case <-n.inbox.Ready():
		}
		batch = n.inbox.Take(batch)
		for _, m := range batch {
			n.handle(m)
		}
	}
}

// finished reports whether the node is off the list and nothing of it is left to do.
func (n *node) finished() bool {
	return n.listedState() == control.Gone && len(n.attempts)+len(n.interrupted)+len(n.established)+len(n.pendingReleases) == 0 && !n.dialling
}

// listedAddr returns the node's latest address in the list. Like the state, it applies as
// soon as Pool.Apply returns. A node that is off the list may have none.
func (n *node) listedAddr() string {
	n.pool.mu.RLock()
	defer n.pool.mu.RUnlock()
	return n.member.Addr
}

// listedState returns the node's latest state in the list.
func (n *node) listedState() control.ServerState { return control.ServerState(n.state.Load()) }

// handle processes one message from the actor's inbox.
func (n *node) handle(m any) {
	switch m := m.(type) {
	case setUpRequest:
		a := &attempt{Attempt: m.Attempt}
		n.attempts[a.ID] = a
		n.sendSetUp(a)
	case abandonRequest:
		n.abandon(m)
	case adoptRequest:
		n.adopt(m)
	case releaseRequest:
		n.release(m)
	case setRungRequest:
		n.setRung(m)
	case probeRequest:
		n.probe()
	case listChange:
		n.handleListChange(m)
	case resumeSetUps:
		n.setUpsHeld = false
		n.sendQueued()
	case slotGranted:
		n.waitingForSlot = false
		n.dial()
	case evictRequest:
		n.handleEvictRequest(m)
	case dialResult:
		n.handleDialResult(m)
	case connClosed:
		n.handleClosed(m)
	case received:
		n.handleMessage(m)
	}
}

// report completes r with the node and passes it to the broker.
func (n *node) report(r broker.Report) {
	r.Server, r.Down = n.server, n.connRefused
	n.pool.cfg.Report(r)
}

// endAttempt removes a and reports that it ended with status.
func (n *node) endAttempt(a *attempt, status control.Status) {
	n.removeAttempt(a)
	n.report(broker.Report{Kind: broker.ReportEnded, ID: a.ID, AttemptNumber: a.Number, Status: status})
}

// reportReset reports that a set-up ended because its connection broke. nodeReachable says
// that the node was heard from or reached since, so only the connection was at fault.
func (n *node) reportReset(a *attempt, nodeReachable bool) {
	n.report(broker.Report{Kind: broker.ReportEnded, ID: a.ID, AttemptNumber: a.Number, Status: control.ConnectionReset, ConnectionOnly: nodeReachable})
}

// removeAttempt removes a from the actor's attempts and from its connection's count.
func (n *node) removeAttempt(a *attempt) {
	delete(n.attempts, a.ID)
	if a.conn != nil {
		a.conn.openSetUps--
	}
}

// handleListChange applies a change of the node's entry in the list: a node that is off the
// list or has restarted has lost its sessions.
func (n *node) handleListChange(m listChange) {
	switch {
	case n.listedState() == control.Gone:
		n.releaseReachable()
		n.endProcess("off the list", time.Now())
		n.resolveInterrupted(false)
		clear(n.pendingReleases)
	case m.member.StartedAt.After(n.upSince):
		n.upSince = m.member.StartedAt
		n.endProcess("restarted", n.upSince)
	}
	n.sendQueued() // or ends them, if the node takes no new ones
}
