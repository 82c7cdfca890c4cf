package site

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

var ladder = []float64{172, 364, 767, 1617}

func testClasses() []Class {
	return []Class{
		{Name: "clip", Floor: 1, Top: 3, RatesKB: ladder, Worth: []float64{0.52, 1.06, 1.54, 2}},
		{Name: "feed", Floor: 0, Top: 3, RatesKB: ladder, Worth: []float64{0.26, 0.53, 0.77, 1}},
	}
}

// testFleet returns sites with racks of eight nodes each, and a demand that would fill the
// share load of their capacity at the rate of rung 2.
func testFleet(sites, racks int, load float64) *Fleet {
	f := &Fleet{Classes: testClasses(), CrossSiteCost: 0.021}
	for i := range sites {
		s := Site{Name: fmt.Sprintf("site-%d", i)}
		for range racks {
			s.Racks = append(s.Racks, Rack{LinksKB: 8 * 3500 * 2, UplinkKB: 8 * 3500 * 2 * 0.7, MaxStreams: 8 * 24})
		}
		f.Sites = append(f.Sites, s)
		kb, _ := s.Capacity()
		for class, part := range []float64{0.35, 0.65} {
			for top, share := range map[int]float64{3: 0.7, 1: 0.3} {
				f.Demands = append(f.Demands, Demand{Class: class, HomeSite: i, Sessions: load * kb / ladder[2] * part * share, Top: top})
			}
		}
	}
	return f
}

// optimum returns the worth of the best plan, from a linear program with a variable for each
// demand, site and rung.
func optimum(t *testing.T, f *Fleet, lost int) float64 {
	t.Helper()
	type key struct{ d, s, r int }
	var vars []key
	var c []float64
	for i, d := range f.Demands {
		k := f.Classes[d.Class]
		for s := range f.Sites {
			for r := k.Floor; r <= min(k.Top, d.Top) && s != lost; r++ {
				w := k.Worth[r]
				if s != d.HomeSite {
					w -= f.sessionCrossingCost(d)
				}
				vars, c = append(vars, key{i, s, r}), append(c, -w)
			}
		}
	}
	rows := len(f.Demands) + 2*len(f.Sites)
	a := mat.NewDense(rows, len(vars)+rows, nil)
	b := make([]float64, rows)
	for v, k := range vars {
		a.Set(k.d, v, 1)
		a.Set(len(f.Demands)+2*k.s, v, f.Classes[f.Demands[k.d].Class].RatesKB[k.r]/1000)
		a.Set(len(f.Demands)+2*k.s+1, v, 1)
	}
	for i := range rows {
		a.Set(i, len(vars)+i, 1)
		c = append(c, 0)
	}
	for i, d := range f.Demands {
		b[i] = d.Sessions
	}
	for s := range f.Sites {
		if s != lost {
			kb, streams := f.Sites[s].Capacity()
			b[len(f.Demands)+2*s], b[len(f.Demands)+2*s+1] = kb/1000, streams
		}
	}
	best, _, err := lp.Simplex(c, a, b, 1e-9, nil)
	if err != nil {
		t.Fatal(err)
	}
	return -best
}

// The worth of a plan is at most the optimum of the whole linear program, which is at most
// WorthBound; no plan exceeds the capacity; and plans stay below the optimum by 0.5% in the
// mean and 10% in the worst case.
func TestPlanAgainstLinearProgram(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	worst, sum, n := 0.0, 0.0, 0
	for range 150 {
		f := testFleet(2+rng.IntN(2), 1, 0.2+1.5*rng.Float64())
		for i := range f.Sites {
			f.Sites[i].Racks[0].UplinkKB *= 0.4 + rng.Float64()
			f.Sites[i].Racks[0].MaxStreams = math.Round(f.Sites[i].Racks[0].MaxStreams * (0.1 + rng.Float64())) // in some fleets, streams run out first
		}
		for i := range f.Demands {
			f.Demands[i].Sessions *= 2 * rng.Float64()
		}
		lost := rng.IntN(len(f.Sites))
		p, err := MakePlan(f, lost)
		if err != nil {
			t.Fatal(err)
		}
		optimal := optimum(t, f, lost)
		if p.Worth > optimal*(1+1e-6) || optimal > p.WorthBound*(1+1e-6) {
			t.Fatalf("worth %g, optimum %g, bound %g", p.Worth, optimal, p.WorthBound)
		}
		gap := 1 - p.Worth/optimal
		worst, sum, n = max(worst, gap), sum+gap, n+1
		checkFeasible(t, f, &p)
	}
	t.Logf("below the optimum by %.3f%% in the mean of %d plans, %.2f%% at worst", 100*sum/float64(n), n, 100*worst)
	if sum/float64(n) > 0.005 || worst > 0.1 {
		t.Errorf("below the optimum by %.2f%% in the mean, %.2f%% at worst", 100*sum/float64(n), 100*worst)
	}
}

