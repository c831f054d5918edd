package kvindex_test

// These tests run routers in front of emulated engines on a virtual clock. The load is sessions with shared prefixes,
// beside long prompts that evict these. It is served with the routers' own records of where prefixes are cached, with
// complete reports, and with some of the reports lost.

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

// simulation is a set of routers and engines on one virtual clock.
type simulation struct {
	virtualclock.Clock
	networkRand *rand.Rand // for message loss and delays
	loadRand    *rand.Rand // for the load, which is therefore the same whatever becomes of the requests
	routers     []*router
	engines     map[string]*engine.Engine
	readers     []string
	reports     bool
	loss        float64
	published   map[string][]kvindex.Batch
	requests    map[string]*requestState
	lastID      int

	promptTokens, cachedTokens int // total tokens of the prefilled prompts, and of these the cached ones
	firstTokenTimes            []time.Duration
	refused                    int
	overpredicted              int // requests for which too much was predicted, by more than 64 tokens and a tenth of the actual length
}

// router is one of several routers that share no data.
type router struct {
	*simulation
	*decide.Router
	index         *kvindex.Index
	replayAskedAt map[string]time.Duration
	open          map[decide.RequestID]*requestState
}

// requestState is a request that a router is serving.
type requestState struct {
	*router
	num          decide.RequestID
	id           string
	prompt       []byte
	outputTokens int
	arrived      time.Duration
	reader       string
	attempts     int
	serverOf     map[int]string
	ended        bool
	predicted    map[string]int
}

const reportInterval = 20 * ms

func newSimulation(t testing.TB, seed uint64, routers int, reports bool, loss float64) *simulation {
	t.Helper()
	kinds, err := engine.ParseKinds(nil)
	if err != nil {
		t.Fatal(err)
	}
	s := &simulation{networkRand: rand.New(rand.NewPCG(seed, 2)), loadRand: rand.New(rand.NewPCG(seed, 3)), engines: make(map[string]*engine.Engine), reports: reports, loss: loss,
		published: make(map[string][]kvindex.Batch), requests: make(map[string]*requestState)}
	list := decide.ServerList{Complete: true}
	add := func(id string, kind int, settings engine.Settings) {
		s.engines[id] = engine.New(settings, 1)
		list.Servers = append(list.Servers, decide.Server{ID: id, Kind: kind, Weight: 1})
	}
	for i := range 4 {
		settings := kinds["reader"].Draw(seed*100 + uint64(i))
		settings.MemoryBlocks, settings.BlockTokens = 60000/32, 32 // make memory the scarce resource
		id := fmt.Sprint("r", i)
		add(id, 0, settings)
		s.readers = append(s.readers, id)
	}
	for i := range 4 {
		add(fmt.Sprint("w", i), 1, kinds["writer-a"].Draw(seed*100+50+uint64(i)))
	}
	class := decide.Class{TTFTTarget: 1200 * ms, TTFTTargetPer1000: 40 * ms, Deadline: 5 * time.Second, TPOTTarget: 60 * ms, Value: 1}
	for i := range routers {
		r := &router{simulation: s, replayAskedAt: make(map[string]time.Duration), open: make(map[decide.RequestID]*requestState)}
		if r.index, err = kvindex.New(kvindex.Settings{MaxBlocks: 1 << 16, MaxWorkers: 16, MaxStaleness: 2 * time.Second, MaxBuffered: 64, ChangesPerSecond: 1e6, Burst: 1e6}); err != nil {
			t.Fatal(err)
		}
		settings := decide.Settings{RouterIndex: i, RouterCount: routers, Classes: []decide.Class{class}, MaxAttempts: 4, CanCancel: true, ClockStep: 2 * ms,
			Kinds: []decide.Kind{{Role: decide.Reader}, {Role: decide.Writer, MemoryTokens: 150000}}, PinLimit: 300 * ms, MaxRetryAfter: 500 * ms}
		if r.Router, err = decide.New(settings, seed+uint64(i), r); err != nil {
			t.Fatal(err)
		}
		r.Router.Servers(0, list)
		s.routers = append(s.routers, r)
	}
	var publish func()
	publish = func() {
		for _, id := range s.readers {
			report, ok := s.engines[id].Report()
			if !ok {
				continue
			}
			b := kvindex.Batch{Incarnation: report.Incarnation, Seq: report.Seq}
			wire := kvevents.Batch{}
			for _, c := range report.Changes { // encoded and decoded, as in a real stream
				wire.Events = append(wire.Events, kvevents.Event{Stored: toUint64(c.Stored), Parent: uint64(c.Parent), BlockTokens: s.engines[id].Settings().BlockTokens, Removed: toUint64(c.Removed), Cleared: c.Cleared})
			}
			got, err := kvevents.Decode(kvevents.Encode(wire))
			if err != nil {
				panic(err)
			}
			for _, e := range got.Events {
				b.Changes = append(b.Changes, kvindex.Change(e))
			}
			if report.Seq == 0 {
				s.published[id] = nil
			}
			s.published[id] = append(s.published[id], b)
			for _, r := range s.routers {
				r.receiveBatch(id, b)
			}
		}
		s.After(reportInterval, publish)
	}
	var heartbeat func()
	heartbeat = func() {
		for _, id := range s.readers {
			for _, r := range s.routers {
				if s.networkRand.Float64() >= s.loss && len(s.published[id]) > 0 {
					last := s.published[id][len(s.published[id])-1]
					r.requestReplay(r.index.Heartbeat(s.Now, id, last.Incarnation, last.Seq+1))
				}
			}
		}
		s.After(500*ms, heartbeat)
	}
	if reports {
		s.After(0, publish)
		s.After(0, heartbeat)
	}
	return s
}

