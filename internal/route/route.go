// Package route gives a request its class, team, budget key and labels by an
// operator's rules, before the broker sees it. It does no I/O.
//
// A class is safe: a rule that could give a request of one class another that may
// or may not be repeated, or that has a lower floor, is refused when it is read.
// Only a request that names no class may be given any.
package route

import (
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"millethinge/internal/rules"
)

// Class is what rules have to know of a class.
type Class struct {
	Name  string
	Paid  bool // a set-up may not be repeated
	Floor int  // the lowest rung
}

// Deployment is what rules may refer to.
type Deployment struct {
	Classes []Class
	Teams   []string
}

// Texts are the parts of a request that rules name.
type Texts interface {
	Field(name string) []byte // nil: absent
	Extra(name string) []byte
}

// Request is what rules look at. Its bytes are used only until Route returns.
type Request struct {
	Class, Team int // -1: it names none
	Title       uint64
	Home        int
	Copies      int
	Top         float64
	Left        time.Duration
	Retry       bool
	Again       bool // its viewer has come again
	Front       string
	Client      netip.Addr
	Came        time.Time
	Texts       Texts
}

// Label is free text that a rule put on a request.
type Label struct{ Name, Value string }

// Result is what a request was given.
type Result struct {
	Class, Team int
	Rule        string // "": none matched
	Key         string // of a budget
	Labels      []Label
}

// The parts of a request, in the order of vars.
const (
	vClass = iota
	vTeam
	vTitle
	vHome
	vCopies
	vTop
	vLeft
	vRetry
	vAgain
	vFront
	vClient
)

const (
	mostText = 128 // bytes of a field or an extra that rules look at
	mostKey  = 256 // bytes of a budget key or a label
	mostName = 32  // bytes of a front's name
)

var vars = []rules.Var{
	vClass:  {Name: "class", Kind: rules.Class, Doc: "none if it names none"},
	vTeam:   {Name: "team", Kind: rules.Team, Doc: "none if it names none"},
	vTitle:  {Name: "title", Kind: rules.Title, Doc: "what is to be played"},
	vHome:   {Name: "home", Kind: rules.Int, Doc: "the first cell that holds the title"},
	vCopies: {Name: "copies", Kind: rules.Int, Doc: "how many cells hold it"},
	vTop:    {Name: "top", Kind: rules.Float, Doc: "the highest rung that the viewer can use"},
	vLeft:   {Name: "left", Kind: rules.Duration, Doc: "how long the viewer waits"},
	vRetry:  {Name: "retry", Kind: rules.Bool, Doc: "it is marked as a retry"},
	vAgain:  {Name: "again", Kind: rules.Bool, Doc: "the viewer has come again"},
	vFront:  {Name: "front", Kind: rules.String, Most: mostName, Doc: "jsonl or websocket"},
	vClient: {Name: "client", Kind: rules.Addr, Optional: true, Doc: "the address at the other end"},
}

// The families of texts.
const (
	fField = iota
	fExtra
)

var families = []rules.TextVar{
	fField: {Name: "field", Most: mostText, Doc: "a field of the message"},
	fExtra: {Name: "extra", Most: mostText, Doc: "one of the figures in extras"},
}

// What rules may set.
const (
	tClass = iota
	tTeam
	tKey
	tLabel
)

var targets = []rules.Target{
	tClass: {Name: "class", Kind: rules.Class},
	tTeam:  {Name: "team", Kind: rules.Team},
	tKey:   {Name: "key", Kind: rules.String, Most: mostKey},
	tLabel: {Name: "label", Kind: rules.String, Sub: true, Most: mostKey},
}

// Source is a set of rules as it was written.
type Source struct {
	Tables      []rules.Table
	Definitions []rules.Definition
	Rules       []rules.Rule
	Zone        func(name string) (*time.Location, error)
	Local       string // the zone of clock and today; "": UTC
	Budget      int64  // steps; 0: rules.DefaultBudget
	Trace       bool   // Explain is wanted
}

// Set is a set of rules in use.
type Set struct {
	on     Deployment
	env    *rules.Env
	set    *rules.Set
	frames sync.Pool
	may    [][]bool // by class + 1: what it may become
	took   func(time.Duration)
}

// Observe has took called with the time that each evaluation took, by whoever
// routes. It is to be called before the set is used.
func (s *Set) Observe(took func(time.Duration)) { s.took = took }

// Compile reads a set for a deployment. What is wrong is told to the faulty
// source; then it returns nil.
func Compile(src Source, on Deployment) *Set {
	s := &Set{on: on}
	env := &rules.Env{
		Teams: on.Teams, Vars: vars, Texts: families, Targets: targets, Class: vClass,
		Becomes: func(from, to int) error { return becomes(on.Classes, from, to) },
		Zone:    src.Zone, Local: src.Local, Budget: src.Budget, Trace: src.Trace,
	}
	for _, c := range on.Classes {
		env.Classes = append(env.Classes, c.Name)
	}
	s.env = env
	if s.set = rules.Compile(env, src.Tables, src.Definitions, src.Rules); s.set == nil {
		return nil
	}
	for from := -1; from < len(on.Classes); from++ {
		row := make([]bool, len(on.Classes))
		for to := range row {
			row[to] = becomes(on.Classes, from, to) == nil
		}
		s.may = append(s.may, row)
	}
	s.frames.New = func() any { return s.set.NewFrame() }
	return s
}

