package core

// This file holds the end of an attempt, which has one owner. Its worker's answer, a doubt about the worker, the end of its
// request and the end of its stream all ask attemptEnd, which moves between named states under one lock: what the messages
// about them say, and in which order these are taken, decides nothing.

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"rowanyard/decide"
	"rowanyard/internal/patience"
)

// unjudgedInputWait is how long a doubt waits for input that has come and was not judged yet.
const unjudgedInputWait = 50 * time.Millisecond

// attemptState is the state of an attempt.
type attemptState int

const (
	// attemptRunning: nothing has ended the attempt.
	attemptRunning attemptState = iota
	// attemptAnswered: its worker's stream has begun. No doubt about the worker cancels it any more.
	attemptAnswered
	// attemptStreaming: the stream is the answer to the request.
	attemptStreaming
	// attemptCancelled: it was cancelled. A stream that begins nevertheless is passed on to nobody.
	attemptCancelled
	// attemptEnded: nothing is left of it.
	attemptEnded
)

// attemptEnd is the owner of an attempt's end. It is safe for concurrent use.
type attemptEnd struct {
	stop         context.CancelCauseFunc // ends the context of the attempt and of its stream
	streamsBegun *atomic.Int32           // attempts of the request whose streams have begun and were not taken

	mu    sync.Mutex
	state attemptState
	input InputSource // nil: none is known
}

func (e *attemptEnd) observe(input InputSource) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.input = input
}

// hasUnjudgedInput reports whether the attempt runs and something has come from its worker that was not judged yet.
func (e *attemptEnd) hasUnjudgedInput() bool {
	e.mu.Lock()
	state, input := e.state, e.input
	e.mu.Unlock()
	return state == attemptRunning && input != nil && input.HasUnjudgedInput()
}

// move changes the state if it is from, and reports whether it was.
func (e *attemptEnd) move(from, to attemptState) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state != from {
		return false
	}
	switch {
	case to == attemptAnswered:
		e.streamsBegun.Add(1)
	case from == attemptAnswered:
		e.streamsBegun.Add(-1)
	}
	e.state = to
	return true
}

// beginStream records that the worker's stream has begun. It returns false if the attempt was cancelled before. A stream may be
// reported as begun more than once.
func (e *attemptEnd) beginStream() bool {
	return e.move(attemptRunning, attemptAnswered) || e.is(attemptAnswered)
}

// takeStream makes the stream the answer to the request. It returns false if the attempt was cancelled before.
func (e *attemptEnd) takeStream() bool { return e.move(attemptAnswered, attemptStreaming) }

func (e *attemptEnd) is(state attemptState) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state == state
}

// doubt cancels the attempt because its worker has been silent for too long, unless its stream has begun. What has come from the
// worker is judged first.
func (e *attemptEnd) doubt(cause error) {
	if e.hasUnjudgedInput() {
		patience.AfterFunc(unjudgedInputWait, func() { e.cancelRunning(cause) })
		return
	}
	e.cancelRunning(cause)
}

func (e *attemptEnd) cancelRunning(cause error) {
	if e.move(attemptRunning, attemptCancelled) {
		e.stop(cause)
	}
}

// abandon cancels the attempt, or ends its stream, because nobody wants it any more.
func (e *attemptEnd) abandon() {
	if !e.move(attemptRunning, attemptCancelled) {
		e.move(attemptAnswered, attemptCancelled)
	}
	e.stop(errCancelled)
}

// finish records that the attempt, or its stream, has ended, and frees its context.
func (e *attemptEnd) finish() {
	e.mu.Lock()
	if e.state == attemptAnswered {
		e.streamsBegun.Add(-1)
	}
	e.state = attemptEnded
	e.mu.Unlock()
	e.stop(errCancelled)
}

// result returns what an attempt has come to that the transport ended with res.
func (e *attemptEnd) result(ctx context.Context, res Result) Result {
	if res.Status == 0 && !e.beginStream() { // the stream is closed; what has begun to answer has fetched the state
		res = Result{Status: decide.Cancelled, NoState: true, Err: context.Cause(ctx)}
	}
	if res.Status == decide.Cancelled && errors.Is(context.Cause(ctx), ErrTimedOut) {
		res.Status = decide.TimedOut
	}
	return res
}
