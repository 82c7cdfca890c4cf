package peaks

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

// testFleet returns the capacity of 16 nodes in slots, and two classes whose ordinary traffic
// would fill the share load of it at the middle rate.
func testFleet(load float64) (float64, []Class) {
	const capacitySlots = 16 * 10.0
	uniformSurvival := func(least, most float64) []float64 {
		s := make([]float64, 80)
		for i := range s {
			s[i] = min(max((most-float64(i))/(most-least), 0), 1)
		}
		return s
	}
	sizes, ladder := []float64{0.32, 0.7, 1.4, 3}, []float64{0.24, 0.5, 0.77, 1}
	worth := func(w float64) (out []float64) {
		for _, l := range ladder {
			out = append(out, w*l)
		}
		return out
	}
	classes := []Class{
		{Survival: uniformSurvival(26, 65), SlotsByRung: sizes, Worth: worth(2), Floor: 1, Top: 3},
		{Survival: uniformSurvival(20, 50), SlotsByRung: sizes, Worth: worth(1), Floor: 0, Top: 3},
	}
	sessions := load * capacitySlots
	for k, part := range []float64{0.35, 0.65} {
		classes[k].Rate = sessions * part / (0.35*MeanLength(classes[0].Survival) + 0.65*MeanLength(classes[1].Survival))
	}
	return capacitySlots, classes
}

// doublingOccurrence returns an occurrence of a peak that doubles both classes.
func doublingOccurrence() Occurrence {
	o := occurrence(0)
	o.Peak.Classes, o.Peak.Factor, o.Peak.Probability, o.Peak.MaxHarm, o.Peak.Lead = []bool{true, true}, 2, 0.9, 0.3, 90*time.Second
	return o
}

// A hold is made where it pays. Its expected worth is never lower than without a hold, and it
// costs no more than the operator allows.
func TestMakePlan(t *testing.T) {
	for name, e := range map[string]struct {
		load   float64
		change func(*Peak)
		held   float64 // minimum of the held share; if not positive, the negated maximum
	}{
		// As long as rungs can be lowered, one session that ends makes room for two new
		// ones, and a hold gains next to nothing.
		"45 to 90":          {0.45, func(*Peak) {}, -0.02},
		"90 to 180":         {0.9, func(*Peak) {}, -0.02},
		"one class":         {0.45, func(p *Peak) { p.Classes = []bool{true, false} }, -0.02},
		"sessions a second": {0.45, func(p *Peak) { p.Factor, p.ExtraRate = 0, 3 }, -0.08},
		"45 to 225":         {0.45, func(p *Peak) { p.Factor = 5 }, 0.02},
		"ten times":         {0.45, func(p *Peak) { p.Factor = 10 }, 0.05},
		"one class, ten":    {0.45, func(p *Peak) { p.Classes, p.Factor = []bool{true, false}, 10 }, 0.05},
		"rate, ten":         {0.45, func(p *Peak) { p.Factor, p.ExtraRate = 0, 18 }, 0.05},
		"little harm":       {0.45, func(p *Peak) { p.Factor, p.MaxHarm = 10, 0.01 }, 0.01},
		"enough capacity":   {0.02, func(*Peak) {}, 0},
		"probability 0":     {0.45, func(p *Peak) { p.Factor, p.Probability = 10, 0 }, 0},
		"no harm allowed":   {0.45, func(p *Peak) { p.Factor, p.MaxHarm = 10, 0 }, 0},
		"no lead":           {0.45, func(p *Peak) { p.Factor, p.Lead = 10, 0 }, 0},
		"factor 1":          {0.45, func(p *Peak) { p.Factor = 1 }, 0},
	} {
		capacitySlots, classes := testFleet(e.load)
		o := doublingOccurrence()
		e.change(o.Peak)
		p, err := MakePlan(o, capacitySlots, classes)
		if err != nil {
			t.Fatal(err)
		}
		sum := 0.0
		for k, h := range p.HeldShares {
			if h < 0 || k == 1 && strings.HasPrefix(name, "one class") && h != 0 {
				t.Errorf("%s: %v", name, p.HeldShares)
			}
			sum += h
		}
		from, _ := p.Window()
		if e.held > 0 && sum < e.held || e.held <= 0 && sum > -e.held || p.ExpectedWorth < p.WorthWithoutHold || p.OrdinaryLoss > o.Peak.MaxHarm+0.001 || sum > maxHeldShare || p.From.Before(from) || p.From.After(p.Begin) {
			t.Errorf("%s: held %.3f for %v, expected worth %.1f, without a hold %.1f, ordinary loss %.3f", name, p.HeldShares, p.Begin.Sub(p.From), p.ExpectedWorth, p.WorthWithoutHold, p.OrdinaryLoss)
		}
		t.Logf("%s: held %.3f for %v, expected worth %.1f, without a hold %.1f (%+.2f%%), ordinary loss %.2f%%, short of %.0f slots", name, p.HeldShares, p.Begin.Sub(p.From).Round(time.Second),
			p.ExpectedWorth, p.WorthWithoutHold, 100*(p.ExpectedWorth/p.WorthWithoutHold-1), 100*p.OrdinaryLoss, p.ShortSlots)
	}
	if _, err := MakePlan(doublingOccurrence(), 0, nil); err != ErrNoCapacity {
		t.Error(err)
	}
}

