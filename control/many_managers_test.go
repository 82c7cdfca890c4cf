package control

import "testing"

// newManyManagers is a deployment in which a manager sees almost nothing of the
// load: a hundred managers, twelve servers, loads told in probe results only.
func newManyManagers(t *testing.T) *harness {
	t.Helper()
	cfg := settings()
	cfg.Managers, cfg.Cells, cfg.ProbesAllowed, cfg.LoadReporting = 100, 12, true, LoadReportsInProbes
	cfg.FleetLinkKB, cfg.RackUplinkKB = 48000, 24000
	h := newHarness(t, cfg)
	states := make([]ServerState, 12)
	for i := range states {
		states[i] = Ready
	}
	h.sendList(ListFull, states...)
	return h
}

func countActions(acts []Action, kind ActionKind) (n int) {
	for _, a := range acts {
		if a.Kind == kind {
			n++
		}
	}
	return n
}

// A session whose holders' load is unknown waits for two probes, and goes to the
// holder that reports the lower load; a missing result delays it by probeWaitS.
func TestProbesBeforePlacing(t *testing.T) {
	h := newManyManagers(t)
	acts := h.arrive(1, 1)
	if countActions(acts, ActionProbe) != maxSessionProbes || findAction(acts, ActionSetUp) != nil {
		t.Fatalf("no two probes, or a set-up, at the arrival: %+v", acts)
	}
	first, second := acts[0].Server, acts[1].Server
	acts = h.handle(Event{Kind: EventProbeResult, Server: first, Load: []float64{0.8, 0.5}})
	if findAction(acts, ActionSetUp) != nil {
		t.Fatalf("placed before the second probe result: %+v", acts)
	}
	acts = h.handle(Event{Kind: EventProbeResult, Server: second, Load: []float64{0.3, 0.5}})
	if got := h.mustSetUp(acts); got != second {
		t.Errorf("set-up at server %d, the least used is %d", got, second)
	}
	h.now += freshReportS + 1
	acts = h.handle(Event{Kind: EventArrival, Session: 2, Class: 1, Title: 7, TimeLeftS: 5, HomeCell: 6, Copies: 4, MaxRung: 4})
	if countActions(acts, ActionProbe) == 0 {
		t.Fatalf("no probe in %+v", acts)
	}
	h.now += probeWaitS + 0.01
	if acts = h.handle(Event{Kind: EventTimer, Token: tokenRetryWaiting}); findAction(acts, ActionSetUp) == nil {
		t.Errorf("no set-up without a probe result: %+v", acts)
	}
}

// Managers choose the holders they probe at random; otherwise all would probe the
// same two.
func TestManagersProbeDifferentHolders(t *testing.T) {
	asked := map[ServerID]bool{}
	for seed := uint64(1); seed <= 20; seed++ {
		h := newManyManagers(t)
		h.controller.seed = seed
		for _, a := range h.arrive(1, 1) {
			if a.Kind == ActionProbe {
				asked[a.Server] = true
			}
		}
	}
	if len(asked) < 4 {
		t.Errorf("20 managers probed %d of 4 holders", len(asked))
	}
}

// A server that doesn't answer a probe gets no set-ups for a while.
func TestProbeTimeOutEjectsServer(t *testing.T) {
	h := newManyManagers(t)
	acts := h.arrive(1, 1)
	first, second := acts[0].Server, acts[1].Server
	h.handle(Event{Kind: EventProbeResult, Server: second, Load: []float64{0.85, 0.5}})
	if got := h.mustSetUp(h.handle(Event{Kind: EventProbeResult, Server: first, Status: TimedOut})); got == first {
		t.Errorf("set-up at the server that did not answer")
	}
}

