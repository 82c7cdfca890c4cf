package agreement

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Measures the time from a submission until all reachable managers act on that version only, for
// three sizes of fleet: without faults, with one manager isolated, and with the leader and a third
// of the fleet isolated. -v prints the figures; without -all only a fleet of 5 managers runs.
func TestTimeToForce(t *testing.T) {
	sizes := []int{5}
	if *exhaustive {
		sizes = []int{5, 80, 300}
	}
	for _, n := range sizes {
		for _, scenario := range []string{"no fault", "one isolated", "leader's side isolated"} {
			var took []time.Duration
			var messages, bytes int
			for seed := range uint64(5) {
				sim := newSimulation(n, 5, 100+seed, faultNone)
				sim.checked = false
				sim.run(4 * time.Second)
				reachable := slices.Clone(sim.managers)
				first := sim.submit(sim.managers[4], "n1")
				if sim.timeToForce(first.Version, 4*time.Second, reachable...) < 0 {
					t.Fatalf("%d managers: the first version does not come into force", n)
				}
				var isolated []int
				lead := sim.leader().index
				switch scenario {
				case "one isolated":
					isolated = []int{(lead + 1) % 5}
				case "leader's side isolated":
					isolated = []int{lead, (lead + 1) % 5}
					for i := 5; i < n/3; i++ {
						isolated = append(isolated, i)
					}
				}
				sim.partition(isolated, false)
				reachable = slices.DeleteFunc(reachable, func(m *simManager) bool { return slices.Contains(isolated, m.index) })
				sim.messages, sim.bytes = 0, 0
				d := sim.submit(reachable[len(reachable)-1], "n2", fmt.Sprint(seed))
				took = append(took, sim.timeToForce(d.Version, 8*time.Second, reachable...))
				messages, bytes = messages+sim.messages, bytes+sim.bytes
			}
			slices.Sort(took)
			if took[0] < 0 {
				t.Errorf("%d managers, %s: not in force within 8 s", n, scenario)
			}
			t.Logf("%d managers, %s: in force everywhere after %v (%v to %v), with %d messages of %d bytes in total",
				n, scenario, took[2].Round(time.Millisecond), took[0].Round(time.Millisecond), took[4].Round(time.Millisecond), messages/5, bytes/5)
		}
		sim := newSimulation(n, 5, 99, faultNone)
		sim.checked = false
		sim.run(4 * time.Second)
		sim.messages, sim.bytes = 0, 0
		sim.run(10 * time.Second)
		t.Logf("%d managers in steady state: %.0f messages and %.0f bytes a second", n, float64(sim.messages)/10, float64(sim.bytes)/10)
	}
}

// A voter that restarts has lost its state. As a new Replica it replaces the old one, also twice
// in a row and when it was the leader, and the fleet goes on. If it restarted as the same Replica,
// it could vote again in a term in which it has voted, and that term would have two leaders.
func TestVoterRestarts(t *testing.T) {
	sim := newSimulation(5, 5, 4, faultNone)
	sim.run(4 * time.Second)
	for n := range 6 {
		m := sim.managers[n%5]
		if n%2 == 1 {
			m = sim.leader()
		}
		sim.startManager(m, m.voter.self.Incarnation+1, nil)
		sim.run(3 * time.Second)
		l := sim.leader()
		if l == nil || len(l.voter.ledger.Replicas) != 5 || len(l.voter.storage.confState.Voters) != 5 || !m.voter.isVoter() {
			t.Fatalf("restart %d: manager %d did not replace its earlier incarnation", n, m.index)
		}
		if d := sim.submit(m, fmt.Sprint(n)); sim.timeToForce(d.Version, time.Second, sim.managers...) < 0 {
			t.Fatalf("restart %d: version %d is not in force", n, d.Version)
		}
	}
	// Two voters elect one of them while the third is isolated. Then the one that voted for the
	// other restarts, and reaches only the third, which campaigns for the same term.
	maxLeadersPerTerm := func(incarnation uint64, keepInitial bool) (most int) {
		sim := newSimulation(3, 3, 5, faultNone)
		linkOnly := func(i, j int) {
			clear(sim.blocked)
			for _, p := range [][2]int{{0, 1}, {1, 2}, {0, 2}} {
				sim.blocked[p] = p != [2]int{min(i, j), max(i, j)}
				sim.blocked[[2]int{p[1], p[0]}] = sim.blocked[p]
			}
		}
		sim.run(2 * time.Second)
		linkOnly(0, 0)
		sim.run(3 * time.Second)
		linkOnly(0, 1)
		sim.run(2 * time.Second)
		voted := sim.managers[1-sim.leader().index]
		linkOnly(voted.index, 2)
		var initial []Replica
		if keepInitial {
			initial = sim.config.InitialReplicas
		}
		sim.startManager(voted, incarnation, initial)
		sim.run(3 * time.Second)
		for _, by := range sim.leadersByTerm {
			most = max(most, len(by))
		}
		return most
	}
	if n := maxLeadersPerTerm(2, false); n != 1 {
		t.Errorf("%d leaders in a term, want 1", n)
	}
	if n := maxLeadersPerTerm(1, true); n != 2 {
		t.Errorf("restart as the same Replica: %d leaders in a term, want 2: the test would not find the fault", n)
	}
}
