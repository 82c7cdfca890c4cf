package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// message is a message of the session API.
type message struct {
	Type   string         `json:"type"`
	ID     string         `json:"id"`
	Fields map[string]any `json:"fields"`
	Cause  int            `json:"cause,omitempty"`
	SDP    string         `json:"sdp,omitempty"`
	at     time.Time
	host   string // of the viewer that got it
}

// inbox holds what viewers were sent, by session.
type inbox struct {
	rig *rig
	mu  sync.Mutex
	got map[string][]message
}

func (r *rig) newInbox() *inbox { return &inbox{rig: r, got: map[string][]message{}} }

func (b *inbox) add(from string, m message) {
	m.at, m.host = time.Now(), from
	b.mu.Lock()
	b.got[m.ID] = append(b.got[m.ID], m)
	b.mu.Unlock()
	b.rig.note("viewer %s: %s of %s, cause %d", from, m.Type, m.ID, m.Cause)
}

// of returns the messages about a session.
func (b *inbox) of(id string) []message {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]message(nil), b.got[id]...)
}

// plays reports whether a session was answered as standing.
func (b *inbox) plays(id string) bool {
	for _, m := range b.of(id) {
		if m.Type == "answer" {
			return true
		}
	}
	return false
}

// playsAt reports whether the viewer at a host was answered that a session stands.
func (b *inbox) playsAt(id, host string) bool {
	for _, m := range b.of(id) {
		if m.Type == "answer" && m.host == host {
			return true
		}
	}
	return false
}

// releasedAt returns when the viewer at a host was first told that the session is over, refused
// or failed.
func (b *inbox) releasedAt(id, host string) (time.Time, bool) {
	for _, m := range b.of(id) {
		if m.Type == "release" && m.host == host {
			return m.at, true
		}
	}
	return time.Time{}, false
}

// viewer is a client at one host, with one connection of JSON lines. It opens another one when
// the session manager closes it.
type viewer struct {
	rig    *rig
	host   string
	addr   string
	inbox  *inbox
	mu     sync.Mutex
	conn   net.Conn
	closed bool
}

// newViewer connects from a loopback host.
func (r *rig) newViewer(host, addr string, b *inbox) *viewer {
	v := &viewer{rig: r, host: host, addr: addr, inbox: b}
	must(v.connect())
	r.atEnd(v.close)
	return v
}

func (v *viewer) connect() error {
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(v.host)}}
	conn, err := dialer.DialContext(context.Background(), "tcp", v.addr)
	if err != nil {
		return err
	}
	v.mu.Lock()
	v.conn = conn
	v.mu.Unlock()
	go v.read(conn)
	return nil
}

func (v *viewer) read(conn net.Conn) {
	lines := bufio.NewScanner(conn)
	for lines.Scan() {
		var m message
		if json.Unmarshal(lines.Bytes(), &m) == nil {
			v.inbox.add(v.host, m)
			if m.Type == "release" && v.inbox.playsAt(m.ID, v.host) {
				io.WriteString(conn, line(message{Type: "released", ID: m.ID, Fields: map[string]any{}}))
			}
		}
	}
	conn.Close()
	v.mu.Lock()
	closed := v.closed
	v.mu.Unlock()
	if closed {
		return
	}
	v.rig.note("viewer %s: its connection was closed; it opens another one", v.host)
	for range 100 {
		if v.connect() == nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (v *viewer) close() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.closed = true
	if v.conn != nil {
		v.conn.Close()
	}
}

// send sends a message on the present connection.
func (v *viewer) send(m message) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, err := io.WriteString(v.conn, line(m))
	v.rig.note("viewer %s: sends %s of %s: %v", v.host, m.Type, m.ID, err)
	return err
}

func line(m message) string {
	text, err := json.Marshal(m)
	must(err)
	return string(text) + "\n"
}

// setUp is a set-up of a class. Each session has a title of its own.
func setUp(id, class string) message {
	return message{Type: "setup", ID: id, SDP: id + "\r\nc=IN IP4 127.0.0.1\r\n", Fields: map[string]any{
		"class": class, "left": "3000", "key": "7f3a9c21e0b4d655",
		"extras": fmt.Sprintf("home:0;copies:%d;top:3;viewer:%s", nodeCells, id)}}
}

// play sets sessions up and waits until all play.
func (v *viewer) play(class string, ids ...string) {
	for _, id := range ids {
		must(v.send(setUp(id, class)))
		time.Sleep(20 * time.Millisecond)
	}
	for _, id := range ids {
		if !waitFor(4*time.Second, func() bool { return len(v.inbox.of(id)) > 0 }) || !v.inbox.plays(id) {
			panic(cannotRun{"a session was not set up before the disruption: " + id})
		}
	}
}
