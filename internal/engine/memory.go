package engine

// The engine's memory is a KV cache of fixed-size blocks, as in vLLM. Each block is free, in use by one or more
// requests, or idle: cached and unused, so that it can be found again or evicted. Idle blocks are evicted in LRU order.

import (
	"fmt"

	"rowanyard/internal/kvevents"
)

// Hash identifies a block together with all blocks before it: two prompts share the hashes of the blocks of their
// common prefix.
type Hash uint64

// BlockHashes returns the hashes of a prompt's complete blocks.
func BlockHashes(text []byte, blockTokens int) []Hash {
	var chain []Hash
	for _, h := range kvevents.BlockHashes(text, blockTokens) {
		chain = append(chain, Hash(h))
	}
	return chain
}

const bytesPerToken = kvevents.BytesPerToken

// block is one block of memory.
type block struct {
	hash   Hash // 0 = the block isn't cached
	parent Hash
	refs   int
	kids   int    // cached blocks that follow it
	prev   *block // in the LRU list of idle blocks
	next   *block
	queued bool
}

// memory is all blocks of an engine.
type memory struct {
	totalBlocks int
	freeBlocks  int // neither in use nor cached
	cached      map[Hash]*block
	lruHead     *block // the next block to evict; within one prompt the last block comes first
	lruTail     *block
	idleBlocks  int // in the LRU list
	usedBlocks  int // with at least one reference
	orphaned    int // blocks evicted before one that follows them; must stay 0
	onStore     func(hashes []Hash, parent Hash)
	onRemove    func(hashes []Hash)
}

func newMemory(totalBlocks int) *memory {
	return &memory{totalBlocks: totalBlocks, freeBlocks: totalBlocks, cached: make(map[Hash]*block), onStore: func([]Hash, Hash) {}, onRemove: func([]Hash) {}}
}

// cachedPrefix returns the number of leading blocks of a prompt that are cached.
func (m *memory) cachedPrefix(chain []Hash) int {
	for i, h := range chain {
		if m.cached[h] == nil {
			return i
		}
	}
	return len(chain)
}

// available returns how many blocks can be allocated if the given cached blocks must not be evicted.
func (m *memory) available(chain []Hash) int {
	reserved := 0
	for _, h := range chain {
		if b := m.cached[h]; b != nil && b.queued {
			reserved++
		}
	}
	return m.freeBlocks + m.idleBlocks - reserved
}

// acquire adds a reference to each leading block of a prompt that is cached.
func (m *memory) acquire(chain []Hash) []*block {
	var held []*block
	for _, h := range chain {
		b := m.cached[h]
		if b == nil {
			break
		}
		m.addRef(b)
		held = append(held, b)
	}
	return held
}

// addRef adds a reference to a block. An idle block leaves the LRU list.
func (m *memory) addRef(b *block) {
	if b.refs++; b.refs == 1 {
		m.usedBlocks++
		if b.queued {
			m.removeIdle(b)
		}
	}
}

// allocate returns n empty blocks with one reference each, evicting idle blocks if needed. If there isn't enough room
// it returns false and changes nothing.
func (m *memory) allocate(n int) ([]*block, bool) {
	if n > m.freeBlocks+m.idleBlocks {
		return nil, false
	}
	var evicted []Hash
	var blocks []*block
	for range n {
		b := &block{}
		if m.freeBlocks > 0 {
			m.freeBlocks--
		} else {
			victim := m.lruHead
			m.removeIdle(victim)
			evicted = append(evicted, victim.hash)
			if victim.kids > 0 {
				m.orphaned++
			}
			m.uncache(victim)
		}
		b.refs = 1
		m.usedBlocks++
		blocks = append(blocks, b)
	}
	if len(evicted) > 0 {
		m.onRemove(evicted)
	}
	return blocks, true
}

// uncache removes a block from the cache index.
func (m *memory) uncache(b *block) {
	if b.hash == 0 {
		return
	}
	delete(m.cached, b.hash)
	if p := m.cached[b.parent]; p != nil {
		p.kids--
	}
	b.hash = 0
}

