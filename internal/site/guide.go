package site

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// Node is a media node as plans count it.
type Node struct {
	Site       int
	Rack       int
	LinkKB     float64 // that is to be filled, a second
	MaxStreams float64
}

// BuildSites puts nodes together to sites. uplinkKB is what is to be filled of each rack's
// uplink.
func BuildSites(names []string, nodes []Node, uplinkKB float64) []Site {
	type rack struct{ site, number int }
	at := map[rack]int{}
	sites := make([]Site, len(names))
	for i, n := range names {
		sites[i].Name = n
	}
	for _, n := range nodes {
		s := &sites[n.Site]
		i, ok := at[rack{n.Site, n.Rack}]
		if !ok {
			i = len(s.Racks)
			at[rack{n.Site, n.Rack}] = i
			s.Racks = append(s.Racks, Rack{UplinkKB: uplinkKB})
		}
		s.Racks[i].LinksKB += n.LinkKB
		s.Racks[i].MaxStreams += n.MaxStreams
	}
	return sites
}

// SpreadDemand is the demand of classes that is spread over sites as their room is. tier ranks
// a class at a site, as Demand has it.
func (f *Fleet) SpreadDemand(sessions []float64, tier func(site, class int) int) (all []Demand) {
	whole := 0.0
	for i := range f.Sites {
		kb, _ := f.Sites[i].Capacity()
		whole += kb
	}
	for k, c := range f.Classes {
		for i := range f.Sites {
			kb, _ := f.Sites[i].Capacity()
			if n := sessions[k] * kb / max(whole, 1); n > 0 {
				all = append(all, Demand{Class: k, HomeSite: i, Sessions: n, Top: c.Top, Tier: tier(i, k)})
			}
		}
	}
	return all
}

// Figures of a Guide.
const (
	planEvery = time.Second      // while a site is lost or comes back
	rateTime  = time.Minute      // over which arrivals are counted
	nowTime   = 6 * time.Second  // over which they are for this manager's part of them
	shareTime = 30 * time.Second // over which this manager's share is taken
	beforeN   = 8                // seconds before a loss is told whose figures count: what came after it is of no use
	// fewArrivals are taken to have come at the rate before besides those that did.
	fewArrivals = 10
	priorEnds   = 2 // sessions of the mean length first told, as if they had been seen
	// leastRefused is the part of a class that a plan refuses at the least for the class
	// to be rationed. Under it what is measured is not as good as that.
	leastRefused = 0.02
	// trusted is how often a return that did not last halves the pace, at the most.
	trusted = 6
)

// Rule is what a Guide knows of a site beforehand.
type Rule struct {
	Tiers        []int         // by class
	WarmUp       time.Duration // until a node that starts cold is warm
	InitialShare float64       // of it that is warm at the start
}

// Ration is what one manager may do of a plan for the whole fleet.
type Ration struct {
	SessionLimit   []float64 // by class, sessions that it may hold at a time; under 0: any number
	RetryIntervalS []float64 // by class, s between two refused viewers that come again; 0: not spread
	MaxSessionRate []float64 // by site, sessions a second that it may send there; under 0: any number
	// Rungs is, by class and rung, the part of what plays that does so on that rung or a
	// lower one.
	ByRung [][]float64
}

// Guide makes the plan for the sites that are lost, from what one manager measures, and
// that manager's part of it. Managers need not talk: each measures its arrivals and its
// share of the fleet, plans for the whole, and takes its share of the plan, so that the
// parts add up to it as the shares do to one.
//
// What all managers are asked for is taken from before the loss: after it, what each
// holds says where nodes are left, and no more who asks for how much. A manager's share
// of that follows its own arrivals, which grow where other managers are lost as well.
//
// Times are arguments and must not step back.
type Guide struct {
	names    []string
	rules    []Rule
	classes  []Class
	cross    float64
	uplinkKB float64
	nodes    map[uint64]Node
	flows    []flow
	share    float64     // of all managers' sessions, over shareTime; 0: not told yet
	shareAt  time.Time   // of its last sample
	samples  []sample    // the last ones, a second apart, the oldest first
	before   *sample     // of the episode
	back     []time.Time // by site, when it was heard of again; zero: long ago
	returns  []int       // by site, of that return, within a minute
	plan     *Plan
	demands  []Demand // that it is for
	planned  time.Time
	text     string
}

