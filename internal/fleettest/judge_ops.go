package fleettest

import (
	"math"
	"slices"
	"strings"
	"time"
)

// OperationLimits are the figures of the rules on what operators do, with what a busy
// machine adds.
type OperationLimits struct {
	CallAnswer        time.Duration // for a call's answer
	DisableEffect     time.Duration // after the call a ban holds at the latest, whatever is answered
	DisableOverlap    time.Duration // by which what was written before a ban may be seen after it
	Reuse             time.Duration // within which a node is used again
	DrainTime         time.Duration // after the call to drain, until nothing is held
	UndrainTime       time.Duration // after the call back, until it says yes
	SuccessorStart    time.Duration // a second process's start
	SuccessorListTime time.Duration // after its yes, until what the list tells binds
	TurnedBack        int           // requests turned back in an upgrade
	Descriptors       int           // descriptors of all processes of a manager
	MemoryMB          float64       // and their memory
}

// DefaultOperationLimits are those of the operators' page.
var DefaultOperationLimits = OperationLimits{CallAnswer: 2 * time.Second, DisableEffect: time.Second, DisableOverlap: 250 * time.Millisecond, Reuse: 7 * time.Second,
	DrainTime: 4500 * time.Millisecond, UndrainTime: 3 * time.Second, SuccessorStart: 10 * time.Second, SuccessorListTime: 2 * time.Second, TurnedBack: 2, Descriptors: 1024, MemoryMB: managerMemoryMB}

// upgrade is a time in which a manager has two processes.
type upgrade struct {
	start, successorReady, end time.Time
	turnedBack                 int
}

// checkOperations judges what operators do: calls, bans, drains by call, upgrades.
func (j *judge) checkOperations(events []Event) {
	j.checkCalls(events)
	j.checkDisabledNodes(events)
	j.checkDrainedManagers(events)
	j.checkUpgrades(events)
}

// upgradeAt is the upgrade of a manager at a time, or nil.
func (j *judge) upgradeAt(manager string, at time.Time) *upgrade {
	for _, u := range j.upgrades[manager] {
		if !at.Before(u.start) && at.Before(u.end.Add(time.Second)) {
			return u
		}
	}
	return nil
}

// findUpgrades notes when managers had two processes.
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

// checkCalls wants each call answered in time, and what a manager holds within its limits.
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

// checkDisabledNodes wants nothing sent to a node from a manager's yes, or a second after the call,
// until its call back; and something soon after that.
func (j *judge) checkDisabledNodes(events []Event) {
	type pair struct{ manager, node string }
	type reenabling struct {
		key    time.Time
		others int // set-ups sent elsewhere since
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
				// Guard: what is sent while the call is answered is sent after it was made.
				for k := i - 1; k >= 0 && events[k].At.After(callTime); k-- {
					if earlier := &events[k]; earlier.Kind == SetUpSent && earlier.Manager == key.manager && earlier.Node == key.node {
						used[key] = true
					}
				}
				if _, ok := disabledFrom[key]; ok && used[key] {
					reenabled[key] = &reenabling{key: callTime}
				}
				delete(disabledFrom, key)
			}
		case NodeStopped, NodeStarted, ListUpdated: // who is away is not used; a start makes it cold, which is judged elsewhere
			for other := range reenabled {
				if other.node == e.Node && (e.Kind == NodeStopped || e.Kind == ListUpdated && e.Manager == other.manager && e.Text != phaseInService) {
					delete(reenabled, other)
				}
			}
		case ManagerServing:
			if e.Text == "" { // from nothing: a ban is kept over an upgrade alone
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
				j.report("bans", e.ID, "sent to %s by %s %v after it was taken out by hand", e.Node, e.Manager, e.At.Sub(effective).Round(time.Millisecond))
			}
			for other, state := range reenabled {
				if other.manager != e.Manager {
					continue
				}
				if state.others++; state.others >= 30 && e.At.After(state.key.Add(limits.Reuse)) {
					j.report("bans", "", "%s is left unused by %s for %v after its call back", other.node, other.manager, e.At.Sub(state.key).Round(time.Millisecond))
					delete(reenabled, other)
				}
			}
		}
	}
}

