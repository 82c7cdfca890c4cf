package fleettest

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
)

// buildProgram builds the program once per test run.
var buildProgram = sync.OnceValues(func() (string, error) {
	root, err := filepath.Abs("../..")
	if err != nil {
		return "", err
	}
	return Build(root, buildFolder)
})

// buildFolder is the folder for the binaries that the tests build.
var buildFolder string

// onlyScenario selects a single scenario to play.
var onlyScenario = flag.String("scenario", "", "play only the scenario of this name, with or without injected faults")

// TestMain runs the tests, or a scripted manager if the environment names a fault.
func TestMain(m *testing.M) {
	if fault := os.Getenv(faultEnv); fault != "" {
		runScriptedManager(fault)
		return
	}
	flag.Parse()
	var err error
	if buildFolder, err = os.MkdirTemp("", "fleettest"); err != nil {
		panic(err)
	}
	code := m.Run()
	os.RemoveAll(buildFolder)
	os.Exit(code)
}

// playSlots limits how many scenarios are played concurrently. Each has up to fifteen
// processes and is judged by real time: with more at once the rig's own relays delay
// messages by half a second.
var playSlots = make(chan struct{}, 4)

// scenarioPlay is one play of a scenario, in progress or done.
type scenarioPlay struct {
	name, rule string // rule: text that a failure must contain because of an injected fault; empty: none
	acts       []string
	failures   []string
	summary    string
	done       chan struct{}
}

// startPlay starts to play a scenario with the program that build returns.
func startPlay(t *testing.T, name, rule string, build func() (string, error)) *scenarioPlay {
	t.Helper()
	file := filepath.Join("testdata", name+".txt")
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	scenario, err := Parse(file, text, os.ReadFile)
	if err != nil {
		t.Fatal(err)
	}
	result, playFolder, keep := &scenarioPlay{name: name, rule: rule, done: make(chan struct{})}, t.TempDir(), os.Getenv("FLEETTEST_KEEP")
	if keep != "" { // keep the records and the files of the processes
		playFolder = filepath.Join(keep, name)
		os.RemoveAll(playFolder)
	}
	go func() {
		defer close(result.done)
		playSlots <- struct{}{}
		defer func() { <-playSlots }()
		binary, err := build()
		if err != nil {
			result.failures = []string{err.Error()}
			return
		}
		var record *Record
		result.failures, record = scenario.Play(binary, playFolder, func(act string) { result.acts = append(result.acts, act) })
		result.summary = record.Summary()
		if keep != "" {
			var all strings.Builder
			for _, e := range record.Events() {
				all.WriteString(e.String() + "\n")
			}
			os.WriteFile(filepath.Join(keep, name+".record"), []byte(all.String()), 0o600)
		}
	}()
	return result
}

// TestScenarios plays the files of testdata with processes of the program.
func TestScenarios(t *testing.T) {
	if testing.Short() {
		t.Skip("scenarios don't run in short mode: the race detector doesn't see the processes")
	}
	t.Parallel()
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no scenarios found", err)
	}
	var all []*scenarioPlay
	for _, file := range files {
		if *onlyScenario != "" && strings.TrimSuffix(filepath.Base(file), ".txt") != *onlyScenario {
			continue
		}
		all = append(all, startPlay(t, strings.TrimSuffix(filepath.Base(file), ".txt"), "", buildProgram))
	}
	for _, p := range all {
		t.Cleanup(func() { <-p.done }) // also if -skip leaves its subtest out: its folder is removed after this
		t.Run(p.name, func(t *testing.T) {
			<-p.done
			t.Log(strings.Join(p.acts, "; "))
			t.Log(p.summary)
			for _, w := range p.failures {
				t.Error(w)
			}
		})
	}
}

