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
	maxBodyBytes   = 4 << 20  // of a response's body
	maxHeaderBytes = 16 << 10 // of a response's status line and header
)

// responseReader reads HTTP responses from a connection.
type responseReader struct {
	conn     io.Reader
	connErr  error            // of the last read of conn
	limited  io.LimitedReader // limits a response's header; reads from the responseReader itself
	buffered *bufio.Reader    // reads from limited
	body     bytes.Buffer
}

// newResponseReader returns a responseReader that reads from conn.
func newResponseReader(conn io.Reader) *responseReader {
	r := &responseReader{conn: conn}
	r.limited.R = r
	r.buffered = bufio.NewReader(&r.limited)
	return r
}

// Read reads from conn and keeps the error, which net/http drops while it reads a status line.
func (r *responseReader) Read(b []byte) (n int, err error) {
	n, r.connErr = r.conn.Read(b)
	return n, r.connErr
}

// errTooLarge reports a response over maxHeaderBytes or maxBodyBytes.
var errTooLarge = errors.New("too large")

// next returns a response's status and its body, which is valid until the next call. connEnds
// reports whether this is the connection's last response.
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
	// Guard: the body is not closed, since Close would read on. It holds no resources.
	_, err = r.body.ReadFrom(io.LimitReader(response.Body, maxBodyBytes+1))
	switch {
	case r.body.Len() > maxBodyBytes:
		return 0, nil, false, errTooLarge
	case err != nil:
		return 0, nil, false, cmp.Or(r.connErr, err)
	}
	return response.StatusCode, r.body.Bytes(), response.Close, nil
}

// classifyPollError returns the error for a poll that failed with err. maxWait is the longest
// time that the coordinator could hold the poll, waited the time for which it was awaited.
func classifyPollError(addr string, maxWait, waited time.Duration, err error) error {
	var opErr *net.OpError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &TimeoutError{addr, maxWait, waited}
	case errors.As(err, &opErr), err == io.EOF:
		return &ConnClosedError{addr, err}
	}
	return &ResponseError{addr, maxBodyBytes, err}
}
