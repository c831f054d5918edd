package grant

// The tests in this file run scripted callers and workers against a Table and a decide.Router on a virtual clock, with all
// randomness drawn from a seed, so that a seed always gives the same run. Callers stall, repeat calls, cache answers,
// reconnect, crash, forget requests, and lose and reorder messages; workers drain, die, reject requests and reset
// connections. The events are checked by package rules. Callers do exactly what the operators' documentation requires.

import (
	"cmp"
	"container/heap"
	"crypto/sha256"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"rowanyard/decide"
	"rowanyard/internal/grant/rules"
)

const ms = time.Millisecond

var testConfig = Config{DrainGrace: 500 * ms, MaxDelivery: 50 * ms, HoldTimeout: 300 * ms, WatchTimeout: 300 * ms, EffectRetention: 30 * time.Second,
	MaxRetryAfter: 500 * ms, Tick: 5 * ms, MaxOpenRequests: 64, MaxCallers: 8, MaxEffects: 4096, MaxIDBytes: 64, FeedDepth: 8}

// sim is one simulated run.
type sim struct {
	now          time.Duration
	taskQueue    taskQueue
	taskCount    int
	rng          *rand.Rand
	table        *Table
	router       *decide.Router
	variant      string // the deliberately broken variant, empty if none
	log          []rules.Event
	trace        []string
	workers      []*fakeWorker
	callers      []*fakeCaller
	byID         map[decide.RequestID]*routedRequest
	byName       map[string]*routedRequest
	heldStates   map[string]int // number of states held, by request
	ran          map[string]bool
	lastID       decide.RequestID
	callCount    int
	requestCount int // requests made
	servedCount  int // requests served
}

type taskQueue []task

type task struct {
	at time.Duration
	n  int
	do func()
}

func (t taskQueue) Len() int { return len(t) }
func (t taskQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(t[i].at, t[j].at), cmp.Compare(t[i].n, t[j].n)) < 0
}
func (t taskQueue) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *taskQueue) Push(x any)   { *t = append(*t, x.(task)) }
func (t *taskQueue) Pop() any {
	x := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return x
}

func (w *sim) after(d time.Duration, do func()) {
	w.taskCount++
	heap.Push(&w.taskQueue, task{w.now + max(0, d), w.taskCount, do})
}

func (w *sim) upTo(d time.Duration) time.Duration { return time.Duration(w.rng.Int64N(int64(d) + 1)) }
func (w *sim) chance(p float64) bool              { return w.rng.Float64() < p }

// latency is the delay of a message: usually short, sometimes a stall of up to 1.5 s.
func (w *sim) latency() time.Duration {
	if w.chance(0.06) {
		return w.upTo(1500 * ms)
	}
	return w.upTo(8 * ms)
}

func (w *sim) record(kind rules.Kind, request, worker string, call int, nonIdempotent bool) {
	w.log = append(w.log, rules.Event{At: w.now, Kind: kind, Request: request, Worker: worker, Call: call, NonIdempotent: nonIdempotent})
}

// fakeWorker is a simulated worker.
type fakeWorker struct {
	id    string
	kind  int
	state decide.ServerState
	dead  bool
}

func (w *sim) serverList() decide.ServerList {
	l := decide.ServerList{Complete: true}
	for _, b := range w.workers {
		l.Servers = append(l.Servers, decide.Server{ID: b.id, Kind: b.kind, State: b.state, Weight: 1})
	}
	return l
}

// routedRequest is the router's state of a request, which package core keeps in the program.
type routedRequest struct {
	id            string
	num           decide.RequestID
	nonIdempotent bool
	waiting       []call          // calls that wait for the pending choice
	chosen        []chosenAttempt // chosen but not granted
	current       *chosenAttempt  // granted and not ended
	attempts      int             // attempts chosen by the decide.Router
	begun         bool
	over          bool
}

// chosenAttempt is an attempt that the decide.Router has chosen.
type chosenAttempt struct {
	n         int
	server    string
	wait      time.Duration
	cancelled bool
	grant     *Grant
	grantedAt time.Duration
}

// call is a call for a choice that has reached the router.
type call struct {
	n  int
	at time.Duration
	ChooseCall
	reply func(answer)
}

