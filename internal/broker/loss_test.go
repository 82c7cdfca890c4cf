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
	lossManagers = flag.Int("loss-managers", 6, "its managers, of two sites: 6 on 16 nodes, more on 60")
	lossLoads    = flag.Float64("loss-load", 0, "only this load; 0: 0.75, and with more than one seed 0.45, 1.1 and 2 as well")
)

// lossSettings are daySettings with larger nodes and what a site costs.
func lossSettings(managers, nodes int) control.Settings {
	const big = 8
	set := daySettings(managers, nodes)
	set.LinkKBPerWeight, set.FleetLinkKB, set.MaxStreamsByKind = big*set.LinkKBPerWeight, big*set.FleetLinkKB, []int{big * 30}
	set.CrossZoneCost, set.WarmAfterS, set.StartCapacityShare, set.ColdSetupMultiple = 0.021, 3, 0.2, 3
	return set
}

// TestSiteLoss plays the loss of one of two sites and its cold return with the plan and
// without, on the same seeds. Its figures are for the design note:
// go test ./internal/broker -run SiteLoss -v -loss-seeds 20 [-loss-managers 80]
func TestSiteLoss(t *testing.T) {
	if testing.Short() {
		t.Skip("short: minutes of many brokers, and run without the race detector")
	}
	loads, nodes := []float64{0.75}, 16
	if *lossSeeds > 1 {
		loads = []float64{0.45, 0.75, 1.1, 2}
	}
	if *lossLoads > 0 {
		loads = []float64{*lossLoads}
	}
	if *lossManagers > 10 {
		nodes = 60
	}
	for _, gone := range []bool{false, true} {
		for _, load := range loads {
			var kept, late, bare, gain, after []float64
			var sum [2]standin.SiteLossResult
			for seed := range uint64(*lossSeeds) {
				var r [2]standin.SiteLossResult
				for i := range r {
					synctest.Test(t, func(t *testing.T) {
						var err error
						arm := standin.SiteLoss{Settings: lossSettings(*lossManagers, nodes), Managers: *lossManagers, Nodes: nodes,
							Plan: i == 1, Gone: gone, Load: load, Seed: seed + 1}
						if r[i], err = arm.Play(); err != nil {
							t.Error(err)
						}
					})
					for k := range r[i].Asked {
						sum[i].Asked[k] += r[i].Asked[k]
						sum[i].Served[k] += r[i].Served[k]
					}
					sum[i].Falls += r[i].Falls
					sum[i].Back += r[i].Back / time.Duration(*lossSeeds)
				}
				kept = append(kept, r[1].During/min(r[1].Best, r[1].Before))
				late = append(late, r[1].Settled/min(r[1].Best, r[1].Before))
				bare = append(bare, r[0].Settled/min(r[0].Best, r[0].Before))
				gain = append(gain, r[1].During/r[0].During-1)
				after = append(after, r[1].After/r[0].After-1)
			}
			t.Logf("managers lost %v, load %.2f: kept %.3f of the optimum, %.3f from 10 s on (none %.3f); against none: during %s, after %s; served clip %.3f feed %.3f, none %.3f %.3f; falls %d, none %d; back after %.1f s, none %.1f s",
				gone, load, stat.Mean(kept, nil), stat.Mean(late, nil), stat.Mean(bare, nil), interval(gain), interval(after), sum[1].Served[0]/sum[1].Asked[0], sum[1].Served[1]/sum[1].Asked[1],
				sum[0].Served[0]/sum[0].Asked[0], sum[0].Served[1]/sum[0].Asked[1], sum[1].Falls, sum[0].Falls, sum[1].Back.Seconds(), sum[0].Back.Seconds())
			if m := stat.Mean(late, nil); m < 0.85 {
				t.Errorf("%.3f of the optimum are kept, 0.85 is wanted", m)
			}
			if clip, feed := sum[1].Served[0]/sum[1].Asked[0], sum[1].Served[1]/sum[1].Asked[1]; clip < feed {
				t.Errorf("%.3f of feed are served and %.3f of clip: the plan refuses feed first", feed, clip)
			}
			if sum[1].Falls > *lossSeeds {
				t.Errorf("%d set-ups more than cold nodes bear", sum[1].Falls)
			}
		}
	}
}
