// Package rules implements a small language that matches requests and computes what they are to be given. It
// is typed, checked before use, bounded in cost, and compiled once to a form whose evaluation does not
// allocate.
//
// A rule reads "when CONDITION set TARGET = VALUE, …". The package does not know what the targets mean. It
// does no I/O: its caller provides the time and the time zones.
//
// Expressions are total: integers saturate, a division by zero yields 0, a float result that is NaN becomes
// 0, and a text that is too long or not valid UTF-8 is absent. A value that may be absent can't be used
// without a default.
package rules

import (
	"fmt"
	"net/netip"
	"strconv"
	"time"
)

// Kind is the kind of a value.
type Kind uint8

// The kinds. A class or a team is an index into the deployment's names; -1 stands for none.
const (
	Bool Kind = iota + 1
	Int
	Float
	String
	Duration
	Clock // a time of day, in nanoseconds
	Date  // in days since 1970-01-01
	Addr
	Prefix
	Class
	Team
	Title

	untypedNone // the literal none, before its kind is known
)

var kindNames = [...]string{"", "bool", "int", "float", "string", "duration", "clock", "date", "addr", "prefix", "class", "team", "title", "none"}

// String returns the name of the kind in the language.
func (k Kind) String() string { return kindNames[k] }

// KindByName returns the kind with the given name, or 0.
func KindByName(name string) Kind {
	for k := Bool; k < untypedNone; k++ {
		if kindNames[k] == name {
			return k
		}
	}
	return 0
}

// Type is the type of an expression.
type Type struct {
	Kind     Kind
	Optional bool
}

// String returns the type as error messages show it.
func (t Type) String() string {
	if t.Optional {
		return "optional " + t.Kind.String()
	}
	return t.Kind.String()
}

// representation is the field of RawValue that holds values of a kind.
type representation uint8

const (
	reprBool representation = iota
	reprInt
	reprFloat
	reprString
	reprAddr
	reprPrefix // constants only
)

func (k Kind) representation() representation {
	switch k {
	case Bool:
		return reprBool
	case Float:
		return reprFloat
	case String:
		return reprString
	case Addr:
		return reprAddr
	case Prefix:
		return reprPrefix
	}
	return reprInt
}

// RawValue holds a value of any kind; its kind determines which field is used.
type RawValue struct {
	Integer int64
	Float64 float64
	Str     string
	IP      netip.Addr
	IsTrue  bool
	Present bool // the value is not absent
}

// Value is a RawValue with its kind.
type Value struct {
	Kind Kind
	RawValue
	Network netip.Prefix
}

// FormatValue formats a value for operators.
func (e *Env) FormatValue(v Value) string {
	if !v.Present {
		return "absent"
	}
	switch v.Kind {
	case Bool:
		return strconv.FormatBool(v.IsTrue)
	case Float:
		return strconv.FormatFloat(v.Float64, 'g', -1, 64)
	case String:
		return strconv.Quote(v.Str)
	case Duration:
		return time.Duration(v.Integer).String()
	case Clock:
		return time.Unix(0, v.Integer).UTC().Format("15:04:05")
	case Date:
		return dateTime(v.Integer).Format(time.DateOnly)
	case Addr:
		return v.IP.String()
	case Prefix:
		return v.Network.String()
	case Class:
		return nameAt(e.Classes, v.Integer)
	case Team:
		return nameAt(e.Teams, v.Integer)
	case Title:
		return fmt.Sprintf("%016x", uint64(v.Integer))
	}
	return strconv.FormatInt(v.Integer, 10)
}

// nameAt returns names[n], or "none" if n is out of range.
func nameAt(names []string, n int64) string {
	if n < 0 || n >= int64(len(names)) {
		return "none"
	}
	return names[n]
}

// dateTime returns the start of a day, given as a number of days since 1970-01-01, in UTC.
func dateTime(n int64) time.Time { return time.Unix(n*86400, 0).UTC() }