// sample is what a manager measures of an ordinary second.
type sample struct {
	share float64
	rates []float64 // by class, of this manager
}

// flow is what is measured of a class.
type flow struct {
	slow, fast counter
	since      time.Time // the first arrival
	expect     float64   // a second, over all managers
	played     float64   // s
	ends       float64
}

// counter counts what comes, each less by the time since.
type counter struct {
	count float64
	at    time.Time
}

func (c *counter) counted(now time.Time, over time.Duration) float64 {
	return c.count * math.Exp(-float64(now.Sub(c.at))/float64(over))
}

func (c *counter) add(now time.Time, over time.Duration) {
	c.count, c.at = c.counted(now, over)+1, now
}

// rate is what comes a second, of what has come since a time.
func (c *counter) rate(now, since time.Time, over time.Duration) float64 {
	if since.IsZero() {
		return 0
	}
	seen := 1 - math.Exp(-float64(now.Sub(since))/float64(over)) // of what is counted in the long run
	return c.counted(now, over) / over.Seconds() / max(seen, 0.05)
}

// ExpectedLoad is what is taken to come of a class until it is measured.
type ExpectedLoad struct {
	Rate       float64 // sessions a second over all managers; 0: not told
	MeanLength time.Duration
}

// NewGuide returns a Guide.
func NewGuide(names []string, rules []Rule, classes []Class, expect []ExpectedLoad, cross, uplinkKB float64) *Guide {
	g := &Guide{names: names, rules: rules, classes: classes, cross: cross, uplinkKB: uplinkKB, nodes: map[uint64]Node{},
		flows: make([]flow, len(classes)), back: make([]time.Time, len(names)), returns: make([]int, len(names))}
	for k := range g.flows {
		g.flows[k].ends = priorEnds
		g.flows[k].played = priorEnds * expect[k].MeanLength.Seconds()
		g.flows[k].expect = expect[k].Rate
	}
	return g
}

// UpdateNode tells of a node of the list. One that is not ready carries nothing new.
func (g *Guide) UpdateNode(id uint64, n Node, ready bool) {
	if ready && n.Site >= 0 && n.Site < len(g.names) {
		g.nodes[id] = n
	} else {
		delete(g.nodes, id)
	}
}

// CountArrival tells of a viewer who asks for the first time. Those who come again are
// counted already.
func (g *Guide) CountArrival(now time.Time, class int) {
	f := &g.flows[class]
	if f.since.IsZero() {
		f.since = now
	}
	f.slow.add(now, rateTime)
	f.fast.add(now, nowTime)
}

// lasts is a session's mean length in seconds.
func (f *flow) lasts() float64 { return max(f.played/f.ends, 1) }

// AddSessionLength tells of a session that played for a time. One that was broken off says nothing:
// they come in crowds, when a site is lost, and would make all look longer.
func (g *Guide) AddSessionLength(class int, stood time.Duration, broken bool) {
	if f := &g.flows[class]; !broken {
		f.played += max(stood, 0).Seconds()
		f.ends++
	}
}

// ApplyNotice takes what a Watch says has changed.
func (g *Guide) ApplyNotice(now time.Time, n Notice, returns int) {
	if n.Site < 0 {
		return
	}
	switch n.State {
	case StateLost:
		g.back[n.Site] = time.Time{}
	case StateRecovering:
		g.back[n.Site], g.returns[n.Site] = now, returns
	}
	g.planned = time.Time{} // anew
}

