package directory

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"millethinge/control"
	"millethinge/internal/remedy"
)

const (
	pollWait       = 2 * time.Second        // how long the coordinator may hold a poll
	responseMargin = 500 * time.Millisecond // beyond it; then the connection is taken as dead
	redialDelay    = 200 * time.Millisecond // after a poll that brought nothing
	dialTimeout    = time.Second
)

// Phases of a media node.
const (
	phaseInService   = "in_service"
	phaseTerminating = "terminating"
	phaseTerminated  = "terminated"
)

// Updates is the coordinator's numbered events, as in its answers and in the
// configuration.
type Updates struct {
	Index   uint64 `json:"index"` // is read for its form alone: only events' own numbers count
	Updates []struct {
		Index     uint64     `json:"index"`
		Endpoints *endpoints `json:"endpoints"`
	} `json:"updates"`
}

type endpoints struct {
	Complete bool `json:"complete"`
	Members  []struct {
		ID        string  `json:"id"`
		HostPort  string  `json:"host_port"`
		Locality  string  `json:"locality"`
		Flavor    string  `json:"flavor"`
		Cell      int     `json:"cell"`
		Phase     string  `json:"phase"`
		Size      float64 `json:"size"`
		UpSinceMS int64   `json:"up_since_ms"`
	} `json:"members"`
}

// ParseUpdates reads the coordinator's form.
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

// validate tells what is wrong with an event of that number. Guard: one fault voids
// the answer that it came in, so that none is applied by half.
func (e *endpoints) validate(updateIndex uint64) error {
	if e == nil {
		return nil
	}
	for i, m := range e.Members {
		_, _, err := net.SplitHostPort(m.HostPort)
		switch {
		case m.ID == "":
			return &UpdateError{updateIndex, i, "id", errors.New("missing")}
		case m.Phase != phaseInService && m.Phase != phaseTerminating && m.Phase != phaseTerminated:
			return &UpdateError{updateIndex, i, "phase", fmt.Errorf("%q", m.Phase)}
		case m.Phase != phaseTerminated && err != nil:
			return &UpdateError{updateIndex, i, "host_port", err}
		}
	}
	return nil
}

func (e *endpoints) toChange(names Names) Change {
	c := Change{Full: e.Complete}
	for _, m := range e.Members {
		entry := control.Entry{
			Server: ServerIDOf(m.ID), Cell: m.Cell, Weight: m.Size,
			Zone: index(names.Zones, m.Locality), MachineKind: index(names.MachineKinds, m.Flavor),
		}
		switch m.Phase {
		case phaseInService:
			entry.State = control.Ready
		case phaseTerminating:
			entry.State = control.Draining
		default:
			entry.State = control.Gone
		}
		member := Member{Entry: entry, ID: m.ID, Addr: m.HostPort}
		if m.UpSinceMS > 0 {
			member.StartedAt = time.UnixMilli(m.UpSinceMS)
			member.StartedAtS = float64(m.UpSinceMS) / 1000
		}
		c.Members = append(c.Members, member)
	}
	return c
}

// CoordinatorClient follows the coordinator's events, one after the other. It is the
// only one to tell the sink.
type CoordinatorClient struct {
	Names         Names
	Sink          Sink
	Log           *zap.Logger
	OnResponse    func(asked time.Time) // told of each answer, after the sink, with when it was asked for; nil: nobody
	newAddr       chan string           // the address to follow from now on
	pollRequested chan struct{}         // a poll is to be made at once
	lastIndex     uint64                // number of the last event that was told
	applied       int                   // answers that were applied
}

// NewCoordinatorClient returns a Coordinator that has told what is known at the start.
func NewCoordinatorClient(known Updates, names Names, sink Sink, log *zap.Logger) *CoordinatorClient {
	c := &CoordinatorClient{Names: names, Sink: sink, Log: log, newAddr: make(chan string, 1), pollRequested: make(chan struct{}, 1)}
	c.apply(known)
	return c
}

// SetAddr has Run go on at another address. The numbers continue there.
func (c *CoordinatorClient) SetAddr(addr string) {
	for {
		select {
		case c.newAddr <- addr:
			return
		case <-c.newAddr: // an address that nobody has begun to follow
		}
	}
}

// PollNow has Run ask at once, on a new connection, and not wait for news there: what the
// one that is held open would bring may be old.
func (c *CoordinatorClient) PollNow() {
	select {
	case c.pollRequested <- struct{}{}:
	default: // one is to be made already
	}
}

func (c *CoordinatorClient) apply(u Updates) { c.lastIndex = u.deliver(c.lastIndex, c.Names, c.Sink) }

