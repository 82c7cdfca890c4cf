// This file holds the decisions of a manager; api.go holds its interface (Settings, Event, Action), state.go
// its state. In the order in which they apply to a session: the server list, load and room, admission,
// attempts, notes and reports, rungs of established sessions, and reserves.

package control

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Times (s) are in time units: 1 s for start goals of baseGoalS or more, less in proportion for shorter ones.
const (
	// Slots: room for sessions, counted in sessions of the middle rung's rate.
	TargetUtilization = 0.9 // share of a link or uplink to fill; the rest covers the spread of true rates

	refusalPenalty = 0.5 // cost of a refusal, as a part of the session's worth (q in Equation 6)
	reserveUpdateS = 10  // s between updates of the reserves
	arrivalWindowS = 30  // s over which arrival rates are measured for an update of the reserves

	priorLengthS = 60  // s, assumed session length until ends are seen; long errs to caution in raising rungs
	baseGoalS    = 1.5 // s, longest start goal of all classes from which a time unit is 1 s

	maxSearchSlots = 256 // most slots that the search for reserves covers; its time grows with their square
	staleAfterS    = 12  // s after which a report of other managers' load is no longer used

	// Rungs of established sessions.
	tickIntervalS = 0.5 // s between checks of the links; shorter answers shortages sooner, for more CPU time

	lowerAbove  = 1.08 // utilization above which rungs are lowered; delivery under 0.98 of a rate costs much
	lowerTarget = 0.95 // utilization that lowering aims at
	raiseBelow  = 0.7  // utilization below which rungs rise; far from lowerAbove to prevent oscillation

	minRaiseGain   = 3 // least gain expected of a raise, as a multiple of the cost of the rung change
	raiseIntervalS = 6 // s between raises of one session, so that an on-and-off neighbour can't swing it

	initialProbes      = 3 // single probes that a manager may make at its start, and may save up at most
	unknownLoadPenalty = 1 // added to the utilization of a holder of unknown load, unless probes are costly

	countPrior = 8 // sessions added to a manager's own count, so that a small count tells little of the fleet

	makeRoomSilenceS = 2   // s of a server's silence after which rungs there aren't lowered for newcomers
	minMakeRoomGain  = 1.5 // least worth of a new session, as a multiple of what lowering others for it costs
	othersRoomShare  = 0.5 // share of free room that a new session leaves to arrivals at many other managers

	probeCostShare = 0.01 // most that costly probes of single servers may cost, as a part of sessions' worth
	probeIntervalS = 30   // s between probes of a server that reports load in no other way; each has a price

	noteWeight       = 0.7  // weight of a new note against an older one of about the same time
	loadReportWeight = 0.25 // weight of a new load report against an older one; lower, since it is noisier
	reportBlendS     = 3    // s after which an older note or report no longer counts beside a new one

	cappedLoadShare = 0.99 // load_share from which the load may exceed the reported value
	fullDelivery    = 0.98 // delivered share of the rates below which sessions lose worth
	minDelivery     = 0.05 // least delivered share that is believed; bounds the effect of one note
	loadReportAgeS  = 0.3  // s, assumed age of a load report on arrival
	reactionS       = 1    // s, beyond the delay of notes, until reports can show what other managers did

	// Health.
	unprovenErrorLimit = 6  // errors on titles that never played, with no start between, that eject a server
	titleMemoryS       = 60 // s since its last start for which a title counts as one that plays

	zoneLostAfter = 3 // failed connections to a zone, with no sign of life from it, after which it is avoided
	zoneLostS     = 4 // s for which a zone that seems lost is avoided; varied at random by up to a half
	ejectionS     = 2 // s for which a server gets no set-ups after it failed or refused as full
	unansweredS   = 1 // s that a set-up may go unanswered before its server gets no others

	// A sign of life within minSetupTimeoutS also excuses a time-out and a failed probe.
	minSetupTimeoutS = 0.4 // s, least time-out of a set-up that may be repeated
	coldRateShare    = 0.7 // share used of a manager's permitted rate at a cold server; the rest is margin

	maxSessionProbes    = 2    // most holders probed for one session when their load is unknown
	maxSessionProbeCost = 0.04 // most that these probes may cost, as a part of the session's worth
	probeWaitS          = 0.15 // s that a session waits for the results of these probes
	freshReportS        = 2    // s for which a report makes a probe at an arrival unnecessary

	restartLoadShare   = 0.15 // share of a server's expected load below which a report shows a restart
	restartMinSessions = 8    // least expected load for that, in mean sessions; fewer may end by chance

	coldViewerS  = 8 // s in which a manager is assumed to have one viewer for a cold server
	burstWindowS = 1 // s in which it is assumed to have at most one arrival; more lower each one's chance

	meanWeight = 0.25 // weight of one report in the running means of the fleet's load

	floodFactor = 6 // multiple of a tenant's quota from which arrivals are a flood: few can be within it
	floodBurst  = 5 // arrivals of a tenant that a manager takes at once, since arrivals bunch by chance

	timerToleranceS = 0.001 // s by which a timer may fire early because clocks are rounded
	minRetryAfterS  = 1     // s for which a refused viewer is asked to stay away, until reports show a change
	deadlineMarginS = 0.03  // s before a deadline from which nothing new is begun
)

// Tokens of the timers, which EventTimer returns.
const (
	tokenTick = iota
	tokenRetryWaiting
	tokenSubscribe
)

