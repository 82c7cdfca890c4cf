package fleettest

import (
	"math"
	"slices"
	"strings"
	"time"
)

// OperationLimits holds the limits for the effects of operators' calls, widened by the delays
// of a busy machine.
type OperationLimits struct {
	CallAnswer        time.Duration // for the answer to a call
	DisableEffect     time.Duration // after a call to disable a node was made, until it takes effect even without an answer
	DisableOverlap    time.Duration // for which set-ups written before the override may still be recorded after it
	Reuse             time.Duration // after a node was enabled again, until it is used
	DrainTime         time.Duration // after a manager was drained, until it holds no idle or recently used connection
	UndrainTime       time.Duration // after a manager was undrained, until it reports ready
	SuccessorStart    time.Duration // from the start of a successor until it reports ready
	SuccessorListTime time.Duration // after a successor reports ready, until it must follow the list
	TurnedBack        int           // requests turned back unread in one upgrade
	Descriptors       int           // open file descriptors of all processes of a manager
	MemoryMB          float64       // memory of all processes of a manager
}

// DefaultOperationLimits are the limits that the operators' documentation states.
var DefaultOperationLimits = OperationLimits{CallAnswer: 2 * time.Second, DisableEffect: time.Second, DisableOverlap: 250 * time.Millisecond, Reuse: 7 * time.Second,
	DrainTime: 4500 * time.Millisecond, UndrainTime: 3 * time.Second, SuccessorStart: 10 * time.Second, SuccessorListTime: 2 * time.Second, TurnedBack: 2, Descriptors: 1024, MemoryMB: managerMemoryMB}

// upgrade is a time span in which a manager has two processes.
type upgrade struct {
	start, successorReady, end time.Time
	turnedBack                 int
}

// checkOperations checks the effects of what operators do: calls, disabled nodes, drained
// managers and upgrades.
func (j *judge) checkOperations(events []Event) {
	j.checkCalls(events)
	j.checkDisabledNodes(events)
	j.checkDrainedManagers(events)
	j.checkUpgrades(events)
}

// upgradeAt returns the upgrade of a manager at a time, or nil. An upgrade counts for a
// second after its end.
func (j *judge) upgradeAt(manager string, at time.Time) *upgrade {
	for _, u := range j.upgrades[manager] {
		if !at.Before(u.start) && at.Before(u.end.Add(time.Second)) {
			return u
		}
	}
	return nil
}

// findUpgrades records when each manager had two processes.
func (j *judge) findUpgrades(events []Event) {
	for i := range events {
		e := &events[i]
		upgrades := j.upgrades[e.Manager]
		switch {
		case e.Kind == UpgradeStarted:
			j.upgrades[e.Manager] = append(upgrades, &upgrade{start: e.At, end: j.recordEnd})
		case e.Kind == SuccessorReady && len(upgrades) > 0:
			upgrades[len(upgrades)-1].successorReady = e.At
		case e.Kind == ProcessReplaced && len(upgrades) > 0:
			upgrades[len(upgrades)-1].end = e.At
		}
	}
}

// checkCalls checks that each call is answered in time and that each manager stays within
// its limits of descriptors and memory. Calls that coincide with a disruption or the stop of
// the manager are not judged.
func (j *judge) checkCalls(events []Event) {
	for i := range events {
		e := &events[i]
		if t := &j.limits.Operations; e.Kind == ResourcesSampled && (e.Descriptors > t.Descriptors || e.MemoryMB > t.MemoryMB) {
			j.report("limits", "", "%s holds %d descriptors and %.0f MB at %s", e.Manager, e.Descriptors, e.MemoryMB, e.At.Format("15:04:05.000"))
		}
		stoppedRecently := func(t time.Time) bool { return t.Before(e.At) && e.At.Sub(t) < 10*time.Second }
		if e.Kind != OperatorCalled || j.disrupted(e.Manager, e.At.Add(-e.Elapsed), e.At) || slices.ContainsFunc(j.stopRequests[e.Manager], stoppedRecently) {
			continue
		}
		if e.Cause == 0 || e.Elapsed > j.limits.Operations.CallAnswer {
			j.report("calls", "", "%s at %s: status %d after %v", e.Text, e.Manager, e.Cause, e.Elapsed.Round(time.Millisecond))
		}
	}
}

