package httpfront

// One log line tells of each client's connection that ends with an answer owed or under way: whose request it was, who ended the
// connection, why, and what was out for the request.

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"
)

// Who ended a connection.
const (
	endedByClient = "client"
	endedByRouter = "router"
)

// Why the router ended a connection.
const (
	whyEvicted     = "evicted for another connection"
	whyProcessEnds = "the process ends"
	whyUnknown     = "closed by the server"
)

// owedAnswer is the answer that a client is owed on its connection.
type owedAnswer struct {
	id        string // of the request
	since     time.Time
	exchange  atomic.Pointer[Exchange] // nil: nothing was sent to a worker
	bytes     atomic.Int64             // of the answer's stream that were passed on
	broken    atomic.Pointer[error]    // why the answer's stream broke off
	left      atomic.Bool              // the client has left before that
	unwritten atomic.Pointer[error]    // why a part of the answer was not written
}

// beginOwing records that an answer is owed from now on.
func (c *clientConn) beginOwing(id string) *owedAnswer {
	owed := &owedAnswer{id: id, since: time.Now()}
	c.owed.Store(owed)
	return owed
}

// endOwing records that the answer has been given, or that another process gives it.
func (c *clientConn) endOwing() { c.owed.Store(nil) }

// recordUnwritten records that a part of the answer that is owed was not written.
func (c *clientConn) recordUnwritten(err error) {
	if owed := c.owed.Load(); owed != nil {
		owed.unwritten.Store(&err)
	}
}

// logEnd logs that the connection ends if an answer is owed. by and why are used unless it is known better.
func (c *clientConn) logEnd(by, why string) {
	owed := c.owed.Swap(nil)
	if owed == nil {
		return
	}
	level := slog.LevelInfo
	if c.completedAt.Load() == 0 { // the request had not come in full
		level = slog.LevelDebug
	}
	log := c.owner.log
	if !log.Enabled(context.Background(), level) {
		return
	}
	switch broken, unwritten := owed.broken.Load(), owed.unwritten.Load(); {
	case unwritten != nil:
		by, why = endedByRouter, fmt.Sprintf("its client did not take the answer in time: %v", *unwritten)
	case broken != nil:
		by, why = endedByRouter, (*broken).Error()
	case owed.left.Load(), c.inputEnded.Load():
		by, why = endedByClient, errClientLeft.Error()
	case c.owner.ending.Load():
		by, why = endedByRouter, whyProcessEnds
	}
	worker, running := "", false
	if x := owed.exchange.Load(); x != nil {
		worker, running = x.latestAttempt()
	}
	log.Log(context.Background(), level, "client connection ended", "txn", owed.id, "by", by, "why", why, "worker", worker, "out", running,
		"passed", owed.bytes.Load(), "after_ms", time.Since(owed.since).Milliseconds())
}
