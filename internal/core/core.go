// Package core runs the requests of a router, independently of the protocol that they came by. For each request it starts
// and cancels attempts at workers, delivers one final answer, and releases the state that workers hold for it. It also
// keeps the list of workers and drives the decision module, package decide: it serializes the module's events, keeps its
// clock and its timers, and numbers the requests.
//
// A request has two stages. In the read, a worker that is a reader processes the prompt and holds the resulting state (the
// KV cache). In the write, a worker that is a writer fetches that state, which frees it at the reader, and streams the
// answer. Some workers do both. A state must be fetched or released within the pin limit (decide.Settings.PinLimit), as it
// occupies the reader's memory. What package decide calls a server is a worker here.
//
// Protocols such as HTTP and gRPC belong to the fronts. A front calls Core.Serve with each request and a Transport that
// carries out its attempts. Which worker an attempt goes to, and whether a request is tried again, is decided by the
// module alone: it answers events with commands, which the executor passes to the goroutine of the request (activeRequest).
package core

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"rowanyard/decide"
	"rowanyard/internal/inflight"
	"rowanyard/internal/invariant"
	"rowanyard/internal/openids"
	"rowanyard/internal/patience"
)

// Worker is an entry of the worker list: the decision module's view of the worker, and how a Transport reaches it.
type Worker struct {
	decide.Server
	// UnixStart is when the worker's process started, as Unix time by the worker's own clock; 0: long ago. The core
	// derives StartedAt from it, on its own clock.
	UnixStart time.Duration
	Addr      string // host:port
	Wire      string // wire protocol that the worker speaks, for transports; the core does not look at it
}

// Attempt is one send of a request to a worker.
type Attempt struct {
	Number int // position among the attempts of the request, from 0
	To     Worker
	Read   bool // the attempt is a read, the first of the two stages; otherwise it is a write
	// Deadline is when the router stops waiting for the attempt. A transport tells the worker the time that remains when
	// it writes the request, not earlier, since connecting may have taken long.
	Deadline time.Time
	// MaySend reports whether the attempt may still be sent. A transport calls it right before it writes the first byte:
	// since the choice the worker may have begun to drain, or the client may have left.
	MaySend func() bool
	// Verify asks the transport to make sure that the connection of a write is alive right before it writes, and not to
	// write where it is not. It is set only where workers may be probed.
	Verify bool
	// CancelGrace bounds how long Try may go on after its context has ended, to see the worker end the attempt too.
	// 0: Try returns at once.
	CancelGrace time.Duration
	end         *attemptEnd // nil: the attempt is not one of a Core
}

// Remaining returns how long the router will still wait for the attempt, which is never longer than its client waits.
func (a Attempt) Remaining() time.Duration { return time.Until(a.Deadline) }

// BeginStream reports to the core that the worker's stream has begun, as Try's return does too. It returns false if the attempt was
// cancelled before: then the stream must not be passed on. It is for transports whose streams others carry.
func (a Attempt) BeginStream() bool { return a.end == nil || a.end.beginStream() }

// InputSource reports whether something has come from an attempt's worker that Try has not read or not judged yet.
type InputSource interface {
	HasUnjudgedInput() bool
}

// ObserveInput tells the core where the attempt's input comes. The worker does not count as silent before that was judged.
func (a Attempt) ObserveInput(input InputSource) {
	if a.end != nil {
		a.end.observe(input)
	}
}

// Result reports how an attempt ended, or that its answer has begun to stream.
type Result struct {
	Status       decide.Status // 0: the answer has begun and Stream is set
	CachedTokens int           // prompt tokens that the worker found in its cache
	NoState      bool          // with Rejected: the writer found no state to fetch
	Stream       any           // opaque to the core: the transport's stream, relayed by the front that receives the Answer
	Err          error         // for the log
}

// Transport carries out the attempts of one request.
type Transport interface {
	// Try sends the request and blocks until the first token or the end of the attempt. When ctx ends it closes the
	// attempt and returns, within Attempt.CancelGrace: with Cancelled if the attempt may have reached the worker, with
	// Unsent or ConnectFailed if it can't have.
	Try(ctx context.Context, a Attempt) Result
	// Release asks one worker to release all state that is held for the request, at whichever worker.
	Release(ctx context.Context, at Worker) error
}

// Prober asks a worker for its load.
type Prober interface {
	Probe(ctx context.Context, at Worker) (decide.Probed, error)
}

// Verdict is the kind of a final answer.
type Verdict int

