package agreed

import (
	"errors"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"
)

var exhaustive = flag.Bool("all", false, "1,000 random plays, and more orders")

// runRandom is 12 s of a fleet of five with faults from a seed, then 8 s without.
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
		case 6: // one that is in place only, lest a majority forgets
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

// In no play do two act on versions that contradict, at any time; what they act on is
// one register; and all is in order again when the faults are over.
func TestRandomRuns(t *testing.T) {
	runs, versions := uint64(40), uint64(0)
	if *exhaustive {
		runs = 1000
	}
	for seed := range runs {
		sim := runRandom(seed, faultNone)
		if sim.longestConflict > 0 {
			t.Errorf("seed %d: contradicting versions were acted on for %v", seed, sim.longestConflict)
		}
		if !sim.linearizable() {
			t.Errorf("seed %d: not one register: %v", seed, sim.history)
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
	t.Logf("%d plays, %d versions in force", runs, versions)
}

// The judge finds the fault where the lease or the wait is left out.
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
			t.Errorf("flaw %d: found in %d of 12 plays, longest %v", fault, found, longest)
		}
		t.Logf("flaw %d: found in %d of 12 plays, longest %v; no one register in %d", fault, found, longest, notLinearizable)
	}
}

// One that can't be reached delays a version by no more than T, and acts on the old one
// no longer than that; one that can be reached keeps to both meanwhile.
func TestIsolatedManager(t *testing.T) {
	sim := newSimulation(5, 5, 1, faultNone)
	sim.run(4 * time.Second)
	first := sim.submit(sim.managers[0], "n1")
	if sim.timeToForce(first.Version, time.Second, sim.managers...) < 0 {
		t.Fatal("the first version does not come")
	}
	isolated := sim.managers[(sim.leader().index+1)%5]
	sim.partition([]int{isolated.index}, false)
	reachable := slices.DeleteFunc(slices.Clone(sim.managers), func(m *simManager) bool { return m == isolated })
	second := sim.submit(reachable[0], "n2")
	sim.run(500 * time.Millisecond)
	if e, ok := reachable[1].Effective(reachable[1].clock(sim.now)); !ok || e.NoLease || !e.DisabledNodes["n1"] || !e.DisabledNodes["n2"] {
		t.Errorf("a manager that can be reached does %+v", e)
	}
	if took := sim.timeToForce(second.Version, 2*time.Second, reachable...); took < 0 {
		t.Error("one that is cut off holds up a version for over T")
	}
	if e, ok := isolated.Effective(isolated.clock(sim.now)); !ok || !e.NoLease || !e.DisabledNodes["n1"] {
		t.Errorf("the one that is cut off does %+v", e)
	}
}

// A manager that was stopped has no lease at its next decision, before it hears anything.
func TestPausedManager(t *testing.T) {
	sim := newSimulation(3, 3, 2, faultNone)
	sim.run(4 * time.Second)
	sim.timeToForce(sim.submit(sim.managers[0], "n").Version, time.Second, sim.managers...)
	m := sim.managers[2]
	if e, ok := m.Effective(m.clock(sim.now)); !ok || e.NoLease {
		t.Errorf("before: %+v, %v", e, ok)
	}
	if e, ok := m.Effective(m.clock(sim.now + 6*time.Second)); !ok || !e.NoLease {
		t.Errorf("after 3 T: %+v, %v", e, ok)
	}
}

// One number with two contents is a conflict that is told; a bad version and one that
// replaces another than the last are turned down, and the last good one stays.
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
		t.Errorf("two contents of version %d were told %v and %v", a.Version, resultA, resultB)
	}
	if err := sim.managers[3].results[0].Err; !errors.As(err, &invalid) || invalid.Reason != "bad" {
		t.Errorf("a bad version was told %v", err)
	}
	if err := sim.managers[4].results[0].Err; !errors.As(err, &gap) || gap.LastVersion != 1 {
		t.Errorf("version 9 over 8 was told %v", err)
	}
	if sim.timeToForce(1, time.Second, sim.managers...) < 0 {
		t.Error("version 1 is not in force")
	}
}
