package rules

import (
	"slices"
	"strings"
)

// inlineTest is a term of a condition that is tested without a call: a variable or an evaluated definition is
// compared with a constant. The inline tests of a program are contiguous in memory, in the order of its
// rules, so that most rules are rejected by a sequential read: the time for a set of hundreds of rules goes
// into fetching them from memory, not into the comparisons.
type inlineTest struct {
	kind    inlineKind
	symbol  byte   // as in node
	idx     uint16 // of a variable or text, or the slot of a definition
	cost    int32
	operand int64 // for a string, its index in the program's stringPool
}

// inlineIndexLimit is the number of values that inlineTest.idx can hold.
const inlineIndexLimit = 1 << 16

// inlineKind is what an inline test reads and how it compares.
type inlineKind uint8

const (
	inlineInt       inlineKind = iota // a variable represented as an integer
	inlineBool                        // a variable that is true; symbol '!': false
	inlineDefInt                      // a definition represented as an integer
	inlineDefBool                     // a definition that is true; symbol '!': false
	inlineDefString                   // a definition that is a string
	inlinePrefix                      // a text that starts with a string; an absent one is ""
)

// intern returns the index of a string in the program's stringPool.
func (p *program) intern(s string) int64 {
	i := slices.Index(p.stringPool, s)
	if i < 0 {
		i = len(p.stringPool)
		p.stringPool = append(p.stringPool, s)
	}
	return int64(i)
}

// inlineTestOf returns n as an inline test, if it has the form of one.
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

// childrenCost is the cost of the descendants of n. The bodies of definitions are left out: they are counted
// when they are evaluated.
func childrenCost(n *node) (cost int64) {
	if n.op == opDef {
		return 0
	}
	for _, k := range n.children {
		cost = addCost(cost, addCost(k.cost, childrenCost(k)))
	}
	return cost
}

// testInline runs an inline test.
func (p *program) testInline(f *Frame, test *inlineTest) bool {
	f.cost += int64(test.cost)
	switch test.kind {
	case inlineInt:
		return compareInts(test.symbol, f.vars[test.idx].Integer, test.operand)
	case inlineBool:
		return f.vars[test.idx].IsTrue != (test.symbol == '!')
	case inlinePrefix:
		c := &f.texts[test.idx]
		if !c.Present { // most texts are absent
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

func compareInts(symbol byte, a, b int64) bool {
	switch symbol {
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

// slotEvaluator returns a function that evaluates a definition into its slot.
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
	return func(fr *Frame) { fr.cost--; f(fr) } // the inline test has counted the read
}

// splitCondition compiles a condition into inline tests, which are run first, and the residual terms. The
// order does not matter, because expressions have no side effects and always terminate.
func (p *program) splitCondition(k *compiler, condition *node) (terms int, residual evaluator[bool]) {
	children := []*node{condition}
	if condition.op == opAnd {
		children = condition.children
	}
	first := len(p.inline)
	var residualTerms []*node
	for _, t := range children {
		test, ok := p.inlineTestOf(t)
		if !ok || len(p.inline)-first >= maxInlineTests {
			residualTerms = append(residualTerms, t)
			continue
		}
		if test.kind == inlineDefInt || test.kind == inlineDefBool || test.kind == inlineDefString {
			p.addSlotEvaluator(k, t, int(test.idx))
		}
		p.inline = append(p.inline, test)
	}
	p.variablesFirst(first)
	switch len(residualTerms) {
	case 0:
	case 1:
		residual = k.compileBool(residualTerms[0])
	default:
		residual = compileLogical(k, residualTerms, true)
	}
	return len(p.inline) - first, residual
}

// variablesFirst moves the tests that may have to evaluate a definition behind the others.
func (p *program) variablesFirst(from int) {
	tests := p.inline[from:]
	next := 0
	for i := range tests {
		if tests[i].kind == inlineInt || tests[i].kind == inlineBool || tests[i].kind == inlinePrefix {
			test := tests[i]
			copy(tests[next+1:i+1], tests[next:i])
			tests[next] = test
			next++
		}
	}
}

// addSlotEvaluator registers the evaluator of the definition that an inline test reads.
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
