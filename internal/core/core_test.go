package core

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"rowanyard/decide"
	"rowanyard/internal/openids"
)

// scriptedTransport is a Transport and a Prober whose attempts end as the test's try function says.
type scriptedTransport struct {
	try         func(ctx context.Context, a Attempt) Result
	mu          sync.Mutex
	tries       []Attempt
	released    []string
	refuse      map[string]bool // workers that refuse releases
	unreachable map[string]bool // workers that can't be reached
}

func (s *scriptedTransport) Try(ctx context.Context, a Attempt) Result {
	s.mu.Lock()
	s.tries = append(s.tries, a)
	s.mu.Unlock()
	return s.try(ctx, a)
}

func (s *scriptedTransport) Release(ctx context.Context, at Worker) error {
	if s.unreachable[at.ID] {
		<-ctx.Done()
		return ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.released = append(s.released, at.ID)
	if s.refuse[at.ID] {
		return errors.New("refused")
	}
	return nil
}

func (s *scriptedTransport) Probe(context.Context, Worker) (decide.Probed, error) {
	return decide.Probed{QueuedRequests: -1, QueuedTokens: -1}, nil
}

var settings = decide.Settings{RouterCount: 1, ClockStep: 2 * time.Millisecond, MaxAttempts: 4, CanCancel: true, PinLimit: 300 * time.Millisecond,
	Kinds: []decide.Kind{{Role: decide.Reader, MemoryTokens: 1e5}, {Role: decide.Writer, MemoryTokens: 1e5}},
	Classes: []decide.Class{
		{TTFTTarget: time.Second, Deadline: 5 * time.Second, Value: 1, Effect: decide.Safe},
		{TTFTTarget: time.Second, Deadline: 5 * time.Second, Value: 2, Effect: decide.Unsafe}}}

// The classes of settings.
const (
	safeClass   = iota // may be repeated
	unsafeClass        // must not run twice
)

// newTestCore returns a Core with the reader "r" and the given writers.
func newTestCore(t *testing.T, s *scriptedTransport, writers ...string) *Core {
	t.Helper()
	c, err := New(settings, 1, s, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	all := []Worker{{Server: decide.Server{ID: "r", Kind: 0}}}
	for _, id := range writers {
		all = append(all, Worker{Server: decide.Server{ID: id, Kind: 1}})
	}
	c.SetWorkers(true, all)
	return c
}

// waitSettled fails the test unless all requests and releases end.
func waitSettled(t *testing.T, c *Core) {
	t.Helper()
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	c.Wait(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	if ctx.Err() != nil || len(c.requests) > 0 {
		t.Fatalf("%d requests have not ended", len(c.requests))
	}
}

func newRequest(class int, left time.Duration) decide.Request {
	return decide.Request{Class: class, TimeLeft: left, Session: 5, PromptLength: 100, MaxOutput: 10}
}

func TestReadThenWriteStreamsToTheEnd(t *testing.T) {
	s := &scriptedTransport{try: func(_ context.Context, a Attempt) Result {
		if a.Read {
			return Result{Status: decide.Read}
		}
		return Result{Stream: "tokens"}
	}}
	c := newTestCore(t, s, "w")
	a := c.Serve(context.Background(), newRequest(unsafeClass, time.Second), s)
	if a.Verdict != Streaming || a.Stream != "tokens" || a.Worker.ID != "w" {
		t.Fatalf("got answer %+v, want a stream of worker w", a)
	}
	a.StreamEnded(decide.Served, nil)
	a.StreamEnded(decide.Reset, nil) // ignored: only the first call counts
	waitSettled(t, c)
	if len(s.released) > 0 {
		t.Error("a state that the writer fetched was released")
	}
}

// A read that was cancelled or reset may have left a state. It must be released although its request has ended, by way of
// another worker if the reader does not take the release.
func TestUnknownReadIsReleasedAfterTheEnd(t *testing.T) {
	for name, end := range map[string]decide.Status{"cancelled": decide.Cancelled, "reset": decide.Reset} {
		synctest.Test(t, func(t *testing.T) {
			s := &scriptedTransport{refuse: map[string]bool{"r": true}}
			inside := make(chan struct{}, 4)
			s.try = func(ctx context.Context, a Attempt) Result {
				inside <- struct{}{}
				if end == decide.Cancelled {
					<-ctx.Done()
				}
				return Result{Status: end}
			}
			c := newTestCore(t, s, "w")
			client, leave := context.WithCancel(context.Background())
			go func() { <-inside; leave() }()
			if a := c.Serve(client, newRequest(unsafeClass, 200*time.Millisecond), s); a.Verdict == Streaming || a.Verdict == Failed {
				t.Errorf("%s: got verdict %d", name, a.Verdict)
			}
			leave()
			waitSettled(t, c)
			if n := len(s.released); n < 2 || s.released[0] != "r" || s.released[1] != "w" {
				t.Errorf("%s: released at %v, want r, then w", name, s.released)
			}
		})
	}
}

// A read that succeeds just after its request was cancelled still leaves a state, which must be released.
func TestLateReadIsReleased(t *testing.T) {
	s := &scriptedTransport{}
	client, leave := context.WithCancel(context.Background())
	s.try = func(ctx context.Context, a Attempt) Result {
		leave()
		<-ctx.Done()
		return Result{Status: decide.Read}
	}
	c := newTestCore(t, s, "w")
	if a := c.Serve(client, newRequest(safeClass, time.Second), s); a.Verdict != ClientGone {
		t.Errorf("got verdict %d, want ClientGone", a.Verdict)
	}
	waitSettled(t, c)
	if len(s.released) == 0 {
		t.Error("the state was not released")
	}
}

// A write that may have run must not be sent again, nor may its client be told to retry.
func TestUnsafeWriteIsNeverSentTwice(t *testing.T) {
	for _, end := range []decide.Status{decide.Reset, decide.Errored, decide.TimedOut} {
		s := &scriptedTransport{try: func(_ context.Context, a Attempt) Result {
			if a.Read {
				return Result{Status: decide.Read}
			}
			return Result{Status: end}
		}}
		c := newTestCore(t, s, "w1", "w2", "w3")
		if a := c.Serve(context.Background(), newRequest(unsafeClass, time.Second), s); a.Verdict != Failed || len(s.tries) != 2 {
			t.Errorf("status %d: verdict %d after %d attempts", end, a.Verdict, len(s.tries))
		}
		waitSettled(t, c)
	}
}

// A worker that begins to drain after it was chosen and before the request is written must get nothing.
func TestDrainAfterTheChoiceStopsTheAttempt(t *testing.T) {
	s := &scriptedTransport{}
	var c *Core
	s.try = func(_ context.Context, a Attempt) Result {
		if a.Read {
			return Result{Status: decide.Read}
		}
		if a.To.ID == "w1" {
			c.SetWorkers(false, []Worker{{Server: decide.Server{ID: "w1", Kind: 1, State: decide.Draining}},
				{Server: decide.Server{ID: "w2", Kind: 1}}})
			if a.MaySend() {
				t.Error("an attempt at a draining worker is still allowed")
			}
			return Result{Status: decide.Unsent}
		}
		return Result{Stream: a.To.ID}
	}
	c = newTestCore(t, s, "w1")
	a := c.Serve(context.Background(), newRequest(safeClass, time.Second), s)
	if a.Verdict != Streaming || a.Stream != "w2" {
		t.Fatalf("got answer %+v, want a stream of worker w2", a)
	}
	a.StreamEnded(decide.Served, nil)
	waitSettled(t, c)
}

func TestStreamEndsWithItsClient(t *testing.T) {
	closed := make(chan struct{})
	s := &scriptedTransport{try: func(ctx context.Context, a Attempt) Result {
		if a.Read {
			return Result{Status: decide.Read}
		}
		context.AfterFunc(ctx, func() { close(closed) })
		return Result{Stream: 1}
	}}
	c := newTestCore(t, s, "w")
	var logText bytes.Buffer
	c.log = slog.New(slog.NewTextHandler(&logText, nil))
	client, leave := context.WithCancel(context.Background())
	a := c.Serve(client, newRequest(unsafeClass, time.Second), s)
	leave()
	<-closed
	a.StreamEnded(decide.Reset, nil) // as a front reports a stream that is closed while it relays it
	waitSettled(t, c)
	if !strings.Contains(logText.String(), "status=cancelled") {
		t.Errorf("a stream that its client left was not logged as cancelled: %s", logText.String())
	}
}

// A panic of a transport or of the module must fail one request, which is answered once, and not take down the router.
func TestPanicsFailTheRequest(t *testing.T) {
	s := &scriptedTransport{try: func(context.Context, Attempt) Result { panic("transport") }}
	c := newTestCore(t, s, "w")
	if a := c.Serve(context.Background(), newRequest(safeClass, 100*time.Millisecond), s); a.Verdict != Refused && a.Verdict != Failed {
		t.Errorf("transport panicked: got verdict %d", a.Verdict)
	}
	c.router = nil
	if a := c.Serve(context.Background(), newRequest(safeClass, 20*time.Millisecond), s); a.Verdict != Failed {
		t.Errorf("module panicked: got verdict %d", a.Verdict)
	}
	waitSettled(t, c)
}

// A request that the module gives up is answered at once, not at its deadline.
func TestAbandonedRequestIsAnsweredImmediately(t *testing.T) {
	s := &scriptedTransport{try: func(context.Context, Attempt) Result { return Result{Status: decide.Rejected, Err: io.EOF} }}
	c := newTestCore(t, s, "w")
	c.SetWorkers(true, nil)
	began := time.Now()
	a := c.Serve(context.Background(), newRequest(safeClass, time.Hour), s)
	if a.Verdict != Refused || time.Since(began) > time.Minute {
		t.Errorf("got verdict %d after %v, want Refused at once", a.Verdict, time.Since(began))
	}
}

// Discovery may name a removed worker by its id alone. Removed workers are forgotten at once: where workers come and go
// under new ids, entries kept for old ones would grow without bound.
func TestRemovedWorkers(t *testing.T) {
	s := &scriptedTransport{}
	c := newTestCore(t, s, "w1", "w2")
	gone := []Worker{{Server: decide.Server{ID: "w1", Kind: -1, State: decide.Gone}}}
	c.SetWorkers(false, gone)
	if _, kept := c.workers["w1"]; kept || c.AcceptsWork("w1") || !c.AcceptsWork("w2") || c.AcceptsWork("never listed") {
		t.Errorf("workers after w1 was removed: %+v", c.workers)
	}
	c.SetWorkers(false, gone)
	c.SetWorkers(true, nil)
	if len(c.workers) > 0 {
		t.Errorf("workers after all were removed: %+v", c.workers)
	}
}

// An id that an open request has can't be claimed again until it is freed.
func TestClaim(t *testing.T) {
	c := newTestCore(t, &scriptedTransport{})
	release, err := c.ClaimID("a", 0, false)
	if _, twice := c.ClaimID("a", 0, false); err != nil || !errors.Is(twice, openids.ErrOpen) {
		t.Errorf("claimed: %v, claimed again: %v, want nil and %v", err, twice, openids.ErrOpen)
	}
	release()
	if _, err := c.ClaimID("a", 0, false); err != nil {
		t.Errorf("an id that was freed can't be claimed again: %v", err)
	}
}

// While a zone is cut off most workers can't be reached, and the reader that holds a state may be one of them. Workers that
// answered recently, then those of the router's own zone, must be asked before others, without waiting for unanswered
// calls to time out: otherwise the pin limit passes before any worker is reached.
func TestReleaseReachesAWorkerWhileOthersAreCutOff(t *testing.T) {
	for _, recentContact := range []bool{true, false} {
		s := &scriptedTransport{unreachable: map[string]bool{"r": true}}
		c := newTestCore(t, s)
		all := []Worker{{Server: decide.Server{ID: "near", Kind: 1}}}
		for i := range 99 {
			w := Worker{Server: decide.Server{ID: fmt.Sprint("far", i), Kind: 1, Zone: 1}}
			s.unreachable[w.ID] = true
			all = append(all, w)
		}
		want := "near"
		if recentContact {
			want = "far7"
			delete(s.unreachable, want)
		}
		c.SetWorkers(false, all)
		c.recordContact("far7", recentContact)
		c.running.Begin()
		c.release(&activeRequest{core: c, transport: s}, Worker{Server: decide.Server{ID: "r"}}, func() bool { return true })
		if !slices.Equal(s.released, []string{want}) {
			t.Errorf("released at %v, want %s", s.released, want)
		}
	}
}

// nthMessageHook is a slog.Handler that calls do when message is logged for the nth time, and discards all records.
type nthMessageHook struct {
	slog.Handler
	message string
	n       int
	do      func()
}

func (h *nthMessageHook) Handle(_ context.Context, r slog.Record) error {
	if r.Message == h.message {
		if h.n--; h.n == 0 {
			h.do()
		}
	}
	return nil
}

// A client may leave at any stage of its request, also at the moment at which the next attempt is chosen. No attempt may
// start after that, and the state that is held must be released.
func TestNoAttemptStartsAfterTheClientLeaves(t *testing.T) {
	reader := Worker{Server: decide.Server{ID: "r", Kind: 0}}
	writers := []Worker{{Server: decide.Server{ID: "w1", Kind: 1}}, {Server: decide.Server{ID: "w2", Kind: 1}}}
	all := append([]Worker{reader}, writers...)
	long := settings
	long.PinLimit, long.MaxAttempts = 0, 0
	long.Classes = []decide.Class{{TTFTTarget: time.Hour, Deadline: 2 * time.Hour, Value: 1}}
	full := func(a Attempt) Result {
		if a.Read {
			return Result{Status: decide.Read}
		}
		return Result{Status: decide.Rejected}
	}
	for name, x := range map[string]struct {
		tries           int      // attempts before the client leaves
		initialWorkers  []Worker // listed until the last of these attempts
		laterWorkers    []Worker // listed from then on until the client has left
		leaveAfterLast  bool     // it leaves when the last attempt has ended and the module has not received that yet
		leaveDuringLast bool     // it leaves within the last attempt
		try             func(ctx context.Context, a Attempt) Result
	}{
		"before the first attempt":    {tries: 0, initialWorkers: writers},
		"between read and write":      {tries: 1, initialWorkers: all, laterWorkers: []Worker{reader}, try: func(_ context.Context, a Attempt) Result { return full(a) }},
		"waiting to try again":        {tries: 2, initialWorkers: all, laterWorkers: []Worker{reader}, try: func(_ context.Context, a Attempt) Result { return full(a) }},
		"as the write is chosen":      {tries: 1, initialWorkers: all, laterWorkers: all, leaveAfterLast: true, try: func(_ context.Context, a Attempt) Result { return full(a) }},
		"as the second try is chosen": {tries: 2, initialWorkers: all, laterWorkers: all, leaveAfterLast: true, try: func(_ context.Context, a Attempt) Result { return full(a) }},
		"while an attempt is in flight": {tries: 1, initialWorkers: all, laterWorkers: all, leaveDuringLast: true, try: func(ctx context.Context, _ Attempt) Result {
			<-ctx.Done()
			return Result{Status: decide.Cancelled}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for range 50 { // select picks at random between the module's command and the client's departure
				synctest.Test(t, func(t *testing.T) {
					client, leave := context.WithCancel(context.Background())
					tried := make(chan struct{}, 100)
					s := &scriptedTransport{}
					log := slog.DiscardHandler
					if x.leaveAfterLast {
						log = &nthMessageHook{Handler: slog.NewTextHandler(io.Discard, &slog.HandlerOptions{Level: slog.LevelDebug}), message: "attempt", n: x.tries, do: leave}
					}
					c, err := New(long, 1, s, slog.New(log))
					if err != nil {
						t.Fatal(err)
					}
					s.try = func(ctx context.Context, a Attempt) Result {
						if a.Number == x.tries-1 {
							c.SetWorkers(true, x.laterWorkers)
							if x.leaveDuringLast {
								leave()
							}
						}
						tried <- struct{}{}
						return x.try(ctx, a)
					}
					c.SetWorkers(true, x.initialWorkers)
					done := make(chan Answer, 1)
					go func() { done <- c.Serve(client, newRequest(safeClass, time.Hour), s) }()
					if !x.leaveAfterLast && !x.leaveDuringLast {
						for range x.tries {
							<-tried
						}
						leave()
					}
					if a := <-done; a.Verdict != ClientGone {
						t.Fatalf("got verdict %d, want ClientGone", a.Verdict)
					}
					c.SetWorkers(true, all)
					waitSettled(t, c)
					s.mu.Lock()
					if len(s.tries) != x.tries {
						t.Fatalf("%d attempts, %d before the client left", len(s.tries), x.tries)
					}
					if x.tries > 0 && len(s.released) == 0 {
						t.Fatal("the held state was not released")
					}
					s.mu.Unlock()
				})
			}
		})
	}
}

// Wait may be called while requests still come. The requests from before the call have ended when it returns, and it must
// not miss the moment at which none is left.
func TestWaitWhileRequestsCome(t *testing.T) {
	s := &scriptedTransport{try: func(context.Context, Attempt) Result { return Result{Status: decide.Rejected} }}
	c := newTestCore(t, s, "w")
	c.SetWorkers(true, nil)
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			for range 20 {
				c.Serve(t.Context(), newRequest(safeClass, 10*time.Millisecond), s)
			}
		})
		all.Go(func() {
			for range 20 {
				c.Wait(t.Context())
			}
		})
	}
	all.Wait()
	waitSettled(t, c)
}

