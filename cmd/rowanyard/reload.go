package main

// This file takes what has changed in the files of the router when SIGHUP comes. What is bad leaves the old one in force.

import (
	"encoding/json"
	"log/slog"
	"net"
	"os"
	"reflect"
	"sync/atomic"
	"time"

	"rowanyard/decide"
	"rowanyard/internal/core"
	"rowanyard/internal/describe"
	"rowanyard/internal/httpfront"
	"rowanyard/internal/setup"
	"rowanyard/internal/wire"
)

// reloader owns what of the router's files can change while the process runs.
type reloader struct {
	discovery *httpfront.Discovery
	core      *core.Core
	routes    *describe.Routes
	memory    float64                 // the router's limit, which the operator's file is checked against
	known     func(class string) bool // the classes that there are
	log       *slog.Logger

	settings bool         // settings are put in force without a restart
	grants   bool         // others carry attempts, on terms that were made with the settings of the start
	site     wire.Site    // what is in force
	longest  atomic.Int64 // the longest deadline that a class has had
}

// follow reloads at each signal.
func (r *reloader) follow(signals <-chan os.Signal) {
	for range signals {
		r.reload()
	}
}

// reload reads both files again. What the environment says of discovery was fixed at the start and does not count any more.
func (r *reloader) reload() {
	cfg, err := read()
	if err == nil {
		_, _, err = net.SplitHostPort(cfg.Discovery)
	}
	if err != nil {
		r.log.Error("new configuration is not taken, the old one holds", "err", err)
	} else {
		r.log.Info("new configuration", "discovery", cfg.Discovery)
		r.discovery.Follow(cfg.Discovery, 0)
		r.takeSettings(cfg.Settings)
	}
	r.takeDescriptions()
}

// takeSettings puts the settings in force for requests that begin from now on, if the operator wants that.
func (r *reloader) takeSettings(text json.RawMessage) {
	if !r.settings {
		return
	}
	next, err := wire.ParseSite(text)
	if err == nil && reflect.DeepEqual(next, r.site) {
		return
	}
	began := time.Now()
	if err == nil {
		err = r.apply(next)
	}
	if err != nil {
		r.log.Error("new settings are not taken, the old ones hold", "err", err)
		return
	}
	r.use(next)
	r.log.Info("new settings", "took_us", time.Since(began).Microseconds())
}

// apply hands settings to the core, unless they change what this process was started with.
func (r *reloader) apply(next wire.Site) error {
	if err := r.site.NeedsRestart(next); err != nil {
		return err
	}
	if r.grants && next.MaxRetryAfter != r.site.MaxRetryAfter {
		return &decide.RestartError{What: "limits.max_retry_after, with ext_proc or decisions"}
	}
	return r.core.Apply(next.Settings)
}

// use notes what is in force.
func (r *reloader) use(site wire.Site) {
	r.site = site
	longest := time.Duration(r.longest.Load())
	for _, class := range site.Classes {
		longest = max(longest, class.Deadline)
	}
	r.longest.Store(int64(longest))
}

// takeDescriptions takes the descriptions that the operator's file names for requests that begin from now on. All else in it
// holds until a restart.
func (r *reloader) takeDescriptions() {
	path := os.Getenv("ROWANYARD_OPERATOR")
	if path == "" {
		return
	}
	_, next, err := setup.Read(path, r.memory, r.known)
	if err != nil {
		r.log.Error("new operator's file is not taken, the old one holds", "err", err)
		return
	}
	r.routes.Replace(next)
	r.log.Info("new descriptions", "file", path)
}
