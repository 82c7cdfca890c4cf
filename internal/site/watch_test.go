package site

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// watchHarness is two sites of eight nodes as one manager sees them, which sends ten set-ups a
// second to nodes drawn at random.
type watchHarness struct {
	watch        *Watch
	now          time.Time
	rng          *rand.Rand
	nextSign     func(node int) (Sign, bool) // of a set-up; false: it is not sent
	noticed      []string
	noticedAfter map[string]time.Duration // when each state was first told, since the last mark
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
				text = fmt.Sprint("alone ", x.Isolated)
			}
			h.noticed = append(h.noticed, text)
			if _, ok := h.noticedAfter[text]; !ok {
				h.noticedAfter[text] = h.now.Sub(h.markedAt)
			}
		}
	}
}

// nodesFail has nodes from to fail by a sign, the others be heard.
func nodesFail(sign Sign, from, to int) func(int) (Sign, bool) {
	return func(n int) (Sign, bool) {
		if n >= from && n < to {
			return sign, true
		}
		return SignHeard, true
	}
}

// What happens, and what is told of it. A loss is told within 4 s at ten set-ups a
// second, and nothing else is taken for one.
func TestWatchNotices(t *testing.T) {
	for name, e := range map[string]struct {
		during func(int) (Sign, bool)
		want   []string
	}{
		"nothing":                 {nodesFail(SignHeard, 0, 0), nil},
		"one node":                {nodesFail(SignUnreachable, 8, 9), nil},
		"a rack of four of eight": {nodesFail(SignUnreachable, 8, 12), []string{"1 thin", "1 present"}},
		"a slow site":             {nodesFail(SignNoAnswer, 8, 16), []string{"1 slow", "1 present"}},
		"a site":                  {nodesFail(SignUnreachable, 8, 16), []string{"1 lost", "1 back", "1 present"}},
		"this manager":            {nodesFail(SignUnreachable, 0, 16), []string{"alone true", "alone false"}},
		"this manager, silently":  {nodesFail(SignNoAnswer, 0, 16), nil},
		"nobody asks":             {func(int) (Sign, bool) { return 0, false }, nil},
	} {
		for seed := range uint64(20) {
			h := newWatchHarness(seed)
			h.advance(10 * time.Second)
			h.markedAt, h.nextSign = h.now, e.during
			h.advance(15 * time.Second)
			h.nextSign = nodesFail(SignHeard, 0, 0)
			h.advance(40 * time.Second)
			got := h.noticed
			// On the way a loss may look like a thin site, or a cut-off manager's world.
			var end []string
			for i, s := range got {
				if s == "1 thin" && i+1 < len(got) && got[i+1] == "1 lost" {
					continue
				}
				if name == "this manager" && (s[0] == '0' || s[0] == '1') && s[2:] != "lost" {
					continue
				}
				if name == "this manager, silently" && s[2:] != "lost" {
					continue // slow sites, or nothing: no connection is refused
				}
				end = append(end, s)
			}
			if fmt.Sprint(end) != fmt.Sprint(e.want) {
				t.Errorf("%s, seed %d: told %v, want %v", name, seed, got, e.want)
			}
			if at, ok := h.noticedAfter["1 lost"]; ok && at > 4*time.Second {
				t.Errorf("%s, seed %d: told after %v", name, seed, at)
			}
			if at, ok := h.noticedAfter["alone true"]; ok && at > 5*time.Second {
				t.Errorf("%s, seed %d: alone after %v", name, seed, at)
			}
		}
	}
}

// A rolling release: nodes of a site go one after the other, and the list says of each
// that it drains before it goes, or a few seconds late.
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
				if s == "1 lost" || s == "alone true" {
					t.Errorf("late by %v, seed %d: %v", late, seed, h.noticed)
				}
			}
		}
	}
}

