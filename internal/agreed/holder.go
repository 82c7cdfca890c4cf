package agreed

import "time"

// holder is a manager's side: what it knows, and its lease.
type holder struct {
	number uint64        // another one after each start
	length time.Duration // of a lease by its own clock
	force  *Document     // the newest that it knows to be in force; nil: none
	next   *Document     // accepted; it keeps to this as well
	until  time.Duration // of the lease
	seq    uint64
	asked  map[uint64]time.Duration
	flaw   flaw
}

// renew is the next request for a lease.
func (h *holder) renew(now time.Duration) *renewal {
	h.seq++
	h.asked[h.seq] = now
	for s, at := range h.asked {
		if at+h.length < now {
			delete(h.asked, s) // what it would give has run out
		}
	}
	r := &renewal{HolderID: h.number, Seq: h.seq}
	if h.force != nil {
		r.InForce = h.force.Version
	}
	if h.next != nil {
		r.Pending = h.next.Version
	}
	return r
}

// granted takes a grant in. news: it knows more than before, and should tell.
func (h *holder) granted(g *grant, docs []*Document) (news bool) {
	asked, ok := h.asked[g.Seq]
	if g.HolderID != h.number || !ok {
		return false
	}
	find := func(v uint64) *Document {
		for _, d := range append(docs, h.force, h.next) {
			if d != nil && d.Version == v {
				return d
			}
		}
		return nil
	}
	force, next := find(g.InForce), find(g.Pending)
	if g.InForce != 0 && force == nil || g.Pending != 0 && next == nil {
		return false // Guard: no lease on what it has not got
	}
	if force != nil && (h.force == nil || h.force.Version < force.Version) {
		h.force, news = force, true
	}
	if next != nil && (h.next == nil || h.next.Version < next.Version) {
		h.next, news = next, true
	}
	// Guard: a grant that comes late may be older than what is known. What is known to
	// come is kept to until it is in force, whatever is said.
	if h.next != nil && h.force != nil && h.next.Version <= h.force.Version {
		h.next = nil
	}
	h.until = max(h.until, asked+h.length)
	return news
}

func (h *holder) leased(now time.Duration) bool { return now < h.until || h.flaw == noLease }

// keeps are the versions that it keeps to.
func (h *holder) keeps() (out []*Document) {
	for _, d := range []*Document{h.force, h.next} {
		if d != nil {
			out = append(out, d)
		}
	}
	return out
}
