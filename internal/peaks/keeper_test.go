package peaks

import (
	"flag"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
	"pgregory.net/rapid"
)

// Properties are tried with the same values every time.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20260515", "rapid.checks": "8", "rapid.nofailfile": "true", "rapid.shrinktime": "5s"} {
		given := false
		flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
		if !given {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// tenfoldPeak is a peak that brings ten times as many, so that room is held for it.
func tenfoldPeak() Peak {
	p := *doublingOccurrence().Peak
	p.Name, p.Factor, p.Zone, p.Days, p.At = "tenfold", 10, time.UTC, Days{Dates: []Day{{2026, 5, 15}}}, 18*time.Hour
	return p
}

var announcedBegin = time.Date(2026, 5, 15, 18, 0, 0, 0, time.UTC)

// runKeeper ticks a keeper through an evening on which the ordinary comes and, of each
// peak, what level says. each is told what is held.
func runKeeper(k *Keeper, seed uint64, from, until time.Time, level func(time.Time) float64, own bool, capacitySlots func(time.Time) float64, each func(time.Time, []float64, []Notice)) {
	_, classes := testFleet(0.45)
	src := rand.NewPCG(seed, 3)
	for now := from; now.Before(until); now = now.Add(time.Second) {
		in := Input{Now: now, CapacitySlots: capacitySlots(now), Classes: classes}
		mine := 0
		for _, c := range classes {
			n := int(distuv.Poisson{Lambda: c.Rate, Src: src}.Rand())
			extra := 0
			if l := level(now); l > 0 {
				extra = int(distuv.Poisson{Lambda: 9 * c.Rate * l, Src: src}.Rand())
			}
			in.Arrivals, mine = append(in.Arrivals, n+extra), mine+extra
		}
		if own {
			in.PeakArrivals = []PeakArrivals{{0, mine}}
		}
		held, notices := k.Tick(in)
		each(now, held, notices)
	}
}

func totalShare(held []float64) (s float64) {
	for _, h := range held {
		s += h
	}
	return s
}

func constant(v float64) func(time.Time) float64 { return func(time.Time) float64 { return v } }

func TestKeeper(t *testing.T) {
	if testing.Short() {
		t.Skip("short: one goroutine, and run without the race detector")
	}
	for name, e := range map[string]struct {
		level func(time.Time) float64
		own   bool
		room  func(time.Time) float64
		want  string // of the notices
		held  bool   // something was, at the begin
	}{
		"comes":              {func(t time.Time) float64 { return peakLevel(t, 0) }, false, constant(160), "lacks|as announced|over; it was", true},
		"comes, known":       {func(t time.Time) float64 { return peakLevel(t, 0) }, true, constant(160), "lacks|as announced|over", true},
		"no show":            {constant(0), false, constant(160), "lacks|does not come", true},
		"no show, known":     {constant(0), true, constant(160), "lacks|does not come", true},
		"ten minutes early":  {func(t time.Time) float64 { return peakLevel(t, -10*time.Minute) }, false, constant(160), "early; what was held is open|over", false},
		"half the size":      {func(t time.Time) float64 { return peakLevel(t, 0) / 2 }, false, constant(160), "lacks|has come|it was 0.5 times", true},
		"a minute late":      {func(t time.Time) float64 { return peakLevel(t, 90*time.Second) }, false, constant(160), "lacks|does not come|late; what was held|over", true},
		"no room from first": {constant(0), false, constant(0), "no plan: peaks: no node gives room", false},
		"room is lost for a while": {func(t time.Time) float64 { return peakLevel(t, 0) }, false, func(t time.Time) float64 {
			if d := t.Sub(announcedBegin); d > -20*time.Second && d < 20*time.Second { // the hall is cut off
				return 80
			}
			return 160
		}, "lacks|as announced", true},
	} {
		p := tenfoldPeak()
		k := NewKeeper(Calendar{Peaks: []Peak{p}}, DefaultErrorRates)
		var all []string
		atBegin, release, increases, last := 0.0, time.Time{}, 0, 0.0
		runKeeper(k, 1, announcedBegin.Add(-25*time.Minute), announcedBegin.Add(25*time.Minute), e.level, e.own, e.room, func(now time.Time, held []float64, notices []Notice) {
			for _, n := range notices {
				all = append(all, n.Text)
				if strings.Contains(n.Text, "does not come") {
					release = now
				}
			}
			h := totalShare(held)
			from, until := announcedBegin.Add(-p.Early-p.Lead), announcedBegin.Add(p.Length+p.Ramp)
			if h > 0 && (now.Before(from) || !now.Before(until)) || h < 0 || h > maxHeldShare {
				t.Fatalf("%s: %v held at %v", name, h, now)
			}
			if !release.IsZero() {
				if h > last {
					increases++
				}
				if now.Sub(release) >= (releaseSteps-1)*releaseInterval && h > 0 {
					t.Errorf("%s: %v held %v after the no-show", name, h, now.Sub(release))
				}
			}
			if last = h; now.Equal(announcedBegin.Add(-time.Second)) {
				atBegin = h
			}
		})
		got := strings.Join(all, "\n")
		at := 0
		for _, w := range strings.Split(e.want, "|") {
			i := strings.Index(got[at:], w)
			if i < 0 {
				t.Errorf("%s: no %q in order in\n%s", name, w, got)
				break
			}
			at += i
		}
		if atBegin > 0 != e.held || increases > 0 {
			t.Errorf("%s: %.3f held at the begin, %d rises after the release", name, atBegin, increases)
		}
	}
}

// peakLevel is a peak's that comes so much later than announced, for 20 minutes.
func peakLevel(t time.Time, late time.Duration) float64 {
	if d := t.Sub(announcedBegin) - late; d >= 0 && d < 20*time.Minute {
		return 1
	}
	return 0
}

// Whatever is announced and comes: never more is held than there is, nothing
// outside the widest window of an announcement, and what is given back after a
// no-show is not taken again.
func TestKeeperProperties(t *testing.T) {
	if testing.Short() {
		t.Skip("short: one goroutine, and run without the race detector")
	}
	rapid.Check(t, func(t *rapid.T) {
		var c Calendar
		for range rapid.IntRange(1, 3).Draw(t, "peaks") {
			p := tenfoldPeak()
			p.At += time.Duration(rapid.IntRange(-5, 5).Draw(t, "minutes")) * time.Minute
			p.Factor = rapid.SampledFrom([]float64{1, 2, 10, 100}).Draw(t, "factor")
			p.Ramp = time.Duration(rapid.IntRange(0, 120).Draw(t, "ramp")) * time.Second
			p.Lead = time.Duration(rapid.IntRange(0, 180).Draw(t, "lead")) * time.Second
			p.Early = time.Duration(rapid.IntRange(0, 10).Draw(t, "early")) * time.Minute
			p.Length = time.Duration(rapid.IntRange(1, 10).Draw(t, "length")) * time.Minute
			p.Probability, p.MaxHarm = rapid.Float64Range(0, 1).Draw(t, "sure"), rapid.Float64Range(0, 1).Draw(t, "harm")
			c.Peaks = append(c.Peaks, p)
		}
		k := NewKeeper(c, DefaultErrorRates)
		shift := time.Duration(rapid.IntRange(-12, 12).Draw(t, "late")) * time.Minute
		size := rapid.SampledFrom([]float64{0, 0.5, 1, 3}).Draw(t, "size")
		jump := rapid.IntRange(-1, 40).Draw(t, "jump")
		ticks := 0
		noShowShares := map[occurrenceKey]float64{}
		_, classes := testFleet(0.45)
		src := rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)
		now := announcedBegin.Add(-20 * time.Minute)
		for now.Before(announcedBegin.Add(25 * time.Minute)) {
			in := Input{Now: now, CapacitySlots: 160, Classes: classes}
			for _, cl := range classes {
				in.Arrivals = append(in.Arrivals, int(distuv.Poisson{Lambda: cl.Rate * (1 + 9*size*peakLevel(now, shift)), Src: src}.Rand()))
			}
			heldShares, _ := k.Tick(in)
			h := totalShare(heldShares)
			inside := false
			for _, o := range c.Between(now, now.Add(1)) {
				from, until := o.Window()
				inside = inside || !now.Before(from) && now.Before(until)
			}
			if h < 0 || h > maxHeldShare+1e-9 || h > 0 && !inside {
				t.Fatalf("%v held at %v, inside %v", h, now, inside)
			}
			for id, e := range k.tracked {
				if e.state == StateNoShow {
					share := totalShare(e.heldShares(now, false))
					if before, ok := noShowShares[id]; ok && share > before+1e-12 {
						t.Fatalf("%v held again after a no-show", share)
					}
					noShowShares[id] = share
				}
			}
			now = now.Add(2 * time.Second)
			if ticks++; ticks == jump*20 {
				now = now.Add(time.Duration(rapid.IntRange(-5, 5).Draw(t, "by")) * time.Minute)
			}
		}
	})
}

