package rules

import (
	"fmt"
	"regexp"
	"regexp/syntax"
	"slices"
	"strconv"
	"strings"
	"time"

	"millethinge/internal/suggest"
)

// setBuilder compiles the sources of one Set.
type setBuilder struct {
	env         *Env
	failed      bool
	tableLines  int // in all tables
	tables      map[string]*table
	definitions map[string]*checkedDef
	texts       []TextRef
	zones       []*timeZone
	slots       int
	sharedSlots map[string]int   // slots of common subexpressions, by node.key
	patterns    map[string]*node // compiled regular expressions, by pattern

	checkOnly    bool // only bounds are checked; no constant is evaluated
	foldedConsts int  // number of constant expressions evaluated so far
}

// checkedDef is a definition while its set is compiled.
type checkedDef struct {
	Definition
	tree       *gExpr
	node       *node // of op opDef, or a constant
	inProgress bool  // being checked; a reference to it now is a cycle
	done       bool
}

func (b *setBuilder) tableErrorf(t Table, format string, args ...any) {
	b.failed = true
	t.ReportError(fmt.Sprintf(format, args...))
}

func (b *setBuilder) lineError(l TableLine, argument int, msg string) {
	b.failed = true
	l.ReportError(argument, msg)
}

// checker assigns types to the nodes of one expression.
type checker struct {
	*setBuilder
	source         Source
	locals         []localVar
	definitionPath []string // the definitions whose references led to this expression
}

// localVar is a name bound by let.
type localVar struct {
	name string
	node *node // of op opLocal
}

// errorf reports an error and returns nil, which stands for an invalid node. Checking continues with the rest
// of the set.
func (c *checker) errorf(pos int, format string, args ...any) *node {
	c.failed = true
	c.source.ReportError(pos, fmt.Sprintf(format, args...))
	return nil
}

func (c *checker) warnf(pos int, format string, args ...any) {
	if c.source.ReportWarning != nil {
		c.source.ReportWarning(pos, fmt.Sprintf(format, args...))
	}
}

// finishNode completes a node and enforces the limits on tree depth and string length.
func (c *checker) finishNode(n *node) *node {
	n.finish()
	switch {
	case n.depth > maxTreeDepth:
		return c.errorf(n.pos, "nested %d deep; at most %d is", n.depth, maxTreeDepth)
	case n.maxBytes > maxStringBytes:
		return c.errorf(n.pos, "this may become a string of %d bytes; at most %d are made", n.maxBytes, maxStringBytes)
	}
	return n
}

func (c *checker) expr(g *gExpr) *node {
	switch {
	case g.Let != nil:
		return c.letExpr(g)
	case g.If != nil:
		return c.ifExpr(g)
	}
	return c.orExpr(g.Or)
}

func (c *checker) letExpr(g *gExpr) *node {
	l := g.Let
	if why := c.existingUse(l.Name); why != "" {
		return c.errorf(g.Pos.Offset, "%s is %s already", l.Name, why)
	}
	init := c.expr(l.Init)
	if init == nil {
		return nil
	}
	if init.typ.Kind == untypedNone {
		return c.errorf(init.pos, "none of what? write class(\"none\") or team(\"none\")")
	}
	c.slots++
	bound := c.finishNode(&node{op: opLocal, typ: init.typ, pos: g.Pos.Offset, idx: c.slots - 1, maxBytes: init.maxBytes})
	c.locals = append(c.locals, localVar{l.Name, bound})
	body := c.expr(l.Body)
	c.locals = c.locals[:len(c.locals)-1]
	if body == nil {
		return nil
	}
	return c.finishNode(&node{op: opLet, typ: body.typ, pos: g.Pos.Offset, idx: bound.idx, children: []*node{init, body}, maxBytes: body.maxBytes})
}

func (c *checker) ifExpr(g *gExpr) *node {
	cond, then, other := c.expr(g.If.Cond), c.expr(g.If.Then), c.expr(g.If.Else)
	if cond == nil || then == nil || other == nil {
		return nil
	}
	if cond = c.requireBool(cond); cond == nil {
		return nil
	}
	if then, other = c.unify(g.Pos.Offset, then, other); then == nil {
		return nil
	}
	if then.typ.Optional || other.typ.Optional {
		return c.errorf(g.Pos.Offset, "one of the two may be absent; give it a default with ??")
	}
	if then.typ.Kind == Prefix {
		return c.errorf(g.Pos.Offset, "a prefix can't be chosen by if; choose the condition instead")
	}
	return c.finishNode(&node{op: opIf, typ: then.typ, pos: g.Pos.Offset, children: []*node{cond, then, other}, maxBytes: max(then.maxBytes, other.maxBytes)})
}

