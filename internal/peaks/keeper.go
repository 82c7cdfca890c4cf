package peaks

import (
	"fmt"
	"math"
	"time"
)

const (
	planEvery   = 5 * time.Second // while a peak is awaited
	planAhead   = time.Minute     // before its lead a peak is planned for the first time
	lateAfter   = 30 * time.Second
	releaseStep = 4 * time.Second // between the steps in which a hold is given back
	releaseIn   = 4               // steps, the first at once
	fadeTime    = time.Minute     // in which a peak that came takes up what was held for its own
	baseTime    = 300.0           // s over which ordinary rates are measured
	baseLeast   = 60 * time.Second
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
	cal     Calendar
	entries map[key]*entry
	base    []float64 // ordinary arrivals a second at this manager, by class
	last    time.Time
	since   time.Time // when measuring them began
}

type key struct {
	peak  int
	begin int64
}

// entry is one occurrence that is near.
type entry struct {
	show    *Detector
	plan    Plan
	good    bool // there is a plan
	planned time.Time
	state   State
	at      []float64 // held when the state changed
	short   bool      // told that the room is short
	size    float64   // of the peak that came, while it was full
}

// NewKeeper returns a Keeper for a calendar.
func NewKeeper(c Calendar, e ErrorRates) *Keeper {
	return &Keeper{ErrorRates: e, cal: c, entries: make(map[key]*entry)}
}

// Tick returns the part of the room to hold for each class from now on, and what
// there is to tell.
func (k *Keeper) Tick(in Input) (held []float64, notices []Notice) {
	held = make([]float64, len(in.Classes))
	dt := in.Now.Sub(k.last).Seconds()
	if k.last.IsZero() || !(dt > 0) || dt > 60 {
		dt = 0 // guard: a clock that jumped gives no rates
	}
	k.last = in.Now
	near := k.cal.Between(in.Now, in.Now.Add(planAhead))
	k.learn(in, dt, near)
	live := make(map[key]bool, len(near))
	for _, o := range near {
		id := key{o.PeakIndex, o.Begin.Unix()}
		live[id] = true
		e := k.entries[id]
		if e == nil {
			e = &entry{show: NewDetector(o, k.ErrorRates)}
			k.entries[id] = e
		}
		notices = append(notices, k.watch(e, in, dt)...)
		for i, h := range e.held(in.Now, k.own(o.PeakIndex, in)) {
			if i < len(held) && in.CapacitySlots > 0 {
				held[i] += h * e.plan.CapacitySlots / in.CapacitySlots // the same slots, on the nodes that are left
			}
		}
	}
	for id, e := range k.entries {
		if live[id] {
			continue
		}
		delete(k.entries, id)
		if e.state == StateArrived {
			notices = append(notices, Notice{e.show.Occurrence, fmt.Sprintf("the peak's time is over; it was %.1f times what was announced", e.size)})
		}
	}
	// Holds of peaks that overlap add up, but never to all there is.
	sum := 0.0
	for _, h := range held {
		sum += h
	}
	if sum > mostHeld {
		for i := range held {
			held[i] *= mostHeld / sum
		}
	}
	return held, notices
}

// own tells whether a peak's requests are told from others by a rule.
func (k *Keeper) own(peak int, in Input) bool {
	for _, o := range in.PeakArrivals {
		if o.Peak == peak {
			return true
		}
	}
	return false
}

// learn measures the ordinary rates. It leaves them as they are from a peak's begin
// on, and while one has come, so that the peak does not become the ordinary.
func (k *Keeper) learn(in Input, dt float64, near []Occurrence) {
	if k.base == nil {
		k.base, k.since = make([]float64, len(in.Classes)), in.Now
		for i, c := range in.Classes {
			k.base[i] = c.Rate
		}
	}
	for _, o := range near {
		e := k.entries[key{o.PeakIndex, o.Begin.Unix()}]
		if !in.Now.Before(o.Begin) || e != nil && e.state == StateArrived {
			return
		}
	}
	// The first minutes count alike, and then the last ones more.
	span := min(max(in.Now.Sub(k.since).Seconds(), baseLeast.Seconds()), baseTime)
	for i := range k.base {
		if i < len(in.Arrivals) && dt > 0 {
			k.base[i] += (float64(in.Arrivals[i])/dt - k.base[i]) * (1 - math.Exp(-dt/span))
		}
	}
}

