package rtsp

import (
	"bytes"
	"strings"
	"testing"
)

const setUpMessage = "SETUP rtsp://media/7f RTSP/1.0\r\nCSeq: 1\r\nsession:  9b1f \r\nContent-Length: 3\r\n\r\nabc"

func TestParse(t *testing.T) {
	var m Message
	for cut := range len(setUpMessage) {
		if n, err := Parse([]byte(setUpMessage[:cut]), &m); n != 0 || err != nil {
			t.Fatalf("%d bytes: %d, %v", cut, n, err)
		}
	}
	n, err := Parse([]byte(setUpMessage+"RTSP/1.0"), &m)
	if err != nil || n != len(setUpMessage) || string(m.Method) != "SETUP" || string(m.URI) != "rtsp://media/7f" ||
		string(m.Get("Session")) != "9b1f" || string(m.Body) != "abc" {
		t.Errorf("%d, %v, %+v", n, err, m)
	}
	n, err = Parse([]byte("RTSP/1.0 453 Not Enough Bandwidth\r\n\r\n"), &m)
	if err != nil || n == 0 || m.Status != 453 || m.Method != nil || m.Body == nil {
		t.Errorf("%d, %v, %+v", n, err, m)
	}
}

func TestParseMalformed(t *testing.T) {
	for _, s := range []string{
		"\r\n\r\n", "SETUP x\r\n\r\n", "SETUP x RTSP/2.0\r\n\r\n", "RTSP/1.0 99 x\r\n\r\n", "RTSP/1.0 x\r\n\r\n",
		"A b RTSP/1.0\r\nno colon\r\n\r\n", "A b RTSP/1.0\r\nname : x\r\n\r\n", "A b RTSP/1.0\r\nContent-Length: -1\r\n\r\n",
		"A b RTSP/1.0\r\nContent-Length: 99999\r\n\r\n", "A b RTSP/1.0\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
		strings.Repeat("x", MaxMessageSize),
	} {
		if n, err := Parse([]byte(s), new(Message)); err == nil {
			t.Errorf("%.30q: %d bytes, no error", s, n)
		}
	}
}

func TestAppendHeaderDropsLineEnds(t *testing.T) {
	b := AppendBody(AppendHeader(AppendRequest(nil, "A", "b"), "X", "1\r\nY: 2"), nil)
	var m Message
	if n, err := Parse(b, &m); err != nil || n != len(b) || m.Get("Y") != nil || string(m.Get("X")) != "1Y: 2" {
		t.Errorf("%q: %+v, %v", b, m, err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(setUpMessage))
	f.Add([]byte("RTSP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		var m Message
		n, err := Parse(in, &m)
		if n < 0 || n > len(in) || n > MaxMessageSize || err != nil && n != 0 {
			t.Errorf("%d of %d bytes, %v", n, len(in), err)
		}
		if n > 0 && !bytes.HasSuffix(in[:n], m.Body) {
			t.Error("the body is not the message's end")
		}
	})
}
