package agreement

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

// Config is the configuration of a Machine. It must not change.
type Config struct {
	Name            string        // of this manager
	Incarnation     uint64        // must increase with each start, such as the start time
	Voters          []string      // names of the 3 or 5 managers that vote
	InitialReplicas []Replica     // all Voters when a fleet starts for the first time; else nil
	MaxDelay        time.Duration // T, the time within which a version comes into force while the leader stays; 2 s if 0
	MaxClockDrift   float64       // maximum relative error of a clock's rate; 0.01 if 0
	Seed            uint64
	CheckDocument   func(*Document) error // returns an error if this manager can't act on a version; nil: it can act on all

	fault protocolFault
}

// TickInterval returns the interval at which a Machine needs an EventTick.
func (c *Config) TickInterval() time.Duration { return c.maxDelay() / 40 }

func (c *Config) maxDelay() time.Duration {
	if c.MaxDelay == 0 {
		return 2 * time.Second
	}
	return c.MaxDelay
}

// EventKind is the kind of an Event. It determines which fields are set.
type EventKind int

// Kinds of events, and the fields that they set.
const (
	EventTick    EventKind = iota // at least Config.TickInterval has passed
	EventMessage                  // From, Bytes
	EventSubmit                   // Document: an operator's new version
)

// Event is an input of a Machine.
type Event struct {
	Kind     EventKind
	From     string
	Bytes    []byte
	Document *Document
}

// ActionKind is the kind of an Action. It determines which fields are set.
type ActionKind int

// Kinds of actions, and the fields that they set.
const (
	ActionSend             ActionKind = iota // To, Bytes: a message, which may be lost, delayed or duplicated
	ActionInForce                            // Document is in force, as far as this manager knows
	ActionSubmissionResult                   // Version, Err: the result of a submission; nil: accepted
	ActionLogError                           // Err: to be logged
)

// Action is an output of a Machine, to be carried out by the caller.
type Action struct {
	Kind     ActionKind
	To       string
	Bytes    []byte
	Document *Document
	Version  uint64
	Err      error
}

// A Machine is one manager's state machine of the agreement. It does no I/O and starts no
// goroutines. Times are readings of the manager's own monotonic clock, from any origin.
type Machine struct {
	config           Config
	holder           holder
	voter            *voter    // nil: this manager does not vote
	lessor           *lessor   // nil: this manager does not lead
	lastValid        *Document // the last version in force that CheckDocument accepted
	inForceInvalid   bool      // CheckDocument rejects the version in force
	submitted        *Document // the version submitted here that is not decided yet; nil: none
	submittedHash    uint64
	submissionSentAt time.Duration // when submitted was last sent, and to whom
	submissionSentTo string

	effectiveSources [3]*Document // what effective was computed from
	effective        EffectiveConfig

	leader             string // the leader's name; empty: not known
	voterIndex         int    // of the voter to ask while the leader is not known, modulo their number
	leaderHeardAt      time.Duration
	renewalSentAt      time.Duration
	joinSentAt         time.Duration
	queuedRequests     []request // for the next ReadIndex round
	confirmingRequests []request // of the ReadIndex round that is under way
	readIndexRound     uint64
	proposedKey        uint64 // hash or version of the last proposal, and when it was made
	proposedAt         time.Duration
	notifiedVersions   [2]uint64  // in force and last, of which the holders were last notified
	loopback           []*message // from this manager to itself
	actions            []Action   // of the current Handle
}

// request is a request that the leader answers once a majority has confirmed that it leads.
type request struct {
	from              string
	leaseRenewal      *renewal
	versionSubmission *submission
	document          *Document // decoded from versionSubmission
	hash              uint64
}

// New returns the Machine of a manager that has just started.
func New(now time.Duration, c Config) *Machine {
	if c.MaxClockDrift == 0 {
		c.MaxClockDrift = 0.01
	}
	m := &Machine{config: c}
	self := Replica{c.Name, c.Incarnation}
	// The holder counts its lease as shorter than the leader does, by the drift of both clocks.
	m.holder = holder{id: self.raftID(), leaseLength: time.Duration(float64(m.grantedLeaseLength()) * (1 - c.MaxClockDrift) / (1 + c.MaxClockDrift)), requestedAt: map[uint64]time.Duration{}, fault: c.fault}
	m.voterIndex = int(self.raftID() % uint64(len(c.Voters)))
	m.renewalSentAt, m.joinSentAt, m.leaderHeardAt = now-m.grantedLeaseLength(), now-m.grantedLeaseLength(), now
	if slices.Contains(c.Voters, c.Name) {
		m.voter = newVoter(now, c.TickInterval(), self, c.InitialReplicas, rand.New(rand.NewPCG(c.Seed, xxhash.Sum64String(c.Name))))
	}
	return m
}

// grantedLeaseLength returns the length of a lease by the leader's clock. It is less than MaxDelay,
// so that a version that waits for leases to expire is in force within MaxDelay.
func (m *Machine) grantedLeaseLength() time.Duration { return m.config.maxDelay() * 3 / 4 }

// Effective returns what this manager may act on now. It must be called for each decision, since
// the lease may have expired in a process pause. ok is false until a version is known to be in
// force.
func (m *Machine) Effective(now time.Duration) (e EffectiveConfig, ok bool) {
	if m.holder.inForce == nil {
		return EffectiveConfig{}, false // a pending version is not in force
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

// LeaseExpiry returns when the lease expires by this manager's clock unless it is renewed.
func (m *Machine) LeaseExpiry() time.Duration { return m.holder.leaseExpiry }

// Handle processes an event. The caller must carry out the actions in the order returned.
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

// processPending runs the voter and delivers messages to this manager itself until none is
// left.
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
		if now >= m.leaderHeardAt+2*interval { // the next voter may know the leader
			m.leader = ""
			m.voterIndex++
		}
		m.sendRequests(now)
	}
}

// sendRequests requests a lease, and sends the undecided submission again when it is due.
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

// checkDocument checks whether this manager can act on d. It returns an *InvalidVersionError or
// nil.
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
		// Guard: a version that this manager can't act on still restricts it, as far as
		// possible.
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

// runVoter processes the log, and sends raft's messages. On the leader it also answers requests
// whose ReadIndex round is confirmed, and puts the pending version in force once all lease
// holders are bound by it.
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

// propose proposes an entry to the log. The same entry is proposed again only after an election
// time-out, in case the proposal was lost.
func (m *Machine) propose(now time.Duration, key uint64, e *logEntry) {
	if m.proposedKey == key && now < m.proposedAt+electionTicks*m.config.TickInterval() {
		return
	}
	m.proposedKey, m.proposedAt = key, now
	if err := m.voter.raftNode.Propose(encode(e)); err != nil && !errors.Is(err, raft.ErrProposalDropped) {
		m.logError(err)
	}
}

// answerRequest answers a request. Since the request arrived, a majority has confirmed that this
// voter leads, and all entries committed until then have been applied.
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
			m.queuedRequests = append(m.queuedRequests, q) // answered once it is decided
			return
		}
	}
	if result.Outcome != outcomeBusy {
		m.send(q.from, &message{Result: result})
	}
}
