// Package grpcfront is the gRPC front: it serves clients by gRPC with token streams, and carries attempts to model servers
// that speak gRPC. Routing, retries and final answers are the responsibility of package core. The front is off unless the
// operator's file enables it.
package grpcfront

import (
	"cmp"
	"context"
	"errors"
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
	"rowanyard/internal/openids"
)

const (
	maxMessageBytes   = 256<<10 + 4<<10 // a body of 256 KiB and the other fields
	maxTokens         = 1 << 30
	maxFirstTokenWait = 10 * time.Minute
	handshakeTimeout  = 2 * time.Second  // for the handshake of a new connection
	connIdleTimeout   = time.Minute      // without a call
	keepaliveTime     = 30 * time.Second // without anything from the peer, until it is pinged ...
	keepaliveTimeout  = 10 * time.Second // ... and until its calls end without an answer
	maxStreamsPerConn = 256
)

// Server implements the Completions service for gRPC clients.
type Server struct {
	pb.UnimplementedCompletionsServer
	// Streams, if not nil, is done when running streams are to end: they break with DATA_LOSS once some of them has passed, and
	// clients that can ask another router for the rest. It must be set before serving.
	Streams   context.Context
	core      *core.Core
	workers   *Workers
	http      *httpfront.Workers
	classes   map[string]int
	log       *slog.Logger
	openCalls chan struct{} // one element per open call
}

// NewServer returns a Server for the named request classes. Calls beyond maxOpen open ones are refused.
func NewServer(c *core.Core, w *Workers, h *httpfront.Workers, classNames []string, maxOpen int, log *slog.Logger) *Server {
	s := &Server{core: c, workers: w, http: h, classes: make(map[string]int), log: log, openCalls: make(chan struct{}, maxOpen)}
	for i, name := range classNames {
		s.classes[name] = i
	}
	return s
}

// ServerLimits returns options that bound message sizes, headers, idle connections, calls of peers that have vanished and
// concurrent streams of a gRPC server.
func ServerLimits(message int) []grpc.ServerOption {
	return []grpc.ServerOption{grpc.MaxRecvMsgSize(message), grpc.MaxHeaderListSize(maxHeaderBytes),
		grpc.ConnectionTimeout(handshakeTimeout), grpc.MaxConcurrentStreams(maxStreamsPerConn),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: connIdleTimeout, Time: keepaliveTime, Timeout: keepaliveTimeout})}
}

// GRPC returns a gRPC server with this front's service registered.
func (s *Server) GRPC() *grpc.Server {
	g := grpc.NewServer(append(ServerLimits(maxMessageBytes), grpc.StreamInterceptor(s.recoverPanic))...)
	pb.RegisterCompletionsServer(g, s)
	return g
}

