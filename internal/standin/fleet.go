package standin

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"millethinge/control"
	"millethinge/internal/broker"
)

// Fleet is media nodes without a wire, for brokers that run in virtual time: it
// takes their attempts, shares each link equally among what plays there, refuses
// over the guard, reports loads and tells of short delivery.
type Fleet struct {
	Settings      control.Settings
	LinksKB       []float64     // true links of the nodes, which are servers 1 and on
	OneWayDelay   time.Duration // one way
	SessionLength func(session control.SessionID, class int) time.Duration
	RateSpread    float64 // true rates lie so much above or below the ladder
	NodeZones     []int   // of the nodes; nil: all 0

	mu             sync.Mutex
	rng            *rand.Rand
	nodes          []*fleetNode
	sessions       map[control.SessionID]*fleetSession
	timers         []*time.Timer
	closed         bool
	EarnedWorth    float64 // worth of what played, by rung and delivery
	SessionsPlayed int
	RefusedFull    int // set-ups refused as full
}

type fleetNode struct {
	linkKB           float64
	zone             int
	demandKB         float64
	down             bool // it is cut off: it answers nothing, and no connection comes up
	downAt           time.Time
	excessColdSetUps int       // set-ups beyond what it bore while it was cold
	coldUntil        time.Time // until when
	startedAt        time.Time
	setUpsSinceStart int // since
	sessions         map[control.SessionID]*fleetSession
}

type fleetSession struct {
	id            control.SessionID
	class         int
	attemptNumber int
	rung          int
	rateFactor    float64 // of its true rate
	managerZone   int     // zone of its manager
	node          *fleetNode
	server        control.ServerID
	broker        *broker.Broker
	startedAt     time.Time
	endsAt        time.Time
	earnedWorth   float64 // rung's worth times seconds
	accruedUntil  time.Time
}

// NewFleet returns a fleet with a seed of its own.
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

// Close stops what is still to happen.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for _, t := range f.timers {
		t.Stop()
	}
}

// schedule runs do later, with the lock held.
func (f *Fleet) schedule(d time.Duration, do func()) {
	f.timers = append(f.timers, time.AfterFunc(d, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !f.closed {
			do()
		}
	}))
	if len(f.timers) > 1<<16 {
		f.timers = append(f.timers[:0], f.timers[1<<15:]...) // the oldest have run
	}
}

// ManagerNodes is the nodes as one broker sees them. It has to be given the broker
// before that runs.
type ManagerNodes struct {
	*Fleet
	Broker *broker.Broker
	Zone   int
}

// Times of managers towards a node that can't be reached.
const (
	silentConnTime     = 500 * time.Millisecond // its open connections are silent, later ones don't come up
	connectTimeout     = 250 * time.Millisecond
	sessionLossTimeout = 3 * time.Second // until what stood there is given up
)

// FailZone cuts a zone's nodes off, which end what plays there.
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

// RestoreZone brings a zone's nodes back, cold where the settings have a warm-up.
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

// ExcessColdSetUps is how many set-ups came to cold nodes beyond what these bear: a multiple of
// what has warmed of their streams over the warm-up, over all managers, and two more.
func (f *Fleet) ExcessColdSetUps() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, o := range f.nodes {
		n += o.excessColdSetUps
	}
	return n
}

// countColdSetUp counts a set-up against the fall-over rule.
func (f *Fleet) countColdSetUp(n *fleetNode) {
	if !time.Now().Before(n.coldUntil) || len(f.Settings.MaxStreamsByKind) == 0 {
		return
	}
	t, warm := time.Since(n.startedAt).Seconds(), f.Settings.WarmAfterS
	streams, start := float64(f.Settings.MaxStreamsByKind[0]), f.Settings.StartCapacityShare
	// What it bore so far: the pace grows from the start's share to the whole.
	bore := f.Settings.ColdSetupMultiple * streams / warm * (start*t + (1-start)*t*t/(2*warm))
	if n.setUpsSinceStart++; float64(n.setUpsSinceStart) > bore+2 {
		n.excessColdSetUps++
	}
}

// WorthPerSecond is what plays earns a second, less what crossing zones costs.
func (f *Fleet) WorthPerSecond() (w float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		part := n.worthShare()
		for _, p := range n.sessions {
			k := &f.Settings.Classes[p.class]
			w += k.Worth * f.Settings.LadderWorth[p.rung] * part
			if p.managerZone != n.zone {
				w -= k.Worth * f.Settings.CrossZoneCost
			}
		}
	}
	return w
}

// worthShare is what sessions there get of their worth: under 98% of their rate they lose 7
// points for each that is missing.
func (n *fleetNode) worthShare() float64 {
	share := 1.0
	if n.demandKB > n.linkKB {
		share = n.linkKB / n.demandKB
	}
	return max(1-7*max(0.98-share, 0), 0)
}

func (m *ManagerNodes) node(s control.ServerID) *fleetNode {
	if s < 1 || int(s) > len(m.nodes) {
		return nil
	}
	return m.nodes[s-1]
}

// SetUp sends an attempt.
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

// accrueWorth counts what the sessions of a node have earned until now.
func (f *Fleet) accrueWorth(n *fleetNode) {
	now := time.Now()
	part := n.worthShare()
	for _, p := range n.sessions {
		k := &f.Settings.Classes[p.class]
		p.earnedWorth += k.Worth * f.Settings.LadderWorth[p.rung] * part * now.Sub(p.accruedUntil).Seconds()
		p.accruedUntil = now
	}
}

func (f *Fleet) updateDemand(n *fleetNode) {
	n.demandKB = 0
	for _, p := range n.sessions {
		n.demandKB += f.Settings.RatesKB[p.rung] * f.Settings.Classes[p.class].RateScale * p.rateFactor
	}
}

// endSession takes a session off its node. False: it is not there.
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

// Abandon ends an attempt.
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

// AddEstablished knows of no session from before the start.
func (m *ManagerNodes) AddEstablished(control.ServerID, control.SessionID) bool { return false }

// Release ends a session that stands.
func (m *ManagerNodes) Release(_ control.ServerID, id control.SessionID, _ int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.sessions[id]; p != nil {
		m.endSession(p)
	}
}

// SetRung changes a rung, which costs a part of the session's worth.
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

// Probe reports a node's load.
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

// loadReport is a report: the link's use and the uplink's, which is never short here.
func (f *Fleet) loadReport(n *fleetNode) []float64 { return []float64{n.demandKB / n.linkKB, 0.1} }

// AnnounceShortfalls tells each session on a node that delivers short its share, as nodes do each
// second. It is to be called as often.
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

// Utilization is the part of all links that is asked for.
func (f *Fleet) Utilization() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	asked, links := 0.0, 0.0
	for _, n := range f.nodes {
		asked, links = asked+n.demandKB, links+n.linkKB
	}
	return asked / links
}
