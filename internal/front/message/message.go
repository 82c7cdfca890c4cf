// Package message parses and writes the messages of the session API, which both fronts
// share: one flat JSON object each. It also decodes set-up messages into requests to the
// broker.
//
// The JSON parser is written for this package, as the operators require for the protocol
// with viewers. It returns slices of the read buffer; docs/libraries.md has the measured
// cost of encoding/json.
package message

import (
	"bytes"
	"errors"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"time"
	"unicode/utf8"

	"millethinge/control"
	"millethinge/internal/broker"
	"millethinge/internal/route"
)

// MaxSize is the maximum length of a message in bytes.
const MaxSize = 16 << 10

// MaxFields is the maximum number of fields of a message, many times what any message has. A field
// takes more memory parsed than on the wire.
const MaxFields = 256

// ReasonBusy is the reason given for refusing a set-up when too many are already waiting,
// on the same connection or for the broker.
const ReasonBusy = "too many set-ups wait"

// ErrSyntax is returned for input that is not a valid message.
var ErrSyntax = errors.New("message: malformed")

// ErrTooManyFields is returned for a message with more than MaxFields fields.
var ErrTooManyFields = errors.New("message: too many fields")

// ErrNoClass is returned for a set-up that names no class and is given none by a rule.
var ErrNoClass = errors.New("it names no class, and no rule gives it one")

// Field is a name and a value of a message's fields. The value is the content of a string
// or the text of a number.
type Field struct{ Name, Value []byte }

// Message is one parsed message. Its slices point into the buffer that was parsed, in which
// escapes have been resolved.
type Message struct {
	Type   []byte
	ID     []byte
	Fields []Field
	Cause  int
	SDP    []byte
}

// Get returns the value of the first field of that name, or nil.
func (m *Message) Get(name string) []byte {
	for _, f := range m.Fields {
		if string(f.Name) == name {
			return f.Value
		}
	}
	return nil
}

// Parse parses b as one message into m. It overwrites b where strings hold escapes.
func Parse(b []byte, m *Message) error {
	*m = Message{Fields: m.Fields[:0]}
	if !utf8.Valid(b) {
		return ErrSyntax
	}
	p := parser{buf: b}
	tooMany := false
	p.parseObject(func(name []byte) {
		switch string(name) {
		case "type":
			m.Type = p.parseScalar()
		case "id":
			m.ID = p.parseScalar()
		case "sdp":
			m.SDP = p.parseScalar()
		case "cause":
			n, err := strconv.Atoi(string(p.parseScalar()))
			m.Cause = n
			p.failed = p.failed || err != nil || n < 0 || n > 1<<16
		case "fields":
			p.parseObject(func(name []byte) {
				m.Fields = append(m.Fields, Field{name, p.parseScalar()})
				if tooMany = len(m.Fields) > MaxFields; tooMany {
					p.failed = true
				}
			})
		default:
			p.skipValue(0)
		}
	})
	if tooMany {
		return ErrTooManyFields
	}
	p.skipSpace()
	if p.failed || p.pos != len(b) || len(m.Type) == 0 {
		return ErrSyntax
	}
	return nil
}

// parser reads JSON from a buffer. Once failed is set, it stays set and the results are
// meaningless.
type parser struct {
	buf    []byte
	pos    int
	failed bool
}

func (p *parser) skipSpace() {
	for p.pos < len(p.buf) && (p.buf[p.pos] == ' ' || p.buf[p.pos] == '\t' || p.buf[p.pos] == '\r' || p.buf[p.pos] == '\n') {
		p.pos++
	}
}

// peek skips white space and returns the next byte without consuming it; 0 at the end of
// the input or after a failure.
func (p *parser) peek() byte {
	p.skipSpace()
	if p.failed || p.pos >= len(p.buf) {
		return 0
	}
	return p.buf[p.pos]
}

func (p *parser) expect(c byte) {
	if p.peek() != c {
		p.failed = true
		return
	}
	p.pos++
}

func (p *parser) parseObject(member func(name []byte)) {
	p.expect('{')
	if p.peek() == '}' {
		p.pos++
		return
	}
	for !p.failed {
		name := p.parseString()
		p.expect(':')
		if p.failed {
			return
		}
		member(name)
		if p.peek() == ',' {
			p.pos++
			continue
		}
		p.expect('}')
		return
	}
}

