package decide

import "time"

// Handling of a state that a reader holds for a request while its write is in flight.
//
// A write that was sent may not have arrived: connections can go silent without an error. The state must
// still be taken or released within the pin limit, which runs until an attempt is known to have arrived. Only
// a response of the server to that attempt, its first token or its end, proves that. An answer to a probe
// proves that the machine is reachable, not that the connection is.

// scheduleWriteCheck schedules checkWrite for the attempt being sent if that is a write of a held state.
func (r *Router) scheduleWriteCheck(p *request, read bool) {
	p.writeCheckAt, p.writeProbed = 0, false
	if read || p.holder == nil || p.Leased || !r.cfg.CanProbe {
		return
	}
	p.writeCheckAt = r.now + writeCheckDelay
	r.exec.SetTimer(uint64(p.ID), p.writeCheckAt)
}

// pendingWrite returns the write in flight for p's held state if its answer has not begun, else nil.
func (p *request) pendingWrite() *attempt {
	if p.holder == nil || len(p.attempts) == 0 {
		return nil
	}
	a := &p.attempts[len(p.attempts)-1]
	if a.read || !a.inFlight || a.streaming {
		return nil
	}
	return a
}

// reachable reports whether the server has responded to anything some time after the attempt was sent. An
// earlier response proves little, because the silence may have begun between it and the write.
func (a *attempt) reachable() bool { return a.server.heardAt >= a.sentAt+writeCheckDelay/2 }

// checkWrite probes the server of a write that takes long and treats it as silent if the probe is not
// answered. A repeatable request then goes to another writer while its state can still be taken; any other
// waits, but the server gets no more requests. This keeps states within the pin limit without giving them up.
// A healthy server that is slow to answer probes may be taken for silent. Reads are not checked: they may
// take long on a healthy server, and a probe's answer would also change the load estimates.
func (r *Router) checkWrite(p *request) {
	if p.writeCheckAt == 0 || r.now < p.writeCheckAt {
		return
	}
	p.writeCheckAt = 0
	a := p.pendingWrite()
	if a == nil || a.server.heardAt >= a.sentAt {
		return
	}
	if !p.writeProbed {
		p.writeProbed = true
		if a.server.probedAt < a.sentAt { // else a probe is already in flight
			a.server.probedAt = r.now
			r.exec.Probe(a.server.ID)
		}
		p.writeCheckAt = r.now + writeCheckTimeout
		r.exec.SetTimer(uint64(p.ID), p.writeCheckAt)
		return
	}
	if p.class.Effect == Unsafe || !r.cfg.CanCancel {
		r.recordFailure(a.server, minFailures)
		r.recordUnreachable(a.server, a.sentAt, partialMiss)
		return
	}
	r.explain(p, SilentServer)
	r.exec.Cancel(p.ID, len(p.attempts)-1)
}

// setHolder records which reader holds a state for p, nil for none, and starts the pin limit.
func (r *Router) setHolder(p *request, holder *server) {
	p.holder, p.heldAt, p.released, p.releaseAt = holder, r.now, false, 0
	if holder == nil || r.cfg.PinLimit <= 0 || p.Leased {
		return
	}
	p.releaseAt = p.heldAt + r.cfg.PinLimit
	r.exec.SetTimer(uint64(p.ID), p.releaseAt)
}

// ConnectionVerified reports that the connection of a write was alive right before its first byte, or that
// probes of its server use the same connection.
func (r *Router) ConnectionVerified(now time.Duration, id RequestID, attempt int) {
	r.now = now
	if p := r.requests[id]; p != nil && attempt >= 0 && attempt < len(p.attempts) {
		p.attempts[attempt].verified = true
	}
}

// checkHeldState releases a state once the pin limit has passed without a sign that its write has arrived. A
// write that has arrived keeps the state, because a release frees only what no attempt waits for. A write
// that arrives later finds no state and is rejected, so that nothing runs twice. If the server has responded
// to anything since the write was sent, the write is probably in its queue: the state is kept if the write's
// own connection was alive right before, else for as long as PinSlack allows.
func (r *Router) checkHeldState(p *request) {
	if p.releaseAt == 0 || r.now < p.releaseAt {
		return
	}
	p.releaseAt = 0
	a := p.pendingWrite()
	if a == nil {
		return
	}
	reachable := a.reachable()
	if reachable && a.verified {
		return // the write is queued there
	}
	if latest := p.heldAt + r.cfg.PinLimit + r.cfg.PinSlack; reachable && r.now < latest {
		p.releaseAt = latest
		r.exec.SetTimer(uint64(p.ID), latest)
		return
	}
	p.released = true
	r.exec.Release(p.ID)
}

// updateHeldState decides what the end of an attempt means for the held state. The pin limit starts anew only
// if the end shows that the attempt had arrived; an attempt that never connected, or was cancelled without a
// sign of life, has not fetched the state. The reachable argument is whether the server has responded to
// anything since the attempt was sent, not counting this end.
func (r *Router) updateHeldState(p *request, a *attempt, o Outcome, reachable bool) {
	arrivalUnknown := o.Status == TimedOut || o.Status == Cancelled || o.Status == Reset
	stateLost := p.released || arrivalUnknown && r.cfg.PinLimit > 0 &&
		r.now >= p.heldAt+r.cfg.PinLimit
	switch {
	case o.Status == Read:
		r.setHolder(p, a.server)
	case p.holder == nil:
	case o.NoState:
		r.setHolder(p, nil)
	case o.Status == Errored, o.Status == Rejected && !p.released:
		r.setHolder(p, p.holder)
	case !stateLost:
	case arrivalUnknown && reachable: // the write had probably arrived
		r.setHolder(p, p.holder)
	default:
		r.setHolder(p, nil)
	}
}
