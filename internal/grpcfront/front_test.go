package grpcfront_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"rowanyard/decide"
	"rowanyard/internal/core"
	"rowanyard/internal/grpcfront"
	"rowanyard/internal/grpcfront/pb"
	"rowanyard/internal/httpfront"
	"rowanyard/internal/standin"
	"rowanyard/internal/wire"
)

// router is a complete router in the test process, with an HTTP and a gRPC front on one core.
type router struct {
	fleet    *standin.Fleet
	core     *core.Core
	grpc     pb.CompletionsClient
	http     string
	ids      atomic.Int64
	handOver context.CancelFunc // hands running streams over
}

func start(t testing.TB, o standin.Options) *router {
	t.Helper()
	must := func(err error) {
		if err != nil {
			t.Fatal(err)
		}
	}
	log := slog.New(slog.DiscardHandler)
	fleet, err := standin.Start(o)
	must(err)
	t.Cleanup(fleet.Close)
	site, err := wire.ParseRouterSettings(standin.Settings())
	must(err)
	hw := httpfront.NewWorkers(site.ConnectTimeout, site.ConnIdleTimeout, 400, log)
	gw := grpcfront.NewWorkers(site.ConnectTimeout, site.ConnIdleTimeout)
	t.Cleanup(gw.Close)
	c, err := core.New(site.Settings, 1, grpcfront.Prober{HTTP: hw, GRPC: gw}, log)
	must(err)
	names := httpfront.Names{Kinds: site.KindNames, Zones: site.ZoneNames, Wire: func(httpfront.Entry) string {
		if o.GRPC {
			return grpcfront.Wire
		}
		return ""
	}}
	var list httpfront.List
	text, _ := json.Marshal(map[string]any{"hosts": fleet.Hosts()})
	must(json.Unmarshal(text, &list))
	c.SetWorkers(true, names.Workers(list, log))

	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	grpcFront := grpcfront.NewServer(c, gw, hw, site.ClassNames, 200, log)
	handOver, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	grpcFront.Streams = handOver
	server := grpcFront.GRPC()
	go server.Serve(l)
	t.Cleanup(server.Stop)
	conn, err := grpc.NewClient("passthrough:///"+l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDisableRetry())
	must(err)
	t.Cleanup(func() { conn.Close() })

	front := httpfront.New(c, hw, site.ClassNames, nil, log)
	front.Bridges = map[string]httpfront.Bridge{grpcfront.Wire: gw.Bridge}
	plain := httptest.NewServer(front)
	t.Cleanup(plain.Close)
	return &router{fleet: fleet, core: c, grpc: pb.NewCompletionsClient(conn), http: plain.URL, handOver: cancel}
}

func (r *router) request(class, key string, within time.Duration) *pb.CompleteRequest {
	n := r.ids.Add(1)
	return &pb.CompleteRequest{Id: fmt.Sprintf("id-%d", n), Class: class, Session: uint64(n), PromptTokens: 40,
		MaxOutputTokens: 10, FirstTokenWithin: durationpb.New(within), Messages: []*pb.Message{{Role: "user", Content: key}}}
}

// complete makes one call and returns the text and the final status.
func (r *router) complete(ctx context.Context, req *pb.CompleteRequest) (string, error) {
	s, err := r.grpc.Complete(ctx, req)
	if err != nil {
		return "", err
	}
	var text strings.Builder
	for {
		c, err := s.Recv()
		if errors.Is(err, io.EOF) {
			return text.String(), nil
		}
		if err != nil {
			return text.String(), err
		}
		text.WriteString(c.Content)
	}
}

// replaceWriter replaces the fleet's writers by the server at addr.
func (r *router) replaceWriter(addr string) {
	var workers []core.Worker
	for i, h := range r.fleet.Hosts() {
		w := core.Worker{Addr: h.Dial, Wire: grpcfront.Wire, Server: decide.Server{ID: h.Host, Kind: i, Cell: 1}}
		if h.Class == "writer" {
			w.Addr = addr
		}
		workers = append(workers, w)
	}
	r.core.SetWorkers(true, workers)
}

// waitIdle waits until all work for requests has ended, and fails if workers still hold state.
func (r *router) waitIdle(t testing.TB) {
	t.Helper()
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	r.core.Wait(ctx)
	if ctx.Err() != nil {
		t.Fatal("requests do not end")
	}
	if n := r.fleet.HeldStates(); n > 0 {
		t.Errorf("%d states are still held", n)
	}
}

func forEachWire(t *testing.T, test func(t *testing.T, grpc bool)) {
	t.Run("grpc workers", func(t *testing.T) { test(t, true) })
	t.Run("http workers", func(t *testing.T) { test(t, false) })
}

