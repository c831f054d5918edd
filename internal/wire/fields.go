package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"rowanyard/decide"
)

// fieldParser splits a line into space-separated values, read one at a time, and keeps the first error.
type fieldParser struct {
	rest string // the unread part of the line
	more bool   // whether another value follows
	err  error  // the first error
}

func newFieldParser(line string) *fieldParser { return &fieldParser{rest: line, more: true} }

func (f *fieldParser) fail(field, reason string) {
	if f.err == nil {
		f.err = fmt.Errorf("field %s: %s", field, reason)
	}
}

// word returns the next value. It is empty where the line marks the value as absent ("-").
func (f *fieldParser) word(field string) string {
	if !f.more {
		f.fail(field, "missing")
		return ""
	}
	var w string
	w, f.rest, f.more = strings.Cut(f.rest, " ")
	if w == "" {
		f.fail(field, "empty")
	}
	if w == "-" {
		return ""
	}
	return w
}

// remainder returns the unread part of the line.
func (f *fieldParser) remainder() string {
	t := f.rest
	f.rest, f.more = "", false
	return t
}

// end returns the first error. A line with unread values is an error.
func (f *fieldParser) end() error {
	if f.err == nil && f.more {
		f.fail("end of line", fmt.Sprintf("unexpected %q", f.rest))
	}
	return f.err
}

func (f *fieldParser) uint(field string) uint64 {
	w := f.word(field)
	if w == "" {
		return 0
	}
	v, err := strconv.ParseUint(w, 10, 63)
	if err != nil {
		f.fail(field, fmt.Sprintf("not a whole number: %q", w))
	}
	return v
}

func (f *fieldParser) requestID(field string) decide.RequestID {
	w := f.word(field)
	v, err := strconv.ParseUint(w, 10, 64)
	if err != nil {
		f.fail(field, fmt.Sprintf("not an id: %q", w))
	}
	return decide.RequestID(v)
}

// seed reads a signed or unsigned 64-bit integer.
func (f *fieldParser) seed(field string) uint64 {
	w := f.word(field)
	if v, err := strconv.ParseInt(w, 10, 64); err == nil {
		return uint64(v)
	}
	v, err := strconv.ParseUint(w, 10, 64)
	if err != nil {
		f.fail(field, fmt.Sprintf("not a whole number: %q", w))
	}
	return v
}

// float reads a number of magnitude 1e15 at most.
func (f *fieldParser) float(field string) float64 {
	w := f.word(field)
	if w == "" {
		return 0
	}
	v, err := strconv.ParseFloat(w, 64)
	if err != nil || math.IsNaN(v) || math.Abs(v) > 1e15 {
		f.fail(field, fmt.Sprintf("not a number: %q", w))
		return 0
	}
	return v
}

// microseconds reads a whole number of microseconds.
func (f *fieldParser) microseconds(field string) time.Duration {
	w := f.word(field)
	if w == "" {
		return 0
	}
	v, err := strconv.ParseInt(w, 10, 64)
	if err != nil || v > math.MaxInt64/1000 || v < math.MinInt64/1000 {
		f.fail(field, fmt.Sprintf("not a time: %q", w))
		return 0
	}
	return time.Duration(v) * time.Microsecond
}

// hexKey reads a hexadecimal key.
func (f *fieldParser) hexKey(field string) uint64 {
	w := f.word(field)
	if w == "" {
		return 0
	}
	v, err := strconv.ParseUint(w, 16, 64)
	if err != nil {
		f.fail(field, fmt.Sprintf("not a key: %q", w))
	}
	return v
}

func (f *fieldParser) bool(field string) bool {
	switch w := f.word(field); w {
	case "1":
		return true
	case "0", "":
		return false
	default:
		f.fail(field, fmt.Sprintf("not a bool: %q", w))
		return false
	}
}
