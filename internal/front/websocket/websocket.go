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
	openTime = 2 * time.Second  // for the opening handshake
	pingTime = 10 * time.Second // between pings
	deadTime = 25 * time.Second // without a byte, after which a socket is lost
	// readSize holds the longest frame with its header.
	readSize = message.Max + 14
)

// Front serves players on one address.
type Front struct {
	Core    message.Core
	Catalog message.Catalog
	Path    string
	Grace   time.Duration // for a player whose socket is lost to come back
	Limits  peer.Limits
	Counts  *broker.Counters // nil: nobody asks
	Log     *zap.Logger
}

// Serve accepts until ctx ends.
func (f *Front) Serve(ctx context.Context, l net.Listener) error {
	return peer.Serve(ctx, l, f.Limits, f.Log, func(_ context.Context, p *peer.Conn) {
		c := &conn{Conn: p, front: f, in: stream.NewReader(p, readSize)}
		if !c.open() {
			return
		}
		c.Farewell(appendClose(nil, closeAway))
		alive := make(chan struct{})
		defer close(alive)
		go c.keepAlive(alive)
		defer f.Core.Lost(c)
		defer c.Leave()
		err := c.serve()
		var code closeError
		if errors.As(err, &code) {
			c.Put(appendClose(nil, int(code)))
		}
	})
}

// conn is one player's socket.
type conn struct {
	*peer.Conn
	front *Front
	in    *stream.Reader
	parts []byte // of a message in several frames
	kind  byte   // of that message; 0: none is open
}

// Deliver sends a reply on this socket. If it is lost, the broker keeps the
// reply for the player to come back.
func (c *conn) Deliver(r broker.Reply) bool {
	switch r.Kind {
	case broker.ReplyClosed: // its set-up was answered; one that is open under that id is another
		c.Fell()
		return true
	case broker.ReplyEnded, broker.ReplyMoved: // likewise
		c.Fell()
	default:
		defer c.Answered(uint64(r.ID)) // not before it is queued: the connection may be closed once nothing is owed
	}
	switch r.Kind {
	case broker.ReplyAbandoned:
		return true
	case broker.ReplyServed:
		c.Know()
		c.Stands()
	}
	return c.Put(appendFrame(nil, opText, message.AppendReply(nil, r)))
}

// Gone is part of broker.Client.
func (c *conn) Gone(id control.SessionID) bool { return c.Conn.Gone(uint64(id)) }

// open does the opening handshake.
func (c *conn) open() bool {
	if err := c.SetReadDeadline(time.Now().Add(openTime)); err != nil {
		return false
	}
	var req *http.Request
	err := c.in.Next(func(b []byte) (n int, err error) {
		req, n, err = parseRequest(b)
		return n, err
	})
	if err != nil {
		if errors.Is(err, errRequest) {
			c.Put(failure(http.StatusBadRequest, ""))
		}
		return false
	}
	c.Whole(c.in.Buffered() > 0)
	response, ok := handshake(req, c.front.Path)
	return c.Put(response) && ok
}

// keepAlive pings, so that a socket whose player vanished is found out.
func (c *conn) keepAlive(done <-chan struct{}) {
	tick := time.NewTicker(pingTime)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
			if !c.Put(appendFrame(nil, opPing, nil)) {
				return
			}
		}
	}
}

// serve handles frames until the socket ends. A closeError is still to be sent.
func (c *conn) serve() error {
	var f frame
	for c.Pace() {
		if err := c.SetReadDeadline(time.Now().Add(deadTime)); err != nil {
			return err
		}
		err := c.in.Next(func(b []byte) (int, error) { return parseFrame(b, &f) })
		if err != nil {
			if errors.Is(err, stream.ErrTooLong) {
				return closeError(closeTooBig)
			}
			return err
		}
		if c.kind == 0 || f.fin && f.op == opContinue { // a message in parts counts when it is whole
			c.Whole(c.in.Buffered() > 0)
		}
		if err := c.frame(&f); err != nil {
			return err
		}
	}
	return net.ErrClosed
}

// frame takes one frame.
func (c *conn) frame(f *frame) error {
	switch f.op {
	case opPing:
		c.Put(appendFrame(nil, opPong, f.payload))
		return nil
	case opPong:
		return nil
	case opClose:
		code, err := closeCode(f.payload)
		if err != nil {
			return err
		}
		return closeError(code) // the closing handshake's answer
	case opContinue:
		if c.kind == 0 {
			return closeError(closeProtocol)
		}
	default:
		if c.kind != 0 {
			return closeError(closeProtocol)
		}
		if f.fin {
			return c.message(f.op, f.payload)
		}
		c.kind, c.parts = f.op, c.parts[:0]
	}
	if len(c.parts)+len(f.payload) > message.Max {
		return closeError(closeTooBig)
	}
	c.parts = append(c.parts, f.payload...)
	if !f.fin {
		return nil
	}
	kind := c.kind
	c.kind = 0
	return c.message(kind, c.parts)
}

// message takes one whole message.
func (c *conn) message(kind byte, text []byte) error {
	came := time.Now()
	if kind != opText {
		return closeError(closeKind)
	}
	if !utf8.Valid(text) {
		return closeError(closeInvalid)
	}
	var m message.Message
	if err := message.Parse(text, &m); err != nil {
		return closeError(closeProtocol)
	}
	switch string(m.Type) {
	case "setup":
		return c.setUp(&m, came)
	case "release":
		id, err := message.ParseID(m.ID)
		c.Answered(uint64(id)) // first: an attempt that is under way in the broker is not begun
		if err != nil || !c.front.Core.End(broker.ViewerEnd{ID: id, Cause: m.Cause, Client: c}) {
			return closeError(closeProtocol)
		}
	case "ping":
		c.Put(appendFrame(nil, opText, message.AppendPong(nil, m.ID, c.Takes())))
	}
	return nil // progress and released mean nothing
}

func (c *conn) setUp(m *message.Message, came time.Time) error {
	r, err := c.front.Catalog.Setup(m, message.Origin{Front: "websocket", Client: c.Addr, Came: came})
	r.Client, r.Grace = c, c.front.Grace
	switch {
	case err != nil && r.ID == 0:
		return closeError(closeProtocol)
	case err != nil:
		c.Deliver(broker.Reply{Kind: broker.ReplyFailed, ID: r.ID, Cause: broker.CauseFailed, Reason: err.Error()})
	case !c.Opened(uint64(r.ID)) || !c.front.Core.Submit(r):
		// Guard: too many wait, on this socket or before the module, or clients are sent
		// away. Nothing has been tried.
		c.front.Counts.CountAnswer(r.Class, broker.ReplyRefused)
		c.Deliver(broker.Reply{Kind: broker.ReplyRefused, ID: r.ID, Cause: broker.CauseRefused,
			RetryAfter: time.Second, Reason: message.ReasonBusy})
	}
	return nil
}
