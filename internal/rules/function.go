package rules

import (
	"math"
	"math/bits"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"millethinge/internal/spell"
)

// function is one that expressions may call. Of the evaluators the one of its
// result's form is set; opt… ones are of results that may be absent.
type function struct {
	usage string
	doc   string
	check func(c *checker, at int, args []*node) *node
	cost  func(*node) int64
	makes bool // its result is a string of its own

	boolean func(*compiler, *node) fn[bool]
	num     func(*compiler, *node) fn[int64]
	float   func(*compiler, *node) fn[float64]
	text    func(*compiler, *node) fn[string]
	optNum  func(*compiler, *node) opt[int64]
	optFlt  func(*compiler, *node) opt[float64]
	optText func(*compiler, *node) opt[string]
	optAddr func(*compiler, *node) opt[addr]
}

// functions is filled by init, since some refer to it.
var functions map[string]*function

// call checks a call.
func (c *checker) call(at int, g *gCall) *node {
	if i := slices.IndexFunc(c.env.TextFamilies, func(v TextFamily) bool { return v.Name == g.Name }); i >= 0 {
		return c.textVar(at, i, g)
	}
	f := functions[g.Name]
	if f == nil {
		names := make([]string, 0, len(functions))
		for n := range functions {
			names = append(names, n)
		}
		slices.Sort(names)
		for _, e := range g.Args {
			c.expr(e)
		}
		return c.fail(at, "no function %q%s", g.Name, spell.Suggest(g.Name, names))
	}
	args := make([]*node, len(g.Args))
	for i, e := range g.Args {
		args[i] = c.expr(e)
	}
	if slices.Contains(args, nil) {
		return nil
	}
	n := f.check(c, at, args)
	if n == nil {
		return nil
	}
	if n.op == opCall && n.fn == nil {
		n.fn, n.at, n.text = f, at, g.Name
		return c.made(n)
	}
	return n
}

// textVar is NAME("x").
func (c *checker) textVar(at, family int, g *gCall) *node {
	f := c.env.TextFamilies[family]
	if len(g.Args) == 1 {
		if arg := c.expr(g.Args[0]); arg != nil && arg.isConst() && arg.typ.Kind == String && arg.val.Str != "" && len(arg.val.Str) <= maxName {
			ref := TextRef{family, arg.val.Str}
			i := slices.Index(c.texts, ref)
			if i < 0 {
				if len(c.texts) >= maxTexts {
					return c.fail(at, "more than %d different texts of a request", maxTexts)
				}
				i = len(c.texts)
				c.texts = append(c.texts, ref)
			}
			return c.made(&node{op: opText, typ: Type{String, true}, at: at, idx: i, most: f.MaxBytes, text: g.Name + "(" + strconv.Quote(ref.Name) + ")"})
		}
	}
	return c.fail(at, "%s wants a name in quotes of at most %d bytes, as in %s(\"x\")", g.Name, maxName, g.Name)
}

// want checks the number and the kinds of arguments; 0 is any kind.
func (c *checker) want(at int, f string, args []*node, kinds ...Kind) bool {
	if len(args) != len(kinds) {
		c.fail(at, "%s", functions[f].usage)
		return false
	}
	for i, k := range kinds {
		if c.present(args[i]) == nil {
			return false
		}
		args[i] = c.as(args[i], k)
		if k != 0 && args[i].typ.Kind != k || args[i].typ.Kind == nothing {
			c.fail(args[i].at, "%v is wanted here, and this is %v: %s", k, args[i].typ, functions[f].usage)
			return false
		}
	}
	return true
}

// fixed wants an argument to be a constant.
func (c *checker) fixed(n *node, what string) bool {
	if n.isConst() {
		return true
	}
	c.fail(n.at, "%s has to be a constant", what)
	return false
}

// result is a call that yields a type, with the arguments that are evaluated.
func result(k Kind, optional bool, most int, args ...*node) *node {
	return &node{op: opCall, typ: Type{k, optional}, kids: args, most: most}
}

// flat is the cost of what takes the same time always.
func flat(steps int64) func(*node) int64 { return func(*node) int64 { return steps } }

// scan is the cost of going over the first argument once.
func scan(n *node) int64 { return 2 + textCost(n.kids[0].most) }

