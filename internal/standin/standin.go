// Package standin provides a deployment of fake workers on loopback, for tests and for the example folder: readers and
// writers over HTTP or gRPC, and a discovery service that lists them. It counts the effects of writes and the states that
// are still held, and injects faults on request. Its timing says nothing about the speed of real workers.
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
	"rowanyard/internal/httpfront"
	"rowanyard/internal/scale/registry"
)

// Fault is a fault to inject into one call.
type Fault int

// The faults. After each but None and Reject the router may not know whether the call has run.
const (
	None                  Fault = iota
	Reject                      // 503 or UNAVAILABLE, marked as turned away: the call has not run
	Error                       // 500 or INTERNAL
	ResetBeforeFirstToken       // a reset before the first token; a write has had its effect
	ResetMidStream              // a reset after half of the tokens
	Hang                        // no response until the caller cancels
	StallMidStream              // no more data after half of the tokens, the connection stays open
)

// Options configure a Fleet. The zero value gives one healthy reader and one healthy writer.
type Options struct {
	Readers, Writers int
	// ListedWorkers is the number of workers that discovery lists. Where it exceeds the number of workers that run, several
	// entries share an address.
	ListedWorkers int
	GRPC          bool          // the workers speak gRPC
	Tokens        int           // tokens of each answer
	TokenInterval time.Duration // time between two tokens
	ReadDuration  time.Duration // time that a read takes
	// TokenText returns the text of the i-th token of a request's answer over HTTP. If it is nil, it is the token's number.
	TokenText func(id string, i int) string
	// FirstTokenDelay, if not nil, returns how long a write over HTTP that has taken effect waits for its first token, negative: for
	// good.
	FirstTokenDelay func(id string) time.Duration
	// FaultFor returns the fault of the n-th call, counted from 0, of a stage ("read" or "write") for a message. If it is
	// nil, there are no faults.
	FaultFor func(stage, message string, n int) Fault
	// ListedAddress returns the address under which discovery lists a worker, such as that of a proxy in front of it. If it
	// is nil, workers are listed under their own addresses.
	ListedAddress func(host, address string) string
	// WholeLists has discovery send the whole list after each change, in place of the changed entries.
	WholeLists bool
	// OnlyKind restricts the workers to one kind, "reader" or "writer". If it is empty, both are started.
	OnlyKind string
	// StateStore keeps the states, for workers in several processes. If it is nil, the Fleet keeps them in memory.
	StateStore StateStore
	// OnAttemptTimeout, if not nil, is called with the time for which a router will wait for an attempt, as sent with an
	// HTTP request.
	OnAttemptTimeout func(id, host string, timeout time.Duration)
	// AdmitAttempt, if not nil, is called before an attempt is taken over HTTP, and blocks until it may be. An attempt for which
	// it returns false is never taken; it does so if the caller has gone. Other calls are answered meanwhile.
	AdmitAttempt func(ctx context.Context) bool
	// OnEvent, if not nil, is called with what happens at a worker, while the Fleet's lock is held: "out" when an attempt
	// begins, "in" when it ends over HTTP, "held" and "freed" for a state, "effect" for a write.
	OnEvent func(event, id, class, host string)
}

// StateStore keeps the states that readers hold for writers, by request id. Hold reports whether it has stored the state,
// Fetch and Release whether there was one, which they remove.
type StateStore interface {
	Hold(id, host string) bool
	Fetch(id, host string) bool
	Release(id string) bool
}

// Fleet is a running deployment of fake workers.
type Fleet struct {
	Options
	DiscoveryAddress string // the address of the discovery service
	registry         *registry.Registry
	mu               sync.Mutex
	hosts            []Host
	held             map[string]bool // by request id
	callsByMessage   map[string]int  // by stage and message
	callsByWorker    map[string]int
	effectsByMessage map[string]int // writes that have taken effect, by class and message
	writesByRequest  map[string]int // writes that have taken effect, by request id
	closers          []func()
}

// Host is a worker's entry in the list of the discovery service.
type Host = httpfront.Entry

