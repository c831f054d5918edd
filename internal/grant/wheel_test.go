package grant

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The wheel fires the same timers at the same ticks as a plain list, whatever is set, moved and stopped.
func TestWheelMatchesAList(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		const tick = 5 * time.Millisecond
		start := time.Duration(rng.Int64N(int64(100 * time.Hour)))
		w := NewWheel[int](tick, start)
		timers := make([]Timer[int], 60)
		due := map[int]int64{} // the list
		now := start
		for i := range timers {
			timers[i].Value = i
		}
		for range 300 {
			i := rng.IntN(len(timers))
			switch rng.IntN(4) {
			case 0, 1:
				at := now + time.Duration(rng.Int64N(int64(time.Millisecond)<<rng.IntN(26)))
				w.Set(&timers[i], at)
				due[i] = max(w.now, int64((at+tick-1)/tick))
			case 2:
				w.Stop(&timers[i])
				delete(due, i)
			case 3:
				now += time.Duration(rng.Int64N(int64(time.Millisecond) << rng.IntN(18)))
				var got []int
				last := int64(0)
				w.Advance(now, func(x *Timer[int]) {
					if x.due < last {
						t.Fatalf("seed %d: due %d after %d", seed, x.due, last)
					}
					last = x.due
					got = append(got, x.Value)
				})
				var want []int
				for i, at := range due {
					if at <= int64(now/tick) {
						want = append(want, i)
						delete(due, i)
					}
				}
				slices.Sort(got)
				slices.Sort(want)
				if !slices.Equal(got, want) {
					t.Fatalf("seed %d: %v, want %v", seed, got, want)
				}
			}
			if w.Len() != len(due) {
				t.Fatalf("seed %d: %d timers, want %d", seed, w.Len(), len(due))
			}
		}
	}
}

// A timer that is set for now while timers fire comes in the same call; one set for later does not.
func TestWheelSetWhileDue(t *testing.T) {
	w := NewWheel[string](time.Millisecond, 0)
	var a, b Timer[string]
	a.Value, b.Value = "a", "b"
	w.Set(&a, 10*time.Millisecond)
	var got []string
	w.Advance(10*time.Millisecond, func(x *Timer[string]) {
		got = append(got, x.Value)
		if len(got) == 1 {
			w.Set(&b, 0)
			w.Set(&a, 11*time.Millisecond)
		}
	})
	if fmt.Sprint(got) != "[a b]" || w.Len() != 1 {
		t.Errorf("%v, %d left", got, w.Len())
	}
}

// A binary heap, to compare the wheel with.
type heapQueue []*heapTimer

type heapTimer struct {
	at time.Duration
	i  int
}

func (h heapQueue) Len() int           { return len(h) }
func (h heapQueue) Less(i, j int) bool { return h[i].at < h[j].at }
func (h heapQueue) Swap(i, j int)      { h[i], h[j] = h[j], h[i]; h[i].i, h[j].i = i, j }
func (h *heapQueue) Push(x any)        { x.(*heapTimer).i = len(*h); *h = append(*h, x.(*heapTimer)) }
func (h *heapQueue) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// Measures the renewal of one of n timers at random while the clock moves on, with timers that expire set again.
func BenchmarkTimers(b *testing.B) {
	const hold = 300 * time.Millisecond
	for _, n := range []int{1_000, 10_000, 100_000} {
		step := hold / time.Duration(n) // each timer is renewed once per hold time on average
		b.Run(fmt.Sprintf("wheel/%d", n), func(b *testing.B) {
			rng, now := rand.New(rand.NewPCG(1, 1)), time.Duration(0)
			w, all := NewWheel[int](5*time.Millisecond, 0), make([]Timer[int], n)
			for i := range all {
				w.Set(&all[i], time.Duration(rng.Int64N(int64(hold))))
			}
			b.ReportAllocs()
			for b.Loop() {
				now += step
				w.Set(&all[rng.IntN(n)], now+hold)
				w.Advance(now, func(t *Timer[int]) { w.Set(t, now+hold) })
			}
		})
		b.Run(fmt.Sprintf("heap/%d", n), func(b *testing.B) {
			rng, now := rand.New(rand.NewPCG(1, 1)), time.Duration(0)
			var h heapQueue
			all := make([]heapTimer, n)
			for i := range all {
				all[i].at = time.Duration(rng.Int64N(int64(hold)))
				heap.Push(&h, &all[i])
			}
			b.ReportAllocs()
			for b.Loop() {
				now += step
				t := &all[rng.IntN(n)]
				t.at = now + hold
				heap.Fix(&h, t.i)
				for h[0].at <= now {
					h[0].at = now + hold
					heap.Fix(&h, 0)
				}
			}
		})
		b.Run(fmt.Sprintf("runtime/%d", n), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 1))
			all := make([]*time.Timer, n)
			for i := range all {
				all[i] = time.AfterFunc(time.Hour+time.Duration(rng.Int64N(int64(hold))), func() {})
			}
			b.ReportAllocs()
			for b.Loop() {
				all[rng.IntN(n)].Reset(time.Hour + hold)
			}
			b.StopTimer()
			for _, t := range all {
				t.Stop()
			}
		})
	}
}
