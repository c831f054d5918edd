package ci

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// wallReadings are methods of time.Time that make a number, a text or a time without its monotonic part of the wall clock.
// Spans that are measured with them move with each step of it.
var wallReadings = map[string]bool{"Unix": true, "UnixNano": true, "UnixMilli": true, "UnixMicro": true, "AddDate": true,
	"MarshalText": true, "MarshalJSON": true, "MarshalBinary": true, "GobEncode": true, "Clock": true, "YearDay": true}

// wallReadersAllowed are the folders that may use them, with the reason.
var wallReadersAllowed = map[string]string{
	"internal/wallclock": "the one place",
	"example":            "toy programs for newcomers",
}

// The wall clock may be stepped at any time, so that no span may be measured on it: one package reads it.
func TestTheWallClockIsReadInOnePlace(t *testing.T) {
	found := findWallReadings(t, "../..")
	for _, at := range found {
		t.Errorf("%s: the wall clock is read outside internal/wallclock", at)
	}
}

// The check finds what it is to find.
func TestWallReadingsAreFound(t *testing.T) {
	text := `package a
import "time"
func a() (int64, time.Time) { t := time.Now(); return t.UnixNano(), t.Round(0) }
`
	set := token.NewFileSet()
	file, err := parser.ParseFile(set, "a.go", text, 0)
	if err != nil {
		t.Fatal(err)
	}
	if n := len(wallReadingsOf(set, file)); n != 2 {
		t.Errorf("%d found, want 2", n)
	}
}

// findWallReadings lists all readings of the wall clock under root, but for tests and generated files.
func findWallReadings(t *testing.T, root string) (found []string) {
	t.Helper()
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name, _ := filepath.Rel(root, path)
		skipped := strings.HasPrefix(entry.Name(), ".") && name != "." || entry.Name() == "journal" || wallReadersAllowed[name] != ""
		if entry.IsDir() && skipped {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasSuffix(path, ".pb.go") {
			return nil
		}
		set := token.NewFileSet()
		file, err := parser.ParseFile(set, path, nil, 0)
		if err != nil {
			return err
		}
		found = append(found, wallReadingsOf(set, file)...)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return found
}

func wallReadingsOf(set *token.FileSet, file *ast.File) (found []string) {
	ast.Inspect(file, func(node ast.Node) bool {
		call, ok := node.(*ast.CallExpr)
		if !ok {
			return true
		}
		method, ok := call.Fun.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		stripped := method.Sel.Name == "Round" && len(call.Args) == 1 && isZero(call.Args[0])
		if len(call.Args) == 0 && wallReadings[method.Sel.Name] || stripped {
			found = append(found, set.Position(call.Pos()).String())
		}
		return true
	})
	return found
}

func isZero(e ast.Expr) bool {
	literal, ok := e.(*ast.BasicLit)
	return ok && literal.Value == "0"
}
