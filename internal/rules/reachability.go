package rules

import (
	"fmt"
	"slices"
	"strings"
)

// reachability finds rules that no request reaches, and rules with the same condition but different
// assignments.
type reachability struct {
	termIDs     map[string]int // of terms, by node.key
	reached     []bool         // by rule: reached for at least one class
	shadowedBy  []int          // by rule: the earlier rule that matches all its requests, or -1
	satisfiable []bool         // by rule: the condition is not constantly false for at least one class
	terms       [][]int        // by rule: the term IDs for the last class examined
}

// maxComparedRules is the number of earlier rules up to which a rule is compared with each of them.
const maxComparedRules = 2_000

func newReachability(n int) *reachability {
	r := &reachability{termIDs: make(map[string]int), reached: make([]bool, n), shadowedBy: make([]int, n), satisfiable: make([]bool, n), terms: make([][]int, n)}
	for i := range r.shadowedBy {
		r.shadowedBy[i] = -1
	}
	return r
}

// classCoverage has the rules before the current one, for one class.
type classCoverage struct {
	*reachability
	earlierRules []int
	earlierTerms [][]int
}

func (r *reachability) forClass() *classCoverage { return &classCoverage{reachability: r} }

// addRule adds a rule. A rule that has all terms of an earlier rule is never reached, since the earlier one
// matches all its requests.
func (c *classCoverage) addRule(i int, condition *node) {
	c.satisfiable[i] = true
	var terms []int
	if condition != nil {
		children := []*node{condition}
		if condition.op == opAnd {
			children = condition.children
		}
		for _, k := range children {
			if k.isTrue() {
				continue
			}
			key := k.key()
			id, ok := c.termIDs[key]
			if !ok {
				id = len(c.termIDs)
				c.termIDs[key] = id
			}
			terms = append(terms, id)
		}
		slices.Sort(terms)
		terms = slices.Compact(terms)
	}
	c.terms[i] = terms
	if len(c.earlierRules) < maxComparedRules {
		for j, set := range c.earlierTerms {
			if isSubset(set, terms) {
				c.shadowedBy[i] = c.earlierRules[j]
				return
			}
		}
	}
	c.reached[i] = true
	c.earlierRules, c.earlierTerms = append(c.earlierRules, i), append(c.earlierTerms, terms)
}

// coverRest records that rule i matches all requests that reach it, so none reach the rules after it.
func (c *classCoverage) coverRest(i int) {
	for j := i + 1; j < len(c.shadowedBy); j++ {
		if c.shadowedBy[j] < 0 {
			c.shadowedBy[j] = i
		}
	}
}

// isSubset reports whether all elements of a are in b; both are sorted.
func isSubset(a, b []int) bool {
	if len(a) > len(b) {
		return false
	}
	for _, x := range a {
		i, ok := slices.BinarySearch(b, x)
		if !ok {
			return false
		}
		b = b[i+1:]
	}
	return true
}

func (r *reachability) reportWarnings(list []*checkedRule) {
	for i, c := range list {
		if r.reached[i] || c.ReportWarning == nil {
			continue
		}
		switch {
		case r.shadowedBy[i] < 0:
			c.ReportWarning(0, "never matches, whatever the request")
		case slices.Equal(r.terms[i], r.terms[r.shadowedBy[i]]) && r.satisfiable[i] && !sameAssignments(c, list[r.shadowedBy[i]]):
			c.ReportWarning(0, fmt.Sprintf("ambiguous: rule %s has the same condition and sets something else; that one counts", list[r.shadowedBy[i]].Name))
		default:
			c.ReportWarning(0, fmt.Sprintf("never reached: rule %s takes all its requests", list[r.shadowedBy[i]].Name))
		}
	}
}

func sameAssignments(a, b *checkedRule) bool {
	return slices.EqualFunc(a.assignments, b.assignments, func(x, y checkedAssignment) bool {
		return x.target == y.target && x.subname == y.subname && x.value.key() == y.value.key()
	})
}

// key returns a text that is equal for expressions that are equal in form. The order of the terms of and and
// or does not matter.
func (n *node) key() string {
	var b strings.Builder
	n.writeKey(&b)
	return b.String()
}

func (n *node) writeKey(b *strings.Builder) {
	switch n.op {
	case opConst:
		fmt.Fprintf(b, "%d:%d:%g:%q:%v:%v:%v", n.constValue.Kind, n.constValue.Integer, n.constValue.Float64, n.constValue.Str, n.constValue.IP, n.constValue.IsTrue, n.constValue.Network)
		return
	case opDef:
		fmt.Fprintf(b, "def%d", n.idx)
		return
	}
	fmt.Fprintf(b, "%d.%d.%c", n.op, n.idx, n.symbol+'0')
	if n.callee != nil {
		fmt.Fprintf(b, "%s/%d/%q", n.ident, n.constArg.Integer, n.constArg.Str)
	}
	if n.tableRef != nil {
		b.WriteString(n.tableRef.Name)
	}
	if n.re != nil {
		b.WriteString(n.re.String())
	}
	if n.members != nil {
		fmt.Fprintf(b, "%p", n.members)
	}
	if n.op == opInPrefix {
		fmt.Fprint(b, n.constValue.Network)
	}
	children := make([]string, len(n.children))
	for i, k := range n.children {
		children[i] = k.key()
	}
	if n.op == opAnd || n.op == opOr {
		slices.Sort(children)
	}
	b.WriteString("(" + strings.Join(children, ",") + ")")
}
