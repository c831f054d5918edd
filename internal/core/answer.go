package core

// This file fixes the final answer of a request, which has one owner: fixVerdictLocked. The module, the request's own clock, the
// client's leave and a stream that begins all ask it.

import "time"

// fixVerdictLocked fixes the verdict of the final answer, and reports whether it did: the first one stays. A stream that has begun
// is worth more than a failure or a refusal, unless the process ends: its event is under way to the request's goroutine, which
// takes it. The caller holds Core.mu.
func (req *activeRequest) fixVerdictLocked(v Verdict, retryAfter time.Duration) bool {
	if req.verdict != Pending {
		return false
	}
	if (v == Failed || v == Refused) && req.streamsBegun.Load() > 0 && !req.core.stopping {
		return false
	}
	req.verdict, req.retryAfter = v, retryAfter
	return true
}

// settleAs fixes v as the verdict of the final answer and delivers it, if that is possible. It reports whether it did.
func (req *activeRequest) settleAs(v Verdict) bool {
	req.core.mu.Lock()
	won := req.fixVerdictLocked(v, 0)
	req.core.mu.Unlock()
	if won {
		req.deliverAnswer()
	}
	return won
}

// deliverAnswer delivers the final answer that verdict holds, without waiting for the attempts in flight, and abandons them,
// as nobody will read what they return.
func (req *activeRequest) deliverAnswer() {
	if req.answered {
		return
	}
	req.core.mu.Lock()
	a := Answer{Verdict: req.verdict, RetryAfter: req.retryAfter}
	req.core.mu.Unlock()
	req.answered = true
	req.answerFixed.Store(true)
	req.stateWanted.Store(false)
	req.answer <- a
	req.log(a.Verdict, "")
	req.abandonAttempts()
}

// abandonAttempts abandons all attempts in flight.
func (req *activeRequest) abandonAttempts() {
	for _, a := range req.attempts {
		if a.inFlight {
			a.end.abandon()
		}
	}
}
