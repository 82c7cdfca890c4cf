package rules

// fn evaluates to a T; opt to one that may be absent.
type (
	fn[T any]  func(*Frame) T
	opt[T any] func(*Frame) (T, bool)
)

// compiler turns checked nodes into functions. What nodes share is compiled once.
type compiler struct {
	env    *Env
	bools  map[*node]fn[bool]
	nums   map[*node]fn[int64]
	floats map[*node]fn[float64]
	texts  map[*node]fn[string]
	addrs  map[*node]fn[addr]
}

func newCompiler(env *Env) *compiler {
	return &compiler{
		env: env, bools: make(map[*node]fn[bool]), nums: make(map[*node]fn[int64]), floats: make(map[*node]fn[float64]),
		texts: make(map[*node]fn[string]), addrs: make(map[*node]fn[addr]),
	}
}

// shape is how values of one form are kept in cells, and what is peculiar to it.
type shape[T any] struct {
	get     func(*RawValue) T
	put     func(*RawValue, T)
	seen    func(*compiler) map[*node]fn[T]
	own     func(*compiler, *node) fn[T] // operators that only this form has
	call    func(*function) func(*compiler, *node) fn[T]
	callOpt func(*function) func(*compiler, *node) opt[T]
}

var (
	boolShape  *shape[bool]
	numShape   *shape[int64]
	floatShape *shape[float64]
	textShape  *shape[string]
	addrShape  *shape[addr]
)

func init() {
	boolShape = &shape[bool]{
		func(c *RawValue) bool { return c.IsTrue }, func(c *RawValue, v bool) { c.IsTrue = v },
		func(k *compiler) map[*node]fn[bool] { return k.bools }, compileBool,
		func(f *function) func(*compiler, *node) fn[bool] { return f.boolean },
		func(*function) func(*compiler, *node) opt[bool] { return nil },
	}
	numShape = &shape[int64]{
		func(c *RawValue) int64 { return c.Integer }, func(c *RawValue, v int64) { c.Integer = v },
		func(k *compiler) map[*node]fn[int64] { return k.nums }, compileNum,
		func(f *function) func(*compiler, *node) fn[int64] { return f.num },
		func(f *function) func(*compiler, *node) opt[int64] { return f.optNum },
	}
	floatShape = &shape[float64]{
		func(c *RawValue) float64 { return c.Float64 }, func(c *RawValue, v float64) { c.Float64 = v },
		func(k *compiler) map[*node]fn[float64] { return k.floats }, compileFloat,
		func(f *function) func(*compiler, *node) fn[float64] { return f.float },
		func(f *function) func(*compiler, *node) opt[float64] { return f.optFlt },
	}
	textShape = &shape[string]{
		func(c *RawValue) string { return c.Str }, func(c *RawValue, v string) { c.Str = v },
		func(k *compiler) map[*node]fn[string] { return k.texts }, compileText,
		func(f *function) func(*compiler, *node) fn[string] { return f.text },
		func(f *function) func(*compiler, *node) opt[string] { return f.optText },
	}
	addrShape = &shape[addr]{
		func(c *RawValue) addr { return c.IP }, func(c *RawValue, v addr) { c.IP = v },
		func(k *compiler) map[*node]fn[addr] { return k.addrs }, nil,
		func(*function) func(*compiler, *node) fn[addr] { return nil },
		func(f *function) func(*compiler, *node) opt[addr] { return f.optAddr },
	}
}

func (k *compiler) boolean(n *node) fn[bool]  { return compile(k, boolShape, n) }
func (k *compiler) num(n *node) fn[int64]     { return compile(k, numShape, n) }
func (k *compiler) float(n *node) fn[float64] { return compile(k, floatShape, n) }
func (k *compiler) text(n *node) fn[string]   { return compile(k, textShape, n) }
func (k *compiler) addr(n *node) fn[addr]     { return compile(k, addrShape, n) }

// compile makes the function of a node that is never absent.
func compile[T any](k *compiler, s *shape[T], n *node) fn[T] {
	seen := s.seen(k)
	if f := seen[n]; f != nil {
		return f
	}
	f := compileNew(k, s, n)
	seen[n] = f
	return f
}

