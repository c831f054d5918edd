package core

// This file implements decide.Executor: it hands the module's commands to the goroutines of the requests they are for.

import (
	"context"
	"errors"
	"time"

	"rowanyard/decide"
	"rowanyard/internal/patience"
)

// probeTimeout bounds one load probe of a worker.
const probeTimeout = 250 * time.Millisecond

// errNoAnswer is the cause with which calls to workers end that are not answered in time.
var errNoAnswer = errors.New("no answer from the worker")

// executor is the implementation of decide.Executor and decide.Explainer through which the decision module acts. Its
// methods are called with Core.mu held, while the module handles an event, so they must not block.
type executor Core

// enqueue queues a command for a request without blocking. A command for a request that has ended is dropped, and so is
// one that finds the queue full, which is logged.
func (x *executor) enqueue(id decide.RequestID, cmd command) {
	req := x.requests[id]
	if req == nil {
		return
	}
	select {
	case req.commands <- cmd:
	default:
		x.log.Error("module floods a request", "id", id)
	}
}

// settle fixes the final answer of a request, if that is possible, and has the request's goroutine deliver it.
func (x *executor) settle(id decide.RequestID, v Verdict, retryAfter time.Duration) {
	if req := x.requests[id]; req != nil && req.fixVerdictLocked(v, retryAfter) {
		x.enqueue(id, command{kind: settle})
	}
}

// Explain implements decide.Explainer.
func (x *executor) Explain(id decide.RequestID, reason decide.Reason) {
	if req := x.requests[id]; req != nil {
		req.reason = string(reason)
	}
}

// latestReason returns the reason that the module gave last for a choice about the request.
func (req *activeRequest) latestReason() string {
	req.core.mu.Lock()
	defer req.core.mu.Unlock()
	return req.reason
}

// Send implements decide.Executor.
func (x *executor) Send(id decide.RequestID, server string, timeout time.Duration) {
	x.enqueue(id, command{kind: send, worker: server, timeout: timeout})
}

// Cancel implements decide.Executor.
func (x *executor) Cancel(id decide.RequestID, attempt int) {
	x.enqueue(id, command{kind: cancel, attemptNumber: attempt})
}

// Refuse implements decide.Executor.
func (x *executor) Refuse(id decide.RequestID, retryAfter time.Duration) {
	x.settle(id, Refused, retryAfter)
}

// Fail implements decide.Executor.
func (x *executor) Fail(id decide.RequestID) { x.settle(id, Failed, 0) }

// Release implements decide.Executor.
func (x *executor) Release(id decide.RequestID) { x.enqueue(id, command{kind: release}) }

// lateTimerWait is how long a late timer of the module waits for what has come meanwhile to be read.
const lateTimerWait = 10 * time.Millisecond

// SetTimer implements decide.Executor.
func (x *executor) SetTimer(token uint64, at time.Duration) {
	c := (*Core)(x)
	time.AfterFunc(at-c.clock(), func() { c.timerDue(token, at) })
}

// timerDue passes a timer that was due at the given time to the module, somewhat later if it is late.
func (c *Core) timerDue(token uint64, at time.Duration) {
	if c.clock()-at > patience.Tolerance {
		time.Sleep(lateTimerWait)
	}
	c.dispatch(func(now time.Duration, r *decide.Router) { r.Timer(now, token) })
}

// Probe implements decide.Executor. A failed probe is not reported to the module.
func (x *executor) Probe(server string) {
	c, w := (*Core)(x), x.workers[server]
	go func() {
		ctx, stop := patience.WithTimeout(context.Background(), probeTimeout, errNoAnswer)
		defer stop()
		p, err := c.prober.Probe(ctx, w)
		if err != nil {
			c.log.Info("probe failed", "worker", server, "err", err)
			return
		}
		p.Server = server
		c.log.Debug("probed", "worker", server, "queue", p.QueuedRequests, "tokens", p.QueuedTokens)
		c.dispatch(func(now time.Duration, r *decide.Router) { r.Probed(now, p) })
	}()
}

// RequestServerList implements decide.Executor. It does nothing, as discovery pushes the worker list.
func (x *executor) RequestServerList(bool) {}

// statusName returns the name of a status for logs.
func statusName(s decide.Status) string {
	names := [...]string{"streaming", "served", "read", "full", "errored", "timed_out", "connect_failed",
		"reset", "cancelled", "moot"}
	if s < 0 || int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}
