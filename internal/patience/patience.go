// Package patience provides timeouts for the silence of others. Time in which this process was held up, and could neither send
// nor read, does not count: what the other side has sent by then waits to be read.
package patience

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// MaxHeldUp is for how long this process may be held up at once.
	MaxHeldUp = 150 * time.Millisecond
	// Tolerance is by how much a timer may be late before this process counts as held up.
	Tolerance = 10 * time.Millisecond
)

const (
	steps        = 4                     // in which a timeout is counted; one may be late by Tolerance, or by half a step if that is longer ...
	maxTolerance = 30 * time.Millisecond // ... but not more than this
	extraStep    = 50 * time.Millisecond // the longest step behind the last one, in which what has come is read
)

// WithTimeout returns a context that ends after d of silence, with a cause that wraps cause and context.DeadlineExceeded.
func WithTimeout(parent context.Context, d time.Duration, cause error) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	stop := AfterFunc(d, func() { cancel(fmt.Errorf("%w: %w", cause, context.DeadlineExceeded)) })
	return ctx, func() {
		stop()
		cancel(context.Canceled)
	}
}

// AfterFunc calls f after d of silence. stop ends the wait, and reports whether f will not be called.
func AfterFunc(d time.Duration, f func()) (stop func() bool) {
	w := &wait{step: max(1, d/steps), left: steps, due: time.Now().Add(d / steps)}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.step, func() {
		if w.tick() {
			f()
		}
	})
	return w.stop
}

// tick counts a step that ends, and reports whether the wait is over.
func (w *wait) tick() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	switch {
	case w.ended:
		return false
	case w.isOver(now):
		w.ended = true
		return true
	}
	next := w.step
	if w.left <= 0 {
		next = min(next, extraStep)
	}
	w.due = now.Add(next)
	w.timer.Reset(next)
	return false
}

// stop ends the wait, and reports whether it was not over.
func (w *wait) stop() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	stopped := !w.ended
	w.ended = true
	w.timer.Stop()
	return stopped
}

// wait is a timeout that is being counted.
type wait struct {
	mu    sync.Mutex
	timer *time.Timer
	step  time.Duration
	left  int       // steps
	due   time.Time // when the current step ends
	ended bool      // it is over or was stopped
}

// isOver counts the step that ends now. A step that ends late counts once, and the last one has to end in time: right after it
// was held up, this process has not read what has come.
func (w *wait) isOver(now time.Time) bool {
	w.left--
	return w.left <= 0 && now.Sub(w.due) <= min(max(Tolerance, w.step/2), maxTolerance)
}
