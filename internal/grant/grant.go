// Package grant tracks the grants that callers hold. A grant permits one caller to send one attempt of a request to one
// worker until a given time. The package implements the life cycle of grants: how long they are valid, when a silent
// caller's requests are abandoned, which requests with side effects may already have run (the ledger), and how many
// requests each caller may have open.
//
// Workers are chosen, and requests retried or shed, by package decide. This package does no I/O, reads no clock and
// starts no goroutines: the current time is passed to each call, and work to be done outside is returned as Actions,
// whose order depends only on the sequence of calls.
package grant

import (
	"errors"
	"fmt"
	"time"
)

// State is the state of a grant in its life cycle.
type State uint8

// The states of a grant. Reported and Expired are final.
const (
	Offered  State = iota + 1 // the caller may act on it
	TakenUp                   // the caller has reported that it is sending
	Revoked                   // the worker is draining or gone; the caller may have acted before it learned of it
	Reported                  // the caller has reported the result
	Expired                   // the deadline passed without a report; the caller may have acted on it
)

var stateNames = [...]string{"none", "offered", "taken up", "revoked", "reported", "expired"}

// String returns the name of the state: "none" for 0, the name of the last state for a number above it.
func (s State) String() string { return stateNames[min(int(s), len(stateNames)-1)] }

// Fate is the result of a grant as reported by its caller.
type Fate uint8

// The fates of a grant.
const (
	NotSent    Fate = iota + 1 // nothing was sent, or not up to the last byte
	TurnedAway                 // the worker rejected it; it never ran
	Read                       // the prompt has been read and the reader holds a state for it
	Begun                      // the response has started
	Ran                        // any other end after the last byte was sent; it may have run
)

// excludesEffect reports whether the request cannot have run in this attempt.
func (f Fate) excludesEffect() bool { return f == NotSent || f == TurnedAway }

// Reasons for rejecting a step. Every error returned by a Table wraps one of these.
var (
	ErrInvalidID      = errors.New("an id is empty or too long")
	ErrUnknownGrant   = errors.New("no such grant")
	ErrOtherCaller    = errors.New("it is another caller's")
	ErrAttemptOrder   = errors.New("an attempt out of order")
	ErrAttemptPending = errors.New("an earlier attempt of the request has no report")
	ErrInvalidState   = errors.New("a step that its state does not allow")
	ErrMayHaveRun     = errors.New("it may have run, and must not run twice")
	ErrDraining       = errors.New("the worker takes nothing new")
	ErrCallerLimit    = errors.New("the caller has its share of open grants")
	ErrTooManyCallers = errors.New("too many callers")
	ErrLedgerFull     = errors.New("the ledger of effects is full")
	ErrClassMismatch  = errors.New("the request began with another class")
)

// BusyError reports that a limit has been reached. RetryAfter is how long it may take until there is room
// again.
type BusyError struct {
	Err        error
	RetryAfter time.Duration
}

// Error returns the limit that was reached and when to come back.
func (b *BusyError) Error() string { return fmt.Sprintf("%v, come back after %v", b.Err, b.RetryAfter) }

// Unwrap returns the limit that was reached, one of the Err values of this package.
func (b *BusyError) Unwrap() error { return b.Err }

// Config sets the timeouts and limits of a Table.
type Config struct {
	DrainGrace      time.Duration // no request may reach a worker later than this after the router learned that it drains
	MaxDelivery     time.Duration // longest time from a caller's decision to send until the first byte reaches the worker
	HoldTimeout     time.Duration // workers may hold state for a request this long after the last sign of its caller
	WatchTimeout    time.Duration // a watching caller drops its grants this long after it sent the latest answered ping
	EffectRetention time.Duration // how long an effect is remembered after the last time at which it may have happened
	MaxRetryAfter   time.Duration // upper bound of the advised retry delay
	Tick            time.Duration // resolution of the timing wheel
	MaxOpenRequests int           // open requests, of all callers together
	MaxCallers      int           // callers known at once
	MaxEffects      int           // effects remembered at once
	MaxIDBytes      int           // length of an id
	FeedDepth       int           // revocations queued for a watching caller
	LastGrantID     uint64        // the first grant has the next number; no other Table that callers may reach can use the numbers behind it
}

