package httpfront

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"rowanyard/decide"
	"rowanyard/internal/acceptretry"
	"rowanyard/internal/core"
	"rowanyard/internal/delivery"
	"rowanyard/internal/scale/faultproxy"
)

// All kept connections to a worker die silently. The first unanswered call must close the idle ones, so that the next
// call does not use another dead connection.
func TestUnansweredProbeClosesIdleConnections(t *testing.T) {
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, "util=0.10,queue=0")
	}))
	t.Cleanup(worker.Close)
	proxy, err := faultproxy.Start(worker.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	w := NewWorkers(time.Second, time.Minute, 50, discardLogger)
	to := core.Worker{Addr: proxy.Address()}
	probe := func(wait time.Duration) error {
		ctx, stop := context.WithTimeout(context.Background(), wait)
		defer stop()
		_, err := w.Probe(ctx, to)
		return err
	}
	const kept, long = 8, 20 * time.Second
	for round := 0; w.openConns.Load() < kept; round++ { // until this many were open at once
		var all sync.WaitGroup
		for range 4 * kept {
			all.Go(func() { _ = probe(long) })
		}
		all.Wait()
		if round > 1000 {
			t.Fatalf("%d connections", w.openConns.Load())
		}
	}
	proxy.SilenceOpen()
	if probe(50*time.Millisecond) == nil {
		t.Fatal("the probe was answered on a silent connection")
	}
	if err := probe(long); err != nil {
		t.Errorf("the next probe: %v", err)
	}
}

// failingListener is a listener whose Accept fails with the given errors before it returns a connection.
type failingListener struct {
	net.Listener
	errs []syscall.Errno
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) > 0 {
		err := l.errs[0]
		l.errs = l.errs[1:]
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
	}
	c, _ := net.Pipe()
	return c, nil
}

// Whatever error accept returns, the front goes on accepting: an error that net/http does not retry would end the
// process.
func TestAcceptErrorsDoNotStopTheListener(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, errno := range []syscall.Errno{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
			syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.EOPNOTSUPP, syscall.ETIMEDOUT} {
			l := newClientListener(&failingListener{errs: []syscall.Errno{errno, errno}}, 10, 0, nil, discardLogger)
			c, err := l.Accept()
			if err != nil {
				t.Errorf("%v: %v", errno, err)
				continue
			}
			c.Close()
		}
	})
	if !acceptretry.IsTerminal(net.ErrClosed) {
		t.Error("accepting goes on after the listener was closed")
	}
}

// A connection that fails for lack of a local resource must not count against the worker; one that the network or the
// worker refuses must. In neither case has the request run.
func TestConnectErrorsAreClassified(t *testing.T) {
	for errno, want := range map[syscall.Errno]decide.Status{
		syscall.EADDRNOTAVAIL: decide.Unsent, syscall.ENOBUFS: decide.Unsent, syscall.ENFILE: decide.Unsent, syscall.EMFILE: decide.Unsent,
		syscall.ENOMEM: decide.Unsent, syscall.ECONNREFUSED: decide.ConnectFailed, syscall.ENETUNREACH: decide.ConnectFailed,
		syscall.EHOSTUNREACH: decide.ConnectFailed, syscall.ETIMEDOUT: decide.ConnectFailed, syscall.ECONNABORTED: decide.ConnectFailed,
	} {
		err := fmt.Errorf("dial: %w", &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)})
		if got := failureStatus(context.Background(), err, false); got != want {
			t.Errorf("%v: status %d, want %d", errno, got, want)
		}
		if got := failureStatus(context.Background(), err, true); got != decide.Reset {
			t.Errorf("%v after the last byte: status %d, want reset", errno, got)
		}
	}
}

// A connection that the network has broken counts as disconnected, like one that the client has closed.
func TestBrokenConnectionIsDetected(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for name, end := range map[string]func(c *net.TCPConn){
		"closed": func(c *net.TCPConn) { c.Close() },
		"reset":  func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	} {
		client, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		server, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if isDisconnected(server) {
			t.Errorf("%s: disconnected too early", name)
		}
		end(client.(*net.TCPConn))
		for until := time.Now().Add(20 * time.Second); !isDisconnected(server); {
			if time.Now().After(until) {
				t.Fatalf("%s: not detected", name)
			}
		}
		if !isDisconnected(server) { // the first check has taken the error off the socket
			t.Errorf("%s: no longer detected", name)
		}
		server.Close()
	}
	if c, _ := net.Pipe(); isDisconnected(c) || errors.Is(delivery.ErrNotASocket, net.ErrClosed) {
		t.Error("a connection that is not a socket counts as disconnected")
	}
}
