// Package holders knows who holds which keys, for as long as they say so. It is the inverse of tables that each know their
// own keys.
package holders

import "slices"

// Index is who holds which keys. The zero value is empty.
type Index[K, H comparable] struct{ of map[K][]H }

// Add notes that a holder has a key. It must not have it already.
func (x *Index[K, H]) Add(key K, holder H) {
	if x.of == nil {
		x.of = make(map[K][]H)
	}
	x.of[key] = append(x.of[key], holder)
}

// Remove notes that a holder has a key no more.
func (x *Index[K, H]) Remove(key K, holder H) {
	all := x.of[key]
	i := slices.Index(all, holder)
	if i < 0 {
		return
	}
	last := len(all) - 1
	all[i] = all[last]
	var none H
	all[last] = none // lets go of the holder
	if last == 0 {
		delete(x.of, key)
		return
	}
	x.of[key] = all[:last]
}

// Of lists who holds a key, in no order. The list is good until the next change.
func (x *Index[K, H]) Of(key K) []H { return x.of[key] }

// Len is how many keys are held.
func (x *Index[K, H]) Len() int { return len(x.of) }
