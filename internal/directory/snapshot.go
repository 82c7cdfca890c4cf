package directory

import (
	"encoding/json"
	"hash/fnv"
	"time"
)

// Snapshot is the whole list as the coordinator has told it to one process, for the other processes
// of the manager. It is stored in a file: the numbers and types of the fields must not change.
type Snapshot struct {
	Index      uint64    `cbor:"1,keyasint"` // of the last update in it
	Nodes      []Node    `cbor:"2,keyasint"` // the listed nodes
	ReceivedAt time.Time `cbor:"3,keyasint"` // when the last update was received
	KnownHash  uint64    `cbor:"4,keyasint"` // of the updates in the configuration after which the process polled
	Renumbered int       `cbor:"5,keyasint"` // how often the coordinator has numbered its updates anew since
}

// validate returns the first fault of a snapshot, as an *UpdateError, or nil.
func (s *Snapshot) validate() error {
	return (&endpoints{Members: s.Nodes}).validate(s.Index)
}

// sameNumbering reports whether the indexes of two snapshots belong to one series of updates.
//
// Guard: the numbers may start from 1 at each start of a process, and a coordinator may number its
// updates anew. Indexes of different series say nothing about which is newer.
func (s *Snapshot) sameNumbering(other *Snapshot) bool {
	return s.KnownHash == other.KnownHash && s.Renumbered == other.Renumbered
}

// newerThan reports whether the coordinator told s later than other.
func (s *Snapshot) newerThan(other *Snapshot) bool {
	if s.sameNumbering(other) {
		return s.Index > other.Index
	}
	return s.ReceivedAt.After(other.ReceivedAt)
}

// knownList describes the updates in the configuration.
type knownList struct {
	hash      uint64
	lastIndex uint64
	empty     bool
	writtenAt time.Time // when the configuration was written; zero: unknown
}

func newKnownList(known Updates, lastIndex uint64) knownList {
	return knownList{hash: known.hash(), lastIndex: lastIndex, empty: len(known.Updates) == 0}
}

// newerThan reports whether the configuration has a newer list than a snapshot that another process
// has stored.
//
// Guard: a configuration with the same updates as that of the other process tells nothing new,
// whenever it was written. One with other updates is newer if it was written later, or if its
// index is higher and belongs to the same series.
func (k *knownList) newerThan(s *Snapshot) bool {
	if k.empty || k.hash == s.KnownHash {
		return false
	}
	return k.writtenAt.After(s.ReceivedAt) || s.Renumbered == 0 && k.lastIndex > s.Index
}

// hash returns a hash of the updates, however they were formatted.
func (u *Updates) hash() uint64 {
	text, err := json.Marshal(u.Updates)
	if err != nil {
		return 0 // not reached: the fields are numbers and strings
	}
	h := fnv.New64a()
	h.Write(text)
	return h.Sum64()
}
