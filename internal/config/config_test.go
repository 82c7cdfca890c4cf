package config

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"millethinge/internal/broker"
	"millethinge/internal/peaks"
	"millethinge/internal/route"
)

func platformExample(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestExampleConfiguration(t *testing.T) {
	c, err := ParsePlatform([]byte(platformExample(t)))
	if err != nil || c.Name != "n0" || c.Seed != 0x8c1f30d27a5be964 || len(c.KnownNodes.Updates) != 1 || c.IdleConnTimeout != 15*time.Second || c.DrainGrace != time.Second ||
		c.ConnectTimeout != 250*time.Millisecond || strings.Join(c.ClassNames, " ") != "clip feed" {
		t.Errorf("%+v, %v", c, err)
	}
	// The drain ends before SIGKILL can come, 0.7 s after the longest deadline.
	if want := (broker.DrainTimes{AcceptFor: 700 * time.Millisecond, KeepFor: 3600 * time.Millisecond}); c.Drain != want || c.TimeLeftLimit != 12*time.Second {
		t.Errorf("drain %v, most left %v", c.Drain, c.TimeLeftLimit)
	}
	if viewers, nodes := c.MaxViewerConns(), c.MaxNodeConns(); viewers < c.Sockets/3 || nodes < 400 || viewers+nodes > c.Sockets-viewerConnsMargin {
		t.Errorf("%d viewers' and %d nodes' connections", viewers, nodes)
	}
}

func TestErrorsNameTheKey(t *testing.T) {
	for _, test := range [][3]string{
		{`"8c1f30d27a5be964"`, `"seed!"`, "seed"},
		{`"index": 1,`, `"index": "x",`, "known"},
		{`"sockets": 1024`, `"sockets": 12`, "limits.sockets"},
		{`"known"`, `"coordinator": "nowhere", "known"`, "coordinator"},
		{`"settings"`, `"sittings"`, "settings"},
		{`"name": "feed", `, ``, "lanes[1].name"},
		{`"at_most_once"`, `"odd"`, "lanes[0].effect"},
		{`"classFloor": [1, 0]`, `"classFloor": [1]`, "classFloor"},
	} {
		if _, err := ParsePlatform([]byte(strings.Replace(platformExample(t), test[0], test[1], 1))); err == nil || !strings.Contains(err.Error(), test[2]) {
			t.Errorf("%s: %v", test[2], err)
		}
	}
}

// What the module can't act on is a fault of the file, by the platform's own key, and all
// are told at once. Guard: some came only when the program started, one as a panic.
func TestSettingsErrorsNameTheKey(t *testing.T) {
	text := platformExample(t)
	for _, test := range [][3]string{
		{`"goalTimeS": 1.5, "giveUpS": 3, "worth": 2`, `"goalTimeS": 0, "worth": -2`, "lanes[0].goalTimeS = 0"},
		{`"name": "feed"`, `"name": "clip"`, `lanes[1].name: "clip" is used twice`},
		{`"name": "clip"`, `"name": "clip\r\nX: y"`, "lanes[0].name"}, {`"name": "clip"`, `"name": "clip "`, "lanes[0].name"},
		{`[0.26, 0.53, 0.77, 1]`, `[0.26, 0.53]`, "ladderWorth has 2 entries for 4 rungs"}, {`[0.26, 0.53,`, `[0.26, -1,`, "ladderWorth[1]"},
		{`[172, 364, 767, 1617]`, `[172, 364, 364, 1617]`, "ratesKb[2] = 364 does not rise"}, {`[172, 364, 767, 1617]`, `[]`, "ratesKb has no rung"},
		{`"classFloor": [1, 0]`, `"classFloor": [1, 4]`, "classFloor[1] = 4 is none of 4 rungs"}, {`"scaleByClass": [1, 1]`, `"scaleByClass": [0, 1]`, "scaleByClass[0]"},
		{`"licenceCap": [0, 0]`, `"licenceCap": [0, -1]`, "licenceCap[1]"}, {`"balancers": 1`, `"balancers": 0`, "balancers = 0; the least is 1"},
		{`"places": 2`, `"places": 0`, "places"}, {`"attemptsCap": 4`, `"attemptsCap": 0`, "attemptsCap"}, {`"switchS": 0.5`, `"switchS": -1`, "switchS"},
		{`"guard": 1.2`, `"guard": 1e999`, "guard"}, {`"balancers": 1`, `"balancers": "two"`, "balancers"},
	} {
		_, err := ParsePlatform([]byte(strings.Replace(text, test[0], test[1], 1)))
		if err == nil || !strings.Contains(err.Error(), test[2]) || !strings.Contains(text, test[0]) {
			t.Errorf("%s: %v", test[2], err)
		}
	}
	both := strings.NewReplacer(`"at_most_once"`, `"odd"`, `"places": 2`, `"places": -2`).Replace(text)
	if _, err := ParsePlatform([]byte(both)); err == nil || !strings.Contains(err.Error(), `lanes[0].effect "odd"`) || !strings.Contains(err.Error(), "places = -2") {
		t.Error(err)
	}
}

// Whatever the limits, viewers and nodes have connections, and the program some
// descriptors of its own.
func TestConnectionLimitsFitDescriptors(t *testing.T) {
	for sockets := minSockets; sockets < 3000; sockets++ {
		c := Config{Sockets: sockets}
		if viewers, nodes := c.MaxViewerConns(), c.MaxNodeConns(); viewers < sockets/3 || nodes < sockets/4 || sockets-viewers-nodes < max(2*min(sockets/8, viewerConnsMargin), ownDescriptors+c.MaxOperatorConns()) {
			t.Fatalf("of %d descriptors viewers have %d and nodes %d", sockets, viewers, nodes)
		}
		half := c.WithHalfSockets()
		viewers, nodes, operators := half.MaxViewerConns(), half.MaxNodeConns(), half.MaxOperatorConns()
		if viewers < 2 || nodes < 2 || operators < 2 || 2*(viewers+nodes+operators+ownDescriptors) > sockets {
			t.Fatalf("of %d descriptors each of two processes gives viewers %d, nodes %d and callers %d", sockets, viewers, nodes, operators)
		}
	}
}

// A time that stands for "never" is only very long.
func TestDurationsAreBounded(t *testing.T) {
	c, err := ParsePlatform([]byte(strings.NewReplacer(`"connIdleS": 15`, `"connIdleS": 1e12`, `"giveUpS": 3`, `"giveUpS": 1e12`, `"policyLimits"`, `"obligations": {"drainGraceS": 0.8}, "policyLimits"`).Replace(platformExample(t))))
	if err != nil || c.IdleConnTimeout*9 <= c.IdleConnTimeout || c.TimeLeftLimit <= c.IdleConnTimeout || c.DrainGrace != 800*time.Millisecond || c.Drain.KeepFor != 3600*time.Millisecond {
		t.Errorf("idle %v, left %v, drain %v, grace %v, %v", c.IdleConnTimeout, c.TimeLeftLimit, c.Drain, c.DrainGrace, err)
	}
}

var testDeployment = Deployment{Classes: []route.Class{{Name: "clip", BilledSetup: true, FloorRung: 1}, {Name: "feed"}}}

func operatorExample(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../../deploy/operator.example.conf")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestOperatorFile(t *testing.T) {
	text := operatorExample(t)
	o, err := ParseOperator("op", []byte(text), nil, testDeployment)
	if err != nil || o.WebSocket.Grace != 3*time.Second || len(o.Teams) != 2 || o.Teams[0].Classes[0] || !o.Teams[0].Classes[1] ||
		o.Teams[1].MaxBilledSetUps != 4000 || o.Teams[1].BudgetPeriod != time.Hour || o.DNSSD.Service == "" || o.Viewers.MaxOpenSetups != 512 || !o.Viewers.IncludeReasons || len(o.Routes.RuleNames()) != 2 {
		t.Errorf("%+v, %v", o, err)
	}
	for _, test := range [][3]string{
		{`127.0.0.1:5080`, `x`, `websocket.listen: "x" is no address`},
		{`grace  3s`, `grace -1s`, `websocket.grace: "-1s" is not from 1ms`},
		{`grace  3s`, `grace 3`, `websocket.grace: "3" is no duration`},
		{`/sessions`, `sessions`, `websocket.path: "sessions" does not begin with /`},
		{`listen 127.0.0.1:5080`, ``, `websocket: listen is missing`},
		{`team clips`, `team attendants`, `team: "attendants" is used twice`},
		{`classes  feed`, `classes  fed`, `team.attendants.classes: "fed" is not a class of this deployment; did you mean "feed"?`},
		{`rate     2`, `rate -2`, `team.clips.rate: "-2" is not from 0`},
		{`standing 200`, `standing -1`, `team.attendants.standing: "-1" is not from 0`},
		{`standing 200`, `standing`, `team.attendants.standing: wants a number`},
		{`standing 200`, `standing 200 300`, `team.attendants.standing: too many arguments`},
		{`standing 200`, `standing 200 {` + "\n}", `team.attendants.standing: takes no block`},
		{`rate     5`, `standing 5`, `team.attendants.standing: stands twice; it was first on line 18 of op`},
		{`4000`, `4e3`, `team.clips.billed-setups: "4e3" is no whole number`},
		{`127.0.0.1:5353`, `x:y`, `dns-sd.server`},
		{`service _rtsp._tcp.media.example`, `service ""`, `dns-sd.service: the name is empty`},
		{`dns-sd`, `dns_sd`, `unknown keyword "dns_sd"; did you mean "dns-sd"?`},
		{`reasons on`, `reasons yes`, `viewers.reasons: "yes" is not on or off`},
		{`open-per-connection 512`, `open-per-connection 0`, `viewers.open-per-connection: "0" is not from 1`},
	} {
		if !strings.Contains(text, test[0]) {
			t.Errorf("the example has no %q", test[0])
		}
		if _, err := ParseOperator("op", []byte(strings.Replace(text, test[0], test[1], 1)), nil, testDeployment); err == nil || !strings.Contains(err.Error(), test[2]) {
			t.Errorf("%s: %v", test[2], err)
		}
	}
}

// The rules block tells its faults where they are in the file, included files'
// too, and warns of what may surprise.
func TestRulesBlock(t *testing.T) {
	deployment := testDeployment
	text := "rules {\n    include more\n    zone America/Mexico_City\n    route a when class == feed and \\\n        copies > tw set team = x\n    otherwise set team = x\n}\nteam x {\n}\n"
	readFile := func(path string) ([]byte, error) {
		return []byte("define two 2\ntable owner title -> team default none {\n    zz x\n    1 y\n    2\n}\nset vip tittle {\n    1\n}\nroute b\nroute a when true\n"), nil
	}
	_, err := ParseOperator("op", []byte(text), readFile, deployment)
	for _, want := range []string{
		"op:5:18: rules.route: unknown name \"tw\"; did you mean \"two\"?\n            copies > tw set team = x\n                     ^",
		`more:3:5: rules.table.owner.zz: "zz" is no title`, `more:4:7: rules.table.owner.1: "y" is no team of this deployment`, "more:5:6: rules.table.owner.2: wants a value",
		`more:7:9: rules.set: "tittle" is no kind`, "more:10:8: rules.route: wants when CONDITION set TARGET = VALUE", `op:4:11: rules.route: "a" is used twice`,
	} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("no %q in\n%v", want, err)
		}
	}
	valid := "team x {\n}\nrules {\n budget 300\n define who if team == none then x else team\n route a when retry set team = who\n route b when retry and copies > 1 set team = none\n}\n"
	o, err := ParseOperator("op", []byte(valid), nil, deployment)
	if err != nil || len(o.Routes.RuleNames()) != 2 || len(o.Warnings) != 1 || !strings.Contains(o.Warnings[0], "op:7:10: rules.route: never reached: rule a takes all its requests") {
		t.Errorf("%v, %q", err, o.Warnings)
	}
	if _, err := ParseOperator("op", []byte(strings.Replace(valid, "300", "5", 1)), nil, deployment); err == nil || !strings.Contains(err.Error(), "its budget is 5") {
		t.Error(err)
	}
	// While the program runs, a team that the file has got waits for the next start.
	deployment.Running, deployment.Teams = true, []string{"y"}
	if _, err := ParseOperator("op", []byte(valid), nil, deployment); err == nil || !strings.Contains(err.Error(), `unknown name "x"`) {
		t.Error(err)
	}
}

