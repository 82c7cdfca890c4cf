package control

import "testing"

// newManyManagers is a deployment in which a front sees next to nothing: a hundred fronts,
// twelve servers, loads told to those who ask.
func newManyManagers(t *testing.T) *harness {
	t.Helper()
	cfg := settings()
	cfg.Managers, cfg.Cells, cfg.ProbesAllowed, cfg.LoadReporting = 100, 12, true, LoadReportsInProbes
	cfg.FleetLinkKB, cfg.RackUplinkKB = 48000, 24000
	b := newHarness(t, cfg)
	states := make([]ServerState, 12)
	for i := range states {
		states[i] = Ready
	}
	b.sendList(ListFull, states...)
	return b
}

func countActions(acts []Action, kind ActionKind) (n int) {
	for _, a := range acts {
		if a.Kind == kind {
			n++
		}
	}
	return n
}

// A session whose holders' load isn't known waits for two probes, and goes to
// the one that tells the lower load; an answer that stays away costs askS.
func TestProbesBeforePlacing(t *testing.T) {
	b := newManyManagers(t)
	acts := b.arrive(1, 1)
	if countActions(acts, ActionProbe) != maxSessionProbes || findAction(acts, ActionSetUp) != nil {
		t.Fatalf("at the arrival %+v", acts)
	}
	first, second := acts[0].Server, acts[1].Server
	acts = b.handle(Event{Kind: EventProbeResult, Server: first, Load: []float64{0.8, 0.5}})
	if findAction(acts, ActionSetUp) != nil {
		t.Fatalf("placed before the second answer: %+v", acts)
	}
	acts = b.handle(Event{Kind: EventProbeResult, Server: second, Load: []float64{0.3, 0.5}})
	if got := b.mustSetUp(acts); got != second {
		t.Errorf("sent to %d, the least used is %d", got, second)
	}
	b.now += freshReportS + 1
	acts = b.handle(Event{Kind: EventArrival, Session: 2, Class: 1, Title: 7, TimeLeftS: 5, HomeCell: 6, Copies: 4, MaxRung: 4})
	if countActions(acts, ActionProbe) == 0 {
		t.Fatalf("no probe in %+v", acts)
	}
	b.now += probeWaitS + 0.01
	if acts = b.handle(Event{Kind: EventTimer, Token: tokenRetryWaiting}); findAction(acts, ActionSetUp) == nil {
		t.Errorf("no answer and no send: %+v", acts)
	}
}

// Fronts draw the holders they ask by lot, or all would meet on the same two.
func TestManagersProbeDifferentHolders(t *testing.T) {
	asked := map[ServerID]bool{}
	for seed := uint64(1); seed <= 20; seed++ {
		b := newManyManagers(t)
		b.controller.seed = seed
		for _, a := range b.arrive(1, 1) {
			if a.Kind == ActionProbe {
				asked[a.Server] = true
			}
		}
	}
	if len(asked) < 4 {
		t.Errorf("20 fronts asked %d of 4 holders", len(asked))
	}
}

// A server that doesn't answer a probe is left alone.
func TestProbeTimeOutEjectsServer(t *testing.T) {
	b := newManyManagers(t)
	acts := b.arrive(1, 1)
	first, second := acts[0].Server, acts[1].Server
	b.handle(Event{Kind: EventProbeResult, Server: second, Load: []float64{0.85, 0.5}})
	if got := b.mustSetUp(b.handle(Event{Kind: EventProbeResult, Server: first, Status: TimedOut})); got == first {
		t.Errorf("sent to the server that did not answer")
	}
}

// A holder of unknown load comes after known ones, however full the fleet, and
// gets newcomers at their floor.
func TestUnknownLoadComesLastAtFloorRung(t *testing.T) {
	b := newManyManagers(t)
	acts := b.answerProbes(b.arrive(1, 1), 0.7)
	if sv := b.controller.servers[b.mustSetUp(acts)]; b.controller.now-sv.measuredAt >= staleAfterS {
		t.Errorf("an unknown server was taken before those that were asked")
	}
	b = newManyManagers(t)
	b.controller.meanLoad.add(0.5)
	acts = b.arrive(2, 1)
	b.now += probeWaitS + 0.01
	acts = b.handle(Event{Kind: EventTimer, Token: tokenRetryWaiting})
	b.mustSetUp(acts)
	if a := findAction(acts, ActionSetRung); a.Rung != 0 {
		t.Errorf("rung %d on a server of unknown load", a.Rung)
	}
}

