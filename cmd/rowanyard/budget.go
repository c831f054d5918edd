package main

// Enforces the router's limits on memory, file descriptors and buffered request bodies.

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
	gcLimitShare          = 0.6  // of the memory limit, as the garbage collector's soft limit: under it the collector takes what core it needs
	gcPercent             = 50   // growth of the heap over what is live, until it is collected
	inputMemoryShare      = 0.12 // of the memory limit, for what clients send
	connMemoryShare       = 0.1  // of the memory limit, for what clients' connections take by themselves
	discoveryLineShare    = 0.04 // of the memory limit, for one line from discovery
	clientDescriptorShare = 0.45 // of the descriptors, split equally between the enabled fronts
	workerDescriptorShare = 0.4  // of the descriptors
	lingerDescriptorShare = 0.1  // of the descriptors, for connections that are being closed
	reservedDescriptors   = 40   // at least, for discovery, operators, logs, the runtime and rejected connections
	defaultMemoryMB       = 192
	defaultDescriptors    = 1024
	overlapShare          = 0.5 // of all limits, for each process while two of the router run
	overlapPollInterval   = 100 * time.Millisecond
)

// resourceBudget divides the router's limits among the parts of this process. While two processes of the router run, each
// gets a share of the limits.
type resourceBudget struct {
	memoryBytes, descriptors float64
	fronts                   int
	front                    *httpfront.Front
	workers                  *httpfront.Workers
}

// clientsPerFront returns the maximum number of client connections of each front.
func (b resourceBudget) clientsPerFront(share float64) int {
	byDescriptors := int(clientDescriptorShare*b.usableDescriptors(share)) / b.fronts
	byMemory := int(connMemoryShare*share*b.memoryBytes/httpfront.ConnMemory) / b.fronts
	return max(1, min(byDescriptors, byMemory))
}

// usableDescriptors returns the number of descriptors that is divided between clients and workers.
func (b resourceBudget) usableDescriptors(share float64) float64 {
	return max(1, min(share*b.descriptors, (share*b.descriptors-reservedDescriptors)/(clientDescriptorShare+workerDescriptorShare)))
}

// apply limits the process to the given share of the router's limits.
func (b resourceBudget) apply(share float64) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(gcLimitShare * share * b.memoryBytes))
	b.workers.Limit(max(1, int(workerDescriptorShare*b.usableDescriptors(share))))
	b.front.Limit(b.clientsPerFront(share))
	b.front.Input.Linger.SetLimit(int(lingerDescriptorShare * b.usableDescriptors(share)))
	b.front.Input.Memory.SetLimit(int64(inputMemoryShare * share * b.memoryBytes))
}

// followOverlap reduces the limits of this process while an older or newer process of the router runs, until ctx ends.
func (b resourceBudget) followOverlap(ctx context.Context, control *operator.Controller, log *slog.Logger) {
	current := 1.0
	for t := time.NewTicker(overlapPollInterval); ; {
		share := 1.0
		if _, newer := control.Successor(); newer || !control.SharedState.Alone() {
			share = overlapShare
		}
		if share != current {
			log.Info("another process of this router", "runs", share < 1, "part_of_limits", share)
			current = share
			b.apply(current)
		}
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
	}
}

// descriptorLimit returns the configured number of descriptors, or the system's limit if that is lower.
func descriptorLimit(configured int) int {
	if configured <= 0 {
		configured = defaultDescriptors
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < uint64(configured) {
		return int(limit.Cur)
	}
	return configured
}
