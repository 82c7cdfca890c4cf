package agreement

import (
	"errors"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"
)

var exhaustive = flag.Bool("all", false, "run 1,000 random simulations, explore more orders of events, and measure larger fleets")

// runRandom simulates a fleet of five for 3 s without faults, 12 s with random faults from a seed,
// and 8 s without.
func runRandom(seed uint64, fault protocolFault) *simulation {
	sim := newSimulation(5, 5, seed, fault)
	sim.run(3 * time.Second)
	for step := 0; sim.now < 15*time.Second; step++ {
		m := sim.managers[sim.random.IntN(5)]
		switch sim.random.IntN(10) {
		case 0:
			p := sim.random.Perm(5)
			sim.partition(p[:2], false)
		case 1:
			sim.partition([]int{m.index}, false)
		case 2:
			sim.partition(sim.random.Perm(5)[:1+sim.random.IntN(2)], true)
		case 3:
			clear(sim.blocked)
		case 4:
			sim.lossRate = 0.3 * float64(sim.random.IntN(2))
		case 5:
			if l := sim.leader(); l != nil {
				m = l
			}
			sim.pause(m, time.Duration(sim.random.IntN(6000))*time.Millisecond)
		case 6: // only while all replicas are voters, so that no majority loses its state
			if !slices.ContainsFunc(sim.managers, func(m *simManager) bool { return !m.voter.isVoter() || len(m.voter.ledger.Replicas) != 5 }) {
				m.openRead = nil
				sim.startManager(m, m.voter.self.Incarnation+1, nil)
			}
		default:
			sim.submit(m, fmt.Sprint("n", step))
			if sim.random.IntN(3) == 0 {
				sim.submit(sim.managers[sim.random.IntN(5)], fmt.Sprint("o", step))
			}
		}
		sim.run(time.Duration(sim.random.IntN(900)) * time.Millisecond)
	}
	clear(sim.blocked)
	sim.lossRate = 0
	sim.run(8 * time.Second)
	return sim
}

// In no random run may two managers act on incompatible versions at any time. The versions acted
// on must be linearizable as one register, and new versions must come into force after the faults.
func TestRandomRuns(t *testing.T) {
	runs, versions := uint64(40), uint64(0)
	if *exhaustive {
		runs = 1000
	}
	for seed := range runs {
		sim := runRandom(seed, faultNone)
		if sim.longestConflict > 0 {
			t.Errorf("seed %d: incompatible versions were acted on for %v", seed, sim.longestConflict)
		}
		if !sim.linearizable() {
			t.Errorf("seed %d: not linearizable: %v", seed, sim.history)
		}
		d := sim.submit(sim.managers[seed%5], "last")
		if sim.timeToForce(d.Version, 2*time.Second, sim.managers...) < 0 {
			t.Errorf("seed %d: version %d is not in force after the faults", seed, d.Version)
		}
		for term, by := range sim.leadersByTerm {
			if len(by) > 1 {
				t.Errorf("seed %d: term %d had %d leaders", seed, term, len(by))
			}
		}
		versions += d.Version
	}
	t.Logf("%d random runs, %d versions in force", runs, versions)
}

// The checks must find the fault if the lease or the wait for leases is disabled.
func TestRandomRunsFindFaults(t *testing.T) {
	for _, fault := range []protocolFault{faultNoLease, faultNoWait} {
		found, notLinearizable, longest := 0, 0, time.Duration(0)
		for seed := range uint64(12) {
			sim := runRandom(seed, fault)
			longest = max(longest, sim.longestConflict)
			if sim.longestConflict > 0 {
				found++
			}
			if !sim.linearizable() {
				notLinearizable++
			}
		}
		if found == 0 || notLinearizable == 0 || fault == faultNoLease && longest < 2*time.Second {
			t.Errorf("fault %d: found in %d of 12 runs, longest conflict %v", fault, found, longest)
		}
		t.Logf("fault %d: found in %d of 12 runs, longest conflict %v; not linearizable in %d", fault, found, longest, notLinearizable)
	}
}

