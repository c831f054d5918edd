package engine

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

func builtInKind(t testing.TB, name string) Kind {
	t.Helper()
	all, err := ParseKinds(nil)
	if err != nil {
		t.Fatal(err)
	}
	return all[name]
}

// promptText returns a prompt of the given number of tokens that has no common prefix with those of other names.
func promptText(name string, tokens int) []byte {
	out := make([]byte, 0, tokens*bytesPerToken)
	for i := 0; len(out) < tokens*bytesPerToken; i++ {
		out = fmt.Appendf(out, "%s-%d ", name, i)
	}
	return out[:tokens*bytesPerToken]
}

func newRequest(e *Engine, id string, prompt []byte, output int) Request {
	return Request{ID: id, BlockHashes: BlockHashes(prompt, e.settings.BlockTokens), PromptTokens: len(prompt) / bytesPerToken, OutputTokens: output, StateReady: true}
}

func countEvents(events []Event, what EventKind) (n int) {
	for _, x := range events {
		if x.Kind == what {
			n++
		}
	}
	return n
}

// runUntil steps an engine until it has nothing more to do or the given time is reached, and returns its events.
func runUntil(e *Engine, until time.Duration) []Event {
	for at, ok := e.NextStep(); ok && at <= until; at, ok = e.NextStep() {
		e.Advance(at)
	}
	return e.Events()
}

// Engines drawn from the built-in kinds must show the documented figures within 10%.
func TestFiguresWithinDocumentedRanges(t *testing.T) {
	for name, documented := range map[string]struct{ slots, queue, memory, prefillSpeed Range }{
		"reader":   {Range{4.4, 11}, Range{26, 64}, Range{150, 290}, Range{17000, 24000}},
		"writer-a": {Range{60, 120}, Range{22, 43}, Range{130, 210}, Range{5100, 8600}},
		"writer-b": {Range{59, 110}, Range{15, 43}, Range{110, 190}, Range{5100, 8700}},
	} {
		within := func(what string, v float64, r Range) {
			t.Helper()
			if v < 0.9*r[0] || v > 1.1*r[1] {
				t.Errorf("%s: %s %.1f, documented %v", name, what, v, r)
			}
		}
		k := builtInKind(t, name)
		for seed := range uint64(60) {
			s := k.Draw(seed)
			within("memory", float64(s.MemoryBlocks*s.BlockTokens)/1000, documented.memory)
			if name == "reader" { // measure the prefill speed
				e := New(s, 1)
				const each = 8000
				n := 0
				for n < 12 {
					e.Submit(0, newRequest(e, fmt.Sprint(n), promptText(fmt.Sprint(seed, n), each), 0))
					n++
				}
				ended := time.Duration(0)
				for at, ok := e.NextStep(); ok; at, ok = e.NextStep() {
					e.Advance(at)
					for _, x := range e.Events() {
						if x.Kind == PrefillDone {
							ended = x.At
							e.Fetch(e.now, x.ID)
						}
					}
				}
				within("prefill speed", float64(n*each)/ended.Seconds(), documented.prefillSpeed)
			} else { // a preempted answer is recomputed at the documented speed
				j := &job{Request: Request{PromptTokens: 20000}, prefilling: true}
				e := New(s, 1)
				e.running = []*job{j}
				e.jobs[""] = j
				e.beginStep()
				for j.prefilled < 20000 && e.stepEnd > 0 {
					at := e.stepEnd
					for _, x := range e.batch {
						x.job.prefilled += x.tokens
					}
					if e.now, e.stepEnd = at, 0; j.prefilled < 20000 {
						e.beginStep()
					}
				}
				within("prefill speed", 20000/e.now.Seconds(), documented.prefillSpeed)
			}
			e := New(s, 1)
			for i := range 400 {
				e.Submit(0, newRequest(e, fmt.Sprint(i), promptText(fmt.Sprint(i), 20), 50))
			}
			e.stepEnd = 0
			e.beginStep()
			within("slots", float64(len(e.running)), documented.slots)
			within("queue", float64(len(e.queue)), documented.queue)
			if n := countEvents(e.Events(), Rejected); n != 400-len(e.running)-len(e.queue) {
				t.Errorf("%s: %d rejected", name, n)
			}
		}
	}
}