// A cancelled attempt of a class that must not run twice may take some time, bounded by the settings, to see its worker end
// it; the next attempt must not start before its Try has returned. Other classes don't wait.
func TestCancelledAttemptEndsBeforeTheNextStarts(t *testing.T) {
	const workerEndTime = 7 * time.Millisecond // how long the worker takes to end a cancelled attempt
	for class, settle := range map[int]time.Duration{safeClass: 0, unsafeClass: settings.PinLimit / 2} {
		synctest.Test(t, func(t *testing.T) {
			var ended, told, next time.Time
			s := &scriptedTransport{}
			s.try = func(ctx context.Context, a Attempt) Result {
				if a.CancelGrace != settle {
					t.Errorf("class %d: an attempt may take %v to end, want %v", class, a.CancelGrace, settle)
				}
				if a.Number > 0 {
					next = time.Now()
					return Result{Status: decide.Rejected}
				}
				<-ctx.Done()
				time.Sleep(min(a.CancelGrace, workerEndTime))
				ended = time.Now()
				return Result{Status: decide.Cancelled}
			}
			c := newTestCore(t, s, "w")
			c.SetWorkers(false, []Worker{{Server: decide.Server{ID: "r2", Kind: 0}}})
			c.log = slog.New(&nthMessageHook{Handler: slog.NewTextHandler(io.Discard, nil), message: "attempt", n: 1, do: func() { told = time.Now() }})
			c.Serve(t.Context(), newRequest(class, 5*time.Second), s)
			waitSettled(t, c)
			if told != ended || next.Before(ended) || ended.IsZero() || next.IsZero() {
				t.Errorf("class %d: ended at %v, reported at %v, next attempt at %v", class, ended, told, next)
			}
			time.Sleep(time.Minute) // until the timers of the module have fired
		})
	}
}

