package httpfront

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"rowanyard/decide"
	"rowanyard/internal/core"
)

// serveOnTCP serves a front on a TCP port with at most maxConns clients and returns its address.
func serveOnTCP(t *testing.T, f *Front, maxConns int) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go f.Serve(l, maxConns)
	t.Cleanup(func() { f.server.Close() })
	return l.Addr().String()
}

// dialAndSend connects to addr and sends text.
func dialAndSend(t *testing.T, addr, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second)) // a hang fails the test
	io.WriteString(c, text)
	return c
}

// requestText returns a complete request as text, with framing as the header lines that describe its body's length.
func requestText(id, framing, body string) string {
	var b strings.Builder
	h := requestHeader()
	h.Set("X-Txn", id)
	h.Write(&b)
	return "POST " + PathChat + "?q=1 HTTP/1.1\r\nHost: x\r\n" + b.String() + framing + "\r\n" + body
}

// contentLength returns the Content-Length line for body.
func contentLength(body string) string { return fmt.Sprintf("Content-Length: %d\r\n", len(body)) }

// If two parsers disagree on the length of a body, the body can smuggle another request. A request with ambiguous framing
// must get an error, no attempt may be made for it, and nothing behind it may be parsed as a request.
func TestAmbiguousFramingIsRejected(t *testing.T) {
	f, _ := newFront(t, "127.0.0.1:1")
	addr := serveOnTCP(t, f, 50)
	smuggled := requestText("hidden", contentLength(requestBody), requestBody)
	lengthLine := contentLength(requestBody)
	for name, text := range map[string]string{
		"both":            requestText("a", lengthLine+"Transfer-Encoding: chunked\r\n", "0\r\n\r\n"+smuggled),
		"both, other way": requestText("a", "Transfer-Encoding: chunked\r\n"+lengthLine, "0\r\n\r\n"+smuggled),
		"both, folded":    requestText("a", lengthLine+"Transfer-Encoding:\r\n chunked\r\n", smuggled),
		"space":           requestText("a", lengthLine+"Transfer-Encoding : chunked\r\n", requestBody+smuggled),
		"twice":           requestText("a", lengthLine+lengthLine, requestBody+smuggled),
		"two lengths":     requestText("a", lengthLine+"Content-Length: 3\r\n", requestBody+smuggled),
		"plus":            requestText("a", "Content-Length: +10\r\n", requestBody),
		"negative":        requestText("a", "Content-Length: -10\r\n", requestBody),
		"no number":       requestText("a", "Content-Length: ten\r\n", requestBody),
		"beyond numbers":  requestText("a", "Content-Length: 99999999999999999999\r\n", requestBody),
		"huge":            requestText("a", "Content-Length: 9000000000000000000\r\n", "x"),
		"odd encoding":    requestText("a", "Transfer-Encoding: identity, chunked\r\n", "0\r\n\r\n"+smuggled),
		"old version":     strings.Replace(requestText("a", "Transfer-Encoding: chunked\r\n", smuggled), "HTTP/1.1", "HTTP/1.0", 1),
		"two empty lines": "\r\n\r\n" + smuggled,
		"a bare LF":       "\n" + smuggled,
		"a line of space": " \r\n" + smuggled,
		"two ids":         requestText("a", "X-Txn: b\r\nConnection: close\r\n"+lengthLine, requestBody),
		"endless head":    "POST / HTTP/1.1\r\nX: " + strings.Repeat("x", 4*maxHeadBytes),
		"noise":           "\x16\x03\x01\x00\r\n\r\n" + smuggled,
	} {
		in := bufio.NewReader(dialAndSend(t, addr, text))
		res, err := http.ReadResponse(in, nil)
		if err != nil || res.StatusCode < 400 || res.StatusCode == 502 || res.StatusCode == 503 {
			t.Errorf("%s: %v %v", name, res, err)
			continue
		}
		io.Copy(io.Discard, res.Body)
		if more, err := http.ReadResponse(in, nil); err == nil {
			t.Errorf("%s: a second answer %v", name, more)
		}
	}
}

