package httpfront

// Tests of clients that close their connection, in each of its states: no attempt is begun for them, and those in progress
// end.

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"rowanyard/decide"
	"rowanyard/internal/core"
)

// unresponsiveWorker is a worker that does not answer attempts. It reports the ids of the requests it received and the end
// of their connections.
type unresponsiveWorker struct {
	net.Listener
	mu       sync.Mutex
	received []string
	requests chan string
	closed   chan struct{}
}

func newUnresponsiveWorker(t *testing.T) *unresponsiveWorker {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	h := &unresponsiveWorker{Listener: l, requests: make(chan string, 1000), closed: make(chan struct{}, 1000)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go h.serve(c)
		}
	}()
	return h
}

func (h *unresponsiveWorker) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		if r.Method != http.MethodPost { // a release
			io.WriteString(c, "HTTP/1.1 204 X\r\n\r\n")
			continue
		}
		h.mu.Lock()
		h.received = append(h.received, r.Header.Get(headerTxn))
		h.mu.Unlock()
		h.requests <- r.Header.Get(headerTxn)
		in.ReadByte()
		h.closed <- struct{}{}
		return
	}
}

// newPatientFront returns a front whose requests wait for the worker for as long as their clients stay connected.
func newPatientFront(t *testing.T, worker string) (*Front, *core.Core) {
	t.Helper()
	w := NewWorkers(time.Minute, 15*time.Second, 2000, discardLogger)
	c, err := core.New(decide.Settings{RouterCount: 1, ClockStep: time.Millisecond, CanCancel: true,
		Kinds:   []decide.Kind{{Role: decide.Reader}, {Role: decide.Writer}},
		Classes: []decide.Class{{TTFTTarget: time.Hour, Deadline: 2 * time.Hour, Value: 1}}}, 1, w, discardLogger)
	if err != nil {
		t.Fatal(err)
	}
	c.SetWorkers(true, []core.Worker{{Addr: worker, Server: decide.Server{ID: "r", Kind: 0}}, {Addr: worker, Server: decide.Server{ID: "w", Kind: 1}}})
	return New(c, w, []string{"chat"}, nil, discardLogger), c
}

// withLongDeadline replaces the remaining time of a request, given as text, with an hour.
func withLongDeadline(text string) string {
	return strings.Replace(text, "X-Remaining-Ms: 4800", "X-Remaining-Ms: 3600000", 1)
}

// A client's close must be detected whatever data was sent behind its request: net/http by itself does not see a close
// behind a byte of another request, nor behind unread data.
func TestCloseIsDetectedBehindUnreadData(t *testing.T) {
	second := requestText("second", contentLength(requestBody), requestBody)
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(requestBody), requestBody)
	closeConn := func(c net.Conn) { c.Close() }
	for name, x := range map[string]struct {
		text  string
		leave func(net.Conn)
	}{
		"nothing":                 {requestText("first", contentLength(requestBody), requestBody), closeConn},
		"a request":               {requestText("first", contentLength(requestBody), requestBody) + second, closeConn},
		"half a head":             {requestText("first", contentLength(requestBody), requestBody) + second[:40], closeConn},
		"a byte":                  {requestText("first", contentLength(requestBody), requestBody) + "P", closeConn},
		"half a body":             {requestText("first", contentLength(requestBody), requestBody) + second[:len(second)-9], closeConn},
		"a flood":                 {requestText("first", contentLength(requestBody), requestBody) + strings.Repeat(second, 200), closeConn},
		"noise":                   {requestText("first", contentLength(requestBody), requestBody) + strings.Repeat("\x00", 1<<20), closeConn},
		"chunks":                  {requestText("first", "Transfer-Encoding: chunked\r\n", chunked), closeConn},
		"a request behind chunks": {requestText("first", "Transfer-Encoding: chunked\r\n", chunked) + second, closeConn},
		"a reset":                 {requestText("first", contentLength(requestBody), requestBody) + second, func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() }},
		"half-closed":             {requestText("first", contentLength(requestBody), requestBody), func(c net.Conn) { c.(*net.TCPConn).CloseWrite() }},
		"half-closed, pipelined":  {requestText("first", contentLength(requestBody), requestBody) + second, func(c net.Conn) { c.(*net.TCPConn).CloseWrite() }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newUnresponsiveWorker(t)
			f, c := newPatientFront(t, h.Addr().String())
			client := dialAndSend(t, serveOnTCP(t, f, 10), withLongDeadline(x.text))
			receive(t, h.requests, "its attempt")
			x.leave(client)
			receive(t, h.closed, "the end of its attempt, which would go on for an hour")
			waitForCore(t, c)
			if n := len(h.requests); n > 0 {
				t.Errorf("%d more attempts: %v", n, <-h.requests)
			}
		})
	}
}

