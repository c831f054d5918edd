// Package decisions serves proxies that carry requests themselves and ask where each attempt may go. This file owns
// the way between a grant.Table, which says what callers may act on, and the core, which lives each request: the core's
// attempts become grants, callers' reports become results.
//
// It must never choose a worker, nor let a caller act where the Table or the core says no. It is off unless an
// operator's file turns it on.
package decisions

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	otelcodes "go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"rowanyard/decide"
	"rowanyard/internal/core"
	"rowanyard/internal/grant"
	"rowanyard/internal/httpfront"
)

const (
	keepFinals  = 4096                   // final answers that are kept for callers that did not wait for them ...
	finalFor    = 30 * time.Second       // ... so long
	longestHint = time.Minute            // an answer whose caller does not tell of its end counts for no longer
	sweepWait   = 250 * time.Millisecond // a release that sweeps up after a caller
)

// Desk glues grants to the core. All fronts that let others carry attempts share one.
type Desk struct {
	core    *core.Core
	workers *httpfront.Workers
	log     *slog.Logger
	terms   grant.Terms
	start   time.Time
	seen    Seen
	moved   sync.Mutex // serializes moves, so that the latest look at the core holds

	mu       sync.Mutex
	table    *grant.Table
	sessions map[string]*session
	finals   map[string]final
	order    []string // of finals, the oldest first
	ticking  bool
	streams  map[uint64]*stream // answers that callers relay, by grant
	watchers map[string]chan struct{}
}

// Seen is told what operators measure; see package measure. Nil fields are not told.
type Seen struct {
	Granted func(stage string, wait time.Duration) // from the call to its answer
	Refused func(reason string)
	Ended   func(state grant.State, age time.Duration)
	Revoked func(delay time.Duration) // from the drain's news to the stream
	Tracer  trace.Tracer              // of requests through caller, grants, attempts and end
}

// session is one request that a caller carries.
type session struct {
	id       string
	caller   string
	readHere bool
	oneWrite bool // after the first grant there is no other
	span     trace.Span
	over     chan error              // takes how the request ended, nil: its answer has begun
	stop     context.CancelCauseFunc // the caller is gone
	free     func()                  // gives its id back
	next     *offer                  // chosen and not granted
	out      *offer                  // granted and not reported
	begun    uint64                  // the grant of which its caller said that the answer has begun, 0 = none
	turn     *turn                   // the call that waits, nil = none
	first    time.Duration           // how long its answer is likely to take
}

// turn is a choice that calls wait for.
type turn struct {
	done  chan struct{}
	calls int
	grant *grant.Grant
	to    core.Worker
	err   error
}

// offer is an attempt of the core's that the caller is to carry.
type offer struct {
	core.Attempt
	grant  *grant.Grant
	result chan core.Result
}

// final is the last answer to a request.
type final struct {
	caller string
	err    error
	at     time.Time
}

// stream is an answer that a caller relays. It is there from the caller's report of its beginning on: the core hears of that
// a little later, and the report of its end may come in between.
type stream struct {
	caller string
	ended  func(decide.Status) // nil until the core has heard of the beginning
	over   decide.Status       // how it had ended before that, 0 = it had not
	timer  *time.Timer
}

// Answers that are final. Errors of a Desk are these, those of package grant, or wrap them.
var (
	ErrFailed = errors.New("failed, it may have run")
	ErrGone   = errors.New("the caller ended it")
	errSilent = errors.New("the caller gives no sign")
)

// Refused is a final answer: nothing has run.
type Refused struct{ After time.Duration }

func (r *Refused) Error() string { return "refused, nothing has run" }

// NewDesk returns a Desk. It must be made before the core hears of workers that move.
func NewDesk(c *core.Core, w *httpfront.Workers, terms grant.Terms, seen Seen, log *slog.Logger) (*Desk, error) {
	d := &Desk{core: c, workers: w, log: log, terms: terms, start: time.Now(), seen: seen, sessions: make(map[string]*session),
		finals: make(map[string]final), streams: make(map[uint64]*stream), watchers: make(map[string]chan struct{})}
	if d.seen.Tracer == nil {
		d.seen.Tracer = noop.NewTracerProvider().Tracer("")
	}
	var err error
	if d.table, err = grant.New(terms, 0, d.note); err != nil {
		return nil, err
	}
	c.Moved = d.move
	return d, nil
}

