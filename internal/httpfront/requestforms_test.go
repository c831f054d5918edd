package httpfront

// Requests in every form that HTTP allows, answered at any age, on a virtual clock.

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"rowanyard/internal/scale/requestform"
)

// pipeListener is a listener whose connections are pipes.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe", Net: "unix"} }

func (l *pipeListener) dial() net.Conn {
	here, there := net.Pipe()
	l.conns <- there
	return here
}

// virtualWorker answers reads at once. The id of a request ends in the time after which its write is answered, in milliseconds, or
// in "never".
type virtualWorker struct {
	workers *Workers
	reads   sync.Map // ids whose read was answered
}

func (v *virtualWorker) dial(_ context.Context, _, addr string) (net.Conn, error) {
	here, there := net.Pipe()
	go v.serve(there)
	v.workers.openConns.Add(1)
	return v.workers.newConn(here, addr), nil
}

func (v *virtualWorker) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		id := r.Header.Get(headerTxn)
		if _, isWrite := v.reads.LoadOrStore(id, true); !isWrite || r.Method != http.MethodPost {
			io.WriteString(c, "HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{}")
			continue
		}
		var delay int
		if _, err := fmt.Sscanf(id[strings.LastIndex(id, "-")+1:], "%d", &delay); err != nil {
			in.ReadByte() // until the router gives it up
			return
		}
		time.Sleep(time.Duration(delay) * time.Millisecond)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk(streamText)+"0\r\n\r\n")
	}
}

// startVirtualFront serves a front on the virtual clock of the test's bubble. stop must be called in the bubble.
func startVirtualFront(t *testing.T) (l *pipeListener, stop func()) {
	f, c := newFrontWithTarget(t, "worker:1", time.Minute)
	f.writeTimeout = clientWriteTimeout
	worker := &virtualWorker{workers: f.workers}
	f.workers.transport.DialContext = worker.dial
	l = newPipeListener()
	served := make(chan error, 1)
	go func() { served <- f.Serve(l, 1000) }()
	return l, func() {
		f.server.Close()
		<-served
		f.workers.closeIdleConnections()
		c.Wait(t.Context())
		time.Sleep(time.Hour) // for the timers of package decide
	}
}

const (
	pieceBytes = 60 // of a head
	pieces     = 8  // of a body, at most
	piecePause = 100 * time.Millisecond
)

// inPieces divides a text.
func inPieces(text string) (all []string) {
	size := max(pieceBytes, (len(text)+pieces-1)/pieces)
	for part := range slices.Chunk([]byte(text), size) {
		all = append(all, string(part))
	}
	return all
}

// virtualRequest is one request of a form.
type virtualRequest struct {
	form     requestform.Form
	id       string
	timeLeft time.Duration
}

// send sends the request. goOn is closed when the client is asked for the body.
func (q virtualRequest) send(c net.Conn, goOn <-chan struct{}) {
	header := requestHeader()
	header.Set(headerTxn, q.id)
	header.Set(headerRemaining, fmt.Sprint(q.timeLeft.Milliseconds()))
	var fields strings.Builder
	header.Write(&fields)
	head, body := q.form.Text(PathChat, fields.String(), requestBody)
	sender := requestform.Sender{Conn: c, Form: q.form, Head: head, Body: body, Divide: inPieces, Pause: func() time.Duration { return piecePause },
		SlowPause: bodyTimeout - piecePause}
	sender.Send(goOn)
}

// answerOf sends the request and returns the final answer, whose body was read to its end.
func (q virtualRequest) answerOf(c net.Conn, in *bufio.Reader) (*http.Response, error) {
	goOn := make(chan struct{})
	var asked sync.Once
	ask := func() { asked.Do(func() { close(goOn) }) }
	defer ask()
	begun := time.Now()
	go q.send(c, goOn)
	_ = c.SetReadDeadline(begun.Add(q.timeLeft + responseSlack))
	for {
		res, err := http.ReadResponse(in, &http.Request{Method: http.MethodPost})
		if err != nil {
			return nil, fmt.Errorf("after %v: %w", time.Since(begun), err)
		}
		if res.StatusCode == http.StatusContinue {
			ask()
			continue
		}
		_, err = io.Copy(io.Discard, res.Body)
		return res, err
	}
}

// responseSlack is what an answer may take beyond its request's time.
const responseSlack = 500 * time.Millisecond

// connection states in which a request may come.
const (
	onNewConn    = "new"
	onUsedConn   = "used"
	onRestedConn = "rested"
)

// restBefore is how long a connection rests: not as long as it may, but so long that a request in pieces goes beyond that.
const restBefore = idleTimeout - 3*piecePause

// openConn returns a connection in a state.
func openConn(t *testing.T, l *pipeListener, state string) (net.Conn, *bufio.Reader) {
	c := l.dial()
	in := bufio.NewReader(c)
	if state == onNewConn {
		return c, in
	}
	go io.WriteString(c, requestform.ReadinessRequest)
	if _, err := http.ReadResponse(in, nil); err != nil {
		t.Error(err)
	}
	if state == onRestedConn {
		time.Sleep(restBefore)
	}
	return c, in
}

// Guards against answers that are lost since a deadline of an earlier message still stands: a request that came in full is answered
// whatever its form and its age.
func TestRequestsOfEveryFormAreAnsweredAtAnyAge(t *testing.T) {
	ages := []string{"0", "1000", "2600", "3100", "4900", "10100", "11500", "never"}
	for _, form := range requestform.All() {
		t.Run(form.Name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				l, stop := startVirtualFront(t)
				var requests sync.WaitGroup
				for _, state := range []string{onNewConn, onUsedConn, onRestedConn} {
					for i, age := range ages {
						requests.Go(func() {
							c, in := openConn(t, l, state)
							defer c.Close()
							q := virtualRequest{form, fmt.Sprintf("%s-%d-%s", state, i, age), 16 * time.Second}
							res, err := q.answerOf(c, in)
							if err != nil {
								t.Errorf("%s connection, answer of its worker after %s ms: %v", state, age, err)
								return
							}
							if want := age != "never"; want != (res.StatusCode == http.StatusOK) {
								t.Errorf("%s connection, answer of its worker after %s ms: status %d", state, age, res.StatusCode)
							}
						})
					}
				}
				requests.Wait()
				stop()
			})
		})
	}
}
