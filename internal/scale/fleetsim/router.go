package fleetsim

import (
	"time"

	"rowanyard/decide"
)

// router is one simulated router. It runs the real decision module and implements its network side, decide.Executor.
type router struct {
	fleet        *fleet
	decide       *decide.Router
	zone, region int
	open         map[decide.RequestID]*request
}

// request is a client's request at its router.
type request struct {
	decide.Request
	arrivedAt   time.Duration
	attempts    []*attempt
	stateHolder *server // the reader that holds its state
	streaming   bool    // its response has begun
}

// attempt is one attempt at a server. A cancelled attempt gets its outcome at once, and nothing that follows from it
// counts.
type attempt struct {
	to     *server
	sentAt time.Duration
	ended  bool
	finish func() // of a stream at a writer: frees its memory
}

func newRouter(f *fleet, number int) *router {
	r := &router{fleet: f, zone: number % f.Zones, open: make(map[decide.RequestID]*request)}
	r.region = f.region(r.zone)
	set := f.settings
	set.RouterIndex, set.Zone = number, r.zone
	module, err := decide.New(set, f.Seed<<16+uint64(number), r)
	if err != nil {
		panic(err) // the settings are built by makeSettings
	}
	r.decide = module
	module.Servers(0, decide.ServerList{Complete: true, Servers: f.list()})
	return r
}

// receive passes a client's request to the decision module.
func (r *router) receive(q decide.Request) {
	r.open[q.ID] = &request{Request: q, arrivedAt: r.fleet.Now}
	r.decide.Request(r.fleet.Now, q)
}

// Send implements decide.Executor.
func (r *router) Send(id decide.RequestID, to string, timeout time.Duration) {
	f, q := r.fleet, r.open[id]
	s := f.servers[to]
	a := &attempt{to: s, sentAt: f.Now}
	n := len(q.attempts)
	q.attempts = append(q.attempts, a)
	f.stats.attempts++
	if !f.reachable(r, s) {
		wait := refuseLatency
		if f.isolatedRegion >= 0 || s.down {
			wait = connectTimeout
		}
		f.After(min(wait, timeout), func() { r.finish(q, n, decide.Outcome{Status: decide.ConnectFailed}) })
		return
	}
	f.After(timeout, func() { r.finish(q, n, decide.Outcome{Status: decide.TimedOut}) })
	f.After(f.latency(r, s), func() {
		if a.ended || s.down {
			return
		}
		if s.Kind == readerKind {
			r.read(q, n, s, timeout)
		} else {
			r.write(q, n, s)
		}
	})
}

// read simulates the processing of a prompt at a reader. The reader drops a request whose time is over before its
// turn in the queue.
func (r *router) read(q *request, n int, s *server, timeout time.Duration) {
	f, a := r.fleet, q.attempts[n]
	cached := min(q.PromptLength, max(min(s.cache.Get(q.Prefix), q.PrefixLength), s.cache.Get(q.Session)))
	f.recordAttempt(s, float64(q.PromptLength)/meanPromptTokens)
	slot := s.queue.Peek(f.Now)
	if slot.Start > a.sentAt+timeout {
		return
	}
	duration := time.Duration(float64(f.readTimePerToken) * float64(q.PromptLength-cached) / f.speed(s))
	ends := slot.Take(duration)
	f.After(ends-f.Now+f.latency(r, s), func() {
		s.cache.Put(q.Prefix, q.PrefixLength)
		s.cache.Put(q.Session, q.PromptLength)
		if !a.ended && f.reachable(r, s) {
			q.stateHolder = s
			f.stats.read(q.PromptLength, cached)
			r.finish(q, n, decide.Outcome{Status: decide.Read, CachedTokens: cached})
		}
	})
}

