// Package grpcfront is the second front: gRPC with token streams, towards clients and towards the
// model servers that answer by gRPC. This file owns the side of the clients.
//
// It must never decide anything about a request, send one again, or hold back a final answer; all
// of that is the core's. It is off unless an operator's file turns it on.
package grpcfront

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"runtime/debug"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"rowanyard/decide"
	"rowanyard/internal/core"
	"rowanyard/internal/grpcfront/pb"
	"rowanyard/internal/httpfront"
)

const (
	maxMessage = 256<<10 + 4<<10 // a body and what names it
	maxTokens  = 1 << 30
	maxWait    = 10 * time.Minute
	firstWord  = 2 * time.Second // a connection is open for calls after this
	idleTime   = time.Minute     // or without a call for so long is closed
	maxStreams = 256             // calls on one connection
)

// Server serves gRPC clients.
type Server struct {
	pb.UnimplementedCompletionsServer
	// Over ends when streams that still run are handed over: they break, and their clients ask another router
	// for the rest. nil: never. Set before serving.
	Over    context.Context
	core    *core.Core
	workers *Workers
	http    *httpfront.Workers
	classes map[string]int
	log     *slog.Logger
	open    chan struct{} // bounds the calls that are open at once
}

// NewServer returns a Server of the classes with the given names; at most maxOpen calls are open at once.
func NewServer(c *core.Core, w *Workers, h *httpfront.Workers, classNames []string, maxOpen int, log *slog.Logger) *Server {
	s := &Server{core: c, workers: w, http: h, classes: make(map[string]int), log: log, open: make(chan struct{}, maxOpen)}
	for i, name := range classNames {
		s.classes[name] = i
	}
	return s
}

// Bounds are the limits of a server towards clients that say nothing, stand idle or send too much.
func Bounds(message int) []grpc.ServerOption {
	return []grpc.ServerOption{grpc.MaxRecvMsgSize(message), grpc.MaxHeaderListSize(maxHeads),
		grpc.ConnectionTimeout(firstWord), grpc.MaxConcurrentStreams(maxStreams),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: idleTime})}
}

// GRPC returns a gRPC server with this front's service registered.
func (s *Server) GRPC() *grpc.Server {
	g := grpc.NewServer(append(Bounds(maxMessage), grpc.StreamInterceptor(s.guard))...)
	pb.RegisterCompletionsServer(g, s)
	return g
}

// guard ends a call that panicked with a failure, not the router.
func (s *Server) guard(srv any, ss grpc.ServerStream, _ *grpc.StreamServerInfo, next grpc.StreamHandler) (err error) {
	defer func() {
		if p := recover(); p != nil {
			s.log.Error("call panicked", "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
			err = status.Error(codes.Internal, "failed")
		}
	}()
	return next(srv, ss)
}

// Complete implements the service: one request, one final answer.
func (s *Server) Complete(req *pb.CompleteRequest, out grpc.ServerStreamingServer[pb.Chunk]) error {
	select {
	case s.open <- struct{}{}:
		defer func() { <-s.open }()
	default: // guards the memory limit; nothing has run
		return refusal(codes.ResourceExhausted, "too many calls are open", s.core.Busy())
	}
	q, err := s.parse(out.Context(), req)
	if err != nil {
		s.log.Info("bad request", "err", err)
		return status.Error(codes.InvalidArgument, err.Error())
	}
	free, ok := s.core.Claim(req.Id)
	if !ok { // the first request with it goes on untouched
		return status.Errorf(codes.AlreadyExists, "id: %q is open already", req.Id)
	}
	defer free()
	q.Kept = s.core.Kept(func() (text []byte) {
		for _, m := range req.Messages {
			text = append(text, m.Content...)
		}
		return text
	})
	a := s.core.Serve(out.Context(), q, s.exchange(req))
	switch a.Verdict {
	case core.Streaming:
		return relay(a, out, s.Over)
	case core.Refused:
		return refusal(codes.Unavailable, "refused, nothing has run", a.RetryAfter)
	case core.Gone:
		return status.FromContextError(context.Cause(out.Context())).Err()
	}
	// Not UNAVAILABLE, DEADLINE_EXCEEDED or ABORTED: clients and meshes send those again by
	// themselves, and the request may have had its effect.
	return status.Error(codes.Internal, "failed, it may have run")
}

// refusal is a status that invites the client to come back, and says when.
func refusal(code codes.Code, text string, after time.Duration) error {
	st := status.New(code, text)
	if with, err := st.WithDetails(&errdetails.RetryInfo{RetryDelay: durationpb.New(after)}); err == nil {
		st = with
	}
	return st.Err()
}

// relay passes a worker's stream on, chunk by chunk.
func relay(a core.Answer, out grpc.ServerStreamingServer[pb.Chunk], over context.Context) error {
	from := a.Stream.(chunks)
	defer from.Close()
	for first := true; ; first = false {
		if !first && over != nil && over.Err() != nil {
			a.Ended(decide.Cancelled)
			return status.Error(codes.DataLoss, "the router ends, ask for the rest")
		}
		c, err := from.Recv()
		switch {
		case err == io.EOF:
			a.Ended(decide.Served)
			return nil
		case err != nil:
			a.Ended(decide.Reset)
			if out.Context().Err() != nil {
				return status.FromContextError(out.Context().Err()).Err()
			}
			return status.Error(codes.DataLoss, "the stream broke")
		}
		if err := out.Send(c); err != nil {
			a.Ended(decide.Cancelled)
			return err
		}
	}
}

// parse reads the values that decisions rest on.
func (s *Server) parse(ctx context.Context, r *pb.CompleteRequest) (decide.Request, error) {
	var q decide.Request
	class, ok := s.classes[r.Class]
	switch {
	case !httpfront.ValidID(r.Id):
		return q, fmt.Errorf("id: %q", r.Id)
	case !ok:
		return q, fmt.Errorf("class: unknown class %q", r.Class)
	}
	for name, n := range map[string]int64{"prompt_tokens": r.PromptTokens, "prefix_tokens": r.PrefixTokens, "max_output_tokens": r.MaxOutputTokens} {
		if n < 0 || n > maxTokens {
			return q, fmt.Errorf("%s: %d", name, n)
		}
	}
	left := r.FirstTokenWithin.AsDuration()
	if r.FirstTokenWithin == nil {
		left = maxWait
	}
	if end, ok := ctx.Deadline(); ok {
		left = min(left, time.Until(end))
	} else if r.FirstTokenWithin == nil {
		return q, fmt.Errorf("first_token_within: missing, and the call has no deadline")
	}
	hint := r.Estimate.AsDuration()
	if left < 0 || left > maxWait || hint < 0 || hint > time.Hour {
		return q, fmt.Errorf("first_token_within or estimate: out of range")
	}
	return decide.Request{Label: r.Id, Class: class, TimeLeft: left, Session: r.Session, Prefix: r.Prefix, Prompt: int(r.PromptTokens),
		PrefixLen: int(r.PrefixTokens), MaxOutput: int(r.MaxOutputTokens), Hint: hint,
		Repeat: r.Resent != pb.Resent_RESENT_UNSPECIFIED, Resumed: r.Resent == pb.Resent_RESENT_RESUME}, nil
}
