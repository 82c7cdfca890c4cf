package stream

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

func readLines(r *Reader) (out []string, err error) {
	for {
		var line string
		err := r.Next(func(b []byte) (int, error) {
			i := bytes.IndexByte(b, '\n')
			line = string(b[:max(i, 0)])
			return i + 1, nil
		})
		if err != nil {
			return out, err
		}
		out = append(out, line)
	}
}

func TestMessagesSplitAcrossReads(t *testing.T) {
	long := strings.Repeat("x", 5000)
	for _, wrap := range []func(io.Reader) io.Reader{iotest.OneByteReader, iotest.HalfReader, iotest.DataErrReader} {
		got, err := readLines(NewReader(wrap(strings.NewReader("a\n\n"+long+"\nb\n")), 8192))
		if err != io.EOF || len(got) != 4 || got[0] != "a" || got[2] != long || got[3] != "b" {
			t.Errorf("%d lines, %v", len(got), err)
		}
	}
	if _, err := readLines(NewReader(strings.NewReader("half"), 100)); err != io.ErrUnexpectedEOF {
		t.Error(err)
	}
	if _, err := readLines(NewReader(strings.NewReader(long), 4096)); !errors.Is(err, ErrTooLong) {
		t.Error(err)
	}
}