func init() {
	functions = map[string]*function{
		"len": {
			usage: "len(STRING)", doc: "its length in bytes", cost: flat(1),
			check: func(c *checker, at int, args []*node) *node {
				if !c.want(at, "len", args, String) {
					return nil
				}
				return result(Int, false, 0, args[0])
			},
			num: func(k *compiler, n *node) fn[int64] {
				s := k.text(n.kids[0])
				return func(f *Frame) int64 { f.cost++; return int64(len(s(f))) }
			},
		},
		"lower":  cased("lower", 'A', 'Z', 'a'-'A'),
		"upper":  cased("upper", 'a', 'z', -('a' - 'A')),
		"starts": within("starts", strings.HasPrefix, func(n *node) int64 { return textCost(n.kids[1].most) }),
		"ends":   within("ends", strings.HasSuffix, func(n *node) int64 { return textCost(n.kids[1].most) }),
		"contains": within("contains", strings.Contains, func(n *node) int64 {
			// The standard library's search is linear but for short windows.
			return 2 + 4*textCost(n.kids[0].most) + textCost(n.kids[1].most)
		}),
		"glob": {
			usage: `glob(STRING, "PATTERN"): * stands for any bytes, ? for one`, doc: "whether it is like a pattern",
			// Each star may begin anew at each byte.
			cost: func(n *node) int64 { return 2 + int64(n.kids[0].most+1)*int64(len(n.text2())+1)/2 },
			check: func(c *checker, at int, args []*node) *node {
				if !c.want(at, "glob", args, String, String) || !c.fixed(args[1], "the pattern") {
					return nil
				}
				if p := args[1].val.Str; len(p) > maxPattern {
					return c.fail(args[1].at, "a pattern of %d bytes; at most %d are read", len(p), maxPattern)
				}
				n := result(Bool, false, 0, args[0])
				n.arg.Str = args[1].val.Str
				return n
			},
			boolean: func(k *compiler, n *node) fn[bool] {
				s, p, cost := k.text(n.kids[0]), n.arg.Str, int64(len(n.arg.Str)+1)
				return func(f *Frame) bool {
					v := s(f)
					f.cost += 2 + int64(len(v)+1)*cost/2
					return glob(v, p)
				}
			},
		},
		"matches": {
			usage: "matches(STRING, `PATTERN`)", doc: "whether a regular expression (RE2) is found in it",
			cost: func(n *node) int64 { return 20 + int64(n.insts)*int64(n.kids[0].most+1) },
			check: func(c *checker, at int, args []*node) *node {
				if !c.want(at, "matches", args, String, String) || !c.fixed(args[1], "the pattern") {
					return nil
				}
				re, insts := c.pattern(args[1].at, args[1].val.Str)
				if re == nil {
					return nil
				}
				n := result(Bool, false, 0, args[0])
				n.re, n.insts = re, insts
				return n
			},
			boolean: func(k *compiler, n *node) fn[bool] {
				s, re, insts := k.text(n.kids[0]), n.re, int64(n.insts)
				empty := re.MatchString("") // many texts are absent, and need no machine
				return func(f *Frame) bool {
					v := s(f)
					if v == "" {
						f.cost++
						return empty
					}
					f.cost += 20 + insts*int64(len(v)+1)
					return re.MatchString(v)
				}
			},
		},
		"part": {
			usage: `part(STRING, "SEPARATOR", N): the Nth part, from 1`, doc: "one part of a string; absent if there are fewer", cost: scan,
			check: func(c *checker, at int, args []*node) *node {
				if !c.want(at, "part", args, String, String, Int) || !c.fixed(args[1], "the separator") || !c.fixed(args[2], "the part's number") {
					return nil
				}
				if len(args[1].val.Str) != 1 || args[2].val.Integer < 1 || args[2].val.Integer > 1000 {
					return c.fail(args[1].at, "the separator is one byte, the part's number from 1 to 1000")
				}
				n := result(String, true, args[0].most, args[0])
				n.arg.Str, n.arg.Integer = args[1].val.Str, args[2].val.Integer
				return n
			},
			optText: func(k *compiler, n *node) opt[string] {
				s, sep, nth := k.text(n.kids[0]), n.arg.Str[0], n.arg.Integer
				return func(f *Frame) (string, bool) {
					v := s(f)
					f.cost += 2 + textCost(len(v))
					for i := nth; i > 1; i-- {
						j := strings.IndexByte(v, sep)
						if j < 0 {
							return "", false
						}
						v = v[j+1:]
					}
					if j := strings.IndexByte(v, sep); j >= 0 {
						v = v[:j]
					}
					return v, true
				}
			},
		},
		"text": {
			usage: "text(X): X is an int, a title, a class, a team or a bool", doc: "X in letters", makes: true,
			cost: func(n *node) int64 { return 4 + textCost(n.most) },
			check: func(c *checker, at int, args []*node) *node {
				if !c.want(at, "text", args, 0) {
					return nil
				}
				most := map[Kind]int{Int: 20, Title: 16, Bool: 5}[args[0].typ.Kind]
				names := []string{"none"}
				switch args[0].typ.Kind {
				case Class:
					names = append(names, c.env.Classes...)
				case Team:
					names = append(names, c.env.Teams...)
				default:
					names = nil
				}
				for _, n := range names {
					most = max(most, len(n))
				}
				if most == 0 {
					return c.fail(at, "%v can't be put in letters: %s", args[0].typ, functions["text"].usage)
				}
				return result(String, false, most, args[0])
			},
			text: letters,
		},
		"hash": {
			usage: "hash(X): X is a string, a title, an int, a class or a team", doc: "a number that is the same at every manager",
			cost: hashCost,
			check: func(c *checker, at int, args []*node) *node {
				if !c.want(at, "hash", args, 0) || !c.hashable(args[0]) {
					return nil
				}
				return result(Int, false, 0, args[0])
			},
			num: func(k *compiler, n *node) fn[int64] {
				h := k.hash(n.kids[0])
				return func(f *Frame) int64 { return int64(h(f) >> 1) }
			},
		},
		"bucket": {
			usage: "bucket(X, N): from 0 to N-1; X is a string, a title, an int, a class or a team",
			doc:   "which of N equal shares X belongs to, the same at every manager", cost: hashCost,
			check: func(c *checker, at int, args []*node) *node {
				if !c.want(at, "bucket", args, 0, Int) || !c.hashable(args[0]) || !c.fixed(args[1], "the number of shares") {
					return nil
				}
				if n := args[1].val.Integer; n < 1 || n > maxBuckets {
					return c.fail(args[1].at, "from 1 to %d shares", maxBuckets)
				}
				n := result(Int, false, 0, args[0])
				n.arg.Integer = args[1].val.Integer
				return n
			},
			num: func(k *compiler, n *node) fn[int64] {
				h, shares := k.hash(n.kids[0]), uint64(n.arg.Integer)
				return func(f *Frame) int64 {
					high, _ := bits.Mul64(h(f), shares)
					return int64(high)
				}
			},
		},
		"min": lesser("min", true),
		"max": lesser("max", false),
		"abs": {
			usage: "abs(NUMBER)", doc: "its size", cost: flat(1),
			check: func(c *checker, at int, args []*node) *node {
				if !c.want(at, "abs", args, 0) {
					return nil
				}
				switch k := args[0].typ.Kind; k {
				case Int, Float, Duration:
					return result(k, false, 0, args[0])
				}
				return c.fail(at, "%v has no size: %s", args[0].typ, functions["abs"].usage)
			},
			num: func(k *compiler, n *node) fn[int64] {
				x := k.num(n.kids[0])
				return func(f *Frame) int64 {
					f.cost++
					v := x(f)
					if v < 0 {
						v = negate(v)
					}
					return v
				}
			},
			float: func(k *compiler, n *node) fn[float64] {
				x := k.float(n.kids[0])
				return func(f *Frame) float64 { f.cost++; return math.Abs(x(f)) }
			},
		},
		"int": {
			usage: "int(STRING), which may be absent, or int(FLOAT)", doc: "a whole number", cost: func(n *node) int64 { return 8 + textCost(n.kids[0].most) },
			check: func(c *checker, at int, args []*node) *node {
				if !c.want(at, "int", args, 0) {
					return nil
				}
				switch args[0].typ.Kind {
				case String:
					return result(Int, true, 0, args[0])
				case Float:
					return result(Int, false, 0, args[0])
				}
				return c.fail(at, "%v is no whole number: %s", args[0].typ, functions["int"].usage)
			},
			num: func(k *compiler, n *node) fn[int64] {
				x := k.float(n.kids[0])
				return func(f *Frame) int64 { f.cost++; return truncate(x(f)) }
			},
			optNum: func(k *compiler, n *node) opt[int64] {
				s := k.text(n.kids[0])
				return func(f *Frame) (int64, bool) {
					v := s(f)
					f.cost += 8 + textCost(len(v))
					return atoi(v)
				}
			},
		},
		"float": {
			usage: "float(STRING), which may be absent, or float(INT)", doc: "a number", cost: func(n *node) int64 { return 8 + 4*textCost(n.kids[0].most) },
			check: func(c *checker, at int, args []*node) *node {
				if !c.want(at, "float", args, 0) {
					return nil
				}
				switch args[0].typ.Kind {
				case String:
					return result(Float, true, 0, args[0])
				case Int:
					return result(Float, false, 0, args[0])
				}
				return c.fail(at, "%v is no number: %s", args[0].typ, functions["float"].usage)
			},
			float: func(k *compiler, n *node) fn[float64] {
				x := k.num(n.kids[0])
				return func(f *Frame) float64 { f.cost++; return float64(x(f)) }
			},
			optFlt: func(k *compiler, n *node) opt[float64] {
				s := k.text(n.kids[0])
				return func(f *Frame) (float64, bool) {
					v := s(f)
					f.cost += 8
					if !plainNumber(v) {
						return 0, false
					}
					x, err := strconv.ParseFloat(v, 64)
					return x, err == nil
				}
			},
		},
		"ms": {
			usage: "ms(DURATION)", doc: "its milliseconds, a whole number", cost: flat(1),
			check: func(c *checker, at int, args []*node) *node {
				if !c.want(at, "ms", args, Duration) {
					return nil
				}
				return result(Int, false, 0, args[0])
			},
			num: func(k *compiler, n *node) fn[int64] {
				x := k.num(n.kids[0])
				return func(f *Frame) int64 { f.cost++; return x(f) / int64(time.Millisecond) }
			},
		},
		"has": {
			usage: "has(X)", doc: "whether what may be absent is there", cost: flat(1),
			check: func(c *checker, at int, args []*node) *node {
				if len(args) != 1 {
					return c.fail(at, "%s", functions["has"].usage)
				}
				if !args[0].typ.Optional {
					return c.fail(args[0].at, "this is never absent")
				}
				return c.made(&node{op: opHas, typ: Type{Kind: Bool}, at: at, kids: args})
			},
		},
		"class": named("class", Class),
		"team":  named("team", Team),
		"title": {
			usage: `title("HEXADECIMAL"), or title(STRING), which may be absent`, doc: "a title", cost: func(n *node) int64 { return 8 + textCost(n.kids[0].most) },
			check: func(c *checker, at int, args []*node) *node {
				if !c.want(at, "title", args, String) {
					return nil
				}
				if args[0].isConst() {
					return c.constOf(at, Title, args[0].val.Str)
				}
				return result(Title, true, 0, args[0])
			},
			optNum: func(k *compiler, n *node) opt[int64] {
				s := k.text(n.kids[0])
				return func(f *Frame) (int64, bool) {
					v := s(f)
					f.cost += 8
					return unhex(v)
				}
			},
		},
		"addr": {
			usage: `addr("ADDRESS"), or addr(STRING), which may be absent`, doc: "an address", cost: func(n *node) int64 { return 12 + textCost(n.kids[0].most) },
			check: func(c *checker, at int, args []*node) *node {
				if !c.want(at, "addr", args, String) {
					return nil
				}
				if args[0].isConst() {
					return c.constOf(at, Addr, args[0].val.Str)
				}
				return result(Addr, true, 0, args[0])
			},
			optAddr: parseAddr,
		},
		"prefix": {
			usage: `prefix("ADDRESS/LENGTH")`, doc: "addresses that begin alike", cost: flat(1),
			check: func(c *checker, at int, args []*node) *node {
				if !c.want(at, "prefix", args, String) || !c.fixed(args[0], "a prefix") {
					return nil
				}
				return c.constOf(at, Prefix, args[0].val.Str)
			},
		},
		"clock": inZone("clock", "the time of day there"),
		"today": inZone("today", "the date there"),
		"day":   calendar("day", "of the month, from 1", Int, func(n int64) int64 { _, _, d := civil(n); return d }),
		"month": calendar("month", "from 1", Int, func(n int64) int64 { _, m, _ := civil(n); return m }),
		"year":  calendar("year", "", Int, func(n int64) int64 { y, _, _ := civil(n); return y }),
		"weekday": calendar("weekday", "from 1, Monday, to 7, Sunday", Int, func(n int64) int64 {
			return ((n+3)%7+7)%7 + 1 // day 0 was a Thursday
		}),
		"last_day": calendar("last_day", "whether it ends its month", Bool, func(n int64) int64 {
			_, _, next := civil(n + 1)
			return truth(next == 1)
		}),
		"quincena": calendar("quincena", "whether it is the 15th or ends its month", Bool, func(n int64) int64 {
			_, _, d := civil(n)
			_, _, next := civil(n + 1)
			return truth(d == 15 || next == 1)
		}),
		"hour":   ofClock("hour", time.Hour, 24),
		"minute": ofClock("minute", time.Minute, 60),
		"between": {
			usage: "between(CLOCK, FROM, TO)", doc: "whether a time of day is from FROM until TO, which may be past midnight", cost: flat(2),
			check: func(c *checker, at int, args []*node) *node {
				if !c.want(at, "between", args, Clock, Clock, Clock) {
					return nil
				}
				return result(Bool, false, 0, args...)
			},
			boolean: func(k *compiler, n *node) fn[bool] {
				x, from, to := k.num(n.kids[0]), k.num(n.kids[1]), k.num(n.kids[2])
				return func(f *Frame) bool {
					f.cost += 2
					v, a, b := x(f), from(f), to(f)
					if a <= b {
						return v >= a && v < b
					}
					return v >= a || v < b
				}
			},
		},
	}
}

