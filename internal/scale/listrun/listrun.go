// Package listrun measures how lists of workers and their changes reach all routers: one real router and hollow watchers at
// one discovery.
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

// Options describe a run.
type Options struct {
	Program  string // the router's
	Routers  int    // the real one and the hollow ones
	Workers  int
	Readers  float64
	Zones    int
	Changes  int           // of a burst, one entry each
	Steady   int           // changes one by one, Interval apart
	Interval time.Duration // between two of them
	Idle     time.Duration // of the measurement without a change
	Seed     uint64
}

// Step is what one kind of change cost.
type Step struct {
	Name      string
	Changes   int           // versions
	Long      time.Duration // from the first change until the last router had the last one
	Delay50   time.Duration // from a change until a hollow router had it or a later one
	DelayLast time.Duration // ... until the last of them had
	RealDelay time.Duration // from the last change until the real router had it, at the most
	Mean      float64       // bytes that a hollow router received
	Most      int64
	Worst5    float64       // bytes a second that a router received in the worst five seconds, in the mean over routers
	RealCPU   time.Duration // of the real router
	RealBytes int64
}

// limits of waiting.
const (
	changeWait = time.Minute
	worstSpan  = 5 * time.Second
	lookStep   = 2 * time.Millisecond
)

// run is a run under way.
type run struct {
	Options
	registry *registry.Registry
	group    *watchers.Group
	router   *onerouter.Process
	hosts    []httpfront.Entry
	random   *rand.Rand
}

// Run measures all kinds of changes, one after the other.
func Run(ctx context.Context, o Options) (steps []Step, err error) {
	d, err := onerouter.Deploy(ctx, onerouter.Options{Program: o.Program, Routers: o.Routers, Workers: o.Workers, Readers: o.Readers,
		Zones: o.Zones, MemoryMB: onerouter.DefaultMemory, Sockets: onerouter.DefaultSockets, Seed: o.Seed})
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, d.Close()) }()
	r := &run{Options: o, registry: d.Registry, router: d.Router, hosts: d.Registry.Hosts(), random: rand.New(rand.NewPCG(o.Seed, 0))}
	hollowDoor, err := r.registry.Open()
	if err != nil {
		return nil, err
	}
	r.group = watchers.Start(o.Routers-1, hollowDoor.Address, 1)
	defer r.group.Close()
	if _, err := r.change(ctx, r.flip()); err != nil { // all watches are open once it has come
		return nil, err
	}
	for _, step := range []func(context.Context) (Step, error){r.idle, r.steady, r.burst, r.zoneLost, r.zoneBack, r.restart} {
		s, err := step(ctx)
		if err != nil {
			return steps, fmt.Errorf("%s: %w", s.Name, err)
		}
		steps = append(steps, s)
	}
	return steps, nil
}

// flip changes one entry.
func (r *run) flip() []httpfront.Entry {
	h := &r.hosts[r.random.IntN(len(r.hosts))]
	h.BornMs++
	return []httpfront.Entry{*h}
}

// change makes a change and waits until everybody has it.
func (r *run) change(ctx context.Context, hosts []httpfront.Entry) (delays []time.Duration, err error) {
	at := time.Now()
	seq := r.registry.Change(hosts...)
	ctx, stop := context.WithTimeout(ctx, changeWait)
	defer stop()
	times, err := r.group.Wait(ctx, seq)
	for _, t := range times {
		delays = append(delays, t.Sub(at))
	}
	return delays, err
}

// measured plays a step and fills in what it cost.
func (r *run) measured(name string, do func(s *Step) error) (Step, error) {
	s := Step{Name: name}
	before, err := r.router.Sample()
	if err != nil {
		return s, err
	}
	bytes := r.group.Bytes()
	worst := watchRate(r.group)
	began := time.Now()
	err = do(&s)
	s.Long = time.Since(began)
	s.Worst5 = worst()
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
		got := n - bytes[i]
		s.Mean += float64(got) / float64(r.Routers-1)
		s.Most = max(s.Most, got)
	}
	return s, nil
}

