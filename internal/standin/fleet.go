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
	src            *rand.Rand
	nodes          []*fleetNode
	sessions       map[control.SessionID]*fleetSession
	timers         []*time.Timer
	closed         bool
	EarnedWorth    float64 // worth of what played, by rung and delivery
	SessionsPlayed int
	RefusedFull    int // set-ups refused as full
}

type fleetNode struct {
	link     float64
	zone     int
	asked    float64
	down     bool // it is cut off: it answers nothing, and no connection comes up
	downAt   time.Time
	falls    int       // set-ups beyond what it bore while it was cold
	cold     time.Time // until when
	began    time.Time
	sent     int // since
	sessions map[control.SessionID]*fleetSession
}

type fleetSession struct {
	id      control.SessionID
	class   int
	number  int
	rung    int
	factor  float64 // of its true rate
	home    int     // zone of its manager
	node    *fleetNode
	server  control.ServerID
	to      *broker.Broker
	began   time.Time
	ends    time.Time
	earned  float64 // rung's worth times seconds
	counted time.Time
}

// NewFleet returns a fleet with a seed of its own.
func NewFleet(f *Fleet, seed uint64) *Fleet {
	f.src = rand.New(rand.NewPCG(seed, 9))
	f.sessions = make(map[control.SessionID]*fleetSession)
	for i, kb := range f.LinksKB {
		n := &fleetNode{link: kb, sessions: make(map[control.SessionID]*fleetSession)}
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

// after runs do later, with the lock held.
func (f *Fleet) after(d time.Duration, do func()) {
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
	openTime    = 500 * time.Millisecond // its open connections are silent, later ones don't come up
	connectTime = 250 * time.Millisecond
	lostTime    = 3 * time.Second // until what stood there is given up
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
			f.end(p)
			f.after(lostTime, func() {
				p.to.Report(broker.Report{Kind: broker.ReportEnded, Server: p.server, ID: p.id, AttemptNumber: p.number, Status: control.ConnectionReset, Cause: broker.CauseInterrupted})
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
			n.down, n.began, n.sent = false, time.Now(), 0
			n.cold = n.began.Add(time.Duration(f.Settings.WarmAfterS * float64(time.Second)))
		}
	}
}

// ExcessColdSetUps is how many set-ups came to cold nodes beyond what these bear: a multiple of
// what has warmed of their streams over the warm-up, over all managers, and two more.
func (f *Fleet) ExcessColdSetUps() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, o := range f.nodes {
		n += o.falls
	}
	return n
}

// bears counts a set-up against the fall-over rule.
func (f *Fleet) bears(n *fleetNode) {
	if !time.Now().Before(n.cold) || len(f.Settings.MaxStreamsByKind) == 0 {
		return
	}
	t, warm := time.Since(n.began).Seconds(), f.Settings.WarmAfterS
	streams, start := float64(f.Settings.MaxStreamsByKind[0]), f.Settings.StartCapacityShare
	// What it bore so far: the pace grows from the start's share to the whole.
	bore := f.Settings.ColdSetupMultiple * streams / warm * (start*t + (1-start)*t*t/(2*warm))
	if n.sent++; float64(n.sent) > bore+2 {
		n.falls++
	}
}

// WorthPerSecond is what plays earns a second, less what crossing zones costs.
func (f *Fleet) WorthPerSecond() (w float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		part := n.part()
		for _, p := range n.sessions {
			k := &f.Settings.Classes[p.class]
			w += k.Worth * f.Settings.LadderWorth[p.rung] * part
			if p.home != n.zone {
				w -= k.Worth * f.Settings.CrossZoneCost
			}
		}
	}
	return w
}

