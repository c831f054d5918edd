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
	e := l.effects[id]
	if e == nil {
		if l.full() {
			return false
		}
		e = &effect{id: id}
		e.timer.Value = e
		l.effects[id] = e
	}
	l.wheel.Set(&e.timer, until)
	return true
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
	if e := l.effects[id]; e != nil {
		l.wheel.Set(&e.timer, until)
	}
}

func (l *ledger) advance(now time.Duration) {
	l.wheel.Advance(now, func(t *Timer[*effect]) { delete(l.effects, t.Value.id) })
}
