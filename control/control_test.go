package control

import (
	"bufio"
	"math"
	"os"
	"reflect"
	"strings"
	"testing"
)

// The module is ported by hand: its size and line length are limited.
func TestModuleSize(t *testing.T) {
	f, err := os.Open("control.go")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	lines := 0
	in := bufio.NewScanner(f)
	for n := 1; in.Scan(); n++ {
		if strings.TrimSpace(in.Text()) != "" {
			lines++
		}
		if w := len([]rune(strings.ReplaceAll(in.Text(), "\t", "    "))); w > 110 {
			t.Errorf("control.go:%d: %d characters, over 110", n, w)
		}
	}
	if lines > 950 {
		t.Errorf("control.go: %d lines that are not blank, over 950", lines)
	}
}

// settings is a small deployment: two classes, four servers in two racks.
func settings() Settings {
	return Settings{
		Classes: []Class{
			{RepeatEffect: AtMostOnce, StartGoalS: 1.5, Worth: 2, FloorRung: 1, TopRung: 4, RateScale: 1.2, MaxPerTitle: 3},
			{RepeatEffect: Idempotent, StartGoalS: 1, Worth: 1, FloorRung: 0, TopRung: 3, RateScale: 1},
		},
		Managers: 1,
		RatesKB:  []float64{100, 200, 400, 700, 1200}, LadderWorth: []float64{0.2, 0.4, 0.6, 0.8, 1},
		MaxStreamsByKind: []int{30}, Cells: 4, Racks: 2, FleetLinkKB: 16000, LinkKBPerWeight: 4000, RackUplinkKB: 8000,
		FullAtUtilization: 1, NoteDelayS: 1, RungChangeCostS: 0.5,
		LoadReporting: LoadReportsInAnswers, LoadFields: []string{"x0", "x1"}, AttemptsCap: 4,
		ColdSetupMultiple: 2, StartCapacityShare: 0.4, WarmAfterS: 10,
	}
}

// harness drives one Controller by hand.
type harness struct {
	t          *testing.T
	controller *Controller
	now        float64
}

func newHarness(t *testing.T, cfg Settings) *harness {
	t.Helper()
	c, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	b := &harness{t: t, controller: c, now: 1000}
	b.sendList(ListCached, Ready, Ready, Ready, Ready)
	b.now += 20 // past the pace of a young front
	return b
}

func (b *harness) handle(e Event) []Action {
	return append([]Action(nil), b.controller.Handle(b.now, e)...)
}

func (b *harness) sendList(kind ListKind, states ...ServerState) {
	e := Event{Kind: EventList, List: kind}
	for i, s := range states {
		e.Entries = append(e.Entries, Entry{Server: ServerID(i + 1), State: s, Cell: i, Weight: 1})
	}
	b.handle(e)
}

func (b *harness) arrive(id SessionID, class int) []Action {
	return b.handle(Event{Kind: EventArrival, Session: id, Class: class, Title: 9, TimeLeftS: 5, Copies: 4, MaxRung: 4})
}

// answerProbes answers the probes among acts, and returns all that was done.
func (b *harness) answerProbes(acts []Action, load float64) []Action {
	all := append([]Action(nil), acts...)
	for _, a := range acts {
		if a.Kind == ActionProbe {
			all = append(all, b.handle(Event{Kind: EventProbeResult, Server: a.Server, Load: []float64{load, load}})...)
		}
	}
	return all
}

func (b *harness) endAttempt(id SessionID, attempt int, on ServerID, st Status, finished bool) []Action {
	return b.handle(Event{Kind: EventAttemptEnded, Session: id, Attempt: attempt, Server: on, Status: st, RequestFinished: finished})
}

func findAction(acts []Action, kind ActionKind) *Action {
	for i := range acts {
		if acts[i].Kind == kind {
			return &acts[i]
		}
	}
	return nil
}

func (b *harness) mustSetUp(acts []Action) ServerID {
	b.t.Helper()
	a := findAction(acts, ActionSetUp)
	if a == nil {
		b.t.Fatalf("no HandOff in %+v", acts)
	}
	return a.Server
}

func TestPaperExample(t *testing.T) {
	// Section 4's worked example, n = 20.
	got := searchReserves(20, []float64{5, 40}, 1, []float64{10, 2}, []float64{2, 1})
	if want := []int{7, 0}; !reflect.DeepEqual(got, want) {
		t.Errorf("search = %v, want %v", got, want)
	}
}

