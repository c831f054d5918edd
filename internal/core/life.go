package core

// This file owns the life of one request, from its arrival until nothing is left to do for it: live reads from top to
// bottom. It must never choose a worker, nor whether to try again: each choice comes from package decide.

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"rowanyard/decide"
)

// Limits of a request's life, none of them a decision on where it goes.
const (
	overdue    = 15 * time.Millisecond  // what the module has left unanswered for so long is failed
	settleMost = 250 * time.Millisecond // for an attempt's end to be seen, where no connect timeout is set
	maxChoices = 64                     // of a request not yet carried out
	guardLook  = 50 * time.Millisecond  // what is held past its limit is looked at so often
	never      = 1 << 62 * time.Nanosecond
)

// life is one request from its arrival until nothing is left to do for it.
type life struct {
	decide.Request
	core      *Core
	settings  *decide.Settings // in force when the request came
	client    context.Context  // ends when the client has gone
	via       Carrier
	arrived   time.Time
	choices   chan choice        // what the module chose, in order
	events    chan event         // what became of the attempts
	streamEnd chan decide.Status // how the answer's stream ended
	answer    chan Answer        // takes the one final answer

	// Owned by live, but for verdict and retryAfter, which the core's lock guards: the module may
	// settle the request from a timer while its first token arrives, and only one of them wins.
	verdict      Verdict
	retryAfter   time.Duration
	answered     bool
	attempts     []*attempt
	out          int  // attempts without a result
	streaming    bool // the answer's stream has not ended
	stream       int  // the attempt that streams
	left         bool // its client went while it streamed
	held         bool // a state may be held for it at a worker
	unknown      bool // a read ended without telling whether it left a state
	waiting      bool // a read state waits and the module knows it
	reader       Worker
	reads        atomic.Int32 // that left a state
	unknownSince time.Time    // a read of unknown fate ended then
	heldSince    time.Time    // the state that waits has been held since then
	letGoOnce    bool         // and was let go at the limit
	closed       atomic.Bool  // the final answer is fixed
	why          string       // the module's latest reason; the core's lock guards it
}

type attempt struct {
	Attempt
	began  time.Time
	cancel context.CancelCauseFunc
	out    bool

	checked    atomic.Bool // the guard of sending was asked
	verified   atomic.Bool // its connection was alive right before
	mayHaveRun bool        // it ended so that it may have had its effect
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
	defer l.core.running.End()
	defer l.guard()
	c := l.core

	c.tell(func(now time.Duration, r *decide.Router) {
		l.settings = c.Settings() // the module takes the request's class of the same
		r.Request(now, l.Request)
	})
	late := time.NewTimer(l.TimeLeft + overdue)
	defer late.Stop()
	held := time.NewTimer(never)
	defer held.Stop()
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
			case release:
				l.releaseBeforeArrival()
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
		case <-held.C: // seen to below
		case <-late.C:
			// Guards against a module that leaves a request unanswered: one final answer is owed,
			// and failing promises nothing.
			if l.settleAs(Failed) {
				c.log.Error("overdue", "id", l.ID, "txn", l.Label, "class", l.Class)
				c.tell(func(now time.Duration, r *decide.Router) { r.Left(now, l.ID) })
			}
		}
		l.letGo()
		l.checkHeld()
		switch limit := l.settings.PinLimit; {
		case limit <= 0:
		case l.waiting && !l.letGoOnce:
			held.Reset(max(guardLook, limit+pinSlack-l.heldFor()))
		case l.unknown && !l.waiting:
			held.Reset(max(guardLook, limit-time.Since(l.unknownSince)))
		}
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
	l.closed.Store(true)
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
	l.core.log.Log(context.Background(), level, "answer", "verdict", names[v], "id", l.ID, "txn", l.Label, "class", l.Class,
		"why", l.reason(), "after_ms", time.Since(l.arrived).Milliseconds(), "left_ms", l.TimeLeft.Milliseconds(),
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
	n, now := len(l.attempts), time.Now()
	a := &attempt{Attempt: Attempt{Number: n, To: w, Deadline: now.Add(wait), Read: l.isRead(w), Settle: l.settle()}, began: now, out: true}
	a.Allowed = func() bool { return l.allowed(a) }
	a.Verify = !a.Read && l.waiting && l.settings.CanProbe
	a.Verified = func() {
		a.verified.Store(true)
		c.tell(func(now time.Duration, r *decide.Router) { r.Verified(now, l.ID, n) })
	}
	may := l.mayRepeat(a.Read)
	l.attempts = append(l.attempts, a)
	l.out++
	if w.ID == "" || !may || !a.Allowed() {
		a.cancel = func(error) {}
		l.events <- event{n, Result{Status: decide.Moot}}
		return
	}
	up := time.Duration(0) // what the module was told of how long w runs, 0 = long
	if w.Since > 0 {
		up = max(time.Millisecond, c.clock()-w.Since)
	}
	c.log.Debug("send", "id", l.ID, "txn", l.Label, "n", n, "why", l.reason(), "worker", w.ID, "kind", w.Kind, "read", a.Read, "up_ms", up.Milliseconds())
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
	set := l.settings
	if !l.isUnsafe() {
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
	kinds := l.settings.Kinds
	return w.Kind >= 0 && w.Kind < len(kinds) && kinds[w.Kind].Role == decide.Reader
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
	l.checkSent(a, e.Status)
	a.mayHaveRun = true
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
	l.closed.Store(true)
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
		l.core.log.Info("stream broke off", "id", l.ID, "txn", l.Label, "worker", l.attempts[l.stream].To.ID, "status", statusName(status))
	}
	l.outcome(l.stream, Result{Status: status})
}

// ended takes the end of an attempt that did not stream to the client.
func (l *life) ended(e event) {
	a := l.attempts[e.n]
	l.checkSent(a, e.Status)
	a.out, a.mayHaveRun = false, !a.Read && mayHaveRun(e.Status)
	l.out--
	a.cancel(errCancelled) // frees its context
	if e.Status != decide.Moot {
		l.core.hears(a.To.ID, e.Status == decide.Read || e.Status == decide.Full || e.Status == decide.Errored)
	}
	switch {
	case e.Status == decide.Read:
		l.held, l.waiting, l.reader = true, true, a.To
		l.heldSince, l.letGoOnce = time.Now(), false
		l.reads.Add(1)
		if said, ok := l.Kept[a.To.ID]; ok && l.core.Texts != nil {
			l.core.Texts.Found(a.To.ID, said, e.Kept)
		}
	case e.NoState:
		l.waiting = false
	case !a.Read && (a.verified.Load() || e.Status == decide.Errored || e.Status == decide.Full):
		// It had arrived: the time begins anew.
		l.heldSince, l.letGoOnce = time.Now(), false
	case a.Read && (e.Status == decide.TimedOut || e.Status == decide.Cancelled || e.Status == decide.Reset ||
		e.Status == decide.Errored):
		// It may have ended well just as its connection closed: a state may wait there all the same.
		l.held, l.unknown, l.reader = true, true, a.To
		l.unknownSince = time.Now()
	}
	level := slog.LevelInfo
	if e.Status == decide.Read {
		level = slog.LevelDebug
	}
	l.core.log.Log(context.Background(), level, "attempt", "id", l.ID, "txn", l.Label, "n", e.n, "worker", a.To.ID, "status", statusName(e.Status),
		"took_ms", time.Since(a.began).Milliseconds(), "read", a.Read, "no_state", e.NoState, "kept", e.Kept,
		"prompt", l.Prompt, "held_ms", l.heldFor().Milliseconds(), "err", e.Err)
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
