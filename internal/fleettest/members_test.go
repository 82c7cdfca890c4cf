package fleettest

import (
	"strings"
	"testing"
	"time"
)

// TestMembershipView plays five managers that ask each other who is there, with faults between
// them: each one's view, as it logs it, settles at who can be reached.
func TestMembershipView(t *testing.T) {
	if testing.Short() {
		t.Skip("the race detector's run: the processes are built without it")
	}
	t.Parallel()
	all := []string{"m1", "m2", "m3", "m4", "m5"}
	two, three := all[:2], all[2:]
	for name, course := range map[string]func(m *MembershipFleet, must func(error)){
		"killed": func(m *MembershipFleet, must func(error)) {
			must(m.Kill("m5"))
			must(m.AwaitView("without m5", false, all[:4], all[:4]...))
			if m.HasLogged("m1", "left", "m5") {
				t.Error("killed: a loss is told as a leave")
			}
			must(m.Start("m5"))
			must(m.AwaitView("m5 is back", false, all, all...))
			must(m.WaitFor("told as another life", func() bool { return m.HasLogged("m1", "restarted", "m5") }))
		},
		"paused": func(m *MembershipFleet, must func(error)) {
			must(m.Managers["m3"].Pause())
			four := []string{"m1", "m2", "m4", "m5"}
			must(m.AwaitView("without m3", false, four, four...))
			must(m.Managers["m3"].Resume())
			must(m.AwaitView("m3 is back", false, all, all...))
			must(m.WaitFor("told as the same life", func() bool { return m.HasLogged("m1", "healed", "m3") && m.HasLogged("m3", "stood-still", "m3") }))
		},
		"cut": func(m *MembershipFleet, must func(error)) {
			for range 2 {
				m.Network.Cut(two, three, false)
				must(m.AwaitView("the two", true, two, two...))
				must(m.AwaitView("the three", false, three, three...))
				m.Network.Heal(two, three)
				must(m.AwaitView("healed", false, all, all...))
			}
		},
		"one way": func(m *MembershipFleet, must func(error)) {
			m.Network.Cut([]string{"m1"}, all[1:], true) // it hears, and isn't heard
			must(m.AwaitView("m1", true, all[:1], "m1"))
			must(m.AwaitView("the others", false, all[1:], all[1:]...))
			m.Network.Heal(all[:1], all[1:])
			must(m.AwaitView("healed", false, all, all...))
		},
		"one way between two": func(m *MembershipFleet, must func(error)) {
			m.Network.Cut([]string{"m1"}, []string{"m2"}, true)
			time.Sleep(20 * time.Second) // more than a suspicion lasts: others vouch for both
			must(m.AwaitView("nobody is lost", false, all, all...))
			for _, n := range all {
				for _, o := range all {
					if m.HasLogged(n, "lost", o) {
						t.Errorf("one way between two: %s lost %s", n, o)
					}
				}
			}
		},
		"loss": func(m *MembershipFleet, must func(error)) {
			for _, l := range m.Network.UDP {
				for _, p := range l {
					p.Lose(ToTarget, 0.3)
				}
			}
			time.Sleep(20 * time.Second)
			must(m.AwaitView("nobody is lost", false, all, all...))
			for _, n := range all {
				for _, o := range all {
					if m.HasLogged(n, "lost", o) {
						t.Errorf("loss: %s lost %s", n, o)
					}
				}
			}
		},
		"left": func(m *MembershipFleet, must func(error)) {
			must(m.Managers["m2"].Terminate())
			must(m.AwaitView("without m2", false, three, append([]string{"m1"}, three...)...))
			for _, n := range three {
				must(m.WaitFor("told as a leave", func() bool { return m.HasLogged(n, "left", "m2") }))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			binary, err := program()
			if err != nil {
				t.Fatal(err)
			}
			m, err := NewMembershipFleet([]Hall{{Name: "a", Managers: two, Nodes: []string{"a1"}}, {Name: "b", Managers: three, Nodes: []string{"b1"}}}, 1, binary, t.TempDir())
			defer m.Close()
			must := func(err error) {
				t.Helper()
				if err != nil {
					t.Fatal(err)
				}
			}
			must(err)
			must(m.AwaitView("all in view", false, all, all...))
			began := time.Now()
			course(m, must)
			t.Logf("%v: %s", time.Since(began).Round(time.Millisecond), strings.Join(m.Timings, ", "))
			for _, err := range m.Failures() {
				t.Error(err)
			}
		})
	}
}
