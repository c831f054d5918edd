// Package enginehost puts emulated engines on loopback sockets: the platform's worker protocol towards routers, a stream of
// reports of what each keeps, and a discovery that lists them. Tests, the example and cmd/engine use it; the router never
// does.
//
// It must never decide anything that an engine decides: it moves their clocks, and carries words in and out.
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
	maxBody     = 256 << 10
	reportEvery = 20 * time.Millisecond
	beatEvery   = 500 * time.Millisecond
	keepBatches = 512 // for replays; past them a snapshot is published
	tokenText   = "word "
)

// Options describe a Site.
type Options struct {
	Readers, Writers int
	Seed             uint64
	MemoryK          float64         // of readers, in thousands of tokens; 0: as the documents have it
	Kinds            json.RawMessage // nil: those of the documents
	Reports          []string        // routers that listen for reports
	Lose             float64         // share of batches that are never sent, for tests
}

// Site is some engines and the list of them.
type Site struct {
	Discovery string // its address
	opts      Options
	boxes     []*Box
	mu        sync.Mutex // guards all engines, and what is below
	start     time.Time
	states    map[string]*Box // where a request's state waits
	seq       int
	watch     []chan struct{}
	closers   []func()
	stop      context.CancelFunc
	ctx       context.Context
}

// Box is one engine on its socket.
type Box struct {
	ID, Kind, Addr string
	site           *Site
	engine         *engine.Engine
	calls          map[string]*call
	timer          *time.Timer
	born           int64
	down           bool
	batches        [][]byte // published, the first has number base
	base           uint64
	incarnation    uint64
	told           chan struct{} // there is something to publish
	listener       net.Listener
	server         *http.Server
	Reads, Kept    int // prompts that were read, and tokens of them that were found kept
	Prompt         int
}

type call struct {
	events chan engine.Event
	output int
}

// Start starts a Site.
func Start(o Options) (*Site, error) {
	kinds, err := engine.Kinds(o.Kinds)
	if err != nil {
		return nil, err
	}
	s := &Site{opts: o, start: time.Now(), states: make(map[string]*Box), seq: 1}
	s.ctx, s.stop = context.WithCancel(context.Background())
	for i := range max(1, o.Readers) + max(1, o.Writers) {
		name := "reader"
		if i >= max(1, o.Readers) {
			name = []string{"writer-a", "writer-b"}[i%2]
		}
		k, ok := kinds[name]
		if !ok {
			return nil, fmt.Errorf("kinds of engines: no %s", name)
		}
		set := k.Draw(o.Seed + uint64(i))
		if o.MemoryK > 0 && set.Reads {
			set.Blocks = max(1, int(o.MemoryK*1000)/set.Block)
		}
		b := &Box{ID: fmt.Sprintf("%s-%d", name, i), Kind: name, site: s, calls: make(map[string]*call), told: make(chan struct{}, 1), incarnation: wallclock.Milliseconds()}
		b.engine = engine.New(set, b.incarnation)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.Close()
			return nil, err
		}
		b.Addr = l.Addr().String()
		b.serve(l)
		s.boxes = append(s.boxes, b)
		if set.Reads {
			for _, to := range o.Reports {
				go b.publish(s.ctx, to)
			}
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.Close()
		return nil, err
	}
	s.Discovery = l.Addr().String()
	d := &http.Server{Handler: http.HandlerFunc(s.discovery)}
	go d.Serve(l)
	s.closers = append(s.closers, func() { d.Close() })
	go s.report()
	return s, nil
}

// Close ends it.
func (s *Site) Close() {
	s.stop()
	for _, c := range s.closers {
		c()
	}
	for _, b := range s.boxes {
		b.server.Close()
	}
}

// Boxes are the site's engines.
func (s *Site) Boxes() []*Box { return s.boxes }

func (s *Site) now() time.Duration { return time.Since(s.start) }

func (b *Box) serve(l net.Listener) {
	b.listener = l
	b.server = &http.Server{Handler: b}
	go b.server.Serve(l)
}

// Kill ends an engine's process as a crash does: its connections break, and discovery is told nothing.
func (b *Box) Kill() {
	b.site.mu.Lock()
	b.engine.Die(b.site.now())
	b.look()
	b.down = true
	b.site.mu.Unlock()
	b.server.Close()
}

// Return starts a killed engine again, at its old address, cold and with nothing kept.
func (b *Box) Return() error {
	l, err := net.Listen("tcp", b.Addr)
	if err != nil {
		return err
	}
	s := b.site
	s.mu.Lock()
	b.down = false
	b.incarnation = max(b.incarnation+1, wallclock.Milliseconds())
	b.born = int64(b.incarnation)
	b.batches, b.base = nil, 0
	b.engine.Start(s.now(), b.incarnation)
	b.look()
	s.seq++
	for _, w := range s.watch {
		select {
		case w <- struct{}{}:
		default:
		}
	}
	s.mu.Unlock()
	b.serve(l)
	return nil
}

// look hands out what an engine did, and sets the time when it does something again. It is called under the lock.
func (b *Box) look() {
	s := b.site
	b.engine.Advance(s.now())
	for _, x := range b.engine.Events() {
		if x.What == engine.ReadDone {
			s.states[x.ID] = b
			b.Reads++
			b.Kept += x.Kept
		}
		if c := b.calls[x.ID]; c != nil {
			select {
			case c.events <- x:
			default: // nobody reads it: it is no one's any more
			}
		}
	}
	if at, ok := b.engine.Next(); ok {
		wait := at - s.now()
		if b.timer == nil {
			b.timer = time.AfterFunc(wait, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				b.look()
			})
		} else {
			b.timer.Reset(wait)
		}
	}
}

