package rules

import (
	"math"
	"time"
	"unicode/utf8"
	"unsafe"
)

// Frame holds the state of one evaluation. It serves one request at a time.
type Frame struct {
	set             *Set
	now             time.Time
	cost            int64
	generation      uint32 // number of the request; slots and zones with another number are stale
	vars            []RawValue
	texts           []RawValue
	slots           []RawValue
	slotGenerations []uint32 // by slot, for definitions
	zones           []zoneTime
	buf             []byte // strings built during the evaluation
	assignments     []Assignment
}

// zoneTime is the time in one zone, computed at most once per request.
type zoneTime struct {
	generation  uint32
	clock, date int64
	// The offset from UTC in seconds, and the Unix times between which it holds. It is looked up when the
	// time leaves that interval, not for each request.
	offset, validFrom, validUntil int64
}

// Assignment is a value that the matching rule assigns to a target.
type Assignment struct {
	Target  int // index into Env.Targets
	Subname string
	Value
	// Persistent is set if the bytes of a string belong to the Set. Otherwise they belong to the request or
	// the frame, and are reused.
	Persistent bool
}

// NewFrame returns a frame for evaluations of s.
func (s *Set) NewFrame() *Frame {
	return &Frame{
		set: s, vars: make([]RawValue, len(s.env.Vars)), texts: make([]RawValue, len(s.texts)),
		slots: make([]RawValue, s.slots), slotGenerations: make([]uint32, s.slots), zones: make([]zoneTime, len(s.zones)),
		buf: make([]byte, 0, s.bufferSize), assignments: make([]Assignment, 0, s.maxAssignments),
	}
}

// Reset prepares the frame for a request received at now. Afterwards, what is optional is absent and the
// other variables are zero.
func (f *Frame) Reset(now time.Time) {
	f.now, f.cost, f.buf, f.assignments = now, 0, f.buf[:0], f.assignments[:0]
	f.nextGeneration()
	clear(f.vars)
	clear(f.texts)
}

// nextGeneration invalidates the values of all definitions.
func (f *Frame) nextGeneration() {
	if f.generation++; f.generation == 0 { // the counter wrapped around
		clear(f.slotGenerations)
		for i := range f.zones {
			f.zones[i].generation = 0
		}
		f.generation = 1
	}
}

// SetInt sets a variable that is represented as an integer.
func (f *Frame) SetInt(v int, n int64) { f.vars[v].Integer, f.vars[v].Present = n, true }

// SetFloat sets a float variable. NaN and the infinities make it absent.
func (f *Frame) SetFloat(v int, x float64) { f.vars[v].Float64, f.vars[v].Present = x, x-x == 0 }

// SetBool sets a bool variable.
func (f *Frame) SetBool(v int, b bool) { f.vars[v].IsTrue, f.vars[v].Present = b, true }

// SetAddr sets an address variable. An invalid address makes it absent.
func (f *Frame) SetAddr(v int, a addr) { f.vars[v].IP, f.vars[v].Present = a.Unmap(), a.IsValid() }

// SetString sets a string variable. The bytes of s must not change until the evaluation is over and its
// result has been read.
func (f *Frame) SetString(v int, s string) { setString(&f.vars[v], s, f.set.env.Vars[v].MaxBytes) }

// SetText sets text i of Set.TextRefs. Like the string of SetString, b must not change.
func (f *Frame) SetText(i int, b []byte) {
	setString(&f.texts[i], unsafe.String(unsafe.SliceData(b), len(b)), f.set.env.TextFamilies[f.set.texts[i].Family].MaxBytes)
}

// setString stores a string of up to maxBytes bytes. Guard: the cost bound of a set relies on the maximum
// lengths of its texts, so a longer string, or one that is not valid UTF-8, is absent.
func setString(c *RawValue, s string, maxBytes int) {
	if len(s) <= maxBytes && utf8.ValidString(s) {
		c.Str, c.Present = s, true
	}
}

// Cost returns the cost of the evaluation so far, in steps.
func (f *Frame) Cost() int64 { return f.cost }

// builtString returns what was appended to buf from start on, as a string.
func (f *Frame) builtString(start int) string {
	if start == len(f.buf) {
		return ""
	}
	return unsafe.String(&f.buf[start], len(f.buf)-start)
}

// localTime returns the time of day and the date in zone i, computed once per request.
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

// loadOffset looks up the offset that holds at t.
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
