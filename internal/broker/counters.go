package broker

import (
	"context"
	"sync/atomic"
)

// Counters counts the outcomes of requests since the start, by class. All may be read at
// any time; counting costs one atomic addition and allocates nothing.
type Counters struct {
	Served, Refused, Failed []atomic.Int64
	Attempts                atomic.Int64 // attempts whose requests were written completely to media nodes
}

// NewCounters returns Counters for the given number of classes.
func NewCounters(classes int) *Counters {
	return &Counters{
		Served: make([]atomic.Int64, classes), Refused: make([]atomic.Int64, classes), Failed: make([]atomic.Int64, classes),
	}
}

// CountAnswer counts one final answer to a request of a class. It does nothing if c is nil.
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

// CountAttempt counts one attempt that was written completely. It does nothing if c is nil.
func (c *Counters) CountAttempt() {
	if c != nil {
		c.Attempts.Add(1)
	}
}

// Stats holds the broker's figures at one moment.
type Stats struct {
	Open    int // requests accepted and not answered yet
	Playing int // established sessions
	Avoided int // nodes in service that the decision module does not use at the moment
}

type statsRequest struct{ result chan<- Stats }

// Stats returns the broker's figures. It waits for the actor or for the end of ctx.
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
