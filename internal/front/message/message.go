// Package message reads and writes the session API's messages, which both
// fronts share: one flat JSON object each.
//
// Its parser is the project's own, as the operators' brief asks of the viewers' wire.
// What it returns are slices of the read buffer; docs/libraries.md has what
// encoding/json would cost.
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

// Max is the longest message.
const Max = 16 << 10

// ReasonBusy is told where too many set-ups wait already, on one connection or
// before the module.
const ReasonBusy = "too many set-ups wait"

// ErrSyntax reports bytes that are no message.
var ErrSyntax = errors.New("message: malformed")

// ErrNoClass reports a set-up that has no class, neither of its own nor by rules.
var ErrNoClass = errors.New("it names no class, and no rule gives it one")

// Field is one of a message's fields, a string's or a number's text.
type Field struct{ Name, Value []byte }

// Message is one message. Its slices are those of the buffer that was parsed,
// in which escapes have been resolved.
type Message struct {
	Type   []byte
	ID     []byte
	Fields []Field
	Cause  int
	SDP    []byte
}

// Get returns a field's value, or nil.
func (m *Message) Get(name string) []byte {
	for _, f := range m.Fields {
		if string(f.Name) == name {
			return f.Value
		}
	}
	return nil
}

// Parse reads one message. It writes to b where strings hold escapes.
func Parse(b []byte, m *Message) error {
	*m = Message{Fields: m.Fields[:0]}
	if !utf8.Valid(b) {
		return ErrSyntax
	}
	p := parser{b: b}
	p.object(func(name []byte) {
		switch string(name) {
		case "type":
			m.Type = p.scalar()
		case "id":
			m.ID = p.scalar()
		case "sdp":
			m.SDP = p.scalar()
		case "cause":
			n, err := strconv.Atoi(string(p.scalar()))
			m.Cause = n
			p.bad = p.bad || err != nil || n < 0 || n > 1<<16
		case "fields":
			p.object(func(name []byte) { m.Fields = append(m.Fields, Field{name, p.scalar()}) })
		default:
			p.skip(0)
		}
	})
	p.space()
	if p.bad || p.at != len(b) || len(m.Type) == 0 {
		return ErrSyntax
	}
	return nil
}

// parser walks a JSON text. After a fault it only fails.
type parser struct {
	b   []byte
	at  int
	bad bool
}

func (p *parser) space() {
	for p.at < len(p.b) && (p.b[p.at] == ' ' || p.b[p.at] == '\t' || p.b[p.at] == '\r' || p.b[p.at] == '\n') {
		p.at++
	}
}

// peek returns the next byte that is no space, or 0.
func (p *parser) peek() byte {
	p.space()
	if p.bad || p.at >= len(p.b) {
		return 0
	}
	return p.b[p.at]
}

func (p *parser) expect(c byte) {
	if p.peek() != c {
		p.bad = true
		return
	}
	p.at++
}

func (p *parser) object(member func(name []byte)) {
	p.expect('{')
	if p.peek() == '}' {
		p.at++
		return
	}
	for !p.bad {
		name := p.text()
		p.expect(':')
		if p.bad {
			return
		}
		member(name)
		if p.peek() == ',' {
			p.at++
			continue
		}
		p.expect('}')
		return
	}
}

// scalar returns the text of a string or a number.
func (p *parser) scalar() []byte {
	if p.peek() == '"' {
		return p.text()
	}
	start := p.at
	for p.at < len(p.b) && isNumber(p.b[p.at]) {
		p.at++
	}
	if _, err := strconv.ParseFloat(string(p.b[start:p.at]), 64); err != nil {
		p.bad = true
	}
	return p.b[start:p.at]
}

func isNumber(c byte) bool {
	return c >= '0' && c <= '9' || c == '-' || c == '+' || c == '.' || c == 'e' || c == 'E'
}

// skip passes over a value of any kind.
func (p *parser) skip(depth int) {
	if depth > 16 {
		p.bad = true
		return
	}
	switch p.peek() {
	case '{':
		p.object(func([]byte) { p.skip(depth + 1) })
	case '[':
		p.at++
		if p.peek() == ']' {
			p.at++
			return
		}
		for !p.bad {
			p.skip(depth + 1)
			if p.peek() == ',' {
				p.at++
				continue
			}
			p.expect(']')
			return
		}
	case 't', 'f', 'n':
		for _, w := range []string{"true", "false", "null"} {
			if bytes.HasPrefix(p.b[p.at:], []byte(w)) {
				p.at += len(w)
				return
			}
		}
		p.bad = true
	default:
		p.scalar()
	}
}

