package peaks

import "math"

// LengthEstimator estimates how long sessions last from those that have ended and from
// those that were cut short or still play, whose lengths are known to be longer
// only. It is the product-limit estimate over seconds, and forgets slowly.
type LengthEstimator struct {
	ended [lengthSteps]float64
	cut   [lengthSteps]float64
	seen  float64
	mean  float64 // until enough has been seen
}

const (
	lengthSteps = 300  // s; longer sessions count as this long
	priorCount  = 8    // sessions that the first guess counts for
	keepCount   = 2000 // sessions after which what was seen counts half as much
)

// NewLengthEstimator begins with a guess of the mean.
func NewLengthEstimator(mean float64) *LengthEstimator {
	return &LengthEstimator{mean: min(max(mean, 1), lengthSteps-1)}
}

// Add takes a session's length in seconds. Cut: it did not end by itself.
func (l *LengthEstimator) Add(s float64, cut bool) {
	if !(s >= 0) { // guard: a clock that jumped gives no length
		return
	}
	if i := int(min(s, lengthSteps-1)); cut {
		l.cut[i]++
	} else {
		l.ended[i]++
	}
	if l.seen++; l.seen >= keepCount {
		for i := range l.ended {
			l.ended[i] /= 2
			l.cut[i] /= 2
		}
		l.seen /= 2
	}
}

// Survival is the share of sessions that last for at least so many whole seconds,
// by second. playing are the ages of those that play now, which last longer.
func (l *LengthEstimator) Survival(playing []float64) []float64 {
	var risk [lengthSteps + 1]float64 // sessions that reached a second
	cut := l.cut
	for _, age := range playing {
		if age >= 0 {
			cut[int(min(age, lengthSteps-1))]++
		}
	}
	for i := lengthSteps - 1; i >= 0; i-- {
		risk[i] = risk[i+1] + l.ended[i] + cut[i]
	}
	// The guess is as if priorCount sessions of exponential length had been seen.
	hazard := 1 - math.Exp(-1/l.mean)
	s := make([]float64, lengthSteps+1)
	s[0] = 1
	for i := range lengthSteps {
		guess := priorCount * math.Exp(-float64(i)/l.mean)
		at := risk[i] - cut[i]/2 // those that are cut in this second were at risk for half of it
		s[i+1] = s[i] * (1 - (l.ended[i]+guess*hazard)/max(at+guess, 1e-9))
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
