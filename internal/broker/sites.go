package broker

import (
	"time"

	"go.uber.org/zap"

	"millethinge/control"
	"millethinge/internal/site"
)

// demandLogInterval is how often what comes is logged, for millethinge sites --record.
const demandLogInterval = time.Minute

// DemandMessage is the message of the log line that tells what comes: by class, the
// sessions a second of all managers, as this one measures them, and their mean lengths.
const DemandMessage = "site demand"

// siteTickInterval is how often sites are looked at. A loss is told by seconds of failures.
const siteTickInterval = 200 * time.Millisecond

// SiteConfig is which zones are lost together, and what is planned for that.
type SiteConfig struct {
	Names      []string
	SiteByZone []int // site by zone; under 0: none
	Rules      []site.Rule
	Classes    []site.Class
	Expected   []site.Expect // by class
}

// sitePlanner tells the loss of sites from what nodes report, logs each episode, and rations
// what this manager takes while one lasts.
type sitePlanner struct {
	NopPlanner
	SiteConfig
	settings       control.Settings
	siteWatch      *site.Watch
	siteGuide      *site.Guide
	listed         map[control.ServerID]bool
	demandLoggedAt time.Time         // what comes
	rationed       bool              // the module has one
	episodeStarts  map[int]time.Time // of episodes that last; -1: this manager's own
	log            *zap.Logger
}

func newSitePlanner(cfg SiteConfig, settings control.Settings, log *zap.Logger) *sitePlanner {
	return &sitePlanner{SiteConfig: cfg, settings: settings, siteWatch: site.NewWatch(cfg.Names), listed: map[control.ServerID]bool{}, episodeStarts: map[int]time.Time{}, log: log,
		siteGuide: site.NewGuide(cfg.Names, cfg.Rules, cfg.Classes, cfg.Expected, settings.CrossZoneCost, settings.RackUplinkKB*control.TargetUtilization)}
}

// Interval is part of Part.
func (s *sitePlanner) Interval() time.Duration { return siteTickInterval }

// ListUpdated is part of Part.
func (s *sitePlanner) ListUpdated(_ time.Time, entries []control.Entry) {
	for _, e := range entries {
		if e.State == control.Gone {
			delete(s.listed, e.Server)
		} else {
			s.listed[e.Server] = true
		}
	}
	for _, e := range entries {
		if e.Zone < 0 || e.Zone >= len(s.SiteByZone) {
			continue
		}
		node := SiteNode(&s.settings, e, s.SiteByZone[e.Zone], len(s.listed))
		s.siteWatch.Listed(node.Site, uint64(e.Server), e.State == control.Ready)
		s.siteGuide.Listed(uint64(e.Server), node, e.State == control.Ready)
	}
}

// SiteNode is an entry of a list of so many nodes as plans for sites count it.
func SiteNode(settings *control.Settings, entry control.Entry, siteIndex, nodeCount int) site.Node {
	node := site.Node{Site: siteIndex, Rack: entry.Cell % max(settings.Racks, 1), LinkKB: settings.ExpectedLinkKB(entry, nodeCount) * control.TargetUtilization, Places: unknownKindStreams}
	if entry.MachineKind >= 0 && entry.MachineKind < len(settings.MaxStreamsByKind) {
		node.Places = float64(settings.MaxStreamsByKind[entry.MachineKind])
	}
	return node
}

// unknownKindStreams is what a node of a kind whose streams are not told is taken to run.
const unknownKindStreams = 1e6

// RequestArrived is part of Part.
func (s *sitePlanner) RequestArrived(now time.Time, r *Request) bool {
	if !r.Repeated {
		s.siteGuide.Arrived(now, r.Class)
	}
	return false
}

// SessionEnded is part of Part.
func (s *sitePlanner) SessionEnded(_ time.Time, class int, played time.Duration, interrupted bool) {
	s.siteGuide.Over(class, played, interrupted)
}

// NodeReported is part of Part.
func (s *sitePlanner) NodeReported(now time.Time, r *Report) {
	if sign, ok := signFromReport(r); ok {
		s.siteWatch.Saw(now, uint64(r.Server), sign)
	}
}

