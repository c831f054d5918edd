package grant

import "time"

// ledger remembers which non-idempotent requests may have run, by request id. An entry is never dropped before its time to
// make room: when the ledger is full, new entries are refused.
type ledger struct {
	capacity int
	effects  map[string]*effect
	wheel    *Wheel[*effect]
}

type effect struct {
	id    string
	until time.Duration
	timer Timer[*effect]
}

func newLedger(capacity int, tick, now time.Duration) *ledger {
	return &ledger{capacity: capacity, effects: make(map[string]*effect), wheel: NewWheel[*effect](max(tick, 100*time.Millisecond), now)}
}

// contains reports whether the request may have run.
func (l *ledger) contains(id string) bool { return l.effects[id] != nil }

func (l *ledger) full() bool { return len(l.effects) >= l.capacity }

// reserve records, before a write is granted, that the request may run, and keeps the entry until the given time. It
// returns false if the ledger is full.
func (l *ledger) reserve(id string, until time.Duration) bool {
	if !l.contains(id) && l.full() {
		return false
	}
	l.add(id, until)
	return true
}

// add is reserve without the limit.
func (l *ledger) add(id string, until time.Duration) {
	e := l.effects[id]
	if e == nil {
		e = &effect{id: id}
		e.timer.Value = e
		l.effects[id] = e
	}
	e.until = until
	l.wheel.Set(&e.timer, until)
}

// clear removes a request that has not run and no longer can.
func (l *ledger) clear(id string) {
	if e := l.effects[id]; e != nil {
		l.wheel.Stop(&e.timer)
		delete(l.effects, id)
	}
}

// extend records that the request has run, or counts as run, and keeps its entry until the given time.
func (l *ledger) extend(id string, until time.Duration) {
	if l.contains(id) {
		l.add(id, until)
	}
}

func (l *ledger) advance(now time.Duration) {
	l.wheel.Advance(now, func(t *Timer[*effect]) { delete(l.effects, t.Value.id) })
}

// Effect is a request of which a Table remembers that it may have run.
type Effect struct {
	Request string
	Until   time.Duration // when it is forgotten
}

// Effects returns the requests that must not run twice and may have run, in no particular order.
func (t *Table) Effects() []Effect {
	effects := make([]Effect, 0, len(t.ledger.effects))
	for id, e := range t.ledger.effects {
		effects = append(effects, Effect{id, e.until})
	}
	return effects
}

// AddEffect records that a request may have run by a grant of another Table. It is remembered also if the ledger is full:
// that limit holds for what this Table grants.
func (t *Table) AddEffect(e Effect) {
	if known := t.ledger.effects[e.Request]; known == nil || known.until < e.Until {
		t.ledger.add(e.Request, e.Until)
	}
}

// RemoveEffect records that a request that AddEffect was called for has not run after all.
func (t *Table) RemoveEffect(request string) { t.ledger.clear(request) }

// MayHaveRun reports whether a request that must not run twice may have run.
func (t *Table) MayHaveRun(request string) bool { return t.ledger.contains(request) }
