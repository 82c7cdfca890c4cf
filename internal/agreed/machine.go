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

	fault protocolFault
}

// TickInterval is how often a machine wants an EvTick.
func (c *Config) TickInterval() time.Duration { return c.maxDelay() / 40 }

func (c *Config) maxDelay() time.Duration {
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
	config           Config
	holder           holder
	voter            *voter // nil: it only listens
	lessor           *lessor
	lastValid        *Document // the last in force that Check let pass
	inForceInvalid   bool      // Check does not let pass what is in force
	submitted        *Document // submitted here and not decided on
	submittedHash    uint64
	submissionSentAt time.Duration // when mine was last handed on, and to whom
	submissionSentTo string

	effectiveSources [3]*Document // what effective was made of
	effective        EffectiveConfig

	leader             string // who leads, as far as known
	voterIndex         int    // the voter to ask while nobody is known to lead
	leaderHeardAt      time.Duration
	renewalSentAt      time.Duration
	joinSentAt         time.Duration
	queuedRequests     []request // until the next round
	confirmingRequests []request // the round that is out
	readIndexRound     uint64
	proposedKey        uint64 // hash of what was last written, and when
	proposedAt         time.Duration
	notifiedVersions   [2]uint64
	loopback           []*message
	actions            []Action
}

// request is what the leader answers once a majority has confirmed that it leads.
type request struct {
	from              string
	leaseRenewal      *renewal
	versionSubmission *submission
	document          *Document // of submit
	hash              uint64
}

// New is a manager at its start.
func New(now time.Duration, c Config) *Machine {
	if c.MaxClockDrift == 0 {
		c.MaxClockDrift = 0.01
	}
	m := &Machine{config: c}
	self := Replica{c.Name, c.Incarnation}
	// A lease is the holder's for less than the leader takes it for, by both drifts.
	m.holder = holder{id: self.raftID(), leaseLength: time.Duration(float64(m.grantedLeaseLength()) * (1 - c.MaxClockDrift) / (1 + c.MaxClockDrift)), requestedAt: map[uint64]time.Duration{}, fault: c.fault}
	m.voterIndex = int(self.raftID() % uint64(len(c.Voters)))
	m.renewalSentAt, m.joinSentAt, m.leaderHeardAt = now-m.grantedLeaseLength(), now-m.grantedLeaseLength(), now
	if slices.Contains(c.Voters, c.Name) {
		m.voter = newVoter(now, c.TickInterval(), self, c.InitialReplicas, rand.New(rand.NewPCG(c.Seed, xxhash.Sum64String(c.Name))))
	}
	return m
}

// grantedLeaseLength is what the leader takes a lease for: less than T, so that what waits for
// leases to run out is in force within T.
func (m *Machine) grantedLeaseLength() time.Duration { return m.config.maxDelay() * 3 / 4 }

// Effective is what this manager may do now. It is to be asked at each decision: one that
// was stopped has no lease any more. ok is false where it knows of none in force yet.
func (m *Machine) Effective(now time.Duration) (e EffectiveConfig, ok bool) {
	if m.holder.inForce == nil {
		return EffectiveConfig{}, false // what is to come is not in force
	}
	if sources := [3]*Document{m.holder.inForce, m.holder.pending, m.lastValid}; sources != m.effectiveSources {
		boundBy := m.holder.boundBy()
		if m.inForceInvalid && m.lastValid != nil {
			boundBy = append([]*Document{m.lastValid}, boundBy...)
		}
		m.effectiveSources, m.effective = sources, MostRestrictive(boundBy[0], boundBy[1:]...)
	}
	e = m.effective
	e.NoLease = !m.holder.hasLease(now)
	return e, true
}

// LeaseExpiry is when the lease runs out by this manager's clock, if nothing is heard until then.
func (m *Machine) LeaseExpiry() time.Duration { return m.holder.leaseExpiry }

// Handle takes one event in. What it returns is to be done in this order.
func (m *Machine) Handle(now time.Duration, e Event) []Action {
	m.actions = nil
	switch e.Kind {
	case EventTick:
		m.tick(now)
	case EventMessage:
		msg, err := unmarshalMessage(e.Bytes)
		if err != nil {
			m.logError(err)
			break
		}
		m.handleMessage(now, e.From, msg)
	case EventSubmit:
		m.submit(now, e.Document)
	}
	m.processPending(now)
	return m.actions
}

// processPending does what follows from the event, until nothing does.
func (m *Machine) processPending(now time.Duration) {
	for {
		if m.voter != nil {
			m.runVoter(now)
		}
		if len(m.loopback) == 0 {
			return
		}
		msg := m.loopback[0]
		m.loopback = m.loopback[1:]
		m.handleMessage(now, m.config.Name, msg)
	}
}

