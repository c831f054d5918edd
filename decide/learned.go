package decide

import (
	"errors"
	"math"
	"time"
)

// Export and import of a Router's estimates, for the process that takes over from this one. The decisions are in
// decide.go.

// Estimates holds what a Router has learned about all servers, in a form that can be stored as text. Each triple of
// numbers is a running mean (value, weight, age) or a rate (count, 0, age). Ages are in seconds and not points in
// time, because two processes share no clock: a wall clock may be stepped.
type Estimates struct {
	ObservedSeconds float64         `json:"seen_s"`    // time since the first server list
	SecondsPerToken float64         `json:"per_token"` // of unhindered reads, per uncached token
	Kinds           []KindEstimates `json:"kinds"`
	NearTransfers   [3]float64      `json:"near"`
	FarTransfers    [3]float64      `json:"far"`
	Transfers       [3]float64      `json:"moves"`
	// AnswerTimes holds, by server ID, the sum of answer duration/hint, the number of ended answers, and their age.
	AnswerTimes map[string][3]float64 `json:"answers"`
}

// maxEstimateAge is the highest age that Restore accepts.
const maxEstimateAge = 100 * 365 * 24 * time.Hour

// KindEstimates holds what a Router has learned about the servers of one kind.
type KindEstimates struct {
	Accepted [3]float64 `json:"took"`  // requests per warm server
	Demand   [3]float64 `json:"asked"` // requests for which its servers were ranked
	Wait     [3]float64 `json:"wait"`  // in seconds
}

func (m mean) snapshot(now time.Duration) [3]float64 {
	return [3]float64{m.value, m.valueCount, (now - m.at).Seconds()}
}

func (c rate) snapshot(now time.Duration) [3]float64 {
	return [3]float64{c.count, 0, (now - c.at).Seconds()}
}

func (m *mean) restore(v [3]float64, now time.Duration) {
	m.value, m.valueCount, m.at = v[0], min(v[1], 1/latestWaitWeight), now-seconds(v[2])
}

func (c *rate) restore(v [3]float64, now time.Duration) { c.count, c.at = v[0], now-seconds(v[2]) }

// Estimates returns what this Router has learned.
func (r *Router) Estimates(now time.Duration) Estimates {
	estimates := Estimates{ObservedSeconds: (now - r.firstListAt).Seconds(), SecondsPerToken: r.secondsPerToken,
		NearTransfers: r.nearTransfers.snapshot(now), FarTransfers: r.farTransfers.snapshot(now), Transfers: r.transfers.snapshot(now)}
	for _, k := range r.kinds {
		estimates.Kinds = append(estimates.Kinds,
			KindEstimates{k.accepted.snapshot(now), k.demand.snapshot(now), k.wait.snapshot(now)})
	}
	estimates.AnswerTimes = make(map[string][3]float64)
	for _, s := range r.listed {
		if spent, done := s.answerTimes.sum(now); spent > 0 {
			estimates.AnswerTimes[s.ID] = [3]float64{spent, done, 0}
		}
	}
	return estimates
}

// Restore adopts the estimates of an earlier process of this router. Invalid estimates are rejected as a whole.
func (r *Router) Restore(now time.Duration, estimates Estimates) error {
	values := [][3]float64{{estimates.SecondsPerToken, 0, estimates.ObservedSeconds}, estimates.NearTransfers, estimates.FarTransfers, estimates.Transfers}
	for _, k := range estimates.Kinds {
		values = append(values, k.Accepted, k.Demand, k.Wait)
	}
	for _, v := range estimates.AnswerTimes {
		values = append(values, v)
	}
	for _, v := range values {
		if !(v[0] >= 0 && v[1] >= 0 && v[2] >= 0) || math.IsInf(v[0]+v[1], 1) || v[2] > maxEstimateAge.Seconds() {
			return errors.New("decide: estimates are out of range")
		}
	}
	if len(estimates.Kinds) != len(r.kinds) {
		return errors.New("decide: estimates are for other server kinds")
	}
	r.firstListAt, r.secondsPerToken = now-seconds(estimates.ObservedSeconds), estimates.SecondsPerToken
	r.nearTransfers.restore(estimates.NearTransfers, now)
	r.farTransfers.restore(estimates.FarTransfers, now)
	r.transfers.restore(estimates.Transfers, now)
	for i, k := range estimates.Kinds {
		r.kinds[i].accepted.restore(k.Accepted, now)
		r.kinds[i].demand.restore(k.Demand, now)
		r.kinds[i].wait.restore(k.Wait, now)
	}
	for id, v := range estimates.AnswerTimes {
		if s := r.servers[id]; s != nil {
			s.answerTimes.spent.restore([3]float64{v[0], 0, v[2]}, now)
			s.answerTimes.done.restore([3]float64{v[1], 0, v[2]}, now)
		}
	}
	r.loadVersion++
	r.sumAnswerTimes()
	return nil
}
