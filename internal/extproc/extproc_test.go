package extproc_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"rowanyard/internal/core"
	"rowanyard/internal/decisions"
	"rowanyard/internal/describe"
	"rowanyard/internal/extproc"
	"rowanyard/internal/grant"
	"rowanyard/internal/httpfront"
	"rowanyard/internal/standin"
	"rowanyard/internal/wire"
)

// env is a simulated deployment with a proxy that calls the processor for each request.
type env struct {
	fleet *standin.Fleet
	core  *core.Core
	url   string
	conn  *grpc.ClientConn
}

var (
	maxOpen  int64 = 100
	override bool
)

func start(t testing.TB, o standin.Options, routes *describe.Routes) *env {
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
	c, err := core.New(site.Settings, 1, hw, log)
	must(err)
	var list httpfront.List
	text, _ := json.Marshal(map[string]any{"hosts": fleet.Hosts()})
	must(json.Unmarshal(text, &list))
	c.SetWorkers(true, httpfront.Names{Kinds: site.KindNames, Zones: site.ZoneNames}.Workers(list, log))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	coordinator, err := decisions.NewCoordinator(c, hw, grant.Config{DrainGrace: 500 * time.Millisecond, MaxDelivery: 50 * time.Millisecond, HoldTimeout: 300 * time.Millisecond,
		WatchTimeout: 300 * time.Millisecond, EffectRetention: 30 * time.Second, MaxRetryAfter: 500 * time.Millisecond, Tick: 5 * time.Millisecond,
		MaxOpenRequests: 256, MaxCallers: 32, MaxEffects: 4096, MaxIDBytes: 64, FeedDepth: 64}, decisions.Observer{}, log)
	must(err)
	server := (&extproc.Server{Core: c, Coordinator: coordinator, Workers: hw, Classes: httpfront.ClassesOf(site.ClassNames), Settings: c.Settings,
		Routes: routes, Destination: extproc.DestinationHeader, MaxOpen: maxOpen, AllowModeOverride: override, Log: log}).GRPC()
	go server.Serve(l)
	t.Cleanup(server.Stop)
	conn, err := grpc.NewClient("passthrough:///"+l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	must(err)
	t.Cleanup(func() { conn.Close() })
	proxy := httptest.NewServer(&standin.Proxy{Processor: conn, Destination: extproc.DestinationHeader, Transport: &http.Transport{}})
	t.Cleanup(proxy.Close)
	return &env{fleet, c, proxy.URL, conn}
}

func (b *env) waitSettled(t *testing.T) {
	t.Helper()
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	b.core.Wait(ctx)
	if ctx.Err() != nil || b.fleet.HeldStates() > 0 {
		t.Errorf("requests did not end, or %d states are still held", b.fleet.HeldStates())
	}
}

var ids atomic.Int64

func (b *env) post(path, class, key string, leftMs int, more ...string) (int, http.Header, string, error) {
	body := fmt.Sprintf(`{"model":"chat","stream":true,"messages":[{"role":"user","content":%q}]}`, key)
	req, _ := http.NewRequest(http.MethodPost, b.url+path, strings.NewReader(body))
	req.Header.Set("X-Txn", fmt.Sprintf("t%d", ids.Add(1)))
	if class != "" {
		req.Header.Set("X-Lane", class)
		req.Header.Set("X-Remaining-Ms", fmt.Sprint(leftMs))
		req.Header.Set("X-Labels", "prompt_len=40,max_out=9")
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, "", err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return res.StatusCode, res.Header, string(text), err
}

func TestProxyCarriesTheWrite(t *testing.T) {
	b := start(t, standin.Options{Tokens: 3, Writers: 2}, nil)
	code, _, text, err := b.post("/v1/chat/completions", "send-message", "k", 1000)
	if code != 200 || err != nil || !strings.Contains(text, `"t2 "`) || !strings.HasSuffix(text, "data: [DONE]\n\n") {
		t.Errorf("%d %v %q", code, err, text)
	}
	b.waitSettled(t)
}

// Over the limit, the client is told when to retry. An error on the stream would make the proxy answer 500.
func TestTooManyOpenRequestsAreRefused(t *testing.T) {
	defer func(n int64) { maxOpen = n }(maxOpen)
	maxOpen = 0
	b := start(t, standin.Options{}, nil)
	if code, head, _, err := b.post("/v1/chat/completions", "send-message", "k", 1000); code != 503 || head.Get("Retry-After") != "0.250" {
		t.Errorf("%d %v %v", code, head, err)
	}
}

func TestWorkerFaultsGiveTheirStatuses(t *testing.T) {
	for _, c := range []struct {
		stage, class string
		fault        standin.Fault
		want         int
	}{
		{"read", "send-message", standin.Reject, 503}, {"write", "send-message", standin.Reject, 503},
		{"write", "send-message", standin.Error, 502}, {"write", "send-message", standin.ResetBeforeFirstToken, 502},
		{"write", "send-message", standin.Hang, 502}, {"read", "none", standin.None, 400},
	} {
		b := start(t, standin.Options{FaultFor: func(stage, _ string, _ int) standin.Fault {
			if stage == c.stage {
				return c.fault
			}
			return standin.None
		}}, nil)
		code, head, text, _ := b.post("/", c.class, "k", 400)
		if code != c.want || code == 503 && head.Get("Retry-After") == "" {
			t.Errorf("%+v: %d %v %q", c, code, head, text)
		}
		if n := b.fleet.Calls("write", "k"); n > 1 {
			t.Errorf("%+v: written %d times", c, n)
		}
		b.waitSettled(t)
	}
}

func TestRandomResetsRepeatNoEffect(t *testing.T) {
	b := start(t, standin.Options{Readers: 3, Writers: 4, Tokens: 4,
		FaultFor: standin.RandomFaults(11, 0.06, standin.ResetBeforeFirstToken, standin.ResetMidStream, standin.Error, standin.Reject)}, nil)
	var served, broken atomic.Int64
	var all sync.WaitGroup
	for c := range 12 {
		all.Go(func() {
			for i := range 20 {
				key := fmt.Sprintf("m-%d-%d", c, i)
				for range 3 {
					code, _, text, err := b.post("/", "send-message", key, 2000)
					if code == http.StatusServiceUnavailable {
						continue
					}
					whole := strings.HasSuffix(text, "data: [DONE]\n\n")
					if code == 200 && whole != (err == nil) {
						t.Errorf("%s: %q ended with %v", key, text, err)
					}
					if whole {
						served.Add(1)
					} else {
						broken.Add(1)
					}
					break
				}
			}
		})
	}
	all.Wait()
	b.waitSettled(t)
	for key, n := range b.fleet.Effects() {
		if n > 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
	t.Logf("%d served, %d broken or failed", served.Load(), broken.Load())
	if served.Load() < 120 || broken.Load() == 0 {
		t.Error("too few requests were served, or none was broken")
	}
}

func TestAPIDescriptionGivesRouteAndClass(t *testing.T) {
	file := filepath.Join(t.TempDir(), "api.yaml")
	os.WriteFile(file, []byte(`openapi: 3.0.3
info: {title: theirs, version: "1"}
paths:
  /members/{member}/send:
    post:
      x-rowanyard-class: send-message
      parameters: [{name: member, in: path, required: true, schema: {type: string}}]
      responses: {"200": {description: sent}}
`), 0o600)
	routes, err := describe.Load(file, "", func(string) bool { return true })
	if err != nil {
		t.Fatal(err)
	}
	b := start(t, standin.Options{}, routes)
	if code, _, text, err := b.post("/members/7/send", "", "k", 0); code != 200 || err != nil || b.fleet.Effects()["send-message k"] != 1 {
		t.Errorf("%d %q %v", code, text, err)
	}
	// A path outside the description passes unchanged, here to an upstream that does not exist.
	if code, _, _, _ := b.post("/other", "", "k2", 0); code != 503 || b.fleet.Calls("read", "k2") != 0 {
		t.Errorf("path outside the description: %d", code)
	}
	b.waitSettled(t)
}
