// Package enginehost serves emulated engines on loopback sockets: it speaks the platform's worker protocol to routers,
// publishes each reader's cache events to them, and serves the list of engines as discovery does. Tests, the example
// and cmd/engine use it; the router doesn't.
//
// It only moves the engines' clocks and translates between them and the protocols. The behavior is that of package engine.
package enginehost

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"rowanyard/internal/engine"
	"rowanyard/internal/kvevents"
	"rowanyard/internal/wallclock"
)

const (
	maxBodyBytes      = 256 << 10
	reportInterval    = 20 * time.Millisecond
	heartbeatInterval = 500 * time.Millisecond
	maxKeptBatches    = 512 // for replays; a publisher that is asked for older ones sends a snapshot
	tokenText         = "word "
)

// Options configure a Cluster.
type Options struct {
	Readers, Writers    int
	Seed                uint64
	ReaderMemoryKTokens float64         // memory of each reader in thousands of tokens; 0 = drawn within the range of its kind
	Kinds               json.RawMessage // kinds of engines; nil = the built-in ones
	ReportAddrs         []string        // addresses of routers to which cache events are published
	BatchLossRate       float64         // share of batches that are never sent, for tests
}

// Cluster is a set of emulated engines with a discovery service that lists them.
type Cluster struct {
	DiscoveryAddr string // address of the discovery service
	options       Options
	instances     []*Instance
	mu            sync.Mutex // guards all engines and the fields below
	startTime     time.Time
	stateHolders  map[string]*Instance // the reader at which a request's state waits, by request id
	seq           int
	watchers      []chan struct{}
	closers       []func()
	cancel        context.CancelFunc
	ctx           context.Context
}

// Instance is one engine with its listener.
type Instance struct {
	ID, Kind, Addr            string
	cluster                   *Cluster
	engine                    *engine.Engine
	calls                     map[string]*call
	timer                     *time.Timer
	bornMs                    int64
	down                      bool
	batches                   [][]byte // published batches; the first has number firstSeq
	firstSeq                  uint64
	incarnation               uint64
	wake                      chan struct{} // signals that there is something to publish
	listener                  net.Listener
	server                    *http.Server
	PromptsRead, CachedTokens int // number of prompts processed, and how many of their tokens were found in the cache
	TotalPromptTokens         int
}

// call is a request that an engine is serving.
type call struct {
	events       chan engine.Event
	outputTokens int
}

// Start starts the engines and the discovery service. Each reader publishes to all ReportAddrs.
func Start(o Options) (*Cluster, error) {
	kinds, err := engine.ParseKinds(o.Kinds)
	if err != nil {
		return nil, err
	}
	cl := &Cluster{options: o, startTime: time.Now(), stateHolders: make(map[string]*Instance), seq: 1}
	cl.ctx, cl.cancel = context.WithCancel(context.Background())
	for i := range max(1, o.Readers) + max(1, o.Writers) {
		name := "reader"
		if i >= max(1, o.Readers) {
			name = []string{"writer-a", "writer-b"}[i%2]
		}
		kind, ok := kinds[name]
		if !ok {
			return nil, fmt.Errorf("engine kinds: no %s", name)
		}
		settings := kind.Draw(o.Seed + uint64(i))
		if o.ReaderMemoryKTokens > 0 && settings.Prefill {
			settings.MemoryBlocks = max(1, int(o.ReaderMemoryKTokens*1000)/settings.BlockTokens)
		}
		inst := &Instance{ID: fmt.Sprintf("%s-%d", name, i), Kind: name, cluster: cl, calls: make(map[string]*call), wake: make(chan struct{}, 1), incarnation: wallclock.Milliseconds()}
		inst.engine = engine.New(settings, inst.incarnation)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			cl.Close()
			return nil, err
		}
		inst.Addr = l.Addr().String()
		inst.serve(l)
		cl.instances = append(cl.instances, inst)
		if settings.Prefill {
			for _, addr := range o.ReportAddrs {
				go inst.publish(cl.ctx, addr)
			}
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cl.Close()
		return nil, err
	}
	cl.DiscoveryAddr = l.Addr().String()
	discovery := &http.Server{Handler: http.HandlerFunc(cl.serveDiscovery)}
	go discovery.Serve(l)
	cl.closers = append(cl.closers, func() { discovery.Close() })
	go cl.collectReports()
	return cl, nil
}

// Close stops the publishers and all servers.
func (cl *Cluster) Close() {
	cl.cancel()
	for _, c := range cl.closers {
		c()
	}
	for _, inst := range cl.instances {
		inst.server.Close()
	}
}

// Instances returns the cluster's engines, readers first.
func (cl *Cluster) Instances() []*Instance { return cl.instances }

func (cl *Cluster) now() time.Duration { return time.Since(cl.startTime) }

func (inst *Instance) serve(l net.Listener) {
	inst.listener = l
	inst.server = &http.Server{Handler: inst}
	go inst.server.Serve(l)
}

