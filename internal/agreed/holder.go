package agreed

import "time"

// holder is a manager's side: what it knows, and its lease.
type holder struct {
	id          uint64        // another one after each start
	leaseLength time.Duration // of a lease by its own clock
	inForce     *Document     // the newest that it knows to be in force; nil: none
	pending     *Document     // accepted; it keeps to this as well
	leaseExpiry time.Duration // of the lease
	seq         uint64
	requestedAt map[uint64]time.Duration
	fault       protocolFault
}

// nextRenewal is the next request for a lease.
func (h *holder) nextRenewal(now time.Duration) *renewal {
	h.seq++
	h.requestedAt[h.seq] = now
	for s, at := range h.requestedAt {
		if at+h.leaseLength < now {
			delete(h.requestedAt, s) // what it would give has run out
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

// applyGrant takes a grant in. news: it knows more than before, and should tell.
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
		return false // Guard: no lease on what it has not got
	}
	if inForce != nil && (h.inForce == nil || h.inForce.Version < inForce.Version) {
		h.inForce, changed = inForce, true
	}
	if pending != nil && (h.pending == nil || h.pending.Version < pending.Version) {
		h.pending, changed = pending, true
	}
	// Guard: a grant that comes late may be older than what is known. What is known to
	// come is kept to until it is in force, whatever is said.
	if h.pending != nil && h.inForce != nil && h.pending.Version <= h.inForce.Version {
		h.pending = nil
	}
	h.leaseExpiry = max(h.leaseExpiry, requestedAt+h.leaseLength)
	return changed
}

func (h *holder) hasLease(now time.Duration) bool {
	return now < h.leaseExpiry || h.fault == faultNoLease
}

// boundBy are the versions that it keeps to.
func (h *holder) boundBy() (out []*Document) {
	for _, d := range []*Document{h.inForce, h.pending} {
		if d != nil {
			out = append(out, d)
		}
	}
	return out
}
