package server

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"millethinge/internal/config"
	"millethinge/internal/standin"
)

// deployment holds the settings of a customer that differ from the first customer's. Each of
// changes replaces the key at a path, or removes it if the value is nil.
type deployment struct {
	classes  []string
	changes  map[string]any
	operator string
}

// deployments holds the deployments of TestDeployments by name.
var deployments = map[string]deployment{
	"one class":               {classes: []string{"only"}},
	"four classes":            {classes: []string{"a", "b", "c", "d"}, changes: map[string]any{"settings.familyInfo.topByClass": []int{3, 1, 2, 0}}},
	"twelve classes":          {classes: strings.Split("abcdefghijkl", "")},
	"unusual class names":     {classes: []string{"none", "4k hd", `a"b`, "vidéo"}, operator: "team none {\n classes none \"4k hd\"\n}\nordinary {\n vidéo 0.1 30s\n}\nrules {\n route a when class == class(\"none\") set team = team(\"none\"), key = text(class)\n}"},
	"short times":             {classes: []string{"a", "b"}, changes: map[string]any{"goal": 0.15, "giveUp": 0.3}},
	"required settings only":  {classes: []string{"a", "b"}, changes: map[string]any{"settings.feedback": nil, "settings.charges": nil, "settings.obligations": nil, "settings.policyLimits": map[string]any{"attemptsCap": 1}, "settings.localities": nil, "settings.flavors": nil, "settings.weights": "none", "settings.zone": nil, "limits": nil}},
	"load reports in answers": {classes: []string{"a", "b"}, changes: map[string]any{"settings.feedback": map[string]any{"via": "answers", "fields": []string{"concurrent", "x0"}}, "settings.discovery": "subscribe", "settings.weights": "live"}},
	"many tenants":            {classes: []string{"a", "b"}, changes: map[string]any{"settings.projects": slices.Repeat([]any{map[string]any{"name": "t", "quotaPerS": 0.1}}, 500)}},
	"300 managers":            {classes: []string{"a", "b"}, changes: map[string]any{"settings.balancers": 300}},
	"cold node":               {classes: []string{"a", "b"}, changes: map[string]any{"settings.obligations": map[string]any{"fallMultiple": 2, "startCapacity": 0.1, "warmAfterS": 1}, "since": true}},
	"tiny limits":             {classes: []string{"a", "b"}, changes: map[string]any{"limits": map[string]any{"cores": 0.05, "memory_mb": 1, "sockets": 64}, "settings.policyLimits.streamsPerConn": 1, "settings.familyInfo.licenceCap": []int{1, 1}}},
	"100 sockets":             {classes: []string{"a", "b"}, changes: map[string]any{"limits": map[string]any{"sockets": 100}}},
	"huge limits":             {classes: []string{"a", "b"}, changes: map[string]any{"limits": map[string]any{"cores": 1e6, "memory_mb": 1 << 24, "sockets": 1 << 24}, "goal": 1e10, "giveUp": 1e10, "settings.policyLimits.connIdleS": 1e12, "settings.policyLimits.connectTimeoutS": 1e12}},
	"one rung":                {classes: []string{"a", "b"}, changes: map[string]any{"settings.familyInfo.ratesKb": []int{500}, "settings.familyInfo.ladderWorth": []int{1}, "settings.familyInfo.groups": 0, "settings.familyInfo.rackLinkKb": nil, "settings.familyInfo.kindStreams": []int{}}},
}

