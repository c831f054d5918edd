package httpfront

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"rowanyard/internal/delivery"
	"rowanyard/internal/inbound"
)

// lastAnswerTimeout is for a client to take the last answers on its connection, where they do not fit into the socket's buffer.
const lastAnswerTimeout = 500 * time.Millisecond

// socketState serializes reading from a connection's socket with closing it. A request of which bytes have been read is
// answered before its connection closes, whoever closes it, and so are the requests pipelined behind it. What arrives at
// the moment of the close is either answered or not read at all; in the latter case the client receives a reset.
type socketState struct {
	mu             sync.Mutex
	requestPending bool // bytes of a request have been read and it has not been answered
	paused         bool // reads block until the connection is closed
	closed         bool
}

// pause stops reading without closing. It is called before the socket is handed over to another process, which reads it from
// then on.
func (r *socketState) pause() {
	r.mu.Lock()
	r.paused = true
	r.mu.Unlock()
}

func (r *socketState) isPaused() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.paused
}

func (r *socketState) isClosed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed
}

func (r *socketState) isRequestPending() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requestPending
}

// setAnswered records that the current request is answered. nextBegun is whether bytes of the next one have been read.
func (r *socketState) setAnswered(nextBegun bool) {
	r.mu.Lock()
	r.requestPending = nextBegun
	r.mu.Unlock()
}

// close stops reading. It reports whether this is the first close and whether a request is unanswered.
func (r *socketState) close() (first, unanswered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	first = !r.closed
	r.closed = true
	return first, r.requestPending
}

// closeIfAnswered stops reading unless a request is unanswered. It reports whether it did.
func (r *socketState) closeIfAnswered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.requestPending || r.closed {
		return false
	}
	r.closed = true
	return true
}

// readOnce reads from the socket without blocking. It fails with net.ErrClosed once the connection was closed, and finds nothing
// while reads are paused.
func (c *clientConn) readOnce(fd int, p []byte) (n int, err error) {
	c.socket.mu.Lock()
	defer c.socket.mu.Unlock()
	if c.socket.closed {
		return 0, net.ErrClosed
	}
	if c.socket.paused {
		return 0, inbound.ErrNothingYet // wait for the close
	}
	n, err = inbound.ReadOnce(fd, p)
	if n > 0 && c.readsNewHead() {
		c.inputAge = delivery.SinceInput(fd)
	}
	c.socket.requestPending = c.socket.requestPending || n > 0
	return n, err
}

// Close implements net.Conn. If the last answer is complete it refuses the pipelined requests, which are no longer served.
func (c *clientConn) Close() error {
	first, answeredLast := c.socket.close()
	if !first {
		return net.ErrClosed
	}
	c.logEnd(endedByRouter, whyUnknown)
	owed := ""
	if c.answerComplete.Load() {
		owed = c.refusals(int(c.pipelined.Swap(0)))
	}
	return c.release(answeredLast, owed)
}

// closeIfIdle closes a connection between two requests, or before the first. If bytes of a request have been read at that
// moment, the connection stays open and is closed after the answer. It reports whether it closed the connection.
func (c *clientConn) closeIfIdle() bool {
	closed := c.socket.closeIfAnswered()
	if closed {
		_ = c.release(false, "") // a request that comes now is not read, which a reset tells its client
	}
	return closed
}

// release removes the connection from its listener and closes the socket. answered is whether an answer was written that a reset
// must not overtake, and owed is what the client is still to be told.
func (c *clientConn) release(answered bool, owed string) error {
	defer c.owner.open.End()
	c.deadlines.end()
	c.owner.mu.Lock()
	delete(c.owner.conns, c)
	c.owner.mu.Unlock()
	c.account.Close()
	c.memory.Release()
	if c.handOverFailed.Load() {
		shutDown(c.Conn)
		return c.Conn.Close()
	}
	if c.answerBroken.Load() {
		return delivery.CloseByReset(c.Conn)
	}
	if owed == "" && !answered || c.socket.isPaused() { // a paused socket is that of another process
		return c.Conn.Close()
	}
	if c.inputEnded.Load() { // nothing can come that a close would answer with a reset
		_, _ = delivery.WriteNow(c.Conn, []byte(owed))
		return c.Conn.Close()
	}
	return c.owner.budgets.Close(c.Conn, []byte(owed), c.owner.reportLost)
}

