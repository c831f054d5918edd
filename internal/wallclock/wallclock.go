// Package wallclock is the one place that reads the wall clock as a number. The wall clock may be stepped at any time, by
// seconds or an hour, either way: what it says is told to people, or compared with what another machine's clock has said,
// and never subtracted from itself. Spans of time are measured with time.Now and time.Since, which run on the monotonic
// clock. A test of package ci refuses other readings.
package wallclock

import "time"

// Now is the Unix time.
func Now() time.Duration { return time.Duration(time.Now().UnixNano()) }

// Milliseconds is the Unix time in whole milliseconds.
func Milliseconds() uint64 { return uint64(time.Now().UnixMilli()) }
