package agreement

import "time"

// holder is the lease holder's side of the protocol, at each manager: the versions that it knows
// of, and its lease.
type holder struct {
	id          uint64        // differs after each start
	leaseLength time.Duration // by its own clock
	inForce     *Document     // the newest version that it knows to be in force; nil: none
	pending     *Document     // accepted, not yet in force; binds the manager as well; nil: none
	leaseExpiry time.Duration
	seq         uint64                   // of the last renewal
	requestedAt map[uint64]time.Duration // by seq
	fault       protocolFault
}

// nextRenewal returns the next request for a lease.
func (h *holder) nextRenewal(now time.Duration) *renewal {
	h.seq++
	h.requestedAt[h.seq] = now
	for s, at := range h.requestedAt {
		if at+h.leaseLength < now {
			delete(h.requestedAt, s) // a lease granted for it would have expired
		}
	}
	r := &renewal{HolderID: h.id, Seq: h.seq}
	if h.inForce != nil {
		r.InForce = h.inForce.Version
	}
	if h.pending != nil {
		r.Pending = h.pending.Version
	}
	return r
}

// applyGrant applies a grant. changed means that the holder knows a newer version than before,
// and should send a renewal that says so.
func (h *holder) applyGrant(g *grant, documents []*Document) (changed bool) {
	requestedAt, ok := h.requestedAt[g.Seq]
	if g.HolderID != h.id || !ok {
		return false
	}
	find := func(v uint64) *Document {
		for _, d := range append(documents, h.inForce, h.pending) {
			if d != nil && d.Version == v {
				return d
			}
		}
		return nil
	}
	inForce, pending := find(g.InForce), find(g.Pending)
	if g.InForce != 0 && inForce == nil || g.Pending != 0 && pending == nil {
		return false // Guard: no lease on a version whose document is missing here
	}
	if inForce != nil && (h.inForce == nil || h.inForce.Version < inForce.Version) {
		h.inForce, changed = inForce, true
	}
	if pending != nil && (h.pending == nil || h.pending.Version < pending.Version) {
		h.pending, changed = pending, true
	}
	// Guard: a delayed grant may be older than what is known. A pending version binds the
	// manager until it is in force, whatever later grants say.
	if h.pending != nil && h.inForce != nil && h.pending.Version <= h.inForce.Version {
		h.pending = nil
	}
	h.leaseExpiry = max(h.leaseExpiry, requestedAt+h.leaseLength)
	return changed
}

// hasLease reports whether the lease is still valid.
func (h *holder) hasLease(now time.Duration) bool {
	return now < h.leaseExpiry || h.fault == faultNoLease
}

// boundBy returns the versions that bind the manager.
func (h *holder) boundBy() (out []*Document) {
	for _, d := range []*Document{h.inForce, h.pending} {
		if d != nil {
			out = append(out, d)
		}
	}
	return out
}
