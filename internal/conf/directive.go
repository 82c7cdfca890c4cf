package conf

import (
	"fmt"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"millethinge/internal/spell"
)

// Keyword is one keyword that a block may hold.
type Keyword struct {
	Name       string
	Usage      string // its arguments, as in "ADDRESS"
	Doc        string // what it is for, in one line
	Repeatable bool   // it may stand more than once
	Required   bool   // it may not be left out
	Apply      func(*Directive)
}

// Apply hands each directive of a list to the key of its name. Unknown keywords,
// such as stand too often, and missing ones are faults; around, which may be nil,
// is the directive whose block this is.
func Apply(directives []*Directive, parent *Directive, faults *Faults, keywords []Keyword) {
	names := make([]string, len(keywords))
	for i, k := range keywords {
		names[i] = k.Name
	}
	firstUses := make([]*Directive, len(keywords))
	for _, d := range directives {
		i := slices.Index(names, d.Name())
		if i < 0 {
			d.ReportFault(0, "unknown keyword %q%s", d.Name(), spell.Suggest(d.Name(), names))
			continue
		}
		if firstUses[i] != nil && !keywords[i].Repeatable {
			line, _, _ := firstUses[i].source.position(firstUses[i].words[0].start)
			d.ReportFault(0, "stands twice; it was first on line %d of %s", line, firstUses[i].source.name)
			continue
		}
		if firstUses[i] == nil {
			firstUses[i] = d
		}
		keywords[i].Apply(d)
		d.expectEnd()
	}
	for i, k := range keywords {
		if k.Required && firstUses[i] == nil && parent != nil {
			parent.ReportFault(0, "%s is missing: %s %s", k.Name, k.Name, k.Usage)
		}
	}
}

// Block hands the directives of d's block to keys.
func (d *Directive) Block(keywords ...Keyword) {
	if !d.hasUnreadBlock {
		d.ReportFault(0, "wants a block: %s {", d.Name())
		return
	}
	d.hasUnreadBlock = false // it has been read
	Apply(d.block, d, d.faults, keywords)
}

// Directives returns the directives of d's block, for one whose keywords are names
// of its own. Each is to be read to its End.
func (d *Directive) Directives() []*Directive {
	if !d.hasUnreadBlock {
		d.ReportFault(0, "wants a block: %s {", d.Name())
	}
	d.hasUnreadBlock = false
	return d.block
}

// Name is the keyword.
func (d *Directive) Name() string { return d.words[0].value }

// HasUnreadBlock tells whether a block follows that has not been read.
func (d *Directive) HasUnreadBlock() bool { return d.hasUnreadBlock }

// blockPath is the keys that lead to what is in d's block.
func (d *Directive) blockPath() string {
	path := d.Name()
	if len(d.words) > 1 {
		path += "." + d.words[1].value
	}
	if d.path != "" {
		path = d.path + "." + path
	}
	return path
}

// ReportFault tells what is wrong with an argument; 0 is the keyword itself, and one
// beyond the last is the end of the line.
func (d *Directive) ReportFault(argument int, format string, args ...any) {
	offset := d.endOffset
	if argument < len(d.words) {
		offset = d.words[argument].start
	}
	d.ReportFaultAt(offset, format, args...)
}

// ReportFaultAt is Fault at a byte of the file, as Rest gives it.
func (d *Directive) ReportFaultAt(offset int, format string, args ...any) {
	d.hasFault = true
	d.faults.add(d.newFault(offset, fmt.Sprintf(format, args...)))
}

func (d *Directive) newFault(offset int, message string) *Fault {
	line, column, text := d.source.position(offset)
	path := d.Name()
	if d.path != "" {
		path = d.path + "." + path
	}
	return &Fault{File: d.source.name, Line: line, Column: column, KeywordPath: path, LineText: text, Message: message}
}

// FormatWarning words something about a byte of the file that is no fault.
func (d *Directive) FormatWarning(offset int, format string, args ...any) string {
	fault := d.newFault(offset, fmt.Sprintf(format, args...))
	fault.LineText = ""
	return fault.Error()
}

// ArgumentIndex is the position of the argument that was read last, for Fault.
func (d *Directive) ArgumentIndex() int { return d.current }

