// Package decisions serves proxies that carry requests themselves and ask the router where each attempt may go. A
// Coordinator connects a grant.Table, which decides what callers may act on, with the core, which manages the life of each
// request: attempts of the core become grants, and reports of callers become results of attempts. Server exposes it as the
// gRPC service rowanyard.v1.Decisions.
//
// Workers are chosen by the core; the package never lets a caller act where the Table or the core does not allow it. The
// service is disabled unless the operator's file enables it.
package decisions

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	otelcodes "go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"rowanyard/decide"
	"rowanyard/internal/core"
	"rowanyard/internal/effectlog"
	"rowanyard/internal/grant"
	"rowanyard/internal/httpfront"
	"rowanyard/internal/openids"
)

const (
	maxFinalAnswers        = 4096                   // final answers that are kept for callers that did not wait for them
	finalAnswerLifetime    = 30 * time.Second       // how long they are kept
	maxStreamEstimate      = time.Minute            // a stream whose caller does not report its end counts for no longer
	leftoverReleaseTimeout = 250 * time.Millisecond // for each worker asked to release the state of an abandoned read
	maxFirstGrantID        = 1 << 63                // leaves as many numbers as a process can ever use
)

// Coordinator connects grants to the core. All fronts that let callers carry attempts share one.
type Coordinator struct {
	core           *core.Core
	workers        *httpfront.Workers
	log            *slog.Logger
	config         grant.Config
	start          time.Time
	observer       Observer
	availabilityMu sync.Mutex // serializes workersChanged, so that the latest state read from the core wins

	mu               sync.Mutex
	table            *grant.Table
	delegations      map[string]*delegation
	finals           map[string]finalAnswer
	finalOrder       []string // keys of finals, oldest first
	advanceScheduled bool
	streams          map[uint64]*stream       // responses relayed by callers, by grant
	effects          *effectlog.Log           // shared with other processes of the router
	watchers         map[string]chan struct{} // wakes the stream of each caller that watches
}

// Observer receives measurements; see package measure. Nil fields are skipped.
type Observer struct {
	Granted func(stage string, wait time.Duration) // wait is the time from the call to its answer
	Refused func(reason string)
	Ended   func(state grant.State, age time.Duration)
	Revoked func(delay time.Duration) // delay is the time from learning of the drain to sending the revocation
	Tracer  trace.Tracer              // traces each request: its caller, grants, attempts and end
}

// delegation is a request whose attempts are carried by a caller.
type delegation struct {
	id           string
	caller       string
	readHere     bool
	singleWrite  bool // there is only one grant
	unsafe       bool // it must not run twice
	span         trace.Span
	outcome      chan error              // receives how the request ended; nil means that its response has started
	cancel       context.CancelCauseFunc // called when the caller has gone
	releaseID    func()                  // frees the request's id in the core
	chosenOffer  *offer                  // chosen but not yet granted
	grantedOffer *offer                  // granted but not yet reported
	startedGrant uint64                  // the grant for which the caller reported the start of the response, 0 if none
	choice       *choice                 // the choice that calls are waiting for, nil if none
	estimate     time.Duration           // expected duration of the response
}

// choice is a pending choice that one or more calls wait for.
type choice struct {
	done    chan struct{}
	waiters int
	grant   *grant.Grant
	worker  core.Worker
	err     error
}

// offer is an attempt of the core that the caller is to carry.
type offer struct {
	core.Attempt
	grant  *grant.Grant
	result chan core.Result
}

// finalAnswer is the final answer to a request.
type finalAnswer struct {
	caller string
	err    error
	at     time.Time
}

// stream is a response that a caller relays. It exists from the caller's report of its start. The core learns of the start
// slightly later, and the report of the end may arrive in between.
type stream struct {
	caller    string
	onEnd     func(decide.Status) // nil until the core has learned of the start
	endStatus decide.Status       // how it ended before the core had learned of its start, 0 if it had not
	timer     *time.Timer
}

// Final answers. The errors of a Coordinator are or wrap these, Refused or the errors of package grant.
var (
	ErrFailed       = errors.New("failed, it may have run")
	ErrCallerGone   = errors.New("the caller ended it")
	errCallerSilent = errors.New("the caller gives no sign")
)

