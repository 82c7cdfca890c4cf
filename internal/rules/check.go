package rules

import (
	"fmt"
	"regexp"
	"regexp/syntax"
	"slices"
	"strconv"
	"strings"
	"time"

	"millethinge/internal/spell"
)

// builder reads the sources of one set.
type builder struct {
	env    *Env
	faulty bool
	lines  int // of all tables
	tables map[string]*table
	defs   map[string]*def
	texts  []TextRef
	zones  []*zone
	slots  int
	shared map[string]int   // the slots of what several conditions work out, by its key
	res    map[string]*node // regular expressions that are compiled, by pattern

	checking  bool // nothing may be evaluated
	evaluated int  // constants that were
}

// def is a named expression while a set is read.
type def struct {
	Definition
	tree *gExpr
	node *node // opDef
	busy bool  // it is being checked: who refers to it now goes round in a circle
	done bool
}

func (b *builder) failTable(t Table, format string, args ...any) {
	b.faulty = true
	t.ReportError(fmt.Sprintf(format, args...))
}

func (b *builder) failLine(l TableLine, argument int, msg string) {
	b.faulty = true
	l.ReportError(argument, msg)
}

// checker gives the nodes of one expression their types.
type checker struct {
	*builder
	src    Source
	locals []local
	trail  []string // the definitions that led here
}

type local struct {
	name string
	node *node // opLocal
}

// fail tells a fault and returns nil, the node of what is faulty. Checking goes
// on elsewhere.
func (c *checker) fail(at int, format string, args ...any) *node {
	c.faulty = true
	c.src.ReportError(at, fmt.Sprintf(format, args...))
	return nil
}

func (c *checker) remark(at int, format string, args ...any) {
	if c.src.ReportWarning != nil {
		c.src.ReportWarning(at, fmt.Sprintf(format, args...))
	}
}

// made finishes a node and holds it against the bounds.
func (c *checker) made(n *node) *node {
	n.finish()
	switch {
	case n.depth > maxDepth:
		return c.fail(n.at, "nested %d deep; at most %d is", n.depth, maxDepth)
	case n.most > maxString:
		return c.fail(n.at, "this may become a string of %d bytes; at most %d are made", n.most, maxString)
	}
	return n
}

func (c *checker) expr(g *gExpr) *node {
	switch {
	case g.Let != nil:
		return c.let(g)
	case g.If != nil:
		return c.branch(g)
	}
	return c.or(g.Or)
}

func (c *checker) let(g *gExpr) *node {
	l := g.Let
	if why := c.taken(l.Name); why != "" {
		return c.fail(g.Pos.Offset, "%s is %s already", l.Name, why)
	}
	init := c.expr(l.Init)
	if init == nil {
		return nil
	}
	if init.typ.Kind == nothing {
		return c.fail(init.at, "none of what? write class(\"none\") or team(\"none\")")
	}
	c.slots++
	bound := c.made(&node{op: opLocal, typ: init.typ, at: g.Pos.Offset, idx: c.slots - 1, most: init.most})
	c.locals = append(c.locals, local{l.Name, bound})
	body := c.expr(l.Body)
	c.locals = c.locals[:len(c.locals)-1]
	if body == nil {
		return nil
	}
	return c.made(&node{op: opLet, typ: body.typ, at: g.Pos.Offset, idx: bound.idx, kids: []*node{init, body}, most: body.most})
}

func (c *checker) branch(g *gExpr) *node {
	cond, then, other := c.expr(g.If.Cond), c.expr(g.If.Then), c.expr(g.If.Else)
	if cond == nil || then == nil || other == nil {
		return nil
	}
	if cond = c.boolean(cond); cond == nil {
		return nil
	}
	if then, other = c.alike(g.Pos.Offset, then, other); then == nil {
		return nil
	}
	if then.typ.Optional || other.typ.Optional {
		return c.fail(g.Pos.Offset, "one of the two may be absent; give it a default with ??")
	}
	if then.typ.Kind == Prefix {
		return c.fail(g.Pos.Offset, "a prefix can't be chosen by if; choose the condition instead")
	}
	return c.made(&node{op: opIf, typ: then.typ, at: g.Pos.Offset, kids: []*node{cond, then, other}, most: max(then.most, other.most)})
}

