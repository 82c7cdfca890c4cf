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
	daySeeds    = flag.Int("day-seeds", 2, "seeds of TestAnnouncedPeak")
	dayManagers = flag.Int("day-managers", 3, "its managers: 3 on 16 nodes; 80 on 60")
	dayFactor   = flag.Float64("day-factor", 2, "what the peak brings, of the ordinary")
)

// The evening of TestAnnouncedPeak: links fill to 45% at the middle rate, and from
// begin on to more.
const (
	settle  = 3 * time.Minute // before anything is counted
	begin   = 5 * time.Minute
	peakFor = 4 * time.Minute
	dayEnds = begin + peakFor + time.Minute
)

// evening is one arm of a day.
type evening struct {
	announced bool
	show      bool    // the peak comes
	fixed     float64 // a plain reserve
	seed      uint64
}

// result is what became of it: worth asked for and answered in time, and earned.
type result struct {
	before, during    float64 // answered in time, of what was asked for
	earned            float64 // by rung and delivery, over all the evening
	full, askedDuring float64
}

func daySettings(managers, nodes int) control.Settings {
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

// play runs one evening in virtual time.
func play(t *testing.T, e evening, managers, nodes int, factor float64) (out result) {
	synctest.Test(t, func(t *testing.T) {
		set := daySettings(managers, nodes)
		src := rand.NewPCG(e.seed, 5)
		rng := rand.New(src)
		links := make([]float64, nodes)
		for i := range links {
			links[i] = 7000 * (0.85 + 0.3*rng.Float64()) // links differ from what the list says
		}
		lasts := []distuv.Uniform{{Min: 26, Max: 65, Src: src}, {Min: 20, Max: 50, Src: src}}
		fleet := standin.NewFleet(&standin.Fleet{
			Settings: set, LinksKB: links, Way: 2 * time.Millisecond, Spread: 0.15,
			Length: func(id control.SessionID, class int) time.Duration {
				u := lasts[class]
				part := float64(uint64(id)*0x9e3779b97f4a7c15>>11) / (1 << 53) // by its name: the same in each arm
				return time.Duration((u.Min + part*(u.Max-u.Min)) * float64(time.Second))
			},
		}, e.seed)
		defer fleet.Close()
		slots := 0.9 * set.FleetLinkKB / 640
		sessions := 0.45 * set.FleetLinkKB / 640
		rate := sessions / (0.35*45.5 + 0.65*35)
		start := time.Now()
		var plan broker.Peaks
		if e.announced {
			p := peaks.Peak{Name: "quincena", Zone: time.UTC, Days: peaks.Days{Daily: true}, At: begin, Length: peakFor, Lead: 90 * time.Second,
				Early: 2 * time.Minute, Classes: []bool{true, true}, Factor: factor, Sure: 0.9, Harm: 0.05}
			plan.Calendar.Peaks = []peaks.Peak{p}
			plan.Lasts = []float64{45, 35}
		}
		for k, c := range set.Classes {
			one := peaks.Class{Floor: c.FloorRung, Top: c.TopRung, Rate: rate * []float64{0.35, 0.65}[k]}
			for r, kb := range set.RatesKB {
				one.Sizes, one.Worth = append(one.Sizes, kb/640), append(one.Worth, c.Worth*set.LadderWorth[r])
			}
			plan.Classes = append(plan.Classes, one)
		}
		var entries []control.Entry
		for i := range nodes {
			entries = append(entries, control.Entry{Server: control.ServerID(i + 1), State: control.Ready, Cell: i, Weight: 1})
		}
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		var brokers []*broker.Broker
		for i := range managers {
			m := &standin.Manager{Fleet: fleet}
			b, err := broker.New(broker.Config{Settings: set, Seed: e.seed*1000 + uint64(i), MemoryMB: 192, Peaks: plan, Nodes: m, Log: zap.NewNop()})
			if err != nil {
				t.Fatal(err)
			}
			m.Broker = b
			if e.fixed > 0 {
				b.HoldAlways([]float64{0.35 * e.fixed, 0.65 * e.fixed})
			}
			b.List(broker.List{Entries: entries})
			brokers = append(brokers, b)
			running.Go(func() { b.Run(ctx) })
		}
		running.Go(func() {
			for ctx.Err() == nil {
				time.Sleep(time.Second)
				fleet.Notes()
			}
		})
		var count tally
		weights := make([]float64, managers) // viewers are spread unevenly over the managers
		for i := range weights {
			weights[i] = 0.5 + rng.Float64()
		}
		pick := distuv.NewCategorical(weights, src)
		for id := control.SessionID(1); ; id++ {
			now := time.Since(start)
			if now >= dayEnds {
				break
			}
			r := rate
			if e.show && now >= begin && now < begin+peakFor {
				r *= factor
			}
			time.Sleep(time.Duration(rng.ExpFloat64() / r * float64(time.Second)))
			class := 0
			if rng.Float64() >= 0.35 {
				class = 1
			}
			v := &viewer{tally: &count, at: brokers[int(pick.Rand())], first: time.Now(), worth: set.Classes[class].Worth, class: class, title: uint64(rng.IntN(50)) + 1, nodes: nodes}
			v.when = phase(time.Since(start))
			count.ask(v)
			v.submit(id << 8)
		}
		time.Sleep(5 * time.Second)
		cancel()
		running.Wait()
		_ = slots
		count.mu.Lock()
		defer count.mu.Unlock()
		out.before, out.during = count.answered[1]/count.asked[1], count.answered[2]/count.asked[2]
		out.askedDuring, out.earned, out.full = count.asked[2], fleet.Earned, float64(fleet.Full)
	})
	return out
}

// phase is 1 in the two minutes before the peak, and 2 in it.
func phase(t time.Duration) int {
	switch {
	case t >= begin && t < begin+peakFor:
		return 2
	case t >= settle && t < begin:
		return 1
	}
	return 0
}

// tally is the worth asked for and answered in time, by phase.
type tally struct {
	mu              sync.Mutex
	asked, answered [3]float64
}

func (c *tally) ask(v *viewer) {
	c.mu.Lock()
	c.asked[v.when] += v.worth
	c.mu.Unlock()
}

// viewer asks once, and again after a refusal for as long as it waits at all.
type viewer struct {
	*tally
	at     *broker.Broker
	first  time.Time
	worth  float64
	class  int
	title  uint64
	nodes  int
	when   int
	id     control.SessionID
	tries  int
	served bool
}

func (v *viewer) submit(id control.SessionID) {
	v.id = id
	v.at.Submit(broker.Request{ID: id, Class: v.class, Team: -1, Title: v.title, Span: v.nodes, MaxRung: 3,
		Left: 3*time.Second - time.Since(v.first), Came: time.Now(), Client: v})
}

func (v *viewer) Gone(control.SessionID) bool { return false }

func (v *viewer) Deliver(r broker.Reply) bool {
	switch {
	case r.Kind == broker.Served && !v.served:
		v.served = true
		if time.Since(v.first) <= 1500*time.Millisecond {
			v.mu.Lock()
			v.answered[v.when] += v.worth
			v.mu.Unlock()
		}
	case r.Kind == broker.Refused && v.tries < 3:
		wait := max(r.Wait, 300*time.Millisecond)
		if v.tries++; time.Since(v.first)+wait < 3*time.Second {
			time.AfterFunc(wait, func() { v.submit(v.id + 1) })
		}
	}
	return true
}

// TestAnnouncedPeak plays evenings with a peak that is announced, that is not, and
// with a plain reserve, and no-shows, in virtual time with real brokers. Its figures
// are for the design note: go test ./internal/broker -run AnnouncedPeak -v
// -day-seeds 20 [-day-managers 80]
func TestAnnouncedPeak(t *testing.T) {
	if testing.Short() {
		t.Skip("short: minutes of many brokers, and run without the race detector")
	}
	nodes := 16
	if *dayManagers > 10 {
		nodes = 60
	}
	arms := []struct {
		name string
		evening
	}{
		{"none", evening{show: true}}, {"announced", evening{announced: true, show: true}}, {"fixed 10%", evening{show: true, fixed: 0.1}},
		{"no show, none", evening{}}, {"no show, announced", evening{announced: true}}, {"no show, fixed 10%", evening{fixed: 0.1}},
	}
	got := make(map[string][]result)
	for seed := range uint64(*daySeeds) {
		for _, a := range arms {
			a.seed = seed + 1
			got[a.name] = append(got[a.name], play(t, a.evening, *dayManagers, nodes, *dayFactor))
		}
	}
	figure := func(name string, of func(result) float64) (list []float64) {
		for _, r := range got[name] {
			list = append(list, of(r))
		}
		slices.Sort(list)
		return list
	}
	for _, a := range arms {
		b, d, e := figure(a.name, func(r result) float64 { return r.before }), figure(a.name, func(r result) float64 { return r.during }), figure(a.name, func(r result) float64 { return r.earned })
		t.Logf("%-20s in time before %s, during %s; earned %.0f", a.name, spread(b), spread(d), stat.Mean(e, nil))
	}
	for _, pair := range [][2]string{{"announced", "none"}, {"fixed 10%", "none"}, {"no show, announced", "no show, none"}, {"no show, fixed 10%", "no show, none"}} {
		var during, before, earned []float64
		for i := range got[pair[0]] {
			a, b := got[pair[0]][i], got[pair[1]][i]
			during, before, earned = append(during, a.during-b.during), append(before, a.before-b.before), append(earned, a.earned/b.earned-1)
		}
		t.Logf("%s against %s: in time during %s, before %s; earned %s", pair[0], pair[1], interval(during), interval(before), interval(earned))
	}
	for _, name := range []string{"announced", "no show, announced"} {
		d := figure(name, func(r result) float64 { return r.during })
		if median, worst := d[len(d)/2], d[0]; median < 0.97 || worst < 0.95 {
			t.Errorf("%s: %.4f in the middle, %.4f in the worst, 0.97 and 0.95 are wanted", name, median, worst)
		}
	}
}

func spread(sorted []float64) string {
	return fmt.Sprintf("%.4f (%.4f to %.4f)", sorted[len(sorted)/2], sorted[0], sorted[len(sorted)-1])
}

// interval is a mean of paired differences with its 95% interval.
func interval(d []float64) string {
	mean, dev := stat.MeanStdDev(d, nil)
	if len(d) < 2 {
		return fmt.Sprintf("%+.4f", mean)
	}
	half := distuv.StudentsT{Sigma: 1, Nu: float64(len(d) - 1)}.Quantile(0.975) * dev / math.Sqrt(float64(len(d)))
	return fmt.Sprintf("%+.4f±%.4f", mean, half)
}
