package httpfront

// workerConn reads the answers on a connection to a worker before net/http does. It finds where each head, chunk and
// answer ends and checks that they are well-formed. It drops what is not part of an answer (1xx heads, load reports
// that were not requested) and fails when bytes arrive that belong to no answer, on which net/http closes the connection.
// Bodies pass unchanged.

import (
	"bytes"
	"context"
	"encoding/json"
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
	return !errors.Is(err, errNotASocket) && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.ENOMEM)
}

var errNotASocket = errors.New("not a socket")

// peek looks at the next byte of a connection without consuming it. It returns 0 at the end of the input and an error
// if there is none yet.
func peek(c net.Conn) (n int, err error) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0, errNotASocket
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, err
	}
	err = errNotASocket
	if controlErr := raw.Control(func(fd uintptr) {
		var b [1]byte
		for {
			n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			if !errors.Is(err, syscall.EINTR) {
				return
			}
		}
	}); controlErr != nil {
		err = controlErr
	}
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

// chunkScanner follows a chunked body. The zero value is at its start.
type chunkScanner struct {
	state     chunkState
	bytesLeft int64          // of the chunk's data
	lineBytes int            // of the current line
	onData    func(p []byte) // receives the data, may be nil
	dataEnd   int            // where in the bytes fed last the last chunk's size line ended, if it did
}

// chunkState is the part of a chunked body that the next byte belongs to. Its numbers are part of streamPosition.
type chunkState int

const (
	chunkSize   chunkState = iota
	chunkExt               // a chunk extension, up to the CR
	chunkSizeLF            // the LF after the size and its extension
	chunkData
	chunkCR     // the CR after the data ...
	chunkLF     // ... and the LF
	trailer     // the start of a trailer line, or of the empty line that ends the body
	trailerLine // the rest of a trailer line
	trailerLF   // the LF that ends the body
)

// feed processes the next bytes. It returns how many of them belong to the body and whether the body has ended.
func (s *chunkScanner) feed(p []byte) (n int, end bool, err error) {
	for n < len(p) {
		b := p[n]
		switch s.state {
		case chunkData:
			take := min(s.bytesLeft, int64(len(p)-n))
			if s.onData != nil {
				s.onData(p[n : n+int(take)])
			}
			n += int(take)
			if s.bytesLeft -= take; s.bytesLeft == 0 {
				s.state = chunkCR
			}
			continue
		case chunkSize:
			digit := unhex(b)
			switch {
			case digit >= 0:
				s.bytesLeft = s.bytesLeft<<4 | int64(digit)
				if s.lineBytes++; s.bytesLeft > maxChunkBytes || s.lineBytes > 16 {
					return n, false, malformed("chunk over %d bytes", maxChunkBytes)
				}
			case s.lineBytes > 0 && b == '\r':
				s.state = chunkSizeLF
			case s.lineBytes > 0 && (b == ';' || b == ' ' || b == '\t'):
				s.state, s.lineBytes = chunkExt, 0
			default:
				return n, false, malformed("malformed chunk size")
			}
		case chunkExt, trailerLine:
			if s.lineBytes++; s.lineBytes > maxChunkLineBytes {
				return n, false, malformed("chunk extension or trailer over %d bytes", maxChunkLineBytes)
			}
			if b == '\r' && s.state == chunkExt {
				s.state = chunkSizeLF
			} else if b == '\n' && s.state == trailerLine {
				s.state = trailer
			}
		case chunkSizeLF:
			if b != '\n' {
				return n, false, malformed("malformed chunk size")
			}
			s.state, s.lineBytes = chunkData, 0
			if s.bytesLeft == 0 {
				s.state, s.dataEnd = trailer, n
			}
		case chunkCR, chunkLF:
			if s.state == chunkCR && b == '\r' {
				s.state = chunkLF
			} else if s.state == chunkLF && b == '\n' {
				s.state = chunkSize
			} else {
				return n, false, malformed("chunk does not end after its size")
			}
		case trailer:
			s.state = trailerLine
			if b == '\r' {
				s.state = trailerLF
			}
		case trailerLF:
			if b != '\n' {
				return n, false, malformed("malformed trailer")
			}
			return n + 1, true, nil
		}
		n++
	}
	return n, false, nil
}

