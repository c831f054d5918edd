// Package standin is a toy deployment on loopback: readers and writers over HTTP or gRPC, and a
// discovery that lists them. Tests and the example folder use it; the router never does. It counts
// what the rules are about (effects, states that are still held) and misbehaves on request. It must
// never be taken for a measure of speed.
package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"rowanyard/internal/grpcfront"
	"rowanyard/internal/grpcfront/pb"
)

// Fault is what goes wrong with one call.
type Fault int

// The faults. Each but None and TurnAway may leave the router in doubt whether the call has run.
const (
	None       Fault = iota
	TurnAway         // 503 or UNAVAILABLE, marked as turned away: it has not run
	Error            // 500 or INTERNAL
	ResetEarly       // reset before the first token, a write after its effect
	ResetLate        // reset after some tokens
	Hang             // nothing comes until the caller leaves
	Stop             // the stream falls silent after some tokens
)

// Options describe a Fleet. Zero values make a small healthy one.
type Options struct {
	Readers, Writers int
	// Listed is how many workers are listed, where that is more than there are: several share an address.
	Listed    int
	GRPC      bool          // the workers speak gRPC
	Tokens    int           // of each answer
	TokenTime time.Duration // between two of them
	ReadTime  time.Duration
	// Behave says what goes wrong with the n-th call of a stage ("read" or "write") for a message.
	Behave func(stage, key string, n int) Fault
	// Via is where a worker at an address is listed instead, such as a proxy in front of it; nil: at its own.
	Via func(host, address string) string
	// Only starts the workers of one kind, "reader" or "writer"; "": of both.
	Only string
	// States is where read states are kept, for workers in several processes; nil: in this Fleet.
	States States
	// Told is told how long a router says that it will wait for an attempt; nil: nobody is.
	Told func(id, host string, left time.Duration)
	// Seen is told what happens at a worker, under the Fleet's lock: "out" and "in" round each attempt, "held" and
	// "freed" of a state, "effect" of a write.
	Seen func(what, id, class, host string)
}

// States is where read states are kept, by request id. Each says whether one was there, or could be kept.
type States interface {
	Hold(id, host string) bool
	Fetch(id, host string) bool
	Release(id string) bool
}

// Fleet is a running toy deployment.
type Fleet struct {
	Options
	Discovery string // its address
	mu        sync.Mutex
	hosts     []Host
	seq       int
	watchers  map[chan struct{}]bool
	held      map[string]bool // by request id
	calls     map[string]int  // by stage and message
	at        map[string]int  // calls by worker
	effects   map[string]int  // writes that have run, by message
	writes    map[string]int  // by request id
	closers   []func()
	stop      chan struct{}
}

// Host is one entry of its list.
type Host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs int64   `json:"born_ms"`
}

