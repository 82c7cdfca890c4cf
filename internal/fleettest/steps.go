package fleettest

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"millethinge/internal/directive"
)

// readStep reads a step of an act with its arguments. These are the steps:
//
//	cut A… from B…        no data passes between A and B, and connections are refused
//	cut A… to B…          no data passes from A to B
//	heal A… from B…       ends cuts between A and B; heal alone ends all cuts
//	reset A… from B…      resets the open connections between A and B
//	delay A… to B… TIME   delays what A writes to B
//	trap M N out|back TOKEN reset|close|mute|after TIMES
//	                      triggers TIMES times on TOKEN in what manager M (out) or node N
//	                      (back) writes: the data is lost and the connection is reset, closed,
//	                      or mute from then on; after: the data arrives, then the connection is
//	                      reset. If N is viewers: in what M writes to them (out) or they to M (back)
//	trap-at M N out|back BYTES reset|close|mute|after TIMES
//	                      the same after BYTES bytes
//	untrap                removes all traps
//	kill, term, start, restart A…   managers; kill and start also nodes
//	pause, resume A…      managers, by SIGSTOP and SIGCONT
//	starve SHARE A…, feed A…        takes CPU time from managers, or gives it back
//	hang, unhang A…, fail SHARE A…  nodes
//	drain, gone, join A… [for LISTS]  the list sets the phase of nodes, for all or some managers
//	late TIME LISTS, silent LISTS, speak LISTS  updates of lists come late, not at all, or again
//	rate N                new viewers per second; with 0 no viewer retries either
//	burst N [MANAGER]     N viewers at once
//	mark                  sets the mark up to which unmarked searches the logs
//	end N NODE            ends N sessions of the node now
//	call M METHOD PATH STATUS…  an operator's call, and the accepted answers, as in 200, 4xx, any
//	disable N at M…, enable N at M…  disables or enables a node by a call to managers
//	empty, fill M…        drains or undrains managers by call
//	upgrade M [old|new TIME]  starts a successor of M; with old or new, that process is killed
//	                      TIME after the successor's start
//	stall N part|drip|body M…  N callers that never finish a call
//	aside STEP            performs STEP in the background; the condition aside waits for it
func (s *Scenario) readStep(d *directive.Directive) step {
	words := []string{"cut", "heal", "reset", "delay", "trap", "trap-at", "untrap", "kill", "term", "start", "restart", "pause", "resume",
		"starve", "feed", "hang", "unhang", "fail", "drain", "gone", "join", "late", "silent", "speak", "rate", "burst", "end", "mark",
		"call", "disable", "enable", "empty", "fill", "upgrade", "stall", "aside"}
	i := d.OneOf("a step", words...)
	if i < 0 {
		return step{}
	}
	word := words[i]
	result := step{name: word}
	switch word {
	case "cut", "heal", "reset", "delay":
		result.perform = s.readLinkFault(d, word)
	case "trap", "trap-at":
		result.perform = s.readTrap(d, word)
	case "untrap":
		result.perform = func(r *scenarioRun) error {
			r.eachRelay(r.All(), r.All(), func(l *Relay, _ Direction, _ string) { l.Untrap() })
			return nil
		}
	case "rate":
		rate := d.Float("sessions per second", 0, 1000)
		result.perform = func(r *scenarioRun) error { r.Viewers.SetRate(rate); return nil }
	case "mark":
		result.perform = func(r *scenarioRun) error {
			for _, m := range r.Managers {
				r.markedLines = append(r.markedLines, m.Log()...)
			}
			return nil
		}
	case "burst":
		n, m := d.Int("viewers", 1, 10000), s.readOptionalName(d)
		result.perform = func(r *scenarioRun) error {
			for range n {
				r.Viewers.Arrive(m)
			}
			return nil
		}
	case "end":
		n, node := d.Int("sessions", 1, 10000), d.Word("a node")
		s.checkNames(d, 3, node)
		result.perform = func(r *scenarioRun) error {
			if got := r.Nodes[node].EndSessions("", n); got < n {
				return fmt.Errorf("%s has only %d sessions to end", node, got)
			}
			return nil
		}
	case "call", "disable", "enable", "empty", "fill", "upgrade", "stall":
		result.perform = s.readOperation(d, word)
	case "aside":
		inner := s.readStep(d)
		result.perform = func(r *scenarioRun) error {
			r.background.Go(func() {
				if err := inner.perform(r); err != nil {
					r.reportFailure(fmt.Errorf("aside %s: %w", inner.name, err))
				}
			})
			return nil
		}
	case "drain", "gone", "join":
		result.perform = s.readListUpdate(d, word)
	case "late", "silent", "speak":
		var late time.Duration
		if word == "late" {
			late = d.Duration("a time", 0, maxDuration)
		}
		result.perform = s.forGroup(d, func(r *scenarioRun, g Group) error {
			for _, m := range append(g.lists, g.managers...) {
				if word == "late" {
					r.Coordinators[m].SetDelay(late)
				} else {
					r.Coordinators[m].SetSilent(word == "silent")
				}
			}
			return nil
		})
	default:
		share := 0.0
		if word == "starve" || word == "fail" {
			share = d.Float("a share", 0, 1)
		}
		result.perform = s.forGroup(d, func(r *scenarioRun, g Group) error { return r.applyTo(word, share, g) })
	}
	return result
}

