package main

import (
	"fmt"

	"rowanyard/internal/scale/hollow"
)

// Checks of flags that several subcommands have.

const (
	maxRate          = 10_000
	spareDescriptors = 64 // file descriptors of this process that are not connections
)

// checkWorkers checks the number of workers.
func checkWorkers(workers int) error {
	if workers < 2 || workers > hollow.MaxWorkers {
		return fmt.Errorf("--workers: %d, must be between 2 and %d", workers, hollow.MaxWorkers)
	}
	return nil
}

// checkReaders checks the share of readers: there must be readers and writers.
func checkReaders(share float64) error {
	if !(share > 0 && share < 1) {
		return fmt.Errorf("--readers: %g, must be between 0 and 1", share)
	}
	return nil
}

// checkRate checks a rate of requests that was given with the named flag.
func checkRate(flag string, rate float64) error {
	if !(rate >= 0 && rate <= maxRate) {
		return fmt.Errorf("%s: %g, must be between 0 and %d per second", flag, rate, maxRate)
	}
	return nil
}