// requireBool reports an error unless n is a non-optional bool.
func (c *checker) requireBool(n *node) *node {
	if n.typ != (Type{Kind: Bool}) {
		if n.typ.Optional {
			return c.errorf(n.pos, "a condition is wanted, and this is %v; use has() or ??", n.typ)
		}
		return c.errorf(n.pos, "a condition is wanted, and this is %v", n.typ)
	}
	return n
}

// requirePresent reports an error if n is optional.
func (c *checker) requirePresent(n *node) *node {
	if n.typ.Optional {
		return c.errorf(n.pos, "this may be absent; give it a default with ??")
	}
	return n
}

// unify converts two nodes to a common kind: none takes the kind of the other, and an int next to a float
// becomes a float.
func (c *checker) unify(pos int, a, b *node) (*node, *node) {
	a, b = c.convert(a, b.typ.Kind), c.convert(b, a.typ.Kind)
	if a.typ.Kind != b.typ.Kind {
		return c.errorf(pos, "%v and %v don't go together", a.typ, b.typ), nil
	}
	if a.typ.Kind == untypedNone {
		return c.errorf(pos, "none of what?"), nil
	}
	return a, b
}

// convert converts n to kind k where that is unambiguous; otherwise it returns n.
func (c *checker) convert(n *node, k Kind) *node {
	switch {
	case n.typ.Kind == untypedNone && (k == Class || k == Team):
		return newConst(Value{Kind: k, RawValue: RawValue{Integer: -1}}, n.pos)
	case n.typ.Kind == Int && k == Float && !n.typ.Optional:
		if n.isConst() {
			return newConst(Value{Kind: Float, RawValue: RawValue{Float64: float64(n.constValue.Integer)}}, n.pos)
		}
		f := functions["float"]
		return (&node{op: opCall, callee: f, typ: Type{Kind: Float}, pos: n.pos, children: []*node{n}}).finish()
	}
	return n
}

func (c *checker) orExpr(g *gOr) *node {
	return c.logicalExpr(opOr, len(g.Terms), func(i int) *node { return c.andExpr(g.Terms[i]) })
}

func (c *checker) andExpr(g *gAnd) *node {
	return c.logicalExpr(opAnd, len(g.Terms), func(i int) *node { return c.notExpr(g.Terms[i]) })
}

// logicalExpr checks a chain of and or of or.
func (c *checker) logicalExpr(o op, n int, term func(int) *node) *node {
	if n == 1 {
		return term(0)
	}
	var children []*node
	for i := range n {
		k := term(i)
		if k != nil {
			k = c.requireBool(k)
		}
		children = append(children, k)
	}
	if slices.Contains(children, nil) {
		return nil
	}
	return c.finishNode(&node{op: o, typ: Type{Kind: Bool}, pos: children[0].pos, children: children})
}

func (c *checker) notExpr(g *gNot) *node {
	n := c.compareExpr(g.Cmp)
	if n == nil || len(g.Nots) == 0 {
		return n
	}
	if n = c.requireBool(n); n == nil || len(g.Nots)%2 == 0 {
		return n
	}
	return c.finishNode(&node{op: opNot, typ: Type{Kind: Bool}, pos: g.Pos.Offset, children: []*node{n}})
}

// comparisonSymbols maps each comparison operator to its one-byte code in node.symbol.
var comparisonSymbols = map[string]byte{"==": '=', "!=": '!', "<": '<', "<=": 'l', ">": '>', ">=": 'g'}