func (d *Desk) now() time.Duration { return time.Since(d.start) }

// note takes a step of the Table's.
func (d *Desk) note(e grant.Event) {
	d.log.Debug("grant", "step", string(e.Step), "caller", e.Caller, "request", e.Request, "attempt", e.Attempt, "grant", e.Grant,
		"worker", e.Worker, "state", e.State.String(), "err", e.Err)
	if e.Err != nil && d.seen.Refused != nil {
		d.seen.Refused(Reason(e.Err))
	}
	if e.Grant != 0 && e.Err == nil && (e.Step == grant.StepReport || e.Step == grant.StepExpire || e.Step == grant.StepRevoke) && d.seen.Ended != nil {
		d.seen.Ended(e.State, e.At-e.Since)
	}
}

// move takes the news that workers have begun or ceased to take new work.
func (d *Desk) move(ids []string) {
	d.moved.Lock()
	defer d.moved.Unlock()
	for _, id := range ids {
		wanted := d.core.Wanted(id)
		d.mu.Lock()
		if wanted {
			d.table.Open(id)
		} else {
			revoked := d.table.Close(d.now(), id, "takes nothing new")
			for _, g := range revoked {
				if wake := d.watchers[g.Caller()]; wake != nil {
					select {
					case wake <- struct{}{}:
					default:
					}
				}
			}
		}
		d.mu.Unlock()
	}
}

// Ask is a caller's call for a choice.
type Ask struct {
	grant.Ask
	Called   time.Time // when the call came in
	Query    decide.Request
	Exchange *httpfront.Exchange // how the router itself speaks to workers for it
	ReadHere bool                // the router has the prompt read
	Attached bool                // the caller's wire tells when it leaves
	OneWrite bool                // the caller can carry one attempt at most
	Fresh    bool                // the call comes once: the same words again are another request's
}

// Choose answers a call for a choice: a grant, or an error. It waits for as long as ctx lasts.
func (d *Desk) Choose(ctx context.Context, a Ask) (grant.Grant, core.Worker, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	same, pending, err := d.table.Begin(now, a.Ask)
	s := d.sessions[a.Request]
	if err == nil && a.Fresh && (same != nil || pending) {
		err = fmt.Errorf("%w: its id is open already", grant.ErrOther)
	}
	switch {
	case err != nil:
		if f, ok := d.finals[a.Request]; ok && f.caller == a.Caller && a.Attempt > 0 && errors.Is(err, grant.ErrOrder) {
			err = f.err
		}
		return grant.Grant{}, core.Worker{}, err
	case same != nil:
		w, _ := d.core.Worker(same.Worker)
		return *same, w, nil
	case pending:
	case a.Attempt == 0:
		if s, err = d.begin(a); err != nil {
			d.table.Turn(now, a.Request)
			return grant.Grant{}, core.Worker{}, err
		}
	default:
		s.turn = &turn{done: make(chan struct{})}
		d.pump(s)
	}
	t := s.turn
	if t == nil { // it was answered by the pump
		same, w := d.table.Latest(a.Request), core.Worker{}
		if same == nil {
			return grant.Grant{}, w, ErrFailed
		}
		w, _ = d.core.Worker(same.Worker)
		return *same, w, nil
	}
	t.calls++
	d.mu.Unlock()
	select {
	case <-t.done:
	case <-ctx.Done():
	}
	d.mu.Lock()
	t.calls--
	select {
	case <-t.done:
	default: // its caller has left; the choice goes on for as long as its silence may last
		if t.calls == 0 && s.turn == t {
			// What the router carries itself must not begin for a caller that has gone, and it has been told of nothing yet.
			if s.readHere && d.table.Latest(s.id) == nil {
				s.stop(ErrGone)
			}
			d.table.Detach(d.now(), s.id)
			d.tick()
		}
		return grant.Grant{}, core.Worker{}, ErrGone
	}
	if t.err != nil {
		return grant.Grant{}, core.Worker{}, t.err
	}
	if d.seen.Granted != nil {
		d.seen.Granted(stageName(t.grant.Read), time.Since(a.Called))
	}
	return *t.grant, t.to, nil
}

