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
)

// scripted is a Carrier of which each test says what its attempts come to.
type scripted struct {
	try      func(ctx context.Context, a Attempt) Result
	mu       sync.Mutex
	tries    []Attempt
	released []string
	refuse   map[string]bool // workers that take no release
	mute     map[string]bool // workers that can't be reached
}

func (s *scripted) Try(ctx context.Context, a Attempt) Result {
	s.mu.Lock()
	s.tries = append(s.tries, a)
	s.mu.Unlock()
	return s.try(ctx, a)
}

func (s *scripted) Release(ctx context.Context, at Worker) error {
	if s.mute[at.ID] {
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

func (s *scripted) Probe(context.Context, Worker) (decide.Probed, error) {
	return decide.Probed{Queue: -1, Tokens: -1}, nil
}

var settings = decide.Settings{Fronts: 1, Tick: 2 * time.Millisecond, MaxAttempts: 4, CanCancel: true, PinLimit: 300 * time.Millisecond,
	Kinds: []decide.Kind{{Role: decide.Reader, MemoryTokens: 1e5}, {Role: decide.Writer, MemoryTokens: 1e5}},
	Classes: []decide.Class{
		{Aim: time.Second, Deadline: 5 * time.Second, Worth: 1, Effect: decide.Safe},
		{Aim: time.Second, Deadline: 5 * time.Second, Worth: 2, Effect: decide.Unsafe}}}

const (
	draft = iota
	message
)

func started(t *testing.T, s *scripted, writers ...string) *Core {
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

func settled(t *testing.T, c *Core) {
	t.Helper()
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	c.Wait(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	if ctx.Err() != nil || len(c.lives) > 0 {
		t.Fatalf("%d requests never end", len(c.lives))
	}
}

func ask(class int, left time.Duration) decide.Request {
	return decide.Request{Class: class, TimeLeft: left, Session: 5, Prompt: 100, MaxOutput: 10}
}

func TestTwoStagesToTheStreamsEnd(t *testing.T) {
	s := &scripted{try: func(_ context.Context, a Attempt) Result {
		if a.Read {
			return Result{Status: decide.Read}
		}
		return Result{Stream: "tokens"}
	}}
	c := started(t, s, "w")
	a := c.Serve(context.Background(), ask(message, time.Second), s)
	if a.Verdict != Streaming || a.Stream != "tokens" || a.Worker.ID != "w" {
		t.Fatalf("%+v", a)
	}
	a.Ended(decide.Served)
	a.Ended(decide.Reset) // only the first counts
	settled(t, c)
	if len(s.released) > 0 {
		t.Error("a state that the writer fetched was released")
	}
}

// What a read leaves must be released though its fate is unknown and its request has ended, by
// another worker if the reader does not answer.
func TestUnknownReadIsReleasedAfterTheEnd(t *testing.T) {
	for name, end := range map[string]decide.Status{"called off": decide.Cancelled, "reset": decide.Reset} {
		s := &scripted{refuse: map[string]bool{"r": true}}
		inside := make(chan struct{}, 4)
		s.try = func(ctx context.Context, a Attempt) Result {
			inside <- struct{}{}
			if end == decide.Cancelled {
				<-ctx.Done()
			}
			return Result{Status: end}
		}
		c := started(t, s, "w")
		client, leave := context.WithCancel(context.Background())
		go func() { <-inside; leave() }()
		if a := c.Serve(client, ask(message, 200*time.Millisecond), s); a.Verdict == Streaming || a.Verdict == Failed {
			t.Errorf("%s: verdict %d", name, a.Verdict)
		}
		leave()
		settled(t, c)
		if n := len(s.released); n < 2 || s.released[0] != "r" || s.released[1] != "w" {
			t.Errorf("%s: released at %v", name, s.released)
		}
	}
}

// A read that ends well right after its request was called off still leaves a state.
func TestLateReadIsReleased(t *testing.T) {
	s := &scripted{}
	client, leave := context.WithCancel(context.Background())
	s.try = func(ctx context.Context, a Attempt) Result {
		leave()
		<-ctx.Done()
		return Result{Status: decide.Read}
	}
	c := started(t, s, "w")
	if a := c.Serve(client, ask(draft, time.Second), s); a.Verdict != Gone {
		t.Errorf("verdict %d", a.Verdict)
	}
	settled(t, c)
	if len(s.released) == 0 {
		t.Error("not released")
	}
}

// A write that may have run must not be sent again, nor may its client be told to come back.
func TestUnsafeWriteIsNeverSentTwice(t *testing.T) {
	for _, end := range []decide.Status{decide.Reset, decide.Errored, decide.TimedOut} {
		s := &scripted{try: func(_ context.Context, a Attempt) Result {
			if a.Read {
				return Result{Status: decide.Read}
			}
			return Result{Status: end}
		}}
		c := started(t, s, "w1", "w2", "w3")
		if a := c.Serve(context.Background(), ask(message, time.Second), s); a.Verdict != Failed || len(s.tries) != 2 {
			t.Errorf("status %d: verdict %d after %d attempts", end, a.Verdict, len(s.tries))
		}
		settled(t, c)
	}
}

// A worker that begins to drain between the choice and the dial gets nothing.
func TestDrainAfterTheChoiceIsObeyed(t *testing.T) {
	s := &scripted{}
	var c *Core
	s.try = func(_ context.Context, a Attempt) Result {
		if a.Read {
			return Result{Status: decide.Read}
		}
		if a.To.ID == "w1" {
			c.SetWorkers(false, []Worker{{Server: decide.Server{ID: "w1", Kind: 1, State: decide.Draining}},
				{Server: decide.Server{ID: "w2", Kind: 1}}})
			if a.Allowed() {
				t.Error("still allowed")
			}
			return Result{Status: decide.Moot}
		}
		return Result{Stream: a.To.ID}
	}
	c = started(t, s, "w1")
	a := c.Serve(context.Background(), ask(draft, time.Second), s)
	if a.Verdict != Streaming || a.Stream != "w2" {
		t.Fatalf("%+v", a)
	}
	a.Ended(decide.Served)
	settled(t, c)
}

func TestStreamEndsWithItsClient(t *testing.T) {
	closed := make(chan struct{})
	s := &scripted{try: func(ctx context.Context, a Attempt) Result {
		if a.Read {
			return Result{Status: decide.Read}
		}
		context.AfterFunc(ctx, func() { close(closed) })
		return Result{Stream: 1}
	}}
	c := started(t, s, "w")
	var lines bytes.Buffer
	c.log = slog.New(slog.NewTextHandler(&lines, nil))
	client, leave := context.WithCancel(context.Background())
	a := c.Serve(client, ask(message, time.Second), s)
	leave()
	<-closed
	a.Ended(decide.Reset) // what a front sees when the stream is closed under it
	settled(t, c)
	if !strings.Contains(lines.String(), "status=cancelled") {
		t.Errorf("a client that leaves is held against the worker: %s", lines.String())
	}
}

// A carrier or a module that panics costs one request, answered once, not the router.
func TestPanicsFailTheRequest(t *testing.T) {
	s := &scripted{try: func(context.Context, Attempt) Result { panic("carrier") }}
	c := started(t, s, "w")
	if a := c.Serve(context.Background(), ask(draft, 100*time.Millisecond), s); a.Verdict != Refused && a.Verdict != Failed {
		t.Errorf("verdict %d", a.Verdict)
	}
	c.router = nil
	if a := c.Serve(context.Background(), ask(draft, 20*time.Millisecond), s); a.Verdict != Failed {
		t.Errorf("module: verdict %d", a.Verdict)
	}
	settled(t, c)
}

// The answer is out once the module has given up, not at the deadline.
func TestGivenUpIsAnsweredAtOnce(t *testing.T) {
	s := &scripted{try: func(context.Context, Attempt) Result { return Result{Status: decide.Full, Err: io.EOF} }}
	c := started(t, s, "w")
	c.SetWorkers(true, nil)
	began := time.Now()
	a := c.Serve(context.Background(), ask(draft, time.Hour), s)
	if a.Verdict != Refused || time.Since(began) > time.Minute {
		t.Errorf("verdict %d after %v", a.Verdict, time.Since(began))
	}
}

// What discovery says of a removed worker may be its name alone, and it is forgotten at once: on a day on
// which workers come and go under new ids, what is kept of the old ones would grow for good.
func TestRemovedWorkers(t *testing.T) {
	s := &scripted{}
	c := started(t, s, "w1", "w2")
	gone := []Worker{{Server: decide.Server{ID: "w1", Kind: -1, State: decide.Gone}}}
	c.SetWorkers(false, gone)
	if _, kept := c.workers["w1"]; kept || c.Wanted("w1") || !c.Wanted("w2") || c.Wanted("never listed") {
		t.Errorf("%+v", c.workers)
	}
	c.SetWorkers(false, gone)
	c.SetWorkers(true, nil)
	if len(c.workers) > 0 {
		t.Errorf("%+v", c.workers)
	}
}

// An id that is open can't be taken twice, and again once it is free.
func TestClaim(t *testing.T) {
	c := started(t, &scripted{})
	free, ok := c.Claim("a")
	if _, twice := c.Claim("a"); !ok || twice {
		t.Errorf("%v, then %v", ok, twice)
	}
	free()
	if _, ok := c.Claim("a"); !ok {
		t.Error("never free again")
	}
}

// While a zone is cut off most workers can't be reached, the reader that holds a state among them. Those that
// have answered lately, then those of the router's own zone, must be asked to let it go before others, and
// each while the ones before it may still answer: else the limit passes before anyone has been reached.
func TestReleaseReachesAWorkerWhileOthersAreCutOff(t *testing.T) {
	for _, heard := range []bool{true, false} {
		s := &scripted{mute: map[string]bool{"r": true}}
		c := started(t, s)
		all := []Worker{{Server: decide.Server{ID: "near", Kind: 1}}}
		for i := range 99 {
			w := Worker{Server: decide.Server{ID: fmt.Sprint("far", i), Kind: 1, Zone: 1}}
			s.mute[w.ID] = true
			all = append(all, w)
		}
		want := "near"
		if heard {
			want = "far7"
			delete(s.mute, want)
		}
		c.SetWorkers(false, all)
		c.hears("far7", heard)
		c.running.Begin()
		c.release(&life{core: c, via: s}, Worker{Server: decide.Server{ID: "r"}}, false, func() bool { return true })
		if !slices.Equal(s.released, []string{want}) {
			t.Errorf("taken by %v, want %s", s.released, want)
		}
	}
}

// nth does something when a message is logged for the nth time.
type nth struct {
	slog.Handler
	message string
	n       int
	do      func()
}

func (h *nth) Handle(_ context.Context, r slog.Record) error {
	if r.Message == h.message {
		if h.n--; h.n == 0 {
			h.do()
		}
	}
	return nil
}

// A client may go in any state of its request, also in the very instant in which the next attempt is chosen: none begins
// after that, and what is held is let go.
func TestNothingIsBegunForAClientThatHasGone(t *testing.T) {
	reader := Worker{Server: decide.Server{ID: "r", Kind: 0}}
	writers := []Worker{{Server: decide.Server{ID: "w1", Kind: 1}}, {Server: decide.Server{ID: "w2", Kind: 1}}}
	all := append([]Worker{reader}, writers...)
	long := settings
	long.PinLimit, long.MaxAttempts = 0, 0
	long.Classes = []decide.Class{{Aim: time.Hour, Deadline: 2 * time.Hour, Worth: 1}}
	full := func(a Attempt) Result {
		if a.Read {
			return Result{Status: decide.Read}
		}
		return Result{Status: decide.Full}
	}
	for name, x := range map[string]struct {
		tries int      // before the client goes
		first []Worker // listed before the last of them, and from then on, until it has gone
		then  []Worker
		goes  bool // when the last of them has ended and the module has not been told yet
		out   bool // within the last of them
		try   func(ctx context.Context, a Attempt) Result
	}{
		"before the first attempt":         {tries: 0, first: writers},
		"between read and write":           {tries: 1, first: all, then: []Worker{reader}, try: func(_ context.Context, a Attempt) Result { return full(a) }},
		"waiting to try again":             {tries: 2, first: all, then: []Worker{reader}, try: func(_ context.Context, a Attempt) Result { return full(a) }},
		"in the instant of the write":      {tries: 1, first: all, then: all, goes: true, try: func(_ context.Context, a Attempt) Result { return full(a) }},
		"in the instant of the second try": {tries: 2, first: all, then: all, goes: true, try: func(_ context.Context, a Attempt) Result { return full(a) }},
		"while an attempt is out": {tries: 1, first: all, then: all, out: true, try: func(ctx context.Context, _ Attempt) Result {
			<-ctx.Done()
			return Result{Status: decide.Cancelled}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for range 50 { // a choice and the client's leaving come to one select in any order
				client, leave := context.WithCancel(context.Background())
				tried := make(chan struct{}, 100)
				s := &scripted{}
				log := slog.DiscardHandler
				if x.goes {
					log = &nth{Handler: slog.NewTextHandler(io.Discard, &slog.HandlerOptions{Level: slog.LevelDebug}), message: "attempt", n: x.tries, do: leave}
				}
				c, err := New(long, 1, s, slog.New(log))
				if err != nil {
					t.Fatal(err)
				}
				s.try = func(ctx context.Context, a Attempt) Result {
					if a.Number == x.tries-1 {
						c.SetWorkers(true, x.then)
						if x.out {
							leave()
						}
					}
					tried <- struct{}{}
					return x.try(ctx, a)
				}
				c.SetWorkers(true, x.first)
				done := make(chan Answer, 1)
				go func() { done <- c.Serve(client, ask(draft, time.Hour), s) }()
				if !x.goes && !x.out {
					for range x.tries {
						<-tried
					}
					leave()
				}
				if a := <-done; a.Verdict != Gone {
					t.Fatalf("verdict %d", a.Verdict)
				}
				c.SetWorkers(true, all)
				settled(t, c)
				s.mu.Lock()
				if len(s.tries) != x.tries {
					t.Fatalf("%d attempts, %d before the client went", len(s.tries), x.tries)
				}
				if x.tries > 0 && len(s.released) == 0 {
					t.Fatal("what is held was not let go")
				}
				s.mu.Unlock()
			}
		})
	}
}

// Wait may be called while requests still come: what came before it has ended when it returns, and it never misses the end.
func TestWaitWhileRequestsCome(t *testing.T) {
	s := &scripted{try: func(context.Context, Attempt) Result { return Result{Status: decide.Full} }}
	c := started(t, s, "w")
	c.SetWorkers(true, nil)
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			for range 20 {
				c.Serve(t.Context(), ask(draft, 10*time.Millisecond), s)
			}
		})
		all.Go(func() {
			for range 20 {
				c.Wait(t.Context())
			}
		})
	}
	all.Wait()
	settled(t, c)
}

// A called-off attempt of a class that must not run twice may take until its worker was seen to have ended it, within the
// limits of the settings; nothing follows it before its Try has returned. Others lose no time.
func TestACalledOffAttemptIsOverBeforeTheNext(t *testing.T) {
	const seen = 7 * time.Millisecond // so long the worker takes to end it
	for class, settle := range map[int]time.Duration{draft: 0, message: settings.PinLimit / 2} {
		synctest.Test(t, func(t *testing.T) {
			var ended, told, next time.Time
			s := &scripted{}
			s.try = func(ctx context.Context, a Attempt) Result {
				if a.Settle != settle {
					t.Errorf("class %d: an attempt may take %v to end, want %v", class, a.Settle, settle)
				}
				if a.Number > 0 {
					next = time.Now()
					return Result{Status: decide.Full}
				}
				<-ctx.Done()
				time.Sleep(min(a.Settle, seen))
				ended = time.Now()
				return Result{Status: decide.Cancelled}
			}
			c := started(t, s, "w")
			c.SetWorkers(false, []Worker{{Server: decide.Server{ID: "r2", Kind: 0}}})
			c.log = slog.New(&nth{Handler: slog.NewTextHandler(io.Discard, nil), message: "attempt", n: 1, do: func() { told = time.Now() }})
			c.Serve(t.Context(), ask(class, 5*time.Second), s)
			settled(t, c)
			if told != ended || next.Before(ended) || ended.IsZero() || next.IsZero() {
				t.Errorf("class %d: ended %v, told %v, the next began %v", class, ended, told, next)
			}
			time.Sleep(time.Minute) // timers of the module
		})
	}
}

// The time to end is bounded by the connect timeout and by what is left of the limit on held states.
func TestTheTimeToEndAnAttemptIsBounded(t *testing.T) {
	for _, c := range []struct{ connect, pin, want time.Duration }{
		{100 * time.Millisecond, 300 * time.Millisecond, 100 * time.Millisecond},
		{250 * time.Millisecond, 300 * time.Millisecond, 150 * time.Millisecond},
		{250 * time.Millisecond, 0, 250 * time.Millisecond},
		{0, 0, settleMost},
	} {
		set := settings
		set.ConnectTimeout, set.PinLimit = c.connect, c.pin
		l := &life{settings: &set, Request: decide.Request{Class: message}}
		if got := l.settle(); got != c.want {
			t.Errorf("connect timeout %v, limit on held states %v: %v, want %v", c.connect, c.pin, got, c.want)
		}
	}
}

// What an attempt tells its worker is no more than what is left to the client then, for the further ones too.
func TestEachAttemptTellsWhatIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const whole = 3 * time.Second
		began, told := time.Now(), 0
		s := &scripted{}
		s.try = func(_ context.Context, a Attempt) Result {
			told++
			if left := whole - time.Since(began); a.Remaining() > left || a.Remaining() <= 0 {
				t.Errorf("attempt %d tells %v where %v is left", a.Number, a.Remaining(), left)
			}
			time.Sleep(400 * time.Millisecond)
			return Result{Status: decide.Reset}
		}
		c := started(t, s, "w")
		c.SetWorkers(false, []Worker{{Server: decide.Server{ID: "r2", Kind: 0}}, {Server: decide.Server{ID: "r3", Kind: 0}}})
		c.Serve(t.Context(), ask(draft, whole), s)
		settled(t, c)
		if told < 2 {
			t.Errorf("%d attempts", told)
		}
		time.Sleep(time.Minute) // timers of the module
	})
}