// answer is what the router answers to a call.
type answer struct {
	grant      uint64
	n          int
	worker     string
	read       bool
	valid      time.Duration
	timeLeft   time.Duration
	state      State
	watch      bool
	err        error
	retryAfter time.Duration // for a refusal
}

func newSimulation(seed uint64, variant string) *sim {
	w := &sim{rng: rand.New(rand.NewPCG(seed, 99)), variant: variant, byID: make(map[decide.RequestID]*routedRequest),
		byName: make(map[string]*routedRequest), heldStates: make(map[string]int), ran: make(map[string]bool)}
	var err error
	if w.table, err = New(testConfig, 0, func(e Event) { w.trace = append(w.trace, fmt.Sprint(e)) }); err != nil {
		panic(err)
	}
	class := decide.Class{TTFTTarget: time.Second, Deadline: 4 * time.Second, Value: 1}
	message := class
	message.Effect = decide.Unsafe
	set := decide.Settings{RouterCount: 1, Classes: []decide.Class{class, message}, MaxAttempts: 6, CanCancel: true, ClockStep: 2 * ms,
		Kinds: []decide.Kind{{Role: decide.Reader}, {Role: decide.Writer}}, PinLimit: 500 * ms, MaxRetryAfter: time.Second}
	if w.router, err = decide.New(set, seed, (*routerActions)(w)); err != nil {
		panic(err)
	}
	for i := range 2 + w.rng.IntN(2) {
		w.workers = append(w.workers, &fakeWorker{id: fmt.Sprintf("r%d", i)})
	}
	for i := range 2 + w.rng.IntN(3) {
		w.workers = append(w.workers, &fakeWorker{id: fmt.Sprintf("w%d", i), kind: 1})
	}
	w.router.Servers(0, w.serverList())
	for i := range 1 + w.rng.IntN(4) {
		w.callers = append(w.callers, &fakeCaller{w: w, name: fmt.Sprintf("c%d", i), watches: w.chance(0.5), revoked: make(map[uint64]bool)})
	}
	return w
}

// run plays the simulation to its end and returns the violations.
func (w *sim) run() []rules.Violation {
	const duration = 6 * time.Second
	for _, p := range w.callers {
		if p.watches {
			w.after(0, p.watch)
		}
		for range 1 + w.rng.IntN(6) {
			w.after(w.upTo(duration/2), func() { p.request(fmt.Sprintf("q%d", w.requestCount), true) })
		}
	}
	for range w.rng.IntN(6) {
		w.after(w.upTo(duration), w.disturbWorker)
	}
	var tick func()
	tick = func() {
		w.advance()
		if w.now < 3*duration {
			w.after(5*ms, tick)
		}
	}
	w.after(0, tick)
	for len(w.taskQueue) > 0 {
		t := heap.Pop(&w.taskQueue).(task)
		w.now = t.at
		t.do()
	}
	return rules.Check(w.log, rules.Limits{DrainGrace: testConfig.DrainGrace, HoldTimeout: testConfig.HoldTimeout + 30*ms}, w.now)
}

// disturbWorker drains or kills one worker for a while.
func (w *sim) disturbWorker() {
	b := w.workers[w.rng.IntN(len(w.workers))]
	if b.state != decide.Ready {
		return
	}
	if w.chance(0.4) {
		b.dead = true
		w.after(w.upTo(2*time.Second), func() { b.dead = false })
		if w.chance(0.5) {
			return // and the router does not learn of it
		}
	}
	b.state = decide.Draining
	w.record(rules.Drained, "", b.id, 0, false)
	if w.variant != "ignores drains" {
		w.table.CloseWorker(w.now, b.id, "drains")
		w.router.Servers(w.now, w.serverList())
	}
	w.after(time.Second+w.upTo(3*time.Second), func() {
		b.state = decide.Ready
		w.record(rules.Undrained, "", b.id, 0, false)
		w.table.OpenWorker(b.id)
		w.router.Servers(w.now, w.serverList())
	})
}

// The router's side.

