package standin

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"millethinge/control"
	"millethinge/internal/broker"
)

// Fleet simulates media nodes without a network, for brokers that run in virtual time. It accepts
// attempts, shares each link equally among the sessions on it, refuses set-ups above the
// utilization limit, reports loads and announces short delivery.
type Fleet struct {
	Settings      control.Settings
	LinksKB       []float64     // kB/s: true link capacities of the nodes, which are servers 1 to n
	OneWayDelay   time.Duration // between a manager and a node
	SessionLength func(session control.SessionID, class int) time.Duration
	RateSpread    float64 // largest relative difference of a session's true rate from the rate ladder
	NodeZones     []int   // zone of each node; nil: all in zone 0

	mu             sync.Mutex
	rng            *rand.Rand
	nodes          []*fleetNode
	sessions       map[control.SessionID]*fleetSession
	timers         []*time.Timer
	closed         bool
	EarnedWorth    float64 // sum over the ended sessions of their average worth by rung and delivery
	SessionsPlayed int     // number of sessions in EarnedWorth
	RefusedFull    int     // number of set-ups refused as full
}

type fleetNode struct {
	linkKB           float64 // kB/s
	zone             int
	demandKB         float64 // kB/s that the sessions need
	down             bool    // it answers nothing, and no connection is established
	downAt           time.Time
	excessColdSetUps int // set-ups beyond what it could take while it was cold
	coldUntil        time.Time
	startedAt        time.Time
	setUpsSinceStart int // counted while it is cold
	sessions         map[control.SessionID]*fleetSession
}

type fleetSession struct {
	id            control.SessionID
	class         int
	attemptNumber int
	rung          int
	rateFactor    float64 // true rate relative to the rate ladder
	managerZone   int
	node          *fleetNode
	server        control.ServerID
	broker        *broker.Broker
	startedAt     time.Time
	endsAt        time.Time
	earnedWorth   float64 // worth multiplied by seconds
	accruedUntil  time.Time
}

// NewFleet initializes and returns f, with random numbers drawn from seed.
func NewFleet(f *Fleet, seed uint64) *Fleet {
	f.rng = rand.New(rand.NewPCG(seed, 9))
	f.sessions = make(map[control.SessionID]*fleetSession)
	for i, kb := range f.LinksKB {
		n := &fleetNode{linkKB: kb, sessions: make(map[control.SessionID]*fleetSession)}
		if f.NodeZones != nil {
			n.zone = f.NodeZones[i]
		}
		f.nodes = append(f.nodes, n)
	}
	return f
}

// Close cancels all pending events.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for _, t := range f.timers {
		t.Stop()
	}
}

// schedule runs do after d, with f.mu held.
func (f *Fleet) schedule(d time.Duration, do func()) {
	f.timers = append(f.timers, time.AfterFunc(d, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !f.closed {
			do()
		}
	}))
	if len(f.timers) > 1<<16 {
		f.timers = append(f.timers[:0], f.timers[1<<15:]...) // the oldest have fired
	}
}

// ManagerNodes is the nodes as one broker sees them. Broker has to be set before the broker runs.
type ManagerNodes struct {
	*Fleet
	Broker *broker.Broker
	Zone   int
}

// Times of managers towards a node that cannot be reached.
const (
	silentConnTime     = 500 * time.Millisecond // during which connections to it stay open and silent; later set-ups need a new one
	connectTimeout     = 250 * time.Millisecond // of a new connection
	sessionLossTimeout = 3 * time.Second        // after which its established sessions are given up
)

// FailZone cuts off the nodes of a zone, which ends their sessions.
func (f *Fleet) FailZone(zone int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		if n.zone != zone {
			continue
		}
		n.down, n.downAt = true, time.Now()
		for _, p := range n.sessions {
			f.endSession(p)
			f.schedule(sessionLossTimeout, func() {
				p.broker.Report(broker.Report{Kind: broker.ReportEnded, Server: p.server, ID: p.id, AttemptNumber: p.attemptNumber, Status: control.ConnectionReset, Cause: broker.CauseInterrupted})
			})
		}
	}
}

// RestoreZone brings the nodes of a zone back, cold if the settings have a warm-up time.
func (f *Fleet) RestoreZone(zone int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		if n.zone == zone {
			n.down, n.startedAt, n.setUpsSinceStart = false, time.Now(), 0
			n.coldUntil = n.startedAt.Add(time.Duration(f.Settings.WarmAfterS * float64(time.Second)))
		}
	}
}

