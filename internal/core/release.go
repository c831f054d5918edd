package core

// This file releases the state that workers hold for a request that is over, or that a read of unknown outcome may have
// left behind.

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"rowanyard/decide"
)

// Limits of releases.
const (
	releaseHedgeDelay   = 40 * time.Millisecond  // a call unanswered for this long is sent to another worker too
	releaseTimeout      = 250 * time.Millisecond // of one call
	maxReleaseCalls     = 8                      // of one release, each to another worker
	reachProbeTimeout   = 100 * time.Millisecond // a worker that does not answer a probe within this is out of reach
	secondReleaseDelay  = 100 * time.Millisecond // between the two releases after a read of unknown outcome
	recentContactWindow = 10 * time.Second       // workers that answered within this are asked before others
)

// releaseIfDue releases the state that may be held for the request once no attempt is in flight: always if the request is
// answered, and before that if a read of unknown outcome may have left a state that the module does not know of. At the pin
// limit the latter is released although a further attempt is in flight, since that attempt need not have arrived. It is
// not released earlier, since a release that is delayed on its way would hit the state that the next read leaves.
func (req *activeRequest) releaseIfDue() {
	requestDone := req.answered && len(req.commands) == 0
	unknownReadLeft := req.readOutcomeUnknown && !req.stateWaiting && len(req.commands) == 0
	if req.unknownReadPastLimit() && req.inFlight > 0 {
		req.readOutcomeUnknown = false // mayHoldState stays: what is left at the end is released then
		req.releaseIfUnreachable(req.attempts[len(req.attempts)-1].To)
		return
	}
	if !req.mayHoldState || req.inFlight > 0 || !requestDone && !unknownReadLeft {
		return
	}
	why := "answered"
	if unknownReadLeft {
		why = "read of unknown fate"
	}
	req.startRelease(why, req.reader, req.readOutcomeUnknown)
	req.mayHoldState, req.readOutcomeUnknown, req.stateWaiting = false, false, false
}

// unknownReadPastLimit reports whether the pin limit has passed since a read of unknown outcome ended, and no later read
// has succeeded.
func (req *activeRequest) unknownReadPastLimit() bool {
	limit := req.settings.PinLimit
	return req.readOutcomeUnknown && !req.stateWaiting && !req.answered && limit > 0 && time.Since(req.unknownSince) >= limit
}

// releaseUnansweredWrite releases a state whose write has not been answered, whether it is still in flight or not. Once the
// request is answered, releaseIfDue releases again.
func (req *activeRequest) releaseUnansweredWrite() {
	if req.mayHoldState && !req.answered {
		req.releasedAtLimit = true
		req.startRelease("limit, no sign of the write", req.reader, false)
	}
}

// releaseIfUnreachable releases what a read of unknown outcome may have left, unless next, the worker that the request was
// sent to after that, answers a probe: then the attempt there is probably under way, and a release could hit the state that
// it is about to leave.
func (req *activeRequest) releaseIfUnreachable(next Worker) {
	if !req.settings.CanProbe {
		req.startRelease("read of unknown fate", Worker{}, false)
		return
	}
	successfulReads := req.successfulReads.Load()
	req.core.running.Begin()
	go func() {
		defer req.core.running.End()
		ctx, stop := context.WithTimeout(context.Background(), reachProbeTimeout)
		defer stop()
		if _, err := req.core.prober.Probe(ctx, next); err != nil && req.successfulReads.Load() == successfulReads {
			req.startRelease("read of unknown fate, no sign of the next", Worker{}, false)
		}
	}()
}

// startRelease releases the state held for the request in the background, and stops as soon as a further read has left a
// state, which is wanted. preferred is asked first: the worker that has the state. It is empty where that worker may be
// slow to act, since a late release would hit the state that the next read leaves. repeat has the release done a second
// time after secondReleaseDelay.
func (req *activeRequest) startRelease(why string, preferred Worker, repeat bool) {
	successfulReads := req.successfulReads.Load()
	req.core.log.Info("release", "id", req.ID, "txn", req.Label, "why", why, "first", preferred.ID)
	req.core.running.Begin()
	go req.core.release(req, preferred, repeat, func() bool { return req.successfulReads.Load() == successfulReads })
}

