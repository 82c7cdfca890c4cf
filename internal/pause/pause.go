// Package pause detects process pauses: times in which the program itself did not run,
// such as between SIGSTOP and SIGCONT. After a pause the program's information about
// other systems is as old as the pause is long, and nothing else shows it. A Detector
// reports that information as stale until it has been requested anew.
//
// The package does no I/O and reads no clock: times are arguments. They must come from a
// clock that continues during a pause, as Go's monotonic clock does on Linux for a stopped
// process.
package pause

import (
	"cmp"
	"sync"
	"time"
)

// Times of a Detector.
const (
	// defaultThreshold applies if Detector.Threshold is 0.
	defaultThreshold = 800 * time.Millisecond
	// heartbeatMargin is twice the longest interval between heartbeats of a program that
	// runs.
	heartbeatMargin = 200 * time.Millisecond
	// MaxStale is the longest time after a pause for which information is reported as
	// stale: where no new information can be had, the old must do.
	MaxStale = time.Second
)

// Detector detects pauses of the process from gaps between heartbeats. It is safe for
// concurrent use.
type Detector struct {
	// Threshold is the longest gap between heartbeats that does not count as a pause.
	// If it is 0, 800 ms applies. It must not be changed after the first heartbeat.
	Threshold time.Duration

	mu            sync.Mutex
	lastHeartbeat time.Time
	pauseEnd      time.Time // when the last pause was noticed; zero: nothing is stale
}

// ThresholdForGrace returns the Threshold for a program that must not act on information
// that has been out of date for longer than grace. A program that pauses for less than the
// threshold still gets the new information within grace.
func ThresholdForGrace(grace time.Duration) time.Duration {
	return max(grace-heartbeatMargin, heartbeatMargin)
}

// Reset forgets all earlier heartbeats and pauses. Heartbeats follow from now on.
func (d *Detector) Reset(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastHeartbeat, d.pauseEnd = now, time.Time{}
}

// Heartbeat records that the program runs at now. If the process was paused, it returns for
// how long, to one caller only: that caller must request the information anew.
func (d *Detector) Heartbeat(now time.Time) (paused time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	gap := now.Sub(d.lastHeartbeat)
	if gap < 0 {
		return 0 // another goroutine has recorded a later heartbeat
	}
	first := d.lastHeartbeat.IsZero()
	d.lastHeartbeat = now
	if first || gap <= cmp.Or(d.Threshold, defaultThreshold) {
		return 0
	}
	d.pauseEnd = now
	return gap
}

// Stale reports whether actions that depend on the state of other systems must wait until
// that state has been requested anew. It must be called after Heartbeat, with the same time.
func (d *Detector) Stale(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.pauseEnd.IsZero() && now.Sub(d.pauseEnd) > MaxStale {
		d.pauseEnd = time.Time{}
	}
	return !d.pauseEnd.IsZero()
}

// Refreshed records the arrival of an answer to a request made at requested. The answer to a
// request from before the end of the pause may be as old as the pause, so it is ignored.
func (d *Detector) Refreshed(requested time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !requested.Before(d.pauseEnd) {
		d.pauseEnd = time.Time{}
	}
}
