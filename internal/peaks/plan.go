package peaks

import (
	"errors"
	"math"
	"time"

	"gonum.org/v1/gonum/optimize"
)

// Class holds the properties of a class that a plan depends on. A slot is the capacity for
// one stream at the middle rung's rate.
type Class struct {
	Rate        float64   // ordinary sessions per second at all managers
	Survival    []float64 // by second, share of sessions that last at least that long
	SlotsByRung []float64 // slots that a session takes, by rung
	Worth       []float64 // worth of a session, by rung
	Floor       int       // lowest rung that may play
	Top         int       // highest rung that most viewers can play
}

// Node is a media node with the capacity that it offers.
type Node struct {
	Slots     float64
	Ready     bool    // listed, not draining, and in a zone that can be reached
	WarmShare float64 // share of its capacity that is warm, from 0 to 1
}

// UsableSlots returns the usable slots of all nodes: none of a node that drains, is gone or
// is cut off, and only the warm share of a cold one.
func UsableSlots(nodes []Node) float64 {
	slots := 0.0
	for _, n := range nodes {
		if n.Ready {
			slots += n.Slots * min(max(n.WarmShare, 0), 1)
		}
	}
	return slots
}

// Plan says how much capacity is held for an occurrence. The hold grows linearly until the
// begin of the peak. If it were made at once, sessions that come meanwhile would be refused,
// since those that play have yet to free the held capacity.
type Plan struct {
	Occurrence
	From          time.Time // when the hold begins to grow
	HeldShares    []float64 // by class, share of the capacity held at the begin of the peak
	CapacitySlots float64   // capacity for which the plan was made
	ShortSlots    float64   // slots that the full peak lacks even on the lowest rungs; 0: none
	// ExpectedWorth and WorthWithoutHold are the worth expected from the earliest possible
	// hold until settlePeriod after the begin, with the plan and without any hold.
	ExpectedWorth, WorthWithoutHold float64
	// OrdinaryLoss is the share of the ordinary sessions' worth before the begin that the
	// hold costs.
	OrdinaryLoss float64
}

const (
	stepS         = 2.0                    // time step of the simulation, in s
	settlePeriod  = 90 * time.Second       // simulated time after the begin of a peak
	releasePeriod = 30 * time.Second       // time in which a hold is released after a no-show
	maxHeldShare  = 0.9                    // of the capacity, whatever is announced
	maxTrials     = 80                     // holds that are tried by the optimizer
	maxSearchTime = 250 * time.Millisecond // time limit of the optimizer
)

// ErrNoCapacity is returned if no node offers capacity to plan with.
var ErrNoCapacity = errors.New("peaks: no node gives room")

