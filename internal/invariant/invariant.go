// Package invariant counts, at run time, what the guards of a router find. There is one guard for each kind of step that can
// break a promise: sending an attempt, repeating one, closing what is open or held, and starting something new. A guard stands
// at the one place where the step is taken, and asks nobody else whether it is right.
package invariant

import (
	"context"
	"log/slog"
	"sync/atomic"
)

// Step is what a guard stands before.
type Step int

// The steps.
const (
	Sending   Step = iota // the first byte of an attempt
	Repeating             // a further attempt of a request
	Closing               // the end of a connection, or of what is held at workers
	Starting              // a request, or the process
	steps
)

var names = [steps]string{"sending", "repeating", "closing", "starting"}

func (s Step) String() string { return names[s] }

// Guard counts for one process. The zero value logs nothing.
type Guard struct {
	Log   *slog.Logger // set before use
	count [steps]struct{ stopped, violated atomic.Int64 }
}

// Stopped notes that a step was due no more when it was to be taken, as two events had crossed: it was not taken.
func (g *Guard) Stopped(step Step, reason string, attrs ...any) {
	g.count[step].stopped.Add(1)
	g.log(slog.LevelInfo, "stopped", step, reason, attrs)
}

// Violated notes that an invariant did not hold: there is a bug, whether the guard could stop the step or not.
func (g *Guard) Violated(step Step, reason string, attrs ...any) {
	g.count[step].violated.Add(1)
	g.log(slog.LevelError, "invariant violated", step, reason, attrs)
}

func (g *Guard) log(level slog.Level, message string, step Step, reason string, attrs []any) {
	if g.Log != nil {
		g.Log.Log(context.Background(), level, message, append([]any{"step", step.String(), "reason", reason}, attrs...)...)
	}
}

// Count is what one step's guard has found.
type Count struct {
	Step              Step
	Stopped, Violated int64
}

// Counts lists what was found so far, by step.
func (g *Guard) Counts() []Count {
	all := make([]Count, steps)
	for step := range steps {
		all[step] = Count{step, g.count[step].stopped.Load(), g.count[step].violated.Load()}
	}
	return all
}

// Totals sums up all steps.
func (g *Guard) Totals() (stopped, violated int64) {
	for _, c := range g.Counts() {
		stopped += c.Stopped
		violated += c.Violated
	}
	return stopped, violated
}
