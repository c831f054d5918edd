package httpfront

// Tests of pipelined requests on a connection that ends: each request that was read must get an answer.

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// streamingWorker starts a worker that answers reads at once. For a write it sends the first event, reports that on
// begun, and ends the stream after it has received from goOn.
func streamingWorker(t *testing.T) (addr string, begun chan struct{}, goOn chan struct{}) {
	t.Helper()
	begun, goOn = make(chan struct{}, 9), make(chan struct{}, 9)
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		switch {
		case r.Method != http.MethodPost: // a release
		case calls.Add(1)%2 == 1:
			w.WriteHeader(http.StatusAccepted)
			io.WriteString(w, "{}")
		default:
			io.WriteString(w, "data: {}\n\n")
			http.NewResponseController(w).Flush()
			begun <- struct{}{}
			select {
			case <-goOn:
			case <-r.Context().Done():
			}
			io.WriteString(w, "data: [DONE]\n\n")
		}
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), begun, goOn
}

const streamText = "data: {}\n\ndata: [DONE]\n\n"

// serveReportingReads serves f and reports each read of a client's socket.
func serveReportingReads(t *testing.T, f *Front) (addr string, reads chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	states := followStates(f)
	reads = make(chan struct{}, 1000)
	served := make(chan error, 1)
	go func() { served <- f.Serve(hookedListener{l, func() { reads <- struct{}{} }}, 9) }()
	t.Cleanup(func() {
		f.server.Close()
		if err := receive(t, served, "the end of Serve"); err != nil {
			t.Error(err)
		}
	})
	first := dialAndSend(t, l.Addr().String(), "GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	states.waitForIdle(t, first) // Serve is running
	return l.Addr().String(), reads
}

// onlyConn returns the front's connection and fails the test unless there is exactly one.
func onlyConn(t *testing.T, f *Front) *clientConn {
	t.Helper()
	f.clients.mu.Lock()
	defer f.clients.mu.Unlock()
	if len(f.clients.conns) != 1 {
		t.Fatalf("%d connections", len(f.clients.conns))
	}
	for c := range f.clients.conns {
		return c
	}
	return nil
}

// waitForPipelined waits until the given number of requests have been read behind the current one.
func waitForPipelined(t *testing.T, c *clientConn, reads <-chan struct{}, requests int32) {
	t.Helper()
	for c.pipelined.Load() < requests {
		receive(t, reads, "a read of the client's socket")
	}
}

// startShutdown shuts f down in the background and closes ended when Shutdown returns. successor is the path at which another
// process receives streams, or "".
func startShutdown(t *testing.T, f *Front, successor string) (ended chan struct{}) {
	ended = make(chan struct{})
	go func() {
		f.Shutdown(t.Context(), successor)
		close(ended)
	}()
	return ended
}

// readStream reads an answer and fails the test unless it is a complete stream.
func readStream(t *testing.T, in *bufio.Reader) *http.Response {
	t.Helper()
	res, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	if text, err := io.ReadAll(res.Body); res.StatusCode != http.StatusOK || string(text) != streamText || err != nil {
		t.Fatalf("%v %q %v", res, text, err)
	}
	return res
}

// expectEOF expects the end of the connection.
func expectEOF(t *testing.T, in *bufio.Reader) {
	t.Helper()
	if b, err := in.ReadByte(); err != io.EOF {
		t.Errorf("%q %v, want the end of the connection", b, err)
	}
}

// Shutdown begins while the first of three requests in one write is at a worker. All three must be served, and only the last
// answer may announce the end of the connection.
func TestPipelinedRequestsAreServedAtShutdown(t *testing.T) {
	addr, begun, goOn := streamingWorker(t)
	f, _ := newFrontWithTarget(t, addr, time.Hour)
	frontAddr, reads := serveReportingReads(t, f)
	var texts []string
	for _, id := range []string{"one", "two", "three"} {
		texts = append(texts, withLongDeadline(requestText(id, contentLength(requestBody), requestBody)))
	}
	client := dialAndSend(t, frontAddr, strings.Join(texts, ""))
	receive(t, begun, "the first stream")
	waitForPipelined(t, onlyConn(t, f), reads, 2)
	f.clients.closeAfterAnswers(true) // the first step of Shutdown
	ended := startShutdown(t, f, "")
	in := bufio.NewReader(client)
	for n := range texts {
		if n > 0 {
			receive(t, begun, "the next stream")
		}
		goOn <- struct{}{}
		if res := readStream(t, in); res.Close != (n == len(texts)-1) {
			t.Errorf("answer %d announces the close: %v", n+1, res.Close)
		}
	}
	expectEOF(t, in)
	receive(t, ended, "the end of Shutdown")
}

// A request that is read after the previous answer has announced the end of the connection must be refused. This includes
// incomplete requests, since the client can't know how much was read.
func TestRequestReadAfterAnnouncedCloseIsRefused(t *testing.T) {
	second := withLongDeadline(requestText("two", contentLength(requestBody), requestBody))
	for name, behind := range map[string]string{"whole": second, "two": second + second, "half": second[:len(second)-3]} {
		addr, begun, goOn := streamingWorker(t)
		f, _ := newFrontWithTarget(t, addr, time.Hour)
		frontAddr, reads := serveReportingReads(t, f)
		f.clients.closeAfterAnswers(true) // the first step of Shutdown
		client := dialAndSend(t, frontAddr, withLongDeadline(requestText("one", contentLength(requestBody), requestBody)))
		in := bufio.NewReader(client)
		receive(t, begun, name)
		ended := startShutdown(t, f, "")
		res, err := http.ReadResponse(in, nil)
		if err != nil || !res.Close {
			t.Fatalf("%s: %v %v, want the announcement of the close", name, res, err)
		}
		want := strings.Count(behind, "POST ")
		io.WriteString(client, behind)
		waitForPipelined(t, onlyConn(t, f), reads, int32(want))
		goOn <- struct{}{}
		if text, err := io.ReadAll(res.Body); string(text) != streamText || err != nil {
			t.Errorf("%s: %q %v", name, text, err)
		}
		for n := range want {
			res, err := http.ReadResponse(in, nil)
			if err != nil || res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" || res.Close != (n == want-1) {
				t.Errorf("%s: %v %v, want a refusal", name, res, err)
			}
		}
		expectEOF(t, in)
		receive(t, ended, "the end of Shutdown")
	}
}

