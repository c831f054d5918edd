package httpfront

// Cancelled attempts: for a request that must not run twice, Try returns only after the worker has ended the attempt,
// in whatever order the cancellation, the answer and the close arrive.

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"rowanyard/decide"
	"rowanyard/internal/core"
)

// scriptedWorker reads one request, waits until the peer has half-closed, and then runs the test's function on the
// connection.
type scriptedWorker struct {
	addr       string
	received   chan struct{}       // closed when the complete request was received
	halfClosed chan struct{}       // closed when the peer has half-closed
	then       chan func(net.Conn) // run next, before the connection is closed
}

func newScriptedWorker(t *testing.T) *scriptedWorker {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	w := &scriptedWorker{addr: l.Addr().String(), received: make(chan struct{}), halfClosed: make(chan struct{}), then: make(chan func(net.Conn))}
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		in := bufio.NewReader(c)
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		close(w.received)
		if _, err := in.ReadByte(); errors.Is(err, io.EOF) {
			close(w.halfClosed)
		}
		select {
		case do := <-w.then:
			do(c)
		case <-t.Context().Done():
		}
	}()
	return w
}

// cancelAttempt starts an attempt at w and cancels it once w has received all of it. The cancel grace ends when
// graceEnd is closed.
func cancelAttempt(t *testing.T, w *scriptedWorker, read bool, graceEnd <-chan time.Time) <-chan core.Result {
	t.Helper()
	x, a := newAttempt(w.addr)
	a.CancelGrace, a.Read = time.Hour, read
	graceBegun := make(chan struct{})
	x.Workers.after = func(time.Duration) <-chan time.Time { close(graceBegun); return graceEnd }
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan core.Result, 1)
	go func() { done <- x.Try(ctx, a) }()
	<-w.received
	stop()
	select {
	case <-graceBegun:
	case res := <-done:
		t.Fatalf("returned %+v before its worker ended the attempt", res)
	}
	<-w.halfClosed
	return done
}

func TestCancelledAttemptReturnsAfterWorkerCloses(t *testing.T) {
	w := newScriptedWorker(t)
	done := cancelAttempt(t, w, false, nil)
	w.then <- func(net.Conn) {}
	if res := <-done; res.Status != decide.Cancelled {
		t.Errorf("%+v", res)
	}
}

// An unreachable worker never closes its side: the attempt ends when the cancel grace is over.
func TestCancelledAttemptReturnsAfterCancelGrace(t *testing.T) {
	w := newScriptedWorker(t)
	graceEnd := make(chan time.Time)
	done := cancelAttempt(t, w, false, graceEnd)
	close(graceEnd)
	if res := <-done; res.Status != decide.Cancelled {
		t.Errorf("%+v", res)
	}
}

// A reader's answer that arrives after the cancellation counts, since the prompt was read. A stream that begins then is
// dropped.
func TestAnswerArrivesAfterCancellation(t *testing.T) {
	w := newScriptedWorker(t)
	done := cancelAttempt(t, w, true, nil)
	w.then <- func(c net.Conn) {
		io.WriteString(c, "HTTP/1.1 202 X\r\nContent-Length: 20\r\n\r\n{\"cached_tokens\": 7}")
	}
	if res := <-done; res.Status != decide.Read || res.CachedTokens != 7 {
		t.Errorf("%+v", res)
	}
	w = newScriptedWorker(t)
	done = cancelAttempt(t, w, false, nil)
	w.then <- func(c net.Conn) { io.WriteString(c, chunkedHead+chunk("data: {}\n\n")) }
	if res := <-done; res.Status == 0 || res.Stream != nil {
		t.Errorf("%+v", res)
	}
}

// An attempt that may run twice is cancelled without waiting.
func TestCancelledRepeatableAttemptReturnsAtOnce(t *testing.T) {
	w := newScriptedWorker(t)
	x, a := newAttempt(w.addr)
	x.Workers.after = func(time.Duration) <-chan time.Time { t.Error("waited for the worker"); return nil }
	ctx, stop := context.WithCancel(t.Context())
	go func() { <-w.received; stop() }()
	if res := x.Try(ctx, a); res.Status != decide.Cancelled {
		t.Errorf("%+v", res)
	}
}

// An attempt without a connection, or with an incomplete request, is cancelled without waiting: it was never executed.
func TestCancelledUnsentAttemptReturnsAtOnce(t *testing.T) {
	for _, connected := range []bool{false, true} {
		ctx, stop := context.WithCancel(t.Context())
		w := watchAttempt(ctx, time.Hour, new(atomic.Bool), nil)
		if connected {
			c := &workerConn{Conn: noHalfClose{nil, t}, done: make(chan struct{})}
			w.conn.Store(c)
			c.setWatch(w)
		}
		stop()
		<-w.requestCtx.Done()
	}
}

// If the cancellation comes as the answer ends, the connection may already serve another request. The cancellation must
// not affect that one.
func TestLateCancellationLeavesNextRequestAlone(t *testing.T) {
	here, there := net.Pipe()
	defer there.Close()
	c := &workerConn{Conn: noHalfClose{here, t}, done: make(chan struct{})}
	w := &attemptWatch{}
	c.setWatch(w)
	c.state = inSizedBody
	if c.end(0); c.err != nil {
		t.Fatal(c.err)
	}
	if c.closeWriteFor(w) || c.unusable.Load() {
		t.Error("the connection was half-closed for an answered request")
	}
	c.setWatch(&attemptWatch{})
	if c.closeWriteFor(w) || c.unusable.Load() {
		t.Error("the connection was half-closed during the next request")
	}
}

// noHalfClose fails the test if the connection is half-closed.
type noHalfClose struct {
	net.Conn
	t *testing.T
}

func (c noHalfClose) CloseWrite() error {
	c.t.Error("unexpected half-close")
	return nil
}
