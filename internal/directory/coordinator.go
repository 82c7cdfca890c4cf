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
	pollWait    = 2 * time.Second        // how long the coordinator may hold a poll
	pollSlack   = 500 * time.Millisecond // beyond it; then the connection is taken as dead
	redialAfter = 200 * time.Millisecond // after a poll that brought nothing
	dialTime    = time.Second
)

// Phases of a media node.
const (
	inService   = "in_service"
	terminating = "terminating"
	terminated  = "terminated"
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
func ParseUpdates(text []byte) (Updates, error) {
	var u Updates
	if err := json.Unmarshal(text, &u); err != nil {
		return u, &UpdateError{Err: err}
	}
	for _, e := range u.Updates {
		if err := e.Endpoints.check(e.Index); err != nil {
			return u, err
		}
	}
	return u, nil
}

// check tells what is wrong with an event of that number. Guard: one fault voids
// the answer that it came in, so that none is applied by half.
func (e *endpoints) check(number uint64) error {
	if e == nil {
		return nil
	}
	for i, m := range e.Members {
		_, _, err := net.SplitHostPort(m.HostPort)
		switch {
		case m.ID == "":
			return &UpdateError{number, i, "id", errors.New("missing")}
		case m.Phase != inService && m.Phase != terminating && m.Phase != terminated:
			return &UpdateError{number, i, "phase", fmt.Errorf("%q", m.Phase)}
		case m.Phase != terminated && err != nil:
			return &UpdateError{number, i, "host_port", err}
		}
	}
	return nil
}

func (e *endpoints) change(names Names) Change {
	c := Change{Full: e.Complete}
	for _, m := range e.Members {
		entry := control.Entry{
			Server: ServerIDOf(m.ID), Cell: m.Cell, Weight: m.Size,
			Zone: index(names.Zones, m.Locality), MachineKind: index(names.MachineKinds, m.Flavor),
		}
		switch m.Phase {
		case inService:
			entry.State = control.Ready
		case terminating:
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
	Names      Names
	Sink       Sink
	Log        *zap.Logger
	OnResponse func(asked time.Time) // told of each answer, after the sink, with when it was asked for; nil: nobody
	moved      chan string           // the address to follow from now on
	again      chan struct{}         // a poll is to be made at once
	last       uint64                // number of the last event that was told
	told       int                   // answers that were applied
}

// NewCoordinatorClient returns a Coordinator that has told what is known at the start.
func NewCoordinatorClient(known Updates, names Names, sink Sink, log *zap.Logger) *CoordinatorClient {
	c := &CoordinatorClient{Names: names, Sink: sink, Log: log, moved: make(chan string, 1), again: make(chan struct{}, 1)}
	c.apply(known)
	return c
}

// SetAddr has Run go on at another address. The numbers continue there.
func (c *CoordinatorClient) SetAddr(addr string) {
	for {
		select {
		case c.moved <- addr:
			return
		case <-c.moved: // an address that nobody has begun to follow
		}
	}
}

// PollNow has Run ask at once, on a new connection, and not wait for news there: what the
// one that is held open would bring may be old.
func (c *CoordinatorClient) PollNow() {
	select {
	case c.again <- struct{}{}:
	default: // one is to be made already
	}
}

func (c *CoordinatorClient) apply(u Updates) { c.last = u.tell(c.last, c.Names, c.Sink) }

// Replay tells sink of all events, as one who follows from the start hears them.
func Replay(u Updates, names Names, sink Sink) { u.tell(0, names, sink) }

// tell tells sink of the events after last, and returns the number of the last one.
//
// Guard: only numbers of events that came count. The answer's own may be ahead, where
// an event came up while it was written: that event would never be asked for. What one
// answer brings is held against what was told before it, so that none of two events
// with one number, or out of order, is passed over.
func (u *Updates) tell(last uint64, names Names, sink Sink) uint64 {
	before := last
	for _, e := range u.Updates {
		if e.Index != 0 && e.Index <= before {
			continue
		}
		last = max(last, e.Index)
		if e.Endpoints != nil {
			sink(e.Endpoints.change(names))
		}
	}
	return last
}

// Run polls at the address that Follow last named until ctx ends. A connection
// that breaks or falls silent is replaced at once: what the coordinator holds
// counts as told either way.
func (c *CoordinatorClient) Run(ctx context.Context) error {
	addr, wait := "", pollWait
	select {
	case <-c.again: // asked for before the first poll
		wait = 0
	default:
	}
	for ctx.Err() == nil {
		if addr == "" {
			select {
			case <-ctx.Done():
			case addr = <-c.moved:
			}
			continue
		}
		poll, cancel := context.WithCancel(ctx)
		done, at, first := make(chan struct{}), addr, wait // addr may name the next one before the goroutine begins
		go func() {
			defer close(done)
			c.poll(poll, at, first)
		}()
		// Whoever breaks in on a poll is to be answered at once: at another address what is
		// heard first tells that somebody is there, and an Ask that the move overtook counts.
		wait = 0
		select {
		case <-ctx.Done():
		case addr = <-c.moved:
			c.Log.Info("following another coordinator", zap.String("address", addr))
		case <-c.again:
		}
		cancel()
		<-done
	}
	return nil
}

// poll asks at one address until ctx ends. At first the coordinator may hold the poll
// for as long as wait: what is asked at once is not forgotten over a connection that
// breaks.
func (c *CoordinatorClient) poll(ctx context.Context, addr string, wait time.Duration) {
	for ctx.Err() == nil {
		before, told := c.last, c.told
		err := c.follow(ctx, addr, wait)
		if err != nil && ctx.Err() == nil {
			c.Log.Warn("coordinator", remedy.Fields(err)...)
		}
		if c.told > told || errors.As(err, new(*TimeoutError)) { // it may be too slow to answer at once
			wait = pollWait
		}
		if c.last > before {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialAfter):
		}
	}
}

// follow polls on one connection until it is of no further use; the error is nil if
// the coordinator said that it closes it, or answers without news or waiting for any.
//
// net/http reads the answers and no more: its client would bring goroutines of its
// own, and would repeat a poll on a broken connection within the deadline of the
// first one.
func (c *CoordinatorClient) follow(ctx context.Context, addr string, wait time.Duration) error {
	conn, err := (&net.Dialer{Timeout: dialTime}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return &UnreachableError{addr, err}
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	in := newAnswers(conn)
	for {
		req := fmt.Appendf(nil, "GET /v2/stream?follow=%d&wait_ms=%d HTTP/1.1\r\nHost: %s\r\n\r\n",
			c.last, wait.Milliseconds(), addr)
		asked := time.Now()
		if err := conn.SetDeadline(asked.Add(wait + pollSlack)); err != nil {
			return &ConnClosedError{addr, err}
		}
		if _, err := conn.Write(req); err != nil {
			return broken(addr, wait, err)
		}
		status, text, last, err := in.next()
		if err != nil {
			return broken(addr, wait, err)
		}
		if status != http.StatusOK {
			return &StatusError{addr, status}
		}
		u, err := ParseUpdates(text)
		if err != nil {
			return err
		}
		before := c.last
		c.apply(u)
		c.told++
		if c.OnResponse != nil {
			c.OnResponse(asked)
		}
		// Guard: one that does not hold polls is not asked without a pause.
		if last || c.last == before && time.Since(asked) < wait/2 {
			return nil
		}
		wait = pollWait
	}
}
