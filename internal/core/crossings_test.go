package core

// Crossings of the ends of attempts, streams and answers, on a virtual clock: one message comes just before, at, or just after
// another, and the request's goroutine, which is late, takes them in a seeded order.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"rowanyard/decide"
)

const (
	crossingSeeds  = 30
	maxLateness    = 150 * time.Millisecond // by which a request's goroutine is late
	crossingAt     = 60 * time.Millisecond  // after the attempt that is crossed was sent
	timedRequest   = 100 * time.Millisecond // what a request has whose time crosses its answer
	untimedRequest = 5 * time.Second        // what other requests have
	crossingStep   = time.Microsecond       // by which one message comes before the other
	streamTime     = time.Second            // of an answer's stream
)

// lateInSeededOrder returns an order in which messages are taken: once an attempt is out whose answer is crossed, the goroutine is late,
// and a random one of those that have come meanwhile is first.
func (x *crossing) lateInSeededOrder(seed uint64) func(inputs) inputs {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 1))
	return func(all inputs) inputs {
		mu.Lock()
		late, first := time.Duration(random.Int64N(int64(maxLateness))), random.IntN(3)
		mu.Unlock()
		time.Sleep(crossingStep) // an attempt that was just sent begins
		if x.crossed() >= 0 {
			time.Sleep(late)
		}
		for n := range 3 {
			switch (first + n) % 3 {
			case 0:
				if len(all.commands) > 0 {
					return inputs{commands: all.commands}
				}
			case 1:
				if len(all.events) > 0 {
					return inputs{events: all.events}
				}
			case 2:
				if len(all.streamEnd) > 0 {
					return inputs{streamEnd: all.streamEnd}
				}
			}
		}
		return all
	}
}

// crossing is a run in which something crosses an attempt's answer.
type crossing struct {
	core         *Core
	id           decide.RequestID
	leave        context.CancelFunc // of the client
	crossesReads bool               // the first read is crossed, not the first write

	mu       sync.Mutex
	attempt  int                     // whose answer is crossed, negative: not sent yet
	began    bool                    // its answer has begun
	contexts map[int]context.Context // of the attempts, by number
}

// begin records that an attempt was sent. It reports whether that is the one that is crossed.
func (x *crossing) begin(ctx context.Context, a Attempt) (first bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.contexts == nil {
		x.contexts = make(map[int]context.Context)
	}
	x.contexts[a.Number] = ctx
	if first = (!a.Read || x.crossesReads) && x.attempt < 0; first {
		x.attempt = a.Number
	}
	return first
}

// end returns what has become of the attempts.
func (x *crossing) end() (attempt int, began bool, contexts map[int]context.Context) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.attempt, x.began, x.contexts
}

// crossedBy holds what may cross an attempt's answer, by name.
var crossedBy = map[string]func(x *crossing){
	"a cancellation": func(x *crossing) { x.locked(func(e *executor) { e.Cancel(x.id, x.crossed()) }) },
	"a refusal":      func(x *crossing) { x.locked(func(e *executor) { e.Refuse(x.id, 0) }) },
	"a failure":      func(x *crossing) { x.locked(func(e *executor) { e.Fail(x.id) }) },
	"a leave":        func(x *crossing) { x.leave() },
	"a shutdown":     func(x *crossing) { x.core.Shutdown() },
	"a cancellation and a failure": func(x *crossing) {
		x.locked(func(e *executor) { e.Cancel(x.id, x.crossed()); e.Fail(x.id) })
	},
	"the attempt's time": nil,
	"the request's time": nil,
}

func (x *crossing) locked(do func(*executor)) {
	x.core.mu.Lock()
	defer x.core.mu.Unlock()
	do((*executor)(x.core))
}

// serve has a late core serve the run's request, and returns its answer and its client.
func (x *crossing) serve(t *testing.T, w way, left time.Duration, s *stateWorkers) (Answer, context.Context) {
	x.core = newStateCore(t, s)
	x.core.order = x.lateInSeededOrder(w.seed)
	client, leave := context.WithCancel(t.Context())
	t.Cleanup(leave)
	x.leave, x.id = leave, 1
	return x.core.Serve(client, newRequest(w.class, left), s), client
}

// crossed returns the number of the attempt whose answer is crossed.
func (x *crossing) crossed() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.attempt
}

// endsForGood reports whether a request whose answer has begun may be ended all the same: nobody is there, or the process ends.
func endsForGood(cause string) bool { return cause == "a leave" || cause == "a shutdown" }

