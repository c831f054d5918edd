package core

// This file holds the guards of a request: invariants that must hold whatever the module has chosen, checked right where
// a step is taken. A guard stops a step or counts a violation; it chooses nothing.

import (
	"time"

	"rowanyard/decide"
	"rowanyard/internal/invariant"
)

// pinLimitGrace is how far past the pin limit, for delays of the network, a state may stay held before that is a violation.
const pinLimitGrace = 300 * time.Millisecond

// sendBlockedBy is the rule of the sending guard. It returns why the first byte of an attempt must not be sent, or "" if it
// may be.
func (req *activeRequest) sendBlockedBy(a *attempt) string {
	switch {
	case req.client.Err() != nil:
		return "client gone"
	case !req.core.AcceptsWork(a.To.ID):
		return "worker takes nothing new" // it drains or is gone
	case a.Remaining() <= 0:
		return "time is up"
	case req.answerFixed.Load():
		return "answered"
	}
	return ""
}

// checkSendAllowed implements Attempt.MaySend: it is the sending guard, counts what it stops, and notes that it was asked.
func (req *activeRequest) checkSendAllowed(a *attempt) bool {
	a.guardChecked.Store(true)
	why := req.sendBlockedBy(a)
	if why != "" {
		req.core.Guard.Stopped(invariant.Sending, why, "id", req.ID, "txn", req.Label, "n", a.Number, "worker", a.To.ID)
	}
	return why == ""
}

// checkGuardWasAsked counts a violation if an attempt may have reached its worker although its transport never asked
// MaySend.
func (req *activeRequest) checkGuardWasAsked(a *attempt, status decide.Status) {
	if a.guardChecked.Load() || status == decide.Unsent || status == decide.ConnectFailed {
		return
	}
	req.core.Guard.Violated(invariant.Sending, "not checked", "id", req.ID, "txn", req.Label, "n", a.Number, "worker", a.To.ID)
}

// checkRepeatAllowed is the repeating guard, asked before each attempt starts. The number of attempts must stay within the
// settings, and a write of a class that must not run twice needs proof that no earlier write has run.
func (req *activeRequest) checkRepeatAllowed(read bool) bool {
	why := ""
	if maxAttempts := req.settings.MaxAttempts; maxAttempts > 0 && len(req.attempts) >= maxAttempts {
		why = "too many attempts"
	}
	if !read && req.isUnsafe() {
		for _, earlier := range req.attempts {
			if !earlier.Read && (earlier.inFlight || earlier.mayHaveRun) {
				why = "may have run"
			}
		}
	}
	if why != "" {
		req.core.Guard.Violated(invariant.Repeating, why, "id", req.ID, "txn", req.Label, "n", len(req.attempts))
	}
	return why == ""
}

// isUnsafe reports whether the request must not run twice.
func (req *activeRequest) isUnsafe() bool { return isUnsafe(req.settings, req.Class) }

// isUnsafe reports whether requests of a class must not run twice.
func isUnsafe(settings *decide.Settings, class int) bool {
	classes := settings.Classes
	return class >= 0 && class < len(classes) && classes[class].Effect == decide.Unsafe
}

// mayHaveRun reports whether a write that ended with status may have taken effect.
func mayHaveRun(status decide.Status) bool {
	switch status {
	case decide.Rejected, decide.ConnectFailed, decide.Unsent, decide.Read:
		return false
	}
	return true
}

// heldFor returns how long the state has been held since its read, or since the latest answer to a write; 0 if there was
// neither.
func (req *activeRequest) heldFor() time.Duration {
	if req.heldSince.IsZero() {
		return 0
	}
	return time.Since(req.heldSince)
}

// checkHeld is the closing guard for states held at workers: it releases a state that is held past the limit, whether or not
// the module has a record of it, and counts a violation. States under a lease are left to the transport, which releases them.
func (req *activeRequest) checkHeld() {
	limit := req.settings.PinLimit
	if limit <= 0 || req.Leased || !req.stateWaiting || req.releasedAtLimit || req.heldFor() < limit+pinLimitGrace {
		return
	}
	// Where this process was held up, the module's own timer may not have had its turn yet: what it does then is done now.
	req.core.dispatch(func(now time.Duration, r *decide.Router) { r.Timer(now, uint64(req.ID)) })
	if len(req.commands) > 0 {
		return // looked at again behind them
	}
	req.releasedAtLimit = true
	req.core.Guard.Violated(invariant.Closing, "state held", "id", req.ID, "txn", req.Label, "held_ms", req.heldFor().Milliseconds())
	req.startRelease("guard", req.reader)
}