// An isolated manager delays a version by no more than T, and acts on the old one no longer than
// that. Meanwhile the reachable managers are bound by both versions.
func TestIsolatedManager(t *testing.T) {
	sim := newSimulation(5, 5, 1, faultNone)
	sim.run(4 * time.Second)
	first := sim.submit(sim.managers[0], "n1")
	if sim.timeToForce(first.Version, time.Second, sim.managers...) < 0 {
		t.Fatal("the first version does not come into force")
	}
	isolated := sim.managers[(sim.leader().index+1)%5]
	sim.partition([]int{isolated.index}, false)
	reachable := slices.DeleteFunc(slices.Clone(sim.managers), func(m *simManager) bool { return m == isolated })
	second := sim.submit(reachable[0], "n2")
	sim.run(500 * time.Millisecond)
	if e, ok := reachable[1].Effective(reachable[1].clock(sim.now)); !ok || e.NoLease || !e.DisabledNodes["n1"] || !e.DisabledNodes["n2"] {
		t.Errorf("effective at a reachable manager: %+v", e)
	}
	if took := sim.timeToForce(second.Version, 2*time.Second, reachable...); took < 0 {
		t.Error("an isolated manager delays a version by more than T")
	}
	if e, ok := isolated.Effective(isolated.clock(sim.now)); !ok || !e.NoLease || !e.DisabledNodes["n1"] {
		t.Errorf("effective at the isolated manager: %+v", e)
	}
}

// After a process pause a manager has no lease at its next decision, before it receives anything.
func TestPausedManager(t *testing.T) {
	sim := newSimulation(3, 3, 2, faultNone)
	sim.run(4 * time.Second)
	sim.timeToForce(sim.submit(sim.managers[0], "n").Version, time.Second, sim.managers...)
	m := sim.managers[2]
	if e, ok := m.Effective(m.clock(sim.now)); !ok || e.NoLease {
		t.Errorf("effective before the pause: %+v, %v", e, ok)
	}
	if e, ok := m.Effective(m.clock(sim.now + 6*time.Second)); !ok || !e.NoLease {
		t.Errorf("effective after a pause of 3 T: %+v, %v", e, ok)
	}
}

// A version number with two different contents gives one of the authors a conflict. An invalid
// version and one that does not replace the last one are rejected, and the last valid one stays in
// force.
func TestRejectedVersions(t *testing.T) {
	sim := newSimulation(5, 5, 3, faultNone)
	sim.run(4 * time.Second)
	a, b := sim.submit(sim.managers[1], "a"), sim.submit(sim.managers[2], "b")
	sim.submit(sim.managers[3], "bad")
	sim.run(3 * time.Second)
	sim.deliver(sim.managers[4], Event{Kind: EventSubmit, Document: &Document{Version: 9, Replaces: 8}})
	sim.run(time.Second)
	var (
		conflict *VersionConflictError
		invalid  *InvalidVersionError
		gap      *VersionGapError
	)
	resultA, resultB := sim.managers[1].results[0].Err, sim.managers[2].results[0].Err
	if a.Version != b.Version || (resultA == nil) == (resultB == nil) || !errors.As(errors.Join(resultA, resultB), &conflict) {
		t.Errorf("results of two contents of version %d: %v and %v", a.Version, resultA, resultB)
	}
	if err := sim.managers[3].results[0].Err; !errors.As(err, &invalid) || invalid.Reason != "bad" {
		t.Errorf("result of an invalid version: %v", err)
	}
	if err := sim.managers[4].results[0].Err; !errors.As(err, &gap) || gap.LastVersion != 1 {
		t.Errorf("result of version 9 that replaces 8: %v", err)
	}
	if sim.timeToForce(1, time.Second, sim.managers...) < 0 {
		t.Error("version 1 is not in force")
	}
}
