package peaks

import (
	"fmt"
	"math"
	"time"
)

const (
	planInterval    = 5 * time.Second // while a peak is awaited
	planLookahead   = time.Minute     // before its lead a peak is planned for the first time
	lateThreshold   = 30 * time.Second
	releaseInterval = 4 * time.Second // between the steps in which a hold is given back
	releaseSteps    = 4               // steps, the first at once
	fadeDuration    = time.Minute     // in which a peak that came takes up what was held for its own
	rateWindowS     = 300.0           // s over which ordinary rates are measured
	minRateWindow   = 60 * time.Second
)

// Input is what a Keeper is told, each second or so.
type Input struct {
	Now           time.Time
	CapacitySlots float64 // slots, by Room
	// Share is the part of all managers' arrivals that this one sees; 0 means all.
	ManagerShare float64
	Classes      []Class // Rate is what comes at this manager, as far as it is known at the start
	Arrivals     []int   // arrivals by class since the last Tick
	// Own are those of them that are a peak's own by its rule; a peak that has none is
	// told by its classes alone.
	PeakArrivals []PeakArrivals
}

// PeakArrivals is the arrivals of a peak that its rule tells from others.
type PeakArrivals struct {
	Peak  int
	Count int
}

// Notice is something that operators are told.
type Notice struct {
	Occurrence
	Text string
}

// Keeper holds room for the peaks of a calendar: it plans, watches whether they
// come, and gives back what is not needed.
type Keeper struct {
	ErrorRates
	calendar       Calendar
	tracked        map[occurrenceKey]*trackedOccurrence
	ordinaryRate   []float64 // ordinary arrivals a second at this manager, by class
	lastTick       time.Time
	measuringSince time.Time // when measuring them began
}

type occurrenceKey struct {
	peak      int
	beginUnix int64
}

// trackedOccurrence is one occurrence that is near.
type trackedOccurrence struct {
	detector       *Detector
	plan           Plan
	hasPlan        bool // there is a plan
	plannedAt      time.Time
	state          State
	sharesAtChange []float64 // held when the state changed
	lacksRoom      bool      // told that the room is short
	peakSize       float64   // of the peak that came, while it was full
}

// NewKeeper returns a Keeper for a calendar.
func NewKeeper(c Calendar, e ErrorRates) *Keeper {
	return &Keeper{ErrorRates: e, calendar: c, tracked: make(map[occurrenceKey]*trackedOccurrence)}
}

// Tick returns the part of the room to hold for each class from now on, and what
// there is to tell.
func (k *Keeper) Tick(in Input) (heldShares []float64, notices []Notice) {
	heldShares = make([]float64, len(in.Classes))
	dt := in.Now.Sub(k.lastTick).Seconds()
	if k.lastTick.IsZero() || !(dt > 0) || dt > 60 {
		dt = 0 // guard: a clock that jumped gives no rates
	}
	k.lastTick = in.Now
	near := k.calendar.Between(in.Now, in.Now.Add(planLookahead))
	k.updateOrdinaryRate(in, dt, near)
	isNear := make(map[occurrenceKey]bool, len(near))
	for _, o := range near {
		id := occurrenceKey{o.PeakIndex, o.Begin.Unix()}
		isNear[id] = true
		t := k.tracked[id]
		if t == nil {
			t = &trackedOccurrence{detector: NewDetector(o, k.ErrorRates)}
			k.tracked[id] = t
		}
		notices = append(notices, k.follow(t, in, dt)...)
		for i, h := range t.heldShares(in.Now, k.hasOwnArrivals(o.PeakIndex, in)) {
			if i < len(heldShares) && in.CapacitySlots > 0 {
				heldShares[i] += h * t.plan.CapacitySlots / in.CapacitySlots // the same slots, on the nodes that are left
			}
		}
	}
	for id, t := range k.tracked {
		if isNear[id] {
			continue
		}
		delete(k.tracked, id)
		if t.state == StateArrived {
			notices = append(notices, Notice{t.detector.Occurrence, fmt.Sprintf("the peak's time is over; it was %.1f times what was announced", t.peakSize)})
		}
	}
	// Holds of peaks that overlap add up, but never to all there is.
	sum := 0.0
	for _, h := range heldShares {
		sum += h
	}
	if sum > maxHeldShare {
		for i := range heldShares {
			heldShares[i] *= maxHeldShare / sum
		}
	}
	return heldShares, notices
}

// hasOwnArrivals tells whether a peak's requests are told from others by a rule.
func (k *Keeper) hasOwnArrivals(peak int, in Input) bool {
	for _, o := range in.PeakArrivals {
		if o.Peak == peak {
			return true
		}
	}
	return false
}

