package agreement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// simulation runs managers in virtual time, with a network between them that loses and delays
// messages and can be partitioned. The first managers are the voters.
type simulation struct {
	now             time.Duration
	random          *rand.Rand
	queue           eventQueue
	scheduled       int
	managers        []*simManager
	blocked         map[[2]int]bool // by indexes of sender and receiver
	lossRate        float64
	config          Config
	messages        int
	bytes           int
	documents       map[uint64]*Document // by version, all that came into force at any manager
	seenHashes      map[uint64]bool      // of the versions that have bound any manager
	hashOf          map[*Document]uint64
	incompatible    map[[2]uint64]bool
	conflictSince   time.Duration              // since when two managers act on incompatible versions; -1: none do
	longestConflict time.Duration              // 0: there was none
	leadersByTerm   map[uint64]map[uint64]bool // indexes of managers by term
	history         []porcupine.Operation
	checked         bool // check after each event
}

// simManager is a manager process. Its clock runs at clockRate from a random offset.
type simManager struct {
	*Machine
	index       int
	clockRate   float64
	clockOffset time.Duration
	pausedUntil time.Duration // of a process pause
	inbox       []Event
	generation  int // number of starts
	results     []Action
	openRead    *porcupine.Operation // last of consecutive reads of the same version
	writes      []*porcupine.Operation
}

// simEvent is a scheduled event. Events at the same time run in the order of scheduling.
type simEvent struct {
	at     time.Duration
	order  int
	action func()
}
type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any     { x := (*q)[len(*q)-1]; *q = (*q)[:len(*q)-1]; return x }

func managerName(i int) string { return fmt.Sprintf("m%d", i) }

func newSimulation(managers, voters int, seed uint64, injected protocolFault) *simulation {
	sim := &simulation{random: rand.New(rand.NewPCG(seed, 7)), blocked: map[[2]int]bool{}, conflictSince: -1, documents: map[uint64]*Document{}, seenHashes: map[uint64]bool{}, hashOf: map[*Document]uint64{},
		incompatible: map[[2]uint64]bool{}, leadersByTerm: map[uint64]map[uint64]bool{}, checked: true, config: Config{Seed: seed, fault: injected}}
	for i := range voters {
		sim.config.Voters = append(sim.config.Voters, managerName(i))
		sim.config.InitialReplicas = append(sim.config.InitialReplicas, Replica{managerName(i), 1})
	}
	for i := range managers {
		m := &simManager{index: i, clockRate: 1 + 0.01*(2*sim.random.Float64()-1), clockOffset: time.Duration(sim.random.IntN(1e10)), generation: 0}
		sim.managers = append(sim.managers, m)
		sim.startManager(m, 1, sim.config.InitialReplicas)
	}
	return sim
}

func (sim *simulation) startManager(m *simManager, incarnation uint64, initial []Replica) {
	c := sim.config
	c.Name, c.Incarnation, c.InitialReplicas = managerName(m.index), incarnation, initial
	c.CheckDocument = func(d *Document) error {
		if slices.Contains(d.DisabledNodes, "bad") {
			return fmt.Errorf("bad")
		}
		return nil
	}
	m.Machine, m.inbox = New(m.clock(sim.now), c), nil
	m.generation++
	generation := m.generation
	var tick func()
	tick = func() {
		if m.generation == generation {
			sim.deliver(m, Event{Kind: EventTick})
			sim.schedule(time.Duration(float64(c.TickInterval())/m.clockRate), tick)
		}
	}
	sim.schedule(time.Duration(sim.random.Int64N(int64(c.TickInterval()))), tick)
}

func (m *simManager) clock(now time.Duration) time.Duration {
	return m.clockOffset + time.Duration(float64(now)*m.clockRate)
}

func (sim *simulation) schedule(d time.Duration, action func()) {
	sim.scheduled++
	heap.Push(&sim.queue, simEvent{sim.now + d, sim.scheduled, action})
}

