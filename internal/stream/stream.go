// Package stream splits a byte stream into messages. A message is a slice of the read
// buffer and is valid until the next one is read.
package stream

import (
	"errors"
	"io"
)

// ErrTooLong reports a message that exceeds the maximum size.
var ErrTooLong = errors.New("stream: message too long")

// Reader splits a stream into messages.
type Reader struct {
	src        io.Reader
	buf        []byte
	maxSize    int
	start, end int // of the data in buf that is not consumed yet
}

// NewReader returns a Reader for messages of at most maxSize bytes. The buffer starts
// smaller, since most connections carry only short messages.
func NewReader(src io.Reader, maxSize int) *Reader {
	return &Reader{src: src, buf: make([]byte, min(maxSize, 2048)), maxSize: maxSize}
}

// Next passes the buffered data to parse and reads more until parse consumes some of it.
// parse returns how many bytes it consumed, or 0 if it needs more. Next returns the first
// error of parse or of reading: io.EOF only if no data is left over.
func (r *Reader) Next(parse func([]byte) (int, error)) error {
	for {
		if r.start < r.end {
			n, err := parse(r.buf[r.start:r.end])
			if err != nil {
				return err
			}
			if n > 0 {
				r.start += n
				return nil
			}
		}
		if err := r.fill(); err != nil {
			return err
		}
	}
}

// Buffered returns how many bytes have been read and not consumed yet.
func (r *Reader) Buffered() int { return r.end - r.start }

// fill reads more data into the buffer, which it compacts or grows as needed.
func (r *Reader) fill() error {
	if r.start > 0 {
		r.end = copy(r.buf, r.buf[r.start:r.end])
		r.start = 0
	}
	if r.end == len(r.buf) {
		if len(r.buf) >= r.maxSize {
			return ErrTooLong
		}
		r.buf = append(make([]byte, 0, min(2*len(r.buf), r.maxSize)), r.buf...)
		r.buf = r.buf[:cap(r.buf)]
	}
	n, err := r.src.Read(r.buf[r.end:])
	r.end += n
	if n > 0 {
		return nil
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	if err == io.EOF && r.end > 0 {
		err = io.ErrUnexpectedEOF
	}
	return err
}
