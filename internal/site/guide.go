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
	rackIndexes := map[rack]int{}
	sites := make([]Site, len(names))
	for i, n := range names {
		sites[i].Name = n
	}
	for _, n := range nodes {
		s := &sites[n.Site]
		i, ok := rackIndexes[rack{n.Site, n.Rack}]
		if !ok {
			i = len(s.Racks)
			rackIndexes[rack{n.Site, n.Rack}] = i
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
	totalKB := 0.0
	for i := range f.Sites {
		kb, _ := f.Sites[i].Capacity()
		totalKB += kb
	}
	for k, c := range f.Classes {
		for i := range f.Sites {
			kb, _ := f.Sites[i].Capacity()
			if n := sessions[k] * kb / max(totalKB, 1); n > 0 {
				all = append(all, Demand{Class: k, HomeSite: i, Sessions: n, Top: c.Top, Tier: tier(i, k)})
			}
		}
	}
	return all
}

// Figures of a Guide.
const (
	planInterval = time.Second      // while a site is lost or comes back
	rateWindow   = time.Minute      // over which arrivals are counted
	recentWindow = 6 * time.Second  // over which they are for this manager's part of them
	shareWindow  = 30 * time.Second // over which this manager's share is taken
	sampleCount  = 8                // seconds before a loss is told whose figures count: what came after it is of no use
	// priorArrivals are taken to have come at the rate before besides those that did.
	priorArrivals = 10
	priorSessions = 2 // sessions of the mean length first told, as if they had been seen
	// minRefusedShare is the part of a class that a plan refuses at the least for the class
	// to be rationed. Under it what is measured is not as good as that.
	minRefusedShare = 0.02
	// maxRecoveryDoublings is how often a return that did not last halves the pace, at the most.
	maxRecoveryDoublings = 6
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
	names         []string
	rules         []Rule
	classes       []Class
	crossSiteCost float64
	uplinkKB      float64
	nodes         map[uint64]Node
	traffic       []classTraffic
	share         float64     // of all managers' sessions, over shareTime; 0: not told yet
	sampledAt     time.Time   // of its last sample
	samples       []sample    // the last ones, a second apart, the oldest first
	beforeLoss    *sample     // of the episode
	returnedAt    []time.Time // by site, when it was heard of again; zero: long ago
	returnCount   []int       // by site, of that return, within a minute
	plan          *Plan
	demands       []Demand // that it is for
	plannedAt     time.Time
	text          string
}

// sample is what a manager measures of an ordinary second.
type sample struct {
	share float64
	rates []float64 // by class, of this manager
}

// classTraffic is what is measured of a class.
type classTraffic struct {
	arrivals, recentArrivals decayingCounter
	firstArrival             time.Time // the first arrival
	expected                 float64   // a second, over all managers
	playedS                  float64   // s
	ended                    float64
}

// decayingCounter counts what comes, each less by the time since.
type decayingCounter struct {
	count     float64
	updatedAt time.Time
}

func (c *decayingCounter) value(now time.Time, timeConstant time.Duration) float64 {
	return c.count * math.Exp(-float64(now.Sub(c.updatedAt))/float64(timeConstant))
}

func (c *decayingCounter) add(now time.Time, timeConstant time.Duration) {
	c.count, c.updatedAt = c.value(now, timeConstant)+1, now
}

// rate is what comes a second, of what has come since a time.
func (c *decayingCounter) rate(now, since time.Time, timeConstant time.Duration) float64 {
	if since.IsZero() {
		return 0
	}
	coverage := 1 - math.Exp(-float64(now.Sub(since))/float64(timeConstant)) // of what is counted in the long run
	return c.value(now, timeConstant) / timeConstant.Seconds() / max(coverage, 0.05)
}

// ExpectedLoad is what is taken to come of a class until it is measured.
type ExpectedLoad struct {
	Rate       float64 // sessions a second over all managers; 0: not told
	MeanLength time.Duration
}

// NewGuide returns a Guide.
func NewGuide(names []string, rules []Rule, classes []Class, expected []ExpectedLoad, crossSiteCost, uplinkKB float64) *Guide {
	g := &Guide{names: names, rules: rules, classes: classes, crossSiteCost: crossSiteCost, uplinkKB: uplinkKB, nodes: map[uint64]Node{},
		traffic: make([]classTraffic, len(classes)), returnedAt: make([]time.Time, len(names)), returnCount: make([]int, len(names))}
	for k := range g.traffic {
		g.traffic[k].ended = priorSessions
		g.traffic[k].playedS = priorSessions * expected[k].MeanLength.Seconds()
		g.traffic[k].expected = expected[k].Rate
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
	t := &g.traffic[class]
	if t.firstArrival.IsZero() {
		t.firstArrival = now
	}
	t.arrivals.add(now, rateWindow)
	t.recentArrivals.add(now, recentWindow)
}

// meanLengthS is a session's mean length in seconds.
func (t *classTraffic) meanLengthS() float64 { return max(t.playedS/t.ended, 1) }

// AddSessionLength tells of a session that played for a time. One that was broken off says nothing:
// they come in crowds, when a site is lost, and would make all look longer.
func (g *Guide) AddSessionLength(class int, played time.Duration, interrupted bool) {
	if t := &g.traffic[class]; !interrupted {
		t.playedS += max(played, 0).Seconds()
		t.ended++
	}
}

// ApplyNotice takes what a Watch says has changed.
func (g *Guide) ApplyNotice(now time.Time, n Notice, returnCount int) {
	if n.Site < 0 {
		return
	}
	switch n.State {
	case StateLost:
		g.returnedAt[n.Site] = time.Time{}
	case StateRecovering:
		g.returnedAt[n.Site], g.returnCount[n.Site] = now, returnCount
	}
	g.plannedAt = time.Time{} // anew
}

// warmShare is the part of a site's room that counts, and whether it still comes back.
func (g *Guide) warmShare(now time.Time, i int) (float64, bool) {
	r := &g.rules[i]
	if g.returnedAt[i].IsZero() || r.WarmUp <= 0 {
		return 1, false
	}
	share := Recovery{WarmUp: r.WarmUp, InitialShare: r.InitialShare}.WarmShare(now.Sub(g.returnedAt[i]))
	if share >= 1 && now.Sub(g.returnedAt[i]) >= r.WarmUp<<min(max(g.returnCount[i]-1, 0), maxRecoveryDoublings) {
		return 1, false
	}
	return share, true
}

// Tick returns this manager's ration while a site is lost or comes back, nil else, and
// what has changed of it in words, or "". share is its part of the fleet's sessions.
// A plan that can't be made leaves the last good one.
func (g *Guide) Tick(now time.Time, w *Watch, share float64) (*Ration, string) {
	var lost []int
	anyRecovering := false
	for i := range g.names {
		if w.State(i) == StateLost {
			lost = append(lost, i)
		}
		_, recovering := g.warmShare(now, i)
		anyRecovering = anyRecovering || recovering
	}
	if len(lost) == 0 && !anyRecovering {
		g.takeSample(now, share)
		return nil, g.textIfChanged("")
	}
	if w.Isolated() {
		return nil, g.textIfChanged("")
	}
	if g.beforeLoss == nil {
		g.beforeLoss = &sample{min(max(share, 1e-6), 1), g.rates(now)}
		if n := len(g.samples); n == sampleCount {
			g.beforeLoss = &g.samples[0]
		} else if n > 0 { // of a manager that has just begun the newest are the best
			g.beforeLoss = &g.samples[n-1]
		}
	}
	share = g.currentShare(now)
	if g.plan == nil || now.Sub(g.plannedAt) >= planInterval {
		f := g.fleet(now)
		if p, err := MakePlan(f, lost...); err == nil {
			g.plan, g.demands, g.plannedAt = &p, f.Demands, now
		}
	}
	if g.plan == nil {
		return nil, ""
	}
	return g.ration(now, share)
}

// takeSample takes a sample of a time in which all sites are there.
func (g *Guide) takeSample(now time.Time, share float64) {
	g.plan, g.beforeLoss = nil, nil
	if now.Sub(g.sampledAt) < time.Second {
		return
	}
	if g.share == 0 {
		g.share = share
	}
	g.share += (share - g.share) * min(float64(now.Sub(g.sampledAt))/float64(shareWindow), 1)
	g.sampledAt = now
	if len(g.samples) == sampleCount {
		g.samples = append(g.samples[:0:0], g.samples[1:]...) // one may be kept as before
	}
	g.samples = append(g.samples, sample{min(max(g.share, 1e-6), 1), g.rates(now)})
}

func (g *Guide) rates(now time.Time) (all []float64) {
	for k := range g.traffic {
		t := &g.traffic[k]
		rate := t.arrivals.rate(now, t.firstArrival, rateWindow)
		if t.expected > 0 {
			unmeasured := 1.0 // the part of what is counted in the long run that has not been
			if !t.firstArrival.IsZero() {
				unmeasured = math.Exp(-float64(now.Sub(t.firstArrival)) / float64(rateWindow))
			}
			rate = t.arrivals.value(now, rateWindow)/rateWindow.Seconds() + unmeasured*t.expected*g.share
		}
		all = append(all, rate)
	}
	return all
}

// currentShare is this manager's share of what all are asked for now.
func (g *Guide) currentShare(now time.Time) float64 {
	currentRate, previousRate := 0.0, 0.0
	for k := range g.traffic {
		currentRate += g.traffic[k].recentArrivals.rate(now, g.traffic[k].firstArrival, recentWindow)
		previousRate += g.beforeLoss.rates[k]
	}
	if previousRate <= 0 {
		return g.beforeLoss.share
	}
	// Few arrivals say little: as if some more had come at the rate before.
	arrivals := currentRate * recentWindow.Seconds()
	growth := (arrivals + priorArrivals) / (previousRate*recentWindow.Seconds() + priorArrivals)
	return min(g.beforeLoss.share*growth, 1)
}

// fleet is all sites, of those that come back what is warm, and all managers' demand.
func (g *Guide) fleet(now time.Time) *Fleet {
	f := &Fleet{Classes: g.classes, CrossSiteCost: g.crossSiteCost}
	nodes := make([]Node, 0, len(g.nodes))
	for _, id := range slices.Sorted(maps.Keys(g.nodes)) { // the same plan each time
		nodes = append(nodes, g.nodes[id])
	}
	f.Sites = BuildSites(g.names, nodes, g.uplinkKB)
	sessions, _ := g.PlanBasis()
	f.Demands = f.SpreadDemand(sessions, func(site, class int) int { return g.rules[site].Tiers[class] })
	for i := range f.Sites {
		share, _ := g.warmShare(now, i)
		for r := range f.Sites[i].Racks {
			k := &f.Sites[i].Racks[r]
			k.LinksKB, k.UplinkKB, k.MaxStreams = k.LinksKB*share, k.UplinkKB*share, k.MaxStreams*share
		}
	}
	return f
}

func (g *Guide) ration(now time.Time, share float64) (*Ration, string) {
	p := g.plan
	r := &Ration{SessionLimit: make([]float64, len(g.classes)), RetryIntervalS: make([]float64, len(g.classes)), MaxSessionRate: make([]float64, len(g.names))}
	accepted, refused := make([]float64, len(g.classes)), make([]float64, len(g.classes))
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
		accepted[k], refused[k] = accepted[k]+t.Accepted(), refused[k]+t.Refused
	}
	var rationed []string
	for k, c := range g.classes {
		for rung := range r.ByRung[k] {
			r.ByRung[k][rung] /= max(accepted[k], 1e-9)
		}
		if accepted[k] <= 0 {
			r.ByRung[k] = nil
		}
		r.SessionLimit[k] = -1
		if total := accepted[k] + refused[k]; refused[k] <= minRefusedShare*total {
			continue
		}
		r.SessionLimit[k] = share * accepted[k]
		r.RetryIntervalS[k] = g.traffic[k].meanLengthS() / max(r.SessionLimit[k], 1e-3)
		rationed = append(rationed, c.Name)
	}
	for i := range g.names {
		r.MaxSessionRate[i] = -1
		if _, recovering := g.warmShare(now, i); recovering {
			recovery := Recovery{WarmUp: g.rules[i].WarmUp, InitialShare: g.rules[i].InitialShare, ReturnCount: g.returnCount[i]}
			for _, n := range g.nodes {
				if n.Site == i {
					recovery.MaxStreams += n.MaxStreams
				}
			}
			r.MaxSessionRate[i] = share * recovery.MaxSessionRate(now.Sub(g.returnedAt[i]))
		}
	}
	text := "all classes are taken"
	if len(rationed) > 0 {
		text = "rationed: " + strings.Join(rationed, " ")
	}
	if text = g.textIfChanged(text); text != "" && p.WorthBefore > 0 {
		text += fmt.Sprintf("; %.0f%% of the worth is kept", 100*p.Worth/p.WorthBefore)
	}
	return r, text
}

// MeasuredDemand is what all managers are asked for, as this one measures it: by class, sessions
// a second and how long they last in the mean. False: not measured yet.
func (g *Guide) MeasuredDemand(now time.Time) (rates []float64, meanLengths []time.Duration, ok bool) {
	if g.share <= 0 {
		return nil, nil, false
	}
	for k, r := range g.rates(now) {
		rates = append(rates, r/g.share)
		meanLengths = append(meanLengths, time.Duration(g.traffic[k].meanLengthS()*float64(time.Second)))
		ok = ok || r > 0
	}
	return rates, meanLengths, ok
}

// PlanBasis is what the plan rests on: by class, how many sessions all managers are asked
// for at a time, and this manager's share of them before the loss.
func (g *Guide) PlanBasis() (sessions []float64, share float64) {
	if g.beforeLoss == nil {
		return nil, 0
	}
	for k := range g.traffic {
		sessions = append(sessions, g.beforeLoss.rates[k]/g.beforeLoss.share*g.traffic[k].meanLengthS())
	}
	return sessions, g.beforeLoss.share
}

// textIfChanged returns a text once.
func (g *Guide) textIfChanged(text string) string {
	if text == g.text {
		return ""
	}
	if g.text = text; text == "" {
		return "no ration any more"
	}
	return text
}
