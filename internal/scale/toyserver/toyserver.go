// Package toyserver holds building blocks of simulated servers: a queue, an LRU cache for prompt prefixes, and the
// limit on the work that a server may receive right after its start.
package toyserver

import (
	"container/list"
	"math"
	"time"
)

// IsReader reports whether the server with the given number is a reader, if readers have the given share of all
// servers. It spreads the readers evenly over the numbers, and so over the cells and zones that are derived from
// them.
func IsReader(number int, share float64) bool {
	return int(float64(number+1)*share) > int(float64(number)*share)
}

// Queue is a first-in, first-out queue with several units that serve it.
type Queue struct {
	freeAt []time.Duration // when each unit becomes idle
}

// NewQueue returns a Queue whose units are idle from now on.
func NewQueue(units int, now time.Duration) *Queue {
	q := &Queue{freeAt: make([]time.Duration, units)}
	for i := range q.freeAt {
		q.freeAt[i] = now
	}
	return q
}

// Slot is the turn that a request would get in a Queue.
type Slot struct {
	queue *Queue
	unit  int
	// Start is when service would begin if no other request takes the unit first.
	Start time.Duration
}

// Peek returns the slot that a request arriving now would get. It does not reserve it.
func (q *Queue) Peek(now time.Duration) Slot {
	unit := 0
	for i := range q.freeAt {
		if q.freeAt[i] < q.freeAt[unit] {
			unit = i
		}
	}
	return Slot{queue: q, unit: unit, Start: max(q.freeAt[unit], now)}
}

// Take reserves the slot for the given service time and returns when the service ends.
func (s Slot) Take(duration time.Duration) (ends time.Duration) {
	s.queue.freeAt[s.unit] = s.Start + duration
	return s.queue.freeAt[s.unit]
}

// Backlog returns the work left at a time, summed over the units.
func (q *Queue) Backlog(now time.Duration) (work time.Duration) {
	for _, at := range q.freeAt {
		work += max(0, at-now)
	}
	return work
}

// smallColdBudget is the budget below which ColdLimit allows three standard deviations instead of two.
const smallColdBudget = 30

// ColdLimit returns how much work, in requests of mean work, all routers together may send to a cold server within a
// window for which the settings allow budget. The margin covers random variation, whose standard deviation is about
// the square root of the budget.
func ColdLimit(budget float64) float64 {
	if budget < smallColdBudget {
		return budget + 3*math.Sqrt(budget) + 3
	}
	return budget + 2*math.Sqrt(budget) + 2
}

// Cache is an LRU cache that holds keys with numbers of tokens, up to a total number of tokens.
type Cache struct {
	size, used int
	entries    map[uint64]*list.Element
	recency    *list.List // most recently used first
}

type cacheEntry struct {
	key    uint64
	tokens int
}

// NewCache returns an empty Cache for the given number of tokens.
func NewCache(size int) *Cache {
	return &Cache{size: size, entries: make(map[uint64]*list.Element), recency: list.New()}
}

// Get returns the number of tokens cached under a key, and marks the entry as used.
func (c *Cache) Get(key uint64) int {
	e := c.entries[key]
	if e == nil {
		return 0
	}
	c.recency.MoveToFront(e)
	return e.Value.(*cacheEntry).tokens
}

// Put caches a number of tokens under a key, replacing an earlier entry.
func (c *Cache) Put(key uint64, tokens int) {
	if e := c.entries[key]; e != nil {
		c.used -= e.Value.(*cacheEntry).tokens
		c.recency.Remove(e)
	}
	c.entries[key] = c.recency.PushFront(&cacheEntry{key, tokens})
	for c.used += tokens; c.used > c.size && c.recency.Len() > 0; {
		oldest := c.recency.Remove(c.recency.Back()).(*cacheEntry)
		delete(c.entries, oldest.key)
		c.used -= oldest.tokens
	}
}