// Two long prompts evict a popular shared prefix that is not in use, from its end; blocks in use stay.
func TestLongPromptsEvictSharedPrefix(t *testing.T) {
	s := builtInKind(t, "reader").Draw(1)
	s.MemoryBlocks = 20000 / s.BlockTokens
	e := New(s, 1)
	shared := promptText("shared", 4000)
	prefill := func(id string, prompt []byte) int {
		e.Submit(e.now, newRequest(e, id, prompt, 0))
		for _, x := range runUntil(e, time.Hour) {
			if x.Kind == PrefillDone && x.ID == id {
				return x.CachedTokens
			}
		}
		t.Fatalf("%s was not prefilled", id)
		return 0
	}
	prefill("a", shared)
	e.Fetch(e.now, "a")
	if cached := prefill("b", slices.Concat(shared, promptText("turn", 500))); cached < 4000-s.BlockTokens {
		t.Errorf("%d tokens of the shared prefix cached", cached)
	}
	e.Fetch(e.now, "b")
	e.Report()
	prefill("long1", promptText("long1", 9000))
	if cached := prefill("c", shared); cached < 4000-2*s.BlockTokens {
		t.Errorf("%d tokens of the shared prefix cached beside one long prompt", cached)
	}
	e.Fetch(e.now, "c")
	prefill("long2", promptText("long2", 9900)) // the state of long1 is still in use
	removed := 0
	r, _ := e.Report()
	for _, c := range r.Changes {
		removed += len(c.Removed)
	}
	if removed == 0 {
		t.Error("the evictions were not reported")
	}
	if left := e.memory.cachedPrefix(BlockHashes(shared, s.BlockTokens)) * s.BlockTokens; left > 1500 {
		t.Errorf("%d tokens of the shared prefix still cached", left)
	}
	if err := e.CheckInvariants(); err != nil {
		t.Error(err)
	}
}

// Prompts are processed in order of arrival: a short one that comes after a long one must take longer than alone.
func TestLongPromptDelaysShortOne(t *testing.T) {
	s := builtInKind(t, "reader").Draw(3)
	timeToPrefill := func(long bool) time.Duration {
		e := New(s, 1)
		if long {
			e.Submit(0, newRequest(e, "long", promptText("long", 30000), 0))
		}
		e.Submit(0, newRequest(e, "short", promptText("short", 300), 0))
		for _, x := range runUntil(e, time.Hour) {
			if x.ID == "short" {
				return x.At
			}
		}
		return 0
	}
	if without, with := timeToPrefill(false), timeToPrefill(true); with < without+time.Second {
		t.Errorf("the short prompt took %v after a long one, %v alone", with, without)
	}
}

// When a writer runs out of memory it preempts its newest answer and recomputes it; all answers must complete.
func TestPreemptsNewestAnswer(t *testing.T) {
	s := builtInKind(t, "writer-a").Draw(2)
	s.MemoryBlocks = 3000 / s.BlockTokens
	e := New(s, 1)
	for i := range 5 {
		e.Submit(0, newRequest(e, fmt.Sprint(i), promptText(fmt.Sprint(i), 500), 400))
	}
	events := runUntil(e, time.Hour)
	if countEvents(events, Preempted) == 0 || countEvents(events, Done) != 5 {
		t.Errorf("%d preempted, %d done", countEvents(events, Preempted), countEvents(events, Done))
	}
	firstPreempted := events[slices.IndexFunc(events, func(x Event) bool { return x.Kind == Preempted })]
	if firstPreempted.ID != "4" {
		t.Errorf("answer %s was preempted first, want the newest", firstPreempted.ID)
	}
	for i := range 5 {
		tokens := 1
		for _, x := range events {
			if x.Kind == NextToken && x.ID == fmt.Sprint(i) {
				tokens++
			}
		}
		if tokens != 400 {
			t.Errorf("answer %d has %d tokens", i, tokens)
		}
	}
}

