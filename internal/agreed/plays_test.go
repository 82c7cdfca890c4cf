package agreed

import (
	"errors"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"
)

var all = flag.Bool("all", false, "1,000 random plays, and more orders")

// play is 12 s of a fleet of five with faults from a seed, then 8 s without.
func play(seed uint64, f flaw) *fleet {
	w := newFleet(5, 5, seed, f)
	w.run(3 * time.Second)
	for step := 0; w.now < 15*time.Second; step++ {
		m := w.managers[w.rng.IntN(5)]
		switch w.rng.IntN(10) {
		case 0:
			p := w.rng.Perm(5)
			w.part(p[:2], false)
		case 1:
			w.part([]int{m.i}, false)
		case 2:
			w.part(w.rng.Perm(5)[:1+w.rng.IntN(2)], true)
		case 3:
			clear(w.cut)
		case 4:
			w.loss = 0.3 * float64(w.rng.IntN(2))
		case 5:
			if l := w.leader(); l != nil {
				m = l
			}
			w.stop(m, time.Duration(w.rng.IntN(6000))*time.Millisecond)
		case 6: // one that is in place only, lest a majority forgets
			if !slices.ContainsFunc(w.managers, func(m *manager) bool { return !m.voter.votes() || len(m.voter.ledger.Replicas) != 5 }) {
				m.span = nil
				w.start(m, m.voter.self.Incarnation+1, nil)
			}
		default:
			w.submit(m, fmt.Sprint("n", step))
			if w.rng.IntN(3) == 0 {
				w.submit(w.managers[w.rng.IntN(5)], fmt.Sprint("o", step))
			}
		}
		w.run(time.Duration(w.rng.IntN(900)) * time.Millisecond)
	}
	clear(w.cut)
	w.loss = 0
	w.run(8 * time.Second)
	return w
}

// In no play do two act on versions that contradict, at any time; what they act on is
// one register; and all is in order again when the faults are over.
func TestPlays(t *testing.T) {
	plays, versions := uint64(40), uint64(0)
	if *all {
		plays = 1000
	}
	for seed := range plays {
		w := play(seed, noFlaw)
		if w.longest > 0 {
			t.Errorf("seed %d: contradicting versions were acted on for %v", seed, w.longest)
		}
		if !w.register() {
			t.Errorf("seed %d: not one register: %v", seed, w.history)
		}
		d := w.submit(w.managers[seed%5], "last")
		if w.inForce(d.Version, 2*time.Second, w.managers...) < 0 {
			t.Errorf("seed %d: version %d is not in force after the faults", seed, d.Version)
		}
		for term, by := range w.leaders {
			if len(by) > 1 {
				t.Errorf("seed %d: term %d had %d leaders", seed, term, len(by))
			}
		}
		versions += d.Version
	}
	t.Logf("%d plays, %d versions in force", plays, versions)
}

// The judge finds the fault where the lease or the wait is left out.
func TestPlaysFindFlaws(t *testing.T) {
	for _, f := range []flaw{noLease, noWait} {
		found, torn, longest := 0, 0, time.Duration(0)
		for seed := range uint64(12) {
			w := play(seed, f)
			longest = max(longest, w.longest)
			if w.longest > 0 {
				found++
			}
			if !w.register() {
				torn++
			}
		}
		if found == 0 || torn == 0 || f == noLease && longest < 2*time.Second {
			t.Errorf("flaw %d: found in %d of 12 plays, longest %v", f, found, longest)
		}
		t.Logf("flaw %d: found in %d of 12 plays, longest %v; no one register in %d", f, found, longest, torn)
	}
}

// One that can't be reached delays a version by no more than T, and acts on the old one
// no longer than that; one that can be reached keeps to both meanwhile.
func TestCutOff(t *testing.T) {
	w := newFleet(5, 5, 1, noFlaw)
	w.run(4 * time.Second)
	one := w.submit(w.managers[0], "n1")
	if w.inForce(one.Version, time.Second, w.managers...) < 0 {
		t.Fatal("the first version does not come")
	}
	off := w.managers[(w.leader().i+1)%5]
	w.part([]int{off.i}, false)
	rest := slices.DeleteFunc(slices.Clone(w.managers), func(m *manager) bool { return m == off })
	two := w.submit(rest[0], "n2")
	w.run(500 * time.Millisecond)
	if e, ok := rest[1].Effective(rest[1].clock(w.now)); !ok || e.NoLease || !e.DisabledNodes["n1"] || !e.DisabledNodes["n2"] {
		t.Errorf("a manager that can be reached does %+v", e)
	}
	if took := w.inForce(two.Version, 2*time.Second, rest...); took < 0 {
		t.Error("one that is cut off holds up a version for over T")
	}
	if e, ok := off.Effective(off.clock(w.now)); !ok || !e.NoLease || !e.DisabledNodes["n1"] {
		t.Errorf("the one that is cut off does %+v", e)
	}
}

// A manager that was stopped has no lease at its next decision, before it hears anything.
func TestStopped(t *testing.T) {
	w := newFleet(3, 3, 2, noFlaw)
	w.run(4 * time.Second)
	w.inForce(w.submit(w.managers[0], "n").Version, time.Second, w.managers...)
	m := w.managers[2]
	if e, ok := m.Effective(m.clock(w.now)); !ok || e.NoLease {
		t.Errorf("before: %+v, %v", e, ok)
	}
	if e, ok := m.Effective(m.clock(w.now + 6*time.Second)); !ok || !e.NoLease {
		t.Errorf("after 3 T: %+v, %v", e, ok)
	}
}

// One number with two contents is a conflict that is told; a bad version and one that
// replaces another than the last are turned down, and the last good one stays.
func TestTurnedDown(t *testing.T) {
	w := newFleet(5, 5, 3, noFlaw)
	w.run(4 * time.Second)
	a, b := w.submit(w.managers[1], "a"), w.submit(w.managers[2], "b")
	w.submit(w.managers[3], "bad")
	w.run(3 * time.Second)
	w.give(w.managers[4], Event{Kind: EventSubmit, Document: &Document{Version: 9, Replaces: 8}})
	w.run(time.Second)
	var (
		clash *VersionConflictError
		wrong *InvalidVersionError
		hole  *VersionGapError
	)
	ta, tb := w.managers[1].told[0].Err, w.managers[2].told[0].Err
	if a.Version != b.Version || (ta == nil) == (tb == nil) || !errors.As(errors.Join(ta, tb), &clash) {
		t.Errorf("two contents of version %d were told %v and %v", a.Version, ta, tb)
	}
	if err := w.managers[3].told[0].Err; !errors.As(err, &wrong) || wrong.Reason != "bad" {
		t.Errorf("a bad version was told %v", err)
	}
	if err := w.managers[4].told[0].Err; !errors.As(err, &hole) || hole.LastVersion != 1 {
		t.Errorf("version 9 over 8 was told %v", err)
	}
	if w.inForce(1, time.Second, w.managers...) < 0 {
		t.Error("version 1 is not in force")
	}
}
