package fleettest

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"millethinge/internal/directive"
)

// Scenario is a parsed scenario file: a fleet, a sequence of acts, and expectations that must
// hold at the end in addition to the rules of Judge.
type Scenario struct {
	Name           string
	Plan           FleetConfig
	acts           []act
	expectations   []expectation
	deferredChecks []func() // checks of names, which run after the whole file is read
}

// act is one act of a scenario: it waits for its conditions in order and then performs its
// steps.
type act struct {
	name       string
	conditions []condition
	steps      []step
}

// condition is what an act waits for. Exactly one of holds, delay and block is used.
type condition struct {
	name  string
	holds func(*scenarioRun) bool // polled until it returns true
	delay time.Duration           // how long to wait
	block func(*scenarioRun)      // returns when the wait is over
}

// step is one action of an act.
type step struct {
	name    string
	perform func(*scenarioRun) error
}

// expectation is a requirement checked after the last act.
type expectation struct {
	name      string
	violation func(*scenarioRun) string // describes the violation; empty if the expectation is met
}

// scenarioRun is the state of a Scenario while it is played.
type scenarioRun struct {
	*Fleet
	actStarted  time.Time      // when the current act began its steps
	markedLines []string       // log lines of all managers up to the last step mark
	background  sync.WaitGroup // steps started with aside
}

// maxDuration is the longest duration that a scenario may name.
const maxDuration = time.Minute

// Parse reads a scenario. open reads included files; if it is nil, includes are rejected. The
// error is a *directive.Faults with all faults of the file.
func Parse(name string, text []byte, open directive.ReadFileFunc) (*Scenario, error) {
	s := &Scenario{Name: name, Plan: FleetConfig{Seed: 1, WaitTimeout: defaultWaitTimeout, NodeModel: DefaultNodeModel, Terms: DefaultLimits,
		Load: Load{ClipShare: 0.35, TimeLeft: 3 * time.Second, RetryShare: 0.9, Titles: 8, ManagerWeights: map[string]float64{}}}}
	faults := new(directive.Faults)
	directive.Apply(directive.Parse(name, text, open, faults), nil, faults, s.directives())
	for _, f := range s.deferredChecks {
		f()
	}
	if err := faults.Err(); err != nil {
		return nil, err
	}
	t := &s.Plan.Terms
	t.Operations.Descriptors = cmp.Or(s.Plan.Sockets, t.Operations.Descriptors)
	t.WarmUp, t.NodeCapacity, t.InitialShare = s.Plan.NodeModel.WarmUpTime, s.Plan.NodeModel.MaxStreams, s.Plan.NodeModel.StartCapacityShare
	return s, nil
}

// directives returns the keywords of a scenario file.
func (s *Scenario) directives() []directive.Keyword {
	p := &s.Plan
	return []directive.Keyword{
		{Name: "seed", Usage: "N", Apply: func(d *directive.Directive) { p.Seed = uint64(d.Int("a number", 1, 1<<30)) }},
		{Name: "patience", Usage: "DURATION", Apply: func(d *directive.Directive) { p.WaitTimeout = d.Duration("a time", time.Second, maxDuration) }},
		{Name: "level", Usage: "LEVEL", Apply: func(d *directive.Directive) {
			p.LogLevel = []string{"debug", "info", "warn"}[max(d.OneOf("a level", "debug", "info", "warn"), 0)]
		}},
		{Name: "sockets", Usage: "N", Apply: func(d *directive.Directive) { p.Sockets = d.Int("a number of descriptors", 128, 4096) }},
		{Name: "admin", Apply: func(*directive.Directive) { p.Admin = true }},
		{Name: "hall", Usage: "NAME { … }", Repeatable: true, Required: true, Apply: s.readHall},
		{Name: "absent", Usage: "NODE…", Repeatable: true, Apply: func(d *directive.Directive) {
			for first := true; first || d.More(); first = false {
				p.Unlisted = append(p.Unlisted, d.Word("a node"))
			}
		}},
		{Name: "operator", Usage: "LINE", Repeatable: true, Apply: func(d *directive.Directive) {
			line, _ := d.Rest()
			p.OperatorConfig += strings.Trim(line, "`") + "\n"
		}},
		{Name: "load", Usage: "{ … }", Apply: s.readLoad},
		{Name: "node", Usage: "{ … }", Apply: s.readNode},
		{Name: "act", Usage: "NAME { … }", Repeatable: true, Apply: s.readAct},
		{Name: "expect", Usage: "WHAT …", Repeatable: true, Apply: s.readExpectation},
	}
}

// readHall reads a hall with its managers and nodes.
func (s *Scenario) readHall(d *directive.Directive) {
	h := Hall{Name: d.Word("a name")}
	names := func(to *[]string) func(*directive.Directive) {
		return func(d *directive.Directive) {
			for first := true; first || d.More(); first = false {
				*to = append(*to, d.Word("a name"))
			}
		}
	}
	d.Block(directive.Keyword{Name: "managers", Usage: "NAME…", Apply: names(&h.Managers)}, directive.Keyword{Name: "nodes", Usage: "NAME…", Apply: names(&h.Nodes)})
	s.Plan.Halls = append(s.Plan.Halls, h)
}

