package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"rowanyard/internal/scale/fleetsim"
)

// fleetCommand plays all routers' decision modules on a virtual clock.
type fleetCommand struct {
	Routers int           `help:"Routers." default:"${routers}"`
	Servers int           `help:"Servers." default:"${servers}"`
	Rate    float64       `help:"Requests a second over all routers." default:"${rate}"`
	Readers float64       `help:"Share of servers that read prompts." default:"${readers}"`
	Regions int           `help:"Regions." default:"${regions}"`
	Zones   int           `help:"Zones in all." default:"${zones}"`
	Tenants int           `help:"Tenants." default:"${tenants}"`
	Tokens  int           `help:"Tokens of an answer." default:"${tokens}"`
	WarmUp  time.Duration `help:"Time before anything is counted." default:"${warm_up}"`
	Measure time.Duration `help:"Time of the steady measurement." default:"${measure}"`
	After   time.Duration `help:"Time after an event." default:"${aftermath}"`
	Event   string        `help:"What happens: none, rack, zone or region." default:"${event}"`
	Seed    uint64        `help:"Seed of the play." default:"1"`
}

func (c *fleetCommand) options() fleetsim.Options {
	o := fleetsim.Default()
	o.Routers, o.Servers, o.Rate, o.Readers, o.Regions, o.Zones = c.Routers, c.Servers, c.Rate, c.Readers, c.Regions, c.Zones
	o.Tenants, o.Tokens, o.WarmUp, o.Measure, o.Aftermath = c.Tenants, c.Tokens, c.WarmUp, c.Measure, c.After
	o.Event, o.Seed = fleetsim.Event(c.Event), c.Seed
	return o
}

// Validate implements kong's check.
func (c *fleetCommand) Validate() error { return c.options().Check() }

// Run plays the fleet.
func (c *fleetCommand) Run(_ context.Context, out io.Writer) error {
	began := time.Now()
	phases, err := fleetsim.Play(c.options())
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "phase\tseconds\trequests\tserved\tbroken\tfirst token p50 ms\tp95 ms\tfound kept\tattempts/request\tprobes/request\tworst reader\tworst writer\tprobes/s at a server\tmost\tcold worst\t")
	for _, p := range phases {
		fmt.Fprintf(table, "%s\t%g-%g\t%d\t%.4f\t%d\t%.0f\t%.0f\t%.3f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t\n", p.Name, p.From.Seconds(), p.Until.Seconds(),
			p.Came, p.Served, p.Broken, milliseconds(p.First50), milliseconds(p.First95), p.Found, p.Attempts, p.Probes,
			p.WorstReader, p.WorstWriter, p.ProbesAtServer, p.MostProbesAtServer, p.ColdWorst)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%d routers, %d servers, %g requests/s, event %s, seed %d: played in %.0f s\n",
		c.Routers, c.Servers, c.Rate, c.Event, c.Seed, time.Since(began).Seconds())
	return err
}

func milliseconds(d time.Duration) float64 { return d.Seconds() * 1000 }
