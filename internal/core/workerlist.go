package core

// This file owns the list of workers: what is told of it, what operators have taken out, and who is told of changes.

import (
	"slices"
	"time"

	"rowanyard/decide"
	"rowanyard/internal/wallclock"
)

// SetWorkers takes a change to the worker list, or all of it.
func (c *Core) SetWorkers(whole bool, changed []Worker) {
	defer c.tellMoved(c.open())
	c.mu.Lock()
	defer c.mu.Unlock()
	list := decide.ServerList{Whole: whole}
	now, wall := c.clock(), wallclock.Now()
	if whole {
		for id, w := range c.workers {
			w.State = decide.Gone
			c.workers[id] = w
		}
	}
	for _, w := range changed {
		if old, ok := c.workers[w.ID]; ok && w.State == decide.Gone {
			// The news that a worker is gone need not say what it was.
			w = old
			w.State = decide.Gone
		}
		w.Since = c.starts.at(now, wall, w.ID, w.Born)
		c.workers[w.ID] = w
		list.Servers = append(list.Servers, c.shown(w))
	}
	for id, w := range c.workers { // guards against a list that grows for as long as the router runs
		if w.State == decide.Gone {
			delete(c.workers, id)
			delete(c.heard, id)
			c.starts.forget(id)
		}
	}
	c.tellLocked(func(now time.Duration, r *decide.Router) { r.Servers(now, list) })
}

// ListConfirmed notes that discovery has said that nothing has changed, or what has.
func (c *Core) ListConfirmed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts.confirm(c.clock())
}

// open is the workers that take new work, where somebody is told of changes.
func (c *Core) open() map[string]bool {
	if c.Moved == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	open := make(map[string]bool)
	for id, w := range c.workers {
		if c.shown(w).State == decide.Ready {
			open[id] = true
		}
	}
	return open
}

// tellMoved tells of the workers that are open now and were not before, or the other way round.
func (c *Core) tellMoved(before map[string]bool) {
	if c.Moved == nil {
		return
	}
	var ids []string
	after := c.open()
	for id := range after {
		if !before[id] {
			ids = append(ids, id)
		}
	}
	for id := range before {
		if !after[id] {
			ids = append(ids, id)
		}
	}
	if len(ids) > 0 {
		slices.Sort(ids)
		c.Moved(ids)
	}
}

// shown is a listed worker as the module is told of it: one that is out for maintenance drains, whatever
// the list says.
func (c *Core) shown(w Worker) decide.Server {
	if c.banned[w.ID] && w.State == decide.Ready {
		w.State = decide.Draining
	}
	return w.Server
}

// SetBanned names all workers that are out for maintenance. One that is not in the list stays out when
// the list names it again.
func (c *Core) SetBanned(ids []string) {
	defer c.tellMoved(c.open())
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.banned
	c.banned = make(map[string]bool)
	for _, id := range ids {
		c.banned[id] = true
	}
	var changed decide.ServerList
	for id, w := range c.workers {
		if old[id] != c.banned[id] {
			changed.Servers = append(changed.Servers, c.shown(w))
		}
	}
	if len(changed.Servers) > 0 {
		c.tellLocked(func(now time.Duration, r *decide.Router) { r.Servers(now, changed) })
	}
}

// Known says whether a worker is listed.
func (c *Core) Known(id string) bool {
	_, ok := c.Worker(id)
	return ok
}

// Worker returns a listed worker.
func (c *Core) Worker(id string) (Worker, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok := c.workers[id]
	return w, ok && w.State != decide.Gone
}

// Wanted says whether a worker may still be sent fresh work.
func (c *Core) Wanted(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok := c.workers[id]
	return ok && c.shown(w).State == decide.Ready
}
