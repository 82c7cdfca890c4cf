package broker

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"millethinge/control"
)

// fake is the nodes and the clients of a test: it notes what they are told.
type fake struct {
	told []string
	none bool // no node takes a set-up
	deaf bool // no reply reaches it
	left bool // its client has gone, and the broker is not told yet
}

func (f *fake) note(format string, args ...any) {
	f.told = append(f.told, fmt.Sprintf(format, args...))
}

func (f *fake) SetUp(s control.ServerID, a Attempt) bool {
	f.note("setup %d", a.ID)
	return !f.none
}
func (f *fake) GiveUp(s control.ServerID, id control.SessionID, n int, timedOut bool) {
	f.note("giveup %d", id)
}
func (f *fake) Stands(control.ServerID, control.SessionID) bool { return true }
func (f *fake) Release(s control.ServerID, id control.SessionID, cause int) {
	f.note("teardown %d", id)
}
func (f *fake) SetRung(s control.ServerID, id control.SessionID, rung int) { f.note("rung %d", rung) }
func (f *fake) Probe(control.ServerID)                                     {}
func (f *fake) Deliver(r Reply) bool {
	if r.Kind == GivenUp || r.Kind == Closed {
		return true
	}
	f.note("%s %d", [...]string{"served", "refused", "failed", "over", "moved"}[r.Kind], r.ID)
	return !f.deaf
}

func (f *fake) Gone(control.SessionID) bool { return f.left }

func (f *fake) take() string {
	defer func() { f.told = nil }()
	return strings.Join(f.told, ", ")
}

const (
	clip = 0
	feed = 1
)

func settings() control.Settings {
	return control.Settings{
		Classes: []control.Class{
			{RepeatEffect: control.AtMostOnce, StartGoalS: 1.5, Worth: 2, FloorRung: 1, TopRung: 2, RateScale: 1},
			{RepeatEffect: control.Idempotent, StartGoalS: 1.5, Worth: 1, TopRung: 2, RateScale: 1},
		},
		RatesKB: []float64{1, 2, 3}, LadderWorth: []float64{0.3, 0.6, 1}, MaxStreamsByKind: []int{100},
		Managers: 1, Cells: 1, Racks: 1, FleetLinkKB: 1e4, LinkKBPerWeight: 1e3, RackUplinkKB: 1e5, AttemptsCap: 4,
	}
}

// bed is a broker that the test drives in place of its goroutine.
func bed(t *testing.T, teams ...Team) (*Broker, *fake) {
	t.Helper()
	f := &fake{}
	b, err := New(Config{Settings: settings(), Seed: 1, Teams: teams, Nodes: f, Log: zap.NewNop()})
	if err != nil {
		t.Fatal(err)
	}
	b.handle(List{Entries: []control.Entry{{Server: 1, State: control.Ready, Weight: 1}, {Server: 2, State: control.Ready, Weight: 1}}})
	return b, f
}

func (b *Broker) ask(f *fake, id control.SessionID, class, team int, grace time.Duration) {
	b.handle(Request{ID: id, Class: class, Team: team, Title: 1, Span: 1, MaxRung: 2,
		Left: 3 * time.Second, Came: time.Now(), Client: f, Grace: grace})
}

func (b *Broker) tells(id control.SessionID, kind ReportKind, status control.Status) {
	r := Report{Kind: kind, ID: id, Status: status}
	if s := b.sessions[id]; s != nil {
		r.Server, r.Number = s.server, s.attempt
	}
	b.handle(r)
}

func TestOutcomes(t *testing.T) {
	for _, e := range []struct {
		name   string
		class  int
		status control.Status
		want   string
	}{
		// A paid session goes on only where the attempt provably did not run.
		{"clip full", clip, control.Full, "setup 1, setup 1"},
		{"clip not connected", clip, control.ConnectFailed, "setup 1, setup 1"},
		{"clip errored", clip, control.Errored, "setup 1, failed 1"},
		{"clip reset", clip, control.ConnectionReset, "setup 1, failed 1"},
		{"clip timed out", clip, control.TimedOut, "setup 1, failed 1"},
		{"feed reset", feed, control.ConnectionReset, "setup 1, setup 1"},
		{"feed timed out", feed, control.TimedOut, "setup 1, setup 1"},
	} {
		b, f := bed(t)
		b.ask(f, 1, e.class, -1, 0)
		b.tells(1, Ended, e.status)
		if got := f.take(); got != e.want {
			t.Errorf("%s: %s, want %s", e.name, got, e.want)
		}
	}
}

