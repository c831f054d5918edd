package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"rowanyard/internal/scale/listrun"
	"rowanyard/internal/scale/onerouter"
)

// discoveryCommand measures how lists reach all routers.
type discoveryCommand struct {
	Program  string        `help:"The router's program." default:"bin/rowanyard"`
	Routers  int           `help:"Routers, one of them real." default:"${routers}"`
	Workers  int           `help:"Workers." default:"${servers}"`
	Readers  float64       `help:"Share of workers that read prompts." default:"${readers}"`
	Zones    int           `help:"Zones of the workers." default:"${zones}"`
	Steady   int           `help:"Changes one by one." default:"100"`
	Interval time.Duration `help:"Time between two of them." default:"100ms"`
	Changes  int           `help:"Changes of a burst." default:"1000"`
	Idle     time.Duration `help:"Time without a change." default:"10s"`
	Seed     uint64        `help:"Seed of what changes." default:"1"`
}

const mostRouters = 4096

// Validate implements kong's check.
func (c *discoveryCommand) Validate() error {
	if err := cmp.Or(checkWorkers(c.Workers), checkReaders(c.Readers)); err != nil {
		return err
	}
	switch {
	case c.Routers < 2 || c.Routers > mostRouters:
		return fmt.Errorf("--routers: %d, there may be 2 to %d", c.Routers, mostRouters)
	case c.Zones < 1 || c.Steady < 1 || c.Changes < 1 || c.Idle <= 0 || c.Interval < 0:
		return fmt.Errorf("--zones, --steady, --changes, --idle, --interval: there is one of each at least")
	}
	return nil
}

// Run measures.
func (c *discoveryCommand) Run(ctx context.Context, out io.Writer) error {
	if err := enoughDescriptors(2*c.Routers + onerouter.DefaultSockets + spareDescriptor); err != nil {
		return err
	}
	steps, err := listrun.Run(ctx, listrun.Options{Program: c.Program, Routers: c.Routers, Workers: c.Workers, Readers: c.Readers, Zones: c.Zones,
		Steady: c.Steady, Interval: c.Interval, Changes: c.Changes, Idle: c.Idle, Seed: c.Seed})
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "step\tchanges\tseconds\tdelay p50 ms\tlast router ms\treal router ms\tB/router\tmost B\tworst 5 s B/s\treal router B\treal router CPU ms\t")
	for _, s := range steps {
		fmt.Fprintf(table, "%s\t%d\t%.2f\t%.1f\t%.1f\t%.1f\t%.0f\t%d\t%.0f\t%d\t%.0f\t\n", s.Name, s.Changes, s.Long.Seconds(), milliseconds(s.Delay50),
			milliseconds(s.DelayLast), milliseconds(s.RealDelay), s.Mean, s.Most, s.Worst5, s.RealBytes, milliseconds(s.RealCPU))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%d routers, one of them real, %d workers, seed %d\n", c.Routers, c.Workers, c.Seed)
	return err
}
