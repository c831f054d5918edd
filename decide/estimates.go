package decide

import (
	"cmp"
	"slices"
	"time"
)

// Estimates of what servers take, and where they are. Nothing is decided here: see decide.go.

// pace is what warm servers of a kind take, as estimated at one time after so many changes.
type pace struct {
	at     time.Duration
	booked int
	able   float64 // see Router.able
	usual  float64 // see Router.usual
}

// pace estimates what warm servers of a kind take, once for all servers that are looked at in one choice.
func (r *Router) pace(kind int) *pace {
	k := &r.kinds[kind]
	if k.pace.at != r.now || k.pace.booked != r.booked {
		sent, took := r.came[r.set.Kinds[kind].Role].value(r.now), r.took(kind)
		k.pace = pace{at: r.now, booked: r.booked,
			able:  max(ableLeast, (float64(k.peers)*took+ableDoubt)/(sent+ableDoubt)),
			usual: took / max(r.seen(), 0.1) / usualSpan.Seconds() * r.set.ColdWindow.Seconds()}
	}
	return &k.pace
}

// able is what warm servers of s's kind take against the even share of its role, of what is sent, and so
// what the settings' multiple is of: less than one in a flood, more where few are warm.
func (r *Router) able(s *server) float64 { return r.pace(s.Kind).able }

// usual is what a warm server of the kind took from this front in a window that counts for cold ones.
func (r *Router) usual(kind int) float64 { return r.pace(kind).usual }

// pick is the server at a place from 0 to under 1 in the first so many of them.
func pick(of []*server, width, place float64) *server {
	if len(of) == 0 {
		return nil
	}
	return of[int(place*min(max(1, width), float64(len(of))))]
}

// nearest lists the writers by their distance from a reader, those of its zone only: others need not be reached
// where the state must be taken at once. The equally far are in the order that is the cell's at all fronts.
func (r *Router) nearest(reader *server) []*server {
	at := place{reader.Cell, reader.Zone}
	near, ok := r.nearestWriters[at]
	if !ok {
		near = filter(r.index.Ready(int(Writer)), func(s *server) bool { return s.Zone == reader.Zone })
		for _, s := range near {
			s.order = homeRank(s, mix(uint64(reader.Cell)))
		}
		slices.SortFunc(near, func(a, b *server) int {
			return cmp.Or(distance(a, reader)-distance(b, reader), cmp.Compare(b.order, a.order))
		})
		r.nearestWriters[at] = near
	}
	return near
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

// took is what a warm server of the kind took from this front, older requests for less, as a mean over
// all of the kind: a front among many sees each server seldom. Where none of the kind is warm, the
// others of its role tell. Guards against cold servers that nobody dares to use after a release.
func (r *Router) took(kind int) float64 {
	took := r.kinds[kind].took.value(r.now)
	for i := range r.kinds {
		if r.warmOnes(kind) == 0 && r.set.Kinds[i].Role == r.set.Kinds[kind].Role {
			took = max(took, kinPart*r.kinds[i].took.value(r.now))
		}
	}
	return took
}