// Check returns an error if the values contradict each other or leave no time to act on a grant.
func (t Config) Check() error {
	switch {
	case t.DrainGrace <= 0 || t.HoldTimeout <= 0 || t.Tick <= 0 || t.EffectRetention <= 0:
		return errors.New("drain, hold, remember and tick must be positive")
	case t.MaxDelivery < 0 || t.MaxDelivery+t.Tick >= t.DrainGrace:
		return fmt.Errorf("delivery: %v leaves nothing of the %v after a drain", t.MaxDelivery, t.DrainGrace)
	case t.MaxDelivery+t.Tick >= t.HoldTimeout:
		return fmt.Errorf("delivery: %v leaves nothing of the %v for which state is held", t.MaxDelivery, t.HoldTimeout)
	case t.WatchTimeout < 0 || t.WatchTimeout+t.MaxDelivery+t.Tick > t.DrainGrace:
		return fmt.Errorf("heard: %v of silence plus %v of delivery exceed the %v after a drain", t.WatchTimeout, t.MaxDelivery, t.DrainGrace)
	case t.MaxOpenRequests < 1 || t.MaxCallers < 1 || t.MaxEffects < 1 || t.MaxIDBytes < 1 || t.FeedDepth < 1:
		return errors.New("open, callers, effects, id length and feed depth must be at least 1")
	case t.MaxRetryAfter < 0:
		return errors.New("max wait: must not be negative")
	}
	return nil
}

// ChooseCall is a caller's call for a choice, that is, for the next grant of a request.
type ChooseCall struct {
	Caller        string
	Request       string // id of the request, the same for all callers that name it
	Attempt       int    // number of this choice within the request, from 0
	Class         int
	NonIdempotent bool          // the request must not run twice
	Called        time.Duration // when the call arrived
}

// Grant is one answer to a caller. ID, Attempt, Worker and Read never change; the other fields may. Grants are owned by
// the Table: its users must not modify them.
type Grant struct {
	ID         uint64
	Attempt    int
	Worker     string
	Read       bool // the grant is for a reader, so that its attempt has no effect
	State      State
	Fate       Fate
	OfferedAt  time.Duration // when the grant was made
	ValidUntil time.Duration // the caller may begin to act until then, by the router's clock
	Deadline   time.Duration // when the attempt itself times out
	req        *request
	target     *worker // lists the grant while it is open
	next       *Grant  // list of the worker's open grants
	prev       *Grant
}

// Request returns the id of the grant's request.
func (g *Grant) Request() string { return g.req.id }

// Caller returns the name of the caller that holds the grant.
func (g *Grant) Caller() string { return g.req.caller.name }

// Class returns the class that the first call for the request named.
func (g *Grant) Class() int { return g.req.class }

// Valid returns how long the caller may begin to act, counted from when it sent the call that is answered. called is
// when that call arrived here. It was sent before that, so neither a wrong clock nor a slow network extends the time.
func (g *Grant) Valid(called time.Duration) time.Duration { return max(0, g.ValidUntil-called) }

// open reports whether the caller may still act on the grant or is doing so.
func (g *Grant) open() bool { return g.State == Offered || g.State == TakenUp || g.State == Revoked }

// request is the state of a request that is not over.
type request struct {
	id                string
	caller            *caller
	class             int
	nonIdempotent     bool
	choicePending     bool          // a choice is in progress and its caller waits in a call
	attached          bool          // the caller counts as present until it detaches
	grantCount        int           // choices that were answered with a grant
	lastGrant         *Grant        // the latest grant
	lastSeen          time.Duration // last sign of the caller for this request
	readPossibleUntil time.Duration // until then, a read with an unknown result may still leave state at its reader
	over              bool
	timer             Timer[*request]
	next              *request // list of the caller's open requests
	prev              *request
}

