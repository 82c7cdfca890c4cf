package config

import (
	"encoding/json"
	"errors"
	"fmt"

	"millethinge/control"
)

// params mirrors the keys of the settings that the module uses; the decoder
// ignores all others.
type params struct {
	Balancers int      `json:"balancers"`
	Zone      int      `json:"zone"`
	Discovery string   `json:"discovery"`
	Weights   string   `json:"weights"`
	Zones     []string `json:"localities"`
	Kinds     []string `json:"flavors"`
	Lanes     []struct {
		Name     string  `json:"name"`
		Effect   string  `json:"effect"`
		GoalTime float64 `json:"goalTimeS"`
		GiveUp   float64 `json:"giveUpS"`
		Worth    float64 `json:"worth"`
	} `json:"lanes"`
	Projects []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quotaPerS"`
	} `json:"projects"`
	Family struct {
		ClassFloor  []int     `json:"classFloor"`
		TopByClass  []int     `json:"topByClass"`
		Scale       []float64 `json:"scaleByClass"`
		LicenceCap  []int     `json:"licenceCap"`
		FleetKB     float64   `json:"fleetKb"`
		Groups      int       `json:"groups"`
		Guard       float64   `json:"guard"`
		KBPerWeight float64   `json:"kbPerWeight"`
		KindStreams []int     `json:"kindStreams"`
		LadderWorth []float64 `json:"ladderWorth"`
		Places      int       `json:"places"`
		RackLinkKB  float64   `json:"rackLinkKb"`
		RatesKB     []float64 `json:"ratesKb"`
		SeeS        float64   `json:"seeS"`
		SwitchS     float64   `json:"switchS"`
	} `json:"familyInfo"`
	Feedback struct {
		Fields []string `json:"fields"`
		Via    string   `json:"via"`
	} `json:"feedback"`
	Limits struct {
		AttemptsCap int     `json:"attemptsCap"`
		Probes      bool    `json:"probes"`
		ConnIdleS   float64 `json:"connIdleS"`
		ConnectS    float64 `json:"connectTimeoutS"`
		PerConn     int     `json:"streamsPerConn"`
	} `json:"policyLimits"`
	Charges struct {
		CrossZone float64 `json:"crossZone"`
		Probe     float64 `json:"probe"`
		Handshake float64 `json:"handshake"`
	} `json:"charges"`
	Rules struct {
		FallMultiple float64 `json:"fallMultiple"`
		StartCap     float64 `json:"startCapacity"`
		WarmAfterS   float64 `json:"warmAfterS"`
		DrainGraceS  float64 `json:"drainGraceS"`
		ExtraFloor   float64 `json:"extraFloor"`
		RepeatRatio  float64 `json:"repeatRatio"`
		RatioSpanS   float64 `json:"ratioSpanS"`
	} `json:"obligations"`
}

// ParseSettings reads the settings that come with an instance's start.
func ParseSettings(text []byte) (control.Settings, error) {
	p, err := parseParams(text)
	if err != nil {
		return control.Settings{}, err
	}
	return p.settings()
}

func parseParams(text []byte) (params, error) {
	var p params
	if err := json.Unmarshal(text, &p); err != nil {
		return p, fmt.Errorf("settings: %w", err)
	}
	return p, nil
}

