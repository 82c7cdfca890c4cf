package rules

// evaluator evaluates to a T; opt to one that may be absent.
type (
	evaluator[T any]    func(*Frame) T
	optEvaluator[T any] func(*Frame) (T, bool)
)

// compiler turns checked nodes into functions. What nodes share is compiled once.
type compiler struct {
	env              *Env
	boolEvaluators   map[*node]evaluator[bool]
	intEvaluators    map[*node]evaluator[int64]
	floatEvaluators  map[*node]evaluator[float64]
	stringEvaluators map[*node]evaluator[string]
	addrEvaluators   map[*node]evaluator[addr]
}

func newCompiler(env *Env) *compiler {
	return &compiler{
		env: env, boolEvaluators: make(map[*node]evaluator[bool]), intEvaluators: make(map[*node]evaluator[int64]), floatEvaluators: make(map[*node]evaluator[float64]),
		stringEvaluators: make(map[*node]evaluator[string]), addrEvaluators: make(map[*node]evaluator[addr]),
	}
}

// valueOps is how values of one form are kept in cells, and what is peculiar to it.
type valueOps[T any] struct {
	load            func(*RawValue) T
	store           func(*RawValue, T)
	cache           func(*compiler) map[*node]evaluator[T]
	compileOp       func(*compiler, *node) evaluator[T] // operators that only this form has
	callCompiler    func(*function) func(*compiler, *node) evaluator[T]
	optCallCompiler func(*function) func(*compiler, *node) optEvaluator[T]
}

var (
	boolOps   *valueOps[bool]
	intOps    *valueOps[int64]
	floatOps  *valueOps[float64]
	stringOps *valueOps[string]
	addrOps   *valueOps[addr]
)

func init() {
	boolOps = &valueOps[bool]{
		func(c *RawValue) bool { return c.IsTrue }, func(c *RawValue, v bool) { c.IsTrue = v },
		func(k *compiler) map[*node]evaluator[bool] { return k.boolEvaluators }, compileBoolOp,
		func(f *function) func(*compiler, *node) evaluator[bool] { return f.compileBool },
		func(*function) func(*compiler, *node) optEvaluator[bool] { return nil },
	}
	intOps = &valueOps[int64]{
		func(c *RawValue) int64 { return c.Integer }, func(c *RawValue, v int64) { c.Integer = v },
		func(k *compiler) map[*node]evaluator[int64] { return k.intEvaluators }, compileIntOp,
		func(f *function) func(*compiler, *node) evaluator[int64] { return f.compileInt },
		func(f *function) func(*compiler, *node) optEvaluator[int64] { return f.compileOptInt },
	}
	floatOps = &valueOps[float64]{
		func(c *RawValue) float64 { return c.Float64 }, func(c *RawValue, v float64) { c.Float64 = v },
		func(k *compiler) map[*node]evaluator[float64] { return k.floatEvaluators }, compileFloatOp,
		func(f *function) func(*compiler, *node) evaluator[float64] { return f.compileFloat },
		func(f *function) func(*compiler, *node) optEvaluator[float64] { return f.compileOptFloat },
	}
	stringOps = &valueOps[string]{
		func(c *RawValue) string { return c.Str }, func(c *RawValue, v string) { c.Str = v },
		func(k *compiler) map[*node]evaluator[string] { return k.stringEvaluators }, compileConcat,
		func(f *function) func(*compiler, *node) evaluator[string] { return f.compileString },
		func(f *function) func(*compiler, *node) optEvaluator[string] { return f.compileOptString },
	}
	addrOps = &valueOps[addr]{
		func(c *RawValue) addr { return c.IP }, func(c *RawValue, v addr) { c.IP = v },
		func(k *compiler) map[*node]evaluator[addr] { return k.addrEvaluators }, nil,
		func(*function) func(*compiler, *node) evaluator[addr] { return nil },
		func(f *function) func(*compiler, *node) optEvaluator[addr] { return f.compileOptAddr },
	}
}

func (k *compiler) compileBool(n *node) evaluator[bool]     { return compile(k, boolOps, n) }
func (k *compiler) compileInt(n *node) evaluator[int64]     { return compile(k, intOps, n) }
func (k *compiler) compileFloat(n *node) evaluator[float64] { return compile(k, floatOps, n) }
func (k *compiler) compileString(n *node) evaluator[string] { return compile(k, stringOps, n) }
func (k *compiler) compileAddr(n *node) evaluator[addr]     { return compile(k, addrOps, n) }