func toUint64(h []engine.Hash) []uint64 {
	if h == nil {
		return nil
	}
	out := make([]uint64, len(h))
	for i := range h {
		out[i] = uint64(h[i])
	}
	return out
}

// receiveBatch delivers a batch to a router after a delay, unless it is lost.
func (r *router) receiveBatch(id string, b kvindex.Batch) {
	if r.networkRand.Float64() < r.loss {
		return
	}
	r.After(time.Duration(r.networkRand.Int64N(int64(4*ms))), func() { r.requestReplay(r.index.Apply(r.Now, id, b)) })
}

func (r *router) requestReplay(ask *kvindex.ReplayRequest) {
	if ask == nil || r.Now-r.replayAskedAt[ask.Worker] < 50*ms {
		return
	}
	r.replayAskedAt[ask.Worker] = r.Now
	for _, b := range r.published[ask.Worker] {
		if b.Seq >= ask.FromSeq {
			r.receiveBatch(ask.Worker, b)
		}
	}
}

// submit sends a client's request to the router.
func (r *router) submit(session uint64, prefix, prefixTokens int, prompt []byte, outputTokens int) {
	s := r.simulation
	s.lastID++
	l := &requestState{router: r, num: decide.RequestID(s.lastID), id: fmt.Sprint(s.lastID), prompt: prompt, outputTokens: outputTokens, arrived: s.Now, serverOf: make(map[int]string)}
	s.requests[l.id], r.open[l.num] = l, l
	request := decide.Request{ID: l.num, TimeLeft: 5 * time.Second, Session: session, Prefix: uint64(prefix), PromptLength: len(prompt) / 4, PrefixLength: prefixTokens,
		MaxOutput: 2 * outputTokens, DurationHint: time.Duration(outputTokens) * 60 * ms}
	if s.reports {
		predicted, complete := r.index.Lookup(s.Now, func(block int) []uint64 { return toUint64(engine.BlockHashes(prompt, block)) })
		request.CachedTokens = make(map[string]int)
		for _, id := range complete {
			request.CachedTokens[id] = 0
		}
		for _, k := range predicted {
			request.CachedTokens[k.Worker] = k.Tokens
		}
		l.predicted = request.CachedTokens
	}
	r.Router.Request(s.Now, request)
}

