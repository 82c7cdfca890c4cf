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

// traced is what Explain needs of a rule.
type traced struct {
	source Source
	parts  []part
}

// part is something of a condition that depends on the request.
type part struct {
	name string
	kind Kind
	read func(*Frame) RawValue
}

// traced keeps the parts of each rule's condition.
func (b *builder) traced(list []*checked, k *compiler) []traced {
	var all []traced
	for _, r := range list {
		t := traced{source: r.Source}
		seen := make(map[string]bool)
		var walk func(n *node)
		walk = func(n *node) {
			if n == nil {
				return
			}
			name := n.text
			switch n.op {
			case opVar, opText, opDef:
			case opTable:
				name += "[…]"
			case opClock, opToday:
				if n.idx > 0 || b.zones[n.idx].name != b.env.LocalZone {
					name += "(\"" + b.zones[n.idx].name + "\")"
				}
			default:
				name = ""
			}
			if name != "" && !seen[name] && !n.bound() {
				seen[name] = true
				t.parts = append(t.parts, part{name, n.typ.Kind, k.reader(n)})
			}
			for _, kid := range n.kids {
				walk(kid)
			}
		}
		walk(r.when)
		all = append(all, t)
	}
	return all
}

// bound tells whether n refers to a let that is outside of it.
func (n *node) bound() bool {
	var free func(n *node, own map[int]bool) bool
	free = func(n *node, own map[int]bool) bool {
		switch n.op {
		case opLocal:
			return !own[n.idx]
		case opLet:
			own[n.idx] = true
		}
		for _, k := range n.kids {
			if free(k, own) {
				return true
			}
		}
		return false
	}
	return free(n, make(map[int]bool))
}

// reader makes the function that reads a value of any kind.
func (k *compiler) reader(n *node) func(*Frame) RawValue {
	switch n.typ.Kind.form() {
	case asBool:
		return reader(compileOpt(k, boolShape, n), boolShape)
	case asFloat:
		return reader(compileOpt(k, floatShape, n), floatShape)
	case asText:
		return reader(compileOpt(k, textShape, n), textShape)
	case asAddr:
		return reader(compileOpt(k, addrShape, n), addrShape)
	}
	return reader(compileOpt(k, numShape, n), numShape)
}

func reader[T any](value opt[T], s *shape[T]) func(*Frame) RawValue {
	return func(f *Frame) (c RawValue) {
		v, ok := value(f)
		s.put(&c, v)
		c.Present = ok
		return c
	}
}

// Explain evaluates as Evaluate does, and tells of each rule up to the one that
// matches. The set must have been compiled with Env.Trace.
func (s *Set) Explain(f *Frame) (rule int, steps []RuleTrace) {
	rule = s.Evaluate(f)
	settings, cost := f.out, f.cost
	f.forget() // definitions are worked out again, each where it is first used
	p := &s.programs[0]
	if v := s.env.ClassVar; v >= 0 {
		p = &s.programs[f.vars[v].Integer+1]
	}
	at, quick := 0, 0
	for i, t := range s.trace {
		if rule >= 0 && i > rule {
			break
		}
		one := RuleTrace{Rule: s.names[i], Source: t.source.Text}
		if at < len(p.steps) && int(p.steps[at].rule) == i {
			f.cost = 0
			one.Matched = p.matches(f, at, quick)
			one.Cost = f.cost
			quick += int(p.steps[at].quick)
			at++
		} else {
			one.Skipped = true
		}
		for _, part := range t.parts {
			one.Values = append(one.Values, NamedValue{part.name, Value{Kind: part.kind, RawValue: part.read(f)}})
		}
		steps = append(steps, one)
	}
	f.out, f.cost = settings, cost
	return rule, steps
}
