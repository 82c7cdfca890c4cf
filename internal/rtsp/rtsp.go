// Package rtsp reads and writes the RTSP/1.0 messages (RFC 2326) that session
// managers and media nodes exchange.
//
// Its parser is the project's own, as the operators' brief asks of the nodes' wire.
// A message is slices of the read buffer; docs/libraries.md has what net/textproto
// would cost.
package rtsp

import (
	"bytes"
	"errors"
	"strconv"

	"millethinge/internal/header"
)

// MaxMessageSize is the longest message, head and body.
const MaxMessageSize = 16 << 10

// ErrSyntax reports bytes that are no RTSP message.
var ErrSyntax = errors.New("rtsp: malformed message")

var (
	version   = []byte("RTSP/1.0")
	crlf      = []byte("\r\n")
	headerEnd = []byte("\r\n\r\n")
)

// Message is a request, which has a Method, or a response, which has a Status.
// Its slices are those of the buffer that was parsed.
type Message struct {
	Method  []byte
	URI     []byte
	Status  int
	Headers header.Fields
	Body    []byte
}

// Get returns the value of a header, or nil.
func (m *Message) Get(name string) []byte { return m.Headers.Get(name) }

// Parse reads one message from the start of b into m, whose header list it
// reuses. It returns the message's length, or 0 if b ends before it does.
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

// AppendRequest starts a request; headers and Finish follow.
func AppendRequest(b []byte, method, uri string) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, uri...)
	return append(b, " RTSP/1.0\r\n"...)
}

// AppendResponse starts a response.
func AppendResponse(b []byte, code int, reason string) []byte {
	b = append(b, "RTSP/1.0 "...)
	b = strconv.AppendInt(b, int64(code), 10)
	b = append(b, ' ')
	b = append(b, reason...)
	return append(b, crlf...)
}

// AppendHeader adds a header line. It drops line ends, so that a value can't
// begin a line of its own.
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

// AppendBody adds the body's length, the end of the head, and the body.
func AppendBody(b, body []byte) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	b = append(b, headerEnd...)
	return append(b, body...)
}
