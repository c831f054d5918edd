package main

// Assembly of the process, up to the point where its fronts open: configuration, core, worker clients, and the state shared
// with another process of the same router.

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"runtime"
	"strings"
	"sync/atomic"

	"rowanyard/decide"
	"rowanyard/internal/acceptretry"
	"rowanyard/internal/core"
	"rowanyard/internal/decisions"
	"rowanyard/internal/describe"
	"rowanyard/internal/effectlog"
	"rowanyard/internal/grpcfront"
	"rowanyard/internal/httpfront"
	"rowanyard/internal/inbound"
	"rowanyard/internal/measure"
	"rowanyard/internal/operator"
	"rowanyard/internal/reports"
	"rowanyard/internal/setup"
	"rowanyard/internal/wire"
)

// process holds the parts of one router process.
type process struct {
	log *slog.Logger

	// Configuration, fixed at the start.
	config       config
	site         wire.RouterSettings
	seed         uint64
	classes      httpfront.Classes
	operatorFile *setup.File
	routes       *describe.Routes
	memoryBytes  float64 // the memory limit
	descriptors  int     // the limit on open descriptors

	// Decisions and connections to workers.
	core         *core.Core
	workers      *httpfront.Workers
	grpcWorkers  *grpcfront.Workers
	names        httpfront.Names
	metrics      *measure.Metrics       // nil if disabled
	grants       *decisions.Coordinator // nil if no callers outside the router carry attempts
	cacheReports *reports.Listener      // nil if workers do not report their prefix caches
	discovery    *httpfront.Discovery
	reloader     *configReloader
	front        *httpfront.Front
	budget       resourceBudget

	// State shared with another process of the router, and the listeners.
	shared         *operator.SharedState
	control        *operator.Controller
	serving        atomic.Bool
	serveErrors    chan error // receives the error that ends a front
	grpcServers    []drainedServer
	endGRPCStreams context.CancelFunc // ends the streams of gRPC clients; nil without a gRPC front
	cleanups       []func()           // run by close in reverse order
}

// newProcess reads the configuration files and applies the process-wide limits.
func newProcess(log *slog.Logger) (*process, error) {
	p := &process{serveErrors: make(chan error, 5)}
	var err error
	if p.config, p.site, p.seed, err = loadConfig(); err != nil {
		return nil, err
	}
	p.memoryBytes = cmp.Or(max(p.config.Limits.MemoryMB, 0), defaultMemoryMB) * (1 << 20)
	p.classes = httpfront.ClassesOf(p.site.ClassNames)
	if p.operatorFile, p.routes, err = setup.Read(os.Getenv("ROWANYARD_OPERATOR"), p.memoryBytes, p.hasClass); err != nil {
		return nil, err
	}
	p.log = log.With("router", p.config.Name)
	if cores := p.config.Limits.Cores; cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(cores)))
	}
	p.descriptors = descriptorLimit(p.config.Limits.Sockets)
	return p, nil
}

// hasClass reports whether the settings define a class of that name.
func (p *process) hasClass(class string) bool {
	_, ok := p.classes[class]
	return ok
}

// onClose registers a function that close calls.
func (p *process) onClose(cleanup func()) { p.cleanups = append(p.cleanups, cleanup) }

// close runs the registered cleanups, the latest first.
func (p *process) close() {
	for i := len(p.cleanups) - 1; i >= 0; i-- {
		p.cleanups[i]()
	}
}

