// Package inbound bounds what the connections of clients cost a process, whichever front serves them: one account of the
// processor time that new input takes (Work), and one of the memory that it holds (Memory), each for every connection and for
// all together.
//
// New input is read and parsed in turns, as many at once as there are cores. What was taken before, such as the requests in
// flight with their timers, and the answers of workers, needs no turn and goes first.
package inbound

import (
	"container/heap"
	"math"
	"math/bits"
	"runtime"
	"slices"
	"sync"
	"time"
)

const (
	inputShare      = 0.5                   // of each core, for new input
	inputBurst      = 2 * time.Millisecond  // of a core's time that may be used at once
	maxTurn         = 20 * time.Millisecond // a turn that lasts longer no longer keeps others from theirs
	maxTurnCost     = 5 * time.Millisecond  // charged for one turn: its holder may have had to wait for the core itself
	fruitlessShare  = 0.02                  // of a core, for the input of one connection that leads to no work for workers
	fruitlessBurst  = 20 * time.Millisecond // of such input at once
	maxDebt         = 40 * time.Millisecond // what a connection can owe: paid off within a second, in which a bad client gets its error
	usedRankUnit    = 100 * time.Microsecond
	minDispatchWait = time.Millisecond
)

// epoch is the time that the durations of accounts are relative to.
var epoch = time.Now()

func sinceEpoch() time.Duration { return time.Since(epoch) }

// Work is the account of the processor time that new input takes. Its methods may be called from several goroutines.
type Work struct {
	mu       sync.Mutex
	cores    int
	held     []*Client     // clients whose turns are out and not overdue
	credit   time.Duration // processor time that new input may use now, negative if it has used more
	filledAt time.Duration
	sequence uint64
	byAge    bool      // the next turn goes to the client that has waited longest
	ready    turnQueue // wait for a turn
	delayed  turnQueue // wait until they have paid off their debt
	counts   Counts
	timer    *time.Timer
	timerAt  time.Duration // when timer is due, 0 if it is not set
}

// NewWork returns an account for a process that runs on the given number of cores.
func NewWork(cores int) *Work {
	w := &Work{cores: max(1, cores), credit: inputBurst, filledAt: sinceEpoch()}
	w.ready.less = func(a, b *waiter) bool {
		return a.rank < b.rank || a.rank == b.rank && a.sequence < b.sequence
	}
	w.delayed.less = func(a, b *waiter) bool { return a.payableAt < b.payableAt }
	return w
}

// Counts are the turns of a Work account.
type Counts struct {
	Turns   int           // that were granted after a wait
	Waited  time.Duration // for these, in all
	Waiting int           // connections that wait now
}

// Counts returns the account's turns so far.
func (w *Work) Counts() Counts {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := w.counts
	counts.Waiting = w.ready.Len() + w.delayed.Len()
	return counts
}

// Order is when a client comes among those that wait for a turn.
type Order int

// The orders.
const (
	ByUse Order = iota // after those that have used less of late
	First              // before all others: for what must not wait behind clients that are connected
	Last               // after all others: for what nobody waits for
)

// Client is the part of a Work account that one connection has. Its zero value, which has no account, gets a turn at once.
type Client struct {
	work  *Work
	Order Order
	// Shared is set for a connection that carries the requests of many clients: what it owes puts it behind others, but does
	// not delay its turns.
	Shared bool

	// Guarded by work.mu.
	holds   bool          // has a turn
	granted time.Duration // ... which it was given then
	since   time.Duration // ... and has used since then
	used    leaky         // by all input
	debt    leaky         // by input that led to no work for a worker
	waiting []*waiter
	closed  bool // needs no turns any more
	stopped bool // waits for no turn for now, see Interrupt
}

// NewClient returns the account of a new connection. w may be nil.
func (w *Work) NewClient() *Client { return &Client{work: w} }

// waiter is a client that waits for a turn.
type waiter struct {
	client    *Client
	rank      int
	sequence  uint64
	askedAt   time.Duration
	payableAt time.Duration
	granted   chan struct{}
	queue     *turnQueue
	index     int // in queue
}

// turnQueue is a heap of waiters.
type turnQueue struct {
	waiters []*waiter
	less    func(a, b *waiter) bool
}

func (q *turnQueue) Len() int           { return len(q.waiters) }
func (q *turnQueue) Less(i, j int) bool { return q.less(q.waiters[i], q.waiters[j]) }
func (q *turnQueue) Swap(i, j int) {
	q.waiters[i], q.waiters[j] = q.waiters[j], q.waiters[i]
	q.waiters[i].index, q.waiters[j].index = i, j
}
func (q *turnQueue) Push(x any) {
	w := x.(*waiter)
	w.queue, w.index = q, len(q.waiters)
	q.waiters = append(q.waiters, w)
}
func (q *turnQueue) Pop() any {
	last := q.waiters[len(q.waiters)-1]
	q.waiters[len(q.waiters)-1] = nil
	q.waiters = q.waiters[:len(q.waiters)-1]
	return last
}