// Start starts a Fleet.
func Start(o Options) (*Fleet, error) {
	o.Readers, o.Writers, o.Tokens = max(1, o.Readers), max(1, o.Writers), max(1, o.Tokens)
	f := &Fleet{Options: o, watchers: make(map[chan struct{}]bool), held: make(map[string]bool),
		calls: make(map[string]int), at: make(map[string]int), effects: make(map[string]int), writes: make(map[string]int), stop: make(chan struct{}), seq: 1}
	if f.States == nil {
		f.States = localStates{f}
	}
	for i := range o.Readers + o.Writers {
		kind := "reader"
		if i >= o.Readers {
			kind = "writer"
		}
		if o.Only != "" && kind != o.Only {
			continue
		}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		h := Host{Host: fmt.Sprintf("%s-%d", kind, i), Dial: l.Addr().String(), Site: "here", Class: kind, Block: 1, Health: "up", Share: 1}
		if o.Via != nil {
			h.Dial = o.Via(h.Host, h.Dial)
		}
		f.hosts = append(f.hosts, h)
		w := &worker{fleet: f, name: h.Host, reader: kind == "reader"}
		if o.GRPC {
			g := grpc.NewServer()
			pb.RegisterModelServerServer(g, w)
			go g.Serve(l)
			f.closers = append(f.closers, g.Stop)
			continue
		}
		s := &http.Server{Handler: w}
		go s.Serve(l)
		f.closers = append(f.closers, func() { s.Close() })
	}
	for i := len(f.hosts); i < o.Listed; i++ {
		h := f.hosts[i%(o.Readers+o.Writers)]
		h.Host, h.Block = fmt.Sprintf("%s-%d", h.Class, i), i/5
		f.hosts = append(f.hosts, h)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.Discovery = l.Addr().String()
	s := &http.Server{Handler: http.HandlerFunc(f.discovery)}
	go s.Serve(l)
	f.closers = append(f.closers, func() { s.Close() })
	return f, nil
}

// Close ends it.
func (f *Fleet) Close() {
	close(f.stop)
	for _, c := range f.closers {
		c()
	}
}

// Settings is the settings object of the toy deployment.
func Settings() json.RawMessage {
	return json.RawMessage(`{"me":0,"n_instances":1,"granularity":2000,"zone":0,"zones":["here"],
"host_types":["reader","writer"],"discovery":"pushed","report":{"names":["cpu_share","pending"],"source":"on_probe"},
"request_classes":[
{"name":"draft-reply","credit":1,"effect":"read_like","hard_limit":5000000,"target":1200000,"late_value":0.1,"streamed":true},
{"name":"send-message","credit":2,"effect":"non_idempotent","hard_limit":15000000,"target":3000000,"late_value":0.1,"streamed":true}],
"domain":{"kind_role":["read","write"],"kv_tokens":[200000,150000],"pin_limit":300000,"token_aim":[60000,80000],
"aim_us_per_1000_prompt_tokens":[40000,40000]},
"limits":{"cancelling":true,"send_cap":4,"probing":true,"conn_idle":15000000,"connect_timeout":250000,
"max_retry_after":500000,"retry_after":true},
"rules":{"cold_from":0.34,"ramp_time":13000000,"overload_factor":2.5,"fall":2000000,"drain_grace":500000}}`)
}

// Config is a whole configuration file for a router at this deployment.
func (f *Fleet) Config(listen string) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	text, _ := json.MarshalIndent(map[string]any{"name": "toy", "listen": listen, "discovery": f.Discovery,
		"seed": "1", "limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known": map[string]any{"seq": f.seq, "whole": true, "hosts": f.hosts}, "settings": Settings()}, "", "  ")
	return text
}

// Hosts lists the workers.
func (f *Fleet) Hosts() []Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Host(nil), f.hosts...)
}

// SetHealth changes a worker's health in the list and tells those that watch.
func (f *Fleet) SetHealth(host, health string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.hosts {
		if f.hosts[i].Host == host {
			f.hosts[i].Health = health
		}
	}
	f.seq++
	for w := range f.watchers {
		select {
		case w <- struct{}{}:
		default:
		}
	}
}

// Effects is how often each message has run at a writer.
func (f *Fleet) Effects() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make(map[string]int)
	for k, n := range f.effects {
		all[k] = n
	}
	return all
}

// Calls is how often a stage has been called for a message.
func (f *Fleet) Calls(stage, key string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[stage+" "+key]
}

// CallsAt is how often a worker has been sent anything to do.
func (f *Fleet) CallsAt(host string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.at[host]
}

// Held is how many states wait.
func (f *Fleet) Held() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.held)
}

// discovery serves the list and its changes.
func (f *Fleet) discovery(w http.ResponseWriter, r *http.Request) {
	wake := make(chan struct{}, 1)
	f.mu.Lock()
	f.watchers[wake] = true
	f.mu.Unlock()
	defer func() { f.mu.Lock(); delete(f.watchers, wake); f.mu.Unlock() }()
	for {
		f.mu.Lock()
		line, _ := json.Marshal(map[string]any{"seq": f.seq, "whole": true, "hosts": f.hosts})
		f.mu.Unlock()
		w.Write(append(line, '\n'))
		http.NewResponseController(w).Flush()
		if r.URL.Query().Get("watch") == "" {
			return
		}
		select {
		case <-wake:
		case <-f.stop:
			return
		case <-r.Context().Done():
			return
		}
	}
}

// call is one attempt at a worker, whichever way it came.
type call struct {
	id, class, key string
	fault          Fault
}

// Random makes a Behave that picks a fault from a hash of the seed and the call, so that the same
// messages meet the same faults in every run. Each of the faults has the given share.
func Random(seed uint64, share float64, faults ...Fault) func(string, string, int) Fault {
	return func(stage, key string, n int) Fault {
		h := fnv.New64a()
		fmt.Fprint(h, seed, stage, key, n)
		v := h.Sum64()
		v ^= v >> 29
		v *= 0xbf58476d1ce4e5b9
		at := float64(v>>11) / (1 << 53) / share
		if at < float64(len(faults)) {
			return faults[int(at)]
		}
		return None
	}
}