// recordingConn returns the given bytes and records what is written.
type recordingConn struct {
	bytesConn
	written *strings.Builder
}

func (c recordingConn) Write(p []byte) (int, error)      { return c.written.Write(p) }
func (c recordingConn) SetWriteDeadline(time.Time) error { return nil }
func (c recordingConn) Close() error                     { return nil }

// More data is pipelined than is kept. The complete requests among what is kept must be served, the next one must be
// refused, and nothing after the discarded data may be taken for a part of it.
func TestRequestsBeyondReadAheadAreRefused(t *testing.T) {
	one := requestText("one", contentLength(requestBody), requestBody)
	for name, x := range map[string]struct {
		behind  string
		refused bool
	}{
		"requests": {strings.Repeat(one, 100), true},
		"a body":   {requestText("two", contentLength(strings.Repeat("x", 2*maxReadAhead)), strings.Repeat("x", 2*maxReadAhead)), true},
		"noise":    {strings.Repeat("x", 3*maxReadAhead), false},
	} {
		var written strings.Builder
		listener := newClientListener(nil, 1, 250*time.Millisecond, nil, discardLogger)
		c := listener.newConn(recordingConn{bytesConn{in: strings.NewReader(one + x.behind), maxRead: 1 << 20}, &written})
		listener.conns[c] = true
		if _, err := io.ReadFull(c, make([]byte, len(one))); err != nil {
			t.Fatal(err)
		}
		if n, err := c.Read(make([]byte, 1)); n > 0 || err != io.EOF { // as net/http does to detect that the client leaves
			t.Errorf("%s: %d bytes before the answer, %v", name, n, err)
		}
		whole := 0
		for {
			trackConnState(c, http.StateIdle)
			text := make([]byte, len(one))
			if _, err := io.ReadFull(c, text); err != nil {
				if !errors.Is(err, io.EOF) {
					t.Errorf("%s: %v", name, err)
				}
				break
			}
			if whole++; string(text) != one {
				t.Fatalf("%s: %q", name, text)
			}
		}
		if kept := strings.Count(x.behind[:maxReadAhead], one); whole != kept {
			t.Errorf("%s: %d requests were passed on, %d were kept", name, whole, kept)
		}
		in := bufio.NewReader(strings.NewReader(written.String()))
		res, err := http.ReadResponse(in, nil)
		if refused := err == nil; refused != x.refused {
			t.Errorf("%s: %v %v", name, res, err)
		}
		if x.refused && (res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") != "0.250" || !res.Close) {
			t.Errorf("%s: %v", name, res)
		}
	}
}

// A pipelined head that is too long may arrive before the previous answer is complete, so that its rest is discarded. net/http
// must still be given enough of it to answer with an error.
func TestOversizedPipelinedHeadReachesServer(t *testing.T) {
	one := requestText("one", contentLength(requestBody), requestBody)
	long := requestText("two", "X-Long: "+strings.Repeat("x", 2*maxHeadBytes)+"\r\n"+contentLength(requestBody), requestBody)
	var written strings.Builder
	listener := newClientListener(nil, 1, 250*time.Millisecond, nil, discardLogger)
	c := listener.newConn(recordingConn{bytesConn{in: strings.NewReader(one + long), maxRead: 1 << 20}, &written})
	listener.conns[c] = true
	if _, err := io.ReadFull(c, make([]byte, len(one))); err != nil {
		t.Fatal(err)
	}
	_, _ = c.Read(make([]byte, 1)) // as net/http does to detect that the client leaves
	trackConnState(c, http.StateIdle)
	text := make([]byte, maxHeadBytes+8<<10) // net/http allows 4 KB more than the limit
	if _, err := io.ReadFull(c, text); err != nil || !strings.HasPrefix(string(text), long[:40]) {
		t.Errorf("%.40q, %v", text, err)
	}
	if c.Close(); written.Len() > 0 {
		t.Errorf("answered by the connection: %q", written.String())
	}
}

