// Command rowanyard is one real router. This file owns configuration and wiring, the limits of the
// process and its end. It must never decide, nor speak to a client or a worker itself.
//
// The platform's file is named by ROUTER_CONFIG. An operator's own, which turns the second front on,
// is named by ROWANYARD_OPERATOR (see deploy/operator.json); without it only the platform's port is open.
package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/net/netutil"
	"golang.org/x/sys/unix"
	"google.golang.org/grpc"

	"rowanyard/decide"
	"rowanyard/internal/core"
	"rowanyard/internal/describe"
	"rowanyard/internal/extproc"
	"rowanyard/internal/grpcfront"
	"rowanyard/internal/httpfront"
	"rowanyard/internal/operator"
	"rowanyard/internal/wire"
)

// config is the file that ROUTER_CONFIG names.
type config struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Operator  string `json:"operator"` // the operators' own address, "" = none
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    httpfront.List  `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

const (
	memoryShare  = 0.7  // of the memory limit: where the collector begins to work harder
	bodiesShare  = 0.12 // of it: what clients' bodies may hold at once, and
	lineShare    = 0.04 // a line of discovery
	clientsShare = 0.45 // of the sockets, in equal parts for the fronts that are on
	workersShare = 0.4  // ... the rest is for discovery, logs, the runtime and those that are turned away
	defaultMB    = 192
	defaultFiles = 1024
	openKB       = 512 // of the memory limit for each call that may be open, where the operator sets none
	mostOpen     = 256
	twoShare     = 0.5                     // of the limits for each of two processes of the router
	shareLook    = 100 * time.Millisecond  // how often the other process is looked for
	firstList    = 1500 * time.Millisecond // a process that takes over waits so long for discovery's first word
	leastCallers = 4                       // operators that are listened to at once, or
	callersPart  = 32                      // one for so many sockets
	endMargin    = 500 * time.Millisecond  // the program has ended so long before it would be killed
	killMargin   = 700 * time.Millisecond  // the kill comes no sooner than the longest deadline and this
	leastEnd     = 3 * time.Second         // a longer deadline counts as this for the kill
	giveUpTime   = 700 * time.Millisecond  // so long before the kill what has no answer gets its last one
	handMargin   = 1300 * time.Millisecond // so long before the kill streams are handed over
)

// operators is the file that ROWANYARD_OPERATOR names.
type operators struct {
	GRPC struct {
		Listen      string   `json:"listen"`
		WorkerHosts []string `json:"worker_hosts"` // workers that speak gRPC, "*" = all of them
		MaxOpen     int      `json:"max_open"`     // calls open at once, 0 = what the limits allow
	} `json:"grpc"`
	ExtProc struct {
		Listen            string `json:"listen"`
		DestinationHeader string `json:"destination_header"`
		MaxOpen           int64  `json:"max_open"`
		OpenAPI           string `json:"openapi"` // the operator's own descriptions
		AsyncAPI          string `json:"asyncapi"`
	} `json:"ext_proc"`
}

// wire says how a worker is spoken to.
func (o operators) wire(e httpfront.Entry) string {
	for _, h := range o.GRPC.WorkerHosts {
		if h == "*" || h == e.Host {
			return grpcfront.Wire
		}
	}
	return ""
}

func loadOperators(memory float64) (operators, error) {
	o := operators{}
	o.ExtProc.DestinationHeader = extproc.DestinationHeader
	path := os.Getenv("ROWANYARD_OPERATOR")
	if path == "" {
		return o, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return o, fmt.Errorf("ROWANYARD_OPERATOR: %w", err)
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields() // a misspelt key would leave a front off in silence
	if err := d.Decode(&o); err != nil {
		return o, fmt.Errorf("%s: %w", path, err)
	}
	for name, addr := range map[string]string{"grpc": o.GRPC.Listen, "ext_proc": o.ExtProc.Listen} {
		if _, _, err := net.SplitHostPort(addr); addr != "" && err != nil {
			return o, fmt.Errorf("%s: %s.listen: %w", path, name, err)
		}
	}
	if o.GRPC.MaxOpen < 0 || o.ExtProc.MaxOpen < 0 {
		return o, fmt.Errorf("%s: max_open: %d and %d, want at least 1", path, o.GRPC.MaxOpen, o.ExtProc.MaxOpen)
	}
	most := max(1, min(mostOpen, int(memory/(openKB<<10))))
	o.GRPC.MaxOpen = cmp.Or(o.GRPC.MaxOpen, most)
	o.ExtProc.MaxOpen = cmp.Or(o.ExtProc.MaxOpen, int64(most))
	return o, nil
}

func main() {
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: logLevel()}))
	if err := run(log); err != nil {
		fmt.Fprintln(os.Stderr, "rowanyard:", err)
		os.Exit(1)
	}
}

func logLevel() slog.Level {
	var l slog.Level
	if err := l.UnmarshalText([]byte(os.Getenv("ROWANYARD_LOG"))); err != nil {
		return slog.LevelInfo
	}
	return l
}

// read reads the file that ROUTER_CONFIG names.
func read() (config, error) {
	var c config
	path := os.Getenv("ROUTER_CONFIG")
	if path == "" {
		return c, errors.New("ROUTER_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return c, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	if err := json.Unmarshal(text, &c); err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// load reads the configuration; at the start the environment has the last word on what it names.
func load() (config, wire.Site, uint64, error) {
	c, err := read()
	fail := func(err error) (config, wire.Site, uint64, error) { return c, wire.Site{}, 0, err }
	if err != nil {
		return fail(err)
	}
	path := os.Getenv("ROUTER_CONFIG")
	for name, to := range map[string]*string{"ROUTER_NAME": &c.Name, "ROUTER_LISTEN": &c.Listen, "ROUTER_DISCOVERY": &c.Discovery, "ROUTER_OPERATOR": &c.Operator} {
		if v := os.Getenv(name); v != "" {
			*to = v
		}
	}
	for name, addr := range map[string]string{"listen": c.Listen, "discovery": c.Discovery, "operator": c.Operator} {
		if _, _, err := net.SplitHostPort(addr); err != nil && (addr != "" || name != "operator") {
			return fail(fmt.Errorf("%s: %s: %w", path, name, err))
		}
	}
	seed, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		return fail(fmt.Errorf("%s: seed: %q is no hex number", path, c.Seed))
	}
	site, err := wire.ParseSite(c.Settings)
	if err != nil {
		return fail(fmt.Errorf("%s: settings: %w", path, err))
	}
	return c, site, seed, nil
}

// follow reads the configuration again and moves the watch to the discovery that it names now. What
// the environment says of that was fixed at the start and does not count any more. All else holds
// until a restart.
func follow(d *httpfront.Discovery, log *slog.Logger) {
	c, err := read()
	if err == nil {
		_, _, err = net.SplitHostPort(c.Discovery)
	}
	if err != nil {
		log.Error("new configuration is not taken, the old one holds", "err", err)
		return
	}
	log.Info("new configuration", "discovery", c.Discovery)
	d.Follow(c.Discovery, 0)
}

// listen listens at addr, where another process of this router may listen too: the one that takes over.
func listen(addr string) (net.Listener, error) {
	shared := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if e := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) }); e != nil {
			return e
		}
		return err
	}}
	return shared.Listen(context.Background(), "tcp", addr)
}

// budget is what the process may take of the router's limits: a part of it while two processes run.
type budget struct {
	memory, files float64
	fronts        int
	front         *httpfront.Front
	workers       *httpfront.Workers
}

func (b budget) clients(part float64) int {
	return max(1, int(clientsShare*part*b.files)/b.fronts)
}

// take holds the process to a part of the limits from now on.
func (b budget) take(part float64) {
	debug.SetMemoryLimit(int64(memoryShare * part * b.memory))
	b.workers.Limit(int(workersShare * part * b.files))
	b.front.Limit(b.clients(part))
	b.front.Bodies.Store(int64(bodiesShare * part * b.memory))
}

// share holds the process to its part while another one of the router runs beside it, older or newer.
func (b budget) share(ctx context.Context, desk *operator.Desk, log *slog.Logger) {
	part := 1.0
	for t := time.NewTicker(shareLook); ; {
		now := 1.0
		if _, newer := desk.Successor(); newer || !desk.Share.Alone() {
			now = twoShare
		}
		if now != part {
			log.Info("another process of this router", "runs", now < 1, "part_of_limits", now)
			part = now
			b.take(part)
		}
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
	}
}

func run(log *slog.Logger) error {
	// Guards against SIGHUP ending the program; one that comes while another is handled is kept.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	cfg, site, seed, err := load()
	if err != nil {
		return err
	}
	memory := cmp.Or(max(cfg.Limits.MemoryMB, 0), defaultMB) * (1 << 20)
	op, err := loadOperators(memory)
	if err != nil {
		return err
	}
	log = log.With("router", cfg.Name)
	if cfg.Limits.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(cfg.Limits.Cores)))
	}
	files := cfg.Limits.Sockets
	if files <= 0 {
		files = defaultFiles
	}
	workers := httpfront.NewWorkers(site.ConnectTimeout, site.ConnIdle, int(workersShare*float64(files)), log)
	workers.Resume = site.Resume
	grpcWorkers := grpcfront.NewWorkers(site.ConnectTimeout, site.ConnIdle)
	defer grpcWorkers.Close()
	c, err := core.New(site.Settings, seed, grpcfront.Prober{HTTP: workers, GRPC: grpcWorkers}, log)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	names := httpfront.Names{Kinds: site.KindNames, Zones: site.ZoneNames, Wire: op.wire}
	c.SetWorkers(true, names.Workers(cfg.Known, log))

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	discovery := httpfront.NewDiscovery(names, c, int(lineShare*memory), log)
	discovery.Fronts = site.Fronts
	defer discovery.Close()
	discovery.Follow(cfg.Discovery, cfg.Known.Seq)
	go func() {
		for range reload {
			follow(discovery, log)
		}
	}()

	front := httpfront.New(c, workers, site.ClassNames, describe.Handler, log)
	if site.Resume {
		front.HandOver = leastEnd + killMargin - handMargin
	}
	if len(op.GRPC.WorkerHosts) > 0 {
		front.Bridges = map[string]httpfront.Bridge{grpcfront.Wire: grpcWorkers.Bridge}
	}
	limits := budget{memory: memory, files: float64(files), fronts: 1, front: front, workers: workers}
	for _, addr := range []string{op.GRPC.Listen, op.ExtProc.Listen} {
		if addr != "" {
			limits.fronts++
		}
	}
	limits.take(1)
	shared, err := operator.Open(os.Getenv("TMPDIR"), cfg.Name)
	if err != nil {
		log.Error("nothing is shared with another process of this router", "err", err)
	}
	var serving atomic.Bool
	desk := &operator.Desk{Share: shared, Router: c, Standby: front.Standby, Serving: serving.Load, Log: log}
	desk.Begin()
	if !shared.Alone() {
		var known decide.Learned
		if ok, err := shared.Kept(&known); err != nil {
			log.Error("what the other process had learned can't be read", "err", err)
		} else if ok {
			if err := c.Learn(known); err != nil {
				log.Error("what the other process had learned is not taken", "err", err)
			}
		}
	}
	go desk.Watch(ctx, func() any { return c.Learned() })
	go limits.share(ctx, desk, log)
	if cfg.Operator != "" {
		l, err := net.Listen("tcp", cfg.Operator)
		if err != nil {
			return fmt.Errorf("operator: %w", err)
		}
		defer l.Close()
		go func() {
			if err := desk.Serve(l, max(leastCallers, files/callersPart)); err != nil {
				log.Error("the operators' address is closed", "err", err)
			}
		}()
		log.Info("serving", "front", "operator", "listen", l.Addr().String())
	}
	if !shared.Alone() { // there is time: the other one serves
		log.Info("taking over")
		if err := front.TakeFrom(desk.Socket()); err != nil {
			log.Error("no streams are taken over", "err", err)
		}
		select {
		case <-discovery.Told():
		case <-time.After(firstList):
		case <-ctx.Done():
		}
	}
	listener, err := listen(cfg.Listen)
	if err != nil {
		return err
	}
	clients := limits.clients(1)
	served := make(chan error, 3)
	var others []*grpc.Server
	serve := func(name, addr string, server *grpc.Server) error {
		l, err := listen(addr)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		others = append(others, server)
		go func() { served <- server.Serve(netutil.LimitListener(l, clients)) }()
		log.Info("serving", "front", name, "listen", l.Addr().String())
		return nil
	}
	over, handOver := context.WithCancel(context.Background())
	defer handOver()
	if addr := op.GRPC.Listen; addr != "" {
		front := grpcfront.NewServer(c, grpcWorkers, workers, site.ClassNames, op.GRPC.MaxOpen, log)
		front.Over = over
		if err := serve("grpc", addr, front.GRPC()); err != nil {
			return err
		}
	}
	if addr := op.ExtProc.Listen; addr != "" {
		classes := httpfront.ClassesOf(site.ClassNames)
		routes, err := describe.Load(op.ExtProc.OpenAPI, op.ExtProc.AsyncAPI, func(name string) bool { _, ok := classes[name]; return ok })
		if err != nil {
			return fmt.Errorf("ext_proc: %w", err)
		}
		front := &extproc.Server{Core: c, Workers: workers, Classes: classes, Settings: site.Settings, Routes: routes,
			Destination: op.ExtProc.DestinationHeader, MaxOpen: op.ExtProc.MaxOpen, Log: log}
		if err := serve("ext_proc", addr, front.GRPC()); err != nil {
			return err
		}
	}
	go func() { served <- front.Serve(listener, clients) }()
	serving.Store(true)
	desk.Serves()
	log.Info("serving", "front", "http", "listen", listener.Addr().String(), "workers", len(cfg.Known.Hosts))

	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	longest, kill := leastEnd, time.Duration(0)
	for _, k := range site.Classes {
		longest = max(longest, k.Deadline)
		kill = max(kill, min(leastEnd, k.Deadline)+killMargin)
	}
	defer time.AfterFunc(kill-giveUpTime, c.End).Stop()
	heir, handed := desk.Successor()
	if !handed {
		heir = ""
	}
	log.Info("draining", "for_at_most", longest.String(), "handed_on", handed)
	end, cancel := context.WithTimeout(context.Background(), longest+killMargin-endMargin)
	defer cancel()
	if front.HandOver > 0 {
		defer time.AfterFunc(front.HandOver, handOver).Stop()
	}
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		var all sync.WaitGroup
		for _, o := range others {
			all.Go(func() {
				defer context.AfterFunc(end, o.Stop)() // cuts the streams that still run
				o.GracefulStop()
			})
		}
		all.Wait()
	}()
	front.Shutdown(end, heir)
	<-drained
	c.Wait(end)
	log.Info("ended")
	return nil
}
