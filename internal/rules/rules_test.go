package rules

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"
)

// The parts of a request in these tests.
const (
	varClass = iota
	varTeam
	varTitle
	varCopies
	varTop
	varLeft
	varRetry
	varViewer
	varClient
)

func testEnv() *Env {
	return &Env{
		Classes: []string{"clip", "feed", "gold"},
		Teams:   []string{"north", "south", "gold"},
		Vars: []Var{
			{Name: "class", Kind: Class}, {Name: "team", Kind: Team}, {Name: "key", Kind: Title}, {Name: "copies", Kind: Int},
			{Name: "top", Kind: Float}, {Name: "left", Kind: Duration}, {Name: "retry", Kind: Bool},
			{Name: "viewer", Kind: String, Optional: true, MaxBytes: 64}, {Name: "client", Kind: Addr, Optional: true},
		},
		TextFamilies: []TextFamily{{Name: "field", MaxBytes: 128}},
		Targets: []Target{
			{Name: "class", Kind: Class}, {Name: "team", Kind: Team}, {Name: "budget", Kind: String, MaxBytes: 64}, {Name: "label", Kind: String, HasSubname: true, MaxBytes: 200},
		},
		ClassVar: varClass,
		CheckClassChange: func(from, to int) error { // clip and gold are paid, feed is not; gold's floor is the higher
			if from < 0 || from == 0 && to == 2 {
				return nil
			}
			return errors.New("not allowed")
		},
		LoadZone: time.LoadLocation, LocalZone: "America/Mexico_City",
	}
}

// diagnostics is what was wrong with a set, or remarked on.
type diagnostics struct {
	errors, warnings []string
}

func (t *diagnostics) source(name, text string) Source {
	return Source{
		Text:          text,
		ReportError:   func(at int, msg string) { t.errors = append(t.errors, fmt.Sprintf("%s:%d: %s", name, at, msg)) },
		ReportWarning: func(at int, msg string) { t.warnings = append(t.warnings, fmt.Sprintf("%s:%d: %s", name, at, msg)) },
	}
}

func (t *diagnostics) table(name string, key, value Kind, def string, lines ...string) Table {
	out := Table{Name: name, KeyKind: key, ValueKind: value, Default: def, ReportError: func(msg string) { t.errors = append(t.errors, name+": "+msg) }}
	for _, l := range lines {
		k, v, _ := strings.Cut(l, "=")
		out.Lines = append(out.Lines, TableLine{k, v, func(_ int, msg string) { t.errors = append(t.errors, name+": "+msg) }})
	}
	return out
}

// compileRules compiles rules, and definitions as "NAME = EXPR".
func compileRules(env *Env, tables func(*diagnostics) []Table, defs []string, rules ...string) (*setBuilder, *Set, *diagnostics) {
	t := new(diagnostics)
	var ds []Definition
	for _, d := range defs {
		name, text, _ := strings.Cut(d, " = ")
		ds = append(ds, Definition{name, t.source(name, text)})
	}
	var rs []Rule
	for i, r := range rules {
		name := fmt.Sprint("r", i)
		rs = append(rs, Rule{name, t.source(name, r)})
	}
	var ts []Table
	if tables != nil {
		ts = tables(t)
	}
	b := newSetBuilder(env)
	return b, b.buildSet(ts, ds, rs), t
}

func testTables(t *diagnostics) []Table {
	return []Table{
		t.table("owner", Title, Team, "none", "7f3a=north", "1=south"),
		t.table("rank", String, Int, "-1", "a=1", "b=2"),
		t.table("net", Prefix, String, "elsewhere", "10.0.0.0/8=tills", "10.4.0.0/16=hall", "fe80::/10=local"),
		t.table("vip", Title, 0, "", "7f3a", "8"),
		t.table("kinds", Title, Class, "clip", "1=gold"),
		t.table("feeds", Title, Class, "clip", "1=feed"),
	}
}

// A request of these tests: Friday 2026-05-15, 18:30:05 in Mexico City.
var requestTime = time.Date(2026, 5, 16, 0, 30, 5, 0, time.UTC)

func request(s *Set) *Frame {
	f := s.NewFrame()
	f.Reset(requestTime)
	f.SetInt(varClass, 0)
	f.SetInt(varTeam, 1)
	f.SetInt(varTitle, 0x7f3a)
	f.SetInt(varCopies, 4)
	f.SetFloat(varTop, 2.5)
	f.SetInt(varLeft, int64(1500*time.Millisecond))
	f.SetBool(varRetry, true)
	f.SetString(varViewer, "Till-07;north")
	f.SetAddr(varClient, netip.MustParseAddr("::ffff:10.4.7.9"))
	for i, ref := range s.TextRefs() {
		if ref.Name != "absent" {
			f.SetText(i, []byte(ref.Name))
		}
	}
	return f
}

