package decisions_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"rowanyard/internal/core"
	"rowanyard/internal/decisions"
	"rowanyard/internal/decisions/pb"
	"rowanyard/internal/grant"
	"rowanyard/internal/httpfront"
	"rowanyard/internal/standin"
	"rowanyard/internal/wire"
)

var terms = grant.Terms{Drain: 500 * time.Millisecond, Delivery: 50 * time.Millisecond, Hold: 300 * time.Millisecond,
	Heard: 300 * time.Millisecond, Remember: 30 * time.Second, MaxWait: 500 * time.Millisecond, Tick: 5 * time.Millisecond,
	Open: 1024, Callers: 128, Effects: 4096, Longest: 64, FeedDepth: 64}

// bed is a toy deployment, a desk in front of it, and a connection to the service.
type bed struct {
	t     testing.TB
	fleet *standin.Fleet
	core  *core.Core
	desk  *decisions.Desk
	names httpfront.Names
	conn  *grpc.ClientConn
}

func start(t testing.TB, o standin.Options) *bed {
	t.Helper()
	return startOn(t, o, terms, slog.New(slog.DiscardHandler))
}

// startOn is the same on other terms, with what the core logs.
func startOn(t testing.TB, o standin.Options, terms grant.Terms, coreLog *slog.Logger) *bed {
	t.Helper()
	return startSeen(t, o, terms, coreLog, decisions.Seen{})
}

