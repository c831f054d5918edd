package soak

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"rowanyard/internal/scale/faultproxy"
)

// Rule is an invariant that is checked after a run.
type Rule string

// The invariants.
const (
	RuleAnsweredOnce         Rule = "every request is answered once and in time"
	RuleAtMostOnce           Rule = "a request that must not run twice runs at most once"
	RuleStateReleased        Rule = "state held for a request is fetched or released in time"
	RuleDrainRespected       Rule = "a draining worker gets no new attempts"
	RuleDisconnectRespected  Rule = "no attempt starts for a client that has disconnected"
	RuleDeadlinePropagated   Rule = "a worker is sent no more time than the client has left"
	RuleEndHeeded            Rule = "no request reaches a worker whole after its end"
	RuleOwnText              Rule = "a response holds what a worker made for its request"
	RuleStreamEnds           Rule = "no client waits 5 s after the last event"
	RuleWholeOnly            Rule = "a client gets the last chunk only behind its worker's last byte"
	RuleEndPassed            Rule = "the end of a worker's answer is passed on"
	RuleEventsPassed         Rule = "events are passed on as they come"
	RuleNotCutOff            Rule = "a stream whose worker still writes events is not cut off"
	RuleReadyInTime          Rule = "a router process is ready in time"
	RuleResourcesBounded     Rule = "memory and descriptors stay within their limits"
	RuleNoCrash              Rule = "no router process exits by itself"
	RuleNoInvariantViolation Rule = "no internal invariant check fails"
)

// Limits that the checks apply.
const (
	responseSlack       = 500 * time.Millisecond
	idleHoldLimit       = 300 * time.Millisecond
	idleHoldSlack       = 350 * time.Millisecond // 0.3 s for the router's own limits and 0.05 s for sockets
	drainGrace          = 550 * time.Millisecond
	disconnectGrace     = 100 * time.Millisecond
	endGrace            = 100 * time.Millisecond  // for a request that is on its way as it ends
	smallRequestSlack   = time.Second             // for one that fits into the buffers of busy proxies and workers
	clientPatience      = 5 * time.Second         // after the last event
	inTimeSpan          = 1800 * time.Millisecond // in which a request that came in full was no slow one
	deadlineSlack       = 150 * time.Millisecond
	discoveryDelayLimit = 6 * time.Second // a router must have received a change after this, whatever state discovery is in
	moveTime            = 4 * time.Second // after SIGHUP, what the new agent has counts as told
	shutdownGrace       = 700 * time.Millisecond
	clockSlack          = 100 * time.Millisecond // between two records of one event on a busy machine
	killedRouterCleanup = 5 * time.Second        // the platform frees what a killed router left within this time
)

// Violation is one violation of an invariant.
type Violation struct {
	Rule      Rule
	Message   string
	RequestID string   // of the request concerned, if there is one
	Evidence  []string // log lines and events of that request, in order of time
}

// Report is the outcome of a run.
type Report struct {
	Seed                      uint64
	Requests, Served, Refused int
	Failed, Unanswered        int
	Faults                    int
	Processes                 int
	Returned                  int           // requests whose client left and sent them again
	PeakMemory                int64         // bytes, of one router process
	Lateness                  time.Duration // by which the process of the run was woken too late, at most
	Violations                []Violation
}

// String returns a summary line, followed by the violations, each with its evidence.
func (r Report) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d: %d processes, %d faults, %d requests: %d served, %d refused, %d failed, %d without a response, %d came again; peak %d MB, woken %v late; %d violations",
		r.Seed, r.Processes, r.Faults, r.Requests, r.Served, r.Refused, r.Failed, r.Unanswered, r.Returned, r.PeakMemory>>20,
		r.Lateness.Round(time.Millisecond), len(r.Violations))
	for _, b := range r.Violations {
		fmt.Fprintf(&text, "\n  %s: %s", b.Rule, b.Message)
		for _, line := range b.Evidence {
			fmt.Fprintf(&text, "\n    %s", line)
		}
	}
	return text.String()
}

// records holds what the processes and clients of a run recorded. The checks compare these records.
type records struct {
	events           []event
	requests         []*clientRequest
	healthChanges    []healthChange
	discoveryOutages []discoveryOutage
	agentSilences    []agentSilence
	workerPauses     []workerPause
	networkDelays    []workerPause
	standstills      []standstill
	routers          []*router
	eventsByID       map[string][]event
	answers          map[string][]workerAnswer // to writes, by request
	received         map[receiver][]time.Time  // when the workers' proxies had the last bytes of requests
	lateness         time.Duration             // Report.Lateness
}