// A holder of unknown load comes after those of known load, however full these are,
// and gets new sessions at their floor rung.
func TestUnknownLoadComesLastAtFloorRung(t *testing.T) {
	h := newManyManagers(t)
	acts := h.answerProbes(h.arrive(1, 1), 0.7)
	if sv := h.controller.servers[h.mustSetUp(acts)]; h.controller.now-sv.measuredAt >= staleAfterS {
		t.Errorf("a server of unknown load was used before those that were probed")
	}
	h = newManyManagers(t)
	h.controller.meanLoad.add(0.5)
	h.arrive(2, 1)
	h.now += probeWaitS + 0.01
	acts = h.handle(Event{Kind: EventTimer, Token: tokenRetryWaiting})
	h.mustSetUp(acts)
	if a := findAction(acts, ActionSetRung); a.Rung != 0 {
		t.Errorf("rung %d on a server of unknown load", a.Rung)
	}
}

// The mean load of reported servers and uplinks stands for those without a report.
func TestFleetMeanStandsForUnknownLoad(t *testing.T) {
	h := newManyManagers(t)
	h.answerProbes(h.arrive(1, 1), 0.8)
	sv := h.controller.servers[12]
	if h.controller.now-sv.measuredAt < staleAfterS {
		t.Fatal("server 12 has a report, though it does not hold the title")
	}
	if u := h.controller.utilization(sv); u < 0.75 || u > 0.85 {
		t.Errorf("utilization %v of a server without a report, want about the 0.8 of others", u)
	}
}

// Where no report tells of uplinks, managers don't all take the same rack for the
// emptiest because of its listed links.
func TestRacksOfUnknownLoadCountAlike(t *testing.T) {
	sent := make([]int, 2)
	for seed := uint64(1); seed <= 100; seed++ {
		h := newManyManagers(t)
		h.controller.seed, h.controller.probesCostly, h.controller.cfg.LoadFields = seed, true, []string{"x0"}
		e := Event{Kind: EventList, List: ListFull}
		for i := range 12 {
			e.Entries = append(e.Entries, Entry{Server: ServerID(i + 1), State: Ready, Cell: i, Weight: 1 + float64(i%2)/4})
		}
		h.handle(e)
		h.handle(Event{Kind: EventProbeResult, Server: 1, Load: []float64{0.5}})
		got := h.mustSetUp(h.handle(Event{Kind: EventArrival, Session: 1, Class: 1, Title: 9, TimeLeftS: 5, Copies: 12, MaxRung: 4}))
		sent[int(got-1)%2]++
	}
	if min(sent[0], sent[1]) < 20 {
		t.Errorf("a hundred managers sent %v to the two racks", sent)
	}
}

// Whether a manager sends a first set-up to a server that has just started is
// decided at random: a hundred at once would overload it.
func TestFirstSetupsAtColdServerAreRandom(t *testing.T) {
	sent := 0
	for seed := uint64(1); seed <= 100; seed++ {
		h := newManyManagers(t)
		h.controller.seed = seed
		h.handle(Event{Kind: EventList, List: ListFull, Entries: []Entry{
			{Server: 1, State: Ready, Weight: 1, StartedAtS: h.now - 0.5},
			{Server: 2, State: Draining, Cell: 1, Weight: 1}}})
		sent += countActions(h.answerProbes(h.arrive(1, 1), 0), ActionSetUp)
	}
	if sent == 0 || sent > 50 {
		t.Errorf("%d of 100 managers sent a set-up at once", sent)
	}
}

// A manager takes as large a share of a server's free room as it has of the load,
// so that the raises of many managers fill the room once.
func TestRaisesSumToFreeRoom(t *testing.T) {
	raised := 0
	for seed := uint64(1); seed <= 200; seed++ {
		h := newManyManagers(t)
		h.controller.seed = seed
		h.handle(Event{Kind: EventEstablished, Session: 1, Class: 1, Server: 1, Copies: 4, MaxRung: 4, TimeLeftS: 5})
		h.handle(Event{Kind: EventProbeResult, Server: 1, Load: []float64{0.6, 0.3}})
		for range 5 { // a report is used for raises only once
			raised += countActions(h.handle(Event{Kind: EventTimer, Token: tokenTick}), ActionSetRung)
		}
	}
	// 0.3 of the link is free and 0.6 taken: half of the load may be added, and a step doubles a session.
	if raised < 60 || raised > 140 {
		t.Errorf("%d of 200 managers raised a rung, about 100 fill the room", raised)
	}
}

