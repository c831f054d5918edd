package httpfront

// This file owns what comes back on a connection to a worker before net/http reads it: where an answer's
// head, its chunks and its end are, and that they make sense. It drops what is not the answer's (1xx heads,
// load reports that nobody asked for) and ends the connection where bytes come that belong to no answer.
// It must never change a byte of an answer's body.

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
)

const (
	answerHead = 16 << 10    // bytes of an answer's head, and of all 1xx heads before it
	headAnswer = time.Second // an answer's head is whole so long after its first byte
	maxChunk   = 256 << 10   // a chunk holds no more than a body may
	maxLine    = 4 << 10     // of a chunk's extension or a trailer
	maxEvent   = 64 << 10    // a line of a stream, and its first event
	firstEvent = time.Second // the first event is whole so long after the head
	headLoad   = "X-Pressure"
	settleTime = 25 * time.Millisecond // a second answer may come so late behind an answer's end
)

var (
	errSpoilt  = errors.New("a spoilt answer")
	errBeyond  = errors.New("bytes that belong to no answer")
	errUnsent  = errors.New("not sent: something waits on the connection")
	errTooMany = errors.New("too many connections to workers")
)

func spoilt(format string, a ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{errSpoilt}, a...)...)
}

// workerConn is one connection to a worker.
type workerConn struct {
	net.Conn
	open   *atomic.Int64
	done   atomic.Bool
	asked  atomic.Bool                 // a request has been written since the last answer's end
	may    atomic.Pointer[func() bool] // asked before that is, nil: it may
	ended  atomic.Int64                // when that was, from epoch
	over   chan struct{}               // closed with the connection
	bad    atomic.Bool                 // serves no further use
	called atomic.Bool                 // its latest request was a call without a body, not an attempt
	hand   atomic.Bool                 // its answer is to go on in another process
	gift   int                         // the socket for that, once Read has returned errHanded
	addr   string                      // of its worker
	known  *idleConns                  // it is among these until it is closed

	serving sync.Mutex
	serves  *calledOff // the attempt at hand, nil once its answer has ended

	// Owned by Read, which the transport calls from one goroutine.
	buf   []byte // a head that is not whole yet, or what is to be handed over of it
	ready int
	head  bool // a head has begun
	extra int  // bytes of 1xx heads before this one
	state answerState
	left  int64 // of the body
	chunk chunkScan
	err   error
}

type answerState int

const (
	inHead answerState = iota
	inLength
	inChunks
	toClose
)

// Close implements net.Conn.
func (c *workerConn) Close() error {
	if c.done.CompareAndSwap(false, true) {
		c.open.Add(-1)
		close(c.over)
		if c.known != nil {
			c.known.remove(c)
		}
	}
	return c.Conn.Close()
}

// Write refuses to put a request on a connection where something waits that it could be taken to answer, and one that is
// not wanted any more: the transport writes the head before it looks at the body.
func (c *workerConn) Write(p []byte) (int, error) {
	if !c.asked.Load() {
		if may := c.may.Swap(nil); may != nil && !(*may)() {
			return 0, errWithdrawn
		}
		if c.bad.Load() || waits(c.Conn) {
			return 0, errUnsent
		}
		c.asked.Store(true)
	}
	return c.Conn.Write(p)
}

// settle waits until a second answer to the request before would have come, so that Write finds it. Guards against
// taking it for the next request's: it could say that what runs was turned away, or stream another's answer.
func (c *workerConn) settle(ctx context.Context, after func(time.Duration) <-chan time.Time) {
	left := settleTime - (time.Since(epoch) - time.Duration(c.ended.Load()))
	if left <= 0 {
		return
	}
	select {
	case <-after(left):
	case <-c.over:
	case <-ctx.Done():
	}
}

// answeredWithin says whether an answer has ended on the connection so lately.
func (c *workerConn) answeredWithin(span time.Duration) bool {
	ended := time.Duration(c.ended.Load())
	return ended > 0 && time.Since(epoch)-ended <= span
}

// waits says whether there is something to read on a connection.
func waits(c net.Conn) bool {
	n, err := peek(c)
	return err == nil && n > 0
}

// hungUp says that a connection has ended, by the other side or by an error of the network, and nothing waits on it.
func hungUp(c net.Conn) bool {
	n, err := peek(c)
	if err == nil {
		return n == 0
	}
	return !errors.Is(err, errNotPeeked) && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.ENOMEM)
}

var errNotPeeked = errors.New("not a socket")

// peek looks for a byte on a connection without taking it; none is an error, or 0 at its end.
func peek(c net.Conn) (n int, err error) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0, errNotPeeked
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, err
	}
	err = errNotPeeked
	if gone := raw.Control(func(fd uintptr) {
		var b [1]byte
		for {
			n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			if !errors.Is(err, syscall.EINTR) {
				return
			}
		}
	}); gone != nil {
		err = gone
	}
	return n, err
}

