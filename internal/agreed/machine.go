package agreed

import (
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/raft/v3"
	"google.golang.org/protobuf/proto"
)

// Config is what a manager is told at its start. It does not change.
type Config struct {
	Name            string        // this manager's
	Incarnation     uint64        // higher after each start, such as the time of the start
	Voters          []string      // names of the 3 or 5 managers that decide
	InitialReplicas []Replica     // at the founding of a fleet: all Voters; else nil
	MaxDelay        time.Duration // T; 2 s if 0
	MaxClockDrift   float64       // most by which a clock runs fast or slow; 0.01 if 0
	Seed            uint64
	CheckDocument   func(*Document) error // whether a version can be acted on here; nil: all can

	flaw flaw
}

// TickInterval is how often a machine wants an EvTick.
func (c *Config) TickInterval() time.Duration { return c.within() / 40 }

func (c *Config) within() time.Duration {
	if c.MaxDelay == 0 {
		return 2 * time.Second
	}
	return c.MaxDelay
}

// EventKind says which fields of an Event are set.
type EventKind int

const (
	EventTick    EventKind = iota // a Config.Tick has passed, or more
	EventMessage                  // From, Bytes
	EventSubmit                   // Document: an operator's new version
)

// Event is one thing that a manager is told.
type Event struct {
	Kind     EventKind
	From     string
	Bytes    []byte
	Document *Document
}

// ActionKind says which fields of an Action are set.
type ActionKind int

const (
	ActionSend             ActionKind = iota // To, Bytes; it may be lost, late or twice
	ActionInForce                            // Document is in force, for all that this manager knows
	ActionSubmissionResult                   // Version, Err: what became of a submission; nil: accepted
	ActionLogError                           // Err: for the log
)

// Action is one thing that a manager does.
type Action struct {
	Kind     ActionKind
	To       string
	Bytes    []byte
	Document *Document
	Version  uint64
	Err      error
}

// A Machine is one manager's part in the agreement. It has no I/O and starts nothing.
// Times are by the manager's own monotonic clock, from any start; they never go back.
type Machine struct {
	c      Config
	holder holder
	voter  *voter // nil: it only listens
	lessor *lessor
	good   *Document // the last in force that Check let pass
	bad    bool      // Check does not let pass what is in force
	mine   *Document // submitted here and not decided on
	hash   uint64
	handed time.Duration // when mine was last handed on, and to whom
	to     string

	made      [3]*Document // what effective was made of
	effective EffectiveConfig

	lead     string // who leads, as far as known
	try      int    // the voter to ask while nobody is known to lead
	answered time.Duration
	renewed  time.Duration
	joined   time.Duration
	waiting  []request // until the next round
	round    []request // the round that is out
	rounds   uint64
	wrote    uint64 // hash of what was last written, and when
	wroteAt  time.Duration
	poked    [2]uint64
	local    []*message
	acts     []Action
}

// request is what the leader answers once a majority has confirmed that it leads.
type request struct {
	from   string
	renew  *renewal
	submit *submission
	doc    *Document // of submit
	hash   uint64
}

// New is a manager at its start.
func New(now time.Duration, c Config) *Machine {
	if c.MaxClockDrift == 0 {
		c.MaxClockDrift = 0.01
	}
	m := &Machine{c: c}
	self := Replica{c.Name, c.Incarnation}
	// A lease is the holder's for less than the leader takes it for, by both drifts.
	m.holder = holder{number: self.id(), length: time.Duration(float64(m.lease()) * (1 - c.MaxClockDrift) / (1 + c.MaxClockDrift)), asked: map[uint64]time.Duration{}, flaw: c.flaw}
	m.try = int(self.id() % uint64(len(c.Voters)))
	m.renewed, m.joined, m.answered = now-m.lease(), now-m.lease(), now
	if slices.Contains(c.Voters, c.Name) {
		m.voter = newVoter(now, c.TickInterval(), self, c.InitialReplicas, rand.New(rand.NewPCG(c.Seed, xxhash.Sum64String(c.Name))))
	}
	return m
}

// lease is what the leader takes a lease for: less than T, so that what waits for
// leases to run out is in force within T.
func (m *Machine) lease() time.Duration { return m.c.within() * 3 / 4 }

// Effective is what this manager may do now. It is to be asked at each decision: one that
// was stopped has no lease any more. ok is false where it knows of none in force yet.
func (m *Machine) Effective(now time.Duration) (e EffectiveConfig, ok bool) {
	if m.holder.force == nil {
		return EffectiveConfig{}, false // what is to come is not in force
	}
	if k := [3]*Document{m.holder.force, m.holder.next, m.good}; k != m.made {
		keeps := m.holder.keeps()
		if m.bad && m.good != nil {
			keeps = append([]*Document{m.good}, keeps...)
		}
		m.made, m.effective = k, MostRestrictive(keeps[0], keeps[1:]...)
	}
	e = m.effective
	e.NoLease = !m.holder.leased(now)
	return e, true
}

