package rules

import "slices"

// folder works out what is constant, for requests of one class or of any.
// Nodes that stay as they are are shared.
type folder struct {
	*builder
	class  int // -1: none; anyClass: not known
	locals map[int]*node
	defs   map[int]*node // by slot
	seen   map[*node]*node
}

const anyClass = -2

func (b *builder) folder(class int) *folder {
	return &folder{b, class, make(map[int]*node), make(map[int]*node), make(map[*node]*node)}
}

func (p *folder) fold(n *node) *node {
	if m := p.seen[n]; m != nil {
		return m
	}
	m := p.new(n)
	if n.op != opLocal { // a local stands for what its let has at the time
		p.seen[n] = m
	}
	return m
}

func (p *folder) new(n *node) *node {
	switch n.op {
	case opConst, opText, opClock, opToday:
		return n
	case opVar:
		if n.idx == p.env.ClassVar && p.class != anyClass && len(p.env.Vars) > 0 && n.typ.Kind == Class {
			return constant(Value{Kind: Class, RawValue: RawValue{Integer: int64(p.class)}}, n.at)
		}
		return n
	case opLocal:
		if v := p.locals[n.idx]; v != nil {
			return v
		}
		return n
	case opLet:
		init := p.fold(n.kids[0])
		if init.isConst() {
			p.locals[n.idx] = init
			return p.fold(n.kids[1])
		}
		return p.with(n, []*node{init, p.fold(n.kids[1])})
	case opDef:
		if d := p.defs[n.idx]; d != nil {
			return d
		}
		body := p.fold(n.kids[0])
		d := body
		if !body.isConst() {
			d = p.with(n, []*node{body})
		}
		p.defs[n.idx] = d
		return d
	}
	kids := make([]*node, len(n.kids))
	for i, k := range n.kids {
		kids[i] = p.fold(k)
	}
	switch n.op {
	case opIf:
		if kids[0].isConst() {
			if kids[0].val.IsTrue {
				return kids[1]
			}
			return kids[2]
		}
	case opNot:
		if kids[0].op == opNot {
			return kids[0].kids[0]
		}
	case opAnd, opOr:
		return p.terms(n, kids)
	case opElse:
		if !kids[0].typ.Optional {
			return kids[0]
		}
	}
	return p.folded(p.with(n, kids))
}

// terms drops what doesn't matter in an and or an or.
func (p *folder) terms(n *node, kids []*node) *node {
	var left []*node
	for _, k := range kids {
		switch {
		case k.isConst() && k.val.IsTrue == (n.op == opOr): // it decides all
			return k
		case k.isConst():
		case k.op == n.op:
			left = append(left, k.kids...)
		default:
			left = append(left, k)
		}
	}
	switch len(left) {
	case 0:
		return constant(Value{Kind: Bool, RawValue: RawValue{IsTrue: n.op == opAnd}}, n.at)
	case 1:
		return left[0]
	}
	return p.with(n, left)
}

// with is n with other kids, or n itself if they are its own.
func (p *folder) with(n *node, kids []*node) *node {
	if slices.Equal(n.kids, kids) {
		return n
	}
	m := *n
	m.kids = kids
	return m.finish()
}

// mostFolded is the most steps that are spent on a constant while a set is read.
const mostFolded = 10_000

// folded works a node out whose kids are all constants.
func (b *builder) folded(n *node) *node {
	if n.typ.Optional || n.op == opHas || n.cost > mostFolded {
		return n
	}
	for _, k := range n.kids {
		if !k.isConst() {
			return n
		}
	}
	if v, ok := n.known(); ok {
		return constant(Value{Kind: Bool, RawValue: RawValue{IsTrue: v}}, n.at)
	}
	if b.checking {
		return n
	}
	b.evaluated++ // as any other expression, so that there is one meaning
	s := &Set{env: b.env, slots: b.slots + len(n.kids), zones: b.zones}
	f := s.NewFrame()
	k := newCompiler(b.env)
	v := Value{Kind: n.typ.Kind}
	switch n.typ.Kind.form() {
	case asBool:
		v.IsTrue = k.boolean(n)(f)
	case asFloat:
		v.Float64 = k.float(n)(f)
	case asText:
		v.Str = string([]byte(k.text(n)(f)))
	case asAddr:
		v.IP = k.addr(n)(f)
	default:
		v.Integer = k.num(n)(f)
	}
	return constant(v, n.at)
}

// known works out what only looks at names, as conditions on the class do.
func (n *node) known() (v, ok bool) {
	switch {
	case n.op == opNot:
		return !n.kids[0].val.IsTrue, true
	case n.op == opCompare && (n.kids[0].typ.Kind == Class || n.kids[0].typ.Kind == Team):
		return (n.kids[0].val.Integer == n.kids[1].val.Integer) == (n.cmp == '='), true
	case n.op == opIn && (n.keys.kind == Class || n.keys.kind == Team):
		return n.keys.num(n.kids[0].val.Integer) >= 0, true
	}
	return false, false
}

// classes tells which classes a value may be, by 1 << (class+1). It knows no more
// than that branches and tables yield one of what is in them, and is never too
// little.
func (n *node) classes(locals map[int]uint64) uint64 {
	switch n.op {
	case opConst:
		return 1 << (n.val.Integer + 1)
	case opLocal:
		return locals[n.idx]
	case opLet:
		if n.kids[0].typ.Kind == Class {
			locals[n.idx] = n.kids[0].classes(locals)
		}
		return n.kids[1].classes(locals)
	case opDef:
		return n.kids[0].classes(locals)
	case opIf:
		return n.kids[1].classes(locals) | n.kids[2].classes(locals)
	case opTable:
		set := uint64(1) << (n.tab.miss.Integer + 1)
		for _, v := range n.tab.values {
			set |= 1 << (v.Integer + 1)
		}
		return set
	}
	return 1<<63 - 1 // whatever else there may come to be
}