func (d *deployment) checkInvariants() Report {
	rec := &records{events: d.ledger.snapshot(), requests: d.requestLog.finished, healthChanges: d.healthChanges,
		discoveryOutages: d.discoveryOutages, agentSilences: d.agentSilences, workerPauses: d.workerPauses, networkDelays: d.networkDelays, standstills: d.standstills, routers: d.routers,
		eventsByID: make(map[string][]event), received: make(map[receiver][]time.Time), lateness: d.lateness}
	var answers []faultproxy.Answer
	for _, w := range d.workers {
		answers = append(answers, w.proxy.Answers()...)
	}
	rec.answers = parseAnswers(answers)
	for _, w := range d.workers {
		for _, r := range w.proxy.Requests() {
			key := receiver{w.host, r.ID}
			rec.received[key] = append(rec.received[key], r.LastByteAt)
		}
	}
	for _, e := range rec.events {
		rec.eventsByID[e.id] = append(rec.eventsByID[e.id], e)
	}
	report := Report{Seed: d.plan.Seed, Lateness: d.lateness, Requests: len(rec.requests), Faults: len(d.plan.Schedule()), Processes: len(d.workers)}
	for _, r := range d.routers {
		report.Processes += r.processes
		report.PeakMemory = max(report.PeakMemory, r.peak.Resident)
	}
	for _, s := range rec.requests {
		if !s.returnedAt.IsZero() {
			report.Returned++
		}
		switch {
		case s.status == 200 && s.complete:
			report.Served++
		case s.status == 429 || s.status == 503:
			report.Refused++
		case s.status == 0:
			report.Unanswered++
		default:
			report.Failed++
		}
	}
	for _, rule := range []func(*records) []Violation{checkAnswers, checkEffects, checkStates, checkDrains, checkDisconnects,
		checkDeadlines, checkEnds, checkTexts, checkStreams, checkRouters} {
		report.Violations = append(report.Violations, rule(rec)...)
	}
	for i := range report.Violations {
		v := &report.Violations[i]
		v.Evidence = rec.evidence(v.RequestID)
		if v.Rule == RuleDrainRespected {
			v.Evidence = append(v.Evidence, rec.discoveryLog(v.RequestID)...)
		}
	}
	return report
}

// discoveryLogSpan is how long before a request the log of its router's discovery is shown.
const discoveryLogSpan = 8 * time.Second

// discoveryLog returns what a request's router logged of discovery before and during the request.
func (rec *records) discoveryLog(id string) (lines []string) {
	for _, s := range rec.requests {
		if s.id != id {
			continue
		}
		for _, text := range []string{"discovery call", "watch ended", "worker list", "new configuration"} {
			for _, line := range rec.routers[s.router].lines(`msg="` + text) {
				if line.at.After(s.at.Add(-discoveryLogSpan)) && line.at.Before(s.ended) {
					lines = append(lines, fmt.Sprintf("%s logged: %s", line.at.UTC().Format(time.RFC3339Nano), line.text))
				}
			}
		}
		for _, silence := range rec.agentSilences {
			if silence.router == s.router {
				lines = append(lines, fmt.Sprintf("%s to %s silent, SIGHUP at %s, then answers %v late", silence.from.UTC().Format(time.RFC3339Nano),
					silence.to.UTC().Format(time.RFC3339Nano), silence.movedAt.UTC().Format(time.RFC3339Nano), silence.delay))
			}
		}
	}
	slices.Sort(lines)
	return lines
}

// evidence returns what workers, the client and the routers' logs recorded about a request, in order of time.
func (rec *records) evidence(id string) (lines []string) {
	if id == "" {
		return nil
	}
	for _, e := range rec.eventsByID[id] {
		lines = append(lines, fmt.Sprintf("%s %s at %s", e.at.UTC().Format(time.RFC3339Nano), e.kind, e.host))
	}
	for _, s := range rec.requests {
		if s.id == id {
			lines = append(lines, fmt.Sprintf("%s sent by its client, ended %v later, status %d, disconnected %v",
				s.at.UTC().Format(time.RFC3339Nano),
				s.ended.Sub(s.at), s.status, !s.disconnectedAt.IsZero()))
		}
	}
	for _, r := range rec.routers {
		for _, line := range r.lines("txn=" + id + " ") {
			lines = append(lines, fmt.Sprintf("%s logged by %s: %s", line.at.UTC().Format(time.RFC3339Nano), r.name, line.text))
		}
	}
	slices.Sort(lines)
	return lines
}

