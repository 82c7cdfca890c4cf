package site

import (
	"math"
	"testing"
	"time"
)

// managerGroup is managers of two sites with a guide each, whose clock the test moves.
type managerGroup struct {
	now     time.Time
	guides  []*Guide
	watches []*Watch
}

func newManagerGroup(managers int) *managerGroup {
	g := &managerGroup{now: time.Unix(1000, 0)}
	classes := []Class{
		{Name: "clip", Floor: 1, Top: 2, RatesKB: []float64{200, 400, 800}, Worth: []float64{0.5, 1.1, 2}},
		{Name: "feed", Top: 2, RatesKB: []float64{200, 400, 800}, Worth: []float64{0.25, 0.55, 1}},
	}
	rule := Rule{Tiers: []int{0, 0}, WarmUp: 4 * time.Second, InitialShare: 0.25}
	for range managers {
		guide := NewGuide([]string{"a", "b"}, []Rule{rule, rule}, classes, []ExpectedLoad{{MeanLength: 20 * time.Second}, {MeanLength: 20 * time.Second}}, 0.02, 1e9)
		w := NewWatch([]string{"a", "b"})
		for n := range 8 {
			guide.UpdateNode(uint64(n), Node{Site: n / 4, Rack: n, LinkKB: 10000, MaxStreams: 100}, true)
			w.UpdateNode(n/4, uint64(n), true)
		}
		g.guides, g.watches = append(g.guides, guide), append(g.watches, w)
	}
	return g
}

// advance lets time go by: each manager has so many arrivals a second of each class and
// knows its share. down: the nodes of b fail.
func (g *managerGroup) advance(d time.Duration, shares, rates []float64, siteDown bool) (rations []*Ration) {
	rations = make([]*Ration, len(g.guides))
	for end := g.now.Add(d); g.now.Before(end); {
		g.now = g.now.Add(100 * time.Millisecond)
		for i, guide := range g.guides {
			for k := range 2 {
				for n := rates[i] / 10; n > 0; n-- { // a tenth of a second's
					if n >= 1 || math.Mod(float64(g.now.UnixMilli()/100), math.Round(1/n)) == 0 {
						guide.CountArrival(g.now, k)
					}
				}
			}
			for n := range 8 {
				if sign := SignHeard; n >= 4 && siteDown {
					g.watches[i].RecordSign(g.now, uint64(n), SignUnreachable)
				} else {
					g.watches[i].RecordSign(g.now, uint64(n), sign)
				}
			}
			for _, n := range g.watches[i].Tick(g.now) {
				guide.ApplyNotice(g.now, n, g.watches[i].ReturnCount(g.now, max(n.Site, 0)))
			}
			rations[i], _ = guide.Tick(g.now, g.watches[i], shares[i])
		}
	}
	return rations
}

// Each manager takes its share of the plan, and the parts add up to what the rest of the
// fleet carries: clip whole, on its lowest rung, and of feed what is left.
func TestRationsAddUp(t *testing.T) {
	g := newManagerGroup(4)
	shares, rates := []float64{0.1, 0.2, 0.3, 0.4}, []float64{0.4, 0.8, 1.2, 1.6}
	if r := g.advance(90*time.Second, shares, rates, false); r[0] != nil {
		t.Fatalf("a ration while all is there: %+v", r[0])
	}
	// 80 clip and 80 feed are asked for. On the lowest rungs that is 48,000 kB of 40,000.
	var total [2]float64
	// What managers hold once it is lost says nothing of their shares.
	for i, r := range g.advance(10*time.Second, []float64{0.9, 0.9, 0, 0}, rates, true) {
		if r == nil || r.SessionLimit[0] >= 0 && r.SessionLimit[0] < 1 || r.SessionLimit[1] < 0 {
			t.Fatalf("manager %d: %+v", i, r)
		}
		if want := shares[i] * plannedFeed(g.guides[i]); math.Abs(r.SessionLimit[1]-want) > 0.25*want {
			t.Errorf("manager %d: %.1f feed, its share is %.1f", i, r.SessionLimit[1], shares[i])
		}
		total[1] += r.SessionLimit[1]
		if got := r.ByRung[0]; got[0] != 0 || got[1] != 1 {
			t.Errorf("manager %d: clip by rung %v, want all on its lowest", i, got)
		}
		if wait := r.RetryIntervalS[1] * r.SessionLimit[1]; math.Abs(wait-20) > 1 {
			t.Errorf("manager %d: places get free each %.1f s, sessions last 20 s", i, r.RetryIntervalS[1])
		}
	}
	if feed := plannedFeed(g.guides[0]); math.Abs(total[1]-feed) > 0.15*feed {
		t.Errorf("%.1f feed over all, the plan takes %.1f", total[1], feed)
	}
}

