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

// moody is a stand-in discovery that plays a script: each call gets the next act, the last one for ever.
type moody struct {
	*httptest.Server
	mu    sync.Mutex
	acts  []func(w http.ResponseWriter, r *http.Request)
	calls []string // queries
}

func newMoody(t *testing.T, acts ...func(http.ResponseWriter, *http.Request)) *moody {
	m := &moody{acts: acts}
	m.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m.mu.Lock()
		m.calls = append(m.calls, r.URL.RawQuery)
		act := m.acts[0]
		if len(m.acts) > 1 {
			m.acts = m.acts[1:]
		}
		m.mu.Unlock()
		act(w, r)
	}))
	t.Cleanup(func() { m.CloseClientConnections(); m.Close() })
	return m
}

// says writes text and keeps the watch open.
func says(text string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, text)
		http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}
}

// cutAfter ends the connection in the middle of what it says.
func cutAfter(text string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(len(text)+100))
		io.WriteString(w, text)
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

func listed(seq int, whole bool, hosts ...string) string {
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

// lines keeps what is logged and tells when the list of version 12 is.
type lines struct {
	mu    sync.Mutex
	text  strings.Builder
	taken chan struct{}
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if strings.Contains(string(p), "seq=12") {
		close(l.taken)
	}
	return l.text.Write(p)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// Whatever discovery answers in place of a list, the last good one holds, a reason is logged, and discovery is
// asked again until it tells a good one.
func TestTheLastGoodListHoldsThroughABadDiscovery(t *testing.T) {
	good := listed(7, true, "a", "b")
	for name, act := range map[string]func(http.ResponseWriter, *http.Request){
		"refuses":                  func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) },
		"is cut in a list":         cutAfter(good[:len(good)-20]),
		"garbles the text":         says("\x00\xff{{{\n"),
		"says null":                says("null\n"),
		"says an empty object":     says("{}\n"),
		"names no hosts":           says(`{"seq":9,"whole":true}` + "\n"),
		"garbles all entries":      says(strings.ReplaceAll(listed(9, true, "a", "b"), "127.0.0.1:1", "?")),
		"names hosts of no kind":   says(strings.ReplaceAll(listed(9, true, "a", "b"), `"class":"m"`, `"class":"q"`)),
		"tells an older version":   says(listed(3, false, "a=draining")),
		"says a line without end":  says("{\"seq\":9,\"whole\":true,\"hosts\":[" + strings.Repeat(" ", 2<<10)),
		"stops inside a list":      says(good[:len(good)-20] + "\n\n"),
		"answers with other types": says(`{"seq":"9","whole":1,"hosts":{}}` + "\n"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			log := &lines{taken: make(chan struct{})}
			logger := slog.New(slog.NewTextHandler(log, nil))
			c, _ := core.New(decide.Settings{Fronts: 1, Kinds: []decide.Kind{{Role: decide.Reader}}}, 1, nil, quiet)
			d := NewDiscovery(Names{Kinds: []string{"m"}, Zones: []string{"a"}}, c, 1<<10, logger)
			defer d.Close()
			held := make(chan error, 1)
			check := func(w http.ResponseWriter, r *http.Request) { // asked again: what did the bad answer leave?
				var err error
				for _, id := range []string{"a", "b"} {
					if got, ok := c.Worker(id); !ok || got.State != decide.Ready {
						err = fmt.Errorf("%s is %+v, listed %v", id, got, ok)
					}
				}
				select {
				case held <- err:
				default:
				}
				says(listed(12, true, "c"))(w, r)
			}
			first := func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, good) }
			m := newMoody(t, first, act, check)
			d.Follow(m.Listener.Addr().String(), 1)
			select {
			case err := <-held:
				if err != nil {
					t.Error(err)
				}
			case <-time.After(time.Minute):
				t.Fatal("not asked again")
			}
			select {
			case <-log.taken:
			case <-time.After(time.Minute):
				t.Fatal("the good list is not taken")
			}
			if !c.Known("c") || c.Known("a") {
				t.Error("the good list after it is not what holds")
			}
			if text := log.String(); strings.Count(text, "watch ended") < 2 || !strings.Contains(text, "err=") {
				t.Errorf("no reason logged: %s", text)
			}
		})
	}
}

