package decide

import (
	"fmt"
	"testing"
	"time"
)

// runTimers fires the timers of a request in order up to the given time.
func (rec *recorder) runTimers(r *Router, id RequestID, until time.Duration) {
	for {
		next := until + 1
		for _, at := range rec.timers[uint64(id)] {
			if at > r.now && at < next {
				next = at
			}
		}
		if next > until {
			r.now = until
			return
		}
		r.Timer(next, uint64(id))
	}
}

// requestWithHeldState returns a Router with one request, 1, whose class has the given effect. Its state has been held
// since 100 ms with a pin limit of 300 ms, and its write is in flight. The change, if any, is made before the Router
// starts.
func requestWithHeldState(t *testing.T, effect Effect, change func(cfg *Settings, q *Request)) (*Router, *recorder) {
	t.Helper()
	cfg, q := testSettings(), testRequest(1)
	cfg.CanProbe, cfg.PinLimit, cfg.Classes[0].Effect = true, 300*ms, effect
	if change != nil {
		change(&cfg, &q)
	}
	r, rec := newTestRouter(t, cfg, testServers())
	r.now = ms
	for _, s := range r.listed {
		s.wait.add(0.01, r.now) // no probe before the read
	}
	r.Request(ms, q)
	r.Outcome(100*ms, Outcome{ID: 1, Server: rec.lastServer(), Status: Read, Elapsed: 99 * ms, CachedTokens: 3000})
	if len(rec.sends) != 2 {
		t.Fatalf("write not sent: %v", rec.calls)
	}
	return r, rec
}

// A write without a sign of life may not have arrived. Its state must be released at the pin limit, exactly once,
// whatever the effect of the class.
func TestStateIsReleasedAtPinLimitWithoutSignOfWrite(t *testing.T) {
	for _, effect := range []Effect{Safe, Keyed, Unsafe} {
		r, rec := requestWithHeldState(t, effect, func(cfg *Settings, _ *Request) { cfg.CanCancel = false })
		rec.runTimers(r, 1, 399*ms)
		if rec.called("release 1") {
			t.Errorf("effect %d: released too early: %v", effect, rec.calls)
		}
		if rec.runTimers(r, 1, 400*ms); rec.countCalls("release 1") != 1 {
			t.Errorf("effect %d: not released at the pin limit: %v", effect, rec.calls)
		}
		if rec.runTimers(r, 1, 2*time.Second); rec.countCalls("release 1") != 1 {
			t.Errorf("effect %d: released again: %v", effect, rec.calls)
		}
	}
}

// A write that has its first token has fetched the state: nothing is released and no server is probed.
func TestStartedWriteKeepsState(t *testing.T) {
	r, rec := requestWithHeldState(t, Safe, nil)
	r.Started(150*ms, Started{ID: 1, Attempt: 1, Server: rec.lastServer(), Elapsed: 50 * ms})
	if rec.runTimers(r, 1, time.Second); rec.called("release 1") || rec.countCalls("probe w") > 0 {
		t.Errorf("%v", rec.calls)
	}
}

// A leased state is released by the transport, not by the Router.
func TestLeasedStateIsNotReleased(t *testing.T) {
	r, rec := requestWithHeldState(t, Safe, func(_ *Settings, q *Request) { q.Leased = true })
	if rec.runTimers(r, 1, 450*ms); rec.called("release 1") || rec.countCalls("probe w") > 0 {
		t.Errorf("%v", rec.calls)
	}
}

