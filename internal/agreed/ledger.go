package agreed

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// remembered bounds the numbers whose contents are told apart from a second form.
const remembered = 256

// A Replica is a voter's life between two starts. One that starts again has forgotten
// what it promised, so that it is a new Replica with a higher Incarnation.
type Replica struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// id is the Member's name in the log's engine. It is never 0.
func (m Replica) id() uint64 { return xxhash.Sum64(encode(m)) | 1 }

// ledger is what the log comes to: the same at every voter that has applied as much.
type ledger struct {
	InForce  *Document          `cbor:"1,keyasint,omitempty"` // in force; nil: none yet
	Pending  *Document          `cbor:"2,keyasint,omitempty"` // accepted, and to come into force
	Hashes   map[uint64]uint64  `cbor:"3,keyasint"`           // of the last numbers
	Replicas map[uint64]Replica `cbor:"4,keyasint"`           // voters and those that learn, by id
}

// entry is one line of the log; one field is set.
type entry struct {
	EncodedDocument []byte `cbor:"1,keyasint,omitempty"` // accept it
	Enforce         uint64 `cbor:"2,keyasint,omitempty"` // this version is in force
}

func (l *ledger) last() uint64 {
	if l.Pending != nil {
		return l.Pending.Version
	}
	return l.force()
}

func (l *ledger) force() uint64 {
	if l.InForce != nil {
		return l.InForce.Version
	}
	return 0
}

// verdict tells what becomes of a version that is submitted now. fresh: it may be
// written to the log.
func (l *ledger) verdict(d *Document, hash uint64) (w what, fresh bool) {
	switch h, ok := l.Hashes[d.Version]; {
	case ok && h == hash:
		return accepted, false
	case ok || d.Version <= l.last():
		return conflict, false
	case d.Replaces == l.last() && l.Pending == nil:
		return accepted, true
	case l.Pending != nil:
		return busy, false
	}
	return gap, false
}

// accept applies a version. It decides again, since two may have been written at once.
func (l *ledger) accept(d *Document) {
	hash := d.Hash()
	if _, fresh := l.verdict(d, hash); !fresh {
		return
	}
	l.Hashes[d.Version] = hash
	for v := range l.Hashes {
		if v+remembered <= d.Version {
			delete(l.Hashes, v)
		}
	}
	if l.InForce != nil && !Incompatible(l.InForce, d) {
		l.InForce = d // both may be acted on at once: nobody waits
		return
	}
	l.Pending = d
}

func (l *ledger) enforce(v uint64) {
	if l.Pending != nil && l.Pending.Version == v {
		l.InForce, l.Pending = l.Pending, nil
	}
}

// lessor is a leader's account of the leases that may be held. It knows nothing of
// those that others gave before it led, and takes it that all managers hold one.
type lessor struct {
	length time.Duration
	since  time.Duration // when it came to lead
	held   map[uint64]holding
	flaw   flaw
}

type holding struct {
	name  string
	until time.Duration
	keeps uint64 // it keeps to this version, and to what was in force before
}

func newLessor(length, now time.Duration, f flaw) *lessor {
	return &lessor{length: length, since: now, held: map[uint64]holding{}, flaw: f}
}

// heard notes a renewal. A lease counts from when it was asked for, which was not
// after it arrived here.
func (s *lessor) heard(now time.Duration, name string, r *renewal) {
	h := s.held[r.HolderID]
	h.name, h.until, h.keeps = name, now+s.length, max(h.keeps, r.InForce, r.Pending)
	s.held[r.HolderID] = h
}

// settled tells whether nobody can act on what is in force without keeping to v.
func (s *lessor) settled(now time.Duration, v uint64) bool {
	if s.flaw == noWait {
		return true
	}
	// Guard: leases that an earlier leader gave were asked for before this one led.
	if now < s.since+s.length {
		return false
	}
	for id, h := range s.held {
		if h.until <= now {
			delete(s.held, id)
		} else if h.keeps < v {
			return false
		}
	}
	return true
}

// flaw leaves out a part of the protocol, for tests that must find it missing.
type flaw int

const (
	noFlaw flaw = iota
	noLease
	noWait
)
