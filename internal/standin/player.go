package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// playerTimeout bounds each read and write of a Player.
const playerTimeout = 20 * time.Second

// Player is a client of the session API over WebSocket (RFC 6455).
type Player struct {
	conn   *net.TCPConn
	reader *bufio.Reader
}

// PlayerMessage is a message that a Player receives.
type PlayerMessage struct {
	Type  string `json:"type"`
	ID    string `json:"id"`
	Cause int    `json:"cause"`
	SDP   string `json:"sdp"`
}

// DialPlayer connects to the WebSocket at the root path of addr.
func DialPlayer(addr string) (*Player, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	p := &Player{conn.(*net.TCPConn), bufio.NewReader(conn)}
	p.conn.SetDeadline(time.Now().Add(playerTimeout))
	fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: %s\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n", addr)
	response, err := http.ReadResponse(p.reader, nil)
	if err == nil && response.StatusCode != http.StatusSwitchingProtocols {
		err = fmt.Errorf("handshake answered with %s", response.Status)
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return p, nil
}

// Send sends one message of less than 64 KiB.
func (p *Player) Send(text string) error {
	mask := [4]byte{0x37, 0xfa, 0x21, 0x3d}
	frame := []byte{0x81, 0x80 | 126, byte(len(text) >> 8), byte(len(text))}
	if len(text) < 126 {
		frame = []byte{0x81, 0x80 | byte(len(text))}
	}
	frame = append(frame, mask[:]...)
	for i := range len(text) {
		frame = append(frame, text[i]^mask[i%len(mask)])
	}
	p.conn.SetWriteDeadline(time.Now().Add(playerTimeout))
	_, err := p.conn.Write(frame)
	return err
}

// Receive returns the next message, within the given time. It skips pings. An error means that
// the socket has ended or the time is up.
func (p *Player) Receive(within time.Duration) (m PlayerMessage, err error) {
	p.conn.SetReadDeadline(time.Now().Add(within))
	for {
		opcode, payload, err := p.readFrame()
		if err != nil {
			return m, err
		}
		switch opcode {
		case 1:
			return m, json.Unmarshal(payload, &m)
		case 8:
			return m, io.EOF
		}
	}
}

// readFrame reads one unfragmented frame of less than 64 KiB.
func (p *Player) readFrame() (opcode byte, payload []byte, err error) {
	var header [4]byte
	if _, err := io.ReadFull(p.reader, header[:2]); err != nil {
		return 0, nil, err
	}
	size := int(header[1])
	if size == 126 {
		if _, err := io.ReadFull(p.reader, header[2:]); err != nil {
			return 0, nil, err
		}
		size = int(header[2])<<8 | int(header[3])
	}
	payload = make([]byte, size)
	_, err = io.ReadFull(p.reader, payload)
	return header[0] & 0x0f, payload, err
}

// Lose breaks the connection without a closing handshake, as the loss of a network does.
func (p *Player) Lose() {
	p.conn.SetLinger(0)
	p.conn.Close()
}
