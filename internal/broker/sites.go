package broker

import (
	"time"

	"go.uber.org/zap"

	"millethinge/control"
	"millethinge/internal/site"
)

// demandEvery is how often what comes is logged, for millethinge sites --record.
const demandEvery = time.Minute

// DemandLine is the message of the log line that tells what comes: by class, the
// sessions a second of all managers, as this one measures them, and their mean lengths.
const DemandLine = "site demand"

// siteTick is how often sites are looked at. A loss is told by seconds of failures.
const siteTick = 200 * time.Millisecond

// Sites is which zones are lost together, and what is planned for that.
type Sites struct {
	Names   []string
	Of      []int // site by zone; under 0: none
	Rules   []site.Rule
	Classes []site.Class
	Expect  []site.Expect // by class
}

// sites tells the loss of sites from what nodes report, logs each episode, and rations
// what this manager takes while one lasts.
type sites struct {
	Unmoved
	Sites
	set    control.Settings
	watch  *site.Watch
	guide  *site.Guide
	listed map[control.ServerID]bool
	logged time.Time         // what comes
	ration bool              // the module has one
	began  map[int]time.Time // of episodes that last; -1: this manager's own
	log    *zap.Logger
}

func newSites(s Sites, set control.Settings, log *zap.Logger) *sites {
	return &sites{Sites: s, set: set, watch: site.NewWatch(s.Names), listed: map[control.ServerID]bool{}, began: map[int]time.Time{}, log: log,
		guide: site.NewGuide(s.Names, s.Rules, s.Classes, s.Expect, set.CrossZoneCost, set.RackUplinkKB*control.TargetUtilization)}
}

// Every is part of Part.
func (s *sites) Every() time.Duration { return siteTick }

// Listed is part of Part.
func (s *sites) Listed(_ time.Time, entries []control.Entry) {
	for _, e := range entries {
		if e.State == control.Gone {
			delete(s.listed, e.Server)
		} else {
			s.listed[e.Server] = true
		}
	}
	for _, e := range entries {
		if e.Zone < 0 || e.Zone >= len(s.Of) {
			continue
		}
		n := SiteNode(&s.set, e, s.Of[e.Zone], len(s.listed))
		s.watch.Listed(n.Site, uint64(e.Server), e.State == control.Ready)
		s.guide.Listed(uint64(e.Server), n, e.State == control.Ready)
	}
}

// SiteNode is an entry of a list of so many nodes as plans for sites count it.
func SiteNode(set *control.Settings, e control.Entry, of, servers int) site.Node {
	n := site.Node{Site: of, Rack: e.Cell % max(set.Racks, 1), LinkKB: set.ExpectedLinkKB(e, servers) * control.TargetUtilization, Places: manyStreams}
	if e.MachineKind >= 0 && e.MachineKind < len(set.MaxStreamsByKind) {
		n.Places = float64(set.MaxStreamsByKind[e.MachineKind])
	}
	return n
}

// manyStreams is what a node of a kind whose streams are not told is taken to run.
const manyStreams = 1e6

// Arrived is part of Part.
func (s *sites) Arrived(now time.Time, r *Request) bool {
	if !r.Again {
		s.guide.Arrived(now, r.Class)
	}
	return false
}

// Over is part of Part.
func (s *sites) Over(_ time.Time, class int, stood time.Duration, broken bool) {
	s.guide.Over(class, stood, broken)
}

// Reported is part of Part.
func (s *sites) Reported(now time.Time, r *Report) {
	if sign, ok := signOf(r); ok {
		s.watch.Saw(now, uint64(r.Server), sign)
	}
}

// signOf is what a report says of its node's site, if anything.
func signOf(r *Report) (site.Sign, bool) {
	switch r.Kind {
	case Started, Noted:
		return site.Heard, true
	case Probed, Ended:
	}
	switch r.Status {
	case control.OK, control.Full, control.Errored:
		return site.Heard, true
	case control.ConnectFailed:
		return site.NoWay, true
	case control.TimedOut:
		return site.Silence, true
	case control.ConnectionReset:
		if r.Confined { // only the connection broke; the node is there
			return site.Heard, true
		}
		// A node that cuts a session says so itself; one that can't be reached is said
		// to have cut all of its sessions, one after the other: that is one sign each,
		// of nodes that were tried and failed.
		return site.Broke, r.Kind == Ended
	}
	return 0, false // moot, or cancelled: this manager's own doing
}

// Stalled is part of Part.
func (s *sites) Stalled(time.Time, time.Duration) { s.watch.Forget() }

// Tick is part of Part.
func (s *sites) Tick(now time.Time, v View) []control.Event {
	for _, n := range s.watch.Tick(now) {
		s.guide.Told(now, n, s.returns(now, n.Site))
		name, state := "", n.State.String()
		if n.Site >= 0 {
			name = s.Names[n.Site]
		} else if state = "cut off"; !n.Alone {
			state = "present"
		}
		fields := []zap.Field{zap.String("site", name), zap.String("state", state), zap.String("evidence", n.Text)}
		if at, ok := s.began[n.Site]; ok {
			fields = append(fields, zap.Duration("since", now.Sub(at)))
		} else {
			s.began[n.Site] = now
		}
		if state == site.Present.String() {
			delete(s.began, n.Site)
		}
		s.log.Info("site", fields...)
	}
	for _, node := range s.watch.Ask(now) {
		v.Probe(control.ServerID(node))
	}
	if now.Sub(s.logged) >= demandEvery {
		if rates, lasts, ok := s.guide.Demand(now); ok {
			s.logged = now
			s.log.Info(DemandLine, zap.Float64s("rates", rates), zap.Durations("lasts", lasts))
		}
	}
	r, text := s.guide.Tick(now, s.watch, v.Share())
	if text != "" {
		sessions, share := s.guide.Measured()
		s.log.Info("site plan", zap.String("plan", text), zap.Float64s("sessions", sessions), zap.Float64("share", share))
	}
	if r == nil && !s.ration {
		return nil
	}
	s.ration = r != nil
	return []control.Event{{Kind: control.EventRation, Ration: s.told(r)}}
}

func (s *sites) returns(now time.Time, i int) int {
	if i < 0 {
		return 0
	}
	return s.watch.Returns(now, i)
}

// told is a ration as the module takes it, by zones.
func (s *sites) told(r *site.Ration) *control.Ration {
	if r == nil {
		return nil
	}
	to := &control.Ration{SessionLimits: r.Limit, RetryIntervalsS: r.Every, ZoneRates: make([]float64, len(s.Of))}
	for zone, i := range s.Of {
		if to.ZoneRates[zone] = -1; i >= 0 && r.Pace[i] >= 0 {
			to.ZoneRates[zone] = r.Pace[i] / float64(s.zones(i))
		}
	}
	return to
}

// zones is how many zones make up a site.
func (s *sites) zones(i int) (n int) {
	for _, o := range s.Of {
		if o == i {
			n++
		}
	}
	return n
}
