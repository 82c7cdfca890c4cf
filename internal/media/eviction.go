package media

import (
	"cmp"
	"slices"
	"time"
)

// evictionRank orders connections by what is lost if one is closed while slots are scarce:
// the lowest goes first.
type evictionRank uint8

const (
	evictUseless   evictionRank = iota + 1 // carries no set-ups any more, and the node has other ways to send ends
	evictIdle                              // idle, at a node without established sessions
	evictSpare                             // idle, at a node that has another usable connection
	evictRecheck                           // opened to a node that has not been heard from since, after another such one
	evictLast                              // the only connection of a node with established sessions
	evictUnheard                           // the first connection since a node with established sessions was last heard from
	evictBusy                              // with open set-ups: it gets no more, and is closed once they have ended
	lowestEviction = evictUseless
)

// minEvictionIdle is the time since its last message for which a connection is not evicted:
// the next message may be on its way.
const minEvictionIdle = 250 * time.Millisecond

// busyEvictionWait is how long a node waits for a slot until connections with open set-ups
// are taken out of use. These end within the longest deadline of a class.
const busyEvictionWait = time.Second

// evictionOffer is the connection that a node would close first.
type evictionOffer struct {
	node      *node
	rank      evictionRank
	idleSince time.Time
}

// scarcity describes the demand for slots that an eviction serves.
type scarcity struct {
	purpose        dialPurpose
	connLimit      int
	waiting        int           // nodes that wait for a slot
	waited         time.Duration // how long the one that asks has waited
	probesDisabled bool
}

// minIdle returns for how long a connection of this rank must have been idle to be evicted.
//
// Where more nodes have established sessions than there are slots, the slots go round: each
// node has one for as long as lets all have had one within nodeSilenceTimeout.
//
// Guard: a node that was heard from neither on its first connection nor since may be stalled.
// Once it resumes it sends ends on that connection, and repeats them on no later one. Unless
// no probe can tell, the connection is kept until the node would be lost.
func (s scarcity) minIdle(rank evictionRank) time.Duration {
	if rank < evictLast {
		return minEvictionIdle
	}
	turn := nodeSilenceTimeout * time.Duration(s.connLimit) / time.Duration(max(s.connLimit+s.waiting, 1))
	if rank == evictUnheard && !s.probesDisabled {
		turn = nodeLostTimeout
	}
	return max(turn, minEvictionIdle)
}

// allows reports whether an offer may be taken at the given time. A set-up, which another node
// may take, closes no connection that still serves.
func (s scarcity) allows(now time.Time, offer evictionOffer) bool {
	switch {
	case s.purpose == dialForSetUps && offer.rank > evictUseless:
		return false
	case offer.rank == evictBusy:
		return s.waited >= busyEvictionWait
	}
	return now.Sub(offer.idleSince) >= s.minIdle(offer.rank)
}

// chooseEvictions returns the offers to take, at most count of them.
func chooseEvictions(now time.Time, offers []evictionOffer, demand scarcity, count int) []evictionOffer {
	allowed := slices.DeleteFunc(offers, func(o evictionOffer) bool { return !demand.allows(now, o) })
	slices.SortFunc(allowed, compareEvictions)
	return allowed[:min(max(count, 0), len(allowed))]
}

// compareEvictions orders offers: the one to take first comes first.
func compareEvictions(a, b evictionOffer) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), a.idleSince.Compare(b.idleSince))
}

// evictionRank returns the rank of c, or 0 if c must not be evicted.
func (n *node) evictionRank(c *conn, now time.Time) evictionRank {
	switch heard := n.heardSinceOpened(c); {
	case c.closed || c.evicted:
		return 0
	case c.checkPending && c.openSetUps == 0 && !c.unusable: // its answer shows whether it serves
		return 0
	case c.openSetUps > 0 && c.unusable:
		return 0
	case c.openSetUps > 0:
		return evictBusy
	case len(n.established) == 0 && (c.unusable || !n.canSendOn(c)):
		return evictUseless
	case len(n.established) == 0:
		return evictIdle
	case heard && (c.unusable || !n.canSendOn(c)):
		return evictUseless
	case heard && n.hasOtherUsable(c):
		return evictSpare
	case heard:
		return evictLast
	case n.firstUnheard() != c:
		return evictRecheck
	}
	return evictUnheard
}

// heardSinceOpened reports whether the node is known to have accepted c: it has sent a message
// on it, or on another connection well after c was opened.
func (n *node) heardSinceOpened(c *conn) bool {
	return !c.lastReceivedAt.IsZero() || n.lastMessageAt.After(c.openedAt.Add(connSuspectTimeout))
}

// hasOtherUsable reports whether the node has a usable connection besides c.
func (n *node) hasOtherUsable(c *conn) bool {
	return slices.ContainsFunc(n.conns, func(other *conn) bool { return other != c && n.canSendOn(other) })
}

// firstUnheard returns the oldest open connection that the node is not known to have accepted,
// or nil.
func (n *node) firstUnheard() *conn {
	for _, c := range n.conns {
		if !c.closed && !n.heardSinceOpened(c) {
			return c
		}
	}
	return nil
}

// bestEviction returns the connection to evict first and the offer of it. c is nil if none may
// be evicted.
func (n *node) bestEviction(now time.Time) (c *conn, best evictionOffer) {
	for _, candidate := range n.conns {
		rank := n.evictionRank(candidate, now)
		if rank < lowestEviction {
			continue
		}
		offer := evictionOffer{n, rank, candidate.lastUsedAt}
		if c == nil || compareEvictions(offer, best) < 0 {
			c, best = candidate, offer
		}
	}
	return c, best
}

// maintainScarcity runs on each tick. While slots are scarce it lets the pool know which
// connection this node would close for others, and checks the connections of a node that is
// silent instead of opening another one. It also checks the one that could not be evicted
// otherwise.
func (n *node) maintainScarcity(now time.Time) {
	if !n.pool.slotsScarce() {
		n.offer.Store(nil)
		return
	}
	if len(n.established) > 0 && !n.pool.cfg.DisableProbes {
		first := n.firstUnheard()
		for _, c := range n.conns {
			if (c == first || n.isSilent(now)) && !c.checkPending && n.canSendOn(c) {
				c.checkPending = n.sendProbe(c, true, nodeSilenceTimeout)
			}
		}
	}
	if c, offer := n.bestEviction(now); c != nil {
		n.offer.Store(&offer)
	} else {
		n.offer.Store(nil)
	}
}

// handleEvictRequest closes a connection so that another node may open one.
func (n *node) handleEvictRequest(m evictRequest) {
	now := time.Now()
	if c, offer := n.bestEviction(now); c != nil && offer.rank <= m.rank {
		n.evict(c, now)
	}
	n.pool.evictionHandled()
}

// evict closes a connection, once its set-ups have ended. If an end may be lost with it, another
// one is opened in its turn.
//
// Guard: at the limit each connection that is opened costs another one. If the node was heard
// from just now, it runs, and learns of the close before it sends anything else: one connection
// is enough, and none is opened after the node's next message (see handleMessage).
func (n *node) evict(c *conn, now time.Time) {
	if c.openSetUps > 0 {
		c.unusable, c.evicted = true, true // maintainConns closes it
		return
	}
	running := now.Sub(n.lastMessageAt) < connSuspectTimeout
	n.closeConn(c)
	if running {
		n.lossCountAtFirstMessage = n.lossCount
	}
}
