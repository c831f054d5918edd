package httpfront

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

const (
	firstEvent   = "data: {}\n\n"
	restOfEvents = "data: {\"a\":1}\n\n: X-Pressure: queue=1\n\ndata: [DONE]\n\n"
)

// wholeAnswers are whole answers of workers, by what is special about them.
var wholeAnswers = map[string]string{
	"plain":             chunkedHead + chunk(firstEvent) + chunk(restOfEvents) + "0\r\n\r\n",
	"a trailer":         chunkedHead + chunk(firstEvent) + chunk(restOfEvents) + "0\r\nX-Sum: 1\r\nX-B: 2\r\n\r\n",
	"an extension":      chunkedHead + chunk(firstEvent+restOfEvents) + "0;x=y\r\n\r\n",
	"events in pieces":  chunkedHead + chunk(firstEvent[:3]) + chunk(firstEvent[3:]+restOfEvents[:20]) + chunk(restOfEvents[20:]) + "0\r\n\r\n",
	"a sized answer":    fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(firstEvent+restOfEvents)) + firstEvent + restOfEvents,
	"zeros in the size": chunkedHead + "0000a\r\n" + firstEvent + "\r\n" + chunk(restOfEvents) + "0000\r\n\r\n",
}

// A worker breaks its answer off behind any byte, by a close or by silence, at any pace of the last ones. Only behind the very last
// byte is the stream whole; otherwise it ends with an error before its client has waited 5 s for an event.
func TestStreamIsWholeOnlyBehindItsLastByte(t *testing.T) {
	for name, answer := range wholeAnswers {
		for cut := len(chunkedHead); cut <= len(answer); cut++ {
			for _, c := range []struct {
				silent bool
				pace   time.Duration
			}{{false, 0}, {true, 0}, {false, 200 * time.Millisecond}} {
				synctest.Test(t, func(t *testing.T) {
					const slowBytes = 12
					s, err := startStreamOf(t, func(worker net.Conn) {
						atOnce := max(0, cut-slowBytes)
						io.WriteString(worker, answer[:atOnce])
						for i := atOnce; i < cut; i++ {
							time.Sleep(c.pace)
							io.WriteString(worker, answer[i:i+1])
						}
						if c.silent {
							<-t.Context().Done()
						}
					})
					if err != nil && cut < len(answer) {
						return
					}
					if err != nil {
						t.Fatalf("%s: %v", name, err)
					}
					defer s.Close()
					began := time.Now()
					text, err := io.ReadAll(s)
					if (err == nil) != (cut == len(answer)) || time.Since(began) >= clientPatience {
						t.Errorf("%s, %d of %d bytes, %+v: %v after %v", name, cut, len(answer), c, err, time.Since(began))
					}
					if !strings.HasPrefix(firstEvent+restOfEvents, string(text)) {
						t.Errorf("%s, %d bytes: %q", name, cut, text)
					}
				})
			}
		}
	}
}

