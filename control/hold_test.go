package control

import "testing"

// Room counts nothing of what drains, is gone or seems cut off, and of a cold server
// what it has warmed.
func TestRoomForPlans(t *testing.T) {
	set := settings()
	set.Zone = 0
	b := newBed(t, set)
	b.c.Handle(b.now, Event{Kind: EventNote}) // only moves the clock
	all := b.c.CapacitySlots()
	one := all / 4
	if want := 0.9 * 4000 / 400; one < want-1e-9 || one > want+1e-9 {
		t.Fatalf("a server has %v slots, want %v", one, want)
	}
	near := func(what string, want float64) {
		t.Helper()
		b.c.Handle(b.now, Event{Kind: EventNote})
		if got := b.c.CapacitySlots() / one; got < want-1e-6 || got > want+1e-6 {
			t.Errorf("%s: %v servers' room, want %v", what, got, want)
		}
	}
	b.list(ListDelta, Draining)
	near("one drains", 3)
	b.list(ListDelta, Gone)
	near("one is gone", 3)
	// It comes back cold, and half of its warm-up passes.
	at := b.now
	b.do(Event{Kind: EventList, List: ListDelta, Entries: []Entry{{Server: 1, State: Ready, Weight: 1, StartedAtS: at}}})
	near("it is back, cold", 3)
	b.now += set.WarmAfterS / 2
	b.c.Handle(b.now, Event{Kind: EventNote})
	near("half warm", 3+b.c.capacityKB(b.c.servers[1])/b.c.slotKB/one/2) // its slots are few as yet
	b.now += set.WarmAfterS
	near("warm", 4)
	b.c.zoneLostUntil[0] = b.c.now + 1
	near("its zone is cut off", 0)
}

// A share is even until reports tell more, and stays within a quarter of that and
// the whole.
func TestShare(t *testing.T) {
	set := settings()
	set.Managers = 4
	b := newBed(t, set)
	if got := b.c.LoadShare(); got != 0.25 {
		t.Errorf("%v", got)
	}
	b.c.meanLoad.value, b.c.meanLoad.hasValue = 8000, true
	for own, want := range map[float64]float64{4000: 0.5, 1: 0.0625, 9000: 1, 0: 0.25} {
		if b.c.ownKB = own; b.c.LoadShare() != want {
			t.Errorf("%v of 8000: %v, want %v", own, b.c.LoadShare(), want)
		}
	}
}

// Held room is left to the announced peak's own sessions of the class; others get
// lower rungs, and are refused where all is held. It ends with the next event.
func TestHold(t *testing.T) {
	rung := func(hold []float64, own bool) int {
		b := newBed(t, settings())
		b.do(Event{Kind: EventHold, HeldShares: hold})
		acts := b.do(Event{Kind: EventArrival, Session: 1, Class: 1, Title: 9, TimeLeftS: 5, Copies: 4, MaxRung: 4, InPeak: own})
		if a := find(acts, ActionSetRung); a != nil {
			return a.Rung
		}
		if find(acts, ActionRefuse) == nil {
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
	b := newBed(t, settings())
	b.do(Event{Kind: EventHold, HeldShares: []float64{0, 1}})
	b.do(Event{Kind: EventHold})
	if find(b.arrive(2, 1), ActionSetUp) == nil {
		t.Error("what was given back is still held")
	}
}
