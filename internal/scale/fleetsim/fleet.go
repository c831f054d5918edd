package fleetsim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"rowanyard/decide"
	"rowanyard/internal/scale/toyserver"
	"rowanyard/internal/scale/virtualclock"
)

// Properties of the simulated deployment. A router learns of them only through its settings and its own observations.
const (
	readerUtilization     = 0.6  // of the readers' capacity, at the rate of the options and without cache hits
	writerMemoryUse       = 0.55 // of the writers' memory
	meanPromptTokens      = 3000 // mean over all prompts
	cacheTokens           = 2_000_000
	serversPerCell        = 5
	transferInCell        = 15 * time.Millisecond // time for a request's state to reach a writer in the same cell, ...
	transferInZone        = 30 * time.Millisecond // ... in the same zone ...
	transferInRegion      = 60 * time.Millisecond // ... and in another zone of the region
	latencyInZone         = 200 * time.Microsecond
	latencyInRegion       = time.Millisecond
	latencyBetweenRegions = 25 * time.Millisecond // one way
	refuseLatency         = time.Millisecond
	connectTimeout        = 250 * time.Millisecond // an unanswered connection attempt is given up after this
	detectionDelay        = 2 * time.Second        // until discovery notices lost servers
	propagationTime       = time.Second            // within which all routers learn of a change
	coldStartSpeed        = 1. / 3
	warmUpTime            = 20 * time.Second
	coldMultiple          = 2.5
	coldWindow            = 2 * time.Second
	classDeadline         = 10 * time.Second
	firstTokenTarget      = 1200 * time.Millisecond
	maxAttempts           = 4
	pinLimit              = 5 * time.Second
)

// Kinds of servers, by their numbers in the settings.
const (
	readerKind = iota
	writerKind
)

// server is a simulated reader or writer.
type server struct {
	decide.Server
	region       int
	down         bool
	queue        *toyserver.Queue // readers only
	cache        *toyserver.Cache
	streams      int     // open at a writer
	heldTokens   float64 // in a writer's memory
	received     int
	probes       int
	coldAttempts []coldAttempt // attempts of the last window since its start
}

// coldAttempt is an attempt that a server received while it was cold, with its work in mean requests.
type coldAttempt struct {
	at   time.Duration
	work float64
}

// fleet holds the state of one simulation.
type fleet struct {
	virtualclock.Clock
	Options
	random           *rand.Rand
	servers          map[string]*server
	serverList       []*server
	routers          []*router
	settings         decide.Settings
	readTimePerToken time.Duration // of a reader, per prompt token that is not cached
	writerMemory     float64       // of a writer, in tokens
	isolatedRegion   int           // -1: none
	lastID           decide.RequestID
	stats            *stats
	worstColdLoad    float64 // highest load of a cold server within a window, as a share of its limit
}

func newFleet(o Options) *fleet {
	f := &fleet{Options: o, random: rand.New(rand.NewPCG(o.Seed, 1)), servers: make(map[string]*server), isolatedRegion: -1, stats: newStats()}
	readers := 0
	for i := range o.Servers {
		if toyserver.IsReader(i, o.Readers) {
			readers++
		}
	}
	readTime := readerUtilization * float64(readers) / (o.Rate * meanPromptTokens)
	f.readTimePerToken = time.Duration(readTime * float64(time.Second))
	streamTokens := float64(meanPromptTokens+o.Tokens) * o.Rate * (time.Duration(o.Tokens) * o.TokenTime).Seconds()
	f.writerMemory = streamTokens / writerMemoryUse / float64(o.Servers-readers)
	f.settings = f.makeSettings()
	for i := range o.Servers {
		f.addServer(i)
	}
	for i := range o.Routers {
		f.routers = append(f.routers, newRouter(f, i))
	}
	return f
}

func (f *fleet) makeSettings() decide.Settings {
	set := decide.Settings{
		RouterCount: f.Routers, ClockStep: time.Millisecond, MaxAttempts: maxAttempts, CanCancel: true, CanProbe: true, PinLimit: pinLimit,
		ConnectTimeout: connectTimeout, MaxRetryAfter: time.Second,
		ColdCapacity: coldStartSpeed, WarmUpTime: warmUpTime, ColdOverloadFactor: coldMultiple, ColdOverloadWindow: coldWindow,
		Kinds: []decide.Kind{{Role: decide.Reader}, {Role: decide.Writer, MemoryTokens: int(f.writerMemory)}},
		Classes: []decide.Class{{TTFTTarget: firstTokenTarget, Deadline: classDeadline, TPOTTarget: f.TokenTime, Value: 1,
			LateValueShare: 0.1, Effect: decide.Safe}},
	}
	for range f.Tenants {
		set.Tenants = append(set.Tenants, decide.Tenant{})
	}
	return set
}

