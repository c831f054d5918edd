// Package listrun measures how changes of the list of workers reach all routers. One router is real; the others are
// simulated by package watchers at the same discovery service.
package listrun

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"rowanyard/internal/httpfront"
	"rowanyard/internal/scale/onerouter"
	"rowanyard/internal/scale/registry"
	"rowanyard/internal/scale/watchers"
)

// Options configures a run.
type Options struct {
	Program  string // path of the router's executable
	Routers  int    // the real one and the simulated ones
	Workers  int
	Readers  float64
	Zones    int
	Changes  int           // in the burst, one entry each
	Steady   int           // changes one by one, at intervals of Interval
	Interval time.Duration // between the starts of two of them
	Idle     time.Duration // length of the measurement without changes
	Seed     uint64
}

// Step holds the measurements of one kind of change.
type Step struct {
	Name      string
	Changes   int           // number of versions published
	Duration  time.Duration // from the first change until the last router received the last one
	DelayP50  time.Duration // median time from a change until a simulated router received it or a later one
	DelayMax  time.Duration // ... until the last of them received it
	RealDelay time.Duration // longest time from a change until the real router received it
	MeanBytes float64       // bytes received by a simulated router
	MaxBytes  int64         // bytes received by the simulated router that received the most
	PeakRate  float64       // bytes per second received in the busiest five seconds, mean over the simulated routers
	RealCPU   time.Duration // processor time of the real router
	RealBytes int64         // bytes received by the real router from discovery
}

// Timeouts and intervals of the measurement.
const (
	changeTimeout = time.Minute
	peakWindow    = 5 * time.Second
	pollInterval  = 2 * time.Millisecond
)

// run holds the state of a run.
type run struct {
	Options
	registry *registry.Registry
	group    *watchers.Group
	router   *onerouter.Process
	hosts    []httpfront.Entry
	random   *rand.Rand
}

// Run measures all kinds of changes one after the other. On an error it also returns the steps that were completed.
func Run(ctx context.Context, o Options) (steps []Step, err error) {
	d, err := onerouter.Deploy(ctx, onerouter.Options{Program: o.Program, Routers: o.Routers, Workers: o.Workers, Readers: o.Readers,
		Zones: o.Zones, MemoryMB: onerouter.DefaultMemoryMB, Sockets: onerouter.DefaultSockets, Seed: o.Seed})
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, d.Close()) }()
	r := &run{Options: o, registry: d.Registry, router: d.Router, hosts: d.Registry.Hosts(), random: rand.New(rand.NewPCG(o.Seed, 0))}
	endpoint, err := r.registry.AddEndpoint()
	if err != nil {
		return nil, err
	}
	r.group = watchers.Start(o.Routers-1, endpoint.Address, 1)
	defer r.group.Close()
	if _, err := r.applyChange(ctx, r.touchRandomWorker()); err != nil { // once it has arrived, all watches are open
		return nil, err
	}
	for _, step := range []func(context.Context) (Step, error){r.idle, r.oneByOne, r.burst, r.zoneLost, r.zoneBack, r.restartAll} {
		s, err := step(ctx)
		if err != nil {
			return steps, fmt.Errorf("%s: %w", s.Name, err)
		}
		steps = append(steps, s)
	}
	return steps, nil
}

// touchRandomWorker returns a changed entry for one random worker.
func (r *run) touchRandomWorker() []httpfront.Entry {
	h := &r.hosts[r.random.IntN(len(r.hosts))]
	h.BornMs++
	return []httpfront.Entry{*h}
}

// applyChange publishes a change and waits until all simulated routers have received it.
func (r *run) applyChange(ctx context.Context, hosts []httpfront.Entry) (delays []time.Duration, err error) {
	at := time.Now()
	seq := r.registry.Update(hosts...)
	ctx, stop := context.WithTimeout(ctx, changeTimeout)
	defer stop()
	times, err := r.group.Wait(ctx, seq)
	for _, t := range times {
		delays = append(delays, t.Sub(at))
	}
	return delays, err
}

// measureStep runs a step and records its cost.
func (r *run) measureStep(name string, measure func(s *Step) error) (Step, error) {
	s := Step{Name: name}
	before, err := r.router.Sample()
	if err != nil {
		return s, err
	}
	bytes := r.group.Bytes()
	peakRate := measurePeakRate(r.group)
	startedAt := time.Now()
	err = measure(&s)
	s.Duration = time.Since(startedAt)
	s.PeakRate = peakRate()
	if err != nil {
		return s, err
	}
	after, err := r.router.Sample()
	if err != nil {
		return s, err
	}
	s.RealCPU = after.Process.CPU - before.Process.CPU
	s.RealBytes = after.Discovery.In - before.Discovery.In
	for i, n := range r.group.Bytes() {
		received := n - bytes[i]
		s.MeanBytes += float64(received) / float64(r.Routers-1)
		s.MaxBytes = max(s.MaxBytes, received)
	}
	return s, nil
}