// watchRate looks at what routers receive each second; the function that it returns ends that and tells the worst five
// seconds, as a rate.
func watchRate(g *watchers.Group) func() float64 {
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
		worst := 0.0
		for {
			ended := false
			select {
			case <-tick.C:
			case <-stop:
				ended = true
			}
			totals = append(totals, total())
			first := max(0, len(totals)-1-int(worstSpan/time.Second))
			worst = max(worst, (totals[len(totals)-1]-totals[first])/worstSpan.Seconds())
			if ended {
				done <- worst
				return
			}
		}
	}()
	return func() float64 { close(stop); return <-done }
}

// delayed books the delays of changes.
func (s *Step) delayed(delays []time.Duration) {
	slices.Sort(delays)
	s.Delay50, s.DelayLast = delays[len(delays)/2], delays[len(delays)-1]
}

// untilReal waits until the real router has received all that a hollow one has, and returns how long that took.
func (r *run) untilReal(ctx context.Context, from time.Time, seq int64) (time.Duration, error) {
	for time.Since(from) < changeWait {
		if r.router.Version() >= seq {
			return time.Since(from), nil
		}
		if err := onerouter.Pause(ctx, lookStep); err != nil {
			return 0, err
		}
	}
	return 0, fmt.Errorf("the real router has not had version %d", seq)
}

// idle is a watch on which nothing changes.
func (r *run) idle(ctx context.Context) (Step, error) {
	return r.measured("no change", func(*Step) error { return onerouter.Pause(ctx, r.Idle) })
}

// steady is changes one by one.
func (r *run) steady(ctx context.Context) (Step, error) {
	return r.measured("one by one", func(s *Step) error {
		var all []time.Duration
		for range r.Steady {
			at := time.Now()
			delays, err := r.change(ctx, r.flip())
			if err != nil {
				return err
			}
			all = append(all, delays...)
			took, err := r.untilReal(ctx, at, r.registry.Version())
			if err != nil {
				return err
			}
			s.RealDelay = max(s.RealDelay, took)
			if err := onerouter.Pause(ctx, r.Interval-time.Since(at)); err != nil {
				return err
			}
		}
		s.Changes = r.Steady
		s.delayed(all)
		return nil
	})
}

// burst is changes all at once.
func (r *run) burst(ctx context.Context) (Step, error) {
	return r.measured("burst", func(s *Step) error {
		for range r.Changes - 1 {
			r.registry.Change(r.flip()...)
		}
		s.Changes = r.Changes
		return r.last(ctx, s, r.flip())
	})
}

// last makes a change and waits until everybody, the real router too, has it.
func (r *run) last(ctx context.Context, s *Step, hosts []httpfront.Entry) error {
	at := time.Now()
	delays, err := r.change(ctx, hosts)
	if err != nil {
		return err
	}
	s.delayed(delays)
	s.RealDelay, err = r.untilReal(ctx, at, r.registry.Version())
	return err
}

// zone lists the workers of a zone with a state.
func (r *run) zone(health string) []httpfront.Entry {
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
	return r.measured("zone lost", func(s *Step) error {
		s.Changes = 1
		return r.last(ctx, s, r.zone("removed"))
	})
}

func (r *run) zoneBack(ctx context.Context) (Step, error) {
	return r.measured("zone back", func(s *Step) error {
		s.Changes = 1
		return r.last(ctx, s, r.zone("up"))
	})
}

// restart is all routers at once that ask for the whole list. The real one goes on.
func (r *run) restart(ctx context.Context) (Step, error) {
	return r.measured("all restart", func(s *Step) error {
		at := time.Now()
		r.group.Restart()
		ctx, stop := context.WithTimeout(ctx, changeWait)
		defer stop()
		times, err := r.group.Wait(ctx, r.registry.Version())
		if err != nil {
			return err
		}
		var delays []time.Duration
		for _, t := range times {
			delays = append(delays, t.Sub(at))
		}
		s.delayed(delays)
		return nil
	})
}