// The checks on framing must not lose valid requests: several requests in one write are answered one after the other.
func TestRequestsInOneWriteAreServed(t *testing.T) {
	answers := []string{"202 X\r\nContent-Length: 2\r\n\r\n{}", "200 X\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("data: {}\n\n") + "0\r\n\r\n"}
	w, _ := rawWorker(t, func(n int) string { return "HTTP/1.1 " + answers[n%2] })
	f, _ := newFront(t, w)
	both := requestText("one", contentLength(requestBody), requestBody) + requestText("two", contentLength(requestBody), requestBody)
	in := bufio.NewReader(dialAndSend(t, serveOnTCP(t, f, 50), both))
	for range 2 {
		res, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		if text, err := io.ReadAll(res.Body); res.StatusCode != 200 || string(text) != "data: {}\n\n" {
			t.Fatal(res, string(text), err)
		}
	}
}

// Connections that send nothing, stop in the middle of a request or are idle must be closed after their timeouts.
func TestSilentConnectionsAreClosed(t *testing.T) {
	f, _ := newFront(t, "127.0.0.1:1")
	addr := serveOnTCP(t, f, 50)
	clients := map[string]net.Conn{}
	for name, text := range map[string]string{"silent": "", "half a head": "POST /v1", "half a body": requestText("a", "Content-Length: 99\r\n", "{"),
		"half a body nowhere": "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n", "idle": "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"} {
		clients[name] = dialAndSend(t, addr, text)
	}
	for name, c := range clients {
		text, err := io.ReadAll(c)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: still open", name)
		}
		if name == "half a body" && !strings.HasPrefix(string(text), "HTTP/1.1 408 ") {
			t.Errorf("%s: %q", name, text)
		}
	}
}

// connectionStates tracks the states that net/http reports of a front's client connections. A client may read its answer
// before net/http reports the connection as idle.
type connectionStates struct {
	mu      sync.Mutex
	current map[string]http.ConnState // by the client's address
	changed chan struct{}             // closed and replaced at each change
}

// followStates makes f report the states of its connections. It must be called before Serve.
func followStates(f *Front) *connectionStates {
	s := &connectionStates{current: make(map[string]http.ConnState), changed: make(chan struct{})}
	f.server.ConnState = func(c net.Conn, state http.ConnState) {
		trackConnState(c, state)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.current[c.RemoteAddr().String()] = state
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return s
}

// waitForIdle waits until no request is in progress on the client's connection.
func (s *connectionStates) waitForIdle(t *testing.T, client net.Conn) {
	t.Helper()
	limit := time.After(eventLimit)
	for {
		s.mu.Lock()
		state, changed := s.current[client.LocalAddr().String()], s.changed
		s.mu.Unlock()
		if state == http.StateIdle || state == http.StateClosed {
			return
		}
		select {
		case <-changed:
		case <-limit:
			t.Fatalf("the connection is %v", state)
		}
	}
}

// eventLimit is how long a test waits for an event before it fails.
const eventLimit = 20 * time.Second

// waitForCore waits until the core has finished all requests.
func waitForCore(t *testing.T, c *core.Core) {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), eventLimit)
	defer stop()
	if c.Wait(ctx); ctx.Err() != nil {
		t.Fatal("the core has unfinished requests")
	}
}

// receive waits for an event and fails the test after eventLimit.
func receive[T any](t *testing.T, events <-chan T, what string) T {
	t.Helper()
	select {
	case e := <-events:
		return e
	case <-time.After(eventLimit):
		t.Fatalf("no event: %s", what)
		panic("unreachable")
	}
}

