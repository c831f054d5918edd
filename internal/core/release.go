package core

// This file owns the release of what workers hold for a request that is over, or that has left a state of unknown fate.

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
	releaseNext  = 40 * time.Millisecond  // one unanswered for so long is sent to another worker too
	releaseWait  = 250 * time.Millisecond // and is given up after this
	releaseTries = 8
	reachWait    = 100 * time.Millisecond // a worker that has not answered a probe by then is out of reach
	releaseAgain = 100 * time.Millisecond // a read of unknown fate is let go a second time after this
	heardLately  = 10 * time.Second       // a worker that has answered within this is asked before others
)

// letGo releases what may be held for the request once none of its attempts is out: always when it is answered, and before that
// where a read of unknown fate may have left a state that the module does not know of. That one goes at the pin limit though
// an attempt is out, as what was sent after it need not have arrived; not before, as a release that is late on its way
// would let go of what the next read leaves.
func (l *life) letGo() {
	ended := l.answered && len(l.choices) == 0
	leftBehind := l.unknown && !l.waiting && len(l.choices) == 0
	if l.leftBehindTooLong() && l.out > 0 {
		l.unknown = false // what is still held in the end is let go then
		l.releaseUnlessInReach(l.attempts[len(l.attempts)-1].To)
		return
	}
	if !l.held || l.out > 0 || !ended && !leftBehind {
		return
	}
	why := "answered"
	if leftBehind {
		why = "read of unknown fate"
	}
	l.startRelease(why, l.reader, l.unknown)
	l.held, l.unknown, l.waiting = false, false, false
}

// leftBehindTooLong says that the pin limit has passed since a read of unknown fate ended, and nothing has come of what was
// sent after it.
func (l *life) leftBehindTooLong() bool {
	limit := l.settings.PinLimit
	return l.unknown && !l.waiting && !l.answered && limit > 0 && time.Since(l.unknownSince) >= limit
}

// releaseBeforeArrival lets go of a state whose write is out and has not shown that it arrived. What is still held when its
// attempts have ended is let go then.
func (l *life) releaseBeforeArrival() {
	if l.held && l.out > 0 && !l.answered {
		l.letGoOnce = true
		l.startRelease("limit, no sign of the write", l.reader, false)
	}
}

// releaseUnlessInReach lets go of what a read of unknown fate may have left, unless the worker that was sent the request next is
// in reach: the attempt there is likely to be under way then, and a release could take what it is about to leave.
func (l *life) releaseUnlessInReach(next Worker) {
	if !l.settings.CanProbe {
		l.startRelease("read of unknown fate", Worker{}, false)
		return
	}
	reads := l.reads.Load()
	l.core.running.Begin()
	go func() {
		defer l.core.running.End()
		ctx, stop := context.WithTimeout(context.Background(), reachWait)
		defer stop()
		if _, err := l.core.prober.Probe(ctx, next); err != nil && l.reads.Load() == reads {
			l.startRelease("read of unknown fate, no sign of the next", Worker{}, false)
		}
	}()
}

// startRelease releases what is held, unless another read has left a state by then. first is asked before others: the worker that
// has the state, or none where its answer may be late, and a late release would let go of what the next read leaves. again has
// it done once more a little later.
func (l *life) startRelease(why string, first Worker, again bool) {
	reads := l.reads.Load()
	l.core.log.Info("release", "id", l.ID, "txn", l.Label, "why", why, "first", first.ID)
	l.core.running.Begin()
	go l.core.release(l, first, again, func() bool { return l.reads.Load() == reads })
}

// hears notes whether a worker has answered.
func (c *Core) hears(id string, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.workers[id]; ok && answered {
		c.heard[id] = time.Now()
	} else {
		delete(c.heard, id)
	}
}

// release lets go of all that is held for a request, at any worker that answers. A worker may be
// dead, silent or cut off, so the next is asked soon, and while the first may still answer. Where the fate
// of a read is unknown it is done once more a little later: the state may appear just after the first call.
// still says that no further read has left a state meanwhile, which is wanted.
func (c *Core) release(l *life, first Worker, unknown bool, still func() bool) {
	defer c.running.End()
	ok := c.releaseOnce(l, first, still)
	if unknown {
		time.Sleep(releaseAgain)
		if still() {
			ok = c.releaseOnce(l, first, still) || ok
		}
	}
	if !ok && still() {
		c.log.Error("nothing took the release", "id", l.ID, "txn", l.Label)
	}
}

// ReleaseAnywhere has call let go of what is held for a request that is over, at one worker after the other until
// one has answered.
func (c *Core) ReleaseAnywhere(wait time.Duration, call func(ctx context.Context, at Worker) error) bool {
	return c.releaseAt(Worker{}, func() bool { return true }, wait, call)
}

// releaseOnce asks one worker after the other until one has answered.
func (c *Core) releaseOnce(l *life, first Worker, still func() bool) bool {
	return c.releaseAt(first, still, releaseWait, func(ctx context.Context, w Worker) error {
		err := l.via.Release(ctx, w)
		if err != nil {
			c.log.Warn("release failed", "id", l.ID, "txn", l.Label, "worker", w.ID, "err", err)
		}
		return err
	})
}

func (c *Core) releaseAt(first Worker, still func() bool, wait time.Duration, release func(context.Context, Worker) error) bool {
	all := c.releasers(first)
	all = all[:min(len(all), releaseTries)]
	done := make(chan error, len(all))
	call := func(w Worker) {
		ctx, stop := context.WithTimeout(context.Background(), wait)
		defer stop()
		err := release(ctx, w)
		c.hears(w.ID, err == nil)
		done <- err
	}
	next := time.NewTicker(releaseNext)
	defer next.Stop()
	for asked, out := 0, 0; asked < len(all) && still() || out > 0; {
		if asked < len(all) && still() {
			go call(all[asked])
			asked, out = asked+1, out+1
		}
		select {
		case err := <-done:
			if out--; err == nil {
				return true
			}
		case <-next.C:
		}
	}
	return false
}

// releasers lists the workers that a release may be sent to: the one that holds the state, then those that
// have answered lately, the latest first, then those of this router's zone, then the rest. Guards the pin limit
// while this zone, or another one, is cut off and most workers can't be reached.
func (c *Core) releasers(first Worker) []Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []Worker
	for _, w := range c.workers {
		if w.State != decide.Gone {
			all = append(all, w)
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	since := time.Now().Add(-heardLately)
	place := func(w Worker) int {
		switch {
		case w.ID == first.ID:
			return 0
		case c.heard[w.ID].After(since):
			return 1
		case w.Zone == c.Settings().Zone:
			return 2
		}
		return 3
	}
	slices.SortStableFunc(all, func(a, b Worker) int {
		if byPlace := cmp.Compare(place(a), place(b)); byPlace != 0 || place(a) != 1 {
			return byPlace
		}
		return c.heard[b.ID].Compare(c.heard[a.ID])
	})
	return all
}
