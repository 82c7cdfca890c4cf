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
	Active bool
	At     time.Time // of the call
}

// Overrides lays what was ordered by hand over what the list says. The list's actor owns it.
//
// Guard: the list never ends an order. A node that is out by hand counts as draining
// while it is listed, whatever a source says of it, under its id, until it is called back.
type Overrides struct {
	nodes map[string]*nodeState // all that were ever listed, or ordered
}

// nodeState is what is known of one node.
type nodeState struct {
	override   Override
	listed     bool             // it is on the list
	everListed bool             // it has been
	lastListed directory.Member // as the list last said
}

// NewOverrides returns Orders that know of no node.
func NewOverrides() *Overrides { return &Overrides{nodes: make(map[string]*nodeState)} }

func (o *Overrides) nodeState(id string) *nodeState {
	n := o.nodes[id]
	if n == nil {
		n = new(nodeState)
		o.nodes[id] = n
	}
	return n
}

// ApplyListChange takes a change to the list, and returns it as it is to be acted on.
func (o *Overrides) ApplyListChange(change directory.Change) directory.Change {
	result := directory.Change{Full: change.Full, Members: make([]directory.Member, len(change.Members))}
	for i, member := range change.Members {
		n := o.nodeState(member.ID)
		n.lastListed, n.everListed, n.listed = member, true, member.State != control.Gone
		result.Members[i] = n.effective()
	}
	return result
}

// effective is a node as it is to be acted on.
func (n *nodeState) effective() directory.Member {
	member := n.lastListed
	if n.override.Active && member.State == control.Ready {
		member.State = control.Draining
	}
	return member
}

// Set takes an order for a node, and returns what changes by it. known is false where
// the node was never listed; nothing changes then. An order that is older than the last
// one for the node is not taken.
func (o *Overrides) Set(id string, override Override) (change directory.Change, known bool) {
	n := o.nodes[id]
	if n == nil || !n.everListed {
		return change, false
	}
	return n.set(override), true
}

// Merge takes orders of another process of this manager, some perhaps for nodes that were
// not listed yet, and returns what changes by them.
func (o *Overrides) Merge(overrides map[string]Override) (change directory.Change) {
	for _, id := range slices.Sorted(maps.Keys(overrides)) {
		change.Members = append(change.Members, o.nodeState(id).set(overrides[id]).Members...)
	}
	return change
}

func (n *nodeState) set(override Override) (change directory.Change) {
	if !override.At.After(n.override.At) {
		return change
	}
	wasActive := n.override.Active
	n.override = override
	if wasActive == override.Active || !n.listed {
		return change
	}
	member := n.effective()
	if !override.Active {
		// Guard: it was restarted meanwhile and comes back cold, though the list may not
		// show it yet. What stood there from before has ended with it, or goes on.
		member.StartedAtS = max(member.StartedAtS, float64(override.At.UnixNano())/1e9)
		member.Reenabled = true
	}
	change.Members = append(change.Members, member)
	return change
}

// All returns the orders that stand, and those that ended others.
func (o *Overrides) All() map[string]Override {
	all := make(map[string]Override)
	for id, n := range o.nodes {
		if !n.override.At.IsZero() {
			all[id] = n.override
		}
	}
	return all
}

// NodeCounts returns how many nodes the list holds, and how many of them are out by hand.
func (o *Overrides) NodeCounts() (listed, disabled int) {
	for _, n := range o.nodes {
		if !n.listed {
			continue
		}
		listed++
		if n.override.Active {
			disabled++
		}
	}
	return listed, disabled
}
