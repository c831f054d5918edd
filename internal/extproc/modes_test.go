package extproc_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	modev3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/structpb"

	"rowanyard/internal/extproc"
	"rowanyard/internal/standin"
)

// proxyStream speaks ext_proc message by message, like a proxy in any processing mode.
type proxyStream struct {
	t      *testing.T
	stream extprocv3.ExternalProcessor_ProcessClient
	stop   func()
	id     string
}

func (b *env) proxyStream(t *testing.T) *proxyStream {
	t.Helper()
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(stop)
	stream, err := extprocv3.NewExternalProcessorClient(b.conn).Process(ctx)
	if err != nil {
		t.Fatal(err)
	}
	return &proxyStream{t, stream, stop, fmt.Sprintf("s%d", ids.Add(1))}
}

func (s *proxyStream) send(m *extprocv3.ProcessingRequest) {
	s.t.Helper()
	if err := s.stream.Send(m); err != nil && err != io.EOF {
		s.t.Fatal(err)
	}
}

func (s *proxyStream) recv() *extprocv3.ProcessingResponse {
	s.t.Helper()
	m, err := s.stream.Recv()
	if err != nil {
		s.t.Fatalf("no answer: %v", err)
	}
	return m
}

const prompt = `{"model":"chat","stream":true,"messages":[{"role":"user","content":"k"}]}`

func (s *proxyStream) requestHeaders(request, answer modev3.ProcessingMode_BodySendMode, early, end bool) *extprocv3.ProcessingRequest {
	h := &corev3.HeaderMap{}
	for k, v := range map[string]string{":method": "POST", ":path": "/v1/chat/completions", "x-txn": s.id, "x-lane": "send-message",
		"x-remaining-ms": "2000", "x-labels": "prompt_len=40,max_out=9"} {
		h.Headers = append(h.Headers, &corev3.HeaderValue{Key: k, RawValue: []byte(v)})
	}
	return &extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_RequestHeaders{RequestHeaders: &extprocv3.HttpHeaders{Headers: h, EndOfStream: end}},
		ProtocolConfig: &extprocv3.ProtocolConfiguration{RequestBodyMode: request, ResponseBodyMode: answer, SendBodyWithoutWaitingForHeaderResponse: early}}
}

func requestBody(text string, end bool) *extprocv3.ProcessingRequest {
	return &extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_RequestBody{RequestBody: &extprocv3.HttpBody{Body: []byte(text), EndOfStream: end}}}
}

func requestTrailers() *extprocv3.ProcessingRequest {
	return &extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_RequestTrailers{RequestTrailers: &extprocv3.HttpTrailers{}}}
}

func responseHeaders(code int, end bool) *extprocv3.ProcessingRequest {
	return &extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_ResponseHeaders{ResponseHeaders: &extprocv3.HttpHeaders{EndOfStream: end,
		Headers: &corev3.HeaderMap{Headers: []*corev3.HeaderValue{{Key: ":status", RawValue: []byte(fmt.Sprint(code))}}}}}}
}

func responseBody(text string, end bool) *extprocv3.ProcessingRequest {
	return &extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_ResponseBody{ResponseBody: &extprocv3.HttpBody{Body: []byte(text), EndOfStream: end}}}
}

// destination returns the endpoint that a response names, in the header and in the metadata.
func destination(m *extprocv3.ProcessingResponse) (header, meta string) {
	for _, c := range []*extprocv3.CommonResponse{m.GetRequestHeaders().GetResponse(), m.GetRequestBody().GetResponse()} {
		for _, h := range c.GetHeaderMutation().GetSetHeaders() {
			if h.Header.Key == extproc.DestinationHeader {
				header = string(h.Header.RawValue)
			}
		}
	}
	return header, m.GetDynamicMetadata().GetFields()[extproc.MetadataNamespace].GetStructValue().GetFields()[extproc.DestinationHeader].GetStringValue()
}

// sendWrite sends the request to the worker, as the proxy would to its upstream.
func (s *proxyStream) sendWrite(to string) int {
	s.t.Helper()
	req, _ := http.NewRequest(http.MethodPost, "http://"+to+"/v1/chat/completions", strings.NewReader(prompt))
	req.Header.Set("X-Txn", s.id)
	req.Header.Set("X-Lane", "send-message")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		s.t.Fatal(err)
	}
	defer res.Body.Close()
	io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

