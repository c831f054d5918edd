package httpfront

// The deadlines of a client's connection have one owner, clientDeadlines. A deadline is set for one message that the client sends
// or is sent, and ends with it. What net/http sets by itself for the times of its own reads and writes has no effect.

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"rowanyard/internal/patience"
)

const (
	firstHeadTimeout = 2 * time.Second         // from connecting until the first byte
	idleTimeout      = 2500 * time.Millisecond // from an answer until the first byte of the next request
	headTimeout      = 2 * time.Second         // from a head's first byte until it is complete
	bodyTimeout      = 2500 * time.Millisecond // from a head until the body is complete
	lateInputTime    = 20 * time.Millisecond   // to read input that came by the end of its time
	answerWriteTime  = 3 * time.Second         // for a client to accept data of an answer that is no stream
)

// longOver is a deadline that interrupts what it is set for.
var longOver = time.Unix(1, 0)

// inputPart is a part of what a client sends.
type inputPart int

const (
	nothingDue inputPart = iota // the client owes nothing
	firstByteDue
	headDue
	bodyDue
)

// inputMessage is what is read from a client's connection.
type inputMessage struct {
	part    inputPart
	request int32 // how many complete heads came before it
}

// clientDeadlines owns the deadlines of a client's connection until the connection is closed.
type clientDeadlines struct {
	mu          sync.Mutex
	conn        net.Conn
	ended       bool
	message     inputMessage // that is read
	due         time.Time    // of message, zero: at any time
	latest      time.Time    // until when input of message is read that came by the end of its time
	interrupted bool         // reads are to return
	writeTime   time.Duration
}

func newClientDeadlines(c net.Conn) *clientDeadlines {
	return &clientDeadlines{conn: c, writeTime: answerWriteTime}
}

// awaitInput sets the deadline of what is read next, if that is another message than before.
func (d *clientDeadlines) awaitInput(message inputMessage, due time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.message == message {
		return
	}
	hadDeadline := !d.due.IsZero()
	d.message = message
	d.setDueLocked(due)
	if hadDeadline || !due.IsZero() {
		d.applyLocked()
	}
}

// extendInput gives the message that is read the given time from now.
func (d *clientDeadlines) extendInput(by time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.setDueLocked(time.Now().Add(by))
	d.applyLocked()
}

// limitInput replaces the deadline of the message that is read, if it has one.
func (d *clientDeadlines) limitInput(due time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.due.IsZero() {
		return
	}
	d.setDueLocked(due)
	d.applyLocked()
}

// allowLateInput lets input be read, if there is any, that came by the end of its message's time, as this process was late. It
// returns false if the read that has ended was interrupted, or if this process can't have been that late.
func (d *clientDeadlines) allowLateInput() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if d.ended || d.interrupted || d.due.IsZero() || now.After(d.latest) || !hasUnreadInput(d.conn) {
		return false
	}
	d.due = now.Add(lateInputTime)
	d.applyLocked()
	return true
}

// interrupt makes reads return at once, or lets them wait again until the deadline of their message.
func (d *clientDeadlines) interrupt(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.interrupted != on {
		d.interrupted = on
		d.applyLocked()
	}
}

func (d *clientDeadlines) setDueLocked(due time.Time) {
	d.due = due
	d.latest = due.Add(patience.MaxHeldUp)
}

func (d *clientDeadlines) applyLocked() {
	switch {
	case d.ended:
	case d.interrupted:
		_ = d.conn.SetReadDeadline(longOver)
	default:
		_ = d.conn.SetReadDeadline(d.due)
	}
}

// allowWrites sets how long each write of the current answer may wait for the client.
func (d *clientDeadlines) allowWrites(wait time.Duration) {
	d.mu.Lock()
	d.writeTime = wait
	d.mu.Unlock()
}

// beginWrite sets the deadline of a write that begins now.
func (d *clientDeadlines) beginWrite() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended {
		return net.ErrClosed
	}
	return d.conn.SetWriteDeadline(time.Now().Add(d.writeTime))
}

// end gives the connection's deadlines to what closes it.
func (d *clientDeadlines) end() {
	d.mu.Lock()
	d.ended = true
	d.mu.Unlock()
}

// awaited returns what is read from the socket next, and by when it must have come, zero: at any time. What comes behind a request
// that is not answered yet is not due.
func (c *clientConn) awaited() (message inputMessage, due time.Time) {
	request := c.headsRead.Load()
	answerPending := c.answerPending.Load()
	switch {
	case c.bodyLeft > 0 || c.chunks != nil || answerPending && c.passthrough:
		return inputMessage{bodyDue, request}, c.bodyDueAt
	case answerPending:
		return inputMessage{nothingDue, request}, time.Time{}
	case len(c.buf) > 0 || c.passthrough:
		return inputMessage{headDue, request}, later(c.headBegunAt, c.restsSince).Add(headTimeout)
	case request == 0:
		return inputMessage{firstByteDue, request}, c.restsSince.Add(firstHeadTimeout)
	}
	return inputMessage{firstByteDue, request}, c.restsSince.Add(idleTimeout)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// SetReadDeadline implements net.Conn. A deadline in the past interrupts reads until the next call. A later one replaces that of the
// message that is read, with which it ends.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	interrupts := !t.IsZero() && !t.After(time.Now())
	c.deadlines.interrupt(interrupts)
	c.account.Interrupt(interrupts)
	if !interrupts && !t.IsZero() {
		c.deadlines.limitInput(t)
	}
	return nil
}

// SetWriteDeadline implements net.Conn. It has no effect: Write limits each write by itself.
func (c *clientConn) SetWriteDeadline(time.Time) error { return nil }

// SetDeadline implements net.Conn.
func (c *clientConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// Write implements net.Conn. A client that accepts no data does not keep the connection for longer than its answer allows.
func (c *clientConn) Write(p []byte) (int, error) {
	if err := c.deadlines.beginWrite(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.recordUnwritten(err)
	}
	return n, err
}