// worker is one reader or writer.
type worker struct {
	pb.UnimplementedModelServerServer
	fleet  *Fleet
	name   string
	reader bool
}

// enter counts a call and says what will go wrong with it.
func (w *worker) enter(id, class, key string) call {
	f := w.fleet
	stage := "write"
	if w.reader {
		stage = "read"
	}
	f.mu.Lock()
	n := f.calls[stage+" "+key]
	f.calls[stage+" "+key]++
	f.at[w.name]++
	f.see("out", id, class, w.name)
	f.mu.Unlock()
	c := call{id: id, class: class, key: key}
	if f.Behave != nil {
		c.fault = f.Behave(stage, key, n)
	}
	return c
}

// read keeps the state, unless the fault comes first.
func (w *worker) read(ctx context.Context, c call) {
	select {
	case <-time.After(w.fleet.ReadTime):
	case <-ctx.Done():
		return
	}
	if ctx.Err() != nil { // what a read that was called off leaves goes by itself
		return
	}
	if w.fleet.States.Hold(c.id, w.name) {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		w.fleet.see("held", c.id, c.class, w.name)
	}
}

// localStates keeps states in their Fleet.
type localStates struct{ fleet *Fleet }

// Hold implements States.
func (s localStates) Hold(id, _ string) bool {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	s.fleet.held[id] = true
	return true
}

// Fetch implements States.
func (s localStates) Fetch(id, _ string) bool { return s.Release(id) }

// Release implements States.
func (s localStates) Release(id string) bool {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	held := s.fleet.held[id]
	delete(s.fleet.held, id)
	return held
}

// see tells what happens; it is called under the lock.
func (f *Fleet) see(what, id, class, host string) {
	if f.Seen != nil {
		f.Seen(what, id, class, host)
	}
}

