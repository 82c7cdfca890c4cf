package websocket

import (
	"bytes"
	"errors"
	"testing"
)

// helloFrame is the masked text frame of RFC 6455, section 5.7.
var helloFrame = []byte{0x81, 0x85, 0x37, 0xfa, 0x21, 0x3d, 0x7f, 0x9f, 0x4d, 0x51, 0x58}

func TestParseFrame(t *testing.T) {
	var f frame
	for cut := range helloFrame {
		in := bytes.Clone(helloFrame[:cut])
		if n, err := parseFrame(in, &f); n != 0 || err != nil || !bytes.Equal(in, helloFrame[:cut]) {
			t.Fatalf("%d bytes: %d, %v", cut, n, err)
		}
	}
	n, err := parseFrame(append(bytes.Clone(helloFrame), 0x81), &f)
	if err != nil || n != len(helloFrame) || !f.fin || f.opcode != opText || string(f.payload) != "Hello" {
		t.Errorf("%d, %v, %+v", n, err, f)
	}
	if b := appendFrame(nil, opText, make([]byte, 256)); len(b) != 260 || b[1] != 126 || b[2] != 1 {
		t.Errorf("% x", b[:4])
	}
}

func TestInvalidFrames(t *testing.T) {
	for name, e := range map[string]struct {
		in   []byte
		code closeError
	}{
		"not masked":         {[]byte{0x81, 0x05}, closeProtocol},
		"reserved bit":       {[]byte{0xc1, 0x85}, closeProtocol},
		"unknown opcode":     {[]byte{0x83, 0x85}, closeProtocol},
		"unknown control":    {[]byte{0x8b, 0x80}, closeProtocol},
		"control in parts":   {[]byte{0x09, 0x80}, closeProtocol},
		"long control":       {[]byte{0x89, 0xfe}, closeProtocol},
		"length not minimal": {[]byte{0x81, 0xfe, 0, 1}, closeProtocol},
		"length too large":   {[]byte{0x81, 0xff, 0, 0, 0, 0, 0, 1, 0, 0}, closeTooBig},
	} {
		var code closeError
		if _, err := parseFrame(e.in, new(frame)); !errors.As(err, &code) || code != e.code {
			t.Errorf("%s: %v", name, err)
		}
	}
	for _, p := range [][]byte{{3}, {0x03, 0xed}, {0, 1}, {0xff, 0xff}, {0x03, 0xe8, 0xff}} {
		if _, err := parseCloseCode(p); err == nil {
			t.Errorf("no error for the close payload % x", p)
		}
	}
}

func FuzzFrame(f *testing.F) {
	f.Add(helloFrame)
	f.Fuzz(func(t *testing.T, in []byte) {
		var fr frame
		if n, err := parseFrame(in, &fr); n < 0 || n > len(in) || err != nil && n != 0 {
			t.Errorf("%d of %d bytes, %v", n, len(in), err)
		}
	})
}
