package httpfront

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"rowanyard/internal/openids"
)

// logLines is an io.Writer that passes on the lines of a log.
type logLines chan string

// Write implements io.Writer.
func (l logLines) Write(p []byte) (int, error) {
	l <- string(p)
	return len(p), nil
}

// waitFor waits for a line that contains text.
func (l logLines) waitFor(t *testing.T, text string) {
	t.Helper()
	for !strings.Contains(receive(t, l, text), text) {
	}
}

// newLoggingFront returns a Front that hands its streams over right away and logs to the returned lines.
func newLoggingFront(t *testing.T, workerAddr string) (*Front, logLines) {
	f, _ := newFrontWithTarget(t, workerAddr, time.Hour)
	f.HandOverAfter = time.Millisecond
	lines := make(logLines, 1000)
	f.log = slog.New(slog.NewTextHandler(lines, nil))
	return f, lines
}

// A successor is what takes over at a path, or does not.
type successorKind int

const (
	dead        successorKind = iota // nothing listens
	rejecting                        // closes each connection
	standsStill                      // accepts no connection
	late                             // reads and confirms once the older process has given up
)

// listen listens at path as the successor does. It calls gaveUp, if not nil, before it reads late.
func (k successorKind) listen(t *testing.T, path string, gaveUp <-chan struct{}, lateError chan<- error) {
	t.Helper()
	if k == dead {
		return
	}
	listener, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	if k == standsStill {
		return
	}
	go func() {
		c, err := listener.AcceptUnix()
		if err != nil {
			return
		}
		defer c.Close()
		if k == late {
			<-gaveUp
			_, err := c.Write([]byte("+"))
			lateError <- err
		}
	}()
}

// Guards against streams that are lost, or relayed twice, where another process does not take them: unless their clients request
// the rest, they go on in this one, and their ids stay open. A process that confirms too late must learn that it is too late.
func TestStreamThatIsNotTakenOverGoesOn(t *testing.T) {
	for name, x := range map[string]struct {
		successor successorKind
		resume    bool
	}{
		"dead":                                {dead, false},
		"rejecting":                           {rejecting, false},
		"stands still":                        {standsStill, false},
		"late":                                {late, false},
		"dead, clients request the rest":      {dead, true},
		"stands still, they request the rest": {standsStill, true},
	} {
		t.Run(name, func(t *testing.T) {
			addr, begun, goOn := streamingWorker(t)
			f, lines := newLoggingFront(t, addr)
			f.CutStreams = x.resume
			path, gaveUp, lateError := filepath.Join(t.TempDir(), "s"), make(chan struct{}), make(chan error, 1)
			x.successor.listen(t, path, gaveUp, lateError)
			frontAddr, _ := serveReportingReads(t, f)
			in := bufio.NewReader(dialAndSend(t, frontAddr, withLongDeadline(requestText("one", contentLength(requestBody), requestBody))))
			receive(t, begun, "the stream")
			ended := make(chan struct{})
			go func() {
				f.Shutdown(t.Context(), path)
				close(ended)
			}()
			lines.waitFor(t, "a stream was not handed on")
			close(gaveUp)
			if x.successor == late {
				if err := receive(t, lateError, "the late confirmation"); err == nil {
					t.Error("the other process can confirm a stream that goes on in this one")
				}
			}
			if x.resume {
				if _, err := io.ReadAll(readHead(t, in).Body); err == nil {
					t.Error("the stream has ended as if it were complete")
				}
				// The client may request the rest under the same id as soon as it sees the end.
				if _, err := f.core.ClaimID("one", 0, true); err != nil {
					t.Errorf("the id of a stream that broke: %v", err)
				}
			} else {
				if _, err := f.core.ClaimID("one", 0, false); !errors.Is(err, openids.ErrOpen) {
					t.Errorf("claim of the stream's id: %v, want %v", err, openids.ErrOpen)
				}
				goOn <- struct{}{}
				readStream(t, in)
			}
			receive(t, ended, "the end of Shutdown")
			if _, err := f.core.ClaimID("one", 0, false); !x.resume && !errors.Is(err, openids.ErrMayHaveRun) {
				t.Errorf("the id of a stream that is over: %v, want %v", err, openids.ErrMayHaveRun)
			}
		})
	}
}

