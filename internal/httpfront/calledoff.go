package httpfront

// This file owns the end of an attempt that the router calls off. net/http closes the connection and returns, but two
// connections have no order between them: the next attempt may be read by its worker before the close of this one is. It
// must never end the sending on a connection that has gone on to another request.

import (
	"context"
	"sync/atomic"
	"time"
)

// calledOff watches the context of one attempt. When that ends, the request that net/http carries is ended with it: at
// once, or, for an attempt with a Settle, only when its worker was seen to have ended it too.
type calledOff struct {
	attempt context.Context
	request context.Context // what net/http is given
	cancel  context.CancelCauseFunc
	sent    *atomic.Bool // the request's last byte has been handed to net/http
	conn    atomic.Pointer[workerConn]
	settle  time.Duration
	after   func(time.Duration) <-chan time.Time
	stop    func() bool // ends the watch
}

func watchCalledOff(attempt context.Context, settle time.Duration, sent *atomic.Bool, after func(time.Duration) <-chan time.Time) *calledOff {
	o := &calledOff{attempt: attempt, sent: sent, settle: settle, after: after}
	o.request, o.cancel = context.WithCancelCause(context.WithoutCancel(attempt))
	o.stop = context.AfterFunc(attempt, o.end)
	return o
}

// end ends the request. The half-close lets the worker see the end while its own can still be read here, which the
// transport reports as the request's error. Before its last byte was sent a request never counts: closing is enough.
func (o *calledOff) end() {
	conn := o.conn.Load()
	if o.settle > 0 && conn != nil && o.sent.Load() && conn.endSending(o) {
		select {
		case <-conn.over: // the worker's end was read, and the transport has closed the connection
		case <-o.request.Done():
		case <-o.after(o.settle): // a worker that is out of reach tells nothing
		}
	}
	o.cancel(context.Cause(o.attempt))
}

// begun is told that the answer has begun to stream: from now on the request ends at once with the attempt. It says no
// where the attempt has ended already.
func (o *calledOff) begun() bool {
	if o.stop() {
		o.stop = context.AfterFunc(o.attempt, func() { o.cancel(context.Cause(o.attempt)) })
		return true
	}
	o.cancel(context.Cause(o.attempt))
	return false
}

// over says that the attempt has ended without a stream.
func (o *calledOff) over() {
	o.stop()
	o.cancel(nil)
}

// serve notes whose request is written next.
func (c *workerConn) serve(o *calledOff) {
	c.serving.Lock()
	c.serves = o
	c.serving.Unlock()
}

// endSending ends the sending of o's request, unless the connection has gone on. It serves no further use then.
func (c *workerConn) endSending(o *calledOff) bool {
	c.serving.Lock()
	defer c.serving.Unlock()
	if c.serves != o {
		return false
	}
	c.bad.Store(true)
	half, ok := c.Conn.(interface{ CloseWrite() error })
	return ok && half.CloseWrite() == nil
}
