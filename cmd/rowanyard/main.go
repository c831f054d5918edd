// Command rowanyard is one real router. This file owns the life of the process from its start to its end. It must never
// decide, nor speak to a client or a worker itself.
//
// The platform's file is named by ROUTER_CONFIG. An operator's own, which turns further fronts on, is named by
// ROWANYARD_OPERATOR (see deploy/operator.json); without it only the platform's port is open.
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

// run is the life of the process: it is put together, serves until it is told to end, and drains.
func run(log *slog.Logger) error {
	// Guards against SIGHUP ending the program; one that comes while another is handled is kept.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	p, err := configured(log)
	if err != nil {
		return err
	}
	defer p.close()
	if err := p.assemble(); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	p.follow(reload)
	p.limit()
	p.shareWithOthers(ctx)
	if err := p.serveOperators(); err != nil {
		return err
	}
	p.takeOver()
	await(ctx, p.discovery.Told(), p.shared.Alone(), p.log)
	if ctx.Err() != nil { // nobody has been told of this process yet, and nobody need be
		p.core.Guard.Stopped(invariant.Starting, "told to end before it served")
		return nil
	}
	if err := p.serve(); err != nil {
		return err
	}
	select {
	case err := <-p.served:
		return err
	case <-ctx.Done():
	}
	p.drain()
	return nil
}
