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

func kind(t testing.TB, name string) Kind {
	t.Helper()
	all, err := Kinds(nil)
	if err != nil {
		t.Fatal(err)
	}
	return all[name]
}

// text is a prompt whose beginning is named, of so many tokens.
func text(name string, tokens int) []byte {
	out := make([]byte, 0, tokens*bytesPerToken)
	for i := 0; len(out) < tokens*bytesPerToken; i++ {
		out = fmt.Appendf(out, "%s-%d ", name, i)
	}
	return out[:tokens*bytesPerToken]
}

func work(e *Engine, id string, prompt []byte, output int) Work {
	return Work{ID: id, Chain: Chain(prompt, e.settings.Block), Tokens: len(prompt) / bytesPerToken, Output: output, Holds: true}
}

func count(events []Event, what Happened) (n int) {
	for _, x := range events {
		if x.What == what {
			n++
		}
	}
	return n
}

// run steps an engine to the end of all that it has to do, or to a time.
func run(e *Engine, until time.Duration) []Event {
	for at, ok := e.Next(); ok && at <= until; at, ok = e.Next() {
		e.Advance(at)
	}
	return e.Events()
}

// The figures of the documents, drawn over their ranges, come out of the engine within 10%.
func TestFiguresOfTheDocuments(t *testing.T) {
	for name, doc := range map[string]struct{ slots, queue, memory, pace Range }{
		"reader":   {Range{4.4, 11}, Range{26, 64}, Range{150, 290}, Range{17000, 24000}},
		"writer-a": {Range{60, 120}, Range{22, 43}, Range{130, 210}, Range{5100, 8600}},
		"writer-b": {Range{59, 110}, Range{15, 43}, Range{110, 190}, Range{5100, 8700}},
	} {
		within := func(what string, v float64, r Range) {
			t.Helper()
			if v < 0.9*r[0] || v > 1.1*r[1] {
				t.Errorf("%s: %s %.1f, the documents say %v", name, what, v, r)
			}
		}
		k := kind(t, name)
		for seed := range uint64(60) {
			s := k.Draw(seed)
			within("memory", float64(s.Blocks*s.Block)/1000, doc.memory)
			if name == "reader" { // the pace of reading, as it is measured
				e := New(s, 1)
				const each = 8000
				n := 0
				for n < 12 {
					e.Submit(0, work(e, fmt.Sprint(n), text(fmt.Sprint(seed, n), each), 0))
					n++
				}
				ended := time.Duration(0)
				for at, ok := e.Next(); ok; at, ok = e.Next() {
					e.Advance(at)
					for _, x := range e.Events() {
						if x.What == ReadDone {
							ended = x.At
							e.Fetch(e.now, x.ID)
						}
					}
				}
				within("pace", float64(n*each)/ended.Seconds(), doc.pace)
			} else { // an answer that goes back is read anew at the kind's pace
				j := &job{Work: Work{Tokens: 20000}, prefilling: true}
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
				within("pace", 20000/e.now.Seconds(), doc.pace)
			}
			e := New(s, 1)
			for i := range 400 {
				e.Submit(0, work(e, fmt.Sprint(i), text(fmt.Sprint(i), 20), 50))
			}
			e.stepEnd = 0
			e.beginStep()
			within("slots", float64(len(e.running)), doc.slots)
			within("queue", float64(len(e.queue)), doc.queue)
			if n := count(e.Events(), TurnedAway); n != 400-len(e.running)-len(e.queue) {
				t.Errorf("%s: %d turned away", name, n)
			}
		}
	}
}

// Two long new sessions push out a popular shared text that nobody uses just then, its end first; what is in use stays.
func TestLongSessionsPushOutASharedText(t *testing.T) {
	s := kind(t, "reader").Draw(1)
	s.Blocks = 20000 / s.Block
	e := New(s, 1)
	shared := text("shared", 4000)
	read := func(id string, prompt []byte) int {
		e.Submit(e.now, work(e, id, prompt, 0))
		for _, x := range run(e, time.Hour) {
			if x.What == ReadDone && x.ID == id {
				return x.Kept
			}
		}
		t.Fatalf("%s was not read", id)
		return 0
	}
	read("a", shared)
	e.Fetch(e.now, "a")
	if kept := read("b", slices.Concat(shared, text("turn", 500))); kept < 4000-s.Block {
		t.Errorf("%d of the shared text found kept", kept)
	}
	e.Fetch(e.now, "b")
	e.Report()
	read("long1", text("long1", 9000))
	if kept := read("c", shared); kept < 4000-2*s.Block {
		t.Errorf("%d of the shared text kept beside one long session", kept)
	}
	e.Fetch(e.now, "c")
	read("long2", text("long2", 9900)) // long1's state is in use still
	removed := 0
	r, _ := e.Report()
	for _, c := range r.Changes {
		removed += len(c.Removed)
	}
	if removed == 0 {
		t.Error("nothing is told of what had to go")
	}
	if left := e.memory.cachedPrefix(Chain(shared, s.Block)) * s.Block; left > 1500 {
		t.Errorf("%d of the shared text still kept", left)
	}
	if err := e.Check(); err != nil {
		t.Error(err)
	}
}

