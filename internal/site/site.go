// Package site plans for the loss of a whole site: whether the rest can carry its
// load, at which rungs, what is refused first, and how fast the load may go back.
//
// It does no I/O and reads no clock.
package site

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// Rack is nodes behind one uplink.
type Rack struct {
	LinksKB    float64 // of its nodes together, a second, as far as they are to be filled
	UplinkKB   float64 // likewise; 0: not told
	MaxStreams float64 // streams at most, of its nodes together
}

// Site is what is lost together.
type Site struct {
	Name  string
	Racks []Rack
}

// Capacity is what a site carries: kB a second, and streams.
func (s *Site) Capacity() (kb, streams float64) {
	for _, r := range s.Racks {
		usableKB := r.LinksKB
		if r.UplinkKB > 0 {
			usableKB = min(usableKB, r.UplinkKB)
		}
		kb, streams = kb+usableKB, streams+r.MaxStreams
	}
	return kb, streams
}

// Class is one class of session.
type Class struct {
	Name    string
	Floor   int       // lowest rung that may play
	Top     int       // highest rung of the class
	RatesKB []float64 // by rung
	Worth   []float64 // of a second, by rung
}

// Demand is sessions that are alike.
type Demand struct {
	Class    int
	HomeSite int     // site of its viewers
	Sessions float64 // that would play at a time if all were taken
	Top      int     // highest rung that its viewers can use
	Tier     int     // of a higher tier all are taken, on their lowest rung, before any of a lower; 0: by worth alone
}

// Fleet is what a plan is made for.
type Fleet struct {
	Sites         []Site
	Classes       []Class
	Demands       []Demand
	CrossSiteCost float64 // what a session that crosses sites costs, as a part of its worth on its top rung
}

// Validate tells what can't be planned with.
func (f *Fleet) Validate() error {
	var errs []error
	for i, c := range f.Classes {
		switch {
		case len(c.RatesKB) == 0 || len(c.RatesKB) != len(c.Worth):
			errs = append(errs, fmt.Errorf("class %s: %d rates for %d worths", c.Name, len(c.RatesKB), len(c.Worth)))
		case c.Floor < 0 || c.Floor > c.Top || c.Top >= len(c.RatesKB):
			errs = append(errs, fmt.Errorf("class %s: rungs %d to %d of %d", c.Name, c.Floor, c.Top, len(c.RatesKB)))
		default:
			for r := range c.RatesKB {
				if !(c.RatesKB[r] > 0) || !(c.Worth[r] >= 0) || math.IsInf(c.RatesKB[r]+c.Worth[r], 0) {
					errs = append(errs, fmt.Errorf("class %d, rung %d: rate %g, worth %g", i, r, c.RatesKB[r], c.Worth[r]))
				}
			}
		}
	}
	for i, d := range f.Demands {
		if d.Class < 0 || d.Class >= len(f.Classes) || d.HomeSite < 0 || d.HomeSite >= len(f.Sites) || !(d.Sessions >= 0) || math.IsInf(d.Sessions, 0) {
			errs = append(errs, fmt.Errorf("demand %d: class %d, site %d, %g sessions", i, d.Class, d.HomeSite, d.Sessions))
		}
	}
	for _, s := range f.Sites {
		if kb, streams := s.Capacity(); !(kb >= 0) || !(streams >= 0) || math.IsInf(kb+streams, 0) {
			errs = append(errs, fmt.Errorf("site %s: room for %g kB a second and %g streams", s.Name, kb, streams))
		}
	}
	if !(f.CrossSiteCost >= 0) || math.IsInf(f.CrossSiteCost, 0) {
		errs = append(errs, fmt.Errorf("crossing costs %g", f.CrossSiteCost))
	}
	return errors.Join(errs...)
}

// Allocation is what becomes of one demand.
type Allocation struct {
	ByRung    []float64 // sessions by rung
	Refused   float64   // sessions
	CrossSite float64   // of those taken, how many play at another site than their viewers'
}

// Accepted is how many sessions play.
func (a *Allocation) Accepted() (n float64) {
	for _, s := range a.ByRung {
		n += s
	}
	return n
}

// DegradationStep is something that is given up as room shrinks.
type DegradationStep struct {
	Demand           int
	FromRung, ToRung int // rungs; To under 0: refused
	WorthPerKB       float64
}

