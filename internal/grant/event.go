package grant

import (
	"cmp"
	"slices"
	"time"
)

// Step is the kind of an Event.
type Step string

// The kinds of events.
const (
	StepAsk    Step = "ask"
	StepOffer  Step = "offer"
	StepTakeUp Step = "take up"
	StepRenew  Step = "renew"
	StepReport Step = "report"
	StepExpire Step = "expire"
	StepRevoke Step = "revoke"
	StepOver   Step = "over"
)

// Event describes one step of a Table, for logs and checkers. Err is why the step was rejected, nil if it was not.
type Event struct {
	At            time.Duration
	Step          Step
	Caller        string
	Request       string
	Attempt       int
	Grant         uint64
	Worker        string
	Read          bool
	NonIdempotent bool
	State         State
	Fate          Fate
	ValidUntil    time.Duration
	Since         time.Duration // when the grant was offered
	Err           error
}

func (t *Table) logStep(now time.Duration, step Step, g *Grant, err error) {
	if t.log == nil {
		return
	}
	e := Event{At: now, Step: step, Err: err}
	if g != nil {
		e.Caller, e.Request, e.Attempt, e.Grant = g.req.caller.name, g.req.id, g.Attempt, g.ID
		e.Worker, e.Read, e.NonIdempotent, e.State, e.Fate, e.ValidUntil, e.Since = g.Worker, g.Read, g.req.nonIdempotent, g.State, g.Fate, g.ValidUntil, g.OfferedAt
	}
	t.log(e)
}

// GrantInfo describes one grant for operators.
type GrantInfo struct {
	Grant   uint64
	Request string
	Caller  string
	Class   int
	Attempt int
	Worker  string
	Read    bool
	State   State
	Age     time.Duration // since it was offered
	Left    time.Duration // until the caller may no longer act on it
}

// List returns the known grants, oldest first, at most limit of them.
func (t *Table) List(now time.Duration, limit int) []GrantInfo {
	var list []GrantInfo
	for _, g := range t.grants {
		list = append(list, GrantInfo{g.ID, g.req.id, g.req.caller.name, g.req.class, g.Attempt, g.Worker, g.Read, g.State,
			now - g.OfferedAt, max(0, g.ValidUntil-now)})
	}
	slices.SortFunc(list, func(a, b GrantInfo) int { return cmp.Compare(a.Grant, b.Grant) })
	return list[:min(len(list), limit)]
}

// Counts are the current sizes of a Table.
type Counts struct {
	Requests, Effects, Callers int
	States                     [Expired + 1]int // grants by state
}

// Count returns the current sizes.
func (t *Table) Count() Counts {
	c := Counts{Requests: len(t.requests), Effects: len(t.ledger.effects), Callers: len(t.callers)}
	for _, g := range t.grants {
		c.States[g.State]++
	}
	return c
}
