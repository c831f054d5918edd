package fleetsim

import (
	"time"

	"rowanyard/decide"
)

// router is one router: the real decision module, and what would be its network.
type router struct {
	fleet        *fleet
	decide       *decide.Router
	zone, region int
	open         map[decide.RequestID]*request
}

// request is a client's request at its router.
type request struct {
	decide.Request
	came     time.Duration
	attempts []*attempt
	holder   *server // the reader where its state is
	begun    bool    // its answer streams
}

// attempt is one send. What was called off has its outcome at once, and nothing of it counts any more.
type attempt struct {
	to   *server
	at   time.Duration
	over bool
	end  func() // of a stream: gives its memory back
}

func newRouter(f *fleet, number int) *router {
	r := &router{fleet: f, zone: number % f.Zones, open: make(map[decide.RequestID]*request)}
	r.region = f.region(r.zone)
	set := f.settings
	set.Front, set.Zone = number, r.zone
	module, err := decide.New(set, f.Seed<<16+uint64(number), r)
	if err != nil {
		panic(err) // the settings are ours
	}
	r.decide = module
	module.Servers(0, decide.ServerList{Whole: true, Servers: f.list()})
	return r
}

// take has a client's request come.
func (r *router) take(q decide.Request) {
	r.open[q.ID] = &request{Request: q, came: r.fleet.Now}
	r.decide.Request(r.fleet.Now, q)
}

// Send implements decide.Front.
func (r *router) Send(id decide.RequestID, to string, timeout time.Duration) {
	f, q := r.fleet, r.open[id]
	s := f.servers[to]
	a := &attempt{to: s, at: f.Now}
	n := len(q.attempts)
	q.attempts = append(q.attempts, a)
	f.tally.attempts++
	if !f.reaches(r, s) {
		wait := refusedAfter
		if f.cut >= 0 || s.away {
			wait = noConnection
		}
		f.After(min(wait, timeout), func() { r.end(q, n, decide.Outcome{Status: decide.ConnectFailed}) })
		return
	}
	f.After(timeout, func() { r.end(q, n, decide.Outcome{Status: decide.TimedOut}) })
	f.After(f.way(r, s), func() {
		if a.over || s.away {
			return
		}
		if s.Kind == readerKind {
			r.read(q, n, s, timeout)
		} else {
			r.write(q, n, s)
		}
	})
}

// read has a reader read the prompt. What has expired in its queue is dropped.
func (r *router) read(q *request, n int, s *server, timeout time.Duration) {
	f, a := r.fleet, q.attempts[n]
	kept := min(q.Prompt, max(min(s.cache.Kept(q.Prefix), q.PrefixLen), s.cache.Kept(q.Session)))
	f.begin(s, float64(q.Prompt)/promptTokens)
	slot := s.queue.Next(f.Now)
	if slot.Begins > a.at+timeout {
		return
	}
	long := time.Duration(float64(f.perToken) * float64(q.Prompt-kept) / f.warmth(s))
	ends := slot.Take(long)
	f.After(ends-f.Now+f.way(r, s), func() {
		s.cache.Keep(q.Prefix, q.PrefixLen)
		s.cache.Keep(q.Session, q.Prompt)
		if !a.over && f.reaches(r, s) {
			q.holder = s
			f.tally.read(q.Prompt, kept)
			r.end(q, n, decide.Outcome{Status: decide.Read, Kept: kept})
		}
	})
}

// write has a writer fetch the state and stream the answer.
func (r *router) write(q *request, n int, s *server) {
	f, a := r.fleet, q.attempts[n]
	size := float64(q.Prompt + f.Tokens)
	f.begin(s, size/float64(promptTokens+f.Tokens))
	if q.holder == nil || s.held+size > f.memory*f.warmth(s) {
		f.After(f.way(r, s), func() { r.end(q, n, decide.Outcome{Status: decide.Full}) })
		return
	}
	s.held += size
	s.streams++
	since := s.Since
	a.end = func() {
		a.end = nil
		if s.Since == since { // else it has been restarted, and holds nothing of before
			s.held -= size
			s.streams--
		}
	}
	step := time.Duration(float64(f.TokenTime) / 2 * (1 + s.held/f.memory))
	first := f.move(q.holder, s) + step + f.way(r, s)
	f.After(first, func() { r.firstToken(q, n, s) })
}

// firstToken has an answer begin.
func (r *router) firstToken(q *request, n int, s *server) {
	f, a := r.fleet, q.attempts[n]
	if a.over || !f.reaches(r, s) {
		if a.over && a.end != nil {
			a.end()
		}
		return
	}
	q.begun = true
	f.tally.served(f.Now - q.came)
	r.decide.Started(f.Now, decide.Started{ID: q.ID, Attempt: n, Server: s.ID, Took: f.Now - a.at})
	f.After(time.Duration(f.Tokens)*f.TokenTime, func() {
		status := decide.Served
		if !f.reaches(r, s) {
			status = decide.Reset
			f.tally.broken++
		}
		r.end(q, n, decide.Outcome{Status: status, Final: true})
	})
}

// end is the outcome of an attempt, unless it had one.
func (r *router) end(q *request, n int, o decide.Outcome) {
	f, a := r.fleet, q.attempts[n]
	if a.over || q.begun && o.Status == decide.TimedOut { // an answer that streams has no time-out
		return
	}
	a.over = true
	if a.end != nil {
		a.end()
	}
	o.ID, o.Attempt, o.Server, o.Took = q.ID, n, a.to.ID, f.Now-a.at
	r.decide.Outcome(f.Now, o)
	if q.begun {
		delete(r.open, q.ID)
	}
}

// Cancel implements decide.Front.
func (r *router) Cancel(id decide.RequestID, n int) {
	q := r.open[id]
	r.fleet.After(0, func() { r.end(q, n, decide.Outcome{Status: decide.Cancelled}) })
}

// Refuse implements decide.Front.
func (r *router) Refuse(id decide.RequestID, _ time.Duration) { r.give(id, &r.fleet.tally.refused) }

// Fail implements decide.Front.
func (r *router) Fail(id decide.RequestID) { r.give(id, &r.fleet.tally.failed) }

// give is a final answer other than a stream.
func (r *router) give(id decide.RequestID, counted *int) {
	q := r.open[id]
	*counted++
	delete(r.open, id)
	for n, a := range q.attempts {
		if !a.over {
			r.fleet.After(0, func() { r.end(q, n, decide.Outcome{Status: decide.Cancelled}) })
		}
	}
}

// Release implements decide.Front. States hold no memory of a reader here.
func (r *router) Release(decide.RequestID) {}

// AskServers implements decide.Front. Lists are pushed.
func (r *router) AskServers(bool) {}

// SetTimer implements decide.Front.
func (r *router) SetTimer(token uint64, at time.Duration) {
	r.fleet.After(at-r.fleet.Now, func() { r.decide.Timer(r.fleet.Now, token) })
}

// Probe implements decide.Front.
func (r *router) Probe(to string) {
	f, s := r.fleet, r.fleet.servers[to]
	f.tally.probes++
	if !f.reaches(r, s) {
		return
	}
	f.After(2*f.way(r, s), func() {
		if !f.reaches(r, s) {
			return
		}
		s.probes++
		told := decide.Probed{Server: to}
		if s.Kind == readerKind {
			told.Tokens = s.queue.Backlog(f.Now).Seconds() / f.perToken.Seconds()
			told.Queue = told.Tokens / promptTokens
		} else {
			told.Held = s.held / f.memory
			told.Tokens = 0
		}
		r.decide.Probed(f.Now, told)
	})
}
