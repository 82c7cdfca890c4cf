package broker_test

import (
	"context"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"millethinge/control"
	"millethinge/internal/broker"
	"millethinge/internal/peaks"
	"millethinge/internal/standin"
)

var (
	peakSeeds    = flag.Int("day-seeds", 2, "seeds of TestAnnouncedPeak")
	peakManagers = flag.Int("day-managers", 3, "managers in TestAnnouncedPeak: with up to 10 there are 16 nodes, with more 60")
	peakFactor   = flag.Float64("day-factor", 2, "arrival rate in the peak of TestAnnouncedPeak as a multiple of the ordinary rate")
)

// Times in a scenario of TestAnnouncedPeak. The ordinary demand fills the links to 45% at
// the rate of the middle rung; from peakStart on there is more.
const (
	warmUp      = 3 * time.Minute // nothing is counted before this time
	peakStart   = 5 * time.Minute
	peakLength  = 4 * time.Minute
	scenarioEnd = peakStart + peakLength + time.Minute
)

// scenario is one case of TestAnnouncedPeak.
type scenario struct {
	announced    bool
	peakComes    bool
	fixedReserve float64 // share of the slots held all the time; 0: none
	seed         uint64
}

// result holds the figures of one scenario.
type result struct {
	inTimeBefore, inTimeDuring  float64 // share of the requested worth that was answered in time, before and in the peak
	earned                      float64 // worth by rung and delivery, over the whole scenario
	rejections, requestedDuring float64
}

func peakTestSettings(managers, nodes int) control.Settings {
	rates := []float64{200, 420, 640, 1900}
	return control.Settings{
		Classes: []control.Class{
			{RepeatEffect: control.AtMostOnce, StartGoalS: 1.5, Worth: 2, FloorRung: 1, TopRung: 3, RateScale: 1},
			{RepeatEffect: control.Idempotent, StartGoalS: 1.5, Worth: 1, TopRung: 3, RateScale: 1},
		},
		RatesKB: rates, LadderWorth: []float64{0.24, 0.55, 0.77, 1}, MaxStreamsByKind: []int{30},
		Managers: managers, Cells: nodes, Racks: 1, FleetLinkKB: 7000 * float64(nodes), LinkKBPerWeight: 7000, RackUplinkKB: 1e9, FullAtUtilization: 1.2, NoteDelayS: 1, RungChangeCostS: 0.6,
		LoadReporting: control.LoadReportsInProbes, LoadFields: []string{"load_share", "x1"}, ProbesAllowed: true, AttemptsCap: 4,
	}
}

