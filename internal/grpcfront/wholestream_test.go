package grpcfront_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"rowanyard/decide"
	"rowanyard/internal/core"
	"rowanyard/internal/standin"
)

// cutAnswer answers a write with the first bytes of a stream and then breaks off.
func cutAnswer(t *testing.T, w http.ResponseWriter, answer string, reset bool) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		t.Error(err)
		return
	}
	io.WriteString(c, answer)
	if reset {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	c.Close()
}

// A gRPC client gets OK only behind the last byte of an HTTP worker's answer, and DATA_LOSS where that broke off before it.
func TestGRPCClientGetsOKOnlyBehindWorkersLastByte(t *testing.T) {
	const (
		head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	)
	event := "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"}}]}\n\n"
	begin := head + fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
	rest := "e\r\ndata: [DONE]\n\n\r\n0\r\nX-Sum: 1\r\n\r\n"
	for _, reset := range []bool{false, true} {
		for cut := 0; cut <= len(rest); cut++ {
			r := start(t, standin.Options{})
			writer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				io.Copy(io.Discard, q.Body)
				if q.Method == http.MethodPost {
					cutAnswer(t, w, begin+rest[:cut], reset)
				}
			}))
			r.replaceHTTPWriter(writer.Listener.Addr().String())
			_, err := r.complete(t.Context(), r.request("send-message", "k", time.Minute))
			if whole := cut == len(rest); err == nil && !whole || err != nil && whole && !reset {
				t.Errorf("%d of %d bytes, reset %v: %v", cut, len(rest), reset, err)
			}
			if code := status.Code(err); code != codes.OK && code != codes.DataLoss && code != codes.Internal {
				t.Errorf("%d of %d bytes, reset %v: %v", cut, len(rest), reset, err)
			}
			writer.Close()
		}
	}
}

// replaceHTTPWriter replaces the fleet's writers by the HTTP server at addr.
func (r *router) replaceHTTPWriter(addr string) {
	var workers []core.Worker
	for i, h := range r.fleet.Hosts() {
		w := core.Worker{Addr: h.Dial, Server: decide.Server{ID: h.Host, Kind: i, Cell: 1}}
		if h.Class == "writer" {
			w.Addr = addr
		}
		workers = append(workers, w)
	}
	r.core.SetWorkers(true, workers)
}

// grpcEnd is how a gRPC worker's call ends behind its first message.
type grpcEnd int

const (
	endOK grpcEnd = iota
	endInternal
	endWithoutStatus // END_STREAM on a message
	endByReset       // of the call
	endOfConnection
)

// grpcWriter starts a gRPC worker that answers each call with one message and then ends it.
func grpcWriter(t *testing.T, message []byte, end grpcEnd) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	header := func(fields ...string) []byte {
		var text strings.Builder
		encoder := hpack.NewEncoder(&text)
		for i := 0; i < len(fields); i += 2 {
			_ = encoder.WriteField(hpack.HeaderField{Name: fields[i], Value: fields[i+1]})
		}
		return []byte(text.String())
	}
	serve := func(c net.Conn) {
		defer c.Close()
		in := bufio.NewReader(c)
		_, _ = io.ReadFull(in, make([]byte, len(http2.ClientPreface)))
		f := http2.NewFramer(c, in)
		_ = f.WriteSettings()
		for {
			frame, err := f.ReadFrame()
			if err != nil {
				return
			}
			d, ok := frame.(*http2.DataFrame)
			if !ok || !d.StreamEnded() {
				continue
			}
			_ = f.WriteHeaders(http2.HeadersFrameParam{StreamID: d.StreamID, EndHeaders: true,
				BlockFragment: header(":status", "200", "content-type", "application/grpc")})
			_ = f.WriteData(d.StreamID, end == endWithoutStatus, append([]byte{0, 0, 0, 0, byte(len(message))}, message...))
			switch end {
			case endOK, endInternal:
				code := map[grpcEnd]string{endOK: "0", endInternal: "13"}[end]
				_ = f.WriteHeaders(http2.HeadersFrameParam{StreamID: d.StreamID, EndHeaders: true, EndStream: true,
					BlockFragment: header("grpc-status", code)})
			case endByReset:
				_ = f.WriteRSTStream(d.StreamID, http2.ErrCodeNo)
			case endOfConnection:
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

// Clients of either protocol are told the end of a gRPC worker's stream only behind its status OK.
func TestStreamOfGRPCWorkerIsWholeOnlyBehindStatusOK(t *testing.T) {
	chunk := []byte{0x0a, 1, 'a'} // content: "a"
	for end, name := range []string{"OK", "an error", "no status", "a reset", "the connection's end"} {
		r := start(t, standin.Options{GRPC: true})
		r.replaceWriter(grpcWriter(t, chunk, grpcEnd(end)))
		whole := grpcEnd(end) == endOK
		text, err := r.complete(t.Context(), r.request("send-message", "k", time.Minute))
		if (err == nil) != whole || !whole && status.Code(err) != codes.DataLoss || text != "a" {
			t.Errorf("%s: gRPC client: %q %v", name, text, err)
		}
		body := `{"model":"chat","stream":true,"max_tokens":9,"messages":[{"role":"user","content":"k2"}]}`
		req, _ := http.NewRequestWithContext(context.Background(), http.MethodPost, r.http+"/v1/chat/completions", strings.NewReader(body))
		for k, v := range map[string]string{"X-Txn": "ab12", "X-Lane": "draft-reply", "X-Remaining-Ms": "60000", "X-Labels": "prompt_len=40"} {
			req.Header.Set(k, v)
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(res.Body)
		res.Body.Close()
		if (err == nil) != whole || strings.Contains(string(got), "[DONE]") != whole || res.StatusCode != http.StatusOK {
			t.Errorf("%s: HTTP client: %d %q %v", name, res.StatusCode, got, err)
		}
	}
}
