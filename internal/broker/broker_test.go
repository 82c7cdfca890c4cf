package broker

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"millethinge/control"
)

// recorder is the nodes and the clients of a test: it notes what they are told.
type recorder struct {
	calls         []string
	refusesSetUps bool // no node takes a set-up
	unreachable   bool // no reply reaches it
	gone          bool // its client has gone, and the broker is not told yet
}

func (f *recorder) record(format string, args ...any) {
	f.calls = append(f.calls, fmt.Sprintf(format, args...))
}

func (f *recorder) SetUp(s control.ServerID, a Attempt) bool {
	f.record("setup %d", a.ID)
	return !f.refusesSetUps
}
func (f *recorder) Abandon(s control.ServerID, id control.SessionID, n int, timedOut bool) {
	f.record("giveup %d", id)
}
func (f *recorder) AddEstablished(control.ServerID, control.SessionID) bool { return true }
func (f *recorder) Release(s control.ServerID, id control.SessionID, cause int) {
	f.record("teardown %d", id)
}
func (f *recorder) SetRung(s control.ServerID, id control.SessionID, rung int) {
	f.record("rung %d", rung)
}
func (f *recorder) Probe(control.ServerID) {}
func (f *recorder) Deliver(r Reply) bool {
	if r.Kind == ReplyAbandoned || r.Kind == ReplyClosed {
		return true
	}
	f.record("%s %d", [...]string{"served", "refused", "failed", "over", "moved"}[r.Kind], r.ID)
	return !f.unreachable
}

func (f *recorder) Gone(control.SessionID) bool { return f.gone }

func (f *recorder) takeCalls() string {
	defer func() { f.calls = nil }()
	return strings.Join(f.calls, ", ")
}

const (
	clip = 0
	feed = 1
)

func testSettings() control.Settings {
	return control.Settings{
		Classes: []control.Class{
			{RepeatEffect: control.AtMostOnce, StartGoalS: 1.5, Worth: 2, FloorRung: 1, TopRung: 2, RateScale: 1},
			{RepeatEffect: control.Idempotent, StartGoalS: 1.5, Worth: 1, TopRung: 2, RateScale: 1},
		},
		RatesKB: []float64{1, 2, 3}, LadderWorth: []float64{0.3, 0.6, 1}, MaxStreamsByKind: []int{100},
		Managers: 1, Cells: 1, Racks: 1, FleetLinkKB: 1e4, LinkKBPerWeight: 1e3, RackUplinkKB: 1e5, AttemptsCap: 4,
	}
}

// newTestBroker is a broker that the test drives in place of its goroutine.
func newTestBroker(t *testing.T, teams ...Team) (*Broker, *recorder) {
	t.Helper()
	f := &recorder{}
	b, err := New(Config{Settings: testSettings(), Seed: 1, Teams: teams, Nodes: f, Log: zap.NewNop()})
	if err != nil {
		t.Fatal(err)
	}
	b.handleMessage(ListUpdate{Entries: []control.Entry{{Server: 1, State: control.Ready, Weight: 1}, {Server: 2, State: control.Ready, Weight: 1}}})
	return b, f
}

func (b *Broker) submitNow(f *recorder, id control.SessionID, class, team int, grace time.Duration) {
	b.handleMessage(Request{ID: id, Class: class, Team: team, Title: 1, Copies: 1, MaxRung: 2,
		TimeLeft: 3 * time.Second, ReceivedAt: time.Now(), Client: f, Grace: grace})
}

func (b *Broker) reportNow(id control.SessionID, kind ReportKind, status control.Status) {
	r := Report{Kind: kind, ID: id, Status: status}
	if s := b.sessions[id]; s != nil {
		r.Server, r.AttemptNumber = s.server, s.attemptNumber
	}
	b.handleMessage(r)
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
		b, f := newTestBroker(t)
		b.submitNow(f, 1, e.class, -1, 0)
		b.reportNow(1, ReportEnded, e.status)
		if got := f.takeCalls(); got != e.want {
			t.Errorf("%s: %s, want %s", e.name, got, e.want)
		}
	}
}