// runScenario simulates one scenario in virtual time.
func runScenario(t *testing.T, sc scenario, managers, nodes int, factor float64) (out result) {
	synctest.Test(t, func(t *testing.T) {
		set := peakTestSettings(managers, nodes)
		src := rand.NewPCG(sc.seed, 5)
		rng := rand.New(src)
		links := make([]float64, nodes)
		for i := range links {
			links[i] = 7000 * (0.85 + 0.3*rng.Float64()) // actual links differ from the settings by up to 15%
		}
		lengths := []distuv.Uniform{{Min: 26, Max: 65, Src: src}, {Min: 20, Max: 50, Src: src}}
		fleet := standin.NewFleet(&standin.Fleet{
			Settings: set, LinksKB: links, OneWayDelay: 2 * time.Millisecond, RateSpread: 0.15,
			SessionLength: func(id control.SessionID, class int) time.Duration {
				u := lengths[class]
				fraction := float64(uint64(id)*0x9e3779b97f4a7c15>>11) / (1 << 53) // a hash of the ID: the same in each scenario
				return time.Duration((u.Min + fraction*(u.Max-u.Min)) * float64(time.Second))
			},
		}, sc.seed)
		defer fleet.Close()
		slots := 0.9 * set.FleetLinkKB / 640
		sessions := 0.45 * set.FleetLinkKB / 640
		rate := sessions / (0.35*45.5 + 0.65*35)
		start := time.Now()
		var peakConfig broker.PeakConfig
		if sc.announced {
			p := peaks.Peak{Name: "quincena", Zone: time.UTC, Days: peaks.Days{Daily: true}, At: peakStart, Length: peakLength, Lead: 90 * time.Second,
				Early: 2 * time.Minute, Classes: []bool{true, true}, Factor: factor, Probability: 0.9, MaxHarm: 0.05}
			peakConfig.Calendar.Peaks = []peaks.Peak{p}
			peakConfig.MeanLengthsS = []float64{45, 35}
		}
		for k, c := range set.Classes {
			classPlan := peaks.Class{Floor: c.FloorRung, Top: c.TopRung, Rate: rate * []float64{0.35, 0.65}[k]}
			for r, kb := range set.RatesKB {
				classPlan.SlotsByRung, classPlan.Worth = append(classPlan.SlotsByRung, kb/640), append(classPlan.Worth, c.Worth*set.LadderWorth[r])
			}
			peakConfig.Classes = append(peakConfig.Classes, classPlan)
		}
		var entries []control.Entry
		for i := range nodes {
			entries = append(entries, control.Entry{Server: control.ServerID(i + 1), State: control.Ready, Cell: i, Weight: 1})
		}
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		var brokers []*broker.Broker
		for i := range managers {
			m := &standin.ManagerNodes{Fleet: fleet}
			b, err := broker.New(broker.Config{Settings: set, Seed: sc.seed*1000 + uint64(i), MemoryMB: 192, Peaks: peakConfig, Nodes: m, Log: zap.NewNop()})
			if err != nil {
				t.Fatal(err)
			}
			m.Broker = b
			if sc.fixedReserve > 0 {
				b.HoldAlways([]float64{0.35 * sc.fixedReserve, 0.65 * sc.fixedReserve})
			}
			b.UpdateList(broker.ListUpdate{Entries: entries})
			brokers = append(brokers, b)
			running.Go(func() { b.Run(ctx) })
		}
		running.Go(func() {
			for ctx.Err() == nil {
				time.Sleep(time.Second)
				fleet.AnnounceShortfalls()
			}
		})
		var totals phaseTotals
		weights := make([]float64, managers) // viewers are spread unevenly over the managers
		for i := range weights {
			weights[i] = 0.5 + rng.Float64()
		}
		pick := distuv.NewCategorical(weights, src)
		for id := control.SessionID(1); ; id++ {
			now := time.Since(start)
			if now >= scenarioEnd {
				break
			}
			r := rate
			if sc.peakComes && now >= peakStart && now < peakStart+peakLength {
				r *= factor
			}
			time.Sleep(time.Duration(rng.ExpFloat64() / r * float64(time.Second)))
			class := 0
			if rng.Float64() >= 0.35 {
				class = 1
			}
			v := &retryingViewer{phaseTotals: &totals, manager: brokers[int(pick.Rand())], firstRequest: time.Now(), worth: set.Classes[class].Worth, class: class, title: uint64(rng.IntN(50)) + 1, nodes: nodes}
			v.phase = phaseAt(time.Since(start))
			totals.addRequested(v)
			v.submit(id << 8)
		}
		time.Sleep(5 * time.Second)
		cancel()
		running.Wait()
		_ = slots
		totals.mu.Lock()
		defer totals.mu.Unlock()
		out.inTimeBefore, out.inTimeDuring = totals.answeredInTime[1]/totals.requested[1], totals.answeredInTime[2]/totals.requested[2]
		out.requestedDuring, out.earned, out.rejections = totals.requested[2], fleet.EarnedWorth, float64(fleet.RefusedFull)
	})
	return out
}

// phaseAt returns 1 for the two minutes before the peak, 2 for the peak, and 0 otherwise.
func phaseAt(t time.Duration) int {
	switch {
	case t >= peakStart && t < peakStart+peakLength:
		return 2
	case t >= warmUp && t < peakStart:
		return 1
	}
	return 0
}

// phaseTotals sums the worth that was requested and answered in time, by phase.
type phaseTotals struct {
	mu                        sync.Mutex
	requested, answeredInTime [3]float64
}

func (c *phaseTotals) addRequested(v *retryingViewer) {
	c.mu.Lock()
	c.requested[v.phase] += v.worth
	c.mu.Unlock()
}

// retryingViewer sends a request, and repeats it up to three times after refusals as long as
// less than 3 s have passed.
type retryingViewer struct {
	*phaseTotals
	manager      *broker.Broker
	firstRequest time.Time
	worth        float64
	class        int
	title        uint64
	nodes        int
	phase        int
	id           control.SessionID
	retries      int
	wasServed    bool
}

func (v *retryingViewer) submit(id control.SessionID) {
	v.id = id
	v.manager.Submit(broker.Request{ID: id, Class: v.class, Team: -1, Title: v.title, Copies: v.nodes, MaxRung: 3,
		TimeLeft: 3*time.Second - time.Since(v.firstRequest), ReceivedAt: time.Now(), Client: v})
}

