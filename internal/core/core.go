// Package core owns the life of every request that this router has taken: its attempts, its one
// final answer and what is held for it at the workers. It also owns the decision module (behind
// one lock), the clock that the module is told, its timers, the ids and the list of workers.
//
// It must never speak a wire: fronts hand it requests and a Carrier that starts attempts and
// releases what is held; HTTP, gRPC and whatever else stay in the fronts. It must never decide
// where a request goes or whether it goes again: that is asked of package decide at each choice.
package core

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"rowanyard/decide"
)

// Worker is one entry of the worker list: what the module decides on, and where a carrier finds it.
type Worker struct {
	decide.Server
	Addr string
	Wire string // how the worker is spoken to, for the carriers; the core does not look at it
}

// Attempt is one send of a request to a worker.
type Attempt struct {
	Number int
	To     Worker
	Read   bool          // at a reader: the first of the two stages
	Wait   time.Duration // the router stops waiting after so long
	// Allowed is asked once more right before the first byte is written: a worker may have begun
	// to drain since it was chosen, or the client may have gone.
	Allowed func() bool
	// Settle is how long Try may go on after its context has ended, until the worker was seen to have ended the
	// attempt too; 0: it returns at once.
	Settle time.Duration
}

// Result is how an attempt ended, or that its answer has begun to stream.
type Result struct {
	Status  decide.Status // 0: the answer has begun, Stream is set
	Kept    int           // prompt tokens found kept
	NoState bool          // Full: there was no state to fetch
	Stream  any           // the carrier's own: the front that gets the Answer relays it
	Err     error         // for the log
}

// Carrier carries the attempts of one request. Try blocks until the first token or the end; when
// its context ends it closes the attempt and returns, see Attempt.Settle. Its answer then is Cancelled where
// the attempt may have reached the worker and Moot or ConnectFailed where it can't have.
type Carrier interface {
	Try(ctx context.Context, a Attempt) Result
	// Release asks a worker to let go of all that is held for the request, at any worker.
	Release(ctx context.Context, at Worker) error
}

// Prober asks a worker for its load.
type Prober interface {
	Probe(ctx context.Context, at Worker) (decide.Probed, error)
}

// Verdict is a final answer.
type Verdict int

// The final answers. Gone means that the client left first and nothing is owed.
const (
	Open Verdict = iota
	Streaming
	Refused
	Failed
	Gone
)

// Answer is the one final answer to a request.
type Answer struct {
	Verdict    Verdict
	RetryAfter time.Duration // Refused: when to come back, 0 = no advice
	Stream     any           // Streaming: the carrier's own
	Worker     Worker        // Streaming: who streams
	// Ended tells how the stream ended; the front calls it once. Streaming only.
	Ended func(decide.Status)
}

// Core is the router without its wires.
type Core struct {
	set    decide.Settings
	prober Prober
	log    *slog.Logger
	start  time.Time
	epoch  time.Duration // clock time at start

	mu      sync.Mutex
	router  *decide.Router
	workers map[string]Worker // all that are listed
	lives   map[decide.RequestID]*life
	claimed map[string]bool      // the ids that clients gave to their open requests
	heard   map[string]time.Time // listed workers' latest answers, none where the last attempt met silence
	banned  map[string]bool      // workers that operators have taken out, listed or not
	lastID  decide.RequestID
	running int           // lives, and releases that go on after theirs
	idle    chan struct{} // closed when there are none any more, nil: nobody waits

	// Moved is told which workers have begun or ceased to take new work, after each change. Two changes at once may
	// be told in either order: Wanted says what holds. Set before use.
	Moved func(ids []string)
	// Texts knows what workers report to keep; nil: there are no reports. Set before use.
	Texts Texts
}

// Texts knows what workers keep of a prompt, as they report it.
type Texts interface {
	// Kept is how many tokens of a prompt workers keep, by id; one that is not in it does not tell.
	Kept(prompt []byte) map[string]int
	// Found is told what a reader found kept of a prompt of which Kept had said so much.
	Found(worker string, predicted, kept int)
}

