// Package header reads RTSP's header lines. It is by hand, as its parser is: its
// fields are slices of the read buffer.
package header

import "bytes"

var crlf = []byte("\r\n")

// Field is one header line. Its slices are those of the buffer parsed.
type Field struct{ Name, Value []byte }

// Fields is a message's header.
type Fields []Field

// Parse adds the lines of b, each ending in CRLF, to l. It tells whether all
// are well formed.
func (l Fields) Parse(b []byte) (Fields, bool) {
	for len(b) > 0 {
		var line []byte
		line, b, _ = bytes.Cut(b, crlf)
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t") {
			return l, false
		}
		l = append(l, Field{name, bytes.TrimSpace(value)})
	}
	return l, true
}

// Get returns the value of the first field of that name, or nil.
func (l Fields) Get(name string) []byte {
	for _, f := range l {
		if len(f.Name) == len(name) && bytes.EqualFold(f.Name, []byte(name)) {
			return f.Value
		}
	}
	return nil
}

// ContentLength reads Content-ContentLength: 0 if there is none. Several must agree.
func (l Fields) ContentLength() (int, bool) {
	length, found := 0, false
	for _, f := range l {
		if !bytes.EqualFold(f.Name, []byte("Content-Length")) {
			continue
		}
		n, ok := ParseDecimal(f.Value)
		if !ok || found && int(n) != length {
			return 0, false
		}
		length, found = int(n), true
	}
	return length, true
}

// ParseDecimal reads a decimal number of at most 9 digits.
func ParseDecimal(b []byte) (uint64, bool) {
	if len(b) == 0 || len(b) > 9 {
		return 0, false
	}
	n := uint64(0)
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + uint64(c-'0')
	}
	return n, true
}