// boolean wants n to be a condition.
func (c *checker) boolean(n *node) *node {
	if n.typ != (Type{Kind: Bool}) {
		if n.typ.Optional {
			return c.fail(n.at, "a condition is wanted, and this is %v; use has() or ??", n.typ)
		}
		return c.fail(n.at, "a condition is wanted, and this is %v", n.typ)
	}
	return n
}

// present wants n not to be optional.
func (c *checker) present(n *node) *node {
	if n.typ.Optional {
		return c.fail(n.at, "this may be absent; give it a default with ??")
	}
	return n
}

// alike brings two values to one kind: none becomes what the other is, and a
// whole number a number.
func (c *checker) alike(at int, a, b *node) (*node, *node) {
	a, b = c.as(a, b.typ.Kind), c.as(b, a.typ.Kind)
	if a.typ.Kind != b.typ.Kind {
		return c.fail(at, "%v and %v don't go together", a.typ, b.typ), nil
	}
	if a.typ.Kind == nothing {
		return c.fail(at, "none of what?"), nil
	}
	return a, b
}

// as converts n to a kind where that can't be misunderstood.
func (c *checker) as(n *node, k Kind) *node {
	switch {
	case n.typ.Kind == nothing && (k == Class || k == Team):
		return constant(Value{Kind: k, RawValue: RawValue{Integer: -1}}, n.at)
	case n.typ.Kind == Int && k == Float && !n.typ.Optional:
		if n.isConst() {
			return constant(Value{Kind: Float, RawValue: RawValue{Float64: float64(n.val.Integer)}}, n.at)
		}
		f := functions["float"]
		return (&node{op: opCall, fn: f, typ: Type{Kind: Float}, at: n.at, kids: []*node{n}}).finish()
	}
	return n
}

func (c *checker) or(g *gOr) *node {
	return c.chain(opOr, len(g.Terms), func(i int) *node { return c.and(g.Terms[i]) })
}

func (c *checker) and(g *gAnd) *node {
	return c.chain(opAnd, len(g.Terms), func(i int) *node { return c.not(g.Terms[i]) })
}

func (c *checker) chain(o op, n int, term func(int) *node) *node {
	if n == 1 {
		return term(0)
	}
	var kids []*node
	for i := range n {
		k := term(i)
		if k != nil {
			k = c.boolean(k)
		}
		kids = append(kids, k)
	}
	if slices.Contains(kids, nil) {
		return nil
	}
	return c.made(&node{op: o, typ: Type{Kind: Bool}, at: kids[0].at, kids: kids})
}

func (c *checker) not(g *gNot) *node {
	n := c.compare(g.Cmp)
	if n == nil || len(g.Nots) == 0 {
		return n
	}
	if n = c.boolean(n); n == nil || len(g.Nots)%2 == 0 {
		return n
	}
	return c.made(&node{op: opNot, typ: Type{Kind: Bool}, at: g.Pos.Offset, kids: []*node{n}})
}

var comparisons = map[string]byte{"==": '=', "!=": '!', "<": '<', "<=": 'l', ">": '>', ">=": 'g'}

func (c *checker) compare(g *gCmp) *node {
	left := c.sum(g.Left)
	if g.Right == nil {
		return left
	}
	at := g.Pos.Offset
	if g.Op == "in" || g.NotIn {
		n := c.in(at, left, g.Right)
		if n == nil || !g.NotIn {
			return n
		}
		return c.made(&node{op: opNot, typ: Type{Kind: Bool}, at: at, kids: []*node{n}})
	}
	right := c.sum(g.Right)
	if left == nil || right == nil {
		return nil
	}
	if left, right = c.present(left), c.present(right); left == nil || right == nil {
		return nil
	}
	if left, right = c.alike(at, left, right); left == nil {
		return nil
	}
	switch k := left.typ.Kind; {
	case k == Prefix:
		return c.fail(at, "prefixes are not compared; use in")
	case g.Op == "==" || g.Op == "!=":
	case k == Bool || k == Class || k == Team || k == Title || k == Addr:
		return c.fail(at, "%v has no order; only == and != compare it", k)
	}
	return c.made(&node{op: opCompare, cmp: comparisons[g.Op], typ: Type{Kind: Bool}, at: at, kids: []*node{left, right}})
}