// Action is something that the user of a Table has to do.
type Action struct {
	Kind    ActionKind
	Request string
	Grant   *Grant // the request's latest grant, nil if it had none
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions.
const (
	TimeOutAttempt  ActionKind = iota + 1 // the attempt timed out without a report: treat it as one that may have run
	AbandonRequest                        // the caller has fallen silent: the request is over, release what is held for it now
	ReleaseLeftover                       // a read with an unknown result may have left state after its request ended: release it again
)

// Table holds all grants of one router. It is not safe for concurrent use.
type Table struct {
	cfg       Config
	wheel     *Wheel[*request]
	requests  map[string]*request // open requests, by id
	grants    map[uint64]*Grant   // the latest grant of each open request
	workers   map[string]*worker
	callers   map[string]*caller
	ledger    *ledger
	releasing int // requests that are over but may still leave state at a reader
	lastID    uint64
	actions   []Action
	log       func(Event)
}

// New returns an empty Table. log is called for every step; it may be nil.
func New(cfg Config, now time.Duration, log func(Event)) (*Table, error) {
	if err := cfg.Check(); err != nil {
		return nil, fmt.Errorf("grant: %w", err)
	}
	return &Table{cfg: cfg, wheel: NewWheel[*request](cfg.Tick, now), requests: make(map[string]*request),
		grants: make(map[uint64]*Grant), workers: make(map[string]*worker), callers: make(map[string]*caller),
		lastID: cfg.LastGrantID, ledger: newLedger(cfg.MaxEffects, cfg.Tick, now), log: log}, nil
}

// Begin handles a call for a choice. If the same call has already been answered it returns that grant, so that repeated
// calls get the same answer. pending reports that an earlier identical call is still waiting for its choice. Otherwise, if
// err is nil, the user must choose a worker and follow up with Offer or CancelChoice.
func (t *Table) Begin(now time.Duration, a ChooseCall) (same *Grant, pending bool, err error) {
	if same, pending, err = t.begin(now, a); t.log != nil {
		t.log(Event{At: now, Step: StepAsk, Caller: a.Caller, Request: a.Request, Attempt: a.Attempt, NonIdempotent: a.NonIdempotent, Err: err})
	}
	return same, pending, err
}

func (t *Table) begin(now time.Duration, a ChooseCall) (*Grant, bool, error) {
	if !t.validID(a.Caller) || !t.validID(a.Request) || a.Attempt < 0 {
		return nil, false, ErrInvalidID
	}
	if q := t.requests[a.Request]; q != nil {
		return t.continueRequest(now, q, a)
	}
	if t.ledger.contains(a.Request) { // regardless of the caller and of the class that this call names
		return nil, false, ErrMayHaveRun
	}
	if a.Attempt != 0 {
		return nil, false, fmt.Errorf("%w: %d of a request that is not open", ErrAttemptOrder, a.Attempt)
	}
	c, err := t.admit(a.Caller)
	if err != nil {
		return nil, false, err
	}
	if a.NonIdempotent && t.ledger.full() {
		t.forgetCaller(c)
		return nil, false, &BusyError{ErrLedgerFull, t.cfg.MaxRetryAfter}
	}
	q := &request{id: a.Request, caller: c, class: a.Class, nonIdempotent: a.NonIdempotent, choicePending: true, lastSeen: now}
	q.timer.Value = q
	t.requests[a.Request] = q
	c.addRequest(q)
	return nil, false, nil
}

// continueRequest handles another call for an open request.
func (t *Table) continueRequest(now time.Duration, q *request, a ChooseCall) (*Grant, bool, error) {
	switch {
	case q.caller.name != a.Caller:
		return nil, false, ErrOtherCaller
	case q.class != a.Class:
		return nil, false, ErrClassMismatch
	case q.choicePending && a.Attempt == q.grantCount:
		t.touch(now, q)
		return nil, true, nil
	case q.lastGrant != nil && a.Attempt == q.grantCount-1: // a repeated call gets the same answer
		t.touch(now, q)
		return q.lastGrant, false, nil
	case q.choicePending || a.Attempt != q.grantCount:
		return nil, false, fmt.Errorf("%w: %d, the next is %d", ErrAttemptOrder, a.Attempt, q.grantCount)
	case q.lastGrant.open():
		return nil, false, ErrAttemptPending
	case q.nonIdempotent && t.ledger.contains(q.id):
		return nil, false, ErrMayHaveRun
	}
	q.choicePending = true
	t.touch(now, q)
	return nil, false, nil
}

func (t *Table) validID(id string) bool { return id != "" && len(id) <= t.cfg.MaxIDBytes }

// Attach marks the caller of a request as present until Detach. It is for transports that report a disconnect.
func (t *Table) Attach(request string) {
	if q := t.requests[request]; q != nil {
		q.attached = true
		t.schedule(q)
	}
}

// Detach records that the caller has left the connection on which it asked for a choice or was attached. What is held for
// the request stays for as long as the caller may be silent, and until then the caller may ask again.
func (t *Table) Detach(now time.Duration, request string) {
	if q := t.requests[request]; q != nil {
		q.attached, q.lastSeen = false, now
		t.schedule(q)
		if q.choicePending {
			t.wheel.Set(&q.timer, now+t.maxSilence())
		}
	}
}

// maxSilence is how long a caller may give no sign; it leaves enough of the hold timeout to release what is held in time.
func (t *Table) maxSilence() time.Duration { return t.cfg.HoldTimeout - t.cfg.MaxDelivery - t.cfg.Tick }

// Offer completes the choice in progress for a request with the given worker. timeout is that of the attempt. Offer fails
// if the worker takes no new requests or the ledger is full; the choice then stays in progress.
func (t *Table) Offer(now time.Duration, request, workerID string, read bool, timeout time.Duration) (*Grant, error) {
	q := t.requests[request]
	if q == nil || !q.choicePending {
		return nil, fmt.Errorf("%w: no choice is under way for it", ErrInvalidState)
	}
	w := t.worker(workerID)
	until := t.validUntil(now, w, q, now+timeout)
	if until <= now {
		t.forgetWorker(workerID, w)
		return nil, ErrDraining
	}
	if q.nonIdempotent && !read && !t.ledger.reserve(request, now+timeout+t.cfg.EffectRetention) {
		t.forgetWorker(workerID, w)
		return nil, &BusyError{ErrLedgerFull, t.cfg.MaxRetryAfter}
	}
	t.lastID++
	g := &Grant{ID: t.lastID, Attempt: q.grantCount, Worker: workerID, Read: read, State: Offered, OfferedAt: now,
		ValidUntil: until, Deadline: now + timeout, req: q, target: w}
	if q.lastGrant != nil {
		delete(t.grants, q.lastGrant.ID)
	}
	q.lastGrant, q.choicePending, q.lastSeen = g, false, now
	q.grantCount++
	t.grants[g.ID] = g
	w.addGrant(g)
	t.schedule(q)
	t.logStep(now, StepOffer, g, nil)
	return g, nil
}

// validUntil returns until when, by the router's clock, a caller may begin to act on a grant. The router can learn of a
// drain at any moment. Watching callers are sent a revocation, and drop their grants when their stream falls silent, so
// the drain grace does not limit their grants here. Other callers may act for what remains of the grace of a drain that
// the router learns of right now. Unless the caller is attached, the silence limit applies too: it may act while its
// report of that is lost, and what is held from then on must be released soon after its last sign.
func (t *Table) validUntil(now time.Duration, w *worker, q *request, deadline time.Duration) time.Duration {
	if w.closed {
		return now
	}
	until := now + t.cfg.DrainGrace - t.cfg.MaxDelivery - t.cfg.Tick
	if q.caller.feed != nil {
		until = deadline
	}
	if !q.attached {
		until = min(until, now+t.maxSilence())
	}
	return min(until, deadline)
}

// CancelChoice ends the choice in progress without a grant: the request was refused or has failed, and is over.
func (t *Table) CancelChoice(now time.Duration, request string) {
	if q := t.requests[request]; q != nil && q.choicePending {
		t.end(now, q)
	}
}

// TakeUp records that the caller has begun to send.
func (t *Table) TakeUp(now time.Duration, caller string, id uint64) error {
	g, err := t.findGrant(caller, id)
	switch {
	case err != nil:
	case g.State != Offered && g.State != TakenUp: // repeating it is harmless
		err = fmt.Errorf("%w: %v", ErrInvalidState, g.State)
	default:
		g.State = TakenUp
		t.touch(now, g.req)
	}
	t.logStep(now, StepTakeUp, g, err)
	return err
}

// Renew records a sign of the caller for a grant: it still needs what is held for it. While the worker takes new requests,
// it also extends the time to act, up to the attempt's deadline.
func (t *Table) Renew(now time.Duration, caller string, id uint64) error {
	g, err := t.findGrant(caller, id)
	switch {
	case err != nil:
	case g.State == Expired:
		err = fmt.Errorf("%w: %v", ErrInvalidState, g.State)
	default:
		t.touch(now, g.req)
	}
	t.logStep(now, StepRenew, g, err)
	return err
}

// touch records a sign of the caller for a request.
func (t *Table) touch(now time.Duration, q *request) {
	q.lastSeen = now
	if g := q.lastGrant; g != nil && g.State == Offered {
		g.ValidUntil = max(g.ValidUntil, t.validUntil(now, g.target, q, g.Deadline))
	}
	t.schedule(q)
}

// schedule sets the request's timer to the next time at which something is due.
func (t *Table) schedule(q *request) {
	g, silentAt := q.lastGrant, q.lastSeen+t.maxSilence()
	switch {
	case q.choicePending: // its caller waits in a call
		t.wheel.Stop(&q.timer)
	case g != nil && g.State == Offered:
		t.wheel.Set(&q.timer, min(g.ValidUntil, g.Deadline))
	case g != nil && g.open() && q.attached:
		t.wheel.Set(&q.timer, g.Deadline)
	case g != nil && g.open():
		t.wheel.Set(&q.timer, min(silentAt, g.Deadline))
	case q.attached:
		t.wheel.Stop(&q.timer)
	default: // the last attempt has been reported, and the caller may ask for another
		t.wheel.Set(&q.timer, silentAt)
	}
}

// MayReport returns nil if a report that a grant has come to fate would be recorded.
func (t *Table) MayReport(caller string, id uint64, fate Fate) error {
	_, err := t.checkReport(caller, id, fate)
	return err
}

// checkReport returns the grant that a report is on, and an error if it would be rejected.
func (t *Table) checkReport(caller string, id uint64, fate Fate) (*Grant, error) {
	g, err := t.findGrant(caller, id)
	switch {
	case err != nil:
	case fate < NotSent || fate > Ran:
		err = fmt.Errorf("%w: fate %d", ErrInvalidState, fate)
	case fate == Read && !g.Read || fate == Begun && g.Read:
		err = fmt.Errorf("%w: a fate of the other stage", ErrInvalidState)
	case g.State == Reported && g.Fate == fate: // repeating it is harmless
	case !g.open():
		err = fmt.Errorf("%w: %v", ErrInvalidState, g.State)
	}
	return g, err
}

// Report records what became of a grant. over reports that the caller needs nothing more for the request.
func (t *Table) Report(now time.Duration, caller string, id uint64, fate Fate, over bool) error {
	g, err := t.checkReport(caller, id, fate)
	if err != nil {
		t.logStep(now, StepReport, g, err)
		return err
	}
	if g.State == Reported {
		t.touch(now, g.req)
		return nil
	}
	g.Fate, g.State = fate, Reported
	t.close(g)
	t.logStep(now, StepReport, g, nil)
	q := g.req
	if q.nonIdempotent && !g.Read {
		if fate.excludesEffect() {
			t.ledger.clear(q.id)
		} else {
			t.ledger.extend(q.id, now+t.cfg.EffectRetention)
		}
	}
	if over || fate == Begun {
		t.end(now, q)
	} else {
		t.touch(now, q)
	}
	return nil
}

// close removes a grant from its worker's open grants.
func (t *Table) close(g *Grant) {
	g.target.removeGrant(g)
	t.forgetWorker(g.Worker, g.target)
}

// Withdraw records that the router has cancelled the attempt and no longer waits for the grant's report. The attempt
// counts as one that may have run. The caller may ask for the next choice.
func (t *Table) Withdraw(now time.Duration, id uint64) {
	if g := t.grants[id]; g != nil && g.open() {
		t.expire(now, g)
		t.schedule(g.req)
	}
}

// End records that a request is over because it was answered or its client has left. A write that was granted and not
// reported stays in the ledger as one that may have run.
func (t *Table) End(now time.Duration, request string) {
	if q := t.requests[request]; q != nil {
		t.end(now, q)
	}
}

func (t *Table) end(now time.Duration, q *request) {
	t.wheel.Stop(&q.timer)
	if g := q.lastGrant; g != nil {
		if g.open() {
			t.expire(now, g)
		}
		delete(t.grants, g.ID)
	}
	delete(t.requests, q.id)
	q.caller.removeRequest(q)
	t.forgetCaller(q.caller)
	q.over, q.lastGrant = true, nil
	if q.readPossibleUntil > now {
		t.releasing++
		t.wheel.Set(&q.timer, min(q.readPossibleUntil, now+t.cfg.HoldTimeout/2))
	}
	if t.log != nil {
		t.log(Event{At: now, Step: StepOver, Caller: q.caller.name, Request: q.id, Attempt: q.grantCount, NonIdempotent: q.nonIdempotent})
	}
}

// expire ends a grant whose result is unknown. A read that its caller gave up at the deadline may have succeeded at that
// very moment, so it may leave state for a little longer.
func (t *Table) expire(now time.Duration, g *Grant) {
	g.State = Expired
	t.close(g)
	if g.Read {
		g.req.readPossibleUntil = max(g.req.readPossibleUntil, g.Deadline+t.cfg.MaxDelivery+t.cfg.Tick)
	}
	t.logStep(now, StepExpire, g, nil)
}

func (t *Table) findGrant(caller string, id uint64) (*Grant, error) {
	g := t.grants[id]
	switch {
	case g == nil:
		return nil, ErrUnknownGrant
	case g.req.caller.name != caller:
		return nil, ErrOtherCaller
	}
	return g, nil
}

// Grant returns the grant with the given id if it is the latest of an open request, or nil.
func (t *Table) Grant(id uint64) *Grant { return t.grants[id] }

// HasTimers reports whether Advance has anything to do in the future.
func (t *Table) HasTimers() bool { return t.wheel.Len() > 0 }

// LatestGrant returns the latest grant of an open request, or nil.
func (t *Table) LatestGrant(request string) *Grant {
	if q := t.requests[request]; q != nil {
		return q.lastGrant
	}
	return nil
}

// Advance moves the clock and returns the actions that are due. The slice is valid until the next call.
func (t *Table) Advance(now time.Duration) []Action {
	t.actions = t.actions[:0]
	t.wheel.Advance(now, func(due *Timer[*request]) {
		q := due.Value
		g := q.lastGrant
		if q.over {
			t.actions = append(t.actions, Action{ReleaseLeftover, q.id, nil})
			if q.readPossibleUntil > now {
				t.wheel.Set(&q.timer, min(q.readPossibleUntil, now+t.cfg.HoldTimeout/2))
			} else {
				t.releasing--
			}
			return
		}
		if g != nil && g.open() && now >= g.Deadline {
			t.expire(now, g)
			t.actions = append(t.actions, Action{TimeOutAttempt, q.id, g})
			t.schedule(q) // the caller may ask again if it gives a sign soon
			return
		}
		t.actions = append(t.actions, Action{AbandonRequest, q.id, g})
		t.end(now, q)
	})
	t.ledger.advance(now)
	t.pruneWorkers(now)
	return t.actions
}