// recoverPanic is a stream interceptor that fails a call whose handler panics, instead of ending the router.
func (s *Server) recoverPanic(srv any, ss grpc.ServerStream, _ *grpc.StreamServerInfo, handler grpc.StreamHandler) (err error) {
	defer func() {
		if p := recover(); p != nil {
			s.log.Error("call panicked", "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
			err = status.Error(codes.Internal, "failed")
		}
	}()
	return handler(srv, ss)
}

// Complete implements pb.CompletionsServer. Each request gets exactly one final status.
func (s *Server) Complete(req *pb.CompleteRequest, out grpc.ServerStreamingServer[pb.Chunk]) error {
	select {
	case s.openCalls <- struct{}{}:
		defer func() { <-s.openCalls }()
	default: // bounds memory; nothing has run
		return refusal(codes.ResourceExhausted, "too many calls are open", s.core.BusyRetryAfter())
	}
	q, err := s.parse(out.Context(), req)
	if err != nil {
		s.log.Info("bad request", "err", err)
		return status.Error(codes.InvalidArgument, err.Error())
	}
	if !s.core.Admits(req.Id, time.Now(), nil) { // streams of gRPC clients can't be handed over
		return refusal(codes.Unavailable, "refused, nothing has run", s.core.BusyRetryAfter())
	}
	releaseID, err := s.core.ClaimID(req.Id, q.Class, q.Resumed)
	switch {
	case errors.Is(err, openids.ErrOpen), errors.Is(err, openids.ErrMayHaveRun): // the earlier request with this id is not affected
		return status.Errorf(codes.AlreadyExists, "id: %q %v", req.Id, err)
	case err != nil:
		s.log.Info("refused", "why", err, "txn", req.Id)
		return refusal(codes.Unavailable, "refused, nothing has run: the id "+err.Error(), s.core.BusyRetryAfter())
	}
	defer releaseID()
	q.CachedTokens = s.core.CachedTokens(func() (text []byte) {
		for _, m := range req.Messages {
			text = append(text, m.Content...)
		}
		return text
	})
	servedSince := time.Now()
	a := s.core.Serve(out.Context(), q, s.exchange(req))
	switch a.Verdict {
	case core.Streaming:
		err := relay(a, out, cmp.Or(s.Streams, context.Background()))
		s.logEnd(out.Context(), req.Id, a.Worker.ID, servedSince, err)
		return err
	case core.Refused:
		return refusal(codes.Unavailable, "refused, nothing has run", a.RetryAfter)
	case core.ClientGone:
		s.logEnd(out.Context(), req.Id, "", servedSince, context.Cause(out.Context()))
		return status.FromContextError(context.Cause(out.Context())).Err()
	}
	// Not UNAVAILABLE, DEADLINE_EXCEEDED or ABORTED: clients and service meshes retry those automatically, and the request
	// may have had its effect.
	return status.Error(codes.Internal, "failed, it may have run")
}

// logEnd logs the end of a client's call with an answer owed or under way: whose request it was, who ended it and why. worker is the
// one that streamed, if there is one.
func (s *Server) logEnd(call context.Context, id, worker string, since time.Time, why error) {
	if why == nil {
		return
	}
	by := "router"
	if call.Err() != nil {
		by = "client"
	}
	s.log.Info("client call ended", "txn", id, "by", by, "why", why, "worker", worker, "out", worker != "", "after_ms", time.Since(since).Milliseconds())
}

// refusal returns a status error with a RetryInfo detail that tells the client when to retry.
func refusal(code codes.Code, text string, after time.Duration) error {
	st := status.New(code, text)
	if detailed, err := st.WithDetails(&errdetails.RetryInfo{RetryDelay: durationpb.New(after)}); err == nil {
		st = detailed
	}
	return st.Err()
}

// relay forwards a worker's stream to the client, chunk by chunk, and reports its end to the core. Once streams is done it
// breaks the stream off.
func relay(a core.Answer, out grpc.ServerStreamingServer[pb.Chunk], streams context.Context) error {
	stream := a.Stream.(chunkStream)
	defer stream.Close()
	for first := true; ; first = false {
		c, err := stream.Recv()
		switch {
		case err == io.EOF:
			a.StreamEnded(decide.Served, nil)
			return nil
		case err != nil && streams.Err() != nil:
			a.StreamEnded(decide.Cancelled, err)
			return status.Error(codes.DataLoss, "the router ends before the stream does")
		case err != nil:
			a.StreamEnded(decide.Reset, err)
			if out.Context().Err() != nil {
				return status.FromContextError(out.Context().Err()).Err()
			}
			return status.Error(codes.DataLoss, "the stream broke")
		}
		if err := out.Send(c); err != nil {
			a.StreamEnded(decide.Cancelled, err)
			return err
		}
		if first { // from now on, also while nothing comes from the worker
			defer context.AfterFunc(streams, func() { stream.Close() })()
		}
	}
}

// parse validates a request and returns what routing decisions depend on.
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
		left = maxFirstTokenWait
	}
	if end, ok := ctx.Deadline(); ok {
		left = min(left, time.Until(end))
	} else if r.FirstTokenWithin == nil {
		return q, fmt.Errorf("first_token_within: missing, and the call has no deadline")
	}
	hint := r.Estimate.AsDuration()
	if left < 0 || left > maxFirstTokenWait || hint < 0 || hint > time.Hour {
		return q, fmt.Errorf("first_token_within or estimate: out of range")
	}
	return decide.Request{Label: r.Id, Class: class, TimeLeft: left, Session: r.Session, Prefix: r.Prefix, PromptLength: int(r.PromptTokens),
		PrefixLength: int(r.PrefixTokens), MaxOutput: int(r.MaxOutputTokens), DurationHint: hint,
		ClientRetry: r.Resent != pb.Resent_RESENT_UNSPECIFIED, Resumed: r.Resent == pb.Resent_RESENT_RESUME}, nil
}