// At the limit of connections, new ones must replace those without a request in progress. If all are in use, a new one must
// be refused with Retry-After.
func TestConnectionLimit(t *testing.T) {
	answer, received := make(chan struct{}), make(chan struct{}, 9)
	w, _ := rawWorker(t, func(int) string {
		received <- struct{}{}
		<-answer
		return "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"
	})
	f, _ := newFrontWithTarget(t, w, time.Hour) // no request may be abandoned before the next arrives, however slow the machine is
	states := followStates(f)
	addr := serveOnTCP(t, f, 2)
	for range 6 { // none of these has a request in progress
		dialAndSend(t, addr, "")
		dialAndSend(t, addr, "POST /v1")
	}
	kept := dialAndSend(t, addr, "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
	if res, err := http.ReadResponse(bufio.NewReader(kept), nil); err != nil || res.Close {
		t.Fatal(res, err)
	}
	states.waitForIdle(t, kept)
	// ask sends a request on a new connection and returns the answer's status and the connection.
	ask := func(text string) (int, net.Conn) {
		t.Helper()
		client := dialAndSend(t, addr, text)
		res, err := http.ReadResponse(bufio.NewReader(client), nil)
		if err != nil {
			t.Fatal(err)
		}
		if res.StatusCode == 503 && res.Header.Get("Retry-After") != "0.250" {
			t.Errorf("%v", res.Header)
		}
		return res.StatusCode, client
	}
	status, closing := ask("GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	if status != 200 {
		t.Errorf("with inactive connections only: %d", status)
	}
	states.waitForIdle(t, closing)
	first := dialAndSend(t, addr, withLongDeadline(requestText("a", contentLength(requestBody), requestBody)))
	receive(t, received, "the first request at the worker")
	status, conflicting := ask(withLongDeadline(requestText("a", contentLength(requestBody), requestBody)))
	if status != 409 { // the id is in use
		t.Errorf("the id of an open request: %d", status)
	}
	states.waitForIdle(t, conflicting)
	dialAndSend(t, addr, withLongDeadline(requestText("b", contentLength(requestBody), requestBody)))
	receive(t, received, "the second request at the worker")
	if status, _ := ask(withLongDeadline(requestText("c", contentLength(requestBody), requestBody))); status != 503 {
		t.Errorf("with all connections in use: %d", status)
	}
	close(answer)
	if res, err := http.ReadResponse(bufio.NewReader(first), nil); err != nil || res.StatusCode != 503 || res.Header.Get("Retry-After") == "" {
		t.Errorf("the first: %v %v", res, err)
	}
}

// A client that sends the whole of a body that is too long before it reads must receive the answer and not a reset.
func TestLargeBodyIsAnsweredBeforeClose(t *testing.T) {
	f, _ := newFront(t, "127.0.0.1:1")
	addr := serveOnTCP(t, f, 50)
	long := strings.Repeat("x", 8<<20)
	for name, text := range map[string]string{"length": requestText("a", contentLength(long), long),
		"chunked": requestText("a", "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(long), long))} {
		if res, err := http.ReadResponse(bufio.NewReader(dialAndSend(t, addr, text)), nil); err != nil || res.StatusCode != 413 {
			t.Errorf("%s: %v %v", name, res, err)
		}
	}
}

// rawWorker answers the n-th request with the bytes that answer returns and keeps the connection open. It returns its
// address and the number of connections so far.
func rawWorker(t *testing.T, answer func(n int) string) (string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	var requests, conns atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go answerAll(c, bufio.NewReader(c), func() string { return answer(int(requests.Add(1)) - 1) })
		}
	}()
	return l.Addr().String(), &conns
}

const chunkedHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// chunk returns text as one chunk of a chunked body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// newAttempt returns a request and what Try needs to send it to addr as a write.
func newAttempt(addr string) (*Exchange, core.Attempt) {
	return &Exchange{Workers: NewWorkers(time.Second, 15*time.Second, 100, discardLogger), Method: http.MethodPost, URI: PathChat, Head: requestHeader(), Body: []byte(requestBody)},
		core.Attempt{To: core.Worker{Addr: addr}, Deadline: time.Now().Add(time.Minute), MaySend: func() bool { return true }}
}

