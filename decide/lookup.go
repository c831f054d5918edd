package decide

import (
	"slices"
	"time"
)

// What a choice looks up in place of going through the whole list. Nothing is decided here: see decide.go.

// place is where a server is.
type place struct{ cell, zone int }

// scratch is a list whose memory serves again.
type scratch []*server

// keep drops the others.
func (l *scratch) keep(which func(*server) bool) { l.filter(*l, which) }

// at is the place of a server in a list that is in the index's order.
func (l *scratch) at(s *server) (place int, found bool) {
	return slices.BinarySearchFunc(*l, s, func(a, b *server) int { return a.place - b.place })
}

// add puts a server in its place. The order of readers is of no account: they are ranked.
func (l *scratch) add(s *server) {
	if s.role == Reader {
		*l = append(*l, s)
		return
	}
	place, _ := l.at(s)
	*l = slices.Insert(*l, place, s)
}

// remove takes a server out, if it is there.
func (l *scratch) remove(s *server) {
	if s.role == Reader {
		*l = slices.DeleteFunc(*l, func(o *server) bool { return o == s })
	} else if place, found := l.at(s); found {
		*l = slices.Delete(*l, place, place+1)
	}
}

// filter lists the servers to keep in place of those before.
func (l *scratch) filter(of []*server, keep func(*server) bool) []*server {
	*l = (*l)[:0]
	for _, s := range of {
		if keep(s) {
			*l = append(*l, s)
		}
	}
	return *l
}

// sumAnswers sums up how long answers take, by the role of the ready servers.
func (r *Router) sumAnswers() {
	for role := range r.answers {
		r.answers[role] = newStreams()
		for _, s := range r.index.Ready(role) {
			r.answers[role].addAll(&s.streams, r.now)
		}
	}
}

// answerBegins and answerEnds book an answer of the given hint at s.
func (r *Router) answerBegins(s *server, hint time.Duration) {
	s.streams.begin(r.now, hint)
	if s.State == Ready {
		r.answers[s.role].begin(r.now, hint)
	}
}

func (r *Router) answerEnds(s *server, first, hint time.Duration) {
	s.streams.end(first, hint, r.now)
	if s.State == Ready {
		r.answers[s.role].end(first, hint, r.now)
	}
}

// special lists the ready servers of a role that are not like most: each choice has to look at them.
func (r *Router) special(role Role) []*server {
	r.specials[role] = slices.DeleteFunc(r.specials[role], func(s *server) bool {
		s.marked = s.isSpecial()
		return !s.marked
	})
	return r.specials[role]
}

func (s *server) isSpecial() bool { return s.suspect || s.tokens > 0 || len(s.full) > 0 }

// mark has each choice look at s for as long as it is special.
func (r *Router) mark(s *server) {
	if s.State == Ready && !s.marked && s.isSpecial() {
		s.marked = true
		r.specials[s.role] = append(r.specials[s.role], s)
	}
}

// coldCandidates lists the cold servers of a role that could be open to p: of the writers near its reader only the one that it
// names, where fronts are many.
func (r *Router) coldCandidates(p *request, role Role) []*server {
	if role != Writer || p.reader == nil || !r.many() {
		return r.index.Cold(int(role), r.now)
	}
	if p.named == nil || r.warm(p.named) {
		return nil
	}
	return []*server{p.named}
}

// reached says that the zone of s is not left alone just now.
func (r *Router) reached(s *server) bool { return r.now >= r.zone(s.Zone).rest.till }

// anyZoneRests says that some zone is left alone just now.
func (r *Router) anyZoneRests() bool {
	for _, z := range r.zones {
		if r.now < z.rest.till {
			return true
		}
	}
	return false
}

// warmOnes is how many ready servers of a kind are warm.
func (r *Router) warmOnes(kind int) int { return r.index.WarmOfKind(kind, r.now) }
