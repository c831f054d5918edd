// Command rowanyard is one real router. This file owns its wiring and its end. It must never decide, nor speak to a client
// or a worker itself.
//
// The platform's file is named by ROUTER_CONFIG. An operator's own, which turns the second front on,
// is named by ROWANYARD_OPERATOR (see deploy/operator.json); without it only the platform's port is open.
package main

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/net/netutil"
	"golang.org/x/sys/unix"
	"google.golang.org/grpc"

	"rowanyard/decide"
	"rowanyard/internal/core"
	"rowanyard/internal/decisions"
	"rowanyard/internal/describe"
	"rowanyard/internal/extproc"
	"rowanyard/internal/grpcfront"
	"rowanyard/internal/httpfront"
	"rowanyard/internal/measure"
	"rowanyard/internal/operator"
	"rowanyard/internal/reports"
	"rowanyard/internal/setup"
)

const (
	firstList    = 1500 * time.Millisecond // a process that takes over waits so long for discovery's first word,
	firstWord    = 250 * time.Millisecond  // ... one that nobody serves beside so long
	leastCallers = 4                       // operators that are listened to at once, or
	callersPart  = 32                      // one for so many sockets
	scrapeWait   = time.Second             // who asks for metrics must have said so by then
	endMargin    = 500 * time.Millisecond  // the program has ended so long before it would be killed
	killMargin   = 700 * time.Millisecond  // the kill comes no sooner than the longest deadline and this
	leastEnd     = 3 * time.Second         // a longer deadline counts as this for the kill
	giveUpTime   = 700 * time.Millisecond  // so long before the kill what has no answer gets its last one
	handMargin   = 1300 * time.Millisecond // so long before the kill streams are handed over
)

