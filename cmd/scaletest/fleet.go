package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"rowanyard/internal/scale/fleetsim"
)

// fleetCommand simulates all routers' decision modules and the servers on a virtual clock.
type fleetCommand struct {
	Routers int           `help:"Number of routers." default:"${routers}"`
	Servers int           `help:"Number of servers." default:"${servers}"`
	Rate    float64       `help:"Requests per second over all routers." default:"${rate}"`
	Readers float64       `help:"Share of servers that read prompts." default:"${readers}"`
	Regions int           `help:"Number of regions." default:"${regions}"`
	Zones   int           `help:"Number of zones in all regions together." default:"${zones}"`
	Tenants int           `help:"Number of tenants." default:"${tenants}"`
	Tokens  int           `help:"Mean number of tokens of a response." default:"${tokens}"`
	WarmUp  time.Duration `help:"Simulated warm-up time before the measurement." default:"${warm_up}"`
	Measure time.Duration `help:"Simulated time of the measurement before an event." default:"${measure}"`
	After   time.Duration `help:"Simulated time after the start of an event." default:"${aftermath}"`
	Event   string        `help:"Event to simulate: none, rack, zone or region." default:"${event}"`
	Seed    uint64        `help:"Seed of the simulation." default:"1"`
}

func (c *fleetCommand) options() fleetsim.Options {
	o := fleetsim.Default()
	o.Routers, o.Servers, o.Rate, o.Readers, o.Regions, o.Zones = c.Routers, c.Servers, c.Rate, c.Readers, c.Regions, c.Zones
	o.Tenants, o.Tokens, o.WarmUp, o.Measure, o.Aftermath = c.Tenants, c.Tokens, c.WarmUp, c.Measure, c.After
	o.Event, o.Seed = fleetsim.Event(c.Event), c.Seed
	return o
}

// Validate implements kong's validation hook.
func (c *fleetCommand) Validate() error { return c.options().Check() }

// Run runs the simulation and writes a table of its phases.
func (c *fleetCommand) Run(_ context.Context, out io.Writer) error {
	startedAt := time.Now()
	phases, err := fleetsim.Simulate(c.options())
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "phase\tseconds\trequests\tserved\tbroken streams\tfirst token p50 ms\tp95 ms\tprompt cache hits\tattempts/request\tprobes/request\tpeak reader load\tpeak writer load\tprobes/s per server\tmax probes/s\tpeak cold load\t")
	for _, p := range phases {
		fmt.Fprintf(table, "%s\t%g-%g\t%d\t%.4f\t%d\t%.0f\t%.0f\t%.3f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t\n", p.Name, p.From.Seconds(), p.Until.Seconds(),
			p.Requests, p.ServedShare, p.BrokenStreams, milliseconds(p.FirstTokenP50), milliseconds(p.FirstTokenP95), p.CacheHitShare, p.AttemptsPerRequest, p.ProbesPerRequest,
			p.PeakReaderLoad, p.PeakWriterLoad, p.MeanProbeRate, p.MaxProbeRate, p.PeakColdLoad)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%d routers, %d servers, %g requests/s, event %s, seed %d: simulated in %.0f s\n",
		c.Routers, c.Servers, c.Rate, c.Event, c.Seed, time.Since(startedAt).Seconds())
	return err
}

func milliseconds(d time.Duration) float64 { return d.Seconds() * 1000 }