func (f *fleet) addServer(i int) {
	cell := i / serversPerCell
	zone := cell % f.Zones
	s := &server{Server: decide.Server{ID: fmt.Sprintf("s%05d", i), Kind: writerKind, Cell: cell, Zone: zone, Weight: 1},
		region: f.region(zone)}
	if toyserver.IsReader(i, f.Readers) {
		s.Kind = readerKind
		s.queue, s.cache = toyserver.NewQueue(1, 0), toyserver.NewCache(cacheTokens)
	}
	f.servers[s.ID] = s
	f.serverList = append(f.serverList, s)
}

// region returns the region of a zone.
func (f *fleet) region(zone int) int { return zone % f.Regions }

// list returns the servers that discovery currently lists.
func (f *fleet) list() []decide.Server {
	var all []decide.Server
	for _, s := range f.serverList {
		if !s.down {
			all = append(all, s.Server)
		}
	}
	return all
}

// announceServers delivers the current list to every router, each at a random time within the given period.
func (f *fleet) announceServers(within time.Duration) {
	list := decide.ServerList{Complete: true, Servers: f.list()}
	for _, r := range f.routers {
		f.After(time.Duration(f.random.Int64N(int64(within))), func() { r.decide.Servers(f.Now, list) })
	}
}

// reachable reports whether a router and a server can communicate.
func (f *fleet) reachable(r *router, s *server) bool {
	return !s.down && (f.isolatedRegion < 0 || (r.region == f.isolatedRegion) == (s.region == f.isolatedRegion))
}

// latency returns the time that a message takes from a router to a server or back.
func (f *fleet) latency(r *router, s *server) time.Duration {
	switch {
	case r.zone == s.Zone:
		return latencyInZone
	case r.region == s.region:
		return latencyInRegion
	}
	return latencyBetweenRegions
}

// transferTime returns the time to transfer a request's state from a reader to a writer.
func (f *fleet) transferTime(from, to *server) time.Duration {
	switch {
	case from.Cell == to.Cell:
		return transferInCell
	case from.Zone == to.Zone:
		return transferInZone
	case from.region == to.region:
		return transferInRegion
	}
	return transferInRegion + latencyBetweenRegions
}

// speed returns the current speed of a server as a share of its full speed: a server warms up after its start.
func (f *fleet) speed(s *server) float64 {
	if s.StartedAt == 0 || f.Now-s.StartedAt >= warmUpTime {
		return 1
	}
	return coldStartSpeed + (1-coldStartSpeed)*float64(f.Now-s.StartedAt)/float64(warmUpTime)
}

// recordAttempt counts an attempt that a server received. For a cold server it also updates worstColdLoad.
func (f *fleet) recordAttempt(s *server, work float64) {
	s.received++
	if s.StartedAt == 0 || f.Now-s.StartedAt >= warmUpTime {
		return
	}
	s.coldAttempts = append(s.coldAttempts, coldAttempt{f.Now, work})
	s.coldAttempts = slices.DeleteFunc(s.coldAttempts, func(c coldAttempt) bool { return c.at <= f.Now-coldWindow })
	sum := 0.0
	for _, c := range s.coldAttempts {
		sum += c.work
	}
	budget := coldMultiple * f.speed(s) * f.capacity(s) * coldWindow.Seconds()
	f.worstColdLoad = max(f.worstColdLoad, sum/toyserver.ColdLimit(budget))
}

// capacity returns how many requests of mean work a warm server can process per second.
func (f *fleet) capacity(s *server) float64 {
	if s.Kind == readerKind {
		return 1 / (f.readTimePerToken.Seconds() * meanPromptTokens)
	}
	streamTime := (time.Duration(f.Tokens) * f.TokenTime).Seconds()
	return f.writerMemory / float64(meanPromptTokens+f.Tokens) / streamTime
}

// takeDown takes the selected servers down. They return cold after the downtime, or never if it is 0.
func (f *fleet) takeDown(downtime time.Duration, selected func(*server) bool) {
	var affected []*server
	for _, s := range f.serverList {
		if selected(s) {
			s.down = true
			affected = append(affected, s)
		}
	}
	f.After(detectionDelay, func() { f.announceServers(propagationTime) })
	if downtime == 0 {
		return
	}
	f.After(downtime, func() {
		for _, s := range affected {
			s.down, s.StartedAt, s.streams, s.heldTokens, s.coldAttempts = false, f.Now, 0, 0, nil
			if s.Kind == readerKind {
				s.queue, s.cache = toyserver.NewQueue(1, f.Now), toyserver.NewCache(cacheTokens)
			}
		}
		f.announceServers(propagationTime)
	})
}

// startEvent starts the event of the options.
func (f *fleet) startEvent() {
	switch f.Event {
	case RackLost:
		f.takeDown(0, func(s *server) bool { return s.Cell/f.Zones < cellsPerRack && s.Zone == 0 })
	case ZoneCold:
		f.takeDown(ZoneDowntime, func(s *server) bool { return s.Zone == 0 })
	case RegionIsolated:
		f.isolatedRegion = 0
		f.After(RegionIsolation, func() { f.isolatedRegion = -1 })
	}
}
