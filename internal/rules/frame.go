package rules

import (
	"math"
	"time"
	"unicode/utf8"
	"unsafe"
)

// Frame is the room that one evaluation needs. It serves one request at a time.
type Frame struct {
	set   *Set
	now   time.Time
	cost  int64
	turn  uint32 // of the request: what has another turn is of an earlier one
	vars  []RawValue
	texts []RawValue
	slots []RawValue
	turns []uint32 // by slot, of definitions
	zones []zoneTime
	buf   []byte // the strings made for the request
	out   []Assignment
}

type zoneTime struct {
	turn        uint32
	clock, date int64
	// The offset from UTC, and from when until when it holds: asked for once, and
	// not for each request.
	offset, from, until int64
}

// Assignment is one thing that the matching rule sets.
type Assignment struct {
	Target  int // index into Env.Targets
	Subname string
	Value
	// Fixed tells that a string is the set's own, not part of the request's or the
	// frame's bytes, which are used again.
	Persistent bool
}

// NewFrame returns room to evaluate s in.
func (s *Set) NewFrame() *Frame {
	return &Frame{
		set: s, vars: make([]RawValue, len(s.env.Vars)), texts: make([]RawValue, len(s.texts)),
		slots: make([]RawValue, s.slots), turns: make([]uint32, s.slots), zones: make([]zoneTime, len(s.zones)),
		buf: make([]byte, 0, s.arena), out: make([]Assignment, 0, s.mostOut),
	}
}

// Reset makes the frame ready for a request that came at a time. All that may be
// absent is.
func (f *Frame) Reset(now time.Time) {
	f.now, f.cost, f.buf, f.out = now, 0, f.buf[:0], f.out[:0]
	f.forget()
	clear(f.vars)
	clear(f.texts)
}

// forget has all definitions worked out anew.
func (f *Frame) forget() {
	if f.turn++; f.turn == 0 { // it has gone round
		clear(f.turns)
		for i := range f.zones {
			f.zones[i].turn = 0
		}
		f.turn = 1
	}
}

// SetInt sets a variable that is held as a whole number.
func (f *Frame) SetInt(v int, n int64) { f.vars[v].Integer, f.vars[v].Present = n, true }

// SetFloat sets a number. What is none is absent.
func (f *Frame) SetFloat(v int, x float64) { f.vars[v].Float64, f.vars[v].Present = x, x-x == 0 }

// SetBool sets a truth value.
func (f *Frame) SetBool(v int, b bool) { f.vars[v].IsTrue, f.vars[v].Present = b, true }

// SetAddr sets an address. An invalid one is absent.
func (f *Frame) SetAddr(v int, a addr) { f.vars[v].IP, f.vars[v].Present = a.Unmap(), a.IsValid() }

// SetString sets a string, of which nothing may change until the evaluation and
// the reading of its result are over.
func (f *Frame) SetString(v int, s string) { setText(&f.vars[v], s, f.set.env.Vars[v].MaxBytes) }

// SetText sets one of Set.Texts, likewise.
func (f *Frame) SetText(i int, b []byte) {
	setText(&f.texts[i], unsafe.String(unsafe.SliceData(b), len(b)), f.set.env.TextFamilies[f.set.texts[i].Family].MaxBytes)
}

// setText takes a string of up to most bytes. Guard: the cost of a set is bounded
// by the lengths that its texts may have, so a longer one, or one that is no
// UTF-8, is not there.
func setText(c *RawValue, s string, most int) {
	if len(s) <= most && utf8.ValidString(s) {
		c.Str, c.Present = s, true
	}
}

// Cost is what the evaluation has cost, in steps.
func (f *Frame) Cost() int64 { return f.cost }

// since is what was appended to buf from at on, as a string.
func (f *Frame) since(at int) string {
	if at == len(f.buf) {
		return ""
	}
	return unsafe.String(&f.buf[at], len(f.buf)-at)
}

// zone works the time of day and the date at a place out, once for a request.
func (f *Frame) zone(i int) *zoneTime {
	z := &f.zones[i]
	if z.turn != f.turn {
		now := f.now.Unix()
		if now < z.from || now >= z.until {
			z.ask(f.now.In(f.set.zones[i].loc))
		}
		local := now + z.offset
		days := local / 86400
		if local%86400 < 0 {
			days--
		}
		z.turn = f.turn
		z.date = onDate(days)
		z.clock = (local-days*86400)*int64(time.Second) + int64(f.now.Nanosecond())
	}
	return z
}

// ask learns the offset that holds at t.
func (z *zoneTime) ask(t time.Time) {
	_, offset := t.Zone()
	z.offset, z.from, z.until = int64(offset), math.MinInt64, math.MaxInt64
	from, until := t.ZoneBounds()
	if !from.IsZero() {
		z.from = from.Unix()
	}
	if !until.IsZero() {
		z.until = until.Unix()
	}
}
