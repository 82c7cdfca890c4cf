package config

import (
	"strings"
	"testing"

	"millethinge/control"
)

const sampleSettings = `{"balancers": 2, "me": 1, "zone": 0, "localities": ["a"], "unknown": {"x": [1]},
	"lanes": [{"name": "k", "effect": "deduplicated", "group": "cell", "windowS": 5, "goalTimeS": 1, "giveUpS": 3, "worth": 2}],
	"projects": [{"name": "p", "quotaPerS": 1.5, "share": 1}], "discovery": "subscribe", "weights": "live",
	"familyInfo": {"classFloor": [1], "topByClass": [2], "scaleByClass": [1.2], "licenceCap": [3], "ratesKb": [1, 2, 3],
		"ladderWorth": [0.1, 0.5, 1], "places": 4, "groups": 2, "kbPerWeight": 10, "kindStreams": [5]},
	"feedback": {"fields": ["x0"], "via": "probe"}, "policyLimits": {"attemptsCap": 3, "retryAfter": true, "maxRetryAfterS": 2},
	"charges": {"probe": 0.08, "handshake": 0.07},
	"obligations": {"extraFloor": 4, "repeatRatio": 0.1, "ratioSpanS": 10}}`

func TestParseSettings(t *testing.T) {
	s, err := ParseSettings([]byte(sampleSettings))
	if err != nil {
		t.Fatal(err)
	}
	class := s.Classes[0]
	if class.RepeatEffect != control.Deduplicated || class.FloorRung != 1 || class.MaxPerTitle != 3 ||
		s.Managers != 2 || !s.SubscribeToList || s.Weights != control.WeightSizePerLoad || s.LoadReporting != control.LoadReportsInProbes ||
		s.ProbeCost != 0.08 || s.HandshakeCost != 0.07 || s.BudgetFree != 4 || s.BudgetWindowS != 10 {
		t.Errorf("settings %+v", s)
	}
	for _, invalid := range []string{"", "{", `{"balancers": "x"}`, strings.Replace(sampleSettings, "deduplicated", "odd", 1),
		strings.Replace(sampleSettings, `"classFloor": [1]`, `"classFloor": []`, 1)} {
		if _, err := ParseSettings([]byte(invalid)); err == nil {
			t.Errorf("no error for %.30q", invalid)
		}
	}
}