func (sim *simulation) run(d time.Duration) {
	for end := sim.now + d; ; {
		if len(sim.queue) == 0 || sim.queue[0].at > end {
			sim.now = end
			return
		}
		h := heap.Pop(&sim.queue).(simEvent)
		sim.now = h.at
		h.action()
	}
}

func (sim *simulation) pause(m *simManager, d time.Duration) {
	m.pausedUntil = sim.now + d
	sim.schedule(d, func() {
		for queued := m.inbox; len(queued) > 0 && sim.now >= m.pausedUntil; queued = m.inbox {
			m.inbox = queued[1:]
			sim.deliver(m, queued[0])
		}
	})
}

func (sim *simulation) deliver(m *simManager, e Event) {
	if sim.now < m.pausedUntil {
		if n := len(m.inbox); e.Kind != EventTick || n == 0 || m.inbox[n-1].Kind != EventTick {
			m.inbox = append(m.inbox, e)
		}
		return
	}
	for _, a := range m.Handle(m.clock(sim.now), e) {
		switch a.Kind {
		case ActionSend:
			sim.send(m.index, slices.Index(sim.managerNames(), a.To), a.Bytes)
		case ActionInForce:
			sim.documents[a.Document.Version] = a.Document
			for _, o := range m.writes {
				if x := o.Input.(writeOp); x.version == a.Document.Version && x.hash == a.Document.Hash() {
					o.Return = int64(sim.now)
				}
			}
		case ActionSubmissionResult:
			m.results = append(m.results, a)
		}
	}
	if sim.checked {
		sim.check(m)
	}
}

func (sim *simulation) managerNames() (out []string) {
	for i := range sim.managers {
		out = append(out, managerName(i))
	}
	return out
}

func (sim *simulation) send(from, to int, b []byte) {
	sim.messages++
	sim.bytes += len(b)
	if sim.blocked[[2]int{from, to}] || sim.random.Float64() < sim.lossRate {
		return
	}
	sim.schedule(time.Millisecond+time.Duration(sim.random.ExpFloat64()*float64(4*time.Millisecond)), func() {
		if !sim.blocked[[2]int{from, to}] {
			sim.deliver(sim.managers[to], Event{Kind: EventMessage, From: managerName(from), Bytes: b})
		}
	})
}

// activeVersions returns the versions that bind m now; none without a lease.
func (sim *simulation) activeVersions(m *simManager) (out []uint64) {
	if sim.now < m.pausedUntil || !m.holder.hasLease(m.clock(sim.now)) || m.holder.inForce == nil {
		return nil
	}
	for _, d := range m.holder.boundBy() {
		out = append(out, d.Version)
	}
	return out
}

// check checks whether two managers act on incompatible versions, after m has handled an event.
// Such a conflict can begin only with an event of one of the two, so none is missed.
func (sim *simulation) check(m *simManager) {
	now, conflict := int64(sim.now), false
	for i, a := range sim.managers {
		for _, b := range sim.managers[:i] {
			x, y := sim.activeVersions(a), sim.activeVersions(b)
			compatible := len(x) == 0 || len(y) == 0
			for _, v := range x {
				compatible = compatible || slices.ContainsFunc(y, func(u uint64) bool { return !sim.versionsIncompatible(u, v) })
			}
			conflict = conflict || !compatible
		}
	}
	if conflict && sim.conflictSince < 0 {
		sim.conflictSince = sim.now
	} else if !conflict {
		sim.conflictSince = -1
	}
	if conflict {
		sim.longestConflict = max(sim.longestConflict, sim.now-sim.conflictSince, 1)
	}
	if v := m.voter; v != nil && v.isLeader {
		term := v.raftNode.BasicStatus().GetTerm()
		if sim.leadersByTerm[term] == nil {
			sim.leadersByTerm[term] = map[uint64]bool{}
		}
		sim.leadersByTerm[term][uint64(m.index)] = true
	}
	// A manager that acts on one version only reads the register: the first and the last of
	// consecutive equal reads are recorded.
	for _, d := range m.holder.boundBy() {
		if sim.hashOf[d] == 0 {
			sim.hashOf[d] = d.Hash()
			sim.seenHashes[sim.hashOf[d]] = true
		}
	}
	active := sim.activeVersions(m)
	if m.openRead != nil && (len(active) != 1 || m.openRead.Output.(writeOp).version != active[0]) {
		sim.history = append(sim.history, *m.openRead)
		m.openRead = nil
	}
	if len(active) == 1 {
		o := porcupine.Operation{ClientId: m.index, Input: nil, Call: now, Return: now, Output: writeOp{version: active[0], hash: sim.hashOf[m.holder.inForce]}}
		if m.openRead == nil {
			sim.history = append(sim.history, o)
		}
		m.openRead = &o
	}
}

