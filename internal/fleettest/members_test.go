package fleettest

import (
	"strings"
	"testing"
	"time"
)

// TestMembers plays five managers that ask each other who is there, with faults between
// them: each one's view, as it logs it, settles at who can be reached.
func TestMembers(t *testing.T) {
	if testing.Short() {
		t.Skip("the race detector's run: the processes are built without it")
	}
	t.Parallel()
	all := []string{"m1", "m2", "m3", "m4", "m5"}
	two, three := all[:2], all[2:]
	for name, course := range map[string]func(m *Members, must func(error)){
		"killed": func(m *Members, must func(error)) {
			must(m.Kill("m5"))
			must(m.Settle("without m5", false, all[:4], all[:4]...))
			if m.Told("m1", "left", "m5") {
				t.Error("killed: a loss is told as a leave")
			}
			must(m.Start("m5"))
			must(m.Settle("m5 is back", false, all, all...))
			must(m.Wait("told as another life", func() bool { return m.Told("m1", "restarted", "m5") }))
		},
		"paused": func(m *Members, must func(error)) {
			must(m.Managers["m3"].Pause())
			four := []string{"m1", "m2", "m4", "m5"}
			must(m.Settle("without m3", false, four, four...))
			must(m.Managers["m3"].Resume())
			must(m.Settle("m3 is back", false, all, all...))
			must(m.Wait("told as the same life", func() bool { return m.Told("m1", "healed", "m3") && m.Told("m3", "stood-still", "m3") }))
		},
		"cut": func(m *Members, must func(error)) {
			for range 2 {
				m.Peers.Cut(two, three, false)
				must(m.Settle("the two", true, two, two...))
				must(m.Settle("the three", false, three, three...))
				m.Peers.Heal(two, three)
				must(m.Settle("healed", false, all, all...))
			}
		},
		"one way": func(m *Members, must func(error)) {
			m.Peers.Cut([]string{"m1"}, all[1:], true) // it hears, and isn't heard
			must(m.Settle("m1", true, all[:1], "m1"))
			must(m.Settle("the others", false, all[1:], all[1:]...))
			m.Peers.Heal(all[:1], all[1:])
			must(m.Settle("healed", false, all, all...))
		},
		"one way between two": func(m *Members, must func(error)) {
			m.Peers.Cut([]string{"m1"}, []string{"m2"}, true)
			time.Sleep(20 * time.Second) // more than a suspicion lasts: others vouch for both
			must(m.Settle("nobody is lost", false, all, all...))
			for _, n := range all {
				for _, o := range all {
					if m.Told(n, "lost", o) {
						t.Errorf("one way between two: %s lost %s", n, o)
					}
				}
			}
		},
		"loss": func(m *Members, must func(error)) {
			for _, l := range m.Peers.UDP {
				for _, p := range l {
					p.Lose(Out, 0.3)
				}
			}
			time.Sleep(20 * time.Second)
			must(m.Settle("nobody is lost", false, all, all...))
			for _, n := range all {
				for _, o := range all {
					if m.Told(n, "lost", o) {
						t.Errorf("loss: %s lost %s", n, o)
					}
				}
			}
		},
		"left": func(m *Members, must func(error)) {
			must(m.Managers["m2"].Term())
			must(m.Settle("without m2", false, three, append([]string{"m1"}, three...)...))
			for _, n := range three {
				must(m.Wait("told as a leave", func() bool { return m.Told(n, "left", "m2") }))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			binary, err := buildProgram()
			if err != nil {
				t.Fatal(err)
			}
			m, err := NewMembers([]Hall{{Name: "a", Managers: two, Nodes: []string{"a1"}}, {Name: "b", Managers: three, Nodes: []string{"b1"}}}, 1, binary, t.TempDir())
			defer m.Close()
			must := func(err error) {
				t.Helper()
				if err != nil {
					t.Fatal(err)
				}
			}
			must(err)
			must(m.Settle("all in view", false, all, all...))
			began := time.Now()
			course(m, must)
			t.Logf("%v: %s", time.Since(began).Round(time.Millisecond), strings.Join(m.Took, ", "))
			for _, err := range m.Fails() {
				t.Error(err)
			}
		})
	}
}