func compileNew[T any](k *compiler, s *shape[T], n *node) fn[T] {
	i, get, put := n.idx, s.get, s.put
	switch n.op {
	case opConst:
		v := get(&n.val.RawValue)
		return func(*Frame) T { return v }
	case opVar:
		return func(f *Frame) T { f.cost++; return get(&f.vars[i]) }
	case opLocal:
		return func(f *Frame) T { f.cost++; return get(&f.slots[i]) }
	case opLet:
		bind, body := k.bind(n.kids[0], i), compile(k, s, n.kids[1])
		return func(f *Frame) T { f.cost++; bind(f); return body(f) }
	case opDef:
		body := compile(k, s, n.kids[0])
		return func(f *Frame) T {
			f.cost++
			if f.turns[i] != f.turn {
				put(&f.slots[i], body(f))
				f.turns[i] = f.turn
			}
			return get(&f.slots[i])
		}
	case opIf:
		cond, then, other := k.boolean(n.kids[0]), compile(k, s, n.kids[1]), compile(k, s, n.kids[2])
		return func(f *Frame) T {
			f.cost++
			if cond(f) {
				return then(f)
			}
			return other(f)
		}
	case opElse:
		value, other := compileOpt(k, s, n.kids[0]), compile(k, s, n.kids[1])
		return func(f *Frame) T {
			f.cost++
			if v, ok := value(f); ok {
				return v
			}
			return other(f)
		}
	case opTable:
		row, t := k.row(n.tab.index, n.kids[0], n.cost), n.tab
		return func(f *Frame) T { return get(&t.at(row(f)).RawValue) }
	case opCall:
		return s.call(n.fn)(k, n)
	}
	return s.own(k, n)
}

// compileOpt makes the function of a node that may be absent.
func compileOpt[T any](k *compiler, s *shape[T], n *node) opt[T] {
	i, get, put := n.idx, s.get, s.put
	if !n.typ.Optional { // a default that is never absent
		f := compile(k, s, n)
		return func(fr *Frame) (T, bool) { return f(fr), true }
	}
	switch n.op {
	case opVar:
		return func(f *Frame) (T, bool) { f.cost++; c := &f.vars[i]; return get(c), c.Present }
	case opText:
		return func(f *Frame) (T, bool) { f.cost++; c := &f.texts[i]; return get(c), c.Present }
	case opLocal:
		return func(f *Frame) (T, bool) { f.cost++; c := &f.slots[i]; return get(c), c.Present }
	case opLet:
		bind, body := k.bind(n.kids[0], i), compileOpt(k, s, n.kids[1])
		return func(f *Frame) (T, bool) { f.cost++; bind(f); return body(f) }
	case opDef:
		body := compileOpt(k, s, n.kids[0])
		return func(f *Frame) (T, bool) {
			f.cost++
			c := &f.slots[i]
			if f.turns[i] != f.turn {
				v, ok := body(f)
				put(c, v)
				c.Present = ok
				f.turns[i] = f.turn
			}
			return get(c), c.Present
		}
	case opElse:
		value, other := compileOpt(k, s, n.kids[0]), compileOpt(k, s, n.kids[1])
		return func(f *Frame) (T, bool) {
			f.cost++
			if v, ok := value(f); ok {
				return v, true
			}
			return other(f)
		}
	}
	return s.callOpt(n.fn)(k, n)
}

// bind makes the function that puts a value, absent or not, into a slot.
func (k *compiler) bind(n *node, slot int) func(*Frame) {
	switch n.typ.Kind.form() {
	case asBool:
		return bind(k, boolShape, n, slot)
	case asFloat:
		return bind(k, floatShape, n, slot)
	case asText:
		return bind(k, textShape, n, slot)
	case asAddr:
		return bind(k, addrShape, n, slot)
	}
	return bind(k, numShape, n, slot)
}

func bind[T any](k *compiler, s *shape[T], n *node, slot int) func(*Frame) {
	put := s.put
	value := compileOpt(k, s, n)
	return func(f *Frame) {
		v, ok := value(f)
		c := &f.slots[slot]
		put(c, v)
		c.Present = ok
	}
}

// present makes the function that tells whether a value is there.
func (k *compiler) present(n *node) fn[bool] {
	switch n.typ.Kind.form() {
	case asBool:
		return present(compileOpt(k, boolShape, n))
	case asFloat:
		return present(compileOpt(k, floatShape, n))
	case asText:
		return present(compileOpt(k, textShape, n))
	case asAddr:
		return present(compileOpt(k, addrShape, n))
	}
	return present(compileOpt(k, numShape, n))
}

func present[T any](value opt[T]) fn[bool] {
	return func(f *Frame) bool { f.cost++; _, ok := value(f); return ok }
}

// row makes the function that finds a key's row.
func (k *compiler) row(x *index, key *node, cost int64) fn[int32] {
	switch x.kind {
	case String:
		s := k.text(key)
		return func(f *Frame) int32 { v := s(f); f.cost += 6 + textCost(len(v)); return x.str(v) }
	case Prefix:
		a := k.addr(key)
		return func(f *Frame) int32 { f.cost += cost; return x.addr(a(f)) }
	}
	v := k.num(key)
	return func(f *Frame) int32 { f.cost += cost; return x.num(v(f)) }
}