// Conditions that hold, and ones that don't, each evaluated as it stands and with
// its negation.
func TestConditions(t *testing.T) {
	for _, e := range []string{
		"true", "not false", "not not true", "1 + 2 * 3 == 7", "(1 + 2) * 3 == 9", "7 / 2 == 3 and 7 % 4 == 3", "-7 / 2 == -3", "1 / copies == 0",
		"copies / (copies - 4) == 0", "copies % (copies - 4) == 0", "top / (top - top) == 0.0", "2.5 * 2 == 5", "top >= 2", "1e3 > 999.5",
		"9223372036854775807 + copies == 9223372036854775807", "-9223372036854775807 - copies < 0", "copies * 9223372036854775807 > 0",
		"-copies * 9223372036854775807 < 0", "abs(-9223372036854775807 - copies) > 0", "top * 1e300 * 1e300 > 1e308", "int(top * 1e300) == 9223372036854775807",
		"int(top) == 2 and float(copies) == 4", "0x10 == 16", "1_000 == 1000",
		"class == clip", "class != feed", "class in [clip, feed]", "class not in [feed]", "class != none", "team == south", `team == team("south")`, `class("gold") != class`,
		`team in [north, south] and team != none`, "key == title(\"7f3a\")", "key in vip", "title(\"9\") not in vip", "owner[key] == north", "owner[title(\"9\")] == none",
		`key in owner`, `rank["a"] + rank["zz"] == 0`, `field("a") ?? "x" == "a"`, `rank[field("b") ?? ""] == 2`, `field("absent") ?? "x" == "x"`, `has(field("a")) and not has(field("absent"))`,
		`field("absent") ?? field("a") ?? "x" == "a"`, `(int(field("12") ?? "") ?? 0) == 12`, `(int("x" + text(copies)) ?? -1) == -1`, `(int("-09223372036854775808" + "") ?? 0) < -9223372036854775807 and not has(int("9223372036854775808" + "")) and not has(int("-" + ""))`, `(float("2.5" + "") ?? 0) == 2.5`,
		`(float("1e999" + viewer ?? "") ?? 7.0) == 7`, `viewer ?? "" == "Till-07;north"`, `lower(viewer ?? "") == "till-07;north"`, `upper("aä" + "") == "Aä"`,
		`starts(viewer ?? "", "Till")`, `ends(viewer ?? "", "north")`, `contains(viewer ?? "", "07;")`, `glob(viewer ?? "", "T*-0?;*")`, `not glob("abc" + "", "a?")`,
		"matches(viewer ?? \"\", `^Till-\\d+;(north|south)$`)", `part(viewer ?? "", ";", 2) ?? "" == "north"`, `not has(part(viewer ?? "", ";", 3))`, `len(viewer ?? "") == 13`,
		`text(copies) + "/" + text(class) + "/" + text(team) + "/" + text(key) == "4/clip/south/0000000000007f3a"`, `text(retry) == "true"`, `"a" + "b" + "c" == "abc"`, `"a" < "b" and "b" >= "aa"`,
		"left == 1500ms", "left * 2 == 3s", "left / 3 == 500ms", "left / 1s == 1", "left - 2s < 0s", "ms(left) == 1500", "left % 1s == 500ms", "-left < 0ns", "1h30m == 90m",
		"clock == 18:30:05", "clock >= 18:30 and clock < 18:31", "hour(clock) == 18 and minute(clock) == 30", "between(clock, 18:00, 21:00)", "not between(clock, 21:00, 6:00)", "between(23:00, 21:00, 6:00) and between(5:00, 21:00, 6:00)",
		`clock("UTC") == 0:30:05`, `today == 2026-05-15`, `today("UTC") == 2026-05-16`, "quincena(today)", "quincena(2026-02-28) and not quincena(2028-02-28) and last_day(2028-02-29)",
		"day(today) == 15 and month(today) == 5 and year(today) == 2026", "weekday(today) == 5 and weekday(2026-05-17) == 7", "today - 2026-05-01 == 14", "today + 30 == 2026-06-14", "today + 99999999 == 9999-12-31", "9999-12-31 + 1 == 9999-12-31",
		"client ?? 0.0.0.0 == 10.4.7.9", "client ?? 0.0.0.0 in 10.4.0.0/16", "client ?? 0.0.0.0 in [192.168.0.0/16, 10.4.7.9]", "client ?? 0.0.0.0 not in [192.168.0.0/16, prefix(\"fe80::/10\")]",
		`net[client ?? 0.0.0.0] == "hall"`, `net[10.5.0.1] == "tills"`, `net[11.0.0.1] == "elsewhere"`, `net[addr("fe80::1%eth0")] == "local"`, `client ?? 0.0.0.0 in net`, `(addr(field("10.4.0.1") ?? "") ?? 0.0.0.0) in net`,
		`not has(addr(viewer ?? ""))`, `(title(field("7F3A") ?? "") ?? title("0")) == key`, `has(client) and 11.0.0.0 not in prefix("10.0.0.0/8")`,
		"if retry then copies == 4 else false", "(if copies > 3 then north else south) == north", "(let n = copies * 2; n + n) == 16", `(let v = viewer; v ?? "" != "")`, "let a = 1; let b = a + 1; b == 2",
		"min(copies, 9) == 4 and max(top, 1) == 2.5 and min(2s, left) == left", "abs(-3) == 3 and abs(-2.5) == 2.5 and abs(-2s) == 2s",
		"bucket(key, 10) in [0,1,2,3,4,5,6,7,8,9]", "bucket(key, 1) == 0", "hash(viewer ?? \"\") >= 0", `bucket(team, 100) == bucket("south" + "", 100)`, "hash(key) == hash(\"0000000000007f3a\")", "hash(copies) == hash(\"4\")",
		"retry == true", "(copies > 3) == retry", "half == 2", "whole == 4 and whole + half == 6",
	} {
		_, s, told := compileRules(testEnv(), testTables, []string{"half = whole / 2", "whole = copies"}, "when not ("+e+")", "when "+e)
		if s == nil {
			t.Errorf("%s: %v", e, told.errors)
			continue
		}
		f := request(s)
		if got := s.Evaluate(f); got != 1 || f.Cost() > s.MaxCost() {
			t.Errorf("%s: rule %d, cost %d of %d", e, got, f.Cost(), s.MaxCost())
		}
	}
}

