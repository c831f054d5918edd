package httpfront

// Second answers of a worker to one request, some milliseconds after the first.

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"rowanyard/decide"
	"rowanyard/internal/core"
)

// repeatingWorker sends a second answer to the first attempt that it gets, as the test says or, at the latest, when another request
// comes on that connection. All other requests it answers once.
type repeatingWorker struct {
	addr    string
	late    chan struct{} // closed by the test when the second answer is due
	crossed atomic.Int64  // requests that came on a connection on which a second answer was still to come
	conns   atomic.Int64
}

const (
	streamAnswer     = chunkedHead + "a\r\ndata: {}\n\n\r\n0\r\n\r\n"
	readAnswer       = "HTTP/1.1 202 X\r\nContent-Length: 2\r\n\r\n{}"
	callAnswer       = "HTTP/1.1 204 X\r\n\r\n"
	turnedAwayAnswer = "HTTP/1.1 503 X\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"
)

func newRepeatingWorker(t *testing.T, first, second, others string) *repeatingWorker {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	w := &repeatingWorker{addr: l.Addr().String(), late: make(chan struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if w.conns.Add(1) == 1 {
				go w.serveTwice(c, first, second, others)
				continue
			}
			go answerAll(c, bufio.NewReader(c), func() string { return others })
		}
	}()
	return w
}

// readRequest reads one request to its end.
func readRequest(in *bufio.Reader) (*http.Request, error) {
	r, err := http.ReadRequest(in)
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
	}
	return r, err
}

// answerAll answers each attempt with what answer returns, and calls.
func answerAll(c net.Conn, in *bufio.Reader, answer func() string) {
	defer c.Close()
	for {
		r, err := readRequest(in)
		if err != nil {
			return
		}
		if r.Method == http.MethodPost {
			io.WriteString(c, answer())
		} else {
			io.WriteString(c, callAnswer)
		}
	}
}

// serveTwice answers the first request on a connection twice.
func (w *repeatingWorker) serveTwice(c net.Conn, first, second, others string) {
	in := bufio.NewReader(c)
	if _, err := readRequest(in); err != nil {
		c.Close()
		return
	}
	io.WriteString(c, first)
	next := make(chan error, 1)
	go func() {
		_, err := in.Peek(1)
		next <- err
	}()
	select {
	case <-w.late:
		io.WriteString(c, second)
		<-next
	case err := <-next:
		if err == nil {
			w.crossed.Add(1)
		}
		io.WriteString(c, second)
	}
	answerAll(c, in, func() string { return others })
}

// Whatever is sent next on a connection, and after whatever answer to an attempt: a second answer that comes within the window is
// noticed before.
func TestSecondAnswerIsTakenForNoOtherRequests(t *testing.T) {
	attempt := func(x *Exchange, a core.Attempt) error { return x.Try(context.Background(), a).Err }
	for name, next := range map[string]func(x *Exchange, a core.Attempt) error{
		"read":           func(x *Exchange, a core.Attempt) error { a.Read = true; return attempt(x, a) },
		"write":          attempt,
		"verified write": func(x *Exchange, a core.Attempt) error { a.Verify = true; return attempt(x, a) },
		"probe": func(x *Exchange, a core.Attempt) error {
			_, err := x.Workers.Probe(context.Background(), a.To)
			return err
		},
		"release": func(x *Exchange, a core.Attempt) error { return x.Release(context.Background(), a.To) },
	} {
		for first, second := range map[string]string{streamAnswer: turnedAwayAnswer, readAnswer: readAnswer, turnedAwayAnswer: streamAnswer} {
			others := streamAnswer
			if name == "read" {
				others = readAnswer
			}
			w := newRepeatingWorker(t, first, second, others)
			x, a := newAttempt(w.addr)
			var once sync.Once
			x.Workers.after = func(time.Duration) <-chan time.Time { // the wait ends once the second answer has come
				once.Do(func() { close(w.late) })
				return nil
			}
			a.Read = first == readAnswer
			if res := x.Try(context.Background(), a); res.Stream != nil {
				io.ReadAll(res.Stream.(Stream))
				res.Stream.(Stream).Close()
			} else if res.Status != decide.Read && res.Status != decide.Rejected {
				t.Fatalf("%s: %+v", name, res)
			}
			a.Read = false
			if err := next(x, a); err != nil || w.crossed.Load() > 0 {
				t.Errorf("%s after %.14s: %v, sent on a connection whose worker had not answered twice yet: %d", name, first, err, w.crossed.Load())
			}
		}
	}
}

// A second answer may also come later than any wait: connections to a worker that has answered twice carry one attempt each.
func TestConnectionsOfWorkerThatAnsweredTwiceAreUsedOnce(t *testing.T) {
	w := newRepeatingWorker(t, turnedAwayAnswer+turnedAwayAnswer, "", turnedAwayAnswer)
	x, a := newAttempt(w.addr)
	const attempts = 4
	for range attempts {
		if res := x.Try(context.Background(), a); res.Status != decide.Rejected {
			t.Fatalf("%+v", res)
		}
	}
	if n := w.conns.Load(); n != attempts {
		t.Errorf("%d connections for %d attempts", n, attempts)
	}
}

// Behind a stream a read does not wait, and no second answer to the stream can reach it: reads and writes have connections of their
// own.
func TestReadBehindStreamDoesNotWait(t *testing.T) {
	addr, conns := rawWorker(t, func(n int) string {
		if n == 0 {
			return streamAnswer
		}
		return readAnswer
	})
	x, a := newAttempt(addr)
	x.Workers.after = func(time.Duration) <-chan time.Time {
		t.Error("waited")
		return time.After(0)
	}
	res := x.Try(context.Background(), a)
	if res.Status != 0 {
		t.Fatalf("%+v", res)
	}
	io.ReadAll(res.Stream.(Stream))
	res.Stream.(Stream).Close()
	a.Read = true
	if res := x.Try(context.Background(), a); res.Status != decide.Read || conns.Load() != 2 {
		t.Errorf("%+v on %d connections", res, conns.Load())
	}
}