// A batch stalls behind one long prompt: those that came with it are read later than without it.
func TestABatchStallsBehindALongPrompt(t *testing.T) {
	s := kind(t, "reader").Draw(3)
	took := func(long bool) time.Duration {
		e := New(s, 1)
		if long {
			e.Submit(0, work(e, "long", text("long", 30000), 0))
		}
		e.Submit(0, work(e, "short", text("short", 300), 0))
		for _, x := range run(e, time.Hour) {
			if x.ID == "short" {
				return x.At
			}
		}
		return 0
	}
	if without, with := took(false), took(true); with < without+time.Second {
		t.Errorf("%v behind a long prompt, %v without it", with, without)
	}
}

// When a writer's memory runs out its newest answer goes back and is read anew; all come to their end.
func TestTheNewestAnswerGoesBack(t *testing.T) {
	s := kind(t, "writer-a").Draw(2)
	s.Blocks = 3000 / s.Block
	e := New(s, 1)
	for i := range 5 {
		e.Submit(0, work(e, fmt.Sprint(i), text(fmt.Sprint(i), 500), 400))
	}
	events := run(e, time.Hour)
	if count(events, Again) == 0 || count(events, Done) != 5 {
		t.Errorf("%d went back, %d done", count(events, Again), count(events, Done))
	}
	first := events[slices.IndexFunc(events, func(x Event) bool { return x.What == Again })]
	if first.ID != "4" {
		t.Errorf("%s went back first, not the newest", first.ID)
	}
	for i := range 5 {
		tokens := 1
		for _, x := range events {
			if x.What == Token && x.ID == fmt.Sprint(i) {
				tokens++
			}
		}
		if tokens != 400 {
			t.Errorf("answer %d has %d tokens", i, tokens)
		}
	}
}

// A cancel drops what waits at once; what runs is stopped, or runs on, as the engine is.
func TestCancels(t *testing.T) {
	for _, stops := range []bool{true, false} {
		s := kind(t, "reader").Draw(1)
		s.Slots, s.CancelStops = 1, stops
		e := New(s, 1)
		e.Submit(0, work(e, "runs", text("a", 5000), 0))
		e.Submit(0, work(e, "waits", text("b", 5000), 0))
		e.Cancel(ms, "runs")
		e.Cancel(ms, "waits")
		events := e.Events()
		if count(events, Dropped) != 1 || (count(events, Stopped) == 1) != stops {
			t.Errorf("stops %v: %v", stops, events)
		}
		busy := len(e.running)
		if (busy == 0) != stops {
			t.Errorf("stops %v: %d run on", stops, busy)
		}
		if events = run(e, time.Hour); !stops && (len(events) != 1 || events[0].What != Stopped) {
			t.Errorf("it ran on to %v", events)
		}
		if len(e.jobs) != 0 || e.memory.usedBlocks != 0 {
			t.Errorf("%d jobs, %d blocks left", len(e.jobs), e.memory.usedBlocks)
		}
	}
}

