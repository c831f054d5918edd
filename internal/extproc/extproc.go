// Package extproc implements Envoy's ext_proc v3 protocol: proxies call this external processor for each HTTP request. The
// processor carries the read itself, tells the proxy which writer to send the request to, and learns from the proxy how
// the writer's response starts and ends. Requests, attempts and outcomes are handled by the same core as those of the other
// fronts, and what a proxy may act on is a grant from the same Coordinator as for other callers.
//
// Traffic passes through the proxy unmodified except for the headers that carry the chosen writer, the remaining time, and
// the id and class of the request. A proxy never carries a second write of a request, because it cannot take back the
// first. The processor is disabled unless the operator's file enables it.
package extproc

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	modev3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/structpb"

	"rowanyard/decide"
	"rowanyard/internal/core"
	"rowanyard/internal/decisions"
	"rowanyard/internal/describe"
	"rowanyard/internal/grant"
	"rowanyard/internal/grpcfront"
	"rowanyard/internal/httpfront"
)

// Names from the endpoint picker convention.
const (
	// DestinationHeader is the default name of the header that tells a proxy which endpoint to use.
	DestinationHeader = "x-gateway-destination-endpoint"
	// MetadataNamespace is the namespace of the dynamic metadata that carries the same endpoint.
	MetadataNamespace = "envoy.lb"
	// ServedEndpointKey is the metadata key, in the same namespace, under which a proxy reports the endpoint that served.
	ServedEndpointKey = "x-gateway-destination-endpoint-served"
)

const (
	maxBodyBytes    = 256 << 10
	maxMessageBytes = maxBodyBytes + 64<<10 // a buffered body and the headers
	maxChunkBytes   = 60 << 10              // per message of a body that is streamed back
	charsPerToken   = 4                     // to estimate the prompt length where the client gives none
	requestIDHeader = "X-Request-Id"        // gives the request's id where the client sends no X-Txn
)

// Server implements the external processor service.
type Server struct {
	extprocv3.UnimplementedExternalProcessorServer
	Core              *core.Core
	Coordinator       *decisions.Coordinator
	Workers           *httpfront.Workers
	Classes           httpfront.Classes
	Settings          func() *decide.Settings // returns the settings in force
	Routes            *describe.Routes        // operations of the operator's API descriptions; nil matches all requests
	Destination       string                  // name of the header that carries the writer's address
	AllowModeOverride bool                    // proxies allow the processor to change their processing mode
	MaxOpen           int64                   // limit of concurrent requests
	Log               *slog.Logger
	open              atomic.Int64
}

// GRPC returns a gRPC server with the processor registered.
func (s *Server) GRPC() *grpc.Server {
	g := grpc.NewServer(grpcfront.ServerLimits(maxMessageBytes)...)
	extprocv3.RegisterExternalProcessorServer(g, s)
	return g
}

// call is the processing of one HTTP request of a proxy.
type call struct {
	*Server
	sequence
	stream      extprocv3.ExternalProcessor_ProcessServer
	messages    chan *extprocv3.ProcessingRequest
	caller      string
	route       describe.Route
	matched     bool // the API descriptions have a route for it
	holdHeaders bool // the headers are answered only once the body is complete
	method      string
	uri         string
	header      http.Header
	body        []byte
	id          string              // id of the request once the Coordinator has it
	grant       grant.Grant         // the write that the proxy carries, if ID is set
	outcome     <-chan error        // receives how the request ends
	streaming   bool                // the response has started and not ended
	worker      core.Worker         // the chosen writer
	unanswered  []unansweredMessage // messages received and not yet answered
}

// unansweredMessage is a message of the request that waits for its answer.
type unansweredMessage struct {
	kind step
	size int // bytes of a body chunk
	last bool
}

