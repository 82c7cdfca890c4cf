package rules

import (
	"fmt"
	"runtime"
	"testing"
)

// realisticSet is a set as a till screen platform would have it: rules by class,
// team, title, hour, address and viewer, with three tables.
func realisticSet(t testing.TB, n int) *Set {
	_, s, told := compileRules(testEnv(), func(t *diagnostics) []Table {
		var owners, shops, ranks []string
		for i := range 5_000 {
			owners = append(owners, fmt.Sprintf("%x=%s", i, []string{"north", "south"}[i%2]))
			ranks = append(ranks, fmt.Sprintf("shop-%d=%d", i, i%7))
		}
		for i := range 200 {
			shops = append(shops, fmt.Sprintf("10.%d.0.0/16=shop-%d", i, i))
		}
		return []Table{t.table("owner", Title, Team, "none", owners...), t.table("shop", Prefix, String, "elsewhere", shops...), t.table("rank", String, Int, "0", ranks...)}
	}, []string{
		`evening = between(clock, 18:00, 22:00)`, `payday = quincena(today) and evening`, `home = shop[client ?? 0.0.0.0]`, `who = if team == none then owner[key] else team`,
	}, realisticRules(n)...)
	if s == nil {
		t.Fatal(told.errors)
	}
	return s
}

func realisticRules(n int) (rules []string) {
	for i := range n {
		rules = append(rules, []string{
			`when class == clip and payday and copies > %d set budget = text(who) + "/payday"`,
			`when class == feed and home == "shop-%d" and not retry set label.shop = home`,
			`when who == north and bucket(key, 1000) == %d set label.trial = "a"`,
			`when rank[home] > 6 and copies == %d set budget = "far"`,
			`when starts(viewer ?? "", "till-%d-") set label.till = lower(viewer ?? "")`,
			`when class != none and client ?? 0.0.0.0 in 10.%d.0.0/16 and left < 1s set label.hurry = "yes"`,
			`when key in [title("%d"), title("ffff")] set label.vip = "yes"`,
			`when payday and team == south and hour(clock) == %d set budget = "south"`,
		}[i%8])
		rules[i] = fmt.Sprintf(rules[i], i%200+10)
	}
	return append(rules, `set team = who, budget = text(who) + "/" + text(class), label.shop = home`)
}

// BenchmarkEvaluate evaluates 200 rules of which the last matches: the dearest
// case of a set.
func BenchmarkEvaluate(b *testing.B) {
	s := realisticSet(b, 200)
	f := request(s)
	if rule := s.Evaluate(f); rule != 200 {
		b.Fatal(rule)
	}
	b.ReportAllocs()
	for b.Loop() {
		f.Reset(requestTime)
		for i := range f.vars {
			f.vars[i] = benchVars[i]
		}
		s.Evaluate(f)
	}
	b.ReportMetric(float64(f.Cost()), "steps")
	b.ReportMetric(float64(s.MaxCost()), "bound")
}

var benchVars = func() []RawValue {
	_, s, _ := compileRules(testEnv(), nil, nil, "when true")
	f := request(s)
	return f.vars
}()

func BenchmarkCompile(b *testing.B) {
	for b.Loop() {
		realisticSet(b, 200)
	}
}

// A set of 1,000 rules and three tables stays under 4 MB.
func TestSetMemory(t *testing.T) {
	heap := func() uint64 {
		var m runtime.MemStats
		for range 3 {
			runtime.GC()
		}
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	realisticSet(t, 1) // what is built once
	before := heap()
	s := realisticSet(t, 1000)
	used := heap() - before
	if runtime.KeepAlive(s); used > 4<<20 {
		t.Errorf("%d bytes", used)
	}
	t.Logf("%d bytes, bound %d steps", used, s.MaxCost())
}

// Evaluation allocates nothing.
func TestEvaluateDoesNotAllocate(t *testing.T) {
	s := realisticSet(t, 200)
	f := request(s)
	if n := testing.AllocsPerRun(100, func() {
		f.Reset(requestTime)
		copy(f.vars, benchVars)
		s.Evaluate(f)
	}); n != 0 {
		t.Errorf("%v allocations", n)
	}
}
