// The decisions of a manager. The interface (Settings, Event, Action) is in api.go, the state that is kept
// in state.go. In the order in which a session meets them: the server list, load and room, admission,
// attempts, notes and reports, rungs in play, and re-scoring.

package control

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

const (
	// Slots.
	TargetUtilization = 0.9 // of a link or uplink that slots may fill; the rest absorbs spread
	penalty           = 0.5 // a refusal's cost, in parts of the worth (Eq. 6's q)
	rescoreS          = 10  // s between re-scorings of the reserves
	ratesS            = 30  // s of arrivals that a re-scoring measures
	priorHold         = 60  // s, a session's length till ends are seen; long errs to caution in raising rungs
	usualGoal         = 1.5 // s, the goal that all times here suit; where it is shorter, they shrink with it
	mostSlots         = 256 // slots that a re-scoring searches; it takes their square in time
	staleS            = 12  // s after which what a report said of others' load is dropped

	// Rungs in play.
	tickS       = 0.5  // s between looks at the links; shorter answers a shortage sooner, for more CPU
	shortUse    = 1.08 // use above which rungs are lowered; what lies under 0.98 of a rate costs dearly
	lowerTo     = 0.95 // use that lowering aims at
	slackUse    = 0.7  // use under which rungs are raised; far from shortUse, so that it doesn't swing
	raiseGain   = 3    // a raise must be expected to earn so many times its switch cost
	dwellS      = 6    // s between raises of one session; keeps an on-and-off neighbour from swinging it
	firstProbes = 3    // single ones that a front makes at its start
	unseen      = 1    // added to the use of a holder whose load isn't known, where it can be asked for
	evenHeld    = 8    // sessions beside a front's own by which its count damps as a sign of the crowd
	roomLife    = 2    // s since a server's last sign of life, up to which room is made there
	roomGain    = 1.5  // a newcomer must be worth so many times what lowering others for it costs
	roomPart    = 0.5  // of the room that a newcomer leaves if all other arrivals are of other fronts
	probePart   = 0.01 // part of the sessions' worth that dear probes of single servers may cost
	probeS      = 30   // s between probes of a server that tells its load in no other way; each is priced
	smooth      = 0.7  // weight of a new note against an older one of about the same time
	smoothLoad  = 0.25 // weight of a load report likewise; it is noisier
	blendS      = 3    // s after which an older report counts no more beside a new one
	capped      = 0.99 // load_share from which a link may be asked for more than it says
	fullShare   = 0.98 // delivered share under which sessions lose
	leastShare  = 0.05 // delivered share, at the least; bounds what one note can say
	reportLagS  = 0.3  // s, how old a load report is taken to be
	reactS      = 1    // s, beyond the notes' lateness, until a report can show what others did

	// Health.
	strangeN   = 6     // errors on titles that never played, with no start between, that rest a server
	titlesS    = 60    // s for which a title is remembered to have played
	lostN      = 3     // failures in a zone, with no word from any server of it, that rest the zone
	lostS      = 4     // s that it rests, give or take a half by lot
	restS      = 2     // s that a server rests after a full or failing answer
	silentS    = 1     // s a set-up may be unanswered before its server is left alone
	patienceS  = 0.4   // s, the shortest time-out of a set-up that may be sent again
	paceShare  = 0.7   // part of a front's pace to a cold server that is used; the rest is for chance
	askN       = 2     // holders probed at most for a session whose holders' load isn't known
	askPrice   = 0.04  // most that these probes may cost, in parts of the session's worth
	askS       = 0.15  // s that a session waits for these probes
	freshS     = 2     // s for which a report spares a probe at an arrival
	emptyPart  = 0.15  // of what a server was taken to be asked for: under it, it has just started
	emptyFrom  = 8     // sessions that it was taken to have, at the least; fewer end by chance
	viewerS    = 8     // s in which a front is taken to have one viewer for a cold server
	crowdS     = 1     // s in which it is taken to have no more arrivals than one
	meanShare  = 0.25  // weight of one report in the mean use of the fleet
	floodTimes = 6     // times a tenant's share from which arrivals are a flood; few of them are within it
	floodBurst = 5     // arrivals of a tenant that a front takes at once; they come by chance
	tinyS      = 0.001 // s by which a wake may come early, clocks being rounded
	awayS      = 1     // s that a refused viewer is asked to stay away, till reports tell of change
	marginS    = 0.03  // s before a deadline at which nothing more is begun
)

const (
	tokenTick = iota
	tokenPace
	tokenWatch
)

