// Package registry is a discovery for scale tests: it serves the list of workers and its changes to any number of watchers,
// in the platform's protocol, and counts the bytes that they cost. Changes can be made one by one or many at once.
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
	path      = "/registry/instances"
	lifeSign  = 2 * time.Second // an empty line comes so often where nothing changes
	keptSteps = 4096            // versions whose changes are kept; who is further behind gets the whole list
)

// Registry is a running discovery.
type Registry struct {
	mu      sync.Mutex
	hosts   map[string]httpfront.Entry
	seq     int64
	steps   []step        // the latest changes, the oldest first
	changed chan struct{} // closed and replaced at each change
	doors   []*Door
	stop    chan struct{}
}

// step is one change.
type step struct {
	seq   int64
	hosts []httpfront.Entry
}

// New returns a Registry that lists the given workers.
func New(hosts []httpfront.Entry) *Registry {
	r := &Registry{hosts: make(map[string]httpfront.Entry), seq: 1, changed: make(chan struct{}), stop: make(chan struct{})}
	for _, h := range hosts {
		r.hosts[h.Host] = h
	}
	return r
}

// Door is an address of a Registry with a count of its own of the bytes that pass.
type Door struct {
	Address string
	in, out atomic.Int64
	server  *http.Server
}

// Bytes is what has come in and gone out, above TCP.
func (d *Door) Bytes() (in, out int64) { return d.in.Load(), d.out.Load() }

// Open opens a Door.
func (r *Registry) Open() (*Door, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Door{Address: l.Addr().String()}
	d.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	r.mu.Lock()
	r.doors = append(r.doors, d)
	r.mu.Unlock()
	go d.server.Serve(&countingListener{l, d})
	return d, nil
}

// Close ends all watches and Doors.
func (r *Registry) Close() {
	close(r.stop)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range r.doors {
		d.server.Close()
	}
}

// Change sets entries and returns the version that has them. One that is "removed" leaves the list.
func (r *Registry) Change(hosts ...httpfront.Entry) int64 {
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
	r.steps = append(r.steps, step{r.seq, hosts})
	if len(r.steps) > keptSteps {
		r.steps = slices.Delete(r.steps, 0, len(r.steps)-keptSteps)
	}
	close(r.changed)
	r.changed = make(chan struct{})
	return r.seq
}

// Version is the version of the list.
func (r *Registry) Version() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seq
}

// Hosts lists the workers in the order of their names.
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

// after is what a watcher that has a version gets next: what has changed since, or else the whole list. more is closed once
// there is more.
func (r *Registry) after(seq int64) (l httpfront.List, more <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l.Seq, more = r.seq, r.changed
	if seq == r.seq {
		return l, more
	}
	known := seq > 0 && seq < r.seq && len(r.steps) > 0 && r.steps[0].seq <= seq+1
	if !known {
		l.Whole, l.Hosts = true, r.list()
		return l, more
	}
	for _, s := range r.steps {
		if s.seq > seq {
			l.Hosts = append(l.Hosts, s.hosts...)
		}
	}
	return l, more
}

// serve answers one call.
func (r *Registry) serve(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path != path || q.Method != http.MethodGet {
		http.NotFound(w, q)
		return
	}
	if q.URL.Query().Get("watch") == "" {
		l, _ := r.after(0)
		_ = json.NewEncoder(w).Encode(l)
		return
	}
	seq, err := strconv.ParseInt(q.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, fmt.Sprintf("after: %v", err), http.StatusBadRequest)
		return
	}
	r.watch(w, q, seq)
}

// watch tells one watcher of all changes until it leaves.
func (r *Registry) watch(w http.ResponseWriter, q *http.Request, seq int64) {
	control := http.NewResponseController(w)
	idle := time.NewTicker(lifeSign)
	defer idle.Stop()
	for {
		l, more := r.after(seq)
		if len(l.Hosts) > 0 || l.Whole {
			if json.NewEncoder(w).Encode(l) != nil || control.Flush() != nil {
				return
			}
			seq = l.Seq
		}
		select {
		case <-more:
		case <-idle.C:
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

// countingListener counts the bytes of all its connections at a Door.
type countingListener struct {
	net.Listener
	door *Door
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{c, l.door}, nil
}

type countingConn struct {
	net.Conn
	door *Door
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.door.in.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.door.out.Add(int64(n))
	return n, err
}