// Whatever the module says, a session that may have run is never refused.
func TestRefusalGuard(t *testing.T) {
	b, f := bed(t)
	b.ask(f, 1, clip, -1, 0)
	s := b.sessions[1]
	b.act(b.clock.now(), control.Action{Kind: control.ActionRefuse, Session: 1})
	if got := f.take(); got != "setup 1, failed 1" || !s.answered {
		t.Error(got)
	}
	// Nor does a second attempt leave beside one that is out.
	b.ask(f, 2, clip, -1, 0)
	b.act(b.clock.now(), control.Action{Kind: control.ActionSetUp, Session: 2, Server: 2})
	if got := f.take(); got != "setup 2" {
		t.Error(got)
	}
}

// The answer comes before the viewer's time is up though the node hangs, once
// only; a 200 after it is torn down.
func TestOverdue(t *testing.T) {
	b, f := bed(t)
	b.ask(f, 1, clip, -1, 0)
	server := b.sessions[1].server
	b.overdue(1)
	b.overdue(1)
	b.handle(Report{Kind: Started, Server: server, ID: 1, Number: 1})
	if got := f.take(); got != "setup 1, failed 1, giveup 1, teardown 1" {
		t.Error(got)
	}
	if len(b.sessions) != 0 || len(b.open) != 0 {
		t.Errorf("%d sessions, %d open", len(b.sessions), len(b.open))
	}
}

func TestViewerLeaves(t *testing.T) {
	b, f := bed(t)
	b.ask(f, 1, clip, -1, 0)
	b.handle(ViewerEnd{ID: 1, Cause: 16})
	b.tells(1, Ended, control.Cancelled)
	b.ask(f, 2, feed, -1, 0)
	b.tells(2, Started, 0)
	b.handle(lost{f}) // no connection owns a session that stands
	b.handle(ViewerEnd{ID: 2, Cause: 16})
	if got := f.take(); got != "setup 1, giveup 1, setup 2, served 2, teardown 2" {
		t.Error(got)
	}
	if len(b.sessions) != 0 {
		t.Errorf("%d sessions left", len(b.sessions))
	}
}

// A player whose socket is lost is joined to what goes on, and told once what
// it missed; nothing is set up again.
func TestPlayerComesBack(t *testing.T) {
	b, f := bed(t)
	second := &fake{}
	b.ask(f, 1, clip, -1, time.Minute)
	b.handle(lost{f})
	b.tells(1, Started, 0)
	b.ask(second, 1, clip, -1, time.Minute)
	b.ask(f, 2, clip, -1, time.Minute)
	b.handle(lost{f})
	b.tells(2, Ended, control.Errored)
	b.ask(second, 2, clip, -1, time.Minute)
	if got := f.take() + "; " + second.take(); got != "setup 1, setup 2; served 1, failed 2" {
		t.Error(got)
	}
}

func TestTeams(t *testing.T) {
	team := Team{Name: "a", Classes: []bool{true, false}, Standing: 2, SetUps: 3, Extra: 1, Period: time.Hour}
	b, f := bed(t, team)
	b.ask(f, 1, feed, 0, 0) // not in its contract
	b.ask(f, 2, clip, 0, 0)
	b.ask(f, 3, clip, 0, 0)
	b.ask(f, 4, clip, 0, 0) // two stand
	if got := f.take(); got != "refused 1, setup 2, setup 3, refused 4" {
		t.Error(got)
	}
	b.handle(ViewerEnd{ID: 2, Cause: 16})
	b.tells(2, Ended, control.Cancelled)
	b.tells(3, Ended, control.NotSent) // its one further attempt
	b.ask(f, 5, clip, 0, 0)
	b.tells(5, Ended, control.NotSent) // none is left
	b.tells(5, Ended, control.NotSent)
	b.handle(ViewerEnd{ID: 3, Cause: 16})
	b.tells(3, Ended, control.Cancelled)
	b.ask(f, 6, clip, 0, 0) // the budget is spent
	if got := f.take(); !strings.HasPrefix(got, "giveup 2, setup 3, setup 5, ") || strings.Count(got, "setup 5") != 1 ||
		!strings.Contains(got, "refused 5") || !strings.HasSuffix(got, "refused 6") {
		t.Error(got)
	}
	b.ledgers[0].since = b.ledgers[0].since.Add(-2 * time.Hour)
	b.ask(f, 7, clip, 0, 0)
	if got := f.take(); got != "setup 7" {
		t.Error(got)
	}
}