func (c *checker) compareExpr(g *gCmp) *node {
	left := c.sumExpr(g.Left)
	if g.Right == nil {
		return left
	}
	pos := g.Pos.Offset
	if g.Op == "in" || g.NotIn {
		n := c.memberExpr(pos, left, g.Right)
		if n == nil || !g.NotIn {
			return n
		}
		return c.finishNode(&node{op: opNot, typ: Type{Kind: Bool}, pos: pos, children: []*node{n}})
	}
	right := c.sumExpr(g.Right)
	if left == nil || right == nil {
		return nil
	}
	if left, right = c.requirePresent(left), c.requirePresent(right); left == nil || right == nil {
		return nil
	}
	if left, right = c.unify(pos, left, right); left == nil {
		return nil
	}
	switch k := left.typ.Kind; {
	case k == Prefix:
		return c.errorf(pos, "prefixes are not compared; use in")
	case g.Op == "==" || g.Op == "!=":
	case k == Bool || k == Class || k == Team || k == Title || k == Addr:
		return c.errorf(pos, "%v has no order; only == and != compare it", k)
	}
	return c.finishNode(&node{op: opCompare, symbol: comparisonSymbols[g.Op], typ: Type{Kind: Bool}, pos: pos, children: []*node{left, right}})
}

// memberExpr checks an in expression, whose right side is a list, a set, a table or a prefix.
func (c *checker) memberExpr(pos int, left *node, g *gSum) *node {
	// The right side is checked before left is known to be valid, so that errors on both sides are reported.
	if p := solePrimary(g); p != nil && p.List != nil {
		return c.listMemberExpr(pos, left, p.List)
	} else if p != nil && p.Name != "" && c.tables[p.Name] != nil {
		t := c.tables[p.Name]
		if left == nil {
			return nil
		}
		if left = c.requirePresent(c.convert(left, t.lookupKind())); left == nil {
			return nil
		}
		if left.typ.Kind != t.lookupKind() {
			return c.errorf(pos, "%s has %v for its keys, and this is %v", t.Name, t.lookupKind(), left.typ)
		}
		return c.finishNode(&node{op: opIn, typ: Type{Kind: Bool}, pos: pos, children: []*node{left}, members: t.keyIndex})
	}
	right := c.sumExpr(g)
	if left == nil || right == nil {
		return nil
	}
	if left = c.requirePresent(left); left == nil {
		return nil
	}
	if right.typ.Kind != Prefix || left.typ.Kind != Addr {
		return c.errorf(right.pos, "in wants a list in brackets, a set, a table or (for an address) a prefix on its right")
	}
	return c.finishNode(&node{op: opInPrefix, typ: Type{Kind: Bool}, pos: pos, children: []*node{left}, constValue: right.constValue})
}

// solePrimary returns the primary that g consists of, or nil if g has operators.
func solePrimary(g *gSum) *gPrimary {
	if len(g.Right) > 0 || len(g.Left.Right) > 0 || len(g.Left.Left.Terms) > 1 || len(g.Left.Left.Terms[0].Minuses) > 0 {
		return nil
	}
	return g.Left.Left.Terms[0].Operand
}

func (c *checker) listMemberExpr(pos int, left *node, g *gList) *node {
	var items []*node
	for _, e := range g.Items {
		items = append(items, c.expr(e))
	}
	if left == nil || slices.Contains(items, nil) {
		return nil
	}
	if left = c.requirePresent(left); left == nil {
		return nil
	}
	if len(items) == 0 {
		return c.errorf(pos, "nothing is in an empty list")
	}
	kind := left.typ.Kind
	switch kind {
	case Bool, Float:
		return c.errorf(pos, "%v is not looked for in lists", kind)
	case Addr:
		kind = Prefix
	case untypedNone:
		return c.errorf(pos, "none of what?")
	}
	members := newKeyIndex(kind, len(items))
	for i, item := range items {
		item = c.convert(item, kind)
		if kind == Prefix && item.typ.Kind == Addr && item.isConst() { // a single address
			a := item.constValue.IP
			if p, err := a.Prefix(a.BitLen()); err == nil {
				item = newConst(Value{Kind: Prefix, Network: p}, item.pos)
			}
		}
		if !item.isConst() || item.typ.Kind != kind {
			return c.errorf(item.pos, "a list in which %v is looked for has constants of that kind, and this is %v", left.typ, item.typ)
		}
		if !members.add(item.constValue, int32(i)) {
			c.warnf(item.pos, "stands twice in the list")
		}
	}
	return c.finishNode(&node{op: opIn, typ: Type{Kind: Bool}, pos: pos, children: []*node{left}, members: members})
}

func (c *checker) sumExpr(g *gSum) *node {
	n := c.productExpr(g.Left)
	for _, r := range g.Right {
		n = c.arithExpr(r.Pos.Offset, r.Op[0], n, c.productExpr(r.Right))
	}
	return n
}

