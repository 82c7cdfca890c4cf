// Package dns reads and writes DNS messages (RFC 1035) as far as service
// discovery (RFC 6763) needs them: questions, and PTR, SRV, TXT, A and AAAA
// records.
package dns

import (
	"encoding/binary"
	"errors"
	"net/netip"
	"strings"
)

// Record types.
const (
	TypeA    = 1
	TypePTR  = 12
	TypeTXT  = 16
	TypeAAAA = 28
	TypeSRV  = 33
)

const (
	classIN    = 1
	headerLen  = 12
	maxName    = 255
	maxLabel   = 63
	maxJumps   = 32
	bitAnswer  = 1 << 15
	bitCut     = 1 << 9
	bitRecurse = 1 << 8
	// MaxMessage is the longest message taken, over TCP.
	MaxMessage = 1<<16 - 1
)

// ErrSyntax reports bytes that are no DNS message.
var ErrSyntax = errors.New("dns: malformed message")

// Question asks for records of a type.
type Question struct {
	Name string
	Type uint16
}

// Record is one resource record. Which fields are set depends on Type.
type Record struct {
	Name   string
	Type   uint16
	TTL    uint32
	Target string     // PTR, SRV
	Port   uint16     // SRV
	Weight uint16     // SRV
	Prio   uint16     // SRV
	Text   []string   // TXT
	Addr   netip.Addr // A, AAAA
}

// Message is a query or a response. Records holds those of the answer and the
// additional section; those of the authority section are passed over.
type Message struct {
	ID        uint16
	Response  bool
	Truncated bool
	Code      int // 0: no error, 3: no such name
	Questions []Question
	Records   []Record
}

// Parse reads a message. Names come in lower case, without the last dot.
func Parse(b []byte) (Message, error) {
	var m Message
	if len(b) < headerLen {
		return m, ErrSyntax
	}
	flags := binary.BigEndian.Uint16(b[2:])
	m.ID, m.Response = binary.BigEndian.Uint16(b), flags&bitAnswer != 0
	m.Truncated, m.Code = flags&bitCut != 0, int(flags&15)
	p := parser{b: b, at: headerLen}
	for range binary.BigEndian.Uint16(b[4:]) {
		q := Question{Name: p.name(), Type: p.u16()}
		p.u16() // the class
		if p.bad {
			return m, ErrSyntax
		}
		m.Questions = append(m.Questions, q)
	}
	for section := range 3 {
		for range binary.BigEndian.Uint16(b[6+2*section:]) {
			r, known := p.record()
			if p.bad {
				return m, ErrSyntax
			}
			if known && section != 1 {
				m.Records = append(m.Records, r)
			}
		}
	}
	return m, nil
}

// parser walks a message. After a fault it only fails.
type parser struct {
	b   []byte
	at  int
	bad bool
}

func (p *parser) take(n int) []byte {
	if p.bad || n > len(p.b)-p.at {
		p.bad = true
		return make([]byte, min(n, 4))
	}
	v := p.b[p.at : p.at+n]
	p.at += n
	return v
}

func (p *parser) u8() uint8   { return p.take(1)[0] }
func (p *parser) u16() uint16 { return binary.BigEndian.Uint16(p.take(2)) }
func (p *parser) u32() uint32 { return binary.BigEndian.Uint32(p.take(4)) }

// name reads a domain name, which may point back into the message. Pointers
// must lead backwards, and only so many are followed: none loops.
func (p *parser) name() string {
	var out strings.Builder
	end, jumps := -1, 0
	for !p.bad {
		n := int(p.u8())
		switch {
		case p.bad:
		case n == 0:
			if end >= 0 {
				p.at = end
			}
			return out.String()
		case n&0xc0 == 0xc0:
			to := n&0x3f<<8 | int(p.u8())
			if end < 0 {
				end = p.at
			}
			if jumps++; jumps > maxJumps || to >= p.at-2 {
				p.bad = true
			}
			p.at = to
		case n > maxLabel || out.Len()+n+1 > maxName:
			p.bad = true
		default:
			if out.Len() > 0 {
				out.WriteByte('.')
			}
			for _, c := range p.take(n) {
				// A dot or backslash within a label is escaped.
				if c == '.' || c == '\\' {
					out.WriteByte('\\')
				}
				if c >= 'A' && c <= 'Z' {
					c += 'a' - 'A'
				}
				out.WriteByte(c)
			}
		}
	}
	return ""
}

