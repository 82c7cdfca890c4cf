package rules

import (
	"errors"
	"fmt"
	"strings"
	"sync"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// The grammar, from the loosest binding to the tightest. Chains of one operator are lists, so that their
// length adds no depth. participle prints the names of these types in its messages ("expected GPrimary"),
// which operators read, so the names must not change.

type gRule struct {
	When *gExpr     `parser:"( 'when' @@ )?"`
	Set  []*gAssign `parser:"( 'set' @@ ( ',' @@ )* )?"`
}

type gAssign struct {
	Pos     lexer.Position
	Target  string `parser:"@Ident"`
	Subname string `parser:"( '.' @Ident )?"`
	Value   *gExpr `parser:"'=' @@"`
}

type gExpr struct {
	Pos lexer.Position
	Let *gLet `parser:"  @@"`
	If  *gIf  `parser:"| @@"`
	Or  *gOr  `parser:"| @@"`
}

type gLet struct {
	Name string `parser:"'let' @Ident '='"`
	Init *gExpr `parser:"@@ ';'"`
	Body *gExpr `parser:"@@"`
}

type gIf struct {
	Cond *gExpr `parser:"'if' @@"`
	Then *gExpr `parser:"'then' @@"`
	Else *gExpr `parser:"'else' @@"`
}

type gOr struct {
	Terms []*gAnd `parser:"@@ ( 'or' @@ )*"`
}

type gAnd struct {
	Terms []*gNot `parser:"@@ ( 'and' @@ )*"`
}

type gNot struct {
	Pos  lexer.Position
	Nots []string `parser:"@'not'*"`
	Cmp  *gCmp    `parser:"@@"`
}

type gCmp struct {
	Pos   lexer.Position
	Left  *gSum  `parser:"@@"`
	Op    string `parser:"( ( @( '==' | '!=' | '<=' | '>=' | '<' | '>' | 'in' )"`
	NotIn bool   `parser:"  | @'not' 'in' )"`
	Right *gSum  `parser:"  @@ )?"`
}

type gSum struct {
	Pos   lexer.Position
	Left  *gProduct `parser:"@@"`
	Right []*gPlus  `parser:"@@*"`
}

type gPlus struct {
	Pos   lexer.Position
	Op    string    `parser:"@( '+' | '-' )"`
	Right *gProduct `parser:"@@"`
}

type gProduct struct {
	Pos   lexer.Position
	Left  *gElse   `parser:"@@"`
	Right []*gMult `parser:"@@*"`
}

type gMult struct {
	Pos   lexer.Position
	Op    string `parser:"@( '*' | '/' | '%' )"`
	Right *gElse `parser:"@@"`
}

type gElse struct {
	Pos   lexer.Position
	Terms []*gUnary `parser:"@@ ( '??' @@ )*"`
}

type gUnary struct {
	Pos     lexer.Position
	Minuses []string  `parser:"@'-'*"`
	Operand *gPrimary `parser:"@@"`
}

type gPrimary struct {
	Pos     lexer.Position
	Literal *gLiteral `parser:"  @@"`
	Call    *gCall    `parser:"| @@"`
	Index   *gIndex   `parser:"| @@"`
	Name    string    `parser:"| @Ident"`
	Group   *gExpr    `parser:"| '(' @@ ')'"`
	List    *gList    `parser:"| @@"`
}

type gLiteral struct {
	String   string `parser:"  @String"`
	Raw      string `parser:"| @Raw"`
	Date     string `parser:"| @Date"`
	Clock    string `parser:"| @Clock"`
	Prefix   string `parser:"| @Prefix"`
	Addr     string `parser:"| @Addr"`
	Duration string `parser:"| @Duration"`
	Float    string `parser:"| @Float"`
	Int      string `parser:"| @Int"`
}

type gCall struct {
	Name string   `parser:"@Ident '('"`
	Args []*gExpr `parser:"( @@ ( ',' @@ )* )? ')'"`
}

type gIndex struct {
	Name string `parser:"@Ident '['"`
	Key  *gExpr `parser:"@@ ']'"`
}

type gList struct {
	Items []*gExpr `parser:"'[' ( @@ ( ',' @@ )* )? ']'"`
}

// lexerRules are the tokens of the language, in order of precedence.
var lexerRules = []lexer.SimpleRule{
	{Name: "space", Pattern: `(?:[ \t\r\n]|\\\r?\n)+`},
	{Name: "String", Pattern: `"(?:\\.|[^"\\\n])*"`},
	{Name: "Raw", Pattern: "`[^`\n]*`"},
	{Name: "Date", Pattern: `\d{4}-\d{2}-\d{2}\b`},
	{Name: "Clock", Pattern: `\d{1,2}:\d{2}(?::\d{2})?\b`},
	{Name: "Prefix", Pattern: `\d+\.\d+\.\d+\.\d+/\d+\b`},
	{Name: "Addr", Pattern: `\d+\.\d+\.\d+\.\d+\b`},
	{Name: "Duration", Pattern: `(?:\d+(?:\.\d+)?(?:ns|us|ms|s|m|h))+\b`},
	{Name: "Float", Pattern: `\d+(?:\.\d+(?:[eE][-+]?\d+)?|[eE][-+]?\d+)\b`},
	{Name: "Int", Pattern: `(?:0x[0-9a-fA-F]+|\d[\d_]*)\b`},
	{Name: "Keyword", Pattern: `(?:when|set|if|then|else|let|and|or|not|in)\b`},
	{Name: "Ident", Pattern: `[A-Za-z_][A-Za-z0-9_]*`},
	{Name: "Op", Pattern: `==|!=|<=|>=|\?\?|[-+*/%<>=(),;.\[\]]`},
}

type parserPair struct {
	rule *participle.Parser[gRule]
	expr *participle.Parser[gExpr]
}

// sharedParsers are built on first use: a program without rules doesn't need them.
var sharedParsers = sync.OnceValue(func() parserPair {
	options := []participle.Option{
		participle.Lexer(lexer.MustSimple(lexerRules)), participle.Elide("space"), participle.UseLookahead(2),
	}
	return parserPair{participle.MustBuild[gRule](options...), participle.MustBuild[gExpr](options...)}
})

// parseSource parses a source after checking its limits.
func parseSource[G any](p *participle.Parser[G], source Source) *G {
	if pos, msg := checkLimits(source.Text); msg != "" {
		source.ReportError(pos, msg)
		return nil
	}
	tree, err := p.ParseString("", source.Text)
	if err == nil {
		return tree
	}
	pos, msg := 0, err.Error()
	var placed participle.Error
	if errors.As(err, &placed) {
		pos, msg = placed.Position().Offset, placed.Message()
	}
	msg = strings.NewReplacer("<EOF>", "end", "<space> ", "").Replace(msg)
	if strings.HasPrefix(msg, "lexer: ") {
		msg = "this is no part of an expression"
		if rest := source.Text[min(pos, len(source.Text)):]; rest != "" && (rest[0] == '"' || rest[0] == '`') {
			msg = "the quote that begins here has no end"
		}
	}
	source.ReportError(pos, msg)
	return nil
}

// checkLimits checks the length and the nesting of a text before parsing, so that no text can exhaust the
// stack. It understands quotes but nothing else of the language, and never counts less nesting than there is.
func checkLimits(text string) (int, string) {
	if len(text) > maxExprBytes {
		return 0, fmt.Sprintf("an expression of %d bytes; at most %d are read", len(text), maxExprBytes)
	}
	openBrackets, keywords := 0, 0
	for i := 0; i < len(text); i++ {
		switch c := text[i]; c {
		case '"', '`':
			for i++; i < len(text) && text[i] != c; i++ {
				if c == '"' && text[i] == '\\' {
					i++
				}
			}
		case '(', '[':
			if openBrackets++; openBrackets+keywords > maxNesting {
				return i, fmt.Sprintf("nested more than %d deep", maxNesting)
			}
		case ')', ']':
			openBrackets = max(openBrackets-1, 0)
		case 'i', 'l': // if and let nest without a closing bracket
			for _, w := range [...]string{"if", "let"} {
				if !strings.HasPrefix(text[i:], w) || i > 0 && isIdentByte(text[i-1]) || i+len(w) < len(text) && isIdentByte(text[i+len(w)]) {
					continue
				}
				if keywords++; openBrackets+keywords > maxNesting {
					return i, fmt.Sprintf("nested more than %d deep", maxNesting)
				}
			}
		}
	}
	return 0, ""
}

func isIdentByte(c byte) bool {
	return c == '_' || c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
}
