package grpcfront

// Connections to model servers that speak gRPC: attempts, releases and probes, and the translation of their outcomes for the
// core. Nothing here sends an attempt twice, and grpc-go is kept from doing so.

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"rowanyard/decide"
	"rowanyard/internal/core"
	"rowanyard/internal/grpcfront/pb"
	"rowanyard/internal/patience"
)

// Wire marks workers that speak gRPC in a core.Worker.
const Wire = "grpc"

// TurnedAwayTrailer is the trailer by which a model server marks a call that it rejected before running it.
const TurnedAwayTrailer = "rowanyard-turned-away"

const (
	idleTimeoutShare  = 0.6 // of the servers' limit on idle connections
	maxChunkBytes     = 256 << 10
	maxHeaderBytes    = 16 << 10
	unusedConnTimeout = time.Minute // without a call
	backoffMin        = 100 * time.Millisecond
	backoffMax        = time.Second

	minWait = time.Millisecond // the shortest remaining time that a server is given
)

// Workers holds one connection to each model server that speaks gRPC. It is safe for concurrent use.
type Workers struct {
	connectTimeout time.Duration
	idleTimeout    time.Duration
	dialer         func(ctx context.Context, addr string) (net.Conn, error) // replaced in tests
	mu             sync.Mutex
	conns          map[string]*serverConn
}

// serverConn is the connection to one model server.
type serverConn struct {
	*grpc.ClientConn
	activeCalls int       // calls that use the connection now
	lastUsed    time.Time // when the latest call ended
	retired     bool      // replaced by a new connection, closed after its last call
}

// NewWorkers returns Workers without connections. connIdle is the time after which servers close idle connections.
func NewWorkers(connectTimeout, connIdle time.Duration) *Workers {
	return &Workers{connectTimeout: connectTimeout, idleTimeout: time.Duration(idleTimeoutShare * float64(connIdle)), conns: make(map[string]*serverConn),
		dialer: func(ctx context.Context, addr string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", addr)
		}}
}

// Close closes all connections.
func (w *Workers) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.conns {
		c.Close()
	}
}

// conn returns the connection to a server for one call; the caller calls done when the call has ended. Connections that have
// had no call for unusedConnTimeout are closed, because servers come and go under new addresses while the router runs.
func (w *Workers) conn(addr string) (conn *grpc.ClientConn, done func(), err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.conns[addr]
	if s == nil {
		for otherAddr, other := range w.conns {
			if other.activeCalls == 0 && time.Since(other.lastUsed) > unusedConnTimeout {
				other.Close()
				delete(w.conns, otherAddr)
			}
		}
		c, err := w.dial(addr)
		if err != nil {
			return nil, nil, err
		}
		s = &serverConn{ClientConn: c}
		w.conns[addr] = s
	}
	s.activeCalls++
	return s.ClientConn, sync.OnceFunc(func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		s.activeCalls, s.lastUsed = s.activeCalls-1, time.Now()
		if s.retired && s.activeCalls == 0 {
			s.Close()
		}
	}), nil
}

// retire makes the next call to a server use a new connection. All calls share one connection: if it has gone silent without an
// error, they would fail until the kernel reports the loss after a quarter of an hour.
func (w *Workers) retire(addr string, conn *grpc.ClientConn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.conns[addr]; s != nil && s.ClientConn == conn {
		s.retired = true // the caller's own call still counts as active
		delete(w.conns, addr)
	}
}

func (w *Workers) dial(addr string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+addr, // addresses are not names to resolve
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(w.dialer),
		grpc.WithDisableServiceConfig(),
		// No call may be sent twice unless the core decides so. DisableRetry leaves "transparent" retries on; with a retry
		// buffer of size 0, a call is committed once its message has been sent, and so is never retried.
		grpc.WithDisableRetry(),
		grpc.WithDefaultCallOptions(grpc.MaxRetryRPCBufferSize(0), grpc.MaxCallRecvMsgSize(maxChunkBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: w.connectTimeout,
			Backoff: backoff.Config{BaseDelay: backoffMin, Multiplier: 1.6, Jitter: 0.2, MaxDelay: backoffMax}}),
		grpc.WithMaxHeaderListSize(maxHeaderBytes),
		grpc.WithIdleTimeout(w.idleTimeout))
}

// chunkStream is the stream of an answer. Recv returns io.EOF after its regular end.
type chunkStream interface {
	Recv() (*pb.Chunk, error)
	Close() error
}

// exchange is one client's request as it is sent to model servers. It is a core.Transport.
type exchange struct {
	workers *Workers
	req     *pb.CompleteRequest
	http    core.Transport // for servers that speak HTTP; nil if there is none
}

func (s *Server) exchange(req *pb.CompleteRequest) *exchange {
	return &exchange{workers: s.workers, req: req, http: overHTTP(s.http, req)}
}

var errConnectTimeout = errors.New("connection not established in time")

