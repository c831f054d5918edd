// Package kvindex indexes which prompt blocks each worker has cached, as reported by the engines: it maps chains of
// block hashes to the workers that hold them. The caller supplies the time; the package does no I/O and starts no
// goroutine.
//
// The index assumes that reports may be lost, late or wrong. A report only affects what is known about its own worker,
// memory is bounded, and a worker's blocks are forgotten when a gap in its reports has been open for longer than
// Settings.MaxStaleness.
package kvindex

import (
	"errors"
	"math"
	"slices"
	"time"
)

// Batch is one batch of cache changes from one publisher.
type Batch struct {
	Incarnation uint64 // of the publisher's process; larger after each restart
	Seq         uint64 // batch number within the incarnation, from 0
	Changes     []Change
}

// Change is one change to a worker's cache: blocks stored, blocks removed, or the whole cache cleared.
type Change struct {
	Stored      []uint64
	Parent      uint64 // hash of the block before the first stored one; 0 at the start of a prompt
	BlockTokens int    // tokens per block
	Removed     []uint64
	Cleared     bool
}

// Settings configure an Index.
type Settings struct {
	MaxBlocks        int           // blocks in the index
	MaxWorkers       int           // workers in the index; beyond 128 of them, larger slot sets leave room for fewer blocks
	MaxStaleness     time.Duration // how long a worker's blocks are still used while one of its batches is missing
	MaxBuffered      int           // batches per worker kept while an earlier one is missing
	ChangesPerSecond float64       // block changes that a worker may report per second
	Burst            float64       // block changes that a worker may report at once
}

// Check returns an error if a setting is out of range.
func (s Settings) Check() error {
	if s.MaxBlocks < 1 || s.MaxWorkers < 1 || s.MaxStaleness <= 0 || s.MaxBuffered < 0 || s.ChangesPerSecond <= 0 || s.Burst < 1 {
		return errors.New("kvindex: blocks, workers and burst must be at least 1, staleness bound and change rate above 0, buffered batches not below 0")
	}
	return nil
}

// Reasons for which a report, or part of one, is refused or suspect. Stats counts them.
const (
	OldIncarnation   = "old_incarnation" // from a process that has been replaced
	Duplicate        = "duplicate"       // received before
	BufferFull       = "early"           // an earlier batch is missing and the buffer is full
	RateLimited      = "flood"           // over the worker's rate limit
	TooManyWorkers   = "no_room"         // no room for another worker
	UnknownParent    = "unknown_parent"  // the parent isn't cached by the worker; the blocks are stored all the same
	NeverStored      = "never_stored"    // removed without having been stored
	BlockSizeChanged = "block_size"      // differs from the worker's earlier blocks, which are all forgotten
	InvalidBlock     = "no_block"        // a block without a hash or a size
)

// Stats are gauges of the index and counters since its creation.
type Stats struct {
	Blocks           int // currently in the index
	Workers          int
	Refused          map[string]int64 // by reason
	Gaps             int64
	Replays          int64 // gaps filled by a replay in time
	ExpiredGaps      int64 // gaps that weren't filled in time, so that the worker's blocks were forgotten
	Predictions      int64 // requests with a predicted and an actual cached prefix
	WrongPredictions int64 // predictions off by more than a tenth of the actual length and by more than 64 tokens
}

// Index holds the reported blocks of all workers. It is not safe for concurrent use.
type Index struct {
	settings           Settings
	table              *table
	active             slotSet // slots assigned to workers
	stale              slotSet // released slots whose bits are still set in table entries
	sweeping           slotSet // the stale slots that the current sweep clears
	freeSlots          []int   // neither active nor stale
	workers            map[string]*worker
	workerBySlot       []*worker       // nil = slot is free or stale; kept at most half assigned, as stale slots wait for the sweep
	slotsByBlockTokens map[int]slotSet // slots by block size in tokens
	matching           slotSet         // scratch space of Lookup
	dropped            slotSet         // scratch space of Lookup
	stats              Stats
}