// Tables 2 and 3. The printed pay-offs are rounded to whole numbers. Where the
// pay-off is flat, the search along one reserve at a time may stop beside the
// printed split, so the pay-off is compared with the best of all splits.
func TestPaperTables(t *testing.T) {
	for _, e := range []struct {
		n             int
		lh, ll, vh    float64
		nh, nl        int
		dynamic, free float64
	}{
		{16, 1, 10, 2, 0, 9, 12, 11}, {16, 1, 10, 5, 1, 8, 15, 14}, {16, 1, 10, 10, 1, 8, 19, 18},
		{16, 5, 10, 2, 3, 3, 15, 14}, {16, 5, 10, 5, 5, 1, 28, 27}, {16, 5, 10, 10, 6, 0, 52, 48},
		{16, 10, 10, 2, 8, 0, 14, 12}, {16, 10, 10, 5, 12, 0, 41, 33}, {16, 10, 10, 10, 14, 0, 88, 69},
		{84, 10, 100, 2, 7, 17, 59, 57}, {84, 10, 100, 5, 10, 6, 86, 79}, {84, 10, 100, 10, 12, 0, 134, 117},
		{84, 50, 100, 2, 50, 0, 49, 20}, {84, 50, 100, 5, 56, 0, 192, 103}, {84, 50, 100, 10, 60, 0, 436, 242},
		{84, 100, 100, 2, 84, 0, 22, -50}, {84, 100, 100, 5, 84, 0, 263, 75}, {84, 100, 100, 10, 84, 0, 666, 283},
	} {
		l, v, q := []float64{e.lh, e.ll}, []float64{e.vh, 1}, []float64{2, 1}
		free := payoff([]int{0, 0}, e.n, l, 1, v, q)
		printed := payoff([]int{e.nh, e.nl}, e.n-e.nh-e.nl, l, 1, v, q)
		if math.Abs(free-e.free) > 1 || math.Abs(printed-e.dynamic) > 1 {
			t.Errorf("%+v: free %.2f, at the printed split %.2f", e, free, printed)
		}
		best := math.Inf(-1)
		for nh := 0; nh <= e.n; nh++ {
			for nl := 0; nh+nl <= e.n; nl++ {
				best = max(best, payoff([]int{nh, nl}, e.n-nh-nl, l, 1, v, q))
			}
		}
		r := searchReserves(e.n, l, 1, v, q)
		found := payoff(r, e.n-r[0]-r[1], l, 1, v, q)
		if best-found > 0.005*math.Abs(best) {
			t.Errorf("%+v: search %v pays %.3f, the best split %.3f", e, r, found, best)
		}
	}
}

func TestAtMostOnceIsNeverSentTwice(t *testing.T) {
	for _, e := range []struct {
		status Status
		want   ActionKind
	}{
		{Errored, ActionFail}, {TimedOut, ActionFail}, {ConnectionReset, ActionFail}, {Cancelled, ActionFail},
		{Full, ActionSetUp}, {ConnectFailed, ActionSetUp}, {NotSent, ActionSetUp},
	} {
		b := newHarness(t, settings())
		acts := b.arrive(1, 0)
		sv := b.mustSetUp(acts)
		if timeout := findAction(acts, ActionSetUp).SetupTimeoutS; timeout != 0 {
			t.Errorf("a set-up that can't be repeated has a time-out of %v", timeout)
		}
		b.now += 0.2
		acts = b.endAttempt(1, 0, sv, e.status, false)
		for _, k := range []ActionKind{ActionFail, ActionSetUp, ActionRefuse} {
			if got := findAction(acts, k) != nil; got != (k == e.want) {
				t.Errorf("after %d: action %d is %v: %+v", e.status, k, got, acts)
			}
		}
	}
}

func TestTimeOutAtTheDeadlineIsAnsweredAtOnce(t *testing.T) {
	for class, want := range []ActionKind{ActionFail, ActionRefuse} {
		b := newHarness(t, settings())
		sv := b.mustSetUp(b.arrive(1, class))
		b.now += 5
		if acts := b.endAttempt(1, 0, sv, TimedOut, false); findAction(acts, want) == nil {
			t.Errorf("class %d: no answer in %+v", class, acts)
		}
	}
}