// Kill ends the engine's process like a crash: its connections break, and discovery isn't notified.
func (inst *Instance) Kill() {
	inst.cluster.mu.Lock()
	inst.engine.Crash(inst.cluster.now())
	inst.processEvents()
	inst.down = true
	inst.cluster.mu.Unlock()
	inst.server.Close()
}

// Restart starts a killed engine again at its old address, cold and with an empty cache.
func (inst *Instance) Restart() error {
	l, err := net.Listen("tcp", inst.Addr)
	if err != nil {
		return err
	}
	cl := inst.cluster
	cl.mu.Lock()
	inst.down = false
	inst.incarnation = max(inst.incarnation+1, wallclock.Milliseconds())
	inst.bornMs = int64(inst.incarnation)
	inst.batches, inst.firstSeq = nil, 0
	inst.engine.Start(cl.now(), inst.incarnation)
	inst.processEvents()
	cl.seq++
	for _, w := range cl.watchers {
		select {
		case w <- struct{}{}:
		default:
		}
	}
	cl.mu.Unlock()
	inst.serve(l)
	return nil
}

// processEvents delivers the engine's events and sets a timer for its next step. The caller holds the lock.
func (inst *Instance) processEvents() {
	cl := inst.cluster
	inst.engine.Advance(cl.now())
	for _, ev := range inst.engine.Events() {
		if ev.Kind == engine.PrefillDone {
			cl.stateHolders[ev.ID] = inst
			inst.PromptsRead++
			inst.CachedTokens += ev.CachedTokens
		}
		if c := inst.calls[ev.ID]; c != nil {
			select {
			case c.events <- ev:
			default: // the handler has stopped reading: drop the event
			}
		}
	}
	if at, ok := inst.engine.NextStep(); ok {
		wait := at - cl.now()
		if inst.timer == nil {
			inst.timer = time.AfterFunc(wait, func() {
				cl.mu.Lock()
				defer cl.mu.Unlock()
				inst.processEvents()
			})
		} else {
			inst.timer.Reset(wait)
		}
	}
}

// ServeHTTP implements the worker's side of the platform's protocol.
func (inst *Instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id, ok := strings.CutPrefix(r.URL.Path, "/v1/holds/"); ok {
		if r.Method == http.MethodDelete {
			inst.cluster.releaseState(id)
			w.WriteHeader(http.StatusNoContent)
			return
		}
		w.WriteHeader(http.StatusConflict) // reservations aren't supported
		return
	}
	if r.URL.Path == "/stats" {
		inst.cluster.mu.Lock()
		inst.engine.Advance(inst.cluster.now())
		slots, memory, waiting := inst.engine.Load()
		inst.cluster.mu.Unlock()
		fmt.Fprintf(w, "util=%.3f,queue=%d,x0=%.3f", min(1, slots), waiting, memory)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	prompt, outputTokens, ok := parseRequest(body)
	id := r.Header.Get("X-Txn")
	if err != nil || !ok || id == "" || len(body) > maxBodyBytes {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	reject := func(code int) { w.Header().Set("X-Turned-Away", "1"); w.WriteHeader(code) }
	c := &call{events: make(chan engine.Event, outputTokens+8), outputTokens: outputTokens}
	cl := inst.cluster
	cl.mu.Lock()
	if inst.calls[id] != nil {
		cl.mu.Unlock()
		reject(http.StatusServiceUnavailable)
		return
	}
	settings := inst.engine.Settings()
	holder := cl.stateHolders[id]
	inst.calls[id] = c
	inst.TotalPromptTokens += len(prompt) / kvevents.BytesPerToken
	inst.engine.Submit(cl.now(), engine.Request{ID: id, BlockHashes: engine.BlockHashes(prompt, settings.BlockTokens), PromptTokens: len(prompt) / kvevents.BytesPerToken, OutputTokens: outputTokens, StateReady: holder != nil})
	inst.processEvents()
	cl.mu.Unlock()
	defer func() {
		cl.mu.Lock()
		defer cl.mu.Unlock()
		delete(inst.calls, id)
		inst.engine.Cancel(cl.now(), id)
		inst.processEvents()
	}()
	for generated := 0; ; {
		var ev engine.Event
		select {
		case ev = <-c.events:
		case <-r.Context().Done():
			return
		}
		switch ev.Kind {
		case engine.Rejected:
			if ev.Reason == "no state" {
				reject(http.StatusGone)
			} else {
				reject(http.StatusServiceUnavailable)
			}
			return
		case engine.PrefillDone:
			w.WriteHeader(http.StatusAccepted)
			fmt.Fprintf(w, `{"cached_tokens":%d}`, ev.CachedTokens)
			return
		case engine.FirstToken, engine.NextToken:
			if ev.Kind == engine.FirstToken {
				cl.releaseState(id) // the writer has fetched the state: the reader may free its memory
				w.Header().Set("Content-Type", "text/event-stream")
			}
			generated++
			fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":%s}]}\n\n", tokenText, finishReason(generated == outputTokens))
			if http.NewResponseController(w).Flush() != nil {
				return
			}
		case engine.Done:
			fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\ndata: [DONE]\n\n",
				len(prompt)/kvevents.BytesPerToken, generated)
			return
		case engine.Lost, engine.Dropped, engine.Stopped:
			panic(http.ErrAbortHandler)
		}
	}
}

