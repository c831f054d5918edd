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

func (m *mean) add(v float64, now time.Duration) { m.weigh(v, now, 1) }

// weigh adds a value that counts for less than a whole one.
func (m *mean) weigh(v float64, now time.Duration, weight float64) {
	m.n = min(m.n+weight, 1/waitWeight)
	m.value += (v - m.value) * weight / m.n
	m.at = now
}

// known is how many values m stands for, older ones for less.
func (m *mean) known(now, span time.Duration) float64 {
	return m.n * math.Exp(-float64(now-m.at)/float64(span))
}

// among leans m on the mean of its peers: the more, the fewer values it has and the older they are.
func (m *mean) among(peers mean, now, span time.Duration) float64 {
	n := m.known(now, span)
	return (n*m.value + peers.value) / (n + 1)
}

// streams is how long answers take in hints of their length: an answer that runs counts with its time so far.
type streams struct {
	spent, done rate    // hints that ended answers took, and how many ended
	each, since float64 // of those that run: the sum of 1/hint, and of their beginnings in hints
}

// begin and end book an answer of the given hint that began at a time.
func (t *streams) begin(at, hint time.Duration) {
	t.each += 1 / hint.Seconds()
	t.since += at.Seconds() / hint.Seconds()
}

func (t *streams) end(at, hint, now time.Duration) {
	t.each -= 1 / hint.Seconds()
	t.since -= at.Seconds() / hint.Seconds()
	t.spent.add(now, (now-at).Seconds()/hint.Seconds())
	t.done.add(now, 1)
}

// newStreams is streams of no server yet.
func newStreams() streams {
	return streams{spent: rate{span: slowSpan}, done: rate{span: slowSpan}}
}

// addAll counts the answers of another.
func (t *streams) addAll(of *streams, now time.Duration) {
	t.spent.add(now, of.spent.value(now))
	t.done.add(now, of.done.value(now))
	t.each += of.each
	t.since += of.since
}

// sum is the hints that have been spent, and the answers that have ended.
func (t *streams) sum(now time.Duration) (spent, done float64) {
	return t.spent.value(now) + max(0, t.each*now.Seconds()-t.since), t.done.value(now)
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

// shareDoubt is how many requests less than nothing one must have seen of to tell its part.
const shareDoubt = 0.4

// tally counts the work of requests by their beginning, older ones for less. It forgets those that faded, and holds so many
// at most.
type tally struct {
	work     rate // of all
	requests rate
	of       map[uint64]*rate // work by beginning
}

// weight is how much more room a request of so much work needs than one of mean work, where it is the larger. What a server
// bears is counted in requests of mean work; the root lies between counting requests alike and counting their work alone.
func (t *tally) weight(work float64) float64 {
	if t.work.count == 0 {
		return 1
	}
	return max(1, math.Sqrt(work*t.requests.count/t.work.count)) // both fade alike
}

// part is how much of all work a beginning makes, leaning to much where little has been seen, 0 for none. What is not
// known of it is taken to be like the request at hand, which is counted after that.
func (t *tally) part(key uint64, work float64, now time.Duration) float64 {
	if t.of == nil {
		t.work.span, t.requests.span, t.of = usualSpan, usualSpan, make(map[uint64]*rate)
	}
	all, mean := t.work.value(now), work
	if requests := t.requests.value(now); requests > forgotten {
		mean = all / requests
	}
	t.work.add(now, work)
	t.requests.add(now, 1)
	if key == 0 {
		return 0
	}
	n, ok := t.of[key]
	if !ok && len(t.of) >= prefixTable {
		maps.DeleteFunc(t.of, func(_ uint64, n *rate) bool { return n.value(now) < forgotten*mean })
	}
	if !ok && len(t.of) < prefixTable {
		n = &rate{span: usualSpan}
		t.of[key] = n
	}
	seen := 0.0
	if n != nil {
		seen = n.value(now)
		n.add(now, work)
	}
	return (seen + shareDoubt*work) / (all + 4*shareDoubt*mean)
}