// fetch takes the state; from here on a write has its effect.
func (w *worker) fetch(c call) bool {
	f := w.fleet
	if !f.States.Fetch(c.id, w.name) {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.effects[c.class+" "+c.key]++
	f.writes[c.id]++
	f.see("freed", c.id, c.class, w.name)
	f.see("effect", c.id, c.class, w.name)
	return true
}

func (w *worker) release(id string) {
	if w.fleet.States.Release(id) {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		w.fleet.see("freed", id, "", w.name)
	}
}

// stream sends the answer's tokens, up to the fault.
func (w *worker) stream(ctx context.Context, c call, put func(i int, last bool) error) bool {
	for i := range w.fleet.Tokens {
		if c.fault == ResetLate && i == (w.fleet.Tokens+1)/2 {
			return false
		}
		if c.fault == Stop && i == (w.fleet.Tokens+1)/2 {
			<-ctx.Done()
			return false
		}
		if i > 0 && w.fleet.TokenTime > 0 {
			select {
			case <-time.After(w.fleet.TokenTime):
			case <-ctx.Done():
				return false
			}
		}
		if put(i, i == w.fleet.Tokens-1) != nil {
			return false
		}
	}
	return true
}

// ServeHTTP is a worker's HTTP side.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if id, ok := strings.CutPrefix(r.URL.Path, "/v1/holds/"); ok && r.Method == http.MethodDelete {
		w.release(id)
		rw.WriteHeader(http.StatusNoContent)
		return
	}
	if r.URL.Path == "/stats" {
		io.WriteString(rw, "util=0.10,queue=0")
		return
	}
	body, err := io.ReadAll(r.Body)
	var b struct {
		Messages []struct {
			Content string `json:"content"`
		} `json:"messages"`
	}
	if err != nil || json.Unmarshal(body, &b) != nil || len(b.Messages) == 0 || r.Header.Get("X-Txn") == "" {
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	if left, err := strconv.Atoi(r.Header.Get("X-Remaining-Ms")); err == nil && w.fleet.Told != nil {
		w.fleet.Told(r.Header.Get("X-Txn"), w.name, time.Duration(left)*time.Millisecond)
	}
	c := w.enter(r.Header.Get("X-Txn"), r.Header.Get("X-Lane"), b.Messages[len(b.Messages)-1].Content)
	defer func() { w.fleet.mu.Lock(); w.fleet.see("in", c.id, c.class, w.name); w.fleet.mu.Unlock() }()
	away := func(code int) { rw.Header().Set("X-Turned-Away", "1"); rw.WriteHeader(code) }
	switch c.fault {
	case TurnAway:
		away(http.StatusServiceUnavailable)
		return
	case Error:
		rw.WriteHeader(http.StatusInternalServerError)
		return
	case Hang:
		<-r.Context().Done()
		return
	}
	if w.reader {
		w.read(r.Context(), c)
		if c.fault == ResetEarly {
			reset(rw)
			return
		}
		rw.WriteHeader(http.StatusAccepted)
		io.WriteString(rw, `{"cached_tokens":0}`)
		return
	}
	if !w.fetch(c) {
		away(http.StatusGone)
		return
	}
	if c.fault == ResetEarly {
		reset(rw)
		return
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	whole := w.stream(r.Context(), c, func(i int, last bool) error {
		finish := "null"
		if last {
			finish = `"stop"`
		}
		fmt.Fprintf(rw, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t%d \"},\"finish_reason\":%s}]}\n\n", i, finish)
		return http.NewResponseController(rw).Flush()
	})
	if !whole {
		reset(rw)
		return
	}
	fmt.Fprintf(rw, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":%d,"+
		"\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\ndata: [DONE]\n\n", w.fleet.Tokens)
}

// reset ends the connection with a reset.
func reset(rw http.ResponseWriter) {
	c, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

func turnedAway(ctx context.Context, code codes.Code) error {
	grpc.SetTrailer(ctx, metadata.Pairs(grpcfront.TurnedAway, "1"))
	return status.Error(code, "turned away")
}

// begin is what both gRPC calls share; a nil error lets the call go on.
func (w *worker) begin(ctx context.Context, r *pb.WorkRequest) (call, error) {
	m := r.GetRequest().GetMessages()
	if len(m) == 0 {
		return call{}, status.Error(codes.InvalidArgument, "no message")
	}
	c := w.enter(r.Request.Id, r.Request.Class, m[len(m)-1].Content)
	switch c.fault {
	case TurnAway:
		return c, turnedAway(ctx, codes.Unavailable)
	case Error:
		return c, status.Error(codes.Internal, "error")
	case Hang:
		<-ctx.Done()
		return c, ctx.Err()
	}
	return c, nil
}

var errReset = status.Error(codes.Unavailable, "reset")

// Read is a worker's gRPC side.
func (w *worker) Read(ctx context.Context, r *pb.WorkRequest) (*pb.ReadReply, error) {
	c, err := w.begin(ctx, r)
	if err != nil {
		return nil, err
	}
	if !w.reader {
		return nil, status.Error(codes.Unimplemented, "a writer")
	}
	w.read(ctx, c)
	if c.fault == ResetEarly {
		return nil, errReset
	}
	return &pb.ReadReply{}, nil
}

// Write is a worker's gRPC side.
func (w *worker) Write(r *pb.WorkRequest, out grpc.ServerStreamingServer[pb.Chunk]) error {
	ctx := out.Context()
	c, err := w.begin(ctx, r)
	if err != nil {
		return err
	}
	if w.reader || !w.fetch(c) {
		return turnedAway(ctx, codes.FailedPrecondition)
	}
	if c.fault == ResetEarly {
		return errReset
	}
	whole := w.stream(ctx, c, func(i int, last bool) error {
		chunk := &pb.Chunk{Content: fmt.Sprintf("t%d ", i)}
		if last {
			chunk.FinishReason = "stop"
		}
		return out.Send(chunk)
	})
	if !whole {
		return errReset
	}
	return out.Send(&pb.Chunk{Usage: &pb.Usage{PromptTokens: 9, CompletionTokens: int64(w.fleet.Tokens)}})
}

// Release is a worker's gRPC side.
func (w *worker) Release(_ context.Context, r *pb.ReleaseRequest) (*pb.ReleaseReply, error) {
	w.release(r.Id)
	return &pb.ReleaseReply{}, nil
}

// Load is a worker's gRPC side.
func (w *worker) Load(context.Context, *pb.LoadRequest) (*pb.LoadReport, error) {
	queue := 0.0
	return &pb.LoadReport{Queue: &queue}, nil
}
