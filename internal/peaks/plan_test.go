package peaks

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

// testFleet is the classes of a site of 16 nodes whose ordinary traffic fills 45% of the
// links at the middle rate, and its room in slots.
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

// doublingOccurrence is a peak that doubles both classes.
func doublingOccurrence() Occurrence {
	o := occurrence(0)
	o.Peak.Classes, o.Peak.Factor, o.Peak.Probability, o.Peak.MaxHarm, o.Peak.Lead = []bool{true, true}, 2, 0.9, 0.3, 90*time.Second
	return o
}

// A hold is made where it pays, and by more the surer the peak is; it never earns
// less than none, and costs no more than the operator allows.
func TestMakePlan(t *testing.T) {
	for name, e := range map[string]struct {
		load   float64
		change func(*Peak)
		held   float64 // at least so much; negative: at most
	}{
		// Where sessions give way by their rungs, who leaves makes room for two who
		// come, and next to nothing is to be gained.
		"45 to 90":          {0.45, func(*Peak) {}, -0.02},
		"90 to 180":         {0.9, func(*Peak) {}, -0.02},
		"one class":         {0.45, func(p *Peak) { p.Classes = []bool{true, false} }, -0.02},
		"sessions a second": {0.45, func(p *Peak) { p.Factor, p.ExtraRate = 0, 3 }, -0.08},
		"45 to 225":         {0.45, func(p *Peak) { p.Factor = 5 }, 0.02},
		"ten times":         {0.45, func(p *Peak) { p.Factor = 10 }, 0.05},
		"one class, ten":    {0.45, func(p *Peak) { p.Classes, p.Factor = []bool{true, false}, 10 }, 0.05},
		"rate, ten":         {0.45, func(p *Peak) { p.Factor, p.ExtraRate = 0, 18 }, 0.05},
		"little harm":       {0.45, func(p *Peak) { p.Factor, p.MaxHarm = 10, 0.01 }, 0.01},
		"no room needed":    {0.02, func(*Peak) {}, 0},
		"not believed":      {0.45, func(p *Peak) { p.Factor, p.Probability = 10, 0 }, 0},
		"no harm allowed":   {0.45, func(p *Peak) { p.Factor, p.MaxHarm = 10, 0 }, 0},
		"no lead":           {0.45, func(p *Peak) { p.Factor, p.Lead = 10, 0 }, 0},
		"nothing more":      {0.45, func(p *Peak) { p.Factor = 1 }, 0},
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
			t.Errorf("%s: held %.3f from %v, earned %.1f of %.1f, lost %.3f", name, p.HeldShares, p.Begin.Sub(p.From), p.ExpectedWorth, p.WorthWithoutHold, p.OrdinaryLoss)
		}
		t.Logf("%s: held %.3f for %v, expected %.1f, without %.1f (%+.2f%%), ordinary loses %.2f%%, short %.0f slots", name, p.HeldShares, p.Begin.Sub(p.From).Round(time.Second),
			p.ExpectedWorth, p.WorthWithoutHold, 100*(p.ExpectedWorth/p.WorthWithoutHold-1), 100*p.OrdinaryLoss, p.ShortSlots)
	}
	if _, err := MakePlan(doublingOccurrence(), 0, nil); err != ErrNoCapacity {
		t.Error(err)
	}
}

// What can't be met even on the lowest rungs is told with what is lacking.
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
		t.Errorf("short %v, need %v of %v, %v", p.ShortSlots, need, capacitySlots, err)
	}
}

func TestUsableSlots(t *testing.T) {
	nodes := []Node{{10, true, 1}, {10, false, 1}, {10, true, 0.25}, {10, true, 0}, {10, true, 7}, {10, true, -1}}
	if got := UsableSlots(nodes); got != 22.5 {
		t.Error(got)
	}
}

// Nothing is held outside of an announcement's window, or before the plan's time.
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

// The loss formula agrees with its known values and lies between whole slots.
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

// BenchmarkPlan plans a day: the occurrences of 24 h of calendar, 4 classes, and
// the room of so many nodes.
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
