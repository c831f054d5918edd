// Package setup reads and validates the operator's file, which enables optional fronts and services. It opens no port and
// starts nothing.
package setup

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/url"
	"os"
	"strings"
	"time"

	"rowanyard/internal/describe"
	"rowanyard/internal/extproc"
	"rowanyard/internal/grant"
	"rowanyard/internal/grpcfront"
	"rowanyard/internal/httpfront"
	"rowanyard/internal/kvindex"
)

// File is the contents of the operator's file. After Read, values that the file leaves out have their defaults.
type File struct {
	GRPC struct {
		Listen      string   `json:"listen"`
		WorkerHosts []string `json:"worker_hosts"` // hosts of workers that speak gRPC, "*" = all
		MaxOpen     int      `json:"max_open"`     // calls open at once, 0 = derived from the memory limit
	} `json:"grpc"`
	ExtProc struct {
		Listen            string `json:"listen"`
		DestinationHeader string `json:"destination_header"`
		MaxOpen           int64  `json:"max_open"`
		ModeOverride      bool   `json:"mode_override"` // the proxies allow the processor to override their processing mode
		OpenAPI           string `json:"openapi"`       // paths of the operator's API descriptions
		AsyncAPI          string `json:"asyncapi"`
	} `json:"ext_proc"`
	Decisions struct {
		Listen string `json:"listen"`
	} `json:"decisions"`
	Grants struct {
		DeliveryMs int `json:"delivery_ms"` // from a caller's decision to send to the first byte at the worker
		HoldMs     int `json:"hold_ms"`     // held state is released this long after the last sign of life from its caller
		HeardMs    int `json:"heard_ms"`    // silence of a watch stream after which its caller drops its grants
		RememberS  int `json:"remember_s"`  // for how long an effect that may have happened is remembered
		Open       int `json:"open"`        // requests open at once, of all callers
		Callers    int `json:"callers"`     // callers tracked at once
		Effects    int `json:"effects"`     // effects remembered at once
	} `json:"grants"`
	Reports struct {
		Listen  string `json:"listen"`
		Blocks  int    `json:"blocks"`   // blocks indexed at once, 0 = derived from the memory limit
		BoundMs int    `json:"bound_ms"` // for how long entries that may be stale are still used
	} `json:"reports"`
	Metrics struct {
		Listen string `json:"listen"`
	} `json:"metrics"`
	Settings struct {
		Reload bool `json:"reload"` // SIGHUP reloads the settings of the platform's file
	} `json:"settings"`
	Traces struct {
		Endpoint string  `json:"endpoint"` // an OTLP/HTTP collector
		Share    float64 `json:"share"`    // share of requests that are traced
	} `json:"traces"`
}

const (
	callMemoryKB        = 512 // of the memory limit per open call, for the default of max_open
	maxDefaultOpenCalls = 256
	effectMemoryKB      = 4 // of the memory limit per remembered effect
	drainGrace          = 500 * time.Millisecond
	maxHold             = 300 * time.Millisecond
	timerTick           = 5 * time.Millisecond
	feedDepth           = 256
	maxIDLength         = 64

	indexMemoryShare      = 0.08 // of the memory limit, for the index of workers' prefix caches
	indexBytesPerBlock    = 96   // one entry, and the free space in the table
	minIndexBlocks        = 1024
	reportBlocksPerSecond = 200_000 // block changes that one worker may report per second
	reportBlockBurst      = 400_000 // block changes that one worker may report at once
	maxBufferedReports    = 64
	maxReportWorkers      = 4096 // memory is allocated as needed
)

// Read reads and validates the file at path; an empty path stands for an empty file. memoryBytes is the router's memory limit,
// from which defaults are derived. classExists reports whether a request class exists; if it is nil, every class does. Each
// error states the file, the position or key, and the reason.
func Read(path string, memoryBytes float64, classExists func(class string) bool) (*File, *describe.Routes, error) {
	f := &File{}
	if path != "" {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, nil, err
		}
		if err := f.parse(text); err != nil {
			return nil, nil, fmt.Errorf("%s:%w", path, err)
		}
	}
	if err := f.check(memoryBytes); err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	if classExists == nil {
		classExists = func(string) bool { return true }
	}
	routes, err := describe.Load(f.ExtProc.OpenAPI, f.ExtProc.AsyncAPI, classExists)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: ext_proc: %w", path, err)
	}
	return f, routes, nil
}