// processExit returns how a router's process was ended; ok is false if it was not.
func (rec *records) processExit(router, incarnation int) (processExit, bool) {
	for _, e := range rec.routers[router].exits {
		if e.incarnation == incarnation {
			return e, true
		}
	}
	return processExit{}, false
}

// checkAnswers finds requests that got no response, or got it too late.
func checkAnswers(rec *records) (found []Violation) {
	for _, s := range rec.requests {
		if !s.disconnectedAt.IsZero() {
			continue
		}
		if s.status != 0 && s.status != 200 && s.ended.Sub(s.at) > s.firstTokenTimeout+responseSlack+clockSlack {
			found = append(found, Violation{Rule: RuleAnsweredOnce,
				Message: fmt.Sprintf("%s answered with status %d after %v, allowed were %v", s.id, s.status, s.ended.Sub(s.at),
					s.firstTokenTimeout), RequestID: s.id})
		}
		if s.status/100 == 4 && s.status != http.StatusTooManyRequests && s.at.Sub(s.firstByteAt) < inTimeSpan {
			found = append(found, Violation{Rule: RuleAnsweredOnce,
				Message: fmt.Sprintf("%s (%s) answered with status %d although nothing is wrong with it", s.id, s.form.Name, s.status), RequestID: s.id})
		}
		if s.lostFurther && rec.exitExcuse(s, true) == "" {
			found = append(found, Violation{Rule: RuleAnsweredOnce,
				Message: fmt.Sprintf("the request behind %s at n%d has no response", s.id, s.router), RequestID: s.id})
		}
		if s.status != 0 {
			continue
		}
		if reason := rec.excuse(s); reason == "" {
			found = append(found, Violation{Rule: RuleAnsweredOnce,
				Message: fmt.Sprintf("%s at n%d has no response %v after it was sent, reused connection %v, seen by workers %v",
					s.id, s.router, s.ended.Sub(s.at), s.reusedConn, len(rec.eventsByID[s.id]) > 0), RequestID: s.id})
		}
	}
	return found
}

// excuse returns why a request may have no response, or "" if it must have one.
func (rec *records) excuse(s *clientRequest) string {
	seen := len(rec.eventsByID[s.id]) > 0 || len(rec.routers[s.router].lines("txn="+s.id+" ")) > 0
	// A close over bytes that were not read resets the connection.
	wasRead := s.endedCleanly && s.ended.Sub(s.firstByteAt) > clockSlack
	if !seen && !wasRead && s.ended.Sub(s.at) < s.firstTokenTimeout {
		return "its connection ended before it was read" // a real client would retry it
	}
	return rec.exitExcuse(s, seen)
}

// exitExcuse returns why the end of its router's process excuses that a request has no response, or "" if it does not.
func (rec *records) exitExcuse(s *clientRequest, seen bool) string {
	e, ended := rec.processExit(s.router, s.incarnations[0])
	if !ended || e.killedAt.IsZero() || s.ended.Before(e.killedAt.Add(-clockSlack)) {
		return ""
	}
	if e.terminatedAt.IsZero() {
		return "its router was killed"
	}
	if s.at.After(e.terminatedAt.Add(shutdownGrace)) && !seen {
		return "it arrived after its router had announced its shutdown"
	}
	return ""
}

// checkEffects finds non-idempotent requests whose write ran more than once.
func checkEffects(rec *records) (found []Violation) {
	effects := make(map[string]int)
	for _, e := range rec.events {
		if e.kind == effectRan {
			effects[e.id]++
		}
	}
	nonIdempotent := make(map[string]bool)
	for _, s := range rec.requests {
		nonIdempotent[s.id] = s.nonIdempotent
	}
	for id, n := range effects {
		if nonIdempotent[id] && n > 1 {
			found = append(found, Violation{Rule: RuleAtMostOnce, Message: fmt.Sprintf("%s ran %d times", id, n), RequestID: id})
		}
	}
	return found
}

// checkStates finds state that a reader held for too long while its request had no attempt running at any worker.
func checkStates(rec *records) (found []Violation) {
	for id, events := range rec.eventsByID {
		if rec.routerWasKilled(id) {
			continue
		}
		if b := checkState(id, rec.withAbandonedReads(id, events), rec.standstills); b != nil {
			found = append(found, *b)
		}
	}
	return found
}