// A writer that leaves a probe unanswered is silent. A repeatable request goes to another writer while its state can
// still be taken, an unsafe one waits, and in both cases the writer is no longer trusted.
func TestSilentWriterIsDetectedWithinPinLimit(t *testing.T) {
	for effect, repeated := range map[Effect]bool{Safe: true, Keyed: true, Unsafe: false} {
		r, rec := requestWithHeldState(t, effect, nil)
		silent := rec.lastServer()
		rec.runTimers(r, 1, 300*ms)
		if !rec.called("probe " + silent) {
			t.Errorf("effect %d: writer not probed: %v", effect, rec.calls)
		}
		if rec.called("cancel 1 1") != repeated {
			t.Errorf("effect %d: cancelled = %v: %v", effect, rec.called("cancel 1 1"), rec.calls)
		}
		if repeated {
			r.Outcome(r.now, Outcome{ID: 1, Attempt: 1, Server: silent, Status: Cancelled, Elapsed: 200 * ms})
			if len(rec.sends) != 3 || rec.lastServer()[0] != 'w' || rec.lastServer() == silent {
				t.Errorf("effect %d: no second writer: %v", effect, rec.calls)
			}
		}
		if r.trusted(r.servers[silent]) {
			t.Errorf("effect %d: the silent writer is trusted", effect)
		}
		if rec.runTimers(r, 1, 400*ms); !rec.called("release 1") { // the second write does not restart the pin limit
			t.Errorf("effect %d: not released at the pin limit: %v", effect, rec.calls)
		}
	}
}

// A writer that answers its probe is busy and keeps its write. If the write fails later, the state is known to be held
// still and goes to another writer.
func TestBusyWriterKeepsWrite(t *testing.T) {
	r, rec := requestWithHeldState(t, Safe, nil)
	busy := rec.lastServer()
	rec.runTimers(r, 1, 100*ms+writeCheckDelay)
	r.Probed(r.now, Probed{Server: busy, QueuedRequests: -1, QueuedTokens: -1})
	if rec.runTimers(r, 1, 390*ms); rec.called("cancel 1 1") {
		t.Fatalf("cancelled: %v", rec.calls)
	}
	rec.runTimers(r, 1, 420*ms)
	r.Outcome(430*ms, Outcome{ID: 1, Attempt: 1, Server: busy, Status: Reset, Elapsed: 330 * ms})
	if len(rec.sends) != 3 || rec.lastServer()[0] != 'w' {
		t.Errorf("no second write: %v", rec.calls)
	}
	if rec.runTimers(r, 1, 730*ms); rec.countCalls("release 1") != 2 {
		t.Errorf("the pin limit does not restart at the end of a write that had arrived: %v", rec.calls)
	}
}

// A write that ends between the limit and its slack, without an answer, may not have arrived: its state is released at once,
// and the prompt is read again.
func TestStateIsReleasedWhenUnansweredWriteEndsPastLimit(t *testing.T) {
	for _, status := range []Status{Reset, TimedOut, Cancelled} {
		r, rec := requestWithHeldState(t, Safe, func(cfg *Settings, _ *Request) { cfg.PinSlack = 200 * ms })
		busy := rec.lastServer()
		rec.runTimers(r, 1, 100*ms+writeCheckDelay)
		r.Probed(r.now, Probed{Server: busy, QueuedRequests: -1, QueuedTokens: -1})
		if rec.runTimers(r, 1, 420*ms); rec.called("cancel 1 1") || rec.called("release 1") {
			t.Fatalf("cancelled or released: %v", rec.calls)
		}
		r.Outcome(430*ms, Outcome{ID: 1, Attempt: 1, Server: busy, Status: status, Elapsed: 330 * ms})
		if rec.countCalls("release 1") != 1 {
			t.Errorf("status %d: not released: %v", status, rec.calls)
		}
		rec.runTimers(r, 1, 450*ms) // for the answers of readers that are probed
		if len(rec.sends) != 3 || rec.lastServer()[0] != 'r' {
			t.Errorf("status %d: the prompt is not read again: %v", status, rec.calls)
		}
	}
}

