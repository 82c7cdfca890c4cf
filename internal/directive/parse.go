// Package directive reads configuration files in a line-based syntax like that of many Unix
// daemons:
//
//	# a comment
//	keyword argument "quoted argument" `raw argument`
//	keyword argument {
//	    keyword argument
//	}
//	include more.conf
//
// A line that ends in a backslash continues on the next line. Within double quotes, the
// escapes \" \\ \n \t \r and \xHH have the same meaning as in Go; within backquotes there
// are no escapes. The only keyword that the package defines is include: callers of Apply
// define the others.
//
// The package does no I/O of its own. It collects all faults instead of stopping at the
// first, each with its file, line and column.
package directive

import (
	"fmt"
	"path/filepath"
	"strings"
	"unicode/utf8"
)

// Limits on the input. A file that exceeds one has a fault, and what is beyond the limit is
// not read.
const (
	MaxBytes        = 32 << 20 // bytes of all files together
	maxLineBytes    = 64 << 10 // bytes of a line with its continuation lines
	maxBlockDepth   = 16       // levels of blocks within blocks
	maxIncludeDepth = 8        // levels of files included by files
	maxFiles        = 256      // with included ones
	maxArguments    = 1024     // of a line
)

// sourceFile is the text of a file with an index of its lines.
type sourceFile struct {
	name       string
	text       string
	lineStarts []int // byte offset of the start of each line
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

// position returns the line and column of a byte offset, and the line's text. Offsets out
// of range count as the start or end of the file.
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

// word is a keyword or an argument: its value, and its byte offsets in the file.
type word struct {
	value      string
	start, end int
}

// Directive is a line of a file: a keyword, its arguments and the directives of its block,
// if it has one. The methods that read arguments do so from left to right; they report a
// missing or invalid one as a fault.
type Directive struct {
	source         *sourceFile
	faults         *Faults
	path           string // keywords and names of the enclosing blocks, such as "team.north"
	words          []word // the keyword and the arguments
	current        int    // index in words of the argument that was read last
	block          []*Directive
	hasUnreadBlock bool
	endOffset      int // byte offset of the end of the line or of its {, where a missing argument is reported
	hasFault       bool
}

// ReadFileFunc returns the text of an included file.
type ReadFileFunc func(path string) ([]byte, error)

// Parse returns the directives of a file and adds its faults to faults. In place of an
// include directive it returns those of the included file, whose path is relative to the
// including file. If readFile is nil, include is a fault.
func Parse(name string, text []byte, readFile ReadFileFunc, faults *Faults) []*Directive {
	p := &parser{readFile: readFile, faults: faults}
	return p.parseFile(name, text, nil, "")
}

// parser reads a file and the files that it includes.
type parser struct {
	readFile     ReadFileFunc
	faults       *Faults
	totalBytes   int // of all files so far
	fileCount    int
	includeStack []string // cleaned paths of the files being read, the outermost first
}

// parseFile returns the directives of a file. includedBy is the include directive that
// names it; if that is nil, the file is the outermost.
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

// parseInclude returns the directives of the file that an include directive names.
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

// scanner splits a file into words and directives.
type scanner struct {
	*parser
	source *sourceFile
	offset int // of the next byte to read
}

// reportFault adds a fault at a byte offset of the file.
func (s *scanner) reportFault(offset int, path, format string, args ...any) {
	line, column, text := s.source.position(offset)
	s.faults.add(&Fault{File: s.source.name, Line: line, Column: column, KeywordPath: path, LineText: text, Message: fmt.Sprintf(format, args...)})
}

// scanBlock reads directives to the end of the block that opener began or, if opener is
// nil, to the end of the file.
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
				// Guard: deeper blocks are skipped by counting braces, without recursion.
				d.ReportFault(0, "blocks are nested more than %d deep", maxBlockDepth)
				s.skipBlock()
				continue
			}
			d.block = s.scanBlock(innerPath, d, depth+1)
		}
	}
}

// skipBlock reads on to the end of the block that was opened last.
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

// scanLine reads one directive, which is nil for a line without one. closeOffset is the
// offset of a } that is alone on its line, or -1. ok is false at the end of the file.
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

// isUnquoted reports whether w is written as literal, without quotes or escapes.
func (s *scanner) isUnquoted(w word, literal string) bool {
	return s.source.text[w.start:w.end] == literal
}

// skipBlanks skips blanks, and line ends with a backslash before them.
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

// scanWord reads a word. Adjacent quoted and unquoted parts are one word.
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

// scanQuoted reads a quoted part of a word, appends its value to value and reports whether
// it is valid.
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
