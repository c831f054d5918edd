// Package operator implements the operator API: status, maintenance of workers, and standby.
//
// What operators have asked for is shared with other processes of the same router through a file, so that it survives an
// upgrade. The package does not route requests: a worker in maintenance counts as draining, and package decide does the rest.
package operator

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"rowanyard/internal/httpfront"
	"rowanyard/internal/inbound"
	"rowanyard/internal/openids"
)

const (
	pollInterval = 100 * time.Millisecond // between reads of the shared file
	saveInterval = time.Second            // between saves of the learned state
	// For older processes to share the ids of their open requests, which they do at their next poll.
	shareTimeout       = 5 * pollInterval
	shareCheckInterval = 5 * time.Millisecond
	maxWorkerIDBytes   = 256
)

// Router is the part of the core that operator calls act on.
type Router interface {
	// HasWorker reports whether the worker list contains id.
	HasWorker(id string) bool
	// SetInMaintenance replaces the set of workers that are in maintenance.
	SetInMaintenance(ids []string)
}

// Controller carries out operators' calls and follows the state that processes of one router share. It is an http.Handler.
// Its exported fields must be set before Start.
type Controller struct {
	SharedState *SharedState
	Identity    string // the same in all processes of the router, empty if there can be no other
	Router      Router
	Standby     func(on bool) // makes the fronts shed their clients, or accept them again
	Serving     func() bool   // reports whether the fronts are open
	OpenIDs     *openids.Registry
	OnNumber    func(number int) // called with the number of this process before it shares its open ids; may be nil
	Input       *inbound.Budgets // that the calls are counted on; may be nil
	Log         *slog.Logger

	mu      sync.Mutex
	state   State
	number  int            // of this process, from 1 in order of start
	unsaved []func(*State) // changes that the shared file does not have yet, oldest first
}

// Start registers this process in the shared file and adopts the state that an older process left there.
func (c *Controller) Start() {
	alone := c.SharedState.Alone()
	c.update(func(st *State) {
		if c.number == 0 {
			c.number = st.Started + 1
		}
		if alone && st.Serving < c.number { // no process serves any more
			st.Serving = 0
		}
		st.Started = max(st.Started, c.number)
	})
	if c.OnNumber != nil {
		c.OnNumber(c.number)
	}
	c.showProcess()
	c.refreshOpenIDs()
}

// showProcess shows other processes that this one runs, and that it shares the ids of its open requests. The file that shows
// that it runs is opened first and locked last: a process that dies closes its files in the order in which it opened them,
// so that others never see it run without sharing its ids.
func (c *Controller) showProcess() {
	err := c.SharedState.openProcessLock(c.number)
	if joinErr := c.OpenIDs.Join(c.SharedState.openIDsPath(), c.Identity, c.number); joinErr != nil {
		c.Log.Error("can't share the ids of open requests with other processes of this router", "err", joinErr)
	}
	if err == nil {
		err = c.SharedState.markRunning()
	}
	if err != nil {
		c.Log.Error("can't show other processes of this router that this one runs", "err", err)
	}
}

// refreshOpenIDs adapts the registry of open ids to the processes that run now, and reports whether one of them does not
// share its ids.
func (c *Controller) refreshOpenIDs() (hiddenRuns bool) {
	hiddenRuns = c.hiddenProcessRuns()
	c.OpenIDs.Refresh(hiddenRuns)
	return hiddenRuns
}

// hiddenProcessRuns reports whether a process runs that does not share the ids of its open requests, as one of an older
// version.
func (c *Controller) hiddenProcessRuns() bool {
	c.mu.Lock()
	newerStarted := c.state.Started > c.number
	c.mu.Unlock()
	if c.SharedState.Alone() && !newerStarted {
		return false
	}
	for _, number := range c.SharedState.othersRunning() {
		if !c.OpenIDs.Shares(number) && c.SharedState.IsRunning(number) { // still: it may have ended in between
			return true
		}
	}
	return false
}

// AwaitOpenIDs waits until it is known which ids the older processes have open, but only for as long as they should take to
// share them, and not at all for a process that does not share them.
func (c *Controller) AwaitOpenIDs(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, shareTimeout)
	defer stop()
	check := time.NewTicker(shareCheckInterval)
	defer check.Stop()
	for {
		hiddenRuns := c.refreshOpenIDs()
		if c.OpenIDs.Certain() {
			return
		}
		if ctx.Err() != nil || hiddenRuns {
			c.Log.Warn("another process may have requests open that can't be seen: requests that must not run twice are refused")
			return
		}
		select {
		case <-ctx.Done():
		case <-check.C:
		}
	}
}

// MarkServing records for older processes that this one has started to serve.
func (c *Controller) MarkServing() {
	c.update(func(st *State) { st.Serving = max(st.Serving, c.number) })
}

// SocketPath returns the path of the socket on which this process receives the streams of an older one.
func (c *Controller) SocketPath() string { return c.SharedState.SocketPath(c.number) }