// Refused is the final answer to a request that was refused and has not run.
type Refused struct{ RetryAfter time.Duration }

// Error returns the same text for every refusal, without the retry delay.
func (r *Refused) Error() string { return "refused, nothing has run" }

// NewCoordinator returns a Coordinator. It must be called before the core starts to report changes of workers.
func NewCoordinator(c *core.Core, w *httpfront.Workers, config grant.Config, observer Observer, log *slog.Logger) (*Coordinator, error) {
	d := &Coordinator{core: c, workers: w, log: log, config: config, start: time.Now(), observer: observer, delegations: make(map[string]*delegation),
		finals: make(map[string]finalAnswer), streams: make(map[uint64]*stream), watchers: make(map[string]chan struct{}), effects: &effectlog.Log{}}
	if d.observer.Tracer == nil {
		d.observer.Tracer = noop.NewTracerProvider().Tracer("")
	}
	// The process before this one, or beside it, has given other numbers to its grants: a late report on one of them names no
	// grant here.
	config.LastGrantID = rand.Uint64N(maxFirstGrantID)
	var err error
	if d.table, err = grant.New(config, 0, d.observeStep); err != nil {
		return nil, err
	}
	c.OnAvailabilityChange = d.workersChanged
	return d, nil
}

func (d *Coordinator) now() time.Duration { return time.Since(d.start) }

// observeStep logs and measures a step of the Table.
func (d *Coordinator) observeStep(e grant.Event) {
	d.log.Debug("grant", "step", string(e.Step), "caller", e.Caller, "request", e.Request, "attempt", e.Attempt, "grant", e.Grant,
		"worker", e.Worker, "state", e.State.String(), "err", e.Err)
	if e.Err != nil && d.observer.Refused != nil {
		d.observer.Refused(Reason(e.Err))
	}
	if e.Grant != 0 && e.Err == nil && (e.Step == grant.StepReport || e.Step == grant.StepExpire || e.Step == grant.StepRevoke) && d.observer.Ended != nil {
		d.observer.Ended(e.State, e.At-e.Since)
	}
}

