package peaks

import (
	"fmt"
	"math"
	"time"
)

const (
	planInterval    = 5 * time.Second  // between plans for a peak that is awaited
	planLookahead   = time.Minute      // time before its lead at which a peak is first planned
	lateThreshold   = 30 * time.Second // delay from which on a peak is called late
	releaseInterval = 4 * time.Second  // between the steps by which a hold is released
	releaseSteps    = 4                // number of these steps, the first of them at once
	fadeDuration    = time.Minute      // during which a peak that has arrived fills the capacity held for its own requests
	rateWindowS     = 300.0            // over which ordinary rates are averaged, in s
	minRateWindow   = 60 * time.Second // the same, at the start
)

// Input is the input of Keeper.Tick.
type Input struct {
	Now           time.Time
	CapacitySlots float64 // slots of all nodes, as by UsableSlots
	// ManagerShare is this manager's share of the arrivals at all managers; 0 means all.
	ManagerShare float64
	Classes      []Class // Rate is the initial estimate of the ordinary rate at this manager
	Arrivals     []int   // by class, since the last Tick
	// PeakArrivals holds the arrivals that rules have assigned to peaks. A peak without an
	// entry is detected by the arrivals of its classes alone.
	PeakArrivals []PeakArrivals
}

// PeakArrivals is the number of arrivals that a rule has assigned to a peak.
type PeakArrivals struct {
	Peak  int // index of the peak in the calendar
	Count int // since the last Tick
}

// Notice is a message to operators about an occurrence.
type Notice struct {
	Occurrence
	Text string
}

// Keeper decides how much capacity is held for the peaks of a calendar: it plans the holds,
// detects whether the peaks come, and releases what is not needed.
type Keeper struct {
	ErrorRates
	calendar       Calendar
	tracked        map[occurrenceKey]*trackedOccurrence
	ordinaryRate   []float64 // by class, ordinary arrivals per second at this manager
	lastTick       time.Time
	measuringSince time.Time // when the measurement of ordinaryRate began
}

// occurrenceKey identifies an occurrence.
type occurrenceKey struct {
	peak      int // index of the peak in the calendar
	beginUnix int64
}

// trackedOccurrence is the state of an occurrence that is near or under way.
type trackedOccurrence struct {
	detector       *Detector
	plan           Plan
	hasPlan        bool // plan is valid
	plannedAt      time.Time
	state          State
	sharesAtChange []float64 // by class, held when the state last changed
	lacksRoom      bool      // the capacity does not suffice by the last plan
	peakSize       float64   // size of the peak at its full level, as a multiple of that announced
}

// NewKeeper returns a Keeper for the peaks of a calendar.
func NewKeeper(c Calendar, e ErrorRates) *Keeper {
	return &Keeper{ErrorRates: e, calendar: c, tracked: make(map[occurrenceKey]*trackedOccurrence)}
}

// Tick returns the share of the capacity to hold for each class from now on, and notices. It
// is to be called about once a second.
func (k *Keeper) Tick(in Input) (heldShares []float64, notices []Notice) {
	heldShares = make([]float64, len(in.Classes))
	dt := in.Now.Sub(k.lastTick).Seconds()
	if k.lastTick.IsZero() || !(dt > 0) || dt > 60 {
		dt = 0 // guard: after a jump of the clock no rates are known
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
				heldShares[i] += h * t.plan.CapacitySlots / in.CapacitySlots // the same number of slots on the remaining nodes
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
	// The holds of overlapping peaks add up, but never to the whole capacity.
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

// hasOwnArrivals reports whether a rule tells the requests of a peak from others.
func (k *Keeper) hasOwnArrivals(peak int, in Input) bool {
	for _, o := range in.PeakArrivals {
		if o.Peak == peak {
			return true
		}
	}
	return false
}

// updateOrdinaryRate measures the ordinary rates. It leaves them unchanged from the begin of
// a peak on, and while one has arrived, so that the peak is not taken for ordinary traffic.
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
	// In the first minutes all arrivals have the same weight; later, recent ones have more.
	windowS := min(max(in.Now.Sub(k.measuringSince).Seconds(), minRateWindow.Seconds()), rateWindowS)
	for i := range k.ordinaryRate {
		if i < len(in.Arrivals) && dt > 0 {
			k.ordinaryRate[i] += (float64(in.Arrivals[i])/dt - k.ordinaryRate[i]) * (1 - math.Exp(-dt/windowS))
		}
	}
}

// follow updates the plan and the state of one occurrence.
func (k *Keeper) follow(t *trackedOccurrence, in Input, dt float64) (notices []Notice) {
	o := t.detector.Occurrence
	notify := func(format string, args ...any) {
		notices = append(notices, Notice{o, fmt.Sprintf(format, args...)})
	}
	share := in.ManagerShare
	if !(share > 0) {
		share = 1
	}
	classes := make([]Class, len(in.Classes)) // with the ordinary rates at all managers
	for i, c := range in.Classes {
		c.Rate = k.ordinaryRate[i] / share
		classes[i] = c
	}
	lead := o.Begin.Add(-o.Peak.Lead - planLookahead)
	if t.state == StateAwaited && in.Now.Before(o.Begin) && !in.Now.Before(lead) && (t.plannedAt.IsZero() || in.Now.Sub(t.plannedAt) >= planInterval || in.Now.Before(t.plannedAt)) {
		t.plannedAt = in.Now
		// Guard: if no plan can be made, the last good one stays in force.
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
		if own.Peak == o.PeakIndex { // a rule tells its requests from others, so there is no ordinary traffic among them
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

// heldShares returns, by class, the share of the capacity held for the occurrence. own
// reports whether a rule tells the peak's requests from others.
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
		// If a rule tells the peak's requests from others, the held capacity is open to them,
		// and is kept while they fill it. Otherwise a hold would keep the capacity from the
		// peak's own requests.
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
