package httpfront

// workerConn reads the answers on a connection to a worker before net/http does. It finds where each head, chunk and
// answer ends and checks that they are well-formed. It drops what is not part of an answer (1xx heads, load reports
// that were not requested) and fails when bytes arrive that belong to no answer, on which net/http closes the connection.
// Bodies pass unchanged.

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"rowanyard/internal/delivery"
)

const (
	maxAnswerHeadBytes = 16 << 10    // of an answer's head, and of all 1xx heads before it
	answerHeadTimeout  = time.Second // without a further byte of a head that has begun
	maxChunkBytes      = 256 << 10   // a chunk may not be larger than a request body
	maxChunkLineBytes  = 4 << 10     // of a chunk extension or a trailer
	maxEventBytes      = 64 << 10    // of a line of a stream, and of its first event
	firstEventTimeout  = time.Second // without a further byte until the first event is complete
	headerLoadReport   = "X-Pressure"
)

var (
	errMalformedAnswer = errors.New("a spoilt answer")
	errExtraBytes      = errors.New("bytes that belong to no answer")
	errUsedUp          = errors.New("the connection's worker has answered twice")
	errUnreadInput     = errors.New("not sent: unread input on the connection")
	errTooManyConns    = errors.New("too many connections to workers")
)

func malformed(format string, a ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{errMalformedAnswer}, a...)...)
}

// workerConn is a connection to a worker. Its Read returns one answer at a time.
type workerConn struct {
	net.Conn
	openConns         *atomic.Int64 // counts the client's open connections
	closed            atomic.Bool
	awaitingAnswer    atomic.Bool                 // a request was written after the end of the last answer
	mayWrite          atomic.Pointer[func() bool] // called before that write, nil: no check
	receivedAt        atomic.Int64                // when bytes were last received, since epoch
	outbound          delivery.Outbound           // of the requests on it
	done              chan struct{}               // closed with the connection
	unusable          atomic.Bool                 // must not be used for another request
	trailerPending    atomic.Bool                 // the answer has ended but for its trailer
	handOverRequested atomic.Bool                 // another process is to continue the answer
	handOverFD        int                         // the duplicated socket, set once Read has returned errHandedOver
	addr              string                      // of the worker
	registry          *connRegistry               // holds the connection until it is closed

	watchMu sync.Mutex
	watch   *attemptWatch // of the attempt in progress, nil once its answer has ended; see cancel.go

	// Used by Read only, which the transport calls from one goroutine.
	buf                []byte // a head not yet complete, or bytes not yet returned
	readyBytes         int    // how much of buf Read may return
	headBegun          bool   // the first bytes of a head have arrived
	informationalBytes int    // size of the 1xx heads before this one
	state              answerState
	bodyLeft           int64 // bytes of the body still to come
	chunks             chunkScanner
	trailerBytes       int
	err                error
}

// answerState is the part of an answer that is read next.
type answerState int

const (
	inHead        answerState = iota
	inSizedBody               // with a Content-Length
	inChunkedBody             // the last chunk ends it
	inBodyToClose             // the close of the connection ends it
	inTrailer                 // of a chunked body that has been passed on
)

const (
	emptyTrailer  = "\n\r\n" // the end of the last chunk's size line, and of the body
	trailerBuffer = 512
)

// Close implements net.Conn.
func (c *workerConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.outbound.End()
		c.openConns.Add(-1)
		close(c.done)
		if c.registry != nil {
			c.registry.remove(c)
		}
	}
	return c.Conn.Close()
}

// Write refuses to send a request on a connection with unread input, which could be taken for its answer, and to send
// one that is no longer wanted: the transport writes the head before it reads the body.
func (c *workerConn) Write(p []byte) (int, error) {
	if c.trailerPending.Load() {
		return 0, errUnreadInput
	}
	if !c.awaitingAnswer.Load() {
		if mayWrite := c.mayWrite.Swap(nil); mayWrite != nil && !(*mayWrite)() {
			return 0, errWithdrawn
		}
		if c.unusable.Load() {
			return 0, errUnreadInput
		}
		if hasUnreadInput(c.Conn) {
			c.registry.recordSecondAnswer(c.addr)
			return 0, errUnreadInput
		}
		c.awaitingAnswer.Store(true)
	}
	return c.Conn.Write(p)
}

// begin prepares the connection for the next request, of whatever kind. It waits until a second answer to the previous attempt
// would have arrived, so that Write detects it. If it were taken for the answer to the next request, a request that runs could
// count as turned away, or a client could receive another request's stream. mayWrite is called before the first byte, nil: no
// check.
func (c *workerConn) begin(ctx context.Context, kind delivery.Kind, mayWrite *func() bool, after func(time.Duration) <-chan time.Time) {
	c.mayWrite.Store(mayWrite)
	c.awaitLateAnswer(ctx, after)
	c.outbound.Begin(kind)
}