// processEvents reports an engine's events to the routers that wait for them, and schedules the engine's next step.
func (s *simulation) processEvents(id string) {
	e := s.engines[id]
	e.Advance(s.Now)
	for _, ev := range e.Events() {
		l := s.requests[ev.ID]
		if l == nil || l.ended {
			continue
		}
		attempt := l.attempts - 1
		if l.serverOf[attempt] != id {
			continue
		}
		elapsed := s.Now - l.arrived
		outcome := decide.Outcome{ID: l.num, Attempt: attempt, Server: id, Elapsed: elapsed}
		switch ev.Kind {
		case engine.PrefillDone:
			s.promptTokens += len(l.prompt) / 4
			s.cachedTokens += ev.CachedTokens
			if p, ok := l.predicted[id]; ok && p > ev.CachedTokens+max(ev.CachedTokens/10, 64) {
				s.overpredicted++
			}
			l.reader = id
			outcome.Status, outcome.CachedTokens = decide.Read, ev.CachedTokens
			l.Outcome(s.Now, outcome)
		case engine.FirstToken:
			s.firstTokenTimes = append(s.firstTokenTimes, elapsed)
			l.ended = true
			s.engines[l.reader].Fetch(s.Now, l.id)
			l.Started(s.Now, decide.Started{ID: l.num, Attempt: attempt, Server: id, Elapsed: elapsed})
			outcome.Status, outcome.Final = decide.Served, true
			s.After(time.Duration(l.outputTokens)*40*ms, func() { l.Outcome(s.Now, outcome) })
			s.scheduleStep(l.reader)
		case engine.Rejected:
			outcome.Status = decide.Rejected
			l.Outcome(s.Now, outcome)
		case engine.Lost, engine.Dropped, engine.Stopped:
			outcome.Status = decide.Reset
			l.Outcome(s.Now, outcome)
		}
	}
	s.scheduleStep(id)
}

func (s *simulation) scheduleStep(id string) {
	if at, ok := s.engines[id].NextStep(); ok {
		s.After(at-s.Now, func() { s.processEvents(id) })
	}
}

// The methods through which decide.Router acts.
func (r *router) Send(id decide.RequestID, server string, _ time.Duration) {
	l := r.open[id]
	l.serverOf[l.attempts] = server
	l.attempts++
	r.After(ms, func() {
		e := r.engines[server]
		e.Submit(r.Now, engine.Request{ID: l.id, BlockHashes: engine.BlockHashes(l.prompt, e.Settings().BlockTokens), PromptTokens: len(l.prompt) / 4, OutputTokens: l.outputTokens, StateReady: l.reader != ""})
		r.processEvents(server)
	})
}
func (r *router) Cancel(id decide.RequestID, n int) {
	l := r.open[id]
	r.After(0, func() {
		r.engines[l.serverOf[n]].Cancel(r.Now, l.id)
		r.engines[l.serverOf[n]].Events()
		l.Outcome(r.Now, decide.Outcome{ID: id, Attempt: n, Server: l.serverOf[n], Status: decide.Cancelled})
		r.processEvents(l.serverOf[n])
	})
}
func (r *router) endRequest(id decide.RequestID)              { r.open[id].ended = true; r.refused++ }
func (r *router) Refuse(id decide.RequestID, _ time.Duration) { r.endRequest(id) }
func (r *router) Fail(id decide.RequestID)                    { r.endRequest(id) }
func (r *router) Release(id decide.RequestID) {
	if l := r.open[id]; l.reader != "" {
		r.engines[l.reader].Release(r.Now, l.id)
		r.scheduleStep(l.reader)
	}
}
func (r *router) SetTimer(token uint64, at time.Duration) {
	r.After(at-r.Now, func() { r.Timer(r.Now, token) })
}
func (r *router) Probe(string)           {}
func (r *router) RequestServerList(bool) {}

// promptText returns a prompt of the given length that has no common prefix with those of other names.
func promptText(name string, tokens int) []byte {
	out := make([]byte, 0, tokens*4+16)
	for i := 0; len(out) < tokens*4; i++ {
		out = fmt.Appendf(out, "%s.%d ", name, i)
	}
	return out[:tokens*4]
}

// generateLoad starts sessions that share prefixes, and long sessions that evict these.
func (s *simulation) generateLoad(until time.Duration) {
	shared := make([][]byte, 12)
	for i := range shared {
		shared[i] = promptText(fmt.Sprint("shared", i), 1500+300*i)
	}
	session := uint64(0)
	var next func()
	next = func() {
		if s.Now >= until {
			return
		}
		s.After(time.Duration(s.loadRand.ExpFloat64()*float64(110*ms)), next)
		session++
		id, topic := session, min(s.loadRand.IntN(len(shared)), s.loadRand.IntN(len(shared)))
		prompt := slices.Concat(shared[topic], promptText(fmt.Sprint("s", id), 200+s.loadRand.IntN(300)))
		prefix, prefixTokens := topic+1, len(shared[topic])/4
		if s.loadRand.IntN(12) == 0 { // a long prompt without a shared prefix
			prompt, prefix, prefixTokens = promptText(fmt.Sprint("long", id), 9000+s.loadRand.IntN(6000)), 0, 0
		}
		at, router := time.Duration(0), s.routers
		for n := range 1 + s.loadRand.IntN(4) {
			outputTokens, to, turnPrompt := 40+s.loadRand.IntN(100), router[s.loadRand.IntN(len(router))], prompt
			s.After(at, func() { to.submit(id, prefix, prefixTokens, turnPrompt, outputTokens) })
			at += 2*time.Second + time.Duration(s.loadRand.Int64N(int64(4*time.Second)))
			prompt = slices.Concat(prompt, promptText(fmt.Sprint("a", id, ".", n), outputTokens+100+s.loadRand.IntN(300)))
		}
	}
	s.After(0, next)
}

