package broker

import (
	"time"

	"go.uber.org/zap"

	"millethinge/control"
	"millethinge/internal/site"
)

// demandLogInterval is the time between log lines with the measured demand, which
// "millethinge sites --record" reads.
const demandLogInterval = time.Minute

// DemandMessage is the message of the log line with the measured demand: by class, the
// sessions a second at all managers, as this one estimates them, and their mean lengths.
const DemandMessage = "site demand"

// siteTickInterval is the time between calls of sitePlanner.Tick. It is short against the
// seconds of failures by which the loss of a site is detected.
const siteTickInterval = 200 * time.Millisecond

// SiteConfig holds the sites, that is the sets of zones that can be lost together, and
// what the plans for their loss need.
type SiteConfig struct {
	Names      []string
	SiteByZone []int // by zone, the index of its site; under 0: none
	Rules      []site.Rule
	Classes    []site.Class
	Expected   []site.ExpectedLoad // by class
}

// sitePlanner detects the loss of sites from the reports of nodes, logs each episode, and
// rations the sessions of this manager while an episode lasts.
type sitePlanner struct {
	NopPlanner
	SiteConfig
	settings       control.Settings
	siteWatch      *site.Watch
	siteGuide      *site.Guide
	listed         map[control.ServerID]bool
	demandLoggedAt time.Time         // when the demand was logged last
	rationed       bool              // the decision module has a ration
	episodeStarts  map[int]time.Time // starts of the episodes under way, by site; -1: this manager is cut off
	log            *zap.Logger
}

func newSitePlanner(cfg SiteConfig, settings control.Settings, log *zap.Logger) *sitePlanner {
	return &sitePlanner{SiteConfig: cfg, settings: settings, siteWatch: site.NewWatch(cfg.Names), listed: map[control.ServerID]bool{}, episodeStarts: map[int]time.Time{}, log: log,
		siteGuide: site.NewGuide(cfg.Names, cfg.Rules, cfg.Classes, cfg.Expected, settings.CrossZoneCost, settings.RackUplinkKB*control.TargetUtilization)}
}

// Interval returns siteTickInterval.
func (s *sitePlanner) Interval() time.Duration { return siteTickInterval }

// ListUpdated passes the entries of nodes in known zones to the site.Watch and site.Guide.
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
		s.siteWatch.UpdateNode(node.Site, uint64(e.Server), e.State == control.Ready)
		s.siteGuide.UpdateNode(uint64(e.Server), node, e.State == control.Ready)
	}
}

// SiteNode converts an entry of a list of nodeCount nodes to a node of site plans.
func SiteNode(settings *control.Settings, entry control.Entry, siteIndex, nodeCount int) site.Node {
	node := site.Node{Site: siteIndex, Rack: entry.Cell % max(settings.Racks, 1), LinkKB: settings.ExpectedLinkKB(entry, nodeCount) * control.TargetUtilization, MaxStreams: unknownKindStreams}
	if entry.MachineKind >= 0 && entry.MachineKind < len(settings.MaxStreamsByKind) {
		node.MaxStreams = float64(settings.MaxStreamsByKind[entry.MachineKind])
	}
	return node
}

// unknownKindStreams is the assumed maximum of streams on a node whose kind has no entry in
// control.Settings.MaxStreamsByKind. It is in effect no limit.
const unknownKindStreams = 1e6

// RequestArrived counts a request, unless its viewer has asked before.
func (s *sitePlanner) RequestArrived(now time.Time, r *Request) bool {
	if !r.Repeated {
		s.siteGuide.CountArrival(now, r.Class)
	}
	return false
}

// SessionEnded passes the length of a session to the site.Guide.
func (s *sitePlanner) SessionEnded(_ time.Time, class int, played time.Duration, interrupted bool) {
	s.siteGuide.AddSessionLength(class, played, interrupted)
}

// NodeReported passes what a report says about its node's site to the site.Watch.
func (s *sitePlanner) NodeReported(now time.Time, r *Report) {
	if sign, ok := signFromReport(r); ok {
		s.siteWatch.RecordSign(now, uint64(r.Server), sign)
	}
}