// record reads one record and tells whether its type is used here.
func (p *parser) record() (Record, bool) {
	r := Record{Name: p.name(), Type: p.u16()}
	class := p.u16() &^ (1 << 15) // multicast DNS marks a whole set there
	r.TTL = p.u32()
	size := int(p.u16())
	if p.bad || size > len(p.b)-p.at {
		p.bad = true
		return r, false
	}
	end := p.at + size
	known := class == classIN
	switch r.Type {
	case TypeA, TypeAAAA:
		addr, ok := netip.AddrFromSlice(p.b[p.at:end])
		r.Addr = addr
		p.bad = !ok || addr.Is4() != (r.Type == TypeA)
	case TypePTR:
		r.Target = p.name()
	case TypeSRV:
		r.Prio, r.Weight, r.Port = p.u16(), p.u16(), p.u16()
		r.Target = p.name()
	case TypeTXT:
		for !p.bad && p.at < end {
			r.Text = append(r.Text, string(p.take(int(p.u8()))))
		}
	default:
		known = false
	}
	if p.at > end {
		p.bad = true
	}
	p.at = end
	return r, known
}

// Append adds a message.
func Append(b []byte, m Message) ([]byte, error) {
	var flags uint16 = bitRecurse | uint16(m.Code&15)
	if m.Response {
		flags |= bitAnswer
	}
	if m.Truncated {
		flags |= bitCut
	}
	for _, v := range []uint16{m.ID, flags, uint16(len(m.Questions)), uint16(len(m.Records)), 0, 0} {
		b = binary.BigEndian.AppendUint16(b, v)
	}
	var err error
	for _, q := range m.Questions {
		if b, err = appendName(b, q.Name); err != nil {
			return nil, err
		}
		b = binary.BigEndian.AppendUint16(b, q.Type)
		b = binary.BigEndian.AppendUint16(b, classIN)
	}
	for _, r := range m.Records {
		if b, err = appendRecord(b, r); err != nil {
			return nil, err
		}
	}
	return b, nil
}

func appendRecord(b []byte, r Record) ([]byte, error) {
	b, err := appendName(b, r.Name)
	if err != nil {
		return nil, err
	}
	b = binary.BigEndian.AppendUint16(b, r.Type)
	b = binary.BigEndian.AppendUint16(b, classIN)
	b = binary.BigEndian.AppendUint32(b, r.TTL)
	at := len(b)
	b = append(b, 0, 0)
	switch r.Type {
	case TypeA, TypeAAAA:
		b = append(b, r.Addr.AsSlice()...)
	case TypePTR:
		b, err = appendName(b, r.Target)
	case TypeSRV:
		for _, v := range []uint16{r.Prio, r.Weight, r.Port} {
			b = binary.BigEndian.AppendUint16(b, v)
		}
		b, err = appendName(b, r.Target)
	case TypeTXT:
		for _, t := range r.Text {
			if len(t) > 255 {
				return nil, ErrSyntax
			}
			b = append(append(b, byte(len(t))), t...)
		}
	}
	if err != nil {
		return nil, err
	}
	binary.BigEndian.PutUint16(b[at:], uint16(len(b)-at-2))
	return b, nil
}

// appendName adds a name, in which \. stands for a dot within a label.
func appendName(b []byte, name string) ([]byte, error) {
	start, at := len(b), len(b)
	b = append(b, 0)
	for i := 0; i < len(name); i++ {
		c := name[i]
		if c == '.' {
			if b[at] == 0 {
				return nil, ErrSyntax
			}
			at = len(b)
			b = append(b, 0)
			continue
		}
		if c == '\\' && i+1 < len(name) {
			i++
			c = name[i]
		}
		if b[at] == maxLabel {
			return nil, ErrSyntax
		}
		b[at]++
		b = append(b, c)
	}
	if b[at] != 0 {
		b = append(b, 0)
	}
	if len(b)-start > maxName {
		return nil, ErrSyntax
	}
	return b, nil
}