// worker is the state of one worker's reports.
type worker struct {
	id          string
	slot        int // noSlot = none was free
	incarnation uint64
	nextSeq     uint64 // number of the next batch to apply
	endSeq      uint64 // one past the highest batch number known to be published
	blockTokens int
	gapSince    time.Duration // when a batch was first missed, 0 = nothing is missing
	buffered    []Batch       // batches received ahead of nextSeq, by number
	budget      float64       // block changes that may still be reported now
	budgetAt    time.Duration // when budget was last updated
	blockCount  int           // blocks of this worker in the index
	incomplete  bool          // may hold more than is indexed: blocks were forgotten since its cache was last empty
	silent      bool          // its publisher was lost and has sent nothing since
}

// New returns an empty Index.
func New(s Settings) (*Index, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	x := &Index{settings: s, workers: make(map[string]*worker), slotsByBlockTokens: make(map[int]slotSet), stats: Stats{Refused: make(map[string]int64)}}
	x.table = newTable(s.MaxBlocks, minSetWords)
	x.growSlots(minSetWords)
	return x, nil
}

// growSlots grows all slot sets to the given number of words.
func (x *Index) growSlots(words int) {
	x.active, x.stale, x.sweeping = x.active.grown(words), x.stale.grown(words), x.sweeping.grown(words)
	x.matching, x.dropped = make(slotSet, words), make(slotSet, words)
	for blockTokens, s := range x.slotsByBlockTokens {
		x.slotsByBlockTokens[blockTokens] = s.grown(words)
	}
	oldSlots := len(x.workerBySlot)
	x.workerBySlot = append(x.workerBySlot, make([]*worker, 64*words-oldSlots)...)
	for i := len(x.workerBySlot) - 1; i >= oldSlots; i-- {
		x.freeSlots = append(x.freeSlots, i)
	}
	if x.table.words == words {
		return
	}
	x.table = x.table.grown(words, x.active)
	for _, w := range x.workers { // blocks that no longer fit have been dropped
		w.blockCount = 0
	}
	for i, e := range x.table.entries {
		if e.hash != 0 {
			x.table.slots(i).each(func(slot int) {
				if w := x.workerBySlot[slot]; w != nil {
					w.blockCount++
				}
			})
		}
	}
	x.table.sweepAt, x.sweeping = 0, make(slotSet, words) // the table has been rebuilt: sweep from the start
}

// ReplayRequest asks a publisher to send its batches again, starting with number FromSeq.
type ReplayRequest struct {
	Worker  string
	FromSeq uint64
}

// Apply applies a worker's batch, or buffers it while an earlier one is missing. It returns the replay to request from
// the publisher, or nil if no batch is missing.
func (x *Index) Apply(now time.Duration, id string, b Batch) *ReplayRequest {
	x.sweepStale()
	w := x.workers[id]
	if w == nil {
		if len(x.workers) >= x.settings.MaxWorkers {
			x.stats.Refused[TooManyWorkers]++
			return nil
		}
		if 2*(len(x.workers)+1) > len(x.workerBySlot) {
			x.growSlots(2 * x.table.words)
		}
		w = &worker{id: id, incarnation: b.Incarnation, budget: x.settings.Burst, budgetAt: now, slot: noSlot}
		x.workers[id] = w
		x.assignSlot(w)
	}
	x.expireGap(now, w)
	switch {
	case b.Incarnation < w.incarnation:
		x.stats.Refused[OldIncarnation]++
		return nil
	case b.Incarnation > w.incarnation: // the process was restarted with an empty cache
		x.forgetBlocks(w)
		w.incarnation, w.nextSeq, w.endSeq, w.gapSince, w.buffered = b.Incarnation, 0, 0, 0, nil
		w.incomplete, w.silent = false, false
	}
	if !x.spendBudget(now, w, b) {
		x.stats.Refused[RateLimited]++
		return w.replayRequest()
	}
	if w.silent && b.Seq >= w.nextSeq { // its publisher is back: skip what was published meanwhile
		w.nextSeq, w.silent = b.Seq, false
	}
	w.endSeq = max(w.endSeq, b.Seq+1)
	switch {
	case b.Seq < w.nextSeq:
		x.stats.Refused[Duplicate]++
		return w.replayRequest()
	case b.Seq > w.nextSeq:
		x.bufferEarly(w, b)
		if w.gapSince == 0 {
			w.gapSince = max(now, 1)
			x.stats.Gaps++
		}
		return w.replayRequest()
	}
	x.applyBatch(w, b)
	for w.nextSeq++; len(w.buffered) > 0 && w.buffered[0].Seq <= w.nextSeq; w.buffered = w.buffered[1:] {
		if w.buffered[0].Seq == w.nextSeq {
			x.applyBatch(w, w.buffered[0])
			w.nextSeq++
		}
	}
	if w.gapSince > 0 && w.nextSeq >= w.endSeq {
		w.gapSince = 0
		x.stats.Replays++
	}
	return w.replayRequest()
}

