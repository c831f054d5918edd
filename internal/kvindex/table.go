package kvindex

// The table maps a block's hash to the slots of the workers that hold it. It is one flat array with open addressing and
// linear probing. Its size is fixed: when it is full, a hand that moves round the array evicts the least recently used
// of a sample of entries.

import (
	"cmp"
	"math/bits"
	"slices"
)

const (
	minSetWords     = 4 // words in a slotSet at first; grows with the number of workers
	maxLoadFactor   = 0.75
	noSlot          = -1 // the worker has no slot
	evictionSamples = 16 // entries compared for each eviction
	entryBytes      = 16 // size of an entry without its slotSet
)

// slotSet is a bitset of worker slots. All sets of an index have the same length.
type slotSet []uint64

func (s slotSet) add(i int)      { s[i>>6] |= 1 << (i & 63) }
func (s slotSet) remove(i int)   { s[i>>6] &^= 1 << (i & 63) }
func (s slotSet) has(i int) bool { return s[i>>6]&(1<<(i&63)) != 0 }
func (s slotSet) empty() bool {
	for _, v := range s {
		if v != 0 {
			return false
		}
	}
	return true
}

// intersects reports whether s and o have a slot in common.
func (s slotSet) intersects(o slotSet) bool {
	for w, v := range s {
		if v&o[w] != 0 {
			return true
		}
	}
	return false
}

// subsetOf reports whether all slots of s are in o.
func (s slotSet) subsetOf(o slotSet) bool {
	for w, v := range s {
		if v&^o[w] != 0 {
			return false
		}
	}
	return true
}

// subtract removes the slots of o from s and reports whether s is now empty.
func (s slotSet) subtract(o slotSet) (empty bool) {
	for w := range s {
		s[w] &^= o[w]
	}
	return s.empty()
}

// intersect keeps in s only the slots that are also in o, and puts the others into removed.
func (s slotSet) intersect(o, removed slotSet) {
	for w, v := range s {
		removed[w] = v &^ o[w]
		s[w] = v & o[w]
	}
}

// grown returns a copy of s with the given number of words.
func (s slotSet) grown(words int) slotSet {
	w := make(slotSet, words)
	copy(w, s)
	return w
}

// each calls f for each slot in s.
func (s slotSet) each(f func(int)) {
	for w, v := range s {
		for ; v != 0; v &= v - 1 {
			f(w<<6 | bits.TrailingZeros64(v))
		}
	}
}

// entry is one block. The slots that hold it are in table.holders.
type entry struct {
	hash     uint64 // 0 = the entry is free
	lastUsed uint32 // value of the table's useClock when the block was last stored or looked up
}

// table is a hash table of blocks with a bounded number of entries.
type table struct {
	entries    []entry
	holders    []uint64 // a slotSet of the given number of words for each entry
	words      int
	mask       uint64
	count      int
	maxEntries int
	useClock   uint32 // advances with each store and lookup
	evictAt    uint64 // next entry considered for eviction
	sweepAt    uint64 // next entry to sweep
}

func newTable(maxEntries, words int) *table {
	size := uint64(8)
	for float64(size)*maxLoadFactor < float64(maxEntries) {
		size <<= 1
	}
	return &table{entries: make([]entry, size), holders: make([]uint64, int(size)*words), words: words, mask: size - 1, maxEntries: maxEntries}
}

// grown returns a table that takes the same memory with larger slot sets and therefore fewer entries. It keeps the most
// recently used ones.
func (t *table) grown(words int, active slotSet) *table {
	w := newTable(max(1, t.maxEntries*(entryBytes+8*t.words)/(entryBytes+8*words)), words)
	w.useClock = t.useClock
	order := make([]int, 0, t.count)
	for i, e := range t.entries {
		if e.hash != 0 && t.slots(i).intersects(active) {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int { // compare ages, as useClock may have wrapped around
		return cmp.Or(cmp.Compare(t.useClock-t.entries[a].lastUsed, t.useClock-t.entries[b].lastUsed), cmp.Compare(t.entries[a].hash, t.entries[b].hash))
	})
	for _, i := range order[:min(len(order), w.maxEntries)] {
		j := w.findOrInsert(t.entries[i].hash, nil)
		w.entries[j].lastUsed = t.entries[i].lastUsed
		copy(w.slots(j), t.slots(i))
	}
	return w
}

// slots returns the set of slots that hold the i-th entry's block.
func (t *table) slots(i int) slotSet { return t.holders[i*t.words : (i+1)*t.words] }

// homeIndex returns the index at which probing for a hash starts.
func (t *table) homeIndex(hash uint64) uint64 {
	h := hash
	h ^= h >> 31
	h *= 0x9e3779b97f4a7c15
	return h >> 20 & t.mask
}

// find returns the index of a hash's entry, or -1 if there is none.
func (t *table) find(hash uint64) int {
	for i := t.homeIndex(hash); ; i = (i + 1) & t.mask {
		switch t.entries[i].hash {
		case hash:
			return int(i)
		case 0:
			return -1
		}
	}
}

// findOrInsert returns the index of a hash's entry, inserting it if needed. A full table first evicts an entry; one
// that no active slot holds is preferred.
func (t *table) findOrInsert(hash uint64, active slotSet) int {
	if i := t.find(hash); i >= 0 {
		return i
	}
	if t.count >= t.maxEntries {
		t.evict(active)
	}
	i := t.homeIndex(hash)
	for t.entries[i].hash != 0 {
		i = (i + 1) & t.mask
	}
	t.entries[i] = entry{hash: hash}
	t.count++
	return int(i)
}

// evict removes one entry: of the next evictionSamples entries, the least recently used one, or the first that no
// active slot holds.
func (t *table) evict(active slotSet) {
	victim, seen, victimAge := uint64(0), 0, uint32(0)
	for i := t.evictAt; seen < evictionSamples; i = (i + 1) & t.mask {
		t.evictAt = (i + 1) & t.mask
		e := &t.entries[i]
		if e.hash == 0 {
			continue
		}
		if !t.slots(int(i)).intersects(active) {
			victim = i
			break
		}
		if age := t.useClock - e.lastUsed; seen == 0 || age > victimAge {
			victim, victimAge = i, age
		}
		seen++
	}
	t.removeAt(victim)
}

// removeAt frees the i-th entry and moves up later entries that linear probing had pushed past it.
func (t *table) removeAt(i uint64) {
	t.count--
	for j := i; ; {
		j = (j + 1) & t.mask
		e := &t.entries[j]
		if e.hash == 0 {
			break
		}
		if h := t.homeIndex(e.hash); (j-h)&t.mask >= (j-i)&t.mask { // its home index is at or before i
			t.entries[i] = *e
			copy(t.slots(int(i)), t.slots(int(j)))
			i = j
		}
	}
	t.entries[i] = entry{}
	clear(t.slots(int(i)))
}

// sweep clears the stale slots from the next n entries and reports whether it has passed the end of the table.
func (t *table) sweep(n int, stale slotSet) (wrapped bool) {
	for range n {
		if t.entries[t.sweepAt].hash != 0 && t.slots(int(t.sweepAt)).subtract(stale) {
			t.removeAt(t.sweepAt)
			continue // another entry may have moved here
		}
		if t.sweepAt = (t.sweepAt + 1) & t.mask; t.sweepAt == 0 {
			return true
		}
	}
	return false
}

// removeHash removes a hash's entry, if there is one.
func (t *table) removeHash(hash uint64) {
	if i := t.find(hash); i >= 0 {
		t.removeAt(uint64(i))
	}
}