func stageName(read bool) string {
	if read {
		return "read"
	}
	return "write"
}

// begin starts a request's life in the core.
func (d *Desk) begin(a Ask) (*session, error) {
	free, ok := d.core.Claim(a.Request)
	if !ok {
		return nil, fmt.Errorf("%w: it is open at another front", grant.ErrOther)
	}
	ctx, stop := context.WithCancelCause(context.Background())
	s := &session{id: a.Request, caller: a.Caller, readHere: a.ReadHere, oneWrite: a.OneWrite, over: make(chan error, 1), stop: stop, free: free,
		turn: &turn{done: make(chan struct{})}, first: a.Query.Hint}
	_, s.span = d.seen.Tracer.Start(ctx, "request", trace.WithAttributes(attribute.String("caller", a.Caller),
		attribute.String("request", a.Request), attribute.Int("class", a.Class)))
	d.sessions[s.id] = s
	if a.Attached {
		d.table.Attach(s.id)
	}
	d.tick()
	go d.live(ctx, s, a)
	return s, nil
}

// live is one request's life at the desk, from its first call to its final answer.
func (d *Desk) live(ctx context.Context, s *session, a Ask) {
	answer := d.core.Serve(ctx, a.Query, &carrier{Exchange: a.Exchange, desk: d, session: s})
	s.stop(ErrGone)
	s.free()
	d.mu.Lock()
	defer d.mu.Unlock()
	var err error
	if answer.Verdict != core.Streaming {
		delete(d.streams, s.begun) // the answer began too late
	}
	switch answer.Verdict {
	case core.Streaming:
		d.relays(s, answer)
	case core.Refused:
		err = &Refused{answer.RetryAfter}
	case core.Gone:
		err = ErrGone
		if why := context.Cause(ctx); why != nil && !errors.Is(why, errSilent) {
			err = why
		}
	default:
		err = ErrFailed
	}
	if d.sessions[s.id] == s {
		delete(d.sessions, s.id)
		d.table.End(d.now(), s.id)
		if err != nil {
			d.keep(s, err)
		}
	}
	if err != nil {
		s.span.SetStatus(otelcodes.Error, Reason(err))
	}
	s.span.SetAttributes(attribute.String("end", verdicts[answer.Verdict]))
	s.span.End()
	s.over <- err
	if err == nil {
		err = ErrFailed // nobody can wait for a choice any more
	}
	d.answer(s, nil, core.Worker{}, err)
}

var verdicts = map[core.Verdict]string{core.Streaming: "begun", core.Refused: "refused", core.Failed: "failed", core.Gone: "gone"}

// Over tells how an open request ends, once: nil means that its answer has begun. nil for a request that is not open.
func (d *Desk) Over(request string) <-chan error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.sessions[request]; s != nil {
		return s.over
	}
	return nil
}

// keep remembers a final answer for a caller that was not there to hear it.
func (d *Desk) keep(s *session, err error) {
	for len(d.order) > 0 && (len(d.order) >= keepFinals || time.Since(d.finals[d.order[0]].at) > finalFor) {
		delete(d.finals, d.order[0])
		d.order = d.order[1:]
	}
	if _, ok := d.finals[s.id]; !ok {
		d.order = append(d.order, s.id)
	}
	d.finals[s.id] = final{s.caller, err, time.Now()}
}

// answer ends the turn of a session.
func (d *Desk) answer(s *session, g *grant.Grant, to core.Worker, err error) {
	if t := s.turn; t != nil {
		s.turn = nil
		t.grant, t.to, t.err = g, to, err
		if g != nil {
			same := *g
			t.grant = &same
		}
		close(t.done)
	}
}