// What is seen of some servers and uplinks stands for those not seen.
func TestFleetMeanStandsForUnknownLoad(t *testing.T) {
	b := newManyManagers(t)
	b.answerProbes(b.arrive(1, 1), 0.8)
	sv := b.controller.servers[12]
	if b.controller.now-sv.measuredAt < staleAfterS {
		t.Fatal("server 12 does not hold the title")
	}
	if u := b.controller.utilization(sv); u < 0.75 || u > 0.85 {
		t.Errorf("use %v of an unseen server, 0.8 was seen elsewhere", u)
	}
}

// Where no report tells of uplinks, fronts don't all take the same rack for the
// emptiest because of its listed links.
func TestRacksOfUnknownLoadCountAlike(t *testing.T) {
	sent := make([]int, 2)
	for seed := uint64(1); seed <= 100; seed++ {
		b := newManyManagers(t)
		b.controller.seed, b.controller.probesCostly, b.controller.cfg.LoadFields = seed, true, []string{"x0"}
		e := Event{Kind: EventList, List: ListFull}
		for i := range 12 {
			e.Entries = append(e.Entries, Entry{Server: ServerID(i + 1), State: Ready, Cell: i, Weight: 1 + float64(i%2)/4})
		}
		b.handle(e)
		b.handle(Event{Kind: EventProbeResult, Server: 1, Load: []float64{0.5}})
		got := b.mustSetUp(b.handle(Event{Kind: EventArrival, Session: 1, Class: 1, Title: 9, TimeLeftS: 5, Copies: 12, MaxRung: 4}))
		sent[int(got-1)%2]++
	}
	if min(sent[0], sent[1]) < 20 {
		t.Errorf("a hundred fronts sent %v to the two racks", sent)
	}
}

// Each front's first send to a server that has just started is drawn by lot: a
// hundred of them at once would push it over.
func TestFirstSetupsAtColdServerAreRandom(t *testing.T) {
	sent := 0
	for seed := uint64(1); seed <= 100; seed++ {
		b := newManyManagers(t)
		b.controller.seed = seed
		b.handle(Event{Kind: EventList, List: ListFull, Entries: []Entry{
			{Server: 1, State: Ready, Weight: 1, StartedAtS: b.now - 0.5},
			{Server: 2, State: Draining, Cell: 1, Weight: 1}}})
		sent += countActions(b.answerProbes(b.arrive(1, 1), 0), ActionSetUp)
	}
	if sent == 0 || sent > 50 {
		t.Errorf("%d of 100 fronts sent at once", sent)
	}
}

// A front takes as much of a server's room as it has of the load: over many
// fronts the raises fill the room once.
func TestRaisesSumToFreeRoom(t *testing.T) {
	raised := 0
	for seed := uint64(1); seed <= 200; seed++ {
		b := newManyManagers(t)
		b.controller.seed = seed
		b.handle(Event{Kind: EventEstablished, Session: 1, Class: 1, Server: 1, Copies: 4, MaxRung: 4, TimeLeftS: 5})
		b.handle(Event{Kind: EventProbeResult, Server: 1, Load: []float64{0.6, 0.3}})
		for range 5 { // one report is used once, however often it is looked at
			raised += countActions(b.handle(Event{Kind: EventTimer, Token: tokenTick}), ActionSetRung)
		}
	}
	// 0.3 of the link is free, 0.6 taken: half of the load may be added, a step doubles it.
	if raised < 60 || raised > 140 {
		t.Errorf("%d of 200 fronts raised a rung, about 100 fill the room", raised)
	}
}

// The last step down is drawn by lot, so that many fronts save what is short
// and not a whole step each.
func TestLoweringSumsToShortage(t *testing.T) {
	lowered := 0
	for seed := uint64(1); seed <= 200; seed++ {
		b := newManyManagers(t)
		b.controller.seed = seed
		b.handle(Event{Kind: EventEstablished, Session: 1, Class: 1, Server: 1, Copies: 4, MaxRung: 4, TimeLeftS: 5})
		b.handle(Event{Kind: EventNote, Session: 1, Server: 1, Note: NoteRung, Value: 2})
		b.now += 3
		b.handle(Event{Kind: EventNote, Session: 1, Server: 1, Note: NoteDeliveredShare, Value: 0.8})
		lowered += countActions(b.handle(Event{Kind: EventTimer, Token: tokenTick}), ActionSetRung)
	}
	// 1.25 to 0.95 of a link saves a quarter of the load; a step saves half or more.
	if lowered < 40 || lowered > 120 {
		t.Errorf("%d of 200 fronts lowered a rung", lowered)
	}
}