// assemble creates the core, the clients of the workers and the optional services.
func (p *process) assemble() error {
	p.workers = httpfront.NewWorkers(p.site.ConnectTimeout, p.site.ConnIdleTimeout, int(workerDescriptorShare*float64(p.descriptors)), p.log)
	p.workers.Resume = p.site.Resume
	p.grpcWorkers = grpcfront.NewWorkers(p.site.ConnectTimeout, p.site.ConnIdleTimeout)
	p.onClose(p.grpcWorkers.Close)
	var err error
	if p.core, err = core.New(p.site.Settings, p.seed, grpcfront.Prober{HTTP: p.workers, GRPC: p.grpcWorkers}, p.log); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if err := p.setUpDecisions(); err != nil {
		return err
	}
	if p.metrics != nil {
		p.metrics.CollectGuard(&p.core.Guard)
	}
	if err := p.setUpReports(); err != nil {
		return err
	}
	p.names = httpfront.Names{Kinds: p.site.KindNames, Zones: p.site.ZoneNames, Wire: p.operatorFile.Wire}
	p.core.SetWorkers(true, p.names.Workers(p.config.Known, p.log))
	return nil
}

// setUpDecisions creates the metrics, the traces and the Coordinator that grants attempts to callers outside the router, as
// enabled.
func (p *process) setUpDecisions() error {
	observer := decisions.Observer{}
	if p.operatorFile.Metrics.Listen != "" {
		p.metrics = measure.New()
		observer = p.metrics.Observer()
	}
	if collector := p.operatorFile.Traces; collector.Endpoint != "" {
		traces, flush, err := measure.NewTracerProvider(context.Background(), collector.Endpoint, collector.Share, p.config.Name)
		if err != nil {
			return fmt.Errorf("traces: %w", err)
		}
		p.onClose(flush)
		observer.Tracer = traces.Tracer("rowanyard")
	}
	if !p.operatorFile.NeedsGrants() {
		return nil
	}
	var err error
	if p.grants, err = decisions.NewCoordinator(p.core, p.workers, p.operatorFile.GrantTerms(p.site.MaxRetryAfter), observer, p.log); err != nil {
		return err
	}
	if p.metrics != nil {
		p.metrics.CollectGrants(p.grants)
	}
	return nil
}

// setUpReports creates the listener for the workers' prefix-cache reports, if enabled.
func (p *process) setUpReports() error {
	if p.operatorFile.Reports.Listen == "" {
		return nil
	}
	var err error
	if p.cacheReports, err = reports.New(p.core, p.operatorFile.IndexSettings(), p.log); err != nil {
		return err
	}
	p.core.CacheReports = p.cacheReports
	previous := p.core.OnAvailabilityChange
	p.core.OnAvailabilityChange = func(ids []string) {
		if previous != nil {
			previous(ids)
		}
		p.cacheReports.OnAvailabilityChange(ids)
	}
	if p.metrics != nil {
		p.metrics.CollectCacheReports(p.cacheReports.Stats)
	}
	return nil
}

// watchConfiguration follows discovery and reloads the configuration files on each signal.
func (p *process) watchConfiguration(reload <-chan os.Signal) {
	p.discovery = httpfront.NewDiscovery(p.names, p.core, int(discoveryLineShare*p.memoryBytes), p.log)
	p.onClose(p.discovery.Close)
	p.discovery.Follow(p.config.Discovery, p.config.Known.Seq)
	p.reloader = &configReloader{discovery: p.discovery, core: p.core, routes: p.routes, memoryBytes: p.memoryBytes, classExists: p.hasClass, log: p.log,
		settingsReload: p.operatorFile.Settings.Reload, grantsEnabled: p.operatorFile.NeedsGrants()}
	p.reloader.setActive(p.site)
	go p.reloader.handleSignals(reload)
}

