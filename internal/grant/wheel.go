package grant

import "time"

const (
	wheelBits   = 6
	wheelSlots  = 1 << wheelBits
	wheelLevels = 5 // with a tick of 5 ms the last level spans 62 days
)

// Wheel is a hierarchical timing wheel. Setting, moving and stopping a timer take constant time; a timer moves down at most
// once per level above the first. The wheel reads no clock: the user passes the time to Advance, which returns due timers
// in a deterministic order.
type Wheel[T any] struct {
	tick  time.Duration
	now   int64 // in ticks; all earlier ticks have been processed
	count int
	slots [wheelLevels][wheelSlots]Timer[T] // list heads of circular lists
}

// Timer is an entry of a Wheel, embedded in what it is for. The zero value is not set.
type Timer[T any] struct {
	next, prev *Timer[T]
	due        int64
	Value      T // set by the user
}

// NewWheel returns a wheel whose clock begins at start. A timer is due at the first tick that is not before its time.
func NewWheel[T any](tick time.Duration, start time.Duration) *Wheel[T] {
	w := &Wheel[T]{tick: max(tick, 1), now: int64(start / max(tick, 1))}
	for l := range w.slots {
		for i := range w.slots[l] {
			h := &w.slots[l][i]
			h.next, h.prev = h, h
		}
	}
	return w
}

// Len returns the number of timers that are set.
func (w *Wheel[T]) Len() int { return w.count }

// Set makes t due at the given time, replacing any earlier setting.
func (w *Wheel[T]) Set(t *Timer[T], at time.Duration) {
	w.Stop(t)
	t.due = max(w.now, int64((at+w.tick-1)/w.tick))
	w.count++
	w.place(t)
}

// Stop removes t from the wheel. It does nothing if t is not set.
func (w *Wheel[T]) Stop(t *Timer[T]) {
	if t.next == nil {
		return
	}
	t.prev.next, t.next.prev = t.next, t.prev
	t.next, t.prev = nil, nil
	w.count--
}

func (w *Wheel[T]) place(t *Timer[T]) {
	level, delta := 0, t.due-w.now
	for delta >= wheelSlots && level < wheelLevels-1 {
		delta >>= wheelBits
		level++
	}
	at := t.due
	if level == wheelLevels-1 { // beyond the range of the wheel: placed at its end and examined again there
		at = min(at, w.now+(wheelSlots-1)<<(wheelBits*(wheelLevels-1)))
	}
	h := &w.slots[level][at>>(wheelBits*level)&(wheelSlots-1)]
	t.prev, t.next = h.prev, h
	h.prev.next, h.prev = t, t
}

// Advance calls due for every timer that is due by now, in order of their ticks, and within a tick in the order in which
// they reached its slot. A timer that due sets for now or earlier fires in the same call.
func (w *Wheel[T]) Advance(now time.Duration, due func(*Timer[T])) {
	for end := int64(now / w.tick); w.now <= end; {
		if w.count == 0 {
			w.now = end + 1
			return
		}
		for level := 1; level < wheelLevels && w.now&(1<<(wheelBits*level)-1) == 0; level++ {
			w.cascade(&w.slots[level][w.now>>(wheelBits*level)&(wheelSlots-1)])
		}
		h := &w.slots[0][w.now&(wheelSlots-1)]
		for h.next != h {
			t := h.next
			w.Stop(t)
			if t.due > w.now { // beyond the range of the wheel when it was placed
				w.count++
				w.place(t)
				continue
			}
			due(t)
		}
		w.now++
	}
}

// cascade redistributes the timers of a slot to the lower levels.
func (w *Wheel[T]) cascade(h *Timer[T]) {
	first := h.next
	if first == h {
		return
	}
	h.prev.next = nil // detach the timers as a nil-terminated list
	h.next, h.prev = h, h
	for t := first; t != nil; {
		next := t.next
		w.place(t)
		t = next
	}
}