// checkDisabledNodes checks that a manager sends no set-ups to a node from the successful
// answer to the call that disables it, or DisableEffect after the call was made if that is
// earlier, until it is enabled again; and that the node is used soon after that.
func (j *judge) checkDisabledNodes(events []Event) {
	type pair struct{ manager, node string }
	type reenabling struct {
		callTime      time.Time
		sentElsewhere int // set-ups sent to other nodes since
	}
	disabledFrom, reenabled, used := map[pair]time.Time{}, map[pair]*reenabling{}, map[pair]bool{}
	limits := &j.limits.Operations
	for i := range events {
		e := &events[i]
		key := pair{e.Manager, e.Node}
		switch e.Kind {
		case OperatorCalled:
			callTime := e.At.Add(-e.Elapsed)
			switch {
			case e.Node == "":
			case strings.Contains(e.Text, "/disable"):
				effective := e.At
				if latest := callTime.Add(limits.DisableEffect); latest.Before(effective) || e.Cause/100 != 2 {
					effective = latest
				}
				if _, ok := disabledFrom[key]; !ok {
					disabledFrom[key] = effective
				}
				delete(reenabled, key)
			case strings.Contains(e.Text, "/enable"):
				// Guard: a set-up sent between the call and its answer counts as sent after the call.
				for k := i - 1; k >= 0 && events[k].At.After(callTime); k-- {
					if earlier := &events[k]; earlier.Kind == SetUpSent && earlier.Manager == key.manager && earlier.Node == key.node {
						used[key] = true
					}
				}
				if _, ok := disabledFrom[key]; ok && used[key] {
					reenabled[key] = &reenabling{callTime: callTime}
				}
				delete(disabledFrom, key)
			}
		case NodeStopped, NodeStarted, ListUpdated: // an unavailable node is not used; cold starts are judged by checkColdNodes
			for other := range reenabled {
				if other.node == e.Node && (e.Kind == NodeStopped || e.Kind == ListUpdated && e.Manager == other.manager && e.Text != phaseInService) {
					delete(reenabled, other)
				}
			}
		case ManagerServing:
			if e.Text == "" { // a fresh start: overrides survive only upgrades
				for other := range disabledFrom {
					if other.manager == e.Manager {
						delete(disabledFrom, other)
					}
				}
			}
		case SetUpSent:
			used[key] = true
			delete(reenabled, key)
			if effective, ok := disabledFrom[key]; ok && e.At.After(effective.Add(limits.DisableOverlap)) && !j.enableCalledBefore(events[i+1:], key.manager, key.node, e.At) {
				j.report("bans", e.ID, "sent to %s by %s %v after the node was disabled", e.Node, e.Manager, e.At.Sub(effective).Round(time.Millisecond))
			}
			for other, state := range reenabled {
				if other.manager != e.Manager {
					continue
				}
				if state.sentElsewhere++; state.sentElsewhere >= 30 && e.At.After(state.callTime.Add(limits.Reuse)) {
					j.report("bans", "", "%s is left unused by %s for %v after it was enabled again", other.node, other.manager, e.At.Sub(state.callTime).Round(time.Millisecond))
					delete(reenabled, other)
				}
			}
		}
	}
}

// enableCalledBefore reports whether a call to enable a node had been made before a time,
// even though its answer came later.
func (j *judge) enableCalledBefore(events []Event, manager, node string, at time.Time) bool {
	for i := range events {
		e := &events[i]
		if e.Kind == OperatorCalled && e.Manager == manager && e.Node == node && strings.Contains(e.Text, "/enable") && e.At.Add(-e.Elapsed).Before(at) {
			return true
		}
		if e.At.After(at.Add(6 * time.Second)) {
			break
		}
	}
	return false
}

// checkDrainedManagers checks that a drained manager reports not ready and holds neither
// idle nor recently used viewer connections, and that it reports ready soon after it was
// undrained.
func (j *judge) checkDrainedManagers(events []Event) {
	drained, undrained := map[string]time.Time{}, map[string]time.Time{}
	limits := &j.limits.Operations
	for i := range events {
		e := &events[i]
		manager := e.Manager
		switch {
		case e.Kind == OperatorCalled && e.Text == "POST /drain" && e.Cause/100 == 2:
			if _, ok := drained[manager]; !ok {
				drained[manager] = e.At
			}
			delete(undrained, manager)
		case e.Kind == OperatorCalled && e.Text == "POST /undrain" && e.Cause/100 == 2:
			if _, ok := drained[manager]; ok {
				undrained[manager] = e.At
			}
			delete(drained, manager)
		case e.Kind == ManagerStopRequested, e.Kind == ManagerStopped, e.Kind == ViewersCut, e.Kind == ManagerServing && e.Text == "":
			delete(drained, manager)
			delete(undrained, manager)
		case e.Kind == FrontSampled:
			if since, ok := drained[manager]; ok && e.At.Sub(since) > limits.DrainTime && (e.Ready || e.IdleConns > 0 || e.RecentConns > 0) {
				j.report("drained", "", "%v after the call, %s: ready %v, %d idle connections, %d with a recent request",
					e.At.Sub(since).Round(time.Millisecond), manager, e.Ready, e.IdleConns, e.RecentConns)
				delete(drained, manager)
			}
			since, ok := undrained[manager]
			if ok && e.Ready {
				delete(undrained, manager)
			} else if ok && e.At.Sub(since) > limits.UndrainTime {
				j.report("drained", "", "%s is not ready %v after the call to undrain it", manager, e.At.Sub(since).Round(time.Millisecond))
				delete(undrained, manager)
			}
		}
	}
}

