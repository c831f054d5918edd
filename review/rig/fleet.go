package rig

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Attempt is an attempt whose last byte has arrived at a worker.
type Attempt struct {
	ID, Class, Worker string
	Read              bool
	Number            int // of the attempts of this id at this stage, from 0
}

// Plan is what a worker does with an attempt. The zero value reads at once, or answers with one token at once.
type Plan struct {
	Wait      time.Duration // before the answer to a read, or the first token, the refusal or the reset of a write
	StateGone bool          // a write is turned away, as its reader has lost the state; it does not run
	Reset     bool          // a write runs, and its connection is reset before the first token
	Tokens    int           // of a write's answer
	Interval  time.Duration // between two tokens
}

// Run is a write that has run.
type Run struct {
	Worker string
	At     time.Duration // when its last byte had arrived
	CutAt  time.Duration // when the other side gave its stream up, 0 if it did not
}

// host is a worker's entry in discovery's list.
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

// Fleet is the workers of a deployment and a discovery service that lists them.
type Fleet struct {
	Site      Site
	Discovery string // address
	rig       *Rig
	plan      func(Attempt) Plan
	hosts     []host

	mu       sync.Mutex
	held     map[string]bool // states that wait for a writer, by request id
	attempts map[string]int  // by stage and id
	runs     map[string][]*Run
}

// StartFleet starts workers that act by plan, and discovery. The workers' names are reader-0, ..., writer-0, ...
func (r *Rig) StartFleet(site Site, readers, writers int, plan func(Attempt) Plan) (*Fleet, error) {
	f := &Fleet{Site: site, rig: r, plan: plan, held: make(map[string]bool), attempts: make(map[string]int), runs: make(map[string][]*Run)}
	for n := range readers + writers {
		name, kind := fmt.Sprintf("reader-%d", n), site.Readers
		if n >= readers {
			name, kind = fmt.Sprintf("writer-%d", n-readers), site.Writers
		}
		addr, err := serve(func(w http.ResponseWriter, q *http.Request) { f.serveWorker(w, q, name, n < readers) })
		if err != nil {
			return nil, err
		}
		f.hosts = append(f.hosts, host{Host: name, Dial: addr, Site: site.Zone, Class: kind, Block: 1, Health: "up", Share: 1})
	}
	var err error
	f.Discovery, err = serve(f.serveDiscovery)
	return f, err
}

// serve serves HTTP on a free loopback address until the case ends.
func serve(handler http.HandlerFunc) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go http.Serve(l, handler)
	return l.Addr().String(), nil
}

// serveDiscovery serves the list, which does not change, and the watch on it with an empty line every 2 s.
func (f *Fleet) serveDiscovery(w http.ResponseWriter, q *http.Request) {
	text, _ := json.Marshal(map[string]any{"seq": 1, "whole": true, "hosts": f.hosts})
	for line := append(text, '\n'); ; line = []byte("\n") {
		if _, err := w.Write(line); err != nil || q.URL.Query().Get("watch") == "" {
			return
		}
		http.NewResponseController(w).Flush()
		select {
		case <-time.After(2 * time.Second):
		case <-q.Context().Done():
			return
		}
	}
}

// serveWorker serves the workers' side of the protocol.
func (f *Fleet) serveWorker(w http.ResponseWriter, q *http.Request, name string, reader bool) {
	if id, ok := strings.CutPrefix(q.URL.Path, "/v1/holds/"); ok && q.Method == http.MethodDelete {
		f.rig.Log("%s: release of %s, a state was held: %v", name, id, f.takeState(id))
		w.WriteHeader(http.StatusNoContent)
		return
	}
	if q.URL.Path == "/stats" && f.Site.Probes {
		io.WriteString(w, "cpu_share=0.10,pending=0")
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil || q.Header.Get("X-Txn") == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	a := Attempt{ID: q.Header.Get("X-Txn"), Class: q.Header.Get("X-Lane"), Worker: name, Read: reader}
	stage := "write"
	if reader {
		stage = "read"
	}
	f.mu.Lock()
	a.Number = f.attempts[stage+a.ID]
	f.attempts[stage+a.ID]++
	f.mu.Unlock()
	f.rig.Log("%s: %s of %s (%s) has arrived", name, stage, a.ID, a.Class)
	p := f.plan(a)
	switch {
	case reader:
		f.read(w, q, a, p)
	case p.StateGone:
		f.takeState(a.ID)
		time.Sleep(p.Wait)
		f.turnAwayStateless(w, a)
	case !f.takeState(a.ID):
		f.turnAwayStateless(w, a)
	default:
		f.write(w, q, a, p)
	}
}

// takeState removes the state of a request and reports whether there was one.
func (f *Fleet) takeState(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	held := f.held[id]
	delete(f.held, id)
	return held
}

// turnAwayStateless turns a write away that finds no state.
func (f *Fleet) turnAwayStateless(w http.ResponseWriter, a Attempt) {
	f.rig.Log("%s: write of %s finds no state and is turned away", a.Worker, a.ID)
	w.Header().Set("X-Turned-Away", "1")
	w.WriteHeader(http.StatusGone)
}

// read answers a read, whose state is held from then on.
func (f *Fleet) read(w http.ResponseWriter, q *http.Request, a Attempt, p Plan) {
	select {
	case <-time.After(p.Wait):
	case <-q.Context().Done():
		f.rig.Log("%s: read of %s was given up by the other side", a.Worker, a.ID)
		return
	}
	f.mu.Lock()
	f.held[a.ID] = true
	f.mu.Unlock()
	w.WriteHeader(http.StatusAccepted)
	io.WriteString(w, `{"cached_tokens":0}`)
}

// write runs a write and streams its answer.
func (f *Fleet) write(w http.ResponseWriter, q *http.Request, a Attempt, p Plan) {
	run := &Run{Worker: a.Worker, At: f.rig.Since()}
	f.mu.Lock()
	f.runs[a.ID] = append(f.runs[a.ID], run)
	nth := len(f.runs[a.ID])
	f.mu.Unlock()
	f.rig.Log("%s: RUNS %s (%s), run %d of this id", a.Worker, a.ID, a.Class, nth)
	if p.Reset {
		time.Sleep(p.Wait)
		f.rig.Log("%s: %s has run, and its connection is reset before the first token", a.Worker, a.ID)
		reset(w)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	tokens, wait := max(1, p.Tokens), p.Wait
	for i := range tokens {
		select {
		case <-time.After(wait):
		case <-q.Context().Done():
			f.mu.Lock()
			run.CutAt = f.rig.Since()
			f.mu.Unlock()
			f.rig.Log("%s: stream of %s was given up by the other side after %d of %d tokens", a.Worker, a.ID, i, tokens)
			return
		}
		fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%s/%d \"},\"finish_reason\":null}]}\n\n", a.Worker, i)
		http.NewResponseController(w).Flush()
		wait = p.Interval
	}
	fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n"+
		"data: {\"choices\":[],\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":%d,\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\n"+
		"data: [DONE]\n\n", tokens)
	f.rig.Log("%s: stream of %s is complete, %d tokens", a.Worker, a.ID, tokens)
}

// reset ends a connection with a TCP reset.
func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// Runs returns the writes of an id that have run.
func (f *Fleet) Runs(id string) []Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	var runs []Run
	for _, run := range f.runs[id] {
		runs = append(runs, *run)
	}
	return runs
}