// text2 is the pattern of a glob.
func (n *node) text2() string { return n.arg.Str }

// constOf is a constant that is read from a string.
func (c *checker) constOf(at int, k Kind, text string) *node {
	v, err := c.env.read(k, text)
	if err != nil {
		return c.fail(at, "%v", err)
	}
	return c.made(constant(v, at))
}

// named is class("x") and team("x"), for names that mean two things, or are no
// words.
func named(name string, k Kind) *function {
	return &function{
		usage: name + `("NAME")`, doc: "the " + name + " of that name", cost: flat(1),
		check: func(c *checker, at int, args []*node) *node {
			if !c.want(at, name, args, String) || !c.fixed(args[0], "a name") {
				return nil
			}
			return c.constOf(at, k, args[0].val.Str)
		},
	}
}

// cased is lower and upper, of the letters of ASCII.
func cased(name string, from, to byte, by int) *function {
	return &function{
		usage: name + "(STRING)", doc: "with the letters A to Z in " + name + " case", makes: true,
		cost: func(n *node) int64 { return 2 + int64(n.kids[0].most)/2 },
		check: func(c *checker, at int, args []*node) *node {
			if !c.want(at, name, args, String) {
				return nil
			}
			return result(String, false, args[0].most, args[0])
		},
		text: func(k *compiler, n *node) fn[string] {
			s := k.text(n.kids[0])
			return func(f *Frame) string {
				v := s(f)
				f.cost += 2 + int64(len(v))/2
				at := len(f.buf)
				for i := range len(v) {
					c := v[i]
					if c >= from && c <= to {
						c = byte(int(c) + by)
					}
					f.buf = append(f.buf, c)
				}
				return f.since(at)
			}
		},
	}
}