// TestScenariosDetectInjectedFaults injects faults into the program and checks that the
// scenario detects each of them by the given rule. It does not run in parallel with
// TestScenarios, since linking the faulty programs delays the processes that are judged there.
func TestScenariosDetectInjectedFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("builds the program once per fault")
	}
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	var all []*scenarioPlay
	for _, e := range []struct {
		scenario, rule string
		patches        []Patch
	}{
		{"ends-reset-2", "over: not seen", []Patch{{"internal/media/node_connections.go",
			"return n.lossCountAtDial < n.lossCount && len(n.established) > 0", "return false"}}},
		{"ends-mute-orphan", "over: not seen", []Patch{{"internal/media/node_connections.go",
			"if s.conn == nil || s.conn == c || s.conn.unusable {", "if c != nil && s.conn == c {"}}},
		{"ends-mute-2", "over: not seen", []Patch{{"internal/media/node_connections.go", "case !c.unresponsiveSince.IsZero() && c.openSetUps", "case false && c.openSetUps"}}},
		{"ends-viewer", "over: not seen", []Patch{{"internal/front/jsonl/jsonl.go", "	f.resendEnds(c.takeUnacknowledged())\n", "	c.takeUnacknowledged()\n"}}},
		{"paused", `"drains" broken`, []Patch{{"internal/media/pool.go", "return p.pauseWatch.Stale(now)", "return false"}}},
		{"cold", `"cold" broken`, []Patch{
			{"control/control.go", "func (c *Controller) isCold(sv *server) bool {\n\treturn c.now < sv.coldUntil",
				"func (c *Controller) isCold(sv *server) bool {\n\treturn false"},
			{"control/control.go", "return c.now >= sv.coldUntil || c.dueAfterReenabling", "return true || c.dueAfterReenabling"},
		}},
		{"site-like", "logged before the mark", []Patch{{"internal/site/watch.go", "r.failures >= failures && r.unconnected > 0", "r.failures >= failures"}}},
		{"ops-ban", `"bans" broken`, []Patch{{"internal/override/override.go", "if n.override.Active && member.State == control.Ready", "if false && member.State == control.Ready"}}},
		{"ops-ban", "sent to a1 by m2", []Patch{{"internal/server/overrides.go", "		s.overrides.Merge(s.overrideState.Nodes)\n", ""}}},
		{"ops-ban", "a1 is left unused", []Patch{{"internal/server/overrides.go", "		c, known := s.overrides.Set(member, ordered)\n",
			"		c, known := s.overrides.Set(member, ordered)\n		if known && !disable {\n			c.Members = nil\n		}\n"}}},
		{"ops-drain", "after the call, m1: ready true", []Patch{{"internal/override/gate.go", "return g == nil || g.drainStart.Load() == 0", "return true"}}},
		{"ops-drain", `"drained" broken`, []Patch{{"internal/override/gate.go", "!hasSessions && elapsed(&g.drainStart, now, IdleCloseDelay)", "false"}}},
		{"ops-upgrade", `"one answer" broken`, []Patch{{"internal/server/server.go", "case <-sessionBroker.Drained():\n				service.handOverRemaining(sessionBroker)", "case <-map[bool]<-chan time.Time{true: time.After(0)}[draining]:"},
			{"internal/server/server.go", "				stopFronts()\n				fronts.Wait()\n", ""}}}, // the wait for the fronts has to go, too
		{"ops-callers", `"calls" broken`, []Patch{{"internal/admin/limit.go", "min(evictionGrace-c.waitedFor(), maxUnreadAge-time.Since(c.acceptedAt))", "4*time.Second - time.Since(c.acceptedAt)"}}},
		{"ops-figures", "figures\" broken:  tries", []Patch{{"internal/broker/counters.go", "		c.Attempts.Add(1)\n", "		c.Attempts.Add(1 - c.Attempts.Load()%5/4)\n"}}},
		{"ops-figures", "figures\" broken:  shed", []Patch{{"internal/broker/counters.go", "		c.Refused[class].Add(1)\n", ""}}},
		{"ops-figures", "figures\" broken:  active of m", []Patch{{"internal/server/admin.go", "Active: c.Open + c.Playing", "Active: c.Open"}}},
		{"hidden-restart", `"cold" broken`, []Patch{
			{"control/control.go", "		c.markCold(sv, c.now)\n", ""},
			{"control/state.go", "		c.markCold(sv, c.now)\n", ""},
		}},
	} {
		if *onlyScenario != "" && e.scenario != *onlyScenario {
			continue
		}
		folder := t.TempDir()
		all = append(all, startPlay(t, e.scenario, e.rule, func() (string, error) { return BuildPatched(root, folder, e.patches...) }))
	}
	for _, p := range all {
		t.Cleanup(func() { <-p.done }) // also if -skip leaves its subtest out: its folder is removed after this
		t.Run(p.name, func(t *testing.T) {
			<-p.done
			if !strings.Contains(strings.Join(p.failures, "\n"), p.rule) {
				t.Errorf("the injected fault was not detected; failures: %q", p.failures)
			} else if testing.Verbose() {
				t.Logf("%.300q", p.failures)
			}
		})
	}
}