// in is membership: of a list, a set, a table's keys or a prefix.
func (c *checker) in(at int, left *node, g *gSum) *node {
	// What stands on the right is looked at before left is known to be good, so
	// that faults on both sides are told.
	if p := lone(g); p != nil && p.List != nil {
		return c.inList(at, left, p.List)
	} else if p != nil && p.Name != "" && c.tables[p.Name] != nil {
		t := c.tables[p.Name]
		if left == nil {
			return nil
		}
		if left = c.present(c.as(left, t.key())); left == nil {
			return nil
		}
		if left.typ.Kind != t.key() {
			return c.fail(at, "%s has %v for its keys, and this is %v", t.Name, t.key(), left.typ)
		}
		return c.made(&node{op: opIn, typ: Type{Kind: Bool}, at: at, kids: []*node{left}, keys: t.index})
	}
	right := c.sum(g)
	if left == nil || right == nil {
		return nil
	}
	if left = c.present(left); left == nil {
		return nil
	}
	if right.typ.Kind != Prefix || left.typ.Kind != Addr {
		return c.fail(right.at, "in wants a list in brackets, a set, a table or (for an address) a prefix on its right")
	}
	return c.made(&node{op: opInside, typ: Type{Kind: Bool}, at: at, kids: []*node{left}, val: right.val})
}

// lone returns the primary that a sum consists of, if it does.
func lone(g *gSum) *gPrimary {
	if len(g.Right) > 0 || len(g.Left.Right) > 0 || len(g.Left.Left.Terms) > 1 || len(g.Left.Left.Terms[0].Minuses) > 0 {
		return nil
	}
	return g.Left.Left.Terms[0].Of
}

func (c *checker) inList(at int, left *node, g *gList) *node {
	var items []*node
	for _, e := range g.Items {
		items = append(items, c.expr(e))
	}
	if left == nil || slices.Contains(items, nil) {
		return nil
	}
	if left = c.present(left); left == nil {
		return nil
	}
	if len(items) == 0 {
		return c.fail(at, "nothing is in an empty list")
	}
	kind := left.typ.Kind
	switch kind {
	case Bool, Float:
		return c.fail(at, "%v is not looked for in lists", kind)
	case Addr:
		kind = Prefix
	case nothing:
		return c.fail(at, "none of what?")
	}
	keys := newIndex(kind, len(items))
	for i, item := range items {
		item = c.as(item, kind)
		if kind == Prefix && item.typ.Kind == Addr && item.isConst() { // one address
			a := item.val.IP
			if p, err := a.Prefix(a.BitLen()); err == nil {
				item = constant(Value{Kind: Prefix, Network: p}, item.at)
			}
		}
		if !item.isConst() || item.typ.Kind != kind {
			return c.fail(item.at, "a list in which %v is looked for has constants of that kind, and this is %v", left.typ, item.typ)
		}
		if !keys.add(item.val, int32(i)) {
			c.remark(item.at, "stands twice in the list")
		}
	}
	return c.made(&node{op: opIn, typ: Type{Kind: Bool}, at: at, kids: []*node{left}, keys: keys})
}

func (c *checker) sum(g *gSum) *node {
	n := c.product(g.Left)
	for _, r := range g.Right {
		n = c.arith(r.Pos.Offset, r.Op[0], n, c.product(r.Right))
	}
	return n
}

func (c *checker) product(g *gProduct) *node {
	n := c.otherwise(g.Left)
	for _, r := range g.Right {
		n = c.arith(r.Pos.Offset, r.Op[0], n, c.otherwise(r.Right))
	}
	return n
}

