package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"rowanyard/decide"
)

// fields takes a line apart, one value at a time, and keeps the first error.
type fields struct {
	rest string
	more bool
	err  error
}

func newFields(line string) *fields { return &fields{rest: line, more: true} }

func (f *fields) fail(field, why string) {
	if f.err == nil {
		f.err = fmt.Errorf("field %s: %s", field, why)
	}
}

// word returns the next value, empty when it is absent ("-").
func (f *fields) word(field string) string {
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

// text returns all that is left of the line.
func (f *fields) text() string {
	t := f.rest
	f.rest, f.more = "", false
	return t
}

// end reports the first error, or that values are left over.
func (f *fields) end() error {
	if f.err == nil && f.more {
		f.fail("end of line", fmt.Sprintf("unexpected %q", f.rest))
	}
	return f.err
}

func (f *fields) uint(field string) uint64 {
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

func (f *fields) id(field string) decide.RequestID {
	w := f.word(field)
	v, err := strconv.ParseUint(w, 10, 64)
	if err != nil {
		f.fail(field, fmt.Sprintf("not an id: %q", w))
	}
	return decide.RequestID(v)
}

func (f *fields) seed(field string) uint64 {
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

func (f *fields) number(field string) float64 {
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

// clock reads whole microseconds.
func (f *fields) clock(field string) time.Duration {
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

func (f *fields) key(field string) uint64 {
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

func (f *fields) bool(field string) bool {
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
