// Package serverindex indexes the ready servers of a list by role and by whether they are warm at a given time, so that
// decisions need not scan the whole list.
package serverindex

import (
	"slices"
	"time"
)

// Entry is a ready server.
type Entry[S any] struct {
	Server S
	Role   int
	Kind   int
	WarmAt time.Duration // warm from this time on
}

// Index holds the ready servers of a list. It is not safe for concurrent use: queries reuse memory.
type Index[S any] struct {
	roles []role[S]
	kinds []warmTimes // by kind
}

// role holds the servers of one role.
type role[S any] struct {
	ready      []S
	warmAt     []time.Duration // of each ready server
	warmTimes  warmTimes
	warm, cold []S // the ready servers, divided ...
	warmCount  int // ... when this many were warm, or unknownCount
}

// warmTimes is the sorted list of the times at which servers become warm.
type warmTimes []time.Duration

// countUntil returns the number of times that are not after now.
func (m warmTimes) countUntil(now time.Duration) int {
	if n := len(m); n == 0 || m[n-1] <= now { // the usual case: all are warm
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

// Replace sets the ready servers. Their order is kept within each role.
func (x *Index[S]) Replace(all []Entry[S]) {
	for i := range x.roles {
		r := &x.roles[i]
		clear(r.ready) // do not keep removed servers reachable
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

// partition divides the servers of a role into warm and cold ones, unless the current division is still valid.
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

// Ready returns the servers of a role. Like the results of Warm and Cold, the slice must not be modified and is valid
// until the next call.
func (x *Index[S]) Ready(role int) []S { return x.roles[role].ready }

// Warm returns the servers of a role that are warm at the given time.
func (x *Index[S]) Warm(role int, now time.Duration) []S { return x.partition(role, now).warm }

// Cold returns the servers of a role that are not yet warm at the given time.
func (x *Index[S]) Cold(role int, now time.Duration) []S { return x.partition(role, now).cold }

// WarmCount returns the number of servers of a kind that are warm at the given time.
func (x *Index[S]) WarmCount(kind int, now time.Duration) int { return x.kinds[kind].countUntil(now) }