func compileBool(k *compiler, n *node) fn[bool] {
	switch n.op {
	case opNot:
		v := k.boolean(n.kids[0])
		return func(f *Frame) bool { f.cost++; return !v(f) }
	case opAnd:
		return chain(k, n.kids, true)
	case opOr:
		return chain(k, n.kids, false)
	case opHas:
		return k.present(n.kids[0])
	case opIn:
		row := k.row(n.keys, n.kids[0], n.cost)
		return func(f *Frame) bool { return row(f) >= 0 }
	case opInside:
		a, p := k.addr(n.kids[0]), n.val.Network
		return func(f *Frame) bool { f.cost++; return p.Contains(a(f).WithZone("")) }
	}
	return k.compare(n)
}

// chain is and, whose terms are evaluated while they are true, or or.
func chain(k *compiler, kids []*node, while bool) fn[bool] {
	terms := make([]fn[bool], len(kids))
	for i, kid := range kids {
		terms[i] = k.boolean(kid)
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

func (k *compiler) compare(n *node) fn[bool] {
	a, b := n.kids[0], n.kids[1]
	switch a.typ.Kind.form() {
	case asBool:
		x, y, same := k.boolean(a), k.boolean(b), n.cmp == '='
		return func(f *Frame) bool { f.cost++; return (x(f) == y(f)) == same }
	case asAddr:
		x, y, same := k.addr(a), k.addr(b), n.cmp == '='
		return func(f *Frame) bool { f.cost++; return (x(f) == y(f)) == same }
	case asFloat:
		return ordered(n.cmp, k.float(a), k.float(b), n.cost)
	case asText:
		return ordered(n.cmp, k.text(a), k.text(b), n.cost)
	}
	if b.isConst() && a.op == opVar { // many conditions are this
		return varCompare(n.cmp, a.idx, b.val.Integer)
	}
	if b.isConst() && (n.cmp == '=' || n.cmp == '!') {
		x, v, same := k.num(a), b.val.Integer, n.cmp == '='
		return func(f *Frame) bool { f.cost++; return (x(f) == v) == same }
	}
	return ordered(n.cmp, k.num(a), k.num(b), n.cost)
}

// varCompare holds a variable against a constant.
func varCompare(cmp byte, i int, v int64) fn[bool] {
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

func ordered[T int64 | float64 | string](cmp byte, a, b fn[T], cost int64) fn[bool] {
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

func compileNum(k *compiler, n *node) fn[int64] {
	i := n.idx
	switch n.op {
	case opNeg:
		v := k.num(n.kids[0])
		return func(f *Frame) int64 { f.cost++; return negate(v(f)) }
	case opClock:
		return func(f *Frame) int64 {
			if f.zones[i].turn != f.turn {
				f.cost += 40
			}
			return f.zone(i).clock
		}
	case opToday:
		return func(f *Frame) int64 {
			if f.zones[i].turn != f.turn {
				f.cost += 40
			}
			return f.zone(i).date
		}
	}
	a, b, o := k.num(n.kids[0]), k.num(n.kids[1]), n.cmp
	if n.typ.Kind == Date {
		return func(f *Frame) int64 { f.cost++; return onDate(arith(o, a(f), b(f))) }
	}
	return func(f *Frame) int64 { f.cost++; return arith(o, a(f), b(f)) }
}

func compileFloat(k *compiler, n *node) fn[float64] {
	if n.op == opNeg {
		v := k.float(n.kids[0])
		return func(f *Frame) float64 { f.cost++; return -v(f) }
	}
	a, b, o := k.float(n.kids[0]), k.float(n.kids[1]), n.cmp
	return func(f *Frame) float64 { f.cost++; return arithFloat(o, a(f), b(f)) }
}

// compileText is concatenation. The parts are worked out first: one that makes a
// string of its own would stand amid the whole.
func compileText(k *compiler, n *node) fn[string] {
	parts, base := make([]fn[string], len(n.kids)), n.idx
	for i, kid := range n.kids {
		parts[i] = k.text(kid)
	}
	return func(f *Frame) string {
		size := 0
		for i, p := range parts {
			s := p(f)
			f.slots[base+i].Str = s
			size += len(s)
		}
		f.cost += textCost(size) + int64(len(parts))
		at := len(f.buf)
		for i := range parts {
			f.buf = append(f.buf, f.slots[base+i].Str...)
		}
		return f.since(at)
	}
}
