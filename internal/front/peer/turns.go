package peer

import (
	"runtime"
	"time"
)

const (
	// turnBytesPerSecond is the input that a client may send each second without waiting for a turn,
	// some hundreds of set-ups; turnBurstBytes is how much of it may come at once.
	turnBytesPerSecond = 128 << 10
	turnBurstBytes     = 256 << 10
)

// Turns bounds the work that clients cause by sending much. A client within its rate is handled when
// its input arrives. Those over it take turns: one for each processor at a time is handled, for one
// read of its input, before it is parsed. So the other clients wait for one of them at most, however
// many they are and however small their messages.
type Turns struct {
	slots chan struct{}
}

// NewTurns returns Turns for the processors of this process.
func NewTurns() *Turns { return &Turns{slots: make(chan struct{}, runtime.GOMAXPROCS(0))} }

// turnState is what Turns keeps of one connection.
type turnState struct {
	credit    float64   // bytes that may be handled without a turn
	updatedAt time.Time // when credit was last updated; zero: never
	held      bool      // the connection has the turn
}

// mustWait charges a connection for input, and reports whether it has to wait for its turn.
func (t *Turns) mustWait(s *turnState, inputBytes int, now time.Time) bool {
	if s.updatedAt.IsZero() {
		s.credit = turnBurstBytes
	} else {
		s.credit = min(s.credit+now.Sub(s.updatedAt).Seconds()*turnBytesPerSecond, turnBurstBytes)
	}
	s.updatedAt = now
	s.credit = max(s.credit-float64(inputBytes), -turnBytesPerSecond)
	return s.credit < 0
}

// wait waits for the turn of a connection.
func (t *Turns) wait(s *turnState) {
	t.slots <- struct{}{}
	s.held = true
}

// end ends the turn of a connection if it has one, and lets others run first.
func (t *Turns) end(s *turnState) {
	if !s.held {
		return
	}
	s.held = false
	<-t.slots
	runtime.Gosched()
}
