package httpfront

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"rowanyard/decide"
	"rowanyard/internal/core"
)

// scriptedDiscovery is a discovery server that plays a script: each call gets the next step, and the last one repeats.
type scriptedDiscovery struct {
	*httptest.Server
	mu    sync.Mutex
	steps []func(w http.ResponseWriter, r *http.Request)
	calls []string // their queries
}

func newScriptedDiscovery(t *testing.T, steps ...func(http.ResponseWriter, *http.Request)) *scriptedDiscovery {
	m := &scriptedDiscovery{steps: steps}
	m.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m.mu.Lock()
		m.calls = append(m.calls, r.URL.RawQuery)
		step := m.steps[0]
		if len(m.steps) > 1 {
			m.steps = m.steps[1:]
		}
		m.mu.Unlock()
		step(w, r)
	}))
	t.Cleanup(func() { m.CloseClientConnections(); m.Close() })
	return m
}

// respondAndHold sends text and keeps the response open.
func respondAndHold(text string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, text)
		http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}
}

// respondTruncated sends text and closes the connection before the end of the response.
func respondTruncated(text string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(len(text)+100))
		io.WriteString(w, text)
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

func listJSON(seq int, whole bool, hosts ...string) string {
	type entry = map[string]any
	all := []entry{}
	for _, h := range hosts {
		name, health, ok := strings.Cut(h, "=")
		if !ok {
			health = "up"
		}
		all = append(all, entry{"host": name, "dial": "127.0.0.1:1", "site": "a", "class": "m", "health": health})
	}
	text, _ := json.Marshal(entry{"seq": seq, "whole": whole, "hosts": all})
	return string(text) + "\n"
}

// logRecorder records the log and closes applied when the list of version 12 is logged.
type logRecorder struct {
	mu      sync.Mutex
	text    strings.Builder
	applied chan struct{}
}

func (l *logRecorder) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if strings.Contains(string(p), `msg="worker list" seq=12 `) {
		close(l.applied)
	}
	return l.text.Write(p)
}

func (l *logRecorder) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// Whatever discovery sends instead of a list, the last good list stays in use, the reason is logged, and discovery is
// called again until it sends a good one.
func TestLastGoodListIsKeptOnBadAnswers(t *testing.T) {
	good := listJSON(7, true, "a", "b")
	for name, respond := range map[string]func(http.ResponseWriter, *http.Request){
		"refuses":                  func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) },
		"is truncated in a list":   respondTruncated(good[:len(good)-20]),
		"sends garbage":            respondAndHold("\x00\xff{{{\n"),
		"sends null":               respondAndHold("null\n"),
		"sends an empty object":    respondAndHold("{}\n"),
		"lists no hosts":           respondAndHold(`{"seq":9,"whole":true}` + "\n"),
		"has only invalid entries": respondAndHold(strings.ReplaceAll(listJSON(9, true, "a", "b"), "127.0.0.1:1", "?")),
		"lists unknown kinds":      respondAndHold(strings.ReplaceAll(listJSON(9, true, "a", "b"), `"class":"m"`, `"class":"q"`)),
		"sends an older version":   respondAndHold(listJSON(3, false, "a=draining")),
		"sends an endless line":    respondAndHold("{\"seq\":9,\"whole\":true,\"hosts\":[" + strings.Repeat(" ", 2<<10)),
		"stops inside a list":      respondAndHold(good[:len(good)-20] + "\n\n"),
		"sends other JSON types":   respondAndHold(`{"seq":"9","whole":1,"hosts":{}}` + "\n"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			log := &logRecorder{applied: make(chan struct{})}
			logger := slog.New(slog.NewTextHandler(log, nil))
			c, _ := core.New(decide.Settings{RouterCount: 1, Kinds: []decide.Kind{{Role: decide.Reader}}}, 1, nil, discardLogger)
			d := NewDiscovery(Names{Kinds: []string{"m"}, Zones: []string{"a"}}, c, 1<<10, logger)
			defer d.Close()
			kept := make(chan error, 1)
			check := func(w http.ResponseWriter, r *http.Request) { // called again: check what the bad answer left
				var err error
				for _, id := range []string{"a", "b"} {
					if got, ok := c.Worker(id); !ok || got.State != decide.Ready {
						err = fmt.Errorf("%s is %+v, listed %v", id, got, ok)
					}
				}
				select {
				case kept <- err:
				default:
				}
				respondAndHold(listJSON(12, true, "c"))(w, r)
			}
			first := func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, good) }
			m := newScriptedDiscovery(t, first, respond, check)
			d.Follow(m.Listener.Addr().String(), 1)
			select {
			case err := <-kept:
				if err != nil {
					t.Error(err)
				}
			case <-time.After(time.Minute):
				t.Fatal("discovery was not called again")
			}
			select {
			case <-log.applied:
			case <-time.After(time.Minute):
				t.Fatal("the next good list was not applied")
			}
			if !c.HasWorker("c") || c.HasWorker("a") {
				t.Error("the next good list is not the current one")
			}
			if text := log.String(); strings.Count(text, "watch ended") < 2 || !strings.Contains(text, "err=") {
				t.Errorf("no reason logged: %s", text)
			}
		})
	}
}