// The verdicts.
const (
	Pending    Verdict = iota // no final answer yet
	Streaming                 // a worker's answer is streamed
	Refused                   // nothing ran: the client may safely try again
	Failed                    // it is not known whether the request ran
	ClientGone                // the client left first and gets no answer
)

// Answer is the one final answer to a request. Its fields other than Verdict are set only with the verdict that they name.
type Answer struct {
	Verdict    Verdict
	RetryAfter time.Duration // Refused: when the client may try again, 0 = no advice
	Stream     any           // Streaming: the transport's stream, see Result
	Worker     Worker        // Streaming: the worker that streams
	// StreamEnded reports how the stream ended, and why if it broke off. The front calls it once. Set with Streaming only.
	StreamEnded func(status decide.Status, why error)
}

// Core is a router without its protocols. Create it with New. Its methods may be called from several goroutines.
type Core struct {
	settings atomic.Pointer[decide.Settings] // stored with mu held, never modified once stored
	prober   Prober
	log      *slog.Logger
	start    time.Time

	mu            sync.Mutex
	router        *decide.Router
	workers       map[string]Worker // the listed workers, by id
	workerStarts  *startTimes       // when they started
	requests      map[decide.RequestID]*activeRequest
	lastContact   map[string]time.Time // when listed workers last answered; no entry where the latest call went unanswered
	inMaintenance map[string]bool      // workers that operators have put into maintenance, listed or not
	lastID        decide.RequestID
	running       inflight.Counter // requests, and releases that outlive their request
	stopping      bool             // Shutdown was called: no new request is started

	admissionEnd atomic.Pointer[time.Time] // nil before CloseAdmission

	// Guard counts violated invariants, and steps that were stopped in time.
	Guard invariant.Guard
	// OpenIDs holds the ids that clients gave to their open requests.
	OpenIDs *openids.Registry

	// OnAvailabilityChange is called with the workers that have begun or ceased to accept new work, after each change.
	// Calls for concurrent changes may come in either order: AcceptsWork returns the current state. Set before use.
	OnAvailabilityChange func(ids []string)
	// CacheReports holds what workers report of their caches; nil: there are no reports. Set before use.
	CacheReports CacheReports
	order        func(inputs) inputs // picks what a request's goroutine takes next; nil: whatever is ready; set in tests
}

// CacheReports holds what workers report of the prompts in their caches.
type CacheReports interface {
	// CachedTokens returns, by worker id, how many tokens of a prompt workers have cached. A worker that does not report is
	// missing.
	CachedTokens(prompt []byte) map[string]int
	// RecordPrediction records how many tokens of a prompt a worker was predicted to have cached, according to
	// CachedTokens, and how many it found in its cache.
	RecordPrediction(worker string, predicted, actual int)
}

// CachedTokens returns, by worker id, how many tokens of a prompt workers report as cached, nil where there are no reports.
// prompt is called only if there may be reports.
func (c *Core) CachedTokens(prompt func() []byte) map[string]int {
	if c.CacheReports == nil {
		return nil
	}
	return c.CacheReports.CachedTokens(prompt())
}

// What the network has beyond the pin limit (pinLimitGrace) is shared out.
const (
	releaseDelivery = 50 * time.Millisecond // for a release: a call that goes unanswered is repeated after releaseHedgeDelay
	// writeArrivalSlack is how long past the pin limit a state may stay held while its write has probably arrived.
	writeArrivalSlack = pinLimitGrace - patience.MaxHeldUp - releaseDelivery
)

// busyRetryAfter is the advice to a client that a front has no room for.
const busyRetryAfter = 250 * time.Millisecond

// New returns a Core whose worker list is empty until SetWorkers is called. seed makes the module's random choices
// repeatable.
func New(settings decide.Settings, seed uint64, prober Prober, log *slog.Logger) (*Core, error) {
	c := &Core{prober: prober, log: log, start: time.Now(), workerStarts: newStartTimes(),
		workers: make(map[string]Worker), lastContact: make(map[string]time.Time),
		requests: make(map[decide.RequestID]*activeRequest), OpenIDs: openids.New(log)}
	c.Guard.Log = log
	settings.PinSlack = writeArrivalSlack
	r, err := decide.New(settings, seed, (*executor)(c))
	if err != nil {
		return nil, err
	}
	c.router = r
	c.settings.Store(&settings)
	return c, nil
}

// Settings returns the settings in force. They must not be modified.
func (c *Core) Settings() *decide.Settings { return c.settings.Load() }