// readLoad reads the load that the viewers generate.
func (s *Scenario) readLoad(d *directive.Directive) {
	l := &s.Plan.Load
	d.Block(
		directive.Keyword{Name: "rate", Usage: "N", Apply: func(d *directive.Directive) { l.SessionsPerSecond = d.Float("sessions per second", 0, 1000) }},
		directive.Keyword{Name: "clip", Usage: "SHARE", Apply: func(d *directive.Directive) { l.ClipShare = d.Float("a share", 0, 1) }},
		directive.Keyword{Name: "again", Usage: "SHARE", Apply: func(d *directive.Directive) { l.RetryShare = d.Float("a share", 0, 1) }},
		directive.Keyword{Name: "titles", Usage: "N", Apply: func(d *directive.Directive) { l.Titles = d.Int("a number", 1, 1000) }},
		directive.Keyword{Name: "left", Usage: "DURATION", Apply: func(d *directive.Directive) { l.TimeLeft = d.Duration("a time", 100*time.Millisecond, maxDuration) }},
		directive.Keyword{Name: "weight", Usage: "MANAGER N", Repeatable: true, Apply: func(d *directive.Directive) {
			m := d.Word("a manager")
			l.ManagerWeights[m] = d.Float("a weight", 0, 1000)
			s.checkNames(d, 1, m)
		}},
	)
}

// readNode reads the model of the media nodes.
func (s *Scenario) readNode(d *directive.Directive) {
	m := &s.Plan.NodeModel
	two := func(to *[2]time.Duration) func(*directive.Directive) {
		return func(d *directive.Directive) {
			to[0] = d.Duration("a time", 0, maxDuration)
			to[1] = d.Duration("a longer time", to[0], maxDuration)
		}
	}
	d.Block(
		directive.Keyword{Name: "link", Usage: "KB", Apply: func(d *directive.Directive) { m.LinkKB = d.Float("kB per second", 1, 1e9) }},
		directive.Keyword{Name: "places", Usage: "N", Apply: func(d *directive.Directive) { m.MaxStreams = d.Int("streams", 1, 10000) }},
		directive.Keyword{Name: "warm", Usage: "DURATION", Apply: func(d *directive.Directive) { m.WarmUpTime = d.Duration("a time", time.Millisecond, maxDuration) }},
		directive.Keyword{Name: "share", Usage: "SHARE", Apply: func(d *directive.Directive) { m.StartCapacityShare = d.Float("a share", 0.01, 1) }},
		directive.Keyword{Name: "idle", Usage: "DURATION", Apply: func(d *directive.Directive) {
			m.ConnIdleTimeout = d.Duration("a time", 100*time.Millisecond, maxDuration)
		}},
		directive.Keyword{Name: "streams", Usage: "N", Apply: func(d *directive.Directive) { m.StreamsPerConn = d.Int("set-ups open on a connection", 1, 1000) }},
		directive.Keyword{Name: "answer", Usage: "FROM TO", Apply: two(&m.AnswerDelay)},
		directive.Keyword{Name: "length", Usage: "FROM TO", Apply: two(&m.SessionLength)},
	)
}

// checkNames registers a check that names are parties of the fleet. The check runs after all
// halls are read; it reports its fault at the argument with this number.
func (s *Scenario) checkNames(d *directive.Directive, argument int, names ...string) {
	s.deferredChecks = append(s.deferredChecks, func() {
		f := &Fleet{Config: s.Plan, Managers: map[string]*Manager{}, Nodes: map[string]*Node{}}
		for _, h := range s.Plan.Halls {
			for _, m := range h.Managers {
				f.Managers[m] = &Manager{}
			}
			for _, n := range h.Nodes {
				f.Nodes[n] = &Node{}
			}
		}
		if _, err := f.Find(names...); err != nil && !d.HasFault() {
			d.ReportFault(argument, "%v", err)
		}
	})
}

// readAct reads an act.
func (s *Scenario) readAct(d *directive.Directive) {
	a := act{name: d.Word("a name")}
	d.Block(
		directive.Keyword{Name: "when", Usage: "WHAT …", Repeatable: true, Apply: func(d *directive.Directive) {
			if len(a.steps) > 0 {
				d.ReportFault(0, "comes after do: an act waits for all its conditions first and then performs its steps")
			}
			a.conditions = append(a.conditions, s.readCondition(d))
		}},
		directive.Keyword{Name: "do", Usage: "WHAT …", Repeatable: true, Apply: func(d *directive.Directive) { a.steps = append(a.steps, s.readStep(d)) }},
	)
	s.acts = append(s.acts, a)
}

