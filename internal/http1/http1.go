// Package http1 reads HTTP/1.1 messages (RFC 9112) as far as the coordinator's
// long poll and the WebSocket handshake need them.
package http1

import (
	"bytes"
	"errors"

	"millethinge/internal/header"
)

// ErrSyntax reports bytes that are no HTTP/1.1 message, or one too long.
var ErrSyntax = errors.New("http1: malformed message")

const maxHead = 16 << 10

var (
	lineEnd = []byte("\r\n")
	headEnd = []byte("\r\n\r\n")
)

// Message is a request, which has a Method, or a response, which has a Status.
// Its slices are those of the buffer that was parsed, but for a chunked body.
type Message struct {
	Method  []byte
	Target  []byte
	Status  int
	Headers header.List
	Body    []byte
	Close   bool // the sender closes the connection after it
}

// Get returns the value of the first header of that name, or nil.
func (m *Message) Get(name string) []byte { return m.Headers.Get(name) }

// HasToken tells whether a header's comma-separated list has a token, in any
// of its lines and whatever the case.
func (m *Message) HasToken(name, token string) bool {
	for _, h := range m.Headers {
		if !bytes.EqualFold(h.Name, []byte(name)) {
			continue
		}
		for t := range bytes.SplitSeq(h.Value, []byte(",")) {
			if bytes.EqualFold(bytes.TrimSpace(t), []byte(token)) {
				return true
			}
		}
	}
	return false
}

// Parse reads one message with a body of up to limit bytes from the start of
// b. It returns the message's length, or 0 if b ends before it does.
func Parse(b []byte, m *Message, limit int) (int, error) {
	*m = Message{Headers: m.Headers[:0]}
	head := bytes.Index(b, headEnd)
	if head < 0 {
		if len(b) > maxHead {
			return 0, ErrSyntax
		}
		return 0, nil
	}
	if head > maxHead {
		return 0, ErrSyntax
	}
	line, rest, _ := bytes.Cut(b[:head+len(lineEnd)], lineEnd)
	if !m.startLine(line) {
		return 0, ErrSyntax
	}
	var ok bool
	if m.Headers, ok = m.Headers.Parse(rest); !ok {
		return 0, ErrSyntax
	}
	length, ok := m.Headers.Length()
	if !ok || length > limit {
		return 0, ErrSyntax
	}
	m.Close = m.Close || m.HasToken("Connection", "close")
	at := head + len(headEnd)
	if m.HasToken("Transfer-Encoding", "chunked") {
		return m.chunks(b, at, limit)
	}
	if len(b) < at+length {
		return 0, nil
	}
	m.Body = b[at : at+length]
	return at + length, nil
}

func (m *Message) startLine(line []byte) bool {
	a, rest, ok := bytes.Cut(line, []byte(" "))
	if !ok || len(a) == 0 {
		return false
	}
	if bytes.HasPrefix(a, []byte("HTTP/1.")) {
		code, _, _ := bytes.Cut(rest, []byte(" "))
		n, ok := number(code, 10)
		m.Status = n
		m.Close = bytes.Equal(a, []byte("HTTP/1.0"))
		return ok && n >= 100 && n <= 599
	}
	target, v, ok := bytes.Cut(rest, []byte(" "))
	m.Method, m.Target = a, target
	return ok && len(target) > 0 && bytes.Equal(v, []byte("HTTP/1.1"))
}

// chunks reads a chunked body from at on.
func (m *Message) chunks(b []byte, at, limit int) (int, error) {
	for {
		i := bytes.Index(b[at:], lineEnd)
		if i < 0 {
			return 0, nil
		}
		size, _, _ := bytes.Cut(b[at:at+i], []byte(";"))
		n, ok := number(bytes.TrimSpace(size), 16)
		if !ok || n+len(m.Body) > limit {
			return 0, ErrSyntax
		}
		at += i + len(lineEnd)
		if len(b) < at+n+len(lineEnd) {
			return 0, nil
		}
		if !bytes.Equal(b[at+n:at+n+len(lineEnd)], lineEnd) {
			return 0, ErrSyntax // trailers are not used here
		}
		m.Body = append(m.Body, b[at:at+n]...)
		at += n + len(lineEnd)
		if n == 0 {
			return at, nil
		}
	}
}

func number(b []byte, base int) (int, bool) {
	if len(b) == 0 || len(b) > 8 {
		return 0, false
	}
	n := 0
	for _, c := range b {
		d := 99
		switch {
		case c >= '0' && c <= '9':
			d = int(c - '0')
		case c|0x20 >= 'a' && c|0x20 <= 'f':
			d = int(c|0x20-'a') + 10
		}
		if d >= base {
			return 0, false
		}
		n = n*base + d
	}
	return n, true
}