// New returns a Controller, or an error that names the setting it can't act on.
func New(set Settings, seed uint64) (*Controller, error) {
	if err := validate(&set); err != nil {
		return nil, err
	}
	unit := 0.0
	for _, k := range set.Classes {
		unit = min(max(unit, k.StartGoalS/usualGoal), 1)
	}
	set = inUnits(set, unit)
	c := &Controller{
		set: set, unit: unit, seed: seed,
		servers: make(map[ServerID]*server), sessions: make(map[SessionID]*session),
		seats: make(map[seatKey]int), cells: make([][]*server, set.Cells),
		shares: make([]bucket, len(set.TenantQuotas)), arrivals: make([][]float64, len(set.Classes)),
		reserve: make([]float64, len(set.Classes)),
		mix:     make([]float64, len(set.Classes)),
		middle:  set.RatesKB[len(set.RatesKB)/2],
		titles:  make(map[uint64]float64),
		lost:    make(map[int]int), lostTil: make(map[int]float64),
		credit: firstProbes,
		dear:   askN*(set.ProbeCost+set.HandshakeCost) > askPrice,
	}
	for range max(set.Racks, 1) {
		c.racks = append(c.racks, &rack{pipe: newPipe()})
	}
	return c, nil
}

// Handle takes one event and returns what to do, in order. The slice is valid
// until the next call.
func (c *Controller) Handle(now float64, e Event) []Action {
	c.now, c.out = now/c.unit, c.out[:0]
	e.TimeLeftS, e.ExpectedLengthS = e.TimeLeftS/c.unit, e.ExpectedLengthS/c.unit
	if !c.begun {
		c.begun, c.started, c.rescoreAt = true, c.now, c.now+rescoreS/5
		c.wake(tickS, tokenTick)
		if c.set.SubscribeToList {
			c.emit(Action{Kind: ActionSubscribe})
		}
	}
	switch s := c.sessions[e.Session]; {
	case e.Kind == EventList:
		c.onList(e)
	case e.Kind == EventArrival:
		c.onArrive(e)
	case e.Kind == EventEstablished:
		c.onOpen(e)
	case e.Kind == EventTimer:
		c.onTimer(e.Token)
	case e.Kind == EventProbeResult:
		c.onProbed(e)
	case e.Kind == EventHold || e.Kind == EventRation:
		c.planned(e)
	case s == nil: // the rest is news of a session; this one has ended
	case e.Kind == EventStarted:
		c.onFirst(s, e)
	case e.Kind == EventAttemptEnded:
		c.onEnd(s, e)
	case e.Kind == EventAbandoned:
		if s.gone = true; s.server == nil { // else its attempt still gets an end
			delete(c.sessions, s.id)
		}
	case e.Kind == EventNote:
		c.onNote(s, e)
	}
	return c.inSeconds()
}

// The server list.

func (c *Controller) onList(e Event) {
	if e.List == ListFailed {
		if c.set.SubscribeToList {
			c.wake(1, tokenWatch)
		}
		return
	}
	if e.List != ListDelta {
		for _, sv := range c.order { // what a whole list lacks is gone
			sv.State = Gone
		}
	}
	for _, n := range e.Entries {
		c.listEntry(n)
	}
	c.reindex()
}

func (c *Controller) listEntry(n Entry) {
	n.StartedAtS /= c.unit
	if n.Cell < 0 || n.Cell >= c.set.Cells {
		return
	}
	sv := c.servers[n.Server]
	if sv == nil {
		sv = &server{pipe: newPipe(), byClass: make([]float64, len(c.set.Classes))}
		c.servers[n.Server] = sv
		c.order = append(c.order, sv)
	}
	if n.StartedAtS > sv.StartedAtS && n.StartedAtS+c.set.WarmAfterS > c.now {
		c.welcome(sv, n)
	}
	sv.Entry, sv.rack = n, c.racks[n.Cell%len(c.racks)]
	c.account(sv)
}

// markCold takes a server as just started. It guards against pushing over a
// process that restarted before the list says so; it costs some pace on a
// server that only broke a connection.
func (c *Controller) markCold(sv *server, at float64) {
	sv.coldAt = max(sv.coldAt, at)
	sv.coldTil = max(sv.coldTil, at+c.set.WarmAfterS)
}

// pace is the least time between this front's sends to a cold server.
func (c *Controller) pace(sv *server) float64 {
	rate := c.set.ColdSetupMultiple * c.streams(sv) * c.set.StartCapacityShare * paceShare
	if rate <= 0 {
		return 0
	}
	return c.set.WarmAfterS * float64(c.set.Managers) / rate
}

// admitCold tells whether a session may be sent to a cold server at all. Each front's
// pace allows a first send at once, and many fronts have one to make when a
// server is listed or all others are full. It harms where few viewers come: a
// new server fills more slowly.
func (c *Controller) admitCold(s *session, sv *server) bool {
	crowd := 0.0 // where this front's viewers come at once, those of all do
	for _, times := range c.arrivals {
		crowd += float64(len(since(times, c.now-crowdS)))
	}
	part := viewerS / c.pace(sv) / max(crowd, 1)
	return c.now >= sv.coldTil || c.due(sv) || chance(c.seed^uint64(s.id), uint64(sv.Server)) < part
}

