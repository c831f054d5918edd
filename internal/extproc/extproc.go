// Package extproc is the external processor: proxies that speak Envoy's ext_proc v3 protocol call it for each request.
// The processor has the prompt read, tells the proxy which writer to go to, and is told by the proxy how the writer's
// answer begins and ends. Requests, attempts and outcomes are the same core's as those of the other fronts, and what a
// proxy may act on is a grant of the same desk's as for other callers.
//
// It must never touch what passes through the proxy but for the headers that name the writer and the time that is
// left, and never let the proxy carry a request's second write: a proxy can't take back the first. It is off unless an
// operator's file turns it on.
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

// What the endpoint picker convention names.
const (
	// DestinationHeader is the header that tells a proxy where to go, unless the operator names another.
	DestinationHeader = "x-gateway-destination-endpoint"
	// MetadataSpace is where the same is told as dynamic metadata.
	MetadataSpace = "envoy.lb"
	// ServedKey is the metadata, in the same space, with which a proxy says who has served.
	ServedKey = "x-gateway-destination-endpoint-served"
)

const (
	maxBody    = 256 << 10
	maxMessage = maxBody + 64<<10 // a buffered body and the heads
	maxChunk   = 60 << 10         // of a body that is streamed back
	charsToken = 4                // a token is about so many characters, where the client tells no length
	headID     = "X-Request-Id"   // names the request where the client has not
)

// Server answers proxies.
type Server struct {
	extprocv3.UnimplementedExternalProcessorServer
	Core        *core.Core
	Desk        *decisions.Desk
	Workers     *httpfront.Workers
	Classes     httpfront.Classes
	Settings    func() *decide.Settings // those in force
	Routes      *describe.Routes        // what the operator's descriptions say; nil: all requests are ours
	Destination string                  // the header that names the writer
	Override    bool                    // proxies let the processor change their processing mode
	MaxOpen     int64                   // requests open at once
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
	sequence
	stream extprocv3.ExternalProcessor_ProcessServer
	in     chan *extprocv3.ProcessingRequest
	caller string
	route  describe.Route
	ours   bool // a route of the descriptions
	hold   bool // the head is answered once the body is whole
	method string
	uri    string
	head   http.Header
	body   []byte
	id     string       // of the request, once it is at the desk
	grant  grant.Grant  // the write that the proxy carries, if ID is set
	over   <-chan error // how the request ends
	begun  bool         // the answer streams
	to     core.Worker  // where it goes
	parts  []part       // what came and is not answered
}

// part is a message of the request's that waits for its answer.
type part struct {
	kind step
	size int // of a part of the body
	last bool
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
	c := &call{Server: s, stream: stream, in: make(chan *extprocv3.ProcessingRequest), caller: callerOf(stream.Context()),
		sequence: sequence{most: maxBody, modes: modes{request: modev3.ProcessingMode_BUFFERED, answer: modev3.ProcessingMode_STREAMED}}}
	if s.open.Add(1) > s.MaxOpen { // guards the memory limit; the client is told when to come back
		return c.turnBack(&decisions.Refused{After: s.Core.Busy()})
	}
	ctx, stop := context.WithCancel(stream.Context())
	defer stop()
	go c.receive(ctx)
	defer c.leave() // however the proxy leaves
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
		case err := <-c.over: // while the proxy waits for the writer: it can only be a refusal or a failure
			c.over = nil
			if err != nil {
				return c.turnBack(err)
			}
		}
	}
}

