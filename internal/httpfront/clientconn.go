package httpfront

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"rowanyard/internal/inbound"
)

// ConnMemory is how many bytes a connection holds by itself: buffers and stacks, also of net/http.
const ConnMemory = 24 << 10

// epoch is the time that the atomic times of connections are relative to.
var epoch = time.Now()

// clientConn is a client's connection. It scans what the client sends before net/http parses it, to find where each
// request ends. A head is passed to net/http once it is complete and only if its framing is unambiguous; requests that are
// passed are not changed. Requests that arrive while another one is being answered are kept until it is.
type clientConn struct {
	net.Conn
	owner         *clientListener
	deadlines     *clientDeadlines
	state         atomic.Int32
	stateSince    atomic.Int64 // since epoch
	bodyPending   atomic.Bool  // the request's body is incomplete; reset by Read at its end or by an eviction, whichever is first
	answerPending atomic.Bool  // a request has been passed to net/http and its answer is not complete
	socket        socketState
	arrivedAt     atomic.Int64 // when the first byte of the current head was read, since epoch
	completedAt   atomic.Int64 // when the last byte of the current request was read at the latest, since epoch; 0: not yet
	// handOverFailed is set if the socket may also be in the queue of a process that stands still. The connection then has
	// to be ended before it is closed.
	handOverFailed atomic.Bool
	// answerBroken is set if the current answer broke off and only the end of the connection marks its end.
	answerBroken atomic.Bool

	pipelined      atomic.Int32    // pipelined requests read after the current one
	answerComplete atomic.Bool     // refusals may follow the current request's answer
	account        *inbound.Client // of the work on what it sends
	bodyMemory     atomic.Pointer[inbound.Holding]
	inputEnded     atomic.Bool                // the client has closed, or the connection is broken
	owed           atomic.Pointer[owedAnswer] // nil: no answer is owed

	// Used by Read, which net/http does not call concurrently, and by trackConnState while Read is not running.
	reader           *inbound.Reader
	memory           *inbound.Holding
	buf              []byte          // read from the socket and not yet returned
	head             headScanner     // of the next head, at the start of buf
	counter          pipelineCounter // of the requests in buf behind the current one
	emptyLineSkipped bool            // before the next head
	firstByteAt      time.Time       // when the first byte of buf was read
	lastReadAt       time.Time       // when bytes were last read from the socket
	headBegunAt      time.Time       // when this process read the first byte of buf
	restsSince       time.Time       // when the connection was opened, or the last answer ended
	bodyDueAt        time.Time       // when the current request's body must be complete
	inputAge         time.Duration   // how long the bytes at the start of buf had waited to be read, at least
	deliverable      int             // length of the part of buf that may be returned
	bodyLeft         int64           // bytes of the request's body that are not ready to be returned yet
	chunks           *chunkScanner   // scans a chunked body, nil if there is none
	passthrough      bool            // everything is returned unscanned; the connection ends with this request
	readsEnded       bool            // Read returns io.EOF
	overflowed       bool            // pipelined data exceeded maxReadAhead and what followed was discarded
	fillerLeft       int             // filler bytes to return in place of the discarded rest of an oversized head
	headsRead        atomic.Int32    // complete heads so far; also read by handlers
}

type connKey struct{}

// contextWithConn is a ConnContext for http.Server that makes the connection available to handlers.
func contextWithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// timeSinceArrival returns the time since the first byte of the current request was read. The time limit that
// a client sets counts from there, however slowly the rest arrives and however long the request waits.
func timeSinceArrival(ctx context.Context) time.Duration {
	if c, ok := ctx.Value(connKey{}).(*clientConn); ok {
		return time.Since(epoch) - time.Duration(c.arrivedAt.Load())
	}
	return 0
}

// completionTime returns when the current request had come in full.
func completionTime(ctx context.Context) time.Time {
	if c, ok := ctx.Value(connKey{}).(*clientConn); ok {
		if completedAt := c.completedAt.Load(); completedAt > 0 {
			return epoch.Add(time.Duration(completedAt))
		}
	}
	return time.Now()
}

// setState changes the connection's state. It returns false if the connection has been evicted.
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

// age returns how long the connection has been in its state.
func (c *clientConn) age() time.Duration {
	return time.Since(epoch) - time.Duration(c.stateSince.Load())
}

// trackConnState is a ConnState hook for http.Server.
func trackConnState(c net.Conn, state http.ConnState) {
	if c, ok := c.(*clientConn); ok {
		switch state {
		case http.StateIdle: // Read is not running
			c.account.End()
			c.answerPending.Store(false)
			c.restsSince = time.Now()
			c.socket.setAnswered(len(c.buf) > 0)
			if c.setState(connIdle) && c.owner.closing.Load() {
				c.closeIfIdle()
			}
		case http.StateActive:
			c.setState(connActive)
		case http.StateClosed:
			_ = c.Close()
		}
	}
}

// CloseWrite lets net/http shut down the sending side before it closes, so that the client receives an answer rather than
// a reset.
func (c *clientConn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

// clientGone reports whether the connection was closed by this process or by the client, as far as the socket shows
// without blocking.
func (c *clientConn) clientGone() bool {
	return c.socket.isClosed() || inbound.PeerClosed(c.Conn) || isDisconnected(c.Conn)
}