// replayRequest returns the replay to request, or nil if no batch is missing.
func (w *worker) replayRequest() *ReplayRequest {
	if w.gapSince == 0 {
		return nil
	}
	return &ReplayRequest{w.id, w.nextSeq}
}

// bufferEarly keeps a batch that arrived before an earlier one.
func (x *Index) bufferEarly(w *worker, b Batch) {
	pos, found := slices.BinarySearchFunc(w.buffered, b.Seq, func(e Batch, seq uint64) int {
		switch {
		case e.Seq < seq:
			return -1
		case e.Seq > seq:
			return 1
		}
		return 0
	})
	switch {
	case found:
		x.stats.Refused[Duplicate]++
	case len(w.buffered) >= x.settings.MaxBuffered:
		x.stats.Refused[BufferFull]++
	default:
		w.buffered = slices.Insert(w.buffered, pos, b)
	}
}

// spendBudget takes a batch's cost from the worker's token bucket and reports whether it sufficed. This bounds the time
// that a flood of reports can cost the router.
func (x *Index) spendBudget(now time.Duration, w *worker, b Batch) bool {
	cost := 1.0
	for _, c := range b.Changes {
		cost += float64(len(c.Stored) + len(c.Removed))
	}
	w.budget = math.Min(x.settings.Burst, w.budget+x.settings.ChangesPerSecond*(now-w.budgetAt).Seconds())
	w.budgetAt = now
	if cost > w.budget {
		return false
	}
	w.budget -= cost
	return true
}

// applyBatch applies a batch that is next in order.
func (x *Index) applyBatch(w *worker, b Batch) {
	for _, c := range b.Changes {
		if c.Cleared {
			x.forgetBlocks(w)
			w.incomplete = false
		}
		if len(c.Stored) > 0 {
			x.storeBlocks(w, c)
		}
		for _, h := range c.Removed {
			if i := x.table.find(h); h != 0 && w.slot != noSlot && i >= 0 && x.table.slots(i).has(w.slot) {
				x.table.slots(i).remove(w.slot)
				w.blockCount--
				if x.table.slots(i).subsetOf(x.stale) {
					x.table.removeHash(h)
				}
			} else {
				x.stats.Refused[NeverStored]++
			}
		}
	}
}

// storeBlocks indexes the stored blocks of a change.
func (x *Index) storeBlocks(w *worker, c Change) {
	if c.BlockTokens < 1 {
		x.stats.Refused[InvalidBlock]++
		return
	}
	if w.blockTokens != c.BlockTokens {
		if w.blockTokens != 0 {
			x.stats.Refused[BlockSizeChanged]++
			x.forgetBlocks(w)
		}
		x.setBlockTokens(w, c.BlockTokens)
	}
	if w.slot == noSlot {
		x.stats.Refused[TooManyWorkers]++
		return
	}
	if c.Parent != 0 {
		if i := x.table.find(c.Parent); i < 0 || !x.table.slots(i).has(w.slot) {
			x.stats.Refused[UnknownParent]++
		}
	}
	x.table.useClock++
	for _, h := range c.Stored {
		if h == 0 {
			x.stats.Refused[InvalidBlock]++
			continue
		}
		i := x.table.findOrInsert(h, x.active)
		if !x.table.slots(i).has(w.slot) {
			w.blockCount++
		}
		x.table.slots(i).add(w.slot)
		x.table.entries[i].lastUsed = x.table.useClock
	}
}