// dataEnded reports whether the last chunk has come. What may follow is a trailer.
func (s *chunkScanner) dataEnded() bool { return s.state >= trailer }

func unhex(b byte) int {
	switch {
	case b >= '0' && b <= '9':
		return int(b - '0')
	case b >= 'a' && b <= 'f':
		return int(b-'a') + 10
	case b >= 'A' && b <= 'F':
		return int(b-'A') + 10
	}
	return -1
}

// eventScanner follows an event stream: lines of a field name, a colon and a value, comments with any content, and
// empty lines.
type eventScanner struct {
	namePrefix []byte // the line's first bytes, at most as many as the longest field name has
	lineBytes  int    // length of the line so far
	validName  bool   // what precedes the colon is valid
	isComment  bool   // the line is a comment
	hasData    bool   // the current event has a line of data
	events     int    // events with data that are complete
}

// dataField is the name of the lines without which nothing is an event.
const dataField = "data"

var eventFields = []string{dataField, "event", "id", "retry"}

// feed processes the next bytes. It returns how many of them are valid and the position behind the last empty line.
func (s *eventScanner) feed(p []byte) (n, blank int, err error) {
	for i, b := range p {
		if b == '\n' {
			if name := bytes.TrimSuffix(s.namePrefix, []byte("\r")); !s.validName && len(name) > 0 && !isEventField(name) {
				return i, blank, malformed("malformed line %.20q", s.namePrefix)
			}
			if s.lineBytes == 0 || s.lineBytes == 1 && string(s.namePrefix) == "\r" {
				blank = i + 1
				if s.hasData {
					s.hasData, s.events = false, s.events+1
				}
			} else if string(s.namePrefix) == dataField {
				s.hasData = true
			}
			*s = eventScanner{namePrefix: s.namePrefix[:0], hasData: s.hasData, events: s.events}
			continue
		}
		if s.lineBytes++; s.lineBytes > maxEventBytes {
			return i, blank, malformed("event line over %d bytes", maxEventBytes)
		}
		switch {
		case s.isComment:
		case s.validName:
			if b < ' ' && b != '\t' && b != '\r' {
				return i, blank, malformed("control character in an event line")
			}
		case b == ':':
			s.isComment = len(s.namePrefix) == 0
			if s.validName = true; !s.isComment && !isEventField(s.namePrefix) {
				return i, blank, malformed("malformed line %.20q", s.namePrefix)
			}
		default:
			if s.namePrefix = append(s.namePrefix, b); !isEventFieldPrefix(s.namePrefix) {
				return i, blank, malformed("malformed line %.20q", s.namePrefix)
			}
		}
	}
	return len(p), blank, nil
}

func isEventField(name []byte) bool {
	for _, f := range eventFields {
		if string(name) == f {
			return true
		}
	}
	return false
}

func isEventFieldPrefix(start []byte) bool {
	start = bytes.TrimSuffix(start, []byte("\r"))
	for _, f := range eventFields {
		if len(start) <= len(f) && f[:len(start)] == string(start) {
			return true
		}
	}
	return false
}

// hasDataEvent reports whether text, which ends with an empty line, contains an event with data. The data of the first
// such event must be a JSON object or the end mark [DONE].
func hasDataEvent(text []byte) (bool, error) {
	var data []byte
	for line := range bytes.Lines(text) {
		if value, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			data = append(data, value...)
		}
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue
		}
		if data = bytes.TrimSpace(data); len(data) == 0 {
			continue
		}
		if string(data) != "[DONE]" && !(data[0] == '{' && json.Valid(data)) {
			return false, malformed("malformed data of the first event: %.40q", data)
		}
		return true, nil
	}
	return false, nil
}
