package directory

import (
	"bytes"
	"strings"
	"testing"

	"golang.org/x/net/dns/dnsmessage"
)

// testQuery is the query to which the tests parse responses: PTR of a.ex.
var testQuery = dnsmessage.Message{Header: dnsmessage.Header{ID: 1}, Questions: []dnsmessage.Question{
	{Name: dnsmessage.MustNewName("a.ex."), Type: dnsmessage.TypePTR, Class: dnsmessage.ClassINET}}}

// responseHead returns the header of a response with these flags and numbers of records, and
// its question.
func responseHead(flags, answers, authorities, additionals string) string {
	return "\x00\x01" + flags + "\x00\x01\x00" + answers + "\x00" + authorities + "\x00" + additionals + "\x01A\x02ex\x00\x00\x0c\x00\x01"
}

const (
	classAndTTL = "\x00\x01\x00\x00\x00\x05" // class and TTL
	ptrRecord   = "\xc0\x0c\x00\x0c" + classAndTTL + "\x00\x04\x01b\xc0\x0e"
)

// Names are read through compression pointers and in either case, and the authority section is
// skipped. Of records with a dot within a label of a name, only these records are left out.
func TestParseDNSResponse(t *testing.T) {
	dottedTarget := "\xc0\x0c\x00\x0c" + classAndTTL + "\x00\x06\x03b.c\xc0\x0e"
	dottedOwner := "\x03b.c\xc0\x0e\x00\x0c" + classAndTTL + "\x00\x02\xc0\x0c"
	packed := responseHead("\x80\x00", "\x02", "\x01", "\x02") + dottedTarget + ptrRecord + ptrRecord + dottedOwner + ptrRecord
	m, err := parseDNSResponse([]byte(packed), &testQuery)
	if err != nil || len(m.records) != 2 || len(m.skipped) != 2 {
		t.Fatalf("response %+v, error %v", m, err)
	}
	for _, r := range m.records {
		if b, ok := r.Body.(*dnsmessage.PTRResource); !ok || canonicalName(r.Header.Name) != "a.ex" || canonicalName(b.PTR) != "b.ex" {
			t.Errorf("record %+v", r)
		}
	}
	if m, err := parseDNSResponse([]byte(responseHead("\x82\x00", "\x01", "\x00", "\x00")), &testQuery); err != nil || !m.Truncated {
		t.Errorf("truncated response %+v, error %v", m, err)
	}
}

func TestParseDNSResponseErrors(t *testing.T) {
	valid := responseHead("\x80\x00", "\x01", "\x00", "\x00") + ptrRecord
	for length := range len(valid) {
		if m, err := parseDNSResponse([]byte(valid[:length]), &testQuery); err == nil {
			t.Errorf("first %d bytes: no error, response %+v", length, m)
		}
	}
	for name, replacement := range map[string][2]string{
		"query":                   {"\x80\x00", "\x00\x00"},
		"another ID":              {"\x00\x01", "\x00\x02"},
		"another name":            {"\x01A", "\x01b"},
		"another type":            {"ex\x00\x00\x0c", "ex\x00\x00\x01"},
		"missing second question": {"\x00\x01\x00\x00", "\x00\x02\x00\x00"},
		"pointer to self":         {"\xc0\x0c", "\xc0\x16"},
	} {
		packed := strings.Replace(valid, replacement[0], replacement[1], 1)
		if m, err := parseDNSResponse([]byte(packed), &testQuery); packed == valid || err == nil && len(m.skipped) == 0 {
			t.Errorf("%s: no error, response %+v", name, m)
		}
	}
}

func FuzzParseDNSResponse(f *testing.F) {
	f.Add([]byte(responseHead("\x80\x00", "\x01", "\x00", "\x00") + ptrRecord))
	f.Fuzz(func(t *testing.T, packed []byte) {
		original := bytes.Clone(packed)
		m, err := parseDNSResponse(packed, &testQuery)
		if !bytes.Equal(packed, original) {
			t.Error("the input was modified")
		}
		for _, r := range m.records {
			if err == nil && r.Body == nil {
				t.Error("a record without a body")
			}
		}
	})
}