// setBlockTokens records the size of a worker's blocks.
func (x *Index) setBlockTokens(w *worker, blockTokens int) {
	if s := x.slotsByBlockTokens[w.blockTokens]; s != nil && w.slot != noSlot {
		s.remove(w.slot)
		if s.empty() {
			delete(x.slotsByBlockTokens, w.blockTokens)
		}
	}
	if w.blockTokens = blockTokens; blockTokens == 0 || w.slot == noSlot {
		return
	}
	if x.slotsByBlockTokens[blockTokens] == nil {
		x.slotsByBlockTokens[blockTokens] = make(slotSet, x.table.words)
	}
	x.slotsByBlockTokens[blockTokens].add(w.slot)
}

// forgetBlocks forgets all blocks of a worker in constant time: the worker moves to another slot, and sweepStale clears
// the old one from the table entries step by step.
func (x *Index) forgetBlocks(w *worker) {
	if w.slot != noSlot && w.blockCount == 0 { // nothing is indexed
		return
	}
	blockTokens := w.blockTokens
	x.releaseSlot(w)
	x.assignSlot(w)
	x.setBlockTokens(w, blockTokens)
}

// releaseSlot marks the worker's slot as stale.
func (x *Index) releaseSlot(w *worker) {
	x.setBlockTokens(w, 0)
	if w.slot != noSlot {
		x.active.remove(w.slot)
		x.stale.add(w.slot)
		x.workerBySlot[w.slot] = nil
	}
	w.slot, w.blockCount = noSlot, 0
}

// assignSlot gives the worker a free slot, if there is one.
func (x *Index) assignSlot(w *worker) {
	for len(x.freeSlots) == 0 && !x.stale.empty() { // restarts outpace the sweep: finish it now
		x.sweepStale()
	}
	if len(x.freeSlots) == 0 {
		return
	}
	w.slot = x.freeSlots[len(x.freeSlots)-1]
	x.freeSlots = x.freeSlots[:len(x.freeSlots)-1]
	x.active.add(w.slot)
	x.workerBySlot[w.slot] = w
}

const sweepEntriesPerBatch = 256 // table entries visited for each batch

// sweepStale clears stale slots from some table entries. A pass over the whole table frees the slots that were stale
// when the pass began.
func (x *Index) sweepStale() {
	if x.stale.empty() {
		return
	}
	if x.sweeping.empty() {
		copy(x.sweeping, x.stale)
		x.table.sweepAt = 0
	}
	if !x.table.sweep(sweepEntriesPerBatch, x.sweeping) {
		return
	}
	x.sweeping.each(func(i int) {
		x.stale.remove(i)
		x.freeSlots = append(x.freeSlots, i)
	})
	clear(x.sweeping)
}

// PublisherLost records that the connection to a worker's publisher is lost: batches may be missing until it is back.
func (x *Index) PublisherLost(now time.Duration, id string) {
	if w := x.workers[id]; w != nil && w.gapSince == 0 && !w.silent {
		w.gapSince = max(now, 1)
		x.stats.Gaps++
	}
}

// Heartbeat records that a worker's publisher is alive and which batch it sends next. If that is the next batch to
// apply, nothing is missing; otherwise Heartbeat returns the replay to request.
func (x *Index) Heartbeat(now time.Duration, id string, incarnation, nextSeq uint64) *ReplayRequest {
	w := x.workers[id]
	if w == nil {
		return nil
	}
	x.expireGap(now, w)
	if w.silent && incarnation == w.incarnation {
		w.silent = false
	}
	if incarnation == w.incarnation {
		w.endSeq = max(w.endSeq, nextSeq)
	}
	if incarnation == w.incarnation && w.endSeq == w.nextSeq {
		if w.gapSince > 0 {
			x.stats.Replays++
		}
		w.gapSince = 0
	} else if incarnation == w.incarnation && nextSeq > w.nextSeq && w.gapSince == 0 {
		w.gapSince = max(now, 1)
		x.stats.Gaps++
	}
	return w.replayRequest()
}

