package httpfront

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"rowanyard/decide"
	"rowanyard/internal/core"
)

// BenchmarkCalmRequest measures a request on a kept connection, with workers that answer at once and no other clients.
func BenchmarkCalmRequest(b *testing.B) {
	benchmarkRequest(b, func(w http.ResponseWriter) { io.WriteString(w, "data: {}\n\ndata: [DONE]\n\n") })
}

// BenchmarkStreamedRequest measures a request whose answer has many events, each in a chunk of its own.
func BenchmarkStreamedRequest(b *testing.B) {
	const events = 200
	benchmarkRequest(b, func(w http.ResponseWriter) {
		for range events {
			io.WriteString(w, `data: {"choices":[{"index":0,"delta":{"content":"oqvh"},"finish_reason":null}]}`+"\n\n")
			_ = http.NewResponseController(w).Flush()
		}
		io.WriteString(w, "data: [DONE]\n\n")
	})
}

func benchmarkRequest(b *testing.B, write func(http.ResponseWriter)) {
	b.Helper()
	b.ReportAllocs()
	var calls atomic.Int64
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		switch {
		case r.Method != http.MethodPost:
		case calls.Add(1)%2 == 1:
			w.WriteHeader(http.StatusAccepted)
			io.WriteString(w, `{"cached_tokens":12}`)
		default:
			write(w)
		}
	}))
	defer worker.Close()
	addr := worker.Listener.Addr().String()
	w := NewWorkers(time.Second, 15*time.Second, 100, discardLogger)
	c, err := core.New(decide.Settings{RouterCount: 1, ClockStep: 2 * time.Millisecond, MaxAttempts: 4, CanCancel: true, PinLimit: 300 * time.Millisecond,
		Kinds:   []decide.Kind{{Role: decide.Reader, MemoryTokens: 1e5}, {Role: decide.Writer, MemoryTokens: 1e5}},
		Classes: []decide.Class{{TTFTTarget: time.Second, Deadline: 5 * time.Second, Value: 1}}}, 1, w, discardLogger)
	if err != nil {
		b.Fatal(err)
	}
	c.SetWorkers(true, []core.Worker{{Addr: addr, Server: decide.Server{ID: "r", Kind: 0}}, {Addr: addr, Server: decide.Server{ID: "w", Kind: 1}}})
	f := New(c, w, []string{"chat"}, nil, discardLogger)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go f.Serve(l, 50)
	defer f.server.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer client.Close()
	in := bufio.NewReader(client)
	for n := 0; b.Loop(); n++ {
		io.WriteString(client, requestText(fmt.Sprint("b", n), contentLength(requestBody), requestBody))
		res, err := http.ReadResponse(in, nil)
		if err != nil || res.StatusCode != http.StatusOK {
			b.Fatal(res, err)
		}
		io.Copy(io.Discard, res.Body)
	}
}