// callerOf names a proxy: as it names itself, or by its host.
func callerOf(ctx context.Context) string {
	if md, ok := metadata.FromIncomingContext(ctx); ok {
		if v := md.Get(decisions.MetaCaller); len(v) == 1 && httpfront.ValidID(v[0]) {
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

// leave lets go of what the request holds: its stream has ended.
func (c *call) leave() {
	switch {
	case c.begun:
		c.Desk.Ended(c.caller, c.grant.ID, decide.Cancelled)
	case c.id != "":
		c.Desk.Leave(c.id)
	}
}

// take answers one message of the proxy. done says that the processor has no more to say.
func (c *call) take(ctx context.Context, msg *extprocv3.ProcessingRequest) (done bool, err error) {
	what, err := c.sequence.take(msg)
	switch {
	case errors.Is(err, errTooLong), errors.Is(err, errPartial):
		return true, c.immediate(http.StatusRequestEntityTooLarge, nil, err.Error())
	case errors.Is(err, errKind):
		return true, status.Error(codes.Unimplemented, err.Error())
	case err != nil:
		c.Log.Info("bad message", "caller", c.caller, "err", err)
		return true, status.Error(codes.FailedPrecondition, err.Error())
	}
	switch what {
	case stepHead:
		return c.takeHead(msg.GetRequestHeaders())
	case stepBody, stepTrailers:
		if !c.ours {
			return false, c.pass(what, msg.GetRequestBody(), c.request)
		}
		body := msg.GetRequestBody()
		c.body = append(c.body, body.GetBody()...)
		c.parts = append(c.parts, part{what, len(body.GetBody()), body.GetEndOfStream()})
		if c.grant.ID != 0 || !c.whole { // trailers after a body that was whole, or more is to come
			return false, c.answerParts()
		}
		return c.begin(ctx)
	case stepAnswer:
		if c.grant.ID != 0 {
			if done, err := c.began(msg); done || err != nil {
				return done, err
			}
		} else if c.ours {
			return true, status.Error(codes.FailedPrecondition, errHeads.Error())
		}
		c.ends()
		return false, c.say(&extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_ResponseHeaders{
			ResponseHeaders: &extprocv3.HeadersResponse{Response: &extprocv3.CommonResponse{}}}})
	}
	c.ends()
	return false, c.pass(what, msg.GetResponseBody(), c.answer)
}

// ends tells the desk once the answer has come to its end.
func (c *call) ends() {
	if c.begun && c.ended {
		c.begun, c.id = false, ""
		c.Desk.Ended(c.caller, c.grant.ID, decide.Served)
	}
}

// pass lets a message pass as it is.
func (c *call) pass(what step, body *extprocv3.HttpBody, mode modev3.ProcessingMode_BodySendMode) error {
	r := &extprocv3.ProcessingResponse{}
	text := &extprocv3.BodyResponse{Response: &extprocv3.CommonResponse{}}
	if mode == modev3.ProcessingMode_FULL_DUPLEX_STREAMED && body != nil {
		text.Response = &extprocv3.CommonResponse{BodyMutation: streamed(body.Body, body.EndOfStream)}
	}
	switch what {
	case stepBody:
		r.Response = &extprocv3.ProcessingResponse_RequestBody{RequestBody: text}
	case stepAnswerBody:
		r.Response = &extprocv3.ProcessingResponse_ResponseBody{ResponseBody: text}
	case stepTrailers:
		r.Response = &extprocv3.ProcessingResponse_RequestTrailers{RequestTrailers: &extprocv3.TrailersResponse{}}
	default:
		r.Response = &extprocv3.ProcessingResponse_ResponseTrailers{ResponseTrailers: &extprocv3.TrailersResponse{}}
	}
	return c.say(r)
}

func streamed(body []byte, end bool) *extprocv3.BodyMutation {
	return &extprocv3.BodyMutation{Mutation: &extprocv3.BodyMutation_StreamedResponse{
		StreamedResponse: &extprocv3.StreamedBodyResponse{Body: body, EndOfStream: end}}}
}

// takeHead takes a request's head and finds its route.
func (c *call) takeHead(h *extprocv3.HttpHeaders) (bool, error) {
	c.readHead(h)
	r := &extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_RequestHeaders{
		RequestHeaders: &extprocv3.HeadersResponse{Response: &extprocv3.CommonResponse{}}}}
	if !c.ours {
		return false, c.say(r)
	}
	if c.whole {
		return true, c.immediate(http.StatusBadRequest, nil, "body: missing")
	}
	hold, override, err := c.asks(c.Override)
	if err != nil {
		c.Log.Warn("processing mode", "caller", c.caller, "err", err)
		return true, c.immediate(http.StatusInternalServerError, nil, err.Error())
	}
	if c.hold = hold; hold {
		c.parts = append(c.parts, part{kind: stepHead})
		return false, nil
	}
	if override {
		c.request = modev3.ProcessingMode_BUFFERED
		r.ModeOverride = &modev3.ProcessingMode{RequestHeaderMode: modev3.ProcessingMode_SEND, ResponseHeaderMode: modev3.ProcessingMode_SEND,
			RequestBodyMode: modev3.ProcessingMode_BUFFERED, ResponseBodyMode: c.answer}
	}
	return false, c.say(r)
}

// readHead reads a request's head.
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

// begin reads the request, hands it to the desk and tells the proxy what the core says first: where to go, or the
// final answer.
func (c *call) begin(ctx context.Context) (bool, error) {
	called := time.Now()
	if len(c.body) == 0 {
		return true, c.immediate(http.StatusBadRequest, nil, "body: missing")
	}
	c.fill()
	q, code, err := c.Classes.Parse(c.head, c.body)
	if err != nil {
		c.Log.Info("bad request", "status", code, "err", err)
		return true, c.immediate(code, nil, err.Error())
	}
	q.Kept = c.Core.Kept(func() []byte { return httpfront.Prompt(c.body) })
	id := c.head.Get("X-Txn")
	q.Label = id
	g, to, err := c.Desk.Choose(ctx, decisions.Ask{Called: called, Query: q, ReadHere: true, Attached: true, OneWrite: true,
		Ask:      grant.Ask{Caller: c.caller, Request: id, Class: q.Class, Once: c.Settings().Classes[q.Class].Effect == decide.Unsafe},
		Fresh:    true,
		Exchange: &httpfront.Exchange{Workers: c.Workers, Method: c.method, URI: c.uri, Head: c.head, Body: c.body}})
	if err != nil {
		return true, c.turnBack(err)
	}
	c.id, c.grant, c.to, c.over = id, g, to, c.Desk.Over(id)
	if _, err := c.Desk.TakeUp(c.caller, g.ID); err != nil { // it was revoked since
		return true, c.turnBack(&decisions.Refused{After: c.Core.Busy()})
	}
	return false, c.answerParts()
}

// answerParts answers what has come of the request, as far as it can be: what names the writer goes out with the first
// answer that can carry it.
func (c *call) answerParts() error {
	for len(c.parts) > 0 && (c.grant.ID != 0 || !c.hold) {
		p := c.parts[0]
		c.parts = c.parts[1:]
		common := &extprocv3.CommonResponse{}
		carries := c.grant.ID != 0 && (p.kind == stepHead || !c.hold && p.kind == stepBody)
		if carries {
			common.HeaderMutation, common.ClearRouteCache = mutation(c.destination()), true
		}
		r := &extprocv3.ProcessingResponse{}
		switch p.kind {
		case stepHead:
			r.Response = &extprocv3.ProcessingResponse_RequestHeaders{RequestHeaders: &extprocv3.HeadersResponse{Response: common}}
		case stepTrailers:
			r.Response = &extprocv3.ProcessingResponse_RequestTrailers{RequestTrailers: &extprocv3.TrailersResponse{}}
		case stepBody:
			text := c.body[:min(p.size, len(c.body))]
			c.body = c.body[len(text):]
			if c.request == modev3.ProcessingMode_FULL_DUPLEX_STREAMED {
				if err := c.sendBack(text, p.last); err != nil {
					return err
				}
				continue
			}
			r.Response = &extprocv3.ProcessingResponse_RequestBody{RequestBody: &extprocv3.BodyResponse{Response: common}}
		}
		if carries {
			r.DynamicMetadata = c.metadata()
		}
		if err := c.say(r); err != nil {
			return err
		}
	}
	return nil
}

// sendBack streams a part of the body on.
func (c *call) sendBack(text []byte, last bool) error {
	for first := true; first || len(text) > 0; first = false {
		some := text[:min(maxChunk, len(text))]
		text = text[len(some):]
		if err := c.say(&extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_RequestBody{RequestBody: &extprocv3.BodyResponse{
			Response: &extprocv3.CommonResponse{BodyMutation: streamed(some, last && len(text) == 0)}}}}); err != nil {
			return err
		}
	}
	return nil
}