// One entry that can't be read must not take its worker out of a whole list, nor keep the others' news back.
func TestAGarbledEntryKeepsItsWorker(t *testing.T) {
	c, _ := core.New(decide.Settings{Fronts: 1, Kinds: []decide.Kind{{Role: decide.Reader}}}, 1, nil, quiet)
	d := NewDiscovery(Names{Kinds: []string{"m"}, Zones: []string{"a"}}, c, 0, quiet)
	ctx := t.Context()
	take := func(text string) error {
		l, err := parseList([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		return d.take(ctx, l)
	}
	if err := take(listed(1, true, "a", "b", "c")); err != nil {
		t.Fatal(err)
	}
	if err := take(listed(2, true, "a=???", "b=draining", "x=???")); err != nil {
		t.Error(err)
	}
	if w, ok := c.Worker("a"); !ok || w.State != decide.Ready {
		t.Errorf("a is %+v, %v: its entry could not be read", w, ok)
	}
	if w, _ := c.Worker("b"); w.State != decide.Draining {
		t.Error("b's drain was lost with a's entry")
	}
	if c.Known("c") || c.Known("x") {
		t.Error("c left the list, x never was in it")
	}
}

// indented is a list as it may come too: over many lines, with empty ones between lists.
func indented(t *testing.T, text string) string {
	t.Helper()
	var b bytes.Buffer
	if err := json.Indent(&b, []byte(text), "", "  "); err != nil {
		t.Fatal(err)
	}
	return "\n" + b.String() + "\n\n"
}

// A list over many lines is a list: whoever reads lines only is told of no start and of no drain, and sends to cold
// workers as if they were warm.
func TestListsMayComeIndented(t *testing.T) {
	c, _ := core.New(decide.Settings{Fronts: 1, Kinds: []decide.Kind{{Role: decide.Reader}}}, 1, nil, quiet)
	log := &lines{taken: make(chan struct{})}
	d := NewDiscovery(Names{Kinds: []string{"m"}, Zones: []string{"a"}}, c, 0, slog.New(slog.NewTextHandler(log, nil)))
	defer d.Close()
	hosts := make([]string, 1024)
	for i := range hosts {
		hosts[i] = fmt.Sprintf("s-%08x", i)
	}
	all := listed(10, true, hosts...)
	m := newMoody(t, says(all+indented(t, all)+indented(t, listed(11, false, "s-00000003=draining"))+
		listed(12, false, append(hosts[4:], "s-00000000=removed")...)))
	d.Follow(m.Listener.Addr().String(), 0)
	select {
	case <-log.taken:
	case <-time.After(time.Minute):
		t.Fatalf("not taken: %s", log)
	}
	if w, _ := c.Worker("s-00000003"); w.State != decide.Draining {
		t.Error("the drain in an indented change was not heard")
	}
	if w, ok := c.Worker("s-00000000"); ok && w.State == decide.Ready || !c.Known("s-000003ff") {
		t.Error("the change of all was not taken")
	}
}

// SIGHUP names another address while a list of the old one is in flight. What was taken before holds until the new one has
// told; what comes after it changes nothing, however far it had been read.
func TestAMoveCrossesAListOfTheOldAddress(t *testing.T) {
	c, _ := core.New(decide.Settings{Fronts: 1, Kinds: []decide.Kind{{Role: decide.Reader}}}, 1, nil, quiet)
	log := &lines{taken: make(chan struct{})}
	d := NewDiscovery(Names{Kinds: []string{"m"}, Zones: []string{"a"}}, c, 0, slog.New(slog.NewTextHandler(log, nil)))
	defer d.Close()
	old, err := parseList([]byte(listed(50, true, "old")))
	if err != nil {
		t.Fatal(err)
	}
	before, move := context.WithCancel(t.Context())
	if err := d.take(before, old); err != nil || !c.Known("old") {
		t.Fatalf("the old address's list was not taken: %v", err)
	}
	m := newMoody(t, says(listed(10, true, "a")), says(listed(11, false, "b")+listed(12, false, "c=draining")))
	d.mu.Lock()
	d.addr, d.stop = "old", move
	d.mu.Unlock()
	d.Follow(m.Listener.Addr().String(), 50)
	select {
	case <-log.taken:
	case <-time.After(time.Minute):
		t.Fatalf("not taken: %s", log)
	}
	if err := d.take(before, old); err == nil {
		t.Error("the old address's list was taken after the move")
	}
	if c.Known("old") || !c.Known("a") || !c.Known("c") {
		t.Error("the new address's list is not what holds")
	}
}
