// Package websocket is the players' front: it serves the session API over WebSocket (RFC
// 6455), with one API message in each text message.
//
// net/http parses the request of the opening handshake. Frames are parsed here rather than
// by a WebSocket library: they are slices of the read buffer, and output goes through the
// queue of a peer.Conn, so that sending never blocks. A library's connection would take over
// both reading and writing.
package websocket

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
	"unicode/utf8"

	"go.uber.org/zap"

	"millethinge/control"
	"millethinge/internal/broker"
	"millethinge/internal/front/message"
	"millethinge/internal/front/peer"
	"millethinge/internal/stream"
)

const (
	handshakeTimeout = 2 * time.Second  // for the request of the opening handshake to arrive
	pingInterval     = 10 * time.Second // between pings to the player
	readTimeout      = 25 * time.Second // for the next complete frame; a socket without one counts as lost
	// readBufferSize is the length of the longest frame with its header of 14 bytes.
	readBufferSize = message.MaxSize + 14
)

// Front serves players on one address. Its fields are set before Serve.
type Front struct {
	Broker  message.Broker       // takes the players' requests
	Decoder message.SetupDecoder // decodes their set-ups
	Path    string               // URL path of the WebSocket
	Grace   time.Duration        // how long a player whose socket is lost may take to reconnect
	Limits  peer.Limits          // limits for the connections
	Counts  *broker.Counters     // counts refused set-ups; nil: they are not counted
	Log     *zap.Logger
}

// Serve accepts connections on l until ctx ends.
func (f *Front) Serve(ctx context.Context, l net.Listener) error {
	return peer.Serve(ctx, l, f.Limits, f.Log, func(_ context.Context, p *peer.Conn) {
		c := &conn{Conn: p, front: f, reader: stream.NewReader(p, readBufferSize)}
		if !c.acceptHandshake() {
			return
		}
		c.SetFarewell(appendClose(nil, closeGoingAway))
		done := make(chan struct{})
		defer close(done)
		go c.keepAlive(done)
		defer f.Broker.Lost(c)
		defer c.MarkReadEnded()
		err := c.readLoop()
		var closeErr closeError
		if errors.As(err, &closeErr) {
			if !c.playerCloses {
				c.reject(closeErr)
			}
			c.Send(appendClose(nil, int(closeErr)))
		}
	})
}

// conn is one player's WebSocket connection.
type conn struct {
	*peer.Conn
	front          *Front
	reader         *stream.Reader
	fragments      []byte // payload so far of a message sent in several frames
	fragmentOpcode byte   // opcode of that message; 0: there is none
	playerCloses   bool   // the player has sent a valid close frame
}

// Deliver sends a reply on this socket, and reports whether it could. If the socket is lost,
// the broker keeps the reply until the player reconnects.
func (c *conn) Deliver(r broker.Reply) bool {
	switch r.Kind {
	case broker.ReplyClosed: // keeps the id open: its set-up was answered before, so one that is open is a later one
		c.SessionEnded()
		return true
	case broker.ReplyEnded, broker.ReplyMoved: // likewise
		c.SessionEnded()
	default:
		defer c.CloseSetup(uint64(r.ID)) // only once the answer is queued: a connection without open set-ups may be closed
	}
	switch r.Kind {
	case broker.ReplyAbandoned:
		return true
	case broker.ReplyServed:
		c.MarkHadSession()
		c.SessionEstablished()
	}
	return c.Send(appendFrame(nil, opText, message.AppendReply(nil, r)))
}

// Gone is part of broker.Client.
func (c *conn) Gone(id control.SessionID) bool { return c.Conn.Gone(uint64(id)) }

// acceptHandshake performs the opening handshake, and reports whether it succeeded.
func (c *conn) acceptHandshake() bool {
	if err := c.SetReadDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return false
	}
	var req *http.Request
	err := c.reader.Next(func(b []byte) (n int, err error) {
		req, n, err = parseRequest(b)
		return n, err
	})
	if err != nil {
		kind := peer.RejectedMalformed
		switch {
		case errors.Is(err, errTooManyHeaders):
			kind = peer.RejectedTooManyHeaders
			fallthrough
		case errors.Is(err, errBadRequest), errors.Is(err, stream.ErrTooLong):
			c.front.Limits.Rejections.Count(kind)
			c.front.Log.Info("malformed handshake from player; closing the connection", zap.Stringer("from", c.RemoteAddr()), zap.Stringer("why", kind))
			c.Send(errorResponse(http.StatusBadRequest, ""))
		}
		return false
	}
	c.MessageRead(c.reader.Buffered() > 0)
	response, ok := handshakeResponse(req, c.front.Path)
	return c.Send(response) && ok
}

