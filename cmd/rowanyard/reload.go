package main

// Reloading of the configuration files on SIGHUP. An invalid file leaves the current state in force.

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

// configReloader applies changes of the configuration files while the process runs.
type configReloader struct {
	discovery   *httpfront.Discovery
	core        *core.Core
	routes      *describe.Routes
	memoryBytes float64                 // the memory limit that the operator's file is validated against
	classExists func(class string) bool // reports whether the settings define a class
	log         *slog.Logger

	settingsReload  bool                // settings may change without a restart
	grantsEnabled   bool                // attempts are granted to callers, on terms that are derived from the settings at the start
	active          wire.RouterSettings // the settings in force
	longestDeadline atomic.Int64        // nanoseconds; the longest deadline of any class so far
}

// handleSignals reloads the files on each signal.
func (r *configReloader) handleSignals(signals <-chan os.Signal) {
	for range signals {
		r.reload()
	}
}

// reload reads both files again. The discovery address comes from the file: environment overrides apply at the start only.
func (r *configReloader) reload() {
	cfg, err := readConfig()
	if err == nil {
		_, _, err = net.SplitHostPort(cfg.Discovery)
	}
	if err != nil {
		r.log.Error("new configuration is not taken, the old one holds", "err", err)
	} else {
		r.log.Info("new configuration", "discovery", cfg.Discovery)
		r.discovery.Follow(cfg.Discovery, 0)
		r.reloadSettings(cfg.Settings)
	}
	r.reloadDescriptions()
}

// reloadSettings applies changed settings to requests that arrive from now on, if the operator's file enables that.
func (r *configReloader) reloadSettings(text json.RawMessage) {
	if !r.settingsReload {
		return
	}
	next, err := wire.ParseRouterSettings(text)
	if err == nil && reflect.DeepEqual(next, r.active) {
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
	r.setActive(next)
	r.log.Info("new settings", "took_us", time.Since(began).Microseconds())
}

// apply passes settings to the core. It fails if they change something that needs a restart.
func (r *configReloader) apply(next wire.RouterSettings) error {
	if err := r.active.NeedsRestart(next); err != nil {
		return err
	}
	if r.grantsEnabled && next.MaxRetryAfter != r.active.MaxRetryAfter {
		return &decide.RestartError{Setting: "limits.max_retry_after, with ext_proc or decisions"}
	}
	return r.core.Apply(next.Settings)
}

// setActive records the settings in force.
func (r *configReloader) setActive(active wire.RouterSettings) {
	r.active = active
	longestDeadline := time.Duration(r.longestDeadline.Load())
	for _, class := range active.Classes {
		longestDeadline = max(longestDeadline, class.Deadline)
	}
	r.longestDeadline.Store(int64(longestDeadline))
}

// reloadDescriptions applies the API descriptions named by the operator's file to requests that arrive from now on. All
// other keys of that file need a restart.
func (r *configReloader) reloadDescriptions() {
	path := os.Getenv("ROWANYARD_OPERATOR")
	if path == "" {
		return
	}
	_, next, err := setup.Read(path, r.memoryBytes, r.classExists)
	if err != nil {
		r.log.Error("new operator's file is not taken, the old one holds", "err", err)
		return
	}
	r.routes.Replace(next)
	r.log.Info("new descriptions", "file", path)
}
