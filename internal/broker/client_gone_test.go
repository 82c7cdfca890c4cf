package broker

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"millethinge/control"
)

// No attempt is sent for a client that has gone, neither a first nor a further one, even if
// the broker learns of the loss only later. An attempt that was sent before goes on. A player
// that reconnects within its grace gets the deferred attempt.
func TestNoAttemptForGoneClient(t *testing.T) {
	const grace = time.Minute
	clientGone := func(b *Broker, f *recorder) { f.gone = true }
	loseConnection := func(b *Broker, f *recorder) { b.handleMessage(connectionLost{f}) }
	cancel := func(b *Broker, f *recorder) { b.handleMessage(ViewerEnd{ID: 1, Cause: CauseEnded}) }
	rejectFull := func(b *Broker, f *recorder) { b.reportNow(1, ReportEnded, control.Full) }
	establish := func(b *Broker, f *recorder) { b.reportNow(1, ReportStarted, 0) }
	submit := func(grace time.Duration) func(*Broker, *recorder) {
		return func(b *Broker, f *recorder) { b.submitNow(f, 1, clip, -1, grace) }
	}
	reconnect := func(b *Broker, f *recorder) { f.gone = false; b.submitNow(f, 1, clip, -1, grace) }
	heardAgain := func(b *Broker, f *recorder) { f.gone = false; b.recheckClient(1) } // the client's input is read again
	recheck := func(b *Broker, f *recorder) { b.recheckClient(1) }
	submitFeed := func(b *Broker, f *recorder) { b.submitNow(f, 1, feed, -1, 0) }
	breakConnection := func(b *Broker, f *recorder) { b.reportNow(1, ReportEnded, control.ConnectionReset) }
	reachDeadline := func(b *Broker, f *recorder) { b.answerOverdue(1) }
	endGrace := func(b *Broker, f *recorder) { b.abandonSession(b.sessions[1]) }
	for name, e := range map[string]struct {
		steps []func(*Broker, *recorder)
		want  string
		kept  bool // the session is still there
	}{
		"client gone before its set-up is handled":                           {[]func(*Broker, *recorder){clientGone, submit(0), loseConnection}, "", false},
		"client gone, then its attempt fails":                                {[]func(*Broker, *recorder){submit(0), clientGone, rejectFull, loseConnection}, "setup 1", false},
		"cancelled, then its attempt fails":                                  {[]func(*Broker, *recorder){submit(0), clientGone, rejectFull, cancel}, "setup 1", false},
		"connection lost while an attempt is in flight":                      {[]func(*Broker, *recorder){submit(0), loseConnection, rejectFull}, "setup 1, abandon 1", false},
		"attempt of a disconnected player goes on":                           {[]func(*Broker, *recorder){submit(grace), loseConnection, establish, reconnect}, "setup 1, served 1", true},
		"further attempt is deferred for a disconnected player":              {[]func(*Broker, *recorder){submit(grace), loseConnection, rejectFull}, "setup 1", true},
		"deferred further attempt is sent on reconnection":                   {[]func(*Broker, *recorder){submit(grace), loseConnection, rejectFull, reconnect, establish}, "setup 1, setup 1, served 1", true},
		"deferred before the loss is handled, sent on reconnection":          {[]func(*Broker, *recorder){submit(grace), clientGone, rejectFull, loseConnection, reconnect}, "setup 1, setup 1", true},
		"first attempt is deferred, sent on reconnection":                    {[]func(*Broker, *recorder){clientGone, submit(grace), loseConnection, reconnect}, "setup 1", true},
		"deferred attempt of a disconnected player at the deadline":          {[]func(*Broker, *recorder){submit(grace), loseConnection, rejectFull, reachDeadline}, "setup 1", false},
		"input not read, then read again":                                    {[]func(*Broker, *recorder){clientGone, submit(0), recheck, heardAgain, recheck, establish}, "setup 1, served 1", true},
		"input not read between two attempts":                                {[]func(*Broker, *recorder){submit(0), clientGone, rejectFull, recheck, heardAgain}, "setup 1, setup 1", true},
		"input not read until the deadline":                                  {[]func(*Broker, *recorder){clientGone, submit(0), recheck, reachDeadline}, "refused 1", false},
		"input not read until the deadline, first attempt did not run":       {[]func(*Broker, *recorder){submit(0), clientGone, rejectFull, recheck, reachDeadline}, "setup 1, refused 1", false},
		"input not read until the deadline, idempotent attempt may have run": {[]func(*Broker, *recorder){submitFeed, clientGone, breakConnection, recheck, reachDeadline}, "setup 1, refused 1", false},
		"attempt in flight at the deadline fails":                            {[]func(*Broker, *recorder){submit(0), clientGone, reachDeadline}, "setup 1, failed 1, abandon 1", true},
		"session removed after its grace":                                    {[]func(*Broker, *recorder){submit(grace), loseConnection, rejectFull, endGrace}, "setup 1", false},
	} {
		b, f := newTestBroker(t)
		for _, step := range e.steps {
			step(b, f)
		}
		for _, m := range b.inbox.Take(nil) { // reports that the broker has queued for itself
			b.handleMessage(m)
		}
		if got := f.takeCalls(); got != e.want {
			t.Errorf("%s: %q, want %q", name, got, e.want)
		}
		if kept := len(b.sessions) > 0; kept != e.kept {
			t.Errorf("%s: session kept: %v", name, kept)
		}
	}
}

