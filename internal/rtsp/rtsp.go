// Package rtsp reads and writes the RTSP/1.0 messages (RFC 2326) that session
// managers and media nodes exchange.
//
// The parser is hand-written, as the operators' brief requires for the protocol of the media
// nodes. A parsed message consists of slices of the read buffer; docs/libraries.md says what
// net/textproto would cost in comparison.
package rtsp

import (
	"bytes"
	"errors"
	"strconv"

	"millethinge/internal/header"
)

// MaxMessageSize is the maximum size of a message with its body, in bytes.
const MaxMessageSize = 16 << 10

// ErrSyntax reports input that is not an RTSP message.
var ErrSyntax = errors.New("rtsp: malformed message")

var (
	version   = []byte("RTSP/1.0")
	crlf      = []byte("\r\n")
	headerEnd = []byte("\r\n\r\n")
)

// Message is a request or a response. Its slices refer to the buffer that was parsed.
type Message struct {
	Method  []byte // nil in a response
	URI     []byte // nil in a response
	Status  int    // 0 in a request
	Headers header.Fields
	Body    []byte
}

// Get returns the value of the first header field of that name, or nil.
func (m *Message) Get(name string) []byte { return m.Headers.Get(name) }

// Parse parses one message from the start of b into m, reusing the storage of m.Headers. It
// returns the message's length, or 0 if b does not hold all of the message yet.
func Parse(b []byte, m *Message) (int, error) {
	headers := m.Headers[:0]
	*m = Message{}
	headLen := bytes.Index(b, headerEnd)
	if headLen < 0 {
		if len(b) >= MaxMessageSize {
			return 0, ErrSyntax
		}
		return 0, nil
	}
	line, rest, _ := bytes.Cut(b[:headLen+len(crlf)], crlf)
	if err := m.parseStartLine(line); err != nil {
		return 0, err
	}
	var ok bool
	if m.Headers, ok = headers.Parse(rest); !ok {
		return 0, ErrSyntax
	}
	length, ok := m.Headers.ContentLength()
	if !ok || length > MaxMessageSize {
		return 0, ErrSyntax
	}
	total := headLen + len(headerEnd) + length
	if total > MaxMessageSize {
		return 0, ErrSyntax
	}
	if len(b) < total {
		return 0, nil
	}
	m.Body = b[headLen+len(headerEnd) : total]
	return total, nil
}

// parseStartLine parses a request line or a status line.
func (m *Message) parseStartLine(line []byte) error {
	first, rest, ok := bytes.Cut(line, []byte(" "))
	if !ok || len(first) == 0 {
		return ErrSyntax
	}
	if bytes.Equal(first, version) {
		code, _, _ := bytes.Cut(rest, []byte(" "))
		n, ok := header.ParseDecimal(code)
		if !ok || n < 100 || n > 599 {
			return ErrSyntax
		}
		m.Status = int(n)
		return nil
	}
	uri, last, ok := bytes.Cut(rest, []byte(" "))
	if !ok || len(uri) == 0 || !bytes.Equal(last, version) {
		return ErrSyntax
	}
	m.Method, m.URI = first, uri
	return nil
}

// AppendRequest appends the request line of a request. Calls of AppendHeader and one of
// AppendBody complete it.
func AppendRequest(b []byte, method, uri string) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, uri...)
	return append(b, " RTSP/1.0\r\n"...)
}

// AppendResponse appends the status line of a response. Calls of AppendHeader and one of
// AppendBody complete it.
func AppendResponse(b []byte, code int, reason string) []byte {
	b = append(b, "RTSP/1.0 "...)
	b = strconv.AppendInt(b, int64(code), 10)
	b = append(b, ' ')
	b = append(b, reason...)
	return append(b, crlf...)
}

// AppendHeader appends a header line. It drops CR and LF from the value, so that a value
// can't inject another header line.
func AppendHeader(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	for i := 0; i < len(value); i++ {
		if c := value[i]; c != '\r' && c != '\n' {
			b = append(b, c)
		}
	}
	return append(b, crlf...)
}

// AppendBody appends the Content-Length header, the empty line that ends the header, and
// the body.
func AppendBody(b, body []byte) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	b = append(b, headerEnd...)
	return append(b, body...)
}
