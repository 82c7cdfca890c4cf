package control

import (
	"math"
	"testing"
)

// A front that is handed sessions counts them as its own and no more as others': what
// its link is asked for stays the same, also by a report that was measured before.
func TestEstablishedSessionsCountOnce(t *testing.T) {
	b := newHarness(t, settings())
	sv := b.controller.servers[1]
	b.handle(Event{Kind: EventTimer, Token: tokenSubscribe + 1}) // moves its clock
	const kb = 2000
	sv.observe(b.controller.now, kb, 1)
	for i := range 4 {
		b.handle(Event{Kind: EventEstablished, Session: SessionID(100 + i), Class: 1, Server: 1, Copies: 1, MaxRung: 4, Rung: 2})
	}
	if got := sv.ownKB + sv.reportedOthersKB; sv.ownKB != 1600 || got != kb {
		t.Errorf("%.0f of own and %.0f of others in place of 1600 and %.0f in all", sv.ownKB, sv.reportedOthersKB, float64(kb))
	}
	b.now += 0.2
	b.handle(Event{Kind: EventTimer, Token: tokenSubscribe + 1})
	sv.observe(b.controller.now-0.3, kb, 1)
	sv.observe(b.controller.now-0.1, kb, 1)
	if got := sv.ownKB + sv.reportedOthersKB; math.Abs(got-kb) > 1 {
		t.Errorf("a late report makes it %.0f in place of %.0f", got, float64(kb))
	}
}

// A server that an operator put back gets its first session within the promised time
// where its pace allows that, whatever the lot says; where fronts are many the lot stays.
func TestReenabledServerIsUsed(t *testing.T) {
	for _, e := range []struct {
		fronts int
		used   bool
	}{{1, true}, {300, false}} {
		cfg := settings()
		cfg.Managers = e.fronts
		b := newHarness(t, cfg)
		b.handle(Event{Kind: EventList, List: ListDelta, Entries: []Entry{{Server: 1, State: Ready, Weight: 1, StartedAtS: b.now, Reenabled: true}}})
		b.handle(Event{Kind: EventTimer, Token: tokenSubscribe + 1})
		sv := b.controller.servers[1]
		if b.controller.dueAfterReenabling(sv) {
			t.Errorf("%d fronts: used at once, as by all others", e.fronts)
		}
		b.now += reenabledUseS
		b.handle(Event{Kind: EventTimer, Token: tokenSubscribe + 1})
		if got := b.controller.dueAfterReenabling(sv); got != e.used {
			t.Errorf("%d fronts, pace %.1f s: due is %v", e.fronts, b.controller.coldSendInterval(sv), got)
		}
	}
}