// Each fault is told at its place.
func TestErrors(t *testing.T) {
	long := "a" + strings.Repeat("a", 200)
	for _, e := range []struct {
		rule, want string
	}{
		{"when", "r0:4: unexpected token"}, {"when 1", "r0:5: a condition is wanted, and this is int"}, {"when copies =", "r0:12: unexpected token \"=\""},
		{"when copes == 1", `r0:5: unknown name "copes"; did you mean "copies"?`}, {"when lenght(viewer ?? \"\") == 1", `no function "lenght"; did you mean "len"`},
		{"when viewer == \"x\"", "r0:5: this may be absent; give it a default with ??"}, {"when int(\"5\" + \"\") == 5", "this may be absent"}, {"when copies ?? 1 == 1", "never absent"}, {"when has(copies)", "never absent"},
		{"when has(retry) and viewer", "r0:9: this is never absent"}, {"when field(\"x\")", "a condition is wanted, and this is optional string; use has() or ??"},
		{"when copies == \"4\"", "int and string don't go together"}, {"when class == north", "class and team don't go together"}, {"when class == gold", "gold is a class and a team; write class(\"gold\") or team(\"gold\")"},
		{"when none == none", "none of what?"}, {"when none in [north]", "none of what?"}, {"when class < feed", "class has no order"}, {"when 1 < 2 < 3", "unexpected token \"<\""},
		{"when copies in []", "nothing is in an empty list"}, {"when copies in [1, \"a\"]", "this is string"}, {"when copies in [1, copies]", "has constants"}, {"when top in [1.5]", "float is not looked for in lists"},
		{"when [1] == 1", "a list stands only on the right of in"}, {"when copies in 5", "in wants a list"}, {"when copies in 10.0.0.0/8", "in wants a list"}, {"when copies in vip", "vip has title for its keys, and this is int"},
		{"when vip[key] == 1", "vip is a set and has no values"}, {"when nix[key] == 1", "no table \"nix\""}, {"when owner == north", "owner is a table"}, {"when owner[copies] == north", "owner is looked up by title, and this is int"}, {"when len == 1", "len is a function"},
		{"when copies / 0 == 1", "r0:14: division by zero"}, {"when copies % 0 == 1", "division by zero"}, {"when top % 2.0 == 1", "%"}, {"when copies + retry == 1", "int + bool is not defined"}, {"when -viewer == 1", "may be absent"}, {"when -retry", "bool has no negative"},
		{"when left * left == 1s", "duration * duration is not defined"}, {"when today + 1s == today", "date + duration is not defined"}, {"when clock + 1s == clock", "clock + duration"},
		{"when 25:00 == clock", `"25:00" is no time of day`}, {"when today == 2026-02-30", "is no date"}, {"when 10.0.0.300 == 10.0.0.1", "is no address"}, {"when 10.4.0.0/8 == 10.0.0.0/8", "has bits set behind its length; 10.0.0.0/8 has not"},
		{"when client ?? 0.0.0.0 in [fe80::/10]", "r0:31: this is no part of an expression"}, {"when \"abc", "the quote that begins here has no end"}, {"when retry & retry", "this is no part of an expression"}, {`when "\q" == ""`, "an escape that stands for nothing"},
		{"when matches(viewer ?? \"\", \"(\")", "missing closing )"}, {"when matches(viewer ?? \"\", viewer ?? \"\")", "the pattern has to be a constant"}, {"when glob(viewer ?? \"\")", "glob(STRING"}, {"when len(1) == 1", "string is wanted here, and this is int"},
		{"when bucket(key, copies) == 1", "has to be a constant"}, {"when bucket(key, 0) == 1", "from 1 to 1048576 shares"}, {"when bucket(top, 2) == 1", "float is not hashed"}, {"when part(viewer ?? \"\", \";;\", 1) ?? \"\" == \"\"", "the separator is one byte"},
		{"when clock(\"Nowhere/City\") == 1:00", "time zone \"Nowhere/City\""}, {"when day(copies) == 1", "date is wanted here"}, {"when text(top) == \"\"", "float can't be put in letters"}, {"when abs(retry)", "bool has no size"}, {"when min(retry, retry)", "bool has no order"}, {"when int(copies) == 1", "int is no whole number"}, {"when float(top) == 1.0", "float is no number"},
		{"when title(\"xyz\") == key", "is no title"}, {"when class(\"fed\") == class", `"fed" is no class of this deployment; did you mean "feed"?`}, {"when field(viewer ?? \"\") ?? \"\" == \"\"", "field wants a name in quotes"}, {"when addr(\"x\") == 0.0.0.0", "is no address"}, {"when prefix(\"x\") == 1", "is no prefix"},
		{"when if retry then 1 else \"a\"", "int and string don't go together"}, {"when if copies then true else false", "a condition is wanted"}, {"when (if retry then viewer else viewer) ?? \"\" == \"\"", "one of the two may be absent"}, {"when let copies = 1; true", "copies is a part of the request already"}, {"when let n = none; true", "none of what"},
		{"when circle == 1", "circle is defined by itself: circle uses round uses circle"}, {"set team = north, team = south", "set twice"}, {"set tem = north", `nothing called "tem" can be set; there are: class, team, budget, label`}, {"set team = 1", "team is team, and this is int"}, {"set label = \"x\"", "write label.NAME"}, {"set team.x = north", "team has no parts"},
		{"set budget = viewer", "may be absent"}, {"set budget = field(\"a\") ?? \"\"", "budget has at most 64 bytes, and this may have 128"}, {"set budget = \"" + long + "\"", "this may have 201"}, {"set class = none", "checked for a clip request: this may take its class away"},
		{"when let x = true; retry or wrong", `unknown name "wrong"`}, {"when ok and nope", "unknown name \"nope\""},
	} {
		var defs []string
		if strings.Contains(e.rule, "circle") {
			defs = []string{"circle = round + 1", "round = circle"}
		}
		_, s, told := compileRules(testEnv(), testTables, defs, e.rule)
		if got := strings.Join(told.errors, "\n"); s != nil || !strings.Contains(got, e.want) {
			t.Errorf("%s: %q, want %q", e.rule, got, e.want)
		}
	}
	// All that is wrong is told at once, also with what is not used.
	_, s, told := compileRules(testEnv(), nil, []string{"a = b", "b = nope", "c = 1 +", "clip = 1", "1x = 2", "a = 1", "when = 1"}, "when nope2 set team = nope3", "when (", "set team = north")
	if s != nil || len(told.errors) != 9 {
		t.Errorf("%d faults: %s", len(told.errors), strings.Join(told.errors, "\n"))
	}
}

