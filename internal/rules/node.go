package rules

import (
	"math"
	"regexp"
)

type op uint8

const (
	opConst   op = iota
	opVar        // idx: of Env.Vars
	opText       // idx: of the set's texts
	opLocal      // idx: a slot
	opLet        // idx: a slot; kids: what it is, where it holds
	opDef        // idx: a slot; kids: what it is
	opTable      // table; kids: the key
	opIf         // kids: condition, then, else
	opNot        // kids: one
	opAnd        // kids: any number
	opOr         // kids: any number
	opCompare    // cmp; kids: two of one kind
	opIn         // keys; kids: one
	opInside     // kids: an address; val: a prefix
	opElse       // kids: two, the first optional
	opHas        // kids: one, optional
	opNeg        // kids: one
	opSum        // cmp is '+', '-', '*', '/' or '%'; kids: two of one form
	opConcat     // kids: any number of strings
	opCall       // fn; kids: its arguments that are no constants of its own
	opClock      // idx: a zone
	opToday      // idx: a zone
)

// node is an expression whose types are known. Nodes are not changed once they
// are made, and classes share those that don't depend on the class.
type node struct {
	op    op
	typ   Type
	at    int // in its source
	kids  []*node
	val   Value // of opConst
	idx   int
	cmp   byte // '<', 'l' (<=), '>', 'g' (>=), '=', '!'; or an arithmetic operator
	fn    *function
	keys  *index
	tab   *table
	re    *regexp.Regexp
	insts int // of re
	arg   RawValue
	most  int   // bytes of a string
	cost  int64 // most steps to evaluate it, kids and definitions left out
	depth int
	text  string
}

// addCost adds, and stays at the most that there is.
func addCost(a, b int64) int64 {
	if a > math.MaxInt64-b {
		return math.MaxInt64
	}
	return a + b
}

// textCost is what it costs to go over n bytes once.
func textCost(n int) int64 { return 1 + int64(n)/16 }

// total is the most that an evaluation costs, with the kids and with each
// definition that it uses once; seen has the definitions that were counted.
func (n *node) total(seen map[int]bool) int64 {
	cost := n.cost
	if n.op == opDef {
		if seen[n.idx] {
			return cost
		}
		seen[n.idx] = true
	}
	if n.op == opIf {
		// Both branches may use a definition, and one of them is evaluated. To count
		// each as if it were is never too little.
		return addCost(cost, addCost(n.kids[0].total(seen), addCost(n.kids[1].total(seen), n.kids[2].total(seen))))
	}
	for _, k := range n.kids {
		cost = addCost(cost, k.total(seen))
	}
	return cost
}

// made is how many bytes of strings an evaluation makes at most.
func (n *node) made(seen map[int]bool) int {
	bytes := 0
	if n.op == opDef {
		if seen[n.idx] {
			return 0
		}
		seen[n.idx] = true
	}
	switch {
	case n.op == opConcat, n.op == opCall && n.fn.makes:
		bytes = n.most
	}
	for _, k := range n.kids {
		bytes += k.made(seen)
	}
	return min(bytes, math.MaxInt32)
}

func (n *node) isConst() bool { return n.op == opConst }

func (n *node) isTrue() bool { return n.op == opConst && n.typ.Kind == Bool && n.val.IsTrue }

func (n *node) isFalse() bool { return n.op == opConst && n.typ.Kind == Bool && !n.val.IsTrue }

// finish sets what follows from the kids.
func (n *node) finish() *node {
	n.depth = 1
	if n.op != opDef { // it has its own bounds
		for _, k := range n.kids {
			n.depth = max(n.depth, k.depth+1)
		}
	}
	n.cost = n.ownCost()
	return n
}

func (n *node) ownCost() int64 {
	switch n.op {
	case opConst:
		return 0
	case opText, opVar, opLocal, opLet, opDef, opHas, opElse:
		return 1
	case opClock, opToday:
		return 40 // the first of a zone has the date worked out
	case opTable:
		return n.tab.index.cost(n.kids[0].most)
	case opIn:
		return n.keys.cost(n.kids[0].most)
	case opCompare:
		if n.kids[0].typ.Kind.form() == asText {
			return textCost(min(n.kids[0].most, n.kids[1].most))
		}
	case opConcat:
		return textCost(n.most) + int64(len(n.kids))
	case opCall:
		return n.fn.cost(n)
	}
	return 1
}

func constant(v Value, at int) *node {
	v.Present = true
	n := &node{op: opConst, typ: Type{Kind: v.Kind}, at: at, val: v}
	if v.Kind == String {
		n.most = len(v.Str)
	}
	return n.finish()
}
