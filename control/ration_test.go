package control

import "testing"

// A class that a ration limits is refused beyond its part, others are not, and the
// refused are told times one after the other.
func TestRationSessionLimits(t *testing.T) {
	b := newHarness(t, settings())
	b.handle(Event{Kind: EventRation, Ration: &Ration{SessionLimits: []float64{-1, 3}, RetryIntervalsS: []float64{0, 0.5}}})
	taken, last := [2]int{}, 0.0
	for i := range 8 {
		for class := range 2 {
			id := SessionID(1000 + 2*i + class)
			out := b.handle(Event{Kind: EventArrival, Session: id, Class: class, Title: uint64(id), TimeLeftS: 3, Copies: 4, MaxRung: 9, Tenant: -1})
			for _, a := range out {
				switch {
				case a.Kind == ActionSetUp:
					taken[class]++
				case a.Kind == ActionRefuse && class == 1:
					if a.RetryAfterS < minRetryAfterS || a.RetryAfterS < last {
						t.Errorf("refused till %v, the one before till %v", a.RetryAfterS, last)
					}
					last = a.RetryAfterS
				}
			}
		}
	}
	if taken != [2]int{8, 3} || last < 2 {
		t.Errorf("%v taken, the last refused for %v s", taken, last)
	}
	b.handle(Event{Kind: EventRation})
	if out := b.handle(Event{Kind: EventArrival, Session: 2000, Class: 1, Title: 1, TimeLeftS: 3, Copies: 4, MaxRung: 9, Tenant: -1}); findAction(out, ActionSetUp) == nil {
		t.Errorf("without a ration any more: %v", out)
	}
}

// What plays on a higher rung than a ration gives is lowered, and comes no higher while
// it lasts; a zone that comes back is sent to no faster than its pace.
func TestRationRungSharesAndZoneRates(t *testing.T) {
	b := newHarness(t, settings())
	first := b.handle(Event{Kind: EventArrival, Session: 1, Class: 1, Title: 1, TimeLeftS: 3, Copies: 4, MaxRung: 9, Tenant: -1})
	rung, sent := findAction(first, ActionSetRung), findAction(first, ActionSetUp)
	if rung == nil || rung.Rung == 0 || sent == nil {
		t.Fatalf("%v", first)
	}
	b.handle(Event{Kind: EventStarted, Session: 1, Server: sent.Server})
	floor := [][]float64{{0, 1, 1}, {1, 1, 1}}
	if out := b.handle(Event{Kind: EventRation, Ration: &Ration{RungShares: floor, ZoneRates: []float64{0.5}}}); findAction(out, ActionSetRung) == nil || findAction(out, ActionSetRung).Rung != 0 {
		t.Errorf("lowered: %v", out)
	}
	sends := 0
	for i := range 40 { // 10 s
		b.now += 0.25
		for _, a := range b.handle(Event{Kind: EventArrival, Session: SessionID(100 + i), Class: 1, Title: 1, TimeLeftS: 0.2, Copies: 4, MaxRung: 9, Tenant: -1}) {
			if a.Kind == ActionSetRung && a.Rung != 0 {
				t.Errorf("rung %d", a.Rung)
			}
			if a.Kind == ActionSetUp {
				sends++
			}
		}
	}
	if sends < 4 || sends > 6 {
		t.Errorf("%d sent in 10 s, at one in two seconds", sends)
	}
}