// Process handles one HTTP request of a proxy, from its headers to the end of its response.
func (s *Server) Process(stream extprocv3.ExternalProcessor_ProcessServer) (err error) {
	defer func() {
		if p := recover(); p != nil {
			s.Log.Error("external processor panicked", "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
			err = status.Error(codes.Internal, "failed")
		}
	}()
	defer s.open.Add(-1)
	c := &call{Server: s, stream: stream, messages: make(chan *extprocv3.ProcessingRequest), caller: callerName(stream.Context()),
		sequence: sequence{maxBody: maxBodyBytes, modes: modes{requestMode: modev3.ProcessingMode_BUFFERED, responseMode: modev3.ProcessingMode_STREAMED}}}
	if s.open.Add(1) > s.MaxOpen { // bounds the memory; the client is told when to retry
		return c.sendFinal(&decisions.Refused{RetryAfter: s.Core.BusyRetryAfter()})
	}
	ctx, stop := context.WithCancel(stream.Context())
	defer stop()
	go c.receive(ctx)
	defer c.release() // however the stream ends
	for {
		select {
		case msg, open := <-c.messages:
			if !open {
				return nil
			}
			done, err := c.handle(ctx, msg)
			if done || err != nil {
				return err
			}
		case err := <-c.outcome: // while the proxy waits for the writer: only a refusal or a failure can come
			c.outcome = nil
			if err != nil {
				return c.sendFinal(err)
			}
		}
	}
}

// callerName returns the name that a proxy sends, or its host.
func callerName(ctx context.Context) string {
	if md, ok := metadata.FromIncomingContext(ctx); ok {
		if v := md.Get(decisions.CallerMetadataKey); len(v) == 1 && httpfront.ValidID(v[0]) {
			return v[0]
		}
	}
	if p, ok := peer.FromContext(ctx); ok {
		if host, _, err := net.SplitHostPort(p.Addr.String()); err == nil {
			return host
		}
	}
	return "proxy"
}

// receive forwards the proxy's messages to c.messages until the stream ends.
func (c *call) receive(ctx context.Context) {
	defer close(c.messages)
	for {
		msg, err := c.stream.Recv()
		if err != nil {
			return
		}
		select {
		case c.messages <- msg:
		case <-ctx.Done():
			return
		}
	}
}

// release ends the request at the Coordinator when the proxy's stream has ended, so that nothing stays held for it.
func (c *call) release() {
	switch {
	case c.streaming:
		c.Coordinator.Ended(c.caller, c.grant.ID, decide.Cancelled)
	case c.id != "":
		c.Coordinator.CallerLeft(c.id)
	}
}

// handle answers one message of the proxy. done reports that the processor is done with the stream.
func (c *call) handle(ctx context.Context, msg *extprocv3.ProcessingRequest) (done bool, err error) {
	kind, err := c.sequence.handle(msg)
	switch {
	case errors.Is(err, errBodyTooLong), errors.Is(err, errBodyTruncated):
		return true, c.sendImmediate(http.StatusRequestEntityTooLarge, nil, err.Error())
	case errors.Is(err, errUnknownMessage):
		return true, status.Error(codes.Unimplemented, err.Error())
	case err != nil:
		c.Log.Info("bad message", "caller", c.caller, "err", err)
		return true, status.Error(codes.FailedPrecondition, err.Error())
	}
	switch kind {
	case stepRequestHeaders:
		return c.handleRequestHeaders(msg.GetRequestHeaders())
	case stepRequestBody, stepRequestTrailers:
		if !c.matched {
			return false, c.passThrough(kind, msg.GetRequestBody(), c.requestMode)
		}
		body := msg.GetRequestBody()
		c.body = append(c.body, body.GetBody()...)
		c.unanswered = append(c.unanswered, unansweredMessage{kind, len(body.GetBody()), body.GetEndOfStream()})
		if c.grant.ID != 0 || !c.requestComplete { // trailers after a complete body, or more is to come
			return false, c.answerPending()
		}
		return c.start(ctx)
	case stepResponseHeaders:
		if c.grant.ID != 0 {
			if done, err := c.handleResponseHeaders(msg); done || err != nil {
				return done, err
			}
		} else if c.matched {
			return true, status.Error(codes.FailedPrecondition, errNoRequestBody.Error())
		}
		c.reportEnd()
		return false, c.send(&extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_ResponseHeaders{
			ResponseHeaders: &extprocv3.HeadersResponse{Response: &extprocv3.CommonResponse{}}}})
	}
	c.reportEnd()
	return false, c.passThrough(kind, msg.GetResponseBody(), c.responseMode)
}

// reportEnd reports the end of the response to the Coordinator, once it has ended.
func (c *call) reportEnd() {
	if c.streaming && c.responseComplete {
		c.streaming, c.id = false, ""
		c.Coordinator.Ended(c.caller, c.grant.ID, decide.Served)
	}
}