// parse decodes text; errors begin with the line number.
func (f *File) parse(text []byte) error {
	line := func(offset int64) int {
		return 1 + bytes.Count(text[:min(max(0, int(offset)), len(text))], []byte("\n"))
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields() // a misspelled key would silently leave a front disabled
	err := d.Decode(f)
	var syntax *json.SyntaxError
	var mismatch *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return fmt.Errorf("%d: %w", line(syntax.Offset), err)
	case errors.As(err, &mismatch):
		return fmt.Errorf("%d: %s: %s, want %s", line(mismatch.Offset), mismatch.Field, mismatch.Value, mismatch.Type)
	case err == io.EOF, errors.Is(err, io.ErrUnexpectedEOF):
		return fmt.Errorf("%d: unexpected end of file", line(int64(len(text))))
	case err != nil: // the decoder does not report the position of an unknown key: search for its name
		if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
			return fmt.Errorf("%d: %s: unknown key", line(int64(bytes.Index(text, []byte(name)))), strings.Trim(name, `"`))
		}
		return fmt.Errorf("%d: %w", line(d.InputOffset()), err)
	}
	if _, err := d.Token(); err != io.EOF {
		return fmt.Errorf("%d: unexpected data after the end", line(d.InputOffset()))
	}
	return nil
}

// check fills in defaults and rejects invalid values.
func (f *File) check(memoryBytes float64) error {
	listens := map[string]string{}
	for _, l := range []struct{ key, addr string }{{"grpc.listen", f.GRPC.Listen}, {"ext_proc.listen", f.ExtProc.Listen},
		{"decisions.listen", f.Decisions.Listen}, {"reports.listen", f.Reports.Listen}, {"metrics.listen", f.Metrics.Listen}} {
		if l.addr == "" {
			continue
		}
		_, port, err := net.SplitHostPort(l.addr)
		if err != nil {
			return fmt.Errorf("%s: %w", l.key, err)
		}
		if other, ok := listens[l.addr]; ok && port != "0" {
			return fmt.Errorf("%s: %s is already used by %s", l.key, l.addr, other)
		}
		listens[l.addr] = l.key
	}
	g := &f.Grants
	for _, n := range []struct {
		key   string
		v     int
		limit int
	}{{"grpc.max_open", f.GRPC.MaxOpen, 1 << 20}, {"ext_proc.max_open", int(f.ExtProc.MaxOpen), 1 << 20}, {"grants.delivery_ms", g.DeliveryMs, 499},
		{"grants.hold_ms", g.HoldMs, int(maxHold.Milliseconds())}, {"grants.heard_ms", g.HeardMs, 499}, {"grants.remember_s", g.RememberS, 24 * 3600},
		{"grants.open", g.Open, 1 << 20}, {"grants.callers", g.Callers, 1 << 16}, {"grants.effects", g.Effects, 1 << 24},
		{"reports.blocks", f.Reports.Blocks, 1 << 26}, {"reports.bound_ms", f.Reports.BoundMs, 60000}} {
		if n.v < 0 || n.v > n.limit {
			return fmt.Errorf("%s: %d, want 0 to %d", n.key, n.v, n.limit)
		}
	}
	if f.ExtProc.Listen == "" && f.Decisions.Listen == "" && (f.ExtProc.OpenAPI != "" || f.ExtProc.AsyncAPI != "") {
		return errors.New("ext_proc.openapi, ext_proc.asyncapi: used by neither ext_proc.listen nor decisions.listen, which are not set")
	}
	if f.ExtProc.Listen == "" && f.ExtProc.ModeOverride {
		return errors.New("ext_proc.mode_override: requires ext_proc.listen")
	}
	limit := max(1, min(maxDefaultOpenCalls, int(memoryBytes/(callMemoryKB<<10))))
	f.GRPC.MaxOpen = cmp.Or(f.GRPC.MaxOpen, limit)
	f.ExtProc.MaxOpen = cmp.Or(f.ExtProc.MaxOpen, int64(limit))
	f.ExtProc.DestinationHeader = strings.ToLower(cmp.Or(f.ExtProc.DestinationHeader, extproc.DestinationHeader))
	if !httpfront.ValidID(f.ExtProc.DestinationHeader) {
		return fmt.Errorf("ext_proc.destination_header: %q is not a valid header name", f.ExtProc.DestinationHeader)
	}
	g.DeliveryMs, g.HoldMs, g.HeardMs = cmp.Or(g.DeliveryMs, 50), cmp.Or(g.HoldMs, int(maxHold.Milliseconds())), cmp.Or(g.HeardMs, 300)
	g.RememberS, g.Callers = cmp.Or(g.RememberS, 60), cmp.Or(g.Callers, 1024)
	g.Open = cmp.Or(g.Open, 2*int(f.ExtProc.MaxOpen)) // a single caller may use half of them
	g.Effects = cmp.Or(g.Effects, max(1, int(memoryBytes/(effectMemoryKB<<10))))
	if err := f.GrantTerms(0).Check(); err != nil {
		return fmt.Errorf("grants: %w", err)
	}
	f.Reports.Blocks = cmp.Or(f.Reports.Blocks, max(minIndexBlocks, int(indexMemoryShare*memoryBytes/indexBytesPerBlock)))
	f.Reports.BoundMs = cmp.Or(f.Reports.BoundMs, 2000)
	if err := f.IndexSettings().Check(); err != nil {
		return fmt.Errorf("reports: %w", err)
	}
	if f.Traces.Share < 0 || f.Traces.Share > 1 {
		return fmt.Errorf("traces.share: %v, want 0 to 1", f.Traces.Share)
	}
	if f.Traces.Endpoint != "" {
		u, err := url.Parse(f.Traces.Endpoint)
		if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
			return fmt.Errorf("traces.endpoint: %q is not a URL such as http://127.0.0.1:4318", f.Traces.Endpoint)
		}
		f.Traces.Share = cmp.Or(f.Traces.Share, 0.01)
	} else if f.Traces.Share > 0 {
		return errors.New("traces.share: requires traces.endpoint")
	}
	return nil
}