// Successor reports whether a newer process serves and still runs, and returns the path of the socket on which it receives
// streams.
func (c *Controller) Successor() (string, bool) {
	c.refresh()
	c.mu.Lock()
	serving := c.state.Serving
	c.mu.Unlock()
	return c.SharedState.SocketPath(serving), serving > c.number && c.SharedState.IsRunning(serving)
}

// Watch follows the shared file and regularly saves what learned returns for the next process, until ctx ends.
func (c *Controller) Watch(ctx context.Context, learned func() any) {
	saved := time.Now()
	for t := time.NewTicker(pollInterval); ; {
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
		_, newer := c.Successor()
		c.refreshOpenIDs()
		if newer || time.Since(saved) < saveInterval {
			continue
		}
		saved = time.Now()
		if err := c.SharedState.SaveLearned(learned()); err != nil {
			c.Log.Error("the learned state is not kept for an upgrade", "err", err)
		}
	}
}

// refresh adopts the shared state, or retries to write changes that could not be written before.
func (c *Controller) refresh() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.SharedState.path == "" {
		return
	}
	st, err := c.SharedState.Load()
	if len(c.unsaved) > 0 || err != nil || st.isOlderThan(c.state) {
		c.saveChanges()
		return
	}
	c.setState(st)
}

// update changes the state in this process and in the shared file. If the file can't be written, the change still takes
// effect in this process and is written as soon as possible: a call that was answered with success must not be undone.
func (c *Controller) update(update func(*State)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	pending := len(c.unsaved)
	c.unsaved = append(c.unsaved, update)
	if err := c.saveChanges(); err != nil && pending == 0 {
		c.Log.Error("changes that operators asked for are not kept for an upgrade yet", "err", err)
	}
}

// saveChanges applies the unsaved changes to the file and to this process. The caller holds the lock.
func (c *Controller) saveChanges() error {
	local := c.state
	local.Maintenance = slices.Clone(local.Maintenance)
	st, err := c.SharedState.Update(local, c.unsaved...)
	if err != nil {
		applyChanges(&local, c.unsaved)
		c.setState(local)
		return err
	}
	if len(c.unsaved) > 1 {
		c.Log.Info("changes that operators asked for are kept now", "changes", len(c.unsaved))
	}
	c.unsaved = nil
	c.setState(st)
	return nil
}

// setState replaces the state of this process and passes differences on. The caller holds the lock.
func (c *Controller) setState(st State) {
	old := c.state
	c.state = st
	if !slices.Equal(old.Maintenance, st.Maintenance) {
		c.Log.Info("maintenance", "out", st.Maintenance)
		c.Router.SetInMaintenance(st.Maintenance)
	}
	if old.Standby != st.Standby {
		c.Log.Info("standby", "on", st.Standby)
		c.Standby(st.Standby)
	}
}

func (c *Controller) inMaintenance(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Contains(c.state.Maintenance, id)
}

// ServeHTTP implements http.Handler.
func (c *Controller) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	method, run := http.MethodPost, func() int { return http.StatusOK }
	switch r.URL.Path {
	case "/status":
		method = http.MethodGet
		run = func() int {
			if !c.Serving() {
				return http.StatusServiceUnavailable
			}
			return http.StatusOK
		}
	case "/maintenance/enter", "/maintenance/exit":
		run = func() int { return c.setMaintenance(r.URL.Query()["who"], r.URL.Path == "/maintenance/enter") }
	case "/standby", "/active":
		run = func() int {
			c.update(func(st *State) { st.Standby = r.URL.Path == "/standby" })
			return http.StatusOK
		}
	default:
		http.Error(w, "no such call", http.StatusNotFound)
		return
	}
	if r.Method != method {
		w.Header().Set("Allow", method)
		http.Error(w, "wrong method", http.StatusMethodNotAllowed)
		return
	}
	code := run()
	if code != http.StatusOK {
		c.Log.Warn("operator's call refused", "path", r.URL.Path, "query", r.URL.RawQuery, "status", code)
	}
	w.WriteHeader(code)
}

// setMaintenance puts the worker that ids names into maintenance or takes it out, and returns an HTTP status. It is idempotent.
func (c *Controller) setMaintenance(ids []string, enter bool) int {
	if len(ids) != 1 || ids[0] == "" || len(ids[0]) > maxWorkerIDBytes {
		return http.StatusBadRequest
	}
	id := ids[0]
	if !c.Router.HasWorker(id) && !c.inMaintenance(id) {
		return http.StatusNotFound
	}
	c.update(func(st *State) {
		st.Maintenance = slices.DeleteFunc(st.Maintenance, func(b string) bool { return b == id })
		if enter {
			st.Maintenance = append(st.Maintenance, id)
		}
	})
	return http.StatusOK
}

// Serve answers calls on l, one per connection, until l is closed. At most maxConns connections are open at once; silent ones
// are closed to make room for new ones.
func (c *Controller) Serve(l net.Listener, maxConns int) error {
	server := &http.Server{Handler: c, ErrorLog: slog.NewLogLogger(c.Log.Handler(), slog.LevelDebug)}
	server.SetKeepAlivesEnabled(false)
	if err := server.Serve(httpfront.LimitListener(server, l, maxConns, c.Input, c.Log)); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}
