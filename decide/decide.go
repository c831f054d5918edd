package decide

// The decisions of a Router; interface and terms are in api.go, the state in state.go. "Own": of this router.

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"rowanyard/internal/lazysort"
)

// Parameters of the policy. They are shares, counts and times; whatever depends on a deployment comes from
// its settings or is learned at run time. docs/design.md discusses neighbouring values.
const (
	// Reader and writer selection.
	maxReadsPerReader   = 8                // over all routers; further requests spill to other readers
	prefixTTL           = 60 * time.Second // a prefix that was not sent for this long counts as evicted
	maxPrefixes         = 4096             // prefixes remembered per reader
	minCachedShare      = 0.9              // a record is wrong if less than this share of it was cached
	minLostAge          = 15 * time.Second // a loss does not drop prefixes sent within this time
	maxWriterFill       = 0.5              // a writer is passed over above this own share of its memory
	peerWeight          = 4.0              // weight of the kind's mean, in own requests at one server
	slowLinkFactor      = 2.0              // links are slow if far transfers take this many times as long
	negligibleWaitShare = 0.1              // waits below this share of the TTFT target count as this share
	popularityLimit     = 1.25             // demand that a reader accepts, relative to the mean of its peers
	minPoolFill         = 0.02             // lower fills count as this in mixedShare
	maxRouterWeight     = 4                // most routers that own counts stand for, see routerWeight
	maxMixedFactor      = 2.0              // limit of the change to the share of mixed servers

	// Attempts and final answers.
	attemptTimeShare   = 0.9                    // longest attempt, as a share of the time that is left
	farTransferShare   = 0.5                    // longest transfer out of the cell, of the TTFT target
	minRetryAfter      = 50 * time.Millisecond  // shortest retry delay suggested to refused clients
	finalAnswerSteps   = 2                      // clock steps before the deadline at which to answer
	probeTimeout       = 10 * time.Millisecond  // wait for the answers to probes of readers ...
	probeValidFor      = 500 * time.Millisecond // ... which count for this long
	writerLoadValidFor = time.Second            // the reported load of a writer counts for this long
	writerProbeTimeout = 30 * time.Millisecond  // a writer that has not answered by then counts as full
	writerProbes       = 3                      // writers probed per request, ...
	farWriterProbes    = 1                      // ... this many of them outside the reader's cell
	maxWriterMemoryUse = 0.9                    // a writer with more of its memory in use counts as full
	pinWaitShare       = 0.7                    // wait for a writer, as a share of the pin limit
	writeCheckDelay    = 120 * time.Millisecond // a server silent for this long after a write is probed ...
	writeCheckTimeout  = 60 * time.Millisecond  // ... and counts as silent after this without an answer
	contactValidFor    = 500 * time.Millisecond // no probe before a write to a server heard from within this
	silenceAlertSpan   = 10 * time.Second       // after a silence, writers are probed for this long ...
	staleWriterProbes  = 2                      // ... during reads, this many, where routers are few
	retryInterval      = 50 * time.Millisecond  // between tries while no server can be used
	listRetryInterval  = time.Second            // between failed requests for the server list
	listTimerToken     = 1 << 62                // timer of that retry; other tokens are request IDs

	// Health.
	silenceTTFTShare    = 0.35                   // a server is silent after this share of the TTFT target,
	silenceWaitFactor   = 5.0                    // plus this many usual waits of its kind,
	silenceReadFactor   = 2.0                    // plus this many times the time to read the new tokens
	minReadTokens       = 1000                   // shorter reads count as this long
	answerTimeSpan      = 10 * time.Second       // averaging time of answer durations
	slowAnswerFactor    = 2.5                    // a server is slow at this multiple of the mean, ...
	slowAnswerSmoothing = 2.0                    // ... after adding this many answers at the mean
	maxFailureRate      = 0.3                    // a server is suspect at this failure rate ...
	minFailures         = 1.5                    // ... once there are this many recent failures, ...
	minFailuresSparse   = 0.5                    // ... or this plus the attempts usually sent in rateSpan
	latestWaitWeight    = 0.25                   // weight of the latest value in a running mean
	slowReadWeight      = 0.02                   // the same for a read slower than the unhindered pace
	minBackoff          = time.Second            // before the first trial of a suspect server, ...
	maxBackoff          = 8 * time.Second        // ... doubled after each failed trial up to this ...
	maxSparseBackoff    = 16 * time.Second       // ... or to the usual time between sends, at most this
	partialMiss         = 0.5                    // weight of a refusal or a silence as a sign of a lost zone
	refusedWithin       = 50 * time.Millisecond  // a connection that failed sooner was refused
	maxZoneBackoff      = 4 * time.Second        // longest backoff from a zone
	minFullBackoff      = 100 * time.Millisecond // backoff from a full server, ...
	fullBackoffFactor   = 50                     // ... or this many times the time of its rejection, ...
	maxFullBackoff      = 30 * time.Second       // ... doubled each time it is full again up to this

	// Cold servers.
	rateSpan               = 4 * time.Second  // averaging time of send rates
	tenantSpan             = 8 * time.Second  // averaging time of tenants' request rates
	negligibleCount        = 0.01             // a decayed count below this is dropped
	loadSpan               = 30 * time.Second // averaging time of what warm servers accept
	coldEqualShare         = 0.65             // used share of the budget if routers split it evenly, ...
	coldIdleLoad           = 0.7              // ... divided by the usual load, 0.7 to 1
	coldBudgetShare        = 0.9              // used share of the budget if split by session
	coldRetryFactor        = 0.1              // applied to that for retries by clients
	coldSpread             = 1.5              // a prefix may use this multiple of its share of the servers
	coldKindFactor         = 0.7              // kind without warm servers: share of its peers' accepted rate
	acceptedRatioSmoothing = 4.0              // accepted and sent requests added to the ratio of the two
	minAcceptedRatio       = 0.25             // lower ratios, as in floods, count as this

	// Overload.
	shedTTFTShare  = 0.5 // refuse if the reader's wait exceeds this share of the TTFT target, ...
	shedBase       = 0.4 // ... times this for the least value and nothing cached,
	shedValue      = 0.3 // plus this times the relative value,
	shedCached     = 0.3 // plus this times the cached share of the prompt, which costs little;
	shedFill       = 2.0 // or if own tokens exceed this multiple of the own share of the writers' memory
	quotaTolerance = 1.3 // a tenant is over its quota at this multiple of the own share of it
)

