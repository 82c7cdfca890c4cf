package fleettest

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
)

// program builds the program once a test run.
var program = sync.OnceValues(func() (string, error) {
	root, err := filepath.Abs("../..")
	if err != nil {
		return "", err
	}
	return Build(root, folder)
})

// folder is for what the tests build.
var folder string

var onlyOne = flag.String("scenario", "", "play only the scenario of this name, or its faults")

func TestMain(m *testing.M) {
	if breaks := os.Getenv(badEnv); breaks != "" {
		runBad(breaks)
		return
	}
	flag.Parse()
	var err error
	if folder, err = os.MkdirTemp("", "fleettest"); err != nil {
		panic(err)
	}
	code := m.Run()
	os.RemoveAll(folder)
	os.Exit(code)
}

// atOnce is how many scenarios are played side by side. They mostly wait, so that is
// more than there are processors.
var atOnce = make(chan struct{}, 12)

// played is a scenario that is being played.
type played struct {
	name, rule string // rule: that a fault in the program has to break; empty: none
	acts       []string
	wrong      []string
	summary    string
	done       chan struct{}
}

// play begins a scenario with a program that build builds.
func play(t *testing.T, name, rule string, build func() (string, error)) *played {
	t.Helper()
	file := filepath.Join("testdata", name+".txt")
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	s, err := Parse(file, text, os.ReadFile)
	if err != nil {
		t.Fatal(err)
	}
	p, own, keep := &played{name: name, rule: rule, done: make(chan struct{})}, t.TempDir(), os.Getenv("FLEETTEST_KEEP")
	if keep != "" { // a folder for whole records, and the processes' files
		own = filepath.Join(keep, name)
		os.RemoveAll(own)
	}
	go func() {
		defer close(p.done)
		atOnce <- struct{}{}
		defer func() { <-atOnce }()
		binary, err := build()
		if err != nil {
			p.wrong = []string{err.Error()}
			return
		}
		var record *Record
		p.wrong, record = s.Play(binary, own, func(act string) { p.acts = append(p.acts, act) })
		p.summary = record.Summary()
		if keep != "" {
			var all strings.Builder
			for _, e := range record.Events() {
				all.WriteString(e.String() + "\n")
			}
			os.WriteFile(filepath.Join(keep, name+".record"), []byte(all.String()), 0o600)
		}
	}()
	return p
}

// TestScenarios plays the files of testdata with processes of the program.
func TestScenarios(t *testing.T) {
	if testing.Short() {
		t.Skip("the race detector's run: the processes are built without it")
	}
	t.Parallel()
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no scenarios", err)
	}
	var all []*played
	for _, file := range files {
		if *onlyOne != "" && strings.TrimSuffix(filepath.Base(file), ".txt") != *onlyOne {
			continue
		}
		all = append(all, play(t, strings.TrimSuffix(filepath.Base(file), ".txt"), "", program))
	}
	for _, p := range all {
		t.Run(p.name, func(t *testing.T) {
			<-p.done
			t.Log(strings.Join(p.acts, "; "))
			t.Log(p.summary)
			for _, w := range p.wrong {
				t.Error(w)
			}
		})
	}
}