// A cold engine is slower and falls over when it is overrun, a warm one is not; one that died comes back with nothing
// and says so under a new incarnation. Troubles that overlap compose.
func TestTroubles(t *testing.T) {
	s := kind(t, "reader").Draw(4)
	prompt := func(i int) []byte { return text(fmt.Sprint("p", i), 4000) }
	once := func(prepare func(*Engine)) time.Duration {
		e := New(s, 1)
		prepare(e)
		e.Submit(0, work(e, "x", prompt(0), 0))
		events := run(e, time.Hour)
		if len(events) != 1 {
			t.Fatal(events)
		}
		return events[0].At
	}
	plain := once(func(*Engine) {})
	slow := once(func(e *Engine) { e.Slow(0, time.Hour, 2) })
	both := once(func(e *Engine) { e.Slow(0, time.Hour, 2); e.Slow(0, time.Hour, 3); e.Pause(0, time.Second) })
	cold := once(func(e *Engine) { e.Start(0, 2) })
	if slow < plain*19/10 || slow > plain*21/10 || both < time.Second+plain*59/10 || both > time.Second+plain*61/10 || cold < plain*3/2 {
		t.Errorf("plain %v, slow %v, slow twice and paused %v, cold %v", plain, slow, both, cold)
	}
	overrun := func(e *Engine) (lost int) {
		for i := range 60 {
			e.Submit(time.Duration(i)*10*ms, work(e, fmt.Sprint(i), prompt(i), 0))
		}
		return count(e.Events(), Lost)
	}
	e := New(s, 1)
	if n := overrun(e); n > 0 || e.overloaded {
		t.Errorf("a warm one fell over, %d lost", n)
	}
	e = New(s, 1)
	e.Start(0, 2)
	if n := overrun(e); n == 0 || !e.overloaded {
		t.Error("a cold one that was overrun did not fall over")
	}
	e = New(s, 1)
	e.Submit(0, work(e, "x", prompt(1), 0))
	run(e, time.Hour)
	e.Fetch(e.now, "x")
	first, ok := e.Report()
	e.Die(e.now)
	e.Submit(e.now, work(e, "y", prompt(1), 0))
	if events := e.Events(); count(events, Lost) != 1 {
		t.Errorf("sent to a dead one: %v", events)
	}
	if _, told := e.Report(); told {
		t.Error("a dead one reports")
	}
	e.Start(e.now+time.Second, 7)
	again, told := e.Report()
	if !ok || !told || first.Incarnation != 1 || again.Incarnation != 7 || again.Seq != 0 || !again.Changes[0].Cleared {
		t.Errorf("%+v, then %+v", first, again)
	}
	e.Submit(e.now, work(e, "z", prompt(1), 0))
	if events := run(e, time.Hour); len(events) != 1 || events[0].Kept != 0 {
		t.Errorf("it came back with text: %v", events)
	}
}

// mirror is what reports applied in order say that an engine keeps.
type mirror map[Hash]Hash

func (m mirror) apply(r Report) error {
	for _, c := range r.Changes {
		if c.Cleared {
			clear(m)
		}
		parent := c.Parent
		for _, h := range c.Stored {
			if _, ok := m[h]; ok {
				return fmt.Errorf("%x stored twice", h)
			}
			m[h] = parent
			parent = h
		}
		for _, h := range c.Removed {
			if _, ok := m[h]; !ok {
				return fmt.Errorf("%x removed, never stored", h)
			}
			delete(m, h)
		}
	}
	return nil
}

