package rules

import (
	"slices"
	"strings"
)

// quick is a term of a condition that is tested without a call: a variable or
// something worked out already is held against a constant. A program's quick
// terms stand side by side in memory in the order of its rules, so that most
// rules are passed over by reading on: what is slow about a set of hundreds of
// rules is to fetch them, not to compare.
type quick struct {
	kind quickKind
	cmp  byte
	idx  uint16
	cost int32
	n    int64 // of a string, its position among the program's words
}

// quickWidth bounds what a quick term's index can hold.
const quickWidth = 1 << 16

type quickKind uint8

const (
	quickNum  quickKind = iota // a variable, held as a whole number
	quickBool                  // a variable that is true; cmp '!': false
	quickSlot                  // a definition, held as a whole number
	quickFlag                  // a definition that is true; cmp '!': false
	quickWord                  // a definition that is a string
	quickHead                  // a text that begins with a string; absent, it is ""
)

// word is the position of a string among the program's.
func (p *program) word(s string) int64 {
	i := slices.Index(p.words, s)
	if i < 0 {
		i = len(p.words)
		p.words = append(p.words, s)
	}
	return int64(i)
}

// quickOf is n as a quick term.
func (p *program) quickOf(n *node) (q quick, ok bool) {
	q.cost = int32(min(n.cost+kidsCost(n), 1<<20))
	flip := byte(0)
	if n.op == opNot {
		n, flip = n.kids[0], '!'
	}
	switch {
	case n.op == opVar && n.typ == Type{Kind: Bool}:
		q.kind, q.idx, q.cmp = quickBool, uint16(n.idx), flip
		return q, n.idx < quickWidth
	case n.op == opDef && n.typ == Type{Kind: Bool}:
		q.kind, q.idx, q.cmp = quickFlag, uint16(n.idx), flip
		return q, n.idx < quickWidth
	case flip != 0:
		return q, false
	case n.op == opCompare && n.kids[1].isConst():
		a, v := n.kids[0], n.kids[1].val
		q.cmp, q.idx, q.n = n.cmp, uint16(a.idx), v.Integer
		switch {
		case a.idx >= quickWidth:
		case a.typ.Kind.form() == asNum && a.op == opVar:
			q.kind = quickNum
			return q, true
		case a.typ.Kind.form() == asNum && a.op == opDef:
			q.kind = quickSlot
			return q, true
		case a.typ.Kind == String && a.op == opDef && (n.cmp == '=' || n.cmp == '!'):
			q.kind, q.n = quickWord, p.word(v.Str)
			return q, true
		}
	case n.op == opCall && n.text == "starts" && n.kids[1].isConst():
		a := n.kids[0]
		if a.op == opElse && a.kids[0].op == opText && a.kids[1].isConst() && a.kids[1].val.Str == "" {
			q.kind, q.idx, q.n = quickHead, uint16(a.kids[0].idx), p.word(n.kids[1].val.Str)
			return q, true
		}
	}
	return q, false
}

// kidsCost is what n's parts cost beside n, definitions' bodies left out: those
// count when they are worked out.
func kidsCost(n *node) (cost int64) {
	if n.op == opDef {
		return 0
	}
	for _, k := range n.kids {
		cost = addCost(cost, addCost(k.cost, kidsCost(k)))
	}
	return cost
}

// holds tests a quick term.
func (p *program) holds(f *Frame, q *quick) bool {
	f.cost += int64(q.cost)
	switch q.kind {
	case quickNum:
		return compareNum(q.cmp, f.vars[q.idx].Integer, q.n)
	case quickBool:
		return f.vars[q.idx].IsTrue != (q.cmp == '!')
	case quickHead:
		c := &f.texts[q.idx]
		if !c.Present { // most texts are
			return p.words[q.n] == ""
		}
		return strings.HasPrefix(c.Str, p.words[q.n])
	}
	if f.turns[q.idx] != f.turn {
		p.work[q.idx](f)
	}
	c := &f.slots[q.idx]
	switch q.kind {
	case quickSlot:
		return compareNum(q.cmp, c.Integer, q.n)
	case quickFlag:
		return c.IsTrue != (q.cmp == '!')
	}
	return (c.Str == p.words[q.n]) == (q.cmp == '=')
}

func compareNum(cmp byte, a, b int64) bool {
	switch cmp {
	case '=':
		return a == b
	case '!':
		return a != b
	case '<':
		return a < b
	case 'l':
		return a <= b
	case '>':
		return a > b
	}
	return a >= b
}

// worker makes the function that works a definition out into its slot.
func (k *compiler) worker(n *node) func(*Frame) {
	switch n.typ.Kind.form() {
	case asBool:
		f := k.boolean(n)
		return func(fr *Frame) { fr.cost--; f(fr) }
	case asText:
		f := k.text(n)
		return func(fr *Frame) { fr.cost--; f(fr) }
	}
	f := k.num(n)
	return func(fr *Frame) { fr.cost--; f(fr) } // reading it has been counted
}

// split compiles a condition into quick terms, which go first, and the rest. The
// order doesn't matter: expressions have no effects and always come to an end.
func (p *program) split(k *compiler, when *node) (terms int, rest fn[bool]) {
	kids := []*node{when}
	if when.op == opAnd {
		kids = when.kids
	}
	from := len(p.quick)
	var others []*node
	for _, t := range kids {
		q, ok := p.quickOf(t)
		if !ok || len(p.quick)-from >= mostQuick {
			others = append(others, t)
			continue
		}
		if q.kind == quickSlot || q.kind == quickFlag || q.kind == quickWord {
			p.needs(k, t, int(q.idx))
		}
		p.quick = append(p.quick, q)
	}
	p.cheapFirst(from)
	switch len(others) {
	case 0:
	case 1:
		rest = k.boolean(others[0])
	default:
		rest = chain(k, others, true)
	}
	return len(p.quick) - from, rest
}

// cheapFirst puts the terms that may have to work something out behind those that
// don't.
func (p *program) cheapFirst(from int) {
	q := p.quick[from:]
	at := 0
	for i := range q {
		if q[i].kind == quickNum || q[i].kind == quickBool || q[i].kind == quickHead {
			one := q[i]
			copy(q[at+1:i+1], q[at:i])
			q[at] = one
			at++
		}
	}
}

// needs keeps how to work out the definition that a quick term looks at.
func (p *program) needs(k *compiler, n *node, slot int) {
	for n.op != opDef {
		n = n.kids[0]
	}
	if len(p.work) <= slot {
		p.work = append(p.work, make([]func(*Frame), slot+1-len(p.work))...)
	}
	if p.work[slot] == nil {
		p.work[slot] = k.worker(n)
	}
}
