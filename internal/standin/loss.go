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

// The time of a SiteLoss: links fill, one of two sites is lost, and comes back cold.
const (
	lossAt       = 100 * time.Second
	lossDuration = 30 * time.Second
	runDuration  = lossAt + lossDuration + 60*time.Second
)

// SiteLoss is brokers and viewers of two sites, of which the second one's nodes are lost
// for half a minute and come back cold.
type SiteLoss struct {
	Settings        control.Settings // of every manager, but for its zone
	Managers, Nodes int
	SitePlanning    bool    // the program has sites to look after
	LoseManagers    bool    // the managers of the lost site are lost as well
	Utilization     float64 // of all links, at the middle rate
	Seed            uint64
}

// SiteLossResult is worth a second, and tries by class during the loss.
type SiteLossResult struct {
	Before, During, After float64 // During: from 3 s after the loss on
	DuringSettled         float64 // from 10 s on: by then those who were cut off have come again
	Optimum               float64 // the optimum of the plan for the loss
	Requests, Served      [2]float64
	ExcessColdSetUps      int           // set-ups beyond what cold nodes bear
	RecoveryTime          time.Duration // until 98% of the worth before
}

// Run plays it, in real time or in that of a synctest bubble.
func (e SiteLoss) Run() (out SiteLossResult, err error) {
	set, nodes := e.Settings, e.Nodes
	rng := rand.New(rand.NewPCG(e.Seed, 7))
	links, zones := make([]float64, nodes), make([]int, nodes)
	var entries []control.Entry
	for i := range links {
		links[i], zones[i] = set.LinkKBPerWeight*(0.85+0.3*rng.Float64()), i%2
		entries = append(entries, control.Entry{Server: control.ServerID(i + 1), State: control.Ready, Cell: i, Zone: i % 2, Weight: 1})
	}
	lasts := [][2]float64{{26, 65}, {20, 50}} // s
	fleet := NewFleet(&Fleet{Settings: set, LinksKB: links, NodeZones: zones, OneWayDelay: 2 * time.Millisecond, RateSpread: 0.15,
		SessionLength: func(id control.SessionID, class int) time.Duration {
			u := lasts[class]
			part := float64(uint64(id>>8)*0x9e3779b97f4a7c15>>11) / (1 << 53)
			return time.Duration((u[0] + part*(u[1]-u[0])) * float64(time.Second))
		}}, e.Seed)
	defer fleet.Close()
	rate := e.Utilization * set.FleetLinkKB / 640 / (0.35*45.5 + 0.65*35)
	sites := broker.SiteConfig{Names: []string{"a", "b"}, SiteByZone: []int{0, 1}, Expected: []site.Expect{{Lasts: 45500 * time.Millisecond}, {Lasts: 35 * time.Second}},
		Rules: []site.Rule{{Tier: []int{0, 0}, Warm: 3 * time.Second, Share: 0.2}, {Tier: []int{0, 0}, Warm: 3 * time.Second, Share: 0.2}}}
	for k, c := range set.Classes {
		class := site.Class{Name: []string{"clip", "feed"}[k], Floor: c.FloorRung, Top: c.TopRung, RatesKB: set.RatesKB}
		for _, w := range set.LadderWorth {
			class.Worth = append(class.Worth, c.Worth*w)
		}
		sites.Classes = append(sites.Classes, class)
	}
	if out.Optimum, err = optimumDuringLoss(sites, set, links, zones, rate, e.LoseManagers); err != nil {
		return out, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	c := &lossViewers{rng: rng, result: &out, settings: set, nodes: nodes}
	for i := range e.Managers {
		set := set
		set.Zone = i % 2
		m := &ManagerNodes{Fleet: fleet, Zone: i % 2}
		cfg := broker.Config{Settings: set, Seed: e.Seed*1000 + uint64(i), MemoryMB: 192, Nodes: m, Log: zap.NewNop()}
		if e.SitePlanning {
			cfg.Sites = sites
		}
		b, err := broker.New(cfg)
		if err != nil {
			cancel()
			running.Wait()
			return out, err
		}
		m.Broker = b
		b.UpdateList(broker.ListUpdate{Entries: entries})
		c.brokers = append(c.brokers, b)
		c.weights = append(c.weights, 0.5+rng.Float64()) // viewers are spread unevenly
		running.Go(func() { b.Run(ctx) })
	}
	c.start = time.Now()
	running.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(time.Second)
			fleet.AnnounceShortfalls()
		}
	})
	running.Go(func() { // what is earned
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
			if at := time.Since(c.start) - lossAt - lossDuration; at > 0 && out.RecoveryTime == 0 && w >= 0.98*sums[0].mean() {
				out.RecoveryTime = at
			}
		}
		out.Before, out.During, out.After, out.DuringSettled = sums[0].mean(), sums[1].mean(), sums[2].mean(), sums[3].mean()
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
	out.ExcessColdSetUps = fleet.ExcessColdSetUps()
	return out, nil
}

type average struct{ sum, count float64 }

func (s *average) add(v float64) { s.sum, s.count = s.sum+v, s.count+1 }
func (s *average) mean() float64 { return s.sum / max(s.count, 1) }

// optimumDuringLoss is the optimum for the loss of the second site by the true links and
// demand, as far as slots may fill.
func optimumDuringLoss(s broker.SiteConfig, set control.Settings, links []float64, zones []int, rate float64, gone bool) (float64, error) {
	var nodes []site.Node
	for i, kb := range links {
		nodes = append(nodes, site.Node{Site: zones[i], Rack: i, LinkKB: kb * control.TargetUtilization, Places: float64(set.MaxStreamsByKind[0])})
	}
	f := &site.Fleet{Classes: s.Classes, Sites: site.Build(s.Names, nodes, 1e12)}
	f.Demands = f.Spread([]float64{rate * 0.35 * 45.5, rate * 0.65 * 35}, func(int, int) int { return 0 })
	if !gone { // the viewers of managers that are lost ask where they don't cross
		f.Cross = set.CrossZoneCost
	}
	p, err := site.Make(f, 1)
	return p.Worth, err
}

// lossViewers is the viewers: each has a site, and asks its managers, or where these are
// lost all others.
type lossViewers struct {
	mu           sync.Mutex
	rng          *rand.Rand
	start        time.Time
	result       *SiteLossResult
	settings     control.Settings
	nodes        int
	brokers      []*broker.Broker
	weights      []float64
	managersLost bool // the managers of the second site
	lastID       control.SessionID
	viewers      []*lossViewer
}

type lossViewer struct {
	*lossViewers
	class, zone, manager, tries int
	id                          control.SessionID
	served                      bool
}

func (c *lossViewers) arrive(feed bool) {
	c.mu.Lock()
	v := &lossViewer{lossViewers: c, zone: c.rng.IntN(2)}
	if feed {
		v.class = 1
	}
	c.mu.Unlock()
	v.sendRequest()
}

// sendRequest goes to a manager of the viewer's site.
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

// Gone is part of broker.Client: its viewers wait for their answers.
func (v *lossViewer) Gone(control.SessionID) bool { return false }

// Deliver is part of broker.Client. Most come again after a refusal or a break.
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
	case c.managersLost && v.manager%2 == 1: // a process that is gone tells nothing
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

// loseManagers ends the managers of the second site; their viewers come again elsewhere.
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

func (c *lossViewers) restoreManagers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.managersLost = false
}