// An answer shows that the write had arrived: the pin limit starts anew, and the state goes to another writer.
func TestAnswerToWriteRestartsPinLimit(t *testing.T) {
	for _, status := range []Status{Rejected, Errored} {
		r, rec := requestWithHeldState(t, Safe, func(cfg *Settings, _ *Request) { cfg.PinSlack = 200 * ms })
		busy := rec.lastServer()
		rec.runTimers(r, 1, 100*ms+writeCheckDelay)
		r.Probed(r.now, Probed{Server: busy, QueuedRequests: -1, QueuedTokens: -1})
		rec.runTimers(r, 1, 420*ms)
		r.Outcome(430*ms, Outcome{ID: 1, Attempt: 1, Server: busy, Status: status, Elapsed: 330 * ms})
		if len(rec.sends) != 3 || rec.lastServer()[0] != 'w' {
			t.Errorf("status %d: no second write: %v", status, rec.calls)
		}
		if rec.runTimers(r, 1, 729*ms); rec.called("release 1") {
			t.Errorf("status %d: the pin limit does not restart: %v", status, rec.calls)
		}
		if rec.runTimers(r, 1, 730*ms); rec.countCalls("release 1") != 1 {
			t.Errorf("status %d: not released at the new limit: %v", status, rec.calls)
		}
	}
}

// With PinSlack, a state is held that much longer if its writer has responded to anything since the write, and only
// then.
func TestProbableArrivalExtendsPinLimitBySlack(t *testing.T) {
	for _, heard := range []bool{true, false} {
		r, rec := requestWithHeldState(t, Unsafe, func(cfg *Settings, _ *Request) { cfg.PinSlack = 200 * ms })
		rec.runTimers(r, 1, 100*ms+writeCheckDelay)
		if heard {
			r.Probed(r.now, Probed{Server: rec.lastServer(), QueuedRequests: -1, QueuedTokens: -1})
		}
		if rec.runTimers(r, 1, 599*ms); rec.called("release 1") == heard {
			t.Errorf("heard %v: %v", heard, rec.calls)
		}
		if rec.runTimers(r, 1, 600*ms); rec.countCalls("release 1") != 1 {
			t.Errorf("heard %v: not released: %v", heard, rec.calls)
		}
	}
}

// No answer to a probe shows that a write has arrived, however often and however late its server answers: the state is
// released within the limit and the slack, for each effect.
func TestAnswersToProbesDoNotKeepState(t *testing.T) {
	const slack = 200 * ms
	for _, effect := range []Effect{Safe, Keyed, Unsafe} {
		for _, firstAnswer := range []time.Duration{10 * ms, writeCheckDelay, 290 * ms, 480 * ms} {
			r, rec := requestWithHeldState(t, effect, func(cfg *Settings, _ *Request) { cfg.PinSlack, cfg.CanCancel = slack, false })
			writer := rec.lastServer()
			for at := 100*ms + firstAnswer; at < 100*ms+300*ms+slack; at += 10 * ms {
				rec.runTimers(r, 1, at)
				r.Probed(at, Probed{Server: writer, QueuedRequests: 3, QueuedTokens: -1})
			}
			rec.runTimers(r, 1, 100*ms+300*ms+slack)
			if rec.countCalls("release 1") != 1 {
				t.Errorf("effect %d, answers from %v after the write on: released %d times by the end of the slack, want 1", effect, firstAnswer, rec.countCalls("release 1"))
			}
		}
	}
}

// After a release without a sign of its writer, the prompt is read again, provided that the attempts suffice for a
// write.
func TestReleasedStateIsReadAgain(t *testing.T) {
	for maxAttempts, want := range map[int]string{0: "r", 4: "r", 3: "end"} {
		r, rec := requestWithHeldState(t, Safe, func(cfg *Settings, _ *Request) { cfg.MaxAttempts, cfg.CanCancel = maxAttempts, false })
		rec.runTimers(r, 1, 450*ms)
		r.Outcome(460*ms, Outcome{ID: 1, Attempt: 1, Server: rec.lastServer(), Status: Reset, Elapsed: 360 * ms})
		got := "end"
		if len(rec.sends) == 3 {
			got = rec.lastServer()[:1]
		}
		if got != want || want == "end" && rec.countCalls("refuse 1")+rec.countCalls("fail 1") != 1 {
			t.Errorf("%s attempts at most: %s, want %s: %v", fmt.Sprint(maxAttempts), got, want, rec.calls)
		}
	}
}
