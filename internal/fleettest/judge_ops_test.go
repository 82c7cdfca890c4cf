package fleettest

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// Each rule on what operators do is broken by one record and kept by its neighbour.
func TestJudgeOfOperators(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	call := func(ms, took int, text, node string, status int) Event {
		return Event{At: at(ms + took), Kind: Called, Manager: "m", Node: node, Text: "POST " + text, Cause: status, Took: time.Duration(took) * time.Millisecond}
	}
	disable := func(ms, took, status int) Event {
		return call(ms, took, "/media-servers/disable?member=s-a", "a", status)
	}
	enable := func(ms int) Event { return call(ms, 1, "/media-servers/enable?member=s-a", "a", 200) }
	sent := func(ms int, node string) Event {
		return Event{At: at(ms), Kind: Sent, Manager: "m", Node: node, ID: fmt.Sprint(ms, node)}
	}
	did := func(ms int, k Kind, text string) Event { return Event{At: at(ms), Kind: k, Manager: "m", Text: text} }
	front := func(ms int, ready bool, idle, fresh int) Event {
		return Event{At: at(ms), Kind: Fronted, Manager: "m", Ready: ready, Idle: idle, Fresh: fresh}
	}
	figured := func(ms, process int, g Metrics) Event {
		return Event{At: at(ms), Kind: Figured, Manager: "m", Process: process, Figures: &g}
	}
	many := func(e Event, n, gap int) (l []Event) {
		for i := range n {
			e.At = e.At.Add(time.Duration(gap) * time.Millisecond)
			e.ID = fmt.Sprint(e.Node, e.Kind, i)
			l = append(l, e)
		}
		return l
	}
	join := func(l ...[]Event) (all []Event) {
		for _, x := range l {
			all = append(all, x...)
		}
		return all
	}
	l := func(e ...Event) []Event { return e }
	served := func(from, n int) (all []Event) { // requests of class clip, each sent once and served
		for i := range n {
			id := fmt.Sprint("r", from, "-", i)
			all = append(all, Event{At: at(from), Kind: Asked, Manager: "m", ID: id, Class: "clip", Left: time.Second},
				Event{At: at(from), Kind: Sent, Manager: "m", Node: "b", ID: id},
				Event{At: at(from), Kind: Ran, Node: "b", ID: id, Text: "x"}, Event{At: at(from), Kind: Said, Node: "b", ID: id, Cause: 200},
				Event{At: at(from + 1), Kind: Answered, Outcome: Served, Manager: "m", ID: id, Text: "x"},
				Event{At: at(from + 2), Kind: Ended, Manager: "m", Node: "b", ID: id}, Event{At: at(from + 3), Kind: Over, Manager: "m", ID: id})
		}
		return all
	}
	ok := func(n, tries int) Metrics { return Metrics{OK: map[string]int{"clip": n}, Tries: tries, PoolSize: 1} }
	stood := func(n int) (all []Event) { // so many sessions that stand by then
		for i := range n {
			id := fmt.Sprint("s", i)
			all = append(all, Event{At: at(100), Kind: Asked, Manager: "m", ID: id, Class: "clip", Left: time.Second},
				Event{At: at(101), Kind: Ran, Node: "b", ID: id, Text: "x"}, Event{At: at(101), Kind: Answered, Outcome: Served, Manager: "m", ID: id, Text: "x"})
		}
		return all
	}
	told := Event{At: at(-9000), Kind: Told, Manager: "m", Node: "a", Text: phaseInService}
	upgrade := l(did(1000, Renewing, ""), did(2000, Renewed, ""), did(4000, Replaced, "ended"))
	turned := Event{At: at(2100), Kind: TurnedBack, Manager: "m", Text: "closed"}
	lost := func(ms int, text string) []Event {
		id := fmt.Sprint("lost", ms, text)
		return l(Event{At: at(ms), Kind: Asked, Manager: "m", ID: id, Class: "feed", Left: time.Second},
			Event{At: at(ms + 50), Kind: Dropped, Manager: "m", ID: id, Text: text})
	}
	for name, e := range map[string]struct {
		events []Event
		rule   string
	}{
		"a call unanswered":                   {l(call(0, 1, "/drain", "", 0)), "calls"},
		"a call answered late":                {l(call(0, 2500, "/drain", "", 200)), "calls"},
		"a call to one that is killed":        {l(did(100, Stopped, "killed"), call(0, 500, "/drain", "", 0)), ""},
		"sent before a ban binds":             {l(disable(0, 1, 200), sent(200, "a")), ""},
		"sent under a ban":                    {l(disable(0, 1, 200), sent(400, "a")), "bans"},
		"sent to another":                     {l(disable(0, 1, 200), sent(400, "b")), ""},
		"a ban that is answered late binds":   {l(disable(0, 1800, 200), sent(1500, "a")), ""},
		"and sooner than its answer":          {l(disable(0, 2000, 200), sent(1900, "a"), sent(2100, "a")), "bans"},
		"a ban that got a no":                 {l(disable(0, 1, 500), sent(1400, "a")), "bans"},
		"sent after the call back":            {l(disable(0, 1, 200), disable(100, 1, 200), enable(1000), sent(1001, "a")), ""},
		"out over an upgrade":                 {join(l(disable(0, 1, 200)), upgrade, l(sent(5000, "a"))), "bans"},
		"and after a start from nothing":      {l(disable(0, 1, 200), did(1000, Stopped, "killed"), did(2000, Running, ""), sent(5000, "a")), ""},
		"unused after the call back":          {join(l(sent(-10, "a"), disable(0, 1, 200), enable(1000)), many(sent(1000, "b"), 80, 100)), "bans"},
		"used after it":                       {join(l(sent(-10, "a"), disable(0, 1, 200), enable(1000), sent(5000, "a")), many(sent(1000, "b"), 80, 100)), ""},
		"unused as ever":                      {join(l(disable(0, 1, 200), enable(1000)), many(sent(1000, "b"), 80, 100)), ""},
		"ready though drained":                {l(call(0, 1, "/drain", "", 200), front(4000, true, 0, 0), front(4600, true, 0, 0)), "drained"},
		"idle held though drained":            {l(call(0, 1, "/drain", "", 200), front(4000, false, 1, 1), front(4600, false, 1, 0)), "drained"},
		"busy held though drained":            {l(call(0, 1, "/drain", "", 200), front(4600, false, 0, 1)), "drained"},
		"drained":                             {l(call(0, 1, "/drain", "", 200), front(4000, true, 1, 1), front(4600, false, 0, 0)), ""},
		"undrained at once":                   {l(call(0, 1, "/drain", "", 200), call(100, 1, "/undrain", "", 200), front(1000, true, 1, 1), front(4600, true, 1, 1)), ""},
		"not ready after undrain":             {l(call(0, 1, "/drain", "", 200), call(100, 1, "/undrain", "", 200), front(3500, false, 0, 0)), "drained"},
		"two turned back in an upgrade":       {join(upgrade, many(turned, 2, 10)), ""},
		"three turned back in an upgrade":     {join(upgrade, many(turned, 3, 10)), "turned back"},
		"three turned back in none":           {many(turned, 3, 10), ""},
		"an unread one is no lost one":        {join(upgrade, lost(3000, connNeverAnswered)), ""},
		"but counts":                          {join(upgrade, many(turned, 2, 10), lost(3000, connNeverAnswered)), "turned back"},
		"one that was read is lost":           {join(upgrade, lost(3000, "")), "one answer"},
		"an unread one without an upgrade":    {lost(3000, connNeverAnswered), "one answer"},
		"late with the yes":                   {l(did(0, Renewing, ""), did(11000, Renewed, "")), "turned back"},
		"within the limits":                   {l(Event{At: at(0), Kind: Used, Manager: "m", Files: 1024, MB: 128}), ""},
		"too many descriptors":                {l(Event{At: at(0), Kind: Used, Manager: "m", Files: 1025}), "limits"},
		"too much memory":                     {l(Event{At: at(0), Kind: Used, Manager: "m", MB: 129}), "limits"},
		"true figures":                        {join(l(told), served(0, 20), l(figured(900, 1, ok(20, 20)))), ""},
		"nearly true figures":                 {join(l(told), served(0, 20), l(figured(900, 1, ok(17, 23)))), ""},
		"too few ok":                          {join(l(told), served(0, 20), l(figured(900, 1, ok(16, 20)))), "figures"},
		"too many tries":                      {join(l(told), served(0, 20), l(figured(900, 1, ok(20, 24)))), "figures"},
		"of a class that nobody asked for":    {join(l(told), l(figured(900, 1, Metrics{Shed: map[string]int{"x": 4}, PoolSize: 1}))), "figures"},
		"of a wrong list":                     {l(told, figured(900, 1, Metrics{PoolSize: 2})), "figures"},
		"without a ban":                       {l(told, disable(0, 1, 200), figured(900, 1, Metrics{PoolSize: 1})), "figures"},
		"with a ban":                          {l(told, disable(0, 1, 200), figured(900, 1, Metrics{PoolSize: 1, PoolEjected: 1})), ""},
		"avoided by choice":                   {l(told, figured(900, 1, Metrics{PoolSize: 1, PoolEjected: 1})), ""},
		"avoided, more than there are":        {l(told, figured(900, 1, Metrics{PoolSize: 1, PoolEjected: 2})), "figures"},
		"active, though nothing is open":      {l(told, figured(900, 1, Metrics{PoolSize: 1, Active: 4})), "figures"},
		"active, as many as stand":            {join(l(told), stood(60), l(figured(900, 1, Metrics{OK: map[string]int{"clip": 60}, PoolSize: 1, Active: 54}))), ""},
		"active, too few":                     {join(l(told), stood(60), l(figured(900, 1, Metrics{OK: map[string]int{"clip": 60}, PoolSize: 1, Active: 53}))), "figures"},
		"active, which is half a second old":  {join(l(told), stood(60), l(figured(500, 1, Metrics{OK: map[string]int{"clip": 60}, PoolSize: 1}))), ""},
		"of two processes, one after another": {join(l(told), served(0, 20), l(figured(900, 1, ok(20, 20))), upgrade, served(5000, 20), l(figured(6000, 2, ok(20, 20)))), ""},
		"of which one counts what both did":   {join(l(told), served(0, 20), l(figured(900, 1, ok(20, 20))), upgrade, served(5000, 20), l(figured(6000, 2, ok(40, 40)))), "figures"},
		"what a killed one did last":          {join(l(told), served(0, 20), l(figured(900, 1, ok(20, 20))), served(1000, 9), l(did(1100, Stopped, "killed"), did(1200, Running, ""), figured(2000, 2, ok(0, 0)))), ""},
		"what it did before its last figures": {join(l(told), served(0, 20), l(figured(900, 1, ok(11, 20)), did(1100, Stopped, "killed"), did(1200, Running, ""), figured(2000, 2, ok(0, 0)))), "figures"},
	} {
		r := NewRecord()
		for _, x := range e.events {
			r.Add(x)
		}
		var rules []string
		for _, v := range Judge(r.Events(), DefaultTerms, at(60_000)) {
			if !slices.Contains(rules, v.Rule) {
				rules = append(rules, v.Rule)
			}
		}
		if got := strings.Join(rules, ", "); got != e.rule {
			t.Errorf("%s: wanted %q, got %q", name, e.rule, got)
		}
	}
}