// measurePeakRate samples every second how much the watchers receive. The returned function stops the sampling and
// returns the mean rate of the busiest five seconds.
func measurePeakRate(g *watchers.Group) func() float64 {
	stop, done := make(chan struct{}), make(chan float64)
	total := func() (sum float64) {
		all := g.Bytes()
		for _, n := range all {
			sum += float64(n) / float64(len(all))
		}
		return sum
	}
	go func() {
		tick := time.NewTicker(time.Second)
		defer tick.Stop()
		totals := []float64{total()}
		peak := 0.0
		for {
			ended := false
			select {
			case <-tick.C:
			case <-stop:
				ended = true
			}
			totals = append(totals, total())
			first := max(0, len(totals)-1-int(peakWindow/time.Second))
			peak = max(peak, (totals[len(totals)-1]-totals[first])/peakWindow.Seconds())
			if ended {
				done <- peak
				return
			}
		}
	}()
	return func() float64 { close(stop); return <-done }
}

// setDelays sets the delays of the step from those of single routers.
func (s *Step) setDelays(delays []time.Duration) {
	slices.Sort(delays)
	s.DelayP50, s.DelayMax = delays[len(delays)/2], delays[len(delays)-1]
}

// waitForRealRouter waits until the real router has received version seq, and returns the time since from.
func (r *run) waitForRealRouter(ctx context.Context, from time.Time, seq int64) (time.Duration, error) {
	for time.Since(from) < changeTimeout {
		if r.router.ListVersion() >= seq {
			return time.Since(from), nil
		}
		if err := onerouter.Sleep(ctx, pollInterval); err != nil {
			return 0, err
		}
	}
	return 0, fmt.Errorf("the real router did not receive version %d in time", seq)
}

// idle measures watches without changes.
func (r *run) idle(ctx context.Context) (Step, error) {
	return r.measureStep("no change", func(*Step) error { return onerouter.Sleep(ctx, r.Idle) })
}

// oneByOne measures changes that are made one at a time.
func (r *run) oneByOne(ctx context.Context) (Step, error) {
	return r.measureStep("one by one", func(s *Step) error {
		var all []time.Duration
		for range r.Steady {
			at := time.Now()
			delays, err := r.applyChange(ctx, r.touchRandomWorker())
			if err != nil {
				return err
			}
			all = append(all, delays...)
			took, err := r.waitForRealRouter(ctx, at, r.registry.Version())
			if err != nil {
				return err
			}
			s.RealDelay = max(s.RealDelay, took)
			if err := onerouter.Sleep(ctx, r.Interval-time.Since(at)); err != nil {
				return err
			}
		}
		s.Changes = r.Steady
		s.setDelays(all)
		return nil
	})
}

// burst measures many changes made at once.
func (r *run) burst(ctx context.Context) (Step, error) {
	return r.measureStep("burst", func(s *Step) error {
		for range r.Changes - 1 {
			r.registry.Update(r.touchRandomWorker()...)
		}
		s.Changes = r.Changes
		return r.applyLastChange(ctx, s, r.touchRandomWorker())
	})
}

// applyLastChange publishes the last change of a step and waits until all routers, including the real one, have
// received it.
func (r *run) applyLastChange(ctx context.Context, s *Step, hosts []httpfront.Entry) error {
	at := time.Now()
	delays, err := r.applyChange(ctx, hosts)
	if err != nil {
		return err
	}
	s.setDelays(delays)
	s.RealDelay, err = r.waitForRealRouter(ctx, at, r.registry.Version())
	return err
}

// firstZone returns the entries of all workers in the first worker's zone, with the given health.
func (r *run) firstZone(health string) []httpfront.Entry {
	var all []httpfront.Entry
	for _, h := range r.hosts {
		if h.Site == r.hosts[0].Site {
			h.Health = health
			all = append(all, h)
		}
	}
	return all
}

func (r *run) zoneLost(ctx context.Context) (Step, error) {
	return r.measureStep("zone lost", func(s *Step) error {
		s.Changes = 1
		return r.applyLastChange(ctx, s, r.firstZone("removed"))
	})
}

func (r *run) zoneBack(ctx context.Context) (Step, error) {
	return r.measureStep("zone back", func(s *Step) error {
		s.Changes = 1
		return r.applyLastChange(ctx, s, r.firstZone("up"))
	})
}

// restartAll measures all simulated routers requesting the whole list at once. The real one keeps running.
func (r *run) restartAll(ctx context.Context) (Step, error) {
	return r.measureStep("all restart", func(s *Step) error {
		at := time.Now()
		r.group.Restart()
		ctx, stop := context.WithTimeout(ctx, changeTimeout)
		defer stop()
		times, err := r.group.Wait(ctx, r.registry.Version())
		if err != nil {
			return err
		}
		var delays []time.Duration
		for _, t := range times {
			delays = append(delays, t.Sub(at))
		}
		s.setDelays(delays)
		return nil
	})
}
