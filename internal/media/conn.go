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

// writeTime bounds a write. Messages are short: only a node that has long read
// nothing makes one wait.
const writeTime = 200 * time.Millisecond

// partTime bounds how long a message may take to come whole.
const partTime = 250 * time.Millisecond

// errSpoilt reports a message that is well formed and still not what a node
// means to send.
var errSpoilt = errors.New("media: spoilt message")

// conn is one connection to a node. The node's actor writes, a goroutine reads.
type conn struct {
	net.Conn
	open    int       // set-ups open on it
	touched time.Time // when it last carried anything
	asked   time.Time // when the first set-up was written that no word is known to be later than; zero: none
	heardAt time.Time // when the last word came; zero: none
	used    bool      // it has carried a message
	tested  bool      // a test asks whether it is mute
	dead    bool      // nothing more is written on it
	muteAt  time.Time // dead since then, for a set-up that timed out with no later word; zero: it isn't mute
	broke   bool      // it is counted as broken
	closeAt time.Time // when a dead one is closed; zero: by whoever made it dead
}

// write sends one message. It returns how many of its bytes left.
func (c *conn) write(b []byte) (int, error) {
	c.touched, c.used = time.Now(), true
	if err := c.SetWriteDeadline(c.touched.Add(writeTime)); err != nil {
		return 0, err
	}
	return c.Write(b)
}

// suspect tells whether a connection has been silent for so long, with a set-up that no
// word is known to be later than, that it may be of no use any more.
func (c *conn) suspect(now time.Time) bool {
	silent := c.asked
	if c.heardAt.After(silent) {
		silent = c.heardAt
	}
	return !c.asked.IsZero() && now.Sub(silent) > suspectTime
}

// mute takes a connection for one that nothing more comes on, unless something does.
func (c *conn) mute(now time.Time, within time.Duration) {
	c.dead, c.muteAt, c.closeAt = true, now, now.Add(within)
}

// speak takes a mute one in use again.
func (c *conn) speak() {
	if !c.muteAt.IsZero() && !c.broke {
		c.dead, c.muteAt, c.closeAt = false, time.Time{}, time.Time{}
	}
}

// retire ends the writing side. What the node has sent, or sends until it has
// seen the end, is still read: a release that crosses the close is not lost.
func (c *conn) retire(within time.Duration) {
	c.dead = true
	c.closeAt = time.Now().Add(within)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
}

type messageKind uint8

const (
	other    messageKind = iota
	answered             // a final answer to SETUP, by status
	tested               // an answer to OPTIONS
	ended                // the node's TEARDOWN, by cause
	noted                // ANNOUNCE
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

// read passes what the node sends to post until the connection ends. post
// returns false when the mailbox takes no more.
//
// Guard: after what is spoilt nothing on a connection can be told apart, so it
// ends there. That is what can't be parsed, does not come whole in time, lacks
// what each message has, or is followed by what begins no message.
func (c *conn) read(fields []string, post func(message) bool) error {
	in := stream.NewReader(c, rtsp.MaxMessage)
	var raw rtsp.Message
	part := false
	for {
		spoilt := false
		err := in.Next(func(b []byte) (int, error) {
			n, err := rtsp.Parse(b, &raw)
			if err != nil {
				return 0, err
			}
			if (n == 0) != part {
				part = n == 0
				var until time.Time
				if part {
					until = time.Now().Add(partTime)
				}
				if err := c.SetReadDeadline(until); err != nil {
					return 0, err
				}
			}
			spoilt = !begins(b[n:])
			return n, nil
		})
		if err != nil {
			return err
		}
		m, ok := understand(&raw, fields)
		if !ok || spoilt {
			return errSpoilt
		}
		if !post(m) {
			return net.ErrClosed
		}
	}
}

// begins tells whether b can be the start of a message.
func begins(b []byte) bool { return len(b) == 0 || b[0] >= 'A' && b[0] <= 'Z' }

// understand takes what the actor needs from one message. It tells whether the
// message has what all of its kind have.
func understand(raw *rtsp.Message, fields []string) (m message, ok bool) {
	id, err := strconv.ParseUint(string(raw.Get("Session")), 16, 64)
	if err != nil || raw.Get("Content-Length") == nil {
		return m, false
	}
	m.id, m.status = control.SessionID(id), raw.Status
	m.load = parseLoad(raw.Get("Link-State"), fields)
	if raw.Status != 0 {
		seq, ok := header.Uint(raw.Get("CSeq"))
		switch {
		case !ok:
			return m, false
		case raw.Status < 200:
		case seq == seqSetUp:
			m.kind = answered
			// Guard: a length that is too long swallows the next message's start.
			if bytes.Contains(raw.Body, []byte("RTSP/1.0")) {
				return m, false
			}
			// it outlives the read buffer: it goes on to the viewer
			m.description = bytes.Clone(raw.Body)
		case seq == seqTest:
			m.kind = tested
		}
		return m, true
	}
	switch string(raw.Method) {
	case "TEARDOWN":
		m.kind, m.cause = ended, parseCause(raw.Get("Reason"))
	case "ANNOUNCE":
		m.kind, m.note = noted, notes[string(raw.Get("Fail-Word"))]
		v, ok := number(raw.Get("X-Reading"))
		if m.value = v; !ok || m.note == 0 {
			m.kind = other
		}
	}
	return m, true
}

// number reads a figure that can be reckoned with.
func number(b []byte) (float64, bool) {
	v, err := strconv.ParseFloat(string(b), 64)
	return v, err == nil && v >= 0 && !math.IsInf(v, 0)
}

var notes = map[string]control.NoteKind{
	"delivered": control.NoteDeliveredShare, "rung": control.NoteRung,
	"link": control.NoteLinkUtilization, "uplink": control.NoteUplinkUtilization,
}

// parseCause reads "cause=N"; without it the end is an ordinary one.
func parseCause(b []byte) int {
	_, v, _ := strings.Cut(string(b), "cause=")
	if n, ok := header.Uint([]byte(strings.TrimSpace(v))); ok {
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
			v, ok := number(bytes.TrimSpace(value))
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
