package decide

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"rowanyard/internal/serverindex"
)

// The state of a Router and the arithmetic on it. The decisions are in decide.go.

// Router makes the decisions of one router process. Its methods take the current time of that process's clock. A Router
// is not safe for concurrent use.
type Router struct {
	cfg               Settings
	exec              Executor
	rng               *rand.Rand
	now               time.Duration // clock time of the current event
	servers           map[string]*server
	listed            []*server                   // by ID
	index             *serverindex.Index[*server] // ready servers
	prefixes          prefixIndex
	nearestWriters    map[location][]*server // by location of the reader, filled on demand after each list change
	loadVersion       int                    // incremented whenever accepted or sends change
	requests          map[RequestID]*request
	requestTokens     int    // expected tokens of all open requests
	demand            []rate // requests by tenant
	kinds             []kind
	cells             map[int]*cell
	zones             map[int]*zone
	prefixWork        workByPrefix
	sends             [Mixed + 1]rate          // attempts by role, while a server of the role was warm
	reads             rate                     // completed reads
	readerCount       float64                  // ready readers
	answerMemory      [Mixed + 1]float64       // memory of the ready servers for answers by role, in tokens
	writeTokens       [Mixed + 1]int           // expected tokens of own writes in flight by role
	writesInFlight    [Mixed + 1]int           // number of these writes
	answerTimesByRole [Mixed + 1]answerTimes   // answer durations of all ready servers by role
	secondsPerToken   float64                  // unhindered read time per token that is not cached
	nearTransfers     mean                     // time to first token of writes in the reader's cell
	transfers         mean                     // the same of all writes; those of crowded cells weigh less
	farTransfers      mean                     // the same of writes outside the reader's cell
	probeAnsweredAt   [Mixed + 1]time.Duration // latest answer to a probe by role
	lastSilenceAt     time.Duration            // last time that a server was found silent, 0 = never
	firstListAt       time.Duration            // arrival of the first server list
	maxValue          float64                  // highest Value of a class

	flagged [Mixed + 1][]*server // see flaggedServers

	// Buffers that are reused by each choice.
	eligible, healthy [Mixed + 1]serverBuffer // servers of a role that a request may go to, and the healthy ones of those
	nearby            serverBuffer            // writers that are near enough and have room
}

// newRouter returns a Router that has not seen any event.
func newRouter(cfg Settings, seed uint64, exec Executor) *Router {
	r := &Router{cfg: cfg, exec: exec, rng: rand.New(rand.NewPCG(seed, 0)),
		servers: make(map[string]*server), requests: make(map[RequestID]*request)}
	r.kinds, r.demand = make([]kind, len(cfg.Kinds)), make([]rate, len(cfg.Tenants))
	r.index, r.nearestWriters, r.loadVersion = serverindex.New[*server](int(Mixed)+1, len(cfg.Kinds)),
		make(map[location][]*server), 1
	r.cells, r.zones, r.reads.span = make(map[int]*cell), make(map[int]*zone), loadSpan
	for i := range r.kinds {
		r.kinds[i].demand.span, r.kinds[i].accepted.span = loadSpan, loadSpan
	}
	for i := range r.demand {
		r.demand[i].span = tenantSpan
	}
	r.maxValue = highestValue(cfg.Classes)
	return r
}

// highestValue returns the highest Value of any class.
func highestValue(classes []Class) (highest float64) {
	for _, c := range classes {
		highest = max(highest, c.Value)
	}
	return highest
}

// kind is this router's view of all servers of one kind.
type kind struct {
	ready       int
	readyInRole int  // ready servers of all kinds with the same role
	inFlight    int  // own attempts without an outcome or a first token
	demand      rate // requests for which its servers were ranked
	accepted    rate // requests accepted per warm server
	wait        mean // recent waits

	warmLoad warmLoad // last estimate of what a warm server accepts
}

// cell is this router's view of the servers that share a network link.
type cell struct {
	readerCount float64 // ready readers
	memory      float64 // of its ready writers, in tokens
	reads       rate    // reads completed there
	transfers   mean    // time to first token of those states
}

// zone is this router's view of the network path to a zone.
type zone struct {
	aliveAt    time.Duration // last sign of life from any of its servers
	misses     float64       // weighted number of attempts since then without a sign of life
	lastMissAt time.Duration
	backoff    backoff
}

