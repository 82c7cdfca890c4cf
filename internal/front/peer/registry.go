package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// registry holds the open connections of one listener and enforces its limits.
type registry struct {
	Limits
	mu    sync.Mutex
	conns map[*Conn]bool
	alive atomic.Int64 // connections whose goroutines have not ended, also those that were evicted
}

// Limits bounds what the connections of one listener may take up.
type Limits struct {
	MaxConns          int         // open connections
	MaxConnsInUpgrade int         // open connections while UpgradeInProgress returns true
	UpgradeInProgress func() bool // reports whether another process uses half of the descriptors; nil: never
	MaxSetups         int         // open set-ups on each connection; 0: DefaultMaxSetups
	Gate              Gate        // nil: clients are always accepted
	Turns             *Turns      // bounds the work for clients that send much; nil: it is shared by the connections of one listener
	Rejections        *Rejections // counts what is rejected; nil: it is not counted
}

// maxEndingConns is how many connections may be ending at a listener before it accepts further ones.
const maxEndingConns = 64

// endingPause is the time between two checks whether connections have ended.
const endingPause = time.Millisecond

// awaitEnded waits while too many evicted connections have not ended.
//
// Guard: an evicted connection frees its descriptor at once, but its goroutines and buffers only
// when these have run. Where connections are replaced faster than that, they would add up.
func (r *registry) awaitEnded(ctx context.Context) {
	for r.alive.Load() > int64(r.MaxConns+maxEndingConns) && ctx.Err() == nil {
		time.Sleep(endingPause)
	}
}

// full reports whether no further connection may be added.
func (r *registry) full() bool {
	limit := r.MaxConns
	if r.UpgradeInProgress != nil && r.UpgradeInProgress() {
		limit = r.MaxConnsInUpgrade
	}
	return len(r.conns) >= limit
}

// add adds c, and reports whether it could. If the limit is reached, it evicts the
// connection that is the least loss; it fails if all await an answer or have output
// pending.
func (r *registry) add(c *Conn) bool {
	for {
		added, wait := r.tryAdd(c)
		if wait <= 0 {
			return added
		}
		time.Sleep(wait)
	}
}

// tryAdd adds c, or returns how long to wait before the next try; 0 if there is no use in
// another one.
func (r *registry) tryAdd(c *Conn) (added bool, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.full() { // possibly by more than one, once an upgrade has lowered the limit
		if evicted, wait := r.evictOne(); !evicted {
			return false, wait
		}
	}
	r.conns[c] = true
	return true, 0
}

// evictOne closes the connection that is the least loss, and reports whether it did so. It
// does not if all connections await an answer or have output pending, or if the candidate
// has just been accepted; for the latter it returns how long to wait.
//
// Guard: without that wait, in a burst of new connections each would be evicted for the
// next one before its first request is read.
func (r *registry) evictOne() (evicted bool, wait time.Duration) {
	for {
		var candidate *Conn
		for other := range r.conns {
			if !other.hasOpenSetups() && other.pendingBytes.Load() == 0 && (candidate == nil || other.evictBefore(candidate)) {
				candidate = other
			}
		}
		if candidate == nil {
			return false, 0
		}
		if wait := newConnGrace - time.Since(candidate.acceptedAt); candidate.lastMessage.Load() == 0 && wait > 0 {
			return false, wait
		}
		if candidate.sealIfUnused() { // false: a set-up has just arrived
			delete(r.conns, candidate)
			candidate.evicted.Store(true)
			r.Rejections.Count(RejectedEvicted)
			candidate.Close()
			return true, 0
		}
	}
}

// freeDescriptor evicts a connection when the operating system has no descriptor left.
func (r *registry) freeDescriptor() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evictOne()
}

// waitForAnswers has new set-ups refused and waits until none is open, for shutdownTimeout
// at most.
func (r *registry) waitForAnswers() {
	for deadline := time.Now().Add(shutdownTimeout); time.Now().Before(deadline) && r.sealAll(); {
		time.Sleep(time.Millisecond)
	}
}

// sealAll seals all connections, and reports whether any set-up is still open.
func (r *registry) sealAll() (anyOpen bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		anyOpen = c.seal() || anyOpen
	}
	return anyOpen
}

// evictBefore reports whether to evict c rather than other: in this order, because it has no
// established session, because it never had one, or because it has been idle for longer.
//
// Guard: a connection that has just been accepted counts as active, since its first request
// is probably in flight: it is the last to be evicted among its equals.
func (c *Conn) evictBefore(other *Conn) bool {
	if active := c.sessions.Load() > 0; active != (other.sessions.Load() > 0) {
		return !active
	}
	if had := c.HadSession(); had != other.HadSession() {
		return !had
	}
	return c.lastActivity().Before(other.lastActivity())
}

// lastActivity returns when the last complete message was read; before the first one, when
// the connection was accepted.
func (c *Conn) lastActivity() time.Time { return c.acceptedAt.Add(time.Duration(c.lastMessage.Load())) }

// remove removes a connection that has ended.
//
// Guard: an evicted one is removed already, and must not wait for the lock: the accept loop takes it
// for each eviction, and thousands of ended connections would wait in line for it.
func (r *registry) remove(c *Conn) {
	if c.evicted.Load() {
		return
	}
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

// closeOverdue closes connections whose time-out has passed, until ctx ends.
func (r *registry) closeOverdue(ctx context.Context, log *zap.Logger) error {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			r.mu.Lock()
			for c := range r.conns {
				if reason := c.closeReason(now); reason == reasonIncomplete || reason != "" && c.sealIfUnused() {
					log.Debug("viewer's connection closed", zap.String("from", c.Host), zap.String("why", reason))
					if reason == reasonIncomplete {
						r.Rejections.Count(RejectedIncomplete)
					}
					c.CloseAfterWrites()
				}
			}
			r.mu.Unlock()
		}
	}
}
