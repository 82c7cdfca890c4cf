package control

import (
	"math"
	"slices"
	"sort"
)

// A mark is a front's own load on a pipe from a time on.
type loadSample struct{ at, kb float64 }

// A pipe is a link or an uplink. Reports are late, so what others ask of it is
// reckoned against the front's own load at the time a report was measured.
type linkLoad struct {
	ownKB            float64
	history          []loadSample
	reportedOthersKB float64
	measuredAt       float64 // when others was last measured; -Inf: never
	ignoreUntil      float64 // until then reports don't yet show what was done
}

// A rack shares an uplink.
type rack struct {
	linkLoad
	servers []*server
}

// A server is what this front knows of one.
type server struct {
	linkLoad
	Entry
	rack           *rack
	sessions       []*session // set-ups and plays of this front
	ownKBByClass   []float64  // own kB a second by class
	coldUntil      float64
	coldSince      float64 // assumed start, while now < coldTil
	downAt         float64 // when its process was last known not to run
	nextSendAt     float64
	probedAt       float64
	raisedReportAt float64 // the report that rungs were last raised on
	ejectedUntil   float64
	reenabledAt    float64 // when an operator put it back
	lastAliveAt    float64 // the last sign of life
	unprovenErrors int     // errors on titles that never played, since the last start
}

// candidate is a holder in the order in which it is tried.
type candidate struct {
	server      *server
	utilization float64
	tieBreak    uint64
}

// A session is one try of one viewer, from its arrival to its end.
type session struct {
	id               SessionID
	class            int
	title            uint64
	homeCell, copies int
	topRung          int
	rung             int
	worth            float64
	deadline         float64
	startGoal        float64
	expectedEnd      float64 // expected end by hint; 0: no hint
	server           *server // set while an attempt is out or plays
	nextAttempt      int     // number of the next attempt
	sentAt           float64
	playing          bool
	playingSince     float64
	rungChangedAt    float64
	requestEnded     bool    // the request is finished, its attempt still out
	waitUntil        float64 // when it is tried again
	tried            []*server
	probesUntil      float64 // when it stops waiting for probes; 0: none asked
	inPeak           bool    // of an announced peak
}

// A mean follows what is added to it.
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

// A bucket is what is left of a share since a time.
type tokenBucket struct{ tokens, refilledAt float64 }

type titleClass struct {
	title uint64
	class int
}

// Controller makes the decisions of one front.
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
	waiting          []*session
	sessionsPerTitle map[titleClass]int
	lastPlayed       map[uint64]float64 // when each last started to play
	timeUnitS        float64            // s; all times of the module are counted in it
	slotKB           float64            // kB a second of a slot

	ownKB             float64       // kB a second that this front's sessions ask for
	tenantBuckets     []tokenBucket // what is left of each tenant's share
	arrivalTimes      [][]float64   // recent times by class
	budgetArrivals    []float64     // arrivals within the attempt budget's window
	repeatTimes       []float64     // further attempts within it
	playedTime        float64
	endedSessions     float64
	reservedSlots     []float64   // slots by class on a server of meanSlots
	heldShares        []float64   // parts of the slots held for announced peaks, by class
	ration            rationState // of the fleet, where a plan makes one
	meanSlots         float64
	classLoadShares   []float64 // class shares of the load
	reserveUpdateAt   float64
	randomDraws       uint64
	totalLinkAt       float64 // when linksKB was reckoned
	cachedTotalLinkKB float64
	zoneFailures      map[int]int     // failures in a zone since a word from any server of it
	zoneLostUntil     map[int]float64 // when a zone that seems lost is tried again
	probesPending     int
	probeCredit       float64     // probes that arrivals have paid for, where they are dear
	probesCostly      bool        // a session doesn't pay for probes of its own
	meanLoad          runningMean // use of links as reported, times links()
	meanUplinkLoad    runningMean // likewise of uplinks
	sessionRatio      runningMean // the tighter of both likewise, over the mean size of own sessions
}

// scaleTimes counts the times of the settings in units. Where sessions and deadlines
// are shorter all else is quicker too, and the module's times are chosen for one
// pace. Rates grow likewise.
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

func (l *linkLoad) ownKBAt(t float64) float64 {
	for i := len(l.history) - 1; i >= 0; i-- {
		if l.history[i].at <= t {
			return l.history[i].kb
		}
	}
	return 0
}

// observe takes a report that all asked for kb at time t.
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

// dropBefore drops the times before t. They are in order, and where many viewers come
// there are a hundred thousand.
func dropBefore(times []float64, t float64) []float64 {
	return times[sort.SearchFloat64s(times, t):]
}