// A peak's block tells its faults, and one that the fleet has no room for.
func TestPeakBlock(t *testing.T) {
	deployment := testDeployment
	deployment.FleetSlots, deployment.PeakClasses = 100, []peaks.Class{
		{SlotsByRung: []float64{0.3, 0.7, 1.4}, Worth: []float64{0.5, 1, 2}, Floor: 1, Top: 2}, {SlotsByRung: []float64{0.3, 0.7, 1.4}, Worth: []float64{0.2, 0.5, 1}, Top: 2}}
	valid := "ordinary {\n clip 0.5 40s\n feed 1 40s\n}\npeak q {\n days 15 last\n at 18:00\n zone America/Mexico_City\n length 3h\n factor 2\n}\n"
	o, err := ParseOperator("op", []byte(valid), nil, deployment)
	if err != nil || len(o.Peaks) != 1 || o.Peaks[0].At != 18*time.Hour || o.Peaks[0].Days.OfMonth[1] != 0 || o.Peaks[0].Lead != defaultPeakLead || !o.Peaks[0].Classes[1] || o.OrdinaryLoad[1].MeanLength != 40*time.Second {
		t.Errorf("%+v, %v", o, err)
	}
	for _, test := range [][3]string{
		{"15 last", "15 32", `op:6:10: peak.q.days: "32" is neither`}, {"15 last", "05", "neither a day"}, {"days 15 last", "days", "wants days of the month"}, {"days 15 last", "", "peak: wants one of days, dates, weekly and daily"},
		{"days 15 last", "daily\n weekly fri", "wants one of"}, {"days 15 last", "dates 2026-02-30", "is no date"}, {"days 15 last", "dates", "wants a date"}, {"days 15 last", "weekly fri someday", "is no day of the week"}, {"days 15 last", "weekly", "wants a day of the week"},
		{"18:00", "25:00", "is no time of day"}, {"at 18:00", "", "at is missing"}, {"America/Mexico_City", "Nowhere", "peak.q.zone"}, {"3h", "0s", "not from 1s"}, {"factor 2", "", "wants factor or more"}, {"factor 2", "factor 2\n more 3", "and not both"},
		{"factor 2", "factor 0.5", "not from 1"}, {"factor 2", "factor 2\n sure 2", "not from 0 to 1"}, {"factor 2", "factor 2\n lead 5h", "peak.q.lead"}, {"feed 1 40s", "fed 1 40s", "ordinary.fed: \"fed\" is not a class"}, {"feed 1 40s", "feed 1", "wants their mean length"},
		{"factor 2", "factor 20", "peak: can't be met: on the lowest rungs it needs "}, {"factor 2", "more 100", "too few"},
	} {
		if _, err := ParseOperator("op", []byte(strings.Replace(valid, test[0], test[1], 1)), nil, deployment); err == nil || !strings.Contains(err.Error(), test[2]) {
			t.Errorf("%s: %v", test[2], err)
		}
	}
}