// paced tells whether sends to sv are paced: the list or an error says that
// it started within the warm-up. A young front learns of starts from the list
// it is started with, as old ones do; pacing all its servers besides cost a
// restarted front one new connection a set-up.
func (c *Controller) paced(sv *server) bool {
	return c.now < sv.coldTil
}

// emptied tells whether a report shows so little on a server that it must have started
// again, beside what it was taken to have and what the fleet has. It harms where sessions
// went for another reason: the server is paced for a warm-up.
func (c *Controller) emptied(sv *server, kb, at float64) bool {
	had := min(sv.ownAt(at)+c.othersOn(sv), c.fleetUse.v/c.links()*c.link(sv))
	return c.now > sv.coldTil+staleS && had > emptyFrom*c.meanSize() && kb < emptyPart*had
}

// Load and room.

// othersOn is what other fronts ask of a server's link: as last reported, or
// without a fresh report an even share of what this front's own load suggests.
func (c *Controller) othersOn(sv *server) float64 {
	if c.now-sv.seenAt < staleS {
		return sv.others
	}
	if c.fleetUse.seen {
		return max(c.fleetUse.v/c.links()*c.link(sv)-sv.own, 0)
	}
	return c.own * float64(c.set.Managers-1) / float64(max(len(c.order), 1))
}

func (c *Controller) othersOnRack(r *rack) float64 {
	if c.now-r.seenAt < staleS {
		return r.others
	}
	if c.rackUse.seen {
		return max(c.rackUse.v/c.links()*c.set.RackUplinkKB-r.own, 0)
	}
	if c.fleetUse.seen { // how racks differ is not told; a guess sends all fronts to the same one
		return max(c.fleetUse.v/float64(len(c.racks))-r.own, 0)
	}
	sum := 0.0
	for _, sv := range r.servers {
		sum += c.othersOn(sv)
	}
	return sum
}

// use is the share of the tighter of link and uplink that is asked for.
func (c *Controller) use(sv *server) float64 {
	return max((sv.own+c.othersOn(sv))/c.link(sv), (sv.rack.own+c.othersOnRack(sv.rack))/c.set.RackUplinkKB)
}

// room is what is free of a server's slots, in kB a second.
func (c *Controller) room(sv *server) float64 {
	others := c.othersOn(sv)
	room := min(TargetUtilization*c.link(sv)-sv.own-others, c.rackRoom(sv.rack))
	if held := float64(len(sv.sessions)) + others/c.meanSize(); held+1 > c.streams(sv) {
		return min(room, 0)
	}
	return room
}

// free is what a session may fill: its class's reserve, then the shared part. What
// other classes have reserved and not filled is not free, nor what is held.
func (c *Controller) free(sv *server, s *session) float64 {
	free := c.room(sv) - c.heldFrom(s, sv)
	others := c.othersOn(sv)
	for k := range c.set.Classes {
		if k != s.class && c.meanSlots > 0 {
			reserved := c.reserve[k] / c.meanSlots * c.slots(sv)
			free -= max(reserved-sv.byClass[k]-others*c.mix[k], 0)
		}
	}
	return free
}

// Admission.

func (c *Controller) onArrive(e Event) {
	if c.sessions[e.Session] != nil {
		return
	}
	if e.Class < 0 || e.Class >= len(c.set.Classes) {
		c.emit(Action{Kind: ActionRefuse, Session: e.Session, RetryAfterS: awayS})
		return
	}
	s := c.newSession(e)
	c.arrivals[s.class] = append(c.arrivals[s.class], c.now)
	c.credit = min(c.credit+probePart/max(c.set.ProbeCost, probePart), firstProbes)
	if c.set.BudgetWindowS > 0 {
		c.takenAt = append(c.takenAt, c.now)
	}
	if c.flooded(e.Tenant) && max(c.fleetUse.v, c.rackUse.v) > slackUse*c.links() || c.rationed(s) {
		c.answer(s, ActionRefuse)
		return
	}
	c.place(s)
}

// flooded takes an arrival from its tenant's share and tells whether so many
// come that few can be within it. While the fleet is tight these are refused,
// or they take the room of sessions that are worth ten times as much. It harms
// where the front's own viewers of a tenant are many by chance.
func (c *Controller) flooded(tenant int) bool {
	if tenant < 0 || tenant >= len(c.set.TenantQuotas) || c.set.TenantQuotas[tenant] <= 0 {
		return false
	}
	b := &c.shares[tenant]
	rate := floodTimes * c.set.TenantQuotas[tenant] / float64(c.set.Managers)
	b.left, b.at = min(b.left+(c.now-b.at)*rate, floodBurst), c.now
	if b.left < 1 {
		return true
	}
	b.left--
	return false
}

