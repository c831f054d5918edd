package decide

// All decisions of the router. The types of its interface are in api.go, its records in state.go.

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

// Tuned values. Each is a share, a count or a time; times and sizes that depend on a deployment are
// derived from its settings or learned, see docs/design.md for neighbouring values.
const (
	// The design's own.
	readersCap  = 8                // reads in flight at a reader over all fronts, past it is spilled
	prefixTTL   = 60 * time.Second // a prefix not sent for so long is taken for forgotten
	prefixTable = 4096             // prefixes remembered per reader
	keptShare   = 0.9              // a record is wrong where less than this share of it was kept
	lostAge     = 15 * time.Second // a lost prefix tells nothing of those sent more recently
	writerFill  = 0.5              // own part of a writer's memory at which it is passed over
	peersWeight = 4.0              // what all of a kind show counts as so many own requests at one server
	farSlow     = 2.0              // links are slow where far moves take so many times the near ones
	valveAim    = 0.1              // or more where waits are less than this share of the aim
	popular     = 1.25             // a reader takes so many times the mean of its peers
	fillLeast   = 0.02             // emptier pools count as this full in that
	alikeMost   = 4                // own counts stand for so many fronts at most, see alike
	mixedLean   = 2.0              // the mixed servers' share may grow or shrink by this factor

	// Attempts and final answers.
	tryShare    = 0.9                    // an attempt may take this share of the time that is left
	farAim      = 0.5                    // a state may be on its way out of its cell for this part of the aim
	backLeast   = 50 * time.Millisecond  // a refused client comes back when the wait is gone, or after this
	answerTicks = 2                      // final answers are given so many ticks before the deadline
	probeWait   = 10 * time.Millisecond  // a probe's answer is waited for this long ...
	probeFresh  = 500 * time.Millisecond // ... and taken for true this long
	probeOld    = time.Second            // a writer's load is, so long
	probeMute   = 30 * time.Millisecond  // a writer that has not answered by then has no room
	scoutNear   = 3                      // writers are probed for a request, ...
	scoutFar    = 1                      // ... so many of them outside the reader's cell
	writerJam   = 0.9                    // a writer with so much of its memory held has no room
	pinShare    = 0.7                    // share of the pin limit for which a state may wait for a writer
	confirmWait = 120 * time.Millisecond // a server without a sign so long after a write is probed ...
	confirmMute = 60 * time.Millisecond  // ... and silent if it has not answered after this
	heardFresh  = 500 * time.Millisecond // one that has answered within this is not probed before a write
	troubleSpan = 10 * time.Second       // so long after one was found silent others may be, too
	freshNear   = 2                      // writers probed during a read, by a handful of fronts
	holdStep    = 50 * time.Millisecond  // a request that no server may take is looked at again
	askAgain    = time.Second            // a failed call for the server list is made again after this
	askToken    = 1 << 62                // the timer token for that; others are request ids

	// Health.
	silenceAim  = 0.35                   // a server is silent after this share of the aim and ...
	silenceWait = 5.0                    // ... this many usual waits of its kind without any sign
	silenceRead = 2.0                    // ... and this many times what the prompt's new tokens take to read
	tokenLeast  = 1000                   // reads of fewer new tokens count as such of these many
	slowSpan    = 10 * time.Second       // how fast the length of answers is forgotten
	slowTimes   = 2.5                    // a server is slow where they take so many times the mean, ...
	slowDoubt   = 2.0                    // ... after so many answers at the mean
	badShare    = 0.3                    // share of failed attempts at which a server is suspect ...
	badLeast    = 1.5                    // ... once so many failed lately, ...
	badSeldom   = 0.5                    // ... or this and as many as are usually sent there in a while
	waitWeight  = 0.25                   // weight of the latest wait in a running mean
	slowWeight  = 0.02                   // weight of a read slower than the unhindered pace in that
	restMin     = time.Second            // a suspect server rests so long before its first trial
	restMax     = 8 * time.Second        // doubled after each failed one up to this
	restSeldom  = 16 * time.Second       // or the usual time between sends to it, up to this
	missRefused = 0.5                    // a refused connection or a silence tells so much of the whole zone
	missQuick   = 50 * time.Millisecond  // a connection that failed sooner was refused
	missSpan    = 4 * time.Second        // a zone is left alone for up to this, see miss
	fullRestMin = 100 * time.Millisecond // a full server is passed over for so long
	fullTimes   = 50                     // or so many times as long as the refusal took
	fullRestMax = 30 * time.Second       // doubled each time it is full again, up to this

	// Cold servers.
	rateSpan  = 4 * time.Second  // send rates are means over about this time
	shareSpan = 8 * time.Second  // tenants' shares are counted over about this time
	forgotten = 0.01             // a cell whose reads have faded to this is dropped
	usualSpan = 30 * time.Second // how fast what warm servers took is forgotten
	coldEach  = 0.65             // used share of a cold server's budget where fronts have equal parts of it,
	coldIdle  = 0.7              // ... of which those that use their turns seldom get up to 1/0.7
	coldShare = 0.9              // used share where its sessions do, that follow the traffic
	coldAgain = 0.1              // of that for clients that come again
	coldWide  = 1.5              // a beginning spreads over so many times its part of the servers
	kinPart   = 0.7              // a kind without a warm server takes this part of what others take
	ableDoubt = 4.0              // what was taken of those that came tells little until so many have
	ableLeast = 0.25             // a flood of more than so many times all capacity is no calm reckoning

	// Overload.
	shedAim   = 0.5 // refused where the reader's waits need more than this share of the aim
	shedBase  = 0.4 // of that for the least worth, with nothing kept,
	shedWorth = 0.3 // more by its worth against the highest
	shedKept  = 0.3 // and by how much of its prompt is kept: that costs little
	shedFill  = 2.0 // or where own tokens are this many times the own part of the writers' memory
	overQuota = 1.3 // a tenant is over its share at this multiple of the own part of its quota
)