// A file of the older form comes over whole, also with odd names.
func TestConvert(t *testing.T) {
	jsonForm := `{"websocket": {"listen": "127.0.0.1:5080", "path": "/s", "grace_ms": 1500},
		"teams": [{"name": "a \"b\" #1", "contract": {"classes": ["feed"], "sessions_per_s": 0.5, "standing": 2}, "budget": {"period_s": 90, "billed_setups": 3, "further_attempts": 4}},
			{"name": "{", "contract": {}, "budget": {}}],
		"dns_sd": {"server": "127.0.0.1:53", "service": "_x._tcp"}}`
	text, err := Convert([]byte(jsonForm))
	if err != nil {
		t.Fatal(err)
	}
	o, err := ParseOperator("op", text, nil, testDeployment)
	want := broker.Team{Name: `a "b" #1`, Classes: []bool{false, true}, SessionsPerS: 0.5, MaxSessions: 2, MaxBilledSetUps: 3, MaxFurtherAttempts: 4, BudgetPeriod: 90 * time.Second}
	if err != nil || len(o.Teams) != 2 || !reflect.DeepEqual(o.Teams[0], want) || o.Teams[1].Name != "{" ||
		*o.WebSocket != (WebSocket{"127.0.0.1:5080", "/s", 1500 * time.Millisecond}) || *o.DNSSD != (DNSSD{"127.0.0.1:53", "_x._tcp"}) {
		t.Errorf("%+v, %v\n%s", o, err, text)
	}
	for _, invalid := range []string{"", "{", "{} {}", `{"team": []}`} {
		if _, err := Convert([]byte(invalid)); err == nil {
			t.Errorf("no error for %q", invalid)
		}
	}
}