// The last step down is decided at random, so that many managers together save what
// is short, and not a whole step each.
func TestLoweringSumsToShortage(t *testing.T) {
	lowered := 0
	for seed := uint64(1); seed <= 200; seed++ {
		h := newManyManagers(t)
		h.controller.seed = seed
		h.handle(Event{Kind: EventEstablished, Session: 1, Class: 1, Server: 1, Copies: 4, MaxRung: 4, TimeLeftS: 5})
		h.handle(Event{Kind: EventNote, Session: 1, Server: 1, Note: NoteRung, Value: 2})
		h.now += 3
		h.handle(Event{Kind: EventNote, Session: 1, Server: 1, Note: NoteDeliveredShare, Value: 0.8})
		lowered += countActions(h.handle(Event{Kind: EventTimer, Token: tokenTick}), ActionSetRung)
	}
	// From 1.25 to 0.95 of a link is a quarter of the load; a step saves half or more of a session.
	if lowered < 40 || lowered > 120 {
		t.Errorf("%d of 200 managers lowered a rung, want 40 to 120", lowered)
	}
}

// A note of a low delivered share counts in full, whatever an older report said.
func TestDeliveredShareCountsInFull(t *testing.T) {
	h := newManyManagers(t)
	h.handle(Event{Kind: EventEstablished, Session: 1, Class: 1, Server: 1, Copies: 4, MaxRung: 4, TimeLeftS: 5})
	h.handle(Event{Kind: EventProbeResult, Server: 1, Load: []float64{0.3, 0.3}})
	h.now += 2
	h.handle(Event{Kind: EventNote, Session: 1, Server: 1, Note: NoteDeliveredShare, Value: 0.8})
	if u := h.controller.utilization(h.controller.servers[1]); u < 1.2 {
		t.Errorf("utilization %v at a delivered share of 0.8", u)
	}
}

// An old report weighs less beside a new one than a fresh one does.
func TestOldReportsFade(t *testing.T) {
	for _, e := range []struct{ wait, low, high float64 }{{0.1, 0.25, 0.45}, {5, 0.75, 0.85}} {
		h := newManyManagers(t)
		h.handle(Event{Kind: EventProbeResult, Server: 1, Load: []float64{0.2, 0.2}})
		h.now += e.wait
		h.handle(Event{Kind: EventProbeResult, Server: 1, Load: []float64{0.8, 0.2}})
		if u := h.controller.utilization(h.controller.servers[1]); u < e.low || u > e.high {
			t.Errorf("utilization %v after %v s, want %v to %v", u, e.wait, e.low, e.high)
		}
	}
}

// Sessions that are taken over at the start rise at the first report of slack.
func TestEstablishedSessionsRiseAtOnce(t *testing.T) {
	h := newManyManagers(t)
	h.handle(Event{Kind: EventEstablished, Session: 1, Class: 1, Server: 1, Copies: 4, MaxRung: 4, TimeLeftS: 5})
	h.handle(Event{Kind: EventProbeResult, Server: 1, Load: []float64{0.1, 0.1}})
	if acts := h.handle(Event{Kind: EventTimer, Token: tokenTick}); findAction(acts, ActionSetRung) == nil {
		t.Errorf("no raise in %+v", acts)
	}
}

// A small session doesn't make all other sessions on its server count as small: no
// streams would seem to be left.
func TestOthersStreamsAtMeanRate(t *testing.T) {
	h := newManyManagers(t)
	h.handle(Event{Kind: EventEstablished, Session: 1, Class: 1, Server: 1, Copies: 4, MaxRung: 4, TimeLeftS: 5})
	h.handle(Event{Kind: EventProbeResult, Server: 1, Load: []float64{0.75, 0.1}})
	if r := h.controller.freeKB(h.controller.servers[1]); r <= 0 {
		t.Errorf("%v kB/s free at three quarters of a link", r)
	}
}

