package control

import "testing"

// CapacitySlots counts nothing of a server that drains, is gone or stands in a lost
// zone, and of a cold server the share that has warmed up.
func TestCapacitySlots(t *testing.T) {
	cfg := settings()
	cfg.Zone = 0
	h := newHarness(t, cfg)
	h.controller.Handle(h.now, Event{Kind: EventNote}) // only advances the clock
	all := h.controller.CapacitySlots()
	one := all / 4
	if want := 0.9 * 4000 / 400; one < want-1e-9 || one > want+1e-9 {
		t.Fatalf("a server has %v slots, want %v", one, want)
	}
	check := func(what string, want float64) {
		t.Helper()
		h.controller.Handle(h.now, Event{Kind: EventNote})
		if got := h.controller.CapacitySlots() / one; got < want-1e-6 || got > want+1e-6 {
			t.Errorf("%s: the capacity of %v servers, want %v", what, got, want)
		}
	}
	h.sendList(ListDelta, Draining)
	check("one drains", 3)
	h.sendList(ListDelta, Gone)
	check("one is gone", 3)
	// It comes back cold, and half of its warm-up passes.
	at := h.now
	h.handle(Event{Kind: EventList, List: ListDelta, Entries: []Entry{{Server: 1, State: Ready, Weight: 1, StartedAtS: at}}})
	check("it is back and cold", 3)
	h.now += cfg.WarmAfterS / 2
	h.controller.Handle(h.now, Event{Kind: EventNote})
	check("half warm", 3+h.controller.capacityKB(h.controller.servers[1])/h.controller.slotKB/one/2) // a half-warm server's link is smaller, too
	h.now += cfg.WarmAfterS
	check("warm", 4)
	h.controller.zoneLostUntil[0] = h.controller.now + 1
	check("its zone is lost", 0)
}

// LoadShare is even until reports tell more, and stays between a quarter of that
// and 1.
func TestLoadShare(t *testing.T) {
	cfg := settings()
	cfg.Managers = 4
	h := newHarness(t, cfg)
	if got := h.controller.LoadShare(); got != 0.25 {
		t.Errorf("share %v without reports, want 0.25", got)
	}
	h.controller.meanLoad.value, h.controller.meanLoad.hasValue = 8000, true
	for own, want := range map[float64]float64{4000: 0.5, 1: 0.0625, 9000: 1, 0: 0.25} {
		if h.controller.ownKB = own; h.controller.LoadShare() != want {
			t.Errorf("%v of 8000 kB/s: share %v, want %v", own, h.controller.LoadShare(), want)
		}
	}
}

// Held slots are left to the sessions of the announced peak and of the class;
// others get lower rungs, and are refused where all slots are held. An EventHold
// without shares ends the hold.
func TestHeldSlots(t *testing.T) {
	rung := func(held []float64, inPeak bool) int {
		h := newHarness(t, settings())
		h.handle(Event{Kind: EventHold, HeldShares: held})
		acts := h.handle(Event{Kind: EventArrival, Session: 1, Class: 1, Title: 9, TimeLeftS: 5, Copies: 4, MaxRung: 4, InPeak: inPeak})
		if a := findAction(acts, ActionSetRung); a != nil {
			return a.Rung
		}
		if findAction(acts, ActionRefuse) == nil {
			t.Error("neither set up nor refused")
		}
		return -1
	}
	free := rung(nil, false)
	for i, e := range []struct {
		held   []float64
		inPeak bool
		want   int
	}{
		{[]float64{0, 0}, false, free}, {[]float64{0, 1}, true, free}, {[]float64{0, 1}, false, -1}, {[]float64{1, 0}, true, -1}, {[]float64{0.5, 0.47}, false, 0}, {[]float64{0, 0.49}, true, free},
	} {
		if got := rung(e.held, e.inPeak); got != e.want {
			t.Errorf("case %d: rung %d, want %d", i, got, e.want)
		}
	}
	if free <= 0 {
		t.Errorf("rung %d without a hold", free)
	}
	h := newHarness(t, settings())
	h.handle(Event{Kind: EventHold, HeldShares: []float64{0, 1}})
	h.handle(Event{Kind: EventHold})
	if findAction(h.arrive(2, 1), ActionSetUp) == nil {
		t.Error("refused after the hold has ended")
	}
}