// checkFeasible checks a plan against the demands and the capacity of the remaining sites.
func checkFeasible(t *testing.T, f *Fleet, p *Plan) {
	t.Helper()
	var capacityKB, maxStreams, usedKB, streams float64
	for i := range f.Sites {
		if k, n := f.Sites[i].Capacity(); !contains(p.LostSites, i) {
			capacityKB, maxStreams = capacityKB+k, maxStreams+n
		}
		if p.Utilization[i] > 1+1e-9 || contains(p.LostSites, i) && p.Utilization[i] != 0 {
			t.Errorf("site %d: utilization %g", i, p.Utilization[i])
		}
	}
	for i, take := range p.Allocations {
		d := f.Demands[i]
		c := f.Classes[d.Class]
		for r, n := range take.ByRung {
			if n > 0 && (r < c.Floor || r > min(c.Top, d.Top)) {
				t.Errorf("%s plays on rung %d", c.Name, r)
			}
			usedKB, streams = usedKB+n*c.RatesKB[r], streams+n
		}
		if got := take.Accepted() + take.Refused; math.Abs(got-d.Sessions) > 1e-6*max(d.Sessions, 1) {
			t.Errorf("of %g sessions, %g are accepted or refused", d.Sessions, got)
		}
		if contains(p.LostSites, d.HomeSite) && math.Abs(take.CrossSite-take.Accepted()) > 1e-6 {
			t.Error("sessions of a lost site play at their home site")
		}
	}
	if usedKB > capacityKB*(1+1e-9) || streams > maxStreams*(1+1e-9) {
		t.Errorf("plan uses %g of %g kB/s and %g of %g streams", usedKB, capacityKB, streams, maxStreams)
	}
}

func contains(l []int, x int) bool {
	for _, v := range l {
		if v == x {
			return true
		}
	}
	return false
}

// As capacity shrinks, upper rungs are given up first, then the class with less worth per kB,
// and a tier above 0 last; clip never plays below its floor, rung 1.
func TestDegradationOrder(t *testing.T) {
	f := testFleet(2, 1, 0.9)
	for i := range f.Demands {
		if f.Demands[i].Class == 1 && f.Demands[i].HomeSite == 0 {
			f.Demands[i].Tier = 1 // guaranteed by a contract, though it has less worth
		}
	}
	p, err := MakePlan(f, 1)
	if err != nil {
		t.Fatal(err)
	}
	refusedAt := map[string]int{}
	for i, s := range p.DegradationOrder {
		d := f.Demands[s.Demand]
		name := fmt.Sprint(f.Classes[d.Class].Name, " tier ", d.Tier)
		if s.ToRung < 0 {
			refusedAt[name] = i
		}
		if f.Classes[d.Class].Name == "clip" && (s.ToRung == 0 || s.FromRung == 0) {
			t.Error("clip below its floor")
		}
		if s.ToRung >= 0 && s.FromRung >= 2 {
			if at, ok := refusedAt[name]; ok && at < i {
				t.Errorf("%s is refused before its upper rungs are given up", name)
			}
		}
	}
	if !(refusedAt["feed tier 0"] < refusedAt["clip tier 0"] && refusedAt["clip tier 0"] < refusedAt["feed tier 1"]) {
		t.Errorf("steps of the refusals: %v, want feed tier 0, clip tier 0, feed tier 1", refusedAt)
	}
	// As capacity shrinks further, the plans follow that order.
	for _, part := range []float64{0.8, 0.3, 0.1, 0.04, 0.02} {
		f.Sites[0].Racks[0].UplinkKB = 8 * 3500 * 2 * 0.7 * part
		p, err := MakePlan(f, 1)
		if err != nil {
			t.Fatal(err)
		}
		checkFeasible(t, f, &p)
		refused, taken := map[string]float64{}, map[string]float64{}
		for i, take := range p.Allocations {
			d := f.Demands[i]
			name := fmt.Sprint(f.Classes[d.Class].Name, " tier ", d.Tier)
			refused[name], taken[name] = refused[name]+take.Refused, taken[name]+take.Accepted()
		}
		if refused["clip tier 0"] > 1e-6 && taken["feed tier 0"] > 1e-6 || refused["feed tier 1"] > 1e-6 && taken["clip tier 0"] > 1e-6 {
			t.Errorf("capacity %g: refused %v while %v are accepted", part, refused, taken)
		}
	}
}

