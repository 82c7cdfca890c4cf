package rules

import (
	"fmt"
	"slices"
	"strings"
)

// Set is a set of rules that is ready for use. Any number of frames may be
// evaluated in it at once.
type Set struct {
	env            *Env
	ruleNames      []string // of the rules
	texts          []TextRef
	zones          []*timeZone
	slots          int
	bufferSize     int
	maxAssignments int
	programs       []program // by class + 1
	stepBudget     int64
	maxCost        int64
	tracedRules    []tracedRule
}

// program is what is evaluated for the requests of one class: the rules that may
// match, with what doesn't depend on the request worked out.
type program struct {
	entries        []ruleEntry
	residual       []evaluator[bool] // by step: the terms that are not quick; nil: there are none
	assigners      [][]assigner      // by step
	inline         []inlineTest
	stringPool     []string
	slotEvaluators []func(*Frame) // by slot: what quick terms look at
	maxCost        int64
}

// ruleEntry is one rule. It is small, so that going over many is quick.
type ruleEntry struct {
	rule     uint16
	inline   uint8 // how many of the program's quick terms are its own
	residual bool  // it has other terms
}

// maxInlineTests is how many quick terms a step can have.
const maxInlineTests = 255

// matches tells whether the rule of step i matches; at is where its quick terms
// begin.
func (p *program) matches(f *Frame, i, at int) bool {
	f.cost++
	entry := p.entries[i]
	for j := range int(entry.inline) {
		if !p.testInline(f, &p.inline[at+j]) {
			return false
		}
	}
	return !entry.residual || p.residual[i](f)
}

// assigner sets one target.
type assigner struct {
	template Assignment
	compute  func(*Frame, *Assignment) // nil: it is fixed
}

// TextRefs are the texts that the caller sets by Frame.SetText.
func (s *Set) TextRefs() []TextRef { return s.texts }

// RuleNames are the rules' names.
func (s *Set) RuleNames() []string { return s.ruleNames }

// MaxCost is the most that an evaluation may cost, in steps: of any class.
func (s *Set) MaxCost() int64 { return s.maxCost }

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
	for i := range p.entries {
		from := at
		at += int(p.entries[i].inline)
		if !p.matches(f, i, from) {
			continue
		}
		if f.cost > s.stepBudget {
			break // Guard: the bound was checked when the set was read; this holds it
		}
		for j := range p.assigners[i] {
			a := &p.assigners[i][j]
			f.assignments = append(f.assignments, a.template)
			if a.compute != nil {
				a.compute(f, &f.assignments[len(f.assignments)-1])
			}
		}
		return int(p.entries[i].rule)
	}
	return -1
}

// Assignments are what the rule that matched sets, until the next Begin.
func (f *Frame) Assignments() []Assignment { return f.assignments }

// checkedRule is a rule whose types are known.
type checkedRule struct {
	Rule
	condition   *node
	assignments []checkedAssignment
}

type checkedAssignment struct {
	target  int
	subname string
	pos     int
	value   *node
}

// Compile reads tables, definitions and rules. What is wrong is told to each
// source's Fault; then no set is returned, and nothing of it is ever evaluated.
func Compile(env *Env, tables []Table, defs []Definition, rules []Rule) *Set {
	return newSetBuilder(env).buildSet(tables, defs, rules)
}

func newSetBuilder(env *Env) *setBuilder {
	return &setBuilder{env: env, tables: make(map[string]*table), definitions: make(map[string]*checkedDef), sharedSlots: make(map[string]int)}
}

func (b *setBuilder) buildSet(tables []Table, defs []Definition, rules []Rule) *Set {
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
	for _, d := range b.inSourceOrder(defs) {
		b.checkDefinition(d, nil)
	}
	if b.failed {
		return nil
	}
	// Guard: what is refused is never evaluated, not even its constants. The first
	// time only what classes decide is worked out, and all bounds are checked.
	if b.assemble(list, true); b.failed {
		return nil
	}
	return b.assemble(list, false)
}

func (b *setBuilder) readTables(tables []Table) {
	for i, t := range tables {
		if why := b.nameError(t.Name); why != "" {
			b.tableErrorf(t, "%s", why)
			continue
		}
		if i >= maxTables {
			b.tableErrorf(t, "more than %d tables", maxTables)
			return
		}
		b.tables[t.Name] = b.readTable(t)
	}
}

// nameError tells why something can't be called so, or "".
func (b *setBuilder) nameError(name string) string {
	for i := range len(name) {
		if c := name[i]; !isIdentByte(c) || i == 0 && c >= '0' && c <= '9' {
			return fmt.Sprintf("%q is no name: letters, digits and _ make one", name)
		}
	}
	switch {
	case name == "" || len(name) > maxNameBytes:
		return fmt.Sprintf("a name has from 1 to %d letters", maxNameBytes)
	case slices.Contains([]string{"when", "set", "if", "then", "else", "let", "and", "or", "not", "in"}, name):
		return fmt.Sprintf("%q is a word of the language", name)
	}
	if why := b.existingUse(name); why != "" {
		return fmt.Sprintf("%q is %s already", name, why)
	}
	return ""
}