// arith is one of + - * / %.
func (c *checker) arith(at int, o byte, a, b *node) *node {
	if a == nil || b == nil {
		return nil
	}
	if a, b = c.present(a), c.present(b); a == nil || b == nil {
		return nil
	}
	if a.typ.Kind == String && b.typ.Kind == String && o == '+' {
		kids := []*node{a, b}
		if a.op == opConcat { // a chain is one node
			kids = append(slices.Clone(a.kids), b)
		}
		c.slots += len(kids) // where the parts are kept until all are there
		return c.made(&node{op: opConcat, typ: Type{Kind: String}, at: a.at, idx: c.slots - len(kids), kids: kids, most: a.most + b.most})
	}
	ka, kb := a.typ.Kind, b.typ.Kind
	if ka == Float || kb == Float {
		a, b = c.as(a, kb), c.as(b, ka)
		ka, kb = a.typ.Kind, b.typ.Kind
	}
	out := ka
	switch {
	case ka == kb && (ka == Int || ka == Float):
		if ka == Float && o == '%' {
			return c.fail(at, "%% is for whole numbers")
		}
	case ka == Duration && kb == Duration && (o == '+' || o == '-' || o == '%'):
	case ka == Duration && kb == Duration && o == '/':
		out = Int
	case ka == Duration && kb == Int && (o == '*' || o == '/'):
	case ka == Int && kb == Duration && o == '*':
		out = Duration
	case ka == Date && kb == Date && o == '-':
		out = Int
	case ka == Date && kb == Int && (o == '+' || o == '-'):
	default:
		return c.fail(at, "%v %c %v is not defined", a.typ, o, b.typ)
	}
	if o == '/' || o == '%' {
		switch {
		case !b.isConst():
			c.remark(at, "where the divisor is 0 the result is 0")
		case b.val.Integer == 0 && b.val.Float64 == 0:
			return c.fail(b.at, "division by zero")
		}
	}
	return c.made(&node{op: opSum, cmp: o, typ: Type{Kind: out}, at: a.at, kids: []*node{a, b}})
}

func (c *checker) otherwise(g *gElse) *node {
	n := c.unary(g.Terms[0])
	for _, t := range g.Terms[1:] {
		d := c.unary(t)
		if n == nil || d == nil {
			n = nil
			continue
		}
		if !n.typ.Optional {
			return c.fail(n.at, "this is never absent, and needs no default")
		}
		d = c.as(d, n.typ.Kind)
		if d.typ.Kind != n.typ.Kind {
			return c.fail(d.at, "the default of %v is %v", n.typ, d.typ)
		}
		n = c.made(&node{op: opElse, typ: d.typ, at: n.at, kids: []*node{n, d}, most: max(n.most, d.most)})
	}
	return n
}

func (c *checker) unary(g *gUnary) *node {
	n := c.primary(g.Of)
	if n == nil || len(g.Minuses) == 0 {
		return n
	}
	if n = c.present(n); n == nil {
		return nil
	}
	switch n.typ.Kind {
	case Int, Float, Duration:
	default:
		return c.fail(g.Pos.Offset, "%v has no negative", n.typ)
	}
	if len(g.Minuses)%2 == 0 {
		return n
	}
	if n.isConst() {
		v := n.val
		v.Integer, v.Float64 = negate(v.Integer), -v.Float64
		return c.made(constant(v, g.Pos.Offset))
	}
	return c.made(&node{op: opNeg, typ: n.typ, at: g.Pos.Offset, kids: []*node{n}})
}

func (c *checker) primary(g *gPrimary) *node {
	at := g.Pos.Offset
	switch {
	case g.Literal != nil:
		return c.literal(at, g.Literal)
	case g.Call != nil:
		return c.call(at, g.Call)
	case g.Index != nil:
		return c.lookUp(at, g.Index)
	case g.Sub != nil:
		return c.expr(g.Sub)
	case g.List != nil:
		for _, e := range g.List.Items {
			c.expr(e)
		}
		return c.fail(at, "a list stands only on the right of in")
	}
	return c.name(at, g.Name)
}