// workersChanged opens and closes workers in the Table after the core has changed whether they may be sent new requests.
func (d *Coordinator) workersChanged(ids []string) {
	d.availabilityMu.Lock()
	defer d.availabilityMu.Unlock()
	for _, id := range ids {
		accepts := d.core.AcceptsWork(id)
		d.mu.Lock()
		if accepts {
			d.table.OpenWorker(id)
		} else {
			revoked := d.table.CloseWorker(d.now(), id, "takes nothing new")
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

// ChooseCall is a caller's call for a choice.
type ChooseCall struct {
	grant.ChooseCall
	Called      time.Time // when the call arrived
	Query       decide.Request
	Exchange    *httpfront.Exchange // how the router itself talks to workers for the request
	ReadHere    bool                // the router carries the reads
	Attached    bool                // the caller's transport reports when it leaves
	SingleWrite bool                // the caller can carry at most one attempt
	NoRepeat    bool                // the caller never repeats a call: an identical one belongs to another request
}

// Choose answers a call for a choice with a grant and its worker, or with an error. It waits until ctx is done.
func (d *Coordinator) Choose(ctx context.Context, a ChooseCall) (grant.Grant, core.Worker, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	same, pending, err := d.table.Begin(now, a.ChooseCall)
	s := d.delegations[a.Request]
	if err == nil && a.NoRepeat && (same != nil || pending) {
		err = fmt.Errorf("%w: its id is open already", grant.ErrOtherCaller)
	}
	switch {
	case err != nil:
		if f, ok := d.finals[a.Request]; ok && f.caller == a.Caller && a.Attempt > 0 && errors.Is(err, grant.ErrAttemptOrder) {
			err = f.err
		}
		return grant.Grant{}, core.Worker{}, err
	case same != nil:
		w, _ := d.core.Worker(same.Worker)
		return *same, w, nil
	case pending:
	case a.Attempt == 0:
		if s, err = d.begin(a); err != nil {
			d.table.CancelChoice(now, a.Request)
			return grant.Grant{}, core.Worker{}, err
		}
	default:
		s.choice = &choice{done: make(chan struct{})}
		d.offerPending(s)
	}
	t := s.choice
	if t == nil { // offerPending has already answered it
		same, w := d.table.LatestGrant(a.Request), core.Worker{}
		if same == nil {
			return grant.Grant{}, w, ErrFailed
		}
		w, _ = d.core.Worker(same.Worker)
		return *same, w, nil
	}
	t.waiters++
	d.mu.Unlock()
	select {
	case <-t.done:
	case <-ctx.Done():
	}
	d.mu.Lock()
	t.waiters--
	select {
	case <-t.done:
	default: // the caller has left; the choice goes on for as long as a caller may be silent
		if t.waiters == 0 && s.choice == t {
			// No read may start at the router for a caller that has left, and the caller has not received a grant yet.
			if s.readHere && d.table.LatestGrant(s.id) == nil {
				s.cancel(ErrCallerGone)
			}
			d.table.Detach(d.now(), s.id)
			d.scheduleAdvance()
		}
		return grant.Grant{}, core.Worker{}, ErrCallerGone
	}
	if t.err != nil {
		return grant.Grant{}, core.Worker{}, t.err
	}
	if d.observer.Granted != nil {
		d.observer.Granted(stageName(t.grant.Read), time.Since(a.Called))
	}
	return *t.grant, t.worker, nil
}

func stageName(read bool) string {
	if read {
		return "read"
	}
	return "write"
}

// begin registers a request and starts to serve it in the core.
func (d *Coordinator) begin(a ChooseCall) (*delegation, error) {
	if !d.core.Admits(a.Request, a.Called, nil) { // its grants and their reports are known to this process alone
		return nil, &Refused{d.core.BusyRetryAfter()}
	}
	releaseID, err := d.core.ClaimID(a.Request, a.Class, true) // what may have run is in the ledger of effects
	switch {
	case errors.Is(err, openids.ErrOpen):
		return nil, fmt.Errorf("%w: it %w, at another front or in another process", grant.ErrOtherCaller, err)
	case err != nil:
		d.log.Info("refused", "why", err, "txn", a.Request)
		return nil, &Refused{d.core.BusyRetryAfter()}
	}
	if err := d.checkEffects(a); err != nil {
		releaseID()
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	s := &delegation{id: a.Request, caller: a.Caller, readHere: a.ReadHere, singleWrite: a.SingleWrite, unsafe: a.NonIdempotent, outcome: make(chan error, 1), cancel: cancel, releaseID: releaseID,
		choice: &choice{done: make(chan struct{})}, estimate: a.Query.DurationHint}
	_, s.span = d.observer.Tracer.Start(ctx, "request", trace.WithAttributes(attribute.String("caller", a.Caller),
		attribute.String("request", a.Request), attribute.Int("class", a.Class)))
	d.delegations[s.id] = s
	if a.Attached {
		d.table.Attach(s.id)
	}
	d.scheduleAdvance()
	go d.serve(ctx, s, a)
	return s, nil
}

// serve runs a request in the core, from its first call to its final answer.
func (d *Coordinator) serve(ctx context.Context, s *delegation, a ChooseCall) {
	answer := d.core.Serve(ctx, a.Query, &delegatedTransport{Exchange: a.Exchange, coordinator: d, delegation: s})
	s.cancel(ErrCallerGone)
	d.mu.Lock()
	defer d.mu.Unlock()
	var err error
	if answer.Verdict != core.Streaming {
		s.releaseID()
		delete(d.streams, s.startedGrant) // the start was reported too late
	}
	switch answer.Verdict {
	case core.Streaming:
		d.trackStream(s, answer)
	case core.Refused:
		err = &Refused{answer.RetryAfter}
	case core.ClientGone:
		err = ErrCallerGone
		if why := context.Cause(ctx); why != nil && !errors.Is(why, errCallerSilent) {
			err = why
		}
	default:
		err = ErrFailed
	}
	if d.delegations[s.id] == s {
		delete(d.delegations, s.id)
		d.table.End(d.now(), s.id)
		if err != nil {
			d.keepFinal(s, err)
		}
	}
	if err != nil {
		s.span.SetStatus(otelcodes.Error, Reason(err))
	}
	s.span.SetAttributes(attribute.String("end", verdictNames[answer.Verdict]))
	s.span.End()
	s.outcome <- err
	if err == nil {
		err = ErrFailed // no call can wait for a choice any more
	}
	d.answer(s, nil, core.Worker{}, err)
}

var verdictNames = map[core.Verdict]string{core.Streaming: "begun", core.Refused: "refused", core.Failed: "failed", core.ClientGone: "gone"}

// Outcome returns a channel that receives once how an open request ends; nil means that its response has started. It
// returns nil if the request is not open.
func (d *Coordinator) Outcome(request string) <-chan error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.delegations[request]; s != nil {
		return s.outcome
	}
	return nil
}

// keepFinal keeps a final answer for a caller that was not waiting for it.
func (d *Coordinator) keepFinal(s *delegation, err error) {
	for len(d.finalOrder) > 0 && (len(d.finalOrder) >= maxFinalAnswers || time.Since(d.finals[d.finalOrder[0]].at) > finalAnswerLifetime) {
		delete(d.finals, d.finalOrder[0])
		d.finalOrder = d.finalOrder[1:]
	}
	if _, ok := d.finals[s.id]; !ok {
		d.finalOrder = append(d.finalOrder, s.id)
	}
	d.finals[s.id] = finalAnswer{s.caller, err, time.Now()}
}

// answer completes the pending choice of a request, if there is one.
func (d *Coordinator) answer(s *delegation, g *grant.Grant, worker core.Worker, err error) {
	if t := s.choice; t != nil {
		s.choice = nil
		t.grant, t.worker, t.err = g, worker, err
		if g != nil {
			copied := *g
			t.grant = &copied
		}
		close(t.done)
	}
}

// offerPending grants the attempt that the core has chosen to the calls that wait for it.
func (d *Coordinator) offerPending(s *delegation) {
	o := s.chosenOffer
	if o == nil || s.choice == nil || d.delegations[s.id] != s {
		return
	}
	s.chosenOffer = nil
	if !o.MaySend() {
		o.result <- core.Result{Status: decide.Unsent}
		return
	}
	g, err := d.offer(s, o)
	var busy *grant.BusyError
	switch {
	case errors.As(err, &busy): // the ledger is full: the request is refused, nothing has run
		s.cancel(&Refused{busy.RetryAfter})
	case err != nil:
		o.result <- core.Result{Status: decide.Unsent, Err: err}
	default:
		o.grant, s.grantedOffer = g, o
		d.answer(s, g, o.To, nil)
		d.scheduleAdvance()
	}
}

// offer has the Table grant an attempt, once other processes have been told that the request may run.
func (d *Coordinator) offer(s *delegation, o *offer) (*grant.Grant, error) {
	timeout := o.Remaining()
	mayRun := s.unsafe && !o.Read
	if mayRun {
		if err := d.recordEffect(s, timeout); err != nil {
			d.log.Error("other processes can't be told that a request may run: it is refused", "txn", s.id, "err", err)
			return nil, &grant.BusyError{Err: grant.ErrLedgerFull, RetryAfter: d.core.BusyRetryAfter()}
		}
	}
	g, err := d.table.Offer(d.now(), s.id, o.To.ID, o.Read, timeout)
	if err != nil && mayRun {
		d.recordNoEffect(s)
	}
	return g, err
}

// Report records what became of a grant and gives the result to the core.
func (d *Coordinator) Report(caller string, id uint64, fate grant.Fate, result core.Result, over bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	g := d.table.Grant(id)
	if fate == grant.Begun && d.table.MayReport(caller, id, fate) == nil {
		d.beginStream(g)
	}
	if err := d.table.Report(now, caller, id, fate, false); err != nil {
		return err
	}
	s := d.delegations[g.Request()]
	if s == nil {
		return nil
	}
	if s.unsafe && !g.Read && !d.table.MayHaveRun(s.id) {
		d.recordNoEffect(s)
	}
	if o := s.grantedOffer; o != nil && o.grant == g {
		s.grantedOffer = nil
		if fate == grant.Begun {
			s.startedGrant = id
			d.streams[id] = &stream{caller: caller}
		}
		o.result <- result
	}
	if over && fate != grant.Begun {
		d.abandon(s, ErrCallerGone)
	}
	d.scheduleAdvance()
	return nil
}

// beginStream tells the core that the caller's stream of a granted attempt has begun, and withdraws the grant if the core has cancelled
// the attempt before: the caller must not pass the stream on, as the core goes on without it.
func (d *Coordinator) beginStream(g *grant.Grant) {
	s := d.delegations[g.Request()]
	if s == nil || s.grantedOffer == nil || s.grantedOffer.grant != g || s.grantedOffer.BeginStream() {
		return
	}
	d.table.Withdraw(d.now(), g.ID)
}

// abandon ends a request whose caller needs nothing more.
func (d *Coordinator) abandon(s *delegation, why error) {
	if d.delegations[s.id] == s {
		delete(d.delegations, s.id)
		d.table.End(d.now(), s.id)
	}
	s.cancel(why)
}

// CallerLeft ends a request whose attached caller has left. What is held for it is released at once.
func (d *Coordinator) CallerLeft(request string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.delegations[request]; s != nil {
		d.log.Info("caller left", "caller", s.caller, "txn", request, "granted", s.grantedOffer != nil)
		d.abandon(s, ErrCallerGone)
	}
}

// TakeUp records that the caller has begun to send, and returns the updated grant.
func (d *Coordinator) TakeUp(caller string, id uint64) (grant.Grant, error) {
	return d.updateGrant(id, func(now time.Duration) error { return d.table.TakeUp(now, caller, id) })
}

// Renew records that the caller still needs what is held for a grant, and returns the updated grant.
func (d *Coordinator) Renew(caller string, id uint64) (grant.Grant, error) {
	return d.updateGrant(id, func(now time.Duration) error { return d.table.Renew(now, caller, id) })
}

func (d *Coordinator) updateGrant(id uint64, do func(time.Duration) error) (grant.Grant, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := do(d.now()); err != nil {
		return grant.Grant{}, err
	}
	return *d.table.Grant(id), nil
}

// Valid returns how long, counted from a call, the caller may begin to act on a grant.
func (d *Coordinator) Valid(g grant.Grant, called time.Time) time.Duration {
	return g.Valid(called.Sub(d.start))
}

// Within returns how long, counted from a call, the attempt may take.
func (d *Coordinator) Within(g grant.Grant, called time.Time) time.Duration {
	return max(0, g.Deadline-called.Sub(d.start))
}

// scheduleAdvance arranges the next advance of the Table unless one is scheduled. Advances go on while anything is due.
func (d *Coordinator) scheduleAdvance() {
	if d.advanceScheduled {
		return
	}
	d.advanceScheduled = true
	time.AfterFunc(d.config.Tick, d.advance)
}

func (d *Coordinator) advance() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advanceScheduled = false
	for _, a := range d.table.Advance(d.now()) {
		s := d.delegations[a.Request]
		switch {
		case a.Kind == grant.ReleaseLeftover:
			go d.releaseLeftover(a.Request)
		case s == nil:
		case a.Kind == grant.TimeOutAttempt:
			if o := s.grantedOffer; o != nil && o.grant == a.Grant {
				s.grantedOffer = nil
				o.result <- core.Result{Status: decide.TimedOut}
			}
		case a.Kind == grant.AbandonRequest:
			d.log.Info("forsaken", "caller", s.caller, "request", s.id)
			delete(d.delegations, s.id)
			s.cancel(errCallerSilent)
		}
	}
	if d.table.HasTimers() {
		d.scheduleAdvance()
	}
}

// releaseLeftover releases, at any worker, the state that a read with an unknown result may have left after its request
// ended.
func (d *Coordinator) releaseLeftover(id string) {
	d.core.ReleaseAnywhere(leftoverReleaseTimeout, func(ctx context.Context, at core.Worker) error { return d.workers.Release(ctx, at, id) })
}

// trackStream counts a response relayed by a caller at its writer, and keeps the request's id, until it ends, or for its
// expected duration.
func (d *Coordinator) trackStream(s *delegation, answer core.Answer) {
	id := s.startedGrant
	x := d.streams[id]
	onEnd := func(status decide.Status) {
		s.releaseID()
		answer.StreamEnded(status, nil)
	}
	if x.endStatus != 0 {
		delete(d.streams, id)
		go onEnd(x.endStatus)
		return
	}
	lifetime := min(s.estimate, maxStreamEstimate)
	if s.singleWrite { // its transport reports the end
		lifetime = time.Hour
	} else if len(d.streams) > d.config.MaxOpenRequests { // bounds the memory if callers never report the ends of their responses
		delete(d.streams, id)
		go onEnd(decide.Served)
		return
	}
	x.onEnd = onEnd
	x.timer = time.AfterFunc(lifetime, func() { d.Ended(s.caller, id, decide.Served) })
}

// Ended records how a response that a caller relays has ended.
func (d *Coordinator) Ended(caller string, id uint64, status decide.Status) error {
	d.mu.Lock()
	x := d.streams[id]
	if x == nil || x.caller != caller || x.endStatus != 0 {
		d.mu.Unlock()
		return grant.ErrUnknownGrant
	}
	if x.onEnd == nil { // the core has not learned of the start yet; trackStream will handle the end
		x.endStatus = status
		d.mu.Unlock()
		return nil
	}
	delete(d.streams, id)
	d.mu.Unlock()
	x.timer.Stop()
	x.onEnd(status)
	return nil
}

// Table calls f with the Table and the current time under the lock. f must not keep the Table.
func (d *Coordinator) Table(f func(now time.Duration, t *grant.Table)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.now(), d.table)
}

// delegatedTransport leaves attempts to the caller, except for reads that the router carries out itself.
type delegatedTransport struct {
	*httpfront.Exchange
	coordinator *Coordinator
	delegation  *delegation
}

// Try implements core.Transport.
func (c *delegatedTransport) Try(ctx context.Context, a core.Attempt) core.Result {
	_, span := c.coordinator.observer.Tracer.Start(trace.ContextWithSpan(ctx, c.delegation.span), "attempt", trace.WithAttributes(
		attribute.Int("attempt", a.Number), attribute.String("worker", a.To.ID), attribute.String("stage", stageName(a.Read)),
		attribute.Bool("here", a.Read && c.delegation.readHere)))
	defer span.End()
	r := c.try(ctx, a)
	span.SetAttributes(attribute.Int("status", int(r.Status)))
	if r.Err != nil {
		span.RecordError(r.Err)
	}
	return r
}

func (c *delegatedTransport) try(ctx context.Context, a core.Attempt) core.Result {
	d, s := c.coordinator, c.delegation
	if a.Read && s.readHere {
		return c.Exchange.Try(ctx, a)
	}
	o := &offer{Attempt: a, result: make(chan core.Result, 1)}
	d.mu.Lock()
	if s.singleWrite && d.table.LatestGrant(s.id) != nil { // the caller can carry no other write
		d.mu.Unlock()
		return core.Result{Status: decide.Unsent}
	}
	s.chosenOffer = o
	d.offerPending(s)
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
	if s.chosenOffer == o {
		s.chosenOffer = nil
	}
	if s.grantedOffer == o {
		s.grantedOffer = nil
	}
	if o.grant == nil {
		return core.Result{Status: decide.Unsent}
	}
	select {
	case r := <-o.result: // the result arrived together with the cancellation
		if r.Status == 0 {
			r.Stream = o
		}
		return r
	default:
	}
	d.table.Withdraw(d.now(), o.grant.ID)
	d.scheduleAdvance()
	return core.Result{Status: decide.Cancelled}
}

// Reason names why a call was refused, in one word for metrics and logs.
func Reason(err error) string {
	for is, name := range reasonNames {
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

var reasonNames = map[error]string{grant.ErrInvalidID: "id", grant.ErrUnknownGrant: "unknown", grant.ErrOtherCaller: "another_caller", grant.ErrAttemptOrder: "order",
	grant.ErrAttemptPending: "pending", grant.ErrInvalidState: "state", grant.ErrMayHaveRun: "may_have_run", grant.ErrDraining: "draining",
	grant.ErrCallerLimit: "busy", grant.ErrTooManyCallers: "callers", grant.ErrLedgerFull: "ledger", grant.ErrClassMismatch: "class",
	ErrFailed: "failed", ErrCallerGone: "gone"}
