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

// refuser is a processor that answers each request itself before it has read a word of it.
type refuser struct {
	extprocv3.UnimplementedExternalProcessorServer
}

func (refuser) Process(stream extprocv3.ExternalProcessor_ProcessServer) error {
	return stream.Send(&extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_ImmediateResponse{
		ImmediateResponse: &extprocv3.ImmediateResponse{Status: &typev3.HttpStatus{Code: typev3.StatusCode_ServiceUnavailable}}}})
}

// trailerWatch tells once when a call's trailers have come.
type trailerWatch struct {
	once sync.Once
	came chan struct{}
}

func (w *trailerWatch) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context   { return ctx }
func (w *trailerWatch) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }
func (w *trailerWatch) HandleConn(context.Context, stats.ConnStats)                       {}
func (w *trailerWatch) HandleRPC(_ context.Context, s stats.RPCStats) {
	if _, ok := s.(*stats.InTrailer); ok {
		w.once.Do(func() { close(w.came) })
	}
}

// untilEnd is a request's body that ends once the processor's stream has.
type untilEnd struct{ came <-chan struct{} }

func (b untilEnd) Read([]byte) (int, error) {
	<-b.came
	return 0, io.EOF
}

// The processor has answered and ended its stream before the proxy sends it the request's head: its answer is the client's.
func TestAnAnswerThatComesBeforeTheHeadIsTheClients(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	extprocv3.RegisterExternalProcessorServer(server, refuser{})
	go server.Serve(l)
	t.Cleanup(server.Stop)
	watch := &trailerWatch{came: make(chan struct{})}
	conn, err := grpc.NewClient("passthrough:///"+l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithStatsHandler(watch))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	answer := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "/", untilEnd{watch.came})
	(&Proxy{Processor: conn}).ServeHTTP(answer, r)
	if answer.Code != http.StatusServiceUnavailable {
		t.Errorf("%d, the processor said 503", answer.Code)
	}
}