// breakOff ends a connection, by a reset or in order.
func breakOff(c net.Conn, reset bool) {
	if reset {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	c.Close()
}

// cutWorker starts a worker that reads as a reader and, as a writer, answers with the text that it is given, and then breaks off.
func cutWorker(t *testing.T, answers <-chan string, reset bool) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	serve := func(c net.Conn) {
		defer c.Close()
		for in := bufio.NewReader(c); ; {
			r, err := readRequest(in)
			switch {
			case err != nil:
				return
			case r.Method == http.MethodDelete:
				io.WriteString(c, "HTTP/1.1 204 X\r\n\r\n")
			case r.Header.Get("X-Resent") == "":
				return
			default:
				io.WriteString(c, <-answers)
				breakOff(c, reset)
				return
			}
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// A client of the front, or of a process that a stream was handed over to, gets the last chunk only behind its worker's last byte.
func TestClientGetsLastChunkOnlyBehindWorkersLastByte(t *testing.T) {
	const answer = firstEventChunk + restOfAnswer
	for _, reset := range []bool{false, true} {
		answers := make(chan string, 2)
		f, _ := newFrontWithTarget(t, cutWorker(t, answers, reset), time.Hour)
		addr := serveOnTCP(t, f, 50)
		for cut := len(firstEventChunk); cut <= len(answer); cut++ {
			answers <- "HTTP/1.1 202 X\r\nContent-Length: 2\r\n\r\n{}"
			answers <- chunkedHead + answer[:cut]
			client := dialAndSend(t, addr, requestText(fmt.Sprint("x", cut), contentLength(requestBody), requestBody))
			got := readToLastChunk(client)
			whole := strings.HasSuffix(got, bodyEnd)
			if whole && cut < len(answer) || !whole && cut == len(answer) && !reset {
				t.Errorf("%d of %d bytes, reset %v: last chunk %v, %q", cut, len(answer), reset, whole, got)
			}
			client.Close()
			if got := handOver(t, answer[len(firstEventChunk):cut], reset); strings.HasSuffix(got, bodyEnd) && cut < len(answer) || got == "" {
				t.Errorf("handed over, %d of %d bytes, reset %v: %q", cut, len(answer), reset, got)
			}
		}
	}
}

const (
	firstEventChunk = "a\r\n" + firstEvent + "\r\n"
	restOfAnswer    = "e\r\ndata: [DONE]\n\n\r\n0\r\nX-Sum: 1\r\n\r\n"
)

// readToLastChunk reads the first answer on a connection to its last chunk, or to the end of the connection.
func readToLastChunk(c net.Conn) string {
	text, buffer := "", make([]byte, 1<<10)
	for !strings.HasSuffix(text, bodyEnd) {
		n, err := c.Read(buffer)
		text += string(buffer[:n])
		if err != nil {
			break
		}
	}
	return text
}

// handOver has a receivedStream relay the rest of a stream whose worker breaks off behind it, and returns what the client gets with
// an end mark.
func handOver(t *testing.T, rest string, reset bool) string {
	client, clientSide := tcpPair(t)
	worker, workerSide := tcpPair(t)
	s := &receivedStream{receiver: &StreamReceiver{log: discardLogger, cutCtx: t.Context()}, client: clientSide, worker: workerSide, releaseID: func() {}}
	go s.run()
	io.WriteString(worker, rest)
	breakOff(worker, reset)
	return "end:" + readToLastChunk(client)
}

// Events pass as their bytes come, whatever chunks carry them, and the answer is not cut off.
func TestEventsPassAsTheyComeInLargeChunks(t *testing.T) {
	const events, pace = 32, 250 * time.Millisecond
	event := func(n int) string { return fmt.Sprintf("data: {\"n\":%d}\n\n", n) }
	text := ""
	for n := range events {
		text += event(n)
	}
	for _, chunkEvents := range []int{1, 3, 10, events} {
		for _, firstAlone := range []bool{false, true} {
			for _, piece := range []int{1, 7, 1 << 10} {
				synctest.Test(t, func(t *testing.T) {
					written := make([]time.Time, events)
					s, err := startStreamOf(t, func(worker net.Conn) {
						io.WriteString(worker, chunkedHead)
						for n := range events {
							time.Sleep(pace)
							first := n%chunkEvents == 0 || firstAlone && n == 1
							size := 0
							for i := n; i < events && (i == n || i%chunkEvents != 0) && !(firstAlone && n == 0 && i > 0); i++ {
								size += len(event(i))
							}
							if first {
								fmt.Fprintf(worker, "%x\r\n", size)
							}
							written[n] = time.Now()
							for rest := event(n); rest != ""; rest = rest[min(piece, len(rest)):] {
								io.WriteString(worker, rest[:min(piece, len(rest))])
							}
							if (n+1)%chunkEvents == 0 || n == events-1 || firstAlone && n == 0 {
								io.WriteString(worker, "\r\n")
							}
						}
						io.WriteString(worker, "0\r\n\r\n")
					})
					if err != nil {
						t.Fatal(err)
					}
					defer s.Close()
					for n := range events {
						got := make([]byte, len(event(n)))
						if _, err := io.ReadFull(s, got); string(got) != event(n) || err != nil || time.Since(written[n]) > 0 {
							t.Fatalf("%d events a chunk, %d bytes at a time: event %d is %q, %v, %v late", chunkEvents, piece, n, got, err, time.Since(written[n]))
						}
					}
					if rest, err := io.ReadAll(s); len(rest) > 0 || err != nil {
						t.Errorf("%q %v behind the last event", rest, err)
					}
				})
			}
		}
	}
}

// A worker that completes an event each 4.8 s is not cut off, also where it writes each byte by byte.
func TestSlowStreamIsNotCutOff(t *testing.T) {
	const gap = 4800 * time.Millisecond
	for _, piece := range []int{1, len(firstEvent)} {
		synctest.Test(t, func(t *testing.T) {
			const events = 4
			s, err := startStreamOf(t, func(worker net.Conn) {
				io.WriteString(worker, chunkedHead+chunk(firstEvent))
				for range events {
					io.WriteString(worker, "a\r\n")
					for i := 0; i < len(firstEvent); i += piece {
						time.Sleep(gap * time.Duration(piece) / time.Duration(len(firstEvent)))
						io.WriteString(worker, firstEvent[i:i+piece])
					}
					io.WriteString(worker, "\r\n")
				}
				io.WriteString(worker, "0\r\n\r\n")
			})
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			if text, err := io.ReadAll(s); string(text) != strings.Repeat(firstEvent, events+1) || err != nil {
				t.Errorf("%d bytes at a time: %q %v", piece, text, err)
			}
		})
	}
}

// A stream whose end nothing proves is an error, and one whose proof is contradicted by its events has no end.
func TestStreamsWithoutProofOfTheirEnd(t *testing.T) {
	const events = firstEvent + "data: [DONE]\n\n"
	sized := func(length int) string { return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", length) }
	for name, c := range map[string]struct {
		answer  string
		streams bool
	}{
		"to the close":              {"HTTP/1.1 200 OK\r\n\r\n" + events, false},
		"HTTP/1.0":                  {"HTTP/1.0 200 OK\r\n\r\n" + events, false},
		"chunks of HTTP/1.0":        {strings.Replace(chunkedHead, "1.1", "1.0", 1) + chunk(events) + "0\r\n\r\n", false},
		"a length before the end":   {sized(len(firstEvent)) + events, true},
		"a length inside an event":  {sized(len(events)-1) + events, true},
		"a length behind the end":   {sized(len(events)+1) + events, true},
		"an event without its end":  {chunkedHead + chunk(firstEvent+"data: [DONE]\n") + "0\r\n\r\n", true},
		"a line without its end":    {chunkedHead + chunk(firstEvent+"data: [DONE]") + "0\r\n\r\n", true},
		"a comment without its end": {chunkedHead + chunk(events+": X-Pressure") + "0\r\n\r\n", true},
	} {
		synctest.Test(t, func(t *testing.T) {
			s, err := startStreamOf(t, func(worker net.Conn) { io.WriteString(worker, c.answer) })
			if (err == nil) != c.streams {
				t.Fatalf("%s: %v", name, err)
			}
			if err != nil {
				return
			}
			defer s.Close()
			if text, err := io.ReadAll(s); err == nil {
				t.Errorf("%s: whole, with %q", name, text)
			}
		})
	}
}

// A client of HTTP/1.0 is told the end of its answer by the close of the connection, and gets a reset where the answer broke off.
func TestBrokenAnswerOfHTTP10ClientEndsWithReset(t *testing.T) {
	for _, broken := range []bool{true, false} {
		answers := make(chan string, 2)
		f, _ := newFrontWithTarget(t, cutWorker(t, answers, false), time.Hour)
		answers <- "HTTP/1.1 202 X\r\nContent-Length: 2\r\n\r\n{}"
		answer := chunkedHead + firstEventChunk + restOfAnswer
		if broken {
			answer = answer[:len(answer)-1]
		}
		answers <- answer
		request := strings.Replace(requestText("x", contentLength(requestBody), requestBody), "HTTP/1.1", "HTTP/1.0", 1)
		client := dialAndSend(t, serveOnTCP(t, f, 9), request)
		text, err := io.ReadAll(client)
		if errors.Is(err, syscall.ECONNRESET) != broken || !broken && (err != nil || !strings.HasSuffix(string(text), "data: [DONE]\n\n")) {
			t.Errorf("broken %v: %q %v", broken, text, err)
		}
	}
}

// The body of an answer, and whether it is whole, do not depend on how its bytes are divided, on their way or by who reads them.
func TestChunkedBodyIsTheSameHoweverItIsRead(t *testing.T) {
	large := "data: " + strings.Repeat("x", 50_000) + "\n\n"
	events := firstEvent + strings.Repeat(large, 4) + restOfEvents
	answer := chunkedHead + chunk(events[:1]) + chunk(events[1:9]) + chunk(events[9:150_000]) + chunk(events[150_000:]) + "0\r\nX: y\r\n\r\n"
	for _, cut := range []int{len(answer), len(answer) - 1, len(answer) - len("\r\n"), len(answer) - 20} {
		for _, maxRead := range []int{1, 7, 500, 1 << 20} {
			for _, buffer := range []int{16, minChunkBuffer - 1, minChunkBuffer, 4 << 10, 1 << 20} {
				conn := &workerConn{Conn: bytesConn{in: strings.NewReader(answer[:cut]), maxRead: maxRead}, openConns: new(atomic.Int64), done: make(chan struct{})}
				conn.awaitingAnswer.Store(true)
				res, err := http.ReadResponse(bufio.NewReaderSize(conn, buffer), nil)
				if err != nil {
					t.Fatal(err)
				}
				text, err := io.ReadAll(res.Body)
				if (err == nil) != (cut == len(answer)) || !strings.HasPrefix(events, string(text)) || cut > len(answer)-20 && len(text) != len(events) {
					t.Errorf("%d of %d bytes, %d at a time into %d: %d bytes, %v", cut, len(answer), maxRead, buffer, len(text), err)
				}
			}
		}
	}
}
