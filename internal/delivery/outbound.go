package delivery

import (
	"net"
	"sync"
	"time"
)

// Kind is the kind of a request to a worker.
type Kind int

const (
	// Call is a request without a body that is to arrive even if nobody waits for its answer any more, such as a release.
	Call Kind = iota
	// Attempt is a client's request. It must not arrive once its client has left or has a final answer.
	Attempt
)

// Progress is how far a request has come, as far as the system tells.
type Progress int

const (
	// Arrived is also the progress on a connection that is no TCP socket.
	Arrived Progress = iota
	// InFlight is a request that has left this machine and is not acknowledged. It may have arrived.
	InFlight
	// Unsent is a request of which a part has not left this machine.
	Unsent
)

// SecondAnswerWindow is how long after the end of an answer a second answer to the same attempt may come.
const SecondAnswerWindow = 25 * time.Millisecond

// Outbound accounts for the requests on one connection to a worker, of which one is under way at a time. It decides what becomes
// of a request's bytes when the request ends before its answer, and when the connection may carry the next request. The zero
// value with a connection is ready for use; its methods are safe for concurrent use.
type Outbound struct {
	Conn net.Conn

	mu              sync.Mutex
	kind            Kind
	resetsOnClose   bool      // as the socket is set
	attemptAnswered time.Time // when the last answer to an attempt ended
	takenBack       bool      // the connection has ended before an attempt had arrived
}

// Begin records that a request is written next. The bytes of an attempt are discarded where the connection ends before they have
// arrived, also by the end of this process.
func (o *Outbound) Begin(kind Kind) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.kind = kind
	o.setReset(kind == Attempt)
}

// Answered records that the answer to the request under way has ended.
func (o *Outbound) Answered() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.kind == Attempt {
		o.attemptAnswered = time.Now()
	}
}

// CarriesAttempt reports whether the latest request is an attempt.
func (o *Outbound) CarriesAttempt() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.kind == Attempt
}

// ReuseDelay returns how long to wait before a further request of any kind is written. Nothing in an answer shows which request
// it belongs to, so a second answer to the last attempt must have come by then: the connection then has unread input.
// A call needs no wait after it: a second answer to a call is neither a stream nor a refusal.
func (o *Outbound) ReuseDelay() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.attemptAnswered.IsZero() {
		return 0
	}
	return max(0, SecondAnswerWindow-time.Since(o.attemptAnswered))
}

// Progress returns how far the request under way has come.
func (o *Outbound) Progress() Progress {
	if bytes, ok := Unacknowledged(o.Conn); !ok || bytes == 0 {
		return Arrived
	}
	if bytes, ok := unsent(o.Conn); ok && bytes > 0 {
		return Unsent
	}
	return InFlight
}

// Detach keeps the connection open beyond the end of this process, for one that continues it.
func (o *Outbound) Detach() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.setReset(false)
}

// End is called right before the connection is closed. An attempt that has not arrived in full is taken back: what the worker's
// system has not acknowledged is discarded, and a reset takes the place of the close.
func (o *Outbound) End() {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case !o.resetsOnClose:
	case o.Progress() == Arrived:
		o.setReset(false)
	default:
		o.takenBack = true
	}
}

// TakenBack reports whether the connection has ended before the attempt under way was known to have arrived.
func (o *Outbound) TakenBack() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.takenBack
}

// setReset sets what the end of the connection does. The caller holds o.mu.
func (o *Outbound) setReset(on bool) {
	if o.resetsOnClose != on && setResetOnClose(o.Conn, on) == nil {
		o.resetsOnClose = on
	}
}