// Tables tell what is wrong with their lines.
func TestTableErrors(t *testing.T) {
	many := slices.Repeat([]string{"x=1"}, maxTableLines+1)
	for _, e := range []struct {
		table func(*diagnostics) Table
		want  string
	}{
		{func(t *diagnostics) Table { return t.table("t", Title, Team, "none", "zz=north") }, `t: "zz" is no title`},
		{func(t *diagnostics) Table { return t.table("t", Title, Team, "none", "1=noth") }, `"noth" is no team of this deployment; did you mean "north"?`},
		{func(t *diagnostics) Table { return t.table("t", Title, Team, "x") }, "its default: \"x\" is no team"},
		{func(t *diagnostics) Table { return t.table("t", Int, Int, "0", "1=2", "01=3") }, `"01" stands twice`},
		{func(t *diagnostics) Table { return t.table("t", Int, Int, "0", "1=2", "0x1=3") }, `"0x1" stands twice`},
		{func(t *diagnostics) Table { return t.table("t", Prefix, Int, "0", "10.1.0.0/8=1") }, "has bits set"},
		{func(t *diagnostics) Table { return t.table("t", Float, Int, "0") }, "can't have float for its key"},
		{func(t *diagnostics) Table { return t.table("t", Int, Addr, "0") }, "can't have addr for its value"},
		{func(t *diagnostics) Table { return t.table("t", Int, Float, "NaN") }, "is no number"},
		{func(t *diagnostics) Table { return t.table("t", Int, Bool, "maybe") }, "is no bool"},
		{func(t *diagnostics) Table { return t.table("t", Date, Duration, "5") }, "is no duration"},
		{func(t *diagnostics) Table { return t.table("t", Duration, String, "", "5=a") }, "is no duration"},
		{func(t *diagnostics) Table { return t.table("len", Int, Int, "0") }, "is a function already"},
		{func(t *diagnostics) Table { return t.table("t", String, Int, "0", many...) }, "100001 lines; a table has at most 100000"},
		{func(t *diagnostics) Table { return t.table("t", String, String, strings.Repeat("x", maxStringBytes+1)) }, "a string of 4097 bytes"},
	} {
		_, s, told := compileRules(testEnv(), func(t *diagnostics) []Table { return []Table{e.table(t)} }, nil, "set team = north")
		if got := strings.Join(told.errors, "\n"); s != nil || !strings.Contains(got, e.want) {
			t.Errorf("%.300q, want %q", got, e.want)
		}
	}
}