// TestScenariosTellFaults puts faults into the program that the named scenario has
// to tell, by the named rule.
func TestScenariosTellFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("builds the program once a fault")
	}
	t.Parallel()
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	var all []*played
	for _, e := range []struct {
		scenario, rule string
		patches        []Patch
	}{
		{"ends-reset-2", "over: not seen", []Patch{{"internal/media/node.go",
			"return n.coveredLosses < n.possibleLosses && len(n.established) > 0", "return false"}}},
		{"ends-mute-orphan", "over: not seen", []Patch{{"internal/media/node.go",
			"if s.conn == nil || s.conn == c || s.conn.unusable {", "if c != nil && s.conn == c {"}}},
		{"ends-mute-2", "over: not seen", []Patch{{"internal/media/node.go", "case !c.unresponsiveSince.IsZero() && c.openSetUps", "case false && c.openSetUps"}}},
		{"ends-viewer", "over: not seen", []Patch{{"internal/front/jsonl/jsonl.go", "	f.resendEnds(c.takeUnacknowledged())\n", "	c.takeUnacknowledged()\n"}}},
		{"paused", `"drains" broken`, []Patch{{"internal/media/pool.go", "return p.pauseWatch.Stale(now)", "return false"}}},
		{"cold", `"cold" broken`, []Patch{
			{"control/control.go", "func (c *Controller) isCold(sv *server) bool {\n\treturn c.now < sv.coldUntil",
				"func (c *Controller) isCold(sv *server) bool {\n\treturn false"},
			{"control/control.go", "return c.now >= sv.coldUntil || c.dueAfterReenabling", "return true || c.dueAfterReenabling"},
		}},
		{"site-like", "logged before the mark", []Patch{{"internal/site/watch.go", "r.failures >= failures && r.unconnected > 0", "r.failures >= failures"}}},
		{"ops-ban", `"bans" broken`, []Patch{{"internal/duty/duty.go", "if n.override.Active && member.State == control.Ready", "if false && member.State == control.Ready"}}},
		{"ops-ban", "sent to a1 by m2", []Patch{{"internal/server/operation.go", "		s.overrides.Merge(s.overrideState.Nodes)\n", ""}}},
		{"ops-ban", "a1 is left unused", []Patch{{"internal/server/operation.go", "		c, known := s.overrides.Set(member, override)\n",
			"		c, known := s.overrides.Set(member, override)\n		if known && !disable {\n			c.Members = nil\n		}\n"}}},
		{"ops-drain", "after the call, m1: ready true", []Patch{{"internal/duty/gate.go", "return g == nil || g.drainStart.Load() == 0", "return true"}}},
		{"ops-drain", `"drained" broken`, []Patch{{"internal/duty/gate.go", "!hasSessions && elapsed(&g.drainStart, now, IdleCloseDelay)", "false"}}},
		{"ops-upgrade", `"one answer" broken`, []Patch{{"internal/server/server.go", "case <-sessionBroker.Drained():\n				service.handOverRemaining(sessionBroker)", "case <-map[bool]<-chan time.Time{true: time.After(0)}[draining]:"},
			{"internal/server/server.go", "				stopFronts()\n				fronts.Wait()\n", ""}}}, // the fronts wait, too
		{"ops-callers", `"calls" broken`, []Patch{{"internal/admin/places.go", "evictionGrace - time.Since(c.acceptedAt)", "4*time.Second - time.Since(c.acceptedAt)"}}},
		{"ops-figures", "figures\" broken:  tries", []Patch{{"internal/broker/counts.go", "		c.Attempts.Add(1)\n", "		c.Attempts.Add(1 - c.Attempts.Load()%5/4)\n"}}},
		{"ops-figures", "figures\" broken:  shed", []Patch{{"internal/broker/counts.go", "		c.Refused[class].Add(1)\n", ""}}},
		{"ops-figures", "figures\" broken:  active of m", []Patch{{"internal/server/operation.go", "Active: c.Open + c.Playing", "Active: c.Open"}}},
		{"hidden-restart", `"cold" broken`, []Patch{
			{"control/control.go", "		c.markCold(sv, c.now)\n", ""},
			{"control/state.go", "		c.markCold(sv, c.now)\n", ""},
		}},
	} {
		if *onlyOne != "" && e.scenario != *onlyOne {
			continue
		}
		folder := t.TempDir()
		all = append(all, play(t, e.scenario, e.rule, func() (string, error) { return BuildPatched(root, folder, e.patches...) }))
	}
	for _, p := range all {
		t.Run(p.name, func(t *testing.T) {
			<-p.done
			if !strings.Contains(strings.Join(p.wrong, "\n"), p.rule) {
				t.Errorf("the fault is not told: %q", p.wrong)
			} else if testing.Verbose() {
				t.Logf("%.300q", p.wrong)
			}
		})
	}
}