// becomes tells why a request of class from, -1 if it names none, may not be
// given class to.
func becomes(classes []Class, from, to int) error {
	if from < 0 || from == to {
		return nil
	}
	a, b := classes[from], classes[to]
	switch {
	case b.Paid && !a.Paid:
		return fmt.Errorf("%s is paid for at set-up and %s is not", b.Name, a.Name)
	case a.Paid && !b.Paid:
		return fmt.Errorf("%s is set up once only, and %s has no such protection", a.Name, b.Name)
	case b.Floor < a.Floor:
		return fmt.Errorf("%s may play on rung %d, which is under the floor of %s, rung %d", b.Name, b.Floor, a.Name, a.Floor)
	}
	return nil
}

// Rules are the rules' names.
func (s *Set) Rules() []string { return s.set.Rules() }

// Bound is the most that a request may cost, in steps.
func (s *Set) Bound() int64 { return s.set.Bound() }

// Route finds the first rule that matches and tells what the request is given. A
// request that none matches keeps what it named.
func (s *Set) Route(r *Request) Result {
	f := s.frames.Get().(*rules.Frame)
	var begun time.Time
	if s.took != nil {
		begun = time.Now()
	}
	s.begin(f, r)
	rule := s.set.Evaluate(f)
	out := s.result(f, r, rule)
	if s.took != nil {
		s.took(time.Since(begun))
	}
	s.frames.Put(f)
	return out
}

// begin tells a frame about a request.
func (s *Set) begin(f *rules.Frame, r *Request) {
	f.Begin(r.Came)
	f.SetNum(vClass, int64(r.Class))
	f.SetNum(vTeam, int64(r.Team))
	f.SetNum(vTitle, int64(r.Title))
	f.SetNum(vHome, int64(r.Home))
	f.SetNum(vCopies, int64(r.Copies))
	f.SetFloat(vTop, r.Top)
	f.SetNum(vLeft, int64(r.Left))
	f.SetBool(vRetry, r.Retry)
	f.SetBool(vAgain, r.Again)
	f.SetString(vFront, r.Front)
	f.SetAddr(vClient, r.Client)
	if r.Texts == nil {
		return
	}
	for i, ref := range s.set.Texts() {
		var b []byte
		if ref.Family == fField {
			b = r.Texts.Field(ref.Name)
		} else {
			b = r.Texts.Extra(ref.Name)
		}
		if b != nil {
			f.SetText(i, b)
		}
	}
}

// result reads what the rule that matched has set. Strings that are not the set's
// own are copied: their bytes are used again.
func (s *Set) result(f *rules.Frame, r *Request, rule int) Result {
	out := Result{Class: r.Class, Team: r.Team}
	if rule < 0 {
		return out
	}
	out.Rule = s.set.Rules()[rule]
	settings := f.Settings()
	for i := range settings {
		v := &settings[i]
		text := v.S
		if !v.Fixed {
			text = strings.Clone(text)
		}
		switch v.Target {
		case tClass:
			// Guard: whatever a rule says, a request keeps the protection of its class.
			if to := int(v.N); to >= 0 && s.may[r.Class+1][to] {
				out.Class = to
			}
		case tTeam:
			out.Team = int(v.N)
		case tKey:
			out.Key = text
		case tLabel:
			if out.Labels == nil {
				out.Labels = make([]Label, 0, len(settings)-i)
			}
			out.Labels = append(out.Labels, Label{v.Sub, text})
		}
	}
	return out
}

// Explanation is how a request was routed.
type Explanation struct {
	Result
	Steps []rules.Step
	Cost  int64
	env   *rules.Env
}

// Explain routes a request by a set that was compiled with Trace.
func (s *Set) Explain(r *Request) Explanation {
	f := s.set.NewFrame()
	s.begin(f, r)
	rule, steps := s.set.Explain(f)
	return Explanation{Result: s.result(f, r, rule), Steps: steps, Cost: f.Cost(), env: s.env}
}

// Show words a value of a step.
func (e *Explanation) Show(v rules.Value) string { return e.env.Show(v) }

// Live is the set in use. The zero value has none. A request sees one whole set:
// the one that is there when it comes.
type Live struct{ set atomic.Pointer[Set] }

// Load returns the set in use, or nil.
func (l *Live) Load() *Set { return l.set.Load() }

// Swap puts another set in use, or none.
func (l *Live) Swap(s *Set) { l.set.Store(s) }
