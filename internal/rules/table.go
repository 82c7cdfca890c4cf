package rules

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"millethinge/internal/suggest"
)

// keyIndex maps the keys of a list literal, a table or a set to rows.
type keyIndex struct {
	kind          Kind // of the keys
	byInt         map[int64]int32
	byString      map[string]int32
	byIPv6Prefix  map[netip.Prefix]int32 // IPv6 prefixes
	byIPv4Prefix  map[uint64]int32       // IPv4 prefixes, by ipv4PrefixKey
	prefixLengths [2][]int               // of IPv4 and of IPv6 prefixes, the longest first
}

func newKeyIndex(kind Kind, n int) *keyIndex {
	x := &keyIndex{kind: kind}
	switch kind {
	case String:
		x.byString = make(map[string]int32, n)
	case Prefix:
		x.byIPv6Prefix = make(map[netip.Prefix]int32)
		x.byIPv4Prefix = make(map[uint64]int32, n)
	default:
		x.byInt = make(map[int64]int32, n)
	}
	return x
}

// add adds a key. It reports whether the key is new.
func (x *keyIndex) add(v Value, row int32) bool {
	switch x.kind {
	case String:
		if _, ok := x.byString[v.Str]; ok {
			return false
		}
		x.byString[v.Str] = row
	case Prefix:
		family := 0
		if v.Network.Addr().Is4() {
			key := ipv4PrefixKey(v.Network.Addr(), v.Network.Bits())
			if _, ok := x.byIPv4Prefix[key]; ok {
				return false
			}
			x.byIPv4Prefix[key] = row
		} else {
			if _, ok := x.byIPv6Prefix[v.Network]; ok {
				return false
			}
			x.byIPv6Prefix[v.Network] = row
			family = 1
		}
		if l := &x.prefixLengths[family]; !slices.Contains(*l, v.Network.Bits()) {
			*l = append(*l, v.Network.Bits())
			slices.SortFunc(*l, func(a, b int) int { return b - a })
		}
	default:
		if _, ok := x.byInt[v.Integer]; ok {
			return false
		}
		x.byInt[v.Integer] = row
	}
	return true
}

func (x *keyIndex) findInt(n int64) int32 {
	if row, ok := x.byInt[n]; ok {
		return row
	}
	return -1
}

func (x *keyIndex) findString(s string) int32 {
	if row, ok := x.byString[s]; ok {
		return row
	}
	return -1
}

// findAddr returns the row of the longest prefix that contains an address, or -1.
func (x *keyIndex) findAddr(a netip.Addr) int32 {
	a = a.Unmap()
	if a.Is4() {
		for _, bits := range x.prefixLengths[0] {
			if row, ok := x.byIPv4Prefix[ipv4PrefixKey(a, bits)]; ok {
				return row
			}
		}
		return -1
	}
	a = a.WithZone("")
	for _, bits := range x.prefixLengths[1] {
		if p, err := a.Prefix(bits); err == nil {
			if row, ok := x.byIPv6Prefix[p]; ok {
				return row
			}
		}
	}
	return -1
}

// ipv4PrefixKey combines the first bits of an IPv4 address with their number.
func ipv4PrefixKey(a netip.Addr, bits int) uint64 {
	b := a.As4()
	return uint64(binary.BigEndian.Uint32(b[:])>>(32-bits)<<(32-bits))<<8 | uint64(bits)
}

// lookupCost is the maximum cost of one lookup by a key of up to maxBytes bytes, in steps.
func (x *keyIndex) lookupCost(maxBytes int) int64 {
	switch x.kind {
	case String:
		return 6 + scanCost(maxBytes)
	case Prefix:
		return 4 + 10*int64(max(len(x.prefixLengths[0]), len(x.prefixLengths[1])))
	}
	return 6
}

// table is a compiled Table.
type table struct {
	Table
	keyIndex     *keyIndex
	values       []Value
	defaultValue Value // for keys without a line
	maxBytes     int   // of the strings among the values
}

// lookupKind is the kind that a lookup expression must have.
func (t *table) lookupKind() Kind {
	if t.KeyKind == Prefix {
		return Addr
	}
	return t.KeyKind
}

// readTable compiles a table and reports the errors in its lines.
func (b *setBuilder) readTable(t Table) *table {
	out := &table{Table: t, keyIndex: newKeyIndex(t.KeyKind, min(len(t.Lines), maxTableLines))}
	out.Lines = nil
	switch t.KeyKind {
	case Int, String, Duration, Date, Prefix, Class, Team, Title:
	default:
		b.tableErrorf(t, "a table can't have %v for its key", t.KeyKind)
		return out
	}
	if t.ValueKind == Prefix || t.ValueKind == Addr {
		b.tableErrorf(t, "a table can't have %v for its value", t.ValueKind)
		return out
	}
	if len(t.Lines) > maxTableLines {
		b.tableErrorf(t, "%d lines; a table has at most %d", len(t.Lines), maxTableLines)
		return out
	}
	if b.tableLines += len(t.Lines); b.tableLines > maxAllLines {
		b.tableErrorf(t, "%d lines in all tables; at most %d are kept", b.tableLines, maxAllLines)
		return out
	}
	if t.ValueKind != 0 {
		v, err := b.env.parseValue(t.ValueKind, t.Default)
		if err != nil {
			b.tableErrorf(t, "its default: %v", err)
		}
		out.defaultValue = v
		out.maxBytes = len(v.Str)
		out.values = make([]Value, 0, len(t.Lines))
	}
	for row, l := range t.Lines {
		k, err := b.env.parseValue(t.KeyKind, l.Key)
		if err != nil {
			b.lineError(l, 0, err.Error())
			continue
		}
		if !out.keyIndex.add(k, int32(row)) {
			b.lineError(l, 0, fmt.Sprintf("%q stands twice", l.Key))
			continue
		}
		if t.ValueKind == 0 {
			continue
		}
		v, err := b.env.parseValue(t.ValueKind, l.Value)
		if err != nil {
			b.lineError(l, 1, err.Error())
		}
		for len(out.values) < row { // faulty lines before this one have no value
			out.values = append(out.values, Value{})
		}
		out.values = append(out.values, v)
		out.maxBytes = max(out.maxBytes, len(v.Str))
	}
	return out
}

// valueAt returns the value of a row; row -1 has the default value.
func (t *table) valueAt(row int32) *Value {
	if row < 0 {
		return &t.defaultValue
	}
	return &t.values[row]
}

// parseValue parses the text of a literal, a table key or a table value.
func (e *Env) parseValue(k Kind, text string) (Value, error) {
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
		if len(text) > maxStringBytes {
			return v, fmt.Errorf("a string of %d bytes; at most %d are kept", len(text), maxStringBytes)
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
			return v, fmt.Errorf("%q is no %v of this deployment%s", text, k, suggest.Suggest(text, names))
		}
	}
	return v, nil
}
