package core

// This file runs one request, from its arrival until nothing is left to do for it; activeRequest.run is the loop to read
// first. It chooses neither a worker nor whether to try again: it carries out the commands of package decide.

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"rowanyard/decide"
	"rowanyard/internal/patience"
)

// Limits on the course of a request.
const (
	overdueGrace         = 15 * time.Millisecond     // past its deadline, until a request without an answer is failed
	defaultCancelGrace   = 250 * time.Millisecond    // for cancelled attempts to end, where no connect timeout is set
	queueCapacity        = 64                        // of a request's queues of commands and of attempt events
	heldCheckMinInterval = 50 * time.Millisecond     // between checks of a state that is held past its limit
	farFuture            = 1 << 62 * time.Nanosecond // for a timer that is not set
)

// activeRequest is a request from its arrival until nothing is left to do for it. Its own goroutine executes run.
type activeRequest struct {
	decide.Request
	core      *Core
	settings  *decide.Settings // in force when the request came
	client    context.Context  // ends when the client leaves
	transport Transport
	arrived   time.Time
	commands  chan command      // from the module, in order
	events    chan attemptEvent // first tokens and ends of the attempts
	streamEnd chan streamEnd    // how the answer's stream ended
	answer    chan Answer       // receives the one final answer
	idDone    func(mayHaveRun bool)

	// The fields below are used by run's goroutine only, except for the atomic ones and for verdict, retryAfter and reason,
	// which Core.mu guards: the module may settle the request from a timer while its first token arrives, and only one of
	// the two gives the final answer.
	verdict         Verdict // Pending until the final answer is fixed
	retryAfter      time.Duration
	answered        bool // the final answer was delivered
	attempts        []*attempt
	streamsBegun    atomic.Int32 // attempts whose streams have begun and were not taken as the answer
	inFlight        int          // attempts without a result
	streaming       bool         // the answer's stream has not ended
	streamAttempt   int          // number of the attempt that streams
	clientLeft      bool         // the client left while the answer streamed
	mayHoldState    bool         // a successful read left a state that a worker may still hold
	stateWaiting    bool         // ... and that no write has fetched
	stateWanted     atomic.Bool  // ... and that a write is to fetch
	unknownReads    []*lateRead  // reads of unknown outcome; the release of what they may leave has not begun
	reader          Worker       // where that state is, or may be
	heldSince       time.Time    // start of the current holding time of the waiting state
	releasedAtLimit bool         // the waiting state was released since heldSince, at the pin limit
	answerFixed     atomic.Bool  // answered, for the goroutines of attempts: nothing more may be sent
	reason          string       // the module's latest reason for a choice
}

// attempt is an attempt with the core's record of it.
type attempt struct {
	Attempt
	began    time.Time
	ending   attemptEnd // its owner; Attempt.end points to it
	inFlight bool

	guardChecked atomic.Bool // the sending guard was asked
	mayHaveRun   bool        // a write that may have taken effect, as far as its outcome shows
}

// streamEnd is how an answer's stream ended, and why it broke off if it did.
type streamEnd struct {
	status decide.Status
	why    error
}

// attemptEvent is the first token (status 0) or the end of an attempt.
type attemptEvent struct {
	attemptNumber int
	Result
}

// command is an instruction of the module for a request.
type command struct {
	kind          commandKind
	worker        string        // send
	timeout       time.Duration // send; 0 = until the client gives up
	attemptNumber int           // cancel
}

type commandKind int

const (
	send    commandKind = iota // start an attempt
	cancel                     // cancel an attempt
	settle                     // deliver the final answer, which verdict holds
	release                    // release a state whose write was not answered, although it may be in flight
)

// The causes with which the contexts of attempts end. ErrTimedOut is for transports to tell a worker that was too slow from an
// attempt that is not wanted any more.
var (
	ErrTimedOut  = errors.New("the attempt's time is up")
	errCancelled = errors.New("attempt cancelled")
)

