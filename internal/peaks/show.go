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
func (s *Detector) State() (State, time.Time) { return s.state, s.decidedAt }

// Size is how large the peak is that came, by what was announced.
func (s *Detector) Size() float64 { return s.size }

// Tick takes the arrivals of the peak's classes, or of its own requests, since the
// last Tick: count of them came, base a second come ordinarily, and more a second
// would come besides at the full peak.
func (s *Detector) Tick(now time.Time, count int, ordinaryRate, extraRate float64) State {
	dt := now.Sub(s.lastTick).Seconds()
	first := s.lastTick.IsZero()
	s.lastTick = now
	if first || !(dt > 0) || dt > 60 { // guard: a clock that jumped tells nothing of a rate
		return s.state
	}
	from := s.Begin.Add(-s.Peak.Early)
	switch {
	case s.state == StateFinished:
		return s.state
	case !now.Before(s.End.Add(s.Peak.Ramp)):
		return s.setState(StateFinished, now)
	case now.Before(from) || extraRate <= 0:
		return s.state
	}
	ordinaryRate = max(ordinaryRate, 0.01) // nobody comes at no rate at all
	n := float64(count)
	for i, scale := range [...]float64{1, 0.5} {
		s.cusums[i] = max(s.cusums[i]+s.logLikelihoodRatio(n, ordinaryRate, ordinaryRate+scale*extraRate, dt), 0)
	}
	s.size += (max(n/dt-ordinaryRate, 0)/extraRate - s.size) * (1 - math.Exp(-dt/sizeWindowS))
	switch s.state {
	case StateAwaited:
		if s.cusumAlarm() {
			return s.setState(StateArrived, now)
		}
		if now.Before(s.Begin) {
			return s.state
		}
		return s.testAnnounced(now, n, ordinaryRate, extraRate, dt)
	case StateNoShow: // it may still come, late
		if s.cusumAlarm() {
			return s.setState(StateArrived, now)
		}
	}
	return s.state
}

// testAnnounced holds the peak as announced against ordinary traffic.
func (s *Detector) testAnnounced(now time.Time, n, ordinaryRate, extraRate, dt float64) State {
	level := s.Level(now.Add(-time.Duration(dt * float64(time.Second) / 2)))
	s.logRatio += s.logLikelihoodRatio(n, ordinaryRate, ordinaryRate+extraRate*level, dt)
	s.expectedSessions += extraRate * level * dt
	s.expectedFall -= s.logLikelihoodRatio(ordinaryRate*dt, ordinaryRate, ordinaryRate+extraRate*level, dt)
	upper, lower := math.Log((1-s.MissedPeak)/s.FalsePeak), math.Log(s.MissedPeak/(1-s.FalsePeak))
	// Guard: at its very begin a peak with a ramp brings next to nothing, and what
	// would tell it from nothing is noise.
	if s.expectedSessions < minExpectedSessions {
		return s.state
	}
	if s.decisionDueAt.IsZero() && s.expectedFall >= -lower {
		s.decisionDueAt = now
	}
	overdue := !s.decisionDueAt.IsZero() && now.Sub(s.decisionDueAt) >= maxDecisionDelay
	switch {
	case s.logRatio >= upper, overdue && s.logRatio > 0:
		return s.setState(StateArrived, now)
	case s.logRatio <= lower, overdue:
		return s.setState(StateNoShow, now)
	}
	return s.state
}

// minExpectedSessions is how many sessions a peak has to have brought before it can be
// missed.
const minExpectedSessions = 8

// logLikelihoodRatio is the log likelihood of rate b over rate a for n arrivals in dt, for counts
// that vary as stated.
func (s *Detector) logLikelihoodRatio(n, a, b, dt float64) float64 {
	return (n*math.Log(b/a) - (b-a)*dt) / max(s.Dispersion, 1)
}

// cusumAlarm tells whether a sum is so high that ordinary traffic is improbable in the
// whole early window: each second may begin a new sum, and there are two.
func (s *Detector) cusumAlarm() bool {
	return max(s.cusums[0], s.cusums[1]) > math.Log(2*max(s.Peak.Early.Seconds(), 60)/s.EarlyFalseAlarm)
}

func (s *Detector) setState(state State, now time.Time) State {
	if state != s.state {
		s.state, s.decidedAt = state, now
	}
	return s.state
}
