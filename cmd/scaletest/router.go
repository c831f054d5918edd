package main

import (
	"context"
	"fmt"
	"io"
	"syscall"
	"time"

	"rowanyard/internal/scale/onerouter"
)

// routerCommand measures one real router with several numbers of workers and rates of requests, one run after the
// other.
type routerCommand struct {
	Program   string        `help:"Path of the router's executable." default:"bin/rowanyard"`
	Workers   []int         `help:"Numbers of workers." default:"100,350,700,1400"`
	Rates     []float64     `help:"Rates of requests at the router, per second." default:"0,13,40"`
	Routers   int           `help:"Number of routers in the settings." default:"${routers}"`
	Readers   float64       `help:"Share of workers that read prompts." default:"${readers}"`
	Zones     int           `help:"Number of zones." default:"${zones}"`
	NoProbes  bool          `help:"Workers do not answer probes. The difference to a run with probes is their cost."`
	Scrape    time.Duration `help:"Time between two scrapes of the router's metrics. 0 turns metrics off." default:"0s"`
	Tokens    int           `help:"Number of events of a response." default:"4"`
	TokenTime time.Duration `help:"Time between two events of a response." default:"0s"`
	Prompt    int           `help:"Size of a prompt in bytes." default:"8000"`
	Settle    time.Duration `help:"Time under load before each measurement." default:"8s"`
	Window    time.Duration `help:"Length of each measurement." default:"20s"`
	Memory    float64       `help:"Memory limit in the router's configuration, in MB." default:"192"`
	Sockets   int           `help:"Limit of descriptors in the router's configuration." default:"1024"`
	Listen    string        `help:"Listen address of the router. Empty selects any free port."`
	Seed      uint64        `help:"Seed of the load." default:"1"`
}

// Validate implements kong's validation hook.
func (c *routerCommand) Validate() error {
	for _, n := range c.Workers {
		if err := checkWorkers(n); err != nil {
			return err
		}
	}
	for _, rate := range c.Rates {
		if err := checkRate("--rates", rate); err != nil {
			return err
		}
	}
	if err := checkReaders(c.Readers); err != nil {
		return err
	}
	switch {
	case c.Routers < 1:
		return fmt.Errorf("--routers: %d, must be at least 1", c.Routers)
	case c.Zones < 1:
		return fmt.Errorf("--zones: %d, must be at least 1", c.Zones)
	case c.Scrape < 0:
		return fmt.Errorf("--scrape: %v, must not be negative", c.Scrape)
	case c.Window <= 0 || c.Settle < 0:
		return fmt.Errorf("--window and --settle: %v and %v, the window must be greater than 0 and the settle time not negative", c.Window, c.Settle)
	case c.Prompt < 4 || c.Tokens < 1:
		return fmt.Errorf("--prompt and --tokens: %d and %d, must be at least 4 and 1", c.Prompt, c.Tokens)
	}
	return nil
}

// Run runs the measurements and writes a table of the results.
func (c *routerCommand) Run(ctx context.Context, out io.Writer) error {
	if err := checkDescriptors(2*c.Sockets + spareDescriptors); err != nil {
		return err
	}
	var results []onerouter.Result
	for _, rate := range c.Rates {
		for _, workers := range c.Workers {
			result, err := onerouter.Run(ctx, onerouter.Options{Program: c.Program, Routers: c.Routers, Workers: workers, Readers: c.Readers,
				Zones: c.Zones, NoProbes: c.NoProbes, Scrape: c.Scrape, Rate: rate, Tokens: c.Tokens, TokenTime: c.TokenTime, Prompt: c.Prompt, Settle: c.Settle, Window: c.Window,
				MemoryMB: c.Memory, Sockets: c.Sockets, Listen: c.Listen, Seed: c.Seed})
			if err != nil {
				return fmt.Errorf("%d workers, %g requests/s: %w", workers, rate, err)
			}
			results = append(results, result)
		}
	}
	return onerouter.WriteTable(out, results)
}

// checkDescriptors checks whether this process may open need file descriptors.
func checkDescriptors(need int) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("cannot read the limit of descriptors: %w", err)
	}
	if limit.Cur < uint64(need) {
		return fmt.Errorf("%d descriptors are needed and the limit is %d: raise it with ulimit -n", need, limit.Cur)
	}
	return nil
}