// An answer that is malformed or ends before the first event is complete is a failed attempt that has consumed the state. A
// valid stream passes unchanged, whatever precedes or follows it.
func TestAnswersUpToTheFirstEvent(t *testing.T) {
	const one, end = "data: {\"a\":1}\n\n", "data: [DONE]\n\n"
	good := chunk(one) + chunk(": X-Pressure: \x00\xff\n\n") + chunk(end) + "0\r\n\r\n"
	for name, c := range map[string]struct{ text, want string }{
		"good":            {chunkedHead + good, one + ": X-Pressure: \x00\xff\n\n" + end},
		"byte by byte":    {chunkedHead + chunk(one[:3]) + chunk(one[3:]) + "0\r\n\r\n", one},
		"empty comment":   {chunkedHead + chunk(":\n\n"+one) + "0\r\n\r\n", ":\n\n" + one}, // a common keep-alive
		"comment first":   {chunkedHead + chunk(": hello\n\n") + chunk(one) + "0\r\n\r\n", ": hello\n\n" + one},
		"1xx ahead":       {strings.Repeat("HTTP/1.1 103 Early\r\nLink: x\r\n\r\n", 9) + chunkedHead + good, one + ": X-Pressure: \x00\xff\n\n" + end},
		"load report":     {strings.Replace(chunkedHead, "\r\n\r\n", "\r\nx-pressure: \x00\x01\r\n\r\n", 1) + good, one + ": X-Pressure: \x00\xff\n\n" + end},
		"answer behind":   {chunkedHead + good + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", one + ": X-Pressure: \x00\xff\n\n" + end},
		"noise":           {"\x00\x01\x02 noise\r\n\r\n", ""},
		"head with noise": {"HTTP/1.1 200 OK\r\n\x00\x01\r\n\r\n", ""},
		"endless head":    {"HTTP/1.1 200 OK\r\n" + strings.Repeat("X: y\r\n", maxAnswerHeadBytes), ""},
		"slow head":       {"HTTP/1.1 200 OK\r\nX: y", ""},
		"endless 1xx":     {strings.Repeat("HTTP/1.1 103 Early\r\n\r\n", maxAnswerHeadBytes), ""},
		"other protocol":  {"HTTP/1.1 101 Switch\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n" + one, ""},
		"both lengths":    {strings.Replace(chunkedHead, "\r\n\r\n", "\r\nContent-Length: 5\r\n\r\n", 1) + good, ""},
		"noise in chunk":  {chunkedHead + chunk("\x01\x02\x03"), ""},
		"no event":        {chunkedHead + chunk("data: noise\n\n"), ""},
		"half an event":   {chunkedHead + chunk("data: {\"a\""), ""},
		"first event cut": {chunkedHead + chunk("data: {\"a\":1}\n") + "0\r\n\r\n", ""},
		"endless event":   {chunkedHead + strings.Repeat(chunk("data: "+strings.Repeat("x", 1000)+"\n"), 80), ""},
		"3 GB":            {chunkedHead + "c0000000\r\n" + one, ""},
		"no chunk":        {chunkedHead + "zz\r\n" + one, ""},
	} {
		addr, _ := rawWorker(t, func(int) string { return c.text })
		x, a := newAttempt(addr)
		res := x.Try(context.Background(), a)
		if c.want == "" {
			if res.Status != decide.Reset || !res.NoState {
				t.Errorf("%s: %+v", name, res)
			}
			continue
		}
		if res.Status != 0 {
			t.Errorf("%s: %+v", name, res)
			continue
		}
		if text, err := io.ReadAll(res.Stream.(Stream)); err != nil || string(text) != c.want {
			t.Errorf("%s: %q %v", name, text, err)
		}
	}
}

// A stream that becomes malformed after its first event must end the client's connection without the last chunk, and none
// of the malformed data may pass.
func TestStreamCorruptedAfterFirstEventBreaksClientStream(t *testing.T) {
	for name, bad := range map[string]string{"size": "zz\r\n", "claim": "c0000000\r\ndata: xxxx", "misfit": "3\r\ndata: {}\r\n",
		"noise": chunk("\x01\x02\x03"), "control": chunk("data: \x00\n\n"), "inside a line": chunk("data: {") + "0\r\n\r\n"} {
		w, _ := rawWorker(t, func(n int) string {
			if n == 0 {
				return "HTTP/1.1 202 X\r\nContent-Length: 2\r\n\r\n{}"
			}
			return chunkedHead + chunk("data: {}\n\n") + bad
		})
		f, c := newFront(t, w)
		res, err := http.ReadResponse(bufio.NewReader(dialAndSend(t, serveOnTCP(t, f, 9), requestText("a", contentLength(requestBody), requestBody))), nil)
		if err != nil || res.StatusCode != 200 && res.StatusCode != 502 {
			t.Fatal(name, res, err)
		}
		if res.StatusCode == 502 { // the malformed data arrived together with the first event: nothing was passed on
			continue
		}
		if text, err := io.ReadAll(res.Body); err == nil || strings.ContainsAny(string(text), "\x00\x01") {
			t.Errorf("%s: %q %v", name, text, err)
		}
		waitForCore(t, c)
	}
}

// A second answer behind the first must not be taken for the next request's: its connection must not be reused, while one
// without extra bytes is.
func TestOnlyCleanConnectionsAreReused(t *testing.T) {
	answer := chunkedHead + chunk("data: {}\n\n") + "0\r\n\r\n"
	for _, extra := range []string{"", "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"} {
		addr, conns := rawWorker(t, func(int) string { return answer + extra })
		x, a := newAttempt(addr)
		for range 3 {
			res := x.Try(context.Background(), a)
			if res.Status != 0 {
				t.Fatalf("%+v", res)
			}
			s := res.Stream.(Stream)
			io.ReadAll(s)
			s.Close()
		}
		if n := conns.Load(); n != 1 && extra == "" || n != 3 && extra != "" {
			t.Errorf("%d connections, extra %q", n, extra)
		}
	}
}

// A second answer that arrives some milliseconds after the first must not be taken for the next request's: a request that
// ran would count as turned away and could be sent again or refused. The next write waits until it would have arrived.
func TestLateSecondAnswerIsDiscarded(t *testing.T) {
	const turnedAway = "HTTP/1.1 503 X\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	late := make(chan struct{}) // closed when the second answer is due
	var ran atomic.Int64
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				next := func() error {
					r, err := http.ReadRequest(in)
					if err == nil {
						_, err = io.Copy(io.Discard, r.Body)
					}
					return err
				}
				if next() != nil {
					return
				}
				if n > 0 { // the next request is served on a new connection
					ran.Add(1)
					io.WriteString(c, chunkedHead+chunk("data: {}\n\n")+"0\r\n\r\n")
					return
				}
				io.WriteString(c, turnedAway)
				nextRequest := make(chan error, 1)
				go func() { nextRequest <- next() }()
				select {
				case <-late:
				case err := <-nextRequest: // the next request was sent on this connection and runs
					if err == nil {
						ran.Add(1)
					}
				}
				io.WriteString(c, turnedAway)
			}()
		}
	}()
	x, a := newAttempt(l.Addr().String())
	var once sync.Once
	x.Workers.after = func(time.Duration) <-chan time.Time { // the wait ends only once the second answer has arrived
		once.Do(func() { close(late) })
		return nil
	}
	if res := x.Try(context.Background(), a); res.Status != decide.Rejected {
		t.Fatalf("%+v", res)
	}
	if res := x.Try(context.Background(), a); res.Status != 0 || ran.Load() != 1 {
		t.Errorf("%+v, executed %d times", res, ran.Load())
	}
}

