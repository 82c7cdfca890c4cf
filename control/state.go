package control

import (
	"math"
	"slices"
	"sort"
)

// loadSample is this manager's own load on a link or an uplink from a time on.
type loadSample struct{ at, kb float64 }

// linkLoad is the load of a server's link or a rack's uplink, in kB a second. Reports
// are late, so what other managers ask of it is computed against this manager's own
// load at the time at which a report was measured.
type linkLoad struct {
	ownKB            float64
	history          []loadSample // of ownKB, oldest first
	reportedOthersKB float64
	measuredAt       float64 // when reportedOthersKB was last measured; -Inf: never
	ignoreUntil      float64 // until then reports don't yet show the last change of rungs
}

// rack is a group of servers that share an uplink.
type rack struct {
	linkLoad
	servers []*server
}

// server is what this manager knows of a media node.
type server struct {
	linkLoad
	Entry
	rack           *rack
	sessions       []*session // this manager's set-ups under way and established sessions
	ownKBByClass   []float64  // ownKB by class
	coldUntil      float64
	coldSince      float64 // assumed start, while now < coldUntil
	downAt         float64 // when its process was last known not to run
	nextSendAt     float64 // when a set-up may be sent again while it is cold
	probedAt       float64
	raisedReportAt float64 // measurement time of the report on which raising rungs was last tried
	ejectedUntil   float64
	reenabledAt    float64 // when an operator enabled it again
	lastAliveAt    float64 // the last sign of life
	unprovenErrors int     // since a session last started here, errors for titles that this manager has not seen play lately (titleMemoryS)
}

// candidate is a holder that may be sent a session; lower values are tried first.
type candidate struct {
	server      *server
	utilization float64
	tieBreak    uint64
}

// session is one request of one viewer, from its arrival to the end of its session.
type session struct {
	id               SessionID
	class            int
	title            uint64
	homeCell, copies int
	topRung          int // highest rung of its class and its viewer
	rung             int
	worth            float64
	deadline         float64
	startGoal        float64 // when it should play
	expectedEnd      float64 // 0: no length is expected
	server           *server // set while an attempt is under way or the session plays
	nextAttempt      int     // number of the next attempt, from 0
	sentAt           float64
	playing          bool
	playingSince     float64
	rungChangedAt    float64
	requestEnded     bool    // the request is over, though its attempt may not have ended yet
	waitUntil        float64 // when placing it is tried again
	tried            []*server
	probesUntil      float64 // when it stops waiting for probes; 0: none was sent
	inPeak           bool    // it belongs to an announced peak
}

// runningMean is an exponentially weighted mean of what is added to it.
type runningMean struct {
	value    float64
	hasValue bool
}

func (m *runningMean) add(value float64) {
	if !m.hasValue {
		m.value, m.hasValue = value, true
	}
	m.value += meanWeight * (value - m.value)
}

// tokenBucket limits the arrivals of a tenant. tokens is the number of arrivals allowed
// now, as of refilledAt.
type tokenBucket struct{ tokens, refilledAt float64 }

// titleClass is a key for the sessions of one title and class.
type titleClass struct {
	title uint64
	class int
}

// Controller makes the decisions of one manager.
type Controller struct {
	cfg              Settings
	now              float64
	actions          []Action
	seed             uint64
	startedAt        float64
	started          bool
	servers          map[ServerID]*server
	serverOrder      []*server // as first listed
	serversByCell    [][]*server
	racks            []*rack
	sessions         map[SessionID]*session
	waiting          []*session // sessions whose placing is postponed
	sessionsPerTitle map[titleClass]int
	lastPlayed       map[uint64]float64 // by title, when a session of it last started to play
	timeUnitS        float64            // seconds in a time unit, in which all times here are counted
	slotKB           float64            // rate of a slot, in kB a second

	ownKB             float64       // rate that this manager's sessions ask for, in kB a second
	tenantBuckets     []tokenBucket // by tenant
	arrivalTimes      [][]float64   // by class, recent ones
	budgetArrivals    []float64     // times of arrivals within the window of the retry budget
	retryTimes        []float64     // times of retries (second and later attempts) within it
	playedTime        float64       // sum of the lengths of sessions that have ended
	endedSessions     float64       // their number
	reservedSlots     []float64     // by class, slots on a server of meanSlots
	heldShares        []float64     // by class, shares of the slots that are held for announced peaks
	ration            rationState   // of the fleet, while a plan sets one
	meanSlots         float64       // mean slots of a server
	classLoadShares   []float64     // by class, its share of the offered load
	reserveUpdateAt   float64
	randomDraws       uint64
	totalLinkAt       float64 // when cachedTotalLinkKB was computed
	cachedTotalLinkKB float64
	zoneFailures      map[int]int     // by zone, failed connections since a sign of life of any server in it
	zoneLostUntil     map[int]float64 // by zone, when one that seems lost is tried again
	probesPending     int
	probeCredit       float64     // probes that probeForLoad may send now: each arrival adds a fraction, each probe takes one; used only if probesCostly
	probesCostly      bool        // probes for a single session cost more than they gain
	meanLoad          runningMean // fleet's load, in kB a second: reported utilization of links, times totalLinkKB
	meanUplinkLoad    runningMean // the same, by the reported utilization of uplinks
	fleetOwnRatio     runningMean // estimated sessions of the fleet (its load over meanRateKB) per session of this manager; countPrior is added to the latter
}

