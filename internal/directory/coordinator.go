package directory

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	pollWait    = 2 * time.Second        // longest time that the coordinator may hold a poll
	redialDelay = 200 * time.Millisecond // after a connection that brought no update
)

// Updates is a series of updates with their indexes, as in the coordinator's responses and in
// the configuration.
type Updates struct {
	Index   uint64 `json:"index"` // of the last update that the coordinator has; only the updates' own indexes count for what was received
	Updates []struct {
		Index     uint64     `json:"index"`
		Endpoints *endpoints `json:"endpoints"`
	} `json:"updates"`
}

// endpoints is an update's change to the list.
type endpoints struct {
	Complete bool   `json:"complete"`
	Members  []Node `json:"members"`
}

// ParseUpdates decodes updates from the coordinator's JSON. The error is an *UpdateError.
func ParseUpdates(data []byte) (Updates, error) {
	var u Updates
	if err := json.Unmarshal(data, &u); err != nil {
		return u, &UpdateError{Err: err}
	}
	for _, update := range u.Updates {
		if err := update.Endpoints.validate(update.Index); err != nil {
			return u, err
		}
	}
	return u, nil
}

// validate returns the first fault of the update with this index, as an *UpdateError, or nil.
// Guard: one fault makes the whole response invalid, so that none is applied in part.
func (e *endpoints) validate(updateIndex uint64) error {
	if e == nil {
		return nil
	}
	for i := range e.Members {
		if key, err := e.Members[i].fault(); err != nil {
			return &UpdateError{updateIndex, i, key, err}
		}
	}
	return nil
}

// toChange converts an update that is valid.
func (e *endpoints) toChange(names Names) Change {
	c := Change{Full: e.Complete}
	for i := range e.Members {
		c.Members = append(c.Members, e.Members[i].member(names))
	}
	return c
}

// CoordinatorClient polls the coordinator and passes its updates on to Sink, one after the
// other. Nothing else calls Sink.
type CoordinatorClient struct {
	Names         Names                     // of zones and machine kinds
	Sink          Sink                      // receives the changes
	Log           *zap.Logger               // reports failed polls
	OnResponse    func(requested time.Time) // called after each valid response has been passed to Sink, with the time of its request; may be nil
	newAddr       chan string               // the address to poll from now on
	pollRequested chan struct{}             // a poll has to be made at once
	dial          dialFunc                  // opens connections

	mu        sync.Mutex // guards the fields below, and calls of Sink and OnResponse
	lastIndex uint64     // highest index of the updates passed on
	behind    int        // responses in a row by which the coordinator has fewer updates than were received
	timing    pollTiming // how long responses are awaited

	known      knownList      // the updates in the configuration
	received   nodeSet        // the list by the updates up to lastIndex
	inherited  *inheritedList // used in place of received; nil: none
	answeredAt time.Time      // of the last response
	receivedAt time.Time      // of the last response with an update, or of the first one; zero: there is none
	renumbered int            // how often the coordinator has numbered its updates anew
	revision   uint64         // counts the changes of what the coordinator told
}

// NewCoordinatorClient returns a CoordinatorClient that has already passed known on to sink.
func NewCoordinatorClient(known Updates, names Names, sink Sink, log *zap.Logger) *CoordinatorClient {
	c := &CoordinatorClient{Names: names, Sink: sink, Log: log, newAddr: make(chan string, 1), pollRequested: make(chan struct{}, 1),
		dial: dialTCP, timing: newPollTiming(), received: make(nodeSet)}
	c.apply(known)
	c.known = newKnownList(known, c.lastIndex)
	return c
}

// SetKnownTime sets when the configuration with the known updates was written. It must be called
// before Inherit.
func (c *CoordinatorClient) SetKnownTime(writtenAt time.Time) { c.known.writtenAt = writtenAt }

// SetAddr makes Run poll at another address. The indexes of updates continue there.
func (c *CoordinatorClient) SetAddr(addr string) {
	for {
		select {
		case c.newAddr <- addr:
			return
		case <-c.newAddr: // an earlier address that Run has not taken yet
		}
	}
}

// PollNow makes Run poll at once, on a new connection, with a poll that the coordinator does
// not hold. The response to the poll that is held open may be out of date.
func (c *CoordinatorClient) PollNow() {
	select {
	case c.pollRequested <- struct{}{}:
	default: // already requested
	}
}

