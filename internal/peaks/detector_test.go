package peaks

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// occurrence returns an occurrence of a peak of 20 minutes with the given ramp.
func occurrence(ramp time.Duration) Occurrence {
	p := &Peak{Name: "p", Ramp: ramp, Lead: 2 * time.Minute, Early: 10 * time.Minute, Length: 20 * time.Minute}
	begin := time.Unix(1_800_000_000, 0)
	return Occurrence{Peak: p, Begin: begin, End: begin.Add(p.Length)}
}

// runDetector ticks a detector once a second from 15 minutes before the begin until after the
// end. Sessions come at ordinaryRate plus extraRate times the level, with counts of the given
// dispersion. If each is not nil, it is called after each tick.
func runDetector(o Occurrence, seed uint64, ordinaryRate, extraRate, dispersion float64, level func(time.Time) float64, each func(time.Time, State)) *Detector {
	s := NewDetector(o, DefaultErrorRates)
	src := rand.NewPCG(seed, 1)
	for now := o.Begin.Add(-15 * time.Minute); now.Before(o.End.Add(2 * time.Minute)); now = now.Add(time.Second) {
		// A negative binomial of that mean and dispersion, as a mixture of Poissons.
		mean := ordinaryRate + extraRate*level(now)
		if dispersion > 1 {
			mean = distuv.Gamma{Alpha: mean / (dispersion - 1), Beta: 1 / (dispersion - 1), Src: src}.Rand()
		}
		n := int(distuv.Poisson{Lambda: mean, Src: src}.Rand())
		st := s.Tick(now, n, ordinaryRate, extraRate)
		if each != nil {
			each(now, st)
		}
	}
	return s
}

// TestDetector checks the decisions of a detector, and their delay, on simulated days whose
// truth is known, against the stated error rates: 400 days of each kind, with fixed seeds.
func TestDetector(t *testing.T) {
	if testing.Short() {
		t.Skip("short: one goroutine, and run without the race detector")
	}
	const days = 400
	for name, e := range map[string]struct {
		base, more float64
		ramp       time.Duration
		level      func(o Occurrence, t time.Time) float64
		want       State
		wrong      float64 // maximum share of days with another decision
		within     time.Duration
		from       func(o Occurrence) time.Time
	}{
		"as announced":    {3.7, 3.7, 0, func(o Occurrence, t time.Time) float64 { return o.Level(t) }, StateArrived, 0.02, 20 * time.Second, Occurrence.beginTime},
		"with a ramp":     {3.7, 3.7, time.Minute, func(o Occurrence, t time.Time) float64 { return o.Level(t) }, StateArrived, 0.02, time.Minute, Occurrence.beginTime},
		"larger":          {3.7, 3.7, 0, func(o Occurrence, t time.Time) float64 { return 2 * o.Level(t) }, StateArrived, 0.01, 10 * time.Second, Occurrence.beginTime},
		"no show":         {3.7, 3.7, 0, func(Occurrence, time.Time) float64 { return 0 }, StateNoShow, 0.03, 16 * time.Second, Occurrence.beginTime},
		"no show, many":   {40, 40, 0, func(Occurrence, time.Time) float64 { return 0 }, StateNoShow, 0.03, 4 * time.Second, Occurrence.beginTime},
		"no show, ramp":   {3.7, 3.7, time.Minute, func(Occurrence, time.Time) float64 { return 0 }, StateNoShow, 0.03, 50 * time.Second, Occurrence.beginTime},
		"ten min. early":  {3.7, 3.7, 0, func(o Occurrence, t time.Time) float64 { return o.Level(t.Add(10 * time.Minute)) }, StateArrived, 0.01, 30 * time.Second, Occurrence.earlyTime},
		"one minute late": {3.7, 3.7, 0, func(o Occurrence, t time.Time) float64 { return o.Level(t.Add(-time.Minute)) }, StateArrived, 0.01, 100 * time.Second, Occurrence.beginTime},
		"at half size":    {3.7, 3.7, 0, func(o Occurrence, t time.Time) float64 { return o.Level(t) / 2 }, StateArrived, 0.05, 3 * time.Minute, Occurrence.beginTime},
	} {
		o := occurrence(e.ramp)
		wrong := 0
		var took []float64
		for seed := range uint64(days) {
			var last State
			var at time.Time
			s := runDetector(o, seed, e.base, e.more, DefaultErrorRates.Dispersion, func(t time.Time) float64 { return e.level(o, t) }, func(now time.Time, st State) {
				if st != last && st != StateFinished {
					last, at = st, now
				}
			})
			if st, _ := s.State(); st != StateFinished {
				t.Fatalf("%s: %v at the end", name, st)
			}
			if last != e.want {
				wrong++
				continue
			}
			took = append(took, at.Sub(e.from(o)).Seconds())
		}
		slices.Sort(took)
		if part := float64(wrong) / days; part > e.wrong || len(took) == 0 {
			t.Errorf("%s: the decision was wrong on a share of %.3f of the days", name, part)
			continue
		}
		late := took[int(math.Ceil(float64(len(took))*0.95))-1]
		if late > e.within.Seconds() {
			t.Errorf("%s: decided after %.0f s (95th percentile), want at most %v", name, late, e.within)
		}
		// Without a ramp, a hold is always released within 30 s after a no-show.
		if worst := took[len(took)-1]; name == "no show" && worst+((releaseSteps-1)*releaseInterval).Seconds() > 30 {
			t.Errorf("%s: decided after %.0f s in the worst case, so the hold is released after more than 30 s", name, worst)
		}
		t.Logf("%s: %d of %d wrong, decided after %.0f s (median), %.0f s (95th percentile), %.0f s (worst)", name, wrong, days, took[len(took)/2], late, took[len(took)-1])
	}
}

