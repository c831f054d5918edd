package main

// This file puts the process together: what it reads, what decides and sends, and what it shares with another process of the
// same router. Nothing listens to clients yet.

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"runtime"
	"sync/atomic"

	"google.golang.org/grpc"

	"rowanyard/decide"
	"rowanyard/internal/acceptretry"
	"rowanyard/internal/core"
	"rowanyard/internal/decisions"
	"rowanyard/internal/describe"
	"rowanyard/internal/grpcfront"
	"rowanyard/internal/httpfront"
	"rowanyard/internal/measure"
	"rowanyard/internal/operator"
	"rowanyard/internal/reports"
	"rowanyard/internal/setup"
	"rowanyard/internal/wire"
)

// process is one router's process and its parts.
type process struct {
	log *slog.Logger

	// What it was told at its start.
	config   config
	site     wire.Site
	seed     uint64
	classes  httpfront.Classes
	operator *setup.File
	routes   *describe.Routes
	memory   float64 // the limit, in bytes
	files    int     // descriptors that it may open

	// What decides and sends.
	core        *core.Core
	workers     *httpfront.Workers
	grpcWorkers *grpcfront.Workers
	names       httpfront.Names
	metrics     *measure.Metrics  // nil: nobody asks for them
	grants      *decisions.Desk   // nil: no others carry attempts
	texts       *reports.Listener // nil: there are no reports of kept texts
	discovery   *httpfront.Discovery
	changes     *reloader
	front       *httpfront.Front
	limits      budget

	// What it shares with another process of the router, and its listeners.
	shared   *operator.Share
	desk     *operator.Desk
	serving  atomic.Bool
	served   chan error // takes the end of each front
	others   []*grpc.Server
	handOver context.CancelFunc // cuts the streams of gRPC clients; nil: there are none
	closers  []func()           // what is closed at the end, the latest first
}

// configured reads the files and takes the limits that hold for the whole process.
func configured(log *slog.Logger) (*process, error) {
	p := &process{served: make(chan error, 5)}
	var err error
	if p.config, p.site, p.seed, err = load(); err != nil {
		return nil, err
	}
	p.memory = cmp.Or(max(p.config.Limits.MemoryMB, 0), defaultMB) * (1 << 20)
	p.classes = httpfront.ClassesOf(p.site.ClassNames)
	if p.operator, p.routes, err = setup.Read(os.Getenv("ROWANYARD_OPERATOR"), p.memory, p.knows); err != nil {
		return nil, err
	}
	p.log = log.With("router", p.config.Name)
	if cores := p.config.Limits.Cores; cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(cores)))
	}
	p.files = descriptors(p.config.Limits.Sockets)
	return p, nil
}

// knows says whether there is a class of that name.
func (p *process) knows(class string) bool {
	_, ok := p.classes[class]
	return ok
}

// atEnd has something done when the process ends.
func (p *process) atEnd(do func()) { p.closers = append(p.closers, do) }

// close does what is to be done at the end.
func (p *process) close() {
	for i := len(p.closers) - 1; i >= 0; i-- {
		p.closers[i]()
	}
}

// assemble makes the core and what it sends with.
func (p *process) assemble() error {
	p.workers = httpfront.NewWorkers(p.site.ConnectTimeout, p.site.ConnIdle, int(workersShare*float64(p.files)), p.log)
	p.workers.Resume = p.site.Resume
	p.grpcWorkers = grpcfront.NewWorkers(p.site.ConnectTimeout, p.site.ConnIdle)
	p.atEnd(p.grpcWorkers.Close)
	var err error
	if p.core, err = core.New(p.site.Settings, p.seed, grpcfront.Prober{HTTP: p.workers, GRPC: p.grpcWorkers}, p.log); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if err := p.grantAttempts(); err != nil {
		return err
	}
	if p.metrics != nil {
		p.metrics.FollowGuard(&p.core.Guard)
	}
	if err := p.hearReports(); err != nil {
		return err
	}
	p.names = httpfront.Names{Kinds: p.site.KindNames, Zones: p.site.ZoneNames, Wire: p.operator.Wire}
	p.core.SetWorkers(true, p.names.Workers(p.config.Known, p.log))
	return nil
}

// grantAttempts makes what lets others carry attempts, and what is measured of that.
func (p *process) grantAttempts() error {
	seen := decisions.Seen{}
	if p.operator.Metrics.Listen != "" {
		p.metrics = measure.New()
		seen = p.metrics.Seen()
	}
	if to := p.operator.Traces; to.Endpoint != "" {
		traces, flush, err := measure.Traces(context.Background(), to.Endpoint, to.Share, p.config.Name)
		if err != nil {
			return fmt.Errorf("traces: %w", err)
		}
		p.atEnd(flush)
		seen.Tracer = traces.Tracer("rowanyard")
	}
	if !p.operator.Desk() {
		return nil
	}
	var err error
	if p.grants, err = decisions.NewDesk(p.core, p.workers, p.operator.Terms(p.site.MaxRetryAfter), seen, p.log); err != nil {
		return err
	}
	if p.metrics != nil {
		p.metrics.Follow(p.grants)
	}
	return nil
}