// When nodes with held room drain or are cut off, the same slots are held on those
// that are left, from the next tick on.
func TestHoldMoves(t *testing.T) {
	p := tenfoldPeak()
	k := NewKeeper(Calendar{Peaks: []Peak{p}}, DefaultErrorRates)
	at := announcedBegin.Add(-4 * time.Second)
	before, moved := 0.0, false
	runKeeper(k, 2, announcedBegin.Add(-5*time.Minute), announcedBegin, constant(0), false, func(now time.Time) float64 {
		if now.Before(at) {
			return 160
		}
		return 100
	}, func(now time.Time, held []float64, _ []Notice) {
		if now.Equal(at.Add(-time.Second)) {
			before = totalShare(held) * 160
		}
		if now.Equal(at) { // the hold grows meanwhile
			moved = true
			if after := totalShare(held) * 100; before <= 0 || after < before {
				t.Errorf("%.2f slots held before, %.2f after", before, after)
			}
		}
	})
	if !moved {
		t.Error("nothing was looked at")
	}
}

// What peaks that overlap bring adds up, and so do their holds, in one room.
func TestOverlappingPeaks(t *testing.T) {
	a, b := tenfoldPeak(), tenfoldPeak()
	b.Name, b.At = "second", a.At+30*time.Second
	held := func(c Calendar) (most float64) {
		runKeeper(NewKeeper(c, DefaultErrorRates), 4, announcedBegin.Add(-4*time.Minute), announcedBegin, constant(0), false, constant(160), func(now time.Time, h []float64, _ []Notice) { most = totalShare(h) })
		return most
	}
	// At a's begin, half a minute before b's.
	one, two, both := held(Calendar{Peaks: []Peak{a}}), held(Calendar{Peaks: []Peak{b}}), held(Calendar{Peaks: []Peak{a, b}})
	if one <= 0 || both < one+two-1e-9 || both > one+two+0.02 {
		t.Errorf("%.4f, %.4f, both %.4f", one, two, both)
	}
}

