package broker

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"millethinge/control"
	"millethinge/internal/peaks"
)

// peakLabel is the name of the label by which a rule assigns a request to an announced
// peak.
const peakLabel = "peak"

// peakTickInterval is the time between calls of peakPlanner.Tick.
const peakTickInterval = time.Second

// PeakConfig holds the announced peaks, and what is known of the classes at the start.
type PeakConfig struct {
	Calendar     peaks.Calendar
	Classes      []peaks.Class // Rate is that of all managers; Survival may be nil
	MeanLengthsS []float64     // by class, the initial estimate of the sessions' mean length in s; 0 or absent: 35 s
}

// peakPlanner passes the broker's arrivals and session lengths to the peaks.Keeper, and
// the shares of the fleet that the Keeper holds for announced peaks to the decision module.
type peakPlanner struct {
	NopPlanner
	log         *zap.Logger
	keeper      *peaks.Keeper
	peakNames   []string
	classes     []peaks.Class
	lengths     []*peaks.LengthEstimator
	arrivals    []int     // by class, since the last Tick
	ownArrivals []int     // by peak, those that a rule has assigned to it since the last Tick
	hasOwnRule  []bool    // by peak, whether a rule has ever assigned a request to it
	heldShares  []float64 // by class, as last passed to the decision module
}

func newPeakPlanner(cfg PeakConfig, managers int, log *zap.Logger) *peakPlanner {
	if len(cfg.Calendar.Peaks) == 0 {
		return nil
	}
	p := &peakPlanner{
		log:    log,
		keeper: peaks.NewKeeper(cfg.Calendar, peaks.DefaultErrorRates), classes: slices.Clone(cfg.Classes), arrivals: make([]int, len(cfg.Classes)),
		ownArrivals: make([]int, len(cfg.Calendar.Peaks)), hasOwnRule: make([]bool, len(cfg.Calendar.Peaks)), heldShares: make([]float64, len(cfg.Classes)),
	}
	for i := range p.classes {
		p.classes[i].Rate /= float64(max(managers, 1))
		guess := 35.0
		if i < len(cfg.MeanLengthsS) && cfg.MeanLengthsS[i] > 0 {
			guess = cfg.MeanLengthsS[i]
		}
		p.lengths = append(p.lengths, peaks.NewLengthEstimator(guess))
	}
	for i := range cfg.Calendar.Peaks {
		p.peakNames = append(p.peakNames, cfg.Calendar.Peaks[i].Name)
	}
	return p
}

// Interval returns peakTickInterval.
func (p *peakPlanner) Interval() time.Duration { return peakTickInterval }

// RequestArrived counts a request, and reports whether a rule has assigned it to an
// announced peak.
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

// SessionEnded adds a session's length to the estimate of its class.
func (p *peakPlanner) SessionEnded(_ time.Time, class int, played time.Duration, interrupted bool) {
	p.lengths[class].Add(played.Seconds(), interrupted)
}

// Tick runs the peaks.Keeper, logs its notices, and returns an event if the held shares
// have changed.
func (p *peakPlanner) Tick(now time.Time, v BrokerView) []control.Event {
	ages := v.SessionAges()
	for i := range p.classes {
		p.classes[i].Survival = p.lengths[i].Survival(ages[i])
	}
	input := peaks.Input{Now: now, CapacitySlots: v.FleetSlots(), ManagerShare: v.LoadShare(), Classes: p.classes, Arrivals: p.arrivals}
	for i, n := range p.ownArrivals {
		if p.hasOwnRule[i] {
			input.PeakArrivals = append(input.PeakArrivals, peaks.PeakArrivals{Peak: i, Count: n})
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