func (c *Controller) newSession(e Event) *session {
	k := c.set.Classes[e.Class]
	left := e.TimeLeftS
	if !notNegative(left) {
		left = 0
	}
	s := &session{
		id: e.Session, class: e.Class, title: e.Title, home: e.HomeCell, span: e.Copies,
		rung: k.FloorRung, worth: k.Worth, deadline: c.now + left, goal: c.now + k.StartGoalS,
		top: min(k.TopRung, len(c.set.RatesKB)-1), own: e.InPeak,
	}
	if e.MaxRung < float64(s.top) {
		s.top = int(max(e.MaxRung, -1))
	}
	if positive(e.ExpectedLengthS) {
		s.hintEnd = c.now + e.ExpectedLengthS
	}
	c.sessions[s.id] = s
	return s
}

func (c *Controller) onOpen(e Event) {
	sv := c.servers[e.Server]
	if sv == nil || e.Class < 0 || e.Class >= len(c.set.Classes) || c.sessions[e.Session] != nil {
		return
	}
	s := c.newSession(e)
	s.attempt, s.playing, s.playedAt, s.changedAt = 1, true, c.now, c.now-dwellS
	c.adopt(s, sv, e.Rung)
	c.titles[s.title] = c.now
}

// place sends a session to the least used holder with a free slot of its class,
// or answers it at once.
func (c *Controller) place(s *session) {
	k := &c.set.Classes[s.class]
	if c.now >= s.deadline-marginS || s.attempt >= c.set.AttemptsCap || s.attempt > 0 && !c.mayRepeat() ||
		s.top < k.FloorRung || k.MaxPerTitle > 0 && c.seats[seatKey{s.title, s.class}] >= k.MaxPerTitle {
		c.answer(s, ActionRefuse)
		return
	}
	if c.ask(s) {
		c.keep(s, s.askTil)
		return
	}
	list, later := c.holders(s)
	for _, h := range list {
		if free := c.free(h.sv, s); free >= c.size(s, k.FloorRung) {
			c.send(s, h.sv, c.fit(s, h.sv, free))
			return
		}
	}
	if len(list) == 0 && later < min(s.goal, s.deadline-marginS) {
		c.keep(s, later)
		return
	}
	for _, h := range list {
		if c.makeRoom(s, h.sv) {
			c.send(s, h.sv, k.FloorRung)
			return
		}
	}
	c.answer(s, ActionRefuse)
}

// makeRoom lowers sessions in play on a full holder, where that costs less than a
// viewer who would be refused is worth: the upper steps earn little for their
// rate. It harms where the newcomer leaves soon, since each change is paid.
func (c *Controller) makeRoom(s *session, sv *server) bool {
	if c.quiet(sv, 0) > roomLife || float64(len(sv.sessions)+1)+c.othersOn(sv)/c.meanSize() > c.streams(sv) {
		return false
	}
	floor := c.set.Classes[s.class].FloorRung
	need := c.size(s, floor) - c.free(sv, s)
	gain := s.worth * c.set.LadderWorth[floor] * c.hold()
	var down []*session
	for need > 0 {
		var best *session
		cost, freed := 0.0, 0.0
		for _, o := range sv.sessions {
			if !o.playing || o.rung <= c.set.Classes[o.class].FloorRung || slices.Contains(down, o) {
				continue
			}
			kb := c.size(o, o.rung) - c.size(o, o.rung-1)
			loss := o.worth * (c.set.LadderWorth[o.rung] - c.set.LadderWorth[o.rung-1]) * c.leftOf(o)
			if loss += o.worth * c.set.RungChangeCostS; best == nil || loss/kb < cost/freed {
				best, cost, freed = o, loss, kb
			}
		}
		if gain -= roomGain * cost; best == nil || gain <= 0 {
			return false
		}
		down = append(down, best)
		need -= freed
	}
	for _, o := range down {
		c.setRung(o, o.rung-1)
	}
	return true
}

// keep makes a session wait until a time, or until a probe is answered.
func (c *Controller) keep(s *session, til float64) {
	s.keptTil = max(til, c.now+marginS)
	c.waiting = append(c.waiting, s)
	c.wake(s.keptTil-c.now, tokenPace)
}

// ask probes some of the holders whose load isn't known, drawn by lot, before a
// session is placed, and tells whether an answer is still awaited. Each probe is
// priced; where they are dear, none is made here.
func (c *Controller) ask(s *session) bool {
	if s.askTil > 0 || c.set.LoadReporting == LoadReportsNone || !c.set.ProbesAllowed || c.dear {
		return c.now < s.askTil-tinyS && c.probesOut > 0
	}
	s.askTil = c.now
	list, _ := c.holders(s)
	var unknown, near []*server
	for _, h := range list {
		if c.now-h.sv.seenAt >= freshS {
			unknown = append(unknown, h.sv)
			if h.sv.Zone == c.set.Zone {
				near = append(near, h.sv)
			}
		}
	}
	n := len(list) - len(unknown)
	if len(near) >= askN { // a crossing is priced
		unknown = near
	}
	for ; n < askN && len(unknown) > 0; n++ {
		i := int(c.draw() * float64(len(unknown)))
		c.probe(unknown[i])
		s.askTil = c.now + askS
		unknown = append(unknown[:i], unknown[i+1:]...)
	}
	return s.askTil > c.now
}