func (b *setBuilder) readDefinitions(defs []Definition) {
	for i, d := range defs {
		if i >= maxDefinitions {
			b.sourceErrorf(d.Source, 0, "more than %d definitions", maxDefinitions)
			return
		}
		if why := b.nameError(d.Name); why != "" {
			b.sourceErrorf(d.Source, 0, "%s", why)
			continue
		}
		tree := parseSource(sharedParsers().expr, d.Source)
		b.failed = b.failed || tree == nil
		b.definitions[d.Name] = &checkedDef{Definition: d, tree: tree}
	}
}

func (b *setBuilder) sourceErrorf(src Source, at int, format string, args ...any) {
	b.failed = true
	src.ReportError(at, fmt.Sprintf(format, args...))
}

// inSourceOrder are the definitions as they stand in the file.
func (b *setBuilder) inSourceOrder(defs []Definition) []*checkedDef {
	var list []*checkedDef
	for _, d := range defs {
		if known := b.definitions[d.Name]; known != nil {
			list = append(list, known)
		}
	}
	return list
}

func (b *setBuilder) readRules(rules []Rule) []*checkedRule {
	var list []*checkedRule
	for i, r := range rules {
		if i >= maxRules {
			b.sourceErrorf(r.Source, 0, "more than %d rules", maxRules)
			break
		}
		tree := parseSource(sharedParsers().rule, r.Source)
		if tree == nil {
			b.failed = true
			continue
		}
		c := &checker{setBuilder: b, source: r.Source}
		out := &checkedRule{Rule: r}
		if tree.When != nil {
			if out.condition = c.expr(tree.When); out.condition != nil {
				out.condition = c.requireBool(out.condition)
			}
		}
		for _, a := range tree.Set {
			c.addAssignment(out, a)
		}
		list = append(list, out)
	}
	return list
}

// addAssignment checks TARGET = VALUE.
func (c *checker) addAssignment(r *checkedRule, g *gAssign) {
	at := g.Pos.Offset
	value := c.expr(g.Value)
	target := slices.IndexFunc(c.env.Targets, func(t Target) bool { return t.Name == g.Target })
	if target < 0 {
		var names []string
		for _, t := range c.env.Targets {
			names = append(names, t.Name)
		}
		c.errorf(at, "nothing called %q can be set; there are: %s", g.Target, strings.Join(names, ", "))
		return
	}
	t := c.env.Targets[target]
	switch {
	case t.HasSubname && g.Subname == "":
		c.errorf(at, "write %s.NAME = …", t.Name)
		return
	case !t.HasSubname && g.Subname != "":
		c.errorf(at, "%s has no parts", t.Name)
		return
	case slices.ContainsFunc(r.assignments, func(a checkedAssignment) bool { return a.target == target && a.subname == g.Subname }):
		c.errorf(at, "set twice")
		return
	case value == nil:
		return
	}
	if value = c.requirePresent(c.convert(value, t.Kind)); value == nil {
		return
	}
	if value.typ.Kind != t.Kind {
		c.errorf(value.pos, "%s is %v, and this is %v", t.Name, t.Kind, value.typ)
		return
	}
	if t.Kind == String && value.maxBytes > t.MaxBytes {
		c.errorf(value.pos, "%s has at most %d bytes, and this may have %d", t.Name, t.MaxBytes, value.maxBytes)
		return
	}
	r.assignments = append(r.assignments, checkedAssignment{target, g.Subname, at, value})
}

// assemble goes through the rules once for each class, holding what they set and
// what they cost against what is allowed. It compiles them unless it only checks.
func (b *setBuilder) assemble(list []*checkedRule, check bool) *Set {
	s := &Set{env: b.env, texts: b.texts, zones: b.zones, stepBudget: b.env.StepBudget}
	if s.stepBudget == 0 {
		s.stepBudget = DefaultStepBudget
	}
	s.stepBudget = min(s.stepBudget, MaxStepBudget)
	reach := newReachability(len(list))
	var k *compiler
	if b.checkOnly = check; !check {
		k = newCompiler(b.env)
	}
	first, last := -1, len(b.env.Classes)-1
	if b.env.ClassVar < 0 {
		first, last = anyClass, anyClass
	}
	worstClass := 0
	told := make(map[*checkedRule]bool) // that it is no rule for a class
	for class := first; class <= last; class++ {
		p, made := b.program(list, class, k, reach, told)
		if p.maxCost > s.maxCost {
			s.maxCost, worstClass = p.maxCost, class
		}
		s.bufferSize = max(s.bufferSize, made)
		s.programs = append(s.programs, p)
	}
	s.slots = b.slots
	for _, r := range list {
		s.ruleNames = append(s.ruleNames, r.Name)
		s.maxAssignments = max(s.maxAssignments, len(r.assignments))
	}
	if b.failed {
		return nil
	}
	switch r := len(list) - 1; {
	case s.maxCost > s.stepBudget:
		forClass := ""
		if worstClass > anyClass && b.env.ClassVar >= 0 {
			forClass = " for class " + nameAt(b.env.Classes, int64(worstClass))
		}
		b.sourceErrorf(list[r].Source, 0, "with this rule the set may cost %d steps%s; its budget is %d", s.maxCost, forClass, s.stepBudget)
	case s.bufferSize > maxBuiltBytes:
		b.sourceErrorf(list[r].Source, 0, "with this rule the set may make %d bytes of strings; at most %d are made", s.bufferSize, maxBuiltBytes)
	}
	if check {
		return nil
	}
	reach.reportWarnings(list)
	if b.env.Trace {
		s.tracedRules = b.traceRules(list, k)
	}
	return s
}