// pump grants what the core has chosen to the call that waits for it.
func (d *Desk) pump(s *session) {
	o := s.next
	if o == nil || s.turn == nil || d.sessions[s.id] != s {
		return
	}
	s.next = nil
	if !o.Allowed() {
		o.result <- core.Result{Status: decide.Moot}
		return
	}
	g, err := d.table.Offer(d.now(), s.id, o.To.ID, o.Read, o.Remaining())
	var busy *grant.Busy
	switch {
	case errors.As(err, &busy): // the ledger has no room: the request is refused, nothing has run
		s.stop(&Refused{busy.After})
	case err != nil:
		o.result <- core.Result{Status: decide.Moot, Err: err}
	default:
		o.grant, s.out = g, o
		d.answer(s, g, o.To, nil)
		d.tick()
	}
}

// Report takes what became of a grant.
func (d *Desk) Report(caller string, id uint64, fate grant.Fate, result core.Result, over bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	g := d.table.Grant(id)
	if err := d.table.Report(now, caller, id, fate, false); err != nil {
		return err
	}
	s := d.sessions[g.Request()]
	if s == nil {
		return nil
	}
	if o := s.out; o != nil && o.grant == g {
		s.out = nil
		if fate == grant.Begun {
			s.begun = id
			d.streams[id] = &stream{caller: caller}
		}
		o.result <- result
	}
	if over && fate != grant.Begun {
		d.forget(s, ErrGone)
	}
	d.tick()
	return nil
}

// forget ends a request whose caller wants nothing more.
func (d *Desk) forget(s *session, why error) {
	if d.sessions[s.id] == s {
		delete(d.sessions, s.id)
		d.table.End(d.now(), s.id)
	}
	s.stop(why)
}

// Leave says that an attached caller is gone: what is held for the request goes at once.
func (d *Desk) Leave(request string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.sessions[request]; s != nil {
		d.forget(s, ErrGone)
	}
}

// TakeUp notes that the caller sends, Renew that what is held for a grant is wanted. They return the grant as it
// stands then.
func (d *Desk) TakeUp(caller string, id uint64) (grant.Grant, error) {
	return d.step(id, func(now time.Duration) error { return d.table.TakeUp(now, caller, id) })
}

// Renew is described at TakeUp.
func (d *Desk) Renew(caller string, id uint64) (grant.Grant, error) {
	return d.step(id, func(now time.Duration) error { return d.table.Renew(now, caller, id) })
}

func (d *Desk) step(id uint64, do func(time.Duration) error) (grant.Grant, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := do(d.now()); err != nil {
		return grant.Grant{}, err
	}
	return *d.table.Grant(id), nil
}

// Valid is for how long, counted from a call, what the Table says until a time holds.
func (d *Desk) Valid(g grant.Grant, called time.Time) time.Duration {
	return g.Valid(called.Sub(d.start))
}

// Within is for how long, counted from a call, the attempt may go on.
func (d *Desk) Within(g grant.Grant, called time.Time) time.Duration {
	return max(0, g.Ends-called.Sub(d.start))
}

// tick sees to it that what is due is handed out, for as long as anything can be.
func (d *Desk) tick() {
	if d.ticking {
		return
	}
	d.ticking = true
	time.AfterFunc(d.terms.Tick, d.advance)
}

func (d *Desk) advance() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ticking = false
	for _, a := range d.table.Advance(d.now()) {
		s := d.sessions[a.Request]
		switch {
		case a.Kind == grant.Sweep:
			go d.sweep(a.Request)
		case s == nil:
		case a.Kind == grant.Lapse:
			if o := s.out; o != nil && o.grant == a.Grant {
				s.out = nil
				o.result <- core.Result{Status: decide.TimedOut}
			}
		case a.Kind == grant.Forsake:
			d.log.Info("forsaken", "caller", s.caller, "request", s.id)
			delete(d.sessions, s.id)
			s.stop(errSilent)
		}
	}
	if d.table.Busy() {
		d.tick()
	}
}

// sweep lets go, at any worker, of a state that a read of unknown fate may have left after its request was over.
func (d *Desk) sweep(id string) {
	d.core.ReleaseAnywhere(sweepWait, func(ctx context.Context, at core.Worker) error { return d.workers.Release(ctx, at, id) })
}