// parseScalar returns the content of a string or the text of a number.
func (p *parser) parseScalar() []byte {
	if p.peek() == '"' {
		return p.parseString()
	}
	start := p.pos
	for p.pos < len(p.buf) && isNumberByte(p.buf[p.pos]) {
		p.pos++
	}
	if _, err := strconv.ParseFloat(string(p.buf[start:p.pos]), 64); err != nil {
		p.failed = true
	}
	return p.buf[start:p.pos]
}

func isNumberByte(c byte) bool {
	return c >= '0' && c <= '9' || c == '-' || c == '+' || c == '.' || c == 'e' || c == 'E'
}

// skipValue skips a value of any type. Nesting deeper than 16 is a failure.
func (p *parser) skipValue(depth int) {
	if depth > 16 {
		p.failed = true
		return
	}
	switch p.peek() {
	case '{':
		p.parseObject(func([]byte) { p.skipValue(depth + 1) })
	case '[':
		p.pos++
		if p.peek() == ']' {
			p.pos++
			return
		}
		for !p.failed {
			p.skipValue(depth + 1)
			if p.peek() == ',' {
				p.pos++
				continue
			}
			p.expect(']')
			return
		}
	case 't', 'f', 'n':
		for _, w := range []string{"true", "false", "null"} {
			if bytes.HasPrefix(p.buf[p.pos:], []byte(w)) {
				p.pos += len(w)
				return
			}
		}
		p.failed = true
	default:
		p.parseScalar()
	}
}

// parseString reads a string and resolves its escapes in place: no escape is shorter than
// the character that it stands for.
func (p *parser) parseString() []byte {
	p.expect('"')
	start, end := p.pos, p.pos
	for !p.failed && p.pos < len(p.buf) {
		c := p.buf[p.pos]
		p.pos++
		switch {
		case c == '"':
			return p.buf[start:end]
		case c == '\\':
			end += len(p.parseEscape(p.buf[end:end]))
			continue
		case c < ' ':
			p.failed = true
		}
		p.buf[end] = c
		end++
	}
	p.failed = true
	return nil
}

// parseEscape appends the character of one escape to dst, which must be empty.
func (p *parser) parseEscape(dst []byte) []byte {
	if p.pos >= len(p.buf) {
		p.failed = true
		return dst
	}
	c := p.buf[p.pos]
	p.pos++
	switch c {
	case '"', '\\', '/':
		return append(dst, c)
	case 'b':
		return append(dst, '\b')
	case 'f':
		return append(dst, '\f')
	case 'n':
		return append(dst, '\n')
	case 'r':
		return append(dst, '\r')
	case 't':
		return append(dst, '\t')
	case 'u':
		r := p.parseCodeUnit()
		if r >= 0xd800 && r < 0xdc00 && bytes.HasPrefix(p.buf[p.pos:], []byte(`\u`)) {
			saved := p.pos
			p.pos += 2
			if low := p.parseCodeUnit(); low >= 0xdc00 && low < 0xe000 {
				r = 0x10000 + (r-0xd800)<<10 + (low - 0xdc00)
			} else {
				p.pos = saved
			}
		}
		// Guard: an unpaired surrogate stands for no character. Replacing it would alter
		// the description, which has to be passed on unchanged.
		p.failed = p.failed || !utf8.ValidRune(r)
		return utf8.AppendRune(dst, r)
	}
	p.failed = true
	return dst
}

// parseCodeUnit reads the four hexadecimal digits of a UTF-16 code unit.
func (p *parser) parseCodeUnit() rune {
	if len(p.buf)-p.pos < 4 {
		p.failed = true
		return 0
	}
	n, err := strconv.ParseUint(string(p.buf[p.pos:p.pos+4]), 16, 16)
	p.failed = p.failed || err != nil
	p.pos += 4
	return rune(n)
}

// appendString appends s to b as a JSON string.
func appendString(b, s []byte) []byte {
	const digits = "0123456789abcdef"
	b = append(b, '"')
	for _, c := range s {
		switch {
		case c == '"' || c == '\\':
			b = append(b, '\\', c)
		case c == '\n':
			b = append(b, `\n`...)
		case c == '\r':
			b = append(b, `\r`...)
		case c < ' ':
			b = append(b, `\u00`...)
			b = append(b, digits[c>>4], digits[c&15])
		default:
			b = append(b, c)
		}
	}
	return append(b, '"')
}