// warm is the part of a site's room that counts, and whether it still comes back.
func (g *Guide) warm(now time.Time, i int) (float64, bool) {
	r := &g.rules[i]
	if g.back[i].IsZero() || r.WarmUp <= 0 {
		return 1, false
	}
	part := Recovery{WarmUp: r.WarmUp, InitialShare: r.InitialShare}.WarmShare(now.Sub(g.back[i]))
	if part >= 1 && now.Sub(g.back[i]) >= r.WarmUp<<min(max(g.returns[i]-1, 0), trusted) {
		return 1, false
	}
	return part, true
}

// Tick returns this manager's ration while a site is lost or comes back, nil else, and
// what has changed of it in words, or "". share is its part of the fleet's sessions.
// A plan that can't be made leaves the last good one.
func (g *Guide) Tick(now time.Time, w *Watch, share float64) (*Ration, string) {
	var lost []int
	returning := false
	for i := range g.names {
		if w.State(i) == StateLost {
			lost = append(lost, i)
		}
		_, comes := g.warm(now, i)
		returning = returning || comes
	}
	if len(lost) == 0 && !returning {
		g.ordinary(now, share)
		return nil, g.say("")
	}
	if w.Isolated() {
		return nil, g.say("")
	}
	if g.before == nil {
		g.before = &sample{min(max(share, 1e-6), 1), g.rates(now)}
		if n := len(g.samples); n == beforeN {
			g.before = &g.samples[0]
		} else if n > 0 { // of a manager that has just begun the newest are the best
			g.before = &g.samples[n-1]
		}
	}
	share = g.part(now)
	if g.plan == nil || now.Sub(g.planned) >= planEvery {
		f := g.fleet(now)
		if p, err := MakePlan(f, lost...); err == nil {
			g.plan, g.demands, g.planned = &p, f.Demands, now
		}
	}
	if g.plan == nil {
		return nil, ""
	}
	return g.ration(now, share)
}

// ordinary takes a sample of a time in which all sites are there.
func (g *Guide) ordinary(now time.Time, share float64) {
	g.plan, g.before = nil, nil
	if now.Sub(g.shareAt) < time.Second {
		return
	}
	if g.share == 0 {
		g.share = share
	}
	g.share += (share - g.share) * min(float64(now.Sub(g.shareAt))/float64(shareTime), 1)
	g.shareAt = now
	if len(g.samples) == beforeN {
		g.samples = append(g.samples[:0:0], g.samples[1:]...) // one may be kept as before
	}
	g.samples = append(g.samples, sample{min(max(g.share, 1e-6), 1), g.rates(now)})
}

func (g *Guide) rates(now time.Time) (all []float64) {
	for k := range g.flows {
		f := &g.flows[k]
		rate := f.slow.rate(now, f.since, rateTime)
		if f.expect > 0 {
			young := 1.0 // the part of what is counted in the long run that has not been
			if !f.since.IsZero() {
				young = math.Exp(-float64(now.Sub(f.since)) / float64(rateTime))
			}
			rate = f.slow.counted(now, rateTime)/rateTime.Seconds() + young*f.expect*g.share
		}
		all = append(all, rate)
	}
	return all
}

// part is this manager's share of what all are asked for now.
func (g *Guide) part(now time.Time) float64 {
	mine, was := 0.0, 0.0
	for k := range g.flows {
		mine += g.flows[k].fast.rate(now, g.flows[k].since, nowTime)
		was += g.before.rates[k]
	}
	if was <= 0 {
		return g.before.share
	}
	// Few arrivals say little: as if some more had come at the rate before.
	n := mine * nowTime.Seconds()
	grown := (n + fewArrivals) / (was*nowTime.Seconds() + fewArrivals)
	return min(g.before.share*grown, 1)
}

