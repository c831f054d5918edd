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

// wallClockMethods are the methods of time.Time whose result holds the reading of the wall clock without the monotonic one.
// Durations computed from it are wrong by each step of the wall clock.
var wallClockMethods = map[string]bool{"Unix": true, "UnixNano": true, "UnixMilli": true, "UnixMicro": true, "AddDate": true,
	"MarshalText": true, "MarshalJSON": true, "MarshalBinary": true, "GobEncode": true, "Clock": true, "YearDay": true}

// allowedFolders are the folders that may call wallClockMethods, with the reason.
var allowedFolders = map[string]string{
	"internal/wallclock": "reads the wall clock for all others",
	"example":            "example programs",
}

// The wall clock may be stepped at any time, so no duration may be measured by it. Only one package may read it.
func TestTheWallClockIsReadInOnePlace(t *testing.T) {
	found := findWallClockReads(t, "../..")
	for _, at := range found {
		t.Errorf("%s: reads the wall clock outside internal/wallclock", at)
	}
}

// The check must find a call of a method of the list and of Round(0), which strips the monotonic reading.
func TestWallClockReadsAreFound(t *testing.T) {
	text := `package a
import "time"
func a() (int64, time.Time) { t := time.Now(); return t.UnixNano(), t.Round(0) }
`
	set := token.NewFileSet()
	file, err := parser.ParseFile(set, "a.go", text, 0)
	if err != nil {
		t.Fatal(err)
	}
	if n := len(wallClockReads(set, file)); n != 2 {
		t.Errorf("%d found, want 2", n)
	}
}

// findWallClockReads returns the positions of all readings of the wall clock under root, except in tests, generated files
// and allowedFolders.
func findWallClockReads(t *testing.T, root string) (found []string) {
	t.Helper()
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name, _ := filepath.Rel(root, path)
		skipped := strings.HasPrefix(entry.Name(), ".") && name != "." || entry.Name() == "journal" || allowedFolders[name] != ""
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
		found = append(found, wallClockReads(set, file)...)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return found
}

// wallClockReads returns the positions of the readings of the wall clock in file.
func wallClockReads(set *token.FileSet, file *ast.File) (found []string) {
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
		if len(call.Args) == 0 && wallClockMethods[method.Sel.Name] || stripped {
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
