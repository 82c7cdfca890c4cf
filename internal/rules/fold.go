package rules

import "slices"

// constFolder works out what is constant, for requests of one class or of any.
// Nodes that stay as they are are shared.
type constFolder struct {
	*setBuilder
	class       int // -1: none; anyClass: not known
	locals      map[int]*node
	definitions map[int]*node // by slot
	folded      map[*node]*node
}

const anyClass = -2

func (b *setBuilder) constFolder(class int) *constFolder {
	return &constFolder{b, class, make(map[int]*node), make(map[int]*node), make(map[*node]*node)}
}

func (p *constFolder) fold(n *node) *node {
	if m := p.folded[n]; m != nil {
		return m
	}
	m := p.foldUncached(n)
	if n.op != opLocal { // a local stands for what its let has at the time
		p.folded[n] = m
	}
	return m
}

func (p *constFolder) foldUncached(n *node) *node {
	switch n.op {
	case opConst, opTextRef, opClock, opToday:
		return n
	case opVar:
		if n.idx == p.env.ClassVar && p.class != anyClass && len(p.env.Vars) > 0 && n.typ.Kind == Class {
			return newConst(Value{Kind: Class, RawValue: RawValue{Integer: int64(p.class)}}, n.pos)
		}
		return n
	case opLocal:
		if v := p.locals[n.idx]; v != nil {
			return v
		}
		return n
	case opLet:
		init := p.fold(n.children[0])
		if init.isConst() {
			p.locals[n.idx] = init
			return p.fold(n.children[1])
		}
		return p.withChildren(n, []*node{init, p.fold(n.children[1])})
	case opDef:
		if d := p.definitions[n.idx]; d != nil {
			return d
		}
		body := p.fold(n.children[0])
		d := body
		if !body.isConst() {
			d = p.withChildren(n, []*node{body})
		}
		p.definitions[n.idx] = d
		return d
	}
	kids := make([]*node, len(n.children))
	for i, k := range n.children {
		kids[i] = p.fold(k)
	}
	switch n.op {
	case opIf:
		if kids[0].isConst() {
			if kids[0].constValue.IsTrue {
				return kids[1]
			}
			return kids[2]
		}
	case opNot:
		if kids[0].op == opNot {
			return kids[0].children[0]
		}
	case opAnd, opOr:
		return p.foldLogical(n, kids)
	case opDefault:
		if !kids[0].typ.Optional {
			return kids[0]
		}
	}
	return p.evalConst(p.withChildren(n, kids))
}

// foldLogical drops what doesn't matter in an and or an or.
func (p *constFolder) foldLogical(n *node, kids []*node) *node {
	var left []*node
	for _, k := range kids {
		switch {
		case k.isConst() && k.constValue.IsTrue == (n.op == opOr): // it decides all
			return k
		case k.isConst():
		case k.op == n.op:
			left = append(left, k.children...)
		default:
			left = append(left, k)
		}
	}
	switch len(left) {
	case 0:
		return newConst(Value{Kind: Bool, RawValue: RawValue{IsTrue: n.op == opAnd}}, n.pos)
	case 1:
		return left[0]
	}
	return p.withChildren(n, left)
}

// withChildren is n with other kids, or n itself if they are its own.
func (p *constFolder) withChildren(n *node, kids []*node) *node {
	if slices.Equal(n.children, kids) {
		return n
	}
	m := *n
	m.children = kids
	return m.finish()
}

// maxFoldCost is the most steps that are spent on a constant while a set is read.
const maxFoldCost = 10_000

// evalConst works a node out whose kids are all constants.
func (b *setBuilder) evalConst(n *node) *node {
	if n.typ.Optional || n.op == opHas || n.cost > maxFoldCost {
		return n
	}
	for _, k := range n.children {
		if !k.isConst() {
			return n
		}
	}
	if v, ok := n.evalNames(); ok {
		return newConst(Value{Kind: Bool, RawValue: RawValue{IsTrue: v}}, n.pos)
	}
	if b.checkOnly {
		return n
	}
	b.foldedConsts++ // as any other expression, so that there is one meaning
	s := &Set{env: b.env, slots: b.slots + len(n.children), zones: b.zones}
	f := s.NewFrame()
	k := newCompiler(b.env)
	v := Value{Kind: n.typ.Kind}
	switch n.typ.Kind.representation() {
	case reprBool:
		v.IsTrue = k.compileBool(n)(f)
	case reprFloat:
		v.Float64 = k.compileFloat(n)(f)
	case reprString:
		v.Str = string([]byte(k.compileString(n)(f)))
	case reprAddr:
		v.IP = k.compileAddr(n)(f)
	default:
		v.Integer = k.compileInt(n)(f)
	}
	return newConst(v, n.pos)
}

// evalNames works out what only looks at names, as conditions on the class do.
func (n *node) evalNames() (v, ok bool) {
	switch {
	case n.op == opNot:
		return !n.children[0].constValue.IsTrue, true
	case n.op == opCompare && (n.children[0].typ.Kind == Class || n.children[0].typ.Kind == Team):
		return (n.children[0].constValue.Integer == n.children[1].constValue.Integer) == (n.symbol == '='), true
	case n.op == opIn && (n.members.kind == Class || n.members.kind == Team):
		return n.members.findInt(n.children[0].constValue.Integer) >= 0, true
	}
	return false, false
}

// possibleClasses tells which classes a value may be, by 1 << (class+1). It knows no more
// than that branches and tables yield one of what is in them, and is never too
// little.
func (n *node) possibleClasses(locals map[int]uint64) uint64 {
	switch n.op {
	case opConst:
		return 1 << (n.constValue.Integer + 1)
	case opLocal:
		return locals[n.idx]
	case opLet:
		if n.children[0].typ.Kind == Class {
			locals[n.idx] = n.children[0].possibleClasses(locals)
		}
		return n.children[1].possibleClasses(locals)
	case opDef:
		return n.children[0].possibleClasses(locals)
	case opIf:
		return n.children[1].possibleClasses(locals) | n.children[2].possibleClasses(locals)
	case opTable:
		set := uint64(1) << (n.tableRef.defaultValue.Integer + 1)
		for _, v := range n.tableRef.values {
			set |= 1 << (v.Integer + 1)
		}
		return set
	}
	return 1<<63 - 1 // whatever else there may come to be
}