// A worker with a malformed load report has answered the probe all the same. Its load is unknown.
func TestUnreadableLoadReportIsNotAFailure(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "queue=\x00,=") }))
	defer s.Close()
	w := NewWorkers(time.Second, 15*time.Second, 9, discardLogger)
	if p, err := w.Probe(context.Background(), core.Worker{Addr: s.Listener.Addr().String()}); err != nil || p.QueuedRequests >= 0 || p.QueuedTokens >= 0 {
		t.Errorf("%+v %v", p, err)
	}
}

// At the limit of connections to workers idle ones are closed for new ones. If none is idle the attempt is not made, and it
// must not count as a failure of the worker.
func TestWorkerConnectionLimit(t *testing.T) {
	release, reached := make(chan struct{}), make(chan struct{}, 1)
	defer close(release)
	slow, _ := rawWorker(t, func(int) string { reached <- struct{}{}; <-release; return "" })
	quick, _ := rawWorker(t, func(int) string { return "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n" })
	w := NewWorkers(time.Second, 15*time.Second, 1, discardLogger)
	x, a := newAttempt(quick)
	x.Workers = w
	if res := x.Try(context.Background(), a); res.Status != decide.Errored {
		t.Fatalf("%+v", res)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan core.Result)
	go func() { // replaces the idle connection to the other worker
		to := a
		to.To.Addr = slow
		done <- x.Try(ctx, to)
	}()
	receive(t, reached, "the first attempt at the worker")
	if res := x.Try(context.Background(), a); res.Status != decide.Unsent {
		t.Errorf("%+v", res)
	}
	stop()
	if res := <-done; res.Status != decide.Cancelled {
		t.Errorf("%+v", res)
	}
}

// The parser of a request's framing must agree with net/http's wherever both accept the head.
func FuzzRequestFraming(f *testing.F) {
	addDamagedSeeds(f, requestText("a", contentLength(requestBody), ""))
	addDamagedSeeds(f, "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n")
	f.Add("POST / HTTP/1.0\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n")
	f.Add("POST / HTTP/1.1\nHost: x\ncontent-length:\t7\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		end := headLength([]byte(text))
		if end == 0 {
			return
		}
		ours, ok := requestFraming([]byte(text[:end]))
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text[:end])))
		if !ok || err != nil {
			return
		}
		if chunked := len(r.TransferEncoding) > 0; chunked != ours.chunked || !chunked && r.ContentLength != ours.contentLength {
			t.Errorf("%q: %+v, net/http: %d %v", text[:end], ours, r.ContentLength, r.TransferEncoding)
		}
	})
}

