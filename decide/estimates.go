package decide

import (
	"cmp"
	"slices"
	"time"
)

// Estimates of what servers accept, and distances between servers. The decisions are in decide.go.

// warmLoad is an estimate of what warm servers of a kind accept, valid for one time and one Router.loadVersion.
type warmLoad struct {
	at              time.Duration
	loadVersion     int
	acceptedRatio   float64 // see Router.acceptedRatio
	warmWindowSends float64 // see Router.warmWindowSends
}

// warmLoad returns the estimate for a kind, computed once for all servers that one decision considers.
func (r *Router) warmLoad(kind int) *warmLoad {
	k := &r.kinds[kind]
	if k.warmLoad.at != r.now || k.warmLoad.loadVersion != r.loadVersion {
		sent, accepted := r.sends[r.cfg.Kinds[kind].Role].value(r.now), r.accepted(kind)
		k.warmLoad = warmLoad{at: r.now, loadVersion: r.loadVersion,
			acceptedRatio: max(minAcceptedRatio,
				(float64(k.readyInRole)*accepted+acceptedRatioSmoothing)/(sent+acceptedRatioSmoothing)),
			warmWindowSends: accepted / max(r.observedFraction(), 0.1) / loadSpan.Seconds() *
				r.cfg.ColdOverloadWindow.Seconds()}
	}
	return &k.warmLoad
}

// acceptedRatio returns what warm servers of s's kind accept relative to an even share of what is sent to the role.
// It is below 1 in a flood and above 1 where few servers are warm. The cold budget is a multiple of the accepted
// load.
func (r *Router) acceptedRatio(s *server) float64 { return r.warmLoad(s.Kind).acceptedRatio }

// warmWindowSends returns how many requests a warm server of the kind accepts from this router in one
// ColdOverloadWindow.
func (r *Router) warmWindowSends(kind int) float64 { return r.warmLoad(kind).warmWindowSends }

// pickAt returns the server at a relative position in [0, 1) among the first width servers, nil if there are none.
func pickAt(servers []*server, width, position float64) *server {
	if len(servers) == 0 {
		return nil
	}
	return servers[int(position*min(max(1, width), float64(len(servers))))]
}

// writersByDistance lists the writers in the zone of a reader by their distance from it. Writers of other zones are
// left out: they may be unreachable when the state must be taken. Writers at the same distance are in the rendezvous
// order of the cell, which is the same at all routers.
func (r *Router) writersByDistance(reader *server) []*server {
	key := location{reader.Cell, reader.Zone}
	writers, ok := r.nearestWriters[key]
	if !ok {
		writers = filter(r.index.Ready(int(Writer)), func(s *server) bool { return s.Zone == reader.Zone })
		for _, s := range writers {
			s.hashOrder = rendezvousHash(s, mix(uint64(reader.Cell)))
		}
		slices.SortFunc(writers, func(a, b *server) int {
			return cmp.Or(distance(a, reader)-distance(b, reader), cmp.Compare(b.hashOrder, a.hashOrder))
		})
		r.nearestWriters[key] = writers
	}
	return writers
}

// distances is the number of values of distance: same cell, same zone, elsewhere.
const distances = 3

// distance returns how far a state travels between two servers, from 0.
func distance(to, from *server) int {
	switch {
	case to.Cell == from.Cell:
		return 0
	case to.Zone == from.Zone:
		return 1
	}
	return 2
}

// accepted returns how many requests a warm server of the kind accepted from this router, with decay. It is a mean
// over the kind, because one router among many uses each server rarely. If no server of the kind is warm, other kinds
// of its role stand in; otherwise the servers of a new release, all of them cold, would get next to nothing.
func (r *Router) accepted(kind int) float64 {
	accepted := r.kinds[kind].accepted.value(r.now)
	for i := range r.kinds {
		if r.warmCount(kind) == 0 && r.cfg.Kinds[i].Role == r.cfg.Kinds[kind].Role {
			accepted = max(accepted, coldKindFactor*r.kinds[i].accepted.value(r.now))
		}
	}
	return accepted
}
