package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"time"

	"rowanyard/internal/scale/onerouter"
	"rowanyard/internal/scale/settingsrun"
)

// settingsCommand measures how soon a router applies changed settings.
type settingsCommand struct {
	Program  string        `help:"Path of the router's executable." default:"bin/rowanyard"`
	Workers  int           `help:"Number of workers." default:"${servers}"`
	Rate     float64       `help:"Rate of requests at the router, per second." default:"13"`
	Routers  int           `help:"Number of routers in the settings." default:"${routers}"`
	Readers  float64       `help:"Share of workers that read prompts." default:"${readers}"`
	Zones    int           `help:"Number of zones." default:"${zones}"`
	Changes  int           `help:"Number of changes, made one after the other." default:"100"`
	Interval time.Duration `help:"Time between two changes." default:"100ms"`
	Settle   time.Duration `help:"Time under load before the first change." default:"6s"`
	Seed     uint64        `help:"Seed of the load." default:"1"`
}

// Size of each request and its response.
const (
	settingsTokens = 4
	settingsPrompt = 8000 // bytes
)

// Validate implements kong's validation hook.
func (c *settingsCommand) Validate() error {
	if err := cmp.Or(checkWorkers(c.Workers), checkRate("--rate", c.Rate), checkReaders(c.Readers)); err != nil {
		return err
	}
	if c.Routers < 1 || c.Zones < 1 || c.Changes < 1 || c.Interval < 0 || c.Settle < 0 {
		return fmt.Errorf("--routers, --zones and --changes must be at least 1, --interval and --settle not negative")
	}
	return nil
}

// Run runs the measurement and writes its results.
func (c *settingsCommand) Run(ctx context.Context, out io.Writer) error {
	if err := checkDescriptors(2*onerouter.DefaultSockets + spareDescriptors); err != nil {
		return err
	}
	r, err := settingsrun.Run(ctx, settingsrun.Options{Changes: c.Changes, Interval: c.Interval, Options: onerouter.Options{Program: c.Program,
		Routers: c.Routers, Workers: c.Workers, Readers: c.Readers, Zones: c.Zones, Rate: c.Rate, Tokens: settingsTokens, Prompt: settingsPrompt,
		Settle: c.Settle, MemoryMB: onerouter.DefaultMemoryMB, Sockets: onerouter.DefaultSockets, Seed: c.Seed}})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%d changes of the settings at one router with %d workers, %g requests/s, seed %d\n"+
		"in force after: p50 %.2f ms, longest %.2f ms\n"+
		"processor time: %.0f ms in %.1f s with the changes, %.0f ms in as long without\n"+
		"requests: %d sent, %d served, %d refused, %d failed\n",
		c.Changes, c.Workers, c.Rate, c.Seed,
		milliseconds(r.Delays[len(r.Delays)/2]), milliseconds(r.Delays[len(r.Delays)-1]),
		milliseconds(r.CPU), r.Window.Seconds(), milliseconds(r.BaselineCPU),
		r.Load.Sent, r.Load.Served, r.Load.Refused, r.Load.Failed)
	return err
}
