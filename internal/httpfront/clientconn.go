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
	firstBody = 2600 * time.Millisecond // ... and its body after this, both from connecting
	laterBody = 2500 * time.Millisecond // a later request's body, from its head
	headStep  = 2 << 10
	aheadMost = maxHead // kept of what comes behind a request before its answer, past it the connection ends with that
)

// epoch is what the times of connections count from.
var epoch = time.Now()

// clientConn is one client's connection.
type clientConn struct {
	net.Conn
	from  *clients
	since time.Time
	state atomic.Int32
	at    atomic.Int64 // when that began, from epoch
	half  atomic.Bool  // the body at hand has not come; whoever makes it false settles whether the request is served
	owes  atomic.Bool  // the answer to the request at hand
	ends  lastRequest
	came  atomic.Int64 // when the first byte of the head at hand had come at the latest, from epoch
	// Of the requests that were read behind the one at hand, and whether that one's answer is whole.
	behind   atomic.Int32
	finished atomic.Bool

	// Owned by Read, which net/http calls one at a time.
	buf     []byte       // read and not handed over
	first   time.Time    // when the first byte of it came
	ready   int          // so much of it may be
	body    int64        // of the request's body still to come
	chunks  *chunkScan   // of a body whose length is not told
	plain   bool         // all that comes is handed over: the connection ends with this request
	refused bool         // nothing more is: a head could not be trusted
	tooMuch bool         // nothing more is taken from the socket: more came behind the request than is kept
	filler  int          // so many bytes more are handed over in place of the rest of a head that was too long to be kept
	heads   atomic.Int32 // that were whole
}

type connKey struct{}

// withConn lets the handler find its connection.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// bodyBy is when the body of the request at hand must have come.
func bodyBy(ctx context.Context) time.Time {
	if c, ok := ctx.Value(connKey{}).(*clientConn); ok && c.heads.Load() <= 1 {
		return c.since.Add(firstBody)
	}
	return time.Now().Add(laterBody)
}

// onItsWay is how long the request at hand has been on its way in: the time that its client gives it counts from the first
// byte, however slowly the rest came and whatever it had to wait for.
func onItsWay(ctx context.Context) time.Duration {
	if c, ok := ctx.Value(connKey{}).(*clientConn); ok {
		return time.Since(epoch) - time.Duration(c.came.Load())
	}
	return 0
}

// is notes what the connection does from now on, unless it has been closed for a newcomer.
func (c *clientConn) is(state int32) bool {
	c.at.Store(int64(time.Since(epoch)))
	for {
		now := c.state.Load()
		if now == shed {
			return false
		}
		if c.state.CompareAndSwap(now, state) {
			return true
		}
	}
}

