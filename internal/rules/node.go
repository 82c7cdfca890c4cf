package rules

import (
	"math"
	"regexp"
)

type op uint8

const (
	opConst    op = iota
	opVar         // idx: of Env.Vars
	opTextRef     // idx: of the set's texts
	opLocal       // idx: a slot
	opLet         // idx: a slot; kids: what it is, where it holds
	opDef         // idx: a slot; kids: what it is
	opTable       // table; kids: the key
	opIf          // kids: condition, then, else
	opNot         // kids: one
	opAnd         // kids: any number
	opOr          // kids: any number
	opCompare     // cmp; kids: two of one kind
	opIn          // keys; kids: one
	opInPrefix    // kids: an address; val: a prefix
	opDefault     // kids: two, the first optional
	opHas         // kids: one, optional
	opNeg         // kids: one
	opArith       // cmp is '+', '-', '*', '/' or '%'; kids: two of one form
	opConcat      // kids: any number of strings
	opCall        // fn; kids: its arguments that are no constants of its own
	opClock       // idx: a zone
	opToday       // idx: a zone
)

// node is an expression whose types are known. Nodes are not changed once they
// are made, and classes share those that don't depend on the class.
type node struct {
	op         op
	typ        Type
	pos        int // in its source
	children   []*node
	constValue Value // of opConst
	idx        int
	symbol     byte // '<', 'l' (<=), '>', 'g' (>=), '=', '!'; or an arithmetic operator
	callee     *function
	members    *keyIndex
	tableRef   *table
	re         *regexp.Regexp
	reInsts    int // of re
	constArg   RawValue
	maxBytes   int   // bytes of a string
	cost       int64 // most steps to evaluate it, kids and definitions left out
	depth      int
	ident      string
}

// addCost adds, and stays at the most that there is.
func addCost(a, b int64) int64 {
	if a > math.MaxInt64-b {
		return math.MaxInt64
	}
	return a + b
}

// scanCost is what it costs to go over n bytes once.
func scanCost(n int) int64 { return 1 + int64(n)/16 }

// totalCost is the most that an evaluation costs, with the kids and with each
// definition that it uses once; seen has the definitions that were counted.
func (n *node) totalCost(seen map[int]bool) int64 {
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
		return addCost(cost, addCost(n.children[0].totalCost(seen), addCost(n.children[1].totalCost(seen), n.children[2].totalCost(seen))))
	}
	for _, k := range n.children {
		cost = addCost(cost, k.totalCost(seen))
	}
	return cost
}

// builtBytes is how many bytes of strings an evaluation makes at most.
func (n *node) builtBytes(seen map[int]bool) int {
	bytes := 0
	if n.op == opDef {
		if seen[n.idx] {
			return 0
		}
		seen[n.idx] = true
	}
	switch {
	case n.op == opConcat, n.op == opCall && n.callee.makesString:
		bytes = n.maxBytes
	}
	for _, k := range n.children {
		bytes += k.builtBytes(seen)
	}
	return min(bytes, math.MaxInt32)
}

func (n *node) isConst() bool { return n.op == opConst }

func (n *node) isTrue() bool { return n.op == opConst && n.typ.Kind == Bool && n.constValue.IsTrue }

func (n *node) isFalse() bool { return n.op == opConst && n.typ.Kind == Bool && !n.constValue.IsTrue }

// finish sets what follows from the kids.
func (n *node) finish() *node {
	n.depth = 1
	if n.op != opDef { // it has its own bounds
		for _, k := range n.children {
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
	case opTextRef, opVar, opLocal, opLet, opDef, opHas, opDefault:
		return 1
	case opClock, opToday:
		return 40 // the first of a zone has the date worked out
	case opTable:
		return n.tableRef.keyIndex.lookupCost(n.children[0].maxBytes)
	case opIn:
		return n.members.lookupCost(n.children[0].maxBytes)
	case opCompare:
		if n.children[0].typ.Kind.representation() == reprString {
			return scanCost(min(n.children[0].maxBytes, n.children[1].maxBytes))
		}
	case opConcat:
		return scanCost(n.maxBytes) + int64(len(n.children))
	case opCall:
		return n.callee.cost(n)
	}
	return 1
}

func newConst(v Value, at int) *node {
	v.Present = true
	n := &node{op: opConst, typ: Type{Kind: v.Kind}, pos: at, constValue: v}
	if v.Kind == String {
		n.maxBytes = len(v.Str)
	}
	return n.finish()
}
