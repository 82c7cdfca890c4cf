package broker

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"millethinge/control"
	"millethinge/internal/peaks"
	"millethinge/internal/route"
)

// Held slots are used only by sessions that a rule has assigned to the announced peak and
// that are of the class for which the slots are held.
func TestHeldSlots(t *testing.T) {
	b, f := newTestBroker(t)
	h := newPeakPlanner(PeakConfig{Calendar: peaks.Calendar{Peaks: []peaks.Peak{{Name: "quincena", Zone: time.UTC}}}, Classes: make([]peaks.Class, 2)}, 1, zap.NewNop())
	b.planners = []Planner{h}
	submit := func(id control.SessionID, class int, peak string) {
		r := Request{ID: id, Class: class, Team: -1, Title: 1, Copies: 1, MaxRung: 2, TimeLeft: 3 * time.Second, ReceivedAt: time.Now(), Client: f}
		if peak != "" {
			r.Route.Labels = []route.Label{{Name: "shop", Value: "quincena"}, {Name: peakLabel, Value: peak}}
		}
		b.handleMessage(r)
	}
	b.dispatch(control.Event{Kind: control.EventHold, HeldShares: []float64{0, 1}}) // all slots are held for feeds of the peak
	submit(1, feed, "")
	submit(2, clip, "")
	submit(3, feed, "quincena")
	submit(4, clip, "quincena") // no slots are held for its class
	submit(5, feed, "another")
	b.dispatch(control.Event{Kind: control.EventHold, HeldShares: []float64{0, 0}})
	submit(6, feed, "")
	if got := f.takeCalls(); got != "refused 1, refused 2, setup 3, refused 4, refused 5, setup 6" {
		t.Error(got)
	}
	if h.arrivals[feed] != 4 || h.arrivals[clip] != 2 || h.ownArrivals[0] != 2 || !h.hasOwnRule[0] {
		t.Errorf("%+v", h)
	}
}

// Without announced peaks and sites there are no planners, and no timers for them.
func TestNoPlanners(t *testing.T) {
	b, f := newTestBroker(t)
	b.submitNow(f, 1, clip, -1, 0)
	b.reportNow(1, ReportStarted, 0)
	b.handleMessage(ViewerEnd{ID: 1, Cause: CauseEnded})
	for _, timer := range b.timers.entries {
		if timer.kind == timerPlanner {
			t.Error("there is a timer for a planner")
		}
	}
	if got := f.takeCalls(); b.planners != nil || got != "setup 1, served 1, teardown 1" {
		t.Error(got)
	}
}

// A manager that starts during a hold holds slots for the rest of it, based on the ordinary
// demand in the operator's file.
func TestStartDuringHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { // synctest's clock starts at midnight UTC
		p := peaks.Peak{Name: "q", Zone: time.UTC, Days: peaks.Days{Daily: true}, At: 4 * time.Second, Length: time.Hour, Lead: 90 * time.Second, Classes: []bool{true, true}, Factor: 20, Probability: 0.9, MaxHarm: 0.9}
		class := func(rate float64, floor int) peaks.Class {
			return peaks.Class{Rate: rate, SlotsByRung: []float64{0.5, 1, 1.5}, Worth: []float64{0.5, 0.8, 1}, Floor: floor, Top: 2}
		}
		set := testSettings()
		set.FleetLinkKB, set.LinkKBPerWeight = 200, 100
		b, err := New(Config{Settings: set, Seed: 1, Nodes: &recorder{}, Log: zap.NewNop(),
			Peaks: PeakConfig{Calendar: peaks.Calendar{Peaks: []peaks.Peak{p}}, Classes: []peaks.Class{class(0.5, 1), class(1, 0)}, MeanLengthsS: []float64{40, 40}}})
		if err != nil {
			t.Fatal(err)
		}
		b.handleMessage(ListUpdate{Entries: []control.Entry{{Server: 1, State: control.Ready, Weight: 1}, {Server: 2, State: control.Ready, Weight: 1}}})
		heldByTick := []float64{}
		for range 60 {
			b.runTimers()
			sum := 0.0
			for _, h := range b.planners[0].(*peakPlanner).heldShares {
				sum += h
			}
			heldByTick = append(heldByTick, sum)
			time.Sleep(time.Second)
		}
		if most := slices.Max(heldByTick[:5]); most <= 0 || most > 0.9 || heldByTick[59] != 0 { // the peak does not come, and its hold is released
			t.Errorf("%.3f", heldByTick)
		}
	})
}
