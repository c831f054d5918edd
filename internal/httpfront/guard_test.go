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

// listening serves a front on a real port with room for so many clients.
func listening(t *testing.T, f *Front, maxConns int) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go f.Serve(l, maxConns)
	t.Cleanup(func() { f.server.Close() })
	return l.Addr().String()
}

func dial(t *testing.T, addr, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second)) // a hang is a failure, not a wait
	io.WriteString(c, text)
	return c
}

// message is a whole request on the wire, with these lines in place of its length.
func message(id, framing, body string) string {
	var b strings.Builder
	h := head()
	h.Set("X-Txn", id)
	h.Write(&b)
	return "POST " + PathChat + "?q=1 HTTP/1.1\r\nHost: x\r\n" + b.String() + framing + "\r\n" + body
}

func length(body string) string { return fmt.Sprintf("Content-Length: %d\r\n", len(body)) }

// A body may hide another request where two readers read its length in two ways. Such a request gets an
// error, nothing is sent for it, and nothing behind it is taken for a request.
func TestAmbiguousFramingIsRejected(t *testing.T) {
	f, _ := newFront(t, "127.0.0.1:1")
	addr := listening(t, f, 50)
	hidden := message("hidden", length(bodyText), bodyText)
	whole := length(bodyText)
	for name, text := range map[string]string{
		"both":            message("a", whole+"Transfer-Encoding: chunked\r\n", "0\r\n\r\n"+hidden),
		"both, other way": message("a", "Transfer-Encoding: chunked\r\n"+whole, "0\r\n\r\n"+hidden),
		"both, folded":    message("a", whole+"Transfer-Encoding:\r\n chunked\r\n", hidden),
		"space":           message("a", whole+"Transfer-Encoding : chunked\r\n", bodyText+hidden),
		"twice":           message("a", whole+whole, bodyText+hidden),
		"two lengths":     message("a", whole+"Content-Length: 3\r\n", bodyText+hidden),
		"plus":            message("a", "Content-Length: +10\r\n", bodyText),
		"negative":        message("a", "Content-Length: -10\r\n", bodyText),
		"no number":       message("a", "Content-Length: ten\r\n", bodyText),
		"beyond numbers":  message("a", "Content-Length: 99999999999999999999\r\n", bodyText),
		"huge":            message("a", "Content-Length: 9000000000000000000\r\n", "x"),
		"odd encoding":    message("a", "Transfer-Encoding: identity, chunked\r\n", "0\r\n\r\n"+hidden),
		"old version":     strings.Replace(message("a", "Transfer-Encoding: chunked\r\n", hidden), "HTTP/1.1", "HTTP/1.0", 1),
		"empty line":      "\r\n" + hidden,
		"two ids":         message("a", "X-Txn: b\r\nConnection: close\r\n"+whole, bodyText),
		"endless head":    "POST / HTTP/1.1\r\nX: " + strings.Repeat("x", 4*maxHeadBytes),
		"noise":           "\x16\x03\x01\x00\r\n\r\n" + hidden,
	} {
		in := bufio.NewReader(dial(t, addr, text))
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

// What is guarded must not get lost: requests right behind one another are answered one by one.
func TestRequestsInOneWriteAreServed(t *testing.T) {
	answers := []string{"202 X\r\nContent-Length: 2\r\n\r\n{}", "200 X\r\nContent-Length: 10\r\n\r\ndata: {}\n\n"}
	w, _ := rawWorker(t, func(n int) string { return "HTTP/1.1 " + answers[n%2] })
	f, _ := newFront(t, w)
	both := message("one", length(bodyText), bodyText) + message("two", length(bodyText), bodyText)
	in := bufio.NewReader(dial(t, listening(t, f, 50), both))
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

// Connections that say nothing, stop halfway or stand idle are closed by themselves, soon.
func TestSilentConnectionsAreClosed(t *testing.T) {
	f, _ := newFront(t, "127.0.0.1:1")
	addr := listening(t, f, 50)
	begun := map[string]net.Conn{}
	for name, text := range map[string]string{"silent": "", "half a head": "POST /v1", "half a body": message("a", "Content-Length: 99\r\n", "{"),
		"half a body nowhere": "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n", "idle": "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"} {
		begun[name] = dial(t, addr, text)
	}
	for name, c := range begun {
		text, err := io.ReadAll(c)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: still open", name)
		}
		if name == "half a body" && !strings.HasPrefix(string(text), "HTTP/1.1 408 ") {
			t.Errorf("%s: %q", name, text)
		}
	}
}

// connectionStates follows what net/http does with the connections of a front's clients. A client may read its answer before
// net/http has put the connection to rest.
type connectionStates struct {
	mu      sync.Mutex
	current map[string]http.ConnState // by the client's address
	changed chan struct{}             // closed, and made anew, at each change
}

// followStates sets f up to report the states of its connections. It goes before Serve.
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

// waitForIdle returns once no request is at work at the client's connection.
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

// eventLimit is how long a test waits for an event that has to come: a hang is a failure.
const eventLimit = 20 * time.Second

// waitForCore waits until the core has nothing left to do for requests that have come.
func waitForCore(t *testing.T, c *core.Core) {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), eventLimit)
	defer stop()
	if c.Wait(ctx); ctx.Err() != nil {
		t.Fatal("requests go on")
	}
}

