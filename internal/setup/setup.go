// Package setup owns the operator's file: its keys, what they may be, and what they mean together. It must never open
// a port nor start anything: it reads, checks and says why not.
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

// File is the operator's file. What it leaves out is off, or what is usual.
type File struct {
	GRPC struct {
		Listen      string   `json:"listen"`
		WorkerHosts []string `json:"worker_hosts"` // workers that speak gRPC, "*" = all of them
		MaxOpen     int      `json:"max_open"`     // calls open at once, 0 = what the limits allow
	} `json:"grpc"`
	ExtProc struct {
		Listen            string `json:"listen"`
		DestinationHeader string `json:"destination_header"`
		MaxOpen           int64  `json:"max_open"`
		ModeOverride      bool   `json:"mode_override"` // proxies let the processor change their processing mode
		OpenAPI           string `json:"openapi"`       // the operator's own descriptions
		AsyncAPI          string `json:"asyncapi"`
	} `json:"ext_proc"`
	Decisions struct {
		Listen string `json:"listen"`
	} `json:"decisions"`
	Grants struct {
		DeliveryMs int `json:"delivery_ms"` // from a caller's decision to act to the first byte at the worker
		HoldMs     int `json:"hold_ms"`     // what is held ends so long after a caller's last sign
		HeardMs    int `json:"heard_ms"`    // the silence of a stream after which a caller that watches drops its grants
		RememberS  int `json:"remember_s"`  // an effect that may have happened is remembered for so long
		Open       int `json:"open"`        // requests open at once, all callers together
		Callers    int `json:"callers"`     // callers known at once
		Effects    int `json:"effects"`     // effects remembered at once
	} `json:"grants"`
	Reports struct {
		Listen  string `json:"listen"`
		Blocks  int    `json:"blocks"`   // known at once, 0 = what the limits allow
		BoundMs int    `json:"bound_ms"` // what may be wrong is not believed for longer
	} `json:"reports"`
	Metrics struct {
		Listen string `json:"listen"`
	} `json:"metrics"`
	Settings struct {
		Reload bool `json:"reload"` // SIGHUP puts the settings of the platform's file in force
	} `json:"settings"`
	Traces struct {
		Endpoint string  `json:"endpoint"` // an OTLP/HTTP collector
		Share    float64 `json:"share"`    // of the requests
	} `json:"traces"`
}

const (
	openKB     = 512 // of the memory limit for each call that may be open, where the operator sets none
	mostOpen   = 256
	effectKB   = 4 // of the memory limit for each effect that is remembered
	drainGrace = 500 * time.Millisecond
	holdMost   = 300 * time.Millisecond
	wheelTick  = 5 * time.Millisecond
	feedDepth  = 256
	idLength   = 64

	indexShare    = 0.08 // of the memory limit, for the index of what workers keep
	blockBytes    = 96   // an entry of it, and the room that the table leaves
	leastBlocks   = 1024
	reportRate    = 200_000 // changes of blocks that a worker may report in a second ...
	reportBurst   = 400_000 // ... and at once
	reportBuffer  = 64
	reportWorkers = 4096 // room for them is made by need
)

// Read reads and checks a file; "" is an empty one. memory is the router's limit in bytes. known says which classes
// there are; nil: any. Each error names the file, the place and the reason.
func Read(path string, memory float64, known func(class string) bool) (*File, *describe.Routes, error) {
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
	if err := f.check(memory); err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	if known == nil {
		known = func(string) bool { return true }
	}
	routes, err := describe.Load(f.ExtProc.OpenAPI, f.ExtProc.AsyncAPI, known)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: ext_proc: %w", path, err)
	}
	return f, routes, nil
}

// parse reads the text; errors begin with the line.
func (f *File) parse(text []byte) error {
	line := func(offset int64) int {
		return 1 + bytes.Count(text[:min(max(0, int(offset)), len(text))], []byte("\n"))
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields() // a misspelt key would leave a front off in silence
	err := d.Decode(f)
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return fmt.Errorf("%d: %w", line(syntax.Offset), err)
	case errors.As(err, &kind):
		return fmt.Errorf("%d: %s: %s, want %s", line(kind.Offset), kind.Field, kind.Value, kind.Type)
	case err == io.EOF, errors.Is(err, io.ErrUnexpectedEOF):
		return fmt.Errorf("%d: it ends in the middle", line(int64(len(text))))
	case err != nil: // an unknown key: the decoder does not say where, but its name does
		if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
			return fmt.Errorf("%d: %s: no such key", line(int64(bytes.Index(text, []byte(name)))), strings.Trim(name, `"`))
		}
		return fmt.Errorf("%d: %w", line(d.InputOffset()), err)
	}
	if _, err := d.Token(); err != io.EOF {
		return fmt.Errorf("%d: something follows its end", line(d.InputOffset()))
	}
	return nil
}

