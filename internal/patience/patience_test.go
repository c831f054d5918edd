package patience

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

var errSilent = errors.New("silent")

func TestTimeoutEndsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		ctx, stop := WithTimeout(t.Context(), time.Second, errSilent)
		defer stop()
		<-ctx.Done()
		if time.Since(began) != time.Second || !errors.Is(context.Cause(ctx), errSilent) || !errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			t.Errorf("%v after %v", context.Cause(ctx), time.Since(began))
		}
		ctx, stop = WithTimeout(t.Context(), time.Second, errSilent)
		stop()
		if time.Sleep(time.Minute); errors.Is(context.Cause(ctx), errSilent) {
			t.Error("timed out after its end")
		}
	})
}

// Time in which the process was held up does not count, and after the last hold-up there is another step to read what has come.
func TestHoldUpIsNotSilence(t *testing.T) {
	const step, heldUp = 50 * time.Millisecond, time.Second
	for held := range steps {
		now := time.Now()
		w := &wait{step: step, left: steps, due: now.Add(step)}
		inTime := 0
		for n := 0; ; n++ {
			now = now.Add(step)
			if n == held {
				now = now.Add(heldUp)
			} else {
				inTime++
			}
			if w.isOver(now) {
				break
			}
			w.due = now.Add(step)
		}
		if inTime < steps-1 || held == steps-1 && inTime < steps {
			t.Errorf("held up in step %d: over after %d steps in time", held, inTime)
		}
	}
}

// A function whose wait was stopped is not called, and one that was called can't be stopped.
func TestStoppedFunctionIsNotCalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var called atomic.Int64
		stop := AfterFunc(time.Second, func() { called.Add(1) })
		time.Sleep(time.Second / 2)
		if !stop() {
			t.Error("not stopped in time")
		}
		stop = AfterFunc(time.Second, func() { called.Add(1) })
		time.Sleep(time.Minute)
		if stop() || called.Load() != 1 {
			t.Errorf("called %d times, want 1", called.Load())
		}
	})
}

// However long a timeout is, it does not end right after the process was held up, and not much later either.
func TestLongTimeoutEndsBehindWhatHasCome(t *testing.T) {
	const timeout, heldUp = 4 * time.Second, 150 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		var called atomic.Int64
		w := &wait{step: timeout / steps, left: 1, due: time.Now().Add(-heldUp)} // the last step ends late
		w.timer = time.AfterFunc(time.Hour, func() {
			if w.tick() {
				called.Add(1)
			}
		})
		if w.tick() {
			t.Error("over right after the process was held up")
		}
		if time.Sleep(extraStep + 1); called.Load() != 1 {
			t.Errorf("called %d times within the extra step, want 1", called.Load())
		}
	})
}
