package control

import "testing"

// A class that a ration limits is refused beyond its limit, others are not, and
// refused viewers are told successive times to return.
func TestRationSessionLimits(t *testing.T) {
	h := newHarness(t, settings())
	h.handle(Event{Kind: EventRation, Ration: &Ration{SessionLimits: []float64{-1, 3}, RetryIntervalsS: []float64{0, 0.5}}})
	taken, last := [2]int{}, 0.0
	for i := range 8 {
		for class := range 2 {
			id := SessionID(1000 + 2*i + class)
			out := h.handle(Event{Kind: EventArrival, Session: id, Class: class, Title: uint64(id), TimeLeftS: 3, Copies: 4, MaxRung: 9, Tenant: -1})
			for _, a := range out {
				switch {
				case a.Kind == ActionSetUp:
					taken[class]++
				case a.Kind == ActionRefuse && class == 1:
					if a.RetryAfterS < minRetryAfterS || a.RetryAfterS < last {
						t.Errorf("asked to stay away for %v s, the viewer before for %v s", a.RetryAfterS, last)
					}
					last = a.RetryAfterS
				}
			}
		}
	}
	if taken != [2]int{8, 3} || last < 2 {
		t.Errorf("%v set up by class, the last refused viewer is to stay away for %v s", taken, last)
	}
	h.handle(Event{Kind: EventRation})
	if out := h.handle(Event{Kind: EventArrival, Session: 2000, Class: 1, Title: 1, TimeLeftS: 3, Copies: 4, MaxRung: 9, Tenant: -1}); findAction(out, ActionSetUp) == nil {
		t.Errorf("no set-up after the ration has ended: %v", out)
	}
}

// A session on a higher rung than the ration allows is lowered, and stays there
// while the ration lasts; set-ups in a zone come no faster than the zone's rate.
func TestRationRungSharesAndZoneRates(t *testing.T) {
	h := newHarness(t, settings())
	first := h.handle(Event{Kind: EventArrival, Session: 1, Class: 1, Title: 1, TimeLeftS: 3, Copies: 4, MaxRung: 9, Tenant: -1})
	rung, sent := findAction(first, ActionSetRung), findAction(first, ActionSetUp)
	if rung == nil || rung.Rung == 0 || sent == nil {
		t.Fatalf("no set-up above rung 0 without a ration: %v", first)
	}
	h.handle(Event{Kind: EventStarted, Session: 1, Server: sent.Server})
	floor := [][]float64{{0, 1, 1}, {1, 1, 1}}
	if out := h.handle(Event{Kind: EventRation, Ration: &Ration{RungShares: floor, ZoneRates: []float64{0.5}}}); findAction(out, ActionSetRung) == nil || findAction(out, ActionSetRung).Rung != 0 {
		t.Errorf("not lowered to rung 0: %v", out)
	}
	sends := 0
	for i := range 40 { // 10 s
		h.now += 0.25
		for _, a := range h.handle(Event{Kind: EventArrival, Session: SessionID(100 + i), Class: 1, Title: 1, TimeLeftS: 0.2, Copies: 4, MaxRung: 9, Tenant: -1}) {
			if a.Kind == ActionSetRung && a.Rung != 0 {
				t.Errorf("rung %d under a ration of rung 0", a.Rung)
			}
			if a.Kind == ActionSetUp {
				sends++
			}
		}
	}
	if sends < 4 || sends > 6 {
		t.Errorf("%d set-ups in 10 s at one in two seconds", sends)
	}
}