// scaleTimes converts the times in cfg from seconds to time units of unitS seconds
// each, and rates per second to rates per time unit, since the constants of this
// package suit sessions and deadlines of one typical length. Within the Controller,
// times are in time units then, also those whose names end in S.
func scaleTimes(cfg Settings, unitS float64) Settings {
	cfg.Classes, cfg.TenantQuotas = slices.Clone(cfg.Classes), slices.Clone(cfg.TenantQuotas)
	for i := range cfg.Classes {
		cfg.Classes[i].StartGoalS /= unitS
	}
	for i := range cfg.TenantQuotas {
		cfg.TenantQuotas[i] *= unitS
	}
	for _, t := range []*float64{&cfg.NoteDelayS, &cfg.RungChangeCostS, &cfg.WarmAfterS, &cfg.BudgetWindowS} {
		*t /= unitS
	}
	return cfg
}

func newLinkLoad() linkLoad { return linkLoad{measuredAt: math.Inf(-1)} }

// recordOwn records this manager's own load from now on, and drops samples that are
// too old for any report.
func (l *linkLoad) recordOwn(now, ownKB float64) {
	if n := len(l.history); n > 0 && l.history[n-1].at == now {
		l.history[n-1].kb = ownKB
	} else if n == 0 || ownKB != l.ownKB {
		l.history = append(l.history, loadSample{now, ownKB})
	}
	for len(l.history) > 1 && l.history[1].at < now-staleAfterS {
		l.history = l.history[1:]
	}
	l.ownKB = ownKB
}

// ownKBAt is this manager's own load at a time.
func (l *linkLoad) ownKBAt(t float64) float64 {
	for i := len(l.history) - 1; i >= 0; i-- {
		if l.history[i].at <= t {
			return l.history[i].kb
		}
	}
	return 0
}

// observe records a report that the load of all managers' sessions, as measured at the
// time at, was kb, in kB a second. weight, from 0 to 1, is the report's weight against a
// previous one of the same time; it rises to 1 against one older by reportBlendS.
func (l *linkLoad) observe(at, kb, weight float64) {
	if at < l.ignoreUntil || at < l.measuredAt {
		return
	}
	othersKB := max(kb-l.ownKBAt(at), 0)
	if age := at - l.measuredAt; age < reportBlendS {
		weight += (1 - weight) * age / reportBlendS
		othersKB = weight*othersKB + (1-weight)*l.reportedOthersKB
	}
	l.reportedOthersKB, l.measuredAt = othersKB, at
}

// dropBefore drops the times before t. They are sorted, and where many viewers come
// there are a hundred thousand of them.
func dropBefore(times []float64, t float64) []float64 {
	return times[sort.SearchFloat64s(times, t):]
}

