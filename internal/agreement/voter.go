package agreement

import (
	"errors"
	"io"
	"log"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	electionTicks       = 10  // without a leader until a voter campaigns, up to twice that
	retainedEntries     = 32  // kept when the log is compacted, for followers that lag
	compactionThreshold = 128 // entries after which the log is compacted
)

// voter runs one Replica of the raft log. raft randomises its election time-outs itself, so
// that they could not be reproduced; here they come from the seed: a follower's raft node is
// never ticked, but told to forget its leader after electionTicks, and to campaign.
type voter struct {
	self           Replica
	raftNode       *raft.RawNode
	storage        *storage
	ledger         ledger
	random         *rand.Rand
	tickInterval   time.Duration
	timerResetAt   time.Duration // when the election timer was last reset
	campaignAt     time.Duration // when to campaign
	isLeader       bool
	managerNames   map[uint64]string        // of Replicas by raftID, as far as known
	snapshotSentAt map[uint64]time.Duration // by raftID of the recipient
	confirmedReads [][]byte                 // contexts of confirmed ReadIndex rounds
	outgoing       []*raftpb.Message
}

// storage is the raft log in memory. It makes each snapshot on request, so that the snapshot
// includes the replicas that were admitted last.
type storage struct {
	*raft.MemoryStorage
	applied   uint64
	confState *raftpb.ConfState
	ledger    *ledger
}

// Snapshot implements raft.Storage.
func (s *storage) Snapshot() (*raftpb.Snapshot, error) {
	if _, err := s.CreateSnapshot(s.applied, s.confState, encode(s.ledger)); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
		return nil, err
	}
	return s.MemoryStorage.Snapshot()
}

var discardLogger = &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}

// newVoter returns a Replica that has just started. initial are the first Replicas of a new
// fleet, the same for each of them; without them the Replica knows nothing and waits to be
// admitted.
func newVoter(now, tickInterval time.Duration, self Replica, initial []Replica, random *rand.Rand) *voter {
	v := &voter{self: self, random: random, tickInterval: tickInterval, managerNames: map[uint64]string{}, snapshotSentAt: map[uint64]time.Duration{},
		ledger: ledger{Hashes: map[uint64]uint64{}, Replicas: map[uint64]Replica{}}}
	v.storage = &storage{MemoryStorage: raft.NewMemoryStorage(), ledger: &v.ledger, confState: &raftpb.ConfState{}}
	if initial != nil {
		for _, m := range initial {
			v.ledger.Replicas[m.raftID()] = m
			v.managerNames[m.raftID()] = m.Name
			v.storage.confState.Voters = append(v.storage.confState.Voters, m.raftID())
		}
		one := uint64(1)
		s := &raftpb.Snapshot{Data: encode(&v.ledger), Metadata: &raftpb.SnapshotMetadata{Index: &one, Term: &one, ConfState: v.storage.confState}}
		must(v.storage.ApplySnapshot(s))
		must(v.storage.SetHardState(&raftpb.HardState{Term: &one, Commit: &one}))
		v.storage.applied = 1
	}
	var err error
	v.raftNode, err = raft.NewRawNode(&raft.Config{
		ID: self.raftID(), ElectionTick: electionTicks, HeartbeatTick: 1, Storage: v.storage, Applied: v.storage.applied,
		MaxSizePerMsg: MaxDocumentBytes, MaxInflightMsgs: 64, CheckQuorum: true, PreVote: true, Logger: discardLogger,
	})
	must(err)
	v.resetElectionTimer(now)
	return v
}

// must panics on errors that only a bug in this package can cause.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// resetElectionTimer delays the next campaign by one to two election time-outs.
func (v *voter) resetElectionTimer(now time.Duration) {
	v.timerResetAt = now
	v.campaignAt = now + electionTicks*v.tickInterval + time.Duration(v.random.Int64N(int64(electionTicks*v.tickInterval)))
}

// handleTick is called every tickInterval.
func (v *voter) handleTick(now time.Duration) {
	if v.isLeader {
		v.raftNode.Tick()
		for _, id := range slices.Sorted(maps.Keys(v.snapshotSentAt)) {
			if now >= v.snapshotSentAt[id]+electionTicks*v.tickInterval { // raft waits for a report of the snapshot, which may be lost
				delete(v.snapshotSentAt, id)
				v.raftNode.ReportSnapshot(id, raft.SnapshotFinish)
			}
		}
		return
	}
	if now >= v.timerResetAt+electionTicks*v.tickInterval {
		v.raftNode.ForgetLeader() // from now on it may vote for another candidate
	}
	if now >= v.campaignAt {
		v.resetElectionTimer(now)
		if v.isVoter() {
			v.raftNode.Campaign()
		}
	}
}

// isVoter reports whether it is admitted as a voter, as far as it knows.
func (v *voter) isVoter() bool {
	for _, id := range v.storage.confState.Voters {
		if id == v.self.raftID() {
			return true
		}
	}
	return false
}

func (v *voter) step(now time.Duration, p *raftMessage, from string) {
	m := new(raftpb.Message)
	// Guard: messages to an earlier incarnation of this voter must be ignored.
	if p.To != v.self.raftID() || proto.Unmarshal(p.Body, m) != nil || m.GetFrom() != p.From || m.GetTo() != p.To {
		return
	}
	v.managerNames[p.From] = from
	switch m.GetType() {
	case raftpb.MessageType_MsgApp, raftpb.MessageType_MsgHeartbeat, raftpb.MessageType_MsgSnap:
		if m.GetTerm() >= v.raftNode.BasicStatus().GetTerm() {
			v.resetElectionTimer(now)
		}
	}
	v.raftNode.Step(m)
}

