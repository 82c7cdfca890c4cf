package rules

import (
	"fmt"
	"slices"
	"strings"
)

// reach finds rules that no request gets to, and those that stand for the same
// requests and set different things.
type reach struct {
	ids     map[string]int // of conditions that are terms of an and
	reached []bool         // for some class
	by      []int          // the earlier rule that takes all of a rule's requests
	matched []bool         // the condition is not false for some class
	terms   [][]int        // for the last class that it was looked at for
}

// mostCompared is up to how many rules are compared with each other.
const mostCompared = 2_000

func newReach(n int) *reach {
	r := &reach{ids: make(map[string]int), reached: make([]bool, n), by: make([]int, n), matched: make([]bool, n), terms: make([][]int, n)}
	for i := range r.by {
		r.by[i] = -1
	}
	return r
}

// cover is the rules before one, for one class.
type cover struct {
	*reach
	earlier []int
	sets    [][]int
}

func (r *reach) begin() *cover { return &cover{reach: r} }

// rule adds a rule. What matches all of an earlier rule's terms and more is taken
// by that one.
func (c *cover) rule(i int, when *node) {
	c.matched[i] = true
	var terms []int
	if when != nil {
		kids := []*node{when}
		if when.op == opAnd {
			kids = when.kids
		}
		for _, k := range kids {
			if k.isTrue() {
				continue
			}
			key := k.key()
			id, ok := c.ids[key]
			if !ok {
				id = len(c.ids)
				c.ids[key] = id
			}
			terms = append(terms, id)
		}
		slices.Sort(terms)
		terms = slices.Compact(terms)
	}
	c.terms[i] = terms
	if len(c.earlier) < mostCompared {
		for j, set := range c.sets {
			if subset(set, terms) {
				c.by[i] = c.earlier[j]
				return
			}
		}
	}
	c.reached[i] = true
	c.earlier, c.sets = append(c.earlier, i), append(c.sets, terms)
}

// rest tells that rule i takes all that comes to it.
func (c *cover) rest(i int) {
	for j := i + 1; j < len(c.by); j++ {
		if c.by[j] < 0 {
			c.by[j] = i
		}
	}
}

// subset tells whether all of a are in b; both are in order.
func subset(a, b []int) bool {
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

func (r *reach) warn(list []*checked) {
	for i, c := range list {
		if r.reached[i] || c.ReportWarning == nil {
			continue
		}
		switch {
		case r.by[i] < 0:
			c.ReportWarning(0, "never matches, whatever the request")
		case slices.Equal(r.terms[i], r.terms[r.by[i]]) && r.matched[i] && !sameSettings(c, list[r.by[i]]):
			c.ReportWarning(0, fmt.Sprintf("ambiguous: rule %s has the same condition and sets something else; that one counts", list[r.by[i]].Name))
		default:
			c.ReportWarning(0, fmt.Sprintf("never reached: rule %s takes all its requests", list[r.by[i]].Name))
		}
	}
}

func sameSettings(a, b *checked) bool {
	return slices.EqualFunc(a.settings, b.settings, func(x, y assignment) bool {
		return x.target == y.target && x.sub == y.sub && x.value.key() == y.value.key()
	})
}

// key is the same for expressions that mean the same by their form: the order of
// the terms of and and or doesn't matter.
func (n *node) key() string {
	var b strings.Builder
	n.write(&b)
	return b.String()
}

func (n *node) write(b *strings.Builder) {
	switch n.op {
	case opConst:
		fmt.Fprintf(b, "%d:%d:%g:%q:%v:%v:%v", n.val.Kind, n.val.Integer, n.val.Float64, n.val.Str, n.val.IP, n.val.IsTrue, n.val.Network)
		return
	case opDef:
		fmt.Fprintf(b, "def%d", n.idx)
		return
	}
	fmt.Fprintf(b, "%d.%d.%c", n.op, n.idx, n.cmp+'0')
	if n.fn != nil {
		fmt.Fprintf(b, "%s/%d/%q", n.text, n.arg.Integer, n.arg.Str)
	}
	if n.tab != nil {
		b.WriteString(n.tab.Name)
	}
	if n.re != nil {
		b.WriteString(n.re.String())
	}
	if n.keys != nil {
		fmt.Fprintf(b, "%p", n.keys)
	}
	if n.op == opInside {
		fmt.Fprint(b, n.val.Network)
	}
	kids := make([]string, len(n.kids))
	for i, k := range n.kids {
		kids[i] = k.key()
	}
	if n.op == opAnd || n.op == opOr {
		slices.Sort(kids)
	}
	b.WriteString("(" + strings.Join(kids, ",") + ")")
}
