package site

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// world is two sites of eight nodes as one manager sees them, which sends ten set-ups a
// second to nodes drawn at random.
type world struct {
	w     *Watch
	now   time.Time
	src   *rand.Rand
	sign  func(node int) (Sign, bool) // of a set-up; false: it is not sent
	told  []string
	after map[string]time.Duration // when each state was first told, since the last mark
	mark  time.Time
}

func newWorld(seed uint64) *world {
	v := &world{w: NewWatch([]string{"a", "b"}), now: time.Unix(1000, 0), src: rand.New(rand.NewPCG(seed, 5)), after: map[string]time.Duration{}}
	for n := range 16 {
		v.w.UpdateNode(n/8, uint64(n), true)
	}
	v.sign = func(int) (Sign, bool) { return SignHeard, true }
	v.mark = v.now
	return v
}

func (v *world) run(d time.Duration) {
	for end := v.now.Add(d); v.now.Before(end); v.now = v.now.Add(100 * time.Millisecond) {
		n := v.src.IntN(16)
		if sign, ok := v.sign(n); ok {
			v.w.RecordSign(v.now, uint64(n), sign)
		}
		for _, x := range v.w.Tick(v.now) {
			text := fmt.Sprint(x.Site, " ", x.State)
			if x.Site < 0 {
				text = fmt.Sprint("alone ", x.Isolated)
			}
			v.told = append(v.told, text)
			if _, ok := v.after[text]; !ok {
				v.after[text] = v.now.Sub(v.mark)
			}
		}
	}
}

// fails has nodes from to fail by a sign, the others be heard.
func fails(sign Sign, from, to int) func(int) (Sign, bool) {
	return func(n int) (Sign, bool) {
		if n >= from && n < to {
			return sign, true
		}
		return SignHeard, true
	}
}

// What happens, and what is told of it. A loss is told within 4 s at ten set-ups a
// second, and nothing else is taken for one.
func TestWatchTells(t *testing.T) {
	for name, e := range map[string]struct {
		during func(int) (Sign, bool)
		want   []string
	}{
		"nothing":                 {fails(SignHeard, 0, 0), nil},
		"one node":                {fails(SignUnreachable, 8, 9), nil},
		"a rack of four of eight": {fails(SignUnreachable, 8, 12), []string{"1 thin", "1 present"}},
		"a slow site":             {fails(SignNoAnswer, 8, 16), []string{"1 slow", "1 present"}},
		"a site":                  {fails(SignUnreachable, 8, 16), []string{"1 lost", "1 back", "1 present"}},
		"this manager":            {fails(SignUnreachable, 0, 16), []string{"alone true", "alone false"}},
		"this manager, silently":  {fails(SignNoAnswer, 0, 16), nil},
		"nobody asks":             {func(int) (Sign, bool) { return 0, false }, nil},
	} {
		for seed := range uint64(20) {
			v := newWorld(seed)
			v.run(10 * time.Second)
			v.mark, v.sign = v.now, e.during
			v.run(15 * time.Second)
			v.sign = fails(SignHeard, 0, 0)
			v.run(40 * time.Second)
			got := v.told
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
			if at, ok := v.after["1 lost"]; ok && at > 4*time.Second {
				t.Errorf("%s, seed %d: told after %v", name, seed, at)
			}
			if at, ok := v.after["alone true"]; ok && at > 5*time.Second {
				t.Errorf("%s, seed %d: alone after %v", name, seed, at)
			}
		}
	}
}

// A rolling release: nodes of a site go one after the other, and the list says of each
// that it drains before it goes, or a few seconds late.
func TestWatchRelease(t *testing.T) {
	for _, late := range []time.Duration{0, 3 * time.Second} {
		for seed := range uint64(10) {
			v := newWorld(seed)
			gone := map[int]bool{}
			v.sign = func(n int) (Sign, bool) {
				if gone[n] {
					return SignUnreachable, true
				}
				return SignHeard, true
			}
			for n := 8; n < 16; n++ {
				gone[n] = true
				v.run(late)
				v.w.UpdateNode(1, uint64(n), false)
				v.run(4*time.Second - late)
				gone[n] = false
				v.w.UpdateNode(1, uint64(n), true)
				v.run(time.Second)
			}
			for _, s := range v.told {
				if s == "1 lost" || s == "alone true" {
					t.Errorf("late by %v, seed %d: %v", late, seed, v.told)
				}
			}
		}
	}
}