// New returns a Controller, or an error that names the setting that it can't use.
func New(cfg Settings, seed uint64) (*Controller, error) {
	if err := validate(&cfg); err != nil {
		return nil, err
	}
	timeUnitS := 0.0
	for _, class := range cfg.Classes {
		timeUnitS = min(max(timeUnitS, class.StartGoalS/baseGoalS), 1)
	}
	cfg = scaleTimes(cfg, timeUnitS)
	c := &Controller{
		cfg: cfg, timeUnitS: timeUnitS, seed: seed,
		servers: make(map[ServerID]*server), sessions: make(map[SessionID]*session),
		sessionsPerTitle: make(map[titleClass]int), serversByCell: make([][]*server, cfg.Cells),
		tenantBuckets: make([]tokenBucket, len(cfg.TenantQuotas)),
		arrivalTimes:  make([][]float64, len(cfg.Classes)),
		reservedSlots: make([]float64, len(cfg.Classes)), classLoadShares: make([]float64, len(cfg.Classes)),
		slotKB: cfg.RatesKB[len(cfg.RatesKB)/2], lastPlayed: make(map[uint64]float64),
		zoneFailures: make(map[int]int), zoneLostUntil: make(map[int]float64), probeCredit: initialProbes,
		probesCostly: maxSessionProbes*(cfg.ProbeCost+cfg.HandshakeCost) > maxSessionProbeCost,
	}
	for range max(cfg.Racks, 1) {
		c.racks = append(c.racks, &rack{linkLoad: newLinkLoad()})
	}
	return c, nil
}

// Handle takes one event at the clock time now, in s, and returns what to do, in order. The slice is
// valid until the next call.
func (c *Controller) Handle(now float64, e Event) []Action {
	c.now, c.actions = now/c.timeUnitS, c.actions[:0]
	e.TimeLeftS, e.ExpectedLengthS = e.TimeLeftS/c.timeUnitS, e.ExpectedLengthS/c.timeUnitS
	if !c.started {
		c.started, c.startedAt, c.reserveUpdateAt = true, c.now, c.now+reserveUpdateS/5
		c.setTimer(tickIntervalS, tokenTick)
		if c.cfg.SubscribeToList {
			c.emit(Action{Kind: ActionSubscribe})
		}
	}
	switch s := c.sessions[e.Session]; {
	case e.Kind == EventList:
		c.onList(e)
	case e.Kind == EventArrival:
		c.onArrival(e)
	case e.Kind == EventEstablished:
		c.onEstablished(e)
	case e.Kind == EventTimer:
		c.onTimer(e.Token)
	case e.Kind == EventProbeResult:
		c.onProbeResult(e)
	case e.Kind == EventHold || e.Kind == EventRation:
		c.onPlan(e)
	case s == nil: // all other events concern a session, and this one has ended
	case e.Kind == EventStarted:
		c.onStarted(s, e)
	case e.Kind == EventAttemptEnded:
		c.onAttemptEnded(s, e)
	case e.Kind == EventAbandoned:
		if s.requestEnded = true; s.server == nil { // otherwise the end of its attempt follows
			delete(c.sessions, s.id)
		}
	case e.Kind == EventNote:
		c.onNote(s, e)
	}
	return c.actionsInSeconds()
}

// The server list.

func (c *Controller) onList(e Event) {
	if e.List == ListFailed {
		if c.cfg.SubscribeToList {
			c.setTimer(1, tokenSubscribe)
		}
		return
	}
	if e.List != ListDelta {
		for _, sv := range c.serverOrder { // servers that a full list doesn't name are gone
			sv.State = Gone
		}
	}
	for _, entry := range e.Entries {
		c.updateServer(entry)
	}
	c.rebuildIndexes()
}

func (c *Controller) updateServer(entry Entry) {
	entry.StartedAtS /= c.timeUnitS
	if entry.Cell < 0 || entry.Cell >= c.cfg.Cells {
		return
	}
	sv := c.servers[entry.Server]
	if sv == nil {
		sv = &server{linkLoad: newLinkLoad(), ownKBByClass: make([]float64, len(c.cfg.Classes))}
		c.servers[entry.Server] = sv
		c.serverOrder = append(c.serverOrder, sv)
	}
	if entry.StartedAtS > sv.StartedAtS && entry.StartedAtS+c.cfg.WarmAfterS > c.now {
		c.recordStart(sv, entry)
	}
	sv.Entry, sv.rack = entry, c.racks[entry.Cell%len(c.racks)]
	c.updateOwnLoad(sv)
}

// markCold treats a server as started at the given time. This protects a process that restarted before
// the list says so from too many set-ups; it slows set-ups to a server that only lost a connection.
func (c *Controller) markCold(sv *server, at float64) {
	sv.coldSince = max(sv.coldSince, at)
	sv.coldUntil = max(sv.coldUntil, at+c.cfg.WarmAfterS)
}

// coldSendInterval is the least time between this manager's set-ups at a cold server.
func (c *Controller) coldSendInterval(sv *server) float64 {
	rate := c.cfg.ColdSetupMultiple * c.maxStreams(sv) * c.cfg.StartCapacityShare * coldRateShare
	if rate <= 0 {
		return 0
	}
	return c.cfg.WarmAfterS * float64(c.cfg.Managers) / rate
}

// admitCold reports whether a session may be sent to a cold server at all. Each manager's send interval
// allows a first set-up at once, and many managers have one to make when a server is listed or all others
// are full; so chance decides. Where few viewers come, a new server therefore fills more slowly.
func (c *Controller) admitCold(s *session, sv *server) bool {
	recentArrivals := 0.0 // a burst here is taken for a burst at all managers
	for _, times := range c.arrivalTimes {
		recentArrivals += float64(len(dropBefore(times, c.now-burstWindowS)))
	}
	chance := coldViewerS / c.coldSendInterval(sv) / max(recentArrivals, 1)
	return c.now >= sv.coldUntil || c.dueAfterReenabling(sv) ||
		hashToUnit(c.seed^uint64(s.id), uint64(sv.Server)) < chance
}

