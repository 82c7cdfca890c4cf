package control

import (
	"fmt"
	"math"
)

// unboundedKB, in kB a second, stands for an uplink of unknown rate.
const unboundedKB = 1e15

// ExpectedLinkKB is the rate, in kB a second, that the link of a warm server should
// have, as one of so many listed servers.
func (s *Settings) ExpectedLinkKB(e Entry, servers int) float64 {
	kb := e.Weight * s.LinkKBPerWeight
	if s.Weights == WeightSizePerLoad || !positive(kb) {
		kb = s.FleetLinkKB / float64(max(servers, 1))
	}
	return kb
}

// validate returns an error that names the first setting out of range, and fills in
// settings that may be absent. Its errors are texts that commands print, which stay
// stable. They name some fields by older names, 13 in all, such as Fronts for Managers
// and Seats for MaxPerTitle.
func validate(s *Settings) error {
	if len(s.Classes) == 0 {
		return fmt.Errorf("settings: no Classes")
	}
	if len(s.RatesKB) == 0 || len(s.LadderWorth) < len(s.RatesKB) {
		return fmt.Errorf("settings: RatesKB has %d rungs, LadderWorth %d", len(s.RatesKB), len(s.LadderWorth))
	}
	for i, rate := range s.RatesKB {
		if !positive(rate) || i > 0 && rate <= s.RatesKB[i-1] {
			return fmt.Errorf("settings: RatesKB[%d] = %v does not rise", i, rate)
		}
	}
	for i, worth := range s.LadderWorth {
		if !notNegative(worth) {
			return fmt.Errorf("settings: LadderWorth[%d] = %v", i, worth)
		}
	}
	for i, class := range s.Classes {
		for _, figure := range []struct {
			name string
			v    float64
		}{{"Scale", class.RateScale}, {"GoalS", class.StartGoalS}} {
			if !positive(figure.v) {
				return fmt.Errorf("settings: Classes[%d].%s = %v", i, figure.name, figure.v)
			}
		}
		if !notNegative(class.Worth) || class.MaxPerTitle < 0 {
			return fmt.Errorf("settings: Classes[%d].Worth or Seats", i)
		}
		if class.FloorRung < 0 || class.FloorRung >= len(s.RatesKB) {
			return fmt.Errorf("settings: Classes[%d].Floor = %d", i, class.FloorRung)
		}
	}
	if s.Managers < 1 || s.Cells < 1 || s.AttemptsCap < 1 || s.Racks < 0 {
		return fmt.Errorf("settings: Fronts, Cells, AttemptsCap or Racks out of range")
	}
	for _, figure := range []struct {
		name string
		v    float64
	}{
		{"LinkKB", s.LinkKBPerWeight}, {"FleetKB", s.FleetLinkKB}, {"RackKB", s.RackUplinkKB}, {"Guard", s.FullAtUtilization},
		{"SeeS", s.NoteDelayS}, {"SwitchS", s.RungChangeCostS},
		{"CrossZoneCost", s.CrossZoneCost}, {"ProbeCost", s.ProbeCost}, {"HandshakeCost", s.HandshakeCost},
		{"FallMultiple", s.ColdSetupMultiple}, {"StartCapacity", s.StartCapacityShare},
		{"WarmAfterS", s.WarmAfterS}, {"BudgetWindowS", s.BudgetWindowS}, {"BudgetFree", s.BudgetFree},
		{"BudgetShare", s.BudgetShare},
	} {
		if !notNegative(figure.v) {
			return fmt.Errorf("settings: %s = %v", figure.name, figure.v)
		}
	}
	if s.RackUplinkKB == 0 {
		s.RackUplinkKB = unboundedKB
	}
	return nil
}

func positive(v float64) bool    { return v > 0 && !math.IsInf(v, 0) }
func notNegative(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }
