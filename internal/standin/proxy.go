package standin

// This file is a toy of a proxy that calls an external processor: Envoy's side of ext_proc v3, as far
// as one request needs it. It must never retry by itself.

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"
)

// Proxy sends each request where an external processor says. Its processing mode is: heads sent, the
// request's body buffered, the answer's body streamed.
type Proxy struct {
	Processor   *grpc.ClientConn
	Destination string // the header that names the upstream
	Transport   http.RoundTripper
}

// told is what the processor says next.
type told struct {
	*extprocv3.ProcessingResponse
	err error
}

// ServeHTTP implements http.Handler.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, stop := context.WithCancel(r.Context())
	defer stop()
	stream, err := extprocv3.NewExternalProcessorClient(p.Processor).Process(ctx)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	says := make(chan told)
	go func() {
		for {
			m, err := stream.Recv()
			select {
			case says <- told{m, err}:
			case <-ctx.Done():
				return
			}
			if err != nil {
				return
			}
		}
	}()
	body, _ := io.ReadAll(r.Body)
	head := &corev3.HeaderMap{}
	put := func(k, v string) {
		head.Headers = append(head.Headers, &corev3.HeaderValue{Key: strings.ToLower(k), RawValue: []byte(v)})
	}
	put(":method", r.Method)
	put(":path", r.URL.RequestURI())
	for k, v := range r.Header {
		put(k, v[0])
	}
	// ask sends a message and returns the answer, nil where the request is over with it. A message that can't be sent has
	// met the processor's end: its last word, an answer of its own for one, is still to be read.
	ask := func(m *extprocv3.ProcessingRequest) *extprocv3.ProcessingResponse {
		_ = stream.Send(m)
		t := <-says
		if t.err != nil || immediate(w, t.GetImmediateResponse()) {
			return nil
		}
		return t.ProcessingResponse
	}
	if ask(&extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_RequestHeaders{
		RequestHeaders: &extprocv3.HttpHeaders{Headers: head, EndOfStream: len(body) == 0}}}) == nil {
		return
	}
	m := ask(&extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_RequestBody{
		RequestBody: &extprocv3.HttpBody{Body: body, EndOfStream: true}}})
	if m == nil {
		return
	}
	out, _ := http.NewRequestWithContext(ctx, r.Method, "http://127.0.0.1:1"+r.URL.RequestURI(), io.NopCloser(strings.NewReader(string(body))))
	out.ContentLength = int64(len(body))
	out.Header = r.Header.Clone()
	for _, h := range m.GetRequestBody().GetResponse().GetHeaderMutation().GetSetHeaders() {
		out.Header.Set(h.Header.Key, string(h.Header.RawValue))
		if strings.EqualFold(h.Header.Key, p.Destination) {
			out.URL.Host = string(h.Header.RawValue)
		}
	}
	type upstream struct {
		*http.Response
		err error
	}
	came := make(chan upstream, 1)
	go func() { res, err := p.Transport.RoundTrip(out); came <- upstream{res, err} }()
	var up upstream
	select {
	case up = <-came:
	case t := <-says: // the processor ends the request while the upstream is silent
		if t.err == nil {
			immediate(w, t.GetImmediateResponse())
		}
		return
	}
	if up.err != nil {
		up.Response = &http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{}, Body: http.NoBody}
	}
	defer up.Body.Close()
	head = &corev3.HeaderMap{}
	put(":status", strconv.Itoa(up.StatusCode))
	for k, v := range up.Header {
		put(k, v[0])
	}
	if ask(&extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_ResponseHeaders{
		ResponseHeaders: &extprocv3.HttpHeaders{Headers: head}}}) == nil {
		return
	}
	for k, v := range up.Header {
		w.Header()[k] = v
	}
	w.WriteHeader(up.StatusCode)
	buf := make([]byte, 4096)
	for {
		n, err := up.Body.Read(buf)
		if err != nil && err != io.EOF {
			panic(http.ErrAbortHandler) // it broke: so does the client's
		}
		if ask(&extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_ResponseBody{
			ResponseBody: &extprocv3.HttpBody{Body: buf[:n], EndOfStream: err == io.EOF}}}) == nil {
			panic(http.ErrAbortHandler)
		}
		w.Write(buf[:n])
		if err == io.EOF {
			return
		}
		http.NewResponseController(w).Flush()
	}
}

// immediate writes the processor's own answer, if it gave one.
func immediate(w http.ResponseWriter, m *extprocv3.ImmediateResponse) bool {
	if m == nil {
		return false
	}
	for _, h := range m.GetHeaders().GetSetHeaders() {
		w.Header().Set(h.Header.Key, string(h.Header.RawValue))
	}
	w.WriteHeader(int(m.GetStatus().GetCode()))
	w.Write(m.Body)
	return true
}
