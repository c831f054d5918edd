package core

// This file owns the guards of the core: what must hold whatever the module has chosen, checked where the step is taken. It
// must never choose anything itself.

import (
	"time"

	"rowanyard/decide"
	"rowanyard/internal/invariant"
)

// pinSlack is what the network may take beyond the pin limit before a state that is still held is a violation.
const pinSlack = 300 * time.Millisecond

// maySend is the guard of sending: it is asked right before an attempt's first byte. It says why the attempt is due no more,
// "" = it is due.
func (l *life) maySend(a *attempt) string {
	switch {
	case l.client.Err() != nil:
		return "client gone"
	case !l.core.Wanted(a.To.ID):
		return "worker takes nothing new"
	case a.Remaining() <= 0:
		return "time is up"
	case l.closed.Load():
		return "answered"
	}
	return ""
}

// allowed is the attempt's Allowed: maySend, counted, and noted as asked.
func (l *life) allowed(a *attempt) bool {
	a.checked.Store(true)
	why := l.maySend(a)
	if why != "" {
		l.core.Guard.Stopped(invariant.Sending, why, "id", l.ID, "txn", l.Label, "n", a.Number, "worker", a.To.ID)
	}
	return why == ""
}

// checkSent notes an attempt that has reached its worker although its carrier did not ask the guard.
func (l *life) checkSent(a *attempt, status decide.Status) {
	if a.checked.Load() || status == decide.Moot || status == decide.ConnectFailed {
		return
	}
	l.core.Guard.Violated(invariant.Sending, "not checked", "id", l.ID, "txn", l.Label, "n", a.Number, "worker", a.To.ID)
}

// mayRepeat is the guard of repeating: it is asked before each attempt is begun. A write of a class that must not run twice
// needs proof that none before it has run, and a further attempt must be within the settings' number.
func (l *life) mayRepeat(read bool) bool {
	why := ""
	if most := l.settings.MaxAttempts; most > 0 && len(l.attempts) >= most {
		why = "too many attempts"
	}
	if !read && l.isUnsafe() {
		for _, before := range l.attempts {
			if !before.Read && (before.out || before.mayHaveRun) {
				why = "may have run"
			}
		}
	}
	if why != "" {
		l.core.Guard.Violated(invariant.Repeating, why, "id", l.ID, "txn", l.Label, "n", len(l.attempts))
	}
	return why == ""
}

func (l *life) isUnsafe() bool {
	classes := l.settings.Classes
	return l.Class >= 0 && l.Class < len(classes) && classes[l.Class].Effect == decide.Unsafe
}

// mayHaveRun says whether a write that ended so may have had its effect.
func mayHaveRun(status decide.Status) bool {
	switch status {
	case decide.Full, decide.ConnectFailed, decide.Moot, decide.Read:
		return false
	}
	return true
}

// heldFor is how long the state that waits has been held with no attempt that is known to have arrived, 0 where none waits.
func (l *life) heldFor() time.Duration {
	if l.heldSince.IsZero() {
		return 0
	}
	return time.Since(l.heldSince)
}

// hasVerifiedWrite says whether a write is out on a connection that was alive right before: it waits at its worker.
func (l *life) hasVerifiedWrite() bool {
	if len(l.attempts) == 0 {
		return false
	}
	last := l.attempts[len(l.attempts)-1]
	return !last.Read && last.out && last.verified.Load()
}

// checkHeld is the guard of closing for what workers hold: it lets go of a state for which the limit has passed, whatever the
// module thinks, and counts it. A state that its carrier keeps by leases is the carrier's.
func (l *life) checkHeld() {
	limit := l.settings.PinLimit
	if limit <= 0 || l.Leased || !l.waiting || l.letGoOnce || l.heldFor() < limit+pinSlack || l.hasVerifiedWrite() {
		return
	}
	l.letGoOnce = true
	l.core.Guard.Violated(invariant.Closing, "state held", "id", l.ID, "txn", l.Label, "held_ms", l.heldFor().Milliseconds())
	l.startRelease("guard", l.reader, false)
}
