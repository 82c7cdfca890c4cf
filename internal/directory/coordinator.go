package directory

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"time"

	"go.uber.org/zap"

	"millethinge/control"
	"millethinge/internal/http1"
	"millethinge/internal/stream"
)

const (
	pollWait    = 2 * time.Second // how long the coordinator may hold a poll
	pollSlack   = time.Second     // beyond it; then the connection is taken as dead
	redialAfter = 200 * time.Millisecond
	maxPoll     = 4 << 20 // bytes of an answer
)

// Updates is the coordinator's numbered events, as in its answers and in the
// configuration.
type Updates struct {
	Index   uint64 `json:"index"`
	Updates []struct {
		Index     uint64     `json:"index"`
		Endpoints *endpoints `json:"endpoints"`
	} `json:"updates"`
}

type endpoints struct {
	Complete bool `json:"complete"`
	Members  []struct {
		ID       string  `json:"id"`
		HostPort string  `json:"host_port"`
		Locality string  `json:"locality"`
		Flavor   string  `json:"flavor"`
		Cell     int     `json:"cell"`
		Phase    string  `json:"phase"`
		Size     float64 `json:"size"`
		UpSince  int64   `json:"up_since_ms"`
	} `json:"members"`
}

// ParseUpdates reads the coordinator's form.
func ParseUpdates(text []byte) (Updates, error) {
	var u Updates
	if err := json.Unmarshal(text, &u); err != nil {
		return u, fmt.Errorf("directory: %w", err)
	}
	return u, nil
}

func (e *endpoints) change(names Names) Change {
	c := Change{Full: e.Complete}
	for _, m := range e.Members {
		entry := control.Entry{
			Server: ServerOf(m.ID), Cell: m.Cell, Weight: m.Size,
			Zone: index(names.Zones, m.Locality), Kind: index(names.Kinds, m.Flavor),
		}
		switch m.Phase {
		case "in_service":
			entry.State = control.Ready
		case "terminating":
			entry.State = control.Draining
		default:
			entry.State = control.Gone
		}
		member := Member{Entry: entry, ID: m.ID, Addr: m.HostPort}
		if m.UpSince > 0 {
			member.Up = time.UnixMilli(m.UpSince)
			member.SinceS = float64(m.UpSince) / 1000
		}
		c.Members = append(c.Members, member)
	}
	return c
}

// Coordinator follows the coordinator's events. It is the list's actor: the
// only one to tell the sink.
type Coordinator struct {
	Addr  string
	Known Updates
	Names Names
	Sink  Sink
	Log   *zap.Logger
	last  uint64
}

// Start tells the events that the configuration holds.
func (c *Coordinator) Start() { c.apply(c.Known) }

func (c *Coordinator) apply(u Updates) {
	for _, e := range u.Updates {
		if e.Index != 0 && e.Index <= c.last {
			continue
		}
		c.last = max(c.last, e.Index)
		if e.Endpoints != nil {
			c.Sink(e.Endpoints.change(c.Names))
		}
	}
	c.last = max(c.last, u.Index)
}

// Run polls until ctx ends. A connection that breaks or falls silent is
// replaced: what the coordinator holds counts as told either way.
func (c *Coordinator) Run(ctx context.Context) error {
	if c.Addr == "" {
		return nil
	}
	for ctx.Err() == nil {
		if err := c.follow(ctx); err != nil && ctx.Err() == nil {
			c.Log.Warn("coordinator", zap.Error(err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialAfter):
		}
	}
	return nil
}

func (c *Coordinator) follow(ctx context.Context) error {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", c.Addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	in := stream.NewReader(conn, maxPoll)
	for {
		req := fmt.Appendf(nil, "GET /v2/stream?follow=%d&wait_ms=%d HTTP/1.1\r\nHost: %s\r\n\r\n",
			c.last, pollWait.Milliseconds(), c.Addr)
		if err := conn.SetDeadline(time.Now().Add(pollWait + pollSlack)); err != nil {
			return err
		}
		if _, err := conn.Write(req); err != nil {
			return err
		}
		var res http1.Message
		err := in.Next(func(b []byte) (int, error) { return http1.Parse(b, &res, maxPoll) })
		if err != nil {
			if err == io.EOF {
				return fmt.Errorf("closed by the coordinator")
			}
			return err
		}
		if res.Status != 200 {
			return fmt.Errorf("status %d", res.Status)
		}
		u, err := ParseUpdates(res.Body)
		if err != nil {
			return err
		}
		c.apply(u)
		if res.Close {
			return nil
		}
	}
}
