package engine

// The engine itself: its queue, its steps, the states that wait to be fetched, and faults such as pauses and crashes.

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Request is one request as an engine receives it.
type Request struct {
	ID           string
	BlockHashes  []Hash // hashes of the prompt's complete blocks
	PromptTokens int    // length of the prompt
	OutputTokens int    // length of the answer, for writers only
	StateReady   bool   // for writers: the state can be fetched, otherwise the request is rejected
}

// EventKind is what happened to a request.
type EventKind uint8

// The kinds of events.
const (
	PrefillDone EventKind = iota + 1 // the prompt has been processed and its state waits to be fetched
	FirstToken                       // the state has been fetched and the first token is out
	NextToken                        // one more token
	Done                             // the answer is complete
	Rejected                         // it never ran: no room, no state, or an unusable request
	Dropped                          // it was cancelled before it ran
	Stopped                          // it was cancelled while it ran
	Lost                             // the engine died with it
	Preempted                        // its memory was needed: it is queued again and its tokens are recomputed
)

var eventNames = [...]string{"?", "prefill done", "first token", "token", "done", "rejected", "dropped", "stopped", "lost", "preempted"}

// String returns the name of the kind, the name of the last kind for a number above it, and "?" for 0.
func (h EventKind) String() string { return eventNames[min(int(h), len(eventNames)-1)] }

// final reports whether no more events follow for the request.
func (h EventKind) final() bool { return h != FirstToken && h != NextToken && h != Preempted }

// Event is something that happened to a request.
type Event struct {
	At           time.Duration
	Kind         EventKind
	ID           string
	CachedTokens int // of PrefillDone and FirstToken: prompt tokens found in the cache
	Reason       string
}

// Report is a batch of changes to an engine's cache.
type Report struct {
	Seq         uint64
	Incarnation uint64
	At          time.Duration
	Changes     []Change
}

// Change is one change to the cache: blocks stored, blocks removed, or the whole cache cleared.
type Change struct {
	Stored  []Hash
	Parent  Hash // hash of the block before the first stored one; 0 at the start of a prompt
	Removed []Hash
	Cleared bool
}

// Engine is one emulated engine. It is not safe for concurrent use.
type Engine struct {
	settings Settings
	now      time.Duration
	memory   *memory
	queue    []*job
	running  []*job
	jobs     map[string]*job
	states   map[string]*job // prefilled, and waiting to be fetched
	stepEnd  time.Duration   // when the running step ends, 0 = none is running
	batch    []prefillChunk  // prompt tokens processed in the running step

	startedAt      time.Duration
	pausedUntil    time.Duration // no step starts before this time
	slowdowns      []slowdown    // current slowdowns, whose factors multiply
	overloaded     bool
	crashed        bool
	recentArrivals []arrival // within the last ColdOverloadWindow of a cold engine

	incarnation uint64
	seq         uint64
	changes     []Change
	events      []Event
	reports     []Report
}

// job is a request that the engine has accepted.
type job struct {
	Request
	blocks       []*block // with a reference held by this job
	prefilled    int      // tokens that need no more prefill
	cachedTokens int
	generated    int
	arrivalOrder int
	cancelled    bool
	prefilling   bool // tokens remain to be prefilled
	finished     bool
	prefixLost   bool // the cache was cleared while it ran: blocks that follow would have no cached parent
}

// prefillTarget is the number of tokens to prefill. After a preemption it includes the tokens generated before.
func (j *job) prefillTarget() int { return j.PromptTokens + j.generated }

// prefillChunk is the part of a prompt that one step processes.
type prefillChunk struct {
	job    *job
	tokens int
}

// slowdown multiplies the duration of steps until a time.
type slowdown struct {
	until  time.Duration
	factor float64
}

// arrival is a prompt that came to a cold engine.
type arrival struct {
	at     time.Duration
	tokens int
}

// New returns an engine that is already warm.
func New(s Settings, incarnation uint64) *Engine {
	e := &Engine{settings: s, jobs: make(map[string]*job), states: make(map[string]*job), incarnation: incarnation, startedAt: -s.WarmUpTime - 1}
	e.resetMemory()
	return e
}

