// Package holders knows who holds which keys, for as long as they say so. It is the inverse of tables that each know their
// own keys.
package holders

import "slices"

// Index is who holds which keys. The zero value is empty.
type Index[K, H comparable] struct{ byKey map[K][]H }

// Add notes that a holder has a key. It must not have it already.
func (x *Index[K, H]) Add(key K, holder H) {
	if x.byKey == nil {
		x.byKey = make(map[K][]H)
	}
	x.byKey[key] = append(x.byKey[key], holder)
}

// Remove notes that a holder has a key no more.
func (x *Index[K, H]) Remove(key K, holder H) {
	list := x.byKey[key]
	i := slices.Index(list, holder)
	if i < 0 {
		return
	}
	last := len(list) - 1
	list[i] = list[last]
	var zero H
	list[last] = zero // lets go of the holder
	if last == 0 {
		delete(x.byKey, key)
		return
	}
	x.byKey[key] = list[:last]
}

// Of lists who holds a key, in no order. The list is good until the next change.
func (x *Index[K, H]) Of(key K) []H { return x.byKey[key] }

// Len is how many keys are held.
func (x *Index[K, H]) Len() int { return len(x.byKey) }
