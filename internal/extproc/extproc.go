// Package extproc is the external processor: proxies that speak Envoy's ext_proc v3 protocol call it
// for each request. The processor has the prompt read, tells the proxy which writer to go to, and is
// told by the proxy how the writer's answer begins and ends. Requests, attempts and outcomes are the
// same core's as those of the other fronts.
//
// It must never touch what passes through the proxy but for the headers that name the writer and the
// time that is left, and never let the proxy carry a request's second write: a proxy can't take back
// the first. It is off unless an operator's file turns it on.
package extproc

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"rowanyard/decide"
	"rowanyard/internal/core"
	"rowanyard/internal/describe"
	"rowanyard/internal/grpcfront"
	"rowanyard/internal/httpfront"
)

// DestinationHeader is the header that tells a proxy where to go, unless the operator names another.
const DestinationHeader = "x-gateway-destination-endpoint"

const (
	maxMessage = 256<<10 + 64<<10 // a buffered body and the heads
	charsToken = 4                // a token is about so many characters, where the client tells no length
	headID     = "X-Request-Id"   // names the request where the client has not
)

// Server answers proxies.
type Server struct {
	extprocv3.UnimplementedExternalProcessorServer
	Core        *core.Core
	Workers     *httpfront.Workers
	Classes     httpfront.Classes
	Settings    decide.Settings
	Routes      *describe.Routes // what the operator's descriptions say; nil: all requests are ours
	Destination string           // the header that names the writer
	MaxOpen     int64            // requests open at once
	Log         *slog.Logger
	open        atomic.Int64
}

// GRPC returns a gRPC server with the processor registered.
func (s *Server) GRPC() *grpc.Server {
	g := grpc.NewServer(grpcfront.Bounds(maxMessage)...)
	extprocv3.RegisterExternalProcessorServer(g, s)
	return g
}

// call is one HTTP request of a proxy.
type call struct {
	*Server
	stream  extprocv3.ExternalProcessor_ProcessServer
	in      chan *extprocv3.ProcessingRequest
	route   describe.Route
	ours    bool // a route of the descriptions
	method  string
	uri     string
	head    http.Header
	body    []byte
	carrier *carrier
	answers chan core.Answer
	answer  core.Answer
	free    func() // gives its id back, nil = it has none
}

