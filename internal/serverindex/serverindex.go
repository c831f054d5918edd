// Package serverindex keeps the servers of a list that are ready, by role, and which of them are warm at a time: what a
// decision would else look through the whole list for. It decides nothing.
package serverindex

import (
	"slices"
	"time"
)

// Entry is one server that is ready.
type Entry[S any] struct {
	Server S
	Role   int
	Kind   int
	WarmAt time.Duration // it is warm from then on
}

// Index is the ready servers of one list.
type Index[S any] struct {
	roles []role[S]
	kinds []warmTimes // when the servers of a kind become warm
}

// role is the servers of one role.
type role[S any] struct {
	ready      []S
	warmAt     []time.Duration // of each of them
	warmTimes  warmTimes
	warm, cold []S // as they were ...
	warmCount  int // ... when so many were warm, -1 = not known
}

// warmTimes is when servers become warm, in the order of time.
type warmTimes []time.Duration

// countUntil is how many have come by a time.
func (m warmTimes) countUntil(now time.Duration) int {
	if n := len(m); n == 0 || m[n-1] <= now { // as a rule
		return n
	}
	n, _ := slices.BinarySearch(m, now+1)
	return n
}

const unknownCount = -1

// New returns an empty Index for roles and kinds numbered from 0.
func New[S any](roles, kinds int) *Index[S] {
	return &Index[S]{roles: make([]role[S], roles), kinds: make([]warmTimes, kinds)}
}

// Replace takes the servers that are ready in place of those before. Their order is kept within each role.
func (x *Index[S]) Replace(all []Entry[S]) {
	for i := range x.roles {
		r := &x.roles[i]
		clear(r.ready) // lets go of servers that have left
		r.ready, r.warmAt, r.warmTimes, r.warmCount = r.ready[:0], r.warmAt[:0], r.warmTimes[:0], unknownCount
	}
	for i := range x.kinds {
		x.kinds[i] = x.kinds[i][:0]
	}
	for _, e := range all {
		r := &x.roles[e.Role]
		r.ready, r.warmAt, r.warmTimes = append(r.ready, e.Server), append(r.warmAt, e.WarmAt), append(r.warmTimes, e.WarmAt)
		x.kinds[e.Kind] = append(x.kinds[e.Kind], e.WarmAt)
	}
	for i := range x.roles {
		slices.Sort(x.roles[i].warmTimes)
	}
	for _, m := range x.kinds {
		slices.Sort(m)
	}
}

// partition sorts the servers of a role into warm and cold ones, if that has changed.
func (x *Index[S]) partition(roleNumber int, now time.Duration) *role[S] {
	r := &x.roles[roleNumber]
	count := r.warmTimes.countUntil(now)
	if count == r.warmCount {
		return r
	}
	clear(r.warm)
	clear(r.cold)
	r.warm, r.cold, r.warmCount = r.warm[:0], r.cold[:0], count
	for i, s := range r.ready {
		if r.warmAt[i] <= now {
			r.warm = append(r.warm, s)
		} else {
			r.cold = append(r.cold, s)
		}
	}
	return r
}

// Ready lists the servers of a role. Like the lists of Warm and Cold it is to be read only, and good until the next call.
func (x *Index[S]) Ready(role int) []S { return x.roles[role].ready }

// Warm lists the servers of a role that are warm at a time.
func (x *Index[S]) Warm(role int, now time.Duration) []S { return x.partition(role, now).warm }

// Cold lists the others.
func (x *Index[S]) Cold(role int, now time.Duration) []S { return x.partition(role, now).cold }

// WarmOfKind is how many servers of a kind are warm at a time.
func (x *Index[S]) WarmOfKind(kind int, now time.Duration) int { return x.kinds[kind].countUntil(now) }
