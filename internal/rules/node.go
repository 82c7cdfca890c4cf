package rules

import (
	"math"
	"regexp"
)

// op is the operator of a node.
type op uint8

const (
	opConst    op = iota
	opVar         // idx: index into Env.Vars
	opTextRef     // idx: index into Set.texts
	opLocal       // idx: slot
	opLet         // idx: slot; children: bound expression, body
	opDef         // idx: slot; children: defining expression
	opTable       // tableRef; children: key
	opIf          // children: condition, then, else
	opNot         // children: one
	opAnd         // children: two or more
	opOr          // children: two or more
	opCompare     // symbol; children: two of one kind
	opIn          // members; children: one
	opInPrefix    // constValue: a prefix; children: an address
	opDefault     // children: an optional, its default
	opHas         // children: an optional
	opNeg         // children: one
	opArith       // symbol: '+', '-', '*', '/' or '%'; children: two of one representation
	opConcat      // children: any number of strings
	opCall        // callee; children: the arguments evaluated at run time
	opClock       // idx: time zone
	opToday       // idx: time zone
)

// node is an expression with its type. Nodes are immutable once built; the programs of different classes
// share those that do not depend on the class.
type node struct {
	op         op
	typ        Type
	pos        int // byte offset in the source
	children   []*node
	constValue Value // of opConst and opInPrefix
	idx        int
	symbol     byte // '<', 'l' (<=), '>', 'g' (>=), '=', '!'; or an arithmetic operator
	callee     *function
	members    *keyIndex
	tableRef   *table
	re         *regexp.Regexp
	reInsts    int      // number of instructions of re
	constArg   RawValue // constant argument of a call, such as its pattern
	maxBytes   int      // maximum length of a string value
	cost       int64    // maximum steps to evaluate it, without children and definitions
	depth      int
	ident      string // name of the variable, text, definition, table or function
}

// addCost adds two costs, saturating at math.MaxInt64.
func addCost(a, b int64) int64 {
	if a > math.MaxInt64-b {
		return math.MaxInt64
	}
	return a + b
}

// scanCost is the cost of reading n bytes once, in steps.
func scanCost(n int) int64 { return 1 + int64(n)/16 }

// totalCost is the maximum cost of an evaluation, with the children and with each definition that is used,
// counted once; seen has the slots of the definitions counted so far.
func (n *node) totalCost(seen map[int]bool) int64 {
	cost := n.cost
	if n.op == opDef {
		if seen[n.idx] {
			return cost
		}
		seen[n.idx] = true
	}
	if n.op == opIf {
		// Only one branch is evaluated, and both may use the same definition. The sum of both branches is an
		// upper bound.
		return addCost(cost, addCost(n.children[0].totalCost(seen), addCost(n.children[1].totalCost(seen), n.children[2].totalCost(seen))))
	}
	for _, k := range n.children {
		cost = addCost(cost, k.totalCost(seen))
	}
	return cost
}

// builtBytes is the maximum number of bytes of strings that an evaluation builds.
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

// finish computes the depth and the cost of n from its children.
func (n *node) finish() *node {
	n.depth = 1
	if n.op != opDef { // a definition is checked against the depth limit itself
		for _, k := range n.children {
			n.depth = max(n.depth, k.depth+1)
		}
	}
	n.cost = n.ownCost()
	return n
}

// ownCost is the cost of n without its children.
func (n *node) ownCost() int64 {
	switch n.op {
	case opConst:
		return 0
	case opTextRef, opVar, opLocal, opLet, opDef, opHas, opDefault:
		return 1
	case opClock, opToday:
		return 40 // the first use of a zone computes its local time
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

// newConst returns a constant node.
func newConst(v Value, pos int) *node {
	v.Present = true
	n := &node{op: opConst, typ: Type{Kind: v.Kind}, pos: pos, constValue: v}
	if v.Kind == String {
		n.maxBytes = len(v.Str)
	}
	return n.finish()
}