// server is this router's view of one listed server.
type server struct {
	Server

	// The fields that every choice reads for every server come first, so that they share cache lines.
	hash           uint64        // of its ID
	hashOrder      uint64        // rendezvous hash for the request being ranked
	match          int           // cached prompt tokens of the request being ranked
	inFlight       int           // own attempts without an outcome or a first token
	warmAt         time.Duration // warm from this time on
	probedAt       time.Duration
	loadAt         time.Duration // arrival of memoryUse and queuedRequests, 0 = never
	memoryUse      float64       // share of its memory in use
	queuedRequests float64
	position       int // position in the index while it is ready
	tokens         int // expected tokens of own writes in flight
	suspect        bool
	isFlagged      bool                     // listed in Router.flagged
	fullBackoffs   map[classTenant]*backoff // after rejections, by class and tenant

	role              Role
	prefixes          prefixes
	coldSends         []time.Duration // recent own attempts while it was cold
	demand            rate            // requests that tried it in rendezvous order
	probedWait        float64         // seconds of reading in its queue, as reported ...
	probeAnsweredAt   time.Duration   // ... at this time
	fill              float64         // estimated fill during the current choice of a writer
	successes         rate
	failures          rate          // failed attempts and attempts without any sign of life
	wait              mean          // time to the end of a read or to the first token
	waitFromSilence   bool          // wait includes attempts without a sign of life: void once a probe is answered
	answerTimes       answerTimes   // durations of its answers
	aliveAt           time.Duration // last sign of life in response to an attempt
	heardAt           time.Duration // last response of any sort, including to probes
	lastSuccessSentAt time.Duration // send time of the most recently sent successful attempt
	backoff           backoff
}

// classTenant identifies a class of one tenant. A server may reject one and accept others.
type classTenant struct{ class, tenant int }

// backoff is a period during which a server or zone is not used.
type backoff struct{ length, until time.Duration }

// extend starts a new period, twice as long as the previous one, but between shortest and longest.
func (b *backoff) extend(now, shortest, longest time.Duration) {
	b.length = min(max(shortest, 2*b.length), longest)
	b.until = now + b.length
}

// request is a client request, kept until its last attempt has ended.
type request struct {
	Request
	class          *Class
	homePrefix     uint64  // the prefix that its reader is hashed from, 0 = hashed from the session
	coldKey        uint64  // decides which cold servers are open to it
	coldQuantile   float64 // its rank from 0 upwards; cold servers are open to the lowest ranks
	prefixShare    float64 // estimated share of its prefix in the work of all requests
	reader         *server // the last reader that it was sent to
	value          float64 // relative to the highest Value of a class
	arrived        time.Duration
	deadline       time.Duration
	attempts       []attempt
	failed         []*server     // servers not to be tried again
	coldWriter     *server       // the only cold writer that its state may go to
	holder         *server       // the reader that holds its state
	heldAt         time.Duration // start of the pin limit: since then no attempt known to have arrived waits for it
	releaseAt      time.Duration // the held state is released at this time in any case; 0 = never, or already done
	released       bool          // that was done: the state is gone unless the write had arrived
	writeCheckAt   time.Duration // next check whether the write has reached its server, 0 = none
	writeProbed    bool          // its server has been probed for that check
	silenceCheckAt time.Duration // next check whether the server has fallen silent, 0 = none
	retryAt        time.Duration // next try while no server can be used, 0 = none
	probed         bool          // its candidate readers have been probed
	runnerUp       *server       // the next choice after the selected reader
	retryAfter     time.Duration // time until the wait for which it was refused has passed, 0 = unknown
	answered       bool          // the client has its answer or needs none
	mayHaveRun     *attempt      // the first attempt that may have had an effect
}

// attempt is one send of a request to one server.
type attempt struct {
	server       *server
	sentAt       time.Duration
	read         bool
	inFlight     bool
	streaming    bool          // its answer has begun
	firstTokenAt time.Duration // set once streaming
	match        int           // prompt tokens recorded as cached at its server ...
	matchSentAt  time.Duration // ... by a send at this time
}

// fraction maps a hash to a number in [0, 1).
func fraction(h uint64) float64 { return float64(h>>11) / (1 << 53) }

// mix is a 64-bit finalizer: it spreads the bits of v.
func mix(v uint64) uint64 {
	v ^= v >> 30
	v *= 0xbf58476d1ce4e5b9
	v ^= v >> 27
	v *= 0x94d049bb133111eb
	return v ^ v>>31
}

// filter returns a new slice of the servers for which keep is true.
func filter(servers []*server, keep func(*server) bool) []*server {
	var out []*server
	for _, s := range servers {
		if keep(s) {
			out = append(out, s)
		}
	}
	return out
}

// shuffle is rand.Shuffle without a function call per swap.
func (r *Router) shuffle(servers []*server) {
	for i := len(servers) - 1; i > 0; i-- {
		j := r.rng.Uint64N(uint64(i + 1))
		servers[i], servers[j] = servers[j], servers[i]
	}
}

