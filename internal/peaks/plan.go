package peaks

import (
	"errors"
	"math"
	"time"

	"gonum.org/v1/gonum/optimize"
)

// Class is what a plan has to know of a class. Sizes are in slots: streams at the
// middle rung's rate.
type Class struct {
	Rate        float64   // ordinary sessions a second over all managers
	Survival    []float64 // share that lasts so many seconds
	SlotsByRung []float64 // by rung
	Worth       []float64 // of a session, by rung
	Floor       int       // lowest rung
	Top         int       // highest rung that most viewers can use
}

// Node is a media node as far as it gives room.
type Node struct {
	Slots     float64
	Ready     bool    // listed, not draining, in a zone that can be reached
	WarmShare float64 // share that it has warmed, from 0 to 1
}

// UsableSlots is what nodes give together: nothing counts on one that drains, is gone or
// is cut off, and of a cold one only what has warmed.
func UsableSlots(nodes []Node) float64 {
	room := 0.0
	for _, n := range nodes {
		if n.Ready {
			room += n.Slots * min(max(n.WarmShare, 0), 1)
		}
	}
	return room
}

// Plan is how much room is held for an occurrence. The hold grows evenly from a
// time until the peak's begin: at once it would refuse those who come meanwhile,
// since the room that it takes has still to be left by those who play.
type Plan struct {
	Occurrence
	From          time.Time
	HeldShares    []float64 // of the room at the begin, by class
	CapacitySlots float64   // slots that it was made for
	ShortSlots    float64   // slots that the full peak lacks even on the lowest rungs; 0: none
	// What is expected to be earned from the earliest hold to settleTime after the
	// begin, in worth: by the plan, and without any hold.
	ExpectedWorth, WorthWithoutHold float64
	// Lost is the share of the ordinary sessions' worth before the begin that the
	// hold costs.
	OrdinaryLoss float64
}

const (
	planStep    = 2.0 // s
	settleTime  = 90 * time.Second
	releaseTime = 30 * time.Second // in which a hold is given back after a no-show
	mostHeld    = 0.9              // of the room, whatever is announced
	mostTrials  = 80               // of holds, while the best is searched
	mostSearch  = 250 * time.Millisecond
)

// ErrNoCapacity tells that no node gives room to plan with.
var ErrNoCapacity = errors.New("peaks: no node gives room")

// MakePlan finds the hold with which most is expected to be earned before and in a
// peak together, the no-show included by how sure the announcement is. It costs
// the ordinary sessions before the peak at most the part Harm of their worth.
//
// Sessions are followed as a fluid: cohorts by the second in which they came, which
// last as the classes' survival says and keep the size that they were given.
// Newcomers are given an equal part of what may be filled, as the decision module
// levels them, and what finds no room on its lowest rung is lost, as is the share
// that chance takes on links this full.
func MakePlan(o Occurrence, room float64, classes []Class) (Plan, error) {
	p := Plan{Occurrence: o, From: o.Begin, HeldShares: make([]float64, len(classes)), CapacitySlots: room}
	if !(room > 0) {
		return p, ErrNoCapacity
	}
	m := newModel(o, room, classes)
	p.ShortSlots = max(m.least()-room, 0)
	none := m.run(0, 0)
	p.WorthWithoutHold = none.total(o.Peak.Probability)
	p.ExpectedWorth = p.WorthWithoutHold
	if m.extra == 0 || o.Peak.Lead <= 0 || o.Peak.MaxHarm <= 0 || o.Peak.Probability <= 0 {
		return p, nil
	}
	lead := o.Peak.Lead.Seconds()
	most := min(mostHeld, m.demand()/room)
	held := func(x []float64) (part, tau float64) {
		return most / (1 + math.Exp(-x[0])), lead / (1 + math.Exp(-x[1]))
	}
	value := func(part, tau float64) float64 {
		out := m.run(part, tau)
		v := out.total(o.Peak.Probability)
		if lost := 1 - out.before/max(none.before, 1e-9); lost > o.Peak.MaxHarm {
			v -= (lost - o.Peak.MaxHarm) * 1e3 * (p.WorthWithoutHold + 1) // over what the operator allows
		}
		return v
	}
	best, part, tau := p.WorthWithoutHold, 0.0, 0.0
	try := func(h, t float64) {
		if v := value(h, t); v > best*(1+1e-9) {
			best, part, tau = v, h, t
		}
	}
	begin := []float64{0, 0}
	for _, h := range []float64{0.1, 0.3, 0.6, 0.95} { // the surface has a ridge where a hold begins to pay
		for _, t := range []float64{0.25, 0.6, 0.95} {
			before := best
			if try(h*most, t*lead); best > before {
				begin = []float64{math.Log(h / (1 - h)), math.Log(t / (1 - t))}
			}
		}
	}
	_, err := optimize.Minimize(optimize.Problem{Func: func(x []float64) float64 {
		h, t := held(x)
		v := value(h, t)
		if v > best*(1+1e-9) {
			best, part, tau = v, h, t
		}
		return -v
	}}, begin, &optimize.Settings{FuncEvaluations: mostTrials, Runtime: mostSearch}, &optimize.NelderMead{})
	if err != nil && part == 0 {
		return p, nil // nothing pays
	}
	if out := m.run(part, tau); part > 0 {
		p.ExpectedWorth, p.OrdinaryLoss = out.total(o.Peak.Probability), max(1-out.before/max(none.before, 1e-9), 0)
		p.From = o.Begin.Add(-time.Duration(tau * float64(time.Second)))
		for k := range classes {
			p.HeldShares[k] = part * m.share[k]
		}
	}
	return p, nil
}

