package httpfront

// Requests that are read behind another one on their connection, where that connection ends: each of them gets an answer.

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

// streamingWorker is a worker that reads prompts at once. It sends the first event of each stream, reports that, and ends the
// stream when it is let go on.
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

// serveReportingReads serves f at an address and reports each read of a client's socket.
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
	first := dial(t, l.Addr().String(), "GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	states.waitForIdle(t, first) // Serve has begun
	return l.Addr().String(), reads
}

// onlyConn is the one connection that the front has.
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

// waitForPipelined returns once so many requests were read behind the one at hand.
func waitForPipelined(t *testing.T, c *clientConn, reads <-chan struct{}, requests int32) {
	t.Helper()
	for c.behind.Load() < requests {
		receive(t, reads, "a read of the client's socket")
	}
}

// startShutdown shuts f down. ended is closed with its end.
func startShutdown(t *testing.T, f *Front) (ended chan struct{}) {
	ended = make(chan struct{})
	go func() {
		f.Shutdown(t.Context(), "")
		close(ended)
	}()
	return ended
}

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

func expectEOF(t *testing.T, in *bufio.Reader) {
	t.Helper()
	if b, err := in.ReadByte(); err != io.EOF {
		t.Errorf("%q %v, not the connection's end", b, err)
	}
}

// The end of the process begins while the first of three requests in one write is at a worker: all three are served, and only
// the last answer tells the connection's end.
func TestPipelinedRequestsAreServedAtShutdown(t *testing.T) {
	addr, begun, goOn := streamingWorker(t)
	f, _ := aimingAt(t, addr, time.Hour)
	at, reads := serveReportingReads(t, f)
	var texts []string
	for _, id := range []string{"one", "two", "three"} {
		texts = append(texts, patiently(message(id, length(bodyText), bodyText)))
	}
	client := dial(t, at, strings.Join(texts, ""))
	receive(t, begun, "the first stream")
	waitForPipelined(t, onlyConn(t, f), reads, 2)
	f.clients.closeAfterAnswers(true) // as Shutdown does first
	ended := startShutdown(t, f)
	in := bufio.NewReader(client)
	for n := range texts {
		if n > 0 {
			receive(t, begun, "the next stream")
		}
		goOn <- struct{}{}
		if res := readStream(t, in); res.Close != (n == len(texts)-1) {
			t.Errorf("answer %d tells the end: %v", n+1, res.Close)
		}
	}
	expectEOF(t, in)
	receive(t, ended, "the end of Shutdown")
}

// A request that is read after the answer before it has told the connection's end is refused; whole or not, as its client
// can't know how much of it was read.
func TestRequestReadAfterAnnouncedCloseIsRefused(t *testing.T) {
	second := patiently(message("two", length(bodyText), bodyText))
	for name, behind := range map[string]string{"whole": second, "two": second + second, "half": second[:len(second)-3]} {
		addr, begun, goOn := streamingWorker(t)
		f, _ := aimingAt(t, addr, time.Hour)
		at, reads := serveReportingReads(t, f)
		f.clients.closeAfterAnswers(true) // as Shutdown does first
		client := dial(t, at, patiently(message("one", length(bodyText), bodyText)))
		in := bufio.NewReader(client)
		receive(t, begun, name)
		ended := startShutdown(t, f)
		res, err := http.ReadResponse(in, nil)
		if err != nil || !res.Close {
			t.Fatalf("%s: %v %v, its connection ends", name, res, err)
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
				t.Errorf("%s: %v %v, it was read", name, res, err)
			}
		}
		expectEOF(t, in)
		receive(t, ended, "the end of Shutdown")
	}
}

// recordingConn brings the given bytes, and keeps what is written.
type recordingConn struct {
	bytesConn
	written *strings.Builder
}

func (c recordingConn) Write(p []byte) (int, error)      { return c.written.Write(p) }
func (c recordingConn) SetWriteDeadline(time.Time) error { return nil }
func (c recordingConn) Close() error                     { return nil }

