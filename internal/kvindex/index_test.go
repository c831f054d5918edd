package kvindex

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

func settings() Settings {
	return Settings{MaxBlocks: 1 << 14, MaxWorkers: 16, MaxStaleness: 2 * time.Second, MaxBuffered: 32, ChangesPerSecond: 1e9, Burst: 1e9}
}

func newIndex(t testing.TB, change func(*Settings)) *Index {
	t.Helper()
	s := settings()
	if change != nil {
		change(&s)
	}
	x, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	return x
}

// blockHashes returns distinct hashes for the first n blocks of a prompt.
func blockHashes(text uint64, n int) []uint64 {
	var out []uint64
	for i := range uint64(n) {
		h := (text*1000003 + i) * 0x9e3779b97f4a7c15
		out = append(out, h^h>>29|1)
	}
	return out
}

func stored(incarnation, seq uint64, parent uint64, blocks ...uint64) Batch {
	return Batch{Incarnation: incarnation, Seq: seq, Changes: []Change{{Stored: blocks, Parent: parent, BlockTokens: 16}}}
}

func (x *Index) cachedBlocks(now time.Duration, id string, hashes []uint64) (int, bool) {
	prefixes, completeWorkers := x.Lookup(now, func(int) []uint64 { return hashes })
	complete := slices.Contains(completeWorkers, id)
	for _, k := range prefixes {
		if k.Worker == id {
			return k.Tokens / 16, complete
		}
	}
	return 0, complete
}

func TestLongestCachedPrefix(t *testing.T) {
	x := newIndex(t, nil)
	hashes := blockHashes(1, 10)
	x.Apply(0, "a", stored(1, 0, 0, hashes[:4]...))
	x.Apply(0, "b", stored(1, 0, 0, hashes[:7]...))
	x.Apply(0, "c", stored(1, 0, hashes[1], hashes[2:]...)) // not from the start of the prompt, so it doesn't count
	calls := 0
	prefixes, complete := x.Lookup(0, func(block int) []uint64 { calls++; return hashes })
	if fmt.Sprint(prefixes) != "[{b 112} {a 64}]" || fmt.Sprint(complete) != "[a b c]" || calls != 1 {
		t.Errorf("cached %v, complete %v, in %d calls", prefixes, complete, calls)
	}
	if n := x.Stats().Refused[UnknownParent]; n != 1 {
		t.Errorf("%d batches without a known parent", n)
	}
	x.Apply(0, "b", Batch{Incarnation: 1, Seq: 1, Changes: []Change{{Removed: hashes[5:7]}}})
	if d, _ := x.cachedBlocks(0, "b", hashes); d != 5 {
		t.Errorf("%d blocks cached after two were removed", d)
	}
}

// A restarted worker must not be credited with the cache of its earlier process, from its first report on. Restarts in
// quick succession must not run out of slots, and a removed worker must be forgotten.
func TestWorkerRestartAndRemoval(t *testing.T) {
	x := newIndex(t, nil)
	hashes := blockHashes(1, 50)
	x.Apply(0, "a", stored(1, 0, 0, hashes...))
	x.Apply(0, "a", Batch{Incarnation: 2, Seq: 0, Changes: []Change{{Cleared: true}}})
	if d, complete := x.cachedBlocks(0, "a", hashes); d != 0 || !complete {
		t.Errorf("%d blocks cached after a restart, complete %v", d, complete)
	}
	x.Apply(0, "a", stored(1, 1, 0, hashes...)) // a late batch of the earlier process
	if d, _ := x.cachedBlocks(0, "a", hashes); d != 0 || x.Stats().Refused[OldIncarnation] != 1 {
		t.Errorf("%d blocks cached after a late batch of the earlier process", d)
	}
	for i := range uint64(3 * len(x.workerBySlot)) { // enough restarts to reuse each slot
		x.Apply(0, "a", stored(3+i, 0, 0, hashes...))
		if d, _ := x.cachedBlocks(0, "a", hashes); d != 50 {
			t.Fatalf("restart %d: %d blocks", i, d)
		}
	}
	x.RemoveWorker("a")
	if _, complete := x.cachedBlocks(0, "a", hashes); complete || x.Stats().Workers != 0 {
		t.Error("the removed worker is still known")
	}
}