// What would loop or grow without bound is refused when it is read, with the
// figure and the bound, and nothing of it is ever evaluated.
func TestExcessiveRulesAreRefused(t *testing.T) {
	if testing.Short() {
		t.Skip("short: one goroutine, and run without the race detector")
	}
	doubling := []string{`d0 = field("x") ?? ""`}
	for i := range 12 {
		doubling = append(doubling, fmt.Sprintf("d%d = d%d + d%[2]d", i+1, i))
	}
	deepDefs := []string{"n0 = copies"}
	for i := range 60 {
		deepDefs = append(deepDefs, fmt.Sprintf("n%d = n%d + 1", i+1, i))
	}
	million := func(t *diagnostics) []Table {
		lines := make([]string, 1_000_000)
		for i := range lines {
			lines[i] = fmt.Sprintf("%d=1", i)
		}
		return []Table{t.table("big", Int, Int, "0", lines...)}
	}
	manyTables := func(t *diagnostics) (all []Table) {
		lines := make([]string, maxTableLines)
		for i := range lines {
			lines[i] = fmt.Sprintf("%d=1", i)
		}
		for i := range 5 {
			all = append(all, t.table(fmt.Sprint("t", i), Int, Int, "0", lines...))
		}
		return all
	}
	scans := make([]string, 100)
	for i := range scans {
		scans[i] = fmt.Sprintf("when matches(field(\"f%d\") ?? \"\", `(a|b)+%d$`)", i%50, i)
	}
	for name, e := range map[string]struct {
		tables func(*diagnostics) []Table
		defs   []string
		rules  []string
		want   string
	}{
		"itself":           {nil, []string{"a = a + 1"}, []string{"when a == 1"}, "a is defined by itself: a uses a"},
		"a circle":         {nil, []string{"a = b", "b = c", "c = a"}, []string{"when a == 1"}, "a uses b uses c uses a"},
		"a circle unused":  {nil, []string{"a = b", "b = a"}, []string{"when true"}, "defined by itself"},
		"through a let":    {nil, []string{"a = let x = b; x", "b = a"}, []string{"when true"}, "defined by itself"},
		"through a branch": {nil, []string{"a = if retry then 1 else a"}, []string{"when true"}, "defined by itself"},
		"doubling strings": {nil, doubling, []string{`when d12 == ""`}, "this may become a string of 8192 bytes; at most 4096 are made"},
		"long chains":      {nil, deepDefs, []string{"when n60 == 1"}, "definitions use each other more than 50 deep"},
		"brackets":         {nil, nil, []string{"when " + strings.Repeat("(", 1000) + "true" + strings.Repeat(")", 1000)}, "nested more than 48 deep"},
		"lists":            {nil, nil, []string{"when copies in " + strings.Repeat("[", 1000)}, "nested more than 48 deep"},
		"ifs":              {nil, nil, []string{"when " + strings.Repeat("if retry then true else ", 200) + "true"}, "nested more than 48 deep"},
		"lets":             {nil, nil, []string{"when " + strings.Repeat("let x = 1; ", 200) + "true"}, "nested more than 48 deep"},
		"a long sum":       {nil, nil, []string{"when 1" + strings.Repeat("+1", 400) + " == 1"}, "nested 301 deep; at most 300 is"},
		"a long text":      {nil, nil, []string{"when " + strings.Repeat(" ", 9000) + "true"}, "an expression of 9009 bytes; at most 8192 are read"},
		"a huge list":      {nil, nil, []string{"when copies in [" + strings.Repeat("1,", 5000) + "1]"}, "an expression of 10018 bytes"},
		"a huge pattern":   {nil, nil, []string{"when matches(viewer ?? \"\", `" + strings.Repeat("a", 600) + "`)"}, "a pattern of 600 bytes; at most 512 are read"},
		"repeats":          {nil, nil, []string{"when matches(viewer ?? \"\", `((a{30}){30}){30}`)"}, "invalid repeat count"},
		"many repeats":     {nil, nil, []string{"when matches(viewer ?? \"\", `(abcdefghij){1,150}`)"}, "instructions; at most 1000 are run"},
		"a glob":           {nil, nil, []string{"when glob(viewer ?? \"\", \"" + strings.Repeat("*a", 300) + "\")"}, "a pattern of 600 bytes"},
		"all together":     {nil, nil, scans, "steps for class none; its budget is 50000"},
		"a million lines":  {million, nil, []string{"when big[copies] == 1"}, "big: 1000000 lines; a table has at most 100000"},
		"many tables":      {manyTables, nil, []string{"when t0[copies] == 1"}, "500000 lines in all tables; at most 400000 are kept"},
		"constants":        {nil, nil, []string{"when " + strings.Repeat("\"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\" + ", 200) + "\"\" == \"\""}, "this may become a string of"},
		"a label":          {nil, nil, []string{"set label.a = viewer ?? \"\", class = feed"}, "checked for a clip request: this may make it feed"},
	} {
		b, s, told := compileRules(testEnv(), e.tables, e.defs, e.rules...)
		if got := strings.Join(told.errors, "\n"); s != nil || !strings.Contains(got, e.want) {
			t.Errorf("%s: %.300q, want %q", name, got, e.want)
		}
		if b.foldedConsts != 0 {
			t.Errorf("%s: %d of its expressions were evaluated", name, b.foldedConsts)
		}
	}
	b, s, _ := compileRules(testEnv(), nil, nil, `when "a" + "b" == "ab"`)
	if s == nil || b.foldedConsts == 0 {
		t.Error("the count counts nothing")
	}
}

