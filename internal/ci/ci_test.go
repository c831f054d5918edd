// Package ci holds the tests of .ci/run. It must never hold anything that a program uses.
package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// module is a small one with tests that pass and tests that fail.
var module = map[string]string{
	"go.mod":               "module toy\n\ngo 1.26\n",
	"README.md":            "# toy\n\n    go build ./...\n    go test ./...\n    ./toy\n",
	"deploy/balancer.toml": "build = \"true\"   # nothing\n",
	"a/a.go":               "package a\n",
	"a/a_test.go": `package a

import "testing"

func TestGreen(t *testing.T) {}
`,
	"b/b.go": "package b\n",
}

const redTests = `package b

import "testing"

func TestRed(t *testing.T) { t.Fatal("red") }

func TestGreenToo(t *testing.T) {}
`

// run has .ci/run check the module with these files beside its own.
func run(t *testing.T, files map[string]string) (string, bool) {
	t.Helper()
	script, err := os.ReadFile("../../.ci/run")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	put := func(name, text string) {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o700); err != nil {
			t.Fatal(err)
		}
	}
	for name, text := range module {
		put(name, text)
	}
	for name, text := range files {
		put(name, text)
	}
	put(".ci/run", string(script))
	cmd := exec.Command("bash", ".ci/run")
	cmd.Dir = dir
	cmd.Env = append(os.Environ(), "GOFLAGS=", "GOWORK=off")
	out, err := cmd.CombinedOutput()
	return string(out), err == nil
}

func red(lines ...string) string { return strings.Join(lines, "\n") + "\n" }

func TestKnownRedTestsAreJustTheseThree(t *testing.T) {
	more := strings.Replace(redTests, "TestRed(", "TestRedder(", 1)
	four := map[string]string{}
	for name, text := range map[string]string{"c": "TestRedC", "d": "TestRedD", "e": "TestRedE"} {
		four[name+"/x.go"] = "package " + name + "\n"
		four[name+"/x_test.go"] = "package " + name + "\n\nimport \"testing\"\n\nfunc " + text + "(t *testing.T) { t.Fatal(\"red\") }\n"
	}
	with := func(files ...any) map[string]string {
		all := map[string]string{}
		for i := 0; i < len(files); i += 2 {
			all[files[i].(string)] = files[i+1].(string)
		}
		return all
	}
	merge := func(a, b map[string]string) map[string]string {
		for k, v := range b {
			a[k] = v
		}
		return a
	}
	known := "TestRed, it is red, and stays so, issue 7"
	for name, x := range map[string]struct {
		files map[string]string
		pass  bool
		says  string // that the output holds
	}{
		"no file, all green":          {nil, true, "ok  \ttoy/a"},
		"no file, one red":            {with("b/b_test.go", redTests), false, "--- FAIL: TestRed"},
		"one red that is listed":      {with("b/b_test.go", redTests, "KNOWN-RED.txt", red(known)), true, "passed over: " + known},
		"its neighbours run":          {with("b/b_test.go", redTests, "KNOWN-RED.txt", red(known)), true, "ok  \ttoy/b"},
		"another is red":              {with("b/b_test.go", redTests, "KNOWN-RED.txt", red("TestGreen, it is not, issue 7")), false, "--- FAIL: TestRed"},
		"a longer name is red":        {with("b/b_test.go", more, "b/c_test.go", "package b\n\nimport \"testing\"\n\nfunc TestRed(t *testing.T) {}\n", "KNOWN-RED.txt", red(known)), false, "--- FAIL: TestRedder"},
		"an unknown name":             {with("KNOWN-RED.txt", red(known)), false, "0 packages"},
		"a name of two packages":      {with("b/b_test.go", redTests, "a/b_test.go", strings.Replace(redTests, "package b", "package a", 1), "KNOWN-RED.txt", red(known)), false, "2 packages"},
		"no cause":                    {with("b/b_test.go", redTests, "KNOWN-RED.txt", red("TestRed, issue 7")), false, "not 'TestName, cause, issue'"},
		"an empty line":               {with("b/b_test.go", redTests, "KNOWN-RED.txt", red(known, "", known)), false, "not 'TestName, cause, issue'"},
		"a pattern in place of names": {with("b/b_test.go", redTests, "KNOWN-RED.txt", red("Test.*, any, issue 7")), false, "not 'TestName, cause, issue'"},
		"three":                       {merge(with("KNOWN-RED.txt", red("TestRedC, c, issue 7", "TestRedD, d, issue 7", "TestRedE, e, issue 7")), four), true, "ok  \ttoy/e"},
		"four":                        {merge(with("b/b_test.go", redTests, "KNOWN-RED.txt", red(known, "TestRedC, c, issue 7", "TestRedD, d, issue 7", "TestRedE, e, issue 7")), four), false, "4 lines"},
		"not formatted":               {with("a/b.go", "package a\n\n\n\nvar  x int\n"), false, "not gofmt-ed: a/b.go"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			out, pass := run(t, x.files)
			if pass != x.pass || !strings.Contains(out, x.says) {
				t.Errorf("passed %v, want %v with %q:\n%s", pass, x.pass, x.says, out)
			}
		})
	}
}
