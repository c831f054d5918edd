// Package inflight counts operations in flight and lets others wait until there are none. Unlike with a sync.WaitGroup, an
// operation may begin while others wait, and a wait ends with its context.
package inflight

import (
	"context"
	"sync"
)

// Counter counts operations in flight. The zero value counts none and is ready to use.
type Counter struct {
	mu   sync.Mutex
	n    int
	idle chan struct{} // closed when n falls to 0; nil: nobody waits
}

// Begin counts an operation that begins.
func (c *Counter) Begin() {
	c.mu.Lock()
	c.n++
	c.mu.Unlock()
}

// End counts an operation that has ended. There must have been a Begin for it.
func (c *Counter) End() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n--; c.n == 0 && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

// Wait blocks until no operation is in flight, and returns true, or until ctx ends, and returns false.
func (c *Counter) Wait(ctx context.Context) bool {
	c.mu.Lock()
	if c.n == 0 {
		c.mu.Unlock()
		return true
	}
	if c.idle == nil {
		c.idle = make(chan struct{})
	}
	idle := c.idle
	c.mu.Unlock()
	select {
	case <-idle:
		return true
	case <-ctx.Done():
		return false
	}
}