// resetMemory replaces the memory by an empty one.
func (e *Engine) resetMemory() {
	e.memory = newMemory(e.settings.MemoryBlocks)
	e.memory.onStore = func(h []Hash, parent Hash) {
		e.changes = append(e.changes, Change{Stored: slices.Clone(h), Parent: parent})
	}
	e.memory.onRemove = func(h []Hash) { e.changes = append(e.changes, Change{Removed: slices.Clone(h)}) }
}

// Settings returns the engine's settings.
func (e *Engine) Settings() Settings { return e.settings }

// Submit gives the engine a request, at a time not before that of earlier calls. A request that the engine can't take
// is rejected at once.
func (e *Engine) Submit(now time.Duration, r Request) {
	e.Advance(now)
	reason := ""
	switch {
	case e.crashed:
		e.emit(Event{Kind: Lost, ID: r.ID, Reason: "dead"})
		return
	case e.jobs[r.ID] != nil:
		reason = "request id already in use"
	case e.overloaded:
		reason = "overloaded"
	case len(e.queue) >= e.settings.QueueLimit+e.settings.Slots-len(e.running): // free slots are filled only when a step starts
		reason = "full"
	case !e.settings.Prefill && !r.StateReady:
		reason = "no state"
	case (r.PromptTokens+r.OutputTokens+e.settings.BlockTokens-1)/e.settings.BlockTokens > e.settings.MemoryBlocks:
		reason = "request exceeds the memory"
	case r.PromptTokens < len(r.BlockHashes)*e.settings.BlockTokens || r.PromptTokens < 0 || r.OutputTokens < 0:
		reason = "a prompt shorter than its blocks"
	}
	if reason != "" {
		e.emit(Event{Kind: Rejected, ID: r.ID, Reason: reason})
		return
	}
	e.checkOverload(r.PromptTokens)
	if e.overloaded {
		e.emit(Event{Kind: Lost, ID: r.ID, Reason: "overloaded"})
		return
	}
	j := &job{Request: r, prefilling: e.settings.Prefill}
	e.jobs[r.ID] = j
	e.queue = append(e.queue, j)
	e.beginStep()
}

// checkOverload records an arrival at an engine that is warming up. If the tokens that arrive within ColdOverloadWindow
// exceed ColdOverloadFactor times the engine's current capacity, the engine fails and loses all its requests.
func (e *Engine) checkOverload(tokens int) {
	if e.isWarm() {
		e.recentArrivals = nil
		return
	}
	e.recentArrivals = append(e.recentArrivals, arrival{e.now, tokens})
	for e.now-e.recentArrivals[0].at > e.settings.ColdOverloadWindow {
		e.recentArrivals = e.recentArrivals[1:]
	}
	total := 0
	for _, s := range e.recentArrivals {
		total += s.tokens
	}
	if float64(total) > e.settings.ColdOverloadFactor*e.capacity()*e.settings.PrefillTokensPerS*e.settings.ColdOverloadWindow.Seconds() {
		e.abortAll("overloaded")
		e.overloaded = true
	}
}

// isWarm reports whether the engine has its full speed.
func (e *Engine) isWarm() bool { return e.now-e.startedAt >= e.settings.WarmUpTime }

// capacity is the share of its full speed that the engine has now.
func (e *Engine) capacity() float64 {
	if e.isWarm() {
		return 1
	}
	return e.settings.ColdCapacity + (1-e.settings.ColdCapacity)*float64(e.now-e.startedAt)/float64(e.settings.WarmUpTime)
}

// beginStep starts a step if there is something to do and none is running.
func (e *Engine) beginStep() {
	if e.stepEnd != 0 || e.crashed || e.overloaded {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		return
	}
	start := max(e.now, e.pausedUntil)
	duration, prefillBudget, contextTokens, generating := e.settings.StepOverhead, e.settings.ChunkTokens, 0, 0
	e.batch = e.batch[:0]
	for _, j := range e.running {
		contextTokens += j.prefilled + j.generated
		if !j.prefilling {
			generating++
		}
	}
	for _, j := range e.running { // in order of arrival: one long prompt delays all prompts behind it
		if !j.prefilling || prefillBudget == 0 {
			continue
		}
		n := min(prefillBudget, j.prefillTarget()-j.prefilled)
		prefillBudget -= n
		e.batch = append(e.batch, prefillChunk{j, n})
		duration += time.Duration(n) * e.settings.PerPrefillToken
	}
	duration += time.Duration(generating) * e.settings.PerSequence
	if generating > 0 {
		duration += time.Duration(float64(contextTokens) / 1000 * float64(e.settings.PerContextK))
	}
	factor := 1 / e.capacity()
	for _, s := range e.slowdowns {
		if start < s.until {
			factor *= s.factor
		}
	}
	e.stepEnd = start + max(1, time.Duration(float64(duration)*factor))
}

