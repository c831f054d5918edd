package httpfront

// When discovery is called again: how long an answer may take before a further call is made, and how long to wait after a
// call that has failed.

import (
	"errors"
	"fmt"
	"math/bits"
	"math/rand/v2"
	"syscall"
	"time"

	"rowanyard/decide"
)

// Where lists are pushed, discovery is an agent on the router's own machine, whose calls cost nothing. What the agent has
// counts as told at once, so while it is silent it is called again well within the grace of a drain, less what a call
// and a delayed write take. Where lists are requested, all routers share discovery, and a change must be
// applied at most changeDeadline after discovery has it and can be reached, or moveDeadline after a SIGHUP named another
// address. So a call begins at the latest at that deadline, less answerAllowance for its answer, counted from discovery's last
// line or the beginning of the previous call. This limits the wait after an overload in either case.
const (
	changeDeadline           = 6 * time.Second
	moveDeadline             = 4 * time.Second
	answerAllowance          = 1500 * time.Millisecond
	maxAnswerWait            = 250 * time.Millisecond // for a pushed list, before a further call
	minRetryPause            = 50 * time.Millisecond  // after a call for a pushed list; maxAnswerWait at most
	minServedTime            = time.Second            // of a call that discovery had room for
	minPatience              = 400 * time.Millisecond // for an answer to a call that is made beside others
	maxPatienceDoublings     = 4
	minBackoff               = 200 * time.Millisecond  // a requested list that failed is requested again after up to this, doubled ...
	maxBackoff               = 2 * time.Second         // ... for each failure since the last call that lasted, up to this
	overloadBackoffPerRouter = 150 * time.Millisecond  // under overload all routers together make one call in this time, doubled likewise
	pushedWatchSilence       = 2300 * time.Millisecond // without a line, before a further call; discovery sends an empty line every 2 s
	requestedWatchSilence    = 3 * time.Second
	listTimeout              = time.Second             // for a list that has begun; the full list is sent at once
	firstLineTimeout         = 2500 * time.Millisecond // from the call until the first line, which may be an empty one
)

// callPace derives the times between calls from the settings.
type callPace struct {
	pushed      bool // lists are pushed
	routerCount int
}

func newCallPace(settings *decide.Settings) callPace {
	return callPace{pushed: !settings.PollServerList, routerCount: settings.RouterCount}
}

// answerWait returns how long a call may go without a sign of life before a further call is made beside it, with jitter.
// unheard is the number of calls since discovery was last heard.
func (p callPace) answerWait(version int64, unheard int) time.Duration {
	if p.pushed {
		return maxAnswerWait - rand.N(maxAnswerWait/5)
	}
	timeout := firstLineTimeout
	if version == unknownVersion {
		timeout = listTimeout
	}
	return min(timeout+randomBackoff(unheard), deadlineFor(version)-answerAllowance)
}

// patience returns how long the nth call since discovery was last heard, counted from 0, may wait for an answer if further calls
// are made beside it. Every second call waits twice as long as the others, every fourth four times as long, and so on up to
// changeDeadline: however late discovery answers, a call that waits for long enough has begun shortly before, and few
// are open at once.
func (p callPace) patience(n int) time.Duration {
	if n == 0 {
		return firstLineTimeout
	}
	shortest := minPatience
	if !p.pushed {
		shortest = firstLineTimeout
	}
	doublings := min(bits.TrailingZeros(uint(n)), maxPatienceDoublings)
	return min(shortest<<doublings, changeDeadline)
}

// lineWait is answerWait for a call that has been answered: for the next line of its watch.
func (p callPace) lineWait() time.Duration {
	if p.pushed {
		return pushedWatchSilence
	}
	return requestedWatchSilence
}

// pauseAfter returns how long to wait after call failed with err.
func (p callPace) pauseAfter(call callEnd, err error) time.Duration {
	if p.pushed && (!isOverload(err) || call.hadRoom(err)) {
		return max(p.answerWait(call.version, call.failures)-call.age, minRetryPause+rand.N(maxAnswerWait-minRetryPause))
	}
	interval := max(minBackoff, overloadBackoffPerRouter*time.Duration(p.routerCount)) // all routers share discovery
	return backoff(err, call.failures, interval, deadlineFor(call.version)-answerAllowance-call.silence)
}

// callEnd describes a call to discovery that has ended.
type callEnd struct {
	version  int64 // of the list that the core has
	failures int   // calls that had failed before, since one lasted
	age      time.Duration
	silence  time.Duration // since discovery's last line, or since the call began
	answered bool
	silent   bool // discoveryCall.silent
}

// hadRoom reports whether err does not mean that discovery has no room for the call: it was served for a while or, as a machine
// that returns resets what has waited for it, it was reset after a silence.
func (c callEnd) hadRoom(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) && (c.silent || c.answered && c.age >= minServedTime)
}

// deadlineFor returns how soon a change must be applied if the core has the given version of the list.
func deadlineFor(version int64) time.Duration {
	if version == unknownVersion {
		return moveDeadline
	}
	return changeDeadline
}

// statusError is an answer of discovery other than 200 with its Retry-After, 0 if there was none.
type statusError struct {
	status     int
	retryAfter time.Duration
}

func (e statusError) Error() string { return fmt.Sprintf("status %d", e.status) }

// isOverload reports whether err may show that discovery has no room for the call. Silence shows no overload.
func isOverload(err error) bool {
	var statusErr statusError
	return errors.As(err, &statusErr) || errors.Is(err, syscall.ECONNRESET)
}

// backoff returns how long to wait, with jitter, after a call that failed with err and so many failures before it.
// interval is the time in which each router may call once, maxWait the longest wait. Routers that all retry at once
// would keep an overloaded discovery from recovering, so its load must fall with each failure. maxWait keeps the wait
// short enough to apply a drain within the deadline for changes.
func backoff(err error, failures int, interval, maxWait time.Duration) time.Duration {
	var statusErr statusError
	var wait time.Duration
	switch {
	case errors.As(err, &statusErr) && statusErr.retryAfter > 0:
		wait = statusErr.retryAfter + rand.N(interval)
	case isOverload(err):
		interval <<= min(failures, 10)
		wait = interval/2 + rand.N(interval)
	default:
		wait = randomBackoff(failures)
	}
	if maxWait = max(maxWait, minBackoff); wait > maxWait {
		wait = maxWait/2 + rand.N(maxWait/2)
	}
	return wait
}

// randomBackoff returns a wait that doubles with each failure, up to maxBackoff.
func randomBackoff(failures int) time.Duration {
	base := min(minBackoff<<min(failures, 10), maxBackoff)
	return base/2 + rand.N(base/2)
}
