package rules

import (
	"errors"
	"fmt"
	"strings"
	"sync"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// The grammar, from the loosest binding to the tightest. Chains of one operator
// are lists, so that their length costs no depth.

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

// sharedParsers are built when the first set is read: a program without rules does
// without.
var sharedParsers = sync.OnceValue(func() parserPair {
	options := []participle.Option{
		participle.Lexer(lexer.MustSimple(lexerRules)), participle.Elide("space"), participle.UseLookahead(2),
	}
	return parserPair{participle.MustBuild[gRule](options...), participle.MustBuild[gExpr](options...)}
})

// parseSource reads a text after its bounds have been checked.
func parseSource[G any](p *participle.Parser[G], src Source) *G {
	if at, msg := checkLimits(src.Text); msg != "" {
		src.ReportError(at, msg)
		return nil
	}
	tree, err := p.ParseString("", src.Text)
	if err == nil {
		return tree
	}
	at, msg := 0, err.Error()
	var placed participle.Error
	if errors.As(err, &placed) {
		at, msg = placed.Position().Offset, placed.Message()
	}
	msg = strings.NewReplacer("<EOF>", "end", "<space> ", "").Replace(msg)
	if strings.HasPrefix(msg, "lexer: ") {
		msg = "this is no part of an expression"
		if rest := src.Text[min(at, len(src.Text)):]; rest != "" && (rest[0] == '"' || rest[0] == '`') {
			msg = "the quote that begins here has no end"
		}
	}
	src.ReportError(at, msg)
	return nil
}

// checkLimits checks the length and the nesting of a text before the parser sees it,
// so that no text can exhaust the stack. It knows quotes and nothing else of the
// language, and counts no less than there is.
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