// Pipelined requests are kept until their turn. If there is more data than is kept, the connection ends after the answer;
// the client must not count as gone.
func TestPipelinedRequestWaitsForItsTurn(t *testing.T) {
	for name, behind := range map[string]string{"a request": requestText("two", contentLength(requestBody), requestBody), "a flood": strings.Repeat("x", 1<<20)} {
		answers := []string{"202 X\r\nContent-Length: 2\r\n\r\n{}", "200 X\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("data: {}\n\n") + "0\r\n\r\n"}
		written := make(chan struct{})
		w, _ := rawWorker(t, func(n int) string {
			if n == 0 { // what is behind has been written by then
				<-written
			}
			return "HTTP/1.1 " + answers[n%2]
		})
		f, _ := newFront(t, w)
		c := dialAndSend(t, serveOnTCP(t, f, 10), requestText("one", contentLength(requestBody), requestBody)+behind)
		close(written)
		in := bufio.NewReader(c)
		for n := range 2 {
			res, err := http.ReadResponse(in, nil)
			if n == 1 && name == "a flood" {
				if err == nil {
					t.Errorf("%s: a second answer %v", name, res)
				}
				continue
			}
			if err != nil {
				t.Fatalf("%s, %d: %v", name, n, err)
			}
			if text, err := io.ReadAll(res.Body); res.StatusCode != 200 || string(text) != "data: {}\n\n" {
				t.Errorf("%s, %d: %v %q %v", name, n, res, text, err)
			}
		}
	}
}

// delayingListener returns its first connections only once their clients have closed them; the others at once.
type delayingListener struct {
	net.Listener
	remaining int
}

func (l *delayingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if l.remaining--; err != nil || l.remaining < 0 {
		return c, err
	}
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return nil, err
	}
	err = raw.Control(func(fd uintptr) { // blocks until the client's FIN has arrived, behind all its data
		_, err = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}, 20000)
	})
	return c, err
}

// A busy router may accept a connection only after its client has sent a request and closed it. No attempt is made then.
func TestNoAttemptForClientsGoneBeforeAccept(t *testing.T) {
	h := newUnresponsiveWorker(t)
	f, c := newPatientFront(t, h.Addr().String())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.server.Close() })
	for i := range 100 {
		dialAndSend(t, l.Addr().String(), withLongDeadline(requestText(fmt.Sprint("gone", i), contentLength(requestBody), requestBody))).Close()
	}
	go f.Serve(&delayingListener{l, 100}, 1000)
	stays := dialAndSend(t, l.Addr().String(), withLongDeadline(requestText("stays", contentLength(requestBody), requestBody)))
	for id := ""; id != "stays"; {
		id = receive(t, h.requests, "the attempt for the client that stays")
	}
	stays.Close()
	ctx, stop := context.WithTimeout(t.Context(), time.Minute)
	defer stop()
	c.Wait(ctx)
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.received) != 1 {
		t.Errorf("%d attempts for clients that had gone: %v", len(h.received)-1, h.received)
	}
}

// A connection is closed at the moment a request arrives on it. What was read by then is served, or refused if the
// connection is evicted; the rest is never read. A body whose last byte comes after the eviction is not passed on.
func TestReadRequestIsAnsweredBeforeClose(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	listener := newClientListener(l, 4, 0, nil, discardLogger)
	accepted := func(text string) (client net.Conn, c *clientConn) {
		client = dialAndSend(t, l.Addr().String(), text)
		server, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return client, server.(*clientConn)
	}
	read := func(c *clientConn, want string) {
		t.Helper()
		got := make([]byte, len(want))
		if _, err := io.ReadFull(c, got); err != nil || string(got) != want {
			t.Fatalf("%q %v", got, err)
		}
	}
	whole := "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"
	client, c := accepted(whole)
	read(c, whole) // net/http has the head, but still reports the connection as idle
	c.closeIfIdle()
	if c.clientGone() {
		t.Error("closed although a request had been read")
	}
	const answer = "HTTP/1.1 204 X\r\n\r\n"
	if _, err := io.WriteString(c, answer); err != nil {
		t.Error(err)
	}
	c.Close()
	if text, err := io.ReadAll(client); string(text) != answer || err != nil || !c.clientGone() {
		t.Errorf("%q %v, left: %v", text, err, c.clientGone())
	}

	client, c = accepted(whole)
	c.closeIfIdle()
	if n, err := c.Read(make([]byte, 9)); n > 0 || !errors.Is(err, net.ErrClosed) {
		t.Errorf("%d bytes were read after the close: %v", n, err)
	}
	if text, err := io.ReadAll(client); len(text) > 0 || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("%q %v, want a reset, by which the client learns that nothing was read", text, err)
	}

	client, c = accepted(whole[:9])
	if err := c.fillBuffer(); err != nil {
		t.Fatal(err)
	}
	c.evict()
	if res, err := http.ReadResponse(bufio.NewReader(client), nil); err != nil || res.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("%v %v, want a refusal: half of the head had been read", res, err)
	}

	head := "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n"
	_, c = accepted(head + "body")
	read(c, head)
	if !c.bodyPending.CompareAndSwap(true, false) { // as if the connection were evicted
		t.Fatal("not waiting for the body")
	}
	if n, err := c.Read(make([]byte, 9)); err == nil {
		t.Errorf("%d bytes that complete a body were read from an evicted connection", n)
	}
}