// cacheBlocks adds blocks in use to the cache index as the blocks of a prompt, beginning with block number from. If one
// of them is cached already, the cached block replaces the duplicate in blocks, so that a job that references a cached
// block also references the blocks before it.
func (m *memory) cacheBlocks(chain []Hash, from int, blocks []*block) {
	var stored []Hash
	flush := func(end int) {
		if len(stored) > 0 {
			m.onStore(stored, parentHash(chain, end-len(stored)))
			stored = nil
		}
	}
	for i, b := range blocks {
		h := chain[from+i]
		if cached := m.cached[h]; cached != nil {
			flush(from + i)
			m.addRef(cached)
			blocks[i] = cached
			m.usedBlocks--
			m.freeBlocks++
			continue
		}
		b.hash, b.parent = h, parentHash(chain, from+i)
		m.cached[h] = b
		if p := m.cached[b.parent]; p != nil {
			p.kids++
		}
		stored = append(stored, h)
	}
	flush(from + len(blocks))
}

// parentHash returns the hash before the i-th block, or 0 for the first.
func parentHash(chain []Hash, i int) Hash {
	if i == 0 {
		return 0
	}
	return chain[i-1]
}

// release drops one reference of each block. Cached blocks become idle, the last block of a prompt first, so that a
// prompt is evicted from its end.
func (m *memory) release(blocks []*block) {
	for i := len(blocks) - 1; i >= 0; i-- {
		b := blocks[i]
		if b.refs--; b.refs > 0 {
			continue
		}
		m.usedBlocks--
		if b.hash == 0 {
			m.freeBlocks++
			continue
		}
		m.pushIdle(b)
	}
}

// pushIdle appends a block to the LRU list.
func (m *memory) pushIdle(b *block) {
	b.queued = true
	m.idleBlocks++
	b.prev, b.next = m.lruTail, nil
	if m.lruTail != nil {
		m.lruTail.next = b
	} else {
		m.lruHead = b
	}
	m.lruTail = b
}

// removeIdle takes a block out of the LRU list.
func (m *memory) removeIdle(b *block) {
	b.queued = false
	m.idleBlocks--
	if b.prev != nil {
		b.prev.next = b.next
	} else {
		m.lruHead = b.next
	}
	if b.next != nil {
		b.next.prev = b.prev
	} else {
		m.lruTail = b.prev
	}
	b.prev, b.next = nil, nil
}

// uncacheAll empties the cache. Blocks in use stay in use, but can't be found any more.
func (m *memory) uncacheAll() {
	for b := m.lruHead; b != nil; b = m.lruHead {
		m.removeIdle(b)
		m.uncache(b)
		m.freeBlocks++
	}
	for _, b := range m.cached {
		b.hash, b.kids = 0, 0
	}
	clear(m.cached)
}

// check returns an error if an invariant is violated.
func (m *memory) check() error {
	idleBlocks := 0
	for b := m.lruHead; b != nil; b = b.next {
		if idleBlocks++; b.refs != 0 || b.hash == 0 || m.cached[b.hash] != b || !b.queued {
			return fmt.Errorf("idle block is in use or not cached: %+v", *b)
		}
	}
	kids, inUse := make(map[Hash]int), 0
	for h, b := range m.cached {
		if b.hash != h || b.refs == 0 != b.queued {
			return fmt.Errorf("cached block is neither in use nor idle: %+v", *b)
		}
		if b.refs > 0 {
			inUse++
		}
		kids[b.parent]++
	}
	for h, b := range m.cached {
		if b.kids != kids[h] {
			return fmt.Errorf("%d blocks follow %x, but the count is %d", kids[h], h, b.kids)
		}
	}
	switch {
	case idleBlocks != m.idleBlocks:
		return fmt.Errorf("%d idle blocks, but the count is %d", idleBlocks, m.idleBlocks)
	case m.freeBlocks < 0 || m.freeBlocks+m.idleBlocks+m.usedBlocks != m.totalBlocks:
		return fmt.Errorf("%d free, %d idle and %d used blocks don't add up to %d", m.freeBlocks, m.idleBlocks, m.usedBlocks, m.totalBlocks)
	case m.orphaned > 0:
		return fmt.Errorf("%d blocks were evicted before blocks that follow them", m.orphaned)
	case inUse > m.usedBlocks:
		return fmt.Errorf("%d cached blocks in use, but only %d blocks in use", inUse, m.usedBlocks)
	}
	return nil
}
