package describe

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/getkin/kin-openapi/openapi3"
	"go.yaml.in/yaml/v3"
)

const asyncAPIText = `asyncapi: 3.0.0
channels:
  drafts: {address: /drafts/stream}
operations:
  draft: {action: send, x-rowanyard-class: draft-reply, channel: {$ref: "#/channels/drafts"}, bindings: {http: {method: put}}}
  other: {action: send, channel: {$ref: "#/channels/drafts"}}
`

const openAPIText = `openapi: 3.0.3
info: {title: t, version: "1"}
servers: [{url: "http://h/api"}]
paths:
  /a/{b}:
    post: {x-rowanyard-class: send-message, parameters: [{name: b, in: path, required: true, schema: {type: string}}], responses: {"200": {description: d}}}
    get: {parameters: [{name: b, in: path, required: true, schema: {type: string}}], responses: {"200": {description: d}}}
`

func writeFile(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "f")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func classExists(class string) bool { return class == "send-message" || class == "draft-reply" }

func TestRoutesFromBothDescriptions(t *testing.T) {
	r, err := Load(writeFile(t, openAPIText), writeFile(t, asyncAPIText), classExists)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ method, path, class string }{
		{"POST", "/api/a/x", "send-message"}, {"PUT", "/drafts/stream", "draft-reply"},
		{"GET", "/api/a/x", "-"}, {"POST", "/api/a/", "-"}, {"POST", "/api/a/x/y", "-"}, {"POST", "/drafts/stream", "-"},
	} {
		if x, ok := r.Find(c.method, c.path); ok != (c.class != "-") || ok && x.Class != c.class {
			t.Errorf("%s %s: %+v %v", c.method, c.path, x, ok)
		}
	}
}

func TestLoadRejectsBadDescriptions(t *testing.T) {
	for name, texts := range map[string][2]string{
		"class":    {strings.Replace(openAPIText, "send-message", "sent", 1), ""},
		"no class": {strings.Replace(openAPIText, ClassExtension, "x-else", 1), ""},
		"number":   {strings.Replace(openAPIText, "send-message", "[1]", 1), ""},
		"version":  {"", strings.Replace(asyncAPIText, "3.0.0", "2.6.0", 1)},
		"channel":  {"", strings.Replace(asyncAPIText, "#/channels/drafts", "#/channels/x", 2)},
		"garbage":  {":", ""},
	} {
		paths := [2]string{}
		for i, text := range texts {
			if text != "" {
				paths[i] = writeFile(t, text)
			}
		}
		if _, err := Load(paths[0], paths[1], classExists); err == nil || strings.Contains(err.Error(), "\n\n") {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestServedOpenAPIIsValid(t *testing.T) {
	loader := openapi3.NewLoader()
	doc, err := loader.LoadFromData(OpenAPI)
	if err != nil {
		t.Fatal(err)
	}
	if err := doc.Validate(loader.Context); err != nil {
		t.Error(err)
	}
}

func TestServedAsyncAPIRefersToItsOwnChannel(t *testing.T) {
	var doc asyncAPIDocument
	if err := yaml.Unmarshal(AsyncAPI, &doc); err != nil {
		t.Fatal(err)
	}
	if doc.Channels["answer"].Address != "/v1/chat/completions" || doc.Operations["streamAnswer"].Channel.Ref != "#/channels/answer" {
		t.Errorf("%+v", doc)
	}
}

func FuzzDescriptions(f *testing.F) {
	rng := rand.New(rand.NewPCG(3, 4))
	for _, text := range []string{openAPIText, asyncAPIText} {
		f.Add(text)
		for range 30 {
			i, j := rng.IntN(len(text)), rng.IntN(len(text))
			f.Add(text[:min(i, j)] + text[max(i, j):])
		}
	}
	f.Fuzz(func(t *testing.T, text string) {
		a, errA := readOpenAPI([]byte(text))
		b, errB := readAsyncAPI([]byte(text))
		for _, x := range slices.Concat(a, b) {
			if errA == nil && errB == nil && (x.Path == "" || x.Path[0] != '/' || x.Method == "") {
				t.Errorf("%q: %+v", text, x)
			}
		}
	})
}