// Whatever the module says, a session that may have run is never refused.
func TestRefusalGuard(t *testing.T) {
	b, f := newTestBroker(t)
	b.submitNow(f, 1, clip, -1, 0)
	s := b.sessions[1]
	b.execute(b.clock.now(), control.Action{Kind: control.ActionRefuse, Session: 1})
	if got := f.takeCalls(); got != "setup 1, failed 1" || !s.answered {
		t.Error(got)
	}
	// Nor does a second attempt leave beside one that is out.
	b.submitNow(f, 2, clip, -1, 0)
	b.execute(b.clock.now(), control.Action{Kind: control.ActionSetUp, Session: 2, Server: 2})
	if got := f.takeCalls(); got != "setup 2" {
		t.Error(got)
	}
}

// The answer comes before the viewer's time is up though the node hangs, once
// only; a 200 after it is torn down.
func TestAnswerAtDeadline(t *testing.T) {
	b, f := newTestBroker(t)
	b.submitNow(f, 1, clip, -1, 0)
	server := b.sessions[1].server
	b.answerOverdue(1)
	b.answerOverdue(1)
	b.handleMessage(Report{Kind: ReportStarted, Server: server, ID: 1, AttemptNumber: 1})
	if got := f.takeCalls(); got != "setup 1, failed 1, giveup 1, teardown 1" {
		t.Error(got)
	}
	if len(b.sessions) != 0 || len(b.openSetUps) != 0 {
		t.Errorf("%d sessions, %d open", len(b.sessions), len(b.openSetUps))
	}
}

func TestViewerEndsSession(t *testing.T) {
	b, f := newTestBroker(t)
	b.submitNow(f, 1, clip, -1, 0)
	b.handleMessage(ViewerEnd{ID: 1, Cause: 16})
	b.reportNow(1, ReportEnded, control.Cancelled)
	b.submitNow(f, 2, feed, -1, 0)
	b.reportNow(2, ReportStarted, 0)
	b.handleMessage(connectionLost{f}) // no connection owns a session that stands
	b.handleMessage(ViewerEnd{ID: 2, Cause: 16})
	if got := f.takeCalls(); got != "setup 1, giveup 1, setup 2, served 2, teardown 2" {
		t.Error(got)
	}
	if len(b.sessions) != 0 {
		t.Errorf("%d sessions left", len(b.sessions))
	}
}

// A player whose socket is lost is joined to what goes on, and told once what
// it missed; nothing is set up again.
func TestPlayerReconnects(t *testing.T) {
	b, f := newTestBroker(t)
	newConnection := &recorder{}
	b.submitNow(f, 1, clip, -1, time.Minute)
	b.handleMessage(connectionLost{f})
	b.reportNow(1, ReportStarted, 0)
	b.submitNow(newConnection, 1, clip, -1, time.Minute)
	b.submitNow(f, 2, clip, -1, time.Minute)
	b.handleMessage(connectionLost{f})
	b.reportNow(2, ReportEnded, control.Errored)
	b.submitNow(newConnection, 2, clip, -1, time.Minute)
	if got := f.takeCalls() + "; " + newConnection.takeCalls(); got != "setup 1, setup 2; served 1, failed 2" {
		t.Error(got)
	}
}

func TestTeamCaps(t *testing.T) {
	team := Team{Name: "a", Classes: []bool{true, false}, MaxSessions: 2, MaxBilledSetUps: 3, MaxFurtherAttempts: 1, BudgetPeriod: time.Hour}
	b, f := newTestBroker(t, team)
	b.submitNow(f, 1, feed, 0, 0) // not in its contract
	b.submitNow(f, 2, clip, 0, 0)
	b.submitNow(f, 3, clip, 0, 0)
	b.submitNow(f, 4, clip, 0, 0) // two stand
	if got := f.takeCalls(); got != "refused 1, setup 2, setup 3, refused 4" {
		t.Error(got)
	}
	b.handleMessage(ViewerEnd{ID: 2, Cause: 16})
	b.reportNow(2, ReportEnded, control.Cancelled)
	b.reportNow(3, ReportEnded, control.NotSent) // its one further attempt
	b.submitNow(f, 5, clip, 0, 0)
	b.reportNow(5, ReportEnded, control.NotSent) // none is left
	b.reportNow(5, ReportEnded, control.NotSent)
	b.handleMessage(ViewerEnd{ID: 3, Cause: 16})
	b.reportNow(3, ReportEnded, control.Cancelled)
	b.submitNow(f, 6, clip, 0, 0) // the budget is spent
	if got := f.takeCalls(); !strings.HasPrefix(got, "giveup 2, setup 3, setup 5, ") || strings.Count(got, "setup 5") != 1 ||
		!strings.Contains(got, "refused 5") || !strings.HasSuffix(got, "refused 6") {
		t.Error(got)
	}
	b.ledgers[0].periodStart = b.ledgers[0].periodStart.Add(-2 * time.Hour)
	b.submitNow(f, 7, clip, 0, 0)
	if got := f.takeCalls(); got != "setup 7" {
		t.Error(got)
	}
}