func TestPaidSessionsKeepOffTheLowestRung(t *testing.T) {
	b, f := bed(t)
	b.ask(f, 1, clip, -1, 0)
	b.tells(1, Started, 0)
	b.act(b.clock.now(), control.Action{Kind: control.ActionSetRung, Session: 1, Rung: 0})
	if got := f.take(); got != "setup 1, served 1, rung 1" {
		t.Error(got)
	}
}

// An answer that can't reach its viewer leaves nothing standing at the node; a
// player may still come back for it.
func TestAnswerReachesNobody(t *testing.T) {
	for grace, want := range map[time.Duration]string{0: "setup 1, served 1, teardown 1", time.Minute: "setup 1, served 1"} {
		b, f := bed(t)
		f.deaf = true
		b.ask(f, 1, clip, -1, grace)
		b.tells(1, Started, 0)
		if got := f.take(); got != want {
			t.Errorf("%s, want %s", got, want)
		}
	}
}

// A node that the list has dropped meanwhile is given nothing: the attempt
// never left, and the session is tried elsewhere or refused.
func TestUnlistedNode(t *testing.T) {
	b, f := bed(t)
	f.none = true
	b.ask(f, 1, clip, -1, 0)
	for range 4 {
		for _, m := range b.inbox.Take(nil) {
			b.handle(m)
		}
	}
	if got := f.take(); got != "setup 1, setup 1, refused 1" {
		t.Error(got)
	}
}

// A set-up that is repeated gets the answer that the first one gets; a session
// of the other front can't be taken over.
func TestRepeatedSetUp(t *testing.T) {
	b, f := bed(t)
	again, player := &fake{}, &fake{}
	b.ask(f, 1, clip, -1, 0)
	b.ask(player, 1, clip, -1, time.Minute)
	b.ask(again, 1, clip, -1, 0)
	b.tells(1, Started, 0)
	if got := f.take() + "; " + player.take() + "; " + again.take(); got != "setup 1; failed 1; served 1" {
		t.Error(got)
	}
}

// An id that is open or stands, with another description: nothing of the session
// goes to the one who sent it. On the session's own connection the id has two
// meanings and one answer, that it failed.
func TestIDUsedTwice(t *testing.T) {
	for class, want := range map[int]string{clip: "setup 1, served 1; failed 1, failed 1", feed: "setup 1, served 1; failed 1, failed 1"} {
		b, f := bed(t)
		other := &fake{}
		again := func(c *fake) {
			b.handle(Request{ID: 1, Class: class, Team: -1, Title: 1, Span: 1, MaxRung: 2,
				Left: 3 * time.Second, Came: time.Now(), Client: c, Description: []byte("other")})
		}
		b.ask(f, 1, class, -1, 0)
		again(other)
		b.tells(1, Started, 0)
		again(other)
		if got := f.take() + "; " + other.take(); got != want {
			t.Error(got)
		}
		b, f = bed(t)
		b.ask(f, 1, class, -1, 0)
		again(f)
		b.tells(1, Ended, control.Cancelled)
		if got := f.take(); got != "setup 1, failed 1, giveup 1" || len(b.sessions) != 0 {
			t.Error(got)
		}
	}
}

// In a drain what was taken is answered, what comes late is refused, and what
// stands is kept to the end.
func TestDrain(t *testing.T) {
	b, f := bed(t)
	b.drain = Drain{Take: time.Hour, Stay: 2 * time.Hour}
	b.handle(finish{})
	b.ask(f, 1, clip, -1, 0)
	b.ask(f, 2, clip, -1, 0)
	b.tells(1, Started, 0)
	b.stopping = b.stopping.Add(-time.Hour)
	b.ask(f, 3, clip, -1, 0)
	b.checkDrained()
	if got := f.take(); got != "setup 1, setup 2, served 1, refused 3" {
		t.Error(got)
	}
	b.stopping = b.stopping.Add(-time.Hour)
	b.checkDrained() // one is open still
	b.tells(2, Ended, control.Errored)
	b.checkDrained()
	b.ask(f, 4, clip, -1, 0)
	if got := f.take(); got != "failed 2, over 1, teardown 1, refused 4" {
		t.Error(got)
	}
}