// The scanners of chunks and events must not depend on how a stream is divided into reads.
func FuzzStream(f *testing.F) {
	addDamagedSeeds(f, chunk("data: {\"a\":1}\n\n: note\r\n\r\n")+chunk("data: [DONE]\n\n")+"0\r\nT: x\r\n\r\nbeyond")
	f.Fuzz(func(t *testing.T, text string) {
		var atOnce, byteWise chunkScanner
		n, end, err := atOnce.feed([]byte(text))
		sum, last, byteWiseErr := 0, false, error(nil)
		for i := 0; i < len(text) && !last && byteWiseErr == nil; i++ {
			var k int
			k, last, byteWiseErr = byteWise.feed([]byte(text[i : i+1]))
			sum += k
		}
		if n != sum || end != last || (err == nil) != (byteWiseErr == nil) || n > len(text) {
			t.Errorf("%q: %d %v %v, byte by byte %d %v %v", text, n, end, err, sum, last, byteWiseErr)
		}
		var whole, parts eventScanner
		n, _, err = whole.feed([]byte(text))
		sum, byteWiseErr = 0, nil
		for i := 0; i < len(text) && byteWiseErr == nil; i++ {
			var k int
			k, _, byteWiseErr = parts.feed([]byte(text[i : i+1]))
			sum += k
		}
		if n != sum || (err == nil) != (byteWiseErr == nil) {
			t.Errorf("%q: events %d %v, byte by byte %d %v", text, n, err, sum, byteWiseErr)
		}
	})
}

// After SIGTERM a stream that would still run at SIGKILL is cut while another router can continue it: its client's
// connection ends without the last chunk, after some of the stream has passed. If clients don't request the rest, the stream
// goes on to its end.
func TestStreamsAreHandedOver(t *testing.T) {
	for _, cut := range []bool{true, false} {
		more := make(chan struct{})
		front, c := startFront(t, twoStageWorker(func(w http.ResponseWriter, r *http.Request) {
			io.WriteString(w, "data: {}\n\n")
			http.NewResponseController(w).Flush()
			select {
			case <-more:
			case <-r.Context().Done():
			}
		}))
		f := front.Config.Handler.(*Front)
		f.HandOverAfter, f.CutStreams = time.Millisecond, cut
		req, _ := http.NewRequest(http.MethodPost, front.URL+PathChat, strings.NewReader(requestBody))
		req.Header = requestHeader()
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
		defer stop()
		f.Shutdown(ctx, "")
		if !cut {
			close(more)
		}
		text, err := io.ReadAll(res.Body)
		res.Body.Close()
		if string(text) != "data: {}\n\n" || (err != nil) != cut {
			t.Errorf("CutStreams %v: %q %v", cut, text, err)
		}
		c.Wait(ctx)
	}
}

// bytesConn is a connection that returns the given bytes, at most maxRead at once, and then io.EOF.
type bytesConn struct {
	net.Conn
	in      *strings.Reader
	maxRead int
}

func (c bytesConn) Read(p []byte) (int, error)      { return c.in.Read(p[:min(len(p), c.maxRead)]) }
func (c bytesConn) SetReadDeadline(time.Time) error { return nil }

// Whatever a peer sends, and however it is divided into reads, the connections of clients and workers must not panic or
// loop, and what they return must not depend on the division.
func FuzzConnections(f *testing.F) {
	addDamagedSeeds(f, "HTTP/1.1 103 E\r\n\r\n"+chunkedHead+chunk("data: {}\n\n")+"0\r\n\r\nHTTP/1.1 500 X\r\n")
	addDamagedSeeds(f, requestText("a", contentLength("{}"), "{}")+requestText("b", "Transfer-Encoding: chunked\r\n", "0\r\n\r\n"))
	f.Add("HTTP/1.1 204 X\r\n\r\n")
	f.Add("HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\nbeyond")
	f.Fuzz(func(t *testing.T, text string) {
		var seen [2]string
		for i, maxRead := range []int{1, 1 << 20} {
			w := &workerConn{Conn: bytesConn{in: strings.NewReader(text), maxRead: maxRead}, openConns: new(atomic.Int64), done: make(chan struct{})}
			w.awaitingAnswer.Store(true)
			io.Copy(io.Discard, w)
			c := newClientListener(nil, 1, 0, nil, discardLogger).newConn(bytesConn{in: strings.NewReader(text), maxRead: maxRead})
			got, _ := io.ReadAll(c)
			seen[i] = string(got)
		}
		if seen[0] != seen[1] && len(text) < maxHeadBytes {
			t.Errorf("%q: %q in single bytes, %q at once", text, seen[0], seen[1])
		}
	})
}

