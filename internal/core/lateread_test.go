package core

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"rowanyard/decide"
)

// stateWorkers is a Transport and a Prober whose workers hold states. A release frees all states that are held as it arrives.
type stateWorkers struct {
	try       func(ctx context.Context, a Attempt) Result
	stalled   map[string]time.Time // workers that take nothing before a time
	mu        sync.Mutex
	heldSince map[string]time.Time // by worker
	longest   time.Duration        // for which a state was held until it was released
	released  int                  // releases that arrived
}

func (s *stateWorkers) Try(ctx context.Context, a Attempt) Result {
	a.MaySend()
	return s.try(ctx, a)
}

// hold has a worker hold a state from now on.
func (s *stateWorkers) hold(worker string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heldSince == nil {
		s.heldSince = make(map[string]time.Time)
	}
	s.heldSince[worker] = time.Now()
}

// fetch has a writer fetch the states that are held.
func (s *stateWorkers) fetch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.heldSince)
}

func (s *stateWorkers) Release(ctx context.Context, at Worker) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(max(time.Millisecond, time.Until(s.stalled[at.ID]))):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.released++
	for worker, since := range s.heldSince {
		s.longest = max(s.longest, time.Since(since))
		delete(s.heldSince, worker)
	}
	return nil
}

func (s *stateWorkers) Probe(context.Context, Worker) (decide.Probed, error) {
	return decide.Probed{QueuedRequests: -1, QueuedTokens: -1}, nil
}

// check fails the test if a state is held, or was held for longer than the terms allow.
func (s *stateWorkers) check(t *testing.T, name string) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.heldSince) > 0 || s.longest > settings.PinLimit+pinLimitGrace {
		t.Errorf("%s: a state was held for %v; still held: %v", name, s.longest, s.heldSince)
	}
}

// newStateCore returns a Core with two readers and a writer, where workers may be probed.
func newStateCore(t *testing.T, s *stateWorkers) *Core {
	t.Helper()
	set := settings
	set.CanProbe = true
	c, err := New(set, 1, s, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	c.SetWorkers(true, []Worker{{Server: decide.Server{ID: "r"}}, {Server: decide.Server{ID: "r2"}}, {Server: decide.Server{ID: "w", Kind: 1}}})
	return c
}

// A client leaves while its prompt is read. The reader goes on with the read, or is stalled and reads the prompt later: the state
// that appears then must be released in time, although releases have been taken before.
func TestStateOfAbandonedReadIsReleasedInTime(t *testing.T) {
	for name, x := range map[string]struct {
		readEnds time.Duration
		stalled  bool // the reader, until the read begins
	}{"at once": {20 * time.Millisecond, false}, "after the second release": {150 * time.Millisecond, false}, "late": {900 * time.Millisecond, false},
		"stalled": {510 * time.Millisecond, true}, "long stalled": {3 * time.Second, true}, "stalled past the deadline": {8 * time.Second, true}} {
		synctest.Test(t, func(t *testing.T) {
			s := &stateWorkers{}
			started := make(chan string, 1)
			s.try = func(ctx context.Context, a Attempt) Result {
				if x.stalled {
					s.stalled = map[string]time.Time{a.To.ID: time.Now().Add(x.readEnds - 25*time.Millisecond)}
				}
				started <- a.To.ID
				<-ctx.Done()
				return Result{Status: decide.Cancelled}
			}
			c := newStateCore(t, s)
			client, leave := context.WithCancel(t.Context())
			go c.Serve(client, newRequest(unsafeClass, 5*time.Second), s)
			reader := <-started
			time.Sleep(3 * time.Millisecond)
			leave()
			time.Sleep(x.readEnds - 3*time.Millisecond)
			s.hold(reader)
			waitSettled(t, c)
			s.check(t, name)
		})
	}
}

// A read's connection breaks, and the next read does not arrive, at a reader that answers probes: what the first one left, or leaves
// later, must be released in time.
func TestStateOfBrokenReadIsReleasedWhileNextReadIsOut(t *testing.T) {
	for name, readEnds := range map[string]time.Duration{"as the connection broke": 0, "later": 200 * time.Millisecond, "much later": 700 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			s := &stateWorkers{}
			s.try = func(ctx context.Context, a Attempt) Result {
				if a.Number == 0 {
					time.AfterFunc(readEnds, func() { s.hold(a.To.ID) })
					return Result{Status: decide.Reset}
				}
				<-ctx.Done()
				return Result{Status: decide.Cancelled}
			}
			c := newStateCore(t, s)
			client, leave := context.WithCancel(t.Context())
			go c.Serve(client, newRequest(unsafeClass, 5*time.Second), s)
			time.Sleep(readEnds + settings.PinLimit + pinLimitGrace)
			synctest.Wait()
			s.check(t, name)
			leave()
			waitSettled(t, c)
		})
	}
}