// A feed can't become a clip, directly or in any roundabout way, and the message
// says for which class the rule was checked.
func TestClassChangesAreChecked(t *testing.T) {
	feed, clip := "checked for a feed request: this may make it clip", "checked for a clip request: this may make it feed"
	for rule, want := range map[string]string{
		"set class = clip":                    feed,
		"set class = feed":                    clip,
		"when class == feed set class = clip": feed,
		"when class != clip and class != class(\"gold\") set class = clip":               feed, // it seems to leave only what names no class
		"when retry set class = if copies > 2 then clip else feed":                       clip, // clip is checked first
		"set class = if class == clip then clip else feed":                               "checked for a gold request: this may make it feed",
		"when class == feed set class = kinds[key]":                                      feed,
		"when class == clip set class = feeds[key]":                                      clip,
		"when class == clip set class = kinds[key]":                                      "", // clip or gold
		"when class == feed set class = swap":                                            feed,
		"when class == feed set class = let x = clip; x":                                 feed,
		"when class == feed set class = let x = kinds[key]; let y = x; y":                feed,
		"when not (class == clip or class == class(\"gold\") or retry) set class = clip": feed, // looks exclusive
		"when class == feed and copies < 0 set class = clip":                             feed,
		"when class in [feed, clip] and bucket(key, 2) == 0 set class = clip":            feed,
		"when class == clip or team == south set class = clip":                           feed,
		"when class == class(\"gold\") set class = clip":                                 "checked for a gold request: this may make it clip",
		"when class == clip set class = class(\"gold\")":                                 "",
		"when class == none set class = clip":                                            "",
		"when class == none set class = if retry then feed else class(\"gold\")":         "",
		"when class == clip set class = class":                                           "",
		"set class = class":                                                              "",
		"when pay set class = clip":                                                      feed,
		"when class == none and pay set class = clip":                                    "",
		"when true or class == none set class = clip":                                    feed,
		"when retry set class = none":                                                    "checked for a clip request: this may take its class away",
		"when class == none set class = none":                                            "",
		"when class == feed and class == clip set class = clip":                          "", // no request is both
	} {
		_, s, told := compileRules(testEnv(), testTables, []string{"swap = if retry then clip else class", "pay = copies > 1 or class == clip"}, rule)
		if got := strings.Join(told.errors, "\n"); (s == nil) != (want != "") || !strings.Contains(got, want) || strings.Count(got, "checked for") > 1 {
			t.Errorf("%s: %q, want %q", rule, got, want)
		}
	}
}

