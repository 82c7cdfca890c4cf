package agreement

import (
	"bytes"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

// modelState is a state of a model of three lease holders and a leader whose log takes no time.
// It consists of the program's own types and the messages in flight. Times are whole steps; a
// lease lasts one step.
type modelState struct {
	now           time.Duration
	holders       [3]holder
	ledger        ledger
	lessor        lessor
	inFlight      []message // may arrive in any order
	leaderChanges int       // that may still happen
	maxRequests   [3]uint64 // by each holder, including the first
}

var modelVersions = []*Document{nil, {Version: 1}, {Version: 2, Replaces: 1, DisabledNodes: []string{"n"}}}

func newModelState(injected protocolFault, maxRequests [3]uint64) modelState {
	state := modelState{ledger: ledger{InForce: modelVersions[1], Hashes: map[uint64]uint64{1: 1}}, lessor: *newLessor(1, -1, injected), leaderChanges: 2, maxRequests: maxRequests}
	for i := range state.holders {
		h := holder{id: uint64(i), leaseLength: 1, inForce: modelVersions[1], requestedAt: map[uint64]time.Duration{}, fault: injected}
		state.lessor.recordRenewal(0, "", h.nextRenewal(0))
		h.applyGrant(&grant{HolderID: h.id, Seq: 1, InForce: 1}, nil)
		state.holders[i] = h
	}
	return state
}

func (state modelState) clone() modelState {
	state.ledger.Hashes, state.lessor.leases, state.inFlight = maps.Clone(state.ledger.Hashes), maps.Clone(state.lessor.leases), slices.Clone(state.inFlight)
	for i := range state.holders {
		state.holders[i].requestedAt = maps.Clone(state.holders[i].requestedAt)
	}
	return state
}

// key returns a hash that identifies the state. Messages in flight have no order, and the first
// two holders are interchangeable if they may send the same number of requests.
func (state *modelState) key() uint64 {
	var each [3][]byte
	for i, h := range state.holders {
		lease := state.lessor.leases[h.id]
		each[i] = append(each[i], byte(h.leaseExpiry), byte(h.inForce.Version), byte(h.seq), byte(lease.expiry), byte(lease.boundBy))
		if h.pending != nil {
			each[i] = append(each[i], 'n')
		}
		for s := range h.seq {
			each[i] = append(each[i], byte(h.requestedAt[s+1]))
		}
		var s []string
		for _, m := range state.inFlight {
			if r := m.Renewal; r != nil && r.HolderID == h.id {
				s = append(s, string([]byte{'r', byte(r.Seq), byte(r.InForce), byte(r.Pending)}))
			} else if g := m.Grant; g != nil && g.HolderID == h.id {
				s = append(s, string([]byte{'g', byte(g.Seq), byte(g.InForce), byte(g.Pending)}))
			}
		}
		slices.Sort(s)
		each[i] = append(each[i], strings.Join(s, "")...)
	}
	if state.maxRequests[0] == state.maxRequests[1] && bytes.Compare(each[0], each[1]) > 0 {
		each[0], each[1] = each[1], each[0]
	}
	k := []byte{byte(state.now), byte(state.ledger.versionInForce()), byte(state.ledger.lastVersion()), byte(state.lessor.leaderSince), byte(state.leaderChanges)}
	return xxhash.Sum64(bytes.Join(append(each[:], k), []byte{0xff}))
}

// successors returns all states that can come next. Loss, delay and process pauses need no step
// of their own, since each message in flight and each possible step may be left out forever.
func (state modelState) successors() (out []modelState) {
	add := func(do func(state *modelState)) { n := state.clone(); do(&n); out = append(out, n) }
	if state.now < 2 {
		add(func(state *modelState) { state.now++ })
	}
	if state.ledger.lastVersion() == 1 {
		add(func(state *modelState) { state.ledger.accept(modelVersions[2]) })
	} else if c := state.clone(); state.ledger.Pending != nil && c.lessor.allBoundBy(state.now, 2) {
		add(func(state *modelState) { state.ledger.putInForce(2) })
	}
	if state.leaderChanges > 0 { // a new leader, which knows of no lease
		add(func(state *modelState) {
			state.leaderChanges--
			state.lessor = *newLessor(1, state.now, state.lessor.fault)
		})
	}
	for i, h := range state.holders {
		if limit := state.maxRequests[i]; h.seq < limit {
			add(func(state *modelState) {
				state.inFlight = append(state.inFlight, message{Renewal: state.holders[i].nextRenewal(state.now)})
			})
		}
	}
	for i, m := range state.inFlight {
		add(func(state *modelState) {
			state.inFlight = slices.Delete(state.inFlight, i, i+1)
			if r := m.Renewal; r != nil {
				state.lessor.recordRenewal(state.now, "", r)
				g := &grant{HolderID: r.HolderID, Seq: r.Seq, InForce: state.ledger.versionInForce()}
				if state.ledger.Pending != nil {
					g.Pending = 2
				}
				state.inFlight = append(state.inFlight, message{Grant: g})
				return
			}
			state.holders[m.Grant.HolderID].applyGrant(m.Grant, modelVersions[1:])
		})
	}
	return out
}

// conflicting reports whether two holders act on incompatible versions.
func (state *modelState) conflicting() bool {
	var active [3]bool // by version: a holder acts on that version only
	for _, h := range state.holders {
		if h.hasLease(state.now) && h.pending == nil {
			active[h.inForce.Version] = true
		}
	}
	return active[1] && active[2]
}

// explore visits all reachable states, but at most limit. It returns their number and whether one
// is conflicting.
func explore(injected protocolFault, maxRequests [3]uint64, limit int) (states int, conflict bool) {
	seen, todo := map[uint64]bool{}, []modelState{newModelState(injected, maxRequests)}
	for len(todo) > 0 && len(seen) < limit {
		state := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		for _, n := range state.successors() {
			if k := n.key(); !seen[k] {
				if seen[k] = true; n.conflicting() {
					return len(seen), true
				}
				todo = append(todo, n)
			}
		}
	}
	return len(seen), false
}

// Explores all orders of events with three managers, two versions and two changes of leader. In
// none of them may two managers act on incompatible versions. With the lease or the wait for
// leases disabled, the exploration must find a conflict.
func TestExplore(t *testing.T) {
	requestLimits := [][3]uint64{{2, 2, 2}} // each has sent one request, and sends one more
	if *exhaustive {
		requestLimits = append(requestLimits, [3]uint64{2, 2, 3}, [3]uint64{1, 2, 4})
	}
	for _, maxRequests := range requestLimits {
		n, conflict := explore(faultNone, maxRequests, 1<<23)
		if conflict || n == 1<<23 {
			t.Errorf("%d states, conflict: %v", n, conflict)
		}
		t.Logf("request limits %v: %d states", maxRequests, n)
	}
	for _, fault := range []protocolFault{faultNoLease, faultNoWait} {
		n, conflict := explore(fault, requestLimits[0], 1<<23)
		if !conflict {
			t.Errorf("fault %d: no conflict found in %d states", fault, n)
		}
		t.Logf("fault %d: conflict found after %d states", fault, n)
	}
}