// processReady processes what raft has ready. Nothing is written to disk.
func (v *voter) processReady(now time.Duration) {
	for v.raftNode.HasReady() {
		rd := v.raftNode.Ready()
		if !raft.IsEmptySnap(rd.Snapshot) {
			must(v.storage.ApplySnapshot(rd.Snapshot))
			l := ledger{}
			must(cborDecMode.Unmarshal(rd.Snapshot.GetData(), &l))
			v.ledger, v.storage.confState = l, rd.Snapshot.GetMetadata().GetConfState()
			v.storage.applied = rd.Snapshot.GetMetadata().GetIndex()
			v.updateReplicas()
		}
		must(v.storage.Append(rd.Entries))
		if !raft.IsEmptyHardState(rd.HardState) {
			must(v.storage.SetHardState(rd.HardState))
		}
		for _, m := range rd.Messages {
			switch m.GetType() {
			case raftpb.MessageType_MsgSnap:
				v.snapshotSentAt[m.GetTo()] = now
			case raftpb.MessageType_MsgVoteResp:
				if !m.GetReject() {
					v.resetElectionTimer(now)
				}
			}
			v.outgoing = append(v.outgoing, m)
		}
		for _, e := range rd.CommittedEntries {
			v.applyEntry(e)
		}
		for _, r := range rd.ReadStates {
			v.confirmedReads = append(v.confirmedReads, r.RequestCtx)
		}
		v.raftNode.Advance(rd)
	}
	if first, err := v.storage.FirstIndex(); err == nil && v.storage.applied > first+compactionThreshold {
		_, err := v.storage.Snapshot()
		must(err)
		must(v.storage.Compact(v.storage.applied - retainedEntries))
	}
	v.isLeader = v.raftNode.BasicStatus().RaftState == raft.StateLeader
}

func (v *voter) applyEntry(e *raftpb.Entry) {
	v.storage.applied = e.GetIndex()
	switch e.GetType() {
	case raftpb.EntryType_EntryNormal:
		var x logEntry
		if len(e.GetData()) == 0 || cborDecMode.Unmarshal(e.GetData(), &x) != nil {
			return
		}
		if x.Enforce != 0 {
			v.ledger.putInForce(x.Enforce)
			return
		}
		d := new(Document)
		if cborDecMode.Unmarshal(x.EncodedDocument, d) == nil {
			v.ledger.accept(d)
		}
	case raftpb.EntryType_EntryConfChangeV2:
		c := new(raftpb.ConfChangeV2)
		must(proto.Unmarshal(e.GetData(), c))
		var m Replica
		if len(c.GetContext()) > 0 && cborDecMode.Unmarshal(c.GetContext(), &m) == nil {
			v.ledger.Replicas[m.raftID()] = m
		}
		v.storage.confState = v.raftNode.ApplyConfChange(c)
		v.updateReplicas()
	}
}

// updateReplicas drops the Replicas that are no longer in the raft configuration, and records
// the names of the others.
func (v *voter) updateReplicas() {
	in := map[uint64]bool{}
	for _, ids := range [][]uint64{v.storage.confState.Voters, v.storage.confState.VotersOutgoing, v.storage.confState.Learners, v.storage.confState.LearnersNext} {
		for _, id := range ids {
			in[id] = true
		}
	}
	for id, m := range v.ledger.Replicas {
		if v.managerNames[id] = m.Name; !in[id] {
			delete(v.ledger.Replicas, id)
		}
	}
}

// admitReplica admits a new incarnation of a voter: first as a learner, then as a voter that
// replaces all its earlier incarnations.
func (v *voter) admitReplica(m Replica) {
	c := &raftpb.ConfChangeV2{Context: encode(m)}
	change := func(t raftpb.ConfChangeType, id uint64) {
		c.Changes = append(c.Changes, &raftpb.ConfChangeSingle{Type: &t, NodeId: &id})
	}
	status := v.raftNode.Status()
	p, in := status.Progress[m.raftID()]
	switch {
	case len(v.storage.confState.VotersOutgoing) > 0 || in && !p.IsLearner:
		return // another change is under way, or it is a voter already
	case !in:
		for _, o := range v.ledger.Replicas {
			if o.Name == m.Name && o.Incarnation >= m.Incarnation {
				return // Guard: an older incarnation must not replace a newer one
			}
		}
		change(raftpb.ConfChangeType_ConfChangeAddLearnerNode, m.raftID())
	case p.Match >= status.GetCommit():
		change(raftpb.ConfChangeType_ConfChangeAddNode, m.raftID())
		for _, o := range sortedByName(mapValues(v.ledger.Replicas), func(o Replica) string { return string(encode(o)) }) {
			if o.Name == m.Name && o != m {
				change(raftpb.ConfChangeType_ConfChangeRemoveNode, o.raftID())
			}
		}
	default:
		return // it has not caught up with the log
	}
	v.raftNode.ProposeConfChange(c)
}

func mapValues[K comparable, V any](m map[K]V) (out []V) {
	for _, v := range m {
		out = append(out, v)
	}
	return out
}
