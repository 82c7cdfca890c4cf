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
	Name        string
	BilledSetup bool // a set-up may not be repeated
	FloorRung   int  // the lowest rung
}

// Deployment is what rules may refer to.
type Deployment struct {
	Classes []Class
	Teams   []string
}

// RequestTexts are the parts of a request that rules name.
type RequestTexts interface {
	Field(name string) []byte // nil: absent
	Extra(name string) []byte
}

// Request is what rules look at. Its bytes are used only until Route returns.
type Request struct {
	Class, Team int // -1: it names none
	Title       uint64
	HomeCell    int
	Copies      int
	TopRung     float64
	TimeLeft    time.Duration
	Retry       bool
	Returning   bool // its viewer has come again
	Front       string
	ClientAddr  netip.Addr
	ReceivedAt  time.Time
	Texts       RequestTexts
}

// Label is free text that a rule put on a request.
type Label struct{ Name, Value string }

// Result is what a request was given.
type Result struct {
	Class, Team int
	Rule        string // "": none matched
	BudgetKey   string // of a budget
	Labels      []Label
}

// The parts of a request, in the order of vars.
const (
	varClass = iota
	varTeam
	varTitle
	varHome
	varCopies
	varTop
	varLeft
	varRetry
	varAgain
	varFront
	varClient
)

const (
	maxTextBytes  = 128 // bytes of a field or an extra that rules look at
	maxKeyBytes   = 256 // bytes of a budget key or a label
	maxFrontBytes = 32  // bytes of a front's name
)

var requestVars = []rules.Var{
	varClass:  {Name: "class", Kind: rules.Class, Doc: "none if it names none"},
	varTeam:   {Name: "team", Kind: rules.Team, Doc: "none if it names none"},
	varTitle:  {Name: "title", Kind: rules.Title, Doc: "what is to be played"},
	varHome:   {Name: "home", Kind: rules.Int, Doc: "the first cell that holds the title"},
	varCopies: {Name: "copies", Kind: rules.Int, Doc: "how many cells hold it"},
	varTop:    {Name: "top", Kind: rules.Float, Doc: "the highest rung that the viewer can use"},
	varLeft:   {Name: "left", Kind: rules.Duration, Doc: "how long the viewer waits"},
	varRetry:  {Name: "retry", Kind: rules.Bool, Doc: "it is marked as a retry"},
	varAgain:  {Name: "again", Kind: rules.Bool, Doc: "the viewer has come again"},
	varFront:  {Name: "front", Kind: rules.String, MaxBytes: maxFrontBytes, Doc: "jsonl or websocket"},
	varClient: {Name: "client", Kind: rules.Addr, Optional: true, Doc: "the address at the other end"},
}

// The families of texts.
const (
	familyField = iota
	familyExtra
)

var textFamilies = []rules.TextFamily{
	familyField: {Name: "field", MaxBytes: maxTextBytes, Doc: "a field of the message"},
	familyExtra: {Name: "extra", MaxBytes: maxTextBytes, Doc: "one of the figures in extras"},
}

// What rules may set.
const (
	targetClass = iota
	targetTeam
	targetKey
	targetLabel
)

var ruleTargets = []rules.Target{
	targetClass: {Name: "class", Kind: rules.Class},
	targetTeam:  {Name: "team", Kind: rules.Team},
	targetKey:   {Name: "key", Kind: rules.String, MaxBytes: maxKeyBytes},
	targetLabel: {Name: "label", Kind: rules.String, HasSubname: true, MaxBytes: maxKeyBytes},
}

// Source is a set of rules as it was written.
type Source struct {
	Tables      []rules.Table
	Definitions []rules.Definition
	Rules       []rules.Rule
	LoadZone    func(name string) (*time.Location, error)
	LocalZone   string // the zone of clock and today; "": UTC
	StepBudget  int64  // steps; 0: rules.DefaultBudget
	Trace       bool   // Explain is wanted
}

// Set is a set of rules in use.
type Set struct {
	deployment      Deployment
	env             *rules.Env
	set             *rules.Set
	frames          sync.Pool
	mayBecome       [][]bool // by class + 1: what it may become
	observeDuration func(time.Duration)
}

// ObserveDurations has took called with the time that each evaluation took, by whoever
// routes. It is to be called before the set is used.
func (s *Set) ObserveDurations(observe func(time.Duration)) { s.observeDuration = observe }

