package decide

import (
	"errors"
	"math"
	"time"
)

// What a Router has learned of all servers alike, for the process that takes over from this one. Nothing is
// decided here: see decide.go.

// Learned is that, in a form to be kept as text. A number triple is a running mean (value, weight, time) or
// a rate (count, 0, time), times in seconds of the clock.
type Learned struct {
	Began    float64       `json:"began"`
	PerToken float64       `json:"per_token"`
	Kinds    []LearnedKind `json:"kinds"`
	Near     [3]float64    `json:"near"`
	Far      [3]float64    `json:"far"`
	Moves    [3]float64    `json:"moves"`
	// Answers is how long those of each server took against their hints: hints spent, answers ended, time.
	Answers map[string][3]float64 `json:"answers"`
}

// LearnedKind is what is known of the servers of one kind.
type LearnedKind struct {
	Took  [3]float64 `json:"took"`
	Asked [3]float64 `json:"asked"`
	Wait  [3]float64 `json:"wait"`
}

func (m mean) learned() [3]float64 { return [3]float64{m.value, m.n, m.at.Seconds()} }
func (c rate) learned() [3]float64 { return [3]float64{c.count, 0, c.at.Seconds()} }

func (m *mean) learn(v [3]float64) { m.value, m.n, m.at = v[0], min(v[1], 1/waitWeight), seconds(v[2]) }
func (c *rate) learn(v [3]float64) { c.count, c.at = v[0], seconds(v[2]) }

// Learned tells what this Router knows.
func (r *Router) Learned(now time.Duration) Learned {
	l := Learned{Began: r.began.Seconds(), PerToken: r.perToken,
		Near: r.near.learned(), Far: r.far.learned(), Moves: r.moves.learned()}
	for _, k := range r.kinds {
		l.Kinds = append(l.Kinds, LearnedKind{k.took.learned(), k.asked.learned(), k.wait.learned()})
	}
	l.Answers = make(map[string][3]float64)
	for _, s := range r.listed {
		if spent, done := s.streams.sum(now); spent > 0 {
			l.Answers[s.ID] = [3]float64{spent, done, now.Seconds()}
		}
	}
	return l
}

// Learn takes what an older Router of this front knew. What makes no sense is refused whole.
func (r *Router) Learn(now time.Duration, l Learned) error {
	all := [][3]float64{{l.PerToken, 0, l.Began}, l.Near, l.Far, l.Moves}
	for _, k := range l.Kinds {
		all = append(all, k.Took, k.Asked, k.Wait)
	}
	for _, v := range l.Answers {
		all = append(all, v)
	}
	for _, v := range all {
		if !(v[0] >= 0 && v[1] >= 0 && v[2] >= 0) || math.IsInf(v[0]+v[1], 1) || v[2] > now.Seconds()+1 {
			return errors.New("decide: what was learned makes no sense")
		}
	}
	if len(l.Kinds) != len(r.kinds) {
		return errors.New("decide: learned of other kinds")
	}
	r.began, r.perToken = seconds(l.Began), l.PerToken
	r.near.learn(l.Near)
	r.far.learn(l.Far)
	r.moves.learn(l.Moves)
	for i, k := range l.Kinds {
		r.kinds[i].took.learn(k.Took)
		r.kinds[i].asked.learn(k.Asked)
		r.kinds[i].wait.learn(k.Wait)
	}
	for id, v := range l.Answers {
		if s := r.servers[id]; s != nil {
			s.streams.spent.learn([3]float64{v[0], 0, v[2]})
			s.streams.done.learn([3]float64{v[1], 0, v[2]})
		}
	}
	r.booked++
	r.sumAnswers()
	return nil
}
