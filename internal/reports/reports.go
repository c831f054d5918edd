// Package reports serves the gRPC service to which engines publish their KV cache events, and reports to the core how much
// of a prompt each worker has cached. Package kvindex holds what was reported and decides how long it is used; package
// kvevents decodes the batches.
//
// A publisher may only report for a worker that is listed at the publisher's own IP address, and a bad batch costs at
// most what is known about its worker. The service runs only if the operator's file configures it.
package reports

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"rowanyard/internal/core"
	"rowanyard/internal/grpcfront"
	"rowanyard/internal/kvevents"
	"rowanyard/internal/kvindex"
	"rowanyard/internal/reports/pb"
)

// Listener implements the KVEvents service and core.CacheReports. It is safe for concurrent use.
type Listener struct {
	pb.UnimplementedKVEventsServer
	core  *core.Core
	log   *slog.Logger
	start time.Time

	mu         sync.Mutex
	index      *kvindex.Index
	streams    map[string]*stream // the current stream of each worker
	unreadable map[string]int64   // batches that could not be decoded, by reason
}

// stream is an open Publish call.
type stream struct {
	incarnation uint64
	cancel      context.CancelCauseFunc
}

var errReplaced = errors.New("a later stream of this worker has begun")

// New returns a Listener with an empty index.
func New(c *core.Core, settings kvindex.Settings, log *slog.Logger) (*Listener, error) {
	idx, err := kvindex.New(settings)
	if err != nil {
		return nil, err
	}
	return &Listener{core: c, log: log, start: time.Now(), index: idx, streams: make(map[string]*stream), unreadable: make(map[string]int64)}, nil
}

func (l *Listener) now() time.Duration { return time.Since(l.start) }

// GRPC returns a gRPC server with the service registered. A panic in a stream is logged and ends only that stream.
func (l *Listener) GRPC() *grpc.Server {
	g := grpc.NewServer(append(grpcfront.ServerLimits(kvevents.MaxBatchBytes+4<<10), grpc.StreamInterceptor(
		func(srv any, ss grpc.ServerStream, _ *grpc.StreamServerInfo, next grpc.StreamHandler) (err error) {
			defer func() {
				if p := recover(); p != nil {
					l.log.Error("reports panicked", "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
					err = status.Error(codes.Internal, "failed")
				}
			}()
			return next(srv, ss)
		}))...)
	pb.RegisterKVEventsServer(g, l)
	return g
}

// OnAvailabilityChange handles the change of workers that have begun or ceased to accept new work: it forgets those that are
// no longer listed and ends their streams.
func (l *Listener) OnAvailabilityChange(ids []string) {
	for _, id := range ids {
		if l.core.HasWorker(id) {
			continue
		}
		l.mu.Lock()
		l.index.RemoveWorker(id)
		if s := l.streams[id]; s != nil {
			s.cancel(errors.New("the worker is listed no more"))
		}
		l.mu.Unlock()
	}
}

// CachedTokens implements core.CacheReports: it returns the cached prompt tokens of each worker whose cache is completely known or
// that is known to have cached some of the prompt, or nil if there is none.
func (l *Listener) CachedTokens(prompt []byte) map[string]int {
	hashes := make(map[int][]uint64)
	l.mu.Lock()
	defer l.mu.Unlock()
	prefixes, complete := l.index.Lookup(l.now(), func(blockTokens int) []uint64 {
		if hashes[blockTokens] == nil {
			hashes[blockTokens] = kvevents.BlockHashes(prompt, blockTokens)
		}
		return hashes[blockTokens]
	})
	if len(prefixes)+len(complete) == 0 {
		return nil
	}
	out := make(map[string]int, len(complete))
	for _, id := range complete {
		out[id] = 0
	}
	for _, k := range prefixes {
		out[k.Worker] = k.Tokens
	}
	return out
}

// RecordPrediction implements core.CacheReports: it records how a prediction by CachedTokens compares with what the worker found.
func (l *Listener) RecordPrediction(_ string, predicted, actual int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index.RecordPrediction(predicted, actual)
}

// Stats returns the index's statistics. Batches that could not be decoded are counted in Refused.
func (l *Listener) Stats() kvindex.Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.index.Stats()
	for k, n := range l.unreadable {
		s.Refused[k] += n
	}
	return s
}