// A missing batch is requested again, and the worker's blocks are used for MaxStaleness at most. Once the gap is
// filled, all batches count.
func TestGaps(t *testing.T) {
	x := newIndex(t, nil)
	hashes := blockHashes(1, 12)
	x.Apply(0, "a", stored(1, 0, 0, hashes[:4]...))
	replay := x.Apply(ms, "a", stored(1, 2, hashes[7], hashes[8:]...)) // batch 1 is missing
	if replay == nil || replay.FromSeq != 1 || replay.Worker != "a" {
		t.Fatalf("replay request %+v, want batch 1 of a", replay)
	}
	if d, ok := x.cachedBlocks(time.Second, "a", hashes); d != 4 || !ok {
		t.Errorf("%d blocks cached during the gap", d)
	}
	if replay := x.Apply(time.Second, "a", stored(1, 1, hashes[3], hashes[4:8]...)); replay != nil {
		t.Errorf("the gap is filled, but %+v was requested", replay)
	}
	if d, _ := x.cachedBlocks(time.Second, "a", hashes); d != 12 || x.Stats().Replays != 1 {
		t.Errorf("%d blocks cached after the gap was filled", d)
	}
	x.Apply(time.Second, "a", stored(1, 3, 0, 5)) // a batch in order, then a duplicate
	x.Apply(time.Second, "a", stored(1, 3, 0, 5))
	if x.Stats().Refused[Duplicate] != 1 {
		t.Error("a duplicate was not refused")
	}
	x.Apply(2*time.Second, "a", stored(1, 9, 0, 6))
	if d, _ := x.cachedBlocks(5*time.Second, "a", hashes); d != 0 || x.Stats().ExpiredGaps != 1 {
		t.Errorf("%d blocks cached past the staleness bound", d)
	}
	x.Apply(5*time.Second, "a", stored(1, 10, 0, hashes...))
	if d, complete := x.cachedBlocks(5*time.Second, "a", hashes); d != 12 || complete {
		t.Errorf("%d blocks, complete %v: nothing is stored after the gap, or the cache counts as completely known", d, complete)
	}
	x.Apply(5*time.Second, "a", Batch{Incarnation: 1, Seq: 11, Changes: []Change{{Cleared: true}, {Stored: hashes, BlockTokens: 16}}})
	x.PublisherLost(6*time.Second, "a")
	if d, ok := x.cachedBlocks(6*time.Second+ms, "a", hashes); d != 12 || !ok {
		t.Error("blocks forgotten as soon as the publisher was lost")
	}
	if replay := x.Heartbeat(7*time.Second, "a", 1, 12); replay != nil {
		t.Errorf("nothing is missing, but %+v was requested", replay)
	}
	x.PublisherLost(8*time.Second, "a")
	if _, ok := x.cachedBlocks(11*time.Second, "a", hashes); ok {
		t.Error("a worker that is silent for longer than the staleness bound still counts as completely known")
	}
}

