// Package inflight counts what is under way and lets others wait until nothing is. Unlike with a sync.WaitGroup, something may
// begin while others wait, and a wait ends with its context.
package inflight

import (
	"context"
	"sync"
)

// Count is how much is under way. The zero value is none.
type Count struct {
	mu   sync.Mutex
	n    int
	none chan struct{} // closed when nothing is under way any more; nil: nobody waits
}

// Begin counts one more.
func (c *Count) Begin() {
	c.mu.Lock()
	c.n++
	c.mu.Unlock()
}

// End counts one less.
func (c *Count) End() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n--; c.n == 0 && c.none != nil {
		close(c.none)
		c.none = nil
	}
}

// Wait returns once nothing is under way. It says no where ctx ends first.
func (c *Count) Wait(ctx context.Context) bool {
	c.mu.Lock()
	if c.n == 0 {
		c.mu.Unlock()
		return true
	}
	if c.none == nil {
		c.none = make(chan struct{})
	}
	none := c.none
	c.mu.Unlock()
	select {
	case <-none:
		return true
	case <-ctx.Done():
		return false
	}
}