// Plan is what is to be done while some sites are lost.
type Plan struct {
	LostSites        []int
	WorthBefore      float64           // worth a second with all sites
	Worth            float64           // worth a second without the lost ones
	WorthBound       float64           // no plan earns more than this
	Allocations      []Allocation      // by demand
	Utilization      []float64         // by site, the part of its kB a second that is asked for
	MarginalWorth    float64           // worth of one kB a second more; 0: there is room for all
	DegradationOrder []DegradationStep // what is given up, the first first
	TieredRefused    float64           // sessions of a tier over 0 that are refused
}

// MakePlan plans for the loss of some sites; with none it is the plan for an ordinary time.
//
// It takes all sites that are left as one room first. Each demand offers its rungs, of
// which those count that lie on the concave hull of worth over rate; room is given to
// the step that earns most for a kB until there is none left. For one room that is the
// optimum of the linear programme, the multiple-choice knapsack whose classes may be
// split, and no plan for many rooms earns more: crossing only costs, and what is free
// in one room is of use in no other. That is Bound. Where streams run out before links,
// each session is charged for its stream, at the least price at which they suffice; the
// optimum lies between the plans just over and just under that price, and is their mix.
//
// Rungs are to go down before sessions are refused: the plan gives all lowest rungs
// room before any upper one, also where that earns a little less for a kB, as it may for
// a session that crosses. Bound knows no such rule.
//
// Then each site takes its own viewers as far as it has room, and the others go where
// room is left; and in turn each site chooses anew, the same way, among what plays there
// and what is refused, until that earns no more. Worth is what comes of it, so that
// Worth over Bound tells how good a plan is at least.
func MakePlan(f *Fleet, lost ...int) (Plan, error) {
	if err := f.Validate(); err != nil {
		return Plan{}, fmt.Errorf("site: %w", err)
	}
	for _, l := range lost {
		if l < 0 || l >= len(f.Sites) {
			return Plan{}, fmt.Errorf("site: there is no site %d", l)
		}
	}
	p := f.makePlan(lost)
	if len(lost) > 0 {
		p.WorthBefore = f.makePlan(nil).Worth
	} else {
		p.WorthBefore = p.Worth
	}
	return p, nil
}

func (f *Fleet) makePlan(lost []int) Plan {
	p := Plan{LostSites: slices.Clone(lost)}
	slices.Sort(p.LostSites)
	var kb, streams float64
	capacities := make([]siteCapacity, len(f.Sites))
	for i := range f.Sites {
		if !slices.Contains(lost, i) {
			k, n := f.Sites[i].Capacity()
			capacities[i] = siteCapacity{k, n}
			kb, streams = kb+k, streams+n
		}
	}
	problem := f.newKnapsack(func(home int) bool { return slices.Contains(lost, home) })
	best, _ := problem.solve(kb, streams)
	p.WorthBound = problem.totalWorth(best)
	problem.floorsFirst = true
	pooled, price := problem.solve(kb, streams)
	p.MarginalWorth, p.DegradationOrder = price, problem.degradationOrder()
	p.Allocations = make([]Allocation, len(f.Demands))
	for i, d := range f.Demands {
		p.Allocations[i] = Allocation{ByRung: make([]float64, len(pooled[i])), Refused: d.Sessions}
	}
	bySite := f.placeSessions(&p, pooled, capacities)
	for range maxReallocationRounds {
		before := p.Worth
		if f.reallocateSites(&p, bySite, capacities); p.Worth <= before*(1+1e-6) {
			break
		}
	}
	f.summarize(&p, bySite, capacities)
	return p
}

// maxReallocationRounds is how often each site chooses anew at most.
const maxReallocationRounds = 8

// siteCapacity is what a site has.
type siteCapacity struct{ kb, streams float64 }

// knapsack is the demands as a plan fills a room with them.
type knapsack struct {
	fleet        *Fleet
	maxSessions  []float64 // by demand, sessions
	rungRanges   [][2]int  // by demand, from and to; empty where to is under from
	crossingCost []float64 // by demand, what each session costs because it has to cross
	// strict has all lowest rungs come before any upper one: rungs go down before
	// sessions are refused.
	floorsFirst bool
}

