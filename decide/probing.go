package decide

import (
	"slices"
)

// Decisions on which servers are asked for their load, and what their answers or silence say.

// look probes the server that p would go to, and the one next in its order, once, and looks at p
// again when the answers should be there. Acts where servers tell probes how much waits there and
// this front has not lately seen for itself. Guards against drowning homes that many fronts feed,
// each too seldom to notice, and against hung ones: a server that leaves a probe unanswered while
// another answers is passed over (admits). It costs two probes and some milliseconds, which hurts
// where aims are short.
func (r *Router) look(p *request, s *server) bool {
	if !r.set.CanProbe || p.looked || !s.silent && s.wait.known(r.now, rateSpan) >= 1 {
		return false
	}
	p.looked = true
	for i, o := range []*server{s, p.second} {
		if o != nil && (i == 0 || o != s) {
			o.probedAt = r.now
			r.out.Probe(o.ID)
		}
	}
	p.retryAt = r.now + max(probeWait, 2*r.set.Tick)
	r.out.SetTimer(uint64(p.ID), p.retryAt)
	return true
}

// scout probes some writers near the reader that p goes to, so that their load is known when it has been
// read. Acts where so many fronts feed the writers that own counts tell nothing of them. Guards against the
// few writers of a cell that drown while each front sends one answer a minute there; it costs three probes.
func (r *Router) scout(p *request, reader *server) {
	if !r.set.CanProbe {
		return
	}
	if !r.many() {
		r.refresh(p, reader)
		return
	}
	near, way := scoutNear, r.ready(p, Writer)
	r.shuffle(way)
	if w := p.named; w != nil && !r.warm(w) && slices.Contains(way, w) {
		near--
		r.probe(w)
	}
	for far := range distances {
		for _, w := range way {
			if distance(w, reader) != far || w.Cell == reader.Cell && near <= scoutFar {
				continue
			}
			if near--; near < 0 {
				return
			}
			r.probe(w)
		}
	}
}

// probe probes a writer, unless that was done lately.
func (r *Router) probe(w *server) {
	if r.now-w.probedAt > probeFresh/2 {
		w.probedAt = r.now
		r.out.Probe(w.ID)
	}
}

// jammed says that a probe has lately told that s has no room, or is not answered where others are.
func (r *Router) jammed(s *server) bool {
	mute := s.probedAt > s.loadAt && r.now-s.probedAt > probeMute && r.now-s.probedAt < probeOld
	if mute && r.toldAt[s.role] >= s.probedAt {
		return true
	}
	return r.told(s) && (s.queue >= 1 || s.load > writerJam)
}

// refresh probes the nearest writers of which nothing was heard lately, while p is read. Acts for a
// handful of fronts, whose writers' load is known without that. Guards against writes into connections
// that have fallen silent: a writer that leaves its probe unanswered is passed over (jammed), and one that
// answers has a connection that was alive just now.
func (r *Router) refresh(p *request, reader *server) {
	if r.silentAt == 0 || r.now-r.silentAt > troubleSpan {
		return
	}
	left := freshNear
	for far := range distances {
		for _, w := range r.ready(p, Writer) {
			if left == 0 {
				return
			}
			if distance(w, reader) != far {
				continue
			}
			left--
			if w.heard == 0 || r.now-w.heard > heardFresh {
				r.probe(w)
			}
		}
	}
}
