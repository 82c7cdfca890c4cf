package agreed

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
	patience = 10  // ticks without a leader until a voter stands for election, up to twice that
	keptLog  = 32  // entries that are kept for a voter that is behind
	longLog  = 128 // entries after which the log is cut
)

// voter drives one Member of the replicated log. The engine's own timeouts are by
// chance; here they come from the seed: a follower is never ticked, forgets its
// leader after patience, and is told to campaign.
type voter struct {
	self    Replica
	node    *raft.RawNode
	store   *store
	ledger  ledger
	chance  *rand.Rand
	tick    time.Duration
	contact time.Duration // when a leader was last heard of
	stand   time.Duration // when to stand for election
	leads   bool
	names   map[uint64]string        // of members, as far as known
	snaps   map[uint64]time.Duration // when a snapshot was sent to whom
	reads   [][]byte                 // confirmed rounds
	out     []*raftpb.Message
}

// store is the log in memory. It makes a snapshot when one is asked for, so that it
// names those who were let in last.
type store struct {
	*raft.MemoryStorage
	applied uint64
	conf    *raftpb.ConfState
	ledger  *ledger
}

func (s *store) Snapshot() (*raftpb.Snapshot, error) {
	if _, err := s.CreateSnapshot(s.applied, s.conf, encode(s.ledger)); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
		return nil, err
	}
	return s.MemoryStorage.Snapshot()
}

var silent = &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}

// newVoter is a Member at its start. founders are the first Members of all, the same
// for each of them; without them it knows nothing and waits to be let in.
func newVoter(now, tick time.Duration, self Replica, founders []Replica, chance *rand.Rand) *voter {
	v := &voter{self: self, chance: chance, tick: tick, names: map[uint64]string{}, snaps: map[uint64]time.Duration{},
		ledger: ledger{Hashes: map[uint64]uint64{}, Replicas: map[uint64]Replica{}}}
	v.store = &store{MemoryStorage: raft.NewMemoryStorage(), ledger: &v.ledger, conf: &raftpb.ConfState{}}
	if founders != nil {
		for _, m := range founders {
			v.ledger.Replicas[m.id()] = m
			v.names[m.id()] = m.Name
			v.store.conf.Voters = append(v.store.conf.Voters, m.id())
		}
		one := uint64(1)
		s := &raftpb.Snapshot{Data: encode(&v.ledger), Metadata: &raftpb.SnapshotMetadata{Index: &one, Term: &one, ConfState: v.store.conf}}
		must(v.store.ApplySnapshot(s))
		must(v.store.SetHardState(&raftpb.HardState{Term: &one, Commit: &one}))
		v.store.applied = 1
	}
	var err error
	v.node, err = raft.NewRawNode(&raft.Config{
		ID: self.id(), ElectionTick: patience, HeartbeatTick: 1, Storage: v.store, Applied: v.store.applied,
		MaxSizePerMsg: MaxDocumentBytes, MaxInflightMsgs: 64, CheckQuorum: true, PreVote: true, Logger: silent,
	})
	must(err)
	v.heard(now)
	return v
}

// must is for what fails only if this package itself is wrong.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

func (v *voter) heard(now time.Duration) {
	v.contact = now
	v.stand = now + patience*v.tick + time.Duration(v.chance.Int64N(int64(patience*v.tick)))
}

// turn is one tick.
func (v *voter) turn(now time.Duration) {
	if v.leads {
		v.node.Tick()
		for _, id := range slices.Sorted(maps.Keys(v.snaps)) {
			if now >= v.snaps[id]+patience*v.tick { // the engine waits for word of it, and it may be lost
				delete(v.snaps, id)
				v.node.ReportSnapshot(id, raft.SnapshotFinish)
			}
		}
		return
	}
	if now >= v.contact+patience*v.tick {
		v.node.ForgetLeader() // it may vote for another from now on
	}
	if now >= v.stand {
		v.heard(now)
		if v.votes() {
			v.node.Campaign()
		}
	}
}

// votes tells whether it is let in as a voter, as far as it knows.
func (v *voter) votes() bool {
	for _, id := range v.store.conf.Voters {
		if id == v.self.id() {
			return true
		}
	}
	return false
}

func (v *voter) step(now time.Duration, p *raftPart, from string) {
	m := new(raftpb.Message)
	// Guard: what is meant for an earlier life of this name is not for this one.
	if p.To != v.self.id() || proto.Unmarshal(p.Body, m) != nil || m.GetFrom() != p.From || m.GetTo() != p.To {
		return
	}
	v.names[p.From] = from
	switch m.GetType() {
	case raftpb.MessageType_MsgApp, raftpb.MessageType_MsgHeartbeat, raftpb.MessageType_MsgSnap:
		if m.GetTerm() >= v.node.BasicStatus().GetTerm() {
			v.heard(now)
		}
	}
	v.node.Step(m)
}