// newKnapsack are those of all sessions, of which those have to cross whose home is one
// that crosses tells.
func (f *Fleet) newKnapsack(mustCross func(home int) bool) *knapsack {
	ks := &knapsack{fleet: f}
	for _, d := range f.Demands {
		c := &f.Classes[d.Class]
		ks.maxSessions = append(ks.maxSessions, d.Sessions)
		ks.rungRanges = append(ks.rungRanges, [2]int{c.Floor, min(c.Top, d.Top)})
		crossingCost := 0.0
		if mustCross(d.HomeSite) {
			crossingCost = f.sessionCrossingCost(d)
		}
		ks.crossingCost = append(ks.crossingCost, crossingCost)
	}
	return ks
}

// sessionCrossingCost is what a session of a demand costs a second where it crosses.
func (f *Fleet) sessionCrossingCost(d Demand) float64 {
	c := &f.Classes[d.Class]
	top := min(c.Top, d.Top)
	if top < c.Floor {
		return 0
	}
	return f.CrossSiteCost * c.Worth[top]
}

// item is one step up of a demand: from nothing to a rung, or from rung to rung.
type item struct {
	demand           int
	fromRung, toRung int // from under 0: nothing
	kb               float64
	worthPerKB       float64 // worth for a kB
	tier             int     // of a first step
}

// items are the steps of the hulls of all demands, with a charge for each stream, in
// the order in which room is given to them.
func (ks *knapsack) items(streamCharge float64) []item {
	var all []item
	lowestFirst := ks.floorsFirst && streamCharge == 0 // with a charge it is not rungs that want room
	for i, d := range ks.fleet.Demands {
		c := &ks.fleet.Classes[d.Class]
		if ks.maxSessions[i] <= 0 {
			continue
		}
		low, high := ks.rungRanges[i][0], ks.rungRanges[i][1]
		fromRung, kb, worth := -1, 0.0, 0.0
		for fromRung < high {
			// The next point of the hull is the one with the steepest way there.
			best, worthPerKB := -1, math.Inf(-1)
			for r := max(low, fromRung+1); r <= high; r++ {
				w := c.Worth[r] - ks.crossingCost[i] - streamCharge
				if k := c.RatesKB[r] - kb; k > 0 && (w-worth)/k > worthPerKB {
					best, worthPerKB = r, (w-worth)/k
				}
			}
			tier := 0
			if fromRung < 0 && (d.Tier > 0 || lowestFirst) {
				// Who is to be taken is so on the lowest rung, whatever that earns.
				tier, best = d.Tier, low
				worthPerKB = (c.Worth[low] - ks.crossingCost[i] - streamCharge) / c.RatesKB[low]
			}
			if best < 0 || worthPerKB <= 0 && tier == 0 {
				break
			}
			all = append(all, item{i, fromRung, best, c.RatesKB[best] - kb, worthPerKB, tier})
			fromRung, kb, worth = best, c.RatesKB[best], c.Worth[best]-ks.crossingCost[i]-streamCharge
		}
	}
	slices.SortStableFunc(all, func(a, b item) int {
		if order := cmp.Compare(b.tier, a.tier); order != 0 || !lowestFirst || (a.fromRung < 0) == (b.fromRung < 0) {
			return cmp.Or(order, cmp.Compare(b.worthPerKB, a.worthPerKB))
		}
		return cmp.Compare(a.fromRung, b.fromRung) // nothing is less than any rung
	})
	return all
}

// solve gives a room to the offers. It returns, by demand and rung, how many sessions
// play, and what one more kB would earn.
func (ks *knapsack) solve(kb, maxStreams float64) ([][]float64, float64) {
	uncharged, price, streams := ks.fillGreedily(kb, maxStreams, 0)
	if streams <= maxStreams*(1+1e-9) {
		return uncharged, price
	}
	low, high := 0.0, 0.0
	for _, c := range ks.fleet.Classes {
		high = max(high, slices.Max(c.Worth))
	}
	over, overStreams := uncharged, streams
	under, underPrice, underStreams := ks.fillGreedily(kb, maxStreams, high)
	for range 48 {
		mid := (low + high) / 2
		got, p, n := ks.fillGreedily(kb, maxStreams, mid)
		if n > maxStreams {
			low, over, overStreams = mid, got, n
		} else {
			high, under, underPrice, underStreams = mid, got, p, n
		}
	}
	// Of two plans at one price, of which one takes a stream too many, the mix that
	// takes all streams is the best there is.
	overShare := 0.0
	if overStreams > underStreams {
		overShare = min((maxStreams-underStreams)/(overStreams-underStreams), 1)
	}
	if overShare <= 0 {
		return under, underPrice
	}
	for i := range under {
		for r := range under[i] {
			under[i][r] += overShare * (over[i][r] - under[i][r])
		}
	}
	return under, underPrice
}

