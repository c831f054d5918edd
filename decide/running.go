package decide

import (
	"maps"
	"math"
	"time"
)

// Running estimates with decay: means, event rates, answer durations, and the share of each prefix in all work. The
// decisions are in decide.go.

// mean is a running mean in which newer values weigh more.
type mean struct {
	value      float64
	valueCount float64       // number of values it stands for, at most 1/latestWaitWeight
	at         time.Duration // of the latest value
}

func (m *mean) add(v float64, now time.Duration) { m.addWeighted(v, now, 1) }

// addWeighted adds a value with a weight of at most 1.
func (m *mean) addWeighted(v float64, now time.Duration, weight float64) {
	m.valueCount = min(m.valueCount+weight, 1/latestWaitWeight)
	m.value += (v - m.value) * weight / m.valueCount
	m.at = now
}

// weight returns how many values m stands for; it decays with their age.
func (m *mean) weight(now, span time.Duration) float64 {
	return m.valueCount * math.Exp(-float64(now-m.at)/float64(span))
}

// blend averages m with the mean of its peers, which counts as one value. The fewer values m has and the older they
// are, the more the peers' mean prevails.
func (m *mean) blend(peers mean, now, span time.Duration) float64 {
	ownWeight := m.weight(now, span)
	return (ownWeight*m.value + peers.value) / (ownWeight + 1)
}

// answerTimes tracks the durations of answers relative to their hints (Request.DurationHint). A running answer counts
// with its duration so far.
type answerTimes struct {
	spent, done      rate    // ended answers: sum of duration/hint, and their number
	inverse, started float64 // running answers: sums of 1/hint and of start/hint
}

// begin and end record an answer with the given hint that began at the time at.
func (a *answerTimes) begin(at, hint time.Duration) {
	a.inverse += 1 / hint.Seconds()
	a.started += at.Seconds() / hint.Seconds()
}

func (a *answerTimes) end(at, hint, now time.Duration) {
	a.inverse -= 1 / hint.Seconds()
	a.started -= at.Seconds() / hint.Seconds()
	a.spent.add(now, (now-at).Seconds()/hint.Seconds())
	a.done.add(now, 1)
}

// newAnswerTimes returns an answerTimes without any answers.
func newAnswerTimes() answerTimes {
	return answerTimes{spent: rate{span: answerTimeSpan}, done: rate{span: answerTimeSpan}}
}

// addAll adds the answers of other.
func (a *answerTimes) addAll(other *answerTimes, now time.Duration) {
	a.spent.add(now, other.spent.value(now))
	a.done.add(now, other.done.value(now))
	a.inverse += other.inverse
	a.started += other.started
}

// sum returns the sum of duration/hint over ended and running answers, and the number of ended ones.
func (a *answerTimes) sum(now time.Duration) (spent, done float64) {
	return a.spent.value(now) + max(0, a.inverse*now.Seconds()-a.started), a.done.value(now)
}

// rate is an event count that decays exponentially.
type rate struct {
	count float64
	at    time.Duration // of the latest event
	span  time.Duration // time constant of the decay
}

func (c *rate) add(now time.Duration, events float64) { c.count, c.at = c.value(now)+events, now }

// value returns the count decayed to the given time.
func (c *rate) value(now time.Duration) float64 {
	return c.count * math.Exp(-float64(now-c.at)/float64(c.span))
}

// shareSmoothing is the number of requests like the current one that are added to the count of a group when its share
// of all is estimated.
const shareSmoothing = 0.4

// workByPrefix counts the work of requests by prefix, in tokens, with decay. It holds at most maxPrefixes prefixes and
// drops those with negligible counts to make room.
type workByPrefix struct {
	work     rate // of all requests
	requests rate
	byPrefix map[uint64]*rate // work by prefix
}

// relativeCost returns how much more of a server's capacity a request needs than one of mean work, at least 1.
// Capacity is counted in requests of mean work; the square root lies between counting requests only and counting work
// only.
func (w *workByPrefix) relativeCost(work float64) float64 {
	if w.work.count == 0 {
		return 1
	}
	return max(1, math.Sqrt(work*w.requests.count/w.work.count)) // both decay alike
}

// workShare returns the share of a prefix in the work of all requests, 0 for key 0, and then counts the request at
// hand. Where little has been seen the estimate is high: unseen work is taken to be like that request.
func (w *workByPrefix) workShare(key uint64, work float64, now time.Duration) float64 {
	if w.byPrefix == nil {
		w.work.span, w.requests.span, w.byPrefix = loadSpan, loadSpan, make(map[uint64]*rate)
	}
	total, meanWork := w.work.value(now), work
	if requests := w.requests.value(now); requests > negligibleCount {
		meanWork = total / requests
	}
	w.work.add(now, work)
	w.requests.add(now, 1)
	if key == 0 {
		return 0
	}
	prefixWork, ok := w.byPrefix[key]
	if !ok && len(w.byPrefix) >= maxPrefixes {
		maps.DeleteFunc(w.byPrefix,
			func(_ uint64, prefixWork *rate) bool { return prefixWork.value(now) < negligibleCount*meanWork })
	}
	if !ok && len(w.byPrefix) < maxPrefixes {
		prefixWork = &rate{span: loadSpan}
		w.byPrefix[key] = prefixWork
	}
	seen := 0.0
	if prefixWork != nil {
		seen = prefixWork.value(now)
		prefixWork.add(now, work)
	}
	return (seen + shareSmoothing*work) / (total + 4*shareSmoothing*meanWork)
}
