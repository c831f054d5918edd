// Command second plays the cases of the second review: each starts routers of this project with the command of the deploy
// file, beside stand-ins for workers, discovery, clients and the platform, all on loopback. It exits with 1 if the rule of
// the case was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// host is an entry of discovery's list.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs int64   `json:"born_ms"`
}

// fleet is a set of workers and the discovery service that lists them.
type fleet struct {
	record    *record
	readTime  time.Duration
	interval  time.Duration          // between two events of a stream
	events    func(id string) int    // of the stream for a request
	onRun     func(id, at string)    // called when a writer runs a request
	discovery string                 // address
	spoil     func(id string) []byte // a second answer that follows the stream for a request some milliseconds late, nil: none
	firstWait time.Duration          // until the first event of a stream
	probes    bool                   // GET /stats answers with a load report

	mu      sync.Mutex
	hosts   []host
	seq     int
	states  map[string]string // reader that holds the state of a request
	changed chan struct{}     // closed at a change of the list
}

// startFleet starts readers and writers and their discovery service.
func startFleet(r *record, readers, writers int) (*fleet, error) {
	f := &fleet{record: r, readTime: 30 * time.Millisecond, interval: 60 * time.Millisecond, seq: 1, states: make(map[string]string),
		events: func(string) int { return 10 }, onRun: func(string, string) {}, spoil: func(string) []byte { return nil },
		changed: make(chan struct{})}
	for i := range readers + writers {
		kind := "reader"
		if i >= readers {
			kind = "writer"
		}
		name := fmt.Sprintf("s-%s-%d", kind, i)
		addr, err := serveHTTP(func(w http.ResponseWriter, r *http.Request) { f.work(w, r, name, kind) })
		if err != nil {
			return nil, err
		}
		f.hosts = append(f.hosts, host{Host: name, Dial: addr, Site: "here", Class: kind, Block: 1, Health: "up", Share: 1})
	}
	var err error
	f.discovery, err = serveHTTP(f.list)
	return f, err
}

// serveHTTP serves HTTP/1.1 on a free loopback port until the program ends.
func serveHTTP(handle http.HandlerFunc) (addr string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handle, IdleTimeout: 15 * time.Second, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, &answering{conn: c})
	}}
	go server.Serve(l)
	return l.Addr().String(), nil
}

type connKey struct{}

// answering is the state of a connection at a worker. A second answer is sent only between two answers.
type answering struct {
	conn net.Conn
	mu   sync.Mutex
	busy bool // an answer has begun and not ended
}

func (a *answering) set(busy bool) {
	a.mu.Lock()
	a.busy = busy
	a.mu.Unlock()
}

// sendSecond sends a second answer unless another answer has begun. It reports whether it did.
func (a *answering) sendSecond(text []byte) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.busy {
		return false
	}
	_, err := a.conn.Write(text)
	return err == nil
}

// work serves one call to a worker.
func (f *fleet) work(w http.ResponseWriter, r *http.Request, name, kind string) {
	id := r.Header.Get("X-Txn")
	switch {
	case r.URL.Path == "/stats" && f.probes:
		io.WriteString(w, "cpu_share=0.10,pending=0,x0=0.10")
		return
	case r.Method == http.MethodDelete:
		id = strings.TrimPrefix(r.URL.Path, "/v1/holds/")
		f.mu.Lock()
		delete(f.states, id)
		f.mu.Unlock()
		w.WriteHeader(http.StatusNoContent)
		return
	case r.URL.Path != "/v1/chat/completions" || id == "":
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	if kind == "reader" {
		if sleep(r.Context(), f.readTime) {
			f.mu.Lock()
			f.states[id] = name
			f.mu.Unlock()
			w.WriteHeader(http.StatusAccepted)
			io.WriteString(w, `{"cached_tokens":0}`)
		}
		return
	}
	f.mu.Lock()
	_, held := f.states[id]
	delete(f.states, id)
	f.mu.Unlock()
	if !held {
		w.Header().Set("X-Turned-Away", "1")
		w.WriteHeader(http.StatusGone)
		return
	}
	f.stream(w, r, id, name)
}

// stream sends the answer to a request.
func (f *fleet) stream(w http.ResponseWriter, r *http.Request, id, name string) {
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	count := f.events(id)
	f.record.add("worker", id, "runs at %s, %d events", name, count)
	f.onRun(id, name)
	if !sleep(r.Context(), f.firstWait) {
		return
	}
	on := r.Context().Value(connKey{}).(*answering)
	on.set(true)
	for i := range count {
		finish := "null"
		if i == count-1 {
			finish = `"stop"`
		}
		fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%s \"},\"finish_reason\":%s}]}\n\n", id, finish)
		if out.Flush() != nil || !sleep(r.Context(), f.interval) {
			f.record.add("worker", id, "stream broken by the router after %d of %d events", i+1, count)
			return
		}
	}
	fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":300,\"completion_tokens\":%d,\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\ndata: [DONE]\n\n", count)
	f.record.add("worker", id, "stream complete")
	second := f.spoil(id)
	// The answer ends when this function returns; net/http writes its last chunk then.
	late := time.Duration(3+rand.IntN(18)) * time.Millisecond
	time.AfterFunc(time.Millisecond, func() {
		on.set(false)
		if second != nil {
			time.Sleep(late - time.Millisecond)
			f.record.add("worker", id, "second answer %v late, sent %v: %.40q", late, on.sendSecond(second), second)
		}
	})
}

// sleep returns false if ctx ended before the time was over.
func sleep(ctx context.Context, t time.Duration) bool {
	select {
	case <-time.After(t):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// list serves discovery's list and its watch: the whole list first, then each change as a whole list, an empty line every
// 2 s.
func (f *fleet) list(w http.ResponseWriter, r *http.Request) {
	out := http.NewResponseController(w)
	for {
		text, changed := f.listText()
		if _, err := w.Write(append(text, '\n')); err != nil || out.Flush() != nil || r.URL.Query().Get("watch") == "" {
			return
		}
		for waiting := true; waiting; {
			select {
			case <-changed:
				waiting = false
			case <-time.After(2 * time.Second):
				if _, err := io.WriteString(w, "\n"); err != nil || out.Flush() != nil {
					return
				}
			case <-r.Context().Done():
				return
			}
		}
	}
}

// listText returns the list as JSON, and a channel that is closed at its next change.
func (f *fleet) listText() ([]byte, chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	text, _ := json.Marshal(map[string]any{"seq": f.seq, "whole": true, "hosts": f.hosts})
	return text, f.changed
}
