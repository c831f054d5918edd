package httpfront

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Each end of a client's connection with an answer owed or under way is logged once, with who ended it and why, and no other end is.
func TestEndOfConnectionWithOwedAnswerIsLogged(t *testing.T) {
	for name, c := range map[string]struct {
		streams bool // the stream has begun
		end     func(f *Front, client net.Conn, breakOff func())
		want    []string
	}{
		"the client leaves before its answer": {false, func(_ *Front, client net.Conn, _ func()) { client.Close() }, []string{"by=client", "worker=w", "out=true", "passed=0"}},
		"the client leaves in its answer":     {true, func(_ *Front, client net.Conn, _ func()) { client.Close() }, []string{"by=client", "worker=w", "out=false", "passed=10"}},
		"the worker breaks off":               {true, func(_ *Front, _ net.Conn, breakOff func()) { breakOff() }, []string{"by=router", `why="unexpected EOF"`, "worker=w", "passed=10"}},
		"the process ends": {true, func(f *Front, _ net.Conn, _ func()) {
			ended, end := context.WithCancel(context.Background())
			end()
			f.Shutdown(ended, "")
		}, []string{"by=router", `why="the process ends"`, "worker=w", "passed=10"}},
		"the connection is evicted": {false, func(f *Front, _ net.Conn, _ func()) {
			for x := range f.clients.conns {
				x.evict()
			}
		}, []string{"by=router", `why="evicted for another connection"`, "worker=w", "out=true"}},
	} {
		t.Run(name, func(t *testing.T) {
			reached, broken := make(chan bool, 1), make(chan struct{})
			worker := httptest.NewServer(twoStageWorker(func(w http.ResponseWriter, r *http.Request) {
				if c.streams {
					io.WriteString(w, "data: {}\n\n")
					http.NewResponseController(w).Flush()
				}
				reached <- true
				select {
				case <-broken:
				case <-r.Context().Done():
				}
				panic(http.ErrAbortHandler)
			}))
			defer worker.Close()
			f, lines := newLoggingFront(t, worker.Listener.Addr().String())
			addr, _ := serveReportingReads(t, f)
			client := dialAndSend(t, addr, withLongDeadline(requestText("one", contentLength(requestBody), requestBody)))
			receive(t, reached, "the write")
			if c.streams {
				res, err := http.ReadResponse(bufio.NewReader(client), nil)
				if err == nil {
					_, err = io.ReadFull(res.Body, make([]byte, len("data: {}\n\n")))
				}
				if err != nil {
					t.Fatal(err)
				}
			}
			c.end(f, client, func() { close(broken) })
			line := ""
			for !strings.Contains(line, "client connection ended") {
				line = receive(t, lines, "the line")
			}
			for _, want := range append(c.want, "txn=one") {
				if !strings.Contains(line, want) {
					t.Errorf("no %s in %s", want, line)
				}
			}
			f.server.Close()
			for len(lines) > 0 {
				if again := <-lines; strings.Contains(again, "client connection ended") {
					t.Errorf("logged again: %s", again)
				}
			}
		})
	}
}

// A connection whose answers were given ends without a line.
func TestEndOfConnectionWithoutOwedAnswerIsNotLogged(t *testing.T) {
	addr, _, goOn := streamingWorker(t)
	f, lines := newLoggingFront(t, addr)
	frontAddr, _ := serveReportingReads(t, f)
	close(goOn)
	client := dialAndSend(t, frontAddr, requestText("one", contentLength(requestBody), requestBody))
	readStream(t, bufio.NewReader(client))
	client.Close()
	ctx, stop := context.WithTimeout(t.Context(), time.Minute)
	defer stop()
	if !f.clients.open.Wait(ctx) {
		t.Error("the connection stays open")
	}
	for len(lines) > 0 {
		if line := <-lines; strings.Contains(line, "client connection ended") {
			t.Error(line)
		}
	}
}
