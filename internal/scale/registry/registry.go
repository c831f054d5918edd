// Package registry is a discovery service for tests. It serves the list of workers and its changes to any number of
// watchers, in the platform's protocol, and counts the bytes sent to them. Changes can be published one at a time or
// many at once. Each of its addresses stands for the agent on a router's machine, and can fall silent, be slow, or be given
// up for another one.
package registry

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"rowanyard/internal/httpfront"
)

const (
	watchPath         = "/registry/instances"
	keepaliveInterval = 2 * time.Second // interval of the empty lines that are sent while nothing changes
	maxChanges        = 4096            // versions whose changes are kept; a watcher further behind gets the whole list
)

// Registry is a running discovery service.
type Registry struct {
	// WholeLists has watches carry the whole list after each change, in place of the changed entries. Set it before use.
	WholeLists bool

	mu        sync.Mutex
	hosts     map[string]httpfront.Entry
	seq       int64
	history   []change      // the latest changes, oldest first
	changed   chan struct{} // closed and replaced on each change
	endpoints []*Endpoint
	stop      chan struct{}
}

// change is one version and the entries that it set.
type change struct {
	seq   int64
	hosts []httpfront.Entry
}

// New returns a Registry that lists the given workers as version 1.
func New(hosts []httpfront.Entry) *Registry {
	r := &Registry{hosts: make(map[string]httpfront.Entry), seq: 1, changed: make(chan struct{}), stop: make(chan struct{})}
	for _, h := range hosts {
		r.hosts[h.Host] = h
	}
	return r
}

// Endpoint is an address of a Registry that counts its own bytes.
type Endpoint struct {
	Address  string
	in, out  atomic.Int64
	listener net.Listener
	server   *http.Server
	agent    agent
}

// Bytes returns the bytes received and sent so far, above TCP.
func (d *Endpoint) Bytes() (in, out int64) { return d.in.Load(), d.out.Load() }

// AddEndpoint starts serving the Registry at a new address.
func (r *Registry) AddEndpoint() (*Endpoint, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Endpoint{Address: l.Addr().String(), listener: l}
	d.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { r.serve(&d.agent, w, q) })}
	r.mu.Lock()
	r.endpoints = append(r.endpoints, d)
	r.mu.Unlock()
	go d.server.Serve(&countingListener{l, d})
	return d, nil
}

// Close ends all watches and closes all Endpoints.
func (r *Registry) Close() {
	close(r.stop)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range r.endpoints {
		d.server.Close()
	}
}

// Update sets entries and returns the version that contains them. An entry whose health is "removed" leaves the list.
func (r *Registry) Update(hosts ...httpfront.Entry) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range hosts {
		if h.Health == "removed" {
			delete(r.hosts, h.Host)
		} else {
			r.hosts[h.Host] = h
		}
	}
	r.seq++
	r.history = append(r.history, change{r.seq, hosts})
	if len(r.history) > maxChanges {
		r.history = slices.Delete(r.history, 0, len(r.history)-maxChanges)
	}
	close(r.changed)
	r.changed = make(chan struct{})
	return r.seq
}

// Version returns the current version of the list.
func (r *Registry) Version() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seq
}

// Hosts returns the workers sorted by name.
func (r *Registry) Hosts() []httpfront.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list()
}

func (r *Registry) list() []httpfront.Entry {
	all := make([]httpfront.Entry, 0, len(r.hosts))
	for _, h := range r.hosts {
		all = append(all, h)
	}
	slices.SortFunc(all, func(a, b httpfront.Entry) int {
		if a.Host < b.Host {
			return -1
		}
		return 1
	})
	return all
}

// updatesSince returns what a watcher that has version seq needs next: the changes since, or the whole list if they
// are not kept any more. more is closed on the next change.
func (r *Registry) updatesSince(seq int64) (l httpfront.List, more <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l.Seq, more = r.seq, r.changed
	if seq == r.seq {
		return l, more
	}
	covered := !r.WholeLists && seq > 0 && seq < r.seq && len(r.history) > 0 && r.history[0].seq <= seq+1
	if !covered {
		l.Whole, l.Hosts = true, r.list()
		return l, more
	}
	for _, s := range r.history {
		if s.seq > seq {
			l.Hosts = append(l.Hosts, s.hosts...)
		}
	}
	return l, more
}

// serve handles one request for the list or a watch.
func (r *Registry) serve(a *agent, w http.ResponseWriter, q *http.Request) {
	if q.URL.Path != watchPath || q.Method != http.MethodGet {
		http.NotFound(w, q)
		return
	}
	a.countCall(1, 1)
	defer a.countCall(0, -1)
	if !a.awaitAnswer(q.Context()) {
		return
	}
	if q.URL.Query().Get("watch") == "" {
		l, _ := r.updatesSince(0)
		_ = json.NewEncoder(w).Encode(l)
		return
	}
	seq, err := strconv.ParseInt(q.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, fmt.Sprintf("after: %v", err), http.StatusBadRequest)
		return
	}
	r.watch(a, w, q, seq)
}

// watch sends all changes after seq to one watcher until it disconnects or the Registry is closed.
func (r *Registry) watch(a *agent, w http.ResponseWriter, q *http.Request, seq int64) {
	control := http.NewResponseController(w)
	if control.Flush() != nil {
		return
	}
	keepalive := time.NewTicker(keepaliveInterval)
	defer keepalive.Stop()
	for {
		if !a.awaitLine(q.Context()) {
			return
		}
		l, changed := r.updatesSince(seq)
		if len(l.Hosts) > 0 || l.Whole {
			if json.NewEncoder(w).Encode(l) != nil || control.Flush() != nil {
				return
			}
			seq = l.Seq
		}
		select {
		case <-changed:
		case <-keepalive.C:
			if !a.awaitLine(q.Context()) {
				return
			}
			if _, err := w.Write([]byte("\n")); err != nil || control.Flush() != nil {
				return
			}
		case <-q.Context().Done():
			return
		case <-r.stop:
			return
		}
	}
}

// countingListener counts the bytes of all its connections at an Endpoint.
type countingListener struct {
	net.Listener
	endpoint *Endpoint
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{c, l.endpoint}, nil
}

type countingConn struct {
	net.Conn
	endpoint *Endpoint
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.endpoint.in.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.endpoint.out.Add(int64(n))
	return n, err
}