// Start starts a Fleet. Counts below 1 are taken as 1.
func Start(o Options) (*Fleet, error) {
	o.Readers, o.Writers, o.Tokens = max(1, o.Readers), max(1, o.Writers), max(1, o.Tokens)
	f := &Fleet{Options: o, held: make(map[string]bool),
		callsByMessage: make(map[string]int), callsByWorker: make(map[string]int), effectsByMessage: make(map[string]int), writesByRequest: make(map[string]int)}
	if f.StateStore == nil {
		f.StateStore = memoryStates{f}
	}
	for i := range o.Readers + o.Writers {
		kind := "reader"
		if i >= o.Readers {
			kind = "writer"
		}
		if o.OnlyKind != "" && kind != o.OnlyKind {
			continue
		}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		h := Host{Host: fmt.Sprintf("%s-%d", kind, i), Dial: l.Addr().String(), Site: "here", Class: kind, Block: 1, Health: "up", Share: 1}
		if o.ListedAddress != nil {
			h.Dial = o.ListedAddress(h.Host, h.Dial)
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
	for i := len(f.hosts); i < o.ListedWorkers; i++ {
		h := f.hosts[i%(o.Readers+o.Writers)]
		h.Host, h.Block = fmt.Sprintf("%s-%d", h.Class, i), i/5
		f.hosts = append(f.hosts, h)
	}
	f.registry = registry.New(f.hosts)
	f.registry.WholeLists = o.WholeLists
	f.closers = append(f.closers, f.registry.Close)
	endpoint, err := f.AddDiscovery()
	if err != nil {
		return nil, err
	}
	f.DiscoveryAddress = endpoint.Address
	return f, nil
}

// AddDiscovery starts another agent of the discovery service, with an address and faults of its own.
func (f *Fleet) AddDiscovery() (*registry.Endpoint, error) { return f.registry.AddEndpoint() }

// Close stops the workers and the discovery service.
func (f *Fleet) Close() {
	for _, c := range f.closers {
		c()
	}
}

// Settings returns the settings JSON for a router of a Fleet.
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

// Config returns a complete configuration file for a router of this Fleet that listens on listen.
func (f *Fleet) Config(listen string) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	const oldVersion = 0 // discovery sends the list to a router that has just started
	text, _ := json.MarshalIndent(map[string]any{"name": "toy", "listen": listen, "discovery": f.DiscoveryAddress,
		"seed": "1", "limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known": map[string]any{"seq": oldVersion, "whole": true, "hosts": f.hosts}, "settings": Settings()}, "", "  ")
	return text
}

// Hosts returns the entries that discovery lists.
func (f *Fleet) Hosts() []Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Host(nil), f.hosts...)
}

// SetHealth changes the listed health of a worker and notifies the watchers of the list.
func (f *Fleet) SetHealth(host, health string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.hosts {
		if f.hosts[i].Host == host {
			f.hosts[i].Health = health
			f.registry.Update(f.hosts[i])
		}
	}
}

// Effects returns how many writes have taken effect, by class and message.
func (f *Fleet) Effects() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make(map[string]int)
	for k, n := range f.effectsByMessage {
		all[k] = n
	}
	return all
}

// Calls returns how often a stage ("read" or "write") has been called for a message.
func (f *Fleet) Calls(stage, message string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.callsByMessage[stage+" "+message]
}

// CallsTo returns how many reads and writes a worker has received.
func (f *Fleet) CallsTo(host string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.callsByWorker[host]
}

// HeldStates returns how many states the Fleet holds. States in another StateStore are not counted.
func (f *Fleet) HeldStates() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.held)
}

// call is an attempt that a worker has received over HTTP or gRPC.
type call struct {
	id, class, message string
	fault              Fault
}

// RandomFaults returns an Options.FaultFor that picks the fault by a hash of the seed and the call, so that equal messages
// meet equal faults in every run. Each of the faults has probability share.
func RandomFaults(seed uint64, share float64, faults ...Fault) func(string, string, int) Fault {
	return func(stage, message string, n int) Fault {
		h := fnv.New64a()
		fmt.Fprint(h, seed, stage, message, n)
		v := h.Sum64()
		v ^= v >> 29
		v *= 0xbf58476d1ce4e5b9
		index := float64(v>>11) / (1 << 53) / share
		if index < float64(len(faults)) {
			return faults[int(index)]
		}
		return None
	}
}

// worker is a fake reader or writer.
type worker struct {
	pb.UnimplementedModelServerServer
	fleet  *Fleet
	name   string
	reader bool
}

// startCall counts a call and determines its fault.
func (w *worker) startCall(id, class, message string) call {
	f := w.fleet
	stage := "write"
	if w.reader {
		stage = "read"
	}
	f.mu.Lock()
	n := f.callsByMessage[stage+" "+message]
	f.callsByMessage[stage+" "+message]++
	f.callsByWorker[w.name]++
	f.notify("out", id, class, w.name)
	f.mu.Unlock()
	c := call{id: id, class: class, message: message}
	if f.FaultFor != nil {
		c.fault = f.FaultFor(stage, message, n)
	}
	return c
}