// applyTo performs a step that has no arguments but a group of parties and a share.
func (r *scenarioRun) applyTo(word string, share float64, g Group) error {
	for _, m := range g.managers {
		p := r.Managers[m]
		var err error
		switch word {
		case "kill":
			err = p.Kill()
		case "term":
			// The manager counts as serving until it exits: how it handles the requests that it
			// accepted is judged.
			err = p.Terminate()
		case "start":
			err = p.Start()
		case "restart":
			if err = p.Terminate(); err == nil {
				err = p.Start()
			}
		case "pause":
			err = p.Pause()
		case "resume":
			err = p.Resume()
		case "starve":
			p.Starve(share)
		case "feed":
			p.StopStarving()
		default:
			err = fmt.Errorf("step %s does not apply to managers", word)
		}
		if err != nil {
			return err
		}
	}
	for _, n := range g.nodes {
		switch word {
		case "kill":
			r.KillNode(n)
		case "start":
			if err := r.StartNode(n); err != nil {
				return err
			}
		case "hang":
			r.Nodes[n].Hang()
		case "unhang":
			r.Nodes[n].Unhang()
		case "fail":
			r.Nodes[n].SetFailShare(share)
		default:
			return fmt.Errorf("step %s does not apply to nodes", word)
		}
	}
	return nil
}

// readOperation reads a step that calls a manager's admin address.
func (s *Scenario) readOperation(d *directive.Directive, word string) func(*scenarioRun) error {
	if !s.Plan.Admin {
		d.ReportFault(0, "wants the keyword admin before it")
	}
	switch word {
	case "call":
		m, method, path, expected := d.Word("a manager"), d.Word("a method"), d.Word("a path"), []string{d.Word("a status")}
		s.checkNames(d, 2, m)
		for d.More() {
			expected = append(expected, d.Word("a status"))
		}
		return func(r *scenarioRun) error {
			status, text, err := r.Call(m, method, path, "")
			got := fmt.Sprint(status)
			if slices.Contains(expected, "any") { // also no answer: the manager may stop during the call
				return nil
			}
			if err == nil && !slices.ContainsFunc(expected, func(s string) bool { return s == got || s == got[:1]+"xx" }) {
				err = fmt.Errorf("%s %s at %s: %s %s, not %s", method, path, m, got, text, strings.Join(expected, " or "))
			}
			return err
		}
	case "upgrade":
		m, victim := d.Word("a manager"), ""
		var after time.Duration
		s.checkNames(d, 2, m)
		if d.More() {
			victim = []string{"old", "new"}[max(d.OneOf("which is killed", "old", "new"), 0)]
			after = d.Duration("a time", 0, maxDuration)
		}
		return func(r *scenarioRun) error { return r.Upgrade(m, victim, after) }
	case "stall":
		n, kind := d.Int("callers", 1, 1000), []string{"part", "drip", "body"}[max(d.OneOf("a kind", "part", "drip", "body"), 0)]
		return s.forEachManager(d, func(r *scenarioRun, m string) error { r.StartStalledCallers(m, n, kind); return nil })
	case "disable", "enable":
		node := d.Word("a node")
		s.checkNames(d, 2, node)
		d.OneOf("where", "at")
		return s.forEachManager(d, func(r *scenarioRun, m string) error { return r.SetNodeDisabled(m, node, word == "disable") })
	}
	path := map[string]string{"empty": "/drain", "fill": "/undrain"}[word]
	return s.forEachManager(d, func(r *scenarioRun, m string) error {
		status, text, err := r.Call(m, "POST", path, "")
		if err == nil && status/100 != 2 {
			err = fmt.Errorf("%s at %s: %d %s", path, m, status, text)
		}
		return err
	})
}

