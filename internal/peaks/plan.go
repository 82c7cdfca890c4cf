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
	slots := 0.0
	for _, n := range nodes {
		if n.Ready {
			slots += n.Slots * min(max(n.WarmShare, 0), 1)
		}
	}
	return slots
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
	stepS         = 2.0 // s
	settlePeriod  = 90 * time.Second
	releasePeriod = 30 * time.Second // in which a hold is given back after a no-show
	maxHeldShare  = 0.9              // of the room, whatever is announced
	maxTrials     = 80               // of holds, while the best is searched
	maxSearchTime = 250 * time.Millisecond
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
func MakePlan(o Occurrence, capacitySlots float64, classes []Class) (Plan, error) {
	p := Plan{Occurrence: o, From: o.Begin, HeldShares: make([]float64, len(classes)), CapacitySlots: capacitySlots}
	if !(capacitySlots > 0) {
		return p, ErrNoCapacity
	}
	m := newModel(o, capacitySlots, classes)
	p.ShortSlots = max(m.floorSlots()-capacitySlots, 0)
	noHold := m.simulate(0, 0)
	p.WorthWithoutHold = noHold.expected(o.Peak.Probability)
	p.ExpectedWorth = p.WorthWithoutHold
	if m.totalExtraRate == 0 || o.Peak.Lead <= 0 || o.Peak.MaxHarm <= 0 || o.Peak.Probability <= 0 {
		return p, nil
	}
	lead := o.Peak.Lead.Seconds()
	maxHoldShare := min(maxHeldShare, m.maxPeakSlots()/capacitySlots)
	decodeHold := func(x []float64) (holdShare, growthS float64) {
		return maxHoldShare / (1 + math.Exp(-x[0])), lead / (1 + math.Exp(-x[1]))
	}
	objective := func(holdShare, growthS float64) float64 {
		out := m.simulate(holdShare, growthS)
		v := out.expected(o.Peak.Probability)
		if lost := 1 - out.before/max(noHold.before, 1e-9); lost > o.Peak.MaxHarm {
			v -= (lost - o.Peak.MaxHarm) * 1e3 * (p.WorthWithoutHold + 1) // over what the operator allows
		}
		return v
	}
	best, holdShare, growthS := p.WorthWithoutHold, 0.0, 0.0
	try := func(h, t float64) {
		if v := objective(h, t); v > best*(1+1e-9) {
			best, holdShare, growthS = v, h, t
		}
	}
	start := []float64{0, 0}
	for _, h := range []float64{0.1, 0.3, 0.6, 0.95} { // the surface has a ridge where a hold begins to pay
		for _, t := range []float64{0.25, 0.6, 0.95} {
			before := best
			if try(h*maxHoldShare, t*lead); best > before {
				start = []float64{math.Log(h / (1 - h)), math.Log(t / (1 - t))}
			}
		}
	}
	_, err := optimize.Minimize(optimize.Problem{Func: func(x []float64) float64 {
		h, t := decodeHold(x)
		v := objective(h, t)
		if v > best*(1+1e-9) {
			best, holdShare, growthS = v, h, t
		}
		return -v
	}}, start, &optimize.Settings{FuncEvaluations: maxTrials, Runtime: maxSearchTime}, &optimize.NelderMead{})
	if err != nil && holdShare == 0 {
		return p, nil // nothing pays
	}
	if out := m.simulate(holdShare, growthS); holdShare > 0 {
		p.ExpectedWorth, p.OrdinaryLoss = out.expected(o.Peak.Probability), max(1-out.before/max(noHold.before, 1e-9), 0)
		p.From = o.Begin.Add(-time.Duration(growthS * float64(time.Second)))
		for k := range classes {
			p.HeldShares[k] = holdShare * m.holdShares[k]
		}
	}
	return p, nil
}

// HeldSharesAt is the part of the room held at a time for each class, if the peak is awaited.
func (p *Plan) HeldSharesAt(t time.Time) []float64 {
	if from, until := p.Window(); t.Before(p.From) || t.Before(from) || !t.Before(until) {
		return make([]float64, len(p.HeldShares))
	}
	growth := 1.0
	if t.Before(p.Begin) {
		growth = float64(t.Sub(p.From)) / float64(p.Begin.Sub(p.From))
	}
	shares := make([]float64, len(p.HeldShares))
	for k, h := range p.HeldShares {
		shares[k] = h * growth
	}
	return shares
}

