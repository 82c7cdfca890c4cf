package main

import (
	"bufio"
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// socket is a player's WebSocket.
type socket struct {
	rig   *rig
	host  string
	conn  net.Conn
	inbox *inbox
	write sync.Mutex
	done  chan struct{}
}

// newSocket opens a WebSocket from a loopback host.
func (r *rig) newSocket(host, addr string, b *inbox) (*socket, error) {
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}}
	conn, err := dialer.DialContext(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	key := base64.StdEncoding.EncodeToString([]byte("review2 review2!"))
	fmt.Fprintf(conn, "GET /sessions HTTP/1.1\r\nHost: %s\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: %s\r\n\r\n", addr, key)
	reader := bufio.NewReader(conn)
	conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	for first := true; ; first = false {
		text, err := reader.ReadString('\n')
		if err == nil && first && !strings.Contains(text, " 101 ") {
			err = fmt.Errorf("handshake: %q", text)
		}
		if err != nil {
			conn.Close()
			return nil, err
		}
		if text == "\r\n" {
			break
		}
	}
	conn.SetReadDeadline(time.Time{})
	s := &socket{rig: r, host: host, conn: conn, inbox: b, done: make(chan struct{})}
	go s.read(reader)
	r.atEnd(func() { conn.Close() })
	return s, nil
}

func (s *socket) read(reader *bufio.Reader) {
	defer close(s.done)
	for {
		var head [2]byte
		if _, err := io.ReadFull(reader, head[:]); err != nil {
			return
		}
		size := int(head[1] & 127)
		if size == 126 {
			var long [2]byte
			if _, err := io.ReadFull(reader, long[:]); err != nil {
				return
			}
			size = int(binary.BigEndian.Uint16(long[:]))
		}
		payload := make([]byte, size)
		if _, err := io.ReadFull(reader, payload); err != nil {
			return
		}
		switch head[0] & 15 {
		case 1:
			var m message
			if json.Unmarshal(payload, &m) == nil {
				s.inbox.add(s.host, m)
			}
		case 8:
			return
		case 9:
			s.sendFrame(10, payload)
		}
	}
}

// frame returns one masked frame.
func frame(opcode byte, payload []byte) []byte {
	mask := []byte{1, 2, 3, 4}
	b := []byte{0x80 | opcode}
	if len(payload) < 126 {
		b = append(b, 0x80|byte(len(payload)))
	} else {
		b = binary.BigEndian.AppendUint16(append(b, 0x80|126), uint16(len(payload)))
	}
	b = append(b, mask...)
	for i, c := range payload {
		b = append(b, c^mask[i%4])
	}
	return b
}

func (s *socket) sendFrame(opcode byte, payload []byte) error {
	s.write.Lock()
	defer s.write.Unlock()
	_, err := s.conn.Write(frame(opcode, payload))
	return err
}

// send sends messages in one write.
func (s *socket) send(list ...message) error {
	var b []byte
	for _, m := range list {
		text, err := json.Marshal(m)
		must(err)
		b = append(b, frame(1, text)...)
		s.rig.note("player %s: sends %s of %s", s.host, m.Type, m.ID)
	}
	s.write.Lock()
	defer s.write.Unlock()
	_, err := s.conn.Write(b)
	return err
}

// lose breaks the socket as a lost network does.
func (s *socket) lose() {
	s.rig.note("player %s: its socket is lost", s.host)
	s.conn.(*net.TCPConn).SetLinger(0)
	s.conn.Close()
}