// hearReports makes what hears from engines which texts they keep.
func (p *process) hearReports() error {
	if p.operator.Reports.Listen == "" {
		return nil
	}
	var err error
	if p.texts, err = reports.New(p.core, p.operator.Index(), p.log); err != nil {
		return err
	}
	p.core.Texts = p.texts
	moved := p.core.Moved
	p.core.Moved = func(ids []string) {
		if moved != nil {
			moved(ids)
		}
		p.texts.Moved(ids)
	}
	if p.metrics != nil {
		p.metrics.FollowTexts(p.texts.Stats)
	}
	return nil
}

// follow watches discovery, and the files at each signal.
func (p *process) follow(reload <-chan os.Signal) {
	p.discovery = httpfront.NewDiscovery(p.names, p.core, int(lineShare*p.memory), p.log)
	p.atEnd(p.discovery.Close)
	p.discovery.Follow(p.config.Discovery, p.config.Known.Seq)
	p.changes = &reloader{discovery: p.discovery, core: p.core, routes: p.routes, memory: p.memory, known: p.knows, log: p.log,
		settings: p.operator.Settings.Reload, grants: p.operator.Desk()}
	p.changes.use(p.site)
	go p.changes.follow(reload)
}

// limit makes the front for HTTP clients and holds everything to the limits.
func (p *process) limit() {
	p.front = httpfront.New(p.core, p.workers, p.site.ClassNames, describe.Handler, p.log)
	if p.site.Resume {
		p.front.HandOver = leastEnd + killMargin - handMargin
	}
	if len(p.operator.GRPC.WorkerHosts) > 0 {
		p.front.Bridges = map[string]httpfront.Bridge{grpcfront.Wire: p.grpcWorkers.Bridge}
	}
	p.limits = budget{memory: p.memory, files: float64(p.files), fronts: 1, front: p.front, workers: p.workers}
	op := p.operator
	for _, addr := range []string{op.GRPC.Listen, op.ExtProc.Listen, op.Decisions.Listen, op.Reports.Listen} {
		if addr != "" {
			p.limits.fronts++
		}
	}
	p.limits.take(1)
	for _, needs := range []*httpfront.Descriptors{p.workers.Spare, p.discovery.Spare} {
		needs.From(p.front.Shed)
	}
}

// shareWithOthers takes part in what processes of one router share: who is out, the limits, and what was learned.
func (p *process) shareWithOthers(ctx context.Context) {
	var err error
	if p.shared, err = operator.Open(os.Getenv("TMPDIR"), p.config.Name); err != nil {
		p.log.Error("nothing is shared with another process of this router", "err", err)
	}
	p.desk = &operator.Desk{Share: p.shared, Router: p.core, Standby: p.front.Standby, Serving: p.serving.Load, Log: p.log}
	p.desk.Begin()
	if !p.shared.Alone() {
		p.learn()
	}
	go p.desk.Watch(ctx, func() any { return p.core.Learned() })
	go p.limits.share(ctx, p.desk, p.log)
}

// learn begins with what the other process has learned.
func (p *process) learn() {
	var known decide.Learned
	if ok, err := p.shared.Kept(&known); err != nil {
		p.log.Error("what the other process had learned can't be read", "err", err)
	} else if ok {
		if err := p.core.Learn(known); err != nil {
			p.log.Error("what the other process had learned is not taken", "err", err)
		}
	}
}

// serveOperators listens at the operators' own address, if there is one.
func (p *process) serveOperators() error {
	if p.config.Operator == "" {
		return nil
	}
	l, err := net.Listen("tcp", p.config.Operator)
	if err != nil {
		return fmt.Errorf("operator: %w", err)
	}
	p.atEnd(func() { l.Close() })
	go func() {
		if err := p.desk.Serve(acceptretry.Listener(p.discovery.Spare.Listener(l)), max(leastCallers, p.files/callersPart)); err != nil {
			p.log.Error("the operators' address is closed", "err", err)
		}
	}()
	p.log.Info("serving", "front", "operator", "listen", l.Addr().String())
	return nil
}

// takeOver takes the streams of the process before, if one serves.
func (p *process) takeOver() {
	if p.shared.Alone() {
		return
	}
	p.log.Info("taking over")
	if err := p.front.TakeFrom(p.desk.Socket()); err != nil {
		p.log.Error("no streams are taken over", "err", err)
	}
}