func (w *sim) choose(c call) {
	same, pending, err := w.table.Begin(w.now, c.ChooseCall)
	l := w.byName[c.Request]
	if err == nil {
		w.record(rules.CallerSeen, c.Request, "", 0, false)
	}
	if errors.Is(err, ErrMayHaveRun) && w.variant == "forgets effects" {
		w.table.ledger.clear(c.Request)
		same, pending, err = w.table.Begin(w.now, c.ChooseCall)
	}
	if err == nil && same == nil { // from now on the call is open, so its caller is present
		w.record(rules.Opened, c.Request, "", c.n, false)
	}
	switch {
	case err != nil:
		w.reply(c, answer{err: err})
	case pending:
		l.waiting = append(l.waiting, c)
	case same != nil:
		w.reply(c, w.answerFor(same, c))
	case c.Attempt == 0: // a new request, or one that has ended and whose id is used again
		w.lastID++
		l = &routedRequest{id: c.Request, num: w.lastID, nonIdempotent: c.NonIdempotent, waiting: []call{c}}
		w.byID[l.num], w.byName[l.id] = l, l
		class := 0
		if c.NonIdempotent {
			class = 1
		}
		w.router.Request(w.now, decide.Request{ID: l.num, Class: class, TimeLeft: time.Second + w.upTo(3*time.Second), PromptLength: 100, Session: uint64(l.num)})
	default:
		l.waiting = append(l.waiting, c)
		w.offerChosen(l)
	}
}

func (w *sim) answerFor(g *Grant, c call) answer {
	return answer{grant: g.ID, n: g.Attempt, worker: g.Worker, read: g.Read, valid: g.Valid(c.at), timeLeft: g.Deadline - c.at,
		state: g.State, watch: g.req.caller.feed != nil}
}

// reply sends an answer to its caller.
func (w *sim) reply(c call, a answer) {
	w.after(w.latency(), func() {
		w.record(rules.Answered, c.Request, "", c.n, false)
		c.reply(a)
	})
	if w.variant == "answers twice" && w.chance(0.2) {
		w.after(w.latency(), func() { w.record(rules.Answered, c.Request, "", c.n, false) })
	}
}

// offerChosen grants chosen attempts to the calls that wait for them.
func (w *sim) offerChosen(l *routedRequest) {
	for len(l.waiting) > 0 && len(l.chosen) > 0 {
		s := l.chosen[0]
		l.chosen = l.chosen[1:]
		if s.cancelled {
			continue
		}
		g, err := w.table.Offer(w.now, l.id, s.server, s.server[0] == 'r', s.wait)
		if err != nil {
			w.after(0, func() { w.finishAttempt(l, s, decide.Unsent) })
			continue
		}
		s.grant, s.grantedAt = g, w.now
		l.current = &s
		for _, c := range l.waiting {
			w.record(rules.Closed, l.id, "", c.n, false)
			w.reply(c, w.answerFor(g, c))
		}
		l.waiting = nil
	}
}

func (w *sim) finishAttempt(l *routedRequest, s chosenAttempt, status decide.Status) {
	if l.current != nil && l.current.n == s.n {
		l.current = nil
	}
	o := decide.Outcome{ID: l.num, Attempt: s.n, Server: s.server, Status: status, Elapsed: w.now - s.grantedAt, Final: l.begun || l.over}
	if status == decide.Served && !l.begun {
		l.begun = true
		w.router.Started(w.now, decide.Started{ID: l.num, Attempt: s.n, Server: s.server, Elapsed: o.Elapsed})
		o.Final = true
	}
	w.router.Outcome(w.now, o)
	w.offerChosen(l)
	if unknown := status == decide.TimedOut || status == decide.Cancelled || status == decide.Reset; s.server[0] == 'r' && unknown {
		attempts := l.attempts
		for _, d := range []time.Duration{0, 100 * ms} { // the read may still leave state behind
			w.after(d, func() {
				if l.current == nil && l.attempts == attempts {
					w.release(l.id)
				}
			})
		}
	}
}

var statusOfFate = map[Fate]decide.Status{NotSent: decide.ConnectFailed, TurnedAway: decide.Rejected, Read: decide.Read, Begun: decide.Served, Ran: decide.Reset}

func (w *sim) report(caller string, id uint64, fate Fate) {
	g := w.table.grants[id]
	if err := w.table.Report(w.now, caller, id, fate, false); err != nil {
		return
	}
	w.record(rules.CallerSeen, g.req.id, "", 0, false)
	if l := w.byName[g.req.id]; l.current != nil && l.current.grant == g {
		w.finishAttempt(l, *l.current, statusOfFate[fate])
	}
}

