package broker_test

import (
	"flag"
	"testing"
	"testing/synctest"
	"time"

	"gonum.org/v1/gonum/stat"

	"millethinge/control"
	"millethinge/internal/standin"
)

var (
	lossSeeds    = flag.Int("loss-seeds", 1, "seeds of TestSiteLoss")
	lossManagers = flag.Int("loss-managers", 6, "managers in TestSiteLoss, at two sites: with up to 10 there are 16 nodes, with more 60")
	lossLoad     = flag.Float64("loss-load", 0, "the only load of TestSiteLoss, as a share of what the links carry on the middle rung; 0: 0.75, and with more than one seed 0.45, 1.1 and 2 as well")
)

// siteLossSettings returns peakTestSettings with larger nodes, a cost of crossing sites, and
// nodes that start cold.
func siteLossSettings(managers, nodes int) control.Settings {
	const sizeFactor = 8
	set := peakTestSettings(managers, nodes)
	set.LinkKBPerWeight, set.FleetLinkKB, set.MaxStreamsByKind = sizeFactor*set.LinkKBPerWeight, sizeFactor*set.FleetLinkKB, []int{sizeFactor * 30}
	set.CrossZoneCost, set.WarmAfterS, set.StartCapacityShare, set.ColdSetupMultiple = 0.021, 3, 0.2, 3
	return set
}

// TestSiteLoss simulates the loss of one of two sites and its return with cold nodes, with
// and without the site plan and on the same seeds. The design note has its figures:
// go test ./internal/broker -run SiteLoss -v -loss-seeds 20 [-loss-managers 80]
func TestSiteLoss(t *testing.T) {
	if testing.Short() {
		t.Skip("short: simulates minutes of many brokers; is run without the race detector")
	}
	loads, nodes := []float64{0.75}, 16
	if *lossSeeds > 1 {
		loads = []float64{0.45, 0.75, 1.1, 2}
	}
	if *lossLoad > 0 {
		loads = []float64{*lossLoad}
	}
	if *lossManagers > 10 {
		nodes = 60
	}
	for _, managersLost := range []bool{false, true} {
		for _, load := range loads {
			var keptDuring, keptSettled, keptWithoutPlan, gainDuring, gainAfter []float64
			var totals [2]standin.SiteLossResult
			for seed := range uint64(*lossSeeds) {
				var results [2]standin.SiteLossResult
				for i := range results {
					synctest.Test(t, func(t *testing.T) {
						var err error
						run := standin.SiteLoss{Settings: siteLossSettings(*lossManagers, nodes), Managers: *lossManagers, Nodes: nodes,
							SitePlanning: i == 1, LoseManagers: managersLost, Utilization: load, Seed: seed + 1}
						if results[i], err = run.Run(); err != nil {
							t.Error(err)
						}
					})
					for k := range results[i].Requests {
						totals[i].Requests[k] += results[i].Requests[k]
						totals[i].Served[k] += results[i].Served[k]
					}
					totals[i].ExcessColdSetUps += results[i].ExcessColdSetUps
					totals[i].RecoveryTime += results[i].RecoveryTime / time.Duration(*lossSeeds)
				}
				keptDuring = append(keptDuring, results[1].During/min(results[1].Optimum, results[1].Before))
				keptSettled = append(keptSettled, results[1].DuringSettled/min(results[1].Optimum, results[1].Before))
				keptWithoutPlan = append(keptWithoutPlan, results[0].DuringSettled/min(results[0].Optimum, results[0].Before))
				gainDuring = append(gainDuring, results[1].During/results[0].During-1)
				gainAfter = append(gainAfter, results[1].After/results[0].After-1)
			}
			t.Logf("managers lost %v, load %.2f: kept %.3f of the optimum, %.3f from 10 s on (none %.3f); against none: during %s, after %s; served clip %.3f feed %.3f, none %.3f %.3f; falls %d, none %d; back after %.1f s, none %.1f s",
				managersLost, load, stat.Mean(keptDuring, nil), stat.Mean(keptSettled, nil), stat.Mean(keptWithoutPlan, nil), formatConfidence(gainDuring), formatConfidence(gainAfter), totals[1].Served[0]/totals[1].Requests[0], totals[1].Served[1]/totals[1].Requests[1],
				totals[0].Served[0]/totals[0].Requests[0], totals[0].Served[1]/totals[0].Requests[1], totals[1].ExcessColdSetUps, totals[0].ExcessColdSetUps, totals[1].RecoveryTime.Seconds(), totals[0].RecoveryTime.Seconds())
			if m := stat.Mean(keptSettled, nil); m < 0.85 {
				t.Errorf("%.3f of the optimum are kept from 10 s on, want at least 0.85", m)
			}
			if clip, feed := totals[1].Served[0]/totals[1].Requests[0], totals[1].Served[1]/totals[1].Requests[1]; clip < feed {
				t.Errorf("%.3f of feed are served and %.3f of clip: the plan must refuse feed first", feed, clip)
			}
			if totals[1].ExcessColdSetUps > *lossSeeds {
				t.Errorf("%d set-ups more than cold nodes can take", totals[1].ExcessColdSetUps)
			}
		}
	}
}
