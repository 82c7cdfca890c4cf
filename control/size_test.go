package control

import "testing"

// many is a deployment in which a front sees next to nothing: a hundred fronts,
// twelve servers, loads told to those who ask.
func many(t *testing.T) *bed {
	t.Helper()
	set := settings()
	set.Managers, set.Cells, set.ProbesAllowed, set.LoadReporting = 100, 12, true, LoadReportsInProbes
	set.FleetLinkKB, set.RackUplinkKB = 48000, 24000
	b := newBed(t, set)
	states := make([]ServerState, 12)
	for i := range states {
		states[i] = Ready
	}
	b.list(ListFull, states...)
	return b
}

func count(acts []Action, kind ActionKind) (n int) {
	for _, a := range acts {
		if a.Kind == kind {
			n++
		}
	}
	return n
}

// A session whose holders' load isn't known waits for two probes, and goes to
// the one that tells the lower load; an answer that stays away costs askS.
func TestAsksBeforeItPlaces(t *testing.T) {
	b := many(t)
	acts := b.arrive(1, 1)
	if count(acts, ActionProbe) != maxSessionProbes || find(acts, ActionSetUp) != nil {
		t.Fatalf("at the arrival %+v", acts)
	}
	first, second := acts[0].Server, acts[1].Server
	acts = b.do(Event{Kind: EventProbeResult, Server: first, Load: []float64{0.8, 0.5}})
	if find(acts, ActionSetUp) != nil {
		t.Fatalf("placed before the second answer: %+v", acts)
	}
	acts = b.do(Event{Kind: EventProbeResult, Server: second, Load: []float64{0.3, 0.5}})
	if got := b.mustSend(acts); got != second {
		t.Errorf("sent to %d, the least used is %d", got, second)
	}
	b.now += freshReportS + 1
	acts = b.do(Event{Kind: EventArrival, Session: 2, Class: 1, Title: 7, TimeLeftS: 5, HomeCell: 6, Copies: 4, MaxRung: 4})
	if count(acts, ActionProbe) == 0 {
		t.Fatalf("no probe in %+v", acts)
	}
	b.now += probeWaitS + 0.01
	if acts = b.do(Event{Kind: EventTimer, Token: tokenRetryWaiting}); find(acts, ActionSetUp) == nil {
		t.Errorf("no answer and no send: %+v", acts)
	}
}