// recentColdSends returns the number of attempts sent to a cold server within the window that ends now.
func (s *server) recentColdSends(now, window time.Duration) int {
	if len(s.coldSends) == 0 {
		return 0
	}
	s.coldSends = slices.DeleteFunc(s.coldSends, func(at time.Duration) bool { return at <= now-window })
	return len(s.coldSends)
}

// tried reports whether p has been sent to s.
func (p *request) tried(s *server) bool {
	return slices.ContainsFunc(p.attempts, func(a attempt) bool { return a.server == s })
}

// awaitsOutcome reports whether an attempt of p is in flight.
func (p *request) awaitsOutcome() bool {
	return slices.ContainsFunc(p.attempts, func(a attempt) bool { return a.inFlight })
}

func (p *request) classTenant() classTenant { return classTenant{p.Class, p.Tenant} }

// seconds converts a number of seconds to a Duration.
func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

// rebuildIndex recomputes everything that is derived from the server list.
func (r *Router) rebuildIndex() {
	r.answerMemory, r.readerCount = [Mixed + 1]float64{Writer: 1, Mixed: 1}, 0
	for i := range r.kinds {
		r.kinds[i].ready, r.kinds[i].readyInRole = 0, 0
	}
	for id, c := range r.cells {
		c.memory, c.readerCount = 0, 0
		if c.reads.value(r.now) < negligibleCount {
			delete(r.cells, id)
		}
	}
	var ready []serverindex.Entry[*server]
	var positions [Mixed + 1]int
	for _, s := range r.listed {
		c := r.cell(s)
		if s.State != Ready {
			continue
		}
		s.position = positions[s.role]
		positions[s.role]++
		ready = append(ready, serverindex.Entry[*server]{Server: s, Role: int(s.role), Kind: s.Kind, WarmAt: s.warmAt})
		r.kinds[s.Kind].ready++
		for i := range r.kinds {
			if r.cfg.Kinds[i].Role == s.role {
				r.kinds[i].readyInRole++
			}
		}
		switch s.role {
		case Reader:
			c.readerCount++
			r.readerCount++
		case Writer:
			c.memory += r.memory(s)
			fallthrough
		default:
			r.answerMemory[s.role] += r.memory(s)
		}
	}
	r.loadVersion++
	clear(r.nearestWriters)
	r.index.Replace(ready)
	r.sumAnswerTimes()
	for role := range r.flagged {
		r.flagged[role] = r.flagged[role][:0]
	}
	for _, e := range ready {
		e.Server.isFlagged = false
		r.flag(e.Server)
	}
}

// cell returns the record of the server's cell, which it creates if needed.
func (r *Router) cell(s *server) *cell {
	if r.cells[s.Cell] == nil {
		r.cells[s.Cell] = &cell{reads: rate{span: loadSpan}}
	}
	return r.cells[s.Cell]
}

// zone returns the record of a zone, which it creates if needed.
func (r *Router) zone(id int) *zone {
	if r.zones[id] == nil {
		r.zones[id] = &zone{}
	}
	return r.zones[id]
}

// noteAlive records a sign of life in response to an attempt.
func (r *Router) noteAlive(s *server) {
	s.aliveAt, s.heardAt = r.now, r.now
	z := r.zone(s.Zone)
	z.aliveAt, z.misses = r.now, 0
	if r.now >= z.backoff.until {
		z.backoff = backoff{}
	}
}

// addInFlight adds writes with their expected tokens to the own writes in flight at s; negative numbers remove them.
func (r *Router) addInFlight(s *server, tokens, writes int) {
	s.tokens += tokens
	r.flag(s)
	r.writeTokens[s.role] += tokens
	r.writesInFlight[s.role] += writes
}

// memory returns a server's memory for answers in tokens, practically unlimited where it is unknown.
func (r *Router) memory(s *server) float64 {
	return float64(cmp.Or(r.cfg.Kinds[s.Kind].MemoryTokens, 1<<30))
}

// cellCrowding returns the share of all states that the server's cell produces, divided by its share of the writers'
// memory.
func (r *Router) cellCrowding(s *server) float64 {
	c := r.cell(s)
	total := r.reads.value(r.now)
	if total == 0 || c.memory == 0 || r.readerCount == 0 {
		return 1
	}
	return shrinkToMean(c.reads.value(r.now), total*c.readerCount/r.readerCount) / total *
		r.answerMemory[Writer] / c.memory
}

// observedFraction returns how much of a rate over loadSpan this router has been running long enough to see, from 0
// to 1.
func (r *Router) observedFraction() float64 {
	return 1 - math.Exp(-float64(r.now-r.firstListAt)/float64(loadSpan))
}

