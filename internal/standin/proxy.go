package standin

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

// Proxy is a minimal HTTP proxy that calls an external processor as Envoy does (ext_proc v3) and sends each request to the
// upstream that the processor names. Its processing mode sends the headers of request and response, buffers the request's
// body and streams the response's. It never retries: each attempt is the processor's decision.
type Proxy struct {
	Processor   *grpc.ClientConn
	Destination string // the header in which the processor names the upstream
	Transport   http.RoundTripper
}

// processorMessage is a message from the processor, or the error that ended its stream.
type processorMessage struct {
	*extprocv3.ProcessingResponse
	err error
}

// ServeHTTP implements http.Handler.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	stream, err := extprocv3.NewExternalProcessorClient(p.Processor).Process(ctx)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	messages := make(chan processorMessage)
	go func() {
		for {
			m, err := stream.Recv()
			select {
			case messages <- processorMessage{m, err}:
			case <-ctx.Done():
				return
			}
			if err != nil {
				return
			}
		}
	}()
	body, _ := io.ReadAll(r.Body)
	headers := &corev3.HeaderMap{}
	addHeader := func(k, v string) {
		headers.Headers = append(headers.Headers, &corev3.HeaderValue{Key: strings.ToLower(k), RawValue: []byte(v)})
	}
	addHeader(":method", r.Method)
	addHeader(":path", r.URL.RequestURI())
	for k, v := range r.Header {
		addHeader(k, v[0])
	}
	// exchange sends a message and returns the reply. It returns nil where the reply ends the request. A failure to send is
	// ignored: the processor has ended its stream, and its last message, which may be an immediate response, can still be
	// received.
	exchange := func(m *extprocv3.ProcessingRequest) *extprocv3.ProcessingResponse {
		_ = stream.Send(m)
		reply := <-messages
		if reply.err != nil || writeImmediate(w, reply.GetImmediateResponse()) {
			return nil
		}
		return reply.ProcessingResponse
	}
	if exchange(&extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_RequestHeaders{
		RequestHeaders: &extprocv3.HttpHeaders{Headers: headers, EndOfStream: len(body) == 0}}}) == nil {
		return
	}
	m := exchange(&extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_RequestBody{
		RequestBody: &extprocv3.HttpBody{Body: body, EndOfStream: true}}})
	if m == nil {
		return
	}
	upstreamRequest, _ := http.NewRequestWithContext(ctx, r.Method, "http://127.0.0.1:1"+r.URL.RequestURI(), io.NopCloser(strings.NewReader(string(body))))
	upstreamRequest.ContentLength = int64(len(body))
	upstreamRequest.Header = r.Header.Clone()
	for _, h := range m.GetRequestBody().GetResponse().GetHeaderMutation().GetSetHeaders() {
		upstreamRequest.Header.Set(h.Header.Key, string(h.Header.RawValue))
		if strings.EqualFold(h.Header.Key, p.Destination) {
			upstreamRequest.URL.Host = string(h.Header.RawValue)
		}
	}
	type upstreamResult struct {
		*http.Response
		err error
	}
	upstreamDone := make(chan upstreamResult, 1)
	go func() { res, err := p.Transport.RoundTrip(upstreamRequest); upstreamDone <- upstreamResult{res, err} }()
	var upstream upstreamResult
	select {
	case upstream = <-upstreamDone:
	case reply := <-messages: // the processor ends the request before the upstream has responded
		if reply.err == nil {
			writeImmediate(w, reply.GetImmediateResponse())
		}
		return
	}
	if upstream.err != nil {
		upstream.Response = &http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{}, Body: http.NoBody}
	}
	defer upstream.Body.Close()
	headers = &corev3.HeaderMap{}
	addHeader(":status", strconv.Itoa(upstream.StatusCode))
	for k, v := range upstream.Header {
		addHeader(k, v[0])
	}
	if exchange(&extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_ResponseHeaders{
		ResponseHeaders: &extprocv3.HttpHeaders{Headers: headers}}}) == nil {
		return
	}
	for k, v := range upstream.Header {
		w.Header()[k] = v
	}
	w.WriteHeader(upstream.StatusCode)
	buf := make([]byte, 4096)
	for {
		n, err := upstream.Body.Read(buf)
		if err != nil && err != io.EOF {
			panic(http.ErrAbortHandler) // the upstream's stream broke: break the client's, too
		}
		if exchange(&extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_ResponseBody{
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

// writeImmediate writes the processor's immediate response and reports whether there was one.
func writeImmediate(w http.ResponseWriter, m *extprocv3.ImmediateResponse) bool {
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