// isCold reports whether set-ups at sv are paced: the list or an error says that it started within the
// warm-up. A new manager learns of starts from its first list, as others do. When it paced all its
// servers instead, a restarted manager paid for one new connection a set-up.
func (c *Controller) isCold(sv *server) bool {
	return c.now < sv.coldUntil
}

// looksRestarted reports whether a reported load is so far below what this manager knows to be asked of
// the server, and below the fleet's mean, that it must have restarted. Where sessions ended for another
// reason, the server is paced for a warm-up without need.
func (c *Controller) looksRestarted(sv *server, kb, measuredAt float64) bool {
	expectedKB := min(sv.ownKBAt(measuredAt)+c.othersKB(sv), c.meanLoad.value/c.totalLinkKB()*c.linkKB(sv))
	return c.now > sv.coldUntil+staleAfterS && expectedKB > restartMinSessions*c.meanRateKB() &&
		kb < restartLoadShare*expectedKB
}

// Load and room.

// othersKB is what other managers ask of a server's link: as last reported, or without a fresh report the
// fleet's mean, or an even share of what this manager's own load suggests.
func (c *Controller) othersKB(sv *server) float64 {
	if c.now-sv.measuredAt < staleAfterS {
		return sv.reportedOthersKB
	}
	if c.meanLoad.hasValue {
		return max(c.meanLoad.value/c.totalLinkKB()*c.linkKB(sv)-sv.ownKB, 0)
	}
	return c.ownKB * float64(c.cfg.Managers-1) / float64(max(len(c.serverOrder), 1))
}

// rackOthersKB is what other managers ask of a rack's uplink, estimated in the same way.
func (c *Controller) rackOthersKB(r *rack) float64 {
	if c.now-r.measuredAt < staleAfterS {
		return r.reportedOthersKB
	}
	if c.meanUplinkLoad.hasValue {
		return max(c.meanUplinkLoad.value/c.totalLinkKB()*c.cfg.RackUplinkKB-r.ownKB, 0)
	}
	if c.meanLoad.hasValue { // how racks differ is unknown; a guess would send all managers to the same one
		return max(c.meanLoad.value/float64(len(c.racks))-r.ownKB, 0)
	}
	sum := 0.0
	for _, sv := range r.servers {
		sum += c.othersKB(sv)
	}
	return sum
}

// utilization is the share that is asked for of the link or the uplink, whichever is tighter.
func (c *Controller) utilization(sv *server) float64 {
	return max((sv.ownKB+c.othersKB(sv))/c.linkKB(sv),
		(sv.rack.ownKB+c.rackOthersKB(sv.rack))/c.cfg.RackUplinkKB)
}

// freeKB is what is free of a server's slots, in kB a second.
func (c *Controller) freeKB(sv *server) float64 {
	others := c.othersKB(sv)
	free := min(TargetUtilization*c.linkKB(sv)-sv.ownKB-others, c.rackFreeKB(sv.rack))
	if streams := float64(len(sv.sessions)) + others/c.meanRateKB(); streams+1 > c.maxStreams(sv) {
		return min(free, 0)
	}
	return free
}

// availableKB is what a session may fill: its class's reserve, then the shared part. What other classes
// have reserved and not filled is not available, nor what is held for peaks.
func (c *Controller) availableKB(sv *server, s *session) float64 {
	available := c.freeKB(sv) - c.heldForOthersKB(s, sv)
	others := c.othersKB(sv)
	for k := range c.cfg.Classes {
		if k != s.class && c.meanSlots > 0 {
			reserved := c.reservedSlots[k] / c.meanSlots * c.capacityKB(sv)
			available -= max(reserved-sv.ownKBByClass[k]-others*c.classLoadShares[k], 0)
		}
	}
	return available
}

// Admission.

func (c *Controller) onArrival(e Event) {
	if c.sessions[e.Session] != nil {
		return
	}
	if e.Class < 0 || e.Class >= len(c.cfg.Classes) {
		c.emit(Action{Kind: ActionRefuse, Session: e.Session, RetryAfterS: minRetryAfterS})
		return
	}
	s := c.newSession(e)
	c.arrivalTimes[s.class] = append(c.arrivalTimes[s.class], c.now)
	c.probeCredit = min(c.probeCredit+probeCostShare/max(c.cfg.ProbeCost, probeCostShare), initialProbes)
	if c.cfg.BudgetWindowS > 0 {
		c.budgetArrivals = append(c.budgetArrivals, c.now)
	}
	if c.isFlooding(e.Tenant) && max(c.meanLoad.value, c.meanUplinkLoad.value) > raiseBelow*c.totalLinkKB() ||
		c.overRation(s) {
		c.answer(s, ActionRefuse)
		return
	}
	c.place(s)
}

// isFlooding takes an arrival from its tenant's bucket and reports whether so many come that few can be
// within the quota. While the fleet is tight these are refused, or they take the room of sessions worth
// ten times as much. It is wrong where a manager's own viewers of a tenant are many by chance.
func (c *Controller) isFlooding(tenant int) bool {
	if tenant < 0 || tenant >= len(c.cfg.TenantQuotas) || c.cfg.TenantQuotas[tenant] <= 0 {
		return false
	}
	bucket := &c.tenantBuckets[tenant]
	rate := floodFactor * c.cfg.TenantQuotas[tenant] / float64(c.cfg.Managers)
	bucket.tokens, bucket.refilledAt = min(bucket.tokens+(c.now-bucket.refilledAt)*rate, floodBurst), c.now
	if bucket.tokens < 1 {
		return true
	}
	bucket.tokens--
	return false
}

