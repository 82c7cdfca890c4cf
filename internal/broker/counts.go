package broker

import (
	"context"
	"sync/atomic"
)

// Counts is what has come of requests since the start, by class. All may be read at any
// time; to count costs one atomic addition and no memory.
type Counts struct {
	Served, Refused, Failed []atomic.Int64
	Tries                   atomic.Int64 // attempts written whole to media nodes
}

// NewCounts returns Counts for so many classes.
func NewCounts(classes int) *Counts {
	return &Counts{
		Served: make([]atomic.Int64, classes), Refused: make([]atomic.Int64, classes), Failed: make([]atomic.Int64, classes),
	}
}

// Answered counts one final answer to a request of a class.
func (c *Counts) Answered(class int, kind ReplyKind) {
	if c == nil || class < 0 || class >= len(c.Served) {
		return
	}
	switch kind {
	case Served:
		c.Served[class].Add(1)
	case Refused:
		c.Refused[class].Add(1)
	case Failed:
		c.Failed[class].Add(1)
	}
}

// Tried counts one attempt that was written whole.
func (c *Counts) Tried() {
	if c != nil {
		c.Tries.Add(1)
	}
}

// Census is what the broker holds at a moment.
type Census struct {
	Open    int // requests taken and not answered yet
	Playing int // sessions that stand
	Avoided int // nodes in service that the module leaves out for now
}

type census struct{ to chan<- Census }

// Census asks the broker's actor what it holds.
func (b *Broker) Census(ctx context.Context) (Census, error) {
	to := make(chan Census, 1)
	b.inbox.Force(census{to})
	select {
	case c := <-to:
		return c, nil
	case <-ctx.Done():
		return Census{}, ctx.Err()
	}
}

func (b *Broker) count() Census {
	playing := 0
	for _, s := range b.sessions {
		if s.playing {
			playing++
		}
	}
	return Census{len(b.open), playing, b.ctl.AvoidedServers(unix(b.clock.now()))}
}
