package override

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"millethinge/control"
	"millethinge/internal/directory"
)

// listChange returns a change of the list that holds one node.
func listChange(id string, state control.ServerState) directory.Change {
	member := directory.Member{ID: id}
	member.State = state
	return directory.Change{Members: []directory.Member{member}}
}

// A node's effective state must depend only on its state in the last change of the list and on
// its last override, in whatever order list changes and overrides arrive.
func TestOverridesOutliveListChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		overrides := NewOverrides()
		ids := []string{"a", "b"}
		listedState, effectiveState := map[string]control.ServerState{}, map[string]control.ServerState{}
		disabled, issuedAtS := map[string]bool{}, map[string]int{}
		apply := func(change directory.Change) {
			for _, member := range change.Members {
				effectiveState[member.ID] = member.State
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			id := rapid.SampledFrom(ids).Draw(t, "node")
			switch rapid.IntRange(0, 2).Draw(t, "operation") {
			case 0:
				listedState[id] = rapid.SampledFrom([]control.ServerState{control.Ready, control.Draining, control.Gone}).Draw(t, "state")
				apply(overrides.ApplyListChange(listChange(id, listedState[id])))
			case 1:
				atS, disable := rapid.IntRange(1, 20).Draw(t, "when"), rapid.Bool().Draw(t, "out")
				change, known := overrides.Set(id, Override{disable, time.Unix(int64(atS), 0)})
				if _, everListed := listedState[id]; known != everListed {
					t.Fatalf("%s: known %v, ever listed %v", id, known, everListed)
				}
				apply(change)
				if known && atS > issuedAtS[id] {
					disabled[id], issuedAtS[id] = disable, atS
				}
			case 2: // an override of another process, possibly before the node is listed
				atS, disable := rapid.IntRange(1, 20).Draw(t, "when"), rapid.Bool().Draw(t, "out")
				apply(overrides.Merge(map[string]Override{id: {disable, time.Unix(int64(atS), 0)}}))
				if atS > issuedAtS[id] {
					disabled[id], issuedAtS[id] = disable, atS
				}
			}
			wantDisabled := 0
			for id, state := range listedState {
				want := state
				if state == control.Ready && disabled[id] {
					want = control.Draining
				}
				if effectiveState[id] != want {
					t.Fatalf("%s: effective state %v; listed as %v, disabled %v", id, effectiveState[id], state, disabled[id])
				}
				if state != control.Gone && disabled[id] {
					wantDisabled++
				}
			}
			if _, got := overrides.NodeCounts(); got != wantDisabled {
				t.Fatalf("NodeCounts returns %d disabled nodes, want %d", got, wantDisabled)
			}
		}
	})
}

// A node that is enabled again must be reported as just started, even though the list shows no
// restart.
func TestReenabledNodeIsCold(t *testing.T) {
	overrides := NewOverrides()
	overrides.ApplyListChange(listChange("a", control.Ready))
	overrides.Set("a", Override{true, time.Unix(100, 0)})
	change, _ := overrides.Set("a", Override{false, time.Unix(160, 0)})
	if len(change.Members) != 1 || change.Members[0].StartedAtS != 160 || !change.Members[0].Reenabled || change.Members[0].State != control.Ready {
		t.Errorf("%+v", change.Members)
	}
	if member := overrides.ApplyListChange(listChange("a", control.Ready)).Members[0]; member.Reenabled {
		t.Error("the next change of the list reports the node as re-enabled again")
	}
}

func TestGate(t *testing.T) {
	start := time.Unix(1000, 0)
	after := func(d time.Duration) time.Time { return start.Add(d) }
	var gate Gate
	if !gate.AcceptsClients() || gate.ClosesIdle(start, time.Hour, false) || gate.RefusesSetups(start) {
		t.Error("a gate without a drain or handover turns clients away")
	}
	gate.StartDrain(start)
	gate.StartDrain(after(time.Hour)) // a repeated call does not change the start time
	for _, test := range []struct {
		at, idle        time.Duration
		hasSessions     bool
		closes, refuses bool
	}{
		{0, time.Second, false, false, false}, // the first request may be on its way
		{IdleCloseDelay, MinIdleTime, false, true, false},
		{IdleCloseDelay, MinIdleTime - 1, false, false, false},
		{IdleCloseDelay, time.Second, true, false, false}, // the ends of its sessions are sent on it
		{SetupRefusalDelay - 1, 0, true, false, false},
		{SetupRefusalDelay, 0, true, false, true},
	} {
		if closes, refuses := gate.ClosesIdle(after(test.at), test.idle, test.hasSessions), gate.RefusesSetups(after(test.at)); gate.AcceptsClients() || closes != test.closes || refuses != test.refuses {
			t.Errorf("%+v: closes %v, refuses %v", test, closes, refuses)
		}
	}
	gate.StopDrain()
	gate.StartHandover(start)
	if !gate.AcceptsClients() || !gate.ClosesIdle(after(IdleCloseDelay), MinIdleTime, true) || gate.RefusesSetups(after(time.Hour)) {
		t.Error("in a handover, clients are not accepted, idle connections not closed, or set-ups refused")
	}
}
