package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Rule is an invariant that the judge knows.
type Rule string

// The rules.
const (
	Answered Rule = "one final answer, in time"
	Once     Rule = "what must not run twice runs once"
	Pinned   Rule = "what is held is taken or let go in time"
	Drained  Rule = "nothing new to a worker that drains"
	Gone     Rule = "nothing begins for a client that has gone"
	Told     Rule = "the deadline told is what is left"
	Ready    Rule = "a process is ready in time"
	Bounded  Rule = "memory and descriptors are bounded"
	Alive    Rule = "no process ends by itself"
	Guarded  Rule = "no guard finds a violation"
)

// Figures of the rules.
const (
	answerSlack   = 500 * time.Millisecond
	pinLimit      = 300 * time.Millisecond
	pinSlack      = 350 * time.Millisecond // of the terms, 0.3 s, and of the sockets, 0.05 s
	drainGrace    = 550 * time.Millisecond
	goneGrace     = 100 * time.Millisecond
	toldSlack     = 150 * time.Millisecond
	newsDue       = 6 * time.Second // a change counts as told, whatever discovery is like
	endGrace      = 700 * time.Millisecond
	machineSlack  = 100 * time.Millisecond // between two records of one event, on a busy machine
	stoppedFreely = 5 * time.Second        // what a killed router left is freed by the platform
)

// Broken is one breach of a rule.
type Broken struct {
	Rule Rule
	What string
}

// Report is what a run came to.
type Report struct {
	Seed                      uint64
	Requests, Served, Refused int
	Failed, Unanswered        int
	Faults                    int
	Processes                 int
	Broken                    []Broken
}

// String is the report in one line, and a line for each breach.
func (r Report) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d: %d processes, %d faults, %d requests: %d served, %d refused, %d failed, %d without an answer; %d rules broken",
		r.Seed, r.Processes, r.Faults, r.Requests, r.Served, r.Refused, r.Failed, r.Unanswered, len(r.Broken))
	for _, b := range r.Broken {
		fmt.Fprintf(&text, "\n  %s: %s", b.Rule, b.What)
	}
	return text.String()
}

// records are what the judge compares.
type records struct {
	entries  []entry
	requests []*sent
	listings []listing
	silences []silence
	routers  []*router
	byID     map[string][]entry
}

func (d *deployment) judge() Report {
	rec := &records{entries: d.ledger.all(), requests: d.clients.done, listings: d.listings, silences: d.silences, routers: d.routers,
		byID: make(map[string][]entry)}
	for _, e := range rec.entries {
		rec.byID[e.id] = append(rec.byID[e.id], e)
	}
	report := Report{Seed: d.plan.Seed, Requests: len(rec.requests), Faults: len(d.plan.Schedule()), Processes: len(d.workers)}
	for _, r := range d.routers {
		report.Processes += r.lives
	}
	for _, s := range rec.requests {
		switch {
		case s.status == 200 && s.whole:
			report.Served++
		case s.status == 429 || s.status == 503:
			report.Refused++
		case s.status == 0:
			report.Unanswered++
		default:
			report.Failed++
		}
	}
	for _, rule := range []func(*records) []Broken{judgeAnswers, judgeEffects, judgeStates, judgeDrains, judgeGone, judgeDeadlines, judgeRouters} {
		report.Broken = append(report.Broken, rule(rec)...)
	}
	return report
}

// ending is how a router's process ended, if it has.
func (rec *records) ending(router, life int) (ending, bool) {
	for _, e := range rec.routers[router].ends {
		if e.life == life {
			return e, true
		}
	}
	return ending{}, false
}