func (c *Controller) newSession(e Event) *session {
	class := c.cfg.Classes[e.Class]
	left := e.TimeLeftS
	if !notNegative(left) {
		left = 0
	}
	s := &session{
		id: e.Session, class: e.Class, title: e.Title, homeCell: e.HomeCell, copies: e.Copies,
		rung: class.FloorRung, worth: class.Worth, deadline: c.now + left,
		startGoal: c.now + class.StartGoalS,
		topRung:   min(class.TopRung, len(c.cfg.RatesKB)-1), inPeak: e.InPeak,
	}
	if e.MaxRung < float64(s.topRung) {
		s.topRung = int(max(e.MaxRung, -1))
	}
	if positive(e.ExpectedLengthS) {
		s.expectedEnd = c.now + e.ExpectedLengthS
	}
	c.sessions[s.id] = s
	return s
}

func (c *Controller) onEstablished(e Event) {
	sv := c.servers[e.Server]
	if sv == nil || e.Class < 0 || e.Class >= len(c.cfg.Classes) || c.sessions[e.Session] != nil {
		return
	}
	s := c.newSession(e)
	s.nextAttempt, s.playing, s.playingSince, s.rungChangedAt = 1, true, c.now, c.now-raiseIntervalS
	c.attachEstablished(s, sv, e.Rung)
	c.lastPlayed[s.title] = c.now
}

// place sends a session to the least used holder with a free slot of its class, or answers it at once.
func (c *Controller) place(s *session) {
	class := &c.cfg.Classes[s.class]
	if c.now >= s.deadline-deadlineMarginS || s.nextAttempt >= c.cfg.AttemptsCap ||
		s.nextAttempt > 0 && !c.budgetAllowsAttempt() || s.topRung < class.FloorRung ||
		class.MaxPerTitle > 0 && c.sessionsPerTitle[titleClass{s.title, s.class}] >= class.MaxPerTitle {
		c.answer(s, ActionRefuse)
		return
	}
	if c.probeHolders(s) {
		c.postpone(s, s.probesUntil)
		return
	}
	list, coldReadyAt := c.candidates(s)
	for _, h := range list {
		if available := c.availableKB(h.server, s); available >= c.rateKB(s, class.FloorRung) {
			c.sendSetup(s, h.server, c.initialRung(s, h.server, available))
			return
		}
	}
	if len(list) == 0 && coldReadyAt < min(s.startGoal, s.deadline-deadlineMarginS) {
		c.postpone(s, coldReadyAt)
		return
	}
	for _, h := range list {
		if c.makeRoom(s, h.server) {
			c.sendSetup(s, h.server, class.FloorRung)
			return
		}
	}
	c.answer(s, ActionRefuse)
}

// makeRoom lowers established sessions on a full holder where that costs less than a refused viewer is
// worth: upper rungs earn little for their rate. If the viewer leaves soon, it loses what changes cost.
func (c *Controller) makeRoom(s *session, sv *server) bool {
	if c.silentFor(sv, 0) > makeRoomSilenceS ||
		float64(len(sv.sessions)+1)+c.othersKB(sv)/c.meanRateKB() > c.maxStreams(sv) {
		return false
	}
	floor := c.cfg.Classes[s.class].FloorRung
	need := c.rateKB(s, floor) - c.availableKB(sv, s)
	gain := s.worth * c.cfg.LadderWorth[floor] * c.meanLength()
	var lowered []*session
	for need > 0 {
		var best *session
		cost, freed := 0.0, 0.0
		for _, o := range sv.sessions {
			if !o.playing || o.rung <= c.cfg.Classes[o.class].FloorRung || slices.Contains(lowered, o) {
				continue
			}
			kb := c.rateKB(o, o.rung) - c.rateKB(o, o.rung-1)
			loss := o.worth * (c.cfg.LadderWorth[o.rung] - c.cfg.LadderWorth[o.rung-1]) * c.remaining(o)
			if loss += o.worth * c.cfg.RungChangeCostS; best == nil || loss/kb < cost/freed {
				best, cost, freed = o, loss, kb
			}
		}
		if gain -= minMakeRoomGain * cost; best == nil || gain <= 0 {
			return false
		}
		lowered = append(lowered, best)
		need -= freed
	}
	for _, o := range lowered {
		c.setRung(o, o.rung-1)
	}
	return true
}

// postpone makes a session wait until a time, or until a probe is answered.
func (c *Controller) postpone(s *session, until float64) {
	s.waitUntil = max(until, c.now+deadlineMarginS)
	c.waiting = append(c.waiting, s)
	c.setTimer(s.waitUntil-c.now, tokenRetryWaiting)
}

// probeHolders probes some holders of unknown load, drawn at random, before a session is placed, and
// reports whether a result is still awaited. Each probe has a price; costly ones are not made here.
func (c *Controller) probeHolders(s *session) bool {
	if s.probesUntil > 0 || c.cfg.LoadReporting == LoadReportsNone || !c.cfg.ProbesAllowed || c.probesCostly {
		return c.now < s.probesUntil-timerToleranceS && c.probesPending > 0
	}
	s.probesUntil = c.now
	list, _ := c.candidates(s)
	var unknown, sameZone []*server
	for _, h := range list {
		if c.now-h.server.measuredAt >= freshReportS {
			unknown = append(unknown, h.server)
			if h.server.Zone == c.cfg.Zone {
				sameZone = append(sameZone, h.server)
			}
		}
	}
	n := len(list) - len(unknown)
	if len(sameZone) >= maxSessionProbes { // crossing zones has a cost
		unknown = sameZone
	}
	for ; n < maxSessionProbes && len(unknown) > 0; n++ {
		i := int(c.random() * float64(len(unknown)))
		c.sendProbe(unknown[i])
		s.probesUntil = c.now + probeWaitS
		unknown = append(unknown[:i], unknown[i+1:]...)
	}
	return s.probesUntil > c.now
}

