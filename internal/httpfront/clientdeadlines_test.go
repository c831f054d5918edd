package httpfront

// The deadlines of clients' connections, message by message.

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"rowanyard/internal/delivery"
	"rowanyard/internal/scale/requestform"
)

// deadlineRecorder is a socket that records its read deadline.
type deadlineRecorder struct {
	*net.TCPConn
	read time.Time
}

func (c *deadlineRecorder) SetReadDeadline(t time.Time) error {
	c.read = t
	return nil
}

// Each deadline for what a client sends ends with its message, whatever was done to it meanwhile.
func TestReadDeadlineEndsWithItsMessage(t *testing.T) {
	messages := []inputMessage{{firstByteDue, 0}, {headDue, 0}, {bodyDue, 1}, {nothingDue, 1}, {firstByteDue, 1}, {headDue, 1}}
	changes := map[string]func(*clientDeadlines){
		"nothing":             func(*clientDeadlines) {},
		"a handler's limit":   func(d *clientDeadlines) { d.limitInput(time.Now().Add(time.Hour)) },
		"a wait for a turn":   func(d *clientDeadlines) { d.extendInput(time.Hour) },
		"late input":          func(d *clientDeadlines) { d.allowLateInput() },
		"an interrupt":        func(d *clientDeadlines) { d.interrupt(true); d.interrupt(false) },
		"a lasting interrupt": func(d *clientDeadlines) { d.interrupt(true) },
	}
	here, there := tcpPair(t)
	if _, err := io.WriteString(here, "late input"); err != nil {
		t.Fatal(err)
	}
	for !hasUnreadInput(there) {
	}
	for name, change := range changes {
		for _, before := range messages {
			for _, after := range messages {
				if before == after {
					continue
				}
				conn := &deadlineRecorder{TCPConn: there.(*net.TCPConn)}
				d := newClientDeadlines(conn)
				due := func(m inputMessage) time.Time {
					if m.part == nothingDue {
						return time.Time{}
					}
					return time.Now().Add(time.Duration(m.part) * time.Minute)
				}
				d.awaitInput(before, due(before))
				change(d)
				want := due(after)
				d.awaitInput(after, want)
				if d.interrupted {
					if !conn.read.Equal(longOver) {
						t.Errorf("%s: from %v to %v: the interrupt was lost", name, before, after)
					}
					d.interrupt(false)
				}
				if !conn.read.Equal(want) {
					t.Errorf("%s: from %v to %v: deadline %v, want %v", name, before, after, conn.read, want)
				}
			}
		}
	}
}

// A head that does not come to its end is told 408 and ends its connection a head's time behind its first byte, however the client
// goes on, also where the connection has rested or another request was answered meanwhile.
func TestIncompleteHeadIsAnsweredInItsTime(t *testing.T) {
	const slowness = headTimeout / 4
	for _, state := range []string{onNewConn, onUsedConn, onRestedConn} {
		for _, drips := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				l, stop := startVirtualFront(t)
				c, in := openConn(t, l, state)
				defer c.Close()
				begun := time.Now()
				go func() {
					_, err := io.WriteString(c, "POST /v1")
					for drips && err == nil {
						time.Sleep(slowness)
						_, err = io.WriteString(c, "x")
					}
				}()
				res, err := http.ReadResponse(in, nil)
				if err != nil || res.StatusCode != http.StatusRequestTimeout || !res.Close || time.Since(begun) != headTimeout {
					t.Errorf("%s connection, drips %v: %v, %v after %v", state, drips, res, err, time.Since(begun))
				}
				if _, err := in.ReadByte(); err != io.EOF {
					t.Errorf("%s connection, drips %v: %v behind the answer", state, drips, err)
				}
				stop()
			})
		}
	}
}

// A head that begins while another request is answered has its whole time from the end of that answer on.
func TestHeadBehindALongAnswerHasItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, stop := startVirtualFront(t)
		c := l.dial()
		defer c.Close()
		in := bufio.NewReader(c)
		q := virtualRequest{requestform.Form{}, "long-9000", 16 * time.Second}
		go func() {
			q.send(c, nil)
			io.WriteString(c, requestform.ReadinessRequest[:30])
		}()
		if res, err := http.ReadResponse(in, nil); err != nil || res.StatusCode != http.StatusOK {
			t.Fatal(res, err)
		} else if _, err := io.ReadAll(res.Body); err != nil {
			t.Fatal(err)
		}
		time.Sleep(headTimeout - time.Millisecond)
		go io.WriteString(c, requestform.ReadinessRequest[30:])
		if res, err := http.ReadResponse(in, nil); err != nil || res.StatusCode != http.StatusOK {
			t.Error(res, err)
		}
		stop()
	})
}

// A connection that has sent an empty line rests: it is closed as one that has sent nothing.
func TestEmptyLineIsNoRequest(t *testing.T) {
	f, addr, _ := startAnsweringFront(t)
	client := dialAndSend(t, addr, requestText("first", contentLength(requestBody), requestBody))
	expectAnswer(t, "first", client, func() bool { return true })
	c := awaitConn(t, f, func(c *clientConn) bool { return c.state.Load() == connIdle })
	io.WriteString(client, "\r\n")
	awaitConn(t, f, func(*clientConn) bool {
		unacknowledged, ok := delivery.Unacknowledged(client)
		return ok && unacknowledged == 0
	})
	awaitConn(t, f, func(c *clientConn) bool { return !hasUnreadInput(c.Conn) && !c.socket.isRequestPending() })
	if !c.closeIfIdle() {
		t.Error("the connection counts as one with a request")
	}
}

// Input that came by the end of its time is read, as this process is late, and not what comes long after it.
func TestLateProcessReadsWhatCameInTime(t *testing.T) {
	const text = requestform.ReadinessRequest
	for name, isLate := range map[string]bool{"late": true, "too late": false} {
		here, there := tcpPair(t)
		if _, err := io.WriteString(here, text); err != nil {
			t.Fatal(err)
		}
		for !hasUnreadInput(there) {
		}
		c := newClientListener(nil, 1, 0, nil, discardLogger).newConn(there)
		message, _ := c.awaited()
		c.deadlines.awaitInput(message, longOver)
		if isLate {
			c.deadlines.latest = time.Now().Add(time.Hour)
		}
		n, err := c.Read(make([]byte, len(text)))
		if read := n == len(text) && err == nil; read != isLate {
			t.Errorf("%s: %d bytes, %v", name, n, err)
		}
	}
}

// An answer that its client does not take is told in the log line of the connection's end.
func TestUnwrittenAnswerIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, side := net.Pipe()
		defer client.Close()
		var lines strings.Builder
		c := newClientListener(nil, 1, 0, nil, slog.New(slog.NewTextHandler(&lines, nil))).newConn(side)
		c.owner.open.Begin()
		c.beginOwing("one")
		c.completedAt.Store(1)
		begun := time.Now()
		if _, err := c.Write([]byte("HTTP/1.1 502 Bad Gateway\r\n\r\n")); err == nil || time.Since(begun) != answerWriteTime {
			t.Errorf("%v after %v", err, time.Since(begun))
		}
		_ = c.Close()
		for _, want := range []string{"client connection ended", "txn=one", "by=router", "did not take the answer in time"} {
			if !strings.Contains(lines.String(), want) {
				t.Errorf("no %q in %s", want, lines.String())
			}
		}
	})
}
