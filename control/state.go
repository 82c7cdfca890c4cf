package control

import (
	"math"
	"slices"
	"sort"
)

// A mark is a front's own load on a pipe from a time on.
type mark struct{ at, kb float64 }

// A pipe is a link or an uplink. Reports are late, so what others ask of it is
// reckoned against the front's own load at the time a report was measured.
type pipe struct {
	own      float64
	log      []mark
	others   float64
	seenAt   float64 // when others was last measured; -Inf: never
	quietTil float64 // until then reports don't yet show what was done
}

// A rack shares an uplink.
type rack struct {
	pipe
	servers []*server
}

// A server is what this front knows of one.
type server struct {
	pipe
	Entry
	rack     *rack
	sessions []*session // set-ups and plays of this front
	byClass  []float64  // own kB a second by class
	coldTil  float64
	coldAt   float64 // assumed start, while now < coldTil
	downAt   float64 // when its process was last known not to run
	nextSend float64
	probedAt float64
	raisedOn float64 // the report that rungs were last raised on
	restTil  float64
	backAt   float64 // when an operator put it back
	heardAt  float64 // the last sign of life
	faults   int     // errors on titles that never played, since the last start
}

// candidate is a holder in the order in which it is tried.
type candidate struct {
	sv  *server
	use float64
	tie uint64
}

// A session is one try of one viewer, from its arrival to its end.
type session struct {
	id         SessionID
	class      int
	title      uint64
	home, span int
	top        int
	rung       int
	worth      float64
	deadline   float64
	goal       float64
	hintEnd    float64 // expected end by hint; 0: no hint
	server     *server // set while an attempt is out or plays
	attempt    int     // number of the next attempt
	sentAt     float64
	playing    bool
	playedAt   float64
	changedAt  float64
	gone       bool    // the request is finished, its attempt still out
	keptTil    float64 // when it is tried again
	tried      []*server
	askTil     float64 // when it stops waiting for probes; 0: none asked
	own        bool    // of an announced peak
}

// A mean follows what is added to it.
type mean struct {
	v    float64
	seen bool
}

func (m *mean) add(v float64) {
	if !m.seen {
		m.v, m.seen = v, true
	}
	m.v += meanShare * (v - m.v)
}

// A bucket is what is left of a share since a time.
type bucket struct{ left, at float64 }

type seatKey struct {
	title uint64
	class int
}

// Controller makes the decisions of one front.
type Controller struct {
	set      Settings
	now      float64
	out      []Action
	seed     uint64
	started  float64
	begun    bool
	servers  map[ServerID]*server
	order    []*server // as first listed
	cells    [][]*server
	racks    []*rack
	sessions map[SessionID]*session
	waiting  []*session
	seats    map[seatKey]int
	titles   map[uint64]float64 // when each last started to play
	unit     float64            // s; all times of the module are counted in it
	middle   float64            // kB a second of a slot

	own       float64     // kB a second that this front's sessions ask for
	shares    []bucket    // what is left of each tenant's share
	arrivals  [][]float64 // recent times by class
	takenAt   []float64   // arrivals within the attempt budget's window
	extraAt   []float64   // further attempts within it
	playedS   float64
	ends      float64
	reserve   []float64 // slots by class on a server of meanSlots
	held      []float64 // parts of the slots held for announced peaks, by class
	ration    rations   // of the fleet, where a plan makes one
	meanSlots float64
	mix       []float64 // class shares of the load
	rescoreAt float64
	draws     uint64
	linksAt   float64 // when linksKB was reckoned
	linksKB   float64
	lost      map[int]int     // failures in a zone since a word from any server of it
	lostTil   map[int]float64 // when a zone that seems lost is tried again
	probesOut int
	credit    float64 // probes that arrivals have paid for, where they are dear
	dear      bool    // a session doesn't pay for probes of its own
	fleetUse  mean    // use of links as reported, times links()
	rackUse   mean    // likewise of uplinks
	crowd     mean    // the tighter of both likewise, over the mean size of own sessions
}

