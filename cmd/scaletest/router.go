package main

import (
	"context"
	"fmt"
	"io"
	"syscall"
	"time"

	"rowanyard/internal/scale/onerouter"
)

// routerCommand plays one real router at some sizes and rates, one run after the other.
type routerCommand struct {
	Program   string        `help:"The router's program." default:"bin/rowanyard"`
	Workers   []int         `help:"Numbers of workers." default:"100,350,700,1400"`
	Rates     []float64     `help:"Requests a second at the router." default:"0,13,40"`
	Routers   int           `help:"Routers that the settings tell of." default:"${routers}"`
	Readers   float64       `help:"Share of workers that read prompts." default:"${readers}"`
	Zones     int           `help:"Zones of the workers." default:"${zones}"`
	NoProbes  bool          `help:"Workers do not answer probes: what probes cost is the difference."`
	Scrape    time.Duration `help:"Time between two scrapes of the router's metrics, 0: they are off." default:"0s"`
	Tokens    int           `help:"Events of an answer." default:"4"`
	TokenTime time.Duration `help:"Time between two events." default:"0s"`
	Prompt    int           `help:"Bytes of a prompt." default:"8000"`
	Settle    time.Duration `help:"Time before each measurement." default:"8s"`
	Window    time.Duration `help:"Time of each measurement." default:"20s"`
	Memory    float64       `help:"Memory limit that the router is told, in MB." default:"192"`
	Sockets   int           `help:"Descriptors that the router is told." default:"1024"`
	Listen    string        `help:"Address of the router, any free port if empty."`
	Seed      uint64        `help:"Seed of the load." default:"1"`
}

// Validate implements kong's check.
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
		return fmt.Errorf("--routers: %d, there is one at least", c.Routers)
	case c.Zones < 1:
		return fmt.Errorf("--zones: %d, there is one at least", c.Zones)
	case c.Scrape < 0:
		return fmt.Errorf("--scrape: %v, want 0 or more", c.Scrape)
	case c.Window <= 0 || c.Settle < 0:
		return fmt.Errorf("--window and --settle: %v and %v are no times to measure in", c.Window, c.Settle)
	case c.Prompt < 4 || c.Tokens < 1:
		return fmt.Errorf("--prompt and --tokens: %d and %d make no request", c.Prompt, c.Tokens)
	}
	return nil
}

// Run measures.
func (c *routerCommand) Run(ctx context.Context, out io.Writer) error {
	if err := enoughDescriptors(2*c.Sockets + spareDescriptor); err != nil {
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

// enoughDescriptors says whether this process may open so many.
func enoughDescriptors(need int) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("descriptors: %w", err)
	}
	if limit.Cur < uint64(need) {
		return fmt.Errorf("%d descriptors are needed and the limit is %d: raise it with ulimit -n", need, limit.Cur)
	}
	return nil
}
