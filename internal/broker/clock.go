package broker

import (
	"container/heap"
	"time"

	"millethinge/control"
)

// clock tells Unix time that never steps back: the system's at the start, and
// from there its monotonic reading. A step of the wall clock moves no deadline.
type clock struct{ start time.Time }

func newClock() clock { return clock{time.Now()} }

func (c clock) now() time.Time { return c.start.Add(time.Since(c.start)) }

// unixSeconds is a time as the module takes it.
func unixSeconds(t time.Time) float64 { return float64(t.UnixNano()) / 1e9 }

type timerKind uint8

const (
	timerWake        timerKind = iota // the module's own, with its token
	timerAttempt                      // an attempt's time is up; token is its number
	timerDeadline                     // the viewer's answer is due
	timerGrace                        // a lost player has not come back; token counts its losses
	timerRecheck                      // an attempt waits for its client
	timerForgetReply                  // a final reply is forgotten
	timerDrain                        // only wakes the loop
	timerPlanner                      // a part is due; token is its number
)

type timer struct {
	due     time.Time
	seq     uint64
	kind    timerKind
	session control.SessionID
	token   uint32
}

// timerHeap is a heap by time; equal times run in the order in which they came.
type timerHeap struct {
	entries []timer
	seq     uint64
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

// next tells how long it is until the first timer.
func (t *timerHeap) next(now time.Time) (time.Duration, bool) {
	if len(t.entries) == 0 {
		return 0, false
	}
	return max(t.entries[0].due.Sub(now), 0), true
}

// pop takes the first timer if it is due.
func (t *timerHeap) pop(now time.Time) (timer, bool) {
	if len(t.entries) == 0 || t.entries[0].due.After(now) {
		return timer{}, false
	}
	return heap.Pop(t).(timer), true
}
