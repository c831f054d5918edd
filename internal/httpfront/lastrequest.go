package httpfront

// This file owns the end of a client's connection: a request that has been read is answered before its connection closes,
// whoever closes it. Reading from the socket and closing exclude each other, so that what comes in the very moment of the
// close is either not read (and its client learns that by the reset) or answered.

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// evictTime is how long the refusal that an evicted client gets may take to write. It fits a socket's buffer.
const evictTime = 50 * time.Millisecond

// lastRequest is what a connection's end depends on.
type lastRequest struct {
	mu      sync.Mutex
	reading bool          // bytes of a request were read and it has not been answered
	put     chan struct{} // closed with the connection; set where its close was put off for a request, else nil
	closed  bool
}

func (r *lastRequest) isClosed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed
}

// answered notes that the request at hand has its answer. more says that bytes of the next were read already.
func (r *lastRequest) answered(more bool) {
	r.mu.Lock()
	r.reading = more
	r.mu.Unlock()
}

// putOff says that the connection must not close yet, as a request on it is unanswered. It says so once.
func (r *lastRequest) putOff() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.reading || r.closed || r.put != nil {
		return false
	}
	r.put = make(chan struct{})
	return true
}

func (r *lastRequest) isPutOff() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.put != nil
}

// close has nothing more read. It says whether it is the first to, and whether a request is unanswered.
func (r *lastRequest) close() (first, unanswered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	first = !r.closed
	r.closed = true
	return first, r.reading
}

// take reads from the socket, unless the connection was closed.
func (c *clientConn) take(p []byte) (n int, err error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return c.Conn.Read(p)
	}
	raw, err := socket.SyscallConn()
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
		for n, failed = syscall.Read(int(fd), p); errors.Is(failed, syscall.EINTR); {
			n, failed = syscall.Read(int(fd), p)
		}
		n = max(0, n)
		c.ends.reading = c.ends.reading || n > 0
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

// Close implements net.Conn for net/http, which calls a connection idle until it has read a head, and closes idle ones at a
// shutdown: where a request has been read by then, the connection closes with its answer.
func (c *clientConn) Close() error {
	if c.ends.putOff() {
		return nil
	}
	return c.shut()
}

// shut closes the connection.
func (c *clientConn) shut() error {
	first, _ := c.ends.close()
	if !first {
		return net.ErrClosed
	}
	return c.release()
}

// release gives the connection's place and socket back.
func (c *clientConn) release() error {
	c.from.mu.Lock()
	delete(c.from.conns, c)
	c.from.mu.Unlock()
	err := c.Conn.Close()
	if c.ends.put != nil { // it is set before the close only
		close(c.ends.put)
	}
	return err
}

// evict closes the connection for a newcomer. Where a request on it has been read in part, or in that very moment, its
// client is refused: nothing of it has been sent on.
func (c *clientConn) evict() {
	first, unanswered := c.ends.close()
	if !first {
		return
	}
	if unanswered {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(evictTime))
		_, _ = io.WriteString(c.Conn, refusalText(c.from.again))
	}
	_ = c.release()
}

// lastRequests waits until the connections whose close was put off are closed. Those that are left when ctx ends are cut.
func (l *clients) lastRequests(ctx context.Context) {
	l.mu.Lock()
	var late []*clientConn
	for c := range l.conns {
		if c.ends.isPutOff() {
			late = append(late, c)
		}
	}
	l.mu.Unlock()
	for _, c := range late {
		select {
		case <-c.ends.put:
		case <-ctx.Done():
			_ = c.shut()
		}
	}
}