// judgeAnswers finds requests that were taken and not answered, or too late.
func judgeAnswers(rec *records) (found []Broken) {
	for _, s := range rec.requests {
		if !s.left.IsZero() {
			continue
		}
		if s.status != 0 && s.status != 200 && s.ended.Sub(s.at) > s.wait+answerSlack+machineSlack {
			found = append(found, Broken{Answered, fmt.Sprintf("%s answered with %d after %v of %v", s.id, s.status, s.ended.Sub(s.at), s.wait)})
		}
		if s.status != 0 {
			continue
		}
		if why := rec.excused(s); why == "" {
			found = append(found, Broken{Answered, fmt.Sprintf("%s at n%d has no answer, %v after it was sent, reused %v, seen by workers %v",
				s.id, s.router, s.ended.Sub(s.at), s.reused, len(rec.byID[s.id]) > 0)})
		}
	}
	return found
}

// excused says why a request may be without an answer, "" = it may not.
func (rec *records) excused(s *sent) string {
	seen := len(rec.byID[s.id]) > 0
	if !seen && s.ended.Sub(s.at) < s.wait {
		return "its connection ended before it was read" // the client sends it once more
	}
	e, ended := rec.ending(s.router, s.generations[0])
	if !ended || e.killed.IsZero() || s.ended.Before(e.killed.Add(-machineSlack)) {
		return ""
	}
	if e.termed.IsZero() {
		return "its router was killed"
	}
	if s.at.After(e.termed.Add(endGrace)) && !seen {
		return "it came after the end was told"
	}
	return ""
}

// judgeEffects finds writes of a class that must not run twice that have.
func judgeEffects(rec *records) (found []Broken) {
	effects := make(map[string]int)
	for _, e := range rec.entries {
		if e.kind == effect {
			effects[e.id]++
		}
	}
	unsafe := make(map[string]bool)
	for _, s := range rec.requests {
		unsafe[s.id] = s.unsafe
	}
	for id, n := range effects {
		if unsafe[id] && n > 1 {
			found = append(found, Broken{Once, fmt.Sprintf("%s has run %d times", id, n)})
		}
	}
	return found
}

// judgeStates finds states that were held for too long while none of their request's attempts had arrived and was out.
func judgeStates(rec *records) (found []Broken) {
	for id, entries := range rec.byID {
		if rec.wasKilled(id) {
			continue
		}
		if b := judgeState(id, entries); b != nil {
			found = append(found, *b)
		}
	}
	return found
}

// judgeState follows one request's entries.
func judgeState(id string, entries []entry) *Broken {
	holds := false
	out := make(map[string]int)
	var free time.Time // since then nothing that has arrived is out
	check := func(until time.Time) *Broken {
		idle := 0
		for _, n := range out {
			idle += n
		}
		if span := until.Sub(free); holds && idle == 0 && span > pinLimit+pinSlack {
			return &Broken{Pinned, fmt.Sprintf("%s: its state was held for %v with nothing out", id, span)}
		}
		return nil
	}
	for _, e := range entries {
		if b := check(e.at); b != nil {
			return b
		}
		switch e.kind {
		case held:
			holds, free = true, e.at
		case taken, released, lost:
			holds = false
		case arrived:
			out[e.host]++
		case over:
			out[e.host] = max(0, out[e.host]-1)
			free = e.at
		}
	}
	if holds {
		return check(time.Now())
	}
	return nil
}

// wasKilled says whether the router that a request was at was killed meanwhile: the platform frees what it left.
func (rec *records) wasKilled(id string) bool {
	for _, s := range rec.requests {
		if s.id == id {
			e, ended := rec.ending(s.router, s.generations[0])
			return ended && !e.killed.IsZero() && e.killed.Before(s.ended.Add(stoppedFreely))
		}
	}
	return true // its client had not written it whole
}

// judgeDrains finds attempts at workers whose drain was told.
func judgeDrains(rec *records) (found []Broken) {
	router := make(map[string]int)
	for _, s := range rec.requests {
		router[s.id] = s.router
	}
	for _, e := range rec.entries {
		if e.kind != arrived {
			continue
		}
		number, known := router[e.id]
		if !known {
			continue
		}
		if told, ok := rec.drainTold(e.host, number, e.at); ok && e.at.Sub(told) > drainGrace+machineSlack {
			found = append(found, Broken{Drained, fmt.Sprintf("%s at %s, %v after its drain was told", e.id, e.host, e.at.Sub(told))})
		}
	}
	return found
}