// HeldSharesAt is the part of the room held at a time for each class, if the peak is awaited.
func (p *Plan) HeldSharesAt(t time.Time) []float64 {
	if from, until := p.Window(); t.Before(p.From) || t.Before(from) || !t.Before(until) {
		return make([]float64, len(p.HeldShares))
	}
	grown := 1.0
	if t.Before(p.Begin) {
		grown = float64(t.Sub(p.From)) / float64(p.Begin.Sub(p.From))
	}
	part := make([]float64, len(p.HeldShares))
	for k, h := range p.HeldShares {
		part[k] = h * grown
	}
	return part
}

// model follows the sessions of one occurrence.
type model struct {
	o       Occurrence
	room    float64
	classes []Class
	more    []float64 // sessions a second at the full peak
	share   []float64 // of what is held, by class
	extra   float64   // of all more
	steady  []float64 // ordinary sessions that play
	mean    []float64 // s
}

func newModel(o Occurrence, room float64, classes []Class) *model {
	m := &model{o: o, room: room, classes: classes}
	rates := 0.0
	for k, c := range classes {
		if k < len(o.Peak.Classes) && o.Peak.Classes[k] {
			rates += c.Rate
		}
	}
	total := 0.0
	for k, c := range classes {
		part := 0.0
		if rates > 0 {
			part = c.Rate / rates
		}
		more := o.Peak.ClassExtraRate(k, c.Rate, part)
		m.more = append(m.more, more)
		m.extra += more
		mean := MeanLength(c.Survival)
		m.mean = append(m.mean, mean)
		m.steady = append(m.steady, c.Rate*mean)
		weight := more * mean * c.SlotsByRung[c.Floor]
		m.share = append(m.share, weight)
		total += weight
	}
	for k := range m.share {
		if total > 0 {
			m.share[k] /= total
		}
	}
	return m
}

// least is what the full peak needs with all sessions on their lowest rungs.
func (m *model) least() (slots float64) {
	for k, c := range m.classes {
		slots += (c.Rate + m.more[k]) * m.mean[k] * c.SlotsByRung[c.Floor]
	}
	return slots
}

// demand is what more there is of the peak at most, on the top rungs.
func (m *model) demand() (slots float64) {
	for k, c := range m.classes {
		slots += m.more[k] * m.mean[k] * c.SlotsByRung[c.Top]
	}
	return slots
}

// outcome is what a hold is expected to earn.
type outcome struct {
	before float64 // until the begin
	peak   float64 // from then on, if the peak comes
	quiet  float64 // if it does not
}

func (o outcome) total(sure float64) float64 { return o.before + sure*o.peak + (1-sure)*o.quiet }

// cohort is the sessions of a class that came in one step.
type cohort struct {
	born  int
	class int
	n     float64
	size  float64 // of one
}

// run follows the sessions with a hold that grows over so many seconds to a part
// of the room.
func (m *model) run(part, tau float64) (out outcome) {
	lead := int(m.o.Peak.Lead.Seconds() / planStep)
	f := m.start()
	for i := -lead; i < 0; i++ {
		room := m.room
		if left := float64(-i) * planStep; left < tau {
			room *= 1 - part*(1-left/tau)
		}
		out.before += f.step(i, room, 0)
	}
	come, quiet := f, f.clone()
	for i := range int(settleTime.Seconds() / planStep) {
		level := m.o.Level(m.o.Begin.Add(time.Duration(float64(i) * planStep * float64(time.Second))))
		out.peak += come.step(i, m.room, level)
		room := m.room
		if float64(i)*planStep < releaseTime.Seconds() {
			room *= 1 - part
		}
		out.quiet += quiet.step(i, room, 0)
	}
	return out
}

// fluid is the sessions at one time.
type fluid struct {
	*model
	old     []cohort
	n, come []float64 // by class: that play, that come in the step
}

