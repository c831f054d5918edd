package toyserver

import (
	"testing"
	"time"
)

func TestQueue(t *testing.T) {
	q := NewQueue(2, time.Second)
	for i, want := range []time.Duration{4, 4, 7, 7, 10} {
		if ends := q.Peek(time.Second).Take(3 * time.Second); ends != want*time.Second {
			t.Errorf("request %d ends at %v, want %v", i, ends, want*time.Second)
		}
	}
	if got := q.Backlog(5 * time.Second); got != 7*time.Second { // 10 and 7
		t.Errorf("%v of work left", got)
	}
	if s := q.Peek(20 * time.Second); s.Start != 20*time.Second {
		t.Errorf("idle queue starts at %v", s.Start)
	}
	if got := q.Backlog(20 * time.Second); got != 0 {
		t.Errorf("%v of work left: Peek must not reserve a unit", got)
	}
}

func TestColdLimit(t *testing.T) {
	for budget, want := range map[float64]float64{0: 3, 1: 7, 25: 43, 36: 50, 100: 122} {
		if got := ColdLimit(budget); got != want {
			t.Errorf("a budget of %g: %g, want %g", budget, got, want)
		}
	}
}

func TestCache(t *testing.T) {
	c := NewCache(10)
	c.Put(1, 4)
	c.Put(2, 4)
	if c.Get(1) != 4 || c.Get(3) != 0 {
		t.Errorf("%d and %d", c.Get(1), c.Get(3))
	}
	c.Put(3, 4) // 2 was used longest ago
	if c.Get(2) != 0 || c.Get(1) != 4 || c.Get(3) != 4 {
		t.Errorf("%d, %d, %d", c.Get(1), c.Get(2), c.Get(3))
	}
	c.Put(1, 5)
	if c.Get(1) != 5 || c.Get(3) != 4 {
		t.Errorf("%d, %d: the longer entry must replace the shorter one", c.Get(1), c.Get(3))
	}
	c.Put(9, 11)
	if c.Get(9) != 0 || c.used != 0 {
		t.Errorf("%d tokens cached of an entry that does not fit, %d used", c.Get(9), c.used)
	}
}