func hash(a, b uint64) uint64 {
	h := a*0x9e3779b97f4a7c15 ^ b
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// rebuildIndexes sorts the listed servers by cell and rack, and forgets those that are
// gone once no session of this front is left there.
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

// hashToUnit maps two numbers to one from 0 to 1, evenly spread.
func hashToUnit(a, b uint64) float64 { return float64(hash(a, b)>>11) / (1 << 53) }

// random is a random number from 0 to 1.
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

// recordFailure has a server rest, and tells whether it could not be reached.
func (sv *server) recordFailure(now float64, e Event) (connectFailed bool) {
	sv.ejectedUntil = now + ejectionS
	if e.ProcessDown {
		sv.downAt = now
	}
	return e.Status == ConnectFailed
}

// markAlive notes a sign of life of a server, and so of its zone. The first one since its process
// was down is where the start is dated that the list doesn't tell yet. Dated at the failure,
// every front's pace ended before the process was warm, by as long as it had been down.
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

// linkKB is what a server's link should give. A cold server's link is cold too.
func (c *Controller) linkKB(sv *server) float64 {
	kb := c.cfg.ExpectedLinkKB(sv.Entry, len(c.serverOrder))
	if c.now < sv.coldUntil && c.cfg.WarmAfterS > 0 {
		warmedShare := (c.now - sv.coldSince) / c.cfg.WarmAfterS
		kb *= c.cfg.StartCapacityShare + (1-c.cfg.StartCapacityShare)*min(max(warmedShare, 0), 1)
	}
	return kb
}

// totalLinkKB is what all servers in reach should give together; reckoned once an event.
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

// maxStreams is how many streams a server runs at most, by its kind.
func (c *Controller) maxStreams(sv *server) float64 {
	if sv.MachineKind >= 0 && sv.MachineKind < len(c.cfg.MaxStreamsByKind) {
		return float64(c.cfg.MaxStreamsByKind[sv.MachineKind])
	}
	return math.Inf(1)
}

// updateOwnLoad sums the front's own load on a server and its rack.
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

// meanRateKB is what a session of this front asks for.
func (c *Controller) meanRateKB() float64 {
	return (c.ownKB + c.slotKB) / float64(len(c.sessions)+1)
}

// meanLength is the mean length of a session as far as it was seen.
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

// arrivalRate is a class's arrivals per second at this front.
func (c *Controller) arrivalRate(class int) float64 {
	c.arrivalTimes[class] = dropBefore(c.arrivalTimes[class], c.now-arrivalWindowS)
	return float64(len(c.arrivalTimes[class])) / max(min(c.now-c.startedAt, arrivalWindowS), tickIntervalS)
}

// attach counts a session on a server until detach.
func (c *Controller) attach(s *session, sv *server) {
	s.server = sv
	c.countZoneSend(sv.Zone)
	sv.sessions = append(sv.sessions, s)
	c.sessionsPerTitle[titleClass{s.title, s.class}]++
	c.updateOwnLoad(sv)
}

// attachEstablished attaches a session that played before this front knew of it. What was reported of
// its server until now counted it as others'. Guard: left there it counted twice, and a
// front that is handed its predecessor's sessions took every link for full.
func (c *Controller) attachEstablished(s *session, sv *server, rung int) {
	s.rung = min(max(s.rung, rung), s.topRung)
	before := sv.ownKB
	c.attach(s, sv)
	sv.linkLoad.backdate(sv.ownKB - before)
	sv.rack.linkLoad.backdate(sv.ownKB - before)
}

// backdate takes kb of what is asked for now as having been asked for all along, by this
// front and not by others.
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

// heldForOthersKB is what of a server's slots is held for others than s, in kB a second: for
// the announced peaks of all classes, but of its own class if it is of one of them.
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

// usableLinkKB is what a server's link and its part of the uplink let through, in kB a
// second.
func (c *Controller) usableLinkKB(sv *server) float64 {
	return min(TargetUtilization*c.linkKB(sv), TargetUtilization*c.cfg.RackUplinkKB/float64(max(len(sv.rack.servers), 1)))
}

// actionsInSeconds is what is to be done, with its times counted as the broker does.
func (c *Controller) actionsInSeconds() []Action {
	for i := range c.actions {
		a := &c.actions[i]
		a.SetupTimeoutS, a.DelayS, a.RetryAfterS = a.SetupTimeoutS*c.timeUnitS, a.DelayS*c.timeUnitS, a.RetryAfterS*c.timeUnitS
	}
	return c.actions
}

// CapacitySlots is what the usable servers give, in slots of the middle rung's rate: nothing
// of one that drains, is gone or stands in a zone that seems lost, and of a cold one
// what has warmed.
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

// LoadShare is the part of all fronts' sessions that this one seems to have: by what it
// asks for of what is reported, or even without reports.
func (c *Controller) LoadShare() float64 {
	evenShare := 1 / float64(c.cfg.Managers)
	if fleetKB := c.meanLoad.value; c.meanLoad.hasValue && fleetKB > 0 && c.ownKB > 0 {
		return min(max(c.ownKB/fleetKB, evenShare/4), 1)
	}
	return evenShare
}

// AvoidedServers returns how many servers in service are left out at a time in s: resting
// after a fault, or in a zone that seems lost.
func (c *Controller) AvoidedServers(now float64) (n int) {
	for _, sv := range c.serverOrder {
		if sv.State == Ready && now/c.timeUnitS < max(sv.ejectedUntil, c.zoneBlockedUntil(sv.Zone)) {
			n++
		}
	}
	return n
}

// recordStart takes a server as just started, as its list tells.
func (c *Controller) recordStart(sv *server, entry Entry) {
	c.markCold(sv, entry.StartedAtS)
	sv.ejectedUntil, c.zoneFailures[entry.Zone], c.zoneLostUntil[entry.Zone], sv.reenabledAt = 0, 0, 0, 0
	if entry.Reenabled { // it was restarted while it was out: what reports said of it is of before
		sv.reenabledAt, sv.reportedOthersKB, sv.measuredAt = c.now, 0, c.now
	}
}

// dueAfterReenabling tells whether a server that an operator put back is owed its first session, by no
// lot but a time of this front's own within its pace: operators see that it is used.
// Where fronts are many their paces are long, and the lot stays.
func (c *Controller) dueAfterReenabling(sv *server) bool {
	interval := c.coldSendInterval(sv)
	return sv.reenabledAt > 0 && interval <= reenabledUseS && c.now >= sv.reenabledAt+interval*hashToUnit(c.seed, uint64(sv.Server))
}

// reenabledUseS is within which a server that was put back is used, in s.
const reenabledUseS = 4
