package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
)

// runCommand runs a command line and returns its status and what it printed.
func runCommand(t *testing.T, env map[string]string, in string, args ...string) (int, string, string) {
	t.Helper()
	var out, errs bytes.Buffer
	a := &app{func(k string) string { return env[k] }, strings.NewReader(in), &out, &errs}
	return a.command(args), out.String(), errs.String()
}

// writeTempFile is a file of a test's own.
func writeTempFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const exampleConfig = "../../example/config.json"

func TestCheck(t *testing.T) {
	env := map[string]string{"BALANCER_CONFIG": exampleConfig}
	if code, out, errs := runCommand(t, env, "", "check", "--operator", "../../deploy/operator.example.conf"); code != 0 || !strings.Contains(out, "2 teams") || errs != "" {
		t.Errorf("%d, %s, %s", code, out, errs)
	}
	bad := writeTempFile(t, "op.conf", "websocket {\n    listen here\n    grcae 3s\n}\nteam x {\n    classes none\n}\n")
	code, out, errs := runCommand(t, env, "", "check", "--operator", bad)
	if code != statusFailed || out != "" {
		t.Errorf("%d, %s", code, out)
	}
	for _, want := range []string{bad + `:2:12: websocket.listen: "here" is no address`, bad + `:3:5: websocket.grcae: unknown keyword "grcae"; did you mean "grace"?`,
		"    grcae 3s\n        ^", bad + `:6:13: team.x.classes: "none" is not a class`} {
		if !strings.Contains(errs, want) {
			t.Errorf("no %q in\n%s", want, errs)
		}
	}
	// Of the platform's file, too, all faults are told.
	text, err := os.ReadFile(exampleConfig)
	if err != nil {
		t.Fatal(err)
	}
	broken := writeTempFile(t, "c.json", strings.NewReplacer(`"8c1f30d27a5be964"`, `"seed!"`, `"at_most_once"`, `"odd"`).Replace(string(text)))
	if code, _, errs := runCommand(t, nil, "", "--platform", broken, "check"); code != statusFailed || !strings.Contains(errs, "seed") || !strings.Contains(errs, `effect "odd"`) {
		t.Errorf("%d, %s", code, errs)
	}
	if code, _, errs := runCommand(t, nil, "", "check"); code != statusFailed || !strings.Contains(errs, "BALANCER_CONFIG: not set") {
		t.Errorf("%d, %s", code, errs)
	}
}

func TestConvertCommand(t *testing.T) {
	if code, out, errs := runCommand(t, nil, "", "convert", writeTempFile(t, "o.json", `{"teams": [{"name": "a"}]}`)); code != 0 || out != "team a {\n}\n" || errs != "" {
		t.Errorf("%d, %q, %s", code, out, errs)
	}
	if code, _, errs := runCommand(t, nil, "", "convert", writeTempFile(t, "o.json", `{"team": 1}`)); code != statusFailed || !strings.Contains(errs, `"team"`) {
		t.Errorf("%d, %s", code, errs)
	}
}

func TestUsage(t *testing.T) {
	for _, e := range []struct {
		args string
		code int
		want string
	}{
		{"--help", 0, "Examples:"},
		{"check --help", 0, "tell all that is wrong"},
		{"version", 0, "millethinge "},
		{"chek", statusUsage, `did you mean "check"?`},
		{"convert", statusUsage, "<file>"},
		{"--log-level loud", statusUsage, "--log-level"},
		{"--log-format xml serve", statusUsage, "--log-format"},
		{"serve", statusUsage, "BALANCER_CONFIG: not set"},
		{"completion tcsh", statusUsage, "bash"},
		{"completion zsh", 0, "bashcompinit"},
		{"completion fish", 0, "complete -c millethinge"},
	} {
		code, out, errs := runCommand(t, nil, "", strings.Fields(e.args)...)
		if code != e.code || !strings.Contains(out+errs, e.want) {
			t.Errorf("%s: %d, %s%s", e.args, code, out, errs)
		}
	}
}

// The shell's script offers the commands, and their own words after them.
func TestCompletion(t *testing.T) {
	bash, err := exec.LookPath("bash")
	if err != nil {
		t.Skip("no bash")
	}
	_, script, _ := runCommand(t, nil, "", "completion", "bash")
	for words, want := range map[string]string{"ch": "check", "completion z": "zsh", "check --oper": "--operator"} {
		fields := append([]string{"millethinge"}, strings.Fields(words)...)
		cmd := exec.Command(bash, "--norc", "-c", script+"\nCOMP_WORDS=("+strings.Join(fields, " ")+"); COMP_CWORD=$((${#COMP_WORDS[@]}-1)); _millethinge; echo ${COMPREPLY[@]}")
		if out, err := cmd.CombinedOutput(); err != nil || strings.TrimSpace(string(out)) != want {
			t.Errorf("%s: %q, %v", words, out, err)
		}
	}
}