func TestNoRungBelowClassFloor(t *testing.T) {
	b, f := newTestBroker(t)
	b.submitNow(f, 1, clip, -1, 0)
	b.reportNow(1, ReportStarted, 0)
	b.execute(b.clock.now(), control.Action{Kind: control.ActionSetRung, Session: 1, Rung: 0})
	if got := f.takeCalls(); got != "setup 1, served 1, rung 1" {
		t.Error(got)
	}
}

// An answer that can't reach its viewer leaves nothing standing at the node; a
// player may still come back for it.
func TestUndeliverableAnswer(t *testing.T) {
	for grace, want := range map[time.Duration]string{0: "setup 1, served 1, teardown 1", time.Minute: "setup 1, served 1"} {
		b, f := newTestBroker(t)
		f.unreachable = true
		b.submitNow(f, 1, clip, -1, grace)
		b.reportNow(1, ReportStarted, 0)
		if got := f.takeCalls(); got != want {
			t.Errorf("%s, want %s", got, want)
		}
	}
}

// A node that the list has dropped meanwhile is given nothing: the attempt
// never left, and the session is tried elsewhere or refused.
func TestUnlistedNode(t *testing.T) {
	b, f := newTestBroker(t)
	f.refusesSetUps = true
	b.submitNow(f, 1, clip, -1, 0)
	for range 4 {
		for _, m := range b.inbox.Take(nil) {
			b.handleMessage(m)
		}
	}
	if got := f.takeCalls(); got != "setup 1, setup 1, refused 1" {
		t.Error(got)
	}
}

// A set-up that is repeated gets the answer that the first one gets; a session
// of the other front can't be taken over.
func TestRepeatedSetUp(t *testing.T) {
	b, f := newTestBroker(t)
	repeated, player := &recorder{}, &recorder{}
	b.submitNow(f, 1, clip, -1, 0)
	b.submitNow(player, 1, clip, -1, time.Minute)
	b.submitNow(repeated, 1, clip, -1, 0)
	b.reportNow(1, ReportStarted, 0)
	if got := f.takeCalls() + "; " + player.takeCalls() + "; " + repeated.takeCalls(); got != "setup 1; failed 1; served 1" {
		t.Error(got)
	}
}

// An id that is open or stands, with another description: nothing of the session
// goes to the one who sent it. On the session's own connection the id has two
// meanings and one answer, that it failed.
func TestReusedID(t *testing.T) {
	for class, want := range map[int]string{clip: "setup 1, served 1; failed 1, failed 1", feed: "setup 1, served 1; failed 1, failed 1"} {
		b, f := newTestBroker(t)
		other := &recorder{}
		resend := func(c *recorder) {
			b.handleMessage(Request{ID: 1, Class: class, Team: -1, Title: 1, Copies: 1, MaxRung: 2,
				TimeLeft: 3 * time.Second, ReceivedAt: time.Now(), Client: c, Description: []byte("other")})
		}
		b.submitNow(f, 1, class, -1, 0)
		resend(other)
		b.reportNow(1, ReportStarted, 0)
		resend(other)
		if got := f.takeCalls() + "; " + other.takeCalls(); got != want {
			t.Error(got)
		}
		b, f = newTestBroker(t)
		b.submitNow(f, 1, class, -1, 0)
		resend(f)
		b.reportNow(1, ReportEnded, control.Cancelled)
		if got := f.takeCalls(); got != "setup 1, failed 1, giveup 1" || len(b.sessions) != 0 {
			t.Error(got)
		}
	}
}

