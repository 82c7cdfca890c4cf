// Package site plans for the loss of whole sites: whether the other sites can carry the
// load, at which rungs, what is refused first, and how fast load may return to a recovered
// site. It also detects such losses from the signs of nodes (Watch) and computes each
// manager's part of a plan (Guide).
//
// The package does no I/O and reads no clock.
package site

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// Rack is a group of nodes that share one uplink.
type Rack struct {
	LinksKB    float64 // kB/s, total of its nodes' links, as far as they may be filled
	UplinkKB   float64 // kB/s, as far as the uplink may be filled; 0: unknown
	MaxStreams float64 // total of its nodes
}

// Site is a set of racks that can be lost together.
type Site struct {
	Name  string
	Racks []Rack
}

// Capacity returns how many kB/s and how many streams the site can carry.
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

// Class describes a class of sessions.
type Class struct {
	Name    string
	Floor   int       // lowest rung that may play
	Top     int       // highest rung that may play
	RatesKB []float64 // by rung, in kB/s
	Worth   []float64 // by rung, of one second of play
}

// Demand is a group of sessions that a plan need not tell apart.
type Demand struct {
	Class    int
	HomeSite int     // index of the site of its viewers
	Sessions float64 // number of concurrent sessions if all are accepted
	Top      int     // highest rung that its viewers can play
	Tier     int     // priority: all sessions of a higher tier are accepted, on their lowest rung, before any of a lower one; 0: by worth alone
}

// Fleet holds the sites, classes and demands for which a plan is made.
type Fleet struct {
	Sites         []Site
	Classes       []Class
	Demands       []Demand
	CrossSiteCost float64 // cost of a session that plays at another site than its viewer's, as a share of its worth on its top rung
}

// Validate returns an error for each value with which no plan can be made.
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

// Allocation is the part of a plan that concerns one demand.
type Allocation struct {
	ByRung    []float64 // accepted sessions, by rung
	Refused   float64   // refused sessions
	CrossSite float64   // accepted sessions that play at another site than their viewers'
}

// Accepted returns the number of accepted sessions.
func (a *Allocation) Accepted() (n float64) {
	for _, s := range a.ByRung {
		n += s
	}
	return n
}

// DegradationStep is one step by which a demand is degraded as capacity shrinks: from one
// rung to a lower one, or from its lowest rung to refusal.
type DegradationStep struct {
	Demand           int
	FromRung, ToRung int // ToRung is negative if the sessions are refused
	WorthPerKB       float64
}

// Plan describes what is to be done while some sites are lost.
type Plan struct {
	LostSites        []int
	WorthBefore      float64           // worth per second with all sites
	Worth            float64           // worth per second without the lost sites
	WorthBound       float64           // upper bound of Worth: no plan earns more
	Allocations      []Allocation      // by demand
	Utilization      []float64         // by site, the share of its kB/s that the plan uses
	MarginalWorth    float64           // worth that one more kB/s would add; 0: there is capacity for all sessions
	DegradationOrder []DegradationStep // what is given up as capacity shrinks, in this order
	TieredRefused    float64           // sessions of a tier above 0 that are refused
}

// MakePlan plans for the loss of the given sites; without any it makes the plan for normal
// operation.
//
// It first treats the remaining sites as one pool. For each demand, only the rungs on the
// concave hull of worth over rate are considered; capacity is given to the step with the
// most worth per kB until none is left. For a single pool this is the optimum of the linear
// program, a multiple-choice knapsack with divisible items. No plan for several sites earns
// more, since sessions that cross sites only add costs, and capacity left over at one site
// cannot be used at another. This optimum is WorthBound. Where streams run out before links
// do, each session is charged for its stream, at the lowest price at which the streams
// suffice. The optimum lies between the plans just above and just below that price, and is
// a mixture of the two.
//
// Rungs are lowered before sessions are refused: the plan gives capacity to all lowest
// rungs before any upper one, even where that earns slightly less per kB, as it may for a
// session that crosses sites. WorthBound does not take this rule into account.
//
// After that, each site accepts its own viewers as far as its capacity goes, and the others
// are placed where capacity is left. Then each site in turn chooses again, in the same way,
// among the sessions that play there and those that are refused, until that adds no more
// worth. Worth is the result, so Worth/WorthBound is a lower bound of a plan's quality.
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

// makePlan makes a plan without WorthBefore for valid values, see MakePlan.
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

// maxReallocationRounds is the maximum number of times that each site chooses its sessions
// again.
const maxReallocationRounds = 8

// siteCapacity is the capacity of a site, in kB/s and streams, or the part of it that is
// still free.
type siteCapacity struct{ kb, streams float64 }

// knapsack is the problem of filling a given capacity with the sessions of all demands.
type knapsack struct {
	fleet        *Fleet
	maxSessions  []float64 // by demand, the number of sessions that may be accepted
	rungRanges   [][2]int  // by demand, the lowest and the highest rung; empty if the highest is below the lowest
	crossingCost []float64 // by demand, what each session costs because it has to cross sites
	// floorsFirst makes all lowest rungs come before any upper one, so that rungs are
	// lowered before sessions are refused.
	floorsFirst bool
}

// newKnapsack returns the problem for all sessions. mustCross reports whether the sessions
// of a home site have to cross sites.
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

// sessionCrossingCost returns the cost per second of a session of a demand if it crosses
// sites.
func (f *Fleet) sessionCrossingCost(d Demand) float64 {
	c := &f.Classes[d.Class]
	top := min(c.Top, d.Top)
	if top < c.Floor {
		return 0
	}
	return f.CrossSiteCost * c.Worth[top]
}

