package rules

import (
	"math"
	"math/bits"
	"net/netip"
)

type addr = netip.Addr

// Whole numbers stay at the ends of their range.

func saturatingAdd(a, b int64) int64 {
	s := a + b
	if a >= 0 == (b >= 0) && s >= 0 != (a >= 0) {
		return int64Limit(a >= 0)
	}
	return s
}

func saturatingSub(a, b int64) int64 {
	d := a - b
	if a >= 0 != (b >= 0) && d >= 0 != (a >= 0) {
		return int64Limit(a >= 0)
	}
	return d
}

func saturatingMul(a, b int64) int64 {
	if a == 0 || b == 0 {
		return 0
	}
	positive := a > 0 == (b > 0)
	high, low := bits.Mul64(magnitude(a), magnitude(b))
	switch {
	case high > 0 || low > 1<<63 || low == 1<<63 && positive:
		return int64Limit(positive)
	case positive:
		return int64(low)
	}
	return -int64(low)
}

func saturatingDiv(a, b int64) int64 {
	switch {
	case b == 0:
		return 0
	case b == -1:
		return saturatingNeg(a)
	}
	return a / b
}

func modOrZero(a, b int64) int64 {
	if b == 0 || b == -1 {
		return 0
	}
	return a % b
}

func saturatingNeg(a int64) int64 {
	if a == math.MinInt64 {
		return math.MaxInt64
	}
	return -a
}

func magnitude(a int64) uint64 {
	if a < 0 {
		return -uint64(a)
	}
	return uint64(a)
}

func int64Limit(positive bool) int64 {
	if positive {
		return math.MaxInt64
	}
	return math.MinInt64
}

// clampFloat gives a number for what is none: 0, or an end of the range.
func clampFloat(f float64) float64 {
	switch {
	case f != f:
		return 0
	case f > math.MaxFloat64:
		return math.MaxFloat64
	case f < -math.MaxFloat64:
		return -math.MaxFloat64
	}
	return f
}

// floatToInt is the whole part of a number, at the ends of the range if need be.
func floatToInt(f float64) int64 {
	switch {
	case f != f:
		return 0
	case f >= 1<<63:
		return math.MaxInt64
	case f < -1<<63:
		return math.MinInt64
	}
	return int64(f)
}

// clampDate keeps a date within the years 1 to 9999.
func clampDate(n int64) int64 { return min(max(n, firstDate), lastDate) }

// intArith calculates with whole numbers.
func intArith(o byte, a, b int64) int64 {
	switch o {
	case '+':
		return saturatingAdd(a, b)
	case '-':
		return saturatingSub(a, b)
	case '*':
		return saturatingMul(a, b)
	case '/':
		return saturatingDiv(a, b)
	}
	return modOrZero(a, b)
}

// floatArith calculates with numbers.
func floatArith(o byte, a, b float64) float64 {
	switch o {
	case '+':
		a += b
	case '-':
		a -= b
	case '*':
		a *= b
	default:
		if b == 0 {
			return 0
		}
		a /= b
	}
	return clampFloat(a)
}

// parseInt reads a whole number without the allocation of an error.
func parseInt(s string) (int64, bool) {
	negative := len(s) > 0 && s[0] == '-'
	if negative {
		s = s[1:]
	}
	if len(s) == 0 {
		return 0, false
	}
	for len(s) > 1 && s[0] == '0' {
		s = s[1:]
	}
	if len(s) > 19 {
		return 0, false
	}
	var n uint64
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return 0, false
		}
		n = n*10 + uint64(s[i]-'0')
	}
	switch {
	case negative && n <= 1<<63:
		return -int64(n), true
	case n < 1<<63:
		return int64(n), !negative
	}
	return 0, false
}

// parseHex reads a title.
func parseHex(s string) (int64, bool) {
	if len(s) == 0 || len(s) > 16 {
		return 0, false
	}
	var n uint64
	for i := range len(s) {
		c := s[i]
		switch {
		case c >= '0' && c <= '9':
			c -= '0'
		case c >= 'a' && c <= 'f':
			c -= 'a' - 10
		case c >= 'A' && c <= 'F':
			c -= 'A' - 10
		default:
			return 0, false
		}
		n = n<<4 | uint64(c)
	}
	return int64(n), true
}

// isShortDecimal tells whether s is a short decimal number, with an exponent of up
// to two digits: one whose value is always finite, and that is read without the
// allocation of an error.
func isShortDecimal(s string) bool {
	if len(s) > 24 {
		return false
	}
	i := 0
	sign := func() {
		if i < len(s) && (s[i] == '-' || s[i] == '+') {
			i++
		}
	}
	digits := func() (n int) {
		for i < len(s) && s[i] >= '0' && s[i] <= '9' {
			i++
			n++
		}
		return n
	}
	sign()
	n := digits()
	if i < len(s) && s[i] == '.' {
		i++
		n += digits()
	}
	if n == 0 {
		return false
	}
	if i < len(s) && (s[i] == 'e' || s[i] == 'E') {
		i++
		sign()
		if n := digits(); n == 0 || n > 2 {
			return false
		}
	}
	return i == len(s)
}

// hasAddrForm tells whether s consists of what an address is written with, so that
// the library is not asked to make errors of whatever a client sends.
func hasAddrForm(s string) bool {
	if len(s) < 2 || len(s) > 45 {
		return false
	}
	dots, colons := 0, 0
	for i := range len(s) {
		switch c := s[i]; {
		case c == '.':
			dots++
		case c == ':':
			colons++
		case c >= '0' && c <= '9', c >= 'a' && c <= 'f', c >= 'A' && c <= 'F':
		default:
			return false
		}
	}
	return dots == 3 || colons >= 2
}

// compileAddrCall is addr(STRING). Only what looks like an address and is none makes
// the library allocate an error.
func compileAddrCall(k *compiler, n *node) optEvaluator[addr] {
	s := k.compileString(n.children[0])
	return func(f *Frame) (addr, bool) {
		v := s(f)
		f.cost += 12
		if !hasAddrForm(v) {
			return addr{}, false
		}
		a, err := netip.ParseAddr(v)
		return a.Unmap(), err == nil
	}
}

// matchGlob matches with * for any bytes and ? for one. On a mismatch it goes back to
// the last star only, so that its time is at most that of both lengths multiplied.
func matchGlob(s, p string) bool {
	i, j, star, mark := 0, 0, -1, 0
	for i < len(s) {
		switch {
		case j < len(p) && p[j] == '*':
			star, mark = j, i
			j++
		case j < len(p) && (p[j] == '?' || p[j] == s[i]):
			i++
			j++
		case star >= 0:
			mark++
			i, j = mark, star+1
		default:
			return false
		}
	}
	for j < len(p) && p[j] == '*' {
		j++
	}
	return j == len(p)
}

// civilDate is the year, month and day of a date. The years begin in March, so that
// the odd day of a leap year comes last, and go by periods of 400 years.
func civilDate(days int64) (year, month, day int64) {
	days += 719468 // from 0000-03-01
	era := days / 146097
	if days < 0 {
		era = (days - 146096) / 146097
	}
	n := days - era*146097
	y := (n - n/1460 + n/36524 - n/146096) / 365
	of := n - (365*y + y/4 - y/100)
	m := (5*of + 2) / 153
	day = of - (153*m+2)/5 + 1
	if month = m + 3; month > 12 {
		month -= 12
	}
	year = y + era*400
	if month <= 2 {
		year++
	}
	return year, month, day
}
