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
	Broker      message.Broker
	Decoder     message.SetupDecoder
	Limits      peer.Limits
	Counts      *broker.Counters // nil: nobody asks
	SendReasons bool             // failures and refusals say why; the platform's protocol has no field for it
	Log         *zap.Logger

	mu          sync.Mutex
	conns       []*conn
	pendingEnds []*sessionEnd // those that found no open connection of a known viewer
}

// conn is one viewers' connection.
type conn struct {
	*peer.Conn
	front *Front

	mu             sync.Mutex
	unacknowledged []*sessionEnd // sent on it and not said to be heard, the oldest first
	endsStopped    bool          // it is not read any more: no end goes on it
}

// Serve accepts until ctx ends.
func (f *Front) Serve(ctx context.Context, l net.Listener) error {
	return peer.Serve(ctx, l, f.Limits, f.Log, func(_ context.Context, p *peer.Conn) {
		c := &conn{Conn: p, front: f}
		f.add(c)
		defer f.remove(c)
		c.readLoop()
	})
}

func (f *Front) add(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns = append(f.conns, c)
	f.sendPendingEnds(c)
}

// mayCarryEnd tells whether the end of a session whose set-up came from a host may
// be sent on c. Guard: an unknown host's connection may be anybody's, and its
// client would take no notice.
func (c *conn) mayCarryEnd(host string) bool { return c.Host == host || c.HadSession() }

func (f *Front) remove(c *conn) {
	c.MarkReadEnded()
	f.mu.Lock()
	f.conns = slices.DeleteFunc(f.conns, func(other *conn) bool { return other == c })
	f.mu.Unlock()
	f.resendEnds(c.takeUnacknowledged())
	f.Broker.Lost(c)
}

// From tells where the viewer is.
func (c *conn) From() string { return c.Host }

// Deliver sends an answer on the connection of its set-up. What ends a session
// that stood goes on any open one: none owns it.
func (c *conn) Deliver(r broker.Reply) bool {
	switch r.Kind {
	case broker.ReplyClosed: // its set-up was answered; one that is open under that id is another
		c.SessionEnded()
		return true
	case broker.ReplyEnded, broker.ReplyMoved: // likewise
		c.SessionEnded()
		e := &sessionEnd{reply: r, host: c.Host, expires: time.Now().Add(endLifetime)}
		if !c.sendEnd(e) {
			c.front.routeEnd(e)
		}
		return true
	}
	defer c.CloseSetup(uint64(r.ID)) // not before it is queued: the connection may be closed once nothing is owed
	switch r.Kind {
	case broker.ReplyAbandoned:
		return true
	case broker.ReplyServed:
		c.markHadSession()
		c.SessionEstablished()
	}
	return c.sendReply(r)
}

// Gone is part of broker.Client.
func (c *conn) Gone(id control.SessionID) bool { return c.Conn.Gone(uint64(id)) }

// markHadSession marks c as a connection of viewers who have had a session.
func (c *conn) markHadSession() {
	if c.HadSession() {
		return
	}
	c.MarkHadSession()
	c.front.mu.Lock()
	c.front.sendPendingEnds(c)
	c.front.mu.Unlock()
}

func (c *conn) sendReply(r broker.Reply) bool {
	if !c.front.SendReasons {
		r.Reason = ""
	}
	return c.Send(append(message.AppendReply(nil, r), '\n'))
}

// readLoop handles lines until the connection ends or sends what is no message.
func (c *conn) readLoop() {
	reader := stream.NewReader(c, message.MaxSize)
	var m message.Message
	for c.Throttle() {
		var line []byte
		err := reader.Next(func(b []byte) (int, error) {
			i := bytes.IndexByte(b, '\n')
			line = b[:max(i, 0)]
			return i + 1, nil
		})
		if err != nil {
			return
		}
		c.MessageRead(reader.Buffered() > 0)
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		if err := message.Parse(line, &m); err != nil {
			c.front.Log.Info("viewer sent what is no message", zap.Stringer("from", c.RemoteAddr()))
			return
		}
		if !c.handleMessage(&m) {
			return
		}
	}
}

// handleMessage takes one message; false ends the connection.
func (c *conn) handleMessage(m *message.Message) bool {
	switch string(m.Type) {
	case "setup":
		return c.handleSetup(m)
	case "release":
		id, err := message.ParseID(m.ID)
		if err != nil {
			return false
		}
		c.CloseSetup(uint64(id)) // first: an attempt that is under way in the broker is not begun
		return c.front.Broker.End(broker.ViewerEnd{ID: id, Cause: m.Cause, Client: c})
	case "released":
		if id, err := message.ParseID(m.ID); err == nil {
			c.acknowledgeEnd(id)
		}
	case "ping":
		return c.Send(append(message.AppendPong(nil, m.ID, c.AcceptsClients()), '\n'))
	}
	return true // progress means nothing
}

func (c *conn) handleSetup(m *message.Message) bool {
	r, err := c.front.Decoder.Decode(m, message.Origin{Front: "jsonl", Client: c.Addr, Received: time.Now()})
	r.Client = c
	if node := m.CurrentNode(); node != nil {
		return c.resumeSession(m, r, directory.ServerOf(string(node)), err)
	}
	switch {
	case err != nil && r.ID == 0:
		return false // there is no id to answer under
	case err != nil:
		c.front.Log.Info("set-up not understood", zap.Error(err))
		return c.sendReply(broker.Reply{Kind: broker.ReplyFailed, ID: r.ID, Cause: broker.CauseFailed, Reason: err.Error()})
	case !c.OpenSetup(uint64(r.ID)) || !c.front.Broker.Submit(r):
		// Guard: too many wait, on this connection or before the module, or clients are
		// sent away. Nothing has been tried.
		c.front.Counts.CountAnswer(r.Class, broker.ReplyRefused)
		return c.Deliver(broker.Reply{Kind: broker.ReplyRefused, ID: r.ID, Cause: broker.CauseRefused,
			RetryAfter: time.Second, Reason: message.ReasonBusy})
	}
	return true
}

// resumeSession takes a session that plays already. It is owed no answer, but an end
// where it can't be held.
func (c *conn) resumeSession(m *message.Message, r broker.Request, node control.ServerID, err error) bool {
	r.PlayingOn = node
	c.SessionEstablished()
	if err == nil && c.front.Broker.Submit(r) {
		c.markHadSession()
		return true
	}
	c.front.Log.Info("standing session not taken", zap.Error(err))
	return r.ID != 0 && c.Deliver(broker.Reply{Kind: broker.ReplyEnded, ID: r.ID, Cause: broker.CauseInterrupted})
}
