// Package describe holds the API descriptions that the program serves, OpenAPI for the HTTP front and AsyncAPI for the token
// stream, and reads routes and request classes from an operator's descriptions. What happens to requests that no description
// covers is up to the caller.
package describe

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/getkin/kin-openapi/openapi3"
	"go.yaml.in/yaml/v3"
)

// OpenAPI is the description of the HTTP front.
//
//go:embed openapi.yaml
var OpenAPI []byte

// AsyncAPI is the description of the token stream.
//
//go:embed asyncapi.yaml
var AsyncAPI []byte

// Paths at which Handler serves the descriptions.
const (
	PathOpenAPI  = "/openapi.yaml"
	PathAsyncAPI = "/asyncapi.yaml"
)

// ClassExtension is the key by which an operation in an operator's description names its request class.
const ClassExtension = "x-rowanyard-class"

// Handler serves the embedded descriptions and passes all other requests to next.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text := map[string][]byte{PathOpenAPI: OpenAPI, PathAsyncAPI: AsyncAPI}[r.URL.Path]
		if r.Method != http.MethodGet || text == nil {
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Content-Type", "application/yaml")
		w.Write(text)
	})
}

// Route is one operation of a description.
type Route struct {
	Method, Path string
	Class        string // "" = named by the request
}

// Routes is the set of operations that the router accepts. An empty or nil set accepts all POST requests.
type Routes struct{ all atomic.Pointer[[]Route] }

// Replace replaces the routes by those of next. It is safe to call while Find is in use.
func (r *Routes) Replace(next *Routes) {
	var none []Route
	all := &none
	if next != nil && next.all.Load() != nil {
		all = next.all.Load()
	}
	r.all.Store(all)
}

// list returns the current routes.
func (r *Routes) list() []Route {
	if r == nil || r.all.Load() == nil {
		return nil
	}
	return *r.all.Load()
}

// Find returns the route of a request. A path segment in braces matches any one non-empty segment.
func (r *Routes) Find(method, path string) (Route, bool) {
	all := r.list()
	if len(all) == 0 {
		return Route{}, method == http.MethodPost
	}
	for _, x := range all {
		if x.Method == method && matches(x.Path, path) {
			return x, true
		}
	}
	return Route{}, false
}

func matches(pattern, path string) bool {
	p, q := strings.Split(pattern, "/"), strings.Split(path, "/")
	if len(p) != len(q) {
		return false
	}
	for i := range p {
		wildcard := strings.HasPrefix(p[i], "{") && strings.HasSuffix(p[i], "}") && q[i] != ""
		if p[i] != q[i] && !wildcard {
			return false
		}
	}
	return true
}

// Load reads an operator's descriptions; either path may be "". Operations that name a class become routes. An unknown class,
// or a file without any route, is an error, because a misspelled name would silently leave requests without a route.
func Load(openapi, asyncapi string, classExists func(class string) bool) (*Routes, error) {
	var all []Route
	for _, f := range []struct {
		path string
		read func([]byte) ([]Route, error)
	}{{openapi, readOpenAPI}, {asyncapi, readAsyncAPI}} {
		if f.path == "" {
			continue
		}
		text, err := os.ReadFile(f.path)
		if err != nil {
			return nil, err
		}
		routes, err := f.read(text)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", f.path, err)
		}
		if len(routes) == 0 {
			return nil, fmt.Errorf("%s: no operation has %s", f.path, ClassExtension)
		}
		for _, x := range routes {
			if !classExists(x.Class) {
				return nil, fmt.Errorf("%s: %s %s: unknown class %q", f.path, x.Method, x.Path, x.Class)
			}
		}
		for _, x := range routes {
			if i := slices.IndexFunc(all, func(y Route) bool { return x.Method == y.Method && x.Path == y.Path }); i >= 0 && all[i].Class != x.Class {
				return nil, fmt.Errorf("%s: %s %s: class %q, but class %q in another description", f.path, x.Method, x.Path, x.Class, all[i].Class)
			}
		}
		all = append(all, routes...)
	}
	r := &Routes{}
	r.all.Store(&all)
	return r, nil
}

// readOpenAPI reads the routes of an OpenAPI 3 description.
func readOpenAPI(text []byte) ([]Route, error) {
	loader := openapi3.NewLoader() // does not follow references outside the file
	doc, err := loader.LoadFromData(text)
	if err != nil {
		return nil, err
	}
	if err := doc.Validate(loader.Context); err != nil {
		return nil, err
	}
	base := ""
	if len(doc.Servers) > 0 {
		if b, err := doc.Servers[0].BasePath(); err == nil && b != "/" {
			base = strings.TrimSuffix(b, "/")
		}
	}
	var all []Route
	for _, path := range doc.Paths.InMatchingOrder() {
		for method, op := range doc.Paths.Value(path).Operations() {
			v, ok := op.Extensions[ClassExtension]
			if !ok {
				continue
			}
			class, err := extensionString(v)
			if err != nil {
				return nil, fmt.Errorf("%s %s: %w", method, path, err)
			}
			all = append(all, Route{method, base + path, class})
		}
	}
	return all, nil
}

// extensionString returns the string value of an extension.
func extensionString(v any) (string, error) {
	if raw, ok := v.(json.RawMessage); ok {
		var s string
		if err := json.Unmarshal(raw, &s); err != nil {
			return "", fmt.Errorf("%s: not a string", ClassExtension)
		}
		return s, nil
	}
	if s, ok := v.(string); ok {
		return s, nil
	}
	return "", fmt.Errorf("%s: not a string", ClassExtension)
}

// asyncAPIDocument is the part of an AsyncAPI 3 description that routes are read from.
type asyncAPIDocument struct {
	Version  string `yaml:"asyncapi"`
	Channels map[string]struct {
		Address string `yaml:"address"`
	} `yaml:"channels"`
	Operations map[string]struct {
		Action  string `yaml:"action"`
		Class   string `yaml:"x-rowanyard-class"`
		Channel struct {
			Ref string `yaml:"$ref"`
		} `yaml:"channel"`
		Bindings struct {
			HTTP struct {
				Method string `yaml:"method"`
			} `yaml:"http"`
		} `yaml:"bindings"`
	} `yaml:"operations"`
}

// readAsyncAPI reads the routes of an AsyncAPI 3 description: the path of an operation is its channel's address, the method
// that of its HTTP binding, by default POST.
func readAsyncAPI(text []byte) ([]Route, error) {
	var doc asyncAPIDocument
	if err := yaml.Unmarshal(text, &doc); err != nil {
		return nil, err
	}
	if !strings.HasPrefix(doc.Version, "3.") {
		return nil, fmt.Errorf("asyncapi: version %q, want 3", doc.Version)
	}
	var all []Route
	for name, op := range doc.Operations {
		if op.Class == "" {
			continue
		}
		key, ok := strings.CutPrefix(op.Channel.Ref, "#/channels/")
		channel, known := doc.Channels[key]
		if !ok || !known || channel.Address == "" {
			return nil, fmt.Errorf("operation %s: no channel %q with an address", name, op.Channel.Ref)
		}
		method := strings.ToUpper(op.Bindings.HTTP.Method)
		if method == "" {
			method = http.MethodPost
		}
		all = append(all, Route{method, "/" + strings.TrimPrefix(channel.Address, "/"), op.Class})
	}
	return all, nil
}
