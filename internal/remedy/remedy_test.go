package remedy

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

type fullError struct{ capacity int }

func (f *fullError) Error() string  { return fmt.Sprintf("all %d places are taken", f.capacity) }
func (f *fullError) Code() string   { return "test-full" }
func (f *fullError) Remedy() string { return "Wait." }

func TestErrorInTree(t *testing.T) {
	wrapped := fmt.Errorf("hall: %w", &fullError{3})
	if e, ok := FromError(wrapped); !ok || e.(*fullError).capacity != 3 {
		t.Errorf("%v, %t", e, ok)
	}
	if _, ok := FromError(errors.New("bare")); ok {
		t.Error("a bare error has a code")
	}
	if n, bare := len(Fields(wrapped)), len(Fields(errors.New("bare"))); n != 3 || bare != 1 {
		t.Errorf("%d fields, %d of a bare error", n, bare)
	}
	const want = "bare\nhall: all 3 places are taken\n    [test-full] Wait."
	if got := Text(errors.Join(errors.New("bare"), wrapped)); got != want {
		t.Errorf("%q", got)
	}
}

// TestCodesDocumented holds docs/errors.md against the sources: each code has its row there, no
// row is of a code that is gone, and no two types share one.
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
			t.Errorf("%s: more than one type has it: %s", code, strings.Join(positions, ", "))
		}
		if !rows[code] {
			t.Errorf("%s: %s has no whole row in docs/errors.md", positions[0], code)
		}
	}
	for code := range rows {
		if codes[code] == nil {
			t.Errorf("docs/errors.md: no type has the code %s", code)
		}
	}
	if len(codes) < 5 {
		t.Errorf("only %d codes are found: does the search still work?", len(codes))
	}
}

// findCodes finds what the methods Code of all sources under root return, and where.
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
					t.Errorf("%s: Code returns something else than a literal", position)
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