// A note of a short share counts in full, whatever an older report said.
func TestDeliveredShareCountsInFull(t *testing.T) {
	b := newManyManagers(t)
	b.handle(Event{Kind: EventEstablished, Session: 1, Class: 1, Server: 1, Copies: 4, MaxRung: 4, TimeLeftS: 5})
	b.handle(Event{Kind: EventProbeResult, Server: 1, Load: []float64{0.3, 0.3}})
	b.now += 2
	b.handle(Event{Kind: EventNote, Session: 1, Server: 1, Note: NoteDeliveredShare, Value: 0.8})
	if u := b.controller.utilization(b.controller.servers[1]); u < 1.2 {
		t.Errorf("use %v at a delivered share of 0.8", u)
	}
}

// An old report weighs less beside a new one than a fresh one does.
func TestOldReportsFade(t *testing.T) {
	for _, e := range []struct{ wait, low, high float64 }{{0.1, 0.25, 0.45}, {5, 0.75, 0.85}} {
		b := newManyManagers(t)
		b.handle(Event{Kind: EventProbeResult, Server: 1, Load: []float64{0.2, 0.2}})
		b.now += e.wait
		b.handle(Event{Kind: EventProbeResult, Server: 1, Load: []float64{0.8, 0.2}})
		if u := b.controller.utilization(b.controller.servers[1]); u < e.low || u > e.high {
			t.Errorf("use %v after %v s, want %v to %v", u, e.wait, e.low, e.high)
		}
	}
}

// Sessions handed over at the start rise at the first report of slack.
func TestEstablishedSessionsRiseAtOnce(t *testing.T) {
	b := newManyManagers(t)
	b.handle(Event{Kind: EventEstablished, Session: 1, Class: 1, Server: 1, Copies: 4, MaxRung: 4, TimeLeftS: 5})
	b.handle(Event{Kind: EventProbeResult, Server: 1, Load: []float64{0.1, 0.1}})
	if acts := b.handle(Event{Kind: EventTimer, Token: tokenTick}); findAction(acts, ActionSetRung) == nil {
		t.Errorf("no raise in %+v", acts)
	}
}

// A small session does not make all others of its server look as small: there
// would seem to be no streams left.
func TestOthersStreamsAtMeanRate(t *testing.T) {
	b := newManyManagers(t)
	b.handle(Event{Kind: EventEstablished, Session: 1, Class: 1, Server: 1, Copies: 4, MaxRung: 4, TimeLeftS: 5})
	b.handle(Event{Kind: EventProbeResult, Server: 1, Load: []float64{0.75, 0.1}})
	if r := b.controller.freeKB(b.controller.servers[1]); r <= 0 {
		t.Errorf("room %v at three quarters of a link", r)
	}
}

// A fleet that is replaced within a minute leaves nothing behind, and a list of
// thousands is taken.
func TestGoneServersAreForgotten(t *testing.T) {
	b := newManyManagers(t)
	for round := range 30 {
		e := Event{Kind: EventList, List: ListFull}
		for i := range 3000 {
			e.Entries = append(e.Entries, Entry{Server: ServerID(round*3000 + i), State: Ready, Cell: i % 12, Weight: 1})
		}
		b.now += 2
		b.handle(e)
	}
	if len(b.controller.servers) != 3000 || len(b.controller.serverOrder) != 3000 {
		t.Errorf("%d servers kept of 3000 listed", len(b.controller.servers))
	}
}

// A jump of the clock leaves no session without its answer.
func TestClockJumps(t *testing.T) {
	b := newManyManagers(t)
	b.arrive(1, 1)
	b.now += 60
	acts := b.handle(Event{Kind: EventTimer, Token: tokenTick})
	if countActions(acts, ActionSetUp) != 0 || findAction(acts, ActionRefuse) == nil {
		t.Errorf("long after the deadline: %+v", acts)
	}
}

// Where crossing zones is priced, holders of the own zone are asked first.
func TestProbesOwnZoneFirst(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		b := newManyManagers(t)
		b.controller.seed = seed
		e := Event{Kind: EventList, List: ListFull}
		for i := range 4 {
			e.Entries = append(e.Entries, Entry{Server: ServerID(i + 1), State: Ready, Cell: i, Zone: i % 2, Weight: 1})
		}
		b.handle(e)
		for _, a := range b.arrive(1, 1) {
			if a.Kind == ActionProbe && a.Server%2 == 0 {
				t.Fatalf("asked %d of another zone", a.Server)
			}
		}
	}
}

