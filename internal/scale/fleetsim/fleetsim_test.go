package fleetsim

import (
	"slices"
	"testing"
	"time"
)

// small is a fleet that plays within a second or two.
func small(event Event) Options {
	o := Default()
	o.Routers, o.Servers, o.Rate, o.Tenants, o.Tokens = 20, 84, 200, 20, 40
	o.WarmUp, o.Measure, o.Aftermath, o.Event = 8*time.Second, 5*time.Second, 20*time.Second, event
	return o
}

// The same options give the same play, another seed another one.
func TestTheSameSeedGivesTheSamePlay(t *testing.T) {
	play := func(seed uint64) []Phase {
		o := small(ZoneCold)
		o.Seed = seed
		phases, err := Play(o)
		if err != nil {
			t.Fatal(err)
		}
		return phases
	}
	first, again, other := play(1), play(1), play(2)
	if !slices.Equal(first, again) {
		t.Errorf("%+v, then %+v", first, again)
	}
	if slices.Equal(first, other) {
		t.Error("two seeds, one play")
	}
}

// A quiet fleet serves nearly all, and each event is felt and gets over.
func TestEventsAreFeltAndGetOver(t *testing.T) {
	for _, event := range Events() {
		t.Run(string(event), func(t *testing.T) {
			t.Parallel()
			phases, err := Play(small(event))
			if err != nil {
				t.Fatal(err)
			}
			for _, p := range phases {
				t.Logf("%+v", p)
			}
			steady, last := phases[1], phases[len(phases)-1]
			if steady.Served < 0.99 || steady.Found <= 0 || steady.First50 <= 0 || steady.First95 < steady.First50 {
				t.Errorf("steady: %+v", steady)
			}
			if event == NoEvent {
				return
			}
			if hit := phases[2]; hit.Attempts <= steady.Attempts {
				t.Errorf("nobody felt it: %+v", hit)
			}
			if event != RegionCut && last.Served < 0.95 {
				t.Errorf("it is not over: %+v", last)
			}
		})
	}
}

func TestOptionsThatMakeNoSense(t *testing.T) {
	for name, change := range map[string]func(*Options){
		"no router": func(o *Options) { o.Routers = 0 }, "no server": func(o *Options) { o.Servers = 0 },
		"no rate": func(o *Options) { o.Rate = 0 }, "all read": func(o *Options) { o.Readers = 1 },
		"zones": func(o *Options) { o.Zones = 1 }, "event": func(o *Options) { o.Event = "flood" },
		"time": func(o *Options) { o.Measure = 0 }, "tokens": func(o *Options) { o.Tokens = 0 },
	} {
		o := small(NoEvent)
		change(&o)
		if _, err := Play(o); err == nil {
			t.Errorf("%s: played", name)
		}
	}
}
