package core

// This file owns what the decision module acts through: its choices are handed to the request that they are for.

import (
	"context"
	"time"

	"rowanyard/decide"
)

// probeWait is after how long a probe without an answer is given up.
const probeWait = 250 * time.Millisecond

// actions is what the module acts through. It is called under the core's lock, while the module
// handles an event.
type actions Core

func (x *actions) choose(id decide.RequestID, ch choice) {
	l := x.lives[id]
	if l == nil {
		return
	}
	select {
	case l.choices <- ch:
	default:
		x.log.Error("module floods a request", "id", id)
	}
}

func (x *actions) settle(id decide.RequestID, v Verdict, retryAfter time.Duration) {
	if l := x.lives[id]; l != nil && l.verdict == Open {
		l.verdict, l.retryAfter = v, retryAfter
		x.choose(id, choice{do: settle})
	}
}

// Explain implements decide.Explainer.
func (x *actions) Explain(id decide.RequestID, why decide.Reason) {
	if l := x.lives[id]; l != nil {
		l.why = string(why)
	}
}

// reason is the module's latest for what it chose.
func (l *life) reason() string {
	l.core.mu.Lock()
	defer l.core.mu.Unlock()
	return l.why
}

// Send implements decide.Front.
func (x *actions) Send(id decide.RequestID, server string, timeout time.Duration) {
	x.choose(id, choice{do: send, worker: server, timeout: timeout})
}

// Cancel implements decide.Front.
func (x *actions) Cancel(id decide.RequestID, attempt int) {
	x.choose(id, choice{do: cancel, n: attempt})
}

// Refuse implements decide.Front.
func (x *actions) Refuse(id decide.RequestID, retryAfter time.Duration) {
	x.settle(id, Refused, retryAfter)
}

// Fail implements decide.Front.
func (x *actions) Fail(id decide.RequestID) { x.settle(id, Failed, 0) }

// Release implements decide.Front.
func (x *actions) Release(id decide.RequestID) { x.choose(id, choice{do: release}) }

// SetTimer implements decide.Front.
func (x *actions) SetTimer(token uint64, at time.Duration) {
	c := (*Core)(x)
	time.AfterFunc(at-c.clock(), func() {
		c.tell(func(now time.Duration, r *decide.Router) { r.Timer(now, token) })
	})
}

// Probe implements decide.Front. A probe without an answer is not told.
func (x *actions) Probe(server string) {
	c, w := (*Core)(x), x.workers[server]
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), probeWait)
		defer stop()
		p, err := c.prober.Probe(ctx, w)
		if err != nil {
			c.log.Info("probe failed", "worker", server, "err", err)
			return
		}
		p.Server = server
		c.log.Debug("probed", "worker", server, "queue", p.Queue, "tokens", p.Tokens)
		c.tell(func(now time.Duration, r *decide.Router) { r.Probed(now, p) })
	}()
}

// AskServers implements decide.Front. The list is pushed: there is nobody to ask.
func (x *actions) AskServers(bool) {}

func statusName(s decide.Status) string {
	names := [...]string{"streaming", "served", "read", "full", "errored", "timed_out", "connect_failed",
		"reset", "cancelled", "moot"}
	if s < 0 || int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}
