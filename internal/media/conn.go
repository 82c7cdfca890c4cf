package media

import (
	"bytes"
	"errors"
	"math"
	"net"
	"strconv"
	"strings"
	"time"

	"millethinge/control"
	"millethinge/internal/header"
	"millethinge/internal/rtsp"
	"millethinge/internal/stream"
)

// writeTimeout bounds a write. Messages are short: a write blocks only if the node has
// read nothing for long.
const writeTimeout = 200 * time.Millisecond

// partialMessageTimeout bounds the time from the first part of a message to the last.
const partialMessageTimeout = 250 * time.Millisecond

// errInvalidMessage reports a message that is well-formed RTSP and still no valid message
// of a node.
var errInvalidMessage = errors.New("media: invalid message")

// conn is one connection to a node. The node's actor writes, a goroutine reads.
type conn struct {
	net.Conn
	openedAt          time.Time // when it was opened
	openSetUps        int       // set-ups sent on it that have not ended
	lastUsedAt        time.Time // when it last carried a message, or was opened
	unconfirmedSince  time.Time // when the oldest unconfirmed SETUP was written: no message has come that the node is known to have sent after it; zero: none is unconfirmed
	lastReceivedAt    time.Time // when the last message came; zero: none yet
	carriedMessage    bool      // a message was written on it
	checkPending      bool      // a probe was sent to check whether it is unresponsive
	unusable          bool      // nothing more is written on it
	unresponsiveSince time.Time // when it was marked unresponsive, and with that unusable; zero: it is not
	evicted           bool      // it is closed once no set-up is open on it
	closed            bool      // closeConn has closed it
	breakCounted      bool      // countBreak has counted it
	closeAt           time.Time // when it is closed if it is unusable; zero: whoever made it unusable closes it
}

