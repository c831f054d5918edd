// Package rules checks the event log of a run against the guarantees that callers, workers and the router must provide
// together. It looks only at what happened at workers and callers, never at the state of a grant.Table.
package rules

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Kind is the kind of an Event.
type Kind uint8

// The kinds of events.
const (
	Asked        Kind = iota + 1 // a caller made a call, identified by Call
	Answered                     // the call got an answer
	Disconnected                 // the caller disconnected before it got an answer
	Sent                         // the first byte of an attempt reached a worker
	Opened                       // an attempt began at a worker, or a call for the request was opened at the router
	Closed                       // that attempt or call ended
	Effect                       // a request took effect at a worker
	Drained                      // the router learned that a worker takes no new requests
	Undrained                    // the router learned that the worker takes new requests again
	Held                         // a worker holds a state or a slot for a request from now on
	Released                     // nothing is held for the request any more
	CallerSeen                   // the router got a sign of life from the request's caller
)

var kindNames = [...]string{"?", "asked", "answered", "cut", "sent", "out", "in", "effect", "drained", "back", "held", "freed", "sign"}

// Event is one entry of the log. Events are in order of time.
type Event struct {
	At            time.Duration
	Kind          Kind
	Request       string
	Worker        string
	Call          int
	NonIdempotent bool // for Effect: the request must not run twice
}

// String returns the event as a line of a log: its time in seconds, its kind and its other fields by name.
func (e Event) String() string {
	return fmt.Sprintf("%9.3f %-8s request=%s worker=%s call=%d once=%v", e.At.Seconds(), kindNames[e.Kind], e.Request, e.Worker, e.Call, e.NonIdempotent)
}

// Limits are the time limits that Check enforces.
type Limits struct {
	DrainGrace  time.Duration // no attempt may reach a worker later than this after the router learned that it drains
	HoldTimeout time.Duration // what is held must end this long after the caller's last sign or the last attempt
}

// Violation is an event that breaks a rule.
type Violation struct {
	Rule string
	Event
}

// Error returns the rule and the event that breaks it.
func (b Violation) Error() string { return b.Rule + ": " + b.Event.String() }

// Check returns the violations in a log, at most one per rule, request and worker. end is when the run ended; what is still
// held then counts as held until end.
func Check(log []Event, l Limits, end time.Duration) []Violation {
	type hold struct {
		since, last time.Duration // last sign or end of an attempt
		held        bool
		open        int
		effects     int // effects of requests that must not run twice
	}
	type call struct {
		asked        Event
		answers      int
		disconnected bool
	}
	var violations []Violation
	seen := make(map[string]bool)
	report := func(rule string, e Event) {
		if key := rule + e.Request + e.Worker; !seen[key] {
			seen[key] = true
			violations = append(violations, Violation{rule, e})
		}
	}
	holds, calls, drains := make(map[string]*hold), make(map[int]*call), make(map[string]time.Duration)
	holdOf := func(id string) *hold {
		if holds[id] == nil {
			holds[id] = &hold{}
		}
		return holds[id]
	}
	// overdue reports whether something is held at the given time that should have been released.
	overdue := func(h *hold, at time.Duration) bool {
		return h.held && h.open == 0 && at-max(h.since, h.last) > l.HoldTimeout
	}
	var order []int
	for _, e := range log {
		h := holdOf(e.Request)
		if overdue(h, e.At) {
			report("hold", e)
		}
		switch e.Kind {
		case Asked:
			calls[e.Call] = &call{asked: e}
			order = append(order, e.Call)
		case Answered:
			if c := calls[e.Call]; c == nil {
				report("answer to no call", e)
			} else if c.answers++; c.answers > 1 {
				report("one answer", e)
			}
		case Disconnected:
			if c := calls[e.Call]; c != nil {
				c.disconnected = true
			}
		case Sent:
			if at, ok := drains[e.Worker]; ok && e.At-at > l.DrainGrace {
				report("drain", e)
			}
		case Opened:
			h.open++
		case Closed:
			h.open--
			h.last = e.At
		case Effect:
			if !e.NonIdempotent { // may run any number of times
				break
			}
			if h.effects++; h.effects > 1 {
				report("effect", e)
			}
		case Drained:
			if _, ok := drains[e.Worker]; !ok {
				drains[e.Worker] = e.At
			}
		case Undrained:
			delete(drains, e.Worker)
		case Held:
			if !h.held {
				h.held, h.since = true, e.At
			}
		case Released:
			h.held = false
		case CallerSeen:
			h.last = e.At
		}
	}
	for _, n := range order {
		if c := calls[n]; c.answers == 0 && !c.disconnected {
			report("one answer", c.asked)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(holds)) {
		if h := holds[id]; overdue(h, end) {
			report("hold", Event{At: end, Kind: Held, Request: id})
		}
	}
	return violations
}
