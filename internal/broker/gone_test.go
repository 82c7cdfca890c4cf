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
func TestNothingBeginsForWhoHasGone(t *testing.T) {
	const grace = time.Minute
	leave := func(b *Broker, f *fake) { f.left = true }
	lose := func(b *Broker, f *fake) { b.handle(lost{f}) }
	end := func(b *Broker, f *fake) { b.handle(ViewerEnd{ID: 1, Cause: CauseEnded}) }
	full := func(b *Broker, f *fake) { b.tells(1, Ended, control.Full) }
	starts := func(b *Broker, f *fake) { b.tells(1, Started, 0) }
	ask := func(grace time.Duration) func(*Broker, *fake) {
		return func(b *Broker, f *fake) { b.ask(f, 1, clip, -1, grace) }
	}
	back := func(b *Broker, f *fake) { f.left = false; b.ask(f, 1, clip, -1, grace) }
	again := func(b *Broker, f *fake) { f.left = false; b.look(1) } // it is heard again
	look := func(b *Broker, f *fake) { b.look(1) }
	feedAsks := func(b *Broker, f *fake) { b.ask(f, 1, feed, -1, 0) }
	reset := func(b *Broker, f *fake) { b.tells(1, Ended, control.ConnectionReset) }
	late := func(b *Broker, f *fake) { b.overdue(1) }
	gone := func(b *Broker, f *fake) { b.abandon(b.sessions[1]) } // its grace is over
	for name, e := range map[string]struct {
		steps []func(*Broker, *fake)
		want  string
		kept  bool // something of it is kept: its player may come back
	}{
		"left before its set-up is handled":     {[]func(*Broker, *fake){leave, ask(0), lose}, "", false},
		"left, then its attempt fails":          {[]func(*Broker, *fake){ask(0), leave, full, lose}, "setup 1", false},
		"cancelled, then its attempt fails":     {[]func(*Broker, *fake){ask(0), leave, full, end}, "setup 1", false},
		"lost while an attempt is out":          {[]func(*Broker, *fake){ask(0), lose, full}, "setup 1, giveup 1", false},
		"a player's attempt goes on":            {[]func(*Broker, *fake){ask(grace), lose, starts, back}, "setup 1, served 1", true},
		"a player's further one waits":          {[]func(*Broker, *fake){ask(grace), lose, full}, "setup 1", true},
		"and begins once the player is back":    {[]func(*Broker, *fake){ask(grace), lose, full, back, starts}, "setup 1, setup 1, served 1", true},
		"also if the player had only just left": {[]func(*Broker, *fake){ask(grace), leave, full, lose, back}, "setup 1, setup 1", true},
		"a player's first one waits":            {[]func(*Broker, *fake){leave, ask(grace), lose, back}, "setup 1", true},
		"it ends when its time is up":           {[]func(*Broker, *fake){ask(grace), lose, full, late}, "setup 1", false},
		"unheard, then heard again":             {[]func(*Broker, *fake){leave, ask(0), look, again, look, starts}, "setup 1, served 1", true},
		"unheard between two attempts":          {[]func(*Broker, *fake){ask(0), leave, full, look, again}, "setup 1, setup 1", true},
		"unheard until its time is up":          {[]func(*Broker, *fake){leave, ask(0), look, late}, "refused 1", false},
		"also where nothing has run":            {[]func(*Broker, *fake){ask(0), leave, full, look, late}, "setup 1, refused 1", false},
		"or may have run, harmlessly":           {[]func(*Broker, *fake){feedAsks, leave, reset, look, late}, "setup 1, refused 1", false},
		"what is out when time is up failed":    {[]func(*Broker, *fake){ask(0), leave, late}, "setup 1, failed 1, giveup 1", true},
		"it is forgotten after its grace":       {[]func(*Broker, *fake){ask(grace), lose, full, gone}, "setup 1", false},
	} {
		b, f := bed(t)
		for _, step := range e.steps {
			step(b, f)
		}
		for _, m := range b.inbox.Take(nil) { // what it told itself
			b.handle(m)
		}
		if got := f.take(); got != e.want {
			t.Errorf("%s: %q, want %q", name, got, e.want)
		}
		if kept := len(b.sessions) > 0; kept != e.kept {
			t.Errorf("%s: kept %v", name, kept)
		}
	}
}

// place is a client that keeps, as fronts do, whether a set-up of its is open.
type place struct {
	*fake
	open bool
}

func (p *place) Gone(control.SessionID) bool { return !p.open }
func (p *place) Deliver(r Reply) bool {
	p.open = p.open && (r.Kind == Over || r.Kind == Moved || r.Kind == Closed)
	return p.fake.Deliver(r)
}

// One that cancels and asks at once again under the same id is served: what the broker has
// to say of the first ends no claim of the second, which the front has read by then.
func TestAskedAgainAtOnce(t *testing.T) {
	set := settings()
	set.LoadFields, set.LoadReporting, set.ProbesAllowed = []string{"x0", "x1"}, control.LoadReportsInAnswers, true // the first waits for a report
	f := &fake{}
	b, err := New(Config{Settings: set, Seed: 1, Nodes: f, Log: zap.NewNop()})
	if err != nil {
		t.Fatal(err)
	}
	b.handle(List{Entries: []control.Entry{{Server: 1, State: control.Ready, Weight: 1}, {Server: 2, State: control.Ready, Weight: 1}}})
	p := &place{f, true}
	r := Request{ID: 1, Class: feed, Team: -1, Title: 1, Span: 1, MaxRung: 2, Left: 3 * time.Second, Came: time.Now(), Client: p}
	b.handle(r)
	b.handle(ViewerEnd{ID: 1, Cause: CauseEnded, Client: p})
	b.handle(r)
	for _, s := range []control.ServerID{1, 2, 1, 2} { // each was asked for both
		b.handle(Report{Kind: Probed, Server: s, Status: control.OK, Load: []float64{0, 0}})
	}
	if got := f.take(); got != "setup 1" {
		t.Errorf("%q", got)
	}
	b.ended[1] = Reply{Kind: Over, ID: 1} // a player who lost the end of what stood gets it as its answer
	delete(b.sessions, 1)
	p.open = true
	if b.handle(r); p.open {
		t.Error("its set-up stays open")
	}
}
