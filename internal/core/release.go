package core

// This file releases the state that workers hold for a request: one that is known, as its write has not been answered in time
// or the request is over. States that a read of unknown outcome may leave are in lateread.go.

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"rowanyard/decide"
	"rowanyard/internal/patience"
)

// Limits of releases.
const (
	releaseHedgeDelay   = 40 * time.Millisecond  // after each such time without a success, one more further worker is asked
	releaseTimeout      = 250 * time.Millisecond // of one call
	maxReleaseCalls     = 8                      // of one round, each to another worker
	releaseRetryDelay   = 100 * time.Millisecond // after a round that no worker took, before the next
	maxReleaseTime      = 10 * time.Second       // for a worker to take a release
	recentContactWindow = 10 * time.Second       // workers that answered within this are asked before others
)

// releaseIfDue releases the state that may be held for the request: a known one once the request is answered and its
// attempts have ended, or at the pin limit while they end, and one that a read of unknown outcome may have left once no
// attempt is in flight. At the pin limit the latter is released although a further attempt is in flight, since that attempt
// need not have arrived. It is not released earlier, since a release that is delayed on its way would hit the state that the
// next read leaves.
func (req *activeRequest) releaseIfDue() {
	idle := req.inFlight == 0 && len(req.commands) == 0
	if idle || req.unknownReadPastLimit() {
		req.startLateReadReleases()
	}
	if !req.mayHoldState || !req.answered {
		return
	}
	switch {
	case idle:
		req.startRelease("answered", req.reader)
		req.mayHoldState, req.stateWaiting = false, false
	case req.statePastLimit():
		req.releasedAtLimit = true
		req.startRelease("answered, past the limit", req.reader)
	}
}

// statePastLimit reports whether a known state has passed the pin limit and was not released.
func (req *activeRequest) statePastLimit() bool {
	limit := req.settings.PinLimit
	return limit > 0 && req.stateWaiting && !req.releasedAtLimit && !req.Leased && req.heldFor() >= limit
}

// releaseUnansweredWrite releases a state whose write has not been answered, whether it is still in flight or not. Once the
// request is answered, releaseIfDue releases again.
func (req *activeRequest) releaseUnansweredWrite() {
	if req.mayHoldState && !req.answered {
		req.releasedAtLimit = true
		req.startRelease("limit, no sign of the write", req.reader)
	}
}

// startRelease releases the state held for the request in the background, and stops as soon as a further read has left a
// state, which is wanted. preferred is asked first: the worker that has the state.
func (req *activeRequest) startRelease(why string, preferred Worker) {
	req.stateWanted.Store(false)
	req.logRelease(why, preferred)
	req.core.running.Begin()
	go req.core.release(req, preferred, req.mayRelease)
}

// mayRelease reports whether a release would hit no state that a write is to fetch.
func (req *activeRequest) mayRelease() bool { return !req.stateWanted.Load() }

// logRelease logs that a release begins, and what the request has come to.
func (req *activeRequest) logRelease(why string, preferred Worker) {
	fields := []any{"id", req.ID, "txn", req.Label, "why", why, "first", preferred.ID, "held_ms", req.heldFor().Milliseconds(), "attempts", len(req.attempts)}
	if len(req.attempts) > 0 {
		last := req.attempts[len(req.attempts)-1]
		fields = append(fields, "last", last.To.ID, "read", last.Read, "in_flight", last.inFlight, "began_ms", time.Since(last.began).Milliseconds())
	}
	req.core.log.Info("release", fields...)
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

// contactSince reports whether the latest call to a worker was answered, and that after the given time.
func (c *Core) contactSince(workerID string, since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastContact[workerID].After(since)
}

// release has workers release all state held for a request, in rounds until one of them has taken it. stillNeeded returns false
// once a further read has left a state, which must stay.
func (c *Core) release(req *activeRequest, preferred Worker, stillNeeded func() bool) {
	defer c.running.End()
	taken := c.releaseInRounds(stillNeeded, func() bool { return c.releaseOnce(req, preferred, stillNeeded) })
	if !taken && stillNeeded() {
		c.log.Error("nothing took the release", "id", req.ID, "txn", req.Label)
	}
}

// releaseInRounds calls round until it succeeds, with pauses, for at most maxReleaseTime, and reports whether it did.
func (c *Core) releaseInRounds(stillNeeded, round func() bool) bool {
	for began := time.Now(); stillNeeded() && time.Since(began) < maxReleaseTime; time.Sleep(releaseRetryDelay) {
		if round() {
			return true
		}
	}
	return false
}

// ReleaseAnywhere releases the state held for a request that is over. It runs call, which sends the release to one worker
// and is given timeout, for one worker after the other until one succeeds, and reports whether one did.
func (c *Core) ReleaseAnywhere(timeout time.Duration, call func(ctx context.Context, at Worker) error) bool {
	always := func() bool { return true }
	return c.releaseInRounds(always, func() bool { return c.releaseAtAny(Worker{}, always, timeout, call) })
}

// releaseOnce has the request's transport send the release to one worker after the other until one succeeds, and reports
// whether one did.
func (c *Core) releaseOnce(req *activeRequest, preferred Worker, stillNeeded func() bool) bool {
	return c.releaseAtAny(preferred, stillNeeded, releaseTimeout, func(ctx context.Context, w Worker) error {
		began := time.Now()
		err := req.transport.Release(ctx, w)
		fields := []any{"id", req.ID, "txn", req.Label, "worker", w.ID, "took_ms", time.Since(began).Milliseconds()}
		if err != nil {
			c.log.Warn("release failed", append(fields, "err", err)...)
		} else {
			c.log.Info("release taken", fields...)
		}
		return err
	})
}

// releaseAtAny runs release for one worker after the other until one succeeds, and reports whether one did. A worker may be
// dead, silent or cut off, and so may half of them, so ever more are asked while the calls before may still succeed.
func (c *Core) releaseAtAny(preferred Worker, stillNeeded func() bool, timeout time.Duration, release func(context.Context, Worker) error) bool {
	candidates := c.releaseCandidates(preferred)
	candidates = candidates[:min(len(candidates), maxReleaseCalls)]
	done := make(chan error, len(candidates))
	call := func(w Worker) {
		ctx, stop := patience.WithTimeout(context.Background(), timeout, errNoAnswer)
		defer stop()
		err := release(ctx, w)
		c.recordContact(w.ID, err == nil)
		done <- err
	}
	hedge := time.NewTicker(releaseHedgeDelay)
	defer hedge.Stop()
	asked, pending := 0, 0
	ask := func(workers int) {
		for ; workers > 0 && asked < len(candidates) && stillNeeded(); workers-- {
			go call(candidates[asked])
			asked, pending = asked+1, pending+1
		}
	}
	hedges := 0
	for ask(1); pending > 0; {
		select {
		case err := <-done:
			if pending--; err == nil {
				return true
			}
			ask(1)
		case <-hedge.C:
			hedges++
			ask(hedges)
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
