package fleettest

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"millethinge/internal/conf"
)

// Scenario is what a test plays: a fleet, what happens to it and in which order,
// and what must hold beside the rules.
type Scenario struct {
	Name   string
	Plan   FleetConfig
	acts   []act
	expect []expectation
	check  []func() // what names other parts, checked when all is read
}

// act is a step: it waits for its conditions, one after the other, and then does.
type act struct {
	name string
	when []condition
	do   []step
}

type condition struct {
	what  string
	ready func(*run) bool
	wait  time.Duration // instead: so long
	after func(*run)    // instead: until it returns
}

type step struct {
	what string
	do   func(*run) error
}

type expectation struct {
	what  string
	holds func(*run) string // what is wrong, or ""
}

// run is a Scenario while it is played.
type run struct {
	*Fleet
	began  time.Time // of the act
	marked []string  // what managers had logged at the mark
	aside  sync.WaitGroup
}

const longest = time.Minute

// Parse reads a scenario. open reads what it includes; nil: nothing can be included. The
// error is a *conf.Faults, which tells all that is wrong.
func Parse(name string, text []byte, open conf.Open) (*Scenario, error) {
	s := &Scenario{Name: name, Plan: FleetConfig{Seed: 1, WaitTimeout: patience, NodeModel: DefaultNodeModel, Terms: DefaultTerms,
		Load: Load{ClipShare: 0.35, TimeLeft: 3 * time.Second, RetryShare: 0.9, Titles: 8, ManagerWeights: map[string]float64{}}}}
	faults := new(conf.Faults)
	conf.Read(conf.Parse(name, text, open, faults), nil, faults, s.keys())
	for _, f := range s.check {
		f()
	}
	if err := faults.Err(); err != nil {
		return nil, err
	}
	t := &s.Plan.Terms
	t.Ops.Files = cmp.Or(s.Plan.Sockets, t.Ops.Files)
	t.Warm, t.Places, t.Share = s.Plan.NodeModel.WarmUpTime, s.Plan.NodeModel.MaxStreams, s.Plan.NodeModel.StartCapacityShare
	return s, nil
}

func (s *Scenario) keys() []conf.Key {
	p := &s.Plan
	return []conf.Key{
		{Name: "seed", Usage: "N", Read: func(d *conf.Directive) { p.Seed = uint64(d.Int("a number", 1, 1<<30)) }},
		{Name: "patience", Usage: "DURATION", Read: func(d *conf.Directive) { p.WaitTimeout = d.Duration("a time", time.Second, longest) }},
		{Name: "level", Usage: "LEVEL", Read: func(d *conf.Directive) {
			p.LogLevel = []string{"debug", "info", "warn"}[max(d.OneOf("a level", "debug", "info", "warn"), 0)]
		}},
		{Name: "sockets", Usage: "N", Read: func(d *conf.Directive) { p.Sockets = d.Int("a number of descriptors", 128, 4096) }},
		{Name: "admin", Read: func(*conf.Directive) { p.Admin = true }},
		{Name: "hall", Usage: "NAME { … }", Many: true, Must: true, Read: s.hall},
		{Name: "absent", Usage: "NODE…", Many: true, Read: func(d *conf.Directive) {
			for first := true; first || d.More(); first = false {
				p.Unlisted = append(p.Unlisted, d.Word("a node"))
			}
		}},
		{Name: "operator", Usage: "LINE", Many: true, Read: func(d *conf.Directive) {
			line, _ := d.Rest()
			p.OperatorConfig += strings.Trim(line, "`") + "\n"
		}},
		{Name: "load", Usage: "{ … }", Read: s.load},
		{Name: "node", Usage: "{ … }", Read: s.node},
		{Name: "act", Usage: "NAME { … }", Many: true, Read: s.act},
		{Name: "expect", Usage: "WHAT …", Many: true, Read: s.expects},
	}
}

func (s *Scenario) hall(d *conf.Directive) {
	h := Hall{Name: d.Word("a name")}
	names := func(to *[]string) func(*conf.Directive) {
		return func(d *conf.Directive) {
			for first := true; first || d.More(); first = false {
				*to = append(*to, d.Word("a name"))
			}
		}
	}
	d.Block(conf.Key{Name: "managers", Usage: "NAME…", Read: names(&h.Managers)}, conf.Key{Name: "nodes", Usage: "NAME…", Read: names(&h.Nodes)})
	s.Plan.Halls = append(s.Plan.Halls, h)
}

