package grpcfront_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"

	"rowanyard/internal/grpcfront/pb"
	"rowanyard/internal/standin"
)

// stepWriter is a model server that streams chunks as the test provides them.
type stepWriter struct {
	pb.UnimplementedModelServerServer
	chunks map[string]chan string // by request id
}

func (s *stepWriter) Write(r *pb.WorkRequest, out grpc.ServerStreamingServer[pb.Chunk]) error {
	for text := range s.chunks[r.Request.Id] {
		if err := out.Send(&pb.Chunk{Content: text}); err != nil {
			return err
		}
	}
	return nil
}

// Each chunk reaches the client without waiting for the next one: the server writes a chunk only after the client has received
// the previous one.
func TestEachChunkIsRelayedImmediately(t *testing.T) {
	const streams, rounds = 8, 6
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	writer := &stepWriter{chunks: make(map[string]chan string)}
	server := grpc.NewServer()
	pb.RegisterModelServerServer(server, writer)
	go server.Serve(l)
	t.Cleanup(server.Stop)
	r := start(t, standin.Options{GRPC: true})
	r.replaceWriter(l.Addr().String())
	ctx, stop := context.WithTimeout(t.Context(), time.Minute)
	defer stop()
	requests := make([]*pb.CompleteRequest, streams)
	for i := range requests {
		requests[i] = r.request("draft-reply", fmt.Sprint(i), time.Minute)
		writer.chunks[requests[i].Id] = make(chan string, 1)
	}
	var all sync.WaitGroup
	for _, req := range requests {
		all.Go(func() {
			chunks := writer.chunks[req.Id]
			defer close(chunks)
			chunks <- "0"
			call, err := r.grpc.Complete(ctx, req)
			if err != nil {
				t.Error(err)
				return
			}
			for n := range rounds {
				if n > 0 {
					chunks <- fmt.Sprint(n)
				}
				if c, err := call.Recv(); err != nil || c.Content != fmt.Sprint(n) {
					t.Errorf("got %v, want %d: %v", c, n, err)
					return
				}
			}
		})
	}
	all.Wait()
}