// Process is the life of one HTTP request at a proxy, from its head to the end of its answer.
func (s *Server) Process(stream extprocv3.ExternalProcessor_ProcessServer) (err error) {
	defer func() {
		if p := recover(); p != nil {
			s.Log.Error("external processor panicked", "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
			err = status.Error(codes.Internal, "failed")
		}
	}()
	defer s.open.Add(-1)
	c := &call{Server: s, stream: stream, in: make(chan *extprocv3.ProcessingRequest), answers: make(chan core.Answer, 1)}
	if s.open.Add(1) > s.MaxOpen { // guards the memory limit; the client is told when to come back
		c.answer = core.Answer{Verdict: core.Refused, RetryAfter: s.Core.Busy()}
		return c.turnBack()
	}
	ctx, stop := context.WithCancel(stream.Context())
	defer stop()
	go c.receive(ctx)
	// However the proxy leaves, a stream that it carried has ended.
	defer func() {
		if c.answer.Ended != nil {
			c.answer.Ended(decide.Cancelled)
		}
		if c.free != nil {
			c.free()
		}
	}()
	for {
		select {
		case msg, open := <-c.in:
			if !open {
				return nil
			}
			done, err := c.take(ctx, msg)
			if done || err != nil {
				return err
			}
		case c.answer = <-c.answers: // while the proxy waits for the writer: it can only be a refusal or a failure
			return c.turnBack()
		}
	}
}

// receive reads what the proxy says.
func (c *call) receive(ctx context.Context) {
	defer close(c.in)
	for {
		msg, err := c.stream.Recv()
		if err != nil {
			return
		}
		select {
		case c.in <- msg:
		case <-ctx.Done():
			return
		}
	}
}

// take answers one message of the proxy. done says that the processor has no more to say.
func (c *call) take(ctx context.Context, msg *extprocv3.ProcessingRequest) (done bool, err error) {
	goOn := &extprocv3.CommonResponse{}
	switch m := msg.Request.(type) {
	case *extprocv3.ProcessingRequest_RequestHeaders:
		c.readHead(m.RequestHeaders)
		if c.ours && m.RequestHeaders.EndOfStream {
			return true, c.immediate(http.StatusBadRequest, nil, "body: missing")
		}
		return false, c.say(&extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_RequestHeaders{
			RequestHeaders: &extprocv3.HeadersResponse{Response: goOn}}})
	case *extprocv3.ProcessingRequest_RequestBody:
		if c.ours && c.carrier == nil {
			if !m.RequestBody.EndOfStream {
				return true, status.Error(codes.FailedPrecondition, "request_body_mode must be BUFFERED")
			}
			c.body = m.RequestBody.Body
			return c.begin(ctx)
		}
		return false, c.say(&extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_RequestBody{
			RequestBody: &extprocv3.BodyResponse{Response: goOn}}})
	case *extprocv3.ProcessingRequest_ResponseHeaders:
		if c.carrier != nil {
			if done, err := c.began(m.ResponseHeaders); done || err != nil {
				return done, err
			}
		}
		return false, c.say(&extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_ResponseHeaders{
			ResponseHeaders: &extprocv3.HeadersResponse{Response: goOn}}})
	case *extprocv3.ProcessingRequest_ResponseBody:
		if m.ResponseBody.EndOfStream && c.answer.Ended != nil {
			c.answer.Ended(decide.Served)
		}
		return false, c.say(&extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_ResponseBody{
			ResponseBody: &extprocv3.BodyResponse{Response: goOn}}})
	case *extprocv3.ProcessingRequest_RequestTrailers:
		return false, c.say(&extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_RequestTrailers{
			RequestTrailers: &extprocv3.TrailersResponse{}}})
	case *extprocv3.ProcessingRequest_ResponseTrailers:
		if c.answer.Ended != nil {
			c.answer.Ended(decide.Served)
		}
		return false, c.say(&extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_ResponseTrailers{
			ResponseTrailers: &extprocv3.TrailersResponse{}}})
	}
	return true, status.Error(codes.Unimplemented, "a message of a kind that is not known")
}

// readHead takes a request's head and finds its route.
func (c *call) readHead(h *extprocv3.HttpHeaders) {
	c.head = http.Header{}
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
				c.head.Add(v.Key, value)
			}
		}
	}
	path, _, _ := strings.Cut(c.uri, "?")
	c.route, c.ours = c.Routes.Find(c.method, path)
}

// begin reads the request, hands it to the core and tells the proxy what the core says first: where
// to go, or the final answer.
func (c *call) begin(ctx context.Context) (bool, error) {
	c.fill()
	q, code, err := c.Classes.Parse(c.head, c.body)
	if err == nil {
		if c.free, err = c.claim(c.head.Get("X-Txn")); err != nil {
			code = http.StatusConflict
		}
	}
	if err != nil {
		c.Log.Info("bad request", "status", code, "err", err)
		return true, c.immediate(code, nil, err.Error())
	}
	c.carrier = &carrier{carry: make(chan core.Attempt, 1), result: make(chan core.Result, 1), Exchange: &httpfront.Exchange{
		Workers: c.Workers, Method: c.method, URI: c.uri, Head: c.head, Body: c.body}}
	go func() { c.answers <- c.Core.Serve(ctx, q, c.carrier) }()
	select {
	case a := <-c.carrier.carry:
		set := map[string]string{c.Destination: a.To.Addr, "x-remaining-ms": strconv.FormatInt(max(1, a.Wait.Milliseconds()), 10)}
		for _, name := range []string{"X-Txn", "X-Lane"} {
			set[strings.ToLower(name)] = c.head.Get(name)
		}
		return false, c.say(&extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_RequestBody{
			RequestBody: &extprocv3.BodyResponse{Response: &extprocv3.CommonResponse{
				HeaderMutation: mutation(set), ClearRouteCache: true}}}})
	case c.answer = <-c.answers:
		return true, c.turnBack()
	}
}

