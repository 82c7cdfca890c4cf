// Package jsonl is the platform's front: session API messages as JSON lines
// over TCP.
package jsonl

import (
	"bytes"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"millethinge/control"
	"millethinge/internal/broker"
	"millethinge/internal/directory"
	"millethinge/internal/front/message"
	"millethinge/internal/front/peer"
	"millethinge/internal/stream"
)

// keepUnsent is how long an end waits for an open connection.
const keepUnsent = 8 * time.Second

// Front serves viewers on one address.
type Front struct {
	Core     message.Core
	Catalog  message.Catalog
	MaxConns int
	Log      *zap.Logger

	mu     sync.Mutex
	conns  []*conn
	unsent []unsent
}

// unsent is a session's end that found no open connection.
type unsent struct {
	reply broker.Reply
	until time.Time
}

// conn is one viewers' connection.
type conn struct {
	*peer.Conn
	front *Front
}

// Serve accepts until ctx ends.
func (f *Front) Serve(ctx context.Context, l net.Listener) error {
	return peer.Serve(ctx, l, f.MaxConns, f.Log, func(_ context.Context, p *peer.Conn) {
		c := &conn{p, f}
		f.add(c)
		defer f.remove(c)
		c.read()
	})
}

// add makes c known, and sends it the ends that found no connection.
func (f *Front) add(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns = append(f.conns, c)
	for _, u := range f.unsent {
		if time.Now().Before(u.until) {
			c.send(u.reply)
		}
	}
	f.unsent = nil
}

func (f *Front) remove(c *conn) {
	f.mu.Lock()
	f.conns = slices.DeleteFunc(f.conns, func(o *conn) bool { return o == c })
	f.mu.Unlock()
	f.Core.Lost(c)
}

// Deliver sends an answer on the connection of its set-up. What ends a session
// that stood goes on any open one: none owns it.
func (c *conn) Deliver(r broker.Reply) bool {
	if c.send(r) {
		return true
	}
	if r.Kind != broker.Over && r.Kind != broker.Moved {
		return false
	}
	f := c.front
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, o := range f.conns {
		if o.send(r) {
			return true
		}
	}
	now := time.Now()
	f.unsent = slices.DeleteFunc(f.unsent, func(u unsent) bool { return now.After(u.until) })
	f.unsent = append(f.unsent, unsent{r, now.Add(keepUnsent)})
	return true
}

func (c *conn) send(r broker.Reply) bool {
	return c.Put(append(message.AppendReply(nil, r), '\n'))
}

// read handles lines until the connection ends or sends what is no message.
func (c *conn) read() {
	in := stream.NewReader(c, message.Max)
	var m message.Message
	for {
		var line []byte
		err := in.Next(func(b []byte) (int, error) {
			i := bytes.IndexByte(b, '\n')
			line = b[:max(i, 0)]
			return i + 1, nil
		})
		if err != nil {
			return
		}
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		if err := message.Parse(line, &m); err != nil {
			c.front.Log.Info("viewer sent what is no message", zap.Stringer("from", c.RemoteAddr()))
			return
		}
		if !c.handle(&m) {
			return
		}
	}
}

// handle takes one message; false ends the connection.
func (c *conn) handle(m *message.Message) bool {
	switch string(m.Type) {
	case "setup":
		return c.setUp(m)
	case "release":
		id, err := message.ParseID(m.ID)
		return err == nil && c.front.Core.End(broker.ViewerEnd{ID: id, Cause: m.Cause})
	case "ping":
		return c.Put(append(message.AppendPong(nil, m.ID, true), '\n'))
	}
	return true // progress and released mean nothing
}

func (c *conn) setUp(m *message.Message) bool {
	r, err := c.front.Catalog.Setup(m, time.Now())
	r.Client = c
	at := m.At()
	if at != nil {
		r.Playing = directory.ServerOf(string(at))
	}
	if err != nil {
		c.front.Log.Info("set-up not understood", zap.Error(err))
		if at == nil && r.ID != control.SessionID(0) {
			return c.send(broker.Reply{Kind: broker.Failed, ID: r.ID, Cause: broker.CauseFailed})
		}
		return at != nil
	}
	if !c.front.Core.Submit(r) && at == nil {
		// The module's mailbox is full: nothing has been tried.
		return c.send(broker.Reply{Kind: broker.Refused, ID: r.ID, Cause: broker.CauseRefused, Wait: time.Second})
	}
	return true
}
