// Package stream reads messages off a byte stream. A message is a slice of
// the buffer that it was read into, valid until the next one is asked for.
package stream

import (
	"errors"
	"io"
)

// ErrTooLong reports a message that does not end within the buffer.
var ErrTooLong = errors.New("stream: message too long")

// Reader cuts a stream into messages.
type Reader struct {
	src        io.Reader
	buf        []byte
	maxSize    int
	start, end int
}

// NewReader returns a Reader for messages of at most size bytes. The buffer
// starts small: most connections carry short messages only.
func NewReader(src io.Reader, maxSize int) *Reader {
	return &Reader{src: src, buf: make([]byte, min(maxSize, 2048)), maxSize: maxSize}
}

// Next calls parse on what has been read, reading on until parse consumes
// something: it returns how many bytes it took, 0 if it needs more.
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

// Buffered is how many bytes have been read and not been taken.
func (r *Reader) Buffered() int { return r.end - r.start }

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