// compile makes the function of a node that is never absent.
func compile[T any](k *compiler, s *valueOps[T], n *node) evaluator[T] {
	seen := s.cache(k)
	if f := seen[n]; f != nil {
		return f
	}
	f := compileUncached(k, s, n)
	seen[n] = f
	return f
}

func compileUncached[T any](k *compiler, s *valueOps[T], n *node) evaluator[T] {
	i, get, put := n.idx, s.load, s.store
	switch n.op {
	case opConst:
		v := get(&n.constValue.RawValue)
		return func(*Frame) T { return v }
	case opVar:
		return func(f *Frame) T { f.cost++; return get(&f.vars[i]) }
	case opLocal:
		return func(f *Frame) T { f.cost++; return get(&f.slots[i]) }
	case opLet:
		bind, body := k.compileBinding(n.children[0], i), compile(k, s, n.children[1])
		return func(f *Frame) T { f.cost++; bind(f); return body(f) }
	case opDef:
		body := compile(k, s, n.children[0])
		return func(f *Frame) T {
			f.cost++
			if f.slotGenerations[i] != f.generation {
				put(&f.slots[i], body(f))
				f.slotGenerations[i] = f.generation
			}
			return get(&f.slots[i])
		}
	case opIf:
		cond, then, other := k.compileBool(n.children[0]), compile(k, s, n.children[1]), compile(k, s, n.children[2])
		return func(f *Frame) T {
			f.cost++
			if cond(f) {
				return then(f)
			}
			return other(f)
		}
	case opDefault:
		value, other := compileOptional(k, s, n.children[0]), compile(k, s, n.children[1])
		return func(f *Frame) T {
			f.cost++
			if v, ok := value(f); ok {
				return v
			}
			return other(f)
		}
	case opTable:
		row, t := k.compileRow(n.tableRef.keyIndex, n.children[0], n.cost), n.tableRef
		return func(f *Frame) T { return get(&t.valueAt(row(f)).RawValue) }
	case opCall:
		return s.callCompiler(n.callee)(k, n)
	}
	return s.compileOp(k, n)
}

// compileOptional makes the function of a node that may be absent.
func compileOptional[T any](k *compiler, s *valueOps[T], n *node) optEvaluator[T] {
	i, get, put := n.idx, s.load, s.store
	if !n.typ.Optional { // a default that is never absent
		f := compile(k, s, n)
		return func(fr *Frame) (T, bool) { return f(fr), true }
	}
	switch n.op {
	case opVar:
		return func(f *Frame) (T, bool) { f.cost++; c := &f.vars[i]; return get(c), c.Present }
	case opTextRef:
		return func(f *Frame) (T, bool) { f.cost++; c := &f.texts[i]; return get(c), c.Present }
	case opLocal:
		return func(f *Frame) (T, bool) { f.cost++; c := &f.slots[i]; return get(c), c.Present }
	case opLet:
		bind, body := k.compileBinding(n.children[0], i), compileOptional(k, s, n.children[1])
		return func(f *Frame) (T, bool) { f.cost++; bind(f); return body(f) }
	case opDef:
		body := compileOptional(k, s, n.children[0])
		return func(f *Frame) (T, bool) {
			f.cost++
			c := &f.slots[i]
			if f.slotGenerations[i] != f.generation {
				v, ok := body(f)
				put(c, v)
				c.Present = ok
				f.slotGenerations[i] = f.generation
			}
			return get(c), c.Present
		}
	case opDefault:
		value, other := compileOptional(k, s, n.children[0]), compileOptional(k, s, n.children[1])
		return func(f *Frame) (T, bool) {
			f.cost++
			if v, ok := value(f); ok {
				return v, true
			}
			return other(f)
		}
	}
	return s.optCallCompiler(n.callee)(k, n)
}

// compileBinding makes the function that puts a value, absent or not, into a slot.
func (k *compiler) compileBinding(n *node, slot int) func(*Frame) {
	switch n.typ.Kind.representation() {
	case reprBool:
		return compileBinding(k, boolOps, n, slot)
	case reprFloat:
		return compileBinding(k, floatOps, n, slot)
	case reprString:
		return compileBinding(k, stringOps, n, slot)
	case reprAddr:
		return compileBinding(k, addrOps, n, slot)
	}
	return compileBinding(k, intOps, n, slot)
}