// wild plays random operations on an engine and checks all invariants after each. spoil may break something on the way.
func wild(seed uint64, name string, spoil func(*Engine, *Report)) (sum [32]byte, err error) {
	rng := rand.New(rand.NewPCG(seed, 7))
	all, err := Kinds(nil)
	if err != nil {
		return sum, err
	}
	s := all[name].Draw(seed)
	s.Slots, s.Queue, s.Blocks = 1+rng.IntN(6), rng.IntN(8), 4+rng.IntN(200)
	e := New(s, 1)
	m, open, ended := mirror{}, map[string]bool{}, map[string]int{}
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
			prompt := slices.Concat(text(fmt.Sprint("s", rng.IntN(4)), 64*(1+rng.IntN(8))), text(id, rng.IntN(300)))
			ids, open[id] = append(ids, id), true
			e.Submit(now, work(e, id, prompt, 1+rng.IntN(40)))
		case op < 14:
			e.Cancel(now, pick())
		case op < 18:
			e.Fetch(now, pick())
		case op < 19:
			e.Pause(now, now+time.Duration(rng.Int64N(int64(200*ms))))
		case op < 20:
			e.Slow(now, now+time.Second, 1+2*rng.Float64())
		case op < 21:
			e.Forget(now)
		case op < 22 && rng.IntN(4) == 0:
			e.Die(now)
		case op < 23 && rng.IntN(3) == 0:
			incarnation++
			e.Start(now, incarnation)
			clear(m) // a new process: what is known of the old one is void
		default:
			e.Advance(now)
		}
		for _, x := range e.Events() {
			fmt.Fprintln(&log, x)
			if !open[x.ID] {
				return sum, fmt.Errorf("%v of what is not open", x)
			}
			if x.What.final() {
				ended[x.ID]++
				delete(open, x.ID)
			}
			if ended[x.ID] > 1 {
				return sum, fmt.Errorf("%s ended twice", x.ID)
			}
		}
		if r, ok := e.Report(); ok {
			fmt.Fprintln(&log, r)
			if spoil != nil {
				spoil(e, &r)
			}
			if err := m.apply(r); err != nil {
				return sum, err
			}
		}
		if err := e.Check(); err != nil {
			return sum, err
		}
		if kept := e.Kept(); !e.crashed && len(kept) != len(m) || !e.crashed && slices.ContainsFunc(kept, func(h Hash) bool { _, ok := m[h]; return !ok }) {
			return sum, fmt.Errorf("%d blocks kept, reports say %d", len(kept), len(m))
		}
	}
	if !e.crashed { // a snapshot tells the same as all reports
		snap := mirror{}
		if err := snap.apply(e.Snapshot()); err != nil || len(snap) != len(e.Kept()) {
			return sum, fmt.Errorf("a snapshot of %d blocks, %d kept: %w", len(snap), len(e.Kept()), err)
		}
	}
	e.Start(now, incarnation+1)
	for _, x := range e.Events() {
		if x.What.final() {
			ended[x.ID]++
			delete(open, x.ID)
		}
	}
	if len(open) > 0 {
		return sum, fmt.Errorf("%d requests never ended", len(open))
	}
	return sha256.Sum256([]byte(log.String())), nil
}

// Over random operations from seeds: blocks are neither lost nor counted twice, none in use goes, bounds are kept,
// every request ends once, and the reports in order say what is kept. The same seed gives the same run.
func TestInvariantsOverRandomOperations(t *testing.T) {
	for _, name := range []string{"reader", "writer-a"} {
		for seed := range uint64(100) {
			a, err := wild(seed, name, nil)
			if err != nil {
				t.Fatalf("%s, seed %d: %v", name, seed, err)
			}
			if b, _ := wild(seed, name, nil); seed < 20 && a != b {
				t.Fatalf("%s, seed %d: two runs differ", name, seed)
			}
		}
	}
}

// The checks are no empty ones: each way to be wrong is seen on some seed.
func TestBrokenVariantsAreCaught(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	rare := func() bool { return rng.IntN(20) == 0 }
	for name, spoil := range map[string]func(*Engine, *Report){
		"a report with a change lost":  func(_ *Engine, r *Report) { r.Changes = r.Changes[1:] },
		"a block counted twice":        func(e *Engine, _ *Report) { e.memory.freeBlocks++ },
		"a block lost":                 func(e *Engine, _ *Report) { e.memory.freeBlocks-- },
		"a reference too few":          func(e *Engine, _ *Report) { spoilUsed(e, -1) },
		"a reference too many":         func(e *Engine, _ *Report) { spoilUsed(e, 1) },
		"a request that ends twice":    func(e *Engine, _ *Report) { spoilEvent(e) },
		"a beginning that goes first":  func(e *Engine, _ *Report) { spoilOrder(e) },
		"more in slots than there are": func(e *Engine, _ *Report) { e.settings.Slots = 0 },
		"a text kept without a report": func(e *Engine, _ *Report) { e.memory.cached[0xbad] = &block{hash: 0xbad, refs: 1} },
	} {
		caught := false
		for seed := uint64(0); seed < 40 && !caught; seed++ {
			_, err := wild(seed, "reader", func(e *Engine, r *Report) {
				if rare() {
					spoil(e, r)
				}
			})
			caught = err != nil
		}
		if !caught {
			t.Errorf("%s is not seen", name)
		}
	}
}

func spoilUsed(e *Engine, by int) {
	for _, j := range e.jobs {
		if len(j.blocks) > 0 {
			j.blocks[0].refs += by
			return
		}
	}
}

func spoilEvent(e *Engine) {
	for id := range e.states {
		e.emit(Event{What: Lost, ID: id})
		return
	}
}

func spoilOrder(e *Engine) {
	for b := e.memory.lruHead; b != nil; b = b.next {
		if b.kids > 0 { // to the front
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
		if _, err := Kinds([]byte(text)); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: %v", to, err)
		}
	}
}
