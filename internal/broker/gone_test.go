package broker

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"millethinge/control"
)

// Nothing begins for a client that has gone: neither a first attempt nor a further one,
// also where the broker is told of its loss only later. One that is begun goes on, and a
// player who comes back within its grace gets what had waited for it.
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
	heardAgain := func(b *Broker, f *recorder) { f.gone = false; b.recheckClient(1) } // it is heard again
	recheck := func(b *Broker, f *recorder) { b.recheckClient(1) }
	submitFeed := func(b *Broker, f *recorder) { b.submitNow(f, 1, feed, -1, 0) }
	breakConnection := func(b *Broker, f *recorder) { b.reportNow(1, ReportEnded, control.ConnectionReset) }
	reachDeadline := func(b *Broker, f *recorder) { b.answerOverdue(1) }
	endGrace := func(b *Broker, f *recorder) { b.abandonSession(b.sessions[1]) } // its grace is over
	for name, e := range map[string]struct {
		steps []func(*Broker, *recorder)
		want  string
		kept  bool // something of it is kept: its player may come back
	}{
		"left before its set-up is handled":     {[]func(*Broker, *recorder){clientGone, submit(0), loseConnection}, "", false},
		"left, then its attempt fails":          {[]func(*Broker, *recorder){submit(0), clientGone, rejectFull, loseConnection}, "setup 1", false},
		"cancelled, then its attempt fails":     {[]func(*Broker, *recorder){submit(0), clientGone, rejectFull, cancel}, "setup 1", false},
		"lost while an attempt is out":          {[]func(*Broker, *recorder){submit(0), loseConnection, rejectFull}, "setup 1, giveup 1", false},
		"a player's attempt goes on":            {[]func(*Broker, *recorder){submit(grace), loseConnection, establish, reconnect}, "setup 1, served 1", true},
		"a player's further one waits":          {[]func(*Broker, *recorder){submit(grace), loseConnection, rejectFull}, "setup 1", true},
		"and begins once the player is back":    {[]func(*Broker, *recorder){submit(grace), loseConnection, rejectFull, reconnect, establish}, "setup 1, setup 1, served 1", true},
		"also if the player had only just left": {[]func(*Broker, *recorder){submit(grace), clientGone, rejectFull, loseConnection, reconnect}, "setup 1, setup 1", true},
		"a player's first one waits":            {[]func(*Broker, *recorder){clientGone, submit(grace), loseConnection, reconnect}, "setup 1", true},
		"it ends when its time is up":           {[]func(*Broker, *recorder){submit(grace), loseConnection, rejectFull, reachDeadline}, "setup 1", false},
		"unheard, then heard again":             {[]func(*Broker, *recorder){clientGone, submit(0), recheck, heardAgain, recheck, establish}, "setup 1, served 1", true},
		"unheard between two attempts":          {[]func(*Broker, *recorder){submit(0), clientGone, rejectFull, recheck, heardAgain}, "setup 1, setup 1", true},
		"unheard until its time is up":          {[]func(*Broker, *recorder){clientGone, submit(0), recheck, reachDeadline}, "refused 1", false},
		"also where nothing has run":            {[]func(*Broker, *recorder){submit(0), clientGone, rejectFull, recheck, reachDeadline}, "setup 1, refused 1", false},
		"or may have run, harmlessly":           {[]func(*Broker, *recorder){submitFeed, clientGone, breakConnection, recheck, reachDeadline}, "setup 1, refused 1", false},
		"what is out when time is up failed":    {[]func(*Broker, *recorder){submit(0), clientGone, reachDeadline}, "setup 1, failed 1, giveup 1", true},
		"it is forgotten after its grace":       {[]func(*Broker, *recorder){submit(grace), loseConnection, rejectFull, endGrace}, "setup 1", false},
	} {
		b, f := newTestBroker(t)
		for _, step := range e.steps {
			step(b, f)
		}
		for _, m := range b.inbox.Take(nil) { // what it told itself
			b.handleMessage(m)
		}
		if got := f.takeCalls(); got != e.want {
			t.Errorf("%s: %q, want %q", name, got, e.want)
		}
		if kept := len(b.sessions) > 0; kept != e.kept {
			t.Errorf("%s: kept %v", name, kept)
		}
	}
}

// frontClient is a client that keeps, as fronts do, whether a set-up of its is open.
type frontClient struct {
	*recorder
	setUpOpen bool
}

func (p *frontClient) Gone(control.SessionID) bool { return !p.setUpOpen }
func (p *frontClient) Deliver(r Reply) bool {
	p.setUpOpen = p.setUpOpen && (r.Kind == ReplyEnded || r.Kind == ReplyMoved || r.Kind == ReplyClosed)
	return p.recorder.Deliver(r)
}

// One that cancels and asks at once again under the same id is served: what the broker has
// to say of the first ends no claim of the second, which the front has read by then.
func TestSameIDAfterCancel(t *testing.T) {
	set := testSettings()
	set.LoadFields, set.LoadReporting, set.ProbesAllowed = []string{"x0", "x1"}, control.LoadReportsInAnswers, true // the first waits for a report
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
	for _, s := range []control.ServerID{1, 2, 1, 2} { // each was asked for both
		b.handleMessage(Report{Kind: ReportProbed, Server: s, Status: control.OK, Load: []float64{0, 0}})
	}
	if got := f.takeCalls(); got != "setup 1" {
		t.Errorf("%q", got)
	}
	b.endedReplies[1] = Reply{Kind: ReplyEnded, ID: 1} // a player who lost the end of what stood gets it as its answer
	delete(b.sessions, 1)
	p.setUpOpen = true
	if b.handleMessage(r); p.setUpOpen {
		t.Error("its set-up stays open")
	}
}