// finish carries the write and reports its response to the processor in the given mode.
func (s *proxyStream) finish(to string, mode modev3.ProcessingMode_BodySendMode) {
	s.t.Helper()
	s.send(responseHeaders(s.sendWrite(to), false))
	if s.recv().GetResponseHeaders() == nil {
		s.t.Fatal("the response headers do not pass")
	}
	if mode == modev3.ProcessingMode_NONE {
		s.stream.CloseSend()
		return
	}
	s.send(responseBody("data: x\n\n", false))
	r := s.recv().GetResponseBody()
	if back := r.GetResponse().GetBodyMutation().GetStreamedResponse(); (back != nil) != (mode == modev3.ProcessingMode_FULL_DUPLEX_STREAMED) || back != nil && string(back.Body) != "data: x\n\n" {
		s.t.Errorf("%v in mode %v", r, mode)
	}
	s.send(responseBody("", true))
	s.recv()
	s.stream.CloseSend()
}

// In every mode that proxies use, the prompt is read before the request goes on, and exactly one writer is named.
func TestProcessingModes(t *testing.T) {
	const (
		none, buffered, partial = modev3.ProcessingMode_NONE, modev3.ProcessingMode_BUFFERED, modev3.ProcessingMode_BUFFERED_PARTIAL
		stream, duplex          = modev3.ProcessingMode_STREAMED, modev3.ProcessingMode_FULL_DUPLEX_STREAMED
	)
	half := len(prompt) / 2
	for _, c := range []struct {
		name                      string
		requestMode, responseMode modev3.ProcessingMode_BodySendMode
		earlyBody                 bool
		parts                     []*extprocv3.ProcessingRequest
	}{
		{"buffered", buffered, stream, false, []*extprocv3.ProcessingRequest{requestBody(prompt, true)}},
		{"buffered, trailers", buffered, buffered, false, []*extprocv3.ProcessingRequest{requestBody(prompt, false), requestTrailers()}},
		{"partial, complete", partial, none, false, []*extprocv3.ProcessingRequest{requestBody(prompt, true)}},
		{"streamed early", stream, stream, true, []*extprocv3.ProcessingRequest{requestBody(prompt[:half], false), requestBody(prompt[half:], true)}},
		{"streamed early, trailers", stream, none, true, []*extprocv3.ProcessingRequest{requestBody(prompt[:half], false), requestBody(prompt[half:], false), requestTrailers()}},
		{"streamed, overridden", stream, stream, false, []*extprocv3.ProcessingRequest{requestBody(prompt, true)}},
		{"headers only, overridden", none, stream, false, []*extprocv3.ProcessingRequest{requestBody(prompt, true)}},
		{"full duplex", duplex, duplex, false, []*extprocv3.ProcessingRequest{requestBody(prompt[:half], false), requestBody(prompt[half:], true)}},
		{"full duplex, trailers", duplex, duplex, false, []*extprocv3.ProcessingRequest{requestBody(prompt, false), requestTrailers()}},
	} {
		t.Run(c.name, func(t *testing.T) {
			override = true
			defer func() { override = false }()
			b := start(t, standin.Options{Writers: 2}, nil)
			s := b.proxyStream(t)
			s.send(s.requestHeaders(c.requestMode, c.responseMode, c.earlyBody, false))
			held := c.requestMode == duplex || c.earlyBody
			to, meta, back := "", "", ""
			note := func(m *extprocv3.ProcessingResponse) {
				t.Helper()
				if m.GetImmediateResponse() != nil {
					t.Fatalf("%v %s", m.GetImmediateResponse().GetStatus(), m.GetImmediateResponse().Body)
				}
				if h, d := destination(m); h != "" {
					if to != "" {
						t.Error("destination named twice")
					}
					to, meta = h, d
				}
				back += string(m.GetRequestBody().GetResponse().GetBodyMutation().GetStreamedResponse().GetBody())
			}
			if !held {
				m := s.recv()
				note(m)
				if want := c.requestMode == none || c.requestMode == stream; (m.GetModeOverride().GetRequestBodyMode() == buffered) != want {
					t.Errorf("override %v", m.GetModeOverride())
				}
			}
			for _, p := range c.parts {
				s.send(p)
			}
			answers := len(c.parts)
			if held {
				answers++
			}
			for range answers {
				note(s.recv())
			}
			if to == "" || meta != to {
				t.Fatalf("sent to %q, by metadata to %q", to, meta)
			}
			if c.requestMode == duplex && back != prompt {
				t.Errorf("the body was sent back as %q", back)
			}
			if n := b.fleet.Calls("read", "k"); n != 1 || b.fleet.Calls("write", "k") != 0 {
				t.Errorf("read %d times before the write", n)
			}
			s.finish(to, c.responseMode)
			if _, err := s.stream.Recv(); err != io.EOF {
				t.Errorf("after the end: %v", err)
			}
			b.waitSettled(t)
			if b.fleet.Effects()["send-message k"] != 1 {
				t.Errorf("effects: %v", b.fleet.Effects())
			}
		})
	}
}

