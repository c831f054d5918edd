package decide

import (
	"maps"
	"math"
	"time"
)

// Running estimates that forget: means, rates, the length of answers, and what part of all work each beginning makes. Nothing
// is decided here: see decide.go.

// mean is a running mean that forgets.
type mean struct {
	value float64
	n     float64
	at    time.Duration // of the latest value
}

func (m *mean) add(v float64, now time.Duration) { m.addWeighted(v, now, 1) }

// addWeighted adds a value that counts for less than a whole one.
func (m *mean) addWeighted(v float64, now time.Duration, weight float64) {
	m.n = min(m.n+weight, 1/latestWaitWeight)
	m.value += (v - m.value) * weight / m.n
	m.at = now
}

// weight is how many values m stands for, older ones for less.
func (m *mean) weight(now, span time.Duration) float64 {
	return m.n * math.Exp(-float64(now-m.at)/float64(span))
}

// blend leans m on the mean of its peers: the more, the fewer values it has and the older they are.
func (m *mean) blend(peers mean, now, span time.Duration) float64 {
	n := m.weight(now, span)
	return (n*m.value + peers.value) / (n + 1)
}

// streams is how long answers take in hints of their length: an answer that runs counts with its time so far.
type streams struct {
	spent, done      rate    // hints that ended answers took, and how many ended
	inverse, started float64 // of those that run: the sum of 1/hint, and of their beginnings in hints
}

// begin and end book an answer of the given hint that began at a time.
func (t *streams) begin(at, hint time.Duration) {
	t.inverse += 1 / hint.Seconds()
	t.started += at.Seconds() / hint.Seconds()
}

func (t *streams) end(at, hint, now time.Duration) {
	t.inverse -= 1 / hint.Seconds()
	t.started -= at.Seconds() / hint.Seconds()
	t.spent.add(now, (now-at).Seconds()/hint.Seconds())
	t.done.add(now, 1)
}

// newStreams is streams of no server yet.
func newStreams() streams {
	return streams{spent: rate{span: answerTimeSpan}, done: rate{span: answerTimeSpan}}
}

// addAll counts the answers of another.
func (t *streams) addAll(other *streams, now time.Duration) {
	t.spent.add(now, other.spent.value(now))
	t.done.add(now, other.done.value(now))
	t.inverse += other.inverse
	t.started += other.started
}

// sum is the hints that have been spent, and the answers that have ended.
func (t *streams) sum(now time.Duration) (spent, done float64) {
	return t.spent.value(now) + max(0, t.inverse*now.Seconds()-t.started), t.done.value(now)
}

// rate counts events, older ones for less.
type rate struct {
	count float64
	at    time.Duration
	span  time.Duration // the mean age of what counts
}

func (c *rate) add(now time.Duration, n float64) { c.count, c.at = c.value(now)+n, now }

func (c *rate) value(now time.Duration) float64 {
	return c.count * math.Exp(-float64(now-c.at)/float64(c.span))
}

// shareSmoothing is how many requests less than nothing one must have seen of to tell its part.
const shareSmoothing = 0.4

// workByPrefix counts the work of requests by their beginning, older ones for less. It forgets those that faded, and holds so many
// at most.
type workByPrefix struct {
	work     rate // of all
	requests rate
	byPrefix map[uint64]*rate // work by beginning
}

// relativeCost is how much more room a request of so much work needs than one of mean work, where it is the larger. What a server
// bears is counted in requests of mean work; the root lies between counting requests alike and counting their work alone.
func (t *workByPrefix) relativeCost(work float64) float64 {
	if t.work.count == 0 {
		return 1
	}
	return max(1, math.Sqrt(work*t.requests.count/t.work.count)) // both fade alike
}

// workShare is how much of all work a beginning makes, leaning to much where little has been seen, 0 for none. What is not
// known of it is taken to be like the request at hand, which is counted after that.
func (t *workByPrefix) workShare(key uint64, work float64, now time.Duration) float64 {
	if t.byPrefix == nil {
		t.work.span, t.requests.span, t.byPrefix = loadSpan, loadSpan, make(map[uint64]*rate)
	}
	total, meanWork := t.work.value(now), work
	if requests := t.requests.value(now); requests > negligibleCount {
		meanWork = total / requests
	}
	t.work.add(now, work)
	t.requests.add(now, 1)
	if key == 0 {
		return 0
	}
	prefixWork, ok := t.byPrefix[key]
	if !ok && len(t.byPrefix) >= maxPrefixes {
		maps.DeleteFunc(t.byPrefix, func(_ uint64, prefixWork *rate) bool { return prefixWork.value(now) < negligibleCount*meanWork })
	}
	if !ok && len(t.byPrefix) < maxPrefixes {
		prefixWork = &rate{span: loadSpan}
		t.byPrefix[key] = prefixWork
	}
	seen := 0.0
	if prefixWork != nil {
		seen = prefixWork.value(now)
		prefixWork.add(now, work)
	}
	return (seen + shareSmoothing*work) / (total + 4*shareSmoothing*meanWork)
}