// Fronts draw the holders they ask by lot, or all would meet on the same two.
func TestFrontsAskDifferentHolders(t *testing.T) {
	asked := map[ServerID]bool{}
	for seed := uint64(1); seed <= 20; seed++ {
		b := many(t)
		b.c.seed = seed
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
func TestSilentToProbeRests(t *testing.T) {
	b := many(t)
	acts := b.arrive(1, 1)
	first, second := acts[0].Server, acts[1].Server
	b.do(Event{Kind: EventProbeResult, Server: second, Load: []float64{0.85, 0.5}})
	if got := b.mustSend(b.do(Event{Kind: EventProbeResult, Server: first, Status: TimedOut})); got == first {
		t.Errorf("sent to the server that did not answer")
	}
}

// A holder of unknown load comes after known ones, however full the fleet, and
// gets newcomers at their floor.
func TestUnknownComesLastAtTheFloor(t *testing.T) {
	b := many(t)
	acts := b.answered(b.arrive(1, 1), 0.7)
	if sv := b.c.servers[b.mustSend(acts)]; b.c.now-sv.measuredAt >= staleAfterS {
		t.Errorf("an unknown server was taken before those that were asked")
	}
	b = many(t)
	b.c.meanLoad.add(0.5)
	acts = b.arrive(2, 1)
	b.now += probeWaitS + 0.01
	acts = b.do(Event{Kind: EventTimer, Token: tokenRetryWaiting})
	b.mustSend(acts)
	if a := find(acts, ActionSetRung); a.Rung != 0 {
		t.Errorf("rung %d on a server of unknown load", a.Rung)
	}
}

// What is seen of some servers and uplinks stands for those not seen.
func TestFleetMeanStandsForTheUnseen(t *testing.T) {
	b := many(t)
	b.answered(b.arrive(1, 1), 0.8)
	sv := b.c.servers[12]
	if b.c.now-sv.measuredAt < staleAfterS {
		t.Fatal("server 12 does not hold the title")
	}
	if u := b.c.utilization(sv); u < 0.75 || u > 0.85 {
		t.Errorf("use %v of an unseen server, 0.8 was seen elsewhere", u)
	}
}

// Where no report tells of uplinks, fronts don't all take the same rack for the
// emptiest because of its listed links.
func TestRacksOfUnknownUseLookAlike(t *testing.T) {
	sent := make([]int, 2)
	for seed := uint64(1); seed <= 100; seed++ {
		b := many(t)
		b.c.seed, b.c.probesCostly, b.c.cfg.LoadFields = seed, true, []string{"x0"}
		e := Event{Kind: EventList, List: ListFull}
		for i := range 12 {
			e.Entries = append(e.Entries, Entry{Server: ServerID(i + 1), State: Ready, Cell: i, Weight: 1 + float64(i%2)/4})
		}
		b.do(e)
		b.do(Event{Kind: EventProbeResult, Server: 1, Load: []float64{0.5}})
		got := b.mustSend(b.do(Event{Kind: EventArrival, Session: 1, Class: 1, Title: 9, TimeLeftS: 5, Copies: 12, MaxRung: 4}))
		sent[int(got-1)%2]++
	}
	if min(sent[0], sent[1]) < 20 {
		t.Errorf("a hundred fronts sent %v to the two racks", sent)
	}
}

// Each front's first send to a server that has just started is drawn by lot: a
// hundred of them at once would push it over.
func TestFirstSendsToColdServerByLot(t *testing.T) {
	sent := 0
	for seed := uint64(1); seed <= 100; seed++ {
		b := many(t)
		b.c.seed = seed
		b.do(Event{Kind: EventList, List: ListFull, Entries: []Entry{
			{Server: 1, State: Ready, Weight: 1, StartedAtS: b.now - 0.5},
			{Server: 2, State: Draining, Cell: 1, Weight: 1}}})
		sent += count(b.answered(b.arrive(1, 1), 0), ActionSetUp)
	}
	if sent == 0 || sent > 50 {
		t.Errorf("%d of 100 fronts sent at once", sent)
	}
}

// A front takes as much of a server's room as it has of the load: over many
// fronts the raises fill the room once.
func TestRaisesSumToTheRoom(t *testing.T) {
	raised := 0
	for seed := uint64(1); seed <= 200; seed++ {
		b := many(t)
		b.c.seed = seed
		b.do(Event{Kind: EventEstablished, Session: 1, Class: 1, Server: 1, Copies: 4, MaxRung: 4, TimeLeftS: 5})
		b.do(Event{Kind: EventProbeResult, Server: 1, Load: []float64{0.6, 0.3}})
		for range 5 { // one report is used once, however often it is looked at
			raised += count(b.do(Event{Kind: EventTimer, Token: tokenTick}), ActionSetRung)
		}
	}
	// 0.3 of the link is free, 0.6 taken: half of the load may be added, a step doubles it.
	if raised < 60 || raised > 140 {
		t.Errorf("%d of 200 fronts raised a rung, about 100 fill the room", raised)
	}
}

// The last step down is drawn by lot, so that many fronts save what is short
// and not a whole step each.
func TestStepsDownSumToTheShortage(t *testing.T) {
	lowered := 0
	for seed := uint64(1); seed <= 200; seed++ {
		b := many(t)
		b.c.seed = seed
		b.do(Event{Kind: EventEstablished, Session: 1, Class: 1, Server: 1, Copies: 4, MaxRung: 4, TimeLeftS: 5})
		b.do(Event{Kind: EventNote, Session: 1, Server: 1, Note: NoteRung, Value: 2})
		b.now += 3
		b.do(Event{Kind: EventNote, Session: 1, Server: 1, Note: NoteDeliveredShare, Value: 0.8})
		lowered += count(b.do(Event{Kind: EventTimer, Token: tokenTick}), ActionSetRung)
	}
	// 1.25 to 0.95 of a link saves a quarter of the load; a step saves half or more.
	if lowered < 40 || lowered > 120 {
		t.Errorf("%d of 200 fronts lowered a rung", lowered)
	}
}

// A note of a short share counts in full, whatever an older report said.
func TestShortShareCountsInFull(t *testing.T) {
	b := many(t)
	b.do(Event{Kind: EventEstablished, Session: 1, Class: 1, Server: 1, Copies: 4, MaxRung: 4, TimeLeftS: 5})
	b.do(Event{Kind: EventProbeResult, Server: 1, Load: []float64{0.3, 0.3}})
	b.now += 2
	b.do(Event{Kind: EventNote, Session: 1, Server: 1, Note: NoteDeliveredShare, Value: 0.8})
	if u := b.c.utilization(b.c.servers[1]); u < 1.2 {
		t.Errorf("use %v at a delivered share of 0.8", u)
	}
}

// An old report weighs less beside a new one than a fresh one does.
func TestOldReportsFade(t *testing.T) {
	for _, e := range []struct{ wait, low, high float64 }{{0.1, 0.25, 0.45}, {5, 0.75, 0.85}} {
		b := many(t)
		b.do(Event{Kind: EventProbeResult, Server: 1, Load: []float64{0.2, 0.2}})
		b.now += e.wait
		b.do(Event{Kind: EventProbeResult, Server: 1, Load: []float64{0.8, 0.2}})
		if u := b.c.utilization(b.c.servers[1]); u < e.low || u > e.high {
			t.Errorf("use %v after %v s, want %v to %v", u, e.wait, e.low, e.high)
		}
	}
}

// Sessions handed over at the start rise at the first report of slack.
func TestHandedOverRiseAtOnce(t *testing.T) {
	b := many(t)
	b.do(Event{Kind: EventEstablished, Session: 1, Class: 1, Server: 1, Copies: 4, MaxRung: 4, TimeLeftS: 5})
	b.do(Event{Kind: EventProbeResult, Server: 1, Load: []float64{0.1, 0.1}})
	if acts := b.do(Event{Kind: EventTimer, Token: tokenTick}); find(acts, ActionSetRung) == nil {
		t.Errorf("no raise in %+v", acts)
	}
}

// A small session does not make all others of its server look as small: there
// would seem to be no streams left.
func TestStreamsOfOthersAtTheMeanSize(t *testing.T) {
	b := many(t)
	b.do(Event{Kind: EventEstablished, Session: 1, Class: 1, Server: 1, Copies: 4, MaxRung: 4, TimeLeftS: 5})
	b.do(Event{Kind: EventProbeResult, Server: 1, Load: []float64{0.75, 0.1}})
	if r := b.c.freeKB(b.c.servers[1]); r <= 0 {
		t.Errorf("room %v at three quarters of a link", r)
	}
}

// A fleet that is replaced within a minute leaves nothing behind, and a list of
// thousands is taken.
func TestGoneServersAreForgotten(t *testing.T) {
	b := many(t)
	for round := range 30 {
		e := Event{Kind: EventList, List: ListFull}
		for i := range 3000 {
			e.Entries = append(e.Entries, Entry{Server: ServerID(round*3000 + i), State: Ready, Cell: i % 12, Weight: 1})
		}
		b.now += 2
		b.do(e)
	}
	if len(b.c.servers) != 3000 || len(b.c.serverOrder) != 3000 {
		t.Errorf("%d servers kept of 3000 listed", len(b.c.servers))
	}
}

// A jump of the clock leaves no session without its answer.
func TestClockJumps(t *testing.T) {
	b := many(t)
	b.arrive(1, 1)
	b.now += 60
	acts := b.do(Event{Kind: EventTimer, Token: tokenTick})
	if count(acts, ActionSetUp) != 0 || find(acts, ActionRefuse) == nil {
		t.Errorf("long after the deadline: %+v", acts)
	}
}

// Where crossing zones is priced, holders of the own zone are asked first.
func TestAsksTheOwnZoneFirst(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		b := many(t)
		b.c.seed = seed
		e := Event{Kind: EventList, List: ListFull}
		for i := range 4 {
			e.Entries = append(e.Entries, Entry{Server: ServerID(i + 1), State: Ready, Cell: i, Zone: i % 2, Weight: 1})
		}
		b.do(e)
		for _, a := range b.arrive(1, 1) {
			if a.Kind == ActionProbe && a.Server%2 == 0 {
				t.Fatalf("asked %d of another zone", a.Server)
			}
		}
	}
}

// The sum of fronts keeps rule 4 where all see a crowd at once.
func TestColdLotInACrowd(t *testing.T) {
	sent := 0
	for seed := uint64(1); seed <= 100; seed++ {
		b := many(t)
		b.c.seed = seed
		b.do(Event{Kind: EventList, List: ListFull, Entries: []Entry{
			{Server: 1, State: Ready, Weight: 1, StartedAtS: b.now - 0.5}}})
		for id := SessionID(1); id <= 5; id++ {
			sent += count(b.answered(b.arrive(id, 1), 0), ActionSetUp)
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
		b := many(t)
		b.c.cfg.TenantQuotas, b.c.tenantBuckets = []float64{1, 1}, make([]tokenBucket, 2)
		denied := 0
		for id := SessionID(1); id <= 12; id++ {
			b.now += 0.1
			b.do(Event{Kind: EventProbeResult, Server: ServerID(id), Load: []float64{e.load, e.load}})
			tenant := 0
			if id == 12 {
				tenant = e.tenant
			}
			denied = count(b.do(Event{Kind: EventArrival, Session: id, Class: 1, Tenant: tenant, Title: 9,
				TimeLeftS: 5, Copies: 4, MaxRung: 4}), ActionRefuse)
		}
		if (denied > 0) != e.denied {
			t.Errorf("load %v, tenant %d: refused %v", e.load, e.tenant, denied > 0)
		}
	}
}

// An uplink never seen is taken to be as full as those seen, though links are not.
func TestUplinksNotSeen(t *testing.T) {
	b := many(t)
	b.do(Event{Kind: EventProbeResult, Server: 1, Load: []float64{0.3, 0.8}})
	if u := b.c.utilization(b.c.servers[12]); u < 0.75 || u > 0.85 {
		t.Errorf("use %v in a rack never seen, 0.8 was seen in another", u)
	}
}

// A rack on which this front has nothing is not eased: later reports count.
func TestNothingToEase(t *testing.T) {
	b := many(t)
	b.do(Event{Kind: EventProbeResult, Server: 1, Load: []float64{0.3, 2}})
	b.do(Event{Kind: EventTimer, Token: tokenTick})
	if b.c.now < b.c.racks[0].ignoreUntil {
		t.Error("reports of the rack are thrown away")
	}
}

// A server that answers nothing for a second gets nothing more.
func TestSilenceOfTheOnlyHolder(t *testing.T) {
	b := newBed(t, settings())
	b.list(ListFull, Ready)
	b.mustSend(b.arrive(1, 1))
	b.now += unansweredS + 0.1
	if acts := b.arrive(2, 1); find(acts, ActionSetUp) != nil {
		t.Errorf("sent to a silent server: %+v", acts)
	}
}

// Equation 6 is given what sessions earn at their rungs. At full worth, those
// of the lowest rung would look dearest for their size.
func TestRewardByRung(t *testing.T) {
	b := newBed(t, settings())
	for id := SessionID(1); id <= 8; id++ {
		class := int(id) % 2
		sv := ServerID(id%4 + 1)
		b.do(Event{Kind: EventEstablished, Session: id, Class: class, Server: sv, Title: uint64(id), Copies: 4, MaxRung: 4})
		b.do(Event{Kind: EventNote, Session: id, Server: sv, Note: NoteRung, Value: float64(1 - class)})
	}
	for range 300 {
		b.c.arrivalTimes[0], b.c.arrivalTimes[1] = append(b.c.arrivalTimes[0], b.now), append(b.c.arrivalTimes[1], b.now)
	}
	if b.c.updateReserves(); b.c.reservedSlots[0] <= b.c.reservedSlots[1] {
		t.Errorf("reserves %v: the paid class has no more than the other", b.c.reservedSlots)
	}
}

// dear is many where probes and connections cost as much as they tell.
func dear(t *testing.T, seed uint64) *bed {
	t.Helper()
	b := many(t)
	b.c.cfg.ProbeCost, b.c.cfg.HandshakeCost, b.c.probesCostly, b.c.seed = 0.08, 0.08, true, seed
	return b
}

// Where probes are dear, none is made for one session: it goes at once to a holder
// that the front draws for itself, and not all fronts meet on the same.
func TestDearProbes(t *testing.T) {
	set := settings()
	set.ProbeCost = 0.08
	if c, err := New(set, 1); err != nil || !c.probesCostly {
		t.Errorf("a probe at 0.08 of a session is not dear: %v", err)
	}
	sent := map[ServerID]int{}
	for seed := uint64(1); seed <= 80; seed++ {
		b := dear(t, seed)
		b.c.meanLoad.add(0.5)
		acts := b.arrive(1, 1)
		if count(acts, ActionProbe) > 0 {
			t.Fatalf("front %d probed at an arrival", seed)
		}
		sent[b.mustSend(acts)]++
		if a := find(acts, ActionSetRung); a.Rung == 0 {
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
func TestDearProbesAreSpread(t *testing.T) {
	const fronts, seconds = 80, 30
	probes, most, came := 0, 0, 0
	at := map[int]int{}
	for seed := uint64(1); seed <= fronts; seed++ {
		b := dear(t, seed)
		start := b.now
		for tick := 0; tick < 2*seconds; tick++ {
			b.now = start + float64(tick)/2
			if tick > 2 && hashToUnit(seed, uint64(tick)) < 0.5 {
				came++
				b.do(Event{Kind: EventArrival, Session: SessionID(tick + 1), Class: 1, Title: uint64(tick),
					TimeLeftS: 5, Copies: 12, MaxRung: 4})
			}
			n := count(b.answered(b.do(Event{Kind: EventTimer, Token: tokenTick}), 0.5), ActionProbe)
			probes += n
			if at[tick] += n; tick > 10 {
				most = max(most, at[tick])
			}
		}
	}
	cost := float64(probes-fronts*initialProbes) * 0.08 / float64(came)
	if cost > probeCostShare || cost < probeCostShare/2 {
		t.Errorf("%d probes for %d sessions cost %.3f of them", probes, came, cost)
	}
	if most > fronts/2 {
		t.Errorf("%d of %d fronts probed in the same half second", most, fronts)
	}
}

// Fronts that hold less than a slot of each server fill the fleet together and not
// each for itself: before a report, and when twice as many come as it told of.
func TestThinFrontsSumToTheFleet(t *testing.T) {
	const fronts, fleet = 100, 48000.0
	asked := 0.0
	var beds []*bed
	for seed := uint64(1); seed <= fronts; seed++ {
		beds = append(beds, dear(t, seed))
	}
	for round := SessionID(1); round <= 2; round++ {
		told := asked / fleet
		for _, b := range beds {
			if round > 1 {
				b.do(Event{Kind: EventProbeResult, Server: 1, Load: []float64{told, told}})
			}
			acts := b.arrive(round, 1)
			b.mustSend(acts)
			asked += b.c.cfg.RatesKB[find(acts, ActionSetRung).Rung]
		}
		if most := 0.9 + 0.2*float64(round); asked > most*fleet || asked < 0.6*fleet {
			t.Errorf("after round %d the fleet is asked for %.2f of what it gives", round, asked/fleet)
		}
	}
}

// zones is dear with twelve servers in two zones, the odd ones in zone 1.
func zones(t *testing.T, seed uint64) *bed {
	b := dear(t, seed)
	e := Event{Kind: EventList, List: ListFull}
	for i := range 12 {
		e.Entries = append(e.Entries, Entry{Server: ServerID(i + 1), State: Ready, Cell: i, Zone: (i + 1) % 2, Weight: 1})
	}
	b.do(e)
	return b
}

// A front learns of a zone's loss from its first failures and not from each server,
// and comes back once one is heard of. Ends at the zone's servers alone rest no zone
// while others of it are heard of.
func TestLostZone(t *testing.T) {
	const fronts = 80
	failed := 0
	for seed := uint64(1); seed <= fronts; seed++ {
		b := zones(t, seed)
		id := SessionID(0)
		place := func(lost bool) (zone1 bool) {
			id++
			acts := b.do(Event{Kind: EventArrival, Session: id, Class: 1, Title: uint64(id), TimeLeftS: 5, Copies: 12, MaxRung: 4})
			for n := 0; ; n++ {
				sv := b.mustSend(acts)
				if zone1 = sv%2 == 1; !zone1 || !lost {
					b.do(Event{Kind: EventStarted, Session: id, Server: sv, Attempt: n})
					b.end(id, n, sv, OK, true)
					return zone1
				}
				failed++
				acts = b.end(id, n, sv, ConnectFailed, false)
			}
		}
		for range 20 {
			b.now += 0.05
			place(true)
		}
		if !(b.now < b.c.zoneLostUntil[1]) || b.c.totalLinkKB() > 0.6*48000 {
			t.Fatalf("front %d does not know the zone as lost", seed)
		}
		b.do(Event{Kind: EventList, List: ListDelta, Entries: []Entry{{Server: 1, State: Ready, Zone: 1, Weight: 1, StartedAtS: b.now}}})
		back := false
		for range 40 {
			b.now += 0.05
			back = place(false) || back
		}
		if !back {
			t.Errorf("front %d sends nothing to a zone that is back", seed)
		}
	}
	if failed > fronts*(zoneLostAfter+1) {
		t.Errorf("%d fronts failed %d times on one zone", fronts, failed)
	}
	b := zones(t, 1)
	for i := range 6 { // servers short of connections in a zone that lives
		b.c.markAlive(b.c.servers[11])
		b.c.eject(b.c.servers[ServerID(2*(i%4)+1)], Event{Status: ConnectFailed})
	}
	if b.now < b.c.zoneLostUntil[1] {
		t.Error("a zone that is heard of was given up")
	}
}

// A front's own count tells of a crowd before a report does: while its sessions
// double, newcomers get smaller ones. Where loads are told by notes, each note of
// short delivery lowers rungs.
func TestCrowdAndShortage(t *testing.T) {
	b := dear(t, 1)
	b.do(Event{Kind: EventProbeResult, Server: 1, Load: []float64{0.2, 0.2}})
	each := func() float64 {
		list, kb := b.c.fleetShare(b.c.newSession(Event{Session: 99, Class: 1, MaxRung: 4}))
		delete(b.c.sessions, 99)
		return kb / float64(len(list))
	}
	before := each()
	for id := SessionID(1); id <= 20; id++ {
		b.do(Event{Kind: EventEstablished, Session: id, Server: ServerID(id%12 + 1), Class: 1, MaxRung: 4})
	}
	if now := each(); now > before/2 {
		t.Errorf("%.0f kB/s for a newcomer, %.0f before twenty sessions came", now, before)
	}
	b.do(Event{Kind: EventNote, Session: 1, Server: 2, Note: NoteRung, Value: 3})
	for range 20 {
		b.now += 2 * reactionS
		b.do(Event{Kind: EventNote, Session: 1, Server: 2, Note: NoteDeliveredShare, Value: 0.95})
		if find(b.do(Event{Kind: EventTimer, Token: tokenTick}), ActionSetRung) != nil {
			return
		}
	}
	t.Error("no rung was lowered by twenty notes of 0.95")
}

// A report's fields that are no uses, such as a count of streams, and figures out of all
// bounds are no sign of the crowd: a newcomer's rung is that of the use alone.
func TestCrowdIsOfUses(t *testing.T) {
	want := -1
	for _, f := range []struct {
		fields []string
		load   []float64
	}{{[]string{"x0"}, []float64{0.2}}, {[]string{"concurrent", "x0"}, []float64{12, 0.2}}, {[]string{"x1", "x0"}, []float64{1e30, 0.2}}} {
		b := many(t)
		b.c.cfg.LoadFields = f.fields
		for i := range 12 {
			b.do(Event{Kind: EventProbeResult, Server: ServerID(i + 1), Load: f.load})
		}
		rung := find(b.do(Event{Kind: EventArrival, Session: 1, Class: 1, Title: 9, TimeLeftS: 5, Copies: 12, MaxRung: 4}), ActionSetRung).Rung
		if want < 0 {
			want = rung
		}
		if rung != want || rung == 0 {
			t.Errorf("%v: rung %d, %d by the use alone", f.fields, rung, want)
		}
	}
}