func TestOneAttemptAtATime(t *testing.T) {
	b := newHarness(t, settings())
	b.mustSetUp(b.arrive(1, 1))
	for range 20 {
		b.now += 0.1
		for _, tok := range []uint32{tokenTick, tokenRetryWaiting} {
			if acts := b.handle(Event{Kind: EventTimer, Token: tok}); findAction(acts, ActionSetUp) != nil {
				t.Fatal("a second attempt while one is out")
			}
		}
	}
}

func TestDrainingAndMissingServersGetNoSetups(t *testing.T) {
	for _, e := range []struct {
		name   string
		kind   ListKind
		states []ServerState
	}{
		{"draining", ListDelta, []ServerState{Draining, Draining, Draining}},
		{"gone", ListDelta, []ServerState{Gone, Gone, Gone}},
		{"missing from a full list", ListFull, nil},
	} {
		b := newHarness(t, settings())
		b.sendList(e.kind, e.states...)
		if e.kind == ListFull {
			b.handle(Event{Kind: EventList, List: ListFull, Entries: []Entry{{Server: 4, State: Ready, Cell: 3, Weight: 1}}})
		}
		for id := SessionID(1); id < 4; id++ {
			if sv := b.mustSetUp(b.arrive(id, 1)); sv != 4 {
				t.Errorf("%s: sent to %d", e.name, sv)
			}
			b.now += 0.1
		}
	}
}

func TestColdServerSetupRate(t *testing.T) {
	for _, e := range []struct {
		name string
		warm func(*harness)
	}{
		{"listed as fresh", func(b *harness) {
			b.handle(Event{Kind: EventList, List: ListFull, Entries: []Entry{
				{Server: 1, State: Ready, Weight: 1, StartedAtS: b.now - 0.5}}})
		}},
		{"seen to break", func(b *harness) {
			b.sendList(ListFull, Ready)
			sv := b.mustSetUp(b.arrive(99, 1))
			b.endAttempt(99, 0, sv, ConnectionReset, true)
			b.now += ejectionS * 2
		}},
		{"listed as fresh to a young front", func(b *harness) {
			b.controller.startedAt = b.now
			b.handle(Event{Kind: EventList, List: ListFull, Entries: []Entry{
				{Server: 1, State: Ready, Weight: 1, StartedAtS: b.now - 0.5}}})
		}},
	} {
		cfg := settings()
		cfg.Managers = 3
		b := newHarness(t, cfg)
		e.warm(b)
		allowed := cfg.ColdSetupMultiple * 30 / cfg.WarmAfterS * cfg.StartCapacityShare / float64(cfg.Managers)
		sends := 0
		for i := range 30 { // three seconds
			b.now += 0.1
			id := SessionID(i + 1)
			if a := findAction(b.arrive(id, 1), ActionSetUp); a != nil {
				sends++
				b.endAttempt(id, 0, a.Server, OK, true)
			}
			if a := findAction(b.handle(Event{Kind: EventTimer, Token: tokenRetryWaiting}), ActionSetUp); a != nil {
				sends++
				b.endAttempt(a.Session, 0, a.Server, OK, true)
			}
		}
		if sends == 0 || float64(sends) > 1+3*allowed {
			t.Errorf("%s: %d sends in 3 s, at most %.1f allowed", e.name, sends, 1+3*allowed)
		}
	}
}

// A young front paces only what is listed as cold. Pacing every server for its
// first warm-up, against a restart that the list might hide, spread each
// restarted front's sessions over many servers, one a pace: on the days at size
// a tenth of the fleet restarting paid for it in handshakes and refusals.
func TestNewManagerSendsToWarmServers(t *testing.T) {
	cfg := settings()
	cfg.Managers = 3
	b := newHarness(t, cfg)
	b.sendList(ListFull, Ready) // up since before the list began
	b.controller.startedAt = b.now
	for i := range 30 { // three seconds, one viewer at a time
		b.now += 0.1
		id := SessionID(i + 1)
		sv := b.mustSetUp(b.arrive(id, 1))
		b.endAttempt(id, 0, sv, OK, true)
	}
}

