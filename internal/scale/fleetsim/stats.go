package fleetsim

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the recorded times to the first token.
const (
	minFirstTokenNs  = int64(time.Microsecond)
	maxFirstTokenNs  = int64(time.Minute)
	firstTokenDigits = 3
)

// stats counts the events of one phase.
type stats struct {
	firstToken                      *hdrhistogram.Histogram // time to the first token, in nanoseconds
	requests, refused, failed       int
	brokenStreams, attempts, probes int
	promptTokens, cachedTokens      int
}

func newStats() *stats {
	return &stats{firstToken: hdrhistogram.New(minFirstTokenNs, maxFirstTokenNs, firstTokenDigits)}
}

func (t *stats) served(after time.Duration) {
	_ = t.firstToken.RecordValue(int64(after)) // cannot fail: deadlines are far shorter than the maximum
}

func (t *stats) read(prompt, cached int) {
	t.promptTokens += prompt
	t.cachedTokens += cached
}

// Phase holds the measurements of one phase of a simulation.
type Phase struct {
	Name                         string
	From, Until                  time.Duration
	Requests                     int
	ServedShare                  float64       // share of the finished requests
	BrokenStreams                int           // number of streams that ended early
	FirstTokenP50, FirstTokenP95 time.Duration // time to the first token
	CacheHitShare                float64       // share of the prompt tokens that readers found in their caches
	AttemptsPerRequest           float64
	ProbesPerRequest             float64
	PeakReaderLoad               float64 // attempts at the busiest reader relative to the mean
	PeakWriterLoad               float64 // attempts at the busiest writer relative to the mean
	MeanProbeRate                float64 // per second, mean over all servers
	MaxProbeRate                 float64 // per second, at the server that received the most
	PeakColdLoad                 float64 // highest load of a cold server within a window so far, as a share of its limit
}

// endPhase returns the measurements of the current phase and resets the counters for the next one.
func (f *fleet) endPhase(name string, from time.Duration) Phase {
	t := f.stats
	f.stats = newStats()
	served := int(t.firstToken.TotalCount())
	p := Phase{Name: name, From: from, Until: f.Now, Requests: t.requests, BrokenStreams: t.brokenStreams, PeakColdLoad: f.worstColdLoad,
		FirstTokenP50: time.Duration(t.firstToken.ValueAtQuantile(50)), FirstTokenP95: time.Duration(t.firstToken.ValueAtQuantile(95)),
		ServedShare: share(served, served+t.refused+t.failed), CacheHitShare: share(t.cachedTokens, t.promptTokens),
		AttemptsPerRequest: share(t.attempts, t.requests), ProbesPerRequest: share(t.probes, t.requests)}
	seconds := (f.Now - from).Seconds()
	p.PeakReaderLoad, p.PeakWriterLoad = f.peakToMeanLoad(readerKind), f.peakToMeanLoad(writerKind)
	for _, s := range f.serverList {
		rate := float64(s.probes) / seconds
		p.MeanProbeRate += rate / float64(len(f.serverList))
		p.MaxProbeRate = max(p.MaxProbeRate, rate)
		s.probes, s.received = 0, 0
	}
	return p
}

// peakToMeanLoad returns the attempts at the busiest server of a kind relative to the mean of that kind.
func (f *fleet) peakToMeanLoad(kind int) float64 {
	busiest, sum, n := 0, 0, 0
	for _, s := range f.serverList {
		if s.Kind == kind {
			busiest, sum, n = max(busiest, s.received), sum+s.received, n+1
		}
	}
	if sum == 0 {
		return 0
	}
	return float64(busiest) * float64(n) / float64(sum)
}

func share(part, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(part) / float64(of)
}