// New returns a Router that acts through exec. Equal seeds and events give equal decisions.
func New(cfg Settings, seed uint64, exec Executor) (*Router, error) {
	if exec == nil {
		return nil, errors.New("decide: no executor")
	}
	if err := check(cfg); err != nil {
		return nil, fmt.Errorf("decide: %w", err)
	}
	r := newRouter(cfg, seed, exec)
	if cfg.PollServerList {
		exec.RequestServerList(true)
	}
	return r, nil
}

// Servers applies a server list or a change to it.
func (r *Router) Servers(now time.Duration, list ServerList) {
	r.now = now
	if list.Failed {
		r.exec.SetTimer(listTimerToken, now+listRetryInterval)
		return
	}
	if len(r.servers) == 0 {
		r.firstListAt = now
	}
	if list.Complete {
		for _, s := range r.listed {
			s.State = Gone
		}
	}
	for _, e := range list.Servers {
		r.updateServer(e)
	}
	r.listed = r.listed[:0]
	for id, s := range r.servers {
		switch {
		case s.State != Gone:
			r.listed = append(r.listed, s)
		case s.inFlight == 0 && s.tokens == 0:
			s.prefixes.reset()
			delete(r.servers, id)
		}
	}
	slices.SortFunc(r.listed, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	r.rebuildIndex()
}

// Request starts a client's request. An ID that is already open is ignored; an unknown class fails.
func (r *Router) Request(now time.Duration, q Request) {
	r.now = now
	if r.requests[q.ID] != nil {
		return
	}
	if q.Class < 0 || q.Class >= len(r.cfg.Classes) {
		r.exec.Fail(q.ID)
		return
	}
	p := &request{Request: q, class: &r.cfg.Classes[q.Class], arrived: now, deadline: now + q.TimeLeft}
	r.requests[q.ID] = p
	r.exec.SetTimer(uint64(q.ID), max(now, p.deadline-finalAnswerSteps*r.cfg.ClockStep))
	r.requestTokens += r.expectedTokens(p)
	if p.PrefixLength == 0 || 2*p.PrefixLength >= p.PromptLength {
		p.homePrefix = p.Prefix
	}
	p.prefixShare = r.prefixWork.workShare(p.homePrefix, float64(r.expectedTokens(p)), r.now)
	p.value = r.value(p)
	r.dispatch(p)
}

// wouldOverload reports whether p, read at s, would only be late or delay others. The threshold is lower for
// requests of little value or little cached. It prevents congestion collapse: readers that fall behind lose
// their cached prefixes to waiting states and then read everything anew. A short stall may cause refusals.
func (r *Router) wouldOverload(p *request, s *server) bool {
	fill := float64(r.requestTokens) * r.routerWeight() / (r.answerMemory[Writer] + r.answerMemory[Mixed])
	if len(p.attempts) == 0 && fill > shedFill*r.shedTolerance(p, s) {
		return true
	}
	return r.wouldBeLate(p, s)
}

// wouldBeLate reports whether the wait expected at s is too long for p. A server without own requests is
// tried even then, so that the estimate stays fresh; only at random where few own requests are in flight.
func (r *Router) wouldBeLate(p *request, s *server) bool {
	ttftTarget := r.ttftTarget(p)
	remaining := min(ttftTarget-(r.now-p.arrived), p.deadline-r.now)
	match, _ := s.prefixes.match(&p.Request, r.now)
	maxWait := min(shedTTFTShare*ttftTarget.Seconds()*r.shedTolerance(p, s), remaining.Seconds())
	wait := r.wait(s) + r.readTime(p.PromptLength-match)
	p.retryAfter = seconds(max(minRetryAfter.Seconds(), wait-maxWait))
	if s.inFlight > 0 || wait <= maxWait {
		return wait > maxWait
	}
	meanInFlight := float64(r.kinds[s.Kind].inFlight) / float64(max(1, r.kinds[s.Kind].ready))
	return r.rng.Float64() < math.Exp(-peerWeight*meanInFlight)*(1-maxWait/wait)
}

// wait returns the expected wait at s in seconds. The fewer and the older the observations there, the more it
// relies on recent waits at all servers of the kind.
func (r *Router) wait(s *server) float64 {
	peers := r.kinds[s.Kind].wait
	if s.probeAnsweredAt > 0 && r.now-s.probeAnsweredAt < probeValidFor {
		peers.value = s.probedWait
	}
	return s.wait.blend(peers, r.now, rateSpan)
}

// routerWeight returns how many routers this router's own counts stand for. Among hundreds, some see many
// times the mean: scaled by all of them, their counts would make a nearly idle fleet look full. Waits, probes
// and rejections still show the true load.
func (r *Router) routerWeight() float64 { return float64(min(r.cfg.RouterCount, maxRouterWeight)) }

// shedTolerance grows with the value of p and with the share of its prompt that is cached at s.
func (r *Router) shedTolerance(p *request, s *server) float64 {
	match, _ := s.prefixes.match(&p.Request, r.now)
	return shedBase + shedValue*p.value + shedCached*float64(match)/float64(max(1, p.PromptLength))
}

// value returns p's value relative to the highest, reduced if its tenant is over quota. The tenant's count is
// drawn towards this router's share of the quota: one request must not exceed a share of less than one.
func (r *Router) value(p *request) float64 {
	v := p.class.Value / max(r.maxValue, 1e-9)
	if p.Tenant < 0 || p.Tenant >= len(r.demand) {
		return v
	}
	demand := &r.demand[p.Tenant]
	share := r.cfg.Tenants[p.Tenant].Quota / float64(r.cfg.RouterCount) * demand.span.Seconds()
	demand.add(r.now, 1)
	if share > 0 && shrinkToMean(demand.value(r.now), share) > quotaTolerance*share {
		v *= r.cfg.OverQuotaFactor
	}
	return v
}

// dispatch sends p to a server for its next stage, schedules another try, or gives up.
func (r *Router) dispatch(p *request) {
	if reason := r.stopReason(p); reason != "" || p.answered {
		r.giveUp(p, reason)
		return
	}
	if p.holder != nil {
		if w := r.pickWriter(p); w != nil {
			r.send(p, w, false)
			return
		}
		r.retryLater(p, p.heldAt+time.Duration(pinWaitShare*float64(cmp.Or(r.cfg.PinLimit, p.TimeLeft))))
		return
	}
	if s := r.pickReader(p); s != nil {
		if s.role == Reader && !r.attemptsLeft(p, 2) { // a read that no write could follow
			r.giveUp(p, AttemptsSpent)
			return
		}
		if r.probeCandidates(p, s) {
			return
		}
		if r.wouldOverload(p, s) {
			r.giveUp(p, TooMuchLoad)
			return
		}
		r.send(p, s, s.role == Reader)
		return
	}
	r.retryLater(p, p.arrived+r.ttftTarget(p))
}

// stopReason returns why no more attempts of p are allowed, "" if they are.
func (r *Router) stopReason(p *request) Reason {
	switch {
	case !r.attemptsLeft(p, 1):
		return AttemptsSpent
	case p.holder != nil && r.cfg.PinLimit > 0 && r.now >= p.heldAt+r.cfg.PinLimit:
		return StateExpired
	case p.mayHaveRun != nil && p.class.Effect == Unsafe:
		return MayHaveRun
	}
	return ""
}

// explain passes the reason of the next call to an Executor that implements Explainer.
func (r *Router) explain(p *request, reason Reason) {
	if e, ok := r.exec.(Explainer); ok {
		e.Explain(p.ID, reason)
	}
}

// sendReason returns why p is being sent.
func (p *request) sendReason() Reason {
	last := len(p.attempts) - 1
	switch {
	case last < 0:
		return FirstAttempt
	case p.holder == nil:
		return StateGone
	case p.attempts[last].read:
		return NextStage
	}
	return AfterFailure
}

// attemptsLeft reports whether p may be sent count more times.
func (r *Router) attemptsLeft(p *request, count int) bool {
	return r.cfg.MaxAttempts == 0 || len(p.attempts)+count <= r.cfg.MaxAttempts
}

// retryLater schedules another try of p, or gives up if that would be past the limit.
func (r *Router) retryLater(p *request, limit time.Duration) {
	if r.now+retryInterval >= min(limit, p.deadline-finalAnswerSteps*r.cfg.ClockStep) {
		r.giveUp(p, NoServer)
		return
	}
	p.failed, p.retryAt = nil, r.now+retryInterval
	r.exec.SetTimer(uint64(p.ID), p.retryAt)
}

// send makes the next attempt of p, at s.
func (r *Router) send(p *request, s *server, read bool) {
	p.retryAt = 0
	r.explain(p, p.sendReason())
	r.countSend(s.role)
	if !r.warm(s) {
		s.recentColdSends(r.now, r.cfg.ColdOverloadWindow)
		s.coldSends = append(s.coldSends, r.now)
	}
	s.inFlight++
	r.kinds[s.Kind].inFlight++
	p.silenceCheckAt = r.now + r.silenceTimeout(p, s)
	r.exec.SetTimer(uint64(p.ID), p.silenceCheckAt)
	match, matchSentAt := s.prefixes.match(&p.Request, r.now)
	p.attempts = append(p.attempts, attempt{server: s, sentAt: r.now, read: read, inFlight: true,
		match: match, matchSentAt: matchSentAt})
	if read || p.holder == nil {
		s.prefixes.record(&p.Request, r.now)
	}
	if read {
		p.reader = s
		r.probeWriters(p, s)
	}
	if !read {
		r.addInFlight(s, r.expectedTokens(p), 1)
	}
	r.scheduleWriteCheck(p, read)
	timeout := seconds(attemptTimeShare * (p.deadline - r.now).Seconds())
	if p.class.Effect != Unsafe && p.holder != nil && p.holder.Cell != s.Cell { // the link may be congested
		timeout = min(timeout, seconds(farTransferShare*r.ttftTarget(p).Seconds()))
	}
	r.exec.Send(p.ID, s.ID, max(r.cfg.ClockStep, timeout))
}

// expectedTokens returns the tokens that p needs at a writer: the prompt and the expected answer.
func (r *Router) expectedTokens(p *request) int {
	if p.DurationHint > 0 && p.class.TPOTTarget > 0 {
		return p.PromptLength + int(p.DurationHint/p.class.TPOTTarget)
	}
	return p.PromptLength + p.MaxOutput/2
}

// giveUp answers p if it has no answer yet, and releases its state.
func (r *Router) giveUp(p *request, reason Reason) {
	if !p.answered {
		p.answered = true
		r.explain(p, reason)
		if r.mayRefuse(p) {
			maxRetryAfter := r.cfg.MaxRetryAfter / 2 // a longer wait uses up the TTFT target
			r.exec.Refuse(p.ID, min(cmp.Or(p.retryAfter, maxRetryAfter), maxRetryAfter))
		} else {
			r.exec.Fail(p.ID)
		}
	}
	r.release(p)
}

// mayRefuse reports whether p may be refused, because a retry is harmless. Repeats of a keyed request must
// be dropped for longer than any retry can take: the deadline of the class plus the connect timeout.
func (r *Router) mayRefuse(p *request) bool {
	if p.class.Effect == Safe || p.mayHaveRun == nil && !p.awaitsOutcome() {
		return true
	}
	earliest := p.arrived // earliest time of an effect
	if p.mayHaveRun != nil {
		earliest = p.mayHaveRun.sentAt
	}
	latest := p.arrived + max(p.class.Deadline, p.TimeLeft) + r.cfg.ConnectTimeout
	return p.class.Effect == Keyed && p.class.Scope == ScopeAll && latest < earliest+p.class.RepeatWindow
}

// mayRepeat reports whether p may go to s given that an earlier attempt may have had an effect. The repeat
// must arrive, not only leave, within the window in which repeats are dropped.
func (r *Router) mayRepeat(p *request, s *server) bool {
	switch {
	case p.mayHaveRun == nil || p.class.Effect == Safe:
		return true
	case p.class.Effect == Unsafe || r.now+r.cfg.ConnectTimeout >= p.mayHaveRun.sentAt+p.class.RepeatWindow:
		return false
	}
	origin := p.mayHaveRun.server
	return p.class.Scope == ScopeAll || p.class.Scope == ScopeZone && s.Zone == origin.Zone ||
		p.class.Scope == ScopeCell && s.Cell == origin.Cell
}

// release frees the held state of an answered request and forgets the request after its last outcome.
func (r *Router) release(p *request) {
	r.exec.Release(p.ID)
	p.holder = nil
	if !p.awaitsOutcome() {
		r.requestTokens -= r.expectedTokens(p)
		delete(r.requests, p.ID)
	}
}

// pickReader selects a reader, or a mixed server for that pool's share of the requests. If no reader is
// trusted but servers that can read for themselves are, those take all: slower, but the service goes on.
func (r *Router) pickReader(p *request) *server {
	readers, mixed := r.candidates(p, Reader), r.candidates(p, Mixed)
	share := r.mixedShare()
	if len(mixed) == 0 && r.cfg.WritersCanRead {
		mixed, share = r.candidates(p, Writer), 0
	}
	readersUntrusted := !slices.ContainsFunc(readers, r.trusted) && slices.ContainsFunc(mixed, r.trusted)
	draw := fraction(mix(cmp.Or(p.Session, r.rng.Uint64()))) // constant within a session
	if readersUntrusted || len(mixed) > 0 && draw < share {
		if s := r.rank(p, mixed); readersUntrusted || !r.wouldBeLate(p, s) {
			return s
		}
	}
	return r.rank(p, readers)
}

// mixedShare returns the share of requests that mixed servers process whole. It is their share of the memory
// for answers, shifted towards the emptier pool so that neither saturates while the other has room.
func (r *Router) mixedShare() float64 {
	writerFill, mixedFill := float64(r.writeTokens[Writer])/r.answerMemory[Writer],
		float64(r.writeTokens[Mixed])/r.answerMemory[Mixed]
	minFill := minPoolFill / float64(r.cfg.RouterCount)
	factor := max(writerFill, minFill) / max(mixedFill, minFill)
	return r.answerMemory[Mixed] / (r.answerMemory[Mixed] + r.answerMemory[Writer]) *
		min(max(factor, 1/maxMixedFactor), maxMixedFactor)
}

// rank selects a server by longest recorded prefix match, then fewest own requests in flight, then rendezvous
// order for the shared prefix; or for the session if the prefix is the smaller part of the prompt, because
// one server would otherwise read the rest of all of them. All routers agree on that order, so the first
// server in it that admits p is assumed to have cached the prefix. Others are passed over while one admits p.
func (r *Router) rank(p *request, candidates []*server) *server {
	if len(candidates) == 0 {
		return nil
	}
	key := mix(cmp.Or(p.homePrefix, p.Session, r.rng.Uint64()))
	for _, s := range candidates {
		s.match, s.hashOrder = 0, mix(s.hash^key) // as rendezvousHash
	}
	r.setMatches(p)
	byHash := lazysort.New(candidates, func(a, b *server) bool { return a.hashOrder > b.hashOrder })
	s, more := byHash.Next()
	demand := &r.kinds[s.Kind].demand
	increment := 1.0
	if p.probed { // already counted before the probes
		increment = 0
	}
	demand.add(r.now, increment)
	mean := demand.value(r.now) / float64(len(candidates))
	for ; more; s, more = byHash.Next() {
		s.demand.add(r.now, increment)
		if r.admits(p, s, mean) {
			s.match = max(s.match, p.homeMatch(s))
			break
		}
	}
	byPreference := lazysort.New(candidates, preferred)
	first, _ := byPreference.Next()
	for s, more = first, true; more; s, more = byPreference.Next() {
		if r.admits(p, s, mean) {
			p.runnerUp = first
			if next, ok := byPreference.Next(); ok {
				p.runnerUp = next
			}
			return s
		}
	}
	return slices.MinFunc(candidates, func(a, b *server) int {
		return cmp.Or(cmp.Compare(a.inFlight, b.inFlight), cmp.Compare(b.match, a.match),
			cmp.Compare(b.hashOrder, a.hashOrder))
	})
}

// preferred orders servers by longest match, then fewest in flight, then rendezvous order.
func preferred(a, b *server) bool {
	if a.match != b.match {
		return a.match > b.match
	}
	return a.inFlight < b.inFlight || a.inFlight == b.inFlight && a.hashOrder > b.hashOrder
}

// admits limits the load on popular servers. A server in higher demand than its peers takes a bounded
// multiple of their mean, more while it is faster than they and less while it is slower. The sessions that it
// keeps are chosen by hash: all routers spill the same ones, to the same next server. This covers popular
// prefixes that overload their home though no router has two requests there, and slow readers, which would
// keep their sessions. Transfer times count too, for cells with few writers. A few requests may look popular.
func (r *Router) admits(p *request, s *server, mean float64) bool {
	probeUnanswered := s.probedAt > s.probeAnsweredAt && r.now-s.probedAt < probeValidFor &&
		r.probeAnsweredAt[s.role] >= s.probedAt
	if probeUnanswered || float64(s.inFlight)*r.routerWeight() >= maxReadsPerReader {
		return false
	}
	ownDemand := s.demand.value(r.now)
	demand := mean * (1 + ownDemand) / (1 + mean)
	localWait := r.wait(s) + r.cell(s).transfers.blend(r.transfers, r.now, loadSpan)
	allowance := max(negligibleWaitShare*r.ttftTarget(p).Seconds(),
		r.kinds[s.Kind].wait.value+r.transfers.value) / max(localWait, 1e-3)
	return fraction(rendezvousHash(s, mix(cmp.Or(p.Session, uint64(p.ID)))))*demand <
		popularityLimit*mean*allowance
}

// shrinkToMean estimates the expected value behind a count n, given the mean of its peers: if that is small,
// the count is drawn towards it, as chance prevails; if it is large, the count stays nearly as it is.
func shrinkToMean(n, mean float64) float64 { return mean * (peerWeight + n) / (peerWeight + mean) }

// pickWriter selects the less loaded of two random writers as near to the reader as possible. Writers filled
// by own requests above a limit, which drops while nearby transfers are slower than distant ones, are passed
// over while another is available. This keeps popular homes or lost capacity from overloading the writers of
// one cell; it may add load to a congested link.
func (r *Router) pickWriter(p *request) *server {
	writers := r.candidates(p, Writer)
	if len(writers) == 0 {
		writers = r.candidates(p, Mixed)
	}
	anyHasRoom := slices.ContainsFunc(writers, func(s *server) bool { return !r.saturated(s) })
	hasRoom := func(s *server) bool { return !anyHasRoom || !r.saturated(s) }
	if p.coldWriter != nil && !r.warm(p.coldWriter) && slices.Contains(writers, p.coldWriter) &&
		hasRoom(p.coldWriter) {
		return p.coldWriter
	}
	draw, negligibleWait := r.rng.Float64(), negligibleWaitShare*r.ttftTarget(p).Seconds()
	maxFill := maxWriterFill *
		min(1, (r.farTransfers.value+negligibleWait)/(r.nearTransfers.value+negligibleWait))
	belowLimit := func(s *server) bool {
		var ownWeight float64
		s.fill, ownWeight = r.fill(s)
		return math.Pow(draw, 1-ownWeight)*s.fill < maxFill ||
			s.Cell == p.holder.Cell && s.fill < 1 && r.linksSlow()
	}
	for dist := range distances {
		near := func(s *server) bool { return distance(s, p.holder) <= dist && hasRoom(s) && belowLimit(s) }
		if near := r.nearby.filter(writers, near); len(near) > 0 {
			return r.lessLoadedOfTwo(near)
		}
	}
	if writers = r.nearby.filter(writers, hasRoom); len(writers) == 0 {
		return nil
	}
	r.shuffle(writers)
	return slices.MinFunc(writers, func(a, b *server) int { return cmp.Compare(a.fill, b.fill) })
}

// linksSlow reports whether transfers out of a cell recently took far longer than those inside. The writers
// of the cell are then filled further before states leave it; the far transfers that remain show a recovery.
func (r *Router) linksSlow() bool {
	return r.now-r.farTransfers.at < maxBackoff && r.farTransfers.valueCount > 2 &&
		r.farTransfers.value > slowLinkFactor*r.nearTransfers.value
}

// fill returns the own tokens at s relative to this router's share of its memory, and the weight of the
// server's own count in that. The fewer requests the share holds, the more the estimate relies on the fill of
// the whole pool: among many routers a single request is weak evidence.
func (r *Router) fill(s *server) (fill, ownWeight float64) {
	share := r.memory(s) / r.routerWeight()
	prior := peerWeight * float64(r.writeTokens[s.role]) / float64(max(1, r.writesInFlight[s.role]))
	fleetFill := float64(r.writeTokens[s.role]) * r.routerWeight() / r.answerMemory[s.role]
	return (float64(s.tokens) + prior*fleetFill*r.cellCrowding(s)) / (share + prior), share / (share + prior)
}

// lessLoadedOfTwo draws two servers and returns the one with less load, or nil if there are none.
func (r *Router) lessLoadedOfTwo(servers []*server) *server {
	if len(servers) == 0 {
		return nil
	}
	i := r.rng.IntN(len(servers))
	if len(servers) == 1 {
		return servers[i]
	}
	a, b := servers[i], servers[(i+1+r.rng.IntN(len(servers)-1))%len(servers)]
	if r.loadKnown(a) && r.loadKnown(b) && b.memoryUse < a.memoryUse ||
		!(r.loadKnown(a) && r.loadKnown(b)) && b.tokens < a.tokens {
		return b
	}
	return a
}

// candidates lists the servers of a role that p may be sent to.
func (r *Router) candidates(p *request, role Role) []*server {
	p.coldKey = mix(^cmp.Or(p.Session, uint64(p.ID)))
	p.coldQuantile = fraction(mix(p.coldKey)) * r.prefixWork.relativeCost(float64(r.expectedTokens(p)))
	r.assignColdWriter(p, role)
	usable := append(r.eligible[role][:0], r.index.Warm(int(role), r.now)...)
	for _, s := range r.coldCandidates(p, role) {
		if r.mayUseCold(p, s) {
			usable.add(s)
		}
	}
	source, meanRatio, anyUnhealthy := p.classTenant(), r.meanAnswerRatio(role), false
	for _, s := range r.flaggedServers(role) {
		if s.isFull(source, r.now) {
			usable.remove(s)
		}
		anyUnhealthy = anyUnhealthy || !r.trusted(s) || r.slow(s, meanRatio)
	}
	if len(p.failed) > 0 || p.mayHaveRun != nil {
		usable.keep(func(s *server) bool { return !slices.Contains(p.failed, s) && r.mayRepeat(p, s) })
	}
	if r.anyZoneBackingOff() {
		if near := filter(usable, r.zoneReachable); len(near) > 0 {
			usable = near
		}
	}
	r.eligible[role] = usable
	if !anyUnhealthy {
		return usable
	}
	unsuspected := r.healthy[role].filter(usable,
		func(s *server) bool { return r.trusted(s) && !r.slow(s, meanRatio) })
	if 2*len(unsuspected) < len(usable) {
		return usable
	}
	return unsuspected
}

// trusted reports whether s may be used as far as its health goes. A suspect server gets one attempt at a
// time once its backoff is over. candidates ignores suspicion that covers more than half of the servers,
// because that points to the load or the network.
func (r *Router) trusted(s *server) bool {
	return !s.suspect || r.now >= s.backoff.until && s.inFlight == 0
}

// slow reports whether answers at s take far longer, relative to their hints, than the mean of its role. Such
// a server starts answers in time but streams slowly; it gets no more until it has finished what it has, and
// then one at a time. A few answers longer than their hints have the same effect until they are forgotten.
func (r *Router) slow(s *server, meanRatio float64) bool {
	if meanRatio <= 0 || s.tokens <= 0 {
		return false
	}
	spent, done := s.answerTimes.sum(r.now)
	return (spent+slowAnswerSmoothing*meanRatio)/(done+slowAnswerSmoothing) > slowAnswerFactor*meanRatio
}

// recordSuccess records an attempt that s accepted after the given wait in seconds.
func (r *Router) recordSuccess(s *server, wait float64) {
	r.noteAlive(s)
	if r.warm(s) {
		r.loadVersion++
		r.kinds[s.Kind].accepted.add(r.now, 1/float64(max(1, r.warmCount(s.Kind))))
	}
	s.successes.add(r.now, 1)
	s.wait.add(max(0, wait), r.now)
	r.kinds[s.Kind].wait.add(max(0, wait), r.now)
	if s.suspect && r.now >= s.backoff.until && r.failureRate(s) < maxFailureRate {
		s.suspect, s.backoff = false, backoff{}
	}
}

// recordFailure records a failed attempt: an error, a refused or broken connection, or silence. A server that
// fails too often is suspect and not used for a while; with little traffic, a few chance failures suffice.
func (r *Router) recordFailure(s *server, weight float64) {
	s.failures.add(r.now, weight)
	usualRate := r.accepted(s.Kind) / max(r.observedFraction(), 0.1) / loadSpan.Seconds()
	minimum := min(minFailures, minFailuresSparse+usualRate*rateSpan.Seconds())
	if s.failures.value(r.now) < minimum || r.failureRate(s) < maxFailureRate || r.now < s.backoff.until {
		return
	}
	s.suspect = true
	r.flag(s)
	sendInterval := seconds(min(1/max(usualRate, 1e-3), maxSparseBackoff.Seconds()))
	s.backoff.extend(r.now, max(minBackoff, sendInterval), max(maxBackoff, sendInterval))
}

// recordUnreachable records an attempt without a sign of life, if nothing has been heard from its zone since.
// Enough of them put the zone into backoff while there are others, so that a lost zone is not discovered
// server by server, one connect timeout each. One dead server may take a rarely used zone out for a second.
func (r *Router) recordUnreachable(s *server, sentAt time.Duration, weight float64) {
	z := r.zone(s.Zone)
	if z.aliveAt >= sentAt {
		return
	}
	if r.now-z.lastMissAt > maxZoneBackoff {
		z.misses = 0
	}
	z.misses, z.lastMissAt = z.misses+weight, r.now
	if z.misses >= 1 && r.now >= z.backoff.until {
		z.backoff.extend(r.now, minBackoff, maxZoneBackoff)
	}
}

// failureRate returns the share of recent attempts at s that failed.
func (r *Router) failureRate(s *server) float64 {
	failures := s.failures.value(r.now)
	return failures / max(1, failures+s.successes.value(r.now))
}

// recordRejection starts a backoff from a full server for the class and tenant that it rejected; it may have
// room for others. The backoff grows with the time that the rejection took, so that rejections cost a small
// part of the time however slow they are, even if the server has room again sooner.
func (r *Router) recordRejection(s *server, source classTenant, elapsed time.Duration) {
	if s.fullBackoffs == nil {
		s.fullBackoffs = make(map[classTenant]*backoff)
	}
	if s.fullBackoffs[source] == nil {
		s.fullBackoffs[source] = &backoff{}
	}
	r.flag(s)
	s.fullBackoffs[source].extend(r.now, max(minFullBackoff, fullBackoffFactor*elapsed), maxFullBackoff)
}

// isFull reports whether s is in backoff for requests of the class and tenant.
func (s *server) isFull(source classTenant, now time.Duration) bool {
	f := s.fullBackoffs[source]
	return f != nil && now < f.until
}

// silenceTimeout returns how long an attempt of p at s may go without a sign of life. It grows with the usual
// waits of the kind so that load alone is not taken for silence.
func (r *Router) silenceTimeout(p *request, s *server) time.Duration {
	readTime := 0.0
	if p.holder == nil {
		match, _ := s.prefixes.match(&p.Request, r.now)
		readTime = r.readTime(p.PromptLength - match)
	}
	usualWait := r.kinds[s.Kind].wait.value
	return seconds(silenceTTFTShare*r.ttftTarget(p).Seconds() + silenceWaitFactor*usualWait +
		silenceReadFactor*readTime)
}

// readTime returns the seconds that an unhindered read of that many uncached tokens takes.
func (r *Router) readTime(tokens int) float64 { return r.secondsPerToken * float64(max(0, tokens)) }

// ttftTarget returns the target time to first token of p.
func (r *Router) ttftTarget(p *request) time.Duration {
	return p.class.TTFTTarget + time.Duration(float64(p.class.TTFTTargetPer1000)*float64(p.PromptLength)/1000)
}

// checkSilence cancels the attempt of p if its server has given no sign of life since it was sent. A server
// that has is only busy, unless it has answered an attempt sent long after this one: that points to a dead
// connection, or to a server that answers out of order.
func (r *Router) checkSilence(p *request) {
	last := len(p.attempts) - 1
	a := &p.attempts[last]
	if !a.inFlight || a.streaming {
		return
	}
	mustWait := !r.cfg.CanCancel || !a.read && p.class.Effect == Unsafe
	overtaken := a.server.lastSuccessSentAt > a.sentAt+r.silenceTimeout(p, a.server)/2
	if a.server.aliveAt >= a.sentAt && !overtaken || mustWait {
		p.silenceCheckAt = r.now + r.silenceTimeout(p, a.server)
		r.exec.SetTimer(uint64(p.ID), p.silenceCheckAt)
		return
	}
	p.silenceCheckAt = 0
	r.explain(p, SilentServer)
	r.exec.Cancel(p.ID, last)
}

// mayUseCold paces attempts at a cold server, which fails if all routers together send more than its budget
// in any window. They share no state, and its capacity is known only for its start, so the budget is based on
// that. Few routers split it evenly and take turns with the fraction of a request left over. With many, each
// sends at most its own part of what warm servers get in a window, or one request, and only those that the
// server is open to. Few retries are let through: the clients of many failed routers come back all at once.
func (r *Router) mayUseCold(p *request, s *server) bool {
	if r.warm(s) || r.cfg.ColdOverloadWindow <= 0 {
		return true
	}
	if r.manyRouters() {
		budgetFactor := r.cfg.ColdOverloadFactor * r.cfg.ColdCapacity * coldBudgetShare
		if p.ClientRetry {
			budgetFactor *= coldRetryFactor
		}
		if !r.isColdOpen(p, s, budgetFactor) || r.saturated(s) || p.tried(s) {
			return false
		}
		return float64(s.recentColdSends(r.now, r.cfg.ColdOverloadWindow)+1) <=
			max(1, budgetFactor*r.warmWindowSends(s.Kind))
	}
	warmWindowSends := r.warmWindowSends(s.Kind)
	budget := max(1, r.cfg.ColdOverloadFactor*coldEqualShare) * r.cfg.ColdCapacity * warmWindowSends /
		min(1, max(coldIdleLoad, warmWindowSends))
	round := 1 + uint64((r.now-s.StartedAt)/r.cfg.ColdOverloadWindow) // the same at all routers
	return float64(s.recentColdSends(r.now, r.cfg.ColdOverloadWindow)+1) <= budget+r.budgetOffset(s, round)
}

// isColdOpen reports whether p is in the part of the sessions that may use cold servers, and s is open to it;
// all routers agree on both. A rare prefix may use any cold server, a popular one so few that each gets about
// an even share of the load, because no router sees the total demand for a cold home. For a write, only
// coldWriter is open. The load over all routers thus follows from that of all requests, whatever their number
// and however uneven their traffic.
func (r *Router) isColdOpen(p *request, s *server, budgetFactor float64) bool {
	switch {
	case p.coldQuantile >= r.acceptedRatio(s)*budgetFactor:
		return false
	case s.role == Writer && p.reader != nil:
		return s == p.coldWriter
	}
	return fraction(rendezvousHash(s, p.coldKey))*coldSpread*p.prefixShare*
		float64(r.kinds[s.Kind].readyInRole) < 1
}

// assignColdWriter selects the one cold writer that p's state may go to. It is drawn from the nearest to the
// reader, as many as correspond to the share of the reader's cell in all reads, so that no writer is assigned
// much more than an even share.
func (r *Router) assignColdWriter(p *request, role Role) {
	p.coldWriter = nil
	if role == Writer && p.reader != nil && r.manyRouters() && len(r.index.Cold(int(role), r.now)) > 0 {
		writerCount := len(r.index.Ready(int(role)))
		p.coldWriter = pickAt(r.writersByDistance(p.reader),
			r.cellReadShare(p.reader)*float64(writerCount), fraction(mix(p.coldKey+1)))
	}
}

// manyRouters reports whether there are too many routers to split the budget of a cold server: most of them
// use it less than once per window, and the traffic of one is no measure of that of the others.
func (r *Router) manyRouters() bool { return r.routerWeight() < float64(r.cfg.RouterCount) }

// budgetOffset returns this router's position among all routers, evenly spaced over [0, 1), in an order that
// changes with server and round. If each router adds it to its fractional part of a budget and rounds down,
// the results add up to the whole budget.
func (r *Router) budgetOffset(s *server, round uint64) float64 {
	_, offset := math.Modf(fraction(rendezvousHash(s, round)) +
		float64(r.cfg.RouterIndex)/float64(r.cfg.RouterCount))
	return offset
}

// Started handles the first token of an answer.
func (r *Router) Started(now time.Duration, e Started) {
	r.now = now
	p := r.requests[e.ID]
	if p == nil {
		return
	}
	p.answered = true
	if e.Attempt >= 0 && e.Attempt < len(p.attempts) && !p.attempts[e.Attempt].streaming {
		a := &p.attempts[e.Attempt]
		a.streaming, a.firstTokenAt = true, now
		if p.DurationHint > 0 {
			r.recordAnswerStart(a.server, p.DurationHint)
		}
		a.server.inFlight--
		r.kinds[a.server.Kind].inFlight--
		wait := e.Elapsed.Seconds()
		if p.holder == nil {
			wait -= r.readTime(p.PromptLength - a.match)
		}
		r.recordSuccess(a.server, wait)
		a.server.lastSuccessSentAt = max(a.server.lastSuccessSentAt, a.sentAt)
		r.recordTransfer(p.holder, a.server, e.Elapsed)
		delete(a.server.fullBackoffs, p.classTenant())
	}
	p.holder = nil
}

// recordTransfer records how long a state took from its reader to the first token at a writer.
func (r *Router) recordTransfer(from, to *server, elapsed time.Duration) {
	if from == nil {
		return
	}
	average := &r.farTransfers
	if from.Cell == to.Cell {
		average = &r.nearTransfers
	}
	average.add(elapsed.Seconds(), r.now)
	r.cell(from).transfers.add(elapsed.Seconds(), r.now)
	r.transfers.addWeighted(elapsed.Seconds(), r.now, min(1, 1/r.cellCrowding(from)))
}

// Outcome handles the end of an attempt.
func (r *Router) Outcome(now time.Duration, o Outcome) {
	r.now = now
	p := r.requests[o.ID]
	if p == nil || o.Attempt < 0 || o.Attempt >= len(p.attempts) || !p.attempts[o.Attempt].inFlight {
		return
	}
	a := &p.attempts[o.Attempt]
	reachable := a.reachable()
	r.recordOutcome(p, a, o)
	if o.Final {
		p.answered = true
	}
	if p.answered {
		r.release(p)
		return
	}
	r.updateHeldState(p, a, o, reachable)
	switch o.Status {
	case Read:
		p.failed = nil
		r.reads.add(now, 1)
		r.cell(a.server).reads.add(now, 1)
	default:
		if !o.NoState {
			p.failed = append(p.failed, a.server)
		}
	}
	r.dispatch(p)
}

// recordOutcome updates the statistics at the end of attempt a.
func (r *Router) recordOutcome(p *request, a *attempt, o Outcome) {
	a.inFlight = false
	s := a.server
	if !a.read {
		r.addInFlight(s, -r.expectedTokens(p), -1)
	}
	if !a.streaming {
		s.inFlight--
		r.kinds[s.Kind].inFlight--
	} else if p.DurationHint > 0 {
		r.recordAnswerEnd(s, a.firstTokenAt, p.DurationHint)
	}
	switch o.Status {
	case Read:
		r.updateReadPace(o.Elapsed.Seconds() / float64(max(minReadTokens, p.PromptLength-o.CachedTokens)))
		r.recordSuccess(s, o.Elapsed.Seconds()-r.readTime(p.PromptLength-o.CachedTokens))
		delete(s.fullBackoffs, p.classTenant())
		s.lastSuccessSentAt = max(s.lastSuccessSentAt, a.sentAt)
		s.prefixes.reconcile(a, o.CachedTokens, r.now)
	case Served:
		s.successes.add(r.now, 1)
	case Rejected:
		r.noteAlive(s)
		if !o.NoState {
			r.recordRejection(s, p.classTenant(), o.Elapsed)
		}
	case Errored, Reset:
		r.noteAlive(s)
		r.recordFailure(s, 1)
	case ConnectFailed:
		r.recordFailure(s, minFailures)
		if o.Elapsed >= refusedWithin {
			r.lastSilenceAt = r.now
			r.recordUnreachable(s, a.sentAt, 1)
		} else {
			r.recordUnreachable(s, a.sentAt, partialMiss)
		}
	case TimedOut, Cancelled:
		if a.streaming { // the client left its stream, which is no evidence of a wait
			break
		}
		if !a.read {
			r.recordTransfer(p.holder, s, o.Elapsed)
		}
		s.wait.add(o.Elapsed.Seconds(), r.now)
		r.kinds[s.Kind].wait.add(o.Elapsed.Seconds(), r.now)
		if s.aliveAt < a.sentAt {
			s.waitFromSilence, r.lastSilenceAt = true, r.now
			r.recordFailure(s, minFailures)
			r.recordUnreachable(s, a.sentAt, partialMiss)
		}
	}
	resultKnown := o.Status == Rejected || o.Status == ConnectFailed ||
		o.Status == Unsent || o.Status == Served
	if !a.read && !resultKnown && p.mayHaveRun == nil {
		first := *a
		p.mayHaveRun = &first
	}
}

// ClientLeft handles a client that has disconnected.
func (r *Router) ClientLeft(now time.Duration, id RequestID) {
	r.now = now
	if p := r.requests[id]; p != nil {
		p.answered = true
		r.release(p)
	}
}

// Shutdown gives every unanswered request its final answer, because the router process is ending.
func (r *Router) Shutdown(now time.Duration) {
	r.now = now
	for _, id := range slices.Sorted(maps.Keys(r.requests)) {
		if p := r.requests[id]; !p.answered {
			r.giveUp(p, ShuttingDown)
		}
	}
}

// Timer handles a timer set through Executor.SetTimer.
func (r *Router) Timer(now time.Duration, token uint64) {
	r.now = now
	if token == listTimerToken {
		r.exec.RequestServerList(true)
		return
	}
	p := r.requests[RequestID(token)]
	if p == nil || p.answered {
		return
	}
	r.checkWrite(p)
	r.checkHeldState(p)
	switch {
	case now >= p.deadline-finalAnswerSteps*r.cfg.ClockStep:
		r.giveUp(p, DeadlineNear)
	case p.retryAt > 0 && now >= p.retryAt:
		r.dispatch(p)
	case p.silenceCheckAt > 0 && now >= p.silenceCheckAt:
		r.checkSilence(p)
	}
}
