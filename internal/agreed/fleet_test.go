package agreed

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// fleet is managers in virtual time, with a network between them that loses, delays
// and cuts. The first voters of them decide.
type fleet struct {
	now       time.Duration
	rng       *rand.Rand
	queue     happenings
	count     int
	managers  []*manager
	cut       map[[2]int]bool // from, to
	loss      float64
	conf      Config
	messages  int
	bytes     int
	documents map[uint64]*Document // by number, all that came into force anywhere
	known     map[uint64]bool      // hashes of what any manager was told of
	hashes    map[*Document]uint64
	apart     map[[2]uint64]bool
	since     time.Duration              // since when two act on what contradicts; -1: none do
	longest   time.Duration              // 0: none ever did
	leaders   map[uint64]map[uint64]bool // by term
	history   []porcupine.Operation
	judged    bool
}

// manager is one process. Its clock runs by rate and started at random.
type manager struct {
	*Machine
	i       int
	rate    float64
	offset  time.Duration
	stopped time.Duration // until when
	inbox   []Event
	life    int
	told    []Action
	span    *porcupine.Operation // reads of one version without a break
	writes  []*porcupine.Operation
}

type happening struct {
	at time.Duration
	n  int
	do func()
}
type happenings []happening

func (h happenings) Len() int { return len(h) }
func (h happenings) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].n < h[j].n
}
func (h happenings) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *happenings) Push(x any)   { *h = append(*h, x.(happening)) }
func (h *happenings) Pop() any     { x := (*h)[len(*h)-1]; *h = (*h)[:len(*h)-1]; return x }

func name(i int) string { return fmt.Sprintf("m%d", i) }

func newFleet(managers, voters int, seed uint64, f flaw) *fleet {
	w := &fleet{rng: rand.New(rand.NewPCG(seed, 7)), cut: map[[2]int]bool{}, since: -1, documents: map[uint64]*Document{}, known: map[uint64]bool{}, hashes: map[*Document]uint64{},
		apart: map[[2]uint64]bool{}, leaders: map[uint64]map[uint64]bool{}, judged: true, conf: Config{Seed: seed, flaw: f}}
	for i := range voters {
		w.conf.Voters = append(w.conf.Voters, name(i))
		w.conf.InitialReplicas = append(w.conf.InitialReplicas, Replica{name(i), 1})
	}
	for i := range managers {
		m := &manager{i: i, rate: 1 + 0.01*(2*w.rng.Float64()-1), offset: time.Duration(w.rng.IntN(1e10)), life: 0}
		w.managers = append(w.managers, m)
		w.start(m, 1, w.conf.InitialReplicas)
	}
	return w
}

func (w *fleet) start(m *manager, incarnation uint64, founders []Replica) {
	c := w.conf
	c.Name, c.Incarnation, c.InitialReplicas = name(m.i), incarnation, founders
	c.CheckDocument = func(d *Document) error {
		if slices.Contains(d.DisabledNodes, "bad") {
			return fmt.Errorf("bad")
		}
		return nil
	}
	m.Machine, m.inbox = New(m.clock(w.now), c), nil
	m.life++
	life := m.life
	var tick func()
	tick = func() {
		if m.life == life {
			w.give(m, Event{Kind: EventTick})
			w.after(time.Duration(float64(c.TickInterval())/m.rate), tick)
		}
	}
	w.after(time.Duration(w.rng.Int64N(int64(c.TickInterval()))), tick)
}

func (m *manager) clock(now time.Duration) time.Duration {
	return m.offset + time.Duration(float64(now)*m.rate)
}

func (w *fleet) after(d time.Duration, do func()) {
	w.count++
	heap.Push(&w.queue, happening{w.now + d, w.count, do})
}

func (w *fleet) run(d time.Duration) {
	for end := w.now + d; ; {
		if len(w.queue) == 0 || w.queue[0].at > end {
			w.now = end
			return
		}
		h := heap.Pop(&w.queue).(happening)
		w.now = h.at
		h.do()
	}
}

func (w *fleet) stop(m *manager, d time.Duration) {
	m.stopped = w.now + d
	w.after(d, func() {
		for box := m.inbox; len(box) > 0 && w.now >= m.stopped; box = m.inbox {
			m.inbox = box[1:]
			w.give(m, box[0])
		}
	})
}

func (w *fleet) give(m *manager, e Event) {
	if w.now < m.stopped {
		if n := len(m.inbox); e.Kind != EventTick || n == 0 || m.inbox[n-1].Kind != EventTick {
			m.inbox = append(m.inbox, e)
		}
		return
	}
	for _, a := range m.Handle(m.clock(w.now), e) {
		switch a.Kind {
		case ActionSend:
			w.send(m.i, slices.Index(w.names(), a.To), a.Bytes)
		case ActionInForce:
			w.documents[a.Document.Version] = a.Document
			for _, o := range m.writes {
				if x := o.Input.(write); x.version == a.Document.Version && x.hash == a.Document.Hash() {
					o.Return = int64(w.now)
				}
			}
		case ActionSubmissionResult:
			m.told = append(m.told, a)
		}
	}
	if w.judged {
		w.judge(m)
	}
}

func (w *fleet) names() (out []string) {
	for i := range w.managers {
		out = append(out, name(i))
	}
	return out
}

