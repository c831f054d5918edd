package fleetsim

import (
	"math"
	"math/rand/v2"
	"time"

	"rowanyard/decide"
)

// Properties of the simulated clients.
const (
	meanTurns         = 4                // requests of a session
	meanTurnPause     = 15 * time.Second // between two requests of a session
	prefixesPerTenant = 40               // number of prompt prefixes that the sessions of a tenant share
	zipfExponent      = 1.1              // the n-th tenant, or prefix, has a share proportional to 1/n^zipfExponent
	prefixShare       = 0.6              // length of the shared prefix as a share of a session's first prompt
	questionTokens    = 33               // tokens that a client adds to the prompt in each turn
	minFirstPrompt    = 500              // lower bound for the mean length of a session's first prompt, in tokens
)

// session is one conversation. The sessions of a tenant share prefixes.
type session struct {
	id, prefix           uint64
	tenant               int
	prompt, prefixTokens int // tokens of the current prompt, and of the shared prefix
}

// zipf draws indexes with a Zipf distribution: index 0 is the most frequent. It holds cumulative weights.
type zipf []float64

func newZipf(n int) zipf {
	sums := make(zipf, n)
	sum := 0.0
	for i := range sums {
		sum += math.Pow(float64(i+1), -zipfExponent)
		sums[i] = sum
	}
	return sums
}

func (p zipf) draw(random *rand.Rand) int {
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

// startLoad starts sessions at random intervals until the given time, so that requests come at the rate of the
// options. It begins with as many sessions under way as there are in a steady state.
func (f *fleet) startLoad(end time.Duration) {
	tenants, prefixes := newZipf(f.Tenants), newZipf(prefixesPerTenant)
	newSession := func() *session {
		tenant, index := tenants.draw(f.random), prefixes.draw(f.random)
		prompt := f.meanFirstPrompt() * (0.5 + f.random.Float64())
		return &session{id: f.random.Uint64() | 1, tenant: tenant, prefix: uint64(tenant*prefixesPerTenant+index) + 1,
			prompt: int(prompt), prefixTokens: int(prefixShare * prompt)}
	}
	for range int(f.Rate * (meanTurns - 1) / meanTurns * meanTurnPause.Seconds()) {
		s := newSession()
		for s.grow(f.Tokens); f.hasNextTurn(); s.grow(f.Tokens) {
		}
		f.After(f.drawPause(), func() { f.sendTurn(s, end) })
	}
	interarrival := func() time.Duration {
		return time.Duration(f.random.ExpFloat64() * meanTurns / f.Rate * float64(time.Second))
	}
	var next func()
	next = func() {
		if f.Now >= end {
			return
		}
		f.After(interarrival(), next)
		f.sendTurn(newSession(), end)
	}
	f.After(0, next)
}

// meanFirstPrompt returns the mean number of tokens of a session's first prompt. Later turns add their questions and
// the responses, so that the mean over all prompts is meanPromptTokens.
func (f *fleet) meanFirstPrompt() float64 {
	return max(minFirstPrompt, meanPromptTokens-(meanTurns-1)*float64(f.Tokens+questionTokens))
}

// sendTurn sends the next request of a session to a random router, and schedules another turn if the session has one.
func (f *fleet) sendTurn(s *session, end time.Duration) {
	if f.Now >= end {
		return
	}
	f.lastID++
	f.stats.requests++
	r := f.routers[f.random.IntN(len(f.routers))]
	r.receive(decide.Request{ID: f.lastID, Tenant: s.tenant, TimeLeft: classDeadline, Session: s.id, Prefix: s.prefix,
		PromptLength: s.prompt, PrefixLength: s.prefixTokens, MaxOutput: 2 * f.Tokens, DurationHint: time.Duration(f.Tokens) * f.TokenTime})
	s.grow(f.Tokens)
	if f.hasNextTurn() {
		f.After(f.drawPause(), func() { f.sendTurn(s, end) })
	}
}

// grow extends a session's prompt by a response of the given length and the next question.
func (s *session) grow(answer int) { s.prompt += answer + questionTokens }

// hasNextTurn draws whether a session has another turn.
func (f *fleet) hasNextTurn() bool { return f.random.Float64() < 1-1./meanTurns }

// drawPause draws the time until a session's next turn.
func (f *fleet) drawPause() time.Duration {
	return time.Duration(f.random.ExpFloat64() * float64(meanTurnPause))
}

// Simulate runs a simulation and returns the measurements of its phases in order.
func Simulate(o Options) ([]Phase, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	f := newFleet(o)
	end := o.WarmUp + o.Measure
	if o.Event != NoEvent {
		end += o.Aftermath
	}
	f.startLoad(end)
	var phases []Phase
	runPhase := func(name string, until time.Duration) {
		from := f.Now
		f.RunUntil(until)
		f.Now = until
		phases = append(phases, f.endPhase(name, from))
	}
	runPhase("warm-up", o.WarmUp)
	runPhase("steady", o.WarmUp+o.Measure)
	if o.Event == NoEvent {
		return phases, nil
	}
	f.startEvent()
	for _, p := range []struct {
		name  string
		until time.Duration
	}{{"0 to 5 s after", 5 * time.Second}, {"5 to 15 s after", 15 * time.Second}, {"later", o.Aftermath}} {
		if f.Now < o.WarmUp+o.Measure+p.until {
			runPhase(p.name, min(end, o.WarmUp+o.Measure+p.until))
		}
	}
	return phases, nil
}