func plannedFeed(g *Guide) (n float64) {
	for i, d := range g.demands {
		if d.Class == 1 {
			n += g.plan.Allocations[i].Accepted()
		}
	}
	return n
}

// Where other managers are lost as well, a manager's part grows with its arrivals.
func TestShareGrowsWithArrivals(t *testing.T) {
	g := newManagerGroup(1)
	g.advance(90*time.Second, []float64{0.25}, []float64{5}, false)
	before := g.advance(8*time.Second, []float64{0.25}, []float64{5}, true)[0].SessionLimit[1]
	after := g.advance(20*time.Second, []float64{0.25}, []float64{10}, true)[0].SessionLimit[1]
	if got := after / before; got < 1.7 || got > 2.2 {
		t.Errorf("twice the arrivals: %.2f times the part", got)
	}
}

// A site that is back is sent to by its warm-up, its room counts as it warms, and a
// return that did not last halves the pace. All is over when it is warm.
func TestReturningSiteIsRateLimited(t *testing.T) {
	g := newManagerGroup(1)
	share, rate := []float64{0.5}, []float64{5}
	g.advance(90*time.Second, share, rate, false)
	var first [2]float64
	for i := range first {
		g.advance(8*time.Second, share, rate, true)
		for r := g.advance(100*time.Millisecond, share, rate, false); ; r = g.advance(100*time.Millisecond, share, rate, false) {
			if r[0].MaxSessionRate[1] >= 0 {
				first[i] = r[0].MaxSessionRate[1]
				break
			}
		}
		if r := g.advance(3*time.Second, share, rate, false); r[0] == nil || r[0].MaxSessionRate[1] < first[i] || r[0].MaxSessionRate[0] >= 0 {
			t.Errorf("return %d: %+v after 3 s", i, r[0])
		}
	}
	// 400 places in 4 s, a quarter of it warm, half of it this manager's.
	if first[0] < 12 || first[0] > 15 || math.Abs(first[1]/first[0]-0.5) > 0.05 {
		t.Errorf("paces %.2f a second", first)
	}
	if r := g.advance(12*time.Second, share, rate, false); r[0] != nil {
		t.Errorf("%+v once it is warm", r[0])
	}
}

// A manager that hears nobody has no plan for the others' loss.
func TestIsolatedManagerHasNoRation(t *testing.T) {
	g := newManagerGroup(1)
	g.advance(30*time.Second, []float64{0.5}, []float64{5}, false)
	g.advance(5*time.Second, []float64{0.5}, []float64{5}, true)
	for range 50 {
		g.now = g.now.Add(100 * time.Millisecond)
		for n := range 8 {
			g.watches[0].RecordSign(g.now, uint64(n), SignUnreachable)
		}
		g.watches[0].Tick(g.now)
	}
	if r, _ := g.guides[0].Tick(g.now, g.watches[0], 0.5); !g.watches[0].Isolated() || r != nil {
		t.Errorf("alone %v: %+v", g.watches[0].Isolated(), r)
	}
}

// A site that nothing else is seen of is asked once a second, in turn, and faster in
// doubt.
func TestNodesToProbe(t *testing.T) {
	w := NewWatch([]string{"a", "b"})
	for n := range 8 {
		w.UpdateNode(n/4, uint64(n), true)
	}
	now, probes := time.Unix(1000, 0), map[uint64]int{}
	probe := func(fails bool) (n int) {
		for range 80 { // 8 s
			now = now.Add(100 * time.Millisecond)
			w.RecordSign(now, 0, SignHeard) // a is busy
			for _, node := range w.NodesToProbe(now) {
				probes[node]++
				n++
				if fails {
					w.RecordSign(now, node, SignUnreachable)
				} else {
					w.RecordSign(now, node, SignHeard)
				}
			}
			w.Tick(now)
		}
		return n
	}
	if n := probe(false); n < 7 || n > 8 || probes[4] != 2 || probes[0] != 0 {
		t.Errorf("%d asked: %v", n, probes)
	}
	clear(probes)
	if probe(true); w.State(1) != StateLost || probes[7] < 2 {
		t.Errorf("%v after asking %v", w.State(1), probes)
	}
	if n := probe(true); n > 8 {
		t.Errorf("%d asked of a site that is lost", n)
	}
}
