package rules

import (
	"fmt"
	"slices"
	"strings"
)

// Set is a set of rules that is ready for use. Any number of frames may be
// evaluated in it at once.
type Set struct {
	env      *Env
	names    []string // of the rules
	texts    []TextRef
	zones    []*zone
	slots    int
	arena    int
	mostOut  int
	programs []program // by class + 1
	budget   int64
	bound    int64
	trace    []traced
}

// program is what is evaluated for the requests of one class: the rules that may
// match, with what doesn't depend on the request worked out.
type program struct {
	steps []step
	rest  []fn[bool] // by step: the terms that are not quick; nil: there are none
	set   [][]setter // by step
	quick []quick
	words []string
	work  []func(*Frame) // by slot: what quick terms look at
	bound int64
}

// step is one rule. It is small, so that going over many is quick.
type step struct {
	rule  uint16
	quick uint8 // how many of the program's quick terms are its own
	rest  bool  // it has other terms
}

// mostQuick is how many quick terms a step can have.
const mostQuick = 255

// matches tells whether the rule of step i matches; at is where its quick terms
// begin.
func (p *program) matches(f *Frame, i, at int) bool {
	f.cost++
	st := p.steps[i]
	for j := range int(st.quick) {
		if !p.holds(f, &p.quick[at+j]) {
			return false
		}
	}
	return !st.rest || p.rest[i](f)
}

// setter sets one target.
type setter struct {
	fixed Assignment
	fill  func(*Frame, *Assignment) // nil: it is fixed
}

// TextRefs are the texts that the caller sets by Frame.SetText.
func (s *Set) TextRefs() []TextRef { return s.texts }

// RuleNames are the rules' names.
func (s *Set) RuleNames() []string { return s.names }

// MaxCost is the most that an evaluation may cost, in steps: of any class.
func (s *Set) MaxCost() int64 { return s.bound }

// Evaluate finds the first rule that matches what the frame was given, and
// returns its position, or -1. Settings tells what it sets.
func (s *Set) Evaluate(f *Frame) int {
	f.cost++
	p := &s.programs[0]
	if v := s.env.ClassVar; v >= 0 {
		c := &f.vars[v]
		if !c.Present {
			c.Integer, c.Present = -1, true
		}
		p = &s.programs[c.Integer+1]
	}
	at := 0
	for i := range p.steps {
		from := at
		at += int(p.steps[i].quick)
		if !p.matches(f, i, from) {
			continue
		}
		if f.cost > s.budget {
			break // Guard: the bound was checked when the set was read; this holds it
		}
		for j := range p.set[i] {
			g := &p.set[i][j]
			f.out = append(f.out, g.fixed)
			if g.fill != nil {
				g.fill(f, &f.out[len(f.out)-1])
			}
		}
		return int(p.steps[i].rule)
	}
	return -1
}

// Assignments are what the rule that matched sets, until the next Begin.
func (f *Frame) Assignments() []Assignment { return f.out }

// checked is a rule whose types are known.
type checked struct {
	Rule
	when     *node
	settings []assignment
}

type assignment struct {
	target int
	sub    string
	at     int
	value  *node
}

// Compile reads tables, definitions and rules. What is wrong is told to each
// source's Fault; then no set is returned, and nothing of it is ever evaluated.
func Compile(env *Env, tables []Table, defs []Definition, rules []Rule) *Set {
	return newBuilder(env).set(tables, defs, rules)
}

func newBuilder(env *Env) *builder {
	return &builder{env: env, tables: make(map[string]*table), defs: make(map[string]*def), shared: make(map[string]int)}
}

func (b *builder) set(tables []Table, defs []Definition, rules []Rule) *Set {
	env := b.env
	if len(env.Classes) > maxClasses {
		if len(rules) > 0 {
			rules[0].ReportError(0, fmt.Sprintf("%d classes; at most %d are told apart", len(env.Classes), maxClasses))
		}
		return nil
	}
	b.readTables(tables)
	b.readDefinitions(defs)
	list := b.readRules(rules)
	for _, d := range b.ordered(defs) {
		b.define(d, nil)
	}
	if b.faulty {
		return nil
	}
	// Guard: what is refused is never evaluated, not even its constants. The first
	// time only what classes decide is worked out, and all bounds are checked.
	if b.assemble(list, true); b.faulty {
		return nil
	}
	return b.assemble(list, false)
}

func (b *builder) readTables(tables []Table) {
	for i, t := range tables {
		if why := b.nameFault(t.Name); why != "" {
			b.failTable(t, "%s", why)
			continue
		}
		if i >= maxTables {
			b.failTable(t, "more than %d tables", maxTables)
			return
		}
		b.tables[t.Name] = b.readTable(t)
	}
}

