package standin

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"millethinge/control"
	"millethinge/internal/broker"
	"millethinge/internal/site"
)

// Course of a SiteLoss: the links fill, one of two sites fails, and it comes back cold.
const (
	lossAt       = 100 * time.Second
	lossDuration = 30 * time.Second
	runDuration  = lossAt + lossDuration + 60*time.Second
)

// SiteLoss simulates brokers and viewers of two sites. The nodes of the second site fail for half a
// minute and come back cold.
type SiteLoss struct {
	Settings        control.Settings // of every manager, except for the zone
	Managers, Nodes int
	SitePlanning    bool    // the managers have a site configuration
	LoseManagers    bool    // the managers of the second site fail with its nodes
	Utilization     float64 // demand on all links at the middle rate, relative to their capacity
	Seed            uint64
}

// SiteLossResult holds the worth per second in phases of a run, and the requests by class during
// the loss.
type SiteLossResult struct {
	Before, During, After float64       // means over the last 30 s before the loss, from 3 s into the loss on, and over the last 30 s of the run
	DuringSettled         float64       // mean from 10 s into the loss on, when the viewers that were cut off have retried
	Optimum               float64       // worth of the best site plan for the loss
	Requests, Served      [2]float64    // sent and served from 3 s into the loss on, by class
	ExcessColdSetUps      int           // set-ups beyond what cold nodes can take
	RecoveryTime          time.Duration // from the end of the loss until 98% of the worth before it
}

