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
	Managers     int      `json:"balancers"`
	Zone         int      `json:"zone"`
	Discovery    string   `json:"discovery"`
	Weights      string   `json:"weights"`
	Zones        []string `json:"localities"`
	MachineKinds []string `json:"flavors"`
	Classes      []struct {
		Name         string  `json:"name"`
		RepeatEffect string  `json:"effect"`
		StartGoalS   float64 `json:"goalTimeS"`
		DeadlineS    float64 `json:"giveUpS"`
		Worth        float64 `json:"worth"`
	} `json:"lanes"`
	Tenants []struct {
		Name      string  `json:"name"`
		QuotaPerS float64 `json:"quotaPerS"`
	} `json:"projects"`
	Media struct {
		FloorRungs        []int     `json:"classFloor"`
		TopRungs          []int     `json:"topByClass"`
		RateScales        []float64 `json:"scaleByClass"`
		MaxPerTitle       []int     `json:"licenceCap"`
		FleetLinkKB       float64   `json:"fleetKb"`
		Racks             int       `json:"groups"`
		FullAtUtilization float64   `json:"guard"`
		LinkKBPerWeight   float64   `json:"kbPerWeight"`
		MaxStreamsByKind  []int     `json:"kindStreams"`
		LadderWorth       []float64 `json:"ladderWorth"`
		Cells             int       `json:"places"`
		RackUplinkKB      float64   `json:"rackLinkKb"`
		RatesKB           []float64 `json:"ratesKb"`
		NoteDelayS        float64   `json:"seeS"`
		RungChangeCostS   float64   `json:"switchS"`
	} `json:"familyInfo"`
	LoadReports struct {
		Fields []string `json:"fields"`
		Via    string   `json:"via"`
	} `json:"feedback"`
	Limits struct {
		AttemptsCap      int     `json:"attemptsCap"`
		ProbesAllowed    bool    `json:"probes"`
		IdleConnTimeoutS float64 `json:"connIdleS"`
		ConnectTimeoutS  float64 `json:"connectTimeoutS"`
		StreamsPerConn   int     `json:"streamsPerConn"`
	} `json:"policyLimits"`
	Costs struct {
		CrossZoneCost float64 `json:"crossZone"`
		ProbeCost     float64 `json:"probe"`
		HandshakeCost float64 `json:"handshake"`
	} `json:"charges"`
	Obligations struct {
		ColdSetupMultiple  float64 `json:"fallMultiple"`
		StartCapacityShare float64 `json:"startCapacity"`
		WarmAfterS         float64 `json:"warmAfterS"`
		DrainGraceS        float64 `json:"drainGraceS"`
		BudgetFree         float64 `json:"extraFloor"`
		BudgetShare        float64 `json:"repeatRatio"`
		BudgetWindowS      float64 `json:"ratioSpanS"`
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
	media, obligations, costs := &p.Media, &p.Obligations, &p.Costs
	var faults []error
	reportIf := func(bad bool, key, format string, args ...any) {
		if bad {
			faults = append(faults, fmt.Errorf("%s %s", key, fmt.Sprintf(format, args...)))
		}
	}
	classCount := len(p.Classes)
	reportIf(classCount == 0, "lanes", "names no class")
	reportIf(len(media.RatesKB) == 0, "ratesKb", "has no rung")
	reportIf(len(media.LadderWorth) < len(media.RatesKB), "ladderWorth", "has %d entries for %d rungs", len(media.LadderWorth), len(media.RatesKB))
	for i, rate := range media.RatesKB {
		reportIf(rate <= 0 || i > 0 && rate <= media.RatesKB[i-1], fmt.Sprintf("ratesKb[%d]", i), "= %v does not rise", rate)
	}
	least := func(key string, value, least float64) {
		reportIf(value < least, key, "= %v; the least is %v", value, least)
	}
	for i, value := range media.LadderWorth {
		least(fmt.Sprintf("ladderWorth[%d]", i), value, 0)
	}
	for i, class := range p.Classes {
		key := func(name string) string { return fmt.Sprintf("lanes[%d].%s", i, name) }
		reportIf(class.StartGoalS <= 0, key("goalTimeS"), "= %v", class.StartGoalS)
		least(key("worth"), class.Worth, 0)
	}
	for i, value := range media.FloorRungs[:min(classCount, len(media.FloorRungs))] {
		reportIf(value < 0 || value >= max(len(media.RatesKB), 1), fmt.Sprintf("classFloor[%d]", i), "= %d is none of %d rungs", value, len(media.RatesKB))
	}
	for i, value := range media.RateScales[:min(classCount, len(media.RateScales))] {
		reportIf(value <= 0, fmt.Sprintf("scaleByClass[%d]", i), "= %v", value)
	}
	for i, value := range media.MaxPerTitle[:min(classCount, len(media.MaxPerTitle))] {
		least(fmt.Sprintf("licenceCap[%d]", i), float64(value), 0)
	}
	for _, figure := range []struct {
		key          string
		value, least float64
	}{
		{"balancers", float64(p.Managers), 1}, {"places", float64(media.Cells), 1}, {"attemptsCap", float64(p.Limits.AttemptsCap), 1},
		{"groups", float64(media.Racks), 0}, {"kbPerWeight", media.LinkKBPerWeight, 0}, {"fleetKb", media.FleetLinkKB, 0}, {"rackLinkKb", media.RackUplinkKB, 0},
		{"guard", media.FullAtUtilization, 0}, {"seeS", media.NoteDelayS, 0}, {"switchS", media.RungChangeCostS, 0},
		{"crossZone", costs.CrossZoneCost, 0}, {"probe", costs.ProbeCost, 0}, {"handshake", costs.HandshakeCost, 0},
		{"fallMultiple", obligations.ColdSetupMultiple, 0}, {"startCapacity", obligations.StartCapacityShare, 0}, {"warmAfterS", obligations.WarmAfterS, 0}, {"drainGraceS", obligations.DrainGraceS, 0},
		{"ratioSpanS", obligations.BudgetWindowS, 0}, {"extraFloor", obligations.BudgetFree, 0}, {"repeatRatio", obligations.BudgetShare, 0},
	} {
		least(figure.key, figure.value, figure.least)
	}
	return errors.Join(faults...)
}

