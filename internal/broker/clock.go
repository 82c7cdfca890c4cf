package broker

import (
	"container/heap"
	"time"

	"millethinge/control"
)

// clock gives times that never step back: the wall clock at the start plus the monotonic
// time since then. A step of the wall clock therefore moves no deadline.
type clock struct{ start time.Time }

func newClock() clock { return clock{time.Now()} }

func (c clock) now() time.Time { return c.start.Add(time.Since(c.start)) }

// unixSeconds converts t to Unix time in seconds, as the decision module takes it.
func unixSeconds(t time.Time) float64 { return float64(t.UnixNano()) / 1e9 }

type timerKind uint8

const (
	timerWake           timerKind = iota // requested by the decision module; token is the module's
	timerAttempt                         // the deadline of an attempt; token is its number
	timerDeadline                        // the answer to the viewer is due
	timerGrace                           // the grace of a disconnected player is over; token is session.disconnects at that time
	timerRecheck                         // a deferred attempt checks its client again
	timerForgetReply                     // a kept final reply is dropped
	timerDrain                           // only wakes the loop, which checks whether the drain has ended
	timerClaim                           // other processes have had their time to answer a claim
	timerPlayerHandover                  // the next PlayerHandover before the final one is due
	timerPlanner                         // a planner's tick is due; token is its index
)

type timer struct {
	due     time.Time
	seq     uint64 // order in which it was added
	kind    timerKind
	session control.SessionID
	token   uint32
}

// timerHeap is a heap ordered by due time. Timers due at the same time run in the order in
// which they were added.
type timerHeap struct {
	entries []timer
	seq     uint64 // of the timer that was added last
}

func (t *timerHeap) Len() int { return len(t.entries) }
func (t *timerHeap) Less(i, j int) bool {
	a, b := &t.entries[i], &t.entries[j]
	if !a.due.Equal(b.due) {
		return a.due.Before(b.due)
	}
	return a.seq < b.seq
}
func (t *timerHeap) Swap(i, j int) { t.entries[i], t.entries[j] = t.entries[j], t.entries[i] }
func (t *timerHeap) Push(v any)    { t.entries = append(t.entries, v.(timer)) }
func (t *timerHeap) Pop() any {
	n := len(t.entries) - 1
	v := t.entries[n]
	t.entries = t.entries[:n]
	return v
}

func (t *timerHeap) add(due time.Time, kind timerKind, id control.SessionID, token uint32) {
	t.seq++
	heap.Push(t, timer{due, t.seq, kind, id, token})
}

// next returns the time until the first timer is due. It returns false if there is none.
func (t *timerHeap) next(now time.Time) (time.Duration, bool) {
	if len(t.entries) == 0 {
		return 0, false
	}
	return max(t.entries[0].due.Sub(now), 0), true
}

// pop removes and returns the first timer if it is due.
func (t *timerHeap) pop(now time.Time) (timer, bool) {
	if len(t.entries) == 0 || t.entries[0].due.After(now) {
		return timer{}, false
	}
	return heap.Pop(t).(timer), true
}