// The first and last dates, in days since 1970-01-01.
var (
	firstDate = time.Date(1, 1, 1, 0, 0, 0, 0, time.UTC).Unix() / 86400
	lastDate  = time.Date(9999, 12, 31, 0, 0, 0, 0, time.UTC).Unix() / 86400
)

// Var is a variable that expressions may refer to by its name.
type Var struct {
	Name     string
	Kind     Kind
	Optional bool
	MaxBytes int // of a string; a longer one is absent
	Doc      string
}

// TextFamily is a family of optional strings that expressions refer to as NAME("x").
type TextFamily struct {
	Name     string
	MaxBytes int // a longer text is absent
	Doc      string
}

// TextRef is a text of a family that a set refers to.
type TextRef struct {
	Family int // index into Env.TextFamilies
	Name   string
}

// Target is something that a rule may assign a value to.
type Target struct {
	Name       string
	Kind       Kind
	HasSubname bool // it is written NAME.x, for any x
	MaxBytes   int  // of a string
}

// Env is what the rules of a set may refer to, and their limits.
type Env struct {
	Classes      []string
	Teams        []string
	Vars         []Var
	TextFamilies []TextFamily
	Targets      []Target
	// ClassVar is the index in Vars of the request's class, or negative if there is none. Rules are checked
	// and compiled once for each class.
	ClassVar int
	// CheckClassChange returns an error if a rule may not change the class of a request from from to to; from
	// is -1 if the request names none.
	CheckClassChange func(from, to int) error
	// LoadZone loads a time zone; LocalZone is the one that clock and today refer to.
	LoadZone  func(name string) (*time.Location, error)
	LocalZone string
	// StepBudget is the maximum cost of an evaluation, in steps; 0 means DefaultStepBudget.
	StepBudget int64
	// Trace keeps what Set.Explain needs.
	Trace bool
}

// Limits of a set of rules.
const (
	DefaultStepBudget = 50_000    // steps; used if Env.StepBudget is 0
	MaxStepBudget     = 1_000_000 // steps; the upper limit of Env.StepBudget

	maxExprBytes       = 8 << 10 // of one expression
	maxNesting         = 48      // of brackets, and of if and let
	maxTreeDepth       = 300     // of the expression tree
	maxDefinitionChain = 50      // of definitions that refer to each other
	maxStringBytes     = 4 << 10 // of one string
	maxBuiltBytes      = 1 << 20 // of all strings that an evaluation may build
	maxPatternBytes    = 512     // of a regular expression or a glob
	maxPatternInsts    = 1_000   // of a compiled regular expression
	maxRules           = 10_000
	maxDefinitions     = 2_000
	maxTables          = 200
	maxTableLines      = 100_000 // of one table
	maxAllLines        = 400_000 // of all tables
	maxNameBytes       = 64
	maxBuckets         = 1 << 20
	maxClasses         = 62
	maxTextRefs        = 64
	maxZones           = 16
)

// Source is the text of an expression or a rule, with functions that report errors and warnings at a byte
// offset in it.
type Source struct {
	Text          string
	ReportError   func(pos int, msg string)
	ReportWarning func(pos int, msg string) // about what is valid but may surprise; may be nil
}

// Rule is one rule: "when CONDITION set TARGET = VALUE, …". Both parts are optional.
type Rule struct {
	Name string
	Source
}

// Definition is a named expression.
type Definition struct {
	Name string
	Source
}

// Table is a named lookup table. Without a ValueKind it is a set of keys.
type Table struct {
	Name        string
	KeyKind     Kind
	ValueKind   Kind // 0: the table is a set
	Default     string
	Lines       []TableLine
	ReportError func(msg string) // about the table as a whole
}

// TableLine is one line of a table.
type TableLine struct {
	Key, Value  string
	ReportError func(argument int, msg string) // argument 0: the key, 1: the value
}