func (c *checker) productExpr(g *gProduct) *node {
	n := c.defaultExpr(g.Left)
	for _, r := range g.Right {
		n = c.arithExpr(r.Pos.Offset, r.Op[0], n, c.defaultExpr(r.Right))
	}
	return n
}

// arithExpr checks one of + - * / %.
func (c *checker) arithExpr(pos int, o byte, a, b *node) *node {
	if a == nil || b == nil {
		return nil
	}
	if a, b = c.requirePresent(a), c.requirePresent(b); a == nil || b == nil {
		return nil
	}
	if a.typ.Kind == String && b.typ.Kind == String && o == '+' {
		children := []*node{a, b}
		if a.op == opConcat { // a chain of concatenations becomes one node
			children = append(slices.Clone(a.children), b)
		}
		c.slots += len(children) // one for each part, which is kept until all are evaluated
		return c.finishNode(&node{op: opConcat, typ: Type{Kind: String}, pos: a.pos, idx: c.slots - len(children), children: children, maxBytes: a.maxBytes + b.maxBytes})
	}
	ka, kb := a.typ.Kind, b.typ.Kind
	if ka == Float || kb == Float {
		a, b = c.convert(a, kb), c.convert(b, ka)
		ka, kb = a.typ.Kind, b.typ.Kind
	}
	out := ka
	switch {
	case ka == kb && (ka == Int || ka == Float):
		if ka == Float && o == '%' {
			return c.errorf(pos, "%% is for whole numbers")
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
		return c.errorf(pos, "%v %c %v is not defined", a.typ, o, b.typ)
	}
	if o == '/' || o == '%' {
		switch {
		case !b.isConst():
			c.warnf(pos, "where the divisor is 0 the result is 0")
		case b.constValue.Integer == 0 && b.constValue.Float64 == 0:
			return c.errorf(b.pos, "division by zero")
		}
	}
	return c.finishNode(&node{op: opArith, symbol: o, typ: Type{Kind: out}, pos: a.pos, children: []*node{a, b}})
}

func (c *checker) defaultExpr(g *gElse) *node {
	n := c.unaryExpr(g.Terms[0])
	for _, t := range g.Terms[1:] {
		d := c.unaryExpr(t)
		if n == nil || d == nil {
			n = nil
			continue
		}
		if !n.typ.Optional {
			return c.errorf(n.pos, "this is never absent, and needs no default")
		}
		d = c.convert(d, n.typ.Kind)
		if d.typ.Kind != n.typ.Kind {
			return c.errorf(d.pos, "the default of %v is %v", n.typ, d.typ)
		}
		n = c.finishNode(&node{op: opDefault, typ: d.typ, pos: n.pos, children: []*node{n, d}, maxBytes: max(n.maxBytes, d.maxBytes)})
	}
	return n
}

func (c *checker) unaryExpr(g *gUnary) *node {
	n := c.primaryExpr(g.Operand)
	if n == nil || len(g.Minuses) == 0 {
		return n
	}
	if n = c.requirePresent(n); n == nil {
		return nil
	}
	switch n.typ.Kind {
	case Int, Float, Duration:
	default:
		return c.errorf(g.Pos.Offset, "%v has no negative", n.typ)
	}
	if len(g.Minuses)%2 == 0 {
		return n
	}
	if n.isConst() {
		v := n.constValue
		v.Integer, v.Float64 = saturatingNeg(v.Integer), -v.Float64
		return c.finishNode(newConst(v, g.Pos.Offset))
	}
	return c.finishNode(&node{op: opNeg, typ: n.typ, pos: g.Pos.Offset, children: []*node{n}})
}

func (c *checker) primaryExpr(g *gPrimary) *node {
	pos := g.Pos.Offset
	switch {
	case g.Literal != nil:
		return c.literalExpr(pos, g.Literal)
	case g.Call != nil:
		return c.callExpr(pos, g.Call)
	case g.Index != nil:
		return c.tableExpr(pos, g.Index)
	case g.Group != nil:
		return c.expr(g.Group)
	case g.List != nil:
		for _, e := range g.List.Items {
			c.expr(e)
		}
		return c.errorf(pos, "a list stands only on the right of in")
	}
	return c.nameExpr(pos, g.Name)
}

func (c *checker) literalExpr(pos int, g *gLiteral) *node {
	for _, l := range []struct {
		text string
		kind Kind
	}{{g.Date, Date}, {g.Clock, Clock}, {g.Prefix, Prefix}, {g.Addr, Addr}, {g.Duration, Duration}, {g.Float, Float}, {g.Int, Int}} {
		if l.text == "" {
			continue
		}
		v, err := c.env.parseValue(l.kind, l.text)
		if err != nil {
			return c.errorf(pos, "%v", err)
		}
		return c.finishNode(newConst(v, pos))
	}
	text := strings.Trim(g.Raw, "`")
	if g.String != "" {
		var err error
		if text, err = strconv.Unquote(g.String); err != nil {
			return c.errorf(pos, "a string with an escape that stands for nothing; write it between backquotes to have none")
		}
	}
	return c.finishNode(newConst(Value{Kind: String, RawValue: RawValue{Str: text}}, pos))
}

// existingUse returns what a name is already used for, or "" if it is free.
func (b *setBuilder) existingUse(name string) string {
	switch {
	case name == "true" || name == "false" || name == "none":
		return "a constant"
	case functions[name] != nil:
		return "a function"
	case b.tables[name] != nil:
		return "a table"
	case b.definitions[name] != nil:
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

func (c *checker) nameExpr(pos int, name string) *node {
	for _, l := range slices.Backward(c.locals) {
		if l.name == name {
			return l.node
		}
	}
	if d := c.definitions[name]; d != nil {
		return c.definitionRef(pos, d)
	}
	for i, v := range c.env.Vars {
		if v.Name == name {
			return c.finishNode(&node{op: opVar, typ: Type{v.Kind, v.Optional}, pos: pos, idx: i, maxBytes: v.MaxBytes, ident: name})
		}
	}
	switch name {
	case "true", "false":
		return c.finishNode(newConst(Value{Kind: Bool, RawValue: RawValue{IsTrue: name == "true"}}, pos))
	case "none":
		return c.finishNode(newConst(Value{Kind: untypedNone}, pos))
	case "clock", "today":
		return c.zoneExpr(pos, name, c.env.LocalZone)
	}
	class, team := slices.Index(c.env.Classes, name), slices.Index(c.env.Teams, name)
	switch {
	case class >= 0 && team >= 0:
		return c.errorf(pos, "%s is a class and a team; write class(%[1]q) or team(%[1]q)", name)
	case class >= 0:
		return c.finishNode(newConst(Value{Kind: Class, RawValue: RawValue{Integer: int64(class)}}, pos))
	case team >= 0:
		return c.finishNode(newConst(Value{Kind: Team, RawValue: RawValue{Integer: int64(team)}}, pos))
	case c.tables[name] != nil:
		return c.errorf(pos, "%s is a table; write %s[KEY], or KEY in %s", name, name, name)
	case functions[name] != nil:
		return c.errorf(pos, "%s is a function; write %s(…)", name, name)
	}
	return c.errorf(pos, "unknown name %q%s", name, suggest.Suggest(name, c.knownNames()))
}

// knownNames returns all valid names, to suggest one for a misspelt name.
func (c *checker) knownNames() []string {
	names := slices.Concat([]string{"true", "false", "none", "clock", "today"}, c.env.Classes, c.env.Teams)
	for _, v := range c.env.Vars {
		names = append(names, v.Name)
	}
	for _, l := range c.locals {
		names = append(names, l.name)
	}
	for n := range c.definitions {
		names = append(names, n)
	}
	for n := range c.tables {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// definitionRef refers to a definition, which is checked on the first reference.
func (c *checker) definitionRef(pos int, d *checkedDef) *node {
	if d.inProgress {
		from := max(slices.Index(c.definitionPath, d.Name), 0)
		return c.errorf(pos, "%s is defined by itself: %s", d.Name, strings.Join(append(slices.Clone(c.definitionPath[from:]), d.Name), " uses "))
	}
	if len(c.definitionPath) >= maxDefinitionChain {
		return c.errorf(pos, "definitions use each other more than %d deep", maxDefinitionChain)
	}
	c.checkDefinition(d, c.definitionPath)
	return d.node
}

// checkDefinition checks a definition once.
func (b *setBuilder) checkDefinition(d *checkedDef, definitionPath []string) {
	if d.done || d.inProgress {
		return
	}
	d.inProgress = true
	defer func() { d.inProgress, d.done = false, true }()
	if d.tree == nil {
		return // its syntax error has been reported
	}
	c := &checker{setBuilder: b, source: d.Source, definitionPath: append(slices.Clone(definitionPath), d.Name)}
	n := c.expr(d.tree)
	if n == nil {
		return
	}
	if n.typ.Kind == untypedNone {
		c.errorf(n.pos, "none of what? write class(\"none\") or team(\"none\")")
		return
	}
	if n.typ.Kind == Prefix {
		d.node = n // prefixes are always constant
		return
	}
	b.slots++
	d.node = (&node{op: opDef, typ: n.typ, pos: n.pos, idx: b.slots - 1, children: []*node{n}, maxBytes: n.maxBytes, ident: d.Name}).finish()
}

func (c *checker) tableExpr(pos int, g *gIndex) *node {
	key := c.expr(g.Key)
	t := c.tables[g.Name]
	switch {
	case t == nil:
		var names []string
		for n := range c.tables {
			names = append(names, n)
		}
		slices.Sort(names)
		return c.errorf(pos, "no table %q%s", g.Name, suggest.Suggest(g.Name, names))
	case t.ValueKind == 0:
		return c.errorf(pos, "%s is a set and has no values; write KEY in %s", t.Name, t.Name)
	case key == nil:
		return nil
	}
	if key = c.requirePresent(c.convert(key, t.lookupKind())); key == nil {
		return nil
	}
	if key.typ.Kind != t.lookupKind() {
		return c.errorf(key.pos, "%s is looked up by %v, and this is %v", t.Name, t.lookupKind(), key.typ)
	}
	return c.finishNode(&node{op: opTable, typ: Type{Kind: t.ValueKind}, pos: pos, tableRef: t, children: []*node{key}, maxBytes: t.maxBytes, ident: t.Name})
}

// timeZone is a time zone that a set refers to.
type timeZone struct {
	name string
	loc  *time.Location
}

// zoneExpr is the time of day (what: clock) or the date (what: today) in a time zone.
func (c *checker) zoneExpr(pos int, what, name string) *node {
	i := slices.IndexFunc(c.zones, func(z *timeZone) bool { return z.name == name })
	if i < 0 {
		if len(c.zones) >= maxZones {
			return c.errorf(pos, "more than %d time zones", maxZones)
		}
		loc, err := time.UTC, error(nil)
		if name != "" && name != "UTC" {
			if c.env.LoadZone == nil {
				return c.errorf(pos, "no time zone but UTC is known here")
			}
			loc, err = c.env.LoadZone(name)
		}
		if err != nil {
			return c.errorf(pos, "time zone %q: %v", name, err)
		}
		i = len(c.zones)
		c.zones = append(c.zones, &timeZone{name, loc})
	}
	n := &node{op: opClock, typ: Type{Kind: Clock}, pos: pos, idx: i, ident: what}
	if what == "today" {
		n.op, n.typ.Kind = opToday, Date
	}
	return c.finishNode(n)
}

// compilePattern compiles a regular expression within the limits and returns its number of instructions: the
// standard library's engine takes up to one step for each instruction and byte of text.
func (c *checker) compilePattern(pos int, text string) (*regexp.Regexp, int) {
	if n := c.patterns[text]; n != nil {
		return n.re, n.reInsts
	}
	if len(text) > maxPatternBytes {
		c.errorf(pos, "a pattern of %d bytes; at most %d are read", len(text), maxPatternBytes)
		return nil, 0
	}
	tree, err := syntax.Parse(text, syntax.Perl)
	if err != nil {
		c.errorf(pos, "%v", err)
		return nil, 0
	}
	prog, err := syntax.Compile(tree.Simplify())
	if err != nil {
		c.errorf(pos, "%v", err)
		return nil, 0
	}
	if len(prog.Inst) > maxPatternInsts {
		c.errorf(pos, "the pattern compiles to %d instructions; at most %d are run", len(prog.Inst), maxPatternInsts)
		return nil, 0
	}
	re, err := regexp.Compile(text)
	if err != nil {
		c.errorf(pos, "%v", err)
		return nil, 0
	}
	if c.patterns == nil {
		c.patterns = make(map[string]*node)
	}
	c.patterns[text] = &node{re: re, reInsts: len(prog.Inst)}
	return re, len(prog.Inst)
}