func TestRetryTimersDoNotMultiply(t *testing.T) {
	b := newHarness(t, settings())
	b.handle(Event{Kind: EventList, List: ListFull, Entries: []Entry{{Server: 1, State: Ready, Weight: 1, StartedAtS: b.now - 0.5}}})
	timers := 0
	for id := SessionID(1); id <= 40; id++ {
		for _, a := range b.arrive(id, 1) {
			if a.Kind == ActionSetTimer && a.Token == tokenRetryWaiting {
				timers++
			}
		}
	}
	waitingSessions := len(b.controller.waiting)
	b.now = b.controller.waiting[0].waitUntil
	for range 50 { // all fire in one batch
		for _, a := range b.handle(Event{Kind: EventTimer, Token: tokenRetryWaiting}) {
			if a.Kind == ActionSetTimer {
				timers++
			}
		}
	}
	if waitingSessions == 0 || timers > 2*waitingSessions {
		t.Errorf("%d wakes asked for by %d sessions", timers, waitingSessions)
	}
}

func TestMaxPerTitleAndFloorRung(t *testing.T) {
	b := newHarness(t, settings())
	for id := SessionID(1); id <= 4; id++ {
		acts := b.arrive(id, 0)
		if got := findAction(acts, ActionSetUp) != nil; got != (id <= 3) {
			t.Errorf("session %d of a title with 3 seats: sent is %v", id, got)
		}
		if a := findAction(acts, ActionSetRung); a != nil && a.Rung < 1 {
			t.Errorf("rung %d under the floor", a.Rung)
		}
	}
	b = newHarness(t, settings())
	acts := b.handle(Event{Kind: EventArrival, Session: 1, TimeLeftS: 3, Copies: 4, MaxRung: 0})
	if findAction(acts, ActionRefuse) == nil || findAction(acts, ActionSetUp) != nil {
		t.Errorf("a viewer whose best rung is under the floor: %+v", acts)
	}
}

func TestAttemptBudget(t *testing.T) {
	cfg := settings()
	cfg.BudgetWindowS, cfg.BudgetFree, cfg.BudgetShare = 10, 1, 0.1
	b := newHarness(t, cfg)
	further := 0
	for id := SessionID(1); id <= 3; id++ {
		sv := b.mustSetUp(b.arrive(id, 1))
		if acts := b.endAttempt(id, 0, sv, NotSent, false); findAction(acts, ActionSetUp) != nil {
			further++
		} else if findAction(acts, ActionRefuse) == nil {
			t.Errorf("no answer in %+v", acts)
		}
		b.now += 0.1
	}
	if further != 1 {
		t.Errorf("%d further attempts, want 1", further)
	}
}

func TestDeduplicatedRunsOnce(t *testing.T) {
	cfg := settings()
	cfg.Classes[1].RepeatEffect = Deduplicated
	b := newHarness(t, cfg)
	sv := b.mustSetUp(b.arrive(1, 1))
	if acts := b.endAttempt(1, 0, sv, Errored, false); findAction(acts, ActionFail) == nil || findAction(acts, ActionSetUp) != nil {
		t.Errorf("after an attempt that may have run: %+v", acts)
	}
}

// Reserve first, then the shared part: a class finds its own reserve where the
// other class fills all that is shared, and is refused at once beyond it.
func TestReserveThenShared(t *testing.T) {
	cfg := settings()
	cfg.Classes[0].MaxPerTitle = 0
	b := newHarness(t, cfg)
	b.sendList(ListFull, Ready)
	b.controller.meanSlots, b.controller.reservedSlots = 9, []float64{3, 0} // of 9 slots of 400 kB/s
	sent := 0
	for id := SessionID(1); id <= 100; id++ {
		acts := b.handle(Event{Kind: EventArrival, Session: id, Class: 1, Title: 9, TimeLeftS: 5, Copies: 4, MaxRung: 2})
		if findAction(acts, ActionSetUp) == nil {
			if findAction(acts, ActionRefuse) == nil {
				t.Fatalf("not refused at once: %+v", acts)
			}
			break
		}
		sent++
	}
	sv := b.controller.servers[1]
	if sv.ownKB > 6*400 || sent < 5 {
		t.Errorf("the free class fills %v kB/s with %d sessions, %v shared", sv.ownKB, sent, 6*400)
	}
	b.mustSetUp(b.handle(Event{Kind: EventArrival, Session: 200, Class: 0, Title: 9, TimeLeftS: 3, Copies: 4, MaxRung: 2}))
}

