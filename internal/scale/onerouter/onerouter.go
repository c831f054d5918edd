// Package onerouter measures one real router process among simulated workers and a discovery service: the processor
// time, memory and descriptors that the kernel accounts to the process, and the bytes and messages that it exchanges,
// by kind.
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

// Options configures a run.
type Options struct {
	Program   string // path of the router's executable
	Routers   int    // number of routers in the settings
	Workers   int
	Readers   float64 // share of the workers that are readers
	Zones     int
	NoProbes  bool    // the settings state that workers do not answer probes, so that none are sent
	Rate      float64 // requests per second
	Tokens    int     // events of a response
	TokenTime time.Duration
	Prompt    int           // bytes of a prompt
	Settle    time.Duration // time under load before the measurement
	Window    time.Duration // length of the measurement; in a Result, the actual length
	MemoryMB  float64       // limits in the router's configuration
	Sockets   int
	Listen    string        // listen address of the router; "" selects any free port
	Reload    bool          // let the router reload its settings on SIGHUP, see Process.Reload
	Scrape    time.Duration // time between two scrapes of the router's metrics; 0 turns metrics off
	Seed      uint64
}

// Result holds the measurements of a run.
type Result struct {
	Options
	CPU          time.Duration // processor time of the router in the window
	Resident     int64         // bytes of memory at the end
	Threads      int
	Descriptors  int           // open at the end
	WorkerCounts hollow.Counts // messages and connections at the workers
	Discovery    Traffic       // bytes exchanged with discovery
	Scrapes      Scrapes
	LogBytes     int64         // bytes of the router's log
	Load         load.Result   // over the whole run
	StartupTime  time.Duration // from the router's start until it was ready
}

// Traffic counts bytes received and sent by the router, above TCP.
type Traffic struct{ In, Out int64 }

// PerSecond returns a count of the window as a rate.
func (r Result) PerSecond(n int64) float64 { return float64(n) / r.Window.Seconds() }

// Default limits in the router's configuration.
const (
	DefaultMemoryMB = 192 // MB
	DefaultSockets  = 1024
)

const (
	className       = "draft-reply"
	workersPerBlock = 5
)

// Entries returns the entries of a fleet's workers in the list of discovery.
func Entries(f *hollow.Fleet, workers, zones int) []httpfront.Entry {
	all := make([]httpfront.Entry, workers)
	for i := range all {
		class := "writer"
		if f.IsReader(i) {
			class = "reader"
		}
		block := i / workersPerBlock
		all[i] = httpfront.Entry{Host: fmt.Sprintf("worker-%05d", i), Dial: f.Address(i), Site: zoneName(block % zones), Class: class,
			Block: block, Health: "up", Share: 1}
	}
	return all
}

func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

// Settings returns the settings of a deployment with the given numbers of routers and zones. probes reports whether
// workers answer probes.
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
		return nil, errors.New("the settings have no limits object")
	}
	limits["probing"] = probes
	return json.Marshal(set)
}

// Run starts a deployment, puts load on the router, and returns the measurements.
func Run(ctx context.Context, o Options) (result Result, err error) {
	d, err := Deploy(ctx, o)
	if err != nil {
		return Result{}, err
	}
	defer func() { err = errors.Join(err, d.Close()) }()
	result = Result{Options: o, StartupTime: d.Router.StartupTime}
	stopLoad := d.StartLoad(ctx, o)
	defer stopLoad()
	if err := Sleep(ctx, o.Settle); err != nil {
		return Result{}, err
	}
	before, err := d.Router.Sample()
	if err != nil {
		return Result{}, err
	}
	if err := Sleep(ctx, o.Window); err != nil {
		return Result{}, err
	}
	after, err := d.Router.Sample()
	if err != nil {
		return Result{}, err
	}
	result.Load = stopLoad()
	result.setUsage(before, after)
	return result, nil
}

// Sleep waits for the given time. It returns early with an error if ctx ends.
func Sleep(ctx context.Context, wait time.Duration) error {
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// setUsage sets the measurements from snapshots at the start and the end of the window.
func (r *Result) setUsage(a, b Snapshot) {
	r.Window = b.Process.At.Sub(a.Process.At)
	r.CPU = b.Process.CPU - a.Process.CPU
	r.Resident, r.Threads, r.Descriptors = b.Process.Resident, b.Process.Threads, b.Process.Descriptors
	r.WorkerCounts = b.Workers.Since(a.Workers)
	r.Discovery = Traffic{In: b.Discovery.In - a.Discovery.In, Out: b.Discovery.Out - a.Discovery.Out}
	r.LogBytes = b.LogBytes - a.LogBytes
	r.Scrapes = b.Scrapes.since(a.Scrapes)
}
