package fleettest

import (
	"strings"
	"testing"
	"time"
)

// TestMembershipView checks that with a fault between five managers the membership view of each, as
// it logs it, converges to the managers that it can reach, and that a lost manager is told apart
// from one that left or restarted.
func TestMembershipView(t *testing.T) {
	if testing.Short() {
		t.Skip("skipped with -short, as in the race detector's run: the processes are built without it")
	}
	t.Parallel()
	all := []string{"m1", "m2", "m3", "m4", "m5"}
	firstTwo, lastThree := all[:2], all[2:]
	for name, steps := range map[string]func(m *MembershipFleet, must func(error)){
		"killed": func(m *MembershipFleet, must func(error)) {
			must(m.Kill("m5"))
			must(m.AwaitView("without m5", false, all[:4], all[:4]...))
			if m.HasLogged("m1", "left", "m5") {
				t.Error("killed: m1 logged the loss of m5 as a leave")
			}
			must(m.Start("m5"))
			must(m.AwaitView("m5 is back", false, all, all...))
			must(m.WaitFor("m1 logs that m5 restarted", func() bool { return m.HasLogged("m1", "restarted", "m5") }))
		},
		"paused": func(m *MembershipFleet, must func(error)) {
			must(m.Managers["m3"].Pause())
			others := []string{"m1", "m2", "m4", "m5"}
			must(m.AwaitView("without m3", false, others, others...))
			must(m.Managers["m3"].Resume())
			must(m.AwaitView("m3 is back", false, all, all...))
			must(m.WaitFor("m1 logs that m3 healed, and m3 that it stood still", func() bool { return m.HasLogged("m1", "healed", "m3") && m.HasLogged("m3", "stood-still", "m3") }))
		},
		"cut": func(m *MembershipFleet, must func(error)) {
			for range 2 {
				m.Network.Cut(firstTwo, lastThree, false)
				must(m.AwaitView("the two", true, firstTwo, firstTwo...))
				must(m.AwaitView("the three", false, lastThree, lastThree...))
				m.Network.Heal(firstTwo, lastThree)
				must(m.AwaitView("healed", false, all, all...))
			}
		},
		"one way": func(m *MembershipFleet, must func(error)) {
			m.Network.Cut([]string{"m1"}, all[1:], true) // m1 receives and is not heard
			must(m.AwaitView("m1", true, all[:1], "m1"))
			must(m.AwaitView("the others", false, all[1:], all[1:]...))
			m.Network.Heal(all[:1], all[1:])
			must(m.AwaitView("healed", false, all, all...))
		},
		"one way between two": func(m *MembershipFleet, must func(error)) {
			m.Network.Cut([]string{"m1"}, []string{"m2"}, true)
			time.Sleep(20 * time.Second) // longer than a suspicion lasts: the other managers vouch for both
			must(m.AwaitView("nobody is lost", false, all, all...))
			for _, n := range all {
				for _, o := range all {
					if m.HasLogged(n, "lost", o) {
						t.Errorf("one way between two: %s logged the loss of %s", n, o)
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
						t.Errorf("loss: %s logged the loss of %s", n, o)
					}
				}
			}
		},
		"left": func(m *MembershipFleet, must func(error)) {
			must(m.Managers["m2"].Terminate())
			must(m.AwaitView("without m2", false, lastThree, append([]string{"m1"}, lastThree...)...))
			for _, n := range lastThree {
				must(m.WaitFor("the others log that m2 left", func() bool { return m.HasLogged(n, "left", "m2") }))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			binary, err := buildProgram()
			if err != nil {
				t.Fatal(err)
			}
			m, err := NewMembershipFleet([]Hall{{Name: "a", Managers: firstTwo, Nodes: []string{"a1"}}, {Name: "b", Managers: lastThree, Nodes: []string{"b1"}}}, 1, binary, t.TempDir())
			//lint:ignore SA5001 the fleet has to be closed also when NewMembershipFleet returns an error
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
			steps(m, must)
			t.Logf("%v: %s", time.Since(began).Round(time.Millisecond), strings.Join(m.Timings, ", "))
			for _, err := range m.Failures() {
				t.Error(err)
			}
		})
	}
}
