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
	MaxBytes        = 32 << 20 // of all files together
	maxLineBytes    = 64 << 10 // bytes of a line with those that it goes on in
	maxBlockDepth   = 16       // of blocks within blocks
	maxIncludeDepth = 8        // of files within files
	maxFiles        = 256
	maxArguments    = 1024
)

// sourceFile is one file's text.
type sourceFile struct {
	name       string
	text       string
	lineStarts []int // where each line begins
}

func newSourceFile(name, text string) *sourceFile {
	s := &sourceFile{name: name, text: text, lineStarts: []int{0}}
	for i := range len(text) {
		if text[i] == '\n' {
			s.lineStarts = append(s.lineStarts, i+1)
		}
	}
	return s
}

// position returns the line and column of a byte, and the line's text.
func (s *sourceFile) position(offset int) (line, column int, text string) {
	offset = min(max(offset, 0), len(s.text))
	low, high := 0, len(s.lineStarts)
	for high-low > 1 {
		if mid := (low + high) / 2; s.lineStarts[mid] <= offset {
			low = mid
		} else {
			high = mid
		}
	}
	text = s.text[s.lineStarts[low]:]
	if end := strings.IndexByte(text, '\n'); end >= 0 {
		text = text[:end]
	}
	text = strings.TrimSuffix(text, "\r")
	column = utf8.RuneCountInString(text[:min(offset-s.lineStarts[low], len(text))]) + 1
	return low + 1, column, text
}

// word is one argument: its value, and its place in the source.
type word struct {
	value      string
	start, end int
}

// Directive is one line: a keyword, its arguments and, where it opened one, the
// lines of its block.
type Directive struct {
	source         *sourceFile
	faults         *Faults
	path           string // of the blocks around it
	words          []word // the keyword is the first
	current        int    // argument to be read
	block          []*Directive
	hasUnreadBlock bool
	endOffset      int // the end of the line, where a missing argument belongs
	hasFault       bool
}

// ReadFileFunc returns the text of an included file.
type ReadFileFunc func(path string) ([]byte, error)

// Parse cuts a file into directives and takes in what it includes, by paths
// that are relative to the including file.
func Parse(name string, text []byte, readFile ReadFileFunc, faults *Faults) []*Directive {
	p := &parser{readFile: readFile, faults: faults}
	return p.parseFile(name, text, nil, "")
}

type parser struct {
	readFile     ReadFileFunc
	faults       *Faults
	totalBytes   int
	fileCount    int
	includeStack []string // the files that are being read
}

func (p *parser) parseFile(name string, text []byte, includedBy *Directive, parentPath string) []*Directive {
	fail := func(format string, args ...any) []*Directive {
		if includedBy != nil {
			includedBy.ReportFault(0, format, args...)
		} else {
			p.faults.add(&Fault{File: name, Line: 1, Column: 1, Message: fmt.Sprintf(format, args...)})
		}
		return nil
	}
	p.fileCount++
	p.totalBytes += len(text)
	switch {
	case p.fileCount > maxFiles:
		return fail("more than %d files", maxFiles)
	case p.totalBytes > MaxBytes:
		return fail("more than %d bytes in all", MaxBytes)
	}
	p.includeStack = append(p.includeStack, filepath.Clean(name))
	defer func() { p.includeStack = p.includeStack[:len(p.includeStack)-1] }()
	source := newSourceFile(name, string(text))
	s := scanner{parser: p, source: source}
	return s.scanBlock(parentPath, nil, 0)
}

// parseInclude reads the file that a directive names.
func (p *parser) parseInclude(d *Directive, parentPath string) []*Directive {
	name := d.Word("a file")
	d.expectEnd()
	if d.hasFault {
		return nil
	}
	path := name
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(d.source.name), path)
	}
	for _, includer := range p.includeStack {
		if includer == filepath.Clean(path) {
			d.ReportFault(1, "%q includes itself: %s", name, strings.Join(append(p.includeStack, path), " > "))
			return nil
		}
	}
	if len(p.includeStack) > maxIncludeDepth {
		d.ReportFault(1, "files are included more than %d deep", maxIncludeDepth)
		return nil
	}
	if p.readFile == nil {
		d.ReportFault(1, "no file can be included here")
		return nil
	}
	text, err := p.readFile(path)
	if err != nil {
		d.ReportFault(1, "%v", err)
		return nil
	}
	return p.parseFile(path, text, d, parentPath)
}

// scanner walks one file.
type scanner struct {
	*parser
	source *sourceFile
	offset int
}

func (s *scanner) reportFault(offset int, path, format string, args ...any) {
	line, column, text := s.source.position(offset)
	s.faults.add(&Fault{File: s.source.name, Line: line, Column: column, KeywordPath: path, LineText: text, Message: fmt.Sprintf(format, args...)})
}

// scanBlock reads directives until the block that opener began ends, or the file.
func (s *scanner) scanBlock(path string, opener *Directive, depth int) []*Directive {
	var directives []*Directive
	for {
		d, closeOffset, ok := s.scanLine(path)
		switch {
		case !ok && opener != nil:
			opener.ReportFault(0, "the block that begins here has no end")
			return directives
		case !ok:
			return directives
		case closeOffset >= 0 && opener != nil:
			return directives
		case closeOffset >= 0:
			s.reportFault(closeOffset, path, "} ends no block")
		case d == nil:
		case s.isUnquoted(d.words[0], "include") && !d.hasUnreadBlock:
			directives = append(directives, s.parseInclude(d, path)...)
		default:
			directives = append(directives, d)
		}
		if d != nil && d.hasUnreadBlock {
			innerPath := d.blockPath()
			if depth >= maxBlockDepth {
				// Guard: what is deeper is passed over by counting, not by recursion.
				d.ReportFault(0, "blocks are nested more than %d deep", maxBlockDepth)
				s.skipBlock()
				continue
			}
			d.block = s.scanBlock(innerPath, d, depth+1)
		}
	}
}

