package httpfront

// Attempts that are given up while their requests are still on their way to a worker.

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"rowanyard/decide"
	"rowanyard/internal/core"
	"rowanyard/internal/scale/faultproxy"
)

const smallReceiveBuffer = 4 << 10 // bytes

// stoppingWorker takes the start of one request and stops reading until it is told to go on.
type stoppingWorker struct {
	addr   string
	begun  chan struct{} // closed when the start of the request was read
	goOn   chan struct{} // closed by the test
	gotAll chan int      // receives how many bytes came in all, once the connection has ended
}

func newStoppingWorker(t *testing.T) *stoppingWorker {
	t.Helper()
	l, err := faultproxy.ListenSmall(smallReceiveBuffer)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	w := &stoppingWorker{addr: l.Addr().String(), begun: make(chan struct{}), goOn: make(chan struct{}), gotAll: make(chan int, 1)}
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		start, err := io.ReadFull(c, make([]byte, 100))
		if err != nil {
			return
		}
		close(w.begun)
		select {
		case <-w.goOn:
		case <-t.Context().Done():
		}
		rest, _ := io.Copy(io.Discard, c)
		w.gotAll <- start + int(rest)
	}()
	return w
}

// largeBody returns a request body of about the given size.
func largeBody(bytes int) string {
	return `{"messages":[{"role":"user","content":"` + strings.Repeat("x", bytes) + `"}]}`
}

// An attempt that ends while its worker does not read must never reach that worker whole, whether its end is a close, a
// half-close with a grace or the exit of this process.
func TestGivenUpRequestDoesNotArriveWhole(t *testing.T) {
	for _, bytes := range []int{30_000, 100_000, 240_000} {
		for _, grace := range []time.Duration{0, time.Hour} {
			w := newStoppingWorker(t)
			x, a := newAttempt(w.addr)
			x.Workers.after = func(time.Duration) <-chan time.Time { return nil }
			x.Body = []byte(largeBody(bytes))
			a.CancelGrace = grace
			ctx, stop := context.WithCancel(t.Context())
			done := make(chan core.Result, 1)
			go func() { done <- x.Try(ctx, a) }()
			<-w.begun
			stop()
			res := receive(t, done, "the attempt's end")
			close(w.goOn)
			if got := receive(t, w.gotAll, "the connection's end"); got >= bytes {
				t.Errorf("%d bytes, grace %v: %d arrived after the end", bytes, grace, got)
			}
			if bytes == 240_000 && res.Status != decide.Unsent {
				t.Errorf("%d bytes, grace %v: %+v, most of them had never left this process", bytes, grace, res)
			}
		}
	}
}