// receive waits for an event.
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

// When all connections are taken, those that say nothing make room for those that ask; where all are at
// work, the newcomer is told to come back.
func TestConnectionLimit(t *testing.T) {
	finish, sent := make(chan struct{}), make(chan struct{}, 9)
	w, _ := rawWorker(t, func(int) string {
		sent <- struct{}{}
		<-finish
		return "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"
	})
	f, _ := aimingAt(t, w, time.Hour) // no request may be given up before the next has come, however slow the machine is
	states := followStates(f)
	addr := listening(t, f, 2)
	for range 6 { // none of these has asked for anything yet, or any more
		dial(t, addr, "")
		dial(t, addr, "POST /v1")
	}
	kept := dial(t, addr, "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
	if res, err := http.ReadResponse(bufio.NewReader(kept), nil); err != nil || res.Close {
		t.Fatal(res, err)
	}
	states.waitForIdle(t, kept)
	// ask sends a request on a connection of its own and returns its status and that connection.
	ask := func(text string) (int, net.Conn) {
		t.Helper()
		client := dial(t, addr, text)
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
		t.Errorf("among silent ones: %d", status)
	}
	states.waitForIdle(t, closing)
	first := dial(t, addr, patiently(message("a", length(bodyText), bodyText)))
	receive(t, sent, "the first request at the worker")
	status, conflicting := ask(patiently(message("a", length(bodyText), bodyText)))
	if status != 409 { // an open id
		t.Errorf("the id of an open request: %d", status)
	}
	states.waitForIdle(t, conflicting)
	dial(t, addr, patiently(message("b", length(bodyText), bodyText)))
	receive(t, sent, "the second request at the worker")
	if status, _ := ask(patiently(message("c", length(bodyText), bodyText))); status != 503 {
		t.Errorf("among those at work: %d", status)
	}
	close(finish)
	if res, err := http.ReadResponse(bufio.NewReader(first), nil); err != nil || res.StatusCode != 503 || res.Header.Get("Retry-After") == "" {
		t.Errorf("the first: %v %v", res, err)
	}
}

// A client that sends all of a body that is too long before it reads must find the answer there, not a reset.
func TestLargeBodyIsAnsweredBeforeClose(t *testing.T) {
	f, _ := newFront(t, "127.0.0.1:1")
	addr := listening(t, f, 50)
	long := strings.Repeat("x", 8<<20)
	for name, text := range map[string]string{"told": message("a", length(long), long),
		"chunked": message("a", "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(long), long))} {
		if res, err := http.ReadResponse(bufio.NewReader(dial(t, addr, text)), nil); err != nil || res.StatusCode != 413 {
			t.Errorf("%s: %v %v", name, res, err)
		}
	}
}

// rawWorker answers the n-th request with the bytes of say and then leaves the connection as it is. It
// also counts the connections.
func rawWorker(t *testing.T, answer func(n int) string) (string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	var asked, conns atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer c.Close()
				for in := bufio.NewReader(c); ; {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					io.Copy(io.Discard, r.Body)
					if r.Method != http.MethodPost {
						io.WriteString(c, "HTTP/1.1 204 X\r\n\r\n")
						continue
					}
					io.WriteString(c, answer(int(asked.Add(1))-1))
				}
			}()
		}
	}()
	return l.Addr().String(), &conns
}

const chunkedHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func attempt(addr string) (*Exchange, core.Attempt) {
	return &Exchange{Workers: NewWorkers(time.Second, 15*time.Second, 100, quiet), Method: http.MethodPost, URI: PathChat, Head: head(), Body: []byte(bodyText)},
		core.Attempt{To: core.Worker{Addr: addr}, Deadline: time.Now().Add(time.Minute), Allowed: func() bool { return true }}
}

