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

// What the deployment is like. None of it is known to a router but through its settings and what it sees.
const (
	useOfReaders  = 0.6  // of what readers can do, at the rate of the options and with nothing kept
	useOfWriters  = 0.55 // of their memory
	promptTokens  = 3000 // of all prompts, in the mean
	keptTokens    = 2_000_000
	cellSize      = 5
	moveNear      = 15 * time.Millisecond // a state's way to a writer in its cell, ...
	moveZone      = 30 * time.Millisecond // ... in its zone ...
	moveFar       = 60 * time.Millisecond // ... and out of it
	wayZone       = 200 * time.Microsecond
	wayRegion     = time.Millisecond
	wayFar        = 25 * time.Millisecond // one way between two regions
	refusedAfter  = time.Millisecond
	noConnection  = 250 * time.Millisecond // a connection that never comes up is given up
	listLate      = 2 * time.Second        // discovery tells of a loss after up to this
	listSpread    = time.Second            // and routers hear of any change within this
	coldFrom      = 1. / 3
	coldFor       = 20 * time.Second
	coldMultiple  = 2.5
	coldWindow    = 2 * time.Second
	classDeadline = 10 * time.Second
	classAim      = 1200 * time.Millisecond
	maxAttempts   = 4
	pinLimit      = 5 * time.Second
)

// Kinds of servers, by their numbers in the settings.
const (
	readerKind = iota
	writerKind
)

// server is one simulated server.
type server struct {
	decide.Server
	region  int
	away    bool
	queue   *toyserver.Queue // of a reader
	cache   *toyserver.Cache
	streams int     // a writer's, open
	held    float64 // tokens in a writer's memory
	sends   int
	probes  int
	cold    []coldSend // since its latest start
}

type coldSend struct {
	at   time.Duration
	work float64
}

// fleet is a play.
type fleet struct {
	virtualclock.Clock
	Options
	random   *rand.Rand
	servers  map[string]*server
	ordered  []*server
	routers  []*router
	settings decide.Settings
	perToken time.Duration // that a reader takes for a token that is not kept
	memory   float64       // of a writer, in tokens
	cut      int           // the region that is cut off, -1 = none
	lastID   decide.RequestID
	tally    *tally
	worst    float64 // the fullest window of a cold server against its limit
}

func newFleet(o Options) *fleet {
	f := &fleet{Options: o, random: rand.New(rand.NewPCG(o.Seed, 1)), servers: make(map[string]*server), cut: -1, tally: newTally()}
	readers := 0
	for i := range o.Servers {
		if toyserver.IsReader(i, o.Readers) {
			readers++
		}
	}
	each := useOfReaders * float64(readers) / (o.Rate * promptTokens)
	f.perToken = time.Duration(each * float64(time.Second))
	stream := float64(promptTokens+o.Tokens) * o.Rate * (time.Duration(o.Tokens) * o.TokenTime).Seconds()
	f.memory = stream / useOfWriters / float64(o.Servers-readers)
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
		Fronts: f.Routers, Tick: time.Millisecond, MaxAttempts: maxAttempts, CanCancel: true, CanProbe: true, PinLimit: pinLimit,
		ConnectTimeout: noConnection, MaxRetryAfter: time.Second,
		ColdFrom: coldFrom, ColdFor: coldFor, ColdMultiple: coldMultiple, ColdWindow: coldWindow,
		Kinds:   []decide.Kind{{Role: decide.Reader}, {Role: decide.Writer, MemoryTokens: int(f.memory)}},
		Classes: []decide.Class{{Aim: classAim, Deadline: classDeadline, TokenAim: f.TokenTime, Worth: 1, LateWorth: 0.1, Effect: decide.Safe}},
	}
	for range f.Tenants {
		set.Tenants = append(set.Tenants, decide.Tenant{})
	}
	return set
}

func (f *fleet) addServer(i int) {
	cell := i / cellSize
	zone := cell % f.Zones
	s := &server{Server: decide.Server{ID: fmt.Sprintf("s%05d", i), Kind: writerKind, Cell: cell, Zone: zone, Weight: 1}, region: f.region(zone)}
	if toyserver.IsReader(i, f.Readers) {
		s.Kind = readerKind
		s.queue, s.cache = toyserver.NewQueue(1, 0), toyserver.NewCache(keptTokens)
	}
	f.servers[s.ID] = s
	f.ordered = append(f.ordered, s)
}

