// Package directory keeps the list of media nodes current. Its sources are the
// coordinator's long poll and DNS-SD.
package directory

import (
	"hash/fnv"
	"time"

	"millethinge/control"
)

// Member is a media node as a source of the list names it.
type Member struct {
	control.Entry
	ID        string
	Addr      string
	StartedAt time.Time // last start; zero: long ago
}

// Change is a change to the list; Full: it is the whole list.
type Change struct {
	Full    bool
	Members []Member
}

// Sink takes changes in order. It must not wait.
type Sink func(Change)

// ServerIDOf numbers a node for the decision module: the same at every manager.
func ServerIDOf(id string) control.ServerID {
	h := fnv.New64a()
	h.Write([]byte(id))
	return control.ServerID(max(h.Sum64(), 1)) // 0 stands for none
}

// Names gives the settings' numbers for names that sources use.
type Names struct {
	Zones        []string
	MachineKinds []string
}

func index(names []string, name string) int {
	for i, n := range names {
		if n == name {
			return i
		}
	}
	return -1
}