func TestLeastUsedHolder(t *testing.T) {
	b := newHarness(t, settings())
	seen := map[ServerID]bool{}
	for id := SessionID(1); id <= 4; id++ {
		seen[b.mustSetUp(b.arrive(id, 1))] = true
	}
	if len(seen) != 4 {
		t.Errorf("four sessions went to %d servers", len(seen))
	}
}

// A note of a shortage lowers rungs in play, down to the floors at the most.
func TestShortageLowersRungs(t *testing.T) {
	b := newHarness(t, settings())
	sv := b.mustSetUp(b.arrive(1, 0))
	b.handle(Event{Kind: EventStarted, Session: 1, Server: sv})
	for range 6 {
		b.now += 1.5
		b.handle(Event{Kind: EventNote, Session: 1, Note: NoteLinkUtilization, Value: 3, Server: sv})
		b.handle(Event{Kind: EventTimer, Token: tokenTick})
	}
	if r := b.controller.sessions[1].rung; r != 1 {
		t.Errorf("rung %d after a lasting shortage, want the floor 1", r)
	}
}

// A silent server takes set-ups and answers none: others are used.
func TestUnansweringServerGetsNoSetups(t *testing.T) {
	b := newHarness(t, settings())
	silent := b.mustSetUp(b.arrive(1, 0))
	b.now += unansweredS + 0.1
	for id := SessionID(2); id < 10; id++ {
		if sv := b.mustSetUp(b.arrive(id, 1)); sv == silent {
			t.Fatal("sent to a server that has not answered for long")
		}
	}
}

// An error on a title that has played rests its server. One on a title that never
// has may be its viewer's fault: only many with no start between do.
func TestFailingServerIsEjected(t *testing.T) {
	for _, e := range []struct {
		played bool
		errors int
		rests  bool
	}{{true, 1, true}, {false, 1, false}, {false, unprovenErrorLimit, true}} {
		b := newHarness(t, settings())
		failing := b.mustSetUp(b.arrive(1, 1))
		sv, title := b.controller.servers[failing], b.controller.sessions[1].title
		if e.played {
			b.handle(Event{Kind: EventStarted, Session: 1, Server: failing})
		}
		b.endAttempt(1, 0, failing, OK, true)
		for range e.errors {
			s := &session{id: 99, title: title, server: sv, nextAttempt: 1}
			b.controller.sessions[99] = s
			b.controller.attach(s, sv)
			b.endAttempt(99, 0, failing, Errored, true)
		}
		if rests := sv.ejectedUntil > b.now; rests != e.rests {
			t.Errorf("%+v: rests %v", e, rests)
		}
	}
}

// What is the fault of one connection or one answer is not its server's: it
// serves others meanwhile.
func TestFaultOfOneConnectionDoesNotEject(t *testing.T) {
	for _, e := range []struct {
		end   Event
		life  bool
		rests bool
	}{
		{Event{Status: ConnectionReset}, false, true}, {Event{Status: ConnectionReset, ConnectionOnly: true}, false, false},
		{Event{Status: TimedOut}, false, true}, {Event{Status: TimedOut}, true, false},
	} {
		b := newHarness(t, settings())
		failing := b.mustSetUp(b.arrive(1, 1))
		b.now += 2 * unansweredS
		if e.life {
			b.handle(Event{Kind: EventProbeResult, Server: failing, Load: []float64{0.1, 0.1}})
		}
		e.end.Kind, e.end.Session, e.end.Server, e.end.RequestFinished = EventAttemptEnded, 1, failing, true
		b.handle(e.end)
		if sv := b.controller.servers[failing]; sv.ejectedUntil > b.now != e.rests || sv.coldUntil > b.now != (e.rests && e.end.Status == ConnectionReset) {
			t.Errorf("%+v: rests till %v, cold till %v, now %v", e, sv.ejectedUntil, sv.coldUntil, b.now)
		}
	}
}

