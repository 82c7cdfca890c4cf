// Package duty decides what operators order by hand: which media nodes are out, and
// whether this manager takes clients. It does no I/O; times are arguments.
package duty

import (
	"maps"
	"slices"
	"time"

	"millethinge/control"
	"millethinge/internal/directory"
)

// Override is what was ordered last for one node.
type Override struct {
	Active bool      `cbor:"Out"`
	At     time.Time // of the call
}

// Overrides lays what was ordered by hand over what the list says. The list's actor owns it.
//
// Guard: the list never ends an order. A node that is out by hand counts as draining
// while it is listed, whatever a source says of it, under its id, until it is called back.
type Overrides struct {
	nodes map[string]*node // all that were ever listed, or ordered
}

// node is what is known of one node.
type node struct {
	order  Override
	listed bool             // it is on the list
	ever   bool             // it has been
	last   directory.Member // as the list last said
}

// NewOverrides returns Orders that know of no node.
func NewOverrides() *Overrides { return &Overrides{nodes: make(map[string]*node)} }

func (o *Overrides) node(id string) *node {
	n := o.nodes[id]
	if n == nil {
		n = new(node)
		o.nodes[id] = n
	}
	return n
}

// ApplyListChange takes a change to the list, and returns it as it is to be acted on.
func (o *Overrides) ApplyListChange(c directory.Change) directory.Change {
	out := directory.Change{Full: c.Full, Members: make([]directory.Member, len(c.Members))}
	for i, m := range c.Members {
		n := o.node(m.ID)
		n.last, n.ever, n.listed = m, true, m.State != control.Gone
		out.Members[i] = n.laid()
	}
	return out
}

// laid is a node as it is to be acted on.
func (n *node) laid() directory.Member {
	m := n.last
	if n.order.Active && m.State == control.Ready {
		m.State = control.Draining
	}
	return m
}

// Set takes an order for a node, and returns what changes by it. known is false where
// the node was never listed; nothing changes then. An order that is older than the last
// one for the node is not taken.
func (o *Overrides) Set(id string, order Override) (c directory.Change, known bool) {
	n := o.nodes[id]
	if n == nil || !n.ever {
		return c, false
	}
	return n.give(order), true
}

// Merge takes orders of another process of this manager, some perhaps for nodes that were
// not listed yet, and returns what changes by them.
func (o *Overrides) Merge(orders map[string]Override) (c directory.Change) {
	for _, id := range slices.Sorted(maps.Keys(orders)) {
		c.Members = append(c.Members, o.node(id).give(orders[id]).Members...)
	}
	return c
}

func (n *node) give(order Override) (c directory.Change) {
	if !order.At.After(n.order.At) {
		return c
	}
	was := n.order.Active
	n.order = order
	if was == order.Active || !n.listed {
		return c
	}
	m := n.laid()
	if !order.Active {
		// Guard: it was restarted meanwhile and comes back cold, though the list may not
		// show it yet. What stood there from before has ended with it, or goes on.
		m.StartedAtS = max(m.StartedAtS, float64(order.At.UnixNano())/1e9)
		m.Reenabled = true
	}
	c.Members = append(c.Members, m)
	return c
}

// All returns the orders that stand, and those that ended others.
func (o *Overrides) All() map[string]Override {
	all := make(map[string]Override)
	for id, n := range o.nodes {
		if !n.order.At.IsZero() {
			all[id] = n.order
		}
	}
	return all
}

// NodeCounts returns how many nodes the list holds, and how many of them are out by hand.
func (o *Overrides) NodeCounts() (listed, out int) {
	for _, n := range o.nodes {
		if !n.listed {
			continue
		}
		listed++
		if n.order.Active {
			out++
		}
	}
	return listed, out
}