// write simulates a writer that fetches the state and streams the response.
func (r *router) write(q *request, n int, s *server) {
	f, a := r.fleet, q.attempts[n]
	size := float64(q.PromptLength + f.Tokens)
	f.recordAttempt(s, size/float64(meanPromptTokens+f.Tokens))
	if q.stateHolder == nil || s.heldTokens+size > f.writerMemory*f.speed(s) {
		f.After(f.latency(r, s), func() { r.finish(q, n, decide.Outcome{Status: decide.Rejected}) })
		return
	}
	s.heldTokens += size
	s.streams++
	since := s.StartedAt
	a.finish = func() {
		a.finish = nil
		if s.StartedAt == since { // a restart has freed everything
			s.heldTokens -= size
			s.streams--
		}
	}
	step := time.Duration(float64(f.TokenTime) / 2 * (1 + s.heldTokens/f.writerMemory))
	firstTokenDelay := f.transferTime(q.stateHolder, s) + step + f.latency(r, s)
	f.After(firstTokenDelay, func() { r.firstToken(q, n, s) })
}

// firstToken starts the response, unless the attempt has ended meanwhile.
func (r *router) firstToken(q *request, n int, s *server) {
	f, a := r.fleet, q.attempts[n]
	if a.ended || !f.reachable(r, s) {
		if a.ended && a.finish != nil {
			a.finish()
		}
		return
	}
	q.streaming = true
	f.stats.served(f.Now - q.arrivedAt)
	r.decide.Started(f.Now, decide.Started{ID: q.ID, Attempt: n, Server: s.ID, Elapsed: f.Now - a.sentAt})
	f.After(time.Duration(f.Tokens)*f.TokenTime, func() {
		status := decide.Served
		if !f.reachable(r, s) {
			status = decide.Reset
			f.stats.brokenStreams++
		}
		r.finish(q, n, decide.Outcome{Status: status, Final: true})
	})
}

// finish reports the outcome of an attempt to the decision module, unless the attempt already had one.
func (r *router) finish(q *request, n int, o decide.Outcome) {
	f, a := r.fleet, q.attempts[n]
	if a.ended || q.streaming && o.Status == decide.TimedOut { // the timeout applies until the response begins
		return
	}
	a.ended = true
	if a.finish != nil {
		a.finish()
	}
	o.ID, o.Attempt, o.Server, o.Elapsed = q.ID, n, a.to.ID, f.Now-a.sentAt
	r.decide.Outcome(f.Now, o)
	if q.streaming {
		delete(r.open, q.ID)
	}
}

// Cancel implements decide.Executor.
func (r *router) Cancel(id decide.RequestID, n int) {
	q := r.open[id]
	r.fleet.After(0, func() { r.finish(q, n, decide.Outcome{Status: decide.Cancelled}) })
}

// Refuse implements decide.Executor.
func (r *router) Refuse(id decide.RequestID, _ time.Duration) { r.respond(id, &r.fleet.stats.refused) }

// Fail implements decide.Executor.
func (r *router) Fail(id decide.RequestID) { r.respond(id, &r.fleet.stats.failed) }

// respond ends a request with a final response other than a stream, and cancels its attempts.
func (r *router) respond(id decide.RequestID, counter *int) {
	q := r.open[id]
	*counter++
	delete(r.open, id)
	for n, a := range q.attempts {
		if !a.ended {
			r.fleet.After(0, func() { r.finish(q, n, decide.Outcome{Status: decide.Cancelled}) })
		}
	}
}

// Release implements decide.Executor. In the simulation, held state occupies no memory at a reader.
func (r *router) Release(decide.RequestID) {}

// RequestServerList implements decide.Executor. It does nothing, as announceServers pushes all lists.
func (r *router) RequestServerList(bool) {}

// SetTimer implements decide.Executor.
func (r *router) SetTimer(token uint64, at time.Duration) {
	r.fleet.After(at-r.fleet.Now, func() { r.decide.Timer(r.fleet.Now, token) })
}

// Probe implements decide.Executor.
func (r *router) Probe(to string) {
	f, s := r.fleet, r.fleet.servers[to]
	f.stats.probes++
	if !f.reachable(r, s) {
		return
	}
	f.After(2*f.latency(r, s), func() {
		if !f.reachable(r, s) {
			return
		}
		s.probes++
		load := decide.Probed{Server: to}
		if s.Kind == readerKind {
			load.QueuedTokens = s.queue.Backlog(f.Now).Seconds() / f.readTimePerToken.Seconds()
			load.QueuedRequests = load.QueuedTokens / meanPromptTokens
		} else {
			load.MemoryUse = s.heldTokens / f.writerMemory
			load.QueuedTokens = 0
		}
		r.decide.Probed(f.Now, load)
	})
}
