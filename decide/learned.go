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

// oldest is the highest age that can be told.
const oldest = 100 * 365 * 24 * time.Hour

// LearnedKind is what is known of the servers of one kind.
type LearnedKind struct {
	Took  [3]float64 `json:"took"`
	Asked [3]float64 `json:"asked"`
	Wait  [3]float64 `json:"wait"`
}

func (m mean) learned(now time.Duration) [3]float64 {
	return [3]float64{m.value, m.n, (now - m.at).Seconds()}
}

func (c rate) learned(now time.Duration) [3]float64 {
	return [3]float64{c.count, 0, (now - c.at).Seconds()}
}

func (m *mean) learn(v [3]float64, now time.Duration) {
	m.value, m.n, m.at = v[0], min(v[1], 1/waitWeight), now-seconds(v[2])
}

func (c *rate) learn(v [3]float64, now time.Duration) { c.count, c.at = v[0], now-seconds(v[2]) }

// Learned tells what this Router knows.
func (r *Router) Learned(now time.Duration) Learned {
	l := Learned{Seen: (now - r.began).Seconds(), PerToken: r.perToken,
		Near: r.near.learned(now), Far: r.far.learned(now), Moves: r.moves.learned(now)}
	for _, k := range r.kinds {
		l.Kinds = append(l.Kinds, LearnedKind{k.took.learned(now), k.asked.learned(now), k.wait.learned(now)})
	}
	l.Answers = make(map[string][3]float64)
	for _, s := range r.listed {
		if spent, done := s.streams.sum(now); spent > 0 {
			l.Answers[s.ID] = [3]float64{spent, done, 0}
		}
	}
	return l
}

// Learn takes what an older Router of this front knew. What makes no sense is refused whole.
func (r *Router) Learn(now time.Duration, l Learned) error {
	all := [][3]float64{{l.PerToken, 0, l.Seen}, l.Near, l.Far, l.Moves}
	for _, k := range l.Kinds {
		all = append(all, k.Took, k.Asked, k.Wait)
	}
	for _, v := range l.Answers {
		all = append(all, v)
	}
	for _, v := range all {
		if !(v[0] >= 0 && v[1] >= 0 && v[2] >= 0) || math.IsInf(v[0]+v[1], 1) || v[2] > oldest.Seconds() {
			return errors.New("decide: what was learned makes no sense")
		}
	}
	if len(l.Kinds) != len(r.kinds) {
		return errors.New("decide: learned of other kinds")
	}
	r.began, r.perToken = now-seconds(l.Seen), l.PerToken
	r.near.learn(l.Near, now)
	r.far.learn(l.Far, now)
	r.moves.learn(l.Moves, now)
	for i, k := range l.Kinds {
		r.kinds[i].took.learn(k.Took, now)
		r.kinds[i].asked.learn(k.Asked, now)
		r.kinds[i].wait.learn(k.Wait, now)
	}
	for id, v := range l.Answers {
		if s := r.servers[id]; s != nil {
			s.streams.spent.learn([3]float64{v[0], 0, v[2]}, now)
			s.streams.done.learn([3]float64{v[1], 0, v[2]}, now)
		}
	}
	r.booked++
	r.sumAnswers()
	return nil
}