// holders lists the usable holders of a session's title, least used first. If
// a cold one is only held back by its pace, it also tells when it may be used.
func (c *Controller) holders(s *session) (list []candidate, later float64) {
	later = math.Inf(1)
	for _, sv := range c.holdersOf(s) {
		if !c.usable(s, sv) || !c.admitCold(s, sv) {
			continue
		}
		if c.paced(sv) && sv.nextSend > c.now {
			later = min(later, sv.nextSend)
			continue
		}
		use := c.use(sv)
		if sv.Zone != c.set.Zone {
			use += c.set.CrossZoneCost // a crossing is priced
		}
		tie := hash(s.title, uint64(sv.Server))
		if stale := c.now-sv.seenAt >= staleS; stale && c.dear { // at the mean, by an own lot
			tie = hash(c.seed^uint64(s.id), uint64(sv.Server))
		} else if stale {
			use += unseen
		}
		list = append(list, candidate{sv, use, tie})
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.use, b.use), cmp.Compare(a.tie, b.tie))
	})
	return list, later
}

// usable tells whether a holder may be sent a session at all.
func (c *Controller) usable(s *session, sv *server) bool {
	if sv.State != Ready || c.now < max(sv.restTil, c.shutTil(sv.Zone)) {
		return false
	}
	for _, t := range s.tried {
		if t == sv {
			return false
		}
	}
	for _, o := range sv.sessions { // a silent server takes work and answers nothing
		if !o.playing && c.quiet(sv, o.sentAt) > silentS {
			return false
		}
	}
	return true
}

// mayRepeat tells whether the budget allows one more further attempt.
func (c *Controller) mayRepeat() bool {
	if c.set.BudgetWindowS <= 0 {
		return true
	}
	c.takenAt = since(c.takenAt, c.now-c.set.BudgetWindowS+marginS)
	c.extraAt = since(c.extraAt, c.now-c.set.BudgetWindowS-marginS)
	return float64(len(c.extraAt)+1) <= c.set.BudgetFree+c.set.BudgetShare*float64(len(c.takenAt))
}

// fit is the top rung that the viewer allows and that fits a new session's
// part of the room: the rung it would have if this front's sessions there were
// levelled out over what they may fill.
func (c *Controller) fit(s *session, sv *server, free float64) int {
	floor := c.set.Classes[s.class].FloorRung
	if c.now-sv.seenAt >= staleS && c.fleetUse.seen && !c.dear {
		return floor
	}
	list := append(append([]*session(nil), sv.sessions...), s)
	part := 1 - roomPart*(1-1/float64(c.set.Managers)) // the others' arrivals count on the rest
	kb := sv.own + free*part
	if c.slots(sv) < c.middle*float64(c.set.Managers) {
		list, kb = c.fleetShare(s)
	}
	rung := c.level(list, kb)[len(list)-1]
	for rung > floor && c.size(s, rung) > free {
		rung--
	}
	return rung
}

// fleetShare is all that this front holds, with s, and what that may ask for if the
// whole fleet is levelled out. Where a front's share of a server is under one slot,
// its sessions there say nothing, and all fronts fill the room that each sees before a
// report tells. What is asked for over the front's own count and size of sessions
// changes slowly, whatever the fronts do. It harms where these are unlike the fleet's.
func (c *Controller) fleetShare(s *session) (list []*session, kb float64) {
	for _, sv := range c.order {
		list = append(list, sv.sessions...)
	}
	list = append(list, s)
	n := float64(len(list))
	if c.crowd.seen {
		return list, n / (n + evenHeld) * TargetUtilization * c.links() / c.crowd.v
	}
	return list, min(TargetUtilization*c.links()/float64(c.set.Managers), n*c.middle)
}

// level gives each session the rung that earns most within kb: from the floors
// up, always the step that earns most for its rate.
func (c *Controller) level(list []*session, kb float64) []int {
	rungs := make([]int, len(list))
	for i, s := range list {
		rungs[i] = c.set.Classes[s.class].FloorRung
		kb -= c.size(s, rungs[i])
	}
	for {
		best, gain := -1, 0.0
		for i, s := range list {
			if r := rungs[i]; r < c.topOf(s) && c.size(s, r+1)-c.size(s, r) <= kb {
				if g := c.stepWorth(s, r); g > gain {
					best, gain = i, g
				}
			}
		}
		if best < 0 {
			return rungs
		}
		s := list[best]
		kb -= c.size(s, rungs[best]+1) - c.size(s, rungs[best])
		rungs[best]++
	}
}

// stepWorth is what the step above rung r earns for its rate.
func (c *Controller) stepWorth(s *session, r int) float64 {
	return s.worth * (c.set.LadderWorth[r+1] - c.set.LadderWorth[r]) / (c.size(s, r+1) - c.size(s, r))
}

