// Package lazysort hands out the elements of a list in order without sorting those that nobody asks for: the first two cost
// one pass over the list, the others a heap's logarithm.
package lazysort

// Order is a list that is handed out in order. It permutes the slice that it was made of.
type Order[T any] struct {
	items  []T // those that are left; as a heap once heaped
	before func(a, b T) bool
	handed int
	heaped bool
}

// New returns an Order of items, in which an element comes before others as before says.
func New[T any](items []T, before func(a, b T) bool) Order[T] {
	return Order[T]{items: items, before: before}
}

// Next is the next element, and whether there is one.
func (o *Order[T]) Next() (next T, ok bool) {
	last := len(o.items) - 1
	if last < 0 {
		return next, false
	}
	switch o.handed++; o.handed {
	case 1:
		o.firstTwo()
	case 2: // it is in front already
	case 3:
		o.heap()
	}
	next = o.items[0]
	if !o.heaped {
		o.items = o.items[1:]
		return next, true
	}
	o.items[0], o.items[last] = o.items[last], o.items[0]
	o.items = o.items[:last]
	o.sink(0)
	return next, true
}

// firstTwo puts the two elements that come first in front. Most elements are compared once: with the second.
func (o *Order[T]) firstTwo() {
	items := o.items
	if len(items) < 2 {
		return
	}
	if o.before(items[1], items[0]) {
		items[0], items[1] = items[1], items[0]
	}
	for i := 2; i < len(items); i++ {
		if !o.before(items[i], items[1]) {
			continue
		}
		items[1], items[i] = items[i], items[1]
		if o.before(items[1], items[0]) {
			items[0], items[1] = items[1], items[0]
		}
	}
}

// heap makes a heap of what is left.
func (o *Order[T]) heap() {
	o.heaped = true
	for i := len(o.items)/2 - 1; i >= 0; i-- {
		o.sink(i)
	}
}

// sink moves an element down to its place in the heap.
func (o *Order[T]) sink(at int) {
	for {
		child := 2*at + 1
		if child >= len(o.items) {
			return
		}
		if other := child + 1; other < len(o.items) && o.before(o.items[other], o.items[child]) {
			child = other
		}
		if !o.before(o.items[child], o.items[at]) {
			return
		}
		o.items[at], o.items[child] = o.items[child], o.items[at]
		at = child
	}
}