func (s *Scenario) load(d *conf.Directive) {
	l := &s.Plan.Load
	d.Block(
		conf.Key{Name: "rate", Usage: "N", Read: func(d *conf.Directive) { l.SessionsPerSecond = d.Float("sessions a second", 0, 1000) }},
		conf.Key{Name: "clip", Usage: "SHARE", Read: func(d *conf.Directive) { l.ClipShare = d.Float("a share", 0, 1) }},
		conf.Key{Name: "again", Usage: "SHARE", Read: func(d *conf.Directive) { l.RetryShare = d.Float("a share", 0, 1) }},
		conf.Key{Name: "titles", Usage: "N", Read: func(d *conf.Directive) { l.Titles = d.Int("a number", 1, 1000) }},
		conf.Key{Name: "left", Usage: "DURATION", Read: func(d *conf.Directive) { l.TimeLeft = d.Duration("a time", 100*time.Millisecond, longest) }},
		conf.Key{Name: "weight", Usage: "MANAGER N", Many: true, Read: func(d *conf.Directive) {
			m := d.Word("a manager")
			l.ManagerWeights[m] = d.Float("a weight", 0, 1000)
			s.names(d, 1, m)
		}},
	)
}

func (s *Scenario) node(d *conf.Directive) {
	m := &s.Plan.NodeModel
	two := func(to *[2]time.Duration) func(*conf.Directive) {
		return func(d *conf.Directive) {
			to[0] = d.Duration("a time", 0, longest)
			to[1] = d.Duration("a longer time", to[0], longest)
		}
	}
	d.Block(
		conf.Key{Name: "link", Usage: "KB", Read: func(d *conf.Directive) { m.LinkKB = d.Float("kB a second", 1, 1e9) }},
		conf.Key{Name: "places", Usage: "N", Read: func(d *conf.Directive) { m.MaxStreams = d.Int("streams", 1, 10000) }},
		conf.Key{Name: "warm", Usage: "DURATION", Read: func(d *conf.Directive) { m.WarmUpTime = d.Duration("a time", time.Millisecond, longest) }},
		conf.Key{Name: "share", Usage: "SHARE", Read: func(d *conf.Directive) { m.StartCapacityShare = d.Float("a share", 0.01, 1) }},
		conf.Key{Name: "idle", Usage: "DURATION", Read: func(d *conf.Directive) { m.ConnIdleTimeout = d.Duration("a time", 100*time.Millisecond, longest) }},
		conf.Key{Name: "streams", Usage: "N", Read: func(d *conf.Directive) { m.StreamsPerConn = d.Int("set-ups open on a connection", 1, 1000) }},
		conf.Key{Name: "answer", Usage: "FROM TO", Read: two(&m.AnswerDelay)},
		conf.Key{Name: "length", Usage: "FROM TO", Read: two(&m.SessionLength)},
	)
}

// names has names checked once all halls are read.
func (s *Scenario) names(d *conf.Directive, argument int, names ...string) {
	s.check = append(s.check, func() {
		f := &Fleet{Config: s.Plan, Managers: map[string]*Manager{}, Nodes: map[string]*Node{}}
		for _, h := range s.Plan.Halls {
			for _, m := range h.Managers {
				f.Managers[m] = &Manager{}
			}
			for _, n := range h.Nodes {
				f.Nodes[n] = &Node{}
			}
		}
		if _, err := f.Find(names...); err != nil && !d.Bad() {
			d.Fault(argument, "%v", err)
		}
	})
}

func (s *Scenario) act(d *conf.Directive) {
	a := act{name: d.Word("a name")}
	d.Block(
		conf.Key{Name: "when", Usage: "WHAT …", Many: true, Read: func(d *conf.Directive) {
			if len(a.do) > 0 {
				d.Fault(0, "comes after what is done: an act waits first, and then does")
			}
			a.when = append(a.when, s.condition(d))
		}},
		conf.Key{Name: "do", Usage: "WHAT …", Many: true, Read: func(d *conf.Directive) { a.do = append(a.do, s.step(d)) }},
	)
	s.acts = append(s.acts, a)
}

// counted are the conditions that count events, of all or of a node or a manager.
var counted = map[string]func(*Event) bool{
	"asked":    func(e *Event) bool { return e.Kind == Asked },
	"served":   func(e *Event) bool { return e.Kind == Answered && e.Outcome == Served },
	"refused":  func(e *Event) bool { return e.Kind == Answered && e.Outcome == Refused },
	"failed":   func(e *Event) bool { return e.Kind == Answered && e.Outcome == Failed },
	"answered": func(e *Event) bool { return e.Kind == Answered },
	"sent":     func(e *Event) bool { return e.Kind == Sent },
	"came":     func(e *Event) bool { return e.Kind == Came },
	"ended":    func(e *Event) bool { return e.Kind == Ended },
	"over":     func(e *Event) bool { return e.Kind == Over },
}

