package reports_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"rowanyard/internal/core"
	"rowanyard/internal/enginehost"
	"rowanyard/internal/httpfront"
	"rowanyard/internal/kvevents"
	"rowanyard/internal/kvindex"
	"rowanyard/internal/reports"
	"rowanyard/internal/reports/pb"
	"rowanyard/internal/wire"
)

// testRouter is a router in front of emulated engines that report to it.
type testRouter struct {
	t        *testing.T
	core     *core.Core
	listener *reports.Listener
	engines  *enginehost.Cluster
	addr     string // of the reports listener
	url      string
	names    httpfront.Names
}

func startRouter(t *testing.T, o enginehost.Options) *testRouter {
	t.Helper()
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	log := slog.New(slog.DiscardHandler)
	settings, err := wire.ParseRouterSettings(enginehost.Settings())
	must(err)
	hw := httpfront.NewWorkers(settings.ConnectTimeout, settings.ConnIdleTimeout, 400, log)
	c, err := core.New(settings.Settings, 1, hw, log)
	must(err)
	listener, err := reports.New(c, kvindex.Settings{MaxBlocks: 1 << 16, MaxWorkers: 16, MaxStaleness: 2 * time.Second, MaxBuffered: 64, ChangesPerSecond: 1e5, Burst: 1e5}, log)
	must(err)
	c.CacheReports, c.OnAvailabilityChange = listener, listener.OnAvailabilityChange
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	g := listener.GRPC()
	go g.Serve(l)
	t.Cleanup(g.Stop)
	o.ReportAddrs = append(o.ReportAddrs, l.Addr().String())
	engines, err := enginehost.Start(o)
	must(err)
	t.Cleanup(engines.Close)
	b := &testRouter{t: t, core: c, listener: listener, engines: engines, addr: l.Addr().String(), names: httpfront.Names{Kinds: settings.KindNames, Zones: settings.ZoneNames}}
	b.updateWorkers()
	front := httpfront.New(c, hw, settings.ClassNames, nil, log)
	fl, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	go front.Serve(fl, 100)
	t.Cleanup(func() {
		ctx, stop := context.WithTimeout(context.Background(), time.Second)
		defer stop()
		front.Shutdown(ctx, "")
	})
	b.url = "http://" + fl.Addr().String() + httpfront.PathChat
	return b
}

func (b *testRouter) updateWorkers() {
	var l httpfront.List
	text, _ := json.Marshal(map[string]any{"hosts": b.engines.Hosts()})
	if err := json.Unmarshal(text, &l); err != nil {
		b.t.Fatal(err)
	}
	b.core.SetWorkers(true, b.names.Workers(l, slog.New(slog.DiscardHandler)))
}

var lastID atomic.Int64

func promptText(name string, tokens int) string {
	var s strings.Builder
	for i := 0; s.Len() < tokens*4; i++ {
		fmt.Fprintf(&s, "%s.%d ", name, i)
	}
	return s.String()[:tokens*4]
}

