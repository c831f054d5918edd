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
	return Settings{Blocks: 1 << 14, Workers: 16, Bound: 2 * time.Second, Buffered: 32, Rate: 1e9, Burst: 1e9}
}

func index(t testing.TB, change func(*Settings)) *Index {
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

// chain is the hashes of a text's first n blocks.
func chain(text uint64, n int) []uint64 {
	var out []uint64
	for i := range uint64(n) {
		h := (text*1000003 + i) * 0x9e3779b97f4a7c15
		out = append(out, h^h>>29|1)
	}
	return out
}

func stored(inc, seq uint64, parent uint64, blocks ...uint64) Batch {
	return Batch{Incarnation: inc, Seq: seq, Changes: []Change{{Stored: blocks, Parent: parent, Block: 16}}}
}

func (x *Index) depth(now time.Duration, id string, c []uint64) (int, bool) {
	kept, reports := x.Lookup(now, func(int) []uint64 { return c })
	whole := slices.Contains(reports, id)
	for _, k := range kept {
		if k.Worker == id {
			return k.Tokens / 16, whole
		}
	}
	return 0, whole
}

func TestLongestKeptPrefixInOneWalk(t *testing.T) {
	x := index(t, nil)
	c := chain(1, 10)
	x.Apply(0, "a", stored(1, 0, 0, c[:4]...))
	x.Apply(0, "b", stored(1, 0, 0, c[:7]...))
	x.Apply(0, "c", stored(1, 0, c[1], c[2:]...)) // without a beginning it is worth nothing
	calls := 0
	kept, reports := x.Lookup(0, func(block int) []uint64 { calls++; return c })
	if fmt.Sprint(kept) != "[{b 112} {a 64}]" || fmt.Sprint(reports) != "[a b c]" || calls != 1 {
		t.Errorf("%v of %v in %d calls", kept, reports, calls)
	}
	if n := x.Stats().Refused[UnknownParent]; n != 1 {
		t.Errorf("%d without a parent", n)
	}
	x.Apply(0, "b", Batch{Incarnation: 1, Seq: 1, Changes: []Change{{Removed: c[5:7]}}})
	if d, _ := x.depth(0, "b", c); d != 5 {
		t.Errorf("%d blocks after two were removed", d)
	}
}

// A worker that returns having forgotten everything draws nothing for old texts from its first report on; a lost one
// costs no walk, and its slot comes back.
func TestReturnsAndLosses(t *testing.T) {
	x := index(t, nil)
	c := chain(1, 50)
	x.Apply(0, "a", stored(1, 0, 0, c...))
	x.Apply(0, "a", Batch{Incarnation: 2, Seq: 0, Changes: []Change{{Cleared: true}}})
	if d, reports := x.depth(0, "a", c); d != 0 || !reports {
		t.Errorf("%d blocks believed after its return, reports %v", d, reports)
	}
	x.Apply(0, "a", stored(1, 1, 0, c...)) // late news of the process that is gone
	if d, _ := x.depth(0, "a", c); d != 0 || x.Stats().Refused[OldIncarnation] != 1 {
		t.Errorf("%d blocks by late news", d)
	}
	for i := range uint64(3 * len(x.workerBySlot)) { // many returns: slots are cleaned and used again
		x.Apply(0, "a", stored(3+i, 0, 0, c...))
		if d, _ := x.depth(0, "a", c); d != 50 {
			t.Fatalf("return %d: %d blocks", i, d)
		}
	}
	x.Gone("a")
	if _, reports := x.depth(0, "a", c); reports || x.Stats().Workers != 0 {
		t.Error("it is still known")
	}
}

// What is missing is asked for, and believed for the bound at most; filled in time, all is as it was told.
func TestGaps(t *testing.T) {
	x := index(t, nil)
	c := chain(1, 12)
	x.Apply(0, "a", stored(1, 0, 0, c[:4]...))
	ask := x.Apply(ms, "a", stored(1, 2, c[7], c[8:]...)) // 1 is missing
	if ask == nil || ask.From != 1 || ask.Worker != "a" {
		t.Fatalf("%+v", ask)
	}
	if d, ok := x.depth(time.Second, "a", c); d != 4 || !ok {
		t.Errorf("%d blocks in the gap", d)
	}
	if ask := x.Apply(time.Second, "a", stored(1, 1, c[3], c[4:8]...)); ask != nil {
		t.Errorf("filled, and asked for %+v", ask)
	}
	if d, _ := x.depth(time.Second, "a", c); d != 12 || x.Stats().Replays != 1 {
		t.Errorf("%d blocks once it was filled", d)
	}
	x.Apply(time.Second, "a", stored(1, 3, 0, 5)) // goes on
	x.Apply(time.Second, "a", stored(1, 3, 0, 5))
	if x.Stats().Refused[Duplicate] != 1 {
		t.Error("the same twice")
	}
	x.Apply(2*time.Second, "a", stored(1, 9, 0, 6))
	if d, _ := x.depth(5*time.Second, "a", c); d != 0 || x.Stats().Aged != 1 {
		t.Errorf("%d blocks believed past the bound", d)
	}
	x.Apply(5*time.Second, "a", stored(1, 10, 0, c...))
	if d, whole := x.depth(5*time.Second, "a", c); d != 12 || whole {
		t.Errorf("%d blocks, %v: it does not go on after the gap, or is taken to know all", d, whole)
	}
	x.Apply(5*time.Second, "a", Batch{Incarnation: 1, Seq: 11, Changes: []Change{{Cleared: true}, {Stored: c, Block: 16}}})
	x.Lost(6*time.Second, "a")
	if d, ok := x.depth(6*time.Second+ms, "a", c); d != 12 || !ok {
		t.Error("dropped at once")
	}
	if ask := x.Heard(7*time.Second, "a", 1, 12); ask != nil {
		t.Errorf("nothing is missing, and asked for %+v", ask)
	}
	x.Lost(8*time.Second, "a")
	if _, ok := x.depth(11*time.Second, "a", c); ok {
		t.Error("a worker that is silent for longer than the bound still counts as one that reports")
	}
}

func TestBadReportsCostAWorkerItsOwn(t *testing.T) {
	x := index(t, func(s *Settings) { s.Workers, s.Buffered, s.Rate, s.Burst = 2, 2, 1000, 100 })
	c, other := chain(1, 8), chain(2, 8)
	x.Apply(0, "a", stored(1, 0, 0, c...))
	x.Apply(0, "b", stored(1, 0, 0, other...))
	x.Apply(0, "b", Batch{Incarnation: 1, Seq: 1, Changes: []Change{{Removed: []uint64{c[0], 99, 0}}, {Stored: []uint64{0, 7}, Block: 16}, {Stored: []uint64{8}}}})
	x.Apply(0, "b", Batch{Incarnation: 1, Seq: 2, Changes: []Change{{Stored: chain(3, 2), Block: 32}}})
	for i := range uint64(4) {
		x.Apply(0, "b", stored(1, 9+i, 0, 5))
	}
	x.Apply(0, "b", stored(1, 3, 0, chain(4, 200)...))
	x.Apply(0, "c", stored(1, 0, 0, c...))
	for reason, n := range map[string]int64{NeverStored: 3, NoBlock: 2, BlockSize: 1, Early: 2, Flood: 1, NoRoom: 1} {
		if got := x.Stats().Refused[reason]; got != n {
			t.Errorf("%s: %d, want %d", reason, got, n)
		}
	}
	if d, _ := x.depth(0, "a", c); d != 8 {
		t.Errorf("another's reports cost a %d of its blocks", 8-d)
	}
	if d, _ := x.depth(0, "b", other); d != 0 {
		t.Error("blocks of the old size still count")
	}
}

// At its bound the index forgets what was neither told nor asked for in the longest time.
func TestBoundedMemory(t *testing.T) {
	x := index(t, func(s *Settings) { s.Blocks = 1000 })
	popular := chain(1, 20)
	x.Apply(0, "a", stored(1, 0, 0, popular...))
	for i := range uint64(500) {
		x.Apply(0, "b", stored(1, i, 0, chain(100+i, 10)...))
		if d, _ := x.depth(0, "a", popular); d != 20 {
			t.Fatalf("what is asked for all the time went after %d texts", i)
		}
	}
	if n := x.Stats().Blocks; n != 1000 {
		t.Errorf("%d blocks known, 1000 may be", n)
	}
	if d, _ := x.depth(0, "b", chain(100+499, 10)); d != 10 {
		t.Errorf("%d blocks of the latest text are known", d)
	}
}

// truth is what a worker keeps, with what it has published.
type truth struct {
	id          string
	incarnation uint64
	kept        map[uint64]bool
	left        map[uint64]time.Duration // when it was kept last
	sent        []Batch
}

func (w *truth) lose(now time.Duration, blocks ...uint64) {
	for _, h := range blocks {
		delete(w.kept, h)
		w.left[h] = now
	}
}

// Against a naive model, under loss, reordering, duplicates and restarts: more than a worker keeps is never believed for
// longer than the bound and the time that messages take; without loss it is exactly what is kept.
func TestAgainstANaiveModel(t *testing.T) {
	for seed := range uint64(150) {
		rng := rand.New(rand.NewPCG(seed, 4))
		loss, delay := []float64{0, 0.1, 0.3}[seed%3], time.Duration(rng.Int64N(int64(200*ms))+1)
		x := index(t, func(s *Settings) {
			if s.Buffered = 4 + rng.IntN(40); loss == 0 {
				s.Buffered = 1000 // nothing is lost for want of room either
			}
		})
		type message struct {
			at time.Duration
			id string
			Batch
		}
		var wire []message
		workers := []*truth{{id: "a"}, {id: "b"}, {id: "c"}}
		for _, w := range workers {
			w.incarnation, w.kept, w.left = 1, map[uint64]bool{}, map[uint64]time.Duration{}
		}
		send := func(now time.Duration, id string, b Batch) {
			if rng.Float64() < loss {
				return
			}
			wire = append(wire, message{now + time.Duration(rng.Int64N(int64(delay))), id, b})
			if loss > 0 && rng.IntN(10) == 0 {
				wire = append(wire, message{now + time.Duration(rng.Int64N(int64(delay))), id, b})
			}
		}
		publish := func(now time.Duration, w *truth, changes ...Change) {
			b := Batch{Incarnation: w.incarnation, Seq: uint64(len(w.sent)), Changes: changes}
			w.sent = append(w.sent, b)
			send(now, w.id, b)
		}
		texts := make([][]uint64, 6)
		for i := range texts {
			texts[i] = chain(uint64(i)*77+seed, 6)
		}
		asked := map[string]time.Duration{}
		step := 10 * ms
		for now := step; now < 20*time.Second; now += step {
			w := workers[rng.IntN(len(workers))]
			switch op := rng.IntN(40); {
			case op < 10:
				c := texts[rng.IntN(len(texts))]
				n := 0
				for n < len(c) && w.kept[c[n]] {
					n++
				}
				if to := n + rng.IntN(len(c)-n+1); to > n {
					parent := uint64(0)
					if n > 0 {
						parent = c[n-1]
					}
					for _, h := range c[n:to] {
						w.kept[h] = true
					}
					publish(now, w, Change{Stored: c[n:to], Parent: parent, Block: 16})
				}
			case op < 16: // the end of a text goes
				c := texts[rng.IntN(len(texts))]
				n := 0
				for n < len(c) && w.kept[c[n]] {
					n++
				}
				if n > 0 {
					from := rng.IntN(n)
					w.lose(now, c[from:n]...)
					publish(now, w, Change{Removed: c[from:n]})
				}
			case op == 16:
				w.lose(now, slices.Collect(maps.Keys(w.kept))...)
				publish(now, w, Change{Cleared: true})
			case op == 17 && rng.IntN(5) == 0: // dies and returns with nothing
				w.incarnation++
				w.lose(now, slices.Collect(maps.Keys(w.kept))...)
				w.sent = nil
				publish(now, w, Change{Cleared: true})
			}
			later := wire[:0:0]
			for _, m := range wire {
				if m.at > now {
					later = append(later, m)
					continue
				}
				if r := x.Apply(now, m.id, m.Batch); r != nil && now-asked[m.id] > 300*ms {
					asked[m.id] = now
					for _, y := range workers {
						if y.id == r.Worker {
							for i := r.From; i < uint64(len(y.sent)); i++ {
								send(now, y.id, y.sent[i])
							}
						}
					}
				}
			}
			wire = append(later, wire[len(wire):]...)
			if now%(500*ms) == 0 { // the publisher's heartbeat
				for _, y := range workers {
					if rng.Float64() >= loss {
						x.Heard(now, y.id, y.incarnation, uint64(len(y.sent)))
					}
				}
			}
			for _, y := range workers {
				for i, c := range texts {
					d, _ := x.depth(now, y.id, c)
					if d == 0 || y.kept[c[d-1]] {
						continue
					}
					// A lost last batch is noticed by the next heartbeat that comes through.
					most := settings().Bound + delay + 4*time.Second
					if loss == 0 {
						most = delay + step
					}
					if ago := now - y.left[c[d-1]]; ago > most {
						t.Fatalf("seed %d, loss %v: %s is believed to keep %d blocks of text %d, %v after it lost the last", seed, loss, y.id, d, i, ago)
					}
				}
			}
		}
	}
}

// Whatever is reported in whatever order, the index holds together and within its bounds.
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
		x := index(t, func(s *Settings) { s.Blocks, s.Workers, s.Buffered = 50, 3, 3 })
		now := time.Duration(0)
		for ; len(text) >= 4; text = text[4:] {
			id, c := fmt.Sprint("w", text[0]%4), chain(uint64(text[1]%5), 8)
			from := int(text[2] % 8)
			b := Batch{Incarnation: uint64(text[3] % 3), Seq: uint64(text[3] >> 4)}
			switch text[0] >> 4 % 8 {
			case 0, 1, 2:
				b.Changes = []Change{{Stored: c[from:], Parent: uint64(text[2] >> 4), Block: 1 + int(text[1]>>7)}}
			case 3:
				b.Changes = []Change{{Removed: c[:from]}}
			case 4:
				b.Changes = []Change{{Cleared: true}}
			case 5:
				now += time.Duration(text[1]) * 20 * ms
				x.Lost(now, id)
				continue
			case 6:
				x.Heard(now, id, b.Incarnation, b.Seq)
				continue
			case 7:
				x.Gone(id)
				continue
			}
			x.Apply(now, id, b)
			kept, reports := x.Lookup(now, func(int) []uint64 { return c })
			if len(kept) > 3 || len(reports) > 3 || x.table.count > 50 {
				t.Fatalf("%v of %v, %d blocks", kept, reports, x.table.count)
			}
			n := 0
			for i, e := range x.table.entries {
				if e.hash == 0 {
					continue
				}
				if n++; x.table.find(e.hash) != i {
					t.Fatalf("%x is not found where it stands", e.hash)
				}
			}
			if n != x.table.count || len(x.freeSlots) > len(x.workerBySlot) {
				t.Fatalf("%d entries, %d counted", n, x.table.count)
			}
		}
	})
}