// hookedConn calls afterRead after each read of its socket.
type hookedConn struct {
	*net.TCPConn
	afterRead func()
}

func (c hookedConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return hookedRawConn{raw, c.afterRead}, err
}

type hookedRawConn struct {
	syscall.RawConn
	afterRead func()
}

func (r hookedRawConn) Read(f func(uintptr) bool) error {
	defer r.afterRead()
	return r.RawConn.Read(f)
}

type hookedListener struct {
	net.Listener
	afterRead func()
}

func (l hookedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return hookedConn{c.(*net.TCPConn), l.afterRead}, nil
}

// Shutdown begins right after a request was read on an idle connection and before net/http has seen it. The request must be
// served to its end, and Shutdown must wait for that.
func TestRequestReadAsShutdownBeginsIsServed(t *testing.T) {
	answers := []string{"202 X\r\nContent-Length: 2\r\n\r\n{}", "200 X\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("data: {}\n\n") + "0\r\n\r\n"}
	w, _ := rawWorker(t, func(n int) string { return "HTTP/1.1 " + answers[n%2] })
	f, _ := newFrontWithTarget(t, w, time.Hour)
	shutdownDone := make(chan struct{})
	states := followStates(f)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var armed atomic.Bool
	go f.Serve(hookedListener{l, func() {
		if armed.CompareAndSwap(true, false) {
			f.clients.closeAfterAnswers(true) // the first step of Shutdown
			go func() {
				f.Shutdown(t.Context(), "")
				close(shutdownDone)
			}()
		}
	}}, 9)
	c := dialAndSend(t, l.Addr().String(), "")
	in := bufio.NewReader(c)
	for n := range 2 {
		armed.Store(n == 1)
		io.WriteString(c, requestText(fmt.Sprint("one", n), contentLength(requestBody), requestBody))
		res, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("%d: %v", n, err)
		}
		if text, err := io.ReadAll(res.Body); res.StatusCode != 200 || string(text) != "data: {}\n\n" {
			t.Errorf("%d: %v %q %v", n, res, text, err)
		}
		if n == 0 {
			states.waitForIdle(t, c)
		}
	}
	receive(t, shutdownDone, "the end of Shutdown")
}

// A client leaves while its request runs, and comes again with the same id: the request must not run twice.
func TestRequestOfClientThatReturnsRunsOnce(t *testing.T) {
	begun, over := make(chan struct{}, 9), make(chan struct{}, 9)
	var writes atomic.Int64
	worker := httptest.NewServer(twoStageWorker(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerTxn) == "one" {
			writes.Add(1)
		}
		begun <- struct{}{}
		<-r.Context().Done()
		over <- struct{}{}
	}))
	t.Cleanup(worker.Close)
	f, c := newFrontWithTarget(t, worker.Listener.Addr().String(), time.Hour)
	addr := serveOnTCP(t, f, 9)
	request := withLongDeadline(requestText("one", contentLength(requestBody), requestBody))
	request = strings.Replace(request, "X-Resent: again\r\n", "", 1) // it does not ask for the rest of an answer
	client := dialAndSend(t, addr, request)
	receive(t, begun, "the write")
	client.Close()
	receive(t, over, "the end of the write")
	c.Wait(t.Context())
	res, err := http.ReadResponse(bufio.NewReader(dialAndSend(t, addr, request)), nil)
	if err != nil || res.StatusCode != http.StatusConflict || writes.Load() != 1 {
		t.Errorf("%v %v, ran %d times", res, err, writes.Load())
	}
}
