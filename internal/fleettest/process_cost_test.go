package fleettest

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"
)

var sizes = flag.Bool("sizes", false, "measure how many manager processes this machine can run")

// TestManagerProcessCost measures what 4, 16 and 40 managers cost as processes: time to start,
// memory, descriptors, and set-ups a second that are all answered. It is slow, and its figures
// depend on the machine: it fails only if a rule of the judge is broken.
func TestManagerProcessCost(t *testing.T) {
	if !*sizes {
		t.Skip("runs only with -sizes")
	}
	binary, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range []int{4, 16, 40} {
		p := FleetConfig{Seed: 1, WaitTimeout: defaultWaitTimeout, NodeModel: DefaultNodeModel, Terms: DefaultLimits,
			Load: Load{TimeLeft: 3 * time.Second, ClipShare: 0.35, Titles: 8}}
		p.NodeModel.LinkKB, p.NodeModel.MaxStreams, p.NodeModel.SessionLength = 1e7, 4000, [2]time.Duration{time.Second, 2 * time.Second}
		p.Terms.NodeCapacity = p.NodeModel.MaxStreams
		for i := range 2 {
			h := Hall{Name: string(rune('a' + i))}
			for k := range n / 2 {
				h.Managers = append(h.Managers, fmt.Sprintf("m%d", i*n/2+k))
			}
			for k := range 6 {
				h.Nodes = append(h.Nodes, fmt.Sprintf("%s%d", h.Name, k))
			}
			p.Halls = append(p.Halls, h)
		}
		began := time.Now()
		f, err := New(p, binary, t.TempDir())
		if err != nil {
			f.Close()
			t.Fatal(err)
		}
		started := time.Since(began)
		f.Viewers.Run(f.done)
		bestRate := 0.0
		for rate := 250.0; rate <= 4000; rate *= 2 {
			f.Viewers.SetRate(rate)
			time.Sleep(time.Second)
			from := time.Now()
			time.Sleep(3 * time.Second)
			to := time.Now()
			asked, served := 0, 0
			for _, e := range f.Record.Events() {
				if e.At.After(from) && e.At.Before(to) {
					if e.Kind == SetUpRequested {
						asked++
					}
					if e.Kind == Answered && e.Outcome == Served {
						served++
					}
				}
			}
			if float64(served) < 0.98*float64(asked) || float64(asked) < 0.9*rate*3 {
				break
			}
			bestRate = rate
		}
		var memory []float64
		maxDescriptors, cpu := 0, time.Duration(0)
		for _, m := range f.Managers {
			mb, descriptors, c := m.Usage()
			memory = append(memory, mb)
			maxDescriptors, cpu = max(maxDescriptors, descriptors), cpu+c
		}
		slices.Sort(memory)
		f.Viewers.SetRate(0.001)
		time.Sleep(4 * time.Second)
		if found := Judge(f.Record.Events(), p.Terms, time.Now()); len(found) > 0 {
			t.Error(FormatVerdicts(found, f.Record.Events()))
		}
		f.Close()
		t.Logf("%d managers: started in %v; memory %.0f MB median, %.0f MB at most; %d descriptors at most; %.0f set-ups a second, all served; %v of processor time",
			n, started.Round(time.Millisecond), memory[len(memory)/2], memory[len(memory)-1], maxDescriptors, bestRate, cpu)
	}
}