// model follows the sessions of one occurrence.
type model struct {
	occurrence       Occurrence
	capacitySlots    float64
	classes          []Class
	extraRate        []float64 // sessions a second at the full peak
	holdShares       []float64 // of what is held, by class
	totalExtraRate   float64   // of all more
	ordinarySessions []float64 // ordinary sessions that play
	meanLengthS      []float64 // s
}

func newModel(occurrence Occurrence, capacitySlots float64, classes []Class) *model {
	m := &model{occurrence: occurrence, capacitySlots: capacitySlots, classes: classes}
	rates := 0.0
	for k, c := range classes {
		if k < len(occurrence.Peak.Classes) && occurrence.Peak.Classes[k] {
			rates += c.Rate
		}
	}
	total := 0.0
	for k, c := range classes {
		part := 0.0
		if rates > 0 {
			part = c.Rate / rates
		}
		extraRate := occurrence.Peak.ClassExtraRate(k, c.Rate, part)
		m.extraRate = append(m.extraRate, extraRate)
		m.totalExtraRate += extraRate
		meanLengthS := MeanLength(c.Survival)
		m.meanLengthS = append(m.meanLengthS, meanLengthS)
		m.ordinarySessions = append(m.ordinarySessions, c.Rate*meanLengthS)
		weight := extraRate * meanLengthS * c.SlotsByRung[c.Floor]
		m.holdShares = append(m.holdShares, weight)
		total += weight
	}
	for k := range m.holdShares {
		if total > 0 {
			m.holdShares[k] /= total
		}
	}
	return m
}

// floorSlots is what the full peak needs with all sessions on their lowest rungs.
func (m *model) floorSlots() (slots float64) {
	for k, c := range m.classes {
		slots += (c.Rate + m.extraRate[k]) * m.meanLengthS[k] * c.SlotsByRung[c.Floor]
	}
	return slots
}

// maxPeakSlots is what more there is of the peak at most, on the top rungs.
func (m *model) maxPeakSlots() (slots float64) {
	for k, c := range m.classes {
		slots += m.extraRate[k] * m.meanLengthS[k] * c.SlotsByRung[c.Top]
	}
	return slots
}

// outcome is what a hold is expected to earn.
type outcome struct {
	before float64 // until the begin
	peak   float64 // from then on, if the peak comes
	noShow float64 // if it does not
}

func (o outcome) expected(probability float64) float64 {
	return o.before + probability*o.peak + (1-probability)*o.noShow
}

// cohort is the sessions of a class that came in one step.
type cohort struct {
	startStep int
	class     int
	sessions  float64
	slots     float64 // of one
}

// simulate follows the sessions with a hold that grows over so many seconds to a part
// of the room.
func (m *model) simulate(holdShare, growthS float64) (out outcome) {
	lead := int(m.occurrence.Peak.Lead.Seconds() / stepS)
	ordinary := m.newSimulation()
	for i := -lead; i < 0; i++ {
		capacitySlots := m.capacitySlots
		if leftS := float64(-i) * stepS; leftS < growthS {
			capacitySlots *= 1 - holdShare*(1-leftS/growthS)
		}
		out.before += ordinary.step(i, capacitySlots, 0)
	}
	withPeak, noShow := ordinary, ordinary.clone()
	for i := range int(settlePeriod.Seconds() / stepS) {
		level := m.occurrence.Level(m.occurrence.Begin.Add(time.Duration(float64(i) * stepS * float64(time.Second))))
		out.peak += withPeak.step(i, m.capacitySlots, level)
		capacitySlots := m.capacitySlots
		if float64(i)*stepS < releasePeriod.Seconds() {
			capacitySlots *= 1 - holdShare
		}
		out.noShow += noShow.step(i, capacitySlots, 0)
	}
	return out
}

// simulation is the sessions at one time.
type simulation struct {
	*model
	cohorts            []cohort
	sessions, arrivals []float64 // by class: that play, that come in the step
}

// newSimulation is ordinary traffic that has long been as it is, levelled out over the room.
func (m *model) newSimulation() *simulation {
	s := &simulation{model: m, sessions: make([]float64, len(m.classes)), arrivals: make([]float64, len(m.classes))}
	slots := m.slotsPerSession(m.capacitySlots, m.ordinarySessions)
	for k, c := range m.classes {
		s.cohorts = append(s.cohorts, cohort{startStep: math.MinInt32, class: k, sessions: m.ordinarySessions[k], slots: c.slotsAt(slots)})
	}
	return s
}

func (s *simulation) clone() *simulation {
	copied := s.model.newSimulation()
	copied.cohorts = append(copied.cohorts[:0], s.cohorts...)
	return copied
}

