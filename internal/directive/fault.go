package directive

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is an error at a position of a configuration file.
type Fault struct {
	File         string
	Line, Column int    // from 1; columns count characters, not bytes
	KeywordPath  string // keywords and names that lead to the position, such as "team.north.rate"
	LineText     string // the line at fault; empty: Error shows none
	Message      string
}

// Error returns the position, the keyword path and the message, then the line at fault with
// a caret under the position.
func (f *Fault) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d:%d: ", f.File, f.Line, f.Column)
	if f.KeywordPath != "" {
		b.WriteString(f.KeywordPath + ": ")
	}
	b.WriteString(f.Message)
	if f.LineText != "" {
		// Guard: only a part of a long line is shown, so that one fault in a very long
		// line doesn't fill the screen.
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

// maxShownChars is how many characters of a line at fault are shown.
const maxShownChars = 160

// maxFaults is how many faults are listed. Others are only counted: a file of another
// format could have a fault on each line.
const maxFaults = 100

// Faults is the list of faults in a file and the files that it includes. It is an error.
type Faults struct {
	list    []*Fault
	omitted int // faults beyond maxFaults, which are not in list
}

// Err returns f as an error, or nil if there are no faults.
func (f *Faults) Err() error {
	if len(f.list) == 0 {
		return nil
	}
	return f
}

// List returns the faults in the order of files, lines and columns.
func (f *Faults) List() []*Fault {
	f.sort()
	return f.list
}

func (f *Faults) sort() {
	slices.SortStableFunc(f.list, func(a, b *Fault) int {
		return cmp.Or(strings.Compare(a.File, b.File), a.Line-b.Line, a.Column-b.Column)
	})
}

// Error returns the texts of all listed faults, one after another, and how many were
// omitted.
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

// Code returns the error's code for operators.
func (f *Faults) Code() string { return "config-faulty" }

// Remedy returns what an operator can do about the error.
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