// LeaseExpiry is when the lease runs out by this manager's clock, if nothing is heard until then.
func (m *Machine) LeaseExpiry() time.Duration { return m.holder.until }

// Handle takes one event in. What it returns is to be done in this order.
func (m *Machine) Handle(now time.Duration, e Event) []Action {
	m.acts = nil
	switch e.Kind {
	case EventTick:
		m.turn(now)
	case EventMessage:
		msg, err := unpack(e.Bytes)
		if err != nil {
			m.remark(err)
			break
		}
		m.take(now, e.From, msg)
	case EventSubmit:
		m.submit(now, e.Document)
	}
	m.settle(now)
	return m.acts
}

// settle does what follows from the event, until nothing does.
func (m *Machine) settle(now time.Duration) {
	for {
		if m.voter != nil {
			m.lay(now)
		}
		if len(m.local) == 0 {
			return
		}
		msg := m.local[0]
		m.local = m.local[1:]
		m.take(now, m.c.Name, msg)
	}
}

func (m *Machine) remark(err error) { m.acts = append(m.acts, Action{Kind: ActionLogError, Err: err}) }

func (m *Machine) send(to string, msg *message) {
	if to == m.c.Name {
		m.local = append(m.local, msg)
		return
	}
	m.acts = append(m.acts, Action{Kind: ActionSend, To: to, Bytes: pack(msg)})
}

func (m *Machine) turn(now time.Duration) {
	if m.voter != nil {
		m.voter.turn(now)
		if !m.voter.votes() && now >= m.joined+5*m.c.TickInterval() {
			m.joined = now
			for _, name := range m.c.Voters {
				if name != m.c.Name {
					m.send(name, &message{Join: &m.voter.self})
				}
			}
		}
	}
	every := m.lease() / 6
	if now >= m.renewed+every {
		if now >= m.answered+2*every { // the next voter may know better
			m.lead = ""
			m.try++
		}
		m.ask(now)
	}
}

// ask asks for a lease, and for the fate of what was submitted here.
func (m *Machine) ask(now time.Duration) {
	m.renewed = now
	to := m.lead
	if to == "" {
		to = m.c.Voters[m.try%len(m.c.Voters)]
	}
	m.send(to, &message{Renewal: m.holder.renew(now)})
	if m.mine != nil && (to != m.to || now >= m.handed+m.lease()/3) {
		m.handed, m.to = now, to
		m.send(to, &message{Submission: &submission{EncodedDocument: encode(m.mine)}})
	}
}

func (m *Machine) submit(now time.Duration, d *Document) {
	if err := m.check(d); err != nil {
		m.acts = append(m.acts, Action{Kind: ActionSubmissionResult, Version: d.Version, Err: err})
		return
	}
	if m.mine != nil && m.hash != d.Hash() {
		m.acts = append(m.acts, Action{Kind: ActionSubmissionResult, Version: m.mine.Version, Err: &SupersededError{m.mine.Version, d.Version}})
	}
	m.mine, m.hash, m.to = d, d.Hash(), ""
	m.ask(now)
}

// check tells whether d can be acted on here: a *Bad, or nil.
func (m *Machine) check(d *Document) error {
	err := d.Validate()
	if err == nil && m.c.CheckDocument != nil {
		err = m.c.CheckDocument(d)
	}
	var b *InvalidVersionError
	if err != nil && !errors.As(err, &b) {
		err = &InvalidVersionError{Version: d.Version, Reason: err.Error()}
	}
	return err
}

func (m *Machine) take(now time.Duration, from string, msg *message) {
	switch v := m.voter; {
	case msg.Grant != nil:
		m.granted(now, from, msg.Grant)
	case msg.Result != nil:
		m.told(msg.Result)
	case msg.Notification != nil && msg.Notification.Leader != "":
		m.lead, m.answered = msg.Notification.Leader, now
	case msg.Notification != nil:
		m.lead = from
		m.ask(now)
	case v == nil:
	case msg.Raft != nil:
		v.step(now, msg.Raft, from)
	case msg.Join != nil && v.leads && msg.Join.Name == from && slices.Contains(m.c.Voters, from):
		v.admit(*msg.Join)
	case msg.Renewal != nil || msg.Submission != nil:
		if m.lessor == nil {
			if lead := v.names[v.node.BasicStatus().Lead]; lead != "" && lead != m.c.Name {
				m.send(from, &message{Notification: &poke{Leader: lead}})
			}
			return
		}
		if msg.Renewal != nil {
			m.lessor.heard(now, from, msg.Renewal)
		}
		q := request{from: from, renew: msg.Renewal, submit: msg.Submission}
		if msg.Renewal == nil {
			q.doc = new(Document)
			if err := decoder.Unmarshal(msg.Submission.EncodedDocument, q.doc); err != nil {
				m.remark(err)
				return
			}
			q.hash = q.doc.Hash()
		}
		m.waiting = append(m.waiting, q)
	}
}