// slotsPerSession is the size in slots, over a class's own scale, at which so many sessions
// fill a room.
func (m *model) slotsPerSession(capacitySlots float64, sessions []float64) float64 {
	sum := 0.0
	for k := range m.classes {
		sum += sessions[k]
	}
	if sum <= 0 {
		return math.Inf(1)
	}
	return capacitySlots / sum
}

// slotsAt is the size that a session of a class is given for a level.
func (c *Class) slotsAt(slotsPerSession float64) float64 {
	return min(max(slotsPerSession, c.SlotsByRung[c.Floor]), c.SlotsByRung[c.Top])
}

// worthAt is what a session of a size earns, between the rungs in proportion.
func (c *Class) worthAt(slots float64) float64 {
	for r := c.Floor; r < c.Top; r++ {
		a, b := c.SlotsByRung[r], c.SlotsByRung[r+1]
		if slots <= b {
			if slots <= a || b <= a {
				return c.Worth[r]
			}
			return c.Worth[r] + (c.Worth[r+1]-c.Worth[r])*(slots-a)/(b-a)
		}
	}
	return c.Worth[c.Top]
}

// remaining is the share of a cohort that still plays at step i.
func (m *model) remaining(c *cohort, i int) float64 {
	s := m.classes[c.class].Survival
	if c.startStep == math.MinInt32 {
		// Those that played at the start: their ages are spread as the survival is.
		return m.remainingAtStart(c.class, i)
	}
	if age := int(float64(i-c.startStep) * stepS); age < len(s) {
		return s[max(age, 0)]
	}
	return 0
}

// remainingAtStart is the share of the sessions playing at the start that plays i steps
// later, counted from the start of the lead.
func (m *model) remainingAtStart(class, i int) float64 {
	from := int(float64(i)*stepS) + int(m.occurrence.Peak.Lead.Seconds())
	s, sum := m.classes[class].Survival, 0.0
	for a := max(from, 0); a+1 < len(s); a++ {
		sum += (s[a] + s[a+1]) / 2
	}
	return sum / max(m.meanLengthS[class], 1e-9)
}

// step lets one step's newcomers in, with the peak at a level, and returns what they
// earn.
func (s *simulation) step(i int, capacitySlots, peakLevel float64) float64 {
	usedSlots := 0.0
	sessions, arrivals := s.sessions, s.arrivals
	clear(sessions)
	kept := s.cohorts[:0]
	for _, c := range s.cohorts {
		remaining := s.remaining(&c, i) * c.sessions
		if remaining < 1e-6 {
			continue
		}
		usedSlots += remaining * c.slots
		sessions[c.class] += remaining
		kept = append(kept, c)
	}
	s.cohorts = kept
	floorSlots, wantedSlots := 0.0, 0.0
	for k := range s.classes {
		arrivals[k] = (s.classes[k].Rate + s.extraRate[k]*peakLevel) * stepS
		sessions[k] += arrivals[k]
	}
	fairSlots := s.slotsPerSession(capacitySlots, sessions)
	for k := range s.classes {
		floorSlots += arrivals[k] * s.classes[k].SlotsByRung[s.classes[k].Floor]
		wantedSlots += arrivals[k] * s.classes[k].slotsAt(fairSlots)
	}
	freeSlots := max(capacitySlots-usedSlots, 0)
	servedShare, aboveFloorShare := 1.0, 1.0 // share served; of what is wanted beyond the floors
	switch {
	case floorSlots > freeSlots:
		servedShare, aboveFloorShare = freeSlots/floorSlots, 0
	case wantedSlots > freeSlots:
		aboveFloorShare = (freeSlots - floorSlots) / (wantedSlots - floorSlots)
	}
	totalSessions, minSlots := 0.0, 0.0
	for k := range s.classes {
		totalSessions += sessions[k]
		minSlots += sessions[k] * s.classes[k].SlotsByRung[s.classes[k].Floor]
	}
	if totalSessions > 0 && minSlots > 0 { // what chance takes, were all on their lowest rungs
		servedShare = min(servedShare, 1-erlangLoss(capacitySlots*totalSessions/minSlots, totalSessions))
	}
	worth := 0.0
	for k := range s.classes {
		c := &s.classes[k]
		floor := c.SlotsByRung[c.Floor]
		slots := floor + aboveFloorShare*(c.slotsAt(fairSlots)-floor)
		if arrivals[k] > 0 {
			s.cohorts = append(s.cohorts, cohort{startStep: i, class: k, sessions: arrivals[k] * servedShare, slots: slots})
		}
		worth += arrivals[k] * servedShare * c.worthAt(slots)
	}
	return worth
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