// admit moves requests from the queue to free slots, in order of arrival, as long as the memory suffices.
func (e *Engine) admit() {
	for len(e.queue) > 0 && len(e.running) < e.settings.Slots {
		j := e.queue[0]
		neededBlocks := (j.PromptTokens + e.settings.BlockTokens - 1) / e.settings.BlockTokens
		if !e.settings.Prefill {
			neededBlocks = (j.PromptTokens + j.generated + e.settings.BlockTokens) / e.settings.BlockTokens
		}
		cachedBlocks := 0
		if e.settings.Prefill {
			cachedBlocks = e.memory.cachedPrefix(j.BlockHashes)
			// If all of the prompt is cached, its last block is recomputed, as its output gives the first token.
			if cachedBlocks*e.settings.BlockTokens == j.PromptTokens && cachedBlocks > 0 {
				cachedBlocks--
			}
		}
		if neededBlocks-cachedBlocks > e.memory.available(j.BlockHashes[:cachedBlocks]) {
			return
		}
		shared := e.memory.acquire(j.BlockHashes[:cachedBlocks])
		fresh, ok := e.memory.allocate(neededBlocks - cachedBlocks)
		if !ok {
			e.memory.release(shared)
			return
		}
		j.blocks = append(shared, fresh...)
		j.cachedTokens = cachedBlocks * e.settings.BlockTokens
		j.prefilled = j.cachedTokens
		if !j.prefilling { // the whole state is fetched from the reader
			j.prefilled = j.PromptTokens
		}
		e.queue = e.queue[1:]
		e.running = append(e.running, j)
		if !e.settings.Prefill && !j.prefilling && j.generated == 0 {
			e.emit(Event{Kind: FirstToken, ID: j.ID, CachedTokens: j.cachedTokens})
			j.generated = 1
		}
	}
}

// finishStep completes the running step and starts the next.
func (e *Engine) finishStep() {
	e.stepEnd = 0
	for _, s := range e.batch {
		j := s.job
		if j.finished {
			continue
		}
		before := j.prefilled / e.settings.BlockTokens
		j.prefilled += s.tokens
		if e.settings.Prefill && !j.prefixLost {
			after := min(j.prefilled/e.settings.BlockTokens, len(j.BlockHashes))
			if after > before {
				e.memory.cacheBlocks(j.BlockHashes, before, j.blocks[before:after])
			}
		}
		if j.prefilled < j.prefillTarget() {
			continue
		}
		j.prefilling = false
		if e.settings.Prefill {
			e.running = slices.DeleteFunc(e.running, func(x *job) bool { return x == j })
			if j.cancelled { // the engine doesn't stop cancelled work, so it ran to the end for nothing
				e.finish(j, Stopped, "cancelled")
				continue
			}
			e.states[j.ID] = j
			e.emit(Event{Kind: PrefillDone, ID: j.ID, CachedTokens: j.cachedTokens})
		}
	}
	if !e.settings.Prefill {
		e.generateTokens()
	}
	e.beginStep()
}

// generateTokens adds a token to each running answer.
func (e *Engine) generateTokens() {
	for _, j := range slices.Clone(e.running) {
		if j.prefilling || j.finished {
			continue
		}
		if j.generated >= j.OutputTokens || j.cancelled && e.settings.CancelStopsRunning {
			kind := Done
			if j.generated < j.OutputTokens {
				kind = Stopped
			}
			e.finish(j, kind, "")
			continue
		}
		if need := (j.PromptTokens + j.generated + e.settings.BlockTokens) / e.settings.BlockTokens; need > len(j.blocks) {
			fresh, ok := e.memory.allocate(need - len(j.blocks))
			for !ok { // preempt the latest answer until the memory suffices
				newest := e.running[len(e.running)-1]
				e.preempt(newest)
				if newest == j {
					break
				}
				fresh, ok = e.memory.allocate(need - len(j.blocks))
			}
			if !ok {
				continue
			}
			j.blocks = append(j.blocks, fresh...)
		}
		j.generated++
		e.emit(Event{Kind: NextToken, ID: j.ID})
		if j.generated >= j.OutputTokens {
			e.finish(j, Done, "")
		}
	}
}

