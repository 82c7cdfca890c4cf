package rules

import "slices"

// constFolder folds constants, for requests of one class or of any class. Nodes that do not change are shared
// with the unfolded tree.
type constFolder struct {
	*setBuilder
	class       int // -1: the request names none; anyClass: unknown
	locals      map[int]*node
	definitions map[int]*node // folded, by slot
	folded      map[*node]*node
}

// anyClass stands for an unknown class: one program serves all requests.
const anyClass = -2

func (b *setBuilder) constFolder(class int) *constFolder {
	return &constFolder{b, class, make(map[int]*node), make(map[int]*node), make(map[*node]*node)}
}

func (p *constFolder) fold(n *node) *node {
	if m := p.folded[n]; m != nil {
		return m
	}
	m := p.foldUncached(n)
	if n.op != opLocal { // the value of a local depends on the let that binds it at this point
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
	children := make([]*node, len(n.children))
	for i, k := range n.children {
		children[i] = p.fold(k)
	}
	switch n.op {
	case opIf:
		if children[0].isConst() {
			if children[0].constValue.IsTrue {
				return children[1]
			}
			return children[2]
		}
	case opNot:
		if children[0].op == opNot {
			return children[0].children[0]
		}
	case opAnd, opOr:
		return p.foldLogical(n, children)
	case opDefault:
		if !children[0].typ.Optional {
			return children[0]
		}
	}
	return p.evalConst(p.withChildren(n, children))
}

// foldLogical removes the constant terms of an and or an or.
func (p *constFolder) foldLogical(n *node, children []*node) *node {
	var kept []*node
	for _, k := range children {
		switch {
		case k.isConst() && k.constValue.IsTrue == (n.op == opOr): // decides the result
			return k
		case k.isConst():
		case k.op == n.op:
			kept = append(kept, k.children...)
		default:
			kept = append(kept, k)
		}
	}
	switch len(kept) {
	case 0:
		return newConst(Value{Kind: Bool, RawValue: RawValue{IsTrue: n.op == opAnd}}, n.pos)
	case 1:
		return kept[0]
	}
	return p.withChildren(n, kept)
}

// withChildren returns n with other children, or n itself if they are the same.
func (p *constFolder) withChildren(n *node, children []*node) *node {
	if slices.Equal(n.children, children) {
		return n
	}
	m := *n
	m.children = children
	return m.finish()
}

// maxFoldCost is the cost in steps up to which a constant expression is evaluated at compile time.
const maxFoldCost = 10_000

// evalConst evaluates a node whose children are all constants.
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
	b.foldedConsts++ // the regular evaluators are used, so that folding can't differ from evaluation
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

// evalNames evaluates comparisons of class and team names, such as conditions on the class, without compiling
// the node.
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

// possibleClasses returns the set of classes that a value may be, as bits 1 << (class+1). It only takes into
// account that conditionals and tables yield one of their values, so the result may be too large but never
// too small.
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
	return 1<<63 - 1 // any class, for operators added later
}
