package duty

import (
	"sync/atomic"
	"time"
)

const (
	// IdleCloseDelay is how long after clients are sent away their idle connections are kept: new
	// ones keep coming for 0.3 s, and each of those has its first request on its way.
	IdleCloseDelay = 400 * time.Millisecond
	// MinIdleTime is how long nothing may have been open on a connection that is let go, so
	// that one between two requests of a busy client is not cut at once.
	MinIdleTime = 60 * time.Millisecond
	// SetupRefusalDelay is how long requests are served on connections that are never idle. What
	// comes later is refused at once.
	SetupRefusalDelay = 1700 * time.Millisecond
)

// Gate tells the fronts whether clients are taken. All of them may ask at once. The zero
// value, and a nil one, takes all.
type Gate struct {
	drainStart    atomic.Int64 // Unix time in ns since when clients are sent away; 0: they are taken
	handoverStart atomic.Int64 // since when they are led to a younger process of this manager
}

// StartDrain sends clients away from a time on. A gate that is shut stays as it is.
func (g *Gate) StartDrain(now time.Time) { g.drainStart.CompareAndSwap(0, now.UnixNano()) }

// StopDrain takes clients again.
func (g *Gate) StopDrain() { g.drainStart.Store(0) }

// StartHandover lets connections go, as Shut does, while the manager goes on taking clients:
// their new ones come to a younger process.
func (g *Gate) StartHandover(now time.Time) { g.handoverStart.CompareAndSwap(0, now.UnixNano()) }

// AcceptsClients tells whether clients are taken: what a test at the viewers' address says.
func (g *Gate) AcceptsClients() bool { return g == nil || g.drainStart.Load() == 0 }

// ClosesIdle tells whether a connection is closed on which nothing is open and nothing has
// come for a time.
//
// Guard: while clients are only sent away, one that holds sessions stays: their ends go
// on it, and no other will come. One that is led to a younger process comes again there.
func (g *Gate) ClosesIdle(now time.Time, idle time.Duration, hasSessions bool) bool {
	if g == nil || idle < MinIdleTime {
		return false
	}
	return elapsed(&g.handoverStart, now, IdleCloseDelay) || !hasSessions && elapsed(&g.drainStart, now, IdleCloseDelay)
}

// RefusesSetups tells whether a new request is refused unheard.
func (g *Gate) RefusesSetups(now time.Time) bool {
	return g != nil && elapsed(&g.drainStart, now, SetupRefusalDelay)
}

// elapsed tells whether a time was so long ago.
func elapsed(since *atomic.Int64, now time.Time, delay time.Duration) bool {
	sinceNS := since.Load()
	return sinceNS != 0 && now.UnixNano()-sinceNS >= int64(delay)
}
