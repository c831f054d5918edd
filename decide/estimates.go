package decide

import (
	"cmp"
	"slices"
	"time"
)

// Estimates of what servers take, and where they are. Nothing is decided here: see decide.go.

// pace is what warm servers of a kind take, as estimated at one time after so many changes.
type pace struct {
	at              time.Duration
	loadVersion     int
	acceptedRatio   float64 // see Router.able
	warmWindowSends float64 // see Router.usual
}

// pace estimates what warm servers of a kind take, once for all servers that are looked at in one choice.
func (r *Router) pace(kind int) *pace {
	k := &r.kinds[kind]
	if k.pace.at != r.now || k.pace.loadVersion != r.loadVersion {
		sent, accepted := r.sends[r.cfg.Kinds[kind].Role].value(r.now), r.accepted(kind)
		k.pace = pace{at: r.now, loadVersion: r.loadVersion,
			acceptedRatio:   max(minAcceptedRatio, (float64(k.readyInRole)*accepted+acceptedRatioSmoothing)/(sent+acceptedRatioSmoothing)),
			warmWindowSends: accepted / max(r.observedFraction(), 0.1) / loadSpan.Seconds() * r.cfg.ColdWindow.Seconds()}
	}
	return &k.pace
}

// acceptedRatio is what warm servers of s's kind take against the even share of its role, of what is sent, and so
// what the settings' multiple is of: less than one in a flood, more where few are warm.
func (r *Router) acceptedRatio(s *server) float64 { return r.pace(s.Kind).acceptedRatio }

// warmWindowSends is what a warm server of the kind took from this front in a window that counts for cold ones.
func (r *Router) warmWindowSends(kind int) float64 { return r.pace(kind).warmWindowSends }

// pickAt is the server at a place from 0 to under 1 in the first so many of them.
func pickAt(servers []*server, width, position float64) *server {
	if len(servers) == 0 {
		return nil
	}
	return servers[int(position*min(max(1, width), float64(len(servers))))]
}

// writersByDistance lists the writers by their distance from a reader, those of its zone only: others need not be reached
// where the state must be taken at once. The equally far are in the order that is the cell's at all fronts.
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

// distances are so many: in a cell, in a zone, and all others.
const distances = 3

// distance orders servers by how far a state goes to them.
func distance(to, from *server) int {
	switch {
	case to.Cell == from.Cell:
		return 0
	case to.Zone == from.Zone:
		return 1
	}
	return 2
}

// accepted is what a warm server of the kind accepted from this front, older requests for less, as a mean over
// all of the kind: a front among many sees each server seldom. Where none of the kind is warm, the
// others of its role tell. Guards against cold servers that nobody dares to use after a release.
func (r *Router) accepted(kind int) float64 {
	accepted := r.kinds[kind].accepted.value(r.now)
	for i := range r.kinds {
		if r.warmCount(kind) == 0 && r.cfg.Kinds[i].Role == r.cfg.Kinds[kind].Role {
			accepted = max(accepted, coldKindFactor*r.kinds[i].accepted.value(r.now))
		}
	}
	return accepted
}