// What is spoilt before a whole first event is a failed attempt that has fetched the state; a good stream
// passes unchanged, whatever comes before or behind it.
func TestAnswersUpToTheFirstEvent(t *testing.T) {
	const one, end = "data: {\"a\":1}\n\n", "data: [DONE]\n\n"
	good := chunk(one) + chunk(": X-Pressure: \x00\xff\n\n") + chunk(end) + "0\r\n\r\n"
	for name, c := range map[string]struct{ text, want string }{
		"good":            {chunkedHead + good, one + ": X-Pressure: \x00\xff\n\n" + end},
		"byte by byte":    {chunkedHead + chunk(one[:3]) + chunk(one[3:]) + "0\r\n\r\n", one},
		"empty comment":   {chunkedHead + chunk(":\n\n"+one) + "0\r\n\r\n", ":\n\n" + one}, // a usual sign of life
		"comment first":   {chunkedHead + chunk(": hello\n\n") + chunk(one) + "0\r\n\r\n", ": hello\n\n" + one},
		"1xx ahead":       {strings.Repeat("HTTP/1.1 103 Early\r\nLink: x\r\n\r\n", 9) + chunkedHead + good, one + ": X-Pressure: \x00\xff\n\n" + end},
		"load report":     {strings.Replace(chunkedHead, "\r\n\r\n", "\r\nx-pressure: \x00\x01\r\n\r\n", 1) + good, one + ": X-Pressure: \x00\xff\n\n" + end},
		"answer behind":   {chunkedHead + good + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", one + ": X-Pressure: \x00\xff\n\n" + end},
		"noise":           {"\x00\x01\x02 noise\r\n\r\n", ""},
		"head with noise": {"HTTP/1.1 200 OK\r\n\x00\x01\r\n\r\n", ""},
		"endless head":    {"HTTP/1.1 200 OK\r\n" + strings.Repeat("X: y\r\n", answerHead), ""},
		"slow head":       {"HTTP/1.1 200 OK\r\nX: y", ""},
		"endless 1xx":     {strings.Repeat("HTTP/1.1 103 Early\r\n\r\n", answerHead), ""},
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
		x, a := attempt(addr)
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

// A stream that is spoilt after its first event ends the client's connection without the last chunk, and
// nothing of the noise passes.
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
		res, err := http.ReadResponse(bufio.NewReader(dial(t, listening(t, f, 9), message("a", length(bodyText), bodyText))), nil)
		if err != nil || res.StatusCode != 200 && res.StatusCode != 502 {
			t.Fatal(name, res, err)
		}
		if res.StatusCode == 502 { // the noise came in one piece with the first event: nothing had passed on
			continue
		}
		if text, err := io.ReadAll(res.Body); err == nil || strings.ContainsAny(string(text), "\x00\x01") {
			t.Errorf("%s: %q %v", name, text, err)
		}
		waitForCore(t, c)
	}
}

// An answer behind an answer must not be taken for the next request's: its connection serves no further
// use, while a clean one does.
func TestOnlyCleanConnectionsAreReused(t *testing.T) {
	answer := chunkedHead + chunk("data: {}\n\n") + "0\r\n\r\n"
	for _, extra := range []string{"", "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"} {
		addr, conns := rawWorker(t, func(int) string { return answer + extra })
		x, a := attempt(addr)
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

// A second answer that comes some milliseconds behind the first must not be taken for the next request's: what has run
// would count as turned away, and could be sent again or refused. The next write waits until it would have come.
func TestLateSecondAnswerIsDiscarded(t *testing.T) {
	const away = "HTTP/1.1 503 X\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"
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
				if n > 0 { // on any other connection the next request is served
					ran.Add(1)
					io.WriteString(c, chunkedHead+chunk("data: {}\n\n")+"0\r\n\r\n")
					return
				}
				io.WriteString(c, away)
				came := make(chan error, 1)
				go func() { came <- next() }()
				select {
				case <-late:
				case err := <-came: // it has begun to run here
					if err == nil {
						ran.Add(1)
					}
				}
				io.WriteString(c, away)
			}()
		}
	}()
	x, a := attempt(l.Addr().String())
	var once sync.Once
	x.Workers.after = func(time.Duration) <-chan time.Time { // the clock stands still until the second answer is there
		once.Do(func() { close(late) })
		return nil
	}
	if res := x.Try(context.Background(), a); res.Status != decide.Full {
		t.Fatalf("%+v", res)
	}
	if res := x.Try(context.Background(), a); res.Status != 0 || ran.Load() != 1 {
		t.Errorf("%+v after it has run %d times", res, ran.Load())
	}
}

