package fleettest

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestJudgeOperationRules checks each rule for operations with a record that violates it and
// with similar records that don't.
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
	frontSample := func(ms int, ready bool, idle, recent int) Event {
		return Event{At: at(ms), Kind: FrontSampled, Manager: "m", Ready: ready, IdleConns: idle, RecentConns: recent}
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
	established := func(n int) (all []Event) { // sessions established at 101 ms
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
		id := fmt.Sprint("unanswered", ms, text)
		return list(Event{At: at(ms), Kind: SetUpRequested, Manager: "m", ID: id, Class: "feed", TimeLeft: time.Second},
			Event{At: at(ms + 50), Kind: ViewerConnClosed, Manager: "m", ID: id, Text: text})
	}
	for name, e := range map[string]struct {
		events []Event
		rule   string
	}{
		"call without an answer":                                          {list(call(0, 1, "/drain", "", 0)), "calls"},
		"call answered late":                                              {list(call(0, 2500, "/drain", "", 200)), "calls"},
		"call to a manager that is killed meanwhile":                      {list(managerEvent(100, ManagerStopped, "killed"), call(0, 500, "/drain", "", 0)), ""},
		"set-up just after a node was disabled, within the overlap":       {list(disable(0, 1, 200), setUpSent(200, "a")), ""},
		"set-up to a disabled node":                                       {list(disable(0, 1, 200), setUpSent(400, "a")), "bans"},
		"set-up to another node":                                          {list(disable(0, 1, 200), setUpSent(400, "b")), ""},
		"set-up before a late answer to a call to disable":                {list(disable(0, 1800, 200), setUpSent(1500, "a")), ""},
		"set-up just after a late answer, past the effect of the call":    {list(disable(0, 2000, 200), setUpSent(1900, "a"), setUpSent(2100, "a")), "bans"},
		"set-up after a failed call to disable has taken effect":          {list(disable(0, 1, 500), setUpSent(1400, "a")), "bans"},
		"set-up after the node was enabled again":                         {list(disable(0, 1, 200), disable(100, 1, 200), enable(1000), setUpSent(1001, "a")), ""},
		"set-up to a node that was disabled before an upgrade":            {concat(list(disable(0, 1, 200)), upgrade, list(setUpSent(5000, "a"))), "bans"},
		"set-up to a node that was disabled before a fresh start":         {list(disable(0, 1, 200), managerEvent(1000, ManagerStopped, "killed"), managerEvent(2000, ManagerServing, ""), setUpSent(5000, "a")), ""},
		"enabled node stays unused":                                       {concat(list(setUpSent(-10, "a"), disable(0, 1, 200), enable(1000)), repeat(setUpSent(1000, "b"), 80, 100)), "bans"},
		"enabled node is used":                                            {concat(list(setUpSent(-10, "a"), disable(0, 1, 200), enable(1000), setUpSent(5000, "a")), repeat(setUpSent(1000, "b"), 80, 100)), ""},
		"enabled node stays unused, as before it was disabled":            {concat(list(disable(0, 1, 200), enable(1000)), repeat(setUpSent(1000, "b"), 80, 100)), ""},
		"drained manager reports ready":                                   {list(call(0, 1, "/drain", "", 200), frontSample(4000, true, 0, 0), frontSample(4600, true, 0, 0)), "drained"},
		"drained manager holds an idle connection":                        {list(call(0, 1, "/drain", "", 200), frontSample(4000, false, 1, 1), frontSample(4600, false, 1, 0)), "drained"},
		"drained manager holds a recently used connection":                {list(call(0, 1, "/drain", "", 200), frontSample(4600, false, 0, 1)), "drained"},
		"drained in time":                                                 {list(call(0, 1, "/drain", "", 200), frontSample(4000, true, 1, 1), frontSample(4600, false, 0, 0)), ""},
		"undrained at once":                                               {list(call(0, 1, "/drain", "", 200), call(100, 1, "/undrain", "", 200), frontSample(1000, true, 1, 1), frontSample(4600, true, 1, 1)), ""},
		"not ready after undrain":                                         {list(call(0, 1, "/drain", "", 200), call(100, 1, "/undrain", "", 200), frontSample(3500, false, 0, 0)), "drained"},
		"two requests turned back in an upgrade":                          {concat(upgrade, repeat(turnedBack, 2, 10)), ""},
		"three requests turned back in an upgrade":                        {concat(upgrade, repeat(turnedBack, 3, 10)), "turned back"},
		"three requests turned back without an upgrade":                   {repeat(turnedBack, 3, 10), ""},
		"unread request lost in an upgrade":                               {concat(upgrade, unanswered(3000, connNeverAnswered)), ""},
		"unread request lost in an upgrade counts as turned back":         {concat(upgrade, repeat(turnedBack, 2, 10), unanswered(3000, connNeverAnswered)), "turned back"},
		"read request lost in an upgrade":                                 {concat(upgrade, unanswered(3000, "")), "one answer"},
		"unread request lost without an upgrade":                          {unanswered(3000, connNeverAnswered), "one answer"},
		"successor ready late":                                            {list(managerEvent(0, UpgradeStarted, ""), managerEvent(11000, SuccessorReady, "")), "turned back"},
		"resources within the limits":                                     {list(Event{At: at(0), Kind: ResourcesSampled, Manager: "m", Descriptors: 1024, MemoryMB: 128}), ""},
		"too many descriptors":                                            {list(Event{At: at(0), Kind: ResourcesSampled, Manager: "m", Descriptors: 1025}), "limits"},
		"too much memory":                                                 {list(Event{At: at(0), Kind: ResourcesSampled, Manager: "m", MemoryMB: 129}), "limits"},
		"exact counters":                                                  {concat(list(listed), servedRequests(0, 20), list(metricsRead(900, 1, counters(20, 20)))), ""},
		"counters within the tolerance":                                   {concat(list(listed), servedRequests(0, 20), list(metricsRead(900, 1, counters(17, 23)))), ""},
		"ok counter too low":                                              {concat(list(listed), servedRequests(0, 20), list(metricsRead(900, 1, counters(16, 20)))), "figures"},
		"tries counter too high":                                          {concat(list(listed), servedRequests(0, 20), list(metricsRead(900, 1, counters(20, 24)))), "figures"},
		"shed counter for a class without requests":                       {concat(list(listed), list(metricsRead(900, 1, Metrics{Shed: map[string]int{"x": 4}, PoolSize: 1}))), "figures"},
		"pool size differs from the list":                                 {list(listed, metricsRead(900, 1, Metrics{PoolSize: 2})), "figures"},
		"disabled node not counted as ejected":                            {list(listed, disable(0, 1, 200), metricsRead(900, 1, Metrics{PoolSize: 1})), "figures"},
		"disabled node counted as ejected":                                {list(listed, disable(0, 1, 200), metricsRead(900, 1, Metrics{PoolSize: 1, PoolEjected: 1})), ""},
		"node avoided by the manager's own decision":                      {list(listed, metricsRead(900, 1, Metrics{PoolSize: 1, PoolEjected: 1})), ""},
		"more nodes ejected than listed":                                  {list(listed, metricsRead(900, 1, Metrics{PoolSize: 1, PoolEjected: 2})), "figures"},
		"active sessions reported, none open":                             {list(listed, metricsRead(900, 1, Metrics{PoolSize: 1, Active: 4})), "figures"},
		"active sessions within the tolerance":                            {concat(list(listed), established(60), list(metricsRead(900, 1, Metrics{OK: map[string]int{"clip": 60}, PoolSize: 1, Active: 54}))), ""},
		"active sessions too few":                                         {concat(list(listed), established(60), list(metricsRead(900, 1, Metrics{OK: map[string]int{"clip": 60}, PoolSize: 1, Active: 53}))), "figures"},
		"active sessions as of half a second before":                      {concat(list(listed), established(60), list(metricsRead(500, 1, Metrics{OK: map[string]int{"clip": 60}, PoolSize: 1}))), ""},
		"counters of both processes of an upgrade":                        {concat(list(listed), servedRequests(0, 20), list(metricsRead(900, 1, counters(20, 20))), upgrade, servedRequests(5000, 20), list(metricsRead(6000, 2, counters(20, 20)))), ""},
		"successor counts the requests of both processes":                 {concat(list(listed), servedRequests(0, 20), list(metricsRead(900, 1, counters(20, 20))), upgrade, servedRequests(5000, 20), list(metricsRead(6000, 2, counters(40, 40)))), "figures"},
		"requests of a killed process after the last read of its metrics": {concat(list(listed), servedRequests(0, 20), list(metricsRead(900, 1, counters(20, 20))), servedRequests(1000, 9), list(managerEvent(1100, ManagerStopped, "killed"), managerEvent(1200, ManagerServing, ""), metricsRead(2000, 2, counters(0, 0)))), ""},
		"requests of a killed process missing from its last read metrics": {concat(list(listed), servedRequests(0, 20), list(metricsRead(900, 1, counters(11, 20)), managerEvent(1100, ManagerStopped, "killed"), managerEvent(1200, ManagerServing, ""), metricsRead(2000, 2, counters(0, 0)))), "figures"},
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
