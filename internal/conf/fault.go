package conf

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one thing that is wrong with a file, and where.
type Fault struct {
	File         string
	Line, Column int    // from 1; columns count characters
	KeywordPath  string // the keys that lead there, as in "team.north.rate"
	LineText     string // the line
	Message      string
}

// Error gives the place, the key, what is wrong, and the line with a caret.
func (f *Fault) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d:%d: ", f.File, f.Line, f.Column)
	if f.KeywordPath != "" {
		b.WriteString(f.KeywordPath + ": ")
	}
	b.WriteString(f.Message)
	if f.LineText != "" {
		// Guard: a line is shown in part, so that one fault in a very long one
		// doesn't fill a screen.
		text, column := []rune(f.LineText), f.Column-1
		if first := max(0, column-maxShownChars/2); first > 0 {
			text, column = text[min(first, len(text)):], column-first
		}
		text = text[:min(len(text), maxShownChars)]
		for i, r := range text {
			if r < ' ' && r != '\t' {
				text[i] = '\uFFFD'
			}
		}
		padding := make([]rune, 0, column)
		for i := range min(column, len(text)) {
			if text[i] == '\t' {
				padding = append(padding, '\t')
			} else {
				padding = append(padding, ' ')
			}
		}
		fmt.Fprintf(&b, "\n    %s\n    %s^", string(text), string(padding))
	}
	return b.String()
}

const maxShownChars = 160 // characters of a faulty line

// maxFaults is how many faults are told of one file. A file that is not of
// this form at all would have one a line.
const maxFaults = 100

// Faults is all that is wrong with a file and what it includes.
type Faults struct {
	list    []*Fault
	omitted int
}

// Err returns nil if there are none.
func (f *Faults) Err() error {
	if len(f.list) == 0 {
		return nil
	}
	return f
}

// List returns the faults in the order of their places.
func (f *Faults) List() []*Fault {
	f.sort()
	return f.list
}

func (f *Faults) sort() {
	slices.SortStableFunc(f.list, func(a, b *Fault) int {
		return cmp.Or(strings.Compare(a.File, b.File), a.Line-b.Line, a.Column-b.Column)
	})
}

// Error lists them all.
func (f *Faults) Error() string {
	f.sort()
	lines := make([]string, 0, len(f.list)+1)
	for _, fault := range f.list {
		lines = append(lines, fault.Error())
	}
	if f.omitted > 0 {
		lines = append(lines, fmt.Sprintf("%d more faults", f.omitted))
	}
	return strings.Join(lines, "\n")
}

// Code and Remedy make Faults a remedy.Error.
func (f *Faults) Code() string { return "config-faulty" }
func (f *Faults) Remedy() string {
	return "correct what is named, and try the file by `millethinge check` before it is used"
}

func (f *Faults) add(fault *Fault) {
	if len(f.list) >= maxFaults {
		f.omitted++
		return
	}
	f.list = append(f.list, fault)
}
