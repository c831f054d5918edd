package decisions

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"runtime/debug"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"rowanyard/decide"
	"rowanyard/internal/core"
	"rowanyard/internal/decisions/pb"
	"rowanyard/internal/describe"
	"rowanyard/internal/grant"
	"rowanyard/internal/grpcfront"
	"rowanyard/internal/httpfront"
)

// CallerMetadataKey is the metadata key under which a caller sends its name.
const CallerMetadataKey = "rowanyard-caller"

const (
	maxMessageBytes     = 256<<10 + 4<<10
	maxTokens           = 1 << 30
	maxTimeout          = 10 * time.Minute
	maxGrantsPerMessage = 1000
)

// Server implements the gRPC service rowanyard.v1.Decisions. All its state is in the Coordinator.
type Server struct {
	pb.UnimplementedDecisionsServer
	Coordinator *Coordinator
	Classes     httpfront.Classes
	Names       []string                // names of the classes, by number
	Settings    func() *decide.Settings // returns the settings in force
	Routes      *describe.Routes
	Log         *slog.Logger
}

// GRPC returns a gRPC server with the service registered.
func (s *Server) GRPC() *grpc.Server {
	recoverPanic := func(err *error) {
		if p := recover(); p != nil {
			s.Log.Error("call panicked", "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
			*err = status.Error(codes.Internal, "failed")
		}
	}
	g := grpc.NewServer(append(grpcfront.ServerLimits(maxMessageBytes),
		grpc.UnaryInterceptor(func(ctx context.Context, req any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (res any, err error) {
			defer recoverPanic(&err)
			return next(ctx, req)
		}),
		grpc.StreamInterceptor(func(srv any, ss grpc.ServerStream, _ *grpc.StreamServerInfo, next grpc.StreamHandler) (err error) {
			defer recoverPanic(&err)
			return next(srv, ss)
		}))...)
	pb.RegisterDecisionsServer(g, s)
	return g
}

// statusCode returns the code of the status for an error of the Coordinator.
func statusCode(err error) codes.Code {
	for _, x := range []struct {
		is   error
		code codes.Code
	}{
		{grant.ErrInvalidID, codes.InvalidArgument}, {grant.ErrUnknownGrant, codes.NotFound}, {grant.ErrOtherCaller, codes.PermissionDenied},
		{grant.ErrClassMismatch, codes.FailedPrecondition}, {grant.ErrAttemptOrder, codes.FailedPrecondition}, {grant.ErrAttemptPending, codes.FailedPrecondition},
		{grant.ErrInvalidState, codes.FailedPrecondition}, {grant.ErrMayHaveRun, codes.Aborted}, {ErrCallerGone, codes.Canceled}, {ErrFailed, codes.Internal},
	} {
		if errors.Is(err, x.is) {
			return x.code
		}
	}
	return codes.Internal
}

// statusError converts an error of the Coordinator into a gRPC status with a retry delay where there is one.
func statusError(err error) error {
	var busy *grant.BusyError
	var refused *Refused
	code, after := statusCode(err), time.Duration(0)
	switch {
	case errors.As(err, &busy):
		code, after = codes.ResourceExhausted, busy.RetryAfter
	case errors.As(err, &refused):
		code, after = codes.Unavailable, refused.RetryAfter
	default:
		return status.Error(code, err.Error())
	}
	st := status.New(code, err.Error())
	if with, err := st.WithDetails(&errdetails.RetryInfo{RetryDelay: durationpb.New(after)}); err == nil {
		st = with
	}
	return st.Err()
}

func callerName(ctx context.Context) (string, error) {
	md, _ := metadata.FromIncomingContext(ctx)
	if v := md.Get(CallerMetadataKey); len(v) == 1 && httpfront.ValidID(v[0]) {
		return v[0], nil
	}
	return "", status.Errorf(codes.InvalidArgument, "metadata %s: want one name of letters, digits, - and _", CallerMetadataKey)
}

// Choose implements the service.
func (s *Server) Choose(ctx context.Context, r *pb.ChooseRequest) (*pb.Choice, error) {
	called := time.Now()
	caller, err := callerName(ctx)
	if err != nil {
		return nil, err
	}
	class, q, err := s.parseRequest(ctx, r)
	if err != nil {
		s.Log.Info("bad request", "caller", caller, "err", err)
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	head := http.Header{"Content-Type": {"application/json"}, "X-Txn": {r.Request}, "X-Lane": {s.Names[class]},
		"X-Labels": {fmt.Sprintf("prompt_len=%d,max_out=%d", r.PromptTokens, r.MaxOutputTokens)}}
	if len(r.Body) > 0 {
		q.CachedTokens = s.Coordinator.core.CachedTokens(func() []byte { return httpfront.Prompt(r.Body) })
	}
	q.Leased = true // state is held for as long as the caller renews; see grant.Config
	path := r.Path
	if path == "" {
		path = httpfront.PathChat
	}
	a := ChooseCall{ChooseCall: grant.ChooseCall{Caller: caller, Request: r.Request, Attempt: int(r.Attempt), Class: class,
		NonIdempotent: s.Settings().Classes[class].Effect == decide.Unsafe}, Called: called, Query: q, ReadHere: r.ReadHere,
		Exchange: &httpfront.Exchange{Workers: s.Coordinator.workers, Method: http.MethodPost, URI: path, Head: head, Body: r.Body}}
	g, to, err := s.Coordinator.Choose(ctx, a)
	if err != nil {
		return nil, statusError(err)
	}
	switch g.State {
	case grant.Offered, grant.TakenUp:
	default:
		return nil, statusError(fmt.Errorf("%w: the grant is %v", grant.ErrInvalidState, g.State))
	}
	stage := pb.Stage_STAGE_WRITE
	if g.Read {
		stage = pb.Stage_STAGE_READ
	}
	watched := false
	s.Coordinator.Table(func(_ time.Duration, t *grant.Table) { watched = t.Watched(caller) })
	return &pb.Choice{Grant: g.ID, Attempt: int32(g.Attempt), Worker: g.Worker, Endpoint: to.Addr, Stage: stage,
		Class: s.Names[g.Class()], Valid: durationpb.New(s.Coordinator.Valid(g, called)),
		Within: durationpb.New(s.Coordinator.Within(g, called)), Watched: watched}, nil
}

// parseRequest checks and converts a request. Its class comes from the request itself or from the API descriptions.
func (s *Server) parseRequest(ctx context.Context, r *pb.ChooseRequest) (int, decide.Request, error) {
	var q decide.Request
	name := r.Class
	if r.Method != "" || r.Path != "" {
		route, ok := s.Routes.Find(r.Method, r.Path)
		switch {
		case !ok:
			return 0, q, fmt.Errorf("path: no operation %s %s", r.Method, r.Path)
		case route.Class != "" && name != "" && name != route.Class:
			return 0, q, fmt.Errorf("class: %q, the description of %s %s says %q", name, r.Method, r.Path, route.Class)
		case route.Class != "":
			name = route.Class
		}
	}
	class, ok := s.Classes[name]
	switch {
	case !httpfront.ValidID(r.Request):
		return 0, q, fmt.Errorf("request: %.80q", r.Request)
	case !ok || class >= len(s.Settings().Classes):
		return 0, q, fmt.Errorf("class: unknown class %.80q", name)
	case r.Attempt < 0:
		return 0, q, fmt.Errorf("attempt: %d", r.Attempt)
	case r.ReadHere && len(r.Body) == 0 && r.Attempt == 0:
		return 0, q, errors.New("body: missing, and the router is to have it read")
	}
	for name, n := range map[string]int64{"prompt_tokens": r.PromptTokens, "prefix_tokens": r.PrefixTokens, "max_output_tokens": r.MaxOutputTokens} {
		if n < 0 || n > maxTokens {
			return 0, q, fmt.Errorf("%s: %d", name, n)
		}
	}
	left := s.Settings().Classes[class].Deadline
	if r.FirstTokenWithin != nil {
		left = r.FirstTokenWithin.AsDuration()
	}
	if end, ok := ctx.Deadline(); ok && r.FirstTokenWithin == nil {
		left = min(left, time.Until(end))
	}
	hint := r.Estimate.AsDuration()
	if left < 0 || left > maxTimeout || hint < 0 || hint > time.Hour {
		return 0, q, errors.New("first_token_within or estimate: out of range")
	}
	return class, decide.Request{Label: r.Request, Class: class, TimeLeft: left, Session: r.Session, Prefix: r.Prefix, PromptLength: int(r.PromptTokens),
		PrefixLength: int(r.PrefixTokens), MaxOutput: int(r.MaxOutputTokens), DurationHint: hint, ClientRetry: r.Resent}, nil
}

// Renew implements the service.
func (s *Server) Renew(ctx context.Context, r *pb.RenewRequest) (*pb.RenewReply, error) {
	called := time.Now()
	caller, err := callerName(ctx)
	if err != nil {
		return nil, err
	}
	if len(r.Grants)+len(r.TakenUp) > maxGrantsPerMessage {
		return nil, status.Errorf(codes.InvalidArgument, "grants: %d, %d at most", len(r.Grants)+len(r.TakenUp), maxGrantsPerMessage)
	}
	reply := &pb.RenewReply{}
	add := func(id uint64, g grant.Grant, err error) {
		x := &pb.RenewReply_Renewed{Grant: id}
		if err != nil {
			x.Why = err.Error()
		} else {
			x.Valid = durationpb.New(s.Coordinator.Valid(g, called))
		}
		reply.Grants = append(reply.Grants, x)
	}
	for _, id := range r.TakenUp {
		g, err := s.Coordinator.TakeUp(caller, id)
		add(id, g, err)
	}
	for _, id := range r.Grants {
		g, err := s.Coordinator.Renew(caller, id)
		add(id, g, err)
	}
	return reply, nil
}

// Report implements the service.
func (s *Server) Report(ctx context.Context, r *pb.ReportRequest) (*pb.ReportReply, error) {
	caller, err := callerName(ctx)
	if err != nil {
		return nil, err
	}
	if r.CachedTokens < 0 || r.CachedTokens > maxTokens {
		return nil, status.Errorf(codes.InvalidArgument, "cached_tokens: %d", r.CachedTokens)
	}
	if r.Fate == pb.Fate_FATE_ENDED {
		err = s.Coordinator.Ended(caller, r.Grant, decide.Served)
	} else {
		fate, result, ok := resultOfReport(r)
		if !ok {
			return nil, status.Errorf(codes.InvalidArgument, "fate: %v", r.Fate)
		}
		err = s.Coordinator.Report(caller, r.Grant, fate, result, r.Over)
	}
	if err != nil {
		return nil, statusError(err)
	}
	return &pb.ReportReply{}, nil
}

// resultOfReport converts a report to the forms of the Table and of the core.
func resultOfReport(r *pb.ReportRequest) (grant.Fate, core.Result, bool) {
	switch r.Fate {
	case pb.Fate_FATE_NOT_SENT:
		if r.Errored {
			return grant.NotSent, core.Result{Status: decide.ConnectFailed}, true
		}
		return grant.NotSent, core.Result{Status: decide.Unsent}, true
	case pb.Fate_FATE_TURNED_AWAY:
		return grant.TurnedAway, core.Result{Status: decide.Rejected, NoState: r.NoState}, true
	case pb.Fate_FATE_READ:
		return grant.Read, core.Result{Status: decide.Read, CachedTokens: int(r.CachedTokens)}, true
	case pb.Fate_FATE_BEGUN:
		return grant.Begun, core.Result{}, true
	case pb.Fate_FATE_RAN:
		status := decide.Reset
		if r.Errored {
			status = decide.Errored
		} else if r.TimedOut {
			status = decide.TimedOut
		}
		return grant.Ran, core.Result{Status: status}, true
	}
	return 0, core.Result{}, false
}

// Watch implements the service.
func (s *Server) Watch(stream grpc.BidiStreamingServer[pb.Ping, pb.Watching]) error {
	caller, err := callerName(stream.Context())
	if err != nil {
		return err
	}
	w, err := s.Coordinator.Watch(caller)
	if err != nil {
		return statusError(err)
	}
	defer w.Close()
	pings := make(chan uint64, 1)
	ended := make(chan error, 1)
	go func() {
		for {
			p, err := stream.Recv()
			if err != nil {
				ended <- err
				return
			}
			select { // a caller that pings faster than it reads gets only the latest ping answered
			case pings <- p.Number:
			default:
				select {
				case <-pings:
				default:
				}
				select {
				case pings <- p.Number:
				default:
				}
			}
		}
	}()
	watchTimeout := durationpb.New(s.Coordinator.config.WatchTimeout)
	if err := stream.Send(&pb.Watching{Seq: w.Seq, Heard: watchTimeout}); err != nil {
		return err
	}
	for {
		var pong uint64
		select {
		case err := <-ended:
			if err == io.EOF {
				return nil
			}
			return err
		case pong = <-pings:
		case <-w.Wake:
		case <-stream.Context().Done():
			return status.FromContextError(stream.Context().Err()).Err()
		}
		revocations, seq, over := w.Next()
		if over {
			return status.Error(codes.Aborted, "a newer stream of this caller has begun")
		}
		out := &pb.Watching{Seq: seq, Pong: pong, Heard: watchTimeout}
		for _, r := range revocations {
			out.Revocations = append(out.Revocations, &pb.Revocation{Seq: r.Seq, Grant: r.Grant, Request: r.Request, Worker: r.Worker, Why: r.Why})
		}
		if err := stream.Send(out); err != nil {
			return err
		}
	}
}

// Grants implements the service.
func (s *Server) Grants(_ context.Context, r *pb.GrantsRequest) (*pb.GrantsReply, error) {
	most := int(r.Most)
	if most <= 0 || most > maxGrantsPerMessage {
		most = maxGrantsPerMessage
	}
	reply := &pb.GrantsReply{}
	s.Coordinator.Table(func(now time.Duration, t *grant.Table) {
		c := t.Count()
		reply.Requests, reply.Effects, reply.Callers = int64(c.Requests), int64(c.Effects), int64(c.Callers)
		for _, l := range t.List(now, most) {
			stage := pb.Stage_STAGE_WRITE
			if l.Read {
				stage = pb.Stage_STAGE_READ
			}
			reply.Grants = append(reply.Grants, &pb.GrantsReply_Line{Grant: l.Grant, Request: l.Request, Caller: l.Caller, Class: s.Names[l.Class],
				Attempt: int32(l.Attempt), Worker: l.Worker, Stage: stage, State: l.State.String(), Age: durationpb.New(l.Age), Left: durationpb.New(l.Left)})
		}
	})
	return reply, nil
}
