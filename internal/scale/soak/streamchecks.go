package soak

// Checks of streams: what their clients got, against what the workers' proxies have passed on to the routers.

import (
	"fmt"
	"regexp"
	"strings"
	"time"

	"rowanyard/internal/scale/faultproxy"
)

// Limits that the checks of streams apply.
const (
	eventDelayLimit = 300 * time.Millisecond // until an event is passed on
	endDelayLimit   = time.Second            // until the end of an answer is passed on
	// workerPatience is how long after a worker's last event its stream must not be cut off: as long as its client may wait, less the 0.15 s for
	// which a router may be held up and the way to the client.
	workerPatience = clientPatience - 200*time.Millisecond
)

// workerAnswer is an answer to a write as its worker's proxy has passed it on.
type workerAnswer struct {
	events  []time.Time // when each event with data was complete
	wholeAt time.Time   // when its last byte passed; zero: it did not
	endedAt time.Time   // when its connection ended or it was broken off; zero: not yet
	// cutByRouter is whether the router ended that connection, and neither the worker nor its network had done so before.
	cutByRouter bool
}

var (
	answerID  = regexp.MustCompile(`"content":"([^".]+)\.`)
	answerEnd = regexp.MustCompile(`\r\n0\r\n(?:[^\r\n]+\r\n)*\r\n`)
)

const eventEnd = "\n\n"

// parseAnswer returns the recorded answer and the id of its request. ok is false for an answer that holds no text for a request.
func parseAnswer(recorded faultproxy.Answer) (id string, parsed workerAnswer, ok bool) {
	var all strings.Builder
	for _, piece := range recorded.Pieces {
		all.WriteString(piece.Text)
	}
	text := all.String()
	match := answerID.FindStringSubmatch(text)
	if match == nil {
		return "", parsed, false
	}
	passedAt := func(end int) (at time.Time) { // when the text's byte before end passed
		for _, piece := range recorded.Pieces {
			at = piece.At
			if end -= len(piece.Text); end <= 0 {
				return at
			}
		}
		return at
	}
	parsed.endedAt, parsed.cutByRouter = recorded.EndedAt, recorded.ClientEnded
	if end := answerEnd.FindStringIndex(text); end != nil {
		parsed.wholeAt = passedAt(end[1])
		text = text[:end[1]] // a second answer may follow
	}
	for from := 0; ; {
		length := strings.Index(text[from:], eventEnd)
		if length < 0 {
			return match[1], parsed, true
		}
		next := from + length + len(eventEnd)
		if strings.Contains(text[from:next], "data:") {
			parsed.events = append(parsed.events, passedAt(next))
		}
		from = next
	}
}

// parseAnswers returns the recorded answers by the ids of their requests.
func parseAnswers(recorded []faultproxy.Answer) map[string][]workerAnswer {
	byID := make(map[string][]workerAnswer)
	for _, r := range recorded {
		if id, parsed, ok := parseAnswer(r); ok {
			byID[id] = append(byID[id], parsed)
		}
	}
	return byID
}

// checkStreams finds streams that were ended before their workers ended them, or cut off, held back or ended late.
func checkStreams(rec *records) (found []Violation) {
	for _, s := range rec.requests {
		if s.status != 200 || !s.returnedAt.IsZero() {
			continue
		}
		report := func(rule Rule, format string, values ...any) {
			found = append(found, Violation{Rule: rule, RequestID: s.id, Message: s.id + ": " + fmt.Sprintf(format, values...)})
		}
		answers := rec.answers[s.id]
		if s.complete && !wholeBefore(answers, s.ended) {
			report(RuleWholeOnly, "got the last chunk, and none of its %d answers was whole", len(answers))
		}
		if len(answers) == 1 && !s.readSlowly && s.disconnectedAt.IsZero() && !rec.mayBeCutOff(s) {
			rec.checkStream(s, answers[0], report)
		}
	}
	return found
}

// wholeBefore reports whether the last byte of an answer had passed by a time.
func wholeBefore(answers []workerAnswer, at time.Time) bool {
	for _, a := range answers {
		if !a.wholeAt.IsZero() && !a.wholeAt.After(at) {
			return true
		}
	}
	return false
}

// mayBeCutOff reports whether a request's router was killed before the request ended.
func (rec *records) mayBeCutOff(s *clientRequest) bool {
	e, ended := rec.processExit(s.router, s.incarnations[0])
	return ended && !e.killedAt.IsZero() && e.killedAt.Before(s.ended.Add(clockSlack))
}

// checkStream compares one stream, as its client that stayed got it, with its worker's only answer.
func (rec *records) checkStream(s *clientRequest, a workerAnswer, report func(rule Rule, format string, values ...any)) {
	slack := clockSlack + rec.lateness
	if !a.wholeAt.IsZero() && a.wholeAt.Before(s.ended) {
		if late := s.ended.Sub(a.wholeAt); !s.complete || late > endDelayLimit+slack {
			report(RuleEndPassed, "its worker's answer was whole, and the client's ended %v later, complete %v", late, s.complete)
		}
	}
	var lastEvent time.Time
	for i, at := range a.events {
		got := s.ended
		if i < len(s.eventsAt) {
			got = s.eventsAt[i]
		}
		if late := got.Sub(at); late > eventDelayLimit+slack {
			report(RuleEventsPassed, "event %d of %d came %v late", i, len(a.events), late)
			break
		}
		if at.Before(s.ended) {
			lastEvent = at
		}
	}
	brokenOff := !a.endedAt.IsZero() && !a.cutByRouter && a.endedAt.Before(s.ended.Add(slack))
	if waited := s.ended.Sub(lastEvent); !s.complete && !brokenOff && waited < workerPatience {
		report(RuleNotCutOff, "was cut off %v after its worker's last event", waited)
	}
}