type result struct {
	cachedShare   float64 // share of the prompt tokens that were cached
	median, p99   time.Duration
	refused       int
	overpredicted int
	served        int
}

// simulate runs the load for the given duration and lets the open requests end.
func simulate(t testing.TB, seed uint64, routers int, reports bool, loss float64, duration time.Duration, setUp func(*simulation)) result {
	s := newSimulation(t, seed, routers, reports, loss)
	s.generateLoad(duration)
	if setUp != nil {
		setUp(s)
	}
	s.RunUntil(duration + 20*time.Second)
	slices.Sort(s.firstTokenTimes)
	n := len(s.firstTokenTimes)
	if n == 0 {
		t.Fatal("nothing was served")
	}
	return result{float64(s.cachedTokens) / float64(s.promptTokens), s.firstTokenTimes[n/2], s.firstTokenTimes[n*99/100], s.refused, s.overpredicted, n}
}

func (r result) String() string {
	return fmt.Sprintf("cached %.3f, first token %v median %v p99, %d served, %d refused, %d overpredicted", r.cachedShare, r.median.Round(ms), r.p99.Round(ms), r.served, r.refused, r.overpredicted)
}

// Losing a tenth of the reports must lower the share of cached tokens by 5% at most. With reports that share must not
// be lower than with the routers' own records, where several routers share the readers and memory is short.
func TestReportsUnderMemoryPressure(t *testing.T) {
	var withoutReports, withReports, withLoss float64
	const seeds = 3
	var mu sync.Mutex
	var all sync.WaitGroup
	for seed := range uint64(seeds) {
		all.Go(func() {
			a := simulate(t, seed, 4, false, 0, 45*time.Second, nil)
			b := simulate(t, seed, 4, true, 0, 45*time.Second, nil)
			c := simulate(t, seed, 4, true, 0.1, 45*time.Second, nil)
			mu.Lock()
			defer mu.Unlock()
			t.Logf("seed %d\n  own record: %v\n  reports:    %v\n  10%% lost:   %v", seed, a, b, c)
			withoutReports, withReports, withLoss = withoutReports+a.cachedShare/seeds, withReports+b.cachedShare/seeds, withLoss+c.cachedShare/seeds
		})
	}
	all.Wait()
	t.Logf("own record %.3f, reports %.3f, 10%% lost %.3f", withoutReports, withReports, withLoss)
	if withLoss < 0.95*withReports {
		t.Errorf("cached share %.3f with a tenth of the reports lost, %.3f with none lost", withLoss, withReports)
	}
	if withReports < withoutReports {
		t.Errorf("cached share %.3f with reports, %.3f without", withReports, withoutReports)
	}
}

// A reader that restarts with an empty cache must not be credited with its earlier cache, from its first report on.
func TestReaderRestartsWithEmptyCache(t *testing.T) {
	run := func(reports bool) (wrong, served int) {
		s := newSimulation(t, 1, 2, reports, 0)
		s.generateLoad(40 * time.Second)
		s.After(20*time.Second, func() {
			for _, id := range s.readers[:2] {
				s.engines[id].Start(s.Now, 2)
				s.processEvents(id)
			}
		})
		s.RunUntil(20*time.Second + 50*ms)
		s.overpredicted = 0
		s.RunUntil(60 * time.Second)
		return s.overpredicted, len(s.firstTokenTimes)
	}
	if wrong, served := run(true); wrong > served/100 {
		t.Errorf("%d of %d requests were sent to a reader for a cache that it had lost", wrong, served)
	}
}