// A fleet that is replaced within a minute leaves nothing behind, and lists of
// thousands of servers are accepted.
func TestGoneServersAreForgotten(t *testing.T) {
	h := newManyManagers(t)
	for round := range 30 {
		e := Event{Kind: EventList, List: ListFull}
		for i := range 3000 {
			e.Entries = append(e.Entries, Entry{Server: ServerID(round*3000 + i), State: Ready, Cell: i % 12, Weight: 1})
		}
		h.now += 2
		h.handle(e)
	}
	if len(h.controller.servers) != 3000 || len(h.controller.serverOrder) != 3000 {
		t.Errorf("%d servers kept, 3000 are listed", len(h.controller.servers))
	}
}

// After a jump of the clock each session still gets its answer.
func TestClockJumps(t *testing.T) {
	h := newManyManagers(t)
	h.arrive(1, 1)
	h.now += 60
	acts := h.handle(Event{Kind: EventTimer, Token: tokenTick})
	if countActions(acts, ActionSetUp) != 0 || findAction(acts, ActionRefuse) == nil {
		t.Errorf("a set-up, or no refusal, long after the deadline: %+v", acts)
	}
}

// Where crossing zones has a cost, holders in the manager's own zone are probed
// first.
func TestProbesOwnZoneFirst(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		h := newManyManagers(t)
		h.controller.seed = seed
		e := Event{Kind: EventList, List: ListFull}
		for i := range 4 {
			e.Entries = append(e.Entries, Entry{Server: ServerID(i + 1), State: Ready, Cell: i, Zone: i % 2, Weight: 1})
		}
		h.handle(e)
		for _, a := range h.arrive(1, 1) {
			if a.Kind == ActionProbe && a.Server%2 == 0 {
				t.Fatalf("probed server %d in another zone", a.Server)
			}
		}
	}
}

// The sum of all managers' set-ups at a cold server stays within its limit where
// all see a burst of arrivals at once.
func TestColdServerDuringBurst(t *testing.T) {
	sent := 0
	for seed := uint64(1); seed <= 100; seed++ {
		h := newManyManagers(t)
		h.controller.seed = seed
		h.handle(Event{Kind: EventList, List: ListFull, Entries: []Entry{
			{Server: 1, State: Ready, Weight: 1, StartedAtS: h.now - 0.5}}})
		for id := SessionID(1); id <= 5; id++ {
			sent += countActions(h.answerProbes(h.arrive(id, 1), 0), ActionSetUp)
		}
	}
	if sent == 0 || sent > 38 {
		t.Errorf("%d of 500 viewers set up at a cold server at once", sent)
	}
}

// A flood of one tenant is refused while the fleet is tight, and only then; the
// other tenant's sessions are not.
func TestFloodOfOneTenant(t *testing.T) {
	for _, e := range []struct {
		load   float64
		tenant int
		denied bool
	}{{0.8, 0, true}, {0.3, 0, false}, {0.8, 1, false}} {
		h := newManyManagers(t)
		h.controller.cfg.TenantQuotas, h.controller.tenantBuckets = []float64{1, 1}, make([]tokenBucket, 2)
		denied := 0
		for id := SessionID(1); id <= 12; id++ {
			h.now += 0.1
			h.handle(Event{Kind: EventProbeResult, Server: ServerID(id), Load: []float64{e.load, e.load}})
			tenant := 0
			if id == 12 {
				tenant = e.tenant
			}
			denied = countActions(h.handle(Event{Kind: EventArrival, Session: id, Class: 1, Tenant: tenant, Title: 9,
				TimeLeftS: 5, Copies: 4, MaxRung: 4}), ActionRefuse)
		}
		if (denied > 0) != e.denied {
			t.Errorf("load %v, tenant %d: refused %v", e.load, e.tenant, denied > 0)
		}
	}
}

