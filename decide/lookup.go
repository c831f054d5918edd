package decide

import (
	"slices"
	"time"
)

// What a choice looks up in place of going through the whole list. Nothing is decided here: see decide.go.

// location is where a server is.
type location struct{ cell, zone int }

// scratch is a list whose memory serves again.
type scratch []*server

// keep drops the others.
func (l *scratch) keep(pred func(*server) bool) { l.filter(*l, pred) }

// find is the place of a server in a list that is in the index's order.
func (l *scratch) find(s *server) (position int, found bool) {
	return slices.BinarySearchFunc(*l, s, func(a, b *server) int { return a.position - b.position })
}

// add puts a server in its place. The order of readers is of no account: they are ranked.
func (l *scratch) add(s *server) {
	if s.role == Reader {
		*l = append(*l, s)
		return
	}
	position, _ := l.find(s)
	*l = slices.Insert(*l, position, s)
}

// remove takes a server out, if it is there.
func (l *scratch) remove(s *server) {
	if s.role == Reader {
		*l = slices.DeleteFunc(*l, func(o *server) bool { return o == s })
	} else if position, found := l.find(s); found {
		*l = slices.Delete(*l, position, position+1)
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

// sumAnswerTimes sums up how long answers take, by the role of the ready servers.
func (r *Router) sumAnswerTimes() {
	for role := range r.answers {
		r.answers[role] = newStreams()
		for _, s := range r.index.Ready(role) {
			r.answers[role].addAll(&s.streams, r.now)
		}
	}
}

// recordAnswerStart and answerEnds book an answer of the given hint at s.
func (r *Router) recordAnswerStart(s *server, hint time.Duration) {
	s.streams.begin(r.now, hint)
	if s.State == Ready {
		r.answers[s.role].begin(r.now, hint)
	}
}

func (r *Router) recordAnswerEnd(s *server, first, hint time.Duration) {
	s.streams.end(first, hint, r.now)
	if s.State == Ready {
		r.answers[s.role].end(first, hint, r.now)
	}
}

// flaggedServers lists the ready servers of a role that are not like most: each choice has to look at them.
func (r *Router) flaggedServers(role Role) []*server {
	r.flagged[role] = slices.DeleteFunc(r.flagged[role], func(s *server) bool {
		s.isFlagged = s.needsFlag()
		return !s.isFlagged
	})
	return r.flagged[role]
}

func (s *server) needsFlag() bool { return s.suspect || s.tokens > 0 || len(s.fullBackoffs) > 0 }

// flag has each choice look at s for as long as it is special.
func (r *Router) flag(s *server) {
	if s.State == Ready && !s.isFlagged && s.needsFlag() {
		s.isFlagged = true
		r.flagged[s.role] = append(r.flagged[s.role], s)
	}
}

// coldCandidates lists the cold servers of a role that could be open to p: of the writers near its reader only the one that it
// names, where fronts are many.
func (r *Router) coldCandidates(p *request, role Role) []*server {
	if role != Writer || p.reader == nil || !r.manyRouters() {
		return r.index.Cold(int(role), r.now)
	}
	if p.coldWriter == nil || r.warm(p.coldWriter) {
		return nil
	}
	return []*server{p.coldWriter}
}

// zoneReachable says that the zone of s is not left alone just now.
func (r *Router) zoneReachable(s *server) bool { return r.now >= r.zone(s.Zone).backoff.until }

// anyZoneBackingOff says that some zone is left alone just now.
func (r *Router) anyZoneBackingOff() bool {
	for _, z := range r.zones {
		if r.now < z.backoff.until {
			return true
		}
	}
	return false
}

// warmCount is how many ready servers of a kind are warm.
func (r *Router) warmCount(kind int) int { return r.index.WarmOfKind(kind, r.now) }
