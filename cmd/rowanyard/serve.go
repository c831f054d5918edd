package main

// The listeners of the fronts.

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/net/netutil"
	"golang.org/x/sys/unix"

	"rowanyard/internal/acceptretry"
	"rowanyard/internal/decisions"
	"rowanyard/internal/extproc"
	"rowanyard/internal/grpcfront"
	"rowanyard/internal/inbound"
)

// serve opens all fronts, the HTTP front last.
func (p *process) serve() error {
	clientsPerFront := p.budget.clientsPerFront(1)
	receiveBuffer := inbound.SocketBytes(p.memoryBytes, clientsPerFront*p.budget.fronts)
	listener, err := listenWithRetry(p.config.Listen, receiveBuffer)
	if err != nil {
		return err
	}
	if err := p.serveGRPC(clientsPerFront); err != nil {
		return err
	}
	if err := p.serveMetrics(); err != nil {
		return err
	}
	go func() { p.serveErrors <- p.front.Serve(listener, clientsPerFront) }()
	p.serving.Store(true)
	p.control.MarkServing()
	p.log.Info("serving", "front", "http", "listen", listener.Addr().String(), "workers", len(p.config.Known.Hosts))
	return nil
}

// serveGRPC opens the enabled gRPC services, each limited to the given number of client connections.
func (p *process) serveGRPC(clients int) error {
	file := p.operatorFile
	if file.GRPC.Listen != "" {
		streams, endStreams := context.WithCancel(context.Background())
		p.endGRPCStreams = endStreams
		p.onClose(endStreams)
		front := grpcfront.NewServer(p.core, p.grpcWorkers, p.workers, p.site.ClassNames, file.GRPC.MaxOpen, p.log)
		front.Streams = streams
		if err := p.openGRPC("grpc", file.GRPC.Listen, drainedServer{Server: front.GRPC()}, clients); err != nil {
			return err
		}
	}
	if file.ExtProc.Listen != "" {
		front := &extproc.Server{Core: p.core, Coordinator: p.grants, Workers: p.workers, Classes: p.classes, Settings: p.core.Settings, Routes: p.routes,
			Destination: file.ExtProc.DestinationHeader, AllowModeOverride: file.ExtProc.ModeOverride, MaxOpen: file.ExtProc.MaxOpen, Log: p.log}
		if err := p.openGRPC("ext_proc", file.ExtProc.Listen, drainedServer{front.GRPC(), true}, clients); err != nil {
			return err
		}
	}
	if file.Decisions.Listen != "" {
		front := &decisions.Server{Coordinator: p.grants, Classes: p.classes, Names: p.site.ClassNames, Settings: p.core.Settings, Routes: p.routes, Log: p.log}
		if err := p.openGRPC("decisions", file.Decisions.Listen, drainedServer{Server: front.GRPC()}, clients); err != nil {
			return err
		}
	}
	if file.Reports.Listen != "" {
		return p.openGRPC("reports", file.Reports.Listen, drainedServer{Server: p.cacheReports.GRPC()}, clients)
	}
	return nil
}

// openGRPC serves a gRPC server at an address; name is used in logs and errors.
func (p *process) openGRPC(name, addr string, server drainedServer, clients int) error {
	l, err := listenWithRetry(addr, inbound.SocketBytes(p.memoryBytes, clients*p.budget.fronts))
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	p.grpcServers = append(p.grpcServers, server)
	go func() {
		p.serveErrors <- server.Serve(netutil.LimitListener(p.front.Input.Listener(acceptretry.Listener(l)), clients))
	}()
	p.log.Info("serving", "front", name, "listen", l.Addr().String())
	return nil
}

// serveMetrics serves the metrics page, if enabled.
func (p *process) serveMetrics() error {
	if p.metrics == nil {
		return nil
	}
	l, err := net.Listen("tcp", p.operatorFile.Metrics.Listen)
	if err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", p.metrics.Handler())
	server := &http.Server{Handler: mux, ReadHeaderTimeout: scrapeHeaderTimeout, WriteTimeout: 10 * scrapeHeaderTimeout, IdleTimeout: time.Minute}
	p.onClose(func() { server.Close() })
	go server.Serve(netutil.LimitListener(p.front.Input.Listener(acceptretry.Listener(l)), minOperatorConns))
	p.log.Info("serving", "front", "metrics", "listen", l.Addr().String())
	return nil
}

// Retries of listen while the system lacks a resource or another process briefly holds the address.
const (
	listenAttempts   = 25
	listenRetryDelay = 200 * time.Millisecond
)

// listenWithRetry calls listenReusePort, retrying transient errors for about 5 s.
func listenWithRetry(addr string, receiveBuffer int) (net.Listener, error) {
	for attempt := 1; ; attempt++ {
		l, err := listenReusePort(addr, receiveBuffer)
		transient := errors.Is(err, syscall.EADDRINUSE) || errors.Is(err, syscall.EADDRNOTAVAIL) || errors.Is(err, syscall.ENOBUFS) ||
			errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
		if err == nil || !transient || attempt == listenAttempts {
			return l, err
		}
		time.Sleep(listenRetryDelay)
	}
}

// listenReusePort listens at addr with SO_REUSEPORT, so that two processes of this router can listen there during a takeover. The
// system holds at most about twice receiveBuffer bytes of what each connection receives.
func listenReusePort(addr string, receiveBuffer int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if e := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer) // without it, only memory is less bounded
		}); e != nil {
			return e
		}
		return err
	}}
	return config.Listen(context.Background(), "tcp", addr)
}