// passThrough lets a message pass unchanged.
func (c *call) passThrough(kind step, body *extprocv3.HttpBody, mode modev3.ProcessingMode_BodySendMode) error {
	r := &extprocv3.ProcessingResponse{}
	text := &extprocv3.BodyResponse{Response: &extprocv3.CommonResponse{}}
	if mode == modev3.ProcessingMode_FULL_DUPLEX_STREAMED && body != nil {
		text.Response = &extprocv3.CommonResponse{BodyMutation: streamedMutation(body.Body, body.EndOfStream)}
	}
	switch kind {
	case stepRequestBody:
		r.Response = &extprocv3.ProcessingResponse_RequestBody{RequestBody: text}
	case stepResponseBody:
		r.Response = &extprocv3.ProcessingResponse_ResponseBody{ResponseBody: text}
	case stepRequestTrailers:
		r.Response = &extprocv3.ProcessingResponse_RequestTrailers{RequestTrailers: &extprocv3.TrailersResponse{}}
	default:
		r.Response = &extprocv3.ProcessingResponse_ResponseTrailers{ResponseTrailers: &extprocv3.TrailersResponse{}}
	}
	return c.send(r)
}

func streamedMutation(body []byte, end bool) *extprocv3.BodyMutation {
	return &extprocv3.BodyMutation{Mutation: &extprocv3.BodyMutation_StreamedResponse{
		StreamedResponse: &extprocv3.StreamedBodyResponse{Body: body, EndOfStream: end}}}
}

// handleRequestHeaders takes a request's headers, finds its route and decides how the body is obtained.
func (c *call) handleRequestHeaders(h *extprocv3.HttpHeaders) (bool, error) {
	c.parseRequestHeaders(h)
	if !c.Core.Admits(c.header.Get("X-Txn"), time.Now(), nil) { // the proxy's request would break with this stream
		return true, c.sendFinal(&decisions.Refused{RetryAfter: c.Core.BusyRetryAfter()})
	}
	r := &extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_RequestHeaders{
		RequestHeaders: &extprocv3.HeadersResponse{Response: &extprocv3.CommonResponse{}}}}
	if !c.matched {
		return false, c.send(r)
	}
	if c.requestComplete {
		return true, c.sendImmediate(http.StatusBadRequest, nil, "body: missing")
	}
	holdHeaders, override, err := c.headerAction(c.AllowModeOverride)
	if err != nil {
		c.Log.Warn("processing mode", "caller", c.caller, "err", err)
		return true, c.sendImmediate(http.StatusInternalServerError, nil, err.Error())
	}
	if c.holdHeaders = holdHeaders; holdHeaders {
		c.unanswered = append(c.unanswered, unansweredMessage{kind: stepRequestHeaders})
		return false, nil
	}
	if override {
		c.requestMode = modev3.ProcessingMode_BUFFERED
		r.ModeOverride = &modev3.ProcessingMode{RequestHeaderMode: modev3.ProcessingMode_SEND, ResponseHeaderMode: modev3.ProcessingMode_SEND,
			RequestBodyMode: modev3.ProcessingMode_BUFFERED, ResponseBodyMode: c.responseMode}
	}
	return false, c.send(r)
}

// parseRequestHeaders reads a request's headers.
func (c *call) parseRequestHeaders(h *extprocv3.HttpHeaders) {
	c.header = http.Header{}
	for _, v := range h.GetHeaders().GetHeaders() {
		value := v.Value
		if len(v.RawValue) > 0 {
			value = string(v.RawValue)
		}
		switch v.Key {
		case ":method":
			c.method = value
		case ":path":
			c.uri = value
		default:
			if !strings.HasPrefix(v.Key, ":") {
				c.header.Add(v.Key, value)
			}
		}
	}
	path, _, _ := strings.Cut(c.uri, "?")
	c.route, c.matched = c.Routes.Find(c.method, path)
}

// start parses the request, asks the Coordinator for a writer and sends the proxy the destination or the final answer.
func (c *call) start(ctx context.Context) (bool, error) {
	called := time.Now()
	if len(c.body) == 0 {
		return true, c.sendImmediate(http.StatusBadRequest, nil, "body: missing")
	}
	c.setDefaults()
	q, code, err := c.Classes.Parse(c.header, c.body)
	if err != nil {
		c.Log.Info("bad request", "status", code, "err", err)
		return true, c.sendImmediate(code, nil, err.Error())
	}
	q.CachedTokens = c.Core.CachedTokens(func() []byte { return httpfront.Prompt(c.body) })
	id := c.header.Get("X-Txn")
	q.Label = id
	g, worker, err := c.Coordinator.Choose(ctx, decisions.ChooseCall{Called: called, Query: q, ReadHere: true, Attached: true, SingleWrite: true,
		ChooseCall: grant.ChooseCall{Caller: c.caller, Request: id, Class: q.Class, NonIdempotent: c.Settings().Classes[q.Class].Effect == decide.Unsafe},
		NoRepeat:   true,
		Exchange:   &httpfront.Exchange{Workers: c.Workers, Method: c.method, URI: c.uri, Head: c.header, Body: c.body}})
	if err != nil {
		return true, c.sendFinal(err)
	}
	c.id, c.grant, c.worker, c.outcome = id, g, worker, c.Coordinator.Outcome(id)
	if _, err := c.Coordinator.TakeUp(c.caller, g.ID); err != nil { // it has been revoked in the meantime
		return true, c.sendFinal(&decisions.Refused{RetryAfter: c.Core.BusyRetryAfter()})
	}
	return false, c.answerPending()
}