// An uplink without a report is assumed to be as full as those with one, even where
// links are not.
func TestUnreportedUplinks(t *testing.T) {
	h := newManyManagers(t)
	h.handle(Event{Kind: EventProbeResult, Server: 1, Load: []float64{0.3, 0.8}})
	if u := h.controller.utilization(h.controller.servers[12]); u < 0.75 || u > 0.85 {
		t.Errorf("utilization %v in a rack without a report, want about the 0.8 of the other", u)
	}
}

// Where this manager has no sessions on an overloaded rack, it lowers nothing and
// keeps taking reports.
func TestRackWithoutOwnSessions(t *testing.T) {
	h := newManyManagers(t)
	h.handle(Event{Kind: EventProbeResult, Server: 1, Load: []float64{0.3, 2}})
	h.handle(Event{Kind: EventTimer, Token: tokenTick})
	if h.controller.now < h.controller.racks[0].ignoreUntil {
		t.Error("reports on the rack are ignored")
	}
}

// A server that leaves a set-up unanswered for a second gets no others, even as the
// only holder.
func TestUnansweringOnlyHolder(t *testing.T) {
	h := newHarness(t, settings())
	h.sendList(ListFull, Ready)
	h.mustSetUp(h.arrive(1, 1))
	h.now += unansweredS + 0.1
	if acts := h.arrive(2, 1); findAction(acts, ActionSetUp) != nil {
		t.Errorf("set-up at a server that does not answer: %+v", acts)
	}
}

// Equation 6 is given what sessions earn at their rungs. At full worth, those at
// the lowest rung would seem the most valuable for their size.
func TestReservesCountWorthByRung(t *testing.T) {
	h := newHarness(t, settings())
	for id := SessionID(1); id <= 8; id++ {
		class := int(id) % 2
		sv := ServerID(id%4 + 1)
		h.handle(Event{Kind: EventEstablished, Session: id, Class: class, Server: sv, Title: uint64(id), Copies: 4, MaxRung: 4})
		h.handle(Event{Kind: EventNote, Session: id, Server: sv, Note: NoteRung, Value: float64(1 - class)})
	}
	for range 300 {
		h.controller.arrivalTimes[0], h.controller.arrivalTimes[1] = append(h.controller.arrivalTimes[0], h.now), append(h.controller.arrivalTimes[1], h.now)
	}
	if h.controller.updateReserves(); h.controller.reservedSlots[0] <= h.controller.reservedSlots[1] {
		t.Errorf("reserves %v: the worthier class has no more than the other", h.controller.reservedSlots)
	}
}

// newCostlyProbes is newManyManagers where probes and connections cost as much as
// they gain.
func newCostlyProbes(t *testing.T, seed uint64) *harness {
	t.Helper()
	h := newManyManagers(t)
	h.controller.cfg.ProbeCost, h.controller.cfg.HandshakeCost, h.controller.probesCostly, h.controller.seed = 0.08, 0.08, true, seed
	return h
}

// Where probes are costly, none is made for a single session: it goes at once to a
// holder that the manager chooses at random, and not all managers choose the same.
func TestCostlyProbes(t *testing.T) {
	cfg := settings()
	cfg.ProbeCost = 0.08
	if c, err := New(cfg, 1); err != nil || !c.probesCostly {
		t.Errorf("a probe at 0.08 of a session is not costly: %v", err)
	}
	sent := map[ServerID]int{}
	for seed := uint64(1); seed <= 80; seed++ {
		h := newCostlyProbes(t, seed)
		h.controller.meanLoad.add(0.5)
		acts := h.arrive(1, 1)
		if countActions(acts, ActionProbe) > 0 {
			t.Fatalf("manager %d probed at an arrival", seed)
		}
		sent[h.mustSetUp(acts)]++
		if a := findAction(acts, ActionSetRung); a.Rung == 0 {
			t.Fatalf("manager %d took a server at the fleet's mean load of 0.5 for full", seed)
		}
	}
	for sv, n := range sent {
		if len(sent) < 4 || n > 40 {
			t.Errorf("%d of 80 managers chose server %d of %d", n, sv, len(sent))
		}
	}
}

