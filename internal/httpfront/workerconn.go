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
	awaitingAnswer    atomic.Bool                  // a request was written after the end of the last answer
	mayWrite          atomic.Pointer[func() bool]  // called before that write, nil: no check
	receivedAt        atomic.Int64                 // when bytes were last received, since epoch
	outbound          delivery.Outbound            // of the requests on it
	done              chan struct{}                // closed with the connection
	unusable          atomic.Bool                  // must not be used for another request
	handOverRequested atomic.Bool                  // another process is to continue the answer
	handOverFD        int                          // the duplicated socket, set once Read has returned errHandedOver
	addr              string                       // of the worker
	registry          *connRegistry                // holds the connection until it is closed
	silence           atomic.Pointer[silenceWatch] // of the stream that arrives on it, nil: there was none

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
	chunkData          []byte // what the chunked body's last bytes held of its data
	err                error
}

// answerState is the part of an answer that is read next.
type answerState int

const (
	inHead        answerState = iota
	inSizedBody               // with a Content-Length
	inChunkedBody             // the empty line behind its trailer ends it
	inBodyToClose             // the close of the connection ends it
)

// The framing of the chunks that Read returns.
const (
	chunkSizeDigits  = 4
	chunkHeadBytes   = chunkSizeDigits + len(lineEnd)
	maxChunkData     = 1<<(4*chunkSizeDigits) - 1
	lineEnd          = "\r\n"
	bodyEnd          = "0" + lineEnd + lineEnd // the last chunk, with an empty trailer
	chunkFramingSize = chunkHeadBytes + len(lineEnd) + len(bodyEnd)
	minChunkBuffer   = 512 // that a chunk is read into
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

// freshInputSpan is how long after bytes were received what reads them may not have judged them yet.
const freshInputSpan = 10 * time.Millisecond

// hasUnjudgedInput reports whether bytes have come that were not read, or were read just now, since a time relative to epoch.
func (c *workerConn) hasUnjudgedInput(since time.Duration) bool {
	receivedAt := time.Duration(c.receivedAt.Load())
	return receivedAt > since && time.Since(epoch)-receivedAt < freshInputSpan || hasUnreadInput(c.Conn)
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
		n := 0
		switch {
		case c.readyBytes > 0:
			n = copy(p, c.buf[:c.readyBytes])
			c.buf, c.readyBytes = c.buf[n:], c.readyBytes-n
		case c.err != nil:
			return 0, c.err
		case c.state == inHead:
			if err := c.readHead(); err != nil {
				c.fail(err)
			}
		case c.state == inChunkedBody:
			n = c.readChunks(p)
		default:
			n = c.readBody(p)
		}
		if n > 0 {
			return n, nil
		}
	}
	return 0, nil
}

// readBody reads from a body without chunks.
func (c *workerConn) readBody(p []byte) int {
	received := c.receiveBody(p)
	if c.state != inSizedBody {
		return received
	}
	n := int(min(c.bodyLeft, int64(received)))
	if c.bodyLeft -= int64(n); c.bodyLeft == 0 {
		c.end(received - n + len(c.buf))
	}
	return n
}

// readChunks reads from a chunked body. All data that has come becomes one chunk, as net/http returns no part of a chunk before it
// has a buffer full of it. The last chunk follows once that of the worker has come together with its trailer, which is dropped.
func (c *workerConn) readChunks(p []byte) int {
	if len(p) < minChunkBuffer {
		chunk := make([]byte, minChunkBuffer)
		chunk = chunk[:c.readChunks(chunk)]
		n := copy(p, chunk)
		c.buf = append(chunk[n:], c.buf...)
		c.readyBytes = len(chunk) - n
		return n
	}
	in := p[chunkHeadBytes:]
	in = in[:min(len(p)-chunkFramingSize, maxChunkData)]
	received := c.receiveBody(in)
	c.chunkData = in[:0]
	used, ended, err := c.chunks.feed(in[:received])
	n := frameChunk(p, len(c.chunkData))
	switch {
	case err != nil:
		c.fail(err)
	case ended:
		n += copy(p[n:], bodyEnd)
		c.end(received - used + len(c.buf))
	}
	return n
}

