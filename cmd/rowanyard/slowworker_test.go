package main

// Workers that read large requests slowly, with real processes.

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"rowanyard/internal/scale/faultproxy"
	"rowanyard/internal/standin"
)

const (
	answerSlack   = 500 * time.Millisecond // after its client's time, for a final answer
	slowReadBytes = 512
	slowReadPause = 10 * time.Millisecond
)

// slowNetwork passes on to a worker a few bytes at a time, and reads no faster. early is sent back at once, before anything of a
// request was passed on.
type slowNetwork struct {
	t     *testing.T
	role  string
	early string
}

// wrap implements standin.Options.ListedAddress.
func (n slowNetwork) wrap(host, address string) string {
	if n.role != "" && host[:len(n.role)] != n.role {
		return address
	}
	l, err := faultproxy.ListenSmall(slowReadBytes)
	if err != nil {
		n.t.Fatal(err)
	}
	n.t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go n.pass(c, address)
		}
	}()
	return l.Addr().String()
}

func (n slowNetwork) pass(router net.Conn, address string) {
	defer router.Close()
	worker, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer worker.Close()
	io.WriteString(router, n.early)
	go func() {
		defer router.Close()
		io.Copy(router, worker)
	}()
	for piece := make([]byte, slowReadBytes); ; time.Sleep(slowReadPause) {
		k, err := router.Read(piece)
		if err != nil {
			return
		}
		if _, err := worker.Write(piece[:k]); err != nil {
			return
		}
	}
}

// However slowly a worker reads, of whatever role and protocol, and whatever it answers before it has read all: each client has its
// final answer, and the end of its connection where one ends, at most 0.5 s after its time.
func TestFinalAnswersAreInTimeHoweverSlowlyWorkersRead(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, x := range map[string]struct {
		role, early string
		grpc        bool
	}{
		"readers":             {role: "reader"},
		"writers":             {role: "writer"},
		"all":                 {},
		"a part of a head":    {early: "HTTP/1.1 200 OK\r\nX:"},
		"1xx heads":           {early: "HTTP/1.1 100 Continue\r\n\r\n"},
		"a head":              {role: "writer", early: head},
		"a part of an event":  {role: "writer", early: head + "ff\r\ndata: {"},
		"a refusal":           {early: "HTTP/1.1 503 X\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"},
		"a part of a refusal": {early: "HTTP/1.1 503 X\r\nX-Turned-Away: 1\r\nContent-Length: 9\r\n\r\nx"},
		"gRPC":                {grpc: true},
		"gRPC writers":        {role: "writer", grpc: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			operator := ""
			if x.grpc {
				operator = `{"grpc": {"worker_hosts": ["*"]}}`
			}
			_, p := startRouter(t, standin.Options{Readers: 2, Writers: 2, GRPC: x.grpc, ListedAddress: slowNetwork{t, x.role, x.early}.wrap}, operator)
			var all sync.WaitGroup
			for i := range 6 {
				wait := time.Duration(300+250*i) * time.Millisecond
				request := newLargeRequest(p, fmt.Sprint("slow", i), []string{"draft-reply", "send-message"}[i%2])
				request.Header.Set("X-Remaining-Ms", fmt.Sprint(wait.Milliseconds()))
				all.Go(func() {
					began := time.Now()
					var written atomic.Int64 // from then to the last byte, from which the time of a request counts
					trace := &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { written.Store(int64(time.Since(began))) }}
					res, err := http.DefaultClient.Do(request.WithContext(httptrace.WithClientTrace(t.Context(), trace)))
					if err != nil {
						t.Errorf("%v: %v", request.Header.Get("X-Txn"), err)
						return
					}
					io.Copy(io.Discard, res.Body)
					res.Body.Close()
					if late := time.Since(began) - time.Duration(written.Load()) - wait; res.StatusCode != http.StatusOK && late > answerSlack {
						id := request.Header.Get("X-Txn")
						t.Errorf("%s of %v: status %d %v late, answered by the router after %s ms", id, wait, res.StatusCode, late,
							p.waitLog(t, "msg=answer .*txn="+id+" .*after_ms=([0-9]+)"))
					}
				})
			}
			all.Wait()
		})
	}
}
