package holders

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// After any sequence of additions and removals the index agrees with a plain set of pairs.
func TestIndexAgreesWithASetOfPairs(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var index Index[int, string]
	pairs := make(map[int]map[string]bool)
	names := []string{"a", "b", "c", "d"}
	for range 4000 {
		key, name := random.IntN(20), names[random.IntN(len(names))]
		if pairs[key] == nil {
			pairs[key] = make(map[string]bool)
		}
		if pairs[key][name] {
			index.Remove(key, name)
			delete(pairs[key], name)
		} else {
			index.Add(key, name)
			pairs[key][name] = true
		}
		got := slices.Sorted(slices.Values(index.Holders(key)))
		var want []string
		for _, n := range names {
			if pairs[key][n] {
				want = append(want, n)
			}
		}
		if !slices.Equal(got, want) {
			t.Fatalf("key %d: %v, want %v", key, got, want)
		}
	}
	for key, all := range pairs {
		for name := range all {
			index.Remove(key, name)
		}
	}
	if index.Len() != 0 {
		t.Errorf("%d keys left without a holder", index.Len())
	}
	index.Remove(1, "a") // without a holder
}