// Try implements core.Transport.
func (x *exchange) Try(ctx context.Context, a core.Attempt) core.Result {
	if a.To.Wire != Wire && x.http != nil {
		return x.http.Try(ctx, a)
	}
	method, read := "/rowanyard.v1.ModelServer/Write", a.Read
	if read {
		method = "/rowanyard.v1.ModelServer/Read"
	}
	conn, done, err := x.workers.conn(a.To.Addr)
	if err != nil {
		return core.Result{Status: decide.ConnectFailed, Err: err}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	stop := func(why error) { cancel(why); done() }
	stopConnectTimer := patience.AfterFunc(x.workers.connectTimeout, func() { cancel(errConnectTimeout) })
	call, err := conn.NewStream(ctx, &grpc.StreamDesc{ServerStreams: true}, method)
	if !stopConnectTimer() && err == nil {
		err = errConnectTimeout
	}
	switch {
	case err != nil && (ctx.Err() == nil || errors.Is(context.Cause(ctx), errConnectTimeout)):
		stop(nil)
		return core.Result{Status: decide.ConnectFailed, Err: err}
	case err != nil || !a.MaySend(): // cancelled, or the server has started to drain: nothing was sent
		stop(nil)
		return core.Result{Status: decide.Unsent, Err: err}
	}
	// Computed here and not earlier, because the connection may have taken up to the connect timeout to be established.
	msg := &pb.WorkRequest{Request: x.req, Wait: durationpb.New(max(minWait, a.Remaining()))}
	if err := call.SendMsg(msg); err != nil {
		// The error is io.EOF if the server has ended the call. The request may have run by then.
		return x.failedResult(ctx, a, stop, call, call.RecvMsg(&pb.Chunk{}))
	}
	_ = call.CloseSend()
	if read {
		var reply pb.ReadReply
		if err := call.RecvMsg(&reply); err != nil {
			return x.failedResult(ctx, a, stop, call, err)
		}
		stop(nil)
		return core.Result{Status: decide.Read, CachedTokens: int(min(max(0, reply.CachedTokens), maxTokens))}
	}
	first := new(pb.Chunk)
	if err := call.RecvMsg(first); err != nil {
		return x.failedResult(ctx, a, stop, call, err)
	}
	return core.Result{Stream: newTokenStream(call, first, stop)}
}

// failedResult classifies the end of a call whose message may have reached the server.
func (x *exchange) failedResult(ctx context.Context, a core.Attempt, stop context.CancelCauseFunc, call grpc.ClientStream, err error) core.Result {
	cancelled := ctx.Err() != nil
	stop(nil)
	res := core.Result{Status: decide.Errored, Err: err}
	code := status.Code(err)
	turnedAway := len(metadata.MD(call.Trailer()).Get(TurnedAwayTrailer)) > 0
	switch {
	case turnedAway && code == codes.FailedPrecondition:
		return core.Result{Status: decide.Rejected, NoState: true}
	case turnedAway && (code == codes.Unavailable || code == codes.ResourceExhausted):
		res.Status = decide.Rejected
	case cancelled:
		x.awaitCancellation(a)
		res.Status = decide.Cancelled
	case code == codes.Unavailable || code == codes.Canceled || errors.Is(err, io.EOF):
		res.Status = decide.Reset
	case err == nil:
		res.Err = errors.New("an answer where none is expected")
	}
	return res
}

// awaitCancellation waits until the server has seen the cancellation of a call: a later call on the same connection has been
// answered, or the connection has ended. It waits for at most the attempt's limit.
func (x *exchange) awaitCancellation(a core.Attempt) {
	if a.CancelGrace <= 0 {
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), a.CancelGrace)
	defer stop()
	_, _ = x.workers.Probe(ctx, a.To)
}

// Release implements core.Transport.
func (x *exchange) Release(ctx context.Context, at core.Worker) error {
	if at.Wire != Wire && x.http != nil {
		return x.http.Release(ctx, at)
	}
	conn, done, err := x.workers.conn(at.Addr)
	if err != nil {
		return err
	}
	defer done()
	_, err = pb.NewModelServerClient(conn).Release(ctx, &pb.ReleaseRequest{Id: x.req.Id})
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		x.workers.retire(at.Addr, conn)
	}
	return err
}

// Probe implements core.Prober.
func (w *Workers) Probe(ctx context.Context, at core.Worker) (decide.Probed, error) {
	conn, done, err := w.conn(at.Addr)
	if err != nil {
		return decide.Probed{}, err
	}
	defer done()
	r, err := pb.NewModelServerClient(conn).Load(ctx, &pb.LoadRequest{})
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		w.retire(at.Addr, conn)
	}
	if err != nil {
		return decide.Probed{}, err
	}
	p := decide.Probed{QueuedRequests: -1, QueuedTokens: -1}
	if r.Queue != nil && *r.Queue >= 0 && *r.Queue <= maxTokens { // an implausible value counts as not reported
		p.QueuedRequests = *r.Queue
	}
	return p, nil
}

// Prober is a core.Prober that asks each worker for its load by the worker's own protocol.
type Prober struct {
	HTTP, GRPC core.Prober
}

// Probe implements core.Prober.
func (p Prober) Probe(ctx context.Context, at core.Worker) (decide.Probed, error) {
	if at.Wire == Wire {
		return p.GRPC.Probe(ctx, at)
	}
	return p.HTTP.Probe(ctx, at)
}