// Read hands over one answer after the other, each only to its end.
func (c *workerConn) Read(p []byte) (int, error) {
	for len(p) > 0 {
		if c.ready > 0 {
			n := copy(p, c.buf[:c.ready])
			c.buf, c.ready = c.buf[n:], c.ready-n
			return n, nil
		}
		if c.err != nil {
			return 0, c.err
		}
		if c.state == inHead {
			if err := c.readHead(); err != nil {
				c.fail(err)
			}
			continue
		}
		var n int
		var err error
		if len(c.buf) > 0 { // came with the head
			n = copy(p, c.buf)
			c.buf = c.buf[n:]
		} else {
			c.buf = nil
			n, err = c.Conn.Read(p)
		}
		if err != nil {
			c.err = err
			// The transport closes the connection as soon as it has the error.
			if c.hand.Load() && errors.Is(err, os.ErrDeadlineExceeded) && c.state == inChunks && n == 0 {
				if fd, err := dup(c.Conn); err == nil {
					c.gift, c.err = fd, errHanded
				}
			}
		}
		if n, err = c.body(p[:n]); err != nil {
			c.fail(err)
		}
		if n > 0 {
			return n, nil
		}
	}
	return 0, nil
}

func (c *workerConn) fail(err error) {
	c.bad.Store(true)
	c.err = err
}

// readHead reads a head and readies what is handed over of it.
func (c *workerConn) readHead() error {
	if len(c.buf) == 0 {
		c.buf = make([]byte, 0, 1<<10)
	}
	for {
		if len(c.buf) > 0 {
			if !c.asked.Load() {
				return errBeyond
			}
			if !c.head { // guards against a head that never ends, however slowly it comes
				c.head = true
				_ = c.Conn.SetReadDeadline(time.Now().Add(headAnswer))
			}
			if end := headEnd(c.buf); end > 0 {
				_ = c.Conn.SetReadDeadline(time.Time{})
				c.head = false
				return c.takeHead(end)
			}
			if c.extra+len(c.buf) > answerHead {
				return spoilt("a head over %d bytes", answerHead)
			}
		}
		if cap(c.buf) == len(c.buf) {
			c.buf = append(make([]byte, 0, 2*cap(c.buf)+512), c.buf...)
		}
		n, err := c.Conn.Read(c.buf[len(c.buf):cap(c.buf)])
		c.buf = c.buf[:len(c.buf)+n]
		if err != nil && n == 0 {
			if c.head {
				return spoilt("its head ends with %v", err)
			}
			return err
		}
	}
}

// takeHead takes the head of so many bytes.
func (c *workerConn) takeHead(end int) error {
	first := bytes.IndexByte(c.buf, '\n') + 1
	version, rest, _ := bytes.Cut(bytes.TrimRight(c.buf[:first], "\r\n"), []byte(" "))
	text, _, _ := bytes.Cut(rest, []byte(" "))
	code, err := strconv.Atoi(string(text))
	if err != nil || len(text) != 3 || code < 100 || !bytes.HasPrefix(version, []byte("HTTP/1.")) || code == 101 {
		return spoilt("it begins with %.40q", c.buf[:first])
	}
	if code < 200 { // not the answer yet
		c.extra += end
		if c.buf = c.buf[end:]; c.extra > answerHead {
			return spoilt("over %d bytes of 1xx heads", answerHead)
		}
		return nil
	}
	c.extra = 0
	// Load reports are asked for by probes: one that can't be read must not spoil the head that it came with.
	keep := func(name []byte) bool { return !bytes.EqualFold(name, []byte(headLoad)) }
	f, kept, ok := fields(c.buf[first:end], keep, append(make([]byte, 0, len(c.buf)), c.buf[:first]...))
	if !ok {
		return spoilt("the framing of its head")
	}
	c.ready = len(kept)
	c.buf = append(kept, c.buf[end:]...)
	switch {
	case code == 204 || code == 304 || f.told && f.length == 0:
		return c.end(len(c.buf) - c.ready)
	case f.chunked:
		c.state, c.chunk = inChunks, chunkScan{}
	case f.told:
		c.state, c.left = inLength, f.length
	default:
		c.state = toClose
	}
	return nil
}

// body says how many of the bytes belong to the body.
func (c *workerConn) body(p []byte) (int, error) {
	switch c.state {
	case inLength:
		n := int(min(c.left, int64(len(p))))
		if c.left -= int64(n); c.left == 0 {
			return n, c.end(len(p) - n + len(c.buf))
		}
		return n, nil
	case inChunks:
		n, end, err := c.chunk.feed(p)
		if end && err == nil {
			err = c.end(len(p) - n + len(c.buf))
		}
		return n, err
	}
	return len(p), nil
}

// end ends an answer with so many bytes left behind it.
func (c *workerConn) end(beyond int) error {
	c.state = inHead
	c.serve(nil)
	c.ended.Store(int64(time.Since(epoch)))
	if beyond > 0 {
		c.buf = c.buf[:c.ready]
		c.bad.Store(true)
		c.asked.Store(false)
		return errBeyond
	}
	c.asked.Store(false)
	return nil
}

