package directory

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"time"
)

const (
	maxBodyBytes   = 4 << 20  // bytes of an answer's text
	maxHeaderBytes = 16 << 10 // bytes of its head
)

// responseReader reads HTTP answers off a connection.
type responseReader struct {
	conn     io.Reader
	connErr  error            // of conn
	limited  io.LimitedReader // for an answer's head; it reads from answers
	buffered *bufio.Reader
	body     bytes.Buffer
}

func newResponseReader(conn io.Reader) *responseReader {
	r := &responseReader{conn: conn}
	r.limited.R = r
	r.buffered = bufio.NewReader(&r.limited)
	return r
}

// Read reads conn. It keeps its error, which net/http loses in a status line.
func (r *responseReader) Read(b []byte) (n int, err error) {
	n, r.connErr = r.conn.Read(b)
	return n, r.connErr
}

var errTooLarge = errors.New("too long")

// next returns an answer's status and its text, which is valid until the next call.
// Last: nothing more comes on the connection.
func (r *responseReader) next() (status int, body []byte, connEnds bool, err error) {
	r.limited.N = maxHeaderBytes
	response, err := http.ReadResponse(r.buffered, nil)
	switch {
	case err != nil && r.limited.N <= 0:
		return 0, nil, false, errTooLarge
	case err != nil:
		return 0, nil, false, cmp.Or(r.connErr, err)
	case response.ContentLength > maxBodyBytes:
		return 0, nil, false, errTooLarge
	}
	r.limited.N = math.MaxInt64
	r.body.Reset()
	// Guard: the body is not closed, as that would read on. It holds nothing.
	_, err = r.body.ReadFrom(io.LimitReader(response.Body, maxBodyBytes+1))
	switch {
	case r.body.Len() > maxBodyBytes:
		return 0, nil, false, errTooLarge
	case err != nil:
		return 0, nil, false, cmp.Or(r.connErr, err)
	}
	return response.StatusCode, r.body.Bytes(), response.Close, nil
}

// pollError is what ended a poll that the coordinator was to hold for wait.
func pollError(addr string, maxWait time.Duration, err error) error {
	var opErr *net.OpError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &TimeoutError{addr, maxWait}
	case errors.As(err, &opErr), err == io.EOF:
		return &ConnClosedError{addr, err}
	}
	return &ResponseError{addr, maxBodyBytes, err}
}
