package standin

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/stats"
)

// rejectingProcessor is an external processor that sends an immediate response before it has read anything.
type rejectingProcessor struct {
	extprocv3.UnimplementedExternalProcessorServer
}

func (rejectingProcessor) Process(stream extprocv3.ExternalProcessor_ProcessServer) error {
	return stream.Send(&extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_ImmediateResponse{
		ImmediateResponse: &extprocv3.ImmediateResponse{Status: &typev3.HttpStatus{Code: typev3.StatusCode_ServiceUnavailable}}}})
}

// trailerWatch is a stats handler that closes received when the first trailers of a call arrive.
type trailerWatch struct {
	once     sync.Once
	received chan struct{}
}

func (w *trailerWatch) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context   { return ctx }
func (w *trailerWatch) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }
func (w *trailerWatch) HandleConn(context.Context, stats.ConnStats)                       {}
func (w *trailerWatch) HandleRPC(_ context.Context, s stats.RPCStats) {
	if _, ok := s.(*stats.InTrailer); ok {
		w.once.Do(func() { close(w.received) })
	}
}

// bodyUntilTrailers is a request body that ends when the processor's stream has ended.
type bodyUntilTrailers struct{ trailers <-chan struct{} }

func (b bodyUntilTrailers) Read([]byte) (int, error) {
	<-b.trailers
	return 0, io.EOF
}

// The processor may respond and end its stream before the proxy has sent the request's headers, so that sending them fails.
// The client must still get the processor's response.
func TestProxyRelaysAnswerSentBeforeRequestHeaders(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	extprocv3.RegisterExternalProcessorServer(server, rejectingProcessor{})
	go server.Serve(l)
	t.Cleanup(server.Stop)
	waiter := &trailerWatch{received: make(chan struct{})}
	conn, err := grpc.NewClient("passthrough:///"+l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithStatsHandler(waiter))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	recorder := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "/", bodyUntilTrailers{waiter.received})
	(&Proxy{Processor: conn}).ServeHTTP(recorder, r)
	if recorder.Code != http.StatusServiceUnavailable {
		t.Errorf("status %d, want the 503 of the processor", recorder.Code)
	}
}