// Publish implements the service. A later stream of a worker replaces an earlier one.
func (l *Listener) Publish(in grpc.BidiStreamingServer[pb.Published, pb.Wanted]) error {
	hello, err := in.Recv()
	if err != nil {
		return err
	}
	if hello.Worker == "" || len(hello.Worker) > 256 || hello.Incarnation == 0 || len(hello.Batch) > 0 {
		return status.Error(codes.InvalidArgument, "the first message names the worker and its incarnation, and has no batch")
	}
	if err := l.checkPublisher(in.Context(), hello.Worker); err != nil {
		l.log.Warn("reports refused", "worker", hello.Worker, "err", err)
		return status.Error(codes.PermissionDenied, err.Error())
	}
	ctx, cancel := context.WithCancelCause(in.Context())
	defer cancel(nil)
	current := &stream{hello.Incarnation, cancel}
	l.mu.Lock()
	if old := l.streams[hello.Worker]; old != nil {
		if old.incarnation > hello.Incarnation {
			l.mu.Unlock()
			return status.Error(codes.PermissionDenied, "a later process of this worker publishes")
		}
		old.cancel(errReplaced)
	}
	l.streams[hello.Worker] = current
	l.mu.Unlock()
	l.log.Info("reports", "worker", hello.Worker, "incarnation", hello.Incarnation, "next", hello.Next)
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.streams[hello.Worker] == current {
			delete(l.streams, hello.Worker)
			l.index.PublisherLost(l.now(), hello.Worker)
		}
	}()
	messages := make(chan *pb.Published)
	recvErr := make(chan error, 1)
	go func() {
		for {
			m, err := in.Recv()
			if err != nil {
				recvErr <- err
				return
			}
			select {
			case messages <- m:
			case <-ctx.Done():
				return
			}
		}
	}()
	askedFrom, askedAt := uint64(0), time.Time{}
	for m := hello; ; {
		if ask := l.handleMessage(hello, m); ask != nil && (ask.FromSeq != askedFrom || time.Since(askedAt) > replayRetryInterval) {
			askedFrom, askedAt = ask.FromSeq, time.Now()
			if err := in.Send(&pb.Wanted{ReplayFrom: ask.FromSeq}); err != nil {
				return err
			}
		}
		select {
		case m = <-messages:
		case err := <-recvErr:
			l.log.Info("reports ended", "worker", hello.Worker, "err", err)
			if err == io.EOF {
				return nil
			}
			return err
		case <-ctx.Done():
			return status.Error(codes.Aborted, context.Cause(ctx).Error())
		}
	}
}

// replayRetryInterval is how long the same replay is not requested again.
const replayRetryInterval = 200 * time.Millisecond

// checkPublisher returns an error unless the stream's peer has the IP address that discovery lists for the worker.
func (l *Listener) checkPublisher(ctx context.Context, worker string) error {
	w, ok := l.core.Worker(worker)
	if !ok {
		return errors.New("no such worker is listed")
	}
	host, _, err := net.SplitHostPort(w.Addr)
	if err != nil {
		return err
	}
	p, ok := peer.FromContext(ctx)
	if !ok {
		return errors.New("who publishes is not known")
	}
	from, _, err := net.SplitHostPort(p.Addr.String())
	if err != nil {
		return err
	}
	if listed, actual := net.ParseIP(host), net.ParseIP(from); listed == nil || !listed.Equal(actual) {
		return fmt.Errorf("the worker is at %s, not at %s", host, from)
	}
	return nil
}

// handleMessage passes a message to the index and returns the replay to request, if any.
func (l *Listener) handleMessage(hello, m *pb.Published) *kvindex.ReplayRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m == hello { // nothing has been published yet, so nothing can be missing
		if hello.Next == 0 {
			return nil
		}
	}
	if len(m.Batch) == 0 {
		return l.index.Heartbeat(l.now(), hello.Worker, hello.Incarnation, m.Next)
	}
	b, err := kvevents.Decode(m.Batch)
	if err != nil {
		l.unreadable[refusalReason(err)]++
		l.log.Info("a batch that can't be read", "worker", hello.Worker, "seq", m.Seq, "err", err)
		return nil // the index treats it as missing
	}
	batch := kvindex.Batch{Incarnation: hello.Incarnation, Seq: m.Seq}
	for _, e := range b.Events {
		batch.Changes = append(batch.Changes, kvindex.Change(e))
	}
	return l.index.Apply(l.now(), hello.Worker, batch)
}

// refusalReason returns the name under which a decoding error is counted.
func refusalReason(err error) string {
	for target, name := range map[error]string{kvevents.ErrTooLong: "batch_long", kvevents.ErrMalformed: "batch_shape", kvevents.ErrUnknownEvent: "batch_tag", kvevents.ErrTooDeep: "batch_depth"} {
		if errors.Is(err, target) {
			return name
		}
	}
	return "batch"
}
