// Package virtualclock runs events in the order of a simulated time. Runs are deterministic.
package virtualclock

import (
	"container/heap"
	"time"
)

// Clock is a simulated clock with a queue of events. The zero value is a clock at time 0 without events.
type Clock struct {
	Now       time.Duration // set by RunUntil
	events    events
	nextOrder uint64
}

// event is a function to call at a time. Events of the same time run in the order in which they were added.
type event struct {
	at    time.Duration
	order uint64
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{} // releases the closure
	*e = (*e)[:last]
	return x
}

// After schedules do to run after wait. A negative wait counts as 0.
func (c *Clock) After(wait time.Duration, do func()) {
	c.nextOrder++
	heap.Push(&c.events, event{c.Now + max(0, wait), c.nextOrder, do})
}

// RunUntil runs all events up to and including the time end. Afterwards Now is the time of the last event that ran.
func (c *Clock) RunUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.Now = e.at
		e.do()
	}
}
