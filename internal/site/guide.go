package site

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// Node is a media node with the capacity that plans count on.
type Node struct {
	Site       int     // index of its site
	Rack       int     // number of its rack within the site
	LinkKB     float64 // kB/s of its link that may be filled
	MaxStreams float64
}

// BuildSites groups nodes into sites and racks. uplinkKB is the part of each rack's uplink
// that may be filled, in kB/s.
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

// SpreadDemand distributes the concurrent sessions of each class over the sites in proportion
// to their capacity. tier returns the tier of a class at a site, as in Demand.
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

// Parameters of a Guide.
const (
	planInterval = time.Second      // between plans while a site is lost or recovering
	rateWindow   = time.Minute      // over which arrival rates are averaged
	recentWindow = 6 * time.Second  // the same, for this manager's current share of all arrivals
	shareWindow  = 30 * time.Second // over which this manager's share of sessions is averaged
	// sampleCount is the number of samples kept, one per second. Plans use the oldest, since
	// a loss is detected seconds after it began, and what was measured after it began is of
	// no use.
	sampleCount = 8
	// priorArrivals is the number of assumed arrivals at the rate before the loss, which
	// are added to those counted.
	priorArrivals = 10
	priorSessions = 2 // assumed sessions of the expected mean length, added to those that have ended
	// minRefusedShare is the minimum share of a class that a plan refuses for the class to
	// be rationed. Smaller shares are below the accuracy of the measurements.
	minRefusedShare = 0.02
	// maxRecoveryDoublings limits how often the time for which a returned site counts as recovering
	// is doubled, as the session rate is halved for each return that did not last.
	maxRecoveryDoublings = 6
)

// Rule holds the configured properties of a site.
type Rule struct {
	Tiers        []int         // by class, see Demand.Tier
	WarmUp       time.Duration // time until a node that starts cold is warm
	InitialShare float64       // share of its capacity that a cold node has at once
}

// Ration is one manager's part of a plan for the whole fleet.
type Ration struct {
	SessionLimit   []float64 // by class, the maximum of concurrent sessions; negative: no limit
	RetryIntervalS []float64 // by class, seconds between the retries of two refused viewers; 0: retries are not spread
	MaxSessionRate []float64 // by site, sessions per second that may be sent there; negative: no limit
	// ByRung is, by class and rung, the share of accepted sessions that play on that rung or
	// a lower one.
	ByRung [][]float64
}

// Guide makes the plan for lost and recovering sites from the measurements of one manager,
// and derives that manager's ration from it. Managers need not communicate: each measures
// its arrivals and its share of the fleet's sessions, plans for the whole fleet, and takes
// its share of the plan. Since the shares add up to one, the rations add up to the plan.
//
// The demand on all managers is that from before the loss: after it, a manager's share of
// the sessions depends on where nodes are left rather than on who asks for how much. Its
// share of the demand then follows its arrivals, which grow if other managers are lost too.
//
// Times are passed as arguments and must not go back.
type Guide struct {
	names         []string
	rules         []Rule
	classes       []Class
	crossSiteCost float64
	uplinkKB      float64
	nodes         map[uint64]Node
	traffic       []classTraffic
	share         float64     // this manager's share of all sessions, averaged over shareWindow; 0: not known yet
	sampledAt     time.Time   // when the last sample was taken
	samples       []sample    // the last samples, one per second, the oldest first
	beforeLoss    *sample     // the sample that the plans of this episode use; nil: no episode
	returnedAt    []time.Time // by site, when it returned; zero: not since its last loss
	returnCount   []int       // by site, returns within a minute up to that one
	plan          *Plan
	demands       []Demand  // demands of the plan
	plannedAt     time.Time // when the plan was made; zero: it has to be made anew
	text          string    // last argument of textIfChanged
}

// sample is a manager's measurement in a second without lost sites.
type sample struct {
	share float64   // of all managers' sessions
	rates []float64 // by class, arrivals per second at this manager
}

// classTraffic holds the measurements of one class.
type classTraffic struct {
	arrivals, recentArrivals decayingCounter // over rateWindow and recentWindow
	firstArrival             time.Time       // zero: none yet
	expected                 float64         // configured sessions per second at all managers; 0: unknown
	playedS                  float64         // total length of the sessions that have ended
	ended                    float64         // number of sessions that have ended
}

// decayingCounter counts events, whose weights decay exponentially with time.
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

// rate returns the events per second, if counting began at the time since.
func (c *decayingCounter) rate(now, since time.Time, timeConstant time.Duration) float64 {
	if since.IsZero() {
		return 0
	}
	coverage := 1 - math.Exp(-float64(now.Sub(since))/float64(timeConstant)) // share of the long-run count that the time since then covers
	return c.value(now, timeConstant) / timeConstant.Seconds() / max(coverage, 0.05)
}

// ExpectedLoad is the load of a class that is assumed until it has been measured.
type ExpectedLoad struct {
	Rate       float64       // sessions per second at all managers; 0: unknown
	MeanLength time.Duration // of its sessions
}

// NewGuide returns a Guide for the named sites. rules are by site, expected is by class;
// crossSiteCost is as in Fleet, uplinkKB as in BuildSites.
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