// candidates lists the usable holders of a session's title, least used first. If a cold one is only held
// back by its send interval, it also returns when it may be used.
func (c *Controller) candidates(s *session) (list []candidate, coldReadyAt float64) {
	coldReadyAt = math.Inf(1)
	for _, sv := range c.titleHolders(s) {
		if !c.usable(s, sv) || !c.admitCold(s, sv) {
			continue
		}
		if c.isCold(sv) && sv.nextSendAt > c.now {
			coldReadyAt = min(coldReadyAt, sv.nextSendAt)
			continue
		}
		utilization := c.utilization(sv)
		if sv.Zone != c.cfg.Zone {
			utilization += c.cfg.CrossZoneCost // crossing zones has a cost
		}
		tieBreak := hash(s.title, uint64(sv.Server))
		if stale := c.now-sv.measuredAt >= staleAfterS; stale && c.probesCostly { // mean load, ties at random
			tieBreak = hash(c.seed^uint64(s.id), uint64(sv.Server))
		} else if stale {
			utilization += unknownLoadPenalty
		}
		list = append(list, candidate{sv, utilization, tieBreak})
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.utilization, b.utilization), cmp.Compare(a.tieBreak, b.tieBreak))
	})
	return list, coldReadyAt
}

// usable reports whether a holder may be sent a session at all.
func (c *Controller) usable(s *session, sv *server) bool {
	if sv.State != Ready || c.now < max(sv.ejectedUntil, c.zoneBlockedUntil(sv.Zone)) {
		return false
	}
	for _, t := range s.tried {
		if t == sv {
			return false
		}
	}
	for _, o := range sv.sessions { // a server may accept set-ups and answer none
		if !o.playing && c.silentFor(sv, o.sentAt) > unansweredS {
			return false
		}
	}
	return true
}

// budgetAllowsAttempt reports whether the retry budget allows one more retry.
func (c *Controller) budgetAllowsAttempt() bool {
	if c.cfg.BudgetWindowS <= 0 {
		return true
	}
	c.budgetArrivals = dropBefore(c.budgetArrivals, c.now-c.cfg.BudgetWindowS+deadlineMarginS)
	c.retryTimes = dropBefore(c.retryTimes, c.now-c.cfg.BudgetWindowS-deadlineMarginS)
	return float64(len(c.retryTimes)+1) <= c.cfg.BudgetFree+c.cfg.BudgetShare*float64(len(c.budgetArrivals))
}

// initialRung is the highest rung that the viewer allows and that fits a new session's part of the room:
// its rung if this manager's sessions on that server were allocated anew over what they may fill.
func (c *Controller) initialRung(s *session, sv *server, available float64) int {
	floor := c.cfg.Classes[s.class].FloorRung
	if c.now-sv.measuredAt >= staleAfterS && c.meanLoad.hasValue && !c.probesCostly {
		return floor
	}
	list := append(append([]*session(nil), sv.sessions...), s)
	roomShare := 1 - othersRoomShare*(1-1/float64(c.cfg.Managers)) // the rest is for other managers
	kb := sv.ownKB + available*roomShare
	if c.capacityKB(sv) < c.slotKB*float64(c.cfg.Managers) {
		list, kb = c.fleetShare(s)
	}
	rung := c.allocateRungs(list, kb)[len(list)-1]
	for rung > floor && c.rateKB(s, rung) > available {
		rung--
	}
	return rung
}

// fleetShare returns all sessions of this manager and s, and what they may ask for if rungs are allocated
// over the whole fleet. Where a manager's share of a server is under one slot, its sessions there
// indicate nothing, and all managers would fill the room that each sees before a report shows it. The
// ratio of the fleet's load to a manager's own count and size of sessions changes slowly, whatever the
// managers do. It is wrong where these are unlike the fleet's.
func (c *Controller) fleetShare(s *session) (all []*session, kb float64) {
	for _, sv := range c.serverOrder {
		all = append(all, sv.sessions...)
	}
	all = append(all, s)
	n := float64(len(all))
	if c.fleetOwnRatio.hasValue {
		return all, n / (n + countPrior) * TargetUtilization * c.totalLinkKB() / c.fleetOwnRatio.value
	}
	return all, min(TargetUtilization*c.totalLinkKB()/float64(c.cfg.Managers), n*c.slotKB)
}

// allocateRungs gives each session the rung that earns most within kb: from the floors up, always the
// step that earns most for its rate.
func (c *Controller) allocateRungs(sessions []*session, kb float64) []int {
	rungs := make([]int, len(sessions))
	for i, s := range sessions {
		rungs[i] = c.cfg.Classes[s.class].FloorRung
		kb -= c.rateKB(s, rungs[i])
	}
	for {
		best, gain := -1, 0.0
		for i, s := range sessions {
			if r := rungs[i]; r < c.highestRung(s) && c.rateKB(s, r+1)-c.rateKB(s, r) <= kb {
				if g := c.stepWorthPerKB(s, r); g > gain {
					best, gain = i, g
				}
			}
		}
		if best < 0 {
			return rungs
		}
		s := sessions[best]
		kb -= c.rateKB(s, rungs[best]+1) - c.rateKB(s, rungs[best])
		rungs[best]++
	}
}

