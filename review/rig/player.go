package main

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// player is a client of the session API over WebSocket (RFC 6455).
type player struct {
	net.Conn
	rec  *recorder
	name string

	mu       sync.Mutex
	received []viewerMessage
	times    []time.Time
}

// dialPlayer connects and performs the opening handshake.
func dialPlayer(rec *recorder, name, addr, path string) (*player, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n", path, addr)
	r := bufio.NewReader(c)
	resp, err := http.ReadResponse(r, nil)
	if err != nil || resp.StatusCode != http.StatusSwitchingProtocols {
		c.Close()
		return nil, fmt.Errorf("handshake: %v, %v", resp, err)
	}
	rec.logf("%s: socket open", name)
	p := &player{Conn: c, rec: rec, name: name}
	go p.read(r)
	return p, nil
}

// writeFrame writes one masked frame.
func (p *player) writeFrame(opcode byte, payload []byte) {
	b := []byte{0x80 | opcode}
	if len(payload) < 126 {
		b = append(b, 0x80|byte(len(payload)))
	} else {
		b = binary.BigEndian.AppendUint16(append(b, 0x80|126), uint16(len(payload)))
	}
	mask := [4]byte{7, 11, 13, 17}
	b = append(b, mask[:]...)
	for i, c := range payload {
		b = append(b, c^mask[i%4])
	}
	p.Conn.Write(b)
}

func (p *player) send(m viewerMessage) {
	text, _ := json.Marshal(m)
	p.rec.logf("%s: sends %s", p.name, text)
	p.writeFrame(1, text)
}

func (p *player) setup(id, class, title string, copies int) {
	p.send(viewerMessage{Type: "setup", ID: id, SDP: "v=0\r\n", Fields: map[string]string{
		"class": class, "left": "3000", "key": title, "extras": fmt.Sprintf("home:0;copies:%d;top:3", copies)}})
}

func (p *player) read(r *bufio.Reader) {
	defer p.rec.logf("%s: socket ended", p.name)
	for {
		var head [2]byte
		if _, err := io.ReadFull(r, head[:]); err != nil {
			return
		}
		size := int(head[1] & 0x7f)
		if size == 126 {
			var ext [2]byte
			if _, err := io.ReadFull(r, ext[:]); err != nil {
				return
			}
			size = int(binary.BigEndian.Uint16(ext[:]))
		}
		payload := make([]byte, size)
		if _, err := io.ReadFull(r, payload); err != nil {
			return
		}
		switch head[0] & 0x0f {
		case 9:
			p.writeFrame(10, payload)
		case 1:
			p.rec.logf("%s: received %s", p.name, payload)
			var m viewerMessage
			if json.Unmarshal(payload, &m) == nil {
				p.mu.Lock()
				p.received, p.times = append(p.received, m), append(p.times, time.Now())
				p.mu.Unlock()
			}
		}
	}
}

// answers returns the messages received for a session.
func (p *player) answers(id string) (list []viewerMessage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.received {
		if m.ID == id {
			list = append(list, m)
		}
	}
	return list
}

// lose breaks the socket, as a lost network does: without a closing handshake.
func (p *player) lose() {
	p.rec.logf("%s: socket lost", p.name)
	p.Conn.(*net.TCPConn).SetLinger(0)
	p.Conn.Close()
}