func TestLoad(t *testing.T) {
	dir := t.TempDir()
	env := map[string]string{"BALANCER_CONFIG": filepath.Join(dir, "config.json")}
	load := func() (Config, error) { return Load(func(k string) string { return env[k] }) }
	if _, err := load(); err == nil || !strings.Contains(err.Error(), "BALANCER_CONFIG") {
		t.Error(err)
	}
	if err := os.WriteFile(env["BALANCER_CONFIG"], []byte(platformExample(t)), 0o600); err != nil {
		t.Fatal(err)
	}
	env["BALANCER_NAME"], env["BALANCER_LISTEN"] = "n7", "127.0.0.1:1"
	if c, err := load(); err != nil || c.Name != "n7" || c.Listen != "127.0.0.1:1" || c.Operator.WebSocket != nil {
		t.Errorf("%+v, %v", c, err)
	}
	env["BALANCER_ADMIN"], env["TMPDIR"] = "127.0.0.1:2", dir
	if c, err := load(); err != nil || c.AdminListen != "127.0.0.1:2" || c.SharedDir != dir {
		t.Errorf("%q, %q, %v", c.AdminListen, c.SharedDir, err)
	}
	env["BALANCER_ADMIN"] = "nowhere"
	if _, err := load(); err == nil || !strings.Contains(err.Error(), "admin (or BALANCER_ADMIN)") {
		t.Error(err)
	}
	delete(env, "BALANCER_ADMIN")
	env["MILLETHINGE_OPERATOR"] = filepath.Join(dir, "none.conf")
	if _, err := load(); err == nil || !strings.Contains(err.Error(), "MILLETHINGE_OPERATOR") {
		t.Error(err)
	}
}
