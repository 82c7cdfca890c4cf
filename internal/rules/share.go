package rules

import "slices"

// sharer finds what several conditions of a program work out alike, and has it
// worked out once for a request, as if it had been given a name.
type sharer struct {
	*builder
	count map[string]int
	keys  map[*node]string
	done  map[string]*node
}

// worth is from how many steps on something is kept for others.
const worth = 6

func (b *builder) sharer() *sharer {
	return &sharer{b, make(map[string]int), make(map[*node]string), make(map[string]*node)}
}

// key is n's key, or "" if it is not to be shared.
func (s *sharer) key(n *node) string {
	if key, ok := s.keys[n]; ok {
		return key
	}
	key := ""
	switch n.op {
	case opConst, opVar, opText, opLocal, opDef, opClock, opToday, opNot, opAnd, opOr:
	default:
		if !n.bound() && n.total(make(map[int]bool)) >= worth {
			key = n.key()
		}
	}
	s.keys[n] = key
	return key
}

// add counts the parts of a condition.
func (s *sharer) add(n *node) {
	if n.op == opDef && s.count[n.key()] > 0 {
		return // its parts have been counted
	}
	if n.op == opDef {
		s.count[n.key()]++
	}
	if key := s.key(n); key != "" {
		if s.count[key]++; s.count[key] > 1 {
			return // so are the parts of what is shared
		}
	}
	for _, k := range n.kids {
		s.add(k)
	}
}

// share is n with what it has in common with others kept in slots.
func (s *sharer) share(n *node) *node {
	key := s.key(n)
	id := key
	if n.op == opDef {
		id = n.key()
	}
	if m := s.done[id]; id != "" && m != nil {
		return m
	}
	m := n
	if len(n.kids) > 0 {
		kids := make([]*node, len(n.kids))
		for i, k := range n.kids {
			kids[i] = s.share(k)
		}
		if !slices.Equal(kids, n.kids) {
			c := *n
			c.kids = kids
			m = c.finish()
		}
	}
	if key != "" && s.count[key] > 1 {
		slot, ok := s.shared[key]
		if !ok {
			slot = s.slots
			s.slots++
			s.shared[key] = slot
		}
		m = (&node{op: opDef, typ: n.typ, at: n.at, idx: slot, kids: []*node{m}, most: n.most, text: n.text}).finish()
	}
	if id != "" {
		s.done[id] = m
	}
	return m
}