// More workers than a set has room for: sets grow, what was told before still holds, and the memory stays what it was.
func TestAThousandWorkers(t *testing.T) {
	const most = 1100
	s := settings()
	s.Blocks, s.Workers = 1<<13, most
	x, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	bytes := func() int { return len(x.table.entries)*entryBytes + 8*len(x.table.holders) }
	before := bytes()
	shared := []uint64{1001, 1002, 1003}
	name := func(i int) string { return fmt.Sprintf("w%04d", i) }
	for i := range most {
		own := append(slices.Clone(shared[:1+i%3]), uint64(5000+i)) // some of the shared text, then its own
		x.Apply(0, name(i), Batch{Incarnation: 1, Changes: []Change{{Stored: own, Block: 16}}})
		if i%7 == 0 { // some start again: their old slots are void, while sets grow
			x.Apply(0, name(i), Batch{Incarnation: 2, Changes: []Change{{Stored: own[:1], Block: 16}}})
		}
	}
	x.Apply(0, "one too many", Batch{Incarnation: 1})
	kept, reports := x.Lookup(0, func(int) []uint64 { return shared })
	if len(kept) != most || len(reports) != most || x.Stats().Refused[NoRoom] != 1 {
		t.Fatalf("%d keep some of it, %d report, %v", len(kept), len(reports), x.Stats().Refused)
	}
	for _, k := range kept {
		var i int
		fmt.Sscanf(k.Worker, "w%d", &i)
		want := 16 * (1 + i%3)
		if i%7 == 0 {
			want = 16
		}
		if k.Tokens != want {
			t.Errorf("%s keeps %d tokens, told to keep %d", k.Worker, k.Tokens, want)
		}
	}
	for i := range most { // a change after it all: the last worker's own block goes
		x.Apply(0, name(i), Batch{Incarnation: 1 + uint64((7-i%7)/7), Seq: 1, Changes: []Change{{Removed: shared[:1]}}})
	}
	if kept, _ := x.Lookup(0, func(int) []uint64 { return shared }); len(kept) != 0 {
		t.Errorf("%d workers still keep a text whose beginning has gone", len(kept))
	}
	if after := bytes(); after > 2*before {
		t.Errorf("%d bytes, %d before", after, before)
	}
}