// A player that is away when the program ends is no reason not to end.
func TestDrainWithoutItsPlayer(t *testing.T) {
	b, f := bed(t)
	b.ask(f, 1, clip, -1, time.Minute)
	b.tells(1, Started, 0)
	b.handle(lost{f})
	b.handle(finish{})
	b.stopping = b.stopping.Add(-time.Hour)
	b.checkDrained()
	if got := f.take(); got != "setup 1, served 1, teardown 1" {
		t.Error(got)
	}
}

func TestMoveEndsBothSides(t *testing.T) {
	b, f := bed(t)
	b.ask(f, 1, feed, -1, 0)
	b.tells(1, Started, 0)
	b.act(b.clock.now(), control.Action{Kind: control.ActionMove, Session: 1})
	for _, m := range b.inbox.Take(nil) {
		b.handle(m)
	}
	if got := f.take(); got != "setup 1, served 1, moved 1, teardown 1" || len(b.sessions) != 0 {
		t.Errorf("%s; %d sessions left", got, len(b.sessions))
	}
}

// Without teams nothing binds.
func TestNoTeams(t *testing.T) {
	b, f := bed(t)
	for id := range control.SessionID(50) {
		b.ask(f, id+1, clip, -1, 0)
	}
	if strings.Contains(f.take(), "refused") {
		t.Error("a session was refused")
	}
}

func TestClockAndTimers(t *testing.T) {
	c := newClock()
	now := c.now()
	var ts timers
	ts.add(now.Add(2), timerWake, 0, 2)
	ts.add(now.Add(1), timerWake, 0, 1)
	ts.add(now.Add(2), timerWake, 0, 3)
	if _, ok := ts.pop(now); ok {
		t.Error("a timer ran early")
	}
	for want := uint32(1); want <= 3; want++ {
		if got, ok := ts.pop(now.Add(3)); !ok || got.token != want {
			t.Errorf("timer %d, %v, want %d", got.token, ok, want)
		}
	}
	if c.now().Before(now) {
		t.Error("the clock stepped back")
	}
}

// BenchmarkDecide is a session's whole way through the broker and the module: it
// arrives, is set up, is answered and ends.
func BenchmarkDecide(b *testing.B) {
	f := &silent{}
	br, err := New(Config{Settings: settings(), Seed: 1, Nodes: f, Log: zap.NewNop()})
	if err != nil {
		b.Fatal(err)
	}
	var entries []control.Entry
	for i := range 16 {
		entries = append(entries, control.Entry{Server: control.ServerID(i + 1), State: control.Ready, Weight: 1})
	}
	br.handle(List{Entries: entries})
	id := control.SessionID(0)
	b.ReportAllocs()
	for b.Loop() {
		id++
		br.handle(Request{ID: id, Class: feed, Team: -1, Title: uint64(id), Span: 1, MaxRung: 2, Left: 3 * time.Second, Came: time.Now(), Client: f})
		s := br.sessions[id]
		if s == nil {
			b.Fatal("refused")
		}
		br.handle(Report{Kind: Started, ID: id, Server: s.server, Number: s.attempt})
		br.handle(Report{Kind: Ended, ID: id, Server: s.server, Number: s.attempt, Cause: CauseEnded})
		br.expire()
	}
}

// silent is nodes and a client that note nothing.
type silent struct{}

func (silent) SetUp(control.ServerID, Attempt) bool                  { return true }
func (silent) GiveUp(control.ServerID, control.SessionID, int, bool) {}
func (silent) Stands(control.ServerID, control.SessionID) bool       { return true }
func (silent) Release(control.ServerID, control.SessionID, int)      {}
func (silent) SetRung(control.ServerID, control.SessionID, int)      {}
func (silent) Probe(control.ServerID)                                {}
func (silent) Deliver(Reply) bool                                    { return true }
func (silent) Gone(control.SessionID) bool                           { return false }