// fillGreedily fills a room of kB at a charge for streams. Tiers over 0 pay none: they are cut
// off only where they alone want more streams than there are.
func (ks *knapsack) fillGreedily(kb, maxStreams, streamCharge float64) (sessions [][]float64, price, streams float64) {
	sessions = make([][]float64, len(ks.fleet.Demands))
	for i, d := range ks.fleet.Demands {
		sessions[i] = make([]float64, len(ks.fleet.Classes[d.Class].RatesKB))
	}
	for _, it := range ks.items(streamCharge) {
		n := ks.maxSessions[it.demand]
		if it.fromRung >= 0 {
			n = sessions[it.demand][it.fromRung] // those that came so far
		} else if it.tier > 0 {
			n = min(n, max(maxStreams-streams, 0))
		}
		if n <= 0 {
			continue
		}
		fits := min(n, kb/it.kb)
		if fits < n && price == 0 {
			price = it.worthPerKB
		}
		if fits <= 0 {
			continue
		}
		kb -= fits * it.kb
		sessions[it.demand][it.toRung] += fits
		if it.fromRung >= 0 {
			sessions[it.demand][it.fromRung] -= fits
		} else {
			streams += fits
		}
	}
	return sessions, price, streams
}

// totalWorth is what sessions earn a second.
func (ks *knapsack) totalWorth(sessions [][]float64) (w float64) {
	for i, d := range ks.fleet.Demands {
		for r, n := range sessions[i] {
			w += n * (ks.fleet.Classes[d.Class].Worth[r] - ks.crossingCost[i])
		}
	}
	return w
}

// degradationOrder is what is given up as room shrinks: the steps up, backwards.
func (ks *knapsack) degradationOrder() (steps []DegradationStep) {
	for _, it := range slices.Backward(ks.items(0)) {
		steps = append(steps, DegradationStep{it.demand, it.toRung, it.fromRung, it.worthPerKB})
	}
	return steps
}

// placeSessions finds a place for each session that the plan takes. Those of whom a crossing
// would cost most for their room stay at home first; of the others each site takes
// what it has room for, the one with most room first. It returns, by site, demand and
// rung, how many play.
func (f *Fleet) placeSessions(p *Plan, accepted [][]float64, capacities []siteCapacity) (bySite [][][]float64) {
	type portion struct {
		demand, rung int
		n            float64
		tier         int
	}
	var portions []portion
	for i, d := range f.Demands {
		for r, n := range accepted[i] {
			if n > 1e-12 {
				portions = append(portions, portion{i, r, n, d.Tier})
			}
		}
	}
	rate := func(x *portion) float64 { return f.Classes[f.Demands[x.demand].Class].RatesKB[x.rung] }
	slices.SortStableFunc(portions, func(a, b portion) int {
		return cmp.Or(cmp.Compare(b.tier, a.tier),
			cmp.Compare(f.sessionCrossingCost(f.Demands[b.demand])/rate(&b), f.sessionCrossingCost(f.Demands[a.demand])/rate(&a)))
	})
	free := slices.Clone(capacities)
	for range f.Sites {
		byRung := make([][]float64, len(f.Demands))
		for i := range byRung {
			byRung[i] = make([]float64, len(accepted[i]))
		}
		bySite = append(bySite, byRung)
	}
	place := func(x *portion, site int) {
		s := &free[site]
		n := max(min(x.n, s.kb/rate(x), s.streams), 0)
		s.kb, s.streams, x.n = s.kb-n*rate(x), s.streams-n, x.n-n
		bySite[site][x.demand][x.rung] += n
		p.Allocations[x.demand].Refused -= n
	}
	for i := range portions {
		place(&portions[i], f.Demands[portions[i].demand].HomeSite)
	}
	for i := range portions {
		for x := &portions[i]; x.n > 1e-9; {
			roomiest := 0
			for s := range free {
				if min(free[s].kb, free[s].streams*rate(x)) > min(free[roomiest].kb, free[roomiest].streams*rate(x)) {
					roomiest = s
				}
			}
			before := x.n
			if place(x, roomiest); x.n >= before*(1-1e-9) {
				break
			}
		}
	}
	return bySite
}