// The time for a cancelled attempt to end is bounded by the connect timeout and by half of the limit on held states.
func TestCancelGraceIsBounded(t *testing.T) {
	for _, c := range []struct{ connect, pin, want time.Duration }{
		{100 * time.Millisecond, 300 * time.Millisecond, 100 * time.Millisecond},
		{250 * time.Millisecond, 300 * time.Millisecond, 150 * time.Millisecond},
		{250 * time.Millisecond, 0, 250 * time.Millisecond},
		{0, 0, defaultCancelGrace},
	} {
		set := settings
		set.ConnectTimeout, set.PinLimit = c.connect, c.pin
		req := &activeRequest{settings: &set, Request: decide.Request{Class: unsafeClass}}
		if got := req.cancelGrace(); got != c.want {
			t.Errorf("connect timeout %v, limit on held states %v: %v, want %v", c.connect, c.pin, got, c.want)
		}
	}
}

// An attempt, also a further one, must not give its worker more time than its client still waits.
func TestAttemptsReportTheRemainingTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const whole = 3 * time.Second
		began, attempts := time.Now(), 0
		s := &scriptedTransport{}
		s.try = func(_ context.Context, a Attempt) Result {
			attempts++
			if left := whole - time.Since(began); a.Remaining() > left || a.Remaining() <= 0 {
				t.Errorf("attempt %d tells its worker %v, the client waits %v", a.Number, a.Remaining(), left)
			}
			time.Sleep(400 * time.Millisecond)
			return Result{Status: decide.Reset}
		}
		c := newTestCore(t, s, "w")
		c.SetWorkers(false, []Worker{{Server: decide.Server{ID: "r2", Kind: 0}}, {Server: decide.Server{ID: "r3", Kind: 0}}})
		c.Serve(t.Context(), newRequest(safeClass, whole), s)
		waitSettled(t, c)
		if attempts < 2 {
			t.Errorf("%d attempts, want at least 2", attempts)
		}
		time.Sleep(time.Minute) // until the timers of the module have fired
	})
}

