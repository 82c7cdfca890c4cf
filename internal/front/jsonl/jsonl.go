// Package jsonl is the platform's front: it serves the session API as JSON lines over TCP.
package jsonl

import (
	"bytes"
	"context"
	"errors"
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

// Front serves viewers on one address. Its exported fields are set before Serve.
type Front struct {
	Broker      message.Broker       // takes the viewers' requests
	Decoder     message.SetupDecoder // decodes their set-ups
	Limits      peer.Limits          // limits for the connections
	Counts      *broker.Counters     // counts refused set-ups; nil: they are not counted
	SendReasons bool                 // send the reasons of failures and refusals; the platform's protocol has no field for them
	Log         *zap.Logger

	mu          sync.Mutex
	conns       []*conn       // the oldest first
	pendingEnds []*sessionEnd // for which no connection of a viewer with a session was open
}

// conn is one connection, which several viewers may share.
type conn struct {
	*peer.Conn
	front *Front

	mu             sync.Mutex
	unacknowledged []*sessionEnd // sent on this connection and not acknowledged, the oldest first
	endsStopped    bool          // the connection is not read any more, so no further ends are sent on it
}

// Serve accepts connections on l until ctx ends.
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

// mayCarryEnd reports whether the end of a session whose set-up came from host may be sent
// on c.
//
// Guard: a connection from another host that has had no session may belong to anyone, and
// its client would ignore the end.
func (c *conn) mayCarryEnd(host string) bool { return c.Host == host || c.HadSession() }

func (f *Front) remove(c *conn) {
	c.MarkReadEnded()
	f.mu.Lock()
	f.conns = slices.DeleteFunc(f.conns, func(other *conn) bool { return other == c })
	f.mu.Unlock()
	f.resendEnds(c.takeUnacknowledged())
	f.Broker.Lost(c)
}

// From returns the viewer's host.
func (c *conn) From() string { return c.Host }

// Deliver sends an answer on the connection of its set-up, and reports whether it could. The
// end of an established session is tied to no connection: if this one can't carry it, it is
// sent on another one.
func (c *conn) Deliver(r broker.Reply) bool {
	switch r.Kind {
	case broker.ReplyClosed: // keeps the id open: its set-up was answered before, so one that is open is a later one
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
	defer c.CloseSetup(uint64(r.ID)) // only once the answer is queued: a connection without open set-ups may be closed
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

// markHadSession records that a viewer on c has an established session, and sends the
// pending ends that c may carry from now on.
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

// readLoop handles messages until the connection ends or a message is malformed.
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
			if errors.Is(err, stream.ErrTooLong) {
				c.reject(peer.RejectedTooLong)
			}
			return
		}
		c.MessageRead(reader.Buffered() > 0)
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		if err := message.Parse(line, &m); err != nil {
			kind := peer.RejectedMalformed
			if errors.Is(err, message.ErrTooManyFields) {
				kind = peer.RejectedTooManyFields
			}
			c.reject(kind)
			return
		}
		if !c.handleMessage(&m) {
			return
		}
	}
}

// reject counts and logs a message for which the connection is closed.
func (c *conn) reject(kind peer.Rejection) {
	c.front.Limits.Rejections.Count(kind)
	c.front.Log.Info("malformed message from viewer; closing the connection", zap.Stringer("from", c.RemoteAddr()), zap.Stringer("why", kind))
}

// handleMessage handles one message, and reports whether to keep the connection open.
func (c *conn) handleMessage(m *message.Message) bool {
	switch string(m.Type) {
	case "setup":
		return c.handleSetup(m)
	case "release":
		id, err := message.ParseID(m.ID)
		if err != nil {
			return false
		}
		c.CloseSetup(uint64(id)) // first, so that the broker drops an attempt that it is about to start
		return c.front.Broker.End(broker.ViewerEnd{ID: id, Cause: m.Cause, Client: c})
	case "released":
		if id, err := message.ParseID(m.ID); err == nil {
			c.acknowledgeEnd(id)
		}
	case "ping":
		return c.Send(append(message.AppendPong(nil, m.ID, c.AcceptsClients()), '\n'))
	}
	return true // progress and unknown types are ignored
}

func (c *conn) handleSetup(m *message.Message) bool {
	r, err := c.front.Decoder.Decode(m, message.Origin{Front: "jsonl", Client: c.Addr, Received: time.Now()})
	r.Client = c
	if node := m.CurrentNode(); node != nil {
		return c.resumeSession(m, r, directory.ServerIDOf(string(node)), err)
	}
	switch {
	case err != nil && r.ID == 0:
		return false // there is no id to answer to
	case err != nil:
		c.front.Log.Info("invalid set-up", zap.Error(err))
		return c.sendReply(broker.Reply{Kind: broker.ReplyFailed, ID: r.ID, Cause: broker.CauseFailed, Reason: err.Error()})
	case !c.OpenSetup(uint64(r.ID)) || !c.front.Broker.Submit(r):
		// Guard: too many set-ups wait, on this connection or for the broker, or the manager
		// drains. The answer is a refusal, since no attempt has been made.
		c.front.Counts.CountAnswer(r.Class, broker.ReplyRefused)
		return c.Deliver(broker.Reply{Kind: broker.ReplyRefused, ID: r.ID, Cause: broker.CauseRefused,
			RetryAfter: time.Second, Reason: message.ReasonBusy})
	}
	return true
}

// resumeSession takes over a session that is already playing at a media node. It is not
// answered; if it can't be taken over, its end is sent to the viewer.
func (c *conn) resumeSession(m *message.Message, r broker.Request, node control.ServerID, err error) bool {
	r.PlayingOn = node
	c.SessionEstablished()
	if err == nil && c.front.Broker.Submit(r) {
		c.markHadSession()
		return true
	}
	c.front.Log.Info("established session not taken over", zap.Error(err))
	return r.ID != 0 && c.Deliver(broker.Reply{Kind: broker.ReplyEnded, ID: r.ID, Cause: broker.CauseInterrupted})
}