func TestBadReportsAffectOnlyTheirWorker(t *testing.T) {
	x := newIndex(t, func(s *Settings) { s.MaxWorkers, s.MaxBuffered, s.ChangesPerSecond, s.Burst = 2, 2, 1000, 100 })
	hashes, other := blockHashes(1, 8), blockHashes(2, 8)
	x.Apply(0, "a", stored(1, 0, 0, hashes...))
	x.Apply(0, "b", stored(1, 0, 0, other...))
	x.Apply(0, "b", Batch{Incarnation: 1, Seq: 1, Changes: []Change{{Removed: []uint64{hashes[0], 99, 0}}, {Stored: []uint64{0, 7}, BlockTokens: 16}, {Stored: []uint64{8}}}})
	x.Apply(0, "b", Batch{Incarnation: 1, Seq: 2, Changes: []Change{{Stored: blockHashes(3, 2), BlockTokens: 32}}})
	for i := range uint64(4) {
		x.Apply(0, "b", stored(1, 9+i, 0, 5))
	}
	x.Apply(0, "b", stored(1, 3, 0, blockHashes(4, 200)...))
	x.Apply(0, "c", stored(1, 0, 0, hashes...))
	for reason, n := range map[string]int64{NeverStored: 3, InvalidBlock: 2, BlockSizeChanged: 1, BufferFull: 2, RateLimited: 1, TooManyWorkers: 1} {
		if got := x.Stats().Refused[reason]; got != n {
			t.Errorf("%s: %d, want %d", reason, got, n)
		}
	}
	if d, _ := x.cachedBlocks(0, "a", hashes); d != 8 {
		t.Errorf("another worker's reports removed %d blocks of a", 8-d)
	}
	if d, _ := x.cachedBlocks(0, "b", other); d != 0 {
		t.Error("blocks of the earlier size are still cached")
	}
}

// At its limit the index evicts the blocks that were neither stored nor looked up for the longest time.
func TestBoundedMemory(t *testing.T) {
	x := newIndex(t, func(s *Settings) { s.MaxBlocks = 1000 })
	popular := blockHashes(1, 20)
	x.Apply(0, "a", stored(1, 0, 0, popular...))
	for i := range uint64(500) {
		x.Apply(0, "b", stored(1, i, 0, blockHashes(100+i, 10)...))
		if d, _ := x.cachedBlocks(0, "a", popular); d != 20 {
			t.Fatalf("a prompt in constant use was evicted after %d others", i)
		}
	}
	if n := x.Stats().Blocks; n != 1000 {
		t.Errorf("%d blocks in the index, want 1000", n)
	}
	if d, _ := x.cachedBlocks(0, "b", blockHashes(100+499, 10)); d != 10 {
		t.Errorf("%d blocks of the latest prompt are in the index", d)
	}
}

// workerModel is a worker's actual cache and what it has published.
type workerModel struct {
	id          string
	incarnation uint64
	cached      map[uint64]bool
	removedAt   map[uint64]time.Duration // when a block was last cached
	published   []Batch
}

func (w *workerModel) remove(now time.Duration, blocks ...uint64) {
	for _, h := range blocks {
		delete(w.cached, h)
		w.removedAt[h] = now
	}
}