// UpdateNode applies an entry of the list of nodes. A node that is not ready is left out of
// plans, since it takes no new sessions.
func (g *Guide) UpdateNode(id uint64, n Node, ready bool) {
	if ready && n.Site >= 0 && n.Site < len(g.names) {
		g.nodes[id] = n
	} else {
		delete(g.nodes, id)
	}
}

// CountArrival counts the first request of a viewer. Repeated requests must not be passed,
// since their viewers have been counted already.
func (g *Guide) CountArrival(now time.Time, class int) {
	t := &g.traffic[class]
	if t.firstArrival.IsZero() {
		t.firstArrival = now
	}
	t.arrivals.add(now, rateWindow)
	t.recentArrivals.add(now, recentWindow)
}

// meanLengthS returns the mean length of sessions in seconds.
func (t *classTraffic) meanLengthS() float64 { return max(t.playedS/t.ended, 1) }

// AddSessionLength records the length of a session. Interrupted sessions are not counted:
// many are interrupted at once when a site is lost, and would make sessions look longer than
// they are.
func (g *Guide) AddSessionLength(class int, played time.Duration, interrupted bool) {
	if t := &g.traffic[class]; !interrupted {
		t.playedS += max(played, 0).Seconds()
		t.ended++
	}
}

// ApplyNotice applies a notice of the Watch. returnCount is how often the site has returned
// lately.
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
	g.plannedAt = time.Time{} // plan anew
}

// warmShare returns the share of a site's capacity that is warm, and whether the site is
// still recovering.
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

// Tick returns this manager's ration while a site is lost or recovering. It returns nil
// otherwise, and if this manager is isolated. It also returns a description of the ration if
// that has changed, and "" otherwise. share is this manager's share of the fleet's sessions.
// If no plan can be made, the last good one stays in force.
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
		} else if n > 0 { // this manager has just started: its latest sample is the best
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

// takeSample records a sample while no site is lost or recovering.
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
		g.samples = append(g.samples[:0:0], g.samples[1:]...) // copied, since beforeLoss may point into it
	}
	g.samples = append(g.samples, sample{min(max(g.share, 1e-6), 1), g.rates(now)})
}

// rates returns the arrivals per second at this manager, by class. Until enough has been
// measured, this manager's share of the expected rate is used in part.
func (g *Guide) rates(now time.Time) (all []float64) {
	for k := range g.traffic {
		t := &g.traffic[k]
		rate := t.arrivals.rate(now, t.firstArrival, rateWindow)
		if t.expected > 0 {
			unmeasured := 1.0 // share of the long-run count that has not been measured yet
			if !t.firstArrival.IsZero() {
				unmeasured = math.Exp(-float64(now.Sub(t.firstArrival)) / float64(rateWindow))
			}
			rate = t.arrivals.value(now, rateWindow)/rateWindow.Seconds() + unmeasured*t.expected*g.share
		}
		all = append(all, rate)
	}
	return all
}

// currentShare returns this manager's current share of the demand on all managers.
func (g *Guide) currentShare(now time.Time) float64 {
	currentRate, previousRate := 0.0, 0.0
	for k := range g.traffic {
		currentRate += g.traffic[k].recentArrivals.rate(now, g.traffic[k].firstArrival, recentWindow)
		previousRate += g.beforeLoss.rates[k]
	}
	if previousRate <= 0 {
		return g.beforeLoss.share
	}
	// A few arrivals are subject to chance, so assumed arrivals at the former rate are added.
	arrivals := currentRate * recentWindow.Seconds()
	growth := (arrivals + priorArrivals) / (previousRate*recentWindow.Seconds() + priorArrivals)
	return min(g.beforeLoss.share*growth, 1)
}

// fleet returns all sites, with the warm part of recovering ones, and the demand on all
// managers.
func (g *Guide) fleet(now time.Time) *Fleet {
	f := &Fleet{Classes: g.classes, CrossSiteCost: g.crossSiteCost}
	nodes := make([]Node, 0, len(g.nodes))
	for _, id := range slices.Sorted(maps.Keys(g.nodes)) { // in a fixed order, so that the plan is reproducible
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

// ration derives this manager's ration from the plan, and describes it if it has changed.
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

// MeasuredDemand returns this manager's estimate of the demand on all managers: by class,
// the sessions per second and their mean length. It returns false if nothing has been
// measured yet.
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

// PlanBasis returns the measurements on which the plan is based: by class, the concurrent
// sessions that all managers are asked for, and this manager's share of them before the
// loss.
func (g *Guide) PlanBasis() (sessions []float64, share float64) {
	if g.beforeLoss == nil {
		return nil, 0
	}
	for k := range g.traffic {
		sessions = append(sessions, g.beforeLoss.rates[k]/g.beforeLoss.share*g.traffic[k].meanLengthS())
	}
	return sessions, g.beforeLoss.share
}

// textIfChanged returns text if it differs from that of the last call, and "" otherwise. In
// place of an empty text it returns that there is no ration any more.
func (g *Guide) textIfChanged(text string) string {
	if text == g.text {
		return ""
	}
	if g.text = text; text == "" {
		return "no ration any more"
	}
	return text
}