// Run runs the simulation, in real time or in the time of a synctest bubble.
func (e SiteLoss) Run() (result SiteLossResult, err error) {
	settings, nodes := e.Settings, e.Nodes
	rng := rand.New(rand.NewPCG(e.Seed, 7))
	links, zones := make([]float64, nodes), make([]int, nodes)
	var entries []control.Entry
	for i := range links {
		links[i], zones[i] = settings.LinkKBPerWeight*(0.85+0.3*rng.Float64()), i%2
		entries = append(entries, control.Entry{Server: control.ServerID(i + 1), State: control.Ready, Cell: i, Zone: i % 2, Weight: 1})
	}
	sessionLengths := [][2]float64{{26, 65}, {20, 50}} // s
	fleet := NewFleet(&Fleet{Settings: settings, LinksKB: links, NodeZones: zones, OneWayDelay: 2 * time.Millisecond, RateSpread: 0.15,
		SessionLength: func(id control.SessionID, class int) time.Duration {
			bounds := sessionLengths[class]
			part := float64(uint64(id>>8)*0x9e3779b97f4a7c15>>11) / (1 << 53)
			return time.Duration((bounds[0] + part*(bounds[1]-bounds[0])) * float64(time.Second))
		}}, e.Seed)
	defer fleet.Close()
	rate := e.Utilization * settings.FleetLinkKB / 640 / (0.35*45.5 + 0.65*35)
	sites := broker.SiteConfig{Names: []string{"a", "b"}, SiteByZone: []int{0, 1}, Expected: []site.ExpectedLoad{{MeanLength: 45500 * time.Millisecond}, {MeanLength: 35 * time.Second}},
		Rules: []site.Rule{{Tiers: []int{0, 0}, WarmUp: 3 * time.Second, InitialShare: 0.2}, {Tiers: []int{0, 0}, WarmUp: 3 * time.Second, InitialShare: 0.2}}}
	for k, c := range settings.Classes {
		class := site.Class{Name: []string{"clip", "feed"}[k], Floor: c.FloorRung, Top: c.TopRung, RatesKB: settings.RatesKB}
		for _, w := range settings.LadderWorth {
			class.Worth = append(class.Worth, c.Worth*w)
		}
		sites.Classes = append(sites.Classes, class)
	}
	if result.Optimum, err = optimumDuringLoss(sites, settings, links, zones, rate, e.LoseManagers); err != nil {
		return result, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	c := &lossViewers{rng: rng, result: &result, settings: settings, nodes: nodes}
	for i := range e.Managers {
		settings := settings
		settings.Zone = i % 2
		m := &ManagerNodes{Fleet: fleet, Zone: i % 2}
		cfg := broker.Config{Settings: settings, Seed: e.Seed*1000 + uint64(i), MemoryMB: 192, Nodes: m, Log: zap.NewNop()}
		if e.SitePlanning {
			cfg.Sites = sites
		}
		b, err := broker.New(cfg)
		if err != nil {
			cancel()
			running.Wait()
			return result, err
		}
		m.Broker = b
		b.UpdateList(broker.ListUpdate{Entries: entries})
		c.brokers = append(c.brokers, b)
		c.weights = append(c.weights, 0.5+rng.Float64()) // viewers are spread unevenly over the managers
		running.Go(func() { b.Run(ctx) })
	}
	c.start = time.Now()
	running.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(time.Second)
			fleet.AnnounceShortfalls()
		}
	})
	running.Go(func() { // sample the worth
		var sums [4]average
		for ctx.Err() == nil {
			time.Sleep(100 * time.Millisecond)
			w := fleet.WorthPerSecond()
			switch at := time.Since(c.start); {
			case at > lossAt-30*time.Second && at < lossAt:
				sums[0].add(w)
			case at > lossAt+3*time.Second && at < lossAt+lossDuration:
				sums[1].add(w)
				if at > lossAt+10*time.Second {
					sums[3].add(w)
				}
			case at > runDuration-30*time.Second && at < runDuration:
				sums[2].add(w)
			}
			if at := time.Since(c.start) - lossAt - lossDuration; at > 0 && result.RecoveryTime == 0 && w >= 0.98*sums[0].mean() {
				result.RecoveryTime = at
			}
		}
		result.Before, result.During, result.After, result.DuringSettled = sums[0].mean(), sums[1].mean(), sums[2].mean(), sums[3].mean()
	})
	time.AfterFunc(lossAt, func() {
		fleet.FailZone(1)
		if e.LoseManagers {
			c.loseManagers()
		}
	})
	time.AfterFunc(lossAt+lossDuration, func() {
		fleet.RestoreZone(1)
		var back []control.Entry
		for _, n := range entries {
			if n.Zone == 1 {
				n.StartedAtS = float64(time.Now().UnixNano()) / 1e9
				back = append(back, n)
			}
		}
		for _, b := range c.brokers {
			b.UpdateList(broker.ListUpdate{Entries: back})
		}
		c.restoreManagers()
	})
	for time.Since(c.start) < runDuration {
		time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		c.arrive(rng.Float64() >= 0.35)
	}
	cancel()
	time.Sleep(5 * time.Second)
	running.Wait()
	result.ExcessColdSetUps = fleet.ExcessColdSetUps()
	return result, nil
}

// average is the mean of added values.
type average struct{ sum, count float64 }

func (s *average) add(v float64) { s.sum, s.count = s.sum+v, s.count+1 }
func (s *average) mean() float64 { return s.sum / max(s.count, 1) }

// optimumDuringLoss returns the worth of the best site plan for the loss of the second site,
// computed from the true links and demand, with links filled up to the target utilization.
func optimumDuringLoss(s broker.SiteConfig, settings control.Settings, links []float64, zones []int, rate float64, managersLost bool) (float64, error) {
	var nodes []site.Node
	for i, kb := range links {
		nodes = append(nodes, site.Node{Site: zones[i], Rack: i, LinkKB: kb * control.TargetUtilization, MaxStreams: float64(settings.MaxStreamsByKind[0])})
	}
	f := &site.Fleet{Classes: s.Classes, Sites: site.BuildSites(s.Names, nodes, 1e12)}
	f.Demands = f.SpreadDemand([]float64{rate * 0.35 * 45.5, rate * 0.65 * 35}, func(int, int) int { return 0 })
	if !managersLost { // viewers of lost managers ask managers of the first site and do not cross zones
		f.CrossSiteCost = settings.CrossZoneCost
	}
	p, err := site.MakePlan(f, 1)
	return p.Worth, err
}

