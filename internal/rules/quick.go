package rules

import (
	"slices"
	"strings"
)

// inlineTest is a term of a condition that is tested without a call: a variable or
// something worked out already is held against a constant. A program's quick
// terms stand side by side in memory in the order of its rules, so that most
// rules are passed over by reading on: what is slow about a set of hundreds of
// rules is to fetch them, not to compare.
type inlineTest struct {
	kind    inlineKind
	symbol  byte
	idx     uint16
	cost    int32
	operand int64 // of a string, its position among the program's words
}

// inlineIndexLimit bounds what a quick term's index can hold.
const inlineIndexLimit = 1 << 16

type inlineKind uint8

const (
	inlineInt       inlineKind = iota // a variable, held as a whole number
	inlineBool                        // a variable that is true; cmp '!': false
	inlineDefInt                      // a definition, held as a whole number
	inlineDefBool                     // a definition that is true; cmp '!': false
	inlineDefString                   // a definition that is a string
	inlinePrefix                      // a text that begins with a string; absent, it is ""
)

// intern is the position of a string among the program's.
func (p *program) intern(s string) int64 {
	i := slices.Index(p.stringPool, s)
	if i < 0 {
		i = len(p.stringPool)
		p.stringPool = append(p.stringPool, s)
	}
	return int64(i)
}

// inlineTestOf is n as a quick term.
func (p *program) inlineTestOf(n *node) (test inlineTest, ok bool) {
	test.cost = int32(min(n.cost+childrenCost(n), 1<<20))
	flip := byte(0)
	if n.op == opNot {
		n, flip = n.children[0], '!'
	}
	switch {
	case n.op == opVar && n.typ == Type{Kind: Bool}:
		test.kind, test.idx, test.symbol = inlineBool, uint16(n.idx), flip
		return test, n.idx < inlineIndexLimit
	case n.op == opDef && n.typ == Type{Kind: Bool}:
		test.kind, test.idx, test.symbol = inlineDefBool, uint16(n.idx), flip
		return test, n.idx < inlineIndexLimit
	case flip != 0:
		return test, false
	case n.op == opCompare && n.children[1].isConst():
		a, v := n.children[0], n.children[1].constValue
		test.symbol, test.idx, test.operand = n.symbol, uint16(a.idx), v.Integer
		switch {
		case a.idx >= inlineIndexLimit:
		case a.typ.Kind.representation() == reprInt && a.op == opVar:
			test.kind = inlineInt
			return test, true
		case a.typ.Kind.representation() == reprInt && a.op == opDef:
			test.kind = inlineDefInt
			return test, true
		case a.typ.Kind == String && a.op == opDef && (n.symbol == '=' || n.symbol == '!'):
			test.kind, test.operand = inlineDefString, p.intern(v.Str)
			return test, true
		}
	case n.op == opCall && n.ident == "starts" && n.children[1].isConst():
		a := n.children[0]
		if a.op == opDefault && a.children[0].op == opTextRef && a.children[1].isConst() && a.children[1].constValue.Str == "" {
			test.kind, test.idx, test.operand = inlinePrefix, uint16(a.children[0].idx), p.intern(n.children[1].constValue.Str)
			return test, true
		}
	}
	return test, false
}

// childrenCost is what n's parts cost beside n, definitions' bodies left out: those
// count when they are worked out.
func childrenCost(n *node) (cost int64) {
	if n.op == opDef {
		return 0
	}
	for _, k := range n.children {
		cost = addCost(cost, addCost(k.cost, childrenCost(k)))
	}
	return cost
}

// testInline tests a quick term.
func (p *program) testInline(f *Frame, test *inlineTest) bool {
	f.cost += int64(test.cost)
	switch test.kind {
	case inlineInt:
		return compareInts(test.symbol, f.vars[test.idx].Integer, test.operand)
	case inlineBool:
		return f.vars[test.idx].IsTrue != (test.symbol == '!')
	case inlinePrefix:
		c := &f.texts[test.idx]
		if !c.Present { // most texts are
			return p.stringPool[test.operand] == ""
		}
		return strings.HasPrefix(c.Str, p.stringPool[test.operand])
	}
	if f.slotGenerations[test.idx] != f.generation {
		p.slotEvaluators[test.idx](f)
	}
	c := &f.slots[test.idx]
	switch test.kind {
	case inlineDefInt:
		return compareInts(test.symbol, c.Integer, test.operand)
	case inlineDefBool:
		return c.IsTrue != (test.symbol == '!')
	}
	return (c.Str == p.stringPool[test.operand]) == (test.symbol == '=')
}

func compareInts(cmp byte, a, b int64) bool {
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

// slotEvaluator makes the function that works a definition out into its slot.
func (k *compiler) slotEvaluator(n *node) func(*Frame) {
	switch n.typ.Kind.representation() {
	case reprBool:
		f := k.compileBool(n)
		return func(fr *Frame) { fr.cost--; f(fr) }
	case reprString:
		f := k.compileString(n)
		return func(fr *Frame) { fr.cost--; f(fr) }
	}
	f := k.compileInt(n)
	return func(fr *Frame) { fr.cost--; f(fr) } // reading it has been counted
}

// splitCondition compiles a condition into quick terms, which go first, and the rest. The
// order doesn't matter: expressions have no effects and always come to an end.
func (p *program) splitCondition(k *compiler, condition *node) (terms int, rest evaluator[bool]) {
	kids := []*node{condition}
	if condition.op == opAnd {
		kids = condition.children
	}
	from := len(p.inline)
	var others []*node
	for _, t := range kids {
		test, ok := p.inlineTestOf(t)
		if !ok || len(p.inline)-from >= maxInlineTests {
			others = append(others, t)
			continue
		}
		if test.kind == inlineDefInt || test.kind == inlineDefBool || test.kind == inlineDefString {
			p.addSlotEvaluator(k, t, int(test.idx))
		}
		p.inline = append(p.inline, test)
	}
	p.variablesFirst(from)
	switch len(others) {
	case 0:
	case 1:
		rest = k.compileBool(others[0])
	default:
		rest = compileLogical(k, others, true)
	}
	return len(p.inline) - from, rest
}

// variablesFirst puts the terms that may have to work something out behind those that
// don't.
func (p *program) variablesFirst(from int) {
	tests := p.inline[from:]
	at := 0
	for i := range tests {
		if tests[i].kind == inlineInt || tests[i].kind == inlineBool || tests[i].kind == inlinePrefix {
			one := tests[i]
			copy(tests[at+1:i+1], tests[at:i])
			tests[at] = one
			at++
		}
	}
}

// addSlotEvaluator keeps how to work out the definition that a quick term looks at.
func (p *program) addSlotEvaluator(k *compiler, n *node, slot int) {
	for n.op != opDef {
		n = n.children[0]
	}
	if len(p.slotEvaluators) <= slot {
		p.slotEvaluators = append(p.slotEvaluators, make([]func(*Frame), slot+1-len(p.slotEvaluators))...)
	}
	if p.slotEvaluators[slot] == nil {
		p.slotEvaluators[slot] = k.slotEvaluator(n)
	}
}
