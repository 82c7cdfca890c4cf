package diagnostic

import (
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// fullError is an Error of these tests.
type fullError struct{ capacity int }

func (f *fullError) Error() string  { return fmt.Sprintf("all %d slots are in use", f.capacity) }
func (f *fullError) Code() string   { return "test-full" }
func (f *fullError) Remedy() string { return "Wait." }

func TestErrorInTree(t *testing.T) {
	wrapped := fmt.Errorf("queue: %w", &fullError{3})
	if e, ok := FromError(wrapped); !ok || e.(*fullError).capacity != 3 {
		t.Errorf("%v, %t", e, ok)
	}
	if _, ok := FromError(errors.New("bare")); ok {
		t.Error("FromError finds a code in an error without one")
	}
	if n, bare := len(Fields(wrapped)), len(Fields(errors.New("bare"))); n != 3 || bare != 1 {
		t.Errorf("%d log fields, and %d of an error without a code; want 3 and 1", n, bare)
	}
	const want = "bare\nqueue: all 3 slots are in use\n    [test-full] Wait."
	if got := Text(errors.Join(errors.New("bare"), wrapped)); got != want {
		t.Errorf("%q", got)
	}
}

// TestCodesDocumented compares docs/errors.md with the sources: each code must have a complete
// row there, each row must be of a code that exists, and no two types may share a code.
func TestCodesDocumented(t *testing.T) {
	doc, err := os.ReadFile("../../docs/errors.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := make(map[string]bool)
	for _, m := range regexp.MustCompile("(?m)^\\| `([a-z0-9-]+)` \\| [^|]+ \\| [^|]+ \\|$").FindAllSubmatch(doc, -1) {
		rows[string(m[1])] = true
	}
	codes := findCodes(t, "../..")
	for code, positions := range codes {
		if len(positions) > 1 {
			t.Errorf("%s: several types have this code: %s", code, strings.Join(positions, ", "))
		}
		if !rows[code] {
			t.Errorf("%s: %s has no complete row in docs/errors.md", positions[0], code)
		}
	}
	for code := range rows {
		if codes[code] == nil {
			t.Errorf("docs/errors.md: no type has the code %s", code)
		}
	}
	if len(codes) < 5 {
		t.Errorf("found only %d codes, fewer than the program has: the search in the sources may be broken", len(codes))
	}
}

// findCodes returns the codes that the Code methods in all sources under root return, each with
// the positions of its return statements.
func findCodes(t *testing.T, root string) map[string][]string {
	found, fileSet := make(map[string][]string), token.NewFileSet()
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(fileSet, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		for _, d := range file.Decls {
			f, ok := d.(*ast.FuncDecl)
			if !ok || f.Recv == nil || f.Name.Name != "Code" || f.Body == nil {
				continue
			}
			ast.Inspect(f.Body, func(n ast.Node) bool {
				ret, ok := n.(*ast.ReturnStmt)
				if !ok {
					return true
				}
				position := fileSet.Position(ret.Pos()).String()
				lit, ok := ret.Results[0].(*ast.BasicLit)
				if !ok || lit.Kind != token.STRING {
					t.Errorf("%s: Code returns something other than a string literal", position)
					return false
				}
				code, err := strconv.Unquote(lit.Value)
				if err != nil {
					t.Errorf("%s: %v", position, err)
				}
				found[code] = append(found[code], position)
				return false
			})
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return found
}
