package hollow

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"rowanyard/decide"
	"rowanyard/internal/core"
	"rowanyard/internal/httpfront"
)

// The workers respond to the router's own client, and the messages are counted by kind.
func TestRouterClientProtocol(t *testing.T) {
	const workers = 600
	f, err := Start(Options{Workers: workers, Readers: 0.25, Tokens: 3})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	client := httpfront.NewWorkers(time.Minute, time.Minute, 100, nil)
	reader, writer := -1, -1
	readers := 0
	for i := range workers {
		if f.IsReader(i) {
			readers, reader = readers+1, i
		} else {
			writer = i
		}
	}
	if readers != workers/4 {
		t.Errorf("%d readers of %d", readers, workers)
	}
	x := &httpfront.Exchange{Workers: client, Method: http.MethodPost, URI: httpfront.PathChat, Head: http.Header{"X-Txn": {"a"}}, Body: []byte("{}")}
	attempt := func(worker int, read bool) core.Result {
		return x.Try(t.Context(), core.Attempt{To: core.Worker{Addr: f.Address(worker)}, Read: read,
			Deadline: time.Now().Add(time.Minute), MaySend: func() bool { return true }})
	}
	if res := attempt(reader, true); res.Status != decide.Read {
		t.Errorf("read: %+v", res)
	}
	res := attempt(writer, false)
	if res.Status != 0 {
		t.Fatalf("write: %+v", res)
	}
	text, err := io.ReadAll(res.Stream.(io.Reader))
	if n := strings.Count(string(text), "data: "); err != nil || n != 4 { // three events and the end
		t.Errorf("%d events, %v", n, err)
	}
	at := core.Worker{Addr: f.Address(workers - 1)}
	if p, err := client.Probe(t.Context(), at); err != nil || p.QueuedRequests != 0 {
		t.Errorf("probe: %+v %v", p, err)
	}
	if err := client.Release(t.Context(), at, "a"); err != nil {
		t.Errorf("release: %v", err)
	}
	counts := f.Counts()
	for _, kind := range []Kind{Probe, Release, Read, Write} {
		if c := counts.ByKind[kind]; c.Messages != 1 || c.In == 0 || c.Out == 0 {
			t.Errorf("%v: %+v", kind, c)
		}
	}
	if counts.ByKind[Other].Messages != 0 || counts.Connections < 2 || counts.MaxProbes != 1 {
		t.Errorf("%+v", counts)
	}
	if since := f.Counts().Since(counts); since.ByKind[Probe].Messages != 0 || since.Connections != 0 {
		t.Errorf("counts since the last snapshot, want none: %+v", since)
	}
}

// An address after that of the last worker does not respond, and invalid options are rejected.
func TestAddressesBeyondLastWorkerDoNotAnswer(t *testing.T) {
	f, err := Start(Options{Workers: 2, Readers: 0.5})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	ctx, stop := context.WithTimeout(t.Context(), time.Minute)
	defer stop()
	c, err := new(net.Dialer).DialContext(ctx, "tcp", f.Address(2))
	if err != nil {
		return // not even reachable
	}
	defer c.Close()
	io.WriteString(c, "GET /stats HTTP/1.1\r\nHost: x\r\n\r\n")
	if text, _ := io.ReadAll(c); len(text) > 0 {
		t.Errorf("%q", text)
	}
	for _, bad := range []Options{{}, {Workers: 1, Readers: 0.5}, {Workers: MaxWorkers + 1, Readers: 0.5}, {Workers: 9}, {Workers: 9, Readers: 1}} {
		if f, err := Start(bad); err == nil {
			f.Close()
			t.Errorf("%+v: started", bad)
		}
	}
}