// Messages that are invalid or cannot be served get one answer with a reason and leave nothing behind.
func TestInvalidMessagesAreRejected(t *testing.T) {
	const buffered, stream = modev3.ProcessingMode_BUFFERED, modev3.ProcessingMode_STREAMED
	observes := requestBody(prompt, true)
	observes.ObservabilityMode = true
	for _, c := range []struct {
		name string
		mode modev3.ProcessingMode_BodySendMode
		more []*extprocv3.ProcessingRequest // sent after the headers
		code int                            // of an immediate answer, or
		want codes.Code                     // of the stream
	}{
		{"headers only, no override", modev3.ProcessingMode_NONE, nil, 500, 0},
		{"streamed late, no override", stream, nil, 500, 0},
		{"an unknown mode", 77, nil, 500, 0},
		{"partial, truncated", modev3.ProcessingMode_BUFFERED_PARTIAL, []*extprocv3.ProcessingRequest{requestBody(prompt, false)}, 413, 0},
		{"too long", buffered, []*extprocv3.ProcessingRequest{requestBody(strings.Repeat("x", 257<<10), true)}, 413, 0},
		{"an empty body", buffered, []*extprocv3.ProcessingRequest{requestBody("", true)}, 400, 0},
		{"observability mode", buffered, []*extprocv3.ProcessingRequest{observes}, 0, codes.FailedPrecondition},
		{"a second set of request headers", buffered, []*extprocv3.ProcessingRequest{(&proxyStream{id: "x"}).requestHeaders(buffered, stream, false, false)}, 0, codes.FailedPrecondition},
		{"response headers before the body", buffered, []*extprocv3.ProcessingRequest{responseHeaders(200, false)}, 0, codes.FailedPrecondition},
		{"a response body before its headers", buffered, []*extprocv3.ProcessingRequest{responseBody("x", true)}, 0, codes.FailedPrecondition},
		{"an empty message", buffered, []*extprocv3.ProcessingRequest{{}}, 0, codes.Unimplemented},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := start(t, standin.Options{}, nil)
			s := b.proxyStream(t)
			s.send(s.requestHeaders(c.mode, stream, false, false))
			for _, m := range c.more {
				s.send(m)
			}
			for {
				m, err := s.stream.Recv()
				if err == io.EOF && c.want == 0 || err != nil && status.Code(err) == c.want {
					break
				}
				if err != nil {
					t.Fatal(err)
				}
				if im := m.GetImmediateResponse(); im != nil {
					if c.code != 0 && int(im.Status.Code) != c.code || len(im.Body) == 0 {
						t.Errorf("%v %s, want %d", im.Status, im.Body, c.code)
					}
					break
				}
				if to, _ := destination(m); to != "" {
					t.Errorf("sent to %s", to)
				}
			}
			s.stop()
			b.waitSettled(t)
			if len(b.fleet.Effects()) > 0 {
				t.Error("the request ran")
			}
		})
	}
	b := start(t, standin.Options{}, nil)
	s := b.proxyStream(t)
	s.send(requestBody(prompt, true))
	if _, err := s.stream.Recv(); status.Code(err) != codes.FailedPrecondition {
		t.Errorf("a body before the headers: %v", err)
	}
}

