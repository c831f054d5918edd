package grant

import (
	"slices"
	"time"
)

// caller is the state of one caller.
type caller struct {
	name         string
	open         int // requests that are not over
	firstRequest *request
	feed         *feed // nil if the caller does not watch
}

func (c *caller) addRequest(q *request) {
	c.open++
	if q.next = c.firstRequest; q.next != nil {
		q.next.prev = q
	}
	c.firstRequest = q
}

func (c *caller) removeRequest(q *request) {
	c.open--
	if q.prev != nil {
		q.prev.next = q.next
	} else {
		c.firstRequest = q.next
	}
	if q.next != nil {
		q.next.prev = q.prev
	}
	q.next, q.prev = nil, nil
}

// Revocation notifies a caller that it may no longer act on a grant.
type Revocation struct {
	Seq     uint64 // numbers the caller's revocations without gaps, unless some were lost
	Grant   uint64
	Request string
	Worker  string
	Why     string
	At      time.Duration
}

// feed is the queue of revocations for a caller that watches.
type feed struct {
	streamID uint64 // id of the caller's current stream
	seq      uint64 // the latest number assigned
	queue    []Revocation
}

// admit checks whether a caller may open one more request; if not, the error says when to try again. A caller may have as
// many requests open as there are free places. A single busy caller thus gets half of all places, n busy callers get
// 1/(n+1) each, and a caller with few requests always finds room, even if another one stalls or floods the router.
func (t *Table) admit(name string) (*caller, error) {
	c := t.callers[name]
	if c == nil {
		if len(t.callers) >= t.cfg.MaxCallers {
			return nil, &BusyError{ErrTooManyCallers, t.cfg.MaxRetryAfter}
		}
		c = &caller{name: name}
	}
	if free := t.cfg.MaxOpenRequests - len(t.requests) - t.releasing; c.open >= free {
		return nil, &BusyError{ErrCallerLimit, min(t.cfg.MaxRetryAfter, t.cfg.HoldTimeout)} // by then the requests of a silent caller have ended
	}
	t.callers[name] = c
	return c, nil
}

// forgetCaller removes a caller that has no open requests and does not watch.
func (t *Table) forgetCaller(c *caller) {
	if c.open == 0 && c.feed == nil {
		delete(t.callers, c.name)
	}
}

// Watch opens a stream of revocations for a caller. It returns the id of the stream and the sequence number after which it
// begins. An older stream of the same caller ends and gets nothing more.
func (t *Table) Watch(now time.Duration, name string) (streamID, seq uint64, err error) {
	if !t.validID(name) {
		return 0, 0, ErrInvalidID
	}
	c := t.callers[name]
	if c == nil {
		if len(t.callers) >= t.cfg.MaxCallers {
			return 0, 0, &BusyError{ErrTooManyCallers, t.cfg.MaxRetryAfter}
		}
		c = &caller{name: name}
		t.callers[name] = c
	}
	t.lastID++
	next := &feed{streamID: t.lastID}
	if c.feed != nil { // revocations still queued for the old stream go to the new one
		next.seq, next.queue = c.feed.seq, c.feed.queue
		seq = next.seq - uint64(len(next.queue))
	}
	c.feed = next
	return next.streamID, seq, nil
}

// Watched reports whether a caller has an open stream.
func (t *Table) Watched(name string) bool {
	c := t.callers[name]
	return c != nil && c.feed != nil
}

// Next returns the queued revocations of a stream and the sequence number that it has reached. ended reports that the
// stream has been closed or replaced by a newer one.
func (t *Table) Next(name string, streamID uint64) (revocations []Revocation, seq uint64, ended bool) {
	c := t.callers[name]
	if c == nil || c.feed == nil || c.feed.streamID != streamID {
		return nil, 0, true
	}
	revocations, c.feed.queue = c.feed.queue, nil
	return revocations, c.feed.seq, false
}