// HasFault tells whether a fault of d's has been told.
func (d *Directive) HasFault() bool { return d.hasFault }

// More tells whether arguments are left.
func (d *Directive) More() bool { return d.current+1 < len(d.words) }

// ExpectEnd tells what is left over of a directive that Lines returned.
func (d *Directive) ExpectEnd() { d.expectEnd() }

func (d *Directive) expectEnd() {
	if d.hasFault {
		return
	}
	if d.More() {
		d.ReportFault(d.current+1, "too many arguments")
	} else if d.hasUnreadBlock {
		d.ReportFault(len(d.words), "takes no block")
	}
}

// Word returns the next argument; what is one is for the message if it's missing.
func (d *Directive) Word(expected string) string {
	if !d.More() {
		if !d.hasFault { // one such fault a line says it all
			d.ReportFault(len(d.words), "wants %s", expected)
		}
		return ""
	}
	d.current++
	return d.words[d.current].value
}

// Rest returns what is left of the line as it stands in the file, quotes and
// all, and the byte of the file at which it begins.
func (d *Directive) Rest() (text string, offset int) {
	if !d.More() {
		return "", d.endOffset
	}
	start, end := d.words[d.current+1].start, d.words[len(d.words)-1].end
	d.current = len(d.words) - 1
	return d.source.text[start:end], start
}

// reportInvalid tells that the argument just read is not what was wanted.
func (d *Directive) reportInvalid(format string, args ...any) {
	if d.current > 0 && d.current < len(d.words) && !d.hasFault {
		d.ReportFault(d.current, "%q is "+format, append([]any{d.words[d.current].value}, args...)...)
	}
}

// Int returns the next argument as a whole number from least to most.
func (d *Directive) Int(expected string, minimum, maximum int) int {
	w := d.Word(expected)
	n, err := strconv.Atoi(strings.ReplaceAll(w, "_", ""))
	switch {
	case d.hasFault:
	case err != nil:
		d.reportInvalid("no whole number; wants %s", expected)
	case n < minimum || n > maximum:
		d.reportInvalid("not from %d to %d; wants %s", minimum, maximum, expected)
	}
	return n
}

// Float returns the next argument as a number from least to most.
func (d *Directive) Float(expected string, minimum, maximum float64) float64 {
	w := d.Word(expected)
	f, err := strconv.ParseFloat(w, 64)
	switch {
	case d.hasFault:
	case err != nil || math.IsNaN(f):
		d.reportInvalid("no number; wants %s", expected)
	case f < minimum || f > maximum:
		d.reportInvalid("not from %g to %g; wants %s", minimum, maximum, expected)
	}
	return f
}

// Duration returns the next argument as a time such as 250ms, 3s or 1h30m.
func (d *Directive) Duration(expected string, minimum, maximum time.Duration) time.Duration {
	w := d.Word(expected)
	t, err := time.ParseDuration(w)
	switch {
	case d.hasFault:
	case err != nil:
		d.reportInvalid("no duration, as in 250ms or 1h30m; wants %s", expected)
	case t < minimum || t > maximum:
		d.reportInvalid("not from %v to %v; wants %s", minimum, maximum, expected)
	}
	return t
}

// Address returns the next argument as HOST:PORT.
func (d *Directive) Address() string {
	w := d.Word("an address HOST:PORT")
	if d.hasFault {
		return w
	}
	if _, port, err := net.SplitHostPort(w); err != nil {
		d.reportInvalid("no address HOST:PORT")
	} else if n, err := strconv.ParseUint(port, 10, 16); err != nil || n > math.MaxUint16 {
		d.reportInvalid("an address whose port is no number from 0 to 65535")
	}
	return w
}

// OnOff returns the next argument as on or off.
func (d *Directive) OnOff() bool {
	return d.OneOf("on or off", "on", "off") == 0
}

// OneOf returns which of the words the next argument is, or -1.
func (d *Directive) OneOf(expected string, choices ...string) int {
	w := d.Word(expected)
	i := slices.Index(choices, w)
	if i < 0 && !d.hasFault {
		d.ReportFault(d.current, "%q is not %s%s", w, expected, spell.Suggest(w, choices))
	}
	return i
}
