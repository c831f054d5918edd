package decide

import (
	"errors"
	"math"
	"time"
)

// What a Router has learned of all servers alike, for the process that takes over from this one. Nothing is
// decided here: see decide.go.

// Learned is that, in a form to be kept as text. A number triple is a running mean (value, weight, age) or
// a rate (count, 0, age), ages in seconds: two processes have no clock in common, as a wall clock may be stepped.
type Learned struct {
	Seen     float64       `json:"seen_s"` // for how long the Router has had a list
	PerToken float64       `json:"per_token"`
	Kinds    []LearnedKind `json:"kinds"`
	Near     [3]float64    `json:"near"`
	Far      [3]float64    `json:"far"`
	Moves    [3]float64    `json:"moves"`
	// Answers is how long those of each server took against their hints: hints spent, answers ended, time.
	Answers map[string][3]float64 `json:"answers"`
}

// maxEstimateAge is the highest age that can be told.
const maxEstimateAge = 100 * 365 * 24 * time.Hour

// LearnedKind is what is known of the servers of one kind.
type LearnedKind struct {
	Took  [3]float64 `json:"took"`
	Asked [3]float64 `json:"asked"`
	Wait  [3]float64 `json:"wait"`
}

func (m mean) snapshot(now time.Duration) [3]float64 {
	return [3]float64{m.value, m.n, (now - m.at).Seconds()}
}

func (c rate) snapshot(now time.Duration) [3]float64 {
	return [3]float64{c.count, 0, (now - c.at).Seconds()}
}

func (m *mean) restore(v [3]float64, now time.Duration) {
	m.value, m.n, m.at = v[0], min(v[1], 1/latestWaitWeight), now-seconds(v[2])
}

func (c *rate) restore(v [3]float64, now time.Duration) { c.count, c.at = v[0], now-seconds(v[2]) }

// Learned tells what this Router knows.
func (r *Router) Learned(now time.Duration) Learned {
	estimates := Learned{Seen: (now - r.firstListAt).Seconds(), PerToken: r.secondsPerToken,
		Near: r.nearTransfers.snapshot(now), Far: r.farTransfers.snapshot(now), Moves: r.transfers.snapshot(now)}
	for _, k := range r.kinds {
		estimates.Kinds = append(estimates.Kinds, LearnedKind{k.accepted.snapshot(now), k.demand.snapshot(now), k.wait.snapshot(now)})
	}
	estimates.Answers = make(map[string][3]float64)
	for _, s := range r.listed {
		if spent, done := s.streams.sum(now); spent > 0 {
			estimates.Answers[s.ID] = [3]float64{spent, done, 0}
		}
	}
	return estimates
}

// Learn takes what an older Router of this front knew. What makes no sense is refused whole.
func (r *Router) Learn(now time.Duration, estimates Learned) error {
	values := [][3]float64{{estimates.PerToken, 0, estimates.Seen}, estimates.Near, estimates.Far, estimates.Moves}
	for _, k := range estimates.Kinds {
		values = append(values, k.Took, k.Asked, k.Wait)
	}
	for _, v := range estimates.Answers {
		values = append(values, v)
	}
	for _, v := range values {
		if !(v[0] >= 0 && v[1] >= 0 && v[2] >= 0) || math.IsInf(v[0]+v[1], 1) || v[2] > maxEstimateAge.Seconds() {
			return errors.New("decide: what was learned makes no sense")
		}
	}
	if len(estimates.Kinds) != len(r.kinds) {
		return errors.New("decide: learned of other kinds")
	}
	r.firstListAt, r.secondsPerToken = now-seconds(estimates.Seen), estimates.PerToken
	r.nearTransfers.restore(estimates.Near, now)
	r.farTransfers.restore(estimates.Far, now)
	r.transfers.restore(estimates.Moves, now)
	for i, k := range estimates.Kinds {
		r.kinds[i].accepted.restore(k.Took, now)
		r.kinds[i].demand.restore(k.Asked, now)
		r.kinds[i].wait.restore(k.Wait, now)
	}
	for id, v := range estimates.Answers {
		if s := r.servers[id]; s != nil {
			s.streams.spent.restore([3]float64{v[0], 0, v[2]}, now)
			s.streams.done.restore([3]float64{v[1], 0, v[2]}, now)
		}
	}
	r.loadVersion++
	r.sumAnswerTimes()
	return nil
}
