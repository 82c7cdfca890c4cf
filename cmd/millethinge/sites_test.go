package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const (
	twoHallsConfig = "../../example/two-halls.json"
	twoHallsSites  = "../../example/sites.conf"
)

func TestSites(t *testing.T) {
	code, out, errs := runCommand(t, nil, "", "--platform", twoHallsConfig, "--operator", twoHallsSites, "sites")
	if code != 0 || errs != "" {
		t.Fatal(code, errs)
	}
	for _, want := range []string{
		"hall-a: 3 nodes, room for 14400 kB a second and 84 streams", "without hall-a: ", "without hall-b: ", "hall-b carries 100% of its room",
		"feed from rung 1 to 0, feed refused, clip refused", "back cold, hall-b takes 0.6 set-ups a second at once and 3.0 after 20s",
	} {
		if !strings.Contains(out, want) {
			t.Errorf("no %q in\n%s", want, out)
		}
	}
	if strings.Contains(out, "clip from rung 1") {
		t.Error("clip goes to the lowest rung")
	}
	if code, out, _ := runCommand(t, nil, "", "--platform", twoHallsConfig, "--operator", twoHallsSites, "sites", "--lost", "hall-a,hall-b"); code != 0 ||
		!strings.Contains(out, "without hall-a and hall-b: 0.0% of the worth is kept") {
		t.Error(code, out)
	}
	if code, _, errs := runCommand(t, nil, "", "--platform", twoHallsConfig, "--operator", twoHallsSites, "sites", "--lost", "hall-c"); code == 0 || !strings.Contains(errs, `"hall-c" is no site`) {
		t.Error(code, errs)
	}
	record := func(text string) (int, string, string) {
		log := filepath.Join(t.TempDir(), "log")
		if err := os.WriteFile(log, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return runCommand(t, nil, "", "--platform", twoHallsConfig, "--operator", twoHallsSites, "sites", "--record", log)
	}
	lines := `{"msg":"site demand","rates":[9,9],"lasts":[45,35]}
panic: not a line of the log
{"msg":"site demand","rates":[0.1,0.2],"lasts":[50,40]}
{"msg":"site","rates":[7,7]}
`
	if code, out, errs := record(lines); code != 0 || !strings.Contains(out, "clip: 5.0 sessions") || !strings.Contains(out, "feed: 8.0 sessions") {
		t.Error(code, out, errs)
	}
	for text, want := range map[string]string{"{}": `has no line "site demand"`, `{"msg":"site demand","rates":[1],"lasts":[1]}`: "tells of 1 classes",
		`{"msg":"site demand","rates":[1,-1],"lasts":[1,1]}`: "class feed: -1 sessions"} {
		if code, _, errs := record(text); code == 0 || !strings.Contains(errs, want) {
			t.Errorf("%d, %q, want %q", code, errs, want)
		}
	}
	if code, _, errs := runCommand(t, nil, "", "--platform", twoHallsConfig, "--operator", "../../example/operator.conf", "sites"); code == 0 || !strings.Contains(errs, "an ordinary block is wanted") {
		t.Error(code, errs)
	}
}

// check tells of a site whose loss the rest can't carry for what is to be kept, and of
// what is wrong with a site block.
func TestCheckSites(t *testing.T) {
	heavy := writeTempFile(t, "op.conf", "ordinary {\n    clip 3 45s\n    feed 1 35s\n}\nsite hall-a {\n    zones hall-a\n    keep clip\n}\n")
	code, _, errs := runCommand(t, nil, "", "--platform", twoHallsConfig, "--operator", heavy, "check")
	if code != 0 || !strings.Contains(errs, "warning: site hall-a: if it is lost, the rest can't carry") || !strings.Contains(errs, "sessions that are to be kept") {
		t.Error(code, errs)
	}
	untold := writeTempFile(t, "op.conf", "site hall-a {\n    zones hall-a\n}\n")
	if code, _, errs := runCommand(t, nil, "", "--platform", twoHallsConfig, "--operator", untold, "check"); code != 0 || !strings.Contains(errs, "warning: site: not checked: an ordinary block is wanted") {
		t.Error(code, errs)
	}
	bad := writeTempFile(t, "op.conf", "site a {\n    zones hall-a hall-x\n    refuse feed feed\n    keep none\n    pace -1s\n}\nsite a {\n    zones hall-a\n}\nsite c {\n}\n")
	code, _, errs = runCommand(t, nil, "", "--platform", twoHallsConfig, "--operator", bad, "check")
	for _, want := range []string{`"hall-x" is no zone of this deployment`, `"feed" stands twice`, `"none" is not a class`, "not from 1ms to 1h0m0s",
		`"a" is used twice`, `"hall-a" is in a site already`, "zones is missing"} {
		if code == 0 || !strings.Contains(errs, want) {
			t.Errorf("%d, no %q in\n%s", code, want, errs)
		}
	}
}
