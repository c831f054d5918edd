package faultproxy

// Faults of the server's answers: second answers, answers without an end, and answers whose end or events come in unusual ways.

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"
)

// AnswerFault is what is wrong with one answer of the server to an attempt.
type AnswerFault int

// The faults of answers. Those without an end go on, a few bytes at a time, until the client closes its connection.
const (
	// AnswerWhole passes the answer unchanged.
	AnswerWhole AnswerFault = iota
	// AnswerTwice sends the answer once more, after a delay.
	AnswerTwice
	// AnswerThenRefusal sends a refusal of the same request behind the answer, after a delay.
	AnswerThenRefusal
	// EndlessHead sends a head without an end in place of the answer.
	EndlessHead
	// EndlessInterim sends 1xx heads without an end in place of the answer.
	EndlessInterim
	// EndlessComments sends comments without an end behind a stream's first event.
	EndlessComments
	// EndlessLine sends a line without an end behind a stream's first event.
	EndlessLine
	// CommentsBehindEvents sends comments without an end behind all of a stream's events.
	CommentsBehindEvents
	// TrailerBehindEvents sends a trailer without an end behind all of a stream's events.
	TrailerBehindEvents
	// EndCutOff breaks a stream off within its last chunk and trailer.
	EndCutOff
	// EndSlow sends a stream's last chunk and trailer byte by byte. The answer is whole.
	EndSlow
	// EventsInOneChunk sends all of a stream's events in one chunk, each of them later by the delay. The answer is whole.
	EventsInOneChunk
	// EventLate holds a stream back behind its first event, for the delay. The answer is whole.
	EventLate
	// StartLate holds the answer back from its first byte on, for the delay. The answer is whole.
	StartLate
)

// Break is how an answer is broken off.
type Break int

// The breaks.
const (
	BreakClose Break = iota
	BreakReset
	BreakSilence
	breakCount
)

// The kinds of faults.
var (
	SecondAnswers  = []AnswerFault{AnswerTwice, AnswerThenRefusal}
	EndlessAnswers = []AnswerFault{EndlessHead, EndlessInterim, EndlessComments, EndlessLine, CommentsBehindEvents, TrailerBehindEvents}
	UnusualEnds    = []AnswerFault{EndCutOff, EndCutOff, EndSlow, EventsInOneChunk, EventLate}
)

// SpoiltAnswer is the fault of one answer.
type SpoiltAnswer struct {
	Fault AnswerFault
	Delay time.Duration // of a second answer, between the bytes of a slow end or the events of one chunk, or behind the first event
	// Choice chooses where and how EndCutOff breaks off, and whether the end has a trailer.
	Choice uint
}

const (
	endlessPace     = 20 * time.Millisecond
	refusalText     = "HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"
	chunkedEnd      = "0\r\n\r\n"
	headStart       = "HTTP/1.1 200 OK\r\nX-Filler: "
	interimHead     = "HTTP/1.1 103 Early Hints\r\n\r\n"
	commentChunk    = "8\r\n: ping\n\n\r\n"
	lineStartChunk  = "7\r\ndata: x\r\n"
	lineChunk       = "1\r\ny\r\n"
	trailerStart    = "0\r\nX-Trailer: "
	filler          = "x"
	streamType      = "text/event-stream"
	answerStart     = "HTTP/1.1 "
	readAnswerStart = "HTTP/1.1 202"
)

// SetAnswers has draw called for each answer to an attempt that begins from now on, with nil for none.
func (p *Proxy) SetAnswers(draw func() SpoiltAnswer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drawAnswer = draw
}

// MuteCalls sets whether answers to anything but attempts, such as probes, are held back for good while the server's answer to an
// attempt starts late. Their connections stay open.
func (p *Proxy) MuteCalls(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mutesCalls = on
}

func (p *Proxy) countLateStart(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lateStarts += n
}

// answerSpoiler passes the server's answers on one connection to the client, and spoils some of them.
type answerSpoiler struct {
	proxy   *Proxy
	session *session
	client  *net.TCPConn
	ended   <-chan struct{} // closed as the session is reset

	spoilt    SpoiltAnswer
	text      []byte  // of the answer so far, if it is a spoilt one
	answer    *Answer // the record of the answer, nil without one
	muted     bool    // nothing more passes on this connection
	held      bool    // the stream was held back behind its first event
	chunkLeft int     // bytes that are left of the one chunk that a stream's events are sent in, 0: there is none

	mu sync.Mutex // held while writing to the client
}

