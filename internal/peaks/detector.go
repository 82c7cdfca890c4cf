package peaks

import (
	"math"
	"time"
)

// State is the state of an announced peak.
type State uint8

// The states of an announced peak.
const (
	StateAwaited  State = iota // its time has not come, or it is not decided yet whether it comes
	StateArrived               // it has come, early, on time or late
	StateNoShow                // it has not come, so its hold is released; it may still come late
	StateFinished              // its window is over
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"awaited", "came", "no show", "finished"}[s]
}

// ErrorRates holds the rates of wrong decisions that a Detector may have, and the variance
// of the counts on which they are based.
type ErrorRates struct {
	MissedPeak float64 // probability that a peak of the announced size is taken for a no-show
	FalsePeak  float64 // probability that ordinary traffic at the announced begin is taken for the peak
	// EarlyFalseAlarm is the probability, for the whole time in which a peak may come too
	// early, that ordinary traffic is taken for the peak.
	EarlyFalseAlarm float64
	// Dispersion is the variance of counts over their mean; it is 1 for independent arrivals.
	Dispersion float64
}

// DefaultErrorRates are the error rates that the operators' documentation states.
var DefaultErrorRates = ErrorRates{MissedPeak: 0.01, FalsePeak: 0.01, EarlyFalseAlarm: 0.01, Dispersion: 1.5}

const (
	// maxDecisionDelay is the time after which the likelier alternative is chosen. It counts
	// from when the decision is due: when ordinary traffic would, on average, have brought
	// the log likelihood ratio down to its lower bound.
	maxDecisionDelay = 8 * time.Second
	sizeWindowS      = 15.0 // time constant of the measured size of a peak, in s
)

// Detector decides from arrivals whether an announced peak comes. It uses a sequential
// probability ratio test of the peak as announced against ordinary traffic, and cumulative
// sums (CUSUM) that detect a peak that begins at another time.
type Detector struct {
	Occurrence
	ErrorRates
	state     State
	decidedAt time.Time // when the state was last decided
	logRatio  float64   // log likelihood ratio of the announced peak over ordinary traffic
	// cusums are the log likelihood ratios of the full peak and of one of half its size, each
	// summed since its last minimum.
	cusums           [2]float64
	size             float64   // size of the peak relative to the announced one: 1 is as announced
	decisionDueAt    time.Time // when the sequential test should have decided; zero: not yet
	expectedSessions float64   // additional sessions that the peak should have brought so far
	expectedFall     float64   // by how much logRatio should have fallen so far without a peak
	lastTick         time.Time
}

// NewDetector returns a Detector for an occurrence.
func NewDetector(o Occurrence, e ErrorRates) *Detector {
	return &Detector{Occurrence: o, ErrorRates: e}
}

// State returns the state, and when it was decided.
func (d *Detector) State() (State, time.Time) { return d.state, d.decidedAt }

// Size returns the size of the peak relative to the announced one.
func (d *Detector) Size() float64 { return d.size }

// Tick takes the number of arrivals since the last Tick, of the peak's classes or of the
// requests that a rule assigns to it, and returns the new state. ordinaryRate is their
// ordinary rate per second, and extraRate the additional rate at the full peak.
func (d *Detector) Tick(now time.Time, count int, ordinaryRate, extraRate float64) State {
	dt := now.Sub(d.lastTick).Seconds()
	first := d.lastTick.IsZero()
	d.lastTick = now
	if first || !(dt > 0) || dt > 60 { // guard: after a jump of the clock the rate is not known
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
	ordinaryRate = max(ordinaryRate, 0.01) // a rate of 0 has no likelihood
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
	case StateNoShow: // it may still come late
		if d.cusumAlarm() {
			return d.setState(StateArrived, now)
		}
	}
	return d.state
}

// testAnnounced advances the sequential test of the peak as announced against ordinary
// traffic. dt is the time since the last Tick in seconds.
func (d *Detector) testAnnounced(now time.Time, n, ordinaryRate, extraRate, dt float64) State {
	level := d.Level(now.Add(-time.Duration(dt * float64(time.Second) / 2)))
	d.logRatio += d.logLikelihoodRatio(n, ordinaryRate, ordinaryRate+extraRate*level, dt)
	d.expectedSessions += extraRate * level * dt
	d.expectedFall -= d.logLikelihoodRatio(ordinaryRate*dt, ordinaryRate, ordinaryRate+extraRate*level, dt)
	upper, lower := math.Log((1-d.MissedPeak)/d.FalsePeak), math.Log(d.MissedPeak/(1-d.FalsePeak))
	// Guard: at its very begin, a peak with a ramp brings too few sessions to be told from
	// noise.
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

// minExpectedSessions is the number of additional sessions that a peak should have brought
// before the sequential test may decide.
const minExpectedSessions = 8

// logLikelihoodRatio returns the log likelihood ratio of rate b over rate a for n arrivals in
// dt seconds, with counts of the assumed dispersion.
func (d *Detector) logLikelihoodRatio(n, a, b, dt float64) float64 {
	return (n*math.Log(b/a) - (b-a)*dt) / max(d.Dispersion, 1)
}

// cusumAlarm reports whether a cumulative sum is higher than ordinary traffic is likely to
// bring it in the whole early window: each second may begin a new sum, and there are two
// sums.
func (d *Detector) cusumAlarm() bool {
	return max(d.cusums[0], d.cusums[1]) > math.Log(2*max(d.Peak.Early.Seconds(), 60)/d.EarlyFalseAlarm)
}

// setState sets the state and the time of its last change, and returns the state.
func (d *Detector) setState(state State, now time.Time) State {
	if state != d.state {
		d.state, d.decidedAt = state, now
	}
	return d.state
}