func compileBinding[T any](k *compiler, s *valueOps[T], n *node, slot int) func(*Frame) {
	put := s.store
	value := compileOptional(k, s, n)
	return func(f *Frame) {
		v, ok := value(f)
		c := &f.slots[slot]
		put(c, v)
		c.Present = ok
	}
}

// presenceTest makes the function that tells whether a value is there.
func (k *compiler) presenceTest(n *node) evaluator[bool] {
	switch n.typ.Kind.representation() {
	case reprBool:
		return presenceTest(compileOptional(k, boolOps, n))
	case reprFloat:
		return presenceTest(compileOptional(k, floatOps, n))
	case reprString:
		return presenceTest(compileOptional(k, stringOps, n))
	case reprAddr:
		return presenceTest(compileOptional(k, addrOps, n))
	}
	return presenceTest(compileOptional(k, intOps, n))
}

func presenceTest[T any](value optEvaluator[T]) evaluator[bool] {
	return func(f *Frame) bool { f.cost++; _, ok := value(f); return ok }
}

// compileRow makes the function that finds a key's row.
func (k *compiler) compileRow(x *keyIndex, key *node, cost int64) evaluator[int32] {
	switch x.kind {
	case String:
		s := k.compileString(key)
		return func(f *Frame) int32 { v := s(f); f.cost += 6 + scanCost(len(v)); return x.findString(v) }
	case Prefix:
		a := k.compileAddr(key)
		return func(f *Frame) int32 { f.cost += cost; return x.findAddr(a(f)) }
	}
	v := k.compileInt(key)
	return func(f *Frame) int32 { f.cost += cost; return x.findInt(v(f)) }
}

func compileBoolOp(k *compiler, n *node) evaluator[bool] {
	switch n.op {
	case opNot:
		v := k.compileBool(n.children[0])
		return func(f *Frame) bool { f.cost++; return !v(f) }
	case opAnd:
		return compileLogical(k, n.children, true)
	case opOr:
		return compileLogical(k, n.children, false)
	case opHas:
		return k.presenceTest(n.children[0])
	case opIn:
		row := k.compileRow(n.members, n.children[0], n.cost)
		return func(f *Frame) bool { return row(f) >= 0 }
	case opInPrefix:
		a, p := k.compileAddr(n.children[0]), n.constValue.Network
		return func(f *Frame) bool { f.cost++; return p.Contains(a(f).WithZone("")) }
	}
	return k.compileCompare(n)
}

// compileLogical is and, whose terms are evaluated while they are true, or or.
func compileLogical(k *compiler, kids []*node, while bool) evaluator[bool] {
	terms := make([]evaluator[bool], len(kids))
	for i, kid := range kids {
		terms[i] = k.compileBool(kid)
	}
	if len(terms) == 2 {
		a, b := terms[0], terms[1]
		if while {
			return func(f *Frame) bool { f.cost++; return a(f) && b(f) }
		}
		return func(f *Frame) bool { f.cost++; return a(f) || b(f) }
	}
	if len(terms) == 3 && while {
		a, b, c := terms[0], terms[1], terms[2]
		return func(f *Frame) bool { f.cost++; return a(f) && b(f) && c(f) }
	}
	return func(f *Frame) bool {
		f.cost++
		for _, t := range terms {
			if t(f) != while {
				return !while
			}
		}
		return while
	}
}

func (k *compiler) compileCompare(n *node) evaluator[bool] {
	a, b := n.children[0], n.children[1]
	switch a.typ.Kind.representation() {
	case reprBool:
		x, y, same := k.compileBool(a), k.compileBool(b), n.symbol == '='
		return func(f *Frame) bool { f.cost++; return (x(f) == y(f)) == same }
	case reprAddr:
		x, y, same := k.compileAddr(a), k.compileAddr(b), n.symbol == '='
		return func(f *Frame) bool { f.cost++; return (x(f) == y(f)) == same }
	case reprFloat:
		return compileOrdered(n.symbol, k.compileFloat(a), k.compileFloat(b), n.cost)
	case reprString:
		return compileOrdered(n.symbol, k.compileString(a), k.compileString(b), n.cost)
	}
	if b.isConst() && a.op == opVar { // many conditions are this
		return compareVar(n.symbol, a.idx, b.constValue.Integer)
	}
	if b.isConst() && (n.symbol == '=' || n.symbol == '!') {
		x, v, same := k.compileInt(a), b.constValue.Integer, n.symbol == '='
		return func(f *Frame) bool { f.cost++; return (x(f) == v) == same }
	}
	return compileOrdered(n.symbol, k.compileInt(a), k.compileInt(b), n.cost)
}