// A site that comes and goes is counted; one that is back for a second is lost again
// within 4 s; a list that names it no more ends nothing before it is heard of.
func TestWatchFlaps(t *testing.T) {
	v := newWorld(3)
	v.run(5 * time.Second)
	for i := range 3 {
		v.sign = fails(SignUnreachable, 8, 16)
		v.run(8 * time.Second)
		if v.w.State(1) != StateLost {
			t.Fatalf("loss %d: %v, told %v", i, v.w.State(1), v.told)
		}
		v.sign = fails(SignHeard, 0, 0)
		v.run(time.Second)
		if v.w.State(1) == StateLost || v.w.ReturnCount(v.now, 1) != i+1 {
			t.Fatalf("return %d: %v, %d returns", i, v.w.State(1), v.w.ReturnCount(v.now, 1))
		}
	}
	v.run(70 * time.Second)
	if v.w.State(1) != StatePresent || v.w.ReturnCount(v.now, 1) != 0 {
		t.Errorf("a minute later: %v, %d returns", v.w.State(1), v.w.ReturnCount(v.now, 1))
	}
	v.sign = fails(SignUnreachable, 8, 16)
	v.run(6 * time.Second)
	for n := 8; n < 16; n++ {
		v.w.UpdateNode(1, uint64(n), false)
	}
	v.run(2 * time.Second)
	if v.w.State(1) != StateLost {
		t.Errorf("off the list: %v", v.w.State(1))
	}
	v.w.UpdateNode(1, 20, true)
	v.w.RecordSign(v.now, 20, SignHeard)
	if v.run(time.Second); v.w.State(1) == StateLost {
		t.Error("a new node of it is heard of, and it is lost still")
	}
	// What times out at once after this manager stood still is no evidence.
	v = newWorld(4)
	v.run(5 * time.Second)
	for n := range uint64(16) {
		v.w.RecordSign(v.now, n, SignUnreachable)
	}
	v.w.ForgetFailures()
	if v.run(10 * time.Second); len(v.told) != 0 {
		t.Errorf("after a stand: %v", v.told)
	}
}

// A manager that is cut off in a moment in which a site has failed by chance: what fails
// from there on is its own.
func TestWatchCutOffAfterFailures(t *testing.T) {
	v := newWorld(5)
	v.run(5 * time.Second)
	for n := range uint64(3) { // three failures of a, each with a word of b before
		v.w.RecordSign(v.now, n, SignNoAnswer)
		v.now = v.now.Add(50 * time.Millisecond)
		v.w.RecordSign(v.now, 8, SignHeard)
	}
	v.sign = fails(SignUnreachable, 0, 16)
	v.run(8 * time.Second)
	if v.w.State(0) == StateLost || v.w.State(1) == StateLost || !v.w.Isolated() {
		t.Errorf("told %v", v.told)
	}
}

// A day of ordinary faults: nodes that fail, stand still or are refused one by one and a
// few at a time, at either site. No site is told as lost.
func TestWatchFalseAlarms(t *testing.T) {
	day := 24 * time.Hour
	if testing.Short() {
		day = time.Hour
	}
	v := newWorld(9)
	bad := map[int]Sign{}
	until := map[int]time.Time{}
	v.sign = func(n int) (Sign, bool) {
		if s, ok := bad[n]; ok && v.now.Before(until[n]) {
			return s, true
		}
		return SignHeard, true
	}
	faults := 0
	for v.now.Before(time.Unix(1000, 0).Add(day)) {
		for range 1 + v.src.IntN(3) { // of sixteen nodes up to three at a time, as the operators' days have it
			n := v.src.IntN(16)
			bad[n] = []Sign{SignUnreachable, SignNoAnswer, SignConnectionLost}[v.src.IntN(3)]
			until[n] = v.now.Add(5*time.Second + time.Duration(v.src.Int64N(int64(25*time.Second))))
			faults++
		}
		v.run(20 * time.Second)
	}
	lost := 0
	for _, s := range v.told {
		if s[2:] == "lost" || s == "alone true" {
			lost++
		}
	}
	t.Logf("%d faults of nodes in %v: %d false alarms, %d notices", faults, day, lost, len(v.told))
	if lost > 0 {
		t.Errorf("%d false alarms", lost)
	}
}
