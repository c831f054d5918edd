// Package lazysort returns the elements of a list in order without sorting those that are never requested. The first
// two elements cost one pass over the list, each further one O(log n).
package lazysort

// Order is a list whose elements are returned in order, one at a time. It permutes the slice that it was made from.
type Order[T any] struct {
	items    []T // remaining elements, a heap once isHeap is set
	before   func(a, b T) bool
	returned int
	isHeap   bool
}

// New returns an Order of items, sorted by before, which must be a strict weak ordering.
func New[T any](items []T, before func(a, b T) bool) Order[T] {
	return Order[T]{items: items, before: before}
}

// Next returns the next element, or ok == false if there are no more.
func (o *Order[T]) Next() (next T, ok bool) {
	last := len(o.items) - 1
	if last < 0 {
		return next, false
	}
	switch o.returned++; o.returned {
	case 1:
		o.moveFirstTwo()
	case 2: // already at the front
	case 3:
		o.buildHeap()
	}
	next = o.items[0]
	if !o.isHeap {
		o.items = o.items[1:]
		return next, true
	}
	o.items[0], o.items[last] = o.items[last], o.items[0]
	o.items = o.items[:last]
	o.siftDown(0)
	return next, true
}

// moveFirstTwo moves the first two elements of the order to the front. Most elements are compared only with the
// second.
func (o *Order[T]) moveFirstTwo() {
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

// buildHeap turns the remaining elements into a heap.
func (o *Order[T]) buildHeap() {
	o.isHeap = true
	for i := len(o.items)/2 - 1; i >= 0; i-- {
		o.siftDown(i)
	}
}

// siftDown moves an element down to its place in the heap.
func (o *Order[T]) siftDown(parent int) {
	for {
		child := 2*parent + 1
		if child >= len(o.items) {
			return
		}
		if sibling := child + 1; sibling < len(o.items) && o.before(o.items[sibling], o.items[child]) {
			child = sibling
		}
		if !o.before(o.items[child], o.items[parent]) {
			return
		}
		o.items[parent], o.items[child] = o.items[child], o.items[parent]
		parent = child
	}
}
