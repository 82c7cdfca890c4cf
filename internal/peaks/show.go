package peaks

import (
	"math"
	"time"
)

// State is what has become of an announced peak.
type State uint8

const (
	StateAwaited  State = iota // its time has not come, or it is not told yet
	StateArrived               // more come, early, in time or late
	StateNoShow                // it does not come; what was held has been given back
	StateFinished              // its window is over
)

func (s State) String() string {
	return [...]string{"awaited", "came", "no show", "finished"}[s]
}

// ErrorRates are the rates at which a Show may be wrong.
type ErrorRates struct {
	MissedPeak float64 // that a peak of the announced size is taken for a no-show
	FalsePeak  float64 // that ordinary traffic at its begin is taken for the peak
	// Alarm is how often in its early window ordinary traffic is taken for the peak
	// that comes early: a probability for the whole window.
	EarlyFalseAlarm float64
	// Spread is how much more counts vary than those of independent arrivals: the
	// variance over the mean.
	Dispersion float64
}

// DefaultErrorRates are those that the operators' page states.
var DefaultErrorRates = ErrorRates{MissedPeak: 0.01, FalsePeak: 0.01, EarlyFalseAlarm: 0.01, Dispersion: 1.5}

const (
	// maxDecisionDelay is after which the likelier is taken, counted from when the peak
	// should have been told: when ordinary traffic would have brought the ratio down
	// to its bound on the mean.
	maxDecisionDelay = 8 * time.Second
	sizeWindowS      = 15.0 // s over which the size of a peak that came is measured
)

// Detector tells from arrivals whether an announced peak comes. It is a sequential
// test of the peak as it was announced against ordinary traffic, and beside it a
// cumulative sum that finds the peak whenever else it begins.
type Detector struct {
	Occurrence
	ErrorRates
	state     State
	decidedAt time.Time // when the state was last decided
	logRatio  float64   // log likelihood of the peak over ordinary traffic
	// sums are the same for the peak and for one of half its size, each since the
	// last moment at which it was least.
	cusums           [2]float64
	size             float64   // of what came, by the announced: 1 is as announced
	decisionDueAt    time.Time // when the peak should have been told; zero: not yet
	expectedSessions float64   // sessions that the peak should have brought
	expectedFall     float64   // by how much the ratio should have fallen without a peak
	lastTick         time.Time
}

// NewDetector begins to watch for an occurrence.
func NewDetector(o Occurrence, e ErrorRates) *Detector {
	return &Detector{Occurrence: o, ErrorRates: e}
}

// State is what has been decided, and when.
func (d *Detector) State() (State, time.Time) { return d.state, d.decidedAt }

// Size is how large the peak is that came, by what was announced.
func (d *Detector) Size() float64 { return d.size }

// Tick takes the arrivals of the peak's classes, or of its own requests, since the
// last Tick: count of them came, base a second come ordinarily, and more a second
// would come besides at the full peak.
func (d *Detector) Tick(now time.Time, count int, ordinaryRate, extraRate float64) State {
	dt := now.Sub(d.lastTick).Seconds()
	first := d.lastTick.IsZero()
	d.lastTick = now
	if first || !(dt > 0) || dt > 60 { // guard: a clock that jumped tells nothing of a rate
		return d.state
	}
	from := d.Begin.Add(-d.Peak.Early)
	switch {
	case d.state == StateFinished:
		return d.state
	case !now.Before(d.End.Add(d.Peak.Ramp)):
		return d.setState(StateFinished, now)
	case now.Before(from) || extraRate <= 0:
		return d.state
	}
	ordinaryRate = max(ordinaryRate, 0.01) // nobody comes at no rate at all
	n := float64(count)
	for i, scale := range [...]float64{1, 0.5} {
		d.cusums[i] = max(d.cusums[i]+d.logLikelihoodRatio(n, ordinaryRate, ordinaryRate+scale*extraRate, dt), 0)
	}
	d.size += (max(n/dt-ordinaryRate, 0)/extraRate - d.size) * (1 - math.Exp(-dt/sizeWindowS))
	switch d.state {
	case StateAwaited:
		if d.cusumAlarm() {
			return d.setState(StateArrived, now)
		}
		if now.Before(d.Begin) {
			return d.state
		}
		return d.testAnnounced(now, n, ordinaryRate, extraRate, dt)
	case StateNoShow: // it may still come, late
		if d.cusumAlarm() {
			return d.setState(StateArrived, now)
		}
	}
	return d.state
}

// testAnnounced holds the peak as announced against ordinary traffic.
func (d *Detector) testAnnounced(now time.Time, n, ordinaryRate, extraRate, dt float64) State {
	level := d.Level(now.Add(-time.Duration(dt * float64(time.Second) / 2)))
	d.logRatio += d.logLikelihoodRatio(n, ordinaryRate, ordinaryRate+extraRate*level, dt)
	d.expectedSessions += extraRate * level * dt
	d.expectedFall -= d.logLikelihoodRatio(ordinaryRate*dt, ordinaryRate, ordinaryRate+extraRate*level, dt)
	upper, lower := math.Log((1-d.MissedPeak)/d.FalsePeak), math.Log(d.MissedPeak/(1-d.FalsePeak))
	// Guard: at its very begin a peak with a ramp brings next to nothing, and what
	// would tell it from nothing is noise.
	if d.expectedSessions < minExpectedSessions {
		return d.state
	}
	if d.decisionDueAt.IsZero() && d.expectedFall >= -lower {
		d.decisionDueAt = now
	}
	overdue := !d.decisionDueAt.IsZero() && now.Sub(d.decisionDueAt) >= maxDecisionDelay
	switch {
	case d.logRatio >= upper, overdue && d.logRatio > 0:
		return d.setState(StateArrived, now)
	case d.logRatio <= lower, overdue:
		return d.setState(StateNoShow, now)
	}
	return d.state
}

// minExpectedSessions is how many sessions a peak has to have brought before it can be
// missed.
const minExpectedSessions = 8

// logLikelihoodRatio is the log likelihood of rate b over rate a for n arrivals in dt, for counts
// that vary as stated.
func (d *Detector) logLikelihoodRatio(n, a, b, dt float64) float64 {
	return (n*math.Log(b/a) - (b-a)*dt) / max(d.Dispersion, 1)
}

// cusumAlarm tells whether a sum is so high that ordinary traffic is improbable in the
// whole early window: each second may begin a new sum, and there are two.
func (d *Detector) cusumAlarm() bool {
	return max(d.cusums[0], d.cusums[1]) > math.Log(2*max(d.Peak.Early.Seconds(), 60)/d.EarlyFalseAlarm)
}

func (d *Detector) setState(state State, now time.Time) State {
	if state != d.state {
		d.state, d.decidedAt = state, now
	}
	return d.state
}