// checkUpgrades checks how many requests are turned back unread in an upgrade, and that the
// successor is ready in time.
func (j *judge) checkUpgrades(events []Event) {
	for i := range events {
		if e := &events[i]; e.Kind == RequestTurnedBack {
			if u := j.upgradeAt(e.Manager, e.At); u != nil && !j.disrupted(e.Manager, e.At.Add(-time.Second), e.At) {
				u.turnedBack++
			}
		}
	}
	for manager, upgrades := range j.upgrades {
		for _, u := range upgrades {
			if u.turnedBack > j.limits.Operations.TurnedBack {
				j.report("turned back", "", "%d requests unread in the upgrade of %s at %s", u.turnedBack, manager, u.start.Format("15:04:05.000"))
			}
			if !u.successorReady.IsZero() && u.successorReady.Sub(u.start) > j.limits.Operations.SuccessorStart {
				j.report("turned back", "", "the successor of %s was ready after %v", manager, u.successorReady.Sub(u.start))
			}
		}
	}
}

// checkMetrics checks the last counters of all processes, summed, against what the peers saw.
// Events between the last read of a process's metrics and its end may be missing from them.
func (j *judge) checkMetrics(events []Event) {
	type process struct {
		manager string
		number  int
	}
	lastReads, found := map[process]*Event{}, false
	uncertain := map[string][]interval{}
	lastSeen := map[string]time.Time{} // by manager: when its metrics were last read, or its start
	for i := range events {
		e := &events[i]
		switch e.Kind {
		case MetricsRead:
			found = true
			lastReads[process{e.Manager, e.Process}] = e
			lastSeen[e.Manager] = e.At
		case ManagerServing:
			if e.Text == "" {
				lastSeen[e.Manager] = e.At
			}
		case ManagerStopped, ProcessReplaced:
			if e.Text == "paused" {
				continue
			}
			from := lastSeen[e.Manager]
			if lastRead := lastReads[process{e.Manager, e.Process}]; lastRead != nil {
				from = lastRead.At
			}
			uncertain[e.Manager] = append(uncertain[e.Manager], interval{from.Add(-700 * time.Millisecond), e.At.Add(100 * time.Millisecond)})
		}
	}
	if !found {
		return
	}
	isUncertain := func(e *Event) bool {
		for _, s := range uncertain[e.Manager] {
			if e.At.After(s.from) && e.At.Before(s.to) {
				return true
			}
		}
		return false
	}
	counts := map[string]*[2]int{} // lower and upper bound, by metric and class
	count := func(name string, certain bool) {
		if counts[name] == nil {
			counts[name] = new([2]int)
		}
		counts[name][1]++
		if certain {
			counts[name][0]++
		}
	}
	for _, id := range j.ids {
		s := j.sessions[id]
		if s.request == nil {
			continue
		}
		certain := len(s.answers) > 0 && (s.abandoned == nil || s.answers[0].At.Before(s.abandoned.At)) && !isUncertain(s.answers[0])
		for outcome, name := range [...]string{Served: "ok", Refused: "shed", Failed: "errors"} {
			if name != "" && (!certain || s.answers[0].Outcome == Outcome(outcome)) {
				count(name+" "+s.request.Class, certain)
			}
		}
		for _, e := range s.attempts {
			count("tries", !isUncertain(e))
		}
	}
	reported := map[string]int{}
	for _, e := range lastReads {
		for name, byClass := range map[string]map[string]int{"ok": e.Figures.OK, "shed": e.Figures.Shed, "errors": e.Figures.Errors} {
			for class, n := range byClass {
				reported[name+" "+class] += n
			}
		}
		reported["tries"] += e.Figures.Tries
	}
	for name := range counts {
		reported[name] += 0
	}
	for _, name := range sortedKeys(reported) {
		bounds := counts[name]
		if bounds == nil {
			bounds = new([2]int)
		}
		tolerance := 0.01
		if name == "tries" {
			tolerance = 0.02
		}
		if n := reported[name]; float64(n) < float64(bounds[0])-max(3, tolerance*float64(bounds[0])) || float64(n) > float64(bounds[1])+max(3, tolerance*float64(bounds[1])) {
			j.report("figures", "", "%s: managers report %d, peers saw %d to %d", name, n, bounds[0], bounds[1])
		}
	}
	j.checkGauges(events)
}