// A request that net/http answers with an error follows one that was served. Each must get exactly one answer.
func TestPipelinedErrorIsAnsweredOnce(t *testing.T) {
	one := requestText("one", contentLength(requestBody), requestBody)
	odd := requestText("two", contentLength(requestBody)+contentLength(requestBody), requestBody)
	long := requestText("two", "X-Long: "+strings.Repeat("x", 2*maxHeadBytes)+"\r\n"+contentLength(requestBody), requestBody)
	for name, x := range map[string]struct {
		ahead, later string // sent with the first request, and after its answer
		want         int
	}{
		"unclear framing":      {odd, "", http.StatusBadRequest},
		"a head that is split": {odd[:40], odd[40:], http.StatusBadRequest},
		"a head too long":      {long[:40], long[40:], http.StatusRequestHeaderFieldsTooLarge},
	} {
		addr, begun, goOn := streamingWorker(t)
		f, _ := newFrontWithTarget(t, addr, time.Hour)
		frontAddr, reads := serveReportingReads(t, f)
		client := dialAndSend(t, frontAddr, one+x.ahead)
		receive(t, begun, name)
		waitForPipelined(t, onlyConn(t, f), reads, 1)
		goOn <- struct{}{}
		in := bufio.NewReader(client)
		readStream(t, in)
		io.WriteString(client, x.later)
		res, err := http.ReadResponse(in, nil)
		if err != nil || res.StatusCode != x.want {
			t.Errorf("%s: %v %v, want %d", name, res, err, x.want)
			continue
		}
		if text, _ := io.ReadAll(res.Body); strings.Contains(string(text), "HTTP/1.1") { // the body ends with the connection
			t.Errorf("%s: a second answer in %q", name, text)
		}
	}
}

// A stream is handed over to another process. A request that the older process had read behind it must be refused by the
// newer one.
func TestRequestPipelinedBehindHandedOverStreamIsRefused(t *testing.T) {
	addr, begun, goOn := streamingWorker(t)
	older, _ := newFrontWithTarget(t, addr, time.Hour)
	older.HandOverAfter = time.Millisecond
	frontAddr, reads := serveReportingReads(t, older)
	newer, _ := newFrontWithTarget(t, addr, time.Hour)
	path := filepath.Join(t.TempDir(), "s")
	if err := newer.ReceiveStreams(path); err != nil {
		t.Fatal(err)
	}
	first, second := withLongDeadline(requestText("one", contentLength(requestBody), requestBody)), withLongDeadline(requestText("two", contentLength(requestBody), requestBody))
	client := dialAndSend(t, frontAddr, first+second)
	in := bufio.NewReader(client)
	receive(t, begun, "the stream")
	waitForPipelined(t, onlyConn(t, older), reads, 1)
	ended := make(chan struct{})
	go func() {
		older.Shutdown(t.Context(), path)
		close(ended)
	}()
	receive(t, ended, "the end of the older process's front")
	goOn <- struct{}{}
	readStream(t, in)
	if res, err := http.ReadResponse(in, nil); err != nil || res.StatusCode != http.StatusServiceUnavailable || !res.Close {
		t.Errorf("%v %v, want a refusal", res, err)
	}
	expectEOF(t, in)
}

// Requests that a client sends during a stream that was handed over must not end the stream and must be refused after it.
func TestRequestReadDuringHandedOverStreamIsRefused(t *testing.T) {
	client, clientSide := net.Pipe()
	worker, workerSide := net.Pipe()
	s := &receivedStream{receiver: &StreamReceiver{log: discardLogger, cutCtx: t.Context()}, client: clientSide, worker: workerSide, releaseID: func() {}}
	done := make(chan struct{})
	go func() {
		s.run()
		close(done)
	}()
	text := requestText("two", contentLength(requestBody), requestBody)
	io.WriteString(client, text)
	io.WriteString(client, text[:60]) // is read once the previous write was counted
	io.WriteString(client, text[60:])
	io.WriteString(client, "P")
	go io.WriteString(worker, chunk("data: {}\n\n")+"0\r\n\r\n")
	got, err := io.ReadAll(client)
	receive(t, done, "the stream's end")
	refused := "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
	want := chunk("data: {}\n\n") + "0\r\n\r\n" + refused + "\r\n" + refused + "Connection: close\r\n\r\n"
	if string(got) != want || err != nil {
		t.Errorf("%q %v, want %q", got, err, want)
	}
}