// enableCalledBefore tells whether the call back of a node had been made at a time, though its
// answer came later.
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

// checkDrainedManagers wants a manager that was drained by call to be not ready and to hold no idle
// and no busy connection of viewers, and to be ready again soon after the call back.
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
				j.report("drained", "", "%v after the call, %s: ready %v, %d connections held idle, %d with a request of late",
					e.At.Sub(since).Round(time.Millisecond), manager, e.Ready, e.IdleConns, e.RecentConns)
				delete(drained, manager)
			}
			since, ok := undrained[manager]
			if ok && e.Ready {
				delete(undrained, manager)
			} else if ok && e.At.Sub(since) > limits.UndrainTime {
				j.report("drained", "", "%s is not ready %v after the call back", manager, e.At.Sub(since).Round(time.Millisecond))
				delete(undrained, manager)
			}
		}
	}
}

// checkUpgrades holds what was turned back unheard in upgrades against what may be, and
// wants the second process ready in time.
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
				j.report("turned back", "", "%d requests unheard in the upgrade of %s at %s", u.turnedBack, manager, u.start.Format("15:04:05.000"))
			}
			if !u.successorReady.IsZero() && u.successorReady.Sub(u.start) > j.limits.Operations.SuccessorStart {
				j.report("turned back", "", "the second process of %s said yes after %v", manager, u.successorReady.Sub(u.start))
			}
		}
	}
}

// checkMetrics holds the last figures of all processes, summed, against what peers saw.
// What happened between the last look at a process and its end may be missing.
func (j *judge) checkMetrics(events []Event) {
	type process struct {
		manager string
		number  int
	}
	last, found := map[process]*Event{}, false
	uncertain := map[string][]interval{}
	lastSeen := map[string]time.Time{} // by manager: its last figures, or its start
	for i := range events {
		e := &events[i]
		switch e.Kind {
		case MetricsRead:
			found = true
			last[process{e.Manager, e.Process}] = e
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
			if byClass := last[process{e.Manager, e.Process}]; byClass != nil {
				from = byClass.At
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
	counts := map[string]*[2]int{} // least and most, by what and class
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
	for _, e := range last {
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

// managerState is how things stand with one manager.
type managerState struct {
	phases       map[string]string // phases by node
	disabled     map[string]bool
	poolChanged  time.Time       // when one of these changed last
	certain      map[string]bool // sessions that are open or stand
	possible     map[string]bool // and those whose end the manager may not know yet
	recentCounts []sessionCount  // of the last second or so
	started      time.Time       // of its process
}

type sessionCount struct {
	at                time.Time
	certain, possible int
}

// checkGauges holds each of the figures that tell how things stand against how they stood by
// the record, in the time before they were told.
func (j *judge) checkGauges(events []Event) {
	states := map[string]*managerState{}
	for i := range events {
		e := &events[i]
		manager := e.Manager
		if s := j.sessions[e.ID]; s != nil && s.request != nil {
			manager = s.request.Manager // whoever tells of it
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

// checkGaugeSample judges one report. The figures may be half a second old.
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
		if state.recentCounts[i].at.Before(oldest) { // how it stood then is in
			state.recentCounts = state.recentCounts[i:]
			break
		}
	}
	slack := func(node int) int { return max(3, int(math.Ceil(0.1*float64(node)))) }
	if metrics.Active < least-slack(least) || metrics.Active > most+slack(most) {
		j.report("figures", "", "active of %s is %d at %s, %d to %d were open or stood", e.Manager, metrics.Active, e.At.Format("15:04:05.000"), least, most)
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
		j.report("figures", "", "pool_size of %s is %d at %s, the list holds %d", e.Manager, metrics.PoolSize, e.At.Format("15:04:05.000"), size)
	}
	// Whom it avoids by choice can't be seen from outside: a short choice hides between
	// two set-ups.
	if metrics.PoolEjected < disabled || metrics.PoolEjected > size {
		j.report("figures", "", "pool_ejected of %s is %d at %s, %d of %d are out by hand", e.Manager, metrics.PoolEjected, e.At.Format("15:04:05.000"), disabled, size)
	}
}