// nameFault tells why something can't be called so, or "".
func (b *builder) nameFault(name string) string {
	for i := range len(name) {
		if c := name[i]; !isWord(c) || i == 0 && c >= '0' && c <= '9' {
			return fmt.Sprintf("%q is no name: letters, digits and _ make one", name)
		}
	}
	switch {
	case name == "" || len(name) > maxName:
		return fmt.Sprintf("a name has from 1 to %d letters", maxName)
	case slices.Contains([]string{"when", "set", "if", "then", "else", "let", "and", "or", "not", "in"}, name):
		return fmt.Sprintf("%q is a word of the language", name)
	}
	if why := b.taken(name); why != "" {
		return fmt.Sprintf("%q is %s already", name, why)
	}
	return ""
}

func (b *builder) readDefinitions(defs []Definition) {
	for i, d := range defs {
		if i >= maxDefs {
			b.fail(d.Source, 0, "more than %d definitions", maxDefs)
			return
		}
		if why := b.nameFault(d.Name); why != "" {
			b.fail(d.Source, 0, "%s", why)
			continue
		}
		tree := parse(grammars().expr, d.Source)
		b.faulty = b.faulty || tree == nil
		b.defs[d.Name] = &def{Definition: d, tree: tree}
	}
}

func (b *builder) fail(src Source, at int, format string, args ...any) {
	b.faulty = true
	src.ReportError(at, fmt.Sprintf(format, args...))
}

// ordered are the definitions as they stand in the file.
func (b *builder) ordered(defs []Definition) []*def {
	var list []*def
	for _, d := range defs {
		if known := b.defs[d.Name]; known != nil {
			list = append(list, known)
		}
	}
	return list
}

func (b *builder) readRules(rules []Rule) []*checked {
	var list []*checked
	for i, r := range rules {
		if i >= maxRules {
			b.fail(r.Source, 0, "more than %d rules", maxRules)
			break
		}
		tree := parse(grammars().rule, r.Source)
		if tree == nil {
			b.faulty = true
			continue
		}
		c := &checker{builder: b, src: r.Source}
		out := &checked{Rule: r}
		if tree.When != nil {
			if out.when = c.expr(tree.When); out.when != nil {
				out.when = c.boolean(out.when)
			}
		}
		for _, a := range tree.Set {
			c.assignment(out, a)
		}
		list = append(list, out)
	}
	return list
}

// assignment checks TARGET = VALUE.
func (c *checker) assignment(r *checked, g *gAssign) {
	at := g.Pos.Offset
	value := c.expr(g.Value)
	target := slices.IndexFunc(c.env.Targets, func(t Target) bool { return t.Name == g.Target })
	if target < 0 {
		var names []string
		for _, t := range c.env.Targets {
			names = append(names, t.Name)
		}
		c.fail(at, "nothing called %q can be set; there are: %s", g.Target, strings.Join(names, ", "))
		return
	}
	t := c.env.Targets[target]
	switch {
	case t.HasSubname && g.Sub == "":
		c.fail(at, "write %s.NAME = …", t.Name)
		return
	case !t.HasSubname && g.Sub != "":
		c.fail(at, "%s has no parts", t.Name)
		return
	case slices.ContainsFunc(r.settings, func(a assignment) bool { return a.target == target && a.sub == g.Sub }):
		c.fail(at, "set twice")
		return
	case value == nil:
		return
	}
	if value = c.present(c.as(value, t.Kind)); value == nil {
		return
	}
	if value.typ.Kind != t.Kind {
		c.fail(value.at, "%s is %v, and this is %v", t.Name, t.Kind, value.typ)
		return
	}
	if t.Kind == String && value.most > t.MaxBytes {
		c.fail(value.at, "%s has at most %d bytes, and this may have %d", t.Name, t.MaxBytes, value.most)
		return
	}
	r.settings = append(r.settings, assignment{target, g.Sub, at, value})
}

// assemble goes through the rules once for each class, holding what they set and
// what they cost against what is allowed. It compiles them unless it only checks.
func (b *builder) assemble(list []*checked, check bool) *Set {
	s := &Set{env: b.env, texts: b.texts, zones: b.zones, budget: b.env.StepBudget}
	if s.budget == 0 {
		s.budget = DefaultStepBudget
	}
	s.budget = min(s.budget, MaxStepBudget)
	reach := newReach(len(list))
	var k *compiler
	if b.checking = check; !check {
		k = newCompiler(b.env)
	}
	first, last := -1, len(b.env.Classes)-1
	if b.env.ClassVar < 0 {
		first, last = anyClass, anyClass
	}
	worst := 0
	told := make(map[*checked]bool) // that it is no rule for a class
	for class := first; class <= last; class++ {
		p, made := b.program(list, class, k, reach, told)
		if p.bound > s.bound {
			s.bound, worst = p.bound, class
		}
		s.arena = max(s.arena, made)
		s.programs = append(s.programs, p)
	}
	s.slots = b.slots
	for _, r := range list {
		s.names = append(s.names, r.Name)
		s.mostOut = max(s.mostOut, len(r.settings))
	}
	if b.faulty {
		return nil
	}
	switch r := len(list) - 1; {
	case s.bound > s.budget:
		of := ""
		if worst > anyClass && b.env.ClassVar >= 0 {
			of = " for class " + nameOf(b.env.Classes, int64(worst))
		}
		b.fail(list[r].Source, 0, "with this rule the set may cost %d steps%s; its budget is %d", s.bound, of, s.budget)
	case s.arena > maxArena:
		b.fail(list[r].Source, 0, "with this rule the set may make %d bytes of strings; at most %d are made", s.arena, maxArena)
	}
	if check {
		return nil
	}
	reach.warn(list)
	if b.env.Trace {
		s.trace = b.traced(list, k)
	}
	return s
}

