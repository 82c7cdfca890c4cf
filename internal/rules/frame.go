package rules

import (
	"math"
	"time"
	"unicode/utf8"
	"unsafe"
)

// Frame is the room that one evaluation needs. It serves one request at a time.
type Frame struct {
	set             *Set
	now             time.Time
	cost            int64
	generation      uint32 // of the request: what has another turn is of an earlier one
	vars            []RawValue
	texts           []RawValue
	slots           []RawValue
	slotGenerations []uint32 // by slot, of definitions
	zones           []zoneTime
	buf             []byte // the strings made for the request
	assignments     []Assignment
}

type zoneTime struct {
	generation  uint32
	clock, date int64
	// The offset from UTC, and from when until when it holds: asked for once, and
	// not for each request.
	offset, validFrom, validUntil int64
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
		slots: make([]RawValue, s.slots), slotGenerations: make([]uint32, s.slots), zones: make([]zoneTime, len(s.zones)),
		buf: make([]byte, 0, s.bufferSize), assignments: make([]Assignment, 0, s.maxAssignments),
	}
}

// Reset makes the frame ready for a request that came at a time. All that may be
// absent is.
func (f *Frame) Reset(now time.Time) {
	f.now, f.cost, f.buf, f.assignments = now, 0, f.buf[:0], f.assignments[:0]
	f.nextGeneration()
	clear(f.vars)
	clear(f.texts)
}

// nextGeneration has all definitions worked out anew.
func (f *Frame) nextGeneration() {
	if f.generation++; f.generation == 0 { // it has gone round
		clear(f.slotGenerations)
		for i := range f.zones {
			f.zones[i].generation = 0
		}
		f.generation = 1
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
func (f *Frame) SetString(v int, s string) { setString(&f.vars[v], s, f.set.env.Vars[v].MaxBytes) }

// SetText sets one of Set.Texts, likewise.
func (f *Frame) SetText(i int, b []byte) {
	setString(&f.texts[i], unsafe.String(unsafe.SliceData(b), len(b)), f.set.env.TextFamilies[f.set.texts[i].Family].MaxBytes)
}

// setString takes a string of up to most bytes. Guard: the cost of a set is bounded
// by the lengths that its texts may have, so a longer one, or one that is no
// UTF-8, is not there.
func setString(c *RawValue, s string, maxBytes int) {
	if len(s) <= maxBytes && utf8.ValidString(s) {
		c.Str, c.Present = s, true
	}
}

// Cost is what the evaluation has cost, in steps.
func (f *Frame) Cost() int64 { return f.cost }

// builtString is what was appended to buf from at on, as a string.
func (f *Frame) builtString(at int) string {
	if at == len(f.buf) {
		return ""
	}
	return unsafe.String(&f.buf[at], len(f.buf)-at)
}

// localTime works the time of day and the date at a place out, once for a request.
func (f *Frame) localTime(i int) *zoneTime {
	z := &f.zones[i]
	if z.generation != f.generation {
		now := f.now.Unix()
		if now < z.validFrom || now >= z.validUntil {
			z.loadOffset(f.now.In(f.set.zones[i].loc))
		}
		local := now + z.offset
		days := local / 86400
		if local%86400 < 0 {
			days--
		}
		z.generation = f.generation
		z.date = clampDate(days)
		z.clock = (local-days*86400)*int64(time.Second) + int64(f.now.Nanosecond())
	}
	return z
}

// loadOffset learns the offset that holds at t.
func (z *zoneTime) loadOffset(t time.Time) {
	_, offset := t.Zone()
	z.offset, z.validFrom, z.validUntil = int64(offset), math.MinInt64, math.MaxInt64
	validFrom, validUntil := t.ZoneBounds()
	if !validFrom.IsZero() {
		z.validFrom = validFrom.Unix()
	}
	if !validUntil.IsZero() {
		z.validUntil = validUntil.Unix()
	}
}
