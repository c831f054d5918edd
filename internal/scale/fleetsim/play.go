package fleetsim

import (
	"math"
	"math/rand/v2"
	"time"

	"rowanyard/decide"
)

// What clients are like.
const (
	turns         = 4                // of a session, in the mean
	turnPause     = 15 * time.Second // between two, in the mean
	beginnings    = 40               // texts that the sessions of a tenant share
	skew          = 1.1              // of the popularity of tenants and of their beginnings: the n-th has a share of 1/n^skew
	beginningPart = 0.6              // of a session's first prompt
	question      = 33               // tokens that a client adds in each turn
	leastPrompt   = 500              // tokens of a session's first prompt, in the mean
)

// session is one conversation. A tenant's sessions share beginnings.
type session struct {
	id, beginning uint64
	tenant        int
	prompt, first int // tokens now, and of the beginning
}

// popularity draws numbers of which the first is the most frequent.
type popularity []float64

func newPopularity(n int) popularity {
	sums := make(popularity, n)
	sum := 0.0
	for i := range sums {
		sum += math.Pow(float64(i+1), -skew)
		sums[i] = sum
	}
	return sums
}

func (p popularity) draw(random *rand.Rand) int {
	at := random.Float64() * p[len(p)-1]
	low, high := 0, len(p)-1
	for low < high {
		if middle := (low + high) / 2; p[middle] < at {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}

// load has sessions begin, at a rate that makes the rate of requests, until a time. As many as there would be by then are
// under way at the start.
func (f *fleet) load(end time.Duration) {
	tenants, texts := newPopularity(f.Tenants), newPopularity(beginnings)
	begin := func() *session {
		tenant, text := tenants.draw(f.random), texts.draw(f.random)
		prompt := f.firstPrompt() * (0.5 + f.random.Float64())
		return &session{id: f.random.Uint64() | 1, tenant: tenant, beginning: uint64(tenant*beginnings+text) + 1,
			prompt: int(prompt), first: int(beginningPart * prompt)}
	}
	for range int(f.Rate * (turns - 1) / turns * turnPause.Seconds()) {
		s := begin()
		for s.grow(f.Tokens); f.comesAgain(); s.grow(f.Tokens) {
		}
		f.After(f.pause(), func() { f.turn(s, end) })
	}
	wait := func() time.Duration {
		return time.Duration(f.random.ExpFloat64() * turns / f.Rate * float64(time.Second))
	}
	var next func()
	next = func() {
		if f.Now >= end {
			return
		}
		f.After(wait(), next)
		f.turn(begin(), end)
	}
	f.After(0, next)
}

// firstPrompt is the tokens of a session's first prompt, in the mean: later turns add theirs and the answers, so that all
// prompts have promptTokens in the mean.
func (f *fleet) firstPrompt() float64 {
	return max(leastPrompt, promptTokens-(turns-1)*float64(f.Tokens+question))
}

// turn has a session's next request come, and perhaps another one later.
func (f *fleet) turn(s *session, end time.Duration) {
	if f.Now >= end {
		return
	}
	f.lastID++
	f.tally.came++
	r := f.routers[f.random.IntN(len(f.routers))]
	r.take(decide.Request{ID: f.lastID, Tenant: s.tenant, TimeLeft: classDeadline, Session: s.id, Prefix: s.beginning,
		Prompt: s.prompt, PrefixLen: s.first, MaxOutput: 2 * f.Tokens, Hint: time.Duration(f.Tokens) * f.TokenTime})
	s.grow(f.Tokens)
	if f.comesAgain() {
		f.After(f.pause(), func() { f.turn(s, end) })
	}
}

// grow makes a session's prompt longer by an answer and the next question.
func (s *session) grow(answer int) { s.prompt += answer + question }

// comesAgain draws whether a session has another turn, pause after how long.
func (f *fleet) comesAgain() bool { return f.random.Float64() < 1-1./turns }

func (f *fleet) pause() time.Duration {
	return time.Duration(f.random.ExpFloat64() * float64(turnPause))
}

// Play plays a fleet and returns what was measured, phase by phase.
func Play(o Options) ([]Phase, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	f := newFleet(o)
	end := o.WarmUp + o.Measure
	if o.Event != NoEvent {
		end += o.Aftermath
	}
	f.load(end)
	var phases []Phase
	next := func(name string, until time.Duration) {
		from := f.Now
		f.Until(until)
		f.Now = until
		phases = append(phases, f.phase(name, from))
	}
	next("warm-up", o.WarmUp)
	next("steady", o.WarmUp+o.Measure)
	if o.Event == NoEvent {
		return phases, nil
	}
	f.happen()
	for _, p := range []struct {
		name  string
		until time.Duration
	}{{"0 to 5 s after", 5 * time.Second}, {"5 to 15 s after", 15 * time.Second}, {"later", o.Aftermath}} {
		if f.Now < o.WarmUp+o.Measure+p.until {
			next(p.name, min(end, o.WarmUp+o.Measure+p.until))
		}
	}
	return phases, nil
}