// ServeHTTP is a worker's side of the platform's protocol.
func (b *Box) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id, ok := strings.CutPrefix(r.URL.Path, "/v1/holds/"); ok {
		if r.Method == http.MethodDelete {
			b.site.release(id)
			w.WriteHeader(http.StatusNoContent)
			return
		}
		w.WriteHeader(http.StatusConflict) // no place is held ahead
		return
	}
	if r.URL.Path == "/stats" {
		b.site.mu.Lock()
		b.engine.Advance(b.site.now())
		slots, memory, waiting := b.engine.Load()
		b.site.mu.Unlock()
		fmt.Fprintf(w, "util=%.3f,queue=%d,x0=%.3f", min(1, slots), waiting, memory)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody+1))
	prompt, output, ok := parse(body)
	id := r.Header.Get("X-Txn")
	if err != nil || !ok || id == "" || len(body) > maxBody {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	away := func(code int) { w.Header().Set("X-Turned-Away", "1"); w.WriteHeader(code) }
	c := &call{events: make(chan engine.Event, output+8), output: output}
	s := b.site
	s.mu.Lock()
	if b.calls[id] != nil {
		s.mu.Unlock()
		away(http.StatusServiceUnavailable)
		return
	}
	set := b.engine.Settings()
	from := s.states[id]
	b.calls[id] = c
	b.Prompt += len(prompt) / kvevents.CharsToken
	b.engine.Submit(s.now(), engine.Work{ID: id, Chain: engine.Chain(prompt, set.Block), Tokens: len(prompt) / kvevents.CharsToken, Output: output, Holds: from != nil})
	b.look()
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(b.calls, id)
		b.engine.Cancel(s.now(), id)
		b.look()
	}()
	for n := 0; ; {
		var x engine.Event
		select {
		case x = <-c.events:
		case <-r.Context().Done():
			return
		}
		switch x.What {
		case engine.TurnedAway:
			if x.Why == "no state" {
				away(http.StatusGone)
			} else {
				away(http.StatusServiceUnavailable)
			}
			return
		case engine.ReadDone:
			w.WriteHeader(http.StatusAccepted)
			fmt.Fprintf(w, `{"cached_tokens":%d}`, x.Kept)
			return
		case engine.First, engine.Token:
			if x.What == engine.First {
				s.release(id) // fetched: the reader's memory is let go
				w.Header().Set("Content-Type", "text/event-stream")
			}
			n++
			fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":%s}]}\n\n", tokenText, finish(n == output))
			if http.NewResponseController(w).Flush() != nil {
				return
			}
		case engine.Done:
			fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\ndata: [DONE]\n\n",
				len(prompt)/kvevents.CharsToken, n)
			return
		case engine.Lost, engine.Dropped, engine.Stopped:
			panic(http.ErrAbortHandler)
		}
	}
}

func finish(last bool) string {
	if last {
		return `"stop"`
	}
	return "null"
}

// parse reads a request's body: the prompt, and how long an answer is to be.
func parse(body []byte) (prompt []byte, output int, ok bool) {
	var b struct {
		Max      int `json:"max_tokens"`
		Messages []struct {
			Content string `json:"content"`
		} `json:"messages"`
	}
	if json.Unmarshal(body, &b) != nil || len(b.Messages) == 0 || b.Max < 0 || b.Max > 4096 {
		return nil, 0, false
	}
	var text bytes.Buffer
	for _, m := range b.Messages {
		text.WriteString(m.Content)
	}
	return text.Bytes(), min(max(1, b.Max), 400), true
}

// release lets go of a request's state, at whichever reader it waits.
func (s *Site) release(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.states[id]; b != nil {
		delete(s.states, id)
		b.engine.Release(s.now(), id)
		b.look()
	}
}

// Held is how many states wait.
func (s *Site) Held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.states)
}

// Hosts is the list in discovery's form.
func (s *Site) Hosts() []map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []map[string]any
	for i, b := range s.boxes {
		all = append(all, map[string]any{"host": b.ID, "dial": b.Addr, "site": "here", "class": b.Kind, "block": i % 2, "health": "up", "share": 1.0, "born_ms": b.born})
	}
	return all
}

// discovery serves the list and its changes.
func (s *Site) discovery(w http.ResponseWriter, r *http.Request) {
	wake := make(chan struct{}, 1)
	s.mu.Lock()
	s.watch = append(s.watch, wake)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.watch = slices.DeleteFunc(s.watch, func(c chan struct{}) bool { return c == wake })
	}()
	for {
		hosts := s.Hosts()
		s.mu.Lock()
		seq := s.seq
		s.mu.Unlock()
		line, _ := json.Marshal(map[string]any{"seq": seq, "whole": true, "hosts": hosts})
		w.Write(append(line, '\n'))
		http.NewResponseController(w).Flush()
		if r.URL.Query().Get("watch") == "" {
			return
		}
		quiet := time.NewTicker(2 * time.Second)
	wait:
		for {
			select {
			case <-wake:
				break wait
			case <-quiet.C:
				w.Write([]byte("\n"))
				http.NewResponseController(w).Flush()
			case <-r.Context().Done():
				quiet.Stop()
				return
			}
		}
		quiet.Stop()
	}
}

// Config is a whole configuration file for a router at this site.
func (s *Site) Config(listen string, settings json.RawMessage) []byte {
	text, _ := json.MarshalIndent(map[string]any{"name": "toy", "listen": listen, "discovery": s.Discovery, "seed": strconv.FormatUint(s.opts.Seed+1, 16),
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":  map[string]any{"seq": 1, "whole": true, "hosts": s.Hosts()}, "settings": settings}, "", "  ")
	return text
}

// Settings is the settings object of such a site.
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
