package main

// This file holds the process to the limits of its router: memory, descriptors and bodies.

import (
	"context"
	"log/slog"
	"runtime/debug"
	"syscall"
	"time"

	"rowanyard/internal/httpfront"
	"rowanyard/internal/operator"
)

const (
	memoryShare  = 0.7  // of the memory limit: where the collector begins to work harder
	bodiesShare  = 0.12 // of it: what clients' bodies may hold at once, and
	lineShare    = 0.04 // a line of discovery
	clientsShare = 0.45 // of the sockets, in equal parts for the fronts that are on
	workersShare = 0.4  // ... the rest is for discovery, operators, logs, the runtime and those that are turned away:
	spareFiles   = 40   // no less than this
	defaultMB    = 192
	defaultFiles = 1024
	twoShare     = 0.5                    // of the limits for each of two processes of the router
	shareLook    = 100 * time.Millisecond // how often the other process is looked for
)

// budget is what the process may take of the router's limits: a part of it while two processes run.
type budget struct {
	memory, files float64
	fronts        int
	front         *httpfront.Front
	workers       *httpfront.Workers
}

func (b budget) clients(part float64) int {
	return max(1, int(clientsShare*b.shared(part))/b.fronts)
}

// shared is the descriptors that clients and workers have their shares of.
func (b budget) shared(part float64) float64 {
	return max(1, min(part*b.files, (part*b.files-spareFiles)/(clientsShare+workersShare)))
}

// take holds the process to a part of the limits from now on.
func (b budget) take(part float64) {
	debug.SetMemoryLimit(int64(memoryShare * part * b.memory))
	b.workers.Limit(max(1, int(workersShare*b.shared(part))))
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

// descriptors is how many the process may open: what its configuration says, or less where the system allows less.
func descriptors(asked int) int {
	if asked <= 0 {
		asked = defaultFiles
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < uint64(asked) {
		return int(limit.Cur)
	}
	return asked
}