// signFromReport returns what a report says about the node's site. It returns false if the
// report says nothing.
func signFromReport(r *Report) (site.Sign, bool) {
	switch r.Kind {
	case ReportStarted, ReportNote:
		return site.SignHeard, true
	case ReportProbed, ReportEnded:
	}
	switch r.Status {
	case control.OK, control.Full, control.Errored:
		return site.SignHeard, true
	case control.ConnectFailed:
		return site.SignUnreachable, true
	case control.TimedOut:
		return site.SignNoAnswer, true
	case control.ConnectionReset:
		if r.ConnectionOnly { // only the connection broke; the node can be reached
			return site.SignHeard, true
		}
		// A node that interrupts a session says so itself. For a node that can't be
		// reached, the end of each of its sessions is reported, one after the other. Each
		// of these reports is one sign of a node that was tried and failed.
		return site.SignConnectionLost, r.Kind == ReportEnded
	}
	return 0, false // not sent, or cancelled: caused by this manager itself
}

// ProcessPaused makes the site.Watch forget the failures seen before the pause.
func (s *sitePlanner) ProcessPaused(time.Time, time.Duration) { s.siteWatch.ForgetFailures() }

// Tick logs changes of the sites' states, probes nodes, logs the measured demand and the
// plan, and returns the ration of this manager while there is one.
func (s *sitePlanner) Tick(now time.Time, v BrokerView) []control.Event {
	for _, notice := range s.siteWatch.Tick(now) {
		s.siteGuide.ApplyNotice(now, notice, s.returnCount(now, notice.Site))
		name, state := "", notice.State.String()
		if notice.Site >= 0 {
			name = s.Names[notice.Site]
		} else if state = "cut off"; !notice.Isolated {
			state = "present"
		}
		fields := []zap.Field{zap.String("site", name), zap.String("state", state), zap.String("evidence", notice.Text)}
		if start, ok := s.episodeStarts[notice.Site]; ok {
			fields = append(fields, zap.Duration("since", now.Sub(start)))
		} else {
			s.episodeStarts[notice.Site] = now
		}
		if state == site.StatePresent.String() {
			delete(s.episodeStarts, notice.Site)
		}
		s.log.Info("site", fields...)
	}
	for _, node := range s.siteWatch.NodesToProbe(now) {
		v.Probe(control.ServerID(node))
	}
	if now.Sub(s.demandLoggedAt) >= demandLogInterval {
		if rates, lasts, ok := s.siteGuide.MeasuredDemand(now); ok {
			s.demandLoggedAt = now
			s.log.Info(DemandMessage, zap.Float64s("rates", rates), zap.Durations("lasts", lasts))
		}
	}
	ration, text := s.siteGuide.Tick(now, s.siteWatch, v.LoadShare())
	if text != "" {
		sessions, share := s.siteGuide.PlanBasis()
		s.log.Info("site plan", zap.String("plan", text), zap.Float64s("sessions", sessions), zap.Float64("share", share))
	}
	if ration == nil && !s.rationed {
		return nil
	}
	s.rationed = ration != nil
	return []control.Event{{Kind: control.EventRation, Ration: s.controlRation(ration)}}
}

// returnCount returns how often a site has come back recently; 0 for this manager itself.
func (s *sitePlanner) returnCount(now time.Time, siteIndex int) int {
	if siteIndex < 0 {
		return 0
	}
	return s.siteWatch.ReturnCount(now, siteIndex)
}

// controlRation converts a ration by sites to one by zones, as the decision module takes it.
func (s *sitePlanner) controlRation(planned *site.Ration) *control.Ration {
	if planned == nil {
		return nil
	}
	ration := &control.Ration{SessionLimits: planned.SessionLimit, RetryIntervalsS: planned.RetryIntervalS, ZoneRates: make([]float64, len(s.SiteByZone))}
	for zone, siteIndex := range s.SiteByZone {
		if ration.ZoneRates[zone] = -1; siteIndex >= 0 && planned.MaxSessionRate[siteIndex] >= 0 {
			ration.ZoneRates[zone] = planned.MaxSessionRate[siteIndex] / float64(s.zoneCount(siteIndex))
		}
	}
	return ration
}

// zoneCount returns the number of zones of a site.
func (s *sitePlanner) zoneCount(siteIndex int) (count int) {
	for _, other := range s.SiteByZone {
		if other == siteIndex {
			count++
		}
	}
	return count
}