// A part of a core still runs one thread, and no number of cores costs memory for more
// than the machine has.
func TestMaxProcs(t *testing.T) {
	for cores, want := range map[float64]int{0.05: 1, 1: 1, 1.4: 1, 1e300: runtime.NumCPU()} {
		if got := maxProcs(cores); got != want {
			t.Errorf("%v cores: %d threads, want %d", cores, got, want)
		}
	}
}

// A level that is asked for is the least one logged.
func TestLogger(t *testing.T) {
	for level, enabled := range map[string]bool{"": true, "info": true, "warn": false} {
		log, err := logOptions{level: level, format: "console"}.logger()
		if err != nil || log.Core().Enabled(0) != enabled {
			t.Errorf("%q: %v", level, err)
		}
	}
	if _, err := (logOptions{level: "loud"}).logger(); err == nil {
		t.Error("no error")
	}
}

// explain tells which rule matched, with which values, what came out and what it
// cost; a message that is none fails alone.
func TestExplain(t *testing.T) {
	env := map[string]string{"BALANCER_CONFIG": exampleConfig, "MILLETHINGE_OPERATOR": "../../example/operator.conf"}
	at := []string{"explain", "--at", "2026-05-15T19:00:00-06:00", "--client", "10.4.7.9"}
	code, out, errs := runCommand(t, env, "", append(at, "../../example/setups.jsonl")...)
	if code != 0 || errs != "" {
		t.Fatalf("%d, %s", code, errs)
	}
	for _, want := range []string{
		"step 1: attendants matches", `extra("till") = "desk"`, `given class feed, team norte, budget key "desk/norte-aeropuerto"`,
		"step 3: payday matches", "payday = true", `given class clip, team sur, budget key "sur/quincena"`, `label hurry "900 ms"`, "steps of at most",
	} {
		if !strings.Contains(out, want) {
			t.Errorf("no %q in\n%s", want, out)
		}
	}
	good := `{"type":"setup","id":"0000000000000001","fields":{"class":"feed","left":"3000","key":"5","extras":"home:0;copies:2;top:3"}}`
	code, out, _ = runCommand(t, env, good+"\n{}\n"+strings.Replace(good, `"class":"feed",`, "", 1)+"\n"+strings.Replace(good, "feed", "fed", 1)+"\n", append(at, "--all")...)
	if code != statusFailed || !strings.Contains(out, "attendants is for other classes") || !strings.Contains(out, "message 2: message: malformed") ||
		!strings.Contains(out, "message 3: it names no class, and no rule gives it one") || !strings.Contains(out, "message 4: unknown class") {
		t.Errorf("%d, %s", code, out)
	}
	for _, e := range []struct {
		args []string
		want string
	}{
		{[]string{"explain"}, "no message"}, {[]string{"explain", "--at", "noon"}, "--at"}, {[]string{"explain", "--client", "x"}, "--client"},
		{[]string{"explain", "none.json"}, "none.json"}, {[]string{"--operator", writeTempFile(t, "none.conf", "viewers {\n}\n"), "explain"}, "has no rules"},
	} {
		if code, _, errs := runCommand(t, env, "", e.args...); code != statusFailed || !strings.Contains(errs, e.want) {
			t.Errorf("%v: %d, %s", e.args, code, errs)
		}
	}
}

func TestPeaksCommand(t *testing.T) {
	env := map[string]string{"BALANCER_CONFIG": exampleConfig}
	op := writeTempFile(t, "op.conf", "ordinary {\n clip 0.02 40s\n feed 0.02 40s\n}\npeak q {\n days 15 last\n at 18:00\n zone America/Mexico_City\n length 3h\n factor 2\n}\n")
	code, out, errs := runCommand(t, env, "", "--operator", op, "peaks", "--from", "2026-01-30T00:00:00Z", "--days", "30")
	if code != 0 || errs != "" || !strings.Contains(out, "2026-01-31 18:00 CST q to 21:00, 2 times of clip, feed") || !strings.Contains(out, "2026-02-15") || !strings.Contains(out, "2026-02-28") || strings.Count(out, "held") != 3 {
		t.Errorf("%d, %s%s", code, out, errs)
	}
	for _, e := range []struct{ args, want string }{
		{"peaks", "announces no peak"}, {"--operator " + op + " peaks --from noon", "--from"}, {"--operator " + op + " peaks --days 0", "--days"},
	} {
		if code, _, errs := runCommand(t, env, "", strings.Fields(e.args)...); code != statusFailed || !strings.Contains(errs, e.want) {
			t.Errorf("%s: %d, %s", e.args, code, errs)
		}
	}
}
