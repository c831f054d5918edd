// Package wallclock is the only place that reads the wall clock as a number, which a test of package ci enforces. The wall
// clock may be stepped at any time, by seconds or an hour, in either direction. Its readings are therefore shown to people
// or compared with those of another machine's clock, but never subtracted from each other. Spans of time are measured with
// time.Now and time.Since, which use the monotonic clock.
package wallclock

import "time"

// Now returns the Unix time.
func Now() time.Duration { return time.Duration(time.Now().UnixNano()) }

// Milliseconds returns the Unix time in whole milliseconds.
func Milliseconds() uint64 { return uint64(time.Now().UnixMilli()) }