// warm reports whether s has completed its warm-up.
func (r *Router) warm(s *server) bool { return r.now >= s.warmAt }

// meanAnswerRatio returns the mean duration of answers at the ready servers of a role, relative to their hints.
func (r *Router) meanAnswerRatio(role Role) float64 {
	spent, done := r.answerTimesByRole[role].sum(r.now)
	return spent / max(done, 1)
}

// loadKnown reports whether a recent probe is a better measure of the load of s than this router's own counts. With few
// routers the own counts are better, and probes of writers only show that they are reachable.
func (r *Router) loadKnown(s *server) bool {
	return r.manyRouters() && s.loadAt > 0 && r.now-s.loadAt < writerLoadValidFor
}

// countSend counts an attempt at a server of the role, while one of the role is warm. A request refused before it is
// sent adds no load and is not counted.
func (r *Router) countSend(role Role) {
	if len(r.index.Warm(int(role), r.now)) > 0 {
		r.loadVersion++
		r.sends[role].span = loadSpan
		r.sends[role].add(r.now, 1)
	}
}

// cellReadShare returns the smoothed share of the reader's cell in all reads that this router has seen.
func (r *Router) cellReadShare(reader *server) float64 {
	return (r.cell(reader).reads.value(r.now) + shareSmoothing) / (r.reads.value(r.now) + 4*shareSmoothing)
}

// updateServer applies one entry of a server list. Entries of unknown kinds are ignored.
func (r *Router) updateServer(e Server) {
	if e.Kind < 0 || e.Kind >= len(r.cfg.Kinds) {
		return
	}
	s := r.servers[e.ID]
	if s == nil {
		s = &server{}
		r.servers[e.ID] = s
	}
	if s.StartedAt != e.StartedAt || s.ID == "" { // a new process: discard what was learned about the old one
		s.prefixes.reset()
		*s = server{prefixes: newPrefixes(e.ID), inFlight: s.inFlight, tokens: s.tokens, coldSends: s.coldSends,
			demand: s.demand, answerTimes: s.answerTimes}
		s.prefixes.reader, s.prefixes.index = s, &r.prefixes
		s.demand.span, s.successes.span, s.failures.span = loadSpan, rateSpan, rateSpan
		s.answerTimes.spent.span, s.answerTimes.done.span = answerTimeSpan, answerTimeSpan
		for i := range len(e.ID) {
			s.hash = mix(s.hash*31 + uint64(e.ID[i]))
		}
	}
	s.Server, s.role = e, r.cfg.Kinds[e.Kind].Role
	s.warmAt = r.cfg.warmAt(e.StartedAt)
}

// warmAt returns the time from which a server is warm that started at startedAt, 0 = long ago.
func (s Settings) warmAt(startedAt time.Duration) time.Duration {
	if startedAt == 0 {
		return math.MinInt64
	}
	return startedAt + s.WarmUpTime
}

// Probed records the load that a server reported in answer to a probe.
func (r *Router) Probed(now time.Duration, probe Probed) {
	r.now = now
	s := r.servers[probe.Server]
	if s != nil {
		s.heardAt, r.probeAnsweredAt[s.role] = now, now
	}
	if s != nil && s.waitFromSilence {
		s.waitFromSilence, s.wait = false, mean{}
	}
	switch {
	case s == nil || math.IsInf(probe.QueuedTokens, 1) || math.IsInf(probe.QueuedRequests, 1):
	case probe.QueuedTokens >= 0:
		s.probedWait, s.probeAnsweredAt = r.secondsPerToken*probe.QueuedTokens, now
	case probe.QueuedRequests >= 0:
		s.probedWait, s.probeAnsweredAt = r.secondsPerToken*probe.QueuedRequests*minReadTokens, now
	default:
		s.probedAt = 0 // answered, though without a load
	}
	if s != nil && probe.QueuedRequests >= 0 {
		s.queuedRequests, s.memoryUse, s.loadAt = probe.QueuedRequests, probe.MemoryUse, now
	}
}

// updateReadPace adds the seconds per token of a completed read. The estimate follows fast reads quickly and slow
// ones slowly, because slow reads include queueing.
func (r *Router) updateReadPace(secondsPerToken float64) {
	weight := slowReadWeight
	if secondsPerToken < r.secondsPerToken || r.secondsPerToken == 0 {
		weight = latestWaitWeight
	}
	r.secondsPerToken += weight * (secondsPerToken - r.secondsPerToken)
}

// rendezvousHash orders servers for a key; all routers get the same order.
func rendezvousHash(s *server, key uint64) uint64 { return mix(s.hash ^ mix(key)) }
