package registry

import (
	"context"
	"sync"
	"time"
)

// Silence is a period in which an Endpoint accepts calls and sends nothing.
type Silence struct {
	AnswersWaiting bool // calls that came in it are answered at its end, else never
	KeepsWatches   bool // watches from before it go on after it, else they carry nothing any more
}

// agent holds the faults of an Endpoint and counts its calls. The zero value has no faults.
type agent struct {
	mu      sync.Mutex
	silence *currentSilence // nil: none
	latency time.Duration   // of each answer
	calls   CallCounts
	onCall  func(CallCounts)
}

// CallCounts counts the calls to an Endpoint, a list or a watch each.
type CallCounts struct{ Total, Open int }

// OnCall has f called with the counts when a call begins or ends. f must not block.
func (d *Endpoint) OnCall(f func(CallCounts)) {
	d.agent.mu.Lock()
	defer d.agent.mu.Unlock()
	d.agent.onCall = f
}

func (a *agent) countCall(total, open int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls.Total += total
	a.calls.Open += open
	if a.onCall != nil {
		a.onCall(a.calls)
	}
}

type currentSilence struct {
	Silence
	over chan struct{} // closed at its end
}

// BeginSilence has the Endpoint fall silent.
func (d *Endpoint) BeginSilence(s Silence) {
	d.EndSilence()
	d.agent.mu.Lock()
	defer d.agent.mu.Unlock()
	d.agent.silence = &currentSilence{s, make(chan struct{})}
}

// EndSilence ends a silence, if there is one. What the Registry has by then is served from now on.
func (d *Endpoint) EndSilence() {
	d.agent.mu.Lock()
	defer d.agent.mu.Unlock()
	if d.agent.silence != nil {
		close(d.agent.silence.over)
		d.agent.silence = nil
	}
}

// SetLatency has the Endpoint answer each call after the given time.
func (d *Endpoint) SetLatency(latency time.Duration) {
	d.agent.mu.Lock()
	defer d.agent.mu.Unlock()
	d.agent.latency = latency
}

// Retire has the Endpoint accept no more connections, and closes the open ones after the given time.
func (d *Endpoint) Retire(after time.Duration) {
	d.listener.Close()
	time.AfterFunc(after, func() { d.server.Close() })
}

func (a *agent) state() (*currentSilence, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.silence, a.latency
}

// awaitAnswer waits until a new call may be answered. It returns false if the caller has gone, and never before that if the call
// is not answered.
func (a *agent) awaitAnswer(ctx context.Context) bool {
	silence, latency := a.state()
	if silence != nil && !silence.await(ctx, silence.AnswersWaiting) {
		return false
	}
	if latency <= 0 {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(latency):
		return a.awaitLine(ctx)
	}
}

// awaitLine waits until a watch may carry its next line. Its result is that of awaitAnswer.
func (a *agent) awaitLine(ctx context.Context) bool {
	for {
		silence, _ := a.state()
		if silence == nil {
			return true
		}
		if !silence.await(ctx, silence.KeepsWatches) {
			return false
		}
	}
}

// await waits until the silence is over, or until the caller has gone if the call does not go on after it. It returns false if
// the caller has gone.
func (s *currentSilence) await(ctx context.Context, goesOn bool) bool {
	over := s.over
	if !goesOn {
		over = nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-over:
		return true
	}
}
