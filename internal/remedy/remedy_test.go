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

type full struct{ places int }

func (f *full) Error() string  { return fmt.Sprintf("all %d places are taken", f.places) }
func (f *full) Code() string   { return "test-full" }
func (f *full) Remedy() string { return "Wait." }

func TestSeam(t *testing.T) {
	wrapped := fmt.Errorf("hall: %w", &full{3})
	if e, ok := FromError(wrapped); !ok || e.(*full).places != 3 {
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

// TestPage holds docs/errors.md against the sources: each code has its row there, no
// row is of a code that is gone, and no two types share one.
func TestPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/errors.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := make(map[string]bool)
	for _, m := range regexp.MustCompile("(?m)^\\| `([a-z0-9-]+)` \\| [^|]+ \\| [^|]+ \\|$").FindAllSubmatch(page, -1) {
		rows[string(m[1])] = true
	}
	codes := codesOf(t, "../..")
	for code, places := range codes {
		if len(places) > 1 {
			t.Errorf("%s: more than one type has it: %s", code, strings.Join(places, ", "))
		}
		if !rows[code] {
			t.Errorf("%s: %s has no whole row in docs/errors.md", places[0], code)
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

// codesOf finds what the methods Code of all sources under root return, and where.
func codesOf(t *testing.T, root string) map[string][]string {
	found, files := make(map[string][]string), token.NewFileSet()
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		for _, d := range file.Decls {
			f, ok := d.(*ast.FuncDecl)
			if !ok || f.Recv == nil || f.Name.Name != "Code" || f.Body == nil {
				continue
			}
			ast.Inspect(f.Body, func(n ast.Node) bool {
				r, ok := n.(*ast.ReturnStmt)
				if !ok {
					return true
				}
				at := files.Position(r.Pos()).String()
				lit, ok := r.Results[0].(*ast.BasicLit)
				if !ok || lit.Kind != token.STRING {
					t.Errorf("%s: Code returns something else than a literal", at)
					return false
				}
				code, err := strconv.Unquote(lit.Value)
				if err != nil {
					t.Errorf("%s: %v", at, err)
				}
				found[code] = append(found[code], at)
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