// plain is what the index is measured against: a map from hashes to sets of workers.
type plain map[uint64]map[string]bool

func (p plain) store(id string, blocks []uint64) {
	for _, h := range blocks {
		if p[h] == nil {
			p[h] = make(map[string]bool)
		}
		p[h][id] = true
	}
}

func (p plain) lookup(c []uint64) map[string]int {
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

// million is texts of 64 blocks, each kept by three of the workers, of a million blocks in all.
func million(workers int, store func(id string, seq uint64, blocks []uint64)) [][]uint64 {
	var texts [][]uint64
	seqs := make([]uint64, workers)
	for i := range 1_000_000 / 64 {
		c := chain(uint64(i), 64)
		texts = append(texts, c)
		for k := range 3 {
			w := (i*7 + k*13) % workers
			store(fmt.Sprint("w", w), seqs[w], c)
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
			x := index(b, func(s *Settings) { s.Blocks, s.Workers = 1<<20, 128 })
			texts := million(workers, func(id string, seq uint64, blocks []uint64) { x.Apply(0, id, stored(1, seq, 0, blocks...)) })
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
			p := plain{}
			texts := million(workers, func(id string, _ uint64, blocks []uint64) { p.store(id, blocks) })
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

// One operation is a batch of one text of 64 blocks, stored, and one removed.
func BenchmarkEvents(b *testing.B) {
	b.Run("index", func(b *testing.B) {
		x := index(b, func(s *Settings) { s.Blocks, s.Workers = 1<<20, 128 })
		million(100, func(id string, seq uint64, blocks []uint64) { x.Apply(0, id, stored(1, seq, 0, blocks...)) })
		b.ReportAllocs()
		seq, i := uint64(0), uint64(0)
		for b.Loop() {
			x.Apply(0, "new", Batch{Incarnation: 1, Seq: seq, Changes: []Change{{Stored: chain(1<<40+i%1000, 64), Block: 16}, {Removed: chain(1<<40+(i+500)%1000, 64)}}})
			seq, i = seq+1, i+1
		}
		b.ReportMetric(128*float64(b.N)/b.Elapsed().Seconds(), "changes/s")
	})
	b.Run("map", func(b *testing.B) {
		p := plain{}
		million(100, func(id string, _ uint64, blocks []uint64) { p.store(id, blocks) })
		b.ReportAllocs()
		i := uint64(0)
		for b.Loop() {
			p.store("new", chain(1<<40+i%1000, 64))
			for _, h := range chain(1<<40+(i+500)%1000, 64) {
				if delete(p[h], "new"); len(p[h]) == 0 {
					delete(p, h)
				}
			}
			i++
		}
		b.ReportMetric(128*float64(b.N)/b.Elapsed().Seconds(), "changes/s")
	})
}
