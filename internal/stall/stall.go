// Package stall tells a program that has stood still, such as one that was stopped
// and let go on, from one that ran: what it believes of the world is as old as the
// stand, though nothing says so. It holds what depends on that back until the world
// has been asked again.
//
// It does no I/O and reads no clock: times are arguments, from one that goes on while
// the program stands, as Go's monotonic clock does on Linux for a stopped process.
package stall

import (
	"cmp"
	"sync"
	"time"
)

// Figures of a Watch.
const (
	// defaultThreshold is Watch.After where nothing else is said.
	defaultThreshold = 800 * time.Millisecond
	// heartbeatMargin is what passes between two at most, twice.
	heartbeatMargin = 200 * time.Millisecond
	// MaxStale is how long anything is held back: where nobody can be asked, the old
	// word is all there is.
	MaxStale = time.Second
)

// Detector is a program's pulse. It is safe for use by many goroutines.
type Detector struct {
	// After is the time without a beat after which the program is taken to have
	// stood; not to be changed once it beats. 0: 800 ms.
	Threshold time.Duration

	mu            sync.Mutex
	lastHeartbeat time.Time
	pauseEnd      time.Time // when the last stand was noticed; zero: nothing is held back
}

// ThresholdForGrace returns the After of a Watch whose program must not act on what has been
// untrue for longer than grace: whatever stood for less still hears of it in time.
func ThresholdForGrace(grace time.Duration) time.Duration {
	return max(grace-heartbeatMargin, heartbeatMargin)
}

// Reset begins anew at a time, after which beats come.
func (d *Detector) Reset(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastHeartbeat, d.pauseEnd = now, time.Time{}
}

// Heartbeat notes that the program runs. If it has stood still, it tells for how long,
// once: whoever hears that has the world asked again.
func (d *Detector) Heartbeat(now time.Time) (paused time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	gap := now.Sub(d.lastHeartbeat)
	if gap < 0 {
		return 0 // another goroutine was ahead
	}
	first := d.lastHeartbeat.IsZero()
	d.lastHeartbeat = now
	if first || gap <= cmp.Or(d.Threshold, defaultThreshold) {
		return 0
	}
	d.pauseEnd = now
	return gap
}

// Stale tells whether what depends on the world's state is to wait. It is to be asked
// after Beat, with the same time.
func (d *Detector) Stale(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.pauseEnd.IsZero() && now.Sub(d.pauseEnd) > MaxStale {
		d.pauseEnd = time.Time{}
	}
	return !d.pauseEnd.IsZero()
}

// Refreshed tells that the world has answered a question that was asked at a time. An
// answer to one from before the end of the stand may be as old as that.
func (d *Detector) Refreshed(requested time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !requested.Before(d.pauseEnd) {
		d.pauseEnd = time.Time{}
	}
}
