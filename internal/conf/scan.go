// Package conf reads a line-based form of configuration, in the manner of
// classic daemons:
//
//	# a comment
//	keyword argument "quoted argument" `raw argument`
//	keyword argument {
//	    keyword argument
//	}
//	include more.conf
//
// A line that ends in a backslash goes on in the next one. Within double quotes
// \" \\ \n \t \r and \xHH stand for what they do in Go; within backquotes nothing
// does. The package knows no keyword but include: Read is told which there are.
//
// It does no I/O of its own. All that is wrong is told at once, each fault with
// its file, line and column.
package conf

import (
	"fmt"
	"path/filepath"
	"strings"
	"unicode/utf8"
)

// Bounds of what is read. Beyond them a file is refused and not read on.
const (
	MaxBytes     = 32 << 20 // of all files together
	maxLine      = 64 << 10 // bytes of a line with those that it goes on in
	maxDepth     = 16       // of blocks within blocks
	maxIncludes  = 8        // of files within files
	maxFiles     = 256
	maxArguments = 1024
)

// source is one file's text.
type source struct {
	name  string
	text  string
	lines []int // where each line begins
}

func newSource(name, text string) *source {
	s := &source{name: name, text: text, lines: []int{0}}
	for i := range len(text) {
		if text[i] == '\n' {
			s.lines = append(s.lines, i+1)
		}
	}
	return s
}

// place returns the line and column of a byte, and the line's text.
func (s *source) place(at int) (line, col int, text string) {
	at = min(max(at, 0), len(s.text))
	low, high := 0, len(s.lines)
	for high-low > 1 {
		if mid := (low + high) / 2; s.lines[mid] <= at {
			low = mid
		} else {
			high = mid
		}
	}
	text = s.text[s.lines[low]:]
	if end := strings.IndexByte(text, '\n'); end >= 0 {
		text = text[:end]
	}
	text = strings.TrimSuffix(text, "\r")
	col = utf8.RuneCountInString(text[:min(at-s.lines[low], len(text))]) + 1
	return low + 1, col, text
}

// word is one argument: its value, and its place in the source.
type word struct {
	value    string
	from, to int
}

// Directive is one line: a keyword, its arguments and, where it opened one, the
// lines of its block.
type Directive struct {
	src    *source
	faults *Faults
	key    string // of the blocks around it
	words  []word // the keyword is the first
	next   int    // argument to be read
	block  []*Directive
	opened bool
	where  int // the end of the line, where a missing argument belongs
	bad    bool
}

// ReadFileFunc returns the text of an included file.
type ReadFileFunc func(path string) ([]byte, error)

// Parse cuts a file into directives and takes in what it includes, by paths
// that are relative to the including file.
func Parse(name string, text []byte, open ReadFileFunc, faults *Faults) []*Directive {
	p := &parser{open: open, faults: faults}
	return p.file(name, text, nil, "")
}

type parser struct {
	open   ReadFileFunc
	faults *Faults
	bytes  int
	files  int
	seen   []string // the files that are being read
}

func (p *parser) file(name string, text []byte, from *Directive, key string) []*Directive {
	fail := func(format string, args ...any) []*Directive {
		if from != nil {
			from.ReportFault(0, format, args...)
		} else {
			p.faults.add(&Fault{File: name, Line: 1, Column: 1, Message: fmt.Sprintf(format, args...)})
		}
		return nil
	}
	p.files++
	p.bytes += len(text)
	switch {
	case p.files > maxFiles:
		return fail("more than %d files", maxFiles)
	case p.bytes > MaxBytes:
		return fail("more than %d bytes in all", MaxBytes)
	}
	p.seen = append(p.seen, filepath.Clean(name))
	defer func() { p.seen = p.seen[:len(p.seen)-1] }()
	src := newSource(name, string(text))
	s := scanner{parser: p, src: src}
	return s.block(key, nil, 0)
}

// include reads the file that a directive names.
func (p *parser) include(d *Directive, key string) []*Directive {
	name := d.Word("a file")
	d.end()
	if d.bad {
		return nil
	}
	path := name
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(d.src.name), path)
	}
	for _, s := range p.seen {
		if s == filepath.Clean(path) {
			d.ReportFault(1, "%q includes itself: %s", name, strings.Join(append(p.seen, path), " > "))
			return nil
		}
	}
	if len(p.seen) > maxIncludes {
		d.ReportFault(1, "files are included more than %d deep", maxIncludes)
		return nil
	}
	if p.open == nil {
		d.ReportFault(1, "no file can be included here")
		return nil
	}
	text, err := p.open(path)
	if err != nil {
		d.ReportFault(1, "%v", err)
		return nil
	}
	return p.file(path, text, d, key)
}

// scanner walks one file.
type scanner struct {
	*parser
	src *source
	at  int
}

func (s *scanner) fault(at int, key, format string, args ...any) {
	line, col, text := s.src.place(at)
	s.faults.add(&Fault{File: s.src.name, Line: line, Column: col, KeywordPath: key, LineText: text, Message: fmt.Sprintf(format, args...)})
}

