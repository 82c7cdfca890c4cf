// Package override applies operator overrides: which media nodes are disabled, and whether
// clients are drained. It does no I/O; times are arguments.
package override

import (
	"maps"
	"slices"
	"time"

	"millethinge/control"
	"millethinge/internal/directory"
)

// Override is the last operator override of one media node, or of the drain of clients. It is
// stored and handed to other processes under the field names Out and At.
type Override struct {
	Active bool      `cbor:"Out"` // whether the node is disabled, or clients are drained
	At     time.Time // of the call
}

// Overrides applies operator overrides to the list of media nodes. It is not safe for
// concurrent use; the list's actor goroutine owns it.
//
// Guard: a change of the list never ends an override. A disabled node, identified by its id,
// counts as draining while it is listed, whatever a source of the list reports, until an
// operator enables it.
type Overrides struct {
	nodes map[string]*nodeState // by id: each node that was ever listed or overridden
}

// nodeState is what is known of one node.
type nodeState struct {
	override   Override
	listed     bool             // whether the node is on the list
	everListed bool             // whether it is or was on the list
	lastListed directory.Member // as in the last change of the list
}

// NewOverrides returns Overrides without any node.
func NewOverrides() *Overrides { return &Overrides{nodes: make(map[string]*nodeState)} }

// nodeState returns the state of a node, which it creates if there is none.
func (o *Overrides) nodeState(id string) *nodeState {
	n := o.nodes[id]
	if n == nil {
		n = new(nodeState)
		o.nodes[id] = n
	}
	return n
}

// ApplyListChange records a change of the list and returns it with the overrides applied.
func (o *Overrides) ApplyListChange(change directory.Change) directory.Change {
	result := directory.Change{Full: change.Full, Members: make([]directory.Member, len(change.Members))}
	for i, member := range change.Members {
		n := o.nodeState(member.ID)
		n.lastListed, n.everListed, n.listed = member, true, member.State != control.Gone
		result.Members[i] = n.effective()
	}
	return result
}

// effective returns the node as last listed, with its override applied.
func (n *nodeState) effective() directory.Member {
	member := n.lastListed
	if n.override.Active && member.State == control.Ready {
		member.State = control.Draining
	}
	return member
}

// Set sets the override of a node and returns the resulting change of the list. If the node was
// never listed, known is false and nothing changes. An override that is not newer than the
// node's last one is ignored.
func (o *Overrides) Set(id string, override Override) (change directory.Change, known bool) {
	n := o.nodes[id]
	if n == nil || !n.everListed {
		return change, false
	}
	return n.set(override), true
}

// Merge sets overrides that another process of this manager stored, possibly for nodes that
// were not listed yet, and returns the resulting change of the list.
func (o *Overrides) Merge(overrides map[string]Override) (change directory.Change) {
	for _, id := range slices.Sorted(maps.Keys(overrides)) {
		change.Members = append(change.Members, o.nodeState(id).set(overrides[id]).Members...)
	}
	return change
}

// set sets the node's override unless its last one is as new, and returns the resulting change
// of the list.
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
		// Guard: the node is taken to have been restarted while it was disabled, and thus to
		// be cold, even if the list does not show the restart yet. Sessions established on it
		// before have ended with the restart, or go on.
		member.StartedAtS = max(member.StartedAtS, float64(override.At.UnixNano())/1e9)
		member.Reenabled = true
	}
	change.Members = append(change.Members, member)
	return change
}

// All returns the last override of each node by id, including those that are not active any
// more.
func (o *Overrides) All() map[string]Override {
	all := make(map[string]Override)
	for id, n := range o.nodes {
		if !n.override.At.IsZero() {
			all[id] = n.override
		}
	}
	return all
}

// NodeCounts returns the number of listed nodes, and how many of them are disabled.
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
