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

func newPeakPlanner(cfg PeakConfig, managers int, log *zap.Logger) *peakPlanner {
	if len(cfg.Calendar.Peaks) == 0 {
		return nil
	}
	p := &peakPlanner{
		log:    log,
		keeper: peaks.NewKeeper(cfg.Calendar, peaks.DefaultErrors), classes: slices.Clone(cfg.Classes), arrivals: make([]int, len(cfg.Classes)),
		ownArrivals: make([]int, len(cfg.Calendar.Peaks)), hasOwnRule: make([]bool, len(cfg.Calendar.Peaks)), heldShares: make([]float64, len(cfg.Classes)),
	}
	for i := range p.classes {
		p.classes[i].Rate /= float64(max(managers, 1))
		guess := 35.0
		if i < len(cfg.MeanLengthsS) && cfg.MeanLengthsS[i] > 0 {
			guess = cfg.MeanLengthsS[i]
		}
		p.lengths = append(p.lengths, peaks.NewLengths(guess))
	}
	for i := range cfg.Calendar.Peaks {
		p.peakNames = append(p.peakNames, cfg.Calendar.Peaks[i].Name)
	}
	return p
}

// Interval is part of Part.
func (p *peakPlanner) Interval() time.Duration { return peakTickInterval }

// RequestArrived counts a request, and tells whether it is one of an announced peak's own.
func (p *peakPlanner) RequestArrived(_ time.Time, r *Request) bool {
	p.arrivals[r.Class]++
	for _, l := range r.Route.Labels {
		if l.Name != peakLabel {
			continue
		}
		if i := slices.Index(p.peakNames, l.Value); i >= 0 {
			p.ownArrivals[i]++
			p.hasOwnRule[i] = true
			return true
		}
	}
	return false
}

// SessionEnded takes a session's length.
func (p *peakPlanner) SessionEnded(_ time.Time, class int, played time.Duration, interrupted bool) {
	p.lengths[class].Add(played.Seconds(), interrupted)
}

// Tick has the keeper plan and watch, and tells the module what is held.
func (p *peakPlanner) Tick(now time.Time, v BrokerView) []control.Event {
	ages := v.SessionAges()
	for i := range p.classes {
		p.classes[i].Survival = p.lengths[i].Survival(ages[i])
	}
	input := peaks.Input{Now: now, Room: v.FleetSlots(), Share: v.ArrivalShare(), Classes: p.classes, Counts: p.arrivals}
	for i, n := range p.ownArrivals {
		if p.hasOwnRule[i] {
			input.Own = append(input.Own, peaks.Own{Peak: i, Count: n})
		}
	}
	shares, notices := p.keeper.Tick(input)
	clear(p.arrivals)
	clear(p.ownArrivals)
	for _, n := range notices {
		p.log.Info("announced peak", zap.String("peak", n.Peak.Name), zap.Time("begin", n.Begin), zap.String("notice", n.Text))
	}
	if slices.Equal(shares, p.heldShares) {
		return nil
	}
	p.heldShares = shares
	return []control.Event{{Kind: control.EventHold, HeldShares: shares}}
}