func (w *sim) advance() {
	if w.variant == "never releases" {
		return
	}
	for _, a := range slices.Clone(w.table.Advance(w.now)) {
		l := w.byName[a.Request]
		switch a.Kind {
		case TimeOutAttempt:
			if l.current != nil && l.current.grant == a.Grant {
				w.finishAttempt(l, *l.current, decide.TimedOut)
			}
		case AbandonRequest:
			l.over = true
			w.router.ClientLeft(w.now, l.num)
			if l.current != nil { // report its end, so that the decide.Router forgets the request
				w.finishAttempt(l, *l.current, decide.Cancelled)
			}
			for _, s := range l.chosen {
				w.finishAttempt(l, s, decide.Unsent)
			}
			w.release(l.id)
		case ReleaseLeftover:
			w.release(a.Request)
		}
	}
}

func (w *sim) release(id string) {
	w.after(w.upTo(10*ms), func() {
		if w.heldStates[id] > 0 {
			w.heldStates[id] = 0
			w.record(rules.Released, id, "", 0, false)
		}
	})
}

// finishRequest sends the final answer to all waiting calls.
func (w *sim) finishRequest(num decide.RequestID, a answer) {
	l := w.byID[num]
	if l.over {
		return
	}
	l.over = true
	for _, c := range l.waiting {
		w.record(rules.Closed, l.id, "", c.n, false)
		w.reply(c, a)
	}
	l.waiting = nil
	w.table.End(w.now, l.id)
	w.after(0, func() { // not while the decide.Router handles an event
		if l.current != nil {
			w.finishAttempt(l, *l.current, decide.Cancelled)
		}
		for _, s := range l.chosen {
			w.finishAttempt(l, s, decide.Unsent)
		}
		l.chosen = nil
	})
}

// routerActions carries out the actions of the decide.Router.
type routerActions sim

func (f *routerActions) Send(id decide.RequestID, server string, timeout time.Duration) {
	w := (*sim)(f)
	l := w.byID[id]
	l.chosen = append(l.chosen, chosenAttempt{n: l.nextAttempt(), server: server, wait: timeout})
	w.after(0, func() { w.offerChosen(l) })
}

func (l *routedRequest) nextAttempt() int { l.attempts++; return l.attempts - 1 }

func (f *routerActions) Cancel(id decide.RequestID, n int) {
	w := (*sim)(f)
	l := w.byID[id]
	w.after(0, func() {
		if l.current != nil && l.current.n == n {
			w.table.Withdraw(w.now, l.current.grant.ID)
			w.finishAttempt(l, *l.current, decide.Cancelled)
		}
		for i := range l.chosen {
			if s := l.chosen[i]; s.n == n && !s.cancelled {
				l.chosen[i].cancelled = true
				w.finishAttempt(l, s, decide.Unsent)
			}
		}
	})
}
func (f *routerActions) Refuse(id decide.RequestID, after time.Duration) {
	(*sim)(f).finishRequest(id, answer{err: errors.New("refused"), retryAfter: after})
}
func (f *routerActions) Fail(id decide.RequestID) {
	(*sim)(f).finishRequest(id, answer{err: errors.New("failed")})
}
func (f *routerActions) Release(id decide.RequestID) { (*sim)(f).release((*sim)(f).byID[id].id) }
func (f *routerActions) SetTimer(token uint64, at time.Duration) {
	w := (*sim)(f)
	w.after(at-w.now, func() { w.router.Timer(w.now, token) })
}
func (f *routerActions) Probe(string)           {}
func (f *routerActions) RequestServerList(bool) {}

// fakeCaller is a scripted caller.
type fakeCaller struct {
	w            *sim
	name         string
	watches      bool
	answeredPing time.Duration // when the latest answered ping was sent
	seq          uint64
	revoked      map[uint64]bool // revoked grants
	epoch        int             // number of times that all grants were dropped
}

