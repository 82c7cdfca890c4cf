package agreed

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// From a submission until all that can be reached act on it alone, at three sizes:
// whole, with one manager cut off, and with the leader and a third of the fleet cut off.
// Run with -v for the figures; without -all it is 5 managers only.
func TestTimeToForce(t *testing.T) {
	sizes := []int{5}
	if *all {
		sizes = []int{5, 80, 300}
	}
	for _, n := range sizes {
		for _, kind := range []string{"whole", "one cut off", "leader's side cut off"} {
			var took []time.Duration
			var messages, bytes int
			for seed := range uint64(5) {
				w := newFleet(n, 5, 100+seed, noFlaw)
				w.judged = false
				w.run(4 * time.Second)
				rest := slices.Clone(w.managers)
				first := w.submit(w.managers[4], "n1")
				if w.inForce(first.Version, 4*time.Second, rest...) < 0 {
					t.Fatalf("%d managers: the first version does not come", n)
				}
				var off []int
				lead := w.leader().i
				switch kind {
				case "one cut off":
					off = []int{(lead + 1) % 5}
				case "leader's side cut off":
					off = []int{lead, (lead + 1) % 5}
					for i := 5; i < n/3; i++ {
						off = append(off, i)
					}
				}
				w.part(off, false)
				rest = slices.DeleteFunc(rest, func(m *manager) bool { return slices.Contains(off, m.i) })
				w.messages, w.bytes = 0, 0
				d := w.submit(rest[len(rest)-1], "n2", fmt.Sprint(seed))
				took = append(took, w.inForce(d.Version, 8*time.Second, rest...))
				messages, bytes = messages+w.messages, bytes+w.bytes
			}
			slices.Sort(took)
			if took[0] < 0 {
				t.Errorf("%d managers, %s: not in force in 8 s", n, kind)
			}
			t.Logf("%d managers, %s: in force everywhere after %v (%v to %v), %d messages, %d bytes meanwhile",
				n, kind, took[2].Round(time.Millisecond), took[0].Round(time.Millisecond), took[4].Round(time.Millisecond), messages/5, bytes/5)
		}
		w := newFleet(n, 5, 99, noFlaw)
		w.judged = false
		w.run(4 * time.Second)
		w.messages, w.bytes = 0, 0
		w.run(10 * time.Second)
		t.Logf("%d managers at rest: %.0f messages and %.0f bytes a second", n, float64(w.messages)/10, float64(w.bytes)/10)
	}
}

// A voter that comes back without memory is a new Member in the place of the old one,
// twice in a row, and the leader too; the fleet decides on. Back under its old name it
// votes anew in a term in which it has voted: two then lead one term.
func TestForgetful(t *testing.T) {
	w := newFleet(5, 5, 4, noFlaw)
	w.run(4 * time.Second)
	for n := range 6 {
		m := w.managers[n%5]
		if n%2 == 1 {
			m = w.leader()
		}
		w.start(m, m.voter.self.Incarnation+1, nil)
		w.run(3 * time.Second)
		l := w.leader()
		if l == nil || len(l.voter.ledger.Replicas) != 5 || len(l.voter.store.conf.Voters) != 5 || !m.voter.votes() {
			t.Fatalf("start %d: %d is not in the place of its earlier life", n, m.i)
		}
		if d := w.submit(m, fmt.Sprint(n)); w.inForce(d.Version, time.Second, w.managers...) < 0 {
			t.Fatalf("start %d: version %d is not in force", n, d.Version)
		}
	}
	// Two elect one of them while the third hears nothing. Then the one that voted
	// starts again, and hears the third only, which stands for the same term.
	leaders := func(incarnation uint64, founders bool) (most int) {
		w := newFleet(3, 3, 5, noFlaw)
		apart := func(i, j int) {
			clear(w.cut)
			for _, p := range [][2]int{{0, 1}, {1, 2}, {0, 2}} {
				w.cut[p] = p != [2]int{min(i, j), max(i, j)}
				w.cut[[2]int{p[1], p[0]}] = w.cut[p]
			}
		}
		w.run(2 * time.Second)
		apart(0, 0)
		w.run(3 * time.Second)
		apart(0, 1)
		w.run(2 * time.Second)
		voted := w.managers[1-w.leader().i]
		apart(voted.i, 2)
		var first []Replica
		if founders {
			first = w.conf.InitialReplicas
		}
		w.start(voted, incarnation, first)
		w.run(3 * time.Second)
		for _, by := range w.leaders {
			most = max(most, len(by))
		}
		return most
	}
	if n := leaders(2, false); n != 1 {
		t.Errorf("%d leaders in a term", n)
	}
	if n := leaders(1, true); n != 2 {
		t.Errorf("back under the old name: %d leaders in a term, so that the test finds nothing", n)
	}
}