// A viewer who would be refused gets room from sessions on rungs that earn little
// for their rate; not at a server that has been silent, and never under a floor.
func TestRungsAreLoweredForNewcomer(t *testing.T) {
	for _, silent := range []bool{false, true} {
		cfg := settings()
		cfg.LadderWorth = []float64{0.6, 0.8, 0.9, 0.95, 1}
		b := newHarness(t, cfg)
		lowered, refused := 0, 0
		for id := SessionID(1); id < 400 && refused == 0; id++ {
			if silent {
				b.now += makeRoomSilenceS + 0.1
			}
			acts := b.answerProbes(b.arrive(id, 1), 0.1)
			refused += countActions(acts, ActionRefuse)
			for _, a := range acts {
				if a.Kind == ActionSetRung && a.Session != id {
					lowered++
					if s := b.controller.sessions[a.Session]; a.Rung < b.controller.cfg.Classes[s.class].FloorRung {
						t.Fatalf("session %d is on rung %d", a.Session, a.Rung)
					}
				}
			}
			if sent := findAction(acts, ActionSetUp); sent != nil {
				b.handle(Event{Kind: EventStarted, Session: id, Server: sent.Server})
			}
		}
		if refused == 0 || (lowered == 0) != silent {
			t.Errorf("silent %v: %d lowered, %d refused", silent, lowered, refused)
		}
	}
}

// Where the classes' goals are shorter, the same happens sooner: at half the goals
// and half all other times the module does the same in half the time.
func TestTimesScaleWithStartGoals(t *testing.T) {
	play := func(unit float64) (all []Action) {
		cfg := settings()
		for i := range cfg.Classes {
			cfg.Classes[i].StartGoalS *= unit
		}
		cfg.NoteDelayS, cfg.RungChangeCostS, cfg.WarmAfterS = cfg.NoteDelayS*unit, cfg.RungChangeCostS*unit, cfg.WarmAfterS*unit
		c, err := New(cfg, 7)
		if err != nil {
			t.Fatal(err)
		}
		b := &harness{t: t, controller: c}
		var timers []Action
		for step := range 400 {
			b.now = (1000 + 0.25*float64(step)) * unit
			id := SessionID(step + 1)
			var out []Action
			switch {
			case step == 0:
				b.sendList(ListCached, Ready, Ready, Ready, Ready)
			case step%3 == 0:
				out = b.handle(Event{Kind: EventArrival, Session: id, Class: step % 2, Title: uint64(step % 7), TimeLeftS: 5 * unit, Copies: 4, MaxRung: 4})
			case len(timers) > 0:
				out = b.handle(Event{Kind: EventTimer, Token: timers[0].Token})
				timers = timers[1:]
			}
			for _, a := range out {
				switch a.Kind {
				case ActionSetTimer:
					timers = append(timers, a)
				case ActionProbe:
					b.handle(Event{Kind: EventProbeResult, Server: a.Server, Load: []float64{0.5, 0.5}})
				case ActionSetUp:
					b.handle(Event{Kind: EventStarted, Session: a.Session, Server: a.Server})
				}
				a.SetupTimeoutS, a.DelayS, a.RetryAfterS = a.SetupTimeoutS/unit, a.DelayS/unit, a.RetryAfterS/unit
				all = append(all, a)
			}
		}
		return all
	}
	usual, quick := play(1), play(0.5)
	if len(usual) < 100 || !reflect.DeepEqual(usual, quick) {
		t.Errorf("%d actions at the usual pace, %d at twice that, or other ones", len(usual), len(quick))
	}
}

// Events that name nothing known, and odd values, are ignored without a fault.
func TestInvalidEvents(t *testing.T) {
	b := newHarness(t, settings())
	sv := b.mustSetUp(b.arrive(1, 1))
	b.handle(Event{Kind: EventStarted, Session: 1, Server: sv})
	for _, v := range []float64{math.NaN(), math.Inf(1), -1, 1e30, 0} {
		for kind := NoteKind(0); kind < 7; kind++ {
			b.handle(Event{Kind: EventNote, Session: 1, Server: sv, Note: kind, Value: v})
		}
		b.handle(Event{Kind: EventProbeResult, Server: sv, Load: []float64{v, v, v}})
		b.handle(Event{Kind: EventArrival, Session: 50, Class: 1, TimeLeftS: v, ExpectedLengthS: v, MaxRung: v, HomeCell: -1, Copies: 9})
	}
	b.handle(Event{Kind: EventProbeResult, Server: 77, Load: []float64{1}})
	for kind := EventList; kind <= EventNote; kind++ {
		b.handle(Event{Kind: kind, Session: 12345, Class: 99, Server: 99, Token: 99, List: ListDelta,
			Entries: []Entry{{Server: 70, Cell: 99}}})
	}
	acts := b.handle(Event{Kind: EventArrival, Session: 60, Class: 1, TimeLeftS: 5, HomeCell: 2, Copies: 0})
	if findAction(acts, ActionRefuse) == nil {
		t.Errorf("a title without a holder gets no answer: %+v", acts)
	}
	if u := b.controller.utilization(b.controller.servers[sv]); math.IsNaN(u) || math.IsInf(u, 0) {
		t.Errorf("use is %v", u)
	}
}

