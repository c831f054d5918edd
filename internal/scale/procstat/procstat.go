// Package procstat reads what the Linux kernel accounts to a process.
package procstat

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"
)

// clockTicks is the unit of processor time in /proc, in ticks a second (USER_HZ, the same on all Linux systems).
const clockTicks = 100

// Fields of /proc/PID/stat, counted from the one behind the command's closing parenthesis.
const (
	fieldUserTime   = 11
	fieldSystemTime = 12
	fieldThreads    = 17
	fieldResident   = 21
)

// Sample is what a process has used up to a moment.
type Sample struct {
	At          time.Time
	CPU         time.Duration // processor time in user and kernel mode, of all threads
	Resident    int64         // bytes of memory
	Threads     int
	Descriptors int
}

// Read takes a sample of the process with the given id.
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

// parse reads the text of /proc/PID/stat. The command's name may hold spaces and parentheses of its own.
func parse(text []byte) (Sample, error) {
	end := bytes.LastIndexByte(text, ')')
	if end < 0 {
		return Sample{}, fmt.Errorf("no command in %q", text)
	}
	fields := bytes.Fields(text[end+1:])
	if len(fields) <= fieldResident {
		return Sample{}, fmt.Errorf("%d fields behind the command", len(fields))
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
		CPU:      time.Duration(ticks) * time.Second / clockTicks,
		Resident: values[fieldResident] * int64(os.Getpagesize()),
		Threads:  int(values[fieldThreads]),
	}, nil
}
