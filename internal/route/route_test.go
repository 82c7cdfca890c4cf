package route

import (
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"millethinge/internal/rules"
)

var deployment = Deployment{
	Classes: []Class{{"clip", true, 1}, {"feed", false, 0}, {"gold", true, 2}, {"bronze", true, 0}},
	Teams:   []string{"north", "south"},
}

// compileRules compiles rules given as "NAME TEXT" and returns the errors.
func compileRules(t testing.TB, on Deployment, lines ...string) (*Set, string) {
	t.Helper()
	var errs []string
	src := Source{LoadZone: time.LoadLocation, LocalZone: "America/Mexico_City", Trace: true}
	for _, l := range lines {
		name, text, _ := strings.Cut(l, " ")
		src.Rules = append(src.Rules, rules.Rule{Name: name, Source: rules.Source{Text: text, ReportError: func(pos int, msg string) {
			errs = append(errs, fmt.Sprintf("%s:%d: %s", name, pos, msg))
		}}})
	}
	return Compile(src, on), strings.Join(errs, "\n")
}

// textMap has the texts of a request; the keys of extras begin with "extra.".
type textMap map[string]string

func (x textMap) Field(name string) []byte { return x.get(name) }
func (x textMap) Extra(name string) []byte { return x.get("extra." + name) }
func (x textMap) get(name string) []byte {
	if v, ok := x[name]; ok {
		return []byte(v)
	}
	return nil
}

func request(class int) *Request {
	return &Request{
		Class: class, Team: -1, Title: 0x7f3a, HomeCell: 3, Copies: 2, TopRung: 2.5, TimeLeft: 1500 * time.Millisecond, Front: "websocket",
		ClientAddr: netip.MustParseAddr("10.4.7.9"), ReceivedAt: time.Date(2026, 5, 16, 0, 30, 0, 0, time.UTC),
		Texts: textMap{"shop": "Norte-7", "extra.viewer": "00000000b4d65521"},
	}
}

// TestRoute checks what requests of each class are given, and that Explain agrees with Route.
func TestRoute(t *testing.T) {
	s, errs := compileRules(t, deployment,
		`unnamed when class == none and starts(field("shop") ?? "", "Norte") set class = clip, team = north, key = lower(field("shop") ?? "")`,
		`gilded when class == clip and again set class = gold`,
		`payday when class == feed and quincena(today) and clock >= 18:00 and left < 2s and home == 3 and front == "websocket" set team = south, key = "payday", label.viewer = extra("viewer") ?? "", label.net = if client ?? 0.0.0.0 in 10.4.0.0/16 then "hall" else ""`,
	)
	if s == nil {
		t.Fatal(errs)
	}
	for class, want := range map[int]string{
		-1: `{Class:0 Team:0 Rule:unnamed BudgetKey:norte-7 Labels:[]}`,
		0:  `{Class:0 Team:-1 Rule: BudgetKey: Labels:[]}`,
		1:  `{Class:1 Team:1 Rule:payday BudgetKey:payday Labels:[{Name:viewer Value:00000000b4d65521} {Name:net Value:hall}]}`,
	} {
		if got := fmt.Sprintf("%+v", s.Route(request(class))); got != want {
			t.Errorf("class %d: %s, want %s", class, got, want)
		}
		if e := s.Explain(request(class)); fmt.Sprintf("%+v", e.Result) != want || e.Cost == 0 || e.Cost > s.MaxCost() || len(e.RuleTraces) == 0 {
			t.Errorf("Explain returned %+v", e)
		}
	}
	r := request(0)
	r.Returning = true
	if got := s.Route(r); got.Class != 2 {
		t.Errorf("%+v, want class 2", got)
	}
	r = request(-1)
	r.Texts = nil
	if got := s.Route(r); got.Class != -1 || got.Rule != "" {
		t.Errorf("%+v, want no class and no rule", got)
	}
}

// TestClassChanges checks that BilledSetup and FloorRung decide which changes of class are allowed.
func TestClassChanges(t *testing.T) {
	for rule, want := range map[string]string{
		"when class == feed set class = clip":   "checked for a feed request: this may make it clip; clip is paid for at set-up and feed is not",
		"when class == clip set class = feed":   "checked for a clip request: this may make it feed; clip is set up once only, and feed has no such protection",
		"when class == clip set class = gold":   "",
		"when class == gold set class = clip":   "checked for a gold request: this may make it clip; clip may play on rung 1, which is under the floor of gold, rung 2",
		"when class == clip set class = bronze": "bronze may play on rung 0, which is under the floor of clip, rung 1",
		"when class == none set class = bronze": "",
	} {
		if s, errs := compileRules(t, deployment, "r "+rule); (s == nil) != (want != "") || !strings.Contains(errs, want) {
			t.Errorf("%s: %q, want %q", rule, errs, want)
		}
	}
}