// forEachManager reads names and returns a step that calls do for each manager they stand for.
func (s *Scenario) forEachManager(d *directive.Directive, do func(r *scenarioRun, m string) error) func(*scenarioRun) error {
	return s.forGroup(d, func(r *scenarioRun, g Group) error {
		for _, m := range g.managers {
			if err := do(r, m); err != nil {
				return err
			}
		}
		return nil
	})
}

// readNames reads names up to one of the stop words or the end of the directive, and returns
// the stop word that it found.
func (s *Scenario) readNames(d *directive.Directive, stopWords ...string) (names []string, stop string) {
	first := d.ArgumentIndex() + 1
	for d.More() {
		word := d.Word("a name")
		for _, stopWord := range stopWords {
			if word == stopWord {
				stop = word
			}
		}
		if stop != "" {
			break
		}
		names = append(names, word)
	}
	s.checkNames(d, first, names...)
	return names, stop
}

// forGroup reads at least one name and returns a step that calls do with the parties they
// stand for.
func (s *Scenario) forGroup(d *directive.Directive, do func(*scenarioRun, Group) error) func(*scenarioRun) error {
	names, _ := s.readNames(d)
	if len(names) == 0 {
		d.ReportFault(d.ArgumentIndex()+1, "wants names")
	}
	return func(r *scenarioRun) error {
		g, err := r.Find(names...)
		if err != nil {
			return err
		}
		return do(r, g)
	}
}

// readLinkFault reads a cut, heal, reset or delay.
func (s *Scenario) readLinkFault(d *directive.Directive, word string) func(*scenarioRun) error {
	if word == "heal" && !d.More() {
		return func(r *scenarioRun) error { r.Heal(r.All(), r.All()); return nil }
	}
	fromNames, stop := s.readNames(d, "from", "to")
	if stop == "" || word == "delay" && stop != "to" {
		d.ReportFault(d.ArgumentIndex()+1, "wants A… from B…, or A… to B…")
		return nil
	}
	var toNames []string
	var delay time.Duration
	if word == "delay" {
		for d.More() {
			w := d.Word("a name or a time")
			if t, err := time.ParseDuration(w); err == nil {
				delay = t
			} else {
				toNames = append(toNames, w)
			}
		}
	} else {
		toNames, _ = s.readNames(d)
	}
	return func(r *scenarioRun) error {
		from, err := r.Find(fromNames...)
		if err != nil {
			return err
		}
		to, err := r.Find(toNames...)
		if err != nil {
			return err
		}
		switch word {
		case "cut":
			r.Cut(from, to, stop == "to")
		case "heal":
			r.Heal(from, to)
		case "reset":
			r.Reset(from, to)
		case "delay":
			r.eachRelay(from, to, func(l *Relay, w Direction, _ string) { l.Delay(w, delay) })
		}
		return nil
	}
}

// readTrap reads a trap or trap-at.
func (s *Scenario) readTrap(d *directive.Directive, word string) func(*scenarioRun) error {
	manager, node := d.Word("a manager"), d.Word("a node")
	s.checkNames(d, 2, manager)
	s.checkNames(d, 3, node)
	way := Direction(max(d.OneOf("a direction", "out", "back"), 0))
	token, bytes := "", 0
	if word == "trap" {
		token = d.Word("what passes")
	} else {
		bytes = d.Int("bytes", 1, 1<<20)
	}
	act := TrapAction(max(d.OneOf("what becomes of it", "reset", "close", "mute", "after"), 0))
	times := d.Int("how often", 1, 10000)
	return func(r *scenarioRun) error {
		managers, err := r.Find(manager)
		if err != nil {
			return err
		}
		nodes, err := r.Find(node)
		if err != nil {
			return err
		}
		from, to := managers, nodes
		if way == FromTarget {
			from, to = nodes, managers
		}
		r.eachRelay(from, to, func(l *Relay, w Direction, viewersOf string) {
			if viewersOf != "" {
				r.Viewers.NoteReset(viewersOf)
			}
			if word == "trap" {
				l.Trap(w, token, times, act, nil)
			} else {
				l.TrapAt(w, bytes, times, act)
			}
		})
		return nil
	}
}