// start is ordinary traffic that has long been as it is, levelled out over the room.
func (m *model) start() *fluid {
	f := &fluid{model: m, n: make([]float64, len(m.classes)), come: make([]float64, len(m.classes))}
	size := m.level(m.room, m.steady)
	for k, c := range m.classes {
		f.old = append(f.old, cohort{born: math.MinInt32, class: k, n: m.steady[k], size: c.sizeAt(size)})
	}
	return f
}

func (f *fluid) clone() *fluid {
	g := f.model.start()
	g.old = append(g.old[:0], f.old...)
	return g
}

// level is the size in slots, over a class's own scale, at which so many sessions
// fill a room.
func (m *model) level(room float64, n []float64) float64 {
	sum := 0.0
	for k := range m.classes {
		sum += n[k]
	}
	if sum <= 0 {
		return math.Inf(1)
	}
	return room / sum
}

// sizeAt is the size that a session of a class is given for a level.
func (c *Class) sizeAt(level float64) float64 {
	return min(max(level, c.SlotsByRung[c.Floor]), c.SlotsByRung[c.Top])
}

// worthAt is what a session of a size earns, between the rungs in proportion.
func (c *Class) worthAt(size float64) float64 {
	for r := c.Floor; r < c.Top; r++ {
		a, b := c.SlotsByRung[r], c.SlotsByRung[r+1]
		if size <= b {
			if size <= a || b <= a {
				return c.Worth[r]
			}
			return c.Worth[r] + (c.Worth[r+1]-c.Worth[r])*(size-a)/(b-a)
		}
	}
	return c.Worth[c.Top]
}

// left is the share of a cohort that still plays at step i.
func (m *model) left(c *cohort, i int) float64 {
	s := m.classes[c.class].Survival
	if c.born == math.MinInt32 {
		// Those that played at the start: their ages are spread as the survival is.
		return m.residual(c.class, i)
	}
	if age := int(float64(i-c.born) * planStep); age < len(s) {
		return s[max(age, 0)]
	}
	return 0
}

// residual is the share of the sessions playing at the start that plays i steps
// later, counted from the start of the lead.
func (m *model) residual(class, i int) float64 {
	from := int(float64(i)*planStep) + int(m.o.Peak.Lead.Seconds())
	s, sum := m.classes[class].Survival, 0.0
	for a := max(from, 0); a+1 < len(s); a++ {
		sum += (s[a] + s[a+1]) / 2
	}
	return sum / max(m.mean[class], 1e-9)
}

// step lets one step's newcomers in, with the peak at a level, and returns what they
// earn.
func (f *fluid) step(i int, room, level float64) float64 {
	used := 0.0
	n, come := f.n, f.come
	clear(n)
	keep := f.old[:0]
	for _, c := range f.old {
		left := f.left(&c, i) * c.n
		if left < 1e-6 {
			continue
		}
		used += left * c.size
		n[c.class] += left
		keep = append(keep, c)
	}
	f.old = keep
	floors, wanted := 0.0, 0.0
	for k := range f.classes {
		come[k] = (f.classes[k].Rate + f.more[k]*level) * planStep
		n[k] += come[k]
	}
	at := f.level(room, n)
	for k := range f.classes {
		floors += come[k] * f.classes[k].SlotsByRung[f.classes[k].Floor]
		wanted += come[k] * f.classes[k].sizeAt(at)
	}
	free := max(room-used, 0)
	served, give := 1.0, 1.0 // share served; of what is wanted beyond the floors
	switch {
	case floors > free:
		served, give = free/floors, 0
	case wanted > free:
		give = (free - floors) / (wanted - floors)
	}
	sum, least := 0.0, 0.0
	for k := range f.classes {
		sum += n[k]
		least += n[k] * f.classes[k].SlotsByRung[f.classes[k].Floor]
	}
	if sum > 0 && least > 0 { // what chance takes, were all on their lowest rungs
		served = min(served, 1-erlangLoss(room*sum/least, sum))
	}
	earned := 0.0
	for k := range f.classes {
		c := &f.classes[k]
		floor := c.SlotsByRung[c.Floor]
		size := floor + give*(c.sizeAt(at)-floor)
		if come[k] > 0 {
			f.old = append(f.old, cohort{born: i, class: k, n: come[k] * served, size: size})
		}
		earned += come[k] * served * c.worthAt(size)
	}
	return earned
}

// erlangLoss is the share lost of an offered load on a number of slots, which may
// lie between two whole ones.
func erlangLoss(slots, load float64) float64 {
	if load <= 0 {
		return 0
	}
	if slots > load+10*math.Sqrt(load) {
		return 0 // improbable beyond measure, and long to work out
	}
	if slots > 2000 { // scale down; the loss of many slots is less than this says
		load, slots = load*2000/slots, 2000
	}
	b, whole := 1.0, int(slots)
	for i := 1; i <= whole; i++ {
		b = load * b / (float64(i) + load*b)
	}
	next := load * b / (float64(whole+1) + load*b)
	part := slots - float64(whole)
	return b + (next-b)*part
}