// destination is the headers that tell the proxy, and the writer, of the choice.
func (c *call) destination() map[string]string {
	wait := max(1, c.grant.Ends-c.grant.Offered)
	set := map[string]string{c.Destination: c.to.Addr, "x-remaining-ms": strconv.FormatInt(max(1, wait.Milliseconds()), 10)}
	for _, name := range []string{"X-Txn", "X-Lane"} {
		set[strings.ToLower(name)] = c.head.Get(name)
	}
	return set
}

// metadata tells the same where proxies pick endpoints by it, and the class.
func (c *call) metadata() *structpb.Struct {
	return &structpb.Struct{Fields: map[string]*structpb.Value{MetadataSpace: structpb.NewStructValue(&structpb.Struct{
		Fields: map[string]*structpb.Value{c.Destination: structpb.NewStringValue(c.to.Addr),
			"x-rowanyard-class": structpb.NewStringValue(c.head.Get("X-Lane"))}})}}
}

// fill adds what the core needs and a client of another API may not tell: the class comes from the route, the rest is
// what is usual.
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
	if class, ok := c.Classes[c.head.Get("X-Lane")]; ok && class < len(c.Settings().Classes) {
		def("X-Remaining-Ms", strconv.FormatInt(c.Settings().Classes[class].Deadline.Milliseconds(), 10))
	}
}