// setUpHTTPFront creates the HTTP front and applies the limits to all parts.
func (p *process) setUpHTTPFront() {
	p.front = httpfront.New(p.core, p.workers, p.site.ClassNames, describe.Handler, p.log)
	p.front.CutStreams = p.site.Resume
	p.front.Input = inbound.NewBudgets(runtime.GOMAXPROCS(0), p.memoryBytes)
	if p.metrics != nil {
		p.metrics.CollectInput(p.front.Input)
	}
	if len(p.operatorFile.GRPC.WorkerHosts) > 0 {
		p.front.Bridges = map[string]httpfront.Bridge{grpcfront.Wire: p.grpcWorkers.Bridge}
	}
	p.budget = resourceBudget{memoryBytes: p.memoryBytes, descriptors: float64(p.descriptors), fronts: 1, front: p.front, workers: p.workers}
	file := p.operatorFile
	for _, addr := range []string{file.GRPC.Listen, file.ExtProc.Listen, file.Decisions.Listen, file.Reports.Listen} {
		if addr != "" {
			p.budget.fronts++
		}
	}
	p.budget.apply(1)
	for _, spare := range []*httpfront.DescriptorSource{p.workers.Descriptors, p.discovery.Descriptors} {
		spare.SetReclaim(p.front.CloseIdleClient)
	}
}

// joinOtherProcesses shares operator requests, limits and learned state with other processes of the router.
func (p *process) joinOtherProcesses(ctx context.Context) {
	var err error
	if p.shared, err = operator.Open(os.Getenv("TMPDIR"), p.config.Name); err != nil {
		p.log.Error("can't share state with other processes of this router", "err", err)
	}
	p.control = &operator.Controller{SharedState: p.shared, Identity: p.identity(), Router: p.core, Standby: p.front.Standby,
		Serving: p.serving.Load, OpenIDs: p.core.OpenIDs, Input: p.front.Input, Log: p.log}
	if p.grants != nil {
		p.control.OnNumber = func(number int) { p.grants.ShareEffects(effectlog.Open(p.shared.EffectsPath(), number)) }
		p.core.OpenIDs.Publisher = p.grants
	}
	p.control.Start()
	if !p.shared.Alone() {
		p.restoreLearned()
	}
	// A process that drains follows the others too: what operators ask of them holds for its open requests.
	watchCtx, stopWatching := context.WithCancel(context.Background())
	p.onClose(stopWatching)
	go p.control.Watch(watchCtx, func() any { return p.core.Estimates() })
	go p.budget.followOverlap(ctx, p.control, p.log)
}

// identity returns what processes of this router have in common and those of other routers don't. It is empty if no other
// process can serve at this one's address, as the system chooses a free port.
func (p *process) identity() string {
	if _, port, err := net.SplitHostPort(p.config.Listen); err != nil || port == "0" {
		return ""
	}
	return strings.Join([]string{p.config.Name, p.config.Listen, os.Getenv("TMPDIR")}, "\n")
}

// restoreLearned loads the state that the older process has learned.
func (p *process) restoreLearned() {
	var learned decide.Estimates
	if ok, err := p.shared.LoadLearned(&learned); err != nil {
		p.log.Error("can't read the learned state of the other process", "err", err)
	} else if ok {
		if err := p.core.Restore(learned); err != nil {
			p.log.Error("learned state of the other process is not taken", "err", err)
		}
	}
}

// serveOperators serves the operator API, if it has an address.
func (p *process) serveOperators() error {
	if p.config.Operator == "" {
		return nil
	}
	l, err := net.Listen("tcp", p.config.Operator)
	if err != nil {
		return fmt.Errorf("operator: %w", err)
	}
	p.onClose(func() { l.Close() })
	go func() {
		if err := p.control.Serve(acceptretry.Listener(p.discovery.Descriptors.Listener(l)), max(minOperatorConns, p.descriptors/descriptorsPerOperatorConn)); err != nil {
			p.log.Error("operator API closed", "err", err)
		}
	}()
	p.log.Info("serving", "front", "operator", "listen", l.Addr().String())
	return nil
}

// takeOverStreams takes over the streams of the older process, if there is one.
func (p *process) takeOverStreams() {
	if p.shared.Alone() {
		return
	}
	p.log.Info("taking over")
	if err := p.front.ReceiveStreams(p.control.SocketPath()); err != nil {
		p.log.Error("streams can't be taken over", "err", err)
	}
}