func (c *checker) literal(at int, g *gLiteral) *node {
	for _, l := range []struct {
		text string
		kind Kind
	}{{g.Date, Date}, {g.Clock, Clock}, {g.Prefix, Prefix}, {g.Addr, Addr}, {g.Duration, Duration}, {g.Float, Float}, {g.Int, Int}} {
		if l.text == "" {
			continue
		}
		v, err := c.env.read(l.kind, l.text)
		if err != nil {
			return c.fail(at, "%v", err)
		}
		return c.made(constant(v, at))
	}
	text := strings.Trim(g.Raw, "`")
	if g.String != "" {
		var err error
		if text, err = strconv.Unquote(g.String); err != nil {
			return c.fail(at, "a string with an escape that stands for nothing; write it between backquotes to have none")
		}
	}
	return c.made(constant(Value{Kind: String, RawValue: RawValue{Str: text}}, at))
}

// taken tells what a name is already, or "".
func (b *builder) taken(name string) string {
	switch {
	case name == "true" || name == "false" || name == "none":
		return "a constant"
	case functions[name] != nil:
		return "a function"
	case b.tables[name] != nil:
		return "a table"
	case b.defs[name] != nil:
		return "a definition"
	case slices.Contains(b.env.Classes, name):
		return "a class"
	case slices.Contains(b.env.Teams, name):
		return "a team"
	case slices.ContainsFunc(b.env.Vars, func(v Var) bool { return v.Name == name }):
		return "a part of the request"
	case slices.ContainsFunc(b.env.TextFamilies, func(v TextFamily) bool { return v.Name == name }):
		return "a part of the request"
	}
	return ""
}

func (c *checker) name(at int, name string) *node {
	for _, l := range slices.Backward(c.locals) {
		if l.name == name {
			return l.node
		}
	}
	if d := c.defs[name]; d != nil {
		return c.use(at, d)
	}
	for i, v := range c.env.Vars {
		if v.Name == name {
			return c.made(&node{op: opVar, typ: Type{v.Kind, v.Optional}, at: at, idx: i, most: v.MaxBytes, text: name})
		}
	}
	switch name {
	case "true", "false":
		return c.made(constant(Value{Kind: Bool, RawValue: RawValue{IsTrue: name == "true"}}, at))
	case "none":
		return c.made(constant(Value{Kind: nothing}, at))
	case "clock", "today":
		return c.zoned(at, name, c.env.LocalZone)
	}
	class, team := slices.Index(c.env.Classes, name), slices.Index(c.env.Teams, name)
	switch {
	case class >= 0 && team >= 0:
		return c.fail(at, "%s is a class and a team; write class(%[1]q) or team(%[1]q)", name)
	case class >= 0:
		return c.made(constant(Value{Kind: Class, RawValue: RawValue{Integer: int64(class)}}, at))
	case team >= 0:
		return c.made(constant(Value{Kind: Team, RawValue: RawValue{Integer: int64(team)}}, at))
	case c.tables[name] != nil:
		return c.fail(at, "%s is a table; write %s[KEY], or KEY in %s", name, name, name)
	case functions[name] != nil:
		return c.fail(at, "%s is a function; write %s(…)", name, name)
	}
	return c.fail(at, "unknown name %q%s", name, spell.Suggest(name, c.names()))
}