// block reads directives until the block that opener began ends, or the file.
func (s *scanner) block(key string, opener *Directive, depth int) []*Directive {
	var list []*Directive
	for {
		d, closing, ok := s.line(key)
		switch {
		case !ok && opener != nil:
			opener.ReportFault(0, "the block that begins here has no end")
			return list
		case !ok:
			return list
		case closing >= 0 && opener != nil:
			return list
		case closing >= 0:
			s.fault(closing, key, "} ends no block")
		case d == nil:
		case s.bare(d.words[0], "include") && !d.opened:
			list = append(list, s.include(d, key)...)
		default:
			list = append(list, d)
		}
		if d != nil && d.opened {
			inner := d.path()
			if depth >= maxDepth {
				// Guard: what is deeper is passed over by counting, not by recursion.
				d.ReportFault(0, "blocks are nested more than %d deep", maxDepth)
				s.pass()
				continue
			}
			d.block = s.block(inner, d, depth+1)
		}
	}
}

// pass skips to the end of the block just opened.
func (s *scanner) pass() {
	for open := 1; open > 0; {
		d, closing, ok := s.line("")
		if !ok {
			return
		}
		if closing >= 0 {
			open--
		}
		if d != nil && d.opened {
			open++
		}
	}
}

// line reads one directive. closing is where a } stood alone, or -1; ok is false
// at the end of the file.
func (s *scanner) line(key string) (d *Directive, closing int, ok bool) {
	text := s.src.text
	d = &Directive{src: s.src, faults: s.faults, key: key}
	start := s.at
	for {
		s.space()
		if s.at >= len(text) || text[s.at] == '\n' || text[s.at] == '#' {
			break
		}
		if s.at-start > maxLine || len(d.words) > maxArguments {
			s.fault(start, key, "a line of more than %d bytes or %d arguments", maxLine, maxArguments)
			d.words = nil
			break
		}
		if w, good := s.word(key); good {
			d.words = append(d.words, w)
		} else {
			d.words = nil
			break
		}
	}
	d.where = s.at
	for s.at < len(text) && text[s.at] != '\n' { // the comment
		s.at++
	}
	ended := s.at >= len(text)
	s.at++
	if n := len(d.words); n > 0 && s.bare(d.words[n-1], "{") {
		if n == 1 {
			s.fault(d.words[0].from, key, "{ has no keyword before it")
		}
		d.opened, d.where = true, d.words[n-1].from
		d.words = d.words[:max(n-1, 1)]
	} else if n == 1 && s.bare(d.words[0], "}") {
		return nil, d.words[0].from, true
	}
	if len(d.words) == 0 {
		return nil, -1, !ended
	}
	return d, -1, true
}

func (s *scanner) bare(w word, is string) bool { return s.src.text[w.from:w.to] == is }

// space passes over blanks and continued line ends.
func (s *scanner) space() {
	for text := s.src.text; s.at < len(text); s.at++ {
		switch text[s.at] {
		case ' ', '\t', '\r':
		case '\\':
			if rest := strings.TrimPrefix(text[s.at+1:], "\r"); !strings.HasPrefix(rest, "\n") {
				return
			} else {
				s.at = len(text) - len(rest)
			}
		default:
			return
		}
	}
}

// word reads one argument. Quoted and plain parts that touch are one.
func (s *scanner) word(key string) (word, bool) {
	text, from := s.src.text, s.at
	var value strings.Builder
	for s.at < len(text) {
		c := text[s.at]
		switch {
		case c == ' ' || c == '\t' || c == '\r' || c == '\n':
			return word{value.String(), from, s.at}, true
		case c == '\\' && (strings.HasPrefix(text[s.at+1:], "\n") || strings.HasPrefix(text[s.at+1:], "\r\n")):
			return word{value.String(), from, s.at}, true
		case c == '"' || c == '`':
			if !s.quoted(&value, key) {
				return word{}, false
			}
		case c < ' ' || c == 0x7f:
			s.fault(s.at, key, "a control character (%#02x)", c)
			s.at++
			return word{}, false
		default:
			r, n := utf8.DecodeRuneInString(text[s.at:])
			if r == utf8.RuneError && n == 1 {
				s.fault(s.at, key, "not UTF-8")
				s.at++
				return word{}, false
			}
			value.WriteString(text[s.at : s.at+n])
			s.at += n
		}
	}
	return word{value.String(), from, s.at}, true
}

// quoted reads what is between two quotes.
func (s *scanner) quoted(value *strings.Builder, key string) bool {
	text, from := s.src.text, s.at
	quote := text[from]
	for s.at++; s.at < len(text) && text[s.at] != '\n'; s.at++ {
		c := text[s.at]
		switch {
		case c == quote:
			s.at++
			return true
		case c == '\\' && quote == '"':
			s.at++
			if s.at >= len(text) {
				break
			}
			switch e := text[s.at]; e {
			case '"', '\\':
				value.WriteByte(e)
			case 'n':
				value.WriteByte('\n')
			case 't':
				value.WriteByte('\t')
			case 'r':
				value.WriteByte('\r')
			case 'x':
				var b byte
				if _, err := fmt.Sscanf(text[s.at+1:min(s.at+3, len(text))], "%02x", &b); err != nil {
					s.fault(s.at-1, key, `\x wants two hexadecimal digits`)
					return false
				}
				value.WriteByte(b)
				s.at += 2
			default:
				s.fault(s.at-1, key, `\%c stands for nothing; write \\ for a backslash`, e)
				return false
			}
		default:
			r, n := utf8.DecodeRuneInString(text[s.at:])
			if r == utf8.RuneError && n == 1 || c < ' ' && c != '\t' || c == 0x7f {
				s.fault(s.at, key, "not UTF-8, or a control character (%#02x); write \\xHH", c)
				return false
			}
			value.WriteString(text[s.at : s.at+n])
			s.at += n - 1
		}
	}
	s.fault(from, key, "the quote that begins here has no end on its line")
	return false
}