// Unwatch ends a stream. Grants that were extended because the caller was watching stay valid no longer than a stream may
// be silent.
func (t *Table) Unwatch(now time.Duration, name string, streamID uint64) {
	c := t.callers[name]
	if c == nil || c.feed == nil || c.feed.streamID != streamID {
		return
	}
	c.feed = nil
	for q := c.firstRequest; q != nil; q = q.next {
		if g := q.lastGrant; g != nil && g.State == Offered {
			g.ValidUntil = min(g.ValidUntil, now+t.cfg.WatchTimeout)
			t.schedule(q)
		}
	}
	t.forgetCaller(c)
}

// queueRevocation adds a revocation to the caller's stream. If the queue is full, all queued revocations are dropped; the
// caller sees that from the gap in the sequence numbers.
func (t *Table) queueRevocation(now time.Duration, g *Grant, why string) {
	f := g.req.caller.feed
	if f == nil {
		return
	}
	f.seq++
	if len(f.queue) >= t.cfg.FeedDepth {
		f.queue = f.queue[:0]
	}
	f.queue = append(f.queue, Revocation{Seq: f.seq, Grant: g.ID, Request: g.req.id, Worker: g.Worker, Why: why, At: now})
}

// worker is the state of one worker that grants refer to.
type worker struct {
	closed     bool          // takes no new requests
	closedAt   time.Duration // when the router learned of it
	firstGrant *Grant        // open grants for this worker
}

func (w *worker) addGrant(g *Grant) {
	if g.next = w.firstGrant; g.next != nil {
		g.next.prev = g
	}
	w.firstGrant = g
}

func (w *worker) removeGrant(g *Grant) {
	if g.prev != nil {
		g.prev.next = g.next
	} else {
		w.firstGrant = g.next
	}
	if g.next != nil {
		g.next.prev = g.prev
	}
	g.next, g.prev = nil, nil
}

func (t *Table) worker(id string) *worker {
	w := t.workers[id]
	if w == nil {
		w = &worker{}
		t.workers[id] = w
	}
	return w
}

// forgetWorker drops the entry of a worker that is open and has no grants.
func (t *Table) forgetWorker(id string, w *worker) {
	if w.firstGrant == nil && !w.closed {
		delete(t.workers, id)
	}
}

// CloseWorker records that a worker takes no new requests because it drains, is under maintenance or is gone. It revokes
// and returns all grants for the worker that have not been taken up, and queues the revocations for callers that watch. Callers
// that do not watch need no message: their grants expire within the drain grace anyway.
func (t *Table) CloseWorker(now time.Duration, id, why string) (revoked []*Grant) {
	w := t.worker(id)
	if !w.closed {
		w.closed, w.closedAt = true, now
	}
	for g := w.firstGrant; g != nil; g = g.next {
		if g.State != Offered {
			continue
		}
		g.State = Revoked
		g.ValidUntil = min(g.ValidUntil, w.closedAt+t.cfg.DrainGrace-t.cfg.MaxDelivery-t.cfg.Tick)
		t.queueRevocation(now, g, why)
		t.logStep(now, StepRevoke, g, nil)
		revoked = append(revoked, g)
	}
	for _, g := range revoked {
		t.schedule(g.req)
	}
	slices.SortFunc(revoked, func(a, b *Grant) int { return int(a.ID) - int(b.ID) })
	return revoked
}

// OpenWorker records that a worker takes new requests again.
func (t *Table) OpenWorker(id string) {
	if w := t.workers[id]; w != nil {
		w.closed = false
		t.forgetWorker(id, w)
	}
}

// pruneWorkers removes workers without grants that were closed longer than the effect retention ago. By then, the
// user of the Table has dropped them from its list or closes them again.
func (t *Table) pruneWorkers(now time.Duration) {
	if len(t.workers) <= t.cfg.MaxOpenRequests {
		return
	}
	for id, w := range t.workers {
		if w.closed && w.firstGrant == nil && now-w.closedAt > t.cfg.EffectRetention {
			delete(t.workers, id)
		}
	}
}
