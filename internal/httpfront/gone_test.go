package httpfront

// Clients that close their connection, in every state of it: nothing is begun for them, and what is under way ends.

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
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

// unresponsiveWorker is a worker that answers nothing. It tells which ids it was sent, and when a connection to it has ended.
type unresponsiveWorker struct {
	net.Listener
	mu    sync.Mutex
	sent  []string
	came  chan string
	ended chan struct{}
}

func newHolding(t *testing.T) *unresponsiveWorker {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	h := &unresponsiveWorker{Listener: l, came: make(chan string, 1000), ended: make(chan struct{}, 1000)}
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
		h.sent = append(h.sent, r.Header.Get(headTxn))
		h.mu.Unlock()
		h.came <- r.Header.Get(headTxn)
		in.ReadByte()
		h.ended <- struct{}{}
		return
	}
}

// patient is a front whose requests wait for the worker for as long as their clients stay.
func patient(t *testing.T, worker string) (*Front, *core.Core) {
	t.Helper()
	w := NewWorkers(time.Minute, 15*time.Second, 2000, quiet)
	c, err := core.New(decide.Settings{Fronts: 1, Tick: time.Millisecond, CanCancel: true,
		Kinds:   []decide.Kind{{Role: decide.Reader}, {Role: decide.Writer}},
		Classes: []decide.Class{{Aim: time.Hour, Deadline: 2 * time.Hour, Worth: 1}}}, 1, w, quiet)
	if err != nil {
		t.Fatal(err)
	}
	c.SetWorkers(true, []core.Worker{{Addr: worker, Server: decide.Server{ID: "r", Kind: 0}}, {Addr: worker, Server: decide.Server{ID: "w", Kind: 1}}})
	return New(c, w, []string{"chat"}, nil, quiet), c
}

func patiently(text string) string {
	return strings.Replace(text, "X-Remaining-Ms: 4800", "X-Remaining-Ms: 3600000", 1)
}

// A client that closes has gone, whatever bytes wait behind its request: net/http alone sees no close behind a byte of
// another request, nor behind bytes that nobody reads.
func TestCloseIsDetectedBehindUnreadData(t *testing.T) {
	second := message("second", length(bodyText), bodyText)
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(bodyText), bodyText)
	shut := func(c net.Conn) { c.Close() }
	for name, x := range map[string]struct {
		text  string
		leave func(net.Conn)
	}{
		"nothing":                 {message("first", length(bodyText), bodyText), shut},
		"a request":               {message("first", length(bodyText), bodyText) + second, shut},
		"half a head":             {message("first", length(bodyText), bodyText) + second[:40], shut},
		"a byte":                  {message("first", length(bodyText), bodyText) + "P", shut},
		"half a body":             {message("first", length(bodyText), bodyText) + second[:len(second)-9], shut},
		"a flood":                 {message("first", length(bodyText), bodyText) + strings.Repeat(second, 200), shut},
		"noise":                   {message("first", length(bodyText), bodyText) + strings.Repeat("\x00", 1<<20), shut},
		"chunks":                  {message("first", "Transfer-Encoding: chunked\r\n", chunked), shut},
		"a request behind chunks": {message("first", "Transfer-Encoding: chunked\r\n", chunked) + second, shut},
		"a reset":                 {message("first", length(bodyText), bodyText) + second, func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() }},
		"its sending ended":       {message("first", length(bodyText), bodyText), func(c net.Conn) { c.(*net.TCPConn).CloseWrite() }},
		"its sending ended, more": {message("first", length(bodyText), bodyText) + second, func(c net.Conn) { c.(*net.TCPConn).CloseWrite() }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHolding(t)
			f, c := patient(t, h.Addr().String())
			client := dial(t, listening(t, f, 10), patiently(x.text))
			receive(t, h.came, "its attempt")
			x.leave(client)
			receive(t, h.ended, "the end of its attempt, which would go on for an hour")
			waitForCore(t, c)
			if n := len(h.came); n > 0 {
				t.Errorf("%d more attempts: %v", n, <-h.came)
			}
		})
	}
}