func (c *workerConn) awaitLateAnswer(ctx context.Context, after func(time.Duration) <-chan time.Time) {
	wait := c.outbound.ReuseDelay()
	if wait <= 0 {
		return
	}
	select {
	case <-after(wait):
	case <-c.done:
	case <-ctx.Done():
	}
}

// hasUnreadInput reports whether a connection has input that has not been read.
func hasUnreadInput(c net.Conn) bool {
	n, err := peek(c)
	return err == nil && n > 0
}

// isDisconnected reports whether a connection was ended by the peer or by a network error and has no unread input.
func isDisconnected(c net.Conn) bool {
	n, err := peek(c)
	if err == nil {
		return n == 0
	}
	return !errors.Is(err, delivery.ErrNotASocket) && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.ENOMEM)
}

// peek looks at the next byte of a connection without consuming it. It returns 0 at the end of the input and an error
// if there is none yet.
func peek(c net.Conn) (n int, err error) {
	err = delivery.Control(c, func(fd int) (err error) {
		var b [1]byte
		for {
			n, _, err = syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			if !errors.Is(err, syscall.EINTR) {
				return err
			}
		}
	})
	return n, err
}

// Read returns the answers one after the other, never bytes of two at once.
func (c *workerConn) Read(p []byte) (int, error) {
	for len(p) > 0 {
		if c.readyBytes > 0 {
			n := copy(p, c.buf[:c.readyBytes])
			c.buf, c.readyBytes = c.buf[n:], c.readyBytes-n
			return n, nil
		}
		if c.err != nil {
			return 0, c.err
		}
		switch c.state {
		case inHead:
			if err := c.readHead(); err != nil {
				c.fail(err)
			}
			continue
		case inTrailer:
			if err := c.readTrailer(); err != nil {
				c.fail(err)
			}
			continue
		}
		var n int
		var err error
		if len(c.buf) > 0 { // received with the head
			n = copy(p, c.buf)
			c.buf = c.buf[n:]
		} else {
			c.buf = nil
			n, err = c.receive(p)
		}
		if err != nil && n == 0 && c.handOverRequested.CompareAndSwap(true, false) && errors.Is(err, os.ErrDeadlineExceeded) {
			c.outbound.Detach()
			// The transport closes the connection as soon as it has an error.
			if c.handOverFD, err = dup(c.Conn); err != nil { // the stream goes on here
				_ = c.Conn.SetReadDeadline(time.Time{})
				continue
			}
			err = errHandedOver
		}
		c.err = err
		if n, err = c.scanBody(p[:n]); err != nil {
			c.fail(err)
		}
		if n > 0 {
			return n, nil
		}
	}
	return 0, nil
}

// receive reads from the socket. A deadline that is over does not count for input that was there: this process was late, not the
// worker.
func (c *workerConn) receive(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && !c.handOverRequested.Load() && hasUnreadInput(c.Conn) {
		_ = c.Conn.SetReadDeadline(time.Time{}) // it does not wait
		n, err = c.Conn.Read(p)
	}
	if n > 0 {
		c.receivedAt.Store(int64(time.Since(epoch)))
	}
	return n, err
}

// fail makes all further reads return err and keeps the connection from being used again.
func (c *workerConn) fail(err error) {
	c.unusable.Store(true)
	c.err = err
}

// readHead reads a head and makes it available to Read.
func (c *workerConn) readHead() error {
	if len(c.buf) == 0 {
		c.buf = make([]byte, 0, 1<<10)
	}
	for {
		if len(c.buf) > 0 {
			if !c.awaitingAnswer.Load() {
				c.registry.recordSecondAnswer(c.addr)
				return errExtraBytes
			}
			c.headBegun = true
			_ = c.Conn.SetReadDeadline(time.Now().Add(answerHeadTimeout)) // for the rest of it, or more of it
			if end := headLength(c.buf); end > 0 {
				_ = c.Conn.SetReadDeadline(time.Time{})
				c.headBegun = false
				return c.parseHead(end)
			}
			if c.informationalBytes+len(c.buf) > maxAnswerHeadBytes {
				return malformed("head over %d bytes", maxAnswerHeadBytes)
			}
		}
		if cap(c.buf) == len(c.buf) {
			c.buf = append(make([]byte, 0, 2*cap(c.buf)+512), c.buf...)
		}
		n, err := c.receive(c.buf[len(c.buf):cap(c.buf)])
		c.buf = c.buf[:len(c.buf)+n]
		if err != nil && n == 0 {
			if c.headBegun {
				return malformed("incomplete head: %v", err)
			}
			return err
		}
	}
}

