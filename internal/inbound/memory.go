package inbound

import (
	"sync"
	"sync/atomic"
)

// Memory is the account of the memory that the input of all connections holds: heads, bodies and what is read ahead. Its
// methods may be called from several goroutines.
type Memory struct{ limit, used atomic.Int64 }

// SetLimit sets how many bytes may be held.
func (m *Memory) SetLimit(bytes int64) { m.limit.Store(bytes) }

// Used returns how many bytes are held.
func (m *Memory) Used() int64 { return m.used.Load() }

// Holding is the part of a Memory account that one connection or request has. Its methods may be called from several
// goroutines. The zero value has no limit.
type Holding struct {
	memory *Memory

	mu       sync.Mutex
	bytes    int64
	released bool
}

// NewHolding returns a part of the account that holds nothing.
func (m *Memory) NewHolding() *Holding { return &Holding{memory: m} }

// Resize changes what is held. It reports false, and changes nothing, if that would exceed the limit.
func (h *Holding) Resize(bytes int64) bool {
	if h == nil || h.memory == nil {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released {
		return false
	}
	added := bytes - h.bytes
	if h.memory.used.Add(added) > h.memory.limit.Load() && added > 0 {
		h.memory.used.Add(-added)
		return false
	}
	h.bytes = bytes
	return true
}

// Release returns all that is held. Nothing can be held by it afterwards.
func (h *Holding) Release() {
	h.Resize(0)
	if h != nil {
		h.mu.Lock()
		h.released = true
		h.mu.Unlock()
	}
}