// watch opens a stream of revocations, which stalls and breaks at times.
func (p *fakeCaller) watch() {
	w := p.w
	number, seq, err := w.table.Watch(w.now, p.name)
	if err != nil {
		return
	}
	p.seq, p.answeredPing = seq, w.now
	last := w.now // the stream keeps its order
	send := func(do func()) {
		last = max(last, w.now+w.latency())
		w.after(last-w.now, do)
	}
	connected := true
	var poll, ping func()
	poll = func() { // the router's side
		if !connected {
			return
		}
		revocations, seq, ended := w.table.Next(p.name, number)
		if ended {
			return
		}
		if len(revocations) > 0 {
			send(func() { p.handleRevocations(revocations, seq) })
		}
		w.after(10*ms, poll)
	}
	ping = func() {
		sent := w.now
		w.after(w.latency(), func() {
			if !connected {
				return
			}
			revocations, seq, ended := w.table.Next(p.name, number)
			if !ended {
				send(func() { p.handleRevocations(revocations, seq); p.answeredPing = max(p.answeredPing, sent) })
			}
		})
		if connected && w.now < 15*time.Second {
			w.after(80*ms+w.upTo(20*ms), ping)
		}
	}
	poll()
	ping()
	if w.chance(0.3) {
		w.after(w.upTo(6*time.Second), func() {
			connected = false
			w.table.Unwatch(w.now, p.name, number)
			w.after(w.upTo(time.Second), p.watch)
		})
	} else {
		w.after(15*time.Second, func() { connected = false; w.table.Unwatch(w.now, p.name, number) })
	}
}

func (p *fakeCaller) handleRevocations(revocations []Revocation, seq uint64) {
	for _, r := range revocations {
		if r.Seq != p.seq+1 {
			p.epoch++ // a gap: drop all grants
		}
		p.seq = r.Seq
		p.revoked[r.Grant] = true
	}
	if p.seq != seq {
		p.epoch++
		p.seq = seq
	}
}

// request makes one request and follows it to its end.
func (p *fakeCaller) request(id string, newID bool) {
	w := p.w
	if newID {
		w.requestCount++
	}
	t := &job{fakeCaller: p, id: id, nonIdempotent: w.chance(0.5)}
	if w.chance(0.05) && len(w.callers) > 1 { // another caller uses the same id
		w.after(w.upTo(time.Second), func() { w.callers[w.rng.IntN(len(w.callers))].request(id, false) })
	}
	t.call(0)
}

// job is one request of a fakeCaller.
type job struct {
	*fakeCaller
	id            string
	nonIdempotent bool
	calls         int
	dead          bool // has crashed or forgotten the request
	sent          map[uint64]bool
}

// call asks for a choice, repeatedly if no answer comes.
func (t *job) call(n int) {
	w := t.w
	if t.dead || t.calls > 12 {
		return
	}
	t.calls++
	w.callCount++
	number, sent, done := w.callCount, w.now, false
	w.record(rules.Asked, t.id, "", number, false)
	c := call{n: number, ChooseCall: ChooseCall{Caller: t.name, Request: t.id, Attempt: n, NonIdempotent: t.nonIdempotent}, reply: func(a answer) {
		if !done && !t.dead {
			done = true
			t.handleAnswer(n, sent, a)
		}
	}}
	if t.nonIdempotent {
		c.Class = 1
	}
	if w.chance(0.05) { // the message is lost
		w.after(0, func() { w.record(rules.Disconnected, t.id, "", number, false) })
	} else {
		w.after(w.latency(), func() { c.at = w.now; w.choose(c) })
	}
	w.after(150*ms+w.upTo(1500*ms), func() { // the connection breaks or the caller gives up waiting
		if done || t.dead {
			return
		}
		done = true
		w.record(rules.Disconnected, t.id, "", number, false)
		if l := w.byName[t.id]; l != nil && !l.over && w.table.requests[t.id] != nil && w.table.requests[t.id].caller.name == t.name {
			before := len(l.waiting)
			l.waiting = slices.DeleteFunc(l.waiting, func(c call) bool {
				if c.n == number {
					w.record(rules.Closed, t.id, "", number, false)
				}
				return c.n == number
			})
			if len(l.waiting) == 0 && before > 0 {
				w.table.Detach(w.now, t.id)
			}
		}
		if w.chance(0.9) {
			w.after(w.upTo(200*ms), func() { t.call(n) })
		}
	})
}