// apply passes on those of the updates that are new. It reports whether there were any with an
// index. Except before Run, c.mu is held.
func (c *CoordinatorClient) apply(u Updates) (anyNew bool) {
	indexBefore := c.lastIndex
	c.lastIndex = u.deliver(c.lastIndex, c.receive)
	return c.lastIndex > indexBefore
}

// receive applies one update, and passes it on to Sink unless an inherited list is in use.
func (c *CoordinatorClient) receive(update *endpoints) {
	c.received.apply(update)
	c.revision++
	if c.inherited == nil {
		c.Sink(update.toChange(c.Names))
	}
}

// maxBehind is the number of responses in a row by which the coordinator has fewer updates than were
// received, after which it counts as another one, whose numbers start anew. One may come from a replica
// that lags.
const maxBehind = 2

// applyResponse passes on the updates of the response to a poll that followed an index, as apply does.
//
// Guard: a coordinator that has started anew at the address numbers its updates from 1. If it were
// polled for those after the old index, nothing that it tells would arrive. What it answers to polls
// after the old index is not applied from then on, since the whole list must come first.
func (c *CoordinatorClient) applyResponse(u Updates, followed uint64, requested time.Time) (anyNew bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(u.Updates) == 0 && u.Index > 0 && u.Index < followed && followed == c.lastIndex {
		if c.behind++; c.behind >= maxBehind {
			c.startAnew(c.lastIndex, u.Index)
		}
	} else {
		c.behind = 0
	}
	revisionBefore := c.revision
	if !c.refetching() || followed == 0 {
		anyNew = c.apply(u)
	}
	c.noteReceived(time.Now(), c.revision != revisionBefore)
	c.reviewInherited(&u)
	if c.OnResponse != nil {
		c.OnResponse(requested)
	}
	return anyNew
}

// startAnew has the whole list fetched from a coordinator that numbers its updates anew: it has the
// index has, and received was received from the one before. c.mu is held.
func (c *CoordinatorClient) startAnew(received, has uint64) {
	c.Log.Warn("coordinator numbers its updates anew; fetching the whole list", zap.Uint64("received", received), zap.Uint64("has", has))
	c.lastIndex, c.behind = 0, 0
	c.renumbered++
}

// refetching reports whether the coordinator numbers its updates anew and its whole list has not
// come yet. c.mu is held.
func (c *CoordinatorClient) refetching() bool { return c.renumbered > 0 && c.lastIndex == 0 }

// Replay passes all updates on to sink, like a client that has polled from the start.
func Replay(u Updates, names Names, sink Sink) {
	u.deliver(0, func(update *endpoints) { sink(update.toChange(names)) })
}

// deliver passes the updates with an index above lastIndex on to receive, and those without an
// index. It returns the highest index passed on so far.
//
// Guard: only indexes of updates received count. The response's own index may be ahead, if an
// update occurred while the response was written: that update would then never be requested.
// All updates of a response are compared with the index before the response, so that none is
// skipped where two have the same index or their order is wrong.
func (u *Updates) deliver(lastIndex uint64, receive func(*endpoints)) uint64 {
	indexBefore := lastIndex
	for _, update := range u.Updates {
		if update.Index != 0 && update.Index <= indexBefore {
			continue
		}
		lastIndex = max(lastIndex, update.Index)
		if update.Endpoints != nil {
			receive(update.Endpoints)
		}
	}
	return lastIndex
}

// Run polls at the address last given to SetAddr until ctx ends. After a connection that breaks
// or times out it opens another one, and continues after the last update received.
func (c *CoordinatorClient) Run(ctx context.Context) error {
	addr := ""
	for firstWait := pollWait; ctx.Err() == nil; {
		if addr == "" {
			select {
			case <-ctx.Done():
			case addr = <-c.newAddr:
			}
			continue
		}
		pollCtx, cancel := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			newPollGroup(c, addr).run(pollCtx, firstWait)
		}()
		next := c.awaitOtherAddr(ctx, addr)
		cancel()
		<-done
		// The first poll at another address must not be held: its response shows that the
		// coordinator is there, and a PollNow may have been overtaken by the change of address.
		addr, firstWait = next, 0
	}
	return nil
}

// awaitOtherAddr returns the next address given to SetAddr that differs from addr, or addr once
// ctx ends. If it is the same, the coordinator is polled at once.
func (c *CoordinatorClient) awaitOtherAddr(ctx context.Context, addr string) string {
	for {
		select {
		case <-ctx.Done():
			return addr
		case next := <-c.newAddr:
			if next != addr {
				c.Log.Info("following another coordinator", zap.String("address", next))
				return next
			}
			c.PollNow()
		}
	}
}