// MakePlan finds the hold with the highest expected worth before and during a peak. A
// no-show is taken into account with the probability that the announcement leaves to it. The
// hold costs the ordinary sessions before the peak at most the share MaxHarm of their worth.
//
// Sessions are simulated as a fluid: in cohorts by the time step in which they came, which
// last according to the survival of their class and keep the size they were given. New
// sessions get equal parts of the capacity that may be filled, as the decision module levels
// them. Sessions for which there is no capacity on their lowest rung are lost, and so is the
// share that is blocked by chance on links that are this full.
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
			v -= (lost - o.Peak.MaxHarm) * 1e3 * (p.WorthWithoutHold + 1) // penalty beyond what the operator allows
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
	for _, h := range []float64{0.1, 0.3, 0.6, 0.95} { // several starting points, since the objective has a ridge where a hold begins to pay
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
		return p, nil // no hold pays
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

// HeldSharesAt returns, by class, the share of the capacity held at a time while the peak is
// awaited.
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

// model holds the parameters of the simulation for one occurrence.
type model struct {
	occurrence       Occurrence
	capacitySlots    float64
	classes          []Class
	extraRate        []float64 // by class, additional sessions per second at the full peak
	holdShares       []float64 // by class, share of the hold
	totalExtraRate   float64   // total of extraRate
	ordinarySessions []float64 // by class, concurrent ordinary sessions
	meanLengthS      []float64 // by class
}

// newModel returns the model for an occurrence, a capacity in slots and the classes.
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

// floorSlots returns the slots that the full peak and the ordinary sessions need with all
// sessions on their lowest rungs.
func (m *model) floorSlots() (slots float64) {
	for k, c := range m.classes {
		slots += (c.Rate + m.extraRate[k]) * m.meanLengthS[k] * c.SlotsByRung[c.Floor]
	}
	return slots
}

// maxPeakSlots returns the slots that the peak's additional sessions take on their top rungs.
func (m *model) maxPeakSlots() (slots float64) {
	for k, c := range m.classes {
		slots += m.extraRate[k] * m.meanLengthS[k] * c.SlotsByRung[c.Top]
	}
	return slots
}

// outcome is the worth that results from a hold.
type outcome struct {
	before float64 // until the begin
	peak   float64 // from the begin on, if the peak comes
	noShow float64 // from the begin on, if it does not
}

// expected returns the expected worth if the peak comes with the given probability.
func (o outcome) expected(probability float64) float64 {
	return o.before + probability*o.peak + (1-probability)*o.noShow
}

// cohort is the sessions of a class that began in one time step.
type cohort struct {
	startStep int // math.MinInt32: sessions that play when the simulation begins
	class     int
	sessions  float64
	slots     float64 // of one session
}

// simulate computes the outcome of a hold that grows to the share holdShare of the capacity
// during the last growthS seconds before the begin.
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

// simulation is the state of a simulation at one time.
type simulation struct {
	*model
	cohorts            []cohort
	sessions, arrivals []float64 // by class: sessions that play, and those that come in the current step
}

// newSimulation returns a simulation that begins with ordinary traffic in a steady state, in
// which all sessions have equal parts of the capacity.
func (m *model) newSimulation() *simulation {
	s := &simulation{model: m, sessions: make([]float64, len(m.classes)), arrivals: make([]float64, len(m.classes))}
	slots := m.slotsPerSession(m.capacitySlots, m.ordinarySessions)
	for k, c := range m.classes {
		s.cohorts = append(s.cohorts, cohort{startStep: math.MinInt32, class: k, sessions: m.ordinarySessions[k], slots: c.slotsAt(slots)})
	}
	return s
}

// clone returns a copy that can be continued independently.
func (s *simulation) clone() *simulation {
	copied := s.model.newSimulation()
	copied.cohorts = append(copied.cohorts[:0], s.cohorts...)
	return copied
}

// slotsPerSession returns the slots per session at which the given sessions, by class, fill a
// capacity. The limits of the classes are not applied.
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

// slotsAt limits slotsPerSession to the slots that a session of the class can take.
func (c *Class) slotsAt(slotsPerSession float64) float64 {
	return min(max(slotsPerSession, c.SlotsByRung[c.Floor]), c.SlotsByRung[c.Top])
}

// worthAt returns the worth of a session that takes the given slots, with linear
// interpolation between the rungs.
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

// remaining returns the share of a cohort that still plays at step i.
func (m *model) remaining(c *cohort, i int) float64 {
	s := m.classes[c.class].Survival
	if c.startStep == math.MinInt32 {
		// Sessions that played at the start: their ages are distributed like the survival.
		return m.remainingAtStart(c.class, i)
	}
	if age := int(float64(i-c.startStep) * stepS); age < len(s) {
		return s[max(age, 0)]
	}
	return 0
}

// remainingAtStart returns the share of the sessions playing at the start of the lead that
// still plays at step i; step 0 is the begin of the peak.
func (m *model) remainingAtStart(class, i int) float64 {
	from := int(float64(i)*stepS) + int(m.occurrence.Peak.Lead.Seconds())
	s, sum := m.classes[class].Survival, 0.0
	for a := max(from, 0); a+1 < len(s); a++ {
		sum += (s[a] + s[a+1]) / 2
	}
	return sum / max(m.meanLengthS[class], 1e-9)
}

// step simulates the arrivals of step i at a given level of the peak, and returns the worth
// of the sessions that begin.
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
	servedShare, aboveFloorShare := 1.0, 1.0 // share of arrivals that are served, and share of the slots wanted above the floors that they get
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
	if totalSessions > 0 && minSlots > 0 { // blocked by chance, if all sessions were on their lowest rungs
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

// erlangLoss returns the share of an offered load in erlangs that is blocked on a number of
// slots (the Erlang B formula), with linear interpolation for a fraction of a slot.
func erlangLoss(slots, load float64) float64 {
	if load <= 0 {
		return 0
	}
	if slots > load+10*math.Sqrt(load) {
		return 0 // the loss is negligible, and the computation would take long
	}
	if slots > 2000 { // scaled down; this overestimates the loss, which is lower with more slots
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
