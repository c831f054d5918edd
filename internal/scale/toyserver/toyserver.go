// Package toyserver is the parts that simulated servers are made of: a queue before some places, a memory that forgets the
// oldest, and the term on what a server bears right after its start.
package toyserver

import (
	"container/list"
	"math"
	"time"
)

// IsReader says whether the server with a number reads, where so large a share of them does: readers are spread evenly over
// the numbers, and so over whatever else goes by them.
func IsReader(number int, share float64) bool {
	return int(float64(number+1)*share) > int(float64(number)*share)
}

// Queue is requests in the order of their coming before so many places.
type Queue struct {
	free []time.Duration // when each place is free
}

// NewQueue returns a Queue that is empty at a time.
func NewQueue(places int, now time.Duration) *Queue {
	q := &Queue{free: make([]time.Duration, places)}
	for i := range q.free {
		q.free[i] = now
	}
	return q
}

// Slot is the place that a request would have.
type Slot struct {
	queue *Queue
	place int
	// Begins is when its turn comes, if nothing else is taken off before it.
	Begins time.Duration
}

// Next is the place of a request that comes now. It is not taken yet.
func (q *Queue) Next(now time.Duration) Slot {
	place := 0
	for i := range q.free {
		if q.free[i] < q.free[place] {
			place = i
		}
	}
	return Slot{queue: q, place: place, Begins: max(q.free[place], now)}
}

// Take takes the place for so long and returns when the request has been served.
func (s Slot) Take(long time.Duration) (ends time.Duration) {
	s.queue.free[s.place] = s.Begins + long
	return s.queue.free[s.place]
}

// Backlog is the work that is still to be done at a time, summed over the places.
func (q *Queue) Backlog(now time.Duration) (work time.Duration) {
	for _, at := range q.free {
		work += max(0, at-now)
	}
	return work
}

// smallBudget is the budget from which on chance is two roots of it; under it, it is three.
const smallBudget = 30

// ColdLimit is how much work, in requests of mean work, all routers together may send a cold server in a window in which the
// settings allow it budget: what is over that and this chance pushes it over.
func ColdLimit(budget float64) float64 {
	if budget < smallBudget {
		return budget + 3*math.Sqrt(budget) + 3
	}
	return budget + 2*math.Sqrt(budget) + 2
}

// Cache is texts of some tokens that are kept under their keys, up to a size. The one used longest ago goes first.
type Cache struct {
	size, used int
	entries    map[uint64]*list.Element
	order      *list.List // the latest first
}

type text struct {
	key    uint64
	tokens int
}

// NewCache returns an empty Cache that holds so many tokens.
func NewCache(size int) *Cache {
	return &Cache{size: size, entries: make(map[uint64]*list.Element), order: list.New()}
}

// Kept is how many tokens are kept under a key; it counts as a use.
func (c *Cache) Kept(key uint64) int {
	e := c.entries[key]
	if e == nil {
		return 0
	}
	c.order.MoveToFront(e)
	return e.Value.(*text).tokens
}

// Keep keeps so many tokens under a key.
func (c *Cache) Keep(key uint64, tokens int) {
	if e := c.entries[key]; e != nil {
		c.used -= e.Value.(*text).tokens
		c.order.Remove(e)
	}
	c.entries[key] = c.order.PushFront(&text{key, tokens})
	for c.used += tokens; c.used > c.size && c.order.Len() > 0; {
		old := c.order.Remove(c.order.Back()).(*text)
		delete(c.entries, old.key)
		c.used -= old.tokens
	}
}