// A comparison with a simple model, under loss, reordering, duplicates and restarts. Without loss the index may lag
// behind a worker only by the delay of messages; with loss no block may be used for longer than the staleness bound
// and the time that it takes to notice and replay what was lost.
func TestAgainstANaiveModel(t *testing.T) {
	for seed := range uint64(150) {
		rng := rand.New(rand.NewPCG(seed, 4))
		loss, delay := []float64{0, 0.1, 0.3}[seed%3], time.Duration(rng.Int64N(int64(200*ms))+1)
		x := newIndex(t, func(s *Settings) {
			if s.MaxBuffered = 4 + rng.IntN(40); loss == 0 {
				s.MaxBuffered = 1000 // no batch is dropped for want of buffer space either
			}
		})
		type message struct {
			at time.Duration
			id string
			Batch
		}
		var inFlight []message
		workers := []*workerModel{{id: "a"}, {id: "b"}, {id: "c"}}
		for _, w := range workers {
			w.incarnation, w.cached, w.removedAt = 1, map[uint64]bool{}, map[uint64]time.Duration{}
		}
		send := func(now time.Duration, id string, b Batch) {
			if rng.Float64() < loss {
				return
			}
			inFlight = append(inFlight, message{now + time.Duration(rng.Int64N(int64(delay))), id, b})
			if loss > 0 && rng.IntN(10) == 0 {
				inFlight = append(inFlight, message{now + time.Duration(rng.Int64N(int64(delay))), id, b})
			}
		}
		publish := func(now time.Duration, w *workerModel, changes ...Change) {
			b := Batch{Incarnation: w.incarnation, Seq: uint64(len(w.published)), Changes: changes}
			w.published = append(w.published, b)
			send(now, w.id, b)
		}
		prompts := make([][]uint64, 6)
		for i := range prompts {
			prompts[i] = blockHashes(uint64(i)*77+seed, 6)
		}
		replayAskedAt := map[string]time.Duration{}
		step := 10 * ms
		for now := step; now < 20*time.Second; now += step {
			w := workers[rng.IntN(len(workers))]
			switch op := rng.IntN(40); {
			case op < 10:
				c := prompts[rng.IntN(len(prompts))]
				n := 0
				for n < len(c) && w.cached[c[n]] {
					n++
				}
				if to := n + rng.IntN(len(c)-n+1); to > n {
					parent := uint64(0)
					if n > 0 {
						parent = c[n-1]
					}
					for _, h := range c[n:to] {
						w.cached[h] = true
					}
					publish(now, w, Change{Stored: c[n:to], Parent: parent, BlockTokens: 16})
				}
			case op < 16: // evict the end of a prompt
				c := prompts[rng.IntN(len(prompts))]
				n := 0
				for n < len(c) && w.cached[c[n]] {
					n++
				}
				if n > 0 {
					from := rng.IntN(n)
					w.remove(now, c[from:n]...)
					publish(now, w, Change{Removed: c[from:n]})
				}
			case op == 16:
				w.remove(now, slices.Collect(maps.Keys(w.cached))...)
				publish(now, w, Change{Cleared: true})
			case op == 17 && rng.IntN(5) == 0: // crash and restart with an empty cache
				w.incarnation++
				w.remove(now, slices.Collect(maps.Keys(w.cached))...)
				w.published = nil
				publish(now, w, Change{Cleared: true})
			}
			later := inFlight[:0:0]
			for _, m := range inFlight {
				if m.at > now {
					later = append(later, m)
					continue
				}
				if r := x.Apply(now, m.id, m.Batch); r != nil && now-replayAskedAt[m.id] > 300*ms {
					replayAskedAt[m.id] = now
					for _, y := range workers {
						if y.id == r.Worker {
							for i := r.FromSeq; i < uint64(len(y.published)); i++ {
								send(now, y.id, y.published[i])
							}
						}
					}
				}
			}
			inFlight = append(later, inFlight[len(inFlight):]...)
			if now%(500*ms) == 0 { // the publisher's heartbeat
				for _, y := range workers {
					if rng.Float64() >= loss {
						x.Heartbeat(now, y.id, y.incarnation, uint64(len(y.published)))
					}
				}
			}
			for _, y := range workers {
				for i, c := range prompts {
					d, _ := x.cachedBlocks(now, y.id, c)
					if d == 0 || y.cached[c[d-1]] {
						continue
					}
					// A lost last batch is only noticed with the next heartbeat that arrives.
					limit := settings().MaxStaleness + delay + 4*time.Second
					if loss == 0 {
						limit = delay + step
					}
					if ago := now - y.removedAt[c[d-1]]; ago > limit {
						t.Fatalf("seed %d, loss %v: %s counts as caching %d blocks of prompt %d, %v after it removed the last of them", seed, loss, y.id, d, i, ago)
					}
				}
			}
		}
	}
}