// ExcessColdSetUps returns how many set-ups cold nodes received beyond what they can take. Over all
// managers, a cold node can take ColdSetupMultiple times the streams that are warm at the moment
// per warm-up time, and two more set-ups in all.
func (f *Fleet) ExcessColdSetUps() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, o := range f.nodes {
		n += o.excessColdSetUps
	}
	return n
}

// countColdSetUp counts a set-up of a node that is cold against what it can take.
func (f *Fleet) countColdSetUp(n *fleetNode) {
	if !time.Now().Before(n.coldUntil) || len(f.Settings.MaxStreamsByKind) == 0 {
		return
	}
	t, warm := time.Since(n.startedAt).Seconds(), f.Settings.WarmAfterS
	streams, start := float64(f.Settings.MaxStreamsByKind[0]), f.Settings.StartCapacityShare
	// What it could take so far: the rate grows linearly from the start capacity to the whole.
	allowed := f.Settings.ColdSetupMultiple * streams / warm * (start*t + (1-start)*t*t/(2*warm))
	if n.setUpsSinceStart++; float64(n.setUpsSinceStart) > allowed+2 {
		n.excessColdSetUps++
	}
}

// WorthPerSecond returns the worth that the present sessions earn each second, less the cost of
// crossing zones.
func (f *Fleet) WorthPerSecond() (w float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		share := n.worthShare()
		for _, p := range n.sessions {
			k := &f.Settings.Classes[p.class]
			w += k.Worth * f.Settings.LadderWorth[p.rung] * share
			if p.managerZone != n.zone {
				w -= k.Worth * f.Settings.CrossZoneCost
			}
		}
	}
	return w
}

// worthShare returns the share of their worth that the sessions of a node earn. Below 98% of their
// rate they lose 7 points for each missing point.
func (n *fleetNode) worthShare() float64 {
	share := 1.0
	if n.demandKB > n.linkKB {
		share = n.linkKB / n.demandKB
	}
	return max(1-7*max(0.98-share, 0), 0)
}

// node returns a server's node, or nil if there is none.
func (m *ManagerNodes) node(s control.ServerID) *fleetNode {
	if s < 1 || int(s) > len(m.nodes) {
		return nil
	}
	return m.nodes[s-1]
}

// SetUp implements broker.Nodes: it sends an attempt.
func (m *ManagerNodes) SetUp(s control.ServerID, a broker.Attempt) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.node(s)
	if n == nil {
		return false
	}
	m.schedule(m.OneWayDelay, func() {
		if n.down {
			if time.Since(n.downAt) > silentConnTime {
				m.schedule(connectTimeout, func() {
					m.Broker.Report(broker.Report{Kind: broker.ReportEnded, Server: s, ID: a.ID, AttemptNumber: a.Number, Status: control.ConnectFailed})
				})
			}
			return
		}
		m.countColdSetUp(n)
		if n.demandKB >= m.Settings.FullAtUtilization*n.linkKB {
			m.RefusedFull++
			m.schedule(m.OneWayDelay, func() {
				m.Broker.Report(broker.Report{Kind: broker.ReportEnded, Server: s, ID: a.ID, AttemptNumber: a.Number, Status: control.Full, Load: m.loadReport(n)})
			})
			return
		}
		p := &fleetSession{id: a.ID, class: a.Class, attemptNumber: a.Number, rung: a.Rung, node: n, server: s, broker: m.Broker, managerZone: m.Zone,
			rateFactor: 1 + m.RateSpread*(2*m.rng.Float64()-1), startedAt: time.Now(), accruedUntil: time.Now()}
		length := m.SessionLength(a.ID, a.Class)
		p.endsAt = p.startedAt.Add(length)
		m.accrueWorth(n)
		n.sessions[a.ID], m.sessions[a.ID] = p, p
		m.updateDemand(n)
		m.schedule(m.OneWayDelay, func() {
			m.Broker.Report(broker.Report{Kind: broker.ReportStarted, Server: s, ID: a.ID, AttemptNumber: a.Number, Description: []byte("d")})
		})
		m.schedule(length, func() {
			if m.endSession(p) {
				p.broker.Report(broker.Report{Kind: broker.ReportEnded, Server: s, ID: a.ID, AttemptNumber: a.Number, Status: control.OK, Cause: broker.CauseEnded})
			}
		})
	})
	return true
}

