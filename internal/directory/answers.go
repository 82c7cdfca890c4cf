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
	maxPoll     = 4 << 20  // bytes of an answer's text
	maxPollHead = 16 << 10 // bytes of its head
)

// answers reads HTTP answers off a connection.
type answers struct {
	conn  io.Reader
	ended error            // of conn
	limit io.LimitedReader // for an answer's head; it reads from answers
	in    *bufio.Reader
	text  bytes.Buffer
}

func newAnswers(conn io.Reader) *answers {
	a := &answers{conn: conn}
	a.limit.R = a
	a.in = bufio.NewReader(&a.limit)
	return a
}

// Read reads conn. It keeps its error, which net/http loses in a status line.
func (a *answers) Read(b []byte) (n int, err error) {
	n, a.ended = a.conn.Read(b)
	return n, a.ended
}

var errTooLong = errors.New("too long")

// next returns an answer's status and its text, which is valid until the next call.
// Last: nothing more comes on the connection.
func (a *answers) next() (status int, text []byte, last bool, err error) {
	a.limit.N = maxPollHead
	res, err := http.ReadResponse(a.in, nil)
	switch {
	case err != nil && a.limit.N <= 0:
		return 0, nil, false, errTooLong
	case err != nil:
		return 0, nil, false, cmp.Or(a.ended, err)
	case res.ContentLength > maxPoll:
		return 0, nil, false, errTooLong
	}
	a.limit.N = math.MaxInt64
	a.text.Reset()
	// Guard: the body is not closed, as that would read on. It holds nothing.
	_, err = a.text.ReadFrom(io.LimitReader(res.Body, maxPoll+1))
	switch {
	case a.text.Len() > maxPoll:
		return 0, nil, false, errTooLong
	case err != nil:
		return 0, nil, false, cmp.Or(a.ended, err)
	}
	return res.StatusCode, a.text.Bytes(), res.Close, nil
}

// broken is what ended a poll that the coordinator was to hold for wait.
func broken(addr string, wait time.Duration, err error) error {
	var op *net.OpError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &TimeoutError{addr, wait}
	case errors.As(err, &op), err == io.EOF:
		return &ConnClosedError{addr, err}
	}
	return &ResponseError{addr, maxPoll, err}
}
