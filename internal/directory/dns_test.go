package directory

import (
	"bytes"
	"strings"
	"testing"

	"golang.org/x/net/dns/dnsmessage"
)

// asked is the question that reply answers: PTR of a.ex.
var asked = dnsmessage.Message{Header: dnsmessage.Header{ID: 1}, Questions: []dnsmessage.Question{
	{Name: dnsmessage.MustNewName("a.ex."), Type: dnsmessage.TypePTR, Class: dnsmessage.ClassINET}}}

// counts of a reply with one question, and the question.
func head(flags, answers, others, more string) string {
	return "\x00\x01" + flags + "\x00\x01\x00" + answers + "\x00" + others + "\x00" + more + "\x01A\x02ex\x00\x00\x0c\x00\x01"
}

const (
	in  = "\x00\x01\x00\x00\x00\x05" // class and TTL
	ptr = "\xc0\x0c\x00\x0c" + in + "\x00\x04\x01b\xc0\x0e"
)

// What can be read of an answer is used: names that point back, in any case, without
// the authorities. A name with a dot within a label is left out alone.
func TestParseDNSResponse(t *testing.T) {
	dotted := "\xc0\x0c\x00\x0c" + in + "\x00\x06\x03b.c\xc0\x0e"
	owner := "\x03b.c\xc0\x0e\x00\x0c" + in + "\x00\x02\xc0\x0c"
	text := head("\x80\x00", "\x02", "\x01", "\x02") + dotted + ptr + ptr + owner + ptr
	m, err := parseReply([]byte(text), &asked)
	if err != nil || len(m.records) != 2 || len(m.left) != 2 {
		t.Fatalf("%+v, %v", m, err)
	}
	for _, r := range m.records {
		if b, ok := r.Body.(*dnsmessage.PTRResource); !ok || key(r.Header.Name) != "a.ex" || key(b.PTR) != "b.ex" {
			t.Errorf("%+v", r)
		}
	}
	if m, err := parseReply([]byte(head("\x82\x00", "\x01", "\x00", "\x00")), &asked); err != nil || !m.Truncated {
		t.Errorf("%+v, %v", m, err)
	}
}

func TestParseDNSResponseErrors(t *testing.T) {
	whole := head("\x80\x00", "\x01", "\x00", "\x00") + ptr
	for cut := range len(whole) {
		if m, err := parseReply([]byte(whole[:cut]), &asked); err == nil {
			t.Errorf("%d bytes: %+v", cut, m)
		}
	}
	for what, change := range map[string][2]string{
		"a query":         {"\x80\x00", "\x00\x00"},
		"another id":      {"\x00\x01", "\x00\x02"},
		"another name":    {"\x01A", "\x01b"},
		"another type":    {"ex\x00\x00\x0c", "ex\x00\x00\x01"},
		"no second":       {"\x00\x01\x00\x00", "\x00\x02\x00\x00"},
		"pointer to self": {"\xc0\x0c", "\xc0\x16"},
	} {
		text := strings.Replace(whole, change[0], change[1], 1)
		if m, err := parseReply([]byte(text), &asked); text == whole || err == nil && len(m.left) == 0 {
			t.Errorf("%s: %+v", what, m)
		}
	}
}

func FuzzParseDNSResponse(f *testing.F) {
	f.Add([]byte(head("\x80\x00", "\x01", "\x00", "\x00") + ptr))
	f.Fuzz(func(t *testing.T, in []byte) {
		keep := bytes.Clone(in)
		m, err := parseReply(in, &asked)
		if !bytes.Equal(in, keep) {
			t.Error("the input was changed")
		}
		for _, r := range m.records {
			if err == nil && r.Body == nil {
				t.Error("a record without a body")
			}
		}
	})
}