// Kept is what workers report to keep of a prompt, nil where there are no reports.
func (c *Core) Kept(prompt func() []byte) map[string]int {
	if c.Texts == nil {
		return nil
	}
	return c.Texts.Kept(prompt())
}

// Limits of the core's own, none of them a decision on where requests go.
const (
	probeWait    = 250 * time.Millisecond // a probe without an answer is given up
	releaseNext  = 40 * time.Millisecond  // a release unanswered for so long is sent to another worker too
	releaseWait  = 250 * time.Millisecond // and is given up after this
	releaseTries = 8
	heardLately  = 10 * time.Second       // a worker that has answered within this is asked before others
	releaseAgain = 100 * time.Millisecond // a read of unknown fate is let go a second time after this
	overdue      = 15 * time.Millisecond  // the core fails what the module has left unanswered for so long
	settleMost   = 250 * time.Millisecond // for an attempt's end to be seen, where no connect timeout is set
	busyAgain    = 250 * time.Millisecond
	maxChoices   = 64 // of a request not yet carried out
)

// New returns a Core. Its list of workers is empty until SetWorkers.
func New(set decide.Settings, seed uint64, prober Prober, log *slog.Logger) (*Core, error) {
	now := time.Now()
	c := &Core{set: set, prober: prober, log: log, start: now, epoch: time.Duration(now.UnixNano()),
		workers: make(map[string]Worker), heard: make(map[string]time.Time),
		lives: make(map[decide.RequestID]*life), claimed: make(map[string]bool)}
	r, err := decide.New(set, seed, (*actions)(c))
	if err != nil {
		return nil, err
	}
	c.router = r
	return c, nil
}

// Claim takes the id that a client gave to its request until free is called. It says no where the id
// is open already: a second request with it would share what workers hold for the first.
func (c *Core) Claim(id string) (free func(), ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.claimed[id] {
		return nil, false
	}
	c.claimed[id] = true
	return func() { c.mu.Lock(); delete(c.claimed, id); c.mu.Unlock() }, true
}

// Busy is when a client that a front has no room for may come back, 0 where none may be told.
func (c *Core) Busy() time.Duration { return min(busyAgain, c.set.MaxRetryAfter) }

// clock is the time that the module is told: Unix time at the start and steady from there on, so
// that workers' start times compare and a stepped system clock does no harm.
func (c *Core) clock() time.Duration { return c.epoch + time.Since(c.start) }

// tell gives the module one event. A panic there must not take the router down: the request that
// caused it is failed by its own deadline at the latest.
func (c *Core) tell(event func(now time.Duration, r *decide.Router)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tellLocked(event)
}