// GrantTerms returns the terms of grants. maxWait is the longest Retry-After that is sent to clients.
func (f *File) GrantTerms(maxWait time.Duration) grant.Config {
	g := f.Grants
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	return grant.Config{DrainGrace: drainGrace, MaxDelivery: ms(g.DeliveryMs), HoldTimeout: ms(g.HoldMs), WatchTimeout: ms(g.HeardMs),
		EffectRetention: time.Duration(g.RememberS) * time.Second, MaxRetryAfter: maxWait, Tick: timerTick, MaxOpenRequests: g.Open, MaxCallers: g.Callers,
		MaxEffects: g.Effects, MaxIDBytes: maxIDLength, FeedDepth: feedDepth}
}

// IndexSettings returns the settings of the index of workers' prefix caches.
func (f *File) IndexSettings() kvindex.Settings {
	return kvindex.Settings{MaxBlocks: f.Reports.Blocks, MaxWorkers: maxReportWorkers, MaxStaleness: time.Duration(f.Reports.BoundMs) * time.Millisecond,
		MaxBuffered: maxBufferedReports, ChangesPerSecond: reportBlocksPerSecond, Burst: reportBlockBurst}
}

// NeedsGrants reports whether an enabled service grants attempts to callers outside the router.
func (f *File) NeedsGrants() bool { return f.ExtProc.Listen != "" || f.Decisions.Listen != "" }

// Wire returns the protocol that a worker speaks: grpcfront.Wire, or "" for HTTP.
func (f *File) Wire(e httpfront.Entry) string {
	for _, h := range f.GRPC.WorkerHosts {
		if h == "*" || h == e.Host {
			return grpcfront.Wire
		}
	}
	return ""
}