// inUnits counts the times of the settings in units. Where sessions and deadlines
// are shorter all else is quicker too, and the module's times are chosen for one
// pace. Rates grow likewise.
func inUnits(s Settings, unit float64) Settings {
	s.Classes, s.TenantQuotas = slices.Clone(s.Classes), slices.Clone(s.TenantQuotas)
	for i := range s.Classes {
		s.Classes[i].StartGoalS /= unit
	}
	for i := range s.TenantQuotas {
		s.TenantQuotas[i] *= unit
	}
	for _, t := range []*float64{&s.NoteDelayS, &s.RungChangeCostS, &s.WarmAfterS, &s.BudgetWindowS} {
		*t /= unit
	}
	return s
}

func newPipe() pipe { return pipe{seenAt: math.Inf(-1)} }

func (p *pipe) note(now, own float64) {
	if n := len(p.log); n > 0 && p.log[n-1].at == now {
		p.log[n-1].kb = own
	} else if n == 0 || own != p.own {
		p.log = append(p.log, mark{now, own})
	}
	for len(p.log) > 1 && p.log[1].at < now-staleS {
		p.log = p.log[1:]
	}
	p.own = own
}

func (p *pipe) ownAt(t float64) float64 {
	for i := len(p.log) - 1; i >= 0; i-- {
		if p.log[i].at <= t {
			return p.log[i].kb
		}
	}
	return 0
}

// observe takes a report that all asked for kb at time t.
func (p *pipe) observe(t, kb, weight float64) {
	if t < p.quietTil || t < p.seenAt {
		return
	}
	others := max(kb-p.ownAt(t), 0)
	if age := t - p.seenAt; age < blendS {
		weight += (1 - weight) * age / blendS
		others = weight*others + (1-weight)*p.others
	}
	p.others, p.seenAt = others, t
}

// since drops the times before t. They are in order, and where many viewers come
// there are a hundred thousand.
func since(times []float64, t float64) []float64 {
	return times[sort.SearchFloat64s(times, t):]
}

