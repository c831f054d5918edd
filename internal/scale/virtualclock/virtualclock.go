// Package virtualclock plays events in the order of a simulated time. The same events give the same play.
package virtualclock

import (
	"container/heap"
	"time"
)

// Clock is a simulated time and what is still to happen. The zero value stands at 0.
type Clock struct {
	Now    time.Duration // not to be set from outside
	events events
	added  uint64
}

// event is something that happens at a time; of those at one time, the one that was added first.
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
	(*e)[last] = event{} // lets go of what it holds
	*e = (*e)[:last]
	return x
}

// After has something happen so long from now; a time under zero is now.
func (c *Clock) After(wait time.Duration, do func()) {
	c.added++
	heap.Push(&c.events, event{c.Now + max(0, wait), c.added, do})
}

// Until plays what happens up to a time, that time included. The clock stands at the last event then.
func (c *Clock) Until(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.Now = e.at
		e.do()
	}
}