// A cancel drops a queued request at once. A running one is stopped or runs to its end, depending on CancelStopsRunning.
func TestCancel(t *testing.T) {
	for _, stopsRunning := range []bool{true, false} {
		s := builtInKind(t, "reader").Draw(1)
		s.Slots, s.CancelStopsRunning = 1, stopsRunning
		e := New(s, 1)
		e.Submit(0, newRequest(e, "runs", promptText("a", 5000), 0))
		e.Submit(0, newRequest(e, "waits", promptText("b", 5000), 0))
		e.Cancel(ms, "runs")
		e.Cancel(ms, "waits")
		events := e.Events()
		if countEvents(events, Dropped) != 1 || (countEvents(events, Stopped) == 1) != stopsRunning {
			t.Errorf("stops %v: %v", stopsRunning, events)
		}
		busy := len(e.running)
		if (busy == 0) != stopsRunning {
			t.Errorf("stops %v: %d still running", stopsRunning, busy)
		}
		if events = runUntil(e, time.Hour); !stopsRunning && (len(events) != 1 || events[0].Kind != Stopped) {
			t.Errorf("after running to the end: %v", events)
		}
		if len(e.jobs) != 0 || e.memory.usedBlocks != 0 {
			t.Errorf("%d jobs and %d used blocks left", len(e.jobs), e.memory.usedBlocks)
		}
	}
}

// A cold engine is slower and fails when it is overloaded, a warm one doesn't. An engine that crashed restarts with an
// empty cache and reports this under a new incarnation. Overlapping faults add up.
func TestFaults(t *testing.T) {
	s := builtInKind(t, "reader").Draw(4)
	prompt := func(i int) []byte { return promptText(fmt.Sprint("p", i), 4000) }
	timeToPrefill := func(prepare func(*Engine)) time.Duration {
		e := New(s, 1)
		prepare(e)
		e.Submit(0, newRequest(e, "x", prompt(0), 0))
		events := runUntil(e, time.Hour)
		if len(events) != 1 {
			t.Fatal(events)
		}
		return events[0].At
	}
	plain := timeToPrefill(func(*Engine) {})
	slow := timeToPrefill(func(e *Engine) { e.SlowDown(0, time.Hour, 2) })
	both := timeToPrefill(func(e *Engine) { e.SlowDown(0, time.Hour, 2); e.SlowDown(0, time.Hour, 3); e.Pause(0, time.Second) })
	cold := timeToPrefill(func(e *Engine) { e.Start(0, 2) })
	if slow < plain*19/10 || slow > plain*21/10 || both < time.Second+plain*59/10 || both > time.Second+plain*61/10 || cold < plain*3/2 {
		t.Errorf("plain %v, slow %v, slow twice and paused %v, cold %v", plain, slow, both, cold)
	}
	overrun := func(e *Engine) (lost int) {
		for i := range 60 {
			e.Submit(time.Duration(i)*10*ms, newRequest(e, fmt.Sprint(i), prompt(i), 0))
		}
		return countEvents(e.Events(), Lost)
	}
	e := New(s, 1)
	if n := overrun(e); n > 0 || e.overloaded {
		t.Errorf("a warm engine failed under overload, %d lost", n)
	}
	e = New(s, 1)
	e.Start(0, 2)
	if n := overrun(e); n == 0 || !e.overloaded {
		t.Error("a cold engine did not fail under overload")
	}
	e = New(s, 1)
	e.Submit(0, newRequest(e, "x", prompt(1), 0))
	runUntil(e, time.Hour)
	e.Fetch(e.now, "x")
	first, ok := e.Report()
	e.Crash(e.now)
	e.Submit(e.now, newRequest(e, "y", prompt(1), 0))
	if events := e.Events(); countEvents(events, Lost) != 1 {
		t.Errorf("request to a crashed engine: %v", events)
	}
	if _, reported := e.Report(); reported {
		t.Error("a crashed engine reports")
	}
	e.Start(e.now+time.Second, 7)
	second, reported := e.Report()
	if !ok || !reported || first.Incarnation != 1 || second.Incarnation != 7 || second.Seq != 0 || !second.Changes[0].Cleared {
		t.Errorf("%+v, then %+v", first, second)
	}
	e.Submit(e.now, newRequest(e, "z", prompt(1), 0))
	if events := runUntil(e, time.Hour); len(events) != 1 || events[0].CachedTokens != 0 {
		t.Errorf("prefill after a restart with an empty cache: %v", events)
	}
}

// reportedCache is the contents of an engine's cache according to its reports.
type reportedCache map[Hash]Hash

