package decide

import (
	"slices"
	"time"
)

// Lookups that spare a choice from scanning the whole server list. The decisions are in decide.go.

// location is the cell and zone of a server.
type location struct{ cell, zone int }

// serverBuffer is a list of servers whose memory is reused. Except for readers, whose order does not matter because
// they are ranked, the servers are in the order of the index.
type serverBuffer []*server

// keep removes the servers for which pred is false.
func (l *serverBuffer) keep(pred func(*server) bool) { l.filter(*l, pred) }

// find returns the position of s in a list in the order of the index, or where it would be inserted.
func (l *serverBuffer) find(s *server) (position int, found bool) {
	return slices.BinarySearchFunc(*l, s, func(a, b *server) int { return a.position - b.position })
}

// add inserts a server that is not in the list.
func (l *serverBuffer) add(s *server) {
	if s.role == Reader {
		*l = append(*l, s)
		return
	}
	position, _ := l.find(s)
	*l = slices.Insert(*l, position, s)
}

// remove removes a server if it is in the list.
func (l *serverBuffer) remove(s *server) {
	if s.role == Reader {
		*l = slices.DeleteFunc(*l, func(o *server) bool { return o == s })
	} else if position, found := l.find(s); found {
		*l = slices.Delete(*l, position, position+1)
	}
}

// filter replaces the list by the given servers for which keep is true.
func (l *serverBuffer) filter(servers []*server, keep func(*server) bool) []*server {
	*l = (*l)[:0]
	for _, s := range servers {
		if keep(s) {
			*l = append(*l, s)
		}
	}
	return *l
}

// sumAnswerTimes recomputes the answer durations by role from those of the ready servers.
func (r *Router) sumAnswerTimes() {
	for role := range r.answerTimesByRole {
		r.answerTimesByRole[role] = newAnswerTimes()
		for _, s := range r.index.Ready(role) {
			r.answerTimesByRole[role].addAll(&s.answerTimes, r.now)
		}
	}
}

// recordAnswerStart and recordAnswerEnd record an answer with the given hint at s.
func (r *Router) recordAnswerStart(s *server, hint time.Duration) {
	s.answerTimes.begin(r.now, hint)
	if s.State == Ready {
		r.answerTimesByRole[s.role].begin(r.now, hint)
	}
}

func (r *Router) recordAnswerEnd(s *server, firstTokenAt, hint time.Duration) {
	s.answerTimes.end(firstTokenAt, hint, r.now)
	if s.State == Ready {
		r.answerTimesByRole[s.role].end(firstTokenAt, hint, r.now)
	}
}

// flaggedServers lists the ready servers of a role whose health, load or rejections every choice must check. The
// others are usable without a check.
func (r *Router) flaggedServers(role Role) []*server {
	r.flagged[role] = slices.DeleteFunc(r.flagged[role], func(s *server) bool {
		s.isFlagged = s.needsFlag()
		return !s.isFlagged
	})
	return r.flagged[role]
}

func (s *server) needsFlag() bool { return s.suspect || s.tokens > 0 || len(s.fullBackoffs) > 0 }

// flag adds s to the flagged servers if it needs to be checked.
func (r *Router) flag(s *server) {
	if s.State == Ready && !s.isFlagged && s.needsFlag() {
		s.isFlagged = true
		r.flagged[s.role] = append(r.flagged[s.role], s)
	}
}

// coldCandidates lists the cold servers of a role that could be open to p. If there are many routers and p has a
// reader, coldWriter is the only cold writer.
func (r *Router) coldCandidates(p *request, role Role) []*server {
	if role != Writer || p.reader == nil || !r.manyRouters() {
		return r.index.Cold(int(role), r.now)
	}
	if p.coldWriter == nil || r.warm(p.coldWriter) {
		return nil
	}
	return []*server{p.coldWriter}
}

// zoneReachable reports whether the zone of s is not in backoff.
func (r *Router) zoneReachable(s *server) bool { return r.now >= r.zone(s.Zone).backoff.until }

// anyZoneBackingOff reports whether any zone is in backoff.
func (r *Router) anyZoneBackingOff() bool {
	for _, z := range r.zones {
		if r.now < z.backoff.until {
			return true
		}
	}
	return false
}

// warmCount returns the number of warm servers of a kind.
func (r *Router) warmCount(kind int) int { return r.index.WarmCount(kind, r.now) }