// compareVar holds a variable against a constant.
func compareVar(cmp byte, i int, v int64) evaluator[bool] {
	switch cmp {
	case '=':
		return func(f *Frame) bool { f.cost += 2; return f.vars[i].Integer == v }
	case '!':
		return func(f *Frame) bool { f.cost += 2; return f.vars[i].Integer != v }
	case '<':
		return func(f *Frame) bool { f.cost += 2; return f.vars[i].Integer < v }
	case 'l':
		return func(f *Frame) bool { f.cost += 2; return f.vars[i].Integer <= v }
	case '>':
		return func(f *Frame) bool { f.cost += 2; return f.vars[i].Integer > v }
	}
	return func(f *Frame) bool { f.cost += 2; return f.vars[i].Integer >= v }
}

func compileOrdered[T int64 | float64 | string](cmp byte, a, b evaluator[T], cost int64) evaluator[bool] {
	switch cmp {
	case '=':
		return func(f *Frame) bool { f.cost += cost; return a(f) == b(f) }
	case '!':
		return func(f *Frame) bool { f.cost += cost; return a(f) != b(f) }
	case '<':
		return func(f *Frame) bool { f.cost += cost; return a(f) < b(f) }
	case 'l':
		return func(f *Frame) bool { f.cost += cost; return a(f) <= b(f) }
	case '>':
		return func(f *Frame) bool { f.cost += cost; return a(f) > b(f) }
	}
	return func(f *Frame) bool { f.cost += cost; return a(f) >= b(f) }
}

func compileIntOp(k *compiler, n *node) evaluator[int64] {
	i := n.idx
	switch n.op {
	case opNeg:
		v := k.compileInt(n.children[0])
		return func(f *Frame) int64 { f.cost++; return saturatingNeg(v(f)) }
	case opClock:
		return func(f *Frame) int64 {
			if f.zones[i].generation != f.generation {
				f.cost += 40
			}
			return f.localTime(i).clock
		}
	case opToday:
		return func(f *Frame) int64 {
			if f.zones[i].generation != f.generation {
				f.cost += 40
			}
			return f.localTime(i).date
		}
	}
	a, b, o := k.compileInt(n.children[0]), k.compileInt(n.children[1]), n.symbol
	if n.typ.Kind == Date {
		return func(f *Frame) int64 { f.cost++; return clampDate(intArith(o, a(f), b(f))) }
	}
	return func(f *Frame) int64 { f.cost++; return intArith(o, a(f), b(f)) }
}

func compileFloatOp(k *compiler, n *node) evaluator[float64] {
	if n.op == opNeg {
		v := k.compileFloat(n.children[0])
		return func(f *Frame) float64 { f.cost++; return -v(f) }
	}
	a, b, o := k.compileFloat(n.children[0]), k.compileFloat(n.children[1]), n.symbol
	return func(f *Frame) float64 { f.cost++; return floatArith(o, a(f), b(f)) }
}

// compileConcat is concatenation. The parts are worked out first: one that makes a
// string of its own would stand amid the whole.
func compileConcat(k *compiler, n *node) evaluator[string] {
	parts, base := make([]evaluator[string], len(n.children)), n.idx
	for i, kid := range n.children {
		parts[i] = k.compileString(kid)
	}
	return func(f *Frame) string {
		size := 0
		for i, p := range parts {
			s := p(f)
			f.slots[base+i].Str = s
			size += len(s)
		}
		f.cost += scanCost(size) + int64(len(parts))
		at := len(f.buf)
		for i := range parts {
			f.buf = append(f.buf, f.slots[base+i].Str...)
		}
		return f.builtString(at)
	}
}
