// Package directory keeps the list of media nodes up to date from two sources: the
// coordinator, by long polling, and DNS-SD.
package directory

import (
	"hash/fnv"
	"time"

	"millethinge/control"
)

// Member is a media node as a source of the list describes it.
type Member struct {
	control.Entry
	ID        string    // the source's name for the node
	Addr      string    // host:port of the node's RTSP listener
	StartedAt time.Time // last start; zero: long ago
}

// Change is a change to the list.
type Change struct {
	Full    bool     // Members is the whole list; nodes that it lacks are gone
	Members []Member // the nodes that changed; a node whose State is control.Gone is removed
}

// Sink receives changes in order. It must not block.
type Sink func(Change)

// ServerIDOf returns the ID that the decision module uses for the node with this ID. It is
// a hash, so it is the same in every manager.
func ServerIDOf(id string) control.ServerID {
	h := fnv.New64a()
	h.Write([]byte(id))
	return control.ServerID(max(h.Sum64(), 1)) // 0 means no server
}

// Names holds the names that sources use for zones and machine kinds. The settings refer
// to each by its index here.
type Names struct {
	Zones        []string
	MachineKinds []string
}

// index returns the index of name in names, or -1 if it is not there.
func index(names []string, name string) int {
	for i, n := range names {
		if n == name {
			return i
		}
	}
	return -1
}
