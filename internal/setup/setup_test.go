package setup

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const memoryBytes = 192 << 20

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Each bad file is rejected with its position and a reason.
func TestReadRejectsBadFiles(t *testing.T) {
	api := writeFile(t, "api.yaml", `openapi: 3.0.3
info: {title: theirs, version: "1"}
paths:
  /send: {post: {x-rowanyard-class: nonsense, responses: {"200": {description: sent}}}}
`)
	for text, want := range map[string]string{
		"":                                      ":1: unexpected end of file",
		"{":                                     ":1: unexpected end of file",
		"{\n\"grpc\": {\n\"lisen\": \"x\"}}":    ":3: lisen: unknown key",
		"{\n\n\"grants\": {\"open\": \"9\"}}":   ":3: grants.open: string",
		"{\"grpc\": }":                          ":1: ",
		"{} {}":                                 ":1: unexpected data after",
		`{"ext_proc": {"listen": "9091"}}`:      "ext_proc.listen: ",
		`{"grpc": {"max_open": -1}}`:            "grpc.max_open: -1",
		`{"grants": {"delivery_ms": 300}}`:      "delivery: 300ms leaves nothing",
		`{"grants": {"hold_ms": 400}}`:          "grants.hold_ms: 400, want 0 to 300",
		`{"grants": {"heard_ms": 480}}`:         "heard: 480ms",
		`{"grants": {"remember_s": -5}}`:        "grants.remember_s: -5",
		`{"traces": {"share": 0.5}}`:            "traces.share: requires traces.endpoint",
		`{"traces": {"endpoint": "collector"}}`: "traces.endpoint: ",
		`{"traces": {"endpoint": "http://h:1", "share": 2}}`:                              "traces.share: 2",
		`{"ext_proc": {"mode_override": true}}`:                                           "ext_proc.mode_override: requires",
		`{"ext_proc": {"openapi": "` + api + `"}}`:                                        "neither ext_proc.listen",
		`{"ext_proc": {"listen": "127.0.0.1:1", "destination_header": "a b"}}`:            "destination_header: ",
		`{"ext_proc": {"listen": "127.0.0.1:1"}, "decisions": {"listen": "127.0.0.1:1"}}`: "decisions.listen: 127.0.0.1:1 is already used by ext_proc.listen",
		`{"ext_proc": {"listen": "127.0.0.1:1", "openapi": "` + api + `"}}`:               `POST /send: unknown class "nonsense"`,
		`{"ext_proc": {"listen": "127.0.0.1:1", "openapi": "` + api + `.not"}}`:           "no such file",
	} {
		path := writeFile(t, "operator.json", text)
		_, _, err := Read(path, memoryBytes, func(class string) bool { return class == "send-message" })
		if err == nil || !strings.Contains(err.Error(), want) || !strings.HasPrefix(err.Error(), path) {
			t.Errorf("%s: %v, want %q", text, err, want)
		}
	}
}

// An empty file and the deployed and example files are valid; without a file everything is disabled.
func TestReadAcceptsGoodFiles(t *testing.T) {
	empty := writeFile(t, "operator.json", "{}")
	t.Chdir("../..")
	for _, path := range []string{"", empty, "deploy/operator.json", "example/operator.json"} {
		f, routes, err := Read(path, memoryBytes, nil)
		if err != nil || routes == nil {
			t.Errorf("%s: %v", path, err)
			continue
		}
		if off := path == "" || path == empty; off && (f.NeedsGrants() || f.Metrics.Listen != "" || f.GRPC.Listen != "" || f.Traces.Endpoint != "") {
			t.Errorf("%q enables something: %+v", path, f)
		}
		if err := f.GrantTerms(0).Check(); err != nil {
			t.Error(err)
		}
	}
}

func FuzzFile(f *testing.F) {
	for _, text := range []string{`{}`, `{"grpc":{"listen":"127.0.0.1:1"}}`, `{"grants":{"open":1e9}}`, `{"x":1}`, `[`, "{\"grants\":{\"hold_ms\":1}}"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		var x File
		if x.parse([]byte(text)) == nil && x.check(memoryBytes) == nil {
			if err := x.GrantTerms(0).Check(); err != nil {
				t.Errorf("%q: the file is accepted, its grant terms are not: %v", text, err)
			}
		}
	})
}