// accrueWorth adds what the sessions of a node have earned since the last call.
func (f *Fleet) accrueWorth(n *fleetNode) {
	now := time.Now()
	share := n.worthShare()
	for _, p := range n.sessions {
		k := &f.Settings.Classes[p.class]
		p.earnedWorth += k.Worth * f.Settings.LadderWorth[p.rung] * share * now.Sub(p.accruedUntil).Seconds()
		p.accruedUntil = now
	}
}

// updateDemand computes the demand of a node from its sessions.
func (f *Fleet) updateDemand(n *fleetNode) {
	n.demandKB = 0
	for _, p := range n.sessions {
		n.demandKB += f.Settings.RatesKB[p.rung] * f.Settings.Classes[p.class].RateScale * p.rateFactor
	}
}

// endSession removes a session from its node. It returns false if the session has already ended.
func (f *Fleet) endSession(p *fleetSession) bool {
	if f.sessions[p.id] != p {
		return false
	}
	f.accrueWorth(p.node)
	delete(f.sessions, p.id)
	delete(p.node.sessions, p.id)
	f.updateDemand(p.node)
	if s := p.accruedUntil.Sub(p.startedAt).Seconds(); s > 0 {
		f.EarnedWorth += p.earnedWorth / s
		f.SessionsPlayed++
	}
	return true
}

// Abandon implements broker.Nodes: it abandons an attempt.
func (m *ManagerNodes) Abandon(s control.ServerID, id control.SessionID, number int, timedOut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.sessions[id]; p != nil {
		m.endSession(p)
	}
	m.schedule(m.OneWayDelay, func() {
		m.Broker.Report(broker.Report{Kind: broker.ReportEnded, Server: s, ID: id, AttemptNumber: number, Status: control.TimedOut})
	})
}

// AddEstablished implements broker.Nodes. No session is older than the manager.
func (m *ManagerNodes) AddEstablished(control.ServerID, control.SessionID) bool { return false }

// Release implements broker.Nodes: it ends an established session.
func (m *ManagerNodes) Release(_ control.ServerID, id control.SessionID, _ int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.sessions[id]; p != nil {
		m.endSession(p)
	}
}

// SetRung implements broker.Nodes. A change of rung costs a part of the session's worth.
func (m *ManagerNodes) SetRung(_ control.ServerID, id control.SessionID, rung int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.sessions[id]; p != nil && p.rung != rung {
		m.accrueWorth(p.node)
		p.earnedWorth -= m.Settings.RungChangeCostS * m.Settings.Classes[p.class].Worth * m.Settings.LadderWorth[p.rung]
		p.rung = rung
		m.updateDemand(p.node)
	}
}

// Probe implements broker.Nodes: it reports a node's load.
func (m *ManagerNodes) Probe(s control.ServerID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.node(s)
	m.schedule(2*m.OneWayDelay, func() {
		if n == nil {
			return
		}
		if n.down {
			m.Broker.Report(broker.Report{Kind: broker.ReportProbed, Server: s, Status: control.ConnectFailed})
			return
		}
		m.Broker.Report(broker.Report{Kind: broker.ReportProbed, Server: s, Load: m.loadReport(n)})
	})
}

// loadReport returns the utilization of the link and of the uplink, which is never short here.
func (f *Fleet) loadReport(n *fleetNode) []float64 { return []float64{n.demandKB / n.linkKB, 0.1} }

// AnnounceShortfalls tells each session on a node that delivers less than 98% which share is
// delivered. The caller calls it once a second, as often as nodes announce it.
func (f *Fleet) AnnounceShortfalls() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		if share := n.linkKB / math.Max(n.demandKB, 1); share < 0.98 {
			for _, p := range n.sessions {
				p.broker.Report(broker.Report{Kind: broker.ReportNote, Server: p.server, ID: p.id, AttemptNumber: p.attemptNumber, Note: control.NoteDeliveredShare, Value: share})
			}
		}
	}
}

// Utilization returns the demand on all links relative to their capacity.
func (f *Fleet) Utilization() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	demand, capacity := 0.0, 0.0
	for _, n := range f.nodes {
		demand, capacity = demand+n.demandKB, capacity+n.linkKB
	}
	return demand / capacity
}
