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

// peakTick is how often announced peaks are looked at.
const peakTick = time.Second

// Peaks is what is announced, and what is known of the classes beforehand.
type Peaks struct {
	Calendar peaks.Calendar
	Classes  []peaks.Class // Rate: of all managers; Survival may be nil
	Lasts    []float64     // s, a first guess of the classes' mean lengths
}

// holder feeds the keeper of announced peaks with what the broker sees, and the
// decision module with what is to be held.
type holder struct {
	Unmoved
	log     *zap.Logger
	keeper  *peaks.Keeper
	names   []string
	classes []peaks.Class
	lengths []*peaks.Lengths
	counts  []int
	own     []int
	ruled   []bool // a rule tells this peak's requests from others
	held    []float64
}

func newHolder(p Peaks, fronts int, log *zap.Logger) *holder {
	if len(p.Calendar.Peaks) == 0 {
		return nil
	}
	h := &holder{
		log:    log,
		keeper: peaks.NewKeeper(p.Calendar, peaks.DefaultErrors), classes: slices.Clone(p.Classes), counts: make([]int, len(p.Classes)),
		own: make([]int, len(p.Calendar.Peaks)), ruled: make([]bool, len(p.Calendar.Peaks)), held: make([]float64, len(p.Classes)),
	}
	for i := range h.classes {
		h.classes[i].Rate /= float64(max(fronts, 1))
		guess := 35.0
		if i < len(p.Lasts) && p.Lasts[i] > 0 {
			guess = p.Lasts[i]
		}
		h.lengths = append(h.lengths, peaks.NewLengths(guess))
	}
	for i := range p.Calendar.Peaks {
		h.names = append(h.names, p.Calendar.Peaks[i].Name)
	}
	return h
}

// Every is part of Part.
func (h *holder) Every() time.Duration { return peakTick }

// Arrived counts a request, and tells whether it is one of an announced peak's own.
func (h *holder) Arrived(_ time.Time, r *Request) bool {
	h.counts[r.Class]++
	for _, l := range r.Route.Labels {
		if l.Name != peakLabel {
			continue
		}
		if i := slices.Index(h.names, l.Value); i >= 0 {
			h.own[i]++
			h.ruled[i] = true
			return true
		}
	}
	return false
}

// Over takes a session's length.
func (h *holder) Over(_ time.Time, class int, stood time.Duration, broken bool) {
	h.lengths[class].Add(stood.Seconds(), broken)
}

// Tick has the keeper plan and watch, and tells the module what is held.
func (h *holder) Tick(now time.Time, v View) []control.Event {
	ages := v.Ages()
	for i := range h.classes {
		h.classes[i].Survival = h.lengths[i].Survival(ages[i])
	}
	in := peaks.Input{Now: now, Room: v.Room(), Share: v.Share(), Classes: h.classes, Counts: h.counts}
	for i, n := range h.own {
		if h.ruled[i] {
			in.Own = append(in.Own, peaks.Own{Peak: i, Count: n})
		}
	}
	held, notices := h.keeper.Tick(in)
	clear(h.counts)
	clear(h.own)
	for _, n := range notices {
		h.log.Info("announced peak", zap.String("peak", n.Peak.Name), zap.Time("begin", n.Begin), zap.String("notice", n.Text))
	}
	if slices.Equal(held, h.held) {
		return nil
	}
	h.held = held
	return []control.Event{{Kind: control.EventHold, HeldShares: held}}
}
