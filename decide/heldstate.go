package decide

import "time"

// Decisions on a state that a reader holds for a request while its write is under way.
//
// That a write was sent says nothing of whether it has arrived: a connection may have fallen silent with
// no error. What is held must be taken or let go within the pin limit all the same, and that time runs
// until an attempt is known to have arrived. Known is only what the attempt's own server has answered to
// it: its first token, or its end. An answer to a probe shows that the machine is in reach, not that the
// connection is.

// watchSign sets when the attempt that is sent now is looked at.
func (r *Router) watchSign(p *request, read bool) {
	p.signAt, p.asked = 0, false
	if read || p.holder == nil || p.Leased || !r.set.CanProbe {
		return
	}
	p.signAt = r.now + confirmWait
	r.out.SetTimer(uint64(p.ID), p.signAt)
}

// openWrite is the write that is out for a state and has had no token, nil where there is none.
func (p *request) openWrite() *attempt {
	if p.holder == nil || len(p.sent) == 0 {
		return nil
	}
	a := &p.sent[len(p.sent)-1]
	if a.read || !a.out || a.begun {
		return nil
	}
	return a
}

// inReach says that the server has answered to anything for some time after the attempt was sent: a
// silence may have begun between an earlier answer and the write.
func (a *attempt) inReach() bool { return a.server.heard >= a.at+confirmWait/2 }

// checkSign looks at a write that takes long: its server is probed, and taken for silent where it does
// not answer. Then a request that may be repeated goes to another writer, while its state may still be
// taken; one that may not waits, but others are not sent there. Guards the pin limit without giving
// states up; it could hurt where a server is well but slow to answer probes. Reads are not looked at
// so: they take long where all is well, and each probe tells of loads (measured: simulator 0.64).
func (r *Router) checkSign(p *request) {
	if p.signAt == 0 || r.now < p.signAt {
		return
	}
	p.signAt = 0
	a := p.openWrite()
	if a == nil || a.server.heard >= a.at {
		return
	}
	if !p.asked {
		p.asked = true
		if a.server.probedAt < a.at { // else a probe is out
			a.server.probedAt = r.now
			r.out.Probe(a.server.ID)
		}
		p.signAt = r.now + confirmMute
		r.out.SetTimer(uint64(p.ID), p.signAt)
		return
	}
	if p.class.Effect == Unsafe || !r.set.CanCancel {
		r.ill(a.server, badLeast)
		r.miss(a.server, a.at, missRefused)
		return
	}
	r.explain(p, SilentServer)
	r.out.Cancel(p.ID, len(p.sent)-1)
}

// hasState notes that a state is held for p, or that none is.
func (r *Router) hasState(p *request, holder *server) {
	p.holder, p.heldAt, p.released, p.letGoAt = holder, r.now, false, 0
	if holder == nil || r.set.PinLimit <= 0 || p.Leased {
		return
	}
	p.letGoAt = p.heldAt + r.set.PinLimit
	r.out.SetTimer(uint64(p.ID), p.letGoAt)
}

// Verified takes the news that the connection of a write was alive right before its first byte, or that
// probes of its server use the same one.
func (r *Router) Verified(now time.Duration, id RequestID, attempt int) {
	r.now = now
	if p := r.open[id]; p != nil && attempt >= 0 && attempt < len(p.sent) {
		p.sent[attempt].verified = true
	}
}

// checkHeld lets go of a state for which the pin limit has passed without a sign that its write has
// arrived. A write that has arrived keeps it: a release lets go only of what no attempt waits for. One
// that arrives later finds no state and is turned away, so that nothing runs twice. Where the server has
// answered to anything since, the write is likely to wait in its queue: the state stays where the write's
// own connection was alive right before, else for as long as the network's terms allow.
func (r *Router) checkHeld(p *request) {
	if p.letGoAt == 0 || r.now < p.letGoAt {
		return
	}
	p.letGoAt = 0
	a := p.openWrite()
	if a == nil {
		return
	}
	inReach := a.inReach()
	if inReach && a.verified {
		return // it waits there
	}
	if last := p.heldAt + r.set.PinLimit + r.set.PinSlack; inReach && r.now < last {
		p.letGoAt = last
		r.out.SetTimer(uint64(p.ID), last)
		return
	}
	p.released = true
	r.out.Release(p.ID)
}

// settleState says what an attempt's end leaves of the state. Only an end that shows that the attempt has
// arrived starts the time anew: what never came up, or was called off without a sign, took nothing.
// inReach says that the server has answered to anything since the attempt was sent, but for this end.
func (r *Router) settleState(p *request, a *attempt, o Outcome, inReach bool) {
	unknown := o.Status == TimedOut || o.Status == Cancelled || o.Status == Reset // whether it has arrived
	gone := p.released || unknown && r.set.PinLimit > 0 && r.now >= p.heldAt+r.set.PinLimit
	switch {
	case o.Status == Read:
		r.hasState(p, a.server)
	case p.holder == nil:
	case o.NoState:
		r.hasState(p, nil)
	case o.Status == Errored, o.Status == Full && !p.released:
		r.hasState(p, p.holder)
	case !gone:
	case unknown && inReach: // so the write had arrived, as far as can be told
		r.hasState(p, p.holder)
	default:
		r.hasState(p, nil)
	}
}
