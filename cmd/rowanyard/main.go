// Command rowanyard runs one router of a two-stage LLM serving deployment.
//
// ROUTER_CONFIG names the platform's configuration file. ROWANYARD_OPERATOR names an optional operator's file that enables
// further fronts (see deploy/operator.json); without it only the platform's port is open.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"rowanyard/internal/invariant"
)

const (
	takeoverDiscoveryWait      = 1500 * time.Millisecond // for discovery's first answer, while an older process still serves
	startDiscoveryWait         = 250 * time.Millisecond  // for discovery's first answer, while no other process serves
	minOperatorConns           = 4                       // concurrent connections of operators, at least
	descriptorsPerOperatorConn = 32                      // allows one connection of operators for each
	scrapeHeaderTimeout        = time.Second
)

func main() {
	if err := runCommand(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "rowanyard:", err)
		os.Exit(1)
	}
}

// logLevel returns the level named by ROWANYARD_LOG, or info.
func logLevel() slog.Level {
	var l slog.Level
	if err := l.UnmarshalText([]byte(os.Getenv("ROWANYARD_LOG"))); err != nil {
		return slog.LevelInfo
	}
	return l
}

// awaitDiscovery waits for discovery's first answer before the fronts open. The configured list of workers may be stale:
// requests must not go to workers that discovery has reported as draining or restarted by then. The wait is short if no
// other process of the router serves meanwhile.
func awaitDiscovery(ctx context.Context, answered <-chan struct{}, alone bool, log *slog.Logger) {
	wait := takeoverDiscoveryWait
	if alone {
		wait = startDiscoveryWait
	}
	select {
	case <-answered:
	case <-time.After(wait):
		log.Warn("no answer from discovery yet: serving with the configured worker list", "waited_ms", wait.Milliseconds())
	case <-ctx.Done():
	}
}

// run assembles the process, serves until SIGTERM or SIGINT, and drains.
func run(log *slog.Logger) error {
	// Registered first, because SIGHUP would otherwise end the program. The buffer keeps a signal that arrives during a reload.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	p, err := newProcess(log)
	if err != nil {
		return err
	}
	defer p.close()
	if err := p.assemble(); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	p.watchConfiguration(reload)
	p.setUpHTTPFront()
	p.joinOtherProcesses(ctx)
	if err := p.serveOperators(); err != nil {
		return err
	}
	p.takeOverStreams()
	awaitDiscovery(ctx, p.discovery.FirstListReceived(), p.shared.Alone(), p.log)
	p.control.AwaitOpenIDs(ctx)
	if ctx.Err() != nil { // no front is open and no other process relies on this one
		p.core.Guard.Stopped(invariant.Starting, "told to end before it served")
		return nil
	}
	if err := p.serve(); err != nil {
		return err
	}
	select {
	case err := <-p.serveErrors:
		return err
	case <-ctx.Done():
	}
	p.drain(time.Now())
	return nil
}
