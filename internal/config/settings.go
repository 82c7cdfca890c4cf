package config

import (
	"encoding/json"
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
		MaxRetryS   float64 `json:"maxRetryAfterS"`
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
		Fronts: p.Balancers, Zone: p.Zone,
		RatesKB: f.RatesKB, LadderWorth: f.LadderWorth, KindStreams: f.KindStreams,
		Cells: f.Places, Racks: f.Groups, FleetKB: f.FleetKB, LinkKB: f.KBPerWeight,
		RackKB: f.RackLinkKB, Guard: f.Guard, SeeS: f.SeeS, SwitchS: f.SwitchS,
		Fields: p.Feedback.Fields, Subscribe: p.Discovery == "subscribe", Probes: p.Limits.Probes,
		AttemptsCap: p.Limits.AttemptsCap, CrossZoneCost: p.Charges.CrossZone,
		ProbeCost: p.Charges.Probe, HandshakeCost: p.Charges.Handshake,
		FallMultiple: r.FallMultiple, StartCapacity: r.StartCap, WarmAfterS: r.WarmAfterS,
		BudgetWindowS: r.RatioSpanS, BudgetFree: r.ExtraFloor, BudgetShare: r.RepeatRatio,
	}
	switch p.Weights {
	case "nominal", "rough":
		s.Weights = control.WeighSize
	case "live":
		s.Weights = control.WeighLive
	}
	switch p.Feedback.Via {
	case "answers":
		s.Feed = control.FeedAnswers
	case "probe":
		s.Feed = control.FeedProbe
	}
	for i, l := range p.Lanes {
		c := control.Class{
			GoalS: l.GoalTime, Worth: l.Worth,
			Floor: f.ClassFloor[i], Top: f.TopByClass[i], Scale: f.Scale[i], Seats: f.LicenceCap[i],
		}
		switch l.Effect {
		case "idempotent":
			c.Effect = control.Idempotent
		case "deduplicated":
			c.Effect = control.Deduplicated
		case "at_most_once":
			c.Effect = control.AtMostOnce
		default:
			return control.Settings{}, fmt.Errorf("settings: lanes[%d].effect %q", i, l.Effect)
		}
		s.Classes = append(s.Classes, c)
	}
	for _, t := range p.Projects {
		s.Quotas = append(s.Quotas, t.Quota)
	}
	return s, nil
}