func (m reportedCache) apply(r Report) error {
	for _, c := range r.Changes {
		if c.Cleared {
			clear(m)
		}
		parent := c.Parent
		for _, h := range c.Stored {
			if _, ok := m[h]; ok {
				return fmt.Errorf("block %x stored twice", h)
			}
			m[h] = parent
			parent = h
		}
		for _, h := range c.Removed {
			if _, ok := m[h]; !ok {
				return fmt.Errorf("block %x removed without having been stored", h)
			}
			delete(m, h)
		}
	}
	return nil
}

// runRandomOperations plays random operations on an engine and checks all invariants after each. If corrupt is not nil,
// it is called at each report and may break something.
func runRandomOperations(seed uint64, name string, corrupt func(*Engine, *Report)) (sum [32]byte, err error) {
	rng := rand.New(rand.NewPCG(seed, 7))
	kinds, err := ParseKinds(nil)
	if err != nil {
		return sum, err
	}
	s := kinds[name].Draw(seed)
	s.Slots, s.QueueLimit, s.MemoryBlocks = 1+rng.IntN(6), rng.IntN(8), 4+rng.IntN(200)
	e := New(s, 1)
	reported, open, ended := reportedCache{}, map[string]bool{}, map[string]int{}
	var log strings.Builder
	now, n, incarnation := time.Duration(0), 0, uint64(1)
	var ids []string
	pick := func() string {
		if len(ids) == 0 {
			return ""
		}
		return ids[rng.IntN(len(ids))]
	}
	for range 400 {
		now += time.Duration(rng.Int64N(int64(60 * ms)))
		switch op := rng.IntN(24); {
		case op < 12:
			n++
			id := fmt.Sprint("w", n)
			prompt := slices.Concat(promptText(fmt.Sprint("s", rng.IntN(4)), 64*(1+rng.IntN(8))), promptText(id, rng.IntN(300)))
			ids, open[id] = append(ids, id), true
			e.Submit(now, newRequest(e, id, prompt, 1+rng.IntN(40)))
		case op < 14:
			e.Cancel(now, pick())
		case op < 18:
			e.Fetch(now, pick())
		case op < 19:
			e.Pause(now, now+time.Duration(rng.Int64N(int64(200*ms))))
		case op < 20:
			e.SlowDown(now, now+time.Second, 1+2*rng.Float64())
		case op < 21:
			e.ClearCache(now)
		case op < 22 && rng.IntN(4) == 0:
			e.Crash(now)
		case op < 23 && rng.IntN(3) == 0:
			incarnation++
			e.Start(now, incarnation)
			clear(reported) // a new process: earlier reports no longer count
		default:
			e.Advance(now)
		}
		for _, ev := range e.Events() {
			fmt.Fprintln(&log, ev)
			if !open[ev.ID] {
				return sum, fmt.Errorf("event %v for a request that is not open", ev)
			}
			if ev.Kind.final() {
				ended[ev.ID]++
				delete(open, ev.ID)
			}
			if ended[ev.ID] > 1 {
				return sum, fmt.Errorf("%s ended twice", ev.ID)
			}
		}
		if r, ok := e.Report(); ok {
			fmt.Fprintln(&log, r)
			if corrupt != nil {
				corrupt(e, &r)
			}
			if err := reported.apply(r); err != nil {
				return sum, err
			}
		}
		if err := e.CheckInvariants(); err != nil {
			return sum, err
		}
		if cached := e.CachedBlocks(); !e.crashed && len(cached) != len(reported) || !e.crashed && slices.ContainsFunc(cached, func(h Hash) bool { _, ok := reported[h]; return !ok }) {
			return sum, fmt.Errorf("%d blocks cached, %d according to the reports", len(cached), len(reported))
		}
	}
	if !e.crashed { // a snapshot must agree with all reports
		snapshot := reportedCache{}
		if err := snapshot.apply(e.Snapshot()); err != nil || len(snapshot) != len(e.CachedBlocks()) {
			return sum, fmt.Errorf("snapshot has %d blocks, cache has %d: %w", len(snapshot), len(e.CachedBlocks()), err)
		}
	}
	e.Start(now, incarnation+1)
	for _, ev := range e.Events() {
		if ev.Kind.final() {
			ended[ev.ID]++
			delete(open, ev.ID)
		}
	}
	if len(open) > 0 {
		return sum, fmt.Errorf("%d requests never ended", len(open))
	}
	return sha256.Sum256([]byte(log.String())), nil
}