// item is one step up for a demand: from refusal to a rung, or from one rung to a higher
// one.
type item struct {
	demand           int
	fromRung, toRung int // fromRung is negative for the step from refusal
	kb               float64
	worthPerKB       float64 // worth that the step adds per kB
	tier             int     // of the demand, for a step from refusal; 0 for the others
}

// items returns the steps along the concave hulls of all demands, with a charge for each
// stream, in the order in which capacity is given to them.
func (ks *knapsack) items(streamCharge float64) []item {
	var all []item
	lowestFirst := ks.floorsFirst && streamCharge == 0 // with a charge, streams are scarce and lower rungs would not help
	for i, d := range ks.fleet.Demands {
		c := &ks.fleet.Classes[d.Class]
		if ks.maxSessions[i] <= 0 {
			continue
		}
		low, high := ks.rungRanges[i][0], ks.rungRanges[i][1]
		fromRung, kb, worth := -1, 0.0, 0.0
		for fromRung < high {
			// The next point of the hull is the one with the steepest slope.
			best, worthPerKB := -1, math.Inf(-1)
			for r := max(low, fromRung+1); r <= high; r++ {
				w := c.Worth[r] - ks.crossingCost[i] - streamCharge
				if k := c.RatesKB[r] - kb; k > 0 && (w-worth)/k > worthPerKB {
					best, worthPerKB = r, (w-worth)/k
				}
			}
			tier := 0
			if fromRung < 0 && (d.Tier > 0 || lowestFirst) {
				// Sessions that have to be accepted get the lowest rung, whatever they earn.
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
		return cmp.Compare(a.fromRung, b.fromRung) // a negative rung, that is refusal, sorts before all rungs
	})
	return all
}

// solve distributes a capacity over the demands. It returns the number of accepted sessions
// by demand and rung, and the worth that one more kB/s would add.
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
	// Of two plans at the same price, one of which uses too many streams, the mixture that
	// uses exactly all streams is optimal.
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

// fillGreedily distributes kb kB/s at a given charge for streams. Sessions of tiers above 0
// are accepted whatever the charge: they are cut off only if they alone need more streams
// than there are.
func (ks *knapsack) fillGreedily(kb, maxStreams, streamCharge float64) (sessions [][]float64, price, streams float64) {
	sessions = make([][]float64, len(ks.fleet.Demands))
	for i, d := range ks.fleet.Demands {
		sessions[i] = make([]float64, len(ks.fleet.Classes[d.Class].RatesKB))
	}
	for _, it := range ks.items(streamCharge) {
		n := ks.maxSessions[it.demand]
		if it.fromRung >= 0 {
			n = sessions[it.demand][it.fromRung] // those that got the step before
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

// totalWorth returns the worth per second of accepted sessions, less the costs of crossing.
func (ks *knapsack) totalWorth(sessions [][]float64) (w float64) {
	for i, d := range ks.fleet.Demands {
		for r, n := range sessions[i] {
			w += n * (ks.fleet.Classes[d.Class].Worth[r] - ks.crossingCost[i])
		}
	}
	return w
}

// degradationOrder returns what is given up as capacity shrinks: the steps up in reverse.
func (ks *knapsack) degradationOrder() (steps []DegradationStep) {
	for _, it := range slices.Backward(ks.items(0)) {
		steps = append(steps, DegradationStep{it.demand, it.toRung, it.fromRung, it.worthPerKB})
	}
	return steps
}

// placeSessions assigns the accepted sessions to sites. Sessions for which crossing would
// cost most per kB are placed first at their home sites. The others are placed where there
// is capacity, at the site with the most free capacity first. It returns the number of
// sessions by site, demand and rung.
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

// reallocateSites lets each site choose again among the sessions that play there and those
// that are refused.
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

// summarize computes the totals of a plan from the sessions by site, demand and rung.
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

// PlanLosses makes a plan for the loss of each site, and of each pair of sites if there are
// more than two.
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

// Recovery describes how load returns to a site that was lost.
type Recovery struct {
	WarmUp       time.Duration // time until a node that starts cold is warm
	InitialShare float64       // share of its links and set-up rate that a cold node has at once
	MaxStreams   float64       // total of the nodes that return
	// ReturnCount is how often the site has returned within the last minute, this time
	// included. For a site that comes and goes, the set-up rate is halved each time.
	ReturnCount int
}

// MaxSessionRate returns how many sessions per second all managers together may send to a
// site that returned the given time ago: at most its streams divided by its warm-up time,
// times the share that is warm, halved for each earlier return. Without a warm-up time there
// is no limit.
func (r Recovery) MaxSessionRate(since time.Duration) float64 {
	if r.WarmUp <= 0 {
		return math.Inf(1)
	}
	return r.MaxStreams / r.WarmUp.Seconds() * r.WarmShare(since) * math.Pow(0.5, float64(max(r.ReturnCount-1, 0)))
}

// WarmShare returns the share of the site's capacity that is warm after a time.
func (r Recovery) WarmShare(since time.Duration) float64 {
	if r.WarmUp <= 0 {
		return 1
	}
	return min(r.InitialShare+(1-r.InitialShare)*float64(max(since, 0))/float64(r.WarmUp), 1)
}

// TimeToRestore returns how long it takes until a share of the given sessions plays at the
// site again, if its viewers request rate sessions per second of the given mean length.
// Sessions that have been placed elsewhere stay there. It returns false if the share is not
// reached within an hour.
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