// drain takes in what the engine has ready. Nothing of it waits for a disk.
func (v *voter) drain(now time.Duration) {
	for v.node.HasReady() {
		rd := v.node.Ready()
		if !raft.IsEmptySnap(rd.Snapshot) {
			must(v.store.ApplySnapshot(rd.Snapshot))
			l := ledger{}
			must(decoder.Unmarshal(rd.Snapshot.GetData(), &l))
			v.ledger, v.store.conf = l, rd.Snapshot.GetMetadata().GetConfState()
			v.store.applied = rd.Snapshot.GetMetadata().GetIndex()
			v.know()
		}
		must(v.store.Append(rd.Entries))
		if !raft.IsEmptyHardState(rd.HardState) {
			must(v.store.SetHardState(rd.HardState))
		}
		for _, m := range rd.Messages {
			switch m.GetType() {
			case raftpb.MessageType_MsgSnap:
				v.snaps[m.GetTo()] = now
			case raftpb.MessageType_MsgVoteResp:
				if !m.GetReject() {
					v.heard(now)
				}
			}
			v.out = append(v.out, m)
		}
		for _, e := range rd.CommittedEntries {
			v.apply(e)
		}
		for _, r := range rd.ReadStates {
			v.reads = append(v.reads, r.RequestCtx)
		}
		v.node.Advance(rd)
	}
	if first, err := v.store.FirstIndex(); err == nil && v.store.applied > first+longLog {
		_, err := v.store.Snapshot()
		must(err)
		must(v.store.Compact(v.store.applied - keptLog))
	}
	v.leads = v.node.BasicStatus().RaftState == raft.StateLeader
}

func (v *voter) apply(e *raftpb.Entry) {
	v.store.applied = e.GetIndex()
	switch e.GetType() {
	case raftpb.EntryType_EntryNormal:
		var x entry
		if len(e.GetData()) == 0 || decoder.Unmarshal(e.GetData(), &x) != nil {
			return
		}
		if x.Enforce != 0 {
			v.ledger.enforce(x.Enforce)
			return
		}
		d := new(Document)
		if decoder.Unmarshal(x.EncodedDocument, d) == nil {
			v.ledger.accept(d)
		}
	case raftpb.EntryType_EntryConfChangeV2:
		c := new(raftpb.ConfChangeV2)
		must(proto.Unmarshal(e.GetData(), c))
		var m Replica
		if len(c.GetContext()) > 0 && decoder.Unmarshal(c.GetContext(), &m) == nil {
			v.ledger.Replicas[m.id()] = m
		}
		v.store.conf = v.node.ApplyConfChange(c)
		v.know()
	}
}

// know drops Members that are out, and learns the names of those that are in.
func (v *voter) know() {
	in := map[uint64]bool{}
	for _, ids := range [][]uint64{v.store.conf.Voters, v.store.conf.VotersOutgoing, v.store.conf.Learners, v.store.conf.LearnersNext} {
		for _, id := range ids {
			in[id] = true
		}
	}
	for id, m := range v.ledger.Replicas {
		if v.names[id] = m.Name; !in[id] {
			delete(v.ledger.Replicas, id)
		}
	}
}

// admit lets a new life of a voter in: first to learn, then in the place of all the
// lives before it.
func (v *voter) admit(m Replica) {
	c := &raftpb.ConfChangeV2{Context: encode(m)}
	change := func(t raftpb.ConfChangeType, id uint64) {
		c.Changes = append(c.Changes, &raftpb.ConfChangeSingle{Type: &t, NodeId: &id})
	}
	status := v.node.Status()
	p, in := status.Progress[m.id()]
	switch {
	case len(v.store.conf.VotersOutgoing) > 0 || in && !p.IsLearner:
		return // another change is under way, or it is in
	case !in:
		for _, o := range v.ledger.Replicas {
			if o.Name == m.Name && o.Incarnation >= m.Incarnation {
				return // Guard: of two lives the later one counts
			}
		}
		change(raftpb.ConfChangeType_ConfChangeAddLearnerNode, m.id())
	case p.Match >= status.GetCommit():
		change(raftpb.ConfChangeType_ConfChangeAddNode, m.id())
		for _, o := range sorted(values(v.ledger.Replicas), func(o Replica) string { return string(encode(o)) }) {
			if o.Name == m.Name && o != m {
				change(raftpb.ConfChangeType_ConfChangeRemoveNode, o.id())
			}
		}
	default:
		return // it has not caught up
	}
	v.node.ProposeConfChange(c)
}

func values[K comparable, V any](m map[K]V) (out []V) {
	for _, v := range m {
		out = append(out, v)
	}
	return out
}
