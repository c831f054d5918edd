package httpfront

// This file reads a client's connection before net/http does: where one request's head and body end, and what comes behind
// them. Heads are handed over whole and only if their framing can be read in one way. It must never change a byte of a
// request that passes.

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	firstBodyTimeout = 2600 * time.Millisecond // ... and its body after this, both from connecting
	laterBodyTimeout = 2500 * time.Millisecond // a later request's body, from its head
	readBufferStep   = 2 << 10
	maxReadAhead     = maxHeadBytes // kept of what comes behind a request before its answer, past it the connection ends with that
)

// epoch is what the times of connections count from.
var epoch = time.Now()

// clientConn is one client's connection.
type clientConn struct {
	net.Conn
	from        *clients
	connectedAt time.Time
	state       atomic.Int32
	stateSince  atomic.Int64 // when that began, from epoch
	bodyPending atomic.Bool  // the body at hand has not come; whoever makes it false settles whether the request is served
	owes        atomic.Bool  // the answer to the request at hand
	ends        socketState
	came        atomic.Int64 // when the first byte of the head at hand had come at the latest, from epoch
	// Of the requests that were read behind the one at hand, and whether that one's answer is whole.
	behind         atomic.Int32
	answerComplete atomic.Bool

	// Owned by Read, which net/http calls one at a time.
	buf         []byte       // read and not handed over
	firstByteAt time.Time    // when the first byte of it came
	deliverable int          // so much of it may be
	bodyLeft    int64        // of the request's body still to come
	chunks      *chunkScan   // of a body whose length is not told
	passthrough bool         // all that comes is handed over: the connection ends with this request
	readsEnded  bool         // nothing more is: a head could not be trusted
	overflowed  bool         // nothing more is taken from the socket: more came behind the request than is kept
	fillerLeft  int          // so many bytes more are handed over in place of the rest of a head that was too long to be kept
	headsRead   atomic.Int32 // that were whole
}

type connKey struct{}

// withConn lets the handler find its connection.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// bodyDeadline is when the body of the request at hand must have come.
func bodyDeadline(ctx context.Context) time.Time {
	if c, ok := ctx.Value(connKey{}).(*clientConn); ok && c.headsRead.Load() <= 1 {
		return c.connectedAt.Add(firstBodyTimeout)
	}
	return time.Now().Add(laterBodyTimeout)
}

// onItsWay is how long the request at hand has been on its way in: the time that its client gives it counts from the first
// byte, however slowly the rest came and whatever it had to wait for.
func onItsWay(ctx context.Context) time.Duration {
	if c, ok := ctx.Value(connKey{}).(*clientConn); ok {
		return time.Since(epoch) - time.Duration(c.came.Load())
	}
	return 0
}

// setState notes what the connection does from now on, unless it has been closed for a newcomer.
func (c *clientConn) setState(state int32) bool {
	c.stateSince.Store(int64(time.Since(epoch)))
	for {
		now := c.state.Load()
		if now == connEvicted {
			return false
		}
		if c.state.CompareAndSwap(now, state) {
			return true
		}
	}
}

// trackConnState is told by net/http what it does with a connection.
func trackConnState(c net.Conn, state http.ConnState) {
	if c, ok := c.(*clientConn); ok {
		switch state {
		case http.StateIdle: // nobody reads just now
			c.owes.Store(false)
			c.ends.setAnswered(len(c.buf) > 0)
			if c.setState(connIdle) && c.from.closing.Load() {
				c.closeIfIdle()
			}
		case http.StateActive:
			c.setState(connActive)
		case http.StateClosed:
			_ = c.Close()
		}
	}
}

