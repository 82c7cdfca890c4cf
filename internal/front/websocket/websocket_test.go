package websocket

import (
	"bytes"
	"strings"
	"testing"

	"millethinge/internal/http1"
)

const opening = "GET /play?x HTTP/1.1\r\nHost: x\r\nUpgrade: WebSocket\r\nConnection: Upgrade\r\n" +
	"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"

func TestHandshake(t *testing.T) {
	for _, e := range []struct{ from, to, want string }{
		{"", "", "101 "},
		{"GET", "POST", "405 "},
		{"/play", "/", "404 "},
		{"Upgrade: WebSocket", "Upgrade: h2c", "426 "},
		{"13", "8", "426 "},
		{"dGhlIHNhbXBsZSBub25jZQ==", "c2hvcnQ=", "400 "},
		{"Host: x\r\n", "", "400 "},
	} {
		var req http1.Message
		if _, err := http1.Parse([]byte(strings.Replace(opening, e.from, e.to, 1)), &req, 0); err != nil {
			t.Fatal(err)
		}
		got, ok := handshake(&req, "/play")
		if !bytes.HasPrefix(got, []byte("HTTP/1.1 "+e.want)) || ok != (e.want == "101 ") {
			t.Errorf("%s for %s: %q", e.to, e.from, got)
		}
	}
}

// A message in parts: control frames may come between, a second message not.
func TestFragments(t *testing.T) {
	ping := func(fin bool, op byte, text string) frame { return frame{fin, op, []byte(text)} }
	for name, e := range map[string]struct {
		frames []frame
		want   error
	}{
		"bare continuation": {[]frame{ping(true, opContinue, "x")}, closeError(closeProtocol)},
		"text within text":  {[]frame{ping(false, opText, "{"), ping(true, opText, "}")}, closeError(closeProtocol)},
		"binary":            {[]frame{ping(true, opBinary, "x")}, closeError(closeKind)},
		"not UTF-8":         {[]frame{ping(false, opText, "\xc3"), ping(true, opContinue, "(")}, closeError(closeInvalid)},
		"no message":        {[]frame{ping(true, opText, "{}")}, closeError(closeProtocol)},
		"too long":          {[]frame{ping(false, opText, strings.Repeat("x", 10000)), ping(true, opContinue, strings.Repeat("x", 10000))}, closeError(closeTooBig)},
		"in parts":          {[]frame{ping(false, opText, `{"type":`), ping(true, opPong, ""), ping(true, opContinue, `"progress"}`)}, nil},
	} {
		c := &conn{front: &Front{}}
		var err error
		for i := range e.frames {
			if err == nil {
				err = c.frame(&e.frames[i])
			}
		}
		if err != e.want {
			t.Errorf("%s: %v, want %v", name, err, e.want)
		}
	}
}