// readPrompt takes ReadDuration and stores the state, unless the call is cancelled first.
func (w *worker) readPrompt(ctx context.Context, c call) {
	select {
	case <-time.After(w.fleet.ReadDuration):
	case <-ctx.Done():
		return
	}
	if ctx.Err() != nil { // cancelled when the time was up: no state is stored
		return
	}
	if w.fleet.StateStore.Hold(c.id, w.name) {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		w.fleet.notify("held", c.id, c.class, w.name)
	}
}

// memoryStates is the StateStore that keeps states in the Fleet.
type memoryStates struct{ fleet *Fleet }

// Hold implements StateStore.
func (s memoryStates) Hold(id, _ string) bool {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	s.fleet.held[id] = true
	return true
}

// Fetch implements StateStore.
func (s memoryStates) Fetch(id, _ string) bool { return s.Release(id) }

// Release implements StateStore.
func (s memoryStates) Release(id string) bool {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	held := s.fleet.held[id]
	delete(s.fleet.held, id)
	return held
}

// notify calls OnEvent. The caller holds f.mu.
func (f *Fleet) notify(event, id, class, host string) {
	if f.OnEvent != nil {
		f.OnEvent(event, id, class, host)
	}
}

// takeState fetches the state of a write, which has its effect from then on, and reports whether there was one.
func (w *worker) takeState(c call) bool {
	f := w.fleet
	if !f.StateStore.Fetch(c.id, w.name) {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.effectsByMessage[c.class+" "+c.message]++
	f.writesByRequest[c.id]++
	f.notify("freed", c.id, c.class, w.name)
	f.notify("effect", c.id, c.class, w.name)
	return true
}

// releaseState discards the state of a request.
func (w *worker) releaseState(id string) {
	if w.fleet.StateStore.Release(id) {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		w.fleet.notify("freed", id, "", w.name)
	}
}

// streamTokens sends the tokens of the answer up to the fault, if any, and reports whether it has sent them all.
func (w *worker) streamTokens(ctx context.Context, c call, send func(i int, last bool) error) bool {
	for i := range w.fleet.Tokens {
		if c.fault == ResetMidStream && i == (w.fleet.Tokens+1)/2 {
			return false
		}
		if c.fault == StallMidStream && i == (w.fleet.Tokens+1)/2 {
			<-ctx.Done()
			return false
		}
		if i > 0 && w.fleet.TokenInterval > 0 {
			select {
			case <-time.After(w.fleet.TokenInterval):
			case <-ctx.Done():
				return false
			}
		}
		if send(i, i == w.fleet.Tokens-1) != nil {
			return false
		}
	}
	return true
}

// awaitFirstToken waits for the first token of a write. It returns false if the caller has gone before.
func (w *worker) awaitFirstToken(ctx context.Context, id string) bool {
	if w.fleet.FirstTokenDelay == nil {
		return true
	}
	delay := w.fleet.FirstTokenDelay(id)
	if delay < 0 {
		<-ctx.Done()
		return false
	}
	select {
	case <-time.After(delay):
		return true
	case <-ctx.Done():
		return false
	}
}

// ServeHTTP serves the workers' HTTP API.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if id, ok := strings.CutPrefix(r.URL.Path, "/v1/holds/"); ok && r.Method == http.MethodDelete {
		w.releaseState(id)
		rw.WriteHeader(http.StatusNoContent)
		return
	}
	if r.URL.Path == "/stats" {
		io.WriteString(rw, "util=0.10,queue=0")
		return
	}
	body, err := io.ReadAll(r.Body)
	var payload struct {
		Messages []struct {
			Content string `json:"content"`
		} `json:"messages"`
	}
	if err != nil || json.Unmarshal(body, &payload) != nil || len(payload.Messages) == 0 || r.Header.Get("X-Txn") == "" {
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	if w.fleet.AdmitAttempt != nil && !w.fleet.AdmitAttempt(r.Context()) {
		return
	}
	if remaining, err := strconv.Atoi(r.Header.Get("X-Remaining-Ms")); err == nil && w.fleet.OnAttemptTimeout != nil {
		w.fleet.OnAttemptTimeout(r.Header.Get("X-Txn"), w.name, time.Duration(remaining)*time.Millisecond)
	}
	c := w.startCall(r.Header.Get("X-Txn"), r.Header.Get("X-Lane"), payload.Messages[len(payload.Messages)-1].Content)
	defer func() { w.fleet.mu.Lock(); w.fleet.notify("in", c.id, c.class, w.name); w.fleet.mu.Unlock() }()
	reject := func(code int) { rw.Header().Set("X-Turned-Away", "1"); rw.WriteHeader(code) }
	switch c.fault {
	case Reject:
		reject(http.StatusServiceUnavailable)
		return
	case Error:
		rw.WriteHeader(http.StatusInternalServerError)
		return
	case Hang:
		<-r.Context().Done()
		return
	}
	if w.reader {
		w.readPrompt(r.Context(), c)
		if c.fault == ResetBeforeFirstToken {
			resetConnection(rw)
			return
		}
		rw.WriteHeader(http.StatusAccepted)
		io.WriteString(rw, `{"cached_tokens":0}`)
		return
	}
	if !w.takeState(c) {
		reject(http.StatusGone)
		return
	}
	if c.fault == ResetBeforeFirstToken {
		resetConnection(rw)
		return
	}
	if !w.awaitFirstToken(r.Context(), c.id) {
		return
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	complete := w.streamTokens(r.Context(), c, func(i int, last bool) error {
		finish := "null"
		if last {
			finish = `"stop"`
		}
		fmt.Fprintf(rw, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":%s}]}\n\n", w.tokenText(c.id, i), finish)
		return http.NewResponseController(rw).Flush()
	})
	if !complete {
		resetConnection(rw)
		return
	}
	fmt.Fprintf(rw, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":%d,"+
		"\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\ndata: [DONE]\n\n", w.fleet.Tokens)
}

// tokenText returns the text of the i-th token of a request's answer.
func (w *worker) tokenText(id string, i int) string {
	if w.fleet.TokenText != nil {
		return w.fleet.TokenText(id, i)
	}
	return fmt.Sprintf("t%d ", i)
}

// resetConnection closes the connection with a TCP reset.
func resetConnection(rw http.ResponseWriter) {
	c, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// rejectCall returns a status error and marks the call as turned away in its trailers.
func rejectCall(ctx context.Context, code codes.Code) error {
	grpc.SetTrailer(ctx, metadata.Pairs(grpcfront.TurnedAwayTrailer, "1"))
	return status.Error(code, "turned away")
}

// startRPC is the common beginning of Read and Write: it counts the call and applies its fault. The call goes on where the
// error is nil.
func (w *worker) startRPC(ctx context.Context, r *pb.WorkRequest) (call, error) {
	messages := r.GetRequest().GetMessages()
	if len(messages) == 0 {
		return call{}, status.Error(codes.InvalidArgument, "no message")
	}
	c := w.startCall(r.Request.Id, r.Request.Class, messages[len(messages)-1].Content)
	switch c.fault {
	case Reject:
		return c, rejectCall(ctx, codes.Unavailable)
	case Error:
		return c, status.Error(codes.Internal, "error")
	case Hang:
		<-ctx.Done()
		return c, ctx.Err()
	}
	return c, nil
}

var errReset = status.Error(codes.Unavailable, "reset")

// Read implements pb.ModelServerServer.
func (w *worker) Read(ctx context.Context, r *pb.WorkRequest) (*pb.ReadReply, error) {
	c, err := w.startRPC(ctx, r)
	if err != nil {
		return nil, err
	}
	if !w.reader {
		return nil, status.Error(codes.Unimplemented, "a writer")
	}
	w.readPrompt(ctx, c)
	if c.fault == ResetBeforeFirstToken {
		return nil, errReset
	}
	return &pb.ReadReply{}, nil
}

// Write implements pb.ModelServerServer.
func (w *worker) Write(r *pb.WorkRequest, out grpc.ServerStreamingServer[pb.Chunk]) error {
	ctx := out.Context()
	c, err := w.startRPC(ctx, r)
	if err != nil {
		return err
	}
	if w.reader || !w.takeState(c) {
		return rejectCall(ctx, codes.FailedPrecondition)
	}
	if c.fault == ResetBeforeFirstToken {
		return errReset
	}
	complete := w.streamTokens(ctx, c, func(i int, last bool) error {
		chunk := &pb.Chunk{Content: fmt.Sprintf("t%d ", i)}
		if last {
			chunk.FinishReason = "stop"
		}
		return out.Send(chunk)
	})
	if !complete {
		return errReset
	}
	return out.Send(&pb.Chunk{Usage: &pb.Usage{PromptTokens: 9, CompletionTokens: int64(w.fleet.Tokens)}})
}

// Release implements pb.ModelServerServer.
func (w *worker) Release(_ context.Context, r *pb.ReleaseRequest) (*pb.ReleaseReply, error) {
	w.releaseState(r.Id)
	return &pb.ReleaseReply{}, nil
}

// Load implements pb.ModelServerServer. The reported queue is always empty.
func (w *worker) Load(context.Context, *pb.LoadRequest) (*pb.LoadReport, error) {
	queue := 0.0
	return &pb.LoadReport{Queue: &queue}, nil
}