// within is a test of two strings.
func within(name string, test func(s, part string) bool, cost func(*node) int64) *function {
	return &function{
		usage: name + "(STRING, STRING)", doc: "whether the first " + name + " with (or has) the second",
		cost: func(n *node) int64 { return 1 + cost(n) },
		check: func(c *checker, at int, args []*node) *node {
			if !c.want(at, name, args, String, String) {
				return nil
			}
			return result(Bool, false, 0, args...)
		},
		boolean: func(k *compiler, n *node) fn[bool] {
			s, part, steps := k.text(n.kids[0]), k.text(n.kids[1]), n.cost
			return func(f *Frame) bool { f.cost += steps; return test(s(f), part(f)) }
		},
	}
}

// lesser is min and max.
func lesser(name string, least bool) *function {
	return &function{
		usage: name + "(A, B)", doc: "the one or the other", cost: flat(1),
		check: func(c *checker, at int, args []*node) *node {
			if !c.want(at, name, args, 0, 0) {
				return nil
			}
			a, b := c.alike(at, args[0], args[1])
			if a == nil {
				return nil
			}
			switch k := a.typ.Kind; k {
			case Int, Float, Duration, Clock, Date:
				return result(k, false, 0, a, b)
			}
			return c.fail(at, "%v has no order: %s", a.typ, functions[name].usage)
		},
		num: func(k *compiler, n *node) fn[int64] {
			a, b := k.num(n.kids[0]), k.num(n.kids[1])
			if least {
				return func(f *Frame) int64 { f.cost++; return min(a(f), b(f)) }
			}
			return func(f *Frame) int64 { f.cost++; return max(a(f), b(f)) }
		},
		float: func(k *compiler, n *node) fn[float64] {
			a, b := k.float(n.kids[0]), k.float(n.kids[1])
			if least {
				return func(f *Frame) float64 { f.cost++; return min(a(f), b(f)) }
			}
			return func(f *Frame) float64 { f.cost++; return max(a(f), b(f)) }
		},
	}
}