// frontClient is a Client that records, as fronts do, whether its set-up is open.
type frontClient struct {
	*recorder
	setUpOpen bool
}

func (p *frontClient) Gone(control.SessionID) bool { return !p.setUpOpen }
func (p *frontClient) Deliver(r Reply) bool {
	p.setUpOpen = p.setUpOpen && (r.Kind == ReplyEnded || r.Kind == ReplyMoved || r.Kind == ReplyClosed)
	return p.recorder.Deliver(r)
}

// A viewer that cancels a set-up and sends a new one with the same ID at once is served. The
// front has read the second set-up before the broker replies to the cancelled one, and that
// reply must not close the second one.
func TestSameIDAfterCancel(t *testing.T) {
	set := testSettings()
	set.LoadFields, set.LoadReporting, set.ProbesAllowed = []string{"x0", "x1"}, control.LoadReportsInAnswers, true // the first set-up waits for load reports
	f := &recorder{}
	b, err := New(Config{Settings: set, Seed: 1, Nodes: f, Log: zap.NewNop()})
	if err != nil {
		t.Fatal(err)
	}
	b.handleMessage(ListUpdate{Entries: []control.Entry{{Server: 1, State: control.Ready, Weight: 1}, {Server: 2, State: control.Ready, Weight: 1}}})
	p := &frontClient{f, true}
	r := Request{ID: 1, Class: feed, Team: -1, Title: 1, Copies: 1, MaxRung: 2, TimeLeft: 3 * time.Second, ReceivedAt: time.Now(), Client: p}
	b.handleMessage(r)
	b.handleMessage(ViewerEnd{ID: 1, Cause: CauseEnded, Client: p})
	b.handleMessage(r)
	for _, s := range []control.ServerID{1, 2, 1, 2} { // each node was probed for both set-ups
		b.handleMessage(Report{Kind: ReportProbed, Server: s, Status: control.OK, Load: []float64{0, 0}})
	}
	if got := f.takeCalls(); got != "setup 1" {
		t.Errorf("%q", got)
	}
	b.endedReplies[1] = Reply{Kind: ReplyEnded, ID: 1} // a player that missed the end of its session gets it as the answer
	delete(b.sessions, 1)
	p.setUpOpen = true
	if b.handleMessage(r); p.setUpOpen {
		t.Error("the set-up stays open at the front")
	}
}
