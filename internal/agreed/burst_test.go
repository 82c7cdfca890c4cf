package agreed

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
)

// Two hundred versions in a second at two managers, and one of 1 MB with a third of the
// packets lost: each that is told accepted comes, all others are told why, and the fleet
// goes on. The same seed gives the same play.
func TestBurst(t *testing.T) {
	burst := func() (*fleet, string) {
		w := newFleet(5, 5, 6, noFlaw)
		w.run(4 * time.Second)
		for n := range 200 {
			w.submit(w.managers[n%2], fmt.Sprint(n))
			w.run(5 * time.Millisecond)
		}
		w.run(3 * time.Second)
		w.loss = 0.3
		big := w.submit(w.managers[3], strings.Repeat("n", 1<<20))
		if took := w.inForce(big.Version, 5*time.Second, w.managers...); took < 0 {
			t.Error("1 MB does not come into force")
		}
		return w, fmt.Sprint(w.now, w.messages, w.bytes, w.managers[0].told)
	}
	w, trace := burst()
	told := 0
	for _, m := range w.managers[:2] {
		for _, a := range m.told {
			var (
				s *SupersededError
				c *VersionConflictError
				g *VersionGapError
			)
			if told++; a.Err != nil && !errors.As(a.Err, &s) && !errors.As(a.Err, &c) && !errors.As(a.Err, &g) {
				t.Errorf("version %d was told %v", a.Version, a.Err)
			}
			if a.Err == nil && w.documents[a.Version] == nil {
				t.Errorf("version %d was accepted and did not come", a.Version)
			}
		}
	}
	if told != 200 || w.longest > 0 || !w.register() {
		t.Errorf("%d of 200 were told; overlap %v", told, w.longest)
	}
	if _, again := burst(); again != trace {
		t.Error("the same seed gave another play")
	}
	t.Logf("%d versions came into force", len(w.documents))
}