func (w *fleet) send(from, to int, b []byte) {
	w.messages++
	w.bytes += len(b)
	if w.cut[[2]int{from, to}] || w.rng.Float64() < w.loss {
		return
	}
	w.after(time.Millisecond+time.Duration(w.rng.ExpFloat64()*float64(4*time.Millisecond)), func() {
		if !w.cut[[2]int{from, to}] {
			w.give(w.managers[to], Event{Kind: EventMessage, From: name(from), Bytes: b})
		}
	})
}

// acts are the versions of which m keeps to every one now; none without a lease.
func (w *fleet) acts(m *manager) (out []uint64) {
	if w.now < m.stopped || !m.holder.leased(m.clock(w.now)) || m.holder.force == nil {
		return nil
	}
	for _, d := range m.holder.keeps() {
		out = append(out, d.Version)
	}
	return out
}

// judge looks whether two managers act on what contradicts, after what m has done.
// It begins only by what one of them is told, so that it can't be missed.
func (w *fleet) judge(m *manager) {
	now, wrong := int64(w.now), false
	for i, a := range w.managers {
		for _, b := range w.managers[:i] {
			x, y := w.acts(a), w.acts(b)
			agree := len(x) == 0 || len(y) == 0
			for _, v := range x {
				agree = agree || slices.ContainsFunc(y, func(u uint64) bool { return !w.contradict(u, v) })
			}
			wrong = wrong || !agree
		}
	}
	if wrong && w.since < 0 {
		w.since = w.now
	} else if !wrong {
		w.since = -1
	}
	if wrong {
		w.longest = max(w.longest, w.now-w.since, 1)
	}
	if v := m.voter; v != nil && v.leads {
		term := v.node.BasicStatus().GetTerm()
		if w.leaders[term] == nil {
			w.leaders[term] = map[uint64]bool{}
		}
		w.leaders[term][uint64(m.i)] = true
	}
	// A manager that acts on one version alone reads the register: the first and the
	// last of a row of equal reads are kept.
	for _, d := range m.holder.keeps() {
		if w.hashes[d] == 0 {
			w.hashes[d] = d.Hash()
			w.known[w.hashes[d]] = true
		}
	}
	acts := w.acts(m)
	if m.span != nil && (len(acts) != 1 || m.span.Output.(write).version != acts[0]) {
		w.history = append(w.history, *m.span)
		m.span = nil
	}
	if len(acts) == 1 {
		o := porcupine.Operation{ClientId: m.i, Input: nil, Call: now, Return: now, Output: write{version: acts[0], hash: w.hashes[m.holder.force]}}
		if m.span == nil {
			w.history = append(w.history, o)
		}
		m.span = &o
	}
}

func (w *fleet) contradict(u, v uint64) bool {
	if u == v || w.documents[u] == nil || w.documents[v] == nil {
		return false
	}
	k := [2]uint64{min(u, v), max(u, v)}
	if _, ok := w.apart[k]; !ok {
		w.apart[k] = Incompatible(w.documents[u], w.documents[v])
	}
	return w.apart[k]
}

// write is a version submitted: it takes effect where what it replaces is in force.
type write struct{ version, replaces, hash uint64 }

// submit gives m a new version over what it knows of, which takes other nodes out.
func (w *fleet) submit(m *manager, nodes ...string) *Document {
	d := &Document{Version: 1, DisabledNodes: nodes}
	if n := m.holder.keeps(); len(n) > 0 {
		d.Replaces = n[len(n)-1].Version
		d.Version = d.Replaces + 1
	}
	o := &porcupine.Operation{ClientId: 100 + len(w.history), Input: write{d.Version, d.Replaces, d.Hash()}, Call: int64(w.now), Return: 1 << 62}
	m.writes = append(m.writes, o)
	w.give(m, Event{Kind: EventSubmit, Document: d})
	return d
}

// register tells whether the history is that of one register of versions.
func (w *fleet) register() bool {
	history := slices.Clone(w.history)
	for _, m := range w.managers {
		for i, o := range m.writes {
			o.ClientId = 1000*(m.i+1) + i
			if w.known[o.Input.(write).hash] { // what nobody was ever told of took no effect
				history = append(history, *o)
			}
		}
	}
	return porcupine.CheckOperations(porcupine.Model{
		Init: func() any { return write{} },
		Step: func(state, input, output any) (bool, any) {
			s := state.(write)
			if in, ok := input.(write); ok {
				return s.version == in.replaces, write{version: in.version, hash: in.hash}
			}
			return s == output.(write), s
		},
	}, history)
}

func (w *fleet) part(left []int, oneWay bool) {
	clear(w.cut)
	for i := range w.managers {
		for j := range w.managers {
			if a, b := slices.Contains(left, i), slices.Contains(left, j); a && !b || !oneWay && b && !a {
				w.cut[[2]int{i, j}] = true
			}
		}
	}
}

func (w *fleet) leader() *manager {
	for _, m := range w.managers {
		if m.voter != nil && m.voter.leads && w.now >= m.stopped {
			return m
		}
	}
	return nil
}

// inForce waits until all managers of the list act on v alone: -1 if they don't.
func (w *fleet) inForce(v uint64, most time.Duration, list ...*manager) time.Duration {
	for start := w.now; w.now < start+most; w.run(5 * time.Millisecond) {
		if !slices.ContainsFunc(list, func(m *manager) bool { return !slices.Equal(w.acts(m), []uint64{v}) }) {
			return w.now - start
		}
	}
	return -1
}