// A site that comes and goes is counted; one that is back for a second is lost again
// within 4 s; a list that names it no more ends nothing before it is heard of.
func TestWatchFlappingSite(t *testing.T) {
	h := newWatchHarness(3)
	h.advance(5 * time.Second)
	for i := range 3 {
		h.nextSign = nodesFail(SignUnreachable, 8, 16)
		h.advance(8 * time.Second)
		if h.watch.State(1) != StateLost {
			t.Fatalf("loss %d: %v, told %v", i, h.watch.State(1), h.noticed)
		}
		h.nextSign = nodesFail(SignHeard, 0, 0)
		h.advance(time.Second)
		if h.watch.State(1) == StateLost || h.watch.ReturnCount(h.now, 1) != i+1 {
			t.Fatalf("return %d: %v, %d returns", i, h.watch.State(1), h.watch.ReturnCount(h.now, 1))
		}
	}
	h.advance(70 * time.Second)
	if h.watch.State(1) != StatePresent || h.watch.ReturnCount(h.now, 1) != 0 {
		t.Errorf("a minute later: %v, %d returns", h.watch.State(1), h.watch.ReturnCount(h.now, 1))
	}
	h.nextSign = nodesFail(SignUnreachable, 8, 16)
	h.advance(6 * time.Second)
	for n := 8; n < 16; n++ {
		h.watch.UpdateNode(1, uint64(n), false)
	}
	h.advance(2 * time.Second)
	if h.watch.State(1) != StateLost {
		t.Errorf("off the list: %v", h.watch.State(1))
	}
	h.watch.UpdateNode(1, 20, true)
	h.watch.RecordSign(h.now, 20, SignHeard)
	if h.advance(time.Second); h.watch.State(1) == StateLost {
		t.Error("a new node of it is heard of, and it is lost still")
	}
	// What times out at once after this manager stood still is no evidence.
	h = newWatchHarness(4)
	h.advance(5 * time.Second)
	for n := range uint64(16) {
		h.watch.RecordSign(h.now, n, SignUnreachable)
	}
	h.watch.ForgetFailures()
	if h.advance(10 * time.Second); len(h.noticed) != 0 {
		t.Errorf("after a stand: %v", h.noticed)
	}
}

// A manager that is cut off in a moment in which a site has failed by chance: what fails
// from there on is its own.
func TestWatchCutOffAfterFailures(t *testing.T) {
	h := newWatchHarness(5)
	h.advance(5 * time.Second)
	for n := range uint64(3) { // three failures of a, each with a word of b before
		h.watch.RecordSign(h.now, n, SignNoAnswer)
		h.now = h.now.Add(50 * time.Millisecond)
		h.watch.RecordSign(h.now, 8, SignHeard)
	}
	h.nextSign = nodesFail(SignUnreachable, 0, 16)
	h.advance(8 * time.Second)
	if h.watch.State(0) == StateLost || h.watch.State(1) == StateLost || !h.watch.Isolated() {
		t.Errorf("told %v", h.noticed)
	}
}

// A day of ordinary faults: nodes that fail, stand still or are refused one by one and a
// few at a time, at either site. No site is told as lost.
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
		for range 1 + h.rng.IntN(3) { // of sixteen nodes up to three at a time, as the operators' days have it
			n := h.rng.IntN(16)
			faulty[n] = []Sign{SignUnreachable, SignNoAnswer, SignConnectionLost}[h.rng.IntN(3)]
			faultyUntil[n] = h.now.Add(5*time.Second + time.Duration(h.rng.Int64N(int64(25*time.Second))))
			faults++
		}
		h.advance(20 * time.Second)
	}
	falseAlarms := 0
	for _, s := range h.noticed {
		if s[2:] == "lost" || s == "alone true" {
			falseAlarms++
		}
	}
	t.Logf("%d faults of nodes in %v: %d false alarms, %d notices", faults, day, falseAlarms, len(h.noticed))
	if falseAlarms > 0 {
		t.Errorf("%d false alarms", falseAlarms)
	}
}
