package rules

import "slices"

// subexprSharer finds what several conditions of a program work out alike, and has it
// worked out once for a request, as if it had been given a name.
type subexprSharer struct {
	*setBuilder
	uses      map[string]int
	keys      map[*node]string
	rewritten map[string]*node
}

// minSharedCost is from how many steps on something is kept for others.
const minSharedCost = 6

func (b *setBuilder) subexprSharer() *subexprSharer {
	return &subexprSharer{b, make(map[string]int), make(map[*node]string), make(map[string]*node)}
}

// key is n's key, or "" if it is not to be shared.
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

// countUses counts the parts of a condition.
func (s *subexprSharer) countUses(n *node) {
	if n.op == opDef && s.uses[n.key()] > 0 {
		return // its parts have been counted
	}
	if n.op == opDef {
		s.uses[n.key()]++
	}
	if key := s.key(n); key != "" {
		if s.uses[key]++; s.uses[key] > 1 {
			return // so are the parts of what is shared
		}
	}
	for _, k := range n.children {
		s.countUses(k)
	}
}

// rewrite is n with what it has in common with others kept in slots.
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
		kids := make([]*node, len(n.children))
		for i, k := range n.children {
			kids[i] = s.rewrite(k)
		}
		if !slices.Equal(kids, n.children) {
			c := *n
			c.children = kids
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
