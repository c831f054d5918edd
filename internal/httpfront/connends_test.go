package httpfront

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

// crossings is how often a test lets two messages cross.
const crossings = 40

// yieldTimes lets other goroutines run for some time.
func yieldTimes(n int) {
	for range n {
		runtime.Gosched()
	}
}

// startAnsweringFront starts a front whose workers answer at once, and returns its address and the ids that reached a worker.
func startAnsweringFront(t *testing.T) (f *Front, addr string, reached *sync.Map) {
	reached = &sync.Map{}
	worker := newRecordingWorker(t, reached)
	f, _ = newFrontWithTarget(t, worker, time.Minute)
	addr, _ = serveReportingReads(t, f)
	return f, addr, reached
}

// newRecordingWorker starts a worker that answers reads and writes at once, and stores the ids of their requests.
func newRecordingWorker(t *testing.T, reached *sync.Map) (addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	writes := &sync.Map{} // ids whose read was answered
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		id := r.Header.Get(headerTxn)
		reached.Store(id, true)
		if _, isWrite := writes.LoadOrStore(id, true); isWrite {
			io.WriteString(w, streamText)
			return
		}
		w.WriteHeader(http.StatusAccepted)
		io.WriteString(w, "{}")
	})}
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
	return l.Addr().String()
}

// expectAnswer fails the test unless the client gets a whole answer. Where none is owed it may also get none.
func expectAnswer(t *testing.T, name string, client net.Conn, owed func() bool) {
	t.Helper()
	res, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		if owed() {
			t.Errorf("%s: no answer: %v", name, err)
		}
		return
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		t.Errorf("%s: %d broke off: %v", name, res.StatusCode, err)
	}
}

// awaitConn waits for the front's only connection to satisfy a condition, and returns it.
func awaitConn(t *testing.T, f *Front, condition func(*clientConn) bool) *clientConn {
	t.Helper()
	for began := time.Now(); time.Since(began) < time.Minute; runtime.Gosched() {
		f.clients.mu.Lock()
		for c := range f.clients.conns {
			if len(f.clients.conns) == 1 && condition(c) {
				f.clients.mu.Unlock()
				return c
			}
		}
		f.clients.mu.Unlock()
	}
	t.Fatal("no such connection")
	return nil
}

// A request's last byte crosses the eviction of its connection: the client gets an answer.
func TestLastByteCrossesEviction(t *testing.T) {
	f, addr, _ := startAnsweringFront(t)
	for i := range crossings {
		text := requestText(strings.Repeat("a", i%60+1), contentLength(requestBody), requestBody)
		client := dialAndSend(t, addr, text[:len(text)-1])
		c := awaitConn(t, f, func(c *clientConn) bool { return c.bodyPending.Load() })
		var both sync.WaitGroup
		both.Go(func() { io.WriteString(client, text[len(text)-1:]) })
		both.Go(func() {
			yieldTimes(i % 20)
			if c.bodyPending.CompareAndSwap(true, false) { // as the listener does
				c.evict()
			}
		})
		both.Wait()
		expectAnswer(t, "evicted", client, func() bool { return true })
		client.Close()
		waitForNoConns(t, f)
	}
}

// A head crosses the close of an idle connection: what was read is answered, and what reached a worker too.
func TestHeadCrossesCloseOfIdleConnection(t *testing.T) {
	f, addr, reached := startAnsweringFront(t)
	for i := range crossings {
		client := dialAndSend(t, addr, requestText("first", contentLength(requestBody), requestBody))
		expectAnswer(t, "first", client, func() bool { return true })
		c := awaitConn(t, f, func(c *clientConn) bool { return c.state.Load() == connIdle })
		id := "second" + strings.Repeat("b", i%50)
		reached.Delete(id)
		var both sync.WaitGroup
		both.Go(func() { io.WriteString(client, requestText(id, contentLength(requestBody), requestBody)) })
		both.Go(func() {
			yieldTimes(i % 20)
			if i%2 == 0 {
				c.closeIfIdle()
			} else if c.state.CompareAndSwap(connIdle, connEvicted) { // as the listener does
				c.evict()
			}
		})
		both.Wait()
		expectAnswer(t, id, client, func() bool {
			_, wasSent := reached.Load(id)
			return wasSent
		})
		client.Close()
		waitForNoConns(t, f)
	}
}

func waitForNoConns(t *testing.T, f *Front) {
	t.Helper()
	for began := time.Now(); time.Since(began) < time.Minute; runtime.Gosched() {
		f.clients.mu.Lock()
		open := len(f.clients.conns)
		f.clients.mu.Unlock()
		if open == 0 {
			return
		}
	}
	t.Fatal("connections stay open")
}
