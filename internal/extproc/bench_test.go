package extproc_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"rowanyard/internal/core"
	"rowanyard/internal/httpfront"
	"rowanyard/internal/standin"
	"rowanyard/internal/wire"
)

// Sends the same requests alternately through the HTTP front and through a proxy that calls the external processor, to the
// same workers. One operation is one of each; the metrics are the times to the response headers for both.
func BenchmarkProxyOverhead(b *testing.B) {
	t := b
	e := start(t, standin.Options{Readers: 2, Writers: 2}, nil)
	log := slog.New(slog.DiscardHandler)
	site, err := wire.ParseRouterSettings(standin.Settings())
	if err != nil {
		b.Fatal(err)
	}
	hw := httpfront.NewWorkers(site.ConnectTimeout, site.ConnIdleTimeout, 400, log)
	c, err := core.New(site.Settings, 1, hw, log)
	if err != nil {
		b.Fatal(err)
	}
	var list httpfront.List
	text, _ := json.Marshal(map[string]any{"hosts": e.fleet.Hosts()})
	json.Unmarshal(text, &list)
	c.SetWorkers(true, httpfront.Names{Kinds: site.KindNames, Zones: site.ZoneNames}.Workers(list, log))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	front := httpfront.New(c, hw, site.ClassNames, nil, log)
	go front.Serve(l, 100)
	defer front.Shutdown(context.Background(), "")
	n := 0
	firstByte := func(url string) time.Duration {
		n++
		req, _ := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(prompt))
		for k, v := range map[string]string{"X-Txn": fmt.Sprint("b", n), "X-Lane": "draft-reply", "X-Remaining-Ms": "5000", "X-Labels": "prompt_len=40,max_out=9"} {
			req.Header.Set(k, v)
		}
		started := time.Now()
		res, err := http.DefaultClient.Do(req)
		took := time.Since(started)
		if err != nil || res.StatusCode != 200 {
			b.Fatal(res, err)
		}
		io.Copy(io.Discard, res.Body)
		res.Body.Close()
		return took
	}
	var plain, proxied []time.Duration
	for b.Loop() {
		plain = append(plain, firstByte("http://"+l.Addr().String()))
		proxied = append(proxied, firstByte(e.url))
	}
	for name, v := range map[string][]time.Duration{"http": plain, "extproc": proxied} {
		slices.Sort(v)
		b.ReportMetric(float64(v[len(v)/2].Microseconds()), name+"-median-µs")
		b.ReportMetric(float64(v[len(v)*99/100].Microseconds()), name+"-p99-µs")
	}
}