// Compile reads a set for a deployment. What is wrong is told to the faulty
// source; then it returns nil.
func Compile(src Source, deployment Deployment) *Set {
	s := &Set{deployment: deployment}
	env := &rules.Env{
		Teams: deployment.Teams, Vars: requestVars, TextFamilies: textFamilies, Targets: ruleTargets, ClassVar: varClass,
		CheckClassChange: func(from, to int) error { return checkClassChange(deployment.Classes, from, to) },
		LoadZone:         src.LoadZone, LocalZone: src.LocalZone, StepBudget: src.StepBudget, Trace: src.Trace,
	}
	for _, c := range deployment.Classes {
		env.Classes = append(env.Classes, c.Name)
	}
	s.env = env
	if s.set = rules.Compile(env, src.Tables, src.Definitions, src.Rules); s.set == nil {
		return nil
	}
	for from := -1; from < len(deployment.Classes); from++ {
		row := make([]bool, len(deployment.Classes))
		for to := range row {
			row[to] = checkClassChange(deployment.Classes, from, to) == nil
		}
		s.mayBecome = append(s.mayBecome, row)
	}
	s.frames.New = func() any { return s.set.NewFrame() }
	return s
}

// checkClassChange tells why a request of class from, -1 if it names none, may not be
// given class to.
func checkClassChange(classes []Class, from, to int) error {
	if from < 0 || from == to {
		return nil
	}
	a, b := classes[from], classes[to]
	switch {
	case b.BilledSetup && !a.BilledSetup:
		return fmt.Errorf("%s is paid for at set-up and %s is not", b.Name, a.Name)
	case a.BilledSetup && !b.BilledSetup:
		return fmt.Errorf("%s is set up once only, and %s has no such protection", a.Name, b.Name)
	case b.FloorRung < a.FloorRung:
		return fmt.Errorf("%s may play on rung %d, which is under the floor of %s, rung %d", b.Name, b.FloorRung, a.Name, a.FloorRung)
	}
	return nil
}

// RuleNames are the rules' names.
func (s *Set) RuleNames() []string { return s.set.RuleNames() }

// MaxCost is the most that a request may cost, in steps.
func (s *Set) MaxCost() int64 { return s.set.MaxCost() }

// Route finds the first rule that matches and tells what the request is given. A
// request that none matches keeps what it named.
func (s *Set) Route(r *Request) Result {
	f := s.frames.Get().(*rules.Frame)
	var begun time.Time
	if s.observeDuration != nil {
		begun = time.Now()
	}
	s.fillFrame(f, r)
	rule := s.set.Evaluate(f)
	out := s.result(f, r, rule)
	if s.observeDuration != nil {
		s.observeDuration(time.Since(begun))
	}
	s.frames.Put(f)
	return out
}

// fillFrame tells a frame about a request.
func (s *Set) fillFrame(f *rules.Frame, r *Request) {
	f.Reset(r.ReceivedAt)
	f.SetInt(varClass, int64(r.Class))
	f.SetInt(varTeam, int64(r.Team))
	f.SetInt(varTitle, int64(r.Title))
	f.SetInt(varHome, int64(r.HomeCell))
	f.SetInt(varCopies, int64(r.Copies))
	f.SetFloat(varTop, r.TopRung)
	f.SetInt(varLeft, int64(r.TimeLeft))
	f.SetBool(varRetry, r.Retry)
	f.SetBool(varAgain, r.Returning)
	f.SetString(varFront, r.Front)
	f.SetAddr(varClient, r.ClientAddr)
	if r.Texts == nil {
		return
	}
	for i, ref := range s.set.TextRefs() {
		var b []byte
		if ref.Family == familyField {
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
	out.Rule = s.set.RuleNames()[rule]
	assignments := f.Assignments()
	for i := range assignments {
		v := &assignments[i]
		text := v.Str
		if !v.Persistent {
			text = strings.Clone(text)
		}
		switch v.Target {
		case targetClass:
			// Guard: whatever a rule says, a request keeps the protection of its class.
			if to := int(v.Integer); to >= 0 && s.mayBecome[r.Class+1][to] {
				out.Class = to
			}
		case targetTeam:
			out.Team = int(v.Integer)
		case targetKey:
			out.BudgetKey = text
		case targetLabel:
			if out.Labels == nil {
				out.Labels = make([]Label, 0, len(assignments)-i)
			}
			out.Labels = append(out.Labels, Label{v.Subname, text})
		}
	}
	return out
}

// Explanation is how a request was routed.
type Explanation struct {
	Result
	RuleTraces []rules.RuleTrace
	Cost       int64
	env        *rules.Env
}

// Explain routes a request by a set that was compiled with Trace.
func (s *Set) Explain(r *Request) Explanation {
	f := s.set.NewFrame()
	s.fillFrame(f, r)
	rule, traces := s.set.Explain(f)
	return Explanation{Result: s.result(f, r, rule), RuleTraces: traces, Cost: f.Cost(), env: s.env}
}

// FormatValue words a value of a step.
func (e *Explanation) FormatValue(v rules.Value) string { return e.env.FormatValue(v) }

// ActiveSet is the set in use. The zero value has none. A request sees one whole set:
// the one that is there when it comes.
type ActiveSet struct{ set atomic.Pointer[Set] }

// Load returns the set in use, or nil.
func (l *ActiveSet) Load() *Set { return l.set.Load() }

// Replace puts another set in use, or none.
func (l *ActiveSet) Replace(s *Set) { l.set.Store(s) }