// Costly probes are bounded by their cost, except for a few at the start. A quiet
// start postpones none, and 80 managers with arrivals of their own don't probe in
// step.
func TestCostlyProbesAreSpread(t *testing.T) {
	const managers, seconds = 80, 30
	probes, most, arrivals := 0, 0, 0
	probesByTick := map[int]int{}
	for seed := uint64(1); seed <= managers; seed++ {
		h := newCostlyProbes(t, seed)
		start := h.now
		for tick := 0; tick < 2*seconds; tick++ {
			h.now = start + float64(tick)/2
			if tick > 2 && hashToUnit(seed, uint64(tick)) < 0.5 {
				arrivals++
				h.handle(Event{Kind: EventArrival, Session: SessionID(tick + 1), Class: 1, Title: uint64(tick),
					TimeLeftS: 5, Copies: 12, MaxRung: 4})
			}
			n := countActions(h.answerProbes(h.handle(Event{Kind: EventTimer, Token: tokenTick}), 0.5), ActionProbe)
			probes += n
			if probesByTick[tick] += n; tick > 10 {
				most = max(most, probesByTick[tick])
			}
		}
	}
	cost := float64(probes-managers*initialProbes) * 0.08 / float64(arrivals)
	if cost > probeCostShare || cost < probeCostShare/2 {
		t.Errorf("%d probes for %d sessions cost %.3f of them", probes, arrivals, cost)
	}
	if most > managers/2 {
		t.Errorf("%d of %d managers probed in the same half second", most, managers)
	}
}

// Managers that hold less than a slot of each server fill the fleet together, and
// not each for itself: before a report, and when twice as many sessions come as it
// told of.
func TestManyManagersSumToFleet(t *testing.T) {
	const managers, fleetKB = 100, 48000.0
	askedKB := 0.0
	var harnesses []*harness
	for seed := uint64(1); seed <= managers; seed++ {
		harnesses = append(harnesses, newCostlyProbes(t, seed))
	}
	for round := SessionID(1); round <= 2; round++ {
		reported := askedKB / fleetKB
		for _, h := range harnesses {
			if round > 1 {
				h.handle(Event{Kind: EventProbeResult, Server: 1, Load: []float64{reported, reported}})
			}
			acts := h.arrive(round, 1)
			h.mustSetUp(acts)
			askedKB += h.controller.cfg.RatesKB[findAction(acts, ActionSetRung).Rung]
		}
		if most := 0.9 + 0.2*float64(round); askedKB > most*fleetKB || askedKB < 0.6*fleetKB {
			t.Errorf("after round %d the fleet is asked for %.2f of its links", round, askedKB/fleetKB)
		}
	}
}

// newTwoZones is newCostlyProbes with twelve servers in two zones, the odd ones in
// zone 1.
func newTwoZones(t *testing.T, seed uint64) *harness {
	h := newCostlyProbes(t, seed)
	e := Event{Kind: EventList, List: ListFull}
	for i := range 12 {
		e.Entries = append(e.Entries, Entry{Server: ServerID(i + 1), State: Ready, Cell: i, Zone: (i + 1) % 2, Weight: 1})
	}
	h.handle(e)
	return h
}