func main() {
	if err := commands(os.Args[1:], os.Stdout); err != nil {
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

// await waits for discovery's first word before clients come: known may be old, and what discovery had to tell by then
// counts as told, starts of workers above all. Nobody serves while a process that is alone waits: it soon begins
// with what it has.
func await(ctx context.Context, told <-chan struct{}, alone bool, log *slog.Logger) {
	wait := firstList
	if alone {
		wait = firstWord
	}
	select {
	case <-told:
	case <-time.After(wait):
		log.Warn("discovery has said nothing: serving with the list of before", "waited_ms", wait.Milliseconds())
	case <-ctx.Done():
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
	classes := httpfront.ClassesOf(site.ClassNames)
	known := func(name string) bool { _, ok := classes[name]; return ok }
	op, routes, err := setup.Read(os.Getenv("ROWANYARD_OPERATOR"), memory, known)
	if err != nil {
		return err
	}
	log = log.With("router", cfg.Name)
	if cfg.Limits.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(cfg.Limits.Cores)))
	}
	files := descriptors(cfg.Limits.Sockets)
	workers := httpfront.NewWorkers(site.ConnectTimeout, site.ConnIdle, int(workersShare*float64(files)), log)
	workers.Resume = site.Resume
	grpcWorkers := grpcfront.NewWorkers(site.ConnectTimeout, site.ConnIdle)
	defer grpcWorkers.Close()
	c, err := core.New(site.Settings, seed, grpcfront.Prober{HTTP: workers, GRPC: grpcWorkers}, log)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	names := httpfront.Names{Kinds: site.KindNames, Zones: site.ZoneNames, Wire: op.Wire}
	var metrics *measure.Metrics
	seen := decisions.Seen{}
	if op.Metrics.Listen != "" {
		metrics = measure.New()
		seen = metrics.Seen()
	}
	if op.Traces.Endpoint != "" {
		traces, flush, err := measure.Traces(context.Background(), op.Traces.Endpoint, op.Traces.Share, cfg.Name)
		if err != nil {
			return fmt.Errorf("traces: %w", err)
		}
		defer flush()
		seen.Tracer = traces.Tracer("rowanyard")
	}
	var grants *decisions.Desk
	if op.Desk() {
		if grants, err = decisions.NewDesk(c, workers, op.Terms(site.MaxRetryAfter), seen, log); err != nil {
			return err
		}
		if metrics != nil {
			metrics.Follow(grants)
		}
	}
	var texts *reports.Listener
	if op.Reports.Listen != "" {
		if texts, err = reports.New(c, op.Index(), log); err != nil {
			return err
		}
		c.Texts = texts
		moved := c.Moved
		c.Moved = func(ids []string) {
			if moved != nil {
				moved(ids)
			}
			texts.Moved(ids)
		}
		if metrics != nil {
			metrics.FollowTexts(texts.Stats)
		}
	}
	c.SetWorkers(true, names.Workers(cfg.Known, log))

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	discovery := httpfront.NewDiscovery(names, c, int(lineShare*memory), log)
	defer discovery.Close()
	discovery.Follow(cfg.Discovery, cfg.Known.Seq)
	changes := &reloader{discovery: discovery, core: c, routes: routes, memory: memory, known: known, log: log,
		settings: op.Settings.Reload, grants: op.Desk()}
	changes.use(site)
	go changes.follow(reload)

	front := httpfront.New(c, workers, site.ClassNames, describe.Handler, log)
	if site.Resume {
		front.HandOver = leastEnd + killMargin - handMargin
	}
	if len(op.GRPC.WorkerHosts) > 0 {
		front.Bridges = map[string]httpfront.Bridge{grpcfront.Wire: grpcWorkers.Bridge}
	}
	limits := budget{memory: memory, files: float64(files), fronts: 1, front: front, workers: workers}
	for _, addr := range []string{op.GRPC.Listen, op.ExtProc.Listen, op.Decisions.Listen, op.Reports.Listen} {
		if addr != "" {
			limits.fronts++
		}
	}
	limits.take(1)
	for _, needs := range []*httpfront.Descriptors{workers.Spare, discovery.Spare} {
		needs.From(front.Shed)
	}
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
			if err := desk.Serve(discovery.Spare.Listener(l), max(leastCallers, files/callersPart)); err != nil {
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
	}
	await(ctx, discovery.Told(), shared.Alone(), log)
	listener, err := listen(cfg.Listen)
	if err != nil {
		return err
	}
	clients := limits.clients(1)
	served := make(chan error, 5)
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
		front := &extproc.Server{Core: c, Desk: grants, Workers: workers, Classes: classes, Settings: c.Settings, Routes: routes,
			Destination: op.ExtProc.DestinationHeader, Override: op.ExtProc.ModeOverride, MaxOpen: op.ExtProc.MaxOpen, Log: log}
		if err := serve("ext_proc", addr, front.GRPC()); err != nil {
			return err
		}
	}
	if addr := op.Decisions.Listen; addr != "" {
		front := &decisions.Server{Desk: grants, Classes: classes, Names: site.ClassNames, Settings: c.Settings, Routes: routes, Log: log}
		if err := serve("decisions", addr, front.GRPC()); err != nil {
			return err
		}
	}
	if addr := op.Reports.Listen; addr != "" {
		if err := serve("reports", addr, texts.GRPC()); err != nil {
			return err
		}
	}
	if addr := op.Metrics.Listen; addr != "" {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			return fmt.Errorf("metrics: %w", err)
		}
		pages := http.NewServeMux()
		pages.Handle("GET /metrics", metrics.Handler())
		server := &http.Server{Handler: pages, ReadHeaderTimeout: scrapeWait, WriteTimeout: 10 * scrapeWait, IdleTimeout: time.Minute}
		defer server.Close()
		go server.Serve(netutil.LimitListener(l, leastCallers))
		log.Info("serving", "front", "metrics", "listen", l.Addr().String())
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
	longest, kill := max(leastEnd, time.Duration(changes.longest.Load())), time.Duration(0)
	for _, k := range c.Settings().Classes {
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