// region is the region of a zone.
func (f *fleet) region(zone int) int { return zone % f.Regions }

// list is what discovery knows now.
func (f *fleet) list() []decide.Server {
	var all []decide.Server
	for _, s := range f.ordered {
		if !s.away {
			all = append(all, s.Server)
		}
	}
	return all
}

// tell has every router hear of the list as it is now, each at its own moment within some time.
func (f *fleet) tell(within time.Duration) {
	list := decide.ServerList{Whole: true, Servers: f.list()}
	for _, r := range f.routers {
		f.After(time.Duration(f.random.Int64N(int64(within))), func() { r.decide.Servers(f.Now, list) })
	}
}

// reaches says whether a router and a server can talk.
func (f *fleet) reaches(r *router, s *server) bool {
	return !s.away && (f.cut < 0 || (r.region == f.cut) == (s.region == f.cut))
}

// way is how long a message takes between a router and a server.
func (f *fleet) way(r *router, s *server) time.Duration {
	switch {
	case r.zone == s.Zone:
		return wayZone
	case r.region == s.region:
		return wayRegion
	}
	return wayFar
}

// move is how long a state takes from a reader to a writer.
func (f *fleet) move(from, to *server) time.Duration {
	switch {
	case from.Cell == to.Cell:
		return moveNear
	case from.Zone == to.Zone:
		return moveZone
	case from.region == to.region:
		return moveFar
	}
	return moveFar + wayFar
}

// warmth is the share of its speed that a server has.
func (f *fleet) warmth(s *server) float64 {
	if s.Since == 0 || f.Now-s.Since >= coldFor {
		return 1
	}
	return coldFrom + (1-coldFrom)*float64(f.Now-s.Since)/float64(coldFor)
}

// begin notes a request that a server has got, and what it bears while it is cold.
func (f *fleet) begin(s *server, work float64) {
	s.sends++
	if s.Since == 0 || f.Now-s.Since >= coldFor {
		return
	}
	s.cold = append(s.cold, coldSend{f.Now, work})
	s.cold = slices.DeleteFunc(s.cold, func(c coldSend) bool { return c.at <= f.Now-coldWindow })
	sum := 0.0
	for _, c := range s.cold {
		sum += c.work
	}
	budget := coldMultiple * f.warmth(s) * f.meanLoad(s) * coldWindow.Seconds()
	f.worst = max(f.worst, sum/toyserver.ColdLimit(budget))
}

// meanLoad is what a warm server of a kind can do, in requests of mean work a second.
func (f *fleet) meanLoad(s *server) float64 {
	if s.Kind == readerKind {
		return 1 / (f.perToken.Seconds() * promptTokens)
	}
	long := (time.Duration(f.Tokens) * f.TokenTime).Seconds()
	return f.memory / float64(promptTokens+f.Tokens) / long
}

// lose takes servers away and brings them back cold after some time, 0 = never.
func (f *fleet) lose(back time.Duration, is func(*server) bool) {
	var lost []*server
	for _, s := range f.ordered {
		if is(s) {
			s.away = true
			lost = append(lost, s)
		}
	}
	f.After(listLate, func() { f.tell(listSpread) })
	if back == 0 {
		return
	}
	f.After(back, func() {
		for _, s := range lost {
			s.away, s.Since, s.streams, s.held, s.cold = false, f.Now, 0, 0, nil
			if s.Kind == readerKind {
				s.queue, s.cache = toyserver.NewQueue(1, f.Now), toyserver.NewCache(keptTokens)
			}
		}
		f.tell(listSpread)
	})
}

// happen has the event begin.
func (f *fleet) happen() {
	switch f.Event {
	case RackLost:
		f.lose(0, func(s *server) bool { return s.Cell/f.Zones < rackCells && s.Zone == 0 })
	case ZoneCold:
		f.lose(ZoneAway, func(s *server) bool { return s.Zone == 0 })
	case RegionCut:
		f.cut = 0
		f.After(RegionAway, func() { f.cut = -1 })
	}
}