// TryBegin begins a turn if that is possible without waiting. began is false if the client has one already.
func (c *Client) TryBegin() (began, ok bool) {
	if c == nil || c.work == nil {
		return false, true
	}
	w := c.work
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.holds || c.closed {
		return false, true
	}
	now := sinceEpoch()
	w.refill(now)
	if w.ready.Len() > 0 || !w.hasTurn() || c.payableAt(now) > now {
		return false, false
	}
	w.grant(c, now)
	return true, true
}

// Begin begins a turn and waits for it where necessary. began is false if the client has one already, needs none any more, or was
// interrupted.
func (c *Client) Begin() (began bool) {
	if began, ok := c.TryBegin(); ok {
		return began
	}
	w := c.work
	w.mu.Lock()
	if c.closed || c.stopped {
		w.mu.Unlock()
		return false
	}
	now := sinceEpoch()
	w.sequence++
	waiting := &waiter{client: c, rank: c.rank(now), sequence: w.sequence, askedAt: now, payableAt: c.payableAt(now), granted: make(chan struct{})}
	if waiting.payableAt > now {
		heap.Push(&w.delayed, waiting)
	} else {
		heap.Push(&w.ready, waiting)
	}
	c.waiting = append(c.waiting, waiting)
	w.dispatch(now)
	w.mu.Unlock()
	<-waiting.granted
	runtime.Gosched() // what can run goes first
	w.mu.Lock()
	defer w.mu.Unlock()
	c.since = sinceEpoch()
	return c.holds
}

// Close ends the client's turn and its waits for one. It is called when its connection closes.
func (c *Client) Close() {
	c.End()
	if c == nil || c.work == nil {
		return
	}
	c.work.mu.Lock()
	defer c.work.mu.Unlock()
	c.closed = true
	c.wake()
}

// Interrupt ends the client's waits for a turn. Until it is called with false, Begin does not wait.
func (c *Client) Interrupt(on bool) {
	if c == nil || c.work == nil {
		return
	}
	c.work.mu.Lock()
	defer c.work.mu.Unlock()
	if c.stopped = on; on {
		c.wake()
	}
}

// Interrupted reports whether Begin does not wait for now.
func (c *Client) Interrupted() bool {
	if c == nil || c.work == nil {
		return false
	}
	c.work.mu.Lock()
	defer c.work.mu.Unlock()
	return c.stopped
}

// wake ends the client's waits. The caller holds work.mu.
func (c *Client) wake() {
	for _, waiting := range c.waiting {
		heap.Remove(waiting.queue, waiting.index)
		close(waiting.granted)
	}
	c.waiting = nil
}

// End ends the client's turn, if it has one, and charges it.
func (c *Client) End() {
	if c == nil || c.work == nil {
		return
	}
	w := c.work
	w.mu.Lock()
	defer w.mu.Unlock()
	if !c.holds {
		return
	}
	now := sinceEpoch()
	c.holds = false
	w.charge(c, min(now-c.granted, maxTurnCost), min(now-c.since, maxTurnCost), now)
	for i, holder := range w.held {
		if holder == c {
			w.held = append(w.held[:i], w.held[i+1:]...)
			break
		}
	}
	if w.ready.Len()+w.delayed.Len() > 0 {
		w.dispatch(now)
	}
}

// Charge charges the client for work on its input outside a turn.
func (c *Client) Charge(cost time.Duration) {
	if c == nil || c.work == nil {
		return
	}
	c.work.mu.Lock()
	defer c.work.mu.Unlock()
	cost = min(cost, maxTurnCost)
	c.work.charge(c, cost, cost, sinceEpoch())
}

// Useful records that the client's latest request led to work for a worker, which settles what it owes.
func (c *Client) Useful() {
	if c == nil || c.work == nil {
		return
	}
	c.work.mu.Lock()
	defer c.work.mu.Unlock()
	c.debt = leaky{}
}

// Owes reports whether the client owes so much for input that led to nothing that it comes after others.
func (c *Client) Owes() bool {
	if c == nil || c.work == nil {
		return false
	}
	c.work.mu.Lock()
	defer c.work.mu.Unlock()
	return c.debt.at(sinceEpoch()) > fruitlessBurst/2
}

// charge takes cost from the credit of all and adds own to what the client owes. The caller holds w.mu.
func (w *Work) charge(c *Client, cost, own, now time.Duration) {
	w.refill(now)
	w.credit -= cost
	c.used.add(own, now)
	c.debt.add(own, now)
}

