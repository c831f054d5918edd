// Package ci tests the script .ci/run and checks rules that hold for the whole source tree. It holds tests only.
package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// baseModule holds the files of a small module whose tests pass.
var baseModule = map[string]string{
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

// failingTests is a test file for package b with a test that fails and one that passes.
const failingTests = `package b

import "testing"

func TestRed(t *testing.T) { t.Fatal("red") }

func TestGreenToo(t *testing.T) {}
`

// runScript runs .ci/run in a copy of baseModule with files added. It returns the output and whether the script passed.
func runScript(t *testing.T, files map[string]string) (string, bool) {
	t.Helper()
	script, err := os.ReadFile("../../.ci/run")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	writeFile := func(name, text string) {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o700); err != nil {
			t.Fatal(err)
		}
	}
	for name, text := range baseModule {
		writeFile(name, text)
	}
	for name, text := range files {
		writeFile(name, text)
	}
	writeFile(".ci/run", string(script))
	cmd := exec.Command("bash", ".ci/run")
	cmd.Dir = dir
	cmd.Env = append(os.Environ(), "GOFLAGS=", "GOWORK=off")
	out, err := cmd.CombinedOutput()
	return string(out), err == nil
}

// knownRedFile returns the text of a KNOWN-RED.txt of the lines.
func knownRedFile(lines ...string) string { return strings.Join(lines, "\n") + "\n" }

// The script must skip the failing tests that KNOWN-RED.txt lists, three at most, and no other test.
func TestKnownRedFile(t *testing.T) {
	longerName := strings.Replace(failingTests, "TestRed(", "TestRedder(", 1)
	failingPackages := map[string]string{}
	for name, testName := range map[string]string{"c": "TestRedC", "d": "TestRedD", "e": "TestRedE"} {
		failingPackages[name+"/x.go"] = "package " + name + "\n"
		failingPackages[name+"/x_test.go"] = "package " + name + "\n\nimport \"testing\"\n\nfunc " + testName + "(t *testing.T) { t.Fatal(\"red\") }\n"
	}
	fileMap := func(files ...any) map[string]string {
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
	for name, c := range map[string]struct {
		files  map[string]string
		pass   bool
		output string // part of the script's output
	}{
		"no file, all tests pass":         {nil, true, "ok  \ttoy/a"},
		"no file, one test fails":         {fileMap("b/b_test.go", failingTests), false, "--- FAIL: TestRed"},
		"a listed test fails":             {fileMap("b/b_test.go", failingTests, "KNOWN-RED.txt", knownRedFile(known)), true, "passed over: " + known},
		"the package's other tests run":   {fileMap("b/b_test.go", failingTests, "KNOWN-RED.txt", knownRedFile(known)), true, "ok  \ttoy/b"},
		"a test fails that is not listed": {fileMap("b/b_test.go", failingTests, "KNOWN-RED.txt", knownRedFile("TestGreen, it is not, issue 7")), false, "--- FAIL: TestRed"},
		"a test with a longer name fails": {fileMap("b/b_test.go", longerName, "b/c_test.go", "package b\n\nimport \"testing\"\n\nfunc TestRed(t *testing.T) {}\n", "KNOWN-RED.txt", knownRedFile(known)), false, "--- FAIL: TestRedder"},
		"no test of the name":             {fileMap("KNOWN-RED.txt", knownRedFile(known)), false, "0 packages"},
		"two packages have the test":      {fileMap("b/b_test.go", failingTests, "a/b_test.go", strings.Replace(failingTests, "package b", "package a", 1), "KNOWN-RED.txt", knownRedFile(known)), false, "2 packages"},
		"no cause":                        {fileMap("b/b_test.go", failingTests, "KNOWN-RED.txt", knownRedFile("TestRed, issue 7")), false, "not 'TestName, cause, issue'"},
		"an empty line":                   {fileMap("b/b_test.go", failingTests, "KNOWN-RED.txt", knownRedFile(known, "", known)), false, "not 'TestName, cause, issue'"},
		"a pattern instead of a name":     {fileMap("b/b_test.go", failingTests, "KNOWN-RED.txt", knownRedFile("Test.*, any, issue 7")), false, "not 'TestName, cause, issue'"},
		"three lines":                     {merge(fileMap("KNOWN-RED.txt", knownRedFile("TestRedC, c, issue 7", "TestRedD, d, issue 7", "TestRedE, e, issue 7")), failingPackages), true, "ok  \ttoy/e"},
		"four lines":                      {merge(fileMap("b/b_test.go", failingTests, "KNOWN-RED.txt", knownRedFile(known, "TestRedC, c, issue 7", "TestRedD, d, issue 7", "TestRedE, e, issue 7")), failingPackages), false, "4 lines"},
		"a file is not formatted":         {fileMap("a/b.go", "package a\n\n\n\nvar  x int\n"), false, "not gofmt-ed: a/b.go"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			out, pass := runScript(t, c.files)
			if pass != c.pass || !strings.Contains(out, c.output) {
				t.Errorf("passed %v, want %v and output that contains %q:\n%s", pass, c.pass, c.output, out)
			}
		})
	}
}