// lower sets sessions to rungs under their present ones until kb is saved.
func (c *Controller) lower(list []*session, rungs []int, kb float64) {
	for kb > 0 {
		best, most := -1, 0.0 // few large changes cost less than many small ones
		for i, o := range list {
			if d := c.size(o, o.rung) - c.size(o, min(rungs[i], o.rung)); d > most {
				best, most = i, d
			}
		}
		if best < 0 || kb < most && c.draw()*most > kb {
			break // a lot keeps the sum over all fronts
		}
		kb -= most
		c.setRung(list[best], rungs[best])
	}
}

func (c *Controller) send(s *session, sv *server, rung int) {
	k := &c.set.Classes[s.class]
	if s.attempt > 0 && c.set.BudgetWindowS > 0 {
		c.extraAt = append(c.extraAt, c.now)
	}
	s.attempt++
	s.sentAt, s.rung = c.now, rung
	sv.nextSend = c.now + c.pace(sv)
	c.emit(Action{Kind: ActionSetRung, Session: s.id, Rung: rung})
	patience := 0.0 // an early time-out of a set-up that must not run twice forfeits it
	if left := s.goal - c.now; k.RepeatEffect != AtMostOnce && left > 0 {
		patience = max(left/2, patienceS)
	}
	c.emit(Action{Kind: ActionSetUp, Session: s.id, Server: sv.Server, SetupTimeoutS: patience})
	c.attach(s, sv)
}

// answer gives the final answer to a session that has no attempt out.
func (c *Controller) answer(s *session, kind ActionKind) {
	a := Action{Kind: kind, Session: s.id}
	if kind == ActionRefuse {
		a.RetryAfterS = c.away(s)
	}
	c.emit(a)
	s.gone = true
	delete(c.sessions, s.id)
}

// Attempts.

func (c *Controller) onFirst(s *session, e Event) {
	if s.server != nil && s.server.Server == e.Server && !s.playing {
		s.playing, s.playedAt, s.changedAt = true, c.now, c.now
		s.server.faults = 0
		c.heard(s.server)
		c.titles[s.title] = c.now
	}
}

func (c *Controller) onEnd(s *session, e Event) {
	sv := s.server
	if sv == nil || e.Attempt != s.attempt-1 {
		return
	}
	if s.playing {
		c.playedS += c.now - s.playedAt
		c.ends++
	}
	c.onLoad(sv, e.Load)
	c.detach(s)
	c.judge(s, sv, e)
	if e.RequestFinished || s.gone {
		delete(c.sessions, s.id)
		return
	}
	s.tried = append(s.tried, sv)
	unseen := e.Status == Full || e.Status == ConnectFailed || e.Status == NotSent
	if !unseen && c.set.Classes[s.class].RepeatEffect != Idempotent { // it may have run, not to be repeated
		c.answer(s, ActionFail)
		return
	}
	c.place(s)
}

// judge keeps a server's health by how its attempts end. Guard: what may be the
// fault of the set-up or of its connection is not held against a server that
// serves others, or a few bad viewers would rest the whole fleet.
func (c *Controller) judge(s *session, sv *server, e Event) {
	switch e.Status {
	case OK, Cancelled, NotSent:
		return
	case ConnectionReset, ConnectFailed: // its process may be gone or have come back cold
		if e.ConnectionOnly {
			return
		}
		c.markCold(sv, c.now)
	case TimedOut:
		if c.quiet(sv, 0) < patienceS {
			return
		}
	case Errored:
		c.heard(sv)
		if _, known := c.titles[s.title]; !known {
			if sv.faults++; sv.faults < strangeN {
				return
			}
		}
	case Full:
		c.heard(sv)
		if c.set.FullAtUtilization > 0 {
			sv.observe(c.now, max(c.set.FullAtUtilization*c.link(sv), sv.own+c.othersOn(sv)), smooth)
		}
	}
	c.rest(sv, e)
}

// rest leaves a server alone for a while, and its zone once several of it in a row
// could not be reached while another zone is heard of: at size each front would fail
// on each server else. It harms where just these were at fault.
func (c *Controller) rest(sv *server, e Event) {
	silent := sv.failed(c.now, e)
	if silent {
		c.lost[sv.Zone]++
	}
	lives := func(o *server) bool { return o.State == Ready && o.Zone != sv.Zone && c.lost[o.Zone] == 0 }
	if silent && c.lost[sv.Zone] >= lostN && slices.ContainsFunc(c.order, lives) {
		c.lostTil[sv.Zone] = c.now + lostS*(0.5+c.draw())
	}
}

// Notes and reports.