// run executes the request until nothing is left to do. It reports the request, the first token and the end of each
// attempt, and the client's departure to the module, and carries out the commands that come back on req.commands. The
// module also sends commands from its own timers.
func (req *activeRequest) run() {
	defer req.core.running.End()
	defer req.recoverPanic()
	c := req.core

	c.dispatch(func(now time.Duration, r *decide.Router) {
		req.settings = c.Settings() // the same as those by which the module treats the request
		r.Request(now, req.Request)
	})
	overdueTimer := time.NewTimer(req.TimeLeft + overdueGrace)
	defer overdueTimer.Stop()
	heldTimer := time.NewTimer(farFuture)
	defer heldTimer.Stop()
	clientGone := req.client.Done()

	for !req.done() {
		// This comes before the select, which picks at random: a command that arrives at the moment the client leaves must
		// not start an attempt for it.
		if clientGone != nil && req.client.Err() != nil {
			clientGone = nil
			req.handleClientGone()
			req.releaseIfDue()
			continue
		}
		ready := req.inputs()
		select {
		case cmd := <-ready.commands:
			switch cmd.kind {
			case send:
				req.startAttempt(cmd)
			case cancel:
				req.doubtAttempt(cmd.attemptNumber)
			case settle:
				req.deliverAnswer()
			case release:
				req.releaseUnansweredWrite()
			}
		case e := <-ready.events:
			if e.Status == 0 {
				req.handleFirstToken(e)
			} else {
				req.handleAttemptEnd(e)
			}
		case end := <-ready.streamEnd:
			req.handleStreamEnd(end)
		case <-clientGone: // handled at the top of the loop
		case <-heldTimer.C: // handled below
		case <-overdueTimer.C:
			req.handleOverdue()
		}
		req.releaseIfDue()
		req.checkHeld()
		heldTimer.Reset(req.untilHeldCheck())
	}
}

// inputs are the channels from which a request's goroutine takes its next message.
type inputs struct {
	commands  <-chan command
	events    <-chan attemptEvent
	streamEnd <-chan streamEnd
}

// inputs returns all channels, or those that a test allows.
func (req *activeRequest) inputs() inputs {
	all := inputs{req.commands, req.events, req.streamEnd}
	if req.core.order != nil {
		return req.core.order(all)
	}
	return all
}

// untilHeldCheck returns the time until a state may have passed its limit.
func (req *activeRequest) untilHeldCheck() time.Duration {
	limit, wait := req.settings.PinLimit, farFuture
	if limit <= 0 {
		return wait
	}
	if req.stateWaiting && !req.releasedAtLimit && !req.Leased {
		wait = limit - req.heldFor()
		if !req.answered { // the module releases it at the limit; the guard checks that
			wait += pinLimitGrace
		}
	}
	if len(req.unknownReads) > 0 {
		wait = min(wait, limit-time.Since(req.unknownReads[0].endedAt))
	}
	return max(heldCheckMinInterval, wait)
}

// handleOverdue answers a request that has no answer past its deadline. Where this process was held up, the module's own timer may
// not have had its turn yet: what it does then is done now. If that leaves the request open, it fails, which leaves open whether it
// ran.
func (req *activeRequest) handleOverdue() {
	c := req.core
	c.dispatch(func(now time.Duration, r *decide.Router) { r.Timer(now, uint64(req.ID)) })
	if req.settleAs(Failed) {
		c.log.Error("overdue", "id", req.ID, "txn", req.Label, "class", req.Class)
		c.dispatch(func(now time.Duration, r *decide.Router) { r.ClientLeft(now, req.ID) })
	}
}

// handleClientGone settles the request once its client has left, or closes the stream that nobody reads any more.
func (req *activeRequest) handleClientGone() {
	if req.settleAs(ClientGone) {
		req.core.dispatch(func(now time.Duration, r *decide.Router) { r.ClientLeft(now, req.ID) })
	} else if req.streaming {
		// Without this the stream would go on, or hang, with nobody to read it.
		req.clientLeft = true
		req.attempts[req.streamAttempt].end.abandon()
	}
}

// done reports whether nothing is left to do for the request.
func (req *activeRequest) done() bool {
	return req.answered && req.inFlight == 0 && !req.streaming && !req.mayHoldState && len(req.unknownReads) == 0 && len(req.commands) == 0
}