// eventConditions are the conditions that count events: of all parties, or of one node or
// manager.
var eventConditions = map[string]func(*Event) bool{
	"asked":    func(e *Event) bool { return e.Kind == SetUpRequested },
	"served":   func(e *Event) bool { return e.Kind == Answered && e.Outcome == Served },
	"refused":  func(e *Event) bool { return e.Kind == Answered && e.Outcome == Refused },
	"failed":   func(e *Event) bool { return e.Kind == Answered && e.Outcome == Failed },
	"answered": func(e *Event) bool { return e.Kind == Answered },
	"sent":     func(e *Event) bool { return e.Kind == SetUpSent },
	"came":     func(e *Event) bool { return e.Kind == SetUpReceived },
	"ended":    func(e *Event) bool { return e.Kind == SessionEnded },
	"over":     func(e *Event) bool { return e.Kind == ReleaseReceived },
}

// readCondition reads what an act waits for.
func (s *Scenario) readCondition(d *directive.Directive) condition {
	words := append([]string{"after", "standing", "logged", "quiet", "open", "aside"}, sortedKeys(eventConditions)...)
	i := d.OneOf("a condition", words...)
	if i < 0 {
		return condition{}
	}
	c := condition{name: words[i]}
	switch words[i] {
	case "after":
		c.delay = d.Duration("a time", 0, maxDuration)
	case "standing": // N [NODE]
		n, node := d.Int("sessions", 1, 1<<20), s.readOptionalName(d)
		c.holds = func(r *scenarioRun) bool {
			if node != "" {
				return r.Nodes[node].EstablishedSessions() >= n
			}
			return r.Fleet.EstablishedSessions() >= n
		}
	case "open": // N: set-up requests without an answer
		n := d.Int("set-ups", 1, 1<<20)
		c.holds = func(r *scenarioRun) bool {
			return r.Record.Count(eventConditions["asked"])-r.Record.Count(eventConditions["answered"]) >= n
		}
	case "logged":
		manager := d.Word("a manager")
		s.checkNames(d, 2, manager)
		text := d.Word("a part of a line")
		c.holds = func(r *scenarioRun) bool {
			return slices.ContainsFunc(r.Managers[manager].Log(), func(l string) bool { return strings.Contains(l, text) })
		}
	case "aside":
		c.block = func(r *scenarioRun) { r.background.Wait() }
	case "quiet":
		c.holds = func(r *scenarioRun) bool { return r.Fleet.EstablishedSessions() == 0 }
	default: // N [NODE or MANAGER], counted from the start of the steps of the previous act
		matches := eventConditions[words[i]]
		n, name := d.Int("how many", 1, 1<<20), s.readOptionalName(d)
		c.holds = func(r *scenarioRun) bool {
			return r.Record.Count(func(e *Event) bool {
				return matches(e) && !e.At.Before(r.actStarted) && (name == "" || e.Node == name || e.Manager == name)
			}) >= n
		}
	}
	return c
}

// readOptionalName reads the name of a node or a manager, or returns "" at the end of the
// directive.
func (s *Scenario) readOptionalName(d *directive.Directive) string {
	if !d.More() {
		return ""
	}
	name := d.Word("a name")
	s.checkNames(d, d.ArgumentIndex(), name)
	return name
}

// Play plays the scenario with the program at path binary, whose files go below folder. It
// returns the failures: violated rules with the traces of their sessions, managers that
// exited by themselves, and expectations that are not met. The fleet is stopped when Play
// returns. If onAct is not nil, it is called with the name of each act.
func (s *Scenario) Play(binary, folder string, onAct func(string)) (failures []string, record *Record) {
	f, err := New(s.Plan, binary, folder)
	//lint:ignore SA5001 New requires Close also when it returns an error.
	defer f.Close()
	if err != nil {
		return []string{err.Error()}, f.Record
	}
	r := &scenarioRun{Fleet: f, actStarted: time.Now()}
	f.Viewers.Run(f.done)
	if err := s.playActs(r, onAct); err != nil {
		failures = append(failures, err.Error())
	}
	r.background.Wait()
	if s.Plan.Admin {
		time.Sleep(600 * time.Millisecond) // the metrics include everything that is older than this
		for m := range f.Managers {
			f.scrapeMetrics(m)
		}
	}
	events := f.Record.Events()
	if found := Judge(events, s.Plan.Terms, time.Now()); len(found) > 0 {
		failures = append(failures, FormatVerdicts(found, events))
	}
	for _, e := range s.expectations {
		if why := e.violation(r); why != "" {
			failures = append(failures, "expected "+e.name+": "+why)
		}
	}
	for _, err := range f.Failures() {
		failures = append(failures, err.Error())
	}
	return failures, f.Record
}

// playActs plays the acts in order and returns the first error.
func (s *Scenario) playActs(r *scenarioRun, onAct func(string)) error {
	for _, a := range s.acts {
		for _, c := range a.conditions {
			if c.block != nil {
				c.block(r)
				continue
			}
			if c.holds == nil {
				time.Sleep(c.delay)
				continue
			}
			if err := r.WaitFor("act "+a.name+": "+c.name, func() bool { return c.holds(r) }); err != nil {
				return err
			}
		}
		if onAct != nil {
			onAct(a.name)
		}
		r.actStarted = time.Now()
		for _, d := range a.steps {
			if err := d.perform(r); err != nil {
				return fmt.Errorf("act %s: %s: %w", a.name, d.name, err)
			}
		}
	}
	return nil
}