// begin draws the fault of an answer that begins with b.
func (a *answerSpoiler) begin(b []byte) {
	a.proxy.mu.Lock()
	draw, mute := a.proxy.drawAnswer, a.proxy.mutesCalls && a.proxy.lateStarts > 0
	a.proxy.mu.Unlock()
	a.spoilt, a.text, a.held, a.answer = SpoiltAnswer{}, nil, false, a.session.beginAnswer()
	isAttempt := bytes.Contains(b, []byte(streamType)) || bytes.HasPrefix(b, []byte(readAnswerStart))
	switch {
	case isAttempt && draw != nil:
		a.spoilt = draw()
	case !isAttempt && mute:
		a.muted = true
	}
}

// Write implements io.Writer for what the server sends.
func (a *answerSpoiler) Write(b []byte) (int, error) {
	if a.muted {
		return len(b), nil
	}
	if a.chunkLeft > 0 {
		return len(b), a.continueOneChunk(string(b))
	}
	if bytes.HasPrefix(b, []byte(answerStart)) {
		if a.begin(b); a.muted {
			return len(b), nil
		}
	}
	if a.spoilt.Fault != AnswerWhole {
		a.text = append(a.text, b...)
	}
	return len(b), a.pass(b)
}

func (a *answerSpoiler) pass(b []byte) error {
	isStream := bytes.Contains(a.text, []byte(streamType))
	events, isLast := bytes.CutSuffix(b, []byte(chunkedEnd))
	hasEvent := isStream && bytes.Contains(a.text, []byte("\n\n"))
	switch fault := a.spoilt.Fault; {
	case fault == EndlessHead:
		return a.endless(headStart, filler)
	case fault == EndlessInterim:
		return a.endless("", interimHead)
	case fault == EndlessComments && hasEvent:
		return a.endless(string(events), commentChunk)
	case fault == EndlessLine && hasEvent:
		return a.endless(string(events)+lineStartChunk, lineChunk)
	case fault == CommentsBehindEvents && isStream && isLast:
		return a.endless(string(events), commentChunk)
	case fault == TrailerBehindEvents && isStream && isLast:
		return a.endless(string(events)+trailerStart, filler)
	case fault == EndCutOff && isStream && isLast:
		return a.cutOffEnd(string(events))
	case fault == EndSlow && isStream && isLast:
		return a.sendSlowEnd(string(events))
	case fault == EventsInOneChunk && isStream:
		return a.beginOneChunk(b)
	case fault == StartLate && !a.held:
		a.held = true
		a.proxy.countLateStart(1)
		a.pause()
		a.proxy.countLateStart(-1)
	case fault == EventLate && hasEvent && !a.held:
		a.held = true
		defer a.pause()
	}
	err := a.send(string(b))
	if whole := isLast && isStream || !isStream && bytes.HasSuffix(b, []byte("}")); whole && err == nil {
		a.sendSecond()
	}
	return err
}

// sendSecond sends the second answer, if there is one, after its delay.
func (a *answerSpoiler) sendSecond() {
	second := string(a.text)
	switch a.spoilt.Fault {
	case AnswerThenRefusal:
		second = refusalText
	case AnswerTwice:
	default:
		return
	}
	time.AfterFunc(a.spoilt.Delay, func() { _ = a.send(second) })
}

// pause waits for the delay, or until the session is reset.
func (a *answerSpoiler) pause() {
	select {
	case <-time.After(a.spoilt.Delay):
	case <-a.ended:
	}
}

func (a *answerSpoiler) send(text string) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.session.hasEnded() {
		return errBrokenOff // what was held back until now does not pass
	}
	a.proxy.record(a.answer, text)
	_, err := io.WriteString(a.client, text)
	return err
}

// endless sends start and then one piece after the other until the connection ends.
func (a *answerSpoiler) endless(start, piece string) error {
	err := a.send(start)
	for err == nil {
		time.Sleep(endlessPace)
		err = a.send(piece)
	}
	return err
}
