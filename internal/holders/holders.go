// Package holders provides an index from keys to their holders, the inverse of tables that each list their own keys.
package holders

import "slices"

// Index maps each key to its holders. The zero value is empty.
type Index[K, H comparable] struct{ byKey map[K][]H }

// Add records that holder has the key. It must not have it already.
func (x *Index[K, H]) Add(key K, holder H) {
	if x.byKey == nil {
		x.byKey = make(map[K][]H)
	}
	x.byKey[key] = append(x.byKey[key], holder)
}

// Remove records that holder no longer has the key. It does nothing if holder does not have it.
func (x *Index[K, H]) Remove(key K, holder H) {
	list := x.byKey[key]
	i := slices.Index(list, holder)
	if i < 0 {
		return
	}
	last := len(list) - 1
	list[i] = list[last]
	var zero H
	list[last] = zero // do not keep the holder reachable
	if last == 0 {
		delete(x.byKey, key)
		return
	}
	x.byKey[key] = list[:last]
}

// Holders returns the holders of a key in no particular order. The slice is valid until the next change.
func (x *Index[K, H]) Holders(key K) []H { return x.byKey[key] }

// Len returns the number of keys that have a holder.
func (x *Index[K, H]) Len() int { return len(x.byKey) }