// hash mixes two numbers into one: a is multiplied by the increment of SplitMix64, and
// its XOR with b passes through the finalizer of SplitMix64.
func hash(a, b uint64) uint64 {
	h := a*0x9e3779b97f4a7c15 ^ b
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// rebuildIndexes groups the listed servers by cell and rack, and removes gone servers
// on which no session of this manager is left.
func (c *Controller) rebuildIndexes() {
	for i := range c.serversByCell {
		c.serversByCell[i] = nil
	}
	for _, r := range c.racks {
		r.servers = nil
	}
	known := c.serverOrder
	c.serverOrder = nil
	for _, sv := range known {
		if sv.State == Gone && len(sv.sessions) == 0 {
			delete(c.servers, sv.Server)
			continue
		}
		c.serverOrder = append(c.serverOrder, sv)
		if sv.State != Gone {
			c.serversByCell[sv.Cell] = append(c.serversByCell[sv.Cell], sv)
			sv.rack.servers = append(sv.rack.servers, sv)
		}
	}
}

// hashToUnit maps two numbers to one from 0 to 1, evenly distributed.
func hashToUnit(a, b uint64) float64 { return float64(hash(a, b)>>11) / (1 << 53) }

// random returns a pseudo-random number from 0 to 1.
func (c *Controller) random() float64 {
	c.randomDraws++
	return hashToUnit(c.seed, c.randomDraws)
}

// titleHolders returns the listed servers in the cells that hold a session's title.
func (c *Controller) titleHolders(s *session) []*server {
	var holders []*server
	for i := 0; s.homeCell >= 0 && s.homeCell < c.cfg.Cells && i < min(s.copies, c.cfg.Cells); i++ {
		holders = append(holders, c.serversByCell[(s.homeCell+i)%c.cfg.Cells]...)
	}
	return holders
}

// recordFailure ejects a server for a while, and reports whether a connection to it
// failed.
func (sv *server) recordFailure(now float64, e Event) (connectFailed bool) {
	sv.ejectedUntil = now + ejectionS
	if e.ProcessDown {
		sv.downAt = now
	}
	return e.Status == ConnectFailed
}

// markAlive records a sign of life of a server, and so of its zone. If the process was
// down and the list does not show its restart yet, the restart is taken to be now, at
// the first sign of life. When the time of the failure was taken instead, every
// manager stopped limiting the set-ups to the cold server too early, by the downtime.
func (c *Controller) markAlive(sv *server) {
	if max(sv.lastAliveAt, sv.StartedAtS) < sv.downAt {
		c.markCold(sv, c.now)
	}
	sv.lastAliveAt, c.zoneFailures[sv.Zone] = c.now, 0
}

// silentFor is how long a server has given no sign of life since a time.
func (c *Controller) silentFor(sv *server, since float64) float64 {
	return c.now - max(since, sv.lastAliveAt)
}

// linkKB is the rate that a server's link should have, in kB a second; less while
// the server is cold.
func (c *Controller) linkKB(sv *server) float64 {
	kb := c.cfg.ExpectedLinkKB(sv.Entry, len(c.serverOrder))
	if c.now < sv.coldUntil && c.cfg.WarmAfterS > 0 {
		warmedShare := (c.now - sv.coldSince) / c.cfg.WarmAfterS
		kb *= c.cfg.StartCapacityShare + (1-c.cfg.StartCapacityShare)*min(max(warmedShare, 0), 1)
	}
	return kb
}

// totalLinkKB is the sum of the links of all servers in reach, computed once an
// event.
func (c *Controller) totalLinkKB() (kb float64) {
	if c.totalLinkAt == c.now {
		return c.cachedTotalLinkKB
	}
	for _, sv := range c.serverOrder {
		if sv.State == Ready && c.now >= c.zoneLostUntil[sv.Zone] {
			kb += c.linkKB(sv)
		}
	}
	c.totalLinkAt, c.cachedTotalLinkKB = c.now, max(kb, 1)
	return c.cachedTotalLinkKB
}

// maxStreams is how many streams a server can run, by its machine kind.
func (c *Controller) maxStreams(sv *server) float64 {
	if sv.MachineKind >= 0 && sv.MachineKind < len(c.cfg.MaxStreamsByKind) {
		return float64(c.cfg.MaxStreamsByKind[sv.MachineKind])
	}
	return math.Inf(1)
}

// updateOwnLoad sums this manager's own load on a server and its rack.
func (c *Controller) updateOwnLoad(sv *server) {
	ownKB := 0.0
	for k := range sv.ownKBByClass {
		sv.ownKBByClass[k] = 0
	}
	for _, s := range sv.sessions {
		ownKB += c.rateKB(s, s.rung)
		sv.ownKBByClass[s.class] += c.rateKB(s, s.rung)
	}
	change := ownKB - sv.ownKB
	c.ownKB += change
	sv.linkLoad.recordOwn(c.now, ownKB)
	sv.rack.linkLoad.recordOwn(c.now, sv.rack.ownKB+change)
}

// rateKB is the ladder's rate of a session at a rung, in kB a second.
func (c *Controller) rateKB(s *session, rung int) float64 {
	return c.cfg.RatesKB[rung] * c.cfg.Classes[s.class].RateScale
}

// meanRateKB is the mean rate that a session of this manager asks for, in kB a
// second.
func (c *Controller) meanRateKB() float64 {
	return (c.ownKB + c.slotKB) / float64(len(c.sessions)+1)
}

// meanLength is the mean length of the sessions that have ended, and of one of
// priorLengthS.
func (c *Controller) meanLength() float64 {
	return (c.playedTime + priorLengthS) / (c.endedSessions + 1)
}

// remaining is how long a session is expected to play on.
func (c *Controller) remaining(s *session) float64 {
	if s.expectedEnd > 0 {
		return max(s.expectedEnd-c.now, 0)
	}
	return c.meanLength()
}

// arrivalRate is a class's arrivals at this manager, per unit of time.
func (c *Controller) arrivalRate(class int) float64 {
	c.arrivalTimes[class] = dropBefore(c.arrivalTimes[class], c.now-arrivalWindowS)
	return float64(len(c.arrivalTimes[class])) / max(min(c.now-c.startedAt, arrivalWindowS), tickIntervalS)
}

// attach counts a session on a server until detach.
func (c *Controller) attach(s *session, sv *server) {
	s.server = sv
	c.spaceZoneSends(sv.Zone)
	sv.sessions = append(sv.sessions, s)
	c.sessionsPerTitle[titleClass{s.title, s.class}]++
	c.updateOwnLoad(sv)
}

// attachEstablished attaches a session that was established before this manager
// knew of it. Reports on its server until now counted it as other managers' load.
// Guard: left there it counted twice, and a manager that took over its
// predecessor's sessions took every link for full.
func (c *Controller) attachEstablished(s *session, sv *server, rung int) {
	s.rung = min(max(s.rung, rung), s.topRung)
	before := sv.ownKB
	c.attach(s, sv)
	sv.linkLoad.backdate(sv.ownKB - before)
	sv.rack.linkLoad.backdate(sv.ownKB - before)
}

// backdate treats kb of the present demand as asked for all along, by this manager
// and not by others.
func (l *linkLoad) backdate(kb float64) {
	if len(l.history) == 1 {
		l.history = append([]loadSample{{at: math.Inf(-1)}}, l.history...)
	}
	for i := range l.history[:len(l.history)-1] {
		l.history[i].kb += kb
	}
	l.reportedOthersKB = max(l.reportedOthersKB-kb, 0)
}

func (c *Controller) detach(s *session) {
	sv := s.server
	for i, o := range sv.sessions {
		if o == s {
			sv.sessions = append(sv.sessions[:i], sv.sessions[i+1:]...)
			break
		}
	}
	key := titleClass{s.title, s.class}
	if c.sessionsPerTitle[key]--; c.sessionsPerTitle[key] <= 0 {
		delete(c.sessionsPerTitle, key)
	}
	s.server, s.playing = nil, false
	c.updateOwnLoad(sv)
}

func (c *Controller) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Controller) setTimer(delay float64, token uint32) {
	c.emit(Action{Kind: ActionSetTimer, DelayS: delay, Token: token})
}

