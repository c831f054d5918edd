// Package onerouter measures one real router, a process of its own, before a fleet of hollow workers and a discovery: the
// processor time, memory and descriptors that the kernel accounts to it, and the bytes and messages that pass, by kind.
package onerouter

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"rowanyard/internal/httpfront"
	"rowanyard/internal/scale/hollow"
	"rowanyard/internal/scale/load"
	"rowanyard/internal/standin"
)

// Options describe a run.
type Options struct {
	Program   string // the router's
	Routers   int    // that the settings tell of
	Workers   int
	Readers   float64 // the share of workers that read
	Zones     int
	NoProbes  bool    // workers do not answer probes, so that none are sent
	Rate      float64 // requests a second
	Tokens    int     // events of an answer
	TokenTime time.Duration
	Prompt    int           // bytes of a prompt
	Settle    time.Duration // before the measurement
	Window    time.Duration // of the measurement; in a result, as long as it was
	MemoryMB  float64       // limits that the router is told
	Sockets   int
	Listen    string        // where the router listens, "" = any free port
	Reload    bool          // it takes changed settings at SIGHUP, see Process.Reload
	Scrape    time.Duration // between two scrapes of its metrics, 0: they are off
	Seed      uint64
}

// Result is what was measured in the window.
type Result struct {
	Options
	CPU         time.Duration // processor time
	Resident    int64         // bytes, at the end
	Threads     int
	Descriptors int           // open, at the end
	Met         hollow.Counts // by the workers
	Discovery   Flow          // from the router's point of view
	Scrapes     Scrapes
	Log         int64
	Load        load.Result // of the whole run
	Ready       time.Duration
}

// Flow is bytes to and from the router, above TCP.
type Flow struct{ In, Out int64 }

// PerSecond is a count of the window as a rate.
func (r Result) PerSecond(n int64) float64 { return float64(n) / r.Window.Seconds() }

// What a router is told of its limits unless there is a reason for others.
const (
	DefaultMemory  = 192 // MB
	DefaultSockets = 1024
)

const (
	className = "draft-reply"
	blockSize = 5 // workers
)

// Entries lists the workers of a fleet as discovery does.
func Entries(f *hollow.Fleet, workers, zones int) []httpfront.Entry {
	all := make([]httpfront.Entry, workers)
	for i := range all {
		class := "writer"
		if f.IsReader(i) {
			class = "reader"
		}
		block := i / blockSize
		all[i] = httpfront.Entry{Host: fmt.Sprintf("worker-%05d", i), Dial: f.Address(i), Site: zoneName(block % zones), Class: class,
			Block: block, Health: "up", Share: 1}
	}
	return all
}

func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

// Settings is the settings object of a deployment of that size, in which servers answer probes or do not.
func Settings(routers, zones int, probes bool) (json.RawMessage, error) {
	var set map[string]any
	if err := json.Unmarshal(standin.Settings(), &set); err != nil {
		return nil, err
	}
	names := make([]string, zones)
	for i := range names {
		names[i] = zoneName(i)
	}
	set["n_instances"], set["zones"] = routers, names
	limits, ok := set["limits"].(map[string]any)
	if !ok {
		return nil, errors.New("the settings have no limits")
	}
	limits["probing"] = probes
	return json.Marshal(set)
}

// Run plays one run.
func Run(ctx context.Context, o Options) (result Result, err error) {
	d, err := Deploy(ctx, o)
	if err != nil {
		return Result{}, err
	}
	defer func() { err = errors.Join(err, d.Close()) }()
	result = Result{Options: o, Ready: d.Router.Ready}
	end := d.Play(ctx, o)
	defer end()
	if err := Pause(ctx, o.Settle); err != nil {
		return Result{}, err
	}
	before, err := d.Router.Sample()
	if err != nil {
		return Result{}, err
	}
	if err := Pause(ctx, o.Window); err != nil {
		return Result{}, err
	}
	after, err := d.Router.Sample()
	if err != nil {
		return Result{}, err
	}
	result.Load = end()
	result.between(before, after)
	return result, nil
}

// Pause waits for so long, or until ctx ends.
func Pause(ctx context.Context, wait time.Duration) error {
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// between fills in what was used between two moments.
func (r *Result) between(a, b Moment) {
	r.Window = b.Process.At.Sub(a.Process.At)
	r.CPU = b.Process.CPU - a.Process.CPU
	r.Resident, r.Threads, r.Descriptors = b.Process.Resident, b.Process.Threads, b.Process.Descriptors
	r.Met = b.Workers.Since(a.Workers)
	r.Discovery = Flow{In: b.Discovery.In - a.Discovery.In, Out: b.Discovery.Out - a.Discovery.Out}
	r.Log = b.Log - a.Log
	r.Scrapes = b.Scrapes.since(a.Scrapes)
}