// A read that was given up leaves its state when another reader has read the prompt and its answer is being streamed, or has
// ended.
func TestStateOfBrokenReadIsReleasedAfterTheAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &stateWorkers{}
		s.try = func(_ context.Context, a Attempt) Result {
			switch {
			case a.Number == 0:
				time.AfterFunc(800*time.Millisecond, func() { s.hold(a.To.ID) })
				return Result{Status: decide.Reset}
			case a.Read:
				return Result{Status: decide.Read}
			}
			return Result{Stream: "tokens"}
		}
		c := newStateCore(t, s)
		answer := c.Serve(t.Context(), newRequest(unsafeClass, 5*time.Second), s)
		if answer.Verdict != Streaming {
			t.Fatalf("got answer %+v, want a stream", answer)
		}
		time.Sleep(100 * time.Millisecond)
		answer.StreamEnded(decide.Served, nil)
		time.Sleep(2 * time.Second)
		waitSettled(t, c)
		s.check(t, "after the answer")
	})
}

// No release may arrive while the state of a later read waits for its write: it would be lost.
func TestReleaseAfterBrokenReadSparesTheStateOfTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &stateWorkers{}
		var before, since int
		s.try = func(ctx context.Context, a Attempt) Result {
			switch {
			case a.Number == 0:
				return Result{Status: decide.Reset}
			case a.Read:
				time.Sleep(settings.PinLimit + 295*time.Millisecond) // a release is due soon
				s.mu.Lock()
				before = s.released
				s.mu.Unlock()
				return Result{Status: decide.Read}
			}
			time.Sleep(settings.PinLimit - 10*time.Millisecond)
			s.mu.Lock()
			since = s.released
			s.mu.Unlock()
			return Result{Stream: "tokens"}
		}
		c := newStateCore(t, s)
		answer := c.Serve(t.Context(), newRequest(unsafeClass, 5*time.Second), s)
		if answer.Verdict != Streaming || before == 0 || since != before {
			t.Errorf("verdict %d, %d releases before the read ended and %d until its state was fetched, want a stream and none in between", answer.Verdict, before, since-before)
			return
		}
		answer.StreamEnded(decide.Served, nil)
		waitSettled(t, c)
	})
}

// A release that no worker takes is made again until one does.
func TestReleaseIsRepeatedUntilItIsTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &stateWorkers{stalled: make(map[string]time.Time)}
		s.try = func(_ context.Context, a Attempt) Result {
			for _, id := range []string{"r", "r2", "w"} {
				s.stalled[id] = time.Now().Add(4 * time.Second)
			}
			s.hold(a.To.ID)
			if a.Read {
				return Result{Status: decide.Read}
			}
			return Result{Status: decide.Errored}
		}
		c := newStateCore(t, s)
		c.Serve(t.Context(), newRequest(unsafeClass, 5*time.Second), s)
		waitSettled(t, c)
		s.mu.Lock()
		defer s.mu.Unlock()
		if len(s.heldSince) > 0 {
			t.Errorf("still held at %v", s.heldSince)
		}
	})
}

// A client leaves while a write is out that was not answered, at any time after the read. The attempt takes its time to end; the
// state must be released in time all the same.
func TestStateIsReleasedInTimeWheneverTheClientLeaves(t *testing.T) {
	for leaves := 10 * time.Millisecond; leaves < settings.PinLimit+pinLimitGrace; leaves += 10 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			s := &stateWorkers{}
			client, leave := context.WithCancel(t.Context())
			s.try = func(ctx context.Context, a Attempt) Result {
				if a.Read {
					s.hold(a.To.ID)
					time.AfterFunc(leaves, leave)
					return Result{Status: decide.Read}
				}
				<-ctx.Done()
				time.Sleep(a.CancelGrace)
				return Result{Status: decide.Cancelled}
			}
			c := newStateCore(t, s)
			c.Serve(client, newRequest(unsafeClass, 5*time.Second), s)
			waitSettled(t, c)
			s.check(t, leaves.String())
		})
	}
}
