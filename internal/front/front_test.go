// Package front_test tests each front for the behavior that all of them share.
package front_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"millethinge/internal/broker"
	"millethinge/internal/front/jsonl"
	"millethinge/internal/front/message"
	"millethinge/internal/front/peer"
	"millethinge/internal/front/websocket"
)

// testTimeout bounds how long a test waits. It is generous: the result of a test does not
// depend on anything shorter.
const testTimeout = 20 * time.Second

// fakeBroker is a broker that takes set-ups and never answers them.
type fakeBroker struct {
	requests     chan broker.Request
	goneWhenLost chan bool // what Gone returns when Lost is called
}

func (c fakeBroker) Submit(r broker.Request) bool { c.requests <- r; return true }
func (c fakeBroker) End(broker.ViewerEnd) bool    { return true }
func (c fakeBroker) Lost(l broker.Client)         { c.goneWhenLost <- l.Gone(1) }

const (
	setupMessage     = `{"type":"setup","id":"0000000000000001","fields":{"class":"feed","left":"900","key":"1","extras":"home:0;copies:1;top:0"},"sdp":""}`
	releaseMessage   = `{"type":"release","id":"000000000000000%d","fields":{},"cause":16}`
	handshakeRequest = "GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n" +
		"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"
)

// clientFrame encodes a frame from a client. Its mask is zero, so the payload stays as it is.
func clientFrame(opcode byte, text string) string {
	size := string([]byte{0x80 | byte(len(text))})
	if len(text) > 125 { // the length has to take the shortest form that holds it
		size = string([]byte{0x80 | 126, byte(len(text) >> 8), byte(len(text))})
	}
	return string([]byte{0x80 | opcode}) + size + "\x00\x00\x00\x00" + text
}

// Gone reports promptly that a client has gone, to any goroutine, however full the broker's
// mailbox is, and at the latest when the front calls Lost.
func TestGoneReportedPromptly(t *testing.T) {
	leave := map[string]func(c *net.TCPConn, send func(string)){
		"close":       func(c *net.TCPConn, _ func(string)) { c.Close() },
		"reset":       func(c *net.TCPConn, _ func(string)) { c.SetLinger(0); c.Close() },
		"half close":  func(c *net.TCPConn, _ func(string)) { c.CloseWrite() },
		"release":     func(_ *net.TCPConn, send func(string)) { send(fmt.Sprintf(releaseMessage, 1)) },
		"close frame": func(c *net.TCPConn, _ func(string)) { io.WriteString(c, clientFrame(8, "")+"\n") }, // malformed input for the JSON-lines front
	}
	for front, isJSONL := range map[string]bool{"jsonl": true, "websocket": false} {
		fake := fakeBroker{make(chan broker.Request, 1), make(chan bool, 1)}
		decoder := message.SetupDecoder{Classes: []string{"feed"}, Cells: 1, MaxTimeLeft: time.Second}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		serve := (&websocket.Front{Broker: fake, Decoder: decoder, Path: "/", Limits: peer.Limits{MaxConns: 9}, Log: zap.NewNop()}).Serve
		if isJSONL {
			serve = (&jsonl.Front{Broker: fake, Decoder: decoder, Limits: peer.Limits{MaxConns: 9}, Log: zap.NewNop()}).Serve
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- serve(ctx, l) }()
		for how, leave := range leave {
			nc, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			send := func(m string) { io.WriteString(nc, m+"\n") }
			if !isJSONL {
				io.WriteString(nc, handshakeRequest)
				send = func(m string) { io.WriteString(nc, clientFrame(1, m)) }
			}
			send(setupMessage)
			request := <-fake.requests
			send(fmt.Sprintf(releaseMessage, 2)) // of another session
			for _, kind := range []broker.ReplyKind{broker.ReplyEnded, broker.ReplyMoved, broker.ReplyClosed} {
				request.Client.Deliver(broker.Reply{Kind: kind, ID: 1}) // an earlier session with that id ends
			}
			if request.Client.Gone(1) {
				t.Errorf("%s: gone before the client left by %s", front, how)
			}
			leave(nc.(*net.TCPConn), send)
			for deadline := time.Now().Add(testTimeout); !request.Client.Gone(1); time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Errorf("%s: not gone after %s", front, how)
					break
				}
			}
			if how == "release" {
				nc.Close()
			}
			if !<-fake.goneWhenLost {
				t.Errorf("%s: not gone when Lost is called after %s", front, how)
			}
			nc.Close()
		}
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}
