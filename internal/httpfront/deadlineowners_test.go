package httpfront

// Deadlines that cross the end of the message that they were set for.

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"rowanyard/internal/inbound"
	"rowanyard/internal/scale/requestform"
)

// hookedReads is a socket that calls a function once, behind a read that has brought something.
type hookedReads struct {
	*net.TCPConn
	behindRead *func()
}

func (c hookedReads) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if hook := *c.behindRead; n > 0 && hook != nil {
		*c.behindRead = nil
		hook()
	}
	return n, err
}

// A stream's handover or the end of its silence crosses the end of the answer on its connection: the next answer is read.
func TestDeadlineOfStreamDoesNotEndTheNextAnswer(t *testing.T) {
	handOver := func(s *stream) { s.requestHandOver() }
	silence := func(s *stream) {
		s.silence.begin(-1)
		s.silence.timer.Stop()
		s.silence.wakeIfOverdue()
	}
	for name, x := range map[string]struct {
		cross         func(*stream)
		asTheEndComes bool
	}{"handover as the end comes": {handOver, true}, "handover behind the end": {handOver, false},
		"silence as the end comes": {silence, true}, "silence behind the end": {silence, false}} {
		here, there := tcpPair(t)
		var behindRead func()
		conn, in, s := beginStream(t, hookedReads{here.(*net.TCPConn), &behindRead}, there, "data: [DONE]\n\n")
		if x.asTheEndComes {
			behindRead = func() { x.cross(s) }
		}
		go io.WriteString(there, bodyEnd)
		if _, err := io.ReadAll(s); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if !x.asTheEndComes {
			x.cross(s)
		}
		conn.awaitingAnswer.Store(true)
		go io.WriteString(there, "HTTP/1.1 204 No Content\r\n\r\n")
		if _, err := http.ReadResponse(in, nil); err != nil {
			t.Errorf("%s: the next answer on the connection: %v", name, err)
		}
	}
}

// interruptedOnce is a connection whose first read is interrupted as by a deadline.
type interruptedOnce struct {
	net.Conn
	interrupted *atomic.Bool
}

func (c interruptedOnce) Read(p []byte) (int, error) {
	if c.interrupted.CompareAndSwap(false, true) {
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Read(p)
}

// A stream that was to be handed over and goes on here is not ended by the deadline that was set for its handover.
func TestLateDeadlineOfHandoverDoesNotEndTheStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cutCtx, cut := context.WithCancel(t.Context())
		cut()
		client, clientSide := net.Pipe()
		worker, workerSide := net.Pipe()
		s := &receivedStream{receiver: &StreamReceiver{front: &Front{}, log: discardLogger, cutCtx: cutCtx}, client: clientSide,
			worker: interruptedOnce{workerSide, new(atomic.Bool)}, releaseID: func() {}}
		go s.run()
		go io.WriteString(worker, chunk("data: [DONE]\n\n")+bodyEnd)
		text, _ := io.ReadAll(client)
		if want := chunk("data: [DONE]\n\n") + bodyEnd; string(text) != want {
			t.Errorf("the client got %q, want %q", text, want)
		}
	})
}

// A client that takes its stream slowly gets the last chunk too, however long it has to be waited for.
func TestLastChunkWaitsAsLongAsTheStream(t *testing.T) {
	const pause = answerWriteTime + time.Second
	synctest.Test(t, func(t *testing.T) {
		l, stop := startVirtualFront(t)
		c := l.dial()
		defer c.Close()
		q := virtualRequest{requestform.Form{}, "slow-0", 16 * time.Second}
		go q.send(c, nil)
		in := bufio.NewReaderSize(c, 16)
		res, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(res.Body, make([]byte, len(streamText))); err != nil {
			t.Fatal(err)
		}
		time.Sleep(pause)
		if rest, err := io.ReadAll(res.Body); err != nil {
			t.Errorf("%q, %v", rest, err)
		}
		stop()
	})
}

// What net/http sets on a connection that is being closed does not delay its close.
func TestClosedConnectionKeepsTheDeadlinesOfItsClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, side := net.Pipe()
		defer client.Close()
		c := newClientListener(nil, 1, 0, inbound.NewBudgets(1, 0), discardLogger).newConn(side)
		c.deadlines.end()
		_ = side.SetReadDeadline(time.Now().Add(time.Second)) // for its close
		_ = side.SetWriteDeadline(time.Now().Add(time.Second))
		_ = c.SetReadDeadline(time.Time{})
		_ = c.SetWriteDeadline(time.Time{})
		if _, err := c.Write([]byte("late")); err == nil {
			t.Error("a write behind the close")
		}
		began := time.Now()
		_, readErr := side.Read(make([]byte, 1))
		_, writeErr := side.Write([]byte("last"))
		if readErr == nil || writeErr == nil || time.Since(began) != time.Second {
			t.Errorf("%v, %v after %v", readErr, writeErr, time.Since(began))
		}
	})
}

// What a worker sends before its answer leaves no deadline for the answer: neither a 1xx head nor a head that comes in two parts.
func TestInterimHeadLeavesNoDeadline(t *testing.T) {
	const wait = 10 * answerHeadTimeout
	synctest.Test(t, func(t *testing.T) {
		worker, side := net.Pipe()
		conn := &workerConn{Conn: side, openConns: new(atomic.Int64), done: make(chan struct{})}
		conn.awaitingAnswer.Store(true)
		go func() {
			for _, part := range []string{"HTTP/1.1 103 Early Hints\r\n", "\r\n", "HTTP/1.1 200 OK\r\nContent-", "Length: 2\r\n\r\n", "{", "}"} {
				if strings.HasSuffix(part, "\r\n\r\n") || part == "\r\n" {
					time.Sleep(answerHeadTimeout - time.Millisecond)
				} else {
					time.Sleep(wait)
				}
				io.WriteString(worker, part)
			}
		}()
		res, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		if text, err := io.ReadAll(res.Body); err != nil || string(text) != "{}" {
			t.Errorf("%q, %v", text, err)
		}
	})
}

// The end of one standby stops its timer: the connections of the next one have their whole time.
func TestTimerOfOneStandbyClosesNoConnectionOfTheNext(t *testing.T) {
	const early = standbyCloseDelay / 2
	synctest.Test(t, func(t *testing.T) {
		f, _ := newFrontWithTarget(t, "worker:1", time.Minute)
		l := newPipeListener()
		served := make(chan error, 1)
		go func() { served <- f.Serve(l, 1) }()
		f.Standby(true)
		time.Sleep(early)
		f.Standby(false)
		f.Standby(true)
		c := l.dial()
		defer c.Close()
		began := time.Now()
		_, err := c.Read(make([]byte, 1))
		if open := time.Since(began); err != io.EOF || open < standbyCloseDelay {
			t.Errorf("%v after %v in standby", err, open)
		}
		f.Standby(false)
		f.server.Close()
		<-served
		time.Sleep(time.Minute)
	})
}
