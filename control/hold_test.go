package control

import "testing"

// Room counts nothing of what drains, is gone or seems cut off, and of a cold server
// what it has warmed.
func TestCapacitySlots(t *testing.T) {
	cfg := settings()
	cfg.Zone = 0
	b := newHarness(t, cfg)
	b.controller.Handle(b.now, Event{Kind: EventNote}) // only moves the clock
	all := b.controller.CapacitySlots()
	one := all / 4
	if want := 0.9 * 4000 / 400; one < want-1e-9 || one > want+1e-9 {
		t.Fatalf("a server has %v slots, want %v", one, want)
	}
	check := func(what string, want float64) {
		t.Helper()
		b.controller.Handle(b.now, Event{Kind: EventNote})
		if got := b.controller.CapacitySlots() / one; got < want-1e-6 || got > want+1e-6 {
			t.Errorf("%s: %v servers' room, want %v", what, got, want)
		}
	}
	b.sendList(ListDelta, Draining)
	check("one drains", 3)
	b.sendList(ListDelta, Gone)
	check("one is gone", 3)
	// It comes back cold, and half of its warm-up passes.
	at := b.now
	b.handle(Event{Kind: EventList, List: ListDelta, Entries: []Entry{{Server: 1, State: Ready, Weight: 1, StartedAtS: at}}})
	check("it is back, cold", 3)
	b.now += cfg.WarmAfterS / 2
	b.controller.Handle(b.now, Event{Kind: EventNote})
	check("half warm", 3+b.controller.capacityKB(b.controller.servers[1])/b.controller.slotKB/one/2) // its slots are few as yet
	b.now += cfg.WarmAfterS
	check("warm", 4)
	b.controller.zoneLostUntil[0] = b.controller.now + 1
	check("its zone is cut off", 0)
}

// A share is even until reports tell more, and stays within a quarter of that and
// the whole.
func TestLoadShare(t *testing.T) {
	cfg := settings()
	cfg.Managers = 4
	b := newHarness(t, cfg)
	if got := b.controller.LoadShare(); got != 0.25 {
		t.Errorf("%v", got)
	}
	b.controller.meanLoad.value, b.controller.meanLoad.hasValue = 8000, true
	for own, want := range map[float64]float64{4000: 0.5, 1: 0.0625, 9000: 1, 0: 0.25} {
		if b.controller.ownKB = own; b.controller.LoadShare() != want {
			t.Errorf("%v of 8000: %v, want %v", own, b.controller.LoadShare(), want)
		}
	}
}

// Held room is left to the announced peak's own sessions of the class; others get
// lower rungs, and are refused where all is held. It ends with the next event.
func TestHeldSlots(t *testing.T) {
	rung := func(hold []float64, own bool) int {
		b := newHarness(t, settings())
		b.handle(Event{Kind: EventHold, HeldShares: hold})
		acts := b.handle(Event{Kind: EventArrival, Session: 1, Class: 1, Title: 9, TimeLeftS: 5, Copies: 4, MaxRung: 4, InPeak: own})
		if a := findAction(acts, ActionSetRung); a != nil {
			return a.Rung
		}
		if findAction(acts, ActionRefuse) == nil {
			t.Error("neither sent nor refused")
		}
		return -1
	}
	free := rung(nil, false)
	for i, e := range []struct {
		hold []float64
		own  bool
		want int
	}{
		{[]float64{0, 0}, false, free}, {[]float64{0, 1}, true, free}, {[]float64{0, 1}, false, -1}, {[]float64{1, 0}, true, -1}, {[]float64{0.5, 0.47}, false, 0}, {[]float64{0, 0.49}, true, free},
	} {
		if got := rung(e.hold, e.own); got != e.want {
			t.Errorf("%d: rung %d, want %d", i, got, e.want)
		}
	}
	if free <= 0 {
		t.Errorf("rung %d without a hold", free)
	}
	b := newHarness(t, settings())
	b.handle(Event{Kind: EventHold, HeldShares: []float64{0, 1}})
	b.handle(Event{Kind: EventHold})
	if findAction(b.arrive(2, 1), ActionSetUp) == nil {
		t.Error("what was given back is still held")
	}
}