// program compiles the rules for one class.
func (b *setBuilder) program(list []*checkedRule, class int, k *compiler, reach *reachability, told map[*checkedRule]bool) (program, int) {
	p := b.constFolder(class)
	var out program
	var most int64
	made, mostMade := 0, 0
	seen, seenMade := make(map[int]bool), make(map[int]bool)
	cover := reach.forClass()
	common := b.subexprSharer()
	folded := make([]*node, len(list))
	for i, r := range list {
		if r.condition != nil {
			folded[i] = p.fold(r.condition)
			common.countUses(folded[i])
		}
	}
	for i, r := range list {
		entry := ruleEntry{rule: uint16(i)}
		var rest evaluator[bool]
		var set []assigner
		when := folded[i]
		if when != nil && when.isFalse() {
			continue
		}
		cover.addRule(i, when)
		always := when == nil || when.isTrue()
		if !always {
			when = common.rewrite(when)
			out.maxCost = addCost(out.maxCost, when.totalCost(seen))
			made += when.builtBytes(seenMade)
			if k != nil {
				var n int
				n, rest = out.splitCondition(k, when)
				entry.inline, entry.residual = uint8(n), rest != nil
			}
		}
		out.maxCost = addCost(out.maxCost, 1)
		var cost int64
		bytes := 0
		for _, a := range r.assignments {
			value := p.fold(a.value)
			cost = addCost(cost, value.totalCost(make(map[int]bool)))
			bytes += value.builtBytes(make(map[int]bool))
			if value.typ.Kind == Class && !told[r] {
				told[r] = !b.checkClassChange(r, a, class, value)
			}
			if k != nil {
				set = append(set, newAssigner(k, a, value))
			}
		}
		most, mostMade = max(most, cost), max(mostMade, bytes)
		out.entries, out.residual, out.assigners = append(out.entries, entry), append(out.residual, rest), append(out.assigners, set)
		if always {
			cover.coverRest(i)
			break // what follows is never reached
		}
	}
	out.entries, out.inline = slices.Clip(out.entries), slices.Clip(out.inline)
	out.maxCost = addCost(out.maxCost, addCost(most, 1))
	return out, made + mostMade
}

// checkClassChange checks what a rule may make of a request of a class.
func (b *setBuilder) checkClassChange(r *checkedRule, a checkedAssignment, from int, value *node) bool {
	set := value.possibleClasses(make(map[int]uint64))
	for to := range len(b.env.Classes) + 1 {
		to-- // -1: none
		if set&(1<<(to+1)) == 0 || to == from {
			continue
		}
		request := fmt.Sprintf("a %s request", nameAt(b.env.Classes, int64(from)))
		if from < 0 {
			request = "a request without a class"
		}
		if to < 0 {
			b.sourceErrorf(r.Source, a.value.pos, "checked for %s: this may take its class away", request)
			return false
		}
		if err := b.env.CheckClassChange(from, to); err != nil {
			b.sourceErrorf(r.Source, a.value.pos, "checked for %s: this may make it %s; %v", request, b.env.Classes[to], err)
			return false
		}
	}
	return true
}

func newAssigner(k *compiler, a checkedAssignment, n *node) assigner {
	s := assigner{template: Assignment{Target: a.target, Subname: a.subname, Value: Value{Kind: n.typ.Kind, RawValue: RawValue{Present: true}}}}
	if n.isConst() {
		s.template.Value, s.template.Persistent = n.constValue, true
		return s
	}
	switch n.typ.Kind.representation() {
	case reprBool:
		v := k.compileBool(n)
		s.compute = func(f *Frame, out *Assignment) { out.IsTrue = v(f) }
	case reprFloat:
		v := k.compileFloat(n)
		s.compute = func(f *Frame, out *Assignment) { out.Float64 = v(f) }
	case reprString:
		v := k.compileString(n)
		s.template.Persistent = n.op == opTable // a table's strings stay
		s.compute = func(f *Frame, out *Assignment) { out.Str = v(f) }
	case reprAddr:
		v := k.compileAddr(n)
		s.compute = func(f *Frame, out *Assignment) { out.IP = v(f) }
	default:
		v := k.compileInt(n)
		s.compute = func(f *Frame, out *Assignment) { out.Integer = v(f) }
	}
	return s
}