// reject counts and logs a message for which the connection is closed with a code.
func (c *conn) reject(code closeError) {
	kind := peer.RejectedMalformed
	switch code {
	case closePolicyViolation:
		kind = peer.RejectedTooManyFields
	case closeTooBig:
		kind = peer.RejectedTooLong
	}
	c.front.Limits.Rejections.Count(kind)
	c.front.Log.Info("malformed message from player; closing the connection", zap.Stringer("from", c.RemoteAddr()), zap.Stringer("why", kind))
}

// keepAlive sends pings until done is closed. The player's pongs let the read time-out detect
// a player that has vanished.
func (c *conn) keepAlive(done <-chan struct{}) {
	tick := time.NewTicker(pingInterval)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
			if !c.Send(appendFrame(nil, opPing, nil)) {
				return
			}
		}
	}
}

// readLoop handles frames until the socket ends, and returns why. If that is a closeError,
// its close frame is still to be sent.
func (c *conn) readLoop() error {
	var f frame
	for c.Throttle() {
		if err := c.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
			return err
		}
		err := c.reader.Next(func(b []byte) (int, error) { return parseFrame(b, &f) })
		if err != nil {
			if errors.Is(err, stream.ErrTooLong) {
				return closeError(closeTooBig)
			}
			return err
		}
		if c.fragmentOpcode == 0 || f.fin && f.opcode == opContinuation { // a fragmented message counts once it is complete
			c.MessageRead(c.reader.Buffered() > 0)
		}
		if err := c.handleFrame(&f); err != nil {
			return err
		}
	}
	return net.ErrClosed
}

// handleFrame handles one frame and assembles fragmented messages. An error ends the
// connection.
func (c *conn) handleFrame(f *frame) error {
	switch f.opcode {
	case opPing:
		c.Send(appendFrame(nil, opPong, f.payload))
		return nil
	case opPong:
		return nil
	case opClose:
		code, err := parseCloseCode(f.payload)
		if err != nil {
			return err
		}
		c.playerCloses = true
		return closeError(code) // echoes the code, as the closing handshake demands
	case opContinuation:
		if c.fragmentOpcode == 0 {
			return closeError(closeProtocol)
		}
	default:
		if c.fragmentOpcode != 0 {
			return closeError(closeProtocol)
		}
		if f.fin {
			return c.handleMessage(f.opcode, f.payload)
		}
		c.fragmentOpcode, c.fragments = f.opcode, c.fragments[:0]
	}
	if len(c.fragments)+len(f.payload) > message.MaxSize {
		return closeError(closeTooBig)
	}
	c.fragments = append(c.fragments, f.payload...)
	if !f.fin {
		return nil
	}
	opcode := c.fragmentOpcode
	c.fragmentOpcode = 0
	return c.handleMessage(opcode, c.fragments)
}

// handleMessage handles one complete message. An error ends the connection.
func (c *conn) handleMessage(opcode byte, payload []byte) error {
	received := time.Now()
	if opcode != opText {
		return closeError(closeUnsupportedData)
	}
	if !utf8.Valid(payload) {
		return closeError(closeInvalidPayload)
	}
	var m message.Message
	if err := message.Parse(payload, &m); errors.Is(err, message.ErrTooManyFields) {
		return closeError(closePolicyViolation)
	} else if err != nil {
		return closeError(closeProtocol)
	}
	switch string(m.Type) {
	case "setup":
		return c.handleSetup(&m, received)
	case "release":
		id, err := message.ParseID(m.ID)
		c.CloseSetup(uint64(id)) // first, so that the broker drops an attempt that it is about to start
		if err != nil || !c.front.Broker.End(broker.ViewerEnd{ID: id, Cause: m.Cause, Client: c}) {
			return closeError(closeProtocol)
		}
	case "ping":
		c.Send(appendFrame(nil, opText, message.AppendPong(nil, m.ID, c.AcceptsClients())))
	}
	return nil // progress, released and unknown types are ignored
}

func (c *conn) handleSetup(m *message.Message, received time.Time) error {
	r, err := c.front.Decoder.Decode(m, message.Origin{Front: "websocket", Client: c.Addr, Received: received})
	r.Client, r.Grace = c, c.front.Grace
	switch {
	case err != nil && r.ID == 0:
		return closeError(closeProtocol)
	case err != nil:
		c.Deliver(broker.Reply{Kind: broker.ReplyFailed, ID: r.ID, Cause: broker.CauseFailed, Reason: err.Error()})
	case !c.OpenSetup(uint64(r.ID)) || !c.front.Broker.Submit(r):
		// Guard: too many set-ups wait, on this socket or for the broker, or the manager
		// drains. The answer is a refusal, since no attempt has been made.
		c.front.Counts.CountAnswer(r.Class, broker.ReplyRefused)
		c.Deliver(broker.Reply{Kind: broker.ReplyRefused, ID: r.ID, Cause: broker.CauseRefused,
			RetryAfter: time.Second, Reason: message.ReasonBusy})
	}
	return nil
}