// RemoveWorker forgets a worker that is no longer listed.
func (x *Index) RemoveWorker(id string) {
	if w := x.workers[id]; w != nil {
		x.releaseSlot(w)
		delete(x.workers, id)
	}
}

// expireGap forgets a worker's blocks once a batch has been missing for longer than MaxStaleness. Of the buffered
// batches, only the unbroken run up to the latest is applied: blocks stored by older ones may have been removed by a
// missing one.
func (x *Index) expireGap(now time.Duration, w *worker) {
	if w.gapSince == 0 || now-w.gapSince <= x.settings.MaxStaleness {
		return
	}
	x.stats.ExpiredGaps++
	x.forgetBlocks(w)
	w.incomplete = true
	w.silent = w.nextSeq >= w.endSeq // no batch is known to be missing, so the publisher itself has been lost
	from := len(w.buffered)
	for from > 0 && w.buffered[from-1].Seq+uint64(len(w.buffered)-from)+1 == w.endSeq {
		from--
	}
	latest := w.buffered[from:]
	w.buffered, w.nextSeq, w.gapSince = nil, max(w.nextSeq, w.endSeq), 0
	for _, b := range latest {
		x.applyBatch(w, b)
	}
}

// CachedPrefix is the length of a prompt's prefix that a worker has cached.
type CachedPrefix struct {
	Worker string
	Tokens int
}

// Lookup returns the cached prefix of a prompt for each worker that holds any of it, longest first, and the ids of the
// workers whose cache is completely known; a worker not among these may hold more than is indexed. chainFor returns the
// prompt's block hashes for a block size; it is called once for each size in use.
func (x *Index) Lookup(now time.Duration, chainFor func(blockTokens int) []uint64) (prefixes []CachedPrefix, complete []string) {
	for _, w := range x.workers {
		x.expireGap(now, w)
	}
	x.table.useClock++
	for blockTokens, sameSize := range x.slotsByBlockTokens {
		depth := 0
		addPrefixes := func(dropped slotSet) {
			dropped.each(func(i int) {
				if depth > 0 {
					prefixes = append(prefixes, CachedPrefix{x.workerBySlot[i].id, depth * blockTokens})
				}
			})
		}
		copy(x.matching, x.active)
		x.matching.intersect(sameSize, x.dropped)
		for _, h := range chainFor(blockTokens) {
			i := x.table.find(h)
			if i < 0 {
				break
			}
			x.table.entries[i].lastUsed = x.table.useClock
			x.matching.intersect(x.table.slots(i), x.dropped)
			if addPrefixes(x.dropped); x.matching.empty() {
				break
			}
			depth++
		}
		addPrefixes(x.matching)
	}
	for id, w := range x.workers {
		if w.slot != noSlot && !w.incomplete && !w.silent {
			complete = append(complete, id)
		}
	}
	slices.Sort(complete)
	slices.SortFunc(prefixes, func(a, b CachedPrefix) int {
		if a.Tokens != b.Tokens {
			return b.Tokens - a.Tokens
		}
		if a.Worker < b.Worker {
			return -1
		}
		return 1
	})
	return prefixes, complete
}

// RecordPrediction compares the predicted cached tokens of a prompt with those that an engine actually found.
func (x *Index) RecordPrediction(predicted, found int) {
	x.stats.Predictions++
	if diff := predicted - found; max(diff, -diff) > max(found/10, 64) {
		x.stats.WrongPredictions++
	}
}

// Stats returns the current gauges and counters.
func (x *Index) Stats() Stats {
	s := x.stats
	s.Blocks, s.Workers = x.table.count, len(x.workers)
	s.Refused = make(map[string]int64, len(x.stats.Refused))
	for k, v := range x.stats.Refused {
		s.Refused[k] = v
	}
	return s
}
