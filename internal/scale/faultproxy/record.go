package faultproxy

import "time"

// Piece is a part of an answer, with the time right before it was passed on.
type Piece struct {
	Text string
	At   time.Time
}

// Answer is what a Proxy has passed on of one answer of the server, or of what follows it on the connection.
type Answer struct {
	Pieces  []Piece
	EndedAt time.Time // when the server's connection ended, or the answer was broken off; zero: it was not
	// ClientEnded is whether the client ended the connection, and neither the server nor a fault had done so before.
	ClientEnded bool
}

// endSide is the side that has ended a connection first.
type endSide int

const (
	notEnded endSide = iota
	endedByClient
	endedByServer
	endedByFault
)

// noteEnd records which side has ended the connection, if none has before.
func (s *session) noteEnd(side endSide) {
	s.proxy.mu.Lock()
	defer s.proxy.mu.Unlock()
	s.noteEndLocked(side)
}

// hasEnded reports whether the client or a fault has ended the connection.
func (s *session) hasEnded() bool {
	s.proxy.mu.Lock()
	defer s.proxy.mu.Unlock()
	return s.firstEnd == endedByClient || s.firstEnd == endedByFault
}

// noteEndLocked is noteEnd for callers that hold the proxy's mutex.
func (s *session) noteEndLocked(side endSide) {
	if s.firstEnd != notEnded {
		return
	}
	s.firstEnd = side
	if s.answer != nil && s.answer.EndedAt.IsZero() {
		s.answer.EndedAt, s.answer.ClientEnded = time.Now(), side == endedByClient
	}
}

// RecordAnswers has the proxy keep a record of the answers that begin from now on.
func (p *Proxy) RecordAnswers() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recording = true
}

// Answers returns the answers that were recorded so far.
func (p *Proxy) Answers() (all []Answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.answers {
		all = append(all, *a)
	}
	return all
}

// beginAnswer begins the record of an answer. It returns nil if answers are not recorded.
func (s *session) beginAnswer() *Answer {
	p := s.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.recording {
		return nil
	}
	s.answer = &Answer{}
	p.answers = append(p.answers, s.answer)
	return s.answer
}

// record adds a piece to an answer's record.
func (p *Proxy) record(a *Answer, text string) {
	if a == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	a.Pieces = append(a.Pieces, Piece{text, time.Now()})
}

// endAnswer records that the connection of an answer has ended.
func (p *Proxy) endAnswer(a *Answer) {
	if a == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.EndedAt.IsZero() {
		a.EndedAt = time.Now()
	}
}