// The sum of fronts keeps rule 4 where all see a crowd at once.
func TestColdServerDuringBurst(t *testing.T) {
	sent := 0
	for seed := uint64(1); seed <= 100; seed++ {
		b := newManyManagers(t)
		b.controller.seed = seed
		b.handle(Event{Kind: EventList, List: ListFull, Entries: []Entry{
			{Server: 1, State: Ready, Weight: 1, StartedAtS: b.now - 0.5}}})
		for id := SessionID(1); id <= 5; id++ {
			sent += countActions(b.answerProbes(b.arrive(id, 1), 0), ActionSetUp)
		}
	}
	if sent == 0 || sent > 38 {
		t.Errorf("%d of 500 viewers sent to a cold server at once", sent)
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
		b := newManyManagers(t)
		b.controller.cfg.TenantQuotas, b.controller.tenantBuckets = []float64{1, 1}, make([]tokenBucket, 2)
		denied := 0
		for id := SessionID(1); id <= 12; id++ {
			b.now += 0.1
			b.handle(Event{Kind: EventProbeResult, Server: ServerID(id), Load: []float64{e.load, e.load}})
			tenant := 0
			if id == 12 {
				tenant = e.tenant
			}
			denied = countActions(b.handle(Event{Kind: EventArrival, Session: id, Class: 1, Tenant: tenant, Title: 9,
				TimeLeftS: 5, Copies: 4, MaxRung: 4}), ActionRefuse)
		}
		if (denied > 0) != e.denied {
			t.Errorf("load %v, tenant %d: refused %v", e.load, e.tenant, denied > 0)
		}
	}
}

// An uplink never seen is taken to be as full as those seen, though links are not.
func TestUnreportedUplinks(t *testing.T) {
	b := newManyManagers(t)
	b.handle(Event{Kind: EventProbeResult, Server: 1, Load: []float64{0.3, 0.8}})
	if u := b.controller.utilization(b.controller.servers[12]); u < 0.75 || u > 0.85 {
		t.Errorf("use %v in a rack never seen, 0.8 was seen in another", u)
	}
}

// A rack on which this front has nothing is not eased: later reports count.
func TestRackWithoutOwnSessions(t *testing.T) {
	b := newManyManagers(t)
	b.handle(Event{Kind: EventProbeResult, Server: 1, Load: []float64{0.3, 2}})
	b.handle(Event{Kind: EventTimer, Token: tokenTick})
	if b.controller.now < b.controller.racks[0].ignoreUntil {
		t.Error("reports of the rack are thrown away")
	}
}

// A server that answers nothing for a second gets nothing more.
func TestUnansweringOnlyHolder(t *testing.T) {
	b := newHarness(t, settings())
	b.sendList(ListFull, Ready)
	b.mustSetUp(b.arrive(1, 1))
	b.now += unansweredS + 0.1
	if acts := b.arrive(2, 1); findAction(acts, ActionSetUp) != nil {
		t.Errorf("sent to a silent server: %+v", acts)
	}
}

// Equation 6 is given what sessions earn at their rungs. At full worth, those
// of the lowest rung would look dearest for their size.
func TestReservesCountWorthByRung(t *testing.T) {
	b := newHarness(t, settings())
	for id := SessionID(1); id <= 8; id++ {
		class := int(id) % 2
		sv := ServerID(id%4 + 1)
		b.handle(Event{Kind: EventEstablished, Session: id, Class: class, Server: sv, Title: uint64(id), Copies: 4, MaxRung: 4})
		b.handle(Event{Kind: EventNote, Session: id, Server: sv, Note: NoteRung, Value: float64(1 - class)})
	}
	for range 300 {
		b.controller.arrivalTimes[0], b.controller.arrivalTimes[1] = append(b.controller.arrivalTimes[0], b.now), append(b.controller.arrivalTimes[1], b.now)
	}
	if b.controller.updateReserves(); b.controller.reservedSlots[0] <= b.controller.reservedSlots[1] {
		t.Errorf("reserves %v: the paid class has no more than the other", b.controller.reservedSlots)
	}
}

// newCostlyProbes is many where probes and connections cost as much as they tell.
func newCostlyProbes(t *testing.T, seed uint64) *harness {
	t.Helper()
	b := newManyManagers(t)
	b.controller.cfg.ProbeCost, b.controller.cfg.HandshakeCost, b.controller.probesCostly, b.controller.seed = 0.08, 0.08, true, seed
	return b
}