// New returns a Router that acts through out. Equal seeds and events give equal actions.
func New(set Settings, seed uint64, out Front) (*Router, error) {
	if out == nil {
		return nil, errors.New("decide: no front")
	}
	if err := check(set); err != nil {
		return nil, fmt.Errorf("decide: %w", err)
	}
	r := newRouter(set, seed, out)
	if set.MustAsk {
		out.AskServers(true)
	}
	return r, nil
}

// Servers takes a change to the server list.
func (r *Router) Servers(now time.Duration, l ServerList) {
	r.now = now
	if l.Failed {
		r.out.SetTimer(askToken, now+askAgain)
		return
	}
	if len(r.servers) == 0 {
		r.began = now
	}
	if l.Whole {
		for _, s := range r.listed {
			s.State = Gone
		}
	}
	for _, e := range l.Servers {
		r.list(e)
	}
	r.listed = r.listed[:0]
	for id, s := range r.servers {
		switch {
		case s.State != Gone:
			r.listed = append(r.listed, s)
		case s.out == 0 && s.tokens == 0:
			s.prefixes.forget()
			delete(r.servers, id)
		}
	}
	slices.SortFunc(r.listed, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	r.count()
}

// Request takes a client's request.
func (r *Router) Request(now time.Duration, q Request) {
	r.now = now
	if r.open[q.ID] != nil {
		return
	}
	if q.Class < 0 || q.Class >= len(r.set.Classes) {
		r.out.Fail(q.ID)
		return
	}
	p := &request{Request: q, class: &r.set.Classes[q.Class], arrived: now, deadline: now + q.TimeLeft}
	r.open[q.ID] = p
	r.out.SetTimer(uint64(q.ID), max(now, p.deadline-answerTicks*r.set.Tick))
	r.tokens += r.size(p)
	if p.PrefixLen == 0 || 2*p.PrefixLen >= p.Prompt {
		p.home = p.Prefix
	}
	p.popular = r.begun.part(p.home, float64(r.size(p)), r.now)
	p.value = r.value(p)
	r.next(p)
}

// overloaded says that p, read at s, would only be late or make others late; the sooner the less
// it is worth for the work that it makes. Guards against collapse under bursts, floods and lost
// capacity, whatever the cause: readers that are behind lose their kept prefixes to the states
// that wait and then read everything anew. It could hurt for a moment after a short stall.
func (r *Router) overloaded(p *request, s *server) bool {
	fill := float64(r.tokens) * r.alike() / (r.room[Writer] + r.room[Mixed])
	if len(p.sent) == 0 && fill > shedFill*r.eager(p, s) {
		return true
	}
	return r.behind(p, s)
}

// behind says that the waits to be expected at s are too long for p. A server with nothing of ours
// in hand is taken to be idle, so that the measure stays fresh, but only by chance where so few of
// our requests are out that none could be there anyway.
func (r *Router) behind(p *request, s *server) bool {
	aim := r.aim(p)
	left := min(aim-(r.now-p.arrived), p.deadline-r.now)
	match, _ := s.prefixes.match(&p.Request, r.now)
	most := min(shedAim*aim.Seconds()*r.eager(p, s), left.Seconds())
	wait := r.wait(s) + r.reading(p.Prompt-match)
	p.back = seconds(max(backLeast.Seconds(), wait-most))
	if s.out > 0 || wait <= most {
		return wait > most
	}
	mean := float64(r.kinds[s.Kind].out) / float64(max(1, r.kinds[s.Kind].ready))
	return r.rng.Float64() < math.Exp(-peersWeight*mean)*(1-most/wait)
}

// wait is the wait to be expected at s: what was seen there, the less of it and the longer ago the
// more it leans on what was lately seen at all of its kind.
func (r *Router) wait(s *server) float64 {
	peers := r.kinds[s.Kind].wait
	if s.toldAt > 0 && r.now-s.toldAt < probeFresh {
		peers.value = s.told
	}
	return s.wait.among(peers, r.now, rateSpan)
}

// alike is how many fronts this front's own counts stand for. Guards against a busy front among many that
// takes its few requests for a full fleet: with a handful of fronts each has its part, among hundreds some
// see many times the mean, and what they have under way tells little of the others. What the servers show
// (waits, probes, refusals) tells it all the same.
func (r *Router) alike() float64 { return float64(min(r.set.Fronts, alikeMost)) }

// eager is how much p is worth at s: dear classes first, and what is kept there costs little.
func (r *Router) eager(p *request, s *server) float64 {
	match, _ := s.prefixes.match(&p.Request, r.now)
	return shedBase + shedWorth*p.value + shedKept*float64(match)/float64(max(1, p.Prompt))
}

// value is p's worth against the highest there is. Where this front's part of a tenant's share is
// less than a few requests, it takes more than a few to be over it.
func (r *Router) value(p *request) float64 {
	v := p.class.Worth / max(r.worth, 1e-9)
	if p.Tenant < 0 || p.Tenant >= len(r.asked) {
		return v
	}
	asked := &r.asked[p.Tenant]
	part := r.set.Tenants[p.Tenant].Quota / float64(r.set.Fronts) * asked.span.Seconds()
	asked.add(r.now, 1)
	if part > 0 && shrunk(asked.value(r.now), part) > overQuota*part {
		v *= r.set.OverShareWorth
	}
	return v
}

// next sends p where its state says, or ends it.
func (r *Router) next(p *request) {
	if why := r.spent(p); why != "" || p.answered {
		r.giveUp(p, why)
		return
	}
	if p.holder != nil {
		if w := r.pickWriter(p); w != nil {
			r.send(p, w, false)
			return
		}
		r.hold(p, p.heldAt+time.Duration(pinShare*float64(cmp.Or(r.set.PinLimit, p.TimeLeft))))
		return
	}
	if s := r.pickReader(p); s != nil {
		if s.role == Reader && !r.attemptsLeft(p, 2) { // a read that no write could follow
			r.giveUp(p, AttemptsSpent)
			return
		}
		if r.look(p, s) {
			return
		}
		if r.overloaded(p, s) {
			r.giveUp(p, TooMuchLoad)
			return
		}
		r.send(p, s, s.role == Reader)
		return
	}
	r.hold(p, p.arrived+r.aim(p))
}

// spent says why nothing more may be tried for p, "" = something may.
func (r *Router) spent(p *request) Reason {
	switch {
	case !r.attemptsLeft(p, 1):
		return AttemptsSpent
	case p.holder != nil && r.set.PinLimit > 0 && r.now >= p.heldAt+r.set.PinLimit:
		return StateExpired
	case p.ran != nil && p.class.Effect == Unsafe:
		return MayHaveRun
	}
	return ""
}

// explain tells a front that wants to know why the choice that follows is made.
func (r *Router) explain(p *request, why Reason) {
	if e, ok := r.out.(Explainer); ok {
		e.Explain(p.ID, why)
	}
}

// sendReason is why p is sent now.
func (p *request) sendReason() Reason {
	last := len(p.sent) - 1
	switch {
	case last < 0:
		return FirstAttempt
	case p.holder == nil:
		return StateGone
	case p.sent[last].read:
		return NextStage
	}
	return AfterFailure
}

// attemptsLeft says whether p may be sent so many times more.
func (r *Router) attemptsLeft(p *request, attempts int) bool {
	return r.set.MaxAttempts == 0 || len(p.sent)+attempts <= r.set.MaxAttempts
}

// hold looks at p again a little later, if that is before the limit.
func (r *Router) hold(p *request, limit time.Duration) {
	if r.now+holdStep >= min(limit, p.deadline-answerTicks*r.set.Tick) {
		r.giveUp(p, NoServer)
		return
	}
	p.failed, p.retryAt = nil, r.now+holdStep
	r.out.SetTimer(uint64(p.ID), p.retryAt)
}

func (r *Router) send(p *request, s *server, read bool) {
	p.retryAt = 0
	r.explain(p, p.sendReason())
	r.goes(s.role)
	if !r.warm(s) {
		s.lately(r.now, r.set.ColdWindow)
		s.sends = append(s.sends, r.now)
	}
	s.out++
	r.kinds[s.Kind].out++
	p.checkAt = r.now + r.silence(p, s)
	r.out.SetTimer(uint64(p.ID), p.checkAt)
	match, since := s.prefixes.match(&p.Request, r.now)
	p.sent = append(p.sent, attempt{server: s, at: r.now, read: read, out: true, match: match, since: since})
	if read || p.holder == nil {
		s.prefixes.sent(&p.Request, r.now)
	}
	if read {
		p.reader = s
		r.scout(p, s)
	}
	if !read {
		r.book(s, r.size(p), 1)
	}
	r.watchSign(p, read)
	patience := seconds(tryShare * (p.deadline - r.now).Seconds())
	if p.class.Effect != Unsafe && p.holder != nil && p.holder.Cell != s.Cell { // stuck in a jammed link?
		patience = min(patience, seconds(farAim*r.aim(p).Seconds()))
	}
	r.out.Send(p.ID, s.ID, max(r.set.Tick, patience))
}

// size is the tokens that p holds at a writer: prompt and expected answer.
func (r *Router) size(p *request) int {
	if p.Hint > 0 && p.class.TokenAim > 0 {
		return p.Prompt + int(p.Hint/p.class.TokenAim)
	}
	return p.Prompt + p.MaxOutput/2
}

// giveUp answers p if that is still owed, and lets go of its state.
func (r *Router) giveUp(p *request, why Reason) {
	if !p.answered {
		p.answered = true
		r.explain(p, why)
		if r.mayRefuse(p) {
			most := r.set.MaxRetryAfter / 2 // the aim runs on: longer stays cost more than they gain
			r.out.Refuse(p.ID, min(cmp.Or(p.back, most), most))
		} else {
			r.out.Fail(p.ID)
		}
	}
	r.letGo(p)
}

// mayRefuse says whether a client may be told that trying again is harmless. Where repeats are dropped for a
// while that has to last for as long as a client may come again: the class's whole time, and the way there.
func (r *Router) mayRefuse(p *request) bool {
	if p.class.Effect == Safe || p.ran == nil && !p.waits() {
		return true
	}
	first := p.arrived // of what may have run, at the earliest
	if p.ran != nil {
		first = p.ran.at
	}
	last := p.arrived + max(p.class.Deadline, p.TimeLeft) + r.set.ConnectTimeout
	return p.class.Effect == Keyed && p.class.Scope == ScopeAll && last < first+p.class.RepeatWindow
}

// mayRepeat says whether p may go to s as far as its earlier attempts have had an effect. Its window must
// still be open when the repeat arrives, not only when it is chosen.
func (r *Router) mayRepeat(p *request, s *server) bool {
	switch {
	case p.ran == nil || p.class.Effect == Safe:
		return true
	case p.class.Effect == Unsafe || r.now+r.set.ConnectTimeout >= p.ran.at+p.class.RepeatWindow:
		return false
	}
	in := p.ran.server
	return p.class.Scope == ScopeAll || p.class.Scope == ScopeZone && s.Zone == in.Zone ||
		p.class.Scope == ScopeCell && s.Cell == in.Cell
}

// letGo releases what an answered request holds and forgets it after its last outcome.
func (r *Router) letGo(p *request) {
	r.out.Release(p.ID)
	p.holder = nil
	if !p.waits() {
		r.tokens -= r.size(p)
		delete(r.open, p.ID)
	}
}

// pickReader ranks the readers, or the mixed servers for their share of the requests. Where no
// reader can be trusted but servers that read for themselves can, those take all, so that a pool
// of dead readers does not end the service; it costs their answers some speed.
func (r *Router) pickReader(p *request) *server {
	readers, whole := r.ready(p, Reader), r.ready(p, Mixed)
	share := r.mixedShare()
	if len(whole) == 0 && r.set.WritersRead {
		whole, share = r.ready(p, Writer), 0
	}
	lost := !slices.ContainsFunc(readers, r.trusted) && slices.ContainsFunc(whole, r.trusted)
	draw := part(mix(cmp.Or(p.Session, r.rng.Uint64()))) // the same for all requests of a session
	if lost || len(whole) > 0 && draw < share {
		if s := r.rank(p, whole); lost || !r.behind(p, s) {
			return s
		}
	}
	return r.rank(p, readers)
}

// mixedShare is the share of requests that mixed servers take whole: their part of the memory for
// answers, more while the writers are the fuller and less while they are. Guards against one of the
// two pools drowning while the other has room.
func (r *Router) mixedShare() float64 {
	writers, mixed := float64(r.held[Writer])/r.room[Writer], float64(r.held[Mixed])/r.room[Mixed]
	least := fillLeast / float64(r.set.Fronts)
	lean := max(writers, least) / max(mixed, least)
	return r.room[Mixed] / (r.room[Mixed] + r.room[Writer]) * min(max(lean, 1/mixedLean), mixedLean)
}

// rank applies the design: longest known match, then fewest own in flight, equals in the order
// hashed from the shared beginning, or else the session, as where the beginning is the smaller part of
// the prompt: its home would read the rest of them all. In that order all fronts agree, so where
// it leads a shared beginning is taken for known: the others send it there too. Servers that the
// valve or slowness closes are passed over while others are not.
func (r *Router) rank(p *request, of []*server) *server {
	if len(of) == 0 {
		return nil
	}
	key := mix(cmp.Or(p.home, p.Session, r.rng.Uint64()))
	for _, s := range of {
		s.match, s.order = 0, mix(s.hash^key) // homeRank
	}
	r.matches(p)
	home := lazysort.New(of, func(a, b *server) bool { return a.order > b.order })
	s, more := home.Next()
	asked := &r.kinds[s.Kind].asked
	once := 1.0
	if p.looked { // counted when it came
		once = 0
	}
	asked.add(r.now, once)
	mean := asked.value(r.now) / float64(len(of))
	for ; more; s, more = home.Next() {
		s.asked.add(r.now, once)
		if r.admits(p, s, mean) {
			s.match = max(s.match, p.beginning(s))
			break
		}
	}
	best := lazysort.New(of, better)
	first, _ := best.Next()
	for s, more = first, true; more; s, more = best.Next() {
		if r.admits(p, s, mean) {
			p.second = first
			if next, ok := best.Next(); ok {
				p.second = next
			}
			return s
		}
	}
	return slices.MinFunc(of, func(a, b *server) int {
		return cmp.Or(cmp.Compare(a.out, b.out), cmp.Compare(b.match, a.match), cmp.Compare(b.order, a.order))
	})
}

// better orders servers by the design's path: longest match, fewest in flight, hashed order.
func better(a, b *server) bool {
	if a.match != b.match {
		return a.match > b.match
	}
	return a.out < b.out || a.out == b.out && a.order > b.order
}

// admits is the valve. A server that is asked far more often than its peers takes only so many
// times their mean, more while it is quick and less while it is slower than they. Which sessions it
// takes is hashed, so that all fronts spill the same ones, to the same next server in their order.
// Guards against a popular beginning whose home drowns though no front has two requests there, and
// against slow readers that keep their sessions, whatever slows them; the way on to the writers
// counts too, for cells with few of them. It could hurt where a few requests look like popularity.
func (r *Router) admits(p *request, s *server, mean float64) bool {
	mute := s.probedAt > s.toldAt && r.now-s.probedAt < probeFresh && r.toldAt[s.role] >= s.probedAt
	if mute || float64(s.out)*r.alike() >= readersCap {
		return false
	}
	n := s.asked.value(r.now)
	asked := mean * (1 + n) / (1 + mean)
	here := r.wait(s) + r.cell(s).moves.among(r.moves, r.now, usualSpan)
	calm := max(valveAim*r.aim(p).Seconds(), r.kinds[s.Kind].wait.value+r.moves.value) / max(here, 1e-3)
	return part(homeRank(s, mix(cmp.Or(p.Session, uint64(p.ID)))))*asked < popular*mean*calm
}

// shrunk is what a count is likely to stand for where peers have the given mean: a count of few
// leans on the mean, a count of many speaks for itself.
func shrunk(n, mean float64) float64 { return mean * (peersWeight + n) / (peersWeight + mean) }

// pickWriter draws two writers near the reader and takes the one with fewer own tokens under way.
// Exception: writers that hold this front's part of their memory, or less while states wait longer
// for near writers than for far ones, are passed over while any other is not. Guards against one
// cell's writers drowning, for popular homes or lost capacity; it could hurt on a jammed link.
func (r *Router) pickWriter(p *request) *server {
	all := r.ready(p, Writer)
	if len(all) == 0 {
		all = r.ready(p, Mixed)
	}
	anyFree := slices.ContainsFunc(all, func(s *server) bool { return !r.jammed(s) })
	free := func(s *server) bool { return !anyFree || !r.jammed(s) }
	if p.named != nil && !r.warm(p.named) && slices.Contains(all, p.named) && free(p.named) {
		return p.named
	}
	draw, quick := r.rng.Float64(), valveAim*r.aim(p).Seconds()
	limit := writerFill * min(1, (r.far.value+quick)/(r.near.value+quick))
	open := func(s *server) bool {
		var own float64
		s.fill, own = r.fill(s)
		return math.Pow(draw, 1-own)*s.fill < limit ||
			s.Cell == p.holder.Cell && s.fill < 1 && r.linksSlow()
	}
	for far := range distances {
		near := func(s *server) bool { return distance(s, p.holder) <= far && free(s) && open(s) }
		if near := r.nearby.filter(all, near); len(near) > 0 {
			return r.lighter(near)
		}
	}
	if all = r.nearby.filter(all, free); len(all) == 0 {
		return nil
	}
	r.shuffle(all)
	return slices.MinFunc(all, func(a, b *server) int { return cmp.Compare(a.fill, b.fill) })
}

// linksSlow says that states lately took far longer on their way out of their cell than inside.
// Guards against slow or jammed links: the cell's writers are then filled further before states
// leave it. A far send now and then, when they are full, tells when the links have healed.
func (r *Router) linksSlow() bool {
	return r.now-r.far.at < restMax && r.far.n > 2 && r.far.value > farSlow*r.near.value
}

// fill is own tokens under way against this front's equal part of the writer's memory, and how far
// it rests on what is under way there. The fewer requests that part holds, the more it leans on
// what all that this front has under way lets expect: one request among many fronts says little.
func (r *Router) fill(s *server) (fill, own float64) {
	part := r.memory(s) / r.alike()
	lean := peersWeight * float64(r.held[s.role]) / float64(max(1, r.streams[s.role]))
	fleet := float64(r.held[s.role]) * r.alike() / r.room[s.role]
	return (float64(s.tokens) + lean*fleet*r.crowd(s)) / (part + lean), part / (part + lean)
}

// lighter draws two of the servers and returns the one with fewer own tokens under way.
func (r *Router) lighter(of []*server) *server {
	if len(of) == 0 {
		return nil
	}
	i := r.rng.IntN(len(of))
	if len(of) == 1 {
		return of[i]
	}
	a, b := of[i], of[(i+1+r.rng.IntN(len(of)-1))%len(of)]
	if r.told(a) && r.told(b) && b.load < a.load || !(r.told(a) && r.told(b)) && b.tokens < a.tokens {
		return b
	}
	return a
}

// ready lists the servers of a role that p may be sent to.
func (r *Router) ready(p *request, role Role) []*server {
	p.coldKey = mix(^cmp.Or(p.Session, uint64(p.ID)))
	p.coldPart = part(mix(p.coldKey)) * r.begun.weight(float64(r.size(p)))
	r.name(p, role)
	fit := append(r.eligible[role][:0], r.index.Warm(int(role), r.now)...)
	for _, s := range r.coldCandidates(p, role) {
		if r.mayWarm(p, s) {
			fit.add(s)
		}
	}
	who, each, ill := p.party(), r.hints(role), false
	for _, s := range r.special(role) {
		if s.isFull(who, r.now) {
			fit.remove(s)
		}
		ill = ill || !r.trusted(s) || r.slow(s, each)
	}
	if len(p.failed) > 0 || p.ran != nil {
		fit.keep(func(s *server) bool { return !slices.Contains(p.failed, s) && r.mayRepeat(p, s) })
	}
	if r.anyZoneRests() {
		if near := filter(fit, r.reached); len(near) > 0 {
			fit = near
		}
	}
	r.eligible[role] = fit
	if !ill {
		return fit
	}
	well := r.healthy[role].filter(fit, func(s *server) bool { return r.trusted(s) && !r.slow(s, each) })
	if 2*len(well) < len(fit) {
		return fit
	}
	return well
}

// trusted says whether s may be sent to as far as its health goes. A suspect server gets one
// attempt at a time after its rest. The caller ignores all suspicion where it meets over half of
// the servers at hand: then the load or the network is ill, not they.
func (r *Router) trusted(s *server) bool {
	return !s.suspect || r.now >= s.rest.till && s.out == 0
}

// slow says that answers at s take far longer against their hints than the mean of its role. Guards against
// servers that begin in time but then stream slowly: they are left to what they have, then get one answer at
// a time. It could hurt where a few answers are longer than hinted, until they are forgotten.
func (r *Router) slow(s *server, mean float64) bool {
	if mean <= 0 || s.tokens <= 0 {
		return false
	}
	spent, done := s.streams.sum(r.now)
	return (spent+slowDoubt*mean)/(done+slowDoubt) > slowTimes*mean
}

// well books an attempt that s took after a wait of so many seconds.
func (r *Router) well(s *server, wait float64) {
	r.signs(s)
	if r.warm(s) {
		r.booked++
		r.kinds[s.Kind].took.add(r.now, 1/float64(max(1, r.warmOnes(s.Kind))))
	}
	s.good.add(r.now, 1)
	s.wait.add(max(0, wait), r.now)
	r.kinds[s.Kind].wait.add(max(0, wait), r.now)
	if s.suspect && r.now >= s.rest.till && r.failShare(s) < badShare {
		s.suspect, s.rest = false, rest{}
	}
}

// ill books a failed attempt. Guards against servers that answer with errors, refuse
// connections, break streams or keep silent, whatever the cause; it could hurt where a few
// unlucky failures meet a server that gets little traffic, for one rest.
func (r *Router) ill(s *server, weight float64) {
	s.bad.add(r.now, weight)
	usual := r.took(s.Kind) / max(r.seen(), 0.1) / usualSpan.Seconds()
	least := min(badLeast, badSeldom+usual*rateSpan.Seconds())
	if s.bad.value(r.now) < least || r.failShare(s) < badShare || r.now < s.rest.till {
		return
	}
	s.suspect = true
	r.mark(s)
	seldom := seconds(min(1/max(usual, 1e-3), restSeldom.Seconds()))
	s.rest.extend(r.now, max(restMin, seldom), max(restMax, seldom))
}

// miss books an attempt that met no sign of life, at a server of whose zone nothing has been heard since it
// was sent: once that says so the zone is left alone for a while, if there are others. Guards against
// learning worker by worker, a connect timeout each, that a zone is cut off or lost. It could hurt where
// one dead server is all that a front sees of a zone, for a second.
func (r *Router) miss(s *server, sent time.Duration, weight float64) {
	z := r.zone(s.Zone)
	if z.sign >= sent {
		return
	}
	if r.now-z.missedAt > missSpan {
		z.missed = 0
	}
	z.missed, z.missedAt = z.missed+weight, r.now
	if z.missed >= 1 && r.now >= z.rest.till {
		z.rest.extend(r.now, restMin, missSpan)
	}
}

func (r *Router) failShare(s *server) float64 {
	bad := s.bad.value(r.now)
	return bad / max(1, bad+s.good.value(r.now))
}

// turnedAway rests a server that said full: for the class and tenant that it refused, and for all
// once it refuses two of them in a row. The rest is the longer the more time the refusal took, so
// that refusals cost a small part of the time however slowly they come. Guards against full queues
// and against servers that refuse one tenant or class though they have room; it could hurt where a
// server has room again soon after a slow refusal.
func (r *Router) turnedAway(s *server, who party, took time.Duration) {
	if s.full == nil {
		s.full = make(map[party]*rest)
	}
	if s.full[who] == nil {
		s.full[who] = &rest{}
	}
	r.mark(s)
	s.full[who].extend(r.now, max(fullRestMin, fullTimes*took), fullRestMax)
}

// isFull says that s rests for having said full to who.
func (s *server) isFull(who party, now time.Duration) bool {
	f := s.full[who]
	return f != nil && now < f.till
}

// silence is how long p's attempt at s may go without any sign from s. It grows with what the
// kind usually needs, so that load alone does not look like silence.
func (r *Router) silence(p *request, s *server) time.Duration {
	reading := 0.0
	if p.holder == nil {
		match, _ := s.prefixes.match(&p.Request, r.now)
		reading = r.reading(p.Prompt - match)
	}
	usual := r.kinds[s.Kind].wait.value
	return seconds(silenceAim*r.aim(p).Seconds() + silenceWait*usual + silenceRead*reading)
}

// reading is the time that an unhindered read of so many new tokens takes.
func (r *Router) reading(tokens int) float64 { return r.perToken * float64(max(0, tokens)) }

// aim is the time within which p's first token is wanted.
func (r *Router) aim(p *request) time.Duration {
	return p.class.Aim + time.Duration(float64(p.class.AimPer1000)*float64(p.Prompt)/1000)
}

// checkSilence calls off p's attempt where its server gave no sign since; a server that gave one is only
// busy, unless what was sent there long after it has been answered. Guards against connections that fall
// silent to a server that is well; it could hurt where servers answer in another order.
func (r *Router) checkSilence(p *request) {
	n := len(p.sent) - 1
	a := &p.sent[n]
	if !a.out || a.begun {
		return
	}
	mustWait := !r.set.CanCancel || !a.read && p.class.Effect == Unsafe
	overtaken := a.server.passed > a.at+r.silence(p, a.server)/2
	if a.server.sign >= a.at && !overtaken || mustWait {
		p.checkAt = r.now + r.silence(p, a.server)
		r.out.SetTimer(uint64(p.ID), p.checkAt)
		return
	}
	p.checkAt = 0
	r.explain(p, SilentServer)
	r.out.Cancel(p.ID, n)
}

// mayWarm paces the sends to a cold server. Guards against pushing over a server that has just started: the
// rule's budget is for what all fronts send it in any window, and they share nothing. What it can do before
// the ramp's end is not told beyond what it starts with, so the budget rests on that. A handful of fronts
// have an equal part each of what warm servers of the kind take, and turns for the rest of a request. Of many
// none sends it more than its own part of that in a window, or one, and all of them only what is open. Where
// many fronts die their clients come again all at once: few of those go to a cold server.
func (r *Router) mayWarm(p *request, s *server) bool {
	if r.warm(s) || r.set.ColdWindow <= 0 {
		return true
	}
	if r.many() {
		most := r.set.ColdMultiple * r.set.ColdFrom * coldShare
		if p.Repeat {
			most *= coldAgain
		}
		if !r.opens(p, s, most) || r.jammed(s) || p.tried(s) {
			return false
		}
		return float64(s.lately(r.now, r.set.ColdWindow)+1) <= max(1, most*r.usual(s.Kind))
	}
	usual := r.usual(s.Kind)
	room := max(1, r.set.ColdMultiple*coldEach) * r.set.ColdFrom * usual / min(1, max(coldIdle, usual))
	round := 1 + uint64((r.now-s.Since)/r.set.ColdWindow) // the same at all fronts, whatever their clocks
	return float64(s.lately(r.now, r.set.ColdWindow)+1) <= room+r.turn(s, round)
}

// opens says that p's session is one of the part that may go to cold servers at all, and that s is open to
// it, alike at all fronts: any is to what is seldom, but to so few sessions of a popular beginning that they
// make no more than about an even share of all requests; of the writers the one that p names. So the sum
// over all fronts follows from that of all requests, however many they are, how uneven, new or not. Guards
// against cold homes of popular beginnings: many times an even share, and no front can know.
func (r *Router) opens(p *request, s *server, most float64) bool {
	switch {
	case p.coldPart >= r.able(s)*most:
		return false
	case s.role == Writer && p.reader != nil:
		return s == p.named
	}
	return part(homeRank(s, p.coldKey))*coldWide*p.popular*float64(r.kinds[s.Kind].peers) < 1
}

// name draws the writer that p's state may go to though it is cold: one of the nearest to its reader, of as
// many as the reader's cell has of all reads, so that none is named by more than about an even share.
func (r *Router) name(p *request, role Role) {
	p.named = nil
	if role == Writer && p.reader != nil && r.many() && len(r.index.Cold(int(role), r.now)) > 0 {
		all := len(r.index.Ready(int(role)))
		p.named = pick(r.nearest(p.reader), r.cellPart(p.reader)*float64(all), part(mix(p.coldKey+1)))
	}
}

// many says that fronts are too many for each to have its part of a cold server: most see it more seldom than
// once in a window, and what one of them has seen tells nothing of the others.
func (r *Router) many() bool { return r.alike() < float64(r.set.Fronts) }

// turn is this front's place among the fronts, evenly spread over 0 to 1, in an order that changes
// with the server and the round: where each front adds it to a part below one request and rounds
// down, the whole requests of all come to the sum of the parts.
func (r *Router) turn(s *server, round uint64) float64 {
	_, place := math.Modf(part(homeRank(s, round)) + float64(r.set.Front)/float64(r.set.Fronts))
	return place
}

// Started takes the beginning of an answer.
func (r *Router) Started(now time.Duration, e Started) {
	r.now = now
	p := r.open[e.ID]
	if p == nil {
		return
	}
	p.answered = true
	if e.Attempt >= 0 && e.Attempt < len(p.sent) && !p.sent[e.Attempt].begun {
		a := &p.sent[e.Attempt]
		a.begun, a.first = true, now
		if p.Hint > 0 {
			r.answerBegins(a.server, p.Hint)
		}
		a.server.out--
		r.kinds[a.server.Kind].out--
		wait := e.Took.Seconds()
		if p.holder == nil {
			wait -= r.reading(p.Prompt - a.match)
		}
		r.well(a.server, wait)
		a.server.passed = max(a.server.passed, a.at)
		r.moved(p.holder, a.server, e.Took)
		delete(a.server.full, p.party())
	}
	p.holder = nil
}

// moved books how long a state's way to its writer took, for all cells alike.
func (r *Router) moved(from, to *server, took time.Duration) {
	if from == nil {
		return
	}
	way := &r.far
	if from.Cell == to.Cell {
		way = &r.near
	}
	way.add(took.Seconds(), r.now)
	r.cell(from).moves.add(took.Seconds(), r.now)
	r.moves.weigh(took.Seconds(), r.now, min(1, 1/r.crowd(from)))
}

// Outcome takes the end of an attempt.
func (r *Router) Outcome(now time.Duration, o Outcome) {
	r.now = now
	p := r.open[o.ID]
	if p == nil || o.Attempt < 0 || o.Attempt >= len(p.sent) || !p.sent[o.Attempt].out {
		return
	}
	a := &p.sent[o.Attempt]
	inReach := a.inReach()
	r.account(p, a, o)
	if o.Final {
		p.answered = true
	}
	if p.answered {
		r.letGo(p)
		return
	}
	r.settleState(p, a, o, inReach)
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
	r.next(p)
}

// account books the end of attempt a.
func (r *Router) account(p *request, a *attempt, o Outcome) {
	a.out = false
	s := a.server
	if !a.read {
		r.book(s, -r.size(p), -1)
	}
	if !a.begun {
		s.out--
		r.kinds[s.Kind].out--
	} else if p.Hint > 0 {
		r.answerEnds(s, a.first, p.Hint)
	}
	switch o.Status {
	case Read:
		r.learnPace(o.Took.Seconds() / float64(max(tokenLeast, p.Prompt-o.Kept)))
		r.well(s, o.Took.Seconds()-r.reading(p.Prompt-o.Kept))
		delete(s.full, p.party())
		s.passed = max(s.passed, a.at)
		s.prefixes.correct(a, o.Kept, r.now)
	case Served:
		s.good.add(r.now, 1)
	case Full:
		r.signs(s)
		if !o.NoState {
			r.turnedAway(s, p.party(), o.Took)
		}
	case Errored, Reset:
		r.signs(s)
		r.ill(s, 1)
	case ConnectFailed:
		r.ill(s, badLeast)
		if o.Took >= missQuick {
			r.silentAt = r.now
			r.miss(s, a.at, 1)
		} else {
			r.miss(s, a.at, missRefused)
		}
	case TimedOut, Cancelled:
		if a.begun { // a client that left its stream tells nothing of waits
			break
		}
		if !a.read {
			r.moved(p.holder, s, o.Took)
		}
		s.wait.add(o.Took.Seconds(), r.now)
		r.kinds[s.Kind].wait.add(o.Took.Seconds(), r.now)
		if s.sign < a.at {
			s.silent, r.silentAt = true, r.now
			r.ill(s, badLeast)
			r.miss(s, a.at, missRefused)
		}
	}
	never := o.Status == Full || o.Status == ConnectFailed || o.Status == Moot || o.Status == Served
	if !a.read && !never && p.ran == nil {
		first := *a
		p.ran = &first
	}
}

// Left takes the news that a client is gone.
func (r *Router) Left(now time.Duration, id RequestID) {
	r.now = now
	if p := r.open[id]; p != nil {
		p.answered = true
		r.letGo(p)
	}
}

// End takes the news that this front ends: what has no answer yet gets its final one now.
func (r *Router) End(now time.Duration) {
	r.now = now
	for _, id := range slices.Sorted(maps.Keys(r.open)) {
		if p := r.open[id]; !p.answered {
			r.giveUp(p, Ending)
		}
	}
}

// Timer takes a timer come due: a request's time is up.
func (r *Router) Timer(now time.Duration, token uint64) {
	r.now = now
	if token == askToken {
		r.out.AskServers(true)
		return
	}
	p := r.open[RequestID(token)]
	if p == nil || p.answered {
		return
	}
	r.checkSign(p)
	r.checkHeld(p)
	switch {
	case now >= p.deadline-answerTicks*r.set.Tick:
		r.giveUp(p, DeadlineNear)
	case p.retryAt > 0 && now >= p.retryAt:
		r.next(p)
	case p.checkAt > 0 && now >= p.checkAt:
		r.checkSilence(p)
	}
}
