package rules

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"millethinge/internal/spell"
)

// index finds the row of a key: of a set literal, a table's line or a set's.
type index struct {
	kind     Kind // of the keys
	nums     map[int64]int32
	texts    map[string]int32
	prefixes map[netip.Prefix]int32 // of IPv6
	short    map[uint64]int32       // prefixes of IPv4, by shortKey
	lengths  [2][]int               // of prefixes, the longest first, for IPv4 and IPv6
}

func newIndex(kind Kind, n int) *index {
	x := &index{kind: kind}
	switch kind {
	case String:
		x.texts = make(map[string]int32, n)
	case Prefix:
		x.prefixes = make(map[netip.Prefix]int32)
		x.short = make(map[uint64]int32, n)
	default:
		x.nums = make(map[int64]int32, n)
	}
	return x
}

// add puts a key in. False: it is there already.
func (x *index) add(v Value, row int32) bool {
	switch x.kind {
	case String:
		if _, ok := x.texts[v.Str]; ok {
			return false
		}
		x.texts[v.Str] = row
	case Prefix:
		family := 0
		if v.Network.Addr().Is4() {
			key := shortKey(v.Network.Addr(), v.Network.Bits())
			if _, ok := x.short[key]; ok {
				return false
			}
			x.short[key] = row
		} else {
			if _, ok := x.prefixes[v.Network]; ok {
				return false
			}
			x.prefixes[v.Network] = row
			family = 1
		}
		if l := &x.lengths[family]; !slices.Contains(*l, v.Network.Bits()) {
			*l = append(*l, v.Network.Bits())
			slices.SortFunc(*l, func(a, b int) int { return b - a })
		}
	default:
		if _, ok := x.nums[v.Integer]; ok {
			return false
		}
		x.nums[v.Integer] = row
	}
	return true
}

func (x *index) num(n int64) int32 {
	if row, ok := x.nums[n]; ok {
		return row
	}
	return -1
}

func (x *index) str(s string) int32 {
	if row, ok := x.texts[s]; ok {
		return row
	}
	return -1
}

// addr finds the longest prefix that holds an address.
func (x *index) addr(a netip.Addr) int32 {
	a = a.Unmap()
	if a.Is4() {
		for _, bits := range x.lengths[0] {
			if row, ok := x.short[shortKey(a, bits)]; ok {
				return row
			}
		}
		return -1
	}
	a = a.WithZone("")
	for _, bits := range x.lengths[1] {
		if p, err := a.Prefix(bits); err == nil {
			if row, ok := x.prefixes[p]; ok {
				return row
			}
		}
	}
	return -1
}

// shortKey is an IPv4 address's first bits, with their number.
func shortKey(a netip.Addr, bits int) uint64 {
	b := a.As4()
	return uint64(binary.BigEndian.Uint32(b[:])>>(32-bits)<<(32-bits))<<8 | uint64(bits)
}

// cost is the most steps of one look-up by a key of up to most bytes.
func (x *index) cost(most int) int64 {
	switch x.kind {
	case String:
		return 6 + textCost(most)
	case Prefix:
		return 4 + 10*int64(max(len(x.lengths[0]), len(x.lengths[1])))
	}
	return 6
}

// table is a look-up that has been read.
type table struct {
	Table
	index  *index
	values []Value
	miss   Value // what there is no line for
	most   int   // bytes of a string among the values
}

// key is the kind that an expression must have to be looked up.
func (t *table) key() Kind {
	if t.KeyKind == Prefix {
		return Addr
	}
	return t.KeyKind
}