// stepWorthPerKB is what the step above rung r earns for its rate.
func (c *Controller) stepWorthPerKB(s *session, r int) float64 {
	return s.worth * (c.cfg.LadderWorth[r+1] - c.cfg.LadderWorth[r]) / (c.rateKB(s, r+1) - c.rateKB(s, r))
}

// lowerRungs sets sessions to rungs under their present ones until kb is saved.
func (c *Controller) lowerRungs(sessions []*session, rungs []int, kb float64) {
	for kb > 0 {
		best, largest := -1, 0.0 // a few large changes cost less than many small ones
		for i, o := range sessions {
			if saved := c.rateKB(o, o.rung) - c.rateKB(o, min(rungs[i], o.rung)); saved > largest {
				best, largest = i, saved
			}
		}
		if best < 0 || kb < largest && c.random()*largest > kb {
			break // chance makes the sum over all managers right
		}
		kb -= largest
		c.setRung(sessions[best], rungs[best])
	}
}

func (c *Controller) sendSetup(s *session, sv *server, rung int) {
	class := &c.cfg.Classes[s.class]
	if s.nextAttempt > 0 && c.cfg.BudgetWindowS > 0 {
		c.retryTimes = append(c.retryTimes, c.now)
	}
	s.nextAttempt++
	s.sentAt, s.rung = c.now, rung
	sv.nextSendAt = c.now + c.coldSendInterval(sv)
	c.emit(Action{Kind: ActionSetRung, Session: s.id, Rung: rung})
	timeout := 0.0 // a set-up that must not run twice is lost if it times out early
	if goalLeft := s.startGoal - c.now; class.RepeatEffect != AtMostOnce && goalLeft > 0 {
		timeout = max(goalLeft/2, minSetupTimeoutS)
	}
	c.emit(Action{Kind: ActionSetUp, Session: s.id, Server: sv.Server, SetupTimeoutS: timeout})
	c.attach(s, sv)
}

// answer gives the final answer to a session that has no attempt under way.
func (c *Controller) answer(s *session, kind ActionKind) {
	action := Action{Kind: kind, Session: s.id}
	if kind == ActionRefuse {
		action.RetryAfterS = c.retryAfterTime(s)
	}
	c.emit(action)
	s.requestEnded = true
	delete(c.sessions, s.id)
}

// Attempts.

func (c *Controller) onStarted(s *session, e Event) {
	if s.server != nil && s.server.Server == e.Server && !s.playing {
		s.playing, s.playingSince, s.rungChangedAt = true, c.now, c.now
		s.server.unprovenErrors = 0
		c.markAlive(s.server)
		c.lastPlayed[s.title] = c.now
	}
}

func (c *Controller) onAttemptEnded(s *session, e Event) {
	sv := s.server
	if sv == nil || e.Attempt != s.nextAttempt-1 {
		return
	}
	if s.playing {
		c.playedTime += c.now - s.playingSince
		c.endedSessions++
	}
	c.onLoadReport(sv, e.Load)
	c.detach(s)
	c.updateHealth(s, sv, e)
	if e.RequestFinished || s.requestEnded {
		delete(c.sessions, s.id)
		return
	}
	s.tried = append(s.tried, sv)
	notRun := e.Status == Full || e.Status == ConnectFailed || e.Status == NotSent
	if !notRun && c.cfg.Classes[s.class].RepeatEffect != Idempotent { // it may have run, not to be repeated
		c.answer(s, ActionFail)
		return
	}
	c.place(s)
}

// updateHealth judges a server by how its attempts end. Guard: what may be the fault of the set-up or its
// connection doesn't count against a server that serves others, or a few bad viewers eject the fleet.
func (c *Controller) updateHealth(s *session, sv *server, e Event) {
	switch e.Status {
	case OK, Cancelled, NotSent:
		return
	case ConnectionReset, ConnectFailed: // its process may be gone or have restarted
		if e.ConnectionOnly {
			return
		}
		c.markCold(sv, c.now)
	case TimedOut:
		if c.silentFor(sv, 0) < minSetupTimeoutS {
			return
		}
	case Errored:
		c.markAlive(sv)
		if _, played := c.lastPlayed[s.title]; !played {
			if sv.unprovenErrors++; sv.unprovenErrors < unprovenErrorLimit {
				return
			}
		}
	case Full:
		c.markAlive(sv)
		if c.cfg.FullAtUtilization > 0 {
			sv.observe(c.now, max(c.cfg.FullAtUtilization*c.linkKB(sv), sv.ownKB+c.othersKB(sv)), noteWeight)
		}
	}
	c.eject(sv, e)
}

// eject leaves a server out for a while, and its zone once several connections to it in a row have failed
// while another zone is reachable: in a large fleet each manager would otherwise fail on each server. It
// is wrong where only these servers were at fault.
func (c *Controller) eject(sv *server, e Event) {
	connectFailed := sv.recordFailure(c.now, e)
	if connectFailed {
		c.zoneFailures[sv.Zone]++
	}
	up := func(o *server) bool { return o.State == Ready && o.Zone != sv.Zone && c.zoneFailures[o.Zone] == 0 }
	if connectFailed && c.zoneFailures[sv.Zone] >= zoneLostAfter && slices.ContainsFunc(c.serverOrder, up) {
		c.zoneLostUntil[sv.Zone] = c.now + zoneLostS*(0.5+c.random())
	}
}

// Notes and reports.