func (c *Controller) onNote(s *session, e Event) {
	sv := s.server
	if sv == nil || sv.Server != e.Server || !notNegative(e.Value) || e.Value > 100 {
		return
	}
	c.lost[sv.Zone] = 0
	at := c.now - c.set.NoteDelayS
	if e.Note != NoteDeliveredShare && c.now-s.sentAt < c.set.NoteDelayS { // sent at set-up: of now
		at = c.now
	}
	switch e.Note {
	case NoteRung:
		if r := int(e.Value); r < len(c.set.RatesKB) {
			s.rung = r
			c.account(sv)
		}
	case NoteDeliveredShare:
		kb := c.link(sv) / max(e.Value, leastShare)
		if e.Value < fullShare && kb > sv.own+c.othersOn(sv) {
			sv.observe(at, kb, 1) // smoothed where it is measured
		}
	case NoteLinkUtilization:
		sv.observe(at, e.Value*c.link(sv), smooth)
	case NoteUplinkUtilization:
		sv.rack.observe(at, e.Value*c.set.RackUplinkKB, smooth)
	}
}

func (c *Controller) onProbed(e Event) {
	c.probesOut = max(c.probesOut-1, 0)
	if sv := c.servers[e.Server]; sv != nil && e.Status == OK {
		c.heard(sv)
		c.onLoad(sv, e.Load)
	} else if sv != nil && e.Status != NotSent && c.quiet(sv, 0) > patienceS {
		c.rest(sv, e)
	}
	c.placeWaiting(true)
}

func (c *Controller) onLoad(sv *server, load []float64) {
	at, tight := c.now-reportLagS, -1.0 // the tighter use; other fields, such as counts, say nothing of it
	for i, v := range load {
		if sv == nil || i >= len(c.set.LoadFields) || !notNegative(v) || v > 100 {
			continue
		}
		switch c.set.LoadFields[i] {
		case "x0", "load_share": // at its cap, a share of load says no more than that
			tight = max(tight, v)
			kb := v * c.link(sv)
			if c.emptied(sv, kb, at) { // it restarted, and the list hides it
				c.markCold(sv, at)
			}
			c.fleetUse.add(min(v, 2) * c.links())
			if c.set.LoadFields[i] == "x0" || v < capped || kb > sv.own+c.othersOn(sv) {
				sv.observe(at, kb, smoothLoad)
			}
		case "x1":
			tight = max(tight, v)
			c.rackUse.add(min(v, 2) * c.links())
			sv.rack.observe(at, v*c.set.RackUplinkKB, smoothLoad)
		}
	}
	if tight >= 0 {
		c.crowd.add(tight * c.links() / c.meanSize() / float64(len(c.sessions)+evenHeld))
	}
}

// Rungs in play.

func (c *Controller) onTimer(token uint32) {
	switch token {
	case tokenPace:
		c.placeWaiting(false)
	case tokenWatch:
		c.emit(Action{Kind: ActionSubscribe})
	case tokenTick:
		c.wake(tickS, tokenTick)
		c.placeWaiting(false)
		c.probeAll()
		c.balance()
		if c.now >= c.rescoreAt {
			c.rescoreAt = c.now + rescoreS
			c.rescore()
			maps.DeleteFunc(c.titles, func(_ uint64, at float64) bool { return at < c.now-titlesS })
		}
	}
}

// placeWaiting tries again what has waited long enough, or for an answer.
func (c *Controller) placeWaiting(answered bool) {
	list := c.waiting
	c.waiting = nil
	for _, s := range list {
		if answered && c.now < s.askTil || c.now >= s.keptTil-tinyS {
			if !s.gone {
				c.place(s)
			}
			continue
		}
		c.waiting = append(c.waiting, s)
	}
}

// probeAll asks servers in play for their load where they tell it in no other
// way. Where probes are dear it asks one at a time, of the rack that was heard of
// least lately, as often as its arrivals pay for: so fronts don't ask in step.
func (c *Controller) probeAll() {
	if c.set.LoadReporting != LoadReportsInProbes || !c.set.ProbesAllowed {
		return
	}
	var best *server
	for _, sv := range c.order {
		if sv.State != Ready || c.now < sv.probedAt+probeS || len(sv.sessions) == 0 {
			continue
		}
		if !c.dear {
			c.probe(sv)
		} else if best == nil || sv.rack.seenAt < best.rack.seenAt {
			best = sv
		}
	}
	if best != nil && c.credit >= 1 {
		c.credit--
		c.probe(best)
	}
}

// balance answers a shortage under way, whatever its cause, and uses lasting
// slack. All fronts hear the same reports, so each lowers its own load by the
// same factor, and raises by its part of the room. It harms where a report is
// false: rungs fall, and rise again only after a switch is paid.
func (c *Controller) balance() {
	for _, r := range c.racks {
		var list []*session
		for _, sv := range r.servers {
			list = append(list, sv.sessions...)
		}
		c.ease(&r.pipe, list, (r.own+c.othersOnRack(r))/c.set.RackUplinkKB)
	}
	for _, sv := range c.order {
		if len(sv.sessions) == 0 {
			continue
		}
		c.ease(&sv.pipe, sv.sessions, (sv.own+c.othersOn(sv))/c.link(sv))
		if c.use(sv) < slackUse && c.now >= sv.restTil && c.now-sv.seenAt < staleS &&
			sv.seenAt > sv.raisedOn {
			sv.raisedOn = sv.seenAt
			c.raise(sv)
		}
	}
}

