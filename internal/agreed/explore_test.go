package agreed

import (
	"bytes"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

// world is three holders and a leader whose log takes no time, at one moment: the code
// that runs, with all that the network holds. Times are whole steps; a lease is one.
type world struct {
	now     time.Duration
	holders [3]holder
	ledger  ledger
	lessor  lessor
	flight  []message // in any order
	faults  int       // that may still come
	asks    [3]uint64 // most by each
}

var versions = []*Document{nil, {Version: 1}, {Version: 2, Replaces: 1, DisabledNodes: []string{"n"}}}

func newWorld(f flaw, asks [3]uint64) world {
	w := world{ledger: ledger{InForce: versions[1], Hashes: map[uint64]uint64{1: 1}}, lessor: *newLessor(1, -1, f), faults: 2, asks: asks}
	for i := range w.holders {
		h := holder{number: uint64(i), length: 1, force: versions[1], asked: map[uint64]time.Duration{}, flaw: f}
		w.lessor.heard(0, "", h.renew(0))
		h.granted(&grant{HolderID: h.number, Seq: 1, InForce: 1}, nil)
		w.holders[i] = h
	}
	return w
}

func (w world) clone() world {
	w.ledger.Hashes, w.lessor.held, w.flight = maps.Clone(w.ledger.Hashes), maps.Clone(w.lessor.held), slices.Clone(w.flight)
	for i := range w.holders {
		w.holders[i].asked = maps.Clone(w.holders[i].asked)
	}
	return w
}

// key tells worlds apart. What is in flight has no order, and two managers that
// may ask as often are alike.
func (w *world) key() uint64 {
	var each [3][]byte
	for i, h := range w.holders {
		held := w.lessor.held[h.number]
		each[i] = append(each[i], byte(h.until), byte(h.force.Version), byte(h.seq), byte(held.until), byte(held.keeps))
		if h.next != nil {
			each[i] = append(each[i], 'n')
		}
		for s := range h.seq {
			each[i] = append(each[i], byte(h.asked[s+1]))
		}
		var s []string
		for _, m := range w.flight {
			if r := m.Renewal; r != nil && r.HolderID == h.number {
				s = append(s, string([]byte{'r', byte(r.Seq), byte(r.InForce), byte(r.Pending)}))
			} else if g := m.Grant; g != nil && g.HolderID == h.number {
				s = append(s, string([]byte{'g', byte(g.Seq), byte(g.InForce), byte(g.Pending)}))
			}
		}
		slices.Sort(s)
		each[i] = append(each[i], strings.Join(s, "")...)
	}
	if w.asks[0] == w.asks[1] && bytes.Compare(each[0], each[1]) > 0 {
		each[0], each[1] = each[1], each[0]
	}
	k := []byte{byte(w.now), byte(w.ledger.force()), byte(w.ledger.last()), byte(w.lessor.since), byte(w.faults)}
	return xxhash.Sum64(bytes.Join(append(each[:], k), []byte{0xff}))
}

// after are all worlds that can come next. What is lost, late or stopped needs no step
// of its own: whatever is in flight, or could be done, may stay undone for ever.
func (w world) after() (out []world) {
	next := func(do func(w *world)) { n := w.clone(); do(&n); out = append(out, n) }
	if w.now < 2 {
		next(func(w *world) { w.now++ })
	}
	if w.ledger.last() == 1 {
		next(func(w *world) { w.ledger.accept(versions[2]) })
	} else if c := w.clone(); w.ledger.Pending != nil && c.lessor.settled(w.now, 2) {
		next(func(w *world) { w.ledger.enforce(2) })
	}
	if w.faults > 0 { // another leads, who knows of no lease
		next(func(w *world) { w.faults--; w.lessor = *newLessor(1, w.now, w.lessor.flaw) })
	}
	for i, h := range w.holders {
		if most := w.asks[i]; h.seq < most {
			next(func(w *world) { w.flight = append(w.flight, message{Renewal: w.holders[i].renew(w.now)}) })
		}
	}
	for i, m := range w.flight {
		next(func(w *world) {
			w.flight = slices.Delete(w.flight, i, i+1)
			if r := m.Renewal; r != nil {
				w.lessor.heard(w.now, "", r)
				g := &grant{HolderID: r.HolderID, Seq: r.Seq, InForce: w.ledger.force()}
				if w.ledger.Pending != nil {
					g.Pending = 2
				}
				w.flight = append(w.flight, message{Grant: g})
				return
			}
			w.holders[m.Grant.HolderID].granted(m.Grant, versions[1:])
		})
	}
	return out
}

func (w *world) wrong() bool {
	var acts [3]bool // on the first only, on the second only
	for _, h := range w.holders {
		if h.leased(w.now) && h.next == nil {
			acts[h.force.Version] = true
		}
	}
	return acts[1] && acts[2]
}

// explore looks at all worlds that can come, and tells how many, and whether one is wrong.
func explore(f flaw, asks [3]uint64, most int) (worlds int, wrong bool) {
	seen, todo := map[uint64]bool{}, []world{newWorld(f, asks)}
	for len(todo) > 0 && len(seen) < most {
		w := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		for _, n := range w.after() {
			if k := n.key(); !seen[k] {
				if seen[k] = true; n.wrong() {
					return len(seen), true
				}
				todo = append(todo, n)
			}
		}
	}
	return len(seen), false
}

// In no order of all that three managers, two versions and two faults allow do two act
// on what contradicts; without the lease or the wait there is one.
func TestExplore(t *testing.T) {
	plays := [][3]uint64{{2, 2, 2}} // each has asked once, and asks once more
	if *all {
		plays = append(plays, [3]uint64{2, 2, 3}, [3]uint64{1, 2, 4})
	}
	for _, asks := range plays {
		n, wrong := explore(noFlaw, asks, 1<<23)
		if wrong || n == 1<<23 {
			t.Errorf("%d worlds: wrong %v", n, wrong)
		}
		t.Logf("%v: %d worlds", asks, n)
	}
	for _, f := range []flaw{noLease, noWait} {
		n, wrong := explore(f, plays[0], 1<<23)
		if !wrong {
			t.Errorf("flaw %d: not found in %d worlds", f, n)
		}
		t.Logf("flaw %d: found after %d worlds", f, n)
	}
}