// way is one way in which a cause crosses an attempt's answer.
type way struct {
	cause string
	cross func(*crossing) // nil: time
	class int
	after time.Duration // the answer, negative: before it
	seed  uint64
}

// String returns the way for messages of failed tests.
func (w way) String() string {
	return fmt.Sprintf("%s, %v after the answer, class %d, seed %d", w.cause, w.after, w.class, w.seed)
}

// crossEachWay runs a test for each way on a virtual clock. The two times are left out unless timed is set.
func crossEachWay(t *testing.T, timed bool, run func(t *testing.T, w way)) {
	for cause, cross := range crossedBy {
		if cross == nil && !timed {
			continue
		}
		for _, class := range []int{safeClass, unsafeClass} {
			for _, after := range []time.Duration{-crossingStep, 0, crossingStep} {
				for seed := range uint64(crossingSeeds) {
					synctest.Test(t, func(t *testing.T) { run(t, way{cause, cross, class, after, seed}) })
				}
			}
		}
	}
}

// A client gets a stream only if that is whole as far as this router goes, whatever crosses its first event. An answer that has
// come goes before every doubt about its worker and before the end of its time.
func TestFirstEventCrossesEveryEnd(t *testing.T) { crossEachWay(t, true, crossFirstEvent) }

func crossFirstEvent(t *testing.T, w way) {
	s, x := &stateWorkers{}, &crossing{attempt: -1}
	s.try = func(ctx context.Context, a Attempt) Result {
		first := x.begin(ctx, a)
		if a.Read {
			s.hold(a.To.ID)
			return Result{Status: decide.Read}
		}
		s.fetch()
		if first {
			wait := crossingAt
			switch {
			case w.cross != nil:
				time.AfterFunc(crossingAt+w.after, func() { w.cross(x) })
			default:
				wait = a.Remaining() - w.after
			}
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				return Result{Status: decide.Cancelled}
			}
			x.mu.Lock()
			x.began = true
			x.mu.Unlock()
		}
		return Result{Stream: a.Number}
	}
	left := untimedRequest
	if w.cross == nil {
		left = timedRequest
	}
	answer, client := x.serve(t, w, left, s)
	x.core.mu.Lock()
	stopping := x.core.stopping
	x.core.mu.Unlock()
	if answer.Verdict == Streaming && stopping && w.after != 0 {
		t.Errorf("%s: a stream was given to the client after the shutdown had ended all requests", w)
	}
	if answer.Verdict == Streaming {
		_, _, contexts := x.end()
		ctx := contexts[answer.Stream.(int)]
		if ctx.Err() != nil && client.Err() == nil {
			t.Errorf("%s: the client was given a stream that is cancelled: %v", w, context.Cause(ctx))
		}
		select {
		case <-ctx.Done():
			if client.Err() == nil {
				t.Errorf("%s: the client's stream was cancelled: %v", w, context.Cause(ctx))
			}
			answer.StreamEnded(decide.Reset, context.Cause(ctx))
		case <-time.After(streamTime):
			answer.StreamEnded(decide.Served, nil)
		}
	}
	crossed, began, _ := x.end()
	inTime := w.cause != "the request's time" // which the late goroutine may have used up by then
	if began && w.after > 0 && inTime && !endsForGood(w.cause) && (answer.Verdict != Streaming || answer.Stream != crossed) {
		t.Errorf("%s: got verdict %v and stream %v", w, answer.Verdict, answer.Stream)
	}
	if w.class == safeClass && w.cause == "a cancellation" && answer.Verdict == Failed {
		t.Errorf("%s: failed, though a repeat is harmless", w)
	}
	waitSettled(t, x.core)
	s.check(t, w.String())
	_, _, contexts := x.end()
	for _, ctx := range contexts {
		if ctx.Err() == nil {
			t.Errorf("%s: the context of an attempt never ends", w)
		}
	}
	time.Sleep(time.Minute) // until the timers of the module have fired
}

// A read's end is known to the router whatever crosses it, and the state that the read leaves is fetched or released once it has.
func TestReadsEndCrossesEveryEnd(t *testing.T) { crossEachWay(t, false, crossReadsEnd) }