func (s *Scenario) condition(d *conf.Directive) condition {
	words := append([]string{"after", "standing", "logged", "quiet", "open", "aside"}, sortedKeys(counted)...)
	i := d.OneOf("a condition", words...)
	if i < 0 {
		return condition{}
	}
	c := condition{what: words[i]}
	switch words[i] {
	case "after":
		c.wait = d.Duration("a time", 0, longest)
	case "standing": // N [NODE]
		n, node := d.Int("sessions", 1, 1<<20), s.optional(d)
		c.ready = func(r *run) bool {
			if node != "" {
				return r.Nodes[node].EstablishedSessions() >= n
			}
			return r.Fleet.EstablishedSessions() >= n
		}
	case "open": // N: set-ups that are out
		n := d.Int("set-ups", 1, 1<<20)
		c.ready = func(r *run) bool { return r.Record.Count(counted["asked"])-r.Record.Count(counted["answered"]) >= n }
	case "logged":
		m := d.Word("a manager")
		s.names(d, 2, m)
		text := d.Word("a part of a line")
		c.ready = func(r *run) bool {
			return slices.ContainsFunc(r.Managers[m].Log(), func(l string) bool { return strings.Contains(l, text) })
		}
	case "aside":
		c.after = func(r *run) { r.aside.Wait() }
	case "quiet":
		c.ready = func(r *run) bool { return r.Fleet.EstablishedSessions() == 0 }
	default: // N [of NODE or MANAGER], since the act before
		fits := counted[words[i]]
		n, of := d.Int("how many", 1, 1<<20), s.optional(d)
		c.ready = func(r *run) bool {
			return r.Record.Count(func(e *Event) bool {
				return fits(e) && !e.At.Before(r.began) && (of == "" || e.Node == of || e.Manager == of)
			}) >= n
		}
	}
	return c
}

// optional reads the name of a node or a manager, if there is one.
func (s *Scenario) optional(d *conf.Directive) string {
	if !d.More() {
		return ""
	}
	name := d.Word("a name")
	s.names(d, d.At(), name)
	return name
}

// Play plays a scenario with the program at binary, with files below folder, and
// returns what is wrong: broken rules with the path of their session, managers that
// ended, and what was expected and isn't so. The fleet is ended by then. watch, if
// not nil, is told of each act.
func (s *Scenario) Play(binary, folder string, watch func(string)) (wrong []string, record *Record) {
	f, err := New(s.Plan, binary, folder)
	defer f.Close()
	if err != nil {
		return []string{err.Error()}, f.Record
	}
	r := &run{Fleet: f, began: time.Now()}
	f.Viewers.Run(f.done)
	if err := s.play(r, watch); err != nil {
		wrong = append(wrong, err.Error())
	}
	r.aside.Wait()
	if s.Plan.Admin {
		time.Sleep(600 * time.Millisecond) // what is older has to be in the figures
		for m := range f.Managers {
			f.scrapeMetrics(m)
		}
	}
	events := f.Record.Events()
	if found := Judge(events, s.Plan.Terms, time.Now()); len(found) > 0 {
		wrong = append(wrong, Report(found, events))
	}
	for _, e := range s.expect {
		if why := e.holds(r); why != "" {
			wrong = append(wrong, "expected "+e.what+": "+why)
		}
	}
	for _, err := range f.Failures() {
		wrong = append(wrong, err.Error())
	}
	return wrong, f.Record
}

func (s *Scenario) play(r *run, watch func(string)) error {
	for _, a := range s.acts {
		for _, c := range a.when {
			if c.after != nil {
				c.after(r)
				continue
			}
			if c.ready == nil {
				time.Sleep(c.wait)
				continue
			}
			if err := r.WaitFor("act "+a.name+": "+c.what, func() bool { return c.ready(r) }); err != nil {
				return err
			}
		}
		if watch != nil {
			watch(a.name)
		}
		r.began = time.Now()
		for _, d := range a.do {
			if err := d.do(r); err != nil {
				return fmt.Errorf("act %s: %s: %w", a.name, d.what, err)
			}
		}
	}
	return nil
}