// An invalid entry must neither remove its worker from a full list nor delay the other entries' changes.
func TestUnreadableEntryKeepsItsWorker(t *testing.T) {
	c, _ := core.New(decide.Settings{RouterCount: 1, Kinds: []decide.Kind{{Role: decide.Reader}}}, 1, nil, discardLogger)
	d := NewDiscovery(Names{Kinds: []string{"m"}, Zones: []string{"a"}}, c, 0, discardLogger)
	apply := func(text string) error {
		l, err := parseList([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		return d.apply(l)
	}
	if err := apply(listJSON(1, true, "a", "b", "c")); err != nil {
		t.Fatal(err)
	}
	if err := apply(listJSON(2, true, "a=???", "b=draining", "x=???")); err != nil {
		t.Error(err)
	}
	if w, ok := c.Worker("a"); !ok || w.State != decide.Ready {
		t.Errorf("a is %+v, %v: its entry was invalid", w, ok)
	}
	if w, _ := c.Worker("b"); w.State != decide.Draining {
		t.Error("b's drain was lost because of a's invalid entry")
	}
	if c.HasWorker("c") || c.HasWorker("x") {
		t.Error("c, which was removed, or x, which was never valid, is known")
	}
}

// indented returns a list in its other valid form: on many lines, with empty lines around it.
func indented(t *testing.T, text string) string {
	t.Helper()
	var b bytes.Buffer
	if err := json.Indent(&b, []byte(text), "", "  "); err != nil {
		t.Fatal(err)
	}
	return "\n" + b.String() + "\n\n"
}

// A list may be indented over many lines. A parser that reads line by line would miss starts and drains, and send to
// cold workers as if they were warm.
func TestIndentedListsAreRead(t *testing.T) {
	c, _ := core.New(decide.Settings{RouterCount: 1, Kinds: []decide.Kind{{Role: decide.Reader}}}, 1, nil, discardLogger)
	log := &logRecorder{applied: make(chan struct{})}
	d := NewDiscovery(Names{Kinds: []string{"m"}, Zones: []string{"a"}}, c, 0, slog.New(slog.NewTextHandler(log, nil)))
	defer d.Close()
	hosts := make([]string, 1024)
	for i := range hosts {
		hosts[i] = fmt.Sprintf("s-%08x", i)
	}
	all := listJSON(10, true, hosts...)
	m := newScriptedDiscovery(t, respondAndHold(all+indented(t, all)+indented(t, listJSON(11, false, "s-00000003=draining"))+
		listJSON(12, false, append(hosts[4:], "s-00000000=removed")...)))
	d.Follow(m.Listener.Addr().String(), 0)
	select {
	case <-log.applied:
	case <-time.After(time.Minute):
		t.Fatalf("not applied: %s", log)
	}
	if w, _ := c.Worker("s-00000003"); w.State != decide.Draining {
		t.Error("the drain in an indented change was not applied")
	}
	if w, ok := c.Worker("s-00000000"); ok && w.State == decide.Ready || !c.HasWorker("s-000003ff") {
		t.Error("the change to all entries was not applied")
	}
}

// SIGHUP names another address while a list from the old one is in flight. The current list stays in use until the new
// address has sent one; nothing from the old address is applied after that, even if it was partly read.
func TestListFromOldAddressIsIgnoredAfterMove(t *testing.T) {
	c, _ := core.New(decide.Settings{RouterCount: 1, Kinds: []decide.Kind{{Role: decide.Reader}}}, 1, nil, discardLogger)
	log := &logRecorder{applied: make(chan struct{})}
	d := NewDiscovery(Names{Kinds: []string{"m"}, Zones: []string{"a"}}, c, 0, slog.New(slog.NewTextHandler(log, nil)))
	defer d.Close()
	old, err := parseList([]byte(listJSON(50, true, "old")))
	if err != nil {
		t.Fatal(err)
	}
	m := newScriptedDiscovery(t, respondAndHold(listJSON(10, true, "a")), respondAndHold(listJSON(11, false, "b")+listJSON(12, false, "c=draining")))
	d.mu.Lock()
	follower := newFollower(d, "old", 50)
	d.current = follower
	call := &discoveryCall{follower: follower}
	call.ctx, call.stop = context.WithCancelCause(t.Context())
	follower.calls = []*discoveryCall{call}
	d.mu.Unlock()
	if err := follower.apply(call, old); err != nil || !c.HasWorker("old") {
		t.Fatalf("the old address's list was not applied: %v", err)
	}
	d.Follow(m.Listener.Addr().String(), 50)
	select {
	case <-log.applied:
	case <-time.After(time.Minute):
		t.Fatalf("not applied: %s", log)
	}
	if err := follower.apply(call, old); err == nil {
		t.Error("the old address's list was applied after the move")
	}
	if c.HasWorker("old") || !c.HasWorker("a") || !c.HasWorker("c") {
		t.Error("the new address's list is not the current one")
	}
}