func crossReadsEnd(t *testing.T, w way) {
	s, x := &stateWorkers{}, &crossing{attempt: -1, crossesReads: true}
	s.try = func(ctx context.Context, a Attempt) Result {
		x.begin(ctx, a)
		if !a.Read {
			s.fetch()
			return Result{Stream: a.Number}
		}
		if a.Number > 0 {
			s.hold(a.To.ID)
			return Result{Status: decide.Read}
		}
		time.AfterFunc(crossingAt+w.after, func() { w.cross(x) })
		time.Sleep(crossingAt) // the reader goes on with the read
		s.hold(a.To.ID)
		if ctx.Err() != nil {
			return Result{Status: decide.Cancelled}
		}
		return Result{Status: decide.Read}
	}
	answer, _ := x.serve(t, w, untimedRequest, s)
	if w.cause == "a cancellation" && answer.Verdict != Streaming && answer.Verdict != Refused { // late as it is, it may run out of attempts
		t.Errorf("%s: got verdict %v, want a stream, or a refusal as nothing has run", w, answer.Verdict)
	}
	if answer.Verdict == Streaming {
		answer.StreamEnded(decide.Served, nil)
	}
	waitSettled(t, x.core)
	s.check(t, w.String())
	time.Sleep(time.Minute) // until the timers of the module have fired
}

// The end of a stream is reported once, whatever crosses it, and nothing breaks a stream that has its answer.
func TestStreamsEndCrossesEveryEnd(t *testing.T) { crossEachWay(t, false, crossStreamsEnd) }

func crossStreamsEnd(t *testing.T, w way) {
	s, x := &stateWorkers{}, &crossing{attempt: -1}
	s.try = func(ctx context.Context, a Attempt) Result {
		if a.Read {
			return Result{Status: decide.Read}
		}
		x.begin(ctx, a)
		return Result{Stream: a.Number}
	}
	answer, client := x.serve(t, w, untimedRequest, s)
	time.AfterFunc(crossingAt+w.after, func() { w.cross(x) })
	time.Sleep(crossingAt)
	if answer.Verdict != Streaming {
		t.Fatalf("%s: verdict %v", w, answer.Verdict)
	}
	_, _, contexts := x.end()
	if stream := contexts[answer.Stream.(int)]; stream.Err() != nil && client.Err() == nil {
		t.Errorf("%s: the stream was cancelled: %v", w, context.Cause(stream))
	}
	answer.StreamEnded(decide.Served, nil)
	answer.StreamEnded(decide.Reset, nil)
	waitSettled(t, x.core)
	time.Sleep(time.Minute) // until the timers of the module have fired
}

// inputState is an InputSource that has unjudged input, or not.
type inputState bool

// HasUnjudgedInput implements InputSource.
func (s inputState) HasUnjudgedInput() bool { return bool(s) }

// What has come from a worker is read before its silence is judged, for as long as that may take, and no longer.
func TestSilenceIsJudgedBehindWhatHasCome(t *testing.T) {
	for name, x := range map[string]struct {
		unjudged bool
		takes    time.Duration // to judge what has come
		streams  int           // number of the attempt whose stream the client gets
	}{
		"a first event that waits to be read": {true, unjudgedInputWait / 2, 1},
		"input that is no first event":        {true, time.Hour, 2},
		"nothing":                             {false, unjudgedInputWait / 2, 2},
	} {
		synctest.Test(t, func(t *testing.T) {
			s, crossed := &stateWorkers{}, &crossing{id: 1, attempt: -1}
			s.try = func(ctx context.Context, a Attempt) Result {
				if a.Read {
					return Result{Status: decide.Read}
				}
				if a.Number == 1 {
					a.ObserveInput(inputState(x.unjudged))
					crossed.begin(ctx, a)
					time.AfterFunc(crossingAt, func() { crossedBy["a cancellation"](crossed) })
					select {
					case <-time.After(crossingAt + x.takes):
					case <-ctx.Done():
						return Result{Status: decide.Cancelled, NoState: true}
					}
				}
				return Result{Stream: a.Number}
			}
			crossed.core = newStateCore(t, s)
			answer := crossed.core.Serve(t.Context(), newRequest(safeClass, 5*time.Second), s)
			if answer.Verdict != Streaming || answer.Stream.(int) < x.streams || x.streams == 1 && answer.Stream != 1 {
				t.Errorf("%s: verdict %v, stream %v, want %d or later", name, answer.Verdict, answer.Stream, x.streams)
			}
			answer.StreamEnded(decide.Served, nil)
			waitSettled(t, crossed.core)
			time.Sleep(time.Minute) // until the timers of the module have fired
		})
	}
}