// handleAnswer handles an answer to a call.
func (t *job) handleAnswer(n int, sent time.Duration, a answer) {
	w := t.w
	switch {
	case a.err != nil:
		var busy *BusyError
		if errors.As(a.err, &busy) {
			w.after(busy.RetryAfter, func() { t.call(n) })
		} else if errors.Is(a.err, ErrAttemptPending) || w.chance(0.1) {
			w.after(w.upTo(300*ms), func() { t.call(n) })
		} else if errors.Is(a.err, ErrAttemptOrder) && w.chance(0.5) { // the request has ended in the meantime: start again
			w.after(w.upTo(300*ms), func() { t.call(0) })
		}
		return
	case a.state != Offered:
		if a.state == Expired || a.state == Revoked {
			t.report(a.grant, NotSent)
			w.after(w.upTo(100*ms), func() { t.call(n + 1) })
		}
		return
	case t.sent[a.grant]: // a caller acts on a grant once
		return
	}
	epoch := t.epoch
	act := func() { t.act(n, sent, epoch, a) }
	switch draw := w.rng.Float64(); {
	case draw < 0.5:
		act()
	case draw < 0.8: // acts later, from a cache
		w.after(w.upTo(600*ms), act)
	case draw < 0.87: // repeats the call
		w.after(w.upTo(100*ms), func() { t.call(n) })
	case draw < 0.93:
		w.after(w.upTo(200*ms), func() { t.report(a.grant, NotSent); t.call(n + 1) })
	default: // forgets the request
		t.dead = true
	}
}

// act sends the attempt to its worker if the grant is still valid.
func (t *job) act(n int, sent time.Duration, epoch int, a answer) {
	w := t.w
	stale := w.now-sent >= a.valid || t.revoked[a.grant]
	if a.watch {
		stale = stale || epoch != t.epoch || w.now-t.answeredPing > testConfig.WatchTimeout
	}
	if w.variant == "acts on stale answers" {
		stale = false
	}
	if t.dead || t.sent[a.grant] {
		return
	}
	if stale {
		t.report(a.grant, NotSent)
		w.after(w.upTo(100*ms), func() { t.call(n + 1) })
		return
	}
	if t.sent == nil {
		t.sent = make(map[uint64]bool)
	}
	t.sent[a.grant] = true
	w.sendLossy(func() {
		if g := w.table.grants[a.grant]; w.table.TakeUp(w.now, t.name, a.grant) == nil {
			w.record(rules.CallerSeen, g.req.id, "", 0, false)
		}
	})
	ends := sent + a.timeLeft
	w.after(w.upTo(testConfig.MaxDelivery), func() { t.deliver(n, a, ends) })
}

// sendLossy sends a message that may be lost, duplicated or delayed.
func (w *sim) sendLossy(do func()) {
	if w.chance(0.05) {
		return
	}
	w.after(w.latency(), do)
	if w.chance(0.1) {
		w.after(w.latency(), do)
	}
}

func (t *job) report(id uint64, fate Fate) { t.w.sendLossy(func() { t.w.report(t.name, id, fate) }) }

// deliver simulates the attempt at its worker.
func (t *job) deliver(n int, a answer, ends time.Duration) {
	w := t.w
	b := w.workers[slices.IndexFunc(w.workers, func(b *fakeWorker) bool { return b.id == a.worker })]
	next := func() { w.after(w.upTo(50*ms), func() { t.call(n + 1) }) }
	if b.dead {
		t.report(a.grant, NotSent)
		next()
		return
	}
	w.record(rules.Sent, t.id, b.id, 0, false)
	if b.kind == 1 && w.heldStates[t.id] == 0 || w.chance(0.08) {
		t.report(a.grant, TurnedAway)
		next()
		return
	}
	w.record(rules.Opened, t.id, b.id, 0, false)
	open := true
	closeAttempt := func() {
		if open {
			open = false
			w.record(rules.Closed, t.id, b.id, 0, false)
		}
	}
	took := w.upTo(250 * ms)
	if w.chance(0.05) {
		took = 5 * time.Second // hangs
	}
	var renew func()
	renew = func() {
		if !open || t.dead {
			return
		}
		w.after(w.latency(), func() {
			if g := w.table.grants[a.grant]; w.table.Renew(w.now, t.name, a.grant) == nil {
				w.record(rules.CallerSeen, g.req.id, "", 0, false)
			}
		})
		w.after(80*ms+w.upTo(40*ms), renew)
	}
	renew()
	effect := func() {
		w.record(rules.Effect, t.id, b.id, 0, t.nonIdempotent)
		w.ran[t.id] = true
	}
	if w.chance(0.05) { // the caller crashes with its connections
		w.after(w.upTo(took), func() {
			if t.dead = true; open && b.kind == 0 && w.chance(0.3) {
				w.hold(t.id)
			} else if open && b.kind == 1 && w.chance(0.5) {
				effect()
			}
			closeAttempt()
		})
	}
	if w.chance(0.04) {
		w.after(w.upTo(took), func() { t.dead = true }) // the caller forgets it, but the connection stays open
	}
	reset := w.chance(0.08)
	w.after(min(took, max(0, ends-w.now)), func() {
		if !open {
			return
		}
		defer closeAttempt()
		switch {
		case w.now >= ends || b.dead || reset: // no response: cancelled or broken
			if b.kind == 1 && w.chance(0.5) {
				effect()
			} else if b.kind == 0 && !b.dead && w.chance(0.2) {
				w.hold(t.id)
			}
			if !t.dead {
				t.report(a.grant, Ran)
				next()
			}
		case b.kind == 0:
			w.hold(t.id)
			if !t.dead {
				t.report(a.grant, Read)
				next()
			}
		default:
			w.heldStates[t.id] = 0
			w.record(rules.Released, t.id, "", 0, false)
			w.servedCount++
			effect()
			if !t.dead {
				t.report(a.grant, Begun)
			}
		}
	})
}