// Wherever a stream is handed over, the next process must continue it with the same text. Positions that are malformed must
// not be accepted.
func FuzzHandedOverStreams(f *testing.F) {
	stream := "5\r\ndata:\r\n1c;x=1\r\n {\"choices\":[{\"delta\":{}}]}\n\r\n1\r\n\n\r\n0\r\n\r\n"
	for cut := range len(stream) {
		f.Add(cut, []byte(`{}`))
	}
	f.Add(3, []byte(`{"chunk":99}`))
	f.Add(3, []byte(`{"chunk":3,"left":-1}`))
	f.Add(3, []byte(`{"chunk":3,"left":300000000,"line":"YQ=="}`))
	f.Fuzz(func(t *testing.T, cut int, data []byte) {
		var position streamPosition
		if json.Unmarshal(data, &position) == nil {
			if c, e, err := position.scanners(); err == nil {
				_, _, _ = c.feed([]byte(stream))
				_, _, _ = e.feed([]byte(stream))
			}
		}
		if cut < 0 || cut > len(stream) {
			return
		}
		text := func(chunk chunkScanner, events eventScanner, p string) (string, chunkScanner, eventScanner, bool) {
			var out []byte
			chunk.onData = func(p []byte) { out = append(out, p...) }
			_, end, err := chunk.feed([]byte(p))
			_, _, eventErr := events.feed(out)
			if err != nil || eventErr != nil {
				t.Fatal(err, eventErr)
			}
			return string(out), chunk, events, end
		}
		first, chunk, events, _ := text(chunkScanner{}, eventScanner{}, stream[:cut])
		encoded, _ := json.Marshal(streamPositionOf(chunk, events))
		if err := json.Unmarshal(encoded, &position); err != nil {
			t.Fatal(err)
		}
		chunk, events, err := position.scanners()
		if err != nil {
			t.Fatal(err)
		}
		rest, _, _, end := text(chunk, events, stream[cut:])
		if first+rest != "data: {\"choices\":[{\"delta\":{}}]}\n\n" || !end && cut < len(stream) {
			t.Errorf("cut at %d: %q and %q, end %v", cut, first, rest, end)
		}
	})
}

// A stream that arrived regularly and then stalls must be cut before its answer is too slow to be of use, but only if its
// client requests the rest, and never for a pause no longer than those before.
func TestStallTimeoutFollowsStreamGaps(t *testing.T) {
	for _, c := range []struct {
		resume           bool
		longestGap, want time.Duration
	}{{true, 0, StreamStallTimeout}, {true, 30 * time.Millisecond, minStallTimeout}, {true, 200 * time.Millisecond, 2 * time.Second},
		{true, time.Second, StreamStallTimeout}, {false, 30 * time.Millisecond, StreamStallTimeout}} {
		if s := (&stream{resume: c.resume, longestGap: c.longestGap}); s.stallTimeout() != c.want {
			t.Errorf("resume %v, gap %v: waits %v, want %v", c.resume, c.longestGap, s.stallTimeout(), c.want)
		}
	}
	// Gaps are measured between reads that return data.
	end := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for range 2 {
			io.WriteString(w, "data: {}\n\n")
			w.(http.Flusher).Flush()
		}
		<-end
	}))
	defer s.Close()
	defer close(end)
	res, err := http.Get(s.URL)
	if err != nil {
		t.Fatal(err)
	}
	here, there := net.Pipe()
	defer there.Close()
	got := newStream(res, &workerConn{Conn: here}, true)
	got.lastRead = time.Now().Add(-time.Second)
	defer got.Close()
	got.Read(make([]byte, 64))
	if got.longestGap < time.Second {
		t.Errorf("a gap of a second was measured as %v", got.longestGap)
	}
}