func (p *params) settings() (control.Settings, error) {
	media, obligations := &p.Media, &p.Obligations
	for _, list := range []struct {
		name    string
		entries int
	}{
		{"classFloor", len(media.FloorRungs)}, {"topByClass", len(media.TopRungs)},
		{"scaleByClass", len(media.RateScales)}, {"licenceCap", len(media.MaxPerTitle)},
	} {
		if list.entries < len(p.Classes) {
			return control.Settings{}, fmt.Errorf("settings: %s has %d entries for %d classes",
				list.name, list.entries, len(p.Classes))
		}
	}
	s := control.Settings{
		Managers: p.Managers, Zone: p.Zone,
		RatesKB: media.RatesKB, LadderWorth: media.LadderWorth, MaxStreamsByKind: media.MaxStreamsByKind,
		Cells: media.Cells, Racks: media.Racks, FleetLinkKB: media.FleetLinkKB, LinkKBPerWeight: media.LinkKBPerWeight,
		RackUplinkKB: media.RackUplinkKB, FullAtUtilization: media.FullAtUtilization, NoteDelayS: media.NoteDelayS, RungChangeCostS: media.RungChangeCostS,
		LoadFields: p.LoadReports.Fields, SubscribeToList: p.Discovery == "subscribe", ProbesAllowed: p.Limits.ProbesAllowed,
		AttemptsCap: p.Limits.AttemptsCap, CrossZoneCost: p.Costs.CrossZoneCost,
		ProbeCost: p.Costs.ProbeCost, HandshakeCost: p.Costs.HandshakeCost,
		ColdSetupMultiple: obligations.ColdSetupMultiple, StartCapacityShare: obligations.StartCapacityShare, WarmAfterS: obligations.WarmAfterS,
		BudgetWindowS: obligations.BudgetWindowS, BudgetFree: obligations.BudgetFree, BudgetShare: obligations.BudgetShare,
	}
	switch p.Weights {
	case "nominal", "rough":
		s.Weights = control.WeightSize
	case "live":
		s.Weights = control.WeightSizePerLoad
	}
	switch p.LoadReports.Via {
	case "answers":
		s.LoadReporting = control.LoadReportsInAnswers
	case "probe":
		s.LoadReporting = control.LoadReportsInProbes
	}
	for i, raw := range p.Classes {
		class := control.Class{
			StartGoalS: raw.StartGoalS, Worth: raw.Worth,
			FloorRung: media.FloorRungs[i], TopRung: media.TopRungs[i], RateScale: media.RateScales[i], MaxPerTitle: media.MaxPerTitle[i],
		}
		switch raw.RepeatEffect {
		case "idempotent":
			class.RepeatEffect = control.Idempotent
		case "deduplicated":
			class.RepeatEffect = control.Deduplicated
		case "at_most_once":
			class.RepeatEffect = control.AtMostOnce
		default:
			return control.Settings{}, fmt.Errorf("settings: lanes[%d].effect %q", i, raw.RepeatEffect)
		}
		s.Classes = append(s.Classes, class)
	}
	for _, tenant := range p.Tenants {
		s.TenantQuotas = append(s.TenantQuotas, tenant.QuotaPerS)
	}
	return s, nil
}
