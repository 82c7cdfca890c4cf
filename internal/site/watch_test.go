package site

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// watchHarness simulates a manager that sends ten set-ups per second to random nodes of two
// sites with eight nodes each.
type watchHarness struct {
	watch        *Watch
	now          time.Time
	rng          *rand.Rand
	nextSign     func(node int) (Sign, bool) // result of a set-up at a node; false: it is not sent
	noticed      []string
	noticedAfter map[string]time.Duration // by notice, when it first came, counted from markedAt
	markedAt     time.Time
}

func newWatchHarness(seed uint64) *watchHarness {
	h := &watchHarness{watch: NewWatch([]string{"a", "b"}), now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 5)), noticedAfter: map[string]time.Duration{}}
	for n := range 16 {
		h.watch.UpdateNode(n/8, uint64(n), true)
	}
	h.nextSign = func(int) (Sign, bool) { return SignHeard, true }
	h.markedAt = h.now
	return h
}

func (h *watchHarness) advance(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(100 * time.Millisecond) {
		n := h.rng.IntN(16)
		if nextSign, ok := h.nextSign(n); ok {
			h.watch.RecordSign(h.now, uint64(n), nextSign)
		}
		for _, x := range h.watch.Tick(h.now) {
			text := fmt.Sprint(x.Site, " ", x.State)
			if x.Site < 0 {
				text = fmt.Sprint("isolated ", x.Isolated)
			}
			h.noticed = append(h.noticed, text)
			if _, ok := h.noticedAfter[text]; !ok {
				h.noticedAfter[text] = h.now.Sub(h.markedAt)
			}
		}
	}
}

// nodesFail returns a nextSign with which the nodes from (inclusive) to to (exclusive) give
// the sign, and the others answer.
func nodesFail(sign Sign, from, to int) func(int) (Sign, bool) {
	return func(n int) (Sign, bool) {
		if n >= from && n < to {
			return sign, true
		}
		return SignHeard, true
	}
}

// At ten set-ups per second, the loss of a site is detected within 4 s, and no other fault is
// taken for one.
func TestWatchNotices(t *testing.T) {
	for name, e := range map[string]struct {
		during func(int) (Sign, bool)
		want   []string
	}{
		"no fault":                         {nodesFail(SignHeard, 0, 0), nil},
		"one node":                         {nodesFail(SignUnreachable, 8, 9), nil},
		"a rack of four of eight":          {nodesFail(SignUnreachable, 8, 12), []string{"1 thin", "1 present"}},
		"a slow site":                      {nodesFail(SignNoAnswer, 8, 16), []string{"1 slow", "1 present"}},
		"a lost site":                      {nodesFail(SignUnreachable, 8, 16), []string{"1 lost", "1 back", "1 present"}},
		"this manager cut off":             {nodesFail(SignUnreachable, 0, 16), []string{"isolated true", "isolated false"}},
		"this manager cut off, no answers": {nodesFail(SignNoAnswer, 0, 16), nil},
		"no requests":                      {func(int) (Sign, bool) { return 0, false }, nil},
	} {
		for seed := range uint64(20) {
			h := newWatchHarness(seed)
			h.advance(10 * time.Second)
			h.markedAt, h.nextSign = h.now, e.during
			h.advance(15 * time.Second)
			h.nextSign = nodesFail(SignHeard, 0, 0)
			h.advance(40 * time.Second)
			got := h.noticed
			// At first a loss may look like a partly unreachable site, and the isolation of
			// this manager like faults of the sites.
			var end []string
			for i, s := range got {
				if s == "1 thin" && i+1 < len(got) && got[i+1] == "1 lost" {
					continue
				}
				if name == "this manager cut off" && (s[0] == '0' || s[0] == '1') && s[2:] != "lost" {
					continue
				}
				if name == "this manager cut off, no answers" && s[2:] != "lost" {
					continue // slow sites, or nothing, since no connection is refused
				}
				end = append(end, s)
			}
			if fmt.Sprint(end) != fmt.Sprint(e.want) {
				t.Errorf("%s, seed %d: notices %v, want %v", name, seed, got, e.want)
			}
			if at, ok := h.noticedAfter["1 lost"]; ok && at > 4*time.Second {
				t.Errorf("%s, seed %d: loss detected after %v, want at most 4 s", name, seed, at)
			}
			if at, ok := h.noticedAfter["isolated true"]; ok && at > 5*time.Second {
				t.Errorf("%s, seed %d: isolation detected after %v, want at most 5 s", name, seed, at)
			}
		}
	}
}

// A rolling release is not taken for a loss: the nodes of a site go one after the other, and
// the list marks each as draining before it goes, or a few seconds late.
func TestWatchRollingRelease(t *testing.T) {
	for _, late := range []time.Duration{0, 3 * time.Second} {
		for seed := range uint64(10) {
			h := newWatchHarness(seed)
			gone := map[int]bool{}
			h.nextSign = func(n int) (Sign, bool) {
				if gone[n] {
					return SignUnreachable, true
				}
				return SignHeard, true
			}
			for n := 8; n < 16; n++ {
				gone[n] = true
				h.advance(late)
				h.watch.UpdateNode(1, uint64(n), false)
				h.advance(4*time.Second - late)
				gone[n] = false
				h.watch.UpdateNode(1, uint64(n), true)
				h.advance(time.Second)
			}
			for _, s := range h.noticed {
				if s == "1 lost" || s == "isolated true" {
					t.Errorf("list late by %v, seed %d: notices %v", late, seed, h.noticed)
				}
			}
		}
	}
}

