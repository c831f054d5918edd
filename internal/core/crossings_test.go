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
	crossingSeeds = 30
	maxLateness   = 150 * time.Millisecond // by which a request's goroutine is late
	crossingAt    = 200 * time.Millisecond // after the attempt that is crossed was sent
	crossingStep  = time.Microsecond       // by which one message comes before the other
	streamTime    = time.Second            // of an answer's stream
)

// lateInSeededOrder returns an order in which messages are taken: the goroutine is late, and a random one of those that have come is
// first.
func lateInSeededOrder(seed uint64) func(inputs) inputs {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 1))
	return func(all inputs) inputs {
		mu.Lock()
		late, first := time.Duration(random.Int64N(int64(maxLateness))), random.IntN(3)
		mu.Unlock()
		time.Sleep(late)
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
	core  *Core
	id    decide.RequestID
	leave context.CancelFunc // of the client

	mu       sync.Mutex
	attempt  int               // whose answer is crossed, negative: not sent yet
	began    bool              // its answer has begun
	contexts []context.Context // of the attempts
}

// begin records that an attempt was sent. It reports whether that is the first write.
func (x *crossing) begin(ctx context.Context, a Attempt) (first bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.contexts = append(x.contexts, ctx)
	if first = !a.Read && x.attempt < 0; first {
		x.attempt = a.Number
	}
	return first
}

// end returns what has become of the attempts.
func (x *crossing) end() (attempt int, began bool, contexts []context.Context) {
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

// crossed returns the number of the attempt whose answer is crossed.
func (x *crossing) crossed() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.attempt
}

// endsForGood reports whether a request whose answer has begun may be ended all the same: nobody is there, or the process ends.
func endsForGood(cause string) bool { return cause == "a leave" || cause == "a shutdown" }

// A client gets a stream only if that is whole as far as this router goes, whatever crosses its first event. An answer that has
// come goes before every doubt about its worker and before the end of its time.
func TestFirstEventCrossesEveryEnd(t *testing.T) {
	for cause, cross := range crossedBy {
		for _, class := range []int{safeClass, unsafeClass} {
			for _, after := range []time.Duration{-crossingStep, 0, crossingStep} {
				for seed := range uint64(crossingSeeds) {
					name := fmt.Sprintf("%s %v after the first event, class %d, seed %d", cause, after, class, seed)
					synctest.Test(t, func(t *testing.T) { crossFirstEvent(t, name, cause, cross, class, after, seed) })
				}
			}
		}
	}
}

func crossFirstEvent(t *testing.T, name, cause string, cross func(*crossing), class int, after time.Duration, seed uint64) {
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
			case cross != nil:
				time.AfterFunc(crossingAt+after, func() { cross(x) })
			default:
				wait = a.Remaining() - after
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
	x.core = newStateCore(t, s)
	x.core.order = lateInSeededOrder(seed)
	client, leave := context.WithCancel(t.Context())
	defer leave()
	x.leave, x.id = leave, 1
	left := 5 * time.Second
	if cause == "the request's time" {
		left = crossingAt
	}
	answer := x.core.Serve(client, newRequest(class, left), s)
	if answer.Verdict == Streaming {
		_, _, contexts := x.end()
		ctx := contexts[answer.Stream.(int)]
		if ctx.Err() != nil && client.Err() == nil {
			t.Errorf("%s: the client was given a stream that is cancelled: %v", name, context.Cause(ctx))
		}
		select {
		case <-ctx.Done():
			if client.Err() == nil {
				t.Errorf("%s: the client's stream was cancelled: %v", name, context.Cause(ctx))
			}
			answer.StreamEnded(decide.Reset, context.Cause(ctx))
		case <-time.After(streamTime):
			answer.StreamEnded(decide.Served, nil)
		}
	}
	crossed, began, _ := x.end()
	inTime := cause != "the request's time" // which the late goroutine may have used up by then
	if began && after > 0 && inTime && !endsForGood(cause) && (answer.Verdict != Streaming || answer.Stream != crossed) {
		t.Errorf("%s: got verdict %v and stream %v", name, answer.Verdict, answer.Stream)
	}
	if class == safeClass && cause == "a cancellation" && answer.Verdict == Failed {
		t.Errorf("%s: failed, though a repeat is harmless", name)
	}
	waitSettled(t, x.core)
	s.check(t, name)
	_, _, contexts := x.end()
	for _, ctx := range contexts {
		if ctx.Err() == nil {
			t.Errorf("%s: the context of an attempt never ends", name)
		}
	}
	time.Sleep(time.Minute) // until the timers of the module have fired
}

