package directory

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"time"

	"millethinge/control"
)

// Phases of a media node, as the coordinator writes them.
const (
	phaseInService   = "in_service"
	phaseTerminating = "terminating"
	phaseTerminated  = "terminated"
)

// Node is a media node as a source of the list describes it, with the source's names for zone and
// machine kind. It is also stored in a file: the numbers and types of the fields must not change.
type Node struct {
	ID        string  `json:"id" cbor:"1,keyasint"`
	HostPort  string  `json:"host_port" cbor:"2,keyasint"`
	Locality  string  `json:"locality" cbor:"3,keyasint"`
	Flavor    string  `json:"flavor" cbor:"4,keyasint"`
	Cell      int     `json:"cell" cbor:"5,keyasint"`
	Phase     string  `json:"phase" cbor:"6,keyasint"`
	Size      float64 `json:"size" cbor:"7,keyasint"`
	UpSinceMS int64   `json:"up_since_ms" cbor:"8,keyasint"`
}

// fault returns the JSON key of the first value that is invalid, and why it is, or "".
func (n *Node) fault() (key string, err error) {
	_, _, addrErr := net.SplitHostPort(n.HostPort)
	switch {
	case n.ID == "":
		return "id", errors.New("missing")
	case n.Phase != phaseInService && n.Phase != phaseTerminating && n.Phase != phaseTerminated:
		return "phase", fmt.Errorf("%q", n.Phase)
	case n.Phase != phaseTerminated && addrErr != nil:
		return "host_port", addrErr
	}
	return "", nil
}

// member converts a node that is valid.
func (n *Node) member(names Names) Member {
	entry := control.Entry{
		Server: ServerIDOf(n.ID), Cell: n.Cell, Weight: n.Size,
		Zone: index(names.Zones, n.Locality), MachineKind: index(names.MachineKinds, n.Flavor),
	}
	switch n.Phase {
	case phaseInService:
		entry.State = control.Ready
	case phaseTerminating:
		entry.State = control.Draining
	default:
		entry.State = control.Gone
	}
	member := Member{Entry: entry, ID: n.ID, Addr: n.HostPort}
	if n.UpSinceMS > 0 {
		member.StartedAt = time.UnixMilli(n.UpSinceMS)
		member.StartedAtS = float64(n.UpSinceMS) / 1000
	}
	return member
}

// nodeSet holds the listed nodes by their id.
type nodeSet map[string]Node

func newNodeSet(nodes []Node) nodeSet {
	set := make(nodeSet, len(nodes))
	for _, n := range nodes {
		set[n.ID] = n
	}
	return set
}

// apply applies an update.
func (s nodeSet) apply(update *endpoints) {
	if update.Complete {
		clear(s)
	}
	for _, n := range update.Members {
		if n.Phase == phaseTerminated {
			delete(s, n.ID)
		} else {
			s[n.ID] = n
		}
	}
}

// sorted returns the nodes in the order of their ids.
func (s nodeSet) sorted() []Node {
	return slices.SortedFunc(maps.Values(s), func(a, b Node) int { return cmp.Compare(a.ID, b.ID) })
}

// changeTo returns the change that makes s into next.
func (s nodeSet) changeTo(next nodeSet, names Names) Change {
	var c Change
	for _, n := range next.sorted() {
		if previous, listed := s[n.ID]; !listed || previous != n {
			c.Members = append(c.Members, n.member(names))
		}
	}
	for _, n := range s.sorted() {
		if _, listed := next[n.ID]; !listed {
			n.Phase = phaseTerminated
			c.Members = append(c.Members, n.member(names))
		}
	}
	return c
}