// recoverPanic removes the request when run returns. If run panicked it first cancels the attempts and answers the client
// with a failure, unless it has its answer.
func (req *activeRequest) recoverPanic() {
	p := recover()
	if p != nil {
		req.core.log.Error("request panicked", "id", req.ID, "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
		req.abandonAttempts()
		if !req.answered {
			req.answer <- Answer{Verdict: Failed}
		}
	}
	req.core.mu.Lock()
	delete(req.core.requests, req.ID)
	req.core.mu.Unlock()
	req.idDone(slices.ContainsFunc(req.attempts, func(a *attempt) bool { return !a.Read && (a.inFlight || a.mayHaveRun) }))
}

// log logs the final answer.
func (req *activeRequest) log(v Verdict, worker string) {
	names := [...]string{"open", "streaming", "refused", "failed", "gone"}
	level := slog.LevelInfo
	if v == Streaming {
		level = slog.LevelDebug
	}
	req.core.log.Log(context.Background(), level, "answer", "verdict", names[v], "id", req.ID, "txn", req.Label, "class", req.Class,
		"why", req.latestReason(), "after_ms", time.Since(req.arrived).Milliseconds(), "left_ms", req.TimeLeft.Milliseconds(),
		"attempts", len(req.attempts), "prompt", req.PromptLength, "worker", worker)
}

// startAttempt starts the attempt that the module has chosen. One that a guard stops, or whose worker is not listed any
// more, ends at once as Unsent.
func (req *activeRequest) startAttempt(cmd command) {
	c := req.core
	w, _ := c.Worker(cmd.worker)
	remaining := req.TimeLeft - time.Since(req.arrived)
	if cmd.timeout > 0 {
		remaining = min(remaining, cmd.timeout)
	}
	n, now := len(req.attempts), time.Now()
	a := &attempt{Attempt: Attempt{Number: n, To: w, Deadline: now.Add(remaining), Read: req.isReader(w), CancelGrace: req.cancelGrace()}, began: now, inFlight: true}
	a.MaySend = func() bool { return req.checkSendAllowed(a) }
	ctx, stop := context.WithCancelCause(context.Background())
	a.end = &a.ending
	a.ending.stop, a.ending.streamsBegun = stop, &req.streamsBegun
	a.Verify = !a.Read && req.stateWaiting && req.settings.CanProbe
	repeatAllowed := req.checkRepeatAllowed(a.Read)
	req.attempts = append(req.attempts, a)
	req.inFlight++
	if w.ID == "" || !repeatAllowed || !a.MaySend() {
		req.events <- attemptEvent{n, Result{Status: decide.Unsent}}
		return
	}
	uptime := time.Duration(0) // of w as the module knows it, 0 = long
	if w.StartedAt > 0 {
		uptime = max(time.Millisecond, c.clock()-w.StartedAt)
	}
	c.log.Debug("send", "id", req.ID, "txn", req.Label, "n", n, "why", req.latestReason(), "worker", w.ID, "kind", w.Kind, "read", a.Read, "up_ms", uptime.Milliseconds())
	stopTimer := patience.AfterFunc(remaining, func() { a.end.doubt(ErrTimedOut) })
	go func() {
		defer func() {
			if p := recover(); p != nil {
				c.log.Error("attempt panicked", "id", req.ID, "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
				req.events <- attemptEvent{n, Result{Status: decide.Reset}}
			}
		}()
		res := a.end.result(ctx, req.transport.Try(ctx, a.Attempt))
		stopTimer()
		req.events <- attemptEvent{n, res}
	}()
}

// cancelGrace returns how long a cancelled attempt may take to be seen ending at its worker. Only requests that must not
// run twice wait for this: otherwise the next attempt, or the client's retry after a refusal, could overtake the close of
// the cancelled one, and two would be under way. A reachable worker shows the end within a round trip. An unreachable one
// shows nothing, but what was written reaches it within the connect timeout or never. At most half of the pin limit is
// used, so that the state held meanwhile can still be released in time.
func (req *activeRequest) cancelGrace() time.Duration {
	set := req.settings
	if !req.isUnsafe() {
		return 0
	}
	limit := cmp.Or(set.ConnectTimeout, defaultCancelGrace)
	if set.PinLimit > 0 {
		limit = min(limit, set.PinLimit/2)
	}
	return limit
}

// isReader reports whether w is a reader, so that an attempt there is the first of the two stages.
func (req *activeRequest) isReader(w Worker) bool {
	kinds := req.settings.Kinds
	return w.Kind >= 0 && w.Kind < len(kinds) && kinds[w.Kind].Role == decide.Reader
}

// doubtAttempt cancels an attempt that the module doubts, if it is in flight and its answer has not begun. Its end still comes as an
// event.
func (req *activeRequest) doubtAttempt(n int) {
	if n >= 0 && n < len(req.attempts) && req.attempts[n].inFlight {
		req.attempts[n].end.doubt(errCancelled)
	}
}

// handleFirstToken answers the client with the attempt's stream, if the request has no final answer yet. From then on the
// request has no deadline and no further attempts, and the others in flight are cancelled.
func (req *activeRequest) handleFirstToken(e attemptEvent) {
	a, c := req.attempts[e.attemptNumber], req.core
	req.checkGuardWasAsked(a, e.Status)
	a.mayHaveRun = true
	c.recordContact(a.To.ID, true)
	c.mu.Lock()
	won := a.end.takeStream() && req.fixVerdictLocked(Streaming, 0)
	if won {
		c.dispatchLocked(func(now time.Duration, r *decide.Router) {
			r.Started(now, decide.Started{ID: req.ID, Attempt: e.attemptNumber, Server: a.To.ID, Elapsed: time.Since(a.began)})
		})
	}
	c.mu.Unlock()
	if !won { // the token came after the final answer: nobody will read the stream
		req.handleAttemptEnd(attemptEvent{e.attemptNumber, Result{Status: decide.Cancelled, Stream: e.Stream}})
		return
	}
	req.answered, req.streaming, req.streamAttempt = true, true, e.attemptNumber
	req.answerFixed.Store(true)
	req.mayHoldState, req.stateWaiting = false, false // the first token frees the state
	req.stateWanted.Store(false)
	req.inFlight--
	a.inFlight = false
	var once sync.Once
	req.answer <- Answer{Verdict: Streaming, Stream: e.Stream, Worker: a.To, StreamEnded: func(s decide.Status, why error) {
		once.Do(func() { a.end.finish(); req.streamEnd <- streamEnd{s, why} })
	}}
	req.log(Streaming, a.To.ID)
	req.abandonAttempts()
}

// handleStreamEnd reports to the module how the answer's stream ended. A stream that broke is not resumed by a further
// attempt: the client's connection ends with it, as the client has had its one answer.
func (req *activeRequest) handleStreamEnd(end streamEnd) {
	req.streaming = false
	status := end.status
	if req.clientLeft && status != decide.Served {
		status = decide.Cancelled // not counted against the worker: the client left
	}
	a := req.attempts[req.streamAttempt]
	level, text := slog.LevelInfo, "stream broke off"
	if status == decide.Served {
		level, text = slog.LevelDebug, "stream ended"
	}
	if log := req.core.log; log.Enabled(context.Background(), level) {
		log.Log(context.Background(), level, text, "id", req.ID, "txn", req.Label, "worker", a.To.ID, "status", statusName(status),
			"took_ms", time.Since(a.began).Milliseconds(), "err", end.why)
	}
	req.reportOutcome(req.streamAttempt, Result{Status: status})
}

// handleAttemptEnd handles the end of an attempt that did not stream to the client: it notes what the attempt left at
// workers and reports the outcome to the module.
func (req *activeRequest) handleAttemptEnd(e attemptEvent) {
	a := req.attempts[e.attemptNumber]
	req.checkGuardWasAsked(a, e.Status)
	a.inFlight, a.mayHaveRun = false, !a.Read && mayHaveRun(e.Status)
	req.inFlight--
	a.end.finish()
	if e.Status != decide.Unsent {
		req.core.recordContact(a.To.ID, e.Status == decide.Read || e.Status == decide.Rejected || e.Status == decide.Errored)
	}
	switch {
	case e.Status == decide.Read:
		req.mayHoldState, req.stateWaiting, req.reader = true, true, a.To
		req.heldSince, req.releasedAtLimit = time.Now(), false
		req.stateWanted.Store(!req.answered)
		if predicted, ok := req.CachedTokens[a.To.ID]; ok && req.core.CacheReports != nil {
			req.core.CacheReports.RecordPrediction(a.To.ID, predicted, e.CachedTokens)
		}
	case e.NoState:
		req.stateWaiting = false
		req.stateWanted.Store(false)
	case e.Status == decide.Errored && !a.Read, e.Status == decide.Rejected && !a.Read:
		// The writer has answered, so the write had arrived: the holding time of the state starts anew.
		req.heldSince, req.releasedAtLimit = time.Now(), false
	case a.Read && (e.Status == decide.TimedOut || e.Status == decide.Cancelled || e.Status == decide.Reset ||
		e.Status == decide.Errored):
		// The read may have succeeded just as its connection closed, and have left a state at the reader.
		req.unknownReads = append(req.unknownReads, newLateRead(req, a))
	}
	level := slog.LevelInfo
	if e.Status == decide.Read {
		level = slog.LevelDebug
	}
	req.core.log.Log(context.Background(), level, "attempt", "id", req.ID, "txn", req.Label, "n", e.attemptNumber, "worker", a.To.ID, "status", statusName(e.Status),
		"took_ms", time.Since(a.began).Milliseconds(), "read", a.Read, "no_state", e.NoState, "kept", e.CachedTokens,
		"prompt", req.PromptLength, "held_ms", req.heldFor().Milliseconds(), "err", e.Err)
	req.reportOutcome(e.attemptNumber, e.Result)
}

// reportOutcome reports the end of an attempt to the module.
func (req *activeRequest) reportOutcome(n int, res Result) {
	a, c := req.attempts[n], req.core
	c.mu.Lock()
	defer c.mu.Unlock()
	o := decide.Outcome{ID: req.ID, Attempt: n, Server: a.To.ID, Status: res.Status, Elapsed: time.Since(a.began),
		Final: req.verdict != Pending, CachedTokens: res.CachedTokens, NoState: res.NoState}
	c.dispatchLocked(func(now time.Duration, r *decide.Router) { r.Outcome(now, o) })
}
