package decide

// Handling of a state that a reader holds for a request while its write is in flight.
//
// A write that was sent may not have arrived: connections can go silent without an error, and a server can
// answer probes and take no writes. The state must still be taken or released within the pin limit, which
// runs until an attempt is known to have arrived. Only an answer to that attempt proves that: its first
// token, an error or a rejection. No answer to a probe does, on whichever connection, nor the end of a
// connection.

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

// checkHeldState releases a state once the pin limit has passed without an answer to its write. A write that
// has arrived keeps the state, because a release frees only what no attempt waits for. A write that arrives
// later finds no state and is rejected, so that nothing runs twice. If the server has responded to anything
// since the write was sent, the write is probably in its queue, and the state is kept for as long as PinSlack
// allows.
func (r *Router) checkHeldState(p *request) {
	if p.releaseAt == 0 || r.now < p.releaseAt {
		return
	}
	p.releaseAt = 0
	a := p.pendingWrite()
	if a == nil {
		return
	}
	if latest := p.heldAt + r.cfg.PinLimit + r.cfg.PinSlack; a.reachable() && r.now < latest {
		p.releaseAt = latest
		r.exec.SetTimer(uint64(p.ID), latest)
		return
	}
	p.released = true
	r.exec.Release(p.ID)
}

// updateHeldState decides what the end of an attempt means for the held state. The pin limit starts anew with
// an answer to the attempt. An attempt that ended without one may not have arrived, and then it has neither
// fetched the state nor stopped the limit: a state past the limit that was not released is released now, and
// the prompt is read again. If it was released, and the server has responded to anything since the attempt
// was sent, the write had probably arrived, and the release has left its state. The reachable argument is
// whether there was such a response, not counting this end.
func (r *Router) updateHeldState(p *request, a *attempt, o Outcome, reachable bool) {
	arrivalUnknown := o.Status == TimedOut || o.Status == Cancelled || o.Status == Reset
	pastLimit := arrivalUnknown && r.cfg.PinLimit > 0 && r.now >= p.heldAt+r.cfg.PinLimit
	switch {
	case o.Status == Read:
		r.setHolder(p, a.server)
	case p.holder == nil:
	case o.NoState:
		r.setHolder(p, nil)
	case o.Status == Errored, o.Status == Rejected && !p.released:
		r.setHolder(p, p.holder)
	case !p.released && pastLimit:
		r.exec.Release(p.ID)
		r.setHolder(p, nil)
	case !p.released:
	case arrivalUnknown && reachable:
		r.setHolder(p, p.holder)
	default:
		r.setHolder(p, nil)
	}
}
