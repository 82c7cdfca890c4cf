package conf

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one thing that is wrong with a file, and where.
type Fault struct {
	File      string
	Line, Col int    // from 1; columns count characters
	Key       string // the keys that lead there, as in "team.north.rate"
	Text      string // the line
	Msg       string
}

// Error gives the place, the key, what is wrong, and the line with a caret.
func (f *Fault) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d:%d: ", f.File, f.Line, f.Col)
	if f.Key != "" {
		b.WriteString(f.Key + ": ")
	}
	b.WriteString(f.Msg)
	if f.Text != "" {
		// Guard: a line is shown in part, so that one fault in a very long one
		// doesn't fill a screen.
		text, col := []rune(f.Text), f.Col-1
		if from := max(0, col-mostShown/2); from > 0 {
			text, col = text[min(from, len(text)):], col-from
		}
		text = text[:min(len(text), mostShown)]
		for i, r := range text {
			if r < ' ' && r != '\t' {
				text[i] = '\uFFFD'
			}
		}
		pad := make([]rune, 0, col)
		for i := range min(col, len(text)) {
			if text[i] == '\t' {
				pad = append(pad, '\t')
			} else {
				pad = append(pad, ' ')
			}
		}
		fmt.Fprintf(&b, "\n    %s\n    %s^", string(text), string(pad))
	}
	return b.String()
}

const mostShown = 160 // characters of a faulty line

// mostFaults is how many faults are told of one file. A file that is not of
// this form at all would have one a line.
const mostFaults = 100

// Faults is all that is wrong with a file and what it includes.
type Faults struct {
	list []*Fault
	more int
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
		return cmp.Or(strings.Compare(a.File, b.File), a.Line-b.Line, a.Col-b.Col)
	})
}

// Error lists them all.
func (f *Faults) Error() string {
	f.sort()
	lines := make([]string, 0, len(f.list)+1)
	for _, one := range f.list {
		lines = append(lines, one.Error())
	}
	if f.more > 0 {
		lines = append(lines, fmt.Sprintf("%d more faults", f.more))
	}
	return strings.Join(lines, "\n")
}

func (f *Faults) add(one *Fault) {
	if len(f.list) >= mostFaults {
		f.more++
		return
	}
	f.list = append(f.list, one)
}

// Nearest returns the known word that a mistyped one most likely means, or "".
func Nearest(word string, known []string) string {
	best, least := "", len(word)/3+2
	for _, k := range known {
		if d := distance(strings.ToLower(word), k, least); d < least {
			best, least = k, d
		}
	}
	return best
}

// distance counts the letters to add, drop, change or swap with the next one to
// get from a to b; at most counts on no further.
func distance(a, b string, most int) int {
	if len(a)-len(b) >= most || len(b)-len(a) >= most {
		return most
	}
	two, one, row := make([]int, len(b)+1), make([]int, len(b)+1), make([]int, len(b)+1)
	for j := range one {
		one[j] = j
	}
	for i := 1; i <= len(a); i++ {
		row[0] = i
		for j := 1; j <= len(b); j++ {
			change := 1
			if a[i-1] == b[j-1] {
				change = 0
			}
			row[j] = min(one[j]+1, row[j-1]+1, one[j-1]+change)
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				row[j] = min(row[j], two[j-2]+1)
			}
		}
		two, one, row = one, row, two
	}
	return one[len(b)]
}

// suggest ends a message about an unknown word.
func suggest(word string, known []string) string {
	if near := Nearest(word, known); near != "" {
		return fmt.Sprintf("; did you mean %q?", near)
	}
	if len(known) > 0 && len(known) <= 12 {
		return "; known: " + strings.Join(known, ", ")
	}
	return ""
}