// startSeen is the same with what is told to seen.
func startSeen(t testing.TB, o standin.Options, terms grant.Terms, coreLog *slog.Logger, seen decisions.Seen) *bed {
	t.Helper()
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	log := slog.New(slog.DiscardHandler)
	fleet, err := standin.Start(o)
	must(err)
	t.Cleanup(fleet.Close)
	site, err := wire.ParseSite(standin.Settings())
	must(err)
	hw := httpfront.NewWorkers(site.ConnectTimeout, site.ConnIdle, 400, log)
	c, err := core.New(site.Settings, 1, hw, coreLog)
	must(err)
	desk, err := decisions.NewDesk(c, hw, terms, seen, log)
	must(err)
	b := &bed{t: t, fleet: fleet, core: c, desk: desk, names: httpfront.Names{Kinds: site.KindNames, Zones: site.ZoneNames}}
	b.list(nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s := (&decisions.Server{Desk: desk, Classes: httpfront.ClassesOf(site.ClassNames), Names: site.ClassNames, Settings: c.Settings, Log: log}).GRPC()
	go s.Serve(l)
	t.Cleanup(s.Stop)
	b.conn, err = grpc.NewClient("passthrough:///"+l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	must(err)
	t.Cleanup(func() { b.conn.Close() })
	return b
}

// list tells the core the whole list, with some workers draining.
func (b *bed) list(draining map[string]bool) {
	var l httpfront.List
	text, _ := json.Marshal(map[string]any{"hosts": b.fleet.Hosts()})
	if err := json.Unmarshal(text, &l); err != nil {
		b.t.Fatal(err)
	}
	found := 0
	for i := range l.Hosts {
		if draining[l.Hosts[i].Host] {
			l.Hosts[i].Health = "draining"
			found++
		}
	}
	if found != len(draining) {
		b.t.Fatalf("draining %v: not all of them are listed", draining)
	}
	b.core.SetWorkers(true, b.names.Workers(l, slog.New(slog.DiscardHandler)))
}

// caller is a stand-in for a proxy that carries requests itself.
type caller struct {
	*bed
	pb.DecisionsClient
	name string
}

func (b *bed) caller(name string) *caller { return &caller{b, pb.NewDecisionsClient(b.conn), name} }

func (c *caller) ctx() context.Context {
	ctx, stop := context.WithTimeout(metadata.AppendToOutgoingContext(context.Background(), decisions.MetaCaller, c.name), time.Minute)
	c.t.Cleanup(stop)
	return ctx
}

func (c *caller) ask(request string, attempt int, class string) (*pb.Choice, error) {
	return c.Choose(c.ctx(), &pb.ChooseRequest{Request: request, Attempt: int32(attempt), Class: class, Session: 7, PromptTokens: 100,
		MaxOutputTokens: 9, FirstTokenWithin: durationpb.New(5 * time.Second), Estimate: durationpb.New(100 * time.Millisecond)})
}

func (c *caller) must(choice *pb.Choice, err error) *pb.Choice {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
	return choice
}

func (c *caller) report(g *pb.Choice, fate pb.Fate) error {
	_, err := c.Report(c.ctx(), &pb.ReportRequest{Grant: g.Grant, Fate: fate})
	return err
}

// carry sends an attempt to the worker that was granted.
func (c *caller) carry(g *pb.Choice, request, class, key string) (int, string) {
	c.t.Helper()
	body := fmt.Sprintf(`{"model":"chat","stream":true,"messages":[{"role":"user","content":%q}]}`, key)
	req, _ := http.NewRequest(http.MethodPost, "http://"+g.Endpoint+httpfront.PathChat, strings.NewReader(body))
	for k, v := range map[string]string{"X-Txn": request, "X-Lane": class, "X-Remaining-Ms": "1000", "X-Labels": "prompt_len=100,max_out=9"} {
		req.Header.Set(k, v)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer res.Body.Close()
	text, _ := io.ReadAll(res.Body)
	return res.StatusCode, string(text)
}

func wantCode(t *testing.T, what string, err error, code codes.Code) {
	t.Helper()
	if status.Code(err) != code {
		t.Errorf("%s: %v, want %v", what, err, code)
	}
}

// settled waits until all requests are over, and says whether something is still held.
func (b *bed) settled() {
	b.t.Helper()
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	b.core.Wait(ctx)
	if ctx.Err() != nil || b.fleet.Held() > 0 {
		b.t.Errorf("requests that never settle, or %d states that stay held", b.fleet.Held())
	}
}

// Read and write as two choices, from the first call to the end.
func TestTwoChoices(t *testing.T) {
	b := start(t, standin.Options{Readers: 2, Writers: 2})
	c := b.caller("p1")
	read := c.must(c.ask("q1", 0, "send-message"))
	if read.Stage != pb.Stage_STAGE_READ || read.Class != "send-message" || read.Valid.AsDuration() <= 0 || read.Valid.AsDuration() > 500*time.Millisecond {
		t.Errorf("%v", read)
	}
	if again := c.must(c.ask("q1", 0, "send-message")); again.Grant != read.Grant || again.Endpoint != read.Endpoint {
		t.Errorf("the same call got %v, then %v", read, again)
	}
	_, err := b.caller("p2").ask("q1", 0, "send-message")
	wantCode(t, "another caller", err, codes.PermissionDenied)
	_, err = c.ask("q1", 0, "draft-reply")
	wantCode(t, "another class", err, codes.FailedPrecondition)
	_, err = c.ask("q1", 1, "send-message")
	wantCode(t, "the next before its report", err, codes.FailedPrecondition)
	if code, text := c.carry(read, "q1", "send-message", "k"); code != http.StatusAccepted {
		t.Fatalf("read: %d %s", code, text)
	}
	if err := c.report(read, pb.Fate_FATE_READ); err != nil {
		t.Fatal(err)
	}
	write := c.must(c.ask("q1", 1, "send-message"))
	if write.Stage != pb.Stage_STAGE_WRITE || write.Endpoint == read.Endpoint {
		t.Errorf("%v", write)
	}
	if code, text := c.carry(write, "q1", "send-message", "k"); code != http.StatusOK || !strings.HasSuffix(text, "[DONE]\n\n") {
		t.Fatalf("write: %d %s", code, text)
	}
	if err := c.report(write, pb.Fate_FATE_BEGUN); err != nil {
		t.Fatal(err)
	}
	if err := c.report(write, pb.Fate_FATE_ENDED); err != nil {
		t.Error(err)
	}
	b.settled()
	_, err = c.ask("q1", 0, "send-message")
	wantCode(t, "the message once more", err, codes.Aborted)
	_, err = b.caller("p2").ask("q1", 0, "send-message")
	wantCode(t, "the message by another", err, codes.Aborted)
	wantCode(t, "a report after the end", c.report(write, pb.Fate_FATE_RAN), codes.NotFound)
}

// heldTracer holds what a caller has reported of a write back from the core, until release.
type heldTracer struct {
	noop.Tracer
	release chan struct{}
}

func (h heldTracer) Start(ctx context.Context, _ string, opts ...trace.SpanStartOption) (context.Context, trace.Span) {
	start := trace.NewSpanStartConfig(opts...)
	if !slices.Contains(start.Attributes(), attribute.String("stage", "write")) {
		return ctx, noop.Span{}
	}
	return ctx, heldSpan{release: h.release}
}

type heldSpan struct {
	noop.Span
	release chan struct{}
}

func (h heldSpan) End(...trace.SpanEndOption) { <-h.release }

// A caller tells of an answer's beginning and at once of its end: the end holds, though the core has not heard of the
// beginning yet, and is told once.
func TestAnEndIsToldBeforeTheCoreHasHeardOfTheBeginning(t *testing.T) {
	tracer := heldTracer{release: make(chan struct{})}
	b := startSeen(t, standin.Options{Readers: 1, Writers: 1}, terms, slog.New(slog.DiscardHandler), decisions.Seen{Tracer: tracer})
	c := b.caller("p1")
	read := c.must(c.ask("q1", 0, "send-message"))
	if code, text := c.carry(read, "q1", "send-message", "k"); code != http.StatusAccepted {
		t.Fatalf("read: %d %s", code, text)
	}
	if err := c.report(read, pb.Fate_FATE_READ); err != nil {
		t.Fatal(err)
	}
	write := c.must(c.ask("q1", 1, "send-message"))
	if code, text := c.carry(write, "q1", "send-message", "k"); code != http.StatusOK {
		t.Fatalf("write: %d %s", code, text)
	}
	for _, fate := range []pb.Fate{pb.Fate_FATE_BEGUN, pb.Fate_FATE_ENDED} {
		if err := c.report(write, fate); err != nil {
			t.Errorf("%v: %v", fate, err)
		}
	}
	wantCode(t, "the end once more", c.report(write, pb.Fate_FATE_ENDED), codes.NotFound)
	close(tracer.release)
	b.settled()
	if n := decisions.Streams(b.desk); n != 0 {
		t.Errorf("%d streams that nobody relays", n)
	}
}

// The router reads, the caller carries the one write; turned away, it is told another writer.
func TestReadHere(t *testing.T) {
	b := start(t, standin.Options{Readers: 1, Writers: 2})
	c := b.caller("p1")
	write, err := c.Choose(c.ctx(), &pb.ChooseRequest{Request: "q1", Class: "send-message", PromptTokens: 100, ReadHere: true,
		Body: []byte(`{"model":"chat","messages":[{"role":"user","content":"k"}]}`)})
	c.must(write, err)
	if write.Stage != pb.Stage_STAGE_WRITE || b.fleet.Held() != 1 {
		t.Errorf("%v, %d states held", write, b.fleet.Held())
	}
	if err := c.report(write, pb.Fate_FATE_TURNED_AWAY); err != nil {
		t.Fatal(err)
	}
	other := c.must(c.ask("q1", 1, "send-message"))
	if other.Endpoint == write.Endpoint || other.Stage != pb.Stage_STAGE_WRITE {
		t.Errorf("%v after %v had turned it away", other, write)
	}
	if code, text := c.carry(other, "q1", "send-message", "k"); code != http.StatusOK {
		t.Errorf("%d %s", code, text)
	}
	if err := c.report(other, pb.Fate_FATE_BEGUN); err != nil {
		t.Error(err)
	}
	b.settled()
}

// A caller that cancels its call while the router reads for it, or waits to, has gone: the router begins no read any more,
// whatever silence it would allow a caller that carries its attempts itself.
func TestACancelledCallEndsWhatTheRouterCarries(t *testing.T) {
	patient := terms
	patient.Hold, patient.Drain = time.Hour, 2*time.Hour
	var lines syncBuffer
	b := startOn(t, standin.Options{Readers: 1, Writers: 1}, patient, slog.New(slog.NewTextHandler(&lines, nil)))
	b.list(map[string]bool{"reader-0": true}) // the only one: the request waits for a reader
	ctx, cancel := context.WithCancel(b.caller("p1").ctx())
	asked := make(chan error)
	go func() {
		_, err := b.caller("p1").Choose(ctx, &pb.ChooseRequest{Request: "q1", Class: "draft-reply", PromptTokens: 100, ReadHere: true,
			FirstTokenWithin: durationpb.New(time.Minute), Body: []byte(`{"messages":[{"content":"k"}]}`)})
		asked <- err
	}()
	for b.desk.Over("q1") == nil { // it has come
		runtime.Gosched()
	}
	cancel()
	wantCode(t, "the call", <-asked, codes.Canceled)
	for end := time.Now().Add(time.Minute); !strings.Contains(lines.String(), "msg=answer") && time.Now().Before(end); {
		runtime.Gosched()
	}
	b.settled()
	if text := lines.String(); !strings.Contains(text, "verdict=gone") || strings.Contains(text, "verdict=refused") {
		t.Errorf("the request went on without its caller: %s", text)
	}
	b.list(nil)
	if n := b.fleet.Calls("read", "k") + b.fleet.Calls("write", "k"); n != 0 {
		t.Errorf("sent %d times for a caller that had gone", n)
	}
}

// syncBuffer is a buffer that is written to while it is read.
type syncBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// A caller that forgets the request: what is held for it ends within 300 ms of its last sign, and 50 ms of the
// sockets' slack. Compared with a caller that renews, whose state is still held then.
func TestAForgottenRequestHoldsNothing(t *testing.T) {
	b := start(t, standin.Options{Readers: 1, Writers: 1})
	forgets, keeps := b.caller("p1"), b.caller("p2")
	hold := func(c *caller, id string) *pb.Choice {
		g, err := c.Choose(c.ctx(), &pb.ChooseRequest{Request: id, Class: "draft-reply", PromptTokens: 100, ReadHere: true, Body: []byte(`{"messages":[{"content":"k"}]}`)})
		return c.must(g, err)
	}
	hold(forgets, "q1")
	last := time.Now()
	kept := hold(keeps, "q2")
	for b.fleet.Held() > 1 {
		if _, err := keeps.Renew(keeps.ctx(), &pb.RenewRequest{Grants: []uint64{kept.Grant}}); err != nil {
			t.Fatal(err)
		}
		if time.Since(last) > time.Minute {
			t.Fatal("it is held for ever")
		}
	}
	t.Logf("let go %v after the last sign", time.Since(last))
	if b.fleet.Held() != 1 {
		t.Error("what is renewed was let go with it")
	}
	reply, err := keeps.Renew(keeps.ctx(), &pb.RenewRequest{Grants: []uint64{kept.Grant, 999}})
	if err != nil || len(reply.Grants) != 2 || reply.Grants[0].Valid.AsDuration() <= 0 || reply.Grants[1].Why == "" {
		t.Errorf("%v %v", reply, err)
	}
	keeps.Report(keeps.ctx(), &pb.ReportRequest{Grant: kept.Grant, Fate: pb.Fate_FATE_NOT_SENT, Over: true})
	b.settled()
}

// A caller that watches hears of a drain, with numbers that have no gap; a newer stream ends the older one.
func TestWatchTellsOfDrains(t *testing.T) {
	b := start(t, standin.Options{Readers: 1, Writers: 1})
	c := b.caller("p1")
	watch, err := c.Watch(c.ctx())
	if err != nil {
		t.Fatal(err)
	}
	first, err := watch.Recv()
	if err != nil || first.Heard.AsDuration() != terms.Heard {
		t.Fatal(first, err)
	}
	g := c.must(c.ask("q1", 0, "send-message"))
	if !g.Watched {
		t.Error("the answer does not count on the stream")
	}
	watch.Send(&pb.Ping{Number: 41})
	pong, err := watch.Recv()
	if err != nil || pong.Pong != 41 || pong.Seq != first.Seq {
		t.Fatal(pong, err)
	}
	b.list(map[string]bool{g.Worker: true})
	told, err := watch.Recv()
	if err != nil || len(told.Revocations) != 1 || told.Revocations[0].Grant != g.Grant || told.Seq != first.Seq+1 || told.Revocations[0].Seq != told.Seq {
		t.Fatal(told, err)
	}
	if reply, err := c.Renew(c.ctx(), &pb.RenewRequest{TakenUp: []uint64{g.Grant}}); err != nil || reply.Grants[0].Why == "" {
		t.Errorf("taken up after it was revoked: %v %v", reply, err)
	}
	if err := c.report(g, pb.Fate_FATE_NOT_SENT); err != nil {
		t.Error(err)
	}
	b.list(nil)
	next := c.must(c.ask("q1", 1, "send-message"))
	newer, err := c.Watch(c.ctx())
	if err != nil {
		t.Fatal(err)
	}
	if m, err := newer.Recv(); err != nil || m.Seq != told.Seq {
		t.Error(m, err)
	}
	if _, err := watch.Recv(); status.Code(err) != codes.Aborted {
		t.Errorf("the older stream: %v", err)
	}
	c.Report(c.ctx(), &pb.ReportRequest{Grant: next.Grant, Fate: pb.Fate_FATE_NOT_SENT, Over: true})
	b.settled()
}

// What makes no sense gets one status with a reason, and leaves nothing behind.
func TestBadCalls(t *testing.T) {
	b := start(t, standin.Options{})
	c := b.caller("p1")
	long := strings.Repeat("x", 65)
	for what, r := range map[string]*pb.ChooseRequest{
		"no id":             {Class: "draft-reply"},
		"a long id":         {Request: long, Class: "draft-reply"},
		"an id in two":      {Request: "a b", Class: "draft-reply"},
		"no class":          {Request: "q"},
		"another class":     {Request: "q", Class: "chat"},
		"attempt -1":        {Request: "q", Class: "draft-reply", Attempt: -1},
		"negative prompt":   {Request: "q", Class: "draft-reply", PromptTokens: -1},
		"an endless prompt": {Request: "q", Class: "draft-reply", PromptTokens: 1 << 40},
		"no time":           {Request: "q", Class: "draft-reply", FirstTokenWithin: durationpb.New(-time.Second)},
		"years":             {Request: "q", Class: "draft-reply", FirstTokenWithin: durationpb.New(1e6 * time.Hour)},
		"nothing to read":   {Request: "q", Class: "draft-reply", ReadHere: true},
	} {
		_, err := c.Choose(c.ctx(), r)
		wantCode(t, what, err, codes.InvalidArgument)
	}
	_, err := c.ask("q", 3, "draft-reply")
	wantCode(t, "attempt 3 of nothing", err, codes.FailedPrecondition)
	_, err = b.caller(long).ask("q", 0, "draft-reply")
	wantCode(t, "a long name", err, codes.InvalidArgument)
	_, err = c.Choose(context.Background(), &pb.ChooseRequest{Request: "q", Class: "draft-reply"})
	wantCode(t, "no name", err, codes.InvalidArgument)
	wantCode(t, "a grant that never was", c.report(&pb.Choice{Grant: 77}, pb.Fate_FATE_READ), codes.NotFound)
	wantCode(t, "no fate", c.report(&pb.Choice{Grant: 77}, 0), codes.InvalidArgument)
	wantCode(t, "a fate of tomorrow", c.report(&pb.Choice{Grant: 77}, 99), codes.InvalidArgument)
	_, err = c.Renew(c.ctx(), &pb.RenewRequest{Grants: make([]uint64, 1001)})
	wantCode(t, "too many at once", err, codes.InvalidArgument)
	b.settled()
	if reply, err := c.Grants(c.ctx(), &pb.GrantsRequest{}); err != nil || len(reply.Grants) != 0 || reply.Requests != 0 {
		t.Errorf("left behind: %v %v", reply, err)
	}
}

// A refusal says when to come back, in time; one that the caller did not wait for is told when it asks again.
func TestRefusalsSayWhenToComeBack(t *testing.T) {
	b := start(t, standin.Options{Readers: 1, Writers: 1})
	all := map[string]bool{}
	for _, h := range b.fleet.Hosts() {
		all[h.Host] = true
	}
	b.list(all)
	c := b.caller("p1")
	_, err := c.Choose(c.ctx(), &pb.ChooseRequest{Request: "q", Class: "draft-reply", FirstTokenWithin: durationpb.New(200 * time.Millisecond)})
	wantCode(t, "no worker", err, codes.Unavailable)
	var info *errdetails.RetryInfo
	for _, d := range status.Convert(err).Details() {
		info, _ = d.(*errdetails.RetryInfo)
	}
	if info == nil || info.RetryDelay.AsDuration() > 500*time.Millisecond {
		t.Errorf("advice: %v", info)
	}
	b.settled()
}

// Callers that never say that their answers have ended, and guess that they take long, make nothing grow: past the bound
// answers count as ended at once.
func TestAnswersWithoutAnEndAreBounded(t *testing.T) {
	defer func(n int) { terms.Open = n }(terms.Open)
	terms.Open = 8
	b := start(t, standin.Options{Readers: 2, Writers: 2})
	c := b.caller("p1")
	for i := range 30 {
		id := fmt.Sprint("q", i)
		g, err := c.Choose(c.ctx(), &pb.ChooseRequest{Request: id, Class: "draft-reply", PromptTokens: 100, ReadHere: true,
			Body: []byte(`{"messages":[{"content":"k"}]}`), Estimate: durationpb.New(100 * time.Second)})
		c.must(g, err)
		if code, text := c.carry(g, id, "draft-reply", "k"); code != http.StatusOK {
			t.Fatal(code, text)
		}
		if err := c.report(g, pb.Fate_FATE_BEGUN); err != nil {
			t.Fatal(err)
		}
	}
	if n := decisions.Streams(b.desk); n > 8 {
		t.Errorf("%d answers are waited for, 8 may be", n)
	}
}