// deploymentJSON returns the platform's configuration for a deployment with one node.
func deploymentJSON(t *testing.T, d deployment, node string) []byte {
	t.Helper()
	changes := maps.Clone(d.changes)
	goal, giveUp, since := 1.5, 3.0, int64(0)
	if value, ok := changes["goal"]; ok {
		goal, giveUp = value.(float64), changes["giveUp"].(float64)
	}
	if changes["since"] != nil {
		since = time.Now().UnixMilli()
	}
	var lanes []any
	zeros, tops, ones := make([]int, len(d.classes)), make([]int, len(d.classes)), make([]int, len(d.classes))
	for i, name := range d.classes {
		lanes = append(lanes, map[string]any{"name": name, "effect": []string{"at_most_once", "idempotent", "deduplicated"}[i%3], "goalTimeS": goal, "giveUpS": giveUp, "worth": 1 + i})
		tops[i], ones[i] = 3, 1
	}
	root := map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known": map[string]any{"index": 1, "updates": []any{map[string]any{"index": 1, "endpoints": map[string]any{"complete": true, "members": []any{
			map[string]any{"id": "s-0", "host_port": node, "locality": "z", "flavor": "k", "phase": "in_service", "size": 2, "up_since_ms": since}}}}}},
		"settings": map[string]any{
			"balancers": 2, "zone": 0, "localities": []string{"z"}, "flavors": []string{"k"}, "lanes": lanes, "weights": "rough", "discovery": "automatic",
			"familyInfo": map[string]any{"classFloor": zeros, "topByClass": tops, "scaleByClass": ones, "licenceCap": zeros, "ratesKb": []int{172, 364, 767, 1617},
				"ladderWorth": []float64{0.26, 0.53, 0.77, 1}, "kindStreams": []int{6000}, "places": 1, "groups": 1, "kbPerWeight": 1e6, "rackLinkKb": 2e6, "fleetKb": 2e6, "guard": 1.2, "seeS": 1, "switchS": 0.5},
			"feedback":    map[string]any{"fields": []string{"load_share", "x1"}, "via": "probe"},
			"obligations": map[string]any{"fallMultiple": 3, "startCapacity": 0.2, "warmAfterS": 8},
			"charges":     map[string]any{"probe": 0.01}, "policyLimits": map[string]any{"attemptsCap": 4, "probes": true},
		},
	}
	for path, value := range changes {
		keys, object := strings.Split(path, "."), root
		for _, key := range keys[:len(keys)-1] {
			object = object[key].(map[string]any)
		}
		if object[keys[len(keys)-1]] = value; value == nil {
			delete(object, keys[len(keys)-1])
		}
	}
	text, err := json.Marshal(root)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// TestDeployments starts managers with settings that differ from the first customer's in
// number and names of classes, times, load reports, tenants and limits. Each must serve a
// set-up of each class, which is sent again after a refusal, as viewers do.
func TestDeployments(t *testing.T) {
	for name, d := range deployments {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			node, listener := &standin.Node{Counts: standin.NewCounts(), Decide: func(string, int) standin.Response { return standin.Response{Status: 200} }}, loopback(t)
			go node.Serve(listener)
			cfg, err := config.ParsePlatform(deploymentJSON(t, d, listener.Addr().String()))
			if err == nil && d.operator != "" {
				cfg.Operator, err = config.ParseOperator("op", []byte(d.operator), nil, cfg.Deployment())
			}
			if err != nil {
				t.Fatal(err)
			}
			mgr := startManagerWith(t, "127.0.0.1:1", "", 1, "", func(c *config.Config) { *c = cfg })
			conn := connect(t, mgr, false)
			left := min(cfg.TimeLeftLimit, testTimeout).Milliseconds()
			if giveUp, ok := d.changes["giveUp"]; ok {
				left = min(left, int64(giveUp.(float64)*1000))
			}
			tenant := ""
			if len(cfg.TenantNames) > 0 {
				tenant = `"tenant":"t",`
			}
			deadline, n := time.Now().Add(testTimeout), 0
			for _, class := range d.classes {
				for served := false; !served; {
					n++
					if err := conn.send(fmt.Sprintf(`{"type":"setup","id":"%016x","fields":{"class":%q,%s"left":"%d","key":"%x","extras":"home:0;copies:1;top:0"},"sdp":"d"}`, n, class, tenant, left, n)); err != nil {
						t.Fatal(err)
					}
					b, err := conn.receive()
					answer, parseErr := parseReply(b)
					if err != nil || parseErr != nil || time.Now().After(deadline) {
						t.Fatalf("%s: %q, %v, %v", class, b, err, parseErr)
					}
					if served = answer.Type == "answer"; !served {
						time.Sleep(10 * time.Millisecond)
					}
				}
			}
			node.Counts.WithLock(func(b *standin.Counts) {
				for _, class := range d.classes {
					if b.EstablishedByClass[class] == 0 {
						t.Errorf("no session of class %s: %v", class, b.EstablishedByClass)
					}
				}
			})
		})
	}
}