// managerState is the state of one manager as the record shows it at a time.
type managerState struct {
	phases       map[string]string // by node, as listed by the coordinator
	disabled     map[string]bool   // nodes that operators disabled
	poolChanged  time.Time         // last change of phases or disabled
	certain      map[string]bool   // IDs of sessions that are open or established
	possible     map[string]bool   // these, and those whose end the manager may not know yet
	recentCounts []sessionCount    // of roughly the last second
	started      time.Time         // start of its process
}

// sessionCount holds the numbers of certain and possible sessions at a time.
type sessionCount struct {
	at                time.Time
	certain, possible int
}

// checkGauges checks each gauge that a manager reports against the states that the record
// shows shortly before the report.
func (j *judge) checkGauges(events []Event) {
	states := map[string]*managerState{}
	for i := range events {
		e := &events[i]
		manager := e.Manager
		if s := j.sessions[e.ID]; s != nil && s.request != nil {
			manager = s.request.Manager // whichever party recorded the event
		}
		state := states[manager]
		if state == nil {
			state = &managerState{phases: map[string]string{}, disabled: map[string]bool{}, certain: map[string]bool{}, possible: map[string]bool{}}
			states[manager] = state
		}
		switch {
		case e.Kind == ListUpdated:
			state.phases[e.Node], state.poolChanged = e.Text, e.At
		case e.Kind == OperatorCalled && e.Node != "" && e.Cause/100 == 2:
			state.disabled[e.Node], state.poolChanged = strings.Contains(e.Text, "/disable"), e.At
		case e.Kind == ManagerServing && e.Text == "":
			clear(state.certain)
			clear(state.possible)
			state.started = e.At
		case e.Kind == SetUpRequested:
			state.certain[e.ID], state.possible[e.ID] = true, true
		case e.Kind == SessionEnded, e.Kind == SessionLost, e.Kind == SessionTornDown:
			delete(state.certain, e.ID)
		case e.Kind == Answered && e.Outcome != Served, e.Kind == ReleaseReceived, e.Kind == MoveReceived, e.Kind == SetUpAbandoned, e.Kind == ViewerConnClosed:
			delete(state.certain, e.ID)
			delete(state.possible, e.ID)
		case e.Kind == MetricsRead:
			j.checkGaugeSample(state, e)
		}
		state.recentCounts = append(state.recentCounts, sessionCount{e.At, len(state.certain), len(state.possible)})
	}
}

// checkGaugeSample checks the gauges of one read of a manager's metrics, which may be half a
// second old.
func (j *judge) checkGaugeSample(state *managerState, e *Event) {
	metrics, oldest := e.Figures, e.At.Add(-e.Elapsed-600*time.Millisecond)
	upgrading := slices.ContainsFunc(j.upgrades[e.Manager], func(u *upgrade) bool {
		return e.At.After(u.start) && e.At.Before(u.end.Add(5*time.Second))
	})
	if upgrading || state.started.After(oldest) || j.disrupted(e.Manager, oldest, e.At) {
		return
	}
	least, most := len(state.certain), len(state.possible)
	for i := len(state.recentCounts) - 1; i >= 0; i-- {
		least, most = min(least, state.recentCounts[i].certain), max(most, state.recentCounts[i].possible)
		if state.recentCounts[i].at.Before(oldest) { // the state at that time is included
			state.recentCounts = state.recentCounts[i:]
			break
		}
	}
	slack := func(n int) int { return max(3, int(math.Ceil(0.1*float64(n)))) }
	if metrics.Active < least-slack(least) || metrics.Active > most+slack(most) {
		j.report("figures", "", "active of %s is %d at %s, %d to %d sessions were open or established", e.Manager, metrics.Active, e.At.Format("15:04:05.000"), least, most)
	}
	if state.poolChanged.After(oldest) {
		return
	}
	size, disabled := 0, 0
	for node, phase := range state.phases {
		if phase == phaseTerminated {
			continue
		}
		size++
		if state.disabled[node] {
			disabled++
		}
	}
	if metrics.PoolSize != size {
		j.report("figures", "", "pool_size of %s is %d at %s, the list holds %d nodes", e.Manager, metrics.PoolSize, e.At.Format("15:04:05.000"), size)
	}
	// Nodes that the manager avoids by its own decision can't be seen from outside: a short
	// avoidance falls between two set-ups.
	if metrics.PoolEjected < disabled || metrics.PoolEjected > size {
		j.report("figures", "", "pool_ejected of %s is %d at %s, %d of %d nodes are disabled", e.Manager, metrics.PoolEjected, e.At.Format("15:04:05.000"), disabled, size)
	}
}
