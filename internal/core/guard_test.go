package core

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"rowanyard/decide"
	"rowanyard/internal/invariant"
)

// violations returns how many violations the guard of a step has counted.
func violations(c *Core, step invariant.Step) int64 { return c.Guard.Counts()[step].Violated }

// disableModulePinLimit has the module run without a pin limit, so that it releases nothing in time.
func disableModulePinLimit(t *testing.T, c *Core) {
	t.Helper()
	set := settings
	set.PinLimit = 0
	c.dispatch(func(now time.Duration, r *decide.Router) {
		if err := r.Apply(now, set); err != nil {
			t.Error(err)
		}
	})
}

// hangingWrites is a try function of which reads succeed and writes wait until they are cancelled.
func hangingWrites(ctx context.Context, a Attempt) Result {
	if a.MaySend(); a.Read {
		return Result{Status: decide.Read}
	}
	<-ctx.Done()
	return Result{Status: decide.Cancelled}
}

// The repeating guard decides by the outcomes of the earlier attempts, whatever the module has chosen.
func TestRepeatingGuard(t *testing.T) {
	set := settings
	for name, x := range map[string]struct {
		class  int
		before *attempt
		read   bool
		want   bool
	}{
		"unsafe, may have run":    {unsafeClass, &attempt{mayHaveRun: true}, false, false},
		"unsafe, in flight":       {unsafeClass, &attempt{inFlight: true}, false, false},
		"unsafe, never ran":       {unsafeClass, &attempt{}, false, true},
		"unsafe, read again":      {unsafeClass, &attempt{mayHaveRun: true}, true, true},
		"unsafe, after its read":  {unsafeClass, &attempt{Attempt: Attempt{Read: true}}, false, true},
		"safe, may have run":      {safeClass, &attempt{mayHaveRun: true}, false, true},
		"safe, too many attempts": {safeClass, &attempt{}, false, true},
	} {
		c := newTestCore(t, &scriptedTransport{}, "w")
		req := &activeRequest{core: c, settings: &set, attempts: []*attempt{x.before}}
		req.Class = x.class
		if got := req.checkRepeatAllowed(x.read); got != x.want || (violations(c, invariant.Repeating) == 0) != x.want {
			t.Errorf("%s: allowed %v, %d violations", name, got, violations(c, invariant.Repeating))
		}
	}
	c := newTestCore(t, &scriptedTransport{}, "w")
	req := &activeRequest{core: c, settings: &set, attempts: make([]*attempt, set.MaxAttempts)}
	if req.checkRepeatAllowed(true) {
		t.Error("an attempt beyond MaxAttempts is allowed")
	}
	for status, want := range map[decide.Status]bool{decide.Rejected: false, decide.ConnectFailed: false, decide.Unsent: false,
		decide.Errored: true, decide.TimedOut: true, decide.Reset: true, decide.Cancelled: true, decide.Served: true} {
		if mayHaveRun(status) != want {
			t.Errorf("status %d may have run: %v", status, !want)
		}
	}
}

// The sending guard counts a transport that sends without asking it, and stops an attempt whose request has its answer.
func TestSendingGuard(t *testing.T) {
	s := &scriptedTransport{}
	asksGuard := true
	s.try = func(_ context.Context, a Attempt) Result {
		if asksGuard {
			a.MaySend()
		}
		if a.Read {
			return Result{Status: decide.Read}
		}
		return Result{Status: decide.Errored}
	}
	c := newTestCore(t, s, "w")
	c.Serve(t.Context(), newRequest(unsafeClass, time.Second), s)
	waitSettled(t, c)
	if n := violations(c, invariant.Sending); n != 0 {
		t.Errorf("%d violations by a transport that asks", n)
	}
	req := &activeRequest{core: c, client: t.Context()}
	due := &attempt{Attempt: Attempt{To: Worker{Server: decide.Server{ID: "w"}}, Deadline: time.Now().Add(time.Minute)}}
	if !req.checkSendAllowed(due) {
		t.Error("an attempt that is due is not allowed")
	}
	req.answerFixed.Store(true)
	if req.checkSendAllowed(due) || c.Guard.Counts()[invariant.Sending].Stopped != 1 {
		t.Error("an attempt for a request that has its answer was not stopped")
	}
	unasked := &attempt{}
	req.checkGuardWasAsked(unasked, decide.Unsent)
	if req.checkGuardWasAsked(unasked, decide.Reset); violations(c, invariant.Sending) != 1 {
		t.Errorf("%d violations by a transport that does not ask, want 1", violations(c, invariant.Sending))
	}
}

