package decide

import (
	"slices"
)

// Selection of the servers to probe for their load, and evaluation of their answers or silence.

// probeCandidates probes the selected reader and the runner-up, once per request, and schedules another look
// at p for when the answers are due. It reports whether it did so: only if servers report their load when
// probed and this router has no recent observations of the selected reader but silence. It detects home
// servers that many routers overload, each sending too rarely to notice, and servers that hang: one that
// leaves a probe unanswered while another answers is passed over by admits. The price is two probes and some
// milliseconds, which matters where TTFT targets are short.
func (r *Router) probeCandidates(p *request, s *server) bool {
	if !r.cfg.CanProbe || p.probed || !s.waitFromSilence && s.wait.weight(r.now, rateSpan) >= 1 {
		return false
	}
	p.probed = true
	for i, o := range []*server{s, p.runnerUp} {
		if o != nil && (i == 0 || o != s) {
			o.probedAt = r.now
			r.exec.Probe(o.ID)
		}
	}
	p.retryAt = r.now + max(probeTimeout, 2*r.cfg.ClockStep)
	r.exec.SetTimer(uint64(p.ID), p.retryAt)
	return true
}

// probeWriters probes some writers near the selected reader, so that their load is known when the prompt has
// been read. It does so where there are too many routers for own counts to mean anything: the few writers of
// a cell can be overloaded although each router sends only one answer per minute there. The price is three
// probes.
func (r *Router) probeWriters(p *request, reader *server) {
	if !r.cfg.CanProbe {
		return
	}
	if !r.manyRouters() {
		r.probeStaleWriters(p, reader)
		return
	}
	remaining, writers := writerProbes, r.candidates(p, Writer)
	r.shuffle(writers)
	if w := p.coldWriter; w != nil && !r.warm(w) && slices.Contains(writers, w) {
		remaining--
		r.probe(w)
	}
	for dist := range distances {
		for _, w := range writers {
			if distance(w, reader) != dist || w.Cell == reader.Cell && remaining <= farWriterProbes {
				continue
			}
			if remaining--; remaining < 0 {
				return
			}
			r.probe(w)
		}
	}
}

// probe probes a writer unless that was done recently.
func (r *Router) probe(w *server) {
	if r.now-w.probedAt > probeValidFor/2 {
		w.probedAt = r.now
		r.exec.Probe(w.ID)
	}
}

// saturated reports whether a recent probe showed that s has no room, or remains unanswered while other
// servers answer.
func (r *Router) saturated(s *server) bool {
	unanswered := s.probedAt > s.loadAt && r.now-s.probedAt > writerProbeTimeout &&
		r.now-s.probedAt < writerLoadValidFor
	if unanswered && r.probeAnsweredAt[s.role] >= s.probedAt {
		return true
	}
	return r.loadKnown(s) && (s.queuedRequests >= 1 || s.memoryUse > maxWriterMemoryUse)
}

// probeStaleWriters probes the nearest writers that have not been heard recently, while p is being read. It
// is for few routers, which know the load of writers without probes. It prevents writes into connections that
// have gone silent: a writer that leaves the probe unanswered counts as saturated, and one that answers has a
// connection that was alive just now.
func (r *Router) probeStaleWriters(p *request, reader *server) {
	if r.lastSilenceAt == 0 || r.now-r.lastSilenceAt > silenceAlertSpan {
		return
	}
	remaining := staleWriterProbes
	for dist := range distances {
		for _, w := range r.candidates(p, Writer) {
			if remaining == 0 {
				return
			}
			if distance(w, reader) != dist {
				continue
			}
			remaining--
			if w.heardAt == 0 || r.now-w.heardAt > contactValidFor {
				r.probe(w)
			}
		}
	}
}