func (m *Machine) granted(now time.Duration, from string, g *grant) {
	var docs []*Document
	for _, b := range g.EncodedDocuments {
		d := new(Document)
		if err := decoder.Unmarshal(b, d); err != nil {
			m.remark(err)
			return
		}
		docs = append(docs, d)
	}
	m.lead, m.answered = from, now
	before := m.holder.force
	news := m.holder.granted(g, docs)
	if d := m.holder.force; d != before {
		// Guard: what this manager can't act on, it keeps to as far as it can.
		if err := m.check(d); err != nil {
			m.bad = true
			m.remark(err)
		} else {
			m.bad, m.good = false, d
		}
		m.acts = append(m.acts, Action{Kind: ActionInForce, Document: d})
	}
	if news {
		m.ask(now)
	}
}

func (m *Machine) told(t *told) {
	if m.mine == nil || t.Hash != m.hash {
		return
	}
	a := Action{Kind: ActionSubmissionResult, Version: t.Version}
	switch t.Outcome {
	case bad:
		a.Err = &InvalidVersionError{t.Version, t.Reason}
	case conflict:
		a.Err = &VersionConflictError{t.Version, t.LastVersion}
	case gap:
		a.Err = &VersionGapError{t.Version, m.mine.Replaces, t.LastVersion}
	}
	m.mine = nil
	m.acts = append(m.acts, a)
}

// lay does the voter's work: it takes in the log, answers what is confirmed, and, as
// the leader, brings what is settled into force.
func (m *Machine) lay(now time.Duration) {
	v := m.voter
	v.drain(now)
	if !v.leads {
		m.lessor, m.waiting, m.round = nil, nil, nil
	} else if m.lessor == nil {
		m.lessor, m.wrote = newLessor(m.lease(), now, m.c.flaw), 0
	}
	reads := v.reads
	v.reads = nil
	if m.lessor != nil {
		for _, r := range reads {
			if len(r) == 8 && binary.BigEndian.Uint64(r) == m.rounds {
				for _, q := range m.round {
					m.answer(now, q)
				}
				m.round = nil
			}
		}
		if m.round == nil && len(m.waiting) > 0 {
			m.rounds++
			m.round, m.waiting = m.waiting, nil
			v.node.ReadIndex(binary.BigEndian.AppendUint64(nil, m.rounds))
		}
		if next := v.ledger.Pending; next != nil && m.lessor.settled(now, next.Version) {
			m.write(now, next.Version, &entry{Enforce: next.Version})
		}
		if news := [2]uint64{v.ledger.force(), v.ledger.last()}; news != m.poked {
			m.poked = news
			for _, h := range sorted(values(m.lessor.held), func(h holding) string { return h.name }) {
				m.send(h.name, &message{Notification: &poke{}})
			}
		}
		v.drain(now)
	}
	for _, x := range v.out {
		body, err := proto.Marshal(x)
		must(err)
		if to := v.names[x.GetTo()]; to != "" && x.GetTo() != v.self.id() {
			m.send(to, &message{Raft: &raftPart{x.GetFrom(), x.GetTo(), body}})
		}
	}
	v.out = nil
}

// write adds an entry to the log, once in a while only: what is lost comes again.
func (m *Machine) write(now time.Duration, name uint64, e *entry) {
	if m.wrote == name && now < m.wroteAt+patience*m.c.TickInterval() {
		return
	}
	m.wrote, m.wroteAt = name, now
	if err := m.voter.node.Propose(encode(e)); err != nil && !errors.Is(err, raft.ErrProposalDropped) {
		m.remark(err)
	}
}

// answer answers a request. A majority has confirmed since it came that this voter
// leads, and all that was decided until then is applied.
func (m *Machine) answer(now time.Duration, q request) {
	l := &m.voter.ledger
	if r := q.renew; r != nil {
		g := &grant{HolderID: r.HolderID, Seq: r.Seq, InForce: l.force()}
		if l.InForce != nil && r.InForce != g.InForce && r.Pending != g.InForce {
			g.EncodedDocuments = append(g.EncodedDocuments, encode(l.InForce))
		}
		if l.Pending != nil {
			if g.Pending = l.Pending.Version; r.Pending != g.Pending {
				g.EncodedDocuments = append(g.EncodedDocuments, encode(l.Pending))
			}
		}
		m.send(q.from, &message{Grant: g})
		return
	}
	d := q.doc
	t := &told{Version: d.Version, Hash: q.hash, LastVersion: l.last()}
	var fresh bool
	if t.Outcome, fresh = l.verdict(d, t.Hash); fresh {
		var b *InvalidVersionError
		if errors.As(m.check(d), &b) {
			t.Outcome, t.Reason = bad, b.Reason
		} else {
			m.write(now, t.Hash, &entry{EncodedDocument: q.submit.EncodedDocument})
			m.waiting = append(m.waiting, q) // told once it is decided
			return
		}
	}
	if t.Outcome != busy {
		m.send(q.from, &message{Result: t})
	}
}
