// Package invariant counts and logs, at run time, what the guards of a router find. There is a guard for each kind of step
// that can break a guarantee: sending an attempt, repeating one, closing what is open or held, and starting something new.
// A guard is called at the one place where the step is taken, and judges by itself whether the step is right.
package invariant

import (
	"context"
	"log/slog"
	"sync/atomic"
)

// Step is a kind of step that a guard checks.
type Step int

// The steps.
const (
	Sending   Step = iota // the first byte of an attempt
	Repeating             // a further attempt of a request
	Closing               // the end of a connection, or of what is held at workers
	Starting              // a request, or the process
	numSteps
)

var stepNames = [numSteps]string{"sending", "repeating", "closing", "starting"}

// String returns the name of the step, as logs and metrics have it.
func (s Step) String() string { return stepNames[s] }

// Guard counts, for one process, the findings of the guards of all steps. The zero value is ready to use and logs nothing.
// Its methods may be called from several goroutines.
type Guard struct {
	Log    *slog.Logger // set before use
	counts [numSteps]struct{ stopped, violated atomic.Int64 }
}

// Stopped counts and logs a step that was not taken: when its turn came, a concurrent event had made it wrong. This is no bug.
func (g *Guard) Stopped(step Step, reason string, attrs ...any) {
	g.counts[step].stopped.Add(1)
	g.log(slog.LevelInfo, "stopped", step, reason, attrs)
}

// Violated counts and logs a broken invariant. There is a bug, even where the guard could stop the step.
func (g *Guard) Violated(step Step, reason string, attrs ...any) {
	g.counts[step].violated.Add(1)
	g.log(slog.LevelError, "invariant violated", step, reason, attrs)
}

func (g *Guard) log(level slog.Level, message string, step Step, reason string, attrs []any) {
	if g.Log != nil {
		g.Log.Log(context.Background(), level, message, append([]any{"step", step.String(), "reason", reason}, attrs...)...)
	}
}

// Count holds the findings of the guard of one step.
type Count struct {
	Step              Step
	Stopped, Violated int64
}

// Counts returns the findings so far, indexed by step.
func (g *Guard) Counts() []Count {
	all := make([]Count, numSteps)
	for step := range numSteps {
		all[step] = Count{step, g.counts[step].stopped.Load(), g.counts[step].violated.Load()}
	}
	return all
}

// Totals returns the findings so far, summed over all steps.
func (g *Guard) Totals() (stopped, violated int64) {
	for _, c := range g.Counts() {
		stopped += c.Stopped
		violated += c.Violated
	}
	return stopped, violated
}