// The returns of a flapping site are counted, and the site is lost again after a return of
// one second. A lost site whose nodes disappear from the list stays lost until one of its
// nodes is heard of.
func TestWatchFlappingSite(t *testing.T) {
	h := newWatchHarness(3)
	h.advance(5 * time.Second)
	for i := range 3 {
		h.nextSign = nodesFail(SignUnreachable, 8, 16)
		h.advance(8 * time.Second)
		if h.watch.State(1) != StateLost {
			t.Fatalf("loss %d: state %v, notices %v", i, h.watch.State(1), h.noticed)
		}
		h.nextSign = nodesFail(SignHeard, 0, 0)
		h.advance(time.Second)
		if h.watch.State(1) == StateLost || h.watch.ReturnCount(h.now, 1) != i+1 {
			t.Fatalf("return %d: state %v, %d returns counted", i, h.watch.State(1), h.watch.ReturnCount(h.now, 1))
		}
	}
	h.advance(70 * time.Second)
	if h.watch.State(1) != StatePresent || h.watch.ReturnCount(h.now, 1) != 0 {
		t.Errorf("after 70 s without faults: state %v, %d returns counted", h.watch.State(1), h.watch.ReturnCount(h.now, 1))
	}
	h.nextSign = nodesFail(SignUnreachable, 8, 16)
	h.advance(6 * time.Second)
	for n := 8; n < 16; n++ {
		h.watch.UpdateNode(1, uint64(n), false)
	}
	h.advance(2 * time.Second)
	if h.watch.State(1) != StateLost {
		t.Errorf("off the list: state %v, want lost", h.watch.State(1))
	}
	h.watch.UpdateNode(1, 20, true)
	h.watch.RecordSign(h.now, 20, SignHeard)
	if h.advance(time.Second); h.watch.State(1) == StateLost {
		t.Error("site is still lost after a new node of it was heard of")
	}
	// Time-outs right after a process pause are no evidence.
	h = newWatchHarness(4)
	h.advance(5 * time.Second)
	for n := range uint64(16) {
		h.watch.RecordSign(h.now, n, SignUnreachable)
	}
	h.watch.ForgetFailures()
	if h.advance(10 * time.Second); len(h.noticed) != 0 {
		t.Errorf("notices after a process pause: %v", h.noticed)
	}
}

// A manager is cut off just after a few chance failures at one site: it must take itself for
// cut off, and no site for lost.
func TestWatchCutOffAfterFailures(t *testing.T) {
	h := newWatchHarness(5)
	h.advance(5 * time.Second)
	for n := range uint64(3) { // three failures of site a, each followed by an answer of site b
		h.watch.RecordSign(h.now, n, SignNoAnswer)
		h.now = h.now.Add(50 * time.Millisecond)
		h.watch.RecordSign(h.now, 8, SignHeard)
	}
	h.nextSign = nodesFail(SignUnreachable, 0, 16)
	h.advance(8 * time.Second)
	if h.watch.State(0) == StateLost || h.watch.State(1) == StateLost || !h.watch.Isolated() {
		t.Errorf("notices %v, want this manager cut off and no site lost", h.noticed)
	}
}

// In a simulated day of ordinary faults, in which up to three nodes at a time fail, hang or
// refuse connections at either site, no site is taken for lost.
func TestWatchFalseAlarms(t *testing.T) {
	day := 24 * time.Hour
	if testing.Short() {
		day = time.Hour
	}
	h := newWatchHarness(9)
	faulty := map[int]Sign{}
	faultyUntil := map[int]time.Time{}
	h.nextSign = func(n int) (Sign, bool) {
		if s, ok := faulty[n]; ok && h.now.Before(faultyUntil[n]) {
			return s, true
		}
		return SignHeard, true
	}
	faults := 0
	for h.now.Before(time.Unix(1000, 0).Add(day)) {
		for range 1 + h.rng.IntN(3) { // up to three of sixteen nodes at a time, as on the operators' days
			n := h.rng.IntN(16)
			faulty[n] = []Sign{SignUnreachable, SignNoAnswer, SignConnectionLost}[h.rng.IntN(3)]
			faultyUntil[n] = h.now.Add(5*time.Second + time.Duration(h.rng.Int64N(int64(25*time.Second))))
			faults++
		}
		h.advance(20 * time.Second)
	}
	falseAlarms := 0
	for _, s := range h.noticed {
		if s[2:] == "lost" || s == "isolated true" {
			falseAlarms++
		}
	}
	t.Logf("%d node faults in %v: %d false alarms, %d notices", faults, day, falseAlarms, len(h.noticed))
	if falseAlarms > 0 {
		t.Errorf("%d false alarms", falseAlarms)
	}
}
