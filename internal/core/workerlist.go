package core

// This file keeps the list of workers and which of them operators have put into maintenance, and reports changes to the
// module and to Core.OnAvailabilityChange.

import (
	"slices"
	"time"

	"rowanyard/decide"
	"rowanyard/internal/wallclock"
)

// SetWorkers applies a change to the worker list: the entries of changed replace those of the same id. If whole is set,
// changed is the complete list, and workers that it does not name are removed.
func (c *Core) SetWorkers(whole bool, changed []Worker) {
	defer c.notifyAcceptingChange(c.accepting())
	c.mu.Lock()
	defer c.mu.Unlock()
	list := decide.ServerList{Complete: whole}
	now, wall := c.clock(), wallclock.Now()
	if whole {
		for id, w := range c.workers {
			w.State = decide.Gone
			c.workers[id] = w
		}
	}
	for _, w := range changed {
		if old, ok := c.workers[w.ID]; ok && w.State == decide.Gone {
			// Discovery may name a removed worker by its id alone.
			w = old
			w.State = decide.Gone
		}
		w.StartedAt = c.workerStarts.startedAt(now, wall, w.ID, w.UnixStart)
		c.workers[w.ID] = w
		list.Servers = append(list.Servers, c.moduleView(w))
	}
	for id, w := range c.workers { // entries of removed workers would pile up for as long as the router runs
		if w.State == decide.Gone {
			delete(c.workers, id)
			delete(c.lastContact, id)
			c.workerStarts.forget(id)
		}
	}
	c.dispatchLocked(func(now time.Duration, r *decide.Router) { r.Servers(now, list) })
}

// ListConfirmed records that the worker list is complete as of now: discovery has reported what changed, or that nothing
// did.
func (c *Core) ListConfirmed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workerStarts.confirmComplete(c.clock())
}

// accepting returns the workers that accept new work, or nil if no callback is set for changes.
func (c *Core) accepting() map[string]bool {
	if c.OnAvailabilityChange == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	accepting := make(map[string]bool)
	for id, w := range c.workers {
		if c.moduleView(w).State == decide.Ready {
			accepting[id] = true
		}
	}
	return accepting
}

// notifyAcceptingChange calls OnAvailabilityChange with the workers that accept new work now and did not before, or the
// other way round.
func (c *Core) notifyAcceptingChange(before map[string]bool) {
	if c.OnAvailabilityChange == nil {
		return
	}
	var ids []string
	after := c.accepting()
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
		c.OnAvailabilityChange(ids)
	}
}

// moduleView returns a listed worker as it is reported to the module: one in maintenance counts as draining even if it is
// listed as ready.
func (c *Core) moduleView(w Worker) decide.Server {
	if c.inMaintenance[w.ID] && w.State == decide.Ready {
		w.State = decide.Draining
	}
	return w.Server
}

// SetInMaintenance replaces the set of workers that are in maintenance, which get no new work. A worker may be in the set
// without being listed; it gets no new work once it is listed either.
func (c *Core) SetInMaintenance(ids []string) {
	defer c.notifyAcceptingChange(c.accepting())
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.inMaintenance
	c.inMaintenance = make(map[string]bool)
	for _, id := range ids {
		c.inMaintenance[id] = true
	}
	var changed decide.ServerList
	for id, w := range c.workers {
		if old[id] != c.inMaintenance[id] {
			changed.Servers = append(changed.Servers, c.moduleView(w))
		}
	}
	if len(changed.Servers) > 0 {
		c.dispatchLocked(func(now time.Duration, r *decide.Router) { r.Servers(now, changed) })
	}
}

// HasWorker reports whether a worker is listed.
func (c *Core) HasWorker(id string) bool {
	_, ok := c.Worker(id)
	return ok
}

// AnyWorker reports whether match returns true for a listed worker.
func (c *Core) AnyWorker(match func(Worker) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.workers {
		if match(w) {
			return true
		}
	}
	return false
}

// Worker returns a listed worker, and whether there is one with the id.
func (c *Core) Worker(id string) (Worker, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok := c.workers[id]
	return w, ok && w.State != decide.Gone
}

// AcceptsWork reports whether a worker is listed and accepts new work.
func (c *Core) AcceptsWork(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok := c.workers[id]
	return ok && c.moduleView(w).State == decide.Ready
}
