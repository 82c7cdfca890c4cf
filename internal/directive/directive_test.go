package directive

import (
	"errors"
	"fmt"
	"io/fs"
	"strings"
	"testing"
)

// formatDirectives returns the words and blocks of directives as they were parsed.
func formatDirectives(directives []*Directive) string {
	var b strings.Builder
	for _, d := range directives {
		for _, w := range d.words {
			fmt.Fprintf(&b, "<%s>", w.value)
		}
		if d.hasUnreadBlock {
			b.WriteString("{" + formatDirectives(d.block) + "}")
		}
		b.WriteString(";")
	}
	return b.String()
}

func TestParse(t *testing.T) {
	files := map[string]string{
		"dir/a.conf":     "one\ninclude sub/b.conf\n",
		"dir/sub/b.conf": "include ../c.conf # here\n",
		"dir/c.conf":     "three",
		"dir/self.conf":  "include x/../self.conf",
		"dir/bad.conf":   "include none.conf\nx \"",
	}
	for i := range maxIncludeDepth + 3 {
		files[fmt.Sprintf("dir/deep%d", i)] = fmt.Sprintf("include deep%d", i+1)
	}
	readFile := func(path string) ([]byte, error) {
		if text, ok := files[path]; ok {
			return []byte(text), nil
		}
		return nil, fmt.Errorf("%s: %w", path, fs.ErrNotExist)
	}
	for _, test := range []struct{ text, want, fault string }{
		{"", "", ""},
		{"# only\n\n   \t\r\n", "", ""},
		{"a b c\r\nd", "<a><b><c>;<d>;", ""},
		{"a \\\n  b \\\r\n c # d\ne", "<a><b><c>;<e>;", ""},
		{"a \"b c\" `d\\n` x\"y z\"w\"\" \"\"", "<a><b c><d\\n><xy zw><>;", ""},
		{`a "\"\\\n\t\r\x41"`, "<a><\"\\\n\t\rA>;", ""},
		{"a#b c", "<a#b><c>;", ""},
		{"a {\n b {\n c\n }\n}\nd {\n}", "<a>{<b>{<c>;};};<d>{};", ""},
		{`a "{" "}"`, "<a><{><}>;", ""},
		{"include a.conf", "<one>;<three>;", ""},
		{"x\n}\ny", "<x>;<y>;", "main:2:1: } ends no block\n    }\n    ^"},
		{"x {\n y", "<x>{<y>;};", "main:1:1: x: the block that begins here has no end"},
		{"{\n}", "<{>{};", "{ has no keyword"},
		{"a \"b\nc", "<c>;", "main:1:3: the quote that begins here has no end"},
		{`a "\q"`, "", `main:1:4: \q stands for nothing`},
		{`a "\xg1"`, "", `\x wants two`},
		{"a \xff", "", "not UTF-8"},
		{"a \"\xff\"", "", "not UTF-8"},
		{"a \x00", "", "control character (0x00)"},
		{"\tä b \x01", "", "main:1:6: a control"},
		{"a " + strings.Repeat("x ", maxArguments+1) + "\nb", "<b>;", "more than"},
		{"a \"" + strings.Repeat("x", maxLineBytes) + "\" y\nb", "<b>;", "more than"},
		{strings.Repeat("a {\n", 40) + strings.Repeat("}\n", 40) + "b", "", "nested more than 16 deep"},
		{"include none.conf", "", "include: dir/none.conf: file does not exist"},
		{"include", "", "main:1:8: include: wants a file"},
		{"include a.conf b", "", "too many arguments"},
		{"include self.conf", "", "includes itself: dir/main > dir/self.conf > dir/self.conf"},
		{"include deep0", "", "more than 8 deep"},
		{"include bad.conf", "", "dir/bad.conf:2:3:"},
	} {
		faults := new(Faults)
		got := formatDirectives(Parse("dir/main", []byte(test.text), readFile, faults))
		err := faults.Err()
		if test.want != "" && got != test.want || (err == nil) != (test.fault == "") ||
			err != nil && !strings.Contains(strings.ReplaceAll(err.Error(), "dir/main:", "main:"), test.fault) {
			t.Errorf("%.60q: got %.200s, %.300v", test.text, got, err)
		}
	}
	if Parse("x", []byte("include a.conf"), nil, new(Faults)) != nil {
		t.Error("a file was included without a function to read it")
	}
}

// All faults are reported together in the order of their lines, up to a maximum.
func TestAllFaultsReported(t *testing.T) {
	faults := new(Faults)
	directives := Parse("f", []byte("nme a\nsize many\nsize\n\"x\n"), nil, faults)
	Apply(directives, nil, faults, []Keyword{
		{Name: "name", Apply: func(d *Directive) { d.Word("a name") }},
		{Name: "size", Repeatable: true, Apply: func(d *Directive) { d.Int("a size", 1, 9) }},
	})
	var positions []string
	for _, fault := range faults.List() {
		positions = append(positions, fmt.Sprintf("%d:%d", fault.Line, fault.Column))
	}
	if got := strings.Join(positions, " "); got != "1:1 2:6 3:5 4:1" {
		t.Errorf("%s\n%v", got, faults)
	}
	faults = new(Faults)
	Apply(Parse("f", []byte(strings.Repeat("x\n", 1000)), nil, faults), nil, faults, nil)
	if n := strings.Count(faults.Error(), "unknown keyword"); n != maxFaults || !strings.HasSuffix(faults.Error(), "900 more faults") {
		t.Errorf("%d faults listed", n)
	}
	var err *Faults
	if !errors.As(faults.Err(), &err) || new(Faults).Err() != nil {
		t.Error("Err: not nil without faults, or no *Faults with some")
	}
}

// The caret is under the character at fault, also after tabs, multi-byte characters and in
// long lines that are cut.
func TestCaretPosition(t *testing.T) {
	for text, want := range map[string]string{
		"\tsize äö x": "\tsize äö x\n    \t        ^",
		strings.Repeat("ä", 500) + " x" + "yyyyy": strings.Repeat("ä", 79) + " xyyyyy\n    " + strings.Repeat(" ", 80) + "^",
	} {
		fault := Fault{File: "f", Line: 1, Column: len([]rune(text[:strings.IndexByte(text, 'x')])) + 1, LineText: text, Message: "m"}
		if got := fault.Error(); !strings.HasSuffix(got, "\n    "+want) {
			t.Errorf("got\n%s\nwant\n%s", got, want)
		}
	}
}

// For any input, parsing ends and faults have positions within the text.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{"a {\n b \"c\\x41\" `d`\n}\n", "include x", "a \\\n b", "}{\"", "\xff\x00"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		faults := new(Faults)
		directives := Parse("f", []byte(text), func(string) ([]byte, error) { return []byte(text), nil }, faults)
		Apply(directives, nil, faults, []Keyword{{Name: "a", Repeatable: true, Apply: func(d *Directive) {
			d.Block(Keyword{Name: "b", Apply: func(d *Directive) { d.Rest() }})
		}}})
		for _, fault := range faults.List() {
			if fault.Line < 1 || fault.Line > strings.Count(text, "\n")+1 || fault.Column < 1 || fault.Column > len(fault.LineText)+1 {
				t.Errorf("%q: fault at %d:%d of %q", text, fault.Line, fault.Column, fault.LineText)
			}
			_ = fault.Error()
		}
	})
}
