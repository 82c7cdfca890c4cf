package media

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
)

// dialPurpose is what a connection is opened for. It decides who goes first, and for how long a
// node waits.
type dialPurpose uint8

const (
	dialForSetUps dialPurpose = iota // a set-up, a probe or a change of rung waits for it
	dialForEnds                      // the end of an established session may come on it, or a release waits for it
	dialPurposes                     // the number of purposes
)

const (
	// evictionScanInterval is the least time between two searches for connections to evict.
	evictionScanInterval = 20 * time.Millisecond
	// connLimitLogInterval is the least time between two log lines about the limit.
	connLimitLogInterval = 10 * time.Second
)

// connSlots counts the connections to all nodes that are open or being opened, and keeps the
// nodes that wait until one may be opened.
//
// Guard: viewers are told of the ends of sessions by connections that are opened anew (see
// node.countBreak). A slot that is free goes to these first.
type connSlots struct {
	mu               sync.Mutex
	used             int
	waiting          [dialPurposes][]*node // in the order of their requests
	evictionsPending int                   // connections that nodes were asked to evict and have not yet
	scannedAt        time.Time             // when connections to evict were last searched for
	scanFoundAny     bool                  // whether that search found any
	loggedAt         time.Time             // when the limit was last logged
}

// inUse returns the number of slots in use.
func (s *connSlots) inUse() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used
}

// waitingCount returns how many nodes wait for a slot. The caller holds s.mu.
func (s *connSlots) waitingCount() int {
	return len(s.waiting[dialForSetUps]) + len(s.waiting[dialForEnds])
}

// acquireSlot takes a slot for a connection and reports whether one was free. Nodes that wait
// for one go first.
func (p *Pool) acquireSlot(purpose dialPurpose) bool {
	s := &p.slots
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting[dialForEnds])+len(s.waiting[purpose]) > 0 || s.used >= p.cfg.connLimit() {
		return false
	}
	s.used++
	return true
}

// releaseSlot frees the slot of a connection that has closed.
func (p *Pool) releaseSlot() {
	p.slots.mu.Lock()
	defer p.slots.mu.Unlock()
	p.slots.used--
	p.grantSlots()
}

// grantSlots gives free slots to the nodes that wait for one. The caller holds p.slots.mu.
func (p *Pool) grantSlots() {
	s, connLimit := &p.slots, p.cfg.connLimit()
	for _, purpose := range []dialPurpose{dialForEnds, dialForSetUps} {
		for len(s.waiting[purpose]) > 0 && s.used < connLimit {
			n := s.waiting[purpose][0]
			s.waiting[purpose] = s.waiting[purpose][1:]
			s.used++
			n.inbox.Force(slotGranted{})
		}
	}
}

// awaitSlot adds n to the nodes that wait for a slot. It receives a slotGranted.
func (p *Pool) awaitSlot(n *node, purpose dialPurpose) {
	p.slots.mu.Lock()
	defer p.slots.mu.Unlock()
	p.slots.waiting[purpose] = append(p.slots.waiting[purpose], n)
	p.grantSlots()
}

// cancelWait removes n from the nodes that wait for a slot. It returns false if n does not
// wait, since a slotGranted is on its way.
func (p *Pool) cancelWait(n *node) bool {
	p.slots.mu.Lock()
	defer p.slots.mu.Unlock()
	for purpose, nodes := range p.slots.waiting {
		if i := slices.Index(nodes, n); i >= 0 {
			p.slots.waiting[purpose] = slices.Delete(nodes, i, i+1)
			return true
		}
	}
	return false
}

// slotsScarce reports whether nodes wait for a slot, or the next set-up would have to. Without
// any slots there is nothing to wait for.
func (p *Pool) slotsScarce() bool {
	p.slots.mu.Lock()
	defer p.slots.mu.Unlock()
	if p.cfg.connLimit() <= 0 {
		return false
	}
	return p.slots.waitingCount() > 0 || p.slots.used >= p.cfg.connLimit()
}

// makeRoom asks nodes to close connections that are worth least, as many as others wait for.
// It reports whether any can be closed for the purpose. waited is how long the caller has waited.
func (p *Pool) makeRoom(now time.Time, purpose dialPurpose, waited time.Duration) bool {
	s, connLimit := &p.slots, p.cfg.connLimit()
	s.mu.Lock()
	p.grantSlots() // the limit may have risen, since another process of this manager has ended
	if now.Sub(s.scannedAt) < evictionScanInterval {
		defer s.mu.Unlock()
		return s.scanFoundAny
	}
	s.scannedAt = now
	needed := s.waitingCount() + s.used - connLimit - s.evictionsPending
	demand := scarcity{purpose: purpose, connLimit: connLimit, waiting: s.waitingCount(), waited: waited, probesDisabled: p.cfg.DisableProbes}
	p.logConnLimit(now, connLimit)
	s.mu.Unlock()

	chosen := chooseEvictions(now, p.evictionOffers(), demand, needed)
	s.mu.Lock()
	s.evictionsPending += len(chosen)
	s.scanFoundAny = len(chosen) > 0 || s.evictionsPending > 0
	found := s.scanFoundAny
	s.mu.Unlock()
	for _, offer := range chosen {
		if !p.post(offer.node.server, evictRequest{offer.rank}, false) {
			p.evictionHandled() // the node has been removed
		}
	}
	return found
}

// logConnLimit logs that connections are at their limit, from time to time. The caller holds
// p.slots.mu.
func (p *Pool) logConnLimit(now time.Time, connLimit int) {
	s := &p.slots
	if now.Sub(s.loggedAt) < connLimitLogInterval {
		return
	}
	s.loggedAt = now
	p.cfg.Log.Warn("connections to media nodes are at their limit", zap.Int("used", s.used), zap.Int("limit", connLimit),
		zap.Int("nodes waiting for ends", len(s.waiting[dialForEnds])), zap.Int("nodes waiting for set-ups", len(s.waiting[dialForSetUps])))
}

// evictionOffers returns what each node offers to evict.
func (p *Pool) evictionOffers() (offers []evictionOffer) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, n := range p.nodes {
		if offer := n.offer.Load(); offer != nil {
			offers = append(offers, *offer)
		}
	}
	return offers
}

// evictionHandled records that a node has handled an evictRequest.
func (p *Pool) evictionHandled() {
	p.slots.mu.Lock()
	defer p.slots.mu.Unlock()
	p.slots.evictionsPending--
}