func TestTokensOverEachClientAndWorkerProtocol(t *testing.T) {
	forEachWire(t, func(t *testing.T, grpc bool) {
		r := start(t, standin.Options{GRPC: grpc, Tokens: 3})
		text, err := r.complete(context.Background(), r.request("send-message", "k", time.Second))
		if text != "t0 t1 t2 " || err != nil {
			t.Errorf("grpc client: %q, %v", text, err)
		}
		req, _ := http.NewRequest(http.MethodPost, r.http+"/v1/chat/completions", strings.NewReader(
			`{"model":"chat","stream":true,"max_tokens":9,"messages":[{"role":"user","content":"k2"}]}`))
		for k, v := range map[string]string{"X-Txn": "ab12", "X-Lane": "draft-reply", "X-Remaining-Ms": "1000", "X-Labels": "prompt_len=40"} {
			req.Header.Set(k, v)
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		body, err := io.ReadAll(res.Body)
		for _, want := range []string{`"content":"t2 "`, `"finish_reason":"stop"`, `"completion_tokens":3`, "data: [DONE]\n\n"} {
			if !strings.Contains(string(body), want) {
				t.Errorf("http client: %d %v, no %s in %q", res.StatusCode, err, want, body)
			}
		}
		r.waitIdle(t)
	})
}

func TestRefusalCarriesRetryInfo(t *testing.T) {
	r := start(t, standin.Options{GRPC: true, FaultFor: func(stage, _ string, _ int) standin.Fault { return standin.Reject }})
	_, err := r.complete(context.Background(), r.request("send-message", "k", 300*time.Millisecond))
	checkRefusal(t, err)
}

// checkRefusal fails the test unless err refuses a call and says when to try again.
func checkRefusal(t *testing.T, err error) {
	t.Helper()
	st := status.Convert(err)
	if st.Code() != codes.Unavailable {
		t.Fatal(err)
	}
	for _, d := range st.Details() {
		if info, ok := d.(*errdetails.RetryInfo); ok && info.RetryDelay.AsDuration() <= 500*time.Millisecond {
			return
		}
	}
	t.Errorf("no RetryInfo in %v", st.Details())
}

// Guards against streams that end with the process because their calls came late: these are refused, and the stream of a call
// that came in time goes on.
func TestLateCallIsRefused(t *testing.T) {
	r := start(t, standin.Options{GRPC: true, Tokens: 3})
	stream, err := r.grpc.Complete(t.Context(), r.request("send-message", "in time", 5*time.Second))
	if err == nil {
		_, err = stream.Recv()
	}
	if err != nil {
		t.Fatal(err)
	}
	r.core.CloseAdmission(time.Now())
	late := r.request("send-message", "late", 5*time.Second)
	_, err = r.complete(t.Context(), late)
	checkRefusal(t, err)
	if n := r.fleet.Calls("read", late.Id); n != 0 {
		t.Errorf("the late call was read %d times", n)
	}
	for err = nil; err == nil; {
		_, err = stream.Recv()
	}
	if err != io.EOF {
		t.Errorf("the stream in time: %v, want its end", err)
	}
	r.waitIdle(t)
}

// A client must not be told to retry a request that may have run.
func TestFailureThatMayHaveRunInvitesNoRetry(t *testing.T) {
	forEachWire(t, func(t *testing.T, grpc bool) {
		for _, f := range []standin.Fault{standin.ResetBeforeFirstToken, standin.Error, standin.Hang} {
			r := start(t, standin.Options{GRPC: grpc, Writers: 2, FaultFor: func(stage, _ string, _ int) standin.Fault {
				if stage == "write" {
					return f
				}
				return standin.None
			}})
			_, err := r.complete(context.Background(), r.request("send-message", "k", 400*time.Millisecond))
			if c := status.Code(err); c != codes.Internal {
				t.Errorf("fault %d: %v", f, err)
			}
			if n := r.fleet.Calls("write", "k"); n != 1 {
				t.Errorf("fault %d: written %d times", f, n)
			}
			r.waitIdle(t)
		}
	})
}

func TestBadRequestsAreRejectedAndNeverSent(t *testing.T) {
	r := start(t, standin.Options{GRPC: true})
	for _, corrupt := range []func(*pb.CompleteRequest){
		func(q *pb.CompleteRequest) { q.Id = "a/b" }, func(q *pb.CompleteRequest) { q.Class = "none" },
		func(q *pb.CompleteRequest) { q.PromptTokens = -1 }, func(q *pb.CompleteRequest) { q.FirstTokenWithin = nil },
		func(q *pb.CompleteRequest) { q.Estimate = durationpb.New(-1) },
	} {
		req := r.request("draft-reply", "bad", time.Second)
		corrupt(req)
		if _, err := r.complete(context.Background(), req); status.Code(err) != codes.InvalidArgument {
			t.Error(err)
		}
	}
	if n := r.fleet.Calls("read", "bad"); n != 0 {
		t.Errorf("%d attempts were sent", n)
	}
}

func TestClientCancellingMidStreamGetsOneFinalStatus(t *testing.T) {
	forEachWire(t, func(t *testing.T, grpc bool) {
		r := start(t, standin.Options{GRPC: grpc, Tokens: 4, FaultFor: func(stage, _ string, _ int) standin.Fault { return standin.StallMidStream }})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s, err := r.grpc.Complete(ctx, r.request("send-message", "k", time.Second))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.Recv(); err != nil {
			t.Fatal(err)
		}
		cancel()
		finals := 0
		for err == nil {
			if _, err = s.Recv(); err != nil {
				finals++
			}
		}
		if status.Code(err) != codes.Canceled || finals != 1 {
			t.Errorf("%d final answers, the last %v", finals, err)
		}
		r.waitIdle(t)
		if n := r.fleet.Effects()["send-message k"]; n != 1 {
			t.Errorf("%d effects", n)
		}
	})
}

// With streams reset at random, from a fixed seed, no send-message may have its effect twice. Clients retry after refusals
// only, as the protocol allows.
func TestRandomResetsRepeatNoEffect(t *testing.T) {
	forEachWire(t, func(t *testing.T, grpc bool) {
		r := start(t, standin.Options{GRPC: grpc, Readers: 3, Writers: 4, Tokens: 4,
			FaultFor: standin.RandomFaults(7, 0.06, standin.ResetBeforeFirstToken, standin.ResetMidStream, standin.Error, standin.Reject)})
		const clients, each, tries = 16, 25, 3
		var served, refused, failed, finals atomic.Int64
		var all sync.WaitGroup
		for c := range clients {
			all.Go(func() {
				for i := range each {
					class := [...]string{"send-message", "draft-reply"}[i%2]
					key := fmt.Sprintf("m-%d-%d", c, i)
					for range tries {
						text, err := r.complete(context.Background(), r.request(class, key, 2*time.Second))
						finals.Add(1)
						if status.Code(err) == codes.Unavailable {
							refused.Add(1)
							continue
						}
						if err == nil {
							served.Add(1)
							if text != "t0 t1 t2 t3 " {
								t.Errorf("%s: an incomplete stream ended without an error: %q", key, text)
							}
						} else {
							failed.Add(1)
						}
						break
					}
				}
			})
		}
		all.Wait()
		r.waitIdle(t)
		for key, n := range r.fleet.Effects() {
			if n > 1 && strings.HasPrefix(key, "send-message ") {
				t.Errorf("%s ran %d times", key, n)
			}
		}
		t.Logf("%d calls: %d served, %d refused, %d failed", finals.Load(), served.Load(), refused.Load(), failed.Load())
		if served.Load() < clients*each/2 || failed.Load() == 0 {
			t.Error("too few requests served, or none failed: the run proves nothing")
		}
	})
}

// grpc-go resends a call "transparently" if the server claims not to have processed it. The server here reads the whole call
// before it claims so: the call must not be resent.
func TestRefusedStreamIsNotResentByGRPC(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var calls atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				io.ReadFull(c, make([]byte, len(http2.ClientPreface)))
				f := http2.NewFramer(c, c)
				f.WriteSettings()
				for {
					frame, err := f.ReadFrame()
					if err != nil {
						return
					}
					if d, ok := frame.(*http2.DataFrame); ok && d.StreamEnded() {
						calls.Add(1)
						f.WriteRSTStream(d.StreamID, http2.ErrCodeRefusedStream)
					}
				}
			}()
		}
	}()
	r := start(t, standin.Options{GRPC: true})
	r.replaceWriter(l.Addr().String())
	_, err = r.complete(context.Background(), r.request("send-message", "k", time.Second))
	if status.Code(err) != codes.Internal || calls.Load() != 1 {
		t.Errorf("the writer was called %d times: %v", calls.Load(), err)
	}
}

// A stream that would still run at the kill after SIGTERM breaks, after some chunks, with a status that lets its client ask
// another router for the rest.
func TestStreamsAreHandedOver(t *testing.T) {
	r := start(t, standin.Options{GRPC: true, Tokens: 1000, TokenInterval: 20 * time.Millisecond})
	ctx, stop := context.WithTimeout(context.Background(), 15*time.Second)
	defer stop()
	s, err := r.grpc.Complete(ctx, r.request("draft-reply", "k", 4*time.Second))
	if err == nil {
		_, err = s.Recv()
	}
	if err != nil {
		t.Fatal(err)
	}
	r.handOver()
	for err == nil {
		_, err = s.Recv()
	}
	if status.Code(err) != codes.DataLoss {
		t.Error(err)
	}
	r.core.Wait(ctx)
}
