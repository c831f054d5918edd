// Package fleetsim simulates a fleet of servers and hundreds of routers on a virtual clock. Each router runs the real
// decision module and has no information about the other routers. The same options give the same results.
package fleetsim

import (
	"fmt"
	"time"
)

// Event is a disturbance of the fleet during the simulation.
type Event string

// The events. An event begins after the warm-up and the steady phase.
const (
	NoEvent        Event = "none"
	RackLost       Event = "rack"   // the servers of some neighboring cells fail for good
	ZoneCold       Event = "zone"   // the servers of a zone fail and return cold after ZoneDowntime
	RegionIsolated Event = "region" // one region and the others cannot reach each other for RegionIsolation
)

// Events returns all events, NoEvent included.
func Events() []Event { return []Event{NoEvent, RackLost, ZoneCold, RegionIsolated} }

// The extent of the events.
const (
	ZoneDowntime    = 5 * time.Second
	RegionIsolation = time.Minute
	cellsPerRack    = 8
)

// Options configures a simulation. Zero values have no special meaning. Default returns the fleet that
// docs/CAPACITY.md describes.
type Options struct {
	Routers, Servers int
	Readers          float64 // share of the servers that are readers
	Regions, Zones   int     // number of zones in all regions together
	Rate             float64 // requests per second over all routers
	Tenants          int
	Tokens           int           // mean length of a response
	TokenTime        time.Duration // time between two tokens of a response
	WarmUp, Measure  time.Duration // lengths of the warm-up and of the steady phase
	Aftermath        time.Duration // simulated time after the start of an event
	Event            Event
	Seed             uint64
}

// Default returns the fleet size that the operators plan for.
func Default() Options {
	return Options{Routers: 340, Servers: 1400, Readers: 0.28, Regions: 3, Zones: 6, Rate: 4500, Tenants: 230,
		Tokens: 467, TokenTime: 70 * time.Millisecond, WarmUp: 40 * time.Second, Measure: 20 * time.Second,
		Aftermath: 30 * time.Second, Event: NoEvent, Seed: 1}
}

// Limits of the options.
const (
	maxRouters = 10_000
	maxServers = 100_000
)

// Check returns an error that describes the first invalid option, or nil.
func (o Options) Check() error {
	switch {
	case o.Routers < 1 || o.Routers > maxRouters:
		return fmt.Errorf("%d routers: must be between 1 and %d", o.Routers, maxRouters)
	case o.Servers < 2*o.Zones || o.Servers > maxServers:
		return fmt.Errorf("%d servers: must be at least two for each zone and at most %d", o.Servers, maxServers)
	case !(o.Readers > 0 && o.Readers < 1):
		return fmt.Errorf("share of readers %v: must be greater than 0 and less than 1", o.Readers)
	case o.Regions < 1 || o.Zones < o.Regions:
		return fmt.Errorf("%d zones in %d regions: every region needs at least one zone", o.Zones, o.Regions)
	case !(o.Rate > 0):
		return fmt.Errorf("%v requests per second: must be greater than 0", o.Rate)
	case o.Tenants < 1 || o.Tokens < 1 || o.TokenTime <= 0:
		return fmt.Errorf("%d tenants, %d tokens at intervals of %v: all must be greater than 0", o.Tenants, o.Tokens, o.TokenTime)
	case o.WarmUp < 0 || o.Measure <= 0 || o.Aftermath < 0:
		return fmt.Errorf("warm-up %v, measurement %v, after the event %v: must not be negative, and the measurement not 0",
			o.WarmUp, o.Measure, o.Aftermath)
	}
	for _, e := range Events() {
		if o.Event == e {
			return nil
		}
	}
	return fmt.Errorf("unknown event %q: must be one of %v", o.Event, Events())
}