func TestSettingsErrorsNameTheField(t *testing.T) {
	for field, spoil := range map[string]func(*Settings){
		"RatesKB":     func(s *Settings) { s.RatesKB = nil },
		"RatesKB[1]":  func(s *Settings) { s.RatesKB = []float64{2, 1, 3, 4, 5} },
		"LadderWorth": func(s *Settings) { s.LadderWorth = s.LadderWorth[:2] },
		"Classes":     func(s *Settings) { s.Classes = nil },
		"Scale":       func(s *Settings) { s.Classes[1].RateScale = math.NaN() },
		"Floor":       func(s *Settings) { s.Classes[0].FloorRung = 5 },
		"LinkKB":      func(s *Settings) { s.LinkKBPerWeight = math.Inf(1) },
		"WarmAfterS":  func(s *Settings) { s.WarmAfterS = -1 },
		"Fronts":      func(s *Settings) { s.Managers = 0 },
	} {
		s := settings()
		spoil(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: error %v", field, err)
		}
	}
}

// The same events give the same actions.
func TestDeterministic(t *testing.T) {
	play := func() []Action {
		cfg := settings()
		cfg.Managers = 2
		b := newHarness(t, cfg)
		var all []Action
		for i := range 300 {
			b.now += 0.07
			id := SessionID(i + 1)
			acts := b.arrive(id, i%2)
			if a := findAction(acts, ActionSetUp); a != nil && i%3 > 0 {
				acts = append(acts, b.endAttempt(id, 0, a.Server, []Status{OK, Errored, Full}[i%3], i%3 == 0)...)
			}
			acts = append(acts, b.handle(Event{Kind: EventTimer, Token: tokenTick})...)
			all = append(all, acts...)
		}
		return all
	}
	if !reflect.DeepEqual(play(), play()) {
		t.Error("two plays of the same events differ")
	}
}

// The rung of one session counts on a part of the room only: others fill it too.
func TestRungLeavesUplinkRoom(t *testing.T) {
	cfg := settings()
	cfg.Racks, cfg.RackUplinkKB, cfg.Managers = 1, 1500, 100
	b := newHarness(t, cfg)
	b.mustSetUp(b.arrive(1, 1))
	if s := b.controller.sessions[1]; b.controller.rateKB(s, s.rung) > othersRoomShare*TargetUtilization*1500 {
		t.Errorf("rung %d takes %v of an uplink of 1500", s.rung, b.controller.rateKB(s, s.rung))
	}
}

// A short uplink is answered by all servers of its rack, not the first alone.
func TestUplinkShortageIsSharedByRack(t *testing.T) {
	cfg := settings()
	cfg.Racks = 1
	b := newHarness(t, cfg)
	for id := SessionID(1); id <= 4; id++ {
		sv := b.mustSetUp(b.arrive(id, 1))
		b.handle(Event{Kind: EventStarted, Session: id, Server: sv})
	}
	b.now += 2
	before, lowered := b.controller.ownKB, 0
	b.handle(Event{Kind: EventNote, Session: 1, Note: NoteUplinkUtilization, Value: 2, Server: b.controller.sessions[1].server.Server})
	for _, a := range b.handle(Event{Kind: EventTimer, Token: tokenTick}) {
		if a.Kind == ActionSetRung {
			lowered++
		}
	}
	if lowered < 2 || b.controller.ownKB < before/4 || b.controller.ownKB > before*3/4 {
		t.Errorf("%d sessions lowered, %v of %v left", lowered, b.controller.ownKB, before)
	}
}

