// Package settingsrun measures how soon one real router has changed settings in force, and what a change costs it and its
// clients.
package settingsrun

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"rowanyard/internal/scale/load"
	"rowanyard/internal/scale/onerouter"
)

// Options describe a run.
type Options struct {
	onerouter.Options
	Changes  int           // one after the other
	Interval time.Duration // between the beginnings of two of them
}

// Result is what was measured.
type Result struct {
	Delays  []time.Duration // from writing the file until the router says that it has taken the settings, the shortest first
	Window  time.Duration   // of the changes
	CPU     time.Duration   // of the router, over the window
	Without time.Duration   // ... over a window as long without changes
	Load    load.Result     // of the whole run
}

// Run measures.
func Run(ctx context.Context, o Options) (result Result, err error) {
	o.Reload = true
	d, err := onerouter.Deploy(ctx, o.Options)
	if err != nil {
		return Result{}, err
	}
	defer func() { err = errors.Join(err, d.Close()) }()
	end := d.Play(ctx, o.Options)
	defer end()
	if err := onerouter.Pause(ctx, o.Settle); err != nil {
		return Result{}, err
	}
	result.CPU, result.Window, err = used(d.Router, func() error { return o.change(ctx, d.Router, &result) })
	if err != nil {
		return Result{}, err
	}
	result.Without, _, err = used(d.Router, func() error { return onerouter.Pause(ctx, result.Window) })
	result.Load = end()
	slices.Sort(result.Delays)
	return result, err
}

// used is the processor time that the router takes meanwhile, and how long that is.
func used(router *onerouter.Process, do func() error) (cpu, long time.Duration, err error) {
	before, err := router.Sample()
	if err != nil {
		return 0, 0, err
	}
	if err := do(); err != nil {
		return 0, 0, err
	}
	after, err := router.Sample()
	return after.Process.CPU - before.Process.CPU, after.Process.At.Sub(before.Process.At), err
}

// change changes the settings so many times.
func (o Options) change(ctx context.Context, router *onerouter.Process, result *Result) error {
	for n := range o.Changes {
		settings, err := o.settings(n)
		if err != nil {
			return err
		}
		began := time.Now()
		if err := router.Reload(ctx, settings); err != nil {
			return fmt.Errorf("change %d: %w", n+1, err)
		}
		result.Delays = append(result.Delays, time.Since(began))
		if err := onerouter.Pause(ctx, o.Interval-time.Since(began)); err != nil {
			return err
		}
	}
	return nil
}

// settings are those of the n-th change: another number of routers, so that each differs from the one before.
func (o Options) settings(n int) (json.RawMessage, error) {
	return onerouter.Settings(o.Routers+1+n%2, o.Zones, !o.NoProbes)
}