// updateOrdinaryRate measures the ordinary rates. It leaves them as they are from a peak's begin
// on, and while one has come, so that the peak does not become the ordinary.
func (k *Keeper) updateOrdinaryRate(in Input, dt float64, near []Occurrence) {
	if k.ordinaryRate == nil {
		k.ordinaryRate, k.measuringSince = make([]float64, len(in.Classes)), in.Now
		for i, c := range in.Classes {
			k.ordinaryRate[i] = c.Rate
		}
	}
	for _, o := range near {
		t := k.tracked[occurrenceKey{o.PeakIndex, o.Begin.Unix()}]
		if !in.Now.Before(o.Begin) || t != nil && t.state == StateArrived {
			return
		}
	}
	// The first minutes count alike, and then the last ones more.
	windowS := min(max(in.Now.Sub(k.measuringSince).Seconds(), minRateWindow.Seconds()), rateWindowS)
	for i := range k.ordinaryRate {
		if i < len(in.Arrivals) && dt > 0 {
			k.ordinaryRate[i] += (float64(in.Arrivals[i])/dt - k.ordinaryRate[i]) * (1 - math.Exp(-dt/windowS))
		}
	}
}

// follow follows one occurrence.
func (k *Keeper) follow(t *trackedOccurrence, in Input, dt float64) (notices []Notice) {
	o := t.detector.Occurrence
	notify := func(format string, args ...any) {
		notices = append(notices, Notice{o, fmt.Sprintf(format, args...)})
	}
	share := in.ManagerShare
	if !(share > 0) {
		share = 1
	}
	classes := make([]Class, len(in.Classes)) // with the rates of all managers
	for i, c := range in.Classes {
		c.Rate = k.ordinaryRate[i] / share
		classes[i] = c
	}
	lead := o.Begin.Add(-o.Peak.Lead - planLookahead)
	if t.state == StateAwaited && in.Now.Before(o.Begin) && !in.Now.Before(lead) && (t.plannedAt.IsZero() || in.Now.Sub(t.plannedAt) >= planInterval || in.Now.Before(t.plannedAt)) {
		t.plannedAt = in.Now
		// Guard: the last good plan stays if one can't be had.
		if p, err := MakePlan(o, in.CapacitySlots, classes); err == nil {
			t.plan, t.hasPlan = p, true
			if lacksRoom := p.ShortSlots > 0; lacksRoom != t.lacksRoom {
				if t.lacksRoom = lacksRoom; lacksRoom {
					notify("the full peak lacks %.0f of %.0f slots, even on the lowest rungs", p.ShortSlots, p.CapacitySlots)
				}
			}
		} else if !t.hasPlan {
			notify("no plan: %v", err)
		}
	}
	count, ordinaryRate, extraRate := 0, 0.0, 0.0
	m := newModel(o, max(in.CapacitySlots, 1), classes)
	for i := range classes {
		if m.extraRate[i] > 0 {
			ordinaryRate, extraRate = ordinaryRate+k.ordinaryRate[i], extraRate+m.extraRate[i]*share
			if i < len(in.Arrivals) {
				count += in.Arrivals[i]
			}
		}
	}
	for _, own := range in.PeakArrivals {
		if own.Peak == o.PeakIndex { // its own requests are told from others: none come ordinarily
			count, ordinaryRate = own.Count, 0
		}
	}
	before := t.heldShares(in.Now, k.hasOwnArrivals(o.PeakIndex, in))
	if st := t.detector.Tick(in.Now, count, ordinaryRate, extraRate); st != t.state {
		t.sharesAtChange = before
		switch t.state = st; st {
		case StateArrived:
			when := "as announced"
			if d := in.Now.Sub(o.Begin); d < 0 {
				when = fmt.Sprintf("%v early", -d.Round(time.Second))
			} else if d > lateThreshold {
				when = fmt.Sprintf("%v late", d.Round(time.Second))
			}
			notify("the peak has come, %s; what was held is open to it", when)
		case StateNoShow:
			notify("the peak does not come; what was held is given back")
		}
	}
	if o.Level(in.Now) == 1 {
		t.peakSize = t.detector.Size()
	}
	return notices
}

// heldShares is the part of the room held for an occurrence by class.
func (t *trackedOccurrence) heldShares(now time.Time, own bool) []float64 {
	if !t.hasPlan {
		return nil
	}
	_, decidedAt := t.detector.State()
	remaining := 0.0
	switch t.state {
	case StateAwaited:
		return t.plan.HeldSharesAt(now)
	case StateArrived:
		// Whose requests are told from others find it open, and fill it; for others
		// nothing can be kept any longer without keeping it from them.
		if own {
			remaining = 1 - float64(now.Sub(decidedAt))/float64(fadeDuration)
		}
	case StateNoShow:
		remaining = 1 - float64(now.Sub(decidedAt)/releaseInterval+1)/releaseSteps
	}
	shares := make([]float64, len(t.sharesAtChange))
	for i, h := range t.sharesAtChange {
		shares[i] = h * min(max(remaining, 0), 1)
	}
	return shares
}
