package media

import (
	"bytes"
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

// conn is one connection to a node. The node's actor writes, a goroutine reads.
type conn struct {
	net.Conn
	open    int       // set-ups open on it
	touched time.Time // when it last carried anything
	dead    bool
}

// write sends one message. It returns how many of its bytes left.
func (c *conn) write(b []byte) (int, error) {
	c.touched = time.Now()
	if err := c.SetWriteDeadline(c.touched.Add(writeTime)); err != nil {
		return 0, err
	}
	return c.Write(b)
}

// retire ends the writing side. What the node has sent, or sends until it has
// seen the end, is still read: a release that crosses the close is not lost.
func (c *conn) retire(within time.Duration) {
	c.dead = true
	c.SetReadDeadline(time.Now().Add(within))
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
func (c *conn) read(fields []string, post func(message) bool) error {
	in := stream.NewReader(c, rtsp.MaxMessage)
	var raw rtsp.Message
	for {
		err := in.Next(func(b []byte) (int, error) { return rtsp.Parse(b, &raw) })
		if err != nil {
			return err
		}
		if !post(understand(&raw, fields)) {
			return net.ErrClosed
		}
	}
}

func understand(raw *rtsp.Message, fields []string) message {
	var m message
	id, err := strconv.ParseUint(string(raw.Get("Session")), 16, 64)
	if err != nil {
		return m
	}
	m.id, m.status = control.SessionID(id), raw.Status
	m.load = parseLoad(raw.Get("Link-State"), fields)
	if raw.Status != 0 {
		seq, _ := header.Uint(raw.Get("CSeq"))
		switch {
		case raw.Status < 200:
		case seq == seqSetUp:
			m.kind = answered
			// it outlives the read buffer: it goes on to the viewer
			m.description = bytes.Clone(raw.Body)
		case seq == seqTest:
			m.kind = tested
		}
		return m
	}
	switch string(raw.Method) {
	case "TEARDOWN":
		m.kind, m.cause = ended, parseCause(raw.Get("Reason"))
	case "ANNOUNCE":
		m.kind, m.note = noted, notes[string(raw.Get("Fail-Word"))]
		v, err := strconv.ParseFloat(string(raw.Get("X-Reading")), 64)
		if m.value = v; err != nil || m.note == 0 {
			m.kind = other
		}
	}
	return m
}

var notes = map[string]control.NoteKind{
	"delivered": control.NoteShare, "rung": control.NoteRung,
	"link": control.NoteLink, "uplink": control.NoteUplink,
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
			v, err := strconv.ParseFloat(string(bytes.TrimSpace(value)), 64)
			if err != nil {
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