// check tells, by the platform's own keys, all else that the module can't act on. Guard:
// the module's own errors come only when the program starts, after `millethinge check` has
// found no fault, and name its fields.
func (p *params) check() error {
	f, r, c := &p.Family, &p.Rules, &p.Charges
	var faults []error
	wrong := func(bad bool, key, format string, args ...any) {
		if bad {
			faults = append(faults, fmt.Errorf("%s %s", key, fmt.Sprintf(format, args...)))
		}
	}
	n := len(p.Lanes)
	wrong(n == 0, "lanes", "names no class")
	wrong(len(f.RatesKB) == 0, "ratesKb", "has no rung")
	wrong(len(f.LadderWorth) < len(f.RatesKB), "ladderWorth", "has %d entries for %d rungs", len(f.LadderWorth), len(f.RatesKB))
	for i, rate := range f.RatesKB {
		wrong(rate <= 0 || i > 0 && rate <= f.RatesKB[i-1], fmt.Sprintf("ratesKb[%d]", i), "= %v does not rise", rate)
	}
	least := func(key string, v, least float64) { wrong(v < least, key, "= %v; the least is %v", v, least) }
	for i, v := range f.LadderWorth {
		least(fmt.Sprintf("ladderWorth[%d]", i), v, 0)
	}
	for i, l := range p.Lanes {
		key := func(name string) string { return fmt.Sprintf("lanes[%d].%s", i, name) }
		wrong(l.GoalTime <= 0, key("goalTimeS"), "= %v", l.GoalTime)
		least(key("worth"), l.Worth, 0)
	}
	for i, v := range f.ClassFloor[:min(n, len(f.ClassFloor))] {
		wrong(v < 0 || v >= max(len(f.RatesKB), 1), fmt.Sprintf("classFloor[%d]", i), "= %d is none of %d rungs", v, len(f.RatesKB))
	}
	for i, v := range f.Scale[:min(n, len(f.Scale))] {
		wrong(v <= 0, fmt.Sprintf("scaleByClass[%d]", i), "= %v", v)
	}
	for i, v := range f.LicenceCap[:min(n, len(f.LicenceCap))] {
		least(fmt.Sprintf("licenceCap[%d]", i), float64(v), 0)
	}
	for _, k := range []struct {
		key      string
		v, least float64
	}{
		{"balancers", float64(p.Balancers), 1}, {"places", float64(f.Places), 1}, {"attemptsCap", float64(p.Limits.AttemptsCap), 1},
		{"groups", float64(f.Groups), 0}, {"kbPerWeight", f.KBPerWeight, 0}, {"fleetKb", f.FleetKB, 0}, {"rackLinkKb", f.RackLinkKB, 0},
		{"guard", f.Guard, 0}, {"seeS", f.SeeS, 0}, {"switchS", f.SwitchS, 0},
		{"crossZone", c.CrossZone, 0}, {"probe", c.Probe, 0}, {"handshake", c.Handshake, 0},
		{"fallMultiple", r.FallMultiple, 0}, {"startCapacity", r.StartCap, 0}, {"warmAfterS", r.WarmAfterS, 0}, {"drainGraceS", r.DrainGraceS, 0},
		{"ratioSpanS", r.RatioSpanS, 0}, {"extraFloor", r.ExtraFloor, 0}, {"repeatRatio", r.RepeatRatio, 0},
	} {
		least(k.key, k.v, k.least)
	}
	return errors.Join(faults...)
}

func (p *params) settings() (control.Settings, error) {
	f, r := &p.Family, &p.Rules
	for _, table := range []struct {
		name string
		n    int
	}{
		{"classFloor", len(f.ClassFloor)}, {"topByClass", len(f.TopByClass)},
		{"scaleByClass", len(f.Scale)}, {"licenceCap", len(f.LicenceCap)},
	} {
		if table.n < len(p.Lanes) {
			return control.Settings{}, fmt.Errorf("settings: %s has %d entries for %d classes",
				table.name, table.n, len(p.Lanes))
		}
	}
	s := control.Settings{
		Managers: p.Balancers, Zone: p.Zone,
		RatesKB: f.RatesKB, LadderWorth: f.LadderWorth, MaxStreamsByKind: f.KindStreams,
		Cells: f.Places, Racks: f.Groups, FleetLinkKB: f.FleetKB, LinkKBPerWeight: f.KBPerWeight,
		RackUplinkKB: f.RackLinkKB, FullAtUtilization: f.Guard, NoteDelayS: f.SeeS, RungChangeCostS: f.SwitchS,
		LoadFields: p.Feedback.Fields, SubscribeToList: p.Discovery == "subscribe", ProbesAllowed: p.Limits.Probes,
		AttemptsCap: p.Limits.AttemptsCap, CrossZoneCost: p.Charges.CrossZone,
		ProbeCost: p.Charges.Probe, HandshakeCost: p.Charges.Handshake,
		ColdSetupMultiple: r.FallMultiple, StartCapacityShare: r.StartCap, WarmAfterS: r.WarmAfterS,
		BudgetWindowS: r.RatioSpanS, BudgetFree: r.ExtraFloor, BudgetShare: r.RepeatRatio,
	}
	switch p.Weights {
	case "nominal", "rough":
		s.Weights = control.WeightSize
	case "live":
		s.Weights = control.WeightSizePerLoad
	}
	switch p.Feedback.Via {
	case "answers":
		s.LoadReporting = control.LoadReportsInAnswers
	case "probe":
		s.LoadReporting = control.LoadReportsInProbes
	}
	for i, l := range p.Lanes {
		c := control.Class{
			StartGoalS: l.GoalTime, Worth: l.Worth,
			FloorRung: f.ClassFloor[i], TopRung: f.TopByClass[i], RateScale: f.Scale[i], MaxPerTitle: f.LicenceCap[i],
		}
		switch l.Effect {
		case "idempotent":
			c.RepeatEffect = control.Idempotent
		case "deduplicated":
			c.RepeatEffect = control.Deduplicated
		case "at_most_once":
			c.RepeatEffect = control.AtMostOnce
		default:
			return control.Settings{}, fmt.Errorf("settings: lanes[%d].effect %q", i, l.Effect)
		}
		s.Classes = append(s.Classes, c)
	}
	for _, t := range p.Projects {
		s.TenantQuotas = append(s.TenantQuotas, t.Quota)
	}
	return s, nil
}
