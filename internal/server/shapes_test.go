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

// shape is another customer's settings. Those of change replace or, where they are nil,
// remove keys, named by their path.
type shape struct {
	classes  []string
	change   map[string]any
	operator string
}

var shapes = map[string]shape{
	"one class":     {classes: []string{"only"}},
	"four classes":  {classes: []string{"a", "b", "c", "d"}, change: map[string]any{"settings.familyInfo.topByClass": []int{3, 1, 2, 0}}},
	"twelve":        {classes: strings.Split("abcdefghijkl", "")},
	"odd names":     {classes: []string{"none", "4k hd", `a"b`, "vidéo"}, operator: "team none {\n classes none \"4k hd\"\n}\nordinary {\n vidéo 0.1 30s\n}\nrules {\n route a when class == class(\"none\") set team = team(\"none\"), key = text(class)\n}"},
	"short times":   {classes: []string{"a", "b"}, change: map[string]any{"goal": 0.15, "giveUp": 0.3}},
	"nothing known": {classes: []string{"a", "b"}, change: map[string]any{"settings.feedback": nil, "settings.charges": nil, "settings.obligations": nil, "settings.policyLimits": map[string]any{"attemptsCap": 1}, "settings.localities": nil, "settings.flavors": nil, "settings.weights": "none", "settings.zone": nil, "limits": nil}},
	"answers":       {classes: []string{"a", "b"}, change: map[string]any{"settings.feedback": map[string]any{"via": "answers", "fields": []string{"concurrent", "x0"}}, "settings.discovery": "subscribe", "settings.weights": "live"}},
	"many tenants":  {classes: []string{"a", "b"}, change: map[string]any{"settings.projects": slices.Repeat([]any{map[string]any{"name": "t", "quotaPerS": 0.1}}, 500)}},
	"many fronts":   {classes: []string{"a", "b"}, change: map[string]any{"settings.balancers": 300}},
	"cold":          {classes: []string{"a", "b"}, change: map[string]any{"settings.obligations": map[string]any{"fallMultiple": 2, "startCapacity": 0.1, "warmAfterS": 1}, "since": true}},
	"tiny":          {classes: []string{"a", "b"}, change: map[string]any{"limits": map[string]any{"cores": 0.05, "memory_mb": 1, "sockets": 64}, "settings.policyLimits.streamsPerConn": 1, "settings.familyInfo.licenceCap": []int{1, 1}}},
	"fewer":         {classes: []string{"a", "b"}, change: map[string]any{"limits": map[string]any{"sockets": 100}}},
	"huge":          {classes: []string{"a", "b"}, change: map[string]any{"limits": map[string]any{"cores": 1e6, "memory_mb": 1 << 24, "sockets": 1 << 24}, "goal": 1e10, "giveUp": 1e10, "settings.policyLimits.connIdleS": 1e12, "settings.policyLimits.connectTimeoutS": 1e12}},
	"one rung":      {classes: []string{"a", "b"}, change: map[string]any{"settings.familyInfo.ratesKb": []int{500}, "settings.familyInfo.ladderWorth": []int{1}, "settings.familyInfo.groups": 0, "settings.familyInfo.rackLinkKb": nil, "settings.familyInfo.kindStreams": []int{}}},
}

// platformOf is what the platform would write for a customer with one node.
func platformOf(t *testing.T, s shape, node string) []byte {
	t.Helper()
	change := maps.Clone(s.change)
	goal, giveUp, since := 1.5, 3.0, int64(0)
	if v, ok := change["goal"]; ok {
		goal, giveUp = v.(float64), change["giveUp"].(float64)
	}
	if change["since"] != nil {
		since = time.Now().UnixMilli()
	}
	var lanes []any
	zeros, tops, ones := make([]int, len(s.classes)), make([]int, len(s.classes)), make([]int, len(s.classes))
	for i, name := range s.classes {
		lanes = append(lanes, map[string]any{"name": name, "effect": []string{"at_most_once", "idempotent", "deduplicated"}[i%3], "goalTimeS": goal, "giveUpS": giveUp, "worth": 1 + i})
		tops[i], ones[i] = 3, 1
	}
	all := map[string]any{
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
	for path, v := range change {
		keys, at := strings.Split(path, "."), all
		for _, k := range keys[:len(keys)-1] {
			at = at[k].(map[string]any)
		}
		if at[keys[len(keys)-1]] = v; v == nil {
			delete(at, keys[len(keys)-1])
		}
	}
	text, err := json.Marshal(all)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// TestShapes starts a manager with the settings of customers that differ from the first
// in number and names of classes, times, reports, tenants and limits, and has it serve a
// set-up of each class. A refusal is tried again, as a viewer would.
func TestShapes(t *testing.T) {
	for name, s := range shapes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			node, l := &standin.Node{Bill: standin.NewBill(), Decide: func(string, int) standin.Verdict { return standin.Verdict{Status: 200} }}, loopback(t)
			go node.Serve(l)
			cfg, err := config.Parse(platformOf(t, s, l.Addr().String()))
			if err == nil && s.operator != "" {
				cfg.Operator, err = config.ParseOperator("op", []byte(s.operator), nil, cfg.Deployment())
			}
			if err != nil {
				t.Fatal(err)
			}
			p := startWith(t, "127.0.0.1:1", "", 1, "", func(c *config.Config) { *c = cfg })
			v := speak(t, p, false)
			left := min(cfg.MostLeft, patience).Milliseconds()
			if short, ok := s.change["giveUp"]; ok {
				left = min(left, int64(short.(float64)*1000))
			}
			tenant := ""
			if len(cfg.Tenants) > 0 {
				tenant = `"tenant":"t",`
			}
			until, n := time.Now().Add(patience), 0
			for _, class := range s.classes {
				for served := false; !served; {
					n++
					if err := v.say(fmt.Sprintf(`{"type":"setup","id":"%016x","fields":{"class":%q,%s"left":"%d","key":"%x","extras":"home:0;copies:1;top:0"},"sdp":"d"}`, n, class, tenant, left, n)); err != nil {
						t.Fatal(err)
					}
					b, err := v.hear()
					r, bad := parseReply(b)
					if err != nil || bad != nil || time.Now().After(until) {
						t.Fatalf("%s: %q, %v, %v", class, b, err, bad)
					}
					if served = r.Type == "answer"; !served {
						time.Sleep(10 * time.Millisecond)
					}
				}
			}
			node.Bill.Read(func(b *standin.Bill) {
				for _, class := range s.classes {
					if b.Class[class] == 0 {
						t.Errorf("no session of %s: %v", class, b.Class)
					}
				}
			})
		})
	}
}