// TestRouteKeepsClassIfChangeNotAllowed checks the guard in Route, in case a rule ever gets past the checks
// of Compile.
func TestRouteKeepsClassIfChangeNotAllowed(t *testing.T) {
	s, errs := compileRules(t, deployment, "r when class == clip set class = gold, key = \"k\"")
	if s == nil {
		t.Fatal(errs)
	}
	s.mayBecome[0+1][2] = false
	if got := s.Route(request(0)); got.Class != 0 || got.BudgetKey != "k" {
		t.Errorf("%+v, want class 0 and budget key k", got)
	}
}

// TestResultOutlivesRequest guards against results that refer to bytes of the request or the frame, which are
// reused.
func TestResultOutlivesRequest(t *testing.T) {
	s, errs := compileRules(t, deployment, `r set key = upper(field("shop") ?? ""), label.a = field("shop") ?? "", label.b = "fixed"`)
	if s == nil {
		t.Fatal(errs)
	}
	shop := []byte("abc")
	r := request(0)
	r.Texts = sharedText{shop}
	first := s.Route(r)
	copy(shop, "xyz")
	second := s.Route(r)
	if first.BudgetKey != "ABC" || first.Labels[0].Value != "abc" || second.BudgetKey != "XYZ" || second.Labels[0].Value != "xyz" {
		t.Errorf("%+v, %+v", first, second)
	}
}

// sharedText returns the same buffer for every field.
type sharedText struct{ b []byte }

func (s sharedText) Field(string) []byte { return s.b }
func (s sharedText) Extra(string) []byte { return nil }

// TestReplaceDuringRouting guards against requests that see parts of two sets while the active set is
// replaced.
func TestReplaceDuringRouting(t *testing.T) {
	var sets []*Set
	for _, name := range []string{"north", "south"} {
		s, errs := compileRules(t, deployment, fmt.Sprintf(`%s when copies > 1 set team = %[1]s, key = lower("%[1]s") + field("shop") ?? "", label.a = "%[1]s"`, name))
		if s == nil {
			t.Fatal(errs)
		}
		sets = append(sets, s)
	}
	var live ActiveSet
	live.Replace(sets[0])
	stop := make(chan struct{})
	var all, swapper sync.WaitGroup
	seen := make([]map[string]int, 8)
	for g := range seen {
		seen[g] = map[string]int{}
		all.Go(func() {
			for range 5000 {
				got := live.Load().Route(request(1))
				name := deployment.Teams[got.Team]
				if got.Rule != name || got.BudgetKey != name+"Norte-7" || got.Labels[0].Value != name {
					t.Errorf("%+v is not the result of one set", got)
					return
				}
				seen[g][name]++
			}
		})
	}
	swapper.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
				live.Replace(sets[i%2])
			}
		}
	})
	all.Wait()
	close(stop)
	swapper.Wait()
	live.Replace(nil)
	if live.Load() != nil {
		t.Error("Load returned a set after Replace(nil)")
	}
}

// BenchmarkRouteUnnamedClass routes a request that names no class, with 200 rules of which the last matches.
func BenchmarkRouteUnnamedClass(b *testing.B) {
	var lines []string
	for i := range 199 {
		lines = append(lines, []string{
			`r%d when class == feed and copies > %d set team = north`, `r%d when starts(field("shop") ?? "", "Sur-%d-") set team = south`,
			`r%d when team == south and home == %d and between(clock, 18:00, 21:00) set key = "late"`, `r%d when bucket(title, 1000) == %d set label.trial = "a"`,
		}[i%4])
		lines[i] = fmt.Sprintf(lines[i], i, i+100)
	}
	s, errs := compileRules(b, deployment, append(lines, `last when class == none set class = clip, team = north, key = lower(field("shop") ?? "") + "/" + text(class)`)...)
	if s == nil {
		b.Fatal(errs)
	}
	r := request(-1)
	r.Texts = sharedText{[]byte("Norte-7")}
	b.ReportAllocs()
	for b.Loop() {
		if s.Route(r).Rule != "last" {
			b.Fatal("the last rule did not match")
		}
	}
}
