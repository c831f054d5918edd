package httpfront

// This file owns the kept connections to a worker that has fallen silent. It must never close one on which something is under
// way: that may be on a connection that still works.

import "sync"

// idleConns knows the open connections by their worker's address. The zero value knows none.
type idleConns struct {
	mu sync.Mutex
	of map[string]map[*workerConn]bool
}

func (i *idleConns) add(c *workerConn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.of == nil {
		i.of = make(map[string]map[*workerConn]bool)
	}
	if i.of[c.addr] == nil {
		i.of[c.addr] = make(map[*workerConn]bool)
	}
	i.of[c.addr][c] = true
}

func (i *idleConns) remove(c *workerConn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.of[c.addr], c)
	if len(i.of[c.addr]) == 0 {
		delete(i.of, c.addr)
	}
}

// drop closes the connections to an address on which nothing is under way. Guards against finding one by one, each with a
// request that waits, that all of them have fallen silent with no error: one that was kept has just left a call unanswered.
func (i *idleConns) drop(addr string) {
	i.mu.Lock()
	var idle []*workerConn
	for c := range i.of[addr] {
		if !c.asked.Load() {
			idle = append(idle, c)
		}
	}
	i.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}
