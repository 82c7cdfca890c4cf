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

// compileRules compiles rules, one a line, as NAME REST.
func compileRules(t testing.TB, on Deployment, lines ...string) (*Set, string) {
	t.Helper()
	var faults []string
	src := Source{LoadZone: time.LoadLocation, LocalZone: "America/Mexico_City", Trace: true}
	for _, l := range lines {
		name, text, _ := strings.Cut(l, " ")
		src.Rules = append(src.Rules, rules.Rule{Name: name, Source: rules.Source{Text: text, ReportError: func(at int, msg string) {
			faults = append(faults, fmt.Sprintf("%s:%d: %s", name, at, msg))
		}}})
	}
	return Compile(src, on), strings.Join(faults, "\n")
}

// textMap are a message's.
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

func TestRoute(t *testing.T) {
	s, faults := compileRules(t, deployment,
		`unnamed when class == none and starts(field("shop") ?? "", "Norte") set class = clip, team = north, key = lower(field("shop") ?? "")`,
		`gilded when class == clip and again set class = gold`,
		`payday when class == feed and quincena(today) and clock >= 18:00 and left < 2s and home == 3 and front == "websocket" set team = south, key = "payday", label.viewer = extra("viewer") ?? "", label.net = if client ?? 0.0.0.0 in 10.4.0.0/16 then "hall" else ""`,
	)
	if s == nil {
		t.Fatal(faults)
	}
	for class, want := range map[int]string{
		-1: `{Class:0 Team:0 Rule:unnamed Key:norte-7 Labels:[]}`,
		0:  `{Class:0 Team:-1 Rule: Key: Labels:[]}`,
		1:  `{Class:1 Team:1 Rule:payday Key:payday Labels:[{Name:viewer Value:00000000b4d65521} {Name:net Value:hall}]}`,
	} {
		if got := fmt.Sprintf("%+v", s.Route(request(class))); got != want {
			t.Errorf("class %d: %s, want %s", class, got, want)
		}
		if e := s.Explain(request(class)); fmt.Sprintf("%+v", e.Result) != want || e.Cost == 0 || e.Cost > s.MaxCost() || len(e.RuleTraces) == 0 {
			t.Errorf("explained: %+v", e)
		}
	}
	r := request(0)
	r.Returning = true
	if got := s.Route(r); got.Class != 2 {
		t.Errorf("%+v", got)
	}
	r = request(-1)
	r.Texts = nil
	if got := s.Route(r); got.Class != -1 || got.Rule != "" {
		t.Errorf("%+v", got)
	}
}

// What a class may become goes by whether it is paid and by its floor.
func TestClassChanges(t *testing.T) {
	for rule, want := range map[string]string{
		"when class == feed set class = clip":   "checked for a feed request: this may make it clip; clip is paid for at set-up and feed is not",
		"when class == clip set class = feed":   "checked for a clip request: this may make it feed; clip is set up once only, and feed has no such protection",
		"when class == clip set class = gold":   "",
		"when class == gold set class = clip":   "checked for a gold request: this may make it clip; clip may play on rung 1, which is under the floor of gold, rung 2",
		"when class == clip set class = bronze": "bronze may play on rung 0, which is under the floor of clip, rung 1",
		"when class == none set class = bronze": "",
	} {
		if s, faults := compileRules(t, deployment, "r "+rule); (s == nil) != (want != "") || !strings.Contains(faults, want) {
			t.Errorf("%s: %q, want %q", rule, faults, want)
		}
	}
}

// Should a rule ever get past the checks, a request keeps its class all the same.
func TestRouteKeepsClassIfChangeNotAllowed(t *testing.T) {
	s, faults := compileRules(t, deployment, "r when class == clip set class = gold, key = \"k\"")
	if s == nil {
		t.Fatal(faults)
	}
	s.mayBecome[0+1][2] = false
	if got := s.Route(request(0)); got.Class != 0 || got.BudgetKey != "k" {
		t.Errorf("%+v", got)
	}
}

// What a request was given stays when its bytes and the frame are used again.
func TestResultOutlivesRequest(t *testing.T) {
	s, faults := compileRules(t, deployment, `r set key = upper(field("shop") ?? ""), label.a = field("shop") ?? "", label.b = "fixed"`)
	if s == nil {
		t.Fatal(faults)
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

type sharedText struct{ b []byte }

func (s sharedText) Field(string) []byte { return s.b }
func (s sharedText) Extra(string) []byte { return nil }

// Each request sees one whole set, whatever is swapped meanwhile.
func TestReplaceDuringRouting(t *testing.T) {
	var sets []*Set
	for _, name := range []string{"north", "south"} {
		s, faults := compileRules(t, deployment, fmt.Sprintf(`%s when copies > 1 set team = %[1]s, key = lower("%[1]s") + field("shop") ?? "", label.a = "%[1]s"`, name))
		if s == nil {
			t.Fatal(faults)
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
					t.Errorf("%+v", got)
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
		t.Error("no set was put in use, and there is one")
	}
}

// BenchmarkRouteUnnamedClass is the whole routing of a request that names no class.
func BenchmarkRouteUnnamedClass(b *testing.B) {
	var lines []string
	for i := range 199 {
		lines = append(lines, []string{
			`r%d when class == feed and copies > %d set team = north`, `r%d when starts(field("shop") ?? "", "Sur-%d-") set team = south`,
			`r%d when team == south and home == %d and between(clock, 18:00, 21:00) set key = "late"`, `r%d when bucket(title, 1000) == %d set label.trial = "a"`,
		}[i%4])
		lines[i] = fmt.Sprintf(lines[i], i, i+100)
	}
	s, faults := compileRules(b, deployment, append(lines, `last when class == none set class = clip, team = north, key = lower(field("shop") ?? "") + "/" + text(class)`)...)
	if s == nil {
		b.Fatal(faults)
	}
	r := request(-1)
	r.Texts = sharedText{[]byte("Norte-7")}
	b.ReportAllocs()
	for b.Loop() {
		if s.Route(r).Rule != "last" {
			b.Fatal("not routed")
		}
	}
}