func (c *Controller) sendProbe(sv *server) {
	sv.probedAt = c.now
	c.probesPending++
	c.emit(Action{Kind: ActionProbe, Server: sv.Server})
}

func (c *Controller) setRung(s *session, rung int) {
	s.rung, s.rungChangedAt = rung, c.now
	c.updateOwnLoad(s.server)
	c.emit(Action{Kind: ActionSetRung, Session: s.id, Rung: rung})
}

// heldForOthersKB is what of a server's slots is held for other sessions than s, in
// kB a second: for the announced peaks of all classes, except those of its own
// class if it belongs to one.
func (c *Controller) heldForOthersKB(s *session, sv *server) float64 {
	share := 0.0
	for k, held := range c.heldShares {
		if k != s.class || !s.inPeak {
			share += held
		}
	}
	if share == 0 {
		return 0
	}
	return share * c.usableLinkKB(sv)
}

// capacityKB is the size of a server in kB a second: the least of its streams, its
// link and its part of the uplink.
func (c *Controller) capacityKB(sv *server) float64 {
	return min(c.maxStreams(sv)*c.slotKB, c.usableLinkKB(sv))
}

// rackFreeKB is what is free of an uplink, in kB a second.
func (c *Controller) rackFreeKB(r *rack) float64 {
	return TargetUtilization*c.cfg.RackUplinkKB - r.ownKB - c.rackOthersKB(r)
}

