package kvindex_test

// A router's decisions in front of emulated engines, on a virtual clock: sessions that share beginnings, beside long ones
// that push them out. It is played with the router's own record, with perfect reports, and with some of them lost.

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"rowanyard/decide"
	"rowanyard/internal/engine"
	"rowanyard/internal/kvevents"
	"rowanyard/internal/kvindex"
	"rowanyard/internal/scale/virtualclock"
)

const ms = time.Millisecond

// site is a router, its engines, and what it hears of them.
type site struct {
	virtualclock.Clock
	rng     *rand.Rand // of the network
	comes   *rand.Rand // of what clients ask, the same whatever becomes of it
	routers []*router
	engines map[string]*engine.Engine
	readers []string
	reports bool
	loss    float64
	sent    map[string][]kvindex.Batch
	lives   map[string]*life
	lastID  int

	prompt, kept int // tokens
	first        []time.Duration
	refused      int
	predicted    int // requests for which more than a tenth, or a block, was predicted than found
}

// router is one of several that share nothing.
type router struct {
	*site
	*decide.Router
	index *kvindex.Index
	asked map[string]time.Duration
	open  map[decide.RequestID]*life
}

type life struct {
	*router
	num     decide.RequestID
	id      string
	text    []byte
	out     int
	arrived time.Duration
	reader  string
	sends   int
	to      map[int]string
	over    bool
	kept    map[string]int
}

const batchEvery = 20 * ms

func newSite(t testing.TB, seed uint64, routers int, reports bool, loss float64) *site {
	t.Helper()
	kinds, err := engine.Kinds(nil)
	if err != nil {
		t.Fatal(err)
	}
	s := &site{rng: rand.New(rand.NewPCG(seed, 2)), comes: rand.New(rand.NewPCG(seed, 3)), engines: make(map[string]*engine.Engine), reports: reports, loss: loss,
		sent: make(map[string][]kvindex.Batch), lives: make(map[string]*life)}
	list := decide.ServerList{Whole: true}
	add := func(id string, kind int, set engine.Settings) {
		s.engines[id] = engine.New(set, 1)
		list.Servers = append(list.Servers, decide.Server{ID: id, Kind: kind, Weight: 1})
	}
	for i := range 4 {
		set := kinds["reader"].Draw(seed*100 + uint64(i))
		set.Blocks, set.Block = 60000/32, 32 // memory is what is short here
		id := fmt.Sprint("r", i)
		add(id, 0, set)
		s.readers = append(s.readers, id)
	}
	for i := range 4 {
		add(fmt.Sprint("w", i), 1, kinds["writer-a"].Draw(seed*100+50+uint64(i)))
	}
	class := decide.Class{Aim: 1200 * ms, AimPer1000: 40 * ms, Deadline: 5 * time.Second, TokenAim: 60 * ms, Worth: 1}
	for i := range routers {
		r := &router{site: s, asked: make(map[string]time.Duration), open: make(map[decide.RequestID]*life)}
		if r.index, err = kvindex.New(kvindex.Settings{Blocks: 1 << 16, Workers: 16, Bound: 2 * time.Second, Buffered: 64, Rate: 1e6, Burst: 1e6}); err != nil {
			t.Fatal(err)
		}
		set := decide.Settings{Front: i, Fronts: routers, Classes: []decide.Class{class}, MaxAttempts: 4, CanCancel: true, Tick: 2 * ms,
			Kinds: []decide.Kind{{Role: decide.Reader}, {Role: decide.Writer, MemoryTokens: 150000}}, PinLimit: 300 * ms, MaxRetryAfter: 500 * ms}
		if r.Router, err = decide.New(set, seed+uint64(i), r); err != nil {
			t.Fatal(err)
		}
		r.Router.Servers(0, list)
		s.routers = append(s.routers, r)
	}
	var publish func()
	publish = func() {
		for _, id := range s.readers {
			rep, ok := s.engines[id].Report()
			if !ok {
				continue
			}
			b := kvindex.Batch{Incarnation: rep.Incarnation, Seq: rep.Seq}
			wire := kvevents.Batch{}
			for _, c := range rep.Changes { // as it travels
				wire.Events = append(wire.Events, kvevents.Event{Stored: raw(c.Stored), Parent: uint64(c.Parent), Block: s.engines[id].Settings().Block, Removed: raw(c.Removed), Cleared: c.Cleared})
			}
			got, err := kvevents.Decode(kvevents.Encode(wire))
			if err != nil {
				panic(err)
			}
			for _, e := range got.Events {
				b.Changes = append(b.Changes, kvindex.Change(e))
			}
			if rep.Seq == 0 {
				s.sent[id] = nil
			}
			s.sent[id] = append(s.sent[id], b)
			for _, r := range s.routers {
				r.hear(id, b)
			}
		}
		s.After(batchEvery, publish)
	}
	var beat func()
	beat = func() {
		for _, id := range s.readers {
			for _, r := range s.routers {
				if s.rng.Float64() >= s.loss && len(s.sent[id]) > 0 {
					last := s.sent[id][len(s.sent[id])-1]
					r.replay(r.index.Heard(s.Now, id, last.Incarnation, last.Seq+1))
				}
			}
		}
		s.After(500*ms, beat)
	}
	if reports {
		s.After(0, publish)
		s.After(0, beat)
	}
	return s
}