// part is what sessions there get of their worth: under 98% of their rate they lose 7
// points for each that is missing.
func (n *fleetNode) part() float64 {
	share := 1.0
	if n.asked > n.link {
		share = n.link / n.asked
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
	m.after(m.OneWayDelay, func() {
		if n.down {
			if time.Since(n.downAt) > openTime {
				m.after(connectTime, func() {
					m.Broker.Report(broker.Report{Kind: broker.ReportEnded, Server: s, ID: a.ID, AttemptNumber: a.Number, Status: control.ConnectFailed})
				})
			}
			return
		}
		m.bears(n)
		if n.asked >= m.Settings.FullAtUtilization*n.link {
			m.RefusedFull++
			m.after(m.OneWayDelay, func() {
				m.Broker.Report(broker.Report{Kind: broker.ReportEnded, Server: s, ID: a.ID, AttemptNumber: a.Number, Status: control.Full, Load: m.load(n)})
			})
			return
		}
		p := &fleetSession{id: a.ID, class: a.Class, number: a.Number, rung: a.Rung, node: n, server: s, to: m.Broker, home: m.Zone,
			factor: 1 + m.RateSpread*(2*m.src.Float64()-1), began: time.Now(), counted: time.Now()}
		length := m.SessionLength(a.ID, a.Class)
		p.ends = p.began.Add(length)
		m.settle(n)
		n.sessions[a.ID], m.sessions[a.ID] = p, p
		m.recount(n)
		m.after(m.OneWayDelay, func() {
			m.Broker.Report(broker.Report{Kind: broker.ReportStarted, Server: s, ID: a.ID, AttemptNumber: a.Number, Description: []byte("d")})
		})
		m.after(length, func() {
			if m.end(p) {
				p.to.Report(broker.Report{Kind: broker.ReportEnded, Server: s, ID: a.ID, AttemptNumber: a.Number, Status: control.OK, Cause: broker.CauseEnded})
			}
		})
	})
	return true
}

// settle counts what the sessions of a node have earned until now.
func (f *Fleet) settle(n *fleetNode) {
	now := time.Now()
	part := n.part()
	for _, p := range n.sessions {
		k := &f.Settings.Classes[p.class]
		p.earned += k.Worth * f.Settings.LadderWorth[p.rung] * part * now.Sub(p.counted).Seconds()
		p.counted = now
	}
}

func (f *Fleet) recount(n *fleetNode) {
	n.asked = 0
	for _, p := range n.sessions {
		n.asked += f.Settings.RatesKB[p.rung] * f.Settings.Classes[p.class].RateScale * p.factor
	}
}

// end takes a session off its node. False: it is not there.
func (f *Fleet) end(p *fleetSession) bool {
	if f.sessions[p.id] != p {
		return false
	}
	f.settle(p.node)
	delete(f.sessions, p.id)
	delete(p.node.sessions, p.id)
	f.recount(p.node)
	if s := p.counted.Sub(p.began).Seconds(); s > 0 {
		f.EarnedWorth += p.earned / s
		f.SessionsPlayed++
	}
	return true
}

// Abandon ends an attempt.
func (m *ManagerNodes) Abandon(s control.ServerID, id control.SessionID, number int, timedOut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.sessions[id]; p != nil {
		m.end(p)
	}
	m.after(m.OneWayDelay, func() {
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
		m.end(p)
	}
}

// SetRung changes a rung, which costs a part of the session's worth.
func (m *ManagerNodes) SetRung(_ control.ServerID, id control.SessionID, rung int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.sessions[id]; p != nil && p.rung != rung {
		m.settle(p.node)
		p.earned -= m.Settings.RungChangeCostS * m.Settings.Classes[p.class].Worth * m.Settings.LadderWorth[p.rung]
		p.rung = rung
		m.recount(p.node)
	}
}

// Probe reports a node's load.
func (m *ManagerNodes) Probe(s control.ServerID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.node(s)
	m.after(2*m.OneWayDelay, func() {
		if n == nil {
			return
		}
		if n.down {
			m.Broker.Report(broker.Report{Kind: broker.ReportProbed, Server: s, Status: control.ConnectFailed})
			return
		}
		m.Broker.Report(broker.Report{Kind: broker.ReportProbed, Server: s, Load: m.load(n)})
	})
}

// load is a report: the link's use and the uplink's, which is never short here.
func (f *Fleet) load(n *fleetNode) []float64 { return []float64{n.asked / n.link, 0.1} }

// AnnounceShortfalls tells each session on a node that delivers short its share, as nodes do each
// second. It is to be called as often.
func (f *Fleet) AnnounceShortfalls() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		if share := n.link / math.Max(n.asked, 1); share < 0.98 {
			for _, p := range n.sessions {
				p.to.Report(broker.Report{Kind: broker.ReportNote, Server: p.server, ID: p.id, AttemptNumber: p.number, Note: control.NoteDeliveredShare, Value: share})
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
		asked, links = asked+n.asked, links+n.link
	}
	return asked / links
}
