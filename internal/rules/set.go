package rules

import (
	"fmt"
	"slices"
	"strings"
)

// Set is a compiled set of rules. Any number of frames may be evaluated in it concurrently.
type Set struct {
	env            *Env
	ruleNames      []string // by rule
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

// program is the form of a set for requests of one class: the rules that may match, with everything folded
// that does not depend on the request.
type program struct {
	entries        []ruleEntry
	residual       []evaluator[bool] // by entry: the terms that are not inline tests; nil: none
	assigners      [][]assigner      // by entry
	inline         []inlineTest
	stringPool     []string
	slotEvaluators []func(*Frame) // by slot: the definitions that inline tests read
	maxCost        int64
}

// ruleEntry is one rule of a program. It is small, so that a scan over many entries is fast.
type ruleEntry struct {
	rule     uint16 // index of the rule in the Set
	inline   uint8  // number of its inline tests
	residual bool   // it has other terms
}

// maxInlineTests is the maximum number of inline tests of an entry: ruleEntry.inline is a uint8.
const maxInlineTests = 255

// matches reports whether the rule of entry i matches; firstInline is the index of its first inline test.
func (p *program) matches(f *Frame, i, firstInline int) bool {
	f.cost++
	entry := p.entries[i]
	for j := range int(entry.inline) {
		if !p.testInline(f, &p.inline[firstInline+j]) {
			return false
		}
	}
	return !entry.residual || p.residual[i](f)
}

// assigner assigns a value to one target.
type assigner struct {
	template Assignment
	compute  func(*Frame, *Assignment) // nil: the template has the value
}

// TextRefs returns the texts that the caller sets with Frame.SetText, in the order of the indexes that it
// takes.
func (s *Set) TextRefs() []TextRef { return s.texts }

// RuleNames returns the names of the rules in order.
func (s *Set) RuleNames() []string { return s.ruleNames }

// MaxCost returns the maximum cost of an evaluation for a request of any class, in steps.
func (s *Set) MaxCost() int64 { return s.maxCost }

// Evaluate returns the index of the first rule that matches the request in the frame, or -1. Its assignments
// are returned by Frame.Assignments.
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
	nextInline := 0
	for i := range p.entries {
		firstInline := nextInline
		nextInline += int(p.entries[i].inline)
		if !p.matches(f, i, firstInline) {
			continue
		}
		if f.cost > s.stepBudget {
			break // Guard: the cost bound was checked at compile time; should it be wrong, the budget still holds
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

// Assignments returns what the matching rule assigns. It is valid until the next Reset.
func (f *Frame) Assignments() []Assignment { return f.assignments }

// checkedRule is a rule whose types are known.
type checkedRule struct {
	Rule
	condition   *node
	assignments []checkedAssignment
}

// checkedAssignment is TARGET.SUBNAME = VALUE of a rule.
type checkedAssignment struct {
	target  int
	subname string
	pos     int
	value   *node
}

// Compile compiles tables, definitions and rules. Errors are reported to the ReportError function of the
// source; in that case it returns nil and evaluates nothing of the set.
func Compile(env *Env, tables []Table, definitions []Definition, rules []Rule) *Set {
	return newSetBuilder(env).buildSet(tables, definitions, rules)
}

func newSetBuilder(env *Env) *setBuilder {
	return &setBuilder{env: env, tables: make(map[string]*table), definitions: make(map[string]*checkedDef), sharedSlots: make(map[string]int)}
}

func (b *setBuilder) buildSet(tables []Table, definitions []Definition, rules []Rule) *Set {
	env := b.env
	if len(env.Classes) > maxClasses {
		if len(rules) > 0 {
			rules[0].ReportError(0, fmt.Sprintf("%d classes; at most %d are told apart", len(env.Classes), maxClasses))
		}
		return nil
	}
	b.readTables(tables)
	b.readDefinitions(definitions)
	list := b.readRules(rules)
	for _, d := range b.inSourceOrder(definitions) {
		b.checkDefinition(d, nil)
	}
	if b.failed {
		return nil
	}
	// Guard: what is refused is never evaluated, not even its constants. The first pass folds only what
	// the class decides and checks all limits.
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

// nameError returns why a name is invalid, or "".
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

func (b *setBuilder) readDefinitions(definitions []Definition) {
	for i, d := range definitions {
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

func (b *setBuilder) sourceErrorf(src Source, pos int, format string, args ...any) {
	b.failed = true
	src.ReportError(pos, fmt.Sprintf(format, args...))
}

// inSourceOrder returns the checked definitions in the order of the source.
func (b *setBuilder) inSourceOrder(definitions []Definition) []*checkedDef {
	var list []*checkedDef
	for _, d := range definitions {
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

// addAssignment checks TARGET = VALUE and adds it to r.
func (c *checker) addAssignment(r *checkedRule, g *gAssign) {
	pos := g.Pos.Offset
	value := c.expr(g.Value)
	target := slices.IndexFunc(c.env.Targets, func(t Target) bool { return t.Name == g.Target })
	if target < 0 {
		var names []string
		for _, t := range c.env.Targets {
			names = append(names, t.Name)
		}
		c.errorf(pos, "nothing called %q can be set; there are: %s", g.Target, strings.Join(names, ", "))
		return
	}
	t := c.env.Targets[target]
	switch {
	case t.HasSubname && g.Subname == "":
		c.errorf(pos, "write %s.NAME = …", t.Name)
		return
	case !t.HasSubname && g.Subname != "":
		c.errorf(pos, "%s has no parts", t.Name)
		return
	case slices.ContainsFunc(r.assignments, func(a checkedAssignment) bool { return a.target == target && a.subname == g.Subname }):
		c.errorf(pos, "set twice")
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
	r.assignments = append(r.assignments, checkedAssignment{target, g.Subname, pos, value})
}

// assemble builds the program of each class and checks assignments and costs against the limits. With check
// set, it evaluates only comparisons of classes and teams, compiles nothing and returns nil.
func (b *setBuilder) assemble(list []*checkedRule, check bool) *Set {
	s := &Set{env: b.env, texts: b.texts, zones: b.zones, stepBudget: b.env.StepBudget}
	if s.stepBudget == 0 {
		s.stepBudget = DefaultStepBudget
	}
	s.stepBudget = min(s.stepBudget, MaxStepBudget)
	reachability := newReachability(len(list))
	var k *compiler
	if b.checkOnly = check; !check {
		k = newCompiler(b.env)
	}
	first, last := -1, len(b.env.Classes)-1
	if b.env.ClassVar < 0 {
		first, last = anyClass, anyClass
	}
	worstClass := 0
	reported := make(map[*checkedRule]bool) // a forbidden change of class has been reported
	for class := first; class <= last; class++ {
		p, builtBytes := b.program(list, class, k, reachability, reported)
		if p.maxCost > s.maxCost {
			s.maxCost, worstClass = p.maxCost, class
		}
		s.bufferSize = max(s.bufferSize, builtBytes)
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
	reachability.reportWarnings(list)
	if b.env.Trace {
		s.tracedRules = b.traceRules(list, k)
	}
	return s
}

// program builds the program of one class. It also returns the maximum number of bytes of strings built.
func (b *setBuilder) program(list []*checkedRule, class int, k *compiler, reachability *reachability, reported map[*checkedRule]bool) (program, int) {
	folder := b.constFolder(class)
	var out program
	var maxAssignCost int64
	builtBytes, maxValueBytes := 0, 0
	countedCosts, countedStrings := make(map[int]bool), make(map[int]bool)
	cover := reachability.forClass()
	common := b.subexprSharer()
	folded := make([]*node, len(list))
	for i, r := range list {
		if r.condition != nil {
			folded[i] = folder.fold(r.condition)
			common.countUses(folded[i])
		}
	}
	for i, r := range list {
		entry := ruleEntry{rule: uint16(i)}
		var residual evaluator[bool]
		var assigners []assigner
		condition := folded[i]
		if condition != nil && condition.isFalse() {
			continue
		}
		cover.addRule(i, condition)
		always := condition == nil || condition.isTrue()
		if !always {
			condition = common.rewrite(condition)
			out.maxCost = addCost(out.maxCost, condition.totalCost(countedCosts))
			builtBytes += condition.builtBytes(countedStrings)
			if k != nil {
				var n int
				n, residual = out.splitCondition(k, condition)
				entry.inline, entry.residual = uint8(n), residual != nil
			}
		}
		out.maxCost = addCost(out.maxCost, 1)
		var cost int64
		valueBytes := 0
		for _, a := range r.assignments {
			value := folder.fold(a.value)
			cost = addCost(cost, value.totalCost(make(map[int]bool)))
			valueBytes += value.builtBytes(make(map[int]bool))
			if value.typ.Kind == Class && !reported[r] {
				reported[r] = !b.checkClassChange(r, a, class, value)
			}
			if k != nil {
				assigners = append(assigners, newAssigner(k, a, value))
			}
		}
		maxAssignCost, maxValueBytes = max(maxAssignCost, cost), max(maxValueBytes, valueBytes)
		out.entries, out.residual, out.assigners = append(out.entries, entry), append(out.residual, residual), append(out.assigners, assigners)
		if always {
			cover.coverRest(i)
			break // the rules after it are never reached
		}
	}
	out.entries, out.inline = slices.Clip(out.entries), slices.Clip(out.inline)
	out.maxCost = addCost(out.maxCost, addCost(maxAssignCost, 1))
	return out, builtBytes + maxValueBytes
}

// checkClassChange checks the classes that a rule may give a request of class from.
func (b *setBuilder) checkClassChange(r *checkedRule, a checkedAssignment, from int, value *node) bool {
	possible := value.possibleClasses(make(map[int]uint64))
	for to := range len(b.env.Classes) + 1 {
		to-- // from -1, no class
		if possible&(1<<(to+1)) == 0 || to == from {
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

// newAssigner compiles an assignment.
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
		s.template.Persistent = n.op == opTable // the strings of a table belong to the set
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