// check fills in what is usual and refuses what can't be.
func (f *File) check(memory float64) error {
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
			return fmt.Errorf("%s: %s is %s too", l.key, l.addr, other)
		}
		listens[l.addr] = l.key
	}
	g := &f.Grants
	for _, n := range []struct {
		key  string
		v    int
		most int
	}{{"grpc.max_open", f.GRPC.MaxOpen, 1 << 20}, {"ext_proc.max_open", int(f.ExtProc.MaxOpen), 1 << 20}, {"grants.delivery_ms", g.DeliveryMs, 499},
		{"grants.hold_ms", g.HoldMs, int(holdMost.Milliseconds())}, {"grants.heard_ms", g.HeardMs, 499}, {"grants.remember_s", g.RememberS, 24 * 3600},
		{"grants.open", g.Open, 1 << 20}, {"grants.callers", g.Callers, 1 << 16}, {"grants.effects", g.Effects, 1 << 24},
		{"reports.blocks", f.Reports.Blocks, 1 << 26}, {"reports.bound_ms", f.Reports.BoundMs, 60000}} {
		if n.v < 0 || n.v > n.most {
			return fmt.Errorf("%s: %d, want 0 to %d", n.key, n.v, n.most)
		}
	}
	if f.ExtProc.Listen == "" && f.Decisions.Listen == "" && (f.ExtProc.OpenAPI != "" || f.ExtProc.AsyncAPI != "") {
		return errors.New("ext_proc.openapi, ext_proc.asyncapi: descriptions, and neither ext_proc.listen nor decisions.listen to use them")
	}
	if f.ExtProc.Listen == "" && f.ExtProc.ModeOverride {
		return errors.New("ext_proc.mode_override: without ext_proc.listen")
	}
	most := max(1, min(mostOpen, int(memory/(openKB<<10))))
	f.GRPC.MaxOpen = cmp.Or(f.GRPC.MaxOpen, most)
	f.ExtProc.MaxOpen = cmp.Or(f.ExtProc.MaxOpen, int64(most))
	f.ExtProc.DestinationHeader = strings.ToLower(cmp.Or(f.ExtProc.DestinationHeader, extproc.DestinationHeader))
	if !httpfront.ValidID(f.ExtProc.DestinationHeader) {
		return fmt.Errorf("ext_proc.destination_header: %q is no header's name", f.ExtProc.DestinationHeader)
	}
	g.DeliveryMs, g.HoldMs, g.HeardMs = cmp.Or(g.DeliveryMs, 50), cmp.Or(g.HoldMs, int(holdMost.Milliseconds())), cmp.Or(g.HeardMs, 300)
	g.RememberS, g.Callers = cmp.Or(g.RememberS, 60), cmp.Or(g.Callers, 1024)
	g.Open = cmp.Or(g.Open, 2*int(f.ExtProc.MaxOpen)) // one caller alone gets half of them
	g.Effects = cmp.Or(g.Effects, max(1, int(memory/(effectKB<<10))))
	if err := f.Terms(0).Check(); err != nil {
		return fmt.Errorf("grants: %w", err)
	}
	f.Reports.Blocks = cmp.Or(f.Reports.Blocks, max(leastBlocks, int(indexShare*memory/blockBytes)))
	f.Reports.BoundMs = cmp.Or(f.Reports.BoundMs, 2000)
	if err := f.Index().Check(); err != nil {
		return fmt.Errorf("reports: %w", err)
	}
	if f.Traces.Share < 0 || f.Traces.Share > 1 {
		return fmt.Errorf("traces.share: %v, want 0 to 1", f.Traces.Share)
	}
	if f.Traces.Endpoint != "" {
		u, err := url.Parse(f.Traces.Endpoint)
		if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
			return fmt.Errorf("traces.endpoint: %q is no address such as http://127.0.0.1:4318", f.Traces.Endpoint)
		}
		f.Traces.Share = cmp.Or(f.Traces.Share, 0.01)
	} else if f.Traces.Share > 0 {
		return errors.New("traces.share: without traces.endpoint")
	}
	return nil
}

// Terms are what grants are given on.
func (f *File) Terms(maxWait time.Duration) grant.Terms {
	g := f.Grants
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	return grant.Terms{Drain: drainGrace, Delivery: ms(g.DeliveryMs), Hold: ms(g.HoldMs), Heard: ms(g.HeardMs),
		Remember: time.Duration(g.RememberS) * time.Second, MaxWait: maxWait, Tick: wheelTick, Open: g.Open, Callers: g.Callers,
		Effects: g.Effects, Longest: idLength, FeedDepth: feedDepth}
}

// Index is what is known of the texts that workers keep.
func (f *File) Index() kvindex.Settings {
	return kvindex.Settings{Blocks: f.Reports.Blocks, Workers: reportWorkers, Bound: time.Duration(f.Reports.BoundMs) * time.Millisecond,
		Buffered: reportBuffer, Rate: reportRate, Burst: reportBurst}
}

// Desk says whether anything lets others carry attempts.
func (f *File) Desk() bool { return f.ExtProc.Listen != "" || f.Decisions.Listen != "" }

// Wire says how a worker is spoken to.
func (f *File) Wire(e httpfront.Entry) string {
	for _, h := range f.GRPC.WorkerHosts {
		if h == "*" || h == e.Host {
			return grpcfront.Wire
		}
	}
	return ""
}