// evict closes the connection to free its place or because the front is in standby. If a request on it has been read, even in
// part, or waits to be read, it is refused: nothing of it has been sent to a worker.
func (c *clientConn) evict() {
	first, unanswered := c.socket.close()
	if !first {
		return
	}
	c.logEnd(endedByRouter, whyEvicted)
	owed := ""
	if unanswered || hasUnreadInput(c.Conn) {
		owed = c.refusals(max(1, int(c.pipelined.Swap(0))))
	}
	_ = c.release(unanswered, owed)
}

// refusals returns the text of refusals for the given number of requests.
func (c *clientConn) refusals(requests int) string { return refusalsText(c.owner.retryAfter, requests) }

// writeLast writes an answer to a client whose connection is about to be closed, which the answer announces.
func (c *clientConn) writeLast(answer string) {
	if err := delivery.Write(c.Conn, []byte(answer), lastAnswerTimeout); err != nil {
		c.owner.reportLost(err)
	}
}

// refusalsText returns the text of refusals for the given number of requests, the last of which announces the close.
func refusalsText(retryAfter string, requests int) string {
	if requests <= 0 {
		return ""
	}
	return strings.Repeat(unavailableResponse(retryAfter, false), requests-1) + unavailableResponse(retryAfter, true)
}

// reportLost logs that a client did not get the last answer on its connection.
func (l *clientListener) reportLost(err error) { logLostAnswer(l.log, err) }

func logLostAnswer(log *slog.Logger, err error) { log.Info("last answer not delivered", "err", err) }

// announceClose sets or removes "Connection: close" in the header of an answer. A connection ends with the answer to
// a chunked request. While the listener is closing, it also ends with any other answer unless more requests have been
// read, which are answered first.
func (c *clientConn) announceClose(answer http.Header, r *http.Request) {
	chunked := len(r.TransferEncoding) > 0 // net/http might find the body's end elsewhere than the scanner does
	if chunked || c.owner.closing.Load() && c.pipelined.Load() == 0 {
		answer.Set("Connection", "close")
	} else {
		answer.Del("Connection")
	}
}

// withConnectionHeader wraps next so that each answer announces whether its connection ends. net/http's own ways to end
// connections, Shutdown and SetKeepAlivesEnabled, would not serve the requests that were read behind an answer.
func withConnectionHeader(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*clientConn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		c.announceClose(w.Header(), r)
		next.ServeHTTP(w, r)
		// Not reached if the handler panicked because the answer broke off. An answer of HTTP/1.0 ends with the close, so
		// that no refusal can follow it.
		c.answerComplete.Store(r.ProtoAtLeast(1, 1))
		c.endOwing()
	})
}

// closeAfterAnswers closes idle connections now and the others after their current answer, or after the last one if more
// requests have been read. With on false connections stay open again.
func (l *clientListener) closeAfterAnswers(on bool) {
	l.closing.Store(on)
	if on {
		l.closeUnread(connIdle)
	}
}

// closeUnused closes the connections on which nothing has been read, and has new ones rejected. It returns how many it closed.
func (l *clientListener) closeUnused() (closed int) {
	l.mu.Lock()
	l.rejectAll = true
	l.mu.Unlock()
	return l.closeUnread(connAwaitingHead)
}

// closeUnread closes the connections in a state on which nothing of a further request has been read. It returns how many it
// closed.
func (l *clientListener) closeUnread(state int32) (closed int) {
	l.mu.Lock()
	var candidates []*clientConn
	for c := range l.conns {
		if c.state.Load() == state {
			candidates = append(candidates, c)
		}
	}
	l.mu.Unlock()
	for _, c := range candidates {
		if c.closeIfIdle() {
			closed++
		}
	}
	return closed
}

// shutdown stops accepting and waits until all connections are closed. It returns false if ctx ends first.
func (l *clientListener) shutdown(ctx context.Context) bool {
	_ = l.Close()
	select {
	case <-l.acceptDone: // all accepted connections are counted in l.open
	case <-ctx.Done():
		return false
	}
	return l.open.Wait(ctx)
}
