package httpfront

// Cancellation of an attempt by the router. When a request's context ends, net/http closes the connection and returns.
// The order in which workers see events on two connections is not defined, however: the next attempt may reach its
// worker before the close of this one reaches its own. A connection that already serves another request is never
// half-closed.

import (
	"context"
	"sync/atomic"
	"time"

	"rowanyard/internal/delivery"
)

// attemptWatch watches the context of an attempt and cancels its HTTP request when that ends: at once or, if the
// attempt has a cancel grace, once its worker has ended the request too or the grace is over.
type attemptWatch struct {
	attemptCtx   context.Context
	requestCtx   context.Context // given to net/http
	cancel       context.CancelCauseFunc
	sent         *atomic.Bool // net/http has received the request's last byte
	conn         atomic.Pointer[workerConn]
	sentAt       atomic.Int64 // when the request was about to be written, since epoch
	cancelGrace  time.Duration
	after        func(time.Duration) <-chan time.Time
	stopWatching func() bool // stops watching attemptCtx
}

// watchAttempt starts to watch attemptCtx. sent is whether net/http has received the request's last byte, and after is
// time.After or its replacement in tests. The caller must call finish or, if the answer is a stream, streamBegun.
func watchAttempt(attemptCtx context.Context, cancelGrace time.Duration, sent *atomic.Bool, after func(time.Duration) <-chan time.Time) *attemptWatch {
	w := &attemptWatch{attemptCtx: attemptCtx, sent: sent, cancelGrace: cancelGrace, after: after}
	w.requestCtx, w.cancel = context.WithCancelCause(context.WithoutCancel(attemptCtx))
	w.stopWatching = context.AfterFunc(attemptCtx, w.cancelRequest)
	return w
}

// takeBackDelay is how long after its cancellation a request that has left this machine may arrive and be acknowledged.
const takeBackDelay = 50 * time.Millisecond

// cancelRequest cancels the request. The half-close signals the cancellation to the worker while the worker's close
// or late answer can still be read; the transport reports the close as the request's error. A request of which a part has not
// left this machine has not arrived: closing its connection takes that part back.
func (w *attemptWatch) cancelRequest() {
	conn := w.conn.Load()
	if w.cancelGrace > 0 && conn != nil && w.sent.Load() && conn.outbound.Progress() != delivery.Unsent && conn.closeWriteFor(w) {
		// What has not arrived by then is not sent again to a worker that returns.
		takeBack := time.AfterFunc(takeBackDelay, func() {
			if conn.outbound.Progress() != delivery.Arrived {
				w.cancel(context.Cause(w.attemptCtx))
			}
		})
		defer takeBack.Stop()
		select {
		case <-conn.done: // the worker's close was read, and the transport has closed the connection
		case <-w.requestCtx.Done():
		case <-w.after(w.cancelGrace): // an unreachable worker never closes
		}
	}
	w.cancel(context.Cause(w.attemptCtx))
}

// streamBegun records that the answer has begun to stream, so that from now on the request is cancelled at once with the
// attempt. It returns false if the attempt has ended already.
func (w *attemptWatch) streamBegun() bool {
	if w.stopWatching() {
		w.stopWatching = context.AfterFunc(w.attemptCtx, func() { w.cancel(context.Cause(w.attemptCtx)) })
		return true
	}
	w.cancel(context.Cause(w.attemptCtx))
	return false
}

// HasUnjudgedInput implements core.InputSource.
func (w *attemptWatch) HasUnjudgedInput() bool {
	conn := w.conn.Load()
	return conn != nil && conn.hasUnjudgedInput(time.Duration(w.sentAt.Load()))
}

// finish records that the attempt has ended without a stream.
func (w *attemptWatch) finish() {
	w.stopWatching()
	w.cancel(nil)
}

// setWatch sets the watch of the attempt whose request is written next.
func (c *workerConn) setWatch(w *attemptWatch) {
	c.watchMu.Lock()
	c.watch = w
	c.watchMu.Unlock()
}

// closeWriteFor half-closes the connection unless it has moved on from w's request. It can't be used again afterwards.
func (c *workerConn) closeWriteFor(w *attemptWatch) bool {
	c.watchMu.Lock()
	defer c.watchMu.Unlock()
	if c.watch != w {
		return false
	}
	c.unusable.Store(true)
	half, ok := c.Conn.(interface{ CloseWrite() error })
	return ok && half.CloseWrite() == nil
}