// The class decides which rules are looked at; what they set is what they say.
func TestAssignments(t *testing.T) {
	_, s, told := compileRules(testEnv(), testTables, []string{"who = if team == none then owner[key] else team"},
		"when class == none set class = clip, team = north",
		"when class == feed and copies < 9 set team = who, budget = text(who) + \"/\" + text(class), label.net = net[client ?? 0.0.0.0], label.fixed = \"f\"",
		"when class == clip set class = kinds[key], label.upper = upper(viewer ?? \"\")",
		"set budget = \"rest\"")
	if s == nil {
		t.Fatal(told.errors)
	}
	show := func(f *Frame) string {
		var b strings.Builder
		for _, o := range f.Assignments() {
			fmt.Fprintf(&b, "%s%s=%s fixed=%v ", s.env.Targets[o.Target].Name, o.Subname, s.env.FormatValue(o.Value), o.Persistent)
		}
		return b.String()
	}
	f := request(s)
	for class, want := range map[int64]string{
		-1: `0 class=clip fixed=true team=north fixed=true `,
		0:  `2 class=clip fixed=false labelupper="TILL-07;NORTH" fixed=false `,
		1:  `1 team=south fixed=false budget="south/feed" fixed=false labelnet="hall" fixed=true labelfixed="f" fixed=true `,
		2:  `3 budget="rest" fixed=true `,
	} {
		f = request(s)
		f.SetInt(varClass, class)
		rule := s.Evaluate(f)
		if got := fmt.Sprint(rule, " ", show(f)); got != want {
			t.Errorf("class %d: %s, want %s", class, got, want)
		}
	}
	f.Reset(requestTime) // nothing is known of the request: it is absent, and what can't be is zero
	if s.Evaluate(f) != 0 {
		t.Error("a request without a class")
	}
	if s.RuleNames()[0] != "r0" {
		t.Error(s.RuleNames())
	}
}

// Rules that no request gets to, and those that contradict an earlier one, are
// remarked on.
func TestUnreachableRules(t *testing.T) {
	for _, e := range []struct {
		rules []string
		want  string
	}{
		{[]string{"set team = north", "when retry set team = south"}, "r1:0: never reached: rule r0 takes all its requests"},
		{[]string{"when retry set team = north", "when retry and copies > 2 set team = south"}, "r1:0: never reached: rule r0"},
		{[]string{"when retry and copies > 2 set team = north", "when copies > 2 and retry set team = south"}, "r1:0: ambiguous: rule r0 has the same condition and sets something else"},
		{[]string{"when retry and copies > 2 set team = north", "when copies > 2 and retry set team = north"}, "r1:0: never reached: rule r0"},
		{[]string{"when class == clip and class == feed set team = north"}, "r0:0: never matches"},
		{[]string{"when class == clip set team = north", "when class == feed set team = north", "when class == clip set team = north"}, "r2:0: never reached: rule r0"},
		{[]string{"when class == clip set team = north", "when class != feed set team = south"}, ""},
		{[]string{"when copies > 2 set team = north", "when retry set team = south", "set team = gold2"}, "gold2"},
		{[]string{"when copies in [1, 1] set team = north"}, "r0:19: stands twice in the list"},
		{[]string{"when 4 / copies == 2 set team = north"}, "r0:7: where the divisor is 0 the result is 0"},
	} {
		_, _, told := compileRules(testEnv(), nil, nil, e.rules...)
		if got := strings.Join(append(told.warnings, told.errors...), "\n"); !strings.HasPrefix(got, e.want) && !strings.Contains(got, e.want) || (got == "") != (e.want == "") {
			t.Errorf("%q: %q, want %q", e.rules, got, e.want)
		}
	}
}

// Whatever a client sends has a defined meaning.
func TestInvalidRequestTexts(t *testing.T) {
	_, s, told := compileRules(testEnv(), nil, nil,
		`when field("x") ?? "none" == "none" set label.x = "absent"`, `when contains(field("x") ?? "", "\x00") set label.x = "nul"`, `set label.x = lower(field("x") ?? "")`)
	if s == nil {
		t.Fatal(told.errors)
	}
	for text, want := range map[string]string{
		strings.Repeat("x", 16<<10): "absent", strings.Repeat("x", 129): "absent", strings.Repeat("X", 128): strings.Repeat("x", 128),
		"\xff": "absent", "a\xc3": "absent", "a\x00b": "nul", "": "", "Ä": "Ä",
	} {
		f := request(s)
		f.texts[0] = RawValue{}
		f.SetText(0, []byte(text))
		s.Evaluate(f)
		if got := f.Assignments()[0].Str; got != want || f.Cost() > s.MaxCost() {
			t.Errorf("%.20q: %.20q, want %.20q", text, got, want)
		}
	}
	f := request(s)
	f.SetFloat(varTop, func() float64 { z := 0.0; return z / z }())
	f.SetAddr(varClient, netip.Addr{})
	if f.vars[varTop].Present || f.vars[varClient].Present {
		t.Error("what is no number and no address is there")
	}
}

