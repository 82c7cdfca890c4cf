package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"millethinge/internal/broker"
)

func example(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestExampleConfiguration(t *testing.T) {
	c, err := Parse([]byte(example(t)))
	if err != nil || c.Name != "n0" || c.Seed != 0x8c1f30d27a5be964 || len(c.Known.Updates) != 1 || c.ConnIdle != 15*time.Second ||
		c.ConnectTimeout != 250*time.Millisecond || strings.Join(c.Classes, " ") != "clip feed" {
		t.Errorf("%+v, %v", c, err)
	}
	// The drain ends before SIGKILL can come, 0.7 s after the longest deadline.
	if want := (broker.Drain{Take: 700 * time.Millisecond, Stay: 3600 * time.Millisecond}); c.Drain != want || c.MostLeft != 12*time.Second {
		t.Errorf("drain %v, most left %v", c.Drain, c.MostLeft)
	}
	if v, n := c.ViewerConns(), c.NodeConns(); v < c.Sockets/3 || n < 400 || v+n > c.Sockets-descriptorsForSelf {
		t.Errorf("%d viewers' and %d nodes' connections", v, n)
	}
}

func TestErrorsNameTheKey(t *testing.T) {
	for _, e := range [][3]string{
		{`"8c1f30d27a5be964"`, `"seed!"`, "seed"},
		{`"index": 1,`, `"index": "x",`, "known"},
		{`"sockets": 1024`, `"sockets": 12`, "limits.sockets"},
		{`"known"`, `"coordinator": "nowhere", "known"`, "coordinator"},
		{`"settings"`, `"sittings"`, "settings"},
		{`"name": "feed", `, ``, "lanes[1].name"},
		{`"at_most_once"`, `"odd"`, "lanes[0].effect"},
		{`"classFloor": [1, 0]`, `"classFloor": [1]`, "classFloor"},
	} {
		if _, err := Parse([]byte(strings.Replace(example(t), e[0], e[1], 1))); err == nil || !strings.Contains(err.Error(), e[2]) {
			t.Errorf("%s: %v", e[2], err)
		}
	}
}

func TestOperatorFile(t *testing.T) {
	text, err := os.ReadFile("../../deploy/operator.example.json")
	if err != nil {
		t.Fatal(err)
	}
	classes := []string{"clip", "feed"}
	o, err := ParseOperator(text, classes)
	if err != nil || o.WebSocket.Grace != 3*time.Second || len(o.Teams) != 2 || o.Teams[0].Classes[0] || !o.Teams[0].Classes[1] ||
		o.Teams[1].SetUps != 4000 || o.Teams[1].Period != time.Hour || o.DNSSD.Service == "" {
		t.Errorf("%+v, %v", o, err)
	}
	for _, e := range [][3]string{
		{`127.0.0.1:5080`, `x`, "websocket.listen"},
		{`3000`, `-1`, "websocket.grace_ms"},
		{`"clips"`, `"attendants"`, "teams[1].name"},
		{`["feed"]`, `["x"]`, "teams[0].contract.classes"},
		{`"sessions_per_s": 2`, `"sessions_per_s": -2`, "teams[1].contract.sessions_per_s"},
		{`"standing": 200`, `"standing": -1`, "teams[0].contract.standing"},
		{`"period_s": 3600`, `"period_s": -1`, "teams[0].budget.period_s"},
		{`4000`, `-1`, "teams[1].budget.billed_setups"},
		{`500}`, `-1}`, "teams[0].budget.further_attempts"},
		{`127.0.0.1:5353`, `x`, "dns_sd.server"},
		{`_rtsp._tcp.media.example`, ``, "dns_sd.service"},
		{`"dns_sd"`, `"dns"`, `"dns"`},
	} {
		if _, err := ParseOperator([]byte(strings.Replace(string(text), e[0], e[1], 1)), classes); err == nil || !strings.Contains(err.Error(), e[2]) {
			t.Errorf("%s: %v", e[2], err)
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
	if err := os.WriteFile(env["BALANCER_CONFIG"], []byte(example(t)), 0o600); err != nil {
		t.Fatal(err)
	}
	env["BALANCER_NAME"], env["BALANCER_LISTEN"] = "n7", "127.0.0.1:1"
	if c, err := load(); err != nil || c.Name != "n7" || c.Listen != "127.0.0.1:1" || c.Operator.WebSocket != nil {
		t.Errorf("%+v, %v", c, err)
	}
	env["MILLETHINGE_OPERATOR"] = filepath.Join(dir, "none.json")
	if _, err := load(); err == nil || !strings.Contains(err.Error(), "MILLETHINGE_OPERATOR") {
		t.Error(err)
	}
}
