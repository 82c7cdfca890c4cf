package duty

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"millethinge/control"
	"millethinge/internal/directory"
)

func listed(id string, s control.ServerState) directory.Change {
	m := directory.Member{ID: id}
	m.State = s
	return directory.Change{Members: []directory.Member{m}}
}

// What a node is to be acted on follows two plain facts, whatever comes in which order:
// what the list said last, and which order was given last.
func TestOrdersStandOverTheList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := NewOverrides()
		ids := []string{"a", "b"}
		said, seen := map[string]control.ServerState{}, map[string]control.ServerState{}
		out, at := map[string]bool{}, map[string]int{}
		took := func(c directory.Change) {
			for _, m := range c.Members {
				seen[m.ID] = m.State
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			id := rapid.SampledFrom(ids).Draw(t, "node")
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				said[id] = rapid.SampledFrom([]control.ServerState{control.Ready, control.Draining, control.Gone}).Draw(t, "state")
				took(o.ApplyListChange(listed(id, said[id])))
			case 1:
				when, ban := rapid.IntRange(1, 20).Draw(t, "when"), rapid.Bool().Draw(t, "out")
				c, known := o.Set(id, Override{ban, time.Unix(int64(when), 0)})
				if _, ever := said[id]; known != ever {
					t.Fatalf("%s known: %v, was listed: %v", id, known, ever)
				}
				took(c)
				if known && when > at[id] {
					out[id], at[id] = ban, when
				}
			case 2: // of another process, perhaps before the node is listed
				when, ban := rapid.IntRange(1, 20).Draw(t, "when"), rapid.Bool().Draw(t, "out")
				took(o.Merge(map[string]Override{id: {ban, time.Unix(int64(when), 0)}}))
				if when > at[id] {
					out[id], at[id] = ban, when
				}
			}
			n := 0
			for id, s := range said {
				want := s
				if s == control.Ready && out[id] {
					want = control.Draining
				}
				if seen[id] != want {
					t.Fatalf("%s is acted on as %v; listed %v, out %v", id, seen[id], s, out[id])
				}
				if s != control.Gone && out[id] {
					n++
				}
			}
			if _, got := o.NodeCounts(); got != n {
				t.Fatalf("%d are told to be out in place of %d", got, n)
			}
		}
	})
}

// A node that is put back is told as just started, though the list shows no start.
func TestBackIsCold(t *testing.T) {
	o := NewOverrides()
	o.ApplyListChange(listed("a", control.Ready))
	o.Set("a", Override{true, time.Unix(100, 0)})
	c, _ := o.Set("a", Override{false, time.Unix(160, 0)})
	if len(c.Members) != 1 || c.Members[0].StartedAtS != 160 || !c.Members[0].Reenabled || c.Members[0].State != control.Ready {
		t.Errorf("%+v", c.Members)
	}
	if m := o.ApplyListChange(listed("a", control.Ready)).Members[0]; m.Reenabled {
		t.Error("the list's next word says so again")
	}
}

func TestGate(t *testing.T) {
	t0 := time.Unix(1000, 0)
	after := func(d time.Duration) time.Time { return t0.Add(d) }
	var g Gate
	if !g.AcceptsClients() || g.ClosesIdle(t0, time.Hour, false) || g.RefusesSetups(t0) {
		t.Error("an open gate sends away")
	}
	g.StartDrain(t0)
	g.StartDrain(after(time.Hour)) // a call that is repeated moves no time
	for _, e := range []struct {
		at, idle      time.Duration
		holds         bool
		goes, refuses bool
	}{
		{0, time.Second, false, false, false}, // its first request may be on its way
		{IdleCloseDelay, MinIdleTime, false, true, false},
		{IdleCloseDelay, MinIdleTime - 1, false, false, false},
		{IdleCloseDelay, time.Second, true, false, false}, // the ends of its sessions go on it
		{SetupRefusalDelay - 1, 0, true, false, false},
		{SetupRefusalDelay, 0, true, false, true},
	} {
		if goes, refuses := g.ClosesIdle(after(e.at), e.idle, e.holds), g.RefusesSetups(after(e.at)); g.AcceptsClients() || goes != e.goes || refuses != e.refuses {
			t.Errorf("%+v: goes %v, refuses %v", e, goes, refuses)
		}
	}
	g.StopDrain()
	g.StartHandover(t0)
	if !g.AcceptsClients() || !g.ClosesIdle(after(IdleCloseDelay), MinIdleTime, true) || g.RefusesSetups(after(time.Hour)) {
		t.Error("what moves to a younger process is not let go, or not served")
	}
}
