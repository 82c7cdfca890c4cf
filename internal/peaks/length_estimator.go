package peaks

import "math"

// LengthEstimator estimates the distribution of session lengths by the product-limit
// (Kaplan-Meier) estimate in steps of one second. Sessions that were interrupted or still
// play are censored: they are only known to last longer than observed. Old observations
// lose weight over time.
type LengthEstimator struct {
	ended      [maxLengthS]float64 // by length in s, sessions that ended by themselves
	censored   [maxLengthS]float64 // by length in s, sessions that were interrupted
	observed   float64             // total of both
	priorMeanS float64             // assumed mean length, used until enough has been observed
}

const (
	maxLengthS    = 300  // in s; longer sessions count as this long
	priorSessions = 8    // number of observed sessions that the assumed mean counts for
	halvingCount  = 2000 // number of sessions after which all observations lose half their weight
)

// NewLengthEstimator returns a LengthEstimator that assumes a mean length in seconds until
// it has observed sessions.
func NewLengthEstimator(priorMeanS float64) *LengthEstimator {
	return &LengthEstimator{priorMeanS: min(max(priorMeanS, 1), maxLengthS-1)}
}

// Add records the length of a session in seconds. censored means that the session did not
// end by itself.
func (l *LengthEstimator) Add(lengthS float64, censored bool) {
	if !(lengthS >= 0) { // guard: after a jump of the clock the length is not known
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

// Survival returns, by second, the share of sessions that last at least that long.
// playingAges are the ages in seconds of the sessions that play now; they count as censored.
func (l *LengthEstimator) Survival(playingAges []float64) []float64 {
	var atRisk [maxLengthS + 1]float64 // by second, sessions that lasted until it
	censored := l.censored
	for _, age := range playingAges {
		if age >= 0 {
			censored[int(min(age, maxLengthS-1))]++
		}
	}
	for i := maxLengthS - 1; i >= 0; i-- {
		atRisk[i] = atRisk[i+1] + l.ended[i] + censored[i]
	}
	// The prior is equivalent to priorSessions observed sessions of exponential length.
	priorHazard := 1 - math.Exp(-1/l.priorMeanS)
	s := make([]float64, maxLengthS+1)
	s[0] = 1
	for i := range maxLengthS {
		prior := priorSessions * math.Exp(-float64(i)/l.priorMeanS)
		exposed := atRisk[i] - censored[i]/2 // sessions censored in this second were at risk for half of it
		s[i+1] = s[i] * (1 - (l.ended[i]+prior*priorHazard)/max(exposed+prior, 1e-9))
		if s[i+1] < 1e-6 {
			break
		}
	}
	return s
}

// MeanLength returns the mean length in seconds of a distribution given by its survival.
func MeanLength(survival []float64) float64 {
	sum := 0.0
	for i := 1; i < len(survival); i++ {
		sum += (survival[i-1] + survival[i]) / 2
	}
	return sum
}
