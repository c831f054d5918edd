// Package operator is the operators' own address: status, maintenance of workers, standby. This file owns
// the calls and what they have asked for, in this process and in the one that takes over from it. It must
// never decide where requests go: a worker that is out counts as draining, and the rest is the module's.
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
)

const (
	callTime = 2 * time.Second        // a call has come and gone after this
	lookTime = 100 * time.Millisecond // the other process's news is looked for so often
	keepTime = time.Second            // what is known is kept so often
	maxWho   = 256                    // bytes of a worker's id
)

// Router is what the calls act on.
type Router interface {
	// Known says whether the list of workers has this one.
	Known(id string) bool
	// SetBanned names all workers that are out for maintenance.
	SetBanned(ids []string)
}

// Desk carries out the operators' calls.
type Desk struct {
	Share   *Share
	Router  Router
	Standby func(on bool) // empties the fronts, or puts them back to work
	Serving func() bool
	Log     *slog.Logger

	mu     sync.Mutex
	state  State
	mine   int            // this process's number
	unkept []func(*State) // changes that are not in the file yet, the oldest first
}

// Begin takes what holds from before: what an older process was told.
func (d *Desk) Begin() {
	alone := d.Share.Alone()
	d.change(func(st *State) {
		if d.mine == 0 {
			d.mine = st.Started + 1
		}
		if alone && st.Serving < d.mine { // nobody serves any more
			st.Serving = 0
		}
		st.Started = max(st.Started, d.mine)
	})
	if err := d.Share.Join(d.mine); err != nil {
		d.Log.Error("another process can't see that this one runs", "err", err)
	}
}

// Serves tells an older process that this one has begun to serve.
func (d *Desk) Serves() { d.change(func(st *State) { st.Serving = max(st.Serving, d.mine) }) }

// Socket is where this process takes the streams of an older one.
func (d *Desk) Socket() string { return d.Share.Socket(d.mine) }

// Successor says whether a newer process serves in this one's place, and where it takes streams. One that has
// served and died is none.
func (d *Desk) Successor() (string, bool) {
	d.look()
	d.mu.Lock()
	serving := d.state.Serving
	d.mu.Unlock()
	return d.Share.Socket(serving), serving > d.mine && d.Share.Runs(serving)
}

// Watch follows what the other process is told, and keeps what this one knows for the next, until ctx ends.
func (d *Desk) Watch(ctx context.Context, known func() any) {
	kept := time.Now()
	for t := time.NewTicker(lookTime); ; {
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
		if _, newer := d.Successor(); newer || time.Since(kept) < keepTime {
			continue
		}
		kept = time.Now()
		if err := d.Share.Keep(known()); err != nil {
			d.Log.Error("nothing is kept for an upgrade", "err", err)
		}
	}
}

// look takes what the other process was told, and writes what could not be written before.
func (d *Desk) look() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.Share.path == "" {
		return
	}
	st, err := d.Share.Load()
	if len(d.unkept) > 0 || err != nil {
		d.keep()
		return
	}
	d.take(st)
}

// change changes the state here and in the file. Where the file fails it holds here all the same, and is written as soon as that
// can be done: what operators were told has been done must not be taken back.
func (d *Desk) change(change func(*State)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := len(d.unkept)
	d.unkept = append(d.unkept, change)
	if err := d.keep(); err != nil && before == 0 {
		d.Log.Error("what operators asked for is not kept yet for an upgrade", "err", err)
	}
}

// keep makes the changes that are not in the file yet, here and there. The caller holds the lock.
func (d *Desk) keep() error {
	known := d.state
	known.Banned = slices.Clone(known.Banned)
	st, err := d.Share.Update(known, d.unkept...)
	if err != nil {
		apply(&known, d.unkept)
		d.take(known)
		return err
	}
	if len(d.unkept) > 1 {
		d.Log.Info("what operators asked for is kept now", "changes", len(d.unkept))
	}
	d.unkept = nil
	d.take(st)
	return nil
}

// take makes st what holds here.
func (d *Desk) take(st State) {
	old := d.state
	d.state = st
	if !slices.Equal(old.Banned, st.Banned) {
		d.Log.Info("maintenance", "out", st.Banned)
		d.Router.SetBanned(st.Banned)
	}
	if old.Standby != st.Standby {
		d.Log.Info("standby", "on", st.Standby)
		d.Standby(st.Standby)
	}
}

func (d *Desk) out(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Contains(d.state.Banned, id)
}

// ServeHTTP carries out one call.
func (d *Desk) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	method, call := http.MethodPost, func() int { return http.StatusOK }
	switch r.URL.Path {
	case "/status":
		method = http.MethodGet
		call = func() int {
			if !d.Serving() {
				return http.StatusServiceUnavailable
			}
			return http.StatusOK
		}
	case "/maintenance/enter", "/maintenance/exit":
		call = func() int { return d.maintain(r.URL.Query()["who"], r.URL.Path == "/maintenance/enter") }
	case "/standby", "/active":
		call = func() int {
			d.change(func(st *State) { st.Standby = r.URL.Path == "/standby" })
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
	code := call()
	if code != http.StatusOK {
		d.Log.Warn("operator's call refused", "path", r.URL.Path, "query", r.URL.RawQuery, "status", code)
	}
	w.WriteHeader(code)
}

// maintain takes a worker out or puts it back. Taking it out twice is the same as once.
func (d *Desk) maintain(who []string, enter bool) int {
	if len(who) != 1 || who[0] == "" || len(who[0]) > maxWho {
		return http.StatusBadRequest
	}
	id := who[0]
	if !d.Router.Known(id) && !d.out(id) {
		return http.StatusNotFound
	}
	d.change(func(st *State) {
		st.Banned = slices.DeleteFunc(st.Banned, func(b string) bool { return b == id })
		if enter {
			st.Banned = append(st.Banned, id)
		}
	})
	return http.StatusOK
}

// Serve answers calls on l, one a connection, until l is closed. Whoever connects and says nothing makes
// room for others, of whom most are held at once.
func (d *Desk) Serve(l net.Listener, most int) error {
	server := &http.Server{Handler: d, ReadTimeout: callTime, WriteTimeout: callTime,
		ErrorLog: slog.NewLogLogger(d.Log.Handler(), slog.LevelDebug)}
	server.SetKeepAlivesEnabled(false)
	if err := server.Serve(httpfront.Guard(server, l, most, d.Log)); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}