// skipBlock skips to the end of the block just opened.
func (s *scanner) skipBlock() {
	for openBlocks := 1; openBlocks > 0; {
		d, closeOffset, ok := s.scanLine("")
		if !ok {
			return
		}
		if closeOffset >= 0 {
			openBlocks--
		}
		if d != nil && d.hasUnreadBlock {
			openBlocks++
		}
	}
}

// scanLine reads one directive. closing is where a } stood alone, or -1; ok is false
// at the end of the file.
func (s *scanner) scanLine(path string) (d *Directive, closeOffset int, ok bool) {
	text := s.source.text
	d = &Directive{source: s.source, faults: s.faults, path: path}
	lineStart := s.offset
	for {
		s.skipBlanks()
		if s.offset >= len(text) || text[s.offset] == '\n' || text[s.offset] == '#' {
			break
		}
		if s.offset-lineStart > maxLineBytes || len(d.words) > maxArguments {
			s.reportFault(lineStart, path, "a line of more than %d bytes or %d arguments", maxLineBytes, maxArguments)
			d.words = nil
			break
		}
		if w, valid := s.scanWord(path); valid {
			d.words = append(d.words, w)
		} else {
			d.words = nil
			break
		}
	}
	d.endOffset = s.offset
	for s.offset < len(text) && text[s.offset] != '\n' { // the comment
		s.offset++
	}
	atEnd := s.offset >= len(text)
	s.offset++
	if n := len(d.words); n > 0 && s.isUnquoted(d.words[n-1], "{") {
		if n == 1 {
			s.reportFault(d.words[0].start, path, "{ has no keyword before it")
		}
		d.hasUnreadBlock, d.endOffset = true, d.words[n-1].start
		d.words = d.words[:max(n-1, 1)]
	} else if n == 1 && s.isUnquoted(d.words[0], "}") {
		return nil, d.words[0].start, true
	}
	if len(d.words) == 0 {
		return nil, -1, !atEnd
	}
	return d, -1, true
}

func (s *scanner) isUnquoted(w word, literal string) bool {
	return s.source.text[w.start:w.end] == literal
}

// skipBlanks passes over blanks and continued line ends.
func (s *scanner) skipBlanks() {
	for text := s.source.text; s.offset < len(text); s.offset++ {
		switch text[s.offset] {
		case ' ', '\t', '\r':
		case '\\':
			if rest := strings.TrimPrefix(text[s.offset+1:], "\r"); !strings.HasPrefix(rest, "\n") {
				return
			} else {
				s.offset = len(text) - len(rest)
			}
		default:
			return
		}
	}
}

// scanWord reads one argument. Quoted and plain parts that touch are one.
func (s *scanner) scanWord(path string) (word, bool) {
	text, start := s.source.text, s.offset
	var value strings.Builder
	for s.offset < len(text) {
		c := text[s.offset]
		switch {
		case c == ' ' || c == '\t' || c == '\r' || c == '\n':
			return word{value.String(), start, s.offset}, true
		case c == '\\' && (strings.HasPrefix(text[s.offset+1:], "\n") || strings.HasPrefix(text[s.offset+1:], "\r\n")):
			return word{value.String(), start, s.offset}, true
		case c == '"' || c == '`':
			if !s.scanQuoted(&value, path) {
				return word{}, false
			}
		case c < ' ' || c == 0x7f:
			s.reportFault(s.offset, path, "a control character (%#02x)", c)
			s.offset++
			return word{}, false
		default:
			r, size := utf8.DecodeRuneInString(text[s.offset:])
			if r == utf8.RuneError && size == 1 {
				s.reportFault(s.offset, path, "not UTF-8")
				s.offset++
				return word{}, false
			}
			value.WriteString(text[s.offset : s.offset+size])
			s.offset += size
		}
	}
	return word{value.String(), start, s.offset}, true
}

// scanQuoted reads what is between two quotes.
func (s *scanner) scanQuoted(value *strings.Builder, path string) bool {
	text, start := s.source.text, s.offset
	quote := text[start]
	for s.offset++; s.offset < len(text) && text[s.offset] != '\n'; s.offset++ {
		c := text[s.offset]
		switch {
		case c == quote:
			s.offset++
			return true
		case c == '\\' && quote == '"':
			s.offset++
			if s.offset >= len(text) {
				break
			}
			switch escape := text[s.offset]; escape {
			case '"', '\\':
				value.WriteByte(escape)
			case 'n':
				value.WriteByte('\n')
			case 't':
				value.WriteByte('\t')
			case 'r':
				value.WriteByte('\r')
			case 'x':
				var b byte
				if _, err := fmt.Sscanf(text[s.offset+1:min(s.offset+3, len(text))], "%02x", &b); err != nil {
					s.reportFault(s.offset-1, path, `\x wants two hexadecimal digits`)
					return false
				}
				value.WriteByte(b)
				s.offset += 2
			default:
				s.reportFault(s.offset-1, path, `\%c stands for nothing; write \\ for a backslash`, escape)
				return false
			}
		default:
			r, size := utf8.DecodeRuneInString(text[s.offset:])
			if r == utf8.RuneError && size == 1 || c < ' ' && c != '\t' || c == 0x7f {
				s.reportFault(s.offset, path, "not UTF-8, or a control character (%#02x); write \\xHH", c)
				return false
			}
			value.WriteString(text[s.offset : s.offset+size])
			s.offset += size - 1
		}
	}
	s.reportFault(start, path, "the quote that begins here has no end on its line")
	return false
}
