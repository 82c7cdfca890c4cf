package rules

// RuleTrace is what happened at one rule.
type RuleTrace struct {
	Rule    string
	Source  string // its condition, as it was written
	Skipped bool   // it can't match a request of this class, and was not looked at
	Matched bool
	Cost    int64 // steps, with definitions where they were first used
	Values  []NamedValue
}

// NamedValue is a part of a condition with what it came to.
type NamedValue struct {
	Name  string
	Value Value
}

// tracedRule is what Explain needs of a rule.
type tracedRule struct {
	source Source
	values []tracedValue
}

// tracedValue is something of a condition that depends on the request.
type tracedValue struct {
	name string
	kind Kind
	read func(*Frame) RawValue
}

// traceRules keeps the parts of each rule's condition.
func (b *setBuilder) traceRules(list []*checkedRule, k *compiler) []tracedRule {
	var all []tracedRule
	for _, r := range list {
		t := tracedRule{source: r.Source}
		seen := make(map[string]bool)
		var walk func(n *node)
		walk = func(n *node) {
			if n == nil {
				return
			}
			name := n.ident
			switch n.op {
			case opVar, opTextRef, opDef:
			case opTable:
				name += "[…]"
			case opClock, opToday:
				if n.idx > 0 || b.zones[n.idx].name != b.env.LocalZone {
					name += "(\"" + b.zones[n.idx].name + "\")"
				}
			default:
				name = ""
			}
			if name != "" && !seen[name] && !n.hasFreeLocal() {
				seen[name] = true
				t.values = append(t.values, tracedValue{name, n.typ.Kind, k.valueReader(n)})
			}
			for _, kid := range n.children {
				walk(kid)
			}
		}
		walk(r.condition)
		all = append(all, t)
	}
	return all
}

// hasFreeLocal tells whether n refers to a let that is outside of it.
func (n *node) hasFreeLocal() bool {
	var free func(n *node, own map[int]bool) bool
	free = func(n *node, own map[int]bool) bool {
		switch n.op {
		case opLocal:
			return !own[n.idx]
		case opLet:
			own[n.idx] = true
		}
		for _, k := range n.children {
			if free(k, own) {
				return true
			}
		}
		return false
	}
	return free(n, make(map[int]bool))
}

// valueReader makes the function that reads a value of any kind.
func (k *compiler) valueReader(n *node) func(*Frame) RawValue {
	switch n.typ.Kind.representation() {
	case reprBool:
		return valueReader(compileOptional(k, boolOps, n), boolOps)
	case reprFloat:
		return valueReader(compileOptional(k, floatOps, n), floatOps)
	case reprString:
		return valueReader(compileOptional(k, stringOps, n), stringOps)
	case reprAddr:
		return valueReader(compileOptional(k, addrOps, n), addrOps)
	}
	return valueReader(compileOptional(k, intOps, n), intOps)
}

func valueReader[T any](value optEvaluator[T], s *valueOps[T]) func(*Frame) RawValue {
	return func(f *Frame) (c RawValue) {
		v, ok := value(f)
		s.store(&c, v)
		c.Present = ok
		return c
	}
}

// Explain evaluates as Evaluate does, and tells of each rule up to the one that
// matches. The set must have been compiled with Env.Trace.
func (s *Set) Explain(f *Frame) (rule int, steps []RuleTrace) {
	rule = s.Evaluate(f)
	settings, cost := f.assignments, f.cost
	f.nextGeneration() // definitions are worked out again, each where it is first used
	p := &s.programs[0]
	if v := s.env.ClassVar; v >= 0 {
		p = &s.programs[f.vars[v].Integer+1]
	}
	at, quick := 0, 0
	for i, t := range s.tracedRules {
		if rule >= 0 && i > rule {
			break
		}
		one := RuleTrace{Rule: s.ruleNames[i], Source: t.source.Text}
		if at < len(p.entries) && int(p.entries[at].rule) == i {
			f.cost = 0
			one.Matched = p.matches(f, at, quick)
			one.Cost = f.cost
			quick += int(p.entries[at].inline)
			at++
		} else {
			one.Skipped = true
		}
		for _, traced := range t.values {
			one.Values = append(one.Values, NamedValue{traced.name, Value{Kind: traced.kind, RawValue: traced.read(f)}})
		}
		steps = append(steps, one)
	}
	f.assignments, f.cost = settings, cost
	return rule, steps
}