func inZone(name, doc string) *function {
	return &function{
		usage: name + `, or ` + name + `("ZONE")`, doc: doc, cost: flat(1),
		check: func(c *checker, at int, args []*node) *node {
			if !c.want(at, name, args, String) || !c.fixed(args[0], "a time zone") {
				return nil
			}
			return c.zoned(at, name, args[0].val.Str)
		},
	}
}

// calendar is a property of a date.
func calendar(name, doc string, k Kind, of func(days int64) int64) *function {
	f := &function{
		usage: name + "(DATE)", doc: doc, cost: flat(15),
		check: func(c *checker, at int, args []*node) *node {
			if !c.want(at, name, args, Date) {
				return nil
			}
			return result(k, false, 0, args[0])
		},
	}
	value := func(k *compiler, n *node) fn[int64] {
		x := k.num(n.kids[0])
		return func(f *Frame) int64 { f.cost += 15; return of(x(f)) }
	}
	if f.num = value; k == Bool {
		f.boolean = func(k *compiler, n *node) fn[bool] {
			x := value(k, n)
			return func(f *Frame) bool { return x(f) != 0 }
		}
	}
	return f
}

func ofClock(name string, unit time.Duration, most int64) *function {
	return &function{
		usage: name + "(CLOCK)", doc: "from 0", cost: flat(1),
		check: func(c *checker, at int, args []*node) *node {
			if !c.want(at, name, args, Clock) {
				return nil
			}
			return result(Int, false, 0, args[0])
		},
		num: func(k *compiler, n *node) fn[int64] {
			x := k.num(n.kids[0])
			return func(f *Frame) int64 { f.cost++; return x(f) / int64(unit) % most }
		},
	}
}