func readHead(t *testing.T, in *bufio.Reader) *http.Response {
	t.Helper()
	res, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	return res
}

// Guards against streams that are lost at a second upgrade: one that was taken over and that the next process does not take goes on.
func TestReceivedStreamThatIsNotTakenOverGoesOn(t *testing.T) {
	addr, begun, goOn := streamingWorker(t)
	older, _ := newLoggingFront(t, addr)
	newer, lines := newLoggingFront(t, addr)
	path := filepath.Join(t.TempDir(), "s")
	if err := newer.ReceiveStreams(path); err != nil {
		t.Fatal(err)
	}
	frontAddr, _ := serveReportingReads(t, older)
	in := bufio.NewReader(dialAndSend(t, frontAddr, withLongDeadline(requestText("one", contentLength(requestBody), requestBody))))
	receive(t, begun, "the stream")
	older.Shutdown(t.Context(), path)
	if n := older.handedOver.Load(); n != 1 {
		t.Fatalf("%d streams handed over, want 1", n)
	}
	ended := make(chan struct{})
	go func() {
		newer.Shutdown(t.Context(), path+".next")
		close(ended)
	}()
	lines.waitFor(t, "a stream was not handed on")
	if _, err := newer.core.ClaimID("one", 0, false); !errors.Is(err, openids.ErrOpen) {
		t.Errorf("claim of the stream's id: %v, want %v", err, openids.ErrOpen)
	}
	goOn <- struct{}{}
	readStream(t, in)
	if _, err := newer.core.ClaimID("one", 0, false); err != nil {
		t.Errorf("the id of a stream that is over: %v", err)
	}
	receive(t, ended, "the end of Shutdown")
}

// A client has waited for an event before its stream is handed over, and does not wait for as long again in the next process.
func TestWaitForEventGoesOnAcrossHandover(t *testing.T) {
	const waited = 3 * time.Second
	path := filepath.Join(t.TempDir(), "successor")
	listener, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	f, _ := newFront(t, "127.0.0.1:1")
	f.successorPath.set(path)
	_, client := tcpPair(t)
	_, worker := tcpPair(t)
	s := &receivedStream{receiver: &StreamReceiver{front: f, log: discardLogger, cutCtx: t.Context()}, client: client, worker: worker}
	s.nextEvent.restart(waited)
	go s.sendToSuccessor()
	c, err := listener.AcceptUnix()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	text := make([]byte, maxPositionBytes)
	n, err := c.Read(text)
	var position streamPosition
	if err := errors.Join(err, json.Unmarshal(text[:n], &position)); err != nil || time.Duration(position.Waited)*time.Millisecond < waited {
		t.Fatalf("%s: %v", text[:n], err)
	}
	synctest.Test(t, func(t *testing.T) {
		here, client := net.Pipe()
		there, worker := net.Pipe()
		next := &receivedStream{receiver: &StreamReceiver{log: discardLogger, cutCtx: t.Context()}, client: client, worker: worker, releaseID: func() {}, waited: waited}
		began := time.Now()
		go next.run()
		defer there.Close()
		if _, err := io.Copy(io.Discard, here); err != nil || time.Since(began) >= clientPatience-waited {
			t.Errorf("ended with %v after %v, and %v before the handover", err, time.Since(began), waited)
		}
	})
}

// A process of an older version says neither how long the client has waited nor whether an event has data: both count as not.
func TestPositionFromOlderProcessIsTaken(t *testing.T) {
	var position streamPosition
	older := `{"chunk":3,"left":5,"count":0,"line":"ZGF0YQ==","length":9,"fine":true,"note":false,"behind":0,"id":"x"}`
	if err := json.Unmarshal([]byte(older), &position); err != nil {
		t.Fatal(err)
	}
	chunk, events, err := position.scanners()
	if err != nil || position.Waited != 0 || events.hasData {
		t.Fatalf("%+v: %v", position, err)
	}
	_, _, chunkErr := chunk.feed([]byte("ab}\n\n\r\n"))
	if _, _, eventErr := events.feed([]byte("ab}\n\n")); chunkErr != nil || eventErr != nil || checkWhole(true, &events) != nil {
		t.Errorf("%v %v %+v", chunkErr, eventErr, events)
	}
}
