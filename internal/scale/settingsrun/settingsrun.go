// Package settingsrun measures how soon one real router applies changed settings, and what such changes cost the
// router and its clients.
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

// Options configures a run.
type Options struct {
	onerouter.Options
	Changes  int           // number of changes, made one after the other
	Interval time.Duration // between the starts of two changes
}

// Result holds the measurements of a run.
type Result struct {
	Delays      []time.Duration // from writing the file until the router logs that it has applied the settings, shortest first
	Window      time.Duration   // duration of all changes together
	CPU         time.Duration   // processor time of the router in the window
	BaselineCPU time.Duration   // ... in a window of the same length without changes
	Load        load.Result     // over the whole run
}

// Run starts a router under load, changes its settings, and returns the measurements.
func Run(ctx context.Context, o Options) (result Result, err error) {
	o.Reload = true
	d, err := onerouter.Deploy(ctx, o.Options)
	if err != nil {
		return Result{}, err
	}
	defer func() { err = errors.Join(err, d.Close()) }()
	stopLoad := d.StartLoad(ctx, o.Options)
	defer stopLoad()
	if err := onerouter.Sleep(ctx, o.Settle); err != nil {
		return Result{}, err
	}
	result.CPU, result.Window, err = measureCPU(d.Router, func() error { return o.changeSettings(ctx, d.Router, &result) })
	if err != nil {
		return Result{}, err
	}
	result.BaselineCPU, _, err = measureCPU(d.Router, func() error { return onerouter.Sleep(ctx, result.Window) })
	result.Load = stopLoad()
	slices.Sort(result.Delays)
	return result, err
}

// measureCPU returns the processor time that the router uses while do runs, and how long do takes.
func measureCPU(router *onerouter.Process, do func() error) (cpu, elapsed time.Duration, err error) {
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

// changeSettings changes the settings Options.Changes times and records the delays.
func (o Options) changeSettings(ctx context.Context, router *onerouter.Process, result *Result) error {
	for n := range o.Changes {
		settings, err := o.settings(n)
		if err != nil {
			return err
		}
		startedAt := time.Now()
		if err := router.Reload(ctx, settings); err != nil {
			return fmt.Errorf("change %d: %w", n+1, err)
		}
		result.Delays = append(result.Delays, time.Since(startedAt))
		if err := onerouter.Sleep(ctx, o.Interval-time.Since(startedAt)); err != nil {
			return err
		}
	}
	return nil
}

// settings returns the settings of the n-th change. The number of routers alternates, so that they differ from the
// previous ones.
func (o Options) settings(n int) (json.RawMessage, error) {
	return onerouter.Settings(o.Routers+1+n%2, o.Zones, !o.NoProbes)
}
