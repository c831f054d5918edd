package lazysort

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// Every element is returned in order, for every length, and the slice still holds all of them.
func TestOrder(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for length := range 40 {
		items := random.Perm(length)
		order := New(items, func(a, b int) bool { return a < b })
		for want := range length {
			if got, ok := order.Next(); !ok || got != want {
				t.Fatalf("length %d: got %d, %v at position %d", length, got, ok, want)
			}
		}
		if got, ok := order.Next(); ok {
			t.Errorf("length %d: got %d past the end", length, got)
		}
		slices.Sort(items)
		for i, item := range items {
			if i != item {
				t.Fatalf("length %d: the slice holds %v", length, items)
			}
		}
	}
}

// The first two elements cost one pass over the list, not a sort.
func TestTheFirstTwoCostOnePass(t *testing.T) {
	const length = 1000
	compared := 0
	order := New(rand.New(rand.NewPCG(1, 1)).Perm(length), func(a, b int) bool { compared++; return a < b })
	for range 2 {
		order.Next()
	}
	if compared > length+length/10 {
		t.Errorf("%d comparisons for the first two of %d elements", compared, length)
	}
}
