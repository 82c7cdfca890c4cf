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

// Front serves viewers on one address.
type Front struct {
	Core    message.Core
	Catalog message.Catalog
	Limits  peer.Limits
	Counts  *broker.Counts // nil: nobody asks
	Reasons bool           // failures and refusals say why; the platform's protocol has no field for it
	Log     *zap.Logger

	mu     sync.Mutex
	conns  []*conn
	unsent []*end // those that found no open connection of a known viewer
}

// conn is one viewers' connection.
type conn struct {
	*peer.Conn
	front *Front

	mu   sync.Mutex
	ends []*end // sent on it and not said to be heard, the oldest first
	left bool   // it is not read any more: no end goes on it
}

// Serve accepts until ctx ends.
func (f *Front) Serve(ctx context.Context, l net.Listener) error {
	return peer.Serve(ctx, l, f.Limits, f.Log, func(_ context.Context, p *peer.Conn) {
		c := &conn{Conn: p, front: f}
		f.add(c)
		defer f.remove(c)
		c.read()
	})
}

func (f *Front) add(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns = append(f.conns, c)
	f.flush(c)
}

// carries tells whether the end of a session whose set-up came from a host may
// be sent on c. Guard: an unknown host's connection may be anybody's, and its
// client would take no notice.
func (c *conn) carries(host string) bool { return c.Host == host || c.Known() }

func (f *Front) remove(c *conn) {
	c.Leave()
	f.mu.Lock()
	f.conns = slices.DeleteFunc(f.conns, func(o *conn) bool { return o == c })
	f.mu.Unlock()
	f.sendAgain(c.leave())
	f.Core.Lost(c)
}

// From tells where the viewer is.
func (c *conn) From() string { return c.Host }

// Deliver sends an answer on the connection of its set-up. What ends a session
// that stood goes on any open one: none owns it.
func (c *conn) Deliver(r broker.Reply) bool {
	switch r.Kind {
	case broker.Closed: // its set-up was answered; one that is open under that id is another
		c.Fell()
		return true
	case broker.Over, broker.Moved: // likewise
		c.Fell()
		e := &end{reply: r, host: c.Host, until: time.Now().Add(keepEnd)}
		if !c.sendEnd(e) {
			c.front.sendEnd(e)
		}
		return true
	}
	defer c.Answered(uint64(r.ID)) // not before it is queued: the connection may be closed once nothing is owed
	switch r.Kind {
	case broker.GivenUp:
		return true
	case broker.Served:
		c.know()
		c.Stands()
	}
	return c.send(r)
}

// Gone is part of broker.Client.
func (c *conn) Gone(id control.SessionID) bool { return c.Conn.Gone(uint64(id)) }

// know marks c as a connection of viewers who have had a session.
func (c *conn) know() {
	if c.Known() {
		return
	}
	c.Know()
	c.front.mu.Lock()
	c.front.flush(c)
	c.front.mu.Unlock()
}

func (c *conn) send(r broker.Reply) bool {
	if !c.front.Reasons {
		r.Reason = ""
	}
	return c.Put(append(message.AppendReply(nil, r), '\n'))
}

// read handles lines until the connection ends or sends what is no message.
func (c *conn) read() {
	in := stream.NewReader(c, message.Max)
	var m message.Message
	for c.Pace() {
		var line []byte
		err := in.Next(func(b []byte) (int, error) {
			i := bytes.IndexByte(b, '\n')
			line = b[:max(i, 0)]
			return i + 1, nil
		})
		if err != nil {
			return
		}
		c.Whole(in.Buffered() > 0)
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
		if err != nil {
			return false
		}
		c.Answered(uint64(id)) // first: an attempt that is under way in the broker is not begun
		return c.front.Core.End(broker.ViewerEnd{ID: id, Cause: m.Cause, Client: c})
	case "released":
		if id, err := message.ParseID(m.ID); err == nil {
			c.heard(id)
		}
	case "ping":
		return c.Put(append(message.AppendPong(nil, m.ID, c.Takes()), '\n'))
	}
	return true // progress means nothing
}

func (c *conn) setUp(m *message.Message) bool {
	r, err := c.front.Catalog.Setup(m, message.Origin{Front: "jsonl", Client: c.Addr, Came: time.Now()})
	r.Client = c
	if at := m.At(); at != nil {
		return c.stands(m, r, directory.ServerOf(string(at)), err)
	}
	switch {
	case err != nil && r.ID == 0:
		return false // there is no id to answer under
	case err != nil:
		c.front.Log.Info("set-up not understood", zap.Error(err))
		return c.send(broker.Reply{Kind: broker.Failed, ID: r.ID, Cause: broker.CauseFailed, Reason: err.Error()})
	case !c.Opened(uint64(r.ID)) || !c.front.Core.Submit(r):
		// Guard: too many wait, on this connection or before the module, or clients are
		// sent away. Nothing has been tried.
		c.front.Counts.Answered(r.Class, broker.Refused)
		return c.Deliver(broker.Reply{Kind: broker.Refused, ID: r.ID, Cause: broker.CauseRefused,
			Wait: time.Second, Reason: message.ReasonBusy})
	}
	return true
}

// stands takes a session that plays already. It is owed no answer, but an end
// where it can't be held.
func (c *conn) stands(m *message.Message, r broker.Request, at control.ServerID, err error) bool {
	r.Playing = at
	c.Stands()
	if err == nil && c.front.Core.Submit(r) {
		c.know()
		return true
	}
	c.front.Log.Info("standing session not taken", zap.Error(err))
	return r.ID != 0 && c.Deliver(broker.Reply{Kind: broker.Over, ID: r.ID, Cause: broker.CauseCut})
}
