package rules

import (
	"math"
	"math/bits"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"millethinge/internal/suggest"
)

// function is a built-in function. The compile function for the representation of its result is set; those
// named compileOpt are for results that may be absent.
type function struct {
	usage       string
	doc         string
	check       func(c *checker, pos int, args []*node) *node
	cost        func(*node) int64
	makesString bool // the result is built in the frame's buffer

	compileBool      func(*compiler, *node) evaluator[bool]
	compileInt       func(*compiler, *node) evaluator[int64]
	compileFloat     func(*compiler, *node) evaluator[float64]
	compileString    func(*compiler, *node) evaluator[string]
	compileOptInt    func(*compiler, *node) optEvaluator[int64]
	compileOptFloat  func(*compiler, *node) optEvaluator[float64]
	compileOptString func(*compiler, *node) optEvaluator[string]
	compileOptAddr   func(*compiler, *node) optEvaluator[addr]
}

// functions is filled by init because some of its entries refer to it.
var functions map[string]*function

// callExpr checks a call.
func (c *checker) callExpr(pos int, g *gCall) *node {
	if i := slices.IndexFunc(c.env.TextFamilies, func(v TextFamily) bool { return v.Name == g.Name }); i >= 0 {
		return c.textExpr(pos, i, g)
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
		return c.errorf(pos, "no function %q%s", g.Name, suggest.Suggest(g.Name, names))
	}
	args := make([]*node, len(g.Args))
	for i, e := range g.Args {
		args[i] = c.expr(e)
	}
	if slices.Contains(args, nil) {
		return nil
	}
	n := f.check(c, pos, args)
	if n == nil {
		return nil
	}
	if n.op == opCall && n.callee == nil {
		n.callee, n.pos, n.ident = f, pos, g.Name
		return c.finishNode(n)
	}
	return n
}

// textExpr checks NAME("x"), a reference to a text of a family.
func (c *checker) textExpr(pos, family int, g *gCall) *node {
	f := c.env.TextFamilies[family]
	if len(g.Args) == 1 {
		if arg := c.expr(g.Args[0]); arg != nil && arg.isConst() && arg.typ.Kind == String && arg.constValue.Str != "" && len(arg.constValue.Str) <= maxNameBytes {
			ref := TextRef{family, arg.constValue.Str}
			i := slices.Index(c.texts, ref)
			if i < 0 {
				if len(c.texts) >= maxTextRefs {
					return c.errorf(pos, "more than %d different texts of a request", maxTextRefs)
				}
				i = len(c.texts)
				c.texts = append(c.texts, ref)
			}
			return c.finishNode(&node{op: opTextRef, typ: Type{String, true}, pos: pos, idx: i, maxBytes: f.MaxBytes, ident: g.Name + "(" + strconv.Quote(ref.Name) + ")"})
		}
	}
	return c.errorf(pos, "%s wants a name in quotes of at most %d bytes, as in %s(\"x\")", g.Name, maxNameBytes, g.Name)
}

// checkArgs checks the number and the kinds of arguments; kind 0 accepts any.
func (c *checker) checkArgs(pos int, f string, args []*node, kinds ...Kind) bool {
	if len(args) != len(kinds) {
		c.errorf(pos, "%s", functions[f].usage)
		return false
	}
	for i, k := range kinds {
		if c.requirePresent(args[i]) == nil {
			return false
		}
		args[i] = c.convert(args[i], k)
		if k != 0 && args[i].typ.Kind != k || args[i].typ.Kind == untypedNone {
			c.errorf(args[i].pos, "%v is wanted here, and this is %v: %s", k, args[i].typ, functions[f].usage)
			return false
		}
	}
	return true
}

// requireConst reports an error unless the argument n is a constant.
func (c *checker) requireConst(n *node, what string) bool {
	if n.isConst() {
		return true
	}
	c.errorf(n.pos, "%s has to be a constant", what)
	return false
}