func (o Occurrence) beginTime() time.Time { return o.Begin }
func (o Occurrence) earlyTime() time.Time { return o.Begin.Add(-o.Peak.Early) }

// Ordinary traffic is taken for an early peak no more often than stated.
func TestDetectorFalseAlarms(t *testing.T) {
	if testing.Short() {
		t.Skip("short: one goroutine, and run without the race detector")
	}
	o := occurrence(0)
	alarms := 0
	const days = 1000
	for seed := range uint64(days) {
		came := false
		runDetector(o, seed, 3.7, 3.7, DefaultErrorRates.Dispersion, func(time.Time) float64 { return 0 }, func(now time.Time, st State) {
			came = came || st == StateArrived && now.Before(o.Begin)
		})
		if came {
			alarms++
		}
	}
	if float64(alarms) > 2*DefaultErrorRates.EarlyFalseAlarm*days {
		t.Errorf("ordinary traffic was taken for an early peak in %d of %d windows", alarms, days)
	}
	t.Logf("false alarms in %d of %d early windows", alarms, days)
}

// No decision follows from a jump of the clock.
func TestDetectorClockJump(t *testing.T) {
	o := occurrence(0)
	s := NewDetector(o, DefaultErrorRates)
	s.Tick(o.Begin.Add(-time.Minute), 0, 4, 4)
	s.Tick(o.Begin.Add(10*time.Minute), 5000, 4, 4)
	s.Tick(o.Begin.Add(9*time.Minute), 5000, 4, 4)
	s.Tick(o.Begin.Add(9*time.Minute), 5000, 4, 4)
	if st, _ := s.State(); st != StateAwaited {
		t.Error(st)
	}
	for i := range 20 {
		s.Tick(o.Begin.Add(9*time.Minute+time.Duration(i+1)*time.Second), 8, 4, 4)
	}
	if st, _ := s.State(); st != StateArrived {
		t.Error("no arrival detected after the jump: ", st)
	}
}

// The measured size of a peak is, on average, within 10% of the truth.
func TestDetectorSize(t *testing.T) {
	o := occurrence(0)
	for _, size := range []float64{0.5, 1, 2} {
		sum, n := 0.0, 0
		for seed := range uint64(50) {
			s := NewDetector(o, DefaultErrorRates)
			src := rand.NewPCG(seed, 2)
			for i := range 120 {
				s.Tick(o.Begin.Add(time.Duration(i)*time.Second), int(distuv.Poisson{Lambda: 10 + 10*size, Src: src}.Rand()), 10, 10)
			}
			sum += s.Size()
			n++
		}
		if mean := sum / float64(n); math.Abs(mean-size) > 0.1*size {
			t.Errorf("peak of size %v was measured as %v", size, mean)
		}
	}
}

// Lengths are estimated without bias even if half of the sessions are interrupted. A plain
// mean of the ended sessions would be too low.
func TestLengthEstimator(t *testing.T) {
	src := rand.NewPCG(7, 7)
	length := distuv.Uniform{Min: 26, Max: 65, Src: src} // as clip sessions last
	cutAt := distuv.Exponential{Rate: 1. / 50, Src: src}
	l := NewLengthEstimator(10)
	plain, ended := 0.0, 0.0
	for range 3000 {
		s, c := length.Rand(), cutAt.Rand()
		l.Add(min(s, c), c < s)
		if s <= c {
			plain += s
			ended++
		}
	}
	s := l.Survival(nil)
	if mean := MeanLength(s); math.Abs(mean-45.5) > 1.5 || plain/ended > 44 {
		t.Errorf("mean %.1f, want 45.5; mean of the ended sessions %.1f, want at most 44", mean, plain/ended)
	}
	for i := 1; i < len(s); i++ {
		if s[i] > s[i-1] || s[i] < 0 {
			t.Fatalf("survival rises at %d", i)
		}
	}
	if s[20] < 0.97 || s[70] > 0.03 {
		t.Errorf("survival %.3f at 20 s and %.3f at 70 s", s[20], s[70])
	}
	// Without observations, the mean is the prior; long ages of playing sessions correct a
	// prior that is too short.
	if m := MeanLength(NewLengthEstimator(40).Survival(nil)); math.Abs(m-40) > 1 {
		t.Errorf("prior mean of 40 s became %v", m)
	}
	if m := MeanLength(NewLengthEstimator(10).Survival(slices.Repeat([]float64{100}, 50))); m < 30 {
		t.Errorf("mean %v after 50 sessions have played for 100 s, want at least 30", m)
	}
	l.Add(math.NaN(), false)
	l.Add(-5, false)
	l.Add(1e9, true)
}