// withAbandonedReads returns the events with the end of each read moved to the time at which, by its log, the router gave the
// read up, if that is later. The response to such a read was lost: to the router the read was still running, and
// only after it gave up could it release the state.
func (rec *records) withAbandonedReads(id string, events []event) []event {
	all := slices.Clone(events)
	for _, r := range rec.routers {
		for _, line := range r.lines("txn=" + id + " ") {
			if !strings.Contains(line.text, "msg=attempt") || !strings.Contains(line.text, "read=true") {
				continue
			}
			for i, e := range all {
				if e.kind == attemptEnded && strings.Contains(line.text, "worker="+e.host+" ") && line.at.After(e.at) {
					all[i].at = line.at
				}
			}
		}
	}
	slices.SortStableFunc(all, func(a, b event) int { return a.at.Compare(b.at) })
	return all
}

// checkState goes through the events of one request. A state that is held as no worker runs counts from when they run again: "a
// call counts once its last byte has reached a running worker".
func checkState(id string, events []event, standstills []standstill) *Violation {
	isHeld := false
	active := make(map[string]int)
	var idleSince time.Time // since when no attempt of the request has been running
	check := func(until time.Time) *Violation {
		activeCount := 0
		for _, n := range active {
			activeCount += n
		}
		since := idleSince
		for _, s := range standstills {
			if s.from.Before(since.Add(idleHoldLimit+idleHoldSlack)) && s.to.After(since) {
				since = s.to
			}
		}
		if idleFor := until.Sub(since); isHeld && activeCount == 0 && idleFor > idleHoldLimit+idleHoldSlack {
			return &Violation{Rule: RuleStateReleased, Message: fmt.Sprintf("%s: its state was held for %v with no attempt running", id, idleFor), RequestID: id}
		}
		return nil
	}
	for _, e := range events {
		if b := check(e.at); b != nil {
			return b
		}
		switch e.kind {
		case stateHeld:
			isHeld, idleSince = true, e.at
		case stateFetched, stateReleased, stateLost:
			isHeld = false
		case attemptArrived:
			active[e.host]++
		case attemptEnded:
			active[e.host] = max(0, active[e.host]-1)
			idleSince = e.at
		}
	}
	if isHeld {
		return check(time.Now())
	}
	return nil
}

// routerWasKilled reports whether the router that served a request was killed during or shortly before it. The platform then
// frees the state that the router left.
func (rec *records) routerWasKilled(id string) bool {
	for _, s := range rec.requests {
		if s.id == id {
			e, ended := rec.processExit(s.router, s.incarnations[0])
			return ended && !e.killedAt.IsZero() && e.killedAt.Before(s.ended.Add(killedRouterCleanup))
		}
	}
	return true // its client never finished writing it
}

// checkDrains finds attempts at workers that were draining according to the list that the router had received.
func checkDrains(rec *records) (found []Violation) {
	requests := make(map[string]*clientRequest)
	for _, s := range rec.requests {
		requests[s.id] = s
	}
	for _, e := range rec.events {
		s := requests[e.id]
		if e.kind != attemptArrived || s == nil {
			continue
		}
		at := rec.sentBeforePause(s, e)
		if knownSince, ok := rec.drainKnownSince(e.host, s.router, at); ok && at.Sub(knownSince) > drainGrace+clockSlack {
			found = append(found, Violation{Rule: RuleDrainRespected,
				Message: fmt.Sprintf("%s at %s, %v after the router learned that it drains", e.id, e.host, at.Sub(knownSince)), RequestID: e.id})
		}
	}
	return found
}

// sentBeforePause returns when an attempt arrived at its worker's machine: when the worker took it or, if the worker paused
// or stalled in between, when its router sent it. For drains, a send counts from its first byte.
func (rec *records) sentBeforePause(s *clientRequest, arrived event) time.Time {
	var sent time.Time
	for _, at := range rec.sendTimes(s, arrived.host) {
		if at.Before(arrived.at) {
			sent = later(sent, at)
		}
	}
	pauses := slices.Clone(rec.workerPauses)
	for _, p := range rec.networkDelays {
		if p.stalled {
			pauses = append(pauses, p)
		}
	}
	for _, p := range pauses {
		paused := p.host == arrived.host && p.from.Before(arrived.at) && p.to.After(sent)
		if paused && !sent.IsZero() {
			return sent
		}
	}
	return arrived.at
}