// In a drain what was taken is answered, what comes late is refused, and what
// stands is kept to the end.
func TestDrain(t *testing.T) {
	b, f := newTestBroker(t)
	b.drainTimes = DrainTimes{AcceptFor: time.Hour, KeepFor: 2 * time.Hour}
	b.handleMessage(drainRequest{})
	b.submitNow(f, 1, clip, -1, 0)
	b.submitNow(f, 2, clip, -1, 0)
	b.reportNow(1, ReportStarted, 0)
	b.drainStart = b.drainStart.Add(-time.Hour)
	b.submitNow(f, 3, clip, -1, 0)
	b.checkDrained()
	if got := f.takeCalls(); got != "setup 1, setup 2, served 1, refused 3" {
		t.Error(got)
	}
	b.drainStart = b.drainStart.Add(-time.Hour)
	b.checkDrained() // one is open still
	b.reportNow(2, ReportEnded, control.Errored)
	b.checkDrained()
	b.submitNow(f, 4, clip, -1, 0)
	if got := f.takeCalls(); got != "failed 2, over 1, teardown 1, refused 4" {
		t.Error(got)
	}
}

// A player that is away when the program ends is no reason not to end.
func TestDrainWithDisconnectedPlayer(t *testing.T) {
	b, f := newTestBroker(t)
	b.submitNow(f, 1, clip, -1, time.Minute)
	b.reportNow(1, ReportStarted, 0)
	b.handleMessage(connectionLost{f})
	b.handleMessage(drainRequest{})
	b.drainStart = b.drainStart.Add(-time.Hour)
	b.checkDrained()
	if got := f.takeCalls(); got != "setup 1, served 1, teardown 1" {
		t.Error(got)
	}
}

func TestMoveEndsBothSides(t *testing.T) {
	b, f := newTestBroker(t)
	b.submitNow(f, 1, feed, -1, 0)
	b.reportNow(1, ReportStarted, 0)
	b.execute(b.clock.now(), control.Action{Kind: control.ActionMove, Session: 1})
	for _, m := range b.inbox.Take(nil) {
		b.handleMessage(m)
	}
	if got := f.takeCalls(); got != "setup 1, served 1, moved 1, teardown 1" || len(b.sessions) != 0 {
		t.Errorf("%s; %d sessions left", got, len(b.sessions))
	}
}

// Without teams nothing binds.
func TestNoTeams(t *testing.T) {
	b, f := newTestBroker(t)
	for id := range control.SessionID(50) {
		b.submitNow(f, id+1, clip, -1, 0)
	}
	if strings.Contains(f.takeCalls(), "refused") {
		t.Error("a session was refused")
	}
}

func TestClockAndTimers(t *testing.T) {
	c := newClock()
	now := c.now()
	var ts timerHeap
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

// BenchmarkSession is a session's whole way through the broker and the module: it
// arrives, is set up, is answered and ends.
func BenchmarkSession(b *testing.B) {
	f := &nopPeer{}
	br, err := New(Config{Settings: testSettings(), Seed: 1, Nodes: f, Log: zap.NewNop()})
	if err != nil {
		b.Fatal(err)
	}
	var entries []control.Entry
	for i := range 16 {
		entries = append(entries, control.Entry{Server: control.ServerID(i + 1), State: control.Ready, Weight: 1})
	}
	br.handleMessage(ListUpdate{Entries: entries})
	id := control.SessionID(0)
	b.ReportAllocs()
	for b.Loop() {
		id++
		br.handleMessage(Request{ID: id, Class: feed, Team: -1, Title: uint64(id), Copies: 1, MaxRung: 2, TimeLeft: 3 * time.Second, ReceivedAt: time.Now(), Client: f})
		s := br.sessions[id]
		if s == nil {
			b.Fatal("refused")
		}
		br.handleMessage(Report{Kind: ReportStarted, ID: id, Server: s.server, AttemptNumber: s.attemptNumber})
		br.handleMessage(Report{Kind: ReportEnded, ID: id, Server: s.server, AttemptNumber: s.attemptNumber, Cause: CauseEnded})
		br.runTimers()
	}
}

// nopPeer is nodes and a client that note nothing.
type nopPeer struct{}

func (nopPeer) SetUp(control.ServerID, Attempt) bool                    { return true }
func (nopPeer) Abandon(control.ServerID, control.SessionID, int, bool)  {}
func (nopPeer) AddEstablished(control.ServerID, control.SessionID) bool { return true }
func (nopPeer) Release(control.ServerID, control.SessionID, int)        {}
func (nopPeer) SetRung(control.ServerID, control.SessionID, int)        {}
func (nopPeer) Probe(control.ServerID)                                  {}
func (nopPeer) Deliver(Reply) bool                                      { return true }
func (nopPeer) Gone(control.SessionID) bool                             { return false }