// claim takes the id until the call ends: the first request with it goes on untouched.
func (c *call) claim(id string) (func(), error) {
	free, ok := c.Core.Claim(id)
	if !ok {
		return nil, fmt.Errorf("X-Txn: %q is open already", id)
	}
	return free, nil
}

// fill adds what the core needs and a client of another API may not tell: the class comes from the
// route, the rest is what is usual.
func (c *call) fill() {
	def := func(name, value string) {
		if c.head.Get(name) == "" {
			c.head.Set(name, value)
		}
	}
	if c.route.Class != "" {
		def("X-Lane", c.route.Class)
	}
	def("X-Txn", c.head.Get(headID))
	def("X-Labels", fmt.Sprintf("prompt_len=%d", len(c.body)/charsToken))
	if class, ok := c.Classes[c.head.Get("X-Lane")]; ok && class < len(c.Settings.Classes) {
		def("X-Remaining-Ms", strconv.FormatInt(c.Settings.Classes[class].Deadline.Milliseconds(), 10))
	}
}

// began takes the head of the writer's answer and, where the core does not let it pass, answers in
// its place.
func (c *call) began(h *extprocv3.HttpHeaders) (bool, error) {
	code, away := 0, false
	for _, v := range h.GetHeaders().GetHeaders() {
		value := v.Value
		if len(v.RawValue) > 0 {
			value = string(v.RawValue)
		}
		switch strings.ToLower(v.Key) {
		case ":status":
			code, _ = strconv.Atoi(value)
		case "x-turned-away":
			away = value != ""
		}
	}
	c.carrier.result <- httpfront.Judge(code, away)
	c.answer = <-c.answers
	if c.answer.Verdict != core.Streaming {
		return true, c.turnBack()
	}
	if h.EndOfStream {
		c.answer.Ended(decide.Served)
	}
	return false, nil
}

// turnBack gives the final answer in place of a writer's.
func (c *call) turnBack() error {
	switch c.answer.Verdict {
	case core.Refused:
		set := map[string]string{}
		if c.answer.RetryAfter > 0 {
			set["retry-after"] = strconv.FormatFloat(c.answer.RetryAfter.Seconds(), 'f', 3, 64)
		}
		return c.immediate(http.StatusServiceUnavailable, set, "refused, nothing has run")
	case core.Gone:
		return nil
	}
	return c.immediate(http.StatusBadGateway, nil, "failed, it may have run")
}

func (c *call) immediate(code int, set map[string]string, text string) error {
	return c.say(&extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_ImmediateResponse{
		ImmediateResponse: &extprocv3.ImmediateResponse{Status: &typev3.HttpStatus{Code: typev3.StatusCode(code)},
			Headers: mutation(set), Body: []byte(text), Details: "rowanyard"}}})
}

func (c *call) say(r *extprocv3.ProcessingResponse) error {
	err := c.stream.Send(r)
	if err == io.EOF {
		return nil
	}
	return err
}

func mutation(set map[string]string) *extprocv3.HeaderMutation {
	m := &extprocv3.HeaderMutation{}
	for k, v := range set {
		if v != "" {
			m.SetHeaders = append(m.SetHeaders, &corev3.HeaderValueOption{Header: &corev3.HeaderValue{Key: k, RawValue: []byte(v)},
				AppendAction: corev3.HeaderValueOption_OVERWRITE_IF_EXISTS_OR_ADD})
		}
	}
	return m
}

// carrier carries reads and releases itself and leaves the one write to the proxy.
type carrier struct {
	*httpfront.Exchange
	used   atomic.Bool
	carry  chan core.Attempt // the write that the proxy is to carry
	result chan core.Result  // how its answer began
}

// Try implements core.Carrier.
func (c *carrier) Try(ctx context.Context, a core.Attempt) core.Result {
	if a.Read {
		return c.Exchange.Try(ctx, a)
	}
	// The proxy has let go of the request's head with the first write: it can't go elsewhere.
	if !a.Allowed() || !c.used.CompareAndSwap(false, true) {
		return core.Result{Status: decide.Moot}
	}
	c.carry <- a
	select {
	case r := <-c.result:
		return r
	case <-ctx.Done():
		return core.Result{Status: decide.Cancelled}
	}
}