// collectChunkData receives the data of a chunked body. It moves it to the front of the bytes that it was found in.
func (c *workerConn) collectChunkData(data []byte) { c.chunkData = append(c.chunkData, data...) }

// frameChunk writes the framing around data of the given size that stands behind the room for a chunk's head. It returns the
// chunk's length, 0 if there is no data: such a chunk would be the last one.
func frameChunk(p []byte, size int) int {
	if size == 0 {
		return 0
	}
	const hexDigits = "0123456789abcdef"
	for i, rest := chunkSizeDigits-1, size; i >= 0; i-- {
		p[i] = hexDigits[rest%len(hexDigits)]
		rest /= len(hexDigits)
	}
	copy(p[chunkSizeDigits:], lineEnd)
	end := chunkHeadBytes + size
	return end + copy(p[end:], lineEnd)
}

// receiveBody returns bytes of a body, or behind it: first those that were received with the head.
func (c *workerConn) receiveBody(p []byte) int {
	if len(c.buf) > 0 {
		n := copy(p, c.buf)
		c.buf = c.buf[n:]
		return n
	}
	c.buf = nil
	n, err := c.receive(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.handOverRequested.CompareAndSwap(true, false) {
		err = c.detach()
	}
	c.err = err
	return n
}

// detach duplicates the socket for the process that is to continue the answer, and returns errHandedOver. If that fails the answer
// goes on here.
func (c *workerConn) detach() (err error) {
	c.outbound.Detach()
	// The transport closes the connection as soon as it has an error.
	if c.handOverFD, err = dup(c.Conn); err != nil {
		c.silence.Load().resume()
		return nil
	}
	return errHandedOver
}

// receive reads from the socket. A deadline that is over does not count for input that was there: this process was late, not the
// worker. Nor does one that was set for the silence of a stream that is not overdue any more.
func (c *workerConn) receive(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for errors.Is(err, os.ErrDeadlineExceeded) && !c.handOverRequested.Load() && c.readsOn() {
		n, err = c.Conn.Read(p)
	}
	if n > 0 {
		c.receivedAt.Store(int64(time.Since(epoch)))
		if watch := c.silence.Load(); watch != nil {
			watch.wakeAgain()
		}
	}
	return n, err
}

// readsOn clears the deadline that is over if the connection may be read on, and reports whether it may.
func (c *workerConn) readsOn() bool {
	hasInput := hasUnreadInput(c.Conn)
	if watch := c.silence.Load(); watch != nil {
		return watch.clearDeadline(hasInput)
	}
	if hasInput {
		_ = c.Conn.SetReadDeadline(time.Time{}) // it does not wait
	}
	return hasInput
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
	if !ok || f.chunked && bytes.Equal(version, []byte("HTTP/1.0")) {
		return malformed("ambiguous framing in its head")
	}
	c.readyBytes = len(kept)
	c.buf = append(kept, c.buf[end:]...)
	switch {
	case code == 204 || code == 304 || f.hasLength && f.contentLength == 0:
		c.end(len(c.buf) - c.readyBytes)
	case f.chunked:
		c.state, c.chunks = inChunkedBody, chunkScanner{onData: c.collectChunkData}
	case f.hasLength:
		c.state, c.bodyLeft = inSizedBody, f.contentLength
	default:
		c.state = inBodyToClose
	}
	return nil
}

// end records the end of an answer. extra is the number of bytes that were received behind it.
func (c *workerConn) end(extra int) {
	c.state = inHead
	c.setWatch(nil)
	if watch := c.silence.Swap(nil); watch != nil {
		watch.endAnswer()
	}
	c.outbound.Answered()
	switch {
	case extra > 0:
		c.buf = c.buf[:c.readyBytes]
		c.registry.recordSecondAnswer(c.addr)
		c.fail(errExtraBytes)
	case c.outbound.CarriesAttempt() && c.registry.hasAnsweredTwice(c.addr):
		c.fail(errUsedUp)
	}
	c.awaitingAnswer.Store(false)
}
