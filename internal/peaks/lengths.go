package peaks

import "math"

// LengthEstimator estimates how long sessions last from those that have ended and from
// those that were cut short or still play, whose lengths are known to be longer
// only. It is the product-limit estimate over seconds, and forgets slowly.
type LengthEstimator struct {
	ended      [maxLengthS]float64
	censored   [maxLengthS]float64
	observed   float64
	priorMeanS float64 // until enough has been seen
}

const (
	maxLengthS    = 300  // s; longer sessions count as this long
	priorSessions = 8    // sessions that the first guess counts for
	halvingCount  = 2000 // sessions after which what was seen counts half as much
)

// NewLengthEstimator begins with a guess of the mean.
func NewLengthEstimator(priorMeanS float64) *LengthEstimator {
	return &LengthEstimator{priorMeanS: min(max(priorMeanS, 1), maxLengthS-1)}
}

// Add takes a session's length in seconds. Cut: it did not end by itself.
func (l *LengthEstimator) Add(lengthS float64, censored bool) {
	if !(lengthS >= 0) { // guard: a clock that jumped gives no length
		return
	}
	if i := int(min(lengthS, maxLengthS-1)); censored {
		l.censored[i]++
	} else {
		l.ended[i]++
	}
	if l.observed++; l.observed >= halvingCount {
		for i := range l.ended {
			l.ended[i] /= 2
			l.censored[i] /= 2
		}
		l.observed /= 2
	}
}

// Survival is the share of sessions that last for at least so many whole seconds,
// by second. playing are the ages of those that play now, which last longer.
func (l *LengthEstimator) Survival(playingAges []float64) []float64 {
	var atRisk [maxLengthS + 1]float64 // sessions that reached a second
	censored := l.censored
	for _, age := range playingAges {
		if age >= 0 {
			censored[int(min(age, maxLengthS-1))]++
		}
	}
	for i := maxLengthS - 1; i >= 0; i-- {
		atRisk[i] = atRisk[i+1] + l.ended[i] + censored[i]
	}
	// The guess is as if priorCount sessions of exponential length had been seen.
	priorHazard := 1 - math.Exp(-1/l.priorMeanS)
	s := make([]float64, maxLengthS+1)
	s[0] = 1
	for i := range maxLengthS {
		prior := priorSessions * math.Exp(-float64(i)/l.priorMeanS)
		exposed := atRisk[i] - censored[i]/2 // those that are cut in this second were at risk for half of it
		s[i+1] = s[i] * (1 - (l.ended[i]+prior*priorHazard)/max(exposed+prior, 1e-9))
		if s[i+1] < 1e-6 {
			break
		}
	}
	return s
}

// MeanLength is the mean of a survival, in seconds.
func MeanLength(survival []float64) float64 {
	sum := 0.0
	for i := 1; i < len(survival); i++ {
		sum += (survival[i-1] + survival[i]) / 2
	}
	return sum
}