// drainKnownSince returns since when a router has known that a worker drains. It reports false if the worker was not draining
// at the given time, or if the router's process may not have known.
func (rec *records) drainKnownSince(host string, router int, at time.Time) (time.Time, bool) {
	var drainingSince time.Time
	for _, l := range rec.healthChanges {
		if l.host == host && l.at.Before(at) {
			if drainingSince = (time.Time{}); l.health == "draining" {
				drainingSince = l.at
			}
		}
	}
	if drainingSince.IsZero() {
		return drainingSince, false
	}
	knownSince := drainingSince
	for _, s := range rec.discoveryOutages { // a change made in an outage arrives after it, at most discoveryDelayLimit late
		if s.router == router && drainingSince.After(s.from) && drainingSince.Before(s.to) {
			knownSince = earlier(drainingSince.Add(discoveryDelayLimit), s.to.Add(discoveryDelayLimit))
		}
	}
	for _, s := range rec.agentSilences {
		if s.router == router {
			knownSince = later(knownSince, s.toldAfter(drainingSince))
		}
	}
	for _, e := range rec.routers[router].exits { // a new process starts with the list current at its start
		if !e.killedAt.IsZero() && knownSince.Before(e.killedAt) && e.killedAt.Before(at) {
			return drainingSince, false
		}
	}
	return knownSince, true
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// checkDisconnects finds attempts that began after their client had closed its connection.
func checkDisconnects(rec *records) (found []Violation) {
	for _, s := range rec.requests {
		if s.disconnectedAt.IsZero() {
			continue
		}
		for _, line := range rec.sendLines(s, "") {
			sentAt := line.logged
			if s.hasReturnedBy(sentAt) {
				continue
			}
			if late := sentAt.Sub(s.disconnectedAt); late > disconnectGrace+clockSlack {
				found = append(found, Violation{Rule: RuleDisconnectRespected, Message: fmt.Sprintf("%s sent %v after its client disconnected", s.id, late), RequestID: s.id})
			}
		}
	}
	return found
}

// sendTimes returns when the attempts of a request at a worker, or at any worker if host is "", began according to its
// router's log.
func (rec *records) sendTimes(s *clientRequest, host string) (all []time.Time) {
	for _, line := range rec.sendLines(s, host) {
		all = append(all, line.at)
	}
	return all
}

// sendLines returns the lines that a request's router logged of its attempts at a worker, or at any worker if host is "".
func (rec *records) sendLines(s *clientRequest, host string) (all []logLine) {
	for _, line := range rec.routers[s.router].lines("txn=" + s.id + " ") {
		if strings.Contains(line.text, "msg=send ") && (host == "" || strings.Contains(line.text, "worker="+host+" ")) {
			all = append(all, line)
		}
	}
	return all
}

// checkDeadlines finds attempts whose X-Remaining-Ms gave the worker more time than the client had left.
func checkDeadlines(rec *records) (found []Violation) {
	for _, s := range rec.requests {
		for _, e := range rec.eventsByID[s.id] {
			if e.kind != attemptArrived || s.hasReturnedBy(e.at) {
				continue
			}
			elapsed := time.Duration(0) // until the attempt was sent, a lower bound
			for _, at := range rec.sendTimes(s, e.host) {
				if at.Before(e.at) {
					elapsed = at.Sub(s.at)
				}
				if rec.wasKept(s, e) { // it may be the first one sent
					break
				}
			}
			if e.deadline > s.firstTokenTimeout-elapsed+deadlineSlack+clockSlack {
				found = append(found, Violation{Rule: RuleDeadlinePropagated, RequestID: s.id,
					Message: fmt.Sprintf("%s at %s: was given %v when %v of %v had passed", s.id, e.host, e.deadline, elapsed, s.firstTokenTimeout)})
			}
		}
	}
	return found
}

// checkEnds finds requests that reached a worker whole after their client had left or had its final answer.
func checkEnds(rec *records) (found []Violation) {
	for _, s := range rec.requests {
		end := s.end()
		for _, e := range rec.eventsByID[s.id] {
			late := rec.receivedAt(e).Sub(end)
			if e.kind != attemptArrived || s.hasReturnedBy(e.at) || late <= endGrace+clockSlack || rec.mayHaveArrivedBefore(s, e) {
				continue
			}
			found = append(found, Violation{Rule: RuleEndHeeded, RequestID: s.id,
				Message: fmt.Sprintf("%s (%d bytes) reached %s %v after its end", s.id, s.promptBytes, e.host, late)})
		}
	}
	return found
}

// receiver is a worker whose proxy has received a request.
type receiver struct{ host, id string }

// receivedAt returns when an attempt's last byte had left its router's machine: when the worker's proxy had it, where that is known. The
// proxy takes few bytes at a time, and what it has taken its worker may take later.
func (rec *records) receivedAt(arrived event) time.Time {
	latest := arrived.at
	for _, at := range rec.received[receiver{arrived.host, arrived.id}] {
		if !at.After(arrived.at) {
			latest = at
		}
	}
	return latest
}

// end returns when nothing more was to be sent for a request: its client had left, or had its answer or the beginning of it.
func (s *clientRequest) end() time.Time {
	switch {
	case !s.answeredAt.IsZero():
		return s.answeredAt
	case !s.disconnectedAt.IsZero():
		return s.disconnectedAt
	}
	return s.ended
}

// mayHaveArrivedBefore reports whether a request may have reached its worker's machine before the worker took it: as the worker
// paused or, where the machine's buffers hold all of it, as the network kept it or its processes were busy.
func (rec *records) mayHaveArrivedBefore(s *clientRequest, arrived event) bool {
	if rec.wasKept(s, arrived) {
		return true
	}
	sends := rec.sendLines(s, arrived.host)
	sentBefore := len(sends) > 0 && sends[0].logged.Before(s.end())
	return s.promptBytes == 0 && sentBefore && arrived.at.Sub(s.end()) <= smallRequestSlack
}

// wasKept reports whether an attempt may have waited at its worker's machine: the worker paused or, where the machine's buffers hold
// all of the request, its network kept it.
func (rec *records) wasKept(s *clientRequest, arrived event) bool {
	delays := rec.workerPauses
	if s.promptBytes == 0 {
		delays = slices.Concat(delays, rec.networkDelays)
	}
	return slices.ContainsFunc(delays, func(p workerPause) bool {
		return p.host == arrived.host && p.from.Before(arrived.at) && p.to.After(s.at)
	})
}

// checkTexts finds responses with another request's text, and such whose client waited too long behind the last event.
func checkTexts(rec *records) (found []Violation) {
	for _, s := range rec.requests {
		if s.foreignEvents > 0 {
			found = append(found, Violation{Rule: RuleOwnText, RequestID: s.id, Message: fmt.Sprintf("%s: %d events of another request", s.id, s.foreignEvents)})
		}
		if s.lastEventAt.IsZero() || s.readSlowly || !s.disconnectedAt.IsZero() {
			continue
		}
		if waited := s.ended.Sub(s.lastEventAt); waited > clientPatience {
			found = append(found, Violation{Rule: RuleStreamEnds, RequestID: s.id, Message: fmt.Sprintf("%s: waited %v behind its last event", s.id, waited)})
		}
	}
	return found
}

// forbiddenLogTexts maps texts that no router may log to the invariant that each of them shows to be violated.
var forbiddenLogTexts = map[string]Rule{
	"invariant violated": RuleNoInvariantViolation, "panicked": RuleNoInvariantViolation, "msg=overdue": RuleAnsweredOnce,
	"floods a request": RuleNoInvariantViolation, "panic:": RuleNoCrash, "DATA RACE": RuleNoCrash}

// checkRouters finds router processes that exited by themselves, were not ready in time, used too many resources, or logged a
// forbidden text.
func checkRouters(rec *records) (found []Violation) {
	for _, r := range rec.routers {
		for _, exit := range r.crashed {
			found = append(found, Violation{Rule: RuleNoCrash, Message: fmt.Sprintf("%s exited by itself: %s", r.name, exit)})
		}
		if r.notReady > 0 {
			found = append(found, Violation{Rule: RuleReadyInTime, Message: fmt.Sprintf("%s: %d processes not ready within %v", r.name, r.notReady, readyTimeout)})
		}
		if r.peak.Resident > routerPeakMB<<20 || r.peak.Descriptors > routerMaxDescriptors {
			found = append(found, Violation{Rule: RuleResourcesBounded, Message: fmt.Sprintf("%s: %d MB, %d descriptors", r.name,
				r.peak.Resident>>20, r.peak.Descriptors)})
		}
		for _, text := range slices.Sorted(maps.Keys(forbiddenLogTexts)) {
			for _, line := range r.lines(text) {
				found = append(found, Violation{Rule: forbiddenLogTexts[text], Message: r.name + " logged " + line.text})
			}
		}
	}
	return found
}