// watch follows one occurrence.
func (k *Keeper) watch(e *entry, in Input, dt float64) (notices []Notice) {
	o := e.show.Occurrence
	tell := func(format string, args ...any) {
		notices = append(notices, Notice{o, fmt.Sprintf(format, args...)})
	}
	share := in.ManagerShare
	if !(share > 0) {
		share = 1
	}
	classes := make([]Class, len(in.Classes)) // with the rates of all managers
	for i, c := range in.Classes {
		c.Rate = k.base[i] / share
		classes[i] = c
	}
	lead := o.Begin.Add(-o.Peak.Lead - planAhead)
	if e.state == StateAwaited && in.Now.Before(o.Begin) && !in.Now.Before(lead) && (e.planned.IsZero() || in.Now.Sub(e.planned) >= planEvery || in.Now.Before(e.planned)) {
		e.planned = in.Now
		// Guard: the last good plan stays if one can't be had.
		if p, err := MakePlan(o, in.CapacitySlots, classes); err == nil {
			e.plan, e.good = p, true
			if short := p.ShortSlots > 0; short != e.short {
				if e.short = short; short {
					tell("the full peak lacks %.0f of %.0f slots, even on the lowest rungs", p.ShortSlots, p.CapacitySlots)
				}
			}
		} else if !e.good {
			tell("no plan: %v", err)
		}
	}
	count, base, more := 0, 0.0, 0.0
	m := newModel(o, max(in.CapacitySlots, 1), classes)
	for i := range classes {
		if m.more[i] > 0 {
			base, more = base+k.base[i], more+m.more[i]*share
			if i < len(in.Arrivals) {
				count += in.Arrivals[i]
			}
		}
	}
	for _, own := range in.PeakArrivals {
		if own.Peak == o.PeakIndex { // its own requests are told from others: none come ordinarily
			count, base = own.Count, 0
		}
	}
	before := e.held(in.Now, k.own(o.PeakIndex, in))
	if st := e.show.Tick(in.Now, count, base, more); st != e.state {
		e.at = before
		switch e.state = st; st {
		case StateArrived:
			when := "as announced"
			if d := in.Now.Sub(o.Begin); d < 0 {
				when = fmt.Sprintf("%v early", -d.Round(time.Second))
			} else if d > lateAfter {
				when = fmt.Sprintf("%v late", d.Round(time.Second))
			}
			tell("the peak has come, %s; what was held is open to it", when)
		case StateNoShow:
			tell("the peak does not come; what was held is given back")
		}
	}
	if o.Level(in.Now) == 1 {
		e.size = e.show.Size()
	}
	return notices
}

// held is the part of the room held for an occurrence by class.
func (e *entry) held(now time.Time, own bool) []float64 {
	if !e.good {
		return nil
	}
	_, told := e.show.State()
	left := 0.0
	switch e.state {
	case StateAwaited:
		return e.plan.HeldSharesAt(now)
	case StateArrived:
		// Whose requests are told from others find it open, and fill it; for others
		// nothing can be kept any longer without keeping it from them.
		if own {
			left = 1 - float64(now.Sub(told))/float64(fadeTime)
		}
	case StateNoShow:
		left = 1 - float64(now.Sub(told)/releaseStep+1)/releaseIn
	}
	part := make([]float64, len(e.at))
	for i, h := range e.at {
		part[i] = h * min(max(left, 0), 1)
	}
	return part
}