func (m *Machine) logError(err error) {
	m.actions = append(m.actions, Action{Kind: ActionLogError, Err: err})
}

func (m *Machine) send(to string, msg *message) {
	if to == m.config.Name {
		m.loopback = append(m.loopback, msg)
		return
	}
	m.actions = append(m.actions, Action{Kind: ActionSend, To: to, Bytes: marshalMessage(msg)})
}

func (m *Machine) tick(now time.Duration) {
	if m.voter != nil {
		m.voter.handleTick(now)
		if !m.voter.isVoter() && now >= m.joinSentAt+5*m.config.TickInterval() {
			m.joinSentAt = now
			for _, name := range m.config.Voters {
				if name != m.config.Name {
					m.send(name, &message{Join: &m.voter.self})
				}
			}
		}
	}
	interval := m.grantedLeaseLength() / 6
	if now >= m.renewalSentAt+interval {
		if now >= m.leaderHeardAt+2*interval { // the next voter may know better
			m.leader = ""
			m.voterIndex++
		}
		m.sendRequests(now)
	}
}

// sendRequests asks for a lease, and for the fate of what was submitted here.
func (m *Machine) sendRequests(now time.Duration) {
	m.renewalSentAt = now
	to := m.leader
	if to == "" {
		to = m.config.Voters[m.voterIndex%len(m.config.Voters)]
	}
	m.send(to, &message{Renewal: m.holder.nextRenewal(now)})
	if m.submitted != nil && (to != m.submissionSentTo || now >= m.submissionSentAt+m.grantedLeaseLength()/3) {
		m.submissionSentAt, m.submissionSentTo = now, to
		m.send(to, &message{Submission: &submission{EncodedDocument: encode(m.submitted)}})
	}
}

func (m *Machine) submit(now time.Duration, d *Document) {
	if err := m.checkDocument(d); err != nil {
		m.actions = append(m.actions, Action{Kind: ActionSubmissionResult, Version: d.Version, Err: err})
		return
	}
	if m.submitted != nil && m.submittedHash != d.Hash() {
		m.actions = append(m.actions, Action{Kind: ActionSubmissionResult, Version: m.submitted.Version, Err: &SupersededError{m.submitted.Version, d.Version}})
	}
	m.submitted, m.submittedHash, m.submissionSentTo = d, d.Hash(), ""
	m.sendRequests(now)
}

// checkDocument tells whether d can be acted on here: a *Bad, or nil.
func (m *Machine) checkDocument(d *Document) error {
	err := d.Validate()
	if err == nil && m.config.CheckDocument != nil {
		err = m.config.CheckDocument(d)
	}
	var b *InvalidVersionError
	if err != nil && !errors.As(err, &b) {
		err = &InvalidVersionError{Version: d.Version, Reason: err.Error()}
	}
	return err
}

func (m *Machine) handleMessage(now time.Duration, from string, msg *message) {
	switch v := m.voter; {
	case msg.Grant != nil:
		m.handleGrant(now, from, msg.Grant)
	case msg.Result != nil:
		m.handleResult(msg.Result)
	case msg.Notification != nil && msg.Notification.Leader != "":
		m.leader, m.leaderHeardAt = msg.Notification.Leader, now
	case msg.Notification != nil:
		m.leader = from
		m.sendRequests(now)
	case v == nil:
	case msg.Raft != nil:
		v.step(now, msg.Raft, from)
	case msg.Join != nil && v.isLeader && msg.Join.Name == from && slices.Contains(m.config.Voters, from):
		v.admitReplica(*msg.Join)
	case msg.Renewal != nil || msg.Submission != nil:
		if m.lessor == nil {
			if leader := v.managerNames[v.raftNode.BasicStatus().Lead]; leader != "" && leader != m.config.Name {
				m.send(from, &message{Notification: &notification{Leader: leader}})
			}
			return
		}
		if msg.Renewal != nil {
			m.lessor.recordRenewal(now, from, msg.Renewal)
		}
		q := request{from: from, leaseRenewal: msg.Renewal, versionSubmission: msg.Submission}
		if msg.Renewal == nil {
			q.document = new(Document)
			if err := cborDecMode.Unmarshal(msg.Submission.EncodedDocument, q.document); err != nil {
				m.logError(err)
				return
			}
			q.hash = q.document.Hash()
		}
		m.queuedRequests = append(m.queuedRequests, q)
	}
}

func (m *Machine) handleGrant(now time.Duration, from string, g *grant) {
	var documents []*Document
	for _, b := range g.EncodedDocuments {
		d := new(Document)
		if err := cborDecMode.Unmarshal(b, d); err != nil {
			m.logError(err)
			return
		}
		documents = append(documents, d)
	}
	m.leader, m.leaderHeardAt = from, now
	previous := m.holder.inForce
	changed := m.holder.applyGrant(g, documents)
	if d := m.holder.inForce; d != previous {
		// Guard: what this manager can't act on, it keeps to as far as it can.
		if err := m.checkDocument(d); err != nil {
			m.inForceInvalid = true
			m.logError(err)
		} else {
			m.inForceInvalid, m.lastValid = false, d
		}
		m.actions = append(m.actions, Action{Kind: ActionInForce, Document: d})
	}
	if changed {
		m.sendRequests(now)
	}
}