// ease lowers rungs where more is asked than a link or uplink gives.
func (c *Controller) ease(p *pipe, list []*session, use float64) {
	short := shortUse
	if c.dear { // notes tell then, which are less noisy than reports
		short = 1 / fullShare
	}
	if len(list) == 0 || use <= short || c.now < p.quietTil {
		return
	}
	keep := lowerTo / use
	c.lower(list, c.level(list, p.own*keep), p.own*(1-keep))
	p.others *= keep
	p.quietTil = c.now + reactS
}

func (c *Controller) raise(sv *server) {
	room := c.room(sv)
	r := sv.rack
	kb := sv.own * min(room/(sv.own+c.othersOn(sv)), c.rackRoom(r)/(r.own+c.othersOnRack(r)))
	own, all := c.level(sv.sessions, sv.own+kb), c.level(sv.sessions, sv.own+room)
	for i, s := range sv.sessions {
		to := max(own[i], min(all[i], s.rung+1))
		if to <= s.rung || s.playing && c.now-s.changedAt < dwellS {
			continue
		}
		gain := c.set.LadderWorth[to] - c.set.LadderWorth[s.rung]
		need := c.size(s, to) - c.size(s, s.rung)
		if gain*c.leftOf(s) > raiseGain*c.set.RungChangeCostS && c.draw()*need < kb {
			kb -= need
			c.setRung(s, to)
		}
	}
}

// Re-scoring.

// rescore measures the classes' rates and chooses the reserves by Equation 6,
// for a server of mean size and the traffic of all fronts.
func (c *Controller) rescore() {
	slots, servers := 0.0, 0.0
	held, earned := make([]float64, len(c.set.Classes)), make([]float64, len(c.set.Classes))
	count := make([]float64, len(c.set.Classes))
	for _, sv := range c.order {
		if sv.State != Ready {
			continue
		}
		slots += c.slots(sv) / c.middle
		servers++
		for _, s := range sv.sessions {
			held[s.class] += c.size(s, s.rung) / c.middle
			earned[s.class] += s.worth * c.set.LadderWorth[s.rung]
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
		size, worth := c.set.Classes[k].RateScale,
			c.set.Classes[k].Worth*c.set.LadderWorth[len(c.set.RatesKB)/2]
		if count[k] > 0 {
			size, worth = held[k]/count[k], earned[k]/count[k]
		}
		lambda[k] = c.rate(k) * float64(c.set.Managers) / servers * size
		v[k] = worth / size
		q[k] = penalty * v[k]
		total += lambda[k]
	}
	if total <= 0 || n < 1 {
		return
	}
	for k := range lambda {
		c.mix[k] = lambda[k] / total
	}
	// Servers of more slots are scored by a part of them, at that part of the load.
	part := min(mostSlots/c.meanSlots, 1)
	for k := range lambda {
		lambda[k] *= part
	}
	for k, r := range search(min(n, mostSlots), lambda, 1/c.hold(), v, q) {
		c.reserve[k] = float64(r) / part
	}
}

// search finds the reserves that pay most on n slots, one class's reserve at a
// time until none gains.
func search(n int, lambda []float64, mu float64, v, q []float64) []int {
	reserve, shared := make([]int, len(lambda)), n
	best := payoff(reserve, n, lambda, mu, v, q)
	for gained := true; gained; {
		gained = false
		for k := range reserve {
			keep, left := reserve[k], shared+reserve[k]
			for r := 0; r <= left; r++ {
				reserve[k] = r
				if p := payoff(reserve, left-r, lambda, mu, v, q); p > best+1e-9 {
					best, keep, gained = p, r, true
				}
			}
			reserve[k], shared = keep, left-keep
		}
	}
	return reserve
}

// payoff is Equation 6: classes are loss queues on their reserves that spill
// into a shared loss queue of the remaining slots. All are worth v, less v and
// the penalty for those that are lost there too.
func payoff(reserve []int, shared int, lambda []float64, mu float64, v, q []float64) float64 {
	pay, spill, cost := 0.0, 0.0, 0.0
	for k, l := range lambda {
		over := l * erlangLoss(reserve[k], l/mu)
		pay += v[k] * l
		spill += over
		cost += over * (v[k] + q[k])
	}
	return pay - cost*erlangLoss(shared, spill/mu)
}

// erlangLoss is the share lost of an offered load on n slots.
func erlangLoss(n int, load float64) float64 {
	b := 1.0
	for i := 1; i <= n; i++ {
		b = load * b / (float64(i) + load*b)
	}
	return b
}