func (sim *simulation) versionsIncompatible(u, v uint64) bool {
	if u == v || sim.documents[u] == nil || sim.documents[v] == nil {
		return false
	}
	k := [2]uint64{min(u, v), max(u, v)}
	if _, ok := sim.incompatible[k]; !ok {
		sim.incompatible[k] = Incompatible(sim.documents[u], sim.documents[v])
	}
	return sim.incompatible[k]
}

// writeOp is the submission of a version. It takes effect if the version that it replaces is in
// force.
type writeOp struct{ version, replaces, hash uint64 }

// submit submits at m a version that replaces the newest one that m knows, with other disabled
// nodes.
func (sim *simulation) submit(m *simManager, nodes ...string) *Document {
	d := &Document{Version: 1, DisabledNodes: nodes}
	if n := m.holder.boundBy(); len(n) > 0 {
		d.Replaces = n[len(n)-1].Version
		d.Version = d.Replaces + 1
	}
	o := &porcupine.Operation{ClientId: 100 + len(sim.history), Input: writeOp{d.Version, d.Replaces, d.Hash()}, Call: int64(sim.now), Return: 1 << 62}
	m.writes = append(m.writes, o)
	sim.deliver(m, Event{Kind: EventSubmit, Document: d})
	return d
}

// linearizable reports whether the history is that of a single register of versions.
func (sim *simulation) linearizable() bool {
	history := slices.Clone(sim.history)
	for _, m := range sim.managers {
		for i, o := range m.writes {
			o.ClientId = 1000*(m.index+1) + i
			if sim.seenHashes[o.Input.(writeOp).hash] { // a version that never bound any manager took no effect
				history = append(history, *o)
			}
		}
	}
	return porcupine.CheckOperations(porcupine.Model{
		Init: func() any { return writeOp{} },
		Step: func(state, input, output any) (bool, any) {
			s := state.(writeOp)
			if in, ok := input.(writeOp); ok {
				return s.version == in.replaces, writeOp{version: in.version, hash: in.hash}
			}
			return s == output.(writeOp), s
		},
	}, history)
}

// partition separates the managers of side from the others, or with oneWay blocks only the
// messages from side.
func (sim *simulation) partition(side []int, oneWay bool) {
	clear(sim.blocked)
	for i := range sim.managers {
		for j := range sim.managers {
			if a, b := slices.Contains(side, i), slices.Contains(side, j); a && !b || !oneWay && b && !a {
				sim.blocked[[2]int{i, j}] = true
			}
		}
	}
}

func (sim *simulation) leader() *simManager {
	for _, m := range sim.managers {
		if m.voter != nil && m.voter.isLeader && sim.now >= m.pausedUntil {
			return m
		}
	}
	return nil
}

// timeToForce returns the time until all the given managers act on version v only, or -1 if they
// do not within limit.
func (sim *simulation) timeToForce(v uint64, limit time.Duration, managers ...*simManager) time.Duration {
	for start := sim.now; sim.now < start+limit; sim.run(5 * time.Millisecond) {
		if !slices.ContainsFunc(managers, func(m *simManager) bool { return !slices.Equal(sim.activeVersions(m), []uint64{v}) }) {
			return sim.now - start
		}
	}
	return -1
}
