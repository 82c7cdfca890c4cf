package override

import (
	"sync/atomic"
	"time"
)

// Delays that apply in a drain or handover.
const (
	// IdleCloseDelay is how long idle connections are kept after a drain or handover begins:
	// new connections keep arriving for 0.3 s, and each has its first request on its way.
	IdleCloseDelay = 400 * time.Millisecond
	// MinIdleTime is how long a connection must have been idle before it is closed, so that
	// one is not closed between two requests of a busy client.
	MinIdleTime = 60 * time.Millisecond
	// SetupRefusalDelay is how long after a drain begins set-ups are still served on
	// connections that are never idle. Later set-ups are refused at once.
	SetupRefusalDelay = 1700 * time.Millisecond
)

// Gate tells the fronts whether clients are served. Its methods may be called by several
// goroutines at once. The zero value and a nil Gate accept all clients.
type Gate struct {
	drainStart    atomic.Int64 // when the drain began, Unix time in ns; 0: no drain
	handoverStart atomic.Int64 // when the handover to a successor began, Unix time in ns; 0: none
}

// StartDrain begins to turn clients away. During a drain it has no effect: the drain keeps
// its start time.
func (g *Gate) StartDrain(now time.Time) { g.drainStart.CompareAndSwap(0, now.UnixNano()) }

// StopDrain accepts clients again.
func (g *Gate) StopDrain() { g.drainStart.Store(0) }

// StartHandover begins to close idle connections, as StartDrain does, while the manager still
// accepts clients: their new connections are directed to a successor.
func (g *Gate) StartHandover(now time.Time) { g.handoverStart.CompareAndSwap(0, now.UnixNano()) }

// AcceptsClients reports whether clients are accepted; pings at the viewers' address are
// answered with it.
func (g *Gate) AcceptsClients() bool { return g == nil || g.drainStart.Load() == 0 }

// ClosesIdle reports whether to close a connection that awaits no answer and has sent nothing
// for the duration idle.
//
// Guard: in a drain, a connection with established sessions stays open: the ends of the
// sessions are sent on it, and the client has no other connection for them. In a handover,
// the client reconnects to the successor.
func (g *Gate) ClosesIdle(now time.Time, idle time.Duration, hasSessions bool) bool {
	if g == nil || idle < MinIdleTime {
		return false
	}
	return elapsed(&g.handoverStart, now, IdleCloseDelay) || !hasSessions && elapsed(&g.drainStart, now, IdleCloseDelay)
}

// RefusesSetups reports whether new set-ups are refused without being looked at.
func (g *Gate) RefusesSetups(now time.Time) bool {
	return g != nil && elapsed(&g.drainStart, now, SetupRefusalDelay)
}

// elapsed reports whether since is set and at least delay before now. since is Unix time in
// ns; 0 means that it is not set.
func elapsed(since *atomic.Int64, now time.Time, delay time.Duration) bool {
	sinceNS := since.Load()
	return sinceNS != 0 && now.UnixNano()-sinceNS >= int64(delay)
}
