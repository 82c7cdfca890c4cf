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
func Apply(list []*Directive, around *Directive, faults *Faults, keys []Keyword) {
	names := make([]string, len(keys))
	for i, k := range keys {
		names[i] = k.Name
	}
	first := make([]*Directive, len(keys))
	for _, d := range list {
		i := slices.Index(names, d.Name())
		if i < 0 {
			d.ReportFault(0, "unknown keyword %q%s", d.Name(), spell.Suggest(d.Name(), names))
			continue
		}
		if first[i] != nil && !keys[i].Repeatable {
			line, _, _ := first[i].src.place(first[i].words[0].from)
			d.ReportFault(0, "stands twice; it was first on line %d of %s", line, first[i].src.name)
			continue
		}
		if first[i] == nil {
			first[i] = d
		}
		keys[i].Apply(d)
		d.end()
	}
	for i, k := range keys {
		if k.Required && first[i] == nil && around != nil {
			around.ReportFault(0, "%s is missing: %s %s", k.Name, k.Name, k.Usage)
		}
	}
}

// Block hands the directives of d's block to keys.
func (d *Directive) Block(keys ...Keyword) {
	if !d.opened {
		d.ReportFault(0, "wants a block: %s {", d.Name())
		return
	}
	d.opened = false // it has been read
	Apply(d.block, d, d.faults, keys)
}

// Directives returns the directives of d's block, for one whose keywords are names
// of its own. Each is to be read to its End.
func (d *Directive) Directives() []*Directive {
	if !d.opened {
		d.ReportFault(0, "wants a block: %s {", d.Name())
	}
	d.opened = false
	return d.block
}

// Name is the keyword.
func (d *Directive) Name() string { return d.words[0].value }

// HasUnreadBlock tells whether a block follows that has not been read.
func (d *Directive) HasUnreadBlock() bool { return d.opened }

// path is the keys that lead to what is in d's block.
func (d *Directive) path() string {
	key := d.Name()
	if len(d.words) > 1 {
		key += "." + d.words[1].value
	}
	if d.key != "" {
		key = d.key + "." + key
	}
	return key
}

// ReportFault tells what is wrong with an argument; 0 is the keyword itself, and one
// beyond the last is the end of the line.
func (d *Directive) ReportFault(argument int, format string, args ...any) {
	at := d.where
	if argument < len(d.words) {
		at = d.words[argument].from
	}
	d.ReportFaultAt(at, format, args...)
}

// ReportFaultAt is Fault at a byte of the file, as Rest gives it.
func (d *Directive) ReportFaultAt(at int, format string, args ...any) {
	d.bad = true
	d.faults.add(d.place(at, fmt.Sprintf(format, args...)))
}

func (d *Directive) place(at int, msg string) *Fault {
	line, col, text := d.src.place(at)
	key := d.Name()
	if d.key != "" {
		key = d.key + "." + key
	}
	return &Fault{File: d.src.name, Line: line, Column: col, KeywordPath: key, LineText: text, Message: msg}
}

// FormatWarning words something about a byte of the file that is no fault.
func (d *Directive) FormatWarning(at int, format string, args ...any) string {
	f := d.place(at, fmt.Sprintf(format, args...))
	f.LineText = ""
	return f.Error()
}

// ArgumentIndex is the position of the argument that was read last, for Fault.
func (d *Directive) ArgumentIndex() int { return d.next }

// HasFault tells whether a fault of d's has been told.
func (d *Directive) HasFault() bool { return d.bad }

// More tells whether arguments are left.
func (d *Directive) More() bool { return d.next+1 < len(d.words) }

// ExpectEnd tells what is left over of a directive that Lines returned.
func (d *Directive) ExpectEnd() { d.end() }

func (d *Directive) end() {
	if d.bad {
		return
	}
	if d.More() {
		d.ReportFault(d.next+1, "too many arguments")
	} else if d.opened {
		d.ReportFault(len(d.words), "takes no block")
	}
}

// Word returns the next argument; what is one is for the message if it's missing.
func (d *Directive) Word(what string) string {
	if !d.More() {
		if !d.bad { // one such fault a line says it all
			d.ReportFault(len(d.words), "wants %s", what)
		}
		return ""
	}
	d.next++
	return d.words[d.next].value
}

// Rest returns what is left of the line as it stands in the file, quotes and
// all, and the byte of the file at which it begins.
func (d *Directive) Rest() (text string, at int) {
	if !d.More() {
		return "", d.where
	}
	from, to := d.words[d.next+1].from, d.words[len(d.words)-1].to
	d.next = len(d.words) - 1
	return d.src.text[from:to], from
}

// wrong tells that the argument just read is not what was wanted.
func (d *Directive) wrong(format string, args ...any) {
	if d.next > 0 && d.next < len(d.words) && !d.bad {
		d.ReportFault(d.next, "%q is "+format, append([]any{d.words[d.next].value}, args...)...)
	}
}

// Int returns the next argument as a whole number from least to most.
func (d *Directive) Int(what string, least, most int) int {
	w := d.Word(what)
	n, err := strconv.Atoi(strings.ReplaceAll(w, "_", ""))
	switch {
	case d.bad:
	case err != nil:
		d.wrong("no whole number; wants %s", what)
	case n < least || n > most:
		d.wrong("not from %d to %d; wants %s", least, most, what)
	}
	return n
}

// Float returns the next argument as a number from least to most.
func (d *Directive) Float(what string, least, most float64) float64 {
	w := d.Word(what)
	f, err := strconv.ParseFloat(w, 64)
	switch {
	case d.bad:
	case err != nil || math.IsNaN(f):
		d.wrong("no number; wants %s", what)
	case f < least || f > most:
		d.wrong("not from %g to %g; wants %s", least, most, what)
	}
	return f
}

// Duration returns the next argument as a time such as 250ms, 3s or 1h30m.
func (d *Directive) Duration(what string, least, most time.Duration) time.Duration {
	w := d.Word(what)
	t, err := time.ParseDuration(w)
	switch {
	case d.bad:
	case err != nil:
		d.wrong("no duration, as in 250ms or 1h30m; wants %s", what)
	case t < least || t > most:
		d.wrong("not from %v to %v; wants %s", least, most, what)
	}
	return t
}

// Address returns the next argument as HOST:PORT.
func (d *Directive) Address() string {
	w := d.Word("an address HOST:PORT")
	if d.bad {
		return w
	}
	if _, port, err := net.SplitHostPort(w); err != nil {
		d.wrong("no address HOST:PORT")
	} else if n, err := strconv.ParseUint(port, 10, 16); err != nil || n > math.MaxUint16 {
		d.wrong("an address whose port is no number from 0 to 65535")
	}
	return w
}

// OnOff returns the next argument as on or off.
func (d *Directive) OnOff() bool {
	return d.OneOf("on or off", "on", "off") == 0
}

// OneOf returns which of the words the next argument is, or -1.
func (d *Directive) OneOf(what string, words ...string) int {
	w := d.Word(what)
	i := slices.Index(words, w)
	if i < 0 && !d.bad {
		d.ReportFault(d.next, "%q is not %s%s", w, what, spell.Suggest(w, words))
	}
	return i
}