// fleet is all sites, of those that come back what is warm, and all managers' demand.
func (g *Guide) fleet(now time.Time) *Fleet {
	f := &Fleet{Classes: g.classes, CrossSiteCost: g.cross}
	nodes := make([]Node, 0, len(g.nodes))
	for _, id := range slices.Sorted(maps.Keys(g.nodes)) { // the same plan each time
		nodes = append(nodes, g.nodes[id])
	}
	f.Sites = BuildSites(g.names, nodes, g.uplinkKB)
	sessions, _ := g.PlanBasis()
	f.Demands = f.SpreadDemand(sessions, func(site, class int) int { return g.rules[site].Tiers[class] })
	for i := range f.Sites {
		part, _ := g.warm(now, i)
		for r := range f.Sites[i].Racks {
			k := &f.Sites[i].Racks[r]
			k.LinksKB, k.UplinkKB, k.MaxStreams = k.LinksKB*part, k.UplinkKB*part, k.MaxStreams*part
		}
	}
	return f
}

func (g *Guide) ration(now time.Time, share float64) (*Ration, string) {
	p := g.plan
	r := &Ration{SessionLimit: make([]float64, len(g.classes)), RetryIntervalS: make([]float64, len(g.classes)), MaxSessionRate: make([]float64, len(g.names))}
	taken, refused := make([]float64, len(g.classes)), make([]float64, len(g.classes))
	for _, c := range g.classes {
		r.ByRung = append(r.ByRung, make([]float64, len(c.RatesKB)))
	}
	for i, t := range p.Allocations {
		k := g.demands[i].Class
		for rung, n := range t.ByRung {
			for ; rung < len(r.ByRung[k]); rung++ {
				r.ByRung[k][rung] += n
			}
		}
		taken[k], refused[k] = taken[k]+t.Accepted(), refused[k]+t.Refused
	}
	var words []string
	for k, c := range g.classes {
		for rung := range r.ByRung[k] {
			r.ByRung[k][rung] /= max(taken[k], 1e-9)
		}
		if taken[k] <= 0 {
			r.ByRung[k] = nil
		}
		r.SessionLimit[k] = -1
		if all := taken[k] + refused[k]; refused[k] <= leastRefused*all {
			continue
		}
		r.SessionLimit[k] = share * taken[k]
		r.RetryIntervalS[k] = g.flows[k].lasts() / max(r.SessionLimit[k], 1e-3)
		words = append(words, c.Name)
	}
	for i := range g.names {
		r.MaxSessionRate[i] = -1
		if _, comes := g.warm(now, i); comes {
			back := Recovery{WarmUp: g.rules[i].WarmUp, InitialShare: g.rules[i].InitialShare, ReturnCount: g.returns[i]}
			for _, n := range g.nodes {
				if n.Site == i {
					back.MaxStreams += n.MaxStreams
				}
			}
			r.MaxSessionRate[i] = share * back.MaxSessionRate(now.Sub(g.back[i]))
		}
	}
	text := "all classes are taken"
	if len(words) > 0 {
		text = "rationed: " + strings.Join(words, " ")
	}
	if text = g.say(text); text != "" && p.WorthBefore > 0 {
		text += fmt.Sprintf("; %.0f%% of the worth is kept", 100*p.Worth/p.WorthBefore)
	}
	return r, text
}

// MeasuredDemand is what all managers are asked for, as this one measures it: by class, sessions
// a second and how long they last in the mean. False: not measured yet.
func (g *Guide) MeasuredDemand(now time.Time) (rates []float64, lasts []time.Duration, ok bool) {
	if g.share <= 0 {
		return nil, nil, false
	}
	for k, r := range g.rates(now) {
		rates = append(rates, r/g.share)
		lasts = append(lasts, time.Duration(g.flows[k].lasts()*float64(time.Second)))
		ok = ok || r > 0
	}
	return rates, lasts, ok
}

// PlanBasis is what the plan rests on: by class, how many sessions all managers are asked
// for at a time, and this manager's share of them before the loss.
func (g *Guide) PlanBasis() (sessions []float64, share float64) {
	if g.before == nil {
		return nil, 0
	}
	for k := range g.flows {
		sessions = append(sessions, g.before.rates[k]/g.before.share*g.flows[k].lasts())
	}
	return sessions, g.before.share
}

// say returns a text once.
func (g *Guide) say(text string) string {
	if text == g.text {
		return ""
	}
	if g.text = text; text == "" {
		return "no ration any more"
	}
	return text
}
