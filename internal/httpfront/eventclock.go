package httpfront

import (
	"sync/atomic"
	"time"

	"rowanyard/internal/patience"
)

const (
	clientEventWait = 5 * time.Second       // a client that waits for a further event for this long has lost its request
	eventTransit    = 30 * time.Millisecond // from the worker to the client

	// StreamStallTimeout is how long a stream may go on without a further event.
	StreamStallTimeout = clientEventWait - patience.MaxHeldUp - eventTransit
	// stallRecheck is how long a stream that is overdue is given where this process was late itself, to read what has come.
	stallRecheck = 20 * time.Millisecond
	// minClientWait is how long a write to a client must take to count as a wait for that client.
	minClientWait = 10 * time.Millisecond
)

// noEventDue is a time that does not come.
const noEventDue = 1 << 61

// eventClock tells by when a stream's next event must be complete. Time in which the client takes nothing does not count. It is
// safe for concurrent use.
type eventClock struct {
	due atomic.Int64 // since epoch
}

// stop lets the next event take any time.
func (c *eventClock) stop() { c.due.Store(noEventDue) }

// restart begins to wait for the next event. The client has waited for it already for the given time.
func (c *eventClock) restart(waited time.Duration) {
	c.due.Store(int64(time.Since(epoch) + StreamStallTimeout - waited))
}

// excludeClient keeps the time since began, in which the client was written to, from counting if that was a wait for the client.
func (c *eventClock) excludeClient(began time.Time) {
	if took := time.Since(began); took >= minClientWait {
		c.due.Add(int64(took))
	}
}

// extendTo gives the next event at least the given time from now.
func (c *eventClock) extendTo(d time.Duration) {
	c.due.Store(max(c.due.Load(), int64(time.Since(epoch)+d)))
}

// left returns the time until the next event must be complete, negative if it is overdue.
func (c *eventClock) left() time.Duration { return time.Duration(c.due.Load()) - time.Since(epoch) }

// waited returns how long the client has waited for the next event.
func (c *eventClock) waited() time.Duration { return max(0, StreamStallTimeout-c.left()) }