// readTable reads a table's lines and tells what is wrong with them.
func (b *builder) readTable(t Table) *table {
	out := &table{Table: t, index: newIndex(t.KeyKind, min(len(t.Lines), maxLines))}
	out.Lines = nil
	switch t.KeyKind {
	case Int, String, Duration, Date, Prefix, Class, Team, Title:
	default:
		b.failTable(t, "a table can't have %v for its key", t.KeyKind)
		return out
	}
	if t.ValueKind == Prefix || t.ValueKind == Addr {
		b.failTable(t, "a table can't have %v for its value", t.ValueKind)
		return out
	}
	if len(t.Lines) > maxLines {
		b.failTable(t, "%d lines; a table has at most %d", len(t.Lines), maxLines)
		return out
	}
	if b.lines += len(t.Lines); b.lines > maxAll {
		b.failTable(t, "%d lines in all tables; at most %d are kept", b.lines, maxAll)
		return out
	}
	if t.ValueKind != 0 {
		v, err := b.env.read(t.ValueKind, t.Default)
		if err != nil {
			b.failTable(t, "its default: %v", err)
		}
		out.miss = v
		out.most = len(v.Str)
		out.values = make([]Value, 0, len(t.Lines))
	}
	for row, l := range t.Lines {
		k, err := b.env.read(t.KeyKind, l.Key)
		if err != nil {
			b.failLine(l, 0, err.Error())
			continue
		}
		if !out.index.add(k, int32(row)) {
			b.failLine(l, 0, fmt.Sprintf("%q stands twice", l.Key))
			continue
		}
		if t.ValueKind == 0 {
			continue
		}
		v, err := b.env.read(t.ValueKind, l.Value)
		if err != nil {
			b.failLine(l, 1, err.Error())
		}
		for len(out.values) < row { // faulty lines before
			out.values = append(out.values, Value{})
		}
		out.values = append(out.values, v)
		out.most = max(out.most, len(v.Str))
	}
	return out
}

// at is the value of a row, or what there is no line for.
func (t *table) at(row int32) *Value {
	if row < 0 {
		return &t.miss
	}
	return &t.values[row]
}

// read understands the text of a table's key or value.
func (e *Env) read(k Kind, text string) (Value, error) {
	v := Value{Kind: k, RawValue: RawValue{Present: true}}
	bad := func(what string) (Value, error) { return v, fmt.Errorf("%q is no %s", text, what) }
	var err error
	switch k {
	case Bool:
		switch text {
		case "true", "yes", "on":
			v.IsTrue = true
		case "false", "no", "off":
		default:
			return bad("bool")
		}
	case Int:
		digits, base := strings.ReplaceAll(text, "_", ""), 10
		if hex, ok := strings.CutPrefix(digits, "0x"); ok {
			digits, base = hex, 16
		}
		if v.Integer, err = strconv.ParseInt(digits, base, 64); err != nil {
			return bad("whole number")
		}
	case Float:
		if v.Float64, err = strconv.ParseFloat(text, 64); err != nil || v.Float64 != v.Float64 || v.Float64-v.Float64 != 0 {
			return bad("number")
		}
	case String:
		if len(text) > maxString {
			return v, fmt.Errorf("a string of %d bytes; at most %d are kept", len(text), maxString)
		}
		v.Str = text
	case Duration:
		d, err := time.ParseDuration(text)
		if err != nil {
			return bad("duration, as in 250ms or 1h30m")
		}
		v.Integer = int64(d)
	case Clock:
		t, err := time.Parse("15:04:05", text)
		if err != nil {
			if t, err = time.Parse("15:04", text); err != nil {
				return bad("time of day, as in 18:30")
			}
		}
		v.Integer = int64(t.Sub(t.Truncate(24 * time.Hour)))
	case Date:
		t, err := time.Parse(time.DateOnly, text)
		if err != nil {
			return bad("date, as in 2026-12-15")
		}
		v.Integer = t.Unix() / 86400
		if t.Unix() < 0 && t.Unix()%86400 != 0 {
			v.Integer--
		}
	case Addr:
		if v.IP, err = netip.ParseAddr(text); err != nil {
			return bad("address")
		}
		v.IP = v.IP.Unmap()
	case Prefix:
		p, err := netip.ParsePrefix(text)
		if err != nil {
			return bad("prefix, as in 10.4.0.0/16")
		}
		if p.Masked() != p {
			return v, fmt.Errorf("%q has bits set behind its length; %v has not", text, p.Masked())
		}
		v.Network = p
	case Title:
		n, err := strconv.ParseUint(text, 16, 64)
		if err != nil || len(text) > 16 {
			return bad("title of up to 16 hexadecimal digits")
		}
		v.Integer = int64(n)
	case Class, Team:
		names := e.Classes
		if k == Team {
			names = e.Teams
		}
		v.Integer = int64(slices.Index(names, text))
		if v.Integer < 0 && text != "none" {
			return v, fmt.Errorf("%q is no %v of this deployment%s", text, k, spell.Suggest(text, names))
		}
	}
	return v, nil
}
