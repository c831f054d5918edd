package httpfront

// This file owns the end of a client's connection: a request that has been read is answered before its connection closes,
// whoever closes it, and so are those that were read behind it. Reading from the socket and closing exclude each other, so
// that what comes in the very moment of the close is either not read (and its client learns that by the reset) or answered.

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// refusalWriteTimeout is how long refusals before a close may take to write. They fit a socket's buffer.
const refusalWriteTimeout = 50 * time.Millisecond

// socketState is what a connection's end depends on.
type socketState struct {
	mu             sync.Mutex
	requestPending bool // bytes of a request were read and it has not been answered
	paused         bool // nothing more is read, and the connection is not closed for that
	closed         bool
}

// pause has nothing more read: another process does.
func (r *socketState) pause() {
	r.mu.Lock()
	r.paused = true
	r.mu.Unlock()
}

func (r *socketState) isClosed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed
}

// setAnswered notes that the request at hand has its answer. more says that bytes of the next were read already.
func (r *socketState) setAnswered(nextBegun bool) {
	r.mu.Lock()
	r.requestPending = nextBegun
	r.mu.Unlock()
}

// close has nothing more read. It says whether it is the first to, and whether a request is unanswered.
func (r *socketState) close() (first, unanswered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	first = !r.closed
	r.closed = true
	return first, r.requestPending
}

// closeIfAnswered does the same unless a request is unanswered. It says whether it was the one to close.
func (r *socketState) closeIfAnswered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.requestPending || r.closed {
		return false
	}
	r.closed = true
	return true
}

// readSocket reads from the socket, unless the connection was closed.
func (c *clientConn) readSocket(p []byte) (n int, err error) {
	sysConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return c.Conn.Read(p)
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return 0, err
	}
	var failed error
	err = raw.Read(func(fd uintptr) (done bool) {
		c.ends.mu.Lock()
		defer c.ends.mu.Unlock()
		if c.ends.closed {
			failed = net.ErrClosed
			return true
		}
		if c.ends.paused {
			return false // waits for the close
		}
		for n, failed = syscall.Read(int(fd), p); errors.Is(failed, syscall.EINTR); {
			n, failed = syscall.Read(int(fd), p)
		}
		n = max(0, n)
		c.ends.requestPending = c.ends.requestPending || n > 0
		return !errors.Is(failed, syscall.EAGAIN)
	})
	switch {
	case err != nil:
		return n, err
	case failed != nil && !errors.Is(failed, net.ErrClosed):
		return n, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", failed)}
	case failed != nil:
		return n, failed
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// Close implements net.Conn. What was read behind an answer that is whole, and will not be served any more, is refused.
func (c *clientConn) Close() error {
	first, _ := c.ends.close()
	if !first {
		return net.ErrClosed
	}
	if c.answerComplete.Load() {
		c.refusePipelined()
	}
	return c.release()
}

// closeIfIdle closes a connection that was left between two requests. Where a request has been read in that very moment,
// the connection stays and ends with the answer.
func (c *clientConn) closeIfIdle() {
	if c.ends.closeIfAnswered() {
		_ = c.release()
	}
}

// release gives the connection's place and socket back.
func (c *clientConn) release() error {
	defer c.from.open.End()
	c.from.mu.Lock()
	delete(c.from.conns, c)
	c.from.mu.Unlock()
	return c.Conn.Close()
}

// evict closes the connection for a newcomer. Where a request on it has been read in part, or in that very moment, its
// client is refused: nothing of it has been sent on.
func (c *clientConn) evict() {
	first, unanswered := c.ends.close()
	if !first {
		return
	}
	if unanswered {
		c.refuse(max(1, int(c.behind.Swap(0))))
	}
	_ = c.release()
}

// refusePipelined refuses the requests that were read behind the one at hand: nothing of them has been sent on.
func (c *clientConn) refusePipelined() {
	c.refuse(int(c.behind.Swap(0)))
}

// refuse refuses so many requests.
func (c *clientConn) refuse(requests int) { writeRefusals(c.Conn, c.from.retryAfter, requests) }

// writeRefusals writes refusals for so many requests to a client whose connection ends then, as the last of them tells.
func writeRefusals(client net.Conn, retryAfter string, requests int) {
	if requests <= 0 {
		return
	}
	_ = client.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	_, _ = io.WriteString(client, strings.Repeat(unavailableResponse(retryAfter, false), requests-1)+unavailableResponse(retryAfter, true))
}

// countRequests counts the requests in what was read, of which at least the first line has come.
func countRequests(text []byte) int {
	for n := 0; ; n++ {
		end := headEnd(text)
		if end == 0 {
			if bytes.IndexByte(text, '\n') >= 0 {
				n++
			}
			return n
		}
		f, ok := requestFraming(text[:end])
		if !ok || f.chunked || int64(len(text)-end) < f.length { // where the next one begins is not known
			return n + 1
		}
		text = text[end+int(f.length):]
	}
}

// announceClose tells the client that its connection ends with this answer, where it does. It does not where more requests have
// been read: they are answered first.
func (c *clientConn) announceClose(answer http.Header, r *http.Request) {
	chunked := len(r.TransferEncoding) > 0 // net/http might see its end elsewhere than chunkScan does
	if chunked || c.from.closing.Load() && c.behind.Load() == 0 {
		answer.Set("Connection", "close")
	} else {
		answer.Del("Connection")
	}
}

// withConnectionHeader serves with next and has each answer tell whether its connection ends. Guards against net/http's own ways to end
// connections (Shutdown, SetKeepAlivesEnabled), which serve nothing that was read behind an answer.
func withConnectionHeader(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*clientConn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		c.announceClose(w.Header(), r)
		next.ServeHTTP(w, r)
		// Not reached by an answer that broke off. Without chunks the close is the end of the answer.
		c.answerComplete.Store(r.ProtoAtLeast(1, 1))
	})
}

// closeAfterAnswers has each connection end with its answer, or with the last one where more requests have been read; those that
// stand idle end now. Off has them stay open again.
func (l *clients) closeAfterAnswers(on bool) {
	l.closing.Store(on)
	if !on {
		return
	}
	l.mu.Lock()
	var idle []*clientConn
	for c := range l.conns {
		if c.state.Load() == connIdle {
			idle = append(idle, c)
		}
	}
	l.mu.Unlock()
	for _, c := range idle {
		c.closeIfIdle()
	}
}

// shutdown takes no new connections and waits for those that are open. It says no where ctx ends first.
func (l *clients) shutdown(ctx context.Context) bool {
	_ = l.Close()
	select {
	case <-l.acceptDone: // what was taken before is counted by now
	case <-ctx.Done():
		return false
	}
	return l.open.Wait(ctx)
}
