// Package rules is a small language for matching requests and computing what
// they are to be given: typed, checked before use, bounded in cost, and compiled
// once to a form that allocates nothing when it is evaluated.
//
// A rule reads "when CONDITION set TARGET = VALUE, …". The package knows nothing
// of what the targets mean. It does no I/O; the time and the zones' rules are
// handed to it.
//
// Expressions are total: whole numbers saturate, what is divided by zero is 0, a
// result that is no number is 0, and a text that is too long or no UTF-8 is
// absent. What may be absent can't be used without a default.
package rules

import (
	"fmt"
	"net/netip"
	"strconv"
	"time"
)

// Kind is what a value is.
type Kind uint8

// The kinds. A class and a team are numbers that index the deployment's names; -1
// is none.
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

	untypedNone // the literal none, until it is known of what
)

var kindNames = [...]string{"", "bool", "int", "float", "string", "duration", "clock", "date", "addr", "prefix", "class", "team", "title", "none"}

func (k Kind) String() string { return kindNames[k] }

// KindByName returns the kind of a name, or 0.
func KindByName(name string) Kind {
	for k := Bool; k < untypedNone; k++ {
		if kindNames[k] == name {
			return k
		}
	}
	return 0
}

// Type is what an expression yields.
type Type struct {
	Kind     Kind
	Optional bool
}

func (t Type) String() string {
	if t.Optional {
		return "optional " + t.Kind.String()
	}
	return t.Kind.String()
}

// representation is how a kind is held when evaluated.
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

// RawValue holds a value of any kind; which field counts is the kind's.
type RawValue struct {
	Integer int64
	Float64 float64
	Str     string
	IP      netip.Addr
	IsTrue  bool
	Present bool // it is not absent
}

// Value is a cell with its kind.
type Value struct {
	Kind Kind
	RawValue
	Network netip.Prefix
}

// FormatValue words a value for people.
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

func nameAt(names []string, n int64) string {
	if n < 0 || n >= int64(len(names)) {
		return "none"
	}
	return names[n]
}

// dateTime is the date that a number of days stands for.
func dateTime(n int64) time.Time { return time.Unix(n*86400, 0).UTC() }

// The first and last dates.
var (
	firstDate = time.Date(1, 1, 1, 0, 0, 0, 0, time.UTC).Unix() / 86400
	lastDate  = time.Date(9999, 12, 31, 0, 0, 0, 0, time.UTC).Unix() / 86400
)

// Var is something that expressions may refer to by its name.
type Var struct {
	Name     string
	Kind     Kind
	Optional bool
	MaxBytes int // bytes of a string; a longer one is absent
	Doc      string
}

// TextFamily is a family of optional strings that expressions refer to as NAME("x").
type TextFamily struct {
	Name     string
	MaxBytes int // bytes; a longer one is absent
	Doc      string
}

// TextRef is one of a family that a set refers to.
type TextRef struct {
	Family int // index into Env.Texts
	Name   string
}

// Target is something that a rule may set.
type Target struct {
	Name       string
	Kind       Kind
	HasSubname bool // NAME.x for any x
	MaxBytes   int  // bytes of a string
}

// Env is what the rules of a set may refer to, and their limits.
type Env struct {
	Classes      []string
	Teams        []string
	Vars         []Var
	TextFamilies []TextFamily
	Targets      []Target
	// Class is the position in Vars of the request's class. It is special: rules
	// are checked, and compiled, once for each class.
	ClassVar int
	// Becomes tells why a request of class from, -1 if it has none, may not be
	// given class to.
	CheckClassChange func(from, to int) error
	// Zone finds a time zone; Local is the one of clock and today.
	LoadZone  func(name string) (*time.Location, error)
	LocalZone string
	// Budget is the most that the evaluation of a set may cost, in steps; 0 means
	// DefaultBudget.
	StepBudget int64
	// Trace keeps what Explain needs.
	Trace bool
}

// Bounds of a set of rules.
const (
	DefaultStepBudget = 50_000
	MaxStepBudget     = 1_000_000

	maxExprBytes       = 8 << 10 // bytes of an expression
	maxNesting         = 48      // of brackets, and of if and let
	maxTreeDepth       = 300     // of its tree
	maxDefinitionChain = 50      // of definitions that use each other
	maxStringBytes     = 4 << 10 // bytes of a string
	maxBuiltBytes      = 1 << 20 // bytes of all strings that a set may make for a request
	maxPatternBytes    = 512     // bytes of a regular expression or glob
	maxPatternInsts    = 1_000   // instructions of a compiled regular expression
	maxRules           = 10_000
	maxDefinitions     = 2_000
	maxTables          = 200
	maxTableLines      = 100_000 // of a table
	maxAllLines        = 400_000 // of all tables
	maxNameBytes       = 64
	maxBuckets         = 1 << 20
	maxClasses         = 62
	maxTextRefs        = 64
	maxZones           = 16
)

// Source is a text and where to tell what is wrong with it, by the byte at which
// it is.
type Source struct {
	Text          string
	ReportError   func(at int, msg string)
	ReportWarning func(at int, msg string) // what is no fault but may surprise; may be nil
}

// Rule is one rule: "when CONDITION set TARGET = VALUE, …". Both parts may be
// left out.
type Rule struct {
	Name string
	Source
}

// Definition is a named expression.
type Definition struct {
	Name string
	Source
}

// Table is a named look-up. Without a value's kind it is a set.
type Table struct {
	Name        string
	KeyKind     Kind
	ValueKind   Kind // 0: none
	Default     string
	Lines       []TableLine
	ReportError func(msg string) // of the table as a whole
}

// TableLine is one of a table's.
type TableLine struct {
	Key, Value  string
	ReportError func(argument int, msg string) // 0: the key, 1: the value
}