// Under random operations no block may be lost or counted twice or evicted while in use, all limits must hold, every
// request must end exactly once, and the reports in order must describe the cache. The same seed must give the same
// run.
func TestInvariantsOverRandomOperations(t *testing.T) {
	for _, name := range []string{"reader", "writer-a"} {
		for seed := range uint64(100) {
			a, err := runRandomOperations(seed, name, nil)
			if err != nil {
				t.Fatalf("%s, seed %d: %v", name, seed, err)
			}
			if b, _ := runRandomOperations(seed, name, nil); seed < 20 && a != b {
				t.Fatalf("%s, seed %d: two runs differ", name, seed)
			}
		}
	}
}

// Each kind of corruption must be detected on some seed; otherwise a check is ineffective.
func TestInvariantViolationsAreDetected(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	rarely := func() bool { return rng.IntN(20) == 0 }
	for name, corrupt := range map[string]func(*Engine, *Report){
		"a lost change":                               func(_ *Engine, r *Report) { r.Changes = r.Changes[1:] },
		"a block counted twice":                       func(e *Engine, _ *Report) { e.memory.freeBlocks++ },
		"a block lost":                                func(e *Engine, _ *Report) { e.memory.freeBlocks-- },
		"one reference too few":                       func(e *Engine, _ *Report) { corruptRefs(e, -1) },
		"one reference too many":                      func(e *Engine, _ *Report) { corruptRefs(e, 1) },
		"a request that ends twice":                   func(e *Engine, _ *Report) { duplicateEvent(e) },
		"a block evicted before those that follow it": func(e *Engine, _ *Report) { evictParentFirst(e) },
		"more running requests than slots":            func(e *Engine, _ *Report) { e.settings.Slots = 0 },
		"a block cached without a report":             func(e *Engine, _ *Report) { e.memory.cached[0xbad] = &block{hash: 0xbad, refs: 1} },
	} {
		detected := false
		for seed := uint64(0); seed < 40 && !detected; seed++ {
			_, err := runRandomOperations(seed, "reader", func(e *Engine, r *Report) {
				if rarely() {
					corrupt(e, r)
				}
			})
			detected = err != nil
		}
		if !detected {
			t.Errorf("%s is not detected", name)
		}
	}
}

func corruptRefs(e *Engine, by int) {
	for _, j := range e.jobs {
		if len(j.blocks) > 0 {
			j.blocks[0].refs += by
			return
		}
	}
}

func duplicateEvent(e *Engine) {
	for id := range e.states {
		e.emit(Event{Kind: Lost, ID: id})
		return
	}
}

func evictParentFirst(e *Engine) {
	for b := e.memory.lruHead; b != nil; b = b.next {
		if b.kids > 0 { // move it to the front
			e.memory.removeIdle(b)
			b.queued, b.next = true, e.memory.lruHead
			if b.next != nil {
				b.next.prev = b
			} else {
				e.memory.lruTail = b
			}
			e.memory.lruHead = b
			e.memory.idleBlocks++
			e.memory.allocate(1)
			e.memory.usedBlocks--
			e.memory.freeBlocks++
			return
		}
	}
}

func TestBadKindsAreRefused(t *testing.T) {
	good := string(defaultKinds)
	for from, to := range map[string]string{
		`"role": "read"`:               `"role": "both"`,
		`"slots": [4.4, 11]`:           `"slots": [11, 4]`,
		`"queue": [26, 64]`:            `"queue": [-1, 64]`,
		`"memory_k": [150, 290]`:       `"memory_k": [0, 0]`,
		`"read_per_s": [17000, 24000]`: `"read_per_s": [17000, 1e9]`,
		`"chunk": [1024, 2048, 4096]`:  `"chunk": []`,
		`"step_ms": [9, 22]`:           `"step_ms": [9, 600]`,
		`"block": [16, 32, 64]`:        `"block": [1.5]`,
		`"fall_at": 2.5`:               `"fall_at": 0.5`,
		`"stops": "some"`:              `"stops": "maybe"`,
		`"fall_s": 2`:                  `"fal_s": 2`,
	} {
		text := strings.Replace(good, from, to, 1)
		key := strings.Trim(strings.SplitN(to, ":", 2)[0], `"`)
		if _, err := ParseKinds([]byte(text)); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: %v", to, err)
		}
	}
}
