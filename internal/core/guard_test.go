package core

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"rowanyard/decide"
	"rowanyard/internal/invariant"
)

// violated is how often the guard of a step found an invariant broken.
func violated(c *Core, step invariant.Step) int64 { return c.Guard.Counts()[step].Violated }

// forgetful has the module know no pin limit, so that it lets go of nothing in time.
func forgetful(t *testing.T, c *Core) {
	t.Helper()
	set := settings
	set.PinLimit = 0
	c.tell(func(now time.Duration, r *decide.Router) {
		if err := r.Apply(now, set); err != nil {
			t.Error(err)
		}
	})
}

// writeWaits is a carrier of which reads end well and writes wait until they are called off.
func writeWaits(verified bool) func(ctx context.Context, a Attempt) Result {
	return func(ctx context.Context, a Attempt) Result {
		if a.Allowed(); a.Read {
			return Result{Status: decide.Read}
		}
		if verified {
			a.Verified()
		}
		<-ctx.Done()
		return Result{Status: decide.Cancelled}
	}
}

// The guard of repeating goes by what became of the attempts before, whatever the module has chosen.
func TestGuardOfRepeating(t *testing.T) {
	set := settings
	for name, x := range map[string]struct {
		class  int
		before *attempt
		read   bool
		want   bool
	}{
		"unsafe, may have run":    {message, &attempt{mayHaveRun: true}, false, false},
		"unsafe, still out":       {message, &attempt{out: true}, false, false},
		"unsafe, never ran":       {message, &attempt{}, false, true},
		"unsafe, read again":      {message, &attempt{mayHaveRun: true}, true, true},
		"unsafe, after its read":  {message, &attempt{Attempt: Attempt{Read: true}}, false, true},
		"safe, may have run":      {draft, &attempt{mayHaveRun: true}, false, true},
		"safe, too many attempts": {draft, &attempt{}, false, true},
	} {
		c := started(t, &scripted{}, "w")
		l := &life{core: c, settings: &set, attempts: []*attempt{x.before}}
		l.Class = x.class
		if got := l.mayRepeat(x.read); got != x.want || (violated(c, invariant.Repeating) == 0) != x.want {
			t.Errorf("%s: %v, %d violations", name, got, violated(c, invariant.Repeating))
		}
	}
	c := started(t, &scripted{}, "w")
	l := &life{core: c, settings: &set, attempts: make([]*attempt, set.MaxAttempts)}
	if l.mayRepeat(true) {
		t.Error("more attempts than there may be")
	}
	for status, want := range map[decide.Status]bool{decide.Full: false, decide.ConnectFailed: false, decide.Moot: false,
		decide.Errored: true, decide.TimedOut: true, decide.Reset: true, decide.Cancelled: true, decide.Served: true} {
		if mayHaveRun(status) != want {
			t.Errorf("status %d may have run: %v", status, !want)
		}
	}
}

// A carrier that sends without asking is found, and so is one that asks when nothing is due any more.
func TestGuardOfSending(t *testing.T) {
	s := &scripted{}
	asks := true
	s.try = func(_ context.Context, a Attempt) Result {
		if asks {
			a.Allowed()
		}
		if a.Read {
			return Result{Status: decide.Read}
		}
		return Result{Status: decide.Errored}
	}
	c := started(t, s, "w")
	c.Serve(t.Context(), ask(message, time.Second), s)
	settled(t, c)
	if n := violated(c, invariant.Sending); n != 0 {
		t.Errorf("%d violations of one that asks", n)
	}
	l := &life{core: c, client: t.Context()}
	due := &attempt{Attempt: Attempt{To: Worker{Server: decide.Server{ID: "w"}}, Deadline: time.Now().Add(time.Minute)}}
	if !l.allowed(due) {
		t.Error("not allowed")
	}
	l.closed.Store(true)
	if l.allowed(due) || c.Guard.Counts()[invariant.Sending].Stopped != 1 {
		t.Error("sent for a request that has its answer")
	}
	unasked := &attempt{}
	l.checkSent(unasked, decide.Moot)
	if l.checkSent(unasked, decide.Reset); violated(c, invariant.Sending) != 1 {
		t.Errorf("%d violations of one that has not asked", violated(c, invariant.Sending))
	}
}

// A module that does not let go of a state before its write has shown a sign is found, and the state is let go all the same.
func TestGuardOfClosing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scripted{try: writeWaits(false)}
		c := started(t, s, "w")
		forgetful(t, c)
		client, leave := context.WithCancel(t.Context())
		began := time.Now()
		go c.Serve(client, ask(message, time.Minute), s)
		time.Sleep(settings.PinLimit + pinSlack)
		synctest.Wait()
		if n := violated(c, invariant.Closing); n != 1 || len(s.released) == 0 {
			t.Errorf("%v after the read: %d violations, released at %v", time.Since(began), n, s.released)
		}
		leave()
		settled(t, c)
	})
}

// A write that is out on a connection that was alive right before waits at its worker: the guard finds nothing, however long it
// takes, and does not spin meanwhile (the clock of the test would stand still).
func TestGuardOfClosingLeavesVerifiedWritesAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scripted{try: writeWaits(true)}
		c := started(t, s, "w")
		forgetful(t, c)
		client, leave := context.WithCancel(t.Context())
		go c.Serve(client, ask(message, time.Minute), s)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		if n := violated(c, invariant.Closing); n != 0 {
			t.Errorf("%d violations", n)
		}
		leave()
		settled(t, c)
	})
}

// A read of unknown fate may have left a state. The next read may not arrive: what was left is let go at the limit all the same,
// and not before, while the next read may be about to leave one.
func TestWhatAReadMayHaveLeftIsLetGoAtTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scripted{}
		s.try = func(ctx context.Context, a Attempt) Result {
			if a.Allowed(); a.Number == 0 {
				return Result{Status: decide.Reset}
			}
			<-ctx.Done()
			return Result{Status: decide.Cancelled}
		}
		c := started(t, s, "w")
		c.SetWorkers(false, []Worker{{Server: decide.Server{ID: "r2", Kind: 0}}})
		client, leave := context.WithCancel(t.Context())
		go c.Serve(client, ask(draft, time.Minute), s)
		time.Sleep(settings.PinLimit - time.Millisecond)
		synctest.Wait()
		s.mu.Lock()
		if len(s.tries) != 2 || len(s.released) > 0 {
			t.Errorf("before the limit: %d attempts, released at %v", len(s.tries), s.released)
		}
		s.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		s.mu.Lock()
		if len(s.released) == 0 {
			t.Error("not let go at the limit")
		}
		s.mu.Unlock()
		leave()
		settled(t, c)
	})
}

// Once the process ends, nothing new is begun: it is refused, and may come again elsewhere.
func TestGuardOfStarting(t *testing.T) {
	s := &scripted{try: func(context.Context, Attempt) Result { return Result{Status: decide.Read} }}
	c := started(t, s, "w")
	c.End()
	if a := c.Serve(t.Context(), ask(message, time.Minute), s); a.Verdict != Refused {
		t.Errorf("%+v", a)
	}
	if len(s.tries) > 0 || c.Guard.Counts()[invariant.Starting].Stopped != 1 {
		t.Errorf("%d attempts", len(s.tries))
	}
}
