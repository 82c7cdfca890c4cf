package broker

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"millethinge/control"
	"millethinge/internal/peaks"
)

// peakLabel is the label by which a rule says whose peak's a request is.
const peakLabel = "peak"

// peakTickInterval is how often announced peaks are looked at.
const peakTickInterval = time.Second

// PeakConfig is what is announced, and what is known of the classes beforehand.
type PeakConfig struct {
	Calendar     peaks.Calendar
	Classes      []peaks.Class // Rate: of all managers; Survival may be nil
	MeanLengthsS []float64     // s, a first guess of the classes' mean lengths
}

// peakPlanner feeds the keeper of announced peaks with what the broker sees, and the
// decision module with what is to be held.
type peakPlanner struct {
	NopPlanner
	log         *zap.Logger
	keeper      *peaks.Keeper
	peakNames   []string
	classes     []peaks.Class
	lengths     []*peaks.Lengths
	arrivals    []int
	ownArrivals []int
	hasOwnRule  []bool // a rule tells this peak's requests from others
	heldShares  []float64
}

func newPeakPlanner(p PeakConfig, managers int, log *zap.Logger) *peakPlanner {
	if len(p.Calendar.Peaks) == 0 {
		return nil
	}
	h := &peakPlanner{
		log:    log,
		keeper: peaks.NewKeeper(p.Calendar, peaks.DefaultErrors), classes: slices.Clone(p.Classes), arrivals: make([]int, len(p.Classes)),
		ownArrivals: make([]int, len(p.Calendar.Peaks)), hasOwnRule: make([]bool, len(p.Calendar.Peaks)), heldShares: make([]float64, len(p.Classes)),
	}
	for i := range h.classes {
		h.classes[i].Rate /= float64(max(managers, 1))
		guess := 35.0
		if i < len(p.MeanLengthsS) && p.MeanLengthsS[i] > 0 {
			guess = p.MeanLengthsS[i]
		}
		h.lengths = append(h.lengths, peaks.NewLengths(guess))
	}
	for i := range p.Calendar.Peaks {
		h.peakNames = append(h.peakNames, p.Calendar.Peaks[i].Name)
	}
	return h
}

// Interval is part of Part.
func (h *peakPlanner) Interval() time.Duration { return peakTickInterval }

// RequestArrived counts a request, and tells whether it is one of an announced peak's own.
func (h *peakPlanner) RequestArrived(_ time.Time, r *Request) bool {
	h.arrivals[r.Class]++
	for _, l := range r.Route.Labels {
		if l.Name != peakLabel {
			continue
		}
		if i := slices.Index(h.peakNames, l.Value); i >= 0 {
			h.ownArrivals[i]++
			h.hasOwnRule[i] = true
			return true
		}
	}
	return false
}

// SessionEnded takes a session's length.
func (h *peakPlanner) SessionEnded(_ time.Time, class int, played time.Duration, broken bool) {
	h.lengths[class].Add(played.Seconds(), broken)
}

// Tick has the keeper plan and watch, and tells the module what is held.
func (h *peakPlanner) Tick(now time.Time, v BrokerView) []control.Event {
	ages := v.SessionAges()
	for i := range h.classes {
		h.classes[i].Survival = h.lengths[i].Survival(ages[i])
	}
	input := peaks.Input{Now: now, Room: v.FleetSlots(), Share: v.ArrivalShare(), Classes: h.classes, Counts: h.arrivals}
	for i, n := range h.ownArrivals {
		if h.hasOwnRule[i] {
			input.Own = append(input.Own, peaks.Own{Peak: i, Count: n})
		}
	}
	shares, notices := h.keeper.Tick(input)
	clear(h.arrivals)
	clear(h.ownArrivals)
	for _, n := range notices {
		h.log.Info("announced peak", zap.String("peak", n.Peak.Name), zap.Time("begin", n.Begin), zap.String("notice", n.Text))
	}
	if slices.Equal(shares, h.heldShares) {
		return nil
	}
	h.heldShares = shares
	return []control.Event{{Kind: control.EvHold, Hold: shares}}
}