// relays has an answer that a caller relays count at its writer until its end, or as long as it is likely to take.
func (d *Desk) relays(s *session, answer core.Answer) {
	id := s.begun
	x := d.streams[id]
	if x.over != 0 {
		delete(d.streams, id)
		go answer.Ended(x.over)
		return
	}
	long := min(s.first, longestHint)
	if s.oneWrite { // its wire tells
		long = time.Hour
	} else if len(d.streams) > d.terms.Open { // guards the memory against callers that never say that answers end
		delete(d.streams, id)
		go answer.Ended(decide.Served)
		return
	}
	x.ended = answer.Ended
	x.timer = time.AfterFunc(long, func() { d.Ended(s.caller, id, decide.Served) })
}

// Ended takes the news of how an answer has come to its end.
func (d *Desk) Ended(caller string, id uint64, how decide.Status) error {
	d.mu.Lock()
	x := d.streams[id]
	if x == nil || x.caller != caller || x.over != 0 {
		d.mu.Unlock()
		return grant.ErrUnknown
	}
	if x.ended == nil { // the core has not heard of its beginning yet: relays sees to the end
		x.over = how
		d.mu.Unlock()
		return nil
	}
	delete(d.streams, id)
	d.mu.Unlock()
	x.timer.Stop()
	x.ended(how)
	return nil
}

// Table gives f the Table, which it must not keep.
func (d *Desk) Table(f func(now time.Duration, t *grant.Table)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.now(), d.table)
}

// carrier leaves attempts to the caller, but for reads that the router is to make itself.
type carrier struct {
	*httpfront.Exchange
	desk    *Desk
	session *session
}

// Try implements core.Carrier.
func (c *carrier) Try(ctx context.Context, a core.Attempt) core.Result {
	_, span := c.desk.seen.Tracer.Start(trace.ContextWithSpan(ctx, c.session.span), "attempt", trace.WithAttributes(
		attribute.Int("attempt", a.Number), attribute.String("worker", a.To.ID), attribute.String("stage", stageName(a.Read)),
		attribute.Bool("here", a.Read && c.session.readHere)))
	defer span.End()
	r := c.try(ctx, a)
	span.SetAttributes(attribute.Int("status", int(r.Status)))
	if r.Err != nil {
		span.RecordError(r.Err)
	}
	return r
}

func (c *carrier) try(ctx context.Context, a core.Attempt) core.Result {
	d, s := c.desk, c.session
	if a.Read && s.readHere {
		return c.Exchange.Try(ctx, a)
	}
	o := &offer{Attempt: a, result: make(chan core.Result, 1)}
	d.mu.Lock()
	if s.oneWrite && d.table.Latest(s.id) != nil { // the caller has let go of the request with its first write
		d.mu.Unlock()
		return core.Result{Status: decide.Moot}
	}
	s.next = o
	d.pump(s)
	d.mu.Unlock()
	select {
	case r := <-o.result:
		if r.Status == 0 {
			r.Stream = o
		}
		return r
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if s.next == o {
		s.next = nil
	}
	if s.out == o {
		s.out = nil
	}
	if o.grant == nil {
		return core.Result{Status: decide.Moot}
	}
	select {
	case r := <-o.result: // it came with the end
		if r.Status == 0 {
			r.Stream = o
		}
		return r
	default:
	}
	d.table.Withdraw(d.now(), o.grant.ID)
	d.tick()
	return core.Result{Status: decide.Cancelled}
}

// Reason names why a call was refused, in one word for metrics and logs.
func Reason(err error) string {
	for is, name := range reasons {
		if errors.Is(err, is) {
			return name
		}
	}
	var r *Refused
	if errors.As(err, &r) {
		return "refused"
	}
	return "other"
}

var reasons = map[error]string{grant.ErrID: "id", grant.ErrUnknown: "unknown", grant.ErrOther: "another_caller", grant.ErrOrder: "order",
	grant.ErrPending: "pending", grant.ErrState: "state", grant.ErrMayHaveRun: "may_have_run", grant.ErrDraining: "draining",
	grant.ErrBusy: "busy", grant.ErrCallers: "callers", grant.ErrLedger: "ledger", grant.ErrClass: "class",
	ErrFailed: "failed", ErrGone: "gone"}