func (m *Machine) handleResult(result *submissionResult) {
	if m.submitted == nil || result.Hash != m.submittedHash {
		return
	}
	a := Action{Kind: ActionSubmissionResult, Version: result.Version}
	switch result.Outcome {
	case outcomeInvalid:
		a.Err = &InvalidVersionError{result.Version, result.Reason}
	case outcomeConflict:
		a.Err = &VersionConflictError{result.Version, result.LastVersion}
	case outcomeGap:
		a.Err = &VersionGapError{result.Version, m.submitted.Replaces, result.LastVersion}
	}
	m.submitted = nil
	m.actions = append(m.actions, a)
}

// runVoter does the voter's work: it takes in the log, answers what is confirmed, and, as
// the leader, brings what is settled into force.
func (m *Machine) runVoter(now time.Duration) {
	v := m.voter
	v.processReady(now)
	if !v.isLeader {
		m.lessor, m.queuedRequests, m.confirmingRequests = nil, nil, nil
	} else if m.lessor == nil {
		m.lessor, m.proposedKey = newLessor(m.grantedLeaseLength(), now, m.config.fault), 0
	}
	reads := v.confirmedReads
	v.confirmedReads = nil
	if m.lessor != nil {
		for _, r := range reads {
			if len(r) == 8 && binary.BigEndian.Uint64(r) == m.readIndexRound {
				for _, q := range m.confirmingRequests {
					m.answerRequest(now, q)
				}
				m.confirmingRequests = nil
			}
		}
		if m.confirmingRequests == nil && len(m.queuedRequests) > 0 {
			m.readIndexRound++
			m.confirmingRequests, m.queuedRequests = m.queuedRequests, nil
			v.raftNode.ReadIndex(binary.BigEndian.AppendUint64(nil, m.readIndexRound))
		}
		if pending := v.ledger.Pending; pending != nil && m.lessor.allBoundBy(now, pending.Version) {
			m.propose(now, pending.Version, &logEntry{Enforce: pending.Version})
		}
		if versions := [2]uint64{v.ledger.versionInForce(), v.ledger.lastVersion()}; versions != m.notifiedVersions {
			m.notifiedVersions = versions
			for _, lease := range sortedByName(mapValues(m.lessor.leases), func(lease leaseRecord) string { return lease.manager }) {
				m.send(lease.manager, &message{Notification: &notification{}})
			}
		}
		v.processReady(now)
	}
	for _, x := range v.outgoing {
		body, err := proto.Marshal(x)
		must(err)
		if to := v.managerNames[x.GetTo()]; to != "" && x.GetTo() != v.self.raftID() {
			m.send(to, &message{Raft: &raftMessage{x.GetFrom(), x.GetTo(), body}})
		}
	}
	v.outgoing = nil
}

// propose adds an entry to the log, once in a while only: what is lost comes again.
func (m *Machine) propose(now time.Duration, key uint64, e *logEntry) {
	if m.proposedKey == key && now < m.proposedAt+electionTicks*m.config.TickInterval() {
		return
	}
	m.proposedKey, m.proposedAt = key, now
	if err := m.voter.raftNode.Propose(encode(e)); err != nil && !errors.Is(err, raft.ErrProposalDropped) {
		m.logError(err)
	}
}

// answerRequest answers a request. A majority has confirmed since it came that this voter
// leads, and all that was decided until then is applied.
func (m *Machine) answerRequest(now time.Duration, q request) {
	l := &m.voter.ledger
	if r := q.leaseRenewal; r != nil {
		g := &grant{HolderID: r.HolderID, Seq: r.Seq, InForce: l.versionInForce()}
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
	d := q.document
	result := &submissionResult{Version: d.Version, Hash: q.hash, LastVersion: l.lastVersion()}
	var appendable bool
	if result.Outcome, appendable = l.outcomeOf(d, result.Hash); appendable {
		var b *InvalidVersionError
		if errors.As(m.checkDocument(d), &b) {
			result.Outcome, result.Reason = outcomeInvalid, b.Reason
		} else {
			m.propose(now, result.Hash, &logEntry{EncodedDocument: q.versionSubmission.EncodedDocument})
			m.queuedRequests = append(m.queuedRequests, q) // told once it is decided
			return
		}
	}
	if result.Outcome != outcomeBusy {
		m.send(q.from, &message{Result: result})
	}
}
