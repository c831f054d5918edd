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

// discoveryCommand measures how changes of the list of workers reach all routers.
type discoveryCommand struct {
	Program  string        `help:"Path of the router's executable." default:"bin/rowanyard"`
	Routers  int           `help:"Number of routers, one of them real." default:"${routers}"`
	Workers  int           `help:"Number of workers." default:"${servers}"`
	Readers  float64       `help:"Share of workers that read prompts." default:"${readers}"`
	Zones    int           `help:"Number of zones." default:"${zones}"`
	Steady   int           `help:"Number of changes made one by one." default:"100"`
	Interval time.Duration `help:"Time between two of these changes." default:"100ms"`
	Changes  int           `help:"Number of changes in the burst." default:"1000"`
	Idle     time.Duration `help:"Length of the measurement without changes." default:"10s"`
	Seed     uint64        `help:"Seed that selects the workers that change." default:"1"`
}

const maxRouters = 4096

// Validate implements kong's validation hook.
func (c *discoveryCommand) Validate() error {
	if err := cmp.Or(checkWorkers(c.Workers), checkReaders(c.Readers)); err != nil {
		return err
	}
	switch {
	case c.Routers < 2 || c.Routers > maxRouters:
		return fmt.Errorf("--routers: %d, must be between 2 and %d", c.Routers, maxRouters)
	case c.Zones < 1 || c.Steady < 1 || c.Changes < 1 || c.Idle <= 0 || c.Interval < 0:
		return fmt.Errorf("--zones, --steady and --changes must be at least 1, --idle greater than 0 and --interval not negative")
	}
	return nil
}

// Run runs the measurement and writes a table of its steps.
func (c *discoveryCommand) Run(ctx context.Context, out io.Writer) error {
	if err := checkDescriptors(2*c.Routers + onerouter.DefaultSockets + spareDescriptors); err != nil {
		return err
	}
	steps, err := listrun.Run(ctx, listrun.Options{Program: c.Program, Routers: c.Routers, Workers: c.Workers, Readers: c.Readers, Zones: c.Zones,
		Steady: c.Steady, Interval: c.Interval, Changes: c.Changes, Idle: c.Idle, Seed: c.Seed})
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "step\tchanges\tseconds\tdelay p50 ms\tdelay max ms\treal router ms\tB/router\tmax B\tpeak 5 s B/s\treal router B\treal router CPU ms\t")
	for _, s := range steps {
		fmt.Fprintf(table, "%s\t%d\t%.2f\t%.1f\t%.1f\t%.1f\t%.0f\t%d\t%.0f\t%d\t%.0f\t\n", s.Name, s.Changes, s.Duration.Seconds(), milliseconds(s.DelayP50),
			milliseconds(s.DelayMax), milliseconds(s.RealDelay), s.MeanBytes, s.MaxBytes, s.PeakRate, s.RealBytes, milliseconds(s.RealCPU))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%d routers, one of them real, %d workers, seed %d\n", c.Routers, c.Workers, c.Seed)
	return err
}
