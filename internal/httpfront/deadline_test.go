package httpfront

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"rowanyard/decide"
	"rowanyard/internal/core"
	"rowanyard/internal/delivery"
)

// A request carries the time left when it is written, not when its attempt began: the connection may have taken long to
// come up.
func TestRemainingTimeIsSetWhenRequestIsWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const dialDelay, wait = 240 * time.Millisecond, time.Second
		w := NewWorkers(time.Second, 15*time.Second, 10, discardLogger)
		defer w.transport.CloseIdleConnections()
		remaining := make(chan time.Duration, 1)
		w.transport.DialContext = func(context.Context, string, string) (net.Conn, error) {
			time.Sleep(dialDelay)
			here, there := net.Pipe()
			go serveOneRead(there, remaining)
			return here, nil
		}
		x := &Exchange{Workers: w, Method: http.MethodPost, URI: PathChat, Head: requestHeader(), Body: []byte(requestBody)}
		res := x.Try(t.Context(), core.Attempt{To: core.Worker{Addr: "worker:1"}, Read: true,
			Deadline: time.Now().Add(wait), MaySend: func() bool { return true }})
		if res.Status != decide.Read {
			t.Fatalf("%+v", res)
		}
		if got := <-remaining; got != wait-dialDelay {
			t.Errorf("the request carried %v, want %v", got, wait-dialDelay)
		}
	})
}

// A client's time budget counts from the first byte of its request. A slow head or body or a wait behind another
// request must not extend it.
func TestTimeBudgetStartsAtFirstByte(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const step = 100 * time.Millisecond
		here, there := net.Pipe()
		c := newClientListener(nil, 1, 0, nil, discardLogger).newConn(there)
		ctx := contextWithConn(t.Context(), c)
		text := requestText("one", contentLength(requestBody), requestBody)
		go func() {
			defer here.Close()
			for _, piece := range []string{text[:10], text[10:60], text[60 : len(text)-9], text[len(text)-9:] + text} {
				io.WriteString(here, piece)
				time.Sleep(step)
			}
		}()
		reader := bufio.NewReaderSize(c, 16)
		for _, want := range []time.Duration{3 * step, 2 * step} {
			r, err := http.ReadRequest(reader)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				t.Fatal(err)
			}
			if got := timeSinceArrival(ctx); got != want {
				t.Errorf("%v since its arrival, want %v", got, want)
			}
			peeked := make(chan struct{}) // net/http reads ahead while a request is answered
			go func() {
				reader.Peek(1)
				close(peeked)
			}()
			time.Sleep(2 * step)
			there.SetReadDeadline(time.Now())
			<-peeked
			there.SetReadDeadline(time.Time{})
			c.answerPending.Store(false)
		}
	})
}

// The time that a request took to arrive is subtracted from the remaining time that its worker receives.
func TestSlowClientReducesRemainingTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slow, target = 700 * time.Millisecond, time.Second
		f, c := newFrontWithTarget(t, "worker:1", target)
		remaining := make(chan time.Duration, 9)
		f.workers.transport.DialContext = func(context.Context, string, string) (net.Conn, error) {
			here, there := net.Pipe()
			go serveOneRead(there, remaining)
			return here, nil
		}
		conn := &clientConn{owner: newClientListener(nil, 1, 0, nil, discardLogger)}
		conn.arrivedAt.Store(int64(time.Since(epoch)))
		time.Sleep(slow)
		r := httptest.NewRequest(http.MethodPost, PathChat, strings.NewReader(requestBody)).WithContext(contextWithConn(t.Context(), conn))
		r.Header = requestHeader()
		r.Header.Set(headerRemaining, "1000")
		f.ServeHTTP(httptest.NewRecorder(), r)
		if got := <-remaining; got > time.Second-slow {
			t.Errorf("the request carried %v, want at most %v", got, time.Second-slow)
		}
		c.Wait(t.Context())
		time.Sleep(time.Minute) // for the timers of package decide
	})
}

// serveOneRead answers one request as a reader and sends the remaining time that the request carried to remaining.
func serveOneRead(c net.Conn, remaining chan<- time.Duration) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	io.Copy(io.Discard, r.Body)
	left, _ := strconv.Atoi(r.Header.Get(headerRemaining))
	remaining <- time.Duration(left) * time.Millisecond
	io.WriteString(c, "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\nConnection: close\r\n\r\n{\"cached_tokens\":1}")
}

// A request that has waited to be read, as this process was held up, has less time left.
func TestTimeBudgetCountsWaitToBeRead(t *testing.T) {
	const wait = 60 * time.Millisecond
	here, there := tcpPair(t)
	if _, err := io.WriteString(here, requestText("one", contentLength(requestBody), requestBody)); err != nil {
		t.Fatal(err)
	}
	for age := time.Duration(0); age < wait; {
		if err := delivery.Control(there, func(fd int) error { age = delivery.SinceInput(fd); return nil }); err != nil {
			t.Fatal(err)
		}
	}
	c := newClientListener(nil, 1, 0, nil, discardLogger).newConn(there)
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		t.Fatal(err)
	}
	if got := timeSinceArrival(contextWithConn(t.Context(), c)); got < wait {
		t.Errorf("%v since its arrival, want at least %v", got, wait)
	}
}
