package grpcfront

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/test/bufconn"

	"rowanyard/decide"
	"rowanyard/internal/core"
	"rowanyard/internal/grpcfront/pb"
)

// waitRecorder is a model server that records the time limits of reads.
type waitRecorder struct {
	pb.UnimplementedModelServerServer
	waits chan time.Duration
}

func (s *waitRecorder) Read(_ context.Context, r *pb.WorkRequest) (*pb.ReadReply, error) {
	s.waits <- r.Wait.AsDuration()
	return &pb.ReadReply{}, nil
}

// A server is told the time that is left when the message is written, not when the attempt started: the connection may take
// long to be established.
func TestWaitExcludesConnectionTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const dialTime, wait, pipeSize = 240 * time.Millisecond, time.Second, 64 << 10
		l := bufconn.Listen(pipeSize)
		s := &waitRecorder{waits: make(chan time.Duration, 1)}
		server := grpc.NewServer()
		pb.RegisterModelServerServer(server, s)
		go server.Serve(l)
		defer server.Stop()
		w := NewWorkers(time.Second, time.Minute)
		defer w.Close()
		w.dialer = func(ctx context.Context, _ string) (net.Conn, error) {
			time.Sleep(dialTime)
			return l.DialContext(ctx)
		}
		x := &exchange{workers: w, req: &pb.CompleteRequest{Id: "a"}}
		res := x.Try(t.Context(), core.Attempt{To: core.Worker{Addr: "server:1", Wire: Wire}, Read: true,
			Deadline: time.Now().Add(wait), MaySend: func() bool { return true }})
		if res.Status != decide.Read {
			t.Fatalf("%+v", res)
		}
		if got := <-s.waits; got != wait-dialTime {
			t.Errorf("the server was told %v, %v was left", got, wait-dialTime)
		}
	})
}

// lateServer is a model server that answers a read after a wait.
type lateServer struct {
	pb.UnimplementedModelServerServer
	wait time.Duration
}

func (s *lateServer) Read(ctx context.Context, _ *pb.WorkRequest) (*pb.ReadReply, error) {
	select {
	case <-time.After(s.wait):
		return &pb.ReadReply{}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// A call that is under way outlives the handshake's limit, the limit of idle connections and pings of both sides.
func TestCallOutlivesTheLimitsOfItsConnection(t *testing.T) {
	const pipeSize = 64 << 10
	for _, wait := range []time.Duration{handshakeTimeout, keepaliveTime + keepaliveTimeout, connIdleTimeout, 3 * connIdleTimeout} {
		synctest.Test(t, func(t *testing.T) {
			l := bufconn.Listen(pipeSize)
			server := grpc.NewServer(ServerLimits(maxMessageBytes)...)
			pb.RegisterModelServerServer(server, &lateServer{wait: wait + time.Second})
			go server.Serve(l)
			defer server.Stop()
			w := NewWorkers(time.Second, time.Minute)
			defer w.Close()
			w.dialer = func(ctx context.Context, _ string) (net.Conn, error) { return l.DialContext(ctx) }
			x := &exchange{workers: w, req: &pb.CompleteRequest{Id: "a"}}
			res := x.Try(t.Context(), core.Attempt{To: core.Worker{Addr: "server:1", Wire: Wire}, Read: true,
				Deadline: time.Now().Add(2 * wait), MaySend: func() bool { return true }})
			if res.Status != decide.Read {
				t.Errorf("a call of %v: %+v", wait, res)
			}
		})
	}
}