// signFromReport is what a report says of its node's site, if anything.
func signFromReport(r *Report) (site.Sign, bool) {
	switch r.Kind {
	case ReportStarted, ReportNote:
		return site.Heard, true
	case ReportProbed, ReportEnded:
	}
	switch r.Status {
	case control.OK, control.Full, control.Errored:
		return site.Heard, true
	case control.ConnectFailed:
		return site.NoWay, true
	case control.TimedOut:
		return site.Silence, true
	case control.ConnectionReset:
		if r.ConnectionOnly { // only the connection broke; the node is there
			return site.Heard, true
		}
		// A node that cuts a session says so itself; one that can't be reached is said
		// to have cut all of its sessions, one after the other: that is one sign each,
		// of nodes that were tried and failed.
		return site.Broke, r.Kind == ReportEnded
	}
	return 0, false // moot, or cancelled: this manager's own doing
}

// ProcessPaused is part of Part.
func (s *sitePlanner) ProcessPaused(time.Time, time.Duration) { s.siteWatch.Forget() }

// Tick is part of Part.
func (s *sitePlanner) Tick(now time.Time, v BrokerView) []control.Event {
	for _, notice := range s.siteWatch.Tick(now) {
		s.siteGuide.Told(now, notice, s.returnCount(now, notice.Site))
		name, state := "", notice.State.String()
		if notice.Site >= 0 {
			name = s.Names[notice.Site]
		} else if state = "cut off"; !notice.Alone {
			state = "present"
		}
		fields := []zap.Field{zap.String("site", name), zap.String("state", state), zap.String("evidence", notice.Text)}
		if start, ok := s.episodeStarts[notice.Site]; ok {
			fields = append(fields, zap.Duration("since", now.Sub(start)))
		} else {
			s.episodeStarts[notice.Site] = now
		}
		if state == site.Present.String() {
			delete(s.episodeStarts, notice.Site)
		}
		s.log.Info("site", fields...)
	}
	for _, node := range s.siteWatch.Ask(now) {
		v.Probe(control.ServerID(node))
	}
	if now.Sub(s.demandLoggedAt) >= demandLogInterval {
		if rates, lasts, ok := s.siteGuide.Demand(now); ok {
			s.demandLoggedAt = now
			s.log.Info(DemandMessage, zap.Float64s("rates", rates), zap.Durations("lasts", lasts))
		}
	}
	ration, text := s.siteGuide.Tick(now, s.siteWatch, v.ArrivalShare())
	if text != "" {
		sessions, share := s.siteGuide.Measured()
		s.log.Info("site plan", zap.String("plan", text), zap.Float64s("sessions", sessions), zap.Float64("share", share))
	}
	if ration == nil && !s.rationed {
		return nil
	}
	s.rationed = ration != nil
	return []control.Event{{Kind: control.EventRation, Ration: s.controlRation(ration)}}
}

func (s *sitePlanner) returnCount(now time.Time, siteIndex int) int {
	if siteIndex < 0 {
		return 0
	}
	return s.siteWatch.Returns(now, siteIndex)
}

// controlRation is a ration as the module takes it, by zones.
func (s *sitePlanner) controlRation(planned *site.Ration) *control.Ration {
	if planned == nil {
		return nil
	}
	ration := &control.Ration{SessionLimits: planned.Limit, RetryIntervalsS: planned.Every, ZoneRates: make([]float64, len(s.SiteByZone))}
	for zone, siteIndex := range s.SiteByZone {
		if ration.ZoneRates[zone] = -1; siteIndex >= 0 && planned.Pace[siteIndex] >= 0 {
			ration.ZoneRates[zone] = planned.Pace[siteIndex] / float64(s.zoneCount(siteIndex))
		}
	}
	return ration
}

// zoneCount is how many zones make up a site.
func (s *sitePlanner) zoneCount(siteIndex int) (count int) {
	for _, other := range s.SiteByZone {
		if other == siteIndex {
			count++
		}
	}
	return count
}