// A worker whose load report can't be read has answered all the same: its load counts as not told.
func TestUnreadableLoadReportIsNotAFailure(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "queue=\x00,=") }))
	defer s.Close()
	w := NewWorkers(time.Second, 15*time.Second, 9, quiet)
	if p, err := w.Probe(context.Background(), core.Worker{Addr: s.Listener.Addr().String()}); err != nil || p.Queue >= 0 || p.Tokens >= 0 {
		t.Errorf("%+v %v", p, err)
	}
}

// Past the limit of connections idle ones make room; where none is idle, the attempt was never made and
// no worker is to blame.
func TestWorkerConnectionLimit(t *testing.T) {
	free, at := make(chan struct{}), make(chan struct{}, 1)
	defer close(free)
	slow, _ := rawWorker(t, func(int) string { at <- struct{}{}; <-free; return "" })
	quick, _ := rawWorker(t, func(int) string { return "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n" })
	w := NewWorkers(time.Second, 15*time.Second, 1, quiet)
	x, a := attempt(quick)
	x.Workers = w
	if res := x.Try(context.Background(), a); res.Status != decide.Errored {
		t.Fatalf("%+v", res)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan core.Result)
	go func() { // the idle connection to the quick one makes room
		to := a
		to.To.Addr = slow
		done <- x.Try(ctx, to)
	}()
	receive(t, at, "the first attempt at the worker")
	if res := x.Try(context.Background(), a); res.Status != decide.Moot {
		t.Errorf("%+v", res)
	}
	stop()
	if res := <-done; res.Status != decide.Cancelled {
		t.Errorf("%+v", res)
	}
}

// Our reading of a request's framing must agree with net/http's wherever both take it.
func FuzzRequestFraming(f *testing.F) {
	addDamagedSeeds(f, message("a", length(bodyText), ""))
	addDamagedSeeds(f, "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n")
	f.Add("POST / HTTP/1.0\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n")
	f.Add("POST / HTTP/1.1\nHost: x\ncontent-length:\t7\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		end := headEnd([]byte(text))
		if end == 0 {
			return
		}
		ours, ok := requestFraming([]byte(text[:end]))
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text[:end])))
		if !ok || err != nil {
			return
		}
		if chunked := len(r.TransferEncoding) > 0; chunked != ours.chunked || !chunked && r.ContentLength != ours.length {
			t.Errorf("%q: %+v, net/http: %d %v", text[:end], ours, r.ContentLength, r.TransferEncoding)
		}
	})
}

// However a stream is cut into reads, its chunks and events are seen alike.
func FuzzStream(f *testing.F) {
	addDamagedSeeds(f, chunk("data: {\"a\":1}\n\n: note\r\n\r\n")+chunk("data: [DONE]\n\n")+"0\r\nT: x\r\n\r\nbeyond")
	f.Fuzz(func(t *testing.T, text string) {
		var once, twice chunkScan
		n, end, err := once.feed([]byte(text))
		sum, last, bad := 0, false, error(nil)
		for i := 0; i < len(text) && !last && bad == nil; i++ {
			var k int
			k, last, bad = twice.feed([]byte(text[i : i+1]))
			sum += k
		}
		if n != sum || end != last || (err == nil) != (bad == nil) || n > len(text) {
			t.Errorf("%q: %d %v %v, byte by byte %d %v %v", text, n, end, err, sum, last, bad)
		}
		var whole, parts eventScan
		n, _, err = whole.feed([]byte(text))
		sum, bad = 0, nil
		for i := 0; i < len(text) && bad == nil; i++ {
			var k int
			k, _, bad = parts.feed([]byte(text[i : i+1]))
			sum += k
		}
		if n != sum || (err == nil) != (bad == nil) {
			t.Errorf("%q: events %d %v, byte by byte %d %v", text, n, err, sum, bad)
		}
	})
}