// lossViewers is the viewers of both sites. Each viewer has a site and asks its managers, or while
// these are lost all others.
type lossViewers struct {
	mu           sync.Mutex
	rng          *rand.Rand
	start        time.Time
	result       *SiteLossResult
	settings     control.Settings
	nodes        int
	brokers      []*broker.Broker
	weights      []float64
	managersLost bool // the managers of the second site are lost
	lastID       control.SessionID
	viewers      []*lossViewer // all that have sent a request
}

// lossViewer is one viewer, which implements broker.Client.
type lossViewer struct {
	*lossViewers
	class, zone, manager, tries int // tries counts its requests
	id                          control.SessionID
	served                      bool
}

// arrive sends the request of one new viewer, of class feed or else of class clip.
func (c *lossViewers) arrive(feed bool) {
	c.mu.Lock()
	v := &lossViewer{lossViewers: c, zone: c.rng.IntN(2)}
	if feed {
		v.class = 1
	}
	c.mu.Unlock()
	v.sendRequest()
}

// sendRequest sends a request to a manager of the viewer's site, drawn by weight.
func (v *lossViewer) sendRequest() {
	c := v.lossViewers
	c.mu.Lock()
	zone := v.zone
	if c.managersLost {
		zone = 0
	}
	sum := 0.0
	for i := zone; i < len(c.weights); i += 2 {
		sum += c.weights[i]
	}
	at := c.rng.Float64() * sum
	for i := zone; i < len(c.weights); i += 2 {
		if v.manager = i; at < c.weights[i] {
			break
		}
		at -= c.weights[i]
	}
	c.lastID++
	v.id, v.served = c.lastID<<8, false
	title := uint64(c.rng.IntN(50)) + 1
	if at := time.Since(c.start); at > lossAt+3*time.Second && at < lossAt+lossDuration {
		c.result.Requests[v.class]++
	}
	c.viewers = append(c.viewers, v)
	b, again := c.brokers[v.manager], v.tries > 0
	v.tries++
	c.mu.Unlock()
	b.Submit(broker.Request{ID: v.id, Class: v.class, Team: -1, Title: title, Copies: c.nodes, MaxRung: 3, Repeated: again,
		TimeLeft: 3 * time.Second, ReceivedAt: time.Now(), Client: v})
}

// Gone implements broker.Client. The viewers always wait for their answers.
func (v *lossViewer) Gone(control.SessionID) bool { return false }

// Deliver implements broker.Client. 90% of the viewers retry after a refusal or a break, up to 8
// times.
func (v *lossViewer) Deliver(r broker.Reply) bool {
	c := v.lossViewers
	c.mu.Lock()
	defer c.mu.Unlock()
	pause := 600*time.Millisecond + time.Duration(c.rng.Float64()*2.4*float64(time.Second))
	again := c.rng.Float64() < 0.9 && v.tries < 9
	if r.Kind == broker.ReplyEnded {
		v.served = false
	}
	switch {
	case c.managersLost && v.manager%2 == 1: // a lost manager tells its viewers nothing
	case r.Kind == broker.ReplyServed:
		v.served = true
		if at := time.Since(c.start); at > lossAt+3*time.Second && at < lossAt+lossDuration {
			c.result.Served[v.class]++
		}
	case r.Kind == broker.ReplyEnded && r.Cause != broker.CauseEnded && again, r.Kind == broker.ReplyRefused && again:
		time.AfterFunc(max(r.RetryAfter, pause), v.sendRequest)
	}
	return true
}

// loseManagers ends the managers of the second site. 90% of their viewers retry at other managers.
func (c *lossViewers) loseManagers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.managersLost = true
	for _, v := range c.viewers {
		if v.served && v.manager%2 == 1 && c.rng.Float64() < 0.9 {
			v.served = false
			time.AfterFunc(600*time.Millisecond+time.Duration(c.rng.Float64()*2.4*float64(time.Second)), v.sendRequest)
		}
	}
}

// restoreManagers brings the managers of the second site back.
func (c *lossViewers) restoreManagers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.managersLost = false
}
