package directive

import (
	"fmt"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"millethinge/internal/suggest"
)

// Keyword describes a keyword that a file or block may contain.
type Keyword struct {
	Name       string
	Usage      string           // its arguments, as in "ADDRESS"
	Doc        string           // what it sets, in one line
	Repeatable bool             // it may occur more than once
	Required   bool             // it must not be left out
	Apply      func(*Directive) // reads the arguments and block of a directive with this keyword
}

// Apply passes each directive to the Apply function of its keyword. It reports unknown,
// repeated and missing keywords, and arguments and blocks left unread, as faults. parent is
// the directive whose block holds the directives; if it is nil, missing keywords are not
// reported.
func Apply(directives []*Directive, parent *Directive, faults *Faults, keywords []Keyword) {
	names := make([]string, len(keywords))
	for i, k := range keywords {
		names[i] = k.Name
	}
	firstUses := make([]*Directive, len(keywords))
	for _, d := range directives {
		i := slices.Index(names, d.Name())
		if i < 0 {
			d.ReportFault(0, "unknown keyword %q%s", d.Name(), suggest.Suggest(d.Name(), names))
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

// Block applies keywords to the directives of d's block. A missing block is a fault.
func (d *Directive) Block(keywords ...Keyword) {
	if !d.hasUnreadBlock {
		d.ReportFault(0, "wants a block: %s {", d.Name())
		return
	}
	d.hasUnreadBlock = false // it is read now
	Apply(d.block, d, d.faults, keywords)
}

// Directives returns the directives of d's block, for a block whose keywords are names that
// the file chooses. The caller reads the arguments of each and then calls its ExpectEnd. A
// missing block is a fault.
func (d *Directive) Directives() []*Directive {
	if !d.hasUnreadBlock {
		d.ReportFault(0, "wants a block: %s {", d.Name())
	}
	d.hasUnreadBlock = false
	return d.block
}

// Name returns the directive's keyword.
func (d *Directive) Name() string { return d.words[0].value }

// HasUnreadBlock reports whether the directive has a block that has not been read.
func (d *Directive) HasUnreadBlock() bool { return d.hasUnreadBlock }

// blockPath returns the keywords that lead into d's block, such as "team.north": the path
// of d, its keyword and its first argument.
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

// ReportFault adds a fault at the argument of this index. Index 0 is the keyword, and an
// index beyond the last argument is the end of the line.
func (d *Directive) ReportFault(argument int, format string, args ...any) {
	offset := d.endOffset
	if argument < len(d.words) {
		offset = d.words[argument].start
	}
	d.ReportFaultAt(offset, format, args...)
}

// ReportFaultAt adds a fault at a byte offset of the file, such as Rest returns.
func (d *Directive) ReportFaultAt(offset int, format string, args ...any) {
	d.hasFault = true
	d.faults.add(d.newFault(offset, fmt.Sprintf(format, args...)))
}

// newFault returns a fault of d at a byte offset of the file.
func (d *Directive) newFault(offset int, message string) *Fault {
	line, column, text := d.source.position(offset)
	path := d.Name()
	if d.path != "" {
		path = d.path + "." + path
	}
	return &Fault{File: d.source.name, Line: line, Column: column, KeywordPath: path, LineText: text, Message: message}
}

// FormatWarning returns the text of a warning at a byte offset of the file. It has the form
// of a fault without the source line.
func (d *Directive) FormatWarning(offset int, format string, args ...any) string {
	fault := d.newFault(offset, fmt.Sprintf(format, args...))
	fault.LineText = ""
	return fault.Error()
}

// ArgumentIndex returns the index of the argument that was read last, for ReportFault.
func (d *Directive) ArgumentIndex() int { return d.current }

// HasFault reports whether a fault of d has been reported.
func (d *Directive) HasFault() bool { return d.hasFault }

// More reports whether there are unread arguments.
func (d *Directive) More() bool { return d.current+1 < len(d.words) }

// ExpectEnd reports unread arguments and an unread block as faults, for a directive that
// Directives returned.
func (d *Directive) ExpectEnd() { d.expectEnd() }

// expectEnd reports unread arguments and an unread block as faults, unless d has a fault
// already.
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

// Word returns the next argument. A missing argument is a fault, whose message names what
// is expected.
func (d *Directive) Word(expected string) string {
	if !d.More() {
		if !d.hasFault { // one fault for each line is enough
			d.ReportFault(len(d.words), "wants %s", expected)
		}
		return ""
	}
	d.current++
	return d.words[d.current].value
}

// Rest returns the unread arguments of the line as they are written in the file, quotes
// included, and the byte offset of the file at which they begin.
func (d *Directive) Rest() (text string, offset int) {
	if !d.More() {
		return "", d.endOffset
	}
	start, end := d.words[d.current+1].start, d.words[len(d.words)-1].end
	d.current = len(d.words) - 1
	return d.source.text[start:end], start
}

// reportInvalid adds a fault that says what is wrong with the argument read last, unless d
// has a fault already.
func (d *Directive) reportInvalid(format string, args ...any) {
	if d.current > 0 && d.current < len(d.words) && !d.hasFault {
		d.ReportFault(d.current, "%q is "+format, append([]any{d.words[d.current].value}, args...)...)
	}
}

// Int returns the next argument as a whole number from minimum to maximum. The number may
// contain underscores.
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

// Float returns the next argument as a number from minimum to maximum.
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

// Duration returns the next argument as a duration from minimum to maximum, such as 250ms,
// 3s or 1h30m.
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

// Address returns the next argument, an address HOST:PORT with a numeric port.
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

// OnOff reports whether the next argument, on or off, is on.
func (d *Directive) OnOff() bool {
	return d.OneOf("on or off", "on", "off") == 0
}

// OneOf returns the index of the next argument in choices, or -1 with a fault.
func (d *Directive) OneOf(expected string, choices ...string) int {
	w := d.Word(expected)
	i := slices.Index(choices, w)
	if i < 0 && !d.hasFault {
		d.ReportFault(d.current, "%q is not %s%s", w, expected, suggest.Suggest(w, choices))
	}
	return i
}
