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
	keeper  *peaks.Keeper
	names   []string
	classes []peaks.Class
	lengths []*peaks.Lengths
	counts  []int
	own     []int
	ruled   []bool // a rule tells this peak's requests from others
	held    []float64
}

func newHolder(p Peaks, fronts int) *holder {
	if len(p.Calendar.Peaks) == 0 {
		return nil
	}
	h := &holder{
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

// arrived counts a request, and tells whether it is one of an announced peak's own.
func (h *holder) arrived(r *Request) bool {
	if h == nil {
		return false
	}
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

// ended takes a session's length.
func (h *holder) ended(now time.Time, s *session, status control.Status) {
	if h == nil || s.stood.IsZero() {
		return
	}
	h.lengths[s.Class].Add(now.Sub(s.stood).Seconds(), status != control.OK && status != control.Cancelled)
}

// tickPeaks has the keeper plan and watch, and tells the module what is held.
func (b *Broker) tickPeaks(now time.Time) {
	h := b.holder
	ages := make([][]float64, len(h.classes))
	for _, s := range b.sessions {
		if s.playing && !s.stood.IsZero() {
			ages[s.Class] = append(ages[s.Class], now.Sub(s.stood).Seconds())
		}
	}
	for i := range h.classes {
		h.classes[i].Survival = h.lengths[i].Survival(ages[i])
	}
	in := peaks.Input{Now: now, Room: b.ctl.Room(), Share: b.ctl.Share(), Classes: h.classes, Counts: h.counts}
	for i, n := range h.own {
		if h.ruled[i] {
			in.Own = append(in.Own, peaks.Own{Peak: i, Count: n})
		}
	}
	held, notices := h.keeper.Tick(in)
	clear(h.counts)
	clear(h.own)
	for _, n := range notices {
		b.log.Info("announced peak", zap.String("peak", n.Peak.Name), zap.Time("begin", n.Begin), zap.String("notice", n.Text))
	}
	if !slices.Equal(held, h.held) {
		h.held = held
		b.tell(control.Event{Kind: control.EvHold, Hold: held})
	}
	b.timers.add(now.Add(peakTick), timerPeaks, 0, 0)
}