// connState is told by net/http what it does with a connection.
func connState(c net.Conn, state http.ConnState) {
	if c, ok := c.(*clientConn); ok {
		switch state {
		case http.StateIdle: // nobody reads just now
			c.owes.Store(false)
			c.ends.answered(len(c.buf) > 0)
			if c.is(idle) && c.from.ending.Load() {
				c.closeIfResting()
			}
		case http.StateActive:
			c.is(atWork)
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

// unreadable takes the place of a head whose framing can't be trusted: net/http answers it with 400 and
// closes, and nothing behind it is looked at.
const unreadable = "x\r\n\r\n"

// left says that the client has gone, as far as can be told without waiting, or that its connection was closed.
func (c *clientConn) left() bool { return c.ends.isClosed() || hungUp(c.Conn) }

// Read hands over one head or body after the other, never bytes of both, and no head before the answer to the one before:
// net/http, which reads on to see whether the client leaves, sees no close behind a byte of another request.
func (c *clientConn) Read(p []byte) (int, error) {
	for {
		switch {
		case c.ready > 0:
			n := copy(p, c.buf[:c.ready])
			c.buf, c.ready = c.buf[n:], c.ready-n
			if len(c.buf) == 0 {
				c.buf = nil
			}
			return n, nil
		case c.refused:
			return 0, io.EOF
		case c.filler > 0:
			n := copy(p, fillerHead[:min(len(fillerHead), c.filler)])
			c.filler -= n
			c.refused = c.filler == 0
			return n, nil
		case len(c.buf) > 0 && c.plain:
			c.ready = len(c.buf)
			continue
		case c.plain:
			return c.Conn.Read(p)
		case len(c.buf) > 0 && c.body > 0:
			c.ready = int(min(c.body, int64(len(c.buf))))
			if !c.took(c.ready) {
				return 0, net.ErrClosed
			}
			if c.body == 0 {
				c.countBehind()
			}
			continue
		case c.body > 0:
			n, err := c.Conn.Read(p[:min(int64(len(p)), c.body)])
			if !c.took(n) {
				return 0, net.ErrClosed
			}
			return n, err
		case c.chunks != nil:
			if len(c.buf) > 0 {
				if !c.takeChunks() {
					return 0, net.ErrClosed
				}
			} else if err := c.fill(); err != nil {
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
			if err := c.readyHead(end); err != nil {
				return 0, err
			}
			continue
		}
		if c.tooMuch && c.headIsTooLong() {
			c.begins()
			c.ready, c.filler = len(c.buf), 2*maxHead // net/http has had enough before
			continue
		}
		if c.tooMuch {
			return 0, c.endHere()
		}
		if len(c.buf) > maxHead { // net/http answers it with 431
			c.begins()
			c.plain = true
			continue
		}
		if err := c.fill(); err != nil {
			return 0, err
		}
	}
}

// fillerHead stands for the rest of a head that was not kept.
var fillerHead = bytes.Repeat([]byte("x"), headStep)

// headIsTooLong says that what was kept is all one head, without its end. Guards against a refusal, which has its client come
// again, where net/http's own answer to such a head is due.
func (c *clientConn) headIsTooLong() bool {
	return len(c.buf) >= maxHead && bytes.IndexByte(c.buf, '\n') >= 0 && headEnd(c.buf) == 0
}

// readyHead readies the head at the start of buf, which is whole, to be handed over.
func (c *clientConn) readyHead(end int) error {
	f, ok := requestFraming(c.buf[:end])
	if c.tooMuch && (f.chunked || int64(len(c.buf)-end) < f.length) {
		return c.endHere()
	}
	c.heads.Add(1)
	if !c.is(atWork) {
		return net.ErrClosed
	}
	c.begins()
	if !ok {
		c.buf, c.ready, c.refused = []byte(unreadable), len(unreadable), true
		return nil
	}
	c.owes.Store(true)
	c.came.Store(int64(c.first.Sub(epoch)))
	c.ready, c.body = end, f.length
	if f.chunked {
		c.chunks = &chunkScan{}
	}
	c.half.Store(c.body > 0 || f.chunked)
	if !c.half.Load() {
		c.countBehind()
	}
	return nil
}

// begins notes that net/http has a request to answer: the answer before is no longer the latest, and what was counted as read
// behind it is at hand.
func (c *clientConn) begins() {
	c.finished.Store(false)
	c.behind.Store(0)
}

// fill reads more into buf.
func (c *clientConn) fill() error {
	if cap(c.buf)-len(c.buf) < headStep/2 {
		c.buf = append(make([]byte, 0, 2*len(c.buf)+headStep), c.buf...)
	}
	n, err := c.take(c.buf[len(c.buf):cap(c.buf)])
	if len(c.buf) == 0 {
		c.first = time.Now()
	}
	c.buf = c.buf[:len(c.buf)+n]
	return err
}

// readAhead reads what comes behind the request at hand before its answer, and keeps so much of it. It goes on beyond that:
// the end of what a client sends is seen only behind all that was sent before.
func (c *clientConn) readAhead() error {
	if c.tooMuch {
		junk := make([]byte, headStep)
		for {
			if _, err := c.take(junk); err != nil {
				return err
			}
		}
	}
	err := c.fill()
	if c.tooMuch = len(c.buf) > aheadMost; c.tooMuch {
		c.buf = c.buf[:aheadMost]
	}
	c.countBehind()
	return err
}

// countBehind notes what was read behind the request at hand, once that was handed over or is ready to be.
func (c *clientConn) countBehind() { c.behind.Store(int32(pendingRequests(c.buf[c.ready:]))) }

// endHere ends what is handed over where the rest of a request was not kept, and refuses that request and those behind it.
func (c *clientConn) endHere() error {
	c.refused = true
	c.behind.Store(0) // what was counted is among them
	c.refuse(pendingRequests(c.buf))
	return io.EOF
}

// takeChunks readies what is at hand of a chunked body. One that makes no sense is net/http's to refuse. It says no where
// the connection was closed for a newcomer before the end came.
func (c *clientConn) takeChunks() bool {
	n, end, err := c.chunks.feed(c.buf)
	if c.ready = n; err != nil {
		c.ready, c.plain = len(c.buf), true
	}
	if end || err != nil {
		c.chunks = nil
		if !c.plain {
			c.countBehind()
		}
		return c.half.CompareAndSwap(true, false)
	}
	return true
}

// took counts what has come of the body. It says no where the connection was closed for a newcomer before the end came.
func (c *clientConn) took(n int) bool {
	if c.body -= int64(n); c.body > 0 {
		return true
	}
	return c.half.CompareAndSwap(true, false)
}