// reallocateSites has each site choose anew among what plays there and what is refused.
func (f *Fleet) reallocateSites(p *Plan, bySite [][][]float64, capacities []siteCapacity) {
	p.Worth = 0
	for s := range f.Sites {
		if capacities[s].kb <= 0 || capacities[s].streams <= 0 {
			continue
		}
		problem := f.newKnapsack(func(home int) bool { return home != s })
		problem.floorsFirst = true
		for i := range f.Demands {
			problem.maxSessions[i] = max(p.Allocations[i].Refused, 0)
			for _, n := range bySite[s][i] {
				problem.maxSessions[i] += n
			}
		}
		sessions, _ := problem.solve(capacities[s].kb, capacities[s].streams)
		for i := range f.Demands {
			p.Allocations[i].Refused = problem.maxSessions[i]
			for _, n := range sessions[i] {
				p.Allocations[i].Refused -= n
			}
		}
		bySite[s] = sessions
		p.Worth += problem.totalWorth(sessions)
	}
}

// summarize tells what a plan comes to.
func (f *Fleet) summarize(p *Plan, bySite [][][]float64, capacities []siteCapacity) {
	p.Utilization = make([]float64, len(f.Sites))
	p.Worth = 0
	for i, d := range f.Demands {
		c := &f.Classes[d.Class]
		t := &p.Allocations[i]
		for s := range f.Sites {
			for r, n := range bySite[s][i] {
				if n <= 0 {
					continue
				}
				t.ByRung[r] += n
				p.Worth += n * c.Worth[r]
				p.Utilization[s] += n * c.RatesKB[r] / capacities[s].kb
				if s != d.HomeSite {
					t.CrossSite += n
					p.Worth -= n * f.sessionCrossingCost(d)
				}
			}
		}
		t.Refused = max(d.Sessions-t.Accepted(), 0)
		if d.Tier > 0 {
			p.TieredRefused += t.Refused
		}
	}
}

// PlanLosses plans for the loss of each site, and of each pair where there are more than
// two.
func PlanLosses(f *Fleet) ([]Plan, error) {
	if err := f.Validate(); err != nil {
		return nil, fmt.Errorf("site: %w", err)
	}
	before := f.makePlan(nil).Worth
	var plans []Plan
	add := func(lost ...int) {
		p := f.makePlan(lost)
		p.WorthBefore = before
		plans = append(plans, p)
	}
	for i := range f.Sites {
		add(i)
	}
	if len(f.Sites) > 2 {
		for i := range f.Sites {
			for j := i + 1; j < len(f.Sites); j++ {
				add(i, j)
			}
		}
	}
	return plans, nil
}

// Recovery is how a site that was lost takes its load back.
type Recovery struct {
	WarmUp       time.Duration // until a node that starts cold is warm
	InitialShare float64       // of its pace and links that is warm at the start
	MaxStreams   float64       // streams of all nodes that come back
	// Returns is how often the site has come back within the last minute, this time
	// included. A site that comes and goes is trusted half as much each time.
	ReturnCount int
}

// MaxSessionRate is how many sessions a second all managers together may send to a site that
// has been back for a time: no more than its places over its warm-up, times the share
// that it has warmed.
func (r Recovery) MaxSessionRate(since time.Duration) float64 {
	if r.WarmUp <= 0 {
		return math.Inf(1)
	}
	return r.MaxStreams / r.WarmUp.Seconds() * r.WarmShare(since) * math.Pow(0.5, float64(max(r.ReturnCount-1, 0)))
}

// WarmShare is the part of the site's room that has warmed after a time.
func (r Recovery) WarmShare(since time.Duration) float64 {
	if r.WarmUp <= 0 {
		return 1
	}
	return min(r.InitialShare+(1-r.InitialShare)*float64(max(since, 0))/float64(r.WarmUp), 1)
}

// TimeToRestore tells how long it takes until a part of so many sessions plays at the site
// again, where its viewers ask for them at a rate and they last so long in the mean.
// What found a place elsewhere stays there. False: it never does.
func (r Recovery) TimeToRestore(sessions, rate float64, meanLength time.Duration, share float64) (time.Duration, bool) {
	const step = 50 * time.Millisecond
	playing := 0.0
	for t := time.Duration(0); t < time.Hour; t += step {
		if playing >= share*sessions {
			return t, true
		}
		arriving := min(rate, r.MaxSessionRate(t))
		playing += (arriving - playing/max(meanLength.Seconds(), 1e-3)) * step.Seconds()
	}
	return 0, false
}