func raw(h []engine.Hash) []uint64 {
	if h == nil {
		return nil
	}
	out := make([]uint64, len(h))
	for i := range h {
		out[i] = uint64(h[i])
	}
	return out
}

// hear has a batch come to a router, unless it is lost.
func (r *router) hear(id string, b kvindex.Batch) {
	if r.rng.Float64() < r.loss {
		return
	}
	r.After(time.Duration(r.rng.Int64N(int64(4*ms))), func() { r.replay(r.index.Apply(r.Now, id, b)) })
}

func (r *router) replay(ask *kvindex.Replay) {
	if ask == nil || r.Now-r.asked[ask.Worker] < 50*ms {
		return
	}
	r.asked[ask.Worker] = r.Now
	for _, b := range r.sent[ask.Worker] {
		if b.Seq >= ask.From {
			r.hear(ask.Worker, b)
		}
	}
}

// request comes to the router.
func (r *router) request(session uint64, prefix, prefixLen int, text []byte, out int) {
	s := r.site
	s.lastID++
	l := &life{router: r, num: decide.RequestID(s.lastID), id: fmt.Sprint(s.lastID), text: text, out: out, arrived: s.Now, to: make(map[int]string)}
	s.lives[l.id], r.open[l.num] = l, l
	q := decide.Request{ID: l.num, TimeLeft: 5 * time.Second, Session: session, Prefix: uint64(prefix), Prompt: len(text) / 4, PrefixLen: prefixLen,
		MaxOutput: 2 * out, Hint: time.Duration(out) * 60 * ms}
	if s.reports {
		kept, whole := r.index.Lookup(s.Now, func(block int) []uint64 { return raw(engine.Chain(text, block)) })
		q.Kept = make(map[string]int)
		for _, id := range whole {
			q.Kept[id] = 0
		}
		for _, k := range kept {
			q.Kept[k.Worker] = k.Tokens
		}
		l.kept = q.Kept
	}
	r.Router.Request(s.Now, q)
}

// look has what an engine did come to who waits for it, and the engine's next step happen.
func (s *site) look(id string) {
	e := s.engines[id]
	e.Advance(s.Now)
	for _, x := range e.Events() {
		l := s.lives[x.ID]
		if l == nil || l.over {
			continue
		}
		n := l.sends - 1
		if l.to[n] != id {
			continue
		}
		took := s.Now - l.arrived
		o := decide.Outcome{ID: l.num, Attempt: n, Server: id, Took: took}
		switch x.What {
		case engine.ReadDone:
			s.prompt += len(l.text) / 4
			s.kept += x.Kept
			if p, ok := l.kept[id]; ok && p > x.Kept+max(x.Kept/10, 64) {
				s.predicted++
			}
			l.reader = id
			o.Status, o.Kept = decide.Read, x.Kept
			l.Outcome(s.Now, o)
		case engine.First:
			s.first = append(s.first, took)
			l.over = true
			s.engines[l.reader].Fetch(s.Now, l.id)
			l.Started(s.Now, decide.Started{ID: l.num, Attempt: n, Server: id, Took: took})
			o.Status, o.Final = decide.Served, true
			s.After(time.Duration(l.out)*40*ms, func() { l.Outcome(s.Now, o) })
			s.tick(l.reader)
		case engine.TurnedAway:
			o.Status = decide.Full
			l.Outcome(s.Now, o)
		case engine.Lost, engine.Dropped, engine.Stopped:
			o.Status = decide.Reset
			l.Outcome(s.Now, o)
		}
	}
	s.tick(id)
}

func (s *site) tick(id string) {
	if at, ok := s.engines[id].Next(); ok {
		s.After(at-s.Now, func() { s.look(id) })
	}
}

// What the module acts through.
func (r *router) Send(id decide.RequestID, server string, _ time.Duration) {
	l := r.open[id]
	l.to[l.sends] = server
	l.sends++
	r.After(ms, func() {
		e := r.engines[server]
		e.Submit(r.Now, engine.Work{ID: l.id, Chain: engine.Chain(l.text, e.Settings().Block), Tokens: len(l.text) / 4, Output: l.out, Holds: l.reader != ""})
		r.look(server)
	})
}
func (r *router) Cancel(id decide.RequestID, n int) {
	l := r.open[id]
	r.After(0, func() {
		r.engines[l.to[n]].Cancel(r.Now, l.id)
		r.engines[l.to[n]].Events()
		l.Outcome(r.Now, decide.Outcome{ID: id, Attempt: n, Server: l.to[n], Status: decide.Cancelled})
		r.look(l.to[n])
	})
}
func (r *router) end(id decide.RequestID)                     { r.open[id].over = true; r.refused++ }
func (r *router) Refuse(id decide.RequestID, _ time.Duration) { r.end(id) }
func (r *router) Fail(id decide.RequestID)                    { r.end(id) }
func (r *router) Release(id decide.RequestID) {
	if l := r.open[id]; l.reader != "" {
		r.engines[l.reader].Release(r.Now, l.id)
		r.tick(l.reader)
	}
}
func (r *router) SetTimer(token uint64, at time.Duration) {
	r.After(at-r.Now, func() { r.Timer(r.Now, token) })
}
func (r *router) Probe(string)    {}
func (r *router) AskServers(bool) {}

