package broker

import (
	"testing"

	"millethinge/control"
)

// at is a client that knows where its viewer is.
type at struct {
	*fake
	host string
}

func (a at) From() string { return a.host }

// What stands is handed over once, with what has ended since; nothing is cut, and the
// younger process has each session once, tells its end, and gives it to the viewer who
// names it.
func TestHandOver(t *testing.T) {
	old, f := bed(t)
	var first Handover
	old.hand = func(e Handover) { first = e }
	for id := control.SessionID(1); id <= 3; id++ {
		old.ask(f, id, feed, -1, 0)
		old.tells(id, Started, 0)
		old.sessions[id].client = at{f, "h1"}
	}
	f.take()
	on := func(id control.SessionID) control.ServerID { return old.sessions[id].server }
	at1, at2, at3 := on(1), on(2), on(3)
	old.handle(finish{leave: true})
	if len(first.Standing) != 3 || first.Last || first.Standing[0].Host != "h1" {
		t.Fatalf("%+v", first)
	}
	old.handle(Report{Kind: Ended, Server: at2, ID: 2, Status: control.ConnectionReset, Cause: CauseCut})
	old.stopping = old.stopping.Add(-old.stay())
	old.checkDrained()
	last := old.Handover()
	if got := f.take(); len(last.Standing) != 2 || !last.Last || last.Over[2] != CauseCut || got != "over 2" {
		t.Fatalf("%+v; told %s", last, got)
	}

	young, g := bed(t)
	client := func(string) Client { return g }
	young.handle(adopt{first, client})
	young.handle(adopt{first, client}) // read twice
	if len(young.sessions) != 3 {
		t.Fatalf("%d sessions", len(young.sessions))
	}
	young.handle(Report{Kind: Ended, Server: at3, ID: 3, Status: control.OK, Cause: CauseEnded})
	if got := g.take(); got != "over 3" {
		t.Error(got)
	}
	young.handle(adopt{last, client}) // 3 is known to have ended, though the old one lists it
	if got := g.take(); got != "teardown 2, over 2" || len(young.sessions) != 1 {
		t.Errorf("%s; %d sessions", got, len(young.sessions))
	}
	young.handle(adopt{first, client}) // by another older one, which heard of no end
	if got := g.take(); got != "" || len(young.sessions) != 1 {
		t.Errorf("%s; %d sessions", got, len(young.sessions))
	}
	viewer := &fake{}
	young.handle(Request{ID: 1, Class: feed, Team: -1, Playing: at1, Client: viewer})
	young.handle(Report{Kind: Ended, Server: at1, ID: 1, Status: control.OK, Cause: CauseEnded})
	if got := viewer.take() + g.take(); got != "over 1" || len(young.sessions) != 0 {
		t.Errorf("%s; %d sessions", got, len(young.sessions))
	}
}
