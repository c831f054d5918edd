// Package fleetsim plays hundreds of routers, each with the real decision module, before a fleet of simulated servers on a
// virtual clock. No router knows what another does. The same options give the same play.
package fleetsim

import (
	"fmt"
	"time"
)

// Event is what happens to the fleet while it runs.
type Event string

// The events. Each begins after the warm-up and the measurement before it.
const (
	NoEvent   Event = "none"
	RackLost  Event = "rack"   // the servers of some neighbouring cells vanish for good
	ZoneCold  Event = "zone"   // the servers of a zone vanish and return cold after ZoneAway
	RegionCut Event = "region" // a region and the others do not reach each other for RegionAway
)

// Events lists all events.
func Events() []Event { return []Event{NoEvent, RackLost, ZoneCold, RegionCut} }

// How long events last.
const (
	ZoneAway   = 5 * time.Second
	RegionAway = time.Minute
	rackCells  = 8
)

// Options describe a play. Zero values are not filled in: Default is the fleet that docs/CAPACITY.md is about.
type Options struct {
	Routers, Servers int
	Readers          float64 // the share of servers that read prompts
	Regions, Zones   int     // zones in all
	Rate             float64 // requests a second over all routers
	Tenants          int
	Tokens           int           // of an answer, in the mean
	TokenTime        time.Duration // between two tokens
	WarmUp, Measure  time.Duration // before anything is counted; of each phase
	Aftermath        time.Duration // how long the play goes on after an event
	Event            Event
	Seed             uint64
}

// Default is the size that the operators plan for.
func Default() Options {
	return Options{Routers: 340, Servers: 1400, Readers: 0.28, Regions: 3, Zones: 6, Rate: 4500, Tenants: 230,
		Tokens: 467, TokenTime: 70 * time.Millisecond, WarmUp: 40 * time.Second, Measure: 20 * time.Second,
		Aftermath: 30 * time.Second, Event: NoEvent, Seed: 1}
}

// Limits of what makes sense to ask for.
const (
	mostRouters = 10_000
	mostServers = 100_000
)

// Check says what makes no sense.
func (o Options) Check() error {
	switch {
	case o.Routers < 1 || o.Routers > mostRouters:
		return fmt.Errorf("%d routers: there may be 1 to %d", o.Routers, mostRouters)
	case o.Servers < 2*o.Zones || o.Servers > mostServers:
		return fmt.Errorf("%d servers: there may be two for each zone to %d", o.Servers, mostServers)
	case !(o.Readers > 0 && o.Readers < 1):
		return fmt.Errorf("a share of %v that reads: over 0 and under 1 makes sense", o.Readers)
	case o.Regions < 1 || o.Zones < o.Regions:
		return fmt.Errorf("%d zones in %d regions: each has one at least", o.Zones, o.Regions)
	case !(o.Rate > 0):
		return fmt.Errorf("%v requests a second: none come", o.Rate)
	case o.Tenants < 1 || o.Tokens < 1 || o.TokenTime <= 0:
		return fmt.Errorf("%d tenants, %d tokens each %v: no request is made of that", o.Tenants, o.Tokens, o.TokenTime)
	case o.WarmUp < 0 || o.Measure <= 0 || o.Aftermath < 0:
		return fmt.Errorf("times of %v, %v and %v", o.WarmUp, o.Measure, o.Aftermath)
	}
	for _, e := range Events() {
		if o.Event == e {
			return nil
		}
	}
	return fmt.Errorf("an event %q: there are %v", o.Event, Events())
}