// parseHead processes the head in the first end bytes of the buffer.
func (c *workerConn) parseHead(end int) error {
	first := bytes.IndexByte(c.buf, '\n') + 1
	version, rest, _ := bytes.Cut(bytes.TrimRight(c.buf[:first], "\r\n"), []byte(" "))
	text, _, _ := bytes.Cut(rest, []byte(" "))
	code, err := strconv.Atoi(string(text))
	if err != nil || len(text) != 3 || code < 100 || !bytes.HasPrefix(version, []byte("HTTP/1.")) || code == 101 {
		return malformed("status line %.40q", c.buf[:first])
	}
	if code < 200 { // informational, not yet the answer
		c.informationalBytes += end
		if c.buf = c.buf[end:]; c.informationalBytes > maxAnswerHeadBytes {
			return malformed("1xx heads over %d bytes", maxAnswerHeadBytes)
		}
		return nil
	}
	c.informationalBytes = 0
	// Load reports are taken from probes only. A malformed one must not invalidate the head that carries it.
	keep := func(name []byte) bool { return !bytes.EqualFold(name, []byte(headerLoadReport)) }
	f, kept, ok := parseFields(c.buf[first:end], keep, append(make([]byte, 0, len(c.buf)), c.buf[:first]...))
	if !ok {
		return malformed("ambiguous framing in its head")
	}
	c.readyBytes = len(kept)
	c.buf = append(kept, c.buf[end:]...)
	switch {
	case code == 204 || code == 304 || f.hasLength && f.contentLength == 0:
		return c.end(len(c.buf) - c.readyBytes)
	case f.chunked:
		c.state, c.chunks = inChunkedBody, chunkScanner{}
	case f.hasLength:
		c.state, c.bodyLeft = inSizedBody, f.contentLength
	default:
		c.state = inBodyToClose
	}
	return nil
}

// scanBody follows the body through p and returns how many of these bytes belong to it.
func (c *workerConn) scanBody(p []byte) (int, error) {
	switch c.state {
	case inSizedBody:
		n := int(min(c.bodyLeft, int64(len(p))))
		if c.bodyLeft -= int64(n); c.bodyLeft == 0 {
			return n, c.end(len(p) - n + len(c.buf))
		}
		return n, nil
	case inChunkedBody:
		n, end, err := c.chunks.feed(p)
		if err != nil || !c.chunks.dataEnded() {
			return n, err
		}
		return c.chunks.dataEnd, c.endData(p[n:], end)
	}
	return len(p), nil
}

// endData passes on the end of a chunked body as soon as its last chunk has come, whenever its trailer comes, which nobody reads.
// rest was received behind what belongs to the body, and trailerEnded is whether the trailer has come.
func (c *workerConn) endData(rest []byte, trailerEnded bool) error {
	extra := append(bytes.Clone(rest), c.buf...)
	c.buf = append([]byte(emptyTrailer), extra...)
	c.readyBytes = len(emptyTrailer)
	if trailerEnded {
		return c.end(len(extra))
	}
	c.state, c.trailerBytes = inTrailer, 0
	c.trailerPending.Store(true)
	return nil
}

// readTrailer reads the trailer of an answer whose body has been passed on.
func (c *workerConn) readTrailer() error {
	if len(c.buf) == 0 {
		c.buf = make([]byte, trailerBuffer)
		n, err := c.receive(c.buf)
		if c.buf = c.buf[:n]; n == 0 {
			return err
		}
	}
	n, end, err := c.chunks.feed(c.buf)
	c.buf = c.buf[n:]
	c.trailerBytes += n
	switch {
	case err != nil:
		return err
	case c.trailerBytes > maxAnswerHeadBytes:
		return malformed("trailer over %d bytes", maxAnswerHeadBytes)
	case end:
		c.trailerPending.Store(false)
		return c.end(len(c.buf))
	}
	return nil
}

// end records the end of an answer. extra is the number of bytes that were received behind it.
func (c *workerConn) end(extra int) error {
	c.state = inHead
	c.setWatch(nil)
	c.outbound.Answered()
	if extra > 0 {
		c.buf = c.buf[:c.readyBytes]
		c.registry.recordSecondAnswer(c.addr)
		c.unusable.Store(true)
		c.awaitingAnswer.Store(false)
		return errExtraBytes
	}
	usedUp := c.outbound.CarriesAttempt() && c.registry.hasAnsweredTwice(c.addr)
	if usedUp {
		c.unusable.Store(true)
	}
	c.awaitingAnswer.Store(false)
	if usedUp {
		return errUsedUp
	}
	return nil
}
