package fleettest

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// Each rule on what operators do is broken by one record and kept by its neighbour.
func TestJudgeOperationRules(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	call := func(ms, took int, text, node string, status int) Event {
		return Event{At: at(ms + took), Kind: OperatorCalled, Manager: "m", Node: node, Text: "POST " + text, Cause: status, Elapsed: time.Duration(took) * time.Millisecond}
	}
	disable := func(ms, took, status int) Event {
		return call(ms, took, "/media-servers/disable?member=s-a", "a", status)
	}
	enable := func(ms int) Event { return call(ms, 1, "/media-servers/enable?member=s-a", "a", 200) }
	setUpSent := func(ms int, node string) Event {
		return Event{At: at(ms), Kind: SetUpSent, Manager: "m", Node: node, ID: fmt.Sprint(ms, node)}
	}
	managerEvent := func(ms int, k EventKind, text string) Event {
		return Event{At: at(ms), Kind: k, Manager: "m", Text: text}
	}
	frontSample := func(ms int, ready bool, idle, fresh int) Event {
		return Event{At: at(ms), Kind: FrontSampled, Manager: "m", Ready: ready, IdleConns: idle, RecentConns: fresh}
	}
	metricsRead := func(ms, process int, g Metrics) Event {
		return Event{At: at(ms), Kind: MetricsRead, Manager: "m", Process: process, Figures: &g}
	}
	repeat := func(e Event, n, gapMS int) (list []Event) {
		for i := range n {
			e.At = e.At.Add(time.Duration(gapMS) * time.Millisecond)
			e.ID = fmt.Sprint(e.Node, e.Kind, i)
			list = append(list, e)
		}
		return list
	}
	concat := func(list ...[]Event) (all []Event) {
		for _, x := range list {
			all = append(all, x...)
		}
		return all
	}
	list := func(e ...Event) []Event { return e }
	servedRequests := func(from, n int) (all []Event) { // requests of class clip, each sent once and served
		for i := range n {
			id := fmt.Sprint("r", from, "-", i)
			all = append(all, Event{At: at(from), Kind: SetUpRequested, Manager: "m", ID: id, Class: "clip", TimeLeft: time.Second},
				Event{At: at(from), Kind: SetUpSent, Manager: "m", Node: "b", ID: id},
				Event{At: at(from), Kind: SessionEstablished, Node: "b", ID: id, Text: "x"}, Event{At: at(from), Kind: SetUpAnswered, Node: "b", ID: id, Cause: 200},
				Event{At: at(from + 1), Kind: Answered, Outcome: Served, Manager: "m", ID: id, Text: "x"},
				Event{At: at(from + 2), Kind: SessionEnded, Manager: "m", Node: "b", ID: id}, Event{At: at(from + 3), Kind: ReleaseReceived, Manager: "m", ID: id})
		}
		return all
	}
	counters := func(n, tries int) Metrics { return Metrics{OK: map[string]int{"clip": n}, Tries: tries, PoolSize: 1} }
	established := func(n int) (all []Event) { // so many sessions that stand by then
		for i := range n {
			id := fmt.Sprint("s", i)
			all = append(all, Event{At: at(100), Kind: SetUpRequested, Manager: "m", ID: id, Class: "clip", TimeLeft: time.Second},
				Event{At: at(101), Kind: SessionEstablished, Node: "b", ID: id, Text: "x"}, Event{At: at(101), Kind: Answered, Outcome: Served, Manager: "m", ID: id, Text: "x"})
		}
		return all
	}
	listed := Event{At: at(-9000), Kind: ListUpdated, Manager: "m", Node: "a", Text: phaseInService}
	upgrade := list(managerEvent(1000, UpgradeStarted, ""), managerEvent(2000, SuccessorReady, ""), managerEvent(4000, ProcessReplaced, "ended"))
	turnedBack := Event{At: at(2100), Kind: RequestTurnedBack, Manager: "m", Text: "closed"}
	unanswered := func(ms int, text string) []Event {
		id := fmt.Sprint("lost", ms, text)
		return list(Event{At: at(ms), Kind: SetUpRequested, Manager: "m", ID: id, Class: "feed", TimeLeft: time.Second},
			Event{At: at(ms + 50), Kind: ViewerConnClosed, Manager: "m", ID: id, Text: text})
	}
	for name, e := range map[string]struct {
		events []Event
		rule   string
	}{
		"a call unanswered":                   {list(call(0, 1, "/drain", "", 0)), "calls"},
		"a call answered late":                {list(call(0, 2500, "/drain", "", 200)), "calls"},
		"a call to one that is killed":        {list(managerEvent(100, ManagerStopped, "killed"), call(0, 500, "/drain", "", 0)), ""},
		"sent before a ban binds":             {list(disable(0, 1, 200), setUpSent(200, "a")), ""},
		"sent under a ban":                    {list(disable(0, 1, 200), setUpSent(400, "a")), "bans"},
		"sent to another":                     {list(disable(0, 1, 200), setUpSent(400, "b")), ""},
		"a ban that is answered late binds":   {list(disable(0, 1800, 200), setUpSent(1500, "a")), ""},
		"and sooner than its answer":          {list(disable(0, 2000, 200), setUpSent(1900, "a"), setUpSent(2100, "a")), "bans"},
		"a ban that got a no":                 {list(disable(0, 1, 500), setUpSent(1400, "a")), "bans"},
		"sent after the call back":            {list(disable(0, 1, 200), disable(100, 1, 200), enable(1000), setUpSent(1001, "a")), ""},
		"out over an upgrade":                 {concat(list(disable(0, 1, 200)), upgrade, list(setUpSent(5000, "a"))), "bans"},
		"and after a start from nothing":      {list(disable(0, 1, 200), managerEvent(1000, ManagerStopped, "killed"), managerEvent(2000, ManagerServing, ""), setUpSent(5000, "a")), ""},
		"unused after the call back":          {concat(list(setUpSent(-10, "a"), disable(0, 1, 200), enable(1000)), repeat(setUpSent(1000, "b"), 80, 100)), "bans"},
		"used after it":                       {concat(list(setUpSent(-10, "a"), disable(0, 1, 200), enable(1000), setUpSent(5000, "a")), repeat(setUpSent(1000, "b"), 80, 100)), ""},
		"unused as ever":                      {concat(list(disable(0, 1, 200), enable(1000)), repeat(setUpSent(1000, "b"), 80, 100)), ""},
		"ready though drained":                {list(call(0, 1, "/drain", "", 200), frontSample(4000, true, 0, 0), frontSample(4600, true, 0, 0)), "drained"},
		"idle held though drained":            {list(call(0, 1, "/drain", "", 200), frontSample(4000, false, 1, 1), frontSample(4600, false, 1, 0)), "drained"},
		"busy held though drained":            {list(call(0, 1, "/drain", "", 200), frontSample(4600, false, 0, 1)), "drained"},
		"drained":                             {list(call(0, 1, "/drain", "", 200), frontSample(4000, true, 1, 1), frontSample(4600, false, 0, 0)), ""},
		"undrained at once":                   {list(call(0, 1, "/drain", "", 200), call(100, 1, "/undrain", "", 200), frontSample(1000, true, 1, 1), frontSample(4600, true, 1, 1)), ""},
		"not ready after undrain":             {list(call(0, 1, "/drain", "", 200), call(100, 1, "/undrain", "", 200), frontSample(3500, false, 0, 0)), "drained"},
		"two turned back in an upgrade":       {concat(upgrade, repeat(turnedBack, 2, 10)), ""},
		"three turned back in an upgrade":     {concat(upgrade, repeat(turnedBack, 3, 10)), "turned back"},
		"three turned back in none":           {repeat(turnedBack, 3, 10), ""},
		"an unread one is no lost one":        {concat(upgrade, unanswered(3000, connNeverAnswered)), ""},
		"but counts":                          {concat(upgrade, repeat(turnedBack, 2, 10), unanswered(3000, connNeverAnswered)), "turned back"},
		"one that was read is lost":           {concat(upgrade, unanswered(3000, "")), "one answer"},
		"an unread one without an upgrade":    {unanswered(3000, connNeverAnswered), "one answer"},
		"late with the yes":                   {list(managerEvent(0, UpgradeStarted, ""), managerEvent(11000, SuccessorReady, "")), "turned back"},
		"within the limits":                   {list(Event{At: at(0), Kind: ResourcesSampled, Manager: "m", Descriptors: 1024, MemoryMB: 128}), ""},
		"too many descriptors":                {list(Event{At: at(0), Kind: ResourcesSampled, Manager: "m", Descriptors: 1025}), "limits"},
		"too much memory":                     {list(Event{At: at(0), Kind: ResourcesSampled, Manager: "m", MemoryMB: 129}), "limits"},
		"true figures":                        {concat(list(listed), servedRequests(0, 20), list(metricsRead(900, 1, counters(20, 20)))), ""},
		"nearly true figures":                 {concat(list(listed), servedRequests(0, 20), list(metricsRead(900, 1, counters(17, 23)))), ""},
		"too few ok":                          {concat(list(listed), servedRequests(0, 20), list(metricsRead(900, 1, counters(16, 20)))), "figures"},
		"too many tries":                      {concat(list(listed), servedRequests(0, 20), list(metricsRead(900, 1, counters(20, 24)))), "figures"},
		"of a class that nobody asked for":    {concat(list(listed), list(metricsRead(900, 1, Metrics{Shed: map[string]int{"x": 4}, PoolSize: 1}))), "figures"},
		"of a wrong list":                     {list(listed, metricsRead(900, 1, Metrics{PoolSize: 2})), "figures"},
		"without a ban":                       {list(listed, disable(0, 1, 200), metricsRead(900, 1, Metrics{PoolSize: 1})), "figures"},
		"with a ban":                          {list(listed, disable(0, 1, 200), metricsRead(900, 1, Metrics{PoolSize: 1, PoolEjected: 1})), ""},
		"avoided by choice":                   {list(listed, metricsRead(900, 1, Metrics{PoolSize: 1, PoolEjected: 1})), ""},
		"avoided, more than there are":        {list(listed, metricsRead(900, 1, Metrics{PoolSize: 1, PoolEjected: 2})), "figures"},
		"active, though nothing is open":      {list(listed, metricsRead(900, 1, Metrics{PoolSize: 1, Active: 4})), "figures"},
		"active, as many as stand":            {concat(list(listed), established(60), list(metricsRead(900, 1, Metrics{OK: map[string]int{"clip": 60}, PoolSize: 1, Active: 54}))), ""},
		"active, too few":                     {concat(list(listed), established(60), list(metricsRead(900, 1, Metrics{OK: map[string]int{"clip": 60}, PoolSize: 1, Active: 53}))), "figures"},
		"active, which is half a second old":  {concat(list(listed), established(60), list(metricsRead(500, 1, Metrics{OK: map[string]int{"clip": 60}, PoolSize: 1}))), ""},
		"of two processes, one after another": {concat(list(listed), servedRequests(0, 20), list(metricsRead(900, 1, counters(20, 20))), upgrade, servedRequests(5000, 20), list(metricsRead(6000, 2, counters(20, 20)))), ""},
		"of which one counts what both did":   {concat(list(listed), servedRequests(0, 20), list(metricsRead(900, 1, counters(20, 20))), upgrade, servedRequests(5000, 20), list(metricsRead(6000, 2, counters(40, 40)))), "figures"},
		"what a killed one did last":          {concat(list(listed), servedRequests(0, 20), list(metricsRead(900, 1, counters(20, 20))), servedRequests(1000, 9), list(managerEvent(1100, ManagerStopped, "killed"), managerEvent(1200, ManagerServing, ""), metricsRead(2000, 2, counters(0, 0)))), ""},
		"what it did before its last figures": {concat(list(listed), servedRequests(0, 20), list(metricsRead(900, 1, counters(11, 20)), managerEvent(1100, ManagerStopped, "killed"), managerEvent(1200, ManagerServing, ""), metricsRead(2000, 2, counters(0, 0)))), "figures"},
	} {
		r := NewRecord()
		for _, x := range e.events {
			r.Add(x)
		}
		var rules []string
		for _, v := range Judge(r.Events(), DefaultLimits, at(60_000)) {
			if !slices.Contains(rules, v.Rule) {
				rules = append(rules, v.Rule)
			}
		}
		if got := strings.Join(rules, ", "); got != e.rule {
			t.Errorf("%s: wanted %q, got %q", name, e.rule, got)
		}
	}
}