// answerPending answers the messages received so far, as far as possible. The first answer that can carry the destination
// carries it.
func (c *call) answerPending() error {
	for len(c.unanswered) > 0 && (c.grant.ID != 0 || !c.holdHeaders) {
		p := c.unanswered[0]
		c.unanswered = c.unanswered[1:]
		common := &extprocv3.CommonResponse{}
		carries := c.grant.ID != 0 && (p.kind == stepRequestHeaders || !c.holdHeaders && p.kind == stepRequestBody)
		if carries {
			common.HeaderMutation, common.ClearRouteCache = headerMutation(c.destinationHeaders()), true
		}
		r := &extprocv3.ProcessingResponse{}
		switch p.kind {
		case stepRequestHeaders:
			r.Response = &extprocv3.ProcessingResponse_RequestHeaders{RequestHeaders: &extprocv3.HeadersResponse{Response: common}}
		case stepRequestTrailers:
			r.Response = &extprocv3.ProcessingResponse_RequestTrailers{RequestTrailers: &extprocv3.TrailersResponse{}}
		case stepRequestBody:
			text := c.body[:min(p.size, len(c.body))]
			c.body = c.body[len(text):]
			if c.requestMode == modev3.ProcessingMode_FULL_DUPLEX_STREAMED {
				if err := c.streamBody(text, p.last); err != nil {
					return err
				}
				continue
			}
			r.Response = &extprocv3.ProcessingResponse_RequestBody{RequestBody: &extprocv3.BodyResponse{Response: common}}
		}
		if carries {
			r.DynamicMetadata = c.metadata()
		}
		if err := c.send(r); err != nil {
			return err
		}
	}
	return nil
}

// streamBody streams a part of the body back to the proxy, in chunks.
func (c *call) streamBody(text []byte, last bool) error {
	for first := true; first || len(text) > 0; first = false {
		chunk := text[:min(maxChunkBytes, len(text))]
		text = text[len(chunk):]
		if err := c.send(&extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_RequestBody{RequestBody: &extprocv3.BodyResponse{
			Response: &extprocv3.CommonResponse{BodyMutation: streamedMutation(chunk, last && len(text) == 0)}}}}); err != nil {
			return err
		}
	}
	return nil
}

// destinationHeaders returns the headers that tell the proxy and the writer of the choice.
func (c *call) destinationHeaders() map[string]string {
	wait := max(1, c.grant.Deadline-c.grant.OfferedAt)
	headers := map[string]string{c.Destination: c.worker.Addr, "x-remaining-ms": strconv.FormatInt(max(1, wait.Milliseconds()), 10)}
	for _, name := range []string{"X-Txn", "X-Lane"} {
		headers[strings.ToLower(name)] = c.header.Get(name)
	}
	return headers
}

// metadata returns the destination and the class as dynamic metadata, for proxies that select endpoints by it.
func (c *call) metadata() *structpb.Struct {
	return &structpb.Struct{Fields: map[string]*structpb.Value{MetadataNamespace: structpb.NewStructValue(&structpb.Struct{
		Fields: map[string]*structpb.Value{c.Destination: structpb.NewStringValue(c.worker.Addr),
			"x-rowanyard-class": structpb.NewStringValue(c.header.Get("X-Lane"))}})}}
}

// setDefaults adds headers that the core needs and a client of another API may not send: the class comes from the route,
// the others get defaults.
func (c *call) setDefaults() {
	def := func(name, value string) {
		if c.header.Get(name) == "" {
			c.header.Set(name, value)
		}
	}
	if c.route.Class != "" {
		def("X-Lane", c.route.Class)
	}
	def("X-Txn", c.header.Get(requestIDHeader))
	def("X-Labels", fmt.Sprintf("prompt_len=%d", len(c.body)/charsPerToken))
	if class, ok := c.Classes[c.header.Get("X-Lane")]; ok && class < len(c.Settings().Classes) {
		def("X-Remaining-Ms", strconv.FormatInt(c.Settings().Classes[class].Deadline.Milliseconds(), 10))
	}
}