// A stream that would run into the kill after a SIGTERM is handed over while another router can take it: its
// client's connection ends without the last chunk, after something of it has passed. Where clients don't ask
// for the rest it goes on to its end.
func TestStreamsAreHandedOver(t *testing.T) {
	for _, after := range []time.Duration{time.Millisecond, 0} {
		more := make(chan struct{})
		front, c := bed(t, twoStageWorker(func(w http.ResponseWriter, r *http.Request) {
			io.WriteString(w, "data: {}\n\n")
			http.NewResponseController(w).Flush()
			select {
			case <-more:
			case <-r.Context().Done():
			}
		}))
		f := front.Config.Handler.(*Front)
		f.HandOver = after
		req, _ := http.NewRequest(http.MethodPost, front.URL+PathChat, strings.NewReader(bodyText))
		req.Header = head()
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
		defer stop()
		f.Shutdown(ctx, "")
		if after == 0 {
			close(more)
		}
		text, err := io.ReadAll(res.Body)
		res.Body.Close()
		if string(text) != "data: {}\n\n" || (err != nil) != (after > 0) {
			t.Errorf("handed over after %v: %q %v", after, text, err)
		}
		c.Wait(ctx)
	}
}

// bytesConn is a connection that brings the given bytes, in pieces of at most so many, and then ends.
type bytesConn struct {
	net.Conn
	in      *strings.Reader
	maxRead int
}

func (c bytesConn) Read(p []byte) (int, error)      { return c.in.Read(p[:min(len(p), c.maxRead)]) }
func (c bytesConn) SetReadDeadline(time.Time) error { return nil }

// Whatever a peer sends, and in whatever pieces, neither side's connection may panic or run on for ever, and
// what is handed over does not depend on the pieces.
func FuzzConnections(f *testing.F) {
	addDamagedSeeds(f, "HTTP/1.1 103 E\r\n\r\n"+chunkedHead+chunk("data: {}\n\n")+"0\r\n\r\nHTTP/1.1 500 X\r\n")
	addDamagedSeeds(f, message("a", length("{}"), "{}")+message("b", "Transfer-Encoding: chunked\r\n", "0\r\n\r\n"))
	f.Add("HTTP/1.1 204 X\r\n\r\n")
	f.Add("HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\nbeyond")
	f.Fuzz(func(t *testing.T, text string) {
		var seen [2]string
		for i, maxRead := range []int{1, 1 << 20} {
			w := &workerConn{Conn: bytesConn{in: strings.NewReader(text), maxRead: maxRead}, open: new(atomic.Int64), over: make(chan struct{})}
			w.asked.Store(true)
			io.Copy(io.Discard, w)
			c := &clientConn{Conn: bytesConn{in: strings.NewReader(text), maxRead: maxRead}, from: newClients(nil, 1, 0, quiet)}
			got, _ := io.ReadAll(c)
			seen[i] = string(got)
		}
		if seen[0] != seen[1] && len(text) < maxHeadBytes {
			t.Errorf("%q: %q in single bytes, %q at once", text, seen[0], seen[1])
		}
	})
}

// Wherever a stream is cut between two reads, what goes on in the next process must be the same text, and
// nothing that can't be trusted may be taken over.
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
		text := func(chunk chunkScan, events eventScan, p string) (string, chunkScan, eventScan, bool) {
			var out []byte
			chunk.keep = func(p []byte) { out = append(out, p...) }
			_, end, err := chunk.feed([]byte(p))
			_, _, odd := events.feed(out)
			if err != nil || odd != nil {
				t.Fatal(err, odd)
			}
			return string(out), chunk, events, end
		}
		first, chunk, events, _ := text(chunkScan{}, eventScan{}, stream[:cut])
		encoded, _ := json.Marshal(handedOf(chunk, events))
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

// A stream that has come regularly and then falls silent must be broken before its answer is too slow to be worth
// anything, but only where its client asks for the rest, and never for a pause like those before.
func TestStallTimeoutFollowsStreamGaps(t *testing.T) {
	for _, c := range []struct {
		resume    bool
		gap, want time.Duration
	}{{true, 0, StallLimit}, {true, 30 * time.Millisecond, stallLeast}, {true, 200 * time.Millisecond, 2 * time.Second},
		{true, time.Second, StallLimit}, {false, 30 * time.Millisecond, StallLimit}} {
		if s := (&stream{resume: c.resume, gap: c.gap}); s.patience() != c.want {
			t.Errorf("resume %v, gap %v: waits %v, want %v", c.resume, c.gap, s.patience(), c.want)
		}
	}
	// The gaps are those between reads that bring something.
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
	got := &stream{res: res, resume: true, last: time.Now().Add(-time.Second), stall: time.AfterFunc(time.Hour, func() { res.Body.Close() })}
	defer got.Close()
	got.Read(make([]byte, 64))
	if got.gap < time.Second {
		t.Errorf("a gap of a second is taken for %v", got.gap)
	}
}