func truth(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// hashable tells whether hash and bucket take n.
func (c *checker) hashable(n *node) bool {
	switch n.typ.Kind {
	case String, Title, Int, Class, Team:
		return true
	}
	c.fail(n.at, "%v is not hashed: %s", n.typ, functions["hash"].usage)
	return false
}

func hashCost(n *node) int64 { return 8 + textCost(n.kids[0].most) }

// hash is that of a string's bytes. A title, a class and a team are hashed by
// their names, so that managers whose numbers for them differ agree.
func (k *compiler) hash(n *node) fn[uint64] {
	if n.typ.Kind == String {
		s := k.text(n)
		return func(f *Frame) uint64 {
			v := s(f)
			f.cost += 8 + textCost(len(v))
			return xxhash.Sum64String(v)
		}
	}
	x, kind, env := k.num(n), n.typ.Kind, k.env
	return func(f *Frame) uint64 {
		f.cost += 8
		var room [maxName]byte
		return xxhash.Sum64(appendWord(room[:0], env, kind, x(f)))
	}
}

// letters is text(X).
func letters(k *compiler, n *node) fn[string] {
	kind, env := n.kids[0].typ.Kind, k.env
	steps := n.cost
	if kind == Bool {
		x := k.boolean(n.kids[0])
		return func(f *Frame) string {
			f.cost += steps
			if x(f) {
				return "true"
			}
			return "false"
		}
	}
	x := k.num(n.kids[0])
	return func(f *Frame) string {
		f.cost += steps
		v := x(f) // first: it may make a string of its own
		at := len(f.buf)
		f.buf = appendWord(f.buf, env, kind, v)
		return f.since(at)
	}
}

// appendWord puts a number of a kind in letters.
func appendWord(b []byte, env *Env, k Kind, n int64) []byte {
	switch k {
	case Class:
		return append(b, nameOf(env.Classes, n)...)
	case Team:
		return append(b, nameOf(env.Teams, n)...)
	case Title:
		const digits = "0123456789abcdef"
		for shift := 60; shift >= 0; shift -= 4 {
			b = append(b, digits[uint64(n)>>shift&15])
		}
		return b
	}
	return strconv.AppendInt(b, n, 10)
}