// handleResponseHeaders takes the headers of the writer's response. If the core does not accept them, it sends the final
// answer in their place.
func (c *call) handleResponseHeaders(msg *extprocv3.ProcessingRequest) (bool, error) {
	code, turnedAway := 0, false
	for _, v := range msg.GetResponseHeaders().GetHeaders().GetHeaders() {
		value := v.Value
		if len(v.RawValue) > 0 {
			value = string(v.RawValue)
		}
		switch strings.ToLower(v.Key) {
		case ":status":
			code, _ = strconv.Atoi(value)
		case "x-turned-away":
			turnedAway = value != ""
		}
	}
	result, fate := httpfront.ClassifyStatus(code, turnedAway), grant.Begun
	space := msg.GetMetadataContext().GetFilterMetadata()[MetadataNamespace]
	if served := space.GetFields()[ServedEndpointKey].GetStringValue(); served != "" && served != c.worker.Addr {
		// The proxy has used another endpoint, so it is unknown what ran there and whether anything runs at the granted one.
		c.Log.Error("another endpoint has served", "caller", c.caller, "granted", c.worker.Addr, "served", served)
		result = core.Result{Status: decide.Reset, Err: errors.New("another endpoint has served")}
	}
	switch result.Status {
	case 0:
	case decide.Rejected:
		fate = grant.TurnedAway
	default:
		fate = grant.Ran
	}
	outcome := c.outcome
	if outcome == nil {
		return true, c.sendFinal(decisions.ErrFailed)
	}
	c.outcome = nil
	if err := c.Coordinator.Report(c.caller, c.grant.ID, fate, result, false); err != nil {
		c.Log.Info("report of the answer was rejected", "caller", c.caller, "err", err)
	}
	if err := <-outcome; err != nil {
		return true, c.sendFinal(err)
	}
	c.streaming = true
	return false, nil
}

// sendFinal sends the final answer in place of a writer's response.
func (c *call) sendFinal(err error) error {
	var refused *decisions.Refused
	var busy *grant.BusyError
	after := time.Duration(0)
	switch {
	case errors.As(err, &refused):
		after = refused.RetryAfter
	case errors.As(err, &busy):
		after = busy.RetryAfter
	case errors.Is(err, decisions.ErrCallerGone):
		return nil
	case errors.Is(err, grant.ErrOtherCaller), errors.Is(err, grant.ErrMayHaveRun), errors.Is(err, grant.ErrAttemptPending), errors.Is(err, grant.ErrClassMismatch):
		return c.sendImmediate(http.StatusConflict, nil, "X-Txn: "+err.Error())
	case errors.Is(err, grant.ErrInvalidID):
		return c.sendImmediate(http.StatusBadRequest, nil, "X-Txn: "+err.Error())
	default:
		return c.sendImmediate(http.StatusBadGateway, nil, "failed, it may have run")
	}
	headers := map[string]string{}
	if after > 0 {
		headers["retry-after"] = strconv.FormatFloat(after.Seconds(), 'f', 3, 64)
	}
	return c.sendImmediate(http.StatusServiceUnavailable, headers, "refused, nothing has run")
}

func (c *call) sendImmediate(code int, headers map[string]string, text string) error {
	return c.send(&extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_ImmediateResponse{
		ImmediateResponse: &extprocv3.ImmediateResponse{Status: &typev3.HttpStatus{Code: typev3.StatusCode(code)},
			Headers: headerMutation(headers), Body: []byte(text), Details: "rowanyard"}}})
}

func (c *call) send(r *extprocv3.ProcessingResponse) error {
	err := c.stream.Send(r)
	if err == io.EOF {
		return nil
	}
	return err
}

func headerMutation(headers map[string]string) *extprocv3.HeaderMutation {
	m := &extprocv3.HeaderMutation{}
	for k, v := range headers {
		if v != "" {
			m.SetHeaders = append(m.SetHeaders, &corev3.HeaderValueOption{Header: &corev3.HeaderValue{Key: k, RawValue: []byte(v)},
				AppendAction: corev3.HeaderValueOption_OVERWRITE_IF_EXISTS_OR_ADD})
		}
	}
	return m
}