// AppendReply appends the message for a reply to a viewer, without a newline.
func AppendReply(b []byte, r broker.Reply) []byte {
	messageType := "release"
	switch r.Kind {
	case broker.ReplyServed:
		messageType = "answer"
	case broker.ReplyMoved:
		messageType = "move"
	}
	b = appendType(b, messageType)
	b = append(b, `,"id":"`...)
	b = appendID(b, uint64(r.ID))
	b = append(b, `","fields":{`...)
	if r.Kind == broker.ReplyRefused && r.RetryAfter > 0 {
		b = append(b, `"wait":"`...)
		b = strconv.AppendInt(b, max(r.RetryAfter.Milliseconds(), 1), 10)
		b = append(b, '"')
	}
	if r.Reason != "" {
		if b[len(b)-1] != '{' {
			b = append(b, ',')
		}
		b = append(b, `"reason":`...)
		b = appendString(b, []byte(r.Reason))
	}
	b = append(b, '}')
	if r.Kind == broker.ReplyServed {
		b = append(b, `,"sdp":`...)
		b = appendString(b, r.Description)
	} else if r.Kind != broker.ReplyMoved {
		b = append(b, `,"cause":`...)
		b = strconv.AppendInt(b, int64(r.Cause), 10)
	}
	return append(b, '}')
}

// AppendPong appends the answer to the ping of that id. accepting: the manager accepts
// clients.
func AppendPong(b, id []byte, accepting bool) []byte {
	b = appendType(b, "pong")
	b = append(b, `,"id":`...)
	b = appendString(b, id)
	b = append(b, `,"fields":{},"cause":`...)
	if accepting {
		return append(b, "1}"...)
	}
	return append(b, "0}"...)
}

func appendType(b []byte, messageType string) []byte {
	b = append(b, `{"type":"`...)
	b = append(b, messageType...)
	return append(b, '"')
}

func appendID(b []byte, id uint64) []byte {
	const digits = "0123456789abcdef"
	for shift := 60; shift >= 0; shift -= 4 {
		b = append(b, digits[id>>shift&15])
	}
	return b
}

// Broker is the part of broker.Broker that fronts use. Its methods never block.
type Broker interface {
	// Submit hands over a set-up request, and reports whether the broker took it: its
	// mailbox may be full.
	Submit(broker.Request) bool
	// End reports that a viewer cancels a set-up or ends a session. It returns whether the
	// broker took the message.
	End(broker.ViewerEnd) bool
	// Lost reports that a client's connection has ended.
	Lost(broker.Client)
}

// SetupDecoder decodes set-up messages into broker requests. It holds the deployment's names
// and limits.
type SetupDecoder struct {
	Routes      *route.ActiveSet // routing rules; nil, or without a set: requests keep the class and team they name
	Classes     []string         // names, by class number
	Teams       []string         // names, by team number; empty: any tenant is accepted, and gives no team
	Cells       int              // number of cells
	MaxRung     int              // highest rung of the rate ladder
	MaxTimeLeft time.Duration    // longest time that a viewer may give for an answer
}

// setupOverhead is how many bytes a set-up takes up beside its description when it is sent
// to a media node, where the maximum message length is MaxSize too.
const setupOverhead = 512

// Origin is where and when a message was received.
type Origin struct {
	Front    string     // "jsonl" or "websocket"
	Client   netip.Addr // the viewer's address
	Received time.Time  // when the message was complete
}

// Field returns the value of the first field of that name, or nil. It is part of
// route.Texts.
func (m *Message) Field(name string) []byte { return m.Get(name) }

// Extra returns one of the values in the field extras, or nil. It is part of route.Texts.
func (m *Message) Extra(name string) []byte { return extraValue(m.Get("extras"), name) }

// Decode decodes a set-up and applies the routing rules to it.
func (d *SetupDecoder) Decode(m *Message, from Origin) (broker.Request, error) {
	r, err := d.DecodeUnrouted(m, from)
	if err != nil {
		return r, err
	}
	var routes *route.Set
	if d.Routes != nil {
		routes = d.Routes.Load()
	}
	if routes != nil {
		r.Route = routes.Route(RouteRequest(m, &r, from))
		r.Class, r.Team = r.Route.Class, r.Route.Team
	}
	if r.Class < 0 {
		return r, ErrNoClass
	}
	r.Description = bytes.Clone(m.SDP) // the request outlives the read buffer
	r.Repeated = string(m.Get("retry")) == "1" || string(m.Extra("again")) == "1"
	return r, nil
}