// CloseWrite lets net/http end its side first, so that an answer arrives before a reset.
func (c *clientConn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

// malformedRequest takes the place of a head whose framing can't be trusted: net/http answers it with 400 and
// closes, and nothing behind it is looked at.
const malformedRequest = "x\r\n\r\n"

// clientGone says that the client has gone, as far as can be told without waiting, or that its connection was closed.
func (c *clientConn) clientGone() bool { return c.ends.isClosed() || hungUp(c.Conn) }

// Read hands over one head or body after the other, never bytes of both, and no head before the answer to the one before:
// net/http, which reads on to see whether the client leaves, sees no close behind a byte of another request.
func (c *clientConn) Read(p []byte) (int, error) {
	for {
		switch {
		case c.deliverable > 0:
			n := copy(p, c.buf[:c.deliverable])
			c.buf, c.deliverable = c.buf[n:], c.deliverable-n
			if len(c.buf) == 0 {
				c.buf = nil
			}
			return n, nil
		case c.readsEnded:
			return 0, io.EOF
		case c.fillerLeft > 0:
			n := copy(p, fillerHead[:min(len(fillerHead), c.fillerLeft)])
			c.fillerLeft -= n
			c.readsEnded = c.fillerLeft == 0
			return n, nil
		case len(c.buf) > 0 && c.passthrough:
			c.deliverable = len(c.buf)
			continue
		case c.passthrough:
			return c.Conn.Read(p)
		case len(c.buf) > 0 && c.bodyLeft > 0:
			c.deliverable = int(min(c.bodyLeft, int64(len(c.buf))))
			if !c.countBody(c.deliverable) {
				return 0, net.ErrClosed
			}
			if c.bodyLeft == 0 {
				c.countPipelined()
			}
			continue
		case c.bodyLeft > 0:
			n, err := c.Conn.Read(p[:min(int64(len(p)), c.bodyLeft)])
			if !c.countBody(n) {
				return 0, net.ErrClosed
			}
			return n, err
		case c.chunks != nil:
			if len(c.buf) > 0 {
				if !c.deliverChunks() {
					return 0, net.ErrClosed
				}
			} else if err := c.fillBuffer(); err != nil {
				return 0, err
			}
			continue
		case c.owes.Load():
			if err := c.readAhead(); err != nil {
				return 0, err
			}
			continue
		}
		if end := headEnd(c.buf); end > 0 {
			if err := c.deliverHead(end); err != nil {
				return 0, err
			}
			continue
		}
		if c.overflowed && c.headTooLong() {
			c.beginRequest()
			c.deliverable, c.fillerLeft = len(c.buf), 2*maxHeadBytes // net/http has had enough before
			continue
		}
		if c.overflowed {
			return 0, c.refuseRest()
		}
		if len(c.buf) > maxHeadBytes { // net/http answers it with 431
			c.beginRequest()
			c.passthrough = true
			continue
		}
		if err := c.fillBuffer(); err != nil {
			return 0, err
		}
	}
}

// fillerHead stands for the rest of a head that was not kept.
var fillerHead = bytes.Repeat([]byte("x"), readBufferStep)

// headTooLong says that what was kept is all one head, without its end. Guards against a refusal, which has its client come
// again, where net/http's own answer to such a head is due.
func (c *clientConn) headTooLong() bool {
	return len(c.buf) >= maxHeadBytes && bytes.IndexByte(c.buf, '\n') >= 0 && headEnd(c.buf) == 0
}

// deliverHead readies the head at the start of buf, which is whole, to be handed over.
func (c *clientConn) deliverHead(end int) error {
	f, ok := requestFraming(c.buf[:end])
	if c.overflowed && (f.chunked || int64(len(c.buf)-end) < f.length) {
		return c.refuseRest()
	}
	c.headsRead.Add(1)
	if !c.setState(connActive) {
		return net.ErrClosed
	}
	c.beginRequest()
	if !ok {
		c.buf, c.deliverable, c.readsEnded = []byte(malformedRequest), len(malformedRequest), true
		return nil
	}
	c.owes.Store(true)
	c.came.Store(int64(c.firstByteAt.Sub(epoch)))
	c.deliverable, c.bodyLeft = end, f.length
	if f.chunked {
		c.chunks = &chunkScan{}
	}
	c.bodyPending.Store(c.bodyLeft > 0 || f.chunked)
	if !c.bodyPending.Load() {
		c.countPipelined()
	}
	return nil
}

// beginRequest notes that net/http has a request to answer: the answer before is no longer the latest, and what was counted as read
// behind it is at hand.
func (c *clientConn) beginRequest() {
	c.answerComplete.Store(false)
	c.behind.Store(0)
}

// fillBuffer reads more into buf.
func (c *clientConn) fillBuffer() error {
	if cap(c.buf)-len(c.buf) < readBufferStep/2 {
		c.buf = append(make([]byte, 0, 2*len(c.buf)+readBufferStep), c.buf...)
	}
	n, err := c.readSocket(c.buf[len(c.buf):cap(c.buf)])
	if len(c.buf) == 0 {
		c.firstByteAt = time.Now()
	}
	c.buf = c.buf[:len(c.buf)+n]
	return err
}

// readAhead reads what comes behind the request at hand before its answer, and keeps so much of it. It goes on beyond that:
// the end of what a client sends is seen only behind all that was sent before.
func (c *clientConn) readAhead() error {
	if c.overflowed {
		discarded := make([]byte, readBufferStep)
		for {
			if _, err := c.readSocket(discarded); err != nil {
				return err
			}
		}
	}
	err := c.fillBuffer()
	if c.overflowed = len(c.buf) > maxReadAhead; c.overflowed {
		c.buf = c.buf[:maxReadAhead]
	}
	c.countPipelined()
	return err
}

// countPipelined notes what was read behind the request at hand, once that was handed over or is ready to be.
func (c *clientConn) countPipelined() { c.behind.Store(int32(countRequests(c.buf[c.deliverable:]))) }

// refuseRest ends what is handed over where the rest of a request was not kept, and refuses that request and those behind it.
func (c *clientConn) refuseRest() error {
	c.readsEnded = true
	c.behind.Store(0) // what was counted is among them
	c.refuse(countRequests(c.buf))
	return io.EOF
}

// deliverChunks readies what is at hand of a chunked body. One that makes no sense is net/http's to refuse. It says no where
// the connection was closed for a newcomer before the end came.
func (c *clientConn) deliverChunks() bool {
	n, end, err := c.chunks.feed(c.buf)
	if c.deliverable = n; err != nil {
		c.deliverable, c.passthrough = len(c.buf), true
	}
	if end || err != nil {
		c.chunks = nil
		if !c.passthrough {
			c.countPipelined()
		}
		return c.bodyPending.CompareAndSwap(true, false)
	}
	return true
}

// countBody counts what has come of the body. It says no where the connection was closed for a newcomer before the end came.
func (c *clientConn) countBody(n int) bool {
	if c.bodyLeft -= int64(n); c.bodyLeft > 0 {
		return true
	}
	return c.bodyPending.CompareAndSwap(true, false)
}