// Replay tells sink of all events, as one who follows from the start hears them.
func Replay(u Updates, names Names, sink Sink) { u.deliver(0, names, sink) }

// deliver tells sink of the events after last, and returns the number of the last one.
//
// Guard: only numbers of events that came count. The answer's own may be ahead, where
// an event came up while it was written: that event would never be asked for. What one
// answer brings is held against what was told before it, so that none of two events
// with one number, or out of order, is passed over.
func (u *Updates) deliver(lastIndex uint64, names Names, sink Sink) uint64 {
	indexBefore := lastIndex
	for _, update := range u.Updates {
		if update.Index != 0 && update.Index <= indexBefore {
			continue
		}
		lastIndex = max(lastIndex, update.Index)
		if update.Endpoints != nil {
			sink(update.Endpoints.toChange(names))
		}
	}
	return lastIndex
}

// Run polls at the address that Follow last named until ctx ends. A connection
// that breaks or falls silent is replaced at once: what the coordinator holds
// counts as told either way.
func (c *CoordinatorClient) Run(ctx context.Context) error {
	addr, maxWait := "", pollWait
	select {
	case <-c.pollRequested: // asked for before the first poll
		maxWait = 0
	default:
	}
	for ctx.Err() == nil {
		if addr == "" {
			select {
			case <-ctx.Done():
			case addr = <-c.newAddr:
			}
			continue
		}
		pollCtx, cancel := context.WithCancel(ctx)
		done, pollAddr, firstWait := make(chan struct{}), addr, maxWait // addr may name the next one before the goroutine begins
		go func() {
			defer close(done)
			c.pollAddress(pollCtx, pollAddr, firstWait)
		}()
		// Whoever breaks in on a poll is to be answered at once: at another address what is
		// heard first tells that somebody is there, and an Ask that the move overtook counts.
		maxWait = 0
		select {
		case <-ctx.Done():
		case addr = <-c.newAddr:
			c.Log.Info("following another coordinator", zap.String("address", addr))
		case <-c.pollRequested:
		}
		cancel()
		<-done
	}
	return nil
}

// pollAddress asks at one address until ctx ends. At first the coordinator may hold the poll
// for as long as wait: what is asked at once is not forgotten over a connection that
// breaks.
func (c *CoordinatorClient) pollAddress(ctx context.Context, addr string, maxWait time.Duration) {
	for ctx.Err() == nil {
		indexBefore, appliedBefore := c.lastIndex, c.applied
		err := c.pollConn(ctx, addr, maxWait)
		if err != nil && ctx.Err() == nil {
			c.Log.Warn("coordinator", remedy.Fields(err)...)
		}
		if c.applied > appliedBefore || errors.As(err, new(*TimeoutError)) { // it may be too slow to answer at once
			maxWait = pollWait
		}
		if c.lastIndex > indexBefore {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay):
		}
	}
}

// pollConn polls on one connection until it is of no further use; the error is nil if
// the coordinator said that it closes it, or answers without news or waiting for any.
//
// net/http reads the answers and no more: its client would bring goroutines of its
// own, and would repeat a poll on a broken connection within the deadline of the
// first one.
func (c *CoordinatorClient) pollConn(ctx context.Context, addr string, maxWait time.Duration) error {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return &UnreachableError{addr, err}
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	responses := newResponseReader(conn)
	for {
		request := fmt.Appendf(nil, "GET /v2/stream?follow=%d&wait_ms=%d HTTP/1.1\r\nHost: %s\r\n\r\n",
			c.lastIndex, maxWait.Milliseconds(), addr)
		requested := time.Now()
		if err := conn.SetDeadline(requested.Add(maxWait + responseMargin)); err != nil {
			return &ConnClosedError{addr, err}
		}
		if _, err := conn.Write(request); err != nil {
			return pollError(addr, maxWait, err)
		}
		status, body, connEnds, err := responses.next()
		if err != nil {
			return pollError(addr, maxWait, err)
		}
		if status != http.StatusOK {
			return &StatusError{addr, status}
		}
		updates, err := ParseUpdates(body)
		if err != nil {
			return err
		}
		indexBefore := c.lastIndex
		c.apply(updates)
		c.applied++
		if c.OnResponse != nil {
			c.OnResponse(requested)
		}
		// Guard: one that does not hold polls is not asked without a pause.
		if connEnds || c.lastIndex == indexBefore && time.Since(requested) < maxWait/2 {
			return nil
		}
		maxWait = pollWait
	}
}