// RouteRequest returns a set-up in the form that routing rules evaluate.
func RouteRequest(m *Message, r *broker.Request, from Origin) *route.Request {
	return &route.Request{
		Class: r.Class, Team: r.Team, Title: r.Title, HomeCell: r.Home, Copies: r.Copies, TopRung: r.MaxRung, TimeLeft: r.TimeLeft,
		Retry: string(m.Get("retry")) == "1", Returning: string(m.Extra("again")) == "1",
		Front: from.Front, ClientAddr: from.Client, ReceivedAt: from.Received, Texts: m,
	}
}

// DecodeUnrouted decodes a set-up without its description and without applying rules. The
// set-up may name no class. A required value that is missing or out of range is an error: a
// media node could not use the set-up either, and would be blamed for the failure.
func (d *SetupDecoder) DecodeUnrouted(m *Message, from Origin) (broker.Request, error) {
	r := broker.Request{ReceivedAt: from.Received, Class: -1, Team: -1}
	var err error
	if r.ID, err = ParseID(m.ID); err != nil {
		return r, err
	}
	class := m.Get("class")
	if r.Class = slices.Index(d.Classes, string(class)); r.Class < 0 && len(class) > 0 {
		return r, errors.New("unknown class")
	}
	if name := m.Get("tenant"); len(name) > 0 {
		if r.Team = slices.Index(d.Teams, string(name)); r.Team < 0 && len(d.Teams) > 0 {
			return r, errors.New("unknown tenant")
		}
	}
	r.Key = string(m.Get("key"))
	if r.Title, err = strconv.ParseUint(r.Key, 16, 64); err != nil || len(r.Key) > 16 {
		return r, errors.New("key is no title")
	}
	left, ok := parseNumber(m.Get("left"), 1, float64(math.MaxInt32))
	r.TimeLeft = time.Duration(left) * time.Millisecond
	if !ok || r.TimeLeft > d.MaxTimeLeft && m.CurrentNode() == nil {
		return r, errors.New("left is out of range")
	}
	extras := m.Get("extras")
	home, ok1 := parseNumber(extraValue(extras, "home"), 0, float64(d.Cells-1))
	span, ok2 := parseNumber(extraValue(extras, "copies"), 1, float64(d.Cells))
	top, ok3 := parseNumber(extraValue(extras, "top"), 0, float64(d.MaxRung))
	if !ok1 || !ok2 || !ok3 {
		return r, errors.New("home, copies or top is missing or out of range")
	}
	r.Home, r.Copies, r.MaxRung = int(home), int(span), top
	if len(m.SDP) > MaxSize-setupOverhead {
		return r, errors.New("description too long")
	}
	r.Requested.Class, r.Requested.Team = r.Class, r.Team
	return r, nil
}

// parseNumber parses a number, and reports whether it is valid and from low to high.
func parseNumber(b []byte, low, high float64) (float64, bool) {
	v, err := strconv.ParseFloat(string(b), 64)
	return v, err == nil && v >= low && v <= high
}

// extraValue returns the value of a name in extras, which has the form "name:value;…", or
// nil.
func extraValue(extras []byte, name string) []byte {
	for part := range bytes.SplitSeq(extras, []byte(";")) {
		if n, v, ok := bytes.Cut(part, []byte(":")); ok && string(n) == name {
			return v
		}
	}
	return nil
}

// CurrentNode returns the media node at which a set-up's session is already playing, or nil
// if it is a new one.
func (m *Message) CurrentNode() []byte { return extraValue(m.Get("extras"), "at") }

// ParseID parses a session id of 16 hexadecimal digits.
func ParseID(b []byte) (control.SessionID, error) {
	if len(b) != 16 {
		return 0, errors.New("message: id is not 16 hexadecimal digits")
	}
	id, err := strconv.ParseUint(string(b), 16, 64)
	if err != nil {
		return 0, errors.New("message: id is not 16 hexadecimal digits")
	}
	return control.SessionID(id), nil
}
