// Package procstat reads resource usage of a process from the Linux kernel.
package procstat

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"
)

// ticksPerSecond is the unit of processor time in /proc (USER_HZ, 100 on all Linux systems).
const ticksPerSecond = 100

// Fields of /proc/PID/stat, counted from the first one after the command's closing parenthesis.
const (
	fieldUserTime   = 11
	fieldSystemTime = 12
	fieldThreads    = 17
	fieldResident   = 21
)

// Sample is the resource usage of a process at one time.
type Sample struct {
	At          time.Time
	CPU         time.Duration // user and kernel time of all threads since the start
	Resident    int64         // bytes of memory
	Threads     int
	Descriptors int
}

// Read returns the current usage of the process with the given id.
func Read(pid int) (Sample, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Sample{}, err
	}
	sample, err := parse(text)
	if err != nil {
		return Sample{}, fmt.Errorf("/proc/%d/stat: %w", pid, err)
	}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return Sample{}, err
	}
	sample.At, sample.Descriptors = time.Now(), len(open)
	return sample, nil
}

// parse parses the text of /proc/PID/stat. The command's name may itself contain spaces and parentheses.
func parse(text []byte) (Sample, error) {
	end := bytes.LastIndexByte(text, ')')
	if end < 0 {
		return Sample{}, fmt.Errorf("no command name in %q", text)
	}
	fields := bytes.Fields(text[end+1:])
	if len(fields) <= fieldResident {
		return Sample{}, fmt.Errorf("only %d fields after the command name", len(fields))
	}
	var values [fieldResident + 1]int64
	for _, i := range []int{fieldUserTime, fieldSystemTime, fieldThreads, fieldResident} {
		value, err := strconv.ParseInt(string(fields[i]), 10, 64)
		if err != nil {
			return Sample{}, fmt.Errorf("field %d: %w", i, err)
		}
		values[i] = value
	}
	ticks := values[fieldUserTime] + values[fieldSystemTime]
	return Sample{
		CPU:      time.Duration(ticks) * time.Second / ticksPerSecond,
		Resident: values[fieldResident] * int64(os.Getpagesize()),
		Threads:  int(values[fieldThreads]),
	}, nil
}
