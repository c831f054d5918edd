package httpfront

// An attempt that is called off: Try of one that must not run twice returns after its worker has ended it, in each order of
// the events that may cross.

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

// hungWorker takes one request and does with its connection what the test says, once the other side has ended its sending.
type hungWorker struct {
	addr string
	came chan struct{}       // a request has come whole
	seen chan struct{}       // its sender has ended its sending
	then chan func(net.Conn) // what is done next, the connection is closed after it
}

func newHungWorker(t *testing.T) *hungWorker {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	w := &hungWorker{addr: l.Addr().String(), came: make(chan struct{}), seen: make(chan struct{}), then: make(chan func(net.Conn))}
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
		close(w.came)
		if _, err := in.ReadByte(); errors.Is(err, io.EOF) {
			close(w.seen)
		}
		select {
		case do := <-w.then:
			do(c)
		case <-t.Context().Done():
		}
	}()
	return w
}

// callOff begins an attempt at w and calls it off when w has had all of it. The limit of its end is what limit says.
func callOff(t *testing.T, w *hungWorker, read bool, limit <-chan time.Time) <-chan core.Result {
	t.Helper()
	x, a := attempt(w.addr)
	a.Settle, a.Read = time.Hour, read
	waits := make(chan struct{})
	x.Workers.after = func(time.Duration) <-chan time.Time { close(waits); return limit }
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan core.Result, 1)
	go func() { done <- x.Try(ctx, a) }()
	<-w.came
	stop()
	select {
	case <-waits:
	case res := <-done:
		t.Fatalf("%+v before its worker has ended it", res)
	}
	<-w.seen
	return done
}

func TestACalledOffAttemptEndsAfterItsWorkerHasEndedIt(t *testing.T) {
	w := newHungWorker(t)
	done := callOff(t, w, false, nil)
	w.then <- func(net.Conn) {}
	if res := <-done; res.Status != decide.Cancelled {
		t.Errorf("%+v", res)
	}
}

// A worker that is out of reach shows no end: that of the limit is taken for it.
func TestACalledOffAttemptEndsAtItsLimit(t *testing.T) {
	w := newHungWorker(t)
	limit := make(chan time.Time)
	done := callOff(t, w, false, limit)
	close(limit)
	if res := <-done; res.Status != decide.Cancelled {
		t.Errorf("%+v", res)
	}
}

// The answer of a reader crosses the end: it has read the prompt, and that counts. A stream that begins then is nobody's.
func TestAnAnswerCrossesTheEndOfItsAttempt(t *testing.T) {
	w := newHungWorker(t)
	done := callOff(t, w, true, nil)
	w.then <- func(c net.Conn) {
		io.WriteString(c, "HTTP/1.1 202 X\r\nContent-Length: 20\r\n\r\n{\"cached_tokens\": 7}")
	}
	if res := <-done; res.Status != decide.Read || res.Kept != 7 {
		t.Errorf("%+v", res)
	}
	w = newHungWorker(t)
	done = callOff(t, w, false, nil)
	w.then <- func(c net.Conn) { io.WriteString(c, chunkedHead+chunk("data: {}\n\n")) }
	if res := <-done; res.Status == 0 || res.Stream != nil {
		t.Errorf("%+v", res)
	}
}

// What may run twice ends at once.
func TestACalledOffAttemptThatMayRunTwiceEndsAtOnce(t *testing.T) {
	w := newHungWorker(t)
	x, a := attempt(w.addr)
	x.Workers.after = func(time.Duration) <-chan time.Time { t.Error("it waits"); return nil }
	ctx, stop := context.WithCancel(t.Context())
	go func() { <-w.came; stop() }()
	if res := x.Try(ctx, a); res.Status != decide.Cancelled {
		t.Errorf("%+v", res)
	}
}

// So does what has no connection yet, or was not written whole: it never counts.
func TestACalledOffAttemptThatWasNotSentEndsAtOnce(t *testing.T) {
	for _, connected := range []bool{false, true} {
		ctx, stop := context.WithCancel(t.Context())
		o := watchCalledOff(ctx, time.Hour, new(atomic.Bool), nil)
		if connected {
			c := &workerConn{Conn: halfCloser{nil, t}, over: make(chan struct{})}
			o.conn.Store(c)
			c.serve(o)
		}
		stop()
		<-o.request.Done()
	}
}

// The end of an attempt comes as its answer ends: the connection serves another request by then, which must go on.
func TestTheEndOfAnAttemptLeavesTheNextRequestAlone(t *testing.T) {
	here, there := net.Pipe()
	defer there.Close()
	c := &workerConn{Conn: halfCloser{here, t}, over: make(chan struct{})}
	o := &calledOff{}
	c.serve(o)
	c.state = inLength
	if err := c.end(0); err != nil {
		t.Fatal(err)
	}
	if c.endSending(o) || c.bad.Load() {
		t.Error("an answered request's end was written to its connection")
	}
	c.serve(&calledOff{})
	if c.endSending(o) || c.bad.Load() {
		t.Error("the next request's sending was ended")
	}
}

// halfCloser fails the test where its sending is ended.
type halfCloser struct {
	net.Conn
	t *testing.T
}

func (c halfCloser) CloseWrite() error {
	c.t.Error("the sending was ended")
	return nil
}
