package control

import (
	"math"
	"testing"
)

// A manager that takes sessions over counts them as its own and no longer as other
// managers': what its link is asked for stays the same, also after a late report
// that was measured before.
func TestEstablishedSessionsCountOnce(t *testing.T) {
	h := newHarness(t, settings())
	sv := h.controller.servers[1]
	h.handle(Event{Kind: EventTimer, Token: tokenSubscribe + 1}) // advances the controller's clock
	const kb = 2000
	sv.observe(h.controller.now, kb, 1)
	for i := range 4 {
		h.handle(Event{Kind: EventEstablished, Session: SessionID(100 + i), Class: 1, Server: 1, Copies: 1, MaxRung: 4, Rung: 2})
	}
	if got := sv.ownKB + sv.reportedOthersKB; sv.ownKB != 1600 || got != kb {
		t.Errorf("own load %.0f and others' %.0f kB/s, want own load 1600 and %.0f in all", sv.ownKB, sv.reportedOthersKB, float64(kb))
	}
	h.now += 0.2
	h.handle(Event{Kind: EventTimer, Token: tokenSubscribe + 1})
	sv.observe(h.controller.now-0.3, kb, 1)
	sv.observe(h.controller.now-0.1, kb, 1)
	if got := sv.ownKB + sv.reportedOthersKB; math.Abs(got-kb) > 1 {
		t.Errorf("%.0f kB/s in all after a late report, want %.0f", got, float64(kb))
	}
}

// A server that an operator enabled again may be sent a session within reenabledUseS,
// whatever the random selection, if the manager's send interval is no longer than that.
// With many managers it is longer, and selection stays random.
func TestReenabledServerIsUsed(t *testing.T) {
	for _, e := range []struct {
		managers int
		used     bool
	}{{1, true}, {300, false}} {
		cfg := settings()
		cfg.Managers = e.managers
		h := newHarness(t, cfg)
		h.handle(Event{Kind: EventList, List: ListDelta, Entries: []Entry{{Server: 1, State: Ready, Weight: 1, StartedAtS: h.now, Reenabled: true}}})
		h.handle(Event{Kind: EventTimer, Token: tokenSubscribe + 1})
		sv := h.controller.servers[1]
		if h.controller.dueAfterReenabling(sv) {
			t.Errorf("%d managers: due at once, as at all other managers", e.managers)
		}
		h.now += reenabledUseS
		h.handle(Event{Kind: EventTimer, Token: tokenSubscribe + 1})
		if got := h.controller.dueAfterReenabling(sv); got != e.used {
			t.Errorf("%d managers, send interval %.1f s: due is %v", e.managers, h.controller.coldSendInterval(sv), got)
		}
	}
}