// usableLinkKB is what sessions may use of a server's link and its part of the
// uplink, in kB a second.
func (c *Controller) usableLinkKB(sv *server) float64 {
	return min(TargetUtilization*c.linkKB(sv), TargetUtilization*c.cfg.RackUplinkKB/float64(max(len(sv.rack.servers), 1)))
}

// actionsInSeconds returns the actions, with times in seconds.
func (c *Controller) actionsInSeconds() []Action {
	for i := range c.actions {
		a := &c.actions[i]
		a.SetupTimeoutS, a.DelayS, a.RetryAfterS = a.SetupTimeoutS*c.timeUnitS, a.DelayS*c.timeUnitS, a.RetryAfterS*c.timeUnitS
	}
	return c.actions
}

// CapacitySlots is the capacity of the usable servers, in slots of the middle rung's
// rate. A server that drains, is gone or stands in a zone that seems lost counts
// nothing. The capacity of a cold one, for which linkKB already reduces the rate of
// its link, is also multiplied by the elapsed share of its warm-up.
func (c *Controller) CapacitySlots() float64 {
	slots := 0.0
	for _, sv := range c.serverOrder {
		if sv.State != Ready || c.now < c.zoneLostUntil[sv.Zone] {
			continue
		}
		warmedShare := 1.0
		if c.now < sv.coldUntil && c.cfg.WarmAfterS > 0 {
			warmedShare = min(max((c.now-sv.coldSince)/c.cfg.WarmAfterS, 0), 1)
		}
		slots += c.capacityKB(sv) * warmedShare / c.slotKB
	}
	return slots
}

// LoadShare is this manager's estimated share of all managers' load, from 0 to 1:
// the rate that its sessions ask for over the fleet's reported load, or an even
// share without reports. It is at least a quarter of an even share.
func (c *Controller) LoadShare() float64 {
	evenShare := 1 / float64(c.cfg.Managers)
	if fleetKB := c.meanLoad.value; c.meanLoad.hasValue && fleetKB > 0 && c.ownKB > 0 {
		return min(max(c.ownKB/fleetKB, evenShare/4), 1)
	}
	return evenShare
}

// AvoidedServers returns how many ready servers are left out at the clock time now,
// in s: ejected after a fault, or in a zone that is blocked.
func (c *Controller) AvoidedServers(now float64) (n int) {
	for _, sv := range c.serverOrder {
		if sv.State == Ready && now/c.timeUnitS < max(sv.ejectedUntil, c.zoneBlockedUntil(sv.Zone)) {
			n++
		}
	}
	return n
}

// recordStart records that a server has just started, as its list entry says.
func (c *Controller) recordStart(sv *server, entry Entry) {
	c.markCold(sv, entry.StartedAtS)
	sv.ejectedUntil, c.zoneFailures[entry.Zone], c.zoneLostUntil[entry.Zone], sv.reenabledAt = 0, 0, 0, 0
	if entry.Reenabled { // it was restarted while it was disabled, so earlier reports don't apply
		sv.reenabledAt, sv.reportedOthersKB, sv.measuredAt = c.now, 0, c.now
	}
}

// dueAfterReenabling reports whether a cold server that an operator enabled again may
// be sent a session even if admitCold's random selection does not pick it, so that
// operators soon see it used. Each manager does so from its own random time on, which
// is within its send interval after the re-enabling. If that interval exceeds
// reenabledUseS, as with many managers, selection stays random.
func (c *Controller) dueAfterReenabling(sv *server) bool {
	interval := c.coldSendInterval(sv)
	return sv.reenabledAt > 0 && interval <= reenabledUseS && c.now >= sv.reenabledAt+interval*hashToUnit(c.seed, uint64(sv.Server))
}

// reenabledUseS, in time units, is the time within which a server that was enabled
// again is used.
const reenabledUseS = 4