// The closing guard counts a module that fails to release a state whose write never shows that it arrived, and releases the
// state itself.
func TestClosingGuard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedTransport{try: hangingWrites}
		c := newTestCore(t, s, "w")
		disableModulePinLimit(t, c)
		client, leave := context.WithCancel(t.Context())
		began := time.Now()
		go c.Serve(client, newRequest(unsafeClass, time.Minute), s)
		time.Sleep(settings.PinLimit + pinLimitGrace)
		synctest.Wait()
		if n := violations(c, invariant.Closing); n != 1 || len(s.released) == 0 {
			t.Errorf("%v after the read: %d violations, released at %v", time.Since(began), n, s.released)
		}
		leave()
		waitSettled(t, c)
	})
}

// The closing guard counts a state once, however long its write takes, and must not spin meanwhile (the test's clock would
// stand still).
func TestClosingGuardCountsAStateOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedTransport{try: hangingWrites}
		c := newTestCore(t, s, "w")
		disableModulePinLimit(t, c)
		client, leave := context.WithCancel(t.Context())
		go c.Serve(client, newRequest(unsafeClass, time.Minute), s)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		if n := violations(c, invariant.Closing); n != 1 {
			t.Errorf("%d violations, want 1", n)
		}
		leave()
		waitSettled(t, c)
	})
}

// A read of unknown outcome may have left a state, and the next read may never arrive. The state must be released at the
// pin limit, and not earlier, since the next read may be about to leave a state that the release would hit.
func TestUnknownReadIsReleasedAtTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedTransport{}
		s.try = func(ctx context.Context, a Attempt) Result {
			if a.MaySend(); a.Number == 0 {
				return Result{Status: decide.Reset}
			}
			<-ctx.Done()
			return Result{Status: decide.Cancelled}
		}
		c := newTestCore(t, s, "w")
		c.SetWorkers(false, []Worker{{Server: decide.Server{ID: "r2", Kind: 0}}})
		client, leave := context.WithCancel(t.Context())
		go c.Serve(client, newRequest(safeClass, time.Minute), s)
		time.Sleep(settings.PinLimit - time.Millisecond)
		synctest.Wait()
		s.mu.Lock()
		if len(s.tries) != 2 || len(s.released) > 0 {
			t.Errorf("before the limit: %d attempts, want 2, released at %v, want none", len(s.tries), s.released)
		}
		s.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		s.mu.Lock()
		if len(s.released) == 0 {
			t.Error("not released at the limit")
		}
		s.mu.Unlock()
		leave()
		waitSettled(t, c)
	})
}

// Once the process shuts down, new requests are refused, so that their clients may retry elsewhere.
func TestStartingGuard(t *testing.T) {
	s := &scriptedTransport{try: func(context.Context, Attempt) Result { return Result{Status: decide.Read} }}
	c := newTestCore(t, s, "w")
	c.Shutdown()
	if a := c.Serve(t.Context(), newRequest(unsafeClass, time.Minute), s); a.Verdict != Refused {
		t.Errorf("got answer %+v, want a refusal", a)
	}
	if len(s.tries) > 0 || c.Guard.Counts()[invariant.Starting].Stopped != 1 {
		t.Errorf("%d attempts, want none and one stopped request", len(s.tries))
	}
}