// After a proxy leaves, at whatever point, nothing is held for it, and a write that it may have carried is not granted
// again.
func TestAProxyThatLeaves(t *testing.T) {
	const buffered, stream = modev3.ProcessingMode_BUFFERED, modev3.ProcessingMode_STREAMED
	for point := range 6 {
		b := start(t, standin.Options{}, nil)
		s := b.proxyStream(t)
		to := ""
		for i, do := range []func(){
			func() { s.send(s.requestHeaders(buffered, stream, false, false)) },
			func() { s.recv() },
			func() { s.send(requestBody(prompt, true)) },
			func() { to, _ = destination(s.recv()) },
			func() { s.send(responseHeaders(s.sendWrite(to), false)); s.recv() },
			func() { s.send(responseBody("data: x\n\n", false)); s.recv() },
		} {
			if i > point {
				break
			}
			do()
		}
		s.stop()
		b.waitSettled(t)
		again := b.proxyStream(t)
		again.id = s.id
		again.send(again.requestHeaders(buffered, stream, false, false))
		again.recv()
		again.send(requestBody(prompt, true))
		m := again.recv()
		granted, refused := false, int(m.GetImmediateResponse().GetStatus().GetCode())
		if where, _ := destination(m); where != "" {
			granted = true
		}
		if point >= 3 && (granted || refused != http.StatusConflict) {
			t.Errorf("left after step %d, asked again: granted %v, %d", point, granted, refused)
		}
		if point < 2 && !granted {
			t.Errorf("left after step %d: %v", point, m)
		}
		again.stop()
		b.waitSettled(t)
	}
}

// Guards against streams that break with the processor because their requests came late: these are refused, as a whole or with the
// end of their body. A request that came in time goes on.
func TestLateRequestIsRefused(t *testing.T) {
	const buffered, stream = modev3.ProcessingMode_BUFFERED, modev3.ProcessingMode_STREAMED
	b := start(t, standin.Options{}, nil)
	inTime, bodyLate, late := b.proxyStream(t), b.proxyStream(t), b.proxyStream(t)
	for _, s := range []*proxyStream{inTime, bodyLate} {
		s.send(s.requestHeaders(buffered, stream, false, false))
		s.recv()
	}
	inTime.send(requestBody(prompt, true))
	writer, _ := destination(inTime.recv())
	b.core.CloseAdmission(time.Now())
	bodyLate.send(requestBody(prompt, true))
	late.send(late.requestHeaders(buffered, stream, false, false))
	for name, s := range map[string]*proxyStream{"body late": bodyLate, "late": late} {
		answer := s.recv().GetImmediateResponse()
		headers := answer.GetHeaders().GetSetHeaders()
		if answer.GetStatus().GetCode() != http.StatusServiceUnavailable || len(headers) != 1 || headers[0].GetHeader().GetKey() != "retry-after" {
			t.Errorf("%s: %v, want a refusal with Retry-After", name, answer)
		}
		if n := b.fleet.Calls("read", s.id); n != 0 {
			t.Errorf("%s: read %d times", name, n)
		}
	}
	inTime.finish(writer, stream)
	b.waitSettled(t)
}

// If a proxy used another endpoint than the granted one, it is unknown what ran, and its client gets a failure.
func TestAnotherEndpointServed(t *testing.T) {
	b := start(t, standin.Options{Writers: 2}, nil)
	s := b.proxyStream(t)
	s.send(s.requestHeaders(modev3.ProcessingMode_BUFFERED, modev3.ProcessingMode_STREAMED, false, false))
	s.recv()
	s.send(requestBody(prompt, true))
	to, _ := destination(s.recv())
	m := responseHeaders(s.sendWrite(to), false)
	served, _ := structpb.NewStruct(map[string]any{extproc.ServedEndpointKey: "127.0.0.1:1"})
	m.MetadataContext = &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{extproc.MetadataNamespace: served}}
	s.send(m)
	if code := s.recv().GetImmediateResponse().GetStatus().GetCode(); code != http.StatusBadGateway {
		t.Errorf("code %d, want 502", code)
	}
	b.waitSettled(t)
}

// Many requests share one connection, each with its own stream.
func TestManyRequestsOnOneConnection(t *testing.T) {
	b := start(t, standin.Options{Readers: 2, Writers: 3}, nil)
	conn, err := grpc.NewClient(b.conn.Target(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	b.conn = conn
	var open []*proxyStream
	for range 20 {
		s := b.proxyStream(t)
		s.send(s.requestHeaders(modev3.ProcessingMode_BUFFERED, modev3.ProcessingMode_STREAMED, false, false))
		open = append(open, s)
	}
	for _, s := range open {
		s.recv()
		s.send(requestBody(prompt, true))
	}
	for _, s := range open {
		to, _ := destination(s.recv())
		s.finish(to, modev3.ProcessingMode_STREAMED)
	}
	b.waitSettled(t)
}
