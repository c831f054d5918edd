package fleetsim

import (
	"slices"
	"testing"
	"time"
)

// smallFleet returns a fleet that is simulated within a second or two.
func smallFleet(event Event) Options {
	o := Default()
	o.Routers, o.Servers, o.Rate, o.Tenants, o.Tokens = 20, 84, 200, 20, 40
	o.WarmUp, o.Measure, o.Aftermath, o.Event = 8*time.Second, 5*time.Second, 20*time.Second, event
	return o
}

// The same options give the same results, and another seed gives others.
func TestSimulationIsDeterministic(t *testing.T) {
	simulate := func(seed uint64) []Phase {
		o := smallFleet(ZoneCold)
		o.Seed = seed
		phases, err := Simulate(o)
		if err != nil {
			t.Fatal(err)
		}
		return phases
	}
	first, again, other := simulate(1), simulate(1), simulate(2)
	if !slices.Equal(first, again) {
		t.Errorf("%+v, then %+v", first, again)
	}
	if slices.Equal(first, other) {
		t.Error("two seeds gave the same results")
	}
}

// Without an event nearly all requests are served. Each event causes additional attempts. The fleet recovers from
// all but the isolation of a region, which outlasts the measurement.
func TestEventsDisruptAndRecover(t *testing.T) {
	for _, event := range Events() {
		t.Run(string(event), func(t *testing.T) {
			t.Parallel()
			phases, err := Simulate(smallFleet(event))
			if err != nil {
				t.Fatal(err)
			}
			for _, p := range phases {
				t.Logf("%+v", p)
			}
			steady, last := phases[1], phases[len(phases)-1]
			if steady.ServedShare < 0.99 || steady.CacheHitShare <= 0 || steady.FirstTokenP50 <= 0 || steady.FirstTokenP95 < steady.FirstTokenP50 {
				t.Errorf("steady: %+v", steady)
			}
			if event == NoEvent {
				return
			}
			if hit := phases[2]; hit.AttemptsPerRequest <= steady.AttemptsPerRequest {
				t.Errorf("the event had no effect: %+v", hit)
			}
			if event != RegionIsolated && last.ServedShare < 0.95 {
				t.Errorf("the fleet has not recovered: %+v", last)
			}
		})
	}
}

func TestInvalidOptions(t *testing.T) {
	for name, change := range map[string]func(*Options){
		"no routers": func(o *Options) { o.Routers = 0 }, "no servers": func(o *Options) { o.Servers = 0 },
		"no rate": func(o *Options) { o.Rate = 0 }, "only readers": func(o *Options) { o.Readers = 1 },
		"zones": func(o *Options) { o.Zones = 1 }, "event": func(o *Options) { o.Event = "flood" },
		"time": func(o *Options) { o.Measure = 0 }, "tokens": func(o *Options) { o.Tokens = 0 },
	} {
		o := smallFleet(NoEvent)
		change(&o)
		if _, err := Simulate(o); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