// readListUpdate reads a step that sets the phase of nodes in the lists.
func (s *Scenario) readListUpdate(d *directive.Directive, word string) func(*scenarioRun) error {
	names, stop := s.readNames(d, "for")
	lists := []string{"lists"}
	if stop != "" {
		lists, _ = s.readNames(d)
	}
	phase := map[string]string{"drain": phaseTerminating, "gone": phaseTerminated, "join": phaseInService}[word]
	return func(r *scenarioRun) error {
		nodes, err := r.Find(names...)
		if err != nil {
			return err
		}
		to, err := r.Find(lists...)
		if err != nil {
			return err
		}
		for _, n := range nodes.nodes {
			r.SetNodePhase(append(to.lists, to.managers...), n, phase)
		}
		return nil
	}
}

// readExpectation reads what must hold at the end in addition to the rules of Judge.
//
//	served SHARE           at least this share of all set-up requests
//	connects MANAGER NODE N  at most N connections were opened
//	sent NODE LEAST MOST   set-ups sent to the node
//	logged MANAGER TEXT, unlogged MANAGER TEXT
//	unmarked TEXT          in no manager's log up to the mark
//	order CHEAP DEAR       some requests of class CHEAP are refused, and a larger share than of DEAR
func (s *Scenario) readExpectation(d *directive.Directive) {
	words := []string{"served", "connects", "sent", "logged", "unlogged", "unmarked", "order"}
	i := d.OneOf("what can be expected", words...)
	if i < 0 {
		return
	}
	e := expectation{name: words[i]}
	switch words[i] {
	case "served":
		share := d.Float("a share", 0, 1)
		e.violation = func(r *scenarioRun) string {
			served, asked := r.Record.Count(eventConditions["served"]), r.Record.Count(eventConditions["asked"])
			if float64(served) < share*float64(asked) {
				return fmt.Sprintf("%d of %d set-up requests", served, asked)
			}
			return ""
		}
	case "connects":
		manager, n := d.Word("a manager"), d.Word("a node")
		most := d.Int("connections", 0, 1<<20)
		s.checkNames(d, 2, manager)
		s.checkNames(d, 3, n)
		e.violation = func(r *scenarioRun) string {
			if got := r.NodeRelays[manager][n].ConnsAccepted(); got > most {
				return fmt.Sprintf("%d connections were opened from %s to %s, more than %d", got, manager, n, most)
			}
			return ""
		}
	case "sent":
		n := d.Word("a node")
		least, most := d.Int("set-ups", 0, 1<<20), d.Int("set-ups", 0, 1<<20)
		s.checkNames(d, 2, n)
		e.violation = func(r *scenarioRun) string {
			got := r.Record.Count(func(e *Event) bool { return e.Kind == SetUpSent && e.Node == n })
			if got < least || got > most {
				return fmt.Sprintf("%d set-ups were sent to %s, not %d to %d", got, n, least, most)
			}
			return ""
		}
	case "order":
		cheapClass, dearClass := d.Word("a class"), d.Word("a class")
		e.violation = func(r *scenarioRun) string {
			refusedShare := func(class string) float64 {
				ids := map[string]bool{}
				for _, e := range r.Record.Events() {
					if e.Kind == SetUpRequested && e.Class == class {
						ids[e.ID] = true
					}
				}
				refused := r.Record.Count(func(e *Event) bool { return e.Kind == Answered && e.Outcome == Refused && ids[e.ID] })
				return float64(refused) / float64(max(len(ids), 1))
			}
			if c, d := refusedShare(cheapClass), refusedShare(dearClass); c == 0 || c <= d {
				return fmt.Sprintf("share refused: %.3f of %s, %.3f of %s", c, cheapClass, d, dearClass)
			}
			return ""
		}
	case "unmarked":
		text := d.Word("a part of a line")
		e.violation = func(r *scenarioRun) string {
			for _, l := range r.markedLines {
				if strings.Contains(l, text) {
					return fmt.Sprintf("%q was logged before the mark: %s", text, l)
				}
			}
			return ""
		}
	case "logged", "unlogged":
		expected := words[i] == "logged"
		manager, text := d.Word("a manager"), d.Word("a part of a line")
		s.checkNames(d, 2, manager)
		e.violation = func(r *scenarioRun) string {
			i := slices.IndexFunc(r.Managers[manager].Log(), func(l string) bool { return strings.Contains(l, text) })
			switch {
			case i < 0 && expected:
				return fmt.Sprintf("%q is not in the log of %s", text, manager)
			case i >= 0 && !expected:
				return fmt.Sprintf("%q is in the log of %s: %s", text, manager, r.Managers[manager].Log()[i])
			}
			return ""
		}
	}
	s.expectations = append(s.expectations, e)
}
