package dns

import (
	"bytes"
	"net/netip"
	"reflect"
	"strings"
	"testing"
)

var sample = Message{
	ID: 0x1234, Response: true,
	Questions: []Question{{"_rtsp._tcp.media.example", TypePTR}},
	Records: []Record{
		{Name: "_rtsp._tcp.media.example", Type: TypePTR, TTL: 9, Target: `node\.one._rtsp._tcp.media.example`},
		{Name: `node\.one._rtsp._tcp.media.example`, Type: TypeSRV, TTL: 8, Prio: 1, Weight: 2, Port: 5060, Target: "h.example"},
		{Name: `node\.one._rtsp._tcp.media.example`, Type: TypeTXT, TTL: 7, Text: []string{"zone=east", ""}},
		{Name: "h.example", Type: TypeA, TTL: 6, Addr: netip.MustParseAddr("127.0.0.1")},
		{Name: "h.example", Type: TypeAAAA, TTL: 6, Addr: netip.MustParseAddr("::1")},
	},
}

func TestRoundTrip(t *testing.T) {
	b, err := Append(nil, sample)
	if err != nil {
		t.Fatal(err)
	}
	m, err := Parse(b)
	if err != nil || !reflect.DeepEqual(m, sample) {
		t.Errorf("%+v, %v", m, err)
	}
}

// header is that of a response with one answer; a name and the rest follow.
const header = "\x00\x01\x80\x00\x00\x00\x00\x01\x00\x00\x00\x00"

func TestCompressedNames(t *testing.T) {
	b := "\x00\x01\x80\x00\x00\x01\x00\x01\x00\x00\x00\x00" +
		"\x01A\x02ex\x00\x00\x0c\x00\x01" + "\xc0\x0c\x00\x0c\x00\x01\x00\x00\x00\x05\x00\x04\x01b\xc0\x0e"
	m, err := Parse([]byte(b))
	if err != nil || len(m.Records) != 1 || m.Records[0].Name != "a.ex" || m.Records[0].Target != "b.ex" {
		t.Errorf("%+v, %v", m, err)
	}
}

func TestMalformed(t *testing.T) {
	for name, b := range map[string]string{
		"short header":     header[:11],
		"no record":        header,
		"pointer to self":  header + "\xc0\x0c\x00\x0c\x00\x01\x00\x00\x00\x05\x00\x00",
		"pointer forwards": header + "\xc0\x20\x00\x0c\x00\x01\x00\x00\x00\x05\x00\x00",
		"label too long":   header + "\x40" + strings.Repeat("a", 64) + "\x00",
		"data overruns":    header + "\x00\x00\x0c\x00\x01\x00\x00\x00\x05\x00\x09\x00",
		"address length":   header + "\x00\x00\x01\x00\x01\x00\x00\x00\x05\x00\x03\x7f\x00\x00",
		"text overruns":    header + "\x00\x00\x10\x00\x01\x00\x00\x00\x05\x00\x02\x09a",
	} {
		if _, err := Parse([]byte(b)); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
	for _, name := range []string{"a..b", strings.Repeat("a", 64), strings.Repeat("abc.", 70)} {
		if _, err := Append(nil, Message{Questions: []Question{{Name: name}}}); err == nil {
			t.Errorf("no error for the name %.20q", name)
		}
	}
}

func FuzzParse(f *testing.F) {
	b, _ := Append(nil, sample)
	f.Add(b)
	f.Fuzz(func(t *testing.T, in []byte) {
		keep := bytes.Clone(in)
		if _, err := Parse(in); err == nil && !bytes.Equal(in, keep) {
			t.Error("the input was changed")
		}
	})
}
