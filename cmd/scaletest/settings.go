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

// settingsCommand measures how soon changes of the settings are in force.
type settingsCommand struct {
	Program  string        `help:"The router's program." default:"bin/rowanyard"`
	Workers  int           `help:"Workers." default:"${servers}"`
	Rate     float64       `help:"Requests a second at the router." default:"13"`
	Routers  int           `help:"Routers that the settings tell of." default:"${routers}"`
	Readers  float64       `help:"Share of workers that read prompts." default:"${readers}"`
	Zones    int           `help:"Zones of the workers." default:"${zones}"`
	Changes  int           `help:"Changes of the settings, one after the other." default:"100"`
	Interval time.Duration `help:"Time between two of them." default:"100ms"`
	Settle   time.Duration `help:"Time before the first." default:"6s"`
	Seed     uint64        `help:"Seed of the load." default:"1"`
}

// What each request is, beside its place among others.
const (
	settingsTokens = 4
	settingsPrompt = 8000 // bytes
)

// Validate implements kong's check.
func (c *settingsCommand) Validate() error {
	if err := cmp.Or(checkWorkers(c.Workers), checkRate("--rate", c.Rate), checkReaders(c.Readers)); err != nil {
		return err
	}
	if c.Routers < 1 || c.Zones < 1 || c.Changes < 1 || c.Interval < 0 || c.Settle < 0 {
		return fmt.Errorf("--routers, --zones, --changes, --interval, --settle: there is one of each at least")
	}
	return nil
}

// Run measures.
func (c *settingsCommand) Run(ctx context.Context, out io.Writer) error {
	if err := enoughDescriptors(2*onerouter.DefaultSockets + spareDescriptor); err != nil {
		return err
	}
	r, err := settingsrun.Run(ctx, settingsrun.Options{Changes: c.Changes, Interval: c.Interval, Options: onerouter.Options{Program: c.Program,
		Routers: c.Routers, Workers: c.Workers, Readers: c.Readers, Zones: c.Zones, Rate: c.Rate, Tokens: settingsTokens, Prompt: settingsPrompt,
		Settle: c.Settle, MemoryMB: onerouter.DefaultMemory, Sockets: onerouter.DefaultSockets, Seed: c.Seed}})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%d changes of the settings at one router before %d workers, %g requests/s, seed %d\n"+
		"in force after: p50 %.2f ms, longest %.2f ms\n"+
		"processor time: %.0f ms in %.1f s with the changes, %.0f ms in as long without\n"+
		"requests: %d sent, %d served, %d refused, %d failed\n",
		c.Changes, c.Workers, c.Rate, c.Seed,
		milliseconds(r.Delays[len(r.Delays)/2]), milliseconds(r.Delays[len(r.Delays)-1]),
		milliseconds(r.CPU), r.Window.Seconds(), milliseconds(r.Without),
		r.Load.Sent, r.Load.Served, r.Load.Refused, r.Load.Failed)
	return err
}