// names are all that a name may be.
func (c *checker) names() []string {
	names := slices.Concat([]string{"true", "false", "none", "clock", "today"}, c.env.Classes, c.env.Teams)
	for _, v := range c.env.Vars {
		names = append(names, v.Name)
	}
	for _, l := range c.locals {
		names = append(names, l.name)
	}
	for n := range c.defs {
		names = append(names, n)
	}
	for n := range c.tables {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// use refers to a definition, which is checked when it is first referred to.
func (c *checker) use(at int, d *def) *node {
	if d.busy {
		from := max(slices.Index(c.trail, d.Name), 0)
		return c.fail(at, "%s is defined by itself: %s", d.Name, strings.Join(append(slices.Clone(c.trail[from:]), d.Name), " uses "))
	}
	if len(c.trail) >= maxChain {
		return c.fail(at, "definitions use each other more than %d deep", maxChain)
	}
	c.define(d, c.trail)
	return d.node
}

// define checks a definition once.
func (b *builder) define(d *def, trail []string) {
	if d.done || d.busy {
		return
	}
	d.busy = true
	defer func() { d.busy, d.done = false, true }()
	if d.tree == nil {
		return // what was wrong with it has been told
	}
	c := &checker{builder: b, src: d.Source, trail: append(slices.Clone(trail), d.Name)}
	n := c.expr(d.tree)
	if n == nil {
		return
	}
	if n.typ.Kind == nothing {
		c.fail(n.at, "none of what? write class(\"none\") or team(\"none\")")
		return
	}
	if n.typ.Kind == Prefix {
		d.node = n // a constant
		return
	}
	b.slots++
	d.node = (&node{op: opDef, typ: n.typ, at: n.at, idx: b.slots - 1, kids: []*node{n}, most: n.most, text: d.Name}).finish()
}

func (c *checker) lookUp(at int, g *gIndex) *node {
	key := c.expr(g.Key)
	t := c.tables[g.Name]
	switch {
	case t == nil:
		var names []string
		for n := range c.tables {
			names = append(names, n)
		}
		slices.Sort(names)
		return c.fail(at, "no table %q%s", g.Name, spell.Suggest(g.Name, names))
	case t.ValueKind == 0:
		return c.fail(at, "%s is a set and has no values; write KEY in %s", t.Name, t.Name)
	case key == nil:
		return nil
	}
	if key = c.present(c.as(key, t.key())); key == nil {
		return nil
	}
	if key.typ.Kind != t.key() {
		return c.fail(key.at, "%s is looked up by %v, and this is %v", t.Name, t.key(), key.typ)
	}
	return c.made(&node{op: opTable, typ: Type{Kind: t.ValueKind}, at: at, tab: t, kids: []*node{key}, most: t.most, text: t.Name})
}

// zone is a place whose clock a set looks at.
type zone struct {
	name string
	loc  *time.Location
}

// zoned is the time of day or the date at a place.
func (c *checker) zoned(at int, what, name string) *node {
	i := slices.IndexFunc(c.zones, func(z *zone) bool { return z.name == name })
	if i < 0 {
		if len(c.zones) >= maxZones {
			return c.fail(at, "more than %d time zones", maxZones)
		}
		loc, err := time.UTC, error(nil)
		if name != "" && name != "UTC" {
			if c.env.LoadZone == nil {
				return c.fail(at, "no time zone but UTC is known here")
			}
			loc, err = c.env.LoadZone(name)
		}
		if err != nil {
			return c.fail(at, "time zone %q: %v", name, err)
		}
		i = len(c.zones)
		c.zones = append(c.zones, &zone{name, loc})
	}
	n := &node{op: opClock, typ: Type{Kind: Clock}, at: at, idx: i, text: what}
	if what == "today" {
		n.op, n.typ.Kind = opToday, Date
	}
	return c.made(n)
}

// pattern compiles a regular expression, if it stays within its bounds. Its cost
// is that of the standard library's engine: a step for each instruction and byte.
func (c *checker) pattern(at int, text string) (*regexp.Regexp, int) {
	if n := c.res[text]; n != nil {
		return n.re, n.insts
	}
	if len(text) > maxPattern {
		c.fail(at, "a pattern of %d bytes; at most %d are read", len(text), maxPattern)
		return nil, 0
	}
	tree, err := syntax.Parse(text, syntax.Perl)
	if err != nil {
		c.fail(at, "%v", err)
		return nil, 0
	}
	prog, err := syntax.Compile(tree.Simplify())
	if err != nil {
		c.fail(at, "%v", err)
		return nil, 0
	}
	if len(prog.Inst) > maxProgram {
		c.fail(at, "the pattern compiles to %d instructions; at most %d are run", len(prog.Inst), maxProgram)
		return nil, 0
	}
	re, err := regexp.Compile(text)
	if err != nil {
		c.fail(at, "%v", err)
		return nil, 0
	}
	if c.res == nil {
		c.res = make(map[string]*node)
	}
	c.res[text] = &node{re: re, insts: len(prog.Inst)}
	return re, len(prog.Inst)
}