// chunkScan follows a chunked body.
type chunkScan struct {
	state chunkState
	left  int64          // of the chunk
	count int            // of the line
	keep  func(p []byte) // gets the data, nil = nobody
}

type chunkState int

const (
	chunkSize chunkState = iota
	chunkExt
	chunkSizeLF
	chunkData
	chunkCR
	chunkLF
	trailer
	trailerLine
	trailerLF
)

// feed takes the next bytes. It returns how many of them belong to the body, and whether that has ended.
func (s *chunkScan) feed(p []byte) (n int, end bool, err error) {
	for n < len(p) {
		b := p[n]
		switch s.state {
		case chunkData:
			take := min(s.left, int64(len(p)-n))
			if s.keep != nil {
				s.keep(p[n : n+int(take)])
			}
			n += int(take)
			if s.left -= take; s.left == 0 {
				s.state = chunkCR
			}
			continue
		case chunkSize:
			digit := unhex(b)
			switch {
			case digit >= 0:
				s.left = s.left<<4 | int64(digit)
				if s.count++; s.left > maxChunk || s.count > 16 {
					return n, false, spoilt("a chunk over %d bytes", maxChunk)
				}
			case s.count > 0 && b == '\r':
				s.state = chunkSizeLF
			case s.count > 0 && (b == ';' || b == ' ' || b == '\t'):
				s.state, s.count = chunkExt, 0
			default:
				return n, false, spoilt("the size of a chunk")
			}
		case chunkExt, trailerLine:
			if s.count++; s.count > maxLine {
				return n, false, spoilt("a line over %d bytes", maxLine)
			}
			if b == '\r' && s.state == chunkExt {
				s.state = chunkSizeLF
			} else if b == '\n' && s.state == trailerLine {
				s.state = trailer
			}
		case chunkSizeLF:
			if b != '\n' {
				return n, false, spoilt("the size of a chunk")
			}
			s.state, s.count = chunkData, 0
			if s.left == 0 {
				s.state = trailer
			}
		case chunkCR, chunkLF:
			if s.state == chunkCR && b == '\r' {
				s.state = chunkLF
			} else if s.state == chunkLF && b == '\n' {
				s.state = chunkSize
			} else {
				return n, false, spoilt("a chunk that does not fit its size")
			}
		case trailer:
			s.state = trailerLine
			if b == '\r' {
				s.state = trailerLF
			}
		case trailerLF:
			if b != '\n' {
				return n, false, spoilt("its trailer")
			}
			return n + 1, true, nil
		}
		n++
	}
	return n, false, nil
}

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

// eventScan follows a stream of events: lines of a name, a colon and a value, comments, which may hold
// anything, and empty lines.
type eventScan struct {
	line  []byte // its start, up to the longest name
	count int    // its bytes
	fine  bool   // its name is one that events have
	note  bool   // it is a comment
}

var eventFields = []string{"data", "event", "id", "retry"}

// feed takes the next bytes and returns how many of them may pass, and where an empty line ended.
func (s *eventScan) feed(p []byte) (n, blank int, err error) {
	for i, b := range p {
		if b == '\n' {
			if name := bytes.TrimSuffix(s.line, []byte("\r")); !s.fine && len(name) > 0 && !isField(name) {
				return i, blank, spoilt("a line %.20q", s.line)
			}
			if s.count == 0 || s.count == 1 && string(s.line) == "\r" {
				blank = i + 1
			}
			*s = eventScan{line: s.line[:0]}
			continue
		}
		if s.count++; s.count > maxEvent {
			return i, blank, spoilt("a line over %d bytes", maxEvent)
		}
		switch {
		case s.note:
		case s.fine:
			if b < ' ' && b != '\t' && b != '\r' {
				return i, blank, spoilt("noise in a line")
			}
		case b == ':':
			s.note = len(s.line) == 0
			if s.fine = true; !s.note && !isField(s.line) {
				return i, blank, spoilt("a line %.20q", s.line)
			}
		default:
			if s.line = append(s.line, b); !mayBeField(s.line) {
				return i, blank, spoilt("a line %.20q", s.line)
			}
		}
	}
	return len(p), blank, nil
}

func isField(name []byte) bool {
	for _, f := range eventFields {
		if string(name) == f {
			return true
		}
	}
	return false
}

func mayBeField(start []byte) bool {
	start = bytes.TrimSuffix(start, []byte("\r"))
	for _, f := range eventFields {
		if len(start) <= len(f) && f[:len(start)] == string(start) {
			return true
		}
	}
	return false
}

// whole says whether text, which ends with an empty line, holds an event with data, and an error where
// the data of the first makes no sense: it is a JSON object, or the mark of the end.
func whole(text []byte) (bool, error) {
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
			return false, spoilt("its first event %.40q", data)
		}
		return true, nil
	}
	return false, nil
}