// errModulePanicked is returned by Apply if the module panicked while it applied the new settings.
var errModulePanicked = errors.New("the decision module failed on them")

// Apply puts new settings in force for the requests that come from now on; open requests keep their class. If the settings
// are invalid or need a restart it returns an error and the old ones stay in force. See decide.Router.Apply.
func (c *Core) Apply(settings decide.Settings) error {
	err := errModulePanicked
	settings.PinSlack = writeArrivalSlack
	c.dispatch(func(now time.Duration, r *decide.Router) {
		if err = r.Apply(now, settings); err == nil {
			c.settings.Store(&settings)
		}
	})
	return err
}

// ClaimID reserves the id that a client gave to its request of a class until release is called. It fails with
// openids.ErrOpen if an open request has the id already, with openids.ErrMayHaveRun if one that must not run twice had it of
// late and may have run, unless resume is set, and with openids.ErrUnknown if that can't be told: then the request must be
// refused.
func (c *Core) ClaimID(id string, class int, resume bool) (release func(), err error) {
	return c.OpenIDs.Claim(id, openids.Use{Unsafe: isUnsafe(c.Settings(), class), Resume: resume})
}

// BusyRetryAfter returns when a client that a front has no room for may try again, 0 where no advice may be given.
func (c *Core) BusyRetryAfter() time.Duration { return min(busyRetryAfter, c.Settings().MaxRetryAfter) }

// clockOrigin is what the core's clock reads when the process starts. It is far from zero, so that workers that started
// before the router have start times above zero.
const clockOrigin = 100 * 365 * 24 * time.Hour

// clock returns the time on the clock that the module uses. It is monotonic: a step of the wall clock moves no deadline,
// window or wait.
func (c *Core) clock() time.Duration { return clockOrigin + time.Since(c.start) }

// dispatch passes one event to the module. A panic of the module is recovered and logged, so that it does not take down
// the router: the request that caused it fails at its deadline at the latest.
func (c *Core) dispatch(event func(now time.Duration, r *decide.Router)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dispatchLocked(event)
}

// dispatchLocked is dispatch for callers that hold c.mu.
func (c *Core) dispatchLocked(event func(now time.Duration, r *decide.Router)) {
	defer func() {
		if p := recover(); p != nil {
			c.log.Error("module panicked", "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
		}
	}()
	event(c.clock(), c.router)
}

// Serve runs a request and returns its final answer. What remains to be done after that (attempts to cancel, states to
// release, the end of the stream) goes on in the background. ctx ends when the client leaves.
func (c *Core) Serve(ctx context.Context, q decide.Request, transport Transport) Answer {
	req := &activeRequest{core: c, client: ctx, transport: transport, arrived: time.Now(), commands: make(chan command, queueCapacity),
		events: make(chan attemptEvent, queueCapacity), streamEnd: make(chan streamEnd, 1), answer: make(chan Answer, 1)}
	c.mu.Lock()
	if c.stopping {
		c.mu.Unlock()
		c.Guard.Stopped(invariant.Starting, "the process ends", "txn", q.Label)
		return Answer{Verdict: Refused, RetryAfter: c.BusyRetryAfter()}
	}
	c.lastID++
	q.ID = c.lastID
	req.Request = q
	c.requests[q.ID] = req
	c.running.Begin()
	c.mu.Unlock()
	req.idDone = c.OpenIDs.Hold(q.Label)
	go req.run()
	return <-req.answer
}

// Shutdown is called before the process exits. It has every open request answered at once, so that the state that workers hold
// for it is released while this process can still do so. Requests that come later are refused.
func (c *Core) Shutdown() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = true
	c.dispatchLocked(func(now time.Duration, r *decide.Router) { r.Shutdown(now) })
}

// Estimates returns what the module has learned so far, for Restore in the next process.
func (c *Core) Estimates() (learned decide.Estimates) {
	c.dispatch(func(now time.Duration, r *decide.Router) { learned = r.Estimates(now) })
	return learned
}

// Restore passes to the module what the previous process had learned. It returns an error if the module can't use it.
func (c *Core) Restore(learned decide.Estimates) (err error) {
	c.dispatch(func(now time.Duration, r *decide.Router) { err = r.Restore(now, learned) })
	return err
}

// Wait returns when all requests and their releases are done, or when ctx ends. New requests may come meanwhile.
func (c *Core) Wait(ctx context.Context) { c.running.Wait(ctx) }