func (c *Core) tellLocked(event func(now time.Duration, r *decide.Router)) {
	defer func() {
		if p := recover(); p != nil {
			c.log.Error("module panicked", "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
		}
	}()
	event(c.clock(), c.router)
}

// SetWorkers takes a change to the worker list, or all of it.
func (c *Core) SetWorkers(whole bool, changed []Worker) {
	defer c.tellMoved(c.open())
	c.mu.Lock()
	defer c.mu.Unlock()
	list := decide.ServerList{Whole: whole}
	if whole {
		for id, w := range c.workers {
			w.State = decide.Gone
			c.workers[id] = w
		}
	}
	for _, w := range changed {
		if old, ok := c.workers[w.ID]; ok && w.State == decide.Gone {
			// The news that a worker is gone need not say what it was.
			w = old
			w.State = decide.Gone
		}
		c.workers[w.ID] = w
		list.Servers = append(list.Servers, c.shown(w))
	}
	for id, w := range c.workers { // guards against a list that grows for as long as the router runs
		if w.State == decide.Gone {
			delete(c.workers, id)
			delete(c.heard, id)
		}
	}
	c.tellLocked(func(now time.Duration, r *decide.Router) { r.Servers(now, list) })
}

// open is the workers that take new work, where somebody is told of changes.
func (c *Core) open() map[string]bool {
	if c.Moved == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	open := make(map[string]bool)
	for id, w := range c.workers {
		if c.shown(w).State == decide.Ready {
			open[id] = true
		}
	}
	return open
}

// tellMoved tells of the workers that are open now and were not before, or the other way round.
func (c *Core) tellMoved(before map[string]bool) {
	if c.Moved == nil {
		return
	}
	var ids []string
	after := c.open()
	for id := range after {
		if !before[id] {
			ids = append(ids, id)
		}
	}
	for id := range before {
		if !after[id] {
			ids = append(ids, id)
		}
	}
	if len(ids) > 0 {
		slices.Sort(ids)
		c.Moved(ids)
	}
}

// shown is a listed worker as the module is told of it: one that is out for maintenance drains, whatever
// the list says.
func (c *Core) shown(w Worker) decide.Server {
	if c.banned[w.ID] && w.State == decide.Ready {
		w.State = decide.Draining
	}
	return w.Server
}

// SetBanned names all workers that are out for maintenance. One that is not in the list stays out when
// the list names it again.
func (c *Core) SetBanned(ids []string) {
	defer c.tellMoved(c.open())
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.banned
	c.banned = make(map[string]bool)
	for _, id := range ids {
		c.banned[id] = true
	}
	var changed decide.ServerList
	for id, w := range c.workers {
		if old[id] != c.banned[id] {
			changed.Servers = append(changed.Servers, c.shown(w))
		}
	}
	if len(changed.Servers) > 0 {
		c.tellLocked(func(now time.Duration, r *decide.Router) { r.Servers(now, changed) })
	}
}

// Known says whether a worker is listed.
func (c *Core) Known(id string) bool {
	_, ok := c.Worker(id)
	return ok
}

// Worker returns a listed worker.
func (c *Core) Worker(id string) (Worker, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok := c.workers[id]
	return w, ok && w.State != decide.Gone
}

// Wanted says whether a worker may still be sent fresh work.
func (c *Core) Wanted(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok := c.workers[id]
	return ok && c.shown(w).State == decide.Ready
}

// Serve takes a request and returns its final answer. What must be done after that (attempts to
// call off, states to release, the stream's end) goes on without the caller. ctx is the client:
// when it ends, the client has gone.
func (c *Core) Serve(ctx context.Context, q decide.Request, via Carrier) Answer {
	l := &life{core: c, client: ctx, via: via, arrived: time.Now(), choices: make(chan choice, maxChoices),
		events: make(chan event, maxChoices), streamEnd: make(chan decide.Status, 1), answer: make(chan Answer, 1)}
	c.mu.Lock()
	c.lastID++
	q.ID = c.lastID
	l.Request = q
	c.lives[q.ID] = l
	c.running++
	c.mu.Unlock()
	go l.live()
	return <-l.answer
}

// End has every open request answered at once: the process ends, and what it still held then would be
// let go by nobody.
func (c *Core) End() { c.tell(func(now time.Duration, r *decide.Router) { r.End(now) }) }

// Learned tells what the module has learned so far.
func (c *Core) Learned() (l decide.Learned) {
	c.tell(func(now time.Duration, r *decide.Router) { l = r.Learned(now) })
	return l
}

// Learn gives the module what the process before this one had learned.
func (c *Core) Learn(l decide.Learned) (err error) {
	c.tell(func(now time.Duration, r *decide.Router) { err = r.Learn(now, l) })
	return err
}

// Wait returns when all that requests have left to do is done, or ctx ends. New ones may come meanwhile.
func (c *Core) Wait(ctx context.Context) {
	c.mu.Lock()
	if c.running == 0 {
		c.mu.Unlock()
		return
	}
	if c.idle == nil {
		c.idle = make(chan struct{})
	}
	idle := c.idle
	c.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}

// begins and ends count what is left to do.
func (c *Core) begins() {
	c.mu.Lock()
	c.running++
	c.mu.Unlock()
}

func (c *Core) ends() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running--; c.running == 0 && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

// life is one request from its arrival until nothing is left to do for it.
type life struct {
	decide.Request
	core      *Core
	client    context.Context // ends when the client has gone
	via       Carrier
	arrived   time.Time
	choices   chan choice        // what the module chose, in order
	events    chan event         // what became of the attempts
	streamEnd chan decide.Status // how the answer's stream ended
	answer    chan Answer        // takes the one final answer

	// Owned by live, but for verdict and retryAfter, which the core's lock guards: the module may
	// settle the request from a timer while its first token arrives, and only one of them wins.
	verdict    Verdict
	retryAfter time.Duration
	answered   bool
	attempts   []*attempt
	out        int  // attempts without a result
	streaming  bool // the answer's stream has not ended
	stream     int  // the attempt that streams
	left       bool // its client went while it streamed
	sends      atomic.Int32
	held       bool // a state may be held for it at a worker
	unknown    bool // a read ended without telling whether it left a state
	waiting    bool // a read state waits and the module knows it
	reader     Worker
}

type attempt struct {
	Attempt
	began  time.Time
	cancel context.CancelCauseFunc
	out    bool
}

type event struct {
	n int
	Result
}

// choice is one thing that the module wants done for a request.
type choice struct {
	do      action
	worker  string
	timeout time.Duration
	n       int
}

type action int

const (
	send action = iota
	cancel
	settle // the final answer is fixed: verdict holds it
	release
)

var (
	errTimedOut  = errors.New("the attempt's time is up")
	errCancelled = errors.New("called off")
)

// live is the life of one request, from top to bottom. The module is asked at each choice: when the
// request comes, at each attempt's first token or end, and by its own timers. Its choices come back
// on l.choices.
func (l *life) live() {
	defer l.core.ends()
	defer l.guard()
	c := l.core

	c.tell(func(now time.Duration, r *decide.Router) { r.Request(now, l.Request) })
	late := time.NewTimer(l.TimeLeft + overdue)
	defer late.Stop()
	gone := l.client.Done()

	for !l.over() {
		// Guards against a choice that came in the same instant: nothing is begun for a client that has gone.
		if gone != nil && l.client.Err() != nil {
			gone = nil
			l.clientGone()
			l.letGo()
			continue
		}
		select {
		case ch := <-l.choices:
			switch ch.do {
			case send:
				l.begin(ch)
			case cancel:
				l.callOff(ch.n, errCancelled)
			case settle:
				l.finish()
			case release: // done below, once none of its attempts is out
			}
		case e := <-l.events:
			if e.Status == 0 {
				l.firstToken(e)
			} else {
				l.ended(e)
			}
		case status := <-l.streamEnd:
			l.streamEnded(status)
		case <-gone: // seen to above
		case <-late.C:
			// Guards against a module that leaves a request unanswered: one final answer is owed,
			// and failing promises nothing.
			if l.settleAs(Failed) {
				c.log.Error("overdue", "id", l.ID, "class", l.Class)
				c.tell(func(now time.Duration, r *decide.Router) { r.Left(now, l.ID) })
			}
		}
		l.letGo()
	}
}

// clientGone ends what the client will not see.
func (l *life) clientGone() {
	if l.settleAs(Gone) {
		l.core.tell(func(now time.Duration, r *decide.Router) { r.Left(now, l.ID) })
	} else if l.streaming {
		// Guards against a stream that goes on, or hangs, with nobody to read it.
		l.left = true
		l.attempts[l.stream].cancel(errCancelled)
	}
}

// over says that nothing is left to do.
func (l *life) over() bool {
	return l.answered && l.out == 0 && !l.streaming && !l.held && len(l.choices) == 0
}

// guard ends a life that panicked with a failure, so that its client is answered all the same.
func (l *life) guard() {
	p := recover()
	if p != nil {
		l.core.log.Error("request panicked", "id", l.ID, "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
		l.callOffAll()
		if !l.answered {
			l.answer <- Answer{Verdict: Failed}
		}
	}
	l.core.mu.Lock()
	delete(l.core.lives, l.ID)
	l.core.mu.Unlock()
}

// settleAs fixes the final answer, unless it is fixed already.
func (l *life) settleAs(v Verdict) bool {
	l.core.mu.Lock()
	won := l.verdict == Open
	if won {
		l.verdict = v
	}
	l.core.mu.Unlock()
	if won {
		l.finish()
	}
	return won
}

// finish gives the final answer at once and calls off what nobody will read any more.
func (l *life) finish() {
	if l.answered {
		return
	}
	l.core.mu.Lock()
	a := Answer{Verdict: l.verdict, RetryAfter: l.retryAfter}
	l.core.mu.Unlock()
	l.answered = true
	l.answer <- a
	l.log(a.Verdict, "")
	l.callOffAll()
}

func (l *life) callOffAll() {
	for n := range l.attempts {
		l.callOff(n, errCancelled)
	}
}

func (l *life) log(v Verdict, worker string) {
	names := [...]string{"open", "streaming", "refused", "failed", "gone"}
	level := slog.LevelInfo
	if v == Streaming {
		level = slog.LevelDebug
	}
	l.core.log.Log(context.Background(), level, "answer", "verdict", names[v], "id", l.ID, "class", l.Class,
		"after_ms", time.Since(l.arrived).Milliseconds(), "left_ms", l.TimeLeft.Milliseconds(),
		"attempts", len(l.attempts), "prompt", l.Prompt, "worker", worker)
}

// begin starts the attempt that the module chose.
func (l *life) begin(ch choice) {
	c := l.core
	w, _ := c.Worker(ch.worker)
	wait := l.TimeLeft - time.Since(l.arrived)
	if ch.timeout > 0 {
		wait = min(wait, ch.timeout)
	}
	n := len(l.attempts)
	a := &attempt{Attempt: Attempt{Number: n, To: w, Wait: wait, Read: l.isRead(w), Settle: l.settle(),
		Allowed: func() bool { return l.client.Err() == nil && c.Wanted(w.ID) }}, began: time.Now(), out: true}
	l.attempts = append(l.attempts, a)
	l.sends.Add(1)
	l.out++
	if l.answered || wait <= 0 || w.ID == "" || !a.Allowed() {
		a.cancel = func(error) {}
		l.events <- event{n, Result{Status: decide.Moot}}
		return
	}
	up := time.Duration(0) // what the module was told of how long w runs, 0 = long
	if w.Since > 0 {
		up = max(time.Millisecond, time.Duration(a.began.UnixNano())-w.Since)
	}
	c.log.Debug("send", "id", l.ID, "n", n, "worker", w.ID, "kind", w.Kind, "read", a.Read, "up_ms", up.Milliseconds())
	ctx, stop := context.WithCancelCause(context.Background())
	timer := time.AfterFunc(wait, func() { stop(errTimedOut) })
	a.cancel = stop
	go func() {
		defer func() {
			if p := recover(); p != nil {
				c.log.Error("attempt panicked", "id", l.ID, "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
				l.events <- event{n, Result{Status: decide.Reset}}
			}
		}()
		res := l.via.Try(ctx, a.Attempt)
		if !timer.Stop() && res.Status == 0 { // its time ran out with the first token: the stream is cut already
			res = Result{Status: decide.Cancelled}
		}
		if res.Status == decide.Cancelled && errors.Is(context.Cause(ctx), errTimedOut) {
			res.Status = decide.TimedOut
		}
		l.events <- event{n, res}
	}()
}

// settle is how long an attempt that is called off may take to end at its worker. Guards against a next attempt, or a
// refusal, that overtakes the close of the one before: that is out still, so there are two of a request that must not
// run twice. A worker in reach shows its end within a round trip. One that is out of reach shows nothing: what was
// written has reached it after the connect timeout, or never does. What is held meanwhile must still be let go in time.
func (l *life) settle() time.Duration {
	set := &l.core.set
	if l.Class < 0 || l.Class >= len(set.Classes) || set.Classes[l.Class].Effect != decide.Unsafe {
		return 0
	}
	limit := cmp.Or(set.ConnectTimeout, settleMost)
	if set.PinLimit > 0 {
		limit = min(limit, set.PinLimit/2)
	}
	return limit
}

// isRead says whether an attempt at w is the first of two stages.
func (l *life) isRead(w Worker) bool {
	return w.Kind >= 0 && w.Kind < len(l.core.set.Kinds) && l.core.set.Kinds[w.Kind].Role == decide.Reader
}

// callOff stops waiting for an attempt.
func (l *life) callOff(n int, why error) {
	if n >= 0 && n < len(l.attempts) && l.attempts[n].out {
		l.attempts[n].cancel(why)
	}
}

// firstToken hands the stream to the client, if the request is still open. From then on it has no
// deadline and nothing more is sent for it.
func (l *life) firstToken(e event) {
	a, c := l.attempts[e.n], l.core
	c.hears(a.To.ID, true)
	c.mu.Lock()
	won := l.verdict == Open
	if won {
		l.verdict = Streaming
		c.tellLocked(func(now time.Duration, r *decide.Router) {
			r.Started(now, decide.Started{ID: l.ID, Attempt: e.n, Server: a.To.ID, Took: time.Since(a.began)})
		})
	}
	c.mu.Unlock()
	if !won { // a first token that comes after the final answer: nobody will read it
		a.cancel(errCancelled)
		l.ended(event{e.n, Result{Status: decide.Cancelled, Stream: e.Stream}})
		return
	}
	l.answered, l.streaming, l.stream = true, true, e.n
	l.held, l.unknown, l.waiting = false, false, false // goes by itself with the first token
	l.out--
	a.out = false
	var once sync.Once
	l.answer <- Answer{Verdict: Streaming, Stream: e.Stream, Worker: a.To, Ended: func(s decide.Status) {
		once.Do(func() { a.cancel(errCancelled); l.streamEnd <- s })
	}}
	l.log(Streaming, a.To.ID)
	l.callOffAll()
}

// streamEnded tells the module how the answer's stream ended. Where it broke, the client's
// connection ends with it, and nothing is sent again: the client has had its one answer.
func (l *life) streamEnded(status decide.Status) {
	l.streaming = false
	if l.left && status != decide.Served {
		status = decide.Cancelled // the break is the client's doing, not the worker's
	}
	if status != decide.Served {
		l.core.log.Info("stream broke off", "id", l.ID, "worker", l.attempts[l.stream].To.ID, "status", statusName(status))
	}
	l.outcome(l.stream, Result{Status: status})
}

// ended takes the end of an attempt that did not stream to the client.
func (l *life) ended(e event) {
	a := l.attempts[e.n]
	a.out = false
	l.out--
	a.cancel(errCancelled) // frees its context
	if e.Status != decide.Moot {
		l.core.hears(a.To.ID, e.Status == decide.Read || e.Status == decide.Full || e.Status == decide.Errored)
	}
	switch {
	case e.Status == decide.Read:
		l.held, l.waiting, l.reader = true, true, a.To
		if said, ok := l.Kept[a.To.ID]; ok && l.core.Texts != nil {
			l.core.Texts.Found(a.To.ID, said, e.Kept)
		}
	case e.NoState:
		l.waiting = false
	case a.Read && (e.Status == decide.TimedOut || e.Status == decide.Cancelled || e.Status == decide.Reset ||
		e.Status == decide.Errored):
		// It may have ended well just as its connection closed: a state may wait there all the same.
		l.held, l.unknown, l.reader = true, true, a.To
	}
	level := slog.LevelInfo
	if e.Status == decide.Read {
		level = slog.LevelDebug
	}
	l.core.log.Log(context.Background(), level, "attempt", "id", l.ID, "n", e.n, "worker", a.To.ID, "status", statusName(e.Status),
		"took_ms", time.Since(a.began).Milliseconds(), "read", a.Read, "no_state", e.NoState, "kept", e.Kept,
		"prompt", l.Prompt, "err", e.Err)
	l.outcome(e.n, e.Result)
}

// outcome tells the module of an attempt's end.
func (l *life) outcome(n int, res Result) {
	a, c := l.attempts[n], l.core
	c.mu.Lock()
	defer c.mu.Unlock()
	o := decide.Outcome{ID: l.ID, Attempt: n, Server: a.To.ID, Status: res.Status, Took: time.Since(a.began),
		Final: l.verdict != Open, Kept: res.Kept, NoState: res.NoState}
	c.tellLocked(func(now time.Duration, r *decide.Router) { r.Outcome(now, o) })
}

// letGo releases what may be held for the request while none of its attempts is out: always once
// it is answered, and before that where a read of unknown fate may have left a state that the
// module does not know of and nothing has been sent since. Guards the pin limit.
func (l *life) letGo() {
	if !l.held || l.out > 0 || len(l.choices) > 0 || !l.answered && (!l.unknown || l.waiting) {
		return
	}
	sends := l.sends.Load()
	l.core.begins()
	go l.core.release(l, l.reader, l.unknown, func() bool { return l.sends.Load() == sends })
	l.held, l.unknown, l.waiting = false, false, false
}

// hears notes whether a worker has answered.
func (c *Core) hears(id string, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.workers[id]; ok && answered {
		c.heard[id] = time.Now()
	} else {
		delete(c.heard, id)
	}
}

// release lets go of all that is held for a request, at any worker that answers. A worker may be
// dead, silent or cut off, so the next is asked soon, and while the first may still answer. Where the fate
// of a read is unknown it is done once more a little later: the state may appear just after the first call.
// still says that the request has not been sent again meanwhile, which would give it a state that is wanted.
func (c *Core) release(l *life, first Worker, unknown bool, still func() bool) {
	defer c.ends()
	ok := c.releaseOnce(l, first, still)
	if unknown {
		time.Sleep(releaseAgain)
		if still() {
			ok = c.releaseOnce(l, first, still) || ok
		}
	}
	if !ok && still() {
		c.log.Error("nothing took the release", "id", l.ID)
	}
}

// ReleaseAnywhere has call let go of what is held for a request that is over, at one worker after the other until
// one has answered.
func (c *Core) ReleaseAnywhere(wait time.Duration, call func(ctx context.Context, at Worker) error) bool {
	return c.releaseAt(Worker{}, func() bool { return true }, wait, call)
}

// releaseOnce asks one worker after the other until one has answered.
func (c *Core) releaseOnce(l *life, first Worker, still func() bool) bool {
	return c.releaseAt(first, still, releaseWait, func(ctx context.Context, w Worker) error {
		err := l.via.Release(ctx, w)
		if err != nil {
			c.log.Warn("release failed", "id", l.ID, "worker", w.ID, "err", err)
		}
		return err
	})
}

func (c *Core) releaseAt(first Worker, still func() bool, wait time.Duration, release func(context.Context, Worker) error) bool {
	all := c.releasers(first)
	all = all[:min(len(all), releaseTries)]
	done := make(chan error, len(all))
	call := func(w Worker) {
		ctx, stop := context.WithTimeout(context.Background(), wait)
		defer stop()
		err := release(ctx, w)
		c.hears(w.ID, err == nil)
		done <- err
	}
	next := time.NewTicker(releaseNext)
	defer next.Stop()
	for asked, out := 0, 0; asked < len(all) && still() || out > 0; {
		if asked < len(all) && still() {
			go call(all[asked])
			asked, out = asked+1, out+1
		}
		select {
		case err := <-done:
			if out--; err == nil {
				return true
			}
		case <-next.C:
		}
	}
	return false
}

// releasers lists the workers that a release may be sent to: the one that holds the state, then those that
// have answered lately, the latest first, then those of this router's zone, then the rest. Guards the pin limit
// while this zone, or another one, is cut off and most workers can't be reached.
func (c *Core) releasers(first Worker) []Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []Worker
	for _, w := range c.workers {
		if w.State != decide.Gone {
			all = append(all, w)
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	since := time.Now().Add(-heardLately)
	place := func(w Worker) int {
		switch {
		case w.ID == first.ID:
			return 0
		case c.heard[w.ID].After(since):
			return 1
		case w.Zone == c.set.Zone:
			return 2
		}
		return 3
	}
	slices.SortStableFunc(all, func(a, b Worker) int {
		if byPlace := cmp.Compare(place(a), place(b)); byPlace != 0 || place(a) != 1 {
			return byPlace
		}
		return c.heard[b.ID].Compare(c.heard[a.ID])
	})
	return all
}

// actions is what the module acts through. It is called under the core's lock, while the module
// handles an event.
type actions Core

func (x *actions) choose(id decide.RequestID, ch choice) {
	l := x.lives[id]
	if l == nil {
		return
	}
	select {
	case l.choices <- ch:
	default:
		x.log.Error("module floods a request", "id", id)
	}
}

func (x *actions) settle(id decide.RequestID, v Verdict, retryAfter time.Duration) {
	if l := x.lives[id]; l != nil && l.verdict == Open {
		l.verdict, l.retryAfter = v, retryAfter
		x.choose(id, choice{do: settle})
	}
}

// Send implements decide.Front.
func (x *actions) Send(id decide.RequestID, server string, timeout time.Duration) {
	x.choose(id, choice{do: send, worker: server, timeout: timeout})
}

// Cancel implements decide.Front.
func (x *actions) Cancel(id decide.RequestID, attempt int) {
	x.choose(id, choice{do: cancel, n: attempt})
}

// Refuse implements decide.Front.
func (x *actions) Refuse(id decide.RequestID, retryAfter time.Duration) {
	x.settle(id, Refused, retryAfter)
}

// Fail implements decide.Front.
func (x *actions) Fail(id decide.RequestID) { x.settle(id, Failed, 0) }

// Release implements decide.Front.
func (x *actions) Release(id decide.RequestID) { x.choose(id, choice{do: release}) }

// SetTimer implements decide.Front.
func (x *actions) SetTimer(token uint64, at time.Duration) {
	c := (*Core)(x)
	time.AfterFunc(at-c.clock(), func() {
		c.tell(func(now time.Duration, r *decide.Router) { r.Timer(now, token) })
	})
}

// Probe implements decide.Front. A probe without an answer is not told.
func (x *actions) Probe(server string) {
	c, w := (*Core)(x), x.workers[server]
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), probeWait)
		defer stop()
		p, err := c.prober.Probe(ctx, w)
		if err != nil {
			c.log.Info("probe failed", "worker", server, "err", err)
			return
		}
		p.Server = server
		c.log.Debug("probed", "worker", server, "queue", p.Queue, "tokens", p.Tokens)
		c.tell(func(now time.Duration, r *decide.Router) { r.Probed(now, p) })
	}()
}

// AskServers implements decide.Front. The list is pushed: there is nobody to ask.
func (x *actions) AskServers(bool) {}

func statusName(s decide.Status) string {
	names := [...]string{"streaming", "served", "read", "full", "errored", "timed_out", "connect_failed",
		"reset", "cancelled", "moot"}
	if s < 0 || int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}