// Where probes are dear, none is made for one session: it goes at once to a holder
// that the front draws for itself, and not all fronts meet on the same.
func TestCostlyProbes(t *testing.T) {
	cfg := settings()
	cfg.ProbeCost = 0.08
	if c, err := New(cfg, 1); err != nil || !c.probesCostly {
		t.Errorf("a probe at 0.08 of a session is not dear: %v", err)
	}
	sent := map[ServerID]int{}
	for seed := uint64(1); seed <= 80; seed++ {
		b := newCostlyProbes(t, seed)
		b.controller.meanLoad.add(0.5)
		acts := b.arrive(1, 1)
		if countActions(acts, ActionProbe) > 0 {
			t.Fatalf("front %d probed at an arrival", seed)
		}
		sent[b.mustSetUp(acts)]++
		if a := findAction(acts, ActionSetRung); a.Rung == 0 {
			t.Fatalf("front %d took a server at the fleet's mean use of 0.5 for full", seed)
		}
	}
	for sv, n := range sent {
		if len(sent) < 4 || n > 40 {
			t.Errorf("%d of 80 fronts met on server %d of %d", n, sv, len(sent))
		}
	}
}

// Dear probes are bounded by what they cost, but for a few at the start; a quiet
// start puts none off, and 80 fronts with arrivals of their own don't probe in step.
func TestCostlyProbesAreSpread(t *testing.T) {
	const managers, seconds = 80, 30
	probes, most, arrivals := 0, 0, 0
	probesByTick := map[int]int{}
	for seed := uint64(1); seed <= managers; seed++ {
		b := newCostlyProbes(t, seed)
		start := b.now
		for tick := 0; tick < 2*seconds; tick++ {
			b.now = start + float64(tick)/2
			if tick > 2 && hashToUnit(seed, uint64(tick)) < 0.5 {
				arrivals++
				b.handle(Event{Kind: EventArrival, Session: SessionID(tick + 1), Class: 1, Title: uint64(tick),
					TimeLeftS: 5, Copies: 12, MaxRung: 4})
			}
			n := countActions(b.answerProbes(b.handle(Event{Kind: EventTimer, Token: tokenTick}), 0.5), ActionProbe)
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
		t.Errorf("%d of %d fronts probed in the same half second", most, managers)
	}
}

// Fronts that hold less than a slot of each server fill the fleet together and not
// each for itself: before a report, and when twice as many come as it told of.
func TestManyManagersSumToFleet(t *testing.T) {
	const managers, fleetKB = 100, 48000.0
	askedKB := 0.0
	var harnesses []*harness
	for seed := uint64(1); seed <= managers; seed++ {
		harnesses = append(harnesses, newCostlyProbes(t, seed))
	}
	for round := SessionID(1); round <= 2; round++ {
		reported := askedKB / fleetKB
		for _, b := range harnesses {
			if round > 1 {
				b.handle(Event{Kind: EventProbeResult, Server: 1, Load: []float64{reported, reported}})
			}
			acts := b.arrive(round, 1)
			b.mustSetUp(acts)
			askedKB += b.controller.cfg.RatesKB[findAction(acts, ActionSetRung).Rung]
		}
		if most := 0.9 + 0.2*float64(round); askedKB > most*fleetKB || askedKB < 0.6*fleetKB {
			t.Errorf("after round %d the fleet is asked for %.2f of what it gives", round, askedKB/fleetKB)
		}
	}
}

// newTwoZones is dear with twelve servers in two zones, the odd ones in zone 1.
func newTwoZones(t *testing.T, seed uint64) *harness {
	b := newCostlyProbes(t, seed)
	e := Event{Kind: EventList, List: ListFull}
	for i := range 12 {
		e.Entries = append(e.Entries, Entry{Server: ServerID(i + 1), State: Ready, Cell: i, Zone: (i + 1) % 2, Weight: 1})
	}
	b.handle(e)
	return b
}

// A front learns of a zone's loss from its first failures and not from each server,
// and comes back once one is heard of. Ends at the zone's servers alone rest no zone
// while others of it are heard of.
func TestLostZone(t *testing.T) {
	const managers = 80
	failed := 0
	for seed := uint64(1); seed <= managers; seed++ {
		b := newTwoZones(t, seed)
		id := SessionID(0)
		placeSession := func(lost bool) (zone1 bool) {
			id++
			acts := b.handle(Event{Kind: EventArrival, Session: id, Class: 1, Title: uint64(id), TimeLeftS: 5, Copies: 12, MaxRung: 4})
			for n := 0; ; n++ {
				sv := b.mustSetUp(acts)
				if zone1 = sv%2 == 1; !zone1 || !lost {
					b.handle(Event{Kind: EventStarted, Session: id, Server: sv, Attempt: n})
					b.endAttempt(id, n, sv, OK, true)
					return zone1
				}
				failed++
				acts = b.endAttempt(id, n, sv, ConnectFailed, false)
			}
		}
		for range 20 {
			b.now += 0.05
			placeSession(true)
		}
		if !(b.now < b.controller.zoneLostUntil[1]) || b.controller.totalLinkKB() > 0.6*48000 {
			t.Fatalf("front %d does not know the zone as lost", seed)
		}
		b.handle(Event{Kind: EventList, List: ListDelta, Entries: []Entry{{Server: 1, State: Ready, Zone: 1, Weight: 1, StartedAtS: b.now}}})
		back := false
		for range 40 {
			b.now += 0.05
			back = placeSession(false) || back
		}
		if !back {
			t.Errorf("front %d sends nothing to a zone that is back", seed)
		}
	}
	if failed > managers*(zoneLostAfter+1) {
		t.Errorf("%d fronts failed %d times on one zone", managers, failed)
	}
	b := newTwoZones(t, 1)
	for i := range 6 { // servers short of connections in a zone that lives
		b.controller.markAlive(b.controller.servers[11])
		b.controller.eject(b.controller.servers[ServerID(2*(i%4)+1)], Event{Status: ConnectFailed})
	}
	if b.now < b.controller.zoneLostUntil[1] {
		t.Error("a zone that is heard of was given up")
	}
}

// A front's own count tells of a crowd before a report does: while its sessions
// double, newcomers get smaller ones. Where loads are told by notes, each note of
// short delivery lowers rungs.
func TestOwnCountAndDeliveredShare(t *testing.T) {
	b := newCostlyProbes(t, 1)
	b.handle(Event{Kind: EventProbeResult, Server: 1, Load: []float64{0.2, 0.2}})
	newcomerKB := func() float64 {
		list, kb := b.controller.fleetShare(b.controller.newSession(Event{Session: 99, Class: 1, MaxRung: 4}))
		delete(b.controller.sessions, 99)
		return kb / float64(len(list))
	}
	before := newcomerKB()
	for id := SessionID(1); id <= 20; id++ {
		b.handle(Event{Kind: EventEstablished, Session: id, Server: ServerID(id%12 + 1), Class: 1, MaxRung: 4})
	}
	if now := newcomerKB(); now > before/2 {
		t.Errorf("%.0f kB/s for a newcomer, %.0f before twenty sessions came", now, before)
	}
	b.handle(Event{Kind: EventNote, Session: 1, Server: 2, Note: NoteRung, Value: 3})
	for range 20 {
		b.now += 2 * reactionS
		b.handle(Event{Kind: EventNote, Session: 1, Server: 2, Note: NoteDeliveredShare, Value: 0.95})
		if findAction(b.handle(Event{Kind: EventTimer, Token: tokenTick}), ActionSetRung) != nil {
			return
		}
	}
	t.Error("no rung was lowered by twenty notes of 0.95")
}

// A report's fields that are no uses, such as a count of streams, and figures out of all
// bounds are no sign of the crowd: a newcomer's rung is that of the use alone.
func TestSessionRatioIgnoresOtherFields(t *testing.T) {
	want := -1
	for _, report := range []struct {
		fields []string
		load   []float64
	}{{[]string{"x0"}, []float64{0.2}}, {[]string{"concurrent", "x0"}, []float64{12, 0.2}}, {[]string{"x1", "x0"}, []float64{1e30, 0.2}}} {
		b := newManyManagers(t)
		b.controller.cfg.LoadFields = report.fields
		for i := range 12 {
			b.handle(Event{Kind: EventProbeResult, Server: ServerID(i + 1), Load: report.load})
		}
		rung := findAction(b.handle(Event{Kind: EventArrival, Session: 1, Class: 1, Title: 9, TimeLeftS: 5, Copies: 12, MaxRung: 4}), ActionSetRung).Rung
		if want < 0 {
			want = rung
		}
		if rung != want || rung == 0 {
			t.Errorf("%v: rung %d, %d by the use alone", report.fields, rung, want)
		}
	}
}