func (w *sim) hold(id string) {
	w.heldStates[id]++
	w.record(rules.Held, id, "", 0, false)
}

func explore(seed uint64, variant string) (*sim, []rules.Violation) {
	w := newSimulation(seed, variant)
	return w, w.run()
}

// seedRange returns the range of seeds to run, or a single one given by ROWANYARD_SEED to reproduce a failure.
func seedRange(n uint64) (from, to uint64) {
	if s, err := strconv.ParseUint(os.Getenv("ROWANYARD_SEED"), 10, 64); err == nil {
		return s, s + 1
	}
	return 0, n
}

// Thousands of random runs break no rule. A failure prints its seed; ROWANYARD_SEED runs that seed alone and prints its
// log.
func TestExploreSeeds(t *testing.T) {
	from, to := seedRange(3000)
	servedCount, requestCount, ended := 0, 0, time.Now().Add(2*time.Minute)
	for seed := from; seed < to; seed++ {
		if time.Now().After(ended) {
			t.Logf("time is up after %d seeds", seed-from)
			break
		}
		w, broken := explore(seed, "")
		servedCount, requestCount = servedCount+w.servedCount, requestCount+w.requestCount
		if len(broken) > 0 {
			t.Errorf("seed %d: %v", seed, broken)
			if to == from+1 {
				for _, e := range w.log {
					t.Log(e)
				}
				for _, e := range w.trace {
					t.Log(e)
				}
			}
			return
		}
		if n := len(w.table.requests) + w.table.releasing; n > 0 {
			t.Errorf("seed %d: %d requests left in the table", seed, n)
		}
	}
	if to > from+1 && servedCount < requestCount/6 {
		t.Errorf("only %d of %d requests were served", servedCount, requestCount)
	}
	t.Logf("%d of %d requests served", servedCount, requestCount)
}

// The same seed gives an identical run.
func TestExploreIsDeterministic(t *testing.T) {
	for seed := range uint64(50) {
		sum := func() [32]byte {
			w, _ := explore(seed, "")
			return sha256.Sum256([]byte(fmt.Sprint(w.log, w.trace)))
		}
		if sum() != sum() {
			t.Fatalf("seed %d: two runs differ", seed)
		}
	}
}

// Each deliberately broken variant breaks its rule for some seed, and the checker names that rule.
func TestExploreCatchesBrokenVariants(t *testing.T) {
	for variant, rule := range map[string]string{"forgets effects": "effect", "ignores drains": "drain",
		"acts on stale answers": "drain", "never releases": "hold", "answers twice": "one answer"} {
		caught := false
		for seed := uint64(0); seed < 1000 && !caught; seed++ {
			_, broken := explore(seed, variant)
			caught = slices.ContainsFunc(broken, func(b rules.Violation) bool { return b.Rule == rule })
		}
		if !caught {
			t.Errorf("%q breaks no rule on %q", variant, rule)
		}
	}
}
