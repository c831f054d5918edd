package faultproxy

// Faults of the server's answers: second answers, and answers without an end.

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
)

// The kinds of faults.
var (
	SecondAnswers  = []AnswerFault{AnswerTwice, AnswerThenRefusal}
	EndlessAnswers = []AnswerFault{EndlessHead, EndlessInterim, EndlessComments, EndlessLine, CommentsBehindEvents, TrailerBehindEvents}
)

// SpoiltAnswer is the fault of one answer.
type SpoiltAnswer struct {
	Fault AnswerFault
	Delay time.Duration // of a second answer
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

// answerSpoiler passes the server's answers on one connection to the client, and spoils some of them.
type answerSpoiler struct {
	proxy  *Proxy
	client *net.TCPConn

	spoilt SpoiltAnswer
	text   []byte // of the answer so far, if it is a spoilt one

	mu sync.Mutex // held while writing to the client
}

// begin draws the fault of an answer that begins with b.
func (a *answerSpoiler) begin(b []byte) {
	a.proxy.mu.Lock()
	draw := a.proxy.drawAnswer
	a.proxy.mu.Unlock()
	a.spoilt, a.text = SpoiltAnswer{}, nil
	if draw != nil && (bytes.Contains(b, []byte(streamType)) || bytes.HasPrefix(b, []byte(readAnswerStart))) {
		a.spoilt = draw()
	}
}

// Write implements io.Writer for what the server sends.
func (a *answerSpoiler) Write(b []byte) (int, error) {
	if bytes.HasPrefix(b, []byte(answerStart)) {
		a.begin(b)
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

func (a *answerSpoiler) send(text string) error {
	a.mu.Lock()
	defer a.mu.Unlock()
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