// words is a text of so many tokens that differs from all others of another name.
func words(name string, tokens int) []byte {
	out := make([]byte, 0, tokens*4+16)
	for i := 0; len(out) < tokens*4; i++ {
		out = fmt.Appendf(out, "%s.%d ", name, i)
	}
	return out[:tokens*4]
}

// load has sessions come that share beginnings, and long new ones that push them out.
func (s *site) load(until time.Duration) {
	shared := make([][]byte, 12)
	for i := range shared {
		shared[i] = words(fmt.Sprint("shared", i), 1500+300*i)
	}
	session := uint64(0)
	var next func()
	next = func() {
		if s.Now >= until {
			return
		}
		s.After(time.Duration(s.comes.ExpFloat64()*float64(110*ms)), next)
		session++
		me, which := session, min(s.comes.IntN(len(shared)), s.comes.IntN(len(shared)))
		text := slices.Concat(shared[which], words(fmt.Sprint("s", me), 200+s.comes.IntN(300)))
		prefix, length := which+1, len(shared[which])/4
		if s.comes.IntN(12) == 0 { // a long new one
			text, prefix, length = words(fmt.Sprint("long", me), 9000+s.comes.IntN(6000)), 0, 0
		}
		at, router := time.Duration(0), s.routers
		for n := range 1 + s.comes.IntN(4) {
			out, to, said := 40+s.comes.IntN(100), router[s.comes.IntN(len(router))], text
			s.After(at, func() { to.request(me, prefix, length, said, out) })
			at += 2*time.Second + time.Duration(s.comes.Int64N(int64(4*time.Second)))
			text = slices.Concat(text, words(fmt.Sprint("a", me, ".", n), out+100+s.comes.IntN(300)))
		}
	}
	s.After(0, next)
}

type result struct {
	share       float64 // of the prompts' tokens that were found kept
	median, p99 time.Duration
	refused     int
	wrong       int
	n           int
}

func played(t testing.TB, seed uint64, routers int, reports bool, loss float64, long time.Duration, more func(*site)) result {
	s := newSite(t, seed, routers, reports, loss)
	s.load(long)
	if more != nil {
		more(s)
	}
	s.Until(long + 20*time.Second)
	slices.Sort(s.first)
	n := len(s.first)
	if n == 0 {
		t.Fatal("nothing was served")
	}
	return result{float64(s.kept) / float64(s.prompt), s.first[n/2], s.first[n*99/100], s.refused, s.predicted, n}
}

func (r result) String() string {
	return fmt.Sprintf("kept %.3f, first token %v median %v p99, %d served, %d refused, %d predicted too much", r.share, r.median.Round(ms), r.p99.Round(ms), r.n, r.refused, r.wrong)
}

// With a tenth of the reports lost as much is found kept as with all of them, within 5%; and with reports more than
// with the routers' own records, where several routers share the readers and memory is short.
func TestReportsUnderPressure(t *testing.T) {
	var own, perfect, lossy float64
	const seeds = 3
	var mu sync.Mutex
	var all sync.WaitGroup
	for seed := range uint64(seeds) {
		all.Go(func() {
			a := played(t, seed, 4, false, 0, 45*time.Second, nil)
			b := played(t, seed, 4, true, 0, 45*time.Second, nil)
			c := played(t, seed, 4, true, 0.1, 45*time.Second, nil)
			mu.Lock()
			defer mu.Unlock()
			t.Logf("seed %d\n  own record: %v\n  reports:    %v\n  10%% lost:   %v", seed, a, b, c)
			own, perfect, lossy = own+a.share/seeds, perfect+b.share/seeds, lossy+c.share/seeds
		})
	}
	all.Wait()
	t.Logf("own %.3f, reports %.3f, 10%% lost %.3f", own, perfect, lossy)
	if lossy < 0.95*perfect {
		t.Errorf("%.3f kept with a tenth lost, %.3f with none", lossy, perfect)
	}
	if perfect < own {
		t.Errorf("%.3f kept with reports, %.3f without", perfect, own)
	}
}

// A reader that dies and returns with nothing draws nothing for its old texts from its first report on.
func TestAReaderReturnsWithNothing(t *testing.T) {
	wrong := func(reports bool) (over, n int) {
		s := newSite(t, 1, 2, reports, 0)
		s.load(40 * time.Second)
		s.After(20*time.Second, func() {
			for _, id := range s.readers[:2] {
				s.engines[id].Start(s.Now, 2)
				s.look(id)
			}
		})
		s.Until(20*time.Second + 50*ms)
		s.predicted = 0
		s.Until(60 * time.Second)
		return s.predicted, len(s.first)
	}
	if over, n := wrong(true); over > n/100 {
		t.Errorf("%d of %d requests were sent for texts that are gone", over, n)
	}
}
