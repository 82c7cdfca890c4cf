package rules

import "slices"

// subexprSharer finds subexpressions that several conditions of a program have in common, and has each
// evaluated once per request, as if it were a definition.
type subexprSharer struct {
	*setBuilder
	uses      map[string]int
	keys      map[*node]string
	rewritten map[string]*node
}

// minSharedCost is the cost in steps from which on a common subexpression is kept in a slot.
const minSharedCost = 6

func (b *setBuilder) subexprSharer() *subexprSharer {
	return &subexprSharer{b, make(map[string]int), make(map[*node]string), make(map[string]*node)}
}

// key returns the key of n, or "" if n is not to be shared.
func (s *subexprSharer) key(n *node) string {
	if key, ok := s.keys[n]; ok {
		return key
	}
	key := ""
	switch n.op {
	case opConst, opVar, opTextRef, opLocal, opDef, opClock, opToday, opNot, opAnd, opOr:
	default:
		if !n.hasFreeLocal() && n.totalCost(make(map[int]bool)) >= minSharedCost {
			key = n.key()
		}
	}
	s.keys[n] = key
	return key
}

// countUses counts how often each subexpression of a condition occurs.
func (s *subexprSharer) countUses(n *node) {
	if n.op == opDef && s.uses[n.key()] > 0 {
		return // its children have been counted
	}
	if n.op == opDef {
		s.uses[n.key()]++
	}
	if key := s.key(n); key != "" {
		if s.uses[key]++; s.uses[key] > 1 {
			return // the children of a shared subexpression have been counted, too
		}
	}
	for _, k := range n.children {
		s.countUses(k)
	}
}

// rewrite returns n with the common subexpressions replaced by slots.
func (s *subexprSharer) rewrite(n *node) *node {
	key := s.key(n)
	id := key
	if n.op == opDef {
		id = n.key()
	}
	if m := s.rewritten[id]; id != "" && m != nil {
		return m
	}
	m := n
	if len(n.children) > 0 {
		children := make([]*node, len(n.children))
		for i, k := range n.children {
			children[i] = s.rewrite(k)
		}
		if !slices.Equal(children, n.children) {
			c := *n
			c.children = children
			m = c.finish()
		}
	}
	if key != "" && s.uses[key] > 1 {
		slot, ok := s.sharedSlots[key]
		if !ok {
			slot = s.slots
			s.slots++
			s.sharedSlots[key] = slot
		}
		m = (&node{op: opDef, typ: n.typ, pos: n.pos, idx: slot, children: []*node{m}, maxBytes: n.maxBytes, ident: n.ident}).finish()
	}
	if id != "" {
		s.rewritten[id] = m
	}
	return m
}