func (c *Controller) onNote(s *session, e Event) {
	sv := s.server
	if sv == nil || sv.Server != e.Server || !notNegative(e.Value) || e.Value > 100 {
		return
	}
	c.zoneFailures[sv.Zone] = 0
	measuredAt := c.now - c.cfg.NoteDelayS
	if e.Note != NoteDeliveredShare && c.now-s.sentAt < c.cfg.NoteDelayS { // sent at set-up, so measured now
		measuredAt = c.now
	}
	switch e.Note {
	case NoteRung:
		if r := int(e.Value); r < len(c.cfg.RatesKB) {
			s.rung = r
			c.updateOwnLoad(sv)
		}
	case NoteDeliveredShare:
		kb := c.linkKB(sv) / max(e.Value, minDelivery)
		if e.Value < fullDelivery && kb > sv.ownKB+c.othersKB(sv) {
			sv.observe(measuredAt, kb, 1) // the media node has smoothed it
		}
	case NoteLinkUtilization:
		sv.observe(measuredAt, e.Value*c.linkKB(sv), noteWeight)
	case NoteUplinkUtilization:
		sv.rack.observe(measuredAt, e.Value*c.cfg.RackUplinkKB, noteWeight)
	}
}

func (c *Controller) onProbeResult(e Event) {
	c.probesPending = max(c.probesPending-1, 0)
	if sv := c.servers[e.Server]; sv != nil && e.Status == OK {
		c.markAlive(sv)
		c.onLoadReport(sv, e.Load)
	} else if sv != nil && e.Status != NotSent && c.silentFor(sv, 0) > minSetupTimeoutS {
		c.eject(sv, e)
	}
	c.retryWaiting(true)
}

func (c *Controller) onLoadReport(sv *server, load []float64) {
	// highest is the utilization of the tighter link; fields such as counts don't tell it.
	measuredAt, highest := c.now-loadReportAgeS, -1.0
	for i, v := range load {
		if sv == nil || i >= len(c.cfg.LoadFields) || !notNegative(v) || v > 100 {
			continue
		}
		switch c.cfg.LoadFields[i] {
		case "x0", "load_share": // at its cap, load_share only gives a lower bound
			highest = max(highest, v)
			kb := v * c.linkKB(sv)
			if c.looksRestarted(sv, kb, measuredAt) { // it restarted, and the list doesn't say so
				c.markCold(sv, measuredAt)
			}
			c.meanLoad.add(min(v, 2) * c.totalLinkKB())
			if c.cfg.LoadFields[i] == "x0" || v < cappedLoadShare || kb > sv.ownKB+c.othersKB(sv) {
				sv.observe(measuredAt, kb, loadReportWeight)
			}
		case "x1":
			highest = max(highest, v)
			c.meanUplinkLoad.add(min(v, 2) * c.totalLinkKB())
			sv.rack.observe(measuredAt, v*c.cfg.RackUplinkKB, loadReportWeight)
		}
	}
	if highest >= 0 {
		c.fleetOwnRatio.add(highest * c.totalLinkKB() / c.meanRateKB() / float64(len(c.sessions)+countPrior))
	}
}

// Rungs of established sessions.

func (c *Controller) onTimer(token uint32) {
	switch token {
	case tokenRetryWaiting:
		c.retryWaiting(false)
	case tokenSubscribe:
		c.emit(Action{Kind: ActionSubscribe})
	case tokenTick:
		c.setTimer(tickIntervalS, tokenTick)
		c.retryWaiting(false)
		c.probeForLoad()
		c.adjustRungs()
		if c.now >= c.reserveUpdateAt {
			c.reserveUpdateAt = c.now + reserveUpdateS
			c.updateReserves()
			maps.DeleteFunc(c.lastPlayed, func(_ uint64, at float64) bool { return at < c.now-titleMemoryS })
		}
	}
}

// retryWaiting places again the sessions that have waited long enough, or for a probe that is answered.
func (c *Controller) retryWaiting(answered bool) {
	list := c.waiting
	c.waiting = nil
	for _, s := range list {
		if answered && c.now < s.probesUntil || c.now >= s.waitUntil-timerToleranceS {
			if !s.requestEnded {
				c.place(s)
			}
			continue
		}
		c.waiting = append(c.waiting, s)
	}
}

// probeForLoad probes servers with sessions of this manager where they report their load in no other way.
// Where probes are costly it probes one at a time, on the rack with the oldest report, as often as
// arrivals pay for it; so managers don't probe in step.
func (c *Controller) probeForLoad() {
	if c.cfg.LoadReporting != LoadReportsInProbes || !c.cfg.ProbesAllowed {
		return
	}
	var best *server
	for _, sv := range c.serverOrder {
		if sv.State != Ready || c.now < sv.probedAt+probeIntervalS || len(sv.sessions) == 0 {
			continue
		}
		if !c.probesCostly {
			c.sendProbe(sv)
		} else if best == nil || sv.rack.measuredAt < best.rack.measuredAt {
			best = sv
		}
	}
	if best != nil && c.probeCredit >= 1 {
		c.probeCredit--
		c.sendProbe(best)
	}
}

// adjustRungs answers a shortage, whatever its cause, and uses lasting slack. All managers get the same
// reports, so each lowers its own load by the same factor and raises it by its part of the room. After a
// false report rungs fall, and rise again only once a rung change pays.
func (c *Controller) adjustRungs() {
	for _, r := range c.racks {
		var list []*session
		for _, sv := range r.servers {
			list = append(list, sv.sessions...)
		}
		c.relieveShortage(&r.linkLoad, list, (r.ownKB+c.rackOthersKB(r))/c.cfg.RackUplinkKB)
	}
	for _, sv := range c.serverOrder {
		if len(sv.sessions) == 0 {
			continue
		}
		c.relieveShortage(&sv.linkLoad, sv.sessions, (sv.ownKB+c.othersKB(sv))/c.linkKB(sv))
		if c.utilization(sv) < raiseBelow && c.now >= sv.ejectedUntil && c.now-sv.measuredAt < staleAfterS &&
			sv.measuredAt > sv.raisedReportAt {
			sv.raisedReportAt = sv.measuredAt
			c.raiseRungs(sv)
		}
	}
}

