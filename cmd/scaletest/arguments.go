package main

import (
	"fmt"

	"rowanyard/internal/scale/hollow"
)

// This file has the limits of arguments that several commands take.

const (
	mostRate        = 10_000
	spareDescriptor = 64 // of this process beside connections
)

// checkWorkers refuses a number of workers that can't be started.
func checkWorkers(workers int) error {
	if workers < 2 || workers > hollow.Most {
		return fmt.Errorf("--workers: %d, there may be 2 to %d", workers, hollow.Most)
	}
	return nil
}

// checkReaders refuses a share of readers with which a role has none.
func checkReaders(share float64) error {
	if !(share > 0 && share < 1) {
		return fmt.Errorf("--readers: %g, a share lies between 0 and 1", share)
	}
	return nil
}

// checkRate refuses a rate of requests that can't be played. flag is how it was given.
func checkRate(flag string, rate float64) error {
	if !(rate >= 0 && rate <= mostRate) {
		return fmt.Errorf("%s: %g, there may be 0 to %d a second", flag, rate, mostRate)
	}
	return nil
}
