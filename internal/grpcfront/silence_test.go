package grpcfront_test

import (
	"context"
	"testing"
	"time"

	"rowanyard/internal/core"
	"rowanyard/internal/grpcfront"
	"rowanyard/internal/scale/faultproxy"
	"rowanyard/internal/standin"
)

// All calls to a model server share one connection. If it goes silent without an error, a call that times out makes the next
// one use a new connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	var proxy *faultproxy.Proxy
	fleet, err := standin.Start(standin.Options{GRPC: true, ListedAddress: func(host, address string) string {
		if host != "writer-1" {
			return address
		}
		var err error
		if proxy, err = faultproxy.Start(address); err != nil {
			t.Fatal(err)
		}
		return proxy.Address()
	}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	t.Cleanup(proxy.Close)
	w := grpcfront.NewWorkers(time.Second, time.Minute)
	t.Cleanup(w.Close)
	probe := func(wait time.Duration) error {
		ctx, stop := context.WithTimeout(context.Background(), wait)
		defer stop()
		_, err := w.Probe(ctx, core.Worker{Addr: proxy.Address(), Wire: grpcfront.Wire})
		return err
	}
	const long = 20 * time.Second
	if err := probe(long); err != nil {
		t.Fatal(err)
	}
	proxy.SilenceOpen()
	if probe(50*time.Millisecond) == nil {
		t.Fatal("answered on a silent connection")
	}
	if err := probe(long); err != nil {
		t.Errorf("call after the timeout: %v", err)
	}
}
