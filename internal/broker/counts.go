package broker

import (
	"context"
	"sync/atomic"
)

// Counters is what has come of requests since the start, by class. All may be read at any
// time; to count costs one atomic addition and no memory.
type Counters struct {
	Served, Refused, Failed []atomic.Int64
	Attempts                atomic.Int64 // attempts written whole to media nodes
}

// NewCounters returns Counts for so many classes.
func NewCounters(classes int) *Counters {
	return &Counters{
		Served: make([]atomic.Int64, classes), Refused: make([]atomic.Int64, classes), Failed: make([]atomic.Int64, classes),
	}
}

// CountAnswer counts one final answer to a request of a class.
func (c *Counters) CountAnswer(class int, kind ReplyKind) {
	if c == nil || class < 0 || class >= len(c.Served) {
		return
	}
	switch kind {
	case ReplyServed:
		c.Served[class].Add(1)
	case ReplyRefused:
		c.Refused[class].Add(1)
	case ReplyFailed:
		c.Failed[class].Add(1)
	}
}

// CountAttempt counts one attempt that was written whole.
func (c *Counters) CountAttempt() {
	if c != nil {
		c.Attempts.Add(1)
	}
}

// Stats is what the broker holds at a moment.
type Stats struct {
	Open    int // requests taken and not answered yet
	Playing int // sessions that stand
	Avoided int // nodes in service that the module leaves out for now
}

type statsRequest struct{ result chan<- Stats }

// Stats asks the broker's actor what it holds.
func (b *Broker) Stats(ctx context.Context) (Stats, error) {
	result := make(chan Stats, 1)
	b.inbox.Force(statsRequest{result})
	select {
	case stats := <-result:
		return stats, nil
	case <-ctx.Done():
		return Stats{}, ctx.Err()
	}
}

func (b *Broker) collectStats() Stats {
	playing := 0
	for _, s := range b.sessions {
		if s.playing {
			playing++
		}
	}
	return Stats{len(b.openSetUps), playing, b.controller.AvoidedServers(unixSeconds(b.clock.now()))}
}
