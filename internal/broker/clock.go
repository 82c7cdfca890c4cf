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

// unix is a time as the module takes it.
func unix(t time.Time) float64 { return float64(t.UnixNano()) / 1e9 }

type timerKind uint8

const (
	timerWake     timerKind = iota // the module's own, with its token
	timerAttempt                   // an attempt's time is up; token is its number
	timerDeadline                  // the viewer's answer is due
	timerGrace                     // a lost player has not come back; token counts its losses
	timerLook                      // an attempt waits for its client
	timerForget                    // a final reply is forgotten
	timerDrain                     // only wakes the loop
	timerPart                      // a part is due; token is its number
)

type timer struct {
	at      time.Time
	seq     uint64
	kind    timerKind
	session control.SessionID
	token   uint32
}

// timers is a heap by time; equal times run in the order in which they came.
type timers struct {
	list []timer
	seq  uint64
}

func (t *timers) Len() int { return len(t.list) }
func (t *timers) Less(i, j int) bool {
	a, b := &t.list[i], &t.list[j]
	if !a.at.Equal(b.at) {
		return a.at.Before(b.at)
	}
	return a.seq < b.seq
}
func (t *timers) Swap(i, j int) { t.list[i], t.list[j] = t.list[j], t.list[i] }
func (t *timers) Push(v any)    { t.list = append(t.list, v.(timer)) }
func (t *timers) Pop() any {
	n := len(t.list) - 1
	v := t.list[n]
	t.list = t.list[:n]
	return v
}

func (t *timers) add(at time.Time, kind timerKind, id control.SessionID, token uint32) {
	t.seq++
	heap.Push(t, timer{at, t.seq, kind, id, token})
}

// next tells how long it is until the first timer.
func (t *timers) next(now time.Time) (time.Duration, bool) {
	if len(t.list) == 0 {
		return 0, false
	}
	return max(t.list[0].at.Sub(now), 0), true
}

// pop takes the first timer if it is due.
func (t *timers) pop(now time.Time) (timer, bool) {
	if len(t.list) == 0 || t.list[0].at.After(now) {
		return timer{}, false
	}
	return heap.Pop(t).(timer), true
}