// A peak that is announced while it runs is taken for the ordinary, and nothing is
// held for it any more.
func TestPeakAnnouncedAfterBegin(t *testing.T) {
	k := NewKeeper(Calendar{Peaks: []Peak{tenfoldPeak()}}, DefaultErrorRates)
	runKeeper(k, 5, announcedBegin.Add(5*time.Minute), announcedBegin.Add(7*time.Minute), func(t time.Time) float64 { return peakLevel(t, 0) }, false, constant(160), func(now time.Time, held []float64, _ []Notice) {
		if totalShare(held) > 0 {
			t.Fatalf("%v held at %v", held, now)
		}
	})
}

// An announcement that is ten times too large costs ordinary sessions no more than
// the operator allows, by the plan, and is given back.
func TestOverstatedPeak(t *testing.T) {
	capacitySlots, classes := testFleet(0.45)
	for _, harm := range []float64{0.01, 0.03, 0.1} {
		o := doublingOccurrence()
		o.Peak.Factor, o.Peak.MaxHarm, o.Peak.Probability = 20, harm, 1
		p, err := MakePlan(o, capacitySlots, classes)
		if err != nil || p.OrdinaryLoss > harm+1e-3 || totalShare(p.HeldShares) == 0 {
			t.Errorf("harm %v: %v, loses %.4f, holds %.3f", harm, err, p.OrdinaryLoss, totalShare(p.HeldShares))
		}
	}
}
