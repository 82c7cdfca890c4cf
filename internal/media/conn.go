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

// writeTimeout bounds a write. Messages are short: only a node that has long read
// nothing makes one wait.
const writeTimeout = 200 * time.Millisecond

// partialMessageTimeout bounds how long a message may take to come whole.
const partialMessageTimeout = 250 * time.Millisecond

// errInvalidMessage reports a message that is well formed and still not what a node
// means to send.
var errInvalidMessage = errors.New("media: spoilt message")

// conn is one connection to a node. The node's actor writes, a goroutine reads.
type conn struct {
	net.Conn
	openSetUps        int       // set-ups open on it
	lastUsedAt        time.Time // when it last carried anything
	unconfirmedSince  time.Time // when the first set-up was written that no word is known to be later than; zero: none
	lastReceivedAt    time.Time // when the last word came; zero: none
	carriedMessage    bool      // it has carried a message
	checkPending      bool      // a test asks whether it is mute
	unusable          bool      // nothing more is written on it
	unresponsiveSince time.Time // dead since then, for a set-up that timed out with no later word; zero: it isn't mute
	breakCounted      bool      // it is counted as broken
	closeAt           time.Time // when a dead one is closed; zero: by whoever made it dead
}

// writeMessage sends one message. It returns how many of its bytes left.
func (c *conn) writeMessage(b []byte) (int, error) {
	c.lastUsedAt, c.carriedMessage = time.Now(), true
	if err := c.SetWriteDeadline(c.lastUsedAt.Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Write(b)
}

// suspect tells whether a connection has been silent for so long, with a set-up that no
// word is known to be later than, that it may be of no use any more.
func (c *conn) suspect(now time.Time) bool {
	silentSince := c.unconfirmedSince
	if c.lastReceivedAt.After(silentSince) {
		silentSince = c.lastReceivedAt
	}
	return !c.unconfirmedSince.IsZero() && now.Sub(silentSince) > connSuspectTimeout
}

// markUnresponsive takes a connection for one that nothing more comes on, unless something does.
func (c *conn) markUnresponsive(now time.Time, closeAfter time.Duration) {
	c.unusable, c.unresponsiveSince, c.closeAt = true, now, now.Add(closeAfter)
}

// markResponsive takes a mute one in use again.
func (c *conn) markResponsive() {
	if !c.unresponsiveSince.IsZero() && !c.breakCounted {
		c.unusable, c.unresponsiveSince, c.closeAt = false, time.Time{}, time.Time{}
	}
}

// retire ends the writing side. What the node has sent, or sends until it has
// seen the end, is still read: a release that crosses the close is not lost.
func (c *conn) retire(closeAfter time.Duration) {
	c.unusable = true
	c.closeAt = time.Now().Add(closeAfter)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
}

type messageKind uint8

const (
	kindOther       messageKind = iota
	kindSetUpAnswer             // a final answer to SETUP, by status
	kindProbeAnswer             // an answer to OPTIONS
	kindTearDown                // the node's TEARDOWN, by cause
	kindAnnounce                // ANNOUNCE
)

// message is what the actor needs of one RTSP message.
type message struct {
	kind        messageKind
	id          control.SessionID
	status      int
	cause       int
	load        []float64
	note        control.NoteKind
	value       float64
	description []byte
}

// readMessages passes what the node sends to post until the connection ends. post
// returns false when the mailbox takes no more.
//
// Guard: after what is spoilt nothing on a connection can be told apart, so it
// ends there. That is what can't be parsed, does not come whole in time, lacks
// what each message has, or is followed by what begins no message.
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

// startsMessage tells whether b can be the start of a message.
func startsMessage(b []byte) bool { return len(b) == 0 || b[0] >= 'A' && b[0] <= 'Z' }

// decode takes what the actor needs from one message. It tells whether the
// message has what all of its kind have.
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
			// Guard: a length that is too long swallows the next message's start.
			if bytes.Contains(raw.Body, []byte("RTSP/1.0")) {
				return m, false
			}
			// it outlives the read buffer: it goes on to the viewer
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

// parseNonNegative reads a figure that can be reckoned with.
func parseNonNegative(b []byte) (float64, bool) {
	v, err := strconv.ParseFloat(string(b), 64)
	return v, err == nil && v >= 0 && !math.IsInf(v, 0)
}

var noteKinds = map[string]control.NoteKind{
	"delivered": control.NoteDeliveredShare, "rung": control.NoteRung,
	"link": control.NoteLinkUtilization, "uplink": control.NoteUplinkUtilization,
}

// parseCause reads "cause=N"; without it the end is an ordinary one.
func parseCause(b []byte) int {
	_, v, _ := strings.Cut(string(b), "cause=")
	if n, ok := header.ParseDecimal([]byte(strings.TrimSpace(v))); ok {
		return int(n)
	}
	return 16
}

// parseLoad reads "name:value;…" into the order of the settings' fields. A
// report that lacks one is no report.
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