// refill adds the credit of the time that has passed. The caller holds w.mu.
func (w *Work) refill(now time.Duration) {
	cores := time.Duration(w.cores)
	w.credit = min(w.credit+time.Duration(inputShare*float64(cores*(now-w.filledAt))), cores*inputBurst)
	w.filledAt = now
}

// hasTurn reports whether another turn may begin. The caller holds w.mu.
func (w *Work) hasTurn() bool { return len(w.held) < w.cores && w.credit > 0 }

// grant gives the client a turn. The caller holds w.mu.
func (w *Work) grant(c *Client, now time.Duration) {
	c.holds, c.granted, c.since = true, now, now
	w.held = append(w.held, c)
}

// dispatch grants the turns that may begin now, and sets the timer for the next one. The caller holds w.mu.
func (w *Work) dispatch(now time.Duration) {
	w.refill(now)
	w.dropOverdue(now)
	for w.delayed.Len() > 0 && w.delayed.waiters[0].payableAt <= now {
		payable := heap.Pop(&w.delayed).(*waiter)
		w.sequence++
		payable.sequence = w.sequence
		heap.Push(&w.ready, payable)
	}
	for w.ready.Len() > 0 && w.hasTurn() {
		next := w.popReady()
		next.client.forget(next)
		w.counts.Turns++
		w.counts.Waited += now - next.askedAt
		if !next.client.holds {
			w.grant(next.client, now)
		}
		close(next.granted)
	}
	w.setTimer(now)
}

// popReady removes the waiter that has the next turn: in turns the one of the lowest rank, and the one that has waited longest. Clients
// that come anew, and have used nothing, keep nobody from its turn. The caller holds w.mu.
func (w *Work) popReady() *waiter {
	next := w.ready.waiters[0]
	if w.byAge {
		for _, other := range w.ready.waiters {
			if other.client.Order != Last && other.sequence < next.sequence {
				next = other
			}
		}
	}
	w.byAge = !w.byAge
	heap.Remove(&w.ready, next.index)
	return next
}

// forget removes a waiter from those of the client. The caller holds work.mu.
func (c *Client) forget(granted *waiter) {
	c.waiting = slices.DeleteFunc(c.waiting, func(w *waiter) bool { return w == granted })
}

// dropOverdue takes turns that have lasted for maxTurn off the account of turns. The caller holds w.mu.
func (w *Work) dropOverdue(now time.Duration) {
	kept := w.held[:0]
	for _, holder := range w.held {
		if now-holder.granted < maxTurn {
			kept = append(kept, holder)
		}
	}
	w.held = kept
}

// setTimer sets the timer for the next time at which a turn may begin, unless the end of a turn comes first. The caller
// holds w.mu.
func (w *Work) setTimer(now time.Duration) {
	var next time.Duration
	switch {
	case w.ready.Len() > 0 && len(w.held) >= w.cores:
		next = w.held[0].granted + maxTurn
	case w.ready.Len() > 0:
		next = now + time.Duration(float64(-w.credit)/inputShare/float64(w.cores))
	}
	if w.delayed.Len() > 0 && (next == 0 || w.delayed.waiters[0].payableAt < next) {
		next = w.delayed.waiters[0].payableAt
	}
	if next == 0 || w.timerAt > now && w.timerAt <= next {
		return
	}
	next = max(next, now+minDispatchWait)
	w.timerAt = next
	if w.timer == nil {
		w.timer = time.AfterFunc(next-now, w.timerFired)
	} else {
		w.timer.Reset(next - now)
	}
}

func (w *Work) timerFired() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timerAt = 0
	w.dispatch(sinceEpoch())
}

// leaky is processor time that was used, less what has been paid off since. The zero value is nothing.
type leaky struct{ amount, since time.Duration }

// at returns what is left at a time.
func (l leaky) at(now time.Duration) time.Duration {
	if l.amount == 0 {
		return 0
	}
	return max(0, l.amount-time.Duration(fruitlessShare*float64(now-l.since)))
}

// add adds to the amount, up to maxDebt.
func (l *leaky) add(amount, now time.Duration) {
	l.amount, l.since = min(l.at(now)+amount, maxDebt), now
}

// payableAt returns when the client owes little enough for a turn. The caller holds work.mu.
func (c *Client) payableAt(now time.Duration) time.Duration {
	over := c.debt.at(now) - fruitlessBurst
	if c.Shared || over <= 0 {
		return now
	}
	return now + time.Duration(float64(over)/fruitlessShare)
}

// rank returns the client's place among those that wait, the lowest first: by what they have used of late. The caller holds
// work.mu.
func (c *Client) rank(now time.Duration) int {
	switch c.Order {
	case First:
		return 0
	case Last:
		return math.MaxInt
	}
	return 1 + bits.Len64(uint64(c.used.at(now)/usedRankUnit))
}