// relieveShortage lowers rungs where more is asked than a link or uplink gives.
func (c *Controller) relieveShortage(link *linkLoad, sessions []*session, utilization float64) {
	threshold := lowerAbove
	if c.probesCostly { // then only notes tell, which are less noisy than reports
		threshold = 1 / fullDelivery
	}
	if len(sessions) == 0 || utilization <= threshold || c.now < link.ignoreUntil {
		return
	}
	factor := lowerTarget / utilization
	c.lowerRungs(sessions, c.allocateRungs(sessions, link.ownKB*factor), link.ownKB*(1-factor))
	link.reportedOthersKB *= factor
	link.ignoreUntil = c.now + reactionS
}

// raiseRungs raises sessions to the rungs that this manager's part of the room allows, or by one if the
// whole room allows it; chance then makes the sum over all managers right.
func (c *Controller) raiseRungs(sv *server) {
	free := c.freeKB(sv)
	r := sv.rack
	kb := sv.ownKB * min(free/(sv.ownKB+c.othersKB(sv)), c.rackFreeKB(r)/(r.ownKB+c.rackOthersKB(r)))
	shared, whole := c.allocateRungs(sv.sessions, sv.ownKB+kb), c.allocateRungs(sv.sessions, sv.ownKB+free)
	for i, s := range sv.sessions {
		to := max(shared[i], min(whole[i], s.rung+1))
		if to <= s.rung || s.playing && c.now-s.rungChangedAt < raiseIntervalS {
			continue
		}
		gain := c.cfg.LadderWorth[to] - c.cfg.LadderWorth[s.rung]
		need := c.rateKB(s, to) - c.rateKB(s, s.rung)
		if gain*c.remaining(s) > minRaiseGain*c.cfg.RungChangeCostS && c.random()*need < kb {
			kb -= need
			c.setRung(s, to)
		}
	}
}

// Reserves.

// updateReserves measures the classes' arrival rates and chooses the reserves by Equation 6, for a server
// of mean size and the traffic of all managers.
func (c *Controller) updateReserves() {
	slots, servers := 0.0, 0.0
	held, earned := make([]float64, len(c.cfg.Classes)), make([]float64, len(c.cfg.Classes))
	count := make([]float64, len(c.cfg.Classes))
	for _, sv := range c.serverOrder {
		if sv.State != Ready {
			continue
		}
		slots += c.capacityKB(sv) / c.slotKB
		servers++
		for _, s := range sv.sessions {
			held[s.class] += c.rateKB(s, s.rung) / c.slotKB
			earned[s.class] += s.worth * c.cfg.LadderWorth[s.rung]
			count[s.class]++
		}
	}
	if servers == 0 {
		return
	}
	c.meanSlots = slots / servers
	n := int(c.meanSlots)
	lambda, v, q := make([]float64, len(held)), make([]float64, len(held)), make([]float64, len(held))
	total := 0.0
	for k := range held {
		size, worth := c.cfg.Classes[k].RateScale,
			c.cfg.Classes[k].Worth*c.cfg.LadderWorth[len(c.cfg.RatesKB)/2]
		if count[k] > 0 {
			size, worth = held[k]/count[k], earned[k]/count[k]
		}
		lambda[k] = c.arrivalRate(k) * float64(c.cfg.Managers) / servers * size
		v[k] = worth / size
		q[k] = refusalPenalty * v[k]
		total += lambda[k]
	}
	if total <= 0 || n < 1 {
		return
	}
	for k := range lambda {
		c.classLoadShares[k] = lambda[k] / total
	}
	// Servers of more slots are modelled by a part of them, at that part of the load.
	scale := min(maxSearchSlots/c.meanSlots, 1)
	for k := range lambda {
		lambda[k] *= scale
	}
	for k, r := range searchReserves(min(n, maxSearchSlots), lambda, 1/c.meanLength(), v, q) {
		c.reservedSlots[k] = float64(r) / scale
	}
}

// searchReserves finds the reserves that earn most on n slots, one class at a time until none gains.
func searchReserves(n int, lambda []float64, mu float64, v, q []float64) []int {
	reserve, shared := make([]int, len(lambda)), n
	best := payoff(reserve, n, lambda, mu, v, q)
	for gained := true; gained; {
		gained = false
		for k := range reserve {
			kept, available := reserve[k], shared+reserve[k]
			for r := 0; r <= available; r++ {
				reserve[k] = r
				if p := payoff(reserve, available-r, lambda, mu, v, q); p > best+1e-9 {
					best, kept, gained = p, r, true
				}
			}
			reserve[k], shared = kept, available-kept
		}
	}
	return reserve
}

// payoff is Equation 6: classes are loss queues on their reserves that overflow into a shared loss queue
// of the remaining slots. An arrival earns v, less v and the penalty q if it is lost there too.
func payoff(reserve []int, shared int, lambda []float64, mu float64, v, q []float64) float64 {
	pay, spill, cost := 0.0, 0.0, 0.0
	for k, l := range lambda {
		overflow := l * erlangLoss(reserve[k], l/mu)
		pay += v[k] * l
		spill += overflow
		cost += overflow * (v[k] + q[k])
	}
	return pay - cost*erlangLoss(shared, spill/mu)
}

// erlangLoss is the share that n slots lose of an offered load (Erlang's loss formula).
func erlangLoss(n int, load float64) float64 {
	b := 1.0
	for i := 1; i <= n; i++ {
		b = load * b / (float64(i) + load*b)
	}
	return b
}