// A read's end is known to the router whatever crosses it, and the state that the read leaves is fetched or released once it has.
func TestReadsEndCrossesEveryEnd(t *testing.T) {
	for cause, cross := range crossedBy {
		if cross == nil {
			continue
		}
		for _, class := range []int{safeClass, unsafeClass} {
			for _, after := range []time.Duration{-crossingStep, 0, crossingStep} {
				for seed := range uint64(crossingSeeds) {
					name := fmt.Sprintf("%s %v after the read's end, class %d, seed %d", cause, after, class, seed)
					synctest.Test(t, func(t *testing.T) { crossReadsEnd(t, name, cause, cross, class, after, seed) })
				}
			}
		}
	}
}

func crossReadsEnd(t *testing.T, name, cause string, cross func(*crossing), class int, after time.Duration, seed uint64) {
	s, x := &stateWorkers{}, &crossing{}
	s.try = func(ctx context.Context, a Attempt) Result {
		if !a.Read {
			s.fetch()
			return Result{Stream: a.Number}
		}
		if a.Number > 0 {
			s.hold(a.To.ID)
			return Result{Status: decide.Read}
		}
		time.AfterFunc(crossingAt+after, func() { cross(x) })
		time.Sleep(crossingAt) // the reader goes on with the read
		s.hold(a.To.ID)
		if ctx.Err() != nil {
			return Result{Status: decide.Cancelled}
		}
		return Result{Status: decide.Read}
	}
	x.core = newStateCore(t, s)
	x.core.order = lateInSeededOrder(seed)
	client, leave := context.WithCancel(t.Context())
	defer leave()
	x.leave, x.id = leave, 1
	answer := x.core.Serve(client, newRequest(class, 5*time.Second), s)
	if cause == "a cancellation" && answer.Verdict != Streaming && answer.Verdict != Refused { // late as it is, it may run out of attempts
		t.Errorf("%s: got verdict %v, want a stream, or a refusal as nothing has run", name, answer.Verdict)
	}
	if answer.Verdict == Streaming {
		answer.StreamEnded(decide.Served, nil)
	}
	waitSettled(t, x.core)
	s.check(t, name)
	time.Sleep(time.Minute) // until the timers of the module have fired
}

// The end of a stream is reported once, whatever crosses it, and nothing breaks a stream that has its answer.
func TestStreamsEndCrossesEveryEnd(t *testing.T) {
	for cause, cross := range crossedBy {
		if cross == nil {
			continue
		}
		for _, after := range []time.Duration{-crossingStep, 0, crossingStep} {
			for seed := range uint64(crossingSeeds) {
				synctest.Test(t, func(t *testing.T) {
					s, x := &stateWorkers{}, &crossing{attempt: -1}
					s.try = func(ctx context.Context, a Attempt) Result {
						if a.Read {
							return Result{Status: decide.Read}
						}
						x.begin(ctx, a)
						return Result{Stream: a.Number}
					}
					x.core = newStateCore(t, s)
					x.core.order = lateInSeededOrder(seed)
					client, leave := context.WithCancel(t.Context())
					defer leave()
					x.leave, x.id = leave, 1
					answer := x.core.Serve(client, newRequest(unsafeClass, 5*time.Second), s)
					time.AfterFunc(crossingAt+after, func() { cross(x) })
					time.Sleep(crossingAt)
					_, _, contexts := x.end()
					if stream := contexts[len(contexts)-1]; answer.Verdict != Streaming || stream.Err() != nil && client.Err() == nil {
						t.Errorf("%s %v after the stream's end, seed %d: verdict %v, stream %v", cause, after, seed, answer.Verdict, context.Cause(stream))
					}
					answer.StreamEnded(decide.Served, nil)
					answer.StreamEnded(decide.Reset, nil)
					waitSettled(t, x.core)
					time.Sleep(time.Minute) // until the timers of the module have fired
				})
			}
		}
	}
}

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
					a.ObserveInput(func() bool { return x.unjudged })
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