// A manager learns of a zone's loss from its first failures and not from each
// server, and returns once one of its servers shows a sign of life. Failures of the
// zone's servers don't block it while others of it show signs of life.
func TestLostZone(t *testing.T) {
	const managers = 80
	failed := 0
	for seed := uint64(1); seed <= managers; seed++ {
		h := newTwoZones(t, seed)
		id := SessionID(0)
		placeSession := func(lost bool) (zone1 bool) {
			id++
			acts := h.handle(Event{Kind: EventArrival, Session: id, Class: 1, Title: uint64(id), TimeLeftS: 5, Copies: 12, MaxRung: 4})
			for n := 0; ; n++ {
				sv := h.mustSetUp(acts)
				if zone1 = sv%2 == 1; !zone1 || !lost {
					h.handle(Event{Kind: EventStarted, Session: id, Server: sv, Attempt: n})
					h.endAttempt(id, n, sv, OK, true)
					return zone1
				}
				failed++
				acts = h.endAttempt(id, n, sv, ConnectFailed, false)
			}
		}
		for range 20 {
			h.now += 0.05
			placeSession(true)
		}
		if !(h.now < h.controller.zoneLostUntil[1]) || h.controller.totalLinkKB() > 0.6*48000 {
			t.Fatalf("manager %d does not know the zone as lost", seed)
		}
		h.handle(Event{Kind: EventList, List: ListDelta, Entries: []Entry{{Server: 1, State: Ready, Zone: 1, Weight: 1, StartedAtS: h.now}}})
		back := false
		for range 40 {
			h.now += 0.05
			back = placeSession(false) || back
		}
		if !back {
			t.Errorf("manager %d sends nothing to a zone that is back", seed)
		}
	}
	if failed > managers*(zoneLostAfter+1) {
		t.Errorf("%d managers failed %d times on one zone", managers, failed)
	}
	h := newTwoZones(t, 1)
	for i := range 6 { // servers out of connections in a zone that is alive
		h.controller.markAlive(h.controller.servers[11])
		h.controller.eject(h.controller.servers[ServerID(2*(i%4)+1)], Event{Status: ConnectFailed})
	}
	if h.now < h.controller.zoneLostUntil[1] {
		t.Error("a zone with signs of life was taken for lost")
	}
}

// A manager's own count tells of a burst before a report does: when its sessions
// double, new ones get lower rates. Where loads are told by notes, a note of low
// delivery lowers rungs.
func TestOwnCountAndDeliveredShare(t *testing.T) {
	h := newCostlyProbes(t, 1)
	h.handle(Event{Kind: EventProbeResult, Server: 1, Load: []float64{0.2, 0.2}})
	newcomerKB := func() float64 {
		list, kb := h.controller.fleetShare(h.controller.newSession(Event{Session: 99, Class: 1, MaxRung: 4}))
		delete(h.controller.sessions, 99)
		return kb / float64(len(list))
	}
	before := newcomerKB()
	for id := SessionID(1); id <= 20; id++ {
		h.handle(Event{Kind: EventEstablished, Session: id, Server: ServerID(id%12 + 1), Class: 1, MaxRung: 4})
	}
	if now := newcomerKB(); now > before/2 {
		t.Errorf("%.0f kB/s for a newcomer, %.0f before twenty sessions came", now, before)
	}
	h.handle(Event{Kind: EventNote, Session: 1, Server: 2, Note: NoteRung, Value: 3})
	for range 20 {
		h.now += 2 * reactionS
		h.handle(Event{Kind: EventNote, Session: 1, Server: 2, Note: NoteDeliveredShare, Value: 0.95})
		if findAction(h.handle(Event{Kind: EventTimer, Token: tokenTick}), ActionSetRung) != nil {
			return
		}
	}
	t.Error("no rung was lowered by twenty notes of 0.95")
}

// Fields of a report that are no utilizations, such as a count of streams, and
// values out of range don't count in the ratio of the fleet's load to the manager's
// own: a new session's rung is that of the utilization alone.
func TestSessionRatioIgnoresOtherFields(t *testing.T) {
	want := -1
	for _, report := range []struct {
		fields []string
		load   []float64
	}{{[]string{"x0"}, []float64{0.2}}, {[]string{"concurrent", "x0"}, []float64{12, 0.2}}, {[]string{"x1", "x0"}, []float64{1e30, 0.2}}} {
		h := newManyManagers(t)
		h.controller.cfg.LoadFields = report.fields
		for i := range 12 {
			h.handle(Event{Kind: EventProbeResult, Server: ServerID(i + 1), Load: report.load})
		}
		rung := findAction(h.handle(Event{Kind: EventArrival, Session: 1, Class: 1, Title: 9, TimeLeftS: 5, Copies: 12, MaxRung: 4}), ActionSetRung).Rung
		if want < 0 {
			want = rung
		}
		if rung != want || rung == 0 {
			t.Errorf("%v: rung %d, %d by the utilization alone", report.fields, rung, want)
		}
	}
}