// text reads a string and resolves its escapes in place: none is shorter than
// what it stands for.
func (p *parser) text() []byte {
	p.expect('"')
	start, to := p.at, p.at
	for !p.bad && p.at < len(p.b) {
		c := p.b[p.at]
		p.at++
		switch {
		case c == '"':
			return p.b[start:to]
		case c == '\\':
			to += len(p.escape(p.b[to:to]))
			continue
		case c < ' ':
			p.bad = true
		}
		p.b[to] = c
		to++
	}
	p.bad = true
	return nil
}

// escape resolves one escape into the empty slice into.
func (p *parser) escape(into []byte) []byte {
	if p.at >= len(p.b) {
		p.bad = true
		return into
	}
	c := p.b[p.at]
	p.at++
	switch c {
	case '"', '\\', '/':
		return append(into, c)
	case 'b':
		return append(into, '\b')
	case 'f':
		return append(into, '\f')
	case 'n':
		return append(into, '\n')
	case 'r':
		return append(into, '\r')
	case 't':
		return append(into, '\t')
	case 'u':
		r := p.unit()
		if r >= 0xd800 && r < 0xdc00 && bytes.HasPrefix(p.b[p.at:], []byte(`\u`)) {
			at := p.at
			p.at += 2
			if low := p.unit(); low >= 0xdc00 && low < 0xe000 {
				r = 0x10000 + (r-0xd800)<<10 + (low - 0xdc00)
			} else {
				p.at = at
			}
		}
		// Guard: half a surrogate pair stands for no character, and a description
		// must pass on unchanged.
		p.bad = p.bad || !utf8.ValidRune(r)
		return utf8.AppendRune(into, r)
	}
	p.bad = true
	return into
}

// unit reads four hexadecimal digits.
func (p *parser) unit() rune {
	if len(p.b)-p.at < 4 {
		p.bad = true
		return 0
	}
	n, err := strconv.ParseUint(string(p.b[p.at:p.at+4]), 16, 16)
	p.bad = p.bad || err != nil
	p.at += 4
	return rune(n)
}