// preempt puts an answer back at the head of the queue. Its prompt and the tokens generated so far must be recomputed.
func (e *Engine) preempt(j *job) {
	e.memory.release(j.blocks)
	j.blocks, j.prefilled, j.prefilling = nil, 0, true
	e.running = slices.DeleteFunc(e.running, func(x *job) bool { return x == j })
	e.queue = slices.Insert(e.queue, 0, j)
	e.emit(Event{Kind: Preempted, ID: j.ID})
}

// finish ends a request and releases its memory. It emits an event unless kind is 0.
func (e *Engine) finish(j *job, kind EventKind, reason string) {
	if j.finished {
		return
	}
	j.finished = true
	e.memory.release(j.blocks)
	j.blocks = nil
	delete(e.jobs, j.ID)
	delete(e.states, j.ID)
	e.running = slices.DeleteFunc(e.running, func(x *job) bool { return x == j })
	e.queue = slices.DeleteFunc(e.queue, func(x *job) bool { return x == j })
	if kind != 0 {
		e.emit(Event{Kind: kind, ID: j.ID, Reason: reason})
	}
}

// Cancel cancels a request. A queued one is dropped; a running one continues unless CancelStopsRunning is set.
func (e *Engine) Cancel(now time.Duration, id string) {
	e.Advance(now)
	j := e.jobs[id]
	if j == nil || e.states[id] != nil {
		return
	}
	if slices.Contains(e.queue, j) {
		e.finish(j, Dropped, "cancelled")
	} else if j.cancelled = true; e.settings.CancelStopsRunning {
		e.finish(j, Stopped, "cancelled")
	}
	e.beginStep()
}

// Fetch hands a state over to a writer: the reader releases its memory, while the prompt's blocks stay cached. It
// reports whether there was a state.
func (e *Engine) Fetch(now time.Duration, id string) bool {
	e.Advance(now)
	j := e.states[id]
	if j == nil {
		return false
	}
	e.finish(j, 0, "")
	e.beginStep()
	return true
}

// Release discards a state, if there is one.
func (e *Engine) Release(now time.Duration, id string) { e.Fetch(now, id) }

// Pause prevents steps from starting before the given time, and delays the end of a running one until then.
func (e *Engine) Pause(now, until time.Duration) {
	e.Advance(now)
	e.pausedUntil = max(e.pausedUntil, until)
	if e.stepEnd != 0 {
		e.stepEnd = max(e.stepEnd, until)
	}
}

// SlowDown multiplies the duration of steps by factor until the given time, on top of slowdowns in effect.
func (e *Engine) SlowDown(now, until time.Duration, factor float64) {
	e.Advance(now)
	e.slowdowns = append(slices.DeleteFunc(e.slowdowns, func(s slowdown) bool { return s.until <= now }), slowdown{until, factor})
}

// ClearCache forgets all cached blocks. Running requests continue.
func (e *Engine) ClearCache(now time.Duration) {
	e.Advance(now)
	e.memory.uncacheAll()
	for _, j := range e.running {
		j.prefixLost = true
	}
	e.changes = append(e.changes, Change{Cleared: true})
}

// Crash ends the process. All requests, states and cached blocks are lost.
func (e *Engine) Crash(now time.Duration) {
	e.Advance(now)
	e.abortAll("died")
	e.crashed = true
}

// abortAll ends all requests and empties the queue, the states and the cache.
func (e *Engine) abortAll(reason string) {
	for _, j := range slices.SortedFunc(maps.Values(e.jobs), func(a, b *job) int { return cmp.Compare(a.ID, b.ID) }) {
		if e.states[j.ID] != nil { // its prefill has been reported as done
			e.finish(j, 0, "")
			continue
		}
		e.finish(j, Lost, reason)
	}
	e.stepEnd, e.queue, e.running, e.recentArrivals, e.changes = 0, nil, nil, nil, nil
	e.resetMemory()
}

