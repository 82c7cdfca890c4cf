package agreement

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
)

// 200 versions are submitted at two managers within a second, then one of 1 MB while 30% of the
// packets are lost. Each version that was reported as accepted must come into force, all others
// must be reported with a reason, and the fleet must go on. The same seed must give the same run.
func TestBurst(t *testing.T) {
	runBurst := func() (*simulation, string) {
		sim := newSimulation(5, 5, 6, faultNone)
		sim.run(4 * time.Second)
		for n := range 200 {
			sim.submit(sim.managers[n%2], fmt.Sprint(n))
			sim.run(5 * time.Millisecond)
		}
		sim.run(3 * time.Second)
		sim.lossRate = 0.3
		big := sim.submit(sim.managers[3], strings.Repeat("n", 1<<20))
		if took := sim.timeToForce(big.Version, 5*time.Second, sim.managers...); took < 0 {
			t.Error("the version of 1 MB does not come into force")
		}
		return sim, fmt.Sprint(sim.now, sim.messages, sim.bytes, sim.managers[0].results)
	}
	sim, trace := runBurst()
	decided := 0
	for _, m := range sim.managers[:2] {
		for _, a := range m.results {
			var (
				s *SupersededError
				c *VersionConflictError
				g *VersionGapError
			)
			if decided++; a.Err != nil && !errors.As(a.Err, &s) && !errors.As(a.Err, &c) && !errors.As(a.Err, &g) {
				t.Errorf("version %d: unexpected result %v", a.Version, a.Err)
			}
			if a.Err == nil && sim.documents[a.Version] == nil {
				t.Errorf("version %d was accepted and did not come into force", a.Version)
			}
		}
	}
	if decided != 200 || sim.longestConflict > 0 || !sim.linearizable() {
		t.Errorf("results of %d of 200 submissions; incompatible versions were acted on for %v", decided, sim.longestConflict)
	}
	if _, again := runBurst(); again != trace {
		t.Error("the same seed gave a different run")
	}
	t.Logf("%d versions came into force", len(sim.documents))
}