// post sends a prompt and returns the response's status code, or 0 if there was no response.
func (b *testRouter) post(prompt string) int {
	body, _ := json.Marshal(map[string]any{"model": "chat", "stream": true, "max_tokens": 3, "messages": []any{map[string]any{"role": "user", "content": prompt}}})
	req, _ := http.NewRequest(http.MethodPost, b.url, strings.NewReader(string(body)))
	for k, v := range map[string]string{"X-Txn": fmt.Sprint("t", lastID.Add(1)), "X-Lane": "draft-reply", "X-Remaining-Ms": "5000",
		"X-Labels": fmt.Sprintf("prompt_len=%d,max_out=6", len(prompt)/4)} {
		req.Header.Set(k, v)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

// waitFor runs between until condition holds, and fails the test after a minute.
func (b *testRouter) waitFor(what string, condition func() bool, between func()) {
	b.t.Helper()
	for end := time.Now().Add(time.Minute); !condition(); between() {
		if time.Now().After(end) {
			b.t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// A reader crashes under load and restarts with an empty cache. From its first report on the router must not expect it
// to have its earlier cache, and most requests must be served throughout.
func TestReaderCrashesAndRestarts(t *testing.T) {
	b := startRouter(t, enginehost.Options{Readers: 2, Writers: 2, Seed: 3, ReaderMemoryKTokens: 30})
	shared := make([]string, 4)
	for i := range shared {
		shared[i] = promptText(fmt.Sprint("shared", i), 600)
	}
	var served, sent atomic.Int64
	sendAll := func() {
		var all sync.WaitGroup
		for i := range shared {
			all.Go(func() {
				sent.Add(1)
				if b.post(shared[i]+promptText(fmt.Sprint("q", lastID.Load()), 60)) == 200 {
					served.Add(1)
				}
			})
		}
		all.Wait()
	}
	instances := b.engines.Instances()
	crashed, other := instances[0], instances[1]
	cached := func(inst *enginehost.Instance) (longest int, known bool) {
		for _, s := range shared {
			n, ok := b.listener.CachedTokens([]byte(s))[inst.ID]
			longest, known = max(longest, n), known || ok
		}
		return longest, known
	}
	b.waitFor("a reader is known to cache a shared prompt", func() bool {
		if n, _ := cached(crashed); n > 0 {
			return true
		}
		if n, _ := cached(other); n > 0 { // the other reader has all of them: crash that one
			crashed, other = other, crashed
			return true
		}
		return false
	}, sendAll)
	crashed.Kill()
	sendAll()
	if err := crashed.Restart(); err != nil {
		t.Fatal(err)
	}
	b.updateWorkers()
	b.waitFor("the restarted reader has reported", func() bool { n, known := cached(crashed); return n == 0 && known || n > 0 && crashed.PromptsRead > 0 }, sendAll)
	before := b.listener.Stats()
	for range 10 {
		sendAll()
	}
	after := b.listener.Stats()
	if n := after.Predictions - before.Predictions; n < 5 || after.WrongPredictions-before.WrongPredictions > n/5 {
		t.Errorf("%d predictions after the restart, %d of them wrong", n, after.WrongPredictions-before.WrongPredictions)
	}
	if served.Load() < sent.Load()*3/4 {
		t.Errorf("%d of %d served", served.Load(), sent.Load())
	}
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	b.core.Wait(ctx)
	if ctx.Err() != nil || b.engines.HeldStates() > 0 {
		t.Errorf("%d states were not released", b.engines.HeldStates())
	}
	t.Logf("%d of %d served, %+v", served.Load(), sent.Load(), after)
}

// With 30% of the batches never sent, gaps must be noticed and filled by replays.
func TestLostBatchesAreReplayed(t *testing.T) {
	b := startRouter(t, enginehost.Options{Readers: 1, Writers: 1, Seed: 5, BatchLossRate: 0.3})
	n := 0
	b.waitFor("two gaps have been filled", func() bool { return b.listener.Stats().Replays > 1 }, func() {
		n++
		b.post(promptText(fmt.Sprint("t", n), 200))
	})
	s := b.listener.Stats()
	if s.Gaps < 2 || s.Blocks == 0 {
		t.Errorf("%+v", s)
	}
}

// A publisher that sends an invalid first message or isn't at the worker's address must be refused with the right
// status. A batch that can't be decoded counts as missing and is requested again.
func TestBadPublishers(t *testing.T) {
	b := startRouter(t, enginehost.Options{Readers: 1, Writers: 1, Seed: 7})
	conn, err := grpc.NewClient("passthrough:///"+b.addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	open := func(hello *pb.Published) (grpc.BidiStreamingClient[pb.Published, pb.Wanted], error) {
		ctx, stop := context.WithTimeout(context.Background(), time.Minute)
		t.Cleanup(stop)
		s, err := pb.NewKVEventsClient(conn).Publish(ctx)
		if err == nil {
			err = s.Send(hello)
		}
		return s, err
	}
	closeCode := func(hello *pb.Published) codes.Code {
		s, err := open(hello)
		if err != nil {
			return status.Code(err)
		}
		_, err = s.Recv()
		return status.Code(err)
	}
	reader := b.engines.Instances()[0].ID
	for what, c := range map[string]struct {
		hello *pb.Published
		want  codes.Code
	}{
		"no worker":               {&pb.Published{Incarnation: 1}, codes.InvalidArgument},
		"no incarnation":          {&pb.Published{Worker: reader}, codes.InvalidArgument},
		"a batch first":           {&pb.Published{Worker: reader, Incarnation: 1, Batch: []byte{1}}, codes.InvalidArgument},
		"an unlisted worker":      {&pb.Published{Worker: "s-none", Incarnation: 1}, codes.PermissionDenied},
		"a name that is too long": {&pb.Published{Worker: strings.Repeat("x", 300), Incarnation: 1}, codes.InvalidArgument},
		"an earlier incarnation":  {&pb.Published{Worker: reader, Incarnation: 1}, codes.PermissionDenied},
	} {
		b.waitFor("the engine's own stream is open", func() bool { return b.listener.Stats().Blocks > 0 }, func() { b.post(promptText("x", 300)) })
		if got := closeCode(c.hello); got != c.want {
			t.Errorf("%s: %v, want %v", what, got, c.want)
		}
	}
	// The worker is listed at another address: nobody here may report for it.
	b.core.SetWorkers(false, b.names.Workers(httpfront.List{Hosts: []httpfront.Entry{{Host: "far", Dial: "127.0.0.9:1", Site: "here", Class: "reader", Health: "up"}}}, slog.New(slog.DiscardHandler)))
	if got := closeCode(&pb.Published{Worker: "far", Incarnation: 9}); got != codes.PermissionDenied {
		t.Errorf("a worker at another address: %v", got)
	}
	// A publisher at the right address that sends invalid batches.
	b.core.SetWorkers(false, b.names.Workers(httpfront.List{Hosts: []httpfront.Entry{{Host: "odd", Dial: "127.0.0.1:1", Site: "here", Class: "reader", Health: "up"}}}, slog.New(slog.DiscardHandler)))
	s, err := open(&pb.Published{Worker: "odd", Incarnation: 9})
	if err != nil {
		t.Fatal(err)
	}
	good := kvevents.Encode(kvevents.Batch{Events: []kvevents.Event{{Stored: []uint64{1, 2, 3}, BlockTokens: 16}}})
	for i, m := range []*pb.Published{{Seq: 0, Batch: good}, {Seq: 1, Batch: []byte("nonsense")}, {Seq: 2, Batch: good[:len(good)-2]}, {Seq: 3, Batch: good}} {
		if err := s.Send(m); err != nil {
			t.Fatal(i, err)
		}
	}
	if m, err := s.Recv(); err != nil || m.ReplayFrom != 1 {
		t.Errorf("got %v, %v, want a request to replay from batch 1", m, err)
	}
	if st := b.listener.Stats(); st.Refused["batch_shape"] != 2 {
		t.Errorf("%+v", st.Refused)
	}
	newer, err := open(&pb.Published{Worker: "odd", Incarnation: 10})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Recv(); status.Code(err) != codes.Aborted {
		t.Errorf("the earlier stream ended with %v, want Aborted", err)
	}
	newer.CloseSend()
}