// Whatever is reported, in whatever order, the hash table stays consistent and within its bounds.
func FuzzReports(f *testing.F) {
	rng := rand.New(rand.NewPCG(8, 8))
	for range 30 {
		text := make([]byte, rng.IntN(400))
		for i := range text {
			text[i] = byte(rng.Uint32())
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		x := newIndex(t, func(s *Settings) { s.MaxBlocks, s.MaxWorkers, s.MaxBuffered = 50, 3, 3 })
		now := time.Duration(0)
		for ; len(text) >= 4; text = text[4:] {
			id, hashes := fmt.Sprint("w", text[0]%4), blockHashes(uint64(text[1]%5), 8)
			from := int(text[2] % 8)
			b := Batch{Incarnation: uint64(text[3] % 3), Seq: uint64(text[3] >> 4)}
			switch text[0] >> 4 % 8 {
			case 0, 1, 2:
				b.Changes = []Change{{Stored: hashes[from:], Parent: uint64(text[2] >> 4), BlockTokens: 1 + int(text[1]>>7)}}
			case 3:
				b.Changes = []Change{{Removed: hashes[:from]}}
			case 4:
				b.Changes = []Change{{Cleared: true}}
			case 5:
				now += time.Duration(text[1]) * 20 * ms
				x.PublisherLost(now, id)
				continue
			case 6:
				x.Heartbeat(now, id, b.Incarnation, b.Seq)
				continue
			case 7:
				x.RemoveWorker(id)
				continue
			}
			x.Apply(now, id, b)
			prefixes, complete := x.Lookup(now, func(int) []uint64 { return hashes })
			if len(prefixes) > 3 || len(complete) > 3 || x.table.count > 50 {
				t.Fatalf("cached %v, complete %v, %d blocks", prefixes, complete, x.table.count)
			}
			n := 0
			for i, e := range x.table.entries {
				if e.hash == 0 {
					continue
				}
				if n++; x.table.find(e.hash) != i {
					t.Fatalf("%x is not found at its own index", e.hash)
				}
			}
			if n != x.table.count || len(x.freeSlots) > len(x.workerBySlot) {
				t.Fatalf("%d entries, but the count is %d", n, x.table.count)
			}
		}
	})
}

// With more workers than a slot set has room for, the sets grow: what was stored before stays valid, and the memory
// doesn't grow.
func TestAThousandWorkers(t *testing.T) {
	const maxWorkers = 1100
	s := settings()
	s.MaxBlocks, s.MaxWorkers = 1<<13, maxWorkers
	x, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	bytes := func() int { return len(x.table.entries)*entryBytes + 8*len(x.table.holders) }
	before := bytes()
	shared := []uint64{1001, 1002, 1003}
	name := func(i int) string { return fmt.Sprintf("w%04d", i) }
	for i := range maxWorkers {
		hashes := append(slices.Clone(shared[:1+i%3]), uint64(5000+i)) // a part of the shared prefix, then a block of its own
		x.Apply(0, name(i), Batch{Incarnation: 1, Changes: []Change{{Stored: hashes, BlockTokens: 16}}})
		if i%7 == 0 { // some restart, so that stale slots exist while the sets grow
			x.Apply(0, name(i), Batch{Incarnation: 2, Changes: []Change{{Stored: hashes[:1], BlockTokens: 16}}})
		}
	}
	x.Apply(0, "one too many", Batch{Incarnation: 1})
	prefixes, complete := x.Lookup(0, func(int) []uint64 { return shared })
	if len(prefixes) != maxWorkers || len(complete) != maxWorkers || x.Stats().Refused[TooManyWorkers] != 1 {
		t.Fatalf("%d workers cache some of the prefix, %d are completely known, refused %v", len(prefixes), len(complete), x.Stats().Refused)
	}
	for _, k := range prefixes {
		var i int
		fmt.Sscanf(k.Worker, "w%d", &i)
		want := 16 * (1 + i%3)
		if i%7 == 0 {
			want = 16
		}
		if k.Tokens != want {
			t.Errorf("%s caches %d tokens, want %d", k.Worker, k.Tokens, want)
		}
	}
	for i := range maxWorkers { // after the growth: remove the first block of the shared prefix everywhere
		x.Apply(0, name(i), Batch{Incarnation: 1 + uint64((7-i%7)/7), Seq: 1, Changes: []Change{{Removed: shared[:1]}}})
	}
	if prefixes, _ := x.Lookup(0, func(int) []uint64 { return shared }); len(prefixes) != 0 {
		t.Errorf("%d workers still cache a prompt whose first block was removed", len(prefixes))
	}
	if after := bytes(); after > 2*before {
		t.Errorf("%d bytes after growing, %d before", after, before)
	}
}

// mapIndex is the baseline for the benchmarks: a map from hashes to sets of workers.
type mapIndex map[uint64]map[string]bool