// The first token and the end of the attempt's time cross, in each order and in one instant: the client has one answer, and
// where it is no stream none goes on.
func TestAFirstTokenCrossesTheEndOfItsTime(t *testing.T) {
	for _, late := range []time.Duration{-1, 0, 1} {
		synctest.Test(t, func(t *testing.T) {
			var streams []context.Context
			s := &scripted{}
			s.try = func(ctx context.Context, a Attempt) Result {
				if a.Read {
					return Result{Status: decide.Read}
				}
				time.Sleep(a.Remaining() + late)
				streams = append(streams, ctx)
				return Result{Stream: a.Number}
			}
			c := started(t, s, "w")
			a := c.Serve(t.Context(), ask(message, time.Second), s)
			switch {
			case a.Verdict == Streaming && late > 0:
				t.Errorf("%v late: a stream whose time was up goes on", late)
			case a.Verdict == Streaming:
				if streams[0].Err() != nil {
					t.Errorf("%v late: a stream that was cut goes on", late)
				}
				a.Ended(decide.Served)
			case late < 0:
				t.Errorf("%v late: verdict %v", late, a.Verdict)
			case a.Verdict == Refused:
				t.Errorf("%v late: refused though it has run", late)
			}
			settled(t, c)
			for _, ctx := range streams {
				if ctx.Err() == nil {
					t.Errorf("%v late: an attempt is out for ever", late)
				}
			}
			time.Sleep(time.Minute) // timers of the module
		})
	}
}