func hash(a, b uint64) uint64 {
	h := a*0x9e3779b97f4a7c15 ^ b
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// reindex sorts the listed servers by cell and rack, and forgets those that are
// gone once no session of this front is left there.
func (c *Controller) reindex() {
	for i := range c.cells {
		c.cells[i] = nil
	}
	for _, r := range c.racks {
		r.servers = nil
	}
	order := c.order
	c.order = nil
	for _, sv := range order {
		if sv.State == Gone && len(sv.sessions) == 0 {
			delete(c.servers, sv.Server)
			continue
		}
		c.order = append(c.order, sv)
		if sv.State != Gone {
			c.cells[sv.Cell] = append(c.cells[sv.Cell], sv)
			sv.rack.servers = append(sv.rack.servers, sv)
		}
	}
}

// chance maps two numbers to one from 0 to 1, evenly spread.
func chance(a, b uint64) float64 { return float64(hash(a, b)>>11) / (1 << 53) }

// draw is a random number from 0 to 1.
func (c *Controller) draw() float64 {
	c.draws++
	return chance(c.seed, c.draws)
}

// holdersOf returns the listed servers in the cells that hold a session's title.
func (c *Controller) holdersOf(s *session) []*server {
	var all []*server
	for i := 0; s.home >= 0 && s.home < c.set.Cells && i < min(s.span, c.set.Cells); i++ {
		all = append(all, c.cells[(s.home+i)%c.set.Cells]...)
	}
	return all
}

// failed has a server rest, and tells whether it could not be reached.
func (sv *server) failed(now float64, e Event) (silent bool) {
	sv.restTil = now + restS
	if e.ProcessDown {
		sv.downAt = now
	}
	return e.Status == ConnectFailed
}

// heard notes a sign of life of a server, and so of its zone. The first one since its process
// was down is where the start is dated that the list doesn't tell yet. Dated at the failure,
// every front's pace ended before the process was warm, by as long as it had been down.
func (c *Controller) heard(sv *server) {
	if max(sv.heardAt, sv.StartedAtS) < sv.downAt {
		c.markCold(sv, c.now)
	}
	sv.heardAt, c.lost[sv.Zone] = c.now, 0
}

// quiet is how long a server has given no sign of life since a time.
func (c *Controller) quiet(sv *server, since float64) float64 { return c.now - max(since, sv.heardAt) }

// link is what a server's link should give. A cold server's link is cold too.
func (c *Controller) link(sv *server) float64 {
	kb := c.set.ExpectedLinkKB(sv.Entry, len(c.order))
	if c.now < sv.coldTil && c.set.WarmAfterS > 0 {
		warm := (c.now - sv.coldAt) / c.set.WarmAfterS
		kb *= c.set.StartCapacityShare + (1-c.set.StartCapacityShare)*min(max(warm, 0), 1)
	}
	return kb
}

// links is what all servers in reach should give together; reckoned once an event.
func (c *Controller) links() (kb float64) {
	if c.linksAt == c.now {
		return c.linksKB
	}
	for _, sv := range c.order {
		if sv.State == Ready && c.now >= c.lostTil[sv.Zone] {
			kb += c.link(sv)
		}
	}
	c.linksAt, c.linksKB = c.now, max(kb, 1)
	return c.linksKB
}

// streams is how many streams a server runs at most, by its kind.
func (c *Controller) streams(sv *server) float64 {
	if sv.MachineKind >= 0 && sv.MachineKind < len(c.set.MaxStreamsByKind) {
		return float64(c.set.MaxStreamsByKind[sv.MachineKind])
	}
	return math.Inf(1)
}

// account sums the front's own load on a server and its rack.
func (c *Controller) account(sv *server) {
	own := 0.0
	for k := range sv.byClass {
		sv.byClass[k] = 0
	}
	for _, s := range sv.sessions {
		own += c.size(s, s.rung)
		sv.byClass[s.class] += c.size(s, s.rung)
	}
	d := own - sv.own
	c.own += d
	sv.pipe.note(c.now, own)
	sv.rack.pipe.note(c.now, sv.rack.own+d)
}

// size is the ladder's rate of a session at a rung, in kB a second.
func (c *Controller) size(s *session, rung int) float64 {
	return c.set.RatesKB[rung] * c.set.Classes[s.class].RateScale
}

// meanSize is what a session of this front asks for.
func (c *Controller) meanSize() float64 {
	return (c.own + c.middle) / float64(len(c.sessions)+1)
}

// hold is the mean length of a session as far as it was seen.
func (c *Controller) hold() float64 { return (c.playedS + priorHold) / (c.ends + 1) }

// leftOf is how long a session is expected to play on.
func (c *Controller) leftOf(s *session) float64 {
	if s.hintEnd > 0 {
		return max(s.hintEnd-c.now, 0)
	}
	return c.hold()
}

// rate is a class's arrivals per second at this front.
func (c *Controller) rate(k int) float64 {
	c.arrivals[k] = since(c.arrivals[k], c.now-ratesS)
	return float64(len(c.arrivals[k])) / max(min(c.now-c.started, ratesS), tickS)
}

// attach counts a session on a server until detach.
func (c *Controller) attach(s *session, sv *server) {
	s.server = sv
	c.sentTo(sv.Zone)
	sv.sessions = append(sv.sessions, s)
	c.seats[seatKey{s.title, s.class}]++
	c.account(sv)
}

// adopt attaches a session that played before this front knew of it. What was reported of
// its server until now counted it as others'. Guard: left there it counted twice, and a
// front that is handed its predecessor's sessions took every link for full.
func (c *Controller) adopt(s *session, sv *server, rung int) {
	s.rung = min(max(s.rung, rung), s.top)
	was := sv.own
	c.attach(s, sv)
	sv.pipe.backdate(sv.own - was)
	sv.rack.pipe.backdate(sv.own - was)
}

// backdate takes kb of what is asked for now as having been asked for all along, by this
// front and not by others.
func (p *pipe) backdate(kb float64) {
	if len(p.log) == 1 {
		p.log = append([]mark{{at: math.Inf(-1)}}, p.log...)
	}
	for i := range p.log[:len(p.log)-1] {
		p.log[i].kb += kb
	}
	p.others = max(p.others-kb, 0)
}

func (c *Controller) detach(s *session) {
	sv := s.server
	for i, o := range sv.sessions {
		if o == s {
			sv.sessions = append(sv.sessions[:i], sv.sessions[i+1:]...)
			break
		}
	}
	key := seatKey{s.title, s.class}
	if c.seats[key]--; c.seats[key] <= 0 {
		delete(c.seats, key)
	}
	s.server, s.playing = nil, false
	c.account(sv)
}

func (c *Controller) emit(a Action) { c.out = append(c.out, a) }

func (c *Controller) wake(d float64, token uint32) {
	c.emit(Action{Kind: ActionSetTimer, DelayS: d, Token: token})
}

func (c *Controller) probe(sv *server) {
	sv.probedAt = c.now
	c.probesOut++
	c.emit(Action{Kind: ActionProbe, Server: sv.Server})
}

func (c *Controller) setRung(s *session, rung int) {
	s.rung, s.changedAt = rung, c.now
	c.account(s.server)
	c.emit(Action{Kind: ActionSetRung, Session: s.id, Rung: rung})
}

// heldFrom is what of a server's slots is held for others than s, in kB a second: for
// the announced peaks of all classes, but of its own class if it is of one of them.
func (c *Controller) heldFrom(s *session, sv *server) float64 {
	part := 0.0
	for k, h := range c.held {
		if k != s.class || !s.own {
			part += h
		}
	}
	if part == 0 {
		return 0
	}
	return part * c.wide(sv)
}

// slots is the size of a server in kB a second: the least of its streams, its
// link and its part of the uplink.
func (c *Controller) slots(sv *server) float64 {
	return min(c.streams(sv)*c.middle, c.wide(sv))
}

// rackRoom is what is free of an uplink, in kB a second.
func (c *Controller) rackRoom(r *rack) float64 {
	return TargetUtilization*c.set.RackUplinkKB - r.own - c.othersOnRack(r)
}

// wide is what a server's link and its part of the uplink let through, in kB a
// second.
func (c *Controller) wide(sv *server) float64 {
	return min(TargetUtilization*c.link(sv), TargetUtilization*c.set.RackUplinkKB/float64(max(len(sv.rack.servers), 1)))
}

// inSeconds is what is to be done, with its times counted as the broker does.
func (c *Controller) inSeconds() []Action {
	for i := range c.out {
		a := &c.out[i]
		a.SetupTimeoutS, a.DelayS, a.RetryAfterS = a.SetupTimeoutS*c.unit, a.DelayS*c.unit, a.RetryAfterS*c.unit
	}
	return c.out
}

// CapacitySlots is what the usable servers give, in slots of the middle rung's rate: nothing
// of one that drains, is gone or stands in a zone that seems lost, and of a cold one
// what has warmed.
func (c *Controller) CapacitySlots() float64 {
	slots := 0.0
	for _, sv := range c.order {
		if sv.State != Ready || c.now < c.lostTil[sv.Zone] {
			continue
		}
		warm := 1.0
		if c.now < sv.coldTil && c.set.WarmAfterS > 0 {
			warm = min(max((c.now-sv.coldAt)/c.set.WarmAfterS, 0), 1)
		}
		slots += c.slots(sv) * warm / c.middle
	}
	return slots
}

// LoadShare is the part of all fronts' sessions that this one seems to have: by what it
// asks for of what is reported, or even without reports.
func (c *Controller) LoadShare() float64 {
	even := 1 / float64(c.set.Managers)
	if all := c.fleetUse.v; c.fleetUse.seen && all > 0 && c.own > 0 {
		return min(max(c.own/all, even/4), 1)
	}
	return even
}

// AvoidedServers returns how many servers in service are left out at a time in s: resting
// after a fault, or in a zone that seems lost.
func (c *Controller) AvoidedServers(now float64) (n int) {
	for _, sv := range c.order {
		if sv.State == Ready && now/c.unit < max(sv.restTil, c.shutTil(sv.Zone)) {
			n++
		}
	}
	return n
}

// welcome takes a server as just started, as its list tells.
func (c *Controller) welcome(sv *server, n Entry) {
	c.markCold(sv, n.StartedAtS)
	sv.restTil, c.lost[n.Zone], c.lostTil[n.Zone], sv.backAt = 0, 0, 0, 0
	if n.Reenabled { // it was restarted while it was out: what reports said of it is of before
		sv.backAt, sv.others, sv.seenAt = c.now, 0, c.now
	}
}

// due tells whether a server that an operator put back is owed its first session, by no
// lot but a time of this front's own within its pace: operators see that it is used.
// Where fronts are many their paces are long, and the lot stays.
func (c *Controller) due(sv *server) bool {
	pace := c.pace(sv)
	return sv.backAt > 0 && pace <= backS && c.now >= sv.backAt+pace*chance(c.seed, uint64(sv.Server))
}

// backS is within which a server that was put back is used, in s.
const backS = 4