// finishReason returns the JSON value of finish_reason in an event of the answer.
func finishReason(last bool) string {
	if last {
		return `"stop"`
	}
	return "null"
}

// parseRequest returns the prompt of a request's body and the length of its answer.
func parseRequest(body []byte) (prompt []byte, outputTokens int, ok bool) {
	var request struct {
		Max      int `json:"max_tokens"`
		Messages []struct {
			Content string `json:"content"`
		} `json:"messages"`
	}
	if json.Unmarshal(body, &request) != nil || len(request.Messages) == 0 || request.Max < 0 || request.Max > 4096 {
		return nil, 0, false
	}
	var text bytes.Buffer
	for _, m := range request.Messages {
		text.WriteString(m.Content)
	}
	return text.Bytes(), min(max(1, request.Max), 400), true
}

// releaseState discards a request's state at the reader that holds it, if there is one.
func (cl *Cluster) releaseState(id string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if holder := cl.stateHolders[id]; holder != nil {
		delete(cl.stateHolders, id)
		holder.engine.Release(cl.now(), id)
		holder.processEvents()
	}
}

// HeldStates returns the number of states that wait at readers.
func (cl *Cluster) HeldStates() int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return len(cl.stateHolders)
}

// Hosts returns the list of engines in discovery's JSON form.
func (cl *Cluster) Hosts() []map[string]any {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	var hosts []map[string]any
	for i, inst := range cl.instances {
		hosts = append(hosts, map[string]any{"host": inst.ID, "dial": inst.Addr, "site": "here", "class": inst.Kind, "block": i % 2, "health": "up", "share": 1.0, "born_ms": inst.bornMs})
	}
	return hosts
}

// serveDiscovery serves the list of engines. A watch gets the whole list again after each change.
func (cl *Cluster) serveDiscovery(w http.ResponseWriter, r *http.Request) {
	wake := make(chan struct{}, 1)
	cl.mu.Lock()
	cl.watchers = append(cl.watchers, wake)
	cl.mu.Unlock()
	defer func() {
		cl.mu.Lock()
		defer cl.mu.Unlock()
		cl.watchers = slices.DeleteFunc(cl.watchers, func(c chan struct{}) bool { return c == wake })
	}()
	for {
		hosts := cl.Hosts()
		cl.mu.Lock()
		seq := cl.seq
		cl.mu.Unlock()
		line, _ := json.Marshal(map[string]any{"seq": seq, "whole": true, "hosts": hosts})
		w.Write(append(line, '\n'))
		http.NewResponseController(w).Flush()
		if r.URL.Query().Get("watch") == "" {
			return
		}
		keepAlive := time.NewTicker(2 * time.Second)
	wait:
		for {
			select {
			case <-wake:
				break wait
			case <-keepAlive.C:
				w.Write([]byte("\n"))
				http.NewResponseController(w).Flush()
			case <-r.Context().Done():
				keepAlive.Stop()
				return
			}
		}
		keepAlive.Stop()
	}
}

// Config returns a complete configuration file for a router in front of this cluster.
func (cl *Cluster) Config(listen string, settings json.RawMessage) []byte {
	text, _ := json.MarshalIndent(map[string]any{"name": "toy", "listen": listen, "discovery": cl.DiscoveryAddr, "seed": strconv.FormatUint(cl.options.Seed+1, 16),
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":  map[string]any{"seq": 1, "whole": true, "hosts": cl.Hosts()}, "settings": settings}, "", "  ")
	return text
}

// Settings returns settings of a router, in the form that Config takes.
func Settings() json.RawMessage {
	return json.RawMessage(`{"me":0,"n_instances":1,"granularity":2000,"zone":0,"zones":["here"],
"host_types":["reader","writer-a","writer-b"],"discovery":"pushed","report":{"names":["util","queue","x0"],"source":"on_probe"},
"request_classes":[
{"name":"draft-reply","credit":1,"effect":"read_like","hard_limit":5000000,"target":1200000,"late_value":0.1,"streamed":true},
{"name":"send-message","credit":2,"effect":"non_idempotent","hard_limit":15000000,"target":3000000,"late_value":0.1,"streamed":true}],
"domain":{"kind_role":["read","write","write"],"kv_tokens":[220000,170000,150000],"pin_limit":300000,"token_aim":[60000,80000],
"aim_us_per_1000_prompt_tokens":[40000,40000]},
"limits":{"cancelling":true,"send_cap":4,"probing":true,"conn_idle":15000000,"connect_timeout":250000,
"max_retry_after":500000,"retry_after":true},
"rules":{"cold_from":0.34,"ramp_time":13000000,"overload_factor":2.5,"fall":2000000,"drain_grace":500000}}`)
}
