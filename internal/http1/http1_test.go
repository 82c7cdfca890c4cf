package http1

import (
	"strings"
	"testing"
)

const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n"

func TestParse(t *testing.T) {
	var m Message
	for cut := range len(chunked) {
		if n, err := Parse([]byte(chunked[:cut]), &m, 100); n != 0 || err != nil {
			t.Fatalf("%d bytes: %d, %v", cut, n, err)
		}
	}
	if n, err := Parse([]byte(chunked+"HTTP"), &m, 100); err != nil || n != len(chunked) || string(m.Body) != "abcde" {
		t.Errorf("%d, %v, %q", n, err, m.Body)
	}
	req := "GET /a?b HTTP/1.1\r\nConnection: keep-alive, Upgrade\r\n\r\n"
	if n, err := Parse([]byte(req), &m, 0); err != nil || n != len(req) || string(m.Target) != "/a?b" ||
		!m.HasToken("connection", "upgrade") || m.HasToken("connection", "up") || m.Close {
		t.Errorf("%d, %v, %+v", n, err, m)
	}
	res := "HTTP/1.0 404 Not Found\r\ncontent-length: 2\r\n\r\nno"
	if n, err := Parse([]byte(res), &m, 2); err != nil || n != len(res) || m.Status != 404 || !m.Close || string(m.Body) != "no" {
		t.Errorf("%d, %v, %+v", n, err, m)
	}
}

func TestMalformed(t *testing.T) {
	for _, s := range []string{
		"\r\n\r\n", "GET / HTTP/2\r\n\r\n", "GET  HTTP/1.1\r\n\r\n", "HTTP/1.1 x OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 1x\r\n\r\n",
		"HTTP/1.1 200 OK\r\n bad: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", strings.Repeat("x", maxHead+1),
	} {
		if n, err := Parse([]byte(s), new(Message), 8); err == nil {
			t.Errorf("%.30q: %d bytes, no error", s, n)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(chunked))
	f.Fuzz(func(t *testing.T, in []byte) {
		var m Message
		if n, err := Parse(in, &m, 100); n < 0 || n > len(in) || len(m.Body) > 100 || err != nil && n != 0 {
			t.Errorf("%d of %d bytes, %v", n, len(in), err)
		}
	})
}
