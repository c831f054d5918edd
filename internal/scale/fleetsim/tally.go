package fleetsim

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The first tokens that can be told apart.
const (
	shortestFirst = int64(time.Microsecond)
	longestFirst  = int64(time.Minute)
	firstDigits   = 3
)

// tally counts what happens in one phase.
type tally struct {
	first                     *hdrhistogram.Histogram // time to the first token, in nanoseconds
	came, refused, failed     int
	broken, attempts, probes  int
	promptTokens, foundTokens int
}

func newTally() *tally {
	return &tally{first: hdrhistogram.New(shortestFirst, longestFirst, firstDigits)}
}

func (t *tally) served(after time.Duration) {
	_ = t.first.RecordValue(int64(after)) // deadlines are far shorter than the longest
}

func (t *tally) read(prompt, kept int) {
	t.promptTokens += prompt
	t.foundTokens += kept
}

// Phase is what was measured in a part of a play.
type Phase struct {
	Name               string
	From, Until        time.Duration
	Came               int
	Served             float64       // share of what was answered
	Broken             int           // streams that broke
	First50, First95   time.Duration // time to the first token
	Found              float64       // share of prompt tokens that readers found kept
	Attempts           float64       // a request
	Probes             float64       // a request
	WorstReader        float64       // requests against the mean of its kind
	WorstWriter        float64
	ProbesAtServer     float64 // a second, in the mean
	MostProbesAtServer float64 // a second, at the server that got the most
	ColdWorst          float64 // the fullest window of a cold server so far, against its limit
}

// phase ends a phase and begins the next.
func (f *fleet) phase(name string, from time.Duration) Phase {
	t := f.tally
	f.tally = newTally()
	served := int(t.first.TotalCount())
	p := Phase{Name: name, From: from, Until: f.Now, Came: t.came, Broken: t.broken, ColdWorst: f.worst,
		First50: time.Duration(t.first.ValueAtQuantile(50)), First95: time.Duration(t.first.ValueAtQuantile(95)),
		Served: share(served, served+t.refused+t.failed), Found: share(t.foundTokens, t.promptTokens),
		Attempts: share(t.attempts, t.came), Probes: share(t.probes, t.came)}
	long := (f.Now - from).Seconds()
	p.WorstReader, p.WorstWriter = f.worstLoad(readerKind), f.worstLoad(writerKind)
	for _, s := range f.ordered {
		rate := float64(s.probes) / long
		p.ProbesAtServer += rate / float64(len(f.ordered))
		p.MostProbesAtServer = max(p.MostProbesAtServer, rate)
		s.probes, s.sends = 0, 0
	}
	return p
}

// worstLoad is what the busiest server of a kind got, against the mean of the kind.
func (f *fleet) worstLoad(kind int) float64 {
	most, sum, n := 0, 0, 0
	for _, s := range f.ordered {
		if s.Kind == kind {
			most, sum, n = max(most, s.sends), sum+s.sends, n+1
		}
	}
	if sum == 0 {
		return 0
	}
	return float64(most) * float64(n) / float64(sum)
}

func share(part, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(part) / float64(of)
}
