package httpfront

// What is read from a client's connection: heads, bodies, and the requests behind the current one.

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"rowanyard/internal/inbound"
	"rowanyard/internal/patience"
)

const (
	readBufferStep   = 2 << 10
	maxReadAhead     = maxHeadBytes // of pipelined data; if there is more, the connection ends after the requests that fit
	maxHeadFields    = 100
	discardBuffer    = 16 << 10
	headMemoryFactor = 3 // of a head's bytes, for these and what they are parsed to
)

// Read implements net.Conn. It returns heads and bodies one after the other, never bytes of both at once, and no head
// before the previous request is answered: net/http reads ahead to detect that the client has left, and would not see a
// close behind a byte of the next request.
func (c *clientConn) Read(p []byte) (int, error) {
	for {
		switch {
		case c.deliverable > 0:
			n := copy(p, c.buf[:c.deliverable])
			c.buf, c.deliverable = c.buf[n:], c.deliverable-n
			c.counter.consume(n)
			if len(c.buf) == 0 {
				c.buf = nil
				c.holdBuffer(0)
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
			return c.readSocket(p, true)
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
			n, err := c.readSocket(p[:min(int64(len(p)), c.bodyLeft)], true)
			if n > 0 {
				c.lastReadAt = time.Now()
				c.counter.consume(n)
			}
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
		case c.answerPending.Load():
			if err := c.readAhead(); err != nil {
				return 0, err
			}
			continue
		}
		c.skipEmptyLine()
		if len(c.buf) > 0 {
			c.input().BeginTurn()
		}
		end := c.head.end(c.buf)
		if c.head.lines > 1+maxHeadFields {
			c.rejectHead(http.StatusRequestHeaderFieldsTooLarge)
			continue
		}
		if end > 0 {
			if err := c.deliverHead(end); err != nil {
				return 0, err
			}
			continue
		}
		if c.overflowed && c.headTooLong() {
			c.beginRequest()
			c.deliverable, c.fillerLeft = len(c.buf), 2*maxHeadBytes // more than net/http reads of a head
			continue
		}
		if c.overflowed {
			return 0, c.refuseRest()
		}
		if len(c.buf) > maxHeadBytes { // net/http answers with 431
			c.beginRequest()
			c.passthrough = true
			continue
		}
		if err := c.fillBuffer(); errors.Is(err, errNoMemory) {
			c.overflowed = true // the rest of the head is not read
			return 0, c.refuseRest()
		} else if errors.Is(err, os.ErrDeadlineExceeded) && len(c.buf) > 0 {
			c.rejectHead(http.StatusRequestTimeout)
		} else if err != nil {
			return 0, err
		}
	}
}

// skipEmptyLine drops an empty line that a client sends before a head. A connection that has sent nothing else rests.
func (c *clientConn) skipEmptyLine() {
	if c.emptyLineSkipped || !bytes.HasPrefix(c.buf, emptyLine) {
		return
	}
	c.emptyLineSkipped = true
	c.buf = c.buf[len(emptyLine):]
	c.counter.consumeEmptyLine()
	c.head = headScanner{}
	if len(c.buf) == 0 {
		c.buf = nil
		c.holdBuffer(0)
		c.socket.setAnswered(false)
	}
}

// fillerHead replaces the discarded rest of an oversized head.
var fillerHead = bytes.Repeat([]byte("x"), readBufferStep)

// headTooLong reports whether buf holds an incomplete head of at least maxHeadBytes and nothing else. Such a request is
// left to net/http, which answers with 431: after a refusal the client would send it again.
func (c *clientConn) headTooLong() bool {
	return len(c.buf) >= maxHeadBytes && c.head.lines > 0 && c.head.end(c.buf) == 0
}

// deliverHead makes the head at the start of buf, which is complete and end bytes long, available to Read.
func (c *clientConn) deliverHead(end int) error {
	f, ok := requestFraming(c.buf[:end])
	if c.overflowed && (f.chunked || int64(len(c.buf)-end) < f.contentLength) {
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
	c.answerPending.Store(true)
	c.arrivedAt.Store(int64(c.firstByteAt.Sub(epoch)))
	c.deliverable, c.bodyLeft = end, f.contentLength
	c.counter.begin(end + int(min(f.contentLength, maxCountedBody)))
	if f.chunked {
		c.chunks = &chunkScanner{}
	}
	c.bodyDueAt = time.Now().Add(bodyTimeout)
	c.bodyPending.Store(c.bodyLeft > 0 || f.chunked)
	if !c.bodyPending.Load() {
		c.recordCompletion()
		c.countPipelined()
	}
	return nil
}

// recordCompletion records that the current request has come in full, by the latest read of the socket.
func (c *clientConn) recordCompletion() {
	c.input().RequestRead()
	c.completedAt.Store(int64(c.lastReadAt.Sub(epoch)))
}

// beginRequest records that net/http is given the next request. What was counted as pipelined is now current.
func (c *clientConn) beginRequest() {
	c.head, c.emptyLineSkipped = headScanner{}, false
	c.deadlines.allowWrites(answerWriteTime)
	c.answerComplete.Store(false)
	c.completedAt.Store(0)
	c.pipelined.Store(0)
}

// fillBuffer reads from the socket into buf.
func (c *clientConn) fillBuffer() error {
	if cap(c.buf)-len(c.buf) < readBufferStep/2 {
		size := min(2*len(c.buf), maxReadAhead) + readBufferStep
		if !c.holdBuffer(size) {
			return errNoMemory
		}
		c.buf = append(make([]byte, 0, size), c.buf...)
	}
	n, seenAt, err := c.nextInput(c.buf[len(c.buf):cap(c.buf)], !c.answerPending.Load())
	if n > 0 { // and not where net/http interrupts the read
		c.lastReadAt = time.Now()
		if len(c.buf) == 0 {
			c.headBegunAt, c.firstByteAt = c.lastReadAt, c.lastReadAt
			if c.inputAge > patience.Tolerance { // it waited for this process
				c.firstByteAt = c.lastReadAt.Add(-c.inputAge)
			}
			if !seenAt.IsZero() && seenAt.Before(c.firstByteAt) { // ... and more has come meanwhile
				c.firstByteAt = seenAt
			}
		}
	}
	c.buf = c.buf[:len(c.buf)+n]
	return err
}

// readAhead reads what the client sends before the current request is answered and keeps up to maxReadAhead bytes of it.
// It reads and discards what exceeds that, because a close is seen only after all data sent before it.
func (c *clientConn) readAhead() error {
	if c.overflowed {
		discarded := make([]byte, discardBuffer)
		for {
			if _, err := c.readSocket(discarded, false); err != nil {
				return err
			}
		}
	}
	err := c.fillBuffer()
	if c.overflowed = len(c.buf) > maxReadAhead || errors.Is(err, errNoMemory); c.overflowed {
		c.buf = c.buf[:min(len(c.buf), maxReadAhead)]
		err = nil
	}
	c.countPipelined()
	return err
}

// countPipelined counts the requests in buf behind the current one, which has been returned or is deliverable.
func (c *clientConn) countPipelined() { c.pipelined.Store(int32(c.counter.count(c.buf))) }

// refuseRest ends the reads where the rest of a request was discarded, and refuses that request and those after it.
func (c *clientConn) refuseRest() error {
	c.readsEnded = true
	c.pipelined.Store(0) // these are counted below
	c.writeLast(c.refusals(c.counter.count(c.buf)))
	return io.EOF
}

// deliverChunks makes what buf holds of a chunked body available to Read. A malformed body is passed on for net/http to
// reject. It returns false if the connection was evicted before the body was complete.
func (c *clientConn) deliverChunks() bool {
	n, end, err := c.chunks.feed(c.buf)
	if c.deliverable = n; err != nil {
		c.deliverable, c.passthrough = len(c.buf), true
	}
	if end || err != nil {
		c.chunks = nil
		if !c.passthrough {
			c.counter.startAt(c.deliverable)
			c.recordCompletion()
			c.countPipelined()
		}
		return c.bodyPending.CompareAndSwap(true, false)
	}
	return true
}

// countBody accounts for n bytes of the body. It returns false if the connection was evicted before the body was complete.
func (c *clientConn) countBody(n int) bool {
	if c.bodyLeft -= int64(n); c.bodyLeft > 0 {
		return true
	}
	c.recordCompletion()
	return c.bodyPending.CompareAndSwap(true, false)
}

// malformedRequest replaces a head whose framing is ambiguous. net/http answers it with 400 and closes the connection.
// Nothing behind it is parsed.
const malformedRequest = "x\r\n\r\n"

// input returns the reader of the connection's socket. It must be called from where Read may be.
func (c *clientConn) input() *inbound.Reader {
	if c.reader == nil {
		c.reader = inbound.NewReader(c.Conn, c.account)
		c.reader.ReadOnce, c.reader.Extend = c.readOnce, c.deadlines.extendInput
	}
	return c.reader
}

// nextInput is readSocket, and returns when input was seen that had to wait for its turn. The deadline is that of what is read.
func (c *clientConn) nextInput(p []byte, endsTurn bool) (n int, seenAt time.Time, err error) {
	c.deadlines.awaitInput(c.awaited())
	n, seenAt, err = c.input().Next(p, endsTurn)
	for errors.Is(err, os.ErrDeadlineExceeded) && c.deadlines.allowLateInput() {
		n, seenAt, err = c.input().Next(p, endsTurn)
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.inputEnded.Store(true)
	}
	return n, seenAt, err
}

// readsNewHead reports whether what is read next is the beginning of a head.
func (c *clientConn) readsNewHead() bool {
	return len(c.buf) == 0 && c.bodyLeft == 0 && c.chunks == nil
}

// readSocket reads from the socket. It fails with net.ErrClosed once the connection was closed. endsTurn is false if the turn
// that the connection has is that of a request that is being handled.
func (c *clientConn) readSocket(p []byte, endsTurn bool) (int, error) {
	n, _, err := c.nextInput(p, endsTurn)
	return n, err
}

// errNoMemory ends a connection whose input would hold more memory than there is for all of them.
var errNoMemory = errors.New("no memory for what the client sends")

// holdBuffer accounts for a buffer of the given size, beyond the first step, which ConnMemory includes. It returns false if there
// is no memory for it.
func (c *clientConn) holdBuffer(size int) bool {
	return c.memory.Resize(headMemoryFactor * int64(max(0, size-readBufferStep)))
}

// rejectHead ends the connection with an error for a head that has too many fields or does not come to its end. It is not passed to
// net/http.
func (c *clientConn) rejectHead(status int) {
	c.beginRequest()
	c.readsEnded = true
	c.owner.log.Debug("bad head", "status", status)
	c.writeLast(fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		status, http.StatusText(status)))
}
