package decisions

import (
	"context"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"rowanyard/decide"
	"rowanyard/internal/core"
	"rowanyard/internal/grant"
	"rowanyard/internal/httpfront"
)

// silentProber is a core.Prober whose workers do not answer.
type silentProber struct{}

func (silentProber) Probe(ctx context.Context, _ core.Worker) (decide.Probed, error) {
	<-ctx.Done()
	return decide.Probed{}, ctx.Err()
}

// endTimes is a log that notes when an attempt was logged to have been cancelled.
type endTimes struct {
	mu        sync.Mutex
	cancelled time.Time
}

// Write implements io.Writer.
func (e *endTimes) Write(p []byte) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if strings.Contains(string(p), "status=cancelled") && e.cancelled.IsZero() {
		e.cancelled = time.Now()
	}
	return len(p), nil
}

// delegateWrite has a caller carry a read and take up a write, which it reports as begun after the given time. It returns the
// error of that report, how the request ended, and how long after the grant the write was cancelled.
func delegateWrite(t *testing.T, begunAfter time.Duration) (reported, outcome error, cancelledAfter time.Duration) {
	settings := decide.Settings{RouterCount: 1, ClockStep: 2 * time.Millisecond, MaxAttempts: 4, CanCancel: true, PinLimit: 300 * time.Millisecond,
		Kinds:   []decide.Kind{{Role: decide.Reader, MemoryTokens: 1e5}, {Role: decide.Writer, MemoryTokens: 1e5}},
		Classes: []decide.Class{{TTFTTarget: time.Second, Deadline: 5 * time.Second, Value: 1}}}
	log := &endTimes{}
	c, err := core.New(settings, 1, silentProber{}, slog.New(slog.NewTextHandler(log, nil)))
	if err != nil {
		t.Fatal(err)
	}
	discard := slog.New(slog.NewTextHandler(io.Discard, nil))
	workers := httpfront.NewWorkers(time.Second, time.Second, 8, discard)
	d, err := NewCoordinator(c, workers, grant.Config{DrainGrace: 500 * time.Millisecond, MaxDelivery: 50 * time.Millisecond,
		HoldTimeout: 300 * time.Millisecond, WatchTimeout: 300 * time.Millisecond, EffectRetention: 30 * time.Second, MaxRetryAfter: 500 * time.Millisecond, Tick: 5 * time.Millisecond,
		MaxOpenRequests: 16, MaxCallers: 16, MaxEffects: 16, MaxIDBytes: 64, FeedDepth: 8}, Observer{}, discard)
	if err != nil {
		t.Fatal(err)
	}
	c.SetWorkers(true, []core.Worker{{Server: decide.Server{ID: "r"}}, {Server: decide.Server{ID: "w", Kind: 1}}, {Server: decide.Server{ID: "w2", Kind: 1}}})
	choose := func(attempt int) (grant.Grant, error) {
		g, _, err := d.Choose(t.Context(), ChooseCall{ChooseCall: grant.ChooseCall{Caller: "c", Request: "q", Attempt: attempt}, Called: time.Now(),
			Query: decide.Request{TimeLeft: 5 * time.Second, PromptLength: 100, MaxOutput: 10, DurationHint: time.Millisecond}, Exchange: &httpfront.Exchange{Workers: workers}, Attached: true})
		return g, err
	}
	read, err := choose(0)
	if err != nil {
		t.Fatal(err)
	}
	if err := d.Report("c", read.ID, grant.Read, core.Result{Status: decide.Read}, false); err != nil {
		t.Fatal(err)
	}
	write, err := choose(1)
	if err != nil {
		t.Fatal(err)
	}
	granted, ended := time.Now(), d.Outcome("q")
	time.Sleep(begunAfter)
	if reported = d.Report("c", write.ID, grant.Begun, core.Result{}, false); reported != nil {
		d.CallerLeft("q")
	}
	time.Sleep(10 * time.Second)
	select {
	case outcome = <-ended:
	default:
		t.Error("the request has not ended")
	}
	time.Sleep(2 * time.Minute) // until all timers have fired
	log.mu.Lock()
	defer log.mu.Unlock()
	return reported, outcome, log.cancelled.Sub(granted)
}

// A caller reports that its stream has begun as the core cancels the attempt. Both take it for the answer, or neither does.
func TestReportOfBegunStreamCrossesCancellation(t *testing.T) {
	var cancelledAfter time.Duration
	synctest.Test(t, func(t *testing.T) {
		_, _, cancelledAfter = delegateWrite(t, 3*time.Second)
	})
	if cancelledAfter <= 0 {
		t.Fatal("the write was not cancelled")
	}
	for _, after := range []time.Duration{-time.Microsecond, 0, time.Microsecond} {
		for range 50 {
			synctest.Test(t, func(t *testing.T) {
				reported, outcome, _ := delegateWrite(t, cancelledAfter+after)
				if (reported == nil) != (outcome == nil) || after < 0 && reported != nil || after > 0 && reported == nil {
					t.Errorf("reported %v after the cancellation: %v; the request ended with %v", after, reported, outcome)
				}
			})
		}
	}
}