// recordContact notes whether a worker answered the latest call to it.
func (c *Core) recordContact(workerID string, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.workers[workerID]; ok && answered {
		c.lastContact[workerID] = time.Now()
	} else {
		delete(c.lastContact, workerID)
	}
}

// release has workers release all state held for a request, see releaseAtAny. repeat does it a second time after
// secondReleaseDelay: after a read of unknown outcome, the state may appear just after the first release. stillNeeded
// returns false once a further read has left a state, which must stay.
func (c *Core) release(req *activeRequest, preferred Worker, repeat bool, stillNeeded func() bool) {
	defer c.running.End()
	ok := c.releaseOnce(req, preferred, stillNeeded)
	if repeat {
		time.Sleep(secondReleaseDelay)
		if stillNeeded() {
			ok = c.releaseOnce(req, preferred, stillNeeded) || ok
		}
	}
	if !ok && stillNeeded() {
		c.log.Error("nothing took the release", "id", req.ID, "txn", req.Label)
	}
}

// ReleaseAnywhere releases the state held for a request that is over. It runs call, which sends the release to one worker
// and is given timeout, for one worker after the other until one succeeds, and reports whether one did.
func (c *Core) ReleaseAnywhere(timeout time.Duration, call func(ctx context.Context, at Worker) error) bool {
	return c.releaseAtAny(Worker{}, func() bool { return true }, timeout, call)
}

// releaseOnce has the request's transport send the release to one worker after the other until one succeeds, and reports
// whether one did.
func (c *Core) releaseOnce(req *activeRequest, preferred Worker, stillNeeded func() bool) bool {
	return c.releaseAtAny(preferred, stillNeeded, releaseTimeout, func(ctx context.Context, w Worker) error {
		err := req.transport.Release(ctx, w)
		if err != nil {
			c.log.Warn("release failed", "id", req.ID, "txn", req.Label, "worker", w.ID, "err", err)
		}
		return err
	})
}

// releaseAtAny runs release for one worker after the other until one succeeds, and reports whether one did. A worker may be
// dead, silent or cut off, so the next is asked after releaseHedgeDelay while the calls before may still succeed.
func (c *Core) releaseAtAny(preferred Worker, stillNeeded func() bool, timeout time.Duration, release func(context.Context, Worker) error) bool {
	candidates := c.releaseCandidates(preferred)
	candidates = candidates[:min(len(candidates), maxReleaseCalls)]
	done := make(chan error, len(candidates))
	call := func(w Worker) {
		ctx, stop := context.WithTimeout(context.Background(), timeout)
		defer stop()
		err := release(ctx, w)
		c.recordContact(w.ID, err == nil)
		done <- err
	}
	hedge := time.NewTicker(releaseHedgeDelay)
	defer hedge.Stop()
	for asked, pending := 0, 0; asked < len(candidates) && stillNeeded() || pending > 0; {
		if asked < len(candidates) && stillNeeded() {
			go call(candidates[asked])
			asked, pending = asked+1, pending+1
		}
		select {
		case err := <-done:
			if pending--; err == nil {
				return true
			}
		case <-hedge.C:
		}
	}
	return false
}

// releaseCandidates lists the workers that a release may be sent to, in order: preferred, then those that answered within
// recentContactWindow, the latest first, then those of this router's zone, then the rest, the last two in random order.
// While a zone is cut off and most workers can't be reached, this order finds one that can within the pin limit.
func (c *Core) releaseCandidates(preferred Worker) []Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var candidates []Worker
	for _, w := range c.workers {
		if w.State != decide.Gone {
			candidates = append(candidates, w)
		}
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	cutoff := time.Now().Add(-recentContactWindow)
	rank := func(w Worker) int {
		switch {
		case w.ID == preferred.ID:
			return 0
		case c.lastContact[w.ID].After(cutoff):
			return 1
		case w.Zone == c.Settings().Zone:
			return 2
		}
		return 3
	}
	slices.SortStableFunc(candidates, func(a, b Worker) int {
		if byRank := cmp.Compare(rank(a), rank(b)); byRank != 0 || rank(a) != 1 {
			return byRank
		}
		return c.lastContact[b.ID].Compare(c.lastContact[a.ID])
	})
	return candidates
}