// appendText adds s as a JSON string.
func appendText(b, s []byte) []byte {
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

// AppendReply adds a reply to a viewer, without a line end.
func AppendReply(b []byte, r broker.Reply) []byte {
	kind := "release"
	switch r.Kind {
	case broker.Served:
		kind = "answer"
	case broker.Moved:
		kind = "move"
	}
	b = appendHead(b, kind)
	b = append(b, `,"id":"`...)
	b = appendID(b, uint64(r.ID))
	b = append(b, `","fields":{`...)
	if r.Kind == broker.Refused && r.Wait > 0 {
		b = append(b, `"wait":"`...)
		b = strconv.AppendInt(b, max(r.Wait.Milliseconds(), 1), 10)
		b = append(b, '"')
	}
	if r.Reason != "" {
		if b[len(b)-1] != '{' {
			b = append(b, ',')
		}
		b = append(b, `"reason":`...)
		b = appendText(b, []byte(r.Reason))
	}
	b = append(b, '}')
	if r.Kind == broker.Served {
		b = append(b, `,"sdp":`...)
		b = appendText(b, r.Description)
	} else if r.Kind != broker.Moved {
		b = append(b, `,"cause":`...)
		b = strconv.AppendInt(b, int64(r.Cause), 10)
	}
	return append(b, '}')
}

// AppendPong adds the answer to a test.
func AppendPong(b, id []byte, passed bool) []byte {
	b = appendHead(b, "pong")
	b = append(b, `,"id":`...)
	b = appendText(b, id)
	b = append(b, `,"fields":{},"cause":`...)
	if passed {
		return append(b, "1}"...)
	}
	return append(b, "0}"...)
}

func appendHead(b []byte, kind string) []byte {
	b = append(b, `{"type":"`...)
	b = append(b, kind...)
	return append(b, '"')
}

func appendID(b []byte, id uint64) []byte {
	const digits = "0123456789abcdef"
	for shift := 60; shift >= 0; shift -= 4 {
		b = append(b, digits[id>>shift&15])
	}
	return b
}

// Core is the broker, as fronts see it.
type Core interface {
	Submit(broker.Request) bool
	End(broker.ViewerEnd) bool
	Lost(broker.Client)
}

// Catalog is what a set-up's names mean at this deployment.
type Catalog struct {
	Routes   *route.ActiveSet // nil, or without a set: requests keep what they name
	Classes  []string
	Teams    []string // by tenant number
	Cells    int
	MaxRung  int
	MostLeft time.Duration // the longest that a viewer waits
}

// roomOnWire is what a set-up takes up beside its description on the way to a
// media node, where no message is longer than here.
const roomOnWire = 512

// Origin is where a message came from.
type Origin struct {
	Front  string
	Client netip.Addr
	Came   time.Time
}

// Field returns a field's value, or nil.
func (m *Message) Field(name string) []byte { return m.Get(name) }

// Extra returns one of the figures in extras, or nil.
func (m *Message) Extra(name string) []byte { return extra(m.Get("extras"), name) }

// Setup understands a set-up, and has it routed.
func (c *Catalog) Setup(m *Message, from Origin) (broker.Request, error) {
	r, err := c.Read(m, from)
	if err != nil {
		return r, err
	}
	var routes *route.Set
	if c.Routes != nil {
		routes = c.Routes.Load()
	}
	if routes != nil {
		r.Route = routes.Route(Routed(m, &r, from))
		r.Class, r.Team = r.Route.Class, r.Route.Team
	}
	if r.Class < 0 {
		return r, ErrNoClass
	}
	r.Description = bytes.Clone(m.SDP) // it outlives the read buffer
	r.Again = string(m.Get("retry")) == "1" || string(m.Extra("again")) == "1"
	return r, nil
}

// Routed is a set-up as rules look at it.
func Routed(m *Message, r *broker.Request, from Origin) *route.Request {
	return &route.Request{
		Class: r.Class, Team: r.Team, Title: r.Title, HomeCell: r.Home, Copies: r.Span, TopRung: r.MaxRung, TimeLeft: r.Left,
		Retry: string(m.Get("retry")) == "1", Returning: string(m.Extra("again")) == "1",
		Front: from.Front, ClientAddr: from.Client, ReceivedAt: from.Came, Texts: m,
	}
}

// Read understands what a set-up names, but for its description. It may name no
// class. What lacks a figure that it needs, or has one that is out of range, is an
// error: a node could not use it either, and an error of a node's counts against
// the node.
func (c *Catalog) Read(m *Message, from Origin) (broker.Request, error) {
	r := broker.Request{Came: from.Came, Class: -1, Team: -1}
	var err error
	if r.ID, err = ParseID(m.ID); err != nil {
		return r, err
	}
	class := m.Get("class")
	if r.Class = slices.Index(c.Classes, string(class)); r.Class < 0 && len(class) > 0 {
		return r, errors.New("unknown class")
	}
	if name := m.Get("tenant"); len(name) > 0 {
		if r.Team = slices.Index(c.Teams, string(name)); r.Team < 0 && len(c.Teams) > 0 {
			return r, errors.New("unknown tenant")
		}
	}
	r.Key = string(m.Get("key"))
	if r.Title, err = strconv.ParseUint(r.Key, 16, 64); err != nil || len(r.Key) > 16 {
		return r, errors.New("key is no title")
	}
	left, ok := figure(m.Get("left"), 1, float64(math.MaxInt32))
	r.Left = time.Duration(left) * time.Millisecond
	if !ok || r.Left > c.MostLeft && m.At() == nil {
		return r, errors.New("left is out of range")
	}
	extras := m.Get("extras")
	home, ok1 := figure(extra(extras, "home"), 0, float64(c.Cells-1))
	span, ok2 := figure(extra(extras, "copies"), 1, float64(c.Cells))
	top, ok3 := figure(extra(extras, "top"), 0, float64(c.MaxRung))
	if !ok1 || !ok2 || !ok3 {
		return r, errors.New("home, copies or top is missing or out of range")
	}
	r.Home, r.Span, r.MaxRung = int(home), int(span), top
	if len(m.SDP) > Max-roomOnWire {
		return r, errors.New("description too long")
	}
	r.Named.Class, r.Named.Team = r.Class, r.Team
	return r, nil
}

// figure reads a number from least to most.
func figure(b []byte, least, most float64) (float64, bool) {
	v, err := strconv.ParseFloat(string(b), 64)
	return v, err == nil && v >= least && v <= most
}

// extra returns one of the figures that come with a set-up as "name:value;…",
// or nil.
func extra(b []byte, name string) []byte {
	for part := range bytes.SplitSeq(b, []byte(";")) {
		if n, v, ok := bytes.Cut(part, []byte(":")); ok && string(n) == name {
			return v
		}
	}
	return nil
}

// At returns the node that a set-up says it plays at already, or nil.
func (m *Message) At() []byte { return extra(m.Get("extras"), "at") }

// ParseID reads a session's name of 16 hexadecimal digits.
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