// A frame serves one request after another, and nothing of one is left in the next.
func TestFrameReuse(t *testing.T) {
	_, s, _ := compileRules(testEnv(), nil, []string{`name = lower(viewer ?? "?")`}, `when name != "" set label.a = name + "!", label.b = text(today("UTC") - 2026-05-16)`)
	f := s.NewFrame()
	f.generation = 1<<32 - 3 // it goes round on the way
	for i := range 6 {
		f.Reset(requestTime.AddDate(0, 0, i))
		want := "?!"
		if i%2 == 0 {
			f.SetString(varViewer, fmt.Sprint("V", i))
			want = fmt.Sprintf("v%d!", i)
		}
		s.Evaluate(f)
		if out := f.Assignments(); out[0].Str != want || out[1].Str != fmt.Sprint(i) {
			t.Errorf("%d: %q %q", i, out[0].Str, out[1].Str)
		}
	}
}

// Should the bound ever be wrong, evaluation stops at the budget.
func TestEvaluationStopsAtBudget(t *testing.T) {
	_, s, _ := compileRules(testEnv(), nil, nil, `when contains(viewer ?? "", "zz")`, `when true set team = north`)
	f := request(s)
	if s.Evaluate(f) != 1 || f.Cost() > s.MaxCost() {
		t.Fatal(f.Cost(), s.MaxCost())
	}
	s.stepBudget = 5
	if f = request(s); s.Evaluate(f) != -1 || len(f.Assignments()) != 0 {
		t.Error("evaluated beyond its budget")
	}
}

func TestExplain(t *testing.T) {
	env := testEnv()
	env.Trace = true
	_, s, told := compileRules(env, testTables, []string{`who = owner[key]`}, "when class == feed", `when who == south and clock > 12:00`, `when has(viewer) and (let n = copies; n > 3) set team = who`, "when true")
	if s == nil {
		t.Fatal(told.errors)
	}
	f := request(s)
	rule, steps := s.Explain(f)
	var b strings.Builder
	for _, st := range steps {
		fmt.Fprintf(&b, "%s skips=%v match=%v:", st.Rule, st.Skipped, st.Matched)
		for _, v := range st.Values {
			fmt.Fprintf(&b, " %s=%s", v.Name, env.FormatValue(v.Value))
		}
		b.WriteString("; ")
	}
	want := `r0 skips=true match=false: class=clip; r1 skips=false match=false: who=north owner[…]=north key=0000000000007f3a clock=18:30:05; r2 skips=false match=true: viewer="Till-07;north" copies=4; `
	if b.String() != want || rule != 2 || f.Assignments()[0].Integer != 0 || f.Cost() == 0 {
		t.Errorf("%d, %s", rule, b.String())
	}
}

// Values are shown as they are written.
func TestFormatValue(t *testing.T) {
	env := testEnv()
	for _, text := range []string{"bool true", "int -5", "float 2.5", "duration 1.5s", "clock 18:30:05", "date 2026-05-15", "date 1969-12-31", "addr 10.0.0.1", "prefix 10.0.0.0/8", "class feed", "team none", "title 0000000000007f3a"} {
		kind, text, _ := strings.Cut(text, " ")
		v, err := env.parseValue(KindByName(kind), text)
		if err != nil || env.FormatValue(v) != text {
			t.Errorf("%s %s: %s, %v", kind, text, env.FormatValue(v), err)
		}
	}
	if KindByName("none") != 0 || KindByName("x") != 0 || env.FormatValue(Value{Kind: Int}) != "absent" || env.FormatValue(Value{Kind: String, RawValue: RawValue{Str: "a\n", Present: true}}) != `"a\n"` {
		t.Error("odd kinds")
	}
}

// Dates are the standard library's, from the first to the last, and clocks go by
// the zone's changes.
func TestCalendar(t *testing.T) {
	for n := firstDate; n <= lastDate; n += 17 {
		y, m, d := civilDate(n)
		if want := dateTime(n); y != int64(want.Year()) || m != int64(want.Month()) || d != int64(want.Day()) {
			t.Fatalf("day %d: %d-%d-%d, want %v", n, y, m, d, want)
		}
	}
	env := testEnv()
	env.LocalZone = "Europe/Berlin" // the clocks change there
	_, s, told := compileRules(env, nil, nil, `set label.a = text(hour(clock)) + ":" + text(minute(clock)) + " " + text(day(today)) + " " + text(hour(clock("America/Mexico_City")))`)
	if s == nil {
		t.Fatal(told.errors)
	}
	f := s.NewFrame()
	berlin, _ := time.LoadLocation("Europe/Berlin")
	mexico, _ := time.LoadLocation("America/Mexico_City")
	for i := range 2000 {
		now := time.Date(2026, 3, 29, 0, 0, 0, 0, time.UTC).Add(time.Duration(i*i%9973) * 53 * time.Minute)
		f.Reset(now)
		s.Evaluate(f)
		at := now.In(berlin)
		if got, want := f.Assignments()[0].Str, fmt.Sprintf("%d:%d %d %d", at.Hour(), at.Minute(), at.Day(), now.In(mexico).Hour()); got != want {
			t.Fatalf("%v: %s, want %s", at, got, want)
		}
	}
}