// Start starts the process again under a new incarnation, cold and with an empty cache.
func (e *Engine) Start(now time.Duration, incarnation uint64) {
	e.Advance(now)
	if !e.crashed && !e.overloaded {
		e.abortAll("died")
	}
	e.crashed, e.overloaded, e.startedAt, e.pausedUntil, e.slowdowns = false, false, now, 0, nil
	e.incarnation, e.seq, e.changes = incarnation, 0, []Change{{Cleared: true}}
}

// NextStep returns the time at which the running step ends, and false if none is running.
func (e *Engine) NextStep() (time.Duration, bool) { return e.stepEnd, e.stepEnd != 0 }

// Advance moves the clock forward and completes the steps that end by then.
func (e *Engine) Advance(now time.Duration) {
	for e.stepEnd != 0 && e.stepEnd <= now {
		e.now = max(e.now, e.stepEnd)
		e.finishStep()
	}
	e.now = max(e.now, now)
}

// emit records an event at the current time.
func (e *Engine) emit(ev Event) {
	ev.At = e.now
	e.events = append(e.events, ev)
}

// Events returns the events since the last call.
func (e *Engine) Events() []Event {
	out := e.events
	e.events = nil
	return out
}

// Report returns the changes since the last report as a batch, and false if there are none.
func (e *Engine) Report() (Report, bool) {
	if len(e.changes) == 0 || e.crashed {
		return Report{}, false
	}
	r := Report{Seq: e.seq, Incarnation: e.incarnation, At: e.now, Changes: e.changes}
	e.seq++
	e.changes = nil
	return r, true
}

// Snapshot returns a batch that clears the cache and then stores everything in it, parents first. It replaces the
// changes since the last report.
func (e *Engine) Snapshot() Report {
	children := make(map[Hash][]Hash)
	var roots []Hash
	for _, h := range e.CachedBlocks() {
		if p := e.memory.cached[h].parent; e.memory.cached[p] != nil {
			children[p] = append(children[p], h)
		} else {
			roots = append(roots, h)
		}
	}
	e.changes = []Change{{Cleared: true}}
	for len(roots) > 0 { // one change for each run of blocks without a branch
		h := roots[len(roots)-1]
		roots = roots[:len(roots)-1]
		c := Change{Parent: e.memory.cached[h].parent}
		for {
			c.Stored = append(c.Stored, h)
			next := children[h]
			if len(next) == 0 {
				break
			}
			roots = append(roots, next[1:]...)
			h = next[0]
		}
		e.changes = append(e.changes, c)
	}
	r, _ := e.Report()
	return r
}

// CachedBlocks returns the hashes of all cached blocks in ascending order.
func (e *Engine) CachedBlocks() []Hash {
	out := make([]Hash, 0, len(e.memory.cached))
	for h := range e.memory.cached {
		out = append(out, h)
	}
	slices.Sort(out)
	return out
}

// Load returns the shares of slots and of memory in use, and the number of queued requests.
func (e *Engine) Load() (slots, memory float64, waiting int) {
	return float64(len(e.running)+len(e.states)) / float64(e.settings.Slots), float64(e.memory.usedBlocks) / float64(e.settings.MemoryBlocks), len(e.queue)
}

// CheckInvariants returns an error if an invariant of the engine is violated.
func (e *Engine) CheckInvariants() error {
	if err := e.memory.check(); err != nil {
		return err
	}
	refs := make(map[*block]int)
	for _, j := range e.jobs {
		for _, b := range j.blocks {
			refs[b]++
		}
	}
	for b, n := range refs {
		if b.refs != n {
			return fmt.Errorf("block has reference count %d, but %d users", b.refs, n)
		}
	}
	switch {
	case len(refs) != e.memory.usedBlocks:
		return fmt.Errorf("%d blocks in use, but the count is %d", len(refs), e.memory.usedBlocks)
	case len(e.running) > e.settings.Slots:
		return fmt.Errorf("%d requests running in %d slots", len(e.running), e.settings.Slots)
	case len(e.queue) > e.settings.QueueLimit+e.settings.Slots: // preempted requests may exceed the queue's limit
		return fmt.Errorf("%d requests wait in the queue, the limit is %d", len(e.queue), e.settings.QueueLimit)
	case len(e.running)+len(e.queue)+len(e.states) != len(e.jobs):
		return fmt.Errorf("%d run, %d wait and %d states don't add up to %d open requests", len(e.running), len(e.queue), len(e.states), len(e.jobs))
	}
	return nil
}