// Plans without any capacity or demand, and values that Validate refuses.
func TestMakePlanEdgeCases(t *testing.T) {
	f := testFleet(3, 1, 0.5)
	p, err := MakePlan(f, 0, 1, 2)
	if err != nil || p.Worth != 0 || p.WorthBound != 0 {
		t.Errorf("all lost: %+v, %v", p, err)
	}
	for i, take := range p.Allocations {
		if math.Abs(take.Refused-f.Demands[i].Sessions) > 1e-9 {
			t.Error("all sites are lost and not all sessions refused")
		}
	}
	if p, err := MakePlan(f, 0, 1); err != nil || !(p.Worth > 0) || p.Worth > p.WorthBound*(1+1e-9) {
		t.Errorf("two of three lost: %+v, %v", p, err)
	}
	empty := &Fleet{Sites: f.Sites, Classes: f.Classes}
	if p, err := MakePlan(empty, 0); err != nil || p.Worth != 0 || p.MarginalWorth != 0 {
		t.Errorf("no demand: %+v, %v", p, err)
	}
	if _, err := MakePlan(f, 3); err == nil {
		t.Error("no error for the loss of an unknown site")
	}
	for name, spoil := range map[string]func(f *Fleet){
		"NaN sessions": func(f *Fleet) { f.Demands[0].Sessions = math.NaN() },
		"no rates":     func(f *Fleet) { f.Classes[0].RatesKB = nil },
		"rate 0":       func(f *Fleet) { f.Classes[0].RatesKB = []float64{0, 1, 2, 3} },
		"home":         func(f *Fleet) { f.Demands[0].HomeSite = 7 },
		"floor":        func(f *Fleet) { f.Classes[0].Floor = 9 },
		"no limit":     func(f *Fleet) { f.Sites[0].Racks[0].LinksKB, f.Sites[0].Racks[0].UplinkKB = math.Inf(1), 0 },
		"crossing":     func(f *Fleet) { f.CrossSiteCost = -1 },
	} {
		f := testFleet(2, 1, 0.5)
		if spoil(f); f.Validate() == nil {
			t.Errorf("%s: no error", name)
		}
	}
	losses, err := PlanLosses(testFleet(5, 1, 0.5))
	if err != nil || len(losses) != 5+10 {
		t.Errorf("%d plans for losses of 5 sites, want 15; %v", len(losses), err)
	}
	if losses, err = PlanLosses(testFleet(2, 1, 0.5)); err != nil || len(losses) != 2 {
		t.Errorf("%d plans for losses of 2 sites, want 2; %v", len(losses), err)
	}
}

// Load returns to a site no faster than its nodes warm, and more slowly to a site that comes
// and goes.
func TestRecovery(t *testing.T) {
	r := Recovery{WarmUp: 10 * time.Second, InitialShare: 0.2, MaxStreams: 100, ReturnCount: 1}
	for since, want := range map[time.Duration]float64{0: 2, 5 * time.Second: 6, 10 * time.Second: 10, time.Hour: 10, -time.Second: 2} {
		if got := r.MaxSessionRate(since); math.Abs(got-want) > 1e-9 {
			t.Errorf("%g sessions per second after %v, want %g", got, since, want)
		}
	}
	once, ok := r.TimeToRestore(100, 3, 30*time.Second, 0.5)
	if !ok {
		t.Fatal("half of the load is never restored")
	}
	r.ReturnCount = 3
	if got := r.MaxSessionRate(10 * time.Second); got != 2.5 {
		t.Errorf("%g sessions per second at the third return within a minute, want 2.5", got)
	}
	if thrice, ok := r.TimeToRestore(100, 3, 30*time.Second, 0.5); !ok || thrice <= once {
		t.Errorf("restored after %v at the first return, %v at the third", once, thrice)
	}
	if _, ok := r.TimeToRestore(100, 3, 30*time.Second, 0.95); ok {
		t.Error("95% of the load is restored, though at most 90 sessions can play")
	}
	if got := (Recovery{}).MaxSessionRate(0); !math.IsInf(got, 1) {
		t.Errorf("%g sessions per second without a warm-up, want no limit", got)
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, sites := range []int{2, 5, 20} {
		f := testFleet(sites, 5000/8/sites, 0.75)
		b.Run(fmt.Sprintf("one loss of %d sites", sites), func(b *testing.B) {
			for b.Loop() {
				MakePlan(f, 0)
			}
		})
		b.Run(fmt.Sprintf("all losses of %d sites", sites), func(b *testing.B) {
			for b.Loop() {
				PlanLosses(f)
			}
		})
	}
}