// began takes the head of the writer's answer and, where the core does not let it pass, answers in its place.
func (c *call) began(msg *extprocv3.ProcessingRequest) (bool, error) {
	code, away := 0, false
	for _, v := range msg.GetResponseHeaders().GetHeaders().GetHeaders() {
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
	result, fate := httpfront.Judge(code, away), grant.Begun
	space := msg.GetMetadataContext().GetFilterMetadata()[MetadataSpace]
	if served := space.GetFields()[ServedKey].GetStringValue(); served != "" && served != c.to.Addr {
		// The proxy has gone elsewhere: what ran there, and whether something runs here, nobody can say.
		c.Log.Error("another endpoint has served", "caller", c.caller, "granted", c.to.Addr, "served", served)
		result = core.Result{Status: decide.Reset, Err: errors.New("another endpoint has served")}
	}
	switch result.Status {
	case 0:
	case decide.Full:
		fate = grant.TurnedAway
	default:
		fate = grant.Ran
	}
	over := c.over
	if over == nil {
		return true, c.turnBack(decisions.ErrFailed)
	}
	c.over = nil
	if err := c.Desk.Report(c.caller, c.grant.ID, fate, result, false); err != nil {
		c.Log.Info("the answer came too late", "caller", c.caller, "err", err)
	}
	if err := <-over; err != nil {
		return true, c.turnBack(err)
	}
	c.begun = true
	return false, nil
}

// turnBack gives the final answer in place of a writer's.
func (c *call) turnBack(err error) error {
	var no *decisions.Refused
	var busy *grant.Busy
	after := time.Duration(0)
	switch {
	case errors.As(err, &no):
		after = no.After
	case errors.As(err, &busy):
		after = busy.After
	case errors.Is(err, decisions.ErrGone):
		return nil
	case errors.Is(err, grant.ErrOther), errors.Is(err, grant.ErrMayHaveRun), errors.Is(err, grant.ErrPending), errors.Is(err, grant.ErrClass):
		return c.immediate(http.StatusConflict, nil, "X-Txn: "+err.Error())
	case errors.Is(err, grant.ErrID):
		return c.immediate(http.StatusBadRequest, nil, "X-Txn: "+err.Error())
	default:
		return c.immediate(http.StatusBadGateway, nil, "failed, it may have run")
	}
	set := map[string]string{}
	if after > 0 {
		set["retry-after"] = strconv.FormatFloat(after.Seconds(), 'f', 3, 64)
	}
	return c.immediate(http.StatusServiceUnavailable, set, "refused, nothing has run")
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