// What comes behind a request is kept for its turn; more than is kept ends the connection after the answer, and is never
// taken for the client's leaving.
func TestPipelinedRequestWaitsForItsTurn(t *testing.T) {
	for name, behind := range map[string]string{"a request": message("two", length(bodyText), bodyText), "a flood": strings.Repeat("x", 1<<20)} {
		answers := []string{"202 X\r\nContent-Length: 2\r\n\r\n{}", "200 X\r\nContent-Length: 10\r\n\r\ndata: {}\n\n"}
		took := make(chan struct{})
		w, _ := rawWorker(t, func(n int) string {
			if n == 0 { // what is behind has been written by then
				<-took
			}
			return "HTTP/1.1 " + answers[n%2]
		})
		f, _ := newFront(t, w)
		c := dial(t, listening(t, f, 10), message("one", length(bodyText), bodyText)+behind)
		close(took)
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

// delayingListener is a listener that hands a connection on once its client has closed it, so often; the rest at once.
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
	err = raw.Control(func(fd uintptr) { // blocks until the end of what the client sends is here, behind what it has sent
		_, err = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}, 20000)
	})
	return c, err
}

// A busy router finds a request and its client's close at once, some time after both came: nothing is sent for it.
func TestNoAttemptForClientsGoneBeforeAccept(t *testing.T) {
	h := newHolding(t)
	f, c := patient(t, h.Addr().String())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.server.Close() })
	for i := range 100 {
		dial(t, l.Addr().String(), patiently(message(fmt.Sprint("gone", i), length(bodyText), bodyText))).Close()
	}
	go f.Serve(&delayingListener{l, 100}, 1000)
	stays := dial(t, l.Addr().String(), patiently(message("stays", length(bodyText), bodyText)))
	for id := ""; id != "stays"; {
		id = receive(t, h.came, "the attempt of who stays")
	}
	stays.Close()
	ctx, stop := context.WithTimeout(t.Context(), time.Minute)
	defer stop()
	c.Wait(ctx)
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.sent) != 1 {
		t.Errorf("%d attempts for clients that had gone: %v", len(h.sent)-1, h.sent)
	}
}

// A connection that is closed in the moment in which a request comes on it: what was read by then is served, or refused
// where a newcomer takes its place, and what was not is never read. The last byte of a body that comes too late ends nothing.
func TestReadRequestIsAnsweredBeforeClose(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	listener := newClients(l, 4, 0, quiet)
	accepted := func(text string) (client net.Conn, c *clientConn) {
		client = dial(t, l.Addr().String(), text)
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
	read(c, whole) // net/http has its head, and still calls the connection idle
	c.closeIfIdle()
	if c.clientGone() {
		t.Error("closed under a request that was read")
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
		t.Errorf("%q %v, the client is to learn that nothing was read", text, err)
	}

	client, c = accepted(whole[:9])
	if err := c.fillBuffer(); err != nil {
		t.Fatal(err)
	}
	c.evict()
	if res, err := http.ReadResponse(bufio.NewReader(client), nil); err != nil || res.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("%v %v, half of its head had been read", res, err)
	}

	head := "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n"
	_, c = accepted(head + "body")
	read(c, head)
	if !c.bodyPending.CompareAndSwap(true, false) { // a newcomer takes its place
		t.Fatal("its body has not come")
	}
	if n, err := c.Read(make([]byte, 9)); err == nil {
		t.Errorf("%d bytes of a body that ends a request on a connection that is being closed", n)
	}
}

// hookedConn runs a function after each read of its socket.
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

// The end of the process begins right after a request on a resting connection was read, and before net/http has seen it: the
// request is served to its end, and Shutdown waits for that.
func TestRequestReadAsShutdownBeginsIsServed(t *testing.T) {
	answers := []string{"202 X\r\nContent-Length: 2\r\n\r\n{}", "200 X\r\nContent-Length: 10\r\n\r\ndata: {}\n\n"}
	w, _ := rawWorker(t, func(n int) string { return "HTTP/1.1 " + answers[n%2] })
	f, _ := aimingAt(t, w, time.Hour)
	ended := make(chan struct{})
	states := followStates(f)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var armed atomic.Bool
	go f.Serve(hookedListener{l, func() {
		if armed.CompareAndSwap(true, false) {
			f.clients.closeAfterAnswers(true) // as Shutdown does first
			go func() {
				f.Shutdown(t.Context(), "")
				close(ended)
			}()
		}
	}}, 9)
	c := dial(t, l.Addr().String(), "")
	in := bufio.NewReader(c)
	for n := range 2 {
		armed.Store(n == 1)
		io.WriteString(c, message("one", length(bodyText), bodyText))
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
	receive(t, ended, "the end of Shutdown")
}
