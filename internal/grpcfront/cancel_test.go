package grpcfront

import (
	"context"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"

	"rowanyard/decide"
	"rowanyard/internal/core"
	"rowanyard/internal/grpcfront/pb"
)

// cancelRecorder is a model server whose reads end only when cancelled, and whose load reports wait for the test.
type cancelRecorder struct {
	pb.UnimplementedModelServerServer
	started, cancelled, probed chan struct{}
	allowAnswer                chan struct{}
}

func (s *cancelRecorder) Read(ctx context.Context, _ *pb.WorkRequest) (*pb.ReadReply, error) {
	close(s.started)
	<-ctx.Done()
	close(s.cancelled)
	return nil, ctx.Err()
}

func (s *cancelRecorder) Load(ctx context.Context, _ *pb.LoadRequest) (*pb.LoadReport, error) {
	close(s.probed)
	select {
	case <-s.allowAnswer:
	case <-ctx.Done():
	}
	return &pb.LoadReport{}, nil
}

// When a call that must not run twice is cancelled, Try returns only after the server has answered a later call on the same
// connection: by then it has seen the cancellation.
func TestCancelledCallEndsAfterServerHasSeenCancellation(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &cancelRecorder{started: make(chan struct{}), cancelled: make(chan struct{}), probed: make(chan struct{}), allowAnswer: make(chan struct{})}
	server := grpc.NewServer()
	pb.RegisterModelServerServer(server, s)
	go server.Serve(l)
	t.Cleanup(server.Stop)
	w := NewWorkers(time.Minute, time.Minute)
	t.Cleanup(w.Close)
	x := &exchange{workers: w, req: &pb.CompleteRequest{Id: "a"}}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan core.Result, 1)
	go func() {
		done <- x.Try(ctx, core.Attempt{To: core.Worker{Addr: l.Addr().String(), Wire: Wire}, Read: true, Deadline: time.Now().Add(time.Minute),
			CancelGrace: time.Minute, MaySend: func() bool { return true }})
	}()
	<-s.started
	stop()
	select {
	case <-s.probed:
	case res := <-done:
		t.Fatalf("Try returned %+v before the server has answered", res)
	}
	<-s.cancelled
	close(s.allowAnswer)
	if res := <-done; res.Status != decide.Cancelled {
		t.Errorf("%+v", res)
	}
}