func (v *retryingViewer) Gone(control.SessionID) bool { return false }

func (v *retryingViewer) Deliver(r broker.Reply) bool {
	switch {
	case r.Kind == broker.ReplyServed && !v.wasServed:
		v.wasServed = true
		if time.Since(v.firstRequest) <= 1500*time.Millisecond {
			v.mu.Lock()
			v.answeredInTime[v.phase] += v.worth
			v.mu.Unlock()
		}
	case r.Kind == broker.ReplyRefused && v.retries < 3:
		wait := max(r.RetryAfter, 300*time.Millisecond)
		if v.retries++; time.Since(v.firstRequest)+wait < 3*time.Second {
			time.AfterFunc(wait, func() { v.submit(v.id + 1) })
		}
	}
	return true
}

// TestAnnouncedPeak simulates a peak that is announced, one that is not, one with a fixed
// reserve instead, and the same without the peak coming, in virtual time with real brokers.
// The design note has its figures:
// go test ./internal/broker -run AnnouncedPeak -v -day-seeds 20 [-day-managers 80]
func TestAnnouncedPeak(t *testing.T) {
	if testing.Short() {
		t.Skip("short: simulates minutes of many brokers; is run without the race detector")
	}
	nodes := 16
	if *peakManagers > 10 {
		nodes = 60
	}
	arms := []struct {
		name string
		scenario
	}{
		{"none", scenario{peakComes: true}}, {"announced", scenario{announced: true, peakComes: true}}, {"fixed 10%", scenario{peakComes: true, fixedReserve: 0.1}},
		{"no show, none", scenario{}}, {"no show, announced", scenario{announced: true}}, {"no show, fixed 10%", scenario{fixedReserve: 0.1}},
	}
	results := make(map[string][]result)
	for seed := range uint64(*peakSeeds) {
		for _, a := range arms {
			a.seed = seed + 1
			results[a.name] = append(results[a.name], runScenario(t, a.scenario, *peakManagers, nodes, *peakFactor))
		}
	}
	sortedValues := func(name string, of func(result) float64) (list []float64) {
		for _, r := range results[name] {
			list = append(list, of(r))
		}
		slices.Sort(list)
		return list
	}
	for _, a := range arms {
		beforeShares, duringShares, earnedWorth := sortedValues(a.name, func(r result) float64 { return r.inTimeBefore }), sortedValues(a.name, func(r result) float64 { return r.inTimeDuring }), sortedValues(a.name, func(r result) float64 { return r.earned })
		t.Logf("%-20s in time before %s, during %s; earned %.0f", a.name, formatRange(beforeShares), formatRange(duringShares), stat.Mean(earnedWorth, nil))
	}
	for _, pair := range [][2]string{{"announced", "none"}, {"fixed 10%", "none"}, {"no show, announced", "no show, none"}, {"no show, fixed 10%", "no show, none"}} {
		var during, before, earned []float64
		for i := range results[pair[0]] {
			a, b := results[pair[0]][i], results[pair[1]][i]
			during, before, earned = append(during, a.inTimeDuring-b.inTimeDuring), append(before, a.inTimeBefore-b.inTimeBefore), append(earned, a.earned/b.earned-1)
		}
		t.Logf("%s against %s: in time during %s, before %s; earned %s", pair[0], pair[1], formatConfidence(during), formatConfidence(before), formatConfidence(earned))
	}
	for _, name := range []string{"announced", "no show, announced"} {
		d := sortedValues(name, func(r result) float64 { return r.inTimeDuring })
		if median, worst := d[len(d)/2], d[0]; median < 0.97 || worst < 0.95 {
			t.Errorf("%s: share answered in time: median %.4f, worst %.4f, want at least 0.97 and 0.95", name, median, worst)
		}
	}
}

// formatRange formats the median and the range of sorted values.
func formatRange(sorted []float64) string {
	return fmt.Sprintf("%.4f (%.4f to %.4f)", sorted[len(sorted)/2], sorted[0], sorted[len(sorted)-1])
}

// formatConfidence formats the mean of paired differences with its 95% confidence interval.
func formatConfidence(d []float64) string {
	mean, dev := stat.MeanStdDev(d, nil)
	if len(d) < 2 {
		return fmt.Sprintf("%+.4f", mean)
	}
	half := distuv.StudentsT{Sigma: 1, Nu: float64(len(d) - 1)}.Quantile(0.975) * dev / math.Sqrt(float64(len(d)))
	return fmt.Sprintf("%+.4f±%.4f", mean, half)
}
