// Package websocket is the players' front: the session API over WebSocket
// (RFC 6455), one message in each text message.
//
// net/http reads the opening request. Frames are read by hand: they are slices of the
// read buffer, and what is written goes through the connection's actor, which never
// waits, where a library's connection would own both ways.
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
	handshakeTimeout = 2 * time.Second  // for the opening handshake
	pingInterval     = 10 * time.Second // between pings
	readTimeout      = 25 * time.Second // without a byte, after which a socket is lost
	// readBufferSize holds the longest frame with its header.
	readBufferSize = message.MaxSize + 14
)

// Front serves players on one address.
type Front struct {
	Broker  message.Broker
	Decoder message.SetupDecoder
	Path    string
	Grace   time.Duration // for a player whose socket is lost to come back
	Limits  peer.Limits
	Counts  *broker.Counters // nil: nobody asks
	Log     *zap.Logger
}

// Serve accepts until ctx ends.
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
			c.Send(appendClose(nil, int(closeErr)))
		}
	})
}

// conn is one player's socket.
type conn struct {
	*peer.Conn
	front          *Front
	reader         *stream.Reader
	fragments      []byte // of a message in several frames
	fragmentOpcode byte   // of that message; 0: none is open
}

// Deliver sends a reply on this socket. If it is lost, the broker keeps the
// reply for the player to come back.
func (c *conn) Deliver(r broker.Reply) bool {
	switch r.Kind {
	case broker.ReplyClosed: // its set-up was answered; one that is open under that id is another
		c.SessionEnded()
		return true
	case broker.ReplyEnded, broker.ReplyMoved: // likewise
		c.SessionEnded()
	default:
		defer c.CloseSetup(uint64(r.ID)) // not before it is queued: the connection may be closed once nothing is owed
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

// acceptHandshake does the opening handshake.
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
		if errors.Is(err, errBadRequest) {
			c.Send(errorResponse(http.StatusBadRequest, ""))
		}
		return false
	}
	c.MessageRead(c.reader.Buffered() > 0)
	response, ok := handshakeResponse(req, c.front.Path)
	return c.Send(response) && ok
}

// keepAlive pings, so that a socket whose player vanished is found out.
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

// readLoop handles frames until the socket ends. A closeError is still to be sent.
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
		if c.fragmentOpcode == 0 || f.fin && f.opcode == opContinuation { // a message in parts counts when it is whole
			c.MessageRead(c.reader.Buffered() > 0)
		}
		if err := c.handleFrame(&f); err != nil {
			return err
		}
	}
	return net.ErrClosed
}

// handleFrame takes one frame.
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
		return closeError(code) // the closing handshake's answer
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

// handleMessage takes one whole message.
func (c *conn) handleMessage(opcode byte, payload []byte) error {
	received := time.Now()
	if opcode != opText {
		return closeError(closeUnsupportedData)
	}
	if !utf8.Valid(payload) {
		return closeError(closeInvalidPayload)
	}
	var m message.Message
	if err := message.Parse(payload, &m); err != nil {
		return closeError(closeProtocol)
	}
	switch string(m.Type) {
	case "setup":
		return c.handleSetup(&m, received)
	case "release":
		id, err := message.ParseID(m.ID)
		c.CloseSetup(uint64(id)) // first: an attempt that is under way in the broker is not begun
		if err != nil || !c.front.Broker.End(broker.ViewerEnd{ID: id, Cause: m.Cause, Client: c}) {
			return closeError(closeProtocol)
		}
	case "ping":
		c.Send(appendFrame(nil, opText, message.AppendPong(nil, m.ID, c.AcceptsClients())))
	}
	return nil // progress and released mean nothing
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
		// Guard: too many wait, on this socket or before the module, or clients are sent
		// away. Nothing has been tried.
		c.front.Counts.CountAnswer(r.Class, broker.ReplyRefused)
		c.Deliver(broker.Reply{Kind: broker.ReplyRefused, ID: r.ID, Cause: broker.CauseRefused,
			RetryAfter: time.Second, Reason: message.ReasonBusy})
	}
	return nil
}