// drainTold is since when a router has known that a worker drains, if it does at a time.
func (rec *records) drainTold(host string, router int, at time.Time) (time.Time, bool) {
	var since time.Time
	for _, l := range rec.listings {
		if l.host == host && l.at.Before(at) {
			if since = (time.Time{}); l.health == "draining" {
				since = l.at
			}
		}
	}
	if since.IsZero() {
		return since, false
	}
	told := since
	for _, s := range rec.silences { // what was told in a silence is told after it, but counts after some seconds
		if s.router == router && since.After(s.from) && since.Before(s.to) {
			told = minTime(since.Add(newsDue), s.to.Add(newsDue))
		}
	}
	for _, e := range rec.routers[router].ends { // a new process starts with the list of then
		if !e.killed.IsZero() && told.Before(e.killed) && e.killed.Before(at) {
			return since, false
		}
	}
	return told, true
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// judgeGone finds attempts that began after their client had closed.
func judgeGone(rec *records) (found []Broken) {
	for _, s := range rec.requests {
		if s.left.IsZero() {
			continue
		}
		for _, e := range rec.byID[s.id] {
			if e.kind == arrived && e.at.Sub(s.left) > goneGrace+machineSlack+rec.network() {
				found = append(found, Broken{Gone, fmt.Sprintf("%s at %s, %v after its client closed", s.id, e.host, e.at.Sub(s.left))})
			}
		}
	}
	return found
}

// network is how long bytes may be on their way: a stopped worker reads what came long before.
func (rec *records) network() time.Duration { return longFault }

// judgeDeadlines finds attempts that were told more time than their client had left.
func judgeDeadlines(rec *records) (found []Broken) {
	for _, s := range rec.requests {
		for _, e := range rec.byID[s.id] {
			if e.kind == arrived && e.left > s.wait+toldSlack-e.at.Sub(s.at)+rec.network() {
				found = append(found, Broken{Told, fmt.Sprintf("%s at %s: told %v, %v of %v had passed", s.id, e.host, e.left, e.at.Sub(s.at), s.wait)})
			}
			if e.kind == arrived && e.left > s.wait+toldSlack {
				found = append(found, Broken{Told, fmt.Sprintf("%s at %s: told %v of %v", s.id, e.host, e.left, s.wait)})
			}
		}
	}
	return found
}

// logRules are texts that no router may log.
var logRules = map[string]Rule{"invariant violated": Guarded, "panicked": Guarded, "msg=overdue": Answered, "floods a request": Guarded,
	"panic:": Alive, "DATA RACE": Alive}

// judgeRouters finds processes that ended, were not ready, or used too much, and what their logs tell.
func judgeRouters(rec *records) (found []Broken) {
	for _, r := range rec.routers {
		for _, end := range r.crashed {
			found = append(found, Broken{Alive, fmt.Sprintf("%s ended by itself: %s", r.name, end)})
		}
		if r.notReady > 0 {
			found = append(found, Broken{Ready, fmt.Sprintf("%s: %d processes not ready in %v", r.name, r.notReady, readyLimit)})
		}
		if r.peak.Resident > routerMemoryMB<<20 || r.peak.Descriptors > routerSockets {
			found = append(found, Broken{Bounded, fmt.Sprintf("%s: %d MB, %d descriptors", r.name, r.peak.Resident>>20, r.peak.Descriptors)})
		}
		for _, text := range slices.Sorted(maps.Keys(logRules)) {
			for _, line := range r.lines(text) {
				found = append(found, Broken{logRules[text], r.name + " logs " + line})
			}
		}
	}
	return found
}
