package agreed

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxHashes bounds the numbers whose contents are told apart from a second form.
const maxHashes = 256

// A Replica is a voter's life between two starts. One that starts again has forgotten
// what it promised, so that it is a new Replica with a higher Incarnation.
type Replica struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// raftID is the Member's name in the log's engine. It is never 0.
func (m Replica) raftID() uint64 { return xxhash.Sum64(encode(m)) | 1 }

// ledger is what the log comes to: the same at every voter that has applied as much.
type ledger struct {
	InForce  *Document          `cbor:"1,keyasint,omitempty"` // in force; nil: none yet
	Pending  *Document          `cbor:"2,keyasint,omitempty"` // accepted, and to come into force
	Hashes   map[uint64]uint64  `cbor:"3,keyasint"`           // of the last numbers
	Replicas map[uint64]Replica `cbor:"4,keyasint"`           // voters and those that learn, by id
}

// logEntry is one line of the log; one field is set.
type logEntry struct {
	EncodedDocument []byte `cbor:"1,keyasint,omitempty"` // accept it
	Enforce         uint64 `cbor:"2,keyasint,omitempty"` // this version is in force
}

func (l *ledger) lastVersion() uint64 {
	if l.Pending != nil {
		return l.Pending.Version
	}
	return l.versionInForce()
}

func (l *ledger) versionInForce() uint64 {
	if l.InForce != nil {
		return l.InForce.Version
	}
	return 0
}

// outcomeOf tells what becomes of a version that is submitted now. fresh: it may be
// written to the log.
func (l *ledger) outcomeOf(d *Document, hash uint64) (result outcome, appendable bool) {
	switch h, ok := l.Hashes[d.Version]; {
	case ok && h == hash:
		return outcomeAccepted, false
	case ok || d.Version <= l.lastVersion():
		return outcomeConflict, false
	case d.Replaces == l.lastVersion() && l.Pending == nil:
		return outcomeAccepted, true
	case l.Pending != nil:
		return outcomeBusy, false
	}
	return outcomeGap, false
}

// accept applies a version. It decides again, since two may have been written at once.
func (l *ledger) accept(d *Document) {
	hash := d.Hash()
	if _, appendable := l.outcomeOf(d, hash); !appendable {
		return
	}
	l.Hashes[d.Version] = hash
	for v := range l.Hashes {
		if v+maxHashes <= d.Version {
			delete(l.Hashes, v)
		}
	}
	if l.InForce != nil && !Incompatible(l.InForce, d) {
		l.InForce = d // both may be acted on at once: nobody waits
		return
	}
	l.Pending = d
}

func (l *ledger) putInForce(version uint64) {
	if l.Pending != nil && l.Pending.Version == version {
		l.InForce, l.Pending = l.Pending, nil
	}
}

// lessor is a leader's account of the leases that may be held. It knows nothing of
// those that others gave before it led, and takes it that all managers hold one.
type lessor struct {
	leaseLength time.Duration
	leaderSince time.Duration // when it came to lead
	leases      map[uint64]leaseRecord
	fault       protocolFault
}

type leaseRecord struct {
	manager string
	expiry  time.Duration
	boundBy uint64 // it keeps to this version, and to what was in force before
}

func newLessor(leaseLength, now time.Duration, f protocolFault) *lessor {
	return &lessor{leaseLength: leaseLength, leaderSince: now, leases: map[uint64]leaseRecord{}, fault: f}
}

// recordRenewal notes a renewal. A lease counts from when it was asked for, which was not
// after it arrived here.
func (s *lessor) recordRenewal(now time.Duration, managerName string, r *renewal) {
	lease := s.leases[r.HolderID]
	lease.manager, lease.expiry, lease.boundBy = managerName, now+s.leaseLength, max(lease.boundBy, r.InForce, r.Pending)
	s.leases[r.HolderID] = lease
}

// allBoundBy tells whether nobody can act on what is in force without keeping to v.
func (s *lessor) allBoundBy(now time.Duration, version uint64) bool {
	if s.fault == faultNoWait {
		return true
	}
	// Guard: leases that an earlier leader gave were asked for before this one led.
	if now < s.leaderSince+s.leaseLength {
		return false
	}
	for id, lease := range s.leases {
		if lease.expiry <= now {
			delete(s.leases, id)
		} else if lease.boundBy < version {
			return false
		}
	}
	return true
}

// protocolFault leaves out a part of the protocol, for tests that must find it missing.
type protocolFault int

const (
	faultNone protocolFault = iota
	faultNoLease
	faultNoWait
)