// writeMessage writes one message. It returns how many of its bytes were written.
func (c *conn) writeMessage(b []byte) (int, error) {
	c.lastUsedAt, c.carriedMessage = time.Now(), true
	if err := c.SetWriteDeadline(c.lastUsedAt.Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Write(b)
}

// suspect reports whether the connection may have failed: it has an unconfirmed SETUP, and
// nothing has come for longer than connSuspectTimeout.
func (c *conn) suspect(now time.Time) bool {
	silentSince := c.unconfirmedSince
	if c.lastReceivedAt.After(silentSince) {
		silentSince = c.lastReceivedAt
	}
	return !c.unconfirmedSince.IsZero() && now.Sub(silentSince) > connSuspectTimeout
}

// markUnresponsive stops the use of a connection on which nothing more is expected. It is
// used again if a message does come, and otherwise closed after closeAfter.
func (c *conn) markUnresponsive(now time.Time, closeAfter time.Duration) {
	c.unusable, c.unresponsiveSince, c.closeAt = true, now, now.Add(closeAfter)
}

// markResponsive takes an unresponsive connection into use again.
func (c *conn) markResponsive() {
	if !c.unresponsiveSince.IsZero() && !c.breakCounted {
		c.unusable, c.checkPending, c.unresponsiveSince, c.closeAt = false, false, time.Time{}, time.Time{}
	}
}

// retire shuts down the sending direction (half-close). What the node sends until it sees that
// is still read, so a TEARDOWN that it sends at the same time is not lost. The connection is
// closed after closeAfter at the latest.
func (c *conn) retire(closeAfter time.Duration) {
	c.unusable = true
	c.closeAt = time.Now().Add(closeAfter)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
}

// messageKind is what a message means to the actor.
type messageKind uint8

const (
	kindOther       messageKind = iota // shows only that the node is alive
	kindSetUpAnswer                    // a final answer to SETUP
	kindProbeAnswer                    // an answer to OPTIONS
	kindTearDown                       // the node's TEARDOWN
	kindAnnounce                       // the node's ANNOUNCE
)

// message holds what the actor needs from one RTSP message.
type message struct {
	kind        messageKind
	id          control.SessionID
	status      int              // of an answer; 0: a request
	cause       int              // of a TEARDOWN
	load        []float64        // of a load report, in the order of Config.LoadFields; nil: none
	note        control.NoteKind // of an ANNOUNCE, with value
	value       float64
	description []byte // the body of an answer to SETUP
}

// readMessages passes the messages that the node sends to post until the connection ends.
// post returns false if the inbox is full.
//
// Guard: after an invalid message the following ones cannot be told apart, so reading ends
// there. Invalid is what cannot be parsed, is not complete in time, lacks what every
// message has, or is followed by bytes that begin no message.
func (c *conn) readMessages(fields []string, post func(message) bool) error {
	reader := stream.NewReader(c, rtsp.MaxMessageSize)
	var raw rtsp.Message
	partial := false
	for {
		invalid := false
		err := reader.Next(func(b []byte) (int, error) {
			n, err := rtsp.Parse(b, &raw)
			if err != nil {
				return 0, err
			}
			if (n == 0) != partial {
				partial = n == 0
				var deadline time.Time
				if partial {
					deadline = time.Now().Add(partialMessageTimeout)
				}
				if err := c.SetReadDeadline(deadline); err != nil {
					return 0, err
				}
			}
			invalid = !startsMessage(b[n:])
			return n, nil
		})
		if err != nil {
			return err
		}
		m, ok := decode(&raw, fields)
		if !ok || invalid {
			return errInvalidMessage
		}
		if !post(m) {
			return net.ErrClosed
		}
	}
}

// startsMessage reports whether b is empty or can be the start of a message.
func startsMessage(b []byte) bool { return len(b) == 0 || b[0] >= 'A' && b[0] <= 'Z' }

// decode extracts what the actor needs from one message. It reports whether the message
// has what every message of its kind has. fields names the fields of load reports.
func decode(raw *rtsp.Message, fields []string) (m message, ok bool) {
	id, err := strconv.ParseUint(string(raw.Get("Session")), 16, 64)
	if err != nil || raw.Get("Content-Length") == nil {
		return m, false
	}
	m.id, m.status = control.SessionID(id), raw.Status
	m.load = parseLoad(raw.Get("Link-State"), fields)
	if raw.Status != 0 {
		cseq, ok := header.ParseDecimal(raw.Get("CSeq"))
		switch {
		case !ok:
			return m, false
		case raw.Status < 200:
		case cseq == cseqSetUp:
			m.kind = kindSetUpAnswer
			// Guard: a Content-Length that is too long takes in the start of the next message.
			if bytes.Contains(raw.Body, []byte("RTSP/1.0")) {
				return m, false
			}
			// copied, since it goes on to the viewer and outlives the read buffer
			m.description = bytes.Clone(raw.Body)
		case cseq == cseqProbe:
			m.kind = kindProbeAnswer
		}
		return m, true
	}
	switch string(raw.Method) {
	case "TEARDOWN":
		m.kind, m.cause = kindTearDown, parseCause(raw.Get("Reason"))
	case "ANNOUNCE":
		m.kind, m.note = kindAnnounce, noteKinds[string(raw.Get("Fail-Word"))]
		v, ok := parseNonNegative(raw.Get("X-Reading"))
		if m.value = v; !ok || m.note == 0 {
			m.kind = kindOther
		}
	}
	return m, true
}

// parseNonNegative parses a finite number that is not negative.
func parseNonNegative(b []byte) (float64, bool) {
	v, err := strconv.ParseFloat(string(b), 64)
	return v, err == nil && v >= 0 && !math.IsInf(v, 0)
}

// noteKinds maps the values of an ANNOUNCE's Fail-Word header to kinds of notes.
var noteKinds = map[string]control.NoteKind{
	"delivered": control.NoteDeliveredShare, "rung": control.NoteRung,
	"link": control.NoteLinkUtilization, "uplink": control.NoteUplinkUtilization,
}

// parseCause parses "cause=N". Without it the cause is 16, an ordinary end.
func parseCause(b []byte) int {
	_, v, _ := strings.Cut(string(b), "cause=")
	if n, ok := header.ParseDecimal([]byte(strings.TrimSpace(v))); ok {
		return int(n)
	}
	return 16
}

// parseLoad parses a load report, "name:value;…", and returns the values in the order of
// fields. It returns nil if a field is missing or invalid.
func parseLoad(b []byte, fields []string) []float64 {
	if len(b) == 0 || len(fields) == 0 {
		return nil
	}
	load := make([]float64, len(fields))
	for i, f := range fields {
		found := false
		for part := range bytes.SplitSeq(b, []byte(";")) {
			name, value, _ := bytes.Cut(part, []byte(":"))
			if string(bytes.TrimSpace(name)) != f {
				continue
			}
			v, ok := parseNonNegative(bytes.TrimSpace(value))
			if !ok {
				return nil
			}
			load[i], found = v, true
		}
		if !found {
			return nil
		}
	}
	return load
}