// More requests come behind one than are kept: what is whole among the kept is handed over, the next is refused, and nothing
// that was left out in between is taken for a part of it.
func TestRequestsBeyondReadAheadAreRefused(t *testing.T) {
	one := message("one", length(bodyText), bodyText)
	for name, x := range map[string]struct {
		behind  string
		refused bool
	}{
		"requests": {strings.Repeat(one, 100), true},
		"a body":   {message("two", length(strings.Repeat("x", 2*maxReadAhead)), strings.Repeat("x", 2*maxReadAhead)), true},
		"noise":    {strings.Repeat("x", 3*maxReadAhead), false},
	} {
		var written strings.Builder
		listener := newClients(nil, 1, 250*time.Millisecond, quiet)
		c := &clientConn{Conn: recordingConn{bytesConn{in: strings.NewReader(one + x.behind), maxRead: 1 << 20}, &written}, from: listener}
		listener.conns[c] = true
		if _, err := io.ReadFull(c, make([]byte, len(one))); err != nil {
			t.Fatal(err)
		}
		if n, err := c.Read(make([]byte, 1)); n > 0 || err != io.EOF { // net/http looks whether the client leaves
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
			t.Errorf("%s: %d requests handed over, %d were kept", name, whole, kept)
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

// A head that is too long may have come before its client's answer before it was over, and not been kept: net/http has to be
// given enough of it to answer it all the same.
func TestOversizedPipelinedHeadReachesServer(t *testing.T) {
	one := message("one", length(bodyText), bodyText)
	long := message("two", "X-Long: "+strings.Repeat("x", 2*maxHeadBytes)+"\r\n"+length(bodyText), bodyText)
	var written strings.Builder
	listener := newClients(nil, 1, 250*time.Millisecond, quiet)
	c := &clientConn{Conn: recordingConn{bytesConn{in: strings.NewReader(one + long), maxRead: 1 << 20}, &written}, from: listener}
	listener.conns[c] = true
	if _, err := io.ReadFull(c, make([]byte, len(one))); err != nil {
		t.Fatal(err)
	}
	_, _ = c.Read(make([]byte, 1)) // net/http looks whether the client leaves
	trackConnState(c, http.StateIdle)
	text := make([]byte, maxHeadBytes+8<<10) // net/http allows 4 KB more than the limit
	if _, err := io.ReadFull(c, text); err != nil || !strings.HasPrefix(string(text), long[:40]) {
		t.Errorf("%.40q, %v", text, err)
	}
	if c.Close(); written.Len() > 0 {
		t.Errorf("answered here: %q", written.String())
	}
}

// Behind a request that was served comes one that net/http answers itself: there is one answer to each.
func TestPipelinedErrorIsAnsweredOnce(t *testing.T) {
	one := message("one", length(bodyText), bodyText)
	odd := message("two", length(bodyText)+length(bodyText), bodyText)
	long := message("two", "X-Long: "+strings.Repeat("x", 2*maxHeadBytes)+"\r\n"+length(bodyText), bodyText)
	for name, x := range map[string]struct {
		ahead, later string // sent with the first request, and after its answer
		want         int
	}{
		"unclear framing":      {odd, "", http.StatusBadRequest},
		"a head that is split": {odd[:40], odd[40:], http.StatusBadRequest},
		"a head too long":      {long[:40], long[40:], http.StatusRequestHeaderFieldsTooLarge},
	} {
		addr, begun, goOn := streamingWorker(t)
		f, _ := aimingAt(t, addr, time.Hour)
		at, reads := serveReportingReads(t, f)
		client := dial(t, at, one+x.ahead)
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
		if text, _ := io.ReadAll(res.Body); strings.Contains(string(text), "HTTP/1.1") { // its end is the connection's
			t.Errorf("%s: a second answer in %q", name, text)
		}
	}
}

// A stream goes on in the process that takes over, and so does the answer that is owed to a request that the process before
// had read behind it.
func TestRequestPipelinedBehindHandedOverStreamIsRefused(t *testing.T) {
	addr, begun, goOn := streamingWorker(t)
	older, _ := aimingAt(t, addr, time.Hour)
	older.HandOver = time.Millisecond
	at, reads := serveReportingReads(t, older)
	newer, _ := aimingAt(t, addr, time.Hour)
	path := filepath.Join(t.TempDir(), "s")
	if err := newer.TakeFrom(path); err != nil {
		t.Fatal(err)
	}
	first, second := patiently(message("one", length(bodyText), bodyText)), patiently(message("two", length(bodyText), bodyText))
	client := dial(t, at, first+second)
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
		t.Errorf("%v %v, it was read", res, err)
	}
	expectEOF(t, in)
}

// What the client of a stream that was taken over sends does not end the stream, and is refused behind it.
func TestRequestReadDuringHandedOverStreamIsRefused(t *testing.T) {
	client, clientSide := net.Pipe()
	worker, workerSide := net.Pipe()
	s := &receivedStream{receiver: &Handed{log: quiet, over: t.Context(), next: &heir{}}, client: clientSide, worker: workerSide}
	done := make(chan struct{})
	go func() {
		s.run()
		close(done)
	}()
	text := message("two", length(bodyText), bodyText)
	io.WriteString(client, text)
	io.WriteString(client, text[:60]) // is read once the one before was counted
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
