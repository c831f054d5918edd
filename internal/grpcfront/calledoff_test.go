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

// endTeller is a model server that reads without end and answers for its load when the test says so.
type endTeller struct {
	pb.UnimplementedModelServerServer
	came, ended, asked chan struct{}
	answer             chan struct{}
}

func (s *endTeller) Read(ctx context.Context, _ *pb.WorkRequest) (*pb.ReadReply, error) {
	close(s.came)
	<-ctx.Done()
	close(s.ended)
	return nil, ctx.Err()
}

func (s *endTeller) Load(ctx context.Context, _ *pb.LoadRequest) (*pb.LoadReport, error) {
	close(s.asked)
	select {
	case <-s.answer:
	case <-ctx.Done():
	}
	return &pb.LoadReport{}, nil
}

// A call that must not run twice is called off: Try returns after the server has answered what came behind the end of it on
// the same connection, and by then the server has seen that end.
func TestACalledOffCallEndsAfterItsServerHasSeenIt(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &endTeller{came: make(chan struct{}), ended: make(chan struct{}), asked: make(chan struct{}), answer: make(chan struct{})}
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
			Settle: time.Minute, Allowed: func() bool { return true }})
	}()
	<-s.came
	stop()
	select {
	case <-s.asked:
	case res := <-done:
		t.Fatalf("%+v before its server has answered", res)
	}
	<-s.ended
	close(s.answer)
	if res := <-done; res.Status != decide.Cancelled {
		t.Errorf("%+v", res)
	}
}
