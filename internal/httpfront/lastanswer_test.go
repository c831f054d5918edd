package httpfront

// The last answers on clients' connections.

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// shortDeadline is how far ahead a write deadline may be for heldUpConn to let it pass.
const shortDeadline = time.Second

// heldUpConn is a connection whose process is held up each time it sets a write deadline that is near: the deadline is over when the
// write follows.
type heldUpConn struct{ *net.TCPConn }

func (c heldUpConn) SetWriteDeadline(t time.Time) error {
	if !t.IsZero() && time.Until(t) < shortDeadline {
		t = time.Now().Add(-time.Millisecond)
	}
	return c.TCPConn.SetWriteDeadline(t)
}

// heldUpListener returns connections on which the process is held up.
type heldUpListener struct{ net.Listener }

func (l heldUpListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return heldUpConn{c.(*net.TCPConn)}, nil
}

// serveHeldUp serves a front on a loopback address, through a heldUpListener.
func serveHeldUp(t *testing.T, f *Front, maxConns int) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go f.Serve(heldUpListener{l}, maxConns)
	t.Cleanup(func() { f.server.Close() })
	return l.Addr().String()
}

// checkStatus reads one response and checks its status.
func checkStatus(t *testing.T, what string, client net.Conn, want int) {
	t.Helper()
	_ = client.SetReadDeadline(time.Now().Add(eventLimit))
	res, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		t.Errorf("%s: no answer: %v", what, err)
		return
	}
	io.Copy(io.Discard, res.Body)
	if res.StatusCode != want {
		t.Errorf("%s: %s, want %d", what, res.Status, want)
	}
}

// A process that is held up between the moment when it decides on a last answer and its write owes that answer all the same.
func TestLastAnswersGoOutHoweverLateTheProcessIs(t *testing.T) {
	w := newUnresponsiveWorker(t)
	f, _ := newPatientFront(t, w.Addr().String())
	addr := serveHeldUp(t, f, 1)
	begun := dialAndSend(t, addr, "POST "+PathChat+" HTTP/1.1\r\nHost: x\r\n")
	waitForRead(t, f)
	next := dialAndSend(t, addr, withLongDeadline(requestText("a", contentLength(requestBody), requestBody)))
	checkStatus(t, "evicted in its head", begun, http.StatusServiceUnavailable)
	receive(t, w.requests, "the request")
	checkStatus(t, "rejected", dialAndSend(t, addr, "x"), http.StatusServiceUnavailable)
	next.Close()

	f, _ = newPatientFront(t, w.Addr().String())
	addr = serveHeldUp(t, f, 9)
	fields := "GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", maxHeadFields+2) + "\r\n"
	checkStatus(t, "too many fields", dialAndSend(t, addr, fields), http.StatusRequestHeaderFieldsTooLarge)
}

// waitForRead waits until the front has read something on its only connection.
func waitForRead(t *testing.T, f *Front) {
	t.Helper()
	for end := time.Now().Add(eventLimit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		f.mu.Lock()
		clients := f.clients
		f.mu.Unlock()
		if clients == nil {
			continue
		}
		clients.mu.Lock()
		for c := range clients.conns {
			if c.socket.isRequestPending() && c.age() > minIdleTime {
				clients.mu.Unlock()
				return
			}
		}
		clients.mu.Unlock()
	}
	t.Fatal("nothing was read")
}

// lateReader is a connection whose process is held up each time it sets a read deadline: that is over when the read follows.
type lateReader struct{ *net.TCPConn }

func (c lateReader) SetReadDeadline(t time.Time) error {
	if !t.IsZero() {
		t = time.Now().Add(-time.Millisecond)
	}
	return c.TCPConn.SetReadDeadline(t)
}

// A worker whose answer has come in time is not to blame if this process reads it late.
func TestAnswerThatWasReadLateIsNotMalformed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	here, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer here.Close()
	there, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer there.Close()
	c := &workerConn{Conn: lateReader{here.(*net.TCPConn)}, done: make(chan struct{})}
	if _, err := io.WriteString(c, "request"); err != nil {
		t.Fatal(err)
	}
	io.WriteString(there, turnedAwayAnswer)
	text := make([]byte, len(turnedAwayAnswer)/2)
	if _, err := io.ReadFull(here, text); err != nil { // the first half of the head has been read already
		t.Fatal(err)
	}
	c.buf, c.headBegun = text, true
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || res.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("%+v %v", res, err)
	}
}