// program compiles the rules for one class.
func (b *builder) program(list []*checked, class int, k *compiler, reach *reach, told map[*checked]bool) (program, int) {
	p := b.folder(class)
	var out program
	var most int64
	made, mostMade := 0, 0
	seen, seenMade := make(map[int]bool), make(map[int]bool)
	cover := reach.begin()
	common := b.sharer()
	folded := make([]*node, len(list))
	for i, r := range list {
		if r.when != nil {
			folded[i] = p.fold(r.when)
			common.add(folded[i])
		}
	}
	for i, r := range list {
		st := step{rule: uint16(i)}
		var rest fn[bool]
		var set []setter
		when := folded[i]
		if when != nil && when.isFalse() {
			continue
		}
		cover.rule(i, when)
		always := when == nil || when.isTrue()
		if !always {
			when = common.share(when)
			out.bound = addCost(out.bound, when.total(seen))
			made += when.made(seenMade)
			if k != nil {
				var n int
				n, rest = out.split(k, when)
				st.quick, st.rest = uint8(n), rest != nil
			}
		}
		out.bound = addCost(out.bound, 1)
		var cost int64
		bytes := 0
		for _, a := range r.settings {
			value := p.fold(a.value)
			cost = addCost(cost, value.total(make(map[int]bool)))
			bytes += value.made(make(map[int]bool))
			if value.typ.Kind == Class && !told[r] {
				told[r] = !b.becomes(r, a, class, value)
			}
			if k != nil {
				set = append(set, setterOf(k, a, value))
			}
		}
		most, mostMade = max(most, cost), max(mostMade, bytes)
		out.steps, out.rest, out.set = append(out.steps, st), append(out.rest, rest), append(out.set, set)
		if always {
			cover.rest(i)
			break // what follows is never reached
		}
	}
	out.steps, out.quick = slices.Clip(out.steps), slices.Clip(out.quick)
	out.bound = addCost(out.bound, addCost(most, 1))
	return out, made + mostMade
}

// becomes checks what a rule may make of a request of a class.
func (b *builder) becomes(r *checked, a assignment, from int, value *node) bool {
	set := value.classes(make(map[int]uint64))
	for to := range len(b.env.Classes) + 1 {
		to-- // -1: none
		if set&(1<<(to+1)) == 0 || to == from {
			continue
		}
		request := fmt.Sprintf("a %s request", nameOf(b.env.Classes, int64(from)))
		if from < 0 {
			request = "a request without a class"
		}
		if to < 0 {
			b.fail(r.Source, a.value.at, "checked for %s: this may take its class away", request)
			return false
		}
		if err := b.env.CheckClassChange(from, to); err != nil {
			b.fail(r.Source, a.value.at, "checked for %s: this may make it %s; %v", request, b.env.Classes[to], err)
			return false
		}
	}
	return true
}

func setterOf(k *compiler, a assignment, n *node) setter {
	s := setter{fixed: Assignment{Target: a.target, Subname: a.sub, Value: Value{Kind: n.typ.Kind, RawValue: RawValue{Present: true}}}}
	if n.isConst() {
		s.fixed.Value, s.fixed.Persistent = n.val, true
		return s
	}
	switch n.typ.Kind.form() {
	case asBool:
		v := k.boolean(n)
		s.fill = func(f *Frame, out *Assignment) { out.IsTrue = v(f) }
	case asFloat:
		v := k.float(n)
		s.fill = func(f *Frame, out *Assignment) { out.Float64 = v(f) }
	case asText:
		v := k.text(n)
		s.fixed.Persistent = n.op == opTable // a table's strings stay
		s.fill = func(f *Frame, out *Assignment) { out.Str = v(f) }
	case asAddr:
		v := k.addr(n)
		s.fill = func(f *Frame, out *Assignment) { out.IP = v(f) }
	default:
		v := k.num(n)
		s.fill = func(f *Frame, out *Assignment) { out.Integer = v(f) }
	}
	return s
}