func (p mapIndex) store(id string, blocks []uint64) {
	for _, h := range blocks {
		if p[h] == nil {
			p[h] = make(map[string]bool)
		}
		p[h][id] = true
	}
}

func (p mapIndex) lookup(c []uint64) map[string]int {
	out := make(map[string]int)
	for i, h := range c {
		any := false
		for id := range p[h] {
			if out[id] == i {
				out[id] = i + 1
				any = true
			}
		}
		if !any {
			break
		}
	}
	return out
}

// storeMillionBlocks stores prompts of 64 blocks, a million blocks in all, with each prompt cached by three workers.
func storeMillionBlocks(workers int, store func(id string, seq uint64, blocks []uint64)) [][]uint64 {
	var texts [][]uint64
	seqs := make([]uint64, workers)
	for i := range 1_000_000 / 64 {
		hashes := blockHashes(uint64(i), 64)
		texts = append(texts, hashes)
		for k := range 3 {
			w := (i*7 + k*13) % workers
			store(fmt.Sprint("w", w), seqs[w], hashes)
			seqs[w]++
		}
	}
	return texts
}

func BenchmarkLookup(b *testing.B) {
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for _, workers := range []int{10, 100} {
		b.Run(fmt.Sprintf("index/%d", workers), func(b *testing.B) {
			before := heap()
			x := newIndex(b, func(s *Settings) { s.MaxBlocks, s.MaxWorkers = 1<<20, 128 })
			texts := storeMillionBlocks(workers, func(id string, seq uint64, blocks []uint64) { x.Apply(0, id, stored(1, seq, 0, blocks...)) })
			each := float64(heap()-before) / 1e6
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				c := texts[i*7919%len(texts)]
				x.Lookup(0, func(int) []uint64 { return c })
				i++
			}
			b.ReportMetric(each, "bytes/block")
			runtime.KeepAlive(texts)
		})
		b.Run(fmt.Sprintf("map/%d", workers), func(b *testing.B) {
			before := heap()
			p := mapIndex{}
			texts := storeMillionBlocks(workers, func(id string, _ uint64, blocks []uint64) { p.store(id, blocks) })
			each := float64(heap()-before) / 1e6
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				p.lookup(texts[i*7919%len(texts)])
				i++
			}
			b.ReportMetric(each, "bytes/block")
			runtime.KeepAlive(texts)
		})
	}
}

// One operation is a batch that stores one prompt of 64 blocks and removes another.
func BenchmarkEvents(b *testing.B) {
	b.Run("index", func(b *testing.B) {
		x := newIndex(b, func(s *Settings) { s.MaxBlocks, s.MaxWorkers = 1<<20, 128 })
		storeMillionBlocks(100, func(id string, seq uint64, blocks []uint64) { x.Apply(0, id, stored(1, seq, 0, blocks...)) })
		b.ReportAllocs()
		seq, i := uint64(0), uint64(0)
		for b.Loop() {
			x.Apply(0, "new", Batch{Incarnation: 1, Seq: seq, Changes: []Change{{Stored: blockHashes(1<<40+i%1000, 64), BlockTokens: 16}, {Removed: blockHashes(1<<40+(i+500)%1000, 64)}}})
			seq, i = seq+1, i+1
		}
		b.ReportMetric(128*float64(b.N)/b.Elapsed().Seconds(), "changes/s")
	})
	b.Run("map", func(b *testing.B) {
		p := mapIndex{}
		storeMillionBlocks(100, func(id string, _ uint64, blocks []uint64) { p.store(id, blocks) })
		b.ReportAllocs()
		i := uint64(0)
		for b.Loop() {
			p.store("new", blockHashes(1<<40+i%1000, 64))
			for _, h := range blockHashes(1<<40+(i+500)%1000, 64) {
				if delete(p[h], "new"); len(p[h]) == 0 {
					delete(p, h)
				}
			}
			i++
		}
		b.ReportMetric(128*float64(b.N)/b.Elapsed().Seconds(), "changes/s")
	})
}