// The first token comes just before, at, or just after the attempt's deadline. The client must get one answer, and no stream
// may stay open unless that answer is the stream.
func TestFirstTokenRacesTheAttemptDeadline(t *testing.T) {
	for _, late := range []time.Duration{-1, 0, 1} {
		synctest.Test(t, func(t *testing.T) {
			var streams []context.Context
			s := &scriptedTransport{}
			s.try = func(ctx context.Context, a Attempt) Result {
				if a.Read {
					return Result{Status: decide.Read}
				}
				time.Sleep(a.Remaining() + late)
				streams = append(streams, ctx)
				return Result{Stream: a.Number}
			}
			c := newTestCore(t, s, "w")
			a := c.Serve(t.Context(), newRequest(unsafeClass, time.Second), s)
			switch {
			case a.Verdict == Streaming && late > 0:
				t.Errorf("%v late: a stream that began after the deadline goes on", late)
			case a.Verdict == Streaming:
				if streams[0].Err() != nil {
					t.Errorf("%v late: the client was given a stream that is cancelled", late)
				}
				a.StreamEnded(decide.Served, nil)
			case late < 0:
				t.Errorf("%v late: got verdict %v, want a stream", late, a.Verdict)
			case a.Verdict == Refused:
				t.Errorf("%v late: refused although the write has run", late)
			}
			waitSettled(t, c)
			for _, ctx := range streams {
				if ctx.Err() == nil {
					t.Errorf("%v late: the context of an attempt never ends", late)
				}
			}
			time.Sleep(time.Minute) // until the timers of the module have fired
		})
	}
}