// ShortSlots is the number of slots that the peak lacks with all sessions on their lowest
// rungs.
func TestShortSlots(t *testing.T) {
	capacitySlots, classes := testFleet(0.45)
	o := doublingOccurrence()
	o.Peak.Factor = 10
	p, err := MakePlan(o, capacitySlots, classes)
	need := 0.0
	for _, c := range classes {
		need += 10 * c.Rate * MeanLength(c.Survival) * c.SlotsByRung[c.Floor]
	}
	if err != nil || math.Abs(p.ShortSlots-(need-capacitySlots)) > 1e-6 || p.ShortSlots <= 0 {
		t.Errorf("short of %v slots, needs %v of %v, error %v", p.ShortSlots, need, capacitySlots, err)
	}
}

func TestUsableSlots(t *testing.T) {
	nodes := []Node{{10, true, 1}, {10, false, 1}, {10, true, 0.25}, {10, true, 0}, {10, true, 7}, {10, true, -1}}
	if got := UsableSlots(nodes); got != 22.5 {
		t.Error(got)
	}
}

// Nothing is held outside the window of an occurrence, or before Plan.From.
func TestHeldSharesAt(t *testing.T) {
	capacitySlots, classes := testFleet(0.45)
	o := doublingOccurrence()
	o.Peak.Factor = 10
	p, err := MakePlan(o, capacitySlots, classes)
	if err != nil {
		t.Fatal(err)
	}
	_, until := p.Window()
	for at, want := range map[time.Time]bool{p.From.Add(-1): false, p.From.Add(time.Second): true, p.Begin: true, until.Add(-1): true, until: false} {
		if got := p.HeldSharesAt(at)[0] > 0; got != want {
			t.Errorf("%v: %v", at.Sub(p.Begin), got)
		}
	}
}

// erlangLoss agrees with known values of the formula, and is interpolated between whole
// slots.
func TestErlangLoss(t *testing.T) {
	for _, e := range [][3]float64{{0, 5, 1}, {1, 1, 0.5}, {2, 1, 0.2}, {10, 5, 0.018385}, {1000, 10, 0}} {
		if got := erlangLoss(e[0], e[1]); math.Abs(got-e[2]) > 1e-5 {
			t.Errorf("%v slots, %v: %v", e[0], e[1], got)
		}
	}
	if a, b, c := erlangLoss(9, 5), erlangLoss(9.5, 5), erlangLoss(10, 5); b >= a || b <= c {
		t.Error(a, b, c)
	}
}

// BenchmarkPlan plans all occurrences of a daily peak in 24 or 240 hours, for four classes
// and various numbers of nodes.
func BenchmarkPlan(b *testing.B) {
	for _, nodes := range []int{10, 100, 1000, 10000} {
		for _, hours := range []int{24, 240} {
			b.Run(fmt.Sprintf("nodes=%d/hours=%d", nodes, hours), func(b *testing.B) {
				_, two := testFleet(0.45)
				classes := append(two, two...)
				all := make([]Node, nodes)
				for i := range all {
					all[i] = Node{Slots: 10, Ready: i%10 != 0, WarmShare: 1}
				}
				for k := range classes {
					classes[k].Rate *= float64(nodes) / 16 / 2
				}
				p := quincena(b)
				p.Days, p.Ramp = Days{Daily: true}, 0
				p.Classes = []bool{true, true, true, true}
				c := Calendar{Peaks: []Peak{p}}
				now := time.Date(2026, 5, 14, 0, 0, 0, 0, time.UTC)
				b.ReportAllocs()
				for b.Loop() {
					for _, o := range c.Between(now, now.Add(time.Duration(hours)*time.Hour)) {
						if _, err := MakePlan(o, UsableSlots(all), classes); err != nil {
							b.Fatal(err)
						}
					}
				}
			})
		}
	}
}
