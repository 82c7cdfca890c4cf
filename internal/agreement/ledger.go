package agreement

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxHashes is the number of last versions whose hashes are kept, to recognise a version number
// that is submitted again with different contents.
const maxHashes = 256

// A Replica is a voter between two starts. A voter that starts again has forgotten its votes
// and log, so it is a new Replica with a higher Incarnation.
type Replica struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// raftID returns the Replica's ID in raft. It is never 0.
func (m Replica) raftID() uint64 { return xxhash.Sum64(encode(m)) | 1 }

// ledger is the replicated state: it is the same at all voters that have applied the same
// entries.
type ledger struct {
	InForce  *Document          `cbor:"1,keyasint,omitempty"` // nil: none yet
	Pending  *Document          `cbor:"2,keyasint,omitempty"` // accepted, not yet in force; nil: none
	Hashes   map[uint64]uint64  `cbor:"3,keyasint"`           // of the last maxHashes versions, by number
	Replicas map[uint64]Replica `cbor:"4,keyasint"`           // voters and learners, by raftID
}

// logEntry is an entry of the log. One field is set.
type logEntry struct {
	EncodedDocument []byte `cbor:"1,keyasint,omitempty"` // accept this version
	Enforce         uint64 `cbor:"2,keyasint,omitempty"` // put this version in force
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

// outcomeOf returns the outcome of a version that is submitted now. appendable means that it is
// new and may be appended to the log.
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

// accept applies an accepted version. It decides again, since two versions may have been
// appended to the log at the same time.
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
		l.InForce = d // both may be acted on at the same time, so there is no need to wait
		return
	}
	l.Pending = d
}

func (l *ledger) putInForce(version uint64) {
	if l.Pending != nil && l.Pending.Version == version {
		l.InForce, l.Pending = l.Pending, nil
	}
}

// lessor is the leader's record of the leases that managers may hold. It does not know the
// leases granted by earlier leaders, and assumes that every manager holds one.
type lessor struct {
	leaseLength time.Duration
	leaderSince time.Duration          // when it became leader
	leases      map[uint64]leaseRecord // by the holder's id
	fault       protocolFault
}

type leaseRecord struct {
	manager string
	expiry  time.Duration
	boundBy uint64 // newest version that binds the holder; the version in force before binds it as well
}

func newLessor(leaseLength, now time.Duration, f protocolFault) *lessor {
	return &lessor{leaseLength: leaseLength, leaderSince: now, leases: map[uint64]leaseRecord{}, fault: f}
}

// recordRenewal records a renewal. The holder counts its lease from the time of the request,
// which is not later than its arrival here.
func (s *lessor) recordRenewal(now time.Duration, managerName string, r *renewal) {
	lease := s.leases[r.HolderID]
	lease.manager, lease.expiry, lease.boundBy = managerName, now+s.leaseLength, max(lease.boundBy, r.InForce, r.Pending)
	s.leases[r.HolderID] = lease
}

// allBoundBy reports whether no manager can act on the version in force without being bound by
// the given version as well.
func (s *lessor) allBoundBy(now time.Duration, version uint64) bool {
	if s.fault == faultNoWait {
		return true
	}
	// Guard: leases granted by an earlier leader were requested before this one led.
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

// protocolFault disables a part of the protocol, for tests that must detect its absence.
type protocolFault int

const (
	faultNone protocolFault = iota
	faultNoLease
	faultNoWait
)