// Every optional input may be absent: each session gets one answer all the same.
func TestWithoutOptionalInputs(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"no reports":   func(s *Settings) { s.LoadReporting, s.LoadFields = LoadReportsNone, nil },
		"probes only":  func(s *Settings) { s.LoadReporting, s.ProbesAllowed = LoadReportsInProbes, true },
		"many fronts":  func(s *Settings) { s.Managers = 5 },
		"no racks":     func(s *Settings) { s.Racks, s.RackUplinkKB = 0, 0 },
		"no guard":     func(s *Settings) { s.FullAtUtilization = 0 },
		"no warm-up":   func(s *Settings) { s.WarmAfterS = 0 },
		"no kinds":     func(s *Settings) { s.MaxStreamsByKind = nil },
		"live weights": func(s *Settings) { s.Weights = WeightSizePerLoad },
		"one rung": func(s *Settings) {
			s.RatesKB, s.LadderWorth, s.Classes[0].FloorRung = []float64{400}, []float64{1}, 0
		},
	} {
		cfg := settings()
		change(&cfg)
		b := newHarness(t, cfg)
		for id := SessionID(1); id <= 60; id++ {
			b.now += 0.05
			acts := b.answerProbes(b.arrive(id, int(id)%2), 0.5)
			sent, denied := findAction(acts, ActionSetUp), findAction(acts, ActionRefuse)
			if (sent != nil) == (denied != nil) {
				t.Fatalf("%s: session %d is not sent or refused: %+v", name, id, acts)
			}
			if sent != nil {
				b.handle(Event{Kind: EventStarted, Session: id, Server: sent.Server})
			}
			b.answerProbes(b.handle(Event{Kind: EventTimer, Token: tokenTick}), 0.5)
		}
	}
}

// Where the list must be asked for, it is; a failed call is repeated later, not
// at once, and the old list holds.
func TestSubscribe(t *testing.T) {
	cfg := settings()
	cfg.SubscribeToList = true
	c, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	b := &harness{t: t, controller: c, now: 5}
	acts := b.handle(Event{Kind: EventList, List: ListCached, Entries: []Entry{{Server: 1, State: Ready, Weight: 1}}})
	if findAction(acts, ActionSubscribe) == nil {
		t.Fatalf("no subscription in %+v", acts)
	}
	acts = b.handle(Event{Kind: EventList, List: ListFailed})
	if findAction(acts, ActionSubscribe) != nil || findAction(acts, ActionSetTimer) == nil {
		t.Errorf("after a failure: %+v", acts)
	}
	b.now++
	if acts = b.handle(Event{Kind: EventTimer, Token: tokenSubscribe}); findAction(acts, ActionSubscribe) == nil {
		t.Errorf("not asked again: %+v", acts)
	}
	b.now += 20
	b.mustSetUp(b.arrive(1, 1))
}

// A new session's rung follows Equation 6's reward: previews at a low rung do not
// look as dear as paid sessions, so that something is reserved for these.
func TestReservesFavourWorthierClass(t *testing.T) {
	cfg := settings()
	cfg.Classes[0].MaxPerTitle = 0
	b := newHarness(t, cfg)
	for id := SessionID(1); id <= 200; id++ {
		b.now += 0.1
		if sent := findAction(b.arrive(id, int(id)%2), ActionSetUp); sent != nil {
			b.handle(Event{Kind: EventStarted, Session: id, Server: sent.Server})
		}
	}
	b.controller.updateReserves()
	if b.controller.reservedSlots[0] < 1 || b.controller.reservedSlots[0] <= b.controller.reservedSlots[1] {
		t.Errorf("reserves %v in overload", b.controller.reservedSlots)
	}
}

// A server of very many slots must not hold the front up: the search takes
// their square in time.
func TestReserveSearchIsBounded(t *testing.T) {
	cfg := settings()
	cfg.LinkKBPerWeight, cfg.RackUplinkKB, cfg.MaxStreamsByKind = 1e12, 1e12, []int{1 << 30}
	b := newHarness(t, cfg)
	b.arrive(1, 0)
	b.now += 2 * reserveUpdateS
	b.handle(Event{Kind: EventTimer, Token: tokenTick})
	if b.controller.meanSlots < 1e6 {
		t.Errorf("%v slots scored", b.controller.meanSlots)
	}
}

func TestRefusalTellsRetryAfter(t *testing.T) {
	b := newHarness(t, settings())
	b.sendList(ListFull)
	if a := findAction(b.arrive(1, 0), ActionRefuse); a == nil || a.RetryAfterS != minRetryAfterS {
		t.Errorf("refusal %+v", a)
	}
}