// callNode returns a call that yields kind k; args are the arguments evaluated at run time.
func callNode(k Kind, optional bool, maxBytes int, args ...*node) *node {
	return &node{op: opCall, typ: Type{k, optional}, children: args, maxBytes: maxBytes}
}

// constCost returns the cost function of a call that always takes the same number of steps.
func constCost(steps int64) func(*node) int64 { return func(*node) int64 { return steps } }

// firstArgScanCost is the cost of reading the first argument once.
func firstArgScanCost(n *node) int64 { return 2 + scanCost(n.children[0].maxBytes) }

func init() {
	functions = map[string]*function{
		"len": {
			usage: "len(STRING)", doc: "its length in bytes", cost: constCost(1),
			check: func(c *checker, pos int, args []*node) *node {
				if !c.checkArgs(pos, "len", args, String) {
					return nil
				}
				return callNode(Int, false, 0, args[0])
			},
			compileInt: func(k *compiler, n *node) evaluator[int64] {
				s := k.compileString(n.children[0])
				return func(f *Frame) int64 { f.cost++; return int64(len(s(f))) }
			},
		},
		"lower":  caseFunction("lower", 'A', 'Z', 'a'-'A'),
		"upper":  caseFunction("upper", 'a', 'z', -('a' - 'A')),
		"starts": stringTestFunction("starts", strings.HasPrefix, func(n *node) int64 { return scanCost(n.children[1].maxBytes) }),
		"ends":   stringTestFunction("ends", strings.HasSuffix, func(n *node) int64 { return scanCost(n.children[1].maxBytes) }),
		"contains": stringTestFunction("contains", strings.Contains, func(n *node) int64 {
			// strings.Contains takes linear time, except for short windows.
			return 2 + 4*scanCost(n.children[0].maxBytes) + scanCost(n.children[1].maxBytes)
		}),
		"glob": {
			usage: `glob(STRING, "PATTERN"): * stands for any bytes, ? for one`, doc: "whether it is like a pattern",
			// Matching may start anew at each byte for each star.
			cost: func(n *node) int64 { return 2 + int64(n.children[0].maxBytes+1)*int64(len(n.globPattern())+1)/2 },
			check: func(c *checker, pos int, args []*node) *node {
				if !c.checkArgs(pos, "glob", args, String, String) || !c.requireConst(args[1], "the pattern") {
					return nil
				}
				if p := args[1].constValue.Str; len(p) > maxPatternBytes {
					return c.errorf(args[1].pos, "a pattern of %d bytes; at most %d are read", len(p), maxPatternBytes)
				}
				n := callNode(Bool, false, 0, args[0])
				n.constArg.Str = args[1].constValue.Str
				return n
			},
			compileBool: func(k *compiler, n *node) evaluator[bool] {
				s, p, cost := k.compileString(n.children[0]), n.constArg.Str, int64(len(n.constArg.Str)+1)
				return func(f *Frame) bool {
					v := s(f)
					f.cost += 2 + int64(len(v)+1)*cost/2
					return matchGlob(v, p)
				}
			},
		},
		"matches": {
			usage: "matches(STRING, `PATTERN`)", doc: "whether a regular expression (RE2) is found in it",
			cost: func(n *node) int64 { return 20 + int64(n.reInsts)*int64(n.children[0].maxBytes+1) },
			check: func(c *checker, pos int, args []*node) *node {
				if !c.checkArgs(pos, "matches", args, String, String) || !c.requireConst(args[1], "the pattern") {
					return nil
				}
				re, reInsts := c.compilePattern(args[1].pos, args[1].constValue.Str)
				if re == nil {
					return nil
				}
				n := callNode(Bool, false, 0, args[0])
				n.re, n.reInsts = re, reInsts
				return n
			},
			compileBool: func(k *compiler, n *node) evaluator[bool] {
				s, re, reInsts := k.compileString(n.children[0]), n.re, int64(n.reInsts)
				empty := re.MatchString("") // many texts are absent; "" needs no run of the engine
				return func(f *Frame) bool {
					v := s(f)
					if v == "" {
						f.cost++
						return empty
					}
					f.cost += 20 + reInsts*int64(len(v)+1)
					return re.MatchString(v)
				}
			},
		},
		"part": {
			usage: `part(STRING, "SEPARATOR", N): the Nth part, from 1`, doc: "one part of a string; absent if there are fewer", cost: firstArgScanCost,
			check: func(c *checker, pos int, args []*node) *node {
				if !c.checkArgs(pos, "part", args, String, String, Int) || !c.requireConst(args[1], "the separator") || !c.requireConst(args[2], "the part's number") {
					return nil
				}
				if len(args[1].constValue.Str) != 1 || args[2].constValue.Integer < 1 || args[2].constValue.Integer > 1000 {
					return c.errorf(args[1].pos, "the separator is one byte, the part's number from 1 to 1000")
				}
				n := callNode(String, true, args[0].maxBytes, args[0])
				n.constArg.Str, n.constArg.Integer = args[1].constValue.Str, args[2].constValue.Integer
				return n
			},
			compileOptString: func(k *compiler, n *node) optEvaluator[string] {
				s, sep, nth := k.compileString(n.children[0]), n.constArg.Str[0], n.constArg.Integer
				return func(f *Frame) (string, bool) {
					v := s(f)
					f.cost += 2 + scanCost(len(v))
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
			usage: "text(X): X is an int, a title, a class, a team or a bool", doc: "X in letters", makesString: true,
			cost: func(n *node) int64 { return 4 + scanCost(n.maxBytes) },
			check: func(c *checker, pos int, args []*node) *node {
				if !c.checkArgs(pos, "text", args, 0) {
					return nil
				}
				maxBytes := map[Kind]int{Int: 20, Title: 16, Bool: 5}[args[0].typ.Kind]
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
					maxBytes = max(maxBytes, len(n))
				}
				if maxBytes == 0 {
					return c.errorf(pos, "%v can't be put in letters: %s", args[0].typ, functions["text"].usage)
				}
				return callNode(String, false, maxBytes, args[0])
			},
			compileString: compileTextCall,
		},
		"hash": {
			usage: "hash(X): X is a string, a title, an int, a class or a team", doc: "a number that is the same at every manager",
			cost: hashCost,
			check: func(c *checker, pos int, args []*node) *node {
				if !c.checkArgs(pos, "hash", args, 0) || !c.requireHashable(args[0]) {
					return nil
				}
				return callNode(Int, false, 0, args[0])
			},
			compileInt: func(k *compiler, n *node) evaluator[int64] {
				h := k.compileHash(n.children[0])
				return func(f *Frame) int64 { return int64(h(f) >> 1) }
			},
		},
		"bucket": {
			usage: "bucket(X, N): from 0 to N-1; X is a string, a title, an int, a class or a team",
			doc:   "which of N equal shares X belongs to, the same at every manager", cost: hashCost,
			check: func(c *checker, pos int, args []*node) *node {
				if !c.checkArgs(pos, "bucket", args, 0, Int) || !c.requireHashable(args[0]) || !c.requireConst(args[1], "the number of shares") {
					return nil
				}
				if n := args[1].constValue.Integer; n < 1 || n > maxBuckets {
					return c.errorf(args[1].pos, "from 1 to %d shares", maxBuckets)
				}
				n := callNode(Int, false, 0, args[0])
				n.constArg.Integer = args[1].constValue.Integer
				return n
			},
			compileInt: func(k *compiler, n *node) evaluator[int64] {
				h, shares := k.compileHash(n.children[0]), uint64(n.constArg.Integer)
				return func(f *Frame) int64 {
					high, _ := bits.Mul64(h(f), shares)
					return int64(high)
				}
			},
		},
		"min": minMaxFunction("min", true),
		"max": minMaxFunction("max", false),
		"abs": {
			usage: "abs(NUMBER)", doc: "its size", cost: constCost(1),
			check: func(c *checker, pos int, args []*node) *node {
				if !c.checkArgs(pos, "abs", args, 0) {
					return nil
				}
				switch k := args[0].typ.Kind; k {
				case Int, Float, Duration:
					return callNode(k, false, 0, args[0])
				}
				return c.errorf(pos, "%v has no size: %s", args[0].typ, functions["abs"].usage)
			},
			compileInt: func(k *compiler, n *node) evaluator[int64] {
				x := k.compileInt(n.children[0])
				return func(f *Frame) int64 {
					f.cost++
					v := x(f)
					if v < 0 {
						v = saturatingNeg(v)
					}
					return v
				}
			},
			compileFloat: func(k *compiler, n *node) evaluator[float64] {
				x := k.compileFloat(n.children[0])
				return func(f *Frame) float64 { f.cost++; return math.Abs(x(f)) }
			},
		},
		"int": {
			usage: "int(STRING), which may be absent, or int(FLOAT)", doc: "a whole number", cost: func(n *node) int64 { return 8 + scanCost(n.children[0].maxBytes) },
			check: func(c *checker, pos int, args []*node) *node {
				if !c.checkArgs(pos, "int", args, 0) {
					return nil
				}
				switch args[0].typ.Kind {
				case String:
					return callNode(Int, true, 0, args[0])
				case Float:
					return callNode(Int, false, 0, args[0])
				}
				return c.errorf(pos, "%v is no whole number: %s", args[0].typ, functions["int"].usage)
			},
			compileInt: func(k *compiler, n *node) evaluator[int64] {
				x := k.compileFloat(n.children[0])
				return func(f *Frame) int64 { f.cost++; return floatToInt(x(f)) }
			},
			compileOptInt: func(k *compiler, n *node) optEvaluator[int64] {
				s := k.compileString(n.children[0])
				return func(f *Frame) (int64, bool) {
					v := s(f)
					f.cost += 8 + scanCost(len(v))
					return parseInt(v)
				}
			},
		},
		"float": {
			usage: "float(STRING), which may be absent, or float(INT)", doc: "a number", cost: func(n *node) int64 { return 8 + 4*scanCost(n.children[0].maxBytes) },
			check: func(c *checker, pos int, args []*node) *node {
				if !c.checkArgs(pos, "float", args, 0) {
					return nil
				}
				switch args[0].typ.Kind {
				case String:
					return callNode(Float, true, 0, args[0])
				case Int:
					return callNode(Float, false, 0, args[0])
				}
				return c.errorf(pos, "%v is no number: %s", args[0].typ, functions["float"].usage)
			},
			compileFloat: func(k *compiler, n *node) evaluator[float64] {
				x := k.compileInt(n.children[0])
				return func(f *Frame) float64 { f.cost++; return float64(x(f)) }
			},
			compileOptFloat: func(k *compiler, n *node) optEvaluator[float64] {
				s := k.compileString(n.children[0])
				return func(f *Frame) (float64, bool) {
					v := s(f)
					f.cost += 8
					if !isShortDecimal(v) {
						return 0, false
					}
					x, err := strconv.ParseFloat(v, 64)
					return x, err == nil
				}
			},
		},
		"ms": {
			usage: "ms(DURATION)", doc: "its milliseconds, a whole number", cost: constCost(1),
			check: func(c *checker, pos int, args []*node) *node {
				if !c.checkArgs(pos, "ms", args, Duration) {
					return nil
				}
				return callNode(Int, false, 0, args[0])
			},
			compileInt: func(k *compiler, n *node) evaluator[int64] {
				x := k.compileInt(n.children[0])
				return func(f *Frame) int64 { f.cost++; return x(f) / int64(time.Millisecond) }
			},
		},
		"has": {
			usage: "has(X)", doc: "whether what may be absent is there", cost: constCost(1),
			check: func(c *checker, pos int, args []*node) *node {
				if len(args) != 1 {
					return c.errorf(pos, "%s", functions["has"].usage)
				}
				if !args[0].typ.Optional {
					return c.errorf(args[0].pos, "this is never absent")
				}
				return c.finishNode(&node{op: opHas, typ: Type{Kind: Bool}, pos: pos, children: args})
			},
		},
		"class": nameFunction("class", Class),
		"team":  nameFunction("team", Team),
		"title": {
			usage: `title("HEXADECIMAL"), or title(STRING), which may be absent`, doc: "a title", cost: func(n *node) int64 { return 8 + scanCost(n.children[0].maxBytes) },
			check: func(c *checker, pos int, args []*node) *node {
				if !c.checkArgs(pos, "title", args, String) {
					return nil
				}
				if args[0].isConst() {
					return c.parseConst(pos, Title, args[0].constValue.Str)
				}
				return callNode(Title, true, 0, args[0])
			},
			compileOptInt: func(k *compiler, n *node) optEvaluator[int64] {
				s := k.compileString(n.children[0])
				return func(f *Frame) (int64, bool) {
					v := s(f)
					f.cost += 8
					return parseHex(v)
				}
			},
		},
		"addr": {
			usage: `addr("ADDRESS"), or addr(STRING), which may be absent`, doc: "an address", cost: func(n *node) int64 { return 12 + scanCost(n.children[0].maxBytes) },
			check: func(c *checker, pos int, args []*node) *node {
				if !c.checkArgs(pos, "addr", args, String) {
					return nil
				}
				if args[0].isConst() {
					return c.parseConst(pos, Addr, args[0].constValue.Str)
				}
				return callNode(Addr, true, 0, args[0])
			},
			compileOptAddr: compileAddrCall,
		},
		"prefix": {
			usage: `prefix("ADDRESS/LENGTH")`, doc: "addresses that begin alike", cost: constCost(1),
			check: func(c *checker, pos int, args []*node) *node {
				if !c.checkArgs(pos, "prefix", args, String) || !c.requireConst(args[0], "a prefix") {
					return nil
				}
				return c.parseConst(pos, Prefix, args[0].constValue.Str)
			},
		},
		"clock": zoneFunction("clock", "the time of day there"),
		"today": zoneFunction("today", "the date there"),
		"day":   dateFunction("day", "of the month, from 1", Int, func(n int64) int64 { _, _, d := civilDate(n); return d }),
		"month": dateFunction("month", "from 1", Int, func(n int64) int64 { _, m, _ := civilDate(n); return m }),
		"year":  dateFunction("year", "", Int, func(n int64) int64 { y, _, _ := civilDate(n); return y }),
		"weekday": dateFunction("weekday", "from 1, Monday, to 7, Sunday", Int, func(n int64) int64 {
			return ((n+3)%7+7)%7 + 1 // day 0 was a Thursday
		}),
		"last_day": dateFunction("last_day", "whether it ends its month", Bool, func(n int64) int64 {
			_, _, next := civilDate(n + 1)
			return boolToInt(next == 1)
		}),
		"quincena": dateFunction("quincena", "whether it is the 15th or ends its month", Bool, func(n int64) int64 {
			_, _, d := civilDate(n)
			_, _, next := civilDate(n + 1)
			return boolToInt(d == 15 || next == 1)
		}),
		"hour":   clockFunction("hour", time.Hour, 24),
		"minute": clockFunction("minute", time.Minute, 60),
		"between": {
			usage: "between(CLOCK, FROM, TO)", doc: "whether a time of day is from FROM until TO, which may be past midnight", cost: constCost(2),
			check: func(c *checker, pos int, args []*node) *node {
				if !c.checkArgs(pos, "between", args, Clock, Clock, Clock) {
					return nil
				}
				return callNode(Bool, false, 0, args...)
			},
			compileBool: func(k *compiler, n *node) evaluator[bool] {
				x, from, to := k.compileInt(n.children[0]), k.compileInt(n.children[1]), k.compileInt(n.children[2])
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

// globPattern returns the pattern of a glob call.
func (n *node) globPattern() string { return n.constArg.Str }

// parseConst returns a constant that is parsed from a string.
func (c *checker) parseConst(pos int, k Kind, text string) *node {
	v, err := c.env.parseValue(k, text)
	if err != nil {
		return c.errorf(pos, "%v", err)
	}
	return c.finishNode(newConst(v, pos))
}

// nameFunction is class("x") or team("x"), for names that are ambiguous or not identifiers.
func nameFunction(name string, k Kind) *function {
	return &function{
		usage: name + `("NAME")`, doc: "the " + name + " of that name", cost: constCost(1),
		check: func(c *checker, pos int, args []*node) *node {
			if !c.checkArgs(pos, name, args, String) || !c.requireConst(args[0], "a name") {
				return nil
			}
			return c.parseConst(pos, k, args[0].constValue.Str)
		},
	}
}

// caseFunction is lower or upper, for ASCII letters only.
func caseFunction(name string, from, to byte, shift int) *function {
	return &function{
		usage: name + "(STRING)", doc: "with the letters A to Z in " + name + " case", makesString: true,
		cost: func(n *node) int64 { return 2 + int64(n.children[0].maxBytes)/2 },
		check: func(c *checker, pos int, args []*node) *node {
			if !c.checkArgs(pos, name, args, String) {
				return nil
			}
			return callNode(String, false, args[0].maxBytes, args[0])
		},
		compileString: func(k *compiler, n *node) evaluator[string] {
			s := k.compileString(n.children[0])
			return func(f *Frame) string {
				v := s(f)
				f.cost += 2 + int64(len(v))/2
				start := len(f.buf)
				for i := range len(v) {
					c := v[i]
					if c >= from && c <= to {
						c = byte(int(c) + shift)
					}
					f.buf = append(f.buf, c)
				}
				return f.builtString(start)
			}
		},
	}
}

// stringTestFunction is a test of two strings.
func stringTestFunction(name string, test func(s, part string) bool, cost func(*node) int64) *function {
	return &function{
		usage: name + "(STRING, STRING)", doc: "whether the first " + name + " with (or has) the second",
		cost: func(n *node) int64 { return 1 + cost(n) },
		check: func(c *checker, pos int, args []*node) *node {
			if !c.checkArgs(pos, name, args, String, String) {
				return nil
			}
			return callNode(Bool, false, 0, args...)
		},
		compileBool: func(k *compiler, n *node) evaluator[bool] {
			s, part, steps := k.compileString(n.children[0]), k.compileString(n.children[1]), n.cost
			return func(f *Frame) bool { f.cost += steps; return test(s(f), part(f)) }
		},
	}
}

// minMaxFunction is min or max.
func minMaxFunction(name string, wantMin bool) *function {
	return &function{
		usage: name + "(A, B)", doc: "the one or the other", cost: constCost(1),
		check: func(c *checker, pos int, args []*node) *node {
			if !c.checkArgs(pos, name, args, 0, 0) {
				return nil
			}
			a, b := c.unify(pos, args[0], args[1])
			if a == nil {
				return nil
			}
			switch k := a.typ.Kind; k {
			case Int, Float, Duration, Clock, Date:
				return callNode(k, false, 0, a, b)
			}
			return c.errorf(pos, "%v has no order: %s", a.typ, functions[name].usage)
		},
		compileInt: func(k *compiler, n *node) evaluator[int64] {
			a, b := k.compileInt(n.children[0]), k.compileInt(n.children[1])
			if wantMin {
				return func(f *Frame) int64 { f.cost++; return min(a(f), b(f)) }
			}
			return func(f *Frame) int64 { f.cost++; return max(a(f), b(f)) }
		},
		compileFloat: func(k *compiler, n *node) evaluator[float64] {
			a, b := k.compileFloat(n.children[0]), k.compileFloat(n.children[1])
			if wantMin {
				return func(f *Frame) float64 { f.cost++; return min(a(f), b(f)) }
			}
			return func(f *Frame) float64 { f.cost++; return max(a(f), b(f)) }
		},
	}
}

// zoneFunction is clock or today of a given time zone.
func zoneFunction(name, doc string) *function {
	return &function{
		usage: name + `, or ` + name + `("ZONE")`, doc: doc, cost: constCost(1),
		check: func(c *checker, pos int, args []*node) *node {
			if !c.checkArgs(pos, name, args, String) || !c.requireConst(args[0], "a time zone") {
				return nil
			}
			return c.zoneExpr(pos, name, args[0].constValue.Str)
		},
	}
}

// dateFunction is a property of a date.
func dateFunction(name, doc string, k Kind, property func(days int64) int64) *function {
	f := &function{
		usage: name + "(DATE)", doc: doc, cost: constCost(15),
		check: func(c *checker, pos int, args []*node) *node {
			if !c.checkArgs(pos, name, args, Date) {
				return nil
			}
			return callNode(k, false, 0, args[0])
		},
	}
	value := func(k *compiler, n *node) evaluator[int64] {
		x := k.compileInt(n.children[0])
		return func(f *Frame) int64 { f.cost += 15; return property(x(f)) }
	}
	if f.compileInt = value; k == Bool {
		f.compileBool = func(k *compiler, n *node) evaluator[bool] {
			x := value(k, n)
			return func(f *Frame) bool { return x(f) != 0 }
		}
	}
	return f
}

// clockFunction is a component of a time of day.
func clockFunction(name string, unit time.Duration, modulus int64) *function {
	return &function{
		usage: name + "(CLOCK)", doc: "from 0", cost: constCost(1),
		check: func(c *checker, pos int, args []*node) *node {
			if !c.checkArgs(pos, name, args, Clock) {
				return nil
			}
			return callNode(Int, false, 0, args[0])
		},
		compileInt: func(k *compiler, n *node) evaluator[int64] {
			x := k.compileInt(n.children[0])
			return func(f *Frame) int64 { f.cost++; return x(f) / int64(unit) % modulus }
		},
	}
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// requireHashable reports an error unless hash and bucket accept n.
func (c *checker) requireHashable(n *node) bool {
	switch n.typ.Kind {
	case String, Title, Int, Class, Team:
		return true
	}
	c.errorf(n.pos, "%v is not hashed: %s", n.typ, functions["hash"].usage)
	return false
}

func hashCost(n *node) int64 { return 8 + scanCost(n.children[0].maxBytes) }

// compileHash hashes the bytes of a string. A title, a class or a team is hashed by its name, so that
// managers that number them differently get the same hash.
func (k *compiler) compileHash(n *node) evaluator[uint64] {
	if n.typ.Kind == String {
		s := k.compileString(n)
		return func(f *Frame) uint64 {
			v := s(f)
			f.cost += 8 + scanCost(len(v))
			return xxhash.Sum64String(v)
		}
	}
	x, kind, env := k.compileInt(n), n.typ.Kind, k.env
	return func(f *Frame) uint64 {
		f.cost += 8
		var room [maxNameBytes]byte
		return xxhash.Sum64(appendText(room[:0], env, kind, x(f)))
	}
}

// compileTextCall compiles text(X).
func compileTextCall(k *compiler, n *node) evaluator[string] {
	kind, env := n.children[0].typ.Kind, k.env
	steps := n.cost
	if kind == Bool {
		x := k.compileBool(n.children[0])
		return func(f *Frame) string {
			f.cost += steps
			if x(f) {
				return "true"
			}
			return "false"
		}
	}
	x := k.compileInt(n.children[0])
	return func(f *Frame) string {
		f.cost += steps
		v := x(f) // evaluated before start is taken, since it may build a string of its own
		start := len(f.buf)
		f.buf = appendText(f.buf, env, kind, v)
		return f.builtString(start)
	}
}

// appendText appends the text form of an integer of kind k.
func appendText(b []byte, env *Env, k Kind, n int64) []byte {
	switch k {
	case Class:
		return append(b, nameAt(env.Classes, n)...)
	case Team:
		return append(b, nameAt(env.Teams, n)...)
	case Title:
		const digits = "0123456789abcdef"
		for shift := 60; shift >= 0; shift -= 4 {
			b = append(b, digits[uint64(n)>>shift&15])
		}
		return b
	}
	return strconv.AppendInt(b, n, 10)
}
